"""Exchanges, by which two sites bring their logs to the same state, and their scheduling.

One site starts an exchange with `begin_exchange`. The other one answers with `answer_request` and keeps no
state between two bodies. The first site continues with `process_reply` until both logs are equal. The first
bodies contain digests by group of channels and recent writes; then follow pages of heads of the groups that
differ, and events. The events of one body are stored together or not at all, so the next exchange continues
where an interrupted one stopped. Bodies are bounded in size. No I/O. Design: docs/channels.md.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import chain, groupby
from typing import NamedTuple, TypeVar

import msgspec
from blake3 import blake3

from rowanrack.channels.digests import GROUP_COUNT, Scope
from rowanrack.channels.events import FLEET, START, Event, Gap, Stream
from rowanrack.channels.log import EncodedPromise, Log, OwnStreams

VERSION = 5  # of the format of bodies
MAX_BODY_BYTES = 512 * 1024  # size of a request or a reply
MAX_EVENTS_BYTES = 224 * 1024  # part of a body for events
MAX_HEADS_BYTES = 96 * 1024  # part of a body for a page of heads, or for the list of wanted streams
# Payload bytes read at once; small events need more in a body for the other fields
READ_PIECE_BYTES = 16 * 1024
ITEM_OVERHEAD_BYTES = 64  # upper bound for an event or a head without its names and payload


class SyncError(ValueError):
    """A malformed body; the text is a single line."""


class RemoteHead(NamedTuple):
    """The head of a stream at the other site."""

    stream: Stream
    floor: int
    number: int
    chain: bytes


class PromiseRange(NamedTuple):
    """Which promises a body contains: those changed after one change and up to another of a session."""

    session: str
    after: int
    upto: int


NO_PROMISES = PromiseRange("", 0, 0)


class Request(msgspec.Struct, array_like=True):
    """A body from the site that started the exchange."""

    version: int
    site: str
    digests: dict[int, int] | None = None  # by group; in the first request
    group: int | None = None  # the requested page of heads: of this group, after a stream
    after: Stream | None = None
    wanted_streams: list[tuple[Stream, int]] = []  # streams, and the number after which events are wanted
    gaps: list[Gap] = []
    events: list[Event] = []
    forked_events: list[Event] = []  # for forked streams: the first few events after the common part
    promises: list[EncodedPromise] = []  # they count if the digests are equal or the exchange is finished
    finished: bool = False
    promise_range: PromiseRange = NO_PROMISES  # which promises the body contains
    # The other site's session, and the change up to which its promises are held here
    received_upto: tuple[str, int] = ("", 0)
    layout_id: str = ""  # the layout in force; in the first request
    scope_version: int = 0  # in the last request: that of the first reply, or 0 if the layouts differ
    write_round: int = 0  # in the last request: write round of the first reply
    fleet_digest: int = 0  # in the last request: digest of FLEET that both sites had


class Reply(msgspec.Struct, array_like=True):
    """A body from the site that answers."""

    version: int
    site: str
    groups: list[int] = []  # groups with different digests; in the first reply
    heads: list[RemoteHead] = []
    last: Stream | None = None  # last stream of the page; None: the page ends the group
    gaps: list[Gap] = []
    events: list[Event] = []
    promises: list[EncodedPromise] = []
    promise_range: PromiseRange = NO_PROMISES
    received_upto: tuple[str, int] = ("", 0)
    layout_id: str = ""
    scope_version: int = 0  # version of the answering site's scope
    write_round: int = 0  # write round of the answering site
    digests: dict[int, int] = {}  # of the groups that differ; in the first reply


@dataclass(slots=True)
class Exchange:
    """The state of an exchange that this site started."""

    peer: str
    own_promises: list[EncodedPromise]  # promises that the peer is not known to hold, as of the start
    promise_range: PromiseRange
    scope_version: int  # version of the local scope at the start
    layout_id: str
    write_round: int  # local write round at the start
    fleet_digest: int  # digest of FLEET that both sites have once its group was compared
    own_streams: OwnStreams  # local streams that the peer may lack, as of the start
    peer_scope_version: int = 0
    peer_write_round: int = 0
    groups: list[int] | None = None  # groups left to compare, the current one first; None: unknown yet
    after: Stream | None = None  # the current page starts after this stream
    peer_promises: list[EncodedPromise] = field(default_factory=list)
    peer_promise_range: PromiseRange = NO_PROMISES
    layouts_agree: bool = False  # both had the same FLEET events at the start, so they agree on the layouts
    requested: list[tuple[Stream, int]] = field(default_factory=list)
    # The number after which events were sent to the peer. -1 - n: the local branch won a fork after number n,
    # and its events are still to be sent.
    sent_after: dict[Stream, int] = field(default_factory=dict)
    # Forked streams, each with the number compared so far
    forks: dict[Stream, int] = field(default_factory=dict)
    compared_forks: set[Stream] = field(default_factory=set)  # streams that were compared for a fork
    failed_streams: set[Stream] = field(default_factory=set)  # streams that this exchange does not retry
    finished: bool = False


def begin_exchange(log: Log, peer: str, scope: Scope) -> bytes:
    """Start an exchange and return its first request; an earlier one with this peer is abandoned."""
    log.scope = scope
    write_round, peer_state = log.assign_write_round(), log.peer_state(peer)
    own_promises, promise_range = _promises_for(
        log, peer, peer_state.last_write_round <= peer_state.acked_write_round
    )
    digests, received_upto = _shared_digests(log, peer, scope), _received_upto(log, peer)
    own_streams = log.own_streams_for(peer)
    log.exchanges[peer] = Exchange(
        peer,
        own_promises,
        promise_range,
        scope.turn,
        scope.view,
        write_round,
        log.head_index.fleet_digest,
        own_streams,
    )
    request = Request(
        VERSION,
        log.site,
        digests,
        promises=own_promises,
        promise_range=promise_range,
        received_upto=received_upto,
        layout_id=scope.view,
    )
    _add_recent_writes(log, peer, own_streams, request.gaps, request.events)
    return _encode(request)


def answer_request(log: Log, body: bytes, scope: Scope) -> bytes:
    """Return the reply to a request.

    Raises SyncError if the request is malformed, LogError if the store failed and nothing was stored.
    """
    request = _decode(body, Request)
    log.scope = scope
    reply = Reply(VERSION, log.site)
    _record_peer_promises(log, request)
    for gap in request.gaps:
        _skip(log, gap)
    log.merge(_shared_events(log, request.site, scope, request.events))
    for run in _by_stream(request.forked_events):
        if _held_by_both(log, request.site, scope, run[0].stream):
            log.fork(run)
    if request.digests is not None:
        digests = _shared_digests(log, request.site, scope)
        all_groups = sorted(digests.keys() | request.digests.keys())
        reply.groups = [group for group in all_groups if digests.get(group) != request.digests.get(group)]
        reply.promises, reply.promise_range = _promises_for(log, request.site, True)
        reply.layout_id, reply.scope_version, reply.write_round = (
            scope.view,
            scope.turn,
            log.assign_write_round(),
        )
        peer_state, own_streams = log.peer_state(request.site), log.own_streams_for(request.site)
        peer_state.fleet_digest = request.digests.get(0, 0)
        if not reply.groups:
            _receive_promises(
                log,
                request.site,
                request.promises,
                request.promise_range,
                scopes_agree := request.layout_id == scope.view,
            )
            log.record_complete_exchange(
                request.site,
                reply.write_round if scopes_agree else 0,
                own_streams=own_streams if scopes_agree else None,
            )
        else:
            request.group, peer_state.answered_streams = reply.groups[0], own_streams
            reply.digests = {group: digests.get(group, 0) for group in reply.groups}
            _add_recent_writes(log, request.site, own_streams, reply.gaps, reply.events)
    elif request.finished:
        scopes_agree = request.scope_version == scope.turn and request.received_upto[0] == log.session
        _receive_promises(log, request.site, request.promises, request.promise_range, scopes_agree)
        answered_streams = (
            log.peer_state(request.site).answered_streams if scopes_agree and request.write_round else None
        )
        log.record_complete_exchange(
            request.site, request.write_round if scopes_agree else 0, request.fleet_digest, answered_streams
        )
    room_bytes = MAX_EVENTS_BYTES
    for stream, after in request.wanted_streams:
        if room_bytes <= 0:
            break
        room_bytes -= _add_events(log, stream, after, room_bytes, reply.gaps, reply.events)
    if request.group is not None:
        reply.heads, reply.last = _page_of_heads(log, request.site, scope, request.group, request.after)
    reply.received_upto = _received_upto(log, request.site)
    return _encode(reply)


def process_reply(log: Log, body: bytes, scope: Scope) -> bytes | None:
    """Process a reply and return the next request, or None if the exchange is finished.

    Raises the same errors as `answer_request`. Streams that the peer announced but did not send, or sent
    damaged, are not requested again in this exchange, and the peer's promises do not count then.
    """
    reply = _decode(body, Reply)
    log.scope = scope
    exchange = log.exchanges.get(reply.site)
    if not isinstance(exchange, Exchange) or exchange.finished:
        return None
    _record_peer_promises(log, reply)
    if exchange.groups is None:
        exchange.groups = [g for g in dict.fromkeys(reply.groups) if 0 <= g < GROUP_COUNT]
        exchange.peer_promises, exchange.peer_promise_range = reply.promises, reply.promise_range
        exchange.layouts_agree = 0 not in exchange.groups and reply.layout_id == exchange.layout_id
        exchange.peer_scope_version, exchange.peer_write_round = reply.scope_version, reply.write_round
        if exchange.groups and _merge_recent_writes(log, exchange, scope, reply):
            request = Request(VERSION, log.site)
            if exchange.groups:  # the received page is of a group that is equal by now
                request.group = exchange.groups[0]
                return _encode(request)
            return _final_request(exchange, scope, request)
    if reply.last is not None and exchange.after is not None and reply.last <= exchange.after:
        reply.last = None  # a page that goes back could make the exchange endless
    _store_requested(log, exchange, reply)
    request = Request(VERSION, log.site)
    if exchange.groups:
        _compare_heads(log, exchange, scope, reply, request)
        if not (request.wanted_streams or request.events or request.forked_events or request.gaps):
            exchange.after = reply.last
            if reply.last is None:
                if exchange.groups.pop(0) == 0:
                    log.follow(scope)
                    exchange.fleet_digest = log.head_index.fleet_digest
                if not exchange.groups and not exchange.failed_streams:
                    return _final_request(exchange, scope, request)
        if exchange.groups:
            request.group, request.after = exchange.groups[0], exchange.after
            exchange.requested = request.wanted_streams
            return _encode(request)
    if not exchange.failed_streams:
        scopes_agree = exchange.layouts_agree and exchange.scope_version == scope.turn
        _receive_promises(
            log, exchange.peer, exchange.peer_promises, exchange.peer_promise_range, scopes_agree
        )
        log.record_complete_exchange(
            exchange.peer,
            exchange.write_round if scopes_agree else 0,
            exchange.fleet_digest,
            exchange.own_streams if scopes_agree else None,
        )
    exchange.finished = True
    return None


def _merge_recent_writes(log: Log, exchange: Exchange, scope: Scope, reply: Reply) -> bool:
    """Store the recent writes in a first reply; return whether its first group is equal now."""
    assert exchange.groups
    first_group, site = exchange.groups[0], reply.site
    own_events = (event for event in reply.events if event.site == site)
    if not reply.digests or not log.merge(_shared_events(log, site, scope, own_events)):
        return False
    digests = _shared_digests(log, site, scope)
    exchange.groups = [g for g in exchange.groups if digests.get(g, 0) != reply.digests.get(g)]
    if 0 not in exchange.groups:
        exchange.fleet_digest = log.head_index.fleet_digest
    return first_group not in exchange.groups


def _final_request(exchange: Exchange, scope: Scope, request: Request) -> bytes:
    """Return the request that ends an exchange after both logs became equal."""
    request.promises, request.promise_range, request.finished = (
        exchange.own_promises,
        exchange.promise_range,
        True,
    )
    request.scope_version = (
        exchange.peer_scope_version if exchange.layouts_agree and exchange.scope_version == scope.turn else 0
    )
    request.write_round, request.fleet_digest = exchange.peer_write_round, exchange.fleet_digest
    # Write rounds and scope versions belong to this session
    request.received_upto = exchange.peer_promise_range.session, 0
    return _encode(request)


def _add_recent_writes(
    log: Log, peer: str, own_streams: OwnStreams, gaps: list[Gap], events: list[Event]
) -> None:
    """Add the local events written since a peer last had all of them; duplicates are harmless."""
    delivered, room_bytes = log.peer_state(peer).delivered, MAX_EVENTS_BYTES
    for stream, number in own_streams.numbers.items():
        after = delivered.get(stream, number)  # unknown: left to the comparison of heads
        if after < number and room_bytes > 0:
            room_bytes -= _add_events(log, stream, after, room_bytes, gaps, events)


def failed_streams_of(log: Log, peer: str) -> list[str]:
    """Return the streams that failed in the last exchange with a peer."""
    exchange = log.exchanges.get(peer)
    return (
        [f"{stream.channel} {stream.site}/{stream.life}" for stream in sorted(exchange.failed_streams)]
        if isinstance(exchange, Exchange)
        else []
    )


def _promises_for(log: Log, peer: str, include_relayed: bool) -> tuple[list[EncodedPromise], PromiseRange]:
    """Return the promises that a peer is not known to hold, including the local one."""
    acked_change = log.peer_state(peer).acked_change
    promises, covered = log.promises_to_send(acked_change, peer, include_relayed)
    return promises, PromiseRange(log.session, acked_change, covered)


def _received_upto(log: Log, peer: str) -> tuple[str, int]:
    peer_state = log.peer_state(peer)
    return peer_state.session, peer_state.received_change


def _record_peer_promises(log: Log, body: Request | Reply) -> None:
    """Record which local promises the peer holds; in a new session it holds none."""
    log.record_session(body.site, body.promise_range.session)
    session, change = body.received_upto
    log.peer_state(body.site).acked_change = change if session == log.session else 0


def _receive_promises(
    log: Log, peer: str, promises: list[EncodedPromise], promise_range: PromiseRange, scopes_agree: bool
) -> None:
    """Receive promises. If some before them are missing, the peer learns so and sends them again."""
    log.receive_encoded_promises(peer, promises, scopes_agree)
    peer_state = log.peer_state(peer)
    if promise_range.session != peer_state.session:
        peer_state.session, peer_state.received_change = promise_range.session, 0
    if promise_range.after <= peer_state.received_change < promise_range.upto:
        peer_state.received_change = promise_range.upto


def _store_requested(log: Log, exchange: Exchange, reply: Reply) -> None:
    """Store the wanted events of a reply, and record the streams of which none came."""
    requested = dict(exchange.requested)
    for gap in reply.gaps:
        if gap.stream in requested and gap.stream not in exchange.forks:
            _skip(log, gap)
    broken: set[Stream] = set()
    events_by_stream = {events[0].stream: events for events in _by_stream(reply.events)}
    unforked = (
        events
        for stream, events in events_by_stream.items()
        if stream in requested and stream not in exchange.forks
    )
    log.merge(chain.from_iterable(unforked), broken)
    progressed = False
    for stream, after in requested.items():
        if stream in exchange.forks:
            equal_upto = log.fork(events_by_stream.get(stream, []))
            if equal_upto > after:
                progressed = True
                exchange.forks[stream] = equal_upto
            if (
                equal_upto <= after
                or equal_upto < events_by_stream[stream][-1].number
                or equal_upto == _last_number(log, stream)
            ):
                # Resolved: the local branch stays and is sent, or the remote one continues normally
                del exchange.forks[stream]
                if equal_upto < _last_number(log, stream):
                    exchange.sent_after[stream] = -1 - equal_upto
        elif _last_number(log, stream) > after:
            progressed = True
        elif (
            stream in broken
            and stream not in exchange.compared_forks
            and (head := log.head(stream)) is not None
        ):
            exchange.forks[stream], progressed = head.floor, True
            exchange.compared_forks.add(stream)
    if requested and not progressed:
        exchange.failed_streams.update(requested)


def _compare_heads(log: Log, exchange: Exchange, scope: Scope, reply: Reply, request: Request) -> None:
    """Compare a page of remote heads; add wanted streams and events to send to the request."""
    remote_heads = {each.stream: each for each in reply.heads}
    assert exchange.groups
    local_streams = _shared_streams(log, exchange.peer, scope, exchange.groups[0], exchange.after, reply.last)
    room_bytes, want_room_bytes = MAX_EVENTS_BYTES, MAX_HEADS_BYTES
    for stream in [
        *local_streams,
        *(s for s in remote_heads if log.head(s) is None and _held_by_both(log, exchange.peer, scope, s)),
    ]:
        if stream in exchange.failed_streams or not (room_bytes > 0 or want_room_bytes > 0):
            continue
        remote, local_number = (
            remote_heads.get(stream) or RemoteHead(stream, 0, 0, b""),
            _last_number(log, stream),
        )
        # START if unknown, because retention removed the events before
        local_chain = _last_chain(log, stream)
        differs = (
            remote.number == local_number
            and START not in (local_chain, remote.chain)
            and local_chain != remote.chain
        )
        is_forked = stream in exchange.forks
        # Also differs if the peer did not store the events sent before
        differs |= remote.number < local_number and exchange.sent_after.get(stream) == remote.number
        if differs and not is_forked and stream not in exchange.compared_forks:
            head = log.head(stream)
            exchange.forks[stream], is_forked = head.floor if head else 0, True
            exchange.compared_forks.add(stream)
        if (sent_after := exchange.sent_after.get(stream, 0)) < 0:
            _add_events(log, stream, -1 - sent_after, 1, [], request.forked_events)
            exchange.failed_streams.add(stream)
        elif is_forked or remote.number > local_number:
            if want_room_bytes > 0:
                request.wanted_streams.append((stream, exchange.forks[stream] if is_forked else local_number))
                want_room_bytes -= ITEM_OVERHEAD_BYTES + sum(map(len, stream))
        elif remote.number < local_number:
            if differs:
                exchange.failed_streams.add(stream)
            elif room_bytes > 0:
                exchange.sent_after[stream] = remote.number
                room_bytes -= _add_events(
                    log, stream, remote.number, room_bytes, request.gaps, request.events
                )
        elif differs:
            exchange.failed_streams.add(stream)


def _add_events(
    log: Log, stream: Stream, after: int, room_bytes: int, gaps: list[Gap], events: list[Event]
) -> int:
    """Add events of a stream after a number, at least one, up to `room_bytes`; return the bytes used."""
    head = log.head(stream)
    if head is None:
        return ITEM_OVERHEAD_BYTES
    if after < head.floor:
        gaps.append(Gap(stream, after + 1, head.floor, f"{log.site} keeps them no more"))
        after = head.floor
    used_bytes = ITEM_OVERHEAD_BYTES + sum(map(len, stream))
    while after < head.number and (page := log.after(stream, after, READ_PIECE_BYTES)):
        for event in page:
            used_bytes += ITEM_OVERHEAD_BYTES + sum(map(len, stream)) + len(event.kind) + len(event.data)
            if used_bytes > room_bytes and events:
                return used_bytes
            events.append(event)
        after = page[-1].number
    return used_bytes


def _skip(log: Log, gap: Gap) -> None:
    if gap.first <= _last_number(log, gap.stream) + 1:
        log.skip(gap)


def _last_number(log: Log, stream: Stream) -> int:
    head = log.head(stream)
    return head.number if head is not None else 0


def _last_chain(log: Log, stream: Stream) -> bytes:
    head = log.head(stream)
    return head.chain if head is not None else b""


def _by_stream(events: Iterable[Event]) -> Iterator[list[Event]]:
    for _, run in groupby(events, lambda event: (event.channel, event.site, event.life)):
        yield list(run)


def _held_by_both(log: Log, peer: str, scope: Scope, stream: Stream) -> bool:
    """Whether both sites hold a stream, because they keep it or wrote it."""
    channel, origin = stream.channel, stream.site
    return channel == FLEET or (
        (origin == peer or scope.wants(peer, channel, origin))
        and (origin == log.site or scope.wants(log.site, channel, origin))
    )


def _shared_events(log: Log, peer: str, scope: Scope, events: Iterable[Event]) -> Iterator[Event]:
    """Yield the events of streams that both sites hold."""
    for run in _by_stream(events):
        if _held_by_both(log, peer, scope, run[0].stream):
            yield from run


def _shared_digests(log: Log, peer: str, scope: Scope) -> dict[int, int]:
    log.follow(scope)
    return log.head_index.shared_digests(peer)


def _shared_streams(
    log: Log, peer: str, scope: Scope, group: int, after: Stream | None, last: Stream | None = None
) -> list[Stream]:
    """Return the streams of a group that both sites hold, in order, after one and up to another."""
    log.follow(scope)
    return sorted(
        stream
        for stream in log.head_index.group(group)
        if (after is None or stream > after)
        and (last is None or stream <= last)
        and _held_by_both(log, peer, scope, stream)
    )


def _page_of_heads(
    log: Log, peer: str, scope: Scope, group: int, after: Stream | None
) -> tuple[list[RemoteHead], Stream | None]:
    page: list[RemoteHead] = []
    room_bytes = MAX_HEADS_BYTES
    for stream in _shared_streams(log, peer, scope, group, after):
        if room_bytes <= 0:
            return page, page[-1].stream
        room_bytes -= ITEM_OVERHEAD_BYTES + sum(map(len, stream))
        head = log.head(stream)
        assert head is not None
        page.append(RemoteHead(stream, head.floor, head.number, head.chain))
    return page, None


def _encode(body: Request | Reply) -> bytes:
    return msgspec.msgpack.encode(body)


Body = TypeVar("Body", Request, Reply)


def _decode(body: bytes, body_type: type[Body]) -> Body:
    if len(body) > MAX_BODY_BYTES:
        raise SyncError(f"a body of {len(body)} bytes: the most is {MAX_BODY_BYTES}")
    try:
        decoded = msgspec.msgpack.decode(body, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SyncError(f"a body that is none of an exchange: {error}") from None
    if decoded.version != VERSION:
        raise SyncError(f"a body of version {decoded.version}: ours is {VERSION}")
    return decoded


# Interval of exchanges with one neighbour: the first value, or the second one times the number of neighbours
# if that is longer.
EXCHANGE_INTERVAL_US, INTERVAL_PER_NEIGHBOUR_US = 4_000_000, 1_000_000
MIN_NEWS_DELAY_US, MAX_NEWS_DELAY_US = 50_000, 300_000  # bounds of the delay before new FLEET events are sent
OWED_DELAY_US = 2_000_000  # delay before local writes are sent, so that more are sent together
ASK_INTERVAL_US = 250_000  # average time between two exchanges that ask for events or promises
MIN_ASK_AGAIN_US = 5_000_000  # minimum time before the same site is asked again
MIN_BACKOFF_US, MAX_BACKOFF_US = (
    1_000_000,
    60_000_000,
)  # first and longest exponential back-off after failures
MAX_EXCHANGES_COUNT = 4  # concurrent exchanges
FAILURE_LIMIT_COUNT = 3  # consecutive failures after which the next site on the ring is a neighbour too


class ExchangeNeeds(NamedTuple):
    """The reasons for exchanges with other sites."""

    news: Collection[str] = ()  # sites that are not known to have the local FLEET events
    owed: Collection[str] = ()  # sites that are owed local writes
    ask: Collection[str] = ()  # sites whose promise or events are missing here
    # Steady clock at the end of the last complete exchange, whichever site started it
    completed_us: Mapping[str, int] = {}


class Meetings:
    """Decides with which site an exchange starts, and when. Times are microseconds of the steady clock.

    FLEET is exchanged with neighbours on a ring ordered by the digests of site names, at distances 1, 2, 4,
    ... These are about log2(n) sites, and an event reaches all sites after about log2(n) exchanges. Exchanges
    with neighbours are rare, but start soon if a neighbour lacks new events. A neighbour that fails is still
    retried, and the next site on the ring is used as well. Exchanges with other sites start when they are
    owed events, or to ask them; asking is limited to a fixed rate, whatever the number of sites.
    """

    def __init__(self, site: str, sites: Sequence[str], seed: int) -> None:
        """Create a scheduler; `sites` are the configured sites, with or without this one."""
        self._site, self._random = site, random.Random(f"{seed} {site}")
        ring = sorted({*sites, site}, key=lambda name: (blake3(name.encode()).digest(), name))
        start = ring.index(site)
        self._ring = ring[start + 1 :] + ring[:start]
        self._failures = dict.fromkeys(self._ring, 0)
        self._planned: dict[tuple[str, str], int] = {}  # by reason and site: when to start
        self._last_ask_us = 0  # time of the last planned exchange that asks
        self._busy: set[str] = set()
        self._next: dict[str, int] = {}  # next regular exchange with each neighbour
        self._not_before: dict[str, int] = {}  # earliest next start, after a failure or a retry-after wait
        self._completed_us: dict[str, int] = {}
        self._neighbours = self._choose_neighbours()

    def _choose_neighbours(self) -> list[str]:
        found: dict[str, None] = {}
        distance = 1
        while distance <= len(self._ring):
            for name in self._ring[distance - 1 :]:
                found[name] = None
                if self._failures[name] < FAILURE_LIMIT_COUNT:
                    break
            distance *= 2
        return list(found)

    def needs(self, now_us: int, needs: ExchangeNeeds) -> None:
        """Plan exchanges beside the regular ones; those already planned keep their time."""
        planned, self._planned = self._planned, {}
        neighbours = set(self._neighbours)
        for reason, sites in (
            ("news", neighbours.intersection(needs.news)),
            ("owed", needs.owed),
            ("ask", needs.ask),
        ):
            for site in sorted(sites):
                if site in self._failures:
                    self._planned[reason, site] = planned.get((reason, site)) or self._plan(
                        reason, site, now_us
                    )
        for site in self._neighbours:
            if (completed_us := needs.completed_us.get(site, 0)) > self._completed_us.get(site, 0):
                self._completed_us[site] = completed_us
                self._next[site] = completed_us + self._jittered(self._interval_us())

    def _plan(self, reason: str, site: str, now_us: int) -> int:
        if reason == "news":
            return now_us + self._random.randrange(MIN_NEWS_DELAY_US, MAX_NEWS_DELAY_US)
        if reason == "owed":
            return now_us + self._jittered(OWED_DELAY_US)
        self._last_ask_us = max(self._last_ask_us, now_us) + self._random.randrange(2 * ASK_INTERVAL_US)
        completed_us = self._completed_us.get(site)
        return (
            self._last_ask_us
            if completed_us is None
            else max(self._last_ask_us, completed_us + self._jittered(MIN_ASK_AGAIN_US))
        )

    def due(self, now_us: int) -> list[str]:
        """Return the sites to start an exchange with now, longest due first, within the concurrency limit."""
        due = sorted((at, name) for name, at in self._times(now_us).items() if at <= now_us)
        return [name for _, name in due][: max(MAX_EXCHANGES_COUNT - len(self._busy), 0)]

    def next_at(self, now_us: int = 0) -> int | None:
        """Return when the next site is due, or None if an exchange must end first."""
        times = self._times(now_us)
        return min(times.values()) if times and len(self._busy) < MAX_EXCHANGES_COUNT else None

    def _times(self, now_us: int) -> dict[str, int]:
        times: dict[str, int] = {}
        for name in self._neighbours:
            if name not in self._next:  # spread the first exchanges over the interval
                self._next[name] = now_us + self._random.randrange(self._interval_us())
            times[name] = self._next[name]
        for (_, name), at in self._planned.items():
            times[name] = min(times.get(name, at), at)
        return {n: max(at, self._not_before.get(n, 0)) for n, at in times.items() if n not in self._busy}

    def _interval_us(self) -> int:
        return max(EXCHANGE_INTERVAL_US, INTERVAL_PER_NEIGHBOUR_US * len(self._neighbours))

    def began(self, site: str, now_us: int, wait_us: int = 0) -> None:
        """Record that an exchange with a site has started."""
        self._busy.add(site)
        for reason in ("news", "owed", "ask"):
            self._planned.pop((reason, site), None)

    def ended(self, site: str, now_us: int, wait_us: int = 0) -> None:
        """Record a successful exchange; `wait_us` is a retry-after wait of the site."""
        self._completed_us[site] = now_us
        self._finish(site, now_us, now_us + wait_us, now_us + self._jittered(self._interval_us()), 0)

    def failed(self, site: str, now_us: int, wait_us: int = 0) -> None:
        """Record an exchange that failed or in which the peer broke the protocol; the back-off grows."""
        failures = self._failures.get(site, 0) + 1
        retry_us = now_us + max(
            wait_us, self._jittered(min(MIN_BACKOFF_US << min(failures, 10), MAX_BACKOFF_US))
        )
        self._finish(site, now_us, retry_us, retry_us, failures)

    def _finish(self, site: str, now_us: int, not_before_us: int, next_us: int, failures: int) -> None:
        self._busy.discard(site)
        if site in self._failures:
            self._not_before[site], self._next[site] = not_before_us, next_us
            if (self._failures[site] < FAILURE_LIMIT_COUNT) != (failures < FAILURE_LIMIT_COUNT):
                self._failures[site] = failures
                self._neighbours = self._choose_neighbours()
            self._failures[site] = failures

    def _jittered(self, pause_us: int) -> int:
        return int(pause_us * self._random.uniform(0.75, 1.25))
