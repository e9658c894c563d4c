"""Test the rate estimates used without configured rates, and the choice of connections and endpoints."""

from __future__ import annotations

import pytest

from rowanspindle import Disconnect, EndpointListUpdate, Result, Send, UpdateScope
from rowanspindle.data_structures import RunningMean
from rowanspindle.endpoint import SMOOTHING
from tests.helpers import SECOND_US, Caller, endpoint_entry


def run_sender_at(rate: float, seconds: float, **changes: object) -> Caller:
    """Run a sender that sends this many calls per second, each of which is answered at once."""
    caller = Caller(endpoint_entry("t1", weight=1.0), weights_told=False, **changes)
    for _ in range(int(rate * seconds)):
        caller.end(caller.accept())
        caller.wait(int(SECOND_US / rate))
    caller.accept()
    return caller


@pytest.mark.parametrize("replicas", [3, 300])
def test_own_calls_give_the_rate_where_none_is_configured(replicas: int) -> None:
    """Regression: the weight 1 of a list without weights was taken for one call per second in all."""
    limit = run_sender_at(4.0, 40.0, replicas=replicas).forwarder.endpoints["t1"].shared_limit
    assert limit.rate == pytest.approx(4.0 * replicas, rel=0.15)


@pytest.mark.parametrize("replicas", [3, 300])
def test_shares_of_uneven_demand_add_up_to_the_measured_rate(replicas: int) -> None:
    """If one sender has nearly all the traffic, the long-term rate of all stays near the measured one."""
    busy, quiet = (
        run_sender_at(r, 40.0, replicas=replicas).forwarder.endpoints["t1"].shared_limit for r in (20.0, 0.1)
    )
    age = 60 * SECOND_US
    total = busy.rate / busy.active_senders(age) + (replicas - 1) * quiet.rate / quiet.active_senders(age)
    assert total < 1.5 * (20.0 + (replicas - 1) * 0.1)
    assert busy.rate / busy.active_senders(age) > 15


