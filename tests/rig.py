"""Fixtures of the socket tests: a sender among stand-ins for endpoints, discovery and clients."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import sys
from collections.abc import Callable, Coroutine, Mapping
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

from rowanrack.app import Sender
from rowanrack.config import Config, OtlpConfig, PlatformConfig
from rowanrack.core.messages import Attempt, CallVerdict, End, Endpoint, Message
from rowanrack.fronts.otlp.mapping import RequestMap, ValueSource
from rowanrack.lab.stand_in import Behaviour, Client, HttpServer, reserve
from rowanrack.lab.stand_in import resp as resp
from rowanrack.net.fair_scheduling import FairLoop
from rowanrack.net.http import Call, HttpClientConnection, Reply, Request
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


AsyncTest = Callable[..., Coroutine[Any, Any, None]]


def on_loop_for(limit_s: float) -> Callable[[AsyncTest], Callable[..., None]]:
    """Run an async test on a new event loop, with a time limit."""

    def decorate(test: AsyncTest) -> Callable[..., None]:
        @functools.wraps(test)
        def run(*args: Any, **kwargs: Any) -> None:
            with asyncio.Runner(loop_factory=FairLoop) as runner:
                runner.run(asyncio.wait_for(test(*args, **kwargs), limit_s))

        return run

    return decorate


on_loop = on_loop_for(30)


def answers(*replies: Reply | None) -> Behaviour:
    """Answer calls with these replies in order, then always with the last; None aborts the connection."""
    remaining = list(replies)

    async def behave(_request: Request) -> Reply | None:
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    return behave


async def silent(_request: Request) -> Reply | None:
    """Never answer a request."""
    await asyncio.Event().wait()
    return None


class HttpStandIn(HttpServer):
    """A server that records its requests, and answers them with a given behaviour."""

    def __init__(self, behave: Behaviour = answers(Reply(200, {}))) -> None:  # noqa: B008
        super().__init__()
        self.behave, self.requests, self.times = behave, list[Request](), list[float]()
        self.closed, self.requests_changed = asyncio.Event(), asyncio.Condition()

    async def __aenter__(self) -> HttpStandIn:
        await self.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    def connection_broken(self) -> None:
        """Note that this server has aborted a connection."""
        self.closed.set()

    async def answer(self, request: Request, peer: str) -> Reply | None:
        """Record the request, and answer it."""
        async with self.requests_changed:
            self.requests.append(request)
            self.times.append(asyncio.get_running_loop().time())
            self.requests_changed.notify_all()
        return await self.behave(request)

    async def wait_for_requests(self, count: int) -> list[Request]:
        """Return all requests once there are at least `count`."""
        async with self.requests_changed:
            await self.requests_changed.wait_for(lambda: len(self.requests) >= count)
        return self.requests


class Platform(HttpStandIn):
    """The platform: discovery with a watch that answers on changes, and the receiver of outcome notices."""

    def __init__(self) -> None:
        super().__init__(self._behave)
        self.hosts: list[dict[str, object]] = []
        self.seq, self.changed, self.notice_statuses = 1, asyncio.Event(), [204]
        self.broken_replies: list[Reply | None] = []  # for the next watches, in place of the list
        self.notices: dict[str, dict[str, Any]] = {}
        self.notices_changed = asyncio.Condition()

    def change(self, *hosts: dict[str, object]) -> None:
        """Change the endpoint list, and notify the watch."""
        self.hosts, self.seq = list(hosts), self.seq + 1
        self.changed.set()

    async def _behave(self, request: Request) -> Reply | None:
        if request.target == "/v1/outcomes":
            status = self.notice_statuses.pop(0) if len(self.notice_statuses) > 1 else self.notice_statuses[0]
            async with self.notices_changed:
                for line in request.body.splitlines() if status == 204 else ():
                    self.notices[json.loads(line)["message"]] = json.loads(line)
                self.notices_changed.notify_all()
            return Reply(status, {})
        if self.broken_replies:
            return self.broken_replies.pop(0)
        await self.changed.wait()
        self.changed.clear()
        document = {"seq": self.seq, "whole": False, "hosts": self.hosts}
        return Reply(200, {}, json.dumps(document).encode())

    async def wait_for_notice(self, message_id: str) -> dict[str, Any]:
        """Return the outcome notice of a message once it has been received."""
        async with self.notices_changed:
            await self.notices_changed.wait_for(lambda: message_id in self.notices)
        return self.notices[message_id]


def discovery_entry(name: str, port: int, dest: int = 7, health: str = "SERVING") -> dict[str, object]:
    """Return an endpoint in the JSON form of discovery."""
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


def make_endpoint(name: str, port: int, dest: int = 7) -> Endpoint:
    """Return a listed endpoint."""
    return Endpoint(name, "127.0.0.1", port, "a", "print-lab", dest, EndpointStatus.LISTED, 50.0)


MAPPING = RequestMap(
    ValueSource(header="x-class", default="print-order"),
    ValueSource(attribute="service.namespace"),
    ValueSource(attribute="dest", default="7"),
    ValueSource(header="x-id"),
    ValueSource(header="x-left-ms"),
)


class Rig(AsyncExitStack):
    """A sender with both fronts among stand-ins; its state folder is kept across restarts."""

    def __init__(
        self,
        state: Path,
        *behaviours: Behaviour,
        settings_changes: dict[str, Any] | None = None,
        **limits: int,
    ) -> None:
        super().__init__()
        self.state, self.platform = state, Platform()
        self.servers = [HttpStandIn(behaviour) for behaviour in behaviours]
        document = SETTINGS | (settings_changes or {}) | {"limits": SETTINGS["limits"] | limits}
        self.settings: Settings = parse_settings(json.dumps(document))
        self.config_changes: dict[str, Any] = {}  # configuration fields that change at the next start
        self.known_endpoints: tuple[Endpoint, ...] = ()
        self.results, self.ends = list[Result](), list[tuple[str, End]]()
        self._outcomes_changed = asyncio.Event()

    async def __aenter__(self) -> Rig:
        await super().__aenter__()
        for server in (self.platform, *self.servers):
            await self.enter_async_context(server)
        self.known_endpoints = tuple(
            make_endpoint(f"i{number}", server.port) for number, server in enumerate(self.servers)
        )
        await self.start()
        self.callback(lambda: self.sender.close())
        return self

    async def start(self) -> None:
        """Start a sender on the state folder; after `sender.close()` this acts as a restart after SIGKILL."""
        self.sender = Sender(self.config())
        await self.sender.start()
        self._record_outcomes(self.sender)

    async def start_second(self) -> Sender:
        """Start a second sender on the state folder, as during a hot restart; it has ports of its own."""
        second = Sender(self.config())
        self.callback(second.close)
        await second.start()
        self._record_outcomes(second)
        return second

    def config(self, pushed: bool = False) -> Config:
        """Return the configuration of a sender that uses the stand-ins."""
        host = "127.0.0.1"
        discovery = (host, self.platform.port)
        platform = PlatformConfig((host, 0), discovery, self.platform.seq, self.known_endpoints)
        config = Config("n0", self.settings, 5000, 1, self.state, 3_000_000, 512)
        config = replace(
            config,
            platform=replace(platform, pushed=pushed or platform.pushed),
            otlp=OtlpConfig((host, 0), 256 * 1024, MAPPING),
            mgmt=(host, 0),
        )
        return replace(config, **self.config_changes)

    def _record_outcomes(self, sender: Sender) -> None:
        exchange, settle = sender.exchange, sender.exchange.settle

        def settle_and_record(attempt: Attempt, verdict: CallVerdict | Result) -> None:
            settle(attempt, verdict)
            self._record(self.results, verdict if isinstance(verdict, Result) else verdict.result)

        def listen_and_record(listener: Callable[[Message, End], None], message: Message, end: End) -> None:
            listener(message, end)
            self._record(self.ends, (message.id, end))

        exchange.settle = settle_and_record  # type: ignore[method-assign]
        for front, listener in exchange.listeners.items():
            exchange.listeners[front] = functools.partial(listen_and_record, listener)

    def add_removed_destinations(self, *dests: int) -> None:
        """Make destinations known whose endpoints have all been removed."""
        for status in (EndpointStatus.LISTED, EndpointStatus.REMOVED):
            update = [replace(make_endpoint(f"gone{dest}", 1, dest), status=status) for dest in dests]
            self.sender.exchange.update_endpoints(UpdateScope.DELTA, update)

    def _record(self, recorded: list[Any], update: Any) -> None:
        recorded.append(update)
        self._outcomes_changed.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition; it is checked after each result of an attempt and each end of a message."""
        while not condition():
            self._outcomes_changed.clear()
            await self._outcomes_changed.wait()

    async def wait_for_end(self, message_id: str) -> End:
        """Wait for the end of a message and return it."""
        await self.wait_until(lambda: message_id in dict(self.ends))
        return dict(self.ends)[message_id]

    async def client(self, sender: Sender | None = None) -> Client:
        """Open a client connection to the platform front, of the first sender by default."""
        return Client(await self.connect(0, sender))

    async def export(self, body: bytes, path: str = "/v1/logs", **header_values: str) -> Reply:
        """Make an export request to the first sender on a new connection."""
        return await self.export_to(self.sender, body, path, **header_values)

    async def export_to(
        self, sender: Sender, body: bytes, path: str = "/v1/logs", **header_values: str
    ) -> Reply:
        """Make an export request on a new connection."""
        stream = await self.connect(1, sender)
        header_fields = {"content_type": "application/x-protobuf"} | header_values
        headers = tuple((name.replace("_", "-"), value) for name, value in header_fields.items())
        return await HttpClientConnection(stream, "otlp", 1 << 20, after).call(
            Call("POST", path, headers, body)
        )

    async def connect(self, front: int, sender: Sender | None = None) -> Stream:
        """Open a connection to the platform front (0) or to the OTLP front (1)."""
        stream = await Stream.connect("127.0.0.1", (sender or self.sender).fronts[front][0].port)
        self.callback(stream.abort)
        return stream


