"""What a connection holds of input that nobody reads, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from rowanrack.net.bounded_reader import READ_CHUNK_BYTES, READER_LIMIT_BYTES, PauseReason
from rowanrack.net.stream import Stream, stream_protocol
from tests.rig import on_loop

MAX_UNREAD_BYTES = 2 * READER_LIMIT_BYTES + READ_CHUNK_BYTES


async def fill_kernel_buffers(client: socket.socket) -> None:
    """Send until the kernel takes no more, while the other side may read; 32 MiB at most."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError):
        for _ in range(32):
            await asyncio.wait_for(loop.sock_sendall(client, bytes(1 << 20)), 0.2)


@on_loop
async def test_a_full_reader_stays_paused_when_another_pause_ends() -> None:
    """The end of a slow client's pause let the transport read without end."""
    loop, accepted = asyncio.get_running_loop(), asyncio.Queue[Stream]()
    server = await loop.create_server(lambda: stream_protocol(accepted.put_nowait), "127.0.0.1", 0)
    async with server:
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            client.setblocking(False)
            stream = await accepted.get()
            await fill_kernel_buffers(client)
            assert READER_LIMIT_BYTES < stream.unread_bytes <= MAX_UNREAD_BYTES
            stream.pause(PauseReason.SLOW_CLIENT)
            stream.resume(PauseReason.SLOW_CLIENT)
            await fill_kernel_buffers(client)
            assert stream.unread_bytes <= MAX_UNREAD_BYTES
            stream.pause(PauseReason.SLOW_CLIENT)
            while stream.unread_bytes:
                await stream.discard_input()
            await fill_kernel_buffers(client)
            assert not stream.unread_bytes
            stream.abort()
