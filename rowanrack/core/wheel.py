"""The timer wheel: all timers of the sender, rounded up to ticks."""

from __future__ import annotations

import heapq
import logging
from collections.abc import Callable

log = logging.getLogger(__name__)


class WheelTimer:
    """One timer on the wheel; a cancelled one is removed when its tick is reached."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Keep the timer from firing."""
        self.action = None


class TimerWheel:
    """Timers grouped by tick. Only ticks in use take memory; a heap finds the next one."""

    def __init__(self, tick_us: int, now_us: int) -> None:
        if tick_us < 1:
            raise ValueError("tick_us: must be 1 or more")
        self.tick_us = tick_us
        self._slots: dict[int, list[WheelTimer]] = {}
        self._tick_heap: list[int] = []
        self._last_tick = now_us // tick_us

    def at(self, due_us: int, action: Callable[[], None]) -> WheelTimer:
        """Call `action` at the first tick at or after that time, but never at a tick that has passed."""
        tick = max(-(-due_us // self.tick_us), self._last_tick + 1)
        timer = WheelTimer(action)
        if tick not in self._slots:
            self._slots[tick] = []
            heapq.heappush(self._tick_heap, tick)
        self._slots[tick].append(timer)
        return timer

    def advance(self, now_us: int) -> None:
        """Fire all due timers in the order of their ticks."""
        self._last_tick = max(self._last_tick, now_us // self.tick_us)
        while self._tick_heap and self._tick_heap[0] <= self._last_tick:
            for timer in self._slots.pop(heapq.heappop(self._tick_heap)):
                if timer.action is None:
                    continue
                try:
                    timer.action()
                except Exception:
                    # A failing timer must not stop the other timers or the wheel's next wake-up.
                    log.exception("a timer failed")

    def next_at(self) -> int | None:
        """Return when the next tick with an active timer is due, or None."""
        while self._tick_heap:
            if any(t.action is not None for t in self._slots[self._tick_heap[0]]):
                return self._tick_heap[0] * self.tick_us
            del self._slots[heapq.heappop(self._tick_heap)]
        return None
