"""A second copy of an answer that comes late on its connection is not the answer to the next call."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rowanrack.core.messages import Ending
from rowanrack.core.metrics import HeldAnswerEnd
from rowanrack.net.answer_guard import (
    LATE_ANSWER_MEMORY_US,
    MAX_ENDPOINTS,
    MIN_FIRST_ANSWERS,
    QUIET_US,
    AnswerGuard,
)
from rowanrack.net.http import Reply
from rowanspindle import Result, UpdateScope
from tests.rig import SETTINGS, Process, Rig, answers, discovery_entry, make_endpoint, on_loop

ANSWER_DELAY_S = 0.1
DEADLINE_MS = 10_000
HALF_STATUS_LINE_BYTES = 8
ANSWER = b"HTTP/1.1 %d Status\r\nContent-Length: 0\r\nX-Retry-In-Ms: 300\r\n\r\n"


class CopyingEndpoint:
    """Answers its calls with given statuses in order, and sends copies of the first answer.

    One comes after `copy_delay_s`, or all on receipt of the next call on the connection if that is None. The
    first answer comes at once if its copy has a delay: then no later answer is too soon.
    """

    def __init__(self, *statuses: int, copy_delay_s: float | None = None, copies: int = 1) -> None:
        self.statuses, self.calls = list(statuses), 0
        self.copy_delay_s, self.copies = copy_delay_s, copies
        self.closes_after_copy = self.drips_copy = self.repeats_later_answers = False
        self.delivered = list[str]()  # messages answered with 200

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; each request body is one byte long."""
        last_answer = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(1)
                message = head.lower().partition(b"x-txn: ")[2].partition(b"\r\n")[0].decode()
                status = self.statuses[min(self.calls, len(self.statuses) - 1)]
                self.calls += 1
                if self.calls == 2 and self.copy_delay_s is None:
                    copies = last_answer * self.copies
                    writer.write(copies[:HALF_STATUS_LINE_BYTES])
                    if self.drips_copy:
                        await asyncio.sleep(ANSWER_DELAY_S)
                    writer.write(copies[HALF_STATUS_LINE_BYTES:])
                    if self.closes_after_copy:
                        break
                if self.copy_delay_s is None or self.calls > 1:
                    await asyncio.sleep(ANSWER_DELAY_S)
                if status == 200:
                    self.delivered.append(message)
                last_answer = ANSWER % status
                writer.write(last_answer)
                if self.calls > 1 and self.repeats_later_answers:
                    writer.write(last_answer)
                if self.calls == 1 and self.copy_delay_s is not None:
                    asyncio.get_running_loop().call_later(self.copy_delay_s, writer.write, last_answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def listed_endpoint(rig: Rig, endpoint: CopyingEndpoint) -> AsyncIterator[None]:
    """Start an endpoint, and list it as the only one of the destination."""
    async with await asyncio.start_server(endpoint.serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("copying", port)])
        yield


def one_slot_rig(folder: Path) -> Rig:
    """Return a rig whose calls follow each other."""
    return Rig(folder, settings_changes={"extra": SETTINGS["extra"] | {"slots": 1}})


def expect_answers_of(rig: Rig, seconds: float) -> None:
    """Let the sender know only first answers that took so long, as if it had made some calls before."""
    guard = rig.sender.pool.answer_guard
    guard._times_by_zone.clear()
    for _ in range(MIN_FIRST_ANSWERS):
        guard.record_first_answer("a", int(seconds * 1e6))


async def check_two_messages(rig: Rig, endpoint: CopyingEndpoint, cls: str) -> None:
    """Submit m1 and m2. Each must be delivered, or end as failed if its class may not run twice."""
    client, message_ids = await rig.client(), ("m1", "m2")
    for message_id in message_ids:
        await client.submit(message_id, cls, d=DEADLINE_MS)
    for message_id in message_ids:
        end = await rig.wait_for_end(message_id)
        delivered = endpoint.delivered.count(message_id)
        if cls == "print-order":
            assert delivered == 1 or (delivered == 0 and end.ending is Ending.FAILED)
        else:
            assert delivered


