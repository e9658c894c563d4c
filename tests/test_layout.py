"""Layouts: the same on every site for any order of events, nothing dropped too soon, damage ignored."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Any

import msgspec
import pytest
from blake3 import blake3
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrack.channels.events import FLEET, KEPT, LAYOUT, Event, packed
from rowanrack.channels.layout import INITIAL_PLACE, RANKING_SITE_COUNT, Layout, Layouts

NOW = 1_000_000_000


def event(number: int, kind: str, data: Any, site: str = "a", at: int = NOW) -> Event:
    return Event(FLEET, site, "1", number, at, 0, kind, data if isinstance(data, bytes) else packed(data))


def layout(number: int, since: int, sites: str, /, site: str = "a", version: int = 0, **more: Any) -> Event:
    doc = {"version": version or number, "from": since, "shards": 64, "keepers": 2,
           "sites": [[name, 1] for name in sites]} | more  # fmt: skip
    return event(number, LAYOUT, doc, site, since)


def confirmed(layouts: Layouts, site: str) -> list[Event]:
    """The events that a site writes once it has fetched all that it has to keep."""
    return [event(100 + i, KEPT, m.payload(), site) for i, m in enumerate(layouts.moves(site))]


def fed(events: Iterable[Event], now: int = 0, file: str = "abcde", more: Layouts | None = None) -> Layouts:
    layouts = more or Layouts([*file])
    layouts.passed(now)
    for each in events:
        layouts.saw(each)
    return layouts


def view(layouts: Layouts) -> tuple[list[Layout], list[object]]:
    times, channels = range(NOW - 10, NOW + 60, 5), ["1", "22", FLEET]
    found: list[object] = [layouts.refused, *map(layouts.at, times), *map(layouts.moves, "abcde")]
    found += [layouts.keepers(c, t) for c in channels for t in times]
    found += [(layouts.wants(s, c, "x"), layouts.may_drop(s, c)) for s in "abcde" for c in channels]
    return layouts.history(), found


SITES = st.sampled_from(["abc", "bcd", "ax", "de"])
TOLD = st.lists(st.tuples(st.integers(0, 5), st.integers(1, 3), SITES, st.sampled_from("ab")), max_size=6)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(TOLD, st.integers(0, 60), st.randoms(use_true_random=False))
def test_layouts_do_not_depend_on_the_order_of_events(told: list[Any], gone: int, chance: Random) -> None:
    events = [layout(n, NOW + t[0] * 10, t[2], t[3], t[1], shards=40 + n % 2) for n, t in enumerate(told, 1)]
    first = fed(events, NOW + gone)
    mixed = 2 * (events + confirmed(first, "b") + confirmed(first, "c")[::2]) + [event(1, LAYOUT, b"", "z")]
    agreed = view(once := fed(mixed, NOW + gone))
    chance.shuffle(mixed)
    other = fed([], NOW)
    for n, each in enumerate(mixed):  # cached results must not outlive an event
        fed([each], NOW + gone * (n > len(mixed) // 2), more=other)
        held = [other._holders(str(channel))[:2] for channel in range(40)]
    assert view(other) == agreed and len(other.history()) == 1 + len(events)
    assert held == [once._holders(str(channel))[:2] for channel in range(40)]


def test_of_two_layouts_with_the_same_start_the_one_with_the_later_place_is_valid() -> None:
    layouts = fed([layout(1, NOW, "cd", "b"), layout(1, NOW, "ab", "a")] * 2)
    assert [name for name, _ in layouts.at(NOW).sites] == ["c", "d"]
    assert layouts.at(NOW - 1).version == 0 and len(layouts.history()) == 3


def test_shards_are_shared_by_weight_and_a_new_site_takes_only_its_share() -> None:
    sites = (("a", 1.0), ("b", 1.0), ("c", 2.0))
    old, new = (Layout(0, INITIAL_PLACE, 1, 4096, 1, each) for each in (sites, (*sites, ("d", 1.0))))
    counts = Counter(old.keepers(shard)[0] for shard in range(4096))
    assert 0.45 < counts["c"] / 4096 < 0.55 and 0.2 < counts["a"] / 4096 < 0.3
    moved = [new.keepers(s)[0] for s in range(4096) if new.keepers(s) != old.keepers(s)]
    assert set(moved) == {"d"} and 0.15 < len(moved) / 4096 < 0.25


def scored(layout: Layout, shard: int) -> tuple[str, ...]:
    """Weighted rendezvous hashing as specified: other versions must find the same keepers."""
    scores = list[tuple[float, str]]()
    for site, weight in layout.sites:
        drawn = blake3(f"{shard}/{site}".encode()).digest(length=8)
        scores.append((weight / math.log(((int.from_bytes(drawn) >> 12) + 0.5) / 2**52), site))
    return tuple(site for _, site in sorted(scores)[: layout.keeper_count])


@pytest.mark.parametrize("weights", [(1.0,), (1.0, 2.5), (0.01, 1.0, 40.0, 0.5)])
def test_rankings_give_the_same_keepers_as_sorting_all_sites(weights: tuple[float, ...]) -> None:
    chance = Random(1)
    layouts = Layouts([f"s{n}" for n in range(2 * RANKING_SITE_COUNT)])
    for number, count in enumerate(
        (2 * RANKING_SITE_COUNT, RANKING_SITE_COUNT, 3, 5 * RANKING_SITE_COUNT, 1), 1
    ):
        sites = [
            [f"s{n}", chance.choice(weights)] for n in chance.sample(range(5 * RANKING_SITE_COUNT), count)
        ]
        told: dict[str, Any] = {"sites": sites, "shards": 24, "keepers": chance.randint(1, 16)}
        layouts.saw(layout(number, NOW + number, "a", **told))
    chance.shuffle(all_of := layouts.history() * 2)
    for each in all_of:
        assert all(each.keepers(shard) == scored(each, shard) for shard in range(24))


def test_a_new_layout_needs_few_hashes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a stall: without rankings a new layout cost each of 200 senders 12,600 hashes."""
    hashes = [0]

    def counted(data: bytes) -> Any:
        hashes[0] += 1
        return blake3(data)

    monkeypatch.setattr("rowanrack.channels.layout.blake3", counted)
    names = [f"s{n}" for n in range(200)]
    told = layout(1, NOW, "", sites=[[name, 1] for name in [*names[3:], "new"]])
    log, loop = Layouts(names), Layouts(names)
    while hashes[0] < 64 * 200:
        began = hashes[0]
        log.prepare(1600)
        assert 0 < hashes[0] - began <= 1600
    for each in (log, loop):
        hashes[0] = 0
        fed([told], NOW, more=each)
        if each is log:
            moves = [(site, move) for site in [*names, "new"] for move in each.moves(site)]
            assert len(moves) == 128 and hashes[0] <= 64  # the new site's
        fed([event(n, KEPT, move.payload(), site) for n, (site, move) in enumerate(moves, 5)], NOW, more=each)
        each.keepers("one", NOW)
        assert hashes[0] <= 64 + 202  # the event loop ranks only the shard that was asked for


