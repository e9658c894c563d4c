"""The benchmarks' command line: `python -m benchmarks COMMAND [--json FILE] [--plot FILE]`."""

from __future__ import annotations

import itertools
import json
import math
import os
import random
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from benchmarks.growth import measure as measure_growth
from benchmarks.loopback import HERE, Plan, measure
from benchmarks.spread import HAPPENINGS, herds_of, measured, spreads_of

Rows = list[dict[str, Any]]
TREES = click.option(
    "--against",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Another checkout, measured in the same run beside this one.",
)
JSON = click.option(
    "--json", "where", type=click.Path(path_type=Path), help="Write the figures here; - prints them."
)
PLOT = click.option("--plot", type=click.Path(path_type=Path), help="Draw them here, by the name SVG or PNG.")


@click.group()
def main() -> None:
    """Measure the program on this machine. Run nothing else meanwhile."""


def trees(against: Path | None) -> dict[str, Path]:
    """The checkouts to be measured, by the name in the table."""
    found = {} if against is None else {"against": against.resolve()}
    for name, tree in found.items():
        if not (tree / "rowanspindle" / "logic.py").is_file():
            raise SystemExit(f"benchmarks: --{name}: {tree}: no checkout of rowanrack")
    return {**found, "this": HERE}


def finish(rows: Rows, where: Path | None, plot: Path | None, draw: Callable[[Rows, Path], None]) -> None:
    """Write what was asked for."""
    if where is not None:
        text = json.dumps(rows, indent=1)
        click.echo(text) if str(where) == "-" else where.write_text(text + "\n")
    if plot is not None:
        draw(rows, plot)


def show(rows: Rows, columns: dict[str, str], quiet: bool) -> None:
    """A table for people, on standard error when the figures go to standard output."""
    table = Table()
    for title in columns:
        table.add_column(title, justify="right")
    for row in rows:
        cells = (row[key] for key in columns.values())
        table.add_row(*(f"{c:.3f}" if isinstance(c, float) else str(c) for c in cells))
    console = Console(stderr=quiet)
    Console(stderr=quiet, width=max(console.width, 10 * len(columns))).print(table)


def run_plans(plans: list[Plan]) -> Rows:
    """Measure one after the other."""
    rows: Rows = []
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("loopback", total=len(plans))
        for plan in plans:
            try:
                rows.append(measure(plan))
            except (RuntimeError, OSError, ValueError) as error:
                raise SystemExit(f"benchmarks: {plan.label}: {error}") from None
            progress.advance(task)
    return rows


@main.command()
@TREES
@JSON
@PLOT
@click.option("--held", default="50,500,5000", show_default=True, help="Messages held.")
@click.option("--dests", default="10,30,1000,5000", show_default=True, help="Destinations.")
@click.option("--count", default=400, show_default=True, help="Rounds measured in each case.")
def rounds(
    against: Path | None, where: Path | None, plot: Path | None, held: str, dests: str, count: int
) -> None:
    """What one round of decisions costs, by messages held and destinations."""
    cases = [f"{h}:{d}" for h in held.split(",") for d in dests.split(",")]
    rows: Rows = []
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("rounds", total=len(cases) * len(trees(against)))
        for name, tree in trees(against).items():
            for case in cases:
                worker = HERE / "benchmarks" / "round_worker.py"
                command = [sys.executable, str(worker), str(count), "4", case]
                env = os.environ | {"PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"}
                ran = subprocess.run(command, env=env, capture_output=True, text=True, check=False)
                if ran.returncode:
                    raise SystemExit(f"benchmarks: {tree}: {ran.stderr.strip().splitlines()[-1]}")
                rows += [{"tree": name, **row} for row in json.loads(ran.stdout)]
                progress.advance(task)
    columns = {"tree": "tree", "held": "held", "dests": "dests", "hold": "hold", "event": "event"}
    show(rows, {**columns, "p50 ms": "p50_ms", "p99 ms": "p99_ms", "mean ms": "mean_ms"}, str(where) == "-")
    from benchmarks.plots import draw_rounds

    finish(rows, where, plot, draw_rounds)


