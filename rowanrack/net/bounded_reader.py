"""A StreamReader that holds a bounded number of bytes, and the protocol that fills it.

A transport reads up to 256 KiB at a time for a plain `asyncio.Protocol`, whatever the limit of its reader is.
For a `BufferedProtocol` it reads into the buffer that the protocol provides.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Iterable
from enum import Enum
from typing import SupportsIndex

READ_CHUNK_BYTES = 16 * 1024  # read from the kernel at a time
# Reading is paused above twice this number of bytes: a reader holds that and one chunk at most.
READER_LIMIT_BYTES = 4 * 1024


class PauseReason(Enum):
    """Why nothing is read from a connection."""

    READER_FULL = "full"
    SLOW_CLIENT = "slow"  # many small pieces collect in the kernel meanwhile
    REJECTED = "rejected"  # its input was bad, and the answer to that is delayed


def do_nothing() -> None:
    """Stand for a callback that is not set."""


class ReadGate:
    """Pauses a transport while there is any reason to; stands in for the transport of a StreamReader."""

    def __init__(self, transport: asyncio.ReadTransport) -> None:
        self._transport = transport
        self._reasons: set[PauseReason] = set()
        self.resumed: Callable[[], None] = do_nothing  # called when the transport reads again

    def pause(self, reason: PauseReason) -> None:
        """Pause reading for one more reason."""
        if not self._reasons:
            self._transport.pause_reading()
        self._reasons.add(reason)

    def resume(self, reason: PauseReason) -> None:
        """Withdraw a reason, and resume reading if it was the last one."""
        if reason not in self._reasons:
            return
        self._reasons.discard(reason)
        if not self._reasons and not self._transport.is_closing():
            self._transport.resume_reading()
            self.resumed()

    def pause_reading(self) -> None:
        """Called by the reader when it is full."""
        self.pause(PauseReason.READER_FULL)

    def resume_reading(self) -> None:
        """Called by the reader when it has room again."""
        self.resume(PauseReason.READER_FULL)


class CountingReader(asyncio.StreamReader):
    """A StreamReader that counts the bytes received, and tells its owner about them."""

    received_bytes = 0
    gate: ReadGate

    def __init__(self) -> None:
        super().__init__(limit=READER_LIMIT_BYTES)
        self.received: Callable[[], None] = do_nothing  # called after each piece of input

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport; called by the protocol."""
        assert isinstance(transport, asyncio.ReadTransport)
        self.gate = ReadGate(transport)
        super().set_transport(self.gate)  # type: ignore[arg-type]  # it only pauses and resumes

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Count and buffer received bytes; called by the protocol."""
        received = bytes(data)
        self.received_bytes += len(received)
        super().feed_data(received)
        self.received()


class ReceiveBuffer(threading.local):
    """The buffer into which all transports of a thread read; its content is consumed at once."""

    def __init__(self) -> None:
        self.chunk = memoryview(bytearray(READ_CHUNK_BYTES))


_receive_buffer = ReceiveBuffer()


class BoundedReaderProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """A protocol that feeds a reader with at most READ_CHUNK_BYTES at a time."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read; called by the transport."""
        return _receive_buffer.chunk

    def buffer_updated(self, nbytes: int) -> None:
        """Feed the reader; called by the transport after a read."""
        self.data_received(_receive_buffer.chunk[:nbytes])  # type: ignore[arg-type]  # copied by the reader
