"""Consul as a source of the name table: blocking queries on its catalogue and health API.

Every service that is named, or that carries the tag, is watched by a query of its own. An instance's meta
tells what Consul itself has no field for: `dest`, `kind` and `rate`, and `zone` if it is not the datacentre.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Endpoint
from rowanrack.net.http import FAILURES, HttpLine
from rowanrack.net.rare_log import RareLog
from rowanrack.net.timing import pause, time_limit
from rowanspindle import EndpointStatus, UpdateScope

log = logging.getLogger(__name__)

WAIT_S = 60  # for which a query may block
ANSWER_US = 2_000_000  # for an answer that Consul need not wait for; it adds up to a sixteenth to a wait
# After a failure: twice, and with one more query between that falls silent, news are known within 6 s.
RETRY_LEAST_US, RETRY_MOST_US = 500_000, 1_750_000
LIST_LIMIT = 4 << 20
RESET_US = 100_000  # before the query from the start behind an index that went backwards
MAINTENANCE = ("_node_maintenance", "_service_maintenance")


class ConsulError(ValueError):
    """An answer that cannot be used."""


def next_index(last: int, header: str) -> int:
    """The index of the next query: Consul's, but from the start again (0) should it have gone backwards.

    An index of 0 would not block, so a first answer without a good one is followed by 1.
    """
    if not header.isascii() or not header.isdigit():
        raise ConsulError("no X-Consul-Index")
    index = int(header)
    return 0 if index < last else max(1, index)


def status_of(checks: list[dict[str, Any]]) -> EndpointStatus:
    """Maintenance means that nothing new is wanted, and a critical check says the same."""
    for check in checks:
        if str(check.get("CheckID", "")).startswith(MAINTENANCE) or check.get("Status") == "critical":
            return EndpointStatus.DRAINING
    return EndpointStatus.LISTED


def read_instance(item: dict[str, Any]) -> Endpoint:
    """One entry of a health query."""
    service, node = item["Service"], item["Node"]
    meta = service.get("Meta") or {}
    port, rate = int(service["Port"]), float(meta["rate"])
    if not 0 < port < 65536:
        raise ValueError(f"port: {port}")
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f"rate: {rate}")
    return Endpoint(
        name=f"{node['Node']}/{service['ID']}",
        host=str(service.get("Address") or node["Address"]),
        port=port,
        zone=str(meta.get("zone") or node.get("Datacenter", "")),
        kind=str(meta["kind"]),
        dest=int(meta["dest"]),
        status=status_of(item.get("Checks") or []),
        rate=rate,
    )


def read_instances(doc: Any, lines: RareLog | logging.Logger = log) -> list[Endpoint]:
    """The entries of a health query; one without its meta is logged and left out."""
    if not isinstance(doc, list):
        raise ConsulError("not a list of instances")
    listed = []
    for item in doc:
        try:
            listed.append(read_instance(item))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            lines.warning("consul: an instance is left out, bad or missing %s", error)
    return listed


class ConsulSource:
    """The tasks that follow Consul, for as long as the sender runs."""

    def __init__(
        self, exchange: Exchange, address: tuple[str, int], services: tuple[str, ...], tag: str
    ) -> None:
        self.exchange, self.address, self.tag = exchange, address, tag
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._catalogue: asyncio.Task[None] | None = None
        self._named = services
        self._rare, self._rare_out = (
            RareLog(log),
            RareLog(log),
        )  # of answers, and of entries that are left out

    def start(self) -> None:
        """Begin to follow."""
        if self.tag:
            self._catalogue = asyncio.create_task(
                self._follow("/v1/catalog/services?", "the catalogue", self._services)
            )
        self._watch(set(self._named))

    def close(self) -> None:
        """Stop following."""
        for task in (self._catalogue, *self._tasks.values()):
            if task is not None:
                task.cancel()

    def _services(self, doc: Any) -> None:
        """The catalogue's services and their tags."""
        if not isinstance(doc, dict):
            raise ConsulError("not a list of services")
        self._watch({name for name, tags in doc.items() if self.tag in (tags or [])})

    def _watch(self, services: set[str]) -> None:
        for name in sorted(self._tasks.keys() - services):
            self._tasks.pop(name).cancel()
            self.exchange.list_instances(UpdateScope.FULL, (), f"consul {name}")
        for name in sorted(services - self._tasks.keys()):
            path = f"/v1/health/service/{quote(name, safe='')}?"
            self._tasks[name] = asyncio.create_task(self._follow(path, name, self._lister(name)))

    def _lister(self, name: str) -> Callable[[Any], None]:
        def take(doc: Any) -> None:
            self.exchange.list_instances(
                UpdateScope.FULL, read_instances(doc, self._rare_out), f"consul {name}"
            )

        return take

    async def _follow(self, path: str, what: str, take: Callable[[Any], None]) -> None:
        """One blocking query after the other; after a failure again, from the start and a little later."""
        line, index, retry_us = HttpLine(self.exchange.after, *self.address, LIST_LIMIT), 0, RETRY_LEAST_US
        try:
            while True:
                last, asked_at = index, self.exchange.clock.now_us()
                try:
                    index, doc = await self._ask(line, path, index)
                    if index:
                        take(doc)
                except (*FAILURES, ConsulError) as error:
                    self._rare.warning("consul: %s: %s", what, str(error) or type(error).__name__)
                except Exception:
                    log.exception("consul: %s", what)  # a defect must not end the watch
                else:
                    retry_us = RETRY_LEAST_US
                    # Guards the agent, and this core, against answers that do not wait, or go up and down.
                    early = self.exchange.clock.now_us() - asked_at < WAIT_S * 1_000_000
                    if early and index in (0, last):
                        await pause(self.exchange.after, RETRY_LEAST_US if index else RESET_US)
                    continue
                index = 0
                await pause(self.exchange.after, retry_us)
                retry_us = min(2 * retry_us, RETRY_MOST_US)
        finally:
            line.close()

    async def _ask(self, line: HttpLine, path: str, index: int) -> tuple[int, Any]:
        wait_us = WAIT_S * 1_000_000 * 17 // 16 if index else 0  # from the start it answers at once
        async with time_limit(self.exchange.after, wait_us + ANSWER_US):
            headers, doc = await line.get_json(f"{path}index={index}&wait={WAIT_S}s")
        return next_index(index, headers.get("x-consul-index", "")), doc
