"""HTTP/1.1 by h11 over a Stream: the calling side and the serving side."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11

from rowanrack.core.messages import Progress
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, time_limit

HEAD_LIMIT = 16 * 1024
REST_US = 1_000_000  # for the rest of an answer's head once it has begun, and for its body once that has come
AHEAD_MOST = 16  # answers 1xx ahead of the one that counts
SAYS_200 = re.compile(rb"HTTP/1\.[01] 200(?: (?!.*HTTP/)[^\r\n]*)?\r?\n")  # a whole first line, and only one
PRESSURE = re.compile(rb"(?im)^x-pressure:[^\n]*\n")
FRAMED = frozenset({"content-length", "transfer-encoding"})  # else a body lasts as long as its connection
BODILESS = frozenset({204, 304})
CONNECT_US = 1_000_000  # for opening a line: a machine that is cut off says nothing


TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"  # a late request


class HttpError(Exception):
    """A peer broke HTTP; `status` is what a server answers to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class CallNotSentError(Exception):
    """The connection broke before the call's last byte was written: it has never run."""


class StaleConnectionError(CallNotSentError):
    """A kept connection had ended, or bytes came in on it, before the call's first byte."""


class CallBrokenError(Exception):
    """The connection broke after that, before an answer: the call may have run."""


@dataclass(frozen=True, slots=True)
class Call:
    """A request to be made."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True  # whether its body came whole


@dataclass(frozen=True, slots=True)
class Request:
    """A request that was received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def plain_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Header names and values as text."""
    return {name.decode("ascii").lower(): value.decode("latin-1") for name, value in raw}


class BadReplyError(ValueError):
    """A service answered, but not with what was asked for; `status` is what it said."""

    def __init__(self, text: str, status: int = 200) -> None:
        super().__init__(text)
        self.status = status


FAILURES = (OSError, TimeoutError, CallNotSentError, CallBrokenError, BadReplyError)


class HttpLine:
    """A connection to one service that is opened at need and kept between calls; a failed call drops it."""

    def __init__(self, after: After, host: str, port: int, body_limit: int) -> None:
        self._after, self._host, self._port, self._limit = after, host, port, body_limit
        self._caller: HttpCaller | None = None

    async def call(self, call: Call) -> Reply:
        """Make one call. Raises one of FAILURES."""
        done = False
        try:
            if self._caller is None or not self._caller.reusable:
                self.close()
                async with time_limit(self._after, CONNECT_US):
                    stream = await Stream.connect(self._host, self._port)
                self._caller = HttpCaller(stream, f"{self._host}:{self._port}", self._limit, self._after)
            reply = await self._caller.call(call)
            done = True
            return reply
        finally:
            if not done:
                self.close()

    async def get_json(self, target: str) -> tuple[dict[str, str], Any]:
        """The headers and the document at a path. Raises one of FAILURES."""
        reply = await self.call(Call("GET", target))
        if reply.status != 200:
            raise BadReplyError(f"answered {reply.status}", reply.status)
        try:
            return reply.headers, json.loads(reply.body)
        except (ValueError, RecursionError) as error:
            raise BadReplyError(f"no JSON: {error}") from None

    def close(self) -> None:
        """Drop the connection."""
        if self._caller is not None:
            self._caller.stream.abort()
            self._caller = None


class HttpCaller:
    """The calling side of one connection, which carries one call at a time."""

    def __init__(
        self, stream: Stream, host: str, body_limit: int, after: After, rest_us: int = REST_US
    ) -> None:
        self.stream, self._host, self._limit = stream, host, body_limit
        self._after, self._rest_us = after, rest_us
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT)
        self._used = False  # whether it has carried a call
        self._raw = bytearray()  # the answer from its first line on, until its head has been read

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another call: all is read, and no more than that has come."""
        return self._h11.our_state is h11.IDLE and not self.stream.ended and not self.stream.unread

    @property
    def progress(self) -> Progress:
        """How far the present call has come, in this very moment: the task that makes it may know less."""
        if self._raw or self.stream.closing or self.stream.unread:
            return Progress.ENDING
        return Progress.UNSENT if self.stream.unsent else Progress.SENT

    async def call(self, call: Call) -> Reply:
        """Make one call. Nothing here ever sends it a second time."""
        if not self.reusable:
            # Guards against what comes in between the choice of a connection and its use: it is no answer to
            # this call, but would be read as one.
            stale = StaleConnectionError if self._used else CallNotSentError
            raise stale("the connection ended, or bytes came in, ahead of the call")
        try:
            await self.stream.send(self._wire(call))
        except OSError as error:
            raise CallNotSentError(str(error)) from None
        return await self.reply()

    def call_now(self, call: Call) -> None:
        """Write a call at once, whose answer is then waited for by `reply`."""
        self.stream.send_now(self._wire(call))

    def _wire(self, call: Call) -> bytes:
        self._used = True
        self._raw.clear()
        head = [("Host", self._host), *call.headers, ("Content-Length", str(len(call.body)))]
        return b"".join(
            self._h11.send(event) or b""
            for event in (
                h11.Request(method=call.method, target=call.target, headers=head),
                h11.Data(data=call.body),
                h11.EndOfMessage(),
            )
        )

    async def reply(self) -> Reply:
        """The answer to the call that was written. Raises CallBrokenError."""
        try:
            head = await self._head()
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            return self._spoilt(str(error) or "its head did not end")
        if not isinstance(head, h11.Response):
            return self._spoilt("closed without an answer")
        headers, body, whole = plain_headers(head.headers), bytearray(), True
        if head.status_code in BODILESS or FRAMED & headers.keys():
            try:
                async with time_limit(self._after, self._rest_us, self._has_unread):
                    whole = await self._rest(body, int(headers.get("content-length", "0")))
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                whole = False
        # Guards against an answer whose body is cut off, late, endless or not as long as it says. A first
        # line with 200 has said how the call went; any other proves nothing then: the call may have run.
        if not whole and head.status_code != 200:
            raise CallBrokenError(f"answered {head.status_code} with a spoilt body")
        return Reply(head.status_code, headers, bytes(body), whole)

    def _has_unread(self) -> bool:
        return self.stream.unread

    async def _head(self) -> h11.Event | type[h11.PAUSED]:
        """The head of the answer behind any 1xx, whenever it comes; once begun it must come whole."""
        for _ in range(AHEAD_MOST):
            self._raw[:] = self._h11.trailing_data[0]
            if not self._raw:
                await self._receive()
            async with time_limit(self._after, self._rest_us, self._has_unread):
                head = await self._event()
            if not isinstance(head, h11.InformationalResponse):
                _one_first_line(head)
                return head
        raise h11.RemoteProtocolError(f"more than {AHEAD_MOST} answers 1xx")

    def _spoilt(self, why: str) -> Reply:
        """An answer whose head cannot be read: the call may have run, unless its first line says 200."""
        if SAYS_200.match(self._raw):
            return Reply(200, {}, whole=False)
        # Guards against a load report that h11 takes for a broken head: what stands beside it still counts.
        cleaned, again = PRESSURE.sub(b"", bytes(self._raw)), h11.Connection(h11.CLIENT)
        if cleaned != self._raw:
            again.send(h11.Request(method="POST", target="/", headers=[("Host", "x")]))
            again.send(h11.EndOfMessage())
            again.receive_data(cleaned)
            try:
                head, rest = again.next_event(), again.next_event()
                _one_first_line(head)
            except h11.RemoteProtocolError:
                head = rest = h11.NEED_DATA
            if isinstance(head, h11.Response) and isinstance(rest, h11.EndOfMessage):
                return Reply(head.status_code, plain_headers(head.headers))
        raise CallBrokenError(f"unreadable answer: {why}")

    async def _rest(self, body: bytearray, length: int) -> bool:
        """The body; False if it is longer than we read, and then no more of it is read."""
        if length > self._limit:
            return False
        while isinstance(event := await self._event(), h11.Data):
            body += event.data
            if len(body) > self._limit:
                return False
        # Guards against what comes behind the answer: it would be read as the answer to the next call.
        surplus = bool(self._h11.trailing_data[0])
        if not surplus and self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return isinstance(event, h11.EndOfMessage)

    async def _event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._receive()

    async def _receive(self) -> None:
        if not len(self.stream.inward):
            await self.stream.fill()
        data = self.stream.inward.read(len(self.stream.inward))
        if len(self._raw) < HEAD_LIMIT:
            self._raw += data
        self._h11.receive_data(data)


