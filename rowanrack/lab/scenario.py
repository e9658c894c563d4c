"""Scenario files: the schema of their TOML, and one-line messages for errors in them."""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from rowanrack.lab.partners import PartnerParameters
from rowanrack.site_file import (
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
    UnitFraction,
    explain_validation_error,
    find_line,
)

SCENARIOS = Path(__file__).parent / "scenarios"
SENDER_FAULTS = frozenset({"kill", "lose", "hang", "disk", "clock", "upgrade"})
LINK_FAULTS = frozenset({"cut", "silent", "stall", "slow", "lossy"})
ENDPOINT_FAULTS = frozenset({"down", "shut", "failing", "mute", "drain", "gone"})
DETACH_FAULT = "detach"
FaultKind = Literal[
    "kill", "lose", "hang", "disk", "clock", "upgrade", "cut", "silent", "stall", "slow", "lossy",
    "down", "shut", "failing", "mute", "drain", "gone", "detach",
]  # fmt: skip
Seconds = Annotated[float, Meta(ge=0)]
FLEET_CHANNEL = "fleet"  # the channel of which every sender is a keeper


class ScenarioError(ValueError):
    """The scenario file is invalid; the text names file, line and key."""


class Table(Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Base class of TOML tables; unknown keys are errors."""


class Grade(Table, frozen=True):
    """A message class; times in milliseconds."""

    name: str
    effect: Literal["retryable", "fragile"]
    share: PositiveFloat = 1.0
    slo_ms: PositiveInt = 2500
    deadline_ms: PositiveInt = 8000
    late_worth: UnitFraction = 0.4


class PartnerTable(PartnerParameters, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A partner: its parameters, its number of endpoints, and its share of the traffic."""

    name: str
    endpoints: PositiveInt = 2
    share: PositiveFloat = 1.0


class Fault(Table, frozen=True):
    """A fault: its kind, begin, duration (0: until the end) and target; the seed chooses a missing target.

    `by` is in seconds ahead for `clock`, in seconds from the next process's ready line to the SIGTERM of the
    previous one for `upgrade`, in milliseconds for `slow`, and a probability for `lossy`.
    """

    what: FaultKind
    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(ge=0)] = 0.0
    on: str = ""
    by: float = 0.0


class LayoutTable(Table, frozen=True):
    """A layout announced at sender `on`, or one that the seed chooses; senders in `drop` keep no shards."""

    at_s: Seconds
    drop: list[str] = []
    on: str = ""
    ahead_s: PositiveFloat = 2.0  # from the announcement until the layout takes effect


class ReadTable(Table, frozen=True):
    """Reads of the event log: when, of which partners' channels, as of which times, and at which senders.

    The defaults: `of` is all partners and `fleet`, `as_of_s` is the time of the read, and `at` is a sender
    that the seed chooses among those without a fault.
    """

    at_s: Seconds
    of: list[str] = []
    as_of_s: list[Seconds] = []
    at: list[str] = []
    limit: Annotated[int, Meta(ge=1, le=1000)] = 1000


class Channels(Table, frozen=True):
    """The event log of the channels, at every sender."""

    log: bool = True
    disk_mb: PositiveFloat = 16.0
    shards: Annotated[int, Meta(ge=1, le=4096)] = 64  # of announced layouts
    keepers: Annotated[int, Meta(ge=1, le=16)] = 2
    heard_s: PositiveFloat = 10.0  # by then every sender must know of a detach
    settle_s: PositiveFloat = 60.0  # for the order of events to settle after the run
    layout: list[LayoutTable] = []
    read: list[ReadTable] = []


GRADES = (Grade(name="album-update", effect="retryable"), Grade(name="print-order", effect="fragile"))


class Scenario(Table, frozen=True):
    """A scenario file; `rate` is in messages per second from all clients together."""

    seconds: PositiveFloat
    senders: PositiveInt
    rate: PositiveFloat
    partner: Annotated[list[PartnerTable], Meta(min_length=1)]
    grade: Annotated[list[Grade], Meta(min_length=1)] = msgspec.field(default_factory=lambda: list(GRADES))
    fault: list[Fault] = []
    slots: PositiveInt = 16
    held: PositiveInt = 200
    disk_mb: PositiveFloat = 4.0
    wave: PositiveInt = 4  # senders that start concurrently
    notes: bool = False
    covered: bool = False  # whether messages of a sender that lost its disk are still owed a final answer
    spread: NonNegativeInt = 4  # senders that a client tries in turn
    uneven: Seconds = 0.0  # standard deviation of the logarithm of a sender's share of the messages
    body_bytes: PositiveInt = 1  # largest size of a message's body
    repeated: UnitFraction = 0.0  # share of the accepted messages that are submitted again at once
    contested: UnitFraction = 0.0  # share under whose id another client submits other contents
    channels: Channels | None = None

    @property
    def log(self) -> Channels | None:
        """The settings of the event log, if it is enabled."""
        return self.channels if self.channels is not None and self.channels.log else None

    @property
    def channel_names(self) -> dict[str, str]:
        """The channel of each partner by name, and `fleet`."""
        return {p.name: str(p.dest) for p in self.partner} | {FLEET_CHANNEL: FLEET_CHANNEL}

    @property
    def sender_names(self) -> list[str]:
        """The names of all senders."""
        return [f"s{n}" for n in range(self.senders)]

    @property
    def endpoint_names(self) -> list[str]:
        """The names of all endpoints."""
        return [f"{p.name}-{n}" for p in self.partner for n in range(p.endpoints)]


