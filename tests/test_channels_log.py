"""The event log of one site: clock, merging of remote events, forks, promises, and the set of detaches."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrack.channels.bans import Detaches
from rowanrack.channels.clock import HybridClock
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

SECOND_US = 1_000_000
HOUR_US = 3600 * SECOND_US


@dataclass
class ManualClock:
    """A clock set by the test; `offset_us` is the error of its Unix time."""

    now: int = 1000 * HOUR_US
    offset_us: int = 0

    def unix_us(self) -> int:
        return self.now + self.offset_us

    def now_us(self) -> int:
        return self.now


def open_log(
    site: str, time: ManualClock, store: MemoryLog | None = None, life: str = "x", members: str = "abc"
) -> tuple[Log, list[str]]:
    lines: list[str] = []
    opened = Log(store or MemoryLog(), time, site, members, lines.append, new_incarnation=lambda: life)
    opened.open()
    return opened, lines


def write_event(log: Log, channel: str = FLEET, seen: Any = (), **data: Any) -> Event:
    return log.write([Noted(channel, "k", packed(data), log._time.unix_us(), seen)])[0]


def test_stamps_increase_after_the_clock_is_set_back() -> None:
    time = ManualClock()
    clock = HybridClock(time)
    first = clock.stamp()
    time.offset_us = -HOUR_US
    assert clock.stamp() > first
    # Relative to the local time, which follows the steady clock
    ahead = Place(time.now + 59 * SECOND_US, 3, "b", "x", 1)
    assert clock.observe(ahead)
    assert clock.stamp() == (ahead.at, 4)


def test_events_of_a_clock_hours_ahead_are_kept_reported_once_and_not_followed() -> None:
    local, lines = open_log("a", time := ManualClock())
    other, _ = open_log("b", ManualClock(offset_us=3 * HOUR_US))
    ahead = [write_event(other) for _ in range(3)]
    assert local.merge(ahead) == ahead
    assert lines == [
        "the clock of b is 10800 s ahead of the local clock: its events are kept, "
        "but the local clock does not follow them"
    ]
    assert write_event(local).at <= time.now + SECOND_US
    referring = write_event(local, seen=[ahead[1].place])
    assert ahead[1].place < referring.place and referring.at == ahead[1].at
    assert write_event(local).place > referring.place, "the order within the stream is kept"
    assert write_event(local, "1").at <= time.now + SECOND_US, "other channels keep to the local time"


def test_a_promise_survives_a_kill_and_a_clock_set_back() -> None:
    store, time = MemoryLog(), ManualClock()
    opened, _ = open_log("a", time, store)
    promised = opened.promise().at
    assert promised >= time.now
    time.offset_us = -HOUR_US
    assert write_event(opened).at > promised
    promised = opened.promise().at
    store.close()
    reopened, _ = open_log("a", time, store)
    assert reopened.life == "x" and write_event(reopened).at > promised
    assert reopened.promise().at > promised


def test_a_log_that_lost_its_disk_starts_a_new_incarnation() -> None:
    old, _ = open_log("a", time := ManualClock(), life="one")
    new, _ = open_log("a", time, life="two")
    other, _ = open_log("b", time)
    assert other.merge([write_event(old), write_event(new)]) == other.read(FLEET, None, 1 << 62, 9)
    assert {head.stream.life for head in other.heads()} == {"one", "two"}


# Changes to the second of three events, and whether its chain is recomputed to match.
INVALID_EVENTS: dict[str, tuple[dict[str, Any], bool]] = {
    "damaged bytes": ({"data": b"\x81\xa1x\x02"}, False),
    "another chain": ({"chain": b"12345678"}, False),
    "a short chain": ({"chain": b"1"}, False),
    "a time that goes back": ({"at": 1}, True),
    "a time past 64 bits": ({"at": 1 << 63}, True),
    "too large": ({"data": packed({"x": "y" * 70_000})}, True),
    "a kind that is too long": ({"kind": "k" * 300}, True),
}


@pytest.mark.parametrize(("change", "recompute_chain"), INVALID_EVENTS.values(), ids=INVALID_EVENTS.keys())
def test_an_event_that_fails_verification_is_not_stored(
    change: dict[str, Any], recompute_chain: bool
) -> None:
    writer, _ = open_log("b", ManualClock())
    receiver, _ = open_log("a", ManualClock())
    sent = [write_event(writer, x=1) for _ in range(3)]
    invalid = msgspec.structs.replace(sent[1], **change)
    if recompute_chain:
        invalid = msgspec.structs.replace(invalid, chain=chained(sent[0].chain, invalid))
    broken: set[Stream] = set()
    assert receiver.merge([sent[0], invalid, sent[2]], broken) == sent[:1]
    assert broken == {sent[0].stream}
    assert receiver.merge(sent[2:]) == [], "never after a gap"
    assert receiver.merge(sent) == sent[1:]
    assert receiver.merge(sent) == []


def forked_streams() -> tuple[list[Event], list[Event]]:
    """Return the events of two processes that wrote as b/x from copies of a folder, with a common start."""
    time = ManualClock()
    one, _ = open_log("b", time)
    two, _ = open_log("b", time)
    common = [write_event(one, n=n) for n in range(2)]
    two.merge(common)
    time.now += SECOND_US
    return (
        common + [write_event(one, w="one", n=n) for n in range(3)],
        common + [write_event(two, w="two", n=n) for n in range(2)],
    )


def test_a_fork_is_resolved_the_same_way_in_either_order_of_arrival() -> None:
    results = []
    for first, second in itertools.permutations(forked_streams()):
        local, _ = open_log("a", ManualClock())
        peer, _ = open_log("c", ManualClock())
        broken: set[Stream] = set()
        local.merge(first)
        peer.merge(second)
        assert local.merge(second[2:3], broken) == []
        assert local.fork(second) in (2, len(second))
        peer.fork(first)
        for log_, other in ((local, peer), (peer, local)):
            log_.merge(other.read(FLEET, None, 1 << 62, 99))
        assert msgspec.msgpack.encode(local.read(FLEET, None, 1 << 62, 99)) == msgspec.msgpack.encode(
            peer.read(FLEET, None, 1 << 62, 99)
        )
        results.append(local.read(FLEET, None, 1 << 62, 99))
    assert results[0] == results[1]
    assert len(results[0]) == 7 and len({event.life for event in results[0]}) == 2


def test_a_process_whose_branch_lost_a_fork_starts_a_new_incarnation() -> None:
    time = ManualClock()
    lives = iter("xyz")
    logs = [
        Log(MemoryLog(), time, "b", "b", lambda line: None, new_incarnation=lambda: next(lives))
        for _ in range(2)
    ]
    for each in logs:
        each.open()
        each.life = "x"
    written = [[write_event(each, n=index)] for index, each in enumerate(logs)]
    loser = max((0, 1), key=lambda index: written[index][0].chain)
    logs[loser].fork(written[1 - loser])
    assert write_event(logs[loser]).number == 1
    assert logs[loser].life == "z" and logs[loser].rewritten == 1
    assert len(logs[loser].read(FLEET, None, 1 << 62, 9)) == 3


def test_a_promise_of_a_forked_incarnation_does_not_count() -> None:
    for runs in (forked_streams()[:1], forked_streams(), forked_streams()[::-1]):
        local, _ = open_log("a", time := ManualClock(), members="ab")
        local.merge(runs[0])
        local.fork(runs[-1])
        local.receive_promises("b", [Promise("b", "x", time.now, b"")])
        local.receive_promises("b", [Promise("b", "x", time.now + 1, local.incarnations_digest())])
        assert (local.settled_until(FLEET)[0] > 0) == (local.rewritten == 0)


def detach_event(kind: str, site: str, number: int, endpoint: str, undoes: Any = ()) -> Event:
    data = {"endpoint": endpoint, "undoes": list(undoes)} if kind == ATTACHED else {"endpoint": endpoint}
    return Event(FLEET, site, "x", number, number, 0, kind, packed(data), START)


def test_a_concurrent_attach_and_detach_leave_the_endpoint_detached() -> None:
    local, remote = Detaches(), Detaches()
    detach = detach_event(DETACHED, "a", 1, "e")
    for each in (local, remote):
        each.saw(detach)
    attach = detach_event(ATTACHED, "a", 2, "e", local.undoes("e"))
    second_detach = detach_event(DETACHED, "b", 1, "e")
    local.saw(attach)
    remote.saw(second_detach)
    assert local.detached() == set()
    local.saw(second_detach)
    remote.saw(attach)
    assert local.detached() == remote.detached() == {"e"}
    assert local.undoes("e") == [["b", "x", 1]]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.data())
def test_the_set_of_detaches_does_not_depend_on_the_order_of_events(data: st.DataObject) -> None:
    at_writer: dict[str, Detaches] = {"a": Detaches(), "b": Detaches()}
    events: list[Event] = []
    for number in range(1, data.draw(st.integers(1, 8)) + 1):
        site, endpoint = data.draw(st.sampled_from("ab")), data.draw(st.sampled_from("ef"))
        kind = data.draw(st.sampled_from([DETACHED, ATTACHED]))
        event = detach_event(kind, site, number, endpoint, at_writer[site].undoes(endpoint))
        at_writer[site].saw(event)
        events.append(event)
        if data.draw(st.booleans()):
            for each in at_writer.values():
                each.saw(event)
    undone = {tuple(u) for e in events for u in e.payload().get("undoes", ())}
    expected = {
        e.payload()["endpoint"]
        for e in events
        if e.kind == DETACHED and (e.site, "x", e.number) not in undone
    }
    merged = Detaches()
    for event in data.draw(st.permutations(events + events[:3])):
        merged.saw(event)
    assert merged.detached() == expected


def test_an_attach_in_a_branch_undoes_only_the_detaches_it_names() -> None:
    original = detach_event(DETACHED, "b", 3, "kept")
    forked = detach_event(DETACHED, "b", 3, "e"), detach_event(ATTACHED, "b", 4, "e", [("b", "x", 3)])
    life = branched(forked[0], START)
    branch = [msgspec.structs.replace(event, life=life, number=n) for n, event in enumerate(forked, 1)]
    for order in itertools.permutations([original, *branch]):
        detaches, past = Detaches(), ChannelState(FLEET, 9)
        for event in order:
            detaches.saw(event)
            past.apply(event)
        assert detaches.detached() == {"kept"} == set(past.as_document()["detached"])
        assert detaches.undoes("kept") == [["b", "x", 3]]


@pytest.mark.parametrize("payload", [{}, {"endpoint": 1}, {"endpoint": "e", "undoes": [["a"]]}])
def test_a_malformed_payload_is_reported_with_its_event_id(payload: dict[str, Any]) -> None:
    event = msgspec.structs.replace(detach_event(ATTACHED, "a", 1, "e"), data=packed(payload))
    with pytest.raises(ValueError, match="a/x/1"):
        Detaches().saw(event)
