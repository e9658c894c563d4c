"""Outage and slow start of one endpoint: how often it may be called while it is down or has just returned.

An endpoint that returns from an outage is cold: it can take only a few calls per second from all senders
together. This budget is not coordinated. Each sender uses its share from the moment it learns of the outage.
Trial calls, the slow start and calls to suspected siblings share one token bucket, and each sender starts it
at a random point in time.
"""

from __future__ import annotations

from random import Random

from rowanspindle.api import Outage, Settings
from rowanspindle.data_structures import TokenBucket
from rowanspindle.held_messages import NEVER_US

SECOND_US = 1_000_000

MIN_TRIAL_INTERVAL_S = 0.5  # shortest time between the trial calls of one sender to an endpoint in an outage
# Longest time between trial calls, unless MAX_TRIAL_INTERVAL_PER_SENDER_S gives more: the return must be
# noticed.
MAX_TRIAL_INTERVAL_S = 2.0
MAX_TRIAL_INTERVAL_PER_SENDER_S = 1.5  # longest time between trial calls per sender of the fleet
TRIAL_JITTER = 0.25  # share of the time between trial calls by which they are spread, for each two senders
# Share of the budget of a cold endpoint used for trial calls: other calls may arrive beside them.
TRIAL_BUDGET_SHARE = 0.6
# Share of the budget of a cold endpoint that is used: configured rates may be up to half too high.
BUDGET_USED_SHARE = 0.75


class OutageState:
    """The outage of one endpoint and the slow start after it."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.out_since: int | None = None
        self.began_at = 0
        self.failure_confirmed = False  # a call failed in this outage, so the endpoint is not merely slow
        self.ramp_from: int | None = None
        self.ramp_bucket = TokenBucket(0.0)
        # The token bucket applies from this time on. An answer to a call sent earlier rules out an outage.
        self.grace_until = 0
        # Trial calls of this outage and calls of the slow start after it, for the log.
        self.trials_sent = self.cold_calls = 0

    def even_rate(self) -> float:
        """Return an even share of the destination's rate, in calls per second of all senders."""
        raise NotImplementedError

    def begin_outage(self, now: int, since: int, rng: Random) -> None:
        """Begin an outage. During a slow start it continues the previous outage and its budget."""
        continues = self.is_recovering(now)
        self.began_at = self.began_at if continues else since
        self.out_since, self.ramp_from = since, None
        self.trials_sent = 0
        if continues:
            return
        # Each sender picks a random point within the interval in which all senders make one trial call. They
        # learn of the outage at the same time and would otherwise also make their trial calls at the same
        # time.
        rate = self.trial_rate(now)
        lead_s = min(MAX_TRIAL_INTERVAL_S, 1 / rate)
        spread = min(1.0, TRIAL_JITTER * self._settings.replicas / 2) * rng.random()
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = 1 - lead_s * rate - spread, now

    def end_outage(self, now: int, slow_start: bool, rng: Random) -> None:
        """End an outage of this endpoint or its destination. The token bucket restarts at a random level."""
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = rng.random(), now
        self.out_since, self.ramp_from = None, now if slow_start else None
        self.cold_calls = 0

    @property
    def suspected(self) -> bool:
        """Whether a sibling has an outage and this endpoint has not answered since."""
        return self.ramp_from == NEVER_US

    def begin_suspicion(self, now: int, rng: Random) -> None:
        """Treat the endpoint as possibly out: one call may go at once, further ones as to a cold endpoint."""
        self.began_at, self.failure_confirmed, self.cold_calls = now, False, 0
        self.ramp_from, self.grace_until = NEVER_US, now + self._settings.fall_us
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = rng.random(), self.grace_until

    def reinstate(self, now: int, sent_at: int, confirmed: bool) -> bool:
        """End the suspicion after an answer. Return whether a slow start begins, as it may have been out."""
        self.ramp_from = now if confirmed and sent_at >= self.grace_until else None
        return self.ramp_from is not None

    def begin_cold(self, now: int, opens_at: int, rng: Random) -> None:
        """Start, or restart, a slow start at the time when a shut endpoint may be open again."""
        if self.out_since is None:
            if not self.is_recovering(now):
                self.began_at, self.cold_calls = now, 0
                self.ramp_bucket.tokens = rng.random()
            self.ramp_bucket.filled_at = max(self.ramp_bucket.filled_at, opens_at)
            self.ramp_from = opens_at if self.suspected else max(self.ramp_from or 0, opens_at)

    def is_recovering(self, now: int) -> bool:
        """Return whether the endpoint has an outage or is in a slow start."""
        cold = self.ramp_from is not None and now - self.ramp_from < self._settings.ramp_us
        return cold or self.out_since is not None

    def to_outage(self, target: str) -> Outage:
        """Return the outage as the next process needs it."""
        back_unknown = self.out_since is not None or self.suspected
        return Outage(target, self.began_at, None if back_unknown else self.ramp_from)

    def restore(self, now: int, outage: Outage, rng: Random) -> None:
        """Restore an outage from the previous process: it is in a slow start, or one call shows its state."""
        self.began_at, self.failure_confirmed = outage.began_at, True
        self.ramp_from, self.grace_until = NEVER_US if outage.back_at is None else outage.back_at, now
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = rng.random(), now

    def cold_rate(self, now: int, active_senders: float | None = None) -> float:
        """Return the calls per second that this sender may make while the endpoint is cold.

        The budget is divided by the active senders known from gossip, or else by all senders: others may hold
        messages from before the outage as well.
        """
        settings = self._settings
        elapsed = 0.0 if self.ramp_from is None else max(0, now - self.ramp_from) / settings.ramp_us
        share = min(1.0, settings.cold_share + (1 - settings.cold_share) * elapsed)
        budget = BUDGET_USED_SHARE * settings.overload_factor * share * self.even_rate()
        return budget / (active_senders or self._settings.replicas)

    def trial_rate(self, now: int) -> float:
        """Return the trial calls per second: a share of the budget, divided evenly between all senders."""
        min_rate = 1 / max(MAX_TRIAL_INTERVAL_S, MAX_TRIAL_INTERVAL_PER_SENDER_S * self._settings.replicas)
        rate = max(TRIAL_BUDGET_SHARE * self.cold_rate(now), min_rate)
        return min(rate, 1 / MIN_TRIAL_INTERVAL_S)

    def next_send(self, now: int, active_senders: float | None) -> int:
        """Return when the outage or slow start of the endpoint permits the next call."""
        if self.out_since is not None:
            return self.ramp_bucket.next_at(now, self.trial_rate(now), 1.0)
        if self.ramp_from is None or now - self.ramp_from >= self._settings.ramp_us:
            self.ramp_from = None
            return now
        if self.suspected and now < self.grace_until:
            return now
        return self.ramp_bucket.next_at(now, self.cold_rate(now, active_senders), 1.0)

    def record_send(self, now: int) -> None:
        """Record a call: a trial call in an outage, one of the budget in a slow start."""
        if self.out_since is not None:
            self.ramp_bucket.tokens -= 1
            self.trials_sent += 1
        elif self.ramp_from is not None and not (self.suspected and now < self.grace_until):
            self.ramp_bucket.tokens -= 1
            self.cold_calls += 1
