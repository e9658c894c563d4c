"""The client side of OTLP/HTTP: an export request is answered once its message has ended."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus

from google.protobuf.message import Message as ProtobufMessage

from rowanrack.core.exchange import Exchange
from rowanrack.core.identity import IdInUseError
from rowanrack.core.messages import End, Ending, Message, Refusal
from rowanrack.fronts.otlp import OtlpError
from rowanrack.fronts.otlp.mapping import RequestMap, with_former_id
from rowanrack.fronts.otlp.signals import (
    JSON,
    PROTOBUF,
    SIGNALS,
    Signal,
    decompressed_body,
    media_type,
    parse_message,
    parsed_json_bytes,
    resource_attributes,
    serialize_message,
    serialize_status,
)
from rowanrack.net.http import (
    OUT_OF_MEMORY_RESPONSE,
    REQUEST_TIMEOUT_RESPONSE,
    HttpError,
    HttpServerConnection,
    Reply,
    Request,
)
from rowanrack.net.input_memory import InputMemory
from rowanrack.net.listener import ConnectionState, Listener
from rowanrack.net.stream import Stream
from rowanrack.net.timing import pause

REQUEST_TIMEOUT_US = 10_000_000  # for receiving one request, which may be much larger than the platform's
# A connection whose request is incomplete is closed to make room for others only after this time.
MIN_REQUEST_AGE_BEFORE_EVICTION_US = 2_000_000
# Interval at which it is checked how a message of the other process of a hot restart has ended, and how long
# after its deadline at most.
OTHER_PROCESS_CHECK_INTERVAL_US, OTHER_PROCESS_GRACE_US = 50_000, 1_000_000
# A larger JSON body is parsed in a thread: its thousands of elements would delay everybody else.
MAX_JSON_BYTES_ON_LOOP = 4 * 1024
WAITING_JSON_SHARE = 0.25  # of the memory for clients' input, for bodies that wait to be parsed
ID_IN_USE_STATUS = 409  # by the specification, such a request is not sent again


class OtlpClients(Listener):
    """Accepts connections of OTLP clients and answers their export requests."""

    request_timeout_us, request_eviction_age_us = REQUEST_TIMEOUT_US, MIN_REQUEST_AGE_BEFORE_EVICTION_US
    reuse_port = True
    timeout_answer = REQUEST_TIMEOUT_RESPONSE
    out_of_memory_answer = OUT_OF_MEMORY_RESPONSE

    def __init__(
        self,
        exchange: Exchange,
        mapping: RequestMap,
        body_limit: int,
        max_connections: int,
        input_memory: InputMemory,
    ) -> None:
        super().__init__(max_connections, exchange, input_memory)
        self.mapping, self.body_limit_bytes = mapping, body_limit
        self._waiting: dict[str, list[asyncio.Future[End]]] = {}
        self._waiting_json_bytes = 0
        self._json_parser = ThreadPoolExecutor(1, "otlp-json")  # its thread starts with the first use

    def close(self) -> None:
        """Close the port and all connections, and parse nothing more."""
        super().close()
        self._json_parser.shutdown(wait=False, cancel_futures=True)

    def ended(self, message: Message, end: End) -> None:
        """Answer every request that waits for this message. Called by the exchange when a message ends."""
        for waiter in self._waiting.pop(message.id, []):
            if not waiter.done():
                waiter.set_result(end)

    async def serve_connection(self, stream: Stream) -> None:
        """Answer the requests of one connection in turn; input that is not HTTP closes it."""
        http, keep_alive = HttpServerConnection(stream, self.body_limit_bytes), True
        while keep_alive:
            try:
                request = await http.receive(lambda: self.set_state(stream, ConnectionState.RECEIVING))
            except HttpError as error:
                final_answer = http.wire(error_reply(error.status, str(error), PROTOBUF, close=True))
                await self.reject(stream, final_answer, str(error))
                return
            if request is None or stream.closing or await self.client_has_left(stream):
                return
            self.set_state(stream, ConnectionState.BUSY)
            reply = await self._answer(request)
            del request  # the connection may rest: the body must not be kept meanwhile
            keep_alive = await http.answer(reply)
            self.set_state(stream, ConnectionState.IDLE)
            if http.pending:
                # Input that is already read, perhaps a whole request, must not be lost by closing.
                self.set_state(stream, ConnectionState.RECEIVING)
            elif self.may_close(stream):
                return
            await asyncio.sleep(0)  # lets other connections run when this one always has input

    async def _answer(self, request: Request) -> Reply:
        content_type = PROTOBUF
        try:
            signal = SIGNALS.get(request.target.partition("?")[0])
            if signal is None:
                raise OtlpError(404, "the paths are " + ", ".join(SIGNALS))
            if request.method != "POST":
                raise OtlpError(405, "the method is POST")
            content_type = media_type(request.headers.get("content-type", ""))
            # Checked before the body is parsed, which is the most expensive step. A retry of the request has
            # the same id, whether given or derived from the body, so refusing it now is safe.
            if (overload := self.exchange.refusal_if_overloaded("")) is not None:
                return retry_later_reply(overload.retry_us, content_type)
            message = await self._parse_message(signal, content_type, request)
            end = await self._wait_for_end(message)
        except OtlpError as error:
            if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
                return retry_later_reply(0, content_type)
            return error_reply(error.status, str(error), content_type)
        except IdInUseError as error:
            self.bad_input_warnings.warning("message %s of a client is refused: %s", message.id, error)
            return error_reply(ID_IN_USE_STATUS, str(error), content_type)
        match end:
            case Refusal():
                return retry_later_reply(end.retry_us, content_type)
            case End(Ending.DELIVERED):
                return Reply(
                    200, {"Content-Type": content_type}, serialize_message(signal.response(), content_type)
                )
            case End(Ending.REFUSED):
                return retry_later_reply(end.retry_us, content_type)
            case _:
                return error_reply(500, "given up; it may have taken effect", content_type)

    async def _parse_message(self, signal: Signal, content_type: str, request: Request) -> Message:
        received_at_us = self.exchange.clock.unix_us()
        body = await decompressed_body(
            request.body, request.headers.get("content-encoding", ""), self.body_limit_bytes
        )
        parse = functools.partial(parse_message, signal.request(), body, content_type)
        is_large_json = content_type == JSON and len(body) > MAX_JSON_BYTES_ON_LOOP
        export = await self._parse_in_thread(body, parse) if is_large_json else parse()
        return self.mapping.build_message(
            self.exchange.settings,
            request.headers,
            resource_attributes(signal, export),
            body,
            f"{signal.name} {content_type}",
            received_at_us,
        )

    async def _parse_in_thread(self, body: bytes, parse: Callable[[], ProtobufMessage]) -> ProtobufMessage:
        """Parse a large JSON body. Raises OtlpError if there is no memory for it, or for those before it."""
        limit_bytes = self.input_memory.limit_bytes
        if parsed_json_bytes(body) > limit_bytes:
            raise OtlpError(413, "the body has more elements than there is memory for")
        if self._waiting_json_bytes + len(body) > limit_bytes * WAITING_JSON_SHARE:
            raise OtlpError(503, "too many large JSON bodies at once; come again later")
        self._waiting_json_bytes += len(body)
        try:
            return await asyncio.get_running_loop().run_in_executor(self._json_parser, parse)
        finally:
            self._waiting_json_bytes -= len(body)

    async def _wait_for_end(self, message: Message) -> End | Refusal:
        """Return the end of a message, which is submitted unless it is known already.

        A message that has ended is answered from the stored end; requests with the same message id wait for
        the same end. Raises IdInUseError if the id belongs to another message.
        """
        known = self.exchange.find_repeated(message) or self._find_under_former_id(message)
        if isinstance(known, End):
            return known
        if known is None and (refusal := self.exchange.submit(message)) is not None:
            # The other process of a hot restart may have accepted it since it was looked for.
            known = self.exchange.find_repeated(message)
            if known is None or isinstance(known, End):
                return known or refusal
        if known is not None and not self.exchange.owns(known):
            return await self._wait_for_other_process(known)
        return await self._wait_for_owned((known or message).id)

    async def _wait_for_owned(self, message_id: str) -> End:
        """Return the end of a message that this process owns."""
        waiter: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(message_id, []).append(waiter)
        return await waiter

    async def _wait_for_other_process(self, message: Message) -> End:
        """Return the end of a message of the other process, which this one may take over meanwhile.

        A message whose end does not become known in time may have taken effect.
        """
        give_up_at_us = message.deadline_us + OTHER_PROCESS_GRACE_US
        while self.exchange.clock.unix_us() < give_up_at_us:
            known = self.exchange.find_anywhere(message.id)
            if known is None or isinstance(known, End):
                return known or End(Ending.FAILED)
            if self.exchange.owns(known):
                return await self._wait_for_owned(message.id)
            await pause(self.after, OTHER_PROCESS_CHECK_INTERVAL_US)
        return End(Ending.FAILED)

    def _find_under_former_id(self, message: Message) -> Message | End | None:
        """Find a message without an id that the release before has taken, which a restart may leave."""
        if (former := with_former_id(message)) is None:
            return None
        with contextlib.suppress(IdInUseError):
            return self.exchange.find_repeated(former)
        return None


def error_reply(status: int, text: str, content_type: str, close: bool = False) -> Reply:
    """Build an error reply whose body is a google.rpc.Status."""
    headers = {"Content-Type": content_type if content_type == JSON else PROTOBUF}
    if close:
        headers["Connection"] = "close"
    return Reply(status, headers, serialize_status(status, text, content_type))


def retry_later_reply(retry_us: int, content_type: str) -> Reply:
    """Build a 503 with the wait after which a retry is safe in Retry-After, rounded up to whole seconds."""
    seconds = max(1, math.ceil(retry_us / 1_000_000))
    reply = error_reply(503, "refused; come again later", content_type)
    return Reply(503, {**reply.headers, "Retry-After": str(seconds)}, reply.body)
