"""The loop's turns: which of the connections that stand ready are served in each, and in which order.

asyncio serves everything that is ready in one turn, so that with hundreds of clients at once a turn takes
hundreds of milliseconds, and partners' answers, confirmations and timers wait for all of it. Here a turn
takes all of our own connections first, then a bounded number of clients' ones, those that have waited longest
first. Clients without a good request yet come by what they have used so far, so that new ones pass those that
send a request by single bytes, and get less than the others once they use more than their share of a full
core.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from enum import IntEnum
from typing import Any, Protocol

CLIENTS = 16  # connections of usual clients, and as many new ones, that are served in a turn
FEW = 4  # new ones while strangers use more than their share

STEP_US = 500  # of time used, by which new ones are told apart

Ready = list[tuple[selectors.SelectorKey, int]]


class ConnectionPriority(IntEnum):
    """Whose connection it is."""

    INTERNAL = 0  # to instances, discovery and the platform; listening ports; the console
    CLIENT = 1
    NEW_CLIENT = 2  # a client without a good request so far


class DelayMonitor(Protocol):
    """What `rowanrack.load.load_shedder.LoadShedder` knows of time."""

    def record_delay(self, now_us: int, late_us: int) -> None:
        """Something ran so late."""

    def pace_us(self, now_us: int) -> int:
        """More than 0 while strangers use more than their share."""


class FairSelector(selectors.EpollSelector):
    """A selector that knows the rank of each connection; one without a rank is ours."""

    def __init__(self) -> None:
        super().__init__()
        self.keeper: DelayMonitor | None = None
        self._ranks: dict[int, ConnectionPriority] = {}
        self._used: dict[int, int] = {}  # by strangers, in steps
        self._since: dict[
            int, float
        ] = {}  # ready connections that were left for a later turn, and since when

    def rank(self, descriptor: int, rank: ConnectionPriority, used_us: float = 0.0) -> None:
        """Set the rank of a connection and what it has used, until it is not watched any more."""
        self._ranks[descriptor] = rank
        self._used[descriptor] = int(used_us) // STEP_US

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Guards a descriptor that comes again for something else against the old one's rank."""
        key = super().unregister(fileobj)
        self._ranks.pop(key.fd, None)
        self._used.pop(key.fd, None)
        self._since.pop(key.fd, None)
        return key

    def select(self, timeout: float | None = None) -> Ready:
        """Those to be served in this turn."""
        ready = super().select(timeout)
        if len(ready) <= FEW and not self._since:
            return ready
        return self._turn(ready, time.monotonic())

    def _turn(self, ready: Ready, now: float) -> Ready:
        ours: Ready = []
        clients: Ready = []
        strangers: Ready = []
        queues = (ours, clients, strangers)
        for item in ready:
            queues[self._ranks.get(item[0].fd, ConnectionPriority.INTERNAL)].append(item)
        since, self._since = self._since, {}
        oldest = self._cut(clients, CLIENTS, since, now)
        pressing = (
            len(strangers) > FEW and self.keeper is not None and self.keeper.pace_us(int(now * 1e6)) > 0
        )
        # While some have had turns and want more, it is strangers who are in each other's way.
        theirs = pressing or any(self._used.get(key.fd) for key, _ in strangers)
        waited = self._cut(strangers, FEW if pressing else CLIENTS, since, now)
        if not theirs:
            oldest = max(oldest, waited)
        if oldest and self.keeper is not None:
            self.keeper.record_delay(int(now * 1e6), int(oldest * 1e6))
        return ours + clients + strangers

    def _cut(self, queue: Ready, most: int, since: dict[int, float], now: float) -> float:
        """Leave in a queue those that are served now; returns for how long one of them has waited, in s."""
        if len(queue) > most:
            queue.sort(key=lambda item: (self._used.get(item[0].fd, 0), since.get(item[0].fd, now)))
            for key, _ in queue[most:]:
                self._since[key.fd] = since.get(key.fd, now)
            del queue[most:]
        return max((now - since.get(key.fd, now) for key, _ in queue), default=0.0)


class FairLoop(asyncio.SelectorEventLoop):
    """asyncio's loop with such turns."""

    def __init__(self) -> None:
        self.turns = FairSelector()
        super().__init__(self.turns)


def fair_selector_of(loop: asyncio.AbstractEventLoop) -> FairSelector | None:
    """The turns of a loop; None for one that takes all as it comes."""
    return loop.turns if isinstance(loop, FairLoop) else None
