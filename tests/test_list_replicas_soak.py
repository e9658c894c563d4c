"""Soak: discovery and Consul fail over between replicas that lag behind, and answer slowly, in virtual time.

`LIST_REPLICA_SEEDS=1-50` plays other seeds than those of CI.
"""

from __future__ import annotations

import asyncio
import functools
import json
import re
from dataclasses import dataclass
from pathlib import Path
from random import Random

import pytest

from rowanrack.net.stream import Stream
from tests.contracts.test_sources import Consul, Discovery, HttpSource, ListedEndpoint
from tests.soak import seeds
from tests.test_core import SECOND_US
from tests.test_list_clock import FakeStream, http_response

DEFAULT_SEEDS = "1-6"
TROUBLE_S, CALM_S = 120.0, 60.0  # in calm all answers are current: everything must be known at its end
STEP_S = 0.05
MAX_LAG_S = 9.9
ENDPOINT_NAMES, PORTS = "abcdef", range(1, 9)
FIRST_VERSION = 5  # with which the watch of discovery starts
WATCH_TARGET = re.compile(r".*[?&]index=(\d+)&wait=(\d+)(s?)$")

Endpoints = dict[str, ListedEndpoint]


@dataclass(frozen=True)
class Version:
    """The endpoints from a time on."""

    since_s: float
    number: int
    endpoints: Endpoints


@dataclass
class OpenCall:
    """A call that waits for a version above the one that it names, or for the end of its wait."""

    stream: FakeStream
    index: int | None
    until_s: float


class Replicas:
    """A service whose answers come from replicas; it checks what the sender holds open after each step."""

    def __init__(self, source: HttpSource, rng: Random) -> None:
        self.source, self._rng = source, rng
        self.now_s = self._lag_s = 0.0
        self._until_s = 0.0  # of the current replica
        self._versions = [Version(0.0, FIRST_VERSION, {})]
        self._told = self._versions[0]  # the newest version that the sender has received whole
        self._open_calls: list[OpenCall] = []

    async def step(self, in_trouble: bool) -> None:
        """Let the service change, answer calls, and advance the time."""
        if in_trouble:
            self._change_endpoints()
        if self.now_s >= self._until_s or (not in_trouble and self._lag_s):
            self._fail_over(in_trouble)
        self._accept_calls()
        for call in list(self._open_calls):
            self._answer_when_due(call, self._rng.choice((0.0, 0.0, 1.5, 3.0)) if in_trouble else 0.0)
        await self.source.advance(STEP_S)
        self.now_s += STEP_S
        self._check_open_endpoints()

    def _change_endpoints(self) -> None:
        if self._rng.random() > STEP_S / 2.0:
            return
        endpoints, name = dict(self._versions[-1].endpoints), self._rng.choice(ENDPOINT_NAMES)
        if name in endpoints and self._rng.random() < 0.4:
            del endpoints[name]
        else:
            drains = self._rng.random() < 0.3
            endpoints[name] = ListedEndpoint(name, self._rng.choice(PORTS), drains=drains)
        self._versions.append(Version(self.now_s, self._versions[-1].number + 1, endpoints))

    def _fail_over(self, in_trouble: bool) -> None:
        self._lag_s = self._rng.choice((0.0, self._rng.uniform(0.0, MAX_LAG_S))) if in_trouble else 0.0
        self._until_s = self.now_s + self._rng.uniform(3.0, 30.0)
        for call in self._open_calls:
            call.stream.end()
        self._open_calls.clear()

    def _current(self) -> Version:
        """Return the version that the current replica has."""
        return next(v for v in reversed(self._versions) if v.since_s <= max(0.0, self.now_s - self._lag_s))

    def _accept_calls(self) -> None:
        for stream, target in self.source.calls:
            watch = WATCH_TARGET.match(target)
            index = int(watch[1]) if watch is not None else 0
            wait_s = int(watch[2]) / (1 if watch[3] else 1000) if watch is not None else 0.0
            self._open_calls.append(OpenCall(stream, index or None, self.now_s + wait_s))
        self.source.calls.clear()

    def _answer_when_due(self, call: OpenCall, duration_s: float) -> None:
        version = self._current()
        if call.stream.ended:
            self._open_calls.remove(call)
        elif call.index is None or version.number > call.index or self.now_s >= call.until_s:
            self._open_calls.remove(call)
            answer = self._encode(version, call.index)
            middle = len(answer) // 2
            call.stream.feed(answer[:middle])
            after = self.source.desk.exchange.after
            after(
                round(duration_s / 2 * SECOND_US),
                functools.partial(call.stream.feed_unless_ended, answer[middle:-1]),
            )
            after(
                round(duration_s * SECOND_US),
                functools.partial(self._end_answer, call.stream, answer[-1:], version),
            )

    def _end_answer(self, stream: FakeStream, last_byte: bytes, version: Version) -> None:
        if not stream.ended:
            stream.feed(last_byte)
            if version.number > self._told.number:
                self._told = version

    def _encode(self, version: Version, index: int | None) -> bytes:
        whole = self.source.document(tuple(version.endpoints.values()), version.number)
        if index is None or isinstance(self.source, Consul):
            return whole
        if version.number < index:
            return self.source.empty_delta(version.number)
        before = next(v for v in self._versions if v.number == index).endpoints
        document = json.loads(whole.partition(b"\r\n\r\n")[2])
        changed = [h for h in document["hosts"] if before.get(h["host"]) != version.endpoints[h["host"]]]
        gone = [e for name, e in before.items() if name not in version.endpoints]
        for host in json.loads(self.source.document(tuple(gone), 0).partition(b"\r\n\r\n")[2])["hosts"]:
            changed.append(host | {"health": "DELETED"})
        return http_response(json.dumps(document | {"whole": False, "hosts": changed}).encode())

    def _check_open_endpoints(self) -> None:
        """Nothing is open that the newest version has closed, as far as the sender was told of it."""
        ever_listed = {n for v in self._versions if v.number <= self._told.number for n in v.endpoints}
        for name in ever_listed & {n.rpartition("/")[2] for n in self.source.listed()}:
            newest = self._told.endpoints.get(name)
            held = self.source.desk.exchange.endpoint_list.get(self.source.listed_name(name))
            assert newest is not None and not newest.drains, f"{name} is open at {self.now_s:.2f} s"
            assert held is not None and held.port == newest.port, f"{name} has moved at {self.now_s:.2f} s"

    def check_all_known(self) -> None:
        """All endpoints that serve are open."""
        serving = {name for name, e in self._versions[-1].endpoints.items() if not e.drains}
        assert self.source.listed() == self.source.names(serving)


async def play(source: HttpSource, seed: int) -> None:
    replicas = Replicas(source, Random(f"{seed} list replicas"))
    source.start()
    try:
        while replicas.now_s < TROUBLE_S + CALM_S:
            await replicas.step(in_trouble=replicas.now_s < TROUBLE_S)
        replicas.check_all_known()
    finally:
        source.close()


@pytest.mark.parametrize("kind", [Discovery, Consul])
@pytest.mark.parametrize("seed", seeds("LIST_REPLICA_SEEDS", DEFAULT_SEEDS))
def test_lagging_replicas_open_no_closed_endpoint(
    seed: int, kind: type[HttpSource], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    source = kind(tmp_path)
    monkeypatch.setattr(Stream, "connect", source.connect)
    asyncio.run(play(source, seed))
