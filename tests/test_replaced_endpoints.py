"""A process that comes up at the address of an endpoint that has gone is not taken for that endpoint."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from rowanrack.core.endpoint_list import EndpointList
from rowanrack.core.messages import Ending
from rowanrack.fronts.platform.server_list import parse_start_time
from rowanrack.net.http import Reply
from rowanspindle import EndpointStatus, UpdateScope
from tests.rig import Rig, answers, make_endpoint, on_loop

OLD = make_endpoint("old", 1234, dest=7)
NEW = replace(make_endpoint("new", 1234, dest=9), born_ms=1000)


@on_loop
async def test_messages_are_not_sent_to_the_process_that_replaced_their_endpoint(tmp_path: Path) -> None:
    """The list told of the new process before it told that the old endpoint was gone."""
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        port = rig.servers[0].port
        old, new = replace(OLD, port=port), replace(NEW, port=port)
        exchange = rig.sender.exchange
        exchange.update_endpoints(UpdateScope.FULL, [old])
        client = await rig.client()
        assert await client.submit("m1", dest=7) == b"+OK\r\n"
        await rig.wait_for_end("m1")
        exchange.update_endpoints(UpdateScope.DELTA, [new])
        assert await client.submit("m2", dest=7, d=300) == b"+OK\r\n"
        assert await client.submit("m3", dest=9) == b"+OK\r\n"
        assert (await rig.wait_for_end("m3")).ending is Ending.DELIVERED
        assert (await rig.wait_for_end("m2")).ending is Ending.REFUSED
        assert [r.headers["x-txn"] for r in rig.servers[0].requests] == ["m1", "m3"]
        assert rig.servers[0].connections == 2
        exchange.update_endpoints(UpdateScope.DELTA, [replace(new, status=EndpointStatus.REMOVED)])
        assert await client.submit("m4", dest=7) == b"+OK\r\n"
        assert (await rig.wait_for_end("m4")).ending is Ending.DELIVERED


@on_loop
async def test_connections_to_the_process_before_a_restart_are_not_used_after_it(tmp_path: Path) -> None:
    """An endpoint that starts anew keeps its name and address."""
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        endpoint = make_endpoint("i0", rig.servers[0].port)
        client = await rig.client()
        for born_ms, connections in ((0, 1), (0, 1), (1000, 2), (1000, 2)):
            rig.sender.exchange.update_endpoints(UpdateScope.DELTA, [replace(endpoint, born_ms=born_ms)])
            message_id = f"m{len(rig.servers[0].requests)}"
            assert await client.submit(message_id) == b"+OK\r\n"
            await rig.wait_for_end(message_id)
            assert rig.servers[0].connections == connections


@pytest.mark.parametrize(
    ("listed", "accepting"),
    [
        ([OLD, NEW], {"new"}),
        ([NEW, OLD], {"new"}),
        ([replace(OLD, born_ms=1000), NEW], {"old", "new"}),  # one address of several destinations
        ([OLD, replace(NEW, born_ms=0)], {"old", "new"}),
        ([OLD, replace(NEW, status=EndpointStatus.DRAINING)], set()),
        ([OLD, NEW, replace(NEW, status=EndpointStatus.REMOVED)], {"old"}),
        ([OLD, NEW, replace(NEW, port=99)], {"old", "new"}),
        ([OLD, NEW, replace(OLD, port=99)], {"old", "new"}),
        ([OLD, NEW, replace(OLD, born_ms=2000)], {"old"}),
    ],
)
def test_the_process_that_started_last_has_the_address(listed: list[Any], accepting: set[str]) -> None:
    for updates in ([[endpoint] for endpoint in listed], [listed]):
        endpoints = EndpointList()
        closed_to_calls = set[str]()
        for update in updates:
            closed_to_calls |= set(endpoints.update(UpdateScope.DELTA, update).closed_to_calls)
        assert {name for name in ("old", "new") if endpoints.accepts_calls(name)} == accepting


@pytest.mark.parametrize(
    ("value", "start_ms"),
    [(1000, 1000), (1.5e3, 1500), (0, 0), (-1, 0), (None, 0), ("x", 0), (float("nan"), 0), ([], 0)],
)
def test_a_start_time_that_cannot_be_read_is_unknown(value: Any, start_ms: int) -> None:
    assert parse_start_time(value) == start_ms
