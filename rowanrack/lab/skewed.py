"""Runs a sender with a skewed wall clock: `python -m rowanrack.lab.skewed FILE serve --config ...`.

The first 8 bytes of the file are the offset in microseconds, little-endian and signed. It may change at any
time.
"""

from __future__ import annotations

import mmap
import struct
import sys
import time
from pathlib import Path

OFFSET = struct.Struct("<q")


def write(path: Path, offset_us: int) -> None:
    """Set the offset of the clock; it takes effect at once in a running sender."""
    with path.open("r+b" if path.exists() else "w+b") as file:
        file.write(OFFSET.pack(offset_us))


def skew(path: Path) -> None:
    """Make `time.time` and `time.time_ns` of this process apply the offset in the file."""
    with path.open("rb") as file:
        mapped_offset = mmap.mmap(file.fileno(), OFFSET.size, access=mmap.ACCESS_READ)
    true_ns = time.time_ns

    def time_ns() -> int:
        offset: int = OFFSET.unpack_from(mapped_offset)[0]
        return true_ns() + 1000 * offset

    time.time_ns = time_ns
    time.time = lambda: time_ns() / 1e9


if __name__ == "__main__":
    skew(Path(sys.argv.pop(1)))
    from rowanrack.cli import main

    main()
