"""What stands in where no rough rates are told, and how connections and routes are used then."""

from __future__ import annotations

import pytest

from rowanspindle import Disconnect, EndpointListUpdate, Result, Send, UpdateScope
from rowanspindle.data_structures import RunningMean
from rowanspindle.logic import LATENCY_SMOOTHING_FACTOR
from tests.helpers import SECOND_US, Caller, member


def run_at(rate: float, seconds: float, **changes: object) -> Caller:
    """A forwarder that sends so many calls a second, each answered at once."""
    caller = Caller(member("t1", weight=1.0), weights_told=False, **changes)
    for _ in range(int(rate * seconds)):
        caller.end(caller.accept())
        caller.wait(int(SECOND_US / rate))
    caller.accept()
    return caller


@pytest.mark.parametrize("replicas", [3, 300])
def test_own_calls_stand_in_for_a_rate_that_is_not_told(replicas: int) -> None:
    """The weight 1 of a list without weights was taken for one call a second of the whole destination."""
    limit = run_at(4.0, 40.0, replicas=replicas).forwarder.endpoints["t1"].shared_limit
    assert limit.weight == pytest.approx(4.0 * replicas, rel=0.15)


@pytest.mark.parametrize("replicas", [3, 300])
def test_parts_follow_uneven_demand_in_sum(replicas: int) -> None:
    """One forwarder has nearly all the traffic: what all may send for long stays near what was taken."""
    busy, quiet = (
        run_at(r, 40.0, replicas=replicas).forwarder.endpoints["t1"].shared_limit for r in (20.0, 0.1)
    )
    age = 60 * SECOND_US
    total = busy.weight / busy.active_senders(age) + (replicas - 1) * quiet.weight / quiet.active_senders(age)
    assert total < 1.5 * (20.0 + (replicas - 1) * 0.1)
    assert busy.weight / busy.active_senders(age) > 15


def test_an_outage_does_not_count_against_the_measured_rate() -> None:
    """What a destination took before its outage is what it takes after it, not the trials' trickle."""
    caller = run_at(4.0, 20.0)
    endpoint = caller.forwarder.endpoints["t1"]
    before = endpoint.shared_limit.weight
    for _ in range(3):
        caller.end(next(iter(caller.out))[0], Result.CONNECT_FAILED)
    for second in range(40):
        caller.wait(SECOND_US)
        caller.accept()
        for ref in [r for r, _ in caller.out]:
            caller.end(ref, Result.OK if second > 20 else Result.CONNECT_FAILED)
    while endpoint.ramp_from is not None:
        caller.wait(SECOND_US // 10)
        caller.accept()
        for ref in [r for r, _ in caller.out]:
            caller.end(ref)
    caller.accept()
    assert endpoint.shared_limit.weight > 0.8 * before


def test_told_rates_are_used_as_they_are() -> None:
    caller = Caller(member("t1", weight=9.0))
    caller.accept()
    assert caller.forwarder.endpoints["t1"].shared_limit.weight == 9.0


def test_rates_listed_again_do_not_replace_measured_ones() -> None:
    caller = run_at(4.0, 40.0)
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (member("t1", weight=1.0),)))
    assert caller.forwarder.endpoints["t1"].shared_limit.weight > 3


def test_with_equal_ranks_the_fleet_spreads() -> None:
    """Ties went to the first name: every forwarder used one endpoint of each destination."""
    from random import Random

    from rowanspindle import Accept, DestinationKind, Forwarder, Settings
    from tests.helpers import SAFE

    settings = Settings({"safe": SAFE}, 4, 20, {}, {"plain": DestinationKind()})
    used = set()
    for seed in range(20):
        forwarder = Forwarder(settings, Random(seed).randrange(1 << 40))
        listed = EndpointListUpdate(UpdateScope.FULL, (member("t1"), member("t2")))
        actions = forwarder.decide(SECOND_US, [listed, Accept(1, "safe", 1, 20 * SECOND_US)])
        used |= {a.target for a in actions if isinstance(a, Send)}
    assert used == {"t1", "t2"}


def closes(caller: Caller) -> bool:
    return any(isinstance(a, Disconnect) for _, a in caller.log)


def test_connections_stay_until_failures_of_their_kind_show_full_tables() -> None:
    """Closing after each rare call cost a handshake of half a second where one connection carries many."""
    members = member("t1", weight=1.0), member("t2", dest=2, weight=1.0)
    caller = Caller(*members, replicas=50, streams_per_conn=8)
    caller.end(caller.accept())
    assert not closes(caller)
    caller.end(caller.accept(dest=2), Result.CONNECT_FAILED)
    caller.end(caller.accept())
    assert closes(caller)


def test_a_connection_in_use_with_room_is_not_closed_for_its_age() -> None:
    caller = Caller(member("t1", weight=20.0), streams_per_conn=8)
    first = caller.accept()
    endpoint = caller.forwarder.endpoints["t1"]
    assert endpoint.shares_connection()
    assert endpoint.rank(caller.now) == 1.0
    caller.end(first)


