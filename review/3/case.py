"""Case 3: a destination fails, is detached for its repair, and comes back cold when it is attached again."""

from __future__ import annotations

import asyncio
import json
import math
import random
import secrets
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
    HttpCall,
    HttpServer,
    Platform,
    Record,
    Sender,
    Submission,
    free_port,
    ping,
    play,
    post,
    wait_until,
    with_trouble,
)

HERE = Path(__file__).resolve().parent
SENDERS = 3  # "2 to 3 senders"
RATE = 3.0  # calls a second that the destination takes from all senders together; the list tells it
LOAD = 0.8  # of that
WORK_S = 0.2
FAILING_S = 4.0  # "destinations fail for 10 s and come back cold"
REPAIR_S = 22.0  # from the detach to the attach; no page bounds it
RULES = settings()["rules"]
FALL_S, RAMP_S = RULES["fall_us"] / 1e6, RULES["ramp_time_us"] / 1e6
D_MS = {"album-update": 16000, "print-order": 20000}
NAME = "s-00000001"


class Destination:
    """The only endpoint of a destination, with an address for each sender.

    While it is cold it works off as many calls as it can do then.
    """

    def __init__(self, record: Record) -> None:
        self._record, self.failing, self.back_at, self.fell_at = record, False, 0.0, 0.0
        self._free_at = 0.0
        self.failed_for = set[int]()  # senders of which a call failed in the outage
        self.calls = list[tuple[float, int]]()  # since the return, with their senders
        self.servers = [HttpServer(lambda call, n=number: self._handle(call, n)) for number in range(SENDERS)]

    async def open(self) -> None:
        """Listen."""
        for server in self.servers:
            await server.open()

    def close(self) -> None:
        """Reset all connections, and refuse new ones."""
        for server in self.servers:
            server.close()

    def capacity(self, now: float) -> float:
        """Return how many calls a second it can do."""
        share = RULES["cold_share"] + (1 - RULES["cold_share"]) * (now - self.back_at) / RAMP_S
        return RATE * min(1.0, share) if self.back_at else RATE

    def entry(self, number: int) -> dict[str, object]:
        """Return its entry of a sender's list."""
        dial = f"127.0.0.1:{self.servers[number].port}"
        values = {"host": NAME, "dial": dial, "site": "halle-nord", "class": "print-lab", "block": 3}
        return values | {"health": "SERVING", "share": RATE, "born_ms": 0}

    async def _handle(self, call: HttpCall, number: int) -> None:
        now, text = call.came_at, f"call {call.headers.get('x-txn', '')} by n{number}"
        if self.failing:
            self._record.note(f"{text}: reset", now)
            self.failed_for.add(number)
            call.reset()
            return
        capacity = self.capacity(now)
        if not self.back_at:
            await asyncio.sleep(WORK_S)
            await call.reply(200)
            self._record.note(f"{text}: 200")
            return
        self.calls.append((now, number))
        recent = [by for at, by in self.calls if at > now - FALL_S]
        allowed = RULES["overload_factor"] * capacity * FALL_S
        factor = 3 if allowed < 30 else 2
        limit = allowed + factor * math.sqrt(allowed) + factor
        self._record.note(f"{text}: {len(recent)} in {FALL_S} s, it falls above {limit:.1f}", now)
        if len(recent) > limit and not self.fell_at:
            self.fell_at = now
            knew = sum(by in self.failed_for for by in recent)
            self._record.say(
                f"THE DESTINATION FALLS: {len(recent)} calls in {FALL_S} s, {limit:.1f} allowed; {knew} of them "
                "by senders of which a call had failed in the outage"
            )
            self.told_break = knew > 2 / 3 * len(recent)
            self.close()
            return
        self._free_at = max(now, self._free_at) + 1 / capacity
        await asyncio.sleep(max(WORK_S, self._free_at - now))
        await call.reply(200)
        self._record.note(f"{text}: 200")

    told_break = False  # it fell, and over two thirds of the calls came from senders that had been told


async def case(record: Record, folder: Path) -> int:
    """Play the case."""
    platforms, destination = [Platform(record) for _ in range(SENDERS)], Destination(record)
    await destination.open()
    for number, platform in enumerate(platforms):
        await platform.server.open()
        platform.hosts[NAME] = destination.entry(number)
    senders, clients, mgmts = list[Sender](), list[Clients](), list[int]()
    tasks = set[asyncio.Task[None]]()

    async def load(until: float) -> None:
        rng, next_at = random.Random(7), time.monotonic()
        while (now := time.monotonic()) < until:
            if now < next_at:
                await asyncio.sleep(next_at - now)
                continue
            next_at += rng.expovariate(LOAD * RATE)
            cls = "album-update" if rng.random() < 0.57 else "print-order"
            message = Submission(cls, "alpenalbum", 3, D_MS[cls], secrets.token_bytes(400))
            task = asyncio.create_task(rng.choice(clients).hand_in(message))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def operate(call: str) -> None:
        body = json.dumps({"name": NAME}).encode()
        statuses = await asyncio.gather(
            *(post(mgmt, f"/_endpoints/{call}", {"Connection": "close"}, body) for mgmt in mgmts)
        )
        record.say(f"{call} at all senders: {statuses}")
        if statuses != [200] * SENDERS:
            raise CannotRunError(f"{call} was not answered with yes")

    try:
        for number in range(SENDERS):
            port, mgmt, state = free_port(), free_port(), folder / f"state-{number}"
            state.mkdir()
            config = {"name": f"n{number}", "listen": f"127.0.0.1:{port}", "mgmt": f"127.0.0.1:{mgmt}"}
            config |= {
                "discovery": f"127.0.0.1:{platforms[number].server.port}",
                "seed": secrets.token_hex(8),
            }
            config |= {"known": platforms[number].document(), "settings": settings()}
            config["settings"] |= {"replicas_of_me": SENDERS, "slot_no": number}
            config |= {"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}
            path = folder / f"config-{number}.json"
            path.write_text(json.dumps(config), encoding="utf-8")
            env = {
                "ROUTER_NAME": config["name"],
                "ROUTER_LISTEN": config["listen"],
                "ROUTER_STATE": str(state),
            }
            env |= {"ROUTER_DISCOVERY": config["discovery"], "ROUTER_MGMT": config["mgmt"]}
            senders.append(Sender(record, f"n{number}", folder, env | {"ROUTER_CONFIG": str(path)}))
            clients.append(Clients(record, port))
            mgmts.append(mgmt)
            await wait_until("the start of a sender", 30, lambda port=port: ping(port))
        loading = asyncio.create_task(load(time.monotonic() + 6 + FAILING_S + REPAIR_S + 8))
        await asyncio.sleep(6)
        if with_trouble():
            record.say("the destination resets all calls")
            destination.failing = True
            await asyncio.sleep(FAILING_S)
            await operate("detach")
            await asyncio.sleep(REPAIR_S)
            record.say("the destination has been restarted, and is cold")
            destination.failing, destination.back_at = False, time.monotonic()
            await operate("attach")
        await loading
        await asyncio.gather(*tasks)
        if not all(sender.running for sender in senders):
            raise CannotRunError("a sender has ended")
    finally:
        for sender in senders:
            sender.close()
        for client in clients:
            client.close()
        for platform in platforms:
            platform.server.close()
        destination.close()
    if with_trouble() and len(destination.failed_for) < SENDERS:
        record.say(f"only the senders {sorted(destination.failed_for)} met a failed call in the outage")
    return BROKEN if destination.told_break else HELD


play(case, HERE)
