"""A full disk: what a sender records, accepts, starts and reports, within one process and across a kill."""

from __future__ import annotations

import asyncio
import logging
import resource
from pathlib import Path

import pytest

from rowanrack.core.messages import CallVerdict, End, Ending, Message
from rowanrack.net.http import Reply
from rowanrack.store.journal import Journal
from rowanrack.store.journal_records import JournalError
from rowanspindle import Result
from tests.contracts.stores import FaultyDisk
from tests.rig import SETTINGS, Process, Rig, answers, on_loop
from tests.test_core import SECOND_US, ExchangeHarness
from tests.test_parts import read_journal


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> FaultyDisk:
    disk = FaultyDisk()
    monkeypatch.setattr("rowanrack.store.journal_file.os", disk)
    return disk


def limit_file_size(pid: int, size: int) -> None:
    """Limit the size of files that a running process may write, in bytes."""
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


@on_loop
async def test_end_recorded_after_a_full_disk_survives_a_kill(tmp_path: Path) -> None:
    """Guards against delivering a message twice because its queued end was lost by a kill.

    The end was not written although the disk had room again before the kill.
    """
    answer = asyncio.Event()

    async def answer_late(_: object) -> Reply | None:
        await answer.wait()
        return Reply(200, {})

    async with Rig(tmp_path, answer_late) as rig, Process(rig, tmp_path) as process:
        client = await process.client()
        assert await client.submit("m1", "print-order", d=20_000) == b"+OK\r\n"
        await rig.servers[0].wait_for_requests(1)
        # Below the file's size, so that writes into reserved space fail too.
        limit_file_size(process.child.pid, 100)
        answer.set()
        await process.wait_for_log("cannot write, no new messages are accepted: File too large")
        assert (await client.submit("m2")).startswith(b"-BUSY")
        owed = read_journal(process.folder).owed
        assert list(owed) == ["m1"] and owed["m1"].unsettled
        limit_file_size(process.child.pid, resource.RLIM_INFINITY)
        await process.wait_for_log("the disk has room again")  # without any request from a client
        assert read_journal(process.folder).ended("m1") == End(Ending.DELIVERED)
        process.child.kill()
        await process.child.wait()
        before = read_journal(process.folder)
        assert before.ended("m1") == End(Ending.DELIVERED) and "m1" not in before.owed
        await process.start()
        again = await process.client()
        assert await again.submit("m1", "print-order", d=20_000) == b"+OK\r\n"  # already known, with its end
        assert await again.submit("m4") == b"+OK\r\n"
        assert [r.headers["x-txn"] for r in await rig.servers[0].wait_for_requests(2)] == ["m1", "m4"]


@pytest.mark.parametrize("then_completes", [True, False])
def test_owed_messages_are_completed_in_reserved_space(
    tmp_path: Path, disk: FaultyDisk, caplog: pytest.LogCaptureFixture, then_completes: bool
) -> None:
    desk = ExchangeHarness(tmp_path, {"limits": SETTINGS["limits"] | {"most_held": 500}})
    attempt = desk.submit("m1")
    assert desk.journal._compact()  # the new file reserves the same space
    disk.mode = "full"
    if then_completes:
        assert desk.exchange.begin(attempt)
        desk.exchange.settle(attempt, Result.OK)
        assert read_journal(tmp_path).ends.keys() == {"m1"} and not desk.journal.has_unwritten_records()
        return
    accepted = [n for n in range(200) if desk.exchange.submit(make_message(desk, str(n))) is None]
    assert 3 < len(accepted) < 100  # as many as fit into the space already reserved
    assert desk.exchange.begin(attempt)
    desk.exchange.settle(attempt, Result.OK)
    assert read_journal(tmp_path).ends.keys() == {"m1"} and not desk.journal.has_unwritten_records()
    disk.mode = "room"
    desk.run(200_000)
    assert desk.journal.can_record() and desk.exchange.submit(make_message(desk, "more")) is None
    lines = [r.message for r in caplog.records if r.levelno >= logging.WARNING]
    assert len(lines) == 2 and "no new messages" in lines[0] and "room again" in lines[1]


def test_idle_sender_checks_for_disk_space(tmp_path: Path, disk: FaultyDisk) -> None:
    desk = ExchangeHarness(tmp_path)
    desk.run(SECOND_US)
    disk.mode = "refuses"
    assert desk.exchange.submit(make_message(desk, "m1")) is not None
    next_check_at = desk.exchange.wheel.next_at()
    assert next_check_at is not None and 0 < next_check_at - desk.now <= 110_000


def test_unwritten_record_is_written_before_the_next_one(tmp_path: Path, disk: FaultyDisk) -> None:
    desk = ExchangeHarness(tmp_path)
    messages = [make_message(desk, name) for name in ("a", "b")]
    assert all(desk.journal.take(m) for m in messages)
    disk.failing_write_number = disk.write_count + 1
    desk.journal.end(messages[0], End(Ending.DELIVERED))
    assert not read_journal(tmp_path).ends
    desk.journal.end(messages[1], End(Ending.DELIVERED))
    assert list(read_journal(tmp_path).ends) == ["a", "b"]


