"""HTTP/1.1 by h11 over a Stream: the calling side and the serving side."""

from __future__ import annotations

import json
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import h11

from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, time_limit

HEAD_LIMIT = 16 * 1024
REST_US = 1_000_000  # for the rest of an answer once its head has come
FRAMED = frozenset({"content-length", "transfer-encoding"})  # else a body lasts as long as its connection
BODILESS = frozenset({204, 304})
CONNECT_US = 1_000_000  # for opening a line: a machine that is cut off says nothing


class HttpError(Exception):
    """A peer broke HTTP; `status` is what a server answers to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class CallNotSentError(Exception):
    """The connection broke before the call's last byte was written: it has never run."""


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
    """A service answered, but not with what was asked for."""


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
            raise BadReplyError(f"answered {reply.status}")
        try:
            return reply.headers, json.loads(reply.body)
        except ValueError as error:
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

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another call."""
        return self._h11.our_state is h11.IDLE and not self.stream.ended and not len(self.stream.inward)

    async def call(self, call: Call) -> Reply:
        """Make one call. Nothing here ever sends it a second time."""
        head = [("Host", self._host), *call.headers, ("Content-Length", str(len(call.body)))]
        data = b"".join(
            self._h11.send(event) or b""
            for event in (
                h11.Request(method=call.method, target=call.target, headers=head),
                h11.Data(data=call.body),
                h11.EndOfMessage(),
            )
        )
        try:
            await self.stream.send(data)
        except OSError as error:
            raise CallNotSentError(str(error)) from None
        return await self._reply()

    async def _reply(self) -> Reply:
        try:
            head = await self._event()
            while isinstance(head, h11.InformationalResponse):
                head = await self._event()
        except (OSError, h11.RemoteProtocolError) as error:
            raise CallBrokenError(str(error)) from None
        if not isinstance(head, h11.Response):
            raise CallBrokenError("closed without an answer")
        headers, body = plain_headers(head.headers), bytearray()
        # Guards against an answer whose body is cut off, late or never ends: its first line has said how the
        # call went, and must not turn into a time-out.
        with suppress(OSError, TimeoutError, h11.RemoteProtocolError):
            if head.status_code in BODILESS or FRAMED & headers.keys():
                async with time_limit(self._after, self._rest_us):
                    await self._rest(body)
        return Reply(head.status_code, headers, bytes(body[: self._limit]))

    async def _rest(self, body: bytearray) -> None:
        while isinstance(event := await self._event(), h11.Data):
            if len(body) <= self._limit:
                body += event.data
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()

    async def _event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            if not len(self.stream.inward):
                await self.stream.fill()
            self._h11.receive_data(self.stream.inward.read(len(self.stream.inward)))
        return event


def phrase(status: int) -> str:
    """The standard words for a status."""
    return HTTPStatus(status).phrase if status in HTTPStatus._value2member_map_ else ""


class HttpServed:
    """The serving side of one connection."""

    def __init__(self, stream: Stream, body_limit: int) -> None:
        self.stream, self._limit = stream, body_limit
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)

    async def receive(self) -> Request | None:
        """The next request, or None at the end of the connection. Raises HttpError on what is no HTTP."""
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
                        if not len(self.stream.inward):
                            await self.stream.fill()
                        self._h11.receive_data(self.stream.inward.read(len(self.stream.inward)))
                    case _:
                        return None
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, str(error)) from None

    async def answer(self, reply: Reply) -> bool:
        """Answer the request; True if the connection may carry another one."""
        headers = [*reply.headers.items(), ("Content-Length", str(len(reply.body)))]
        events = (
            h11.Response(status_code=reply.status, headers=headers, reason=phrase(reply.status)),
            h11.Data(data=reply.body),
            h11.EndOfMessage(),
        )
        await self.stream.send(b"".join(self._h11.send(event) or b"" for event in events))
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            return True
        return False
