"""The checker: every rule, read from the books of a run and from nothing else. No I/O.

What a sender could not know is held against nobody: while it was down, or a fault lay on its links, a told
wait or drain may not have reached it, and its ends may be late by as much.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from rowanrack.lab.books import Entry

SECOND_US = 1_000_000
END_SLACK_US = 1_000_000  # past a message's time: its end may come so late, on a busy machine
AFTER_US = 2_500_000  # behind a trouble of its sender no end is overdue for so long
DRAIN_US = 500_000
UNDER_WAY_US = 300_000  # calls that had left when a wait or an end was written
STEP_US = 100_000  # for which calls over the fleet are counted together
NEVER = 1 << 62


class Breach(NamedTuple):
    """A rule that was broken."""

    rule: str
    at_us: int
    message: str
    text: str


@dataclass
class Known:
    """What the books say of one message."""

    cls: str = ""
    owner: str = ""  # the sender that took it,
    taken_us: int = 0  # when its client had heard so,
    due_us: int = 0  # and when its time is up
    runs: list[Entry] = field(default_factory=list)
    notices: list[Entry] = field(default_factory=list)
    delivered: Entry | None = None  # the answer that its sender was given


class Troubles:
    """When each sender was down or had a fault, as the lab's own book tells."""

    def __init__(self, entries: Sequence[Entry]) -> None:
        self.spans: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        self.emptied: defaultdict[str, list[int]] = defaultdict(list)
        begun: dict[tuple[str, str], int] = {}
        for entry in entries:
            kind = "down" if entry.what in ("down", "up") else entry.note
            if entry.what in ("down", "fault"):
                begun.setdefault((entry.who, kind), entry.at)
            elif entry.what in ("up", "over") and (entry.who, kind) in begun:
                self.spans[entry.who].append((begun.pop((entry.who, kind)), entry.at))
            elif entry.what == "empty":
                self.emptied[entry.who].append(entry.at)
        for (who, _), at in begun.items():
            self.spans[who].append((at, NEVER))

    def within(self, who: str, since: int, until: int) -> bool:
        """Whether there was any in that time."""
        return any(begin <= until and end >= since for begin, end in self.spans[who])

    def excused(self, who: str, since: int, due: int) -> int:
        """By when an end is due that would be due then."""
        for begin, end in sorted(self.spans[who]):
            if begin <= due and end >= since:
                due = max(due, end + AFTER_US)
        return due