def test_an_outage_does_not_count_against_the_measured_rate() -> None:
    """A destination can take after an outage what it took before, not just the few trial calls."""
    caller = run_sender_at(4.0, 20.0)
    endpoint = caller.forwarder.endpoints["t1"]
    before = endpoint.shared_limit.rate
    for _ in range(3):
        caller.end(next(iter(caller.attempts_in_flight))[0], Result.CONNECT_FAILED)
    for second in range(40):
        caller.wait(SECOND_US)
        caller.accept()
        for ref in [r for r, _ in caller.attempts_in_flight]:
            caller.end(ref, Result.OK if second > 20 else Result.CONNECT_FAILED)
    while endpoint.ramp_from is not None:
        caller.wait(SECOND_US // 10)
        caller.accept()
        for ref in [r for r, _ in caller.attempts_in_flight]:
            caller.end(ref)
    caller.accept()
    assert endpoint.shared_limit.rate > 0.8 * before


def test_configured_rates_are_used_unchanged() -> None:
    caller = Caller(endpoint_entry("t1", weight=9.0))
    caller.accept()
    assert caller.forwarder.endpoints["t1"].shared_limit.rate == 9.0


def test_rates_listed_again_do_not_replace_measured_ones() -> None:
    caller = run_sender_at(4.0, 40.0)
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t1", weight=1.0),)))
    assert caller.forwarder.endpoints["t1"].shared_limit.rate > 3


def test_senders_spread_over_endpoints_of_equal_rank() -> None:
    """Regression: ties went to the first name, so every sender used the same endpoint of each destination."""
    from random import Random

    from rowanspindle import Accept, DestinationKind, Forwarder, Settings
    from tests.helpers import SAFE

    settings = Settings({"safe": SAFE}, 4, 20, {}, {"plain": DestinationKind()})
    used = set()
    for seed in range(20):
        forwarder = Forwarder(settings, Random(seed).randrange(1 << 40))
        listed = EndpointListUpdate(UpdateScope.FULL, (endpoint_entry("t1"), endpoint_entry("t2")))
        actions = forwarder.decide(SECOND_US, [listed, Accept(1, "safe", 1, 20 * SECOND_US)])
        used |= {a.target for a in actions if isinstance(a, Send)}
    assert used == {"t1", "t2"}


def closes_a_connection(caller: Caller) -> bool:
    return any(isinstance(a, Disconnect) for _, a in caller.log)


def test_connections_stay_open_until_failures_of_their_kind_show_full_tables() -> None:
    """Regression: closing after each rare call cost 0.5 s per handshake where connections are shared."""
    members = endpoint_entry("t1", weight=1.0), endpoint_entry("t2", dest=2, weight=1.0)
    caller = Caller(*members, replicas=50, streams_per_conn=8)
    caller.end(caller.accept())
    assert not closes_a_connection(caller)
    caller.end(caller.accept(dest=2), Result.CONNECT_FAILED)
    caller.end(caller.accept())
    assert closes_a_connection(caller)


def test_a_connection_in_use_with_room_is_not_closed_for_its_age() -> None:
    caller = Caller(endpoint_entry("t1", weight=20.0), streams_per_conn=8)
    first = caller.accept()
    endpoint = caller.forwarder.endpoints["t1"]
    assert endpoint.shares_connection()
    assert endpoint.rank(caller.now) == 1.0
    caller.end(first)


def test_slow_zone_is_avoided_for_endpoints_not_called_before() -> None:
    """Regression (run kingston overload): rare calls to each endpoint hid that its zone was slow."""
    near = [endpoint_entry(f"n{d}", dest=d, zone="near") for d in range(8)]
    far = [endpoint_entry(f"f{d}", dest=d, zone="far") for d in range(8)]
    caller = Caller(*near, *far, replicas=100, streams_per_conn=8)
    for dest in range(6):
        for _ in range(2):
            ref = caller.accept(dest=dest)
            target = caller.sends()[-1][1].target
            caller.end(ref, latency_us=2 * SECOND_US if target.startswith("f") else 200_000)
    for dest in (6, 7):
        caller.accept(dest=dest)
        assert caller.sends()[-1][1].target == f"n{dest}"


def count_near_calls(others: int) -> int:
    """Count the calls to the near zone before the first to a zone that takes twice as long to answer."""
    caller = Caller(
        endpoint_entry("near", zone="z"), endpoint_entry("far", zone="y"), endpoint_entry("other", dest=2)
    )
    for zone, us in ("z", 50_000.0), ("y", 100_000.0):
        usual = caller.forwarder.zone_times[zone] = RunningMean(SMOOTHING)
        for _ in range(40):
            usual.add(us)
    for _ in range(others):
        caller.accept(dest=2)
    sent: list[str] = []
    while "far" not in sent and len(sent) < 5:
        caller.accept()
        sent = [t for t in caller.attempts_in_flight.values() if t != "other"]
    return sent.count("near")


def test_a_far_zone_weighs_more_while_slots_are_scarce() -> None:
    """Regression: with all slots taken, far calls kept slots for which hundreds of messages waited."""
    assert count_near_calls(others=0) <= 2
    assert count_near_calls(others=6) >= 3


def test_reported_limit_paces_calls_before_any_refusal() -> None:
    """Regression (run overload): a limit reported by each answer paced no calls before refusing a third."""
    caller = Caller(endpoint_entry("t1", weight=40.0), replicas=4, weights_told=True, slots=60)
    paced = Caller(endpoint_entry("t1", weight=40.0), replicas=4, weights_told=True, slots=60)
    for limit, sender in ((None, caller), (4.0, paced)):
        for _ in range(10):  # the answers report the limit several times
            sender.end(sender.accept(), limit=limit)
            sender.wait(SECOND_US)
        began = sender.now
        for _ in range(20):
            sender.accept()
            sender.wait(SECOND_US // 20)
        assert (len(sender.sends(since=began)) > 5) is (limit is None)


def test_implausible_limit_report_does_not_stop_a_destination() -> None:
    caller = Caller(endpoint_entry("t1", weight=40.0), slots=60)
    caller.end(caller.accept(), limit=1e-9)
    limit = caller.forwarder.endpoints["t1"].shared_limit
    assert limit.rate == 5.0
    caller.wait(SECOND_US)
    caller.end(caller.accept(), limit=1e300)
    assert limit.rate < 40.0


def test_reported_limit_outlasts_the_next_endpoint_list() -> None:
    caller = Caller(endpoint_entry("t1", weight=40.0))
    caller.end(caller.accept(), limit=20.0)
    caller.step(EndpointListUpdate(UpdateScope.FULL, (endpoint_entry("t1", weight=40.0),)))
    assert caller.forwarder.endpoints["t1"].shared_limit.rate == 20.0


def test_slower_of_two_endpoints_is_avoided() -> None:
    """Regression: only zones were compared, so a slow endpoint kept half of the calls of its destination."""
    caller, times = (
        Caller(endpoint_entry("t1"), endpoint_entry("t2"), slots=60),
        {"t1": 900_000, "t2": 200_000},
    )
    for _ in range(20):
        pair = [caller.accept(), caller.accept()]
        caller.wait(SECOND_US)
        for ref in pair:
            caller.end(ref, latency_us=times[caller.attempts_in_flight[ref, 0]])
    late = [a.target for _, a in caller.sends()][8:]
    assert late.count("t1") <= 4


def test_endpoint_with_a_long_running_call_is_avoided() -> None:
    caller = Caller(endpoint_entry("t1"), endpoint_entry("t2"))
    for _ in range(3):  # until both have a known answer time
        first, second = caller.accept(), caller.accept()
        for ref in (first, second):
            caller.end(ref, latency_us=100_000)
    stuck = caller.accept()
    target = caller.attempts_in_flight[stuck, 0]
    caller.wait(400_000)
    for _ in range(2):
        assert caller.attempts_in_flight[caller.accept(), 0] != target


def test_cheaper_endpoint_is_preferred_only_where_limits_are_separate() -> None:
    fees = {"y": 0.06}
    for kind, min_expensive_calls in (("apart", 0), ("plain", 5)):
        caller = Caller(
            endpoint_entry("t1", zone="x", kind=kind),
            endpoint_entry("t2", zone="y", kind=kind),
            zone_fees=fees,
            slots=40,
        )
        for _ in range(10):
            caller.end(caller.accept())
        assert sum(a.target == "t2" for _, a in caller.sends()) >= min_expensive_calls
        assert kind == "plain" or sum(a.target == "t2" for _, a in caller.sends()) == 0
