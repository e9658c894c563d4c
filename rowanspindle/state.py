"""What a forwarder keeps: its messages, calls and endpoints, and what is due. Nothing here decides."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Sized
from random import Random
from typing import Generic, Protocol, TypeVar

from rowanspindle.api import Action, Outage, Settings
from rowanspindle.connection_reuse import ConnectionReuse
from rowanspindle.data_structures import DeadlineQueue, PriorityQueue, RateEstimator, RunningMean, TokenBucket
from rowanspindle.gossip import Gossip
from rowanspindle.held_messages import (
    INITIAL_RATE_WEIGHT,
    NEVER,
    RATE_MEMORY_S,
    DestinationState,
    KeyQueue,
    Message,
)
from rowanspindle.list_watch import ListWatch
from rowanspindle.notes import endpoint_digest


class TrackedLimit(Protocol):
    """What endpoints share, as far as it is kept here."""

    routes: int
    opens_at: int


class TrackedEndpoint(Hashable, Protocol):
    """An endpoint, as far as it is kept here."""

    target: str
    dest: int
    listed: bool
    failed_at: int

    @property
    def shared_limit(self) -> TrackedLimit:
        """What it shares with others of its destination."""

    @property
    def calls(self) -> Sized:
        """Its calls that are out."""

    def is_recovering(self, now: int) -> bool:
        """Whether it is out or cold."""

    def to_outage(self, target: str) -> Outage:
        """What is known of its outage."""


E = TypeVar("E", bound=TrackedEndpoint)
G = TypeVar("G")

SECOND_US = 1_000_000
QUOTA_BURST_S = 2.0  # seconds of a tenant's quota that it may hand in at once


class Call(Generic[E]):
    """One call on the wire: one or more messages of one reply to one endpoint, with one fate."""

    def __init__(self, endpoint: E, now: int, new: bool) -> None:
        self.endpoint, self.sent_at = endpoint, now
        self.learned_from = self.cancelled = False
        self.idle_us = 0  # for how long the connection that it may have used was idle
        self.new_connection = new  # it needs a connection of its own
        self.open_attempts: dict[tuple[int, int], Message] = {}


class ForwarderState(Generic[E, G]):
    """All that a forwarder knows, as it stands."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.startup_rng = Random(f"{seed} starts")  # for what many senders would else begin together
        self.now, self.actions = 0, list[Action]()
        self.messages: dict[int, Message] = {}
        self.attempts: dict[tuple[int, int], tuple[Call[E], Message]] = {}
        self.destinations: defaultdict[int, DestinationState[E, G]] = defaultdict(DestinationState)
        self.endpoints: dict[str, E] = {}
        self.endpoints_by_digest: dict[int, E] = {}  # by what notes call them
        self.keys: dict[str, KeyQueue] = {}
        self.calls: dict[Call[E], None] = {}
        self.trial_calls: dict[Call[E], None] = {}  # those of them to endpoints in an outage
        self.waiting: dict[int, DestinationState[E, G]] = {}
        self.changed: dict[int, None] = {}  # destinations where something happened since they were looked at,
        self.changed_shed_candidates: dict[int, None] = {}  # and since it was weighed what they could spare
        self.ready: PriorityQueue[int] = PriorityQueue()  # destinations with a choice, the most urgent first
        self.shed_candidates: PriorityQueue[int] = (
            PriorityQueue()
        )  # while the hold is nearly full: the least valuable first
        self.openings: DeadlineQueue[int] = (
            DeadlineQueue()
        )  # when a destination without a choice may have one
        self.expiries: DeadlineQueue[int] = (
            DeadlineQueue()
        )  # when a message is out of time, or may not go again
        self.silence_checks: DeadlineQueue[E] = DeadlineQueue()
        self.overdue_at: DeadlineQueue[Call[E]] = (
            DeadlineQueue()
        )  # when a call has been out for longer than the silence,
        self.overdue: dict[Call[E], None] = {}  # and those that have
        self.key_rests: DeadlineQueue[str] = DeadlineQueue()  # when a key has rested
        self.removals: DeadlineQueue[E] = DeadlineQueue()  # when an unlisted endpoint may be forgotten
        self.unlisted: dict[str, E] = {}
        self.recovering: dict[E, None] = {}  # that are out or cold, or were
        self.known_outages: dict[str, tuple[Outage, int]] = {}  # of those not listed now; until when believed
        self.changed_lists: set[int] = set()  # destinations whose list has changed in this round
        self.recently_answered: dict[E, None] = {}
        self.zone_latency: dict[str, RunningMean] = {}  # how long answers of each take, and
        self.refusal_latency: dict[str, RunningMean] = {}  # refusals
        self.own_rate = RateEstimator(NEVER, RATE_MEMORY_S, INITIAL_RATE_WEIGHT)
        self.connection_reuse = ConnectionReuse(settings)
        self.quota = {
            n: TokenBucket(r * QUOTA_BURST_S / settings.replicas) for n, r in settings.tenants.items()
        }
        self.token, self.armed_at = 0, NEVER
        self.list_watch, self.gossip = ListWatch(settings), Gossip(settings, Random(f"{seed} tells").random())

    def mark_changed(self, number: int) -> None:
        """Something happened at a destination: what was picked or weighed there stands no more."""
        if (kept := self.destinations.get(number)) is not None:
            self.gossip.update_held(number, len(kept.held), kept.held.since)
        if number in self.waiting:
            self.changed[number] = None
            if self.shed_candidates or self.changed_shed_candidates:
                self.changed_shed_candidates[number] = None

    def refresh_key(self, key: str) -> None:
        """Something happened to a key: its first message may have come to its turn, or lost it."""
        if (line := self.keys.get(key)) is None:
            return
        if line.waiting:
            first = line.waiting[0]
            if self.destinations[first.dest].held.move(first, first.group_for(line.in_turn(first, self.now))):
                self.mark_changed(first.dest)
        if not line.waiting and not line.attempts_out and self.now >= line.rest_until:
            del self.keys[key]

    def initial_rate(self) -> float:
        """The first guess at own calls a second to a destination that is not known yet."""
        slots_busy = self.settings.slots / min(c.aim_us for c in self.settings.classes.values()) * SECOND_US
        return self.own_rate.rate(self.now, slots_busy) / max(1, len(self.destinations))

    def forget_empty_destination(self, number: int) -> None:
        """Forget a destination with no endpoint and nothing held."""
        if (kept := self.destinations.get(number)) and not kept.endpoints and not kept.held:
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
            self.mark_changed(endpoint.dest)
            self.changed_lists.add(endpoint.dest)
            self.unlisted[endpoint.target] = endpoint
            endpoint.shared_limit.routes -= 1
            self.removals.set(endpoint, self.now)

    def forget_unlisted(self) -> None:
        """Drop what is unlisted with nothing out or to remember, and destinations that stand empty."""
        for endpoint in self.removals.due(self.now):
            kept_until = max(endpoint.shared_limit.opens_at, endpoint.failed_at + self.settings.ramp_us)
            if endpoint.listed or endpoint.calls or self.unlisted.get(endpoint.target) is not endpoint:
                continue  # listed again, or its last call's end looks here again
            if self.now >= kept_until:
                if endpoint.is_recovering(self.now):
                    self.remember_outages((endpoint.to_outage(endpoint.target),))
                self.forget_endpoint(endpoint)
            else:
                self.removals.set(endpoint, kept_until)

    def remember_outages(self, outages: tuple[Outage, ...]) -> None:
        """Believe for the time of a slow start what is known of endpoints that are not listed now."""
        believed = {target: known for target, known in self.known_outages.items() if self.now < known[1]}
        until = self.now + self.settings.ramp_us
        self.known_outages = believed | {outage.target: (outage, until) for outage in outages}

    def forget_endpoint(self, endpoint: E) -> None:
        """Forget an endpoint that was unlisted."""
        del self.endpoints[endpoint.target], self.unlisted[endpoint.target]
        self.endpoints_by_digest.pop(endpoint_digest(endpoint.target), None)
        self.removals.drop(endpoint)
        del self.destinations[endpoint.dest].endpoints[endpoint.target]
        self.forget_empty_destination(endpoint.dest)

    def release(self, message: Message) -> None:
        """Hold a message no longer."""
        destination = self.waiting[message.dest]
        destination.held.remove(message)
        self.mark_changed(message.dest)
        if not destination.held:
            del self.waiting[message.dest]

    def end(self, message: Message) -> None:
        """The message has had its final answer."""
        if self.messages.pop(message.ref, None) is None:
            return
        self.expiries.drop(message.ref)
        if message.group is not None:
            self.release(message)
        self.forget_empty_destination(message.dest)
        if message.key is not None:
            self.keys[message.key].waiting.remove(message)
            self.refresh_key(message.key)
