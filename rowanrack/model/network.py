"""The network between zones: one-way times with jitter."""

from __future__ import annotations

from random import Random

WITHIN_US = 300.0  # one way inside a zone


class Network:
    """One-way times. Between two zones they spread evenly round their mean by the jitter."""

    def __init__(self, between_us: float, jitter: float, rng: Random) -> None:
        self.between_us, self.jitter, self.rng = between_us, jitter, rng

    def one_way(self, here: str, there: str) -> int:
        """Microseconds from one zone to another, for something that leaves now."""
        mean = WITHIN_US if here == there else self.between_us
        return max(1, int(mean * (1 + self.jitter * (2 * self.rng.random() - 1))))
