"""Decides which answers may belong to an earlier call of their connection.

HTTP/1.1 matches answers to calls only by their order on the connection. If an endpoint, or a proxy before it,
sends an answer twice and the second copy comes late, that copy would be taken for the answer to the next
call, and every later answer for that of the call after its own. Two properties of a late copy give it away:
it comes within some time of the answer that it repeats, so a connection has to be quiet for that time before
its next call; and it comes sooner than the endpoint can answer that call. Where copies come later than that,
a connection carries one call only. This module does no I/O.
"""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import dataclass

QUIET_US = 50_000  # how long a connection must be quiet between an answer and its next call
LATE_ANSWER_MEMORY_US = (
    600_000_000  # for which connections carry one call after an answer came later than that
)
MIN_SUSPECT_ENDPOINTS = 2  # that sent such answers, for connections to all others to carry one call, too
# The first call on a connection takes a few round trips more, for its setup: a later call may take less time,
# but not this little of it.
PREMATURE_FRACTION = 0.25
MIN_FIRST_ANSWERS = 3  # in a zone, before the shortest of them tells anything
CONFIRMATION_FACTOR = 4  # the wait for a second answer after a premature one, in mean answer times
MIN_CONFIRMATION_US, MAX_CONFIRMATION_US = 200_000, 2_000_000
MEAN_WEIGHT = 0.1  # of the latest answer in the mean answer time
MAX_ENDPOINTS = 4096  # with late answers; those that sent none for longest are forgotten


@dataclass(slots=True)
class AnswerTimes:
    """The answer times of one zone: the mean, and the shortest plausible one."""

    first_answers: int = 0
    shortest_us: float = math.inf
    mean_us: float = 0.0

    def record_first_answer(self, time_us: int) -> None:
        """Record the time of the answer to the first call on a connection."""
        self.first_answers += 1
        self.shortest_us = min(self.shortest_us, PREMATURE_FRACTION * time_us)
        self.mean_us += (MEAN_WEIGHT if self.mean_us else 1.0) * (time_us - self.mean_us)


class AnswerGuard:
    """Knows how late second copies of answers come, by endpoint, and how soon answers come, by zone."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        # When each endpoint last sent an answer that came too late for the quiet time, the latest one last.
        self._late_answers: OrderedDict[str, int] = OrderedDict()
        self._times_by_zone: defaultdict[str, AnswerTimes] = defaultdict(AnswerTimes)

    def allows_reuse(self, endpoint: str) -> bool:
        """Whether a connection to the endpoint may carry another call after its first one."""
        self._drop_old_answers()
        return endpoint not in self._late_answers and len(self._late_answers) < MIN_SUSPECT_ENDPOINTS

    def record_late_answer(self, endpoint: str, delay_us: int) -> None:
        """Record input that came this long after the last answer of its connection and answers no call."""
        if delay_us < QUIET_US:
            return
        self._late_answers[endpoint] = self._now_us()
        self._late_answers.move_to_end(endpoint)
        if len(self._late_answers) > MAX_ENDPOINTS:
            self._late_answers.popitem(last=False)

    def _drop_old_answers(self) -> None:
        oldest_us = self._now_us() - LATE_ANSWER_MEMORY_US
        while self._late_answers and next(iter(self._late_answers.values())) <= oldest_us:
            self._late_answers.popitem(last=False)

    def record_first_answer(self, zone: str, time_us: int) -> None:
        """Record the answer to the first call on a connection, which is certainly the answer to that call."""
        self._times_by_zone[zone].record_first_answer(time_us)

    def record_confirmed_answer(self, zone: str, time_us: int) -> None:
        """Record a premature answer that no other one has followed."""
        times = self._times_by_zone[zone]
        times.shortest_us = min(times.shortest_us, time_us)

    def is_premature(self, zone: str, time_us: int) -> bool:
        """Whether an answer to a later call of its connection came sooner than an endpoint can answer."""
        times = self._times_by_zone[zone]
        return times.first_answers >= MIN_FIRST_ANSWERS and time_us < times.shortest_us

    def confirmation_us(self, zone: str) -> int:
        """Return how long to wait for another answer after a premature one."""
        wait_us = CONFIRMATION_FACTOR * self._times_by_zone[zone].mean_us
        return int(min(MAX_CONFIRMATION_US, max(MIN_CONFIRMATION_US, wait_us)))

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer listed: another one may take over its name."""
        self._late_answers.pop(endpoint, None)

    def endpoint_names(self) -> set[str]:
        """Return the names of the endpoints of which anything is known."""
        return set(self._late_answers)
