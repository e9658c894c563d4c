"""Links that can fail: relays on loopback for TCP and UDP, each way of each link with faults of its own.

TCP: `silent` swallows bytes and keeps the connection, `stall` holds them until it is lifted, as a network
that comes back does, `delay_ms` lets each piece come so much later, `cut_at` ends a connection behind that
many bytes of this way. UDP: `loss`, `double` and `reorder` are chances for a datagram, beside `silent` and
`delay_ms`. A link that is cut, or whose far end is down, refuses new TCP connections and resets open ones,
and drops datagrams.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field, fields
from random import Random
from typing import Any, cast

from rowanrack.lab.role import Do
from rowanrack.lab.stand_in import reserve

Address = tuple[str, int]
WAYS = ("there", "back")
OVERTAKEN_S = 0.03  # for which a datagram that others overtake is held back
HIGH = 1 << 18  # bytes that wait in one way of a connection, before reading pauses


@dataclass(slots=True)
class Faults:
    """One way of a link. Chances lie in 0 to 1."""

    delay_ms: float = 0.0
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    silent: bool = False
    stall: bool = False
    cut_at: int = 0  # 0: nowhere


@dataclass(eq=False)
class Link:
    """What both kinds of links have."""

    name: str
    to: Address
    far: str  # whose side the far end is
    source: Address | None
    rng: Random
    port: int = 0
    cut: bool = False
    down: bool = False  # the far end is
    ways: dict[str, Faults] = field(default_factory=lambda: {way: Faults() for way in WAYS})

    @property
    def passes(self) -> bool:
        """Whether anything can go over it."""
        return not (self.cut or self.down)

    async def changed(self) -> None:
        """Take over what has been set."""


class Half(asyncio.Protocol):
    """One side of a TCP connection over a link; `out` is the way of what it receives."""

    def __init__(self, link: TcpLink, way: str) -> None:
        self.link, self.way = link, way
        self.other: Half | None = None
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[bytes] = deque()  # b"": the end
        self.bytes_waiting = self.passed = 0
        self.spoilt = self.connecting = False
        self.ended = False  # its end has been passed on
        self.stalled = 0  # pieces held since a stall began

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.link.halves.add(self)
        if self.other is None:
            self.connecting = True
            transport.pause_reading()
            self.link.keep(asyncio.create_task(self._connect(transport)))

    async def _connect(self, transport: asyncio.Transport) -> None:
        loop, link = asyncio.get_running_loop(), self.link
        far = Half(link, "back")
        far.other = self
        try:
            await loop.create_connection(lambda: far, *link.to, local_addr=link.source)
        except OSError:
            transport.abort()
            return
        self.other, self.connecting = far, False
        if transport.is_closing():
            far.abort()
        else:
            transport.resume_reading()

    def abort(self) -> None:
        """Reset this side."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        self._feed(data)

    def eof_received(self) -> bool:
        """Called by asyncio; the other way stays open."""
        self._feed(b"")
        return True

    def _feed(self, data: bytes) -> None:
        faults = self.link.ways[self.way]
        if faults.silent:
            self.spoilt = True
            return
        self.waiting.append(data)
        self.bytes_waiting += len(data)
        if self.bytes_waiting > HIGH and self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
        if faults.stall or self.stalled:
            self.stalled += 1
        elif faults.delay_ms:
            asyncio.get_running_loop().call_later(faults.delay_ms / 1000, self._pass_on)
        elif len(self.waiting) == 1:
            self._pass_on()
        else:
            self.stalled += 1  # behind pieces that are still delayed
            self._unstall()

    def _unstall(self) -> None:
        """What was held goes on, behind what was there before."""
        count, self.stalled = self.stalled, 0
        for _ in range(count):
            asyncio.get_running_loop().call_later(self.link.ways[self.way].delay_ms / 1000, self._pass_on)

    def changed(self) -> None:
        """The faults of the link have changed."""
        faults = self.link.ways[self.way]
        if self.spoilt and not faults.silent:
            self.abort()  # it lacks bytes: no connection goes on so
        elif self.stalled and not faults.stall:
            self._unstall()

    def _pass_on(self) -> None:
        if not self.waiting:
            return
        data = self.waiting.popleft()
        self.bytes_waiting -= len(data)
        other, transport = self.other, self.transport
        if transport is not None and self.bytes_waiting <= HIGH and not transport.is_closing():
            transport.resume_reading()
        if other is None or other.transport is None or other.transport.is_closing():
            return
        if not data:
            self.ended = True
            with suppress(OSError):  # reset meanwhile
                other.transport.write_eof()
            if other.ended and transport is not None:  # asyncio keeps what has ended both ways open
                transport.close()
                other.transport.close()
            return
        cut_at = self.link.ways[self.way].cut_at
        if cut_at and self.passed + len(data) >= cut_at:
            other.transport.write(data[: cut_at - self.passed])
            self.passed = cut_at
            # What was written reaches the kernel first; then both sides see the end.
            other.transport.close()
            self.abort()
            return
        self.passed += len(data)
        other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio."""
        self.link.halves.discard(self)
        if self.other is not None and not self.link.ways[self.way].silent:
            self.other.abort() if exc is not None else self.other.close_behind(self)

    def close_behind(self, ended: Half) -> None:
        """The other side has closed: this one does once what waits for it has gone out."""
        if self.transport is None or self.transport.is_closing():
            return
        if ended.waiting:
            asyncio.get_running_loop().call_later(0.01, self.close_behind, ended)
        else:
            self.transport.close()


@dataclass(eq=False)
class TcpLink(Link):
    """A relay for connections."""

    halves: set[Half] = field(default_factory=set)
    server: asyncio.Server | None = None
    held: socket.socket | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def keep(self, task: asyncio.Task[None]) -> None:
        """Keep a task until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self) -> None:
        """Take a port, and listen."""
        self.held = reserve()
        self.port = self.held.getsockname()[1]
        await self.changed()

    async def changed(self) -> None:
        """Take over what has been set."""
        if not self.passes:
            if self.server is not None:
                self.server.close()
                self.server = None
            for half in list(self.halves):
                half.abort()
            await asyncio.sleep(0)  # sockets close in the next turn: whoever asked sees them closed
        elif self.server is None:
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(lambda: Half(self, "there"), "127.0.0.1", self.port)
        for half in list(self.halves):
            half.changed()


