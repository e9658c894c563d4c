"""The platform's name table: its lists, and the watch on their changes."""

from __future__ import annotations

import asyncio
import logging
import math
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Endpoint
from rowanrack.net.http import FAILURES, BadReplyError, HttpLine
from rowanrack.net.rare_log import RareLog
from rowanrack.net.timing import pause, time_limit
from rowanspindle import EndpointStatus, UpdateScope

log = logging.getLogger(__name__)

STATUSES = {
    "SERVING": EndpointStatus.LISTED,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}
WAIT_MS = 10_000  # for which a watch waits: a silent loss of it is noticed so much later
UNSURE_MS = 1_000  # for which it waits at first at a new address or after a failure: the next may be silent
GRACE_US = 1_000_000  # past that: what discovery has to tell counts as told 2 s after the wait
MOVED_US = 4_000_000  # after a move no failure counts: news count as told 4 s after it
AGAIN_US = 100_000  # between the tries meanwhile, and behind an answer ahead of its time without news
FIRST_US = 1_000_000  # for which a process waits for its first news where lists are pushed
LIST_LIMIT = 4 << 20


class ListError(ValueError):
    """A list that cannot be read."""


def parse_address(text: str) -> tuple[str, int]:
    """A host and a port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def rate_of(given: Any) -> float:
    """Calls a second; JSON as Python reads it may hold numbers that are none."""
    if not math.isfinite(rate := float(given)) or rate < 0:
        raise ListError(f"not a rate: {given!r}")
    return rate


UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


@dataclass(frozen=True, slots=True)
class ServerList:
    """An answer of discovery: a version, a scope, the entries, and why others could not be read."""

    seq: int
    scope: UpdateScope
    entries: list[Endpoint]
    unreadable: list[str]


def parse_entry(host: Any) -> Endpoint:
    """One entry in discovery's form. Raises one of UNREADABLE."""
    return Endpoint(
        str(host["host"]),
        *parse_address(host["dial"]),
        str(host["site"]),
        str(host["class"]),
        int(host["block"]),
        STATUSES[host["health"]],
        rate_of(host.get("share", 0)),
    )


def read_list(doc: Any) -> ServerList:
    """A list in discovery's form; a whole one of which no entry can be read is a ListError."""
    entries, unreadable = list[Endpoint](), list[str]()
    try:
        seq, scope, hosts = (
            int(doc["seq"]),
            UpdateScope.FULL if doc["whole"] else UpdateScope.DELTA,
            list(doc["hosts"]),
        )
    except UNREADABLE as error:
        raise ListError(f"unreadable list: {error!r}") from None
    for host in hosts:
        try:
            entries.append(parse_entry(host))
        except UNREADABLE as error:
            unreadable.append(repr(error))
    if unreadable and not entries and scope is UpdateScope.FULL:
        raise ListError(f"unreadable list: {unreadable[0]}")
    return ServerList(seq, scope, entries, unreadable)


def parse_list(doc: Any) -> tuple[int, UpdateScope, list[Endpoint]]:
    """The version, the scope and the entries of a list that has to be readable in every entry."""
    told = read_list(doc)
    if told.unreadable:
        raise ListError(f"unreadable list: {told.unreadable[0]}")
    return told.seq, told.scope, told.entries


