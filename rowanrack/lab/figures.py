"""Statistics of a run: spread, bursts of calls, idle endpoints, outcomes and the event log. No I/O."""

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
CAUSE_WINDOW_US = 2 * SECOND_US  # calls within this time after an event are attributed to it
RANDOM_DRAWS_COUNT = 100
MASS_RESTART_COUNT = 3  # restarts within CAUSE_WINDOW_US that make a mass restart
MARKED_EVENTS = frozenset({"down", "up", "fault", "over", "detach", "attach", "layout", "state"})
WINDOW_WIDTHS_US = {"100 ms": SECOND_US // 10, "1 s": SECOND_US}


def run_span(entries: Sequence[Entry]) -> tuple[int, int]:
    """Return the times of the first and the last submitted message; 0, 0 without any."""
    at = [entry.at for entry in entries if entry.what == "submit"]
    return (min(at), max(at)) if at else (0, 0)


def endpoint_destinations(entries: Sequence[Entry]) -> dict[str, int]:
    """Return the destination of each endpoint that was listed or called; -1 if it is unknown."""
    found = {e.place: e.dest for e in entries if e.what == "call"}
    partners = {place.rpartition("-")[0]: dest for place, dest in found.items()}
    for entry in entries:
        if entry.what == "told" and entry.place not in found:
            found[entry.place] = partners.get(entry.place.rpartition("-")[0], -1)
    return dict(sorted(found.items()))


def traffic_statistics(entries: Sequence[Entry]) -> dict[str, Any]:
    """Return the spread by phase, bursts of calls, longest idle times beside a busy sibling, and outcomes."""
    begin, end = run_span(entries)
    if begin == end:
        return {}
    calls: defaultdict[str, list[int]] = defaultdict(list)
    for entry in entries:
        if entry.what == "call" and begin <= entry.at <= end:
            calls[entry.place].append(entry.at)
    destinations = endpoint_destinations(entries)
    return {
        "spread": spread(
            calls, destinations, begin, end, absences(entries, destinations), connections(entries)
        ),
        "herds": call_bursts(entries, calls, destinations, begin, end),
        "idle_s": longest_idle_times(entries, destinations, begin, end),
        "endings": count_outcomes(entries),
    }


def spread(
    calls: Mapping[str, Sequence[int]],
    destinations: Mapping[str, int],
    begin: int,
    end: int,
    absent: Mapping[str, Sequence[tuple[int, int]]],
    opened: Mapping[int, Sequence[int]],
) -> list[dict[str, Any]]:
    """Return for each phase of 30 s and each partner the most and the least calls at an endpoint.

    Both are relative to an even share, among the endpoints that were available for the whole phase; `away`
    lists the others. `chance_peak` and `chance_least` are the means of the same values if each call chose its
    endpoint at random. `new` is the number of new connections per call.
    """
    found = []
    for since in range(begin, end, PHASE_US):
        until = min(since + PHASE_US, end)
        if until - since < PHASE_US // 2 and since > begin:
            break  # the remainder is too short for a phase
        by_dest: defaultdict[int, dict[str, int]] = defaultdict(dict)
        for place, dest in destinations.items():
            by_dest[dest][place] = count_in(calls.get(place, ()), since, until)
        for dest, all_counts in sorted(by_dest.items()):
            away = [p for p in all_counts if any(a < until and b > since for a, b in absent.get(p, ()))]
            counts = {place: count for place, count in all_counts.items() if place not in away}
            if len(counts) < 2 or not (even_share := sum(counts.values()) / len(counts)):
                continue
            most, least = max(counts, key=counts.__getitem__), min(counts, key=counts.__getitem__)
            chance_peak, chance_least = random_spread(sum(counts.values()), list(counts))
            new_per_call = count_in(opened.get(dest, ()), since, until) / sum(all_counts.values())
            found.append(
                {"from_s": (since - begin) // SECOND_US, "dest": dest, "calls": sum(all_counts.values())}
                | {"endpoints": len(counts), "away": away}
                | {"peak": round(counts[most] / even_share, 2), "peak_at": most}
                | {"least": round(counts[least] / even_share, 2), "least_at": least}
                | {"chance_peak": round(chance_peak, 2), "chance_least": round(chance_least, 2)}
                | {"new": round(new_per_call, 3)}
            )
    return found


def random_spread(calls: int, endpoints: list[str]) -> tuple[float, float]:
    """Return the mean peak and least calls at an endpoint, over an even share, if calls choose at random."""
    rng = Random(0)
    peaks, leasts = zip(
        *(model_spread.by_chance(rng, calls, endpoints) for _ in range(RANDOM_DRAWS_COUNT)), strict=True
    )
    return fmean(peaks), fmean(leasts)


def connections(entries: Sequence[Entry]) -> dict[int, list[int]]:
    """Return the times at which connections were opened, by destination."""
    found: defaultdict[int, list[int]] = defaultdict(list)
    for entry in entries:
        if entry.what == "connected":
            found[entry.dest].append(entry.at)
    return found


def absences(entries: Sequence[Entry], destinations: Mapping[str, int]) -> dict[str, list[tuple[int, int]]]:
    """Return the intervals in which each endpoint was out of service, unlisted, detached or cut off."""
    found: defaultdict[str, list[tuple[int, int]]] = defaultdict(list)
    away: defaultdict[str, set[str]] = defaultdict(set)
    since: dict[str, int] = {}
    for entry in entries:
        place = entry.place or entry.who
        if place not in destinations or not update_absence(entry, away[place]):
            continue
        if away[place]:
            since.setdefault(place, entry.at)
        elif place in since:
            found[place].append((since.pop(place), entry.at))
    for place, at in since.items():
        found[place].append((at, NEVER_US))
    return found


def update_absence(entry: Entry, away: set[str]) -> bool:
    """Add or remove a reason for an endpoint's absence; returns False for an entry that has none."""
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
    """Count the sorted times with since <= time < until."""
    return bisect_left(times, until) - bisect_left(times, since)


def call_bursts(
    entries: Sequence[Entry],
    calls: Mapping[str, Sequence[int]],
    destinations: Mapping[str, int],
    begin: int,
    end: int,
) -> list[dict[str, Any]]:
    """Return the largest bursts of calls at one endpoint in 100 ms and in 1 s, by cause, over the mean.

    The mean is an even share of the partner's calls. `by_chance` is the largest burst to expect if calls are
    independent.
    """
    siblings = Counter(destinations.values())
    calls_by_dest: Counter[int] = Counter()
    for place, times in calls.items():
        calls_by_dest[destinations[place]] += len(times)
    causes_by_endpoint = possible_causes(entries)
    worst: dict[tuple[str, str], dict[str, Any]] = {}
    for place, times in calls.items():
        mean = calls_by_dest[destinations[place]] / siblings[destinations[place]] / (end - begin)
        for name, width in WINDOW_WIDTHS_US.items():
            chance = burst_by_chance(mean * width, (end - begin) // width * len(calls))
            for first, at in enumerate(times):
                count = bisect_left(times, at + width) - first
                key = last_cause(causes_by_endpoint, place, at), name
                ratio = count / (mean * width)
                if key not in worst or ratio > worst[key]["over_mean"]:
                    worst[key] = {"behind": key[0], "in": name, "calls": count, "over_mean": ratio}
                    worst[key] |= {"at": place, "at_s": (at - begin) / SECOND_US, "by_chance": chance}
    rows = [row | {key: round(row[key], 1) for key in ("over_mean", "at_s")} for row in worst.values()]
    return sorted(rows, key=lambda row: (row["in"], row["behind"]))


def burst_by_chance(mean: float, windows: int) -> int:
    """Return the count that, with even odds, one of the windows reaches if calls are independent."""
    count, term, above = 0, math.exp(-mean), 1.0
    while above * max(1, windows) > 0.5 and count < 10_000:
        above -= term
        count += 1
        term *= mean / count
    return count


def possible_causes(entries: Sequence[Entry]) -> dict[str, list[tuple[str, int]]]:
    """Return the possible causes of bursts with their times, by endpoint; "" holds those of all endpoints."""
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
                if (
                    len(restarts) >= MASS_RESTART_COUNT
                    and restarts[-MASS_RESTART_COUNT] > entry.at - CAUSE_WINDOW_US
                ):
                    found[""].append(("mass restart", entry.at))
            started.add(entry.who)
    return {place: sorted(some, key=lambda one: one[1]) for place, some in found.items()}


def last_cause(causes_by_endpoint: Mapping[str, Sequence[tuple[str, int]]], place: str, at: int) -> str:
    """Return the last possible cause at an endpoint within CAUSE_WINDOW_US before a time."""
    last = ("nothing", at - CAUSE_WINDOW_US)
    for some in (causes_by_endpoint.get(place, ()), causes_by_endpoint.get("", ())):
        index = bisect_right(some, at, key=lambda one: one[1]) - 1
        if index >= 0 and some[index][1] > last[1]:
            last = some[index]
    return last[0]


def longest_idle_times(
    entries: Sequence[Entry], destinations: Mapping[str, int], begin: int, end: int
) -> dict[str, dict[str, Any]]:
    """Return the longest times that an available endpoint was idle while a sibling had calls, by state."""
    tracker = IdleTracker(destinations)
    answered = {(e.who, e.message, e.place) for e in entries if e.what == "answer"}
    for entry in entries:
        if entry.at > end:
            break
        if tracker.apply(entry, (entry.who, entry.message, entry.place) in answered):
            tracker.update_idle_times(entry.place or entry.who, entry.at, begin)
    return dict(sorted(tracker.worst.items()))


class IdleTracker:
    """Tracks the calls at each endpoint over time, without calls that got no answer."""

    def __init__(self, destinations: Mapping[str, int]) -> None:
        self.destinations = destinations
        self.work: dict[str, Counter[str]] = {"queued": Counter(), "busy": Counter()}
        self.away: defaultdict[str, set[str]] = defaultdict(set)
        self.worst: dict[str, dict[str, Any]] = {}
        self._since: dict[tuple[str, str], int] = {}

    def apply(self, entry: Entry, answered: bool) -> bool:
        """Apply an entry; returns whether it changed the state of an endpoint."""
        place, queued, busy = entry.place or entry.who, *self.work.values()
        if place not in self.destinations or (entry.what in ("call", "ran") and not answered):
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
                return update_absence(entry, self.away[place])
        return True

    def update_idle_times(self, changed: str, at: int, begin: int) -> None:
        """Record where idle times begin or end among the endpoints of the changed endpoint's partner."""
        siblings = [place for place, dest in self.destinations.items() if dest == self.destinations[changed]]
        for what, work in self.work.items():
            working = [place for place in siblings if work[place]]
            for place in siblings:
                is_idle = not any(counts[place] for counts in self.work.values()) and not self.away[place]
                if is_idle and any(other != place for other in working):
                    self._since.setdefault((what, place), at)
                elif (since := self._since.pop((what, place), at)) < at and since >= begin:
                    idle_s = round((at - since) / SECOND_US, 3)
                    if idle_s > self.worst.get(what, {"s": 0})["s"]:
                        at_s = round((since - begin) / SECOND_US, 1)
                        self.worst[what] = {"s": idle_s, "at": place, "at_s": at_s}


def count_outcomes(entries: Sequence[Entry]) -> dict[str, int]:
    """Count the outcomes of accepted messages: a good answer of a partner, a notice, or neither."""
    taken = {entry.message for entry in entries if entry.what == "taken"}
    good = {e.message for e in entries if e.what == "answer" and e.note == "200"}
    notices = {e.message: e.note for e in entries if e.what == "notice"}
    found = Counter("delivered" if m in good else notices.get(m, "none told") for m in taken)
    return dict(sorted(found.items()))


def log_statistics(entries: Sequence[Entry], pages: Sequence[Page], checker: LogChecker) -> dict[str, Any]:
    """Return statistics of the event log: events, outcomes, time to settle, lag, and the results of reads."""
    kinds = Counter(e["kind"] for order in checker.longest_orders.values() for e in order.events)
    ended_at = next((e.at for e in entries if e.what == "end"), 0)
    settled: dict[str, float] = {}
    for channel in sorted({page.channel for page in pages}):
        settled_at = [
            p.at for p in pages
            if p.why == "wait" and p.channel == channel and p.settled_until >= p.as_of
            and not reports_missing(p, "what others wrote")
        ]  # fmt: skip
        if settled_at:
            settled[channel] = round((min(settled_at) - ended_at) / SECOND_US, 2)
    reads = [page for page in pages if page.why == "run"]
    lags = sorted(late for _, _, late in lag_measurements(entries, pages))
    why = Counter(each for page in reads for each in {missing_category(one) for one in page.missing})
    detached = [e for e in entries if e.what == "detach"]
    return {
        "events": sum(kinds.values()),
        "by_kind": dict(sorted(kinds.items())),
        "by_channel": {
            channel: len(order.events) for channel, order in sorted(checker.longest_orders.items())
        },
        "endings": {kind: kinds[kind] for kind in (DELIVERED, REFUSED, FAILED)},
        "keepers_asked": {c: len({o.by for o in some}) for c, some in sorted(checker.orders.items())},
        "settled_s": max(settled.values(), default=None),
        "settled_s_by_channel": settled,
        "complete": sum(page.complete for page in reads),
        "incomplete": sum(page.status == 200 and not page.complete for page in reads),
        "never_seen": sum(page.status == 404 for page in reads),
        "nobody": sum(page.status not in (200, 404) for page in reads),
        "why_incomplete": dict(sorted(why.items())),
        "lag_ms_p50": lags[len(lags) // 2] // 1000 if lags else None,
        "lag_ms_most": lags[-1] // 1000 if lags else None,
        "detach_heard_s": [last_call_after_detach_s(entries, one) for one in detached],
    }


def lag_measurements(entries: Sequence[Entry], pages: Sequence[Page]) -> list[tuple[int, str, int]]:
    """Return the measured lags of the log as (time, channel, lag); a lag is limited to the age of the log."""
    began = next((e.value for e in entries if e.what == "clock"), 0)
    return [
        (p.at, p.channel, p.as_of - max(p.settled_until, began))
        for p in pages
        if p.why == "lag" and p.status == 200
    ]


def missing_category(one: Mapping[str, str]) -> str:
    """Return the category of a reason for missing events, without names and numbers."""
    what = one["what"]
    if what.startswith("events from"):
        return "not settled" if one["why"].startswith("not heard") else "too many to walk"
    if "earlier events" in what:
        return "limit"
    if "in the state" in what:
        return "lost events"
    return "gap" if what.startswith("events ") else "no keeper with all of it"


def last_call_after_detach_s(entries: Sequence[Entry], detach: Entry) -> float:
    """Return how long after a detach the last call reached the endpoint, in seconds, before any attach."""
    later = [e for e in entries if e.place == detach.place and e.at > detach.at]
    until = min((e.at for e in later if e.what == "attach"), default=1 << 62)
    calls = [e.at for e in later if e.what == "call" and e.at < until]
    return round((max(calls, default=detach.at) - detach.at) / SECOND_US, 2)


def plot_series(entries: Sequence[Entry], pages: Sequence[Page], slo_us: Mapping[str, int]) -> dict[str, Any]:
    """Return the data of the plot, by second from the first message; times are in seconds."""
    begin, end = run_span(entries)
    steps = (end - begin) // SECOND_US + 1
    calls: dict[str, list[int]] = {place: [0] * steps for place in endpoint_destinations(entries)}
    submitted, in_time = [0] * steps, [0] * steps
    ran = {e.message: e.at for e in reversed(entries) if e.what == "ran"}
    marks = []
    for entry in entries:
        step = (entry.at - begin) // SECOND_US
        if entry.what == "submit":
            submitted[step] += 1
            in_time[step] += ran.get(entry.message, 1 << 62) - entry.at <= slo_us.get(entry.note, 0)
        elif entry.what == "call" and 0 <= step < steps:
            calls[entry.place][step] += 1
        elif entry.what in MARKED_EVENTS and step >= 0:
            who = entry.place if entry.what in ("detach", "attach") else entry.who or entry.place
            row: list[Any] = [round((entry.at - begin) / SECOND_US, 2), entry.what, who]
            marks.append([*row, entry.note])
    lag = [
        [round((at - begin) / SECOND_US, 2), channel, round(late / SECOND_US, 2)]
        for at, channel, late in lag_measurements(entries, pages)
    ]
    return {"calls": calls, "handed_in": submitted, "in_time": in_time, "marks": marks, "lag": lag}
