"""Stand-ins for partners: endpoints with limits, queues, capacity, told waits, and a cold return.

How much an endpoint bears is told to nobody; what it saw and did stands in its book.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from rowanrack.lab.books import Book, now_us
from rowanrack.lab.role import Do
from rowanrack.lab.stand_in import HttpServer, sender_address
from rowanrack.net.http import Reply, Request
from rowanrack.net.stream import Stream

SECOND_US = 1_000_000


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """The true figures of one partner: rates in calls a second, times in milliseconds."""

    dest: int
    rate: float = 50.0  # that all senders together may call, over all endpoints,
    listed: bool = True  # and whether discovery tells it
    told: float = 1.0  # share of refusals that tell a wait
    wait_ms: tuple[int, int] = (300, 800)
    width: int = 8  # calls that an endpoint serves at once
    queue: int = 16
    service_ms: tuple[int, int] = (20, 60)
    cold_share: float = 0.2
    ramp_ms: int = 6000
    overload: float = 2.0
    fall_ms: int = 2000

    def bears(self, endpoints: int) -> int:
        """Calls that an endpoint bears in the fall time when it is back from an outage."""
        return int(self.overload * self.cold_share * self.rate / endpoints * self.fall_ms / 1000)


class Partner:
    """One destination: its limit holds for all endpoints together."""

    def __init__(self, figures: Figures, endpoints: int) -> None:
        self.figures, self.endpoints = figures, endpoints
        self.most = max(2.0, figures.rate)
        self.tokens, self.filled_at = self.most, now_us()

    def take(self, now: int) -> int:
        """0 if a call is within the limit, else the microseconds until there is room."""
        rate = self.figures.rate
        self.tokens = min(self.most, self.tokens + rate * (now - self.filled_at) / SECOND_US)
        self.filled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return int((1 - self.tokens) / rate * SECOND_US)


class Endpoint(HttpServer):
    """One instance of a partner: up, down (refuses connections), shut (refuses calls), failing or silent."""

    def __init__(self, name: str, partner: Partner, town: Town) -> None:
        super().__init__()
        self.name, self.partner, self.town = name, partner, town
        self.state, self.cold_from, self.slow = "up", 0, 1.0
        self.busy, self.queue = 0, list[asyncio.Future[None]]()
        self.rng = Random(f"{town.seed} {name}")

    def _add(self, what: str, who: str, message: str, value: int = 0, note: str = "") -> None:
        self.town.book.add(what, who, message, self.name, self.partner.figures.dest, value, note)

    async def turn(self, state: str) -> None:
        """An outage begins, or is over: it comes back cold."""
        self.state = state
        if state == "down":
            self.shut()
        elif state == "up":
            self.cold_from = now_us()
        if state != "down" and self.server is None:
            await self.open()
        self._add("state", "", "", self.partner.figures.bears(self.partner.endpoints), state)

    def _share(self) -> float:
        """What part of its capacity it has."""
        figures = self.partner.figures
        gone = (now_us() - self.cold_from) / (1000 * figures.ramp_ms)
        return min(1.0, figures.cold_share + (1 - figures.cold_share) * gone) if self.cold_from else 1.0

    async def _talk(self, stream: Stream, peer: str) -> None:
        self._add("connected", self.town.names.get(peer, peer), "")
        await super()._talk(stream, peer)

    async def answer(self, request: Request, peer: str) -> Reply | None:
        """One call."""
        who, message = self.town.names.get(peer, peer), request.headers.get("x-txn", "")
        self._add("call", who, message)
        reply = await self._call(who, message)
        wait_ms = int(reply.headers.get("x-retry-in-ms", "0"))
        self._add("answer", who, message, 1000 * wait_ms, str(reply.status))
        return reply

    async def _call(self, who: str, message: str) -> Reply:
        figures = self.partner.figures
        if self.state == "silent":
            await asyncio.Event().wait()
        if self.state == "failing":
            return Reply(500, {})
        room_us = 1000 * figures.wait_ms[1] if self.state == "shut" else self.partner.take(now_us())
        full = self.busy >= figures.width and len(self.queue) >= figures.queue
        if room_us or full:
            if self.rng.random() >= figures.told:
                return Reply(503, {})
            wait_ms = max(room_us // 1000 + 1, self.rng.randint(*figures.wait_ms))
            return Reply(429, {"x-retry-in-ms": str(wait_ms)})
        if self.busy >= figures.width:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self.queue:
                    self.queue.remove(turn)
                else:
                    self._next()
                raise
        else:
            self.busy += 1
        # From here on it runs, also if its caller leaves.
        self._add("ran", who, message)
        work_s = self.rng.uniform(*figures.service_ms) / 1000 * self.slow / self._share()
        done = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(work_s, self._served, done)
        await done
        return Reply(200, {})

    def _served(self, done: asyncio.Future[None]) -> None:
        if not done.done():
            done.set_result(None)
        self._next()

    def _next(self) -> None:
        """A place is free: the next in the queue has it."""
        while self.queue:
            turn = self.queue.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.busy -= 1


class Town:
    """All endpoints of all partners."""

    def __init__(self, book: Book, seed: str) -> None:
        self.book, self.seed = book, seed
        self.endpoints: dict[str, Endpoint] = {}
        self.names: dict[str, str] = {}  # senders by address

    async def do(self, do: str, given: dict[str, Any]) -> Any:
        """One command of the lab."""
        match do:
            case "open":
                self.names = {sender_address(n): name for n, name in enumerate(given["senders"])}
                for told in given["partners"]:
                    figures = msgspec.convert(told["figures"], Figures)
                    partner = Partner(figures, len(told["endpoints"]))
                    for name in told["endpoints"]:
                        endpoint = self.endpoints[name] = Endpoint(name, partner, self)
                        await endpoint.open()
                return {name: endpoint.port for name, endpoint in self.endpoints.items()}
            case "state":
                await self.endpoints[given["name"]].turn(given["state"])
            case "slow":
                self.endpoints[given["name"]].slow = given["factor"]
            case _:
                raise ValueError("unknown command")
        return None


def role(book: str, seed: str = "0") -> Do:
    """What the hosting process runs."""
    return Town(Book(Path(book)), seed).do
