"""The contract of wait stores: each process receives what others publish, after kills and full disks too."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import pytest

from rowanrack.core.shared_waits import WaitStore
from rowanrack.store.wait_file import BANK_BYTES, FILE_BYTES, RetryAfterWaitFiles, SlotWaits
from rowanspindle import RetryAfterWait
from tests.contracts.stores import FaultyDisk

NOW_US = 1_000_000
SLOTS = ("messages", "messages.b")
FIRST, SECOND, THIRD = (
    RetryAfterWait(7 + n, name, 9_000_000 + n) for n, name in enumerate((None, "i1", None))
)
OpenStore = Callable[[int], WaitStore]  # opens the store of a process in a slot


class InMemoryWaits:
    """A reference implementation in memory; the stores of a sender share `published`, kept by slot."""

    def __init__(self, published: list[tuple[Sequence[RetryAfterWait], int]], slot: int) -> None:
        self.published, self.slot, self.seen = published, slot, [0, 0]

    def publish(self, waits: Sequence[RetryAfterWait], now_us: int) -> None:
        assert now_us > 0
        version = self.published[self.slot][1] + 1
        self.published[self.slot] = tuple(waits), version
        self.seen[self.slot] = version

    def flush(self, now_us: int) -> None:
        assert now_us > 0

    def received(self) -> Sequence[RetryAfterWait]:
        waits: list[RetryAfterWait] = []
        for slot, (published, version) in enumerate(self.published):
            if version > self.seen[slot]:
                waits += published
                self.seen[slot] = version
        return waits


@pytest.fixture(params=["memory", "file"])
def open_store(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[OpenStore]:
    published: list[tuple[Sequence[RetryAfterWait], int]] = [((), 0), ((), 0)]
    opened: list[RetryAfterWaitFiles] = []

    def open_in_memory(slot: int) -> WaitStore:
        return InMemoryWaits(published, slot)

    def open_files(slot: int) -> WaitStore:
        opened.append(open_wait_files(tmp_path, slot))
        return opened[-1]

    yield open_in_memory if request.param == "memory" else open_files
    for store in opened:
        store.close()


def open_wait_files(folder: Path, slot: int = 0, now_us: int = NOW_US) -> RetryAfterWaitFiles:
    files = RetryAfterWaitFiles(folder)
    files.open(SLOTS[slot], SLOTS[1 - slot], now_us)
    return files


@pytest.mark.parametrize("slot", [0, 1])
def test_running_process_receives_each_publication_of_the_other_once(
    open_store: OpenStore, slot: int
) -> None:
    publisher, receiver = open_store(slot), open_store(1 - slot)
    assert list(receiver.received()) == []
    for waits in ((FIRST,), (FIRST, SECOND), (THIRD,)):
        publisher.publish(waits, NOW_US)
        assert set(receiver.received()) == set(waits)
        assert list(receiver.received()) == [] and list(publisher.received()) == []


def test_next_process_receives_what_its_predecessor_and_the_other_process_published(
    open_store: OpenStore,
) -> None:
    open_store(0).publish((FIRST,), NOW_US)
    open_store(1).publish((SECOND, THIRD), NOW_US)
    for slot in (0, 1):
        assert set(open_store(slot).received()) == {FIRST, SECOND, THIRD}


def test_publications_continue_after_a_restart_of_the_publisher(open_store: OpenStore) -> None:
    receiver = open_store(1)
    for waits in ((FIRST,), (SECOND,), (THIRD,)):
        restarted = open_store(0)
        restarted.received()
        restarted.publish(waits, NOW_US)
        assert set(receiver.received()) == set(waits)


# Files only.


def test_disk_that_becomes_full_does_not_prevent_a_publication(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = FaultyDisk()
    for module in ("journal_file", "wait_file"):
        monkeypatch.setattr(f"rowanrack.store.{module}.os", disk)
    publisher, receiver = open_wait_files(tmp_path), open_wait_files(tmp_path, 1)
    disk.mode = "full"
    for waits in ((FIRST,), (SECOND,), (FIRST, THIRD)):
        publisher.publish(waits, NOW_US)
        assert set(receiver.received()) == set(waits)


def test_start_on_a_full_disk_keeps_what_was_published_before_the_room_was_reserved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    receiver = open_wait_files(tmp_path, 1)
    for waits in ((FIRST,), (SECOND,)):
        open_wait_files(tmp_path).publish(waits, NOW_US)
        receiver.received()
    os.truncate(tmp_path / f"{SLOTS[0]}.waits", BANK_BYTES + 1000)
    disk = FaultyDisk()
    for module in ("journal_file", "wait_file"):
        monkeypatch.setattr(f"rowanrack.store.{module}.os", disk)
    disk.mode = "full"
    publisher = open_wait_files(tmp_path)
    assert list(publisher.received()) == [SECOND]
    publisher.publish((THIRD,), NOW_US)
    assert list(receiver.received()) == [THIRD]


def test_publication_that_failed_is_repeated_and_reported_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disk = FaultyDisk()
    monkeypatch.setattr("rowanrack.store.wait_file.os", disk)
    publisher, receiver = open_wait_files(tmp_path), open_wait_files(tmp_path, 1)
    publisher.publish((FIRST,), NOW_US)
    receiver.received()
    for disk.short_write in (False, True):
        disk.mode = "refuses"
        publisher.publish((SECOND,), NOW_US)
        publisher.flush(NOW_US)
        assert list(receiver.received()) == []
        disk.mode = "room"
        publisher.flush(NOW_US)
        assert list(receiver.received()) == [SECOND]
    assert caplog.text.count("another process of this sender would not keep them") == 2


def test_files_that_cannot_be_opened_at_first_are_opened_by_a_flush(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    open_wait_files(tmp_path, 1).publish((FIRST,), NOW_US)
    disk = FaultyDisk()
    monkeypatch.setattr("rowanrack.store.wait_file.os", disk)
    descriptors = len(os.listdir("/proc/self/fd"))

    def open_only_the_own(path: Path, *arguments: int) -> int:
        if path.name.startswith(SLOTS[1]):
            raise OSError(errno.EMFILE, "Too many open files")
        return os.open(path, *arguments)

    monkeypatch.setattr(disk, "open", open_only_the_own, raising=False)
    publisher = open_wait_files(tmp_path)
    publisher.publish((SECOND,), NOW_US)
    publisher.flush(NOW_US)
    assert len(os.listdir("/proc/self/fd")) == descriptors
    assert list(publisher.received()) == [] and caplog.text.count("waits: cannot be written") == 1
    monkeypatch.undo()
    publisher.flush(NOW_US)
    assert list(publisher.received()) == [FIRST]
    assert list(open_wait_files(tmp_path, 1).received()) == [FIRST, SECOND]


def test_kill_at_any_byte_of_a_publication_leaves_the_previous_one(tmp_path: Path) -> None:
    open_wait_files(tmp_path).publish((FIRST,), NOW_US)
    path = tmp_path / f"{SLOTS[0]}.waits"
    before = path.read_bytes()
    open_wait_files(tmp_path).publish((SECOND, THIRD), NOW_US)
    after = path.read_bytes()
    changed = [offset for offset in range(FILE_BYTES) if before[offset] != after[offset]]
    assert changed[-1] - changed[0] < BANK_BYTES
    for end in range(changed[0], changed[-1] + 1):
        path.write_bytes(after[:end] + before[end:])
        assert list(open_wait_files(tmp_path).received()) == [FIRST]
    path.write_bytes(after)
    assert set(open_wait_files(tmp_path).received()) == {SECOND, THIRD}


def test_reader_that_meets_a_publication_in_progress_receives_it_once_complete(tmp_path: Path) -> None:
    publisher, receiver = open_wait_files(tmp_path), open_wait_files(tmp_path, 1)
    publisher.publish((FIRST,), NOW_US)
    receiver.received()
    path = tmp_path / f"{SLOTS[0]}.waits"
    before = path.read_bytes()
    publisher.publish((SECOND,), NOW_US)
    after = path.read_bytes()
    last_change = max(offset for offset in range(FILE_BYTES) if before[offset] != after[offset])
    with path.open("r+b") as file:
        os.pwrite(file.fileno(), before[last_change : last_change + 1], last_change)
        assert list(receiver.received()) == []
        os.pwrite(file.fileno(), after[last_change : last_change + 1], last_change)
    assert list(receiver.received()) == [SECOND]


@pytest.mark.parametrize("content", [b"", b"\0" * 40, b"\xff" * FILE_BYTES, b"[]" * 1000])
def test_foreign_file_does_not_prevent_a_start(tmp_path: Path, content: bytes) -> None:
    for slot in SLOTS:
        (tmp_path / f"{slot}.waits").write_bytes(content)
    publisher, receiver = open_wait_files(tmp_path), open_wait_files(tmp_path, 1)
    assert list(publisher.received()) == []
    publisher.publish((FIRST,), NOW_US)
    assert list(receiver.received()) == [FIRST]


@pytest.mark.parametrize(
    "rows", [b"7", b"[[7, null]]", b'[["7", null, 1]]', b"[[7, 1, 1]]", b'[[7, null, "1"]]']
)
def test_content_of_another_form_is_ignored(
    tmp_path: Path, rows: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("rowanrack.store.wait_file.encode_waits", lambda _: rows)
    open_wait_files(tmp_path).publish((FIRST,), NOW_US)
    assert list(open_wait_files(tmp_path).received()) == []


def test_waits_from_before_a_reboot_are_ignored(tmp_path: Path) -> None:
    open_wait_files(tmp_path).publish((FIRST,), NOW_US)
    assert list(open_wait_files(tmp_path, now_us=NOW_US - 1).received()) == []


def test_of_more_waits_than_fit_those_that_end_last_are_kept(tmp_path: Path) -> None:
    waits = [RetryAfterWait(dest, None, NOW_US + dest) for dest in range(2000)]
    open_wait_files(tmp_path).publish(waits, NOW_US)
    kept = open_wait_files(tmp_path).received()
    assert len(kept) >= 250 and set(kept) == set(waits[-len(kept) :])


def test_failing_read_keeps_the_sender_running(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    open_wait_files(tmp_path, 1).publish((FIRST,), NOW_US)
    receiver = RetryAfterWaitFiles(tmp_path)
    read_if_changed = SlotWaits.read_if_changed

    def fail(*_: object) -> tuple[RetryAfterWait, ...]:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr(SlotWaits, "read_if_changed", fail)
    receiver.open(SLOTS[0], SLOTS[1], NOW_US)
    assert list(receiver.received()) == []
    monkeypatch.setattr(SlotWaits, "read_if_changed", read_if_changed)
    assert list(receiver.received()) == [FIRST]
