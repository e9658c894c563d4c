"""An exchange of two sites: what each lacks, in bounded bodies; and whom a site meets when.

One site begins with `offer`; the other's `answer` keeps nothing between two bodies; the first goes on with
`take` until both have all. Digests by group of channels come first, and with them what each wrote since the
other last had all of it, then heads in pages of the groups that still differ, then events. An exchange that
was cut goes on where it ended with the next offer: each body's events are kept in one piece or not at all.
Source: docs/channels.md. No I/O.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import chain, groupby
from typing import NamedTuple, TypeVar

import msgspec
from blake3 import blake3

from rowanrack.channels.digests import GROUPS, Scope
from rowanrack.channels.events import FLEET, START, Event, Gap, Stream
from rowanrack.channels.log import Log, Own, Passed

VERSION = 5
MOST_BODY_BYTES = 512 * 1024  # a request's or an answer's size
EVENT_BYTES = 224 * 1024  # of these, what events take
HEAD_BYTES = 96 * 1024  # and the heads of a page, or what is wanted
PIECE_BYTES = 16 * 1024  # payloads read at once: small ones take more room for the rest
EACH = 64  # bytes that an event or a head takes beside its names and payload, at most


class SyncError(ValueError):
    """A body that is none of ours; the text is one plain line."""


class Far(NamedTuple):
    """A stream at the other site: where it begins there, how far it goes, and its chain there."""

    stream: Stream
    floor: int
    number: int
    chain: bytes


class Told(NamedTuple):
    """Promises that changed behind one change and up to another, as their log counts while it is open."""

    session: str
    behind: int
    upto: int


NOTHING = Told("", 0, 0)


class Request(msgspec.Struct, array_like=True):
    """What the site that began sends."""

    version: int
    site: str
    digests: dict[int, int] | None = None  # by group: the first request has them
    group: int | None = None  # the page of heads that is asked for: this group's, behind a stream
    behind: Stream | None = None
    wants: list[tuple[Stream, int]] = []  # events of a stream behind a number
    gaps: list[Gap] = []
    events: list[Event] = []
    forked: list[Event] = []  # of streams where the two differ: the first few behind what both have
    promises: list[Passed] = []  # they count if the digests are equal, or the exchange is over
    over: bool = False
    told: Told = NOTHING  # which promises these are
    have: tuple[str, int] = ("", 0)  # by the other's session: up to which change we hold its promises
    view: str = ""  # the layout that holds now, in the first request
    turn: int = 0  # at the end, if both agree on who keeps what: the turn that the first answer named
    writes: int = 0  # and its round of writes
    fleet: int = 0  # at the end: the digest of FLEET that both had


class Reply(msgspec.Struct, array_like=True):
    """What the other one answers."""

    version: int
    site: str
    groups: list[int] = []  # those whose digests differ, to a first request
    heads: list[Far] = []
    last: Stream | None = None  # the page ends there; None: with its group
    gaps: list[Gap] = []
    events: list[Event] = []
    promises: list[Passed] = []
    told: Told = NOTHING
    have: tuple[str, int] = ("", 0)
    view: str = ""
    turn: int = 0  # of who keeps what: another one once that may have changed there
    writes: int = 0  # rounds of its site's own writes
    digests: dict[int, int] = {}  # of the groups that differ, to a first request


@dataclass(slots=True)
class Talk:
    """An exchange that we began: what is left of it."""

    peer: str
    mine: list[Passed]  # as of its begin: those that the peer is not known to hold
    told: Told
    turn: int  # of who keeps what, as of its begin
    view: str
    writes: int  # of ours, as of its begin
    fleet: int  # the digest of FLEET that both have, once the group is through
    own: Own  # our own streams that it may lack, as of its begin
    their_turn: int = 0
    their_writes: int = 0
    groups: list[int] | None = None  # those still to be compared, the current one first; None: not known yet
    behind: Stream | None = None  # the current page begins behind this stream
    theirs: list[Passed] = field(default_factory=list)
    theirs_told: Told = NOTHING
    layout: bool = False  # both had the same on FLEET at its begin, so both agree on who keeps what
    wanted: list[tuple[Stream, int]] = field(default_factory=list)
    given: dict[Stream, int] = field(default_factory=dict)  # how far they were when we gave
    forks: dict[Stream, int] = field(default_factory=dict)  # streams that differ, compared up to a number
    forked: set[Stream] = field(default_factory=set)  # those that were compared
    bad: set[Stream] = field(default_factory=set)  # nothing more comes of these in this exchange
    over: bool = False


def offer(log: Log, peer: str, scope: Scope) -> bytes:
    """The request that begins an exchange; an earlier one with this site is given up."""
    log.scope = scope
    writes, pair = log.owing(), log.pair(peer)
    mine, told = _promises(log, peer, pair.wrote <= pair.paid)
    digests, have = _digests(log, peer, scope), _have(log, peer)
    own = log.own(peer)
    log.talks[peer] = Talk(peer, mine, told, scope.turn, scope.view, writes, log.tracked.fleet, own)
    request = Request(VERSION, log.site, digests, promises=mine, told=told, have=have, view=scope.view)
    _give(log, peer, own, request.gaps, request.events)
    return _encoded(request)


def answer(log: Log, body: bytes, scope: Scope) -> bytes:
    """The answer to a request. Raises SyncError: it is none; LogError: the store failed, nothing was kept."""
    asked = _decoded(body, Request)
    log.scope = scope
    reply = Reply(VERSION, log.site)
    _holds(log, asked)
    for gap in asked.gaps:
        _skip(log, gap)
    log.merge(_wanted(log, asked.site, scope, asked.events))
    for run in _runs(asked.forked):
        if _shared(log, asked.site, scope, run[0].stream):
            log.fork(run)
    if asked.digests is not None:
        ours = _digests(log, asked.site, scope)
        both = sorted(ours.keys() | asked.digests.keys())
        reply.groups = [group for group in both if ours.get(group) != asked.digests.get(group)]
        reply.promises, reply.told = _promises(log, asked.site, True)
        reply.view, reply.turn, reply.writes = scope.view, scope.turn, log.owing()
        pair, own = log.pair(asked.site), log.own(asked.site)
        pair.fleet = asked.digests.get(0, 0)
        if not reply.groups:
            _heard(log, asked.site, asked.promises, asked.told, agree := asked.view == scope.view)
            log.whole(asked.site, reply.writes if agree else 0, own=own if agree else None)
        else:
            asked.group, pair.shown = reply.groups[0], own
            reply.digests = {group: ours.get(group, 0) for group in reply.groups}
            _give(log, asked.site, own, reply.gaps, reply.events)
    elif asked.over:
        agree = asked.turn == scope.turn and asked.have[0] == log.session
        _heard(log, asked.site, asked.promises, asked.told, agree)
        shown = log.pair(asked.site).shown if agree and asked.writes else None
        log.whole(asked.site, asked.writes if agree else 0, asked.fleet, shown)
    room = EVENT_BYTES
    for stream, behind in asked.wants:
        if room <= 0:
            break
        room -= _serve(log, stream, behind, room, reply.gaps, reply.events)
    if asked.group is not None:
        reply.heads, reply.last = _page(log, asked.site, scope, asked.group, asked.behind)
    reply.have = _have(log, asked.site)
    return _encoded(reply)


def take(log: Log, body: bytes, scope: Scope) -> bytes | None:
    """The next request after an answer; None: the exchange is over. Raises as `answer` does.

    What a site says that it has and then does not give, or gives broken, is not asked for again in this
    exchange, and its promises do not count then.
    """
    reply = _decoded(body, Reply)
    log.scope = scope
    talk = log.talks.get(reply.site)
    if not isinstance(talk, Talk) or talk.over:
        return None
    _holds(log, reply)
    if talk.groups is None:
        talk.groups = [g for g in dict.fromkeys(reply.groups) if 0 <= g < GROUPS]
        talk.theirs, talk.theirs_told = reply.promises, reply.told
        talk.layout = 0 not in talk.groups and reply.view == talk.view
        talk.their_turn, talk.their_writes = reply.turn, reply.writes
        if talk.groups and _taken(log, talk, scope, reply):
            request = Request(VERSION, log.site)
            if talk.groups:  # the page that came is of a group that is the same by now
                request.group = talk.groups[0]
                return _encoded(request)
            return _last(talk, scope, request)
    if reply.last is not None and talk.behind is not None and reply.last <= talk.behind:
        reply.last = None  # a page that goes back would have no end
    _keep(log, talk, reply)
    request = Request(VERSION, log.site)
    if talk.groups:
        _compare(log, talk, scope, reply, request)
        if not (request.wants or request.events or request.forked or request.gaps):
            talk.behind = reply.last
            if reply.last is None:
                if talk.groups.pop(0) == 0:
                    log.follow(scope)
                    talk.fleet = log.tracked.fleet
                if not talk.groups and not talk.bad:
                    return _last(talk, scope, request)
        if talk.groups:
            request.group, request.behind = talk.groups[0], talk.behind
            talk.wanted = request.wants
            return _encoded(request)
    if not talk.bad:
        agree = talk.layout and talk.turn == scope.turn
        _heard(log, talk.peer, talk.theirs, talk.theirs_told, agree)
        log.whole(talk.peer, talk.writes if agree else 0, talk.fleet, talk.own if agree else None)
    talk.over = True
    return None


def _taken(log: Log, talk: Talk, scope: Scope, reply: Reply) -> bool:
    """Take what a first answer gave unasked; whether its first group is the same by that."""
    assert talk.groups
    first, site = talk.groups[0], reply.site
    own = (each for each in reply.events if each.site == site)
    if not reply.digests or not log.merge(_wanted(log, site, scope, own)):
        return False
    ours = _digests(log, site, scope)
    talk.groups = [g for g in talk.groups if ours.get(g, 0) != reply.digests.get(g)]
    if 0 not in talk.groups:
        talk.fleet = log.tracked.fleet
    return first not in talk.groups


def _last(talk: Talk, scope: Scope, request: Request) -> bytes:
    """The request that ends an exchange: both have the same."""
    request.promises, request.told, request.over = talk.mine, talk.told, True
    request.turn = talk.their_turn if talk.layout and talk.turn == scope.turn else 0
    request.writes, request.fleet = talk.their_writes, talk.fleet
    request.have = talk.theirs_told.session, 0  # rounds and turns are those of this log, as open then
    return _encoded(request)


def _give(log: Log, peer: str, own: Own, gaps: list[Gap], events: list[Event]) -> None:
    """Add what we wrote since a site last had all of it: what it has by now after all does no harm."""
    has, room = log.pair(peer).has, EVENT_BYTES
    for stream, number in own.numbers.items():
        behind = has.get(stream, number)  # not known: it is compared
        if behind < number and room > 0:
            room -= _serve(log, stream, behind, room, gaps, events)


def refused(log: Log, peer: str) -> list[str]:
    """The streams of our last exchange with a site that it could not give or take as it said: it failed."""
    talk = log.talks.get(peer)
    return [f"{s.channel} {s.site}/{s.life}" for s in sorted(talk.bad)] if isinstance(talk, Talk) else []


def _promises(log: Log, peer: str, wide: bool) -> tuple[list[Passed], Told]:
    """Those that a site is not known to hold, our own among them."""
    known = log.pair(peer).known
    promises, upto = log.told(known, peer, wide)
    return promises, Told(log.session, known, upto)


def _have(log: Log, peer: str) -> tuple[str, int]:
    pair = log.pair(peer)
    return pair.session, pair.had


def _holds(log: Log, body: Request | Reply) -> None:
    """Note which of our promises the other holds; one that begins anew holds none."""
    log.opened(body.site, body.told.session)
    session, number = body.have
    log.pair(body.site).known = number if session == log.session else 0


def _heard(log: Log, peer: str, promises: list[Passed], told: Told, direct: bool) -> None:
    """Count promises. If they are behind one that we do not hold, the other hears so and tells all again."""
    log.hear(peer, promises, direct)
    pair = log.pair(peer)
    if told.session != pair.session:
        pair.session, pair.had = told.session, 0
    if told.behind <= pair.had < told.upto:
        pair.had = told.upto


def _keep(log: Log, talk: Talk, reply: Reply) -> None:
    """Keep what came of what was wanted, and note what did not."""
    wanted = dict(talk.wanted)
    for gap in reply.gaps:
        if gap.stream in wanted and gap.stream not in talk.forks:
            _skip(log, gap)
    broken: set[Stream] = set()
    runs = {run[0].stream: run for run in _runs(reply.events)}
    plain = (run for stream, run in runs.items() if stream in wanted and stream not in talk.forks)
    log.merge(chain.from_iterable(plain), broken)
    moved = False
    for stream, behind in wanted.items():
        if stream in talk.forks:
            same = log.fork(runs.get(stream, []))
            if same > behind:
                moved = True
                talk.forks[stream] = same
            if same <= behind or same < runs[stream][-1].number or same == _number(log, stream):
                del talk.forks[stream]  # compared: ours stays and is given, or theirs goes on as usual
                if same < _number(log, stream):
                    talk.given[stream] = -1 - same
        elif _number(log, stream) > behind:
            moved = True
        elif stream in broken and stream not in talk.forked and (head := log.head(stream)) is not None:
            talk.forks[stream], moved = head.floor, True
            talk.forked.add(stream)
    if wanted and not moved:
        talk.bad.update(wanted)


def _compare(log: Log, talk: Talk, scope: Scope, reply: Reply, request: Request) -> None:
    """What to ask for and to give, by a page of the other's heads."""
    far = {each.stream: each for each in reply.heads}
    assert talk.groups
    here = _streams(log, talk.peer, scope, talk.groups[0], talk.behind, reply.last)
    room, want_room = EVENT_BYTES, HEAD_BYTES
    for stream in [*here, *(s for s in far if log.head(s) is None and _shared(log, talk.peer, scope, s))]:
        if stream in talk.bad or not (room > 0 or want_room > 0):
            continue
        theirs, number = far.get(stream) or Far(stream, 0, 0, b""), _number(log, stream)
        ours = _chain(log, stream)  # START where retention took what stood in front: not known
        differs = theirs.number == number and START not in (ours, theirs.chain) and ours != theirs.chain
        fork = stream in talk.forks
        differs |= theirs.number < number and talk.given.get(stream) == theirs.number  # they did not take it
        if differs and not fork and stream not in talk.forked:
            head = log.head(stream)
            talk.forks[stream], fork = head.floor if head else 0, True
            talk.forked.add(stream)
        if (pushed := talk.given.get(stream, 0)) < 0:
            _serve(log, stream, -1 - pushed, 1, [], request.forked)
            talk.bad.add(stream)
        elif fork or theirs.number > number:
            if want_room > 0:
                request.wants.append((stream, talk.forks[stream] if fork else number))
                want_room -= EACH + sum(map(len, stream))
        elif theirs.number < number:
            if differs:
                talk.bad.add(stream)
            elif room > 0:
                talk.given[stream] = theirs.number
                room -= _serve(log, stream, theirs.number, room, request.gaps, request.events)
        elif differs:
            talk.bad.add(stream)


