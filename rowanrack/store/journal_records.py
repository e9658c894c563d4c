"""The records of the durable journal: how they are encoded, and how they change what is recorded.

A record consists of the payload's length, its CRC-32 and the payload: a type byte, the message's id and
fields that depend on the type.

The content digest of a message that has ended follows from its `TAKEN` record, which a compaction drops. From
then on it is kept in a `NEVER_RAN` record behind the end: older versions ignore such a record of a message
that is not owed.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from rowanrack.core.identity import DIGEST_BYTES, content_digest
from rowanrack.core.messages import End, Ending, Message

MAGIC = b"rowanrack journal 1\n"
RECORD_HEADER = struct.Struct("<II")
TIMED_ATTEMPT_BYTES = 12  # an attempt number followed by its time
MAX_PAYLOAD_BYTES = 1 << 20  # a header that gives a longer payload is treated as damaged
# Record sizes without their variable-length texts.
STATUS_RECORD_BYTES, ATTEMPT_TIME_BYTES, END_RECORD_BYTES = 17, 8, 42

TAKEN, BEGUN, NEVER_RAN, ENDED, TOLD = b"T", b"B", b"N", b"E", b"K"
TAKEN_WITH_KEY = b"Y"  # a message without a key uses `TAKEN`, the record type of older versions
ENDING_CODES = {Ending.DELIVERED: b"d", Ending.REFUSED: b"r", Ending.FAILED: b"f", Ending.WITHDRAWN: b"o"}
ENDINGS_BY_CODE = {code: ending for ending, code in ENDING_CODES.items()}


class JournalError(Exception):
    """The journal cannot be used; the text gives the reason."""


def encode_byte_strings(*byte_strings: bytes) -> bytes:
    """Encode byte strings, each preceded by its length."""
    return b"".join(struct.pack("<I", len(s)) + s for s in byte_strings)


def decode_byte_strings(data: bytes, count: int) -> tuple[list[bytes], bytes]:
    """Decode `count` byte strings; return them and the remaining data."""
    byte_strings: list[bytes] = []
    for _ in range(count):
        (size,) = struct.unpack_from("<I", data)
        if len(data) < 4 + size:
            raise ValueError("a byte string is truncated")
        byte_strings.append(data[4 : 4 + size])
        data = data[4 + size :]
    return byte_strings, data


def encode_record(payload: bytes) -> bytes:
    """Encode a payload as a record of the file."""
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def read_records(data: bytes, offset: int = 0) -> Iterator[tuple[int, bytes]]:
    """Yield the payload of each valid record with its end offset, up to the first damaged record."""
    while offset + RECORD_HEADER.size <= len(data):
        size, crc = RECORD_HEADER.unpack_from(data, offset)
        payload = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + size]
        if not 0 < size <= MAX_PAYLOAD_BYTES or len(payload) < size or zlib.crc32(payload) != crc:
            return
        offset += RECORD_HEADER.size + size
        yield offset, payload


def encode_taken(message: Message) -> bytes:
    """Encode the payload for an accepted message."""
    texts = (message.cls, message.tenant, message.front, message.form)
    fixed = struct.pack("<qq", message.deadline_us, message.dest)
    if message.key:
        return (
            TAKEN_WITH_KEY
            + encode_byte_strings(
                message.id.encode(), *(t.encode() for t in texts), message.body, message.key.encode()
            )
            + fixed
        )
    return (
        TAKEN + encode_byte_strings(message.id.encode(), *(t.encode() for t in texts), message.body) + fixed
    )


def encode_status(kind: bytes, message_id: str, attempt_number: int) -> bytes:
    """Encode a payload that refers to one attempt, or, with attempt number 0, to the message."""
    return kind + encode_byte_strings(message_id.encode()) + struct.pack("<I", attempt_number)


def encode_begun(message: Message, attempt_number: int, at_us: int) -> bytes:
    """Encode the payload for the start of an attempt, with its time if the message has a key."""
    timed = struct.pack("<q", at_us) if message.key else b""
    return encode_status(BEGUN, message.id, attempt_number) + timed


def encode_content_digest(message_id: str, digest: bytes) -> bytes:
    """Encode the payload for the content digest of a message that has ended."""
    return encode_status(NEVER_RAN, message_id, 0) + digest


@dataclass(slots=True)
class RecordedEnd:
    """The recorded end of a message, kept until `keep_until_us`.

    `told` is set once the platform has confirmed the notice of the end. A refusal answers repeated
    submissions only until `resubmit_at_us`; after that, the same id may be submitted again.
    """

    end: End
    front: str
    keep_until_us: int
    resubmit_at_us: int
    told: bool = False
    content_digest: bytes = b""  # empty if unknown: older versions do not keep it over a compaction

    @property
    def notice_pending(self) -> bool:
        """Whether its notice is required and not yet confirmed."""
        return not self.told and self.end.ending in (Ending.REFUSED, Ending.FAILED)

    def answer_to_repeat(self, now_unix_us: int) -> End | None:
        """Return the end as the answer to a repeated submission; None if it may be submitted again."""
        if now_unix_us >= self.keep_until_us:
            return None
        may_resubmit = self.end.ending is Ending.REFUSED and now_unix_us >= self.resubmit_at_us
        return None if may_resubmit else self.end

    def encode(self, message_id: str) -> bytes:
        """Encode the payload for the end."""
        times = (self.end.retry_us, self.keep_until_us, self.resubmit_at_us)
        fixed = ENDING_CODES[self.end.ending] + struct.pack("<qqq", *times)
        return ENDED + encode_byte_strings(message_id.encode(), self.front.encode()) + fixed

    def records(self, message_id: str) -> list[bytes]:
        """Return the records that describe the end completely."""
        payloads = [self.encode(message_id)]
        if self.told:
            payloads.append(encode_status(TOLD, message_id, 0))
        if self.content_digest:
            payloads.append(encode_content_digest(message_id, self.content_digest))
        return [encode_record(payload) for payload in payloads]

    def max_compacted_bytes(self, message_id: str) -> int:
        """Return the most bytes that a compaction writes for this end, its notice's confirmation included."""
        status_bytes = STATUS_RECORD_BYTES + len(message_id)
        end_bytes = END_RECORD_BYTES + len(message_id) + len(self.front.encode())
        return end_bytes + status_bytes + (status_bytes + DIGEST_BYTES)