@pytest.mark.parametrize("cls", ["album-update", "print-order"])
@pytest.mark.parametrize(("copy_delay_s", "copies"), [(None, 1), (None, 2), (0.01, 1)])
@on_loop
async def test_copied_200_does_not_deliver_the_next_message(
    tmp_path: Path, copy_delay_s: float | None, copies: int, cls: str
) -> None:
    endpoint = CopyingEndpoint(200, 503, 200, copy_delay_s=copy_delay_s, copies=copies)
    async with one_slot_rig(tmp_path) as rig, listed_endpoint(rig, endpoint):
        if copy_delay_s is None:
            expect_answers_of(rig, ANSWER_DELAY_S)
        await check_two_messages(rig, endpoint, cls)
        assert rig.sender.exchange.metrics.unsolicited_responses == copies


@pytest.mark.parametrize("cls", ["album-update", "print-order"])
@on_loop
async def test_copied_200_that_comes_in_pieces_does_not_deliver_the_next_message(
    tmp_path: Path, cls: str
) -> None:
    endpoint = CopyingEndpoint(200, 503, 200)
    endpoint.drips_copy = True
    async with one_slot_rig(tmp_path) as rig, listed_endpoint(rig, endpoint):
        expect_answers_of(rig, ANSWER_DELAY_S)
        await check_two_messages(rig, endpoint, cls)


@pytest.mark.parametrize("copy_delay_s", [None, 0.01])
@on_loop
async def test_copied_refusal_does_not_send_the_next_message_twice(
    tmp_path: Path, copy_delay_s: float | None, cls: str = "print-order"
) -> None:
    endpoint = CopyingEndpoint(503, 200, copy_delay_s=copy_delay_s)
    async with one_slot_rig(tmp_path) as rig, listed_endpoint(rig, endpoint):
        if copy_delay_s is None:
            expect_answers_of(rig, ANSWER_DELAY_S)
        await check_two_messages(rig, endpoint, cls)


@on_loop
async def test_premature_answer_followed_by_the_end_of_the_connection_may_have_run(tmp_path: Path) -> None:
    endpoint = CopyingEndpoint(503, 200)
    async with Rig(tmp_path) as rig, listed_endpoint(rig, endpoint):
        expect_answers_of(rig, 1.0)
        endpoint.closes_after_copy = True
        await (await rig.client()).submit("m1", "print-order", d=DEADLINE_MS)
        await rig.wait_for_end("m1")
        assert rig.results[-1] is Result.RESET


