"""The two slots of a state folder, one for each process of a hot restart, and their locks."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path

from rowanrack.store.journal_records import JournalError

SLOT_NAMES = ("messages", "messages.b")
# The other process may hold both slots while it takes one over, or one briefly to test it.
OPEN_TRY_COUNT, OPEN_PAUSE_S = 200, 0.01


def other_slot_of(slot: str) -> str:
    """Return the slot of the other process."""
    return SLOT_NAMES[1 - SLOT_NAMES.index(slot)]


def lock_slot(folder: Path, slot: str) -> int | None:
    """Lock a slot and return the lock's descriptor, or None if another process holds the lock."""
    fd = os.open(folder / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(fd)
        return None
    return fd


def lock_free_slot(folder: Path) -> tuple[str, int]:
    """Lock a free slot and return it with the lock's descriptor. Raises OSError or JournalError.

    Tries repeatedly, because another process locks a free slot while it tests it or takes it over.
    """
    for _ in range(OPEN_TRY_COUNT):
        for slot in SLOT_NAMES:
            if (fd := lock_slot(folder, slot)) is not None:
                return slot, fd
        time.sleep(OPEN_PAUSE_S)
    raise JournalError("journal: two processes already use this folder")
