"""The log and the metrics say what became of each call that did not deliver its message."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import pytest

from rowanrack.core.rate_limited_log import WARNING_INTERVAL_S, RateLimitedLog
from rowanrack.failure_log import MAX_LINES_PER_INTERVAL
from rowanrack.net.http import Reply
from tests.rig import Rig, answers, on_loop


@on_loop
async def test_a_failed_call_and_an_undelivered_message_are_logged_with_their_ids(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "rowanrack.failure_log")
    async with Rig(tmp_path, answers(Reply(503, {}), None)) as rig:
        await (await rig.client()).submit("m1", "print-order", d=5000)
        await rig.wait_for_end("m1")
    call_refused, call_broken, end = [m for m in caplog.messages if m.startswith("message m1:")]
    assert call_refused.startswith("message m1: attempt 0 at i0 ended as full after ")
    assert call_refused.endswith("sent, answered 503")
    assert call_broken.startswith("message m1: attempt 1 at i0 ended as reset after ")
    assert call_broken.endswith("sent")
    assert end == "message m1: ended as failed, attempts made: 2, of these may have run: 1"


@on_loop
async def test_input_on_an_idle_connection_is_counted(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        await (await rig.client()).submit("m1")
        await rig.wait_for_end("m1")
        (stream,) = rig.servers[0].streams
        stream.send_now(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        while not rig.sender.exchange.metrics.unsolicited_responses:
            await asyncio.sleep(0)
        text = rig.sender.exchange.metrics.exposition([], 0, 0, 0)
        assert "svc_unsolicited_responses 1\n" in text


def test_lines_over_the_budget_of_an_interval_are_suppressed(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    now = [0.0]
    limited = RateLimitedLog(
        logging.getLogger("limited"), lambda: now[0], max_lines_per_interval=MAX_LINES_PER_INTERVAL
    )
    for number in range(MAX_LINES_PER_INTERVAL + 5):
        limited.write(logging.INFO, "line %d", number)
    now[0] = WARNING_INTERVAL_S
    limited.write(logging.INFO, "last line")
    assert len(caplog.messages) == MAX_LINES_PER_INTERVAL + 1
    assert caplog.messages[-1] == "last line (5 similar lines suppressed)"
