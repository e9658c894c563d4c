"""Test how much one of many senders may call a destination during an outage, suspicion or slow start."""

from __future__ import annotations

import math
from random import Random

import pytest

from rowanrack.model.scenario import FOLDER, load
from rowanrack.model.world import World
from rowanspindle import (
    EndpointListUpdate,
    EndpointStatus,
    NoteReceived,
    Outage,
    OutagesRestored,
    Result,
    UpdateScope,
)
from rowanspindle.gossip import LISTEN_INTERVALS
from rowanspindle.notes import Fact, FactKind, Note, endpoint_digest
from tests.helpers import SECOND_US, Caller, endpoint_entry

SENDERS = 40
FALL_US = 2 * SECOND_US  # as in the settings
LONG_US = 60 * SECOND_US


def sender(**changes: object) -> Caller:
    """Return one sender of many, with two endpoints at a destination."""
    listed = (endpoint_entry("a", weight=8.0), endpoint_entry("b", weight=8.0))
    return Caller(*listed, replicas=SENDERS, peers=True, **changes)


def test_a_sibling_without_an_answer_is_called_once_and_then_as_if_cold() -> None:
    """Regression: twenty senders each sent all held messages to the sibling when both returned."""
    caller = sender()
    caller.end(caller.accept(left_us=LONG_US), Result.CONNECT_FAILED)
    for _ in range(8):
        caller.accept(left_us=LONG_US)
    assert len(caller.attempts_in_flight) == 1
    caller.wait(FALL_US)
    sibling = next(e for e in caller.forwarder.endpoints.values() if e.out_since is None)
    assert sibling.suspected
    caller.end(next(iter(caller.attempts_in_flight))[0], Result.OK)
    assert sibling.ramp_from is None  # the call had been sent at once: the sibling had no outage


def test_answer_to_a_later_call_begins_a_slow_start() -> None:
    caller = sender()
    caller.end(caller.accept(left_us=LONG_US), Result.CONNECT_FAILED)
    sibling = next(e for e in caller.forwarder.endpoints.values() if e.out_since is None)
    caller.wait(FALL_US)
    ref, _ = next(iter(caller.attempts_in_flight))
    sibling.ramp_bucket.tokens = 1.0
    caller.end(ref, Result.CANCELLED)
    caller.end(ref)
    assert sibling.ramp_from == caller.now
    assert any("answers while a sibling is out" in line for line in caller.logs())


@pytest.mark.parametrize(("wait_us", "cold"), [(FALL_US, True), (FALL_US - 1, False)])
def test_wait_longer_than_a_rate_limit_needs_ends_in_a_slow_start(wait_us: int, cold: bool) -> None:
    """Regression: all senders that a shut destination had told when it opens called at that moment."""
    caller = sender()
    caller.end(caller.accept(left_us=LONG_US), Result.FULL, wait_us=wait_us)
    caller.wait(FALL_US + SECOND_US)
    assert all((e.ramp_from is not None) is cold for e in caller.forwarder.endpoints.values())


@pytest.mark.parametrize("confirmed", [True, False])
def test_return_of_an_endpoint_ends_the_outage_of_its_destination(confirmed: bool) -> None:
    caller = sender()
    caller.end(caller.accept(left_us=LONG_US), Result.CONNECT_FAILED)
    first, sibling = sorted(caller.forwarder.endpoints.values(), key=lambda e: e.out_since is None)
    first.failure_confirmed = confirmed
    caller.step(NoteReceived(3, Note(1, (Fact(FactKind.RECOVERED, endpoint_digest(first.target)),))))
    caller.wait(SECOND_US // 10)
    caller.step(NoteReceived(3, Note(2, (Fact(FactKind.RECOVERED, endpoint_digest(first.target)),))))
    for endpoint in (first, sibling):
        assert endpoint.out_since is None and not endpoint.suspected
        assert (endpoint.ramp_from is not None) is confirmed


@pytest.mark.parametrize("back_at", [None, 999 * SECOND_US])
def test_restored_outage_applies_to_endpoints_listed_later(back_at: int | None) -> None:
    caller = sender()
    outages = tuple(Outage(target, 990 * SECOND_US, back_at) for target in ("a", "late"))
    caller.step(OutagesRestored(outages))
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("late", weight=8.0),)))
    for target in ("a", "late"):
        endpoint = caller.forwarder.endpoints[target]
        assert endpoint.suspected if back_at is None else endpoint.ramp_from == back_at
    assert set(caller.forwarder.outages(caller.now)) == set(outages)


