"""What the socket tests share: stand-ins for instances, discovery and clients, and a sender among them."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import socket
import sys
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

from rowanrack.app import Sender
from rowanrack.config import Config, OtlpConfig, PlatformConfig
from rowanrack.core.messages import Attempt, CallVerdict, End, Endpoint, Message
from rowanrack.fronts.otlp.mapping import RequestMap, Source
from rowanrack.lab.stand_in import Behaviour, Client, HttpServer
from rowanrack.lab.stand_in import resp as resp
from rowanrack.net.fair_scheduling import FairLoop
from rowanrack.net.http import Call, HttpCaller, Reply, Request
from rowanrack.net.stream import Stream
from rowanrack.net.timing import after as after  # for the tests
from rowanspindle import EndpointStatus, Result, Settings, UpdateScope
from rowanspindle.wire import parse_settings

SETTINGS: dict[str, Any] = {
    "grades": [
        {
            "name": "album-update",
            "slo_us": 500_000,
            "deadline_us": 20_000_000,
            "worth": 1.0,
            "late_worth": 0.3,
            "effect": "retryable",
        },
        {
            "name": "print-order",
            "slo_us": 500_000,
            "deadline_us": 20_000_000,
            "worth": 1.0,
            "late_worth": 0.5,
            "effect": "fragile",
        },
        {
            "name": "entry-fee",
            "slo_us": 500_000,
            "deadline_us": 20_000_000,
            "worth": 1.0,
            "late_worth": 0.3,
            "effect": "dedup",
            "key_ttl_us": 4_000_000,
        },
    ],
    "kinds": ["print-lab"],
    "extra": {"slots": 8, "batch_by_kind": [1], "kind_apart": [False]},
    "limits": {"most_held": 20, "try_limit": 6, "connect_timeout_us": 300_000, "keepalive_us": 10_000_000},
    "weight_kind": "nominal",
    "membership_mode": "on_request",
    "resolution_us": 5000,
}


def on_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test on a loop of its own, with an end in any case."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        with asyncio.Runner(loop_factory=FairLoop) as runner:
            runner.run(asyncio.wait_for(test(*args, **kwargs), 30))

    return run


def answers(*replies: Reply | None) -> Behaviour:
    """Answer calls with these in turn, the last for ever; None breaks the connection."""
    left = list(replies)

    async def behave(_request: Request) -> Reply | None:
        return left.pop(0) if len(left) > 1 else left[0]

    return behave


async def silent(_request: Request) -> Reply | None:
    """Never answer."""
    await asyncio.Event().wait()
    return None


class HttpStandIn(HttpServer):
    """A server that keeps what it is asked, and answers as it is told."""

    def __init__(self, behave: Behaviour = answers(Reply(200, {}))) -> None:  # noqa: B008
        super().__init__()
        self.behave, self.requests, self.times = behave, list[Request](), list[float]()
        self.closed, self.news = asyncio.Event(), asyncio.Condition()

    async def __aenter__(self) -> HttpStandIn:
        await self.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    def broke_off(self) -> None:
        """A connection has been broken from here."""
        self.closed.set()

    async def answer(self, request: Request, peer: str) -> Reply | None:
        """Keep the request, and answer."""
        async with self.news:
            self.requests.append(request)
            self.times.append(asyncio.get_running_loop().time())
            self.news.notify_all()
        return await self.behave(request)

    async def asked(self, count: int) -> list[Request]:
        """The requests, once there are so many."""
        async with self.news:
            await self.news.wait_for(lambda: len(self.requests) >= count)
        return self.requests


class Platform(HttpStandIn):
    """Discovery: its list, a watch that answers on changes, and the notices that it is told."""

    def __init__(self) -> None:
        super().__init__(self._behave)
        self.hosts: list[dict[str, object]] = []
        self.seq, self.changed, self.notice_status = 1, asyncio.Event(), [204]
        self.broken: list[Reply | None] = []  # what the next watches get instead
        self.notices: dict[str, dict[str, Any]] = {}
        self.told = asyncio.Condition()

    def change(self, *hosts: dict[str, object]) -> None:
        """Tell those who watch."""
        self.hosts, self.seq = list(hosts), self.seq + 1
        self.changed.set()

    async def _behave(self, request: Request) -> Reply | None:
        if request.target == "/v1/outcomes":
            status = self.notice_status.pop(0) if len(self.notice_status) > 1 else self.notice_status[0]
            async with self.told:
                for line in request.body.splitlines() if status == 204 else ():
                    self.notices[json.loads(line)["message"]] = json.loads(line)
                self.told.notify_all()
            return Reply(status, {})
        if self.broken:
            return self.broken.pop(0)
        await self.changed.wait()
        self.changed.clear()
        doc = {"seq": self.seq, "whole": False, "hosts": self.hosts}
        return Reply(200, {}, json.dumps(doc).encode())

    async def notice(self, message_id: str) -> dict[str, Any]:
        """The notice of a message, once it has come."""
        async with self.told:
            await self.told.wait_for(lambda: message_id in self.notices)
        return self.notices[message_id]


def entry(name: str, port: int, dest: int = 7, health: str = "SERVING") -> dict[str, object]:
    """An instance in discovery's form."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": "a",
        "class": "print-lab",
        "block": dest,
        "health": health,
        "share": 50.0,
        "born_ms": 0,
    }


