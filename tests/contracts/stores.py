"""The contract of message stores: checks with crashes and disk errors, and harnesses that run a store."""

from __future__ import annotations

import errno
import os
import shutil
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Protocol
from unittest import mock

from rowanrack.core.exchange import Store
from rowanrack.core.messages import End, Ending, Message
from rowanrack.store.journal import Journal
from rowanrack.store.memory import MemoryStore, MessageState

NOW_US = 1_000_000
REFUSED, FAILED, DELIVERED = End(Ending.REFUSED, 700_000), End(Ending.FAILED), End(Ending.DELIVERED)
Operation = tuple[Any, ...]
Snapshot = tuple[dict[str, Any], dict[str, End], list[tuple[str, End]]]

# Covers every kind of record, reused ids, a message with a key, and compactions in between.
OPERATIONS: list[Operation] = [
    ("take", "a"),
    ("begin", "a", 0),
    ("never_ran", "a", 0),
    ("take", "b"),
    ("begin", "a", 1),
    ("end", "b", REFUSED),
    ("compact",),
    ("take", "keyed"),
    ("begin", "keyed", 0),
    ("told", "b"),
    ("take", "b"),
    ("end", "a", DELIVERED),
    ("begin", "b", 0),
    ("compact",),
    ("end", "keyed", FAILED),
    ("take", "a"),
    ("end", "b", FAILED),
    ("told", "b"),
]


class InspectableStore(Store, Protocol):
    """The methods of a store that the sender uses beyond `Store`."""

    @property
    def owed(self) -> dict[str, Message]:
        """The messages that are owed, by id."""

    def confirm_notice(self, message_id: str) -> None:
        """Record that the notice of an end was confirmed."""

    def unconfirmed_notices(self, front: str) -> list[tuple[str, End]]:
        """Return a front's refused and failed messages whose notice is not yet confirmed."""


