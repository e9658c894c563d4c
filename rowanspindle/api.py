"""The interface of the decision module: its settings, events and actions.

All times are whole microseconds on the caller's clock. This module makes no decisions. An invalid setting
raises a ValueError that names the setting.
"""

from __future__ import annotations

import dataclasses
import math
from dataclasses import dataclass
from enum import Enum

from rowanspindle.notes import Note


class Effect(Enum):
    """The effect of delivering a message to its destination more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Result(Enum):
    """How one attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class UpdateScope(Enum):
    """What an update of the endpoint list contains."""

    DELTA = "delta"
    FULL = "full"
    FAILED = "failed"


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list. It says nothing about the endpoint's health."""

    LISTED = "listed"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages: its target delivery time, its value and the effect of a repeated delivery."""

    name: str
    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float
    effect: Effect
    same_zone: bool = False
    key_ttl_us: int = 0
    ordered: bool = False

    def __post_init__(self) -> None:
        for field in ("aim_us", "deadline_us", "worth"):
            if getattr(self, field) <= 0:
                raise ValueError(f"{field} of class {self.name}: must be above 0")
        if not 0 <= self.late_worth <= 1:
            raise ValueError(f"late_worth of class {self.name}: must lie in 0 to 1")
        if self.key_ttl_us < 0:
            raise ValueError(f"key_ttl_us of class {self.name}: must not be negative")

    def value_at(self, late_us: int, halves: bool) -> float:
        """Return the value of a message that is delivered `late_us` after its target time.

        The value is exponential in the lateness if `halves` is set and linear otherwise.
        """
        if late_us <= 0:
            return self.worth
        if halves:
            return self.worth * max(self.late_worth, math.exp2(-late_us / self.aim_us))
        return self.worth * (1 - (1 - self.late_worth) * late_us / max(1, self.deadline_us - self.aim_us))


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination: the batch size of a call, and whether its endpoints have limits of their own."""

    batch: int = 1
    apart: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that a forwarder gets when it starts."""

    classes: dict[str, MessageClass]
    slots: int
    most_held: int
    tenants: dict[str, float]
    kinds: dict[str, DestinationKind]
    replicas: int = 1
    try_limit: int = 12
    second_copies: bool = False
    cancel: bool = True
    on_request: bool = False
    halves: bool = False
    weights_told: bool = True
    weights_exact: bool = False  # the rates in the endpoint list are exact limits, not estimates
    refused_price: float = 0.0  # points for a call refused above a limit
    peers: bool = False  # whether forwarders may send notes to each other
    peer_price: float = 0.0  # points for sending 256 bytes to one forwarder
    zone: str = ""  # the zone of this forwarder; "" if it is unknown
    zones: int = 1  # number of zones
    crossing_price: float = 0.0  # points for a call to another zone
    over_share_worth: float = 1.0
    max_come_back_us: int = 2_000_000
    keepalive_us: int = 5_000_000
    connect_timeout_us: int = 1_000_000
    streams_per_conn: int = 1
    ask_within_us: int = 10_000_000
    answer_slack_us: int = 20_000
    cold_share: float = 0.2
    ramp_us: int = 14_000_000
    fall_us: int = 2_000_000
    overload_factor: float = 2.0
    key_rest_us: int = 0
    # Points per message, by zone, for kinds with `apart`.
    zone_fees: dict[str, float] = dataclasses.field(default_factory=dict)
    reports: tuple[str, ...] = ()  # the fields that a load report in an answer may contain

    def __post_init__(self) -> None:
        for field in (
            "slots",
            "most_held",
            "replicas",
            "try_limit",
            "ramp_us",
            "fall_us",
            "streams_per_conn",
            "keepalive_us",
            "connect_timeout_us",
            "ask_within_us",
        ):
            if getattr(self, field) < 1:
                raise ValueError(f"{field}: must be 1 or more")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must lie above 0, up to 1")
        if self.overload_factor <= 0:
            raise ValueError("overload_factor: must be above 0")
        if self.key_rest_us < 0:
            raise ValueError("key_rest_us: must not be negative")
        if not self.classes:
            raise ValueError("classes: at least one is needed")


@dataclass(frozen=True, slots=True)
class Accept:
    """A message to deliver. It is new, or it was accepted before a restart; then earlier attempts count."""

    ref: int
    cls: str
    dest: int
    time_left_us: int
    tenant: str | None = None
    key: str | None = None
    attempts_made: int = 0  # attempts already made; the next attempt has this number
    may_have_run: bool = False  # whether one of these attempts may have run
    first_attempt_age_us: int = 0  # time since the first attempt that may have run was sent
    waited_us: int = 0  # time for which the previous process held the message


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt. `message_ended`: the message has ended with this attempt or before it."""

    ref: int
    attempt_number: int
    target: str
    result: Result
    latency_us: int
    message_ended: bool
    wait_us: int = 0
    remaining_share: float | None = None
    reported_limit: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list. The weight, if known, estimates the destination's rate in calls/s."""

    target: str
    zone: str
    kind: str
    dest: int
    status: EndpointStatus
    weight: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An update of the endpoint list."""

    scope: UpdateScope
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has withdrawn its message, which needs no final answer any more."""

    ref: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the forwarder armed has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class NoteReceived:
    """A note from another forwarder. Notes may be delayed, duplicated or lost."""

    peer: int
    note: Note


@dataclass(frozen=True, slots=True)
class Outage:
    """What is known of an endpoint in an outage or in slow start. Times may come from an earlier process."""

    target: str
    began_at: int  # when the outage began
    back_at: int | None  # when the outage ended or will end; None if unknown


@dataclass(frozen=True, slots=True)
class OutagesRestored:
    """The outages that the previous process knew of."""

    outages: tuple[Outage, ...]


@dataclass(frozen=True, slots=True)
class RetryAfterWait:
    """A wait that a destination has asked for, or one of its endpoints if they are limited separately."""

    dest: int
    target: str | None  # None: the wait holds for all endpoints of the destination
    until: int  # monotonic time; it may come from another process on this machine

    @property
    def scope(self) -> int | str:
        """What the wait holds for: the number of the destination, or the name of the endpoint."""
        return self.dest if self.target is None else self.target


@dataclass(frozen=True, slots=True)
class RetryAfterWaitsReported:
    """Waits that another process of this sender was told: the previous one, or the other of a hot restart."""

    waits: tuple[RetryAfterWait, ...]


Event = (
    Accept
    | Outcome
    | EndpointListUpdate
    | Withdrawn
    | TimerFired
    | NoteReceived
    | OutagesRestored
    | RetryAfterWaitsReported
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. The attempts of a message are numbered from 0 in sending order."""

    ref: int
    target: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the message was not delivered, and the client may safely retry after `retry_after_us`."""

    ref: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: delivery was given up; the message may or may not have taken effect."""

    ref: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for the answer to one attempt."""

    ref: int
    attempt_number: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the idle connections to an endpoint."""

    target: str


@dataclass(frozen=True, slots=True)
class ArmTimer:
    """Ask for a TimerFired event after `after_us`."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Subscribe to changes of the endpoint list at the discovery service."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operators' log."""

    text: str


@dataclass(frozen=True, slots=True)
class BroadcastNote:
    """Send a note to every other forwarder."""

    note: Note


Action = Send | Refuse | Fail | Cancel | Disconnect | ArmTimer | WatchEndpointList | LogLine | BroadcastNote
