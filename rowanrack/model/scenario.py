"""Scenarios: the fleet, its traffic, and what happens when, as text with a small grammar of its own.

`docs/model.md` describes the language. A mistake is one line: file, line, column and what was expected.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
from lark import Lark, Token, Transformer, UnexpectedInput, UnexpectedToken
from lark.exceptions import VisitError

FOLDER = Path(__file__).parent / "scenarios"
SUFFIX = ".scenario"

GRAMMAR = r"""
start: statement*
?statement: recorded | phase | day | tick | zones | senders | discovery | notes | prices | class_ | member
          | kind | traffic | client | event

recorded: "recorded" STRING+
day: "day" duration
phase: "phase" span
tick: "tick" duration
zones: "zones" NAME+ "apart" duration "jitter" percent
senders: "senders" INT "slots" INT "held" INT ("tries" INT)? uneven?
uneven: "uneven" NUMBER
discovery: "discovery" "late" span
prices: "prices" "refusal" percent
notes: "notes" "within" span "lost" percent
class_: "class" NAME "share" percent "aim" duration "deadline" duration "late-worth" percent repeat
repeat: "repeatable" -> repeatable | "once" -> once
member: "member" NAME "share" percent "quota" rate
kind: "kind" NAME "partners" INT "places" INT ("to" INT)? limit serving*
limit: "limit" "rate" rate ("to" rate)? -> limit_rate
     | "limit" "window" rate ("to" rate)? "in" duration -> limit_window
     | "limit" "headroom" NUMBER "to" NUMBER "least" rate -> headroom
     | "unlimited" -> unlimited
?serving: "told" percent span -> told
        | "refusals" "count" -> counts
        | "answers" span -> answers
        | "spread" percent -> spread
        | "width" INT -> width
        | "queue" INT -> queue
        | "connections" INT -> connections
        | "handshake" duration -> handshake
        | "cold" percent "for" duration -> cold
        | "falls" "at" NUMBER "within" duration -> falls
        | "runs-on" percent -> runs_on
        | "weight" NUMBER -> weight
        | "listed" rate -> listed
        | "listed" "within" percent -> rough
        | "unlisted" -> unlisted
traffic: "traffic" rate flow*
?flow: "load" percent -> load | "zipf" NUMBER -> zipf | "clumps" percent "of" span -> clumps
client: "clients" "again" INT "after" span ("heed" percent)?
event: "at" duration ("for" duration)? what
?what: who state -> strikes
     | who "slow" NUMBER -> slows
     | who "draws" percent -> draws
     | who "allows" percent -> allows
     | "burst" NUMBER -> burst
     | "sender" INT "draws" percent -> hot_sender
     | "sender" INT "dies" -> dies
     | "senders" INT "to" INT "die" -> die
     | "discovery" "down" -> discovery_down
     | "place" INT "of" "partner" INT "drains" -> drains
     | "place" INT "of" "partner" INT "leaves" -> leaves
     | "place" INT "of" "partner" INT "joins" -> joins
who: "place" INT "of" "partner" INT -> place
   | "partner" INT -> partner | "partners" "of" NAME -> partners_of | "all" -> everyone | "zone" NAME -> zone
!state: "silent" | "down" | "failing" | "shut"
span: duration "to" duration
duration: NUMBER unit
!unit: "ms" | "s" | "min"
rate: NUMBER "/s"
percent: NUMBER "%"

