"""The terminal's end of the console."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text


class ConsoleError(Exception):
    """The sender cannot be seen; the text says why."""


def snapshots(path: Path) -> Iterator[dict[str, Any]]:
    """What a running sender shows, one after the other."""
    with socket.socket(socket.AF_UNIX) as line:
        try:
            line.connect(str(path))
            with line.makefile("r", encoding="utf-8") as lines:
                for text in lines:
                    yield json.loads(text)
        except OSError as error:
            raise ConsoleError(f"{path}: {error.strerror or error}") from None
        except ValueError:
            raise ConsoleError(f"{path}: does not speak as a sender") from None


STYLES = {"outage": "red", "slow start": "yellow", "draining": "dim", "open": "green"}


def render(view: dict[str, Any]) -> RenderableType:
    """One frame."""
    ends = "  ".join(f"{name} {count}" for name, count in view["ends"].items())
    head = Text(
        f"{view['name']}  owed {view['owed']}/{view['most_held']}  out {view['out']}/{view['slots']}  {ends}"
    )
    table = Table(expand=True)
    for title in ("dest", "held", "oldest", "wait", "window", "rate", "pace", "instance", "state", "usual"):
        table.add_column(title, justify="left" if title in ("instance", "state") else "right")
    for row in view["destinations"]:
        pace = "-" if row["pace"] is None else f"{row['pace']:.1f}/s"
        cells = [
            str(row["dest"]),
            str(row["held"]),
            f"{row['oldest_s']:.1f} s" if row["held"] else "-",
            f"{row['wait_s']:.1f} s" if row["wait_s"] else "-",
            f"{row['out']}/{row['window']:.1f}",
            f"{row['rate']:.1f}/s",
            pace,
        ]
        for place in row["instances"] or [None]:
            if place is None:
                table.add_row(*cells, "-", "-", "-")
                continue
            label = f"{place['name']} {place['out']}/{place['window']:.1f}"
            state = Text(place["state"], STYLES[place["state"]])
            table.add_row(*cells, label, state, f"{place['usual_ms']:.0f} ms" if place["usual_ms"] else "-")
            cells = [""] * len(cells)
    return Group(head, table)
