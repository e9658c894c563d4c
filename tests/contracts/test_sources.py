"""What every source of the name table keeps to: the operator's file, the platform's discovery, Consul.

One suite over all three, in virtual time. Each check is a function of a source; a source that is broken on
purpose stands at the end, and the suite finds it out.
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
from rowanrack.fronts.platform.discovery import LIST_LIMIT, DiscoveryWatch
from rowanrack.net.stream import Stream
from rowanspindle import EndpointStatus, UpdateScope
from tests.rig import instance
from tests.test_core import SECOND_US, ExchangeHarness
from tests.test_list_clock import Wire, framed, pass_time


@dataclass(frozen=True)
class Entry:
    """One endpoint as a source lists it."""

    name: str
    port: int = 1
    dest: int = 7
    drains: bool = False


class Desk2(ExchangeHarness):
    """A desk that notes which idle connections it was told to close."""

    def __init__(self, folder: Path) -> None:
        self.closed: list[str] = []
        super().__init__(folder)
        self.exchange.list_instances(UpdateScope.FULL, ())

    def close_idle(self, name: str) -> None:
        self.closed.append(name)


class Source:
    """A source among a desk's exchange, told what to list; `errs` names the ways in which it can fail."""

    errs: tuple[str, ...] = ()
    drains = counts = True  # whether its lists tell of drains, and have versions

    def __init__(self, folder: Path) -> None:
        self.folder, self.desk = folder, Desk2(folder)

    def name(self, entry: str) -> str:
        return entry

    def start(self) -> None:
        """Begin; within a loop."""

    def close(self) -> None:
        """End."""

    async def says(self, *entries: Entry) -> None:
        """The list as a whole, taken over."""
        raise NotImplementedError

    async def fails(self, how: str) -> None:
        """An attempt that fails in this way."""
        raise NotImplementedError

    async def passes(self, seconds: float) -> None:
        await pass_time(self.desk, self.desk.now + round(seconds * SECOND_US))

    def listed(self) -> set[str]:
        table = self.desk.exchange.table
        return {n for n in table.names() if table.listed(n)}

    def names(self, entries: Iterable[str]) -> set[str]:
        return {self.name(n) for n in entries}


class Asked(Source):
    """One that is asked over HTTP: each call waits until something is said."""

    errs = ("silent", "broken", "refused", "busy", "slow", "cut off", "no HTTP", "no JSON", "no list",
            "a bad type", "overlong", "endless")  # fmt: skip

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.calls: list[tuple[Wire, str]] = []
        self.refuses, self.index = False, 5
        self.hasty: list[int] | None = None  # when calls came that are answered at once, without news

    async def connect(self, _host: str, port: int) -> Wire:
        if self.refuses:
            raise ConnectionRefusedError("refused")
        return Wire(self, port)

    def called(self, wire: Wire, text: str) -> None:
        self.calls.append((wire, text.split(" ")[1]))
        if self.hasty is not None:
            self.hasty.append(self.desk.now)
            if len(self.hasty) < 300:  # in vain in haste, which would never end
                wire.feed(self.document((Entry("a"),), self.index))

    async def call(self) -> tuple[Wire, str]:
        """The call that waits, once there is one."""
        for _ in range(100):
            await self.passes(0.2)
            self.calls = [c for c in self.calls if not c[0].ended]
            if self.calls:
                return self.calls.pop()
        raise AssertionError("it does not ask any more")

    def document(self, entries: tuple[Entry, ...], index: int) -> bytes:
        raise NotImplementedError

    def spoilt(self, how: str) -> bytes:
        raise NotImplementedError

    async def says(self, *entries: Entry) -> None:
        self.index += 1
        (await self.call())[0].feed(self.document(entries, self.index))
        await self.passes(0.01)

    async def fails(self, how: str) -> None:
        wire, _ = await self.call()
        whole = self.document((Entry("x"),), self.index + 1)
        match how:
            case "silent":
                await self.passes(80)
            case "broken":
                wire.end()
            case "refused":
                self.refuses = True
                wire.end()
                await self.passes(20)
                self.refuses = False
            case "busy":
                wire.feed(framed(b"", "503 Service Unavailable"))
            case "slow":
                wire.feed(whole[:-20])
                await self.passes(5)
            case "cut off":
                wire.feed(whole[:-20])
                wire.end()
            case "no HTTP":
                wire.feed(b"\x00\xff noise\r\n\r\n")
            case "no JSON":
                wire.feed(re.sub(rb"\r\n\r\n.", b"\r\n\r\n?", whole))
            case "overlong":
                wire.feed(whole.replace(b"Content-Length: ", b"Content-Length: %d" % LIST_LIMIT))
            case "endless":
                wire.feed(re.sub(rb"Content-Length: \d+", b"Transfer-Encoding: chunked", whole))
                for _ in range(8):
                    await self.passes(0.3)
                    wire.feed(b"4\r\nabcd\r\n")
            case _:
                wire.feed(self.spoilt(how))
        await self.passes(0.01)

    async def restarts(self, *entries: Entry) -> None:
        """It comes back with a lower version and this list."""
        (await self.call())[0].feed(self.document((), 2) if isinstance(self, Consul) else self.delta(2))
        await self.passes(0.15)
        assert self.calls, "what came with it counts as told when it was written"
        wire, target = await self.call()
        assert target == "/v1/servers" or "index=0&" in target
        wire.feed(self.document(entries, 2))
        self.index = 2
        await self.passes(0.01)

    def delta(self, index: int) -> bytes:
        return framed(json.dumps({"seq": index, "whole": False, "hosts": []}).encode())


