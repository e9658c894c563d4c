"""Consul as a source of the endpoint list, tested against a fake agent."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from rowanrack.consul import ConsulError, ConsulSource, next_index, parse_endpoints, status_of
from rowanrack.net.http import Reply, Request
from rowanspindle import EndpointStatus, UpdateScope
from tests.rig import HttpStandIn, Rig, answers, on_loop

OK = Reply(200, {})


class FakeAgent(HttpStandIn):
    """A fake agent that gives the answers of each path in turn, waiting at each event, and then blocks."""

    def __init__(self, **paths: list[tuple[int, Any] | asyncio.Event]) -> None:
        super().__init__(self._behave)
        self.paths = paths

    async def _behave(self, request: Request) -> Reply | None:
        remaining_answers = self.paths[request.target.split("?")[0].rsplit("/", 1)[1]]
        answer = remaining_answers.pop(0) if remaining_answers else asyncio.Event()
        if isinstance(answer, asyncio.Event):
            await answer.wait()
            return await self._behave(request)
        index, doc = answer
        if index < 0:
            return Reply(500, {})
        return Reply(200, {"X-Consul-Index": str(index)}, json.dumps(doc).encode())


def health_entry(name: str, port: int, *checks: str, **meta: str) -> dict[str, Any]:
    """Build an endpoint as the health API lists it."""
    service = {
        "ID": name,
        "Address": "",
        "Port": port,
        "Meta": {"dest": "7", "kind": "print-lab", "rate": "50"} | meta,
    }
    check_list = [{"CheckID": check, "Status": "critical"} for check in checks]
    return {"Node": {"Node": "n", "Address": "127.0.0.1"}, "Service": service, "Checks": check_list}


@pytest.mark.parametrize(
    ("last", "header", "index"), [(0, "0", 1), (0, "5", 5), (5, "5", 5), (5, "9", 9), (9, "5", 0)]
)
def test_index_starts_again_when_it_went_backwards(last: int, header: str, index: int) -> None:
    assert next_index(last, header) == index


@pytest.mark.parametrize("header", ["", "x", "-1"])
def test_answer_without_a_valid_index_is_rejected(header: str) -> None:
    with pytest.raises(ConsulError):
        next_index(0, header)


@pytest.mark.parametrize(
    ("checks", "status"),
    [
        ([], EndpointStatus.LISTED),
        ([{"CheckID": "http", "Status": "passing"}], EndpointStatus.LISTED),
        ([{"CheckID": "http", "Status": "critical"}], EndpointStatus.DRAINING),
        ([{"CheckID": "_node_maintenance", "Status": "critical"}], EndpointStatus.DRAINING),
        ([{"CheckID": "_service_maintenance:i0", "Status": "critical"}], EndpointStatus.DRAINING),
    ],
)
def test_maintenance_or_a_critical_check_means_draining(
    checks: list[dict[str, str]], status: EndpointStatus
) -> None:
    assert status_of(checks) is status


def test_endpoint_without_valid_metadata_is_left_out(caplog: pytest.LogCaptureFixture) -> None:
    assert parse_endpoints([health_entry("a", 1, rate="x"), {}]) == []
    assert caplog.text.count("left out") == 2
    (endpoint,) = parse_endpoints([health_entry("a", 1, zone="z")])
    assert (endpoint.name, endpoint.host, endpoint.port, endpoint.zone, endpoint.dest, endpoint.rate) == (
        "n/a",
        "127.0.0.1",
        1,
        "z",
        7,
        50,
    )


@on_loop
async def test_endpoints_of_tagged_services_get_messages_unless_in_maintenance(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK), answers(OK)) as rig:
        first, second = (s.port for s in rig.servers)
        labs: list[tuple[int, Any] | asyncio.Event] = [
            (4, [health_entry("a", first), health_entry("b", second)]),
            (6, [health_entry("a", first, "_service_maintenance:a"), health_entry("b", second)]),
        ]
        agent = FakeAgent(services=[(3, {"labs": ["sender"], "other": []})], labs=labs)
        async with agent:
            rig.sender.exchange.update_endpoints(UpdateScope.FULL, ())
            source = ConsulSource(rig.sender.exchange, ("127.0.0.1", agent.port), (), "sender")
            rig.callback(source.close)
            source.start()
            await agent.wait_for_requests(5)
            assert {r.target.partition("index=")[2] for r in agent.requests if "labs" in r.target} == {
                "0&wait=60s",
                "4&wait=60s",
                "6&wait=60s",
            }
            client = await rig.client()
            for n in range(3):
                await client.submit(f"m{n}")
                await rig.wait_for_end(f"m{n}")
            assert not rig.servers[0].requests and len(rig.servers[1].requests) == 3


@on_loop
async def test_after_a_failure_or_an_index_reset_queries_start_again_from_0(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        agent = FakeAgent(
            labs=[(8, [health_entry("a", 1)]), (-1, None), (9, [health_entry("b", 1)]), (2, []), (3, [])]
        )
        async with agent:
            source = ConsulSource(rig.sender.exchange, ("127.0.0.1", agent.port), ("labs",), "")
            rig.callback(source.close)
            source.start()
            await agent.wait_for_requests(6)
            indexes = [int(r.target.partition("index=")[2].partition("&")[0]) for r in agent.requests]
            assert indexes == [0, 8, 0, 9, 0, 3]
            assert not rig.sender.exchange.endpoint_list.names()


@on_loop
async def test_late_catalogue_answer_reopens_no_endpoint_of_a_deregistered_service(tmp_path: Path) -> None:
    """Guards against a history that ends with the watch of its service."""
    removal, failure, registration = asyncio.Event(), asyncio.Event(), asyncio.Event()
    with_labs, with_endpoint = {"labs": ["sender"]}, [health_entry("a", 1)]
    agent = FakeAgent(
        services=[(3, with_labs), removal, (5, {}), failure, (-1, None), (3, with_labs)],
        labs=[(4, with_endpoint)],
    )
    async with Rig(tmp_path) as rig, agent:
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, ())
        source = ConsulSource(rig.sender.exchange, ("127.0.0.1", agent.port), (), "sender")
        rig.callback(source.close)
        source.start()
        await agent.wait_for_requests(4)  # two of each path
        assert rig.sender.exchange.endpoint_list.names() == {"n/a"}
        removal.set()
        await agent.wait_for_requests(5)
        assert not rig.sender.exchange.endpoint_list.names()
        agent.paths["labs"] += [(4, with_endpoint), registration, (6, with_endpoint)]
        failure.set()
        await agent.wait_for_requests(9)  # the catalogue, twice, and the service, twice
        assert not rig.sender.exchange.endpoint_list.names()
        registration.set()
        await agent.wait_for_requests(10)
        assert rig.sender.exchange.endpoint_list.names() == {"n/a"}