def _serve(log: Log, stream: Stream, behind: int, room: int, gaps: list[Gap], events: list[Event]) -> int:
    """Add a stream's events behind a number, up to some bytes but at least one; returns what they take."""
    head = log.head(stream)
    if head is None:
        return EACH
    if behind < head.floor:
        gaps.append(Gap(stream, behind + 1, head.floor, f"{log.site} keeps them no more"))
        behind = head.floor
    used = EACH + sum(map(len, stream))
    while behind < head.number and (page := log.after(stream, behind, PIECE_BYTES)):
        for event in page:
            used += EACH + sum(map(len, stream)) + len(event.kind) + len(event.data)
            if used > room and events:
                return used
            events.append(event)
        behind = page[-1].number
    return used


def _skip(log: Log, gap: Gap) -> None:
    if gap.first <= _number(log, gap.stream) + 1:
        log.skip(gap)


def _number(log: Log, stream: Stream) -> int:
    head = log.head(stream)
    return head.number if head is not None else 0


def _chain(log: Log, stream: Stream) -> bytes:
    head = log.head(stream)
    return head.chain if head is not None else b""


def _runs(events: Iterable[Event]) -> Iterator[list[Event]]:
    for _, run in groupby(events, lambda event: (event.channel, event.site, event.life)):
        yield list(run)


