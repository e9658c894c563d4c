"""The memory of this process, as the operating system counts it."""

from __future__ import annotations

import resource
from pathlib import Path

STATM = Path("/proc/self/statm")  # sizes in pages; the second one is the resident set
KIBIBYTE = 1024  # unit of ru_maxrss


def peak_memory_bytes() -> int:
    """Return the largest resident set of this process so far."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE


def memory_bytes() -> int:
    """Return the resident set of this process, or its peak where the system does not tell."""
    try:
        pages = int(STATM.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return peak_memory_bytes()
    return pages * resource.getpagesize()
