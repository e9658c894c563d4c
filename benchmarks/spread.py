"""How evenly a fleet of decision modules spreads its calls, in virtual time and with no partner in the way.

Many forwarders call the endpoints of one destination. Counted are the calls at each endpoint against an even
part, the new connections, the refusals for want of them, and herds in time after something that all see.
"""

from __future__ import annotations

import heapq
import itertools
import json
import math
import os
import sys
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from statistics import fmean
from subprocess import PIPE, Popen
from typing import Any

from rowanspindle import (
    Accept,
    ArmTimer,
    Cancel,
    DestinationKind,
    Disconnect,
    Effect,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Forwarder,
    MessageClass,
    Outcome,
    Result,
    Send,
    Settings,
    TimerFired,
    UpdateScope,
    WatchEndpointList,
)

HERE = Path(__file__).parent.parent
SECOND_US = 1_000_000
IDLE_PART = 0.6  # of the keep-alive after which a sender's pool closes an idle connection
CLASS = MessageClass("c", 2 * SECOND_US, 8 * SECOND_US, 1.0, 0.3, Effect.SAFE)
HAPPENINGS = ("joins", "returns", "wait ends", "discovery returns", "restart")


@dataclass(frozen=True)
class Plan:
    """What is measured. Rates a second over all senders, times in seconds unless the name says otherwise."""

    senders: int = 200
    endpoints: int = 20
    rate: float = 60.0
    uneven: float = 0.9  # deviation of the logarithm of a sender's rate
    phase: float = 30.0
    warm: float = 10.0
    late: float = 2.0  # within which every sender has heard a change of the list
    answer: float = 0.15  # median answer time,
    spread: float = 0.3  # and the deviation of its logarithm
    handshake: float = 0.01
    streams: int = 1
    keepalive: float = 10.0
    table: int = 0  # connections that an endpoint takes; 0: any number
    told: float = 0.0  # the rough rate that the list tells; 0: none
    zones: int = 1
    happening: str = ""  # one of HAPPENINGS, in the place of phases,
    outage: float = 8.0  # for which an endpoint that returns was down,
    watched: float = 10.0  # and for which calls are counted after it
    seed: int = 1


