"""Ids are known to the whole sender, whichever of the two processes of a hot restart has accepted them."""

from __future__ import annotations

import asyncio
import signal
from contextlib import closing
from dataclasses import replace
from pathlib import Path

import pytest

from rowanrack.core.identity import content_digest
from rowanrack.core.messages import End, Ending, Message
from rowanrack.net.http import Reply, Request
from rowanrack.store.journal import Journal
from tests.rig import Process, Rig, answers, on_loop, silent
from tests.test_identity import ID_IN_USE
from tests.test_otlp import OK, logs

LATER_US = 1 << 52  # a deadline in Unix time


@pytest.mark.parametrize("owner", ["first", "second"])
@on_loop
async def test_order_that_one_process_has_sent_is_not_sent_again_by_the_other(
    tmp_path: Path, owner: str
) -> None:
    """Guards against a second run of an order whose client asks the other process under the same id."""
    released = asyncio.Event()

    async def answer_once_released(_request: Request) -> Reply:
        await released.wait()
        return OK

    async with Rig(tmp_path, answer_once_released) as rig:
        first, second = rig.sender, await rig.start_second()
        senders = (first, second) if owner == "first" else (second, first)
        asking = asyncio.create_task(rig.export_to(senders[0], logs(), x_id="e1"))
        await rig.servers[0].wait_for_requests(1)
        again = asyncio.create_task(rig.export_to(senders[1], logs(), x_id="e1"))
        conflicting = await rig.export_to(senders[1], logs("another"), x_id="e1")
        assert conflicting.status == 409
        released.set()
        assert [(await task).status for task in (asking, again)] == [200, 200]
        assert (await rig.export_to(senders[1], logs(), x_id="e1")).status == 200
        assert len(rig.servers[0].requests) == 1


@pytest.mark.parametrize("asks", ["before", "right after"])
@on_loop
async def test_order_of_a_killed_process_is_failed_and_not_sent_again(tmp_path: Path, asks: str) -> None:
    async with Rig(tmp_path, silent) as rig:
        first, second = rig.sender, await rig.start_second()
        asking = asyncio.create_task(rig.export_to(first, logs(), x_id="e1"))
        await rig.servers[0].wait_for_requests(1)
        again = asyncio.create_task(rig.export_to(second, logs(), x_id="e1"))
        if asks == "before":
            for _ in range(20):
                await asyncio.sleep(0)
        asking.cancel()
        first.close()
        assert (await again).status == 500
        assert len(rig.servers[0].requests) == 1 and list(second.exchange.counts.values()) == [0, 0, 1, 0]


@on_loop
async def test_command_under_an_id_of_the_other_process_is_told_apart_by_its_contents(
    tmp_path: Path,
) -> None:
    async with Rig(tmp_path, silent) as rig:
        second = await rig.start_second()
        assert await (await rig.client()).submit("m1") == b"+OK\r\n"
        await rig.servers[0].wait_for_requests(1)
        other = await rig.client(second)
        assert await other.submit("m1", body=b"another") == ID_IN_USE
        assert await other.submit("m1") == b"+OK\r\n"
        assert not second.exchange.messages and len(rig.servers[0].requests) == 1


@on_loop
async def test_command_that_is_repeated_during_a_hot_restart_is_called_out_once(tmp_path: Path) -> None:
    """The connections go to either of two real processes, before and after the first one stops."""
    async with Rig(tmp_path, silent) as rig, Process(rig, tmp_path) as process:
        assert await (await process.client()).submit("m1", "print-order", d=20_000) == b"+OK\r\n"
        await rig.servers[0].wait_for_requests(1)
        previous, process.child = process.child, await process.start_another()
        await process.wait_for_log("serving")
        for stops in (False, True):
            if stops:
                previous.send_signal(signal.SIGTERM)
            for _ in range(8):
                client = await process.client()
                assert await client.submit("m1", "print-order", d=20_000) == b"+OK\r\n"
        assert await asyncio.wait_for(previous.wait(), 5) == 0
        assert await (await process.client()).submit("m1", "print-order", d=20_000) == b"+OK\r\n"
        assert len(rig.servers[0].requests) == 1


def test_records_of_the_other_process_are_followed_over_its_compactions(tmp_path: Path) -> None:
    first, second = (Journal(tmp_path, 3_000_000, lambda: 1_000_000) for _ in range(2))
    first.open()
    second.open()
    assert first.find_in_other_process("m0") is None
    for number in range(6):
        message = Message(f"m{number}", "c", "t", 3, LATER_US, b"body", "platform")
        assert second.take(message)
        known = first.find_in_other_process(message.id)
        assert isinstance(known, Message) and content_digest(known) == content_digest(message)
        second.end(message, End(Ending.DELIVERED))
        if number % 2:
            assert second._compact()
        if number % 3:
            assert second._compact()
        for earlier in range(number + 1):
            assert first.find_in_other_process(f"m{earlier}") == End(Ending.DELIVERED)
            assert first.content_digest_of_ended(f"m{earlier}") == content_digest(message)
    assert second.take(Message("owed", "c", "t", 3, LATER_US, b"", "platform"))
    second.close()
    assert isinstance(first.find_in_other_process("owed"), Message)
    assert [m.id for m in first.take_over() or []] == ["owed"]
    assert first.find_in_other_process("owed") is None and "owed" in first.owed
    first.close()


@pytest.mark.parametrize("front", ["platform", "otlp"])
@on_loop
async def test_one_id_that_reaches_both_processes_at_the_same_moment_runs_once(
    tmp_path: Path, front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each process looked for the id before the other one had recorded it."""
    async with Rig(tmp_path, answers(OK)) as rig:
        first, second = rig.sender, await rig.start_second()
        find_repeated, others = first.exchange.find_repeated, list[Message]()

        def find_and_be_overtaken(message: Message) -> Message | End | None:
            found = find_repeated(message)
            if not others:
                others.append(replace(message, unsettled={}, attempts_out={}))
                assert found is None and second.exchange.submit(others[0]) is None
            return found

        monkeypatch.setattr(first.exchange, "find_repeated", find_and_be_overtaken)
        if front == "platform":
            assert await (await rig.client()).submit("m1", "print-order") == b"+OK\r\n"
        else:
            assert (await rig.export(logs(), x_id="m1")).status == 200
        await rig.wait_for_end("m1")
        assert not first.exchange.messages and not first.journal.owed
        assert len(rig.servers[0].requests) == 1 and first.exchange.counts[Ending.DELIVERED] == 0


def test_a_message_is_not_accepted_while_the_other_process_holds_the_lock_of_ids(tmp_path: Path) -> None:
    first, second = (Journal(tmp_path, 1_000_000, lambda: 1) for _ in range(2))
    with closing(first), closing(second):
        first.open()
        second.open()
        message = Message("m1", "print-order", "", 7, LATER_US, b"x", "platform")
        with first._claim_lock.held() as is_held:
            assert is_held and not second.take(message)
        assert second.take(message) and not first.take(message)
