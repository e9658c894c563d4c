"""Plans a scenario: all messages, faults and reads. A seed always gives the same plan. No I/O."""

from __future__ import annotations

import math
from random import Random

import msgspec

from rowanrack.lab.scenario import DETACH_FAULT, ENDPOINT_FAULTS, LINK_FAULTS, Channels, Fault, Scenario

SECOND_US = 1_000_000
MAX_REPEAT_AFTER_US = 20_000  # later, a message that was handed back may be accepted anew


class Arrival(msgspec.Struct, frozen=True):
    """A message: when it is submitted, the time left until its deadline, and the senders to try in order."""

    at_us: int
    id: str
    cls: str
    dest: int
    left_ms: int
    order: tuple[str, ...]
    body_bytes: int = 1
    repeat_after_us: int = 0  # from the acceptance to a repeat of the submission; 0: none
    contested: bool = False  # whether another client uses the id for other contents, after the acceptance


class FaultEvent(msgspec.Struct, frozen=True):
    """The begin or the end of a fault."""

    at_us: int
    what: str
    on: str
    by: float
    begins: bool


class LayoutAnnouncement(msgspec.Struct, frozen=True):
    """The announcement at a sender of a layout that takes effect `ahead_us` later."""

    at_us: int
    on: str
    ahead_us: int
    sites: list[str]


class PlannedRead(msgspec.Struct, frozen=True):
    """A read of the event log; `as_of_us` counts from the begin of the run, None is the time of the read."""

    at_us: int
    on: str
    channel: str
    as_of_us: int | None
    limit: int


class Plan(msgspec.Struct, frozen=True):
    """All actions of a run, each list in the order of time."""

    arrivals: list[Arrival]
    fault_events: list[FaultEvent]
    layouts: list[LayoutAnnouncement] = []
    reads: list[PlannedRead] = []
    reader: str = ""  # the sender that answers the reads of the lag; without faults if possible

    def needs_relay(self, near: str, far: str) -> bool:
        """Whether a fault is planned on the link between two senders; other pairs may connect directly."""
        on = {event.on for event in self.fault_events if event.what in LINK_FAULTS}
        return bool(on & {near, far, f"{near}>{far}"})


def make_plan(scenario: Scenario, seed: int) -> Plan:
    """Make the plan of a scenario for a seed."""
    events = fault_events(scenario, Random(f"{seed} moves"))
    plan = Plan(arrivals(scenario, Random(f"{seed} arrivals")), events)
    if scenario.log is None:
        return plan
    return add_log_actions(plan, scenario, scenario.log, Random(f"{seed} log"))


def add_log_actions(plan: Plan, scenario: Scenario, channels: Channels, rng: Random) -> Plan:
    """Return the plan with layouts and reads of the log, at senders without faults if there are any."""
    faulty = {part for event in plan.fault_events for part in event.on.split(">")}
    healthy = [name for name in scenario.sender_names if name not in faulty] or scenario.sender_names
    layouts = [
        LayoutAnnouncement(
            int(new.at_s * SECOND_US),
            new.on or rng.choice(healthy),
            int(new.ahead_s * SECOND_US),
            [name for name in scenario.sender_names if name not in new.drop],
        )
        for new in channels.layout
    ]
    reads: list[PlannedRead] = []
    for one in channels.read:
        as_ofs: list[int | None] = [int(t * SECOND_US) for t in one.as_of_s]
        reads += [
            PlannedRead(int(one.at_s * SECOND_US), on, scenario.channel_names[name], as_of, one.limit)
            for on in one.at or [rng.choice(healthy)]
            for name in one.of or list(scenario.channel_names)
            for as_of in as_ofs or [None]
        ]
    layouts.sort(key=lambda one: one.at_us)
    reads.sort(key=lambda one: one.at_us)
    return msgspec.structs.replace(plan, layouts=layouts, reads=reads, reader=rng.choice(healthy))


def arrivals(scenario: Scenario, rng: Random) -> list[Arrival]:
    """Plan the messages as a Poisson process."""
    found: list[Arrival] = []
    client_rng = Random(f"{rng.getstate()} clients")
    at_s, names = rng.expovariate(scenario.rate), scenario.sender_names
    weights = [math.exp(rng.gauss(0, scenario.uneven)) for _ in names] if scenario.uneven else []
    while at_s < scenario.seconds:
        grade = rng.choices(scenario.grade, [g.share for g in scenario.grade])[0]
        dest = rng.choices(scenario.partner, [p.share for p in scenario.partner])[0].dest
        order = tuple(rng.sample(names, min(max(1, scenario.spread), len(names))))
        if weights:
            first = rng.choices(names, weights)[0]
            order = (first, *(name for name in order if name != first))[: len(order)]
        fields = f"m{len(found):06d}", grade.name, dest, grade.deadline_ms, order
        found.append(Arrival(int(at_s * SECOND_US), *fields, *client_fields(scenario, client_rng)))
        at_s += rng.expovariate(scenario.rate)
    return found


def client_fields(scenario: Scenario, rng: Random) -> tuple[int, int, bool]:
    """Draw the size of a message's body, and who submits under its id again."""
    repeat_after_us = rng.randint(1, MAX_REPEAT_AFTER_US) if rng.random() < scenario.repeated else 0
    return rng.randint(1, scenario.body_bytes), repeat_after_us, rng.random() < scenario.contested


def fault_events(scenario: Scenario, rng: Random) -> list[FaultEvent]:
    """Plan the begin and end of each fault; chosen targets repeat only after all others were chosen."""
    senders, endpoint_names = scenario.sender_names, scenario.endpoint_names
    rng.shuffle(senders)
    rng.shuffle(endpoint_names)
    found: list[FaultEvent] = []
    for fault in scenario.fault:
        on = fault.on or choose_target(fault, senders, endpoint_names)
        found.append(FaultEvent(int(fault.at_s * SECOND_US), fault.what, on, fault.by, True))
        if fault.for_s:
            found.append(
                FaultEvent(int((fault.at_s + fault.for_s) * SECOND_US), fault.what, on, fault.by, False)
            )
    return sorted(found, key=lambda event: event.at_us)


def choose_target(fault: Fault, senders: list[str], endpoint_names: list[str]) -> str:
    """Choose the target of a fault without one, and event it to the end of its list."""

    def next_name(names: list[str]) -> str:
        names.append(names.pop(0))
        return names[-1]

    if fault.what in ENDPOINT_FAULTS:
        return next_name(endpoint_names)
    is_pair = fault.what in LINK_FAULTS or fault.what == DETACH_FAULT
    return f"{next_name(senders)}>{next_name(endpoint_names)}" if is_pair else next_name(senders)
