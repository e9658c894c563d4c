"""The binary encoding of notes between senders. This module makes no decisions.

A note consists of a version byte, a sequence number byte and facts. A fact consists of a kind byte, the
number of its subject and a value, both as varints. A note has at most 256 bytes. Decoding anything else
raises a NoteError.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple
from zlib import crc32

VERSION = 0xA1
MAX_NOTE_BYTES = 256
HEADER_BYTES = 2  # version and sequence number
SEQUENCE_NUMBERS = 256  # sequence numbers run from 0 to 255 and wrap around
MAX_SUBJECT, MAX_VALUE = (1 << 32) - 1, (1 << 14) - 1


class FactKind(IntEnum):
    """The kind of a fact. Its subject is a destination unless stated otherwise."""

    HELD_MESSAGES = 1  # the value is the number of messages that the sender holds for it
    REFUSED = 2  # it refused a call; the value is the remaining retry-after wait in 10 ms, 0 without one
    CONNECTIONS_SHORT = 3  # endpoints of its kind have a shortage of connections
    RECOVERED = 4  # the subject is an endpoint's digest: it answers again after an outage


class Fact(NamedTuple):
    """One observation of a sender."""

    kind: FactKind
    subject: int
    value: int = 0


class Note(NamedTuple):
    """The facts that a sender sends at one time."""

    number: int
    facts: tuple[Fact, ...]


def endpoint_digest(name: str) -> int:
    """Return the number of an endpoint's name in notes; in a rare collision one of the two gets no facts."""
    return crc32(name.encode())


class NoteError(ValueError):
    """The bytes are not a valid note."""


def encode_varint(value: int) -> bytes:
    """Encode a number with seven bits per byte, the lowest first; the high bit means that more follow."""
    encoded = bytearray()
    while value > 0x7F:
        encoded.append(value & 0x7F | 0x80)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


def encode_fact(fact: Fact) -> bytes:
    """Encode one fact."""
    return bytes([fact.kind]) + encode_varint(fact.subject) + encode_varint(fact.value)


def encode_note(note: Note) -> bytes:
    """Encode a note. Raises ValueError if it is too long."""
    data = bytes([VERSION, note.number]) + b"".join(map(encode_fact, note.facts))
    if len(data) > MAX_NOTE_BYTES:
        raise ValueError(f"note is too long: {len(data)} bytes, at most {MAX_NOTE_BYTES}")
    return data


def decode_note(data: bytes) -> Note:
    """Decode a note, which must fill the bytes exactly. Raises NoteError."""
    if not HEADER_BYTES < len(data) <= MAX_NOTE_BYTES:
        raise NoteError(f"length of {len(data)} bytes")
    if data[0] != VERSION:
        raise NoteError(f"unknown version {data[0]}")
    facts, offset = list[Fact](), HEADER_BYTES
    while offset < len(data):
        try:
            kind = FactKind(data[offset])
        except ValueError:
            raise NoteError(f"unknown fact kind {data[offset]}") from None
        subject, offset = _decode_varint(data, offset + 1, MAX_SUBJECT)
        value, offset = _decode_varint(data, offset, MAX_VALUE)
        facts.append(Fact(kind, subject, value))
    return Note(data[1], tuple(facts))


def _decode_varint(data: bytes, offset: int, max_value: int) -> tuple[int, int]:
    """Decode the varint at an offset. Returns the number and the offset behind it."""
    value = shift = 0
    while offset < len(data) and shift <= 28:
        value |= (data[offset] & 0x7F) << shift
        offset += 1
        if not data[offset - 1] & 0x80:
            if value > max_value:
                raise NoteError(f"number {value} is out of range")
            return value, offset
        shift += 7
    raise NoteError("incomplete or too long varint")
