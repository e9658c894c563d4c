"""Waits and outages are known to the whole sender, whichever of its processes has met them."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from rowanrack.app import STATE_CHECK_INTERVAL_US, Sender
from rowanrack.net.http import Reply, Request
from rowanrack.net.timing import pause
from rowanrack.store.outages import REWRITE_INTERVAL_US, OutageFile
from rowanspindle import Outage
from tests.rig import Process, Rig, answers, on_loop

WAIT_S = 2.0
REFUSAL_WITH_WAIT = Reply(429, {"X-Retry-In-Ms": str(int(WAIT_S * 1000))})
DELIVERED = Reply(200, {})
DEADLINE_MS = 20_000


async def submit(rig: Rig, sender: Sender, message_id: str) -> None:
    """Submit a message to one of the senders."""
    assert await (await rig.client(sender)).submit(message_id, d=DEADLINE_MS) == b"+OK\r\n"


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


@pytest.mark.parametrize("told", ["first", "second"])
@on_loop
async def test_wait_told_to_one_of_two_running_processes_holds_for_the_other(
    tmp_path: Path, told: str
) -> None:
    async with Rig(tmp_path, answers(REFUSAL_WITH_WAIT, DELIVERED)) as rig:
        first, second = rig.sender, await rig.start_second()
        senders = (first, second) if told == "first" else (second, first)
        endpoint = rig.servers[0]
        await submit(rig, senders[0], "m1")
        await rig.wait_until(lambda: len(rig.results) == 1)
        await submit(rig, senders[1], "m2")
        await endpoint.wait_for_requests(2)
        assert endpoint.times[1] - endpoint.times[0] >= WAIT_S


@on_loop
async def test_wait_that_answers_a_call_of_the_stopping_process_holds_for_the_next(tmp_path: Path) -> None:
    released, answer_first = asyncio.Event(), answers(REFUSAL_WITH_WAIT, DELIVERED)

    async def answer_once_released(request: Request) -> Reply | None:
        await released.wait()
        return await answer_first(request)

    rig = Rig(tmp_path, answer_once_released)
    rig.config_changes = {"otlp": None}  # with OTLP the first process would go on making calls
    async with rig:
        second, endpoint = await rig.start_second(), rig.servers[0]
        await submit(rig, rig.sender, "m1")
        await endpoint.wait_for_requests(1)
        rig.sender.request_stop()
        rig.sender.shutdown.advance()
        assert rig.sender.exchange.frozen
        released_at = asyncio.get_running_loop().time()
        released.set()
        await rig.wait_until(lambda: len(rig.results) == 1)
        await submit(rig, second, "m2")
        await endpoint.wait_for_requests(2)
        assert endpoint.times[1] - released_at >= WAIT_S


@on_loop
async def test_wait_holds_after_a_kill_and_a_restart(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(REFUSAL_WITH_WAIT, DELIVERED)) as rig:
        await submit(rig, rig.sender, "m1")
        await rig.wait_until(lambda: len(rig.results) == 1)
        rig.sender.close()
        await rig.start()
        await rig.servers[0].wait_for_requests(2)
        assert rig.servers[0].times[1] - rig.servers[0].times[0] >= WAIT_S


@on_loop
async def test_outage_found_by_one_of_two_running_processes_is_known_to_the_other(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(None)) as rig:
        second = await rig.start_second()
        await submit(rig, rig.sender, "m1")
        while not (known := second.exchange.outages()):
            await pause(second.exchange.after, STATE_CHECK_INTERVAL_US)
        assert [outage.target for outage in known] == ["i0"]


@on_loop
async def test_stopping_process_does_not_replace_the_outages_that_its_successor_has_saved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Rig(tmp_path, answers(DELIVERED), answers(DELIVERED)) as rig:
        first, second = rig.sender, await rig.start_second()
        now_us = first.clock.now_us()
        for sender, endpoint in ((first, "i0"), (second, "i1")):
            sender.exchange.restore_outages((Outage(endpoint, now_us, None),))
            sender.exchange.pump()
        first._follow_outages()
        first.exchange.freeze()
        for _ in range(2):
            second._follow_outages()
            second.exchange.pump()
        later_us = now_us + 2 * REWRITE_INTERVAL_US
        monkeypatch.setattr(first.clock, "now_us", lambda: later_us)
        first._follow_outages()
        saved = OutageFile(tmp_path).read(later_us, 2 * REWRITE_INTERVAL_US)
        assert {outage.target for outage in saved} == {"i0", "i1"}