class Checker:
    """Judges a run whose books go on until every message's time was up."""

    def __init__(
        self,
        entries: Sequence[Entry],
        once: frozenset[str],
        fall_us: int = 2 * SECOND_US,
        covered: bool = False,
    ) -> None:
        self.entries, self.once, self.fall_us, self.covered = entries, once, fall_us, covered
        self.troubles = Troubles(entries)
        self.known: dict[str, Known] = {}
        self.breaches: list[Breach] = []

    def check(self) -> list[Breach]:
        """All rules."""
        for entry in self.entries:
            self._learn(entry)
        self._paths()
        self._cold()
        for message, known in self.known.items():
            self._ends(message, known)
        return sorted(self.breaches, key=lambda breach: breach.at_us)

    def _breach(self, rule: str, at: int, message: str, text: str) -> None:
        self.breaches.append(Breach(rule, at, message, text))

    def _learn(self, entry: Entry) -> None:
        known = self.known.setdefault(entry.message, Known()) if entry.message else Known()
        match entry.what:
            case "submit" | "unsure" | "busy" | "refused":
                known.cls = entry.note
            case "taken":
                known.cls, known.owner = entry.note, known.owner or entry.who
                known.taken_us, known.due_us = known.taken_us or entry.at, entry.value
            case "bad":
                self._breach("answer", entry.at, entry.message, f"{entry.who} refused it as wrong")
            case "ran":
                known.runs.append(entry)
            case "answer" if entry.note == "200" and known.delivered is None:
                known.delivered = entry
            case "notice":
                known.notices.append(entry)

    def _paths(self) -> None:
        """Each call against what its sender had been told until then."""
        waits: dict[tuple[str, int], tuple[int, int]] = {}
        drains: dict[tuple[str, str], int] = {}
        for entry in self.entries:
            match entry.what:
                case "up":
                    waits = {key: told for key, told in waits.items() if key[0] != entry.who}
                    drains = {key: at for key, at in drains.items() if key[0] != entry.who}
                case "answer" if entry.value and not self._lost(entry):
                    told = waits.get((entry.who, entry.dest), (0, 0))
                    waits[entry.who, entry.dest] = max(told, (entry.at + entry.value, entry.at))
                case "told" if entry.note == "SERVING":
                    drains.pop((entry.who, entry.place), None)
                case "told":
                    drains.setdefault((entry.who, entry.place), entry.at)
                case "call":
                    until, since = waits.get((entry.who, entry.dest), (0, 0))
                    self._call(entry, since, until, drains.get((entry.who, entry.place), NEVER))

    def _lost(self, answer: Entry) -> bool:
        """Whether an answer may have been lost on the way, with the links of its endpoint."""
        return self.troubles.within(answer.place, answer.at - UNDER_WAY_US, answer.at + UNDER_WAY_US)

    def _call(self, call: Entry, waits_since: int, waits_until: int, drains_since: int) -> None:
        heard = waits_since + UNDER_WAY_US
        if heard < call.at < waits_until and not self.troubles.within(call.who, waits_since, call.at):
            left = (waits_until - call.at) // 1000
            text = f"{call.who} called {call.place} {left} ms before its told wait was over"
            self._breach("wait", call.at, call.message, text)
        late = call.at - drains_since - DRAIN_US
        if late > 0 and not self.troubles.within(call.who, drains_since, call.at):
            text = f"{call.who} called {call.place} {(late + DRAIN_US) // 1000} ms after its drain was told"
            self._breach("drain", call.at, call.message, text)
        known = self.known[call.message]
        if not known.cls:
            self._breach("owner", call.at, call.message, f"{call.who} called with what nobody handed in")
        for notice in known.notices[:1]:
            if call.at > notice.at + UNDER_WAY_US and not self.troubles.within(call.who, notice.at, call.at):
                self._breach("end", call.at, call.message, f"{call.who} called behind its end, {notice.note}")

    def _cold(self) -> None:
        """An endpoint that is back from an outage gets no more than it bears, and what chance adds."""
        calls: defaultdict[str, list[int]] = defaultdict(list)
        for entry in self.entries:
            if entry.what == "call":
                calls[entry.place].append(entry.at)
        for entry in self.entries:
            if entry.what == "state" and entry.note == "up":
                bears = entry.value + 3 * math.sqrt(entry.value) + 3
                got = sum(entry.at <= at < entry.at + self.fall_us for at in calls[entry.place])
                if got > bears:
                    text = f"{entry.place} was back, and got {got} calls where it bears {bears:.0f}"
                    self._breach("cold", entry.at, "", text)

    def _ends(self, message: str, known: Known) -> None:
        """Every message that was taken has one end in time, and none runs twice that must not."""
        runs, notices, who = known.runs, known.notices, known.owner
        if known.cls in self.once and len(runs) > 1:
            places = " and ".join(run.place for run in runs)
            self._breach("repeat", runs[1].at, message, f"ran {len(runs)} times, at {places}")
        outcomes = sorted({notice.note for notice in notices})
        if len(outcomes) > 1:
            self._breach("end", notices[-1].at, message, f"has two ends: {' and '.join(outcomes)}")
        if known.cls in self.once and runs and "handed_back" in outcomes:
            self._breach("repeat", notices[0].at, message, "was handed back, though it had run")
        done = known.delivered
        for notice in notices[:1] if done is not None else ():
            assert done is not None
            told = notice.at > done.at + UNDER_WAY_US and not self._lost(done)
            if told and not self.troubles.within(notice.who, done.at - UNDER_WAY_US, notice.at):
                text = f"{notice.note} told {(notice.at - done.at) // 1000} ms after it was delivered"
                self._breach("end", notice.at, message, text)
        if not who:
            return  # its client heard of no taking, and nothing is owed
        if not self.covered and any(at > known.taken_us for at in self.troubles.emptied[who]):
            return  # gone with its sender's disk
        due = self.troubles.excused(who, known.taken_us, known.due_us + END_SLACK_US)
        ends = [entry.at for entry in (*runs, *notices)]
        if not ends and due < NEVER:
            self._breach("lost", known.due_us, message, f"{who} took it and gave it no end")
        elif ends and min(ends) > due:
            late_s = (min(ends) - known.due_us) / SECOND_US
            self._breach("late", min(ends), message, f"{who} took it, and its end came {late_s:.2f} s late")


def figures(entries: Sequence[Entry]) -> dict[str, Any]:
    """What a run was like: counts, times from handing in to running, and how even calls were."""
    counts = Counter(entry.what for entry in entries)
    first = {e.message: e.at for e in reversed(entries) if e.what == "submit"}
    ran = {e.message: e.at for e in reversed(entries) if e.what == "ran"}
    took = sorted(ran[m] - at for m, at in first.items() if m in ran)
    statuses = Counter(e.note for e in entries if e.what == "answer")
    return {
        "handed_in": counts["submit"],
        "taken": len({e.message for e in entries if e.what == "taken"}),
        "declined": counts["declined"],
        "ran": len(ran),
        "notices": dict(Counter(e.note for e in entries if e.what == "notice")),
        "calls": counts["call"],
        "answers": dict(sorted(statuses.items())),
        "ms_p50": took[len(took) // 2] // 1000 if took else None,
        "ms_p99": took[len(took) * 99 // 100] // 1000 if took else None,
        "evenness": evenness(entries),
    }


def evenness(entries: Sequence[Entry]) -> dict[str, dict[str, float]]:
    """Of each endpoint: calls from the whole fleet by 100 ms, the peak and the least over the mean."""
    at = [entry.at for entry in entries if entry.what == "submit"]
    if not at:
        return {}
    begin, steps = min(at), max(1, (max(at) - min(at)) // STEP_US)
    by_place: defaultdict[str, list[int]] = defaultdict(lambda: [0] * steps)
    for entry in entries:
        step = (entry.at - begin) // STEP_US
        if entry.what == "call" and 0 <= step < steps:
            by_place[entry.place][step] += 1
    found = {}
    for place, counts in sorted(by_place.items()):
        mean = sum(counts) / steps
        found[place] = {
            "calls_per_s": round(mean * SECOND_US / STEP_US, 2),
            "peak_over_mean": round(max(counts) / mean, 2),
            "least_over_mean": round(min(counts) / mean, 2),
        }
    return found
