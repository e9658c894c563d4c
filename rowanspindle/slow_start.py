"""Outage and slow start of one endpoint: how often the fleet may call what is down, or has just come back.

An endpoint that returns from an outage is cold and bears a few calls a second from all senders together.
Nobody shares that budget out: each sender takes its part from the moment when it learns of the outage.
Trials, the slow start and calls to siblings in doubt draw on one bucket, at a place in time that each
sender draws by lot.
"""

from __future__ import annotations

from random import Random

from rowanspindle.api import Outage, Settings
from rowanspindle.data_structures import TokenBucket
from rowanspindle.held_messages import NEVER

SECOND_US = 1_000_000

MIN_TRIAL_INTERVAL_S = 0.5  # seconds between trials of an endpoint in an outage, at least
MAX_TRIAL_INTERVAL_S = (
    2.0  # and at most, or for each forwarder MAX_TRIAL_INTERVAL_PER_SENDER_S: the return must be noticed
)
MAX_TRIAL_INTERVAL_PER_SENDER_S = 1.5  # seconds
TRIAL_JITTER = 0.25  # part of the time between trials by which it is spread, for each second forwarder
TRIAL_BUDGET_SHARE = 0.6  # part of the budget of a cold endpoint for trials: other calls may come beside them
BUDGET_USED_SHARE = 0.75  # part of what a cold endpoint bears that is used: rough rates may be half too high


class OutageState:
    """The outage of one endpoint and the slow start behind it."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.out_since: int | None = None
        self.began_at = 0
        self.failure_confirmed = False  # a call has failed in this outage: it is not just slow
        self.ramp_from: int | None = None
        self.ramp_bucket = TokenBucket(0.0)
        self.grace_until = 0  # an answer to a call from before shows that it never went out with its siblings
        self.trials_sent = self.cold_calls = 0  # in this outage, and in the slow start behind it: for the log

    def even_share_rate(self) -> float:
        """An even part of what the destination takes, in calls a second of all forwarders."""
        raise NotImplementedError

    def begin_outage(self, now: int, since: int, rng: Random) -> None:
        """An outage begins; one that begins within a slow start goes on, and so does its budget."""
        again = self.is_recovering(now)
        self.began_at = self.began_at if again else since
        self.out_since, self.ramp_from = since, None
        self.trials_sent = 0
        if again:
            return
        # Each sender draws its place in the time in which all have one trial: they have learnt of the outage
        # together, and would try together too.
        rate = self.trial_rate(now)
        lead_s = min(MAX_TRIAL_INTERVAL_S, 1 / rate)
        spread = min(1.0, TRIAL_JITTER * self._settings.replicas / 2) * rng.random()
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = 1 - lead_s * rate - spread, now

    def end_outage(self, now: int, slowly: bool, rng: Random) -> None:
        """An outage is over, here or at its destination; each sender begins anew at a place drawn by lot."""
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = rng.random(), now
        self.out_since, self.ramp_from = None, now if slowly else None
        self.cold_calls = 0

    @property
    def suspected(self) -> bool:
        """Whether a sibling is out, and nothing has been heard from this one since."""
        return self.ramp_from == NEVER

    def begin_suspicion(self, now: int, rng: Random) -> None:
        """It may be out as well: one call may go at once, then as many as to a cold one."""
        self.began_at, self.failure_confirmed, self.cold_calls = now, False, 0
        self.ramp_from, self.grace_until = NEVER, now + self._settings.fall_us
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = rng.random(), self.grace_until

    def end_suspicion(self, now: int, sent_at: int, proved: bool) -> bool:
        """It answers: whether it may have been out, and is back. The slow start begins then."""
        self.ramp_from = now if proved and sent_at >= self.grace_until else None
        return self.ramp_from is not None

    def begin_cold(self, now: int, at: int, rng: Random) -> None:
        """It has been shut, and may be back from then on: the slow start begins then, or begins anew."""
        if self.out_since is None:
            if not self.is_recovering(now):
                self.began_at, self.cold_calls = now, 0
                self.ramp_bucket.tokens = rng.random()
            self.ramp_bucket.filled_at = max(self.ramp_bucket.filled_at, at)
            self.ramp_from = at if self.suspected else max(self.ramp_from or 0, at)

    def is_recovering(self, now: int) -> bool:
        """Whether it is out or cold."""
        cold = self.ramp_from is not None and now - self.ramp_from < self._settings.ramp_us
        return cold or self.out_since is not None

    def to_outage(self, target: str) -> Outage:
        """What the next process should know of it."""
        back_unknown = self.out_since is not None or self.suspected
        return Outage(target, self.began_at, None if back_unknown else self.ramp_from)

    def restore(self, now: int, outage: Outage, rng: Random) -> None:
        """What the process before this one knew: it is cold, or may be out still, as one call will show."""
        self.began_at, self.failure_confirmed = outage.began_at, True
        self.ramp_from, self.grace_until = NEVER if outage.back_at is None else outage.back_at, now
        self.ramp_bucket.tokens, self.ramp_bucket.filled_at = rng.random(), now

    def cold_rate(self, now: int, heard: float | None = None) -> float:
        """Calls a second that may go while it is cold: a part by the work that others are heard to have, or
        else an even part, since others may hold more than they can have got since the outage began.
        """
        settings = self._settings
        gone = 0.0 if self.ramp_from is None else max(0, now - self.ramp_from) / settings.ramp_us
        cold = min(1.0, settings.cold_share + (1 - settings.cold_share) * gone)
        budget = BUDGET_USED_SHARE * settings.overload_factor * cold * self.even_share_rate()
        return budget / (heard or self._settings.replicas)

    def trial_rate(self, now: int) -> float:
        """Trials a second: a part of the budget, which all senders share evenly."""
        least = 1 / max(MAX_TRIAL_INTERVAL_S, MAX_TRIAL_INTERVAL_PER_SENDER_S * self._settings.replicas)
        rate = max(TRIAL_BUDGET_SHARE * self.cold_rate(now), least)
        return min(rate, 1 / MIN_TRIAL_INTERVAL_S)

    def next_send_at(self, now: int, heard: float | None) -> int:
        """When this endpoint's health lets the next call go."""
        if self.out_since is not None:
            return self.ramp_bucket.next_at(now, self.trial_rate(now), 1.0)
        if self.ramp_from is None or now - self.ramp_from >= self._settings.ramp_us:
            self.ramp_from = None
            return now
        if self.suspected and now < self.grace_until:
            return now
        return self.ramp_bucket.next_at(now, self.cold_rate(now, heard), 1.0)

    def record_send(self, now: int) -> None:
        """A call goes there: a trial in an outage, one of the budget in a slow start."""
        if self.out_since is not None:
            self.ramp_bucket.tokens -= 1
            self.trials_sent += 1
        elif self.ramp_from is not None and not (self.suspected and now < self.grace_until):
            self.ramp_bucket.tokens -= 1
            self.cold_calls += 1
