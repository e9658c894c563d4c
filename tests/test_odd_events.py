"""Odd but legal events never crash the module, and bad values are named."""

from __future__ import annotations

from dataclasses import replace

import pytest

from rowanspindle import (
    Accept,
    Effect,
    EndpointListUpdate,
    EndpointStatus,
    Forwarder,
    MessageClass,
    Outcome,
    Result,
    TimerFired,
    UpdateScope,
)
from tests.helpers import BASE, SAFE, SECOND_US, Caller, member


def test_odd_events_are_passed_over() -> None:
    caller = Caller(member("t1", weight=0.0), tenants={})
    caller.step(
        Outcome(77, 0, "t1", Result.OK, 5, True), TimerFired(99), EndpointListUpdate(UpdateScope.DELTA, ())
    )
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (member("t8", status=EndpointStatus.REMOVED),)))
    ref = caller.accept(tenant=None)
    caller.now += 3600 * SECOND_US
    caller.step()
    assert ref in caller.ended


def test_an_endpoint_that_moves_gets_nothing_more_from_its_old_destination() -> None:
    """It stayed among the old destination's routes, and got that destination's messages."""
    caller = Caller(member("t1", dest=1), member("t2", dest=1))
    before = [caller.accept(dest=1) for _ in range(2)]
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (member("t2", dest=2),)))
    after = [caller.accept(dest=1) for _ in range(4)]
    moved = caller.accept(dest=2)
    targets = {s.ref: s.target for _, s in caller.sends()}
    assert targets[moved] == "t2" and {targets[r] for r in after if r in targets} == {"t1"}
    for ref in (*before, moved):
        caller.end(ref)
    assert all(caller.ended[r] == "Ok" for r in (*before, moved))


def test_an_endpoint_may_return_under_its_old_name() -> None:
    caller = Caller(member("t1"))
    first = caller.accept()
    caller.step(EndpointListUpdate(UpdateScope.FULL, ()))
    caller.step(EndpointListUpdate(UpdateScope.FULL, (member("t1"),)))
    second = caller.accept()
    caller.end(first)
    caller.end(second)
    assert caller.ended == {first: "Ok", second: "Ok"}


def test_batches_hold_at_most_so_many_messages_and_one_slot() -> None:
    caller = Caller(member("t1", kind="batch"), slots=1)
    caller.step(*[Accept(n, "safe", 1, 20 * SECOND_US) for n in range(100, 108)])
    assert len(caller.sends()) == 5 and len(caller.forwarder.endpoints["t1"].calls) == 1


def test_calls_out_never_exceed_the_slots() -> None:
    caller = Caller(*(member(f"t{n}", dest=n) for n in range(1, 6)), slots=3)
    for n in range(1, 6):
        caller.accept("unsafe", dest=n)
    assert len(caller.out) == 3


def test_the_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        caller = Caller(member("t1"), member("t2"))
        for cls in ("safe", "unsafe", "keyed"):
            caller.accept(cls)
            for ref in [r for r, _ in caller.out]:
                caller.end(ref, Result.FULL)
            caller.wait(SECOND_US)
        logs.append(caller.log)
    assert logs[0] == logs[1] and len(logs[0]) > 6


def test_a_lost_list_is_asked_for_again_with_backoff() -> None:
    caller = Caller(on_request=True)
    caller.step(EndpointListUpdate(UpdateScope.FAILED))
    caller.wait(2 * SECOND_US)
    watches = [t for t, a in caller.log if type(a).__name__ == "WatchEndpointList"]
    assert len(watches) == 2 and watches[1] >= watches[0] + SECOND_US


def test_bad_values_are_named() -> None:
    with pytest.raises(ValueError, match="slots"):
        replace(BASE, slots=0)
    with pytest.raises(ValueError, match="late_worth"):
        replace(SAFE, late_worth=2.0)
    with pytest.raises(ValueError, match="aim_us"):
        MessageClass("c", 0, 1, 1.0, 0.0, Effect.SAFE)
    with pytest.raises(ValueError, match="unknown class 'nope'"):
        Forwarder(BASE, 1).decide(0, [Accept(1, "nope", 1, 5)])


@pytest.mark.parametrize("told", [True, False])
@pytest.mark.parametrize("weight", [0.0, 1.0])
@pytest.mark.parametrize(
    "changes", [{"tenants": {"a": 0.0}}, {"tenants": {}}, {"slots": 1}, {"try_limit": 1}]
)
def test_scarce_settings_do_not_crash(changes: dict[str, object], weight: float, told: bool) -> None:
    """No tenants, a quota of 0, one slot, one try, no weights: all is answered, nothing crashes."""
    members = member("t1", weight=weight), member("t2", dest=2, weight=weight)
    caller = Caller(*members, replicas=300, weights_told=told, **changes)
    classes = ("safe", "unsafe", "zoned") * 4
    refs = [caller.accept(cls, dest) for cls in classes for dest in (1, 2)]
    for turn in range(60):
        for ref, _leg in list(caller.out):
            caller.end(ref, (Result.OK, Result.FULL, Result.ERROR)[turn % 3])
        caller.wait(SECOND_US // 2)
    assert set(refs) <= set(caller.ended)