class Sender:
    """One forwarder with its pool of connections."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.lives = fleet, number, 0
        self.start()

    def start(self) -> None:
        """A process begins, and knows nothing."""
        self.lives += 1
        self.forwarder = Forwarder(
            self.fleet.settings, self.fleet.plan.seed * 100_003 + self.number + self.lives * 7919
        )
        self.legs, self.out = Counter[int](), dict[tuple[int, int], str]()
        self.idle: dict[str, list[int]] = {}  # its idle connections, by numbers

    def decide(self, *events: Event) -> None:
        """One round, and what follows of it."""
        fleet = self.fleet
        for action in self.forwarder.decide(fleet.now, list(events)):
            match action:
                case Send():
                    leg = self.legs[action.ref]
                    self.legs[action.ref] += 1
                    self.out[action.ref, leg] = action.target
                    fleet.call(self, action, leg)
                case ArmTimer():
                    fleet.after(action.after_us, self.timer, action.token, self.lives)
                case Cancel():
                    self.end(action.ref, action.attempt_number, self.lives, Result.CANCELLED, 0)
                case Disconnect():
                    fleet.open[action.target] -= len(self.idle.pop(action.target, []))
                case WatchEndpointList():
                    pass

    def timer(self, token: int, life: int) -> None:
        """A timer is due."""
        if life == self.lives:
            self.decide(TimerFired(token))

    def connection(self, target: str) -> bool:
        """Take an idle connection, the one used last; whether there is one."""
        return bool((lines := self.idle.get(target)) and lines.pop())

    def expire(self, target: str, line: int) -> None:
        """A connection has been idle for too long."""
        if line in (lines := self.idle.get(target, [])):
            lines.remove(line)
            self.fleet.open[target] -= 1

    def end(
        self, ref: int, leg: int, life: int, result: Result, latency: int, wait: int = 0, kept: bool = True
    ) -> None:
        """A call has ended; its connection may stay."""
        if life != self.lives or (target := self.out.pop((ref, leg), None)) is None:
            return
        if result is Result.OK or (result is Result.FULL and kept):
            line = next(self.fleet.turn)
            self.idle.setdefault(target, []).append(line)
            self.fleet.after(
                int(self.fleet.plan.keepalive * IDLE_PART * SECOND_US), self.expire, target, line
            )
        elif result is not Result.CONNECT_FAILED:
            self.fleet.open[target] -= kept
        self.decide(Outcome(ref, leg, target, result, latency, result is Result.OK, wait))


class Fleet:
    """All senders, the endpoints that they call, and the virtual time in between."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.rng, self.now = plan, Random(plan.seed), 0
        self.settings = Settings(
            classes={"c": CLASS},
            slots=50,
            most_held=500,
            tenants={},
            kinds={"k": DestinationKind()},
            replicas=plan.senders,
            keepalive_us=int(plan.keepalive * SECOND_US),
            streams_per_conn=plan.streams,
            weights_told=plan.told > 0,
        )
        self.queue: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        self.turn = itertools.count(1)
        self.calls: list[tuple[int, str]] = []  # when and where,
        self.lasted: list[int] = []  # and for how long
        self.new = self.short = self.refs = self.vain = 0
        self.open, self.most_open = Counter[str](), 0
        self.down: set[str] = set()
        self.full_until = 0
        self.listed = [f"e{n}" for n in range(plan.endpoints)]
        self.senders = [Sender(self, n) for n in range(plan.senders)]
        self.weights = list(
            itertools.accumulate(math.exp(self.rng.gauss(0, plan.uneven)) for _ in range(plan.senders))
        )

    def after(self, us: int, what: Any, *args: Any) -> None:
        """Do something so much later; ties in the order of asking."""
        heapq.heappush(self.queue, (self.now + us, next(self.turn), what, args))

    def member(self, target: str) -> EndpointEntry:
        """An endpoint as the list shows it."""
        zone = f"z{int(target[1:]) % self.plan.zones}"
        return EndpointEntry(target, zone, "k", 1, EndpointStatus.LISTED, self.plan.told)

    def list(self, sender: Sender, life: int) -> None:
        """The sender hears the list as it stands."""
        if life == sender.lives:
            sender.decide(EndpointListUpdate(UpdateScope.FULL, tuple(map(self.member, self.listed))))

    def change(self, add: tuple[str, ...] = (), drop: tuple[str, ...] = ()) -> None:
        """The list changes, and each sender hears of it in its own time."""
        self.listed = [t for t in (*self.listed, *add) if t not in drop]
        for sender in self.senders:
            self.after(int(self.rng.random() * self.plan.late * SECOND_US), self.list, sender, sender.lives)

    def arrive(self) -> None:
        """A message comes to one of the senders."""
        self.refs += 1
        (sender,) = self.rng.choices(self.senders, cum_weights=self.weights)
        sender.decide(Accept(self.refs, "c", 1, CLASS.deadline_us))
        self.after(int(self.rng.expovariate(self.plan.rate) * SECOND_US), self.arrive)

    def call(self, sender: Sender, send: Send, leg: int) -> None:
        """A call goes out, on an idle connection or a new one."""
        plan, target = self.plan, send.target
        shared = sum(t == target for t in sender.out.values()) - 1  # calls that its connections carry already
        kept = sender.connection(target) or shared % plan.streams > 0
        self.calls.append((self.now, target))
        result, wait, latency = Result.OK, 0, plan.answer * math.exp(self.rng.gauss(0, plan.spread))
        line = True
        if target in self.down:
            result, latency, kept = Result.CONNECT_FAILED, 0.002, True
            self.vain += 1
        elif self.now < self.full_until:
            result, latency, wait = Result.FULL, 0.02, self.full_until - self.now + SECOND_US
        if not kept:
            self.new += 1
            latency += plan.handshake
            if plan.table and self.open[target] >= plan.table:
                self.short, result, latency, line = self.short + 1, Result.FULL, 0.02, False
            else:
                self.open[target] += 1
                self.most_open = max(self.most_open, self.open[target])
        us = max(1, int(latency * SECOND_US))
        self.lasted.append(us)
        self.after(us, sender.end, send.ref, leg, sender.lives, result, us, wait, line)

    def run(self, until: float) -> None:
        """Let time pass up to there."""
        while self.queue and self.queue[0][0] < until * SECOND_US:
            self.now, _, what, args = heapq.heappop(self.queue)
            what(*args)
        self.now = int(until * SECOND_US)


