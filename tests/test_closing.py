"""What comes in the moment of a close: whatever was read, or stands at the port, is answered."""

from __future__ import annotations

import asyncio
import socket

from rowanrack.net.stream import Stream, stream_protocol
from tests.rig import on_loop


@on_loop
async def test_what_is_unsent_at_a_close_still_goes_out() -> None:
    """The socket's sending was ended under the transport, which then could not write what it held."""
    loop, accepted = asyncio.get_running_loop(), asyncio.Queue[Stream]()
    server = await loop.create_server(lambda: stream_protocol(accepted.put_nowait), "127.0.0.1", 0)
    async with server:
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            client.setblocking(False)
            stream, sent = await accepted.get(), 0
            while not stream._writer.transport.get_write_buffer_size():
                stream.send_last(bytes(1 << 16))
                sent += 1 << 16
            stream.close_at_once()
            came = 0
            while more := await loop.sock_recv(client, 1 << 16):
                came += len(more)
            assert came == sent
