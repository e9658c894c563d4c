"""Settled times with relayed promises and changing layouts: they never cover missing events."""

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
from tests.test_channels_log import HOUR_US, SECOND_US, ManualClock, open_log, write_event
from tests.test_channels_sync import OnlyAKeepsAll, run_exchange, three_logs

NAMES, MAX_TIME_US = "abcde", 1 << 62


def exchange_between(one: Site, two: Site, bodies: int = 99) -> None:
    """Run an exchange that `one` starts, for at most `bodies` requests."""
    request: bytes | None = one.offer(two.name)
    with suppress(ValueError):  # the sites may not agree on the layouts
        while request is not None and bodies > 0:
            request, bodies = one.take(two.name, two.answer(request)), bodies - 1


def open_site(
    sites: dict[str, Site], stores: dict[str, MemoryLog], name: str, time: ManualClock, life: str = ""
) -> None:
    """Open a site on its old store, or, with `life`, as a new incarnation on an empty one."""
    if life:
        stores[name] = MemoryLog()
    others = [other for other in NAMES if other != name]
    site = sites[name] = Site(stores[name], time, name, others, lambda line: None, 99 * HOUR_US, 1 << 30)
    site.log._new_incarnation = lambda: name + life
    site.open()


def layout(sites: list[str], since: int, version: int) -> Noted:
    doc = {"version": version, "from": since, "shards": 2, "keepers": 2, "sites": [[s, 1.0] for s in sites]}
    return Noted(FLEET, LAYOUT, packed(doc), since)


RELAYED_PROMISES: dict[str, tuple[str, bool]] = {
    "its site wrote nothing": ("", True),
    "all events of its site are stored here": ("write meet", True),
    "an event of its site is not stored here": ("write", False),
    "its site wrote on more channels than it names": ("many push", False),
    "its site wrote on many channels before its last counted promise": ("many meet later", True),
    "all sites learned of a new incarnation": ("incarnation", True),
    "all sites did, and its site may hold events of that one": ("keeps write meet incarnation", False),
    "its site does not know an incarnation known here": ("unknown", False),
    "its site owes events that it no longer names": ("write old", False),
    "it no longer names events that are stored here": ("write old meet", True),
    "its site knows another layout": ("layout", False),
    "its site does not know that this log was reopened": ("write meet reopened", False),
    "its time is hours ahead": ("ahead", False),
    "this site holds more than when its last promise counted": ("holdings", False),
    "two processes wrote under its incarnation": ("duplicated", False),
    "it counts by what its site says is owed": ("uncounted", True),
    "it does not, as the channel was dropped here": ("uncounted drop", False),
}


@pytest.mark.parametrize(("steps", "counts"), RELAYED_PROMISES.values(), ids=RELAYED_PROMISES.keys())
def test_a_relayed_promise_counts_only_if_a_direct_one_would(steps: str, counts: bool) -> None:
    a, b, c = three_logs(time := ManualClock())
    scope: Any = OnlyAKeepsAll()
    for one in (b, c, b, c, b):
        run_exchange(one, a, scope=scope)
        run_exchange(b, c, scope=scope)
    for step in steps.split():
        time.now += SECOND_US
        if step == "write":
            write_event(b, "7")
        elif step == "many":
            for n in range(RECENT_STREAMS_COUNT + 1):
                write_event(b, str(n))
        elif step == "push":  # all events but the first, which is not named
            a.merge(
                [e for n in range(1, RECENT_STREAMS_COUNT + 1) for e in b.read(str(n), None, MAX_TIME_US, 9)]
            )
        elif step == "meet":
            run_exchange(b, a, scope=scope)
        elif step == "incarnation":
            c._store_promise(Promise("c", "old", 0, b""), only_if_unknown=True)
            for one, two in ((b, c), (a, c)):
                run_exchange(one, two, scope=scope)
        elif step == "unknown":
            a._store_promise(Promise("c", "old", 0, b""), only_if_unknown=True)
        elif step == "ahead":
            b._clock._promised = time.now + HOUR_US
        elif step == "holdings":
            scope.grown = scope.turn = 2
        elif step == "keeps":
            scope.ever, scope.turn = frozenset("ab"), 2
        elif step == "old":
            time.now += 2 * RECENT_WRITES_US
        elif step == "layout":
            b._fleet_digest_cache = b"other"
            a._counted_promises.clear()
        elif step == "reopened":
            a.session, a._fleet_digest_cache = "anew", b""
            a._counted_promises.clear()
        elif step == "duplicated":
            a._duplicated.add(("b", "b"))
        elif step == "uncounted":
            a._counted_promises.clear()
        elif step == "drop":
            a.drop("7")
    time.now += SECOND_US
    before = time.now
    run_exchange(b, c, scope=scope)
    run_exchange(a, c, scope=scope)
    assert a.promises()["b"].at >= before, "it counts on FLEET"
    counted = a.counted_promises().get("b")
    assert (counted is not None and counted.promise.at >= before) is counts
    assert (a.settled_until("7")[0] >= before) is counts


