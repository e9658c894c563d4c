"""Virtual time: what happens next, in one order whatever the machine."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from rowanrack.core.wheel import WheelTimer

SECOND_US = 1_000_000


class RunawayError(Exception):
    """A run has made more steps than its bound: something goes round for ever."""


class Engine:
    """The clock of one run. Ties go by the order in which things were asked for."""

    def __init__(self, most_steps: int) -> None:
        self.now, self.steps, self.most_steps = 0, 0, most_steps
        self._heap: list[tuple[int, int, WheelTimer]] = []
        self._turn = 0

    def at(self, due_us: int, action: Callable[[], None]) -> WheelTimer:
        """Do this at that time, or now if it has passed."""
        timer = WheelTimer(action)
        self._turn += 1
        heappush(self._heap, (max(due_us, self.now), self._turn, timer))
        return timer

    def after(self, delay_us: float, action: Callable[[], None]) -> WheelTimer:
        """Do this after so long."""
        return self.at(self.now + int(delay_us), action)

    def run(self, until_us: int) -> None:
        """Let time pass up to there. Raises RunawayError beyond the bound on steps."""
        heap = self._heap
        while heap and heap[0][0] <= until_us:
            self.now, _, timer = heappop(heap)
            if (action := timer.action) is not None:
                self.steps += 1
                if self.steps > self.most_steps:
                    raise RunawayError(f"over {self.most_steps} steps by {self.now / SECOND_US:.3f} s")
                action()
        self.now = until_us


def chance(seed: int, *names: object) -> Random:
    """A stream of random numbers of its own for each name: what one part draws moves no other part.

    That is what makes runs of two versions comparable: both meet the same traffic and the same troubles.
    """
    text = "/".join(map(str, (seed, *names))).encode()
    return Random(int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big"))
