"""Turns what the exchange tells its observers into events of the channels. Nothing here blocks."""

from __future__ import annotations

from typing import Any, Protocol

from rowanrack.channels import events as kinds
from rowanrack.core.exchange import MAY_HAVE_RUN_RESULTS, Exchange
from rowanrack.core.messages import Attempt, End, Ending, Endpoint, Message, Refusal
from rowanspindle import EndpointStatus, Result

EVENT_KIND_BY_STATUS = {
    EndpointStatus.LISTED: kinds.LISTED,
    EndpointStatus.DRAINING: kinds.DRAINING,
    EndpointStatus.REMOVED: kinds.GONE,
}
EVENT_KIND_BY_ENDING = {Ending.DELIVERED: kinds.DELIVERED, Ending.REFUSED: kinds.REFUSED}  # others are FAILED


class EventSink(Protocol):
    """Accepts events, which stay in memory until the log's thread writes them."""

    def add_unpacked(self, event: tuple[int, str, dict[str, Any], int], /) -> None:
        """Add an event: its destination, kind, payload and Unix time. The payload must not change later."""


class ExchangeObserver:
    """An `Observer` of the exchange that logs events; with `ids` they carry the ids of messages."""

    def __init__(self, exchange: Exchange, events: EventSink, ids: bool) -> None:
        self._exchange, self._ids = exchange, ids
        self._add_unpacked, self._unix_us = events.add_unpacked, exchange.clock.unix_us
        self._listed: dict[str, tuple[int, EndpointStatus]] = {}  # by endpoint, as last logged
        self._in_outage: set[str] = set()  # endpoints whose outage was logged and has not ended

    def start(self) -> None:
        """Start observing, and log the endpoints that are listed already."""
        self._exchange.add_observer(self)
        self.list_changed(self._exchange.endpoint_list.endpoints(), [])

    def _log(self, dest: int, kind: str, payload: dict[str, Any], message: Message | None = None) -> None:
        if message is not None and self._ids:
            payload["message"] = message.id
        self._add_unpacked((dest, kind, payload, self._unix_us()))

    def taken(self, message: Message, left_us: int) -> None:
        """Log that the sender owns a message, which it has just accepted or found in its journal."""
        payload = {"class": message.cls, "left_us": left_us, "tenant": message.tenant}
        self._log(message.dest, kinds.TAKEN, payload, message)

    def refused(self, message: Message | None, refusal: Refusal) -> None:
        """Log nothing: a message that was not accepted does not belong to the channel."""

    def list_changed(self, news: list[Endpoint], gone: list[str]) -> None:
        """Log the changes of the endpoint list."""
        for endpoint in news:
            if self._listed.get(endpoint.name) != (endpoint.dest, endpoint.status):
                self._listed[endpoint.name] = endpoint.dest, endpoint.status
                payload = {"endpoint": endpoint.name, "kind": endpoint.kind, "rate": endpoint.rate}
                self._log(endpoint.dest, EVENT_KIND_BY_STATUS[endpoint.status], payload)
        for name in [
            *gone,
            *(endpoint.name for endpoint in news if endpoint.status is EndpointStatus.REMOVED),
        ]:
            dest, status = self._listed.pop(name, (0, EndpointStatus.REMOVED))
            self._in_outage.discard(name)
            if status is not EndpointStatus.REMOVED:
                self._log(dest, kinds.GONE, {"endpoint": name})

    def began(self, attempt: Attempt) -> None:
        """Log that a call's first byte is about to be sent."""
        message, payload = attempt.message, {"endpoint": attempt.endpoint.name, "leg": attempt.attempt_number}
        self._log(message.dest, kinds.BEGUN, payload, message)

    def settled(self, attempt: Attempt, result: Result, wait_us: int) -> None:
        """Log a call that was begun and failed, and the retry-after wait that its answer asked for."""
        message, name = attempt.message, attempt.endpoint.name
        if attempt.begun and result is not Result.OK:
            kind = kinds.MAY_HAVE_RUN if result in MAY_HAVE_RUN_RESULTS else kinds.NEVER_RAN
            payload = {"endpoint": name, "leg": attempt.attempt_number, "result": result.value}
            self._log(message.dest, kind, payload, message)
        if wait_us:
            self._log(message.dest, kinds.WAIT, {"endpoint": name, "wait_us": wait_us})

    def ended(self, message: Message, end: End) -> None:
        """Log the final answer of a message."""
        payload = {"again_us": end.retry_us} if end.ending is Ending.REFUSED else {}
        self._log(message.dest, EVENT_KIND_BY_ENDING.get(end.ending, kinds.FAILED), payload, message)

    def log_outage_changes(self) -> None:
        """Log the outages that the decision module has seen begin or end since the last call."""
        for name, endpoint in self._exchange.forwarder.endpoints.items():
            if (in_outage := endpoint.out_since is not None) is not (name in self._in_outage):
                (self._in_outage.add if in_outage else self._in_outage.discard)(name)
                self._log(endpoint.dest, kinds.OUT if in_outage else kinds.BACK, {"endpoint": name})