@pytest.mark.parametrize("short_write", [False, True])
def test_first_start_on_a_full_disk_fails_and_releases_the_slot(
    tmp_path: Path, disk: FaultyDisk, short_write: bool
) -> None:
    disk.failing_write_number, disk.short_write = 1, short_write
    journal = Journal(tmp_path, 3_000_000, lambda: SECOND_US)
    with pytest.raises(JournalError, match="only 10 of 20" if short_write else "No space left"):
        journal.open()
    journal.open()
    assert journal.slot == "messages" and journal.take(Message("m", "c", "t", 3, SECOND_US, b"", "platform"))


def make_message(desk: ExchangeHarness, name: str) -> Message:
    return Message(name, "print-order", "a", 7, desk.now + 3 * SECOND_US, b"x", "platform")


def test_disk_error_consumes_no_attempts_and_causes_no_outage(tmp_path: Path, disk: FaultyDisk) -> None:
    """Guards against stopping each call before its first byte and repeating it until no attempt is left."""
    desk = ExchangeHarness(tmp_path)
    first = desk.submit("m1")
    assert desk.exchange.begin(first) and desk.exchange.submit(make_message(desk, "m2")) is None
    disk.mode = "refuses"
    desk.exchange.settle(first, Result.OK)
    assert desk.ends == {"m1": End(Ending.DELIVERED)} and desk.exchange.find_message("m1") == desk.ends["m1"]
    desk.run(2 * SECOND_US)
    assert desk.calls == [first] and 2 <= desk.exchange.messages["m2"].attempts_made <= 5
    assert desk.exchange.forwarder.endpoints["i0"].out_since is None
    assert desk.exchange.submit(make_message(desk, "m3")) is not None
    disk.mode = "room"
    desk.run(700_000)
    assert read_journal(tmp_path).ends.keys() == {"m1"}
    assert desk.calls[1].message.id == "m2" and desk.exchange.begin(desk.calls[1])


def test_ends_queued_during_a_full_disk_are_written_later(tmp_path: Path, disk: FaultyDisk) -> None:
    desk = ExchangeHarness(tmp_path)
    first = desk.submit("m1")
    assert desk.exchange.begin(first) and desk.exchange.submit(make_message(desk, "m2")) is None
    disk.mode = "refuses"
    desk.exchange.settle(first, CallVerdict(Result.FULL, SECOND_US))
    desk.run(4 * SECOND_US)
    assert {i: e.ending for i, e in desk.ends.items()} == dict.fromkeys(("m1", "m2"), Ending.REFUSED)
    assert not read_journal(tmp_path).ends
    disk.mode = "room"
    desk.run(200_000)
    assert read_journal(tmp_path).ends.keys() == {"m1", "m2"}


@on_loop
async def test_readiness_reports_that_the_journal_cannot_write(tmp_path: Path, disk: FaultyDisk) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        assert rig.sender.ready() and rig.sender.unready_reason() == ""
        disk.mode = "refuses"
        assert (await client.submit("m1")).startswith(b"-BUSY")
        assert rig.sender.unready_reason() == "the journal records nothing new: No space left on device"
        assert not rig.sender.ready()
        disk.mode = "room"
        assert rig.sender.ready()
        assert await client.submit("m1") == b"+OK\r\n"


@pytest.mark.parametrize("id_length", [1, 256])
@pytest.mark.parametrize("key", ["", "k"])
def test_files_stay_within_the_budget_with_the_largest_records(
    tmp_path: Path, disk: FaultyDisk, id_length: int, key: str
) -> None:
    """Guards against reserving too little for attempts and ends of messages with ids longer than 19 bytes."""
    sizes, now, budget = [0], [SECOND_US], 150_000
    disk.before_write = lambda: sizes.append(sum(f.stat().st_size for f in tmp_path.iterdir()))
    journal = Journal(tmp_path, budget, lambda: now[0], attempts=3)
    journal.open()
    for wave in range(4):
        owed = []
        for n in range(400):
            name = f"{wave}-{n}".ljust(id_length, "-")
            message = Message(name, "c", "t", 3, now[0], b"", "platform", key=key)
            if journal.take(message):
                owed.append(message)
        assert len(owed) > 10
        for attempt_number in range(3):
            for message in owed:
                message.attempts_made = attempt_number + 1
                assert journal.begin(message, attempt_number)
                journal.never_ran(message, attempt_number)
        for message in owed:
            journal.end(message, End(Ending.FAILED))
            journal.confirm_notice(message.id)
        assert journal.file is not None and journal.file.size <= journal.file.reserved_end
        now[0] += 100 * SECOND_US  # all ends are expired
    assert max(sizes) <= budget
    journal.close()
