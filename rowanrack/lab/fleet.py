"""Runs a fleet of real senders against stand-in services, and injects faults into both. See docs/lab.md."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from rowanrack.lab import skewed
from rowanrack.lab.books import Book, Entry, read
from rowanrack.lab.partners import PartnerParameters
from rowanrack.lab.plan import Arrival
from rowanrack.lab.role import ROOT, Role
from rowanrack.lab.scenario import GRADES, Grade
from rowanrack.lab.stand_in import reserve, sender_address
from rowanrack.net.http import Call, HttpClientConnection
from rowanrack.net.stream import Stream
from rowanrack.net.timing import after

SIGKILL_DELAY_S = 3.7  # after SIGTERM, as on the platform
START_TIMEOUT_S = 60.0  # long, because many senders start at once
START_ATTEMPTS_COUNT = 3  # a start fails if another process has taken one of the ports
MGMT_TIMEOUT_S = 10.0
HOST = "127.0.0.1"

GRADE_TEMPLATE = """
[[settings.grades]]
name = "{grade.name}"
slo_us = {slo_us}
deadline_us = {deadline_us}
worth = 1.0
late_worth = {grade.late_worth}
effect = "{grade.effect}"
"""

SETTINGS_TEMPLATE = """
[settings]
kinds = ["lab"]
weight_kind = "nominal"
resolution_us = 5000
replicas_of_me = {senders}
{grades}
[settings.extra]
slots = {slots}
batch_by_kind = [1]
kind_apart = [false]

[settings.limits]
most_held = {held}
try_limit = 6
connect_timeout_us = 1_000_000
keepalive_us = 10_000_000
max_retry_after_us = 3_000_000
peers = {notes}

