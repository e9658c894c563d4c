"""Which sites keep which channel at which time: layouts, their shards, and the moves between layouts.

Every result depends only on the set of events seen and the time passed in, never on the order in which the
events came, so that all sites agree. No I/O. Source: docs/channels.md.
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

DEFAULT_SHARD_COUNT, DEFAULT_KEEPER_COUNT = 64, 2  # of the layout that is valid before any is announced
MAX_SHARD_COUNT, MAX_KEEPER_COUNT, MAX_SITE_COUNT = 4096, 16, 4096
MAX_BACKDATE_US = 60_000_000  # a layout may begin so long before its announcement, as clocks differ
MAX_LEAD_US = 366 * 86_400_000_000  # a layout may be announced so long before it begins
RANKING_SITE_COUNT = 64  # length of a shard's ranking: its keepers are among the first sites
MAX_KNOWN_SITE_COUNT = 2 * MAX_SITE_COUNT  # sites in the rankings; a layout with others sorts its own
ROUNDING_FACTOR = 1 - 1e-9  # margin for rounding errors when two scores are compared
MAX_CACHED_CHANNEL_COUNT = 65_536  # channels whose holders are cached
MAX_LISTED_REFUSED_COUNT = 100  # refused events that are listed; further ones are only counted
REVISIONS = count(1)  # shared by all `Layouts` of a process: those that are loaded again get new numbers
INITIAL_PLACE = Place(-1, -1, "", "", 0)  # place of the initial layout, which no event announced


class LayoutPayload(msgspec.Struct):
    """The payload of a LAYOUT event; fields of a newer version are ignored."""

    version: Annotated[int, Meta(ge=1)]
    since_us: Annotated[int, Meta(ge=0)] = msgspec.field(name="from")
    shards: Annotated[int, Meta(ge=1, le=MAX_SHARD_COUNT)]
    keepers: Annotated[int, Meta(ge=1, le=MAX_KEEPER_COUNT)]
    sites: Annotated[
        list[tuple[Annotated[str, Meta(min_length=1)], Annotated[float, Meta(gt=0)]]],
        Meta(min_length=1, max_length=MAX_SITE_COUNT),
    ]


class KeptPayload(msgspec.Struct):
    """The payload of a KEPT event.

    `layout` is the id of the layout's event, as two layouts may have the same version.
    """

    version: Annotated[int, Meta(ge=0)]
    shard: Annotated[int, Meta(ge=0, lt=MAX_SHARD_COUNT)]
    layout: str


class SiteRankings:
    """For each shard, the sites of several layouts ranked by hash; a layout picks its own sites from them.

    Avoids computing a hash for each site and shard of each layout: a layout with the same sites as the one
    before it needs no hashes, and reads only the first few entries of a shard's ranking.
    """

    def __init__(self) -> None:
        self._sites: dict[bytes, str] = {}
        # By shard: the number of sites that were hashed, and the first of them.
        self._rankings: dict[int, tuple[int, list[tuple[float, str]]]] = {}

    def add_sites(self, sites: Iterable[str]) -> bool:
        """Add sites to the rankings. Returns False if there are too many."""
        for site in sites:
            if len(self._sites) < MAX_KNOWN_SITE_COUNT or site.encode() in self._sites:
                self._sites[site.encode()] = site
            else:
                return False
        return True

    def unranked_count(self, shard: int) -> int:
        """Return how many sites are still to be hashed for a shard."""
        return len(self._sites) - self._rankings.get(shard, (0, ()))[0]

    def ranking(self, shard: int) -> list[tuple[float, str]]:
        """Return the first sites of a shard with their hash fractions, the highest first."""
        hashed_count, ranking = self._rankings.get(shard, (0, []))
        if hashed_count < len(self._sites):
            hashes_with_names = sorted(
                _site_hashes(shard, islice(self._sites, hashed_count, None)), reverse=True
            )[:RANKING_SITE_COUNT]
            added = [(_hash_fraction(each), self._sites[each[8:]]) for each in hashes_with_names]
            ranking = sorted([*ranking, *added], reverse=True)[:RANKING_SITE_COUNT]
            self._rankings[shard] = len(self._sites), ranking
        return ranking

    def whole(self) -> bool:
        """Return whether the rankings hold all known sites."""
        return len(self._sites) <= RANKING_SITE_COUNT


def _site_hashes(shard: int, sites: Iterable[bytes]) -> list[bytes]:
    """Return for each site its hash with the shard, followed by the site's name."""
    prefix = b"%d/" % shard
    return [blake3(prefix + site).digest(length=8) + site for site in sites]


