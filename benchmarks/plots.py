"""The benchmarks' plots."""

from __future__ import annotations

from operator import itemgetter
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

Rows = list[dict[str, Any]]
COLOURS = {"against": "#b0561f", "this": "#1f5fb0"}
NAMES = {"against": "old revision", "this": "this revision"}


def draw_rounds(rows: Rows, path: Path) -> None:
    """The cost of an arrival with the hold nearly full, over messages held."""
    figure, axes = plt.subplots(figsize=(7, 4.2), layout="constrained")
    for tree in dict.fromkeys(r["tree"] for r in rows):
        for dests, style in zip(sorted({r["dests"] for r in rows}), ("-", "--", "-.", ":"), strict=False):
            line = [
                (r["held"], r["p50_ms"])
                for r in rows
                if (r["tree"], r["dests"], r["hold"], r["event"]) == (tree, dests, "nearly full", "arrival")
            ]
            label = f"{NAMES[tree]}, {dests} destinations"
            axes.plot(*zip(*line, strict=True), style, marker="o", color=COLOURS[tree], label=label)
    axes.set(xscale="log", yscale="log", xlabel="messages held", ylabel="a round, ms (median)")
    axes.set_title("One message comes in, the hold nearly full")
    axes.axhline(0.5, color="grey", linewidth=0.8)
    least = min(r["held"] for r in rows)
    axes.annotate("aim: under 0.5 ms", (least, 0.52), color="grey", fontsize=8)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    figure.savefig(path)


def draw_loopback(rows: Rows, path: Path) -> None:
    """Messages a second with one core, and the time to the answer beside bad clients."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(9, 4), layout="constrained")
    labels = list(dict.fromkeys(r["label"] for r in rows))
    most = [max(r["delivered_per_s"] for r in rows if r["label"] == n and not r["rate"]) for n in labels]
    bars = left.bar([NAMES[n] for n in labels], most, color=[COLOURS[n] for n in labels], width=0.5)
    left.bar_label(bars, fmt="%.0f")
    left.axhline(2000, color="grey", linewidth=0.8)
    left.set(ylabel="delivered a second", title="As much as one core takes")
    for place, name in enumerate(labels):
        mine = [r for r in rows if r["label"] == name and r["rate"]]
        cases = sorted((r["bad"], r["answer_p50_ms"], r["answer_p99_ms"]) for r in mine)
        for shift, (_, p50, p99) in enumerate(cases):
            at = shift + (place - (len(labels) - 1) / 2) * 0.35
            bar = right.bar(at, p99, width=0.3, color=COLOURS[name], label=NAMES[name] if not shift else None)
            right.plot([at - 0.15, at + 0.15], [p50, p50], color="black")
            right.bar_label(bar, fmt="%.0f", fontsize=8)
    counts = sorted({r["bad"] for r in rows if r["rate"]})
    right.set_xticks(range(len(counts)), [f"{c} bad clients" for c in counts])
    right.axhline(400, color="grey", linewidth=0.8)
    right.set(ylabel="ms to the answer: p99 (bar), median (line)", yscale="log")
    right.set_title("On part of a core, at a rate")
    right.legend(fontsize=8)
    figure.savefig(path)


def draw_full(rows: Rows, path: Path) -> None:
    """What became of what was offered to a full core, and the time to the answer beside strangers."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4.2), layout="constrained")
    labels = list(dict.fromkeys(r["label"] for r in rows))
    for name in labels:
        mine = sorted((r for r in rows if r["label"] == name and r["kind"] == "none"), key=itemgetter("rate"))
        offered = [r["offered_per_s"] for r in mine]
        useful = [r["taken_per_s"] for r in mine]
        late = [r["late_answers_per_s"] for r in mine]
        left.plot(offered, useful, marker="o", color=COLOURS[name], label=f"{NAMES[name]}: taken")
        left.plot(
            offered, late, "--", marker="x", color=COLOURS[name], label=f"{NAMES[name]}: answered too late"
        )
    left.set(xlabel="messages offered a second", ylabel="a second", title="Offered to a part of a core")
    left.grid(alpha=0.3)
    left.legend(fontsize=8)
    kinds = list(dict.fromkeys(r["kind"] for r in rows if r["kind"] != "none"))
    for place, name in enumerate(labels):
        for at, kind in enumerate(kinds):
            for r in (r for r in rows if r["label"] == name and r["kind"] == kind):
                x = at + (place - (len(labels) - 1) / 2) * 0.35
                bar = right.bar(
                    x, r["answer_p99_ms"], width=0.3, color=COLOURS[name], label=None if at else NAMES[name]
                )
                right.plot([x - 0.15, x + 0.15], [r["answer_p50_ms"]] * 2, color="black")
                right.bar_label(bar, fmt="%.0f", fontsize=8)
    right.axhline(400, color="grey", linewidth=0.8)
    right.set_xticks(range(len(kinds)), [f"{kind}" for kind in kinds])
    right.set(
        yscale="log",
        ylabel="ms to the answer: p99 (bar), median (line)",
        title="Usual clients, by strangers beside",
    )
    right.legend(fontsize=8)
    figure.savefig(path)


def draw_growth(rows: Rows, path: Path) -> None:
    """Simulated messages a second of CPU over the fleet's size."""
    figure, panels = plt.subplots(1, 2, figsize=(9, 4), layout="constrained", sharey=True)
    titles = {"dests": "destinations, by 3 senders", "senders": "senders, for 200 destinations"}
    for axes, over in zip(panels, titles, strict=True):
        mine = sorted((r for r in rows if r["over"] == over), key=itemgetter(over))
        axes.plot([r[over] for r in mine], [r["per_s"] for r in mine], marker="o", color=COLOURS["this"])
        axes.set(xscale="log", yscale="log", xlabel=titles[over])
        axes.grid(alpha=0.3)
    panels[0].set_ylabel("simulated messages a second of CPU")
    figure.savefig(path)
