"""The interface of the decision module: its settings, events and actions.

All times are whole microseconds on the clock of the caller. Nothing in this
file decides anything; an impossible setting raises a ValueError that names it.
"""

from __future__ import annotations

import dataclasses
import math
from dataclasses import dataclass
from enum import Enum

from rowanspindle.notes import Note


class Effect(Enum):
    """What a repeat of a message would do at its destination."""

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
    """What a news item about the list of endpoints holds."""

    DELTA = "delta"
    FULL = "full"
    FAILED = "failed"


class EndpointStatus(Enum):
    """What the list says of an endpoint; nothing about its health."""

    LISTED = "listed"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages: its aim, its worth and what a repeat would do."""

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

    def worth_at(self, late_us: int, halves: bool) -> float:
        """What a message is worth if delivered so long after its aim, as the settings define it."""
        if late_us <= 0:
            return self.worth
        if halves:
            return self.worth * max(self.late_worth, math.exp2(-late_us / self.aim_us))
        return self.worth * (1 - (1 - self.late_worth) * late_us / max(1, self.deadline_us - self.aim_us))


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """A kind of destination: messages in one call, and whether its endpoints are routes apart."""

    batch: int = 1
    apart: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What a forwarder is told at its start."""

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
    weights_exact: bool = False  # the list's rates are the limits themselves, not rough ones
    refused_price: float = 0.0  # points for calls refused above a limit, by first try
    peers: bool = False  # whether forwarders may tell each other something,
    peer_price: float = 0.0  # and points for 256 bytes told to one, by first try
    zone: str = ""  # where this forwarder stands: "" if that is not told,
    zones: int = 1  # among so many
    crossing_price: float = 0.0  # and points for a call to another one, by first try
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
    zone_fees: dict[str, float] = dataclasses.field(default_factory=dict)  # points a message, on routes apart
    reports: tuple[str, ...] = ()  # the fields that a load report in an answer may hold

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
    """A message to be delivered: new, or owed since before a restart, when earlier attempts count."""

    ref: int
    cls: str
    dest: int
    left_us: int
    tenant: str | None = None
    key: str | None = None
    attempts_made: int = 0  # attempts already used; the next one has this number
    may_have_run: bool = False  # whether one of them may have run,
    first_attempt_age_us: int = 0  # and how long ago the first of these was sent
    waited_us: int = 0  # for how long it has been owed, by the process before this one


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt has ended; `message_ended` says that the message has ended with it, or before."""

    ref: int
    attempt_number: int
    target: str
    result: Result
    latency_us: int
    message_ended: bool
    wait_us: int = 0
    left: float | None = None
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint as listed; the weight, if told, is its destination's rough rate in calls a second."""

    target: str
    zone: str
    kind: str
    dest: int
    status: EndpointStatus
    weight: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """News of the list of endpoints."""

    scope: UpdateScope
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The client has taken its message back; nothing more is owed for it."""

    ref: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the forwarder armed is due."""

    token: int


@dataclass(frozen=True, slots=True)
class NoteReceived:
    """A note from another forwarder, by its number; it may come late, twice, or not at all."""

    peer: int
    note: Note


@dataclass(frozen=True, slots=True)
class Outage:
    """What is known of an endpoint that is out or cold; a time may be one of an earlier process."""

    target: str
    began_at: int  # when the outage began,
    back_at: int | None  # and ended, or will; None: that is not known


@dataclass(frozen=True, slots=True)
class OutagesRestored:
    """What the process before this one knew of outages."""

    outages: tuple[Outage, ...]


Event = Accept | Outcome | EndpointListUpdate | Withdrawn | TimerFired | NoteReceived | OutagesRestored


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. Attempts of a message are numbered from 0 in the order of their sends."""

    ref: int
    target: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: undelivered, and the client may safely come again after this time."""

    ref: int
    come_back_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up, with no promise about its effect."""

    ref: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    ref: int
    attempt_number: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the idle connections to an endpoint."""

    target: str


@dataclass(frozen=True, slots=True)
class ArmTimer:
    """Ask for a TimerFired event after this time."""

    after_us: int
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Ask the keeper of the list for changes from now on."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class BroadcastNote:
    """A note to every other forwarder."""

    note: Note


Action = Send | Refuse | Fail | Cancel | Disconnect | ArmTimer | WatchEndpointList | LogLine | BroadcastNote