def _hash_fraction(hash_with_name: bytes) -> float:
    """Return a number between 0 and 1, both excluded, that grows with the hash; it decides the score."""
    return ((int.from_bytes(hash_with_name[:8], "big") >> 12) + 0.5) / 2**52


@lru_cache(maxsize=65_536)
def _channel_hash(channel: str) -> int:
    return int.from_bytes(blake3(channel.encode()).digest(length=8), "big")


@dataclass(frozen=True, slots=True)
class Layout:
    """Assigns shards to sites from `since_us` (Unix microseconds) until the next layout begins."""

    since_us: int
    place: Place  # of the event that announced the layout
    version: int
    shards: int
    keeper_count: int  # keepers of each shard; fewer if there are fewer sites
    sites: tuple[tuple[str, float], ...]
    _site_rankings: SiteRankings = field(default_factory=SiteRankings, compare=False, repr=False)
    _keeper_cache: dict[int, tuple[str, ...]] = field(default_factory=dict, compare=False, repr=False)
    _weights: dict[str, float] = field(default_factory=dict, compare=False, repr=False)

    @property
    def id(self) -> str:
        """The id of the event that announced the layout; empty for the initial one."""
        return f"{self.place.site}/{self.place.life}/{self.place.number}" if self.version else ""

    def shard(self, channel: str) -> int:
        """Return the shard of a channel."""
        return _channel_hash(channel) % self.shards

    def keepers(self, shard: int) -> tuple[str, ...]:
        """Return the sites that keep a shard, by weighted rendezvous hashing, the best score first."""
        if (keepers := self._keeper_cache.get(shard)) is None:
            keepers = self._keeper_cache[shard] = tuple(
                site for _, site in self._scores(shard)[: self.keeper_count]
            )
        return keepers

    def _scores(self, shard: int) -> list[tuple[float, str]]:
        """Return the scores of a shard's sites, the best (lowest) first; at least those of its keepers."""
        if self._ensure_ranked():
            scores, heaviest = list[tuple[float, str]](), max(self._weights.values())
            for fraction, site in self._site_rankings.ranking(shard):
                best_possible = heaviest / math.log(fraction)  # bound for the scores of all further sites
                if (
                    len(scores) >= self.keeper_count
                    and sorted(scores)[self.keeper_count - 1][0] * ROUNDING_FACTOR < best_possible
                ):
                    return sorted(scores)
                if (weight := self._weights.get(site)) is not None:
                    scores.append((weight / math.log(fraction), site))
            if self._site_rankings.whole():
                return sorted(scores)
        fractions = map(_hash_fraction, _site_hashes(shard, (site.encode() for site, _ in self.sites)))
        return sorted(
            (weight / math.log(fraction), site)
            for (site, weight), fraction in zip(self.sites, fractions, strict=True)
        )

    def _ensure_ranked(self) -> bool:
        if not self._weights and self._site_rankings.add_sites(site for site, _ in self.sites):
            self._weights.update(self.sites)
        return bool(self._weights)

    def prepare(self, hashes: int) -> bool:
        """Rank the sites of some shards in advance: the next layout mostly has the same sites.

        Stops after about `hashes` hashes. Returns True once nothing is left to do.
        """
        for shard in range(self.shards if self._ensure_ranked() else 0):
            if missing := self._site_rankings.unranked_count(shard):
                self._site_rankings.ranking(shard)
                if (hashes := hashes - missing) <= 0:
                    return False
        return True

    def payload(self) -> dict[str, Any]:
        """Return the payload of the event that announces the layout."""
        sites = [list(site) for site in self.sites]
        return {"version": self.version, "from": self.since_us, "shards": self.shards,
                "keepers": self.keeper_count, "sites": sites}  # fmt: skip


