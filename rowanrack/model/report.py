"""Lines, pages and plots of the model's results. The plots need the extra `tools`."""

from __future__ import annotations

import json
import statistics
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from matplotlib.figure import Figure

BLUE, RUST, GREY = "#1f5fb0", "#b0561f", "#888888"
EVENTS_MARKED = 12  # in a plot, with words
Doc = dict[str, Any]


def run_line(result: Doc) -> str:
    """One run for people."""
    times = result["times_ms"]
    rules = "rules kept" if result["rules"] == "kept" else f"RULES BROKEN ({result['breaches_in_all']})"
    line = (
        f"{result['scenario']} seed {result['seed']}: worth {result['worth']:.4f}"
        f"  in time {result['in_time']:.1%}"
        f"  late {result['late']:.1%}  refused {result['refused']:.1%}  failed {result['failed']:.1%}"
        f"  p50 {times['p50']:.0f} ms  p99 {times['p99']:.0f} ms  {rules}"
    )
    for row in result.get("spread", ()):
        begins, ends = row["phase"]
        line += (
            f"\n  {begins:g} to {ends:g} s, {row['kind']}: {row['calls']} calls at {row['places']} places"
            f"  peak {row['peak']:.2f} (by chance {row['chance_peak']:.2f})"
            f"  least {row['least']:.2f} ({row['chance_least']:.2f})"
            f"  new connections {row['new']:.3f} a call  refused for want of one {row['short']:.4f}"
        )
    for breach in result["breaches"][:3]:
        where = f"{breach['rule']} at {breach['at_us'] / 1e6:.3f} s"
        line += f"\n  {where}: message {breach['message']}: {breach['text']}"
    return line


def compare_lines(result: Doc) -> list[str]:
    """A comparison for people: the verdict first."""
    lines = [result["remark"]] if result.get("remark") else []
    lines += [
        f"{result['verdict']}: {result['b']} against {result['a']} on {result['scenario']}",
        f"worth {result['worth_a']:.4f} -> {result['worth_b']:.4f}, difference {result['difference']:+.4f} "
        f"(99%: {result['low']:+.4f} to {result['high']:+.4f}) in {result['runs']} pairs; "
        f"noise of a against itself {result['noise']:.4f}",
    ]
    for name, (mean, low, high) in result["parts"].items():
        lines.append(f"  {name.replace('_', ' '):14} {mean:+.4f} ({low:+.4f} to {high:+.4f})")
    for name, (one, other) in result["shares"].items():
        lines.append(f"  {name.replace('_', ' '):14} {one:.3f} -> {other:.3f}")
    for broken in result["broken"][:5]:
        lines.append(
            f"  broken by {broken['variant']}, seed {broken['seed']}: {broken['rule']}: {broken['text']}"
        )
    return lines


def calibration_lines(document: Doc) -> list[str]:
    """A calibration for people: the verdict first, then a line for each figure."""
    far = sum(not row["within"] for row in document["figures"])
    verdict = "reproduced" if document["reproduced"] else f"not reproduced: {far} figures beyond their margin"
    lines = [
        f"{verdict}: {document['scenario']}, {document['arrivals']} arrivals, {document['unfinished']} "
        f"without an end in the recording, {len(document['fleet'])} destinations",
        f"  {'':28} {'recorded':>10} {'model':>10} {'least':>10} {'most':>10} {'margin':>9} {'rank':>6}",
    ]
    for row in document["figures"]:
        cells = " ".join(f"{row[name]:10.3f}" for name in ("recorded", "model", "least", "most"))
        rank = f"{row['rank']:6.3f}" if row["rank"] is not None else " " * 6
        mark = "" if row["within"] else "  beyond"
        lines.append(f"  {row['figure']:28} {cells} {row['margin']:9.3f} {rank}{mark}")
    return lines


