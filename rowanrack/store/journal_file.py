"""The file under a journal: whole records at its end, and room that the disk has given ahead of them.

Room is kept by `posix_fallocate`, which writes zeros by itself where a file system cannot reserve; where it
does neither, zeros are written here. Zero bytes behind the last record are room, no torn tail.
"""

from __future__ import annotations

import contextlib
import errno
import os
from dataclasses import dataclass

BLOCK = 512  # bytes in which a file's size counts on the disk
PROBE = b"\0" * BLOCK
CANNOT = frozenset({errno.EOPNOTSUPP, errno.ENOSYS, errno.EINVAL, errno.ENODEV})


def blocks(size: int) -> int:
    """Bytes that a file of this size counts on the disk."""
    return -(-size // BLOCK) * BLOCK


def short_write(written: int, of: int) -> OSError:
    """The error of a write that the disk took only in part."""
    return OSError(errno.ENOSPC, f"only {written} of {of} bytes were written")


@dataclass(slots=True)
class JournalFile:
    """An open file; what a failed write may have left behind `size` is zeroed before the next one."""

    fd: int
    size: int  # bytes of whole records
    room: int = 0  # up to where the disk has given room
    torn: int = 0  # up to where a failed write may have left bytes

    def write(self, data: bytes) -> None:
        """Write all of it behind the last record, or raise OSError and let none of it count."""
        if self.torn > self.size:
            # Guards against a shorter record here: what is left behind it could be read as one.
            self._put(bytes(self.torn - self.size), self.size)
            self.torn = self.size
        written = os.pwrite(self.fd, data, self.size)
        if written < len(data):
            self.torn = self.size + written
            raise short_write(written, len(data))
        self.size += written

    def probe(self) -> None:
        """Raise OSError unless the next bytes can be written; zeros are, which count as room."""
        self._put(PROBE, max(self.size, self.torn))

    def reserve(self, upto: int) -> None:
        """Have the disk give room up to this offset. Raises OSError."""
        start = max(self.size, self.room)
        if upto <= start:
            return
        try:
            os.posix_fallocate(self.fd, start, upto - start)
        except OSError as error:
            if error.errno not in CANNOT:
                raise
            self._put(bytes(upto - start), start)
        self.room = upto

    def trim(self, upto: int) -> None:
        """Give back the room behind this offset. Raises OSError."""
        if upto < self.room:
            os.ftruncate(self.fd, upto)
            self.room = upto

    def close(self) -> None:
        """Give back all room, and let go of the file."""
        with contextlib.suppress(OSError):
            os.ftruncate(self.fd, self.size)
        os.close(self.fd)

    def _put(self, data: bytes, at: int) -> None:
        """Write zeros, all of them."""
        written = os.pwrite(self.fd, data, at)
        if written < len(data):
            raise short_write(written, len(data))
