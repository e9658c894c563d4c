"""Promises that came by others, and holdings that change: never is more called settled than is there."""

from __future__ import annotations

import random
from contextlib import suppress
from itertools import permutations
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from rowanrack.channels.events import FLEET, LAYOUT, Event, packed
from rowanrack.channels.log import (
    MAX_RELAYED_LEAD_US,
    RECENT_STREAMS_COUNT,
    RECENT_WRITES_US,
    Log,
    Noted,
    Promise,
    _site_tag,
)
from rowanrack.channels.site import Site
from rowanrack.channels.sync import Request, answer_request, begin_exchange, process_reply
from rowanrack.store.log_memory import MemoryLog
from tests.test_channels_log import HOUR, Hands, S, log, note
from tests.test_channels_sync import Own, meet, three

NAMES, END = "abcde", 1 << 62


def between(one: Site, two: Site, bodies: int = 99) -> None:
    """An exchange that `one` begins, cut off after so many bodies."""
    request: bytes | None = one.offer(two.name)
    with suppress(ValueError):  # the two may see differently who keeps what
        while request is not None and bodies > 0:
            request, bodies = one.take(two.name, two.answer(request)), bodies - 1


def born(
    sites: dict[str, Site], stores: dict[str, MemoryLog], name: str, time: Hands, life: str = ""
) -> None:
    """Open a site: over the disk that it had, or as a new incarnation on an empty one."""
    if life:
        stores[name] = MemoryLog()
    others = [other for other in NAMES if other != name]
    made = sites[name] = Site(stores[name], time, name, others, lambda line: None, 99 * HOUR, 1 << 30)
    made.log._new_incarnation = lambda: name + life
    made.open()


def layout(sites: list[str], since: int, version: int) -> Noted:
    doc = {"version": version, "from": since, "shards": 2, "keepers": 2, "sites": [[s, 1.0] for s in sites]}
    return Noted(FLEET, LAYOUT, packed(doc), since)


RELAYED: dict[str, tuple[str, bool]] = {
    "it wrote nothing": ("", True),
    "all that it wrote is here": ("write meet", True),
    "it wrote what is not here": ("write", False),
    "it wrote on more channels than it names": ("many push", False),
    "it wrote on many, and the last one counts from behind them": ("many meet later", True),
    "an incarnation is known that was not": ("anew", True),
    "one is, and its site may hold what that one wrote": ("keeps write meet anew", False),
    "its site does not know of one that we know of": ("unknown", False),
    "it still owes us what it does not name any more": ("write old", False),
    "it does not name what we have by now": ("write old meet", True),
    "its site knows of another layout": ("laid", False),
    "we were opened anew, and it does not know": ("write meet opened", False),
    "its time is hours ahead": ("ahead", False),
    "we hold more than when its last one counted": ("grown", False),
    "two wrote under its name": ("doubled", False),
    "its site's word counts, too": ("forgot", True),
    "and does not once we let the channel go": ("forgot drop", False),
}


@pytest.mark.parametrize(("steps", "counts"), RELAYED.values(), ids=RELAYED.keys())
def test_a_promise_that_came_by_another_counts_as_its_own_word_would(steps: str, counts: bool) -> None:
    a, b, c = three(time := Hands())
    scope: Any = Own()
    for one in (b, c, b, c, b):
        meet(one, a, scope=scope)
        meet(b, c, scope=scope)
    for step in steps.split():
        time.now += S
        if step == "write":
            note(b, "7")
        elif step == "many":
            for n in range(RECENT_STREAMS_COUNT + 1):
                note(b, str(n))
        elif step == "push":  # of all but the first, which is not named
            a.merge([e for n in range(1, RECENT_STREAMS_COUNT + 1) for e in b.read(str(n), None, END, 9)])
        elif step == "meet":
            meet(b, a, scope=scope)
        elif step == "anew":
            c._store_promise(Promise("c", "old", 0, b""), only_if_unknown=True)
            for one, two in ((b, c), (a, c)):
                meet(one, two, scope=scope)
        elif step == "unknown":
            a._store_promise(Promise("c", "old", 0, b""), only_if_unknown=True)
        elif step == "ahead":
            b._clock._promised = time.now + HOUR
        elif step == "grown":
            scope.grown = scope.turn = 2
        elif step == "keeps":
            scope.ever, scope.turn = frozenset("ab"), 2
        elif step == "old":
            time.now += 2 * RECENT_WRITES_US
        elif step == "laid":
            b._fleet_digest_cache = b"other"
            a._counted_promises.clear()
        elif step == "opened":
            a.session, a._fleet_digest_cache = "anew", b""
            a._counted_promises.clear()
        elif step == "doubled":
            a._duplicated.add(("b", "b"))
        elif step == "forgot":
            a._counted_promises.clear()
        elif step == "drop":
            a.drop("7")
    time.now += S
    before = time.now
    meet(b, c, scope=scope)
    meet(a, c, scope=scope)
    assert a.promises()["b"].at >= before, "on FLEET it counts"
    counted = a.counted_promises().get("b")
    assert (counted is not None and counted.promise.at >= before) is counts
    assert (a.settled_until("7")[0] >= before) is counts