def test_a_slow_zone_is_left_by_those_that_never_called_its_endpoints() -> None:
    """A forwarder calls each endpoint rarely: the others of its zone must tell it (kingston overload)."""
    near = [member(f"n{d}", dest=d, zone="near") for d in range(8)]
    far = [member(f"f{d}", dest=d, zone="far") for d in range(8)]
    caller = Caller(*near, *far, replicas=100, streams_per_conn=8)
    for dest in range(6):
        for _ in range(2):
            ref = caller.accept(dest=dest)
            target = caller.sends()[-1][1].target
            caller.end(ref, latency_us=2 * SECOND_US if target.startswith("f") else 200_000)
    for dest in (6, 7):
        caller.accept(dest=dest)
        assert caller.sends()[-1][1].target == f"n{dest}"


def near_calls(others: int) -> int:
    """How many calls go to the near zone before the first goes to one that answers in twice the time."""
    caller = Caller(member("near", zone="z"), member("far", zone="y"), member("other", dest=2))
    for zone, us in ("z", 50_000.0), ("y", 100_000.0):
        usual = caller.forwarder.zone_latency[zone] = RunningMean(LATENCY_SMOOTHING_FACTOR)
        for _ in range(40):
            usual.add(us)
    for _ in range(others):
        caller.accept(dest=2)
    sent: list[str] = []
    while "far" not in sent and len(sent) < 5:
        caller.accept()
        sent = [t for t in caller.out.values() if t != "other"]
    return sent.count("near")


def test_a_far_zone_weighs_more_while_slots_are_scarce() -> None:
    """With every slot taken, far calls kept the slots for which hundreds of messages waited."""
    assert near_calls(others=0) <= 2
    assert near_calls(others=6) >= 3


def test_a_told_limit_paces_before_any_refusal() -> None:
    """Calls went as they came until a limit that each answer tells had refused a third of them (overload)."""
    caller = Caller(member("t1", weight=40.0), replicas=4, weights_told=True, slots=60)
    told = Caller(member("t1", weight=40.0), replicas=4, weights_told=True, slots=60)
    for limit, one in ((None, caller), (4.0, told)):
        for _ in range(10):  # the answers tell it, a few times
            one.end(one.accept(), limit=limit)
            one.wait(SECOND_US)
        began = one.now
        for _ in range(20):
            one.accept()
            one.wait(SECOND_US // 20)
        assert (len(one.sends(since=began)) > 5) is (limit is None)


def test_a_report_that_cannot_be_does_not_stop_a_destination() -> None:
    caller = Caller(member("t1", weight=40.0), slots=60)
    caller.end(caller.accept(), limit=1e-9)
    limit = caller.forwarder.endpoints["t1"].shared_limit
    assert limit.weight == 5.0
    caller.wait(SECOND_US)
    caller.end(caller.accept(), limit=1e300)
    assert limit.weight < 40.0


def test_a_limit_that_is_told_outlasts_the_next_list() -> None:
    caller = Caller(member("t1", weight=40.0))
    caller.end(caller.accept(), limit=20.0)
    caller.step(EndpointListUpdate(UpdateScope.FULL, (member("t1", weight=40.0),)))
    assert caller.forwarder.endpoints["t1"].shared_limit.weight == 20.0


def test_the_slow_one_of_two_endpoints_is_left() -> None:
    """Only zones were compared, so that a slow endpoint kept half of its destination's calls."""
    caller, times = Caller(member("t1"), member("t2"), slots=60), {"t1": 900_000, "t2": 200_000}
    for _ in range(20):
        pair = [caller.accept(), caller.accept()]
        caller.wait(SECOND_US)
        for ref in pair:
            caller.end(ref, latency_us=times[caller.out[ref, 0]])
    late = [a.target for _, a in caller.sends()][8:]
    assert late.count("t1") <= 4


def test_a_call_that_is_out_for_long_speaks_against_its_endpoint() -> None:
    caller = Caller(member("t1"), member("t2"))
    for _ in range(3):  # both are known
        first, second = caller.accept(), caller.accept()
        for ref in (first, second):
            caller.end(ref, latency_us=100_000)
    stuck = caller.accept()
    target = caller.out[stuck, 0]
    caller.wait(400_000)
    for _ in range(2):
        assert caller.out[caller.accept(), 0] != target


def test_the_cheaper_of_two_routes_is_taken_and_only_where_routes_are_apart() -> None:
    fees = {"y": 0.06}
    for kind, dear in (("apart", 0), ("plain", 5)):
        caller = Caller(
            member("t1", zone="x", kind=kind), member("t2", zone="y", kind=kind), zone_fees=fees, slots=40
        )
        for _ in range(10):
            caller.end(caller.accept())
        assert sum(a.target == "t2" for _, a in caller.sends()) >= dear
        assert kind == "plain" or sum(a.target == "t2" for _, a in caller.sends()) == 0
