"""The file of a journal: complete records, followed by space reserved on the disk.

Space is reserved with `posix_fallocate`, which itself writes zeros where the file system cannot reserve.
Where it supports neither, this module writes the zeros. Zero bytes after the last record are reserved space,
not a torn tail.
"""

from __future__ import annotations

import contextlib
import errno
import os
from dataclasses import dataclass

BLOCK_BYTES = 512  # unit in which a file's size is counted on the disk
PROBE_ZEROS = b"\0" * BLOCK_BYTES
UNSUPPORTED_ERRNOS = frozenset({errno.EOPNOTSUPP, errno.ENOSYS, errno.EINVAL, errno.ENODEV})


def round_up_to_blocks(size: int) -> int:
    """Return the disk space that a file of this size occupies."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def short_write_error(written: int, requested: int) -> OSError:
    """Return the error for a write of which the disk accepted only a part."""
    return OSError(errno.ENOSPC, f"short write: only {written} of {requested} bytes were written")


@dataclass(slots=True)
class JournalFile:
    """An open journal file. Bytes that a failed write left after `size` are zeroed before the next write."""

    fd: int
    size: int  # bytes of complete records
    reserved_end: int = 0  # offset up to which space is reserved
    torn_end: int = 0  # offset up to which a failed write may have left bytes

    def write(self, data: bytes | bytearray) -> None:
        """Append all of the data after the last record, or raise OSError and leave `size` unchanged."""
        if self.torn_end > self.size:
            # A shorter record would leave bytes of the failed write after it, which could parse as a record.
            self._write_zeros(bytes(self.torn_end - self.size), self.size)
            self.torn_end = self.size
        written = os.pwrite(self.fd, data, self.size)
        if written < len(data):
            self.torn_end = self.size + written
            raise short_write_error(written, len(data))
        self.size += written

    def probe(self) -> None:
        """Raise OSError if the next bytes cannot be written. Writes zeros, which count as reserved space."""
        self._write_zeros(PROBE_ZEROS, max(self.size, self.torn_end))

    def reserve(self, end: int) -> None:
        """Reserve disk space up to this offset. Raises OSError."""
        start = max(self.size, self.reserved_end)
        if end <= start:
            return
        try:
            os.posix_fallocate(self.fd, start, end - start)
        except OSError as error:
            if error.errno not in UNSUPPORTED_ERRNOS:
                raise
            self._write_zeros(bytes(end - start), start)
        self.reserved_end = end

    def release_after(self, end: int) -> None:
        """Release the reserved space after this offset. Raises OSError."""
        if end < self.reserved_end:
            os.ftruncate(self.fd, end)
            self.reserved_end = end

    def close(self) -> None:
        """Release all reserved space and close the file."""
        with contextlib.suppress(OSError):
            os.ftruncate(self.fd, self.size)
        os.close(self.fd)

    def _write_zeros(self, data: bytes, offset: int) -> None:
        """Write all of these zero bytes, or raise OSError."""
        written = os.pwrite(self.fd, data, offset)
        if written < len(data):
            raise short_write_error(written, len(data))