def sweep_point(value: str, results: list[Doc]) -> Doc:
    """One value's figures."""
    worths = [r["worth"] for r in results]
    return {
        "value": value,
        "worth": statistics.fmean(worths),
        "error": statistics.stdev(worths) / len(worths) ** 0.5,
        "worths": worths,
        "parts": {p: statistics.fmean(r["parts"][p] for r in results) for p in results[0]["parts"]},
        "broken": [r["seed"] for r in results if r["rules"] != "kept"],
    }


def sweep_line(name: str, point: Doc) -> str:
    """One value for people."""
    broken = f"  RULES BROKEN with seeds {point['broken']}" if point["broken"] else ""
    return f"{name}={point['value']}: worth {point['worth']:.4f} +- {point['error']:.4f}{broken}"


def figure(width: float, height: float, rows: int = 1) -> tuple[Figure, Any]:
    """An empty figure with some panels above one another."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot.subplots(rows, 1, figsize=(width, height), layout="constrained")


def save(drawn: Figure, folder: Path, name: str) -> None:
    """As SVG and as PNG."""
    from matplotlib import pyplot

    for suffix in ("svg", "png"):
        drawn.savefig(
            folder / f"{name}.{suffix}", dpi=110, metadata={"Date": None} if suffix == "svg" else None
        )
    pyplot.close(drawn)


def page(folder: Path, title: str, result: Any, lines: list[str], plots: dict[str, str]) -> None:
    """result.json and a Markdown page beside the plots."""
    (folder / "result.json").write_text(json.dumps(result, sort_keys=True, indent=1) + "\n", encoding="utf-8")
    text = [f"# {title}", "", "```text", *lines, "```", ""]
    for name, words in plots.items():
        text += [f"![{words}]({name}.svg)", ""]
    (folder / "README.md").write_text("\n".join(text), encoding="utf-8")


def run_report(results: list[Doc], folder: Path) -> None:
    """A folder on one or more runs; the plots show the first."""
    folder.mkdir(parents=True, exist_ok=True)
    first = results[0]
    detail = first["detail"]
    drawn, axes = figure(9, 4)
    axes.plot(first["seconds"], color=BLUE)
    axes.set(xlabel="handed in at, s", ylabel="worth delivered / asked for", ylim=(-0.02, 1.05))
    axes.set_title(f"{first['scenario']}, seed {first['seed']}: worth {first['worth']:.3f}")
    mark_events(axes, first["events"])
    axes.grid(alpha=0.3)
    save(drawn, folder, "worth")
    draw_times(detail["times_us"], folder)
    draw_calls(first, folder)
    plots = {
        "worth": "Worth over time, with what happened",
        "times": "Time to the end",
        "calls": "Calls against what partners take",
    }
    slim = [{k: v for k, v in r.items() if k != "detail"} for r in results]
    page(folder, f"{first['scenario']}: {len(results)} runs", slim, list(map(run_line, results)), plots)


def mark_events(axes: Any, events: list[Any]) -> None:
    """A numbered line where something begins, a dotted one where it ends; the numbers are told underneath."""
    told: dict[float, list[str]] = {}
    for at, note in events:
        if note.startswith("begins"):
            told.setdefault(at / 1e6, []).append(note.partition(": ")[2])
        else:
            axes.axvline(at / 1e6, color=GREY, linewidth=0.8, linestyle=":")
    rows = []
    for number, (at, notes) in enumerate(told.items(), 1):
        axes.axvline(at, color=RUST, linewidth=0.8)
        if number <= EVENTS_MARKED:
            axes.annotate(f" {number}", (at, 0.0), fontsize=8, color=RUST, va="bottom")
            more = f" and {len(notes) - 3} more" if len(notes) > 3 else ""
            rows.append(f"{number}: {at:g} s, {', '.join(notes[:3])}{more}")
    if len(told) > EVENTS_MARKED:
        rows.append(f"and {len(told) - EVENTS_MARKED} later")
    if rows:
        axes.set_xlabel(axes.get_xlabel() + "\n" + "\n".join(rows), fontsize=8)


def draw_times(times_us: list[int], folder: Path) -> None:
    """The distribution of times to the end, its tail spread out."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, 120_000_000, 3)
    for time_us in times_us:
        histogram.record_value(max(1, time_us))
    shares = [0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100]
    drawn, axes = figure(7, 4)
    axes.plot(
        range(len(shares)),
        [histogram.get_value_at_percentile(s) / 1e6 for s in shares],
        marker="o",
        color=BLUE,
    )
    axes.set_xticks(range(len(shares)), [f"{s:g}%" for s in shares])
    axes.set(
        yscale="log",
        xlabel="of the delivered messages",
        ylabel="delivered within, s",
        title="Time to the end",
    )
    axes.grid(alpha=0.3)
    save(drawn, folder, "times")


