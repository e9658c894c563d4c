"""Fitting the fleet to a recording, and how far the model is then from it.

Nothing but the recording is looked at. Each figure's fit is described in `docs/recordings.md`.
"""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from rowanrack.model.engine import SECOND_US
from rowanrack.model.partner import Figures, Limit
from rowanrack.model.recorded import KIND, CallSeen, Timeline, finished, items_of
from rowanrack.model.scenario import Scenario
from rowanrack.model.worth import service

WINDOWS_US = (500_000, 1 * SECOND_US, 2 * SECOND_US, 5 * SECOND_US, 10 * SECOND_US)
STEPS = 7  # rates tried to each side of a middle one
COARSE, FINE = 1.15, 1.02  # factors between them, in two passes
REFINED = 4  # shapes that are looked at closely
PLAIN = 100  # calls in each of which a shape that says more must explain one more
OUTAGE_LEAST_US = 300_000
OUTAGE_CALLS = 2  # that failed in a row
QUICK_US = 500_000  # a connection that fails sooner was refused, one that fails later met silence
SLOW_TIMES = 2.2  # a second's median over the whole one, from which on it counts as slow
SLOW_CALLS = 3  # in a second that can be slow
NO_LIMIT_WIDTH = 4  # times the calls seen at once, where no limit shows

# How far a figure of the model may lie from the recording's: absolutely, or as a part of it.
MARGINS = {"worth": (0.05, 0.0), "in_time": (0.05, 0.0), "late": (0.05, 0.0), "refused": (0.05, 0.0),
           "failed": (0.05, 0.0), "p50": (15.0, 0.20), "p90": (30.0, 0.30), "p99": (60.0, 0.35)}  # fmt: skip
# Or, for a quantile that falls where times are sparse: how far the share of the model's messages that end
# within the recorded time may lie from it.
RANKS = {"p50": 0.08, "p90": 0.03, "p99": 0.01}
SHARES = ("worth", "in_time", "late", "refused", "failed")


class LimitFit(NamedTuple):
    """A limit that explains which calls were refused."""

    kind: str
    rate: float
    window_us: int
    counts: bool
    wrong: int  # calls that it gets wrong
    calls: int


class Outage(NamedTuple):
    """A place that failed for a while."""

    at_us: int
    for_us: int
    place: str
    state: str


class DestFit(NamedTuple):
    """One destination."""

    dest: int
    kind: str
    listed: float
    places: tuple[str, ...]
    limit: LimitFit | None
    told: float
    wait_us: tuple[int, int]
    service_us: float
    spread: float
    width: int
    slow: list[tuple[int, int, float]]


