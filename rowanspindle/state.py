"""State of a sender: its messages, calls and endpoints, and the timers of each. Decisions are in logic.py."""

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
    NEVER_US,
    RATE_MEMORY_S,
    DestinationState,
    KeyQueue,
    Message,
)
from rowanspindle.list_watch import ListWatch
from rowanspindle.notes import endpoint_digest
from rowanspindle.retry_after_waits import RetryAfterWaits


class TrackedLimit(Protocol):
    """The attributes of a shared limit that this module needs."""

    endpoint_count: int
    opens_at: int


class TrackedEndpoint(Hashable, Protocol):
    """The attributes of an endpoint that this module needs."""

    target: str
    dest: int
    listed: bool
    failed_at: int

    @property
    def shared_limit(self) -> TrackedLimit:
        """The limit that it shares with other endpoints of its destination."""

    @property
    def calls(self) -> Sized:
        """Its calls in flight."""

    def is_recovering(self, now: int) -> bool:
        """Return whether it has an outage or is in a slow start."""

    def to_outage(self, target: str) -> Outage:
        """Return what is known of its outage."""


E = TypeVar("E", bound=TrackedEndpoint)
G = TypeVar("G")

SECOND_US = 1_000_000
QUOTA_BURST_S = 2.0  # time for which a tenant's quota accumulates


class Call(Generic[E]):
    """One call in flight to one endpoint: one or more messages with a common result."""

    def __init__(self, endpoint: E, now: int, connects: bool) -> None:
        self.endpoint, self.sent_at = endpoint, now
        self.learned_from = self.cancelled = False
        self.idle_us = 0  # how long the connection that the call may have used was idle
        self.connects = connects  # the call needs a new connection
        self.attempts: dict[tuple[int, int], Message] = {}


