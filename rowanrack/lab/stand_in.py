"""Building blocks of stand-ins: an HTTP server with configurable answers, and a client."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable

from rowanrack.net.http import HttpError, HttpServerConnection, Reply, Request, reason_phrase
from rowanrack.net.stream import Stream, stream_protocol

Behaviour = Callable[[Request], Awaitable[Reply | None]]


def reserve(kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Reserve a port while the returned socket is open; a listener with SO_REUSEADDR may bind it."""
    reserved = socket.socket(socket.AF_INET, kind)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


def peer_of(stream: Stream) -> str:
    """Return the source host of a connection."""
    with socket.socket(fileno=os.dup(stream.descriptor)) as sock:
        return str(sock.getpeername()[0])


def encode_reply(reply: Reply) -> bytes:
    """Encode a reply outside the state of any connection."""
    head = [f"HTTP/1.1 {reply.status} {reason_phrase(reply.status)}"]
    head += [f"{name}: {value}" for name, value in reply.headers.items()]
    head.append(f"Content-Length: {len(reply.body)}")
    return "\r\n".join([*head, "", ""]).encode() + reply.body


def sender_address(number: int) -> str:
    """Return the source address of a sender's links, by which stand-ins identify the caller."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


class HttpServer:
    """A server on loopback; subclasses implement `answer`. An answer of None breaks the connection."""

    def __init__(self) -> None:
        self.port, self.tasks, self.streams = 0, set[asyncio.Task[None]](), set[Stream]()
        self.server: asyncio.Server | None = None
        self.connections = 0  # accepted so far
        self._reserved_socket: socket.socket | None = None  # keeps the port while the server is closed

    async def answer(self, request: Request, peer: str) -> Reply | None:
        """Return the reply to a request."""
        raise NotImplementedError

    def copy_delay_s(self) -> float | None:
        """Return the time after which the answer just sent is sent a second time, or None for never."""
        return None

    def connection_broken(self) -> None:
        """Called after this server has broken a connection."""

    async def open(self) -> None:
        """Listen, on the previous port if there was one."""
        loop, accept = asyncio.get_running_loop(), lambda: stream_protocol(self._accept, 1 << 20)
        if self._reserved_socket is None and not self.port:
            self._reserved_socket = reserve()
            self.port = self._reserved_socket.getsockname()[1]
        self.server = await loop.create_server(accept, "127.0.0.1", self.port)

    def close(self) -> None:
        """Stop listening and release the port; open connections stay."""
        for listener in (self.server, self._reserved_socket):
            if listener is not None:
                listener.close()
        self.server = self._reserved_socket = None

    def shut(self) -> None:
        """Stop listening and reset open connections."""
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
            if not answering.done() and not stream.ended:
                await asyncio.wait({answering})  # the input is the next call, which has come early
            reply = answering.result() if answering.done() else None
            for task in (answering, ending):
                task.cancel()
            await asyncio.wait({answering, ending})
            if reply is None:
                self.connection_broken()
                stream.abort()
                return
            more = await served.answer(reply)
            if (delay_s := self.copy_delay_s()) is not None:
                asyncio.get_running_loop().call_later(delay_s, send_copy, stream, encode_reply(reply))


def send_copy(stream: Stream, data: bytes) -> None:
    """Send a second copy of an answer, unless the connection has ended."""
    if not stream.closing:
        stream.send_now(data)


def resp(*words: str | bytes) -> bytes:
    """Encode a command in RESP2."""
    raw = [word.encode() if isinstance(word, str) else word for word in words]
    parts = [f"*{len(raw)}\r\n".encode(), *(b"$%d\r\n%s\r\n" % (len(word), word) for word in raw)]
    return b"".join(parts)


class Client:
    """A client of a sender's platform port."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream

    async def raw(self, data: bytes) -> bytes:
        """Send bytes, and return what arrives until a line is complete or the connection ends."""
        await self.stream.send(data)
        while b"\n" not in self.stream.receive_buffer.peek(1 << 16) and await self.stream.fill():
            pass
        return self.stream.receive_buffer.read(1 << 16)

    async def command(self, *words: str | bytes) -> bytes:
        """Send a command and return its answer."""
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
        """Submit a message."""
        keyed = f",k={key}" if key else ""
        return await self.command("SUBMIT", "0", message_id, f"c={cls},t=a,d={d},dest={dest}{keyed}", body)
