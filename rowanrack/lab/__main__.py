"""`python -m rowanrack.lab SCENARIO --seed S --json FILE`: play a scenario, and judge it by the books."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from contextlib import ExitStack, closing, suppress
from functools import partial
from importlib.util import find_spec
from pathlib import Path
from typing import Any

import click

from rowanrack.lab.books import now_us, read_pages
from rowanrack.lab.channels import PORT, Reads, part_of
from rowanrack.lab.checker import END_SLACK_US, Checker, summarize_run
from rowanrack.lab.figures import log_statistics, plot_series, traffic_statistics
from rowanrack.lab.fleet import Fleet, FleetError, Partner, settings
from rowanrack.lab.log_rules import LogChecker
from rowanrack.lab.plan import Move, Plan, make
from rowanrack.lab.role import RoleError
from rowanrack.lab.scenario import DETACH, LINK, SCENARIOS, Scenario, ScenarioError, read

KEPT, BROKEN, BAD_INPUT, NOT_PLAYED = 0, 1, 2, 3
START_S = 1.0  # for each sender's start at most, beside a minute
SHOWN = 20  # breaches printed
STATES = {"down": "down", "shut": "shut", "failing": "failing", "mute": "silent"}


async def move(fleet: Fleet, one: Move) -> None:
    """One fault begins, or is over."""
    if one.what in LINK:
        near, _, far = one.on.partition(">")
        whole = fleet.links_of if near in fleet.senders else fleet.links_to
        link = fleet.link(near, far) if far else whole(near)
        if not one.begins:
            await link.heal()
        elif one.what == "cut":
            await link.cut()
        elif one.what == "slow":
            await link.set(delay_ms=one.by)
        else:
            await link.set(**({"loss": one.by} if one.what == "lossy" else {one.what: True}))
    elif one.what == DETACH:
        await detach(fleet, one)
    elif one.what == "drain":
        await fleet.drain(one.on, "DRAINING" if one.begins else "SERVING")
    elif one.what == "gone":
        await fleet.drain(one.on, "DELETED" if one.begins else "SERVING")
    elif one.what in STATES:
        await fleet.endpoint(one.on, STATES[one.what] if one.begins else "up")
    else:
        await strike(fleet, one)


async def detach(fleet: Fleet, one: Move) -> None:
    """An operator detaches an endpoint at a sender, or attaches it there. Raises FleetError."""
    near, _, far = one.on.partition(">")
    what = "detach" if one.begins else "attach"
    status, body = await fleet.senders[near].mgmt(
        "POST", f"/_endpoints/{what}", json.dumps({"name": far}).encode()
    )
    if status != 200:
        raise FleetError(f"{near}: no {what} of {far}: {status} {body.decode(errors='replace')}")
    fleet.book.add(what, near, place=far)


async def strike(fleet: Fleet, one: Move) -> None:
    """The same for a sender."""
    sender = fleet.senders[one.on]
    match one.what, one.begins:
        case "kill" | "lose", True:
            await sender.kill()
        case "kill" | "lose", False:
            await sender.start(empty=one.what == "lose")
        case "hang", True:
            sender.hang()
        case "hang", False:
            sender.resume()
        case "disk", True:
            sender.fill_disk()
        case "disk", False:
            sender.free_disk()
        case "clock", _:
            sender.set_clock_offset(one.by if one.begins else 0.0)


async def play(scenario: Scenario, plan: Plan, folder: Path, seed: int) -> dict[str, Any]:
    """Play a plan to its end; the result, whose `rules` are `kept` or `broken`."""
    places = {p.name: Partner(p.name, p, p.endpoints) for p in scenario.partner}
    told = settings(scenario.senders, scenario.grade, scenario.slots, scenario.held, scenario.notes)
    clocks = any(fault.what == "clock" for fault in scenario.fault)
    longest_s = max(grade.deadline_ms for grade in scenario.grade) / 1000
    given: dict[str, Any] = {
        "settings_toml": told,
        "notes": scenario.notes,
        "skewed_clocks": clocks,
        "wave": scenario.wave,
    }
    given |= {"disk_mb": scenario.disk_mb, "seed": str(seed)}
    channels = scenario.log
    if channels is not None:
        given |= {"mesh": (PORT,), "is_relayed": plan.relayed, "extra_config": partial(part_of, channels)}
    began = now_us()
    async with Fleet(folder / "fleet", scenario.senders, list(places.values()), **given) as fleet:
        up_s = (now_us() - began) / 1e6
        memory = [sender.memory_bytes() for sender in fleet.senders.values()]
        starts = sorted(sender.start_duration_s for sender in fleet.senders.values())
        cpu = fleet.cpu_s()
        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.submit_planned(plan.arrivals))
            group.create_task(play_moves(fleet, plan.moves))
            if channels is not None:
                reads = Reads(fleet, channels, list(scenario.channel_names.values()))
                group.create_task(reads.play(plan.layouts, plan.reads))
                looks = asyncio.create_task(reads.look(plan.reader))
        cores = (fleet.cpu_s() - cpu) / scenario.seconds
        await asyncio.sleep(longest_s + END_SLACK_US / 1e6)
        if channels is not None:
            looks.cancel()
            with suppress(asyncio.CancelledError):
                await looks
            with closing(reads):
                await reads.at_the_end(plan.reader)
        entries, pages = fleet.entries(), read_pages(fleet.books)
    once = frozenset(grade.name for grade in scenario.grade if grade.effect == "fragile")
    breaches = Checker(entries, once, covered=scenario.covered).check()
    log: dict[str, Any] = {}
    if channels is not None:
        judge = LogChecker(entries, pages, int(channels.heard_s * 1e6))
        breaches += judge.check()
        log = {"log": log_statistics(entries, pages, judge)}
    slo_us = {grade.name: 1000 * grade.slo_ms for grade in scenario.grade}
    return {
        "rules": "broken" if breaches else "kept",
        "breaches": [breach._asdict() for breach in breaches],
        "seed": seed,
        "senders": scenario.senders,
        "up_s": round(up_s, 2),
        "start_s": {"median": round(starts[len(starts) // 2], 2), "most": round(starts[-1], 2)},
        "rss_mb": round(max(rss for rss, _ in memory) / 1e6, 1),
        "pss_mb": round(max(pss for _, pss in memory) / 1e6, 1),
        "pss_mb_all": round(sum(pss for _, pss in memory) / 1e6),
        "moves": [f"{m.at_us / 1e6:g} s: {m.what} {m.on} {'on' if m.begins else 'over'}" for m in plan.moves],
        "cores": round(cores, 2),
        **summarize_run(entries),
        **traffic_statistics(entries),
        **log,
        "series": plot_series(entries, pages, slo_us),
    }


async def play_moves(fleet: Fleet, moves: list[Move]) -> None:
    """Each at its time; one that takes long holds no other up."""
    began = now_us()
    async with asyncio.TaskGroup() as group:
        for one in moves:
            await asyncio.sleep((began + one.at_us - now_us()) / 1e6)
            group.create_task(move(fleet, one))


async def bounded(scenario: Scenario, plan: Plan, folder: Path, seed: int) -> dict[str, Any]:
    """The same, ended by SIGTERM, SIGINT, or when it takes far too long."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    most_s = 60 + START_S * scenario.senders + 2 * scenario.seconds
    most_s += 2 * scenario.log.settle_s + 60 if scenario.log is not None else 0
    async with asyncio.timeout(most_s + 2 * max(g.deadline_ms for g in scenario.grade) / 1000):
        return await play(scenario, plan, folder, seed)


