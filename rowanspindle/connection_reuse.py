"""How long an idle connection is trusted to live, by kind of destination. No I/O, no choice of servers.

A connection dropped unseen while idle looks like a failing endpoint. The time for which one is trusted falls
with each such failure and grows with answers. Nor is it worth keeping where endpoints run short of
connections: idle ones of many senders fill the table, and whoever comes with a new one is turned away.
"""

from __future__ import annotations

from collections import defaultdict

from rowanspindle.api import Settings
from rowanspindle.gossip import MAX_SENDERS_ALL_TELL

SECOND_US = 1_000_000
REUSE_LEAST = 3.0  # calls expected while an idle connection is trusted: below, it is closed after its answer
GROW = 1.005  # factor of each answer on the time
FALL = 0.7  # and of each connection that was dropped unseen, on the time for which it was idle
LEAST_US = 500_000  # idle time below which a failure is the endpoint's, not the connection's
SHORT_SENDERS = 8  # that keep a connection each fill a table; fewer hardly do
SHORT_US = 60_000_000  # for which connections are taken to be short once a refusal showed it
HEARD_SHORT_US = 10_000_000  # and once another sender told so
SHORT_TIMES = 2.0  # new connections are refused so many times more often than kept ones: no limit does that
BEFORE = 2.0, 0.5  # calls on kept connections, and refusals of them, taken for granted until there are others
FADE = 0.97  # factor of each call on the weight of those before it


class RefusalRate:
    """How often calls are refused, the last few dozen in the main."""

    def __init__(self, calls: float = 0.0, refused: float = 0.0) -> None:
        self.calls, self.refused = calls, refused

    def add(self, refused: bool) -> None:
        """One call more."""
        self.calls = self.calls * FADE + 1
        self.refused = self.refused * FADE + refused

    def share(self) -> float:
        """Refusals a call."""
        return self.refused / max(self.calls, 1.0)


class ConnectionReuse:
    """The trusted idle time of each kind, in microseconds."""

    def __init__(self, settings: Settings) -> None:
        self._most, self._one_call = settings.keepalive_us, settings.streams_per_conn == 1
        self._many = settings.replicas >= SHORT_SENDERS
        self._fleet = settings.replicas > MAX_SENDERS_ALL_TELL  # one each fills any table
        self.idle_limit_us: defaultdict[str, float] = defaultdict(lambda: float(self._most))
        self._new: defaultdict[str, RefusalRate] = defaultdict(RefusalRate)
        self._kept: defaultdict[str, RefusalRate] = defaultdict(lambda: RefusalRate(*BEFORE))
        self._short: dict[str, int] = {}  # kinds whose endpoints run short of connections, and until when

    def record_answer(self, kind: str, new: bool = False) -> None:
        """A connection lived, a new one or one that was kept."""
        self.idle_limit_us[kind] = min(self._most, self.idle_limit_us[kind] * GROW)
        (self._new if new else self._kept)[kind].add(False)

    def record_refusal(self, kind: str, new: bool, now: int) -> bool:
        """A call was turned away with no wait told: whether for want of connections, not for a limit.

        A limit refuses calls on kept connections as often as those on new ones; a full table only the latter.
        """
        (self._new if new else self._kept)[kind].add(True)
        short = self._many and new and self._new[kind].share() > SHORT_TIMES * self._kept[kind].share()
        if short:
            self._short[kind] = now + SHORT_US
        return short

    def record_shortage(self, kind: str, now: int) -> None:
        """Another sender found connections to be short there: believed for a while."""
        self._short[kind] = max(self._short.get(kind, 0), now + HEARD_SHORT_US)

    def record_drop(self, kind: str, idle_us: float | None = None) -> None:
        """A connection was dropped after so long, or one more could not be had."""
        known = self.idle_limit_us[kind] if idle_us is None else min(self.idle_limit_us[kind], idle_us)
        self.idle_limit_us[kind] = max(LEAST_US, known * FALL)

    def is_rarely_reused(self, kind: str, calls_a_second: float, now: int) -> bool:
        """Whether an idle connection there will hardly be used again while it lives.

        Answers endpoints that take few connections, and connections dropped unseen. Where one carries one
        call at a time tables fill from the start; elsewhere failures at endpoints of the kind must show it.
        Who keeps one is never refused for want of one, and learns only by notes that others are: among many
        senders none is kept. It costs handshakes, for nothing where there is room, and after a crash until
        answers regain the trust.
        """
        short = self._fleet or now < self._short.get(kind, 0)
        doubted = self._fleet or self.idle_limit_us[kind] < self._most or self._one_call
        trusted = LEAST_US if short else self.idle_limit_us[kind]
        return doubted and calls_a_second * trusted < REUSE_LEAST * SECOND_US
