"""`python -m rowanrack.lab SCENARIO --seed S --json FILE`: run a scenario and check the rules."""

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
from rowanrack.lab.channels import LOG_PORT, LogReader, channels_section
from rowanrack.lab.checker import END_SLACK_US, Checker, summarize_run
from rowanrack.lab.figures import log_statistics, plot_series, traffic_statistics
from rowanrack.lab.fleet import Fleet, FleetError, Partner, settings
from rowanrack.lab.log_rules import LogChecker
from rowanrack.lab.plan import FaultEvent, Plan, make_plan
from rowanrack.lab.role import RoleError
from rowanrack.lab.scenario import DETACH_FAULT, LINK_FAULTS, SCENARIOS, Scenario, ScenarioError, read

EXIT_RULES_KEPT, EXIT_RULES_BROKEN, EXIT_BAD_INPUT, EXIT_NOT_COMPLETED = 0, 1, 2, 3
SENDER_START_S = 1.0  # allowed per sender for its start, on top of a minute
MAX_PRINTED_VIOLATIONS_COUNT = 20
STATE_BY_FAULT = {"down": "down", "shut": "shut", "failing": "failing", "mute": "silent"}


async def apply_fault_event(fleet: Fleet, event: FaultEvent) -> None:
    """Begin or end a fault."""
    if event.what in LINK_FAULTS:
        near, _, far = event.on.partition(">")
        links_of_target = fleet.links_of if near in fleet.senders else fleet.links_to
        link = fleet.link(near, far) if far else links_of_target(near)
        if not event.begins:
            await link.heal()
        elif event.what == "cut":
            await link.cut()
        elif event.what == "slow":
            await link.set(delay_ms=event.by)
        else:
            await link.set(**({"loss": event.by} if event.what == "lossy" else {event.what: True}))
    elif event.what == DETACH_FAULT:
        await detach(fleet, event)
    elif event.what == "drain":
        await fleet.drain(event.on, "DRAINING" if event.begins else "SERVING")
    elif event.what == "gone":
        await fleet.drain(event.on, "DELETED" if event.begins else "SERVING")
    elif event.what in STATE_BY_FAULT:
        await fleet.endpoint(event.on, STATE_BY_FAULT[event.what] if event.begins else "up")
    else:
        await apply_sender_fault(fleet, event)


async def detach(fleet: Fleet, event: FaultEvent) -> None:
    """Detach or attach an endpoint by an operator's call at a sender. Raises FleetError."""
    near, _, far = event.on.partition(">")
    what = "detach" if event.begins else "attach"
    status, body = await fleet.senders[near].mgmt(
        "POST", f"/_endpoints/{what}", json.dumps({"name": far}).encode()
    )
    if status != 200:
        raise FleetError(f"{near}: {what} of {far} failed: {status} {body.decode(errors='replace')}")
    fleet.book.add(what, near, place=far)


async def apply_sender_fault(fleet: Fleet, event: FaultEvent) -> None:
    """Begin or end a fault of a sender."""
    sender = fleet.senders[event.on]
    match event.what, event.begins:
        case "kill" | "lose", True:
            await sender.kill()
        case "kill" | "lose", False:
            await sender.start(empty=event.what == "lose")
        case "hang", True:
            sender.hang()
        case "hang", False:
            sender.resume()
        case "disk", True:
            sender.fill_disk()
        case "disk", False:
            sender.free_disk()
        case "clock", _:
            sender.set_clock_offset(event.by if event.begins else 0.0)
        case "upgrade", True:
            await sender.hot_restart(event.by)