@main.command()
@TREES
@JSON
@PLOT
@click.option("--seconds", default=8.0, show_default=True, help="Measured in each case.")
@click.option("--warm", default=3.0, show_default=True, help="Seconds of warm-up before.")
@click.option("--bad", default="0,50,200", show_default=True, help="Bad clients beside the usual ones.")
@click.option("--rate", default=400.0, show_default=True, help="Messages a second beside bad clients.")
@click.option("--neighbours", default=1, show_default=True, help="Busy processes on the sender's core then.")
@click.option("--repeat", default=1, show_default=True, help="Times that each case is measured.")
def loopback(
    against: Path | None,
    where: Path | None,
    plot: Path | None,
    seconds: float,
    warm: float,
    bad: str,
    rate: float,
    neighbours: int,
    repeat: int,
) -> None:
    """One sender on one core: as much as it takes, then at a rate beside bad clients on part of the core."""
    plans = []
    for _ in range(repeat):
        for name, tree in trees(against).items():
            most = Plan(tree, name, seconds=seconds, warm_s=warm)
            beside = replace(most, rate=rate / most.clients, neighbours=neighbours, answer_ms=20.0)
            plans += [most, *(replace(beside, bad=count) for count in map(int, bad.split(",")))]
    rows = run_plans(plans)
    columns = {"tree": "label", "rate": "rate", "bad": "bad", "neighbours": "neighbours"}
    columns |= {"taken/s": "taken_per_s", "delivered/s": "delivered_per_s", "refused/s": "refused_per_s"}
    columns |= {"CPU ms/message": "cpu_ms_per_message", "CPU": "cpu_share", "answer p50 ms": "answer_p50_ms"}
    columns |= {"p99 ms": "answer_p99_ms", "no answer": "unanswered", "bad parted/s": "bad_parted_per_s"}
    show(rows, {**columns, "bad p99 ms": "bad_p99_ms"}, str(where) == "-")
    from benchmarks.plots import draw_loopback

    finish(rows, where, plot, draw_loopback)


@main.command()
@TREES
@JSON
@PLOT
@click.option("--seconds", default=6.0, show_default=True, help="Measured in each case.")
@click.option("--warm", default=2.0, show_default=True, help="Seconds of warm-up before.")
@click.option("--neighbours", default=3, show_default=True, help="Busy processes on the sender's core.")
@click.option("--rates", default="300,1200,2400,4800", show_default=True, help="Messages a second, offered.")
@click.option("--kinds", default="bad,silent,leaving,drip", show_default=True, help="Of 200 bad clients.")
@click.option("--clients", default=400, show_default=True, help="Usual clients, by whom these are handed in.")
@click.option(
    "--strangers", default=200, show_default=True, help="Bad clients of a kind, beside the first rate."
)
def full(
    against: Path | None,
    where: Path | None,
    plot: Path | None,
    seconds: float,
    warm: float,
    neighbours: int,
    rates: str,
    kinds: str,
    clients: int,
    strangers: int,
) -> None:
    """A core that is really full: what is shed, and whether everything that is owed has its end in time."""
    plans = []
    for name, tree in trees(against).items():
        base = Plan(
            tree,
            name,
            clients=clients,
            neighbours=neighbours,
            seconds=seconds,
            warm_s=warm,
            answer_ms=20.0,
            deadline_ms=3_000,
            settle=True,
        )
        offered = [float(r) / clients for r in rates.split(",")]
        plans += [replace(base, rate=rate, kind="none") for rate in offered]
        plans += [
            replace(base, rate=offered[0], kind=kind, bad=strangers) for kind in kinds.split(",") if kind
        ]
    rows = run_plans(plans)
    for row in rows:
        row["offered_per_s"] = row["rate"] * row["clients"]
    columns = {"tree": "label", "offered/s": "offered_per_s", "strangers": "kind", "taken/s": "taken_per_s"}
    columns |= {"refused/s": "refused_per_s", "early": "refused_early", "CPU": "cpu_share"}
    columns |= {"p50 ms": "answer_p50_ms", "p99 ms": "answer_p99_ms", "over 400 ms/s": "late_answers_per_s"}
    columns |= {"owed": "owed", "lost": "lost", "late": "late_ends", "latest ms": "latest_end_ms"}
    show(rows, {**columns, "notices": "noticed", "parted/s": "bad_parted_per_s"}, str(where) == "-")
    for row in rows:
        for line in row["governor"]:
            click.echo(f"{row['label']}, {row['offered_per_s']:.0f}/s, {row['kind']}: {line}", err=True)
    from benchmarks.plots import draw_full

    finish(rows, where, plot, draw_full)


@main.command()
@JSON
@PLOT
@click.option("--dests", default="10,50,200,1000,5000", show_default=True, help="Destinations, by 3 senders.")
@click.option("--senders", default="1,3,10,30,100", show_default=True, help="Senders, with 200 destinations.")
def growth(where: Path | None, plot: Path | None, dests: str, senders: str) -> None:
    """How the model's cost grows with destinations and with senders."""
    cases = [("dests", int(d), 3) for d in dests.split(",")]
    cases += [("senders", 200, int(s)) for s in senders.split(",")]
    rows: Rows = []
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("growth", total=len(cases))
        for over, many, by in cases:
            try:
                rows.append({"over": over, **measure_growth(many, by)})
            except RuntimeError as error:
                raise SystemExit(f"benchmarks: {many} destinations, {by} senders: {error}") from None
            progress.advance(task)
    columns = {"destinations": "dests", "senders": "senders", "messages": "items", "CPU s": "cpu_s"}
    columns |= {"messages/s of CPU": "per_s", "us a step": "us_per_step", "MB": "memory_mb", "rules": "rules"}
    show(rows, columns, str(where) == "-")
    from benchmarks.plots import draw_growth

    finish(rows, where, plot, draw_growth)


