"""The way a sender ends: its phases, and what the sender does on each step. No I/O, and a clock from outside.

A restart gives a sender a time that is counted from SIGTERM: so is everything here, however late the sender
comes to it. A start that is cut short leaves at once if it has owned nothing yet.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Phase(Enum):
    """What a sender is at, from its start to its end."""

    STARTING = "starting"  # nothing is owned yet: a call of ours can't be out
    OPENING = "opening"  # what the journal held is owned, and the ports are being opened
    SERVING = "serving"
    STILL_COMING = "still coming"  # told to end; new connections keep coming, and are served
    DRAINING = "draining"  # the ports are closed, and each connection once it is between requests
    FROZEN = "frozen"  # no call begins any more; what is out may settle
    LEFT = "left"  # settled or out of time: what is still owed is the journal's


NEXT: dict[Phase, frozenset[Phase]] = {
    Phase.STARTING: frozenset({Phase.OPENING, Phase.LEFT}),
    Phase.OPENING: frozenset({Phase.SERVING}),
    Phase.SERVING: frozenset({Phase.STILL_COMING, Phase.FROZEN}),
    Phase.STILL_COMING: frozenset({Phase.DRAINING}),
    Phase.DRAINING: frozenset({Phase.FROZEN, Phase.LEFT}),
    Phase.FROZEN: frozenset({Phase.LEFT}),
    Phase.LEFT: frozenset(),
}


@dataclass(frozen=True, slots=True)
class Limits:
    """Times after SIGTERM, in microseconds."""

    still_coming_us: int = 500_000  # new connections keep coming for up to 0.4 s
    begin_us: int = 2_000_000  # a call that begins later might be cut off
    settle_us: int = 3_200_000  # SIGKILL comes no sooner than 3.7 s
    leave_us: int = 3_600_000  # by which the channels' log must have been let go of,
    log_end_us: int = 1_000_000  # and the most that may take
    look_us: int = 20_000  # between looks at whether all is settled


class Parts(Protocol):
    """What the sequence reaches in the sender."""

    def takes_over(self) -> bool:
        """Whether the next process of a hot restart goes on with all that is owed."""

    def drain(self) -> None:
        """Close the clients' ports, and each connection as soon as it is between requests."""

    def freeze(self) -> None:
        """Begin no call any more."""

    def settled(self) -> bool:
        """Whether nothing is left to wait for."""


class Shutdown:
    """The sequence, moved on by `tell` and `advance`; a phase that has passed doesn't come again."""

    def __init__(self, parts: Parts, now_us: Callable[[], int], limits: Limits = Limits()) -> None:
        self.limits = limits
        self.phase = Phase.STARTING
        self._parts, self._now_us = parts, now_us
        self._told_us: int | None = None

    @property
    def told(self) -> bool:
        """Whether the sender has been told to end."""
        return self._told_us is not None

    def owns(self) -> None:
        """What the journal held is owned from now on."""
        self._move(Phase.OPENING)

    def serves(self) -> None:
        """The ports are open."""
        self._move(Phase.SERVING)

    def tell(self) -> None:
        """SIGTERM or SIGINT has come. Only the first one counts: a second neither hurries nor delays."""
        if self._told_us is not None:
            return
        self._told_us = self._now_us()
        if self.phase is Phase.STARTING:
            self._move(Phase.LEFT)

    def advance(self) -> int:
        """Do what is due; returns for how long to wait until the next call, or 0 once it has left."""
        since_us = self._since_us  # read once: between two readings a limit could pass unseen
        if self.phase is Phase.SERVING:
            self._begin()
        if self.phase is Phase.STILL_COMING and since_us >= self.limits.still_coming_us:
            self._move(Phase.DRAINING)
            self._parts.drain()
        if self.phase is Phase.DRAINING and since_us >= self.limits.begin_us:
            self._move(Phase.FROZEN)
            self._parts.freeze()
        over = since_us >= self.limits.settle_us
        if self.phase in (Phase.DRAINING, Phase.FROZEN) and (over or self._parts.settled()):
            self._move(Phase.LEFT)
        if self.phase is Phase.LEFT:
            return 0
        if self.phase is Phase.STILL_COMING:
            return self.limits.still_coming_us - since_us
        return self.limits.look_us

    def log_end_us(self) -> int:
        """For how long the channels' log may be waited for."""
        return max(0, min(self.limits.log_end_us, self.limits.leave_us - self._since_us))

    @property
    def _since_us(self) -> int:
        """Since SIGTERM; 0 before it."""
        return 0 if self._told_us is None else self._now_us() - self._told_us

    def _begin(self) -> None:
        if not self._parts.takes_over():
            self._move(Phase.STILL_COMING)
            return
        self._move(Phase.FROZEN)
        self._parts.freeze()
        self._parts.drain()

    def _move(self, phase: Phase) -> None:
        if phase not in NEXT[self.phase]:
            raise ValueError(f"{self.phase.value} is not followed by {phase.value}")
        self.phase = phase
