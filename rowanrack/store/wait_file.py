"""Retry-after waits in the state folder, for the other process of a hot restart and for the next process.

Each of the two journal slots has a file with the waits that its process was told. Only the process that holds
the slot writes it; the other process reads it before each call. The file has a fixed size, which is reserved
when it is created, so that a disk that becomes full does not prevent a write. It consists of two banks that
are written in turn, each with a sequence number and a checksum: a kill within a write leaves the other bank.

Times are read from the monotonic clock, which continues across a restart of the process. A file is ignored
if it was written before the machine rebooted and the clock started again.
"""

from __future__ import annotations

import contextlib
import json
import logging
import os
import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from rowanrack.store.journal_file import JournalFile, short_write_error
from rowanspindle import RetryAfterWait

log = logging.getLogger(__name__)

SUFFIX = ".waits"
BANK_COUNT = 2
BANK_BYTES = 8 * 1024  # holds the waits of about 250 destinations
FILE_BYTES = BANK_COUNT * BANK_BYTES
WAIT_FILES_BYTES = 2 * FILE_BYTES  # disk space of both slots
MAGIC = b"RRWAITS1"
FIELDS = struct.Struct("<8sQqI")  # magic, sequence number, monotonic time of the write, length of the content
CHECKSUM = struct.Struct("<I")  # CRC-32 of the fields and the content
HEADER_BYTES = FIELDS.size + CHECKSUM.size
MAX_CONTENT_BYTES = BANK_BYTES - HEADER_BYTES


@dataclass(frozen=True, slots=True)
class BankHeader:
    """The header of a bank; sequence number 0 stands for a bank that was never written."""

    fields: bytes = b""
    sequence_number: int = 0
    written_at_us: int = 0
    length: int = 0
    checksum: int = 0


def encode_waits(waits: Sequence[RetryAfterWait]) -> bytes:
    """Encode as many waits as fit into a bank, those that end last."""
    kept = sorted(waits, key=lambda wait: wait.until, reverse=True)
    while (
        len(content := json.dumps([[w.dest, w.target, w.until] for w in kept]).encode()) > MAX_CONTENT_BYTES
    ):
        kept = kept[: len(kept) * 9 // 10]
    return content


def decode_waits(content: bytes) -> tuple[RetryAfterWait, ...]:
    """Decode the waits of a bank. Raises ValueError."""
    rows = json.loads(content)
    waits = tuple(RetryAfterWait(dest, target, until) for dest, target, until in rows)
    for wait in waits:
        if not (isinstance(wait.dest, int) and isinstance(wait.until, int)):
            raise ValueError("a wait without a destination or an end")
        if not isinstance(wait.target, str | None):
            raise ValueError("the name of an endpoint is not a text")
    return waits


class SlotWaits:
    """The file of one slot."""

    def __init__(self, path: Path, opened: contextlib.ExitStack) -> None:
        """Open the file, and have `opened` close it. Raises OSError."""
        self.path = path
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        opened.callback(self.close)
        self._last_sequence_number = 0  # the last one read or written

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)

    def reserve(self) -> None:
        """Reserve the file's disk space. Raises OSError."""
        size = os.fstat(self._fd).st_size
        if size < FILE_BYTES:
            JournalFile(self._fd, size).reserve(FILE_BYTES)

    def read_if_changed(self, now_us: int | None = None) -> tuple[RetryAfterWait, ...]:
        """Return the waits if they were written since the last read or write here, else none. Raises OSError.

        With `now_us`, waits that were written later than that are ignored: the clock has started again.
        """
        banks = [(self._read_header(index), index) for index in range(BANK_COUNT)]
        for header, index in sorted(banks, key=lambda bank: bank[0].sequence_number, reverse=True):
            if header.sequence_number <= self._last_sequence_number:
                return ()
            content = os.pread(self._fd, header.length, index * BANK_BYTES + HEADER_BYTES)
            if zlib.crc32(header.fields + content) != header.checksum:
                continue  # being written at this moment, or torn by a kill
            self._last_sequence_number = header.sequence_number
            if now_us is not None and header.written_at_us > now_us:
                return ()
            return self._decode(content)
        return ()

    def _decode(self, content: bytes) -> tuple[RetryAfterWait, ...]:
        try:
            return decode_waits(content)
        except (ValueError, TypeError, RecursionError) as error:
            log.warning("%s: invalid content, the waits in it are not kept: %s", self.path.name, error)
            return ()

    def _read_header(self, index: int) -> BankHeader:
        data = os.pread(self._fd, HEADER_BYTES, index * BANK_BYTES)
        if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
            return BankHeader()
        fields = data[: FIELDS.size]
        _, sequence_number, written_at_us, length = FIELDS.unpack(fields)
        (checksum,) = CHECKSUM.unpack_from(data, FIELDS.size)
        return BankHeader(fields, sequence_number, written_at_us, min(length, MAX_CONTENT_BYTES), checksum)

    def write(self, waits: Sequence[RetryAfterWait], now_us: int) -> None:
        """Replace the waits. Raises OSError; the previous ones then stay."""
        with contextlib.suppress(OSError):
            self.reserve()  # if it failed before; without it the write itself may still succeed
        sequence_number = self._last_sequence_number + 1
        content = encode_waits(waits)
        fields = FIELDS.pack(MAGIC, sequence_number, now_us, len(content))
        data = fields + CHECKSUM.pack(zlib.crc32(fields + content)) + content
        written = os.pwrite(self._fd, data, sequence_number % BANK_COUNT * BANK_BYTES)
        if written < len(data):
            raise short_write_error(written, len(data))
        self._last_sequence_number = sequence_number


