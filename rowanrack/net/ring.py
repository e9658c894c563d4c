"""A bounded ring buffer of bytes, used for each direction of a connection."""

from __future__ import annotations

MIN_CAPACITY_BYTES = 1024


class RingBuffer:
    """A bounded FIFO of bytes. It takes memory only while it holds any, and grows up to the limit."""

    def __init__(self, limit: int, min_capacity: int = MIN_CAPACITY_BYTES) -> None:
        self.limit, self._min_capacity = limit, min_capacity
        self._data = bytearray()
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def capacity(self) -> int:
        """The number of bytes that the buffer takes."""
        return len(self._data)

    @property
    def room(self) -> int:
        """The number of bytes that may still be written."""
        return self.limit - self._size

    def write(self, data: bytes) -> None:
        """Append bytes. Raise BufferError if they do not fit."""
        if not data:
            return
        if len(data) > self.room:
            raise BufferError(f"ring buffer is full: {len(data)} bytes to write, {self.room} bytes free")
        if self._size + len(data) > len(self._data):
            self._grow(self._size + len(data))
        tail = (self._head + self._size) % len(self._data)
        first_part = min(len(data), len(self._data) - tail)
        self._data[tail : tail + first_part] = data[:first_part]
        self._data[: len(data) - first_part] = data[first_part:]
        self._size += len(data)

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Return up to `count` bytes from an offset on, without removing them."""
        count = min(count, self._size - offset)
        if count <= 0:
            return b""
        begin = (self._head + offset) % len(self._data)
        first_part = min(count, len(self._data) - begin)
        return bytes(self._data[begin : begin + first_part]) + bytes(self._data[: count - first_part])

    def read(self, count: int) -> bytes:
        """Remove and return up to `count` bytes."""
        data = self.peek(count)
        if len(data) == self._size:
            self.clear()
        else:
            self._head = (self._head + len(data)) % len(self._data)
            self._size -= len(data)
        return data

    def clear(self) -> None:
        """Remove all bytes, and release the memory."""
        self._data, self._head, self._size = bytearray(), 0, 0

    def find(self, pattern: bytes, within: int) -> int:
        """Return the offset of a pattern among the first `within` bytes, or -1."""
        return self.peek(within).find(pattern)

    def _grow(self, min_size: int) -> None:
        data = self.peek(self._size)
        size = max(min_size, 2 * len(self._data), self._min_capacity)
        self._data = bytearray(min(self.limit, size))
        self._data[: len(data)] = data
        self._head = 0
