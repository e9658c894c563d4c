"""The console: what a running sender shows, and how it looks."""

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
async def test_a_viewer_sees_queues_and_windows(tmp_path: Path) -> None:
    path = tmp_path / "console.sock"
    async with Rig(tmp_path, silent) as rig:
        server = ConsoleServer("site-1", rig.sender.exchange)
        for _ in range(2):  # the second start finds the first one's socket
            await server.listen_at(path)
        rig.callback(server.close)
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        rig.add_removed_destinations(99)
        client = await rig.client()
        await client.submit("m1", dest=99)
        await client.submit("m2")
        await rig.servers[0].wait_for_requests(1)  # the module has seen both by then
        view = await asyncio.to_thread(next, snapshots(path))
        assert (view["owed"], view["out"]) == (2, 1)
        assert {d["dest"]: d["held"] for d in view["destinations"]} == {7: 0, 99: 1}
        screen = Console(width=120, record=True, file=io.StringIO())
        screen.print(render(view))
        shown = screen.export_text()
        assert "site-1  owed 2/20  out 1/8" in shown and "i0 1/" in shown


def test_no_sender_is_one_clear_line(tmp_path: Path) -> None:
    with pytest.raises(ConsoleError, match="No such file"):
        next(snapshots(tmp_path / "none.sock"))


def test_the_command_line_says_its_version_and_reads_a_journal(tmp_path: Path) -> None:
    run = CliRunner().invoke
    assert run(main, ["version"]).output == f"rowanrack {__version__}\n"
    missing = run(main, ["journal", str(tmp_path)])
    assert missing.exit_code == 1 and "holds no journal" in str(missing.exception)
    (tmp_path / "messages.log").write_bytes(b"rowanrack journal 1\n\x01")
    read = run(main, ["journal", str(tmp_path)])
    assert read.output == "0 owed, 0 ended, 20 bytes, torn tail of 1 bytes\n"


def test_check_says_what_a_sender_would_start_with() -> None:
    path = Path(__file__).parent.parent / "deploy" / "operator.example.toml"
    shown = CliRunner().invoke(main, ["check", "--config", str(path)])
    assert shown.exit_code == 0 and "otlp: listens on 127.0.0.1:4318" in shown.output
