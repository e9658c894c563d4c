"""A destination that is out, in doubt or cold: what one sender of many may send there."""

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
from rowanspindle.gossip import LISTEN
from rowanspindle.notes import Fact, FactKind, Note, endpoint_digest
from tests.helpers import SECOND_US, Caller, member

SENDERS = 40
FALL = 2 * SECOND_US  # of the settings
LONG = 60 * SECOND_US


def sender(**changes: object) -> Caller:
    """One of many, with two endpoints at a destination."""
    listed = (member("a", weight=8.0), member("b", weight=8.0))
    return Caller(*listed, replicas=SENDERS, peers=True, **changes)


def test_a_sibling_without_an_answer_is_called_once_and_then_as_if_cold() -> None:
    """Twenty senders each sent all that waited to the sibling, at the moment in which both came back."""
    caller = sender()
    caller.end(caller.accept(left_us=LONG), Result.CONNECT_FAILED)
    for _ in range(8):
        caller.accept(left_us=LONG)
    assert len(caller.out) == 1
    caller.wait(FALL)
    sibling = next(e for e in caller.forwarder.endpoints.values() if e.out_since is None)
    assert sibling.suspected
    caller.end(next(iter(caller.out))[0], Result.OK)
    assert sibling.ramp_from is None  # the call had been sent at once: it was never out


def test_an_answer_that_is_asked_for_later_begins_a_slow_start() -> None:
    caller = sender()
    caller.end(caller.accept(left_us=LONG), Result.CONNECT_FAILED)
    sibling = next(e for e in caller.forwarder.endpoints.values() if e.out_since is None)
    caller.wait(FALL)
    ref, _ = next(iter(caller.out))
    sibling.ramp_bucket.tokens = 1.0
    caller.end(ref, Result.CANCELLED)
    caller.end(ref)
    assert sibling.ramp_from == caller.now
    assert any("answers while a sibling is out" in line for line in caller.logs())


@pytest.mark.parametrize(("wait_us", "cold"), [(FALL, True), (FALL - 1, False)])
def test_a_wait_longer_than_a_limit_needs_ends_in_a_slow_start(wait_us: int, cold: bool) -> None:
    """All that a shut destination had told when it opens came at that moment."""
    caller = sender()
    caller.end(caller.accept(left_us=LONG), Result.FULL, wait_us=wait_us)
    caller.wait(FALL + SECOND_US)
    assert all((e.ramp_from is not None) is cold for e in caller.forwarder.endpoints.values())


@pytest.mark.parametrize("proved", [True, False])
def test_a_return_is_that_of_the_destination(proved: bool) -> None:
    caller = sender()
    caller.end(caller.accept(left_us=LONG), Result.CONNECT_FAILED)
    first, sibling = sorted(caller.forwarder.endpoints.values(), key=lambda e: e.out_since is None)
    first.failure_confirmed = proved
    caller.step(NoteReceived(3, Note(1, (Fact(FactKind.BACK, endpoint_digest(first.target)),))))
    caller.wait(SECOND_US // 10)
    caller.step(NoteReceived(3, Note(2, (Fact(FactKind.BACK, endpoint_digest(first.target)),))))
    for endpoint in (first, sibling):
        assert endpoint.out_since is None and not endpoint.suspected
        assert (endpoint.ramp_from is not None) is proved


@pytest.mark.parametrize("back", [None, 999 * SECOND_US])
def test_what_the_process_before_knew_holds_also_for_what_is_listed_later(back: int | None) -> None:
    caller = sender()
    outages = tuple(Outage(target, 990 * SECOND_US, back) for target in ("a", "late"))
    caller.step(OutagesRestored(outages))
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (member("late", weight=8.0),)))
    for target in ("a", "late"):
        endpoint = caller.forwarder.endpoints[target]
        assert endpoint.suspected if back is None else endpoint.ramp_from == back
    assert set(caller.forwarder.outages(caller.now)) == set(outages)


@pytest.mark.parametrize(("away_us", "known"), [(20 * SECOND_US, True), (40 * SECOND_US, False)])
def test_an_outage_is_known_for_a_while_after_its_endpoint_left_the_list(away_us: int, known: bool) -> None:
    caller = Caller(member("a", weight=8.0), replicas=SENDERS)
    caller.end(caller.accept(), Result.CONNECT_FAILED)
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (member("a", status=EndpointStatus.REMOVED),)))
    caller.wait(away_us)
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (member("a", weight=8.0),)))
    assert caller.forwarder.endpoints["a"].is_recovering(caller.now) is known


def test_who_has_just_begun_to_listen_takes_an_even_part() -> None:
    caller = sender()
    caller.end(caller.accept(left_us=LONG), Result.CONNECT_FAILED)
    hearsay, work = caller.forwarder.gossip, (Fact(FactKind.WORK, 2, 1),)
    for number in range(LISTEN):
        assert not hearsay.informed(caller.now)
        caller.step(NoteReceived(3, Note(number, work)))
        caller.wait(hearsay.beat_us)
    assert hearsay.informed(caller.now)


@pytest.mark.parametrize("again", ["begin_outage", "begin_cold"])
def test_a_slow_start_that_is_over_leaves_no_full_bucket(again: str) -> None:
    """Nothing had been sent since it was over, and the next outage went on with all saved up."""
    caller = sender()
    endpoint, end = caller.forwarder.endpoints["a"], caller.now + LONG
    endpoint.end_outage(caller.now, True, Random(1))
    getattr(endpoint, again)(end, end, Random(1))
    assert endpoint.next_send_at(end, None) > end


def test_trials_of_a_fleet_that_learns_together_keep_the_budget() -> None:
    """All had work from before, and set their first trial by the few that could have got some just then."""
    times: list[int] = []
    for number in range(SENDERS):
        caller = Caller(member("a", weight=4.0), replicas=SENDERS)
        caller.forwarder.rng.seed(number)
        ref = caller.accept(left_us=LONG)
        caller.end(ref, Result.CONNECT_FAILED)
        begun = caller.now
        for _ in range(150):
            caller.wait(SECOND_US // 10)
            if caller.is_out(ref):
                times.append(caller.now - begun)
                caller.end(ref, Result.CONNECT_FAILED)
    settings = caller.forwarder.settings
    bears = settings.overload_factor * settings.cold_share * 4.0 * FALL / SECOND_US
    most = max(sum(at <= other < at + FALL for other in times) for at in times)
    assert most <= bears + 3 * math.sqrt(bears) + 3
    assert times  # one of them finds the return


def test_no_partner_is_pushed_over_that_returns_while_senders_restart() -> None:
    """A partner that had been shut fell here, four in five of its calls from senders that it had refused."""
    result = World(load(str(FOLDER / "return-at-restart.scenario")), 5).run()
    assert result["rules"] == "kept", result["breaches"]
