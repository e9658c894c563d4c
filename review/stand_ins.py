"""Stand-ins for the review's cases: clients, endpoints, the platform, and the start of real senders.

Only the standard library is used. Everything listens on 127.0.0.1, on free ports. All times are readings of the
monotonic clock, in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
CLIENT_WAIT_S = 0.4  # "The client waits 400 ms for this answer."
KEY = "0" * 16
REASONS = {200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 429: "Too Many Requests"}
REASONS |= {500: "Internal Server Error", 503: "Service Unavailable"}


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


def with_trouble() -> bool:
    """Return whether the disruption is played; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """What was sent, answered and run, in order; written to record.txt at the end."""

    def __init__(self, folder: Path) -> None:
        self.path, self.began_at, self.lines = folder / "record.txt", time.monotonic(), list[str]()

    def note(self, text: str, at: float | None = None) -> None:
        """Note one event."""
        self.lines.append(f"{(at or time.monotonic()) - self.began_at:8.3f} {text}")

    def say(self, text: str) -> None:
        """Note one event, and print it."""
        self.note(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the record."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


# HTTP servers.

Handler = Callable[["HttpCall"], Awaitable[None]]


class HttpCall:
    """One request that has come whole; `reply` answers it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.came_at = time.monotonic()
        self._writer = writer

    async def reply(self, status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bool:
        """Write the answer; return False if the connection has ended."""
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, '')}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        if self._writer.is_closing():
            return False
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await self._writer.drain()
        except OSError:
            return False
        return not self._writer.is_closing()

    def reset(self) -> None:
        """Reset the connection instead of an answer."""
        self._writer.transport.abort()


class HttpServer:
    """A server that gives each whole request to its handler; one call at a time on each connection."""

    def __init__(self, handle: Handler, idle_s: float = 10.0) -> None:
        self._handle, self._idle_s = handle, idle_s
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks = set[asyncio.Task[None]]()

    async def open(self, port: int = 0) -> None:
        """Listen on a port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), self._idle_s)
                first, *rest = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                pairs = (line.partition(":") for line in rest if line)
                headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                await self._handle(HttpCall(method, target, headers, body, writer))
        except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


class Platform:
    """Discovery, and the receiver of notices."""

    def __init__(self, record: Record) -> None:
        self._record, self.hosts, self.seq = record, dict[str, dict[str, Any]](), 41
        self.answer_delay_s = 0.0  # how long discovery takes for a call
        self.notices: dict[str, tuple[float, str]] = {}
        self.server = HttpServer(self._handle, idle_s=90.0)
        self._changed = asyncio.Event()

    def document(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, host: dict[str, Any]) -> None:
        """Change or add one entry."""
        self.hosts[host["host"]] = host
        self.seq += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, call: HttpCall) -> None:
        path, _, query = call.target.partition("?")
        if path == "/v1/outcomes":
            try:
                notices = [json.loads(line) for line in call.body.decode().splitlines() if line.strip()]
                names = [(str(notice["message"]), str(notice["outcome"])) for notice in notices]
            except (ValueError, KeyError, TypeError):
                await call.reply(400)
                return
            for message_id, outcome in names:
                if message_id not in self.notices:
                    self.notices[message_id] = call.came_at, outcome
                    self._record.note(f"notice {message_id} {outcome}", call.came_at)
            await call.reply(204)
            return
        if path != "/v1/servers":
            await call.reply(404)
            return
        values = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if "index" in values and int(values["index"]) >= self.seq:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(values.get("wait", "0")) / 1000)
        document = self.document()
        if "index" in values and int(values["index"]) >= self.seq:
            document = {"seq": self.seq, "whole": False, "hosts": []}
        told = await call.reply(200, {"Content-Type": "application/json"}, json.dumps(document).encode())
        self._record.note(
            f"list {document['seq']} written" + ("" if told else ", but the connection had ended")
        )


class Inbox:
    """An endpoint: serves each call in `work_s` and takes `rate` calls a second, with a wait above that."""

    def __init__(self, record: Record, name: str, rate: float, work_s: float) -> None:
        self._record, self.name, self.rate, self.work_s = record, name, rate, work_s
        self._tokens, self._filled_at = 1.0, time.monotonic()
        self.calls = list[tuple[float, str]]()  # each call that came whole, with its message
        self.delivered = dict[str, float]()  # when a 200 was written
        self.server = HttpServer(self._handle)

    def entry(self, block: int, health: str = "SERVING") -> dict[str, Any]:
        """Return its entry of the list."""
        dial = f"127.0.0.1:{self.server.port}"
        values = {"host": self.name, "dial": dial, "site": "halle-nord", "class": "print-lab", "block": block}
        return values | {"health": health, "share": self.rate, "born_ms": 0}

    async def _handle(self, call: HttpCall) -> None:
        message_id, now = call.headers.get("x-txn", ""), call.came_at
        if call.method != "POST" or call.target != "/inbox" or not message_id:
            await call.reply(404)
            return
        self.calls.append((now, message_id))
        self._tokens = min(2.0, self._tokens + (now - self._filled_at) * self.rate)
        self._filled_at = now
        if self._tokens < 1:
            wait_ms = max(1, int((1 - self._tokens) / self.rate * 1000) + 1)
            self._record.note(f"call {message_id} at {self.name}: 429, wait {wait_ms} ms", now)
            await call.reply(429, {"X-Retry-In-Ms": str(wait_ms)})
            return
        self._tokens -= 1
        self._record.note(f"call {message_id} at {self.name}: runs", now)
        await asyncio.sleep(self.work_s)
        if await call.reply(200):
            self.delivered[message_id] = time.monotonic()
            self._record.note(f"200 for {message_id} by {self.name}")
        else:
            self._record.note(f"{message_id} has run at {self.name}, but the connection had ended")