class Port(asyncio.DatagramProtocol):
    """A UDP socket of the relay."""

    def __init__(self) -> None:
        self.links: list[UdpLink] = []
        self.way = "there"
        self.last: Address | None = None  # who was heard last: answers go there

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Called by asyncio."""
        self.last = addr
        for link in self.links:
            link.received(data, self.way)


async def open_port() -> Port:
    """A UDP socket on a free port."""
    loop = asyncio.get_running_loop()
    _, port = await loop.create_datagram_endpoint(Port, ("127.0.0.1", 0))
    return port


@dataclass(eq=False)
class UdpLink(Link):
    """A relay for datagrams: those that come at the near port leave from a port of this link alone."""

    near: Port = field(default_factory=Port)
    counted: int = 0  # datagrams that have come to it

    async def open(self) -> None:
        """Take a port for the far side; `port` is the near one."""
        self.out = await open_port()
        self.out.links, self.out.way = [self], "back"
        self.near.links.append(self)
        self.port = self.near.transport.get_extra_info("sockname")[1]

    @property
    def seen_from(self) -> int:
        """The port from which the far side sees them come."""
        return int(self.out.transport.get_extra_info("sockname")[1])

    def received(self, data: bytes, way: str) -> None:
        """A datagram has come on one way."""
        faults = self.ways[way]
        self.counted += 1
        if not self.passes or faults.silent or self.rng.random() < faults.loss:
            return
        late = faults.delay_ms / 1000
        if self.rng.random() < faults.reorder:
            late += OVERTAKEN_S
        copies = 1 + (self.rng.random() < faults.double)
        for _ in range(copies):
            if late:
                asyncio.get_running_loop().call_later(late, self._send, data, way)
            else:
                self._send(data, way)

    def _send(self, data: bytes, way: str) -> None:
        if way == "there":
            self.out.transport.sendto(data, self.to)
        elif self.near.last is not None:
            self.near.transport.sendto(data, self.near.last)


class Relays:
    """All links of a fleet, by name."""

    def __init__(self, seed: str = "0") -> None:
        self.seed = seed
        self.links: dict[str, TcpLink | UdpLink] = {}
        self.hubs: dict[str, Port] = {}

    async def do(self, do: str, given: dict[str, Any]) -> Any:
        """One command of the lab."""
        match do:
            case "open":
                return [await self.open(**one) for one in given["links"]]
            case "set":
                for link in self._named(given["names"]):
                    await self._set(link, given["way"], given["faults"])
            case "cut":
                for link in self._named(given["names"]):
                    link.cut = given["cut"]
                    if not link.cut:
                        link.ways = {way: Faults() for way in WAYS}
                    await link.changed()
            case "down":
                for link in list(self.links.values()):
                    if link.far == given["far"]:
                        link.down = given["down"]
                        await link.changed()
            case _:
                raise ValueError("unknown command")
        return None

    def _named(self, names: list[str]) -> list[TcpLink | UdpLink]:
        return [self.links[name] for name in names]

    async def open(
        self, name: str, to: list[Any], far: str = "", kind: str = "tcp", source: str = "", hub: str = ""
    ) -> list[int]:
        """Open a link; its near port, and with UDP the one from which the far side sees it come."""
        given = (name, (str(to[0]), int(to[1])), far, (source, 0) if source else None)
        rng = Random(f"{self.seed} {name}")
        if kind == "tcp":
            tcp = self.links[name] = TcpLink(*given, rng)
            await tcp.open()
            return [tcp.port, 0]
        if not hub or hub not in self.hubs:
            near = await open_port()
            self.hubs[hub or name] = near
        udp = self.links[name] = UdpLink(*given, rng, near=self.hubs[hub or name])
        await udp.open()
        return [udp.port, udp.seen_from]

    @staticmethod
    async def _set(link: Link, way: str, faults: dict[str, Any]) -> None:
        known = {f.name for f in fields(Faults)}
        if unknown := sorted(faults.keys() - known):
            raise ValueError(f"unknown fault {unknown[0]}")
        for one in WAYS if way == "both" else (way,):
            for key, value in faults.items():
                setattr(link.ways[one], key, value)
        await link.changed()


def role(seed: str = "0") -> Do:
    """What the hosting process runs."""
    return Relays(seed).do
