"""The event log of one site: local and replicated events, and the time up to which a channel is settled.

All methods run on the log thread and leave I/O to the store. Times are Unix microseconds. Design:
docs/channels.md.
"""

from __future__ import annotations

import secrets
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import groupby, islice
from typing import NamedTuple

import msgspec
from blake3 import blake3

from rowanrack.channels.clock import HybridClock
from rowanrack.channels.digests import HeadIndex, Scope
from rowanrack.channels.events import (
    CHAIN_BYTES,
    FLEET,
    START,
    Event,
    Gap,
    Head,
    Place,
    Stream,
    branched,
    chained,
    next_chain,
)
from rowanrack.channels.ports import LogStore, Time

# The stored promise is this far ahead of those sent, so that few promises need a write
PROMISE_LEAD_US = 2_000_000
MAX_PAYLOAD_BYTES = 64 * 1024
MAX_NAME_BYTES = 255  # of a channel, a site, an incarnation or an event kind
MAX_TIME_US = 1 << 62
LOG_REPEAT_US = 600_000_000  # minimum time between two log lines of one sort about one site
READ_PAGE_BYTES = 1 << 20  # read from a stream at a time
# A promise names at most this many streams of its site, all written within this time.
RECENT_STREAMS_COUNT, RECENT_WRITES_US = 64, 30_000_000
MAX_RELAYED_LEAD_US = 60_000_000  # a relayed promise further ahead of the local clock does not count
# A promise names each owed site by a short hash; a site that matches by chance only asks needlessly
SITE_TAG_BYTES = 3
MAX_OWED_COUNT = 64  # a promise that would name more sites counts through direct exchanges only
RELAY_WAIT_US = 5_000_000  # how long a relayed promise may take before its site is asked directly
# Newest local events, kept in memory to serve other sites without reading the store
RECENT_EVENTS_COUNT = 2000
MAX_PROMISES_BYTES = 96 * 1024  # approximate limit for the promises in one body


class Noted(NamedTuple):
    """An event to write. `data` is the encoded payload (`packed`), `seen` the places of events it names."""

    channel: str
    kind: str
    data: bytes
    at_us: int  # when the event happened
    seen: Sequence[Place] = ()


class Promise(msgspec.Struct, frozen=True, array_like=True):
    """A site's promise that it will write no event with a time up to and including `at`."""

    site: str
    life: str
    at: int
    incarnations_digest: bytes  # the incarnations the site knew of at that time
    # `recent_writes` covers all events of the site after this time, except those on FLEET
    writes_since: int = MAX_TIME_US
    recent_writes: tuple[tuple[str, int], ...] = ()  # channels, each with the last event number written there
    session: str = ""  # identifies the period since the site last opened its log
    fleet_digest: bytes = b""  # digest of the known layouts and sessions; empty if `owed_tags` is unknown
    owed_tags: bytes = b""  # `_site_tag` of each site that may lack events of this site up to `writes_since`


_PromiseRest = tuple[bytes, int, tuple[tuple[str, int], ...], str, bytes, bytes]
_decode_rest = msgspec.msgpack.Decoder(_PromiseRest).decode


class EncodedPromise(msgspec.Struct, frozen=True, array_like=True):
    """A promise as sent in a body; `rest` is decoded only if the promise is newer than the one held."""

    site: str
    life: str
    at: int
    rest: msgspec.Raw

    def decode(self) -> Promise:
        """Decode the promise. Raises MsgspecError if `rest` is malformed."""
        return Promise(self.site, self.life, self.at, *_decode_rest(self.rest))


def encode_promise(promise: Promise) -> EncodedPromise:
    """Encode a promise for a body."""
    rest: _PromiseRest = (
        promise.incarnations_digest,
        promise.writes_since,
        promise.recent_writes,
        promise.session,
        promise.fleet_digest,
        promise.owed_tags,
    )
    return EncodedPromise(promise.site, promise.life, promise.at, msgspec.Raw(msgspec.msgpack.encode(rest)))


class CountedPromise(NamedTuple):
    """A promise that counts for the channels held when it was counted."""

    promise: Promise
    holdings_version: int  # the value of `Scope.grown` at that time
    counted_us: int  # steady clock


@dataclass(slots=True)
class PeerState:
    """What this site knows about another one from their exchanges."""

    acked_change: int = 0  # the peer holds the local promises up to this change
    session: str = ""  # the peer's session, to which `received_change` refers
    received_change: int = 0  # this site holds the peer's promises up to this change
    fleet_digest: int = -1  # digest of FLEET at the peer
    last_write_round: int = 0  # last write round with events for the peer
    acked_write_round: int = 0  # last write round that the peer has received
    # Last write round that is certain to be in the peer's log in its current session
    confirmed_write_round: int = 0
    owed_from_us: int = 0  # events the peer may lack are later than this time
    confirm_from_round: int = 0  # exchanges begun before this round do not confirm anything
    completed_us: int = 0  # steady clock at the end of the last complete exchange
    # Local streams, each with the last number the peer had
    delivered: dict[Stream, int] = field(default_factory=dict)
    delivered_upto: int = 0  # last change of the local streams that `delivered` covers; 0: none
    # Local streams when this site last answered that the peer lacks events
    answered_streams: OwnStreams | None = None


class OwnStreams(NamedTuple):
    """Local streams that changed since a peer last had all of them."""

    upto: int  # number of the last change covered
    numbers: dict[Stream, int]  # last event number of each


