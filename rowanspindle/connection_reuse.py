"""The idle time up to which a connection is reused, by kind of destination.

A connection silently dropped while idle looks like a failing endpoint. The idle limit falls with each such
failure and grows with answers. Idle connections are not kept either where endpoints run short of
connections: those of many senders fill the connection table, and new connections are refused. This module
does no I/O and selects no endpoints.
"""

from __future__ import annotations

from collections import defaultdict

from rowanspindle.api import Settings
from rowanspindle.gossip import MAX_SENDERS_ALL_REPORT

SECOND_US = 1_000_000
# A connection is closed after its answer if fewer calls than this are expected within its idle limit.
MIN_EXPECTED_CALLS_COUNT = 3.0
IDLE_LIMIT_GROWTH_FACTOR = 1.005  # applied to the idle limit on each answer
IDLE_LIMIT_CUT_FACTOR = 0.7  # applied to the idle time of a connection that was silently dropped
# After a shorter idle time, a failure is attributed to the endpoint, not the connection.
MIN_IDLE_LIMIT_US = 500_000
SHORTAGE_SENDERS_COUNT = 8  # fewer senders with one connection each rarely fill a connection table
OWN_SHORTAGE_US = 60_000_000  # duration of a shortage of connections that a refusal of an own call showed
REPORTED_SHORTAGE_US = 10_000_000  # duration of a shortage that another sender reported
# Calls on new connections are refused this much more often than those on reused ones only in a shortage of
# connections: a rate limit refuses both alike.
SHORTAGE_REFUSAL_FACTOR = 2.0
INITIAL_REUSED_COUNTS = 2.0, 0.5  # calls on reused connections, and their refusals, assumed at the start
DECAY_FACTOR = 0.97  # weight kept by earlier calls, per new call


class RefusalRate:
    """The refusal rate of calls, dominated by the last few dozen."""

    def __init__(self, calls: float = 0.0, refused: float = 0.0) -> None:
        self.calls, self.refused = calls, refused

    def add(self, refused: bool) -> None:
        """Count one call."""
        self.calls = self.calls * DECAY_FACTOR + 1
        self.refused = self.refused * DECAY_FACTOR + refused

    def per_call(self) -> float:
        """Return the refusals per call."""
        return self.refused / max(self.calls, 1.0)


class ConnectionReuse:
    """The idle limit of connections, by kind of destination."""

    def __init__(self, settings: Settings) -> None:
        self._max_idle_us, self._single_stream = settings.keepalive_us, settings.streams_per_conn == 1
        self._may_fill_tables = settings.replicas >= SHORTAGE_SENDERS_COUNT
        # In a large fleet, one connection per sender fills any connection table.
        self._large_fleet = settings.replicas > MAX_SENDERS_ALL_REPORT
        self.idle_limit_us: defaultdict[str, float] = defaultdict(lambda: float(self._max_idle_us))
        self._new_rates: defaultdict[str, RefusalRate] = defaultdict(RefusalRate)
        self._reused_rates: defaultdict[str, RefusalRate] = defaultdict(
            lambda: RefusalRate(*INITIAL_REUSED_COUNTS)
        )
        self._short_until: dict[str, int] = {}  # kinds with a shortage of connections, and until when

    def record_answer(self, kind: str, new: bool = False) -> None:
        """Record an answer on a new or a reused connection."""
        self.idle_limit_us[kind] = min(self._max_idle_us, self.idle_limit_us[kind] * IDLE_LIMIT_GROWTH_FACTOR)
        (self._new_rates if new else self._reused_rates)[kind].add(False)

    def record_refusal(self, kind: str, new: bool, now: int) -> bool:
        """Record a refusal without a retry-after wait; return whether it shows a shortage of connections.

        A rate limit refuses calls on reused connections as often as those on new ones. A full connection
        table refuses only the latter.
        """
        (self._new_rates if new else self._reused_rates)[kind].add(True)
        short = (
            self._may_fill_tables
            and new
            and self._new_rates[kind].per_call()
            > SHORTAGE_REFUSAL_FACTOR * self._reused_rates[kind].per_call()
        )
        if short:
            self._short_until[kind] = now + OWN_SHORTAGE_US
        return short

    def record_shortage(self, kind: str, now: int) -> None:
        """Record that another sender reported a shortage of connections."""
        self._short_until[kind] = max(self._short_until.get(kind, 0), now + REPORTED_SHORTAGE_US)

    def record_drop(self, kind: str, idle_us: float | None = None) -> None:
        """Record a connection dropped after `idle_us`, or, without it, a failure to open a new one."""
        idle_limit_us = (
            self.idle_limit_us[kind] if idle_us is None else min(self.idle_limit_us[kind], idle_us)
        )
        self.idle_limit_us[kind] = max(MIN_IDLE_LIMIT_US, idle_limit_us * IDLE_LIMIT_CUT_FACTOR)

    def is_rarely_reused(self, kind: str, calls_per_s: float, now: int) -> bool:
        """Return whether an idle connection to this kind is unlikely to be reused within its idle limit.

        This addresses endpoints that accept few connections, and silently dropped connections. With
        one call per connection, connection tables fill from the start; otherwise failures at endpoints of
        the kind must have shown the need. A sender that keeps a connection is never refused for lack of one
        and learns only from notes that others are; so in a large fleet no sender keeps one. The price is
        additional handshakes, which are wasted where tables have room, and after a crash until answers have
        raised the idle limit again.
        """
        short = self._large_fleet or now < self._short_until.get(kind, 0)
        in_doubt = self._large_fleet or self.idle_limit_us[kind] < self._max_idle_us or self._single_stream
        usable_us = MIN_IDLE_LIMIT_US if short else self.idle_limit_us[kind]
        return in_doubt and calls_per_s * usable_us < MIN_EXPECTED_CALLS_COUNT * SECOND_US