def parts(calls: list[tuple[int, str]], listed: list[str]) -> tuple[float, float]:
    """The most and the least calls at one endpoint over an even part."""
    count = Counter(target for _, target in calls)
    even = len(calls) / len(listed)
    return max(count[t] for t in listed) / even, min(count[t] for t in listed) / even


def herds(calls: list[tuple[int, str]], listed: list[str], start: int, end: int) -> dict[str, float]:
    """The most calls at one endpoint in 100 ms and in a second, and the longest time without one."""
    found = {"in_100ms": 0, "in_1s": 0, "idle_s": 0.0}
    for target in listed:
        times = [at for at, t in calls if t == target]
        for key, width in (("in_100ms", SECOND_US // 10), ("in_1s", SECOND_US)):
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - width:
                    first += 1
                found[key] = max(found[key], last - first + 1)
        gaps = [b - a for a, b in itertools.pairwise([start, *times, end])]
        found["idle_s"] = max(found["idle_s"], max(gaps) / SECOND_US)
    return found


def passed_over(calls: list[tuple[int, str]], lasted: list[int], listed: list[str], end: int) -> float:
    """The most seconds that one endpoint stood without a call, until its next one, while some sibling had two
    or more out at the same time. A pause of all counts nothing, however long."""
    ends = ((at + us, n, -1, target) for n, ((at, target), us) in enumerate(zip(calls, lasted, strict=True)))
    starts = ((at, n, 1, target) for n, (at, target) in enumerate(calls))
    out, stood, most, before, double = Counter[str](), dict.fromkeys(listed, 0), 0, calls[0][0], 0
    for at, _, step, target in sorted((*ends, *starts)):
        if double:
            for idle in listed:
                stood[idle] += (min(at, end) - min(before, end)) * (not out[idle])
        double += (step > 0 and out[target] == 1) - (step < 0 and out[target] == 2)
        out[target] += step
        before = at
        if step > 0 and target in stood:
            most, stood[target] = max(most, stood[target]), 0
    return max(most, *stood.values()) / SECOND_US


def happen(fleet: Fleet, at: float) -> float:
    """Let the plan's happening come about at that time; when it is over, which is when herds may form."""
    plan, new = fleet.plan, f"e{fleet.plan.endpoints}"
    match plan.happening:
        case "joins":
            fleet.change(add=(new,))
            return at
        case "returns":
            fleet.down = {"e0"}
            fleet.run(at + plan.outage)
            fleet.down = set()
            return at + plan.outage
        case "wait ends":
            fleet.full_until = int((at + 1) * SECOND_US)
            return at + 2
        case "discovery returns":
            for sender in fleet.senders:
                fleet.after(
                    fleet.rng.randrange(SECOND_US), sender.decide, EndpointListUpdate(UpdateScope.FAILED)
                )
            fleet.run(at + 8)
            fleet.change(add=(new, new + "1"), drop=("e1",))
            return at + 8
        case _:
            for sender in fleet.senders:
                sender.start()
                fleet.list(sender, sender.lives)
            return at


def measure(plan: Plan) -> dict[str, Any]:
    """One run: three phases, an endpoint joining before the second and another leaving before the third, or a
    happening and the seconds watched after it. `chance_`: the same calls, each at an endpoint by pure chance;
    `part`: calls at the first endpoint, which may have been down, over an even part; `vain`: those before."""
    fleet = Fleet(plan)
    for sender in fleet.senders:
        fleet.list(sender, 1)
    fleet.arrive()
    fleet.run(plan.warm)
    now, row = plan.warm, asdict(plan)
    dice = Random(plan.seed)
    if plan.happening:
        start = happen(fleet, now)
        fleet.run(start + plan.watched)
        after = [c for c in fleet.calls if c[0] >= start * SECOND_US]
        lasted = fleet.lasted[-len(after) :]
        span = int(start * SECOND_US), int((start + plan.watched) * SECOND_US)
        row["part"] = sum(t == "e0" for _, t in after) * len(fleet.listed) / len(after)
        row["vain"] = fleet.vain
        row |= herds(after, fleet.listed, *span)
        lots = [(at, dice.choice(fleet.listed)) for at, _ in after]
        drawn = herds(lots, fleet.listed, *span)
        row["passed_s"] = passed_over(after, lasted, fleet.listed, span[1])
        drawn["passed_s"] = passed_over(lots, lasted, fleet.listed, span[1])
        row["even_1s"] = len(after) / len(fleet.listed) * SECOND_US / (span[1] - span[0])
        row |= {f"chance_{key}": value for key, value in drawn.items()}
    else:
        for phase in range(3):
            fleet.run(now + plan.phase)
            calls = [c for c in fleet.calls if c[0] >= now * SECOND_US]
            row[f"peak{phase + 1}"], row[f"least{phase + 1}"] = parts(calls, fleet.listed)
            lots = [(at, dice.choice(fleet.listed)) for at, _ in calls]
            row[f"chance_peak{phase + 1}"], row[f"chance_least{phase + 1}"] = parts(lots, fleet.listed)
            now += plan.phase
            if phase < 2:
                fleet.change(*(((f"e{plan.endpoints}",), ()), ((), ("e1",)))[phase])
                now += plan.late
                fleet.run(now)
    count = len(fleet.calls)
    row |= {"calls": count, "new": fleet.new / count, "short": fleet.short / count, "open": fleet.most_open}
    return row


def measured(tree: Path, plans: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Each plan played by the decisions of that checkout. Raises RuntimeError if they do not run."""
    env = os.environ | {"PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"}
    with Popen([sys.executable, __file__], stdin=PIPE, stdout=PIPE, stderr=PIPE, text=True, env=env) as ran:
        assert ran.stdin is not None and ran.stdout is not None and ran.stderr is not None
        for plan in plans:
            try:
                ran.stdin.write(json.dumps(plan) + "\n")
                ran.stdin.flush()
                line = ran.stdout.readline()
            except BrokenPipeError:
                line = ""
            if not line:
                raise RuntimeError((ran.stderr.read().strip().splitlines() or ["it says nothing"])[-1])
            yield json.loads(line)
        ran.stdin.close()


def cases_of(rows: list[dict[str, Any]]) -> list[list[dict[str, Any]]]:
    """The rows of each case: they differ by the seed alone."""
    kept = ("tree", "happening", "senders", "endpoints", "streams", "table", "zones")
    grouped: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for row in rows:
        grouped.setdefault(tuple(row[k] for k in kept), []).append(row)
    return list(grouped.values())


def spreads_of(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Each case: means over seeds and phases, and the worst of them."""
    found = []
    for runs in cases_of(rows):
        row = dict(runs[0])
        for key in ("peak", "least", "chance_peak", "chance_least"):
            values = [r[f"{key}{phase}"] for r in runs for phase in (1, 2, 3)]
            row[key] = fmean(values)
            row[f"{key}_worst"] = (max if "peak" in key else min)(values)
        row |= {key: fmean(r[key] for r in runs) for key in ("new", "short")}
        found.append({**row, "open": max(r["open"] for r in runs)})
    return found


def herds_of(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Each case: means over seeds of what was worst in each. `over_`: times what comes to one endpoint in the
    mean of the seconds watched."""
    keys = [f"{by}{key}" for by in ("", "chance_") for key in ("in_100ms", "in_1s", "idle_s", "passed_s")]
    found = []
    for runs in cases_of(rows):
        row = {**runs[0], **{k: fmean(float(x[k]) for x in runs) for k in (*keys, "even_1s")}}
        for by in ("", "chance_"):
            row[f"{by}over_100ms"] = fmean(10 * x[f"{by}in_100ms"] / x["even_1s"] for x in runs)
            row[f"{by}over_1s"] = fmean(x[f"{by}in_1s"] / x["even_1s"] for x in runs)
        found.append(row)
    return found


if __name__ == "__main__":
    for line in sys.stdin:
        print(json.dumps(measure(Plan(**json.loads(line)))), flush=True)
