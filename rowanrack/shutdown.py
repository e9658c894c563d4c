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
    ACCEPTING = "accepting"  # SIGTERM has come; new connections still arrive and are served
    DRAINING = "draining"  # the ports are closed, and each connection closes once it is between requests
    FROZEN = "frozen"  # no call begins any more; open ones may settle
    EXITED = "left"  # settled or out of time; messages without a final answer stay in the journal


NEXT_PHASES: dict[Phase, frozenset[Phase]] = {
    Phase.STARTING: frozenset({Phase.OPENING, Phase.EXITED}),
    Phase.OPENING: frozenset({Phase.SERVING}),
    Phase.SERVING: frozenset({Phase.ACCEPTING, Phase.FROZEN}),
    Phase.ACCEPTING: frozenset({Phase.DRAINING}),
    Phase.DRAINING: frozenset({Phase.FROZEN, Phase.EXITED}),
    Phase.FROZEN: frozenset({Phase.EXITED}),
    Phase.EXITED: frozenset(),
}


@dataclass(frozen=True, slots=True)
class ShutdownLimits:
    """Time limits after SIGTERM."""

    accept_until_us: int = 500_000  # new connections keep arriving for up to 0.4 s
    begin_until_us: int = 2_000_000  # a call that begins later might be cut off
    settle_until_us: int = 3_200_000  # SIGKILL comes no sooner than 3.7 s after SIGTERM
    log_close_deadline_us: int = 3_600_000  # the channel log must be closed by then
    max_log_close_us: int = 1_000_000  # longest time that closing the channel log may take
    check_interval_us: int = 20_000  # interval at which it is checked whether all is settled


class ShutdownControl(Protocol):
    """What the sequence controls in the sender."""

    def successor_takes_over(self) -> bool:
        """Return whether the next process of a hot restart takes over all outstanding messages."""

    def drain(self) -> None:
        """Close the clients' ports, and each connection as soon as it is between requests."""

    def freeze(self) -> None:
        """Begin no more calls."""

    def settled(self) -> bool:
        """Return whether there is nothing left to wait for."""


class Shutdown:
    """The shutdown sequence, driven by `request` and `advance`; no phase is entered a second time."""

    def __init__(
        self, control: ShutdownControl, now_us: Callable[[], int], limits: ShutdownLimits = ShutdownLimits()
    ) -> None:
        self.limits = limits
        self.phase = Phase.STARTING
        self._control, self._now_us = control, now_us
        self._requested_at_us: int | None = None

    @property
    def requested(self) -> bool:
        """Whether SIGTERM or SIGINT has come."""
        return self._requested_at_us is not None

    def mark_messages_owned(self) -> None:
        """Record that the messages in the journal are owned."""
        self._enter(Phase.OPENING)

    def mark_ports_open(self) -> None:
        """Record that the ports are open."""
        self._enter(Phase.SERVING)

    def request(self) -> None:
        """Handle SIGTERM or SIGINT. Only the first signal counts: a second one changes no time."""
        if self._requested_at_us is not None:
            return
        self._requested_at_us = self._now_us()
        if self.phase is Phase.STARTING:
            self._enter(Phase.EXITED)

    def advance(self) -> int:
        """Take the steps that are due; return the microseconds until the next call, or 0 to exit."""
        since_us = self._since_us  # read once: a limit could pass unnoticed between two readings
        if self.phase is Phase.SERVING:
            self._start_shutdown()
        if self.phase is Phase.ACCEPTING and since_us >= self.limits.accept_until_us:
            self._enter(Phase.DRAINING)
            self._control.drain()
        if self.phase is Phase.DRAINING and since_us >= self.limits.begin_until_us:
            self._enter(Phase.FROZEN)
            self._control.freeze()
        out_of_time = since_us >= self.limits.settle_until_us
        if self.phase in (Phase.DRAINING, Phase.FROZEN) and (out_of_time or self._control.settled()):
            self._enter(Phase.EXITED)
        if self.phase is Phase.EXITED:
            return 0
        if self.phase is Phase.ACCEPTING:
            return self.limits.accept_until_us - since_us
        return self.limits.check_interval_us

    def log_close_timeout_us(self) -> int:
        """Return for how long closing the channel log may be waited for."""
        return max(0, min(self.limits.max_log_close_us, self.limits.log_close_deadline_us - self._since_us))

    @property
    def _since_us(self) -> int:
        """Time since SIGTERM; 0 before it."""
        return 0 if self._requested_at_us is None else self._now_us() - self._requested_at_us

    def _start_shutdown(self) -> None:
        if not self._control.successor_takes_over():
            self._enter(Phase.ACCEPTING)
            return
        self._enter(Phase.FROZEN)
        self._control.freeze()
        self._control.drain()

    def _enter(self, phase: Phase) -> None:
        if phase not in NEXT_PHASES[self.phase]:
            raise ValueError(f"cannot change from phase {self.phase.value} to {phase.value}")
        self.phase = phase
