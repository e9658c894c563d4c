"""The data structures against plain models, and the selections of the forwarder against full scans."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanspindle import Accept, MessageClass
from rowanspindle.data_structures import DeadlineQueue, PriorityQueue, TimeSortedList
from rowanspindle.held_messages import HeldMessages, Message, urgency_breakpoints
from rowanspindle.logic import Forwarder
from tests.helpers import BASE, KEYED, SAFE, SECOND_US, UNSAFE, ZONED, Caller, endpoint_entry

KEYS, TIMES = st.integers(0, 12), st.integers(0, 40)
STEPS = st.lists(st.tuples(st.sampled_from(["set", "set", "set", "drop", "due"]), KEYS, TIMES), max_size=300)


@given(STEPS)
def test_a_deadline_queue_matches_a_plain_dict(steps: list[tuple[str, int, int]]) -> None:
    queue, model = DeadlineQueue[int](), dict[int, int]()
    for step, key, at in steps:
        match step:
            case "set":
                queue.set(key, at)
                model[key] = at
            case "drop":
                queue.drop(key)
                model.pop(key, None)
            case _:
                due = queue.due(at)
                assert sorted(due) == sorted(k for k, t in model.items() if t <= at)
                assert [model[k] for k in due] == sorted(model[k] for k in due)
                for taken in due:
                    del model[taken]
        assert queue.next_at() == min(model.values(), default=None)
        assert len(queue) == len(model) and queue.get(key) == model.get(key)
        assert (key in queue) is (key in model)
        assert len(queue._heap) <= 2 * len(queue) + 33  # outdated entries do not accumulate


@given(STEPS)
def test_a_priority_queue_matches_a_plain_dict(steps: list[tuple[str, int, int]]) -> None:
    queue, model = PriorityQueue[int](), dict[int, tuple[float, int]]()
    for now, (step, key, at) in enumerate(steps):
        if step == "drop":
            queue.drop(key)
            model.pop(key, None)
        else:
            queue.set(key, (float(at), key), now)
            model.pop(key, None)
            model[key] = float(at), key
        assert queue.first() == min(model, key=lambda k: model[k], default=None)
        assert list(queue) == list(model) and (key in queue) is (key in model)
        assert len(queue._heap) <= 2 * len(queue) + 33
    queue.clear()
    assert queue.first() is None and not queue


@given(st.lists(st.tuples(st.booleans(), TIMES), max_size=200), st.lists(TIMES, min_size=1, max_size=4))
def test_a_time_sorted_list_matches_a_sorted_list(steps: list[tuple[bool, int]], times: list[int]) -> None:
    items, model = TimeSortedList[int](), list[tuple[int, int]]()
    for number, (adds, at) in enumerate(steps):
        if adds or not model:
            items.add(at, number, number)
            model = sorted([*model, (at, number)])
        else:
            items.remove(*model.pop(at % len(model)))
    assert [items[n] for n in range(len(items))] == [number for _, number in model]
    assert [items.before(at) for at in times] == [sum(t < at for t, _ in model) for at in times]
    found = items.around(tuple(times))
    expected = [
        n
        for p, (_, n) in enumerate(model)
        if any(p in (items.before(at) - 1, items.before(at)) for at in times)
    ]
    assert found == (expected if len(model) > 2 * len(times) else [n for _, n in model])
    with pytest.raises(KeyError):
        items.remove(99, 99)


def test_the_first_key_is_updated_until_its_score_is_current() -> None:
    queue, scores, updated = PriorityQueue[str](), {"a": 9.0, "b": 2.0, "c": 3.0}, list[str]()
    for at, (key, score) in enumerate([("a", 1.0), ("b", 2.0), ("c", 3.0)]):
        queue.set(key, (score,), at)

    def update(key: str) -> None:
        updated.append(key)
        queue.set(key, (scores[key],), 10)

    assert queue.first_refreshed(5, 8, update) == "b" and updated == ["a", "b"]
    assert queue.first_refreshed(5, 0, update) == "b"
    updated.clear()
    queue.refresh(5, 1, update)
    assert updated == ["c"]
    queue.refresh(5, 3, update)
    assert updated == ["c"]  # the scores of the other keys are current


def held_messages(cls: MessageClass, times_left_us: list[int], now: int) -> HeldMessages:
    """Return held messages of a class with the given times left."""
    held = HeldMessages()
    for ref, left in enumerate(times_left_us):
        message = Message(Accept(ref, cls.name, 1, left), cls, now, 1.0)
        held.add(message, message.group_for(True))
    return held


@settings(deadline=None)
@given(
    st.sampled_from([SAFE, KEYED, UNSAFE]),
    st.lists(st.integers(1, 20 * SECOND_US), min_size=9, max_size=60),
    st.integers(SECOND_US, 10 * SECOND_US),
    st.integers(1000, 3 * SECOND_US),
    st.booleans(),
)
def test_the_most_urgent_message_is_next_to_a_breakpoint(
    cls: MessageClass, times_left_us: list[int], drain_us: int, mean_us: int, halves: bool
) -> None:
    """A full scan finds no message that is more urgent by over a hundredth of the class's worth."""
    forwarder = Forwarder(replace(BASE, halves=halves), 1)
    forwarder.now = now = 1000 * SECOND_US
    answer = now + mean_us
    ((_, _, messages),) = held_messages(cls, times_left_us, now).sendable()

    def highest_urgency(messages: list[Message]) -> float:
        return max(forwarder.urgency(m, answer, drain_us) for m in messages)

    found = messages.around(urgency_breakpoints(cls, answer, drain_us, halves))
    all_messages = [messages[n] for n in range(len(messages))]
    assert highest_urgency(found) >= highest_urgency(all_messages) - 0.01 * cls.worth
    assert len(found) <= 12


