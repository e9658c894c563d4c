"""The port on which other sites reach this one's log."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from rowanrack.channels_io.links import BODY_MOST, PATH
from rowanrack.core.exchange import Exchange
from rowanrack.net.http import REQUEST_TIMEOUT_RESPONSE, HttpError, HttpServerConnection, Reply
from rowanrack.net.listener import ConnectionState, Listener
from rowanrack.net.stream import Stream
from rowanrack.net.timing import after

OWED_US = 5_000_000  # for a whole request: a batch over a slow link
BUSY_S = 1  # told to a site that meets a log that is behind

Answer = Callable[[bytes], Awaitable[bytes | None]]  # None: the log is behind, come again


class SitesServer(Listener):
    """Answers other sites; bad input ends only its own connection."""

    timeout_answer = REQUEST_TIMEOUT_RESPONSE
    request_timeout_us = OWED_US

    def __init__(self, exchange: Exchange, most: int, answer: Answer) -> None:
        super().__init__(most, exchange)
        self.after, self._answer = after, answer

    async def serve_connection(self, stream: Stream) -> None:
        """Read a request, answer it, and the next one."""
        served, more = HttpServerConnection(stream, BODY_MOST), True
        while more:
            try:
                request = await served.receive(lambda: self.set_state(stream, ConnectionState.RECEIVING))
            except HttpError as bad:
                wire = served.wire(Reply(bad.status, {"Connection": "close"}))
                await self.reject(stream, wire, str(bad))
                return
            if request is None:
                return
            self.set_state(stream, ConnectionState.BUSY)
            if request.target != PATH or request.method != "POST":
                reply = Reply(404 if request.target != PATH else 405, {"Connection": "close"})
            else:
                reply = await self._reply(request.body)
            more = await served.answer(reply) and not self.draining
            self.set_state(stream, ConnectionState.IDLE)

    async def _reply(self, body: bytes) -> Reply:
        try:
            answered = await self._answer(body)
        except ValueError as bad:
            return Reply(400, {"Connection": "close"}, (str(bad) + "\n").encode())
        if answered is None:
            return Reply(503, {"Retry-After": str(BUSY_S)})
        return Reply(200, {"Content-Type": "application/msgpack"}, answered)
