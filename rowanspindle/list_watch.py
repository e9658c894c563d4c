"""The schedule of requests for changes of the endpoint list, with back-off after failures. No I/O."""

from __future__ import annotations

from random import Random

from rowanspindle.api import Settings
from rowanspindle.held_messages import NEVER_US

SECOND_US = 1_000_000
INITIAL_RETRY_S = 1.0  # first back-off after a failed watch; doubles up to a quarter of `ask_within_us`
# The longest back-off, which the jitter extends to 3.5 s. With 2 s for a request that is lost before or after
# it, a change is known within 6 s, after which senders count as informed, however long `ask_within_us` is.
MAX_RETRY_S = 2.8
MIN_RETRY_S = 0.1  # the shortest back-off, however short `ask_within_us` is
JITTER_FRACTION = 0.25  # random part added to the back-off


class ListWatch:
    """One forwarder's watch on the endpoint list."""

    def __init__(self, settings: Settings) -> None:
        self._max_retry_us = min(
            MAX_RETRY_S * SECOND_US, max(MIN_RETRY_S * SECOND_US, settings.ask_within_us / 4)
        )
        self._on_request = settings.on_request
        self.next_request_at, self.consecutive_failures = 0 if settings.on_request else NEVER_US, 0

    def record_failure(self, now: int, rng: Random) -> list[str]:
        """Schedule the next request, with exponential back-off, after the watch has failed or ended.

        Returns lines for the log.
        """
        retry_us = min(
            self._max_retry_us, INITIAL_RETRY_S * SECOND_US * 2 ** min(self.consecutive_failures, 8)
        )
        if self._on_request:
            self.next_request_at = now + int(retry_us * (1 + JITTER_FRACTION * rng.random()))
        self.consecutive_failures += 1
        return (
            ["list of endpoints lost; the last known list stays in use"]
            if self.consecutive_failures == 1
            else []
        )

    def record_update(self) -> list[str]:
        """Reset the back-off after an update of the list. Returns lines for the log."""
        failures, self.consecutive_failures = self.consecutive_failures, 0
        return ["list of endpoints is available again"] if failures else []
