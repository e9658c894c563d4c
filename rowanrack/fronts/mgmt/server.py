"""The listener of the management front: each connection is closed after one call."""

from __future__ import annotations

from rowanrack.core.exchange import Exchange
from rowanrack.fronts.mgmt.calls import Operations, answer_with_channels, text_reply
from rowanrack.net.http import (
    OUT_OF_MEMORY_RESPONSE,
    REQUEST_TIMEOUT_RESPONSE,
    HttpError,
    HttpServerConnection,
)
from rowanrack.net.input_memory import InputMemory
from rowanrack.net.listener import ConnectionState, Listener
from rowanrack.net.stream import Stream

MAX_CONNECTIONS = 64  # connections of operators; when it is reached, silent ones are closed for new ones
MAX_BODY_BYTES = 64 * 1024  # enough for a layout of hundreds of sites
REQUEST_TIMEOUT_US = 900_000  # for receiving a whole request; later ones are answered with 408


class ManagementServer(Listener):
    """Answers operators' calls. Invalid or late input gets a 4xx and closes only its own connection."""

    timeout_answer = REQUEST_TIMEOUT_RESPONSE
    out_of_memory_answer = OUT_OF_MEMORY_RESPONSE
    request_timeout_us = REQUEST_TIMEOUT_US
    request_eviction_age_us = 100_000

    def __init__(
        self,
        exchange: Exchange,
        operations: Operations,
        input_memory: InputMemory | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        super().__init__(max_connections, exchange, input_memory)
        self.operations = operations

    async def serve_connection(self, stream: Stream) -> None:
        """Answer one call, then close the connection."""
        http = HttpServerConnection(stream, MAX_BODY_BYTES)
        try:
            request = await http.receive(lambda: self.set_state(stream, ConnectionState.RECEIVING))
        except HttpError as error:
            await self.reject(stream, http.wire(text_reply(error.status, str(error))), str(error))
            return
        if request is None:
            return
        self.set_state(stream, ConnectionState.BUSY)
        await http.answer(await answer_with_channels(request, self.operations))
        # The connection now belongs to a known caller and is not throttled under load.
        self.set_state(stream, ConnectionState.IDLE)
