"""What a partner was like at a time, folded from its channel's events and the detaches of `fleet`. No I/O.

Kinds that are not known are passed over; a payload that is not what its kind says is counted and changes
nothing. Source: docs/channels.md.
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

NAMED_MOST = 100  # owed messages that are named; all are counted

Name = Annotated[str, Meta(min_length=1)]
Whole = Annotated[int, Meta(ge=0, le=2**50)]


class Ended(Struct):
    """A message taken, or its end; some are without an id."""

    message: str | int | None = None


class Of(Struct):
    """Something about an endpoint."""

    endpoint: Name


class Listing(Of):
    """What the list says of it; `rate` is in calls a second."""

    kind: str | int | None = None
    rate: float | None = None


class Told(Of):
    """A wait, in microseconds from the event's time on."""

    wait_us: Whole


class Lost(Struct):
    """Events that found no room."""

    count: Whole


class Attach(Of):
    """The detaches that an attach has seen."""

    undoes: list[tuple[str, str, int]]


SHAPES: dict[str, type[Struct]] = {
    TAKEN: Ended, DELIVERED: Ended, REFUSED: Ended, FAILED: Ended, WAIT: Told, OUT: Of, BACK: Of,
    LISTED: Listing, DRAINING: Listing, GONE: Listing, LOST: Lost, DETACHED: Of, ATTACHED: Attach,
}  # fmt: skip


class Past:
    """A channel as of a time (Unix microseconds). Its events come in order, and so do those of `fleet`."""

    def __init__(self, channel: str, at_us: int) -> None:
        self.channel, self.at_us = channel, at_us
        self.damaged = self.lost = 0
        self._counts: Counter[str] = Counter()
        self._endpoints: dict[str, dict[str, Any]] = {}
        self._named: set[str] = set()
        self._waits: dict[str, int] = {}
        self._outages: dict[str, int] = {}
        self._owed: dict[tuple[str, str | int], int] = {}  # sender and message: taken when
        self._nameless: Counter[str] = Counter()  # messages without an id that a sender owes
        self._detaches: set[tuple[str, tuple[str, str, int]]] = set()  # endpoint, and how it is named
        self._undone: set[tuple[str, tuple[str, str, int]]] = set()

    def saw(self, event: Event) -> None:
        """Take in the next event of the channel or of `fleet`; later ones than the time are passed over."""
        fleet = event.kind in (DETACHED, ATTACHED)
        shape = SHAPES.get(event.kind)
        if event.at > self.at_us or event.channel != (FLEET if fleet else self.channel):
            return
        if not fleet or self.channel == FLEET:
            self._counts[event.kind] += 1
        if shape is None:
            return
        try:
            found = msgspec.msgpack.decode(event.data, type=shape)
        except (ValueError, msgspec.MsgspecError, RecursionError):
            self.damaged += 1
            return
        match found:
            case Ended():
                self._message(event, found.message)
            case Lost():
                self.lost += found.count
            case Attach():
                self._undone.update((found.endpoint, each) for each in found.undoes)
            case Of() if fleet:
                self._detaches.add((found.endpoint, written(event)))
            case Of():
                self._named.add(found.endpoint)
                self._endpoint(event, found)

    def _message(self, event: Event, message: str | int | None) -> None:
        if event.kind == TAKEN and message is not None:
            self._owed.setdefault((event.site, message), event.at)
        elif event.kind == TAKEN:
            self._nameless[event.site] += 1
        elif message is not None:
            self._owed.pop((event.site, message), None)
        elif self._nameless[event.site]:
            self._nameless[event.site] -= 1

    def _endpoint(self, event: Event, found: Of) -> None:
        name = found.endpoint
        match found:
            case Listing():
                known = self._endpoints.get(name, {"kind": None, "rate": None})
                told = {"kind": found.kind, "rate": found.rate}
                told = {key: known[key] if value is None else value for key, value in told.items()}
                self._endpoints[name] = {"state": event.kind, **told, "since": event.at}
                if event.kind == GONE:
                    self._outages.pop(name, None)
            case Told():
                self._waits[name] = max(self._waits.get(name, 0), event.at + found.wait_us)
            case _ if event.kind == OUT:
                self._outages.setdefault(name, event.at)
            case _:
                self._outages.pop(name, None)

    def state(self) -> dict[str, Any]:
        """The state as JSON can have it: the same keys in the same order for the same events.

        `detached` names the channel's own endpoints, on `fleet` all; times are Unix microseconds.
        """
        detached = {name for name, _ in self._detaches - self._undone}
        owed = [
            {"sender": site, "message": message, "taken": at}
            for (site, message), at in sorted(self._owed.items(), key=lambda o: (o[1], o[0][0], str(o[0][1])))
        ]
        return {
            "endpoints": dict(sorted(self._endpoints.items())),
            "detached": sorted(detached if self.channel == FLEET else detached & self._named),
            "waits": {name: until for name, until in sorted(self._waits.items()) if until > self.at_us},
            "outages": dict(sorted(self._outages.items())),
            "owed": {"count": len(owed) + self._nameless.total(), "messages": owed[:NAMED_MOST]},
            "counts": dict(sorted(self._counts.items())),
            "lost": self.lost,
            "damaged": self.damaged,
        }
