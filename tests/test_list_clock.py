"""The time by which the sender must know a change that discovery reports, tested in virtual time.

A fake discovery service is at the other end of each connection and writes its answers byte by byte, in the
virtual time of a `Desk`. The watch, the HTTP client and the decision module are those of the sender.
"""

from __future__ import annotations

import asyncio
import functools
import json
import re
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any, Protocol

import pytest

from rowanrack.config import Config, PlatformConfig, platform_config
from rowanrack.fronts.platform import discovery
from rowanrack.fronts.platform.discovery import DiscoveryWatch
from rowanrack.fronts.platform.server_list import STATUSES
from rowanrack.net.http import Reply
from rowanrack.net.ring import RingBuffer
from rowanrack.net.stream import Stream
from rowanspindle import EndpointStatus, Settings, UpdateScope
from rowanspindle.held_messages import NEVER_US
from rowanspindle.list_watch import ListWatch
from rowanspindle.wire import parse_settings
from tests import rig as rig_module
from tests.rig import SETTINGS, Rig, discovery_entry, make_endpoint, on_loop
from tests.rig import silent as silent_endpoint
from tests.test_core import SECOND_US, ExchangeHarness

ANSWER_PIECES = 15  # of an answer that comes slowly
OLD_PORT, NEW_PORT = 1, 2  # ports of discovery, before and after a move


async def advance_time(desk: ExchangeHarness, until: int, on_step: Callable[[], None] = lambda: None) -> None:
    """Advance a desk's virtual time, stepping from one due timer to the next."""
    while True:
        desk.exchange.pump()
        for _ in range(25):
            await asyncio.sleep(0)
        on_step()
        due = desk.exchange._round_due_us  # of the timer wheel or of list changes that wait to be applied
        if due is None or due > until:
            break
        desk.now = max(desk.now, due)
    desk.now = until


class CallReceiver(Protocol):
    """Receives what is sent on a `FakeStream`."""

    def called(self, stream: FakeStream, text: str) -> None:
        """Handle a call that was written completely."""


class FakeStream:
    """The sender's end of a connection, in place of a `Stream`."""

    def __init__(self, receiver: CallReceiver, port: int) -> None:
        self.receiver, self.port, self.receive_buffer = receiver, port, RingBuffer(96 * 1024)
        self.ended = self.unread = False
        self._more = asyncio.Event()

    async def send(self, data: bytes) -> None:
        if self.ended:
            raise ConnectionResetError("closed while writing")
        self.receiver.called(self, data.decode())

    async def fill(self) -> bool:
        while not len(self.receive_buffer) and not self.ended:
            self._more.clear()
            await self._more.wait()
        return len(self.receive_buffer) > 0

    async def wait_for_input(self) -> None:
        await self.fill()

    def feed(self, data: bytes) -> None:
        self.receive_buffer.write(data)
        self._more.set()

    def feed_unless_ended(self, data: bytes) -> None:
        if not self.ended:
            self.feed(data)

    def end(self) -> None:
        self.ended = True
        self._more.set()

    abort = end


# Handles one call, given its index and its wait in milliseconds.
CallHandler = Callable[["FakeDiscovery", FakeStream, int | None, int], None]