class Log:
    """The event log of one site on top of a store.

    Every method may raise LogError; it has then changed nothing.
    """

    def __init__(
        self,
        store: LogStore,
        time: Time,
        site: str,
        members: Iterable[str],
        report: Callable[[str], None],
        *,
        retention_us: int = 7 * 86_400_000_000,
        max_bytes: int = 1 << 40,
        new_incarnation: Callable[[], str] = lambda: secrets.token_hex(6),
        on_events: Callable[[Sequence[Event]], None] = lambda events: None,
    ) -> None:
        """Create a log; call `open` before use.

        `members` are the configured senders, with or without this one. `report` receives log lines.
        Retention keeps events for `retention_us` and up to `max_bytes`. `new_incarnation` returns a name for
        a new incarnation. `on_events` receives events once they are stored, whether written or merged, in any
        order of streams. When `rewritten` grows, events were renamed (see `fork`) and state derived from them
        must be rebuilt.
        """
        self.store, self.site, self.life = store, site, ""
        self.members = sorted({*members, site})
        # Returns the Unix time of the oldest event that is queued but not written yet, or None.
        self.waits_since: Callable[[], int | None] = lambda: None
        self.exchanges: dict[str, object] = {}  # exchanges begun by this site, by peer; owned by sync.py
        self._time, self._report, self._new_incarnation = time, report, new_incarnation
        self._on_events, self.rewritten = on_events, 0
        self._retention_us, self._max_bytes = retention_us, max_bytes
        self._heads = HeadIndex(site)
        self._clock = HybridClock(time)
        self._stored_promise = 0
        # Promises on FLEET by site and incarnation, ordered by last change, except for the local one.
        self._promises: dict[tuple[str, str], Promise] = {}
        self._encoded_promises: dict[tuple[str, str], EncodedPromise] = {}  # encoded for bodies
        # Number of the last change, and which peer sent it
        self._changed: dict[tuple[str, str], tuple[int, str]] = {}
        self._change_count = 0
        self._last_introduction = 0  # last change that introduced an incarnation or a session
        self.session = secrets.token_hex(4)  # `_change_count` starts from 0 in each session
        self._peer_states = {member: PeerState() for member in self.members}
        self._write_round = 0  # counts rounds of local writes that other sites are owed
        self._incarnations_digest = b""
        self._counted_promises: dict[tuple[str, str], CountedPromise] = {}  # for all channels held here
        self._pending_promises: dict[tuple[str, str], Promise] = {}  # relayed promises that may count later
        self._writes_since = 0  # `writes_since` of the local promises
        self._recent_events: dict[str, deque[Event]] = {}  # newest events of this incarnation, by channel
        self._recent_order = deque[str]()  # their channels, oldest event first
        self._recent_writes_cache: tuple[int, int, tuple[tuple[str, int], ...]] = -1, 0, ()
        self.scope: Scope | None = None  # which site keeps what; None: every site keeps everything
        # Promises accepted because of what they say is owed
        self._claimed_promises: dict[tuple[str, str], CountedPromise] = {}
        # Sessions of other sites, each with the time of its promise
        self._sessions: dict[str, tuple[int, str]] = {}
        self._fleet_digest_cache = b""  # digest of all sessions and of the layouts
        self._owed_to: dict[str, frozenset[str]] = {}  # by channel: sites that were owed the last write
        self._owed_from = 0  # events that are in no write round yet are later than this time
        self._last_promise_us = 0  # time of the last local promise
        self._layout_ids: list[str] = []  # ids of the known layouts
        self._scope_version, self._scope_holdings_version, self._current_layout, self._layout_changed_us = (
            -1,
            0,
            "",
            0,
        )
        # By channel: sites that keep it in any layout
        self._keepers_by_channel: dict[str, frozenset[str]] = {}
        self._co_keepers_cache: tuple[int, int, frozenset[str]] = -1, 0, frozenset()
        self._layout_went_back = False  # whether the local clock went back across the start of a layout
        self._dropped: set[str] = set()  # channels dropped here
        # Sites without a counted promise, since when (steady clock)
        self._uncounted_since: dict[str, int] = {}
        self._settled: dict[str, int] = {}  # by channel: highest time reported as settled
        self._duplicated: set[tuple[str, str]] = set()
        self._next_report_us: dict[tuple[str, str], int] = {}

    def open(self) -> None:
        """Open the store; choose a new incarnation if the store is empty."""
        self.store.open()
        self._reload()
        floor = self.store.mark("floor")
        self._stored_promise = int.from_bytes(floor or b"", "big")
        self._clock = HybridClock(self._time, self._stored_promise)
        for head in self._heads.values():
            self._clock.observe(_place_of(head))
        life = self.store.mark("life")
        if life is None:
            self._start_incarnation()
        else:
            self._use_incarnation(life.decode())

    def _start_incarnation(self) -> None:
        life = self._new_incarnation()
        self.store.append([], {"life": life.encode()})
        self._use_incarnation(life)

    def _use_incarnation(self, life: str) -> None:
        self.life = life
        self._clear_recent()
        self._writes_since, self._recent_writes_cache = 0, (-1, 0, ())
        self._store_promise(Promise(self.site, life, 0, b""), only_if_unknown=True)

    def _clear_recent(self) -> None:
        self._recent_events.clear()
        self._recent_order.clear()

    def _add_recent(self, events: Sequence[Event]) -> None:
        for event in events:
            self._recent_events.setdefault(event.channel, deque()).append(event)
            self._recent_order.append(event.channel)
        while len(self._recent_order) > RECENT_EVENTS_COUNT:
            recent = self._recent_events[channel := self._recent_order.popleft()]
            recent.popleft()
            if not recent:
                del self._recent_events[channel]

    def after(self, stream: Stream, number: int, max_bytes: int) -> Sequence[Event]:
        """Return some events of a stream after a number, in order; at least one if there is any."""
        recent = self._recent_events.get(stream.channel) if stream[1:] == (self.site, self.life) else None
        if recent and recent[0].number <= number + 1:
            first, last = recent[0].number, recent[-1].number
            # Otherwise a copy of this process also wrote
            if last == self._heads[stream].number and last - first == len(recent) - 1:
                return list(islice(recent, number + 1 - first, None))
        return self.store.after(stream, number, max_bytes)

    def _reload(self) -> None:
        self._heads.reload(self.store.heads())
        for stream in self._heads:
            self._detect_duplicate(stream)

    def _detect_duplicate(self, stream: Stream) -> None:
        original, separator, _ = stream.life.partition("~")
        if separator:
            self._duplicated.add((stream.site, original))

    def _ensure_sole_writer(self) -> None:
        """Switch to a new incarnation if another process wrote under the current one."""
        if (self.site, self.life) in self._duplicated:
            self._start_incarnation()

    # Writing and merging.

    def write(self, noted: Sequence[Noted]) -> list[Event]:
        """Store local events, each as the next one of its channel.

        Raises ValueError if a payload or a name is too long.
        """
        self._ensure_sole_writer()
        site, life, stamp, clock_reading = self.site, self.life, self._clock.stamp, self._clock.read()
        last_events: dict[str, Head | Event] = {}  # newest event per channel
        events: list[Event] = []
        for channel, kind, data, at_us, seen in noted:
            previous = last_events.get(channel)
            if len(data) > MAX_PAYLOAD_BYTES or not (
                0 < len(kind) <= MAX_NAME_BYTES and (previous or _valid_names(channel))
            ):
                raise ValueError(
                    f"event on {channel[:40]!r}: the payload is too large or a name has an invalid length"
                )
            if previous is None:
                stream = Stream(channel, site, life)
                previous = self._heads.get(stream) or Head(stream, 0, 0, 0, 0, START)
            after = previous.at, previous.tick
            if seen:
                after = max(after, *((place.at, place.tick) for place in seen))
            at, tick = stamp(after, at_us, clock_reading)
            number = previous.number + 1
            chain = next_chain(previous.chain, (channel, site, life, number, at, tick, kind, data))
            last_events[channel] = event = Event(channel, site, life, number, at, tick, kind, data, chain)
            events.append(event)
        if events:
            # The next promise would need a write of its own
            renew = self._stored_promise < clock_reading[1] + PROMISE_LEAD_US // 2
            marks, stored_promise = (
                self._promise_mark(clock_reading[1]) if renew else ({}, self._stored_promise)
            )
            self.store.append(events, marks)
            self._stored_promise = stored_promise
            for channel, last in last_events.items():
                stream = Stream(channel, site, life)
                floor = self._heads[stream].floor if stream in self._heads else 0
                self._heads[stream] = Head(stream, floor, last.number, last.at, last.tick, last.chain)
            self._add_recent(events)
            self._on_events(events)
        return events

    def merge(self, events: Iterable[Event], broken: set[Stream] | None = None) -> list[Event]:
        """Store those events of other sites that are new and next in their streams, and return them.

        An event that does not follow the stored ones (by number, time or chain) is rejected together with
        all later ones of its stream. The stream is added to `broken` unless the event only came too early
        or a second time.
        """
        fresh: list[Event] = []
        new_heads: dict[Stream, Head] = {}
        for stream, consecutive in groupby(events, _stream_of):
            head = new_heads.get(stream) or self._heads.get(stream)
            if head is None:
                if not _valid_names(*stream):
                    continue
                head = Head(stream, 0, 0, 0, 0, START)
            _, floor, number, at, tick, chain = head
            trusted = number == floor > 0 and chain == START  # what stood in front was taken by retention
            for event in consecutive:
                if event.number <= number:
                    continue
                if event.number > number + 1:
                    break
                if (
                    not (at, tick) < (event.at, event.tick)
                    or event.at >= MAX_TIME_US
                    or event.tick >= MAX_TIME_US
                    or len(event.data) > MAX_PAYLOAD_BYTES
                    or len(event.kind) > MAX_NAME_BYTES
                    or (event.chain != chained(chain, event) and not trusted)
                    or len(event.chain) != CHAIN_BYTES
                ):
                    if broken is not None:
                        broken.add(stream)
                    break
                number, at, tick, chain, trusted = event.number, event.at, event.tick, event.chain, False
                fresh.append(event)
            if number > head.number:
                new_heads[stream] = Head(stream, floor, number, at, tick, chain)
        if fresh:
            self.store.append(fresh)
            self._heads.update(new_heads)
            for head in new_heads.values():
                self._detect_duplicate(head.stream)
                self._follow_clock(head)
                if head.stream.site == self.site:
                    # A local event that came back from a peer may be older than the last write round
                    self._owed_from = 0
            self._on_events(fresh)
        return fresh

    def _follow_clock(self, head: Head) -> None:
        if self._clock.observe(_place_of(head)) or head.stream.site == self.site:
            return
        ahead = (head.at - self._clock.wall()) // 1_000_000
        self._report_rarely(
            "ahead",
            head.stream.site,
            f"the clock of {head.stream.site} is {ahead} s ahead of the local clock: "
            "its events are kept, but the local clock does not follow them",
        )

    def _report_rarely(self, category: str, site: str, line: str) -> None:
        now = self._time.now_us()
        if now >= self._next_report_us.get((category, site), now):
            self._next_report_us[(category, site)] = now + LOG_REPEAT_US
            self._report(line)

    def skip(self, gap: Gap) -> None:
        """Record that events missing here were dropped by another site and will never arrive."""
        head = self._heads.get(gap.stream)
        number = head.number if head else 0
        if not number < gap.last < MAX_TIME_US or not _valid_names(*gap.stream):
            return
        self.store.skip(gap._replace(first=number + 1))
        previous = head or Head(gap.stream, 0, 0, 0, 0, START)
        self._heads[gap.stream] = previous._replace(floor=gap.last, number=gap.last, chain=START)
        self._report_rarely(
            f"gap {gap.stream}",
            gap.stream.site,
            f"channel {gap.stream.channel}: events {number + 1} to "
            f"{gap.last} of {gap.stream.site}/{gap.stream.life} are no longer available: {gap.why}",
        )

    def fork(self, events: Sequence[Event]) -> int:
        """Compare consecutive events of a stream with the stored ones and resolve a fork.

        A stream forks when two processes write under one incarnation. The branch whose first differing event
        has the lower chain keeps the incarnation. If that is the remote branch, the local one is renamed (see
        `branched`) and the remote one takes its place; otherwise the local one stays. Returns the number up
        to which both are equal afterwards, or 0 if nothing could be compared.
        """
        if not events:
            return 0
        stream = events[0].stream
        head = self._heads.get(stream)
        if head is None or any(event.stream != stream for event in events):
            return 0
        local_events = {
            event.number: event for event in self._read_range(stream, events[0].number - 1, events[-1].number)
        }
        equal_upto = 0
        for position, event in enumerate(events):
            local = local_events.get(event.number)
            if local is not None and local.chain == event.chain:
                equal_upto = event.number
                continue
            if local is None:
                return equal_upto
            previous_chain = self._chain_at(head, event.number - 1)
            if (
                previous_chain is None
                or event.chain != chained(previous_chain, event)
                or event.chain > local.chain
            ):
                return equal_upto
            if not _valid_names(branched(local, previous_chain)):
                return equal_upto  # the name of the branch would be too long
            self._yield_stream(head, local, previous_chain, events[position:])
            return self._heads[stream].number
        return equal_upto

    def _chain_at(self, head: Head, number: int) -> bytes | None:
        if number == 0:
            return START
        found = self.store.after(head.stream, number - 1, 1)
        return found[0].chain if found and found[0].number == number else None

    def _yield_stream(
        self, head: Head, local: Event, previous_chain: bytes, remote_events: Sequence[Event]
    ) -> None:
        stream = head.stream
        stored = self._read_range(stream, head.floor, head.number)
        self._store_branch([event for event in stored if event.number >= local.number], previous_chain)
        common = [event for event in stored if event.number < local.number]
        self._clear_recent()
        self.store.drop(stream.channel, stream)
        del self._heads[stream]
        if head.floor:
            self.store.skip(Gap(stream, 1, head.floor, "taken by retention"))
            self._heads[stream] = Head(stream, head.floor, head.floor, 0, 0, START)
        self.merge([*common, *remote_events])
        self.rewritten += 1

    def _store_branch(self, events: Sequence[Event], previous_chain: bytes) -> None:
        """Store consecutive events after a chain as a branch; split it where it differs from a stored one."""
        branch = events[0].stream._replace(life=branched(events[0], previous_chain))
        self._report_rarely(
            "double",
            branch.site,
            f"two processes wrote as {branch.site}/{events[0].life}: on channel {branch.channel}, "
            f"the events of one of them from number {events[0].number} on are kept as {branch.life}",
        )
        events = [
            msgspec.structs.replace(each, life=branch.life, number=n) for n, each in enumerate(events, 1)
        ]
        self.merge(events)  # the branch is new, or extends the stored one
        self._detect_duplicate(branch)
        head = self._heads[branch]
        stored = {event.number: event for event in self._read_range(branch, head.floor, events[-1].number)}
        for position, event in enumerate(events):
            local = stored.get(event.number, event)
            if event.chain != local.chain:
                if event.chain < local.chain:
                    self._yield_stream(head, local, previous_chain, events[position:])
                else:
                    self._store_branch(events[position:], previous_chain)
                return
            previous_chain = event.chain

    def _read_range(self, stream: Stream, after: int, last: int) -> list[Event]:
        found: list[Event] = []
        while after < last:
            page = self.store.after(stream, after, READ_PAGE_BYTES)
            if not page:
                break
            found += page
            after = page[-1].number
        return [event for event in found if event.number <= last]

    # Stored events.

    def head(self, stream: Stream) -> Head | None:
        """Return the head of a stream here, or None."""
        return self._heads.get(stream)

    @property
    def head_index(self) -> HeadIndex:
        """All heads with the digests and indexes derived from them."""
        return self._heads

    def heads(self, wanted: Callable[[Stream], bool] | None = None) -> list[Head]:
        """Return the heads of the wanted streams, or all if `wanted` is None."""
        return [head for stream, head in self._heads.items() if wanted is None or wanted(stream)]

    def read(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """Return events of a channel in order, after a place and up to and including a time."""
        return self.store.ordered(channel, since, until_us, limit)

    def gaps(self, channel: str) -> list[Gap]:
        """Return the ranges of events of a channel that will never be available here."""
        return self.store.gaps(channel)

    def tidy(self, now: int) -> int:
        """Apply retention as of a Unix time, except to FLEET. Returns the number of events removed."""
        gone = self.store.prune(now - self._retention_us, self._max_bytes, [FLEET])
        if gone:
            self._reload()
        return gone

    def drop(self, channel: str) -> None:
        """Drop a channel that other sites keep; local events stay until retention removes them."""
        self._settled.pop(channel, None)
        self._dropped.add(channel)
        for stream in [stream for stream in self._heads if stream.channel == channel]:
            if stream.site != self.site:
                self.store.drop(channel, stream)
                del self._heads[stream]

    def follow(self, scope: Scope) -> None:
        """Apply the current assignment of channels to sites.

        If this site keeps a channel again that only others kept meanwhile, its old events are dropped: the
        others may have declared the channel settled without them, if their origin has lost its disk.
        """
        self.scope = scope
        self._heads.follow(scope)
        while self._heads.regained:
            self.drop(self._heads.regained.pop())
            self._heads.follow(scope)

    # Promises and settled times.

    def promise(self) -> Promise:
        """Return a promise as of now. It is stored first, so that it survives a kill and a clock set back."""
        self._ensure_sole_writer()
        at = self._clock.promise(self.waits_since())
        if at > self._stored_promise:
            marks, stored_promise = self._promise_mark(at)
            self.store.append([], marks)
            self._stored_promise = stored_promise
        recent_writes = self._recent_writes(at)
        digest_and_tags = self._fleet_digest_and_owed_tags(at)
        promise = Promise(
            self.site,
            self.life,
            at,
            self.incarnations_digest(),
            self._writes_since,
            recent_writes,
            self.session,
            *digest_and_tags,
        )
        self._last_promise_us = at
        if (self.site, self.life) in self._promises:
            # The local promise is in every body, so this is not counted as a change
            self._promises[(self.site, self.life)] = promise
        else:
            self._store_promise(promise)
        return promise

    @staticmethod
    def _promise_mark(at: int) -> tuple[dict[str, bytes], int]:
        """Return a mark that covers the promises of the near future; with events, it costs no extra write."""
        return {"floor": (at + PROMISE_LEAD_US).to_bytes(8, "big")}, at + PROMISE_LEAD_US

    def _recent_writes(self, at: int) -> tuple[tuple[str, int], ...]:
        """Return the numbers of recently written local streams; advance `_writes_since` past all others."""
        changes, until, recent_writes = self._recent_writes_cache
        if changes == self._heads.own_changes and at < until:
            return recent_writes
        recent_streams, candidates = self._heads.recent_streams, []
        for stream in list(recent_streams):
            head = self._heads.get(stream)
            if head is None or stream.life != self.life or stream.channel == FLEET:
                # The promise does not name it, so its events must be at or before `_writes_since`
                if stream.channel != FLEET:
                    self._writes_since = max(self._writes_since, head.at if head is not None else 1)
                del recent_streams[stream]
            else:
                candidates.append((head.at, head.number, stream))
        candidates.sort(reverse=True)
        named = [
            candidate
            for candidate in candidates[:RECENT_STREAMS_COUNT]
            if candidate[0] > at - RECENT_WRITES_US
        ]
        for head_at, _, stream in candidates[len(named) :]:
            self._writes_since = max(self._writes_since, head_at)
            del recent_streams[stream]
        recent_writes = tuple((stream.channel, number) for _, number, stream in named)
        self._recent_writes_cache = self._heads.own_changes, at + RECENT_WRITES_US // 10, recent_writes
        return recent_writes

    def _fleet_digest_and_owed_tags(self, at: int) -> tuple[bytes, bytes]:
        """Return the fleet digest and the tags of the sites that may lack local events up to `_writes_since`.

        Both are empty if that is not known or too many sites are owed events.
        """
        if self.scope is None:
            return b"", b""
        self.assign_write_round()
        since, now = self._writes_since, self._time.now_us()
        if since > at - RECENT_WRITES_US and now < self._layout_changed_us + MAX_RELAYED_LEAD_US:
            # A site that ceased to keep a channel by the local clock may still keep it by another clock
            return b"", b""
        owed_sites = [
            s
            for s, state in self._peer_states.items()
            if state.last_write_round > state.confirmed_write_round and state.owed_from_us < since
        ]
        if len(owed_sites) > MAX_OWED_COUNT:
            return b"", b""
        return self._fleet_digest(), b"".join(map(_site_tag, owed_sites))

    def _fleet_digest(self) -> bytes:
        """Return a digest of the known layouts and of the current sessions of all sites."""
        if not self._fleet_digest_cache:
            sessions = {site: session for site, (_, session) in self._sessions.items()}
            sessions[self.site] = self.session
            known = msgspec.msgpack.encode((self._layout_ids, sorted(sessions.items())))
            self._fleet_digest_cache = blake3(known).digest(length=8)
        return self._fleet_digest_cache

    def record_session(self, site: str, session: str, at: int = 0) -> None:
        """Record another site's session; a new one may have lost events. `at` is the time of its promise."""
        latest, known = self._sessions.get(site, (0, ""))
        if site == self.site or site not in self._peer_states or not session or 0 < at < latest:
            return
        self._sessions[site] = max(at, latest), session
        if session != known:
            self._fleet_digest_cache = b""
            self._owe_everything([self._peer_states[site]])

    def _owe_everything(self, states: Iterable[PeerState]) -> None:
        self._write_round += 1
        for state in states:
            state.confirmed_write_round, state.owed_from_us, state.confirm_from_round = (
                0,
                0,
                self._write_round,
            )

    def _update_scope(self) -> None:
        """Take over the known layouts; detect if the current one went back or advanced by several steps."""
        scope = self.scope
        assert scope is not None
        if scope.turn == self._scope_version:
            return
        layout_ids, current, is_first = (
            [each.id for each in scope.history()],
            scope.view,
            self._scope_version < 0,
        )
        if not is_first:
            position = {name: n for n, name in enumerate(layout_ids)}
            step, added = (
                position.get(current, 0) - position.get(self._current_layout, 0),
                len(set(layout_ids).difference(self._layout_ids)),
            )
            if step < 0 or (scope.grown != self._scope_holdings_version and layout_ids == self._layout_ids):
                self._layout_went_back = True
            if step > 1 or added > 1 or not set(layout_ids).issuperset(self._layout_ids):
                # A site may have dropped and regained a channel meanwhile
                self._owe_everything(self._peer_states.values())
        if layout_ids != self._layout_ids:
            self._fleet_digest_cache = b""
        if current != self._current_layout:
            self._layout_changed_us = self._time.now_us()
        self._keepers_by_channel.clear()
        self._scope_version, self._scope_holdings_version, self._layout_ids, self._current_layout = (
            scope.turn,
            scope.grown,
            layout_ids,
            current,
        )

    def _keepers_in_any_layout(self, channel: str) -> frozenset[str]:
        """Return the sites that keep a channel in any layout; others hold only their own events of it."""
        found = self._keepers_by_channel.get(channel)
        if found is None:
            assert self.scope is not None
            keepers = (layout.keepers(layout.shard(channel)) for layout in self.scope.history())
            found = self._keepers_by_channel[channel] = self.scope.holders(channel).union(*keepers)
        return found

    def incarnations_digest(self) -> bytes:
        """Return a digest of all known incarnations; it is equal where the same ones are known."""
        if not self._incarnations_digest:
            self._incarnations_digest = blake3(msgspec.msgpack.encode(sorted(self._promises))).digest(
                length=8
            )
        return self._incarnations_digest

    def promises(self) -> dict[str, Promise]:
        """Return the latest known promise of each site for FLEET, with a new one of this site."""
        self.promise()
        return {each.site: each for each in sorted(self._promises.values(), key=lambda each: each.at)}

    def peer_state(self, peer: str) -> PeerState:
        """Return what is known about a peer from exchanges; for an unknown site, a state that is not kept."""
        return self._peer_states.get(peer) or PeerState()

    def assign_write_round(self) -> int:
        """Assign the local writes since the last call to a write round for the sites that keep them.

        Returns the number of the current round.
        """
        assert self.scope is not None
        self.follow(self.scope)
        self._update_scope()
        if self._heads.changed_channels:
            self._write_round += 1
            for channel in self._heads.changed_channels:
                holders = self._heads.holders(channel)
                before = self._owed_to.get(channel, holders)
                self._owed_to[channel] = holders
                for site in holders | before:
                    state, owed_from = self.peer_state(site), self._owed_from if site in before else 0
                    state.owed_from_us = (
                        owed_from
                        if state.last_write_round <= state.confirmed_write_round
                        else min(state.owed_from_us, owed_from)
                    )
                    state.last_write_round = self._write_round
            self._heads.changed_channels.clear()
        self._owed_from = self._last_promise_us
        return self._write_round

    def own_streams_for(self, peer: str) -> OwnStreams:
        """Return the local streams that a peer keeps and that changed since it last had all of them."""
        assert self.scope is not None
        upto, numbers = self.peer_state(peer).delivered_upto, dict[Stream, int]()
        for stream in reversed(self._heads.own_streams):
            if self._heads.own_streams[stream] <= upto:
                break
            if stream.channel == FLEET or peer in self.scope.holders(stream.channel):
                numbers[stream] = self._heads[stream].number
        return OwnStreams(self._heads.own_changes, numbers)

    def record_complete_exchange(
        self,
        peer: str,
        acked_write_round: int,
        fleet_digest: int | None = None,
        own_streams: OwnStreams | None = None,
    ) -> None:
        """Record a complete exchange: the peer has the writes up to a round, and FLEET with this digest."""
        state = self.peer_state(peer)
        state.completed_us, state.acked_write_round = (
            self._time.now_us(),
            max(state.acked_write_round, acked_write_round),
        )
        if acked_write_round >= state.confirm_from_round:
            state.confirmed_write_round = max(state.confirmed_write_round, acked_write_round)
        if own_streams is not None and own_streams.upto >= state.delivered_upto:
            state.delivered.update(own_streams.numbers)
            state.delivered_upto = own_streams.upto
        if fleet_digest is not None:
            state.fleet_digest = fleet_digest

    def promises_to_send(
        self, after_change: int = 0, peer: str = "", include_relayed: bool = True
    ) -> tuple[list[EncodedPromise], int]:
        """Return a new local promise and those changed after a change, and the last change covered.

        Changes are numbered per session. If a body has too little room, the oldest changes come first.
        Promises that came from the peer itself are left out, unless it holds none (`after_change` is 0)
        because it started again. If not `include_relayed`, promises of other sites are included only when an
        incarnation or a session among them is new to the peer.
        """
        found, changed, covered, room_bytes = (
            [encode_promise(self.promise())],
            list[tuple[str, str]](),
            after_change,
            MAX_PROMISES_BYTES,
        )
        if not include_relayed and after_change >= self._last_introduction:
            return found, after_change
        for key in reversed(self._promises):
            if self._changed[key][0] <= after_change:
                break
            changed.append(key)
        for key in reversed(changed):
            number, sender = self._changed[key]
            if after_change and sender == peer:
                continue
            if key != (self.site, self.life):
                encoded = self._encoded_promises.get(key)
                if encoded is None:
                    encoded = self._encoded_promises[key] = encode_promise(self._promises[key])
                room_bytes -= len(encoded.rest) + len(encoded.site) + len(encoded.life) + 16
                if room_bytes < 0:
                    return found, covered
                found.append(encoded)
            covered = number
        return found, max(covered, self._change_count)

    def _store_promise(self, promise: Promise, sender: str = "", only_if_unknown: bool = False) -> None:
        """Store a promise if it is newer than the one held; with `only_if_unknown`, only if none is held."""
        key = (promise.site, promise.life)
        old = self._promises.get(key)
        if old is None:
            self._incarnations_digest = b""
        elif only_if_unknown or old.at >= promise.at:
            return
        else:
            del self._promises[key]
        self._change_count += 1
        if old is None or old.session != promise.session:
            self.record_session(promise.site, promise.session, promise.at)
            self._last_introduction = self._change_count
        self._promises[key], self._changed[key] = promise, (self._change_count, sender)
        self._encoded_promises.pop(key, None)

    def receive_encoded_promises(
        self, peer: str, promises: Iterable[EncodedPromise], scopes_agree: bool
    ) -> None:
        """Receive encoded promises of a body; those no newer than the ones held are not decoded."""
        for encoded in promises:
            key = (encoded.site, encoded.life)
            old = self._promises.get(key)
            if old is not None and old.at >= encoded.at and encoded.site not in (peer, self.site):
                continue
            with suppress(msgspec.MsgspecError):
                self.receive_promises(peer, [promise := encoded.decode()], scopes_agree)
                if self._promises.get(key) is promise:  # copied, so that the body can be freed
                    self._encoded_promises[key] = EncodedPromise(
                        *key, encoded.at, msgspec.Raw(bytes(encoded.rest))
                    )

    def receive_promises(self, peer: str, promises: Iterable[Promise], scopes_agree: bool = True) -> None:
        """Receive the promises that a peer held, after all events it had at that time were received.

        `scopes_agree` says that both sites agree on who keeps what. The promise of the peer itself then
        counts for channels other than FLEET too, and the relayed ones may count later.
        """
        for promise in promises:
            key = (promise.site, promise.life)
            if promise.site not in self.members or not 0 <= promise.at < MAX_TIME_US:
                continue
            if promise.site == self.site:
                self._clock.keep_promise(min(promise.at, self._clock.wall()))
                self._store_promise(promise, peer, only_if_unknown=True)
                continue
            self._store_promise(promise, peer)
            if scopes_agree and promise.site == peer:
                counted = self._counted_promises.get(key)
                if (
                    counted is None
                    or counted.holdings_version != self._holdings_version()
                    or counted.promise.at < promise.at
                ):
                    self._count_promise(key, promise)
            elif scopes_agree and (
                key not in self._pending_promises or self._pending_promises[key].at < promise.at
            ):
                self._pending_promises[key] = promise

    def _holdings_version(self) -> int:
        return self.scope.grown if self.scope is not None else 0

    def _count_promise(self, key: tuple[str, str], promise: Promise) -> None:
        self._counted_promises[key] = CountedPromise(promise, self._holdings_version(), self._time.now_us())

    def _count_pending(self) -> None:
        """Count relayed promises once all events written after the last counted promise are stored here.

        The last counted promise must reach `writes_since` and must have counted for the channels held now.
        Its site must have known the same incarnations: if it learned of a new one meanwhile, it may also have
        received events of the incarnation before that.
        """
        holdings_version, latest_at = self._holdings_version(), self._clock.wall() + MAX_RELAYED_LEAD_US
        held: dict[str, bool] = {}
        for key, promise in list(self._pending_promises.items()):
            counted = self._counted_promises.get(key)
            if counted is None or counted.holdings_version != holdings_version:
                continue
            if counted.promise.at >= promise.at:
                del self._pending_promises[key]
            elif (
                counted.promise.at >= promise.writes_since
                and counted.promise.incarnations_digest == promise.incarnations_digest
                and promise.at <= latest_at
                and all(
                    self._has_events(channel, key, number, held) for channel, number in promise.recent_writes
                )
            ):
                self._count_promise(key, promise)
                del self._pending_promises[key]

    def _has_events(self, channel: str, key: tuple[str, str], number: int, held: dict[str, bool]) -> bool:
        head = self._heads.get(Stream(channel, *key))
        if head is not None and head.number >= number:
            return True
        if (holds := held.get(channel)) is None:
            holds = held[channel] = self._holds_channel(channel)
        return not holds

    def _holds_channel(self, channel: str) -> bool:
        return channel == FLEET or self.scope is None or self.site in self.scope.holders(channel)

    def _promises_by_claim(self) -> dict[str, CountedPromise]:
        """Return promises of other sites that count because they do not list this site as owed events.

        Their sites know the same incarnations, layouts and sessions as this one and owe it no events up to
        `writes_since`; later events are stored here. Such a promise counts only for channels that its site
        keeps in no layout. A site that lost events, or did not keep a channel for a while, is owed everything
        again.
        """
        if self.scope is None or self._layout_went_back:
            return {}
        self._update_scope()
        if self._layout_went_back:
            return {}
        holdings_version, incarnations_digest, fleet_digest, own_tag = (
            self._holdings_version(),
            self.incarnations_digest(),
            self._fleet_digest(),
            _site_tag(self.site),
        )
        latest_at, now, held = (
            self._clock.wall() + MAX_RELAYED_LEAD_US,
            self._time.now_us(),
            dict[str, bool](),
        )
        found: dict[str, CountedPromise] = {}
        for key, promise in self._promises.items():
            counted = self._claimed_promises.get(key)
            if (
                (counted is None or counted.promise is not promise)
                and (promise.incarnations_digest, promise.fleet_digest) == (incarnations_digest, fleet_digest)
                and promise.at <= latest_at
                and own_tag not in promise.owed_tags
                and all(
                    self._has_events(channel, key, number, held) for channel, number in promise.recent_writes
                )
            ):
                counted = self._claimed_promises[key] = CountedPromise(promise, holdings_version, now)
            if (
                counted is None
                or key[0] == self.site
                or key in self._duplicated
                or counted.holdings_version != holdings_version
            ):
                continue
            claimed, best = counted.promise, found.get(key[0])
            if (claimed.incarnations_digest, claimed.fleet_digest) == (
                incarnations_digest,
                fleet_digest,
            ) and (best is None or best.promise.at < claimed.at):
                found[key[0]] = counted
        return found

    def _co_keepers(self) -> frozenset[str]:
        """Return the sites that keep, in any layout, a channel that is held here."""
        version, streams, keepers = self._co_keepers_cache
        if (version, streams) != (self._holdings_version(), len(self._heads)):
            channels = {stream.channel for stream in self._heads if stream.channel != FLEET}
            keepers = frozenset[str]().union(
                *(self._keepers_in_any_layout(c) for c in channels if self._holds_channel(c))
            )
            self._co_keepers_cache = self._holdings_version(), len(self._heads), keepers
        return keepers

    def sites_to_ask(self, counted_before_us: int) -> set[str]:
        """Return the sites to ask: no promise counted since then (steady clock), and none is on its way."""
        if self.scope is None:
            return set()
        now, counted_promises, co_keepers = self._time.now_us(), self.counted_promises(), self._co_keepers()
        found: set[str] = set()
        for site in self.members:
            counted = counted_promises.get(site)
            if counted is not None:
                self._uncounted_since.pop(site, None)
            else:
                since = self._uncounted_since.setdefault(site, now)
            if counted is not None and counted.counted_us >= counted_before_us:
                continue
            if counted is not None or site in co_keepers or now - since >= RELAY_WAIT_US:
                found.add(site)
        return found

    def counted_promises(self) -> dict[str, CountedPromise]:
        """Return, by site, the last promise that counts for the channels held here."""
        found = self._promises_from_exchanges()
        if not any(map(self._holds_channel, self._dropped)):
            co_keepers = self._co_keepers()
            for site, claimed in self._promises_by_claim().items():
                if site not in co_keepers and (
                    site not in found or found[site].promise.at < claimed.promise.at
                ):
                    found[site] = claimed
        return found

    def _promises_from_exchanges(self) -> dict[str, CountedPromise]:
        """Return, by site, the last promise that counts through exchanges."""
        self._count_pending()
        found: dict[str, CountedPromise] = {}
        holdings_version, incarnations_digest = self._holdings_version(), self.incarnations_digest()
        for (site, life), counted in self._counted_promises.items():
            valid = (
                counted.holdings_version == holdings_version
                and counted.promise.incarnations_digest == incarnations_digest
                and (site, life) not in self._duplicated
            )
            if valid and (site not in found or found[site].promise.at < counted.promise.at):
                found[site] = counted
        return found

    def settled_until(self, channel: str) -> tuple[int, list[str]]:
        """Return the time up to which a channel kept here is final (0: unknown), and the sites that limit it.

        A promise counts once all events its site had are stored here, and once that site knew of all
        incarnations known here. A settled time never goes back for as long as the channel is kept here.
        """
        own_promise = self.promise()
        best = dict.fromkeys(self.members, 0)
        best[self.site] = own_promise.at
        if channel == FLEET:
            for (site, life), promise in self._promises.items():
                if (
                    site != self.site
                    and promise.incarnations_digest == own_promise.incarnations_digest
                    and (site, life) not in self._duplicated
                ):
                    best[site] = max(best.get(site, 0), promise.at)
        else:
            best |= {site: counted.promise.at for site, counted in self._promises_from_exchanges().items()}
            if channel not in self._dropped and (claims := self._promises_by_claim()):
                keepers, now = self._keepers_in_any_layout(channel), self._time.unix_us()
                for site in claims.keys() - keepers:
                    best[site] = max(best.get(site, 0), min(claims[site].promise.at, now))
        settled = earliest = min(best.values())
        if self._holds_channel(channel):
            settled = self._settled[channel] = max(self._settled.get(channel, 0), earliest)
        return settled, [site for site, at in best.items() if at == earliest and site != self.site]


def _place_of(head: Head) -> Place:
    return Place(head.at, head.tick, head.stream.site, head.stream.life, head.number)


@lru_cache(1 << 14)
def _site_tag(site: str) -> bytes:
    return blake3(site.encode()).digest(length=SITE_TAG_BYTES)


def _valid_names(*names: str) -> bool:
    return all(0 < len(name) <= MAX_NAME_BYTES for name in names)


def _stream_of(event: Event) -> Stream:
    return Stream(event.channel, event.site, event.life)
