"""A byte stream over asyncio's, with one bounded ring buffer in each direction."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import SupportsIndex

from rowanrack.net.ring import RingBuffer

CHUNK = 16 * 1024
RING_LIMIT = 96 * 1024
UNSENT_S = 1.0  # for which what is written and unsent may hold up a close


class CountingReader(asyncio.StreamReader):
    """asyncio's reader, which also says how much has come in."""

    came = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Called by the transport."""
        held = bytes(data)
        self.came += len(held)
        super().feed_data(held)


def stream_protocol(
    accept: Callable[[Stream], None], limit: int = RING_LIMIT
) -> asyncio.StreamReaderProtocol:
    """The protocol of a connection that was accepted; it is handed over as a stream."""
    reader = CountingReader(limit=CHUNK)
    return asyncio.StreamReaderProtocol(reader, lambda _, writer: accept(Stream(reader, writer, limit)))


class Stream:
    """One connection. Reads fill the inward ring; writes pass the outward ring and reach the kernel."""

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter, limit: int = RING_LIMIT) -> None:
        self._reader, self._writer = reader, writer
        self._read = 0
        self._held_back = 0  # bytes of the present `send` that no buffer holds yet
        self.inward, self.outward = RingBuffer(limit), RingBuffer(limit)
        # `flush` then returns only when the kernel has every byte: the proof that a call was written whole.
        writer.transport.set_write_buffer_limits(high=0)

    @classmethod
    async def connect(cls, host: str, port: int) -> Stream:
        """Open a connection."""
        loop, reader = asyncio.get_running_loop(), CountingReader(limit=CHUNK)
        protocol = asyncio.StreamReaderProtocol(reader)
        transport, _ = await loop.create_connection(lambda: protocol, host, port)
        return cls(reader, asyncio.StreamWriter(transport, protocol, reader, loop))

    @property
    def unread(self) -> bool:
        """Whether anything has come in that is not read yet, be it still in the kernel."""
        return bool(len(self.inward)) or self.unread_outside

    @property
    def unread_outside(self) -> bool:
        """The same, but for what stands in the inward ring already."""
        if self._reader.came > self._read:
            return True
        sock = self._writer.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    async def fill(self) -> bool:
        """Wait for more bytes in the inward ring; False at the end of the stream."""
        data = await self._reader.read(min(CHUNK, self.inward.room))
        self._read += len(data)
        self.inward.write(data)
        return bool(data)

    async def skip(self) -> int:
        """Read and drop some bytes; 0 at the end of the stream."""
        data = await self._reader.read(CHUNK)
        self._read += len(data)
        return len(data)

    @property
    def came(self) -> bool:
        """Whether anything has ever come in."""
        return self._reader.came > 0

    async def fill_quietly(self) -> None:
        """Wait until anything arrives or the stream ends, however it ends."""
        with suppress(OSError):
            await self.fill()

    async def send(self, data: bytes) -> None:
        """Write it all; on return the kernel has the last byte."""
        at, self._held_back = 0, len(data)
        while at < len(data) or len(self.outward):
            step = min(self.outward.room, len(data) - at)
            self.outward.write(data[at : at + step])
            at += step
            self._held_back -= step
            self._writer.write(self.outward.read(CHUNK))
            await self._writer.drain()
        if self.closing:
            raise ConnectionResetError("closed while writing")

    @property
    def unsent(self) -> bool:
        """Whether the kernel lacks a byte of what is being written. Not known once the connection is lost."""
        return bool(self._held_back + len(self.outward) + self._writer.transport.get_write_buffer_size())

    def send_now(self, data: bytes) -> None:
        """Write between two sends without waiting: the kernel gets it in this very call, if it has room.

        Guards what must go out in time against a loop that comes to everything late.
        """
        self._writer.write(data)

    @property
    def descriptor(self) -> int:
        """The number of its socket, or -1 once that is closed."""
        sock = self._writer.get_extra_info("socket")
        return -1 if sock is None or self.closing else int(sock.fileno())

    def pause(self) -> None:
        """Leave what comes in to the kernel for now: many small pieces become one."""
        if not self.closing:
            self._writer.transport.pause_reading()  # type: ignore[attr-defined]

    def resume(self) -> None:
        """Read again."""
        if not self.closing:
            self._writer.transport.resume_reading()  # type: ignore[attr-defined]

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

    def end_sending(self) -> None:
        """Say that nothing more is sent; what comes in can still be read."""
        self._writer.write_eof()

    def send_last(self, data: bytes) -> None:
        """Write without waiting, right before a close."""
        self._writer.write(data)

    def close_at_once(self) -> None:
        """Close, and tell the other side now rather than in the loop's next turn.

        Guards a request that would be written in between: its client hands it in again once it sees the end.
        """
        transport = self._writer.transport
        if transport.get_write_buffer_size():
            # What is unsent goes out first, if the other side reads it: an ended socket would take no more.
            asyncio.get_running_loop().call_later(UNSENT_S, transport.abort)
        else:
            with suppress(OSError, AttributeError):
                self._writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self._writer.close()

    def close_soon(self) -> None:
        """Close after what is written has gone out, without waiting for it."""
        self._writer.close()

    async def close(self) -> None:
        """Close after what is written has gone out."""
        self._writer.close()
        with suppress(OSError):
            await self._writer.wait_closed()
