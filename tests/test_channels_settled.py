"""Promises that came by others, and holdings that change: never is more called settled than is there."""

from __future__ import annotations

import random
from contextlib import suppress
from typing import Any

import pytest

from rowanrack.channels.events import FLEET, LAYOUT, Event, packed
from rowanrack.channels.log import LATELY, Noted, Promise
from rowanrack.channels.site import Site
from rowanrack.store.log_memory import MemoryLog
from tests.test_channels_log import HOUR, Hands, S, note
from tests.test_channels_sync import Own, meet, three

NAMES, END = "abcde", 1 << 62


def between(one: Site, two: Site, bodies: int = 99) -> None:
    """An exchange that `one` begins, cut off after so many bodies."""
    request: bytes | None = one.offer(two.name)
    with suppress(ValueError):  # the two may see differently who keeps what
        while request is not None and bodies > 0:
            request, bodies = one.take(two.name, two.answer(request)), bodies - 1


def site_of(name: str, time: Hands) -> Site:
    others = [other for other in NAMES if other != name]
    made = Site(MemoryLog(), time, name, others, lambda line: None, 99 * HOUR, 1 << 30)
    made.log._draw = lambda: name
    made.open()
    return made


def layout(sites: list[str], since: int, version: int) -> Noted:
    doc = {"version": version, "from": since, "shards": 2, "keepers": 2, "sites": [[s, 1.0] for s in sites]}
    return Noted(FLEET, LAYOUT, packed(doc), since)


RELAYED: dict[str, tuple[str, bool]] = {
    "it wrote nothing": ("", True),
    "all that it wrote is here": ("write meet", True),
    "it wrote what is not here": ("write", False),
    "it wrote on more channels than it names": ("many push", False),
    "it wrote on many, and the last one counts from behind them": ("many meet later", True),
    "an incarnation is known that was not": ("anew", False),
    "its time is hours ahead": ("ahead", False),
    "we hold more than when its last one counted": ("grown", False),
    "two wrote under its name": ("doubled", False),
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
            for n in range(LATELY + 1):
                note(b, str(n))
        elif step == "push":  # of all but the first, which is not named
            a.merge([e for n in range(1, LATELY + 1) for e in b.read(str(n), None, END, 9)])
        elif step == "meet":
            meet(b, a, scope=scope)
        elif step == "anew":
            c._tell(Promise("c", "old", 0, b""), anew=True)
            for one, two in ((b, c), (a, c)):
                meet(one, two, scope=scope)
        elif step == "ahead":
            b._clock._promised = time.now + HOUR
        elif step == "grown":
            scope.grown = scope.turn = 2
        elif step == "doubled":
            a._doubled.add(("b", "b"))
    time.now += S
    before = time.now
    meet(b, c, scope=scope)
    meet(c, a, scope=scope)
    assert a.promises()["b"].at >= before, "on FLEET it counts"
    counted = a.counting().get("b")
    assert (counted is not None and counted.promise.at >= before) is counts


@pytest.mark.parametrize("seed", range(8))
def test_all_that_was_written_before_what_is_settled_is_there_whoever_keeps_it(seed: int) -> None:
    chance, times = random.Random(seed), {name: Hands() for name in NAMES}
    sites = {name: site_of(name, times[name]) for name in NAMES}
    wrote: list[Event] = []
    claims = versions = 0
    for time in times.values():
        time.off = chance.randrange(-2 * S, 2 * S)
    for _ in range(300):
        for time in times.values():
            time.now += chance.randrange(S // 4)
        site, other = (sites[name] for name in chance.sample(NAMES, 2))
        what, time = chance.random(), times[site.name]
        if what < 0.25:
            wrote += site.write([Noted(chance.choice("123"), "k", b"\x80", time.unix_us())])
        elif what < 0.95:
            between(site, other, chance.choice((1, 2, 99, 99, 99)))
        elif what < 0.965:
            versions += 1
            keepers = chance.sample(NAMES, chance.randrange(1, 4))
            site.write([layout(keepers, time.unix_us() + chance.randrange(4) * S, versions)])
        else:
            site.tidy()
        for each in sites.values():
            each._pass()
            for channel in "123":
                if each.layouts.whole(each.name, channel):
                    until = each.log.settled_until(channel)[0]
                    claims += until > 0
                    here = set(each.log.read(channel, None, until, 9999))
                    lacks = [e for e in wrote if e.channel == channel and e.at <= until and e not in here]
                    assert not lacks, f"{each.name} lacks {lacks} and calls {channel} settled until {until}"
    assert claims
