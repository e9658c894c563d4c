"""Case 1: a sender is upgraded under load while its journal is nearly full of large messages."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from settings import settings
from stand_ins import (
    BROKEN,
    HELD,
    CannotRunError,
    Clients,
    Inbox,
    Platform,
    Record,
    Sender,
    Submission,
    free_port,
    http_status,
    ping,
    play,
    wait_until,
    with_trouble,
)

HERE = Path(__file__).resolve().parent
DESTINATIONS = 12
RATE = 5.0  # calls a second that each destination takes
WORK_S = 0.2  # "140 to 240 ms at a partner of usual pace"
LOAD = 1.25  # of what all destinations take; "95 to 130% on the worst" days
BODY_BYTES = 32 * 1024  # "A body holds no more than 64 KiB."
D_MS = 8000  # the page's example
DISK_MB = 3  # the page's example
UPGRADE_AT_S, LOAD_UNTIL_S = 12.0, 22.0
SLACK_S = 0.3  # "lost ... if 300 ms after its time is up it has neither been delivered nor ended by a notice"
RESTART_SLACK_S = 1.5  # "until 1.5 s after the sender is ready again"
TENANTS = ("alpenalbum", "fotostube-franken", "kinderbild-oberland")


async def case(record: Record, folder: Path) -> int:
    """Play the case."""
    platform = Platform(record)
    await platform.server.open()
    inboxes = [Inbox(record, f"s-{number:08x}", RATE, WORK_S) for number in range(DESTINATIONS)]
    for block, inbox in enumerate(inboxes):
        await inbox.server.open()
        platform.hosts[inbox.name] = inbox.entry(block)
    state = folder / "state"
    state.mkdir()
    port = free_port()
    senders = list[Sender]()

    def start(name: str) -> tuple[Sender, int]:
        mgmt = free_port()
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{platform.server.port}",
        }
        config |= {"mgmt": f"127.0.0.1:{mgmt}", "seed": secrets.token_hex(8), "known": platform.document()}
        config |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": DISK_MB}}
        config |= {"settings": settings()}
        path = folder / f"config-{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        env = {"ROUTER_NAME": "n1", "ROUTER_LISTEN": config["listen"], "ROUTER_STATE": str(state)}
        env |= {"ROUTER_DISCOVERY": config["discovery"], "ROUTER_MGMT": config["mgmt"]}
        sender = Sender(record, name, folder, env | {"ROUTER_CONFIG": str(path)})
        senders.append(sender)
        return sender, mgmt

    clients, tasks = Clients(record, port), set[asyncio.Task[None]]()
    folder_bytes = list[tuple[float, int]]()

    async def watch_folder() -> None:
        while True:
            sizes = [-(-path.stat().st_size // 512) * 512 for path in state.iterdir() if path.exists()]
            folder_bytes.append((time.monotonic(), sum(sizes)))
            await asyncio.sleep(0.05)

    async def load(until: float) -> None:
        rng, next_at = random.Random(5), time.monotonic()
        while (now := time.monotonic()) < until:
            if now < next_at:
                await asyncio.sleep(next_at - now)
                continue
            next_at += rng.expovariate(LOAD * RATE * DESTINATIONS)
            cls = "album-update" if rng.random() < 0.57 else "print-order"
            body = secrets.token_bytes(BODY_BYTES)
            message = Submission(cls, rng.choice(TENANTS), rng.randrange(DESTINATIONS), D_MS, body)
            task = asyncio.create_task(clients.hand_in(message))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    try:
        old, _ = start("old")
        await wait_until("the start of the sender", 30, lambda: ping(port))
        began = time.monotonic()
        watcher = asyncio.create_task(watch_folder())
        loading = asyncio.create_task(load(began + LOAD_UNTIL_S))
        await asyncio.sleep(UPGRADE_AT_S)
        told_to_end, over_at = 0.0, 0.0
        if with_trouble():
            new, mgmt = start("new")

            async def ready() -> bool:
                return await http_status(mgmt, "/_ready") == 200

            await wait_until("the start of the new process", 6, ready)
            record.say("the new process says that it is ready")
            told_to_end = old.signal(signal.SIGTERM)
            ended = await old.ended(3.7)
            if ended is None:
                old.signal(signal.SIGKILL)
                ended = await old.ended(1.0)
            over_at = (ended or time.monotonic()) + RESTART_SLACK_S
            if not new.running:
                raise CannotRunError("the new process has ended")
        await loading
        await asyncio.gather(*tasks)
        last_due = max(s.sent_at for s in clients.submissions) + D_MS / 1000 + SLACK_S
        await asyncio.sleep(max(0.0, last_due + 1.0 - time.monotonic()))
        watcher.cancel()
        if not senders[-1].running:
            raise CannotRunError("the sender has ended")
    finally:
        for sender in senders:
            sender.close()
        clients.close()
        platform.server.close()
        for inbox in inboxes:
            inbox.server.close()

    taken = [s for s in clients.submissions if s.taken]
    delivered = {i: at for inbox in inboxes for i, at in inbox.delivered.items()}
    lost = 0
    for message in taken:
        due = message.sent_at + D_MS / 1000 + SLACK_S
        if told_to_end and told_to_end <= due < over_at:
            due = over_at
        notice = platform.notices.get(message.id, (float("inf"), ""))[0]
        end = min(delivered.get(message.id, float("inf")), notice)
        if end > due:
            lost += 1
            late = "never" if end == float("inf") else f"{end - due:.2f} s late"
            record.say(
                f"LOST {message.id}: taken, its end was due {due - record.began_at:.3f} and came {late}"
            )
    handed_back = sum(s.id in platform.notices for s in taken)
    record.say(f"{len(clients.submissions)} handed in, {len(taken)} taken, {handed_back} ended by a notice")
    record.say(f"most bytes in the state folder: {max(size for _, size in folder_bytes)}")
    record.say(f"lost: {lost}")
    if len(taken) < 100:
        raise CannotRunError("too few messages were taken to tell")
    return BROKEN if lost else HELD


play(case, HERE)
