"""Small files that are always replaced whole: a reader sees the old text or the new one."""

from __future__ import annotations

import os
from pathlib import Path

Stamp = tuple[int, int, int]  # when it was written, its number on the disk, and its length


def stamp_of(path: Path) -> Stamp:
    """What tells one version of a file from another, however soon it follows. Raises OSError."""
    found = path.stat()
    return found.st_mtime_ns, found.st_ino, found.st_size


def replace(path: Path, text: str) -> Stamp:
    """Write the file anew; its stamp. Raises OSError: the old text stays."""
    fresh = path.with_suffix(f".{os.getpid()}.new")
    try:
        fresh.write_text(text, encoding="utf-8")
        stamp = stamp_of(fresh)  # before another process may have put its own in this one's place
        os.replace(fresh, path)
    except OSError:
        fresh.unlink(missing_ok=True)
        raise
    return stamp
