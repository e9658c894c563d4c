"""Each store of messages is held to the contract, and stores that are broken in one way are caught by it."""

from __future__ import annotations

import errno
import fcntl
import os
from collections import deque
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from rowanrack.core.messages import Message
from rowanrack.store.journal import (
    BEGUN,
    MAGIC,
    RETRY_DELAY_US,
    Journal,
    JournalError,
    encode_byte_strings,
    encode_record,
    encode_status,
)
from rowanrack.store.memory import MemoryStore
from tests.contracts.stores import (
    DELIVERED,
    FAILED,
    NOW,
    REFUSED,
    SCRIPT,
    Bench,
    JournalBench,
    Ledger,
    MemoryBench,
    check_full_from_and_to,
    check_killed_at_each_write,
    check_one_write_fails,
    check_torn_at_each_byte,
)

STORES: dict[str, Callable[[], Bench]] = {
    "memory": MemoryBench,
    "journal": JournalBench,
    "journal, its room fails too": lambda: JournalBench(full="refuses"),
    "journal, nothing can be reserved": lambda: JournalBench(reserves=False),
}


def check_any_order(bench: Callable[[], Bench], *phases: Phase) -> None:
    """Steps in any order, with a disk that fills and empties, and processes that are killed."""
    names = st.sampled_from(["a", "keyed"])

    class Machine(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.context, self.is_full = bench().set_up(), False
            self.ledger = Ledger(self.context.__enter__())

        @rule(name=names, begins=st.booleans())
        def take(self, name: str, begins: bool) -> None:
            self.ledger.do(("take", name))
            if begins:
                self.ledger.do(("begin", name))

        @rule(name=names, what=st.sampled_from(["begin", "never_ran", "told"]))
        def step(self, name: str, what: str) -> None:
            self.ledger.do((what, name))

        @rule(name=names, end=st.sampled_from([REFUSED, FAILED, DELIVERED]))
        def end(self, name: str, end: object) -> None:
            self.ledger.do(("end", name, end))

        @precondition(lambda self: not self.is_full)
        @rule(name=names)
        def the_disk_fills(self, name: str) -> None:
            self.ledger.do(("take", name))
            self.is_full = True
            self.ledger.do(("full", True))

        @precondition(lambda self: self.is_full)
        @rule()
        def the_disk_has_room(self) -> None:
            self.is_full = False
            self.ledger.do(("full", False))

        @rule(how=st.sampled_from(["kill", "close", ""]))
        def restart_or_compact(self, how: str) -> None:
            self.ledger.do(("restart", how) if how else ("compact",))
            self.is_full = self.is_full and not how

        def teardown(self) -> None:
            self.context.__exit__(None, None, None)

    run_state_machine_as_test(
        Machine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=100,
            stateful_step_count=30,
            database=None,
            phases=phases or tuple(Phase),
        ),
    )


CHECKS = (check_full_from_and_to, check_one_write_fails, check_any_order)
ON_FILES = (check_killed_at_each_write, check_torn_at_each_byte)  # whatever a full disk does


@pytest.mark.parametrize(
    ("store", "check"),
    [(s, c) for s in STORES for c in CHECKS] + [("journal", c) for c in ON_FILES],
)
def test_a_store_keeps_its_contract(store: str, check: Callable[[Callable[[], Bench]], None]) -> None:
    check(STORES[store])


class ForgetsEnds(Journal):
    """What a full disk refuses is dropped, as it was before."""

    def _write_or_queue(self, record: bytes) -> None:
        self._append(record)


class ForgetsBegun(Journal):
    """A compaction drops the attempts that have begun."""

    @staticmethod
    def _message_records(message: Message) -> list[bytes]:
        return Journal._message_records(message)[:1]


class OldEndLasts(Journal):
    """A message that comes again keeps its old end behind a replay, as it was before."""

    def _apply_record(self, payload: bytes) -> None:
        ends = dict(self.ends)
        Journal._apply_record(self, payload)
        self.ends.update({i: e for i, e in ends.items() if i in self.owed})


class LeavesTorn(Journal):
    """The next record goes behind what a failed write left."""

    def _handle_write_error(self, error: OSError, wanted: int = 0) -> None:
        if self.file is not None:
            self.file.size = max(self.file.size, self.file.torn_end)
        Journal._handle_write_error(self, error, wanted)


class KeepsTorn(Journal):
    """A torn tail stays, and the next record goes behind it, where no replay comes."""

    def open(self) -> None:
        size = self.path.stat().st_size if self.path.exists() else 0
        Journal.open(self)
        assert self.file is not None
        self.file.size = max(self.file.size, size)


class NewFirst(Journal):
    """Something new is taken before what had happened is written."""

    def _append(self, record: bytes) -> bool:
        kept, self._unwritten = self._unwritten, deque()
        try:
            return Journal._append(self, record)
        finally:
            self._unwritten = kept

    def behind(self) -> bool:
        return False


class ForgetfulMemory(MemoryStore):
    """The same as the first, in memory."""

    def behind(self) -> bool:
        if self.durable.full:
            self._unwritten.clear()
        return MemoryStore.behind(self)


def in_any_order(bench: Callable[[], Bench]) -> None:
    check_any_order(bench, Phase.generate)