class FaultyDisk:
    """Replaces `os` in the journal by a disk that is full, refuses all writes, or fails the n-th write.

    `mode` is "room", "full" (only reserved space can be written) or "refuses".
    """

    def __init__(self, supports_fallocate: bool = True) -> None:
        self.supports_fallocate, self.mode, self.write_count = supports_fallocate, "room", 0
        self.failing_write_number, self.short_write = 0, False
        self.before_write: Callable[[], None] = lambda: None

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def _is_failing_write(self) -> bool:
        self.before_write()
        self.write_count += 1
        return self.write_count == self.failing_write_number

    def pwrite(self, fd: int, data: bytes, offset: int) -> int:
        """Write as many bytes as the disk accepts."""
        accepted_bytes = len(data)
        if self._is_failing_write() or self.mode == "refuses":
            accepted_bytes = accepted_bytes // 2 if self.short_write else 0
        elif self.mode == "full":
            accepted_bytes = min(accepted_bytes, os.fstat(fd).st_size - offset)
        if accepted_bytes <= 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        return os.pwrite(fd, data[:accepted_bytes], offset)

    def posix_fallocate(self, fd: int, start: int, size: int) -> None:
        """Reserve space if the disk has any."""
        if self._is_failing_write() or self.mode != "room":
            raise OSError(errno.ENOSPC, "No space left on device")
        if not self.supports_fallocate:
            raise OSError(errno.EOPNOTSUPP, "Operation not supported")
        os.posix_fallocate(fd, start, size)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, which is the last step of a compaction."""
        if self._is_failing_write():
            raise OSError(errno.EIO, "Input/output error")
        os.rename(old, new)


class JournalHarness:
    """Runs the journal in successive processes that share a folder."""

    def __init__(
        self, store_class: type[Journal] = Journal, full: str = "full", supports_fallocate: bool = True
    ) -> None:
        self.store_class, self.full_mode, self.disk = store_class, full, FaultyDisk(supports_fallocate)
        self.folder = Path(tempfile.mkdtemp())
        self.store: Journal

    def open(self) -> Journal:
        """Start a new process."""
        self.store = self.store_class(self.folder, 3_000_000, lambda: NOW_US)
        self.store.open()
        return self.store

    def full(self, on: bool) -> None:
        """Make the disk full, or not full."""
        self.disk.mode = self.full_mode if on else "room"

    def compact(self) -> None:
        """Compact the file, and allow the next compaction at once."""
        self.store._compact()
        self.store._compaction_retry_us = 0

    def kill(self) -> None:
        """Kill the process; data that it passed to the kernel is kept."""
        for journal in (self.store, self.store.inherited):
            if journal is not None:
                assert journal.file is not None
                os.close(journal.file.fd)
                os.close(journal.lock_fd)

    def close(self) -> None:
        """Stop the process in an orderly way."""
        self.store.close()

    @contextmanager
    def running(self) -> Iterator[JournalHarness]:
        """Replace `os` in the journal by the faulty disk, and clean up at the end."""
        with mock.patch("rowanrack.store.journal.os", self.disk), mock.patch(
            "rowanrack.store.journal_file.os", self.disk
        ):  # fmt: skip
            yield self
        self.full(False)
        self.store.close()
        shutil.rmtree(self.folder)


class MemoryHarness:
    """Runs the store in memory in successive processes."""

    def __init__(self, store_class: type[MemoryStore] = MemoryStore) -> None:
        self.store_class, self.durable = store_class, MessageState()

    def open(self) -> MemoryStore:
        """Start a new process."""
        return self.store_class(self.durable, lambda: NOW_US)

    def full(self, on: bool) -> None:
        """Make the durable state full, or not full."""
        self.durable.full = on

    def compact(self) -> None:
        """Do nothing: this store needs no compaction, and no clean-up at its end."""

    kill = close = compact

    @contextmanager
    def running(self) -> Iterator[MemoryHarness]:
        """Run the harness, which needs no clean-up."""
        yield self


StoreHarness = JournalHarness | MemoryHarness


def snapshot(store: InspectableStore) -> Snapshot:
    """Return everything that a new process learns from its store."""
    owed = {
        i: (m.cls, m.tenant, m.dest, m.deadline_us, m.body, m.front, m.form, m.key, dict(m.unsettled))
        for i, m in store.owed.items()
    }
    ends = {i: end for i in ("a", "b", "c", "keyed") if (end := store.ended(i)) is not None}
    return owed, ends, sorted(store.unconfirmed_notices("platform"), key=lambda pair: pair[0])


class ReferenceModel:
    """Applies operations to a store, as the exchange does, and tracks the expected state."""

    def __init__(self, harness: StoreHarness) -> None:
        self.harness, self.store = harness, harness.open()
        self.messages: dict[str, Message] = {}
        self.begun_counts: dict[str, int] = {}
        self.ends: dict[str, End] = {}
        self.untold: set[str] = set()
        # The states that the next process may find: more than one only while records are unwritten.
        self.allowed_snapshots: list[Snapshot] = [self.expected_snapshot()]

    def expected_snapshot(self) -> Snapshot:
        """Return the expected state."""
        owed = {
            i: ("c", "t", 3, 5_000_000, b"body of " + i.encode(), "platform", "f", m.key, dict(m.unsettled))
            for i, m in self.messages.items()
        }
        return owed, dict(self.ends), [(i, self.ends[i]) for i in sorted(self.untold)]

    def apply(self, operation: Operation) -> None:
        """Apply an operation, if it is valid now, and compare the results of the store."""
        getattr(self, operation[0])(*operation[1:])
        assert self.store.ended("a") == self.ends.get("a") and self.store.owed.keys() == self.messages.keys()
        if not self.store.has_unwritten_records():
            self.allowed_snapshots = []
        self.allowed_snapshots.append(self.expected_snapshot())

    def take(self, name: str) -> None:
        body, key = b"body of " + name.encode(), "k" * (name == "keyed")
        message = Message(name, "c", "t", 3, 5_000_000, body, "platform", "f", key)
        if name not in self.messages and self.store.take(message):
            assert not self.store.has_unwritten_records(), (
                "a message was accepted before earlier records were written"
            )
            self.messages[name], self.begun_counts[name] = message, 0
            self.ends.pop(name, None)
            self.untold.discard(name)

    def begin(self, name: str, attempt_number: int | None = None) -> None:
        if (message := self.messages.get(name)) is None:
            return
        attempt_number, message.attempts_made = message.attempts_made, message.attempts_made + 1
        if self.store.begin(message, attempt_number):
            assert not self.store.has_unwritten_records(), (
                "an attempt began before earlier records were written"
            )
            message.unsettled[attempt_number] = NOW_US if message.key else 0
            self.begun_counts[name] = attempt_number + 1

    def never_ran(self, name: str, attempt_number: int | None = None) -> None:
        if (message := self.messages.get(name)) is not None and message.unsettled:
            attempt_number, _ = message.unsettled.popitem()
            self.store.never_ran(message, attempt_number)

    def end(self, name: str, end: End) -> None:
        if (message := self.messages.pop(name, None)) is not None:
            self.store.end(message, end)
            self.ends[name] = end
            if end is not DELIVERED:
                self.untold.add(name)

    def told(self, name: str) -> None:
        if name in self.untold:
            self.untold.discard(name)
            self.store.confirm_notice(name)

    def compact(self) -> None:
        self.harness.compact()

    def full(self, on: bool) -> None:
        self.harness.full(on)

    def restart(self, how: str) -> None:
        """Start the next process, check that it finds an allowed state, and continue from that state."""
        getattr(self.harness, how)()
        self.harness.full(False)
        self.store = self.harness.open()
        self.check(self.store)
        owed, self.ends, untold = snapshot(self.store)
        self.untold = {i for i, _ in untold}
        self.messages = {i: self.store.owed[i] for i in owed}
        self.allowed_snapshots = []

    def check(self, store: InspectableStore) -> None:
        """Check that the store has an allowed state and lost no attempt."""
        assert snapshot(store) in self.allowed_snapshots
        for name, message in store.owed.items():
            assert message.attempts_made >= self.begun_counts[name], "an attempt was lost"


def check_disk_full_during_any_steps(make_harness: Callable[[], StoreHarness]) -> None:
    """Check with the disk full from any step up to any later one, after which the process is killed."""
    for full_from in range(len(OPERATIONS)):
        for room_from in range(full_from, len(OPERATIONS), 3):
            with make_harness().running() as harness:
                model = ReferenceModel(harness)
                for n, operation in enumerate(OPERATIONS[: room_from + 4]):
                    if n in (full_from, room_from):
                        harness.full(n == full_from and full_from < room_from)
                        assert n == full_from or model.store.can_record(), (
                            "the store does not recover after the disk has room again"
                        )
                    model.apply(operation)
                model.restart("kill")


def check_one_write_fails(make_harness: Callable[[], StoreHarness]) -> None:
    """Check with each write in turn failing, entirely or in part, before the process is killed or stops."""
    for failing_write_number in range(2, 60):
        for short_write, how in ((False, "kill"), (True, "kill"), (True, "close")):
            harness = make_harness()
            if not isinstance(harness, JournalHarness):
                return
            with harness.running():
                model = ReferenceModel(harness)
                harness.disk.failing_write_number, harness.disk.short_write = (
                    harness.disk.write_count + failing_write_number - 1,
                    short_write,
                )
                for operation in OPERATIONS:
                    model.apply(operation)
                    assert model.store.can_record() and len(model.allowed_snapshots) == 1, (
                        "the store does not recover from a single failed write"
                    )
                    file, data = harness.store.file, harness.store.path.read_bytes()
                    assert file and (file.torn_end > file.size or not data[file.size :].strip(b"\0"))
                model.restart(how)


def check_killed_at_each_write(make_harness: Callable[[], StoreHarness]) -> None:
    """Check recovery from a copy of the folder taken right before each write.

    It finds the state before or after the operation that writes.
    """
    harness = make_harness()
    if not isinstance(harness, JournalHarness):
        return
    with harness.running():
        model, copies = ReferenceModel(harness), list[Path]()

        def copy() -> None:
            copies.append(Path(shutil.copytree(harness.folder, tempfile.mkdtemp(), dirs_exist_ok=True)))

        for operation in OPERATIONS:
            snapshot_before = model.expected_snapshot()
            harness.disk.before_write = copy
            model.apply(operation)
            harness.disk.before_write = lambda: None
            for folder in copies:
                check_recovery(harness.store_class, folder, [snapshot_before, model.expected_snapshot()])
                shutil.rmtree(folder)
            copies.clear()


def check_torn_at_each_byte(make_harness: Callable[[], StoreHarness]) -> None:
    """Check that a record truncated at any byte, with or without reserved space after it, is discarded."""
    harness = make_harness()
    if not isinstance(harness, JournalHarness):
        return
    with harness.running():
        model, copied_folder = ReferenceModel(harness), Path(tempfile.mkdtemp())
        for operation in OPERATIONS:
            snapshot_before, start = model.expected_snapshot(), model.store.size  # type: ignore[union-attr]
            model.apply(operation)
            data = harness.store.path.read_bytes()[: harness.store.size]
            for cut_at in range(start, len(data)) if operation != ("compact",) else ():
                for following in (bytes(64), b"")[: 1 + (cut_at % 4 == 0)]:
                    (copied_folder / "messages.log").write_bytes(data[:cut_at] + following)
                    # A record whose missing bytes are zeros is complete if reserved space follows.
                    record_complete = following and not data[cut_at:].strip(b"\0")
                    check_recovery(
                        harness.store_class,
                        copied_folder,
                        [model.expected_snapshot() if record_complete else snapshot_before],
                        cut_at % 4 == 0,
                    )
        shutil.rmtree(copied_folder)


def check_recovery(
    store_class: type[Journal], folder: Path, states: list[Snapshot], then_accepts: bool = True
) -> None:
    """Check that a process started on this folder finds one of these states, and can accept a message."""
    extra_recorded = False
    for accepts in (True, False)[not then_accepts :]:
        journal = store_class(folder, 3_000_000, lambda: NOW_US)
        journal.open()
        found = snapshot(journal)
        extra = found[0].pop("more", None)
        assert found in states and (extra is None) is not extra_recorded
        if accepts:
            extra_recorded = True
            assert journal.take(Message("more", "c", "t", 3, 5_000_000, b"", "platform"))
        journal.close()