class DiscoveryWatch:
    """Follows discovery's list once the module has asked, until a 503 or two breaks in a row.

    What was written to this sender counts as told, also if it could not be read, so a break of any kind is
    followed by the next call at once. Where lists are pushed, a process begins with what there is (`first`).
    """

    def __init__(self, exchange: Exchange, host: str, port: int, seq: int, pushed: bool = False) -> None:
        self.exchange, self.seq, self._pushed = exchange, seq, pushed
        self._line = HttpLine(exchange.after, host, port, LIST_LIMIT)
        self._task: asyncio.Task[None] | None = None
        self._moved_at: int | None = None
        self._unsure = False  # whether its next call may fail too
        self._in_doubt = False  # whether the last answer may be stale or spoilt: the whole list is asked for
        self._answered = asyncio.Event()
        self._rare = RareLog(log)
        self.failed = 0  # tries since the move

    def watch(self) -> None:
        """The module's request."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._follow())

    async def first(self) -> None:
        """Wait for what there is to know at the start, or for a failure, but not for long."""
        self.watch()
        with suppress(TimeoutError):
            async with time_limit(self.exchange.after, FIRST_US):
                await self._answered.wait()

    def move(self, host: str, port: int) -> None:
        """Watch at this address from now on: the list goes on from the version that was read last."""
        self.close()
        self._line = HttpLine(self.exchange.after, host, port, LIST_LIMIT)
        self._moved_at, self._unsure = self.exchange.clock.now_us(), True
        self._task = asyncio.create_task(self._follow())

    def close(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
        self._line.close()

    async def _follow(self) -> None:
        failures = self.failed = 0
        while (
            failures < 2
        ):  # behind a break the next call comes at once: within 200 ms it continues the watch
            failed = 1
            try:
                await self._ask()
                failed = 0
            except (*FAILURES, ListError) as error:
                self._rare.warning("discovery: the watch ended: %s", str(error) or type(error).__name__)
                # Discovery that answers but cannot serve is busy: the module asks again, later.
                failed = 2 if isinstance(error, BadReplyError) and error.status != 200 else 1
            except Exception:
                log.exception("discovery: the watch failed")  # a defect must not end the watch unnoticed
            self._unsure |= failed > 0
            failures = failures + failed if failed else 0
            if failures and self._just_moved():
                failures, self.failed = 0, self.failed + 1
                await pause(self.exchange.after, AGAIN_US)
        self._answered.set()
        self.exchange.list_instances(UpdateScope.FAILED, ())

    def _just_moved(self) -> bool:
        """Guards against a new address that opens late: the module would ask again only seconds on."""
        now = self.exchange.clock.now_us()
        return self._moved_at is not None and now - self._moved_at < MOVED_US

    async def _ask(self) -> None:
        """One call, and what it tells. Raises one of FAILURES, or ListError."""
        wait_ms = UNSURE_MS if self._unsure else WAIT_MS
        if self._pushed and not self._answered.is_set():
            wait_ms = 0
        asked_at = self.exchange.clock.now_us()
        async with time_limit(self.exchange.after, wait_ms * 1000 + GRACE_US):
            confirms = self._in_doubt
            target = "/v1/servers" if confirms else f"/v1/servers?index={self.seq}&wait={wait_ms}"
            _, doc = await self._line.get_json(target)
        news = self._take(read_list(doc))
        if self._in_doubt and not confirms:
            self._unsure = True  # the whole list comes at once: its silence is no wait
            return
        self._unsure = False
        self._answered.set()
        # Guards discovery, and this core, against answers that do not wait: within 200 ms the watch goes on.
        if not news and self.exchange.clock.now_us() - asked_at < wait_ms * 1000:
            await pause(self.exchange.after, AGAIN_US)

    def _take(self, told: ServerList) -> bool:
        """Take a list over, and only then its version; whether it held news."""
        self._in_doubt = self._doubts(told)
        if self._in_doubt:
            return False
        if told.unreadable:
            count, first = len(told.unreadable), told.unreadable[0]
            self._rare.warning("discovery: %d entries are left out, unreadable: %s", count, first)
        self.exchange.list_instances(told.scope, told.entries)
        last, self.seq = self.seq, told.seq
        return told.seq > last and bool(told.entries)

    def _doubts(self, told: ServerList) -> bool:
        """Whether an answer is to be confirmed by the whole list, which is then believed as it comes.

        With a lower version it may be stale, or discovery's versions have begun anew: what has changed by
        another count is not known. An entry that cannot be read may be spoilt on the way.
        """
        if self._in_doubt and told.scope is UpdateScope.FULL:
            return False
        if told.seq < self.seq:
            reason = f"version {told.seq} after {self.seq}"
        elif told.unreadable:
            reason = f"an entry is unreadable: {told.unreadable[0]}"
        else:
            return False
        self._rare.warning("discovery: the whole list is asked for: %s", reason)
        return True
