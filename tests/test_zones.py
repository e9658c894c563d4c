"""Stay in the own zone where leaving it is priced, as far as each endpoint then has an even part."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import replace

import pytest

from rowanspindle import EndpointListUpdate, EndpointStatus, Forwarder, UpdateScope
from rowanspindle.zones import call_shares
from tests.helpers import BASE, SECOND_US, Caller, member

PRICED = {"zone": "a", "zones": 2, "crossing_price": 0.084, "replicas": 200}


@pytest.mark.parametrize(
    ("zones", "count", "crossing"),
    [("ab", 2, 0.0), ("aab", 2, 1 / 6), ("aaaab", 2, 0.3), ("abc", 3, 0.0), ("ab", 3, 1 / 3),
     ("aabbbc", 3, 1 / 6), ("aaa", 2, 0.5), ("abc", 1, 0.0)],
)  # fmt: skip
def test_all_zones_together_load_each_endpoint_alike_and_cross_as_little_as_may_be(
    zones: str, count: int, crossing: float
) -> None:
    senders = "abc"[: max(count, len(set(zones)))]
    load, crossed = defaultdict[str, float](float), 0.0
    for own in senders:
        for zone, part in call_shares(zones, own, count).items():
            load[zone] += part / len(senders)
            crossed += part * zones.count(zone) / len(zones) / len(senders) * (zone != own)
    assert all(load[zone] == pytest.approx(1.0) for zone in zones), load
    assert crossed == pytest.approx(crossing)


def called(caller: Caller, calls: int = 60) -> Counter[str]:
    """The zones called, one call after the other."""
    before = len(caller.sends())
    for _ in range(calls):
        caller.end(caller.accept(), latency_us=50_000)
        caller.wait(SECOND_US)
    return Counter(send.target[0] for _, send in caller.sends()[before:])


@pytest.mark.parametrize(
    ("targets", "changes", "least", "most"),
    [
        ("a1 b1", {}, 60, 60),  # its own only
        ("a1 b1", {"crossing_price": 0.0}, 15, 45),
        ("a1 b1 b2", {"zone": ""}, 12, 28),
        ("a1 b1 b2", {}, 36, 44),  # two in three: the rest of an even part goes where there is room
        ("b1 b2", {}, 0, 0),
    ],
)
def test_a_sender_stays_in_its_zone_as_far_as_that_is_even(
    targets: str, changes: dict[str, object], least: int, most: int
) -> None:
    listed = (member(name, zone=name[0]) for name in targets.split())
    assert least <= called(Caller(*listed, **{**PRICED, **changes}))["a"] <= most


def test_another_zone_takes_what_the_own_one_cannot() -> None:
    caller = Caller(*(member(t, zone=t[0], weight=400.0) for t in ("a1", "b1")), **PRICED)
    for _ in range(4):  # none is answered: two calls out weigh more than the price
        caller.accept()
    assert [send.target for _, send in caller.sends()] == ["a1", "a1", "a1", "b1"]
    for ref in range(1, 5):
        caller.end(ref)
    caller.step(
        EndpointListUpdate(UpdateScope.DELTA, (member("a1", zone="a", status=EndpointStatus.DRAINING),))
    )
    assert called(caller, 3) == {"b": 3}


def test_the_parts_follow_the_list() -> None:
    forwarder = Forwarder(replace(BASE, **PRICED), 1)  # type: ignore[arg-type]
    for now, listed, share in [(0, "b1", 1.0), (1, "a1 b1", 0.0), (2, "a1 b1 b2", 0.5), (3, "b1 b2", 1.0)]:
        members = tuple(member(name, zone=name[0]) for name in listed.split())
        forwarder.decide(now, [EndpointListUpdate(UpdateScope.FULL, members)])
        assert forwarder.endpoints["b1"].share == pytest.approx(share), listed
    gone = member("b2", zone="b", status=EndpointStatus.DRAINING)
    forwarder.decide(4, [EndpointListUpdate(UpdateScope.DELTA, (gone, member("a1", zone="a")))])
    assert forwarder.endpoints["b1"].share == 0.0


def test_a_destination_whose_last_endpoint_moves_is_forgotten() -> None:
    """Its shares were dealt out anew, and that brought it back, empty, for good."""
    forwarder = Forwarder(replace(BASE, **PRICED), 1)  # type: ignore[arg-type]
    for dest in (1, 2):
        forwarder.decide(dest, [EndpointListUpdate(UpdateScope.FULL, (member("b1", dest=dest, zone="b"),))])
    assert list(forwarder.destinations) == [2]
