"""Limits the number of header fields of an HTTP head before the head is parsed.

A parsed field takes hundreds of bytes, however short it is: a head of 16 KiB can turn into megabytes.
"""

from __future__ import annotations

import re

MAX_HEADER_FIELDS = 100
# The start line, and the empty line at the end.
MAX_HEAD_LINES = MAX_HEADER_FIELDS + 2
END_OF_HEAD = re.compile(rb"\n\r?\n")
END_OF_HEAD_BYTES = 3


class HeadLineCounter:
    """Counts the lines of a head while its bytes arrive; what follows the head is not counted."""

    def __init__(self) -> None:
        self._lines = 0
        self._tail = b""  # the end of what was counted, in which the end of the head may have begun
        self._ended = False

    @property
    def exceeded(self) -> bool:
        """Whether the head has too many fields."""
        return self._lines > MAX_HEAD_LINES

    def begin(self, data: bytes = b"") -> None:
        """Begin with a new head, of which this part is there already."""
        self._lines, self._tail, self._ended = 0, b"", False
        self.feed(data)

    def feed(self, data: bytes) -> None:
        """Count the lines of the next bytes."""
        if self._ended or not data:
            return
        joined = self._tail + data
        end = END_OF_HEAD.search(joined)
        self._ended = end is not None
        counted = joined if end is None else joined[: end.end()]
        self._lines += counted.count(b"\n") - self._tail.count(b"\n")
        self._tail = joined[-END_OF_HEAD_BYTES + 1 :]
