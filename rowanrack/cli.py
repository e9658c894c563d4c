"""The command line."""

from __future__ import annotations

import asyncio
import logging
import os
import sys

import click

from rowanrack import __version__
from rowanrack.app import serve as serve_config
from rowanrack.config import ConfigError, platform_config
from rowanrack.store.journal import JournalError

LOG_FORMAT = "%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s"


@click.group()
def main() -> None:
    """rowanrack delivers messages to partners' instances."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"rowanrack {__version__}")


@main.command()
def serve() -> None:
    """Run a sender until SIGTERM."""
    logging.basicConfig(level=logging.INFO, format=LOG_FORMAT, datefmt="%H:%M:%S", stream=sys.stderr)
    try:
        asyncio.run(serve_config(platform_config(os.environ)))
    except (ConfigError, JournalError) as error:
        raise SystemExit(f"rowanrack: {error}") from None
