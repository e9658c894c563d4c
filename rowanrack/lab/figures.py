"""What a run was like beside the rules: spread, herds, idle endpoints, endings, the log. No I/O."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from random import Random
from statistics import fmean
from typing import Any

from rowanrack.channels.events import DELIVERED, FAILED, REFUSED
from rowanrack.lab.books import Entry, Page
from rowanrack.lab.checker import NEVER_US, SECOND_US
from rowanrack.lab.log_rules import LogChecker, reports_missing
from rowanrack.model import spread as model_spread

PHASE_US = 30 * SECOND_US
BEHIND_US = 2 * SECOND_US  # for so long what comes at an endpoint is put down to what was before
DRAWS = 100  # of calls by lot
RESTARTS = 3  # senders that start within that time: a mass restart
MARKS = frozenset({"down", "up", "fault", "over", "detach", "attach", "layout", "state"})
WIDTHS = {"100 ms": SECOND_US // 10, "1 s": SECOND_US}


def run_span(entries: Sequence[Entry]) -> tuple[int, int]:
    """From the first message handed in to the last; 0, 0 without any."""
    at = [entry.at for entry in entries if entry.what == "submit"]
    return (min(at), max(at)) if at else (0, 0)


def places_of(entries: Sequence[Entry]) -> dict[str, int]:
    """All endpoints and their destinations, by what was listed and called."""
    found = {e.place: e.dest for e in entries if e.what == "call"}
    partners = {place.rpartition("-")[0]: dest for place, dest in found.items()}
    for entry in entries:
        if entry.what == "told" and entry.place not in found:
            found[entry.place] = partners.get(entry.place.rpartition("-")[0], -1)
    return dict(sorted(found.items()))


def run_figures(entries: Sequence[Entry]) -> dict[str, Any]:
    """Spread by phases, herds, the longest idle times beside a sibling with work, and how messages ended."""
    begin, end = run_span(entries)
    if begin == end:
        return {}
    calls: defaultdict[str, list[int]] = defaultdict(list)
    for entry in entries:
        if entry.what == "call" and begin <= entry.at <= end:
            calls[entry.place].append(entry.at)
    places = places_of(entries)
    return {
        "spread": spread(calls, places, begin, end, absences(entries, places), connections(entries)),
        "herds": herds(entries, calls, places, begin, end),
        "idle_s": idle(entries, places, begin, end),
        "endings": endings(entries),
    }


def spread(
    calls: Mapping[str, Sequence[int]],
    places: Mapping[str, int],
    begin: int,
    end: int,
    absent: Mapping[str, Sequence[tuple[int, int]]],
    opened: Mapping[int, Sequence[int]],
) -> list[dict[str, Any]]:
    """For each phase of 30 s and partner: the endpoints with most and least calls, over an even part.

    Of those that were there throughout; `away` were not. `chance_peak` and `chance_least`: the mean of the
    same if each call chose by lot. `new`: new connections a call.
    """
    found = []
    for since in range(begin, end, PHASE_US):
        until = min(since + PHASE_US, end)
        if until - since < PHASE_US // 2 and since > begin:
            break  # the rest is too short for a phase
        by_dest: defaultdict[int, dict[str, int]] = defaultdict(dict)
        for place, dest in places.items():
            by_dest[dest][place] = count_in(calls.get(place, ()), since, until)
        for dest, every in sorted(by_dest.items()):
            away = [p for p in every if any(a < until and b > since for a, b in absent.get(p, ()))]
            counts = {place: count for place, count in every.items() if place not in away}
            if len(counts) < 2 or not (even := sum(counts.values()) / len(counts)):
                continue
            most, least = max(counts, key=counts.__getitem__), min(counts, key=counts.__getitem__)
            peak, low = by_lot(sum(counts.values()), list(counts))
            new = count_in(opened.get(dest, ()), since, until) / sum(every.values())
            found.append(
                {"from_s": (since - begin) // SECOND_US, "dest": dest, "calls": sum(every.values())}
                | {"endpoints": len(counts), "away": away}
                | {"peak": round(counts[most] / even, 2), "peak_at": most}
                | {"least": round(counts[least] / even, 2), "least_at": least}
                | {"chance_peak": round(peak, 2), "chance_least": round(low, 2)}
                | {"new": round(new, 3)}
            )
    return found


def by_lot(calls: int, endpoints: list[str]) -> tuple[float, float]:
    """The most and the least calls at one endpoint over an even part, in the mean, if each chooses by lot."""
    dice = Random(0)
    peaks, leasts = zip(*(model_spread.by_chance(dice, calls, endpoints) for _ in range(DRAWS)), strict=True)
    return fmean(peaks), fmean(leasts)


def connections(entries: Sequence[Entry]) -> dict[int, list[int]]:
    """When connections to a destination were opened."""
    found: defaultdict[int, list[int]] = defaultdict(list)
    for entry in entries:
        if entry.what == "connected":
            found[entry.dest].append(entry.at)
    return found


def absences(entries: Sequence[Entry], places: Mapping[str, int]) -> dict[str, list[tuple[int, int]]]:
    """From when to when each endpoint was out of service, off the list, detached or cut off."""
    found: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
    away: defaultdict[str, set[str]] = defaultdict(set)
    since: dict[str, int] = {}
    for entry in entries:
        place = entry.place or entry.who
        if place not in places or not leaves(entry, away[place]):
            continue
        if away[place]:
            since.setdefault(place, entry.at)
        elif place in since:
            found[place].append((since.pop(place), entry.at))
    for place, at in since.items():
        found[place].append((at, NEVER_US))
    return found


def leaves(entry: Entry, away: set[str]) -> bool:
    """Take in why an endpoint is away, or no longer; False for an entry that says nothing of it."""
    match entry.what:
        case "state" | "told" if entry.note in ("up", "SERVING"):
            away.discard(entry.what)
        case "attach" | "over":
            away.discard({"attach": "detach", "over": "fault"}[entry.what])
        case "state" | "told" | "detach" | "fault":
            away.add(entry.what)
        case _:
            return False
    return True


def count_in(times: Sequence[int], since: int, until: int) -> int:
    """How many of the sorted times lie in since <= time < until."""
    return bisect_left(times, until) - bisect_left(times, since)


def herds(
    entries: Sequence[Entry],
    calls: Mapping[str, Sequence[int]],
    places: Mapping[str, int],
    begin: int,
    end: int,
) -> list[dict[str, Any]]:
    """The most calls at one endpoint in 100 ms and in a second, by what was before, over the mean.

    The mean is an even part of the partner's calls; `by_chance`: the most that it gives in as many windows.
    """
    siblings = Counter(places.values())
    of_dest: Counter[int] = Counter()
    for place, times in calls.items():
        of_dest[places[place]] += len(times)
    before = causes(entries)
    worst: dict[tuple[str, str], dict[str, Any]] = {}
    for place, times in calls.items():
        mean = of_dest[places[place]] / siblings[places[place]] / (end - begin)
        for name, width in WIDTHS.items():
            chance = by_chance(mean * width, (end - begin) // width * len(calls))
            for first, at in enumerate(times):
                count = bisect_left(times, at + width) - first
                key = cause(before, place, at), name
                ratio = count / (mean * width)
                if key not in worst or ratio > worst[key]["over_mean"]:
                    worst[key] = {"behind": key[0], "in": name, "calls": count, "over_mean": ratio}
                    worst[key] |= {"at": place, "at_s": (at - begin) / SECOND_US, "by_chance": chance}
    rows = [row | {key: round(row[key], 1) for key in ("over_mean", "at_s")} for row in worst.values()]
    return sorted(rows, key=lambda row: (row["in"], row["behind"]))


def by_chance(mean: float, windows: int) -> int:
    """The count that one of so many windows reaches or passes with even odds, calls coming independently."""
    count, term, above = 0, math.exp(-mean), 1.0
    while above * max(1, windows) > 0.5 and count < 10_000:
        above -= term
        count += 1
        term *= mean / count
    return count


def causes(entries: Sequence[Entry]) -> dict[str, list[tuple[str, int]]]:
    """What may bring a herd, by endpoint ("": to all): what it is, and when, in the order of time."""
    found: defaultdict[str, list[tuple[str, int]]] = defaultdict(list)
    siblings: defaultdict[int, set[str]] = defaultdict(set)
    restarts: list[int] = []
    started: set[str] = set()
    for entry in entries:
        if entry.what == "call":
            siblings[entry.dest].add(entry.place)
    for entry in entries:
        if (entry.what == "state" and entry.note == "up") or entry.what in ("attach", "over"):
            found[entry.place or entry.who].append(("endpoint up", entry.at))
        elif entry.what == "answer" and entry.value:
            for place in siblings[entry.dest]:
                found[place].append(("wait over", entry.at + entry.value))
        elif entry.what == "up":
            if entry.who in started:
                restarts.append(entry.at)
                if len(restarts) >= RESTARTS and restarts[-RESTARTS] > entry.at - BEHIND_US:
                    found[""].append(("mass restart", entry.at))
            started.add(entry.who)
    return {place: sorted(some, key=lambda one: one[1]) for place, some in found.items()}


def cause(before: Mapping[str, Sequence[tuple[str, int]]], place: str, at: int) -> str:
    """The last thing that happened to an endpoint within the time for which calls are put down to it."""
    last = ("nothing", at - BEHIND_US)
    for some in (before.get(place, ()), before.get("", ())):
        index = bisect_right(some, at, key=lambda one: one[1]) - 1
        if index >= 0 and some[index][1] > last[1]:
            last = some[index]
    return last[0]


def idle(
    entries: Sequence[Entry], places: Mapping[str, int], begin: int, end: int
) -> dict[str, dict[str, Any]]:
    """The longest time that an endpoint was up without a call while a sibling had one queued, or was so."""
    table = Idle(places)
    answered = {(e.who, e.message, e.place) for e in entries if e.what == "answer"}
    for entry in entries:
        if entry.at > end:
            break
        if table.saw(entry, (entry.who, entry.message, entry.place) in answered):
            table.look(entry.place or entry.who, entry.at, begin)
    return dict(sorted(table.worst.items()))


class Idle:
    """What each endpoint has at a time. Calls that were given up without an answer are left out."""

    def __init__(self, places: Mapping[str, int]) -> None:
        self.places = places
        self.work: dict[str, Counter[str]] = {"queued": Counter(), "busy": Counter()}
        self.away: defaultdict[str, set[str]] = defaultdict(set)
        self.worst: dict[str, dict[str, Any]] = {}
        self._since: dict[tuple[str, str], int] = {}

    def saw(self, entry: Entry, answered: bool) -> bool:
        """Take in an entry; whether it changed anything."""
        place, queued, busy = entry.place or entry.who, *self.work.values()
        if place not in self.places or (entry.what in ("call", "ran") and not answered):
            return False
        match entry.what:
            case "call":
                queued[place] += 1
            case "ran":
                queued[place] -= 1
                busy[place] += 1
            case "answer":
                (busy if entry.note == "200" else queued)[place] -= 1
            case _:
                return leaves(entry, self.away[place])
        return True

    def look(self, changed: str, at: int, begin: int) -> None:
        """Whether any endpoint of the one's partner begins or ends to be idle."""
        siblings = [place for place, dest in self.places.items() if dest == self.places[changed]]
        for what, work in self.work.items():
            held = [place for place in siblings if work[place]]
            for place in siblings:
                idle = not any(counts[place] for counts in self.work.values()) and not self.away[place]
                if idle and any(other != place for other in held):
                    self._since.setdefault((what, place), at)
                elif (since := self._since.pop((what, place), at)) < at and since >= begin:
                    took = round((at - since) / SECOND_US, 3)
                    if took > self.worst.get(what, {"s": 0})["s"]:
                        at_s = round((since - begin) / SECOND_US, 1)
                        self.worst[what] = {"s": took, "at": place, "at_s": at_s}


