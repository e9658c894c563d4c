"""`python -m rowanrack.lab SCENARIO --seed S --json FILE`: play a scenario, and judge it by the books."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import click

from rowanrack.lab.books import now_us
from rowanrack.lab.checker import END_SLACK_US, Checker, figures
from rowanrack.lab.fleet import Fleet, FleetError, Partner, settings
from rowanrack.lab.plan import Move, Plan, make
from rowanrack.lab.role import RoleError
from rowanrack.lab.scenario import LINK, SCENARIOS, Scenario, ScenarioError, read

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
    elif one.what == "drain":
        await fleet.drain(one.on, "DRAINING" if one.begins else "SERVING")
    elif one.what in STATES:
        await fleet.endpoint(one.on, STATES[one.what] if one.begins else "up")
    else:
        await strike(fleet, one)


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
            sender.disk_full()
        case "disk", False:
            sender.disk_room()
        case "clock", _:
            sender.clock(one.by if one.begins else 0.0)


async def play(scenario: Scenario, plan: Plan, folder: Path, seed: int) -> dict[str, Any]:
    """Play a plan to its end; the result, whose `rules` are `kept` or `broken`."""
    places = {p.name: Partner(p.name, p, p.endpoints) for p in scenario.partner}
    told = settings(scenario.senders, scenario.grade, scenario.slots, scenario.held, scenario.notes)
    clocks = any(fault.what == "clock" for fault in scenario.fault)
    longest_s = max(grade.deadline_ms for grade in scenario.grade) / 1000
    given: dict[str, Any] = {"told": told, "notes": scenario.notes, "clocks": clocks, "wave": scenario.wave}
    given |= {"disk_mb": scenario.disk_mb, "seed": str(seed)}
    began = now_us()
    async with Fleet(folder / "fleet", scenario.senders, list(places.values()), **given) as fleet:
        up_s = (now_us() - began) / 1e6
        memory = [sender.memory() for sender in fleet.senders.values()]
        starts = sorted(sender.serving_s for sender in fleet.senders.values())
        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.run(plan.arrivals))
            group.create_task(play_moves(fleet, plan.moves))
        await asyncio.sleep(longest_s + END_SLACK_US / 1e6)
        entries = fleet.entries()
    once = frozenset(grade.name for grade in scenario.grade if grade.effect == "fragile")
    breaches = Checker(entries, once, covered=scenario.covered).check()
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
        **figures(entries),
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
    async with asyncio.timeout(most_s + 2 * max(g.deadline_ms for g in scenario.grade) / 1000):
        return await play(scenario, plan, folder, seed)


@click.command()
@click.argument("scenario")
@click.option(
    "--seed", default=1, show_default=True, help="Who is hit, when messages come, and links' chances."
)
@click.option("--json", "where", type=click.Path(path_type=Path), help="Write the result here.")
@click.option("--keep", type=click.Path(path_type=Path), help="A new folder for books, logs and journals.")
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan, and play nothing.")
def main(scenario: str, seed: int, where: Path | None, keep: Path | None, only_plan: bool) -> None:
    """Play SCENARIO: a name that comes with the program, or a file. 0 rules kept, 1 broken, 2 bad input."""
    own = SCENARIOS / f"{scenario}.toml"
    try:
        found = read(own if own.is_file() else Path(scenario))
        if keep is not None and keep.exists():
            raise ScenarioError(f"--keep: {keep} is there already")
    except ScenarioError as error:
        click.echo(f"rowanrack.lab: {error}", err=True)
        raise SystemExit(BAD_INPUT) from None
    plan = make(found, seed)
    if only_plan:
        for one in plan.moves:
            click.echo(f"{one.at_us / 1e6:8.3f} s  {one.what} {one.on} {'on' if one.begins else 'over'}")
        click.echo(f"{len(plan.arrivals)} messages")
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
    click.echo(f"rules {result['rules']}: {len(result['breaches'])} breaches")
    raise SystemExit(BROKEN if result["breaches"] else KEPT)


def not_played(why: str) -> int:
    """Say why there is no result; the exit code."""
    click.echo(f"rowanrack.lab: not played to its end: {why}", err=True)
    return NOT_PLAYED


if __name__ == "__main__":
    main()
