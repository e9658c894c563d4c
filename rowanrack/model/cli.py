"""`rowanrack model ...`: runs, comparisons, sweeps and reports."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import MofNCompleteColumn, Progress, TimeElapsedColumn

from rowanrack.model import report as reports
from rowanrack.model.compare import compare as compare_variants
from rowanrack.model.pool import Pool, RunError, cores
from rowanrack.model.scenario import FOLDER, SUFFIX, ScenarioError, load, shipped
from rowanrack.model.variants import Variant, VariantError, opened

SCENARIO = click.argument("scenario")
SEED = click.option("--seed", default=1, show_default=True, help="The first seed.")
RUNS = click.option("--runs", default=1, show_default=True, type=click.IntRange(1), help="Seeds played.")
JOBS = click.option("--jobs", type=click.IntRange(1), help="Runs at once; all cores without it.")
WITH = click.option(
    "--with", "variant", default="this", show_default=True, help="The senders: as --a of compare."
)
JSON = click.option(
    "--json", "where", type=click.Path(path_type=Path), help="Write the result here; - prints it."
)
OUT = click.option("--out", type=click.Path(path_type=Path), help="A folder for result.json, page and plots.")


@click.group()
def model() -> None:
    """Try the senders on a model of the fleet, in virtual time."""


@contextmanager
def plainly() -> Iterator[None]:
    """Mistakes of the caller end with one line."""
    try:
        yield
    except (ScenarioError, VariantError, RunError) as error:
        raise SystemExit(f"rowanrack: {error}") from None
    except OSError as error:
        raise SystemExit(f"rowanrack: {error.filename or ''}: {error.strerror or error}") from None


def text_of(name: str) -> tuple[str, str]:
    """A scenario's text and its name, once it has been read and checked. Raises ScenarioError."""
    load(name)
    path = Path(name)
    if "/" not in name and not path.suffix:
        path = FOLDER / (name + SUFFIX)
    return path.read_text(encoding="utf-8"), path.name if path.parent == FOLDER else str(path)


def write(result: Any, where: Path | None) -> None:
    """The same bytes for the same result."""
    text = json.dumps(result, sort_keys=True, indent=1) + "\n"
    if where is not None and str(where) == "-":
        click.echo(text, nl=False)
    elif where is not None:
        where.write_text(text, encoding="utf-8")


@contextmanager
def progress(title: str) -> Iterator[tuple[Callable[[int], None], Callable[[], None]]]:
    """A bar on standard error: its length, and one more step."""
    with Progress(*Progress.get_default_columns(), MofNCompleteColumn(), TimeElapsedColumn(),
                  console=Console(stderr=True), transient=True) as bar:  # fmt: skip
        task = bar.add_task(title, total=None)
        yield (lambda total: bar.update(task, total=total)), (lambda: bar.advance(task))


def played(
    name: str, variant: Variant, seeds: range, jobs: int | None, detail: bool = False
) -> list[dict[str, Any]]:
    """Results for some seeds, in their order."""
    text, source = text_of(name)
    job = {"text": text, "name": source, "salt": 0, "detail": detail}
    with Pool(jobs or min(cores(), len(seeds))) as pool, progress(Path(source).stem) as (total, step):
        total(len(seeds))
        return list(pool.map([(variant, {**job, "seed": seed}) for seed in seeds], step))


@model.command()
def scenarios() -> None:
    """The scenarios that come with the program."""
    for name in shipped():
        click.echo(name)


@model.command()
@SCENARIO
def check(scenario: str) -> None:
    """Read a scenario, and say what it holds."""
    with plainly():
        found = load(scenario)
    partners = sum(k.partners for k in found.kinds)
    click.echo(f"{found.name}: {found.day_us / 1e6:g} s, {partners} partners, {found.senders} senders, "
               f"{found.rate:g} messages a second, {len(found.events)} events")  # fmt: skip


@model.command()
@SCENARIO
@SEED
@RUNS
@JOBS
@WITH
@JSON
@OUT
def run(
    scenario: str, seed: int, runs: int, jobs: int | None, variant: str, where: Path | None, out: Path | None
) -> None:
    """Play a scenario. Exit status 3 if a rule was broken."""
    with plainly(), opened(variant) as senders:
        results = played(scenario, senders, range(seed, seed + runs), jobs, detail=out is not None)
        if out is not None:
            reports.run_report(results, out)
    for result in results:
        result.pop("detail", None)
    write(results[0] if runs == 1 else results, where)
    if where is None or str(where) != "-":
        for r in results:
            click.echo(reports.run_line(r))
    if any(r["rules"] != "kept" for r in results):
        raise SystemExit(3)


