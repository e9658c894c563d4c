"""Runs the contract of message stores on each store, and on faulty stores that it has to detect."""

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
from rowanrack.store.journal import RETRY_DELAY_US, Journal
from rowanrack.store.journal_records import (
    BEGUN,
    MAGIC,
    JournalError,
    encode_byte_strings,
    encode_record,
    encode_status,
)
from rowanrack.store.memory import MemoryStore
from tests.contracts.stores import (
    DELIVERED,
    FAILED,
    NOW_US,
    OPERATIONS,
    REFUSED,
    JournalHarness,
    MemoryHarness,
    ReferenceModel,
    StoreHarness,
    check_disk_full_during_any_steps,
    check_killed_at_each_write,
    check_one_write_fails,
    check_torn_at_each_byte,
)

HARNESSES: dict[str, Callable[[], StoreHarness]] = {
    "memory": MemoryHarness,
    "journal": JournalHarness,
    "journal, reserved space fails too": lambda: JournalHarness(full="refuses"),
    "journal, no fallocate support": lambda: JournalHarness(supports_fallocate=False),
}


def check_any_order(make_harness: Callable[[], StoreHarness], *phases: Phase) -> None:
    """Check generated sequences of operations, with a disk that becomes full, and restarts."""
    message_names = st.sampled_from(["a", "keyed"])

    class StoreMachine(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.context, self.is_full = make_harness().running(), False
            self.model = ReferenceModel(self.context.__enter__())

        @rule(name=message_names, begins=st.booleans())
        def take(self, name: str, begins: bool) -> None:
            self.model.apply(("take", name))
            if begins:
                self.model.apply(("begin", name))

        @rule(name=message_names, step_name=st.sampled_from(["begin", "never_ran", "told"]))
        def step(self, name: str, step_name: str) -> None:
            self.model.apply((step_name, name))

        @rule(name=message_names, end=st.sampled_from([REFUSED, FAILED, DELIVERED]))
        def end(self, name: str, end: object) -> None:
            self.model.apply(("end", name, end))

        @precondition(lambda self: not self.is_full)
        @rule(name=message_names)
        def fill_disk(self, name: str) -> None:
            self.model.apply(("take", name))
            self.is_full = True
            self.model.apply(("full", True))

        @precondition(lambda self: self.is_full)
        @rule()
        def free_disk(self) -> None:
            self.is_full = False
            self.model.apply(("full", False))

        @rule(how=st.sampled_from(["kill", "close", ""]))
        def restart_or_compact(self, how: str) -> None:
            self.model.apply(("restart", how) if how else ("compact",))
            self.is_full = self.is_full and not how

        def teardown(self) -> None:
            self.context.__exit__(None, None, None)

    run_state_machine_as_test(
        StoreMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=100,
            stateful_step_count=30,
            database=None,
            phases=phases or tuple(Phase),
        ),
    )


CHECKS = (check_disk_full_during_any_steps, check_one_write_fails, check_any_order)
FILE_CHECKS = (check_killed_at_each_write, check_torn_at_each_byte)  # independent of disk-full behaviour


@pytest.mark.parametrize(
    ("store", "check"),
    [(s, c) for s in HARNESSES for c in CHECKS] + [("journal", c) for c in FILE_CHECKS],
)
def test_store_fulfils_its_contract(store: str, check: Callable[[Callable[[], StoreHarness]], None]) -> None:
    check(HARNESSES[store])


class DropsRefusedRecords(Journal):
    """Drops records that a full disk refuses, instead of queueing them."""

    def _write_or_queue(self, record: bytes) -> None:
        self._append(record)


class CompactionDropsAttempts(Journal):
    """Drops the begun attempts in a compaction."""

    @staticmethod
    def _message_records(message: Message) -> list[bytes]:
        return Journal._message_records(message)[:1]


