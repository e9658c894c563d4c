"""Log lines that outsiders can cause at will, kept rare."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

EVERY_S = 10.0


class RareLog:
    """One warning in so many seconds; the next one says how many were left out.

    Guards the log, and the time that writing it takes, against peers that misbehave as fast as they can.
    """

    def __init__(self, log: logging.Logger, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._log, self._clock_s = log, clock_s
        self._next_s, self._left_out = float("-inf"), 0

    def warning(self, text: str, *args: object) -> None:
        """Write the line, or count it."""
        now = self._clock_s()
        if now < self._next_s:
            self._left_out += 1
            return
        more = f" ({self._left_out} more like it before)" if self._left_out else ""
        self._log.warning(text + "%s", *args, more)
        self._next_s, self._left_out = now + EVERY_S, 0
