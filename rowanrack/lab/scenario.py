"""Scenarios as typed records: what may stand in their TOML files, and a plain line for what may not."""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from rowanrack.lab.partners import Figures
from rowanrack.site_file import (
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
    UnitFraction,
    explain_validation_error,
    find_line,
)

SCENARIOS = Path(__file__).parent / "scenarios"
SENDER = frozenset({"kill", "lose", "hang", "disk", "clock"})
LINK = frozenset({"cut", "silent", "stall", "slow", "lossy"})
PLACE = frozenset({"down", "shut", "failing", "mute", "drain", "gone"})
DETACH = "detach"
What = Literal[
    "kill", "lose", "hang", "disk", "clock", "cut", "silent", "stall", "slow", "lossy",
    "down", "shut", "failing", "mute", "drain", "gone", "detach",
]  # fmt: skip
Seconds = Annotated[float, Meta(ge=0)]
FLEET = "fleet"  # the channel that all senders keep


class ScenarioError(ValueError):
    """The file cannot be used; the text names file, line and key."""


class Table(Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table: a key that is not known is a mistake."""


class Grade(Table, frozen=True):
    """A class of messages; times in milliseconds."""

    name: str
    effect: Literal["retryable", "fragile"]
    share: PositiveFloat = 1.0
    slo_ms: PositiveInt = 2500
    deadline_ms: PositiveInt = 8000
    late_worth: UnitFraction = 0.4


class Place(Figures, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A partner: its figures, its endpoints NAME-0 and on, and its share of the traffic."""

    name: str
    endpoints: PositiveInt = 2
    share: PositiveFloat = 1.0


class Fault(Table, frozen=True):
    """What happens, when, for how long (0: to the end), and on what; without `on` the seed chooses.

    `by`: seconds ahead for `clock`, milliseconds for `slow`, a chance for `lossy`.
    """

    what: What
    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(ge=0)] = 0.0
    on: str = ""
    by: float = 0.0


class NewLayout(Table, frozen=True):
    """A layout is announced at a sender (`on`, or the seed chooses): all senders but some keep shards."""

    at_s: Seconds
    drop: list[str] = []
    on: str = ""
    ahead_s: PositiveFloat = 2.0  # from then on it is valid


class Read(Table, frozen=True):
    """Reads of the past: when, of which partners' channels, as of which times of the run, at which senders.

    Without `of` all partners and `fleet`; without `as_of_s` as of the time of reading; without `at` the seed
    chooses one that no fault hits.
    """

    at_s: Seconds
    of: list[str] = []
    as_of_s: list[Seconds] = []
    at: list[str] = []
    limit: Annotated[int, Meta(ge=1, le=1000)] = 1000


class Channels(Table, frozen=True):
    """The channels' log at every sender."""

    log: bool = True
    disk_mb: PositiveFloat = 16.0
    shards: Annotated[int, Meta(ge=1, le=4096)] = 64  # of announced layouts
    keepers: Annotated[int, Meta(ge=1, le=16)] = 2
    heard_s: PositiveFloat = 10.0  # behind which a detach must have been heard of
    settle_s: PositiveFloat = 60.0  # for the order to settle behind the run
    layout: list[NewLayout] = []
    read: list[Read] = []


GRADES = (Grade(name="album-update", effect="retryable"), Grade(name="print-order", effect="fragile"))


class Scenario(Table, frozen=True):
    """A whole file; `rate` in messages a second from all clients together."""

    seconds: PositiveFloat
    senders: PositiveInt
    rate: PositiveFloat
    partner: Annotated[list[Place], Meta(min_length=1)]
    grade: Annotated[list[Grade], Meta(min_length=1)] = msgspec.field(default_factory=lambda: list(GRADES))
    fault: list[Fault] = []
    slots: PositiveInt = 16
    held: PositiveInt = 200
    disk_mb: PositiveFloat = 4.0
    wave: PositiveInt = 4  # senders that start at once
    notes: bool = False
    covered: bool = False  # whether what a sender with an emptied folder took must still end
    spread: NonNegativeInt = 4  # senders that a client tries, one after the other
    uneven: Seconds = 0.0  # deviation of the logarithm of a sender's part of the messages
    channels: Channels | None = None

    @property
    def log(self) -> Channels | None:
        """The log's part, if it is on."""
        return self.channels if self.channels is not None and self.channels.log else None

    @property
    def channel_names(self) -> dict[str, str]:
        """Channels by the partner's name."""
        return {p.name: str(p.dest) for p in self.partner} | {FLEET: FLEET}

    @property
    def sender_names(self) -> list[str]:
        """Of all senders."""
        return [f"s{n}" for n in range(self.senders)]

    @property
    def places(self) -> list[str]:
        """The names of all endpoints."""
        return [f"{p.name}-{n}" for p in self.partner for n in range(p.endpoints)]


