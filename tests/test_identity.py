"""What makes two submissions one message: both fronts, the journal, and both processes of a hot restart."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from rowanrack.core.identity import content_digest
from rowanrack.core.messages import End, Ending, Message
from rowanrack.fronts.otlp.mapping import ValueSource, former_id
from rowanrack.fronts.otlp.signals import PROTOBUF
from rowanrack.lab.stand_in import Client
from rowanrack.net.http import Reply
from rowanrack.net.listener import ConnectionState
from rowanrack.store.journal import Journal
from rowanspindle import UpdateScope
from tests.rig import MAPPING, Rig, answers, on_loop, resp, silent
from tests.test_otlp import OK, logs

ID_IN_USE = b"-ERR the id belongs to a message with another class, tenant, destination or body\r\n"
LATER_US = 1 << 52  # a deadline in Unix time
OTHER_CONTENTS = [{"body": b"another"}, {"dest": 8}, {"cls": "print-order"}]


@pytest.mark.parametrize("other", OTHER_CONTENTS)
@pytest.mark.parametrize("ended", [False, True])
@on_loop
async def test_submission_under_the_id_of_another_message_is_not_answered_as_accepted(
    tmp_path: Path, ended: bool, other: dict[str, object]
) -> None:
    """Guards against +OK for a message that is never called out: the id was owned by another message."""
    async with Rig(tmp_path, answers(Reply(200, {})) if ended else silent) as rig:
        client = await rig.client()
        assert await client.submit("m1") == b"+OK\r\n"
        await (rig.wait_for_end("m1") if ended else rig.servers[0].wait_for_requests(1))
        assert await client.submit("m1", **other) == ID_IN_USE  # type: ignore[arg-type]
        assert await client.submit("m1") == b"+OK\r\n"
        assert len(rig.servers[0].requests) == 1


async def begin_submission(rig: Rig, command: bytes) -> Client:
    """Send the first half of a command; return once the sender has read it."""
    client = await rig.client()
    await client.stream.send(command[: len(command) // 2])
    front = rig.sender.fronts[0][0]
    while ConnectionState.RECEIVING not in [state for state, _ in front.streams.values()]:
        await asyncio.sleep(0)
    return client


@pytest.mark.parametrize("repeat", ["other", "same", "same, the first one ends"])
@on_loop
async def test_complete_command_does_not_take_the_id_of_a_request_that_is_under_way(
    tmp_path: Path, repeat: str
) -> None:
    """Guards against an error to a client whose id another one uses while its own command arrives."""
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        command = resp("SUBMIT", "0", "m1", "c=album-update,t=a,d=3000,dest=7", b"x" * 2000)
        client, other = await begin_submission(rig, command), await rig.client()
        if repeat == "other":
            answer = await other.submit("m1", body=b"another")
            assert answer.startswith(b"-ERR the id belongs to a request")
            assert await client.raw(command[len(command) // 2 :]) == b"+OK\r\n"
        else:
            if repeat != "same":
                client.stream.abort()
            assert await other.raw(command) == b"+OK\r\n"
        (call,) = await rig.servers[0].wait_for_requests(1)
        assert call.body == b"x" * 2000


@pytest.mark.parametrize("compacted", [False, True])
@on_loop
async def test_id_of_an_ended_message_is_not_confused_after_a_restart(
    tmp_path: Path, compacted: bool
) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        await (await rig.client()).submit("m1")
        await rig.wait_for_end("m1")
        if compacted:
            assert rig.sender.journal._compact()
        rig.sender.close()
        await rig.start()
        client = await rig.client()
        assert await client.submit("m1", body=b"another") == ID_IN_USE
        assert await client.submit("m1") == b"+OK\r\n"


@on_loop
async def test_export_under_the_id_of_another_tenants_message_is_not_answered_as_delivered(
    tmp_path: Path,
) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        first = logs(**{"service.namespace": "a"})
        assert (await rig.export(first, x_id="e1")).status == 200
        for other in (logs(**{"service.namespace": "b"}), logs("another", **{"service.namespace": "a"})):
            reply = await rig.export(other, x_id="e1")
            assert reply.status == 409 and b"the id belongs to a message" in reply.body
        assert (await rig.export(first, x_id="e1")).status == 200
        assert len(rig.servers[0].requests) == 1


@on_loop
async def test_equal_exports_without_an_id_to_two_destinations_are_two_messages(tmp_path: Path) -> None:
    """Guards against 200 for an export whose destination is never called: the derived id lacked it."""
    async with Rig(tmp_path, answers(OK), answers(OK)) as rig:
        exchange, (first, second) = rig.sender.exchange, rig.known_endpoints
        exchange.update_endpoints(UpdateScope.FULL, [first, replace(second, dest=8)])
        assert rig.sender.otlp is not None
        rig.sender.otlp.mapping = replace(MAPPING, destination=ValueSource(header="x-dest"))
        for dest in ("7", "8", "8"):
            assert (await rig.export(logs(), x_dest=dest)).status == 200
        assert [len(server.requests) for server in rig.servers] == [1, 1]


@on_loop
async def test_export_without_an_id_that_the_release_before_has_taken_is_not_sent_again(
    tmp_path: Path,
) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        former = Message(
            former_id("", logs()), "print-order", "", 7, LATER_US, logs(), "otlp", f"logs {PROTOBUF}"
        )
        assert rig.sender.exchange.submit(former) is None
        await rig.wait_for_end(former.id)
        assert (await rig.export(logs())).status == 200
        assert len(rig.servers[0].requests) == 1


def test_content_digest_outlasts_every_form_of_the_journal(tmp_path: Path) -> None:
    message = Message("m", "c", "t", 3, 5_000_000, b"body", "platform")
    journal = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
    journal.open()
    assert journal.take(message)
    journal.end(message, End(Ending.FAILED))
    for step in ("", "compact", "tell", "compact"):
        if step == "compact":
            assert journal._compact()
        if step == "tell":
            journal.confirm_notice("m")
        journal.close()
        journal = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
        journal.open()
        assert journal.content_digest_of_ended("m") == content_digest(message), step
        assert journal.size <= journal._max_compacted_bytes() or step in ("", "tell")
    journal.close()