@main.command()
@TREES
@JSON
@click.option("--seeds", default=5, show_default=True, help="Runs of each case.")
@click.option("--senders", default="200,40", show_default=True)
@click.option("--endpoints", default="20,6", show_default=True, help="Of one destination.")
@click.option("--streams", default="1,8", show_default=True, help="Calls at once on a connection.")
@click.option("--table", default=0, show_default=True, help="Connections an endpoint takes; 0: any number.")
@click.option("--zones", default=1, show_default=True, help="Over which the endpoints are spread.")
@click.option("--rate", default=60.0, show_default=True, help="Calls a second of all senders.")
@click.option("--herds", is_flag=True, help="Herds in time instead, after something that all senders see.")
def spread(
    against: Path | None,
    where: Path | None,
    seeds: int,
    senders: str,
    endpoints: str,
    streams: str,
    table: int,
    zones: int,
    rate: float,
    herds: bool,
) -> None:
    """How evenly the decisions spread calls, and for how many new connections, in virtual time."""
    columns = {"tree": "tree", "senders": "senders", "endpoints": "endpoints", "streams": "streams"}
    cases = itertools.product(
        HAPPENINGS if herds else [""],
        map(int, senders.split(",")),
        map(int, endpoints.split(",")),
        map(int, streams.split(",")),
    )
    plans = [
        dict(zip(("happening", "senders", "endpoints", "streams"), case, strict=True))
        | {"table": table, "zones": zones, "rate": rate, "seed": seed + 1}
        for case in cases
        for seed in range(seeds)
    ]
    rows: Rows = []
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("spread", total=len(plans) * len(trees(against)))
        for name, tree in trees(against).items():
            try:
                for row in measured(tree, plans):
                    rows.append({"tree": name, **row})
                    progress.advance(task)
            except RuntimeError as error:
                raise SystemExit(f"benchmarks: {tree}: {error}") from None
    if herds:
        columns |= {"after": "happening", "in 100 ms": "in_100ms", "by chance": "chance_in_100ms"}
        columns |= {"over mean": "over_100ms", "in 1 s": "in_1s", " by chance": "chance_in_1s"}
        columns |= {" over mean": "over_1s", "idle s": "idle_s", "  by chance": "chance_idle_s"}
        columns |= {"passed s": "passed_s", "   by chance": "chance_passed_s"}
        show(herds_of(rows), columns, str(where) == "-")
    else:
        columns |= {"peak": "peak", "worst": "peak_worst", "by chance": "chance_peak", "least": "least"}
        columns |= {" worst": "least_worst", " by chance": "chance_least", "new/call": "new"}
        columns |= {"short/call": "short", "most open": "open"}
        show(spreads_of(rows), columns, str(where) == "-")
    finish(rows, where, None, lambda _rows, _where: None)


@main.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--seconds", default=30.0, show_default=True)
@click.option("--rate", default=60.0, show_default=True, help="Messages a second, offered by 100 clients.")
@click.option("--dests", default=20, show_default=True, help="Destinations.")
@click.option("--seed", default=1, show_default=True, help="Of the partners' figures.")
def recorded(folder: Path, seconds: float, rate: float, dests: int, seed: int) -> None:
    """Let a sender record a run among partners with limits and a silence; then `model calibrate FOLDER`.

    The partners' true figures go to FOLDER/true.json, which nothing reads.
    """
    rng = random.Random(seed)
    even = rate / dests
    figures = tuple(
        {
            "seed": rng.random(),
            "rate": even * rng.choice((0.7, 1.1, 1.6, 3.0)),
            "told": rng.choice((0.0, 0.5, 1.0)),
            "wait_s": (0.3, 0.7),
            "mu": math.log(rng.uniform(0.03, 0.2)),
            "sigma": rng.uniform(0.2, 0.5),
            "silent_s": (seconds * 0.4, seconds * 0.6) if n in (2, 3) else (),
        }
        for n in range(dests)
    )
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "true.json").write_text(json.dumps(figures, indent=1) + "\n")
    plan = Plan(
        HERE,
        "this",
        clients=100,
        rate=rate / 100,
        seconds=seconds,
        warm_s=0.0,
        dests=dests,
        figures=figures,
        deadline_ms=6_000,
        settle=True,
        slots=30,
        record=folder,
    )
    (row,) = run_plans([plan])
    columns = {"taken/s": "taken_per_s", "delivered/s": "delivered_per_s", "refused/s": "refused_per_s"}
    show([row], {**columns, "owed": "owed", "lost": "lost", "late": "late_ends", "notices": "noticed"}, False)


if __name__ == "__main__":
    main(prog_name="python -m benchmarks")