@click.command()
@click.argument("scenario")
@click.option(
    "--seed", default=1, show_default=True, help="Who is hit, when messages come, and links' chances."
)
@click.option("--json", "where", type=click.Path(path_type=Path), help="Write the result here.")
@click.option("--plot", type=click.Path(path_type=Path), help="Draw the run here, as SVG (needs matplotlib).")
@click.option("--keep", type=click.Path(path_type=Path), help="A new folder for books, logs and journals.")
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan, and play nothing.")
def main(
    scenario: str, seed: int, where: Path | None, plot: Path | None, keep: Path | None, only_plan: bool
) -> None:
    """Play SCENARIO: a name that comes with the program, or a file. 0 rules kept, 1 broken, 2 bad input."""
    own = SCENARIOS / f"{scenario}.toml"
    try:
        found = read(own if own.is_file() else Path(scenario))
        if keep is not None and keep.exists():
            raise ScenarioError(f"--keep: {keep} is there already")
        if plot is not None and find_spec("matplotlib") is None:
            raise ScenarioError("--plot: matplotlib is not installed")
    except ScenarioError as error:
        click.echo(f"rowanrack.lab: {error}", err=True)
        raise SystemExit(BAD_INPUT) from None
    plan = make(found, seed)
    if only_plan:
        for one in plan.moves:
            click.echo(f"{one.at_us / 1e6:8.3f} s  {one.what} {one.on} {'on' if one.begins else 'over'}")
        for layout in plan.layouts:
            click.echo(f"{layout.at_us / 1e6:8.3f} s  layout of {len(layout.sites)} sites at {layout.on}")
        click.echo(f"{len(plan.arrivals)} messages, {len(plan.reads)} reads")
        return
    with ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="lab-")))
        try:
            result = asyncio.run(bounded(found, plan, folder, seed))
        except* (FleetError, RoleError, OSError) as error:  # TimeoutError is one
            first: BaseException = error
            while isinstance(first, BaseExceptionGroup):
                first = first.exceptions[0]
            raise SystemExit(not_played(str(first) or "it took too long")) from None
        except* asyncio.CancelledError:
            raise SystemExit(not_played("ended by a signal")) from None
    if where is not None:
        where.write_text(json.dumps(result, indent=1) + "\n")
    if plot is not None:
        from rowanrack.lab.plot import draw  # matplotlib is a tool's

        draw(result, plot)
    for breach in result["breaches"][:SHOWN]:
        click.echo(f"{breach['rule']}: {breach['message']} {breach['text']}")
    shown = (
        "taken",
        "ran",
        "declined",
        "calls",
        "notices",
        "ms_p50",
        "ms_p99",
        "up_s",
        "rss_mb",
        "pss_mb_all",
    )
    click.echo(", ".join(f"{key} {result[key]}" for key in shown))
    if "log" in result:
        log = result["log"]
        reads = ("complete", "incomplete", "never_seen", "nobody")
        keys = ("events", "settled_s", *reads, "lag_ms_p50", "lag_ms_most")
        click.echo("log: " + ", ".join(f"{key} {log[key]}" for key in keys) + f", {result['cores']} cores")
    click.echo(f"rules {result['rules']}: {len(result['breaches'])} breaches")
    raise SystemExit(BROKEN if result["breaches"] else KEPT)


def not_played(why: str) -> int:
    """Say why there is no result; the exit code."""
    click.echo(f"rowanrack.lab: not played to its end: {why}", err=True)
    return NOT_PLAYED


if __name__ == "__main__":
    main()