# Clients.


class Submission:
    """One message that a client hands in."""

    def __init__(self, cls: str, tenant: str, dest: int, d_ms: int, body: bytes) -> None:
        self.id, self.cls, self.tenant, self.dest, self.d_ms = secrets.token_hex(8), cls, tenant, dest, d_ms
        self.body, self.sent_at, self.answer = body, 0.0, ""
        self.taken = False  # the client has heard in time that it is taken on

    def wire(self) -> bytes:
        """Return the command."""
        fields = f"c={self.cls},t={self.tenant},d={self.d_ms},dest={self.dest}"
        words = (b"SUBMIT", KEY.encode(), self.id.encode(), fields.encode(), self.body)
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Clients:
    """Clients that keep their connections and open more when all are busy."""

    def __init__(self, record: Record, port: int) -> None:
        self._record, self._port = record, port
        self._idle = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]()
        self.submissions = list[Submission]()

    async def hand_in(self, submission: Submission) -> None:
        """Hand in one message; a connection that ends unanswered is replaced once."""
        self.submissions.append(submission)
        submission.sent_at = time.monotonic()
        self._record.note(
            f"sent {submission.id} dest={submission.dest} d={submission.d_ms}", submission.sent_at
        )
        for try_number in range(2):
            connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
            try:
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time() + submission.sent_at + CLIENT_WAIT_S - time.monotonic()
                ):
                    if self._idle and not try_number:  # "once more on a new connection"
                        connection = self._idle.pop()
                    else:
                        connection = await asyncio.open_connection("127.0.0.1", self._port)
                    reader, writer = connection
                    writer.write(submission.wire())
                    await writer.drain()
                    line = await reader.readline()
            except TimeoutError:
                submission.answer = "no answer in 400 ms"
                break
            except OSError:
                line = b""
            if line.endswith(b"\r\n") and connection is not None:
                submission.answer = line.decode("utf-8", "replace").strip()
                submission.taken = line[:1] in b"+$"
                self._idle.append(connection)
                connection = None
                break
            if connection is not None:
                connection[1].close()
                connection = None
        else:
            submission.answer = "connection ended"
        if connection is not None:
            connection[1].close()
        self._record.note(f"answer {submission.id} {submission.answer}")

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._idle:
            writer.close()


async def ping(port: int) -> bool:
    """Return whether a sender answers PING with +PONG."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                return await reader.readline() == b"+PONG\r\n"
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


async def http_status(port: int, target: str) -> int:
    """Return the status of a GET, or 0."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                return int((await reader.readline()).split(b" ")[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


async def post(port: int, target: str, headers: dict[str, str], body: bytes) -> int:
    """Make one POST on a new connection; return the status, or 0 if the connection ends without one."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    try:
        lines = [f"POST {target} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return int((await reader.readuntil(b"\r\n")).split(b" ")[1])
    except (OSError, EOFError, IndexError, ValueError):
        return 0
    finally:
        writer.close()


async def wait_until(what: str, seconds: float, probe: Callable[[], Awaitable[bool]]) -> None:
    """Wait until the probe says yes. Raise CannotRunError if that takes too long."""
    until = time.monotonic() + seconds
    while not await probe():
        if time.monotonic() >= until:
            raise CannotRunError(f"{what} took over {seconds:.0f} s")
        await asyncio.sleep(0.05)


# Senders.


def run_command() -> str:
    """Return the `run` of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"])


class Sender:
    """One process of the project's own program, started by the deploy file's `run`."""

    def __init__(
        self, record: Record, name: str, folder: Path, env: dict[str, str], arguments: str = ""
    ) -> None:
        self._record, self.name = record, name
        temporary = folder / f"tmp-{name}"
        temporary.mkdir()
        self._log = (folder / f"{name}.log").open("wb")
        self.log_path = folder / f"{name}.log"
        base = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary)}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command() + arguments],
            cwd=ROOT,
            env=base | env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )
        record.say(f"process {name} started")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process.poll() is None

    def signal(self, number: signal.Signals) -> float:
        """Send a signal; return when."""
        self._record.say(f"{number.name} to {self.name}")
        self.process.send_signal(number)
        return time.monotonic()

    async def ended(self, seconds: float) -> float | None:
        """Wait for the end of the process; return when it was seen, or None if it still runs."""
        until = time.monotonic() + seconds
        while self.running:
            if time.monotonic() >= until:
                return None
            await asyncio.sleep(0.005)
        self._record.say(f"process {self.name} has ended, status {self.process.returncode}")
        return time.monotonic()

    def close(self) -> None:
        """End the process, and note the end of its log."""
        if self.running:
            self.process.kill()
            self.process.wait()
        self._log.close()
        lines = self.log_path.read_text("utf-8", "replace").splitlines()
        routine = ("no room in the journal, message", "failure_log: message", "journal: compacted")
        for line in [line for line in lines if not any(text in line for text in routine)][-60:]:
            self._record.lines.append(f"log of {self.name}: {line[:300]}")


def play(case: Callable[[Record, Path], Awaitable[int]], folder: Path) -> None:
    """Play a case in a temporary folder within 115 s, write its record, and exit with its result."""
    record = Record(folder)

    async def bounded() -> int:
        async with asyncio.timeout(115):
            with tempfile.TemporaryDirectory() as temporary:
                return await case(record, Path(temporary))

    try:
        result = asyncio.run(bounded())
    except CannotRunError as error:
        record.say(f"could not run: {error}")
        result = NOT_RUN
    except TimeoutError:
        record.say("could not run: it took over 115 s")
        result = NOT_RUN
    except Exception as error:
        record.say(f"could not run: {error!r}")
        result = NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "no result"}[result])
    record.write()
    sys.exit(result)
