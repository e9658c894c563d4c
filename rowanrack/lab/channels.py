"""The event log in a run: site file sections, layouts, and reads, which are recorded in their own book."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator
from itertools import cycle

import msgspec

from rowanrack.lab.books import READS, Page, now_us
from rowanrack.lab.fleet import Fleet, FleetError, Sender
from rowanrack.lab.plan import LayoutAnnouncement, PlannedRead
from rowanrack.lab.scenario import FLEET_CHANNEL, Channels
from rowanrack.net.http import CALL_ERRORS

LOG_PORT = "log"
PAGE_EVENTS_COUNT = 1000
FLEET_CHANNEL_SITES_COUNT = 3  # keepers asked for the channel `fleet`, of which every sender is one
LAG_SAMPLE_PERIOD_S = 1.0
RETRY_DELAY_S = 0.5
ANNOUNCE_ATTEMPTS_COUNT = 20


def channels_section(channels: Channels, fleet: Fleet, sender: Sender) -> str:
    """Return the section `[channels]` of a sender's TOML file."""
    others = [name for name in fleet.senders if name != sender.name]
    sites = "".join(f'{other} = "{fleet.address(sender.name, other, LOG_PORT)}"\n' for other in others)
    listen = f'listen = "127.0.0.1:{sender.port(LOG_PORT)}"'
    return f"[channels]\n{listen}\ndisk_mb = {channels.disk_mb}\n[channels.sites]\n{sites}"


def unix_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


class LogReader:
    """LogReader the event log through the operators' calls, and records each page in the book of reads."""

    def __init__(self, fleet: Fleet, channels: Channels, names: list[str]) -> None:
        """Open the book of reads; `names` are the channels."""
        self.fleet, self.channels, self.names = fleet, channels, names
        self._book = (fleet.books / READS).open("ab", buffering=0)
        self._series = 0
        self._began_unix = 0

    def close(self) -> None:
        """Close the book of reads."""
        self._book.close()

    async def read_page(
        self, who: str, channel: str, as_of: int, why: str, limit: int = PAGE_EVENTS_COUNT, series: int = 0
    ) -> Page:
        """Read and record one page; its status is 0 if there was no answer."""
        fields = {
            "who": who,
            "channel": channel,
            "as_of": as_of,
            "limit": limit,
            "why": why,
            "series": series,
        }
        path = f"/_channels/{channel}?at={as_of}&limit={limit}"
        try:
            status, body = await self.fleet.senders[who].mgmt("GET", path)
        except CALL_ERRORS as error:
            fields |= {"text": str(error) or type(error).__name__}
        else:
            fields["status"] = status
            doc = json.loads(body) if status == 200 else {"text": body.decode(errors="replace").strip()}
            fields |= {key: doc[key] for key in Page.__struct_fields__ if key in doc and key not in fields}
        page = msgspec.convert(fields | {"at": now_us()}, Page)
        self._book.write(msgspec.json.encode(page) + b"\n")
        return page

    async def run_planned(self, layouts: list[LayoutAnnouncement], reads: list[PlannedRead]) -> None:
        """Run the planned layouts and reads at their times, counted from now."""
        began, self._began_unix = now_us(), unix_us()
        async with asyncio.TaskGroup() as group:
            planned: list[LayoutAnnouncement | PlannedRead] = [*layouts, *reads]
            for item in sorted(planned, key=lambda item: item.at_us):
                await asyncio.sleep((began + item.at_us - now_us()) / 1e6)
                group.create_task(
                    self._announce(item) if isinstance(item, LayoutAnnouncement) else self._run_read(item)
                )

    async def _run_read(self, item: PlannedRead) -> None:
        as_of = unix_us() if item.as_of_us is None else self._began_unix + item.as_of_us
        await self.read_page(item.on, item.channel, as_of, "run", item.limit)

    async def _announce(self, item: LayoutAnnouncement) -> None:
        """LayoutAnnouncement a layout. Raises FleetError if it is not accepted after several attempts."""
        response = ""
        for _ in range(ANNOUNCE_ATTEMPTS_COUNT):
            since = unix_us() + item.ahead_us
            doc = {"from": since, "sites": {name: 1.0 for name in item.sites}}
            doc |= {"shards": self.channels.shards, "keepers": self.channels.keepers}
            try:
                status, body = await self.fleet.senders[item.on].mgmt(
                    "POST", "/_layout", json.dumps(doc).encode()
                )
            except CALL_ERRORS as error:
                status, body = 0, str(error).encode()
            if status == 200:
                self.fleet.book.add("layout", item.on, value=since, note=f"{len(item.sites)} sites")
                return
            response = f"{status} {body.decode(errors='replace')}"
            await asyncio.sleep(RETRY_DELAY_S)
        raise FleetError(f"{item.on}: could not announce a layout: {response}")

    async def sample_lag(self, who: str) -> None:
        """Measure the lag of the log, one partner's channel at a time, until cancelled."""
        channels: Iterator[str] = cycle(name for name in self.names if name != FLEET_CHANNEL)
        while True:
            await self.read_page(who, next(channels), unix_us(), "lag", 1)
            await asyncio.sleep(LAG_SAMPLE_PERIOD_S)

    async def read_final_orders(self, who: str) -> None:
        """Read each channel from each of its keepers, once its order has settled or the time is up."""
        as_of, until = unix_us(), now_us() + int(self.channels.settle_s * 1e6)
        self.fleet.book.add("end", value=as_of)
        async with asyncio.TaskGroup() as group:
            for channel in self.names:
                group.create_task(self._read_final_order(who, channel, as_of, until))

    async def _read_final_order(self, who: str, channel: str, as_of: int, until: int) -> None:
        first = await self._wait_until_settled(who, "", channel, as_of, until)
        await self._read_all_pages(who, channel, as_of)
        sites = [keeper["site"] for keeper in first.keepers if self.fleet.senders[keeper["site"]].alive]
        if channel == FLEET_CHANNEL:
            sites = sites[:FLEET_CHANNEL_SITES_COUNT]
        for site in sites:
            await self._wait_until_settled(site, site, channel, as_of, until)
            await self._read_all_pages(site, channel, as_of)

    async def _wait_until_settled(self, who: str, by: str, channel: str, as_of: int, until: int) -> Page:
        """Read until the answer (of `by`, if given) is settled up to `as_of`, or until the time `until`."""
        while True:
            page = await self.read_page(who, channel, as_of, "wait", 1)
            others = any(one["what"] == "what others wrote" for one in page.missing)
            if page.settled_until >= as_of and not others and by in ("", page.answered_by):
                return page
            if now_us() > until:
                return page
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_all_pages(self, who: str, channel: str, as_of: int) -> None:
        """Read all pages of a channel, backwards from `as_of`."""
        self._series += 1
        series, seen = self._series, set[str]()
        while True:
            page = await self.read_page(who, channel, as_of, "end", PAGE_EVENTS_COUNT, series)
            new_ids = {event["id"] for event in page.events} - seen
            if not new_ids or len(page.events) < PAGE_EVENTS_COUNT:
                return
            seen |= new_ids
            as_of = page.events[0]["at"]