def instance(name: str, port: int, dest: int = 7) -> Endpoint:
    """An instance as the core has it."""
    return Endpoint(name, "127.0.0.1", port, "a", "print-lab", dest, EndpointStatus.LISTED, 50.0)


MAPPING = RequestMap(
    Source(header="x-class", default="print-order"),
    Source(attribute="service.namespace"),
    Source(attribute="dest", default="7"),
    Source(header="x-id"),
    Source(header="x-left-ms"),
)


class Rig(AsyncExitStack):
    """A sender with both fronts among stand-ins, whose folder outlasts it."""

    def __init__(
        self, state: Path, *behaviours: Behaviour, given: dict[str, Any] | None = None, **limits: int
    ) -> None:
        super().__init__()
        self.state, self.platform = state, Platform()
        self.servers = [HttpStandIn(b) for b in behaviours]
        doc = SETTINGS | (given or {}) | {"limits": SETTINGS["limits"] | limits}
        self.settings: Settings = parse_settings(json.dumps(doc))
        self.changes: dict[str, Any] = {}  # to the configuration, from the next start on
        self.known: tuple[Endpoint, ...] = ()
        self.results, self.ends = list[Result](), list[tuple[str, End]]()
        self._news = asyncio.Event()

    async def __aenter__(self) -> Rig:
        await super().__aenter__()
        for server in (self.platform, *self.servers):
            await self.enter_async_context(server)
        self.known = tuple(instance(f"i{n}", s.port) for n, s in enumerate(self.servers))
        await self.start()
        self.callback(lambda: self.sender.close())
        return self

    async def start(self) -> None:
        """Start a sender on the folder, after `sender.close()` as after SIGKILL."""
        self.sender = Sender(self.config())
        await self.sender.start()
        self._listen_in()

    def config(self, pushed: bool = False) -> Config:
        """The configuration of a sender among the stand-ins."""
        host = "127.0.0.1"
        discovery = (host, self.platform.port)
        platform = PlatformConfig((host, 0), discovery, self.platform.seq, self.known)
        config = Config("n0", self.settings, 5000, 1, self.state, 3_000_000, 512)
        config = replace(
            config,
            platform=replace(platform, pushed=pushed or platform.pushed),
            otlp=OtlpConfig((host, 0), 256 * 1024, MAPPING),
            mgmt=(host, 0),
        )
        return replace(config, **self.changes)

    def _listen_in(self) -> None:
        exchange, settle = self.sender.exchange, self.sender.exchange.settle

        def settle_and_tell(attempt: Attempt, verdict: CallVerdict | Result) -> None:
            settle(attempt, verdict)
            self._tell(self.results, verdict if isinstance(verdict, Result) else verdict.result)

        def listen_and_tell(listener: Callable[[Message, End], None], message: Message, end: End) -> None:
            listener(message, end)
            self._tell(self.ends, (message.id, end))

        exchange.settle = settle_and_tell  # type: ignore[method-assign]
        for front, listener in exchange.listeners.items():
            exchange.listeners[front] = functools.partial(listen_and_tell, listener)

    def once_listed(self, *dests: int) -> None:
        """Destinations that are known, and whose instances have all gone."""
        for status in (EndpointStatus.LISTED, EndpointStatus.REMOVED):
            news = [replace(instance(f"gone{dest}", 1, dest), status=status) for dest in dests]
            self.sender.exchange.list_instances(UpdateScope.DELTA, news)

    def _tell(self, told: list[Any], news: Any) -> None:
        told.append(news)
        self._news.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until what the sender's attempts and ends have told makes this true."""
        while not condition():
            self._news.clear()
            await self._news.wait()

    async def ended(self, message_id: str) -> End:
        """The end of a message, once it has one."""
        await self.until(lambda: message_id in dict(self.ends))
        return dict(self.ends)[message_id]

    async def client(self) -> Client:
        """A new connection to the platform's front."""
        return Client(await self.connect(0))

    async def export(self, body: bytes, path: str = "/v1/logs", **headers: str) -> Reply:
        """One export request on a connection of its own."""
        stream = await self.connect(1)
        kind = {"content_type": "application/x-protobuf"} | headers
        named = tuple((name.replace("_", "-"), value) for name, value in kind.items())
        return await HttpCaller(stream, "otlp", 1 << 20, after).call(Call("POST", path, named, body))

    async def connect(self, front: int) -> Stream:
        """A new connection to the platform's front (0) or to OTLP's (1)."""
        stream = await Stream.connect("127.0.0.1", self.sender.fronts[front][0].port)
        self.callback(stream.abort)
        return stream


