"""The format of recordings, version 1. `docs/recordings.md` describes it.

A file consists of a header (`MAGIC` and the version) and blocks. A block has a header (the length of its
content, and its write time on both clocks), a checksum and the content, which is a list of records in
MessagePack, compressed with zlib. The checksum covers the previous checksum, the block header and the
content. Times in records are microseconds of the sender's monotonic clock.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import BinaryIO

import msgspec
from blake3 import blake3
from msgspec import Struct

MAGIC = b"rowanrack recording\n"
VERSION = 1
SUFFIX = ".rec"
FILE_HEADER = struct.Struct(">20sH")
BLOCK_HEADER = struct.Struct(">Iqq")  # length of the content, Unix time and monotonic time of the write
CHECKSUM_BYTES = 16
BLOCK_OVERHEAD_BYTES = BLOCK_HEADER.size + CHECKSUM_BYTES  # size of a block without its content
MAX_BLOCK_BYTES = 8 << 20  # keeps the reader from allocating memory for a corrupt length
CLOCK_SLACK_US = 200_000  # a larger difference between the two clocks is reported as a clock step


class RecordingError(Exception):
    """A recording cannot be used; the text is one line that names the file."""


class Begins(Struct, frozen=True, array_like=True, tag="S"):
    """The sender and its settings; the first record of a file."""

    sender: str
    incarnation: str  # of the process: message numbers are unique only within it
    unix_us: int
    at: int
    # Name, aim in microseconds, deadline in microseconds, worth, late worth, repeatable.
    classes: list[tuple[str, int, int, float, float, bool]]
    tenants: dict[str, float]
    slots: int
    held: int
    tries: int
    tick_us: int
    cold_share: float
    ramp_us: int
    overload: float
    fall_us: int


class Listed(Struct, frozen=True, array_like=True, tag="L"):
    """An endpoint as the endpoint list has it from now on."""

    at: int
    name: str
    dest: int
    kind: str
    zone: str
    status: str
    rate: float


class Taken(Struct, frozen=True, array_like=True, tag="T"):
    """A message was accepted, or found in the journal; `ref` is its number in this process."""

    at: int
    ref: int
    cls: str
    tenant: str
    dest: int
    time_left_us: int
    size: int


class Turned(Struct, frozen=True, array_like=True, tag="N"):
    """A message was refused on arrival; the class is empty if it was refused before it was read."""

    at: int
    cls: str
    tenant: str
    dest: int
    time_left_us: int
    retry_us: int


class Began(Struct, frozen=True, array_like=True, tag="B"):
    """The first byte of a call is sent, `waited_us` after the call was scheduled."""

    at: int
    ref: int
    attempt_number: int
    name: str
    waited_us: int


class Settled(Struct, frozen=True, array_like=True, tag="R"):
    """A call has ended, whether or not its first byte was sent."""

    at: int
    ref: int
    attempt_number: int
    name: str
    dest: int
    result: str
    wait_us: int
    begun: bool
    took_us: int  # since the call was scheduled


class Ended(Struct, frozen=True, array_like=True, tag="E"):
    """A message has ended."""

    at: int
    ref: int
    ending: str
    retry_us: int


class Gap(Struct, frozen=True, array_like=True, tag="G"):
    """`lost` records before this one were dropped, because the disk was too slow or the space was used up."""

    at: int
    lost: int


Record = Begins | Listed | Taken | Turned | Began | Settled | Ended | Gap
_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(list[Record])


def encode_records(records: list[Record]) -> bytes:
    """Encode records as the content of a block."""
    return zlib.compress(_ENCODER.encode(records), 1)


class FileWriter:
    """Writes one file, block by block. The methods raise OSError."""

    def __init__(self, path: Path) -> None:
        self.path, self._file = path, path.open("xb")
        header = FILE_HEADER.pack(MAGIC, VERSION)
        self._checksum, self.size = blake3(header).digest(CHECKSUM_BYTES), len(header)
        self._file.write(header)

    def write(self, unix_us: int, at_us: int, records: list[Record]) -> None:
        """Append a block of records; it is handed to the kernel on return."""
        self.append(unix_us, at_us, encode_records(records))

    def append(self, unix_us: int, at_us: int, content: bytes) -> None:
        """Append a block of records that are already encoded."""
        header = BLOCK_HEADER.pack(len(content), unix_us, at_us)
        self._checksum = blake3(self._checksum + header + content).digest(CHECKSUM_BYTES)
        self._file.write(header + self._checksum + content)
        self._file.flush()
        self.size += BLOCK_OVERHEAD_BYTES + len(content)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Recording:
    """The content of one file."""

    path: Path
    begins: Begins
    records: list[Record]
    remarks: list[str] = field(default_factory=list)

    def unix_of(self, at_us: int) -> int:
        """Convert a monotonic time to Unix time by the sender's clock at the beginning of the file."""
        return self.begins.unix_us + at_us - self.begins.at


