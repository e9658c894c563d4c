"""A lock that lets only one process of a hot restart at a time look for an id and record it.

Without it, two requests under one id that reach both processes at the same moment would both be accepted:
each process would look before the other one has recorded.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator
from pathlib import Path

LOCK_NAME = "claims.lock"
# The other process holds the lock for a fraction of a millisecond, unless it has been stopped.
TRY_COUNT, TRY_INTERVAL_S = 20, 0.00025


class ClaimLock:
    """The lock of one state folder. It is released when its process ends, however that happens."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / LOCK_NAME
        self._fd = -1

    @contextlib.contextmanager
    def held(self) -> Iterator[bool]:
        """Hold the lock in the block; yield False if the other process does not release it in time."""
        try:
            is_held = self._acquire()
        except OSError:
            is_held = False
        try:
            yield is_held
        finally:
            if is_held:
                fcntl.flock(self._fd, fcntl.LOCK_UN)

    def close(self) -> None:
        """Close the lock's file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _acquire(self) -> bool:
        if self._fd < 0:
            self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
        for _ in range(TRY_COUNT):
            with contextlib.suppress(BlockingIOError):
                fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return True
            time.sleep(TRY_INTERVAL_S)
        return False
