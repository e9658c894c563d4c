"""The load shedder: decides what to shed from how late the sender runs. No I/O, no clock of its own."""

from __future__ import annotations

import logging
from enum import IntEnum

log = logging.getLogger(__name__)

SPAN_US = 500_000  # delays and processor time are evaluated over windows of this length
# delay of rounds or event-loop iterations from which the time for new clients is reduced
TIGHT_LATE_US = 50_000
HARD_LATE_US = 120_000  # delay at which a final answer could arrive after its client has given up waiting
EASY = 0.5  # a level ends when the delay is below this fraction of its limit
EASY_SPANS = 4  # number of consecutive windows below that before a level ends
STRANGERS_SHARE = (0.1, 0.1, 0.05)  # share of time for clients without a good request, by level
DEBT_US = 20_000  # time that new clients may use beyond their share before the next connection is delayed
PACE_MOST_US = 250_000  # longest delay of a connection
# above level CALM, a client whose incomplete request has cost this much is read only now and then
PIECES_US = 2_000
# event-loop time after which, above level CALM, a client without a complete request is disconnected
STRANGER_MOST_US = 20_000
PENALTY_US = 250_000  # initial delay of the answer to invalid input
# longest such delay: the answer is due 3 s after connecting, and the connection may already be delayed
PENALTY_MOST_US = 1_200_000
PENALTY_RISE = 1.6  # growth per window while new clients exceed their share
PENALTIES = 32  # number of connections that may be delayed for invalid input at once
PENALTIES_MOST = 0.5  # largest share of all connections that may be delayed in this way
REFUSED_RISE = 0.25  # share of new messages refused early, added with each window over the limit
REFUSED_FALL = 0.6  # factor on that share with each window below it
REFUSED_LEAST = 0.05  # a smaller share is set to zero
REFUSE_RETRY_US = 1_000_000  # retry time for a message that is refused early
SHARPEST = 0.95  # a window is judged by this quantile of its delays: one late iteration is no overload


class Level(IntEnum):
    """The level of overload, and what is shed at it."""

    CALM = 0  # nothing is shed
    TIGHT = 1  # invalid and silent clients get less time
    HARD = 2  # a share of new messages is refused as well, depending on the delay


