"""The platform's name table: its lists, and the watch on their changes."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Instance
from rowanrack.net.http import FAILURES, HttpLine
from rowanrack.net.timing import pause, time_limit
from rowanspindle import Scope, Status

log = logging.getLogger(__name__)

STATUSES = {"SERVING": Status.LISTED, "DRAINING": Status.DRAINING, "DELETED": Status.REMOVED}
WAIT_MS = 10_000  # for which a watch waits: a silent loss of it is noticed so much later
GRACE_US = 1_500_000  # past that: what discovery has to tell counts as told 2 s after the wait
MOVED_US = 3_000_000  # after a move no failure counts: news count as told 4 s after it
AGAIN_US = 100_000  # between the tries meanwhile
LIST_LIMIT = 4 << 20


class ListError(ValueError):
    """A list that cannot be read."""


def parse_address(text: str) -> tuple[str, int]:
    """A host and a port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def parse_list(doc: Any) -> tuple[int, Scope, list[Instance]]:
    """The version, the scope and the entries of a list in discovery's form."""
    try:
        entries = [
            Instance(
                str(h["host"]),
                *parse_address(h["dial"]),
                str(h["site"]),
                str(h["class"]),
                int(h["block"]),
                STATUSES[h["health"]],
                float(h.get("share", 0)),
            )
            for h in doc["hosts"]
        ]
        return int(doc["seq"]), Scope.FULL if doc["whole"] else Scope.DELTA, entries
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ListError(f"unreadable list: {error!r}") from None


class DiscoveryWatch:
    """Follows discovery's list once the module has asked, until a 503 or two breaks in a row."""

    def __init__(self, exchange: Exchange, host: str, port: int, seq: int) -> None:
        self.exchange, self.seq = exchange, seq
        self._line = HttpLine(exchange.after, host, port, LIST_LIMIT)
        self._task: asyncio.Task[None] | None = None
        self._moved_at: int | None = None
        self.failed = 0  # tries since the move

    def watch(self) -> None:
        """The module's request."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._follow())

    def move(self, host: str, port: int) -> None:
        """Watch at this address from now on: the list goes on from the version that was read last."""
        self.close()
        self._line = HttpLine(self.exchange.after, host, port, LIST_LIMIT)
        self._moved_at = self.exchange.clock.now_us()
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
            try:
                self.seq, scope, entries = await self._ask()
                self.exchange.list_instances(scope, entries)
                failures = 0
            except (*FAILURES, ListError) as error:
                log.warning("discovery: the watch ended: %s", str(error) or type(error).__name__)
                # Discovery that answers but cannot serve is busy: the module asks again, later.
                failures += 2 if isinstance(error, ValueError) else 1
            except Exception:
                log.exception("discovery: the watch failed")  # a defect must not end the watch unnoticed
                failures += 1
            if failures and self._just_moved():
                failures, self.failed = 0, self.failed + 1
                await pause(self.exchange.after, AGAIN_US)
        self.exchange.list_instances(Scope.FAILED, ())

    def _just_moved(self) -> bool:
        """Guards against a new address that opens late: the module would ask again only seconds on."""
        now = self.exchange.clock.now_us()
        return self._moved_at is not None and now - self._moved_at < MOVED_US

    async def _ask(self) -> tuple[int, Scope, list[Instance]]:
        async with time_limit(self.exchange.after, WAIT_MS * 1000 + GRACE_US):
            target = f"/v1/servers?index={self.seq}&wait={WAIT_MS}"
            _, doc = await self._line.get_json(target)
        return parse_list(doc)