def _one_first_line(head: object) -> None:
    """Guards against half a line sent ahead of an answer: its status would be taken for the answer's."""
    if isinstance(head, h11.Response) and b"HTTP/" in head.reason:
        raise h11.RemoteProtocolError("two first lines in one")


def phrase(status: int) -> str:
    """The standard words for a status."""
    return HTTPStatus(status).phrase if status in HTTPStatus._value2member_map_ else ""


class HttpServed:
    """The serving side of one connection."""

    def __init__(self, stream: Stream, body_limit: int) -> None:
        self.stream, self._limit = stream, body_limit
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)

    @property
    def pending(self) -> bool:
        """Whether a part of the next request, or all of it, has been read already."""
        return bool(self._h11.trailing_data[0])

    async def receive(self, begun: Callable[[], None] = lambda: None) -> Request | None:
        """The next request, or None at the end of the connection. Raises HttpError on what is no HTTP.

        `begun` is called whenever a part of it has come.
        """
        head: h11.Request | None = None
        body = bytearray()
        try:
            while True:
                event = self._h11.next_event()
                match event:
                    case h11.Request():
                        head = event
                        if int(plain_headers(event.headers).get("content-length", "0")) > self._limit:
                            raise HttpError(413, f"the body is larger than {self._limit} bytes")
                    case h11.Data():
                        body += event.data
                        if len(body) > self._limit:
                            raise HttpError(413, f"the body is larger than {self._limit} bytes")
                    case h11.EndOfMessage() if head is not None:
                        target = head.target.decode("ascii", "replace")
                        return Request(
                            head.method.decode("ascii"), target, plain_headers(head.headers), bytes(body)
                        )
                    case h11.NEED_DATA:
                        if self._h11.they_are_waiting_for_100_continue:
                            go_on = h11.InformationalResponse(status_code=100, headers=[])
                            await self.stream.send(self._h11.send(go_on) or b"")
                        if not len(self.stream.inward) and await self.stream.fill():
                            begun()
                        self._h11.receive_data(self.stream.inward.read(len(self.stream.inward)))
                    case _:
                        return None
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None

    def wire(self, reply: Reply) -> bytes:
        """An answer as it goes out."""
        headers = [*reply.headers.items(), ("Content-Length", str(len(reply.body)))]
        events = (
            h11.Response(status_code=reply.status, headers=headers, reason=phrase(reply.status)),
            h11.Data(data=reply.body),
            h11.EndOfMessage(),
        )
        return b"".join(self._h11.send(event) or b"" for event in events)

    async def answer(self, reply: Reply) -> bool:
        """Answer the request; True if the connection may carry another one."""
        await self.stream.send(self.wire(reply))
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return True
        return False