# 190: a site keeps a channel again and has old events of it
@pytest.mark.parametrize("seed", [*range(24), 190])
def test_no_event_arrives_within_the_settled_part_of_a_channel(seed: int) -> None:
    """Covers restarts, clocks set back and, in every other run, a lost disk."""
    rng, times = random.Random(seed), {name: ManualClock() for name in NAMES}
    stores, sites = dict[str, MemoryLog](), dict[str, Site]()
    for name in NAMES:
        open_site(sites, stores, name, times[name], "0")
    written: list[Event] = []
    settled: dict[tuple[str, str], tuple[int, set[Event]]] = {}
    possible_keepers, disk_lost, settled_count, versions = (
        rng.sample(NAMES, rng.choice((2, 3, 5))),
        False,
        0,
        0,
    )
    for time in times.values():
        time.offset_us = rng.randrange(-2 * SECOND_US, 2 * SECOND_US)
    for step in range(400):
        for time in times.values():
            time.now += rng.randrange(SECOND_US // 4)
        site, other = (sites[name] for name in rng.sample(NAMES, 2))
        action, time = rng.random(), times[site.name]
        if action < 0.25:
            written += site.write([Noted(rng.choice("123"), "k", b"\x80", time.unix_us())])
        elif action < 0.93:
            exchange_between(site, other, rng.choice((1, 2, 99, 99, 99)))
        elif action < 0.945:
            versions += 1
            keepers = rng.sample(possible_keepers, rng.randrange(1, len(possible_keepers)))
            site.write([layout(keepers, time.unix_us() + rng.randrange(4) * SECOND_US, versions)])
        elif action < 0.96:
            site.tidy()
        elif action < 0.965:
            time.offset_us -= rng.randrange(SECOND_US)
        elif action < 0.985 or seed % 2 or disk_lost:
            site.close()
            open_site(sites, stores, site.name, time)
        else:
            open_site(sites, stores, site.name, time, str(step))
            disk_lost = True
            settled = {key: value for key, value in settled.items() if key[0] != site.name}
        for each in sites.values():
            each._update_layouts()
            for channel in "123":
                key = each.name, channel
                if not each.layouts.whole(*key):
                    settled.pop(key, None)
                    continue
                until = each.log.settled_until(channel)[0]
                settled_count += until > 0
                stored = set(each.log.read(channel, None, max(until, settled.get(key, (0,))[0]), 9999))
                if key in settled:
                    new = {e for e in stored - settled[key][1] if e.at <= settled[key][0]}
                    assert not new, (
                        f"{new} reached {each.name} after {channel} was settled up to {settled[key][0]}"
                    )
                missing = [e for e in written if e.channel == channel and e.at <= until and e not in stored]
                assert disk_lost or not missing, (
                    f"{each.name} lacks {missing}, but {channel} is settled up to {until}"
                )
                if until >= settled.get(key, (0,))[0]:
                    settled[key] = until, stored
    assert settled_count


class FixedLayouts(OnlyAKeepsAll):
    """A scope in which the sites in `ever` keep everything; layouts have only an id."""

    names: tuple[str, ...] = ("",)

    def history(self) -> list[Any]:
        return [SimpleNamespace(id=name, shard=len, keepers=lambda shard: ()) for name in self.names]

    def wants(self, site: str, channel: str, origin: str) -> bool:
        return site in self.ever or channel == FLEET


def owed_sites(one: Log, scope: Any) -> str:
    """Return the sites to which a log says it owes older events."""
    one.scope = scope
    promise = one.promise()
    assert promise.fleet_digest
    return "".join(name for name in "abc" if _site_tag(name) in promise.owed_tags)


AC, C, X, XY = frozenset("ac"), frozenset("c"), ("", "x"), ("", "x", "y")
SCOPE_CHANGES: dict[str, tuple[list[dict[str, Any]], str]] = {
    "no change": ([], ""),
    "a new keeper is owed the earlier events": ([{"ever": AC}], "c"),
    "a former keeper is owed new events, as it may still be one by its own clock": (
        [{"ever": C}, {"note": "7"}],
        "ac",
    ),
    "one layout, then another": ([{"names": X}, {"names": XY}], ""),
    "two layouts at once, between which a site may have dropped everything": ([{"names": XY}], "a"),
    "two layouts take effect one after the other": (
        [{"names": X}, {"names": XY}, {"view": "x"}, {"view": "y"}],
        "",
    ),
    "two layouts take effect at once": ([{"names": X}, {"names": XY}, {"view": "y"}], "a"),
}


@pytest.mark.parametrize(("changes", "owes"), SCOPE_CHANGES.values(), ids=SCOPE_CHANGES.keys())
def test_a_promise_names_the_sites_that_may_lack_events(changes: list[dict[str, Any]], owes: str) -> None:
    a, b, _ = three_logs(time := ManualClock())
    scope = FixedLayouts()
    write_event(b, "7")
    run_exchange(b, a, scope=scope)
    run_exchange(a, b, scope=scope)
    for change in changes:
        time.now += SECOND_US
        scope.__dict__.update(change, turn=scope.turn + 1)
        if "note" in change:
            write_event(b, change["note"])
        owed_sites(b, scope)
    time.now += 2 * RECENT_WRITES_US + MAX_RELAYED_LEAD_US
    assert owed_sites(b, scope) == owes


def test_a_site_owes_events_that_it_got_back_after_losing_its_disk() -> None:
    a, b, c = three_logs(time := ManualClock())
    old = write_event(b, "7")
    c.merge([old])
    reborn, scope = open_log("b", time, life="new")[0], FixedLayouts()
    time.now += 2 * RECENT_WRITES_US
    run_exchange(reborn, a, scope=scope)
    assert owed_sites(reborn, scope) == "" and reborn.promise().writes_since < old.at
    reborn.merge([old])
    assert owed_sites(reborn, scope) == "a" and reborn.promise().writes_since == old.at, (
        "the promise does not name the event"
    )


def last_request(one: Log, two: Log, scope: Any) -> bytes:
    """Run an exchange that `one` starts; return its last request."""
    request = begin_exchange(one, two.site, scope)
    while not msgspec.msgpack.decode(request, type=Request).finished:
        request = process_reply(one, answer_request(two, request, scope), scope) or b""
    return request


def test_the_last_request_of_an_exchange_has_no_effect_on_a_log_reopened_meanwhile() -> None:
    time, store, scope = ManualClock(), MemoryLog(), FixedLayouts()
    a, b = open_log("a", time)[0], open_log("b", time, store)[0]
    for _ in range(9):
        write_event(b, "7")
        owed_sites(b, scope)
    request = last_request(a, b, scope)
    store.close()
    reopened = open_log("b", time, store)[0]
    answer_request(reopened, request, scope)
    assert reopened.peer_state("a").acked_write_round == 0, "the write rounds are those of an earlier session"


def test_an_exchange_confirms_nothing_about_a_log_reopened_meanwhile() -> None:
    a, b, c = three_logs(time := ManualClock())
    scope = FixedLayouts()
    write_event(b, "7")
    last_reply = answer_request(a, last_request(b, a, scope), scope)
    reopened = open_log("a", time, life="a")[0]  # a power cut lost its events
    run_exchange(c, reopened, scope=scope)
    run_exchange(b, c, scope=scope)
    assert process_reply(b, last_reply, scope) is None
    time.now += 2 * RECENT_WRITES_US
    assert owed_sites(b, scope) == "a"


@pytest.mark.parametrize("restart", [False, True])
def test_a_site_that_keeps_a_channel_again_drops_its_old_events(restart: bool) -> None:
    time, stores, sites = ManualClock(), dict[str, MemoryLog](), dict[str, Site]()
    for name in NAMES:
        open_site(sites, stores, name, time, "0")

    def exchange_all() -> None:
        for one, two in permutations(NAMES, 2):
            time.now += SECOND_US // 9
            exchange_between(sites[one], sites[two])

    sites["a"].write([layout(["a"], time.unix_us(), 1)])
    exchange_all()
    event = sites["c"].write([Noted("1", "k", b"\x80", time.unix_us())])[0]
    exchange_all()
    sites["b"].write([layout(["b"], time.unix_us(), 2)])
    exchange_all()
    assert sites["a"].log.head(event.stream) and sites["a"].layouts.holders("1") == frozenset("b")
    if restart:
        sites["a"].close()
        open_site(sites, stores, "a", time)
    sites["a"].write([layout(["a"], time.unix_us(), 3)])
    sites["a"].offer("b")
    assert sites["a"].log.head(event.stream) is None
    exchange_all()
    assert sites["a"].log.head(event.stream)


def test_a_reopened_site_is_owed_everything_until_an_exchange_with_it() -> None:
    a, b, c = three_logs(time := ManualClock())
    scope: Any = OnlyAKeepsAll()
    event = write_event(b, "7")
    for one, two in ((b, a), (c, a), (b, c)):
        run_exchange(one, two, scope=scope)
        run_exchange(two, one, scope=scope)
    time.now += 2 * RECENT_WRITES_US  # no promise names the event any more
    reopened = open_log("a", time, life="a")[0]  # a power cut lost its last events
    for one, two in ((c, reopened), (b, c), (c, reopened)) * 2:
        run_exchange(one, two, scope=scope)
    assert reopened.settled_until("7")[0] < event.at and reopened.head(event.stream) is None
    run_exchange(reopened, b, scope=scope)
    for one, two in ((b, c), (c, reopened)):
        run_exchange(one, two, scope=scope)
    assert reopened.head(event.stream) and reopened.settled_until("7")[0] > event.at
