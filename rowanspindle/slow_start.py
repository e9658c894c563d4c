"""Outage and slow start of one endpoint: how often the fleet may call what is down, or has just come back.

An endpoint that returns from an outage is cold and bears a few calls a second from all senders together.
Nobody shares the budget out: each sender takes its part by how many others it expects to have work there.
"""

from __future__ import annotations

from random import Random
from typing import Protocol

from rowanspindle.api import Settings
from rowanspindle.order import Bucket

SECOND = 1_000_000  # microseconds

TRIAL_LEAST_S = 0.5  # seconds between trials of an endpoint in an outage, at least
TRIAL_MOST_S = 2.0  # and at most, or for each forwarder TRIAL_EACH_S: the return must be noticed
TRIAL_EACH_S = 1.5  # seconds
TRIAL_JITTER = 0.25  # part of the time between trials by which it is spread, for each second forwarder
BUDGET_USED = 0.75  # part of what a cold endpoint bears that is used: rough rates may be half too high


class SharedLimit(Protocol):
    """What the endpoints of a destination share, as far as it matters here."""

    def crowd(self, age_us: int) -> float:
        """How many senders have work there, this one included, where work has waited so long."""


class Recovery:
    """The outage of one endpoint and the slow start behind it."""

    def __init__(self, gate: SharedLimit, settings: Settings) -> None:
        self._gate, self._settings = gate, settings
        self.out_since: int | None = None
        self.struck_at = self.trial_at = 0
        self.proved = False  # a call has failed in this outage: it is not just slow
        self.ramp_from: int | None = None
        self.ramp = Bucket(0.0)
        self.trials_sent = self.cold_calls = 0  # in this outage, and in the slow start behind it: for the log

    def part(self) -> float:
        """An even part of what the destination takes, in calls a second of all forwarders."""
        raise NotImplementedError

    def strike(self, since: int) -> None:
        """An outage begins; one that begins within a slow start goes on."""
        self.struck_at = since if self.ramp_from is None else self.struck_at
        self.out_since, self.ramp_from = since, None
        self.trials_sent = 0

    def recover(self, now: int, rng: Random) -> None:
        """The outage is over: the slow start begins, unless no call had failed."""
        self.out_since, self.ramp_from = None, now if self.proved else None
        self.ramp.tokens, self.ramp.filled_at = rng.random(), now
        self.cold_calls = 0

    def expected(self, now: int) -> float:
        """How many senders are expected to have work there, by the age of the outage."""
        return self._gate.crowd(now - self.struck_at + self._settings.fall_us)  # work comes in clumps

    def cold_rate(self, now: int, heard: float | None = None) -> float:
        """Calls a second that may go while it is cold: a part by heard work, else even among the likely."""
        settings = self._settings
        gone = 0 if self.ramp_from is None else (now - self.ramp_from) / settings.ramp_us
        cold = min(1.0, settings.cold_share + (1 - settings.cold_share) * gone)
        return BUDGET_USED * settings.overload_factor * cold * self.part() / (heard or self.expected(now))

    def next_send(self, now: int, heard: float | None) -> int:
        """When this endpoint's health lets the next call go."""
        if self.out_since is not None:
            return self.trial_at
        if self.ramp_from is None or now - self.ramp_from >= self._settings.ramp_us:
            self.ramp_from = None
            return now
        return self.ramp.next_at(now, self.cold_rate(now, heard), 1.0)

    def next_trial(self, now: int, rng: Random) -> None:
        """Space trials so that those of all forwarders, of a clump too, stay under what it bears cold."""
        most = max(TRIAL_MOST_S, TRIAL_EACH_S * self.expected(now))
        gap = min(max(1 / self.cold_rate(now), TRIAL_LEAST_S), most)
        spread = min(1.0, TRIAL_JITTER * self._settings.replicas / 2) * rng.random()
        self.trial_at = now + int(gap * SECOND * (1 + spread))

    def sent(self, now: int, rng: Random) -> None:
        """A call goes there: a trial in an outage, one of the budget in a slow start."""
        if self.out_since is not None:
            self.trials_sent += 1
            self.next_trial(now, rng)
        elif self.ramp_from is not None:
            self.ramp.tokens -= 1
            self.cold_calls += 1
