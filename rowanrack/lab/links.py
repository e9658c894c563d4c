"""TCP and UDP relays on loopback that inject faults, set separately for each direction of each link.

TCP: `silent` discards bytes and keeps the connection open, `stall` holds bytes back until the fault is
lifted, as a network does that recovers from an outage, `delay_ms` delays each chunk, and `cut_at` closes a
connection after that many bytes in this direction. UDP: `loss`, `double` and `reorder` are probabilities per
datagram; `silent` and `delay_ms` apply too. A link that is cut, or whose far end is down, refuses new TCP
connections, resets open ones and drops datagrams.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field, fields
from random import Random
from typing import Any, cast

from rowanrack.lab.role import CommandHandler
from rowanrack.lab.stand_in import reserve

Address = tuple[str, int]
DIRECTIONS = ("there", "back")
REORDER_DELAY_S = 0.03  # delay of a datagram that is reordered
HIGH_WATER_BYTES = 1 << 18  # pending bytes in one direction of a connection above which reading pauses


@dataclass(slots=True)
class Faults:
    """The faults of one direction of a link. `loss`, `double` and `reorder` are probabilities."""

    delay_ms: float = 0.0
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    silent: bool = False
    stall: bool = False
    cut_at: int = 0  # in bytes; 0: never


@dataclass(eq=False)
class Link:
    """Base class of TCP and UDP links."""

    name: str
    target: Address
    far: str  # name of the sender or endpoint at the far end
    source: Address | None
    rng: Random
    port: int = 0
    cut: bool = False
    down: bool = False  # the far end is down
    faults_by_direction: dict[str, Faults] = field(
        default_factory=lambda: {direction: Faults() for direction in DIRECTIONS}
    )

    @property
    def is_up(self) -> bool:
        """Whether the link forwards traffic."""
        return not (self.cut or self.down)

    async def apply_changes(self) -> None:
        """Apply the current faults and the current `cut` and `down` to open connections."""


class ConnectionSide(asyncio.Protocol):
    """One side of a relayed TCP connection; `direction` is that of the bytes that it receives."""

    def __init__(self, link: TcpLink, direction: str) -> None:
        self.link, self.direction = link, direction
        self.peer: ConnectionSide | None = None
        self.transport: asyncio.Transport | None = None
        self.pending: deque[bytes] = deque()  # b"" marks the end of the stream
        self.pending_bytes = self.forwarded_bytes = 0
        self.bytes_lost = self.connecting = False
        self.eof_forwarded = False  # the end of the stream has been forwarded
        self.stalled_chunks = 0  # chunks held back by a stall

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement the asyncio protocol."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.link.sides.add(self)
        if self.peer is None:
            self.connecting = True
            transport.pause_reading()
            self.link.track_task(asyncio.create_task(self._connect(transport)))

    async def _connect(self, transport: asyncio.Transport) -> None:
        loop, link = asyncio.get_running_loop(), self.link
        far = ConnectionSide(link, "back")
        far.peer = self
        try:
            await loop.create_connection(lambda: far, *link.target, local_addr=link.source)
        except OSError:
            transport.abort()
            return
        self.peer, self.connecting = far, False
        if transport.is_closing():
            far.abort()
        else:
            transport.resume_reading()

    def abort(self) -> None:
        """Reset the connection on this side."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Implement the asyncio protocol."""
        self._enqueue(data)

    def eof_received(self) -> bool:
        """Forward the end of the stream; the other direction stays open."""
        self._enqueue(b"")
        return True

    def _enqueue(self, data: bytes) -> None:
        faults = self.link.faults_by_direction[self.direction]
        if faults.silent:
            self.bytes_lost = True
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        if (
            self.pending_bytes > HIGH_WATER_BYTES
            and self.transport is not None
            and not self.transport.is_closing()
        ):
            self.transport.pause_reading()
        if faults.stall or self.stalled_chunks:
            self.stalled_chunks += 1
        elif faults.delay_ms:
            asyncio.get_running_loop().call_later(faults.delay_ms / 1000, self._forward_next)
        elif len(self.pending) == 1:
            self._forward_next()
        else:
            self.stalled_chunks += 1  # wait behind chunks that are still delayed
            self._release_stalled()

    def _release_stalled(self) -> None:
        """Forward the chunks that were held back, after those that were pending before."""
        count, self.stalled_chunks = self.stalled_chunks, 0
        for _ in range(count):
            asyncio.get_running_loop().call_later(
                self.link.faults_by_direction[self.direction].delay_ms / 1000, self._forward_next
            )

    def apply_changes(self) -> None:
        """Apply changed faults of the link to this connection."""
        faults = self.link.faults_by_direction[self.direction]
        if self.bytes_lost and not faults.silent:
            self.abort()  # bytes were discarded, so the stream cannot continue
        elif self.stalled_chunks and not faults.stall:
            self._release_stalled()

    def _forward_next(self) -> None:
        if not self.pending:
            return
        data = self.pending.popleft()
        self.pending_bytes -= len(data)
        peer, transport = self.peer, self.transport
        if transport is not None and self.pending_bytes <= HIGH_WATER_BYTES and not transport.is_closing():
            transport.resume_reading()
        if peer is None or peer.transport is None or peer.transport.is_closing():
            return
        if not data:
            self.eof_forwarded = True
            with suppress(OSError):  # the connection may have been reset meanwhile
                peer.transport.write_eof()
            # asyncio does not close a transport that has ended in both directions.
            if peer.eof_forwarded and transport is not None:
                transport.close()
                peer.transport.close()
            return
        cut_at = self.link.faults_by_direction[self.direction].cut_at
        if cut_at and self.forwarded_bytes + len(data) >= cut_at:
            peer.transport.write(data[: cut_at - self.forwarded_bytes])
            self.forwarded_bytes = cut_at
            # close() flushes what was written to the kernel before both sides see the end of the stream.
            peer.transport.close()
            self.abort()
            return
        self.forwarded_bytes += len(data)
        peer.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Implement the asyncio protocol."""
        self.link.sides.discard(self)
        if self.peer is not None and not self.link.faults_by_direction[self.direction].silent:
            self.peer.abort() if exc is not None else self.peer.close_after_flush(self)

    def close_after_flush(self, closed: ConnectionSide) -> None:
        """Close this side once all pending chunks of the side that has closed are forwarded."""
        if self.transport is None or self.transport.is_closing():
            return
        if closed.pending:
            asyncio.get_running_loop().call_later(0.01, self.close_after_flush, closed)
        else:
            self.transport.close()


@dataclass(eq=False)
class TcpLink(Link):
    """A relay for TCP connections."""

    sides: set[ConnectionSide] = field(default_factory=set)
    server: asyncio.Server | None = None
    reserved_socket: socket.socket | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def track_task(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a task until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self) -> None:
        """Reserve a port and listen on it."""
        self.reserved_socket = reserve()
        self.port = self.reserved_socket.getsockname()[1]
        await self.apply_changes()

    async def apply_changes(self) -> None:
        """Apply the current faults and the current `cut` and `down` to open connections."""
        if not self.is_up:
            if self.server is not None:
                self.server.close()
                self.server = None
            for side in list(self.sides):
                side.abort()
            await asyncio.sleep(0)  # aborted sockets close in the next iteration of the event loop
        elif self.server is None:
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                lambda: ConnectionSide(self, "there"), "127.0.0.1", self.port
            )
        for side in list(self.sides):
            side.apply_changes()


class UdpSocket(asyncio.DatagramProtocol):
    """A UDP socket of a relay."""

    def __init__(self) -> None:
        self.links: list[UdpLink] = []
        self.direction = "there"
        self.last_source: Address | None = None  # the last source address; replies go there

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement the asyncio protocol."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Implement the asyncio protocol."""
        self.last_source = addr
        for link in self.links:
            link.forward(data, self.direction)