class ReplayKeepsOldEnd(Journal):
    """Keeps the old end of a message that was submitted again in a replay."""

    def _apply_record(self, payload: bytes) -> None:
        ends = dict(self.ends)
        Journal._apply_record(self, payload)
        self.ends.update({i: e for i, e in ends.items() if i in self.owed})


class AppendsAfterTornWrite(Journal):
    """Appends the next record after the bytes that a failed write left."""

    def _handle_write_error(self, error: OSError, wanted_bytes: int = 0) -> None:
        if self.file is not None:
            self.file.size = max(self.file.size, self.file.torn_end)
        Journal._handle_write_error(self, error, wanted_bytes)


class KeepsTornTail(Journal):
    """Keeps a torn tail and appends after it, where a replay does not read."""

    def open(self) -> None:
        size = self.path.stat().st_size if self.path.exists() else 0
        Journal.open(self)
        assert self.file is not None
        self.file.size = max(self.file.size, size)


class WritesNewRecordsFirst(Journal):
    """Writes new records before queued ones."""

    def _append(self, record: bytes) -> bool:
        queued, self._unwritten = self._unwritten, deque()
        try:
            return Journal._append(self, record)
        finally:
            self._unwritten = queued

    def has_unwritten_records(self) -> bool:
        return False


class DropsRefusedChanges(MemoryStore):
    """Drops changes that the full durable state refuses."""

    def has_unwritten_records(self) -> bool:
        if self.durable.full:
            self._unwritten.clear()
        return MemoryStore.has_unwritten_records(self)


def check_generated_order(make_harness: Callable[[], StoreHarness]) -> None:
    check_any_order(make_harness, Phase.generate)


@pytest.mark.parametrize(
    ("make_harness", "checks"),
    [
        (lambda: JournalHarness(DropsRefusedRecords, "refuses"), (*CHECKS[:2], check_generated_order)),
        (
            lambda: JournalHarness(CompactionDropsAttempts),
            (CHECKS[0], check_generated_order, check_killed_at_each_write),
        ),
        (lambda: JournalHarness(ReplayKeepsOldEnd), (check_generated_order,)),
        (lambda: JournalHarness(AppendsAfterTornWrite), (check_one_write_fails,)),
        (lambda: JournalHarness(KeepsTornTail), FILE_CHECKS),
        (lambda: JournalHarness(WritesNewRecordsFirst, "refuses"), (CHECKS[0], check_generated_order)),
        (lambda: MemoryHarness(DropsRefusedChanges), (CHECKS[0], check_generated_order)),
    ],
)
def test_contract_detects_broken_store(
    make_harness: Callable[[], StoreHarness], checks: tuple[Callable[[Callable[[], StoreHarness]], None], ...]
) -> None:
    for check in checks:
        with pytest.raises(AssertionError):
            check(make_harness)


# A message without a key.
ACCEPTED_RECORD = MAGIC + encode_record(
    b"T" + encode_byte_strings(b"m", b"c", b"t", b"p", b"", b"body") + bytes(16)
)
BEGUN_RECORD = encode_record(encode_status(BEGUN, "m", 0))


@pytest.mark.parametrize(
    ("tail", "begun", "error"),
    [
        (b"", False, ""),
        (BEGUN_RECORD, True, ""),  # without a time, as older versions wrote it
        (bytes(100), False, ""),
        (BEGUN_RECORD[:4] + b"\xff" + BEGUN_RECORD[5:], False, ""),
        (b"\xff\xff\xff\x7f" + BEGUN_RECORD[4:], False, ""),
        (encode_record(bytes(1 << 20) + b"x") + BEGUN_RECORD, False, ""),
        (encode_record(b"Z" + encode_byte_strings(b"m")), False, "unreadable record"),
        (encode_record(b"B" + b"\xff\xff\xff\xff"), False, "unreadable record"),
    ],
)
def test_journal_reads_old_records_and_rejects_damaged_ones(
    tmp_path: Path, tail: bytes, begun: bool, error: str
) -> None:
    (tmp_path / "messages.log").write_bytes(ACCEPTED_RECORD + tail)
    journal = Journal(tmp_path, 3_000_000, lambda: NOW_US)
    if error:
        with pytest.raises(JournalError, match=error):
            journal.open()
        assert (tmp_path / "messages.log").read_bytes() == ACCEPTED_RECORD + tail and journal.lock_fd < 0
        return
    journal.open()
    assert journal.owed["m"].unsettled == ({0: 0} if begun else {})
    journal.close()


