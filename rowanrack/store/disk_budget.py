"""How the two processes of a hot restart divide the disk space of one state folder.

A process that runs alone may use the budget less a small reserve, in which a second one can start. While the
other slot has a file, each of the two uses at most half. A first process whose file is larger compacts it;
until it has done so, the second one keeps to the reserve.
"""

from __future__ import annotations

import contextlib
import os
from dataclasses import dataclass
from pathlib import Path

from rowanrack.store.journal_file import round_up_to_blocks

SECOND_PROCESS_BYTES, SECOND_PROCESS_FRACTION = 32 * 1024, 1 / 16
FILE_SUFFIX, COMPACTION_SUFFIX = "log", "new"  # of a slot's journal, and of the file that replaces it


def slot_bytes(folder: Path, slot: str) -> int:
    """Return the bytes that the files of a slot occupy; 0 if it has no journal."""
    path = f"{folder}/{slot}.{FILE_SUFFIX}"
    if not os.access(path, os.F_OK):  # the usual case, once for each submission
        return 0
    total = 0
    for file_path in (path, f"{folder}/{slot}.{COMPACTION_SUFFIX}"):
        with contextlib.suppress(OSError):
            total += round_up_to_blocks(os.stat(file_path).st_size)
    return total


@dataclass(frozen=True, slots=True)
class DiskBudget:
    """The disk space for the journals of both processes together."""

    total_bytes: int

    @property
    def reserve_bytes(self) -> int:
        """The space that a process leaves for the start of a second one."""
        return min(SECOND_PROCESS_BYTES, int(self.total_bytes * SECOND_PROCESS_FRACTION))

    def exceeds_share(self, own_bytes: int) -> bool:
        """Return whether a file is larger than one of two processes may have it."""
        return own_bytes > self.total_bytes // 2

    def limit_bytes(self, other_bytes: int) -> int:
        """Return the space for the files of a process beside the other slot's files of this size."""
        if not other_bytes:
            return self.total_bytes - self.reserve_bytes
        return self.reserve_bytes if self.exceeds_share(other_bytes) else self.total_bytes // 2

    def compaction_limit_bytes(self, own_bytes: int, other_bytes: int) -> int:
        """Return the space for the files of a process during a compaction.

        A file above its share was there first: the second process leaves this space until it is compacted.
        """
        if self.exceeds_share(own_bytes):
            return self.total_bytes - self.reserve_bytes
        return self.limit_bytes(other_bytes)
