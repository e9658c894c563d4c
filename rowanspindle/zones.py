"""How a sender's calls fall on a destination's endpoints where it costs to leave a zone. No I/O, no choice.

Each sender calls its own zone's endpoints as far as that gives none of them more than an even part over the
whole fleet, with senders taken to stand evenly in all zones; what is over goes where endpoints have room. So
as few calls cross as may be, and none is loaded above the others for that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Protocol


class Route(Protocol):
    """An endpoint, as far as this needs it."""

    zone: str
    share: float  # calls that it is to have from here, over an even part
    turn: float

    @property
    def stride(self) -> float:
        """How far apart its turns lie."""


def call_shares(zones: Iterable[str], own: str, count: int) -> dict[str, float]:
    """For an endpoint of each zone: the calls that a sender in `own` makes there, over an even part.

    `zones` has the zone of each endpoint, `count` says in how many senders stand.
    """
    here = Counter(zones)
    total, count = here.total(), max(count, len({*here, own}))
    over = max(0.0, 1 - here[own] * count / total)
    room = {zone: max(0.0, n / total - 1 / count) for zone, n in here.items() if zone != own}
    spare = sum(room.values())
    calls = {zone: over * room[zone] / spare if spare else 0.0 for zone in room} | {own: 1 - over}
    return {zone: calls[zone] * total / n for zone, n in here.items()}


def assign_shares(routes: Sequence[Route], own: str, count: int, turn: float) -> None:
    """Set the shares of all endpoints of a destination; those that are next, `turn` being passed, stay so."""
    if not routes:
        return
    known = call_shares((route.zone for route in routes), own, count)
    for route in routes:
        was, route.share = route.stride, known[route.zone]
        route.turn = turn + (route.turn - turn) * route.stride / was
