"""A scenario's plan: who hands in what and when, and who is hit; one seed, the same bytes. No I/O."""

from __future__ import annotations

from random import Random

import msgspec

from rowanrack.lab.scenario import LINK, PLACE, Fault, Scenario

SECOND = 1_000_000


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


class Plan(msgspec.Struct, frozen=True):
    """All that happens, in the order of time."""

    arrivals: list[Arrival]
    moves: list[Move]


def make(scenario: Scenario, seed: int) -> Plan:
    """The plan of a seed."""
    return Plan(arrivals(scenario, Random(f"{seed} arrivals")), moves(scenario, Random(f"{seed} moves")))


def arrivals(scenario: Scenario, rng: Random) -> list[Arrival]:
    """Messages that come independently of each other."""
    found: list[Arrival] = []
    at_s, names = rng.expovariate(scenario.rate), scenario.sender_names
    while at_s < scenario.seconds:
        grade = rng.choices(scenario.grade, [g.share for g in scenario.grade])[0]
        dest = rng.choices(scenario.partner, [p.share for p in scenario.partner])[0].dest
        order = tuple(rng.sample(names, min(max(1, scenario.spread), len(names))))
        given = f"m{len(found):06d}", grade.name, dest, grade.deadline_ms, order
        found.append(Arrival(int(at_s * SECOND), *given))
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
        found.append(Move(int(fault.at_s * SECOND), fault.what, on, fault.by, True))
        if fault.for_s:
            found.append(Move(int((fault.at_s + fault.for_s) * SECOND), fault.what, on, fault.by, False))
    return sorted(found, key=lambda move: move.at_us)


def chosen(fault: Fault, senders: list[str], places: list[str]) -> str:
    """What a fault that names nothing hits; the lists take turns."""

    def turn(names: list[str]) -> str:
        names.append(names.pop(0))
        return names[-1]

    if fault.what in PLACE:
        return turn(places)
    return f"{turn(senders)}>{turn(places)}" if fault.what in LINK else turn(senders)
