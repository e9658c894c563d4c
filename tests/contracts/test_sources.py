"""Contract of all sources of the endpoint list: the site file, the platform's discovery, and Consul.

Each check is a function of a source and runs against all three in virtual time. At the end, the checks are
run against sources with deliberate faults and must fail.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, cast

import pytest

from rowanrack.app import Sender
from rowanrack.config import Config, operator_config
from rowanrack.consul import ConsulSource
from rowanrack.core.outdated_lists import MAX_LAG_US
from rowanrack.fronts.platform.discovery import MAX_LIST_BYTES, DiscoveryWatch
from rowanrack.net.stream import Stream
from rowanspindle import EndpointStatus, UpdateScope
from tests.rig import make_endpoint
from tests.test_core import SECOND_US, ExchangeHarness
from tests.test_list_clock import FakeStream, advance_time, http_response

ANSWER_PIECES = 15  # of an answer that comes slowly


@dataclass(frozen=True)
class ListedEndpoint:
    """One endpoint as a source lists it."""

    name: str
    port: int = 1
    dest: int = 7
    drains: bool = False


class RecordingDesk(ExchangeHarness):
    """A desk that records the endpoints whose idle connections it was told to close."""

    def __init__(self, folder: Path) -> None:
        self.closed_idle: list[str] = []
        super().__init__(folder)
        self.exchange.update_endpoints(UpdateScope.FULL, ())

    def close_idle(self, name: str) -> None:
        self.closed_idle.append(name)


class Source:
    """A source that updates the exchange of a desk; `failure_kinds` lists the ways in which it can fail."""

    failure_kinds: tuple[str, ...] = ()
    drains = has_versions = True  # whether its lists contain draining endpoints, and have versions

    def __init__(self, folder: Path) -> None:
        self.folder, self.desk = folder, RecordingDesk(folder)

    def listed_name(self, name: str) -> str:
        """Return the name under which the source lists an endpoint."""
        return name

    def start(self) -> None:
        """Start the source; an event loop must be running."""

    def close(self) -> None:
        """Stop the source."""

    async def provide_list(self, *entries: ListedEndpoint) -> None:
        """Provide a full list and wait until it is applied."""
        raise NotImplementedError

    async def fail(self, failure_kind: str) -> None:
        """Make one update fail in this way."""
        raise NotImplementedError

    async def advance(self, seconds: float) -> None:
        await advance_time(self.desk, self.desk.now + round(seconds * SECOND_US))

    def listed(self) -> set[str]:
        table = self.desk.exchange.endpoint_list
        return {n for n in table.names() if table.accepts_calls(n)}

    def names(self, entries: Iterable[str]) -> set[str]:
        return {self.listed_name(n) for n in entries}


class HttpSource(Source):
    """A source that is requested over HTTP; each call waits until an answer is provided."""

    answers_to_an_outdated_list = 1  # before it is believed
    failure_kinds = ("silent", "broken", "refused", "busy", "slow", "cut off", "no HTTP", "no JSON",
                     "no list", "a bad type", "overlong", "endless")  # fmt: skip

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.calls: list[tuple[FakeStream, str]] = []
        self.refuse_connections, self.index = False, 5
        # Times of the calls that were answered at once without changes; None if calls wait.
        self.early_call_times: list[int] | None = None

    async def connect(self, _host: str, port: int) -> FakeStream:
        if self.refuse_connections:
            raise ConnectionRefusedError("refused")
        return FakeStream(self, port)

    def called(self, stream: FakeStream, text: str) -> None:
        self.calls.append((stream, text.split(" ")[1]))
        if self.early_call_times is not None:
            self.early_call_times.append(self.desk.now)
            if len(self.early_call_times) < 300:  # a limit, since a busy loop would never end
                stream.feed(self.document((ListedEndpoint("a"),), self.index))

    async def next_call(self) -> tuple[FakeStream, str]:
        """Return the waiting call, once there is one."""
        for _ in range(100):
            await self.advance(0.2)
            self.calls = [c for c in self.calls if not c[0].ended]
            if self.calls:
                return self.calls.pop()
        raise AssertionError("the source makes no more calls")

    def document(self, entries: tuple[ListedEndpoint, ...], index: int) -> bytes:
        raise NotImplementedError

    def invalid_answer(self, failure_kind: str) -> bytes:
        raise NotImplementedError

    async def provide_list(self, *entries: ListedEndpoint) -> None:
        self.index += 1
        (await self.next_call())[0].feed(self.document(entries, self.index))
        await self.advance(0.01)

    async def provide_list_slowly(self, duration_s: float, *entries: ListedEndpoint) -> None:
        """Provide a full list whose answer takes this long from its first byte to its last."""
        self.index += 1
        stream, _ = await self.next_call()
        answer = self.document(entries, self.index)
        for piece in range(ANSWER_PIECES):
            stream.feed(
                answer[len(answer) * piece // ANSWER_PIECES : len(answer) * (piece + 1) // ANSWER_PIECES]
            )
            await self.advance(duration_s / ANSWER_PIECES)

    async def fail(self, failure_kind: str) -> None:
        stream, _ = await self.next_call()
        complete_answer = self.document((ListedEndpoint("x"),), self.index + 1)
        match failure_kind:
            case "silent":
                await self.advance(80)
            case "broken":
                stream.end()
            case "refused":
                self.refuse_connections = True
                stream.end()
                await self.advance(20)
                self.refuse_connections = False
            case "busy":
                stream.feed(http_response(b"", "503 Service Unavailable"))
            case "slow":
                stream.feed(complete_answer[:-20])
                await self.advance(5)
            case "cut off":
                stream.feed(complete_answer[:-20])
                stream.end()
            case "no HTTP":
                stream.feed(b"\x00\xff noise\r\n\r\n")
            case "no JSON":
                stream.feed(re.sub(rb"\r\n\r\n.", b"\r\n\r\n?", complete_answer))
            case "overlong":
                stream.feed(
                    complete_answer.replace(b"Content-Length: ", b"Content-Length: %d" % MAX_LIST_BYTES)
                )
            case "endless":
                stream.feed(re.sub(rb"Content-Length: \d+", b"Transfer-Encoding: chunked", complete_answer))
                for _ in range(8):
                    await self.advance(0.3)
                    stream.feed(b"4\r\nabcd\r\n")
            case _:
                stream.feed(self.invalid_answer(failure_kind))
        await self.advance(0.01)

    async def restart(self, *entries: ListedEndpoint) -> None:
        """Restart the service with a lower version and this list."""
        (await self.next_call())[0].feed(
            self.document((), 2) if isinstance(self, Consul) else self.empty_delta(2)
        )
        await self.advance(0.15)
        assert self.calls, "a change counts as known when it was written, so a call must follow at once"
        stream, target = await self.next_call()
        assert target == "/v1/servers" or "index=0&" in target
        stream.feed(self.document(entries, 2))
        self.index = 2
        await self.advance(0.01)

    async def provide_outdated_list(self, *entries: ListedEndpoint, index: int) -> None:
        """Answer from a replica that lags behind, after the connections to the one before have ended."""
        (await self.next_call())[0].end()
        for _ in range(self.answers_to_an_outdated_list):
            (await self.next_call())[0].feed(self.document(entries, index))
            await self.advance(0.01)

    def empty_delta(self, index: int) -> bytes:
        return http_response(json.dumps({"seq": index, "whole": False, "hosts": []}).encode())


class Discovery(HttpSource):
    """The platform's discovery service."""

    answers_to_an_outdated_list = 2

    def start(self) -> None:
        self.watch = DiscoveryWatch(self.desk.exchange, "discovery", 1, 5)
        self.desk.exchange.request_list = self.watch.start

    def close(self) -> None:
        self.watch.close()

    def document(self, entries: tuple[ListedEndpoint, ...], index: int) -> bytes:
        hosts = [
            {
                "host": e.name,
                "dial": f"127.0.0.1:{e.port}",
                "site": "a",
                "class": "print-lab",
                "block": e.dest,
                "health": "DRAINING" if e.drains else "SERVING",
                "share": 50.0,
            }
            for e in entries
        ]
        return http_response(json.dumps({"seq": index, "whole": True, "hosts": hosts}).encode())

    def invalid_answer(self, failure_kind: str) -> bytes:
        host = {"host": "x", "dial": "127.0.0.1:1", "site": "", "class": "k", "block": 7, "health": "SERVING"}
        hosts: Any = {"no list": None, "a bad type": [host | {"share": float("nan")}]}[failure_kind]
        return http_response(json.dumps({"seq": self.index + 1, "whole": True, "hosts": hosts}).encode())


