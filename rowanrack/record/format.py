"""The format of recordings, version 1. `docs/recordings.md` describes it.

A file is a head (`MAGIC`, the version) and blocks. A block is its length, the time of its writing on both
clocks, a checksum over the one before it, these fields and its content, and the content: records as
MessagePack, deflated. Times in records are microseconds on the sender's monotonic clock.
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
HEAD = struct.Struct(">20sH")
BLOCK = struct.Struct(">Iqq")  # length of the content, Unix time and monotonic time of its writing
SUM = 16  # bytes of a checksum
FRAME = BLOCK.size + SUM  # bytes of a block before its content
BLOCK_MOST = 8 << 20  # guards the reader against a length that was made up
CLOCK_SLACK_US = 200_000  # by which the two clocks may part before that counts as a step


class RecordingError(Exception):
    """A recording cannot be used; the text is one line with its file."""


class Begins(Struct, frozen=True, array_like=True, tag="S"):
    """The sender, and what its settings say; the first record of a file."""

    sender: str
    life: str  # of the process: its messages' numbers mean nothing to another
    unix_us: int
    at: int
    classes: list[tuple[str, int, int, float, float, bool]]  # aim, deadline, worth, late worth, repeatable
    members: dict[str, float]
    slots: int
    held: int
    tries: int
    tick_us: int
    cold_share: float
    ramp_us: int
    overload: float
    fall_us: int


class Listed(Struct, frozen=True, array_like=True, tag="L"):
    """An instance as the name table has it from now on."""

    at: int
    name: str
    dest: int
    kind: str
    zone: str
    status: str
    rate: float


class Taken(Struct, frozen=True, array_like=True, tag="T"):
    """A message was taken, or found in the journal; `ref` is its number in this process."""

    at: int
    ref: int
    cls: str
    member: str
    dest: int
    left_us: int
    size: int


class Turned(Struct, frozen=True, array_like=True, tag="N"):
    """A message was turned away at the door; without a class if it was not read that far."""

    at: int
    cls: str
    member: str
    dest: int
    left_us: int
    retry_us: int


class Began(Struct, frozen=True, array_like=True, tag="B"):
    """The first byte of a call goes out, so long after it was decided on."""

    at: int
    ref: int
    leg: int
    name: str
    waited_us: int


class Settled(Struct, frozen=True, array_like=True, tag="R"):
    """A call has ended, whether it had begun or not."""

    at: int
    ref: int
    leg: int
    name: str
    dest: int
    result: str
    wait_us: int
    begun: bool
    took_us: int  # since it was decided on


class Ended(Struct, frozen=True, array_like=True, tag="E"):
    """A message has ended."""

    at: int
    ref: int
    ending: str
    retry_us: int


class Gap(Struct, frozen=True, array_like=True, tag="G"):
    """So many records before this one were dropped, as the disk did not keep up."""

    at: int
    lost: int


Record = Begins | Listed | Taken | Turned | Began | Settled | Ended | Gap
ENCODER, DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(list[Record])


def packed(records: list[Record]) -> bytes:
    """The content of a block."""
    return zlib.compress(ENCODER.encode(records), 1)


class FileWriter:
    """Writes one file, block by block. Raises OSError."""

    def __init__(self, path: Path) -> None:
        self.path, self._file = path, path.open("xb")
        head = HEAD.pack(MAGIC, VERSION)
        self._sum, self.size = blake3(head).digest(SUM), len(head)
        self._file.write(head)

    def write(self, unix_us: int, at_us: int, records: list[Record]) -> None:
        """One more block; the kernel has it on return."""
        self.append(unix_us, at_us, packed(records))

    def append(self, unix_us: int, at_us: int, content: bytes) -> None:
        """The same, of records that are packed."""
        head = BLOCK.pack(len(content), unix_us, at_us)
        self._sum = blake3(self._sum + head + content).digest(SUM)
        self._file.write(head + self._sum + content)
        self._file.flush()
        self.size += FRAME + len(content)

    def close(self) -> None:
        """No more."""
        self._file.close()


@dataclass
class Recording:
    """What one file holds."""

    path: Path
    begins: Begins
    records: list[Record]
    remarks: list[str] = field(default_factory=list)

    def unix_of(self, at_us: int) -> int:
        """Unix time of a moment, as the sender's clock stood at the beginning of the file."""
        return self.begins.unix_us + at_us - self.begins.at


def read(path: Path) -> Recording:
    """A recording. A part that was cut off at the end is left out, and remarked. Raises RecordingError."""
    try:
        with path.open("rb") as file:
            return _read(path, file)
    except OSError as error:
        raise RecordingError(f"{path}: {error.strerror or error}") from None


def _read(path: Path, file: BinaryIO) -> Recording:
    head = file.read(HEAD.size)
    if len(head) < HEAD.size or not head.startswith(MAGIC):
        raise RecordingError(f"{path}: no recording of rowanrack")
    _, version = HEAD.unpack(head)
    if version != VERSION:
        raise RecordingError(f"{path}: a recording of version {version}; this program reads {VERSION}")
    last, records, remarks, number = blake3(head).digest(SUM), list[Record](), list[str](), 0
    clocks: tuple[int, int] | None = None
    while raw := file.read(FRAME):
        number += 1
        at = file.tell() - len(raw)
        whole = len(raw) == FRAME
        length, unix_us, at_us = BLOCK.unpack(raw[: BLOCK.size]) if whole else (0, 0, 0)
        if length > BLOCK_MOST:
            raise RecordingError(f"{path}: block {number} at byte {at} does not match its checksum")
        content = file.read(length)
        if not whole or len(content) < length:
            remarks.append(f"cut off in block {number} at byte {at}: what follows is lost")
            break
        last = blake3(last + raw[: BLOCK.size] + content).digest(SUM)
        if last != raw[BLOCK.size :]:
            raise RecordingError(f"{path}: block {number} at byte {at} does not match its checksum")
        if clocks is not None:
            step = (unix_us - clocks[0]) - (at_us - clocks[1])
            if abs(step) > CLOCK_SLACK_US:
                way = "back" if step < 0 else "forward"
                remarks.append(f"the clock was set {way} by {abs(step) / 1e6:.1f} s before block {number}")
        clocks = unix_us, at_us
        try:
            records += DECODER.decode(zlib.decompress(content))
        except (msgspec.DecodeError, zlib.error) as error:
            raise RecordingError(f"{path}: block {number} at byte {at}: {error}") from None
    if not records or not isinstance(begins := records[0], Begins):
        raise RecordingError(f"{path}: it does not say how the sender was set up")
    if lost := sum(r.lost for r in records if isinstance(r, Gap)):
        remarks.append(f"{lost} records were dropped, as the disk did not keep up")
    return Recording(path, begins, records, remarks)
