"""An HTTP client for the services that a sender asks: discovery and Consul."""

from __future__ import annotations

import json
from typing import Any

from rowanrack.net.http import (
    CONNECT_TIMEOUT_US,
    BadReplyError,
    Call,
    HttpClientConnection,
    Reply,
    SlowReplyError,
)
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, time_limit

# For a response from its first byte on: a change must be known 6 s after the service has it, and if this
# response does not get through, another one must within that time.
RESPONSE_TIMEOUT_US = 5_000_000
STALL_TIMEOUT_US = 2_000_000  # without a further byte of a response that has begun


class ServiceClient:
    """A client of one service. Each call has a connection of its own.

    A copy of an earlier answer that comes late is then never taken for the answer to a call.
    """

    def __init__(self, after: After, host: str, port: int, body_limit: int) -> None:
        self._after, self._host, self._port, self._body_limit = after, host, port, body_limit
        self._stream: Stream | None = None
        self.receiving = False  # whether a response has begun that is not complete yet

    async def get_json(self, target: str, begins_within_us: int) -> tuple[dict[str, str], Any]:
        """Return the headers and the JSON document at a path. Raise one of CALL_ERRORS.

        The response must begin within `begins_within_us`.
        """
        self.close()
        try:
            async with time_limit(self._after, begins_within_us + RESPONSE_TIMEOUT_US):
                async with time_limit(self._after, begins_within_us):
                    connection = await self._connect()
                    await connection.send(Call("GET", target))
                    await connection.wait_for_response()
                self.receiving = True
                reply = await connection.reply()
        finally:
            self.close()
        if reply.status != 200:
            raise BadReplyError(f"responded with status {reply.status}", reply.status)
        return reply.headers, parse_document(reply, connection.body_timed_out)

    async def _connect(self) -> HttpClientConnection:
        async with time_limit(self._after, CONNECT_TIMEOUT_US):
            self._stream = await Stream.connect(self._host, self._port)
        address = f"{self._host}:{self._port}"
        return HttpClientConnection(
            self._stream, address, self._body_limit, self._after, RESPONSE_TIMEOUT_US, STALL_TIMEOUT_US
        )

    def close(self) -> None:
        """Abort the connection of the current call."""
        self.receiving = False
        if self._stream is not None:
            self._stream.abort()
            self._stream = None


def parse_document(reply: Reply, timed_out: bool) -> Any:
    """Parse the JSON document in a response. Raise BadReplyError.

    A document that can be parsed is complete, even if the response is not.
    """
    try:
        return json.loads(reply.body)
    except (ValueError, RecursionError) as error:
        if timed_out:
            raise SlowReplyError(f"only {len(reply.body)} bytes of the response came in time") from None
        if not reply.complete:
            raise BadReplyError(f"response is cut off after {len(reply.body)} bytes") from None
        raise BadReplyError(f"response is not valid JSON: {error}") from None
