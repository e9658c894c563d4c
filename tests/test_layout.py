"""Layouts: the same everywhere whatever came first, nothing dropped too soon, damage passed over."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrack.channels.events import FLEET, KEPT, LAYOUT, Event, packed
from rowanrack.channels.layout import Layout, Layouts

FILE = ["a", "b", "c", "d", "e"]
NOW = 1_000_000_000


def event(number: int, kind: str, data: Any, site: str = "a", at: int = NOW) -> Event:
    return Event(FLEET, site, "1", number, at, 0, kind, data if isinstance(data, bytes) else packed(data))


def layout(number: int, since: int, sites: str, site: str = "a", version: int = 0, **more: Any) -> Event:
    doc = {"version": version or number, "from": since, "shards": 64, "keepers": 2,
           "sites": [[name, 1] for name in sites]} | more  # fmt: skip
    return event(number, LAYOUT, doc, site, since)


def confirmed(layouts: Layouts, site: str, start: int = 100) -> list[Event]:
    """What a site writes once it has fetched all that it is to keep."""
    return [event(start + i, KEPT, m.payload(), site) for i, m in enumerate(layouts.moves(site))]


def view(layouts: Layouts) -> Any:
    channels = ["1", "22", FLEET]
    return (
        layouts.history(), layouts.refused,
        [layouts.at(t) for t in range(NOW - 10, NOW + 60, 5)],
        [layouts.keepers(c, t) for c in channels for t in range(NOW - 10, NOW + 60, 10)],
        [(layouts.wants(s, c, "x"), layouts.may_drop(s, c)) for s in FILE for c in channels],
        [layouts.moves(s) for s in FILE],
    )  # fmt: skip


@settings(max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.integers(1, 3),
            st.sampled_from(["abc", "bcd", "ax", "de"]),
            st.sampled_from("ab"),
        ),
        max_size=6,
    ),
    st.integers(0, 60),
    st.integers(0, 99),
)
def test_two_sites_agree_whatever_came_first(told: list[Any], gone: int, seed: int) -> None:
    events = [layout(n, NOW + at * 10, sites, site, version)
              for n, (at, version, sites, site) in enumerate(told, 1)]  # fmt: skip
    first = Layouts(FILE)
    for each in events:
        first.saw(each)
    first.passed(NOW + gone)
    kept = confirmed(first, "b") + confirmed(first, "c", 900)[::2]
    mixed = [*events, *kept, *kept, event(1, LAYOUT, b"\xc1", "z")]
    views = []
    for turn in range(2):
        other = Layouts(FILE)
        other.passed(NOW + gone * turn)
        for each in sorted(mixed, key=lambda e: e.id) if turn else mixed:
            other.saw(each)
        other.passed(NOW + gone)
        views.append(view(other))
        Random(seed).shuffle(mixed)
    assert views[0] == views[1] and len(views[0][0]) == 1 + len(events)


def test_of_two_layouts_of_one_time_the_later_place_holds_and_both_stay() -> None:
    layouts = Layouts(FILE)
    for each in (layout(1, NOW, "cd", "b"), layout(1, NOW, "ab", "a")):
        layouts.saw(each)
        layouts.saw(each)
    assert [name for name, _ in layouts.at(NOW).sites] == ["c", "d"]
    assert layouts.at(NOW - 1).version == 0 and len(layouts.history()) == 3


def test_weights_share_the_shards_and_a_new_site_moves_only_its_part() -> None:
    counts: Counter[str] = Counter()
    old = Layout(0, layout(1, NOW, "a").place, 1, 4096, 1, (("a", 1.0), ("b", 1.0), ("c", 2.0)))
    new = Layout(0, old.place, 2, 4096, 1, (*old.sites, ("d", 1.0)))
    counts.update(old.keepers(shard)[0] for shard in range(4096))
    assert 0.45 < counts["c"] / 4096 < 0.55 and 0.2 < counts["a"] / 4096 < 0.3
    moved = [new.keepers(s)[0] for s in range(4096) if new.keepers(s) != old.keepers(s)]
    assert set(moved) == {"d"} and 0.15 < len(moved) / 4096 < 0.25


def test_an_old_keeper_holds_until_each_new_one_has_confirmed() -> None:
    layouts = Layouts(FILE)
    channel = next(str(n) for n in range(99) if {k.site for k in layouts.keepers(str(n), 0)} == {"a", "b"})
    layouts.saw(layout(1, NOW, "cd"))
    assert layouts.wants("c", channel, "x") and len(layouts.moves("c")) == 64  # announced
    layouts.passed(NOW + 1)
    assert {k.site for k in layouts.keepers(channel, NOW + 1) if k.whole} == {"a", "b"}
    for each in confirmed(layouts, "c"):
        layouts.saw(each)
    assert layouts.wants("a", channel, "x") and not layouts.may_drop("a", channel)
    for each in confirmed(layouts, "d"):
        layouts.saw(each)
    assert layouts.may_drop("a", channel) and not layouts.wants("a", channel, "x")
    assert layouts.wants("a", channel, "a") and layouts.wants("a", FLEET, "x")
    assert not layouts.moves("c") and not layouts.moves("d")
    took = layouts.keepers(channel, NOW - 5)  # as of then a and b kept it; c and d took over
    assert {(k.site, k.whole, tuple(sorted(k.instead_of))) for k in took} == {
        ("c", True, ("a", "b")), ("d", True, ("a", "b"))}  # fmt: skip


def test_a_site_that_may_have_dropped_a_shard_is_not_whole_again_by_a_layout_that_comes_late() -> None:
    layouts = Layouts(["a", "b", "c"])
    layouts.passed(NOW + 5)
    seen = [layout(1, NOW, "bc")]
    layouts.saw(seen[0])
    seen += [*confirmed(layouts, "b"), *confirmed(layouts, "c")]
    for each in seen:
        layouts.saw(each)
    assert layouts.may_drop("a", "1")
    late = [layout(1, NOW, "ab", "z"), layout(2, NOW - 9, "xy", "z")]  # one displaces it, one comes before
    for told in (late[:1], late, late[1:]):
        other = Layouts(["a", "b", "c"])
        other.passed(NOW + 5)
        for each in [*seen, *told]:
            other.saw(each)
        assert {k.site: k.whole for k in other.keepers("1", NOW + 5)}.get("a", False) is False
        assert len(other.moves("a")) == 64 * (late[0] in told)


def test_whole_keepers_are_asked_first_and_a_layout_counts_from_its_time_on() -> None:
    layouts = Layouts(["a", "b", "c"])
    layouts.saw(layout(1, NOW, "c", keepers=1))
    layouts.saw(layout(2, NOW + 9, "ex", keepers=2))  # neither is in the operators' file, or not yet
    channel = next(str(n) for n in range(99) if {k.site for k in layouts.keepers(str(n), 0)} >= {"a", "b"})
    layouts.passed(NOW)
    assert not layouts.may_drop("c", channel) and not layouts.may_drop("a", channel)
    asked = layouts.keepers(channel, NOW)
    assert [k.whole for k in asked] == [True, True, False] and asked[2].site == "c"
    for each in confirmed(layouts, "c"):
        layouts.saw(each)
    assert layouts.keepers(channel, NOW)[0].whole and layouts.may_drop("a", channel)
    layouts.passed(NOW - 1)  # the clock was set back
    assert not layouts.may_drop("a", channel)


def test_a_confirmation_is_of_one_layout_where_two_bear_its_version() -> None:
    layouts = Layouts(["a", "b"])
    layouts.passed(NOW)
    layouts.saw(layout(1, NOW, "cd", version=7))
    kept = confirmed(layouts, "c")
    layouts.saw(layout(1, NOW, "ce", "z", version=7))  # displaces it
    for each in (*kept, event(500, KEPT, {"version": 7, "shard": 1}, "c")):
        layouts.saw(each)
    assert len(layouts.moves("c")) == 64 and layouts.refused_count == 1


@pytest.mark.parametrize(
    "bad",
    [
        b"\xc1", b"\x91" * 5000, b"\x90", b"\x80",
        b"\x81\xa1x" + b"\x91" * 9000, {"version": "1"}, {"version": 0}, {"version": True},
        {"from": None}, {"from": -1}, {"from": NOW - 61_000_000}, {"from": NOW * 10**6}, {"from": 1.5},
        {"shards": 0}, {"shards": 10**9}, {"keepers": 0}, {"keepers": 99}, {"sites": []}, {"sites": 5},
        {"sites": [["a"]]}, {"sites": [["a", 0]]}, {"sites": [["a", -1]]}, {"sites": [["a", float("nan")]]},
        {"sites": [["a", float("inf")]]}, {"sites": [["", 1]]}, {"sites": [["a", 1], ["a", 2]]},
        {"sites": [[b"a", 1]]}, {"sites": {"a": 1}},
    ],
)  # fmt: skip
def test_a_damaged_layout_is_named_and_passed_over(bad: Any) -> None:
    layouts = Layouts(FILE)
    if isinstance(bad, dict):
        good = msgspec.msgpack.decode(layout(1, NOW, "ab").data)
        bad = msgspec.msgpack.encode(good | bad)
    for _ in range(2):
        layouts.saw(event(1, LAYOUT, bad))
    assert len(layouts.history()) == 1 and layouts.refused_count == 1
    assert [name for name, why in layouts.refused if why.startswith("layout: ")] == ["a/1/1"]


def test_damage_that_repeats_is_counted_but_named_only_so_often() -> None:
    layouts = Layouts(FILE)
    for number in range(300):
        layouts.saw(event(number, KEPT, {"version": "x"}))
    assert layouts.refused_count == 300 and len(layouts.refused) == 100
