"""Idempotency keys from the front end to the call, and how long they are valid, also after a restart."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from rowanrack.core.messages import End, Ending, Message
from rowanrack.fronts.otlp import OtlpError
from rowanrack.fronts.otlp.mapping import ValueSource
from rowanrack.fronts.platform.clients import read_submit
from rowanrack.fronts.platform.resp import RespError
from rowanrack.net.http import Reply
from rowanrack.store.journal import Journal
from rowanrack.store.journal_records import TAKEN, encode_byte_strings, encode_record, encode_status
from rowanspindle import Result
from rowanspindle.wire import parse_settings
from tests.rig import MAPPING, SETTINGS, Rig, answers, on_loop
from tests.test_core import ExchangeHarness

SECOND_US = 1_000_000
PARSED = parse_settings(json.dumps(SETTINGS))


def submit_command(more: str, cls: str = "entry-fee") -> list[bytes]:
    return [b"SUBMIT", b"0", b"m1", f"c={cls},d=3000,dest=7{more}".encode(), b"x"]


@pytest.mark.parametrize(
    ("more", "cls", "key"),
    [
        (",k=5c0f6e1a2b3d4c59", "entry-fee", "5c0f6e1a2b3d4c59"),
        (",k=a=b", "entry-fee", "a=b"),
        (",k=" + "x" * 256, "entry-fee", "x" * 256),
        (",k=abc", "album-update", "abc"),  # forwarded unchanged although the class does not require a key
        ("", "print-order", ""),
    ],
)
def test_key_is_read_from_submit(more: str, cls: str, key: str) -> None:
    assert read_submit(submit_command(more, cls), PARSED, 0).key == key


@pytest.mark.parametrize(
    ("more", "cls", "text"),
    [
        ("", "entry-fee", "ERR the list lacks k: class entry-fee is keyed"),
        (",k=", "entry-fee", "ERR the list lacks k: class entry-fee is keyed"),
        (",k=a b", "entry-fee", "ERR bad k"),
        (",k=a\r\nX-Txn: b", "album-update", "ERR bad k"),
        (",k=\u00e9", "entry-fee", "ERR bad k"),
        (",k=" + "x" * 257, "entry-fee", "ERR bad k"),
    ],
)
def test_invalid_or_missing_key_is_refused(more: str, cls: str, text: str) -> None:
    with pytest.raises(RespError, match=text):
        read_submit(submit_command(more, cls), PARSED, 0)


@on_loop
async def test_each_attempt_carries_its_key_and_other_classes_carry_none(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(Reply(500, {}), Reply(200, {}))) as rig:
        client = await rig.client()
        await client.submit("m1", "entry-fee", key="5c0f")
        first, second = await rig.servers[0].wait_for_requests(2)
        assert first.headers["idempotency-key"] == second.headers["idempotency-key"] == "5c0f"
        await client.submit("m2")
        assert "idempotency-key" not in (await rig.servers[0].wait_for_requests(3))[2].headers


@on_loop
async def test_key_survives_a_restart(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(Reply(500, {}))) as rig:
        await (await rig.client()).submit("m1", "entry-fee", key="5c0f", d=20_000)
        await rig.servers[0].wait_for_requests(1)
        rig.sender.close()
        rig.servers[0].behave = answers(Reply(200, {}))
        before = len(rig.servers[0].requests)
        await rig.start()
        repeat = (await rig.servers[0].wait_for_requests(before + 1))[-1]
        assert (repeat.headers["x-txn"], repeat.headers["idempotency-key"]) == ("m1", "5c0f")


def keyed_message(name: str = "m1") -> Message:
    return Message(name, "entry-fee", "a", 7, 2000 * SECOND_US, b"x", "platform", "f", "k1")


def test_journal_keeps_a_key_and_the_start_of_its_validity(tmp_path: Path) -> None:
    now = [1000 * SECOND_US]
    journal = Journal(tmp_path, 3_000_000, lambda: now[0])
    journal.open()
    message = keyed_message()
    journal.take(message)
    journal.begin(message, 0)
    message.attempts_made, message.unsettled = 1, {0: now[0]}
    now[0] += SECOND_US
    assert journal._compact()
    journal.begin(message, 1)
    journal.close()
    reopened = Journal(tmp_path, 3_000_000, lambda: now[0])
    reopened.open()
    assert reopened.owed["m1"].key == "k1"
    assert reopened.owed["m1"].unsettled == {0: 1000 * SECOND_US, 1: 1001 * SECOND_US}
    second_process = Journal(tmp_path, 3_000_000, lambda: now[0])  # the second process of a hot restart
    second_process.open()
    reopened.close()
    (taken_over,) = second_process.take_over() or []
    assert (taken_over.key, taken_over.unsettled) == ("k1", {0: 1000 * SECOND_US, 1: 1001 * SECOND_US})
    second_process.close()


def test_journal_records_of_earlier_versions_are_read(tmp_path: Path) -> None:
    texts = (b"old", b"c", b"t", b"platform", b"f", b"body")
    accepted_record = (
        TAKEN + encode_byte_strings(*texts) + (5).to_bytes(8, "little") + (3).to_bytes(8, "little")
    )
    journal = Journal(tmp_path, 3_000_000, lambda: 0)
    journal.open()
    journal._append(encode_record(accepted_record))
    journal._append(encode_record(encode_status(b"B", "old", 0)))
    journal.close()
    later = Journal(tmp_path, 3_000_000, lambda: 0)
    later.open()
    assert (later.owed["old"].key, later.owed["old"].dest, later.owed["old"].unsettled) == (
        "",
        3,
        {0: 0},
    )
    later.close()


ZONED = SETTINGS | {"grades": [g | {"group": "zone"} for g in SETTINGS["grades"]]}


@pytest.mark.parametrize(
    ("attempt_age_s", "sent", "settings_doc"), [(3, True, SETTINGS), (5, False, SETTINGS), (1, False, ZONED)]
)
def test_repeat_after_a_restart_is_sent_only_while_its_key_is_valid(
    tmp_path: Path, attempt_age_s: int, sent: bool, settings_doc: dict[str, Any]
) -> None:
    """Guards against counting the key's time from the restart, which let a repeat take effect twice."""
    harness = ExchangeHarness(tmp_path, settings_doc)
    message = replace(keyed_message(), deadline_us=harness.now + 15 * SECOND_US, attempts_made=1)
    message.unsettled = {0: harness.now - attempt_age_s * SECOND_US}
    harness.journal.take(message)
    harness.exchange.adopt(message)
    harness.run(10_000)
    assert bool(harness.calls) is sent
    assert bool(harness.ends) is not sent