def apply_record(payload: bytes, owed: dict[str, Message], ends: dict[str, RecordedEnd]) -> None:
    """Update what is recorded with one record.

    Raises ValueError, KeyError or struct.error if the record is invalid.
    """
    kind, (encoded_id, *_), rest = payload[:1], *decode_byte_strings(payload[1:], 1)
    message_id = encoded_id.decode()
    if kind in (TAKEN, TAKEN_WITH_KEY):
        texts, fixed = decode_byte_strings(payload[1:], 7 if kind == TAKEN_WITH_KEY else 6)
        _, cls, tenant, front, form, body, key = texts if kind == TAKEN_WITH_KEY else (*texts, b"")
        deadline_us, dest = struct.unpack("<qq", fixed)
        ends.pop(message_id, None)  # the id was submitted again
        owed[message_id] = Message(
            message_id,
            cls.decode(),
            tenant.decode(),
            dest,
            deadline_us,
            body,
            front.decode(),
            form.decode(),
            key.decode(),
        )
    elif kind == ENDED:
        message = owed.pop(message_id, None)
        (_, front), fixed = decode_byte_strings(payload[1:], 2)
        retry_us, keep_until_us, resubmit_at_us = struct.unpack("<qqq", fixed[1:])
        end = End(ENDINGS_BY_CODE[fixed[:1]], retry_us)
        digest = content_digest(message) if message is not None else b""
        ends[message_id] = RecordedEnd(
            end, front.decode(), keep_until_us, resubmit_at_us, content_digest=digest
        )
    elif kind == TOLD:
        if message_id in ends:
            ends[message_id].told = True
    elif kind in (BEGUN, NEVER_RAN):
        attempt_number, *offset = struct.unpack("<Iq" if len(rest) == TIMED_ATTEMPT_BYTES else "<I", rest)
        if (message := owed.get(message_id)) is not None:
            message.attempts_made = max(message.attempts_made, attempt_number + 1)
            if kind == BEGUN:
                message.unsettled[attempt_number] = offset[0] if offset else 0
            else:
                message.unsettled.pop(attempt_number, None)
        elif kind == NEVER_RAN and len(rest) == TIMED_ATTEMPT_BYTES and message_id in ends:
            ends[message_id].content_digest = rest[-DIGEST_BYTES:]
    else:
        raise ValueError(f"unknown record type {kind!r}")
