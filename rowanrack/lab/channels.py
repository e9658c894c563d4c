"""The channels' log in a run: parts of senders' files, layouts, and reads, which have a book of their own."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator
from itertools import cycle

import msgspec

from rowanrack.lab.books import READS, Page, now_us
from rowanrack.lab.fleet import Fleet, FleetError, Sender
from rowanrack.lab.plan import Announce, ReadAt
from rowanrack.lab.scenario import FLEET, Channels
from rowanrack.net.http import CALL_ERRORS

PORT = "log"
LIMIT = 1000
FLEET_SITES = 3  # of those that keep `fleet`, which all do, so many are asked
LOOK_S = 1.0  # between looks at the log's lag
AGAIN_S = 0.5
ANNOUNCE_TRIES = 20


def part_of(channels: Channels, fleet: Fleet, sender: Sender) -> str:
    """The `[channels]` part of a sender's file."""
    others = [name for name in fleet.senders if name != sender.name]
    sites = "".join(f'{other} = "{fleet.address(sender.name, other, PORT)}"\n' for other in others)
    listen = f'listen = "127.0.0.1:{sender.port(PORT)}"'
    return f"[channels]\n{listen}\ndisk_mb = {channels.disk_mb}\n[channels.sites]\n{sites}"


def unix_us() -> int:
    """The clock of the day."""
    return time.time_ns() // 1000


class Reads:
    """Reads of the past over operators' ports, each page kept in the book of reads."""

    def __init__(self, fleet: Fleet, channels: Channels, names: list[str]) -> None:
        """`names` are the channels."""
        self.fleet, self.channels, self.names = fleet, channels, names
        self._book = (fleet.books / READS).open("ab", buffering=0)
        self._series = 0
        self._began_unix = 0

    def close(self) -> None:
        """Write no more."""
        self._book.close()

    async def page(
        self, who: str, channel: str, as_of: int, why: str, limit: int = LIMIT, series: int = 0
    ) -> Page:
        """One read, in the book; its status is 0 if no answer came."""
        told = {"who": who, "channel": channel, "as_of": as_of, "limit": limit, "why": why, "series": series}
        path = f"/_channels/{channel}?at={as_of}&limit={limit}"
        try:
            status, body = await self.fleet.senders[who].mgmt("GET", path)
        except CALL_ERRORS as error:
            told |= {"text": str(error) or type(error).__name__}
        else:
            told["status"] = status
            doc = json.loads(body) if status == 200 else {"text": body.decode(errors="replace").strip()}
            told |= {key: doc[key] for key in Page.__struct_fields__ if key in doc and key not in told}
        page = msgspec.convert(told | {"at": now_us()}, Page)
        self._book.write(msgspec.json.encode(page) + b"\n")
        return page

    # During the run.

    async def play(self, layouts: list[Announce], reads: list[ReadAt]) -> None:
        """All that is planned, from now on."""
        began, self._began_unix = now_us(), unix_us()
        async with asyncio.TaskGroup() as group:
            planned: list[Announce | ReadAt] = [*layouts, *reads]
            for one in sorted(planned, key=lambda one: one.at_us):
                await asyncio.sleep((began + one.at_us - now_us()) / 1e6)
                group.create_task(self._announce(one) if isinstance(one, Announce) else self._read(one))

    async def _read(self, one: ReadAt) -> None:
        as_of = unix_us() if one.as_of_us is None else self._began_unix + one.as_of_us
        await self.page(one.on, one.channel, as_of, "run", one.limit)

    async def _announce(self, one: Announce) -> None:
        """Raises FleetError if nobody writes it down in time."""
        said = ""
        for _ in range(ANNOUNCE_TRIES):
            since = unix_us() + one.ahead_us
            doc = {"from": since, "sites": {name: 1.0 for name in one.sites}}
            doc |= {"shards": self.channels.shards, "keepers": self.channels.keepers}
            try:
                status, body = await self.fleet.senders[one.on].mgmt(
                    "POST", "/_layout", json.dumps(doc).encode()
                )
            except CALL_ERRORS as error:
                status, body = 0, str(error).encode()
            if status == 200:
                self.fleet.book.add("layout", one.on, value=since, note=f"{len(one.sites)} sites")
                return
            said = f"{status} {body.decode(errors='replace')}"
            await asyncio.sleep(AGAIN_S)
        raise FleetError(f"{one.on}: announced no layout: {said}")

    async def look(self, who: str) -> None:
        """Look at the log's lag, a partner's channel after the other, until cancelled."""
        turns: Iterator[str] = cycle(name for name in self.names if name != FLEET)
        while True:
            await self.page(who, next(turns), unix_us(), "lag", 1)
            await asyncio.sleep(LOOK_S)

    # Behind it.

    async def at_the_end(self, who: str) -> None:
        """The order of each channel from each of its keepers, once it is settled or it takes too long."""
        as_of, until = unix_us(), now_us() + int(self.channels.settle_s * 1e6)
        self.fleet.book.add("end", value=as_of)
        async with asyncio.TaskGroup() as group:
            for channel in self.names:
                group.create_task(self._end(who, channel, as_of, until))

    async def _end(self, who: str, channel: str, as_of: int, until: int) -> None:
        first = await self._settled(who, "", channel, as_of, until)
        await self._pages(who, channel, as_of)
        sites = [keeper["site"] for keeper in first.keepers if self.fleet.senders[keeper["site"]].alive]
        if channel == FLEET:
            sites = sites[:FLEET_SITES]
        for site in sites:
            await self._settled(site, site, channel, as_of, until)
            await self._pages(site, channel, as_of)

    async def _settled(self, who: str, by: str, channel: str, as_of: int, until: int) -> Page:
        """Ask until the answer (of `by`, if it is named) is settled up to a time, or it takes too long."""
        while True:
            page = await self.page(who, channel, as_of, "wait", 1)
            others = any(one["what"] == "what others wrote" for one in page.missing)
            if page.settled_until >= as_of and not others and by in ("", page.answered_by):
                return page
            if now_us() > until:
                return page
            await asyncio.sleep(AGAIN_S)

    async def _pages(self, who: str, channel: str, as_of: int) -> None:
        """Backwards from a time on, page by page."""
        self._series += 1
        series, seen = self._series, set[str]()
        while True:
            page = await self.page(who, channel, as_of, "end", LIMIT, series)
            fresh = {event["id"] for event in page.events} - seen
            if not fresh or len(page.events) < LIMIT:
                return
            seen |= fresh
            as_of = page.events[0]["at"]
