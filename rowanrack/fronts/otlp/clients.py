"""The clients' side of OTLP/HTTP: an export request waits for its message's one end."""

from __future__ import annotations

import asyncio
import math

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import End, Ending, Message, Refusal
from rowanrack.fronts.otlp import OtlpError
from rowanrack.fronts.otlp.mapping import RequestMap
from rowanrack.fronts.otlp.signals import (
    JSON,
    PROTOBUF,
    SIGNALS,
    Signal,
    media_type,
    parse_message,
    plain_body,
    resource_attributes,
    write_message,
    write_status,
)
from rowanrack.net.http import TOO_SLOW, HttpError, HttpServed, Reply, Request
from rowanrack.net.listener import Listener, State
from rowanrack.net.stream import Stream

OWED_US = 10_000_000  # for a whole request, which may be much larger than the platform's
SPARED_US = 2_000_000


class OtlpClients(Listener):
    """The listener for OTLP clients."""

    owed_us, spared_us = OWED_US, SPARED_US
    shared = True
    too_slow = TOO_SLOW

    def __init__(self, exchange: Exchange, mapping: RequestMap, body_limit: int, most: int) -> None:
        super().__init__(most, exchange)
        self.mapping, self.limit = mapping, body_limit
        self._waiting: dict[str, list[asyncio.Future[End]]] = {}

    def ended(self, message: Message, end: End) -> None:
        """The exchange's listener: whoever waits for this message is answered."""
        for waiter in self._waiting.pop(message.id, []):
            if not waiter.done():
                waiter.set_result(end)

    async def talk(self, stream: Stream) -> None:
        """Answer one request after the other; what is no HTTP ends the connection."""
        served, more = HttpServed(stream, self.limit), True
        while more:
            try:
                request = await served.receive(lambda: self.mark(stream, State.OWING))
            except HttpError as bad:
                last = served.wire(refusal(bad.status, str(bad), PROTOBUF, close=True))
                await self.farewell(stream, last, str(bad))
                return
            if request is None or stream.closing:
                return
            self.mark(stream, State.BUSY)
            more = await served.answer(await self._answer(request))
            self.mark(stream, State.IDLE)
            if served.pending:
                self.mark(stream, State.OWING)  # guards what has been read, maybe whole, against a close
            elif self.may_leave(stream):
                return
            await asyncio.sleep(0)  # guards the other connections against one that never pauses

    async def _answer(self, request: Request) -> Reply:
        kind = PROTOBUF
        try:
            signal = SIGNALS.get(request.target.partition("?")[0])
            if signal is None:
                raise OtlpError(404, "the paths are " + ", ".join(SIGNALS))
            if request.method != "POST":
                raise OtlpError(405, "the method is POST")
            kind = media_type(request.headers.get("content-type", ""))
            # Before the body is read: that costs the most. An id given or made of the body is the same when
            # it comes again, so that a refusal denies nothing.
            if (full := self.exchange.too_busy("")) is not None:
                return retry_later(full.retry_us, kind)
            message = self._read(signal, kind, request)
        except OtlpError as bad:
            return refusal(bad.status, str(bad), kind)
        end = await self._end_of(message)
        match end:
            case Refusal():
                return retry_later(end.retry_us, kind)
            case End(Ending.DELIVERED):
                return Reply(200, {"Content-Type": kind}, write_message(signal.response(), kind))
            case End(Ending.REFUSED):
                return retry_later(end.retry_us, kind)
            case _:
                return refusal(500, "given up; it may have taken effect", kind)

    def _read(self, signal: Signal, kind: str, request: Request) -> Message:
        body = plain_body(request.body, request.headers.get("content-encoding", ""), self.limit)
        export = parse_message(signal.request(), body, kind)
        return self.mapping.message(
            self.exchange.settings,
            request.headers,
            resource_attributes(signal, export),
            body,
            f"{signal.name} {kind}",
            self.exchange.clock.unix_us(),
        )

    async def _end_of(self, message: Message) -> End | Refusal:
        """The one end of a message: kept from before, awaited with others, or of a new message."""
        known = self.exchange.known(message.id)
        if isinstance(known, End):
            return known
        if known is None and (refusal := self.exchange.submit(message)) is not None:
            return refusal
        waiter: asyncio.Future[End] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(message.id, []).append(waiter)
        return await waiter


def refusal(status: int, text: str, kind: str, close: bool = False) -> Reply:
    """An answer with a google.rpc.Status."""
    headers = {"Content-Type": kind if kind == JSON else PROTOBUF}
    if close:
        headers["Connection"] = "close"
    return Reply(status, headers, write_status(status, text, kind))


def retry_later(retry_us: int, kind: str) -> Reply:
    """503 with the time after which handing it in again is harmless, in whole seconds as HTTP has it."""
    seconds = max(1, math.ceil(retry_us / 1_000_000))
    reply = refusal(503, "refused; come again later", kind)
    return Reply(503, {**reply.headers, "Retry-After": str(seconds)}, reply.body)
