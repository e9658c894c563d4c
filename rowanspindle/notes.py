"""Notes between senders as bytes: reading and writing only; nothing here decides.

A note is a version byte, a running number and facts. A fact is a byte that says what it is, the number that
it is about and a value, both as varints. At most 256 bytes; whatever cannot be read is a NoteError.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

VERSION = 0xA1
MAX_NOTE_BYTES = 256
HEADER_BYTES = 2  # bytes before the facts
SEQUENCE_NUMBERS = 256  # running numbers, before they begin again
MAX_SUBJECT, MAX_VALUE = (1 << 32) - 1, (1 << 14) - 1


class FactKind(IntEnum):
    """What a fact says, of a destination if nothing else is said."""

    WORK = 1  # so many messages wait for it here
    REFUSED = 2  # it refused a call; so many hundredths of a second of the told wait are left, 0: none told
    SHORT = 3  # endpoints of its kind run short of connections
    BACK = 4  # of an endpoint, by the digest of its name: it answers again after an outage


class Fact(NamedTuple):
    """One thing that a sender has seen."""

    kind: FactKind
    subject: int
    value: int = 0


class Note(NamedTuple):
    """What one sender tells at once."""

    number: int
    facts: tuple[Fact, ...]


def endpoint_digest(name: str) -> int:
    """The number that an endpoint's name has in notes. Of two that share one, seldom, one is not heard of."""
    return crc32(name.encode())


class NoteError(ValueError):
    """Bytes that are no note."""


def varint(value: int) -> bytes:
    """Seven bits a byte, the lowest first; the highest bit says that more come."""
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode_fact(fact: Fact) -> bytes:
    """One fact."""
    return bytes([fact.kind]) + varint(fact.subject) + varint(fact.value)


def encode_note(note: Note) -> bytes:
    """A note's bytes. Raises ValueError if it is too long."""
    data = bytes([VERSION, note.number]) + b"".join(map(encode_fact, note.facts))
    if len(data) > MAX_NOTE_BYTES:
        raise ValueError(f"a note of {len(data)} bytes, {MAX_NOTE_BYTES} at most")
    return data


def decode_note(data: bytes) -> Note:
    """The note in some bytes, whole. Raises NoteError."""
    if not HEADER_BYTES < len(data) <= MAX_NOTE_BYTES:
        raise NoteError(f"{len(data)} bytes")
    if data[0] != VERSION:
        raise NoteError(f"version {data[0]}")
    facts, at = list[Fact](), HEADER_BYTES
    while at < len(data):
        try:
            what = FactKind(data[at])
        except ValueError:
            raise NoteError(f"fact {data[at]}") from None
        where, at = _number(data, at + 1, MAX_SUBJECT)
        value, at = _number(data, at, MAX_VALUE)
        facts.append(Fact(what, where, value))
    return Note(data[1], tuple(facts))


def _number(data: bytes, at: int, most: int) -> tuple[int, int]:
    """A varint at that place, and the place behind it."""
    value = shift = 0
    while at < len(data) and shift <= 28:
        value |= (data[at] & 0x7F) << shift
        at += 1
        if not data[at - 1] & 0x80:
            if value > most:
                raise NoteError(f"number {value}")
            return value, at
        shift += 7
    raise NoteError("a number without its end")
