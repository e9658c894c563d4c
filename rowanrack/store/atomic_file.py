"""Atomic replacement of small files: a reader sees either the old content or the new one."""

from __future__ import annotations

import os
from pathlib import Path

FileVersion = tuple[int, int, int]  # modification time in nanoseconds, inode number, length in bytes


def file_version(path: Path) -> FileVersion:
    """Return an identifier of a file's current version that changes with each replacement. Raises OSError."""
    found = path.stat()
    return found.st_mtime_ns, found.st_ino, found.st_size


def replace_file(path: Path, text: str) -> FileVersion:
    """Replace a file atomically and return its new version. Raises OSError; the old content then stays."""
    temporary_path = path.with_suffix(f".{os.getpid()}.new")
    try:
        temporary_path.write_text(text, encoding="utf-8")
        # Read before the rename: afterwards another process may have replaced the file.
        version = file_version(temporary_path)
        os.replace(temporary_path, path)
    except OSError:
        temporary_path.unlink(missing_ok=True)
        raise
    return version
