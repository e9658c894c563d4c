"""What the processes of one sender tell each other: outages, slow starts and retry-after waits.

A restart must not forget them, and during a hot restart two processes are one sender. The caller saves what
`outages` returns and the waits that it is told, and passes what other processes have saved as events.
"""

from __future__ import annotations

from rowanspindle.api import (
    DestinationKind,
    LogLine,
    Outage,
    OutagesRestored,
    RetryAfterWait,
    RetryAfterWaitsReported,
)
from rowanspindle.endpoint import Endpoint
from rowanspindle.held_messages import DestinationState
from rowanspindle.pacing import SharedLimit
from rowanspindle.state import ForwarderState

Destination = DestinationState[Endpoint, SharedLimit]


class SharedKnowledge(ForwarderState[Endpoint, SharedLimit]):
    """The part of a forwarder that takes over what other processes of its sender know."""

    def limit_group(self, endpoint: Endpoint) -> list[Endpoint]:
        """Return the endpoints that share its limit, and therefore its outages, including itself."""
        others = self.destinations[endpoint.dest].endpoints.values()
        return [other for other in others if other.shared_limit is endpoint.shared_limit]

    def begin_cold_after_wait(self, endpoint: Endpoint, wait_us: int) -> None:
        """Begin a slow start after a wait that no rate limit needs: all senders that wait return at once."""
        if wait_us >= self.settings.fall_us:
            for other in self.limit_group(endpoint):
                other.begin_cold(self.now, other.shared_limit.opens_at, self.rng)
                self.recovering[other] = None

    def share_text(self, endpoint: Endpoint) -> str:
        """Describe how many senders share the budget of a cold endpoint, and how that is known."""
        senders, from_gossip = self.active_senders(endpoint, self.now)
        if not (from_gossip and self.gossip.listened_long_enough(self.now)):
            return f"budget shared evenly by {self.settings.replicas} senders"
        return f"budget shared with {senders - 1:.1f} of {self.settings.replicas - 1} others by gossip"

    def outages(self, now: int) -> tuple[Outage, ...]:
        """Return what is known of endpoints in an outage or slow start, for the next process."""
        for endpoint in list(self.recovering):
            if self.endpoints.get(endpoint.target) is not endpoint or not endpoint.is_recovering(now):
                del self.recovering[endpoint]
        return tuple(endpoint.to_outage(endpoint.target) for endpoint in self.recovering)

    def restore_outages(self, event: OutagesRestored) -> None:
        """Restore the outages known to another process, including those of endpoints not listed yet.

        Otherwise a fleet that restarts in an outage calls at once and overloads a returning endpoint."""
        self.remember_outages(event.outages)
        for endpoint in [self.endpoints[target] for target in self.known_outages if target in self.endpoints]:
            self.restore_outage(endpoint)

    def restore_outage(self, endpoint: Endpoint) -> None:
        """Restore the outage of a listed endpoint if one is known from another process or before its removal.

        What this process has found of the endpoint since then counts more.
        """
        outage, until = self.known_outages.pop(endpoint.target, (None, 0))
        if outage is None or endpoint.is_recovering(self.now) or endpoint.answered_at > outage.began_at:
            return
        if self.now < until:
            endpoint.restore(self.now, outage, self.rng)
            if outage.back_at is not None:  # while that lies ahead, its destination has asked for a wait
                endpoint.shared_limit.opens_at = max(endpoint.shared_limit.opens_at, outage.back_at)
            self.recovering[endpoint] = None
            self.actions.append(
                LogLine(
                    f"{endpoint.target}: {'outage' if outage.back_at is None else 'slow start'} "
                    f"known from before; destination {endpoint.dest}, {self.share_text(endpoint)}"
                )
            )

    def record_told_wait(self, endpoint: Endpoint, until: int) -> None:
        """Remember a wait of the endpoint's destination, or its own, for endpoints that are listed later."""
        apart = self.settings.kinds.get(endpoint.kind, DestinationKind()).apart
        target = endpoint.target if apart else None
        self.known_waits.record(RetryAfterWait(endpoint.dest, target, until), self.now)

    def apply_reported_waits(self, event: RetryAfterWaitsReported) -> None:
        """Obey waits that another process of this sender was told, as if they had been told here."""
        for wait in event.waits:
            self.known_waits.record(wait, self.now)
            destination = self.destinations[wait.dest] if wait.dest in self.destinations else Destination()
            for endpoint in destination.endpoints.values():
                if wait.target in (None, endpoint.target):
                    endpoint.shared_limit.record_heard_refusal(self.now, wait.until - self.now, self.rng)
                    self.restore_wait(endpoint)
            self.mark_changed(wait.dest)

    def restore_wait(self, endpoint: Endpoint) -> None:
        """Apply a wait that is known from before the endpoint was listed, or from another process."""
        until = self.known_waits.until(endpoint.dest, endpoint.target)
        if until > self.now:
            endpoint.shared_limit.opens_at = max(endpoint.shared_limit.opens_at, until)
            self.begin_cold_after_wait(endpoint, until - self.now)

    def active_senders(self, endpoint: Endpoint, since: int) -> tuple[float, bool]:
        """Return how many senders share a pace, and whether gossip tells that (else it is an estimate)."""
        held = len(self.destinations[endpoint.dest].held)
        estimate = endpoint.shared_limit.active_senders(self.now - since)
        reported = self.gossip.active_senders(endpoint.dest, held, self.now, estimate)
        if endpoint.shared_limit.gossip_is_partial:
            estimate = max(1.0, estimate / max(1, held))  # it assumes one message at each other sender
        return reported or estimate, reported is not None
