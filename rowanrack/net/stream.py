"""A byte stream over an asyncio connection, with a bounded ring buffer in each direction."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

from rowanrack.net.bounded_reader import READ_CHUNK_BYTES as READ_CHUNK_BYTES
from rowanrack.net.bounded_reader import BoundedReaderProtocol, PauseReason, do_nothing
from rowanrack.net.bounded_reader import CountingReader as CountingReader
from rowanrack.net.ring import RingBuffer

MAX_BUFFER_BYTES = 96 * 1024
UNSENT_DATA_TIMEOUT_S = 1.0  # for which unsent data may delay a close


class PeerState(Enum):
    """What the kernel knows of the other side of a connection, whether or not its input has been read."""

    OPEN = "open"
    FINISHED_SENDING = "finished"  # it may still read, or have closed
    GONE = "gone"  # it has reset the connection


def stream_protocol(
    accept: Callable[[Stream], None], buffer_limit: int = MAX_BUFFER_BYTES
) -> asyncio.StreamReaderProtocol:
    """Return the protocol of an accepted connection, which passes it to `accept` as a stream."""
    reader = CountingReader()
    return BoundedReaderProtocol(reader, lambda _, writer: accept(Stream(reader, writer, buffer_limit)))


class Stream:
    """A connection. `fill` reads into `receive_buffer`; `send` writes through `send_buffer` to the kernel."""

    def __init__(
        self, reader: CountingReader, writer: asyncio.StreamWriter, buffer_limit: int = MAX_BUFFER_BYTES
    ) -> None:
        self._reader, self._writer = reader, writer
        self._read_bytes = 0
        self.parser_bytes = 0  # bytes of an incomplete request that its parser holds
        self._unbuffered_bytes = 0  # bytes of the current `send` that are in no buffer yet
        self.receive_buffer, self.send_buffer = RingBuffer(buffer_limit), RingBuffer(buffer_limit)
        # `drain` then returns only when the kernel has every byte: proof that a call was written completely.
        writer.transport.set_write_buffer_limits(high=0)

    @classmethod
    async def connect(cls, host: str, port: int) -> Stream:
        """Open a connection."""
        loop, reader = asyncio.get_running_loop(), CountingReader()
        protocol = BoundedReaderProtocol(reader)
        transport, _ = await loop.create_connection(lambda: protocol, host, port)
        return cls(reader, asyncio.StreamWriter(transport, protocol, reader, loop))

    @property
    def unread(self) -> bool:
        """Whether there is unread input, even if it is still in the kernel."""
        return bool(len(self.receive_buffer)) or self.unread_beyond_buffer

    @property
    def unread_bytes(self) -> int:
        """Number of received bytes that are unread; those still in the kernel are not counted."""
        return len(self.receive_buffer) + self._reader.received_bytes - self._read_bytes

    @property
    def held_bytes(self) -> int:
        """Number of bytes of memory that input takes, and output that the client does not read."""
        received = self._reader.received_bytes - self._read_bytes + self.receive_buffer.capacity
        unsent = self.send_buffer.capacity + self._writer.transport.get_write_buffer_size()
        return received + unsent + self.parser_bytes

    def on_received(self, action: Callable[[], None]) -> None:
        """Set what is called after each piece of input."""
        self._reader.received = action

    def release(self) -> None:
        """Release buffers and callbacks of a closed connection, whose references would form cycles."""
        self.receive_buffer.clear()
        self.send_buffer.clear()
        self._reader.received = self._reader.gate.resumed = do_nothing

    async def drop_input(self) -> None:
        """Discard all input that has been received so far."""
        self.receive_buffer.clear()
        while self._reader.received_bytes > self._read_bytes:
            await self.discard_input()

    @property
    def unread_beyond_buffer(self) -> bool:
        """Whether there is unread input that is not in the receive buffer yet."""
        if self._reader.received_bytes > self._read_bytes:
            return True
        sock = self._writer.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))

    @property
    def peer_state(self) -> PeerState:
        """The state of the other side; unread input does not hide it."""
        if self.closing or (sock := self._writer.get_extra_info("socket")) is None:
            return PeerState.GONE
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        events = poll.poll(0)
        if not events:
            return PeerState.OPEN
        return PeerState.FINISHED_SENDING if events[0][1] == select.POLLRDHUP else PeerState.GONE

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of written bytes that the other side's kernel has not confirmed; 0 if that is unknown."""
        try:
            queued = fcntl.ioctl(self.descriptor, termios.TIOCOUTQ, bytes(struct.calcsize("i")))
        except (OSError, ValueError):
            return 0
        return int(struct.unpack("i", queued)[0])

    async def fill(self) -> bool:
        """Wait for more bytes in the receive buffer; return False at the end of the stream."""
        data = await self._reader.read(min(READ_CHUNK_BYTES, self.receive_buffer.room))
        self._read_bytes += len(data)
        self.receive_buffer.write(data)
        return bool(data)

    async def discard_input(self) -> int:
        """Read and discard some bytes; return their number, or 0 at the end of the stream."""
        data = await self._reader.read(READ_CHUNK_BYTES)
        self._read_bytes += len(data)
        return len(data)

    @property
    def has_received(self) -> bool:
        """Whether any byte has been received."""
        return self._reader.received_bytes > 0

    async def wait_for_input(self) -> None:
        """Wait until anything arrives or the stream ends, also by an error."""
        with suppress(OSError):
            await self.fill()

    async def send(self, data: bytes) -> None:
        """Write all data; on return the kernel has the last byte."""
        position, self._unbuffered_bytes = 0, len(data)
        while position < len(data) or len(self.send_buffer):
            step = min(self.send_buffer.room, len(data) - position)
            self.send_buffer.write(data[position : position + step])
            position += step
            self._unbuffered_bytes -= step
            self._writer.write(self.send_buffer.read(READ_CHUNK_BYTES))
            await self._writer.drain()
        if self.closing:
            raise ConnectionResetError("connection was closed while writing")

    @property
    def unsent(self) -> bool:
        """Whether the kernel lacks a byte of what is being written; unknown once the connection is lost."""
        return bool(
            self._unbuffered_bytes + len(self.send_buffer) + self._writer.transport.get_write_buffer_size()
        )

    def send_now(self, data: bytes) -> None:
        """Write between two sends without waiting: the kernel gets the data in this call, if it has room.

        Data that must go out in time does not depend on a late event loop this way.
        """
        self._writer.write(data)

    @property
    def descriptor(self) -> int:
        """The file descriptor of the socket, or -1 once it is closed."""
        sock = self._writer.get_extra_info("socket")
        return -1 if sock is None or self.closing else int(sock.fileno())

    def pause(self, reason: PauseReason) -> None:
        """Pause reading for a reason, beside those that there are already."""
        if not self.closing:
            self._reader.gate.pause(reason)

    def resume(self, reason: PauseReason) -> None:
        """Withdraw a reason; reading resumes if it was the last one."""
        self._reader.gate.resume(reason)

    def on_resumed(self, action: Callable[[], None]) -> None:
        """Set what is called when reading resumes: the event loop has registered the socket anew."""
        self._reader.gate.resumed = action

    @property
    def ended(self) -> bool:
        """Whether the other side has closed, as far as is known."""
        return self._reader.at_eof() or self.closing

    @property
    def closing(self) -> bool:
        """Whether this side has closed, or the connection is lost."""
        return self._writer.transport.is_closing()

    def abort(self) -> None:
        """Close at once; unsent data is discarded."""
        self._writer.transport.abort()

    def shutdown_write(self) -> None:
        """Shut down the sending side; input can still be read."""
        self._writer.write_eof()

    def send_last(self, data: bytes) -> None:
        """Write without waiting, right before a close."""
        self._writer.write(data)

    def close_at_once(self) -> None:
        """Close, and notify the other side now rather than in the next event loop iteration.

        Otherwise a client could write a request in between; it repeats that elsewhere once it sees the end.
        """
        transport = self._writer.transport
        if transport.get_write_buffer_size():
            # Unsent data goes out first, if the other side reads it: a shut-down socket takes no more.
            asyncio.get_running_loop().call_later(UNSENT_DATA_TIMEOUT_S, transport.abort)
        else:
            with suppress(OSError, AttributeError):
                self._writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self._writer.close()

    def close_soon(self) -> None:
        """Close once all written data has gone out, without waiting for that."""
        self._writer.close()

    async def close(self) -> None:
        """Close once all written data has gone out, and wait for that."""
        self._writer.close()
        with suppress(OSError):
            await self._writer.wait_closed()
