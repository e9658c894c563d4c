"""Plots a result: calls, share of messages in time, and lag of the event log. Needs matplotlib."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt

LINE_COLOUR, FAULT_COLOUR = "#1f5fb0", "#b0561f"
LABEL_ROWS_COUNT = 4  # the labels of faults alternate between these rows


def draw(result: dict[str, Any], path: Path) -> None:
    """Draw three panels over a common time axis, with a labelled span for each fault."""
    series = result["series"]
    seconds = len(series["handed_in"])
    figure, axes = plt.subplots(
        3, 1, figsize=(9, 8.4), layout="constrained", sharex=True, height_ratios=[3, 1.3, 1.3]
    )
    endpoints = list(series["calls"])
    rows = [series["calls"][endpoint] for endpoint in endpoints]
    extent = (0.0, float(seconds), len(endpoints) - 0.5, -0.5)
    heat_map = axes[0].imshow(rows, aspect="auto", extent=extent, cmap="Blues", interpolation="nearest")
    axes[0].set_yticks(range(len(endpoints)), endpoints, fontsize=8)
    figure.colorbar(heat_map, ax=axes[0], label="calls a second, all senders", pad=0.01)
    counts = zip(series["in_time"], series["handed_in"], strict=True)
    share = [in_time / total if total else 1.0 for in_time, total in counts]
    axes[1].step(range(seconds), share, where="post", color=LINE_COLOUR)
    axes[1].set(ylabel="share in time", ylim=(0, 1.05))
    for channel in sorted({row[1] for row in series["lag"]}):
        points = [(row[0], row[2]) for row in series["lag"] if row[1] == channel]
        axes[2].plot(*zip(*points, strict=True), marker=".", linewidth=0.8, label=f"channel {channel}")
    axes[2].set(ylabel="log's lag, s", xlabel="s from the first message", ylim=(0, None))
    if series["lag"]:
        figure.legend(loc="outside lower center", fontsize=8, ncols=6)
    axes[2].set_xlim(left=0)
    for number, (since, until, name) in enumerate(fault_spans(series["marks"], axes[2].get_xlim()[1])):
        for ax in axes[1:]:
            ax.axvspan(since, until, color=FAULT_COLOUR, alpha=0.12, linewidth=0)
        for at in {since, until}:
            axes[0].axvline(at, color=FAULT_COLOUR, linewidth=0.6)
        height = 1.01 + 0.042 * (number % LABEL_ROWS_COUNT)
        axes[0].text(
            since, height, name, color=FAULT_COLOUR, fontsize=8, transform=axes[0].get_xaxis_transform()
        )
    title = f"{result['senders']} senders, {result['taken']} messages taken, rules {result['rules']}"
    title += f", {result['cores']} cores"
    axes[0].set_title(title, pad=14 + 10 * LABEL_ROWS_COUNT)
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def fault_spans(marks: list[list[Any]], end: float) -> list[tuple[float, float, str]]:
    """Return begin, end and label of each fault; without an end it lasts until `end`, a layout is a point."""
    found: list[tuple[float, float, str]] = []
    open_spans: dict[tuple[str, str], tuple[float, str]] = {}
    for at, what, who, note in marks:
        kind = note if what in ("fault", "over") else "down" if what in ("down", "up") else what
        kind = "detach" if what == "attach" else kind
        if what == "layout":
            found.append((at, at, f"layout, {note}"))
        elif what in ("down", "fault", "detach") or (what == "state" and note != "up"):
            label = {"kill": "killed", "hang": "stopped", "link": "cut", "disk": "disk full"}.get(note, note)
            open_spans.setdefault((who, kind), (at, f"{who} {label or 'detached'}"))
        elif (who, kind) in open_spans:
            since, name = open_spans.pop((who, kind))
            found.append((since, at, name))
    found += [(since, end, name) for since, name in open_spans.values()]
    return sorted(found)
