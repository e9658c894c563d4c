"""Checks every rule on the books of a run, and uses no other input. No I/O.

A sender is not blamed for what it could not know: while it was down, or its links had a fault, a retry-after
wait or a drain may not have reached it, and its final answers may be late by as much. Two processes of a hot
restart are one sender: a wait that either was told holds for both.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from rowanrack.lab.books import Entry

SECOND_US = 1_000_000
END_SLACK_US = 1_000_000  # tolerated delay of a final answer past its deadline, on a busy machine
RECOVERY_US = 2_500_000  # after a disruption of its sender, no final answer is overdue for this long
DRAIN_GRACE_US = 500_000  # calls may still arrive for this long after a drain was published
IN_FLIGHT_US = 300_000  # a call may have been in flight this long when a wait or final answer was written
EVENNESS_WINDOW_US = 100_000  # width of the windows in which the calls of the fleet are counted
NEVER_US = 1 << 62  # later than any time in a book
HARMLESS_TO_WAITS = frozenset(
    {"disk", "clock"}
)  # faults in which a sender still hears of waits and keeps them


class Violation(NamedTuple):
    """A violation of a rule."""

    rule: str
    at_us: int
    message: str
    text: str


@dataclass
class MessageHistory:
    """What the books say about one message."""

    cls: str = ""
    owner: str = ""  # the sender that accepted the message
    taken_us: int = 0  # when the client received the acceptance
    due_us: int = 0  # the deadline
    runs: list[Entry] = field(default_factory=list)
    notices: list[Entry] = field(default_factory=list)
    withdrawals: list[Entry] = field(default_factory=list)  # answers that say that the message is over
    delivered: Entry | None = None  # the good answer that the sender received


class Disruptions:
    """When each sender or endpoint was down or had a fault, according to the lab's own book."""

    def __init__(self, entries: Sequence[Entry]) -> None:
        self.spans: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        self.spans_of_silence: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
        self.disk_losses: defaultdict[str, list[int]] = defaultdict(list)
        open_spans: dict[tuple[str, str], int] = {}
        for entry in entries:
            kind = "down" if entry.what in ("down", "up") else entry.note
            if entry.what in ("down", "fault"):
                open_spans.setdefault((entry.who, kind), entry.at)
            elif entry.what in ("up", "over") and (entry.who, kind) in open_spans:
                self._add(entry.who, kind, open_spans.pop((entry.who, kind)), entry.at)
            elif entry.what == "empty":
                self.disk_losses[entry.who].append(entry.at)
        for (who, kind), at in open_spans.items():
            self._add(who, kind, at, NEVER_US)

    def _add(self, who: str, kind: str, begin: int, end: int) -> None:
        self.spans[who].append((begin, end))
        if kind not in HARMLESS_TO_WAITS:
            self.spans_of_silence[who].append((begin, end))

    def may_miss_a_wait(self, who: str, since: int, until: int) -> bool:
        """Whether the sender may not have heard of a wait that was told in the interval."""
        return any(begin <= until and end >= since for begin, end in self.spans_of_silence[who])

    def overlap(self, who: str, since: int, until: int) -> bool:
        """Whether a disruption overlaps the interval."""
        return any(begin <= until and end >= since for begin, end in self.spans[who])

    def extend_deadline(self, who: str, since: int, due: int) -> int:
        """Return the deadline `due`, extended by the disruptions that overlap the time since `since`."""
        for begin, end in sorted(self.spans[who]):
            if begin <= due and end >= since:
                due = max(due, end + RECOVERY_US)
        return due


