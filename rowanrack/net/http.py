"""HTTP/1.1 by h11 over a `Stream`: the client side and the server side of a connection."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus

import h11

from rowanrack.core.messages import Progress
from rowanrack.net.head_limit import MAX_HEADER_FIELDS, HeadLineCounter
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, time_limit

MAX_HEAD_BYTES = 16 * 1024
RESPONSE_REST_TIMEOUT_US = 1_000_000  # for the rest of a head once it has begun, and then for the body
MAX_CHUNKS_PER_TURN = 32  # parsed before others get the event loop
PARSED_BYTES_PER_TURN = 4 * 1024  # given to the parser of requests at a time
MAX_INFORMATIONAL_RESPONSES = 16  # 1xx responses ahead of the final response
STATUS_LINE_200 = re.compile(rb"HTTP/1\.[01] 200(?: (?!.*HTTP/)[^\r\n]*)?\r?\n")  # one complete status line
# A complete status line. If a partial one is merged with it, the last status is that of the response.
STATUS_LINE = re.compile(rb"(?:[^\r\n]*)HTTP/1\.[01] (\d{3})(?: [^\r\n]*)?\r?\n")
PRESSURE_HEADER = re.compile(rb"(?im)^x-pressure:[^\n]*\n")
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})  # without them, closing ends a body
BODILESS_STATUSES = frozenset({204, 304})
CONNECT_TIMEOUT_US = 1_000_000  # for opening a connection: a host that is cut off does not answer


# The answer to a request that does not arrive completely in time.
REQUEST_TIMEOUT_RESPONSE = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
# The answer to an incomplete request whose memory is needed.
OUT_OF_MEMORY_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class HttpError(Exception):
    """A peer violated HTTP; `status` is the status that a server answers with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class CallNotSentError(Exception):
    """The connection failed before the last byte of the call was written: the call has not run."""


class StaleConnectionError(CallNotSentError):
    """A reused connection had ended, or had received bytes, before the first byte of the call was written."""


class CallBrokenError(Exception):
    """The call was written and no response could be read completely: it may have run.

    `readable_part` is what could be read of the response, if that includes its status.
    """

    def __init__(self, text: str, readable_part: Reply | None = None) -> None:
        super().__init__(text)
        self.readable_part = readable_part


@dataclass(frozen=True, slots=True)
class Call:
    """A request to send."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Reply:
    """A response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True  # whether the complete body was received