class ForwarderState(Generic[E, G]):
    """The complete state of a sender."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        # Spreads what many senders would otherwise begin at the same time.
        self.startup_rng = Random(f"{seed} starts")
        self.now, self.actions = 0, list[Action]()
        self.messages: dict[int, Message] = {}
        self.attempts: dict[tuple[int, int], tuple[Call[E], Message]] = {}
        self.destinations: defaultdict[int, DestinationState[E, G]] = defaultdict(DestinationState)
        self.endpoints: dict[str, E] = {}
        self.endpoints_by_digest: dict[int, E] = {}  # by the digest that gossip notes use
        self.keys: dict[str, KeyQueue] = {}
        self.calls: dict[Call[E], None] = {}
        self.trials: dict[Call[E], None] = {}  # calls in flight to endpoints in an outage
        self.waiting: dict[int, DestinationState[E, G]] = {}
        self.changed: dict[int, None] = {}  # destinations that changed since their last pick
        # Destinations that changed since by_worth was updated for them.
        self.changed_worth: dict[int, None] = {}
        self.ready: PriorityQueue[int] = PriorityQueue()  # destinations with a pick, the most urgent first
        # Destinations while the sender is nearly full, those with the least valuable messages first.
        self.by_worth: PriorityQueue[int] = PriorityQueue()
        # When a destination without a pick may have one.
        self.openings: DeadlineQueue[int] = DeadlineQueue()
        # When a message expires or may not be sent again.
        self.expiries: DeadlineQueue[int] = DeadlineQueue()
        self.silences: DeadlineQueue[E] = DeadlineQueue()
        # When a call will have been in flight for longer than the silence time-out.
        self.overdue_at: DeadlineQueue[Call[E]] = DeadlineQueue()
        self.overdue: dict[Call[E], None] = {}  # calls in flight for longer than the silence time-out
        self.key_rests: DeadlineQueue[str] = DeadlineQueue()  # end of the rest time of each message key
        self.removals: DeadlineQueue[E] = DeadlineQueue()  # when an unlisted endpoint may be forgotten
        self.unlisted: dict[str, E] = {}
        self.recovering: dict[E, None] = {}  # endpoints in an outage or slow start; some may have ended
        # Outages of endpoints that are not listed, and until when they are taken to be valid.
        self.known_outages: dict[str, tuple[Outage, int]] = {}
        # Waits by destination, also while it is not listed: its next endpoint must keep them.
        self.known_waits = RetryAfterWaits()
        self.changed_lists: set[int] = set()  # destinations whose endpoint list changed in this round
        self.answered: dict[E, None] = {}  # endpoints with a connection that may be closed as idle
        self.zone_times: dict[str, RunningMean] = {}  # answer times of each zone
        self.refusal_times: dict[str, RunningMean] = {}  # times of refusals of each zone
        self.own_rate = RateEstimator(NEVER_US, RATE_MEMORY_S, INITIAL_RATE_WEIGHT)
        self.connection_reuse = ConnectionReuse(settings)
        self.quota = {
            n: TokenBucket(r * QUOTA_BURST_S / settings.replicas) for n, r in settings.tenants.items()
        }
        self.token, self.armed_at = 0, NEVER_US
        self.list_watch, self.gossip = ListWatch(settings), Gossip(settings, Random(f"{seed} tells").random())

    def mark_changed(self, number: int) -> None:
        """Mark a destination as changed, which invalidates its pick and its place in by_worth."""
        if (destination := self.destinations.get(number)) is not None:
            self.gossip.update_held(number, len(destination.held), destination.held.oldest_accepted_at)
        if number in self.waiting:
            self.changed[number] = None
            if self.by_worth or self.changed_worth:
                self.changed_worth[number] = None

    def refresh_key(self, key: str) -> None:
        """Update a message key after a change: its first message may be in turn now, or no longer."""
        if (key_queue := self.keys.get(key)) is None:
            return
        if key_queue.waiting:
            first = key_queue.waiting[0]
            if self.destinations[first.dest].held.move_to_group(
                first, first.group_for(key_queue.may_send(first, self.now))
            ):
                self.mark_changed(first.dest)
        if not key_queue.waiting and not key_queue.attempts_out and self.now >= key_queue.resting_until:
            del self.keys[key]

    def initial_rate(self) -> float:
        """Return the initial estimate of own calls per second to a destination not known yet."""
        busy_slots_rate = (
            self.settings.slots / min(c.aim_us for c in self.settings.classes.values()) * SECOND_US
        )
        return self.own_rate.rate(self.now, busy_slots_rate) / max(1, len(self.destinations))

    def forget_empty_destination(self, number: int) -> None:
        """Forget a destination without endpoints and held messages."""
        if (
            (destination := self.destinations.get(number))
            and not destination.endpoints
            and not destination.held
        ):
            del self.destinations[number]

    def tenant_share(self, tenant: str | None) -> float:
        """Return the full worth factor within the tenant's quota, and the reduced one beyond it."""
        if tenant is None or (bucket := self.quota.get(tenant)) is None:
            return 1.0  # no quota applies
        rate = self.settings.tenants[tenant] / self.settings.replicas
        within_quota = bucket.next_at(self.now, rate, max(1.0, rate * QUOTA_BURST_S)) <= self.now
        bucket.tokens -= within_quota
        return 1.0 if within_quota else self.settings.over_share_worth

    def unlist(self, endpoint: E) -> None:
        """Stop sending to an endpoint.

        It is forgotten later, so that one that is listed again keeps its retry-after wait.
        """
        if endpoint.listed:
            endpoint.listed = False
            self.mark_changed(endpoint.dest)
            self.changed_lists.add(endpoint.dest)
            self.unlisted[endpoint.target] = endpoint
            endpoint.shared_limit.endpoint_count -= 1
            self.removals.set(endpoint, self.now)

    def forget_unlisted(self) -> None:
        """Forget unlisted endpoints without calls or waits, and destinations that become empty."""
        for endpoint in self.removals.due(self.now):
            kept_until = max(endpoint.shared_limit.opens_at, endpoint.failed_at + self.settings.ramp_us)
            if endpoint.listed or endpoint.calls or self.unlisted.get(endpoint.target) is not endpoint:
                continue  # listed again, or the end of its last call schedules it again
            if self.now >= kept_until:
                if endpoint.is_recovering(self.now):
                    self.remember_outages((endpoint.to_outage(endpoint.target),))
                self.forget_endpoint(endpoint)
            else:
                self.removals.set(endpoint, kept_until)

    def remember_outages(self, outages: tuple[Outage, ...]) -> None:
        """Remember outages of endpoints not listed now for the duration of a slow start."""
        valid = {target: known for target, known in self.known_outages.items() if self.now < known[1]}
        until = self.now + self.settings.ramp_us
        self.known_outages = valid | {outage.target: (outage, until) for outage in outages}

    def forget_endpoint(self, endpoint: E) -> None:
        """Forget an unlisted endpoint."""
        del self.endpoints[endpoint.target], self.unlisted[endpoint.target]
        self.endpoints_by_digest.pop(endpoint_digest(endpoint.target), None)
        self.removals.drop(endpoint)
        del self.destinations[endpoint.dest].endpoints[endpoint.target]
        self.forget_empty_destination(endpoint.dest)

    def release(self, message: Message) -> None:
        """Stop holding a message."""
        destination = self.waiting[message.dest]
        destination.held.remove(message)
        self.mark_changed(message.dest)
        if not destination.held:
            del self.waiting[message.dest]

    def end(self, message: Message) -> None:
        """Remove a message that has its final answer."""
        if self.messages.pop(message.ref, None) is None:
            return
        self.expiries.drop(message.ref)
        if message.group is not None:
            self.release(message)
        self.forget_empty_destination(message.dest)
        if message.key is not None:
            self.keys[message.key].waiting.remove(message)
            self.refresh_key(message.key)