class Process(AsyncExitStack):
    """A sender in a child process, with the endpoints of a rig, a configuration file and a state folder."""

    def __init__(
        self, rig: Rig, folder: Path, limits: Mapping[str, float] | None = None, mgmt: bool = False
    ) -> None:
        super().__init__()
        self.limits, self.has_mgmt = dict(limits or {}), mgmt
        self.rig, self.folder, self.platform = rig, folder / "process", Platform()
        self.config = self.folder / "config.json"

    async def __aenter__(self) -> Process:
        await super().__aenter__()
        await self.enter_async_context(self.platform)
        self.folder.mkdir()
        # Kept open, so that no client of anybody is given one of these ports.
        reserved = [self.enter_context(reserve()) for _ in range(2)]
        self.port, self.mgmt_port = (sock.getsockname()[1] for sock in reserved)
        self.configure(self.platform)
        self.push_async_callback(self._end)
        await self.start()
        return self

    def configure(self, platform: Platform) -> None:
        """Write the configuration file, with the address of this platform."""
        hosts = [discovery_entry(f"i{n}", s.port) for n, s in enumerate(self.rig.servers)]
        document = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{platform.port}",
            "settings": SETTINGS,
            "known": {"seq": 1, "whole": True, "hosts": hosts},
            "limits": self.limits,
        }
        if self.has_mgmt:  # two processes of a hot restart cannot share this address
            document["mgmt"] = f"127.0.0.1:{self.mgmt_port}"
        self.config.write_text(json.dumps(document))

    async def start(self) -> None:
        """Start or restart the process. The environment names the first platform, whatever the file says."""
        self.child = await self.start_another()
        await self.wait_for_log("serving")

    async def start_another(self) -> asyncio.subprocess.Process:
        """Start another process on the same folder, as at a hot restart; the caller ends it."""
        env = os.environ | {"ROUTER_CONFIG": str(self.config), "ROUTER_STATE": str(self.folder)}
        env["ROUTER_DISCOVERY"] = f"127.0.0.1:{self.platform.port}"
        command = (sys.executable, "-m", "rowanrack", "serve")
        return await asyncio.create_subprocess_exec(*command, env=env, stderr=asyncio.subprocess.PIPE)

    async def _end(self) -> None:
        if self.child.returncode is None:
            self.child.kill()
            await self.child.wait()

    async def client(self) -> Client:
        """Open a client connection."""
        stream = await Stream.connect("127.0.0.1", self.port)
        self.callback(stream.abort)
        return Client(stream)

    def peak_memory_bytes(self) -> int:
        """Return the largest resident set of the process so far."""
        status = Path(f"/proc/{self.child.pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    async def wait_for_log(self, text: str) -> None:
        """Wait for a log line that contains the text."""
        assert self.child.stderr is not None
        lines = list[str]()
        while line := (await self.child.stderr.readline()).decode():
            if text in line:
                return
            lines.append(line)
        raise AssertionError(f"the log ended without {text!r}: {''.join(lines[-5:])}")
