"""What the exchange tells its observers, as events of the channels. It only notes; nothing here waits."""

from __future__ import annotations

from typing import Any, Protocol

from rowanrack.channels import events as kinds
from rowanrack.core.exchange import MAY_HAVE_RUN_RESULTS, Exchange
from rowanrack.core.messages import Attempt, End, Ending, Endpoint, Message, Refusal
from rowanspindle import EndpointStatus, Result

OF_STATUS = {
    EndpointStatus.LISTED: kinds.LISTED,
    EndpointStatus.DRAINING: kinds.DRAINING,
    EndpointStatus.REMOVED: kinds.GONE,
}
OF_ENDING = {Ending.DELIVERED: kinds.DELIVERED, Ending.REFUSED: kinds.REFUSED}  # any other: FAILED


class Noting(Protocol):
    """Where events go: kept in memory for a moment, then written by the log's thread."""

    def later(self, what: tuple[int, str, dict[str, Any], int], /) -> None:
        """Note an event: its destination, kind, payload, which nobody changes any more, and Unix time."""


class Watching:
    """An `Observer` of the exchange that notes events; `ids` says whether they name messages."""

    def __init__(self, exchange: Exchange, notes: Noting, ids: bool) -> None:
        self._exchange, self._ids = exchange, ids
        self._later, self._unix_us = notes.later, exchange.clock.unix_us
        self._given: dict[str, tuple[int, EndpointStatus]] = {}  # each endpoint as last noted
        self._out: set[str] = set()  # endpoints in an outage as last noted

    def start(self) -> None:
        """Watch from now on; what is listed already is noted."""
        self._exchange.add_observer(self)
        self.list_changed(self._exchange.endpoint_list.endpoints(), [])

    def _note(self, dest: int, what: str, payload: dict[str, Any], message: Message | None = None) -> None:
        if message is not None and self._ids:
            payload["message"] = message.id
        self._later((dest, what, payload, self._unix_us()))

    def taken(self, message: Message, left_us: int) -> None:
        """A message is owned, just taken or found at the start."""
        payload = {"class": message.cls, "left_us": left_us, "tenant": message.tenant}
        self._note(message.dest, kinds.TAKEN, payload, message)

    def refused(self, message: Message | None, refusal: Refusal) -> None:
        """A message is not taken: it never was the channel's."""

    def list_changed(self, news: list[Endpoint], gone: list[str]) -> None:
        """News of instances."""
        for i in news:
            if self._given.get(i.name) != (i.dest, i.status):
                self._given[i.name] = i.dest, i.status
                payload = {"endpoint": i.name, "kind": i.kind, "rate": i.rate}
                self._note(i.dest, OF_STATUS[i.status], payload)
        for name in [*gone, *(i.name for i in news if i.status is EndpointStatus.REMOVED)]:
            dest, status = self._given.pop(name, (0, EndpointStatus.REMOVED))
            self._out.discard(name)
            if status is not EndpointStatus.REMOVED:
                self._note(dest, kinds.GONE, {"endpoint": name})

    def began(self, attempt: Attempt) -> None:
        """A call's first byte is about to go out."""
        message, payload = attempt.message, {"endpoint": attempt.endpoint.name, "leg": attempt.attempt_number}
        self._note(message.dest, kinds.BEGUN, payload, message)

    def settled(self, attempt: Attempt, result: Result, wait_us: int) -> None:
        """A call has ended."""
        message, name = attempt.message, attempt.endpoint.name
        if attempt.begun and result is not Result.OK:
            kind = kinds.MAY_HAVE_RUN if result in MAY_HAVE_RUN_RESULTS else kinds.NEVER_RAN
            payload = {"endpoint": name, "leg": attempt.attempt_number, "result": result.value}
            self._note(message.dest, kind, payload, message)
        if wait_us:
            self._note(message.dest, kinds.WAIT, {"endpoint": name, "wait_us": wait_us})

    def ended(self, message: Message, end: End) -> None:
        """A message has ended."""
        again = {"again_us": end.retry_us} if end.ending is Ending.REFUSED else {}
        self._note(message.dest, OF_ENDING.get(end.ending, kinds.FAILED), again, message)

    def look(self) -> None:
        """Note outages that the module has seen begin or end since the last look."""
        for name, endpoint in self._exchange.forwarder.endpoints.items():
            if (out := endpoint.out_since is not None) is not (name in self._out):
                (self._out.add if out else self._out.discard)(name)
                self._note(endpoint.dest, kinds.OUT if out else kinds.BACK, {"endpoint": name})
