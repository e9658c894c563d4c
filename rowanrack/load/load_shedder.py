"""The load shedder: decides what to shed from how late the sender runs. No I/O, no clock of its own."""

from __future__ import annotations

import logging
from enum import IntEnum

log = logging.getLogger(__name__)

WINDOW_US = 500_000  # delays and processor time are evaluated over windows of this length
# Delay of rounds or event-loop iterations from which the time for new clients is reduced.
ELEVATED_DELAY_US = 50_000
# Delay at which a final answer could arrive after its client has given up waiting.
OVERLOAD_DELAY_US = 120_000
EASE_FACTOR = 0.5  # a level ends when the delay is below this fraction of its limit
EASE_WINDOW_COUNT = 4  # consecutive windows with such a low delay before a level ends
NEW_CLIENT_SHARES = (0.1, 0.1, 0.05)  # share of time for clients without a good request, by level
MAX_DEBT_US = 20_000  # time that new clients may use beyond their share before the next connection is delayed
MAX_PACING_DELAY_US = 250_000  # longest delay of a new connection
# Above level NORMAL, a client whose incomplete request has cost this much is read only now and then.
SLOW_READ_COST_US = 2_000
# Event-loop time after which, above level NORMAL, a client without a complete request is disconnected.
MAX_CLIENT_TIME_US = 20_000
MIN_PENALTY_US = 250_000  # initial delay of the answer to invalid input
# Longest delay of that answer: it is due 3 s after connecting, and the connection may be delayed too.
MAX_PENALTY_US = 1_200_000
PENALTY_GROWTH_FACTOR = 1.6  # growth of that delay per window while new clients exceed their share
MIN_PENALTY_COUNT = 32  # number of connections that may be delayed for invalid input at once
MAX_PENALTY_SHARE = 0.5  # largest share of all connections that may be delayed for invalid input
REFUSED_SHARE_STEP = 0.25  # added to the share of new messages refused early, per overloaded window
REFUSED_SHARE_DECAY_FACTOR = 0.6  # applied to the refused share in each window with a low delay
MIN_REFUSED_SHARE = 0.05  # a smaller refused share is set to zero
EARLY_REFUSAL_RETRY_US = 1_000_000  # retry time for a message that is refused early
DELAY_QUANTILE = 0.95  # a window is judged by this quantile of its delays: one late iteration is no overload


class Level(IntEnum):
    """The level of overload, and what is shed at it."""

    NORMAL = 0  # nothing is shed
    ELEVATED = 1  # invalid and silent clients get less time
    OVERLOADED = 2  # a share of new messages is refused as well, depending on the delay