@pytest.mark.parametrize("failing_write_number", [0, 1, 2, 3])
@pytest.mark.parametrize("short_write", [False, True])
def test_take_over_is_atomic_when_a_write_fails(failing_write_number: int, short_write: bool) -> None:
    """Guards against removing the other process's file before its messages are recorded, which lost them."""
    harness = JournalHarness()
    with harness.running():
        model = ReferenceModel(harness)
        for operation in OPERATIONS[:13]:
            model.apply(operation)
        harness.store.close()
        lock_fd = os.open(harness.folder / "messages.lock", os.O_RDWR)
        fcntl.flock(lock_fd, fcntl.LOCK_EX)  # held as by the previous process, which still runs
        successor = harness.open()
        assert successor.slot == "messages.b" and successor.take_over() is None
        os.close(lock_fd)
        harness.disk.failing_write_number, harness.disk.short_write = (
            harness.disk.write_count + failing_write_number,
            short_write,
        )
        taken_over = successor.take_over()
        # The second write records the content of the other file; without it, that file stays in use.
        merged = successor.inherited is None
        assert merged == (failing_write_number != 2) == (not successor.write_error)
        harness.disk.failing_write_number = 0
        assert taken_over is not None and {m.id for m in taken_over} == model.messages.keys()
        assert merged == (not (harness.folder / "messages.log").exists())
        harness.kill()
        third = harness.open()
        assert third.take_over() is not None
        model.check(third)


def test_messages_taken_over_are_owned_even_if_the_old_file_cannot_be_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against messages that were recorded here, but owed neither here nor by the next process."""

    def refuse_unlink(path: Path, missing_ok: bool = False) -> None:
        raise PermissionError(errno.EACCES, "Permission denied")

    first, second = (Journal(tmp_path, 3_000_000, lambda: NOW_US) for _ in range(2))
    first.open()
    second.open()
    assert first.take(Message("a", "c", "t", 3, 5_000_000, b"", "platform"))
    first.close()
    monkeypatch.setattr(Path, "unlink", refuse_unlink)
    taken_over = second.take_over()
    assert taken_over is not None and [m.id for m in taken_over] == ["a"] and second.take_over() == []
    second.end(taken_over[0], DELIVERED)
    second.close()
    monkeypatch.undo()
    third = Journal(tmp_path, 3_000_000, lambda: NOW_US)
    third.open()
    assert third.take_over() == [] and not third.owed and third.ended("a") == DELIVERED


def test_failed_check_of_the_other_slot_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error that ended the take-over task and the orderly shutdown.

    It occurs when the process has no file descriptors left.
    """

    def fail_without_descriptors(*_: object, **__: object) -> int:
        raise OSError(errno.EMFILE, "Too many open files")

    now_us = [NOW_US]
    first, second = (Journal(tmp_path, 3_000_000, lambda: now_us[0]) for _ in range(2))
    first.open()
    second.open()
    assert first.take(Message("a", "c", "t", 3, 5_000_000, b"", "platform"))
    first.close()
    with monkeypatch.context() as patch:
        patch.setattr("rowanrack.store.journal.os.open", fail_without_descriptors)
        assert second.take_over() is None and not second.other_process_running()
    now_us[0] += 2 * RETRY_DELAY_US
    assert [m.id for m in second.take_over() or []] == ["a"]
