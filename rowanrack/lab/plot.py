"""A run's plot, from its result: calls, messages in time, and the log's lag. Needs matplotlib, a tool."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt

INK, FAULT = "#1f5fb0", "#b0561f"
LANES = 4  # heights in which faults' names stand


def draw(result: dict[str, Any], path: Path) -> None:
    """Three panels over one time, each fault a stripe with its name above."""
    series = result["series"]
    seconds = len(series["handed_in"])
    figure, axes = plt.subplots(
        3, 1, figsize=(9, 8.4), layout="constrained", sharex=True, height_ratios=[3, 1.3, 1.3]
    )
    places = list(series["calls"])
    rows = [series["calls"][place] for place in places]
    extent = (0.0, float(seconds), len(places) - 0.5, -0.5)
    shown = axes[0].imshow(rows, aspect="auto", extent=extent, cmap="Blues", interpolation="nearest")
    axes[0].set_yticks(range(len(places)), places, fontsize=8)
    figure.colorbar(shown, ax=axes[0], label="calls a second, all senders", pad=0.01)
    both = zip(series["in_time"], series["handed_in"], strict=True)
    share = [good / of if of else 1.0 for good, of in both]
    axes[1].step(range(seconds), share, where="post", color=INK)
    axes[1].set(ylabel="share in time", ylim=(0, 1.05))
    for channel in sorted({row[1] for row in series["lag"]}):
        points = [(row[0], row[2]) for row in series["lag"] if row[1] == channel]
        axes[2].plot(*zip(*points, strict=True), marker=".", linewidth=0.8, label=f"channel {channel}")
    axes[2].set(ylabel="log's lag, s", xlabel="s from the first message", ylim=(0, None))
    if series["lag"]:
        figure.legend(loc="outside lower center", fontsize=8, ncols=6)
    axes[2].set_xlim(left=0)
    for number, (since, until, name) in enumerate(spans(series["marks"], axes[2].get_xlim()[1])):
        for ax in axes[1:]:
            ax.axvspan(since, until, color=FAULT, alpha=0.12, linewidth=0)
        for at in {since, until}:
            axes[0].axvline(at, color=FAULT, linewidth=0.6)
        height = 1.01 + 0.042 * (number % LANES)
        axes[0].text(since, height, name, color=FAULT, fontsize=8, transform=axes[0].get_xaxis_transform())
    title = f"{result['senders']} senders, {result['taken']} messages taken, rules {result['rules']}"
    title += f", {result['cores']} cores"
    axes[0].set_title(title, pad=14 + 10 * LANES)
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def spans(marks: list[list[Any]], end: float) -> list[tuple[float, float, str]]:
    """Faults with their ends, and names for people; what has no end goes on, and a layout is a moment."""
    found: list[tuple[float, float, str]] = []
    open_: dict[tuple[str, str], tuple[float, str]] = {}
    for at, what, who, note in marks:
        kind = note if what in ("fault", "over") else "down" if what in ("down", "up") else what
        kind = "detach" if what == "attach" else kind
        if what == "layout":
            found.append((at, at, f"layout, {note}"))
        elif what in ("down", "fault", "detach") or (what == "state" and note != "up"):
            word = {"kill": "killed", "hang": "stopped", "link": "cut", "disk": "disk full"}.get(note, note)
            open_.setdefault((who, kind), (at, f"{who} {word or 'detached'}"))
        elif (who, kind) in open_:
            since, name = open_.pop((who, kind))
            found.append((since, at, name))
    found += [(since, end, name) for since, name in open_.values()]
    return sorted(found)
