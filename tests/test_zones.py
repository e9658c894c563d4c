"""Calls stay in the own zone where leaving it costs extra, as far as all endpoints get equal load."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import replace

import pytest

from rowanspindle import EndpointListUpdate, EndpointStatus, Forwarder, UpdateScope
from rowanspindle.zones import call_shares
from tests.helpers import BASE, SECOND_US, Caller, endpoint_entry

CROSSING_PRICED = {"zone": "a", "zones": 2, "crossing_price": 0.084, "replicas": 200}


@pytest.mark.parametrize(
    ("zones", "count", "expected_crossing"),
    [("ab", 2, 0.0), ("aab", 2, 1 / 6), ("aaaab", 2, 0.3), ("abc", 3, 0.0), ("ab", 3, 1 / 3),
     ("aabbbc", 3, 1 / 6), ("aaa", 2, 0.5), ("abc", 1, 0.0)],
)  # fmt: skip
def test_all_endpoints_get_equal_load_with_the_fewest_calls_between_zones(
    zones: str, count: int, expected_crossing: float
) -> None:
    senders = "abc"[: max(count, len(set(zones)))]
    load, crossing_share = defaultdict[str, float](float), 0.0
    for own_zone in senders:
        for zone, calls_per_endpoint in call_shares(zones, own_zone, count).items():
            load[zone] += calls_per_endpoint / len(senders)
            crossing_share += (
                calls_per_endpoint * zones.count(zone) / len(zones) / len(senders) * (zone != own_zone)
            )
    assert all(load[zone] == pytest.approx(1.0) for zone in zones), load
    assert crossing_share == pytest.approx(expected_crossing)


def count_calls_by_zone(caller: Caller, calls: int = 60) -> Counter[str]:
    """Make calls one after the other and count them by the zone called."""
    before = len(caller.sends())
    for _ in range(calls):
        caller.end(caller.accept(), latency_us=50_000)
        caller.wait(SECOND_US)
    return Counter(send.target[0] for _, send in caller.sends()[before:])


@pytest.mark.parametrize(
    ("targets", "changes", "min_calls", "max_calls"),
    [
        ("a1 b1", {}, 60, 60),  # own zone only
        ("a1 b1", {"crossing_price": 0.0}, 15, 45),
        ("a1 b1 b2", {"zone": ""}, 12, 28),
        ("a1 b1 b2", {}, 36, 44),  # two thirds: the other calls go to the zone below an even share
        ("b1 b2", {}, 0, 0),
    ],
)
def test_a_sender_calls_its_own_zone_up_to_an_even_share_of_each_endpoint(
    targets: str, changes: dict[str, object], min_calls: int, max_calls: int
) -> None:
    listed = (endpoint_entry(name, zone=name[0]) for name in targets.split())
    assert (
        min_calls <= count_calls_by_zone(Caller(*listed, **{**CROSSING_PRICED, **changes}))["a"] <= max_calls
    )


def test_another_zone_gets_the_calls_that_the_own_zone_cannot_take() -> None:
    caller = Caller(*(endpoint_entry(t, zone=t[0], weight=400.0) for t in ("a1", "b1")), **CROSSING_PRICED)
    for _ in range(4):  # without answers: two calls in flight outweigh the price
        caller.accept()
    assert [send.target for _, send in caller.sends()] == ["a1", "a1", "a1", "b1"]
    for ref in range(1, 5):
        caller.end(ref)
    caller.step(
        EndpointListUpdate(
            UpdateScope.DELTA, (endpoint_entry("a1", zone="a", status=EndpointStatus.DRAINING),)
        )
    )
    assert count_calls_by_zone(caller, 3) == {"b": 3}


def test_shares_are_recomputed_when_the_endpoint_list_changes() -> None:
    forwarder = Forwarder(replace(BASE, **CROSSING_PRICED), 1)  # type: ignore[arg-type]
    for now, listed, share in [(0, "b1", 1.0), (1, "a1 b1", 0.0), (2, "a1 b1 b2", 0.5), (3, "b1 b2", 1.0)]:
        members = tuple(endpoint_entry(name, zone=name[0]) for name in listed.split())
        forwarder.decide(now, [EndpointListUpdate(UpdateScope.FULL, members)])
        assert forwarder.endpoints["b1"].call_share == pytest.approx(share), listed
    gone = endpoint_entry("b2", zone="b", status=EndpointStatus.DRAINING)
    forwarder.decide(4, [EndpointListUpdate(UpdateScope.DELTA, (gone, endpoint_entry("a1", zone="a")))])
    assert forwarder.endpoints["b1"].call_share == 0.0


def test_a_destination_whose_last_endpoint_moves_away_is_forgotten() -> None:
    """Assigning its shares again recreated the empty destination, which then stayed forever."""
    forwarder = Forwarder(replace(BASE, **CROSSING_PRICED), 1)  # type: ignore[arg-type]
    for dest in (1, 2):
        forwarder.decide(
            dest, [EndpointListUpdate(UpdateScope.FULL, (endpoint_entry("b1", dest=dest, zone="b"),))]
        )
    assert list(forwarder.destinations) == [2]
