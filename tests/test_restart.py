"""Restarts with settings that do not fit the outstanding messages; failures of the decision module."""

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


def settings_with_changed_class(**changes: Any) -> dict[str, Any]:
    """Return the settings with `album-update` changed, or removed if its effect is None."""
    doc = deepcopy(SETTINGS)
    doc["grades"][0].update(changes)
    if doc["grades"][0]["effect"] is None:
        del doc["grades"][0]
    return doc


async def restart(rig: Rig, doc: dict[str, Any]) -> None:
    """Start the next process on the rig's folder with other settings."""
    rig.sender.close()
    rig.settings = parse_settings(json.dumps(doc))
    await rig.start()


@on_loop
async def test_message_of_a_removed_class_does_not_affect_other_messages(tmp_path: Path) -> None:
    """The module failed on such a message, and the round's endpoint list and other messages were lost."""
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
        await restart(rig, settings_with_changed_class(effect=None))
        assert (await rig.platform.wait_for_notice("untried"))["outcome"] == "handed_back"
        assert (await rig.platform.wait_for_notice("begun"))["outcome"] == "given_up"
        await rig.wait_until(lambda: rig.sender.exchange.counts[Ending.DELIVERED] == 1)
        assert list(rig.sender.exchange.messages) == ["order"]


@on_loop
async def test_message_from_a_removed_front_end_is_delivered_without_blaming_the_endpoint(
    tmp_path: Path,
) -> None:
    """Each attempt counted as a failed connection: all six were used up, and the endpoint was taken out."""
    async with Rig(tmp_path, silent) as rig:
        export = asyncio.ensure_future(rig.export(logs(), x_class="album-update", x_left_ms="3000"))
        await rig.servers[0].wait_for_requests(1)
        export.cancel()
        rig.servers[0].behave, rig.config_changes = OK, {"otlp": None}
        await restart(rig, SETTINGS)
        assert (await rig.servers[0].wait_for_requests(2))[1].target == "/v1/logs"
        await rig.wait_until(lambda: rig.sender.exchange.counts[Ending.DELIVERED] == 1)
        assert rig.sender.exchange.ejected == 0


async def submit_undeliverable(rig: Rig, *ids: str, d: int = 1500) -> None:
    """Submit messages that cannot be sent, because their destination's only endpoint has been removed."""
    rig.add_removed_destinations(99)
    client = await rig.client()
    for message_id in ids:
        assert await client.submit(message_id, d=d, dest=99) == b"+OK\r\n"
    rig.known_endpoints = (
        make_endpoint("back", rig.servers[0].port, 99),
    )  # listed when the next process starts


@pytest.mark.parametrize(("attempted", "outcome"), [(False, "handed_back"), (True, "given_up")])
@on_loop
async def test_message_without_a_key_is_not_sent_after_its_class_became_keyed(
    tmp_path: Path, attempted: bool, outcome: str
) -> None:
    """Its class was repeatable at first and keyed later, and the repeat went out without a key."""
    async with Rig(tmp_path, answers(None, Reply(200, {}))) as rig:
        if attempted:
            rig.servers[0].behave = silent
            await (await rig.client()).submit("m1")
            await rig.servers[0].wait_for_requests(1)
        else:
            await submit_undeliverable(rig, "m1")
        await restart(rig, settings_with_changed_class(effect="dedup", key_ttl_us=4_000_000))
        assert (await rig.platform.wait_for_notice("m1"))["outcome"] == outcome
        assert len(rig.servers[0].requests) == attempted


@pytest.mark.parametrize("failing", [1, 2, 3])
@on_loop
async def test_event_on_which_the_module_fails_does_not_affect_other_events(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: int
) -> None:
    accept = Forwarder.accept

    def failing_accept(forwarder: Forwarder, event: Accept) -> None:
        if event.ref == failing:
            raise ZeroDivisionError
        accept(forwarder, event)

    async with Rig(tmp_path, OK) as rig:
        await submit_undeliverable(rig, "m1", "m2", "m3")
        monkeypatch.setattr(Forwarder, "accept", failing_accept)
        await restart(rig, SETTINGS)
        await rig.platform.wait_for_notice(f"m{failing}")
        counts = rig.sender.exchange.counts
        assert (counts[Ending.DELIVERED], counts[Ending.FAILED]) == (2, 1)
        assert list(rig.platform.notices) == [f"m{failing}"]


@on_loop
async def test_actions_decided_before_the_module_failed_are_carried_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The send was lost, and the module believed its slot to be in use for ever."""

    def failing_close_idle(_forwarder: Forwarder) -> None:
        monkeypatch.undo()
        raise ZeroDivisionError

    async with Rig(tmp_path, OK) as rig:
        # It runs after the sends have been decided.
        monkeypatch.setattr(Forwarder, "close_idle", failing_close_idle)
        await (await rig.client()).submit("m1", d=1500)
        assert (await rig.wait_for_end("m1")).ending is Ending.DELIVERED
        await (await rig.client()).submit("m2")
        assert (await rig.wait_for_end("m2")).ending is Ending.DELIVERED
        assert (1, 0) not in rig.sender.exchange.forwarder.attempts


@on_loop
async def test_process_takes_over_messages_of_another_one_that_dies(tmp_path: Path) -> None:
    """A process looked for other journals only at its start, and missed those of later processes."""
    async with Rig(tmp_path, OK) as rig:
        first = rig.sender
        # by now it has looked for other journals
        assert await (await rig.client()).command("PING") == b"+PONG\r\n"
        await rig.start()
        await submit_undeliverable(rig, "m1", d=5000)
        rig.sender.close()  # the journal stays as after SIGKILL
        rig.sender = first
        first.exchange.update_endpoints(UpdateScope.FULL, rig.known_endpoints)
        await rig.wait_until(lambda: first.exchange.counts[Ending.DELIVERED] == 1)
        assert not first.journal.owed and not (tmp_path / "messages.b.log").exists()
