"""When the keeper of the list is asked for changes, and again after that has failed. No I/O."""

from __future__ import annotations

from random import Random

from rowanspindle.api import Settings
from rowanspindle.held_messages import NEVER

SECOND_US = 1_000_000
RETRY_S = 1.0  # seconds before a failed watch is asked for again; doubles up to a quarter of ask_within
# Seconds before it at most: spread by a quarter they are 3.5. With 2 s for a call that is lost before or
# behind them, a change is known within the 6 s after which it counts as told, however long ask_within is.
MOST_S = 2.8
LEAST_S = 0.1  # seconds before it in any case, however short the time for asking is
JITTER = 0.25  # part of that by which it is spread


class ListWatch:
    """The watch on the list, as one forwarder asks for it."""

    def __init__(self, settings: Settings) -> None:
        self._most_us = min(MOST_S * SECOND_US, max(LEAST_S * SECOND_US, settings.ask_within_us / 4))
        self._on_request = settings.on_request
        self.next_request_at, self.failures = 0 if settings.on_request else NEVER, 0

    def failed(self, now: int, rng: Random) -> list[str]:
        """The watch failed, or ended: ask again later and later. Returns lines for the log."""
        retry = min(self._most_us, RETRY_S * SECOND_US * 2 ** min(self.failures, 8))
        if self._on_request:
            self.next_request_at = now + int(retry * (1 + JITTER * rng.random()))
        self.failures += 1
        return ["list of endpoints lost; the old one stays"] if self.failures == 1 else []

    def listed(self) -> list[str]:
        """News have come. Returns lines for the log."""
        failures, self.failures = self.failures, 0
        return ["list of endpoints is back"] if failures else []