class Consul(HttpSource):
    """Consul with one service."""

    def listed_name(self, name: str) -> str:
        return f"n/{name}"

    def start(self) -> None:
        self.consul = ConsulSource(self.desk.exchange, ("consul", 1), ("labs",), "")
        self.consul.start()

    def close(self) -> None:
        self.consul.close()

    def http_response(self, doc: Any, index: int) -> bytes:
        return http_response(json.dumps(doc).encode()).replace(
            b"\r\n", b"\r\nX-Consul-Index: %d\r\n" % index, 1
        )

    def document(self, entries: tuple[ListedEndpoint, ...], index: int) -> bytes:
        doc = [
            {
                "Node": {"Node": "n", "Address": "127.0.0.1"},
                "Service": {
                    "ID": e.name,
                    "Port": e.port,
                    "Meta": {"dest": str(e.dest), "kind": "print-lab", "rate": "50"},
                },
                "Checks": [{"CheckID": "c", "Status": "critical" if e.drains else "passing"}],
            }
            for e in entries
        ]
        return self.http_response(doc, index)

    def invalid_answer(self, failure_kind: str) -> bytes:
        if failure_kind == "no list":
            return self.http_response({}, self.index + 1)
        return self.http_response([], self.index + 1).replace(b"Index: ", b"Index: x")