def read(path: Path) -> Recording:
    """Read a recording; a truncated block at the end is left out and noted in `remarks`.

    Raises RecordingError.
    """
    try:
        with path.open("rb") as file:
            return _read(path, file)
    except OSError as error:
        raise RecordingError(f"{path}: {error.strerror or error}") from None


def _read(path: Path, file: BinaryIO) -> Recording:
    header = file.read(FILE_HEADER.size)
    if len(header) < FILE_HEADER.size or not header.startswith(MAGIC):
        raise RecordingError(f"{path}: not a rowanrack recording")
    _, version = FILE_HEADER.unpack(header)
    if version != VERSION:
        raise RecordingError(
            f"{path}: recording format {version} is not supported; this version reads format {VERSION}"
        )
    checksum, records, remarks, block_number = (
        blake3(header).digest(CHECKSUM_BYTES),
        list[Record](),
        list[str](),
        0,
    )
    previous_clocks: tuple[int, int] | None = None
    while raw_header := file.read(BLOCK_OVERHEAD_BYTES):
        block_number += 1
        offset = file.tell() - len(raw_header)
        complete_header = len(raw_header) == BLOCK_OVERHEAD_BYTES
        length, unix_us, at_us = (
            BLOCK_HEADER.unpack(raw_header[: BLOCK_HEADER.size]) if complete_header else (0, 0, 0)
        )
        if length > MAX_BLOCK_BYTES:
            raise RecordingError(f"{path}: block {block_number} at byte {offset} does not match its checksum")
        content = file.read(length)
        if not complete_header or len(content) < length:
            remarks.append(
                f"truncated in block {block_number} at byte {offset}: the rest of the file is missing"
            )
            break
        checksum = blake3(checksum + raw_header[: BLOCK_HEADER.size] + content).digest(CHECKSUM_BYTES)
        if checksum != raw_header[BLOCK_HEADER.size :]:
            raise RecordingError(f"{path}: block {block_number} at byte {offset} does not match its checksum")
        if previous_clocks is not None:
            step = (unix_us - previous_clocks[0]) - (at_us - previous_clocks[1])
            if abs(step) > CLOCK_SLACK_US:
                direction = "back" if step < 0 else "forward"
                remarks.append(
                    f"the clock was set {direction} by {abs(step) / 1e6:.1f} s before block {block_number}"
                )
        previous_clocks = unix_us, at_us
        try:
            records += _DECODER.decode(zlib.decompress(content))
        except (msgspec.DecodeError, zlib.error) as error:
            raise RecordingError(f"{path}: block {block_number} at byte {offset}: {error}") from None
    if not records or not isinstance(begins := records[0], Begins):
        raise RecordingError(f"{path}: the first record does not describe the sender")
    if lost_count := sum(r.lost for r in records if isinstance(r, Gap)):
        remarks.append(
            f"{lost_count} records were dropped, because the disk was too slow or the space was used up"
        )
    return Recording(path, begins, records, remarks)
