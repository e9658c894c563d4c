"""What a connection holds of input that nobody reads, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

from rowanrack.net.bounded_reader import READ_CHUNK_BYTES, READER_LIMIT_BYTES, PauseReason
from rowanrack.net.fair_scheduling import ConnectionPriority
from rowanrack.net.listener import ConnectionState
from rowanrack.net.stream import Stream, stream_protocol
from tests.rig import Rig, on_loop, resp
from tests.test_closing import SocketClient

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


@on_loop
async def test_a_known_client_that_floods_keeps_the_priority_of_a_client(tmp_path: Path) -> None:
    """A reader that had been full came back with the priority of the sender's own connections."""
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        assert front._fair_selector is not None
        client = SocketClient(front, resp("PING"))
        stream = await client.wait_for_state(front, ConnectionState.IDLE)
        client.sock.setblocking(False)
        while PauseReason.READER_FULL not in stream._reader.gate._reasons:
            with contextlib.suppress(BlockingIOError):
                client.sock.send(resp("PING") * 10_000)
            await asyncio.sleep(0)
        while len(stream.receive_buffer) or stream.unread:
            await asyncio.sleep(0)
        assert front._fair_selector._priorities[stream.descriptor] is ConnectionPriority.CLIENT