def _shared(log: Log, peer: str, scope: Scope, stream: Stream) -> bool:
    """Whether both sites hold a stream: each wants it, or wrote it."""
    channel, origin = stream.channel, stream.site
    return channel == FLEET or (
        (origin == peer or scope.wants(peer, channel, origin))
        and (origin == log.site or scope.wants(log.site, channel, origin))
    )


def _wanted(log: Log, peer: str, scope: Scope, events: Iterable[Event]) -> Iterator[Event]:
    """Those of streams that both sites hold."""
    for run in _runs(events):
        if _shared(log, peer, scope, run[0].stream):
            yield from run


def _digests(log: Log, peer: str, scope: Scope) -> dict[int, int]:
    log.follow(scope)
    return log.tracked.shared(peer)


def _streams(
    log: Log, peer: str, scope: Scope, group: int, behind: Stream | None, last: Stream | None = None
) -> list[Stream]:
    """The streams of a group that both hold, in order, behind one and up to another."""
    log.follow(scope)
    return sorted(
        stream
        for stream in log.tracked.group(group)
        if (behind is None or stream > behind)
        and (last is None or stream <= last)
        and _shared(log, peer, scope, stream)
    )


def _page(
    log: Log, peer: str, scope: Scope, group: int, behind: Stream | None
) -> tuple[list[Far], Stream | None]:
    page: list[Far] = []
    room = HEAD_BYTES
    for stream in _streams(log, peer, scope, group, behind):
        if room <= 0:
            return page, page[-1].stream
        room -= EACH + sum(map(len, stream))
        head = log.head(stream)
        assert head is not None
        page.append(Far(stream, head.floor, head.number, head.chain))
    return page, None


