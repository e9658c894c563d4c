"""Stand-ins for partners: endpoints with rate limits, queues, capacity, retry-after waits and cold returns.

Nobody is told the capacity of an endpoint; an endpoint records what it received and did in its book.
"""

from __future__ import annotations

import asyncio
import math
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from rowanrack.lab.books import Book, now_us
from rowanrack.lab.role import CommandHandler
from rowanrack.lab.stand_in import HttpServer, sender_address
from rowanrack.net.http import Reply, Request
from rowanrack.net.stream import Stream

SECOND_US = 1_000_000


class PartnerParameters(msgspec.Struct, frozen=True, kw_only=True):
    """The true parameters of one partner: rates in calls per second, times in milliseconds."""

    dest: int
    rate: float = 50.0  # limit of all senders together, over all endpoints
    listed: bool = True  # whether discovery publishes the rate
    told: float = 1.0  # share of refusals with a retry-after wait
    wait_ms: tuple[int, int] = (300, 800)
    width: int = 8  # calls that an endpoint serves at once
    queue: int = 16
    service_ms: tuple[int, int] = (20, 60)
    cold_share: float = 0.2
    ramp_ms: int = 6000
    overload: float = 2.0
    fall_ms: int = 2000
    refused: float = 0.0  # share of calls that are refused at random
    copied: float = 0.0  # share of answers that are sent a second time on their connection
    copy_delay_ms: tuple[int, int] = (0, 10)  # from the answer to its second copy
    withdrawn: float = 0.0  # share of messages that their clients withdraw: calls are answered 410 then
    withdrawn_after_ms: tuple[int, int] = (0, 0)  # from the first call with the message
    withdrawn_from_ms: int = 0  # no message is withdrawn earlier than this after the start

    def cold_call_limit(self, endpoints: int) -> int:
        """Return how many calls an endpoint can bear within `fall_ms` after it returns from an outage."""
        return int(self.overload * self.cold_share * self.rate / endpoints * self.fall_ms / 1000)


class Partner:
    """One destination, with a token bucket and withdrawn messages that its endpoints share."""

    def __init__(self, parameters: PartnerParameters, endpoints: int, seed: str) -> None:
        self.parameters, self.endpoints, self.seed = parameters, endpoints, seed
        self.withdrawn_at: dict[str, float] = {}  # by message; infinite if it is never withdrawn
        self.withdrawals_begin_at = now_us() + 1000 * parameters.withdrawn_from_ms
        self.burst = max(2.0, parameters.rate)
        self.tokens, self.filled_at = self.burst, now_us()

    def is_withdrawn(self, message: str, now: int) -> bool:
        """Whether the client of a message has withdrawn it, as the seed chooses at the first call with it."""
        if message not in self.withdrawn_at:
            rng = Random(f"{self.seed} withdraws {message}")
            is_ever = rng.random() < self.parameters.withdrawn
            delay_us = 1000 * rng.uniform(*self.parameters.withdrawn_after_ms)
            self.withdrawn_at[message] = (
                max(now + delay_us, self.withdrawals_begin_at) if is_ever else math.inf
            )
        return now >= self.withdrawn_at[message]

    def take_token(self, now: int) -> int:
        """Take a token; returns 0, or without one the microseconds until the next token."""
        rate = self.parameters.rate
        self.tokens = min(self.burst, self.tokens + rate * (now - self.filled_at) / SECOND_US)
        self.filled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return int((1 - self.tokens) / rate * SECOND_US)