async def open_udp_socket() -> UdpSocket:
    """Open a UDP socket on a free port."""
    loop = asyncio.get_running_loop()
    _, port = await loop.create_datagram_endpoint(UdpSocket, ("127.0.0.1", 0))
    return port


@dataclass(eq=False)
class UdpLink(Link):
    """A relay for datagrams: they arrive at the near port and leave from a port that only this link uses."""

    near_socket: UdpSocket = field(default_factory=UdpSocket)
    received_count: int = 0  # datagrams received, in both directions

    async def open(self) -> None:
        """Open the socket towards the far side; `port` is the near port."""
        self.far_socket = await open_udp_socket()
        self.far_socket.links, self.far_socket.direction = [self], "back"
        self.near_socket.links.append(self)
        self.port = self.near_socket.transport.get_extra_info("sockname")[1]

    @property
    def source_port(self) -> int:
        """The source port that the far side sees."""
        return int(self.far_socket.transport.get_extra_info("sockname")[1])

    def forward(self, data: bytes, direction: str) -> None:
        """Forward a datagram in one direction, subject to its faults."""
        faults = self.faults_by_direction[direction]
        self.received_count += 1
        if not self.is_up or faults.silent or self.rng.random() < faults.loss:
            return
        delay_s = faults.delay_ms / 1000
        if self.rng.random() < faults.reorder:
            delay_s += REORDER_DELAY_S
        copies = 1 + (self.rng.random() < faults.double)
        for _ in range(copies):
            if delay_s:
                asyncio.get_running_loop().call_later(delay_s, self._send, data, direction)
            else:
                self._send(data, direction)

    def _send(self, data: bytes, direction: str) -> None:
        if direction == "there":
            self.far_socket.transport.sendto(data, self.target)
        elif self.near_socket.last_source is not None:
            self.near_socket.transport.sendto(data, self.near_socket.last_source)


