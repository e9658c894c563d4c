"""One endpoint of a destination: its calls in flight, its answer times and its rank among the others."""

from __future__ import annotations

import math

from rowanspindle import pacing
from rowanspindle.api import EndpointEntry, Settings
from rowanspindle.data_structures import ConcurrencyWindow, RunningMean
from rowanspindle.held_messages import NEVER_US
from rowanspindle.pacing import SharedLimit
from rowanspindle.slow_start import OutageState
from rowanspindle.state import Call

SECOND_US = 1_000_000

FAILURE_CALLS = 10.0  # a recent failure counts as this many in-flight calls, as in Dialogue
FAILURE_DECAY_S = 3.0  # time in which the weight of a failure decays to 1/e
NEW_CONNECTION_CALLS = 1.5  # the lack of a warm idle connection counts as this many in-flight calls
MANY_SENDERS = 8  # fleet size from which each sender sees few calls of an endpoint and corrects chance late

SMOOTHING = 0.15  # weight of a new time in a running mean and deviation: covers about the last dozen
SILENCE_DEVIATION_FACTOR = 8.0  # a silent call takes longer than the mean plus this many deviations
SILENCE_MEAN_FACTOR = 5.0  # a silent call takes longer than this multiple of the mean answer time, too
SINGLE_CALL_SILENCE_FACTOR = 2.0  # a single call in flight may take this many times the silence time-out
SILENCE_AIM_FACTOR = 0.4  # least silence time-out as a share of the shortest aim, the estimate at first


def is_lost(call: Call[Endpoint], now: int) -> bool:
    """Return whether a call is overdue although an answer came after it was sent; it holds no permit then.

    Otherwise calls swallowed by an endpoint, unsafe ones above all, fill the windows until their deadline."""
    return call.endpoint.answered_at > call.sent_at and now - call.sent_at >= call.endpoint.silence_us()


def excess(measured: tuple[float, float], fastest: tuple[float, float], tolerance: float) -> float:
    """Return by which share a mean answer time exceeds the fastest one, or 0 if that may be chance.

    Otherwise senders keep calling the few of many equal endpoints that answered fast at first, by chance."""
    (mean, error), (fastest_mean, fastest_error) = measured, fastest
    return mean / fastest_mean - 1 if mean - fastest_mean > tolerance * (error + fastest_error) else 0.0


def is_window_full(window: ConcurrencyWindow, calls: list[Call[Endpoint]], now: int) -> bool:
    """Return whether the calls in flight leave no permit; lost calls hold none."""
    size = int(window.size)
    return len(calls) >= size and sum(not is_lost(c, now) for c in calls) >= size


class Endpoint(OutageState):
    """One endpoint with its concurrency window, answer times, outage and slow start."""

    def __init__(
        self, entry: EndpointEntry, limit: SharedLimit, settings: Settings, turn: float, preferred: bool
    ) -> None:
        super().__init__(settings)
        self.target, self.zone, self.dest, self.kind = entry.target, entry.zone, entry.dest, entry.kind
        self.shared_limit, self.settings = limit, settings
        # Endpoints of equal rank take turns in proportion to their shares.
        self.next_turn, self.call_share = turn, 1.0
        self.listed, self.preferred = True, preferred  # preferred: chosen at random to be called first
        self.window = ConcurrencyWindow(
            limit.window.size, limit.window.max_size, pacing.WINDOW_FLOOR_CALLS, pacing.WINDOW_CUT_FACTOR
        )
        self.calls: list[Call[Endpoint]] = []
        self.failures, self.failed_at, self.consecutive_failures, self.first_failure_at = 0.0, 0, 0, 0
        self.answer_time = RunningMean(SMOOTHING)
        self.idle: list[int] = []  # when each idle connection became idle
        self.answered_at = 0
        self.min_silence_us = SILENCE_AIM_FACTOR * min(c.aim_us for c in settings.classes.values())

    @property
    def turn_interval(self) -> float:
        """Distance between two turns: an endpoint with half the share has half as many turns."""
        return 1 / (self.call_share or 1.0)

    def even_rate(self) -> float:
        """Return an even share of the destination's rate, in calls per second of all senders."""
        return self.shared_limit.rate / max(1, self.shared_limit.endpoint_count)

    def rank(self, now: int, extra: bool = False) -> float:
        """Return Dialogue's balanced score, the lower the better, with a preference for warm connections.

        Large fleets round it: among few calls, the rest of one failure would keep an endpoint unused."""
        recent = self.failures * math.exp(-(now - self.failed_at) / (FAILURE_DECAY_S * SECOND_US))
        weight = FAILURE_CALLS * recent
        cold = NEW_CONNECTION_CALLS if not (extra or self.is_warm(now)) else 0.0
        return len(self.calls) + (round(weight) if self.settings.replicas >= MANY_SENDERS else weight) + cold

    def is_warm(self, now: int) -> bool:
        """Return whether a call can use an open connection. Preferred endpoints count as warm."""
        idle = self.idle and now - self.idle[-1] < self.settings.keepalive_us
        return bool(idle) or self.shares_connection() or self.preferred

    def latency(self, now: int) -> float:
        """Return the mean answer time, or the age of the oldest call in flight if that is longer."""
        return max(self.answer_time.mean, float(now - self.calls[0].sent_at) if self.calls else 0.0)

    def shares_connection(self) -> bool:
        """Return whether a connection in use has room for the next call."""
        return len(self.calls) % self.settings.streams_per_conn > 0

    def silence_us(self) -> float:
        """Return how long a call may stay unanswered before that is a symptom of an outage."""
        mean = self.answer_time.mean
        typical = max(
            mean * SILENCE_MEAN_FACTOR, mean + SILENCE_DEVIATION_FACTOR * self.answer_time.deviation
        )
        return max(self.min_silence_us, typical) if typical else self.min_silence_us / SILENCE_AIM_FACTOR

    def silence_due_at(self) -> int:
        """Return when silence becomes a symptom; later for a single call, which may just take long."""
        if not self.calls or self.answered_at > self.calls[0].sent_at:
            return NEVER_US
        factor = SINGLE_CALL_SILENCE_FACTOR if len(self.calls) == 1 else 1.0
        return self.calls[0].sent_at + math.ceil(self.silence_us() * factor)

    def record_failure(self, now: int, sent_at: int) -> None:
        """Record a failed call in the score and in the number of consecutive failures."""
        self.failures = 1 + self.failures * math.exp(-(now - self.failed_at) / (FAILURE_DECAY_S * SECOND_US))
        self.failed_at = now
        self.consecutive_failures += 1
        self.first_failure_at = sent_at if self.consecutive_failures == 1 else self.first_failure_at
        self.failure_confirmed = True

    def record_success(self, now: int, latency: int) -> None:
        """Record an answered call and its answer time."""
        self.consecutive_failures, self.answered_at = 0, now
        self.answer_time.add(latency)
