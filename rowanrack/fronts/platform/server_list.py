"""Parses the endpoint lists of the platform's discovery service."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from rowanrack.core.messages import Endpoint
from rowanspindle import EndpointStatus, UpdateScope

STATUSES = {
    "SERVING": EndpointStatus.LISTED,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}


class ListError(ValueError):
    """Raised for an endpoint list that cannot be parsed."""


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`. Raises ListError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"not an address of the form host:port: {text!r}")
    return host.strip("[]"), int(port)


def parse_rate(value: Any) -> float:
    """Parse a rate in calls per second. Rejects infinities and NaN, which the json module accepts."""
    if not math.isfinite(rate := float(value)) or rate < 0:
        raise ListError(f"not a rate of calls per second: {value!r}")
    return rate


def parse_start_time(value: Any) -> int:
    """Parse the time of a start in Unix milliseconds; 0 for anything that is none."""
    is_number = isinstance(value, int | float) and math.isfinite(value)
    return max(0, int(value)) if is_number else 0


ENTRY_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


@dataclass(frozen=True, slots=True)
class ServerList:
    """An answer of discovery: version, scope, entries, and the errors of entries that cannot be parsed."""

    seq: int
    scope: UpdateScope
    entries: list[Endpoint]
    entry_errors: list[str]


def parse_entry(host: Any) -> Endpoint:
    """Parse one entry of a list. Raises one of ENTRY_ERRORS."""
    return Endpoint(
        str(host["host"]),
        *parse_address(host["dial"]),
        str(host["site"]),
        str(host["class"]),
        int(host["block"]),
        STATUSES[host["health"]],
        parse_rate(host.get("share", 0)),
        parse_start_time(host.get("born_ms")),
    )


def read_list(document: Any) -> ServerList:
    """Parse a list. Raises ListError if it is malformed, or is a full list without any valid entry."""
    entries, entry_errors = list[Endpoint](), list[str]()
    try:
        seq, scope, hosts = (
            int(document["seq"]),
            UpdateScope.FULL if document["whole"] else UpdateScope.DELTA,
            list(document["hosts"]),
        )
    except ENTRY_ERRORS as error:
        raise ListError(f"malformed endpoint list: {error!r}") from None
    for host in hosts:
        try:
            entries.append(parse_entry(host))
        except ENTRY_ERRORS as error:
            entry_errors.append(repr(error))
    if entry_errors and not entries and scope is UpdateScope.FULL:
        raise ListError(f"malformed endpoint list: {entry_errors[0]}")
    return ServerList(seq, scope, entries, entry_errors)


def parse_list(document: Any) -> tuple[int, UpdateScope, list[Endpoint]]:
    """Parse a list and return its version, scope and entries. Raises ListError if any entry is invalid."""
    server_list = read_list(document)
    if server_list.entry_errors:
        raise ListError(f"malformed endpoint list: {server_list.entry_errors[0]}")
    return server_list.seq, server_list.scope, server_list.entries