def read(path: Path) -> Scenario:
    """Read a scenario file. Raises ScenarioError."""
    try:
        text = path.read_text(encoding="utf-8")
        return parse(text)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{path}: not valid UTF-8") from None
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse(text: str) -> Scenario:
    """Parse the text of a scenario. Raises ScenarioError without the name of the file."""
    try:
        doc = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"invalid TOML: {error}") from None
    try:
        scenario = msgspec.convert(doc, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(explain_validation_error(str(error), doc, text)) from None
    for steps, what in find_errors(scenario):
        line = find_line(text, steps)
        raise ScenarioError(f"{f'line {line}: ' if line else ''}{'.'.join(steps)}: {what}")
    return scenario


def find_errors(scenario: Scenario) -> list[tuple[list[str], str]]:
    """Find errors that involve several values; returns each key with a message."""
    found: list[tuple[list[str], str]] = []
    for table in ("partner", "grade"):
        names = [one.name for one in getattr(scenario, table)]
        for n, name in enumerate(names):
            if not name.replace("-", "").isalnum() or name in names[:n]:
                found.append(
                    (
                        [table, str(n), "name"],
                        f"expected a unique name of letters, digits and hyphens, got {name!r}",
                    )
                )
    for n, partner in enumerate(scenario.partner):
        for key in ("wait_ms", "service_ms", "copy_delay_ms", "withdrawn_after_ms"):
            low, high = getattr(partner, key)
            if not 0 <= low <= high:
                found.append((["partner", str(n), key], f"expected the lower value first, got {[low, high]}"))
        if partner.dest in [p.dest for p in scenario.partner[:n]]:
            found.append((["partner", str(n), "dest"], f"{partner.dest} is another partner's"))
    senders, endpoint_names = set(scenario.sender_names), set(scenario.endpoint_names)
    for n, fault in enumerate(scenario.fault):
        at: Any = ["fault", str(n)]
        near, _, far = fault.on.partition(">")
        if fault.what in ENDPOINT_FAULTS:
            good, kind = fault.on in endpoint_names, "an endpoint"
        elif fault.what in LINK_FAULTS and far:
            good, kind = (
                near in senders | {"clients"} and far in senders | endpoint_names | {"discovery"},
                "a link",
            )
        elif fault.what in LINK_FAULTS:
            good, kind = near in senders | endpoint_names, "an end"
        elif fault.what == DETACH_FAULT:
            good, kind = near in senders and far in endpoint_names, "a sender>endpoint"
        else:
            good, kind = fault.on in senders, "a sender"
        if fault.on and not good:
            found.append(([*at, "on"], f"no such {kind.split()[1]}: {fault.on!r}"))
        if fault.at_s > scenario.seconds:
            found.append(
                ([*at, "at_s"], f"after the end of the run ({scenario.seconds:g} s): {fault.at_s:g}")
            )
        if fault.what == DETACH_FAULT and scenario.log is None:
            found.append(([*at, "what"], "needs [channels], or no other sender learns of it"))
    if scenario.channels is not None:
        found += find_channel_errors(scenario, scenario.channels)
    if scenario.notes and scenario.senders > 64:
        found.append((["notes"], "supported for at most 64 senders"))
    return found


def find_channel_errors(scenario: Scenario, channels: Channels) -> list[tuple[list[str], str]]:
    """Find such errors in the table of the event log."""
    found: list[tuple[list[str], str]] = []
    senders = set(scenario.sender_names)
    parts: list[tuple[str, Sequence[LayoutTable | ReadTable]]] = [
        ("layout", channels.layout),
        ("read", channels.read),
    ]
    for part, tables in parts:
        for n, table in enumerate(tables):
            at = ["channels", part, str(n)]
            if table.at_s > scenario.seconds:
                found.append(
                    ([*at, "at_s"], f"after the end of the run ({scenario.seconds:g} s): {table.at_s:g}")
                )
            named = (
                {"drop": table.drop, "on": [table.on] if table.on else []}
                if isinstance(table, LayoutTable)
                else {}
            )
            named |= {"at": table.at} if isinstance(table, ReadTable) else {}
            for key, names in named.items():
                if unknown := [name for name in names if name not in senders]:
                    found.append(([*at, key], f"no such sender: {unknown[0]!r}"))
            if isinstance(table, LayoutTable) and senders <= set(table.drop):
                found.append(([*at, "drop"], "at least one sender must keep shards"))
            if isinstance(table, ReadTable):
                if unknown := [name for name in table.of if name not in scenario.channel_names]:
                    found.append(([*at, "of"], f"no such partner: {unknown[0]!r}"))
                if late := [t for t in table.as_of_s if t > table.at_s]:
                    found.append(([*at, "as_of_s"], f"later than the read at {table.at_s:g} s: {late[0]:g}"))
    return found