class Discovery(Asked):
    """The platform's discovery."""

    def start(self) -> None:
        self.watch = DiscoveryWatch(self.desk.exchange, "discovery", 1, 5)
        self.desk.exchange.watch = self.watch.watch

    def close(self) -> None:
        self.watch.close()

    def document(self, entries: tuple[Entry, ...], index: int) -> bytes:
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
        return framed(json.dumps({"seq": index, "whole": True, "hosts": hosts}).encode())

    def spoilt(self, how: str) -> bytes:
        host = {"host": "x", "dial": "127.0.0.1:1", "site": "", "class": "k", "block": 7, "health": "SERVING"}
        hosts: Any = {"no list": None, "a bad type": [host | {"share": float("nan")}]}[how]
        return framed(json.dumps({"seq": self.index + 1, "whole": True, "hosts": hosts}).encode())


class Consul(Asked):
    """Consul, by one service."""

    def name(self, entry: str) -> str:
        return f"n/{entry}"

    def start(self) -> None:
        self.consul = ConsulSource(self.desk.exchange, ("consul", 1), ("labs",), "")
        self.consul.start()

    def close(self) -> None:
        self.consul.close()

    def framed(self, doc: Any, index: int) -> bytes:
        return framed(json.dumps(doc).encode()).replace(b"\r\n", b"\r\nX-Consul-Index: %d\r\n" % index, 1)

    def document(self, entries: tuple[Entry, ...], index: int) -> bytes:
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
        return self.framed(doc, index)

    def spoilt(self, how: str) -> bytes:
        if how == "no list":
            return self.framed({}, self.index + 1)
        return self.framed([], self.index + 1).replace(b"Index: ", b"Index: x")


class File(Source):
    """The operator's file and SIGHUP."""

    errs = ("no TOML", "a bad type", "a key missing", "an unknown key", "a bad address", "gone")
    drains = counts = False
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

    def text(self, entries: tuple[Entry, ...]) -> str:
        return self.FILE.format(state=self.folder) + "".join(
            f'[[instance]]\nname = "{e.name}"\naddress = "127.0.0.1:{e.port}"\nkind = "print-lab"\n'
            f"dest = {e.dest}\nrate = 50\n"
            for e in entries
        )

    async def _loaded(self) -> None:
        cast(Any, self).reload_from(lambda: operator_config(self.path))
        await self.passes(0.01)

    async def says(self, *entries: Entry) -> None:
        self.path.write_text(self.text(entries))
        await self._loaded()

    async def fails(self, how: str) -> None:
        text = self.text((Entry("x"),))
        spoilt = {
            "no TOML": text + "[",
            "a bad type": text.replace("rate = 50", 'rate = "x"'),
            "a key missing": text.replace("dest = 7\n", ""),
            "an unknown key": text + "colour = 1\n",
            "a bad address": text.replace('127.0.0.1:1"\nkind', '127.0.0.1:x"\nkind'),
        }
        if how == "gone":
            self.path.unlink(missing_ok=True)
        else:
            assert spoilt[how] != text
            self.path.write_text(spoilt[how])
        await self._loaded()


LOGS = ("rowanrack.app", "rowanrack.consul", "rowanrack.fronts.platform.discovery")
Check = Callable[[Source], Awaitable[None]]


