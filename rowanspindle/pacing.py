"""Limits shared by endpoints: window, pace and waits of a destination, or of one endpoint with its own limit.

A sender is not told what a destination takes from all senders together. It estimates that from the rates in
the endpoint list, from refusals, and from answers that report the limit. Its share depends on how many other
senders have work for the destination.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from rowanspindle.api import Settings
from rowanspindle.data_structures import (
    ConcurrencyWindow,
    RateEstimator,
    TokenBucket,
    estimate_active_senders,
)
from rowanspindle.gossip import MAX_SENDERS_ALL_REPORT
from rowanspindle.held_messages import INITIAL_RATE_WEIGHT, RATE_MEMORY_S

if TYPE_CHECKING:
    from rowanspindle.endpoint import Endpoint
    from rowanspindle.state import Call

SECOND_US = 1_000_000

# Every window permits one call, as in Dialogue. Outages and retry-after waits have limits of their own.
WINDOW_FLOOR_CALLS = 1.0
# Calls of the initial window, added to one second of own calls: enough for a healthy destination.
MIN_START_WINDOW_CALLS = 3.0
# Mild, because the windows hold few calls and halving them would soon leave only the floor.
WINDOW_CUT_FACTOR = 0.7
# Share of the slots that one destination may hold, so that a hanging one cannot take them all.
MAX_SLOT_SHARE = 0.35

SHORTAGE_REFUSAL_COUNT = 3  # consecutive refusals for lack of connections that do not count as a rate limit
PACE_CUT_FACTOR = 0.8  # factor applied to the pace by a refusal
# Share of the initial pace that an answer adds for each sender. The other senders add theirs for their own
# answers.
PACE_RISE_SHARE = 0.008
# Upper bound of the senders counted for the rise of the pace: the others are refused as well.
PACE_RISE_SENDER_COUNT = 3
PACE_FLOOR_DIVISOR = 8  # the pace never falls below the initial pace divided by this
# Factor applied to the pace by a refusal where the fleet is too large for full gossip and each sender sees
# few refusals.
PARTIAL_GOSSIP_PACE_CUT_FACTOR = 0.7
PARTIAL_GOSSIP_PACE_RISE_SHARE = 0.1  # share of the pace that an answer adds where gossip is partial
# Where gossip is partial, the pace never falls below the initial pace divided by this.
PARTIAL_GOSSIP_PACE_FLOOR_DIVISOR = 100
PACE_REMOVAL_FACTOR = 2.5  # multiple of the initial pace from which no limit is evident any more
# Weight of a new report in the running mean of the reported limit: reports are noisy.
REPORT_SMOOTHING_FACTOR = 0.3
REPORT_MAX_FACTOR = 8.0  # a report is clipped to this multiple, or fraction, of the known rate
REPORT_PACE_CUT_FACTOR = 0.95  # factor applied to the pace by a refusal where the limit is reported
REPORT_PACE_MAX_FACTOR = 1.2  # multiple of the reported limit up to which answers raise the pace
# Shortest time for which the other senders are assumed to have had work where the limit is reported.
REPORTED_LIMIT_MIN_AGE_S = 1.0
# Share of the initial pace that is regained in the first second without a refusal, and more in later seconds,
# where the refusals of others are known from gossip.
GOSSIP_PACE_RISE_SHARE = 0.08
# Multiple of the configured limit that the pace may reach with time: messages that others held may be gone by
# then.
GOSSIP_PACE_MAX_FACTOR = 1.4
REFUSAL_BURST_US = 150_000  # refusals within this time, own or reported by gossip, count as one
TOKEN_BURST_S = 0.4  # time for which the token bucket saves up tokens
# Back-off after the first refusal without a retry-after wait. It doubles up to three times and has jitter.
INITIAL_BACKOFF_S = 0.25
BACKOFF_JITTER = 0.25  # share of a wait or back-off by which its end is spread


class SharedLimit:
    """The limit shared by the endpoints of a destination, or that of one endpoint where each has its own."""

    def __init__(self, settings: Settings, rate: float, own: float, now: int, tokens: float = 1.0) -> None:
        self.replicas, self.own_rate = (
            settings.replicas,
            RateEstimator(now, RATE_MEMORY_S, INITIAL_RATE_WEIGHT),
        )
        self.rate_is_measured = rate <= 0 or not settings.weights_told
        self.rate = max(own * self.replicas if self.rate_is_measured else rate, 0.1)
        max_window = max(2.0, settings.slots * MAX_SLOT_SHARE)
        self.window = ConcurrencyWindow(
            MIN_START_WINDOW_CALLS + self.rate / self.replicas,
            max_window,
            WINDOW_FLOOR_CALLS,
            WINDOW_CUT_FACTOR,
        )
        self.calls: list[Call[Endpoint]] = []
        # The number of listed endpoints that share it, and the limit reported by answers.
        self.endpoint_count, self.reported_limit = 0, 0.0
        self.opens_at, self.refusals, self.last_refusal_at = 0, 0, -1
        # Calls per second of all senders while a limit is evident. It is set from the start if the limit is
        # configured and refusals have a price.
        limit_is_known = settings.weights_exact and settings.refused_price > 0 and not self.rate_is_measured
        self.pace: float | None = self.rate if limit_is_known else None
        self.max_pace = self.rate if limit_is_known else math.inf
        self.bucket, self.rises_with_time, self.last_rise_at = TokenBucket(tokens), False, now
        # Whether each sender hears of the work of some other senders at most.
        self.gossip_is_partial = settings.replicas > MAX_SENDERS_ALL_REPORT

    def active_senders(self, age_us: int) -> float:
        """Estimate how many senders, with this one, have work if messages have waited that long."""
        return estimate_active_senders(
            self.replicas,
            self.rate,
            max(age_us, int(REPORTED_LIMIT_MIN_AGE_S * SECOND_US)) if self.reported_limit else age_us,
        )

    def next_token(self, now: int, senders: float, refusals_heard: bool) -> int:
        """Return when the pace, shared with the other senders that have work, permits the next call.

        Where the refusals of others are known from gossip, the pace rises with the time since the last
        refusal.
        """
        self.rises_with_time = refusals_heard and self.max_pace < math.inf
        if self.rises_with_time and self.pace is not None:
            quiet_s, elapsed_s = (
                (now - self.last_refusal_at) / SECOND_US,
                (now - self.last_rise_at) / SECOND_US,
            )
            raised = self.pace + self.rate * GOSSIP_PACE_RISE_SHARE * (1 + quiet_s) * elapsed_s
            self.pace = min(self.max_pace * GOSSIP_PACE_MAX_FACTOR, raised)
        self.last_rise_at = now
        rate = (self.pace or 0.0) / senders
        return self.bucket.next_at(now, rate, max(1.0, rate * TOKEN_BURST_S)) if rate else now

    def record_reported_limit(self, limit: float) -> None:
        """Record a limit that an answer reported.

        It replaces the configured rate, which is only approximate, and paces the calls from the first report
        on. So a known limit is not detected by refusals, each of which costs a wait and, at some
        destinations, counts against the limit.
        """
        known_rate = self.reported_limit or self.rate
        limit = min(max(limit, known_rate / REPORT_MAX_FACTOR), known_rate * REPORT_MAX_FACTOR)
        self.reported_limit = self.rate = self.reported_limit + (
            REPORT_SMOOTHING_FACTOR if self.reported_limit else 1.0
        ) * (limit - self.reported_limit)
        self.pace = self.reported_limit if self.pace is None else self.pace

    def record_refusal(
        self, now: int, sent_at: int, wait_us: int, senders: float, out_of_connections: bool, rng: Random
    ) -> None:
        """Record a refusal: apply the retry-after wait or else a back-off, and pace the following calls.

        This limits calls to fast rate-limited destinations, which a concurrency window does not do, and also
        to shut ones and full queues. Each consecutive refusal doubles the number of senders assumed to have
        work; the end of the wait is spread over the time that these need. A refusal by chance costs some
        throughput until answers have raised the pace again.
        """
        # Calls in flight together are refused together: that counts as one refusal.
        same_burst = sent_at <= self.last_refusal_at
        self.last_refusal_at = now
        self.refusals += not same_burst
        wait = wait_us or INITIAL_BACKOFF_S * SECOND_US * 2 ** min(self.refusals - 1, 3)
        if out_of_connections and self.refusals <= SHORTAGE_REFUSAL_COUNT:
            # No connection was left, which does not show a rate limit.
            self.opens_at = max(self.opens_at, now + int(wait * (0.5 + rng.random())))
            return
        if not same_burst:
            self.cut_pace()
        senders = min(self.replicas, max(senders, 2 ** min(self.refusals, 8)))
        others_us = (senders - 1) / (self.pace or self.rate) * SECOND_US
        spread_us = (
            max(min(wait, INITIAL_BACKOFF_S * SECOND_US * 2) * BACKOFF_JITTER, others_us) * rng.random()
        )
        self.opens_at = max(self.opens_at, now + int(wait + spread_us) + 1)
        self.bucket.tokens, self.bucket.filled_at = min(self.bucket.tokens, 1.0), now

    def cut_pace(self) -> None:
        """Lower the pace after a sign of a limit below the estimate."""
        pace = min(self.rate if self.pace is None else self.pace, self.reported_limit or math.inf)
        factor = (
            REPORT_PACE_CUT_FACTOR
            if self.reported_limit
            else PARTIAL_GOSSIP_PACE_CUT_FACTOR
            if self.gossip_is_partial
            else PACE_CUT_FACTOR
        )
        self.pace = max(
            self.rate / (PARTIAL_GOSSIP_PACE_FLOOR_DIVISOR if self.gossip_is_partial else PACE_FLOOR_DIVISOR),
            pace * factor,
        )

    def record_heard_refusal(self, now: int, wait_us: int, rng: Random) -> None:
        """Apply a refusal of another sender's call: its wait holds for all, and the next calls are spread."""
        if self.rises_with_time and now - self.last_refusal_at > REFUSAL_BURST_US:
            self.cut_pace()
            self.last_refusal_at = now
        if now + wait_us > self.opens_at:
            self.opens_at = now + wait_us
            self.bucket.tokens, self.bucket.filled_at = min(self.bucket.tokens, rng.random()), self.opens_at

    def record_answer(self) -> None:
        """Record an answer: the pace rises until no limit is evident any more."""
        self.refusals = 0
        if self.pace is not None and not self.rises_with_time:
            raised = self.pace + self.rate * PACE_RISE_SHARE * min(self.replicas, PACE_RISE_SENDER_COUNT)
            raised = (
                max(raised, self.pace * (1 + PARTIAL_GOSSIP_PACE_RISE_SHARE))
                if self.gossip_is_partial
                else raised
            )
            raised_or_none = None if raised > self.rate * PACE_REMOVAL_FACTOR else raised
            self.pace = (
                min(raised, self.reported_limit * REPORT_PACE_MAX_FACTOR)
                if self.reported_limit
                else raised_or_none and min(raised_or_none, self.max_pace)
            )