def draw_calls(result: Doc, folder: Path) -> None:
    """Calls a second at the partners with most, against their limit and capacity."""
    detail = result["detail"]
    dests = list(detail["calls"])
    drawn, panels = figure(9, 2 + 1.7 * max(1, len(dests)), max(1, len(dests)))
    for axes, dest in zip(panels if len(dests) > 1 else [panels], dests, strict=False):
        axes.step(range(len(detail["calls"][dest])), detail["calls"][dest], color=BLUE, label="calls begun")
        axes.step(range(len(detail["refused"][dest])), detail["refused"][dest], color=RUST, label="refused")
        limit, capacity = detail["limits"][dest]
        axes.axhline(limit, color=GREY, label="limit")
        axes.axhline(capacity, color=GREY, linestyle=":", label="capacity, warm")
        axes.set_ylabel(f"partner {dest}, /s")
        axes.grid(alpha=0.3)
    (panels[0] if len(dests) > 1 else panels).legend(fontsize=7, ncols=4)
    (panels[-1] if len(dests) > 1 else panels).set_xlabel("s")
    save(drawn, folder, "calls")


def compare_report(result: Doc, folder: Path) -> None:
    """A folder on a comparison."""
    folder.mkdir(parents=True, exist_ok=True)
    drawn, axes = figure(7, 3.6)
    rows = [("service worth", result["difference"], result["low"], result["high"])]
    rows += [(name.replace("_", " "), *values) for name, values in result["parts"].items()]
    for place, (_, mean, low, high) in enumerate(reversed(rows)):
        axes.plot([low, high], [place, place], color=BLUE, linewidth=2)
        axes.plot(mean, place, "o", color=BLUE)
    axes.set_yticks(range(len(rows)), [name for name, *_ in reversed(rows)])
    axes.axvspan(
        -2 * result["noise"], 2 * result["noise"], color=GREY, alpha=0.2, label="noise of a against itself"
    )
    axes.axvline(0, color=GREY, linewidth=0.8)
    axes.set(xlabel="difference b - a, with its 99% interval", title=f"{result['verdict']}: {result['b']}")
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    save(drawn, folder, "difference")
    title = f"{result['b']} against {result['a']}"
    page(folder, title, result, compare_lines(result), {"difference": "The difference and its parts"})


def sweep_report(result: Doc, folder: Path) -> None:
    """A folder on a sweep."""
    folder.mkdir(parents=True, exist_ok=True)
    points = result["points"]
    drawn, axes = figure(7, 4)
    values = [float(p["value"]) for p in points]
    axes.errorbar(
        values,
        [p["worth"] for p in points],
        [2 * p["error"] for p in points],
        color=BLUE,
        marker="o",
        capsize=3,
    )
    for value, point in zip(values, points, strict=True):
        if point["broken"]:
            axes.plot(value, point["worth"], "x", color=RUST, markersize=12)
    axes.set(xlabel=result["set"], ylabel="service worth, two standard errors")
    axes.set_title(f"{result['scenario']}, {result['runs']} runs each (x: rules broken)")
    axes.grid(alpha=0.3)
    save(drawn, folder, "sweep")
    lines = [sweep_line(result["set"], p) for p in points]
    page(
        folder, f"{result['set']} on {result['scenario']}", result, lines, {"sweep": "Worth over the setting"}
    )
