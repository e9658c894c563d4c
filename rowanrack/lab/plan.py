"""A scenario's plan: who hands in what and when, and who is hit; one seed, the same bytes. No I/O."""

from __future__ import annotations

import math
from random import Random

import msgspec

from rowanrack.lab.scenario import DETACH, LINK, PLACE, Channels, Fault, Scenario

SECOND_US = 1_000_000


class Arrival(msgspec.Struct, frozen=True):
    """A message: when it is handed in, its time from then, and the senders in the order of trying."""

    at_us: int
    id: str
    cls: str
    dest: int
    left_ms: int
    order: tuple[str, ...]


class Move(msgspec.Struct, frozen=True):
    """A fault begins, or is over."""

    at_us: int
    what: str
    on: str
    by: float
    begins: bool


class Announce(msgspec.Struct, frozen=True):
    """A layout is announced at a sender: so far ahead, with those sites."""

    at_us: int
    on: str
    ahead_us: int
    sites: list[str]


class ReadAt(msgspec.Struct, frozen=True):
    """A read of the past at a sender; `as_of_us` counts from the run's begin, None: as of the reading."""

    at_us: int
    on: str
    channel: str
    as_of_us: int | None
    limit: int


class Plan(msgspec.Struct, frozen=True):
    """All that happens, in the order of time."""

    arrivals: list[Arrival]
    moves: list[Move]
    layouts: list[Announce] = []
    reads: list[ReadAt] = []
    reader: str = ""  # a sender that no fault hits, if there is one: it is asked about the log throughout

    def relayed(self, near: str, far: str) -> bool:
        """Whether a fault is planned on the link from one sender to another: all others may meet directly."""
        on = {move.on for move in self.moves if move.what in LINK}
        return bool(on & {near, far, f"{near}>{far}"})


def make(scenario: Scenario, seed: int) -> Plan:
    """The plan of a seed."""
    faults = moves(scenario, Random(f"{seed} moves"))
    plan = Plan(arrivals(scenario, Random(f"{seed} arrivals")), faults)
    if scenario.log is None:
        return plan
    return with_log(plan, scenario, scenario.log, Random(f"{seed} log"))


def with_log(plan: Plan, scenario: Scenario, channels: Channels, rng: Random) -> Plan:
    """The plan with what is asked of the log: by senders that nothing hits, if there are any."""
    hit = {part for move in plan.moves for part in move.on.split(">")}
    well = [name for name in scenario.sender_names if name not in hit] or scenario.sender_names
    layouts = [
        Announce(int(new.at_s * SECOND_US), new.on or rng.choice(well), int(new.ahead_s * SECOND_US),
                 [name for name in scenario.sender_names if name not in new.drop])
        for new in channels.layout
    ]  # fmt: skip
    reads: list[ReadAt] = []
    for one in channels.read:
        as_ofs: list[int | None] = [int(t * SECOND_US) for t in one.as_of_s]
        reads += [
            ReadAt(int(one.at_s * SECOND_US), on, scenario.channel_names[name], as_of, one.limit)
            for on in one.at or [rng.choice(well)]
            for name in one.of or list(scenario.channel_names)
            for as_of in as_ofs or [None]
        ]
    layouts.sort(key=lambda one: one.at_us)
    reads.sort(key=lambda one: one.at_us)
    return msgspec.structs.replace(plan, layouts=layouts, reads=reads, reader=rng.choice(well))


def arrivals(scenario: Scenario, rng: Random) -> list[Arrival]:
    """Messages that come independently of each other."""
    found: list[Arrival] = []
    at_s, names = rng.expovariate(scenario.rate), scenario.sender_names
    parts = [math.exp(rng.gauss(0, scenario.uneven)) for _ in names] if scenario.uneven else []
    while at_s < scenario.seconds:
        grade = rng.choices(scenario.grade, [g.share for g in scenario.grade])[0]
        dest = rng.choices(scenario.partner, [p.share for p in scenario.partner])[0].dest
        order = tuple(rng.sample(names, min(max(1, scenario.spread), len(names))))
        if parts:
            first = rng.choices(names, parts)[0]
            order = (first, *(name for name in order if name != first))[: len(order)]
        given = f"m{len(found):06d}", grade.name, dest, grade.deadline_ms, order
        found.append(Arrival(int(at_s * SECOND_US), *given))
        at_s += rng.expovariate(scenario.rate)
    return found


def moves(scenario: Scenario, rng: Random) -> list[Move]:
    """Faults with their ends. The seed hits each sender and each endpoint once before any a second time."""
    senders, places = scenario.sender_names, scenario.places
    rng.shuffle(senders)
    rng.shuffle(places)
    found: list[Move] = []
    for fault in scenario.fault:
        on = fault.on or chosen(fault, senders, places)
        found.append(Move(int(fault.at_s * SECOND_US), fault.what, on, fault.by, True))
        if fault.for_s:
            found.append(Move(int((fault.at_s + fault.for_s) * SECOND_US), fault.what, on, fault.by, False))
    return sorted(found, key=lambda move: move.at_us)


def chosen(fault: Fault, senders: list[str], places: list[str]) -> str:
    """What a fault that names nothing hits; the lists take turns."""

    def turn(names: list[str]) -> str:
        names.append(names.pop(0))
        return names[-1]

    if fault.what in PLACE:
        return turn(places)
    pair = fault.what in LINK or fault.what == DETACH
    return f"{turn(senders)}>{turn(places)}" if pair else turn(senders)
