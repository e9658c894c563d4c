"""The stream heads of one site, and digests of those that it shares with each other site.

The cost of a changed head does not depend on the number of sites: head digests are combined by XOR per set of
holders of a channel, and the digests shared with a peer are combined from those. Runs on the log thread.
Design: docs/channels.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from typing import Protocol

import msgspec
from blake3 import blake3

from rowanrack.channels.events import FLEET, Head, Stream

GROUP_COUNT = 64  # channels are compared in this many groups


class AnnouncedLayout(Protocol):
    """An announced layout, whether in force or not."""

    @property
    def id(self) -> str:
        """The id of the layout, the same at every site."""

    def shard(self, channel: str) -> int:
        """Return the shard of a channel."""

    def keepers(self, shard: int) -> Sequence[str]:
        """Return the sites that keep a shard in this layout."""


class Scope(Protocol):
    """The assignment of channels to sites."""

    @property
    def turn(self) -> int:
        """A number that changes whenever any answer may change."""

    @property
    def grown(self) -> int:
        """A number that changes whenever a site may hold more than before."""

    @property
    def view(self) -> str:
        """The layout in force now; sites with the same FLEET events may still differ in it."""

    def history(self) -> Sequence[AnnouncedLayout]:
        """Return all known layouts, ordered by when they take effect."""

    def holders(self, channel: str) -> frozenset[str]:
        """Return the sites that keep the whole of a channel other than FLEET."""

    def wants(self, site: str, channel: str, origin: str) -> bool:
        """Whether a site keeps the events of `origin` on a channel. Every site keeps all of FLEET."""


@lru_cache(1 << 16)
def group_of(channel: str) -> int:
    """Return the group of a channel; group 0 is for FLEET alone."""
    return 0 if channel == FLEET else 1 + blake3(channel.encode()).digest(length=1)[0] % (GROUP_COUNT - 1)


def _digest(head: Head) -> int:
    encoded = msgspec.msgpack.encode((head.stream, head.number, head.chain))
    return int.from_bytes(blake3(encoded).digest(length=7), "big")


GroupDigests = dict[int, int]  # by group of channels


class HeadIndex(dict[Stream, Head]):
    """The heads of a site with derived indexes. Change it by item, `update`, `del` and `reload` only."""

    def __init__(self, site: str) -> None:
        super().__init__()
        self.site = site
        self.recent_streams: dict[Stream, None] = {}  # changed local streams, until `Log` removes them
        self.own_changes = 0  # number of changes of local streams
        self.own_streams: dict[Stream, int] = {}  # local streams, each with its last change, in that order
        # Channels with changed local streams or holders, until `Log` clears it
        self.changed_channels: dict[str, None] = {}
        self.regained: list[str] = []  # channels kept here again that still have old events of other sites
        self._changed: dict[Stream, None] = {}
        self._stream_digests: dict[Stream, int] = {}
        self._groups: dict[int, dict[Stream, None]] = {}
        # By channel and origin: digest, stream count
        self._channels: dict[str, dict[str, tuple[int, int]]] = {}
        self._holders: dict[str, frozenset[str]] = {}
        # By holders: digests of all streams, and by origin
        self._holder_digests: dict[frozenset[str], tuple[GroupDigests, dict[str, GroupDigests]]] = {}
        self._scope: Scope | None = None
        self._scope_version = 0
        self.fleet_digest = 0  # digest of FLEET

    def __setitem__(self, stream: Stream, head: Head) -> None:
        super().__setitem__(stream, head)
        self._mark_changed(stream)

    def __delitem__(self, stream: Stream) -> None:
        super().__delitem__(stream)
        self._mark_changed(stream)

    def update(self, heads: Mapping[Stream, Head]) -> None:  # type: ignore[override]
        """Add or replace several heads."""
        super().update(heads)
        for stream in heads:
            self._mark_changed(stream)

    def reload(self, heads: Iterable[Head]) -> None:
        """Replace all heads by the given ones."""
        new_heads = {head.stream: head for head in heads}
        for stream in [stream for stream in self if stream not in new_heads]:
            del self[stream]
        self.update({stream: head for stream, head in new_heads.items() if self.get(stream) != head})

    def _mark_changed(self, stream: Stream) -> None:
        self._changed[stream] = None
        if stream.site == self.site:
            self.recent_streams[stream] = self.changed_channels[stream.channel] = None
            self.own_changes += 1
            self.own_streams.pop(stream, None)
            if stream in self:
                self.own_streams[stream] = self.own_changes

    def follow(self, scope: Scope) -> None:
        """Update the derived indexes after changes of heads or of the scope."""
        if scope is not self._scope or scope.turn != self._scope_version:
            self._scope, self._scope_version = scope, scope.turn
            for channel, origins in self._channels.items():
                if channel == FLEET or (holders := scope.holders(channel)) is (
                    previous_holders := self._holders[channel]
                ):
                    continue
                if holders != previous_holders:
                    for origin, (digest, _) in origins.items():
                        self._toggle_digest(channel, origin, digest)  # XOR a second time removes it
                    self._holders[channel] = holders
                    for origin, (digest, _) in origins.items():
                        self._toggle_digest(channel, origin, digest)
                    if self.site in origins:
                        self.changed_channels[channel] = None
                    if self.site in holders - previous_holders and origins.keys() - {self.site}:
                        self.regained.append(channel)
        for stream in self._changed:
            self._update_stream(stream, scope)
        self._changed.clear()

    def _update_stream(self, stream: Stream, scope: Scope) -> None:
        head, channel = self.get(stream), stream.channel
        previous, current = self._stream_digests.get(stream), _digest(head) if head is not None else None
        if previous == current:
            return
        group = self._groups.setdefault(group_of(channel), {})
        if current is None:
            del self._stream_digests[stream], group[stream]
        else:
            self._stream_digests[stream] = current
            group[stream] = None
        origins = self._channels.setdefault(channel, {})
        if channel != FLEET and channel not in self._holders:
            self._holders[channel] = scope.holders(channel)
        digest, count = origins.get(stream.site, (0, 0))
        delta = (previous or 0) ^ (current or 0)
        count += (current is not None) - (previous is not None)
        origins[stream.site] = digest ^ delta, count
        self._toggle_digest(channel, stream.site, delta)
        if not count:
            del origins[stream.site]
            if not origins:
                del self._channels[channel]
                self._holders.pop(channel, None)

    def _toggle_digest(self, channel: str, origin: str, delta: int) -> None:
        if channel == FLEET:
            self.fleet_digest ^= delta
            return
        group = group_of(channel)
        total, by_origin = self._holder_digests.setdefault(self._holders[channel], ({}, {}))
        for sums in (total, by_origin.setdefault(origin, {})):
            sums[group] = sums.get(group, 0) ^ delta

    def shared_digests(self, peer: str) -> GroupDigests:
        """Return the digests, by group, of the streams shared with a peer, as of the last `follow`."""
        combined: GroupDigests = {0: self.fleet_digest} if self.fleet_digest else {}
        for holders, (total, by_origin) in self._holder_digests.items():
            if self.site in holders:
                sums = total if peer in holders else by_origin.get(peer)
            else:
                sums = by_origin.get(self.site) if peer in holders else None
            if sums:
                for group, digest in sums.items():
                    combined[group] = combined.get(group, 0) ^ digest
        return {group: digest for group, digest in combined.items() if digest}

    def group(self, group: int) -> Iterable[Stream]:
        """Return the streams of a group, as of the last `follow`."""
        return self._groups.get(group, ())

    def holders(self, channel: str) -> frozenset[str]:
        """Return the holders of a channel as of the last `follow`; empty if no stream of it is here."""
        return self._holders.get(channel, frozenset())

    def holder_sets(self) -> list[frozenset[str]]:
        """Return the sets of holders of the channels that have streams here."""
        return [holders for holders, (total, _) in self._holder_digests.items() if any(total.values())]