@pytest.mark.parametrize("seed", [*range(24), 190])  # 190: a former keeper's left-overs, as it keeps again
def test_nothing_lands_before_what_was_called_settled_whoever_keeps_it(seed: int) -> None:
    """Also across restarts, clocks set back, and, in every other run, one disk that is lost."""
    chance, times = random.Random(seed), {name: Hands() for name in NAMES}
    stores, sites = dict[str, MemoryLog](), dict[str, Site]()
    for name in NAMES:
        born(sites, stores, name, times[name], "0")
    wrote: list[Event] = []
    said: dict[tuple[str, str], tuple[int, set[Event]]] = {}
    pool, lost, claims, versions = chance.sample(NAMES, chance.choice((2, 3, 5))), False, 0, 0
    for time in times.values():
        time.off = chance.randrange(-2 * S, 2 * S)
    for step in range(400):
        for time in times.values():
            time.now += chance.randrange(S // 4)
        site, other = (sites[name] for name in chance.sample(NAMES, 2))
        what, time = chance.random(), times[site.name]
        if what < 0.25:
            wrote += site.write([Noted(chance.choice("123"), "k", b"\x80", time.unix_us())])
        elif what < 0.93:
            between(site, other, chance.choice((1, 2, 99, 99, 99)))
        elif what < 0.945:
            versions += 1
            keepers = chance.sample(pool, chance.randrange(1, len(pool)))
            site.write([layout(keepers, time.unix_us() + chance.randrange(4) * S, versions)])
        elif what < 0.96:
            site.tidy()
        elif what < 0.965:
            time.off -= chance.randrange(S)
        elif what < 0.985 or seed % 2 or lost:
            site.close()
            born(sites, stores, site.name, time)
        else:
            born(sites, stores, site.name, time, str(step))
            lost = True
            said = {key: value for key, value in said.items() if key[0] != site.name}
        for each in sites.values():
            each._update_layouts()
            for channel in "123":
                key = each.name, channel
                if not each.layouts.whole(*key):
                    said.pop(key, None)
                    continue
                until = each.log.settled_until(channel)[0]
                claims += until > 0
                here = set(each.log.read(channel, None, max(until, said.get(key, (0,))[0]), 9999))
                if key in said:
                    new = {e for e in here - said[key][1] if e.at <= said[key][0]}
                    assert not new, f"{new} came to {each.name} behind its word on {channel}: {said[key][0]}"
                lacks = [e for e in wrote if e.channel == channel and e.at <= until and e not in here]
                assert lost or not lacks, f"{each.name} lacks {lacks}, says {channel} is settled to {until}"
                if until >= said.get(key, (0,))[0]:
                    said[key] = until, here
    assert claims


class Laid(Own):
    """Those in `ever` keep all; layouts by their names alone."""

    names: tuple[str, ...] = ("",)

    def history(self) -> list[Any]:
        return [SimpleNamespace(id=name, shard=len, keepers=lambda shard: ()) for name in self.names]

    def wants(self, site: str, channel: str, origin: str) -> bool:
        return site in self.ever or channel == FLEET


def owed(one: Log, scope: Any) -> str:
    """Whom a log says that it owes events of more than a while ago."""
    one.scope = scope
    word = one.promise()
    assert word.fleet_digest
    return "".join(name for name in "abc" if _site_tag(name) in word.owed_tags)


AC, C, X, XY = frozenset("ac"), frozenset("c"), ("", "x"), ("", "x", "y")
CHANGES: dict[str, tuple[list[dict[str, Any]], str]] = {
    "none": ([], ""),
    "a new keeper is owed what was written before": ([{"ever": AC}], "c"),
    "a former one, too, what comes now: by its clock it may be one": ([{"ever": C}, {"note": "7"}], "ac"),
    "one layout and another": ([{"names": X}, {"names": XY}], ""),
    "two at once, between which it may have dropped all": ([{"names": XY}], "a"),
    "they begin one after the other": ([{"names": X}, {"names": XY}, {"view": "x"}, {"view": "y"}], ""),
    "they begin at once": ([{"names": X}, {"names": XY}, {"view": "y"}], "a"),
}


@pytest.mark.parametrize(("changes", "owes"), CHANGES.values(), ids=CHANGES.keys())
def test_a_site_says_that_it_owes_who_may_lack_what_it_wrote(
    changes: list[dict[str, Any]], owes: str
) -> None:
    a, b, _ = three(time := Hands())
    scope = Laid()
    note(b, "7")
    meet(b, a, scope=scope)
    meet(a, b, scope=scope)
    for change in changes:
        time.now += S
        scope.__dict__.update(change, turn=scope.turn + 1)
        if "note" in change:
            note(b, change["note"])
        owed(b, scope)
    time.now += 2 * RECENT_WRITES_US + MAX_RELAYED_LEAD_US
    assert owed(b, scope) == owes


def test_a_site_that_gets_back_what_it_wrote_before_it_lost_its_disk_owes_it() -> None:
    a, b, c = three(time := Hands())
    old = note(b, "7")
    c.merge([old])
    again, scope = log("b", time, life="new")[0], Laid()
    time.now += 2 * RECENT_WRITES_US
    meet(again, a, scope=scope)
    assert owed(again, scope) == "" and again.promise().writes_since < old.at
    again.merge([old])
    assert owed(again, scope) == "a" and again.promise().writes_since == old.at, "it is not named"


def to_the_end(one: Log, two: Log, scope: Any) -> bytes:
    """The last request of an exchange that `one` begins."""
    request = begin_exchange(one, two.site, scope)
    while not msgspec.msgpack.decode(request, type=Request).finished:
        request = process_reply(one, answer_request(two, request, scope), scope) or b""
    return request


def test_the_end_of_an_exchange_does_not_count_at_a_log_that_was_opened_anew_meanwhile() -> None:
    time, store, scope = Hands(), MemoryLog(), Laid()
    a, b = log("a", time)[0], log("b", time, store)[0]
    for _ in range(9):
        note(b, "7")
        owed(b, scope)
    request = to_the_end(a, b, scope)
    store.close()
    again = log("b", time, store)[0]
    answer_request(again, request, scope)
    assert again.peer_state("a").acked_write_round == 0, "these were rounds of writes of before"


def test_an_exchange_says_nothing_of_a_log_that_was_opened_anew_meanwhile() -> None:
    a, b, c = three(time := Hands())
    scope = Laid()
    note(b, "7")
    last = answer_request(a, to_the_end(b, a, scope), scope)
    again = log("a", time, life="a")[0]  # a power cut took it
    meet(c, again, scope=scope)
    meet(b, c, scope=scope)
    assert process_reply(b, last, scope) is None
    time.now += 2 * RECENT_WRITES_US
    assert owed(b, scope) == "a"


@pytest.mark.parametrize("restart", [False, True])
def test_who_keeps_a_channel_again_forgets_what_was_left_of_it_there(restart: bool) -> None:
    time, stores, sites = Hands(), dict[str, MemoryLog](), dict[str, Site]()
    for name in NAMES:
        born(sites, stores, name, time, "0")

    def all_meet() -> None:
        for one, two in permutations(NAMES, 2):
            time.now += S // 9
            between(sites[one], sites[two])

    sites["a"].write([layout(["a"], time.unix_us(), 1)])
    all_meet()
    event = sites["c"].write([Noted("1", "k", b"\x80", time.unix_us())])[0]
    all_meet()
    sites["b"].write([layout(["b"], time.unix_us(), 2)])
    all_meet()
    assert sites["a"].log.head(event.stream) and sites["a"].layouts.holders("1") == frozenset("b")
    if restart:
        sites["a"].close()
        born(sites, stores, "a", time)
    sites["a"].write([layout(["a"], time.unix_us(), 3)])
    sites["a"].offer("b")
    assert sites["a"].log.head(event.stream) is None
    all_meet()
    assert sites["a"].log.head(event.stream)


def test_who_was_opened_anew_is_owed_all_of_it_until_it_was_met() -> None:
    a, b, c = three(time := Hands())
    scope: Any = Own()
    event = note(b, "7")
    for one, two in ((b, a), (c, a), (b, c)):
        meet(one, two, scope=scope)
        meet(two, one, scope=scope)
    time.now += 2 * RECENT_WRITES_US  # the event is not named any more
    again = log("a", time, life="a")[0]  # a power cut took what it had kept last
    for one, two in ((c, again), (b, c), (c, again)) * 2:
        meet(one, two, scope=scope)
    assert again.settled_until("7")[0] < event.at and again.head(event.stream) is None
    meet(again, b, scope=scope)
    for one, two in ((b, c), (c, again)):
        meet(one, two, scope=scope)
    assert again.head(event.stream) and again.settled_until("7")[0] > event.at