[settings.rules]
cold_share = 0.2
ramp_time_us = 6_000_000
fall_us = 2_000_000
overload_factor = 2.0
"""


def settings(
    senders: int, grades: Sequence[Grade] = GRADES, slots: int = 16, max_held: int = 200, notes: bool = False
) -> str:
    """Return the settings that all senders of a fleet share, as TOML."""
    text = "".join(
        GRADE_TEMPLATE.format(grade=grade, slo_us=1000 * grade.slo_ms, deadline_us=1000 * grade.deadline_ms)
        for grade in grades
    )
    notes_enabled = "true" if notes else "false"
    return SETTINGS_TEMPLATE.format(
        senders=senders, grades=text, slots=slots, held=max_held, notes=notes_enabled
    )


@dataclass(frozen=True)
class Partner:
    """A destination and its endpoints, which are named NAME-0, NAME-1 and so on."""

    name: str
    parameters: PartnerParameters
    endpoints: int = 2

    @property
    def places(self) -> list[str]:
        """The names of the endpoints."""
        return [f"{self.name}-{n}" for n in range(self.endpoints)]


class FleetError(RuntimeError):
    """A sender did not start, an expected log line did not appear, or a fault or link is not available."""


@dataclass(frozen=True)
class Link:
    """One or more links that fail together; `rowanrack.lab.links` describes the faults."""

    fleet: Fleet
    names: tuple[str, ...]
    affected: str  # the sender or endpoint that the books name for faults of these links

    async def cut(self) -> None:
        """Refuse new connections, reset open ones and drop datagrams, in both directions."""
        self.fleet.record_event("fault", self.affected, "link")
        await self.fleet.relays.ask("cut", names=self.names, cut=True)

    async def heal(self) -> None:
        """Remove all faults."""
        await self.fleet.relays.ask("cut", names=self.names, cut=False)
        self.fleet.record_event("over", self.affected, "link")

    async def set(self, way: str = "both", **faults: float | bool) -> None:
        """Set some faults of the direction `there`, `back` or `both`; other faults stay as they are."""
        self.fleet.record_event("fault", self.affected, "link")
        await self.fleet.relays.ask("set", names=self.names, way=way, faults=faults)


@dataclass(eq=False)
class Sender:
    """One sender: its process, its folder and its ports."""

    fleet: Fleet
    name: str
    number: int
    folder: Path
    reserved_sockets: dict[str, socket.socket] = field(default_factory=dict)
    udp_ports: dict[str, int] = field(default_factory=dict)
    child: subprocess.Popen[bytes] | None = None
    predecessor: subprocess.Popen[bytes] | None = None  # of a hot restart, until it has ended
    mgmt_purpose: str = "mgmt"  # each process of a hot restart has a management port of its own
    lines: deque[str] = field(default_factory=lambda: deque(maxlen=5000))
    start_duration_s: float = 0.0  # of the last start
    _log_changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    _log_reader: asyncio.Task[None] | None = None
    _log_closed: bool = True  # the whole output of the process has been read

    @property
    def state_folder(self) -> Path:
        """The folder of the journal."""
        return self.folder / "state"

    def port(self, purpose: str) -> int:
        """Return the TCP port for a purpose; it is reserved at first use and kept until the fleet ends."""
        if purpose not in self.reserved_sockets:
            self.reserved_sockets[purpose] = reserve()
        return int(self.reserved_sockets[purpose].getsockname()[1])

    def udp_port(self, purpose: str) -> int:
        """Return the UDP port for a purpose; it was free at first use, but is not reserved."""
        if purpose not in self.udp_ports:
            with reserve(socket.SOCK_DGRAM) as free:
                self.udp_ports[purpose] = int(free.getsockname()[1])
        return self.udp_ports[purpose]

    @property
    def alive(self) -> bool:
        """Whether the process exists; a hung process does."""
        return self.child is not None and self.child.poll() is None

    async def start(self, empty: bool = False) -> None:
        """Start the process and wait until it serves; `empty` clears its state first. Raises FleetError."""
        if empty:
            shutil.rmtree(self.state_folder, ignore_errors=True)
        self.state_folder.mkdir(parents=True, exist_ok=True)
        if empty:
            self.fleet.record_event("empty", self.name)
        config = self._write_config()
        loop = asyncio.get_running_loop()
        began = loop.time()
        for _ in range(START_ATTEMPTS_COUNT):
            self._launch(config)
            if await self._wait_until_serving():
                self.start_duration_s = loop.time() - began
                await self.fleet.relays.ask("down", far=self.name, down=False)
                self.fleet.record_event("up", self.name)
                return
            await self._terminate()
        raise FleetError(
            f"{self.name}: did not start: {self.lines[-1] if self.lines else 'it logged nothing'}"
        )

    def _write_config(self) -> Path:
        config = self.folder / "site.toml"
        config.write_text(self.fleet.site_file(self))
        return config

    async def hot_restart(self, overlap_s: float = 0.2) -> None:
        """Replace the process as an upgrade does. Raises FleetError.

        The next process serves beside it for `overlap_s`; then it gets SIGTERM, and SIGKILL 3.7 s later.
        """
        previous, previous_log_reader = self.child, self._log_reader
        assert previous is not None and previous_log_reader is not None and self.predecessor is None
        self.predecessor = previous
        self.mgmt_purpose = "mgmt" if self.mgmt_purpose != "mgmt" else "second mgmt"
        self.fleet.record_event("upgrade", self.name, "started")
        self._launch(self._write_config())
        if not await self._wait_until_serving():
            raise FleetError(f"{self.name}: did not start beside itself")
        await asyncio.sleep(overlap_s)
        self.fleet.record_event("upgrade", self.name, "told to end")
        previous.terminate()
        try:
            await asyncio.wait_for(asyncio.to_thread(previous.wait), SIGKILL_DELAY_S)
        except TimeoutError:
            previous.kill()
            await asyncio.to_thread(previous.wait)
        await previous_log_reader
        self.predecessor = None
        self.fleet.record_event("upgrade", self.name, "ended")

    def _launch(self, config: Path) -> None:
        command = [sys.executable, "-m", "rowanrack"]
        if self.fleet.skewed_clocks:
            command = [sys.executable, "-m", "rowanrack.lab.skewed", str(self.clock_file)]
        self.lines.clear()
        self._log_closed = False
        self.child = subprocess.Popen(
            [*command, "serve", "--config", str(config)],
            stdin=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            cwd=ROOT,
            start_new_session=True,
        )
        self._log_reader = asyncio.create_task(self._read_log(self.child))

    async def _read_log(self, child: subprocess.Popen[bytes]) -> None:
        """Append the log of the process to `lines` and to the file `log` in its folder."""
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), child.stderr)
        with (self.folder / "log").open("ab") as log:
            while line := await reader.readline():
                log.write(line)
                async with self._log_changed:
                    self.lines.append(line.decode(errors="replace").rstrip())
                    self._log_changed.notify_all()
        if child is self.child:
            async with self._log_changed:
                self._log_closed = True
                self._log_changed.notify_all()

    async def _wait_until_serving(self) -> bool:
        try:
            await self.wait_for_log_line("serving;", START_TIMEOUT_S)
        except FleetError:
            return False
        return True

    async def wait_for_log_line(self, text: str, within_s: float = 30.0) -> str:
        """Wait for the first log line since the start that contains the text. Raises FleetError."""
        found: list[str] = []

        def found_or_closed() -> bool:
            found[:] = [line for line in self.lines if text in line]
            return bool(found) or self._log_closed

        async with self._log_changed:
            try:
                await asyncio.wait_for(self._log_changed.wait_for(found_or_closed), within_s)
            except TimeoutError:
                raise FleetError(f"{self.name}: did not log {text!r} within {within_s:.0f} s") from None
        if not found:
            raise FleetError(f"{self.name}: ended without logging {text!r}")
        return found[0]

    async def _terminate(self) -> None:
        """Kill the process if it still runs, and wait until its whole output has been read."""
        if self.predecessor is not None:
            self.predecessor.kill()
        if self.child is not None:
            self.child.kill()
            self.child.wait()
            assert self._log_reader is not None
            await self._log_reader

    async def kill(self) -> None:
        """Send SIGKILL, and wait until the process has ended and connections to it are refused."""
        self.fleet.record_event("down", self.name, "kill")
        await self._terminate()
        await self.fleet.relays.ask("down", far=self.name, down=True)

    def hang(self) -> None:
        """Send SIGSTOP, which simulates a hung machine: its connections stay open."""
        self.fleet.record_event("down", self.name, "hang")
        os.kill(self.pid, signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED)

    def resume(self) -> None:
        """Send SIGCONT to a process that `hang` has stopped."""
        os.kill(self.pid, signal.SIGCONT)
        self.fleet.record_event("up", self.name, "hang")

    def fill_disk(self) -> None:
        """Simulate a full disk: writes past the current end of the journal or of the event log fail."""
        self.fleet.record_event("fault", self.name, "disk")
        sizes = (
            path.stat().st_size for path in self.state_folder.iterdir() if path.suffix in (".log", ".db")
        )
        self._limit_file_size(min((size for size in sizes if size), default=0))

    def free_disk(self) -> None:
        """End the simulation of a full disk."""
        self._limit_file_size(None)
        self.fleet.record_event("over", self.name, "disk")

    def _limit_file_size(self, max_bytes: int | None) -> None:
        """Limit the files of the process; one that is down is not limited, nor is its successor."""
        with contextlib.suppress(ProcessLookupError):
            _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
            limit = hard if max_bytes is None else max_bytes
            resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (limit, hard))

    @property
    def clock_file(self) -> Path:
        """The file that holds the offset of the sender's clock."""
        return self.folder / "clock"

    def set_clock_offset(self, ahead_s: float) -> None:
        """Set the offset of the wall clock; negative is behind. Raises FleetError without `skewed_clocks`."""
        if not self.fleet.skewed_clocks:
            raise FleetError("the fleet was started without `skewed_clocks`")
        self.fleet.record_event("fault" if ahead_s else "over", self.name, "clock")
        skewed.write(self.clock_file, int(ahead_s * 1_000_000))

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.child is not None
        return self.child.pid

    def memory_bytes(self) -> tuple[int, int]:
        """Return the RSS and PSS of the process in bytes."""
        lines = Path(f"/proc/{self.pid}/smaps_rollup").read_text().splitlines()
        sizes = {line.split()[0]: 1024 * int(line.split()[1]) for line in lines[1:]}
        return sizes["Rss:"], sizes["Pss:"]

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used, in seconds."""
        user, system = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def mgmt(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Make an operator's call; returns status and body. Raises OSError, TimeoutError and HTTP errors."""
        async with asyncio.timeout(MGMT_TIMEOUT_S):
            stream = await Stream.connect(HOST, self.port(self.mgmt_purpose))
            try:
                reply = await HttpClientConnection(stream, "mgmt", 1 << 20, after).call(
                    Call(method, path, (), body)
                )
            finally:
                stream.abort()
        return reply.status, reply.body


