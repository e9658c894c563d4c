"""A site's hybrid logical clock: what it stamps, whose stamps it follows, and what it promises.

Source: docs/channels.md. Times are Unix microseconds. A stamp is (at, tick); stamps order as pairs.
"""

from __future__ import annotations

from rowanrack.channels.events import Place
from rowanrack.channels.ports import Time

STEP_US = 500_000  # by which our clock is behind the steady one when it was set back
MOST_AHEAD_US = 60_000_000  # a stamp further ahead of our own time than this does not move our clock


class Hybrid:
    """Stamps that grow, stay behind nothing that was promised, and follow the stamps of others."""

    def __init__(self, time: Time, floor_us: int = 0) -> None:
        """Begin behind a promise of an earlier run (0: there was none)."""
        self._time = time
        self._at, self._tick = floor_us, 0
        self._promised = floor_us
        self._ahead = floor_us, 0  # the last stamp that was ahead of our time when it came
        self._wall, self._wall_now = time.unix_us(), time.now_us()

    def wall(self) -> int:
        """Unix time as this process knows it: it goes on at the steady clock's pace if it is set back."""
        now = self._time.now_us()
        self._wall = max(self._time.unix_us(), self._wall + now - self._wall_now)
        self._wall_now = now
        return self._wall

    def read(self) -> tuple[int, int]:
        """Unix time as the system has it, and as this process knows it: one reading serves a whole batch."""
        now = self._time.unix_us()
        return now, self.wall()

    def stamp(
        self,
        behind: tuple[int, int] = (0, 0),
        noted_us: int | None = None,
        read: tuple[int, int] | None = None,
    ) -> tuple[int, int]:
        """The next stamp: at the time noted (else now), or just behind all before it and the stamp given.

        What was noted before another's event came needs not stand behind it: only stamps ahead of our time
        push it, or all of them once our clock was set back. `read` is a reading not older than `noted_us`.
        """
        now, wall = self.read() if read is None else read
        at = max(now if noted_us is None else noted_us, self._promised + 1)
        stamp = at, 0
        floor = self._ahead if now > wall - STEP_US else (self._at, self._tick)
        if stamp <= floor:
            stamp = floor[0], floor[1] + 1
        if stamp <= behind:
            stamp = behind[0], behind[1] + 1
            if stamp[0] > wall + MOST_AHEAD_US:
                return stamp  # it stands behind what it names, and our clock does not follow
        self._follow(stamp, wall)
        return stamp

    def merged(self, place: Place) -> bool:
        """Another's event came: what is noted from now on comes later. False: too far ahead, not followed."""
        wall, stamp = self.wall(), (place.at, place.tick)
        if place.at > wall + MOST_AHEAD_US:
            return stamp <= (self._at, self._tick)
        self._follow(stamp, wall)
        return True

    def _follow(self, stamp: tuple[int, int], wall: int) -> None:
        if stamp > (self._at, self._tick):
            self._at, self._tick = stamp
        if stamp[0] >= wall and stamp > self._ahead:
            self._ahead = stamp

    def promise(self, before_us: int | None = None) -> int:
        """A time that every later stamp lies behind (at > promise). Each promise is later than the last.

        But what happened at `before_us` is noted and still to be stamped: the promise leaves it its time.
        """
        now = self._time.unix_us()
        if before_us is None:
            self._promised = max(self._promised + 1, now)
        else:
            self._promised = max(self._promised, min(now, before_us - 1))
        return self._promised

    def held_to(self, promised_us: int) -> None:
        """Someone holds a promise in our name (of an earlier life): keep it too."""
        self._promised = max(self._promised, promised_us)