class Endpoint(HttpServer):
    """An endpoint of a partner: up, down (refuses connections), shut (refuses calls), failing or silent."""

    def __init__(self, name: str, partner: Partner, host: PartnerHost) -> None:
        super().__init__()
        self.name, self.partner, self.host = name, partner, host
        self.state, self.cold_from, self.slow = "up", 0, 1.0
        self.busy, self.queue = 0, list[asyncio.Future[None]]()
        self.rng = Random(f"{host.seed} {name}")

    def copy_delay_s(self) -> float | None:
        """Draw whether and when the answer just sent is sent a second time."""
        parameters = self.partner.parameters
        if self.rng.random() >= parameters.copied:
            return None
        self._add("copy", "", "")
        return self.rng.uniform(*parameters.copy_delay_ms) / 1000

    def _add(self, what: str, who: str, message: str, value: int = 0, note: str = "") -> None:
        self.host.book.add(what, who, message, self.name, self.partner.parameters.dest, value, note)

    async def set_state(self, state: str) -> None:
        """Set the state; an endpoint that comes up is cold."""
        self.state = state
        if state == "down":
            self.shut()
        elif state == "up":
            self.cold_from = now_us()
        if state != "down" and self.server is None:
            await self.open()
        self._add("state", "", "", self.partner.parameters.cold_call_limit(self.partner.endpoints), state)

    def _capacity_share(self) -> float:
        """Return the share of the full capacity that is available now."""
        parameters = self.partner.parameters
        ramp_progress = (now_us() - self.cold_from) / (1000 * parameters.ramp_ms)
        return (
            min(1.0, parameters.cold_share + (1 - parameters.cold_share) * ramp_progress)
            if self.cold_from
            else 1.0
        )

    async def _talk(self, stream: Stream, peer: str) -> None:
        self._add("connected", self.host.sender_names.get(peer, peer), "")
        await super()._talk(stream, peer)

    async def answer(self, request: Request, peer: str) -> Reply | None:
        """Answer one call."""
        who, message = self.host.sender_names.get(peer, peer), request.headers.get("x-txn", "")
        self._add("call", who, message)
        try:
            reply = await self._call(who, message)
        except asyncio.CancelledError:
            self._add("dropped", who, message)
            raise
        wait_ms = int(reply.headers.get("x-retry-in-ms", "0"))
        self._add("answer", who, message, 1000 * wait_ms, str(reply.status))
        return reply

    async def _call(self, who: str, message: str) -> Reply:
        parameters = self.partner.parameters
        if self.state == "silent":
            await asyncio.Event().wait()
        if self.state == "failing":
            return Reply(500, {})
        if self.partner.is_withdrawn(message, now_us()):
            return Reply(410, {})
        wait_for_token_us = (
            1000 * parameters.wait_ms[1] if self.state == "shut" else self.partner.take_token(now_us())
        )
        full = self.busy >= parameters.width and len(self.queue) >= parameters.queue
        if wait_for_token_us or full or self.rng.random() < parameters.refused:
            if self.rng.random() >= parameters.told:
                return Reply(503, {})
            wait_ms = max(wait_for_token_us // 1000 + 1, self.rng.randint(*parameters.wait_ms))
            return Reply(429, {"x-retry-in-ms": str(wait_ms)})
        if self.busy >= parameters.width:
            start: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.queue.append(start)
            try:
                await start
            except asyncio.CancelledError:
                if start in self.queue:
                    self.queue.remove(start)
                else:
                    self._start_next()
                raise
        else:
            self.busy += 1
        # From here on the call runs, even if its caller disconnects.
        self._add("ran", who, message)
        work_s = self.rng.uniform(*parameters.service_ms) / 1000 * self.slow / self._capacity_share()
        done = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(work_s, self._finish, done)
        await done
        return Reply(200, {})

    def _finish(self, done: asyncio.Future[None]) -> None:
        if not done.done():
            done.set_result(None)
        self._start_next()

    def _start_next(self) -> None:
        """Give the free slot to the next call in the queue."""
        while self.queue:
            start = self.queue.pop(0)
            if not start.done():
                start.set_result(None)
                return
        self.busy -= 1


class PartnerHost:
    """Hosts all endpoints of all partners."""

    def __init__(self, book: Book, seed: str) -> None:
        self.book, self.seed = book, seed
        self.endpoints: dict[str, Endpoint] = {}
        self.sender_names: dict[str, str] = {}  # senders by address

    async def execute(self, command: str, arguments: dict[str, Any]) -> Any:
        """Execute one command of the lab."""
        match command:
            case "open":
                self.sender_names = {sender_address(n): name for n, name in enumerate(arguments["senders"])}
                for partner_spec in arguments["partners"]:
                    parameters = msgspec.convert(partner_spec["figures"], PartnerParameters)
                    partner = Partner(parameters, len(partner_spec["endpoints"]), self.seed)
                    for name in partner_spec["endpoints"]:
                        endpoint = self.endpoints[name] = Endpoint(name, partner, self)
                        await endpoint.open()
                return {name: endpoint.port for name, endpoint in self.endpoints.items()}
            case "state":
                await self.endpoints[arguments["name"]].set_state(arguments["state"])
            case "slow":
                self.endpoints[arguments["name"]].slow = arguments["factor"]
            case _:
                raise ValueError("unknown command")
        return None


def role(book: str, seed: str = "0") -> CommandHandler:
    """Return the command handler that the hosting process runs."""
    return PartnerHost(Book(Path(book)), seed).execute
