"""Reads what the other process of a hot restart records, while that process runs."""

from __future__ import annotations

import logging
import os
import struct
from pathlib import Path

from rowanrack.core.messages import End, Message
from rowanrack.store.journal_records import MAGIC, RECORD_HEADER, RecordedEnd, apply_record, read_records

log = logging.getLogger(__name__)


class OtherSlotReader:
    """Follows the journal file of the other slot.

    Its process appends records, and replaces the file in a compaction. Records are read up to the first one
    that is not complete yet. The open descriptor keeps the inode number of a replaced file from being reused.
    """

    def __init__(self, path: Path) -> None:
        self._path = str(path)
        self._fd = -1
        self._inode = self._offset = 0
        self._owed: dict[str, Message] = {}
        self._ends: dict[str, RecordedEnd] = {}
        self._read_failed = False  # the last read failed, which has been logged

    def find(self, message_id: str, now_unix_us: int) -> Message | End | None:
        """Return a message that the other process owns, or its end while that is the answer to repeats."""
        if not self._refresh():
            return None
        if (message := self._owed.get(message_id)) is not None:
            return message
        ended = self._ends.get(message_id)
        return None if ended is None else ended.answer_to_repeat(now_unix_us)

    def content_digest_of_ended(self, message_id: str) -> bytes:
        """Return the content digest of a message that has ended, or b"" if it is not known."""
        ended = self._ends.get(message_id)
        return b"" if ended is None else ended.content_digest

    def close(self) -> None:
        """Close the file and forget its content."""
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._offset = -1, 0
        self._owed, self._ends = {}, {}

    def _refresh(self) -> bool:
        """Read the records that are new; return False if there is no file."""
        if self._fd < 0 and not os.access(self._path, os.F_OK):  # the usual case, once for each submission
            return False
        try:
            status = os.stat(self._path)
            if self._fd < 0 or status.st_ino != self._inode or status.st_size < self._offset:
                self.close()
                self._fd = os.open(self._path, os.O_RDONLY)
                self._inode = os.fstat(self._fd).st_ino
            self._read_records()
        except FileNotFoundError:
            self.close()
            return False
        except (OSError, ValueError, KeyError, struct.error) as error:
            if not self._read_failed:
                log.warning("journal: cannot read the other process's file: %s", error)
            self._read_failed = True
        else:
            self._read_failed = False
        return self._fd >= 0

    def _read_records(self) -> None:
        """Apply the complete records behind the last one that was read."""
        if self._offset and not any(os.pread(self._fd, RECORD_HEADER.size, self._offset)):
            return  # reserved space: nothing new
        data = os.pread(self._fd, os.fstat(self._fd).st_size - self._offset, self._offset)
        if not self._offset:
            if not data.startswith(MAGIC):
                return  # being created
            data, self._offset = data[len(MAGIC) :], len(MAGIC)
        begin = self._offset
        for end, payload in read_records(data):
            apply_record(payload, self._owed, self._ends)
            self._offset = begin + end
