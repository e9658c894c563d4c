"""The governor: from how late the sender runs to what it sheds. It does no I/O and reads no clock."""

from __future__ import annotations

import logging
from enum import IntEnum

log = logging.getLogger(__name__)

SPAN_US = 500_000  # over which lateness and spending are looked at together
TIGHT_LATE_US = 50_000  # a round or a turn of the loop so late, in most of a span: strangers cost less
HARD_LATE_US = 120_000  # so late: with all its steps an answer would come when its client has given up
EASY = 0.5  # part of these limits below which a level ends
EASY_SPANS = 4  # spans in a row that must be easy before it does
STRANGERS_SHARE = (0.1, 0.1, 0.05)  # of the time that passes, by level: for clients without a good request
DEBT_US = 20_000  # that strangers may be ahead of their share before the next connection waits
PACE_MOST_US = 250_000  # for which it waits at most
PIECES_US = 2_000  # after which what one sends in pieces is read only now and then, in a full core
STRANGER_MOST_US = 20_000  # of the loop's time for one that has not made a whole request, in a full core
PENALTY_US = 250_000  # by which the answer to bad input is late
PENALTY_MOST_US = 1_200_000  # and at most: it is owed within 3 s of connecting, and may have come late itself
PENALTY_RISE = 1.6  # factor a span while strangers use more than their share
PENALTIES = 32  # connections kept waiting so at once
PENALTIES_MOST = 0.5  # part of all connections that may be kept waiting so
REFUSED_RISE = 0.25  # of new messages that are refused early, more with each span that is so late
REFUSED_FALL = 0.6  # factor with each span that is not
REFUSED_LEAST = 0.05  # below which none is
REFUSE_RETRY_US = 1_000_000  # after which a client that is refused early may come again
SHARPEST = 0.95  # quantile of a span that stands for it: a single late turn is no state


class Level(IntEnum):
    """How full the core is, and what is shed."""

    CALM = 0  # nothing
    TIGHT = 1  # time spent on bad and silent clients
    HARD = 2  # new messages too: a share of them, which follows from how late it is


class LoadShedder:
    """Keeps the level, from spans of what it is told. All times are whole microseconds on one clock."""

    def __init__(self, now_us: int = 0) -> None:
        self.level = Level.CALM
        self.penalty_us = PENALTY_US
        self.late_us = 0  # how late the last whole span ran
        self.share = 0.0  # of it that strangers used
        self._began_us = now_us
        self._lates: list[int] = []
        self._spent_us = 0.0
        self._easy = 0
        self._debt_us = 0.0  # that strangers have used beyond their share
        self._settled_us = now_us  # up to when that is reckoned
        self._paced = False  # in this span
        self.refused_share = 0.0  # of new messages
        self._turn = 0.0
        self._level_since = now_us
        self.refused = 0  # messages refused early since the level was last calm

    def record_delay(self, now_us: int, late_us: int) -> None:
        """A round ran, or a turn of the loop ended, later than it was due by so much."""
        self._lates.append(max(0, late_us))
        if now_us - self._began_us >= SPAN_US:
            self._end_span(now_us)

    def spent(self, us: float) -> None:
        """So much time went to a client that has not made a good request; less than 0 once it has."""
        self._spent_us += us

    def wasted(self, us: float) -> None:
        """So much went to a client that is gone without a good request, and without an answer to a bad one.

        Only then: who has just come may be a usual client, and who sent bad input has paid with waiting.
        """
        self._debt_us += us

    def pace_us(self, now_us: int) -> int:
        """For how long the next connection should wait, so that strangers keep to their share; 0 for not.

        Guards a full core against clients that connect and say nothing, or leave at once: no answer to them
        can be made late.
        """
        allowed = STRANGERS_SHARE[self.level]
        self._debt_us = max(0.0, self._debt_us - allowed * max(0, now_us - self._settled_us))
        self._settled_us = now_us
        if self.level is Level.CALM or self._debt_us <= DEBT_US:
            return 0
        self._paced = True
        return min(PACE_MOST_US, int((self._debt_us - DEBT_US) / allowed) + 1)

    def in_pieces(self, us: float) -> bool:
        """Whether one client's request has cost a full core so much that it comes in small pieces."""
        return self.level is not Level.CALM and us > PIECES_US

    def used_up(self, us: float) -> bool:
        """Whether one client has used more of a full core, without a whole request, than any usual one."""
        return self.level is not Level.CALM and us > STRANGER_MOST_US

    def refuses(self) -> int:
        """For how long a new message's client should stay away; 0 when it may be taken."""
        # Each takes its turn, so that of any few messages in a row as many are refused as of all.
        self._turn += self.refused_share
        if self._turn < 1.0:
            return 0
        self._turn -= 1.0
        self.refused += 1
        return REFUSE_RETRY_US

    def _end_span(self, now_us: int) -> None:
        lates, passed = sorted(self._lates), now_us - self._began_us
        # A span that lasted far beyond its end had nobody to end it: it was late itself.
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
            # While strangers press on their share, the core has room only because they are kept to it.
            self._easy += 1
            if self._easy >= EASY_SPANS:
                self._move(Level(self.level - 1), now_us)
        else:
            self._easy = 0
        self._paced = False
        self._set_refused(late)
        self._set_penalty()

    def penalties(self, connections: int) -> int:
        """How many of so many connections may be kept waiting at once: the more, the longer they wait."""
        most = max(PENALTIES, int(connections * PENALTIES_MOST))
        grown = (self.penalty_us - PENALTY_US) / (PENALTY_MOST_US - PENALTY_US)
        return PENALTIES + int((most - PENALTIES) * min(1.0, 4 * grown))

    def _set_refused(self, late_us: int) -> None:
        """As many as must be, so that those who are taken hear it in time: all or none would swing."""
        if late_us >= HARD_LATE_US:
            self.refused_share = min(1.0, self.refused_share + REFUSED_RISE)
        elif late_us < HARD_LATE_US * EASY:
            self.refused_share *= REFUSED_FALL
            if self.refused_share < REFUSED_LEAST:
                self.refused_share = self._turn = 0.0

    def _set_penalty(self) -> None:
        """Strangers that come back at once pay with waiting: their cost follows from how often they may."""
        allowed = STRANGERS_SHARE[self.level]
        if self.share > allowed:
            self.penalty_us = min(PENALTY_MOST_US, int(self.penalty_us * PENALTY_RISE))
        elif self.share < allowed * EASY:
            self.penalty_us = max(PENALTY_US, int(self.penalty_us / PENALTY_RISE))

    def _move(self, level: Level, now_us: int) -> None:
        """One line when the core becomes too full, and one when it is not any more."""
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
