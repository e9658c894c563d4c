"""A fleet of real senders among stand-ins, its links, and what can be done to each. See docs/lab.md."""

from __future__ import annotations

import asyncio
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
from rowanrack.lab.partners import Figures
from rowanrack.lab.plan import Arrival
from rowanrack.lab.role import ROOT, Role
from rowanrack.lab.scenario import GRADES, Grade
from rowanrack.lab.stand_in import reserve, sender_address
from rowanrack.net.http import Call, HttpClientConnection
from rowanrack.net.stream import Stream
from rowanrack.net.timing import after

SERVING_S = 60.0  # for a sender to serve, with many starting at once
TRIES = 3  # starts that find a port taken
MGMT_S = 10.0
HOST = "127.0.0.1"

GRADE = """
[[settings.grades]]
name = "{grade.name}"
slo_us = {slo_us}
deadline_us = {deadline_us}
worth = 1.0
late_worth = {grade.late_worth}
effect = "{grade.effect}"
"""

SETTINGS = """
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
    senders: int, grades: Sequence[Grade] = GRADES, slots: int = 16, held: int = 200, notes: bool = False
) -> str:
    """The settings that all senders of a fleet have, as TOML."""
    text = "".join(
        GRADE.format(grade=g, slo_us=1000 * g.slo_ms, deadline_us=1000 * g.deadline_ms) for g in grades
    )
    on = "true" if notes else "false"
    return SETTINGS.format(senders=senders, grades=text, slots=slots, held=held, notes=on)


@dataclass(frozen=True)
class Partner:
    """A destination and its endpoints, named NAME-0 and on."""

    name: str
    figures: Figures
    endpoints: int = 2

    @property
    def places(self) -> list[str]:
        """The names of its endpoints."""
        return [f"{self.name}-{n}" for n in range(self.endpoints)]


class FleetError(RuntimeError):
    """A sender did not start, or a line of its log did not come; the text names it."""


@dataclass(frozen=True)
class Link:
    """Links from one place to another, or several such; `rowanrack.lab.links` says what the faults do."""

    fleet: Fleet
    names: tuple[str, ...]
    who: str  # the sender that a fault of it strikes, in the books

    async def cut(self) -> None:
        """New connections are refused and open ones reset, datagrams are dropped, both ways."""
        self.fleet.note("fault", self.who, "link")
        await self.fleet.relays.ask("cut", names=self.names, cut=True)

    async def heal(self) -> None:
        """As at first: no fault."""
        await self.fleet.relays.ask("cut", names=self.names, cut=False)
        self.fleet.note("over", self.who, "link")

    async def set(self, way: str = "both", **faults: float | bool) -> None:
        """Set some faults of `there`, `back` or `both` ways; the others stay."""
        self.fleet.note("fault", self.who, "link")
        await self.fleet.relays.ask("set", names=self.names, way=way, faults=faults)


@dataclass(eq=False)
class Sender:
    """One sender: a process, its folder and its ports."""

    fleet: Fleet
    name: str
    number: int
    folder: Path
    held: dict[str, socket.socket] = field(default_factory=dict)
    udp_ports: dict[str, int] = field(default_factory=dict)
    child: subprocess.Popen[bytes] | None = None
    lines: deque[str] = field(default_factory=lambda: deque(maxlen=5000))
    serving_s: float = 0.0  # that the last start took
    _news: asyncio.Condition = field(default_factory=asyncio.Condition)
    _reading: asyncio.Task[None] | None = None
    _over: bool = True  # all that its process wrote is read

    @property
    def state(self) -> Path:
        """The folder of its journal."""
        return self.folder / "state"

    def port(self, what: str) -> int:
        """A port of its own for that purpose, reserved at first use and kept while the fleet lasts."""
        if what not in self.held:
            self.held[what] = reserve()
        return int(self.held[what].getsockname()[1])

    def port_udp(self, what: str) -> int:
        """The same for datagrams: one that is free now."""
        if what not in self.udp_ports:
            with reserve(socket.SOCK_DGRAM) as free:
                self.udp_ports[what] = int(free.getsockname()[1])
        return self.udp_ports[what]

    @property
    def alive(self) -> bool:
        """Whether its process runs, or hangs."""
        return self.child is not None and self.child.poll() is None

    async def start(self, empty: bool = False) -> None:
        """Start it, with an empty folder if told so; returns once it serves. Raises FleetError."""
        if empty:
            shutil.rmtree(self.state, ignore_errors=True)
        self.state.mkdir(parents=True, exist_ok=True)
        if empty:
            self.fleet.note("empty", self.name)
        config = self.folder / "site.toml"
        config.write_text(self.fleet.site(self))
        loop = asyncio.get_running_loop()
        began = loop.time()
        for _ in range(TRIES):
            self._launch(config)
            if await self._serves():
                self.serving_s = loop.time() - began
                await self.fleet.relays.ask("down", far=self.name, down=False)
                self.fleet.note("up", self.name)
                return
            await self._gone()
        raise FleetError(f"{self.name}: did not start: {self.lines[-1] if self.lines else 'no word'}")

    def _launch(self, config: Path) -> None:
        command = [sys.executable, "-m", "rowanrack"]
        if self.fleet.clocks:
            command = [sys.executable, "-m", "rowanrack.lab.skewed", str(self.clock_file)]
        self.lines.clear()
        self._over = False
        self.child = subprocess.Popen(
            [*command, "serve", "--config", str(config)],
            stdin=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            cwd=ROOT,
            start_new_session=True,
        )
        self._reading = asyncio.create_task(self._read(self.child))

    async def _read(self, child: subprocess.Popen[bytes]) -> None:
        """Keep its log, here and in its folder."""
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), child.stderr)
        with (self.folder / "log").open("ab") as log:
            while line := await reader.readline():
                log.write(line)
                async with self._news:
                    self.lines.append(line.decode(errors="replace").rstrip())
                    self._news.notify_all()
        async with self._news:
            self._over = True
            self._news.notify_all()

    async def _serves(self) -> bool:
        try:
            await self.logged("serving;", SERVING_S)
        except FleetError:
            return False
        return True

    async def logged(self, text: str, within_s: float = 30.0) -> str:
        """The first line with the text that its process has logged since its start, once there is one."""
        found: list[str] = []

        def there() -> bool:
            found[:] = [line for line in self.lines if text in line]
            return bool(found) or self._over

        async with self._news:
            try:
                await asyncio.wait_for(self._news.wait_for(there), within_s)
            except TimeoutError:
                raise FleetError(f"{self.name}: logged no {text!r} in {within_s:.0f} s") from None
        if not found:
            raise FleetError(f"{self.name}: ended without logging {text!r}")
        return found[0]

    async def _gone(self) -> None:
        """End it if it still runs, and wait until all that it wrote is read."""
        if self.child is not None:
            self.child.kill()
            self.child.wait()
            assert self._reading is not None
            await self._reading

    async def kill(self) -> None:
        """SIGKILL; returns once it is gone and connections to it are refused."""
        self.fleet.note("down", self.name, "kill")
        await self._gone()
        await self.fleet.relays.ask("down", far=self.name, down=True)

    def hang(self) -> None:
        """SIGSTOP: the machine hangs, its connections stay."""
        self.fleet.note("down", self.name, "hang")
        os.kill(self.pid, signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED)

    def resume(self) -> None:
        """SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)
        self.fleet.note("up", self.name, "hang")

    def disk_full(self) -> None:
        """From now on no file of it grows: a write past the end of its journal, or of its log, fails."""
        self.fleet.note("fault", self.name, "disk")
        sizes = (f.stat().st_size for f in self.state.iterdir() if f.suffix in (".log", ".db"))
        self._file_limit(min((size for size in sizes if size), default=0))

    def disk_room(self) -> None:
        """There is room again."""
        self._file_limit(None)
        self.fleet.note("over", self.name, "disk")

    def _file_limit(self, most: int | None) -> None:
        _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (hard if most is None else most, hard))

    @property
    def clock_file(self) -> Path:
        """Where its clock's offset stands."""
        return self.folder / "clock"

    def clock(self, ahead_s: float) -> None:
        """Its clock of the day is so far ahead from now on, or behind. Raises FleetError without `clocks`."""
        if not self.fleet.clocks:
            raise FleetError("the fleet was started without `clocks`")
        self.fleet.note("fault" if ahead_s else "over", self.name, "clock")
        skewed.write(self.clock_file, int(ahead_s * 1_000_000))

    @property
    def pid(self) -> int:
        """Of its process."""
        assert self.child is not None
        return self.child.pid

    def memory(self) -> tuple[int, int]:
        """RSS and PSS in bytes."""
        lines = Path(f"/proc/{self.pid}/smaps_rollup").read_text().splitlines()
        found = {line.split()[0]: 1024 * int(line.split()[1]) for line in lines[1:]}
        return found["Rss:"], found["Pss:"]

    def cpu_s(self) -> float:
        """Processor time that its process has used."""
        user, system = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def mgmt(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """An operator's call; its status and body. Raises OSError, TimeoutError and net.http's errors."""
        async with asyncio.timeout(MGMT_S):
            stream = await Stream.connect(HOST, self.port("mgmt"))
            try:
                reply = await HttpClientConnection(stream, "mgmt", 1 << 20, after).call(
                    Call(method, path, (), body)
                )
            finally:
                stream.abort()
        return reply.status, reply.body


class Fleet(AsyncExitStack):
    """Senders s0 and on, the stand-ins, and all links between them; ends what it started, whatever happens.

    `extra(fleet, sender)` is text for the end of a sender's TOML file. `mesh` names ports of the senders' own
    for which there is a TCP link for each ordered pair that is `relayed(near, far)`: others meet without one,
    and no fault can lie between them. `notes` gives them UDP links for notes, and [peers].
    `told` takes the place of the settings that `settings(senders)` gives.
    """

    def __init__(
        self,
        folder: Path,
        senders: int = 8,
        partners: Sequence[Partner] = (),
        *,
        told: str = "",
        extra: Callable[[Fleet, Sender], str] = lambda fleet, sender: "",
        mesh: Sequence[str] = (),
        relayed: Callable[[str, str], bool] = lambda near, far: True,
        notes: bool = False,
        clocks: bool = False,
        wave: int = 4,
        disk_mb: float = 4.0,
        seed: str = "1",
    ) -> None:
        super().__init__()
        self.folder, self.partners = folder.resolve(), tuple(partners)
        self.settings, self.extra = told or settings(senders, notes=notes), extra
        self.relayed = relayed
        self.mesh, self.notes, self.clocks, self.wave = tuple(mesh), notes, clocks, wave
        self.disk_mb, self.seed = disk_mb, seed
        self.books = self.folder / "books"
        self.senders: dict[str, Sender] = {}
        for number in range(senders):
            name = f"s{number}"
            self.senders[name] = Sender(self, name, number, self.folder / name)
        self._ports: dict[str, tuple[int, int]] = {}  # of links: the near port, and where UDP is seen from
        self.discovery_port = 0

    async def __aenter__(self) -> Fleet:
        await super().__aenter__()
        try:
            await self._begin()
        except BaseException:
            await self.aclose()
            raise
        return self

    async def _begin(self) -> None:
        self.books.mkdir(parents=True)
        self.book = Book(self.books / "lab.jsonl")
        self.callback(self.book.close)
        self.book.add("clock", value=time.time_ns() // 1000)  # what the books' is then
        self.relays = await self._role("links", self.seed)
        self.town = await self._role("partners", str(self.books / "partners.jsonl"), self.seed)
        self.discovery = await self._role("discovery", str(self.books / "discovery.jsonl"))
        self.clients = await self._role("clients", str(self.books / "clients.jsonl"))
        self.discovery_port = await self.discovery.ask("open")
        told = [{"figures": msgspec.to_builtins(p.figures), "endpoints": p.places} for p in self.partners]
        names = list(self.senders)
        self.endpoints: dict[str, int] = await self.town.ask("open", partners=told, senders=names)
        self.push_async_callback(self._end_senders)
        for sender in self.senders.values():
            sender.folder.mkdir()
            skewed.write(sender.clock_file, 0)
        await self._open_links()
        await self._list()
        reach = {name: [HOST, self._ports[f"clients>{name}"][0]] for name in self.senders}
        await self.clients.ask("open", senders=reach)
        await self._start_senders()

    async def _role(self, name: str, *given: str) -> Role:
        role = Role(name)
        await role.start(*given)
        self.push_async_callback(role.end)
        return role

    async def _open_links(self) -> None:
        """Those that are known from the start: all."""
        wanted: list[dict[str, Any]] = []
        for name, sender in self.senders.items():
            source = sender_address(sender.number)
            ends = {"discovery": self.discovery_port, **self.endpoints}
            wanted.append({"name": f"clients>{name}", "to": [HOST, sender.port("clients")], "far": name})
            for end, port in ends.items():
                wanted.append({"name": f"{name}>{end}", "to": [HOST, port], "far": end, "source": source})
            for other in self.senders.values():
                pair = {"name": f"{name}>{other.name}", "far": other.name}
                between = other is not sender and self.relayed(name, other.name)
                for what in self.mesh if between else ():
                    named = pair | {"name": f"{pair['name']} {what}", "source": source}
                    wanted.append(named | {"to": [HOST, other.port(what)]})
                if self.notes and other is not sender:
                    named = pair | {"name": f"{pair['name']} notes", "kind": "udp", "hub": name}
                    wanted.append(named | {"to": [HOST, other.port_udp("notes")]})
        opened = await self.relays.ask("open", links=wanted)
        self._ports = {one["name"]: tuple(ports) for one, ports in zip(wanted, opened, strict=True)}

    async def _list(self) -> None:
        hosts = [
            {"host": place, "site": "a", "class": "lab", "block": partner.figures.dest, "health": "SERVING"}
            | {"share": partner.figures.rate / partner.endpoints * partner.figures.listed, "born_ms": 0}
            for partner in self.partners
            for place in partner.places
        ]
        dials = {name: {p: self.address(name, p) for p in self.endpoints} for name in self.senders}
        await self.discovery.ask("lists", hosts=hosts, dials=dials)

    async def _start_senders(self) -> None:
        """In waves: each start takes most of a core."""
        gate = asyncio.Semaphore(self.wave)

        async def start(sender: Sender) -> None:
            async with gate:
                await sender.start()

        async with asyncio.TaskGroup() as group:
            for sender in self.senders.values():
                group.create_task(start(sender))

    async def _end_senders(self) -> None:
        for sender in self.senders.values():
            if sender.child is not None:
                sender.child.kill()
        for sender in self.senders.values():
            await sender._gone()
            for held in sender.held.values():
                held.close()

    def address(self, near: str, far: str, what: str = "") -> str:
        """The address that one side must use for the other, so that it goes over their link, if any."""
        link = f"{near}>{far} {what}".rstrip()
        if link not in self._ports and what in self.mesh:
            return f"{HOST}:{self.senders[far].port(what)}"
        return f"{HOST}:{self._ports[link][0]}"

    def link(self, near: str, far: str) -> Link:
        """All links of an ordered pair of senders; far may be an endpoint or `discovery`, near `clients`."""
        named = f"{near}>{far}"
        names = tuple(name for name in self._ports if name.split(" ")[0] == named)
        if not names:
            raise FleetError(f"no link {named}")
        return Link(self, names, near if near in self.senders else far)

    def links_of(self, name: str) -> Link:
        """All links of a sender: its machine on the network."""
        names = tuple(link for link in self._ports if name in link.split(" ")[0].split(">"))
        return Link(self, names, name)

    def links_to(self, place: str) -> Link:
        """All links to an endpoint."""
        return Link(self, tuple(link for link in self._ports if link.endswith(f">{place}")), place)

    def site(self, sender: Sender) -> str:
        """A sender's TOML file."""
        text = [
            f'name = "{sender.name}"',
            f"state = {json.dumps(str(sender.state))}",
            f"disk_mb = {self.disk_mb}",
            "sockets = 1024",
            f'mgmt = "{HOST}:{sender.port("mgmt")}"',
            self.settings,
            "[platform]",
            f'listen = "{HOST}:{sender.port("clients")}"',
            f'discovery = "{self.address(sender.name, "discovery")}"',
        ]
        if self.notes:
            others = [name for name in self.senders if name != sender.name]
            peers = [f"{HOST}:{self._ports[f'{other}>{sender.name} notes'][1]}" for other in others]
            all_at = self.address(sender.name, others[0], "notes")
            listen = f"{HOST}:{sender.port_udp('notes')}"
            text += ["[peers]", f'listen = "{listen}"', f'all_at = "{all_at}"']
            text.append(f"peers = {json.dumps(peers)}")
        return "\n".join([*text, self.extra(self, sender), ""])

    def cpu_s(self) -> float:
        """Processor time that the senders' processes of now have used."""
        return sum(sender.cpu_s() for sender in self.senders.values() if sender.alive)

    def note(self, what: str, who: str, note: str = "") -> None:
        """An entry in the lab's own book."""
        self.book.add(what, who, note=note)

    # Partners and clients.

    async def endpoint(self, name: str, state: str) -> None:
        """Turn an endpoint `up`, `down`, `shut`, `failing` or `silent`; its links refuse while it is down."""
        if state != "down":
            await self.relays.ask("down", far=name, down=False)
        await self.town.ask("state", name=name, state=state)
        if state == "down":
            await self.relays.ask("down", far=name, down=True)

    async def drain(self, name: str, health: str = "DRAINING") -> None:
        """Tell every sender that an endpoint drains, or is `SERVING` again, or `DELETED`."""
        await self.discovery.ask("health", host=name, health=health)

    async def submit(self, name: str, message: str, cls: str, dest: int, left_ms: int = 8000) -> str:
        """Hand one message to a sender; its answer, or `lost` without one, `refused` without a connection."""
        arrival = Arrival(0, message, cls, dest, left_ms, (name,))
        told: str = await self.clients.ask("submit", arrival=msgspec.to_builtins(arrival))
        return told

    async def run(self, arrivals: Iterable[Arrival]) -> None:
        """Hand messages in as planned, from now on (`plan.Arrival`); returns once each is settled there."""
        await self.clients.ask("run", arrivals=[msgspec.to_builtins(one) for one in arrivals])

    def entries(self) -> list[Entry]:
        """All books so far."""
        return read(self.books)

    async def until(self, done: Callable[[list[Entry]], bool], within_s: float = 30.0) -> list[Entry]:
        """Wait until the books say so; returns them. Raises TimeoutError."""
        async with asyncio.timeout(within_s):
            while not done(entries := self.entries()):
                await asyncio.sleep(0.1)
        return entries


__all__ = ["Figures", "Fleet", "FleetError", "Link", "Partner", "Sender"]