def test_an_old_keeper_may_not_drop_a_channel_until_each_new_keeper_has_confirmed() -> None:
    layouts = fed([layout(1, NOW, "cd")])
    channel = next(str(n) for n in range(99) if {k.site for k in layouts.keepers(str(n), 0)} >= {"a", "b"})
    assert layouts.wants("c", channel, "x") and len(layouts.moves("c")) == 64  # announced
    layouts.passed(NOW + 1)
    assert {k.site for k in layouts.keepers(channel, NOW + 1) if k.whole} == {"a", "b"}
    fed(confirmed(layouts, "c"), NOW + 1, more=layouts)
    assert layouts.wants("a", channel, "x") and not layouts.may_drop("a", channel)
    fed(confirmed(layouts, "d"), NOW + 1, more=layouts)
    assert layouts.may_drop("a", channel) and not layouts.wants("a", channel, "x")
    assert layouts.wants("a", channel, "a") and layouts.wants("a", FLEET, "x")
    assert not layouts.moves("c") and not layouts.moves("d")
    took = layouts.keepers(channel, NOW - 5)  # a and b kept it at that time; c and d replaced them
    assert {(k.site, k.whole, tuple(sorted(k.instead_of))) for k in took} == {
        ("c", True, ("a", "b")), ("d", True, ("a", "b"))}  # fmt: skip


