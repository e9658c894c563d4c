"""Waits that a destination asks for hold for the sender, whichever of its processes was told."""

from __future__ import annotations

import signal
from pathlib import Path

from rowanrack.net.http import Reply
from tests.rig import Process, Rig, answers, on_loop

WAIT_S = 2.0
REFUSAL_WITH_WAIT = Reply(429, {"X-Retry-In-Ms": str(int(WAIT_S * 1000))})
DELIVERED = Reply(200, {})
DEADLINE_MS = 20_000


@on_loop
async def test_destination_is_not_called_by_the_next_process_of_a_hot_restart_during_its_wait(
    tmp_path: Path,
) -> None:
    async with Rig(tmp_path, answers(REFUSAL_WITH_WAIT, DELIVERED)) as rig, Process(rig, tmp_path) as process:
        endpoint = rig.servers[0]
        assert await (await process.client()).submit("m1", d=DEADLINE_MS) == b"+OK\r\n"
        await endpoint.wait_for_requests(1)
        previous, process.child = process.child, await process.start_another()
        await process.wait_for_log("serving")
        previous.send_signal(signal.SIGTERM)
        assert await previous.wait() == 0
        assert await (await process.client()).submit("m2", d=DEADLINE_MS) == b"+OK\r\n"
        await endpoint.wait_for_requests(2)
        assert endpoint.times[1] - endpoint.times[0] >= WAIT_S
