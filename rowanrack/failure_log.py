"""Logs what did not go well with messages: calls that did not deliver, and ends without delivery."""

from __future__ import annotations

import logging
from collections.abc import Callable

from rowanrack.core.messages import Attempt, End, Ending, Endpoint, Message, Refusal
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanspindle import Result

log = logging.getLogger(__name__)

MAX_LINES_PER_INTERVAL = 200  # of each kind, so that an outage under full load does not fill the log


class FailureLog:
    """An observer of the exchange that logs failed calls and undelivered messages with their ids."""

    def __init__(self, now_us: Callable[[], int]) -> None:
        self._now_us = now_us
        self._calls = RateLimitedLog(log, max_lines_per_interval=MAX_LINES_PER_INTERVAL)
        self._ends = RateLimitedLog(log, max_lines_per_interval=MAX_LINES_PER_INTERVAL)

    def taken(self, message: Message, left_us: int) -> None:
        """Ignore an accepted message."""

    def refused(self, message: Message | None, refusal: Refusal) -> None:
        """Ignore a message that was not accepted; the metrics count these."""

    def list_changed(self, news: list[Endpoint], gone: list[str]) -> None:
        """Ignore a change of the endpoint list."""

    def began(self, attempt: Attempt) -> None:
        """Ignore a call that is about to be sent."""

    def settled(self, attempt: Attempt, result: Result, wait_us: int) -> None:
        """Log a call that did not deliver its message."""
        if result is Result.OK:
            return
        self._calls.write(
            logging.INFO,
            "message %s: attempt %d at %s ended as %s after %d ms, %s%s",
            attempt.message.id,
            attempt.attempt_number,
            attempt.endpoint.name,
            result.value,
            (self._now_us() - attempt.started_us) // 1000,
            "sent" if attempt.begun else "not sent",
            f", answered {attempt.answer_status}" if attempt.answer_status else "",
        )

    def ended(self, message: Message, end: End) -> None:
        """Log an accepted message that ended without delivery."""
        if end.ending is Ending.DELIVERED:
            return
        self._ends.write(
            logging.INFO,
            "message %s: ended as %s, attempts made: %d, of these may have run: %d",
            message.id,
            end.ending.value,
            message.attempts_made,
            len(message.unsettled),
        )
