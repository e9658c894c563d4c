"""Stand-ins for clients: many in one process, submitting messages as planned.

A client that is answered BUSY, or whose connection is refused, tries the next sender in its order. Without an
answer it cannot know whether the message was accepted, so it retries at the same sender, with the same id,
until the deadline.
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

import msgspec

from rowanrack.lab.books import Book, now_us
from rowanrack.lab.plan import Arrival
from rowanrack.lab.role import CommandHandler
from rowanrack.lab.stand_in import Client
from rowanrack.net.stream import Stream

ANSWER_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.3  # before a retry at the same sender
MAX_BUSY_WAIT_S = 1.0
STOP_RETRYING_US = 500_000  # before the deadline, a client stops retrying
MAX_SENDERS_TRIED_COUNT = 4
EVENT_BY_ANSWER = {"+OK": "taken", "lost": "unsure", "refused": "refused"}  # names of events in the book
BUSY_PATTERN = re.compile(r"-BUSY (\d+)")


class ClientPool:
    """All clients; they share connections to a sender, with one command at a time on each."""

    def __init__(self, book: Book) -> None:
        self.book = book
        self.senders: dict[str, tuple[str, int]] = {}
        self.idle: dict[str, list[Client]] = {}

    async def execute(self, command: str, arguments: dict[str, Any]) -> Any:
        """Execute one command of the lab."""
        match command:
            case "open":
                self.senders = {name: (host, port) for name, (host, port) in arguments["senders"].items()}
                self.idle = {name: [] for name in self.senders}
            case "submit":
                arrival = msgspec.convert(arguments["arrival"], Arrival)
                left_us = 1000 * arrival.left_ms
                return await self._submit_once(arrival, arrival.order[0], now_us() + left_us, left_us)
            case "run":
                arrivals = msgspec.convert(arguments["arrivals"], list[Arrival])
                await self._submit_all(arrivals)
            case _:
                raise ValueError("unknown command")
        return None

    async def _submit_all(self, arrivals: list[Arrival]) -> None:
        began = now_us()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                await asyncio.sleep((began + arrival.at_us - now_us()) / 1e6)
                group.create_task(self._submit_until_settled(arrival))

    async def _submit_until_settled(self, arrival: Arrival) -> None:
        due = now_us() + 1000 * arrival.left_ms
        self.book.add("submit", "", arrival.id, dest=arrival.dest, value=due, note=arrival.cls)
        for name in arrival.order[:MAX_SENDERS_TRIED_COUNT]:
            began, unsure = now_us(), False
            answer = await self._submit_once(arrival, name, due, due - began)
            while answer == "lost" or (unsure and answer == "refused"):
                if now_us() > due - STOP_RETRYING_US:
                    return
                unsure = True
                await asyncio.sleep(RETRY_DELAY_S)
                answer = await self._submit_once(arrival, name, due, due - began)
            if (busy := BUSY_PATTERN.match(answer)) is not None:
                await asyncio.sleep(min(int(busy[1]) / 1000, MAX_BUSY_WAIT_S))
            elif answer != "refused":
                if answer == "+OK":
                    await self._use_id_again(arrival, name, due)
                return
        self.book.add("declined", "", arrival.id)

    async def _use_id_again(self, arrival: Arrival, name: str, due: int) -> None:
        """Submit under the id of an accepted message, on new connections: other contents, and a repeat."""
        if arrival.contested:
            self._close_idle(name)
            answer = await self._submit_once(arrival, name, due, 0, b"of another client")
            if answer == "+OK":
                self.book.add("confused", name, arrival.id)
        if arrival.repeat_after_us:
            await asyncio.sleep(arrival.repeat_after_us / 1e6)
            if now_us() < due - STOP_RETRYING_US:
                self._close_idle(name)
                await self._submit_once(arrival, name, due, due - now_us())

    def _close_idle(self, name: str) -> None:
        """Close the idle connections to a sender, so that the next command uses a new one."""
        for client in self.idle[name]:
            client.stream.abort()
        self.idle[name].clear()

    async def _submit_once(
        self, arrival: Arrival, name: str, due: int, longest_deadline_us: int, other_body: bytes = b""
    ) -> str:
        """Submit once, the message or another body under its id; returns the answer.

        `longest_deadline_us`: the longest time left that was sent so far. A sender counts the time left from
        when it reads the message, which may be as late as its OK.
        """
        left_ms = max(1, (due - now_us()) // 1000)
        answer = "lost"  # unless an answer arrives
        client: Client | None = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                client = await self._client(name)
                reply = await client.submit(
                    arrival.id, arrival.cls, left_ms, arrival.dest, other_body or bytes(arrival.body_bytes)
                )
                answer = reply.decode().strip() or "lost"
        except ConnectionRefusedError:
            answer = "refused"
        except (OSError, TimeoutError):
            pass
        what = EVENT_BY_ANSWER.get(answer, "busy" if BUSY_PATTERN.match(answer) else "bad")
        value = now_us() + longest_deadline_us if what == "taken" else due
        if not other_body:
            self.book.add(what, name, arrival.id, dest=arrival.dest, value=value, note=arrival.cls)
        if client is not None:
            if answer == "lost":
                client.stream.abort()
            else:
                self.idle[name].append(client)
        return answer

    async def _client(self, name: str) -> Client:
        while self.idle[name]:
            client = self.idle[name].pop()
            if not client.stream.ended and not client.stream.unread:
                return client
            client.stream.abort()
        return Client(await Stream.connect(*self.senders[name]))


def role(book: str) -> CommandHandler:
    """Return the command handler that the hosting process runs."""
    return ClientPool(Book(Path(book))).execute
