"""The store of detached endpoints: two processes share it, and a failure never loses the current set."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import pytest

from rowanrack.store.bans import DetachedEndpointFile


class DetachedEndpoints(Protocol):
    """The store as one process sees it."""

    def changed(self) -> set[str] | None:
        """Return the current set if this process does not know it yet, else None."""

    def write(self, bans: set[str]) -> None:
        """Replace the set atomically. Raises OSError; the old set then stays."""


class SharedBans:
    """The content that two in-memory stores share."""

    def __init__(self) -> None:
        self.version, self.names = 0, frozenset[str]()


class InMemoryBans:
    """A reference implementation in memory."""

    def __init__(self, shared: SharedBans) -> None:
        self.shared, self.seen = shared, -1

    def changed(self) -> set[str] | None:
        if self.seen == self.shared.version:
            return None
        self.seen = self.shared.version
        return set(self.shared.names)

    def write(self, bans: set[str]) -> None:
        self.shared.names, self.shared.version = frozenset(bans), self.shared.version + 1
        self.seen = self.shared.version


class ReadsVersionAfterWrite(DetachedEndpointFile):
    """Deliberately faulty: reads the file's version after the rename, when it may be another process's."""

    def write(self, bans: set[str]) -> None:
        super().write(bans)
        self._known_version = self._current_version()


def open_two_views(kind: str, folder: Path) -> tuple[DetachedEndpoints, DetachedEndpoints]:
    if kind == "memory":
        shared = SharedBans()
        return InMemoryBans(shared), InMemoryBans(shared)
    return DetachedEndpointFile(folder), DetachedEndpointFile(folder)


@pytest.mark.parametrize("kind", ["file", "memory"])
def test_each_process_sees_the_other_ones_change_once_and_not_its_own(kind: str, tmp_path: Path) -> None:
    one, other = open_two_views(kind, tmp_path)
    assert one.changed() == other.changed() == set() and one.changed() is None
    one.write({"a", "b"})
    assert one.changed() is None and other.changed() == {"a", "b"} and other.changed() is None
    for n in range(20):  # in quick succession, and with equal file sizes
        (one, other)[n % 2].write({f"n{n:02}"})
        assert (other, one)[n % 2].changed() == {f"n{n:02}"}
    other.write(set())
    assert one.changed() == set()


def read_after_concurrent_write(
    kind: type[DetachedEndpointFile], folder: Path, patch: pytest.MonkeyPatch
) -> set[str] | None:
    """Return what a process sees if another process writes right after its own write."""
    one, other, real_replace = kind(folder), DetachedEndpointFile(folder), os.replace

    def replace(*args: Any) -> None:
        real_replace(*args)
        patch.setattr(os, "replace", real_replace)
        other.write({"theirs"})

    patch.setattr(os, "replace", replace)
    one.write({"ours"})
    return one.changed()


def test_write_of_another_process_right_after_the_own_one_is_seen(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking the version of another process's write for the own one, which hid its change."""
    assert read_after_concurrent_write(DetachedEndpointFile, tmp_path, monkeypatch) == {"theirs"}


def test_reading_the_version_after_the_write_misses_the_other_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert read_after_concurrent_write(ReadsVersionAfterWrite, tmp_path, monkeypatch) is None


@pytest.mark.parametrize("step", [(Path, "write_text"), (os, "replace")], ids=lambda step: step[1])
def test_full_disk_leaves_the_old_set_and_no_temporary_file(
    step: tuple[Any, str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = DetachedEndpointFile(tmp_path)
    one.write({"a"})

    def fail_disk_full(*_: object, **__: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(*step, fail_disk_full)
        with pytest.raises(OSError, match="No space left"):
            one.write({"a", "b"})
    assert one.changed() is None and DetachedEndpointFile(tmp_path).changed() == {"a"}
    assert [p.name for p in tmp_path.iterdir()] == ["detached.json"]
    one.write({"a", "b"})
    assert DetachedEndpointFile(tmp_path).changed() == {"a", "b"}


def test_kill_between_write_and_rename_leaves_the_old_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    DetachedEndpointFile(tmp_path).write({"a"})
    with monkeypatch.context() as patch, pytest.raises(KeyboardInterrupt):
        patch.setattr(os, "replace", lambda *_: (_ for _ in ()).throw(KeyboardInterrupt))
        DetachedEndpointFile(tmp_path).write({"b"})
    after = DetachedEndpointFile(tmp_path)
    assert after.changed() == {"a"}
    after.write({"c"})
    assert DetachedEndpointFile(tmp_path).changed() == {"c"}


VALID_FILE = json.dumps(["a", "b"]).encode()
DAMAGED_FILES: list[bytes] = [VALID_FILE[:cut] for cut in range(len(VALID_FILE))]
DAMAGED_FILES += [b"\xff\xfe", b"{}", b"null", b'"a"', b"[1]", b"[" * 100_000]


@pytest.mark.parametrize("raw", DAMAGED_FILES, ids=lambda raw: repr(raw[:12]))
def test_damaged_file_leaves_detached_endpoints_unchanged(
    raw: bytes, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    one, other = DetachedEndpointFile(tmp_path), DetachedEndpointFile(tmp_path)
    one.write({"a", "b"})
    assert other.changed() == {"a", "b"}
    temporary_path = tmp_path / "torn"
    temporary_path.write_bytes(raw)
    temporary_path.replace(tmp_path / "detached.json")
    for bans in (one, other, one):
        assert bans.changed() is None
    assert len(caplog.records) == 2 and all(
        "detached endpoints stay unchanged" in r.getMessage() for r in caplog.records
    )
    one.write({"a"})
    assert other.changed() == {"a"}


@pytest.mark.parametrize("step", ["stat", "read_bytes"])
def test_failed_read_is_retried_at_the_next_call(
    step: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against treating a failed read as done, which hid the set until its next change.

    The read fails if the process has no file descriptors left.
    """

    def fail_no_descriptors(*_: object, **__: object) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    DetachedEndpointFile(tmp_path).write({"a"})
    starts = DetachedEndpointFile(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(Path, step, fail_no_descriptors)
        patch.setattr(Path, "read_text", fail_no_descriptors)
        assert starts.changed() is None and starts.changed() is None
    assert len(caplog.records) == 1
    assert starts.changed() == {"a"} and starts.changed() is None


def test_write_into_a_missing_folder_raises(tmp_path: Path) -> None:
    open_missing: Callable[[], DetachedEndpointFile] = lambda: DetachedEndpointFile(tmp_path / "gone")  # noqa: E731
    assert open_missing().changed() == set()
    with pytest.raises(OSError, match="No such file"):
        open_missing().write({"a"})