@dataclass(frozen=True, slots=True)
class Request:
    """A received request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Decode raw headers to text, with names in lower case."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw}


class BadReplyError(ValueError):
    """A service responded, but not with what was requested; `status` is the status of the response."""

    def __init__(self, text: str, status: int = 200) -> None:
        super().__init__(text)
        self.status = status


class SlowReplyError(BadReplyError):
    """A service has begun a response that did not arrive completely in time."""


CALL_ERRORS = (OSError, TimeoutError, CallNotSentError, CallBrokenError, BadReplyError)


class ChunkTurns:
    """Lets others run while a body arrives in very many small chunks, each of which costs the same."""

    def __init__(self) -> None:
        self._count = 0

    async def count(self) -> None:
        """Count a chunk."""
        self._count += 1
        if self._count % MAX_CHUNKS_PER_TURN == 0:
            await asyncio.sleep(0)


class HttpClientConnection:
    """The client side of one connection, which carries one call at a time."""

    def __init__(
        self,
        stream: Stream,
        host: str,
        body_limit: int,
        after: After,
        rest_timeout_us: int = RESPONSE_REST_TIMEOUT_US,
        stall_timeout_us: int | None = None,
    ) -> None:
        """`stall_timeout_us` limits the time without a further byte of a response that has begun."""
        self.stream, self._host, self._body_limit = stream, host, body_limit
        self._after, self._rest_timeout_us = after, rest_timeout_us
        self._stall_timeout_us = stall_timeout_us
        self.body_timed_out = False  # whether the body of the last response did not arrive in time
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.statuses = set[int]()  # of all responses so far
        self.carried_calls = 0  # calls that were written, the current one included
        self.response_began_us = (
            0  # when the first byte of the last response was read, by the event loop's clock
        )
        self._is_out_of_step = False  # whether more responses than calls have come
        self._head_lines = HeadLineCounter()
        self._response_head = bytearray()  # the response from its status line on, up to MAX_HEAD_BYTES

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another call: the response is read and nothing follows it."""
        is_ready = self._h11.our_state is h11.IDLE and not self._is_out_of_step
        return is_ready and not self.stream.ended and not self.stream.unread

    @property
    def has_surplus(self) -> bool:
        """Whether input has arrived behind the response."""
        return bool(self._h11.trailing_data[0]) or self.stream.unread

    @property
    def progress(self) -> Progress:
        """Progress of the current call at this moment; the task that makes it may not know yet."""
        if self._response_head or self.stream.closing or self.stream.unread:
            return Progress.ENDING
        return Progress.UNSENT if self.stream.unsent else Progress.SENT

    async def call(self, call: Call) -> Reply:
        """Make one call. It is never sent a second time here."""
        await self.send(call)
        return await self.reply()

    async def send(self, call: Call) -> None:
        """Write a call; `reply` then waits for the response."""
        if not self.reusable:
            # Bytes that arrive between the choice of a connection and its use do not answer this call, but
            # would be read as its response.
            error_type = StaleConnectionError if self.carried_calls else CallNotSentError
            raise error_type("the connection was closed, or received unexpected bytes, before the call")
        try:
            await self.stream.send(self._encode_request(call))
        except OSError as error:
            raise CallNotSentError(str(error)) from None

    def call_now(self, call: Call) -> None:
        """Write a call immediately; `reply` then waits for the response."""
        self.stream.send_now(self._encode_request(call))

    def _encode_request(self, call: Call) -> bytes:
        self.carried_calls += 1
        self._response_head.clear()
        head = [("Host", self._host), *call.headers, ("Content-Length", str(len(call.body)))]
        return b"".join(
            self._h11.send(event) or b""
            for event in (
                h11.Request(method=call.method, target=call.target, headers=head),
                h11.Data(data=call.body),
                h11.EndOfMessage(),
            )
        )

    async def wait_for_response(self) -> None:
        """Wait until a response begins or the connection ends."""
        if not len(self.stream.receive_buffer):
            await self.stream.wait_for_input()

    async def reply(self) -> Reply:
        """Return the response to the call that was written. Raise CallBrokenError."""
        self.body_timed_out = False
        try:
            head = await self._read_head()
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            return self._handle_unreadable_head(str(error) or "incomplete response head")
        if not isinstance(head, h11.Response):
            return self._handle_unreadable_head("connection closed without a response")
        self.statuses.add(head.status_code)
        headers, body, whole = decode_headers(head.headers), bytearray(), True
        if head.status_code in BODILESS_STATUSES or FRAMING_HEADERS & headers.keys():
            try:
                async with time_limit(self._after, self._rest_timeout_us, self._has_unread):
                    whole = await self._read_body(body, int(headers.get("content-length", "0")))
            except TimeoutError:
                whole, self.body_timed_out = False, True
            except (OSError, h11.RemoteProtocolError):
                whole = False
        # The body was truncated, late, endless or not of the announced length. A status line with 200 still
        # proves that the call succeeded; with any other status the call may have run.
        if not whole and head.status_code != 200:
            text = f"response with status {head.status_code} has an invalid body"
            raise CallBrokenError(text, Reply(head.status_code, headers, complete=False))
        return Reply(head.status_code, headers, bytes(body), whole)

    async def following_reply(self) -> Reply | None:
        """Return the response behind the one that was read, or None if what follows is not a response.

        Of an unreadable response the readable part is returned. The connection is not reusable afterwards.
        """
        self._is_out_of_step = True
        surplus, self._h11 = self._h11.trailing_data[0], response_parser()
        if surplus:
            self._h11.receive_data(surplus)
        try:
            return await self.reply()
        except CallBrokenError as error:
            return error.readable_part

    def _has_unread(self) -> bool:
        return self.stream.unread

    async def _read_head(self) -> h11.Event | type[h11.PAUSED]:
        """Return the head of the final response, after any 1xx; a head that has begun has a time limit."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            self._response_head[:] = self._h11.trailing_data[0]
            self._head_lines.begin(bytes(self._response_head))
            if not self._response_head:
                await self.wait_for_response()
                await self._receive()
            self.response_began_us = int(asyncio.get_running_loop().time() * 1_000_000)
            async with time_limit(self._after, self._rest_timeout_us, self._has_unread):
                head = await self._next_head()
            if not isinstance(head, h11.InformationalResponse):
                _reject_merged_status_lines(head)
                return head
        raise h11.RemoteProtocolError(
            f"more than {MAX_INFORMATIONAL_RESPONSES} informational (1xx) responses"
        )

    def _handle_unreadable_head(self, reason: str) -> Reply:
        """Handle an unreadable response head: the call may have run, unless the status line says 200."""
        if STATUS_LINE_200.match(self._response_head):
            return Reply(200, {}, complete=False)
        # A malformed X-Pressure header makes h11 reject the head: parse the head again without that header.
        cleaned, parser = PRESSURE_HEADER.sub(b"", bytes(self._response_head)), response_parser()
        if cleaned != self._response_head:
            parser.receive_data(cleaned)
            try:
                head, rest = parser.next_event(), parser.next_event()
                _reject_merged_status_lines(head)
            except h11.RemoteProtocolError:
                head = rest = h11.NEED_DATA
            if isinstance(head, h11.Response) and isinstance(rest, h11.EndOfMessage):
                return Reply(head.status_code, decode_headers(head.headers))
        raise CallBrokenError(f"unreadable response: {reason}", readable_part(bytes(self._response_head)))

    async def _read_body(self, body: bytearray, length: int) -> bool:
        """Read the body; return False, and stop reading, if it exceeds the limit or is incomplete."""
        if length > self._body_limit:
            return False
        turns = ChunkTurns()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > self._body_limit:
                return False
            await turns.count()
        # Bytes after the response would be read as the response to the next call: no reuse then.
        has_surplus = bool(self._h11.trailing_data[0])
        if not has_surplus and self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return isinstance(event, h11.EndOfMessage)

    async def _next_head(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next head; its fields are counted before h11 parses them."""
        while not self._head_lines.exceeded:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._receive()
        raise h11.RemoteProtocolError(f"more than {MAX_HEADER_FIELDS} header fields")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._receive()

    async def _receive(self) -> None:
        if not len(self.stream.receive_buffer):
            await self._fill()
        data = self.stream.receive_buffer.read(len(self.stream.receive_buffer))
        if len(self._response_head) < MAX_HEAD_BYTES:
            self._response_head += data
        self._head_lines.feed(data)
        self._h11.receive_data(data)

    async def _fill(self) -> None:
        if self._stall_timeout_us is None:
            await self.stream.fill()
            return
        async with time_limit(self._after, self._stall_timeout_us, self._has_unread):
            await self.stream.fill()