def _encoded(body: Request | Reply) -> bytes:
    return msgspec.msgpack.encode(body)


Body = TypeVar("Body", Request, Reply)


def _decoded(body: bytes, kind: type[Body]) -> Body:
    if len(body) > MOST_BODY_BYTES:
        raise SyncError(f"a body of {len(body)} bytes: the most is {MOST_BODY_BYTES}")
    try:
        found = msgspec.msgpack.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SyncError(f"a body that is none of an exchange: {error}") from None
    if found.version != VERSION:
        raise SyncError(f"a body of version {found.version}: ours is {VERSION}")
    return found


QUIET_US, QUIET_EACH_US = 4_000_000, 1_000_000  # a neighbour is met this often, with many as much more seldom
NEWS_LEAST_US, NEWS_US = 50_000, 300_000  # news of FLEET: that soon
OWED_US = 2_000_000  # what we wrote waits so long for more
ASK_US = 250_000  # who is to be asked is so at this pace, one after the other, none more often than:
ASK_LEAST_US = 5_000_000
AGAIN_US, MOST_AGAIN_US = 1_000_000, 60_000_000  # behind failures: doubled each time, up to a most
MOST_AT_ONCE = 4
FAILING = 3  # failures on end until the next site along the ring stands in


class Needs(NamedTuple):
    """Why other sites should be met, as of now."""

    news: Collection[str] = ()  # they are not known to have what is on FLEET here
    owed: Collection[str] = ()  # they are to have what we wrote
    ask: Collection[str] = ()  # we lack their word, or what they hold
    whole: Mapping[str, int] = {}  # steady time of the last whole meeting, whoever began it


