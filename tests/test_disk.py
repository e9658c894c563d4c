"""A full disk: what a sender records, takes, begins and says of it, in one process and across a kill."""

from __future__ import annotations

import asyncio
import logging
import resource
from pathlib import Path

import pytest

from rowanrack.core.messages import CallVerdict, End, Ending, Message
from rowanrack.net.http import Reply
from rowanrack.store.journal import Journal, JournalError
from rowanspindle import Result
from tests.contracts.stores import Disk
from tests.rig import SETTINGS, Process, Rig, answers, on_loop
from tests.test_core import SECOND_US, ExchangeHarness
from tests.test_parts import peek


@pytest.fixture
def disk(monkeypatch: pytest.MonkeyPatch) -> Disk:
    disk = Disk()
    monkeypatch.setattr("rowanrack.store.journal_file.os", disk)
    return disk


def limit(pid: int, size: int) -> None:
    """The longest that a running process may make a file, in bytes."""
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))


@on_loop
async def test_an_end_behind_a_full_disk_outlasts_a_kill(tmp_path: Path) -> None:
    """It was owed again, and went out a second time, although the disk had had room in between."""
    answer = asyncio.Event()

    async def late(_: object) -> Reply | None:
        await answer.wait()
        return Reply(200, {})

    async with Rig(tmp_path, late) as rig, Process(rig, tmp_path) as process:
        client = await process.client()
        assert await client.submit("m1", "print-order", d=20_000) == b"+OK\r\n"
        await rig.servers[0].asked(1)
        limit(process.child.pid, 100)  # under what the file has: its reserved room fails too
        answer.set()
        await process.logged("the disk refuses writes, nothing new is taken: File too large")
        assert (await client.submit("m2")).startswith(b"-BUSY")
        owed = peek(process.folder).owed
        assert list(owed) == ["m1"] and owed["m1"].unsettled
        limit(process.child.pid, resource.RLIM_INFINITY)
        await process.logged("the disk has room again")  # though nobody asks it for anything
        assert peek(process.folder).ended("m1") == End(Ending.DELIVERED)
        process.child.kill()
        await process.child.wait()
        before = peek(process.folder)
        assert before.ended("m1") == End(Ending.DELIVERED) and "m1" not in before.owed
        await process.start()
        again = await process.client()
        assert await again.submit("m1", "print-order", d=20_000) == b"+OK\r\n"  # known, with its end
        assert await again.submit("m4") == b"+OK\r\n"
        assert [r.headers["x-txn"] for r in await rig.servers[0].asked(2)] == ["m1", "m4"]


@pytest.mark.parametrize("then_ends", [True, False])
def test_what_is_owed_goes_on_in_its_reserved_room(
    tmp_path: Path, disk: Disk, caplog: pytest.LogCaptureFixture, then_ends: bool
) -> None:
    desk = ExchangeHarness(tmp_path, {"limits": SETTINGS["limits"] | {"most_held": 500}})
    attempt = desk.submit("m1")
    assert desk.journal._compact()  # the new file has that room too
    disk.mode = "full"
    if then_ends:
        assert desk.exchange.begin(attempt)
        desk.exchange.settle(attempt, Result.OK)
        assert peek(tmp_path).ends.keys() == {"m1"} and not desk.journal.behind()
        return
    taken = [n for n in range(200) if desk.exchange.submit(order(desk, str(n))) is None]
    assert 3 < len(taken) < 100  # as many as the room at hand is promised to
    assert desk.exchange.begin(attempt)
    desk.exchange.settle(attempt, Result.OK)
    assert peek(tmp_path).ends.keys() == {"m1"} and not desk.journal.behind()
    disk.mode = "room"
    desk.run(200_000)
    assert desk.journal.recording() and desk.exchange.submit(order(desk, "more")) is None
    lines = [r.message for r in caplog.records if r.levelno >= logging.WARNING]
    assert len(lines) == 2 and "nothing new" in lines[0] and "room again" in lines[1]


def test_a_sender_with_nothing_else_to_do_looks_whether_there_is_room(tmp_path: Path, disk: Disk) -> None:
    desk = ExchangeHarness(tmp_path)
    desk.run(SECOND_US)
    disk.mode = "refuses"
    assert desk.exchange.submit(order(desk, "m1")) is not None
    looks_at = desk.exchange.wheel.next_at()
    assert looks_at is not None and 0 < looks_at - desk.now <= 110_000


