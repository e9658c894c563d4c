"""Time for asyncio code, from the one timer wheel, or from the loop for what takes no part in the core."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

LATE_US = 50_000  # between looks at what has come in time and is read late
LATE_LOOKS = 4


class Timer(Protocol):
    """What calls an action once."""

    def cancel(self) -> None:
        """The timer will not fire."""


class After(Protocol):
    """`Exchange.after`: a timer on the wheel. Or `after`."""

    def __call__(self, delay_us: int, action: Callable[[], None], /) -> Timer:
        """Call the action once the delay has passed."""


def after(delay_us: int, action: Callable[[], None]) -> Timer:
    """A timer of the running loop's own: one on the wheel costs a round of decisions when it is due."""
    return asyncio.get_running_loop().call_later(delay_us / 1e6, action)


class LoopClock:
    """The clock of the running event loop, and its wake-up call for the core."""

    def __init__(
        self, wake: Callable[[], None], turned: Callable[[int, int], None] = lambda now_us, took_us: None
    ) -> None:
        self._loop, self._wake, self._turned = asyncio.get_running_loop(), wake, turned
        self._turning = False
        self._handle: asyncio.TimerHandle | None = None
        self._stopped = False

    def now_us(self) -> int:
        """Microseconds on the loop's clock."""
        return int(self._loop.time() * 1_000_000)

    def unix_us(self) -> int:
        """Unix time in microseconds."""
        return time.time_ns() // 1000

    def wake_at(self, due_us: int) -> None:
        """Wake the core at that time, unless a sooner wake-up is set."""
        due = due_us / 1_000_000
        if self._stopped:
            return
        if self._handle is not None:
            if self._handle.when() <= due:
                return
            self._handle.cancel()
        self._handle = self._loop.call_at(due, self._fire)

    def stop(self) -> None:
        """Wake the core no more."""
        self._stopped = True
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        self._handle = None
        if not self._turning:
            self._turning = True
            self._loop.call_soon(self._turn_over, self.now_us())
        self._wake()

    def _turn_over(self, began_us: int) -> None:
        """What stood ready beside the wake-up has run: that is how long anything new waits for its turn."""
        self._turning = False
        now = self.now_us()
        self._turned(now, now - began_us)


@asynccontextmanager
async def time_limit(
    after: After, limit_us: int, there: Callable[[], bool] = lambda: False
) -> AsyncIterator[None]:
    """Raise TimeoutError in the block once the limit has passed.

    While `there` says that what the block waits for has come and is only not read yet, it is the loop that is
    late: the limit is then put off, for a bounded time.
    """
    timer: Timer
    async with asyncio.timeout(None) as scope:

        def expire(looks: int = LATE_LOOKS) -> None:
            nonlocal timer
            if looks and there():
                timer = after(LATE_US, lambda: expire(looks - 1))
            else:
                scope.reschedule(0)

        timer = after(limit_us, expire)
        try:
            yield
        finally:
            timer.cancel()


async def pause(after: After, delay_us: int) -> None:
    """Wait for so long."""
    passed = asyncio.Event()
    timer = after(delay_us, passed.set)
    try:
        await passed.wait()
    finally:
        timer.cancel()
