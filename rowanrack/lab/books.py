"""Books: what a stand-in saw, one JSON line each, on the clock that all processes of a machine share."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec

READS = "reads.jsonl"  # the book of reads: `Page`s


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


class Page(msgspec.Struct, omit_defaults=True, frozen=True, kw_only=True):
    """What a read of the past was answered; times of the log are Unix microseconds.

    `why`: `run` (by the plan), `lag` (a look at it), `wait` and `end` (behind the run); the pages of one
    read share `series`.
    """

    at: int  # when it was answered, CLOCK_MONOTONIC
    who: str  # the sender that was asked
    channel: str
    as_of: int
    limit: int
    why: str
    series: int = 0
    status: int = 0  # 0: no answer
    text: str = ""  # of one that is no document
    layout: int = 0
    answered_by: str = ""
    settled_until: int = 0
    complete: bool = False
    keepers: list[dict[str, Any]] = []
    missing: list[dict[str, str]] = []
    gaps: list[dict[str, Any]] = []
    events: list[dict[str, Any]] = []


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
    for path in sorted(path for path in folder.glob("*.jsonl") if path.name != READS):
        lines = path.read_bytes().split(b"\n")[:-1]
        entries += [msgspec.json.decode(line, type=Entry) for line in lines]
    return sorted(entries, key=lambda entry: entry.at)


def read_pages(folder: Path) -> list[Page]:
    """The book of reads; none without it."""
    path = folder / READS
    lines = path.read_bytes().split(b"\n")[:-1] if path.exists() else []
    return [msgspec.json.decode(line, type=Page) for line in lines]