class Move(NamedTuple):
    """A shard that a site has to fetch, and to confirm by a KEPT event once it has all of it."""

    version: int
    shard: int
    layout: str  # the id of the layout's event

    def payload(self) -> dict[str, Any]:
        """Return the payload of the KEPT event."""
        return self._asdict()


class Keeper(NamedTuple):
    """A site that can be asked for a channel."""

    site: str
    whole: bool  # it confirmed the shard, or kept it by the initial layout
    instead_of: tuple[str, ...] = ()  # the earlier keepers that it replaced


class ChannelHolders(NamedTuple):
    """The sites that have to hold the channels of some shards at present."""

    whole: dict[str, bool]  # by site: whether it has all of these channels' events
    sites: frozenset[str]
    channels: list[str]  # the cached channels


def _decode_layout(event: Event, rankings: SiteRankings) -> Layout:
    """Return the layout that an event announces. Raises ValueError or MsgspecError for a damaged one."""
    payload = msgspec.msgpack.decode(event.data, type=LayoutPayload)
    if not event.at - MAX_BACKDATE_US <= payload.since_us <= event.at + MAX_LEAD_US:
        raise ValueError("`from` lies in the past or too far ahead of its announcement")
    if len(dict(payload.sites)) < len(payload.sites):
        raise ValueError("`sites` names a site twice")
    if not all(math.isfinite(weight) for _, weight in payload.sites):
        raise ValueError("`sites` has a weight that is not finite")
    sites = tuple(sorted(payload.sites))
    return Layout(
        payload.since_us, event.place, payload.version, payload.shards, payload.keepers, sites, rankings
    )


