"""One site's log with all that is read out of it: detaches, layouts, and what it owes other sites.

It runs on the log's thread. Events of `fleet` that are new here are gathered for the loop's side, which keeps
its own detaches and layouts by them.
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

FOREVER_US = 1 << 62
SYNC, READ = b"S", b"R"  # the first byte of a call between sites: an exchange, or a part of a read
ASK_BEHIND_US = 10_000_000  # who could not be counted, or was not met, for so long is asked
HASHES = 1_600  # that a look makes ahead of the next layout: 2 to 4 ms
TIDY_PART = 0.8  # of the room on disk, to which retention goes back: what is written meanwhile fits


class Fleet:
    """What the events of `fleet` come to: layouts, and which endpoints are detached."""

    def __init__(self, members: Sequence[str]) -> None:
        self.layouts, self.detaches = Layouts(members), Detaches()
        self.named: set[str] = set()  # endpoints that were ever detached or attached

    def saw(self, event: Event) -> None:
        """Take an event in; one that cannot be read counts for nothing, and is kept all the same."""
        if event.channel != FLEET:
            return
        self.layouts.saw(event)
        if event.kind in (DETACHED, ATTACHED):
            with suppress(ValueError, msgspec.MsgspecError):
                self.detaches.saw(event)
                self.named.add(str(event.payload()["endpoint"]))


class Site:
    """A site's side of everything that its log takes part in. Times are Unix microseconds."""

    def __init__(
        self,
        store: LogStore,
        time: Time,
        name: str,
        others: Sequence[str],
        say: Callable[[str], None],
        keep_us: int,
        most_bytes: int,
    ) -> None:
        self.name, self._time, self._store = name, time, store
        members = [name, *others]
        room = int(most_bytes * TIDY_PART)
        self.log = Log(store, time, name, members, say, keep_us=keep_us, most_bytes=room, saw=self._saw)
        self.fleet = Fleet(members)
        self._news: list[Event] = []
        self._anew, self._rewritten = False, 0
        self._moves_as_of, self._to_move = 0, list[Move]()
        self._asked: dict[str, list[Move]] = {}  # by site: what its exchange, under way, counts for
        self._met: dict[Move, set[str]] = {}  # the sites met whole since a shard was to come here

    @property
    def layouts(self) -> Layouts:
        """Who keeps what, as known here."""
        return self.fleet.layouts

    def _pass(self) -> None:
        self.layouts.passed(self._time.unix_us())
        self.log.scope = self.layouts

    def open(self) -> None:
        """Open the log and take in what it holds of the fleet. Raises LogError."""
        self.log.open()
        self._saw(self.log.read(FLEET, None, FOREVER_US, FOREVER_US))
        self._pass()
        self.log.follow(self.layouts)  # what is kept is known by what was on disk, before more comes

    def close(self) -> None:
        """Let go of the store."""
        self._store.close()

    def news(self) -> tuple[bool, list[Event]]:
        """Events of `fleet` new here since the last question, or all of them anew (True). Raises LogError."""
        if self.log.rewritten != self._rewritten:  # events got other names: two wrote under one
            now = self.log.rewritten
            events = self.log.read(FLEET, None, FOREVER_US, FOREVER_US)
            self._rewritten, self._anew, self._news = now, True, []
            self.fleet = Fleet(self.log.members)
            self._saw(events)
        anew, news, self._anew, self._news = self._anew, self._news, False, []
        return anew, news

    def _saw(self, events: Sequence[Event]) -> None:
        for event in events:
            if event.channel == FLEET:
                self.fleet.saw(event)
                self._news.append(event)

    def write(self, noted: Sequence[Noted]) -> list[Event]:
        """Write what happened here. Raises LogError."""
        return self.log.write(noted)

    def needs(self) -> sync.Needs:
        """Whom to meet, and why, beside neighbours by turns.

        Who is to have what was written here is owed it. Who holds something here beside others asks them
        seldom, in case one got what no other did, and each sender whose promise it has not been able to count
        for a while; who is to take over a shard asks those that had it.
        """
        self._pass()
        self.layouts.prepare(HASHES)
        log, now = self.log, self._time.now_us()
        log.owing()
        pairs = {site: log.pair(site) for site in log.members if site != self.name}
        fleet = log.tracked.fleet
        ask: set[str] = set()
        held = [holders for holders in log.tracked.held() if self.name in holders]
        if held:
            late = now - ASK_BEHIND_US
            ask = log.unheard(late)
            ask |= {s for s in frozenset[str]().union(*held) & pairs.keys() if pairs[s].whole_us < late}
        for move in self._moves():
            met = self._met.get(move, {self.name})
            ask.update(*(sources for sources in self.layouts.sources(move) if not met & sources))
        return sync.Needs(
            [site for site, pair in pairs.items() if pair.fleet != fleet],
            [site for site, pair in pairs.items() if pair.wrote > pair.paid],
            ask - {self.name},
            {site: pair.whole_us for site, pair in pairs.items()},
        )

    def _moves(self) -> list[Move]:
        if self._moves_as_of != self.layouts.turn:
            self._moves_as_of, self._to_move = self.layouts.turn, self.layouts.moves(self.name)
        return self._to_move

    # Exchanges, and reads of others.

    def offer(self, peer: str) -> bytes:
        """Begin an exchange with a site: the request for it."""
        self._pass()
        self._confirm()
        self._asked[peer] = self._moves()
        return SYNC + sync.offer(self.log, peer, self.layouts)

    def take(self, peer: str, answer: bytes) -> bytes | None:
        """What a site answered; the next request, or None when both have all. Raises ValueError, LogError."""
        more = sync.take(self.log, answer, self.layouts)
        if more is not None:
            return SYNC + more
        if refused := sync.refused(self.log, peer):
            raise ValueError(f"it gave what does not follow, or did not take what does: {refused[0]}")
        for move in self._asked.pop(peer, ()):
            self._met.setdefault(move, {self.name}).add(peer)
        self._confirm()
        return None

    def _confirm(self) -> None:
        """Say which shards are whole here by now, so that those who kept them before may drop them."""
        whole: list[Noted] = []
        for move in self._moves():
            met = self._met.get(move, {self.name})
            if all(met & sources for sources in self.layouts.sources(move)):
                whole.append(Noted(FLEET, KEPT, packed(move.payload()), self._time.unix_us()))
                self._met.pop(move, None)
        if whole:
            self.write(whole)

    def answer(self, body: bytes) -> bytes:
        """The answer to another site's call. Raises ValueError for one that cannot be read, LogError."""
        what, rest = body[:1], body[1:]
        self._pass()
        if what == SYNC:
            return sync.answer(self.log, rest, self.layouts)
        if what == READ:
            try:
                return self.give(msgspec.msgpack.decode(rest, type=reads.PartAsked))
            except msgspec.MsgspecError as bad:
                raise ValueError(f"no read: {bad}") from None
        raise ValueError("no call that is known here")

    def give(self, asked: reads.PartAsked) -> bytes:
        """This site's part of a read."""
        self._pass()
        return msgspec.msgpack.encode(reads.give(self.log, self.layouts, asked))

    def tidy(self) -> int:
        """Retention; how many events went. What other sites are to keep by now goes as well."""
        self._pass()
        for channel in {head.stream.channel for head in self.log.heads()}:
            if self.layouts.may_drop(self.name, channel):
                self.log.drop(channel)
        return self.log.tidy(self._time.unix_us())
