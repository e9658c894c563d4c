"""The timer wheel: every timer of the sender, on coarse ticks."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable

log = logging.getLogger(__name__)


class WheelTimer:
    """One timer on the wheel; cancelling it is free, it is dropped when its tick comes."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """The timer will not fire."""
        self.action = None


class TimerWheel:
    """Timers hashed by tick; only ticks in use take memory, and a heap says which comes next."""

    def __init__(self, tick_us: int, now_us: int) -> None:
        if tick_us < 1:
            raise ValueError("tick_us: must be 1 or more")
        self.tick_us = tick_us
        self._slots: dict[int, list[WheelTimer]] = {}
        self._ticks: list[int] = []
        self._done = now_us // tick_us

    def at(self, due_us: int, action: Callable[[], None]) -> WheelTimer:
        """Fire at the first tick at or after that time, and never at a tick already past."""
        tick = max(-(-due_us // self.tick_us), self._done + 1)
        timer = WheelTimer(action)
        if tick not in self._slots:
            self._slots[tick] = []
            heapq.heappush(self._ticks, tick)
        self._slots[tick].append(timer)
        return timer

    def advance(self, now_us: int) -> None:
        """Fire what is due, in the order of ticks."""
        self._done = max(self._done, now_us // self.tick_us)
        while self._ticks and self._ticks[0] <= self._done:
            for timer in self._slots.pop(heapq.heappop(self._ticks)):
                if timer.action is None:
                    continue
                try:
                    timer.action()
                except Exception:
                    # Guards the timers behind it, and the wheel's next wake-up.
                    log.exception("a timer failed")

    def next_at(self) -> int | None:
        """When the next tick in use comes."""
        while self._ticks:
            if any(t.action is not None for t in self._slots[self._ticks[0]]):
                return self._ticks[0] * self.tick_us
            del self._slots[heapq.heappop(self._ticks)]
        return None
