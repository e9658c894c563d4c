"""Who keeps which channel since when: layouts, their shards, and the moves between two of them.

Every answer follows from the set of events seen and the time handed in, never from the order in which they
came, so that all sites agree. No I/O. Source: docs/channels.md.
"""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import count, islice
from typing import Annotated, Any, NamedTuple

import msgspec
from blake3 import blake3
from msgspec import Meta

from rowanrack.channels.events import FLEET, KEPT, LAYOUT, Event, Place

SHARDS, KEEPERS = 64, 2  # of the layout that holds before any is announced
SHARDS_MOST, KEEPERS_MOST, SITES_MOST = 4096, 16, 4096
PAST_US = 60_000_000  # by which a layout may begin before it was announced: as far as clocks may differ
AHEAD_US = 366 * 86_400_000_000  # and by which it may be announced ahead
RANKED = 64  # sites of all that are known that are remembered of a shard: the keepers are among the first
KNOWN_MOST = 2 * SITES_MOST  # sites that are ranked; a layout that names more than these is sorted by itself
ROUNDING = 1 - 1e-9  # by which a score must be behind to be so beyond doubt
CHANNELS_MOST = 65_536  # whose holders are remembered
REFUSED_MOST = 100  # refused events that are named; more are only counted
TURNS = count(1)  # one for all layouts of a process: those that are read anew differ from the ones before
NOWHERE = Place(-1, -1, "", "", 0)  # of the first layout, which no event announced


class Announced(msgspec.Struct):
    """The payload of a LAYOUT event; fields of a newer version are passed over."""

    version: Annotated[int, Meta(ge=1)]
    since_us: Annotated[int, Meta(ge=0)] = msgspec.field(name="from")
    shards: Annotated[int, Meta(ge=1, le=SHARDS_MOST)]
    keepers: Annotated[int, Meta(ge=1, le=KEEPERS_MOST)]
    sites: Annotated[
        list[tuple[Annotated[str, Meta(min_length=1)], Annotated[float, Meta(gt=0)]]],
        Meta(min_length=1, max_length=SITES_MOST),
    ]


class Confirmed(msgspec.Struct):
    """The payload of a KEPT event. `layout` is the id of the layout's event: two may bear one version."""

    version: Annotated[int, Meta(ge=0)]
    shard: Annotated[int, Meta(ge=0, lt=SHARDS_MOST)]
    layout: str


class Lots:
    """The sites of several layouts by their lots in each shard, of which a layout picks its own.

    Guards against a hash for each site and shard of each layout: one that names the sites of the layout
    before it costs none, and of a shard's ranking only the first few are looked at.
    """

    def __init__(self) -> None:
        self._sites: dict[bytes, str] = {}
        self._ranked: dict[int, tuple[int, list[tuple[float, str]]]] = {}  # by shard: of how many sites

    def learn(self, sites: Iterable[str]) -> bool:
        """Rank these sites, too; False if there are too many."""
        for site in sites:
            if len(self._sites) < KNOWN_MOST or site.encode() in self._sites:
                self._sites[site.encode()] = site
            else:
                return False
        return True

    def missing(self, shard: int) -> int:
        """How many sites are still to be hashed for a shard."""
        return len(self._sites) - self._ranked.get(shard, (0, ()))[0]

    def ranked(self, shard: int) -> list[tuple[float, str]]:
        """The first sites of a shard with their lots, the highest first."""
        upto, ranked = self._ranked.get(shard, (0, []))
        if upto < len(self._sites):
            drawn = sorted(_drawn(shard, islice(self._sites, upto, None)), reverse=True)[:RANKED]
            news = [(_lot(each), self._sites[each[8:]]) for each in drawn]
            ranked = sorted([*ranked, *news], reverse=True)[:RANKED]
            self._ranked[shard] = len(self._sites), ranked
        return ranked

    def whole(self) -> bool:
        """Whether what is ranked is all that there is."""
        return len(self._sites) <= RANKED


def _drawn(shard: int, sites: Iterable[bytes]) -> list[bytes]:
    """The hash of each site and a shard, in front of the site's name."""
    prefix = b"%d/" % shard
    return [blake3(prefix + site).digest(length=8) + site for site in sites]


def _lot(drawn: bytes) -> float:
    """A number above 0 and below 1, which grows with the hash: what a weight of 1 scores by."""
    return ((int.from_bytes(drawn[:8], "big") >> 12) + 0.5) / 2**52


@lru_cache(maxsize=65_536)
def _hashed(channel: str) -> int:
    return int.from_bytes(blake3(channel.encode()).digest(length=8), "big")


