"""Stand-ins on loopback for cases 6 to 10: HTTP servers, clients, and the sender as a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

HERE = Path(sys.argv[0]).resolve().parent  # the folder of the case
ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0  # a case that takes longer could not run
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not run; the text says why."""


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@dataclass
class Request:
    """A request that a stand-in has received whole, and when its last byte came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float


@dataclass
class Reply:
    """An answer of a stand-in."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def encode(self) -> bytes:
        """Encode the answer with its length."""
        lines = [f"HTTP/1.1 {self.status} X", *(f"{name}: {value}" for name, value in self.headers.items())]
        return "\r\n".join([*lines, f"Content-Length: {len(self.body)}", "", ""]).encode() + self.body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the header fields of an HTTP message, names in lower case."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in raw[1:] if line)
    return raw[0], {name.strip().lower(): value.strip() for name, _, value in pairs}


Behaviour = Callable[[Request], Awaitable[Reply | None]]


class Server:
    """An HTTP server on loopback that keeps connections alive. An answer of None ends the connection."""

    def __init__(self, behave: Behaviour) -> None:
        self.behave = behave
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        """Listen on this port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                reply = await self.behave(Request(method, target, headers, body, time.monotonic()))
                if reply is None:
                    return
                writer.write(reply.encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """End as a process does: new connections are refused, and open ones end."""
        if self._server is not None:
            self._server.close()
        self.end_connections()

    def end_connections(self) -> None:
        """Close all open connections."""
        for writer in list(self.writers):
            writer.close()


async def http_call(
    port: int, method: str, target: str, headers: dict[str, str], body: bytes = b"", limit_s: float = 30.0
) -> Reply | None:
    """Make one call on a connection of its own; None if the connection ends without an answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [f"{method} {target} HTTP/1.1", f"Host: 127.0.0.1:{port}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body)
            await writer.drain()
            first, fields = await read_head(reader)
            content = await reader.readexactly(int(fields.get("content-length", "0")))
            return Reply(int(first.split(" ")[1]), fields, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class RespClient:
    """A client of the platform's front, on one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> RespClient:
        """Open a connection."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def command(self, *words: str | bytes) -> str:
        """Send a command and return the first line of its answer, or "" if the connection ends."""
        raw = [word.encode() if isinstance(word, str) else word for word in words]
        parts = [f"*{len(raw)}\r\n".encode(), *(b"$%d\r\n%s\r\n" % (len(word), word) for word in raw)]
        try:
            self._writer.write(b"".join(parts))
            await self._writer.drain()
            async with asyncio.timeout(2.0):
                return (await self._reader.readline()).decode().strip()
        except (OSError, TimeoutError):
            return ""

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Case:
    """The record of a case, its temporary folder, and the processes that it has started."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self._record = (HERE / "record.txt").open("w", encoding="utf-8")
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._record.flush()

    def start(self, arguments: str = "", env: dict[str, str] | None = None) -> subprocess.Popen[bytes]:
        """Start the sender by the `run` of the deploy file."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        log = (self.folder / f"sender-{len(self.processes)}.log").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run} {arguments}".strip()],
            cwd=ROOT,
            env={k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
            | {"TMPDIR": str(self.folder)}
            | (env or {}),
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.processes.append(process)
        self.note(f"sender {len(self.processes) - 1} started, pid {process.pid}")
        return process

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a process that this case has started."""
        self.note(f"{number.name} to pid {process.pid}")
        if process.poll() is None:
            process.send_signal(number)

    async def until_ready(self, mgmt_port: int, limit_s: float = 30.0) -> None:
        """Wait until the sender at this operators' address says that it is ready."""
        give_up_at = time.monotonic() + limit_s
        while time.monotonic() < give_up_at:
            reply = await http_call(mgmt_port, "GET", "/_ready", {}, limit_s=1.0)
            if reply is not None and reply.status == 200:
                self.note("the sender is ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError("the sender did not become ready")

    def close(self) -> None:
        """End all processes, keep the senders' logs in the record, and remove the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for number in range(len(self.processes)):
            with contextlib.suppress(OSError):
                for line in (self.folder / f"sender-{number}.log").read_text(errors="replace").splitlines():
                    self._record.write(f"log of sender {number}: {line}\n")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case; exit with 1 if it returns what broke the rule, 0 if nothing did, 2 if it could not run."""
    case, code = Case(), COULD_NOT_RUN

    async def limited() -> list[str]:
        async with asyncio.timeout(LIMIT_S):
            return await play(case)

    try:
        broken = asyncio.run(limited())
        for line in broken:
            case.note(f"BROKEN: {line}")
            print(f"broken: {line}")
        code = BROKEN if broken else HELD
        case.note(f"verdict: {'the rule was broken' if broken else 'the rule held'}")
        print("the rule was broken" if broken else "the rule held")
    except CouldNotRunError as error:
        case.note(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception as error:
        case.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        case.close()
    sys.exit(code)
