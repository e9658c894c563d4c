"""Test the six rules of the sender: each in a scripted case, and all over random legal event sequences."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from rowanspindle import (
    Accept,
    Action,
    Cancel,
    Effect,
    EndpointListUpdate,
    EndpointStatus,
    Fail,
    Outcome,
    Refuse,
    Result,
    RetryAfterWait,
    RetryAfterWaitsReported,
    Send,
    UpdateScope,
    Withdrawn,
)
from tests.helpers import BASE, SECOND_US, Caller, endpoint_entry


def test_every_message_ends_by_its_deadline() -> None:
    caller = Caller(endpoint_entry("t1"))
    held = caller.accept("unsafe", dest=9, left_us=3 * SECOND_US)
    sent = caller.accept("unsafe", left_us=3 * SECOND_US)
    caller.wait(3 * SECOND_US + BASE.answer_slack_us)
    assert caller.ended == {held: "Refuse", sent: "Fail"}


def test_nothing_is_sent_after_the_end() -> None:
    caller = Caller()
    ref = caller.accept()
    caller.end(ref)
    caller.wait(30 * SECOND_US)
    assert len(caller.sends()) == 1


def test_withdrawn_messages_are_not_sent_again() -> None:
    caller = Caller()
    ref = caller.accept()
    caller.step(Withdrawn(ref), Withdrawn(ref), Withdrawn(99))
    caller.end(ref, Result.TIMEOUT)
    caller.wait(30 * SECOND_US)
    assert len(caller.sends()) == 1 and not caller.ended


def test_unsafe_message_is_sent_again_only_if_it_never_ran() -> None:
    for result in Result:
        if result in (Result.OK, Result.MOOT):
            continue
        caller = Caller()
        ref = caller.accept("unsafe")
        caller.end(ref, result)
        caller.wait(10 * SECOND_US)
        if result in (Result.FULL, Result.CONNECT_FAILED):
            assert caller.attempts_sent[ref] > 1, result
        else:
            assert caller.ended[ref] == "Fail" and caller.attempts_sent[ref] == 1, result


def test_keyed_message_is_sent_again_only_within_its_key_lifetime() -> None:
    caller = Caller()
    ref = caller.accept("keyed")
    sent = caller.now
    caller.wait(SECOND_US)
    caller.end(ref, Result.RESET)
    assert caller.is_out(ref)
    caller.wait(6 * SECOND_US)
    caller.end(ref, Result.FULL)
    assert caller.ended[ref] == "Refuse"
    assert all(t < sent + 5 * SECOND_US for t, _ in caller.sends())


def test_keyed_message_with_same_zone_stays_in_its_zone() -> None:
    caller = Caller(endpoint_entry("t1", zone="x"), endpoint_entry("t2", zone="y"))
    ref = caller.accept("zoned")
    target = caller.attempts_in_flight[ref, 0]
    caller.end(ref, Result.RESET)
    caller.wait(25 * SECOND_US)
    assert {a.target for _, a in caller.sends()} == {target}
    assert caller.ended[ref] == "Fail"


def test_draining_endpoint_gets_no_new_calls() -> None:
    caller = Caller(endpoint_entry("t1"), endpoint_entry("t2"))
    caller.step(
        EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t1", status=EndpointStatus.DRAINING),))
    )
    caller.step(EndpointListUpdate(UpdateScope.FAILED))
    for _ in range(6):
        caller.accept()
    assert {a.target for _, a in caller.sends()} == {"t2"}
    caller.step(EndpointListUpdate(UpdateScope.FULL, ()))
    before = len(caller.sends())
    caller.accept()
    assert len(caller.sends()) == before


def test_retry_after_wait_stops_the_whole_destination_and_ends_spread() -> None:
    caller = Caller(endpoint_entry("t1"), endpoint_entry("t2"), slots=24)
    ref = caller.accept()
    caller.wait(SECOND_US // 10)
    caller.end(ref, Result.FULL, wait_us=SECOND_US)
    refused_at = caller.now
    for _ in range(8):
        caller.accept("unsafe")
    caller.wait(SECOND_US)
    assert not caller.sends(since=refused_at)
    caller.wait(4 * SECOND_US)
    times = [t for t, _ in caller.sends(since=refused_at)]
    assert times and len(set(times)) > 2, "the hold drains at once"


def test_retry_after_wait_stops_only_its_endpoint_where_limits_are_separate() -> None:
    caller = Caller(endpoint_entry("t1", kind="apart"), endpoint_entry("t2", kind="apart"))
    ref = caller.accept()
    refused_target = caller.attempts_in_flight[ref, 0]
    caller.wait(SECOND_US // 10)
    caller.end(ref, Result.FULL, wait_us=2 * SECOND_US)
    refused_at = caller.now
    caller.accept()
    assert {a.target for _, a in caller.sends(since=refused_at)} == {"t1", "t2"} - {refused_target}


def test_wait_reported_by_another_process_stops_the_whole_destination() -> None:
    caller = Caller(endpoint_entry("t1"), endpoint_entry("t2"))
    wait = RetryAfterWait(1, None, caller.now + 2 * SECOND_US)
    caller.step(
        RetryAfterWaitsReported((wait,)), EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t3"),))
    )
    for _ in range(4):
        caller.accept()
    caller.wait(2 * SECOND_US - 1)
    assert not caller.sends()
    caller.wait(2 * SECOND_US)
    assert caller.sends()


def test_wait_reported_by_another_process_stops_only_its_endpoint_where_limits_are_separate() -> None:
    caller = Caller(endpoint_entry("t1", kind="apart"), endpoint_entry("t2", kind="apart"))
    caller.step(RetryAfterWaitsReported((RetryAfterWait(1, "t1", caller.now + 2 * SECOND_US),)))
    for _ in range(4):
        caller.accept()
    assert {action.target for _, action in caller.sends()} == {"t2"}


def test_wait_reported_before_its_destination_is_listed_holds() -> None:
    caller = Caller(endpoint_entry("other", dest=9))
    ref = caller.accept()
    caller.step(RetryAfterWaitsReported((RetryAfterWait(1, None, caller.now + 2 * SECOND_US),)))
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t1"),)))
    caller.wait(2 * SECOND_US - 1)
    assert not caller.is_out(ref)
    caller.wait(2 * SECOND_US)
    assert caller.is_out(ref)


def test_messages_of_one_key_are_sent_in_order_and_block_no_others() -> None:
    caller = Caller(key_rest_us=SECOND_US)
    first, second, other = (
        caller.accept("ordered", key="k"),
        caller.accept("ordered", key="k"),
        caller.accept(),
    )
    assert caller.is_out(first) and not caller.is_out(second) and caller.is_out(other)
    caller.end(first, Result.FULL)
    caller.wait(SECOND_US)
    assert caller.is_out(first) and not caller.is_out(second)
    caller.end(first, Result.RESET)
    assert caller.is_out(first), "the rest does not delay the message whose turn it is"
    rested = caller.now
    caller.end(first)
    assert not caller.is_out(second)
    caller.wait(SECOND_US)
    assert caller.is_out(second) and caller.sends()[-1][0] >= rested + SECOND_US


def test_withdrawn_message_blocks_its_key_while_its_call_is_in_flight() -> None:
    caller = Caller()
    first, second = caller.accept("ordered", key="k"), caller.accept("ordered", key="k")
    caller.step(Withdrawn(first))
    assert not caller.is_out(second)
    caller.end(first, Result.CANCELLED)
    assert caller.is_out(second)


def test_returned_endpoint_is_not_overloaded() -> None:
    caller = Caller(endpoint_entry("t1", weight=10.0), slots=40)
    for _ in range(3):
        ref = caller.accept()
        caller.wait(SECOND_US // 10)
        caller.end(ref, Result.CONNECT_FAILED)
    failed_at = caller.now
    for _ in range(60):
        caller.accept()
    returned_at: int | None = None
    while caller.now < failed_at + 20 * SECOND_US:
        caller.wait(SECOND_US // 10)
        for ref in [r for r, _ in caller.attempts_in_flight]:
            caller.end(ref, Result.OK if caller.now > failed_at + 5 * SECOND_US else Result.CONNECT_FAILED)
            if caller.now > failed_at + 5 * SECOND_US:
                returned_at = returned_at or caller.now
    assert returned_at is not None
    trials = [t for t, _ in caller.sends(since=failed_at) if t < returned_at]
    assert all(b - a >= SECOND_US // 2 for a, b in pairwise(trials))
    for start in range(0, BASE.ramp_us, SECOND_US):
        span = [t for t, _ in caller.sends() if returned_at + start <= t < returned_at + start + BASE.fall_us]
        share = BASE.cold_share + (1 - BASE.cold_share) * start / BASE.ramp_us
        assert len(span) <= BASE.overload_factor * share * 10 * BASE.fall_us / SECOND_US + 2


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.data())
def test_rules_hold_over_random_events(data: st.DataObject) -> None:
    """Check all rules except the slow start from outside, over random legal event sequences."""
    kind = data.draw(st.sampled_from(["plain", "batch", "apart"]))
    caller = Caller(
        endpoint_entry("t1", kind=kind),
        endpoint_entry("t2", kind=kind, zone="y"),
        slots=4,
        most_held=12,
        try_limit=4,
    )
    cls_of: dict[int, str] = {}
    deadlines: dict[int, int] = {}
    first_attempt_at: dict[int, int] = {}
    wait_until: dict[str, int] = {}
    unlisted: set[str] = set()
    keys: dict[int, str] = {}
    accepted: list[int] = []

    def watch(now: int, action: Action) -> None:
        if isinstance(action, Send):
            cls = BASE.classes[cls_of[action.ref]]
            assert action.ref not in caller.ended and action.target not in unlisted
            assert not caller.is_out(action.ref)
            assert caller.attempts_sent.get(action.ref, 0) < 4
            assert now >= wait_until.get(action.target if kind == "apart" else "all", 0)
            if action.ref in first_attempt_at:
                assert cls.effect is not Effect.UNSAFE
                assert cls.effect is Effect.SAFE or now < first_attempt_at[action.ref] + cls.key_ttl_us
            if action.ref in keys:
                earlier_refs = [
                    r for r in accepted[: accepted.index(action.ref)] if keys.get(r) == keys[action.ref]
                ]
                assert all(r in caller.ended and not caller.is_out(r) for r in earlier_refs)
        elif isinstance(action, Refuse | Fail):
            assert now <= deadlines[action.ref] + BASE.answer_slack_us
            if isinstance(action, Refuse) and action.ref in first_attempt_at:
                cls = BASE.classes[cls_of[action.ref]]
                assert cls.effect is not Effect.UNSAFE and not cls.same_zone

    caller.watch = watch
    for _ in range(data.draw(st.integers(5, 40))):
        step = data.draw(
            st.sampled_from(["accept", "accept", "end", "end", "end", "wait", "list", "withdraw"])
        )
        if step == "accept":
            cls = data.draw(st.sampled_from(sorted(BASE.classes)))
            left_us = data.draw(st.integers(SECOND_US, 20 * SECOND_US))
            ref = caller.next_ref + 1
            cls_of[ref], deadlines[ref] = cls, caller.now + left_us
            accepted.append(ref)
            key = data.draw(st.sampled_from(["k", "l"])) if cls == "ordered" else None
            if key:
                keys[ref] = key
            caller.accept(cls, left_us=left_us, key=key)
        elif step == "end" and caller.attempts_in_flight:
            ref, attempt_number = data.draw(st.sampled_from(sorted(caller.attempts_in_flight)))
            result = data.draw(st.sampled_from(list(Result)))
            wait_us = data.draw(st.sampled_from([0, SECOND_US])) if result is Result.FULL else 0
            target = caller.attempts_in_flight.pop((ref, attempt_number))
            sent_at = next(t for t, a in reversed(caller.log) if isinstance(a, Send) and a.ref == ref)
            if result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED):
                first_attempt_at.setdefault(ref, sent_at)
            if result is Result.OK:
                caller.ended.setdefault(ref, "Ok")
            has_ended = ref in caller.ended
            caller.step(Outcome(ref, attempt_number, target, result, 1000, has_ended, wait_us))
            if wait_us:
                limit = target if kind == "apart" else "all"
                wait_until[limit] = max(wait_until.get(limit, 0), caller.now + wait_us)
        elif step == "wait":
            caller.wait(data.draw(st.integers(1, 3 * SECOND_US)))
        elif step == "list":
            status = data.draw(st.sampled_from(list(EndpointStatus)))
            if status is EndpointStatus.LISTED:
                unlisted.discard("t2")
            else:
                unlisted.add("t2")
            caller.step(
                EndpointListUpdate(
                    UpdateScope.DELTA, (endpoint_entry("t2", kind=kind, zone="y", status=status),)
                )
            )
        elif step == "withdraw" and accepted:
            ref = data.draw(st.sampled_from(accepted))
            if ref not in caller.ended:
                caller.ended[ref] = "Withdrawn"
                caller.step(Withdrawn(ref))
    caller.wait(25 * SECOND_US)
    assert set(accepted) <= set(caller.ended)


def test_endpoint_listed_again_keeps_its_retry_after_wait() -> None:
    """Regression, found by random sequences: an endpoint listed again had lost its retry-after wait."""
    caller = Caller(endpoint_entry("t1", kind="apart"))
    ref = caller.accept()
    caller.end(ref, Result.FULL, wait_us=2 * SECOND_US)
    caller.step(EndpointListUpdate(UpdateScope.FULL, ()))
    caller.step(EndpointListUpdate(UpdateScope.FULL, (endpoint_entry("t1", kind="apart"),)))
    assert not caller.is_out(ref)
    caller.wait(4 * SECOND_US)
    assert caller.is_out(ref)


def test_destination_whose_only_endpoint_moved_away_keeps_its_wait() -> None:
    caller = Caller(endpoint_entry("t1"))
    caller.end(caller.accept(left_us=SECOND_US), Result.FULL, wait_us=4 * SECOND_US)
    refused_at = caller.now
    caller.wait(SECOND_US)
    moved, successor = endpoint_entry("t1", dest=2), endpoint_entry("t2")
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (moved, successor)))
    ref = caller.accept()
    caller.wait(refused_at + 4 * SECOND_US - caller.now - 1)
    assert not caller.is_out(ref)
    caller.wait(4 * SECOND_US)
    assert caller.is_out(ref)


def test_idle_state_is_dropped() -> None:
    caller = Caller()
    ref = caller.accept("ordered", key="k")
    caller.end(ref)
    caller.step(EndpointListUpdate(UpdateScope.FULL, ()))
    caller.wait(60 * SECOND_US)
    caller.step()
    forwarder = caller.forwarder
    assert not (forwarder.messages or forwarder.attempts or forwarder.keys or forwarder.endpoints)
    assert not forwarder.destinations


def test_stuck_calls_are_cancelled_only_without_free_slots_and_unsafe_ones_later() -> None:
    """Regression (incidents id737bb, i222f4e): silent destinations took all slots from the healthy ones."""
    for cls, seconds, called_off in (("safe", 4, True), ("unsafe", 4, False), ("unsafe", 6, True)):
        caller = Caller(
            endpoint_entry("t1", dest=1), endpoint_entry("t2", dest=2), endpoint_entry("t3", dest=3), slots=2
        )
        caller.accept(cls, dest=1)
        caller.accept(cls, dest=2)
        caller.wait(seconds * SECOND_US)
        assert not any(isinstance(a, Cancel) for _, a in caller.log)
        caller.accept(dest=3)
        assert any(isinstance(a, Cancel) for _, a in caller.log) is called_off


def test_single_long_call_is_no_outage_and_its_answer_starts_no_slow_start() -> None:
    """Regression (incident idccf9c): single long calls were taken for outages, and slow starts followed."""
    caller = Caller(endpoint_entry("t1", weight=2.0))
    ref = caller.accept("unsafe")
    caller.wait(3 * SECOND_US)
    assert not caller.logs()
    caller.wait(2 * SECOND_US)
    assert any("silent" in line for line in caller.logs())
    caller.end(ref, latency_us=5 * SECOND_US)
    refs = [caller.accept("unsafe") for _ in range(2)]
    assert all(map(caller.is_out, refs))


def test_nearly_full_sender_refuses_the_least_valuable_messages() -> None:
    caller = Caller(endpoint_entry("t1"), most_held=10)
    caller.step(EndpointListUpdate(UpdateScope.FULL, ()))
    valuable = [caller.accept("unsafe") for _ in range(5)]
    least_worth = [caller.accept("safe") for _ in range(6)]
    assert not any(r in caller.ended for r in valuable)
    assert "Refuse" in {caller.ended.get(r) for r in least_worth}


def test_lost_unsafe_call_holds_no_permit_and_releases_its_slot() -> None:
    """Regression (incident i53b26d): unanswered unsafe calls filled the windows until their deadline."""
    caller = Caller(slots=2)
    lost = caller.accept("unsafe")
    for _ in range(6):
        ref = caller.accept()
        caller.wait(SECOND_US // 2)
        assert caller.is_out(ref)
        caller.end(ref)
    assert caller.is_out(lost) and not any(isinstance(a, Cancel) for _, a in caller.log)
    caller.step(EndpointListUpdate(UpdateScope.DELTA, (endpoint_entry("t2", dest=2),)))
    caller.accept()
    caller.accept(dest=2)
    assert [a.ref for _, a in caller.log if isinstance(a, Cancel)] == [lost]


def test_refusals_of_one_burst_count_once() -> None:
    """Regression (incident iae2142): four calls refused together counted as an outage of the destination."""
    caller = Caller(endpoint_entry("t1", weight=20.0), slots=20)
    refs = [caller.accept("unsafe") for _ in range(4)]
    caller.wait(SECOND_US // 10)
    for ref in refs:
        caller.end(ref, Result.FULL)
    assert not caller.logs()


def test_every_message_of_a_call_may_extend_the_retry_after_wait() -> None:
    """Regression (h80106d): the messages of one call receive the retry-after wait in separate batches."""
    caller = Caller(endpoint_entry("t1", kind="batch"))
    caller.step(*[Accept(n, "safe", 1, 20 * SECOND_US) for n in (100, 101)])
    caller.wait(SECOND_US // 10)
    caller.end(100, Result.FULL, wait_us=SECOND_US)
    caller.wait(SECOND_US // 2)
    caller.end(101, Result.FULL, wait_us=SECOND_US)
    refused_at = caller.now
    caller.wait(5 * SECOND_US)
    later = [t for t, _ in caller.sends(since=refused_at)]
    assert later and min(later) > refused_at + SECOND_US


def test_calls_that_cannot_be_repeated_are_cancelled_later() -> None:
    """Regression (i3b514e): orders and payments cancelled for their slots were lost: no retry was safe."""
    for cls, called_off in (("safe", True), ("unsafe", False), ("zoned", False)):
        caller = Caller(endpoint_entry("t1", dest=1, zone="y"), endpoint_entry("t3", dest=3), slots=2)
        caller.accept(cls, dest=1)
        other = caller.accept(cls, dest=1)
        caller.wait(SECOND_US)
        caller.end(other, latency_us=SECOND_US)
        caller.accept(cls, dest=1)
        silence = caller.forwarder.endpoints["t1"].silence_us()
        caller.wait(int(silence) - SECOND_US + SECOND_US // 10)
        caller.accept(dest=3)
        assert any(isinstance(a, Cancel) for _, a in caller.log) is called_off


def test_return_of_one_endpoint_starts_the_slow_start_of_its_siblings() -> None:
    """Regression (run riga rough-1): trials found the three endpoints of one outage half a minute apart."""
    caller = Caller(endpoint_entry("t1"), endpoint_entry("t2"), slots=20)
    caller.watch = lambda now, action: None
    for _ in range(20):
        caller.accept()
        caller.wait(SECOND_US // 10)
        for ref in [r for r, _ in caller.attempts_in_flight]:
            caller.end(ref, Result.CONNECT_FAILED)
    endpoints = caller.forwarder.endpoints.values()
    assert all(e.out_since is not None for e in endpoints)
    while not caller.attempts_in_flight:
        caller.wait(SECOND_US // 10)
    caller.end(next(iter(caller.attempts_in_flight))[0])
    assert all(e.out_since is None and e.ramp_from is not None for e in endpoints)