def test_a_record_that_was_not_written_goes_ahead_of_the_next(tmp_path: Path, disk: Disk) -> None:
    desk = ExchangeHarness(tmp_path)
    messages = [order(desk, name) for name in ("a", "b")]
    assert all(desk.journal.take(m) for m in messages)
    disk.fails_at = disk.writes + 1
    desk.journal.end(messages[0], End(Ending.DELIVERED))
    assert not peek(tmp_path).ends
    desk.journal.end(messages[1], End(Ending.DELIVERED))
    assert list(peek(tmp_path).ends) == ["a", "b"]


@pytest.mark.parametrize("short", [False, True])
def test_a_first_start_on_a_full_disk_says_so_and_leaves_nothing_held(
    tmp_path: Path, disk: Disk, short: bool
) -> None:
    disk.fails_at, disk.short = 1, short
    journal = Journal(tmp_path, 3_000_000, lambda: SECOND_US)
    with pytest.raises(JournalError, match="only 10 of 20" if short else "No space left"):
        journal.open()
    journal.open()
    assert journal.slot == "messages" and journal.take(Message("m", "c", "t", 3, SECOND_US, b"", "platform"))


def order(desk: ExchangeHarness, name: str) -> Message:
    return Message(name, "print-order", "a", 7, desk.now + 3 * SECOND_US, b"x", "platform")


def test_a_disk_that_refuses_uses_up_no_attempts_and_blames_nobody(tmp_path: Path, disk: Disk) -> None:
    """Each call was stopped at its first byte and made anew in the next round, until no attempt was left."""
    desk = ExchangeHarness(tmp_path)
    first = desk.submit("m1")
    assert desk.exchange.begin(first) and desk.exchange.submit(order(desk, "m2")) is None
    disk.mode = "refuses"
    desk.exchange.settle(first, Result.OK)
    assert desk.ends == {"m1": End(Ending.DELIVERED)} and desk.exchange.known("m1") == desk.ends["m1"]
    desk.run(2 * SECOND_US)
    assert desk.calls == [first] and 2 <= desk.exchange.messages["m2"].attempts_made <= 5
    assert desk.exchange.forwarder.endpoints["i0"].out_since is None
    assert desk.exchange.submit(order(desk, "m3")) is not None
    disk.mode = "room"
    desk.run(700_000)
    assert peek(tmp_path).ends.keys() == {"m1"}
    assert desk.calls[1].message.id == "m2" and desk.exchange.begin(desk.calls[1])


def test_what_is_over_behind_a_full_disk_is_written_in_order(tmp_path: Path, disk: Disk) -> None:
    desk = ExchangeHarness(tmp_path)
    first = desk.submit("m1")
    assert desk.exchange.begin(first) and desk.exchange.submit(order(desk, "m2")) is None
    disk.mode = "refuses"
    desk.exchange.settle(first, CallVerdict(Result.FULL, SECOND_US))
    desk.run(4 * SECOND_US)
    assert {i: e.ending for i, e in desk.ends.items()} == dict.fromkeys(("m1", "m2"), Ending.REFUSED)
    assert not peek(tmp_path).ends
    disk.mode = "room"
    desk.run(200_000)
    assert peek(tmp_path).ends.keys() == {"m1", "m2"}


@on_loop
async def test_readiness_says_that_nothing_is_recorded(tmp_path: Path, disk: Disk) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        assert rig.sender.ready() and rig.sender.unready() == ""
        disk.mode = "refuses"
        assert (await client.submit("m1")).startswith(b"-BUSY")
        assert rig.sender.unready() == "the journal records nothing new: No space left on device"
        assert not rig.sender.ready()
        disk.mode = "room"
        assert rig.sender.ready()
        assert await client.submit("m1") == b"+OK\r\n"


@pytest.mark.parametrize("id_length", [1, 256])
@pytest.mark.parametrize("key", ["", "k"])
def test_the_files_stay_in_the_budget_with_each_message_at_its_worst(
    tmp_path: Path, disk: Disk, id_length: int, key: str
) -> None:
    """What was reckoned for attempts and ends was too little for ids longer than 19 bytes."""
    most, now, budget = [0], [SECOND_US], 150_000
    disk.before = lambda: most.append(sum(f.stat().st_size for f in tmp_path.iterdir()))
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
        for leg in range(3):
            for message in owed:
                message.attempts_made = leg + 1
                assert journal.begin(message, leg)
                journal.never_ran(message, leg)
        for message in owed:
            journal.end(message, End(Ending.FAILED))
            journal.told(message.id)
        assert journal.file is not None and journal.file.size <= journal.file.room
        now[0] += 100 * SECOND_US  # the ends are of no use any more
    assert max(most) <= budget
    journal.close()
