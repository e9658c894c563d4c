"""What every store of messages promises, and the benches on which one is held to it."""

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

NOW = 1_000_000
REFUSED, FAILED, DELIVERED = End(Ending.REFUSED, 700_000), End(Ending.FAILED), End(Ending.DELIVERED)
Op = tuple[Any, ...]
State = tuple[dict[str, Any], dict[str, End], list[tuple[str, End]]]

# Every kind of record, an id that comes again, a key, and compactions between.
SCRIPT: list[Op] = [
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


class KeptStore(Store, Protocol):
    """A store as the assembly uses it."""

    @property
    def owed(self) -> dict[str, Message]:
        """The messages that are owed."""

    def told(self, message_id: str) -> None:
        """Record that the notice of an end is confirmed."""

    def untold(self, front: str) -> list[tuple[str, End]]:
        """Refusals and failures whose notice is not confirmed."""


class Disk:
    """`os` under the journal, on a disk that is full or refuses writes, or fails the n-th one."""

    def __init__(self, reserves: bool = True) -> None:
        self.reserves, self.mode, self.writes = reserves, "room", 0
        self.fails_at, self.short = 0, False
        self.before: Callable[[], None] = lambda: None

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def _step(self) -> bool:
        self.before()
        self.writes += 1
        return self.writes == self.fails_at

    def pwrite(self, fd: int, data: bytes, at: int) -> int:
        """Write what the disk takes of it."""
        most = len(data)
        if self._step() or self.mode == "refuses":
            most = most // 2 if self.short else 0
        elif self.mode == "full":
            most = min(most, os.fstat(fd).st_size - at)
        if most <= 0:
            raise OSError(errno.ENOSPC, "No space left on device")
        return os.pwrite(fd, data[:most], at)

    def posix_fallocate(self, fd: int, start: int, size: int) -> None:
        """Give room, if there is."""
        if self._step() or self.mode != "room":
            raise OSError(errno.ENOSPC, "No space left on device")
        if not self.reserves:
            raise OSError(errno.EOPNOTSUPP, "Operation not supported")
        os.posix_fallocate(fd, start, size)

    def rename(self, old: Path, new: Path) -> None:
        """The last step of a compaction."""
        if self._step():
            raise OSError(errno.EIO, "Input/output error")
        os.rename(old, new)


class JournalBench:
    """Processes that follow each other on a folder."""

    def __init__(self, kind: type[Journal] = Journal, full: str = "full", reserves: bool = True) -> None:
        self.kind, self.full_mode, self.disk = kind, full, Disk(reserves)
        self.folder = Path(tempfile.mkdtemp())
        self.store: Journal

    def open(self) -> Journal:
        """A new process."""
        self.store = self.kind(self.folder, 3_000_000, lambda: NOW)
        self.store.open()
        return self.store

    def full(self, on: bool) -> None:
        """Fill the disk, or make room."""
        self.disk.mode = self.full_mode if on else "room"

    def compact(self) -> None:
        """Tidy the file up."""
        self.store._compact()
        self.store._compaction_retry_us = 0

    def kill(self) -> None:
        """End the process; the kernel keeps what it wrote."""
        assert self.store.file is not None
        for fd in (self.store.file.fd, self.store.lock_fd):
            os.close(fd)

    def close(self) -> None:
        """End it in order."""
        self.store.close()

    @contextmanager
    def set_up(self) -> Iterator[JournalBench]:
        """With its disk in the place of the system's."""
        with mock.patch("rowanrack.store.journal.os", self.disk), mock.patch(
            "rowanrack.store.journal_file.os", self.disk
        ):  # fmt: skip
            yield self
        self.full(False)
        self.store.close()
        shutil.rmtree(self.folder)


class MemoryBench:
    """The same for the store in memory."""

    def __init__(self, kind: type[MemoryStore] = MemoryStore) -> None:
        self.kind, self.shelf = kind, MessageState()

    def open(self) -> MemoryStore:
        """A new process."""
        return self.kind(self.shelf, lambda: NOW)

    def full(self, on: bool) -> None:
        """Fill the shelf, or make room."""
        self.shelf.full = on

    def compact(self) -> None:
        """It is always tidy."""

    kill = close = compact

    @contextmanager
    def set_up(self) -> Iterator[MemoryBench]:
        """There is nothing to clean up."""
        yield self


Bench = JournalBench | MemoryBench


def state(store: KeptStore) -> State:
    """All that a new process knows from its store."""
    owed = {
        i: (m.cls, m.tenant, m.dest, m.deadline_us, m.body, m.front, m.form, m.key, dict(m.unsettled))
        for i, m in store.owed.items()
    }
    ends = {i: end for i in ("a", "b", "c", "keyed") if (end := store.ended(i)) is not None}
    return owed, ends, sorted(store.untold("platform"), key=lambda pair: pair[0])


class Ledger:
    """Plain books beside a store, which does with it what the exchange does."""

    def __init__(self, bench: Bench) -> None:
        self.bench, self.store = bench, bench.open()
        self.messages: dict[str, Message] = {}
        self.begun: dict[str, int] = {}
        self.ends: dict[str, End] = {}
        self.untold: set[str] = set()
        self.sure: list[State] = [self.now()]  # what the next process may find: one, unless some is unwritten

    def now(self) -> State:
        """The state as it should be."""
        owed = {
            i: ("c", "t", 3, 5_000_000, b"body of " + i.encode(), "platform", "f", m.key, dict(m.unsettled))
            for i, m in self.messages.items()
        }
        return owed, dict(self.ends), [(i, self.ends[i]) for i in sorted(self.untold)]

    def do(self, op: Op) -> None:
        """One step, if it makes sense now; the store says what of it counts."""
        getattr(self, op[0])(*op[1:])
        assert self.store.ended("a") == self.ends.get("a") and self.store.owed.keys() == self.messages.keys()
        if not self.store.behind():
            self.sure = []
        self.sure.append(self.now())

    def take(self, name: str) -> None:
        body, key = b"body of " + name.encode(), "k" * (name == "keyed")
        message = Message(name, "c", "t", 3, 5_000_000, body, "platform", "f", key)
        if name not in self.messages and self.store.take(message):
            assert not self.store.behind(), "taken before what had happened"
            self.messages[name], self.begun[name] = message, 0
            self.ends.pop(name, None)
            self.untold.discard(name)

    def begin(self, name: str, attempt_number: int | None = None) -> None:
        if (message := self.messages.get(name)) is None:
            return
        attempt_number, message.attempts_made = message.attempts_made, message.attempts_made + 1
        if self.store.begin(message, attempt_number):
            assert not self.store.behind(), "begun before what had happened"
            message.unsettled[attempt_number] = NOW if message.key else 0
            self.begun[name] = attempt_number + 1

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
            self.store.told(name)

    def compact(self) -> None:
        self.bench.compact()

    def full(self, on: bool) -> None:
        self.bench.full(on)

    def restart(self, how: str) -> None:
        """The next process finds one of the states that it may, and goes on from it."""
        getattr(self.bench, how)()
        self.bench.full(False)
        self.store = self.bench.open()
        self.check(self.store)
        owed, self.ends, untold = state(self.store)
        self.untold = {i for i, _ in untold}
        self.messages = {i: self.store.owed[i] for i in owed}
        self.sure = []

    def check(self, store: KeptStore) -> None:
        """Nothing lost, nothing owed again, and no attempt forgotten."""
        assert state(store) in self.sure
        for name, message in store.owed.items():
            assert message.attempts_made >= self.begun[name], "an attempt is forgotten"


def check_full_from_and_to(bench: Callable[[], Bench]) -> None:
    """The disk is full from any step to any later one, and the process is killed right then or at the end."""
    for first in range(len(SCRIPT)):
        for last in range(first, len(SCRIPT), 3):
            with bench().set_up() as set_up:
                ledger = Ledger(set_up)
                for n, op in enumerate(SCRIPT[: last + 4]):
                    if n in (first, last):
                        set_up.full(n == first and first < last)
                        assert n == first or ledger.store.recording(), "it does not recover"
                    ledger.do(op)
                ledger.restart("kill")


def check_one_write_fails(bench: Callable[[], Bench]) -> None:
    """Each write in turn fails, wholly or in part, and then the process is killed or ends."""
    for fails_at in range(2, 60):
        for short, how in ((False, "kill"), (True, "kill"), (True, "close")):
            set_up = bench()
            if not isinstance(set_up, JournalBench):
                return
            with set_up.set_up():
                ledger = Ledger(set_up)
                set_up.disk.fails_at, set_up.disk.short = set_up.disk.writes + fails_at - 1, short
                for op in SCRIPT:
                    ledger.do(op)
                    assert ledger.store.recording() and len(ledger.sure) == 1, "one failure lasts"
                    file, data = set_up.store.file, set_up.store.path.read_bytes()
                    assert file and (file.torn_end > file.size or not data[file.size :].strip(b"\0"))
                ledger.restart(how)


def check_killed_at_each_write(bench: Callable[[], Bench]) -> None:
    """A copy of the folder right before each write holds what was said until then, with that step or not."""
    set_up = bench()
    if not isinstance(set_up, JournalBench):
        return
    with set_up.set_up():
        ledger, copies = Ledger(set_up), list[Path]()

        def copy() -> None:
            copies.append(Path(shutil.copytree(set_up.folder, tempfile.mkdtemp(), dirs_exist_ok=True)))

        for op in SCRIPT:
            before = ledger.now()
            set_up.disk.before = copy
            ledger.do(op)
            set_up.disk.before = lambda: None
            for folder in copies:
                check_copy(set_up.kind, folder, [before, ledger.now()])
                shutil.rmtree(folder)
            copies.clear()


def check_torn_at_each_byte(bench: Callable[[], Bench]) -> None:
    """A record cut anywhere, with room behind it or none, counts wholly or not at all."""
    set_up = bench()
    if not isinstance(set_up, JournalBench):
        return
    with set_up.set_up():
        ledger, folder = Ledger(set_up), Path(tempfile.mkdtemp())
        for op in SCRIPT:
            before, start = ledger.now(), ledger.store.size  # type: ignore[union-attr]
            ledger.do(op)
            data = set_up.store.path.read_bytes()[: set_up.store.size]
            for cut in range(start, len(data)) if op != ("compact",) else ():
                for behind in (bytes(64), b"")[: 1 + (cut % 4 == 0)]:
                    (folder / "messages.log").write_bytes(data[:cut] + behind)
                    whole = behind and not data[cut:].strip(b"\0")  # zeros are as good as its last bytes
                    check_copy(set_up.kind, folder, [ledger.now() if whole else before], cut % 4 == 0)
        shutil.rmtree(folder)


def check_copy(kind: type[Journal], folder: Path, states: list[State], goes_on: bool = True) -> None:
    """A process that starts on this folder finds one of these, and can go on from it."""
    more_is_there = False
    for takes in (True, False)[not goes_on :]:
        journal = kind(folder, 3_000_000, lambda: NOW)
        journal.open()
        found = state(journal)
        more = found[0].pop("more", None)
        assert found in states and (more is None) is not more_is_there
        if takes:
            more_is_there = True
            assert journal.take(Message("more", "c", "t", 3, 5_000_000, b"", "platform"))
        journal.close()
