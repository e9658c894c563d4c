"""`rowanrack record ...`: what a recording holds."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import click

from rowanrack.record.format import Recording, RecordingError, Settled, read


@click.group()
def record() -> None:
    """Look at recordings (`[record]` in the operator's file writes them)."""


def summary(recording: Recording) -> dict[str, Any]:
    """What one file holds, in figures."""
    last = max((r.at for r in recording.records), default=recording.begins.at)
    kinds = Counter(type(r).__name__.lower() for r in recording.records)
    results = Counter(r.result for r in recording.records if isinstance(r, Settled))
    return {
        "file": str(recording.path),
        "sender": recording.begins.sender,
        "begins_unix_us": recording.begins.unix_us,
        "seconds": (last - recording.begins.at) / 1e6,
        "records": dict(sorted(kinds.items())),
        "results": dict(sorted(results.items())),
        "bytes": recording.path.stat().st_size,
        "remarks": recording.remarks,
    }


@record.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="As a JSON list.")
def show(files: tuple[Path, ...], as_json: bool) -> None:
    """Read recordings whole, check them, and say what they hold."""
    found = []
    for path in files:
        try:
            found.append(summary(read(path)))
        except RecordingError as error:
            raise SystemExit(f"rowanrack: {error}") from None
    if as_json:
        click.echo(json.dumps(found, indent=1))
        return
    for one in found:
        counts = ", ".join(f"{count} {name}" for name, count in one["records"].items())
        click.echo(f"{one['file']}: {one['sender']}, {one['seconds']:.1f} s, {one['bytes']} bytes: {counts}")
        for remark in one["remarks"]:
            click.echo(f"  {remark}")