def readable_part(head: bytes) -> Reply | None:
    """Return the status and complete headers of an unreadable final response; None without a status."""
    status_line = STATUS_LINE.match(head)
    if status_line is None or int(status_line[1]) < HTTPStatus.OK:
        return None
    lines = head[status_line.end() :].partition(b"\r\n\r\n")[0].split(b"\r\n")
    if b"\r\n\r\n" not in head:
        lines.pop()  # an incomplete line
    headers = [
        (name, value.strip()) for name, colon, value in (line.partition(b":") for line in lines) if colon
    ]
    return Reply(int(status_line[1]), decode_headers(headers), complete=False)


def response_parser() -> h11.Connection:
    """Return a parser that expects a response."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    parser.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    return parser


def _reject_merged_status_lines(head: object) -> None:
    """Reject a partial status line merged with a second one: the first status is not the response's."""
    if isinstance(head, h11.Response) and b"HTTP/" in head.reason:
        raise h11.RemoteProtocolError("two status lines in one")


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status, or an empty string."""
    return HTTPStatus(status).phrase if status in HTTPStatus._value2member_map_ else ""


class HttpServerConnection:
    """The server side of one connection."""

    def __init__(self, stream: Stream, body_limit: int) -> None:
        self.stream, self._body_limit = stream, body_limit
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head_lines = HeadLineCounter()

    @property
    def pending(self) -> bool:
        """Whether part or all of the next request has been read already."""
        return bool(self._h11.trailing_data[0]) or bool(len(self.stream.receive_buffer))

    async def receive(self, begun: Callable[[], None] = lambda: None) -> Request | None:
        """Return the next request, or None at the end of the connection. Raise HttpError on invalid HTTP.

        `begun` is called whenever a part of the request arrives.
        """
        head: h11.Request | None = None
        body, turns = bytearray(), ChunkTurns()
        self._head_lines.begin(self._h11.trailing_data[0])
        try:
            while True:
                if self._head_lines.exceeded:
                    raise HttpError(431, f"more than {MAX_HEADER_FIELDS} header fields")
                event = self._h11.next_event()
                match event:
                    case h11.Request():
                        head = event
                        if int(decode_headers(event.headers).get("content-length", "0")) > self._body_limit:
                            raise HttpError(413, f"the body is larger than {self._body_limit} bytes")
                    case h11.Data():
                        body += event.data
                        if len(body) > self._body_limit:
                            raise HttpError(413, f"the body is larger than {self._body_limit} bytes")
                        await turns.count()
                    case h11.EndOfMessage() if head is not None:
                        target = head.target.decode("ascii", "replace")
                        return Request(
                            head.method.decode("ascii"), target, decode_headers(head.headers), bytes(body)
                        )
                    case h11.NEED_DATA:
                        if self._h11.they_are_waiting_for_100_continue:
                            go_on = h11.InformationalResponse(status_code=100, headers=[])
                            await self.stream.send(self._h11.send(go_on) or b"")
                        self._reject_many_trailers(head)
                        has_input = len(self.stream.receive_buffer) or await self.stream.fill()
                        data = self.stream.receive_buffer.read(PARSED_BYTES_PER_TURN)
                        self._head_lines.feed(data)
                        self._h11.receive_data(data)
                        self.stream.parser_bytes += len(data)
                        if has_input:
                            begun()
                    case _:
                        return None
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None
        finally:
            # The traceback of an error keeps this buffer while the answer to it is delayed.
            body.clear()
            self.stream.parser_bytes = 0

    def _reject_many_trailers(self, head: h11.Request | None) -> None:
        """Reject fields behind a chunked body: the lines that h11 keeps back are parsed all at once."""
        if head is not None and self._h11.trailing_data[0].count(b"\n") > MAX_HEADER_FIELDS:
            raise HttpError(431, f"more than {MAX_HEADER_FIELDS} trailer fields")

    def wire(self, reply: Reply) -> bytes:
        """Encode a response."""
        headers = [*reply.headers.items(), ("Content-Length", str(len(reply.body)))]
        events = (
            h11.Response(status_code=reply.status, headers=headers, reason=reason_phrase(reply.status)),
            h11.Data(data=reply.body),
            h11.EndOfMessage(),
        )
        return b"".join(self._h11.send(event) or b"" for event in events)

    async def answer(self, reply: Reply) -> bool:
        """Send the response; return True if the connection may carry another request."""
        await self.stream.send(self.wire(reply))
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return True
        return False
