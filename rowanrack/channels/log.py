"""One site's log: its own events, those of others, and until when their order is settled.

Runs on the log's thread; all I/O is the store's. Times are Unix microseconds. Source: docs/channels.md.
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

from rowanrack.channels.clock import Hybrid
from rowanrack.channels.digests import Heads, Scope
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

LEAD_US = 2_000_000  # the promise on disk is this far ahead of those given, so that few of them cost a write
MOST_DATA_BYTES = 64 * 1024  # a payload's size
MOST_NAME_BYTES = 255  # that of a channel's, site's, life's or kind's name
MOST_AT_US = 1 << 62
REPEAT_US = 600_000_000  # a line about the same site comes this seldom
PAGE_BYTES = 1 << 20  # how much of a stream is read at a time
LATELY, LATELY_US = 64, 30_000_000  # a promise names so many streams of its site's, written so lately
AHEAD_US = 60_000_000  # one that came by others and is this far ahead of our time does not count
SHORT = 3  # bytes by which a promise names a site that is owed: one that is found there by chance only asks
MOST_OWED = 64  # so many at most; a promise that owes more is counted by meetings alone
COMES_US = 5_000_000  # a word that others pass on may take so long until its site is asked
LATE_MOST = 2000  # events written last that stay in memory: who is to have them is given them from there
PROMISES_BYTES = 96 * 1024  # what promises take in one body, about


class Noted(NamedTuple):
    """Something to be written: `data` is the payload's bytes (`packed`), `seen` the events that it names."""

    channel: str
    kind: str
    data: bytes
    at_us: int  # when it happened
    seen: Sequence[Place] = ()


class Promise(msgspec.Struct, frozen=True, array_like=True):
    """A site's word that it writes nothing with a time up to and including `at`."""

    site: str
    life: str
    at: int
    lives: bytes  # digest of the incarnations that it knew of by then
    since: int = MOST_AT_US  # of its events behind this time, other than on FLEET, all are in:
    wrote: tuple[tuple[str, int], ...] = ()  # channels and the numbers up to which it had written there
    session: str = ""  # its log since it was opened
    fleet: bytes = b""  # digest of the layouts and sessions that it knew of; empty: `owes` is not known
    owes: bytes = b""  # who keeps channels and may lack events of its up to `since`: `_short` of each


_Rest = tuple[bytes, int, tuple[tuple[str, int], ...], str, bytes, bytes]
_rest_of = msgspec.msgpack.Decoder(_Rest).decode


class Passed(msgspec.Struct, frozen=True, array_like=True):
    """A promise as it goes in a body: what is behind its time is read where it is newer than the one held."""

    site: str
    life: str
    at: int
    rest: msgspec.Raw

    def promise(self) -> Promise:
        """The promise. Raises MsgspecError: the rest is none of one."""
        return Promise(self.site, self.life, self.at, *_rest_of(self.rest))


def passed(each: Promise) -> Passed:
    """A promise for a body."""
    rest: _Rest = each.lives, each.since, each.wrote, each.session, each.fleet, each.owes
    return Passed(each.site, each.life, each.at, msgspec.Raw(msgspec.msgpack.encode(rest)))


class Counted(NamedTuple):
    """A promise that counts on channels that we held then."""

    promise: Promise
    grown: int  # which holdings of ours these were: `Scope.grown`
    counted_us: int  # steady time


@dataclass(slots=True)
class Pair:
    """What two sites know of each other from their meetings, as one of them has it."""

    known: int = 0  # the other holds our promises up to this change of them
    session: str = ""  # whose changes we count next: the other's log since it was opened
    had: int = 0  # and up to which of them we hold its promises
    fleet: int = -1  # the digest of FLEET there
    wrote: int = 0  # which round of our writes was the last for it
    paid: int = 0  # and up to which round it has them
    sure: int = 0  # and up to which its log, as open now, has them for certain
    owed_from: int = 0  # what it may lack of them is behind this time
    anew: int = 0  # meetings that began before this round say nothing of that
    whole_us: int = 0  # steady time of the last meeting that came to its end
    has: dict[Stream, int] = field(default_factory=dict)  # our own streams, up to which it had them then
    upto: int = 0  # and which change of our own streams was the last of these; 0: none is known
    shown: Own | None = None  # our own streams when we last answered that it lacks something


class Own(NamedTuple):
    """Our own streams that changed since a site last had all of them."""

    upto: int  # the last of the changes
    numbers: dict[Stream, int]  # how far they go


