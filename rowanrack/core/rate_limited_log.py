"""Rate limiting for log lines that outsiders can cause at will."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

WARNING_INTERVAL_S = 10.0


class RateLimitedLog:
    """Writes a limited number of lines per interval; the next one says how many were suppressed.

    This limits the size of the log and the time spent on it when peers misbehave as fast as they can.
    """

    def __init__(
        self,
        log: logging.Logger,
        clock_s: Callable[[], float] = time.monotonic,
        max_lines_per_interval: int = 1,
    ) -> None:
        self._log, self._clock_s, self._max_lines = log, clock_s, max_lines_per_interval
        self._interval_end_s, self._remaining_lines, self._suppressed = float("-inf"), 0, 0

    def warning(self, text: str, *args: object) -> None:
        """Write the warning, or count it as suppressed."""
        self.write(logging.WARNING, text, *args)

    def write(self, level: int, text: str, *args: object) -> None:
        """Write the line, or count it as suppressed."""
        now = self._clock_s()
        if now >= self._interval_end_s:
            self._interval_end_s, self._remaining_lines = now + WARNING_INTERVAL_S, self._max_lines
        if not self._remaining_lines:
            self._suppressed += 1
            return
        suffix = f" ({self._suppressed} similar lines suppressed)" if self._suppressed else ""
        self._log.log(level, text + "%s", *args, suffix)
        self._remaining_lines, self._suppressed = self._remaining_lines - 1, 0