class LoadShedder:
    """Keeps the overload level, evaluated once per window. All times are microseconds on one clock."""

    def __init__(self, now_us: int = 0) -> None:
        self.level = Level.CALM
        self.penalty_us = PENALTY_US
        self.late_us = 0  # delay in the last complete window
        self.share = 0.0  # share of that window used by new clients
        self._began_us = now_us
        self._lates: list[int] = []
        self._spent_us = 0.0
        self._easy = 0
        self._debt_us = 0.0  # time that new clients have used beyond their share
        self._settled_us = now_us  # time up to which the debt has been paid off
        self._paced = False  # whether a connection was delayed in this window
        self.refused_share = 0.0  # share of new messages to refuse
        self._turn = 0.0
        self._level_since = now_us
        self.refused = 0  # messages refused early since the level last was CALM

    def record_delay(self, now_us: int, late_us: int) -> None:
        """Record that a round or an event-loop iteration finished this much after it was due."""
        self._lates.append(max(0, late_us))
        if now_us - self._began_us >= SPAN_US:
            self._end_span(now_us)

    def spent(self, us: float) -> None:
        """Charge processor time to new clients; a negative amount refunds a client that proved good."""
        self._spent_us += us

    def wasted(self, us: float) -> None:
        """Charge the time of a client that left with neither a good request nor an answer to a bad one.

        Only this time counts towards the delay of connections: a client that has just connected may be a
        regular one, and a client with invalid input already pays through its delayed answer.
        """
        self._debt_us += us

    def pace_us(self, now_us: int) -> int:
        """Return for how long to delay the next connection so that new clients keep to their share.

        This protects an overloaded sender against clients that connect and send nothing, or disconnect at
        once: there is no answer to them that could be delayed. 0 means no delay.
        """
        allowed = STRANGERS_SHARE[self.level]
        self._debt_us = max(0.0, self._debt_us - allowed * max(0, now_us - self._settled_us))
        self._settled_us = now_us
        if self.level is Level.CALM or self._debt_us <= DEBT_US:
            return 0
        self._paced = True
        return min(PACE_MOST_US, int((self._debt_us - DEBT_US) / allowed) + 1)

    def in_pieces(self, us: float) -> bool:
        """Return whether, under overload, a client's request has cost enough to be read only now and then."""
        return self.level is not Level.CALM and us > PIECES_US

    def used_up(self, us: float) -> bool:
        """Return whether, under overload, a client has used too much time without a complete request."""
        return self.level is not Level.CALM and us > STRANGER_MOST_US

    def refuses(self) -> int:
        """Return the retry time with which to refuse a new message early, or 0 to accept it."""
        # The accumulator spreads refusals evenly: any few consecutive messages are refused at the same share.
        self._turn += self.refused_share
        if self._turn < 1.0:
            return 0
        self._turn -= 1.0
        self.refused += 1
        return REFUSE_RETRY_US

    def _end_span(self, now_us: int) -> None:
        lates, passed = sorted(self._lates), now_us - self._began_us
        # If a window lasted far beyond its length, nothing ran to end it: the window itself was late.
        late = max(lates[int((len(lates) - 1) * SHARPEST)], passed - 3 * SPAN_US)
        self.late_us, self.share = late, max(0.0, self._spent_us) / passed
        self._began_us, self._lates, self._spent_us = now_us, [], 0.0
        wanted = Level.HARD if late >= HARD_LATE_US else Level.TIGHT if late >= TIGHT_LATE_US else Level.CALM
        eased = (
            Level.HARD
            if late >= HARD_LATE_US * EASY
            else (Level.TIGHT if late >= TIGHT_LATE_US * EASY else Level.CALM)
        )
        if wanted > self.level:
            self._move(wanted, now_us)
        elif (
            eased < self.level and not self.refused_share and not (self._paced and self.level is Level.TIGHT)
        ):
            # While new clients press against their share, the sender keeps up only because they are limited.
            self._easy += 1
            if self._easy >= EASY_SPANS:
                self._move(Level(self.level - 1), now_us)
        else:
            self._easy = 0
        self._paced = False
        self._set_refused(late)
        self._set_penalty()

    def penalties(self, connections: int) -> int:
        """Return how many of this number of connections may be delayed at once; longer delays allow more."""
        most = max(PENALTIES, int(connections * PENALTIES_MOST))
        grown = (self.penalty_us - PENALTY_US) / (PENALTY_MOST_US - PENALTY_US)
        return PENALTIES + int((most - PENALTIES) * min(1.0, 4 * grown))

    def _set_refused(self, late_us: int) -> None:
        """Adjust the refused share so that accepted messages are answered in time, without oscillation."""
        if late_us >= HARD_LATE_US:
            self.refused_share = min(1.0, self.refused_share + REFUSED_RISE)
        elif late_us < HARD_LATE_US * EASY:
            self.refused_share *= REFUSED_FALL
            if self.refused_share < REFUSED_LEAST:
                self.refused_share = self._turn = 0.0

    def _set_penalty(self) -> None:
        """Adjust the delay for invalid input, which limits how often a returning client can cost time."""
        allowed = STRANGERS_SHARE[self.level]
        if self.share > allowed:
            self.penalty_us = min(PENALTY_MOST_US, int(self.penalty_us * PENALTY_RISE))
        elif self.share < allowed * EASY:
            self.penalty_us = max(PENALTY_US, int(self.penalty_us / PENALTY_RISE))

    def _move(self, level: Level, now_us: int) -> None:
        """Change the level; log one line when overload begins and one when it ends."""
        if self.level is Level.CALM:
            log.warning(
                "the core is full: rounds are %d ms late, strangers use %d%% of the time",
                self.late_us // 1000,
                round(self.share * 100),
            )
            self._level_since = now_us
        elif level is Level.CALM:
            log.warning(
                "the core has room again after %.1f s, %d messages were refused early",
                (now_us - self._level_since) / 1e6,
                self.refused,
            )
            self.refused = 0
        self.level, self._easy = level, 0
