"""The retry-after waits that bind this sender, whichever of its processes was told.

During a hot restart two processes are one sender, and after a restart the next process is the same sender.
Each process publishes the waits that it is told, and obeys those that the others publish.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from rowanspindle import RetryAfterWait
from rowanspindle.retry_after_waits import RetryAfterWaits


class WaitStore(Protocol):
    """Waits that the processes of a sender share. Each process publishes its own."""

    def publish(self, waits: Sequence[RetryAfterWait], now_us: int) -> None:
        """Replace the waits that this process publishes. A failed write is repeated by `flush`."""

    def flush(self, now_us: int) -> None:
        """Repeat the last `publish` if it failed."""

    def received(self) -> Sequence[RetryAfterWait]:
        """Return the waits that other processes have published since the last call, or before the first."""


class UnsharedWaits:
    """A store for a sender that shares its waits with no other process."""

    def publish(self, waits: Sequence[RetryAfterWait], now_us: int) -> None:
        """Ignore the waits."""

    def flush(self, now_us: int) -> None:
        """Do nothing."""

    def received(self) -> Sequence[RetryAfterWait]:
        """Return no waits."""
        return ()


class SharedWaits:
    """The waits in force, of this process and of the others that share its store."""

    def __init__(self, store: WaitStore) -> None:
        self._store = store
        self._waits = RetryAfterWaits()

    def record(self, wait: RetryAfterWait, now_us: int) -> None:
        """Record and publish a wait that this process was told."""
        if self._waits.record(wait, now_us):
            self._store.publish(self._waits.in_force(now_us), now_us)

    def receive(self, now_us: int) -> tuple[RetryAfterWait, ...]:
        """Take over the waits that other processes have published; return those that were not known."""
        received = self._store.received()
        return tuple(wait for wait in received if self._waits.record(wait, now_us))

    def until_us(self, dest: int, endpoint: str) -> int:
        """Return when the last known wait of an endpoint ends; 0 if none is known."""
        return self._waits.until(dest, endpoint)

    def drop_endpoint(self, endpoint: str) -> None:
        """Forget the wait of a single endpoint: another one may reuse its name."""
        self._waits.drop_endpoint(endpoint)

    def in_force(self, now_us: int) -> tuple[RetryAfterWait, ...]:
        """Return the waits that are not over."""
        return self._waits.in_force(now_us)