@given(st.lists(st.integers(1, 20 * SECOND_US), min_size=1, max_size=60), st.sampled_from([SAFE, UNSAFE]))
def test_the_least_valuable_message_matches_a_full_scan(times_left_us: list[int], cls: MessageClass) -> None:
    caller = Caller(endpoint_entry("t1", weight=2.0))
    forwarder = caller.forwarder
    destination = forwarder.destinations[1]
    destination.held = held_messages(cls, times_left_us, forwarder.now)
    drained = forwarder.now + forwarder.drain_us(destination)
    least_valuable = forwarder.cheapest(destination)
    all_messages = [messages[n] for messages in destination.held.refusable() for n in range(len(messages))]
    assert least_valuable is not None
    lowest = min((m.value(drained, False), -m.deadline) for m in all_messages)
    assert (least_valuable.value(drained, False), -least_valuable.deadline) == lowest


def test_a_message_bound_to_the_zone_of_an_attempt_is_not_refusable() -> None:
    held, message = (
        HeldMessages(),
        Message(Accept(1, "zoned", 1, SECOND_US, may_have_run=True), ZONED, 0, 1.0),
    )
    message.first_attempt_zone = "z"
    held.add(message, message.group_for(True))
    assert not list(held.refusable()) and [zone for _, zone, _ in held.sendable()] == ["z"]
    assert held.move_to_group(message, message.group_for(False)) and not list(held.sendable())
    held.remove(message)
    assert not held and not held.groups
    with pytest.raises(KeyError):
        held.remove(message)


def calls_of_one_arrival(held: int, dests: int, count_calls: Callable[[Callable[[], object]], int]) -> int:
    """Return the Python function calls of one arrival, with `held` messages held and the hold nearly full."""
    listed = [endpoint_entry(f"t{n}", dest=n) for n in range(dests)]
    caller = Caller(*listed, slots=4, most_held=int(held / 0.92), tenants={})
    for n in range(held):
        caller.now += 1000
        caller.accept(dest=n % dests)
    caller.now += 1000
    event = Accept(10**6, "safe", 3, 20 * SECOND_US)
    return count_calls(lambda: caller.forwarder.decide(caller.now, [event]))


def test_the_cost_of_an_arrival_hardly_depends_on_the_held_messages() -> None:
    """With the hold nearly full, one arrival once cost 55 times as much at 5,000 held messages as at 50."""

    def count(act: Callable[[], object]) -> int:
        calls = 0

        def count_calls(_frame: object, event: str, _arg: object) -> None:
            nonlocal calls
            calls += event in ("call", "c_call")

        gc.disable()
        sys.setprofile(count_calls)
        try:
            act()
        finally:
            sys.setprofile(None)
            gc.enable()
        return calls

    calls_with_few_held, calls_with_many_held = (
        calls_of_one_arrival(50, 30, count),
        calls_of_one_arrival(3000, 30, count),
    )
    assert calls_with_many_held <= 3 * calls_with_few_held


def test_a_freed_slot_does_not_cause_an_update_of_every_destination() -> None:
    """After a time with all slots in use, one round updated every destination that had changed."""
    listed = [endpoint_entry(f"t{n}", dest=n) for n in range(1000)]
    caller = Caller(*listed, slots=2, most_held=5000, tenants={})
    for n in range(1000):
        caller.now += 1000
        caller.accept(dest=n)
    forwarder, updated_destinations = caller.forwarder, list[int]()
    original_look = forwarder.refresh_pick

    def recording_look(number: int) -> None:
        updated_destinations.append(number)
        original_look(number)

    forwarder.refresh_pick = recording_look  # type: ignore[method-assign]
    caller.end(caller.sends()[0][1].ref)
    assert caller.sends()[-1][0] == caller.now and len(updated_destinations) <= 100
    for ref, _ in list(caller.attempts_in_flight):
        caller.end(ref)  # the other destinations are updated in later rounds
    assert len(set(updated_destinations)) > 100
