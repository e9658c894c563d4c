"""Recorded traffic: what one or more senders' recordings hold, on one clock and in the model's terms."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from rowanrack.model.clients import Item, mark_shares
from rowanrack.model.scenario import Scenario, ScenarioError
from rowanrack.record.format import (
    Began,
    Begins,
    Ended,
    Listed,
    Recording,
    RecordingError,
    Settled,
    Taken,
    Turned,
    read,
)

KIND = "d"  # of one recorded destination: the kind's name is this and its number


class CallSeen(NamedTuple):
    """One call that began: when, where, how long it had waited for its connection, and what came of it."""

    at_us: int
    over_us: int
    place: str
    waited_us: int
    result: str
    wait_us: int


@dataclass
class Arrival:
    """One message that was handed in, and what became of it; times since the beginning."""

    at_us: int
    sender: int
    cls: str
    member: str
    dest: int
    left_us: int
    ending: str = ""  # empty: the recording ends before
    ended_us: int = 0


@dataclass
class Timeline:
    """All recordings on one clock, which begins with the first record of any."""

    begins: list[Begins]  # each sender's first
    arrivals: list[Arrival] = field(default_factory=list)
    calls: dict[int, list[CallSeen]] = field(default_factory=dict)
    unmade: dict[int, list[CallSeen]] = field(default_factory=dict)  # calls that never began
    listed: dict[str, Listed] = field(default_factory=dict)  # as each instance was first listed
    removed: list[tuple[int, str, str]] = field(default_factory=list)  # when, which, and what it became
    end_us: int = 0
    begun: int = 0
    wasted: int = 0
    remarks: list[str] = field(default_factory=list)


def timeline(recordings: list[Recording]) -> Timeline:
    """The recordings of some senders, each in the order of its files. Raises RecordingError."""
    first: dict[str, Begins] = {}
    for recording in recordings:
        first.setdefault(recording.begins.sender, recording.begins)
    senders = list(first)
    classes = {tuple(map(tuple, b.classes)) for b in first.values()}
    if len(classes) > 1:
        raise RecordingError(f"{recordings[0].path}: the recordings' senders have different classes")
    start = min(r.begins.unix_us for r in recordings)
    found = Timeline(list(first.values()))
    known: dict[tuple[str, int], Arrival] = {}
    open_calls: dict[tuple[str, int, int], tuple[Began, int]] = {}
    for recording in recordings:
        found.remarks += [f"{recording.path.name}: {remark}" for remark in recording.remarks]
        life, sender = recording.begins.incarnation, senders.index(recording.begins.sender)
        for record in recording.records:
            at = max(0, recording.unix_of(record.at) - start)
            found.end_us = max(found.end_us, at)
            match record:
                case Taken():
                    arrival = Arrival(at, sender, record.cls, record.tenant, record.dest, record.time_left_us)
                    known[life, record.ref] = arrival
                    found.arrivals.append(arrival)
                case Turned() if record.cls:
                    r = record
                    found.arrivals.append(
                        Arrival(at, sender, r.cls, r.tenant, r.dest, r.time_left_us, "nack", at)
                    )
                case Ended() if (one := known.get((life, record.ref))) is not None:
                    one.ending, one.ended_us = record.ending, at
                case Began():
                    open_calls[life, record.ref, record.attempt_number] = record, at
                case Settled():
                    _settled(
                        found, record, at, open_calls.pop((life, record.ref, record.attempt_number), None)
                    )
                case Listed():
                    if record.status == "removed" or record.status == "draining":
                        found.removed.append((at, record.name, record.status))
                    elif record.dest >= 0:
                        found.listed.setdefault(record.name, record)
    found.arrivals.sort(key=lambda a: a.at_us)
    for calls in (*found.calls.values(), *found.unmade.values()):
        calls.sort()
    return found


def _settled(found: Timeline, record: Settled, at: int, began: tuple[Began, int] | None) -> None:
    if began is not None:
        call = CallSeen(began[1], at, record.name, began[0].waited_us, record.result, record.wait_us)
        found.calls.setdefault(record.dest, []).append(call)
        found.begun += 1
        found.wasted += record.result in ("full", "error", "timeout", "cancelled")
    elif not record.begun:
        call = CallSeen(at - record.took_us, at, record.name, record.took_us, record.result, record.wait_us)
        found.unmade.setdefault(record.dest, []).append(call)


def read_all(paths: list[Path]) -> list[Recording]:
    """Recordings from files and folders. Raises RecordingError."""
    files: list[Path] = []
    for path in paths:
        within = sorted(path.glob("*.rec"), key=lambda p: (len(p.stem), p.stem)) if path.is_dir() else [path]
        if not within:
            raise RecordingError(f"{path}: no recording is in it")
        files += within
    return [read(path) for path in files]


def finished(found: Timeline) -> list[Arrival]:
    """Arrivals whose end is in the recording: of the others nobody knows what became."""
    return [a for a in found.arrivals if a.ending]


def items_of(arrivals: list[Arrival], scenario: Scenario, outcome: bool) -> list[Item]:
    """The arrivals as items of a scenario, with what became of them or before that."""
    classes = {c.name: n for n, c in enumerate(scenario.classes)}
    dests = {k.name: n for n, k in enumerate(scenario.kinds, 1)}
    items = list[Item]()
    for arrival in arrivals:
        number, dest = len(items), dests.get(f"{KIND}{arrival.dest}")
        if dest is None or arrival.cls not in classes:
            continue
        item = Item(number, arrival.at_us, classes[arrival.cls], arrival.member, dest, 0.0)
        item.left_us, item.sender = max(1, arrival.left_us), arrival.sender
        if outcome:
            item.endings.append(arrival.ending)
            if arrival.ending == "delivered":
                item.delivered_us = arrival.ended_us
        items.append(item)
    mark_shares(items, scenario)
    return items


def recorded_items(scenario: Scenario) -> list[Item]:
    """The arrivals of a scenario that names recordings. Raises ScenarioError."""
    try:
        return items_of(finished(timeline(read_all([Path(p) for p in scenario.recorded]))), scenario, False)
    except RecordingError as error:
        raise ScenarioError(str(error)) from None