class Meetings:
    """Whom a site begins an exchange with, and when. Times are microseconds of the steady clock.

    For FLEET these are neighbours on a ring in the order of the names' digests, at distances 1, 2, 4, ...:
    about log2(n) sites, and what one wrote is everywhere after about log2(n) meetings. They are met seldom,
    and at once if they lack what is new. A neighbour that fails is tried further, and the next one stands
    in. Others are met for what we owe them, or to ask them, the latter at one pace, however many they are.
    """

    def __init__(self, site: str, sites: Sequence[str], seed: int) -> None:
        """`sites` are those of the file, with or without this one."""
        self._site, self._random = site, random.Random(f"{seed} {site}")
        ring = sorted({*sites, site}, key=lambda name: (blake3(name.encode()).digest(), name))
        start = ring.index(site)
        self._ring = ring[start + 1 :] + ring[:start]
        self._fails = dict.fromkeys(self._ring, 0)
        self._wants: dict[tuple[str, str], int] = {}  # by why and whom: when
        self._asks_us = 0  # the last place in the line of asks
        self._busy: set[str] = set()
        self._next: dict[str, int] = {}  # of neighbours, with nothing new
        self._least: dict[str, int] = {}  # not before: it failed, wants no call, or was just met
        self._whole: dict[str, int] = {}
        self._near = self._neighbours()

    def _neighbours(self) -> list[str]:
        found: dict[str, None] = {}
        step = 1
        while step <= len(self._ring):
            for name in self._ring[step - 1 :]:
                found[name] = None
                if self._fails[name] < FAILING:
                    break
            step *= 2
        return list(found)

    def needs(self, now_us: int, needs: Needs) -> None:
        """Whom to meet beside the usual, and why, as of now. What is planned already stays where it is."""
        before, self._wants = self._wants, {}
        near = set(self._near)
        for why, sites in (("news", near.intersection(needs.news)), ("owed", needs.owed), ("ask", needs.ask)):
            for site in sorted(sites):
                if site in self._fails:
                    self._wants[why, site] = before.get((why, site)) or self._plan(why, site, now_us)
        for site in self._near:
            if (whole := needs.whole.get(site, 0)) > self._whole.get(site, 0):
                self._whole[site] = whole
                self._next[site] = whole + self._jittered(self._quiet())

    def _plan(self, why: str, site: str, now_us: int) -> int:
        if why == "news":
            return now_us + self._random.randrange(NEWS_LEAST_US, NEWS_US)
        if why == "owed":
            return now_us + self._jittered(OWED_US)
        self._asks_us = max(self._asks_us, now_us) + self._random.randrange(2 * ASK_US)
        met = self._whole.get(site)
        return self._asks_us if met is None else max(self._asks_us, met + self._jittered(ASK_LEAST_US))

    def due(self, now_us: int) -> list[str]:
        """Whom to meet now: the longest due first, at most as many as may be under way at once."""
        due = sorted((at, name) for name, at in self._times(now_us).items() if at <= now_us)
        return [name for _, name in due][: max(MOST_AT_ONCE - len(self._busy), 0)]

    def next_at(self, now_us: int = 0) -> int | None:
        """When someone is due next; None: not before an exchange under way has ended."""
        times = self._times(now_us)
        return min(times.values()) if times and len(self._busy) < MOST_AT_ONCE else None

    def _times(self, now_us: int) -> dict[str, int]:
        times: dict[str, int] = {}
        for name in self._near:
            if name not in self._next:  # spread the first ones
                self._next[name] = now_us + self._random.randrange(self._quiet())
            times[name] = self._next[name]
        for (_, name), at in self._wants.items():
            times[name] = min(times.get(name, at), at)
        return {n: max(at, self._least.get(n, 0)) for n, at in times.items() if n not in self._busy}

    def _quiet(self) -> int:
        return max(QUIET_US, QUIET_EACH_US * len(self._near))

    def began(self, site: str, now_us: int, wait_us: int = 0) -> None:
        """An exchange with this site begins."""
        self._busy.add(site)
        for why in ("news", "owed", "ask"):
            self._wants.pop((why, site), None)

    def ended(self, site: str, now_us: int, wait_us: int = 0) -> None:
        """It is over, and went well; the site may want no call for a while."""
        self._whole[site] = now_us
        self._over(site, now_us, now_us + wait_us, now_us + self._jittered(self._quiet()), 0)

    def failed(self, site: str, now_us: int, wait_us: int = 0) -> None:
        """It failed, or showed the site to say what is not so; it is left alone for longer each time."""
        fails = self._fails.get(site, 0) + 1
        again = now_us + max(wait_us, self._jittered(min(AGAIN_US << min(fails, 10), MOST_AGAIN_US)))
        self._over(site, now_us, again, again, fails)

    def _over(self, site: str, now_us: int, least_us: int, next_us: int, fails: int) -> None:
        self._busy.discard(site)
        if site in self._fails:
            self._least[site], self._next[site] = least_us, next_us
            if (self._fails[site] < FAILING) != (fails < FAILING):
                self._fails[site] = fails
                self._near = self._neighbours()
            self._fails[site] = fails

    def _jittered(self, pause_us: int) -> int:
        return int(pause_us * self._random.uniform(0.75, 1.25))
