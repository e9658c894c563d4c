"""The list's clock: when what discovery tells counts as told, one row for each sentence. No time passes here.

A keeper of the list stands at the other end of each connection, byte by byte, in the time of a desk's wheel;
the watch, the line below it and the module that asks again are the sender's own.
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
from rowanrack.net.http import Reply
from rowanrack.net.ring import RingBuffer
from rowanrack.net.stream import Stream
from rowanspindle import EndpointStatus, Settings, UpdateScope
from rowanspindle.held_messages import NEVER
from rowanspindle.list_watch import ListWatch
from rowanspindle.wire import parse_settings
from tests import rig as shared
from tests.rig import SETTINGS, Rig, entry, instance, on_loop
from tests.rig import silent as silent_endpoint
from tests.test_core import SECOND_US, ExchangeHarness

OLD, NEW = 1, 2  # discovery's ports


async def pass_time(desk: ExchangeHarness, until: int, look: Callable[[], None] = lambda: None) -> None:
    """Let a desk's time pass up to there, from one thing that is due to the next."""
    while True:
        desk.exchange.pump()
        for _ in range(25):
            await asyncio.sleep(0)
        look()
        due = desk.exchange._round_due_us  # of the wheel or of news that wait
        if due is None or due > until:
            break
        desk.now = max(desk.now, due)
    desk.now = until


class Caught(Protocol):
    """Who hears what is sent on a `Wire`."""

    def called(self, wire: Wire, text: str) -> None:
        """A call was written whole."""


class Wire:
    """The sender's end of a connection, as a `Stream`."""

    def __init__(self, keeper: Caught, port: int) -> None:
        self.keeper, self.port, self.inward = keeper, port, RingBuffer(96 * 1024)
        self.ended = self.unread = False
        self._more = asyncio.Event()

    async def send(self, data: bytes) -> None:
        if self.ended:
            raise ConnectionResetError("closed while writing")
        self.keeper.called(self, data.decode())

    async def fill(self) -> bool:
        while not len(self.inward) and not self.ended:
            self._more.clear()
            await self._more.wait()
        return len(self.inward) > 0

    def feed(self, data: bytes) -> None:
        self.inward.write(data)
        self._more.set()

    def end(self) -> None:
        self.ended = True
        self._more.set()

    abort = end


Part = Callable[["Keeper", Wire, int | None, int], None]  # what becomes of one call: its index and its wait


class Keeper:
    """Discovery in a desk's time: i0 is listed, and drains at 3 s."""

    def __init__(self, folder: Path, *plan: Part, news_s: float = 3.0, **given: Any) -> None:
        self.desk = ExchangeHarness(folder, SETTINGS | given)
        self.exchange, self.began = self.desk.exchange, self.desk.now
        self.plan, self.seq = list(plan), 5
        self.hosts = {"i0": (5, entry("i0", 1))}
        self.calls: list[tuple[float, int, str]] = []  # when, at which port, and what was asked
        self.opened: set[int] = {OLD, NEW}
        self.known_s: float | None = None
        self.forgotten = False  # whether what had been known was listed again later
        self.tries = 0
        self._waiting: list[tuple[Wire, int]] = []
        self.outage: Outage | None = None
        self.watch = DiscoveryWatch(self.exchange, "discovery", OLD, 5)
        self.exchange.watch = self.watch.watch
        self.at(news_s, lambda: self.change(entry("i0", 1, health="DRAINING")))

    @property
    def now_s(self) -> float:
        return (self.desk.now - self.began) / SECOND_US

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        self.exchange.after(round(when_s * SECOND_US), action)

    def change(self, *hosts: dict[str, Any]) -> None:
        self.seq += 1
        self.hosts |= {h["host"]: (self.seq, h) for h in hosts}
        waiting, self._waiting = self._waiting, []
        for wire, index in waiting:
            self.tell(wire, index)

    def news(self, index: int | None) -> bytes:
        """The list's document as the watch with that index gets it."""
        hosts = [h for version, h in self.hosts.values() if index is None or version > index]
        return json.dumps({"seq": self.seq, "whole": index is None, "hosts": hosts}).encode()

    def tell(self, wire: Wire, index: int | None) -> None:
        if not wire.ended:
            wire.feed(framed(self.news(index)))

    async def connect(self, _host: str, port: int) -> Wire:
        self.tries += 1
        if self.outage is not None:
            await self.outage.connect(self)
        if port not in self.opened:
            raise ConnectionRefusedError("refused")
        return Wire(self, port)

    def called(self, wire: Wire, text: str) -> None:
        target = text.split(" ")[1]
        self.calls.append((self.now_s, wire.port, target))
        asked = re.match(r"/v1/servers(?:\?index=(\d+)&wait=(\d+))?$", target)
        assert asked, target
        index, wait = int(asked[1]) if asked[1] else None, int(asked[2] or 0)
        if self.outage is not None:
            self.outage.count(self)
            return self.outage.part(self, wire, index, wait)
        (self.plan.pop(0) if self.plan else watches)(self, wire, index, wait)

    def wait(self, wire: Wire, index: int, wait_ms: int) -> None:
        self._waiting.append((wire, index))

        def over() -> None:
            if (wire, index) in self._waiting:
                self._waiting.remove((wire, index))
                self.tell(wire, index)

        self.at(wait_ms / 1000, over)

    async def run(self, until_s: float) -> None:
        """Let time pass up to there."""
        await pass_time(self.desk, self.began + round(until_s * SECOND_US), self._look)

    def _look(self) -> None:
        listed = self.exchange.table.listed("i0")
        if self.known_s is None and not listed:
            self.known_s = self.now_s
        self.forgotten |= self.known_s is not None and listed

    @property
    def times(self) -> list[float]:
        return [when for when, _, _ in self.calls]


