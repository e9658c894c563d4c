"""What notes among 200 senders bring: the model's days without them, and with notes to some or all others.

`python -m benchmarks.notes [--seeds N] [--scenario NAME]... [--way WAY]... [--json FILE]`

Every way plays the same seeds, so that differences are paired. A way is `off`; `this`, as the senders do; a
number of others that each sender tells all it knows, or `all`; with `facts` behind it none tells its work,
with `few` behind it senders decide as few do (connections are kept, paces move slowly). A scenario with
`exact` behind it has a list that tells true limits, and a price for refusals. No day has over 300 messages a
second.
"""

from __future__ import annotations

import json
import math
import multiprocessing
import os
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from statistics import fmean, stdev
from typing import Any, NamedTuple

import click
import msgspec

from rowanrack.model import sender as senders
from rowanrack.model.engine import SECOND_US
from rowanrack.model.partner import Limit
from rowanrack.model.scenario import load
from rowanrack.model.world import World
from rowanspindle import connection_reuse, gossip, pacing

SCENARIOS = (
    "lowered", "mass-restart", "told-wait", "fleet-return", "lowered exact", "told-wait exact"
)  # fmt: skip
WAYS = "off", "this", "8", "16", "32", "64", "all", "16 facts"
MOST_RATE = 300.0  # messages a second: each of 200 senders sees little, and a run ends within a minute
REFUSED_PRICE = 0.02
LOOK_US = 500_000  # between looks at what senders believe
HERD_US = 10 * SECOND_US  # after the end of what happened, in which herds are looked for
FIGURES = {
    "in_time": "in time %", "worth": "worth", "net": "less notes", "full": "refused calls a message",
    "over": "over the limit", "calls": "calls a message", "datagrams": "datagrams/s each", "points": "price",
    "share": "part of pace", "error": "error of belief", "herd": "herd 100 ms", "herd_1s": "herd 1 s",
    "fell": "fell",
}  # fmt: skip
Row = dict[str, Any]


class Way(NamedTuple):
    """To how many others notes go, and what else is changed."""

    on: bool
    to: int
    facts: bool
    few: bool


def way_of(text: str) -> Way:
    """The way that a text names. Raises ValueError."""
    number, *rest = text.split()
    if unknown := set(rest) - {"facts", "few"}:
        raise ValueError(f"{text}: nothing is known of {min(unknown)}")
    to = {"off": 0, "this": 0, "all": 1 << 20}.get(number)
    return Way(number != "off", int(number) if to is None else to, "facts" in rest, "few" in rest)


class Beliefs:
    """By how many senders with work share a pace, against what all hold: looked at now and then.

    `shares` are the sums of the parts that they take at once, 1 if all believe what is true; `errors` are
    binary logarithms of what each believes over what is true.
    """

    def __init__(self, world: World) -> None:
        self.world, self.shares, self.errors = world, list[float](), list[float]()
        for at in range(LOOK_US, world.scenario.day_us, LOOK_US):
            world.engine.at(at, self._look)

    def _look(self) -> None:
        alive = [s.exchange.forwarder for s in self.world.senders if s.alive]
        for dest in self.world.partners:
            held = [(f, len(f.destinations[dest].held)) for f in alive if dest in f.waiting]
            sum_held = sum(n for _, n in held)
            if len(held) < 2:  # one that has all the work needs no belief
                continue
            used = 0.0
            for forwarder, own in ((f, n) for f, n in held if n):
                endpoint = next(iter(forwarder.destinations[dest].endpoints.values()), None)
                if endpoint is not None:
                    forwarder.now, since = (
                        self.world.engine.now,
                        forwarder.destinations[dest].held.oldest_accepted_at,
                    )
                    believed = forwarder.active_senders(endpoint, since)[0]
                    used += 1 / believed
                    self.errors.append(abs(math.log2(believed * own / sum_held)))
            self.shares.append(used)


