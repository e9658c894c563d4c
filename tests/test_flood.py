"""One client that sends requests at full speed under ever new names, beside others."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from rowanrack.net.http import Reply
from tests.rig import Rig, answers, on_loop


@on_loop
async def test_refusals_for_want_of_room_do_not_fill_the_log(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.WARNING, "rowanrack.core.exchange")
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        monkeypatch.setattr(type(rig.sender.journal), "take", lambda journal, message: False)
        for number in range(50):
            assert (await client.submit(f"m{number}")).startswith(b"-BUSY")
    assert len([line for line in caplog.messages if "no room in the journal" in line]) == 1


@on_loop
async def test_unknown_classes_that_are_refused_under_overload_leave_no_figures(tmp_path: Path) -> None:
    """Each new name of a class added a figure, which stayed until the process ended."""
    async with Rig(tmp_path) as rig:
        client, exchange = await rig.client(), rig.sender.exchange
        exchange.load_shedder.refused_share = 1.0
        for cls in ("album-update", *(f"unknown-{number}" for number in range(20))):
            assert (await client.submit(f"m {cls}".replace(" ", "-"), cls)).startswith(b"-BUSY")
        assert exchange.metrics.counts["declined"] == {"album-update": 1}
        assert "unknown" not in rig.sender.metrics_text()
