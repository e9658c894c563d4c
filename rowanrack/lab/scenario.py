"""Scenarios as typed records: what may stand in their TOML files, and a plain line for what may not."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from rowanrack.lab.partners import Figures
from rowanrack.site_file import Above, Count, Share, Whole, explain, line_of

SCENARIOS = Path(__file__).parent / "scenarios"
SENDER = frozenset({"kill", "lose", "hang", "disk", "clock"})
LINK = frozenset({"cut", "silent", "stall", "slow", "lossy"})
PLACE = frozenset({"down", "shut", "failing", "mute", "drain"})
What = Literal[
    "kill", "lose", "hang", "disk", "clock", "cut", "silent", "stall", "slow", "lossy",
    "down", "shut", "failing", "mute", "drain",
]  # fmt: skip


class ScenarioError(ValueError):
    """The file cannot be used; the text names file, line and key."""


class Table(Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table: a key that is not known is a mistake."""


class Grade(Table, frozen=True):
    """A class of messages; times in milliseconds."""

    name: str
    effect: Literal["retryable", "fragile"]
    share: Above = 1.0
    slo_ms: Count = 2500
    deadline_ms: Count = 8000
    late_worth: Share = 0.4


class Place(Figures, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A partner: its figures, its endpoints NAME-0 and on, and its share of the traffic."""

    name: str
    endpoints: Count = 2
    share: Above = 1.0


class Fault(Table, frozen=True):
    """What happens, when, for how long (0: to the end), and on what; without `on` the seed chooses.

    `by`: seconds ahead for `clock`, milliseconds for `slow`, a chance for `lossy`.
    """

    what: What
    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(ge=0)] = 0.0
    on: str = ""
    by: float = 0.0


GRADES = (Grade(name="album-update", effect="retryable"), Grade(name="print-order", effect="fragile"))


class Scenario(Table, frozen=True):
    """A whole file; `rate` in messages a second from all clients together."""

    seconds: Above
    senders: Count
    rate: Above
    partner: Annotated[list[Place], Meta(min_length=1)]
    grade: Annotated[list[Grade], Meta(min_length=1)] = msgspec.field(default_factory=lambda: list(GRADES))
    fault: list[Fault] = []
    slots: Count = 16
    held: Count = 200
    disk_mb: Above = 4.0
    wave: Count = 4  # senders that start at once
    notes: bool = False
    covered: bool = False  # whether what a sender with an emptied folder took must still end
    spread: Whole = 4  # senders that a client tries, one after the other

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
        raise ScenarioError(explain(str(error), doc, text)) from None
    for steps, what in mistakes(scenario):
        line = line_of(text, steps)
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
        else:
            good, kind = fault.on in senders, "a sender"
        if fault.on and not good:
            found.append(([*at, "on"], f"no such {kind.split()[1]}: {fault.on!r}"))
        if fault.at_s > scenario.seconds:
            found.append(([*at, "at_s"], f"past the end ({scenario.seconds:g} s), not {fault.at_s:g}"))
    if scenario.notes and scenario.senders > 64:
        found.append((["notes"], "not among more than 64 senders"))
    return found
