"""Books: the events that each process records as JSON lines, with times of a clock that all share."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec

READS = "reads.jsonl"  # the book of reads, which holds `Page` records


class Entry(msgspec.Struct, omit_defaults=True, frozen=True):
    """One event, with CLOCK_MONOTONIC microseconds in `at`. docs/lab.md explains the fields by `what`."""

    at: int
    what: str
    who: str = ""
    message: str = ""
    place: str = ""
    dest: int = -1
    value: int = 0
    note: str = ""


class Page(msgspec.Struct, omit_defaults=True, frozen=True, kw_only=True):
    """The answer to a read of the event log; times of the log are Unix microseconds.

    `why` is `run` (a planned read), `lag` (a measurement of the lag), or `wait` and `end` (after the run).
    The pages of one read share `series`.
    """

    at: int  # time of the answer, CLOCK_MONOTONIC
    who: str  # the sender that was asked
    channel: str
    as_of: int
    limit: int
    why: str
    series: int = 0
    status: int = 0  # of HTTP; 0: no answer
    text: str = ""  # of an answer that is not a JSON document
    layout: int = 0
    answered_by: str = ""
    settled_until: int = 0
    complete: bool = False
    keepers: list[dict[str, Any]] = []
    missing: list[dict[str, str]] = []
    gaps: list[dict[str, Any]] = []
    events: list[dict[str, Any]] = []


def now_us() -> int:
    """Return the time of CLOCK_MONOTONIC in microseconds."""
    return time.monotonic_ns() // 1000


class Book:
    """Appends entries unbuffered: an entry has reached the kernel before its caller sends any answer."""

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
        """Append an entry with the current time."""
        entry = Entry(now_us(), what, who, message, place, dest, value, note)
        self._file.write(msgspec.json.encode(entry) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def read(folder: Path) -> list[Entry]:
    """Read all books of a folder, merged in the order of time; an incomplete last line is skipped."""
    entries: list[Entry] = []
    for path in sorted(path for path in folder.glob("*.jsonl") if path.name != READS):
        lines = path.read_bytes().split(b"\n")[:-1]
        entries += [msgspec.json.decode(line, type=Entry) for line in lines]
    return sorted(entries, key=lambda entry: entry.at)


def read_pages(folder: Path) -> list[Page]:
    """Read the book of reads; returns an empty list if there is none."""
    path = folder / READS
    lines = path.read_bytes().split(b"\n")[:-1] if path.exists() else []
    return [msgspec.json.decode(line, type=Page) for line in lines]
