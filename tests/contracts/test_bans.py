"""What keeps the detached endpoints: two processes share it, and no failure loses what is in force."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import pytest

from rowanrack.store.bans import BanFile


class Bans(Protocol):
    """One process's view."""

    def changed(self) -> set[str] | None:
        """What stands there, if that is not known here yet."""

    def write(self, bans: set[str]) -> None:
        """Replace it, whole; OSError: it stands as before."""


class SharedBans:
    """The in-memory twin: what two views share."""

    def __init__(self) -> None:
        self.version, self.names = 0, frozenset[str]()


class InMemoryBans:
    """A view of it."""

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


class ReadsVersionAfterWrite(BanFile):
    """Broken on purpose: it takes whatever stands there after a write for what it wrote itself."""

    def write(self, bans: set[str]) -> None:
        super().write(bans)
        self._known_version = self._current_version()


def open_two_views(kind: str, folder: Path) -> tuple[Bans, Bans]:
    if kind == "memory":
        shared = SharedBans()
        return InMemoryBans(shared), InMemoryBans(shared)
    return BanFile(folder), BanFile(folder)


@pytest.mark.parametrize("kind", ["file", "memory"])
def test_each_sees_what_the_other_wrote_once_and_not_its_own(kind: str, tmp_path: Path) -> None:
    one, other = open_two_views(kind, tmp_path)
    assert one.changed() == other.changed() == set() and one.changed() is None
    one.write({"a", "b"})
    assert one.changed() is None and other.changed() == {"a", "b"} and other.changed() is None
    for n in range(20):  # however soon after each other, and of one size
        (one, other)[n % 2].write({f"n{n:02}"})
        assert (other, one)[n % 2].changed() == {f"n{n:02}"}
    other.write(set())
    assert one.changed() == set()


def read_after_concurrent_write(
    kind: type[BanFile], folder: Path, patch: pytest.MonkeyPatch
) -> set[str] | None:
    """What one of two sees when the other's write comes right behind its own."""
    one, other, real_replace = kind(folder), BanFile(folder), os.replace

    def replace(*args: Any) -> None:
        real_replace(*args)
        patch.setattr(os, "replace", real_replace)
        other.write({"theirs"})

    patch.setattr(os, "replace", replace)
    one.write({"ours"})
    return one.changed()


def test_a_write_right_behind_ones_own_is_seen(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its time was taken for that of the own write: what the other had detached was never heard of."""
    assert read_after_concurrent_write(BanFile, tmp_path, monkeypatch) == {"theirs"}


def test_a_broken_twin_is_found_out(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    assert read_after_concurrent_write(ReadsVersionAfterWrite, tmp_path, monkeypatch) is None


@pytest.mark.parametrize("step", [(Path, "write_text"), (os, "replace")], ids=lambda step: step[1])
def test_a_full_disk_leaves_the_old_set_and_no_litter(
    step: tuple[Any, str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one = BanFile(tmp_path)
    one.write({"a"})

    def fail_disk_full(*_: object, **__: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(*step, fail_disk_full)
        with pytest.raises(OSError, match="No space left"):
            one.write({"a", "b"})
    assert one.changed() is None and BanFile(tmp_path).changed() == {"a"}
    assert [p.name for p in tmp_path.iterdir()] == ["detached.json"]
    one.write({"a", "b"})
    assert BanFile(tmp_path).changed() == {"a", "b"}


def test_a_kill_between_writing_and_renaming_leaves_the_old_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    BanFile(tmp_path).write({"a"})
    with monkeypatch.context() as patch, pytest.raises(KeyboardInterrupt):
        patch.setattr(os, "replace", lambda *_: (_ for _ in ()).throw(KeyboardInterrupt))
        BanFile(tmp_path).write({"b"})
    after = BanFile(tmp_path)
    assert after.changed() == {"a"}
    after.write({"c"})
    assert BanFile(tmp_path).changed() == {"c"}


VALID_FILE = json.dumps(["a", "b"]).encode()
DAMAGED_FILES: list[bytes] = [VALID_FILE[:cut] for cut in range(len(VALID_FILE))]
DAMAGED_FILES += [b"\xff\xfe", b"{}", b"null", b'"a"', b"[1]", b"[" * 100_000]


@pytest.mark.parametrize("raw", DAMAGED_FILES, ids=lambda raw: repr(raw[:12]))
def test_a_damaged_file_keeps_the_bans_in_force(
    raw: bytes, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    one, other = BanFile(tmp_path), BanFile(tmp_path)
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
def test_what_could_not_be_read_for_a_moment_is_read_at_the_next_look(
    step: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """With no descriptor left it passed for read: the bans were not heeded until somebody changed them."""

    def fail_no_descriptors(*_: object, **__: object) -> None:
        raise OSError(errno.EMFILE, "Too many open files")

    BanFile(tmp_path).write({"a"})
    starts = BanFile(tmp_path)
    with monkeypatch.context() as patch:
        patch.setattr(Path, step, fail_no_descriptors)
        patch.setattr(Path, "read_text", fail_no_descriptors)
        assert starts.changed() is None and starts.changed() is None
    assert len(caplog.records) == 1
    assert starts.changed() == {"a"} and starts.changed() is None


def test_a_folder_that_is_gone_is_an_error_that_is_raised(tmp_path: Path) -> None:
    open_missing: Callable[[], BanFile] = lambda: BanFile(tmp_path / "gone")  # noqa: E731
    assert open_missing().changed() == set()
    with pytest.raises(OSError, match="No such file"):
        open_missing().write({"a"})
