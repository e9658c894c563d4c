"""Limits that endpoints share: the window, the pace and the waits of one destination, or of one route apart.

Nobody tells a sender what a destination takes from all senders. It is guessed from the list's rates, from
refusals, and from answers that tell the limit; a sender takes its part by how many others have work there.
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
from rowanspindle.gossip import MAX_SENDERS_ALL_TELL
from rowanspindle.held_messages import INITIAL_RATE_WEIGHT, RATE_MEMORY_S

if TYPE_CHECKING:
    from rowanspindle.logic import Endpoint
    from rowanspindle.state import Call

SECOND_US = 1_000_000

WINDOW_FLOOR_CALLS = (
    1.0  # every window lets one call out, as in Dialogue; outages and waits are guarded elsewhere
)
MIN_START_WINDOW_CALLS = (
    3.0  # calls of a first window, and one second of own calls: enough for a healthy destination
)
WINDOW_CUT_FACTOR = (
    0.7  # factor; gentle, since windows here hold few calls and a halving would leave the floor
)
MAX_SLOT_SHARE = 0.35  # part of the slots that one destination may hold: a hung one never takes them all

SHORTAGE_REFUSAL_COUNT = 3  # in a row for want of connections that say nothing of a limit
PACE_CUT_FACTOR = 0.8  # factor on the pace at a refusal
PACE_RISE_SHARE = 0.008  # of the first pace, added by each answer for each forwarder: the others have theirs,
PACE_RISE_SENDER_COUNT = 3  # for so many at most: refusals come to the others as well
PACE_FLOOR_DIVISOR = 8  # parts of the first pace, of which one is left at least
PARTIAL_GOSSIP_PACE_CUT_FACTOR = 0.7  # factor at a refusal where senders are so many that each sees few,
PARTIAL_GOSSIP_PACE_RISE_SHARE = 0.1  # of the pace, added by each answer there,
PARTIAL_GOSSIP_PACE_FLOOR_DIVISOR = 100  # and parts of the first pace there
PACE_REMOVAL_FACTOR = 2.5  # times the first pace: no limit is evident any more
REPORT_SMOOTHING_FACTOR = 0.3  # of a new report of the limit in the running mean: reports are noisy
REPORT_MAX_FACTOR = 8.0  # times more or less than the list's rough rate that a report is believed
REPORT_PACE_CUT_FACTOR = 0.95  # factor on the pace at a refusal where the limit is told,
REPORT_PACE_MAX_FACTOR = 1.2  # and times the limit to which answers lift it
REPORTED_LIMIT_MIN_AGE_S = (
    1.0  # seconds in which the others are taken to have had work, where the limit is told
)
GOSSIP_PACE_RISE_SHARE = (
    0.08  # of the first pace, by which time lifts it in the second after a refusal, and more later
)
GOSSIP_PACE_MAX_FACTOR = (
    1.4  # times the told limit to which that may go: what others hold has often gone meanwhile
)
REFUSAL_BURST_US = 150_000  # in which refusals, own or heard, are one symptom
TOKEN_BURST_S = 0.4  # seconds of pace that may go at once
INITIAL_BACKOFF_S = (
    0.25  # seconds of the first backoff after a refusal with no wait; doubles thrice, with jitter
)
BACKOFF_JITTER = 0.25  # part of a wait or backoff by which its end is spread


class SharedLimit:
    """What shares one limit: a destination, or a single route where routes are apart."""

    def __init__(self, settings: Settings, rate: float, own: float, now: int, token: float = 1.0) -> None:
        self.replicas, self.own_rate = (
            settings.replicas,
            RateEstimator(now, RATE_MEMORY_S, INITIAL_RATE_WEIGHT),
        )
        self.rate_is_measured = rate <= 0 or not settings.weights_told
        self.weight = max(own * self.replicas if self.rate_is_measured else rate, 0.1)
        most = max(2.0, settings.slots * MAX_SLOT_SHARE)
        self.window = ConcurrencyWindow(
            MIN_START_WINDOW_CALLS + self.weight / self.replicas, most, WINDOW_FLOOR_CALLS, WINDOW_CUT_FACTOR
        )  # and a second's
        self.calls: list[Call[Endpoint]] = []
        self.routes, self.reported_limit = (
            0,
            0.0,
        )  # endpoints listed that share it, and the limit that reports tell
        self.opens_at, self.consecutive_refusals, self.last_refusal_at = 0, 0, -1
        # Calls a second of all while a limit is evident: from the start if it is told and refusals are priced
        told = settings.weights_exact and settings.refused_price > 0 and not self.rate_is_measured
        self.pace: float | None = self.weight if told else None
        self.max_pace = self.weight if told else math.inf
        self.bucket, self.rises_with_time, self.last_rise_at = TokenBucket(token), False, now
        self.gossip_is_partial = (
            settings.replicas > MAX_SENDERS_ALL_TELL
        )  # each hears of some others' work, or of none

    def active_senders(self, age_us: int) -> float:
        """How many forwarders have work here, this one among them, where work has waited so long."""
        return estimate_active_senders(
            self.replicas,
            self.weight,
            max(age_us, int(REPORTED_LIMIT_MIN_AGE_S * SECOND_US)) if self.reported_limit else age_us,
        )

    def next_token_at(self, now: int, crowd: float, heard: bool) -> int:
        """When the pace lets the next call go, shared with the others that have work. Where their refusals
        are heard, time without any lifts it."""
        self.rises_with_time = heard and self.max_pace < math.inf
        if self.rises_with_time and self.pace is not None:
            quiet, gone = (now - self.last_refusal_at) / SECOND_US, (now - self.last_rise_at) / SECOND_US
            risen = self.pace + self.weight * GOSSIP_PACE_RISE_SHARE * (1 + quiet) * gone
            self.pace = min(self.max_pace * GOSSIP_PACE_MAX_FACTOR, risen)
        self.last_rise_at = now
        rate = (self.pace or 0.0) / crowd
        return self.bucket.next_at(now, rate, max(1.0, rate * TOKEN_BURST_S)) if rate else now

    def record_reported_limit(self, limit: float) -> None:
        """An answer told the limit: that is the rate, better than a rough one, and is paced from the start.

        Answers refusals by limits that are known: they cost a wait, and use the limit up at some.
        """
        known = self.reported_limit or self.weight
        limit = min(max(limit, known / REPORT_MAX_FACTOR), known * REPORT_MAX_FACTOR)
        self.reported_limit = self.weight = self.reported_limit + (
            REPORT_SMOOTHING_FACTOR if self.reported_limit else 1.0
        ) * (limit - self.reported_limit)
        self.pace = self.reported_limit if self.pace is None else self.pace

    def record_refusal(
        self, now: int, sent_at: int, wait_us: int, crowd: float, short: bool, rng: Random
    ) -> None:
        """Full: heed a told wait, back off from an untold one, and pace what follows.

        Answers quick rate-limited destinations, which a window does not see; holds against shut ones and full
        queues too. Each refusal in a row shows twice as many others with work, who come again spread over the
        time that they need. It hurts where one refusal was chance: answers lift the pace.
        """
        burst = (
            sent_at <= self.last_refusal_at
        )  # calls that were out together are refused together: one symptom
        self.last_refusal_at = now
        self.consecutive_refusals += not burst
        wait = wait_us or INITIAL_BACKOFF_S * SECOND_US * 2 ** min(self.consecutive_refusals - 1, 3)
        if (
            short and self.consecutive_refusals <= SHORTAGE_REFUSAL_COUNT
        ):  # no connection was left: no limit is evident
            self.opens_at = max(self.opens_at, now + int(wait * (0.5 + rng.random())))
            return
        if not burst:
            self.cut_pace()
        crowd = min(self.replicas, max(crowd, 2 ** min(self.consecutive_refusals, 8)))
        others = (crowd - 1) / (self.pace or self.weight) * SECOND_US
        spread = max(min(wait, INITIAL_BACKOFF_S * SECOND_US * 2) * BACKOFF_JITTER, others) * rng.random()
        self.opens_at = max(self.opens_at, now + int(wait + spread) + 1)
        self.bucket.tokens, self.bucket.filled_at = min(self.bucket.tokens, 1.0), now

    def cut_pace(self) -> None:
        """A limit is evident, and lower than was thought."""
        pace = min(self.weight if self.pace is None else self.pace, self.reported_limit or math.inf)
        fall = (
            REPORT_PACE_CUT_FACTOR
            if self.reported_limit
            else PARTIAL_GOSSIP_PACE_CUT_FACTOR
            if self.gossip_is_partial
            else PACE_CUT_FACTOR
        )
        self.pace = max(
            self.weight
            / (PARTIAL_GOSSIP_PACE_FLOOR_DIVISOR if self.gossip_is_partial else PACE_FLOOR_DIVISOR),
            pace * fall,
        )

    def record_heard_refusal(self, now: int, wait_us: int, rng: Random) -> None:
        """Another's call was refused: one symptom for all, and its wait holds for all; ours come spread."""
        if self.rises_with_time and now - self.last_refusal_at > REFUSAL_BURST_US:
            self.cut_pace()
            self.last_refusal_at = now
        if now + wait_us > self.opens_at:
            self.opens_at = now + wait_us
            self.bucket.tokens, self.bucket.filled_at = min(self.bucket.tokens, rng.random()), self.opens_at

    def record_answer(self) -> None:
        """An answer: the pace rises until no limit is evident."""
        self.consecutive_refusals = 0
        if self.pace is not None and not self.rises_with_time:
            risen = self.pace + self.weight * PACE_RISE_SHARE * min(self.replicas, PACE_RISE_SENDER_COUNT)
            risen = (
                max(risen, self.pace * (1 + PARTIAL_GOSSIP_PACE_RISE_SHARE))
                if self.gossip_is_partial
                else risen
            )
            gone = None if risen > self.weight * PACE_REMOVAL_FACTOR else risen
            self.pace = (
                min(risen, self.reported_limit * REPORT_PACE_MAX_FACTOR)
                if self.reported_limit
                else gone and min(gone, self.max_pace)
            )