@on_loop
async def test_call_given_up_while_its_answer_is_held_is_logged_and_counted(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with Rig(tmp_path, answers(Reply(200, {}), Reply(503, {}), Reply(200, {}))) as rig:
        client, exchange = await rig.client(), rig.sender.exchange
        await client.submit("m1")
        await rig.wait_for_end("m1")
        expect_answers_of(rig, 1.0)
        await client.submit("m2", d=DEADLINE_MS)
        while not (attempts := exchange.messages["m2"].attempts_out) or not attempts[0].answer_status:
            await asyncio.sleep(0)
        exchange._stop_waiting(attempts[0], Result.CANCELLED)
        await rig.wait_for_end("m2")
        assert exchange.metrics.held_answers[HeldAnswerEnd.ABANDONED] == 1
    assert any(
        line.endswith("sent, answered 503") and "ended as cancelled" in line for line in caplog.messages
    )
    assert any("given up while its answer 503 was held" in line for line in caplog.messages)


@on_loop
async def test_copy_right_behind_its_answer_does_not_end_the_reuse_of_connections(tmp_path: Path) -> None:
    endpoint = CopyingEndpoint(200, copies=0)
    endpoint.repeats_later_answers = True
    async with one_slot_rig(tmp_path) as rig, listed_endpoint(rig, endpoint):
        await check_two_messages(rig, endpoint, "print-order")
        assert endpoint.calls == 2 and rig.sender.pool.answer_guard.allows_reuse("copying")


@on_loop
async def test_delivery_by_a_copied_200_is_retracted_when_the_call_is_refused_after_all(
    tmp_path: Path,
) -> None:
    endpoint = CopyingEndpoint(200, 503, 200)
    async with (
        Process(Rig(tmp_path), tmp_path) as process,
        await asyncio.start_server(endpoint.serve, "127.0.0.1", 0) as server,
    ):
        process.platform.change(discovery_entry("copying", server.sockets[0].getsockname()[1]))
        client = await process.client()
        while await client.submit("m1", "print-order", d=DEADLINE_MS) != b"+OK\r\n":
            await asyncio.sleep(ANSWER_DELAY_S)  # until the endpoint is listed
        while endpoint.delivered != ["m1"]:
            await asyncio.sleep(0)
        await client.submit("m2", "print-order", d=DEADLINE_MS)
        assert (await process.platform.wait_for_notice("m2"))["outcome"] == "given_up"
        assert endpoint.delivered == ["m1"]


@on_loop
async def test_wait_in_a_premature_answer_is_obeyed_at_once(tmp_path: Path) -> None:
    endpoint = CopyingEndpoint(429, 200)
    async with one_slot_rig(tmp_path) as rig, listed_endpoint(rig, endpoint):
        expect_answers_of(rig, ANSWER_DELAY_S)
        exchange = rig.sender.exchange
        await (await rig.client()).submit("m1", d=DEADLINE_MS)
        await rig.wait_until(lambda: len(rig.results) == 1)
        while endpoint.calls < 2:
            await asyncio.sleep(0)
        while exchange.metrics.waits_told < 2:
            await asyncio.sleep(0)
        assert exchange.waits_in_force == 1 and not endpoint.delivered
        await rig.wait_for_end("m1")
        assert set(endpoint.delivered) == {"m1"}


@on_loop
async def test_fast_answer_that_nothing_follows_is_believed_and_lowers_the_shortest_time(
    tmp_path: Path,
) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        await client.submit("m1")
        await rig.wait_for_end("m1")
        expect_answers_of(rig, 1.0)
        for message_id in ("m2", "m3"):
            await client.submit(message_id)
            await rig.wait_for_end(message_id)
        assert rig.servers[0].connections == 1
        assert not rig.sender.pool.answer_guard.is_premature("a", 100_000)


def test_connections_carry_one_call_at_an_endpoint_whose_answers_came_too_late_and_at_all_after_two() -> None:
    now = [0]
    guard = AnswerGuard(lambda: now[0])
    guard.record_late_answer("a", QUIET_US - 1)
    assert guard.allows_reuse("a")
    guard.record_late_answer("a", QUIET_US)
    assert not guard.allows_reuse("a") and guard.allows_reuse("c")
    now[0] = LATE_ANSWER_MEMORY_US // 2
    guard.record_late_answer("b", QUIET_US)
    assert not guard.allows_reuse("c")
    now[0] = LATE_ANSWER_MEMORY_US
    assert guard.allows_reuse("a") and guard.allows_reuse("c") and not guard.allows_reuse("b")


@on_loop
async def test_connection_carries_no_second_call_after_an_answer_came_too_late(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        for number, message_id in enumerate(("m1", "m2", "m3")):
            await client.submit(message_id)
            await rig.wait_for_end(message_id)
            assert rig.servers[0].connections == number + 1
            rig.sender.pool.answer_guard.record_late_answer("i0", QUIET_US)


def test_answer_is_premature_below_a_fraction_of_the_shortest_of_several_first_answers() -> None:
    guard = AnswerGuard(lambda: 0)
    for _ in range(MIN_FIRST_ANSWERS - 1):
        guard.record_first_answer("a", 900_000)
    assert not guard.is_premature("a", 1)
    guard.record_first_answer("a", 100_000)
    assert guard.is_premature("a", 24_000) and not guard.is_premature("a", 26_000)
    assert not guard.is_premature("b", 1)
    guard.record_confirmed_answer("a", 5_000)
    assert not guard.is_premature("a", 6_000)


def test_endpoints_that_sent_no_late_answer_for_longest_are_forgotten() -> None:
    guard = AnswerGuard(lambda: 0)
    for number in range(MAX_ENDPOINTS + 1):
        guard.record_late_answer(str(number), QUIET_US)
    assert len(guard.endpoint_names()) == MAX_ENDPOINTS and "0" not in guard.endpoint_names()
