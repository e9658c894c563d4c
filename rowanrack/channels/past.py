"""The state of a destination as of a time, computed from its channel's events and the detaches of `fleet`.

Events of unknown kinds are ignored; a payload that doesn't match its kind is counted as damaged and changes
nothing. No I/O. Source: docs/channels.md.
"""

from __future__ import annotations

from collections import Counter
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from rowanrack.channels.events import (
    ATTACHED,
    BACK,
    DELIVERED,
    DETACHED,
    DRAINING,
    FAILED,
    FLEET,
    GONE,
    LISTED,
    LOST,
    OUT,
    REFUSED,
    TAKEN,
    WAIT,
    Event,
    written,
)

MAX_LISTED_MESSAGES = 100  # owed messages that the state lists; all are counted

NonEmptyText = Annotated[str, Meta(min_length=1)]
Count = Annotated[int, Meta(ge=0, le=2**50)]


class MessagePayload(Struct):
    """The payload of an accepted or ended message. Senders that do not log ids leave `message` out."""

    message: str | int | None = None


class EndpointPayload(Struct):
    """The payload of an event about an endpoint."""

    endpoint: NonEmptyText


class ListingPayload(EndpointPayload):
    """The payload of a change of the endpoint list; `rate` is in calls per second."""

    kind: str | int | None = None
    rate: float | None = None


class WaitPayload(EndpointPayload):
    """The payload of a retry-after wait, in microseconds from the time of the event."""

    wait_us: Count


class LostPayload(Struct):
    """The payload that reports dropped events."""

    count: Count


class AttachPayload(EndpointPayload):
    """The payload of an attach; `undoes` names the detaches that it cancels."""

    undoes: list[tuple[str, str, int]]


PAYLOAD_TYPES: dict[str, type[Struct]] = {
    TAKEN: MessagePayload,
    DELIVERED: MessagePayload,
    REFUSED: MessagePayload,
    FAILED: MessagePayload,
    WAIT: WaitPayload,
    OUT: EndpointPayload,
    BACK: EndpointPayload,
    LISTED: ListingPayload,
    DRAINING: ListingPayload,
    GONE: ListingPayload,
    LOST: LostPayload,
    DETACHED: EndpointPayload,
    ATTACHED: AttachPayload,
}


class ChannelState:
    """The state of a channel as of a time (Unix microseconds).

    The events of the channel must be applied in order, and so must those of `fleet`.
    """

    def __init__(self, channel: str, at_us: int) -> None:
        self.channel, self.at_us = channel, at_us
        self.damaged = self.lost = 0
        self._counts: Counter[str] = Counter()
        self._endpoints: dict[str, dict[str, Any]] = {}
        self._known_endpoints: set[str] = set()
        self._waits: dict[str, int] = {}
        self._outages: dict[str, int] = {}
        self._owed: dict[tuple[str, str | int], int] = {}  # by sender and message: when accepted
        self._owed_without_id: Counter[str] = Counter()  # by sender: owed messages without an id
        self._detaches: set[tuple[str, tuple[str, str, int]]] = set()  # endpoint and reference of the event
        self._undone_detaches: set[tuple[str, tuple[str, str, int]]] = set()

    def apply(self, event: Event) -> None:
        """Apply the next event of the channel or of `fleet`. Events after `at_us` are ignored."""
        is_fleet_event = event.kind in (DETACHED, ATTACHED)
        payload_type = PAYLOAD_TYPES.get(event.kind)
        if event.at > self.at_us or event.channel != (FLEET if is_fleet_event else self.channel):
            return
        if not is_fleet_event or self.channel == FLEET:
            self._counts[event.kind] += 1
        if payload_type is None:
            return
        try:
            payload = msgspec.msgpack.decode(event.data, type=payload_type)
        except (ValueError, msgspec.MsgspecError, RecursionError):
            self.damaged += 1
            return
        match payload:
            case MessagePayload():
                self._apply_message(event, payload.message)
            case LostPayload():
                self.lost += payload.count
            case AttachPayload():
                self._undone_detaches.update((payload.endpoint, detach) for detach in payload.undoes)
            case EndpointPayload() if is_fleet_event:
                self._detaches.add((payload.endpoint, written(event)))
            case EndpointPayload():
                self._known_endpoints.add(payload.endpoint)
                self._apply_endpoint(event, payload)

    def _apply_message(self, event: Event, message: str | int | None) -> None:
        if event.kind == TAKEN and message is not None:
            self._owed.setdefault((event.site, message), event.at)
        elif event.kind == TAKEN:
            self._owed_without_id[event.site] += 1
        elif message is not None:
            self._owed.pop((event.site, message), None)
        elif self._owed_without_id[event.site]:
            self._owed_without_id[event.site] -= 1

    def _apply_endpoint(self, event: Event, payload: EndpointPayload) -> None:
        name = payload.endpoint
        match payload:
            case ListingPayload():
                known = self._endpoints.get(name, {"kind": None, "rate": None})
                changes = {"kind": payload.kind, "rate": payload.rate}
                changes = {key: known[key] if value is None else value for key, value in changes.items()}
                self._endpoints[name] = {"state": event.kind, **changes, "since": event.at}
                if event.kind == GONE:
                    self._outages.pop(name, None)
            case WaitPayload():
                self._waits[name] = max(self._waits.get(name, 0), event.at + payload.wait_us)
            case _ if event.kind == OUT:
                self._outages.setdefault(name, event.at)
            case _:
                self._outages.pop(name, None)

    def as_document(self) -> dict[str, Any]:
        """Return the state as a JSON document. The same events give the same keys in the same order.

        `detached` lists only endpoints of the channel, but all endpoints on `fleet`. Times are Unix
        microseconds.
        """
        detached = {name for name, _ in self._detaches - self._undone_detaches}
        owed = [
            {"sender": site, "message": message, "taken": at}
            for (site, message), at in sorted(
                self._owed.items(), key=lambda entry: (entry[1], entry[0][0], str(entry[0][1]))
            )
        ]
        return {
            "endpoints": dict(sorted(self._endpoints.items())),
            "detached": sorted(detached if self.channel == FLEET else detached & self._known_endpoints),
            "waits": {name: until for name, until in sorted(self._waits.items()) if until > self.at_us},
            "outages": dict(sorted(self._outages.items())),
            "owed": {
                "count": len(owed) + self._owed_without_id.total(),
                "messages": owed[:MAX_LISTED_MESSAGES],
            },
            "counts": dict(sorted(self._counts.items())),
            "lost": self.lost,
            "damaged": self.damaged,
        }
