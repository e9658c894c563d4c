"""Books: what a stand-in saw, one JSON line each, on the clock that all processes of a machine share."""

from __future__ import annotations

import time
from pathlib import Path

import msgspec


class Entry(msgspec.Struct, omit_defaults=True, frozen=True):
    """One line; times in microseconds of CLOCK_MONOTONIC. docs/lab.md says what fields mean by `what`."""

    at: int
    what: str
    who: str = ""
    message: str = ""
    place: str = ""
    dest: int = -1
    value: int = 0
    note: str = ""


def now_us() -> int:
    """CLOCK_MONOTONIC."""
    return time.monotonic_ns() // 1000


class Book:
    """Appends entries; each is in the kernel's hands before anybody is answered."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=0)

    def add(
        self,
        what: str,
        who: str = "",
        message: str = "",
        place: str = "",
        dest: int = -1,
        value: int = 0,
        note: str = "",
    ) -> None:
        """One entry, as of now."""
        entry = Entry(now_us(), what, who, message, place, dest, value, note)
        self._file.write(msgspec.json.encode(entry) + b"\n")

    def close(self) -> None:
        """Write no more."""
        self._file.close()


def read(folder: Path) -> list[Entry]:
    """All books of a folder as one, in the order of time; a torn last line is left out."""
    entries: list[Entry] = []
    for path in sorted(folder.glob("*.jsonl")):
        lines = path.read_bytes().split(b"\n")[:-1]
        entries += [msgspec.json.decode(line, type=Entry) for line in lines]
    return sorted(entries, key=lambda entry: entry.at)
