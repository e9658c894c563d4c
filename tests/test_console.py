"""The console: snapshots of a running sender and their rendering, and related commands."""

from __future__ import annotations

import asyncio
import io
import stat
from pathlib import Path

import pytest
from click.testing import CliRunner
from rich.console import Console

from rowanrack import __version__
from rowanrack.cli import main
from rowanrack.console.server import ConsoleServer
from rowanrack.console.view import ConsoleError, render, snapshots
from tests.rig import Rig, on_loop, silent


@on_loop
async def test_snapshot_shows_held_messages_and_windows(tmp_path: Path) -> None:
    path = tmp_path / "console.sock"
    async with Rig(tmp_path, silent) as rig:
        server = ConsoleServer("site-1", rig.sender.exchange)
        for _ in range(2):  # the second start replaces the socket file of the first
            await server.listen_at(path)
        rig.callback(server.close)
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        rig.add_removed_destinations(99)
        client = await rig.client()
        await client.submit("m1", dest=99)
        await client.submit("m2")
        await rig.servers[0].wait_for_requests(1)  # by then the decision module has handled both
        view = await asyncio.to_thread(next, snapshots(path))
        assert (view["owed"], view["out"]) == (2, 1)
        assert {d["dest"]: d["held"] for d in view["destinations"]} == {7: 0, 99: 1}
        screen = Console(width=120, record=True, file=io.StringIO())
        screen.print(render(view))
        shown = screen.export_text()
        assert "site-1  owed 2/20  out 1/8" in shown and "i0 1/" in shown


def test_missing_socket_raises_a_console_error(tmp_path: Path) -> None:
    with pytest.raises(ConsoleError, match="No such file"):
        next(snapshots(tmp_path / "none.sock"))


def test_version_and_journal_commands_print_their_results(tmp_path: Path) -> None:
    invoke = CliRunner().invoke
    assert invoke(main, ["version"]).output == f"rowanrack {__version__}\n"
    missing = invoke(main, ["journal", str(tmp_path)])
    assert missing.exit_code == 1 and "holds no journal" in str(missing.exception)
    (tmp_path / "messages.log").write_bytes(b"rowanrack journal 1\n\x01")
    journal_result = invoke(main, ["journal", str(tmp_path)])
    assert journal_result.output == "0 owed, 0 ended, 20 bytes, torn tail of 1 bytes\n"


def test_check_command_prints_the_configuration() -> None:
    path = Path(__file__).parent.parent / "deploy" / "operator.example.toml"
    shown = CliRunner().invoke(main, ["check", "--config", str(path)])
    assert shown.exit_code == 0 and "otlp: listens on 127.0.0.1:4318" in shown.output
