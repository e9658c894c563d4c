"""The port on which other sites reach this one's log."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from rowanrack.channels_io.links import LOG_PATH, MAX_BODY_BYTES
from rowanrack.core.exchange import Exchange
from rowanrack.net.http import REQUEST_TIMEOUT_RESPONSE, HttpError, HttpServerConnection, Reply
from rowanrack.net.listener import ConnectionState, Listener
from rowanrack.net.stream import Stream
from rowanrack.net.timing import after

REQUEST_TIMEOUT_US = 5_000_000  # to receive a whole request: a batch may come over a slow link
RETRY_AFTER_S = 1  # retry-after wait sent to a site while the log is overloaded

RequestHandler = Callable[
    [bytes], Awaitable[bytes | None]
]  # None: the log is overloaded, the caller should retry


class SitesServer(Listener):
    """Serves the requests of other sites. Malformed input closes only the connection that it came on."""

    timeout_answer = REQUEST_TIMEOUT_RESPONSE
    request_timeout_us = REQUEST_TIMEOUT_US

    def __init__(self, exchange: Exchange, max_connections: int, answer: RequestHandler) -> None:
        super().__init__(max_connections, exchange)
        self.after, self._handle_request = after, answer

    async def serve_connection(self, stream: Stream) -> None:
        """Serve the requests of one connection, one after another."""
        served, more = HttpServerConnection(stream, MAX_BODY_BYTES), True
        while more:
            try:
                request = await served.receive(lambda: self.set_state(stream, ConnectionState.RECEIVING))
            except HttpError as error:
                wire = served.wire(Reply(error.status, {"Connection": "close"}))
                await self.reject(stream, wire, str(error))
                return
            if request is None:
                return
            self.set_state(stream, ConnectionState.BUSY)
            if request.target != LOG_PATH or request.method != "POST":
                reply = Reply(404 if request.target != LOG_PATH else 405, {"Connection": "close"})
            else:
                reply = await self._reply(request.body)
            del request  # the connection may rest: the body must not be kept meanwhile
            more = await served.answer(reply) and not self.draining
            self.set_state(stream, ConnectionState.IDLE)

    async def _reply(self, body: bytes) -> Reply:
        try:
            answered = await self._handle_request(body)
        except ValueError as error:
            return Reply(400, {"Connection": "close"}, (str(error) + "\n").encode())
        if answered is None:
            return Reply(503, {"Retry-After": str(RETRY_AFTER_S)})
        return Reply(200, {"Content-Type": "application/msgpack"}, answered)
