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
from rowanrack.app import serve as run_sender
from rowanrack.config import Config, ConfigError, operator_config, platform_config
from rowanrack.net.fair_scheduling import FairLoop
from rowanrack.store.journal import Journal
from rowanrack.store.journal_records import JournalError

# Command groups of other packages, imported only when they are used: a sender needs none of them.
LAZY_GROUPS = {
    "model": ("rowanrack.model.cli", "model", "Simulate the senders of a fleet in virtual time."),
    "record": ("rowanrack.record.cli", "record", "Inspect recordings of what a sender received and did."),
}


class LazyGroup(click.Group):
    """A command group that imports the groups in GROUPS on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*super().list_commands(ctx), *LAZY_GROUPS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by name; exit with one line if a group's libraries are not installed."""
        if cmd_name not in LAZY_GROUPS:
            return super().get_command(ctx, cmd_name)
        module, attribute, _ = LAZY_GROUPS[cmd_name]
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
        rows += [(name, text) for name, (_, _, text) in LAZY_GROUPS.items()]
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows))


@click.group(cls=LazyGroup)
def main() -> None:
    """rowanrack delivers messages to partners' endpoints."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"rowanrack {__version__}")


config_option = click.option(
    "--config",
    "path",
    type=click.Path(path_type=Path),
    help="An operator's TOML file; without it, the platform's environment configures the sender.",
)


def read_current_config(path: Path | None) -> Config:
    """Read the current configuration. Raises ConfigError."""
    return operator_config(path) if path is not None else platform_config(os.environ)


def config_or_exit(path: Path | None) -> Config:
    """Read the configuration; if it is invalid, exit with one line that says why."""
    try:
        return read_current_config(path)
    except ConfigError as error:
        raise SystemExit(f"rowanrack: {error}") from None


@main.command()
@config_option
@click.option(
    "--log",
    "log_format",
    type=click.Choice(logs.FORMATS),
    default="plain",
    show_default=True,
    help="The format of the log on standard error.",
)
def serve(path: Path | None, log_format: str) -> None:
    """Run a sender until SIGTERM."""
    logs.set_up_logging(log_format)
    try:
        with asyncio.Runner(loop_factory=FairLoop) as runner:
            runner.run(run_sender(lambda: read_current_config(path)))
    except (ConfigError, JournalError) as error:
        raise SystemExit(f"rowanrack: {error}") from None


@main.command()
@config_option
@click.option("--all", "everything", is_flag=True, help="Print the whole configuration in effect.")
@click.option("--json", "as_json", is_flag=True, help="The same as one JSON document.")
def check(path: Path | None, everything: bool, as_json: bool) -> None:
    """Validate the configuration, and print what a sender would start with."""
    config = config_or_exit(path)
    if everything or as_json:
        rows = list(settings_in_effect(config))
        if as_json:
            click.echo(
                json.dumps({k: {"value": value, "default": is_default} for k, value, is_default in rows})
            )
            return
        for key, value, is_default in rows:
            click.echo(f"{key} = {value!r}{'  (default)' if is_default else ''}")
        return
    click.echo(f"{config.name}: configuration is valid")
    click.echo(f"classes: {', '.join(config.settings.classes)}; {config.settings.slots} slots")
    for name, front in (("platform", config.platform), ("otlp", config.otlp)):
        if front is not None:
            click.echo(f"{name}: listens on {front.listen[0]}:{front.listen[1]}")


def settings_in_effect(config: Config) -> Iterator[tuple[str, Any, bool]]:
    """Yield the key and value of each setting in effect, and whether it is the default."""
    for field in dataclasses.fields(config.settings):
        value = getattr(config.settings, field.name)
        is_default = field.default is not dataclasses.MISSING and value == field.default
        yield f"settings.{field.name}", to_plain_value(value), is_default
    for name in ("name", "tick_us", "state", "disk_bytes", "sockets", "memory_bytes", "console"):
        value = getattr(config, name)
        yield name, str(value) if isinstance(value, Path) else value, value is None
    for name in ("platform", "otlp", "consul"):
        yield name, to_plain_value(getattr(config, name)), getattr(config, name) is None
    for instance in config.instances:
        yield f"instance.{instance.name}", to_plain_value(instance), False


def to_plain_value(value: Any) -> Any:
    """Convert a record to plain values that can be printed as JSON."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: to_plain_value(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, list | tuple):
        return [to_plain_value(item) for item in value]
    if isinstance(value, dict):
        return {str(key): to_plain_value(item) for key, item in value.items()}
    return value


@main.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
def journal(folder: Path) -> None:
    """Print the contents of the journal in FOLDER without changing it."""
    store = Journal(folder, 0, lambda: time.time_ns() // 1000)
    try:
        data = store.path.read_bytes()
        end = store.replay(data)
    except FileNotFoundError:
        raise SystemExit(f"rowanrack: {folder} holds no journal") from None
    except (OSError, JournalError) as error:
        raise SystemExit(f"rowanrack: {error}") from None
    for message in store.owed.values():
        run_state = "may have run" if message.unsettled else "has not run"
        left_s = (message.deadline_us - store.unix_us()) / 1_000_000
        state = f"{message.attempts_made} attempts, {run_state}, {left_s:.1f} s left"
        click.echo(f"owed {message.id} {message.cls} to {message.dest}: {state}")
    for message_id, ended in store.ends.items():
        click.echo(f"ended {message_id} {ended.end.ending.value}")
    click.echo(
        f"{len(store.owed)} owed, {len(store.ends)} ended, {end} bytes, torn tail of {len(data) - end} bytes"
    )


@main.command()
@click.option(
    "--config", "path", type=click.Path(path_type=Path), required=True, help="The operator's TOML file."
)
@click.option("--once", is_flag=True, help="Print one frame and exit.")
def console(path: Path, once: bool) -> None:
    """Show the queues, windows and waits of a running sender."""
    from rich.console import Console
    from rich.live import Live

    from rowanrack.console.view import ConsoleError, render, snapshots

    socket = config_or_exit(path).console
    if socket is None:
        raise SystemExit(f"rowanrack: {path}: no socket is configured in [console]")
    try:
        frames = snapshots(socket)
        if once:
            Console().print(render(next(frames)))
            return
        with Live(screen=True, auto_refresh=False) as live:
            for frame in frames:
                live.update(render(frame), refresh=True)
    except ConsoleError as error:
        raise SystemExit(f"rowanrack: {error}") from None
    except StopIteration:
        raise SystemExit(f"rowanrack: {socket}: the sender has closed the connection") from None
    except KeyboardInterrupt:
        return
    raise SystemExit(f"rowanrack: {socket}: the sender has closed the connection")
