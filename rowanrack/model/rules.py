"""The checker: every rule, read from a run's history and from nothing else."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from rowanrack.model.engine import SECOND_US
from rowanrack.model.history import Entry

END_SLACK_US = 300_000  # past a message's time: its end may come so late
DRAIN_US = 500_000
AFTER_START_US = 1_500_000  # after a start no end is overdue for so long
KNEW_PERCENT = 66  # of the calls that pushed a cold place over, from senders that saw it fail
MAY_HAVE_RUN = frozenset({"error", "timeout", "reset", "cancelled"})


class Breach(NamedTuple):
    """A rule that was broken."""

    rule: str
    at_us: int
    message: str
    text: str


@dataclass
class Known:
    """What is known of one message at one sender."""

    taken_us: int
    due_us: int
    cls: str
    ends: list[tuple[int, str]] = field(default_factory=list)
    out: dict[int, int] = field(default_factory=dict)  # attempts begun and not settled, with their times
    ran: set[int] = field(default_factory=set)  # attempts that may have run
    effects: int = 0


class Checker:
    """Reads entries in order; `breaches` is what it found."""

    def __init__(self, once: frozenset[str]) -> None:
        self.once = once  # classes that must not take effect twice
        self.breaches: list[Breach] = []
        self._messages: dict[tuple[int, str], Known] = {}
        self._told: dict[tuple[int, str], int] = {}
        self._waits: dict[tuple[int, int], int] = {}
        self._starts: defaultdict[int, list[int]] = defaultdict(list)
        self._effects: defaultdict[str, int] = defaultdict(int)

    def read(self, entries: list[Entry]) -> list[Breach]:
        """Judge a whole run, which has gone on until every message's time was up."""
        for entry in entries:
            match entry.what:
                case "take":
                    self._messages[entry.sender, entry.message] = Known(entry.at, entry.value, entry.note)
                case "begin":
                    self._begin(entry)
                case "settle":
                    self._settle(entry)
                case "end":
                    self._end(entry)
                case "told":
                    self._told.setdefault((entry.sender, entry.place), entry.at)
                case "ran":
                    self._ran(entry)
                case "fell" if entry.value >= KNEW_PERCENT:
                    text = f"{entry.place} was pushed over, {entry.value}% by senders that saw it fail"
                    self._breach("cold", entry, text)
                case "kill":
                    self._kill(entry)
                case "ready":
                    self._starts[entry.sender].append(entry.at)
        for (sender, message), known in self._messages.items():
            self._close(sender, message, known)
        return self.breaches

    def _breach(self, rule: str, entry: Entry, text: str) -> None:
        self.breaches.append(Breach(rule, entry.at, entry.message, text))

    def _begin(self, entry: Entry) -> None:
        known = self._messages.get((entry.sender, entry.message))
        if known is None:
            self._breach("owner", entry, "a call for a message that its sender never took")
            return
        if known.out:
            self._breach("copy", entry, f"attempt {entry.leg} began while {min(known.out)} was out")
        if known.cls in self.once and known.ran:
            self._breach("repeat", entry, f"attempt {entry.leg} began, though {min(known.ran)} may have run")
        if known.ends:
            self._breach("end", entry, f"attempt {entry.leg} began after the end")
        told = self._told.get((entry.sender, entry.place))
        if told is not None and entry.at > told + DRAIN_US:
            late = (entry.at - told) / 1000
            self._breach(
                "drain", entry, f"a call to {entry.place} began {late:.0f} ms after its drain was told"
            )
        until = self._waits.get((entry.sender, entry.dest), 0)
        if entry.at < until:
            left = (until - entry.at) / 1000
            self._breach(
                "wait", entry, f"a call to {entry.dest} began {left:.0f} ms before its told wait was over"
            )
        known.out[entry.leg] = entry.at

    def _settle(self, entry: Entry) -> None:
        known = self._messages.get((entry.sender, entry.message))
        if entry.value:
            key = entry.sender, entry.dest
            self._waits[key] = max(self._waits.get(key, 0), entry.at + entry.value)
        if known is not None and known.out.pop(entry.leg, None) is not None and entry.note in MAY_HAVE_RUN:
            known.ran.add(entry.leg)

    def _end(self, entry: Entry) -> None:
        known = self._messages.get((entry.sender, entry.message))
        if known is None:
            self._breach("end", entry, "the end of a message that was never taken")
            return
        if known.ends:
            self._breach("end", entry, f"a second end, {entry.note} after {known.ends[0][1]}")
        known.ends.append((entry.at, entry.note))
        if entry.note == "refused" and known.cls in self.once and known.ran:
            self._breach("repeat", entry, "refused, though it may have run: its client may come again")

    def _ran(self, entry: Entry) -> None:
        item = entry.message.partition(".")[0]
        known = self._messages.get((entry.sender, entry.message))
        if known is not None and known.cls in self.once:
            self._effects[item] += 1
            if self._effects[item] == 2:
                self._breach("repeat", entry, f"took effect twice, the second time at {entry.place}")

    def _kill(self, entry: Entry) -> None:
        """What was out may have run; the new process hears the list and the waits anew."""
        for (sender, _), known in self._messages.items():
            if sender == entry.sender and known.out:
                known.ran |= set(known.out)
                known.out.clear()
        self._told = {key: at for key, at in self._told.items() if key[0] != entry.sender}
        self._waits = {key: at for key, at in self._waits.items() if key[0] != entry.sender}

    def _close(self, sender: int, message: str, known: Known) -> None:
        """Every message that was taken has one end, in time."""
        due = known.due_us + END_SLACK_US
        due = max([due, *(at + AFTER_START_US for at in self._starts[sender] if at > known.taken_us)])
        if not known.ends:
            self.breaches.append(
                Breach("lost", known.due_us, message, f"sender {sender} took it and gave it no end")
            )
        elif known.ends[0][0] > due:
            late = (known.ends[0][0] - known.due_us) / SECOND_US
            self.breaches.append(Breach("lost", known.ends[0][0], message, f"its end came {late:.2f} s late"))
