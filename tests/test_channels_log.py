"""One site's event log: its clock, what it keeps of others, its promises, and detaches as a set."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrack.channels.bans import Detaches
from rowanrack.channels.clock import Hybrid
from rowanrack.channels.events import (
    ATTACHED,
    DETACHED,
    FLEET,
    START,
    Event,
    Place,
    Stream,
    branched,
    chained,
    packed,
)
from rowanrack.channels.log import Log, Noted, Promise
from rowanrack.channels.past import ChannelState
from rowanrack.store.log_memory import MemoryLog

S = 1_000_000
HOUR = 3600 * S


@dataclass
class Hands:
    """A clock set by hand: `off` is how far its Unix time is from the true one."""

    now: int = 1000 * HOUR
    off: int = 0

    def unix_us(self) -> int:
        return self.now + self.off

    def now_us(self) -> int:
        return self.now


def log(
    site: str, time: Hands, store: MemoryLog | None = None, life: str = "x", members: str = "abc"
) -> tuple[Log, list[str]]:
    said: list[str] = []
    made = Log(store or MemoryLog(), time, site, members, said.append, draw=lambda: life)
    made.open()
    return made, said


def note(log: Log, channel: str = FLEET, seen: Any = (), **data: Any) -> Event:
    return log.write([Noted(channel, "k", packed(data), log._time.unix_us(), seen)])[0]


def test_a_clock_set_back_puts_no_effect_before_its_cause() -> None:
    time = Hands()
    clock = Hybrid(time)
    first = clock.stamp()
    time.off = -HOUR
    assert clock.stamp() > first
    ahead = Place(time.now + 59 * S, 3, "b", "x", 1)  # our own time, as it went on from before
    assert clock.merged(ahead)
    assert clock.stamp() == (ahead.at, 4)


def test_a_clock_hours_ahead_is_named_once_kept_and_not_followed() -> None:
    here, said = log("a", time := Hands())
    other, _ = log("b", Hands(off=3 * HOUR))
    far = [note(other) for _ in range(3)]
    assert here.merge(far) == far
    assert said == [
        "the clock of b is 10800 s ahead of ours: its events are kept, our clock does not follow it"
    ]
    assert note(here).at <= time.now + S
    named = note(here, seen=[far[1].place])
    assert far[1].place < named.place and named.at == far[1].at
    assert note(here).place > named.place, "along its stream both grow"
    assert note(here, "1").at <= time.now + S, "other channels stay at our time"


def test_a_promise_outlasts_a_kill_and_a_clock_set_back() -> None:
    store, time = MemoryLog(), Hands()
    here, _ = log("a", time, store)
    promised = here.promise().at
    assert promised >= time.now
    time.off = -HOUR
    assert note(here).at > promised
    promised = here.promise().at
    store.close()
    again, _ = log("a", time, store)
    assert again.life == "x" and note(again).at > promised
    assert again.promise().at > promised


def test_a_log_that_lost_its_disk_has_a_new_incarnation() -> None:
    old, _ = log("a", time := Hands(), life="one")
    new, _ = log("a", time, life="two")
    other, _ = log("b", time)
    assert other.merge([note(old), note(new)]) == other.read(FLEET, None, 1 << 62, 9)
    assert {head.stream.life for head in other.heads()} == {"one", "two"}


BAD: dict[
    str, tuple[dict[str, Any], bool]
] = {  # what is changed of the second event of three, and its chain too
    "damaged bytes": ({"data": b"\x81\xa1x\x02"}, False),
    "another chain": ({"chain": b"12345678"}, False),
    "a short chain": ({"chain": b"1"}, False),
    "a time that goes back": ({"at": 1}, True),
    "a time past 64 bits": ({"at": 1 << 63}, True),
    "too large": ({"data": packed({"x": "y" * 70_000})}, True),
    "a kind without end": ({"kind": "k" * 300}, True),
}


@pytest.mark.parametrize(("change", "chain"), BAD.values(), ids=BAD.keys())
def test_what_does_not_verify_is_not_kept(change: dict[str, Any], chain: bool) -> None:
    other, _ = log("b", Hands())
    here, _ = log("a", Hands())
    sent = [note(other, x=1) for _ in range(3)]
    bad = msgspec.structs.replace(sent[1], **change)
    if chain:
        bad = msgspec.structs.replace(bad, chain=chained(sent[0].chain, bad))
    broken: set[Stream] = set()
    assert here.merge([sent[0], bad, sent[2]], broken) == sent[:1]
    assert broken == {sent[0].stream}
    assert here.merge(sent[2:]) == [], "never behind a hole"
    assert here.merge(sent) == sent[1:]
    assert here.merge(sent) == []


def branches() -> tuple[list[Event], list[Event]]:
    """Two processes that wrote as b/x from a copied folder: both begin alike."""
    time = Hands()
    one, _ = log("b", time)
    two, _ = log("b", time)
    start = [note(one, n=n) for n in range(2)]
    two.merge(start)
    time.now += S
    return (
        start + [note(one, w="one", n=n) for n in range(3)],
        start + [note(two, w="two", n=n) for n in range(2)],
    )


def test_two_under_one_name_are_told_apart_alike_whichever_came_first() -> None:
    ends = []
    for first, second in itertools.permutations(branches()):
        here, _ = log("a", Hands())
        peer, _ = log("c", Hands())
        broken: set[Stream] = set()
        here.merge(first)
        peer.merge(second)
        assert here.merge(second[2:3], broken) == []
        assert here.fork(second) in (2, len(second))
        peer.fork(first)
        for log_, other in ((here, peer), (peer, here)):
            log_.merge(other.read(FLEET, None, 1 << 62, 99))
        assert msgspec.msgpack.encode(here.read(FLEET, None, 1 << 62, 99)) == msgspec.msgpack.encode(
            peer.read(FLEET, None, 1 << 62, 99)
        )
        ends.append(here.read(FLEET, None, 1 << 62, 99))
    assert ends[0] == ends[1]
    assert len(ends[0]) == 7 and len({event.life for event in ends[0]}) == 2


def test_a_process_whose_branch_gave_way_goes_on_under_a_new_incarnation() -> None:
    time = Hands()
    lives = iter("xyz")
    logs = [Log(MemoryLog(), time, "b", "b", lambda line: None, draw=lambda: next(lives)) for _ in range(2)]
    for each in logs:
        each.open()
        each.life = "x"
    mine = [[note(each, n=n)] for n, each in enumerate(logs)]
    loser = max((0, 1), key=lambda n: mine[n][0].chain)
    logs[loser].fork(mine[1 - loser])
    assert note(logs[loser]).number == 1
    assert logs[loser].life == "z" and logs[loser].rewritten == 1
    assert len(logs[loser].read(FLEET, None, 1 << 62, 9)) == 3


def test_a_promise_in_a_name_that_two_used_does_not_count() -> None:
    for runs in (branches()[:1], branches(), branches()[::-1]):
        here, _ = log("a", time := Hands(), members="ab")
        here.merge(runs[0])
        here.fork(runs[-1])
        here.heard("b", [Promise("b", "x", time.now, b"")])
        here.heard("b", [Promise("b", "x", time.now + 1, here.lives())])
        assert (here.settled_until(FLEET)[0] > 0) == (here.rewritten == 0)


def ban(kind: str, site: str, number: int, endpoint: str, undoes: Any = ()) -> Event:
    data = {"endpoint": endpoint, "undoes": list(undoes)} if kind == ATTACHED else {"endpoint": endpoint}
    return Event(FLEET, site, "x", number, number, 0, kind, packed(data), START)


def test_both_done_while_cut_apart_leaves_it_detached() -> None:
    here, there = Detaches(), Detaches()
    first = ban(DETACHED, "a", 1, "e")
    for each in (here, there):
        each.saw(first)
    back = ban(ATTACHED, "a", 2, "e", here.undoes("e"))
    again = ban(DETACHED, "b", 1, "e")
    here.saw(back)
    there.saw(again)
    assert here.detached() == set()
    here.saw(again)
    there.saw(back)
    assert here.detached() == there.detached() == {"e"}
    assert here.undoes("e") == [["b", "x", 1]]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.data())
def test_detaches_are_the_same_set_in_any_order(data: st.DataObject) -> None:
    at_writer: dict[str, Detaches] = {"a": Detaches(), "b": Detaches()}
    events: list[Event] = []
    for number in range(1, data.draw(st.integers(1, 8)) + 1):
        site, endpoint = data.draw(st.sampled_from("ab")), data.draw(st.sampled_from("ef"))
        kind = data.draw(st.sampled_from([DETACHED, ATTACHED]))
        event = ban(kind, site, number, endpoint, at_writer[site].undoes(endpoint))
        at_writer[site].saw(event)
        events.append(event)
        if data.draw(st.booleans()):
            for each in at_writer.values():
                each.saw(event)
    undone = {tuple(u) for e in events for u in e.payload().get("undoes", ())}
    plain = {
        e.payload()["endpoint"]
        for e in events
        if e.kind == DETACHED and (e.site, "x", e.number) not in undone
    }
    merged = Detaches()
    for event in data.draw(st.permutations(events + events[:3])):
        merged.saw(event)
    assert merged.detached() == plain


def test_an_attach_undoes_what_its_process_detached_also_in_a_branch_and_nothing_else() -> None:
    stem = ban(DETACHED, "b", 3, "kept")
    mine = ban(DETACHED, "b", 3, "e"), ban(ATTACHED, "b", 4, "e", [("b", "x", 3)])
    life = branched(mine[0], START)
    branch = [msgspec.structs.replace(each, life=life, number=n) for n, each in enumerate(mine, 1)]
    for order in itertools.permutations([stem, *branch]):
        here, then = Detaches(), ChannelState(FLEET, 9)
        for each in order:
            here.saw(each)
            then.apply(each)
        assert here.detached() == {"kept"} == set(then.as_document()["detached"])
        assert here.undoes("kept") == [["b", "x", 3]]


@pytest.mark.parametrize("payload", [{}, {"endpoint": 1}, {"endpoint": "e", "undoes": [["a"]]}])
def test_a_payload_that_is_none_is_named(payload: dict[str, Any]) -> None:
    event = msgspec.structs.replace(ban(ATTACHED, "a", 1, "e"), data=packed(payload))
    with pytest.raises(ValueError, match="a/x/1"):
        Detaches().saw(event)
