"""Senders that each see little of the load spread it evenly, without herds on some of the endpoints."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from benchmarks.spread import Plan, herds, measure, parts
from rowanspindle import Accept, EndpointListUpdate, Forwarder, Outcome, Result, Send, UpdateScope
from rowanspindle.data_structures import RunningMean
from tests.helpers import BASE, SECOND_US, Caller, endpoint_entry

FLEET = Plan(senders=60, endpoints=6, phase=15.0, warm=5.0, seed=1)


@pytest.mark.parametrize(
    ("changes", "max_value", "min_value", "max_new"),
    [
        ({}, 1.15, 0.85, 0.7),
        # Zones at equal distance: a few quick answers once made one appear nearer.
        ({"zones": 2}, 1.15, 0.85, 0.7),
        ({"streams": 8}, 1.6, 0.25, 0.1),
    ],
)
def test_a_fleet_spreads_its_calls_evenly(
    changes: dict[str, int], max_value: float, min_value: float, max_new: float
) -> None:
    metrics = measure(replace(FLEET, **changes))  # type: ignore[arg-type]
    assert max(metrics[f"peak{phase}"] for phase in (1, 2, 3)) < max_value
    assert min(metrics[f"least{phase}"] for phase in (1, 2, 3)) > min_value
    assert metrics["new"] < max_new


@pytest.mark.parametrize(("count", "streams", "min_value", "max_value"), [(5, 8, 15, 60), (1, 1, 75, 125)])
def test_a_new_endpoint_is_called_first_by_an_even_share_of_the_fleet(
    count: int, streams: int, min_value: int, max_value: int
) -> None:
    listed = [endpoint_entry(f"t{n}") for n in range(count)]
    first_calls = 0
    for number in range(200):
        forwarder = Forwarder(replace(BASE, replicas=200, streams_per_conn=streams), number)
        forwarder.decide(0, [EndpointListUpdate(UpdateScope.FULL, tuple(listed))])
        sent = forwarder.decide(SECOND_US, [Accept(1, "safe", 1, 20 * SECOND_US)])
        (target,) = (a.target for a in sent if isinstance(a, Send))
        forwarder.decide(
            2 * SECOND_US, [EndpointListUpdate(UpdateScope.FULL, (*listed, endpoint_entry("new")))]
        )
        forwarder.decide(2 * SECOND_US, [Outcome(1, 0, target, Result.OK, SECOND_US, True)])
        actions = forwarder.decide(3 * SECOND_US, [Accept(2, "safe", 1, 20 * SECOND_US)])
        first_calls += any(isinstance(a, Send) and a.target == "new" for a in actions)
    assert min_value <= first_calls <= max_value


@pytest.mark.parametrize(
    ("senders", "gap", "min_value", "max_value"), [(8, 2.0, 1, 2), (8, 0.1, 5, 8), (7, 0.1, 1, 2)]
)
def test_with_eight_or_more_senders_a_higher_call_rate_uses_more_connections(
    senders: int, gap: float, min_value: int, max_value: int
) -> None:
    caller = Caller(*(endpoint_entry(f"t{n}") for n in range(8)), streams_per_conn=8, replicas=senders)
    for _ in range(40):
        caller.end(caller.accept(), latency_us=50_000)
        caller.wait(int(gap * SECOND_US))
    assert min_value <= len({send.target for _, send in caller.sends()[20:]}) <= max_value


def test_a_recovered_endpoint_is_called_again_by_senders_with_few_calls() -> None:
    plan = Plan(senders=40, endpoints=3, rate=10.0, told=20.0, happening="returns", outage=15.0, watched=30.0)
    metrics = measure(plan)
    # The remaining weight of a failure once kept the endpoint without calls while the others were idle.
    assert metrics["part"] > 0.5
    assert metrics["vain"] <= 40


def test_the_standard_error_of_a_running_mean_matches_the_spread_of_many() -> None:
    rng = Random(1)
    for count in (20, 60):
        means, errors = [], []
        for _ in range(400):
            running_mean = RunningMean(0.15)
            for _ in range(count):
                running_mean.add(rng.gauss(100.0, 20.0))
            means.append(running_mean.mean)
            errors.append(running_mean.standard_error())
        spread = (sum((m - 100.0) ** 2 for m in means) / len(means)) ** 0.5
        assert sum(errors) / len(errors) == pytest.approx(spread, rel=0.25)


def test_peaks_and_herds_are_counted_from_calls() -> None:
    calls = [(0, "a"), (50_000, "a"), (900_000, "a"), (3 * SECOND_US, "b")]
    assert parts(calls, ["a", "b"]) == (1.5, 0.5)
    assert herds(calls, ["a", "b"], 0, 4 * SECOND_US) == {"in_100ms": 2, "in_1s": 3, "idle_s": 3.1}
