"""A bounded ring buffer of bytes: one for each direction of a connection."""

from __future__ import annotations


class RingBuffer:
    """Bytes in the order written, never more than its limit. The memory grows with use, up to the limit."""

    def __init__(self, limit: int, start: int = 1024) -> None:
        self.limit = limit
        self._start = min(start, limit)
        self._data = bytearray(self._start)
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        """How many bytes may still be written."""
        return self.limit - self._size

    def write(self, data: bytes) -> None:
        """Append bytes, which must fit."""
        if len(data) > self.room:
            raise BufferError(f"{len(data)} bytes do not fit into {self.room}")
        if self._size + len(data) > len(self._data):
            self._grow(self._size + len(data))
        tail = (self._head + self._size) % len(self._data)
        first = min(len(data), len(self._data) - tail)
        self._data[tail : tail + first] = data[:first]
        self._data[: len(data) - first] = data[first:]
        self._size += len(data)

    def peek(self, count: int, start: int = 0) -> bytes:
        """Up to so many bytes from that place on, which stay."""
        count = max(0, min(count, self._size - start))
        at = (self._head + start) % len(self._data)
        first = min(count, len(self._data) - at)
        return bytes(self._data[at : at + first]) + bytes(self._data[: count - first])

    def read(self, count: int) -> bytes:
        """Up to so many bytes, which are gone then."""
        data = self.peek(count)
        self._head = (self._head + len(data)) % len(self._data)
        self._size -= len(data)
        if not self._size and len(self._data) > self._start:
            # Guards against a connection that holds the memory of its largest message for good.
            self._data, self._head = bytearray(self._start), 0
        return data

    def find(self, mark: bytes, within: int) -> int:
        """Where a mark begins among the first bytes, or -1."""
        return self.peek(within).find(mark)

    def _grow(self, least: int) -> None:
        data = self.peek(self._size)
        self._data = bytearray(min(self.limit, max(least, 2 * len(self._data))))
        self._data[: len(data)] = data
        self._head = 0