@pytest.mark.parametrize(
    ("bench", "checks"),
    [
        (lambda: JournalBench(ForgetsEnds, "refuses"), (*CHECKS[:2], in_any_order)),
        (lambda: JournalBench(ForgetsBegun), (CHECKS[0], in_any_order, check_killed_at_each_write)),
        (lambda: JournalBench(OldEndLasts), (in_any_order,)),
        (lambda: JournalBench(LeavesTorn), (check_one_write_fails,)),
        (lambda: JournalBench(KeepsTorn), ON_FILES),
        (lambda: JournalBench(NewFirst, "refuses"), (CHECKS[0], in_any_order)),
        (lambda: MemoryBench(ForgetfulMemory), (CHECKS[0], in_any_order)),
    ],
)
def test_the_contract_catches_a_broken_store(
    bench: Callable[[], Bench], checks: tuple[Callable[[Callable[[], Bench]], None], ...]
) -> None:
    for check in checks:
        with pytest.raises(AssertionError):
            check(bench)


# A message without a key.
WHOLE = MAGIC + encode_record(b"T" + encode_byte_strings(b"m", b"c", b"t", b"p", b"", b"body") + bytes(16))
BEGAN = encode_record(encode_status(BEGUN, "m", 0))


@pytest.mark.parametrize(
    ("behind", "begun", "refused"),
    [
        (b"", False, ""),
        (BEGAN, True, ""),  # as older versions wrote it, without its time
        (bytes(100), False, ""),
        (BEGAN[:4] + b"\xff" + BEGAN[5:], False, ""),
        (b"\xff\xff\xff\x7f" + BEGAN[4:], False, ""),
        (encode_record(bytes(1 << 20) + b"x") + BEGAN, False, ""),
        (encode_record(b"Z" + encode_byte_strings(b"m")), False, "unreadable record"),
        (encode_record(b"B" + b"\xff\xff\xff\xff"), False, "unreadable record"),
    ],
)
def test_older_overlong_and_damaged_records(tmp_path: Path, behind: bytes, begun: bool, refused: str) -> None:
    (tmp_path / "messages.log").write_bytes(WHOLE + behind)
    journal = Journal(tmp_path, 3_000_000, lambda: NOW)
    if refused:
        with pytest.raises(JournalError, match=refused):
            journal.open()
        assert (tmp_path / "messages.log").read_bytes() == WHOLE + behind and journal.lock_fd < 0
        return
    journal.open()
    assert journal.owed["m"].unsettled == ({0: 0} if begun else {})
    journal.close()


@pytest.mark.parametrize("fails_at", [0, 1, 2])
@pytest.mark.parametrize("short", [False, True])
def test_a_take_over_is_whole_or_not_at_all(fails_at: int, short: bool) -> None:
    """The other file went whatever was recorded, and with it what was owed."""
    bench = JournalBench()
    with bench.set_up():
        ledger = Ledger(bench)
        for op in SCRIPT[:13]:
            ledger.do(op)
        bench.store.close()
        lock = os.open(bench.folder / "messages.lock", os.O_RDWR)
        fcntl.flock(lock, fcntl.LOCK_EX)  # as the process before, while it still serves
        new = bench.open()
        assert new.slot == "messages.b" and new.absorb() is None
        os.close(lock)
        bench.disk.fails_at, bench.disk.short = bench.disk.writes + fails_at, short
        taken = new.absorb()
        assert (taken is None) == (fails_at == 1) == bool(new.trouble)
        bench.disk.fails_at = 0
        assert taken is None or {m.id for m in taken} == ledger.messages.keys()
        bench.kill()
        last = bench.open()
        assert last.absorb() is not None
        ledger.check(last)


def test_what_is_taken_over_is_owned_though_its_file_cannot_be_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was recorded here, and neither owed here nor left to the next process."""

    def refused(path: Path, missing_ok: bool = False) -> None:
        raise PermissionError(errno.EACCES, "Permission denied")

    first, second = (Journal(tmp_path, 3_000_000, lambda: NOW) for _ in range(2))
    first.open()
    second.open()
    assert first.take(Message("a", "c", "t", 3, 5_000_000, b"", "platform"))
    first.close()
    monkeypatch.setattr(Path, "unlink", refused)
    taken = second.absorb()
    assert taken is not None and [m.id for m in taken] == ["a"] and second.absorb() == []
    second.end(taken[0], DELIVERED)
    second.close()
    monkeypatch.undo()
    third = Journal(tmp_path, 3_000_000, lambda: NOW)
    third.open()
    assert third.absorb() == [] and not third.owed and third.ended("a") == DELIVERED


def test_a_look_at_the_other_slot_that_fails_is_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With no descriptor left it ended the task that waits for the other process, and the orderly exit."""

    def short(*_: object, **__: object) -> int:
        raise OSError(errno.EMFILE, "Too many open files")

    now = [NOW]
    first, second = (Journal(tmp_path, 3_000_000, lambda: now[0]) for _ in range(2))
    first.open()
    second.open()
    assert first.take(Message("a", "c", "t", 3, 5_000_000, b"", "platform"))
    first.close()
    with monkeypatch.context() as patch:
        patch.setattr("rowanrack.store.journal.os.open", short)
        assert second.absorb() is None and not second.shared()
    now[0] += 2 * RETRY_DELAY_US
    assert [m.id for m in second.absorb() or []] == ["a"]