def framed(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


def watches(keeper: Keeper, wire: Wire, index: int | None, wait_ms: int) -> None:
    """As the protocol has it."""
    if index is None or index < keeper.seq or not wait_ms:
        keeper.tell(wire, index)
    else:
        keeper.wait(wire, index, wait_ms)


def silent(*_: object) -> None:
    """Nothing ever comes."""


def breaks(keeper: Keeper, wire: Wire, _index: int | None, _wait: int) -> None:
    """The connection ends at 3.05 s: the change was told on it, or in time to be."""
    keeper.at(max(0.0, 3.05 - keeper.now_s), wire.end)


def busy(keeper: Keeper, wire: Wire, _index: int | None, _wait: int) -> None:
    wire.feed(framed(b"", "503 Service Unavailable"))


def resets(_keeper: Keeper, wire: Wire, _index: int | None, _wait: int) -> None:
    """The connection ends under the call."""
    wire.end()


def spoils(keeper: Keeper, wire: Wire, index: int | None, _wait: int) -> None:
    """An answer comes that is no JSON."""
    wire.feed(framed(keeper.news(index)[3:]))


class Outage:
    """Discovery can't be reached, and is back 1 ms after so many connections or calls were tried in vain."""

    def __init__(self, part: Part, tries: int, connects: str = "up") -> None:
        self.part, self.tries_left, self.connects = part, tries, connects
        self.back_s: float | None = None

    async def connect(self, keeper: Keeper) -> None:
        """A connection is tried."""
        if self.connects != "up":
            self.count(keeper)
        if self.connects == "refused":
            raise ConnectionRefusedError("refused")
        if self.connects == "silent":
            await asyncio.Event().wait()

    def count(self, keeper: Keeper) -> None:
        """One more has been tried."""
        self.tries_left -= 1
        if self.tries_left == 0:
            keeper.at(0.001, lambda: self.end(keeper))

    def end(self, keeper: Keeper) -> None:
        """Discovery is back."""
        self.back_s, keeper.outage = keeper.now_s, None


def tells(form: Callable[[bytes], bytes], ends: bool = False) -> Part:
    """The change is written, in some form."""

    def part(keeper: Keeper, wire: Wire, index: int | None, _wait: int) -> None:
        def write() -> None:
            wire.feed(form(keeper.news(index)))
            if ends:
                wire.end()

        keeper.at(max(0.0, 3.0 - keeper.now_s), write)

    return part


def trickles(head: bool) -> Part:
    """From 3 s on a byte of an answer comes each 200 ms, without end."""

    def part(keeper: Keeper, wire: Wire, _index: int | None, _wait: int) -> None:
        begun = b"HTTP/1.1 200 OK\r\n" + (b"X: " if head else b"Content-Length: 9999\r\n\r\n")

        def more(data: bytes = b" ") -> None:
            if not wire.ended:
                wire.feed(data)
                keeper.at(0.2, more)

        keeper.at(max(0.0, 3.0 - keeper.now_s), lambda: more(begun))

    return part


def in_time(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test on a loop of its own: nothing in it waits for real time."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(test(*args, **kwargs))

    return run


@pytest.fixture
def keeper(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[..., Keeper]:
    """What makes a keeper to which every connection leads."""

    def make(*plan: Part, **given: Any) -> Keeper:
        folder = tmp_path / str(len(list(tmp_path.iterdir())))
        folder.mkdir()
        made = Keeper(folder, *plan, **given)
        monkeypatch.setattr(Stream, "connect", made.connect)
        return made

    return make


@dataclass(frozen=True)
class Row:
    """One sentence: what discovery does to the calls in turn, and when the change counts as told."""

    says: str
    plan: tuple[Part, ...]
    told_s: float


def indented(doc: bytes) -> bytes:
    return framed(json.dumps(json.loads(doc), indent=4).replace("\n", "\r\n\t").encode())


def cut(doc: bytes) -> bytes:
    return framed(doc)[:-9]


def chunked(doc: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (doc[:7], doc[7:], b"")
    )


ROWS = [
    Row("what comes on a watch counts when it is written", (), 3.01),
    Row("lists may come indented", (tells(indented),), 3.01),
    Row("or in chunks", (tells(chunked),), 3.01),
    Row("what is written counts, whatever became of it: the list is cut off", (tells(cut, True),), 3.2),
    Row("it is spoilt", (tells(lambda doc: framed(doc[3:])),), 3.2),
    Row("it is no list", (tells(lambda doc: framed(b"[]")),), 3.2),
    Row("it is endless", (tells(lambda doc: framed(b"[" * 60_000)),), 3.2),
    Row("it is longer than it says", (tells(lambda doc: framed(doc) + b"x"),), 3.2),
    Row("a watch goes on if the next call comes within 200 ms", (breaks,), 3.25),
    Row("a silent watch: 2 s after the wait", (silent,), 12.0),
    Row("so again: the new one is silent too, for 6 s", (silent, silent), 18.0),
    Row("and a third", (silent, silent, silent), 24.0),
    Row("a watch that falls silent within its answer's body: 6 s", (trickles(False),), 9.0),
    Row("within its head", (trickles(True),), 9.0),
    Row("a call that failed: the settings' time for asking, once discovery is back", (busy,) * 3, 10.0),
]


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.says)
@in_time
async def test_a_change_is_known_before_it_counts_as_told(keeper: Callable[..., Keeper], row: Row) -> None:
    kept = keeper(*row.plan)
    await kept.run(30)
    assert kept.known_s is not None and kept.known_s <= row.told_s
    assert len(kept.plan) == 0 and len(kept.calls) <= len(row.plan) + 6


@pytest.mark.parametrize("opens_s", [0.0, 2.0, 3.7])
@pytest.mark.parametrize("calls", [(watches,), (watches, silent), (busy, watches), (busy,)])
@in_time
async def test_after_a_move_news_are_known_within_4_s(
    keeper: Callable[..., Keeper], calls: tuple[Part, ...], opens_s: float
) -> None:
    """From a watch or from a pause after a failure, to one that opens late; 6 s if it is silent once."""
    kept = keeper(*calls, news_s=1.0)
    kept.opened = {OLD}
    await kept.run(0.5)
    kept.watch.move("discovery", NEW)
    kept.at(opens_s, lambda: kept.opened.add(NEW))
    await kept.run(12)
    told_s = max(4.0, opens_s + 6.0 if silent in calls else 0.0)
    assert kept.known_s is not None and kept.known_s - 0.5 <= told_s
    assert all(port == NEW for when, port, _ in kept.calls if when > 0.5)


@in_time
async def test_a_move_under_an_answer_loses_nothing(keeper: Callable[..., Keeper]) -> None:
    kept = keeper(tells(lambda doc: framed(doc)[:40]))
    kept.at(3.005, lambda: kept.watch.move("discovery", NEW))
    await kept.run(5)
    assert kept.known_s is not None and kept.known_s < 3.1
    assert kept.calls[-1][2].startswith("/v1/servers?index=6&")


@in_time
async def test_while_discovery_is_down_it_is_asked_again_and_again(keeper: Callable[..., Keeper]) -> None:
    """Three times within a quarter of the time for asking, which a failed call makes four times as long."""
    kept = keeper(breaks, news_s=5.0)
    kept.at(3.0, lambda: kept.opened.clear())
    kept.at(11.0, lambda: kept.opened.add(OLD))
    await kept.run(10.9)
    tries = kept.tries - 1
    assert 4 <= tries <= 8  # two in a row, then later and later
    await kept.run(20)
    assert kept.known_s is not None and kept.known_s <= 11 + 10 / 4 * 1.25


@pytest.mark.parametrize("tries", [2, 3, 4, 8, 9])
@pytest.mark.parametrize("within_s", [0.1, 10, 40])
@pytest.mark.parametrize(
    ("part", "connects", "then"),
    [
        (silent, "refused", (silent,)),
        (resets, "up", (silent,)),
        (busy, "up", (silent,)),
        (spoils, "up", (silent,)),
        (silent, "silent", ()),
        (silent, "up", ()),
    ],
    ids=["refused", "reset", "503", "spoilt", "silent while connecting", "silent in the call"],
)
@in_time
async def test_a_change_is_known_within_6_s_of_when_discovery_can_be_reached(
    keeper: Callable[..., Keeper],
    part: Part,
    connects: str,
    then: tuple[Part, ...],
    within_s: float,
    tries: int,
) -> None:
    """Whatever failed before, and however long; also if the first call behind a failed one falls silent."""
    kept = keeper(*then, news_s=0.0, rules={"ask_within_us": round(within_s * SECOND_US)})
    kept.outage = outage = Outage(part, tries, connects)
    await kept.run(120)
    assert outage.back_s is not None and kept.known_s is not None
    assert kept.known_s <= outage.back_s + 6.0


@in_time
async def test_a_whole_list_follows_when_versions_begin_anew(keeper: Callable[..., Keeper]) -> None:
    """Discovery came back at version 2 without i0: its changes by the old count were taken for all."""
    kept = keeper(breaks, news_s=99)

    def anew() -> None:
        kept.seq, kept.hosts = 2, {"i1": (1, entry("i1", 1))}

    kept.at(3.0, anew)
    await kept.run(17)
    assert kept.exchange.table.names() == {"i1"}
    assert [c[2] for c in kept.calls].count("/v1/servers") == 1 and kept.calls[-1][2].startswith(
        "/v1/servers?index=2&"
    )


def stale(scope: str) -> Part:
    """An answer from before the change, which comes after it."""

    def part(_keeper: Keeper, wire: Wire, _index: int | None, _wait: int) -> None:
        whole = scope == "whole"
        wire.feed(framed(json.dumps({"seq": 5, "whole": whole, "hosts": [entry("i0", 1)]}).encode()))

    return part


@pytest.mark.parametrize("scope", ["whole", "changes"])
@in_time
async def test_a_stale_answer_does_not_bring_back_what_drained(
    keeper: Callable[..., Keeper], scope: str
) -> None:
    """A whole list with a lower version was believed at once: what drained got calls until the next one."""
    kept = keeper(watches, stale(scope))
    await kept.run(20)
    assert kept.known_s is not None and kept.known_s <= 3.01 and not kept.forgotten
    assert [target for _, _, target in kept.calls].count("/v1/servers") == 1
    assert kept.watch.seq == 6


@pytest.mark.parametrize("bad", [{"health": "STARTING"}, {"dial": "x"}, {"share": None}, {"block": {}}])
@in_time
async def test_an_entry_that_cannot_be_read_is_left_out(
    keeper: Callable[..., Keeper], bad: dict[str, Any]
) -> None:
    """It froze the whole list for as long as it stood there. What was known of it counts no more."""
    kept = keeper(news_s=5.0)
    kept.hosts["i1"] = (5, entry("i1", 2))
    kept.exchange.list_instances(UpdateScope.FULL, [instance("i0", 1), instance("i1", 2)])
    kept.at(3.0, lambda: kept.change(entry("i1", 2) | bad))
    kept.at(4.0, lambda: kept.change(entry("i2", 3)))
    await kept.run(4.5)
    assert kept.exchange.table.names() == {"i0", "i2"}
    await kept.run(20)
    assert kept.known_s is not None and kept.known_s <= 5.2
    assert kept.tries == 1 and len(kept.calls) <= 9
    kept.change(entry("i1", 2))
    await kept.run(21)
    assert kept.exchange.table.listed("i1")


@pytest.mark.parametrize(("then", "most_s"), [((), 3.05), ((silent,), 5.1)])
@in_time
async def test_an_entry_that_is_spoilt_on_the_way_takes_nothing_away(
    keeper: Callable[..., Keeper], then: tuple[Part, ...], most_s: float
) -> None:
    kept = keeper(tells(lambda doc: framed(doc.replace(b"DRAINING", b"DRAWNING"))), *then)
    await kept.run(20)
    assert kept.known_s is not None and kept.known_s <= most_s
    assert kept.exchange.table.names() == {"i0"}


@in_time
async def test_an_answer_without_news_ahead_of_its_time_does_not_spin(keeper: Callable[..., Keeper]) -> None:
    """Discovery that heeds no wait was asked as fast as it answered."""
    kept = keeper(*[lambda k, w, i, wait: k.tell(w, i)] * 400, news_s=99)
    await kept.run(10)
    gaps = [b - a for a, b in zip(kept.times, kept.times[1:], strict=False)]
    assert min(gaps) >= 0.05 and max(gaps) < 0.2  # and yet the watch goes on


@in_time
async def test_the_list_of_the_start_holds_until_it_is_asked(keeper: Callable[..., Keeper]) -> None:
    kept = keeper(silent, news_s=99)
    assert kept.exchange.table.listed("i0")
    await kept.run(0)
    assert kept.calls == [(0.0, OLD, "/v1/servers?index=5&wait=10000")]
    await kept.run(30)
    assert kept.exchange.table.listed("i0")  # an unchanged list, and silence, take nothing away


@in_time
async def test_what_could_not_be_taken_over_is_asked_for_again(keeper: Callable[..., Keeper]) -> None:
    """The version went on although a defect had kept the news out: they were lost for good."""
    kept = keeper()
    take, failed = kept.exchange.list_instances, list[int]()

    def fails_once(*args: Any) -> None:
        if not failed and args[1]:
            failed.append(1)
            raise ZeroDivisionError
        take(*args)

    kept.exchange.list_instances = fails_once  # type: ignore[method-assign,assignment]
    await kept.run(6)
    assert failed and kept.known_s is not None and kept.known_s <= 3.2


@in_time
async def test_where_lists_are_pushed_the_news_are_there_before_anything_is_sent(
    keeper: Callable[..., Keeper],
) -> None:
    """What the agent has counts as told from the first moment of a process, and as soon after a break."""
    kept = keeper(news_s=0.0)
    kept.watch = DiscoveryWatch(kept.exchange, "discovery", OLD, 5, pushed=True)
    kept.change(entry("i9", 9))
    first = asyncio.ensure_future(kept.watch.first())
    await kept.run(0.02)
    assert first.done() and "i9" in kept.exchange.table.names() and kept.known_s is not None
    for plan, until_s in (((), 0.02), ((silent,), discovery.FIRST_US / SECOND_US + 0.02)):
        none = keeper(*plan, news_s=99.0)  # nothing new, or discovery that is not there, holds nothing up
        none.watch = DiscoveryWatch(none.exchange, "discovery", OLD, 5, pushed=True)
        first = asyncio.ensure_future(none.watch.first())
        await none.run(until_s)
        assert first.done()


@on_loop
async def test_a_restart_where_lists_are_pushed_sends_nothing_to_what_drained_meanwhile(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Rig(tmp_path, silent_endpoint) as rig:
        await (await rig.client()).submit("m1")
        await rig.servers[0].asked(1)
        rig.sender.close()
        doc = {"seq": 2, "whole": False, "hosts": [entry("i0", 1, health="DRAINING")]}
        rig.platform.broken = [Reply(200, {}, json.dumps(doc).encode())]
        monkeypatch.setattr(shared, "PlatformConfig", functools.partial(PlatformConfig, pushed=True))
        await rig.start()
        assert not rig.sender.exchange.table.listed("i0") and not rig.sender.pool.tasks


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_sender_on_sockets_asks_in_either_mode(tmp_path: Path, mode: str) -> None:
    """Where lists are pushed no watch was ever opened: the list of the configuration stayed for good."""
    config = config_of(tmp_path, mode, {})
    assert config.settings.on_request and config.platform is not None
    assert config.platform.pushed is (mode == "pushed")
    assert ListWatch(config.settings).next_request_at == 0


@pytest.mark.parametrize(("grace_ms", "most_s"), [(500, 0.25), (250, 0.125), (1, 0.125), (None, 0.125)])
def test_where_lists_are_pushed_a_failed_watch_is_asked_for_within_half_of_the_drain_grace(
    tmp_path: Path, grace_ms: int | None, most_s: float
) -> None:
    """What the agent gets when discovery returns counts at once: it was asked again after up to 1.25 s."""
    config = config_of(tmp_path, "pushed", {} if grace_ms is None else {"drain_grace_us": grace_ms * 1000})
    asking = ListWatch(config.settings)
    for _ in range(12):
        asking.failed(0, Random(1))
        assert 0.1 * SECOND_US <= asking.next_request_at <= most_s * SECOND_US


def test_rules_that_are_null_leave_the_usual_drain_grace(tmp_path: Path) -> None:
    usual = config_of(tmp_path, "pushed", {})
    assert config_of(tmp_path, "pushed", None) == usual
    assert config_of(tmp_path, "pushed", {"drain_grace_us": None}) == usual


def config_of(folder: Path, mode: str, rules: dict[str, Any] | None) -> Config:
    """The configuration of a sender on the platform where lists come in this mode."""
    settings = SETTINGS | {"membership_mode": mode, "rules": rules}
    known = {"seq": 1, "whole": True, "hosts": list[Any]()}
    doc = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "known": known}
    (folder / "c.json").write_text(json.dumps(doc | {"settings": settings}))
    return platform_config({"ROUTER_CONFIG": str(folder / "c.json"), "ROUTER_STATE": str(folder)})


@pytest.mark.parametrize(("within_us", "most_s"), [(1, 0.13), (4 * SECOND_US, 1.25), (40 * SECOND_US, 3.5)])
def test_the_pause_after_a_failure_grows_and_is_never_none(within_us: int, most_s: float) -> None:
    settings = Settings(
        classes=parse_settings(json.dumps(SETTINGS)).classes,
        slots=1, most_held=1, tenants={}, kinds={}, on_request=True, ask_within_us=within_us,
    )  # fmt: skip
    asking, now = ListWatch(settings), 0
    pauses = []
    for _ in range(12):
        asking.failed(now, Random(1))
        pauses.append(asking.next_request_at - now)
        now = asking.next_request_at
    assert pauses == sorted(pauses) and pauses[0] >= 0.1 * SECOND_US and pauses[-1] <= most_s * SECOND_US
    asking.listed()
    asking.failed(now, Random(1))
    assert asking.next_request_at - now == pauses[0]
    pushed = ListWatch(replace(settings, on_request=False))
    pushed.failed(now, Random(1))
    assert pushed.next_request_at == NEVER  # on the wire, where changes come unasked


def test_statuses_are_those_of_the_protocol() -> None:
    assert {discovery.STATUSES[word] for word in ("SERVING", "DRAINING", "DELETED")} == set(EndpointStatus)
