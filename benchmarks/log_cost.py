"""What the channels' log costs a sender: two fleets side by side in one run, with it and without.

`python -m benchmarks.log_cost [--senders 3] [--rate 60] [--seconds 20] [--at-once]` prints us of CPU a
message, those of the loop's thread and of the others (the log's, of which there is none without a log) apart,
the time to the end, memory, and bytes an event on disk. Needs the machine for itself; with `--at-once` both
fleets have their traffic at the same time, so that what else runs there strikes both alike.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from random import Random

import click
import numpy as np

from rowanrack.lab.fleet import Fleet, Partner, PartnerParameters, Sender
from rowanrack.lab.plan import Arrival
from rowanrack.net.fair_scheduling import FairLoop
from rowanrack.store.log_sqlite import SqliteLog

SECOND_US = 1_000_000


def cpu_s(sender: Sender) -> tuple[float, float]:
    """Seconds of processor time that a sender's loop has used, and those of its process's other threads."""
    used = {
        int(task.name): int((task / "schedstat").read_text().split()[0]) / 1e9
        for task in Path(f"/proc/{sender.pid}/task").iterdir()
    }
    return used.pop(sender.pid), sum(used.values())


def with_log(fleet: Fleet, sender: Sender) -> str:
    """The `[channels]` part of a sender's file."""
    others = [other for other in fleet.senders if other != sender.name]
    sites = "".join(f'{other} = "{fleet.address(sender.name, other, "log")}"\n' for other in others)
    return f'[channels]\nlisten = "127.0.0.1:{sender.port("log")}"\n[channels.sites]\n{sites}'


def arrivals(fleet: Fleet, label: str, rate: float, seconds: float) -> list[Arrival]:
    """Messages at even times, each to one sender."""
    names, rng = list(fleet.senders), Random(1)
    count = int(rate * seconds)
    return [
        Arrival(int(n / rate * SECOND_US), f"{label}{n}", "album-update", 1, 8000, (rng.choice(names),))
        for n in range(count)
    ]


async def figures(fleet: Fleet, label: str, rate: float, seconds: float) -> dict[str, float]:
    """One stretch of traffic on a fleet."""
    before = np.sum([cpu_s(sender) for sender in fleet.senders.values()], axis=0)
    await fleet.submit_planned(arrivals(fleet, label, rate, seconds))
    used = np.sum([cpu_s(sender) for sender in fleet.senders.values()], axis=0) - before
    began, took = dict[str, int](), list[int]()
    for entry in fleet.entries():
        if entry.what == "submit" and entry.message.startswith(label):
            began[entry.message] = entry.at
        elif entry.what == "answer" and entry.note == "200" and entry.message in began:
            took.append(entry.at - began.pop(entry.message))
    rss = max(sender.memory_bytes()[0] for sender in fleet.senders.values()) / 1e6
    p50, p99 = np.percentile(took, [50, 99]) / 1000
    loop, others = used / max(1, len(took)) * SECOND_US
    return {
        "messages": len(took), "us": loop + others, "loop": loop, "others": others,
        "p50": p50, "p99": p99, "rss": rss,
    }  # fmt: skip


async def measure(senders: int, rate: float, seconds: float, rounds: int, at_once: bool) -> None:
    """Both fleets in turns or at once, so that the machine's state strikes both alike."""
    figs = PartnerParameters(dest=1, rate=10 * rate, service_ms=(20, 40), queue=100, width=64)
    shop = [Partner("shop", figs, endpoints=3)]
    rows: dict[str, list[dict[str, float]]] = {"off": [], "on": []}
    with tempfile.TemporaryDirectory() as folder:
        off = Fleet(Path(folder) / "off", senders, shop)
        on = Fleet(Path(folder) / "on", senders, shop, mesh=("log",), extra_config=with_log)
        async with off, on:
            for number in range(rounds):
                rounds_of = [figures(fleet, f"r{number}-", rate, seconds) for fleet in (off, on)]
                found = await asyncio.gather(*rounds_of) if at_once else [await each for each in rounds_of]
                for name, row in zip(rows, found, strict=True):
                    rows[name].append(row)
                    click.echo(f"{name:4}" + "".join(f" {k} {v:9.2f}" for k, v in rows[name][-1].items()))
            await asyncio.sleep(5)  # what is noted is written, and met
            log = SqliteLog(next(iter(on.senders.values())).state_folder / "channels.db", 64_000_000)
        log.open()
        events = sum(head.number - head.floor for head in log.heads())
        click.echo(f"{events} events kept at one sender, {log.size_bytes() / events:.0f} bytes each on disk")
        log.close()
    ratios = [b["us"] / a["us"] for a, b in zip(rows["off"], rows["on"], strict=True)]
    click.echo(f"CPU a message, on over off, by round: {', '.join(f'{r:.3f}' for r in ratios)}; "
               f"median {float(np.median(ratios)):.3f}")  # fmt: skip


@click.command()
@click.option("--senders", default=3)
@click.option("--rate", default=60.0)
@click.option("--seconds", default=20.0)
@click.option("--rounds", default=3)
@click.option("--at-once", is_flag=True)
def main(senders: int, rate: float, seconds: float, rounds: int, at_once: bool) -> None:
    """Measure."""
    with asyncio.Runner(loop_factory=FairLoop) as runner:
        runner.run(measure(senders, rate, seconds, rounds, at_once))


if __name__ == "__main__":
    main()