class Process(AsyncExitStack):
    """A sender as a process of its own, with a rig's instances and a folder beside its configuration."""

    def __init__(self, rig: Rig, folder: Path) -> None:
        super().__init__()
        self.rig, self.folder, self.platform = rig, folder / "process", Platform()
        self.config = self.folder / "config.json"

    async def __aenter__(self) -> Process:
        await super().__aenter__()
        await self.enter_async_context(self.platform)
        self.folder.mkdir()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        self.configure(self.platform)
        self.push_async_callback(self._end)
        await self.start()
        return self

    def configure(self, platform: Platform) -> None:
        """Write its configuration, which names this platform's address."""
        hosts = [entry(f"i{n}", s.port) for n, s in enumerate(self.rig.servers)]
        doc = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{platform.port}",
            "settings": SETTINGS,
            "known": {"seq": 1, "whole": True, "hosts": hosts},
        }
        self.config.write_text(json.dumps(doc))

    async def start(self) -> None:
        """Start it, at first or again. The environment names the first platform, whatever the file says."""
        self.child = await self.another()
        await self.logged("serving")

    async def another(self) -> asyncio.subprocess.Process:
        """One more process on the same configuration and folder, as at a hot restart; the caller ends it."""
        env = os.environ | {"ROUTER_CONFIG": str(self.config), "ROUTER_STATE": str(self.folder)}
        env["ROUTER_DISCOVERY"] = f"127.0.0.1:{self.platform.port}"
        command = (sys.executable, "-m", "rowanrack", "serve")
        return await asyncio.create_subprocess_exec(*command, env=env, stderr=asyncio.subprocess.PIPE)

    async def _end(self) -> None:
        if self.child.returncode is None:
            self.child.kill()
            await self.child.wait()

    async def client(self) -> Client:
        """A new connection."""
        stream = await Stream.connect("127.0.0.1", self.port)
        self.callback(stream.abort)
        return Client(stream)

    async def logged(self, text: str) -> None:
        """Wait for a line of its log that holds the text."""
        assert self.child.stderr is not None
        while line := await self.child.stderr.readline():
            if text in line.decode():
                return
        raise AssertionError(f"the log ends without {text!r}")
