"""The terminal side of the console: reads snapshots and renders them as a table."""

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
    """Raised when no snapshot can be read; the text says why."""


def snapshots(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the snapshots of a running sender. Raises ConsoleError."""
    with socket.socket(socket.AF_UNIX) as connection:
        try:
            connection.connect(str(path))
            with connection.makefile("r", encoding="utf-8") as lines:
                for text in lines:
                    yield json.loads(text)
        except OSError as error:
            raise ConsoleError(f"{path}: {error.strerror or error}") from None
        except ValueError:
            raise ConsoleError(f"{path}: the answer is not a snapshot of a sender") from None


STYLE_BY_STATE = {"outage": "red", "slow start": "yellow", "draining": "dim", "open": "green"}


def render(snapshot: dict[str, Any]) -> RenderableType:
    """Render one snapshot."""
    end_counts = "  ".join(f"{name} {count}" for name, count in snapshot["ends"].items())
    header = Text(
        f"{snapshot['name']}  owed {snapshot['owed']}/{snapshot['most_held']}"
        f"  out {snapshot['out']}/{snapshot['slots']}  {end_counts}"
    )
    table = Table(expand=True)
    for title in ("dest", "held", "oldest", "wait", "window", "rate", "pace", "instance", "state", "usual"):
        table.add_column(title, justify="left" if title in ("instance", "state") else "right")
    for row in snapshot["destinations"]:
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
        for endpoint in row["instances"] or [None]:
            if endpoint is None:
                table.add_row(*cells, "-", "-", "-")
                continue
            label = f"{endpoint['name']} {endpoint['out']}/{endpoint['window']:.1f}"
            state = Text(endpoint["state"], STYLE_BY_STATE[endpoint["state"]])
            table.add_row(
                *cells, label, state, f"{endpoint['usual_ms']:.0f} ms" if endpoint["usual_ms"] else "-"
            )
            cells = [""] * len(cells)
    return Group(header, table)
