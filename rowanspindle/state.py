"""What a forwarder keeps: its messages, calls and endpoints, and what is due. Nothing here decides."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Sized
from random import Random
from typing import Generic, Protocol, TypeVar

from rowanspindle.api import Action, Outage, Settings
from rowanspindle.asking import Asking
from rowanspindle.hearsay import Hearsay
from rowanspindle.held import GUESS, MEMORY_S, NEVER, KeyLine, Message, Place
from rowanspindle.notes import digest
from rowanspindle.order import Agenda, Bucket, Meter, Ranking, Usual
from rowanspindle.trust import Trust


class Shared(Protocol):
    """What endpoints share, as far as it is kept here."""

    routes: int
    opens_at: int


class Kept(Hashable, Protocol):
    """An endpoint, as far as it is kept here."""

    target: str
    dest: int
    listed: bool
    failed_at: int

    @property
    def gate(self) -> Shared:
        """What it shares with others of its destination."""

    @property
    def calls(self) -> Sized:
        """Its calls that are out."""

    def recovers(self, now: int) -> bool:
        """Whether it is out or cold."""

    def known(self, target: str) -> Outage:
        """What is known of its outage."""


E = TypeVar("E", bound=Kept)
G = TypeVar("G")

SECOND = 1_000_000  # microseconds
QUOTA_BURST_S = 2.0  # seconds of a tenant's quota that it may hand in at once


class Call(Generic[E]):
    """One call on the wire: one or more messages of one reply to one endpoint, with one fate."""

    def __init__(self, endpoint: E, now: int, new: bool) -> None:
        self.endpoint, self.sent_at = endpoint, now
        self.judged = self.called_off = False
        self.idle_us = 0  # for how long the connection that it may have used was idle
        self.new = new  # it needs a connection of its own
        self.open: dict[tuple[int, int], Message] = {}


class State(Generic[E, G]):
    """All that a forwarder knows, as it stands."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.starts = Random(f"{seed} starts")  # for what many senders would else begin together
        self.now, self.actions = 0, list[Action]()
        self.messages: dict[int, Message] = {}
        self.attempts: dict[tuple[int, int], tuple[Call[E], Message]] = {}
        self.destinations: defaultdict[int, Place[E, G]] = defaultdict(Place)
        self.endpoints: dict[str, E] = {}
        self.digests: dict[int, E] = {}  # by what notes call them
        self.keys: dict[str, KeyLine] = {}
        self.calls: dict[Call[E], None] = {}
        self.trials: dict[Call[E], None] = {}  # those of them to endpoints in an outage
        self.waiting: dict[int, Place[E, G]] = {}
        self.stirred: dict[int, None] = {}  # destinations where something happened since they were looked at,
        self.unweighed: dict[int, None] = {}  # and since it was weighed what they could spare
        self.ready: Ranking[int] = Ranking()  # destinations with a choice, the most urgent first
        self.spare: Ranking[int] = Ranking()  # while the hold is nearly full: the least valuable first
        self.opens: Agenda[int] = Agenda()  # when a destination without a choice may have one
        self.ends: Agenda[int] = Agenda()  # when a message is out of time, or may not go again
        self.silences: Agenda[E] = Agenda()
        self.lapses: Agenda[Call[E]] = Agenda()  # when a call has been out for longer than the silence,
        self.lapsed: dict[Call[E], None] = {}  # and those that have
        self.rests: Agenda[str] = Agenda()  # when a key has rested
        self.leaving: Agenda[E] = Agenda()  # when an unlisted endpoint may be forgotten
        self.unlisted: dict[str, E] = {}
        self.recovering: dict[E, None] = {}  # that are out or cold, or were
        self.recalled: dict[str, tuple[Outage, int]] = {}  # of those not listed now; until when believed
        self.moved: set[int] = set()  # destinations whose list has changed in this round
        self.answered: dict[E, None] = {}
        self.zones: dict[str, Usual] = {}  # how long answers of each take, and
        self.refusals: dict[str, Usual] = {}  # refusals
        self.own = Meter(NEVER, MEMORY_S, GUESS)
        self.trust = Trust(settings)
        self.quota = {n: Bucket(r * QUOTA_BURST_S / settings.replicas) for n, r in settings.tenants.items()}
        self.token, self.armed_for = 0, NEVER
        self.asking, self.hearsay = Asking(settings), Hearsay(settings, Random(f"{seed} tells").random())

    def stir(self, number: int) -> None:
        """Something happened at a destination: what was picked or weighed there stands no more."""
        if (kept := self.destinations.get(number)) is not None:
            self.hearsay.holds(number, len(kept.hold), kept.hold.since)
        if number in self.waiting:
            self.stirred[number] = None
            if self.spare or self.unweighed:
                self.unweighed[number] = None

    def line_up(self, key: str) -> None:
        """Something happened to a key: its first message may have come to its turn, or lost it."""
        if (line := self.keys.get(key)) is None:
            return
        if line.waiting:
            first = line.waiting[0]
            if self.destinations[first.dest].hold.move(first, first.sort_of(line.in_turn(first, self.now))):
                self.stir(first.dest)
        if not line.waiting and not line.out and self.now >= line.rest_until:
            del self.keys[key]

    def usual_rate(self) -> float:
        """The first guess at own calls a second to a destination that is not known yet."""
        slots_busy = self.settings.slots / min(c.aim_us for c in self.settings.classes.values()) * SECOND
        return self.own.rate(self.now, slots_busy) / max(1, len(self.destinations))

    def tidy_destination(self, number: int) -> None:
        """Forget a destination with no endpoint and nothing held."""
        if (kept := self.destinations.get(number)) and not kept.endpoints and not kept.hold:
            del self.destinations[number]

    def tenant_share(self, tenant: str | None) -> float:
        """Full worth within the tenant's share, little beyond it, as the settings say."""
        if tenant is None or (bucket := self.quota.get(tenant)) is None:
            return 1.0  # no shares here
        rate = self.settings.tenants[tenant] / self.settings.replicas
        within = bucket.next_at(self.now, rate, max(1.0, rate * QUOTA_BURST_S)) <= self.now
        bucket.tokens -= within
        return 1.0 if within else self.settings.over_share_worth

    def unlist(self, endpoint: E) -> None:
        """Send nothing new there. It is forgotten later: listed again, it keeps its told wait."""
        if endpoint.listed:
            endpoint.listed = False
            self.stir(endpoint.dest)
            self.moved.add(endpoint.dest)
            self.unlisted[endpoint.target] = endpoint
            endpoint.gate.routes -= 1
            self.leaving.set(endpoint, self.now)

    def forget(self) -> None:
        """Drop what is unlisted with nothing out or to remember, and destinations that stand empty."""
        for endpoint in self.leaving.due(self.now):
            kept_until = max(endpoint.gate.opens_at, endpoint.failed_at + self.settings.ramp_us)
            if endpoint.listed or endpoint.calls or self.unlisted.get(endpoint.target) is not endpoint:
                continue  # listed again, or its last call's end looks here again
            if self.now >= kept_until:
                if endpoint.recovers(self.now):
                    self.believe_outages((endpoint.known(endpoint.target),))
                self.drop(endpoint)
            else:
                self.leaving.set(endpoint, kept_until)

    def believe_outages(self, outages: tuple[Outage, ...]) -> None:
        """Believe for the time of a slow start what is known of endpoints that are not listed now."""
        believed = {target: known for target, known in self.recalled.items() if self.now < known[1]}
        until = self.now + self.settings.ramp_us
        self.recalled = believed | {outage.target: (outage, until) for outage in outages}

    def drop(self, endpoint: E) -> None:
        """Forget an endpoint that was unlisted."""
        del self.endpoints[endpoint.target], self.unlisted[endpoint.target]
        self.digests.pop(digest(endpoint.target), None)
        self.leaving.drop(endpoint)
        del self.destinations[endpoint.dest].endpoints[endpoint.target]
        self.tidy_destination(endpoint.dest)

    def release(self, message: Message) -> None:
        """Hold a message no longer."""
        destination = self.waiting[message.dest]
        destination.hold.remove(message)
        self.stir(message.dest)
        if not destination.hold:
            del self.waiting[message.dest]

    def end(self, message: Message) -> None:
        """The message has had its final answer."""
        if self.messages.pop(message.ref, None) is None:
            return
        self.ends.drop(message.ref)
        if message.sort is not None:
            self.release(message)
        self.tidy_destination(message.dest)
        if message.key is not None:
            self.keys[message.key].waiting.remove(message)
            self.line_up(message.key)
