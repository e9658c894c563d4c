"""The distribution of a sender's calls over a destination's endpoints where calls to other zones cost extra.

Each sender calls the endpoints of its own zone as long as this gives none of them more than an even share of
the load of the whole fleet, assuming that the senders are spread evenly over all zones. The other calls go
to zones whose endpoints are below an even share. This minimizes calls between zones while every endpoint gets
the same load. This module does no I/O and selects no endpoints.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Protocol


class ZonedEndpoint(Protocol):
    """The attributes of an endpoint that this module needs."""

    zone: str
    call_share: float  # calls that it gets from this sender, relative to an even share
    next_turn: float

    @property
    def turn_interval(self) -> float:
        """The distance between two of its turns."""


def call_shares(zones: Iterable[str], own_zone: str, zone_count: int) -> dict[str, float]:
    """Return, by zone, the calls of a sender in `own_zone` to one endpoint, relative to an even share.

    `zones` has the zone of each endpoint; `zone_count` is the number of zones with senders.
    """
    endpoints_per_zone = Counter(zones)
    endpoint_count, zone_count = (
        endpoints_per_zone.total(),
        max(zone_count, len({*endpoints_per_zone, own_zone})),
    )
    crossing_fraction = max(0.0, 1 - endpoints_per_zone[own_zone] * zone_count / endpoint_count)
    free_capacity = {
        zone: max(0.0, zone_endpoints / endpoint_count - 1 / zone_count)
        for zone, zone_endpoints in endpoints_per_zone.items()
        if zone != own_zone
    }
    total_free_capacity = sum(free_capacity.values())
    zone_calls = {
        zone: crossing_fraction * free_capacity[zone] / total_free_capacity if total_free_capacity else 0.0
        for zone in free_capacity
    } | {own_zone: 1 - crossing_fraction}
    return {
        zone: zone_calls[zone] * endpoint_count / zone_endpoints
        for zone, zone_endpoints in endpoints_per_zone.items()
    }


def assign_shares(endpoints: Sequence[ZonedEndpoint], own_zone: str, zone_count: int, turn: float) -> None:
    """Set the shares of all endpoints of a destination, keeping the order of their turns after `turn`."""
    if not endpoints:
        return
    shares = call_shares((endpoint.zone for endpoint in endpoints), own_zone, zone_count)
    for endpoint in endpoints:
        previous_stride, endpoint.call_share = endpoint.turn_interval, shares[endpoint.zone]
        endpoint.next_turn = turn + (endpoint.next_turn - turn) * endpoint.turn_interval / previous_stride