def test_outage_of_another_process_does_not_replace_what_this_one_has_found_since() -> None:
    caller = sender()
    answered = caller.accept(left_us=LONG_US)
    target = caller.attempts_in_flight[answered, 0]
    caller.end(answered)
    other = next(name for name in ("a", "b") if name != target)
    before, since = (Outage(target, caller.now + delay, None) for delay in (-SECOND_US, SECOND_US))
    caller.step(OutagesRestored((before,)))
    assert not caller.forwarder.endpoints[target].is_recovering(caller.now)
    caller.step(OutagesRestored((since, Outage(other, caller.now, None))))
    assert caller.forwarder.endpoints[target].suspected
    began_at = caller.forwarder.endpoints[other].began_at
    caller.wait(SECOND_US)
    caller.step(OutagesRestored((Outage(other, caller.now, caller.now),)))
    assert caller.forwarder.endpoints[other].began_at == began_at


def test_restored_slow_start_that_begins_later_lets_no_call_go_before_it_begins() -> None:
    caller = sender()
    back_at = caller.now + 4 * SECOND_US
    caller.step(OutagesRestored((Outage("a", caller.now - SECOND_US, back_at),)))
    refs = [caller.accept(left_us=LONG_US) for _ in range(4)]
    caller.wait(4 * SECOND_US - 1)
    assert not caller.sends()
    caller.wait(LONG_US)
    assert any(caller.attempts_sent.get(ref) for ref in refs)


@pytest.mark.parametrize(("away_us", "known"), [(20 * SECOND_US, True), (40 * SECOND_US, False)])
def test_outage_is_remembered_for_a_while_after_its_endpoint_left_the_list(away_us: int, known: bool) -> None:
    caller = Caller(endpoint_entry("a", weight=8.0), replicas=SENDERS)
    caller.end(caller.accept(), Result.CONNECT_FAILED)
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("a", status=EndpointStatus.REMOVED),)))
    caller.wait(away_us)
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("a", weight=8.0),)))
    assert caller.forwarder.endpoints["a"].is_recovering(caller.now) is known


def test_sender_that_just_began_to_receive_gossip_takes_an_even_share() -> None:
    caller = sender()
    caller.end(caller.accept(left_us=LONG_US), Result.CONNECT_FAILED)
    gossip, work = caller.forwarder.gossip, (Fact(FactKind.HELD_MESSAGES, 2, 1),)
    for number in range(LISTEN_INTERVALS):
        assert not gossip.listened_long_enough(caller.now)
        caller.step(NoteReceived(3, Note(number, work)))
        caller.wait(gossip.work_interval_us)
    assert gossip.listened_long_enough(caller.now)


@pytest.mark.parametrize("method", ["begin_outage", "begin_cold"])
def test_ended_slow_start_leaves_no_full_token_bucket(method: str) -> None:
    """Regression: no call followed the slow start, so the next outage began with all tokens saved up."""
    caller = sender()
    endpoint, end = caller.forwarder.endpoints["a"], caller.now + LONG_US
    endpoint.end_outage(caller.now, True, Random(1))
    getattr(endpoint, method)(end, end, Random(1))
    assert endpoint.next_send(end, None) > end


def test_trial_calls_of_a_fleet_that_learns_at_once_stay_within_the_budget() -> None:
    """Regression: the first trial was timed for the few senders with new work, but all had work."""
    times: list[int] = []
    for number in range(SENDERS):
        caller = Caller(endpoint_entry("a", weight=4.0), replicas=SENDERS)
        caller.forwarder.rng.seed(number)
        ref = caller.accept(left_us=LONG_US)
        caller.end(ref, Result.CONNECT_FAILED)
        began_at = caller.now
        for _ in range(150):
            caller.wait(SECOND_US // 10)
            if caller.is_out(ref):
                times.append(caller.now - began_at)
                caller.end(ref, Result.CONNECT_FAILED)
    settings = caller.forwarder.settings
    capacity = settings.overload_factor * settings.cold_share * 4.0 * FALL_US / SECOND_US
    most = max(sum(at <= other < at + FALL_US for other in times) for at in times)
    assert most <= capacity + 3 * math.sqrt(capacity) + 3
    assert times  # one of the trial calls finds the endpoint back


def test_partner_that_returns_while_senders_restart_is_not_overloaded() -> None:
    """Regression: a partner that had been shut failed: 4 in 5 calls came from senders it had refused."""
    result = World(load(str(FOLDER / "return-at-restart.scenario")), 5).run()
    assert result["rules"] == "kept", result["breaches"]