def test_repeat_waiting_for_a_connection_is_dropped_when_its_key_expires(tmp_path: Path) -> None:
    harness = ExchangeHarness(tmp_path)
    message = replace(keyed_message(), deadline_us=harness.now + 15 * SECOND_US)
    harness.exchange.submit(message)
    harness.run(10_000)
    assert harness.exchange.begin(harness.calls[0])
    harness.exchange.settle(harness.calls[0], Result.ERROR)
    while len(harness.calls) < 2:
        harness.run(5000)
    harness.now += 4 * SECOND_US
    assert len(harness.calls) == 2 and not harness.exchange.begin(harness.calls[1])


def test_repeat_is_dropped_when_its_key_expires_while_being_recorded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A compaction of the journal or a slow disk can delay the sender between the check and the call."""
    harness = ExchangeHarness(tmp_path)
    harness.exchange.submit(replace(keyed_message(), deadline_us=harness.now + 15 * SECOND_US))
    harness.run(10_000)
    assert harness.exchange.begin(harness.calls[0])
    harness.exchange.settle(harness.calls[0], Result.ERROR)
    harness.run(SECOND_US)
    record = Journal.begin

    def record_late(journal: Journal, message: Message, attempt_number: int) -> bool:
        harness.now += 4 * SECOND_US
        return record(journal, message, attempt_number)

    monkeypatch.setattr(Journal, "begin", record_late)
    assert not harness.exchange.begin(harness.calls[1])
    assert list(harness.calls[1].message.unsettled) == list(harness.journal.owed["m1"].unsettled) == [0]


def test_repeat_within_one_zone_is_sent_while_its_key_is_valid(tmp_path: Path) -> None:
    """Only a restart loses the zone of the first attempt; without one, repeats must not be stopped."""
    harness = ExchangeHarness(tmp_path, ZONED)
    harness.exchange.submit(replace(keyed_message(), deadline_us=harness.now + 15 * SECOND_US))
    harness.run(10_000)
    assert harness.exchange.begin(harness.calls[0])
    harness.exchange.settle(harness.calls[0], Result.ERROR)
    harness.run(SECOND_US)
    assert harness.exchange.begin(harness.calls[1])
    harness.exchange.settle(harness.calls[1], Result.OK)
    assert harness.ends == {"m1": End(Ending.DELIVERED)}


def test_otlp_key_comes_from_the_map_or_else_the_id() -> None:
    mapping = replace(MAPPING, cls=ValueSource(default="entry-fee"), key=ValueSource(header="x-key"))

    def key(**headers: str) -> str:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return mapping.build_message(PARSED, named, (), b"x", "logs j", 0).key

    assert key(x_id="m1", x_key="k1") == "k1"
    assert key(x_id="m1") == "m1"
    # an id with a blank cannot be sent in a header, so another key is generated
    assert len(key(x_id="m 1")) == 32
    with pytest.raises(OtlpError, match="bad key"):
        key(x_id="m1", x_key="k 1")
    assert (
        replace(mapping, cls=ValueSource(default="print-order")).build_message(PARSED, {}, (), b"", "", 0).key
        == ""
    )