class Fleet(AsyncExitStack):
    """The senders s0, s1 and so on, the stand-ins and all links; on exit it ends every process it started.

    `extra_config(fleet, sender)` returns text to append to a sender's TOML file. `mesh` names ports of the
    senders; each has a TCP link per ordered pair of senders for which `is_relayed(near, far)` holds. Other
    pairs connect directly, and no fault can be injected between them. `notes` adds UDP links for gossip
    notes and the section [peers]. `settings_toml` replaces the result of `settings(senders)`. `wave` limits
    how many senders start at once.
    """

    def __init__(
        self,
        folder: Path,
        senders: int = 8,
        partners: Sequence[Partner] = (),
        *,
        settings_toml: str = "",
        extra_config: Callable[[Fleet, Sender], str] = lambda fleet, sender: "",
        mesh: Sequence[str] = (),
        is_relayed: Callable[[str, str], bool] = lambda near, far: True,
        notes: bool = False,
        skewed_clocks: bool = False,
        wave: int = 4,
        disk_mb: float = 4.0,
        seed: str = "1",
    ) -> None:
        super().__init__()
        self.folder, self.partners = folder.resolve(), tuple(partners)
        self.settings, self.extra_config = settings_toml or settings(senders, notes=notes), extra_config
        self.is_relayed = is_relayed
        self.mesh, self.notes, self.skewed_clocks, self.wave = tuple(mesh), notes, skewed_clocks, wave
        self.disk_mb, self.seed = disk_mb, seed
        self.books = self.folder / "books"
        self.senders: dict[str, Sender] = {}
        for number in range(senders):
            name = f"s{number}"
            self.senders[name] = Sender(self, name, number, self.folder / name)
        self._ports: dict[str, tuple[int, int]] = {}  # by link: the near port and the UDP source port
        self.discovery_port = 0

    async def __aenter__(self) -> Fleet:
        await super().__aenter__()
        try:
            await self._start()
        except BaseException:
            await self.aclose()
            raise
        return self

    async def _start(self) -> None:
        self.books.mkdir(parents=True)
        self.book = Book(self.books / "lab.jsonl")
        self.callback(self.book.close)
        self.book.add("clock", value=time.time_ns() // 1000)  # maps the clock of the books to Unix time
        self.relays = await self._start_role("links", self.seed)
        self.partner_process = await self._start_role(
            "partners", str(self.books / "partners.jsonl"), self.seed
        )
        self.discovery = await self._start_role("discovery", str(self.books / "discovery.jsonl"))
        self.clients = await self._start_role("clients", str(self.books / "clients.jsonl"))
        self.discovery_port = await self.discovery.ask("open")
        partner_specs = [
            {"figures": msgspec.to_builtins(p.parameters), "endpoints": p.places} for p in self.partners
        ]
        names = list(self.senders)
        self.endpoints: dict[str, int] = await self.partner_process.ask(
            "open", partners=partner_specs, senders=names
        )
        self.push_async_callback(self._end_senders)
        for sender in self.senders.values():
            sender.folder.mkdir()
            skewed.write(sender.clock_file, 0)
        await self._open_links()
        await self._publish_endpoint_lists()
        client_addresses = {name: [HOST, self._ports[f"clients>{name}"][0]] for name in self.senders}
        await self.clients.ask("open", senders=client_addresses)
        await self._start_senders()

    async def _start_role(self, name: str, *arguments: str) -> Role:
        role = Role(name)
        await role.start(*arguments)
        self.push_async_callback(role.end)
        return role

    async def _open_links(self) -> None:
        """Open the links of all senders; their names and ports are known before any sender starts."""
        link_specs: list[dict[str, Any]] = []
        for name, sender in self.senders.items():
            source = sender_address(sender.number)
            ends = {"discovery": self.discovery_port, **self.endpoints}
            link_specs.append({"name": f"clients>{name}", "to": [HOST, sender.port("clients")], "far": name})
            for end_name, port in ends.items():
                link_specs.append(
                    {"name": f"{name}>{end_name}", "to": [HOST, port], "far": end_name, "source": source}
                )
            for other in self.senders.values():
                pair = {"name": f"{name}>{other.name}", "far": other.name}
                linked = other is not sender and self.is_relayed(name, other.name)
                for purpose in self.mesh if linked else ():
                    spec = pair | {"name": f"{pair['name']} {purpose}", "source": source}
                    link_specs.append(spec | {"to": [HOST, other.port(purpose)]})
                if self.notes and other is not sender:
                    spec = pair | {"name": f"{pair['name']} notes", "kind": "udp", "hub": name}
                    link_specs.append(spec | {"to": [HOST, other.udp_port("notes")]})
        opened = await self.relays.ask("open", links=link_specs)
        self._ports = {spec["name"]: tuple(ports) for spec, ports in zip(link_specs, opened, strict=True)}

    async def _publish_endpoint_lists(self) -> None:
        hosts = [
            {
                "host": endpoint,
                "site": "a",
                "class": "lab",
                "block": partner.parameters.dest,
                "health": "SERVING",
            }
            | {"share": partner.parameters.rate / partner.endpoints * partner.parameters.listed, "born_ms": 0}
            for partner in self.partners
            for endpoint in partner.places
        ]
        dials = {
            name: {endpoint: self.address(name, endpoint) for endpoint in self.endpoints}
            for name in self.senders
        }
        await self.discovery.ask("lists", hosts=hosts, dials=dials)

    async def _start_senders(self) -> None:
        """Start the senders, `wave` at a time, because each start uses most of a core."""
        start_slots = asyncio.Semaphore(self.wave)

        async def start(sender: Sender) -> None:
            async with start_slots:
                await sender.start()

        async with asyncio.TaskGroup() as group:
            for sender in self.senders.values():
                group.create_task(start(sender))

    async def _end_senders(self) -> None:
        for sender in self.senders.values():
            if sender.child is not None:
                sender.child.kill()
        for sender in self.senders.values():
            await sender._terminate()
            for reserved_socket in sender.reserved_sockets.values():
                reserved_socket.close()

    def address(self, near: str, far: str, purpose: str = "") -> str:
        """Return the address at which `near` reaches `far`: that of their link, if there is one."""
        link = f"{near}>{far} {purpose}".rstrip()
        if link not in self._ports and purpose in self.mesh:
            return f"{HOST}:{self.senders[far].port(purpose)}"
        return f"{HOST}:{self._ports[link][0]}"

    def link(self, near: str, far: str) -> Link:
        """All links of an ordered pair; `far` may be an endpoint or `discovery`, `near` may be `clients`."""
        pair = f"{near}>{far}"
        names = tuple(name for name in self._ports if name.split(" ")[0] == pair)
        if not names:
            raise FleetError(f"no link {pair}")
        return Link(self, names, near if near in self.senders else far)

    def links_of(self, name: str) -> Link:
        """All links to and from a sender."""
        names = tuple(link for link in self._ports if name in link.split(" ")[0].split(">"))
        return Link(self, names, name)

    def links_to(self, endpoint: str) -> Link:
        """All links to an endpoint."""
        return Link(self, tuple(link for link in self._ports if link.endswith(f">{endpoint}")), endpoint)

    def site_file(self, sender: Sender) -> str:
        """Return the text of a sender's TOML file."""
        lines = [
            f'name = "{sender.name}"',
            f"state = {json.dumps(str(sender.state_folder))}",
            f"disk_mb = {self.disk_mb}",
            "sockets = 1024",
            f'mgmt = "{HOST}:{sender.port(sender.mgmt_purpose)}"',
            self.settings,
            "[platform]",
            f'listen = "{HOST}:{sender.port("clients")}"',
            f'discovery = "{self.address(sender.name, "discovery")}"',
        ]
        if self.notes:
            others = [name for name in self.senders if name != sender.name]
            peers = [f"{HOST}:{self._ports[f'{other}>{sender.name} notes'][1]}" for other in others]
            broadcast_address = self.address(sender.name, others[0], "notes")
            listen = f"{HOST}:{sender.udp_port('notes')}"
            lines += ["[peers]", f'listen = "{listen}"', f'all_at = "{broadcast_address}"']
            lines.append(f"peers = {json.dumps(peers)}")
        return "\n".join([*lines, self.extra_config(self, sender), ""])

    def cpu_s(self) -> float:
        """Return the CPU time that the running processes of the senders have used, in seconds."""
        return sum(sender.cpu_s() for sender in self.senders.values() if sender.alive)

    def record_event(self, what: str, who: str, note: str = "") -> None:
        """Add an entry to the lab's own book."""
        self.book.add(what, who, note=note)

    async def endpoint(self, name: str, state: str) -> None:
        """Set an endpoint `up`, `down`, `shut`, `failing` or `silent`; while it is down, its links refuse."""
        if state != "down":
            await self.relays.ask("down", far=name, down=False)
        await self.partner_process.ask("state", name=name, state=state)
        if state == "down":
            await self.relays.ask("down", far=name, down=True)

    async def drain(self, name: str, health: str = "DRAINING") -> None:
        """Publish a health state of an endpoint to every sender: `DRAINING`, `SERVING` or `DELETED`."""
        await self.discovery.ask("health", host=name, health=health)

    async def submit(self, name: str, message: str, cls: str, dest: int, left_ms: int = 8000) -> str:
        """Submit a message; returns the answer, `lost` without one, or `refused` without a connection."""
        arrival = Arrival(0, message, cls, dest, left_ms, (name,))
        answer: str = await self.clients.ask("submit", arrival=msgspec.to_builtins(arrival))
        return answer

    async def submit_planned(self, arrivals: Iterable[Arrival]) -> None:
        """Submit messages at their planned times, counted from now; returns once each is settled."""
        await self.clients.ask("run", arrivals=[msgspec.to_builtins(arrival) for arrival in arrivals])

    def entries(self) -> list[Entry]:
        """Return the entries of all books so far, in the order of time."""
        return read(self.books)

    async def wait_for_entries(
        self, done: Callable[[list[Entry]], bool], within_s: float = 30.0
    ) -> list[Entry]:
        """Wait until `done` holds for the entries of the books, and return them. Raises TimeoutError."""
        async with asyncio.timeout(within_s):
            while not done(entries := self.entries()):
                await asyncio.sleep(0.1)
        return entries


__all__ = ["Fleet", "FleetError", "Link", "Partner", "PartnerParameters", "Sender"]
