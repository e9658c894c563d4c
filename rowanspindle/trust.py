"""How long an idle connection is trusted to live, by kind of destination. No I/O, no choice of servers.

A connection dropped unseen while idle looks like a failing endpoint. The time for which one is trusted falls
with each such failure and grows with answers.
"""

from __future__ import annotations

from collections import defaultdict

from rowanspindle.api import Settings

SECOND = 1_000_000
REUSE_LEAST = 3.0  # calls expected while an idle connection is trusted: below, it is closed after its answer
GROW = 1.005  # factor of each answer on the time
FALL = 0.7  # and of each connection that was dropped unseen, on the time for which it was idle
LEAST_US = 500_000  # idle time below which a failure is the endpoint's, not the connection's


class Trust:
    """The trusted idle time of each kind, in microseconds."""

    def __init__(self, settings: Settings) -> None:
        self._most, self._one_call = settings.keepalive_us, settings.streams_per_conn == 1
        self.us: defaultdict[str, float] = defaultdict(lambda: float(self._most))

    def answered(self, kind: str) -> None:
        """A connection lived."""
        self.us[kind] = min(self._most, self.us[kind] * GROW)

    def dropped(self, kind: str, idle_us: float | None = None) -> None:
        """A connection was dropped after so long, or one more could not be had."""
        known = self.us[kind] if idle_us is None else min(self.us[kind], idle_us)
        self.us[kind] = max(LEAST_US, known * FALL)

    def too_rare(self, kind: str, calls_a_second: float) -> bool:
        """Whether an idle connection there will hardly be used again while it lives.

        Answers endpoints that take few connections, and connections dropped unseen. Where one carries one
        call at a time tables fill from the start; elsewhere failures at endpoints of the kind must show it.
        It costs handshakes, for nothing after a crash, until answers regain the trust.
        """
        doubted = self.us[kind] < self._most or self._one_call
        return doubted and calls_a_second * self.us[kind] < REUSE_LEAST * SECOND
