"""The shutdown sequence: its phases, and the step due at each time. No I/O; the clock is passed in.

All times count from SIGTERM, since a restart grants a sender a fixed time from there, however late the sender
handles the signal. A sender that is still starting exits at once if it owns no messages yet.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Phase(Enum):
    """The phases of a sender's life."""

    STARTING = "starting"  # no message is owned yet, and no call can be under way
    OPENING = "opening"  # the messages in the journal are owned, and the ports are being opened
    SERVING = "serving"
    STILL_COMING = "still coming"  # SIGTERM has come; new connections still arrive and are served
    DRAINING = "draining"  # the ports are closed, and each connection closes once it is between requests
    FROZEN = "frozen"  # no call begins any more; open ones may settle
    LEFT = "left"  # settled or out of time; messages without a final answer stay in the journal


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
    """Time limits after SIGTERM."""

    still_coming_us: int = 500_000  # new connections keep arriving for up to 0.4 s
    begin_us: int = 2_000_000  # a call that begins later might be cut off
    settle_us: int = 3_200_000  # SIGKILL comes no sooner than 3.7 s after SIGTERM
    leave_us: int = 3_600_000  # the channel log must be closed by then
    log_end_us: int = 1_000_000  # longest time that closing the channel log may take
    look_us: int = 20_000  # interval at which it is checked whether all is settled


class Parts(Protocol):
    """What the sequence controls in the sender."""

    def takes_over(self) -> bool:
        """Return whether the next process of a hot restart takes over all outstanding messages."""

    def drain(self) -> None:
        """Close the clients' ports, and each connection as soon as it is between requests."""

    def freeze(self) -> None:
        """Begin no more calls."""

    def settled(self) -> bool:
        """Return whether there is nothing left to wait for."""


class Shutdown:
    """The shutdown sequence, driven by `tell` and `advance`; no phase is entered a second time."""

    def __init__(self, parts: Parts, now_us: Callable[[], int], limits: Limits = Limits()) -> None:
        self.limits = limits
        self.phase = Phase.STARTING
        self._parts, self._now_us = parts, now_us
        self._told_us: int | None = None

    @property
    def told(self) -> bool:
        """Whether SIGTERM or SIGINT has come."""
        return self._told_us is not None

    def owns(self) -> None:
        """Record that the messages in the journal are owned."""
        self._move(Phase.OPENING)

    def serves(self) -> None:
        """Record that the ports are open."""
        self._move(Phase.SERVING)

    def tell(self) -> None:
        """Handle SIGTERM or SIGINT. Only the first signal counts: a second one changes no time."""
        if self._told_us is not None:
            return
        self._told_us = self._now_us()
        if self.phase is Phase.STARTING:
            self._move(Phase.LEFT)

    def advance(self) -> int:
        """Take the steps that are due; return the microseconds until the next call, or 0 to exit."""
        since_us = self._since_us  # read once: a limit could pass unnoticed between two readings
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
        """Return for how long closing the channel log may be waited for."""
        return max(0, min(self.limits.log_end_us, self.limits.leave_us - self._since_us))

    @property
    def _since_us(self) -> int:
        """Time since SIGTERM; 0 before it."""
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