class Checker:
    """Checks a run whose books continue until every message's deadline has passed.

    `once`: the message classes whose messages must not run twice. `covered`: accepted messages are
    owed even if their sender loses its disk.
    """

    def __init__(
        self,
        entries: Sequence[Entry],
        once: frozenset[str],
        fall_us: int = 2 * SECOND_US,
        covered: bool = False,
    ) -> None:
        self.entries, self.once, self.fall_us, self.covered = entries, once, fall_us, covered
        self.disruptions = Disruptions(entries)
        self.histories: dict[str, MessageHistory] = {}
        self.violations: list[Violation] = []

    def check(self) -> list[Violation]:
        """Check all rules; returns the violations in the order of time."""
        for entry in self.entries:
            self._record(entry)
        self._check_calls()
        self._check_concurrent_calls()
        self._check_cold_returns()
        for message, history in self.histories.items():
            self._check_final_answers(message, history)
        return sorted(self.violations, key=lambda violation: violation.at_us)

    def _add_violation(self, rule: str, at: int, message: str, text: str) -> None:
        self.violations.append(Violation(rule, at, message, text))

    def _record(self, entry: Entry) -> None:
        history = (
            self.histories.setdefault(entry.message, MessageHistory()) if entry.message else MessageHistory()
        )
        match entry.what:
            case "submit" | "unsure" | "busy" | "refused":
                history.cls = entry.note
            case "taken":
                history.cls, history.owner = entry.note, history.owner or entry.who
                history.taken_us, history.due_us = history.taken_us or entry.at, entry.value
            case "bad":
                self._add_violation(
                    "answer", entry.at, entry.message, f"{entry.who} rejected the message as invalid"
                )
            case "confused":
                self._add_violation(
                    "identity", entry.at, entry.message, f"{entry.who} accepted other contents under its id"
                )
            case "ran":
                history.runs.append(entry)
            case "answer" if entry.note == "200" and history.delivered is None:
                history.delivered = entry
            case "answer" if entry.note == "410":
                history.withdrawals.append(entry)
            case "notice":
                history.notices.append(entry)

    def _check_calls(self) -> None:
        """Check each call against the waits and drains that its sender knew at the time."""
        waits: dict[tuple[str, int], tuple[int, int]] = {}
        drains: dict[tuple[str, str], int] = {}
        for entry in self.entries:
            match entry.what:
                case "up":
                    waits = {key: wait for key, wait in waits.items() if key[0] != entry.who}
                    drains = {key: at for key, at in drains.items() if key[0] != entry.who}
                case "answer" if entry.value and not self._may_be_lost(entry):
                    known_wait = waits.get((entry.who, entry.dest), (0, 0))
                    waits[entry.who, entry.dest] = max(known_wait, (entry.at + entry.value, entry.at))
                case "told" if entry.note == "SERVING":
                    drains.pop((entry.who, entry.place), None)
                case "told":
                    drains.setdefault((entry.who, entry.place), entry.at)
                case "call":
                    until, since = waits.get((entry.who, entry.dest), (0, 0))
                    self._check_call(entry, since, until, drains.get((entry.who, entry.place), NEVER_US))

    def _may_be_lost(self, answer: Entry) -> bool:
        """Whether an answer may have been lost because of a fault on the links of its endpoint."""
        return self.disruptions.overlap(answer.place, answer.at - IN_FLIGHT_US, answer.at + IN_FLIGHT_US)

    def _may_be_missed(self, answer: Entry) -> bool:
        """Whether a fault of the sender or of the links may have kept an answer from it."""
        read_by = answer.at + IN_FLIGHT_US
        return self._may_be_lost(answer) or self.disruptions.overlap(answer.who, answer.at, read_by)

    def _check_call(self, call: Entry, waits_since: int, waits_until: int, drains_since: int) -> None:
        known_from = waits_since + IN_FLIGHT_US
        if known_from < call.at < waits_until and not self.disruptions.may_miss_a_wait(
            call.who, waits_since, call.at
        ):
            left = (waits_until - call.at) // 1000
            text = f"{call.who} called {call.place} {left} ms before its retry-after wait was over"
            self._add_violation("wait", call.at, call.message, text)
        late = call.at - drains_since - DRAIN_GRACE_US
        if late > 0 and not self.disruptions.overlap(call.who, drains_since, call.at):
            text = f"{call.who} called {call.place} {(late + DRAIN_GRACE_US) // 1000} ms after its drain"
            self._add_violation("drain", call.at, call.message, text)
        history = self.histories[call.message]
        if not history.cls:
            self._add_violation(
                "owner", call.at, call.message, f"{call.who} called with a message that no client submitted"
            )
        for withdrawal in history.withdrawals[:1]:
            if call.at > withdrawal.at + IN_FLIGHT_US and not self._may_be_missed(withdrawal):
                text = f"{call.who} called {(call.at - withdrawal.at) // 1000} ms after it was answered 410"
                self._add_violation("over", call.at, call.message, text)
        for notice in history.notices[:1]:
            if call.at > notice.at + IN_FLIGHT_US and not self.disruptions.overlap(
                call.who, notice.at, call.at
            ):
                self._add_violation(
                    "end", call.at, call.message, f"{call.who} called after the final answer, {notice.note}"
                )

    def _check_concurrent_calls(self) -> None:
        """Check that no message is called while an earlier call of it is still out.

        A call ends with its answer, or when its sender drops it. The ends of several calls of a message from
        one sender to one endpoint are taken to come in the order of the calls.
        """
        ends: defaultdict[tuple[str, str, str], deque[int]] = defaultdict(deque)
        for entry in self.entries:
            if entry.what in ("answer", "dropped"):
                ends[entry.who, entry.message, entry.place].append(entry.at)
        ended_at: dict[Entry, int] = {}
        earlier_calls: defaultdict[str, list[Entry]] = defaultdict(list)
        for call in self.entries:
            if call.what != "call":
                continue
            for earlier in earlier_calls[call.message]:
                is_excused = any(
                    self.disruptions.overlap(name, earlier.at, call.at) for name in (call.who, earlier.place)
                )
                if call.at + IN_FLIGHT_US < ended_at[earlier] < NEVER_US and not is_excused:
                    text = f"{call.who} called {call.place} while its call to {earlier.place} was out"
                    self._add_violation("concurrent", call.at, call.message, text)
            own_ends = ends[call.who, call.message, call.place]
            ended_at[call] = own_ends.popleft() if own_ends else NEVER_US
            earlier_calls[call.message].append(call)

    def _check_cold_returns(self) -> None:
        """Check that an endpoint that returns from an outage gets no more calls than it can bear.

        Three standard deviations and three calls are allowed on top, for chance.
        """
        calls: defaultdict[str, list[int]] = defaultdict(list)
        for entry in self.entries:
            if entry.what == "call":
                calls[entry.place].append(entry.at)
        for entry in self.entries:
            if entry.what == "state" and entry.note == "up":
                limit = entry.value + 3 * math.sqrt(entry.value) + 3
                got = sum(entry.at <= at < entry.at + self.fall_us for at in calls[entry.place])
                if got > limit:
                    text = f"{entry.place} returned from an outage; {got} calls exceed the limit {limit:.0f}"
                    self._add_violation("cold", entry.at, "", text)

    def _check_final_answers(self, message: str, history: MessageHistory) -> None:
        """Check that an accepted message gets one final answer in time and, if it must, runs only once."""
        runs, notices, who = history.runs, history.notices, history.owner
        if history.cls in self.once and len(runs) > 1:
            places = " and ".join(run.place for run in runs)
            self._add_violation("repeat", runs[1].at, message, f"ran {len(runs)} times, at {places}")
        outcomes = sorted({notice.note for notice in notices})
        if len(outcomes) > 1:
            self._add_violation(
                "end", notices[-1].at, message, f"has two final answers: {' and '.join(outcomes)}"
            )
        if history.cls in self.once and runs and "handed_back" in outcomes:
            self._add_violation("repeat", notices[0].at, message, "was handed back although it had run")
        done = history.delivered
        for notice in notices[:1] if done is not None else ():
            assert done is not None
            received = notice.at > done.at + IN_FLIGHT_US and not self._may_be_lost(done)
            if received and not self.disruptions.overlap(notice.who, done.at - IN_FLIGHT_US, notice.at):
                text = f"reported {notice.note} {(notice.at - done.at) // 1000} ms after it was delivered"
                self._add_violation("end", notice.at, message, text)
        if not who:
            return  # the client received no acceptance, so nothing is owed
        if not self.covered and any(at > history.taken_us for at in self.disruptions.disk_losses[who]):
            return  # the message was lost with its sender's disk
        due = self.disruptions.extend_deadline(who, history.taken_us, history.due_us + END_SLACK_US)
        ends = [entry.at for entry in (*runs, *notices, *history.withdrawals)]
        if not ends and due < NEVER_US:
            self._add_violation(
                "lost", history.due_us, message, f"{who} accepted it and gave no final answer"
            )
        elif ends and min(ends) > due:
            late_s = (min(ends) - history.due_us) / SECOND_US
            self._add_violation(
                "late",
                min(ends),
                message,
                f"{who} accepted it, and the final answer came {late_s:.2f} s late",
            )


