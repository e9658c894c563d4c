"""Endpoints that are replaced under ever new names: all state kept by name is dropped with them."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from rowanrack.core.messages import End, Ending, Message
from rowanrack.net.http import Reply
from rowanrack.store.journal import EXPIRY_CHECK_END_COUNT, Journal
from rowanspindle import EndpointStatus, RetryAfterWait, UpdateScope
from tests.rig import Rig, answers, make_endpoint, on_loop

OK = Reply(200, {})


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
@on_loop
async def test_idle_connections_close_when_their_endpoint_drains_or_is_removed(
    tmp_path: Path, status: EndpointStatus
) -> None:
    """Connections used to stay open for seconds, and counted against the next endpoint at that address."""
    async with Rig(tmp_path, answers(OK)) as rig:
        await (await rig.client()).submit("m1")
        await rig.wait_for_end("m1")
        pool, (server,) = rig.sender.pool, rig.servers
        assert len(pool.idle.by_endpoint["i0"]) == 1
        (serving,) = server.tasks
        rig.sender.exchange.update_endpoints(
            UpdateScope.DELTA, [replace(rig.known_endpoints[0], status=status)]
        )
        await asyncio.wait({serving})  # the endpoint has seen the end of its connection
        assert not pool.idle.by_endpoint and not pool.idle.by_age


@on_loop
async def test_answer_of_a_removed_endpoint_leaves_no_idle_connection(tmp_path: Path) -> None:
    answer = asyncio.Event()

    async def delayed_answer(_request: object) -> Reply:
        await answer.wait()
        return OK

    async with Rig(tmp_path, delayed_answer) as rig:
        await (await rig.client()).submit("m1")
        await rig.servers[0].wait_for_requests(1)
        (serving,) = rig.servers[0].tasks
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, ())
        answer.set()
        await rig.wait_for_end("m1")
        assert not rig.sender.pool.idle.by_endpoint
        await asyncio.wait({serving})


@on_loop
async def test_no_state_is_left_after_a_hundred_endpoint_names(tmp_path: Path) -> None:
    """Each endpoint takes over the address of the previous one, asks for a wait, and is removed."""
    async with Rig(tmp_path, answers(OK)) as rig:
        client, exchange = await rig.client(), rig.sender.exchange
        for n in range(100):
            exchange.update_endpoints(UpdateScope.FULL, [make_endpoint(f"n{n}", rig.servers[0].port)])
            exchange._waits.record(RetryAfterWait(7, f"n{n}", 1 << 60), exchange.clock.now_us())
            await client.submit(f"m{n}")
            await rig.wait_for_end(f"m{n}")
        exchange.update_endpoints(UpdateScope.FULL, ())
        exchange.pump()
        idle = rig.sender.pool.idle
        assert not idle.by_endpoint and not idle.by_age and not exchange.waits_in_force
        assert not rig.sender.pool.answer_guard.endpoint_names()
        forwarder = exchange.forwarder
        assert not forwarder.endpoints and not forwarder.unlisted and not forwarder.attempts
        assert not exchange.endpoint_list.names() and not exchange._messages_by_ref


@pytest.mark.parametrize(
    ("end", "notice_sent", "after_s", "kept"),
    [
        (Ending.DELIVERED, False, 0, True),
        (Ending.DELIVERED, False, 2, False),
        (Ending.FAILED, True, 2, False),
        (Ending.FAILED, False, 2, True),
        (Ending.FAILED, False, 40, False),
    ],
)
def test_final_answers_are_dropped_after_the_deadline_but_not_before_their_notice(
    tmp_path: Path, end: Ending, notice_sent: bool, after_s: int, kept: bool
) -> None:
    """Final answers used to be kept for 30 s, so memory kept growing at a high message rate."""
    now = [0]
    journal = Journal(tmp_path, 3_000_000, lambda: now[0], retention_us_by_front={"platform": 1_000_000})
    journal.open()
    message = Message("m", "c", "t", 3, 5_000_000, b"", "platform")
    journal.take(message)
    journal.end(message, End(end))
    if notice_sent:
        journal.confirm_notice("m")
    now[0] = 5_000_000 + after_s * 1_000_000
    for n in range(EXPIRY_CHECK_END_COUNT):
        journal.end(Message(str(n), "c", "t", 3, 0, b"", "platform"), End(Ending.DELIVERED))
    assert ("m" in journal.ends) is kept
    journal.close()