class Log:
    """A site's log over a store. Every method may raise LogError, with nothing done, not even in part."""

    def __init__(
        self,
        store: LogStore,
        time: Time,
        site: str,
        members: Iterable[str],
        say: Callable[[str], None],
        *,
        keep_us: int = 7 * 86_400_000_000,
        most_bytes: int = 1 << 40,
        draw: Callable[[], str] = lambda: secrets.token_hex(6),
        saw: Callable[[Sequence[Event]], None] = lambda events: None,
    ) -> None:
        """`members` are the senders of the file, with or without this one; `say` takes lines for the log.

        Retention keeps events for `keep_us` and up to `most_bytes`; `draw` gives a new incarnation's name.
        `saw` takes what is new here once it is kept, written or merged, in any order of streams. When
        `rewritten` grows, events got other names (see `fork`), and what was built of them is built anew.
        """
        self.store, self.site, self.life = store, site, ""
        self.members = sorted({*members, site})
        # When the first happened that is noted and still to be written (Unix time); None: nothing is.
        self.waits_since: Callable[[], int | None] = lambda: None
        self.talks: dict[str, object] = {}  # the exchanges that we began, by site: sync.py's
        self._time, self._say, self._draw = time, say, draw
        self._saw, self.rewritten = saw, 0
        self._keep_us, self._most_bytes = keep_us, most_bytes
        self._heads = Heads(site)
        self._clock = Hybrid(time)
        self._on_disk = 0  # the promise on disk
        # Promises on FLEET by site and life, in the order of their last changes but for our own.
        self._told: dict[tuple[str, str], Promise] = {}
        self._passed: dict[tuple[str, str], Passed] = {}  # as they go in bodies
        self._changed: dict[tuple[str, str], tuple[int, str]] = {}  # which change that was, and who told us
        self._changes = 0
        self._anew = 0  # the last change by which an incarnation or a log became known
        self.session = secrets.token_hex(4)  # these changes are counted anew
        self._pairs = {member: Pair() for member in self.members}
        self._writes = 0  # rounds of our writes that others are to have
        self._lives = b""
        self._counted: dict[tuple[str, str], Counted] = {}  # on all channels that we hold
        self._pending: dict[tuple[str, str], Promise] = {}  # and those that may count there
        self._since = 0  # of our own promises
        self._late: dict[str, deque[Event]] = {}  # what this incarnation wrote last, by channel
        self._late_order = deque[str]()  # and on which channels, the oldest first
        self._lately: tuple[int, int, tuple[tuple[str, int], ...]] = -1, 0, ()
        self.scope: Scope | None = None  # who keeps what; None: every site all
        self._claimed: dict[tuple[str, str], Counted] = {}  # by their sites' word on what they owe
        self._sessions: dict[str, tuple[int, str]] = {}  # of others, by times of promises
        self._fleet = b""  # digest of these and of the layouts
        self._owed_to: dict[str, frozenset[str]] = {}  # by channel: who was to have what we wrote at last
        self._owed_from = 0  # all that is in no round of writes yet is behind this time
        self._gave = 0  # our last promise
        self._laid: list[str] = []  # the layouts that are known, by name
        self._turn, self._grown_at, self._view, self._view_us = -1, 0, "", 0
        self._ever: dict[str, frozenset[str]] = {}  # by channel: who keeps it by any layout
        self._partners: tuple[int, int, frozenset[str]] = -1, 0, frozenset()
        self._set_back = False  # across the begin of a layout, by our clock
        self._dropped: set[str] = set()  # channels that we let go
        self._lacks: dict[str, int] = {}  # who could not be counted, and since when (steady time)
        self._said: dict[str, int] = {}  # what was once called settled
        self._doubled: set[tuple[str, str]] = set()
        self._named: dict[tuple[str, str], int] = {}

    def open(self) -> None:
        """Open the store, and draw an incarnation if it is empty."""
        self.store.open()
        self._reload()
        floor = self.store.mark("floor")
        self._on_disk = int.from_bytes(floor or b"", "big")
        self._clock = Hybrid(self._time, self._on_disk)
        for head in self._heads.values():
            self._clock.merged(_place(head))
        life = self.store.mark("life")
        if life is None:
            self._reborn()
        else:
            self._born(life.decode())

    def _reborn(self) -> None:
        life = self._draw()
        self.store.append([], {"life": life.encode()})
        self._born(life)

    def _born(self, life: str) -> None:
        self.life = life
        self._forget()
        self._since, self._lately = 0, (-1, 0, ())
        self._tell(Promise(self.site, life, 0, b""), anew=True)

    def _forget(self) -> None:
        self._late.clear()
        self._late_order.clear()

    def _remember(self, events: Sequence[Event]) -> None:
        for event in events:
            self._late.setdefault(event.channel, deque()).append(event)
            self._late_order.append(event.channel)
        while len(self._late_order) > LATE_MOST:
            late = self._late[channel := self._late_order.popleft()]
            late.popleft()
            if not late:
                del self._late[channel]

    def after(self, stream: Stream, number: int, most_bytes: int) -> Sequence[Event]:
        """A stream's events behind a number, in order: some, but at least one if there is one."""
        late = self._late.get(stream.channel) if stream[1:] == (self.site, self.life) else None
        if late and late[0].number <= number + 1:
            first, last = late[0].number, late[-1].number
            if last == self._heads[stream].number and last - first == len(late) - 1:  # else a copy wrote, too
                return list(islice(late, number + 1 - first, None))
        return self.store.after(stream, number, most_bytes)

    def _reload(self) -> None:
        self._heads.reload(self.store.heads())
        for stream in self._heads:
            self._see_double(stream)

    def _see_double(self, stream: Stream) -> None:
        plain, tilde, _ = stream.life.partition("~")
        if tilde:
            self._doubled.add((stream.site, plain))

    def _alone(self) -> None:
        """Go on under a new incarnation if another process wrote under ours."""
        if (self.site, self.life) in self._doubled:
            self._reborn()

    # Writing and merging.

    def write(self, noted: Sequence[Noted]) -> list[Event]:
        """Keep what happened here, each as the next event of its channel. Raises ValueError: too large."""
        self._alone()
        site, life, stamp, read = self.site, self.life, self._clock.stamp, self._clock.read()
        ends: dict[str, Head | Event] = {}  # the last of each channel
        events: list[Event] = []
        for channel, kind, data, at_us, seen in noted:
            end = ends.get(channel)
            if len(data) > MOST_DATA_BYTES or not (
                0 < len(kind) <= MOST_NAME_BYTES and (end or _names(channel))
            ):
                raise ValueError(f"an event on {channel[:40]!r} is too large, or its names are")
            if end is None:
                stream = Stream(channel, site, life)
                end = self._heads.get(stream) or Head(stream, 0, 0, 0, 0, START)
            behind = end.at, end.tick
            if seen:
                behind = max(behind, *((place.at, place.tick) for place in seen))
            at, tick = stamp(behind, at_us, read)
            number = end.number + 1
            chain = next_chain(end.chain, (channel, site, life, number, at, tick, kind, data))
            ends[channel] = event = Event(channel, site, life, number, at, tick, kind, data, chain)
            events.append(event)
        if events:
            soon = self._on_disk < read[1] + LEAD_US // 2  # the next promise would cost a write of its own
            marks, ahead = self._floor(read[1]) if soon else ({}, self._on_disk)
            self.store.append(events, marks)
            self._on_disk = ahead
            for channel, last in ends.items():
                stream = Stream(channel, site, life)
                floor = self._heads[stream].floor if stream in self._heads else 0
                self._heads[stream] = Head(stream, floor, last.number, last.at, last.tick, last.chain)
            self._remember(events)
            self._saw(events)
        return events

    def merge(self, events: Iterable[Event], broken: set[Stream] | None = None) -> list[Event]:
        """Keep events of others, those that are new and next in their streams; returns those.

        One that does not follow from what is here (number, time or chain) is left, with all behind it in
        its stream; its stream is added to `broken` unless it only came too early or again.
        """
        fresh: list[Event] = []
        news: dict[Stream, Head] = {}
        for stream, run in groupby(events, _stream):
            head = news.get(stream) or self._heads.get(stream)
            if head is None:
                if not _names(*stream):
                    continue
                head = Head(stream, 0, 0, 0, 0, START)
            _, floor, number, at, tick, chain = head
            trusted = number == floor > 0 and chain == START  # what stood in front was taken by retention
            for event in run:
                if event.number <= number:
                    continue
                if event.number > number + 1:
                    break
                if (
                    not (at, tick) < (event.at, event.tick)
                    or event.at >= MOST_AT_US
                    or event.tick >= MOST_AT_US
                    or len(event.data) > MOST_DATA_BYTES
                    or len(event.kind) > MOST_NAME_BYTES
                    or (event.chain != chained(chain, event) and not trusted)
                    or len(event.chain) != CHAIN_BYTES
                ):
                    if broken is not None:
                        broken.add(stream)
                    break
                number, at, tick, chain, trusted = event.number, event.at, event.tick, event.chain, False
                fresh.append(event)
            if number > head.number:
                news[stream] = Head(stream, floor, number, at, tick, chain)
        if fresh:
            self.store.append(fresh)
            self._heads.update(news)
            for head in news.values():
                self._see_double(head.stream)
                self._follow(head)
                if head.stream.site == self.site:
                    self._owed_from = 0  # of ours, by another: it may be older than our last round of writes
            self._saw(fresh)
        return fresh

    def _follow(self, head: Head) -> None:
        if self._clock.merged(_place(head)) or head.stream.site == self.site:
            return
        ahead = (head.at - self._clock.wall()) // 1_000_000
        self._name(
            "ahead",
            head.stream.site,
            f"the clock of {head.stream.site} is {ahead} s ahead of ours: "
            "its events are kept, our clock does not follow it",
        )

    def _name(self, what: str, site: str, line: str) -> None:
        now = self._time.now_us()
        if now >= self._named.get((what, site), now):
            self._named[(what, site)] = now + REPEAT_US
            self._say(line)

    def skip(self, gap: Gap) -> None:
        """Another dropped a stream's events that are not here: mark that they never will be."""
        head = self._heads.get(gap.stream)
        number = head.number if head else 0
        if not number < gap.last < MOST_AT_US or not _names(*gap.stream):
            return
        self.store.skip(gap._replace(first=number + 1))
        old = head or Head(gap.stream, 0, 0, 0, 0, START)
        self._heads[gap.stream] = old._replace(floor=gap.last, number=gap.last, chain=START)
        self._name(
            f"gap {gap.stream}",
            gap.stream.site,
            f"channel {gap.stream.channel}: events {number + 1} to "
            f"{gap.last} of {gap.stream.site}/{gap.stream.life} are not to be had any more: {gap.why}",
        )

    def fork(self, events: Sequence[Event]) -> int:
        """Compare a run of one stream with ours, where the two may differ: two processes under one name.

        Of two branches the one whose first differing event has the lower chain keeps the incarnation. If it
        is theirs, ours goes on under a name of its own (`branched`), and theirs takes its place. Returns
        the number up to which both are the same afterwards (0: nothing could be compared); ours stays where
        it has the lower chain.
        """
        if not events:
            return 0
        stream = events[0].stream
        head = self._heads.get(stream)
        if head is None or any(event.stream != stream for event in events):
            return 0
        ours = {event.number: event for event in self._all(stream, events[0].number - 1, events[-1].number)}
        same = 0
        for position, event in enumerate(events):
            mine = ours.get(event.number)
            if mine is not None and mine.chain == event.chain:
                same = event.number
                continue
            if mine is None:
                return same
            before = self._chain_at(head, event.number - 1)
            if before is None or event.chain != chained(before, event) or event.chain > mine.chain:
                return same
            if not _names(branched(mine, before)):
                return same  # a branch's name would be too long
            self._give_way(head, mine, before, events[position:])
            return self._heads[stream].number
        return same

    def _chain_at(self, head: Head, number: int) -> bytes | None:
        if number == 0:
            return START
        found = self.store.after(head.stream, number - 1, 1)
        return found[0].chain if found and found[0].number == number else None

    def _give_way(self, head: Head, mine: Event, before: bytes, theirs: Sequence[Event]) -> None:
        stream = head.stream
        kept = self._all(stream, head.floor, head.number)
        self._branch([event for event in kept if event.number >= mine.number], before)
        begin = [event for event in kept if event.number < mine.number]
        self._forget()
        self.store.drop(stream.channel, stream)
        del self._heads[stream]
        if head.floor:
            self.store.skip(Gap(stream, 1, head.floor, "taken by retention"))
            self._heads[stream] = Head(stream, head.floor, head.floor, 0, 0, START)
        self.merge([*begin, *theirs])
        self.rewritten += 1

    def _branch(self, run: Sequence[Event], before: bytes) -> None:
        """Keep a run of events, behind a chain, as a branch; where it differs from ours, as two."""
        branch = run[0].stream._replace(life=branched(run[0], before))
        self._name(
            "double",
            branch.site,
            f"two processes wrote as {branch.site}/{run[0].life}: on channel {branch.channel} "
            f"what one wrote from number {run[0].number} on is kept as {branch.life}",
        )
        run = [msgspec.structs.replace(each, life=branch.life, number=n) for n, each in enumerate(run, 1)]
        self.merge(run)  # it is new, or goes on where ours ends
        self._see_double(branch)
        head = self._heads[branch]
        ours = {event.number: event for event in self._all(branch, head.floor, run[-1].number)}
        for position, event in enumerate(run):
            mine = ours.get(event.number, event)
            if event.chain != mine.chain:
                if event.chain < mine.chain:
                    self._give_way(head, mine, before, run[position:])
                else:
                    self._branch(run[position:], before)
                return
            before = event.chain

    def _all(self, stream: Stream, after: int, last: int) -> list[Event]:
        found: list[Event] = []
        while after < last:
            page = self.store.after(stream, after, PAGE_BYTES)
            if not page:
                break
            found += page
            after = page[-1].number
        return [event for event in found if event.number <= last]

    # What is here.

    def head(self, stream: Stream) -> Head | None:
        """How far a stream goes here."""
        return self._heads.get(stream)

    @property
    def tracked(self) -> Heads:
        """All heads, with what follows from them."""
        return self._heads

    def heads(self, wanted: Callable[[Stream], bool] | None = None) -> list[Head]:
        """How far the wanted streams go (None: all)."""
        return [head for stream, head in self._heads.items() if wanted is None or wanted(stream)]

    def read(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """A channel's events in its order, behind a place, up to and including a time."""
        return self.store.ordered(channel, since, until_us, limit)

    def gaps(self, channel: str) -> list[Gap]:
        """What of a channel is not here and never will be."""
        return self.store.gaps(channel)

    def tidy(self, now: int) -> int:
        """Retention as of a Unix time; FLEET is spared. Returns how many events went."""
        gone = self.store.prune(now - self._keep_us, self._most_bytes, [FLEET])
        if gone:
            self._reload()
        return gone

    def drop(self, channel: str) -> None:
        """Forget a channel that is kept elsewhere; our own events stay until retention takes them."""
        self._said.pop(channel, None)
        self._dropped.add(channel)
        for stream in [stream for stream in self._heads if stream.channel == channel]:
            if stream.site != self.site:
                self.store.drop(channel, stream)
                del self._heads[stream]

    def follow(self, scope: Scope) -> None:
        """Go by who keeps what now. What was left of a channel that others kept meanwhile is forgotten.

        They may have called its order settled past that, as an origin that could bring it lost its disk.
        """
        self.scope = scope
        self._heads.follow(scope)
        while self._heads.again:
            self.drop(self._heads.again.pop())
            self._heads.follow(scope)

    # Until when it is settled.

    def promise(self) -> Promise:
        """Our own promise as of now; it is on disk first, so that it outlasts a kill and a clock set back."""
        self._alone()
        at = self._clock.promise(self.waits_since())
        if at > self._on_disk:
            marks, ahead = self._floor(at)
            self.store.append([], marks)
            self._on_disk = ahead
        wrote = self._wrote(at)
        word = self._word(at)
        mine = Promise(self.site, self.life, at, self.lives(), self._since, wrote, self.session, *word)
        self._gave = at
        if (self.site, self.life) in self._told:
            self._told[(self.site, self.life)] = mine  # it goes with each body, whatever has changed
        else:
            self._tell(mine)
        return mine

    @staticmethod
    def _floor(at: int) -> tuple[dict[str, bytes], int]:
        """What keeps promises from a time on, for a while; written along with events it costs no write."""
        return {"floor": (at + LEAD_US).to_bytes(8, "big")}, at + LEAD_US

    def _wrote(self, at: int) -> tuple[tuple[str, int], ...]:
        """How far our streams go that were written lately; `_since` is moved behind all others."""
        changes, until, wrote = self._lately
        if changes == self._heads.own_changes and at < until:
            return wrote
        recent, lately = self._heads.recent, []
        for stream in list(recent):
            head = self._heads.get(stream)
            if head is None or stream.life != self.life or stream.channel == FLEET:
                if stream.channel != FLEET:  # it is not named, so it lies at or before `_since`
                    self._since = max(self._since, head.at if head is not None else 1)
                del recent[stream]
            else:
                lately.append((head.at, head.number, stream))
        lately.sort(reverse=True)
        kept = [each for each in lately[:LATELY] if each[0] > at - LATELY_US]
        for head_at, _, stream in lately[len(kept) :]:
            self._since = max(self._since, head_at)
            del recent[stream]
        wrote = tuple((stream.channel, number) for _, number, stream in kept)
        self._lately = self._heads.own_changes, at + LATELY_US // 10, wrote
        return wrote

    def _word(self, at: int) -> tuple[bytes, bytes]:
        """What we know of the fleet, and who keeps what of ours and may lack some of it up to `_since`."""
        if self.scope is None:
            return b"", b""
        self.owing()
        since, now = self._since, self._time.now_us()
        if since > at - LATELY_US and now < self._view_us + AHEAD_US:
            return b"", b""  # who ceased to keep it by our clock may keep it by another's
        owes = [s for s, pair in self._pairs.items() if pair.wrote > pair.sure and pair.owed_from < since]
        if len(owes) > MOST_OWED:
            return b"", b""
        return self._known_fleet(), b"".join(map(_short, owes))

    def _known_fleet(self) -> bytes:
        """Digest of the layouts that we know of, and of the logs that are open now."""
        if not self._fleet:
            sessions = {site: session for site, (_, session) in self._sessions.items()}
            sessions[self.site] = self.session
            known = msgspec.msgpack.encode((self._laid, sorted(sessions.items())))
            self._fleet = blake3(known).digest(length=8)
        return self._fleet

    def opened(self, site: str, session: str, at: int = 0) -> None:
        """Another site's log was opened: what it had before may be gone. `at`: it promised so late."""
        latest, known = self._sessions.get(site, (0, ""))
        if site == self.site or site not in self._pairs or not session or 0 < at < latest:
            return
        self._sessions[site] = max(at, latest), session
        if session != known:
            self._fleet = b""
            self._owe_anew([self._pairs[site]])

    def _owe_anew(self, pairs: Iterable[Pair]) -> None:
        self._writes += 1
        for pair in pairs:
            pair.sure, pair.owed_from, pair.anew = 0, 0, self._writes

    def _see_scope(self) -> None:
        """Note which layouts are known, and whether these went on by one step, by more, or back."""
        scope = self.scope
        assert scope is not None
        if scope.turn == self._turn:
            return
        laid, view, first = [each.id for each in scope.history()], scope.view, self._turn < 0
        if not first:
            place = {name: n for n, name in enumerate(laid)}
            step, new = place.get(view, 0) - place.get(self._view, 0), len(set(laid).difference(self._laid))
            if step < 0 or (scope.grown != self._grown_at and laid == self._laid):
                self._set_back = True
            if step > 1 or new > 1 or not set(laid).issuperset(self._laid):
                self._owe_anew(self._pairs.values())  # who kept a channel may have dropped it meanwhile
        if laid != self._laid:
            self._fleet = b""
        if view != self._view:
            self._view_us = self._time.now_us()
        self._ever.clear()
        self._turn, self._grown_at, self._laid, self._view = scope.turn, scope.grown, laid, view

    def _keepers_ever(self, channel: str) -> frozenset[str]:
        """Who keeps a channel by any layout: others can hold nothing of it but their own."""
        found = self._ever.get(channel)
        if found is None:
            assert self.scope is not None
            by = (laid.keepers(laid.shard(channel)) for laid in self.scope.history())
            found = self._ever[channel] = self.scope.holders(channel).union(*by)
        return found

    def lives(self) -> bytes:
        """Digest of all incarnations that we know of: equal where the same are known."""
        if not self._lives:
            self._lives = blake3(msgspec.msgpack.encode(sorted(self._told))).digest(length=8)
        return self._lives

    def promises(self) -> dict[str, Promise]:
        """The latest promise of each site that we know, our own as of now, for FLEET."""
        self.promise()
        return {each.site: each for each in sorted(self._told.values(), key=lambda each: each.at)}

    def pair(self, peer: str) -> Pair:
        """What we know of a site from meetings; of a stranger nothing is kept."""
        return self._pairs.get(peer) or Pair()

    def owing(self) -> int:
        """Note who is to have what we wrote since the last question; which round of writes this was."""
        assert self.scope is not None
        self.follow(self.scope)
        self._see_scope()
        if self._heads.wrote:
            self._writes += 1
            for channel in self._heads.wrote:
                holders = self._heads.holders(channel)
                before = self._owed_to.get(channel, holders)
                self._owed_to[channel] = holders
                for site in holders | before:
                    pair, owed_from = self.pair(site), self._owed_from if site in before else 0
                    pair.owed_from = owed_from if pair.wrote <= pair.sure else min(pair.owed_from, owed_from)
                    pair.wrote = self._writes
            self._heads.wrote.clear()
        self._owed_from = self._gave
        return self._writes

    def own(self, peer: str) -> Own:
        """Our own streams that a site is to have and that changed since it had all of them."""
        assert self.scope is not None
        upto, numbers = self.pair(peer).upto, dict[Stream, int]()
        for stream in reversed(self._heads.own):
            if self._heads.own[stream] <= upto:
                break
            if stream.channel == FLEET or peer in self.scope.holders(stream.channel):
                numbers[stream] = self._heads[stream].number
        return Own(self._heads.own_changes, numbers)

    def whole(self, peer: str, paid: int, fleet: int | None = None, own: Own | None = None) -> None:
        """A meeting with a site came to its end: it has our writes up to a round, and such a FLEET."""
        pair = self.pair(peer)
        pair.whole_us, pair.paid = self._time.now_us(), max(pair.paid, paid)
        if paid >= pair.anew:
            pair.sure = max(pair.sure, paid)
        if own is not None and own.upto >= pair.upto:
            pair.has.update(own.numbers)
            pair.upto = own.upto
        if fleet is not None:
            pair.fleet = fleet

    def told(self, known: int = 0, peer: str = "", wide: bool = True) -> tuple[list[Passed], int]:
        """Our promise as of now, those that changed behind a change, and up to which these are all.

        Changes are counted by `session`; a body of promises has room for so many, the oldest first.
        What the peer told us is left out, unless it holds nothing (`known` is 0): it began anew. Not `wide`:
        those of others go along only if an incarnation or a log of them is new to it.
        """
        found, news, upto, room = [passed(self.promise())], list[tuple[str, str]](), known, PROMISES_BYTES
        if not wide and known >= self._anew:
            return found, known
        for key in reversed(self._told):
            if self._changed[key][0] <= known:
                break
            news.append(key)
        for key in reversed(news):
            number, teller = self._changed[key]
            if known and teller == peer:
                continue
            if key != (self.site, self.life):
                each = self._passed.get(key)
                if each is None:
                    each = self._passed[key] = passed(self._told[key])
                room -= len(each.rest) + len(each.site) + len(each.life) + 16
                if room < 0:
                    return found, upto
                found.append(each)
            upto = number
        return found, max(upto, self._changes)

    def _tell(self, each: Promise, teller: str = "", anew: bool = False) -> None:
        """Take over a promise that is newer than the one we hold; `anew`: if we hold none."""
        key = (each.site, each.life)
        old = self._told.get(key)
        if old is None:
            self._lives = b""
        elif anew or old.at >= each.at:
            return
        else:
            del self._told[key]
        self._changes += 1
        if old is None or old.session != each.session:
            self.opened(each.site, each.session, each.at)
            self._anew = self._changes
        self._told[key], self._changed[key] = each, (self._changes, teller)
        self._passed.pop(key, None)

    def hear(self, peer: str, promises: Iterable[Passed], direct: bool) -> None:
        """The same as `heard` of what came in a body: what is no newer than here is not even read."""
        for each in promises:
            key = (each.site, each.life)
            old = self._told.get(key)
            if old is not None and old.at >= each.at and each.site not in (peer, self.site):
                continue
            with suppress(msgspec.MsgspecError):
                self.heard(peer, [promise := each.promise()], direct)
                if self._told.get(key) is promise:  # a copy, as the body's bytes are not to stay for it
                    self._passed[key] = Passed(*key, each.at, msgspec.Raw(bytes(each.rest)))

    def heard(self, peer: str, promises: Iterable[Promise], direct: bool = True) -> None:
        """Promises that a site held, after we have all that it had then.

        `direct`: both agree on who keeps what, so that its own counts off FLEET too, and those of others may.
        """
        for each in promises:
            key = (each.site, each.life)
            if each.site not in self.members or not 0 <= each.at < MOST_AT_US:
                continue
            if each.site == self.site:
                self._clock.held_to(min(each.at, self._clock.wall()))
                self._tell(each, peer, anew=True)
                continue
            self._tell(each, peer)
            if direct and each.site == peer:
                counted = self._counted.get(key)
                if counted is None or counted.grown != self._grown() or counted.promise.at < each.at:
                    self._count(key, each)
            elif direct and (key not in self._pending or self._pending[key].at < each.at):
                self._pending[key] = each

    def _grown(self) -> int:
        return self.scope.grown if self.scope is not None else 0

    def _count(self, key: tuple[str, str], each: Promise) -> None:
        self._counted[key] = Counted(each, self._grown(), self._time.now_us())

    def _catch_up(self) -> None:
        """Count promises that came by others, once all that was written behind the last one is here.

        That one must reach back to `since`, and must have counted for what we hold now. Its site must have
        known no fewer incarnations by then: it may have got events of a new one's forerunner meanwhile.
        """
        grown, most = self._grown(), self._clock.wall() + AHEAD_US
        holds: dict[str, bool] = {}
        for key, each in list(self._pending.items()):
            counted = self._counted.get(key)
            if counted is None or counted.grown != grown:
                continue
            if counted.promise.at >= each.at:
                del self._pending[key]
            elif (
                counted.promise.at >= each.since
                and counted.promise.lives == each.lives
                and each.at <= most
                and all(self._has(channel, key, number, holds) for channel, number in each.wrote)
            ):
                self._count(key, each)
                del self._pending[key]

    def _has(self, channel: str, key: tuple[str, str], number: int, holds: dict[str, bool]) -> bool:
        head = self._heads.get(Stream(channel, *key))
        if head is not None and head.number >= number:
            return True
        if (here := holds.get(channel)) is None:
            here = holds[channel] = self._holds(channel)
        return not here

    def _holds(self, channel: str) -> bool:
        return channel == FLEET or self.scope is None or self.site in self.scope.holders(channel)

    def _claims(self) -> dict[str, Counted]:
        """Promises of others that count by their sites' word on what they owe, and to whom.

        Such a site knows of the same incarnations, layouts and open logs as we do, and does not owe us
        events up to `since`; those behind are here. It counts where it keeps nothing of others by any layout.
        Who lost events, or ceased to keep a channel for a while, is owed all anew.
        """
        if self.scope is None or self._set_back:
            return {}
        self._see_scope()
        if self._set_back:
            return {}
        grown, lives, fleet, here = self._grown(), self.lives(), self._known_fleet(), _short(self.site)
        most, now, holds = self._clock.wall() + AHEAD_US, self._time.now_us(), dict[str, bool]()
        found: dict[str, Counted] = {}
        for key, each in self._told.items():
            counted = self._claimed.get(key)
            if (
                (counted is None or counted.promise is not each)
                and (each.lives, each.fleet) == (lives, fleet)
                and each.at <= most
                and here not in each.owes
                and all(self._has(channel, key, number, holds) for channel, number in each.wrote)
            ):
                counted = self._claimed[key] = Counted(each, grown, now)
            if counted is None or key[0] == self.site or key in self._doubled or counted.grown != grown:
                continue
            old, sound = counted.promise, found.get(key[0])
            if (old.lives, old.fleet) == (lives, fleet) and (sound is None or sound.promise.at < old.at):
                found[key[0]] = counted
        return found

    def _beside(self) -> frozenset[str]:
        """Who keeps something by any layout that we hold."""
        grown, streams, found = self._partners
        if (grown, streams) != (self._grown(), len(self._heads)):
            channels = {stream.channel for stream in self._heads if stream.channel != FLEET}
            found = frozenset[str]().union(*(self._keepers_ever(c) for c in channels if self._holds(c)))
            self._partners = self._grown(), len(self._heads), found
        return found

    def unheard(self, late_us: int) -> set[str]:
        """Who is to be asked: their word did not count since then (steady time), nor comes by itself."""
        if self.scope is None:
            return set()
        now, counting, beside = self._time.now_us(), self.counting(), self._beside()
        found: set[str] = set()
        for site in self.members:
            counted = counting.get(site)
            if counted is not None:
                self._lacks.pop(site, None)
            else:
                since = self._lacks.setdefault(site, now)
            if counted is not None and counted.counted_us >= late_us:
                continue
            if counted is not None or site in beside or now - since >= COMES_US:
                found.add(site)
        return found

    def counting(self) -> dict[str, Counted]:
        """The last promise of each other site that counts on the channels that we hold."""
        found = self._direct()
        if not any(map(self._holds, self._dropped)):
            beside = self._beside()
            for site, each in self._claims().items():
                if site not in beside and (site not in found or found[site].promise.at < each.promise.at):
                    found[site] = each
        return found

    def _direct(self) -> dict[str, Counted]:
        """Those that count by meetings with their sites."""
        self._catch_up()
        found: dict[str, Counted] = {}
        grown, lives = self._grown(), self.lives()
        for (site, life), each in self._counted.items():
            sound = each.grown == grown and each.promise.lives == lives and (site, life) not in self._doubled
            if sound and (site not in found or found[site].promise.at < each.promise.at):
                found[site] = each
        return found

    def settled_until(self, channel: str) -> tuple[int, list[str]]:
        """Up to when nothing more comes on a channel kept here (0: not known), and who holds it back.

        A promise counts once all that its site had is here, and once that site knew of all incarnations that
        we know of. What was called settled once stays so, for as long as the channel is kept here.
        """
        mine = self.promise()
        best = dict.fromkeys(self.members, 0)
        best[self.site] = mine.at
        if channel == FLEET:
            for (site, life), each in self._told.items():
                if site != self.site and each.lives == mine.lives and (site, life) not in self._doubled:
                    best[site] = max(best.get(site, 0), each.at)
        else:
            best |= {site: each.promise.at for site, each in self._direct().items()}
            if channel not in self._dropped and (claims := self._claims()):
                ever, now = self._keepers_ever(channel), self._time.unix_us()
                for site in claims.keys() - ever:
                    best[site] = max(best.get(site, 0), min(claims[site].promise.at, now))
        said = least = min(best.values())
        if self._holds(channel):
            said = self._said[channel] = max(self._said.get(channel, 0), least)
        return said, [site for site, at in best.items() if at == least and site != self.site]


def _place(head: Head) -> Place:
    return Place(head.at, head.tick, head.stream.site, head.stream.life, head.number)


@lru_cache(1 << 14)
def _short(site: str) -> bytes:
    return blake3(site.encode()).digest(length=SHORT)


def _names(*names: str) -> bool:
    return all(0 < len(name) <= MOST_NAME_BYTES for name in names)


def _stream(event: Event) -> Stream:
    return Stream(event.channel, event.site, event.life)
