"""A byte stream over asyncio's, with one bounded ring buffer in each direction."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from rowanrack.net.ring import RingBuffer

CHUNK = 16 * 1024


class Stream:
    """One connection. Reads fill the inward ring; writes pass the outward ring and reach the kernel."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, limit: int = 96 * 1024
    ) -> None:
        self._reader, self._writer = reader, writer
        self.inward, self.outward = RingBuffer(limit), RingBuffer(limit)
        # `flush` then returns only when the kernel has every byte: the proof that a call was written whole.
        writer.transport.set_write_buffer_limits(high=0)

    @classmethod
    async def connect(cls, host: str, port: int) -> Stream:
        """Open a connection."""
        reader, writer = await asyncio.open_connection(host, port, limit=CHUNK)
        return cls(reader, writer)

    async def fill(self) -> bool:
        """Wait for more bytes in the inward ring; False at the end of the stream."""
        data = await self._reader.read(min(CHUNK, self.inward.room))
        self.inward.write(data)
        return bool(data)

    async def fill_quietly(self) -> None:
        """Wait until anything arrives or the stream ends, however it ends."""
        with suppress(OSError):
            await self.fill()

    async def send(self, data: bytes) -> None:
        """Write it all; on return the kernel has the last byte."""
        at = 0
        while at < len(data) or len(self.outward):
            step = min(self.outward.room, len(data) - at)
            self.outward.write(data[at : at + step])
            at += step
            self._writer.write(self.outward.read(CHUNK))
            await self._writer.drain()
        if self.closing:
            raise ConnectionResetError("closed while writing")

    @property
    def ended(self) -> bool:
        """Whether the other side has closed, as far as is known."""
        return self._reader.at_eof() or self.closing

    @property
    def closing(self) -> bool:
        """Whether this side has closed, or the connection is lost."""
        return self._writer.transport.is_closing()

    def abort(self) -> None:
        """Close at once; what is unsent is dropped."""
        self._writer.transport.abort()

    def close_soon(self) -> None:
        """Close after what is written has gone out, without waiting for it."""
        self._writer.close()

    async def close(self) -> None:
        """Close after what is written has gone out."""
        self._writer.close()
        with suppress(OSError):
            await self._writer.wait_closed()