class FakeDiscovery:
    """A fake discovery service in virtual time: i0 is listed, and drains from 3 s on."""

    def __init__(
        self, folder: Path, *handlers: CallHandler, change_at_s: float = 3.0, **settings: Any
    ) -> None:
        self.desk = ExchangeHarness(folder, SETTINGS | settings)
        self.exchange, self.began = self.desk.exchange, self.desk.now
        self.handlers, self.seq = list(handlers), 5
        self.hosts = {"i0": (5, discovery_entry("i0", 1))}
        self.calls: list[tuple[float, int, str]] = []  # time, port and target of each call
        self.open_ports: set[int] = {OLD_PORT, NEW_PORT}
        self.known_s: float | None = None
        self.reverted = False  # whether the sender listed i0 as serving again after it knew of the drain
        self.connect_count = 0
        self.answer_duration_s = 0.0  # from the first byte of a list to its last
        self._waiting: list[tuple[FakeStream, int]] = []
        self.outage: Outage | None = None
        self.watch = DiscoveryWatch(self.exchange, "discovery", OLD_PORT, 5)
        self.exchange.request_list = self.watch.start
        self.at(change_at_s, lambda: self.change(discovery_entry("i0", 1, health="DRAINING")))

    @property
    def now_s(self) -> float:
        return (self.desk.now - self.began) / SECOND_US

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        self.exchange.after(round(when_s * SECOND_US), action)

    def change(self, *hosts: dict[str, Any]) -> None:
        self.seq += 1
        self.hosts |= {h["host"]: (self.seq, h) for h in hosts}
        waiting, self._waiting = self._waiting, []
        for stream, index in waiting:
            self.send_list(stream, index)

    def list_body(self, index: int | None) -> bytes:
        """Build the list that a watch call with this index gets."""
        hosts = [h for version, h in self.hosts.values() if index is None or version > index]
        return json.dumps({"seq": self.seq, "whole": index is None, "hosts": hosts}).encode()

    def send_list(self, stream: FakeStream, index: int | None) -> None:
        response = http_response(self.list_body(index))
        pieces = ANSWER_PIECES if self.answer_duration_s else 1
        for piece in range(pieces):
            part = response[len(response) * piece // pieces : len(response) * (piece + 1) // pieces]
            self.at(
                self.answer_duration_s * piece / pieces, functools.partial(stream.feed_unless_ended, part)
            )

    async def connect(self, _host: str, port: int) -> FakeStream:
        self.connect_count += 1
        if self.outage is not None:
            await self.outage.connect(self)
        if port not in self.open_ports:
            raise ConnectionRefusedError("refused")
        return FakeStream(self, port)

    def called(self, stream: FakeStream, text: str) -> None:
        target = text.split(" ")[1]
        self.calls.append((self.now_s, stream.port, target))
        parsed_target = re.match(r"/v1/servers(?:\?index=(\d+)&wait=(\d+))?$", target)
        assert parsed_target, target
        index, wait = int(parsed_target[1]) if parsed_target[1] else None, int(parsed_target[2] or 0)
        if self.outage is not None:
            self.outage.count(self)
            return self.outage.handler(self, stream, index, wait)
        (self.handlers.pop(0) if self.handlers else answer_watch)(self, stream, index, wait)

    def wait(self, stream: FakeStream, index: int, wait_ms: int) -> None:
        self._waiting.append((stream, index))

        def over() -> None:
            if (stream, index) in self._waiting:
                self._waiting.remove((stream, index))
                self.send_list(stream, index)

        self.at(wait_ms / 1000, over)

    async def run(self, until_s: float) -> None:
        """Advance the virtual time up to `until_s` after the start."""
        await advance_time(self.desk, self.began + round(until_s * SECOND_US), self._observe)

    def _observe(self) -> None:
        listed = self.exchange.endpoint_list.accepts_calls("i0")
        if self.known_s is None and not listed:
            self.known_s = self.now_s
        self.reverted |= self.known_s is not None and listed

    @property
    def times(self) -> list[float]:
        return [when for when, _, _ in self.calls]


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


def answer_watch(fake: FakeDiscovery, stream: FakeStream, index: int | None, wait_ms: int) -> None:
    """Answer as the protocol specifies."""
    if index is None or index < fake.seq or not wait_ms:
        fake.send_list(stream, index)
    else:
        fake.wait(stream, index, wait_ms)


def never_answer(*_: object) -> None:
    """Never answer."""


def break_after_change(fake: FakeDiscovery, stream: FakeStream, _index: int | None, _wait: int) -> None:
    """Close the connection at 3.05 s, just after the change, which may have been written to it."""
    fake.at(max(0.0, 3.05 - fake.now_s), stream.end)


def refuse_with_503(fake: FakeDiscovery, stream: FakeStream, _index: int | None, _wait: int) -> None:
    stream.feed(http_response(b"", "503 Service Unavailable"))


def reset_connection(_fake: FakeDiscovery, stream: FakeStream, _index: int | None, _wait: int) -> None:
    """Close the connection during the call."""
    stream.end()


def send_invalid_json(fake: FakeDiscovery, stream: FakeStream, index: int | None, _wait: int) -> None:
    """Answer with invalid JSON."""
    stream.feed(http_response(fake.list_body(index)[3:]))


class Outage:
    """An outage of discovery that ends 1 ms after a given number of failed connections or calls."""

    def __init__(self, handler: CallHandler, failure_count: int, connect_mode: str = "up") -> None:
        self.handler, self.failures_left, self.connect_mode = handler, failure_count, connect_mode
        self.ended_at_s: float | None = None

    async def connect(self, fake: FakeDiscovery) -> None:
        """Handle an attempt to connect."""
        if self.connect_mode != "up":
            self.count(fake)
        if self.connect_mode == "refused":
            raise ConnectionRefusedError("refused")
        if self.connect_mode == "silent":
            await asyncio.Event().wait()

    def count(self, fake: FakeDiscovery) -> None:
        """Count a failed connection or call."""
        self.failures_left -= 1
        if self.failures_left == 0:
            fake.at(0.001, lambda: self.end(fake))

    def end(self, fake: FakeDiscovery) -> None:
        """End the outage."""
        self.ended_at_s, fake.outage = fake.now_s, None


def write_change(encode: Callable[[bytes], bytes], closes: bool = False) -> CallHandler:
    """Make a handler that writes the change at 3 s in the given encoding."""

    def handler(fake: FakeDiscovery, stream: FakeStream, index: int | None, _wait: int) -> None:
        def write() -> None:
            stream.feed(encode(fake.list_body(index)))
            if closes:
                stream.end()

        fake.at(max(0.0, 3.0 - fake.now_s), write)

    return handler


def send_slowly(head: bool) -> CallHandler:
    """Make a handler that from 3 s on writes one byte of an answer every 200 ms, without end."""

    def handler(fake: FakeDiscovery, stream: FakeStream, _index: int | None, _wait: int) -> None:
        started = b"HTTP/1.1 200 OK\r\n" + (b"X: " if head else b"Content-Length: 9999\r\n\r\n")

        def more(data: bytes = b" ") -> None:
            if not stream.ended:
                stream.feed(data)
                fake.at(0.2, more)

        fake.at(max(0.0, 3.0 - fake.now_s), lambda: more(started))

    return handler


def in_virtual_time(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test in its own event loop; it uses virtual time only."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(test(*args, **kwargs))

    return run


@pytest.fixture
def make_discovery(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[..., FakeDiscovery]:
    """Return a factory of fake discovery services; every connection leads to the last one made."""

    def make(*handlers: CallHandler, **settings: Any) -> FakeDiscovery:
        folder = tmp_path / str(len(list(tmp_path.iterdir())))
        folder.mkdir()
        made = FakeDiscovery(folder, *handlers, **settings)
        monkeypatch.setattr(Stream, "connect", made.connect)
        return made

    return make


@dataclass(frozen=True)
class Case:
    """A case: how discovery handles its calls in turn, and by when the sender must know the change."""

    description: str
    handlers: tuple[CallHandler, ...]
    known_by_s: float


def indented(doc: bytes) -> bytes:
    return http_response(json.dumps(json.loads(doc), indent=4).replace("\n", "\r\n\t").encode())


def truncated(doc: bytes) -> bytes:
    return http_response(doc)[:-9]


def chunked(doc: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in (doc[:7], doc[7:], b"")
    )


CASES = [
    Case("a change is known as soon as a watch call is answered", (), 3.01),
    Case("the list is indented", (write_change(indented),), 3.01),
    Case("the list is sent in chunks", (write_change(chunked),), 3.01),
    Case(
        "a change that was written counts as known even if the list is truncated",
        (write_change(truncated, True),),
        3.2,
    ),
    Case("the list is not valid JSON", (write_change(lambda doc: http_response(doc[3:])),), 3.2),
    Case("the answer is not a list document", (write_change(lambda doc: http_response(b"[]")),), 3.2),
    Case("the answer is nested without end", (write_change(lambda doc: http_response(b"[" * 60_000)),), 3.2),
    Case(
        "the answer is longer than its Content-Length",
        (write_change(lambda doc: http_response(doc) + b"x"),),
        3.2,
    ),
    Case("a call within 200 ms continues a broken watch", (break_after_change,), 3.25),
    Case("one watch call gets no answer: 2 s after its wait", (never_answer,), 12.0),
    Case("two watch calls get no answer: 6 s later", (never_answer, never_answer), 18.0),
    Case(
        "three watch calls get no answer: 6 s later again", (never_answer, never_answer, never_answer), 24.0
    ),
    Case("an answer stops half way: 6 s", (write_change(truncated),), 9.0),
    Case("an answer that stalls in its body: 6 s", (send_slowly(False),), 9.0),
    Case("an answer that stalls in its head: 6 s", (send_slowly(True),), 9.0),
    Case(
        "calls are refused with 503: the configured time for requests after discovery is back",
        (refuse_with_503,) * 3,
        10.0,
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.description)
@in_virtual_time
async def test_change_is_known_by_the_required_time(
    make_discovery: Callable[..., FakeDiscovery], case: Case
) -> None:
    fake = make_discovery(*case.handlers)
    await fake.run(30)
    assert fake.known_s is not None and fake.known_s <= case.known_by_s
    assert len(fake.handlers) == 0 and len(fake.calls) <= len(case.handlers) + 6


@pytest.mark.parametrize("duration_s", [1.5, 3.0])
@pytest.mark.parametrize("change_at_s", [3.0, 9.9, 10.1, 10.9, 11.2, 25.0])
@in_virtual_time
async def test_change_is_known_within_6_s_while_each_answer_takes_seconds_to_come_whole(
    make_discovery: Callable[..., FakeDiscovery], change_at_s: float, duration_s: float
) -> None:
    """Guards against answers that were cut off 1 s after their first byte, or 1 s after the wait."""
    fake = make_discovery(change_at_s=change_at_s)
    fake.answer_duration_s = duration_s
    await fake.run(change_at_s + 6.0)
    assert fake.known_s is not None
    assert all(target.endswith("wait=10000") for _, _, target in fake.calls)  # shorter after a failure


@pytest.mark.parametrize("opens_s", [0.0, 2.0, 3.7])
@pytest.mark.parametrize(
    "calls",
    [(answer_watch,), (answer_watch, never_answer), (refuse_with_503, answer_watch), (refuse_with_503,)],
)
@in_virtual_time
async def test_after_a_move_a_change_is_known_within_4_s(
    make_discovery: Callable[..., FakeDiscovery], calls: tuple[CallHandler, ...], opens_s: float
) -> None:
    """The move comes during a watch or during the pause after a failure, to an address that may open late.

    If one call there gets no answer, 6 s are allowed.
    """
    fake = make_discovery(*calls, change_at_s=1.0)
    fake.open_ports = {OLD_PORT}
    await fake.run(0.5)
    fake.watch.move("discovery", NEW_PORT)
    fake.at(opens_s, lambda: fake.open_ports.add(NEW_PORT))
    await fake.run(12)
    known_by_s = max(4.0, opens_s + 6.0 if never_answer in calls else 0.0)
    assert fake.known_s is not None and fake.known_s - 0.5 <= known_by_s
    assert all(port == NEW_PORT for when, port, _ in fake.calls if when > 0.5)


@in_virtual_time
async def test_move_during_an_answer_loses_no_change(make_discovery: Callable[..., FakeDiscovery]) -> None:
    fake = make_discovery(write_change(lambda doc: http_response(doc)[:40]))
    fake.at(3.005, lambda: fake.watch.move("discovery", NEW_PORT))
    await fake.run(5)
    assert fake.known_s is not None and fake.known_s < 3.1
    assert fake.calls[-1][2].startswith("/v1/servers?index=6&")


@in_virtual_time
async def test_discovery_is_retried_with_back_off_during_an_outage(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    """Discovery is tried three times within a quarter of the configured time for requests.

    A failed call makes that time four times as long.
    """
    fake = make_discovery(break_after_change, change_at_s=5.0)
    fake.at(3.0, lambda: fake.open_ports.clear())
    fake.at(11.0, lambda: fake.open_ports.add(OLD_PORT))
    await fake.run(10.9)
    connect_count = fake.connect_count - 1
    assert 4 <= connect_count <= 8  # two in a row, then with back-off
    await fake.run(20)
    assert fake.known_s is not None and fake.known_s <= 11 + 10 / 4 * 1.25


@pytest.mark.parametrize("failure_count", [2, 3, 4, 8, 9])
@pytest.mark.parametrize("within_s", [0.1, 10, 40])
@pytest.mark.parametrize(
    ("handler", "connect_mode", "later_handlers"),
    [
        (never_answer, "refused", (never_answer,)),
        (reset_connection, "up", (never_answer,)),
        (refuse_with_503, "up", (never_answer,)),
        (send_invalid_json, "up", (never_answer,)),
        (never_answer, "silent", ()),
        (never_answer, "up", ()),
        (write_change(truncated), "up", ()),
        (send_slowly(False), "up", ()),
    ],
    ids=[
        "refused",
        "reset",
        "503",
        "invalid JSON",
        "no answer while connecting",
        "no answer to a call",
        "an answer that stops half way",
        "an answer that never ends",
    ],
)
@in_virtual_time
async def test_change_is_known_within_6_s_after_an_outage_of_discovery(
    make_discovery: Callable[..., FakeDiscovery],
    handler: CallHandler,
    connect_mode: str,
    later_handlers: tuple[CallHandler, ...],
    within_s: float,
    failure_count: int,
) -> None:
    """It must hold for any kind and length of failure, also if the first call after it gets no answer."""
    fake = make_discovery(
        *later_handlers, change_at_s=0.0, rules={"ask_within_us": round(within_s * SECOND_US)}
    )
    fake.outage = outage = Outage(handler, failure_count, connect_mode)
    await fake.run(120)
    assert outage.ended_at_s is not None and fake.known_s is not None
    assert fake.known_s <= outage.ended_at_s + 6.0


@in_virtual_time
async def test_full_list_is_requested_when_versions_restart(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    """Guards against a stale entry after discovery has restarted at version 2 without i0.

    The sender took the changes since its own, higher version for all that had changed.
    """
    fake = make_discovery(break_after_change, change_at_s=99)

    def restart_versions() -> None:
        fake.seq, fake.hosts = 2, {"i1": (1, discovery_entry("i1", 1))}

    fake.at(3.0, restart_versions)
    await fake.run(17)
    assert fake.exchange.endpoint_list.names() == {"i1"}
    assert [c[2] for c in fake.calls].count("/v1/servers") == 1 and fake.calls[-1][2].startswith(
        "/v1/servers?index=2&"
    )


@in_virtual_time
async def test_full_list_is_requested_when_restarted_versions_have_caught_up(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    """Guards against an endpoint that stays closed: changes do not tell of it again."""
    fake = make_discovery()

    def restart_versions() -> None:
        fake.seq, fake.hosts = 2, {"i0": (1, discovery_entry("i0", 1))}

    fake.at(4.0, restart_versions)
    await fake.run(16)
    assert fake.watch.seq == 2 and not fake.reverted
    while fake.seq < 7:
        fake.change(discovery_entry("i1", 2))
    await fake.run(16.1)
    assert fake.exchange.endpoint_list.accepts_calls("i0")


def send_old_list(scope: str) -> CallHandler:
    """Make a handler that answers with the list from before the change."""

    def handler(_fake: FakeDiscovery, stream: FakeStream, _index: int | None, _wait: int) -> None:
        whole = scope == "whole"
        stream.feed(
            http_response(
                json.dumps({"seq": 5, "whole": whole, "hosts": [discovery_entry("i0", 1)]}).encode()
            )
        )

    return handler


@pytest.mark.parametrize("scope", ["whole", "changes"])
@in_virtual_time
async def test_stale_answer_does_not_revert_a_drain(
    make_discovery: Callable[..., FakeDiscovery], scope: str
) -> None:
    """Guards against a full list of a lower version that was applied at once: a draining endpoint got calls
    until the next list.
    """
    fake = make_discovery(answer_watch, send_old_list(scope))
    await fake.run(20)
    assert fake.known_s is not None and fake.known_s <= 3.01 and not fake.reverted
    assert [target for _, _, target in fake.calls].count("/v1/servers") == 1
    assert fake.watch.seq == 6


@pytest.mark.parametrize("bad", [{"health": "STARTING"}, {"dial": "x"}, {"share": None}, {"block": {}}])
@in_virtual_time
async def test_invalid_entry_is_left_out(
    make_discovery: Callable[..., FakeDiscovery], bad: dict[str, Any]
) -> None:
    """Guards against one invalid entry that blocked all updates of the list.

    Earlier data of that endpoint are discarded.
    """
    fake = make_discovery(change_at_s=5.0)
    fake.hosts["i1"] = (5, discovery_entry("i1", 2))
    fake.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("i0", 1), make_endpoint("i1", 2)])
    fake.at(3.0, lambda: fake.change(discovery_entry("i1", 2) | bad))
    fake.at(4.0, lambda: fake.change(discovery_entry("i2", 3)))
    await fake.run(4.5)
    assert fake.exchange.endpoint_list.names() == {"i0", "i2"}
    await fake.run(20)
    assert fake.known_s is not None and fake.known_s <= 5.2
    assert fake.connect_count == len(fake.calls) <= 9
    fake.change(discovery_entry("i1", 2))
    await fake.run(21)
    assert fake.exchange.endpoint_list.accepts_calls("i1")


@pytest.mark.parametrize(("later_handlers", "max_s"), [((), 3.05), ((never_answer,), 5.1)])
@in_virtual_time
async def test_entry_corrupted_in_transit_removes_no_endpoint(
    make_discovery: Callable[..., FakeDiscovery], later_handlers: tuple[CallHandler, ...], max_s: float
) -> None:
    fake = make_discovery(
        write_change(lambda doc: http_response(doc.replace(b"DRAINING", b"DRAWNING"))), *later_handlers
    )
    await fake.run(20)
    assert fake.known_s is not None and fake.known_s <= max_s
    assert fake.exchange.endpoint_list.names() == {"i0"}


@in_virtual_time
async def test_early_answers_without_changes_cause_no_busy_loop(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    """Guards against a busy loop when discovery answers without waiting."""
    fake = make_discovery(
        *[lambda fake, stream, index, _wait: fake.send_list(stream, index)] * 400, change_at_s=99
    )
    await fake.run(10)
    gaps = [b - a for a, b in zip(fake.times, fake.times[1:], strict=False)]
    assert min(gaps) >= 0.05 and max(gaps) < 0.2  # often enough to continue the watch


@in_virtual_time
async def test_initial_list_stays_in_force_without_changes(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    fake = make_discovery(never_answer, change_at_s=99)
    assert fake.exchange.endpoint_list.accepts_calls("i0")
    await fake.run(0)
    assert fake.calls == [(0.0, OLD_PORT, "/v1/servers?index=5&wait=10000")]
    await fake.run(30)
    assert fake.exchange.endpoint_list.accepts_calls(
        "i0"
    )  # an unchanged list or no answer removes no endpoint


@in_virtual_time
async def test_list_that_could_not_be_applied_is_requested_again(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    """Guards against recording the version of a list that was not applied, whose changes were then lost."""
    fake = make_discovery()
    update_endpoints, failures = fake.exchange.update_endpoints, list[int]()

    def fails_once(*args: Any) -> None:
        if not failures and args[1]:
            failures.append(1)
            raise ZeroDivisionError
        update_endpoints(*args)

    fake.exchange.update_endpoints = fails_once  # type: ignore[method-assign,assignment]
    await fake.run(6)
    assert failures and fake.known_s is not None and fake.known_s <= 3.2


@in_virtual_time
async def test_in_pushed_mode_the_current_list_is_known_before_calls_are_made(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    """In pushed mode the sender must know the agent's list when the process starts and after each failure."""
    fake = make_discovery(change_at_s=0.0)
    fake.watch = DiscoveryWatch(fake.exchange, "discovery", OLD_PORT, 5, pushed=True)
    fake.change(discovery_entry("i9", 9))
    first = asyncio.ensure_future(fake.watch.wait_for_first_list())
    await fake.run(0.02)
    assert first.done() and "i9" in fake.exchange.endpoint_list.names() and fake.known_s is not None
    for handlers, until_s in (
        ((), 0.02),
        ((never_answer,), discovery.FIRST_LIST_TIMEOUT_US / SECOND_US + 0.02),
    ):
        # An unchanged list or no answer must not block the start.
        unchanged = make_discovery(*handlers, change_at_s=99.0)
        unchanged.watch = DiscoveryWatch(unchanged.exchange, "discovery", OLD_PORT, 5, pushed=True)
        first = asyncio.ensure_future(unchanged.watch.wait_for_first_list())
        await unchanged.run(until_s)
        assert first.done()


@in_virtual_time
async def test_in_pushed_mode_a_first_list_that_has_begun_is_waited_for(
    make_discovery: Callable[..., FakeDiscovery],
) -> None:
    """Guards against calls to endpoints that drain: a list that took over 1 s was not waited for."""
    fake = make_discovery(change_at_s=0.0)
    fake.answer_duration_s = 1.5
    fake.watch = DiscoveryWatch(fake.exchange, "discovery", OLD_PORT, 5, pushed=True)
    first = asyncio.ensure_future(fake.watch.wait_for_first_list())
    await fake.run(1.3)
    assert not first.done()
    await fake.run(1.5)
    assert first.done() and fake.known_s is not None
    slow = make_discovery(change_at_s=0.0)
    slow.answer_duration_s = 20.0
    slow.watch = DiscoveryWatch(slow.exchange, "discovery", OLD_PORT, 5, pushed=True)
    first = asyncio.ensure_future(slow.watch.wait_for_first_list())
    await slow.run(4.1)
    assert first.done()  # it does not hold up the start without end


@on_loop
async def test_in_pushed_mode_a_restart_sends_nothing_to_an_endpoint_that_drained_meanwhile(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Rig(tmp_path, silent_endpoint) as rig:
        await (await rig.client()).submit("m1")
        await rig.servers[0].wait_for_requests(1)
        rig.sender.close()
        doc = {"seq": 2, "whole": False, "hosts": [discovery_entry("i0", 1, health="DRAINING")]}
        rig.platform.broken_replies = [Reply(200, {}, json.dumps(doc).encode())]
        monkeypatch.setattr(rig_module, "PlatformConfig", functools.partial(PlatformConfig, pushed=True))
        await rig.start()
        assert not rig.sender.exchange.endpoint_list.accepts_calls("i0") and not rig.sender.pool.tasks


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_sender_requests_the_list_in_both_modes(tmp_path: Path, mode: str) -> None:
    """Guards against pushed mode without a watch, in which the configured list was never updated."""
    config = config_of(tmp_path, mode, {})
    assert config.settings.on_request and config.platform is not None
    assert config.platform.pushed is (mode == "pushed")
    assert ListWatch(config.settings).next_request_at == 0


@pytest.mark.parametrize(("grace_ms", "max_s"), [(500, 0.25), (250, 0.125), (1, 0.125), (None, 0.125)])
def test_in_pushed_mode_a_failed_watch_is_retried_within_half_of_the_drain_grace(
    tmp_path: Path, grace_ms: int | None, max_s: float
) -> None:
    """Guards against a list that is requested too late when discovery returns.

    The agent's list counts as known at once, but was requested only after up to 1.25 s.
    """
    config = config_of(tmp_path, "pushed", {} if grace_ms is None else {"drain_grace_us": grace_ms * 1000})
    list_watch = ListWatch(config.settings)
    for _ in range(12):
        list_watch.record_failure(0, Random(1))
        assert 0.1 * SECOND_US <= list_watch.next_request_at <= max_s * SECOND_US


def test_null_rules_leave_the_default_drain_grace(tmp_path: Path) -> None:
    default_config = config_of(tmp_path, "pushed", {})
    assert config_of(tmp_path, "pushed", None) == default_config
    assert config_of(tmp_path, "pushed", {"drain_grace_us": None}) == default_config


def config_of(folder: Path, mode: str, rules: dict[str, Any] | None) -> Config:
    """Load the configuration of a platform sender with this membership mode."""
    settings = SETTINGS | {"membership_mode": mode, "rules": rules}
    known = {"seq": 1, "whole": True, "hosts": list[Any]()}
    doc = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "known": known}
    (folder / "c.json").write_text(json.dumps(doc | {"settings": settings}))
    return platform_config({"ROUTER_CONFIG": str(folder / "c.json"), "ROUTER_STATE": str(folder)})


@pytest.mark.parametrize(("within_us", "max_s"), [(1, 0.13), (4 * SECOND_US, 1.25), (40 * SECOND_US, 3.5)])
def test_back_off_after_failures_grows_from_a_minimum_and_is_reset_by_a_list(
    within_us: int, max_s: float
) -> None:
    settings = Settings(
        classes=parse_settings(json.dumps(SETTINGS)).classes,
        slots=1, most_held=1, tenants={}, kinds={}, on_request=True, ask_within_us=within_us,
    )  # fmt: skip
    list_watch, now = ListWatch(settings), 0
    pauses = []
    for _ in range(12):
        list_watch.record_failure(now, Random(1))
        pauses.append(list_watch.next_request_at - now)
        now = list_watch.next_request_at
    assert pauses == sorted(pauses) and pauses[0] >= 0.1 * SECOND_US and pauses[-1] <= max_s * SECOND_US
    list_watch.record_update()
    list_watch.record_failure(now, Random(1))
    assert list_watch.next_request_at - now == pauses[0]
    pushed = ListWatch(replace(settings, on_request=False))
    pushed.record_failure(now, Random(1))
    assert pushed.next_request_at == NEVER_US  # where changes are sent without a request


def test_each_status_of_the_protocol_is_mapped() -> None:
    assert {STATUSES[word] for word in ("SERVING", "DRAINING", "DELETED")} == set(EndpointStatus)
