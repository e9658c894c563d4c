"""The hybrid logical clock of a site.

A stamp is a pair (at, tick); stamps compare as pairs. Times are Unix microseconds. Design: docs/channels.md.
"""

from __future__ import annotations

from rowanrack.channels.events import Place
from rowanrack.channels.ports import Time

CLOCK_STEP_US = 500_000  # the Unix clock counts as set back if it lags the steady clock by more than this
MAX_LEAD_US = 60_000_000  # a remote stamp further ahead of the local time does not advance this clock


class HybridClock:
    """Issues increasing stamps later than every promised time, and follows the stamps of other sites."""

    def __init__(self, time: Time, floor_us: int = 0) -> None:
        """Create a clock; all stamps are later than `floor_us`, the promise of an earlier run (0: none)."""
        self._time = time
        self._at, self._tick = floor_us, 0
        self._promised = floor_us
        self._last_ahead = floor_us, 0  # the last stamp that was ahead of the local time when it was observed
        self._wall, self._wall_read_at = time.unix_us(), time.now_us()

    def wall(self) -> int:
        """Return a Unix time that never goes back: after a step back, it follows the steady clock."""
        now = self._time.now_us()
        self._wall = max(self._time.unix_us(), self._wall + now - self._wall_read_at)
        self._wall_read_at = now
        return self._wall

    def read(self) -> tuple[int, int]:
        """Return the system's Unix time and `wall()`; one reading serves a whole batch of events."""
        now = self._time.unix_us()
        return now, self.wall()

    def stamp(
        self,
        after: tuple[int, int] = (0, 0),
        event_us: int | None = None,
        reading: tuple[int, int] | None = None,
    ) -> tuple[int, int]:
        """Return the next stamp: at the time of the event (default now), or just after all earlier ones.

        The stamp is later than `after`. An event that happened before a remote one arrived need not be later
        than it: only observed stamps ahead of the local time advance the stamp, or all of them once the clock
        was set back. `reading` is a reading of the clocks not older than `event_us`.
        """
        now, wall = self.read() if reading is None else reading
        at = max(now if event_us is None else event_us, self._promised + 1)
        stamp = at, 0
        floor = self._last_ahead if now > wall - CLOCK_STEP_US else (self._at, self._tick)
        if stamp <= floor:
            stamp = floor[0], floor[1] + 1
        if stamp <= after:
            stamp = after[0], after[1] + 1
            if stamp[0] > wall + MAX_LEAD_US:
                return stamp  # later than the events it refers to, but this clock does not follow
        self._follow(stamp, wall)
        return stamp

    def observe(self, place: Place) -> bool:
        """Let later stamps follow a remote event. Returns False if that is too far ahead to be followed."""
        wall, stamp = self.wall(), (place.at, place.tick)
        if place.at > wall + MAX_LEAD_US:
            return stamp <= (self._at, self._tick)
        self._follow(stamp, wall)
        return True

    def _follow(self, stamp: tuple[int, int], wall: int) -> None:
        if stamp > (self._at, self._tick):
            self._at, self._tick = stamp
        if stamp[0] >= wall and stamp > self._last_ahead:
            self._last_ahead = stamp

    def promise(self, before_us: int | None = None) -> int:
        """Return a time that every later stamp exceeds (at > promise). Promises increase.

        An event that happened at `before_us` and is not stamped yet limits the promise to an earlier time.
        """
        now = self._time.unix_us()
        if before_us is None:
            self._promised = max(self._promised + 1, now)
        else:
            self._promised = max(self._promised, min(now, before_us - 1))
        return self._promised

    def keep_promise(self, promised_us: int) -> None:
        """Keep a promise that another site holds from an earlier incarnation of this site."""
        self._promised = max(self._promised, promised_us)