class File(Source):
    """The site file, which is reloaded on SIGHUP."""

    failure_kinds = ("no TOML", "a bad type", "a key missing", "an unknown key", "a bad address", "gone")
    drains = has_versions = False
    FILE = """
state = "{state}"
[settings]
kinds = ["print-lab"]
[[settings.grades]]
name = "album-update"
slo_us = 500_000
deadline_us = 20_000_000
worth = 1.0
late_worth = 0.3
effect = "retryable"
[settings.extra]
slots = 8
batch_by_kind = [1]
kind_apart = [false]
[settings.limits]
most_held = 20
try_limit = 6
[otlp]
listen = "127.0.0.1:1"
[otlp.map.class]
default = "album-update"
[otlp.map.destination]
default = "7"
"""

    reload_from, reload = Sender.reload_from, Sender.reload
    watch = notices = otlp = None

    def start(self) -> None:
        self.path = self.folder / "site.toml"
        self.path.write_text(self.text(()))
        self.config: Config = operator_config(self.path)
        self.exchange = self.desk.exchange

    def text(self, entries: tuple[ListedEndpoint, ...]) -> str:
        return self.FILE.format(state=self.folder) + "".join(
            f'[[instance]]\nname = "{e.name}"\naddress = "127.0.0.1:{e.port}"\nkind = "print-lab"\n'
            f"dest = {e.dest}\nrate = 50\n"
            for e in entries
        )

    async def _reload_file(self) -> None:
        cast(Any, self).reload_from(lambda: operator_config(self.path))
        await self.advance(0.01)

    async def provide_list(self, *entries: ListedEndpoint) -> None:
        self.path.write_text(self.text(entries))
        await self._reload_file()

    async def fail(self, failure_kind: str) -> None:
        text = self.text((ListedEndpoint("x"),))
        invalid_files = {
            "no TOML": text + "[",
            "a bad type": text.replace("rate = 50", 'rate = "x"'),
            "a key missing": text.replace("dest = 7\n", ""),
            "an unknown key": text + "colour = 1\n",
            "a bad address": text.replace('127.0.0.1:1"\nkind', '127.0.0.1:x"\nkind'),
        }
        if failure_kind == "gone":
            self.path.unlink(missing_ok=True)
        else:
            assert invalid_files[failure_kind] != text
            self.path.write_text(invalid_files[failure_kind])
        await self._reload_file()