class LoadShedder:
    """Keeps the overload level, evaluated once per window. All times are microseconds on one clock."""

    def __init__(self, now_us: int = 0) -> None:
        self.level = Level.NORMAL
        self.penalty_us = MIN_PENALTY_US
        self.delay_us = 0  # delay in the last complete window
        self.new_client_share = 0.0  # share of that window used by new clients
        self._window_start_us = now_us
        self._delays: list[int] = []
        self._spent_us = 0.0
        self._eased_window_count = 0
        self._debt_us = 0.0  # time that new clients have used beyond their share
        self._debt_updated_us = now_us  # time up to which the debt has been paid off
        self._paced = False  # whether a connection was delayed in this window
        self.refused_share = 0.0  # share of new messages to refuse
        self._refusal_accumulator = 0.0
        self._level_since = now_us
        self.refused = 0  # messages refused early since the level last was NORMAL

    def record_delay(self, now_us: int, delay_us: int) -> None:
        """Record that a round or an event-loop iteration finished this much after it was due."""
        self._delays.append(max(0, delay_us))
        if now_us - self._window_start_us >= WINDOW_US:
            self._end_window(now_us)

    def charge(self, us: float) -> None:
        """Charge processor time to new clients; a negative amount refunds a client that proved good."""
        self._spent_us += us

    def charge_wasted(self, us: float) -> None:
        """Charge the time of a client that left with neither a good request nor an answer to a bad one.

        Only this time counts towards the delay of connections: a client that has just connected may be a
        regular one, and a client with invalid input already pays through its delayed answer.
        """
        self._debt_us += us

    def pacing_delay_us(self, now_us: int) -> int:
        """Return for how long to delay the next connection so that new clients keep to their share.

        This protects an overloaded sender against clients that connect and send nothing, or disconnect at
        once: there is no answer to them that could be delayed. 0 means no delay.
        """
        allowed = NEW_CLIENT_SHARES[self.level]
        self._debt_us = max(0.0, self._debt_us - allowed * max(0, now_us - self._debt_updated_us))
        self._debt_updated_us = now_us
        if self.level is Level.NORMAL or self._debt_us <= MAX_DEBT_US:
            return 0
        self._paced = True
        return min(MAX_PACING_DELAY_US, int((self._debt_us - MAX_DEBT_US) / allowed) + 1)

    def should_read_slowly(self, us: float) -> bool:
        """Return whether, under overload, a client's request has cost enough to be read only now and then."""
        return self.level is not Level.NORMAL and us > SLOW_READ_COST_US

    def exceeds_client_time(self, us: float) -> bool:
        """Return whether, under overload, a client has used too much time without a complete request."""
        return self.level is not Level.NORMAL and us > MAX_CLIENT_TIME_US

    def early_refusal_us(self) -> int:
        """Return the retry time with which to refuse a new message early, or 0 to accept it."""
        # The accumulator spreads refusals evenly: any few consecutive messages are refused at the same share.
        self._refusal_accumulator += self.refused_share
        if self._refusal_accumulator < 1.0:
            return 0
        self._refusal_accumulator -= 1.0
        self.refused += 1
        return EARLY_REFUSAL_RETRY_US

    def _end_window(self, now_us: int) -> None:
        delays, passed = sorted(self._delays), now_us - self._window_start_us
        # If a window lasted far beyond its length, nothing ran to end it: the window itself was late.
        delay_us = max(delays[int((len(delays) - 1) * DELAY_QUANTILE)], passed - 3 * WINDOW_US)
        self.delay_us, self.new_client_share = delay_us, max(0.0, self._spent_us) / passed
        self._window_start_us, self._delays, self._spent_us = now_us, [], 0.0
        raised_level = (
            Level.OVERLOADED
            if delay_us >= OVERLOAD_DELAY_US
            else Level.ELEVATED
            if delay_us >= ELEVATED_DELAY_US
            else Level.NORMAL
        )
        eased_level = (
            Level.OVERLOADED
            if delay_us >= OVERLOAD_DELAY_US * EASE_FACTOR
            else (Level.ELEVATED if delay_us >= ELEVATED_DELAY_US * EASE_FACTOR else Level.NORMAL)
        )
        if raised_level > self.level:
            self._change_level(raised_level, now_us)
        elif (
            eased_level < self.level
            and not self.refused_share
            and not (self._paced and self.level is Level.ELEVATED)
        ):
            # While new clients press against their share, the sender keeps up only because they are limited.
            self._eased_window_count += 1
            if self._eased_window_count >= EASE_WINDOW_COUNT:
                self._change_level(Level(self.level - 1), now_us)
        else:
            self._eased_window_count = 0
        self._paced = False
        self._adjust_refused_share(delay_us)
        self._adjust_penalty()

    def max_penalized(self, connections: int) -> int:
        """Return how many of this number of connections may be delayed at once; longer delays allow more."""
        max_count = max(MIN_PENALTY_COUNT, int(connections * MAX_PENALTY_SHARE))
        growth = (self.penalty_us - MIN_PENALTY_US) / (MAX_PENALTY_US - MIN_PENALTY_US)
        return MIN_PENALTY_COUNT + int((max_count - MIN_PENALTY_COUNT) * min(1.0, 4 * growth))

    def _adjust_refused_share(self, delay_us: int) -> None:
        """Adjust the refused share so that accepted messages are answered in time, without oscillation."""
        if delay_us >= OVERLOAD_DELAY_US:
            self.refused_share = min(1.0, self.refused_share + REFUSED_SHARE_STEP)
        elif delay_us < OVERLOAD_DELAY_US * EASE_FACTOR:
            self.refused_share *= REFUSED_SHARE_DECAY_FACTOR
            if self.refused_share < MIN_REFUSED_SHARE:
                self.refused_share = self._refusal_accumulator = 0.0

    def _adjust_penalty(self) -> None:
        """Adjust the delay for invalid input, which limits how often a returning client can cost time."""
        allowed = NEW_CLIENT_SHARES[self.level]
        if self.new_client_share > allowed:
            self.penalty_us = min(MAX_PENALTY_US, int(self.penalty_us * PENALTY_GROWTH_FACTOR))
        elif self.new_client_share < allowed * EASE_FACTOR:
            self.penalty_us = max(MIN_PENALTY_US, int(self.penalty_us / PENALTY_GROWTH_FACTOR))

    def _change_level(self, level: Level, now_us: int) -> None:
        """Change the level; log one line when overload begins and one when it ends."""
        if self.level is Level.NORMAL:
            log.warning(
                "overload began: rounds are %d ms late, new clients use %d%% of the time",
                self.delay_us // 1000,
                round(self.new_client_share * 100),
            )
            self._level_since = now_us
        elif level is Level.NORMAL:
            log.warning(
                "overload ended after %.1f s, %d messages were refused early",
                (now_us - self._level_since) / 1e6,
                self.refused,
            )
            self.refused = 0
        self.level, self._eased_window_count = level, 0
