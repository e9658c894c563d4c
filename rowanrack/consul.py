"""Consul as a source of the endpoint list: blocking queries on its catalogue and health APIs.

Each service that is configured by name, or that carries the configured tag, is watched by a blocking query.
Service metadata provide what Consul has no field for: `dest`, `kind` and `rate`, and `zone` if it differs
from the datacentre.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import math
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Endpoint
from rowanrack.core.outdated_lists import EndpointHistory, VersionCheck
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.net.http import CALL_ERRORS, SlowReplyError
from rowanrack.net.service_client import ServiceClient
from rowanrack.net.timing import pause
from rowanspindle import EndpointStatus, UpdateScope

log = logging.getLogger(__name__)

BLOCKING_WAIT_S = 60  # how long a query may block
OUTDATED_WAIT_S = 5  # the same behind an outdated answer, which is asked about again
ANSWER_GRACE_US = 2_000_000  # for an answer to begin, beyond the time that the query may block
# With these delays a change is known within 6 s of an outage, even if one more query gets no answer.
MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US = 500_000, 1_750_000
MAX_LIST_BYTES = 4 << 20
INDEX_RESET_DELAY_US = 100_000  # before the query that starts again after the index went backwards
MAINTENANCE_CHECK_PREFIXES = ("_node_maintenance", "_service_maintenance")

# Applies the document of an answer and its index; returns whether the answer is outdated.
ApplyAnswer = Callable[[Any, int], bool]


class ConsulError(ValueError):
    """Raised for an answer that cannot be used."""


def next_index(previous_index: int, header: str) -> int:
    """Return the index for the next query: the one in the header, or 0 to start again if it went backwards.

    A query with index 0 does not block, so 1 is used if the first answer has no positive index.
    """
    if not header.isascii() or not header.isdigit():
        raise ConsulError("the answer has no valid X-Consul-Index header")
    index = int(header)
    return 0 if index < previous_index else max(1, index)


def status_of(checks: list[dict[str, Any]]) -> EndpointStatus:
    """Return the status of an endpoint: draining if it is in maintenance or a check is critical."""
    for check in checks:
        if (
            str(check.get("CheckID", "")).startswith(MAINTENANCE_CHECK_PREFIXES)
            or check.get("Status") == "critical"
        ):
            return EndpointStatus.DRAINING
    return EndpointStatus.LISTED


def parse_endpoint(item: dict[str, Any]) -> Endpoint:
    """Parse one entry of the answer to a health query."""
    service, node = item["Service"], item["Node"]
    meta = service.get("Meta") or {}
    port, rate = int(service["Port"]), float(meta["rate"])
    if not 0 < port < 65536:
        raise ValueError(f"port out of range: {port}")
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f"rate must be finite and not negative: {rate}")
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


def parse_endpoints(document: Any, skip_warnings: RateLimitedLog | logging.Logger = log) -> list[Endpoint]:
    """Parse the answer to a health query. Malformed entries and those without metadata are skipped."""
    if not isinstance(document, list):
        raise ConsulError("not a list of endpoints")
    endpoints = []
    for item in document:
        try:
            endpoints.append(parse_endpoint(item))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            skip_warnings.warning("consul: an endpoint is left out, missing or invalid field: %s", error)
    return endpoints


class ConsulSource:
    """Watches Consul and updates the endpoint list for as long as the sender runs."""

    def __init__(
        self, exchange: Exchange, address: tuple[str, int], services: tuple[str, ...], tag: str
    ) -> None:
        self.exchange, self.address, self.tag = exchange, address, tag
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._catalogue_task: asyncio.Task[None] | None = None
        self._catalogue_versions = VersionCheck()
        # By service, those that have left the catalogue included: it may list them again by a late answer.
        self._histories: dict[str, EndpointHistory] = {}
        self._configured_services = services
        # Rate-limited logs: of failed queries, of entries that are left out, and of outdated answers.
        self._query_warnings, self._skip_warnings = RateLimitedLog(log), RateLimitedLog(log)
        self._outdated_warnings = RateLimitedLog(log)

    def start(self) -> None:
        """Start watching."""
        if self.tag:
            self._catalogue_task = self._start_watch(
                "/v1/catalog/services?", "the catalogue", self._apply_catalogue
            )
        self._watch_services(set(self._configured_services))

    def close(self) -> None:
        """Stop watching."""
        for task in (self._catalogue_task, *self._tasks.values()):
            if task is not None:
                task.cancel()

    def _apply_catalogue(self, document: Any, index: int) -> bool:
        """Apply an answer of the catalogue: watch the services that carry the tag."""
        if not isinstance(document, dict):
            raise ConsulError("not a map of services to tags")
        now_us = self.exchange.clock.now_us()
        services = {name for name, tags in document.items() if self.tag in (tags or [])}
        is_outdated = self._catalogue_versions.is_outdated(index, now_us)
        if not is_outdated:
            for name in self._histories.keys() - services:
                self._histories[name].remove_all(now_us)
        self._watch_services(services)
        for name in [n for n, h in self._histories.items() if n not in services and h.forgettable(now_us)]:
            del self._histories[name]
        return is_outdated

    def _watch_services(self, services: set[str]) -> None:
        for name in sorted(self._tasks.keys() - services):
            self._tasks.pop(name).cancel()
            self.exchange.update_endpoints(UpdateScope.FULL, (), f"consul {name}")
        for name in sorted(services - self._tasks.keys()):
            path = f"/v1/health/service/{quote(name, safe='')}?"
            self._histories.setdefault(name, EndpointHistory())
            self._tasks[name] = self._start_watch(path, name, functools.partial(self._apply_health, name))

    def _apply_health(self, name: str, document: Any, index: int) -> bool:
        """Apply the answer to a health query: the endpoints of one service."""
        history, listed = self._histories[name], parse_endpoints(document, self._skip_warnings)
        newest_index = history.newest_version
        checked = history.check(UpdateScope.FULL, index, listed, self.exchange.clock.now_us())
        if checked.is_outdated:
            self._outdated_warnings.warning(
                "consul: the answer for %s is outdated, its index %d is lower than %d: it opens no endpoint"
                " that has been closed",
                name,
                index,
                newest_index,
            )
        self.exchange.update_endpoints(UpdateScope.FULL, checked.endpoints, f"consul {name}")
        return checked.is_outdated

    def _start_watch(self, path: str, subject: str, apply: ApplyAnswer) -> asyncio.Task[None]:
        watch = BlockingWatch(self.exchange, self.address, path, subject, apply, self._query_warnings)
        return asyncio.create_task(watch.run())


class BlockingWatch:
    """Makes one blocking query after another; after a failure, starts again from index 0 with back-off."""

    def __init__(
        self,
        exchange: Exchange,
        address: tuple[str, int],
        path: str,
        subject: str,
        apply: ApplyAnswer,
        warnings: RateLimitedLog,
    ) -> None:
        self._after, self._clock = exchange.after, exchange.clock
        self._http = ServiceClient(exchange.after, *address, MAX_LIST_BYTES)
        self._path, self._subject, self._apply, self._warnings = path, subject, apply, warnings
        self._index, self._wait_s = 0, BLOCKING_WAIT_S
        self._retry_delay_us = MIN_RETRY_DELAY_US

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                delay_us = await self._query_once()
                if delay_us:
                    await pause(self._after, delay_us)
        finally:
            self._http.close()

    async def _query_once(self) -> int:
        """Make one query and apply its answer; return the delay before the next one."""
        try:
            return await self._query()
        except (*CALL_ERRORS, ConsulError) as error:
            if isinstance(error, SlowReplyError):
                self._retry_delay_us = MIN_RETRY_DELAY_US  # the agent can be reached
            self._warnings.warning(
                "consul: the query for %s failed: %s", self._subject, str(error) or type(error).__name__
            )
        except Exception:
            # Caught so that a defect does not end the watch.
            log.exception("consul: the query for %s failed unexpectedly", self._subject)
        self._index, delay_us = 0, self._retry_delay_us
        self._retry_delay_us = min(2 * self._retry_delay_us, MAX_RETRY_DELAY_US)
        return delay_us

    async def _query(self) -> int:
        previous_index, wait_us, asked_at_us = self._index, self._wait_s * 1_000_000, self._clock.now_us()
        target = f"{self._path}index={previous_index}&wait={self._wait_s}s"
        # A query with index 0 does not block; Consul adds up to a sixteenth to the wait of others.
        begins_within_us = (wait_us * 17 // 16 if previous_index else 0) + ANSWER_GRACE_US
        headers, document = await self._http.get_json(target, begins_within_us)
        self._index = next_index(previous_index, headers.get("x-consul-index", ""))
        if self._index:
            is_outdated = self._apply(document, self._index)
            self._wait_s = OUTDATED_WAIT_S if is_outdated else BLOCKING_WAIT_S
        self._retry_delay_us = MIN_RETRY_DELAY_US
        # Avoids a busy loop if the agent answers without blocking or its index goes up and down.
        answered_early = self._clock.now_us() - asked_at_us < wait_us
        if answered_early and self._index in (0, previous_index):
            return MIN_RETRY_DELAY_US if self._index else INDEX_RESET_DELAY_US
        return 0