class RetryAfterWaitFiles:
    """The waits of both slots, as the process that holds one of them sees them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._slots: tuple[str, str] | None = None  # the own one and the other, while open
        self._own: SlotWaits | None = None
        self._other: SlotWaits | None = None
        self._from_before: list[RetryAfterWait] = []
        self._unwritten: tuple[RetryAfterWait, ...] | None = None  # the last `publish`, if it failed
        self._reported_write_failure = self._reported_read_failure = False

    def open(self, slot: str, other_slot: str, now_us: int) -> None:
        """Open the files, and read what earlier processes and the running one have published.

        If that fails, `flush` tries again.
        """
        self._slots = slot, other_slot
        self._open_files(now_us)

    def _open_files(self, now_us: int) -> None:
        if self._slots is None:
            return
        with contextlib.ExitStack() as opened:
            try:
                files = [SlotWaits(self._folder / f"{slot}{SUFFIX}", opened) for slot in self._slots]
            except OSError as error:
                self._report_write_failure(error)
                return
            opened.pop_all()
        self._own, self._other = files
        for file in files:
            self._from_before += self._read(file, now_us)
        try:
            self._own.reserve()
        except OSError as error:
            self._report_write_failure(error)

    def close(self) -> None:
        """Close the files."""
        for file in (self._own, self._other):
            if file is not None:
                file.close()
        self._slots = self._own = self._other = None

    def publish(self, waits: Sequence[RetryAfterWait], now_us: int) -> None:
        """Replace the waits that this process publishes. A failed write is repeated by `flush`."""
        self._unwritten = tuple(waits)
        if self._own is None:
            return
        try:
            self._own.write(waits, now_us)
        except OSError as error:
            self._report_write_failure(error)
            return
        if self._reported_write_failure:
            log.info("waits: written again")
        self._unwritten, self._reported_write_failure = None, False

    def flush(self, now_us: int) -> None:
        """Repeat the last `publish` if it failed."""
        if self._own is None:
            self._open_files(now_us)
        if self._unwritten is not None:
            self.publish(self._unwritten, now_us)

    def received(self) -> Sequence[RetryAfterWait]:
        """Return the waits that other processes have published since the last call, or before the first."""
        waits, self._from_before = self._from_before, []
        if self._other is not None:
            waits += self._read(self._other)
        return waits

    def _read(self, file: SlotWaits, now_us: int | None = None) -> tuple[RetryAfterWait, ...]:
        """Return the waits of a file if they were written since the last read; none if it cannot be read."""
        try:
            waits = file.read_if_changed(now_us)
        except OSError as error:
            if not self._reported_read_failure:
                log.error("waits: cannot read %s: %s", file.path.name, error.strerror or error)
            self._reported_read_failure = True
            return ()
        self._reported_read_failure = False
        return waits

    def _report_write_failure(self, error: OSError) -> None:
        """Log the first failure of a series."""
        if not self._reported_write_failure:
            log.error(
                "waits: cannot be written, another process of this sender would not keep them: %s",
                error.strerror or error,
            )
        self._reported_write_failure = True
