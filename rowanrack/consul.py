"""Consul as a source of the endpoint list: blocking queries on its catalogue and health APIs.

Each service that is configured by name, or that carries the configured tag, is watched by a blocking query.
Service metadata provide what Consul has no field for: `dest`, `kind` and `rate`, and `zone` if it differs
from the datacentre.
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
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.net.http import CALL_ERRORS, SlowReplyError
from rowanrack.net.service_client import ServiceClient
from rowanrack.net.timing import pause
from rowanspindle import EndpointStatus, UpdateScope

log = logging.getLogger(__name__)

BLOCKING_WAIT_S = 60  # how long a query may block
ANSWER_GRACE_US = 2_000_000  # for an answer to begin, beyond the time that the query may block
# With these delays a change is known within 6 s of an outage, even if one more query gets no answer.
MIN_RETRY_DELAY_US, MAX_RETRY_DELAY_US = 500_000, 1_750_000
MAX_LIST_BYTES = 4 << 20
INDEX_RESET_DELAY_US = 100_000  # before the query that starts again after the index went backwards
MAINTENANCE_CHECK_PREFIXES = ("_node_maintenance", "_service_maintenance")


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
        self._configured_services = services
        # Rate-limited logs: of failed queries, and of entries that are left out.
        self._query_warnings, self._skip_warnings = RateLimitedLog(log), RateLimitedLog(log)

    def start(self) -> None:
        """Start watching."""
        if self.tag:
            self._catalogue_task = asyncio.create_task(
                self._watch_path("/v1/catalog/services?", "the catalogue", self._apply_catalogue)
            )
        self._watch_services(set(self._configured_services))

    def close(self) -> None:
        """Stop watching."""
        for task in (self._catalogue_task, *self._tasks.values()):
            if task is not None:
                task.cancel()

    def _apply_catalogue(self, document: Any) -> None:
        """Apply an answer of the catalogue: watch the services that carry the tag."""
        if not isinstance(document, dict):
            raise ConsulError("not a map of services to tags")
        self._watch_services({name for name, tags in document.items() if self.tag in (tags or [])})

    def _watch_services(self, services: set[str]) -> None:
        for name in sorted(self._tasks.keys() - services):
            self._tasks.pop(name).cancel()
            self.exchange.update_endpoints(UpdateScope.FULL, (), f"consul {name}")
        for name in sorted(services - self._tasks.keys()):
            path = f"/v1/health/service/{quote(name, safe='')}?"
            self._tasks[name] = asyncio.create_task(
                self._watch_path(path, name, self._endpoint_handler(name))
            )

    def _endpoint_handler(self, name: str) -> Callable[[Any], None]:
        def handle_answer(document: Any) -> None:
            self.exchange.update_endpoints(
                UpdateScope.FULL, parse_endpoints(document, self._skip_warnings), f"consul {name}"
            )

        return handle_answer

    async def _watch_path(self, path: str, subject: str, handle_answer: Callable[[Any], None]) -> None:
        """Make one blocking query after another; after a failure, start again from index 0 with back-off."""
        http, index, retry_delay_us = (
            ServiceClient(self.exchange.after, *self.address, MAX_LIST_BYTES),
            0,
            MIN_RETRY_DELAY_US,
        )
        try:
            while True:
                previous_index, asked_at_us = index, self.exchange.clock.now_us()
                try:
                    index, document = await self._query(http, path, index)
                    if index:
                        handle_answer(document)
                except (*CALL_ERRORS, ConsulError) as error:
                    if isinstance(error, SlowReplyError):
                        retry_delay_us = MIN_RETRY_DELAY_US  # the agent can be reached
                    self._query_warnings.warning(
                        "consul: the query for %s failed: %s", subject, str(error) or type(error).__name__
                    )
                except Exception:
                    # Caught so that a defect does not end the watch.
                    log.exception("consul: the query for %s failed unexpectedly", subject)
                else:
                    retry_delay_us = MIN_RETRY_DELAY_US
                    # Avoids a busy loop if the agent answers without blocking or its index goes up and down.
                    answered_early = self.exchange.clock.now_us() - asked_at_us < BLOCKING_WAIT_S * 1_000_000
                    if answered_early and index in (0, previous_index):
                        await pause(
                            self.exchange.after, MIN_RETRY_DELAY_US if index else INDEX_RESET_DELAY_US
                        )
                    continue
                index = 0
                await pause(self.exchange.after, retry_delay_us)
                retry_delay_us = min(2 * retry_delay_us, MAX_RETRY_DELAY_US)
        finally:
            http.close()

    async def _query(self, http: ServiceClient, path: str, index: int) -> tuple[int, Any]:
        # A query with index 0 does not block; Consul adds up to a sixteenth to the wait of others.
        wait_us = BLOCKING_WAIT_S * 1_000_000 * 17 // 16 if index else 0
        target = f"{path}index={index}&wait={BLOCKING_WAIT_S}s"
        headers, document = await http.get_json(target, wait_us + ANSWER_GRACE_US)
        return next_index(index, headers.get("x-consul-index", "")), document