def seconds_taken(calls: Iterable[tuple[int, bool]]) -> Counter[int]:
    """How many of the calls (when, refused) were taken, second by second."""
    return Counter(at // SECOND_US for at, refused in calls if not refused)


def replay(
    calls: list[tuple[int, bool]], seen: Counter[int], kind: str, rate: float, window_us: int, counts: bool
) -> int:
    """By how many calls a limit is wrong about what was taken in each second.

    Not call by call: a rate that is off by a hundredth refuses the neighbours of those that were refused.
    """
    # Only the limit's own figures mean anything here.
    limit = Limit(Figures(kind, rate, window_us, 0, (0, 0), counts, 1, 0, 1, 0, 0, 0, 1, 1, 1, 1, 0))
    found = seconds_taken((at, limit.take(at) > 0) for at, _ in calls)
    return sum(abs(found[second] - seen[second]) for second in found.keys() | seen.keys())


def fit_limit(calls: list[tuple[int, bool]], listed: float = 0.0) -> LimitFit | None:
    """The limit that is wrong about fewest calls, the plainer one of two alike; None where none shows.

    The rate that the list tells is taken where it explains them as well: a sender that keeps to it is seldom
    refused, and a few refusals tell little else.
    """
    refused = sum(was for _, was in calls)
    if not refused:
        return None
    seen = seconds_taken(calls)
    span_s = max(1.0, (calls[-1][0] - calls[0][0]) / SECOND_US)
    middle = max(0.3, seen.total() / span_s)

    def best_of(shape: tuple[str, int, bool], rates: Iterable[float]) -> LimitFit:
        kind, window, counts = shape
        tried = (LimitFit(kind, r, window, counts, replay(calls, seen, kind, r, window, counts), len(calls))
                 for r in rates)  # fmt: skip
        return min(tried, key=lambda one: one.wrong)

    windows = [("rate", SECOND_US), *(("window", w) for w in WINDOWS_US)]
    shapes = [(kind, window, counts) for counts in (False, True) for kind, window in windows]
    coarse = [best_of(s, (middle * COARSE**n for n in range(-STEPS, STEPS + 1))) for s in shapes]
    chosen: LimitFit | None = None
    for rough in sorted(coarse, key=lambda one: one.wrong)[:REFINED]:
        shape = rough.kind, rough.window_us, rough.counts
        fine = best_of(shape, (rough.rate * FINE**n for n in range(-STEPS, STEPS + 1)))
        # A shape that says more must explain clearly more.
        words = (fine.kind == "window") + 2 * fine.counts
        had = 0 if chosen is None else (chosen.kind == "window") + 2 * chosen.counts
        if chosen is None or fine.wrong + (words - had) * (1 + len(calls) // PLAIN) < chosen.wrong:
            chosen = fine
    assert chosen is not None
    if listed > 0:
        told = best_of(("rate", SECOND_US, False), (listed,))
        # No limit at all would be wrong about each refusal.
        if told.wrong < refused and told.wrong <= chosen.wrong + 1 + len(calls) // PLAIN:
            return told
    return chosen


def fit_times(times_us: list[float]) -> tuple[float, float]:
    """Mean and coefficient of variation of a lognormal service time, by its median and quartiles."""
    if not times_us:
        return 150_000.0, 0.3
    ordered = sorted(max(1.0, t) for t in times_us)
    logs = [math.log(t) for t in ordered]
    mid = statistics.median(logs)
    low, high = (logs[int((len(logs) - 1) * q)] for q in (0.25, 0.75))
    sigma = (high - low) / 1.349  # of a normal distribution, so that stray long answers do not count
    return math.exp(mid + sigma**2 / 2), math.sqrt(math.expm1(min(4.0, sigma**2)))


def outages(calls: list[CallSeen], unmade: list[CallSeen], end_us: int) -> list[Outage]:
    """When each place failed: from the first of some failures in a row to the next call that went well."""
    found: list[Outage] = []
    by_place: dict[str, list[CallSeen]] = {}
    for call in sorted([*calls, *(c for c in unmade if c.result == "connect_failed")]):
        if call.result not in ("cancelled", "moot"):
            by_place.setdefault(call.place, []).append(call)
    for place, seen in sorted(by_place.items()):
        row: list[CallSeen] = []
        last: list[CallSeen | None] = [*seen, None]
        for one in last:
            if one is not None and one.result not in ("ok", "full"):
                row.append(one)
                continue
            over = one.at_us if one is not None else end_us
            if len(row) >= OUTAGE_CALLS and over - row[0].at_us >= OUTAGE_LEAST_US:
                found.append(Outage(row[0].at_us, over - row[0].at_us, place, state_of(row)))
            row = []
    return found


def state_of(row: list[CallSeen]) -> str:
    """What a place was at, by how its calls ended."""
    votes = {"silent": 0, "down": 0, "failing": 0}
    for call in row:
        match call.result:
            case "timeout":
                votes["silent"] += 1
            case "error":
                votes["failing"] += 1
            case "connect_failed":
                # A silent place takes a call's whole time until it has failed, a closed port none.
                votes["silent" if call.waited_us >= QUICK_US else "down"] += 1
            case _:
                votes["down"] += 1
    return max(votes, key=lambda state: votes[state])


def slow_spans(calls: list[CallSeen], usual_us: float) -> list[tuple[int, int, float]]:
    """Seconds in a row in which answers took far longer than usual, with how many times as long."""
    seconds: dict[int, list[float]] = {}
    for call in calls:
        if call.result == "ok":
            seconds.setdefault(call.at_us // SECOND_US, []).append(call.over_us - call.at_us)
    times = {s: statistics.median(v) / usual_us for s, v in seconds.items() if len(v) >= SLOW_CALLS}
    found: list[tuple[int, int, float]] = []
    for second in sorted(times):
        if times[second] < SLOW_TIMES:
            continue
        if found and found[-1][0] + found[-1][1] == second:
            begin, length, factor = found[-1]
            found[-1] = (begin, length + 1, (factor * length + times[second]) / (length + 1))
        else:
            found.append((second, 1, times[second]))
    return found


def at_once(calls: Iterable[CallSeen]) -> int:
    """The most calls that were out together."""
    steps = sorted(
        [(c.at_us, 1) for c in calls] + [(c.over_us, -1) for c in calls], key=lambda s: (s[0], s[1])
    )
    most = now = 0
    for _, step in steps:
        now += step
        most = max(most, now)
    return most


def fit(found: Timeline, progress: Callable[[int], None] = lambda done: None) -> list[DestFit]:
    """Every destination that was called or asked for."""
    dests = sorted({a.dest for a in found.arrivals} & {i.dest for i in found.listed.values()})
    fitted: list[DestFit] = []
    for number, dest in enumerate(dests):
        calls = found.calls.get(dest, [])
        places = tuple(i.name for i in found.listed.values() if i.dest == dest)
        first = found.listed[places[0]]
        judged = [(c.at_us, c.result == "full") for c in calls if c.result in ("ok", "full")]
        limit = fit_limit(judged, first.rate)
        refused = [c for c in calls if c.result == "full"]
        waits = sorted(c.wait_us for c in refused if c.wait_us)
        times = [float(c.over_us - c.at_us) for c in calls if c.result == "ok"]
        service_us, spread = fit_times(times)
        usual = statistics.median(times) if times else service_us
        width = max(4, math.ceil(NO_LIMIT_WIDTH * at_once(calls) / len(places)))
        span = (
            (waits[int(len(waits) * 0.02)], waits[int((len(waits) - 1) * 0.98)])
            if waits
            else (300_000, 750_000)
        )
        fitted.append(
            DestFit(
                dest,
                first.kind,
                first.rate,
                places,
                limit,
                len(waits) / len(refused) if refused else 0.0,
                span,
                service_us,
                spread,
                width,
                slow_spans(calls, usual),
            )
        )
        progress(number + 1)
    return fitted


def scenario_text(found: Timeline, fitted: list[DestFit], files: list[str]) -> str:
    """The calibrated fleet as a scenario, which a reader may change."""
    begins, day_s = (
        found.begins[0],
        max(1, math.ceil(max((a.at_us for a in finished(found)), default=0) / SECOND_US)),
    )
    arrivals = finished(found)
    lines = [
        "# Fitted to a recording by `rowanrack model calibrate`.",
        "recorded " + " ".join(f'"{f}"' for f in files),
        f"day {day_s} s",
        f"tick {begins.tick_us / 1000:g} ms",
        "zones here apart 1 ms jitter 0 %",
        f"senders {len(found.begins)} slots {begins.slots} held {begins.held} tries {begins.tries}",
        "discovery late 0 ms to 200 ms",
    ]
    for name, aim, deadline, _, late_worth, repeatable in begins.classes:
        share = sum(a.cls == name for a in arrivals) / max(1, len(arrivals))
        lines.append(
            f"class {name} share {share * 100:.2f} % aim {aim / 1e6:g} s deadline {deadline / 1e6:g} s "
            f"late-worth {late_worth * 100:.2f} % {'repeatable' if repeatable else 'once'}"
        )
    for member, quota in begins.tenants.items():
        share = sum(a.member == member for a in arrivals) / max(1, len(arrivals))
        lines.append(f"member {member} share {share * 100:.2f} % quota {quota:g}/s")
    events: list[tuple[int, str]] = []
    for number, one in enumerate(fitted, 1):
        lines.append(_kind_line(one, begins.cold_share, begins.ramp_us, begins.overload, begins.fall_us))
        failed = outages(found.calls.get(one.dest, []), found.unmade.get(one.dest, []), found.end_us)
        for place, name in enumerate(one.places, 1):
            where = f"place {place} of partner {number}"
            for outage in failed:
                if outage.place == name:
                    lasts = f"at {outage.at_us / 1e6:.3f} s for {outage.for_us / 1e6:.3f} s"
                    events.append((outage.at_us, f"{lasts} {where} {outage.state}"))
            for at, gone, status in found.removed:
                if gone == name and at > 0:
                    word = "drains" if status == "draining" else "leaves"
                    events.append((at, f"at {at / 1e6:.3f} s {where} {word}"))
        ends = [o.at_us + o.for_us for o in failed]
        for second, length, factor in one.slow:
            # A place that comes back is cold in the model of itself.
            if any(-SECOND_US <= second * SECOND_US - end <= begins.ramp_us for end in ends):
                continue
            what = f"at {second} s for {length} s partner {number} slow {factor:.2f}"
            events.append((second * SECOND_US, what))
    lines.append(f"traffic {len(arrivals) / day_s:.3f}/s")
    return "\n".join([*lines, *(text for _, text in sorted(events))]) + "\n"


def _kind_line(one: DestFit, cold: float, ramp_us: int, overload: float, fall_us: int) -> str:
    words = [f"kind {KIND}{one.dest} partners 1 places {len(one.places)}"]
    if one.limit is None:
        words.append("unlimited")
    elif one.limit.kind == "rate":
        words.append(f"limit rate {one.limit.rate:.4f}/s")
    else:
        words.append(f"limit window {one.limit.rate:.4f}/s in {one.limit.window_us / 1e6:g} s")
    if one.told:
        low, high = one.wait_us
        words.append(f"told {one.told * 100:.1f} % {low / 1000:.1f} ms to {high / 1000:.1f} ms")
    if one.limit is not None and one.limit.counts:
        words.append("refusals count")
    served = f"{one.service_us / 1000:.3f} ms"
    words.append(f"answers {served} to {served} spread {one.spread * 100:.1f} %")
    words.append(f"width {one.width} queue {one.width}")
    words.append(f"handshake 1 ms cold {cold * 100:g} % for {ramp_us / 1e6:g} s")
    words.append(f"falls at {overload:g} within {fall_us / 1e6:g} s listed {one.listed:g}/s")
    return " ".join(words)


# How far the model is from the recording.


def recorded_figures(found: Timeline, scenario: Scenario) -> dict[str, Any]:
    """The recording's own figures, counted as the model's are."""
    return service(items_of(finished(found), scenario, True), scenario, found.begun, found.wasted, 0, 0)


def compared(recorded: dict[str, Any], results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A row for each figure: recorded, the model's mean, its margin, and whether it lies within.

    The results are of runs with their details. For a quantile `rank` is the share of the model's messages
    that end within the recorded time.
    """
    table: list[dict[str, Any]] = []

    def add(title: str, wanted: float, values: list[float], margin: str, times: list[list[int]]) -> None:
        absolute, part = MARGINS[margin]
        mean, allowed, rank = statistics.fmean(values), max(absolute, part * wanted), None
        within = abs(mean - wanted) <= allowed
        if margin in RANKS and any(times):
            rank = statistics.fmean(sum(t <= wanted * 1000 for t in run) / max(1, len(run)) for run in times)
            within = within or abs(rank - float(margin[1:]) / 100) <= RANKS[margin]
        table.append({"figure": title, "recorded": wanted, "model": mean, "least": min(values),
                      "most": max(values), "margin": allowed, "rank": rank, "within": within})  # fmt: skip

    def group(title: str, one: dict[str, Any], runs: list[dict[str, Any]], times: list[list[int]]) -> None:
        for name in SHARES:
            add(title + name, one[name], [r[name] for r in runs], name, [])
        for q in RANKS:
            add(f"{title}{q}_ms", one["times_ms"][q], [r["times_ms"][q] for r in runs], q, times)

    group("", recorded, results, [r["detail"]["times_us"] for r in results])
    for cls, figures in recorded["by_class"].items():
        runs = [r["by_class"][cls] for r in results]
        group(f"{cls} ", figures, runs, [r["detail"]["class_times_us"][cls] for r in results])
    return table