async def a_whole_list_replaces_its_own_entries_only(source: Source) -> None:
    source.desk.exchange.list_instances(UpdateScope.FULL, [instance("other", 9)], "other")
    await source.says(Entry("a"), Entry("b", 2))
    assert source.listed() == source.names("ab") | {"other"}
    await source.says(Entry("b", 2))
    assert source.listed() == source.names("b") | {"other"}
    source.desk.exchange.list_instances(UpdateScope.FULL, (), "other")
    assert source.listed() == source.names("b")


async def what_is_gone_comes_back(source: Source) -> None:
    for _ in range(2):
        await source.says(Entry("a"))
        endpoint = source.desk.exchange.forwarder.endpoints[source.name("a")]
        assert endpoint.listed and source.listed() == source.names("a")
        await source.says()
        assert not source.desk.exchange.table.names() and not endpoint.listed
        assert source.desk.closed.pop() == source.name("a")


async def what_drains_gets_nothing_new_and_comes_back(source: Source) -> None:
    if not source.drains:
        return
    await source.says(Entry("a"))
    attempt = source.desk.submit("m1", "album-update")
    await source.says(Entry("a", drains=True))
    found = source.desk.exchange.table.get(source.name("a"))
    assert found is not None and found.status is EndpointStatus.DRAINING
    assert not source.desk.exchange.begin(attempt)
    await source.says(Entry("a"))
    assert source.listed() == source.names("a")


async def what_moves_gets_nothing_that_was_meant_for_its_old_place(source: Source) -> None:
    """Another destination's endpoint voids a message, and at an old address somebody else may answer."""
    for n, moved in enumerate((Entry("a", dest=8), Entry("a", port=2))):
        await source.says(Entry("a"))
        attempt = source.desk.submit(f"m{n}", "album-update")
        assert attempt.endpoint.name == source.name("a")
        source.desk.closed.clear()
        await source.says(moved)
        assert not source.desk.exchange.begin(attempt) and source.desk.closed == [source.name("a")]
        found = source.desk.exchange.table.get(source.name("a"))
        assert found is not None and (found.dest, found.port) == (moved.dest, moved.port)


async def the_same_list_changes_nothing(source: Source) -> None:
    await source.says(Entry("a"), Entry("b", 2))
    attempt = source.desk.submit("m1", "album-update")
    before = dict(source.desk.exchange.forwarder.endpoints)
    source.desk.closed.clear()
    await source.says(Entry("b", 2), Entry("a"))
    assert source.desk.exchange.forwarder.endpoints == before and not source.desk.closed
    assert not source.desk.abandoned and source.desk.exchange.begin(attempt)


async def what_fails_leaves_the_old_list_in_force(source: Source) -> None:
    """Whatever comes or does not come, and it goes on with the next good list."""
    await source.says(Entry("a"), Entry("b", 2))
    for how in source.errs:
        for _ in range(2):
            await source.fails(how)
            assert source.listed() == source.names("ab"), how
    await source.says(Entry("c", 3))
    assert source.listed() == source.names("c")


async def after_failures_news_are_known_within_6_s(source: Source) -> None:
    """However long it has failed, and if the first call after that falls silent."""
    if not isinstance(source, Asked):
        return
    for how in ("broken", "refused", "busy", "no JSON", "no list"):
        await source.says(Entry("a"))
        for _ in range(6):
            await source.fails(how)
        back = source.desk.now
        await source.call()
        await source.says(Entry(how))
        assert source.listed() == source.names([how]) and source.desk.now - back <= 6 * SECOND_US, how


async def a_call_that_falls_silent_is_given_up_soon_behind_its_wait(source: Source) -> None:
    if isinstance(source, Asked):
        await source.says(Entry("a"))
        wire, target = await source.call()
        wait_s = float(target.partition("wait=")[2].removesuffix("s")) * (1 if "60s" in target else 0.001)
        await source.passes(wait_s * 17 / 16 + 2)  # Consul's waits last up to a sixteenth longer
        assert wire.ended


async def answers_that_do_not_wait_are_not_followed_in_haste(source: Source) -> None:
    if isinstance(source, Asked):
        await source.says(Entry("a"))
        source.hasty = []
        (await source.call())[0].feed(source.document((Entry("a"),), source.index))
        await source.passes(3)
        assert len(source.hasty) > 4
        assert all(b - a >= 50_000 for a, b in zip(source.hasty, source.hasty[1:], strict=False))


