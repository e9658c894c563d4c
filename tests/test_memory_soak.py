"""Soak: crowds of bad clients and series of restarts against a process with a memory limit.

`MEMORY_SEEDS=1-50` plays other seeds than those of CI.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from rowanrack.net.http import Reply, Request
from tests import test_memory_limit
from tests.rig import Process, Rig, on_loop_for
from tests.soak import KILL_DOWN_S, seeds
from tests.test_memory_limit import (
    PIECE_BYTES,
    PatientClient,
    crowd,
    half_of_a_large_request,
    head_of_many_short_fields,
    large_request_before_a_rest,
    large_request_with_an_error,
    many_commands,
    nothing,
    oversized_value,
)

DEFAULT_SEEDS = "1-2"
SECONDS = 10.0
TIME_LIMIT_S = 60
# Two processes of a hot restart do not fit into the least memory.
MEMORY_MB_ALONE, MEMORY_MB_FOR_TWO = (32, 48, 192), (64, 96, 192)
SOCKETS = (256, 1024)
CROWD_SIZES = (100, 400, 800)
MESSAGES_PER_S = 40
SERVICE_S = (0.0, 0.2)
CHECK_INTERVAL_S = 0.02
SETTLE_S = 5.0  # from the last message until its deadline is over, with a restart's 1.5 s
WHOLE = 1 << 20
INPUTS: tuple[tuple[Callable[[int], bytes], int], ...] = (
    (nothing, WHOLE),
    (half_of_a_large_request, WHOLE),
    (half_of_a_large_request, PIECE_BYTES),
    (oversized_value, WHOLE),
    (large_request_with_an_error, WHOLE),
    (large_request_before_a_rest, WHOLE),
    (many_commands, WHOLE),
    (head_of_many_short_fields, WHOLE),
)


def resident_bytes(pid: int) -> int:
    """Return the resident set of a process, or 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


class Play:
    """One play: the process, its usual clients, and what disturbs them."""

    def __init__(self, rig: Rig, process: Process, rng: Random, has_upgrades: bool) -> None:
        self.rig, self.process, self.rng, self.has_upgrades = rig, process, rng, has_upgrades
        self.accepted = list[str]()
        self.running = list[int]()  # pids of the sender's processes
        self.peak_bytes = 0  # of all processes together
        self.ended_by_itself = False

    async def run(self) -> None:
        """Run everything for SECONDS, then wait until each accepted message has ended."""
        self.running = [self.process.child.pid]
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(part) for part in (self._submit(), self._disturb(), self._watch())]
            await self._restart()  # not cancelled, which might leave the process down
            for task in tasks[:2]:
                task.cancel()
            await asyncio.wait(tasks[:2])
            async with asyncio.timeout(SETTLE_S):
                while self.unsettled():
                    await asyncio.sleep(CHECK_INTERVAL_S)
            tasks[2].cancel()

    def unsettled(self) -> set[str]:
        """Return the accepted messages that have neither been called out nor ended by a notice."""
        called = {request.headers["x-txn"] for server in self.rig.servers for request in server.requests}
        return set(self.accepted) - called - set(self.process.platform.notices)

    async def _submit(self) -> None:
        client = PatientClient(self.process)
        while True:
            message_id = f"m{len(self.accepted):015d}"
            await client.submit(message_id)
            self.accepted.append(message_id)
            await asyncio.sleep(1 / MESSAGES_PER_S)

    async def _disturb(self) -> None:
        while True:
            request, piece_bytes = self.rng.choice(INPUTS)
            port = self.process.mgmt_port if request is head_of_many_short_fields else self.process.port
            async with crowd(port, request, piece_bytes):
                await asyncio.sleep(self.rng.uniform(0.3, 2.5))

    async def _restart(self) -> None:
        ends_at = asyncio.get_running_loop().time() + SECONDS
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
            for _ in range(self.rng.choice((1, 2))):
                await (self._upgrade() if self.has_upgrades else self._kill())

    async def _kill(self) -> None:
        self.running = []
        self.process.child.kill()
        await self.process.child.wait()
        await asyncio.sleep(KILL_DOWN_S)
        await self.process.start()
        self.running = [self.process.child.pid]

    async def _upgrade(self) -> None:
        old = self.process.child
        self.running = [old.pid]
        await self.process.start()
        self.running.append(self.process.child.pid)
        old.send_signal(signal.SIGTERM)
        await old.wait()
        self.running = [self.process.child.pid]

    async def _watch(self) -> None:
        while True:
            sizes = [resident_bytes(pid) for pid in self.running]
            self.peak_bytes = max(self.peak_bytes, sum(sizes))
            self.ended_by_itself |= not all(sizes) and len(sizes) == 1
            await asyncio.sleep(CHECK_INTERVAL_S)


@pytest.mark.parametrize("seed", seeds("MEMORY_SEEDS", DEFAULT_SEEDS))
def test_crowds_and_restarts_keep_a_sender_within_its_memory(
    tmp_path: Path, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    rng = Random(f"{seed} memory")
    has_upgrades = rng.random() < 0.3
    memory_mb = rng.choice(MEMORY_MB_FOR_TWO if has_upgrades else MEMORY_MB_ALONE)
    limits = {"memory_mb": memory_mb, "sockets": rng.choice(SOCKETS), "disk_mb": 3}
    monkeypatch.setattr(test_memory_limit, "CROWD_SIZE", rng.choice(CROWD_SIZES))
    service_s = rng.choice(SERVICE_S)

    async def serve(_request: Request) -> Reply:
        await asyncio.sleep(service_s)
        return Reply(200, {})

    @on_loop_for(TIME_LIMIT_S)
    async def play() -> None:
        (tmp_path / "rig").mkdir()
        async with (
            Rig(tmp_path / "rig", serve) as rig,
            Process(rig, tmp_path, limits, mgmt=not has_upgrades) as process,
        ):
            played = Play(rig, process, rng, has_upgrades)
            await played.run()
            assert played.peak_bytes <= memory_mb * 1_000_000, (limits, played.peak_bytes)
            assert not played.ended_by_itself and len(played.accepted) > SECONDS

    play()
