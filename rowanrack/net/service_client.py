"""An HTTP client for the services that a sender asks: discovery and Consul."""

from __future__ import annotations

import json
from typing import Any

from rowanrack.net.http import CONNECT_TIMEOUT_US, BadReplyError, Call, HttpClientConnection, Reply
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, time_limit


class ServiceClient:
    """A client of one service. Each call has a connection of its own.

    A copy of an earlier answer that comes late is then never taken for the answer to a call.
    """

    def __init__(self, after: After, host: str, port: int, body_limit: int) -> None:
        self._after, self._host, self._port, self._body_limit = after, host, port, body_limit
        self._stream: Stream | None = None

    async def call(self, call: Call) -> Reply:
        """Make one call. Raise one of CALL_ERRORS."""
        self.close()
        try:
            async with time_limit(self._after, CONNECT_TIMEOUT_US):
                self._stream = await Stream.connect(self._host, self._port)
            address = f"{self._host}:{self._port}"
            connection = HttpClientConnection(self._stream, address, self._body_limit, self._after)
            return await connection.call(call)
        finally:
            self.close()

    async def get_json(self, target: str) -> tuple[dict[str, str], Any]:
        """Return the headers and the JSON document at a path. Raise one of CALL_ERRORS."""
        reply = await self.call(Call("GET", target))
        if reply.status != 200:
            raise BadReplyError(f"responded with status {reply.status}", reply.status)
        try:
            return reply.headers, json.loads(reply.body)
        except (ValueError, RecursionError) as error:
            raise BadReplyError(f"response is not valid JSON: {error}") from None

    def close(self) -> None:
        """Abort the connection of the current call."""
        if self._stream is not None:
            self._stream.abort()
            self._stream = None