@dataclass(frozen=True, slots=True)
class Layout:
    """Who keeps what from `since_us` (Unix microseconds) until the next layout begins."""

    since_us: int
    place: Place  # of the event that announced it
    version: int
    shards: int
    copies: int  # keepers of each shard, if there are that many sites
    sites: tuple[tuple[str, float], ...]
    _lots: Lots = field(default_factory=Lots, compare=False, repr=False)
    _known: dict[int, tuple[str, ...]] = field(default_factory=dict, compare=False, repr=False)
    _weights: dict[str, float] = field(default_factory=dict, compare=False, repr=False)

    @property
    def id(self) -> str:
        """The id of the event that announced it; empty for the first."""
        return f"{self.place.site}/{self.place.life}/{self.place.number}" if self.version else ""

    def shard(self, channel: str) -> int:
        """The shard of a channel."""
        return _hashed(channel) % self.shards

    def keepers(self, shard: int) -> tuple[str, ...]:
        """The sites that keep a shard, the first choice first: weighted rendezvous hashing."""
        if (known := self._known.get(shard)) is None:
            known = self._known[shard] = tuple(site for _, site in self._scores(shard)[: self.copies])
        return known

    def _scores(self, shard: int) -> list[tuple[float, str]]:
        """The scores of a shard's sites, the best (least) first; at least so many as keep it."""
        if self._learnt():
            scores, heaviest = list[tuple[float, str]](), max(self._weights.values())
            for lot, site in self._lots.ranked(shard):
                best = heaviest / math.log(lot)  # that any site from here on could score
                if len(scores) >= self.copies and sorted(scores)[self.copies - 1][0] * ROUNDING < best:
                    return sorted(scores)
                if (weight := self._weights.get(site)) is not None:
                    scores.append((weight / math.log(lot), site))
            if self._lots.whole():
                return sorted(scores)
        lots = map(_lot, _drawn(shard, (site.encode() for site, _ in self.sites)))
        return sorted((w / math.log(lot), site) for (site, w), lot in zip(self.sites, lots, strict=True))

    def _learnt(self) -> bool:
        if not self._weights and self._lots.learn(site for site, _ in self.sites):
            self._weights.update(self.sites)
        return bool(self._weights)

    def prepare(self, hashes: int) -> bool:
        """Rank the sites of some shards ahead of need: a layout to come mostly names the same.

        True: nothing is left to do.
        """
        for shard in range(self.shards if self._learnt() else 0):
            if missing := self._lots.missing(shard):
                self._lots.ranked(shard)
                if (hashes := hashes - missing) <= 0:
                    return False
        return True

    def document(self) -> dict[str, Any]:
        """The payload of the event that announces it."""
        sites = [list(site) for site in self.sites]
        return {"version": self.version, "from": self.since_us, "shards": self.shards,
                "keepers": self.copies, "sites": sites}  # fmt: skip


class Move(NamedTuple):
    """A shard that a site is to have, and to confirm by a KEPT event once it has it whole."""

    version: int
    shard: int
    layout: str  # the id of the layout's event

    def payload(self) -> dict[str, Any]:
        """The payload of the KEPT event."""
        return self._asdict()


class Keeper(NamedTuple):
    """A site that can be asked for a channel."""

    site: str
    whole: bool  # it has confirmed, or kept the shard from the start
    instead_of: tuple[str, ...] = ()  # keepers of then whose place it took


class Held(NamedTuple):
    """Who is to hold the channels of some shards now."""

    whole: dict[str, bool]  # by site: whether it has them whole
    sites: frozenset[str]
    channels: list[str]  # that were asked for


def _read(event: Event, lots: Lots) -> Layout:
    """The layout that an event announces. Raises ValueError, or an error of msgspec, for a damaged one."""
    found = msgspec.msgpack.decode(event.data, type=Announced)
    if not event.at - PAST_US <= found.since_us <= event.at + AHEAD_US:
        raise ValueError("`from` lies in the past or too far ahead of its announcement")
    if len(dict(found.sites)) < len(found.sites):
        raise ValueError("`sites` names one twice")
    if not all(math.isfinite(weight) for _, weight in found.sites):
        raise ValueError("`sites` has a weight that is no finite number")
    sites = tuple(sorted(found.sites))
    return Layout(found.since_us, event.place, found.version, found.shards, found.keepers, sites, lots)


