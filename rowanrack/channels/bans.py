"""Detaches as a set that merges: an attach undoes only those that it names. Source: docs/channels.md."""

from __future__ import annotations

from rowanrack.channels.events import ATTACHED, DETACHED, FLEET, Event, written

Id = tuple[str, str, int]  # site, life, number on FLEET, as its process wrote it


class Detaches:
    """Which endpoints are detached: the same set whatever order the events came in."""

    def __init__(self) -> None:
        self._standing: dict[str, set[Id]] = {}
        self._undone: set[tuple[str, Id]] = set()  # by endpoint: doubles may have used one id for two

    def saw(self, event: Event) -> None:
        """Take an event in; what is no detach or attach passes. Raises ValueError: a broken payload."""
        if event.channel != FLEET or event.kind not in (DETACHED, ATTACHED):
            return
        payload = event.payload()
        endpoint = payload.get("endpoint")
        if not isinstance(endpoint, str):
            raise ValueError(f"event {event.id}: `endpoint` is no text")
        if event.kind == DETACHED:
            name = written(event)
            if (endpoint, name) not in self._undone:
                self._standing.setdefault(endpoint, set()).add(name)
            return
        undoes = {_id(event, each) for each in payload.get("undoes") or ()}
        self._undone |= {(endpoint, each) for each in undoes}
        left = self._standing.get(endpoint, set()) - undoes
        if left:
            self._standing[endpoint] = left
        else:
            self._standing.pop(endpoint, None)

    def detached(self) -> set[str]:
        """The endpoints that are detached now."""
        return set(self._standing)

    def undoes(self, endpoint: str) -> list[list[str | int]]:
        """What an attach of this endpoint names now: [site, life, number] of each detach seen, in order."""
        return [list(each) for each in sorted(self._standing.get(endpoint, ()))]


def _id(event: Event, each: object) -> Id:
    match each:
        case [str(site), str(life), int(number)]:
            return site, life, number
    raise ValueError(f"event {event.id}: `undoes` holds what is no [site, life, number]")
