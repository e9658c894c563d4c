"""Fair scheduling of ready connections: which are served in an event loop iteration, and in which order.

asyncio serves everything that is ready in one iteration. With hundreds of clients at once an iteration would
take hundreds of milliseconds, and answers of endpoints, confirmations and timers would wait for all of it.
The selector here returns all internal connections first, then a bounded number of client connections, those
that have waited longest first. New clients (without a good request yet) are ordered by the CPU time that they
have used, so that fresh ones pass those that send a request byte by byte. Fewer of them are served per
iteration once they use more than their share of a full core.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from enum import IntEnum
from typing import Any, Protocol

MAX_CLIENTS_PER_ITERATION = 16  # for clients with a good request and for new clients, each
MAX_NEW_CLIENTS_OVER_SHARE = 4  # while new clients use more than their share

USED_TIME_STEP_US = 500  # new clients are ordered by CPU time used, in steps of this size

ReadyEvents = list[tuple[selectors.SelectorKey, int]]


class ConnectionPriority(IntEnum):
    """Scheduling priority of a connection; the lowest value is served first."""

    INTERNAL = 0  # to endpoints, discovery and the platform; listening sockets; the console
    CLIENT = 1
    NEW_CLIENT = 2  # a client without a good request so far


class DelayMonitor(Protocol):
    """The part of `rowanrack.load.load_shedder.LoadShedder` that deals with delays."""

    def record_delay(self, now_us: int, late_us: int) -> None:
        """Record that something ran this late."""

    def pacing_delay_us(self, now_us: int) -> int:
        """Return more than 0 while new clients use more than their share of the CPU."""


class FairSelector(selectors.EpollSelector):
    """A selector with a priority for each connection; connections without one are internal."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_monitor: DelayMonitor | None = None
        self._priorities: dict[int, ConnectionPriority] = {}
        self._used_steps: dict[int, int] = {}  # by new clients, in steps of USED_TIME_STEP_US
        # The monotonic time since when each deferred connection has been ready.
        self._deferred_since: dict[int, float] = {}

    def set_priority(self, descriptor: int, priority: ConnectionPriority, used_us: float = 0.0) -> None:
        """Set the priority of a connection and the CPU time that it has used, until it is unregistered."""
        self._priorities[descriptor] = priority
        self._used_steps[descriptor] = int(used_us) // USED_TIME_STEP_US

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregister, and forget the priority, so that a reused descriptor does not inherit it."""
        key = super().unregister(fileobj)
        self._priorities.pop(key.fd, None)
        self._used_steps.pop(key.fd, None)
        self._deferred_since.pop(key.fd, None)
        return key

    def select(self, timeout: float | None = None) -> ReadyEvents:
        """Return the events to be handled in this event loop iteration."""
        ready = super().select(timeout)
        if len(ready) <= MAX_NEW_CLIENTS_OVER_SHARE and not self._deferred_since:
            return ready
        return self._select_fairly(ready, time.monotonic())

    def _select_fairly(self, ready: ReadyEvents, now: float) -> ReadyEvents:
        internal: ReadyEvents = []
        clients: ReadyEvents = []
        new_clients: ReadyEvents = []
        queues = (internal, clients, new_clients)
        for item in ready:
            queues[self._priorities.get(item[0].fd, ConnectionPriority.INTERNAL)].append(item)
        deferred_since, self._deferred_since = self._deferred_since, {}
        longest_wait_s = self._trim(clients, MAX_CLIENTS_PER_ITERATION, deferred_since, now)
        over_share = (
            len(new_clients) > MAX_NEW_CLIENTS_OVER_SHARE
            and self.delay_monitor is not None
            and self.delay_monitor.pacing_delay_us(int(now * 1e6)) > 0
        )
        # If some new clients have used CPU time already, new clients delay each other: the core is not late.
        new_clients_compete = over_share or any(self._used_steps.get(key.fd) for key, _ in new_clients)
        new_client_wait_s = self._trim(
            new_clients,
            MAX_NEW_CLIENTS_OVER_SHARE if over_share else MAX_CLIENTS_PER_ITERATION,
            deferred_since,
            now,
        )
        if not new_clients_compete:
            longest_wait_s = max(longest_wait_s, new_client_wait_s)
        if longest_wait_s and self.delay_monitor is not None:
            self.delay_monitor.record_delay(int(now * 1e6), int(longest_wait_s * 1e6))
        return internal + clients + new_clients

    def _trim(self, queue: ReadyEvents, limit: int, deferred_since: dict[int, float], now: float) -> float:
        """Keep in a queue what is served now, defer the rest; return the longest wait of those kept, in s."""
        if len(queue) > limit:
            queue.sort(
                key=lambda item: (self._used_steps.get(item[0].fd, 0), deferred_since.get(item[0].fd, now))
            )
            for key, _ in queue[limit:]:
                self._deferred_since[key.fd] = deferred_since.get(key.fd, now)
            del queue[limit:]
        return max((now - deferred_since.get(key.fd, now) for key, _ in queue), default=0.0)


class FairLoop(asyncio.SelectorEventLoop):
    """asyncio's event loop with a `FairSelector`."""

    def __init__(self) -> None:
        self.fair_selector = FairSelector()
        super().__init__(self.fair_selector)


def fair_selector_of(loop: asyncio.AbstractEventLoop) -> FairSelector | None:
    """Return the fair selector of a loop, or None if the loop has another selector."""
    return loop.fair_selector if isinstance(loop, FairLoop) else None