def summarize_run(entries: Sequence[Entry]) -> dict[str, Any]:
    """Summarise a run: counts, times from submission to execution, and how even the calls were."""
    counts = Counter(entry.what for entry in entries)
    submitted = {entry.message: entry.at for entry in reversed(entries) if entry.what == "submit"}
    ran = {entry.message: entry.at for entry in reversed(entries) if entry.what == "ran"}
    durations_us = sorted(ran[message] - at for message, at in submitted.items() if message in ran)
    statuses = Counter(entry.note for entry in entries if entry.what == "answer")
    return {
        "handed_in": counts["submit"],
        "taken": len({entry.message for entry in entries if entry.what == "taken"}),
        "declined": counts["declined"],
        "ran": len(ran),
        "notices": dict(Counter(entry.note for entry in entries if entry.what == "notice")),
        "calls": counts["call"],
        "answers": dict(sorted(statuses.items())),
        "copies": counts["copy"],
        "ms_p50": durations_us[len(durations_us) // 2] // 1000 if durations_us else None,
        "ms_p99": durations_us[len(durations_us) * 99 // 100] // 1000 if durations_us else None,
        "evenness": evenness(entries),
    }


def evenness(entries: Sequence[Entry]) -> dict[str, dict[str, float]]:
    """Return by endpoint the peak and the least calls of the fleet in a 100 ms window, over the mean."""
    submitted_at = [entry.at for entry in entries if entry.what == "submit"]
    if not submitted_at:
        return {}
    begin, steps = min(submitted_at), max(1, (max(submitted_at) - min(submitted_at)) // EVENNESS_WINDOW_US)
    counts_by_endpoint: defaultdict[str, list[int]] = defaultdict(lambda: [0] * steps)
    for entry in entries:
        step = (entry.at - begin) // EVENNESS_WINDOW_US
        if entry.what == "call" and 0 <= step < steps:
            counts_by_endpoint[entry.place][step] += 1
    found = {}
    for place, counts in sorted(counts_by_endpoint.items()):
        mean = sum(counts) / steps
        found[place] = {
            "calls_per_s": round(mean * SECOND_US / EVENNESS_WINDOW_US, 2),
            "peak_over_mean": round(max(counts) / mean, 2),
            "least_over_mean": round(min(counts) / mean, 2),
        }
    return found