def herds(world: World) -> tuple[float, float]:
    """The most calls in 100 ms and in a second at one place after what happened, over its mean then."""
    ends = max((e.at_us + (e.for_us or 0) for e in world.scenario.events), default=0)
    times: dict[str, list[int]] = {}
    for entry in world.history.entries:
        if entry.what == "begin" and ends <= entry.at < ends + HERD_US:
            times.setdefault(entry.place, []).append(entry.at)
    worst = [0.0, 0.0]
    for calls in times.values():
        for n, width in enumerate((SECOND_US // 10, SECOND_US)):
            if len(calls) >= 50:  # of fewer, the peak is chance
                most = max(Counter((at - ends) // width for at in calls).values())
                worst[n] = max(worst[n], most / (len(calls) * width / HERD_US))
    return worst[0], worst[1]


def played(task: tuple[str, str, int]) -> Row:
    """One run: a scenario, a way and a seed."""
    scenario, text, seed = task
    way = way_of(text)
    senders.NOTES_TO = way.to
    if way.to:
        gossip.MAX_SENDERS_ALL_REPORT = (
            1 << 20
        )  # pacing and trust go on as they are, unless they are to be as few
    if way.few:
        pacing.MAX_SENDERS_ALL_REPORT = connection_reuse.MAX_SENDERS_ALL_REPORT = 1 << 20  # type: ignore[attr-defined]
    if way.facts:
        gossip.Gossip.update_held = lambda *_: None  # type: ignore[method-assign]
        senders.HearsayOfSome.active_senders = lambda *_: None  # type: ignore[method-assign]
    over, take = [0], Limit.take

    def counted(limit: Limit, now: int) -> int:
        wait = take(limit, now)
        over[0] += wait > 0
        return wait

    Limit.take = counted  # type: ignore[method-assign,assignment]
    name, _, exact = scenario.partition(" ")
    plan = load(name)
    plan = msgspec.structs.replace(plan, rate=min(plan.rate, MOST_RATE))
    if exact:
        kinds = tuple(msgspec.structs.replace(kind, rough=0.0) for kind in plan.kinds)
        plan = msgspec.structs.replace(plan, kinds=kinds, refused_price=REFUSED_PRICE)
    world = World(plan, seed, changes={"peers": int(way.on)})
    beliefs = Beliefs(world)
    found = world.run()
    items, none = found["items"], dict.fromkeys(("datagrams", "bytes", "points"), 0.0)
    notes = found.get("notes", none)
    herd, herd_1s = herds(world)
    return {
        "scenario": scenario, "way": text, "seed": seed, "rules": found["rules"], "worth": found["worth"],
        "in_time": 100 * found["in_time"], "net": found["worth"] - notes["points"],
        "calls": found["attempts"],
        "full": sum(e.what == "settle" and e.note == "full" for e in world.history.entries) / items,
        "over": over[0] / items, **notes, "fell": found["fell"], "herd": herd, "herd_1s": herd_1s,
        "share": fmean(beliefs.shares or [0.0]), "error": fmean(beliefs.errors or [0.0]),
    }  # fmt: skip


def table(rows: list[Row]) -> Iterable[str]:
    """A line for each scenario and way: means, and the paired gain (less notes) with its standard error."""
    off = {(r["scenario"], r["seed"]): r for r in rows if r["way"] == "off"}
    yield "| scenario | notes to | gain | " + " | ".join(FIGURES.values()) + " |"
    yield "| --- " * (len(FIGURES) + 3) + "|"
    for key in dict.fromkeys((r["scenario"], r["way"]) for r in rows):
        runs = [r for r in rows if (r["scenario"], r["way"]) == key]
        known = [(r, off[key[0], r["seed"]]) for r in runs if (key[0], r["seed"]) in off]
        pairs = [r["net"] - base["net"] for r, base in known]
        gain = ""
        if len(pairs) > 1 and key[1] != "off":
            gain = f"{fmean(pairs):+.4f} ({stdev(pairs) / math.sqrt(len(pairs)):.4f})"
        means = [fmean(r[name] for r in runs) for name in FIGURES]
        broken = " broken rules" * any(r["rules"] != "kept" for r in runs)
        yield f"| {key[0]} | {key[1]}{broken} | {gain} | " + " | ".join(f"{m:.4g}" for m in means) + " |"


@click.command()
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1))
@click.option("--seed", default=1, show_default=True, help="The first of them.")
@click.option("--scenario", "names", multiple=True, default=SCENARIOS, show_default=True)
@click.option("--way", "ways", multiple=True, default=WAYS, show_default=True)
@click.option("--jobs", default=os.cpu_count(), show_default=True, help="Runs at once.")
@click.option("--json", "where", type=click.Path(path_type=Path), help="Every run, once it is over.")
def main(
    seeds: int, seed: int, names: tuple[str, ...], ways: tuple[str, ...], jobs: int, where: Path | None
) -> None:
    """Play every scenario in every way on the same seeds."""
    tasks = [(name, way, n) for n in range(seed, seed + seeds) for name in names for way in ways]
    rows: list[Row] = []
    spawn = multiprocessing.get_context("spawn")  # ways change constants: every run has a process of its own
    with ProcessPoolExecutor(jobs, spawn, max_tasks_per_child=1) as pool:
        for done in as_completed([pool.submit(played, task) for task in tasks]):
            rows.append(done.result())
            if where is not None:
                where.write_text(json.dumps(rows, indent=1) + "\n")
    rows.sort(key=lambda row: (names.index(row["scenario"]), ways.index(row["way"]), row["seed"]))
    for line in table(rows):
        click.echo(line)


if __name__ == "__main__":
    main()
