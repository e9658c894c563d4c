"""Case 3: a bad client hands in a message under the id of another client's open request."""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from settings import settings
from stand_ins import (
    BROKEN,
    CLIENT_WAIT_S,
    HELD,
    CannotRunError,
    HttpCall,
    HttpServer,
    Platform,
    Record,
    Sender,
    Submission,
    free_port,
    ping,
    play,
    wait_until,
    with_trouble,
)

HERE = Path(__file__).resolve().parent
MESSAGES = 20
D_MS = 8000
BODY_BYTES = 8 * 1024
PIECE_PAUSE_S = 0.1  # between the two pieces in which a client's request comes
WORK_S = 0.2
SLACK_S = 0.3


class Endpoint:
    """An endpoint that answers each call with 200, and notes the message and body of each."""

    def __init__(self, record: Record, name: str, block: int) -> None:
        self._record, self.name, self.block = record, name, block
        self.delivered = list[tuple[float, str, bytes]]()
        self.server = HttpServer(self._handle)

    def entry(self) -> dict[str, object]:
        """Return its entry of the list."""
        dial = f"127.0.0.1:{self.server.port}"
        values = {"host": self.name, "dial": dial, "site": "halle-nord", "class": "print-lab"}
        return values | {"block": self.block, "health": "SERVING", "share": 50.0, "born_ms": 0}

    async def _handle(self, call: HttpCall) -> None:
        message_id = call.headers.get("x-txn", "")
        self._record.note(f"call {message_id} at {self.name}: a body of {len(call.body)} bytes", call.came_at)
        await asyncio.sleep(WORK_S)
        if await call.reply(200):
            self.delivered.append((time.monotonic(), message_id, call.body))


async def answer_of(reader: asyncio.StreamReader) -> str:
    """Return the line that a client is answered; empty if the connection ends without one."""
    try:
        return (await reader.readline()).decode("utf-8", "replace").strip()
    except OSError:
        return ""


async def case(record: Record, folder: Path) -> int:
    """Play the case."""
    platform = Platform(record)
    await platform.server.open()
    wanted, other = Endpoint(record, "s-00000001", 1), Endpoint(record, "s-00000002", 2)
    for endpoint in (wanted, other):
        await endpoint.server.open()
        platform.hosts[endpoint.name] = endpoint.entry()
    state = folder / "state"
    state.mkdir()
    port = free_port()
    config = {"name": "n1", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{platform.server.port}"}
    config |= {"seed": secrets.token_hex(8), "known": platform.document(), "settings": settings()}
    config |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}
    path = folder / "config.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    env = {"ROUTER_NAME": "n1", "ROUTER_LISTEN": config["listen"], "ROUTER_STATE": str(state)}
    env |= {"ROUTER_DISCOVERY": config["discovery"], "ROUTER_CONFIG": str(path)}
    sender = Sender(record, "n1", folder, env)
    submissions = list[Submission]()

    async def bad_client(message_id: str) -> None:
        junk = Submission("album-update", "alpenalbum", other.block, D_MS, b"of another client")
        junk.id = message_id
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        record.note(f"bad client sends a message under the id {message_id}")
        writer.write(junk.wire())
        record.note(f"bad client of {message_id} is answered: {await answer_of(reader)}")
        writer.close()

    async def client() -> None:
        body = secrets.token_bytes(BODY_BYTES)
        message = Submission("print-order", "alpenalbum", wanted.block, D_MS, body)
        submissions.append(message)
        wire = message.wire()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        message.sent_at = time.monotonic()
        record.note(f"sent {message.id} dest={message.dest}, the first piece")
        writer.write(wire[: len(wire) // 2])
        bad = asyncio.create_task(bad_client(message.id)) if with_trouble() else None
        await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(wire[len(wire) // 2 :])
        record.note(f"sent {message.id}, the rest")
        try:
            async with asyncio.timeout(message.sent_at + CLIENT_WAIT_S - time.monotonic()):
                message.answer = await answer_of(reader)
        except TimeoutError:
            message.answer = "no answer in 400 ms"
        message.taken = message.answer[:1] in ("+", "$")
        record.note(f"answer {message.id} {message.answer}")
        writer.close()
        if bad is not None:
            await bad

    try:
        await wait_until("the start of the sender", 30, lambda: ping(port))
        for _ in range(MESSAGES):
            await client()
            await asyncio.sleep(0.2)
        await asyncio.sleep(D_MS / 1000 + SLACK_S + 1.0)
        if not sender.running:
            raise CannotRunError("the sender has ended")
    finally:
        sender.close()
        platform.server.close()
        for endpoint in (wanted, other):
            endpoint.server.close()

    lost = 0
    for message in (s for s in submissions if s.taken):
        due = message.sent_at + D_MS / 1000 + SLACK_S
        ends = [at for at, i, body in wanted.delivered if i == message.id and body == message.body]
        ends += [platform.notices[message.id][0]] if message.id in platform.notices else []
        if not ends or min(ends) > due:
            lost += 1
            foreign = [body for _, i, body in other.delivered if i == message.id]
            record.say(
                f"LOST {message.id}: taken on, never called out, no notice; under its id went {foreign}"
            )
    record.say(f"{len(submissions)} handed in, {sum(s.taken for s in submissions)} taken, lost: {lost}")
    return BROKEN if lost else HELD


play(case, HERE)