STRING: /"[^"\n]*"/
NAME: /[a-z][a-z0-9-]*/
INT: /[0-9]+/
NUMBER: /[0-9]+(\.[0-9]+)?/
COMMENT: /#[^\n]*/
%import common.WS
%ignore WS
%ignore COMMENT
"""


class ScenarioError(Exception):
    """A scenario cannot be used; the text is one line with file, line and column."""


# Times in the records below are microseconds, and shares lie in 0 to 1.


class ClassOf(msgspec.Struct, frozen=True):
    """A class of messages."""

    name: str
    share: float
    aim_us: int
    deadline_us: int
    late_worth: float
    repeatable: bool


class MemberOf(msgspec.Struct, frozen=True):
    """A member: its part of the traffic, and the rate up to which its messages count in full."""

    name: str
    share: float
    quota: float


class KindOf(msgspec.Struct, frozen=True):
    """A kind of partner; figures that are a pair are drawn between both for each partner."""

    name: str
    partners: int
    places: tuple[int, int]
    limit: str
    rate: tuple[float, float]
    window_us: int = 1_000_000
    headroom: tuple[float, float] = (0.0, 0.0)  # times its calls at full load, and `rate` the least; 0: none
    told: float = 0.0
    wait_us: tuple[int, int] = (300_000, 750_000)
    counts_refused: bool = False
    answers_us: tuple[int, int] = (140_000, 240_000)
    spread: float = 0.5
    width: int = 0  # calls that a place serves at once; 0: as many as it needs for 1.4 times its rate
    queue: int = 8
    connections: int = 0
    handshake_us: int = 5_000
    cold_share: float = 0.26
    ramp_us: int = 9_400_000
    overload: float = 1.5
    fall_us: int = 1_500_000
    runs_on: float = 1.0
    weight: float = 1.0
    listed: float = 0.0  # calls a second that the list tells; 0: the limit, or the capacity without one
    rough: float = 0.0  # part of that by which the list may be wrong, up or down
    unlisted: bool = False  # the list tells no rate


class Event(msgspec.Struct, frozen=True):
    """Something that begins, and ends if it lasts."""

    at_us: int
    for_us: int | None
    what: str
    partners: str = ""  # "partner N", "place N of M", "kind NAME", "zone NAME" or "all"
    number: int = 0
    other: int = 0
    size: float = 0.0
    state: str = ""

    def text(self) -> str:
        """For people."""
        who = {"kind": "partners of"}.get(self.partners.partition(" ")[0], "")
        who = f"{who} {self.partners.partition(' ')[2]}" if who else self.partners
        who = "all partners" if who == "all" else who
        match self.what:
            case "strikes":
                return f"{who} {'fails all calls' if self.state == 'failing' else self.state}"
            case "slows":
                return f"{who} {self.size:g} times as slow"
            case "draws":
                return f"{self.size:.0%} of the traffic for {who}"
            case "allows":
                return f"{who} at {self.size:.0%} of the limit"
            case "burst":
                return f"{self.size:g} times the traffic"
            case "hot sender":
                return f"{self.size:.0%} of the traffic to sender {self.number}"
            case "sender dies":
                return f"sender {self.number} dies"
            case "senders die":
                return f"senders {self.number} to {self.other} die"
            case "drains" | "leaves" | "joins":
                return f"place {self.other} of partner {self.number} {self.what}"
            case _:
                return self.what


class Scenario(msgspec.Struct, frozen=True):
    """A whole day."""

    name: str
    day_us: int
    zones: tuple[str, ...]
    apart_us: int
    jitter: float
    senders: int
    slots: int
    held: int
    classes: tuple[ClassOf, ...]
    kinds: tuple[KindOf, ...]
    rate: float
    load: float = 1.0  # the rate as a part of full load, which partners are sized for
    tick_us: int = 5_000
    tries: int = 6
    uneven: float = 0.0  # deviation of the logarithm of what clients hand to a sender
    lag_us: tuple[int, int] = (500_000, 2_000_000)
    notes_us: tuple[int, int] = (0, 0)  # how long a note from one sender to another is under way; 0: none go
    notes_lost: float = 0.0
    refused_price: float = 0.0
    members: tuple[MemberOf, ...] = ()
    zipf: float = 1.0
    clumps: float = 0.0
    clump_us: tuple[int, int] = (1_100_000, 3_100_000)
    again: int = 0
    again_us: tuple[int, int] = (300_000, 2_000_000)
    heed: float = 1.0
    events: tuple[Event, ...] = ()
    phases: tuple[tuple[int, int], ...] = ()  # spans in which the spread of calls is counted
    recorded: tuple[str, ...] = ()  # files whose arrivals take the place of traffic that is drawn


def number(token: Any) -> float:
    """The number that a token holds."""
    return float(token)


class Reader(Transformer[Token, Any]):
    """From the tree to fields of records."""

    def __init__(self) -> None:
        super().__init__(visit_tokens=False)

    def duration(self, parts: list[Any]) -> int:
        """Microseconds."""
        return round(number(parts[0]) * {"ms": 1_000, "s": 1_000_000, "min": 60_000_000}[parts[1]])

    def unit(self, parts: list[Any]) -> str:
        """Its word."""
        return str(parts[0])

    state = unit

    def rate(self, parts: list[Any]) -> float:
        """A number each second."""
        return number(parts[0])

    def percent(self, parts: list[Any]) -> float:
        """A share."""
        return number(parts[0]) / 100

    def span(self, parts: list[Any]) -> tuple[int, int]:
        """Two times, the lesser first. Raises ValueError."""
        if parts[0] > parts[1]:
            raise ValueError("a span's second time is not the longer one")
        return parts[0], parts[1]

    def day(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"day_us": parts[0]}

    def phase(self, parts: list[Any]) -> tuple[int, int]:
        """A span."""
        begins, ends = parts[0]
        return begins, ends

    def tick(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"tick_us": parts[0]}

    def zones(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"zones": tuple(map(str, parts[:-2])), "apart_us": parts[-2], "jitter": parts[-1]}

    def senders(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        names, numbers = ("senders", "slots", "held", "tries"), [p for p in parts if isinstance(p, Token)]
        found: dict[str, Any] = dict(zip(names, map(int, numbers), strict=False))
        return {**found, "uneven": parts[-1]} if len(numbers) < len(parts) else found

    def uneven(self, parts: list[Any]) -> float:
        """A number."""
        return number(parts[0])

    def discovery(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"lag_us": parts[0]}

    def notes(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"notes_us": parts[0], "notes_lost": parts[1]}

    def prices(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"refused_price": parts[0]}

    def repeatable(self, _: list[Any]) -> bool:
        """A repeat does no harm."""
        return True

    def once(self, _: list[Any]) -> bool:
        """It must not take effect twice."""
        return False

    def class_(self, parts: list[Any]) -> ClassOf:
        """A record."""
        return ClassOf(str(parts[0]), *parts[1:])

    def member(self, parts: list[Any]) -> MemberOf:
        """A record."""
        return MemberOf(str(parts[0]), *parts[1:])

    def limit_rate(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"limit": "rate", "rate": (parts[0], parts[-1])}

    def limit_window(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"limit": "window", "rate": (parts[0], parts[-2]), "window_us": parts[-1]}

    def headroom(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        low, high = number(parts[0]), number(parts[1])
        return {"limit": "rate", "rate": (parts[2], parts[2]), "headroom": (low, high)}

    def unlimited(self, _: list[Any]) -> dict[str, Any]:
        """Fields: the list tells its capacity then."""
        return {"limit": "none", "rate": (0.0, 0.0)}

    def told(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"told": parts[0], "wait_us": parts[1]}

    def counts(self, _: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"counts_refused": True}

    def answers(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"answers_us": parts[0]}

    def spread(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"spread": parts[0]}

    def width(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"width": int(parts[0])}

    def queue(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"queue": int(parts[0])}

    def connections(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"connections": int(parts[0])}

    def handshake(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"handshake_us": parts[0]}

    def cold(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"cold_share": parts[0], "ramp_us": parts[1]}

    def falls(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"overload": number(parts[0]), "fall_us": parts[1]}

    def runs_on(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"runs_on": parts[0]}

    def listed(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"listed": parts[0]}

    def rough(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of a kind. Raises ValueError."""
        if parts[0] >= 1:
            raise ValueError("listed within: must be below 100 %")
        return {"rough": parts[0]}

    def recorded(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"recorded": tuple(str(p)[1:-1] for p in parts)}

    def unlisted(self, _: list[Any]) -> dict[str, Any]:
        """Fields of a kind."""
        return {"unlisted": True}

    def weight(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"weight": number(parts[0])}

    def kind(self, parts: list[Any]) -> KindOf:
        """A record."""
        name, partners, *rest = parts
        places = [int(p) for p in rest if isinstance(p, Token)]
        fields: dict[str, Any] = {}
        for more in rest[len(places) :]:
            fields |= more
        return KindOf(str(name), int(partners), (places[0], places[-1]), **fields)

    def traffic(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        fields: dict[str, Any] = {"rate": parts[0]}
        for more in parts[1:]:
            fields |= more
        return fields

    def load(self, parts: list[Any]) -> dict[str, Any]:
        """Fields. Raises ValueError."""
        if parts[0] <= 0:
            raise ValueError("load: must be above 0")
        return {"load": parts[0]}

    def zipf(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"zipf": number(parts[0])}

    def clumps(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"clumps": parts[0], "clump_us": parts[1]}

    def client(self, parts: list[Any]) -> dict[str, Any]:
        """Fields."""
        return {"again": int(parts[0]), "again_us": parts[1], "heed": parts[2] if len(parts) > 2 else 1.0}

    def partner(self, parts: list[Any]) -> str:
        """Which partners."""
        return f"partner {int(parts[0])}"

    def place(self, parts: list[Any]) -> str:
        """Which one."""
        return f"place {int(parts[0])} of {int(parts[1])}"

    def partners_of(self, parts: list[Any]) -> str:
        """Which partners."""
        return f"kind {parts[0]}"

    def everyone(self, _: list[Any]) -> str:
        """Which partners."""
        return "all"

    def zone(self, parts: list[Any]) -> str:
        """Which partners."""
        return f"zone {parts[0]}"

    def strikes(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "strikes", "partners": parts[0], "state": parts[1]}

    def slows(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "slows", "partners": parts[0], "size": number(parts[1])}

    def draws(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "draws", "partners": parts[0], "size": parts[1]}

    def allows(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event. Raises ValueError."""
        if parts[1] <= 0:
            raise ValueError("allows: must be above 0 %")
        return {"what": "allows", "partners": parts[0], "size": parts[1]}

    def burst(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "burst", "size": number(parts[0])}

    def hot_sender(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "hot sender", "number": int(parts[0]), "size": parts[1]}

    def dies(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "sender dies", "number": int(parts[0])}

    def die(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "senders die", "number": int(parts[0]), "other": int(parts[1])}

    def discovery_down(self, _: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "discovery down"}

    def drains(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "drains", "other": int(parts[0]), "number": int(parts[1])}

    def leaves(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "leaves", "other": int(parts[0]), "number": int(parts[1])}

    def joins(self, parts: list[Any]) -> dict[str, Any]:
        """Fields of an event."""
        return {"what": "joins", "other": int(parts[0]), "number": int(parts[1])}

    def event(self, parts: list[Any]) -> Event:
        """A record."""
        lasts = parts[1] if len(parts) > 2 else None
        return Event(parts[0], lasts, **parts[-1])

    def start(self, parts: list[Any]) -> dict[str, Any]:
        """All fields of a scenario. Raises ValueError on what is said twice."""
        where: dict[Any, str] = {
            ClassOf: "classes", MemberOf: "members", KindOf: "kinds", Event: "events", tuple: "phases",
        }  # fmt: skip
        fields: dict[str, Any] = {name: [] for name in where.values()}
        for part in parts:
            if isinstance(part, dict):
                if twice := set(part) & set(fields):
                    raise ValueError(f"{min(twice)} is said twice")
                fields |= part
            else:
                fields[where[type(part)]].append(part)
        return fields


PARSER = Lark(GRAMMAR, parser="lalr", maybe_placeholders=False, propagate_positions=True)


def parse(text: str, source: str) -> Scenario:
    """The scenario in a text. Raises ScenarioError."""
    try:
        tree = PARSER.parse(text)
    except UnexpectedInput as error:
        expected = ", ".join(
            sorted(map(plain, getattr(error, "accepts", None) or getattr(error, "allowed", ()) or ()))
        )
        if isinstance(error, UnexpectedToken):
            found = "the end" if error.token.type == "$END" else repr(str(error.token))
            line, column = (error.line, error.column) if error.line and error.line > 0 else end_of(text)
        else:
            found, line, column = repr(text[error.pos_in_stream or 0]), error.line, error.column
        raise ScenarioError(f"{source}:{line}:{column}: expected {expected}, not {found}") from None
    try:
        fields = Reader().transform(tree)
        fields = {k: tuple(v) if isinstance(v, list) else v for k, v in fields.items()}
        if "recorded" in fields:
            fields["recorded"] = tuple(str(Path(source).parent / name) for name in fields["recorded"])
        scenario = Scenario(name=Path(source).stem, **fields)
    except VisitError as error:
        raise ScenarioError(f"{source}: {error.orig_exc}") from None
    except TypeError as error:
        missing = str(error).rpartition("'")[0].rpartition("'")[2]
        word = {"day_us": "day", "zones": "zones", "senders": "senders", "rate": "traffic"}.get(
            missing, missing
        )
        raise ScenarioError(f"{source}: a statement is missing: {word}") from None
    except ValueError as error:
        raise ScenarioError(f"{source}: {error}") from None
    check(scenario, source)
    return scenario


def end_of(text: str) -> tuple[int, int]:
    """Line and column behind the last character."""
    lines = text.split("\n")
    return len(lines), len(lines[-1]) + 1


NAMES = {
    "STRING": "a file's name in quotes",
    "INT": "a whole number",
    "NUMBER": "a number with its unit",
    "NAME": "a name",
    "$END": "the end",
}


def plain(terminal: str) -> str:
    """A terminal of the grammar as people read it."""
    if terminal in NAMES:
        return NAMES[terminal]
    for known in PARSER.terminals:
        if known.name == terminal:
            return repr(known.pattern.value)
    return terminal


def check(scenario: Scenario, source: str) -> None:
    """What the grammar cannot say. Raises ScenarioError."""

    def wrong(text: str) -> ScenarioError:
        return ScenarioError(f"{source}: {text}")

    if not scenario.classes or not scenario.kinds:
        raise wrong("at least one class and one kind are needed")
    if scenario.senders < 1 or scenario.slots < 1 or scenario.held < 1 or scenario.tick_us < 1:
        raise wrong("senders, slots, held and tick must be 1 or more")
    if scenario.day_us < 1:
        raise wrong("day: must last")
    for names in ([c.name for c in scenario.classes], [k.name for k in scenario.kinds],
                  [m.name for m in scenario.members]):  # fmt: skip
        if len(set(names)) < len(names):
            raise wrong(f"{max(names, key=names.count)} is there twice")
    for name, share in [(c.name, c.share) for c in scenario.classes] + [
        (m.name, m.share) for m in scenario.members
    ]:
        if not 0 <= share <= 1:
            raise wrong(f"{name}: a share lies in 0 % to 100 %")
    for cls in scenario.classes:
        if not 0 < cls.aim_us < cls.deadline_us:
            raise wrong(f"{cls.name}: the aim lies before the deadline")
    if any(ends > scenario.day_us for _, ends in scenario.phases):
        raise wrong("a phase ends within the day")
    partners = sum(kind.partners for kind in scenario.kinds)
    for kind in scenario.kinds:
        if kind.partners < 1 or not 1 <= kind.places[0] <= kind.places[1]:
            raise wrong(f"{kind.name}: partners and places must be 1 or more")
    for event in scenario.events:
        where = f"at {event.at_us / 1e6:g} s"
        kind_of, _, name = event.partners.partition(" ")
        if kind_of == "place" and not 1 <= int(name.split()[2]) <= partners:
            raise wrong(f"{where}: there is no partner {name.split()[2]}, only 1 to {partners}")
        if kind_of == "partner" and not 1 <= int(name) <= partners:
            raise wrong(f"{where}: there is no partner {name}, only 1 to {partners}")
        if kind_of == "kind" and name not in {k.name for k in scenario.kinds}:
            raise wrong(f"{where}: there is no kind {name}")
        if kind_of == "zone" and name not in scenario.zones:
            raise wrong(f"{where}: there is no zone {name}")
        if event.what in ("sender dies", "hot sender") and not 1 <= event.number <= scenario.senders:
            raise wrong(f"{where}: there is no sender {event.number}, only 1 to {scenario.senders}")
        if event.what == "senders die" and not 1 <= event.number <= event.other <= scenario.senders:
            raise wrong(f"{where}: there are senders 1 to {scenario.senders}")
        if event.what in ("drains", "leaves", "joins") and not 1 <= event.number <= partners:
            raise wrong(f"{where}: there is no partner {event.number}, only 1 to {partners}")


def shipped() -> list[str]:
    """The names of the scenarios that come with the program."""
    return sorted(path.stem for path in FOLDER.glob(f"*{SUFFIX}"))


def load(name: str) -> Scenario:
    """A shipped scenario by its name, or one from a file. Raises ScenarioError."""
    path = Path(name)
    if "/" not in name and not path.suffix:
        path = FOLDER / (name + SUFFIX)
        if not path.is_file():
            raise ScenarioError(f"{name}: no such scenario; there are {', '.join(shipped())}")
    try:
        return parse(path.read_text(encoding="utf-8"), path.name if path.parent == FOLDER else str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {getattr(error, 'strerror', None) or 'no text'}") from None
