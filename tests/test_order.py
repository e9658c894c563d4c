"""The ordered structures against plain models, and what the decisions look at against a walk of all."""

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
from tests.helpers import BASE, KEYED, SAFE, SECOND_US, UNSAFE, ZONED, Caller, member

KEYS, TIMES = st.integers(0, 12), st.integers(0, 40)
STEPS = st.lists(st.tuples(st.sampled_from(["set", "set", "set", "drop", "due"]), KEYS, TIMES), max_size=300)


@given(STEPS)
def test_an_agenda_is_a_walk_of_all_its_times(steps: list[tuple[str, int, int]]) -> None:
    agenda, model = DeadlineQueue[int](), dict[int, int]()
    for step, key, at in steps:
        match step:
            case "set":
                agenda.set(key, at)
                model[key] = at
            case "drop":
                agenda.drop(key)
                model.pop(key, None)
            case _:
                due = agenda.due(at)
                assert sorted(due) == sorted(k for k, t in model.items() if t <= at)
                assert [model[k] for k in due] == sorted(model[k] for k in due)
                for taken in due:
                    del model[taken]
        assert agenda.next_at() == min(model.values(), default=None)
        assert len(agenda) == len(model) and agenda.get(key) == model.get(key)
        assert (key in agenda) is (key in model)
        assert len(agenda._heap) <= 2 * len(agenda) + 33  # overtaken entries do not pile up


@given(STEPS)
def test_a_ranking_is_a_walk_of_all_its_scores(steps: list[tuple[str, int, int]]) -> None:
    ranking, model = PriorityQueue[int](), dict[int, tuple[float, int]]()
    for now, (step, key, at) in enumerate(steps):
        if step == "drop":
            ranking.drop(key)
            model.pop(key, None)
        else:
            ranking.set(key, (float(at), key), now)
            model.pop(key, None)
            model[key] = float(at), key
        assert ranking.first() == min(model, key=lambda k: model[k], default=None)
        assert list(ranking) == list(model) and (key in ranking) is (key in model)
        assert len(ranking._heap) <= 2 * len(ranking) + 33
    ranking.clear()
    assert ranking.first() is None and not ranking


@given(st.lists(st.tuples(st.booleans(), TIMES), max_size=200), st.lists(TIMES, min_size=1, max_size=4))
def test_things_by_time_are_a_sorted_list(steps: list[tuple[bool, int]], asked: list[int]) -> None:
    things, model = TimeSortedList[int](), list[tuple[int, int]]()
    for number, (adds, at) in enumerate(steps):
        if adds or not model:
            things.add(at, number, number)
            model = sorted([*model, (at, number)])
        else:
            things.remove(*model.pop(at % len(model)))
    assert [things[n] for n in range(len(things))] == [number for _, number in model]
    assert [things.before(at) for at in asked] == [sum(t < at for t, _ in model) for at in asked]
    found = things.around(tuple(asked))
    wanted = [
        n
        for p, (_, n) in enumerate(model)
        if any(p in (things.before(at) - 1, things.before(at)) for at in asked)
    ]
    assert found == (wanted if len(model) > 2 * len(asked) else [n for _, n in model])
    with pytest.raises(KeyError):
        things.remove(99, 99)


def test_the_first_of_a_ranking_is_looked_at_until_it_stands() -> None:
    ranking, scores, looked = PriorityQueue[str](), {"a": 9.0, "b": 2.0, "c": 3.0}, list[str]()
    for at, (key, score) in enumerate([("a", 1.0), ("b", 2.0), ("c", 3.0)]):
        ranking.set(key, (score,), at)

    def look(key: str) -> None:
        looked.append(key)
        ranking.set(key, (scores[key],), 10)

    assert ranking.first_refreshed(5, 8, look) == "b" and looked == ["a", "b"]
    assert ranking.first_refreshed(5, 0, look) == "b"
    looked.clear()
    ranking.refresh(5, 1, look)
    assert looked == ["c"]
    ranking.refresh(5, 3, look)
    assert looked == ["c"]  # the others stand


def waiting(cls: MessageClass, lefts: list[int], now: int) -> HeldMessages:
    """A hold with messages of a class that have so long left."""
    hold = HeldMessages()
    for ref, left in enumerate(lefts):
        message = Message(Accept(ref, cls.name, 1, left), cls, now, 1.0)
        hold.add(message, message.group_for(True))
    return hold


