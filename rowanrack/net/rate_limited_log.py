"""Rate limiting for log lines that outsiders can cause at will."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

WARNING_INTERVAL_S = 10.0


class RateLimitedLog:
    """Writes at most one warning per interval; the next one says how many were suppressed.

    This limits the size of the log and the time spent on it when peers misbehave as fast as they can.
    """

    def __init__(self, log: logging.Logger, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._log, self._clock_s = log, clock_s
        self._next_s, self._suppressed = float("-inf"), 0

    def warning(self, text: str, *args: object) -> None:
        """Write the warning, or count it as suppressed."""
        now = self._clock_s()
        if now < self._next_s:
            self._suppressed += 1
            return
        suffix = f" ({self._suppressed} similar lines suppressed)" if self._suppressed else ""
        self._log.warning(text + "%s", *args, suffix)
        self._next_s, self._suppressed = now + WARNING_INTERVAL_S, 0