async def play(scenario: Scenario, plan: Plan, folder: Path, seed: int) -> dict[str, Any]:
    """Run a plan to its end; returns the result, in which `rules` is `kept` or `broken`."""
    partners = {p.name: Partner(p.name, p, p.endpoints) for p in scenario.partner}
    settings_toml = settings(scenario.senders, scenario.grade, scenario.slots, scenario.held, scenario.notes)
    clocks = any(fault.what == "clock" for fault in scenario.fault)
    longest_s = max(grade.deadline_ms for grade in scenario.grade) / 1000
    fleet_options: dict[str, Any] = {
        "settings_toml": settings_toml,
        "notes": scenario.notes,
        "skewed_clocks": clocks,
        "wave": scenario.wave,
    }
    fleet_options |= {"disk_mb": scenario.disk_mb, "seed": str(seed)}
    channels = scenario.log
    if channels is not None:
        fleet_options |= {
            "mesh": (LOG_PORT,),
            "is_relayed": plan.needs_relay,
            "extra_config": partial(channels_section, channels),
        }
    began = now_us()
    async with Fleet(folder / "fleet", scenario.senders, list(partners.values()), **fleet_options) as fleet:
        up_s = (now_us() - began) / 1e6
        memory = [sender.memory_bytes() for sender in fleet.senders.values()]
        starts = sorted(sender.start_duration_s for sender in fleet.senders.values())
        cpu = fleet.cpu_s()
        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.submit_planned(plan.arrivals))
            group.create_task(run_fault_events(fleet, plan.fault_events))
            if channels is not None:
                log_reader = LogReader(fleet, channels, list(scenario.channel_names.values()))
                group.create_task(log_reader.run_planned(plan.layouts, plan.reads))
                lag_sampling = asyncio.create_task(log_reader.sample_lag(plan.reader))
        cores = (fleet.cpu_s() - cpu) / scenario.seconds
        await asyncio.sleep(longest_s + END_SLACK_US / 1e6)
        if channels is not None:
            lag_sampling.cancel()
            with suppress(asyncio.CancelledError):
                await lag_sampling
            with closing(log_reader):
                await log_reader.read_final_orders(plan.reader)
        entries, pages = fleet.entries(), read_pages(fleet.books)
    once = frozenset(grade.name for grade in scenario.grade if grade.effect == "fragile")
    violations = Checker(entries, once, covered=scenario.covered).check()
    log: dict[str, Any] = {}
    if channels is not None:
        judge = LogChecker(entries, pages, int(channels.heard_s * 1e6))
        violations += judge.check()
        log = {"log": log_statistics(entries, pages, judge)}
    slo_us = {grade.name: 1000 * grade.slo_ms for grade in scenario.grade}
    return {
        "rules": "broken" if violations else "kept",
        "breaches": [violation._asdict() for violation in violations],
        "seed": seed,
        "senders": scenario.senders,
        "up_s": round(up_s, 2),
        "start_s": {"median": round(starts[len(starts) // 2], 2), "most": round(starts[-1], 2)},
        "rss_mb": round(max(rss for rss, _ in memory) / 1e6, 1),
        "pss_mb": round(max(pss for _, pss in memory) / 1e6, 1),
        "pss_mb_all": round(sum(pss for _, pss in memory) / 1e6),
        "moves": [
            f"{m.at_us / 1e6:g} s: {m.what} {m.on} {'on' if m.begins else 'over'}" for m in plan.fault_events
        ],
        "cores": round(cores, 2),
        **summarize_run(entries),
        **traffic_statistics(entries),
        **log,
        "series": plot_series(entries, pages, slo_us),
    }


async def run_fault_events(fleet: Fleet, events: list[FaultEvent]) -> None:
    """Apply each event at its time; a slow one does not delay the others."""
    began = now_us()
    async with asyncio.TaskGroup() as group:
        for event in events:
            await asyncio.sleep((began + event.at_us - now_us()) / 1e6)
            group.create_task(apply_fault_event(fleet, event))


async def play_with_time_limit(scenario: Scenario, plan: Plan, folder: Path, seed: int) -> dict[str, Any]:
    """Run `play`, and cancel it on SIGTERM, on SIGINT, or after a generous time limit."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    limit_s = 60 + SENDER_START_S * scenario.senders + 2 * scenario.seconds
    limit_s += 2 * scenario.log.settle_s + 60 if scenario.log is not None else 0
    async with asyncio.timeout(limit_s + 2 * max(g.deadline_ms for g in scenario.grade) / 1000):
        return await play(scenario, plan, folder, seed)


@click.command()
@click.argument("scenario")
@click.option(
    "--seed", default=1, show_default=True, help="Seed of fault targets, arrival times and link faults."
)
@click.option("--json", "where", type=click.Path(path_type=Path), help="Write the result to this file.")
@click.option(
    "--plot", type=click.Path(path_type=Path), help="Plot the run to this SVG file (needs matplotlib)."
)
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep books, logs and journals in this new folder."
)
@click.option("--plan", "only_plan", is_flag=True, help="Print the plan without running it.")
def main(
    scenario: str, seed: int, where: Path | None, plot: Path | None, keep: Path | None, only_plan: bool
) -> None:
    """Run SCENARIO, a bundled name or a file. Exit: 0 rules kept, 1 broken, 2 bad input, 3 not completed."""
    bundled = SCENARIOS / f"{scenario}.toml"
    try:
        found = read(bundled if bundled.is_file() else Path(scenario))
        if keep is not None and keep.exists():
            raise ScenarioError(f"--keep: {keep} already exists")
        if plot is not None and find_spec("matplotlib") is None:
            raise ScenarioError("--plot: matplotlib is not installed")
    except ScenarioError as error:
        click.echo(f"rowanrack.lab: {error}", err=True)
        raise SystemExit(EXIT_BAD_INPUT) from None
    plan = make_plan(found, seed)
    if only_plan:
        for event in plan.fault_events:
            click.echo(
                f"{event.at_us / 1e6:8.3f} s  {event.what} {event.on} {'on' if event.begins else 'over'}"
            )
        for layout in plan.layouts:
            click.echo(f"{layout.at_us / 1e6:8.3f} s  layout of {len(layout.sites)} sites at {layout.on}")
        click.echo(f"{len(plan.arrivals)} messages, {len(plan.reads)} reads")
        return
    with ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="lab-")))
        try:
            result = asyncio.run(play_with_time_limit(found, plan, folder, seed))
        except* (FleetError, RoleError, OSError) as error:  # OSError includes TimeoutError
            first: BaseException = error
            while isinstance(first, BaseExceptionGroup):
                first = first.exceptions[0]
            raise SystemExit(report_failure(str(first) or "the time limit was exceeded")) from None
        except* asyncio.CancelledError:
            raise SystemExit(report_failure("ended by a signal")) from None
    if where is not None:
        where.write_text(json.dumps(result, indent=1) + "\n")
    if plot is not None:
        from rowanrack.lab.plot import draw  # imported late because matplotlib is optional

        draw(result, plot)
    for violation in result["breaches"][:MAX_PRINTED_VIOLATIONS_COUNT]:
        click.echo(f"{violation['rule']}: {violation['message']} {violation['text']}")
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
    raise SystemExit(EXIT_RULES_BROKEN if result["breaches"] else EXIT_RULES_KEPT)


def report_failure(why: str) -> int:
    """Print why there is no result; returns the exit code."""
    click.echo(f"rowanrack.lab: run not completed: {why}", err=True)
    return EXIT_NOT_COMPLETED


if __name__ == "__main__":
    main()
