"""Timers and time limits for asyncio code: on the timer wheel of the core, or on the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

LATE_READ_RECHECK_US = 50_000  # between checks for input that arrived in time and is read late
MAX_LATE_READ_RECHECKS = 4


class Timer(Protocol):
    """A timer that calls an action once."""

    def cancel(self) -> None:
        """Prevent the timer from firing."""


class After(Protocol):
    """A function that starts a timer: `Exchange.after` on the timer wheel, or `after` on the event loop."""

    def __call__(self, delay_us: int, action: Callable[[], None], /) -> Timer:
        """Call the action after the delay."""


def after(delay_us: int, action: Callable[[], None]) -> Timer:
    """Start a timer on the running event loop; one on the timer wheel would cause a round when it fires."""
    return asyncio.get_running_loop().call_later(delay_us / 1e6, action)


class LoopClock:
    """The clock of the running event loop, and the timer that wakes the core."""

    def __init__(
        self,
        wake: Callable[[], None],
        iteration_ended: Callable[[int, int], None] = lambda now_us, took_us: None,
    ) -> None:
        self._loop, self._wake, self._iteration_ended = asyncio.get_running_loop(), wake, iteration_ended
        self._measuring_iteration = False
        self._handle: asyncio.TimerHandle | None = None
        self._stopped = False

    def now_us(self) -> int:
        """Return the time of the event loop in microseconds."""
        return int(self._loop.time() * 1_000_000)

    def unix_us(self) -> int:
        """Return the Unix time in microseconds."""
        return time.time_ns() // 1000

    def wake_at(self, due_us: int) -> None:
        """Wake the core at that time, unless an earlier wake-up is set."""
        due = due_us / 1_000_000
        if self._stopped:
            return
        if self._handle is not None:
            if self._handle.when() <= due:
                return
            self._handle.cancel()
        self._handle = self._loop.call_at(due, self._fire)

    def stop(self) -> None:
        """Stop waking the core."""
        self._stopped = True
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        self._handle = None
        if not self._measuring_iteration:
            self._measuring_iteration = True
            self._loop.call_soon(self._end_iteration, self.now_us())
        self._wake()

    def _end_iteration(self, began_us: int) -> None:
        """Report how long one loop iteration took: all that was ready with the wake-up has run by now."""
        self._measuring_iteration = False
        now = self.now_us()
        self._iteration_ended(now, now - began_us)


@asynccontextmanager
async def time_limit(
    after: After, limit_us: int, has_arrived: Callable[[], bool] = lambda: False
) -> AsyncIterator[None]:
    """Raise TimeoutError in the block once the limit has passed.

    While `has_arrived` returns true, the data that the block waits for has arrived and is not read yet: the
    event loop is late. The limit is then extended, at most MAX_LATE_READ_RECHECKS times.
    """
    timer: Timer
    async with asyncio.timeout(None) as scope:

        def expire(rechecks: int = MAX_LATE_READ_RECHECKS) -> None:
            nonlocal timer
            if rechecks and has_arrived():
                timer = after(LATE_READ_RECHECK_US, lambda: expire(rechecks - 1))
            else:
                scope.reschedule(0)

        timer = after(limit_us, expire)
        try:
            yield
        finally:
            timer.cancel()


async def pause(after: After, delay_us: int) -> None:
    """Wait for a delay."""
    elapsed = asyncio.Event()
    timer = after(delay_us, elapsed.set)
    try:
        await elapsed.wait()
    finally:
        timer.cancel()
