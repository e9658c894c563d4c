"""Stand-ins for clients: many in one process, each message handed in by the plan.

A client that hears BUSY, or whose connection is refused, goes on to the next sender of its order. One that
hears nothing does not know whether its message was taken: it stays with that sender, under the same id, until
the message's time is up.
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

import msgspec

from rowanrack.lab.books import Book, now_us
from rowanrack.lab.plan import Arrival
from rowanrack.lab.role import Do
from rowanrack.lab.stand_in import Client
from rowanrack.net.stream import Stream

HEAR_S = 2.0  # for which a client waits for an answer
AGAIN_S = 0.3  # before it tries the same sender again
BUSY_MOST_S = 1.0
LAST_US = 500_000  # before its time is up a client gives up asking
BUSY_TRIES = 4
HEARD = {"+OK": "taken", "lost": "unsure", "refused": "refused"}  # as the book has it
BUSY = re.compile(r"-BUSY (\d+)")


class Crowd:
    """All clients; connections to a sender are shared, one command at a time on each."""

    def __init__(self, book: Book) -> None:
        self.book = book
        self.senders: dict[str, tuple[str, int]] = {}
        self.idle: dict[str, list[Client]] = {}

    async def do(self, do: str, given: dict[str, Any]) -> Any:
        """One command of the lab."""
        match do:
            case "open":
                self.senders = {name: (host, port) for name, (host, port) in given["senders"].items()}
                self.idle = {name: [] for name in self.senders}
            case "submit":
                arrival = msgspec.convert(given["arrival"], Arrival)
                left_us = 1000 * arrival.left_ms
                return await self._once(arrival, arrival.order[0], now_us() + left_us, left_us)
            case "run":
                arrivals = msgspec.convert(given["arrivals"], list[Arrival])
                await self._run(arrivals)
            case _:
                raise ValueError("unknown command")
        return None

    async def _run(self, arrivals: list[Arrival]) -> None:
        began = now_us()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                await asyncio.sleep((began + arrival.at_us - now_us()) / 1e6)
                group.create_task(self._hand_in(arrival))

    async def _hand_in(self, arrival: Arrival) -> None:
        due = now_us() + 1000 * arrival.left_ms
        self.book.add("submit", "", arrival.id, dest=arrival.dest, value=due, note=arrival.cls)
        for name in arrival.order[:BUSY_TRIES]:
            began, unsure = now_us(), False
            said = await self._once(arrival, name, due, due - began)
            while said == "lost" or (unsure and said == "refused"):
                if now_us() > due - LAST_US:
                    return
                unsure = True
                await asyncio.sleep(AGAIN_S)
                said = await self._once(arrival, name, due, due - began)
            if (busy := BUSY.match(said)) is not None:
                await asyncio.sleep(min(int(busy[1]) / 1000, BUSY_MOST_S))
            elif said != "refused":
                return
        self.book.add("declined", "", arrival.id)

    async def _once(self, arrival: Arrival, name: str, due: int, most_us: int) -> str:
        """One try; what was heard. `most_us` is the longest time that this sender was told for it so far.

        A sender counts a message's time from when it reads it, which may be as late as its OK comes.
        """
        left_ms = max(1, (due - now_us()) // 1000)
        said = "lost"  # unless something is heard
        client: Client | None = None
        try:
            async with asyncio.timeout(HEAR_S):
                client = await self._client(name)
                heard = await client.submit(arrival.id, arrival.cls, left_ms, arrival.dest)
                said = heard.decode().strip() or "lost"
        except ConnectionRefusedError:
            said = "refused"
        except (OSError, TimeoutError):
            pass
        what = HEARD.get(said, "busy" if BUSY.match(said) else "bad")
        value = now_us() + most_us if what == "taken" else due
        self.book.add(what, name, arrival.id, dest=arrival.dest, value=value, note=arrival.cls)
        if client is not None:
            if said == "lost":
                client.stream.abort()
            else:
                self.idle[name].append(client)
        return said

    async def _client(self, name: str) -> Client:
        while self.idle[name]:
            client = self.idle[name].pop()
            if not client.stream.ended and not client.stream.unread:
                return client
            client.stream.abort()
        return Client(await Stream.connect(*self.senders[name]))


def role(book: str) -> Do:
    """What the hosting process runs."""
    return Crowd(Book(Path(book))).do