@model.command()
@SCENARIO
@click.option(
    "--a",
    "x",
    default="this",
    show_default=True,
    help="this, pacing.WINDOW_CUT_FACTOR=0.5, FILE.toml, FOLDER or a revision.",
)
@click.option("--b", "y", required=True, help="The same: what is judged against a.")
@click.option("--runs", default=20, show_default=True, type=click.IntRange(2), help="Pairs of runs, at most.")
@SEED
@JOBS
@JSON
@OUT
@click.option(
    "--within", default=0.002, show_default=True, help="Enough once the interval reaches no further."
)
@click.option("--limit", default=170.0, show_default=True, help="Seconds after which no further pairs begin.")
def compare(
    scenario: str, x: str, y: str, runs: int, seed: int, jobs: int | None, where: Path | None,
    out: Path | None, within: float, limit: float,
) -> None:  # fmt: skip
    """Say whether B is better or worse than A, inconclusive, or breaks rules."""
    with plainly(), opened(x) as one, opened(y) as other:
        text, source = text_of(scenario)
        at_once = jobs or cores()
        with Pool(at_once) as pool, progress("comparing") as (total, step):
            result = compare_variants(
                text, source, one, other, pool, runs, seed, within, limit, max(1, at_once // 2), total, step
            )
        result["remark"] = unproved(scenario, text) if load(scenario).recorded else ""
        if out is not None:
            reports.compare_report(result, out)
    write(result, where)
    if where is None or str(where) != "-":
        for line in reports.compare_lines(result):
            click.echo(line)


@model.command()
@click.argument("recordings", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--out",
    default=Path("fitted.scenario"),
    show_default=True,
    type=click.Path(path_type=Path),
    help="The scenario that is written, with NAME.calibration.json beside it.",
)
@click.option("--runs", default=8, show_default=True, type=click.IntRange(1), help="Seeds it is judged by.")
@SEED
@JOBS
@JSON
def calibrate(
    recordings: tuple[Path, ...], out: Path, runs: int, seed: int, jobs: int | None, where: Path | None
) -> None:  # fmt: skip
    """Fit the fleet to recordings (files or folders), and say how far the model is from them.

    Exit status 4 if the recording is not reproduced within the margins.
    """
    from rowanrack.model import calibrate as fitting
    from rowanrack.model.recorded import finished, read_all, timeline
    from rowanrack.record.format import RecordingError

    with plainly():
        try:
            found = timeline(read_all(list(recordings)))
        except RecordingError as error:
            raise SystemExit(f"rowanrack: {error}") from None
        if not finished(found):
            raise SystemExit(f"rowanrack: {recordings[0]}: no message comes to its end in it")
        with progress("fitting") as (total, step):
            total(len({a.dest for a in found.arrivals}))
            fitted = fitting.fit(found, lambda done: step())
        files = [os.path.relpath(str(p), str(out.parent)) for p in recordings]
        text = fitting.scenario_text(found, fitted, files)
        out.write_text(text, encoding="utf-8")
        name = str(out) if "/" in str(out) or out.suffix else f"./{out}"
        with opened("this") as senders:
            results = played(name, senders, range(seed, seed + runs), jobs, detail=True)
        table = fitting.compared(fitting.recorded_figures(found, load(name)), results)
    reproduced = all(row["within"] for row in table)
    document = {
        "scenario": out.name, "digest": digest_of(text), "reproduced": reproduced,
        "seeds": [seed, seed + runs - 1], "figures": table, "remarks": found.remarks,
        "arrivals": len(found.arrivals),
        "unfinished": len(found.arrivals) - len(finished(found)), "fleet": [one._asdict() for one in fitted],
    }  # fmt: skip
    beside(out).write_text(json.dumps(document, indent=1, sort_keys=True) + "\n", encoding="utf-8")
    write(document, where)
    if where is None or str(where) != "-":
        for remark in found.remarks:
            click.echo(f"remark: {remark}")
        for line in reports.calibration_lines(document):
            click.echo(line)
    if not reproduced:
        raise SystemExit(4)


def digest_of(text: str) -> str:
    """Of a scenario as it was judged: one that is changed is another."""
    from blake3 import blake3

    return blake3(text.encode()).hexdigest()


def beside(path: Path) -> Path:
    """Where a scenario's calibration stands."""
    return path.with_suffix(".calibration.json")


def unproved(name: str, text: str) -> str:
    """Why a scenario with recorded traffic is not known to reproduce its recording; empty if it is."""
    begin = "NOT REPRODUCED: "
    try:
        document = json.loads(beside(Path(name)).read_text(encoding="utf-8"))
        if document["digest"] != digest_of(text):
            return f"{begin}the scenario was changed since `model calibrate` judged it"
        if document["reproduced"]:
            return ""
        far = [row["figure"] for row in document["figures"] if not row["within"]]
        return f"{begin}the model is beyond its margin in {', '.join(far)}"
    except (OSError, ValueError, KeyError, TypeError):
        return f"{begin}`model calibrate` has not judged this scenario against its recording"


@model.command()
@SCENARIO
@click.option(
    "--set", "name", required=True, help="What is swept: pacing.WINDOW_CUT_FACTOR or settings.slots, say."
)
@click.option("--values", required=True, help="Its values, with commas between.")
@click.option("--runs", default=8, show_default=True, type=click.IntRange(2), help="Seeds played with each.")
@SEED
@JOBS
@JSON
@OUT
def sweep(
    scenario: str, name: str, values: str, runs: int, seed: int, jobs: int | None, where: Path | None,
    out: Path | None,
) -> None:  # fmt: skip
    """Play a scenario over a range of one setting, on the same seeds."""
    points: list[dict[str, Any]] = []
    with plainly():
        for value in values.split(","):
            with opened(f"{name}={value}") as variant:
                results = played(scenario, variant, range(seed, seed + runs), jobs)
            points.append(reports.sweep_point(value.strip(), results))
            if where is None or str(where) != "-":
                click.echo(reports.sweep_line(name, points[-1]))
        result = {"scenario": scenario, "set": name, "seed": seed, "runs": runs, "points": points}
        if out is not None:
            reports.sweep_report(result, out)
    write(result, where)
