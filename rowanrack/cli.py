"""The command line."""

from __future__ import annotations

import asyncio
import dataclasses
import importlib
import json
import os
import time
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import click

from rowanrack import __version__, logs
from rowanrack.app import serve as serve_config
from rowanrack.config import Config, ConfigError, operator_config, platform_config
from rowanrack.net.fair_scheduling import FairLoop
from rowanrack.store.journal import Journal, JournalError

# Command groups of other packages, imported only when they are used: a sender needs none of them.
GROUPS = {
    "model": ("rowanrack.model.cli", "model", "Try the senders on a model of the fleet, in virtual time."),
    "record": ("rowanrack.record.cli", "record", "Look at recordings of what a sender was asked and did."),
}


class Lazy(click.Group):
    """A command group that imports the groups in GROUPS on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*super().list_commands(ctx), *GROUPS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by name; exit with one line if a group's libraries are not installed."""
        if cmd_name not in GROUPS:
            return super().get_command(ctx, cmd_name)
        module, attribute, _ = GROUPS[cmd_name]
        try:
            found: click.Command = getattr(importlib.import_module(module), attribute)
        except ModuleNotFoundError as error:
            if error.name is None or error.name.startswith("rowan"):
                raise
            text = f"{cmd_name} needs {error.name}: pip install -r requirements-tools.txt"
            raise SystemExit(f"rowanrack: {text}") from None
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands without importing any group."""
        rows = [(name, command.get_short_help_str(90)) for name, command in self.commands.items()]
        rows += [(name, text) for name, (_, _, text) in GROUPS.items()]
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows))


@click.group(cls=Lazy)
def main() -> None:
    """rowanrack delivers messages to partners' instances."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"rowanrack {__version__}")


CONFIG = click.option(
    "--config",
    "path",
    type=click.Path(path_type=Path),
    help="An operator's TOML file; without it, the platform's environment configures the sender.",
)


def read_config(path: Path | None) -> Config:
    """Read the current configuration. Raises ConfigError."""
    return operator_config(path) if path is not None else platform_config(os.environ)


def load_config(path: Path | None) -> Config:
    """Read the configuration; if it is invalid, exit with one line that says why."""
    try:
        return read_config(path)
    except ConfigError as error:
        raise SystemExit(f"rowanrack: {error}") from None


@main.command()
@CONFIG
@click.option(
    "--log",
    "form",
    type=click.Choice(logs.FORMS),
    default="plain",
    show_default=True,
    help="The form of the log on standard error.",
)
def serve(path: Path | None, form: str) -> None:
    """Run a sender until SIGTERM."""
    logs.set_up(form)
    try:
        with asyncio.Runner(loop_factory=FairLoop) as runner:
            runner.run(serve_config(lambda: read_config(path)))
    except (ConfigError, JournalError) as error:
        raise SystemExit(f"rowanrack: {error}") from None


@main.command()
@CONFIG
@click.option("--all", "everything", is_flag=True, help="Print the whole configuration in effect.")
@click.option("--json", "as_json", is_flag=True, help="The same as one JSON document.")
def check(path: Path | None, everything: bool, as_json: bool) -> None:
    """Read the configuration, and say what a sender would start with."""
    config = load_config(path)
    if everything or as_json:
        rows = list(in_effect(config))
        if as_json:
            click.echo(json.dumps({k: {"value": value, "default": usual} for k, value, usual in rows}))
            return
        for key, value, usual in rows:
            click.echo(f"{key} = {value!r}{'  (default)' if usual else ''}")
        return
    click.echo(f"{config.name}: configuration is in order")
    click.echo(f"classes: {', '.join(config.settings.classes)}; {config.settings.slots} slots")
    for name, front in (("platform", config.platform), ("otlp", config.otlp)):
        if front is not None:
            click.echo(f"{name}: listens on {front.listen[0]}:{front.listen[1]}")


def in_effect(config: Config) -> Iterator[tuple[str, Any, bool]]:
    """Yield the key and value of each setting in effect, and whether it is the default."""
    for field in dataclasses.fields(config.settings):
        value = getattr(config.settings, field.name)
        usual = field.default is not dataclasses.MISSING and value == field.default
        yield f"settings.{field.name}", plain(value), usual
    for name in ("name", "tick_us", "state", "disk_bytes", "sockets", "console"):
        value = getattr(config, name)
        yield name, str(value) if isinstance(value, Path) else value, value is None
    for name in ("platform", "otlp", "consul"):
        yield name, plain(getattr(config, name)), getattr(config, name) is None
    for instance in config.instances:
        yield f"instance.{instance.name}", plain(instance), False


def plain(value: Any) -> Any:
    """Convert a record to plain values that can be printed as JSON."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    return value


@main.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def journal(folder: Path) -> None:
    """Print what the journal in FOLDER holds; nothing is changed."""
    book = Journal(folder, 0, lambda: time.time_ns() // 1000)
    try:
        data = book.path.read_bytes()
        end = book.replay(data)
    except FileNotFoundError:
        raise SystemExit(f"rowanrack: {folder} holds no journal") from None
    except (OSError, JournalError) as error:
        raise SystemExit(f"rowanrack: {error}") from None
    for message in book.owed.values():
        ran = "may have run" if message.unsettled else "has not run"
        left_s = (message.deadline_us - book.unix_us()) / 1_000_000
        used = f"{message.attempts_made} attempts, {ran}, {left_s:.1f} s left"
        click.echo(f"owed {message.id} {message.cls} to {message.dest}: {used}")
    for message_id, ended in book.ends.items():
        click.echo(f"ended {message_id} {ended.end.ending.value}")
    click.echo(
        f"{len(book.owed)} owed, {len(book.ends)} ended, {end} bytes, torn tail of {len(data) - end} bytes"
    )


@main.command()
@click.option(
    "--config", "path", type=click.Path(path_type=Path), required=True, help="The operator's TOML file."
)
@click.option("--once", is_flag=True, help="Print one frame and leave.")
def console(path: Path, once: bool) -> None:
    """Watch a running sender: its queues, windows and waits."""
    from rich.console import Console
    from rich.live import Live

    from rowanrack.console.view import ConsoleError, render, snapshots

    where = load_config(path).console
    if where is None:
        raise SystemExit(f"rowanrack: {path}: [console] names no socket")
    try:
        frames = snapshots(where)
        if once:
            Console().print(render(next(frames)))
            return
        with Live(screen=True, auto_refresh=False) as live:
            for frame in frames:
                live.update(render(frame), refresh=True)
    except ConsoleError as error:
        raise SystemExit(f"rowanrack: {error}") from None
    except StopIteration:
        raise SystemExit(f"rowanrack: {where}: the sender has closed") from None
    except KeyboardInterrupt:
        return
    raise SystemExit(f"rowanrack: {where}: the sender has closed")
