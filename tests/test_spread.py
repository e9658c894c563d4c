"""Load spread evenly by senders that each see little of it: no herd by lot, by chance or by connections."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from benchmarks.spread import Plan, herds, measure, parts
from rowanspindle import Accept, EndpointListUpdate, Forwarder, Outcome, Result, Send, UpdateScope
from rowanspindle.data_structures import RunningMean
from tests.helpers import BASE, SECOND_US, Caller, member

FLEET = Plan(senders=60, endpoints=6, phase=15.0, warm=5.0, seed=1)


@pytest.mark.parametrize(
    ("changes", "most", "least", "new"),
    [
        ({}, 1.15, 0.85, 0.7),
        ({"zones": 2}, 1.15, 0.85, 0.7),  # equally far: a few lucky answers had made one of them near
        ({"streams": 8}, 1.6, 0.25, 0.1),
    ],
)
def test_a_fleet_spreads_its_calls(changes: dict[str, int], most: float, least: float, new: float) -> None:
    row = measure(replace(FLEET, **changes))  # type: ignore[arg-type]
    assert max(row[f"peak{phase}"] for phase in (1, 2, 3)) < most
    assert min(row[f"least{phase}"] for phase in (1, 2, 3)) > least
    assert row["new"] < new


@pytest.mark.parametrize(("count", "streams", "least", "most"), [(5, 8, 15, 60), (1, 1, 75, 125)])
def test_an_endpoint_that_joins_is_called_first_by_an_even_part_of_the_fleet(
    count: int, streams: int, least: int, most: int
) -> None:
    listed = [member(f"t{n}") for n in range(count)]
    first = 0
    for number in range(200):
        forwarder = Forwarder(replace(BASE, replicas=200, streams_per_conn=streams), number)
        forwarder.decide(0, [EndpointListUpdate(UpdateScope.FULL, tuple(listed))])
        sent = forwarder.decide(SECOND_US, [Accept(1, "safe", 1, 20 * SECOND_US)])
        (target,) = (a.target for a in sent if isinstance(a, Send))
        forwarder.decide(2 * SECOND_US, [EndpointListUpdate(UpdateScope.FULL, (*listed, member("new")))])
        forwarder.decide(2 * SECOND_US, [Outcome(1, 0, target, Result.OK, SECOND_US, True)])
        actions = forwarder.decide(3 * SECOND_US, [Accept(2, "safe", 1, 20 * SECOND_US)])
        first += any(isinstance(a, Send) and a.target == "new" for a in actions)
    assert least <= first <= most


@pytest.mark.parametrize(
    ("senders", "gap", "least", "most"), [(8, 2.0, 1, 2), (8, 0.1, 5, 8), (7, 0.1, 1, 2)]
)
def test_more_calls_are_spread_over_more_connections_among_many(
    senders: int, gap: float, least: int, most: int
) -> None:
    caller = Caller(*(member(f"t{n}") for n in range(8)), streams_per_conn=8, replicas=senders)
    for _ in range(40):
        caller.end(caller.accept(), latency_us=50_000)
        caller.wait(int(gap * SECOND_US))
    assert least <= len({send.target for _, send in caller.sends()[20:]}) <= most


def test_an_endpoint_that_was_down_is_called_again_by_those_who_call_it_rarely() -> None:
    plan = Plan(senders=40, endpoints=3, rate=10.0, told=20.0, happening="returns", outage=15.0, watched=30.0)
    row = measure(plan)  # what was left of a failure outweighed every turn for as long as siblings were idle
    assert row["part"] > 0.5
    assert row["vain"] <= 40


def test_the_error_of_a_usual_time_is_that_of_many_such_means() -> None:
    dice = Random(1)
    for count in (20, 60):
        means, errors = [], []
        for _ in range(400):
            usual = RunningMean(0.15)
            for _ in range(count):
                usual.add(dice.gauss(100.0, 20.0))
            means.append(usual.mean)
            errors.append(usual.error())
        spread = (sum((m - 100.0) ** 2 for m in means) / len(means)) ** 0.5
        assert sum(errors) / len(errors) == pytest.approx(spread, rel=0.25)


def test_what_is_counted() -> None:
    calls = [(0, "a"), (50_000, "a"), (900_000, "a"), (3 * SECOND_US, "b")]
    assert parts(calls, ["a", "b"]) == (1.5, 0.5)
    assert herds(calls, ["a", "b"], 0, 4 * SECOND_US) == {"in_100ms": 2, "in_1s": 3, "idle_s": 3.1}