class Layouts:
    """All announced layouts, and the shards that sites confirmed. `sites` are those of the site file.

    Layouts are ordered by the time from which they are valid, then by the place of their event. If two begin
    at the same time, announced by sites that were partitioned, the one with the later place is valid; the
    other one stays in the history.
    """

    def __init__(self, sites: Sequence[str]) -> None:
        self.sites = frozenset(sites)
        self._site_rankings = SiteRankings()
        equal_weights = tuple((site, 1.0) for site in sorted(self.sites))
        initial = Layout(
            0, INITIAL_PLACE, 0, DEFAULT_SHARD_COUNT, DEFAULT_KEEPER_COUNT, equal_weights, self._site_rankings
        )
        self._history = [initial]
        self._valid = [initial]  # the layouts that are valid at some time
        self._starts = [0]
        self._confirmed: set[tuple[str, str, int]] = set()  # site, layout id and shard
        self._refused: dict[str, str] = {}
        self.refused_count = 0
        self._now_us = 0
        self._current = 0  # index in `_valid` of the current layout
        # By the channel's shard for each of `_shard_counts`.
        self._holders_by_shards: dict[tuple[int, ...], ChannelHolders] = {}
        self._holders_by_channel: dict[str, ChannelHolders] = {}  # the same, by channel
        self._shard_counts: tuple[int, ...] = (DEFAULT_SHARD_COUNT,)
        self._shard_count_by_layout: dict[str, int] = {}  # shard counts by layout id
        self.turn = next(REVISIONS)  # changes whenever any result may have changed
        self.grown = self.turn  # changes whenever a site may hold more than before
        self._prepared_for = 0, 0  # the values of `grown` and the current index for which `prepare` is done

    @property
    def refused(self) -> list[tuple[str, str]]:
        """The first events that were refused for their content: id and reason."""
        return list(self._refused.items())

    def saw(self, event: Event) -> None:
        """Apply an event of `fleet`; order and repetition do not matter. Other events are ignored."""
        if event.channel != FLEET or event.kind not in (LAYOUT, KEPT):
            return
        try:
            if event.kind == LAYOUT:
                self._add_layout(_decode_layout(event, self._site_rankings))
            else:
                payload = msgspec.msgpack.decode(event.data, type=KeptPayload)
                self._confirm(event.site, payload)
        except (ValueError, msgspec.MsgspecError, RecursionError) as error:
            if event.id not in self._refused:
                self.refused_count += 1
                if len(self._refused) < MAX_LISTED_REFUSED_COUNT:
                    self._refused[event.id] = f"{event.kind}: {error}"

    def _confirm(self, site: str, payload: KeptPayload) -> None:
        """Record a confirmation. It can change the holders only of the channels of that layout's shard."""
        if (confirmation := (site, payload.layout, payload.shard)) in self._confirmed:
            return
        self._confirmed.add(confirmation)
        if (shards := self._shard_count_by_layout.get(payload.layout)) is not None:
            place = self._shard_counts.index(shards)
            for key in [key for key in self._holders_by_shards if key[place] == payload.shard]:
                for channel in self._holders_by_shards.pop(key).channels:
                    del self._holders_by_channel[channel]
            self.turn = next(REVISIONS)

    def _add_layout(self, layout: Layout) -> None:
        place = bisect_right(self._history, _sort_key(layout), key=_sort_key)
        if _sort_key(self._history[place - 1]) == _sort_key(layout):
            return
        insort(self._history, layout, key=_sort_key)
        self._shard_count_by_layout[layout.id] = layout.shards
        self._valid = list({each.since_us: each for each in self._history}.values())
        self._starts = [each.since_us for each in self._valid]
        self._shard_counts = tuple(sorted({each.shards for each in self._history}))
        self._current = max(0, bisect_right(self._starts, self._now_us) - 1)
        self._mark_changed(True)

    def _mark_changed(self, grows: bool = False) -> None:
        self._clear_cache()
        self.turn = next(REVISIONS)
        if grows:
            self.grown = self.turn

    def _clear_cache(self) -> None:
        self._holders_by_shards.clear()
        self._holders_by_channel.clear()

    @property
    def view(self) -> str:
        """The id of the current layout: sites with the same events may differ in it, by their clocks."""
        return self._valid[self._current].id

    def passed(self, now_us: int) -> None:
        """Set the time of the site's clock (Unix microseconds), by which `wants` and `moves` decide."""
        self._now_us = now_us
        if (index := max(0, bisect_right(self._starts, now_us) - 1)) != self._current:
            grows = index < self._current  # the clock was set back
            self._current = index
            self._mark_changed(grows)

    def prepare(self, hashes: int) -> None:
        """Do work for a future layout in advance, about so many hashes; does nothing once all is done."""
        if self._prepared_for != (self.grown, self._current) and self._valid[self._current].prepare(hashes):
            self._prepared_for = self.grown, self._current

    def at(self, us: int) -> Layout:
        """Return the layout that is valid at a time."""
        return self._valid[max(0, bisect_right(self._starts, us) - 1)]

    def history(self) -> list[Layout]:
        """Return all layouts in order, with those that another one displaced."""
        return list(self._history)

    def _is_settled(self, layout: Layout, shard: int) -> bool:
        """Return whether each keeper of a layout has confirmed a shard. That never becomes false again."""
        keepers = layout.keepers(shard)
        return not layout.version or all((site, layout.id, shard) in self._confirmed for site in keepers)

    def _has_whole(self, site: str, channel: str) -> bool:
        """Return whether a site has a whole channel: it confirmed it, and cannot have dropped it since.

        It may have dropped it if all keepers of a later layout without the site have confirmed, even if
        another layout has displaced that one in the meantime.
        """
        for layout in reversed(self._history):
            shard = layout.shard(channel)
            if site in layout.keepers(shard):
                if not layout.version or (site, layout.id, shard) in self._confirmed:
                    return True
            elif layout.since_us <= self._now_us and self._is_settled(layout, shard):
                return False
        return False

    def _holders(self, channel: str) -> ChannelHolders:
        if (holders_now := self._holders_by_channel.get(channel)) is None:
            if len(self._holders_by_channel) >= MAX_CACHED_CHANNEL_COUNT:
                self._clear_cache()
            channel_hash = _channel_hash(channel)
            key = tuple([channel_hash % count for count in self._shard_counts])
            if (holders_now := self._holders_by_shards.get(key)) is None:
                holders_now = self._holders_by_shards[key] = self._find_holders(channel)
            self._holders_by_channel[channel] = holders_now
            holders_now.channels.append(channel)
        return holders_now

    def _find_holders(self, channel: str) -> ChannelHolders:
        """Find the keepers by the current and all future layouts.

        While a current keeper has not confirmed, add those by the layout before, and so on backwards.
        """
        sites = {s for layout in self._valid[self._current :] for s in layout.keepers(layout.shard(channel))}
        for layout in reversed(self._valid[: self._current + 1]):
            shard = layout.shard(channel)
            sites.update(layout.keepers(shard))
            if self._is_settled(layout, shard):
                break
        return ChannelHolders({site: self._has_whole(site, channel) for site in sites}, frozenset(sites), [])

    def holders(self, channel: str) -> frozenset[str]:
        """Return the sites that have to hold a channel now: current and future keepers, and the earlier
        keepers that may not drop it yet.
        """
        return self._holders(channel).sites

    def wants(self, site: str, channel: str, origin: str) -> bool:
        """Return whether a site has to hold an origin's events of a channel; implements `Scope` of `sync`."""
        return channel == FLEET or site == origin or site in self._holders(channel).sites

    def whole(self, site: str, channel: str) -> bool:
        """Return whether a site has a whole channel and has to hold it."""
        return channel == FLEET or self._holders(channel).whole.get(site, False)

    def may_drop(self, site: str, channel: str) -> bool:
        """Return whether a site may delete others' events of a channel: its new keepers have all of it."""
        return channel != FLEET and site not in self._holders(channel).sites

    def moves(self, site: str) -> list[Move]:
        """Return the shards that a site keeps by the current or a future layout and has not confirmed.

        These include shards that it kept before. It confirms those at once, which lets old keepers drop them.
        """
        return [
            Move(layout.version, shard, layout.id)
            for layout in self._valid[self._current :]
            for shard in range(layout.shards if layout.version else 0)
            if site in layout.keepers(shard) and (site, layout.id, shard) not in self._confirmed
        ]

    def sources(self, move: Move) -> list[frozenset[str]]:
        """Return sets of sites. A site has all of a shard once it has exchanged with one site of each set, or
        is in the set itself.
        """
        places = [n for n, layout in enumerate(self._history) if layout.id == move.layout]
        return self._sources(places[0] - 1, move.shard, self._history[places[0]].shards) if places else []

    def _sources(self, place: int, shard: int, shards: int) -> list[frozenset[str]]:
        """Return the sites that had a whole shard by the layout at that index in the history.

        If that layout has another shard count, the sites of all its shards.
        """
        layout = self._history[place]
        found: list[frozenset[str]] = []
        for each_shard in (shard,) if layout.shards == shards else range(layout.shards):
            keepers = layout.keepers(each_shard)
            whole = {
                s for s in keepers if not layout.version or (s, layout.id, each_shard) in self._confirmed
            }
            if whole:
                found.append(frozenset(whole))
            else:
                found += self._sources(place - 1, each_shard, layout.shards)
        return found

    def keepers(self, channel: str, at_us: int) -> list[Keeper]:
        """Return the sites to ask for a channel as of a time: first those that have all of it, then others.

        In both groups the keepers of that time come before those that replaced them by later layouts. Sites
        that are not in the site file any more, or may have dropped the channel, are left out. Every site
        keeps `fleet`.
        """
        start = max(0, bisect_right(self._starts, at_us) - 1)
        layout = self._valid[start]
        keepers_then = layout.keepers(layout.shard(channel))
        if channel == FLEET:
            return [
                Keeper(s, True)
                for s in dict.fromkeys((*keepers_then, *sorted(self.sites)))
                if s in self.sites
            ]
        holders_now = self._holders(channel).whole
        available_count = sum(site in self.sites for site in holders_now)
        found: dict[str, Keeper] = {}
        for sites in self._keepers_by_layout(channel, start):
            for site in sites:
                if site in self.sites and site in holders_now and site not in found:
                    replaced = (
                        () if site in keepers_then else tuple(s for s in keepers_then if s not in sites)
                    )
                    found[site] = Keeper(site, holders_now[site], replaced)
            if len(found) == available_count:
                break
        return sorted(found.values(), key=lambda keeper: not keeper.whole)

    def _keepers_by_layout(self, channel: str, start: int) -> Iterator[tuple[str, ...]]:
        """Yield the keepers by each layout from `start` on, then by the earlier ones, backwards."""
        for index in [*range(start, len(self._valid)), *range(start - 1, -1, -1)]:
            yield self._valid[index].keepers(self._valid[index].shard(channel))


def _sort_key(layout: Layout) -> tuple[int, Place]:
    return layout.since_us, layout.place