class Relays:
    """All links of a fleet, by name."""

    def __init__(self, seed: str = "0") -> None:
        self.seed = seed
        self.links: dict[str, TcpLink | UdpLink] = {}
        self.hub_sockets: dict[str, UdpSocket] = {}

    async def execute(self, command: str, arguments: dict[str, Any]) -> Any:
        """Execute one command of the lab."""
        match command:
            case "open":
                return [await self.open(**link_spec) for link_spec in arguments["links"]]
            case "set":
                for link in self._named(arguments["names"]):
                    await self._set(link, arguments["way"], arguments["faults"])
            case "cut":
                for link in self._named(arguments["names"]):
                    link.cut = arguments["cut"]
                    if not link.cut:
                        link.faults_by_direction = {direction: Faults() for direction in DIRECTIONS}
                    await link.apply_changes()
            case "down":
                for link in list(self.links.values()):
                    if link.far == arguments["far"]:
                        link.down = arguments["down"]
                        await link.apply_changes()
            case _:
                raise ValueError("unknown command")
        return None

    def _named(self, names: list[str]) -> list[TcpLink | UdpLink]:
        return [self.links[name] for name in names]

    async def open(
        self, name: str, to: list[Any], far: str = "", kind: str = "tcp", source: str = "", hub: str = ""
    ) -> list[int]:
        """Open a link; returns its near port and, for UDP, the source port that the far side sees."""
        link_fields = (name, (str(to[0]), int(to[1])), far, (source, 0) if source else None)
        rng = Random(f"{self.seed} {name}")
        if kind == "tcp":
            tcp = self.links[name] = TcpLink(*link_fields, rng)
            await tcp.open()
            return [tcp.port, 0]
        if not hub or hub not in self.hub_sockets:
            near_socket = await open_udp_socket()
            self.hub_sockets[hub or name] = near_socket
        udp = self.links[name] = UdpLink(*link_fields, rng, near_socket=self.hub_sockets[hub or name])
        await udp.open()
        return [udp.port, udp.source_port]

    @staticmethod
    async def _set(link: Link, way: str, faults: dict[str, Any]) -> None:
        known = {f.name for f in fields(Faults)}
        if unknown := sorted(faults.keys() - known):
            raise ValueError(f"unknown fault {unknown[0]}")
        for direction in DIRECTIONS if way == "both" else (way,):
            for key, value in faults.items():
                setattr(link.faults_by_direction[direction], key, value)
        await link.apply_changes()


def role(seed: str = "0") -> CommandHandler:
    """Return the command handler that the hosting process runs."""
    return Relays(seed).execute