def read(path: Path) -> Scenario:
    """A scenario. Raises ScenarioError."""
    try:
        text = path.read_text(encoding="utf-8")
        return parse(text)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{path}: no UTF-8") from None
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse(text: str) -> Scenario:
    """The same from its text. Raises ScenarioError without the file's name."""
    try:
        doc = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"no TOML: {error}") from None
    try:
        scenario = msgspec.convert(doc, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(explain_validation_error(str(error), doc, text)) from None
    for steps, what in mistakes(scenario):
        line = find_line(text, steps)
        raise ScenarioError(f"{f'line {line}: ' if line else ''}{'.'.join(steps)}: {what}")
    return scenario


def mistakes(scenario: Scenario) -> list[tuple[list[str], str]]:
    """What no single value shows: the key, and what is wrong."""
    found: list[tuple[list[str], str]] = []
    for table in ("partner", "grade"):
        names = [one.name for one in getattr(scenario, table)]
        for n, name in enumerate(names):
            if not name.replace("-", "").isalnum() or name in names[:n]:
                found.append(([table, str(n), "name"], f"letters and digits, each once, not {name!r}"))
    for n, partner in enumerate(scenario.partner):
        for key in ("wait_ms", "service_ms"):
            low, high = getattr(partner, key)
            if not 0 <= low <= high:
                found.append((["partner", str(n), key], f"the lower one first, not {[low, high]}"))
        if partner.dest in [p.dest for p in scenario.partner[:n]]:
            found.append((["partner", str(n), "dest"], f"{partner.dest} is another partner's"))
    senders, places = set(scenario.sender_names), set(scenario.places)
    for n, fault in enumerate(scenario.fault):
        at: Any = ["fault", str(n)]
        near, _, far = fault.on.partition(">")
        if fault.what in PLACE:
            good, kind = fault.on in places, "an endpoint"
        elif fault.what in LINK and far:
            good, kind = near in senders | {"clients"} and far in senders | places | {"discovery"}, "a link"
        elif fault.what in LINK:
            good, kind = near in senders | places, "an end"
        elif fault.what == DETACH:
            good, kind = near in senders and far in places, "a sender>endpoint"
        else:
            good, kind = fault.on in senders, "a sender"
        if fault.on and not good:
            found.append(([*at, "on"], f"no such {kind.split()[1]}: {fault.on!r}"))
        if fault.at_s > scenario.seconds:
            found.append(([*at, "at_s"], f"past the end ({scenario.seconds:g} s), not {fault.at_s:g}"))
        if fault.what == DETACH and scenario.log is None:
            found.append(([*at, "what"], "needs [channels]: nobody else would hear of it"))
    if scenario.channels is not None:
        found += channel_mistakes(scenario, scenario.channels)
    if scenario.notes and scenario.senders > 64:
        found.append((["notes"], "not among more than 64 senders"))
    return found


def channel_mistakes(scenario: Scenario, channels: Channels) -> list[tuple[list[str], str]]:
    """The same for the log's part."""
    found: list[tuple[list[str], str]] = []
    senders = set(scenario.sender_names)
    parts: list[tuple[str, Sequence[NewLayout | Read]]] = [
        ("layout", channels.layout),
        ("read", channels.read),
    ]
    for part, ones in parts:
        for n, one in enumerate(ones):
            at = ["channels", part, str(n)]
            if one.at_s > scenario.seconds:
                found.append(([*at, "at_s"], f"past the end ({scenario.seconds:g} s), not {one.at_s:g}"))
            named = {"drop": one.drop, "on": [one.on] if one.on else []} if isinstance(one, NewLayout) else {}
            named |= {"at": one.at} if isinstance(one, Read) else {}
            for key, names in named.items():
                if unknown := [name for name in names if name not in senders]:
                    found.append(([*at, key], f"no such sender: {unknown[0]!r}"))
            if isinstance(one, NewLayout) and senders <= set(one.drop):
                found.append(([*at, "drop"], "somebody must keep what there is"))
            if isinstance(one, Read):
                if unknown := [name for name in one.of if name not in scenario.channel_names]:
                    found.append(([*at, "of"], f"no such partner: {unknown[0]!r}"))
                if late := [t for t in one.as_of_s if t > one.at_s]:
                    found.append(([*at, "as_of_s"], f"not past yet at {one.at_s:g} s: {late[0]:g}"))
    return found
