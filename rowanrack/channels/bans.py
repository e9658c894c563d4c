"""Detached endpoints as a mergeable set: an attach undoes only the detaches it names.

Design: docs/channels.md.
"""

from __future__ import annotations

from rowanrack.channels.events import ATTACHED, DETACHED, FLEET, Event, written

EventId = tuple[str, str, int]  # site, incarnation and number of an event on FLEET, as its process wrote it


class Detaches:
    """The set of detached endpoints; it does not depend on the order in which events arrive."""

    def __init__(self) -> None:
        self._detaches: dict[str, set[EventId]] = {}
        # With the endpoint, as two processes of one incarnation may have used the same id.
        self._undone: set[tuple[str, EventId]] = set()

    def saw(self, event: Event) -> None:
        """Apply a detach or an attach; ignore other events. Raises ValueError if the payload is malformed."""
        if event.channel != FLEET or event.kind not in (DETACHED, ATTACHED):
            return
        payload = event.payload()
        endpoint = payload.get("endpoint")
        if not isinstance(endpoint, str):
            raise ValueError(f"event {event.id}: `endpoint` is not a string")
        if event.kind == DETACHED:
            event_id = written(event)
            if (endpoint, event_id) not in self._undone:
                self._detaches.setdefault(endpoint, set()).add(event_id)
            return
        undoes = {_parse_event_id(event, reference) for reference in payload.get("undoes") or ()}
        self._undone |= {(endpoint, reference) for reference in undoes}
        remaining = self._detaches.get(endpoint, set()) - undoes
        if remaining:
            self._detaches[endpoint] = remaining
        else:
            self._detaches.pop(endpoint, None)

    def detached(self) -> set[str]:
        """Return the endpoints that are detached now."""
        return set(self._detaches)

    def undoes(self, endpoint: str) -> list[list[str | int]]:
        """Return what an attach of this endpoint must name: sorted [site, incarnation, number] triples."""
        return [list(event_id) for event_id in sorted(self._detaches.get(endpoint, ()))]


def _parse_event_id(event: Event, reference: object) -> EventId:
    match reference:
        case [str(site), str(life), int(number)]:
            return site, life, number
    raise ValueError(f"event {event.id}: `undoes` contains an entry that is not [site, life, number]")
