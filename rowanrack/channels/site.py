"""A site's log together with the state derived from it: detaches, layouts, and the needed exchanges.

It runs on the log thread. New events of the channel `fleet` are collected for the event loop, which derives
its own detaches and layouts from them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import suppress

import msgspec

from rowanrack.channels import reads, sync
from rowanrack.channels.bans import Detaches
from rowanrack.channels.events import ATTACHED, DETACHED, FLEET, KEPT, Event, packed
from rowanrack.channels.layout import Layouts, Move
from rowanrack.channels.log import Log, Noted
from rowanrack.channels.ports import LogStore, Time

MAX_TIME_US = 1 << 62
SYNC, READ = b"S", b"R"  # first byte of a call between sites: a body of an exchange, or a part of a read
ASK_AFTER_US = 10_000_000  # a site is asked after so long without a counted promise or a complete exchange
HASHES_COUNT = 1_600  # computed per call of `needs` in preparation for the next layout: 2 to 4 ms
# Retention shrinks the log to this part of the disk limit, to leave room for new events
RETENTION_DISK_SHARE = 0.8


class Fleet:
    """The state derived from the events of `fleet`: layouts and detached endpoints."""

    def __init__(self, members: Sequence[str]) -> None:
        self.layouts, self.detaches = Layouts(members), Detaches()
        self.named: set[str] = set()  # endpoints that were ever detached or attached

    def saw(self, event: Event) -> None:
        """Apply an event. One with an unreadable payload has no effect, but stays in the log."""
        if event.channel != FLEET:
            return
        self.layouts.saw(event)
        if event.kind in (DETACHED, ATTACHED):
            with suppress(ValueError, msgspec.MsgspecError):
                self.detaches.saw(event)
                self.named.add(str(event.payload()["endpoint"]))


class Site:
    """The operations of a site on its log. Times are Unix microseconds."""

    def __init__(
        self,
        store: LogStore,
        time: Time,
        name: str,
        others: Sequence[str],
        report: Callable[[str], None],
        keep_us: int,
        most_bytes: int,
    ) -> None:
        self.name, self._time, self._store = name, time, store
        members = [name, *others]
        retained_bytes = int(most_bytes * RETENTION_DISK_SHARE)
        self.log = Log(
            store,
            time,
            name,
            members,
            report,
            retention_us=keep_us,
            max_bytes=retained_bytes,
            on_events=self._on_events,
        )
        self.fleet = Fleet(members)
        self._new_events: list[Event] = []
        self._is_complete, self._rewritten = False, 0
        self._moves_version, self._pending_moves = 0, list[Move]()
        # By site: the moves that the running exchange counts for
        self._exchange_moves: dict[str, list[Move]] = {}
        # Sites with a complete exchange since the move was announced
        self._exchanged_with: dict[Move, set[str]] = {}

    @property
    def layouts(self) -> Layouts:
        """The layouts known here."""
        return self.fleet.layouts

    def _update_layouts(self) -> None:
        self.layouts.passed(self._time.unix_us())
        self.log.scope = self.layouts

    def open(self) -> None:
        """Open the log and apply the stored events of `fleet`. Raises LogError."""
        self.log.open()
        self._on_events(self.log.read(FLEET, None, MAX_TIME_US, MAX_TIME_US))
        self._update_layouts()
        self.log.follow(self.layouts)  # determine the holders from the stored events before new ones arrive

    def close(self) -> None:
        """Close the store."""
        self._store.close()

    def news(self) -> tuple[bool, list[Event]]:
        """Return the new events of `fleet` since the last call; with True, all events. Raises LogError."""
        if self.log.rewritten != self._rewritten:  # a fork renamed events
            now = self.log.rewritten
            events = self.log.read(FLEET, None, MAX_TIME_US, MAX_TIME_US)
            self._rewritten, self._is_complete, self._new_events = now, True, []
            self.fleet = Fleet(self.log.members)
            self._on_events(events)
        is_complete, new_events, self._is_complete, self._new_events = (
            self._is_complete,
            self._new_events,
            False,
            [],
        )
        return is_complete, new_events

    def _on_events(self, events: Sequence[Event]) -> None:
        for event in events:
            if event.channel == FLEET:
                self.fleet.saw(event)
                self._new_events.append(event)

    def write(self, noted: Sequence[Noted]) -> list[Event]:
        """Write local events. Raises LogError."""
        return self.log.write(noted)

    def needs(self) -> sync.ExchangeNeeds:
        """Return the reasons for exchanges beside the regular ones with neighbours.

        Sites that keep local events are owed them. A site that keeps channels occasionally asks the others
        that keep them, as one may have received events that the rest did not. It also asks each sender
        without a counted promise for some time. A site that takes over a shard asks the previous keepers.
        """
        self._update_layouts()
        self.layouts.prepare(HASHES_COUNT)
        log, now = self.log, self._time.now_us()
        log.assign_write_round()
        peer_states = {site: log.peer_state(site) for site in log.members if site != self.name}
        fleet = log.head_index.fleet_digest
        ask: set[str] = set()
        holder_sets = [holders for holders in log.head_index.holder_sets() if self.name in holders]
        if holder_sets:
            late_us = now - ASK_AFTER_US
            ask = log.sites_to_ask(late_us)
            ask |= {
                site
                for site in frozenset[str]().union(*holder_sets) & peer_states.keys()
                if peer_states[site].completed_us < late_us
            }
        for move in self._moves():
            exchanged = self._exchanged_with.get(move, {self.name})
            ask.update(*(sources for sources in self.layouts.sources(move) if not exchanged & sources))
        return sync.ExchangeNeeds(
            [site for site, state in peer_states.items() if state.fleet_digest != fleet],
            [site for site, state in peer_states.items() if state.last_write_round > state.acked_write_round],
            ask - {self.name},
            {site: state.completed_us for site, state in peer_states.items()},
        )

    def _moves(self) -> list[Move]:
        if self._moves_version != self.layouts.turn:
            self._moves_version, self._pending_moves = self.layouts.turn, self.layouts.moves(self.name)
        return self._pending_moves

    # Exchanges, and reads by other sites.

    def offer(self, peer: str) -> bytes:
        """Start an exchange with a peer and return its first request."""
        self._update_layouts()
        self._confirm_moves()
        self._exchange_moves[peer] = self._moves()
        return SYNC + sync.begin_exchange(self.log, peer, self.layouts)

    def take(self, peer: str, answer: bytes) -> bytes | None:
        """Process a reply; return the next request, or None at the end. Raises ValueError, LogError."""
        request = sync.process_reply(self.log, answer, self.layouts)
        if request is not None:
            return SYNC + request
        if failed := sync.failed_streams_of(self.log, peer):
            raise ValueError(
                f"peer violates the protocol: it sent invalid events or refused valid ones of {failed[0]}"
            )
        for move in self._exchange_moves.pop(peer, ()):
            self._exchanged_with.setdefault(move, {self.name}).add(peer)
        self._confirm_moves()
        return None

    def _confirm_moves(self) -> None:
        """Announce the shards that are complete here, so that their previous keepers may drop them."""
        confirmations: list[Noted] = []
        for move in self._moves():
            exchanged = self._exchanged_with.get(move, {self.name})
            if all(exchanged & sources for sources in self.layouts.sources(move)):
                confirmations.append(Noted(FLEET, KEPT, packed(move.payload()), self._time.unix_us()))
                self._exchanged_with.pop(move, None)
        if confirmations:
            self.write(confirmations)

    def answer(self, body: bytes) -> bytes:
        """Return the reply to another site's call. Raises ValueError if it is malformed, LogError."""
        call_type, content = body[:1], body[1:]
        self._update_layouts()
        if call_type == SYNC:
            return sync.answer_request(self.log, content, self.layouts)
        if call_type == READ:
            try:
                return self.give(msgspec.msgpack.decode(content, type=reads.PartAsked))
            except msgspec.MsgspecError as error:
                raise ValueError(f"no read: {error}") from None
        raise ValueError("no call that is known here")

    def give(self, asked: reads.PartAsked) -> bytes:
        """Return this site's part of a read."""
        self._update_layouts()
        return msgspec.msgpack.encode(reads.give(self.log, self.layouts, asked))

    def tidy(self) -> int:
        """Drop channels that only other sites keep now, and apply retention; returns its number of events."""
        self._update_layouts()
        for channel in {head.stream.channel for head in self.log.heads()}:
            if self.layouts.may_drop(self.name, channel):
                self.log.drop(channel)
        return self.log.tidy(self._time.unix_us())
