"""The command `rowanrack record`, which shows the content of recordings."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import click

from rowanrack.record.format import Recording, RecordingError, Settled, read


@click.group()
def record() -> None:
    """Inspect recordings, which a sender writes if its configuration has a `[record]` section."""


def summary(recording: Recording) -> dict[str, Any]:
    """Summarize one file in numbers."""
    last_at = max((r.at for r in recording.records), default=recording.begins.at)
    counts_by_type = Counter(type(r).__name__.lower() for r in recording.records)
    results = Counter(r.result for r in recording.records if isinstance(r, Settled))
    return {
        "file": str(recording.path),
        "sender": recording.begins.sender,
        "begins_unix_us": recording.begins.unix_us,
        "seconds": (last_at - recording.begins.at) / 1e6,
        "records": dict(sorted(counts_by_type.items())),
        "results": dict(sorted(results.items())),
        "bytes": recording.path.stat().st_size,
        "remarks": recording.remarks,
    }


@record.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print a JSON list.")
def show(files: tuple[Path, ...], as_json: bool) -> None:
    """Read and verify recordings, and summarize their content."""
    summaries = []
    for path in files:
        try:
            summaries.append(summary(read(path)))
        except RecordingError as error:
            raise SystemExit(f"rowanrack: {error}") from None
    if as_json:
        click.echo(json.dumps(summaries, indent=1))
        return
    for entry in summaries:
        counts = ", ".join(f"{count} {name}" for name, count in entry["records"].items())
        click.echo(
            f"{entry['file']}: {entry['sender']}, {entry['seconds']:.1f} s, {entry['bytes']} bytes: {counts}"
        )
        for remark in entry["remarks"]:
            click.echo(f"  {remark}")