SOURCE_LOGGERS = ("rowanrack.app", "rowanrack.consul", "rowanrack.fronts.platform.discovery")
Check = Callable[[Source], Awaitable[None]]


async def full_list_replaces_only_entries_of_its_source(source: Source) -> None:
    source.desk.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("other", 9)], "other")
    await source.provide_list(ListedEndpoint("a"), ListedEndpoint("b", 2))
    assert source.listed() == source.names("ab") | {"other"}
    await source.provide_list(ListedEndpoint("b", 2))
    assert source.listed() == source.names("b") | {"other"}
    source.desk.exchange.update_endpoints(UpdateScope.FULL, (), "other")
    assert source.listed() == source.names("b")


async def removed_endpoint_can_be_listed_again(source: Source) -> None:
    for _ in range(2):
        await source.provide_list(ListedEndpoint("a"))
        endpoint = source.desk.exchange.forwarder.endpoints[source.listed_name("a")]
        assert endpoint.listed and source.listed() == source.names("a")
        await source.provide_list()
        assert not source.desk.exchange.endpoint_list.names() and not endpoint.listed
        assert source.desk.closed_idle.pop() == source.listed_name("a")


async def draining_endpoint_gets_no_calls_and_can_serve_again(source: Source) -> None:
    if not source.drains:
        return
    await source.provide_list(ListedEndpoint("a"))
    attempt = source.desk.submit("m1", "album-update")
    await source.provide_list(ListedEndpoint("a", drains=True))
    found = source.desk.exchange.endpoint_list.get(source.listed_name("a"))
    assert found is not None and found.status is EndpointStatus.DRAINING
    assert not source.desk.exchange.begin(attempt)
    await source.provide_list(ListedEndpoint("a"))
    assert source.listed() == source.names("a")


async def moved_endpoint_gets_no_calls_meant_for_its_old_address_or_destination(source: Source) -> None:
    """An endpoint of another destination voids a message, and another server may use the old address."""
    for n, moved in enumerate((ListedEndpoint("a", dest=8), ListedEndpoint("a", port=2))):
        await source.provide_list(ListedEndpoint("a"))
        attempt = source.desk.submit(f"m{n}", "album-update")
        assert attempt.endpoint.name == source.listed_name("a")
        source.desk.closed_idle.clear()
        await source.provide_list(moved)
        assert not source.desk.exchange.begin(attempt) and source.desk.closed_idle == [
            source.listed_name("a")
        ]
        found = source.desk.exchange.endpoint_list.get(source.listed_name("a"))
        assert found is not None and (found.dest, found.port) == (moved.dest, moved.port)


async def equal_list_changes_nothing(source: Source) -> None:
    await source.provide_list(ListedEndpoint("a"), ListedEndpoint("b", 2))
    attempt = source.desk.submit("m1", "album-update")
    before = dict(source.desk.exchange.forwarder.endpoints)
    source.desk.closed_idle.clear()
    await source.provide_list(ListedEndpoint("b", 2), ListedEndpoint("a"))
    assert source.desk.exchange.forwarder.endpoints == before and not source.desk.closed_idle
    assert not source.desk.abandoned and source.desk.exchange.begin(attempt)


async def failure_keeps_the_previous_list(source: Source) -> None:
    """It must hold for each kind of failure, and the next valid list must be applied."""
    await source.provide_list(ListedEndpoint("a"), ListedEndpoint("b", 2))
    for failure_kind in source.failure_kinds:
        for _ in range(2):
            await source.fail(failure_kind)
            assert source.listed() == source.names("ab"), failure_kind
    await source.provide_list(ListedEndpoint("c", 3))
    assert source.listed() == source.names("c")


async def after_failures_a_change_is_known_within_6_s(source: Source) -> None:
    """It must hold after repeated failures, and if the first call after them gets no answer."""
    if not isinstance(source, HttpSource):
        return
    for failure_kind in ("broken", "refused", "busy", "no JSON", "no list"):
        await source.provide_list(ListedEndpoint("a"))
        for _ in range(6):
            await source.fail(failure_kind)
        available_at = source.desk.now
        await source.next_call()
        await source.provide_list(ListedEndpoint(failure_kind))
        assert (
            source.listed() == source.names([failure_kind])
            and source.desk.now - available_at <= 6 * SECOND_US
        ), failure_kind