class Layouts:
    """All layouts that were announced, and who has confirmed what. `sites` are those of the operator's file.

    The order is by the time from which a layout is valid, then by its event's place: of two that begin at
    one time, announced by sites cut apart, the later place holds, and the other stays in the history.
    """

    def __init__(self, sites: Sequence[str]) -> None:
        self.sites = frozenset(sites)
        self._lots = Lots()
        even = tuple((site, 1.0) for site in sorted(self.sites))
        first = Layout(0, NOWHERE, 0, SHARDS, KEEPERS, even, self._lots)
        self._history = [first]
        self._valid = [first]  # those that hold at some time
        self._starts = [0]
        self._kept: set[tuple[str, str, int]] = set()  # who confirmed which shard of which layout's event
        self._refused: dict[str, str] = {}
        self.refused_count = 0
        self._now_us = 0
        self._now = 0  # the place in `_valid` of the layout that holds now
        self._held: dict[tuple[int, ...], Held] = {}  # by shards
        self._held_by: dict[str, Held] = {}  # the same by channel
        self._counts: tuple[int, ...] = (SHARDS,)
        self._shards: dict[str, int] = {}  # by the id of an announced layout
        self.turn = next(TURNS)  # another whenever any answer may be another
        self.grown = self.turn  # another whenever a site may hold more than before
        self._ready = 0, 0  # for which of these, and of the layouts, nothing is left to do ahead

    @property
    def refused(self) -> list[tuple[str, str]]:
        """Events that were passed over for what they hold: id and why, the first of them."""
        return list(self._refused.items())

    def saw(self, event: Event) -> None:
        """Take in an event of `fleet`, in any order and any number of times; others are passed over."""
        if event.channel != FLEET or event.kind not in (LAYOUT, KEPT):
            return
        try:
            if event.kind == LAYOUT:
                self._add(_read(event, self._lots))
            else:
                kept = msgspec.msgpack.decode(event.data, type=Confirmed)
                self._keep(event.site, kept)
        except (ValueError, msgspec.MsgspecError, RecursionError) as bad:
            if event.id not in self._refused:
                self.refused_count += 1
                if len(self._refused) < REFUSED_MOST:
                    self._refused[event.id] = f"{event.kind}: {bad}"

    def _keep(self, site: str, kept: Confirmed) -> None:
        """Who may drop what can be another for the channels of one shard of one layout, if for any."""
        if (told := (site, kept.layout, kept.shard)) in self._kept:
            return
        self._kept.add(told)
        if (shards := self._shards.get(kept.layout)) is not None:
            place = self._counts.index(shards)
            for key in [key for key in self._held if key[place] == kept.shard]:
                for channel in self._held.pop(key).channels:
                    del self._held_by[channel]
            self.turn = next(TURNS)

    def _add(self, layout: Layout) -> None:
        place = bisect_right(self._history, _order(layout), key=_order)
        if _order(self._history[place - 1]) == _order(layout):
            return
        insort(self._history, layout, key=_order)
        self._shards[layout.id] = layout.shards
        self._valid = list({each.since_us: each for each in self._history}.values())
        self._starts = [each.since_us for each in self._valid]
        self._counts = tuple(sorted({each.shards for each in self._history}))
        self._now = max(0, bisect_right(self._starts, self._now_us) - 1)
        self._turn(True)

    def _turn(self, grows: bool = False) -> None:
        self._forget()
        self.turn = next(TURNS)
        if grows:
            self.grown = self.turn

    def _forget(self) -> None:
        self._held.clear()
        self._held_by.clear()

    @property
    def view(self) -> str:
        """Which layout holds now: two sites with the same events may differ in it, by their clocks."""
        return self._valid[self._now].id

    def passed(self, now_us: int) -> None:
        """It is that time (Unix microseconds) by the site's clock: what `wants` and the moves go by."""
        self._now_us = now_us
        if (now := max(0, bisect_right(self._starts, now_us) - 1)) != self._now:
            grows = now < self._now  # the clock was set back
            self._now = now
            self._turn(grows)

    def prepare(self, hashes: int) -> None:
        """Do work for a layout to come ahead of it, about so many hashes; none once all is done."""
        if self._ready != (self.grown, self._now) and self._valid[self._now].prepare(hashes):
            self._ready = self.grown, self._now

    def at(self, us: int) -> Layout:
        """The layout that is valid at a time."""
        return self._valid[max(0, bisect_right(self._starts, us) - 1)]

    def history(self) -> list[Layout]:
        """All layouts in their order, those that another one displaced among them."""
        return list(self._history)

    def _settled(self, layout: Layout, shard: int) -> bool:
        """Whether each keeper by a layout has confirmed a shard. Once so, it stays so."""
        keepers = layout.keepers(shard)
        return not layout.version or all((site, layout.id, shard) in self._kept for site in keepers)

    def _whole(self, site: str, channel: str) -> bool:
        """Whether a site has a channel whole: it confirmed, and cannot have dropped it since.

        It can once a later layout without it is settled, even one that another displaced meanwhile.
        """
        for layout in reversed(self._history):
            shard = layout.shard(channel)
            if site in layout.keepers(shard):
                if not layout.version or (site, layout.id, shard) in self._kept:
                    return True
            elif layout.since_us <= self._now_us and self._settled(layout, shard):
                return False
        return False

    def _holders(self, channel: str) -> Held:
        if (held := self._held_by.get(channel)) is None:
            if len(self._held_by) >= CHANNELS_MOST:
                self._forget()
            hashed = _hashed(channel)
            key = tuple([hashed % count for count in self._counts])
            if (held := self._held.get(key)) is None:
                held = self._held[key] = self._hold(channel)
            self._held_by[channel] = held
            held.channels.append(channel)
        return held

    def _hold(self, channel: str) -> Held:
        """Keepers by the layout that holds now and by those to come; while one of now has not confirmed,
        those by the layout before as well, and so on back.
        """
        sites = {s for layout in self._valid[self._now :] for s in layout.keepers(layout.shard(channel))}
        for layout in reversed(self._valid[: self._now + 1]):
            shard = layout.shard(channel)
            sites.update(layout.keepers(shard))
            if self._settled(layout, shard):
                break
        return Held({site: self._whole(site, channel) for site in sites}, frozenset(sites), [])

    def holders(self, channel: str) -> frozenset[str]:
        """The sites that are to hold a channel now: keepers, those to come, those that may not drop it."""
        return self._holders(channel).sites

    def wants(self, site: str, channel: str, origin: str) -> bool:
        """Whether a site is to have what an origin wrote on a channel: a `Scope` for `sync`."""
        return channel == FLEET or site == origin or site in self._holders(channel).sites

    def whole(self, site: str, channel: str) -> bool:
        """Whether a site has a channel whole, and is to hold it."""
        return channel == FLEET or self._holders(channel).whole.get(site, False)

    def may_drop(self, site: str, channel: str) -> bool:
        """Whether a site may forget what others wrote on a channel: its new keepers all have it whole."""
        return channel != FLEET and site not in self._holders(channel).sites

    def moves(self, site: str) -> list[Move]:
        """The shards that a site keeps now, or will by a layout to come, and has not confirmed.

        One that it kept before is among them: it confirms that at once, by which old keepers may drop it.
        """
        return [
            Move(layout.version, shard, layout.id)
            for layout in self._valid[self._now :]
            for shard in range(layout.shards if layout.version else 0)
            if site in layout.keepers(shard) and (site, layout.id, shard) not in self._kept
        ]

    def sources(self, move: Move) -> list[frozenset[str]]:
        """Whom a site must have met, for a shard to be whole there: one of each set, or be one itself."""
        places = [n for n, layout in enumerate(self._history) if layout.id == move.layout]
        return self._sources(places[0] - 1, move.shard, self._history[places[0]].shards) if places else []

    def _sources(self, place: int, shard: int, shards: int) -> list[frozenset[str]]:
        """Who had a shard whole by the layout at that place; where shards were cut otherwise, all of them."""
        layout = self._history[place]
        found: list[frozenset[str]] = []
        for each in (shard,) if layout.shards == shards else range(layout.shards):
            keepers = layout.keepers(each)
            whole = {s for s in keepers if not layout.version or (s, layout.id, each) in self._kept}
            if whole:
                found.append(frozenset(whole))
            else:
                found += self._sources(place - 1, each, layout.shards)
        return found

    def keepers(self, channel: str, at_us: int) -> list[Keeper]:
        """Whom to ask for a channel as of a time, in that order: those that have it whole, then the others.

        Keepers of then come before those that took over, by the layouts that followed. Sites that are gone
        from the operator's file, or may have dropped the channel, are left out. Every site keeps `fleet`.
        """
        start = max(0, bisect_right(self._starts, at_us) - 1)
        layout = self._valid[start]
        then = layout.keepers(layout.shard(channel))
        if channel == FLEET:
            return [Keeper(s, True) for s in dict.fromkeys((*then, *sorted(self.sites))) if s in self.sites]
        held = self._holders(channel).whole
        there = sum(site in self.sites for site in held)
        found: dict[str, Keeper] = {}
        for sites in self._onward(channel, start):
            for site in sites:
                if site in self.sites and site in held and site not in found:
                    gone = () if site in then else tuple(s for s in then if s not in sites)
                    found[site] = Keeper(site, held[site], gone)
            if len(found) == there:
                break
        return sorted(found.values(), key=lambda keeper: not keeper.whole)

    def _onward(self, channel: str, start: int) -> Iterator[tuple[str, ...]]:
        """The keepers by each layout from one on, then those by the ones before it, backwards."""
        for index in [*range(start, len(self._valid)), *range(start - 1, -1, -1)]:
            yield self._valid[index].keepers(self._valid[index].shard(channel))


def _order(layout: Layout) -> tuple[int, Place]:
    return layout.since_us, layout.place