async def lower_versions_are_a_restart(source: Source) -> None:
    """What went while it was away is gone; the next news count from there."""
    if not isinstance(source, Asked):
        return
    await source.says(Entry("a"), Entry("b", 2))
    await source.restarts(Entry("b", 2), Entry("c", 3))
    assert source.listed() == source.names("bc")
    await source.says(Entry("c", 3))
    assert source.index == 3 and source.listed() == source.names("c")


async def of_two_that_name_one_each_may_leave_it_out(source: Source) -> None:
    own, exchange = source.name("a"), source.desk.exchange
    await source.says(Entry("a"))
    exchange.list_instances(UpdateScope.FULL, [instance(own, 9)], "other")
    assert exchange.table.get(own).port == 9  # type: ignore[union-attr]
    exchange.list_instances(UpdateScope.FULL, (), "other")
    assert exchange.table.get(own).port == 1  # type: ignore[union-attr]
    exchange.list_instances(UpdateScope.FULL, [instance(own, 9)], "other")
    await source.says()
    assert exchange.table.get(own).port == 9  # type: ignore[union-attr]
    exchange.ban(own)
    assert exchange.table.names() == {own} and not source.listed()
    exchange.attach(own)
    exchange.list_instances(
        UpdateScope.DELTA, [replace(instance(own, 9), status=EndpointStatus.REMOVED)], "other"
    )
    assert not exchange.table.names()


CHECKS: list[Check] = [
    a_whole_list_replaces_its_own_entries_only,
    what_is_gone_comes_back,
    what_drains_gets_nothing_new_and_comes_back,
    what_moves_gets_nothing_that_was_meant_for_its_old_place,
    the_same_list_changes_nothing,
    what_fails_leaves_the_old_list_in_force,
    after_failures_news_are_known_within_6_s,
    a_call_that_falls_silent_is_given_up_soon_behind_its_wait,
    answers_that_do_not_wait_are_not_followed_in_haste,
    lower_versions_are_a_restart,
    of_two_that_name_one_each_may_leave_it_out,
]


async def checked(source: Source, check: Check) -> None:
    source.start()
    try:
        await check(source)
    finally:
        source.close()


def run(kind: type[Source], check: Check, folder: Path, patch: pytest.MonkeyPatch) -> None:
    source = kind(folder)
    if isinstance(source, Asked):
        patch.setattr(Stream, "connect", source.connect)
    asyncio.run(checked(source, check))


@pytest.mark.parametrize("check", CHECKS, ids=lambda check: check.__name__)
@pytest.mark.parametrize("kind", [File, Discovery, Consul])
def test_every_source_keeps_to_it(
    kind: type[Source],
    check: Check,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    run(kind, check, tmp_path, monkeypatch)
    lines = [r.getMessage() for r in caplog.records if r.name in LOGS]
    assert not any("\n" in line for line in lines) and not any(r.exc_info for r in caplog.records)
    if check is what_fails_leaves_the_old_list_in_force:
        # One line for each reload of a bad file; one in 10 s for what comes again by itself.
        assert len(lines) == (2 * len(File.errs) if kind is File else 1), lines


class Forgets(Discovery):
    """Broken on purpose: it takes a failure for an empty list."""

    def start(self) -> None:
        super().start()
        told = self.desk.exchange.list_instances

        def forgets(scope: UpdateScope, entries: Any, source: str = "") -> None:
            told(UpdateScope.FULL if scope is UpdateScope.FAILED else scope, entries, source)

        self.desk.exchange.list_instances = forgets  # type: ignore[method-assign,assignment]


class Mixes(Consul):
    """Broken on purpose: it lists under another's name."""

    def start(self) -> None:
        super().start()
        told = self.desk.exchange.list_instances
        self.desk.exchange.list_instances = lambda scope, news, source="": told(  # type: ignore[method-assign,assignment]
            scope, news, "other"
        )


@pytest.mark.parametrize(
    ("twin", "caught_by"),
    [
        (Forgets, what_fails_leaves_the_old_list_in_force),
        (Mixes, a_whole_list_replaces_its_own_entries_only),
    ],
)
def test_a_broken_source_is_found_out(
    twin: type[Source], caught_by: Check, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with pytest.raises(AssertionError):
        run(twin, caught_by, tmp_path, monkeypatch)
    assert caught_by in CHECKS
