"""Test large fleets: work per event, limits over all senders together, and few connections."""

from __future__ import annotations

import gc
import sys
from dataclasses import replace

import pytest

from rowanspindle import (
    Accept,
    Disconnect,
    EndpointListUpdate,
    EndpointStatus,
    Forwarder,
    Outcome,
    Result,
    Send,
    UpdateScope,
)
from rowanspindle.endpoint import Endpoint
from rowanspindle.pacing import SharedLimit
from tests.helpers import BASE, SECOND_US, Caller, endpoint_entry


def count_function_calls_of_one_decision(endpoints: int) -> int:
    """Count the function calls caused by one accepted message with this many endpoints listed."""
    forwarder = Forwarder(replace(BASE, replicas=200), 1)
    listed = tuple(endpoint_entry(f"t{n}", dest=n // 2) for n in range(endpoints))
    forwarder.decide(0, [EndpointListUpdate(UpdateScope.FULL, listed)])
    count = 0

    def tally(_frame: object, event: str, _arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    gc.disable()  # hypothesis hooks into the garbage collection, and its calls would be counted
    sys.setprofile(tally)
    try:
        forwarder.decide(SECOND_US, [Accept(1, "safe", 3, 20 * SECOND_US, "a")])
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def test_work_per_event_does_not_grow_with_the_fleet() -> None:
    assert count_function_calls_of_one_decision(240) == count_function_calls_of_one_decision(20)


def test_active_senders_grow_from_one_to_the_whole_fleet() -> None:
    limit = SharedLimit(replace(BASE, replicas=200), 4.0, 1.0, 0)
    assert limit.active_senders(0) == 1
    assert limit.active_senders(SECOND_US) == pytest.approx(5, rel=0.05)
    assert limit.active_senders(3600 * SECOND_US) == pytest.approx(200)
    assert SharedLimit(replace(BASE, replicas=2), 10.0, 1.0, 0).active_senders(SECOND_US) == pytest.approx(
        2, rel=0.05
    )
    assert SharedLimit(replace(BASE, replicas=1), 10.0, 1.0, 0).active_senders(SECOND_US) == 1


@pytest.mark.parametrize("replicas", [3, 40, 200])
def test_trial_calls_of_all_senders_together_stay_bounded(replicas: int) -> None:
    """Trial calls of many senders that saw the same outage must not overload the returning endpoint."""
    weight, since, learning = 20.0, 30, 12
    sends = 0
    for number in range(replicas):
        caller = Caller(endpoint_entry("t1", weight=weight), replicas=replicas, slots=4)
        caller.forwarder.rng.seed(number)
        # In half seconds: the senders get work at different times.
        learns_after = 2 * learning * number // replicas
        caller.wait(learns_after * SECOND_US // 2)
        for _ in range(3):
            caller.accept(left_us=60 * SECOND_US)
        for _ in range(2 * since - learns_after):
            for ref, _attempt_number in list(caller.attempts_in_flight):
                caller.end(ref, Result.CONNECT_FAILED)
            caller.wait(SECOND_US // 2)
        start = caller.now
        for _ in range(4):
            caller.wait(SECOND_US // 2)
            for ref, _attempt_number in list(caller.attempts_in_flight):
                caller.end(ref, Result.CONNECT_FAILED)
        sends += len(caller.sends(since=start + 1))
        early = [t for t, _ in caller.sends() if t <= caller.now - (since + 2 - learning) * SECOND_US]
        # The own call and one or two trial calls: other senders learn of the outage the same way.
        assert len(early) <= 3 or replicas < 40
    assert sends / 2 <= BASE.overload_factor * BASE.cold_share * weight


def test_one_failure_is_an_outage_where_own_calls_are_rare() -> None:
    for replicas, out in ((2, False), (200, True)):
        caller = Caller(endpoint_entry("t1", weight=8.0), replicas=replicas)
        caller.end(caller.accept(), Result.CONNECT_FAILED)
        assert any("out" in line for line in caller.logs()) is out


def test_few_refusals_in_a_large_fleet_are_no_outage() -> None:
    for replicas, shut in ((2, True), (60, False)):
        caller = Caller(endpoint_entry("t1", weight=20.0), replicas=replicas)
        ref = caller.accept(left_us=60 * SECOND_US)
        for _ in range(5):
            while not caller.is_out(ref) and ref not in caller.ended:
                caller.wait(SECOND_US)
            if caller.is_out(ref):
                caller.end(ref, Result.FULL)
        assert any("refuses all" in line for line in caller.logs()) is shut


def test_idle_connections_close_where_they_will_hardly_be_used_again() -> None:
    for replicas, closes in ((2, False), (200, True)):
        caller = Caller(endpoint_entry("t1", weight=10.0), replicas=replicas)
        caller.end(caller.accept())
        assert any(isinstance(a, Disconnect) for _, a in caller.log) is closes


def test_connection_dropped_while_idle_does_not_count_against_the_endpoint() -> None:
    caller = Caller(endpoint_entry("t1", weight=20.0), replicas=50, keepalive_us=20 * SECOND_US)
    caller.end(caller.accept())
    caller.wait(2 * SECOND_US)
    ref = caller.accept("unsafe")
    caller.wait(SECOND_US // 10)
    caller.end(ref, Result.RESET)
    caller.end(caller.accept())
    assert not caller.logs()
    assert caller.forwarder.connection_reuse.idle_limit_us["plain"] < 2 * SECOND_US
    assert any(isinstance(a, Disconnect) for _, a in caller.log)


def test_changed_configured_rate_is_applied() -> None:
    caller = Caller(endpoint_entry("t1", weight=4.0))
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t1", weight=9.0),)))
    assert caller.forwarder.endpoints["t1"].shared_limit.rate == 9.0


def test_a_rested_key_is_forgotten() -> None:
    caller = Caller(key_rest_us=SECOND_US)
    ref = caller.accept("ordered", key="k", left_us=3 * SECOND_US)
    caller.end(ref, Result.RESET)
    caller.wait(30 * SECOND_US)
    for again, _attempt_number in list(caller.attempts_in_flight):
        caller.end(again, Result.CANCELLED)
    caller.wait(30 * SECOND_US)
    assert not caller.forwarder.keys


@pytest.mark.parametrize("changes", [{"slots": 1}, {"most_held": 1}, {"replicas": 900}])
@pytest.mark.parametrize("weight", [0.0, 1.0, 500.0])
def test_extreme_sizes_do_not_crash(changes: dict[str, int], weight: float) -> None:
    caller = Caller(*[endpoint_entry(f"t{n}", dest=n // 2, weight=weight) for n in range(480)], **changes)
    refs = [caller.accept(cls, dest=3) for cls in ("safe", "keyed", "unsafe")]
    for result in (Result.FULL, Result.TIMEOUT, Result.ERROR, Result.RESET, Result.CONNECT_FAILED):
        for ref, _attempt_number in list(caller.attempts_in_flight):
            caller.end(ref, result)
        caller.wait(SECOND_US)
    caller.step(Outcome(refs[0], 99, "t6", Result.OK, 5, True))
    caller.wait(30 * SECOND_US)
    for ref, _attempt_number in list(caller.attempts_in_flight):
        caller.end(ref, Result.TIMEOUT)
    assert set(refs) <= set(caller.ended)
    assert all(isinstance(a.timeout_us, int) for _, a in caller.log if isinstance(a, Send))


def test_active_senders_keep_growing_during_a_slow_start() -> None:
    """Regression (run rabat-flags-later big-2): who learned of an outage late assumed few active senders."""
    caller = Caller(endpoint_entry("t1", weight=40.0), replicas=200)
    caller.end(caller.accept(), Result.CONNECT_FAILED)
    while not caller.attempts_in_flight:
        caller.wait(SECOND_US // 10)
    caller.end(caller.sends()[-1][1].ref)
    endpoint = caller.forwarder.endpoints["t1"]
    assert endpoint.ramp_from is not None
    for later in (2, 6, 10):
        now = endpoint.ramp_from + later * SECOND_US
        share = BASE.cold_share + (1 - BASE.cold_share) * later * SECOND_US / BASE.ramp_us
        assert (
            endpoint.cold_rate(now) * endpoint.shared_limit.active_senders(later * SECOND_US)
            <= share * 2.0 * 40.0
        )


def test_unchanged_destinations_are_not_picked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Regression (i3f77b4): each event looked at every waiting destination: too slow with many messages."""
    caller = Caller(*[endpoint_entry(f"t{n}", dest=n) for n in range(20)], slots=2, most_held=1000)
    for dest in range(20):
        caller.accept(dest=dest)
    looks = 0
    inner = Forwarder.sendable_at

    def counted(self: Forwarder, endpoint: Endpoint) -> int:
        nonlocal looks
        looks += 1
        return inner(self, endpoint)

    monkeypatch.setattr(Forwarder, "sendable_at", counted)
    for _ in range(10):
        caller.accept(dest=19)
    assert looks == 0  # every slot is taken
    caller.end(1)
    assert looks <= 45  # one look at each endpoint, and one more after the send
    before = looks
    caller.end(2)
    assert looks - before <= 5  # the picks of the other destinations stay valid


def test_valid_pick_is_dropped_with_its_endpoint() -> None:
    caller = Caller(*[endpoint_entry(f"t{n}", dest=n) for n in range(3)], slots=1)
    first = caller.accept(dest=0)
    caller.accept(dest=1)
    caller.accept(dest=2)
    caller.end(first)
    second = next(iter(caller.attempts_in_flight))[0]
    unsent_dest = 3 - int(caller.attempts_in_flight[second, 0][1:])
    assert caller.forwarder.destinations[unsent_dest].pick is not None
    caller.step(
        EndpointListUpdate(
            UpdateScope.DELTA,
            (endpoint_entry(f"t{unsent_dest}", dest=unsent_dest, status=EndpointStatus.DRAINING),),
        )
    )
    caller.end(second)
    assert all(a.target != f"t{unsent_dest}" for _, a in caller.sends())


def test_burst_that_meets_an_outage_is_not_retried_in_step() -> None:
    """Regression (run riga-docs-hub): 31 senders retried a burst three times in step, an overload."""
    sends = list[int]()
    for number in range(30):
        caller = Caller(endpoint_entry("t1", weight=2.0), endpoint_entry("t2", weight=2.0), replicas=150)
        caller.forwarder.rng.seed(number)
        caller.accept(left_us=60 * SECOND_US)
        start = caller.now
        for _ in range(150):
            caller.wait(SECOND_US // 10)
            for ref, _attempt_number in list(caller.attempts_in_flight):
                caller.end(ref, Result.CONNECT_FAILED)
        sends += [t - start for t, _ in caller.sends(since=start + 1) if t - start > SECOND_US]
    busiest = max(sum(0 <= t - at < 2 * SECOND_US for t in sends) for at in sends)
    assert busiest <= 24  # of 60 calls; all of them if retried in step


@pytest.mark.parametrize("busy", [False, True])
def test_trial_calls_do_not_take_slots_that_others_need(busy: bool) -> None:
    """Regression: hanging trials, two per silent endpoint, held 11 of 26 slots while 900 messages waited."""
    silent, healthy = range(1, 8), (20, 21, 22)
    listed = [endpoint_entry(f"t{n}", dest=n, weight=20.0) for n in (*silent, *healthy)]
    caller = Caller(*listed, slots=24, most_held=1000)
    for dest in silent:
        caller.accept(dest=dest)
        while len(caller.logs()) < dest:
            for ref in [r for (r, _), target in caller.attempts_in_flight.items() if target == f"t{dest}"]:
                caller.end(ref, Result.CONNECT_FAILED)
            caller.wait(SECOND_US // 10)
    for dest in (20, 21) * 10 + (22,) * 3 if busy else ():
        caller.accept("unsafe", dest=dest)
    for ref in [
        r for (r, _), target in caller.attempts_in_flight.items() if target not in ("t20", "t21", "t22")
    ]:
        caller.end(ref, Result.CONNECT_FAILED)  # earlier trial calls hang no longer
    at_once = 0
    for _ in range(60):
        caller.wait(SECOND_US // 10)
        for (ref, _), target in list(caller.attempts_in_flight.items()):
            if target in ("t20", "t21", "t22"):
                caller.end(ref)
                caller.accept("unsafe", dest=int(target[1:]))
        at_once = max(
            at_once, sum(target not in ("t20", "t21", "t22") for target in caller.attempts_in_flight.values())
        )
    assert at_once == (2 if busy else 7)
