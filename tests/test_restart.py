"""A restart with settings that do not fit what is owed, and a decision module that fails on one event."""

from __future__ import annotations

import asyncio
import json
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest

from rowanrack.core.messages import Ending
from rowanrack.net.http import Reply
from rowanspindle import Accept, Forwarder, UpdateScope
from rowanspindle.wire import parse_settings
from tests.rig import SETTINGS, Rig, answers, make_endpoint, on_loop, silent
from tests.test_otlp import logs

OK = answers(Reply(200, {}))


def regraded(**changes: Any) -> dict[str, Any]:
    """The settings with `album-update` changed; without it where the effect is None."""
    doc = deepcopy(SETTINGS)
    doc["grades"][0].update(changes)
    if doc["grades"][0]["effect"] is None:
        del doc["grades"][0]
    return doc


async def restart(rig: Rig, doc: dict[str, Any]) -> None:
    """The next process on the rig's folder, with other settings."""
    rig.sender.close()
    rig.settings = parse_settings(json.dumps(doc))
    await rig.start()


@on_loop
async def test_a_class_that_is_gone_takes_nothing_else_with_it(tmp_path: Path) -> None:
    """The module failed on the message, and with it went the list and all that was owed beside it."""
    async with Rig(tmp_path, silent) as rig:
        rig.add_removed_destinations(99)
        client = await rig.client()
        await client.submit("begun")
        await rig.servers[0].wait_for_requests(1)
        await client.submit("untried", dest=99)
        await client.submit("order", "print-order", dest=99)
        await client.submit("fee", "entry-fee", key="k")
        await rig.servers[0].wait_for_requests(2)
        rig.servers[0].behave = OK
        await restart(rig, regraded(effect=None))
        assert (await rig.platform.wait_for_notice("untried"))["outcome"] == "handed_back"
        assert (await rig.platform.wait_for_notice("begun"))["outcome"] == "given_up"
        await rig.wait_until(lambda: rig.sender.exchange.counts[Ending.DELIVERED] == 1)
        assert list(rig.sender.exchange.messages) == ["order"]


@on_loop
async def test_what_came_by_a_front_that_is_gone_is_delivered_and_blames_nobody(tmp_path: Path) -> None:
    """Each attempt counted as a failed connection: six were used up, and the endpoint was put out."""
    async with Rig(tmp_path, silent) as rig:
        export = asyncio.ensure_future(rig.export(logs(), x_class="album-update", x_left_ms="3000"))
        await rig.servers[0].wait_for_requests(1)
        export.cancel()
        rig.servers[0].behave, rig.config_changes = OK, {"otlp": None}
        await restart(rig, SETTINGS)
        assert (await rig.servers[0].wait_for_requests(2))[1].target == "/v1/logs"
        await rig.wait_until(lambda: rig.sender.exchange.counts[Ending.DELIVERED] == 1)
        assert rig.sender.exchange.ejected == 0


async def owed(rig: Rig, *ids: str, d: int = 1500) -> None:
    """Messages that are taken and cannot go: the only endpoint of their destination has gone."""
    rig.add_removed_destinations(99)
    client = await rig.client()
    for message_id in ids:
        assert await client.submit(message_id, d=d, dest=99) == b"+OK\r\n"
    rig.known_endpoints = (make_endpoint("back", rig.servers[0].port, 99),)  # for the next process


@pytest.mark.parametrize(("tried", "outcome"), [(False, "handed_back"), (True, "given_up")])
@on_loop
async def test_what_came_without_a_key_is_not_called_as_keyed(
    tmp_path: Path, tried: bool, outcome: str
) -> None:
    """Taken while its class was safe, its repeat went out without a key: nobody could have dropped it."""
    async with Rig(tmp_path, answers(None, Reply(200, {}))) as rig:
        if tried:
            rig.servers[0].behave = silent
            await (await rig.client()).submit("m1")
            await rig.servers[0].wait_for_requests(1)
        else:
            await owed(rig, "m1")
        await restart(rig, regraded(effect="dedup", key_ttl_us=4_000_000))
        assert (await rig.platform.wait_for_notice("m1"))["outcome"] == outcome
        assert len(rig.servers[0].requests) == tried


@pytest.mark.parametrize("failing", [1, 2, 3])
@on_loop
async def test_an_event_that_the_module_fails_on_takes_no_other_with_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: int
) -> None:
    accept = Forwarder.accept

    def picky(forwarder: Forwarder, event: Accept) -> None:
        if event.ref == failing:
            raise ZeroDivisionError
        accept(forwarder, event)

    async with Rig(tmp_path, OK) as rig:
        await owed(rig, "m1", "m2", "m3")
        monkeypatch.setattr(Forwarder, "accept", picky)
        await restart(rig, SETTINGS)
        await rig.platform.wait_for_notice(f"m{failing}")
        counts = rig.sender.exchange.counts
        assert (counts[Ending.DELIVERED], counts[Ending.FAILED]) == (2, 1)
        assert list(rig.platform.notices) == [f"m{failing}"]


@on_loop
async def test_what_was_decided_before_the_module_failed_is_done(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The send was lost, and the module took its slot to be in use from then on."""

    def broken(_forwarder: Forwarder) -> None:
        monkeypatch.undo()
        raise ZeroDivisionError

    async with Rig(tmp_path, OK) as rig:
        monkeypatch.setattr(Forwarder, "close_idle", broken)  # behind the dispatch
        await (await rig.client()).submit("m1", d=1500)
        assert (await rig.wait_for_end("m1")).ending is Ending.DELIVERED
        await (await rig.client()).submit("m2")
        assert (await rig.wait_for_end("m2")).ending is Ending.DELIVERED
        assert (1, 0) not in rig.sender.exchange.forwarder.attempts


@on_loop
async def test_a_process_owns_what_another_beside_it_leaves_when_it_dies(tmp_path: Path) -> None:
    """It had looked once, at its own start: what a process that came later had taken on was lost."""
    async with Rig(tmp_path, OK) as rig:
        first = rig.sender
        assert await (await rig.client()).command("PING") == b"+PONG\r\n"  # it has looked by then
        await rig.start()
        await owed(rig, "m1", d=5000)
        rig.sender.close()  # as after SIGKILL
        rig.sender = first
        first.exchange.list_instances(UpdateScope.FULL, rig.known_endpoints)
        await rig.wait_until(lambda: first.exchange.counts[Ending.DELIVERED] == 1)
        assert not first.journal.owed and not (tmp_path / "messages.b.log").exists()