async def answer_that_takes_seconds_to_come_whole_is_applied(source: Source) -> None:
    """Guards against messages to removed endpoints: answers that took over 1 s were always cut off."""
    if not isinstance(source, HttpSource):
        return
    for duration_s in (1.5, 3.0, 4.5):
        await source.provide_list(ListedEndpoint("a"), ListedEndpoint("b", 2))
        await source.provide_list_slowly(duration_s, ListedEndpoint("a"))
        assert source.listed() == source.names("a"), duration_s


async def unanswered_call_is_closed_soon_after_its_wait(source: Source) -> None:
    if isinstance(source, HttpSource):
        await source.provide_list(ListedEndpoint("a"))
        stream, target = await source.next_call()
        wait_s = float(target.partition("wait=")[2].removesuffix("s")) * (1 if "60s" in target else 0.001)
        await source.advance(wait_s * 17 / 16 + 2)  # Consul's waits last up to a sixteenth longer
        assert stream.ended


async def early_answers_cause_no_busy_loop(source: Source) -> None:
    if isinstance(source, HttpSource):
        await source.provide_list(ListedEndpoint("a"))
        source.early_call_times = []
        (await source.next_call())[0].feed(source.document((ListedEndpoint("a"),), source.index))
        await source.advance(3)
        assert len(source.early_call_times) > 4
        assert all(
            b - a >= 50_000
            for a, b in zip(source.early_call_times, source.early_call_times[1:], strict=False)
        )


async def lower_version_is_treated_as_a_restart(source: Source) -> None:
    """Endpoints removed during the restart are gone, and later changes count from the new version."""
    if not isinstance(source, HttpSource):
        return
    await source.provide_list(ListedEndpoint("a"), ListedEndpoint("b", 2))
    await source.restart(ListedEndpoint("b", 2), ListedEndpoint("c", 3))
    assert source.listed() == source.names("bc")
    await source.provide_list(ListedEndpoint("c", 3))
    assert source.index == 3 and source.listed() == source.names("c")


OLDER_LIST = tuple(ListedEndpoint(name, port) for port, name in enumerate("abcd", 1))
NEWER_LIST = ListedEndpoint("a", 1), ListedEndpoint("b", 2, drains=True), ListedEndpoint("c", 9)


async def outdated_list_opens_no_endpoint_that_was_closed(source: Source) -> None:
    """Guards against a replica that lags behind: messages went to a deregistered endpoint's address."""
    if not isinstance(source, HttpSource):
        return
    await source.provide_list(*OLDER_LIST)
    older_index = source.index
    await source.provide_list(*NEWER_LIST)
    assert source.listed() == source.names("ac")
    for _ in range(2):
        await source.provide_outdated_list(*OLDER_LIST, index=older_index)
        assert source.listed() == source.names("a")  # b drains, c has moved, d is gone
    await source.provide_outdated_list(ListedEndpoint("c", 9), index=older_index)
    assert source.listed() == source.names("c")  # closing is obeyed
    await source.provide_list(*OLDER_LIST)
    assert source.listed() == source.names("abcd")


async def versions_that_stay_lower_are_believed(source: Source) -> None:
    """Guards against endpoints that stay closed for ever once the service counts its versions anew."""
    if not isinstance(source, HttpSource):
        return
    source.index = 50
    await source.provide_list(*NEWER_LIST)
    await source.provide_outdated_list(*OLDER_LIST, index=5)
    assert source.listed() == source.names("ad")
    source.index = 5
    for _ in range(10):
        await source.advance(MAX_LAG_US / SECOND_US / 5)
        (await source.next_call())[0].feed(source.document(OLDER_LIST, source.index))
        await source.advance(0.2)
    assert source.listed() == source.names("abcd")


