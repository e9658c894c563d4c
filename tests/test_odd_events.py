"""Test that unusual but legal events do not crash the module, and that errors name the invalid values."""

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
from tests.helpers import BASE, SAFE, SECOND_US, Caller, endpoint_entry


def test_unknown_references_and_tokens_are_ignored() -> None:
    caller = Caller(endpoint_entry("t1", weight=0.0), tenants={})
    caller.step(
        Outcome(77, 0, "t1", Result.OK, 5, True), TimerFired(99), EndpointListUpdate(UpdateScope.DELTA, ())
    )
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t8", status=EndpointStatus.REMOVED),)))
    ref = caller.accept(tenant=None)
    caller.now += 3600 * SECOND_US
    caller.step()
    assert ref in caller.ended


def test_moved_endpoint_gets_no_calls_of_its_old_destination() -> None:
    """Regression: it stayed among the endpoints of its old destination and got its messages."""
    caller = Caller(endpoint_entry("t1", dest=1), endpoint_entry("t2", dest=1))
    before = [caller.accept(dest=1) for _ in range(2)]
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t2", dest=2),)))
    after = [caller.accept(dest=1) for _ in range(4)]
    moved = caller.accept(dest=2)
    targets = {s.ref: s.target for _, s in caller.sends()}
    assert targets[moved] == "t2" and {targets[r] for r in after if r in targets} == {"t1"}
    for ref in (*before, moved):
        caller.end(ref)
    assert all(caller.ended[r] == "Ok" for r in (*before, moved))


def test_endpoint_may_be_listed_again_under_its_old_name() -> None:
    caller = Caller(endpoint_entry("t1"))
    first = caller.accept()
    caller.step(EndpointListUpdate(UpdateScope.FULL, ()))
    caller.step(EndpointListUpdate(UpdateScope.FULL, (endpoint_entry("t1"),)))
    second = caller.accept()
    caller.end(first)
    caller.end(second)
    assert caller.ended == {first: "Ok", second: "Ok"}


def test_batch_has_at_most_the_configured_messages_and_one_slot() -> None:
    caller = Caller(endpoint_entry("t1", kind="batch"), slots=1)
    caller.step(*[Accept(n, "safe", 1, 20 * SECOND_US) for n in range(100, 108)])
    assert len(caller.sends()) == 5 and len(caller.forwarder.endpoints["t1"].calls) == 1


def test_calls_out_never_exceed_the_slots() -> None:
    caller = Caller(*(endpoint_entry(f"t{n}", dest=n) for n in range(1, 6)), slots=3)
    for n in range(1, 6):
        caller.accept("unsafe", dest=n)
    assert len(caller.attempts_in_flight) == 3


def test_the_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        caller = Caller(endpoint_entry("t1"), endpoint_entry("t2"))
        for cls in ("safe", "unsafe", "keyed"):
            caller.accept(cls)
            for ref in [r for r, _ in caller.attempts_in_flight]:
                caller.end(ref, Result.FULL)
            caller.wait(SECOND_US)
        logs.append(caller.log)
    assert logs[0] == logs[1] and len(logs[0]) > 6


def test_failed_list_request_is_repeated_with_backoff() -> None:
    caller = Caller(on_request=True)
    caller.step(EndpointListUpdate(UpdateScope.FAILED))
    caller.wait(2 * SECOND_US)
    watches = [t for t, a in caller.log if type(a).__name__ == "WatchEndpointList"]
    assert len(watches) == 2 and watches[1] >= watches[0] + SECOND_US


def test_errors_name_the_invalid_values() -> None:
    with pytest.raises(ValueError, match="slots"):
        replace(BASE, slots=0)
    with pytest.raises(ValueError, match="late_worth"):
        replace(SAFE, late_worth=2.0)
    with pytest.raises(ValueError, match="aim_us"):
        MessageClass("c", 0, 1, 1.0, 0.0, Effect.SAFE)
    with pytest.raises(ValueError, match="unknown class 'nope'"):
        Forwarder(BASE, 1).decide(0, [Accept(1, "nope", 1, 5)])


@pytest.mark.parametrize("rates_configured", [True, False])
@pytest.mark.parametrize("weight", [0.0, 1.0])
@pytest.mark.parametrize(
    "changes", [{"tenants": {"a": 0.0}}, {"tenants": {}}, {"slots": 1}, {"try_limit": 1}]
)
def test_scarce_settings_do_not_crash(
    changes: dict[str, object], weight: float, rates_configured: bool
) -> None:
    """No tenants, a quota of 0, one slot, one try, no weights: every message is answered without a crash."""
    members = endpoint_entry("t1", weight=weight), endpoint_entry("t2", dest=2, weight=weight)
    caller = Caller(*members, replicas=300, weights_told=rates_configured, **changes)
    classes = ("safe", "unsafe", "zoned") * 4
    refs = [caller.accept(cls, dest) for cls in classes for dest in (1, 2)]
    for turn in range(60):
        for ref, _attempt_number in list(caller.attempts_in_flight):
            caller.end(ref, (Result.OK, Result.FULL, Result.ERROR)[turn % 3])
        caller.wait(SECOND_US // 2)
    assert set(refs) <= set(caller.ended)
