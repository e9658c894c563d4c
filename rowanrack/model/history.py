"""What happened in a run, in order: the ground of the checker, the worth and the digest."""

from __future__ import annotations

import hashlib
from typing import NamedTuple


class Entry(NamedTuple):
    """One thing that happened. Which fields mean something depends on `what` (see `KINDS`)."""

    at: int  # microseconds
    what: str
    sender: int = -1
    message: str = ""
    leg: int = -1
    place: str = ""
    dest: int = -1
    note: str = ""
    value: int = 0


KINDS = {
    "hand-in": "a client hands a message in for the first time; note: class and member, value: deadline",
    "take": "a sender takes a message; note: class, value: deadline",
    "nack": "a sender refuses it at the door",
    "begin": "the first byte of a call leaves a sender",
    "settle": "the end of an attempt reaches its sender; note: the result, value: a told wait",
    "end": "a message ends at its sender; note: the ending",
    "ran": "a call has taken effect at a place",
    "told": "a sender is told that a place drains or is gone",
    "fell": "a cold place was pushed over; value: percent of its calls from senders that saw it fail",
    "kill": "a sender dies",
    "ready": "a sender is ready, again or for the first time",
    "event": "something that the scenario says begins or ends; note: what",
}


class History:
    """All entries of a run."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def add(self, entry: Entry) -> None:
        """One more."""
        self.entries.append(entry)

    def digest(self) -> str:
        """The same for the same history, and for no other."""
        sink = hashlib.blake2b(digest_size=16)
        for entry in self.entries:
            sink.update(("\x1f".join(map(str, entry)) + "\n").encode())
        return sink.hexdigest()
