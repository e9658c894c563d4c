"""A site's hybrid logical clock: what it stamps, whose stamps it follows, and what it promises.

Source: docs/channels.md. Times are Unix microseconds. A stamp is (at, tick); stamps order as pairs.
"""

from __future__ import annotations

from rowanrack.channels.events import Place
from rowanrack.channels.ports import Time

MOST_AHEAD_US = 60_000_000  # a stamp further ahead of our own time than this does not move our clock


class Hybrid:
    """Stamps that grow, stay behind nothing that was promised, and follow the stamps of others."""

    def __init__(self, time: Time, floor_us: int = 0) -> None:
        """Begin behind a promise of an earlier run (0: there was none)."""
        self._time = time
        self._at, self._tick = floor_us, 0
        self._promised = floor_us
        self._wall, self._wall_now = time.unix_us(), time.now_us()

    def wall(self) -> int:
        """Unix time as this process knows it: it goes on at the steady clock's pace if it is set back."""
        now = self._time.now_us()
        self._wall = max(self._time.unix_us(), self._wall + now - self._wall_now)
        self._wall_now = now
        return self._wall

    def stamp(self, behind: Place | None = None, noted_us: int | None = None) -> tuple[int, int]:
        """The next stamp: at the time noted (else now), or just behind all before it and the place given."""
        at, tick = self._time.unix_us() if noted_us is None else noted_us, 0
        at = max(at, self._promised + 1)
        if at <= self._at:
            at, tick = self._at, self._tick + 1
        self._at, self._tick = at, tick
        if behind is None or (at, tick) > (behind.at, behind.tick):
            return at, tick
        self.merged(behind)
        if (self._at, self._tick) == (behind.at, behind.tick):
            self._tick += 1
        return behind.at, behind.tick + 1

    def merged(self, place: Place) -> bool:
        """Another's event came: later stamps lie behind it. False: it is too far ahead, and not followed."""
        if (place.at, place.tick) <= (self._at, self._tick):
            return True
        if place.at > self.wall() + MOST_AHEAD_US:
            return False
        self._at, self._tick = place.at, place.tick
        return True

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
