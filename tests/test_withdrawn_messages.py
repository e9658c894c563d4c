"""A message that was answered 410 (it is over) is not sent again, whatever becomes of the call."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from rowanrack.core.messages import Ending, Message
from rowanrack.net.answer_guard import MIN_FIRST_ANSWERS
from rowanrack.net.http import Reply, readable_part
from rowanspindle import Result, UpdateScope
from tests.rig import SETTINGS, Rig, make_endpoint, on_loop

DEADLINE_MS = 10_000
LONG_ANSWER_US = 4_000_000  # as the only answer time known, it makes each answer of a test a premature one
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
FULL_FOR_LONG = FULL.replace(b"503 Service Unavailable", b"429 Busy\r\nX-Retry-In-Ms: 5000")
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
BULK_SETTINGS = {"extra": SETTINGS["extra"] | {"batch_by_kind": [20]}}
CLOSE = b"close"  # at the end of a response: the connection is closed behind it


def header(head: bytes, name: bytes) -> str:
    """Return the value of a header, or an empty string."""
    return head.lower().partition(name + b": ")[2].partition(b"\r\n")[0].decode()


class ScriptedEndpoint:
    """Writes given bytes in answer to its calls, in order, over all connections; then GONE to every call."""

    def __init__(self, *responses: bytes) -> None:
        self.responses, self.called = list(responses), list[str]()
        self.writer: asyncio.StreamWriter | None = None  # of the last connection

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writer = writer
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(int(header(head, b"content-length")))
                self.called.append(header(head, b"x-txn"))
                response = self.responses.pop(0) if self.responses else GONE
                writer.write(response.removesuffix(CLOSE))
                if response.endswith(CLOSE):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def rig_with(
    folder: Path, endpoint: ScriptedEndpoint, settings_changes: dict[str, Any] | None = None
) -> AsyncIterator[Rig]:
    """Start a sender and its only endpoint."""
    async with (
        Rig(folder, settings_changes=settings_changes) as rig,
        await asyncio.start_server(endpoint.serve, "127.0.0.1", 0) as server,
    ):
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("scripted", port)])
        yield rig


def expect_long_answers(rig: Rig) -> None:
    """Let the sender know only long answer times, as if it had made some calls before."""
    guard = rig.sender.pool.answer_guard
    guard._times_by_zone.clear()
    for _ in range(MIN_FIRST_ANSWERS):
        guard.record_first_answer("a", LONG_ANSWER_US)


async def submit_second_message(rig: Rig) -> None:
    """Have m1 delivered on a new connection, then submit m2, whose call is the second one on it."""
    client = await rig.client()
    await client.submit("m1", d=DEADLINE_MS)
    await rig.wait_for_end("m1")
    expect_long_answers(rig)
    await client.submit("m2", d=DEADLINE_MS)


@pytest.mark.parametrize("result", [Result.CANCELLED, Result.TIMEOUT])
@on_loop
async def test_message_is_not_sent_again_when_its_call_is_given_up_behind_a_premature_410(
    tmp_path: Path, result: Result
) -> None:
    endpoint = ScriptedEndpoint(OK, GONE)
    async with rig_with(tmp_path, endpoint) as rig:
        await submit_second_message(rig)
        await wait_for_answer(rig)
        messages = rig.sender.exchange.messages
        for attempt in messages["m2"].attempts_out.values() if "m2" in messages else ():
            rig.sender.exchange._stop_waiting(attempt, result)
        await check_given_up(rig, "m2")
        assert endpoint.called == ["m1", "m2"]


@on_loop
async def test_message_is_not_sent_again_when_the_process_ends_behind_a_premature_410(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(OK, GONE)
    async with rig_with(tmp_path, endpoint) as rig:
        await submit_second_message(rig)
        await wait_for_answer(rig)
        (listed,) = rig.sender.exchange.endpoint_list.endpoints()
        rig.sender.close()
        await rig.start()
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [listed])
        assert (await rig.platform.wait_for_notice("m2"))["outcome"] == "given_up"
        assert endpoint.called == ["m1", "m2"]


async def wait_for_answer(rig: Rig) -> None:
    """Wait until the sender has read the answer to the call of m2."""
    messages = rig.sender.exchange.messages
    while "m2" in messages and not any(a.answer_status for a in messages["m2"].attempts_out.values()):
        await asyncio.sleep(0)


async def check_given_up(rig: Rig, message_id: str) -> None:
    """Wait until a message has ended as failed and the platform has been told."""
    assert (await rig.wait_for_end(message_id)).ending is Ending.FAILED
    assert (await rig.platform.wait_for_notice(message_id))["outcome"] == "given_up"


@pytest.mark.parametrize(
    "response",
    [GONE + CLOSE, OK + GONE, FULL + GONE, GONE + OK, GONE + FULL, GONE + GONE],
    ids=["410 and close", "200 and 410", "503 and 410", "410 and 200", "410 and 503", "410 twice"],
)
@on_loop
async def test_message_is_not_sent_again_when_one_of_two_answers_to_its_call_is_a_410(
    tmp_path: Path, response: bytes
) -> None:
    endpoint = ScriptedEndpoint(OK, response)
    async with rig_with(tmp_path, endpoint) as rig:
        await submit_second_message(rig)
        await check_given_up(rig, "m2")
        assert endpoint.called == ["m1", "m2"]


@on_loop
async def test_message_is_not_lost_when_the_410_to_its_call_may_repeat_that_to_an_earlier_one(
    tmp_path: Path,
) -> None:
    endpoint = ScriptedEndpoint(GONE, GONE)
    async with rig_with(tmp_path, endpoint) as rig:
        client = await rig.client()
        await client.submit("m1", d=DEADLINE_MS)
        assert (await rig.wait_for_end("m1")).ending is Ending.WITHDRAWN
        await client.submit("m2", d=DEADLINE_MS)
        await check_given_up(rig, "m2")
        assert endpoint.called == ["m1", "m2"]


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nshort" + CLOSE,
        b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nlate",
        b"HTTP/1.1 410 Gone\r\nno header\r\n\r\n",
        b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 50" + GONE,
    ],
    ids=["short body", "late body", "bad header", "late head", "two status lines in one"],
)
@on_loop
async def test_message_is_not_sent_again_when_the_rest_of_its_410_is_unreadable(
    tmp_path: Path, response: bytes
) -> None:
    endpoint = ScriptedEndpoint(response)
    async with rig_with(tmp_path, endpoint) as rig:
        await (await rig.client()).submit("m1", d=DEADLINE_MS)
        await check_given_up(rig, "m1")
        assert endpoint.called == ["m1"]


@on_loop
async def test_message_refused_by_a_copied_answer_is_not_sent_again_when_its_410_comes_on_the_idle_connection(
    tmp_path: Path,
) -> None:
    endpoint = ScriptedEndpoint(OK, FULL_FOR_LONG)
    async with rig_with(tmp_path, endpoint) as rig:
        client = await rig.client()
        await client.submit("m1", d=DEADLINE_MS)
        await rig.wait_for_end("m1")
        await client.submit("m2", d=DEADLINE_MS)
        await rig.wait_until(lambda: rig.results == [Result.OK, Result.FULL])
        assert len(rig.sender.pool.idle.by_age) == 1 and endpoint.writer is not None
        endpoint.writer.write(GONE)
        await check_given_up(rig, "m2")
        assert endpoint.called == ["m1", "m2"]


@on_loop
async def test_only_the_message_that_is_over_ends_while_the_answer_to_a_bulk_call_is_held(
    tmp_path: Path,
) -> None:
    states = json.dumps([{"id": "over", "state": "gone"}, {"id": "open", "state": "ok"}]).encode()
    bulk_answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(states), states)
    endpoint = ScriptedEndpoint(OK, bulk_answer, OK)
    async with rig_with(tmp_path, endpoint, BULK_SETTINGS) as rig:
        exchange = rig.sender.exchange
        await (await rig.client()).submit("m1", d=DEADLINE_MS)
        await rig.wait_for_end("m1")
        expect_long_answers(rig)
        for name in ("over", "open"):
            deadline_us = exchange.clock.unix_us() + 1000 * DEADLINE_MS
            exchange.submit(Message(name, "album-update", "a", 7, deadline_us, b"x", "platform"))
        exchange.pump()
        assert (await rig.wait_for_end("over")).ending is Ending.FAILED
        assert "open" in exchange.messages
        (open_attempt,) = exchange.messages["open"].attempts_out.values()
        for attempt in open_attempt.batch.attempts:
            exchange._stop_waiting(attempt, Result.CANCELLED)
        assert (await rig.wait_for_end("open")).ending is Ending.DELIVERED
        assert endpoint.called == ["m1", "", "open"]


@on_loop
async def test_export_is_not_repeated_after_a_final_status_that_the_end_of_the_connection_follows(
    tmp_path: Path,
) -> None:
    endpoint = ScriptedEndpoint(OK, GONE + CLOSE)
    async with rig_with(tmp_path, endpoint) as rig:
        header_values = {"x_class": "album-update", "x_left_ms": str(DEADLINE_MS)}
        assert (await rig.export(b"", x_id="m1", **header_values)).status == 200
        expect_long_answers(rig)
        assert (await rig.export(b"", x_id="m2", **header_values)).status != 200
        assert len(endpoint.called) == 2


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 9\r\n\r\nshort" + CLOSE,
        b"no header\r\n\r\n",
        b"Content-Length: 0\r\n",
        b"X-Retry-In",
    ],
    ids=["short body", "bad header", "late head", "half a header"],
)
@on_loop
async def test_wait_in_an_answer_that_cannot_be_read_to_its_end_is_obeyed(
    tmp_path: Path, rest: bytes
) -> None:
    endpoint = ScriptedEndpoint(b"HTTP/1.1 429 Busy\r\nX-Retry-In-Ms: 5000\r\n" + rest, OK)
    async with rig_with(tmp_path, endpoint) as rig:
        await (await rig.client()).submit("m1", d=2000)
        await rig.wait_for_end("m1")
        assert endpoint.called == ["m1"] and rig.sender.exchange.waits_in_force == 1


def test_readable_part_has_the_status_and_the_complete_headers_of_a_final_response() -> None:
    assert readable_part(b"HTTP/1.1 100 Continue\r\n\r\n") is None
    assert readable_part(b"HTTP/1.1 41") is None
    head = b"HTTP/1.1 410 Gone\r\nnone\r\nX-One: 1\r\nX-Two: 2"
    assert readable_part(head) == Reply(410, {"x-one": "1"}, complete=False)
    assert readable_part(head + b"\r\n\r\nNo: header") == Reply(410, {"x-one": "1", "x-two": "2"}, b"", False)
