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