@settings(deadline=None)
@given(
    st.sampled_from([SAFE, KEYED, UNSAFE]),
    st.lists(st.integers(1, 20 * SECOND_US), min_size=9, max_size=60),
    st.integers(SECOND_US, 10 * SECOND_US),
    st.integers(1000, 3 * SECOND_US),
    st.booleans(),
)
def test_the_most_urgent_stands_at_a_turn(
    cls: MessageClass, lefts: list[int], drain_us: int, mean_us: int, halves: bool
) -> None:
    """A walk of the whole hold finds nothing that is more urgent by a hundredth of a worth."""
    forwarder = Forwarder(replace(BASE, halves=halves), 1)
    forwarder.now = now = 1000 * SECOND_US
    answer = now + mean_us
    ((_, _, line),) = waiting(cls, lefts, now).sendable()

    def most(messages: list[Message]) -> float:
        return max(forwarder.urgency(m, answer, drain_us) for m in messages)

    found = line.around(urgency_breakpoints(cls, answer, drain_us, halves))
    everything = [line[n] for n in range(len(line))]
    assert most(found) >= most(everything) - 0.01 * cls.worth
    assert len(found) <= 12


@given(st.lists(st.integers(1, 20 * SECOND_US), min_size=1, max_size=60), st.sampled_from([SAFE, UNSAFE]))
def test_the_least_valuable_is_that_of_a_walk(lefts: list[int], cls: MessageClass) -> None:
    caller = Caller(member("t1", weight=2.0))
    forwarder = caller.forwarder
    destination = forwarder.destinations[1]
    destination.held = waiting(cls, lefts, forwarder.now)
    drained = forwarder.now + forwarder.drain_us(destination)
    least = forwarder.cheapest(destination)
    everything = [line[n] for line in destination.held.refusable() for n in range(len(line))]
    assert least is not None
    best = min((m.value(drained, False), -m.deadline) for m in everything)
    assert (least.value(drained, False), -least.deadline) == best


def test_what_has_run_in_its_zone_is_no_spare() -> None:
    hold, message = (
        HeldMessages(),
        Message(Accept(1, "zoned", 1, SECOND_US, may_have_run=True), ZONED, 0, 1.0),
    )
    message.first_attempt_zone = "z"
    hold.add(message, message.group_for(True))
    assert not list(hold.refusable()) and [zone for _, zone, _ in hold.sendable()] == ["z"]
    assert hold.move(message, message.group_for(False)) and not list(hold.sendable())
    hold.remove(message)
    assert not hold and not hold.groups
    with pytest.raises(KeyError):
        hold.remove(message)


def calls_of_a_round(held: int, dests: int, count_calls: Callable[[Callable[[], object]], int]) -> int:
    """Function calls of one arrival with so many held, the hold nearly full."""
    listed = [member(f"t{n}", dest=n) for n in range(dests)]
    caller = Caller(*listed, slots=4, most_held=int(held / 0.92), tenants={})
    for n in range(held):
        caller.now += 1000
        caller.accept(dest=n % dests)
    caller.now += 1000
    event = Accept(10**6, "safe", 3, 20 * SECOND_US)
    return count_calls(lambda: caller.forwarder.decide(caller.now, [event]))


def test_a_round_costs_what_happened_in_it_and_not_what_is_held() -> None:
    """One message in with the hold nearly full cost 55 times as much at 5,000 held as at 50."""

    def count(act: Callable[[], object]) -> int:
        calls = 0

        def tally(_frame: object, event: str, _arg: object) -> None:
            nonlocal calls
            calls += event in ("call", "c_call")

        gc.disable()
        sys.setprofile(tally)
        try:
            act()
        finally:
            sys.setprofile(None)
            gc.enable()
        return calls

    small, large = calls_of_a_round(50, 30, count), calls_of_a_round(3000, 30, count)
    assert large <= 3 * small


def test_a_slot_that_frees_costs_no_look_at_every_destination() -> None:
    """After a time with all slots taken, one round looked at each destination that had been stirred."""
    listed = [member(f"t{n}", dest=n) for n in range(1000)]
    caller = Caller(*listed, slots=2, most_held=5000, tenants={})
    for n in range(1000):
        caller.now += 1000
        caller.accept(dest=n)
    forwarder, looks = caller.forwarder, list[int]()
    inner = forwarder.refresh_pick

    def counted(number: int) -> None:
        looks.append(number)
        inner(number)

    forwarder.refresh_pick = counted  # type: ignore[method-assign]
    caller.end(caller.sends()[0][1].ref)
    assert caller.sends()[-1][0] == caller.now and len(looks) <= 100
    for ref, _ in list(caller.out):
        caller.end(ref)  # the others are looked at as it goes on
    assert len(set(looks)) > 100
