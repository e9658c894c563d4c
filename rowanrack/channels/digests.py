"""How far each stream goes at one site, and digests of that as the site shares it with each other one.

A changed head costs the same however many sites there are: digests are summed up (by xor) by who holds a
channel, and a site's are put together from those sums. Runs on the log's thread. Source: docs/channels.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from typing import Protocol

import msgspec
from blake3 import blake3

from rowanrack.channels.events import FLEET, Head, Stream

GROUPS = 64


class Laid(Protocol):
    """A layout that was announced, in force or not."""

    @property
    def id(self) -> str:
        """Its name, the same at every site."""

    def shard(self, channel: str) -> int:
        """The shard of a channel."""

    def keepers(self, shard: int) -> Sequence[str]:
        """The sites that keep a shard by it."""


class Scope(Protocol):
    """Who keeps what."""

    @property
    def turn(self) -> int:
        """Another number whenever any answer may be another one."""

    @property
    def grown(self) -> int:
        """Another number whenever a site may hold more than before."""

    @property
    def view(self) -> str:
        """What two sites that have the same of FLEET can see differently: the layout that holds now."""

    def history(self) -> Sequence[Laid]:
        """All layouts that are known, in the order of their beginnings."""

    def holders(self, channel: str) -> frozenset[str]:
        """The sites that keep all of a channel other than FLEET."""

    def wants(self, site: str, channel: str, origin: str) -> bool:
        """Whether a site keeps what `origin` wrote on a channel. Every site wants all of FLEET."""


@lru_cache(1 << 16)
def group_of(channel: str) -> int:
    """The group of a channel: FLEET has its own, 0."""
    return 0 if channel == FLEET else 1 + blake3(channel.encode()).digest(length=1)[0] % (GROUPS - 1)


def _digest(head: Head) -> int:
    told = msgspec.msgpack.encode((head.stream, head.number, head.chain))
    return int.from_bytes(blake3(told).digest(length=7), "big")


Sums = dict[int, int]  # by group


class Heads(dict[Stream, Head]):
    """A site's heads, and what follows from them. Changed by item, `update`, `del` and `reload` alone."""

    def __init__(self, site: str) -> None:
        super().__init__()
        self.site = site
        self.recent: dict[Stream, None] = {}  # own streams that changed, until `Log` takes them out
        self.own_changes = 0  # how often that was
        self.own: dict[Stream, int] = {}  # own streams by their last changes, in the order of these
        self.wrote: dict[str, None] = {}  # channels with such streams, or whose holders changed, likewise
        self.again: list[str] = []  # channels kept anew, with events of others left from before
        self._changed: dict[Stream, None] = {}
        self._digests: dict[Stream, int] = {}
        self._groups: dict[int, dict[Stream, None]] = {}
        self._channels: dict[str, dict[str, tuple[int, int]]] = {}  # by origin: sum, count of streams
        self._held_by: dict[str, frozenset[str]] = {}
        self._sums: dict[frozenset[str], tuple[Sums, dict[str, Sums]]] = {}  # of all, and by origin
        self._scope: Scope | None = None
        self._turn = 0
        self.fleet = 0  # FLEET's digest

    def __setitem__(self, stream: Stream, head: Head) -> None:
        super().__setitem__(stream, head)
        self._change(stream)

    def __delitem__(self, stream: Stream) -> None:
        super().__delitem__(stream)
        self._change(stream)

    def update(self, news: Mapping[Stream, Head]) -> None:  # type: ignore[override]
        """Take over so many heads."""
        super().update(news)
        for stream in news:
            self._change(stream)

    def reload(self, heads: Iterable[Head]) -> None:
        """Be these and no others."""
        now = {head.stream: head for head in heads}
        for stream in [stream for stream in self if stream not in now]:
            del self[stream]
        self.update({stream: head for stream, head in now.items() if self.get(stream) != head})

    def _change(self, stream: Stream) -> None:
        self._changed[stream] = None
        if stream.site == self.site:
            self.recent[stream] = self.wrote[stream.channel] = None
            self.own_changes += 1
            self.own.pop(stream, None)
            if stream in self:
                self.own[stream] = self.own_changes

    def follow(self, scope: Scope) -> None:
        """Bring all that follows from the heads up to what has changed of them, or of who keeps what."""
        if scope is not self._scope or scope.turn != self._turn:
            self._scope, self._turn = scope, scope.turn
            for channel, origins in self._channels.items():
                if channel == FLEET or (holders := scope.holders(channel)) is (was := self._held_by[channel]):
                    continue
                if holders != was:
                    for origin, (part, _) in origins.items():
                        self._add(channel, origin, part)  # xor: taken out
                    self._held_by[channel] = holders
                    for origin, (part, _) in origins.items():
                        self._add(channel, origin, part)
                    if self.site in origins:
                        self.wrote[channel] = None
                    if self.site in holders - was and origins.keys() - {self.site}:
                        self.again.append(channel)
        for stream in self._changed:
            self._follow(stream, scope)
        self._changed.clear()

    def _follow(self, stream: Stream, scope: Scope) -> None:
        head, channel = self.get(stream), stream.channel
        was, now = self._digests.get(stream), _digest(head) if head is not None else None
        if was == now:
            return
        group = self._groups.setdefault(group_of(channel), {})
        if now is None:
            del self._digests[stream], group[stream]
        else:
            self._digests[stream] = now
            group[stream] = None
        origins = self._channels.setdefault(channel, {})
        if channel != FLEET and channel not in self._held_by:
            self._held_by[channel] = scope.holders(channel)
        part, count = origins.get(stream.site, (0, 0))
        delta = (was or 0) ^ (now or 0)
        count += (now is not None) - (was is not None)
        origins[stream.site] = part ^ delta, count
        self._add(channel, stream.site, delta)
        if not count:
            del origins[stream.site]
            if not origins:
                del self._channels[channel]
                self._held_by.pop(channel, None)

    def _add(self, channel: str, origin: str, delta: int) -> None:
        if channel == FLEET:
            self.fleet ^= delta
            return
        group = group_of(channel)
        every, parts = self._sums.setdefault(self._held_by[channel], ({}, {}))
        for sums in (every, parts.setdefault(origin, {})):
            sums[group] = sums.get(group, 0) ^ delta

    def shared(self, peer: str) -> Sums:
        """The digests, by group, of what a site shares with this one, as of the last `follow`."""
        found: Sums = {0: self.fleet} if self.fleet else {}
        for holders, (every, parts) in self._sums.items():
            if self.site in holders:
                sums = every if peer in holders else parts.get(peer)
            else:
                sums = parts.get(self.site) if peer in holders else None
            if sums:
                for group, part in sums.items():
                    found[group] = found.get(group, 0) ^ part
        return {group: part for group, part in found.items() if part}

    def group(self, group: int) -> Iterable[Stream]:
        """The streams of a group, as of the last `follow`."""
        return self._groups.get(group, ())

    def holders(self, channel: str) -> frozenset[str]:
        """Who holds a channel of which something is here, as of the last `follow`; nobody: nothing is."""
        return self._held_by.get(channel, frozenset())

    def held(self) -> list[frozenset[str]]:
        """The sets of sites, each of which holds some channel that something is here of."""
        return [holders for holders, (every, _) in self._sums.items() if any(every.values())]
