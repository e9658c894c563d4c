"""What stand-ins are made of: an HTTP server that answers as it is told, and a client."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable

from rowanrack.net.http import HttpError, HttpServerConnection, Reply, Request
from rowanrack.net.stream import Stream, stream_protocol

Behaviour = Callable[[Request], Awaitable[Reply | None]]


def reserve(kind: int = socket.SOCK_STREAM) -> socket.socket:
    """A port that nobody else gets while this socket is open; a listener with SO_REUSEADDR may take it."""
    held = socket.socket(socket.AF_INET, kind)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held


def peer_of(stream: Stream) -> str:
    """The host that a connection comes from."""
    with socket.socket(fileno=os.dup(stream.descriptor)) as sock:
        return str(sock.getpeername()[0])


def sender_address(number: int) -> str:
    """The loopback address that a sender's links come from, so that stand-ins know who calls."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


class HttpServer:
    """A server on loopback; a subclass says what is answered. An answer of None breaks the connection."""

    def __init__(self) -> None:
        self.port, self.tasks, self.streams = 0, set[asyncio.Task[None]](), set[Stream]()
        self.server: asyncio.Server | None = None
        self.connections = 0  # so far
        self._held: socket.socket | None = None  # keeps the port while nobody listens

    async def answer(self, request: Request, peer: str) -> Reply | None:
        """What a request gets."""
        raise NotImplementedError

    def broke_off(self) -> None:
        """A connection has been broken from here."""

    async def open(self) -> None:
        """Listen, on the same port as before if there was one."""
        loop, accept = asyncio.get_running_loop(), lambda: stream_protocol(self._accept, 1 << 20)
        if self._held is None and not self.port:
            self._held = reserve()
            self.port = self._held.getsockname()[1]
        self.server = await loop.create_server(accept, "127.0.0.1", self.port)

    def close(self) -> None:
        """Listen no more, and give the port back; what is open stays."""
        for one in (self.server, self._held):
            if one is not None:
                one.close()
        self.server = self._held = None

    def shut(self) -> None:
        """Listen no more, and reset what is open."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for stream in list(self.streams):
            stream.abort()

    def _accept(self, stream: Stream) -> None:
        task = asyncio.create_task(self._serve(stream))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, stream: Stream) -> None:
        self.streams.add(stream)
        self.connections += 1
        try:
            with contextlib.suppress(asyncio.CancelledError, OSError, HttpError):
                await self._talk(stream, peer_of(stream))
        finally:
            self.streams.discard(stream)
            stream.close_soon()

    async def _talk(self, stream: Stream, peer: str) -> None:
        served, more = HttpServerConnection(stream, 1 << 20), True
        while more and (request := await served.receive()) is not None:
            answering = asyncio.ensure_future(self.answer(request, peer))
            ending = asyncio.ensure_future(stream.wait_for_input())
            await asyncio.wait({answering, ending}, return_when=asyncio.FIRST_COMPLETED)
            reply = answering.result() if answering.done() else None
            for task in (answering, ending):
                task.cancel()
            await asyncio.wait({answering, ending})
            if reply is None:
                self.broke_off()
                stream.abort()
                return
            more = await served.answer(reply)


def resp(*words: str | bytes) -> bytes:
    """A command as RESP2 writes it."""
    raw = [w.encode() if isinstance(w, str) else w for w in words]
    parts = [f"*{len(raw)}\r\n".encode(), *(b"$%d\r\n%s\r\n" % (len(w), w) for w in raw)]
    return b"".join(parts)


class Client:
    """A client on the platform's port."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream

    async def raw(self, data: bytes) -> bytes:
        """Write bytes, and return what comes until a line is whole or the connection ends."""
        await self.stream.send(data)
        while b"\n" not in self.stream.receive_buffer.peek(1 << 16) and await self.stream.fill():
            pass
        return self.stream.receive_buffer.read(1 << 16)

    async def command(self, *words: str | bytes) -> bytes:
        """One command and its answer."""
        return await self.raw(resp(*words))

    async def submit(
        self,
        message_id: str,
        cls: str = "album-update",
        d: int = 3000,
        dest: int = 7,
        body: bytes = b"x",
        key: str = "",
    ) -> bytes:
        """Hand a message in."""
        keyed = f",k={key}" if key else ""
        return await self.command("SUBMIT", "0", message_id, f"c={cls},t=a,d={d},dest={dest}{keyed}", body)