async def endpoint_of_two_sources_stays_until_both_have_removed_it(source: Source) -> None:
    name, exchange = source.listed_name("a"), source.desk.exchange
    await source.provide_list(ListedEndpoint("a"))
    exchange.update_endpoints(UpdateScope.FULL, [make_endpoint(name, 9)], "other")
    assert exchange.endpoint_list.get(name).port == 9  # type: ignore[union-attr]
    exchange.update_endpoints(UpdateScope.FULL, (), "other")
    assert exchange.endpoint_list.get(name).port == 1  # type: ignore[union-attr]
    exchange.update_endpoints(UpdateScope.FULL, [make_endpoint(name, 9)], "other")
    await source.provide_list()
    assert exchange.endpoint_list.get(name).port == 9  # type: ignore[union-attr]
    exchange.ban(name)
    assert exchange.endpoint_list.names() == {name} and not source.listed()
    exchange.attach(name)
    exchange.update_endpoints(
        UpdateScope.DELTA, [replace(make_endpoint(name, 9), status=EndpointStatus.REMOVED)], "other"
    )
    assert not exchange.endpoint_list.names()


CHECKS: list[Check] = [
    full_list_replaces_only_entries_of_its_source,
    removed_endpoint_can_be_listed_again,
    draining_endpoint_gets_no_calls_and_can_serve_again,
    moved_endpoint_gets_no_calls_meant_for_its_old_address_or_destination,
    equal_list_changes_nothing,
    failure_keeps_the_previous_list,
    after_failures_a_change_is_known_within_6_s,
    answer_that_takes_seconds_to_come_whole_is_applied,
    unanswered_call_is_closed_soon_after_its_wait,
    early_answers_cause_no_busy_loop,
    lower_version_is_treated_as_a_restart,
    outdated_list_opens_no_endpoint_that_was_closed,
    versions_that_stay_lower_are_believed,
    endpoint_of_two_sources_stays_until_both_have_removed_it,
]


async def run_check(source: Source, check: Check) -> None:
    source.start()
    try:
        await check(source)
    finally:
        source.close()


def run(kind: type[Source], check: Check, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    source = kind(folder)
    if isinstance(source, HttpSource):
        monkeypatch.setattr(Stream, "connect", source.connect)
    asyncio.run(run_check(source, check))


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
@pytest.mark.parametrize("kind", [File, Discovery, Consul])
def test_every_source_meets_the_contract(
    kind: type[Source],
    check: Check,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    run(kind, check, tmp_path, monkeypatch)
    lines = [r.getMessage() for r in caplog.records if r.name in SOURCE_LOGGERS]
    assert not any("\n" in line for line in lines) and not any(r.exc_info for r in caplog.records)
    if check is failure_keeps_the_previous_list:
        # One log line for each reload of an invalid file, but one in 10 s for failures that are retried.
        assert len(lines) == (2 * len(File.failure_kinds) if kind is File else 1), lines


class ClearsOnFailure(Discovery):
    """Deliberately faulty: it treats a failure as an empty list."""

    def start(self) -> None:
        super().start()
        original = self.desk.exchange.update_endpoints

        def clear_on_failure(scope: UpdateScope, entries: Any, source: str = "") -> None:
            original(UpdateScope.FULL if scope is UpdateScope.FAILED else scope, entries, source)

        self.desk.exchange.update_endpoints = clear_on_failure  # type: ignore[method-assign,assignment]


class UsesWrongSource(Consul):
    """Deliberately faulty: it updates the entries of another source."""

    def start(self) -> None:
        super().start()
        original = self.desk.exchange.update_endpoints
        self.desk.exchange.update_endpoints = lambda scope, entries, source="": original(  # type: ignore[method-assign,assignment]
            scope, entries, "other"
        )


@pytest.mark.parametrize(
    ("faulty_source", "failing_check"),
    [
        (ClearsOnFailure, failure_keeps_the_previous_list),
        (UsesWrongSource, full_list_replaces_only_entries_of_its_source),
    ],
)
def test_faulty_source_fails_the_check(
    faulty_source: type[Source], failing_check: Check, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with pytest.raises(AssertionError):
        run(faulty_source, failing_check, tmp_path, monkeypatch)
    assert failing_check in CHECKS