def test_a_late_layout_does_not_make_a_site_whole_that_may_have_dropped_the_shard() -> None:
    seen = [layout(1, NOW, "bc")]
    layouts = fed(seen, NOW + 5, "abc")
    seen += [*confirmed(layouts, "b"), *confirmed(layouts, "c")]
    assert fed(seen, NOW + 5, "abc").may_drop("a", "1")
    late = [layout(1, NOW, "ab", "z"), layout(2, NOW - 9, "xy", "z")]  # one displaces it, one comes before
    for told in (late[:1], late, late[1:]):
        other = fed([*seen, *told], NOW + 5, "abc")
        assert not {k.site: k.whole for k in other.keepers("1", NOW + 5)}.get("a", False)
        assert len(other.moves("a")) == 64 * (late[0] in told)


def test_whole_keepers_come_first_and_a_layout_is_valid_only_from_its_start() -> None:
    told = [layout(1, NOW, "c", keepers=1), layout(2, NOW + 9, "ex")]  # e and x are not in the file
    layouts = fed(told, NOW, "abc")
    channel = next(str(n) for n in range(99) if {k.site for k in layouts.keepers(str(n), 0)} >= {"a", "b"})
    assert not layouts.may_drop("c", channel) and not layouts.may_drop("a", channel)
    asked = layouts.keepers(channel, NOW)
    assert [k.whole for k in asked] == [True, True, False] and asked[2].site == "c"
    fed(confirmed(layouts, "c"), NOW, more=layouts)
    assert layouts.keepers(channel, NOW)[0].whole and layouts.may_drop("a", channel)
    layouts.passed(NOW - 1)  # the clock was set back
    assert not layouts.may_drop("a", channel)


def test_a_confirmation_counts_for_one_layout_even_if_two_have_its_version() -> None:
    layouts = fed([layout(1, NOW, "cd", version=7)], NOW)
    other, nameless = layout(1, NOW, "ce", "z", version=7), event(500, KEPT, {"version": 7, "shard": 1}, "c")
    fed([*confirmed(layouts, "c"), other, nameless], NOW, more=layouts)
    assert len(layouts.moves("c")) == 64 and layouts.refused_count == 1


BAD: list[Any] = [
    b"\xc1", b"\x91" * 5000, b"\x90", b"\x81\xa1x" + b"\x91" * 9000, {"version": "1"}, {"version": 0},
    {"version": True}, {"from": None}, {"from": -1}, {"from": NOW - 61_000_000}, {"from": NOW * 10**6},
    {"from": 1.5}, {"shards": 0}, {"shards": 10**9}, {"keepers": 0}, {"keepers": 99}, {"sites": []},
    {"sites": [["a"]]}, {"sites": [["a", 0]]}, {"sites": [["a", -1]]}, {"sites": [["a", float("nan")]]},
    {"sites": [["a", float("inf")]]}, {"sites": [["", 1]]}, {"sites": [["a", 1], ["a", 2]]},
    {"sites": [[b"a", 1]]}, {"sites": {"a": 1}}, {"sites": 5},
]  # fmt: skip


@pytest.mark.parametrize("bad", BAD)
def test_a_damaged_layout_is_listed_as_refused_and_ignored(bad: Any) -> None:
    if isinstance(bad, dict):
        bad = msgspec.msgpack.encode(msgspec.msgpack.decode(layout(1, NOW, "ab").data) | bad)
    layouts = fed([event(1, LAYOUT, bad)] * 2)
    assert len(layouts.history()) == 1 and layouts.refused_count == 1
    assert [name for name, why in layouts.refused if why.startswith("layout: ")] == ["a/1/1"]
    many = fed(event(number, KEPT, {"version": "x"}) for number in range(300))
    assert many.refused_count == 300 and len(many.refused) == 100