def endings(entries: Sequence[Entry]) -> dict[str, int]:
    """How messages that were taken ended: by a partner's good answer, a notice, or without an end."""
    taken = {e.message for e in entries if e.what == "taken"}
    good = {e.message for e in entries if e.what == "answer" and e.note == "200"}
    notices = {e.message: e.note for e in entries if e.what == "notice"}
    found = Counter("delivered" if m in good else notices.get(m, "none told") for m in taken)
    return dict(sorted(found.items()))


def log_figures(entries: Sequence[Entry], pages: Sequence[Page], judge: LogChecker) -> dict[str, Any]:
    """The log: events, endings by it, when its order was settled, its lag, and what reads were told."""
    kinds = Counter(e["kind"] for order in judge.longest_orders.values() for e in order.events)
    asked = next((e.at for e in entries if e.what == "end"), 0)
    settled: dict[str, float] = {}
    for channel in sorted({page.channel for page in pages}):
        good = [
            p.at for p in pages
            if p.why == "wait" and p.channel == channel and p.settled_until >= p.as_of
            and not reports_missing(p, "what others wrote")
        ]  # fmt: skip
        if good:
            settled[channel] = round((min(good) - asked) / SECOND_US, 2)
    reads = [page for page in pages if page.why == "run"]
    lags = sorted(late for _, _, late in looks(entries, pages))
    why = Counter(each for page in reads for each in {reason(one) for one in page.missing})
    detached = [e for e in entries if e.what == "detach"]
    return {
        "events": sum(kinds.values()),
        "by_kind": dict(sorted(kinds.items())),
        "by_channel": {channel: len(order.events) for channel, order in sorted(judge.longest_orders.items())},
        "endings": {kind: kinds[kind] for kind in (DELIVERED, REFUSED, FAILED)},
        "keepers_asked": {c: len({o.by for o in some}) for c, some in sorted(judge.orders.items())},
        "settled_s": max(settled.values(), default=None),
        "settled_s_by_channel": settled,
        "complete": sum(page.complete for page in reads),
        "incomplete": sum(page.status == 200 and not page.complete for page in reads),
        "never_seen": sum(page.status == 404 for page in reads),
        "nobody": sum(page.status not in (200, 404) for page in reads),
        "why_incomplete": dict(sorted(why.items())),
        "lag_ms_p50": lags[len(lags) // 2] // 1000 if lags else None,
        "lag_ms_most": lags[-1] // 1000 if lags else None,
        "detach_heard_s": [heard(entries, one) for one in detached],
    }


def looks(entries: Sequence[Entry], pages: Sequence[Page]) -> list[tuple[int, str, int]]:
    """The looks at the log's lag: when, at which channel, and by how much; at most since the log is there."""
    began = next((e.value for e in entries if e.what == "clock"), 0)
    return [
        (p.at, p.channel, p.as_of - max(p.settled_until, began))
        for p in pages
        if p.why == "lag" and p.status == 200
    ]


def reason(one: Mapping[str, str]) -> str:
    """Why something is missing, without names and numbers."""
    what = one["what"]
    if what.startswith("events from"):
        return "not settled" if one["why"].startswith("not heard") else "too many to walk"
    if "earlier events" in what:
        return "limit"
    if "in the state" in what:
        return "lost events"
    return "gap" if what.startswith("events ") else "no keeper with all of it"


def heard(entries: Sequence[Entry], said: Entry) -> float:
    """How long behind a detach the last call of another sender came to the endpoint, before any attach."""
    later = [e for e in entries if e.place == said.place and e.at > said.at]
    until = min((e.at for e in later if e.what == "attach"), default=1 << 62)
    calls = [e.at for e in later if e.what == "call" and e.at < until]
    return round((max(calls, default=said.at) - said.at) / SECOND_US, 2)


def series(entries: Sequence[Entry], pages: Sequence[Page], slo_us: Mapping[str, int]) -> dict[str, Any]:
    """What a plot shows: by second from the first message on; times in seconds."""
    begin, end = run_span(entries)
    steps = (end - begin) // SECOND_US + 1
    calls: dict[str, list[int]] = {place: [0] * steps for place in places_of(entries)}
    handed, good = [0] * steps, [0] * steps
    ran = {e.message: e.at for e in reversed(entries) if e.what == "ran"}
    marks = []
    for entry in entries:
        step = (entry.at - begin) // SECOND_US
        if entry.what == "submit":
            handed[step] += 1
            good[step] += ran.get(entry.message, 1 << 62) - entry.at <= slo_us.get(entry.note, 0)
        elif entry.what == "call" and 0 <= step < steps:
            calls[entry.place][step] += 1
        elif entry.what in MARKS and step >= 0:
            who = entry.place if entry.what in ("detach", "attach") else entry.who or entry.place
            row: list[Any] = [round((entry.at - begin) / SECOND_US, 2), entry.what, who]
            marks.append([*row, entry.note])
    lag = [
        [round((at - begin) / SECOND_US, 2), channel, round(late / SECOND_US, 2)]
        for at, channel, late in looks(entries, pages)
    ]
    return {"calls": calls, "handed_in": handed, "in_time": good, "marks": marks, "lag": lag}
