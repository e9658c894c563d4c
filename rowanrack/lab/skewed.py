"""A sender whose clock of the day is off: `python -m rowanrack.lab.skewed FILE serve --config ...`.

The file's first 8 bytes are the offset in microseconds, little-endian and signed; it may change at any time.
"""

from __future__ import annotations

import mmap
import struct
import sys
import time
from pathlib import Path

OFFSET = struct.Struct("<q")


def write(path: Path, offset_us: int) -> None:
    """Set the offset; a running sender sees it at once."""
    with path.open("r+b" if path.exists() else "w+b") as file:
        file.write(OFFSET.pack(offset_us))


def skew(path: Path) -> None:
    """Let `time.time` and `time.time_ns` of this process follow the file."""
    with path.open("rb") as file:
        seen = mmap.mmap(file.fileno(), OFFSET.size, access=mmap.ACCESS_READ)
    true_ns = time.time_ns

    def time_ns() -> int:
        offset: int = OFFSET.unpack_from(seen)[0]
        return true_ns() + 1000 * offset

    time.time_ns = time_ns
    time.time = lambda: time_ns() / 1e9


if __name__ == "__main__":
    skew(Path(sys.argv.pop(1)))
    from rowanrack.cli import main

    main()
