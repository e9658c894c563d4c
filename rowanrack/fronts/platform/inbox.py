"""Calls to the platform's endpoints, POST /inbox and /inbox/bulk, and the outcome of each answer."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from http import HTTPStatus

from rowanrack.core.messages import Attempt, CallVerdict, Ending
from rowanrack.fronts.platform import bulk
from rowanrack.net.http import Call, Reply
from rowanspindle import Result

MAX_RETRY_AFTER_MS = 3_600_000  # longer than the deadline of any message that is held
# Bounds the memory for endpoints that reject bulk calls, since new endpoint names keep appearing.
MAX_BULK_REJECTING_ENDPOINTS = 256
VERDICT_BY_STATE = {
    "ok": CallVerdict(Result.OK),
    "error": CallVerdict(Result.ERROR),
    "later": CallVerdict(Result.FULL),
    "gone": CallVerdict(Result.MOOT, end=Ending.WITHDRAWN),
    "exhausted": CallVerdict(Result.MOOT),
    "": CallVerdict(Result.ERROR),  # missing or ambiguous: the attempt may have run
}


def retry_after_us(headers: Mapping[str, str]) -> int:
    """Parse the retry-after wait in X-Retry-In-Ms; 0 if absent or malformed."""
    text = headers.get("x-retry-in-ms", "").strip()
    return min(int(text[:12]), MAX_RETRY_AFTER_MS) * 1000 if text.isascii() and text.isdigit() else 0


def parse_pressure(headers: Mapping[str, str], names: Sequence[str]) -> tuple[float | None, float | None]:
    """Parse X-Pressure and return the share of the limit that is left and the limit, each None if absent.

    Only fields listed in `names`, from the settings, are read. Impossible values are ignored, since a wrong
    limit would slow calls to a destination without need.
    """
    values: dict[str, float] = {}
    for pair in headers.get("x-pressure", "").split(","):
        name, _, text = pair.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if name.strip() in names and math.isfinite(value) and value >= 0:
            values[name.strip()] = value
    return values.get("x0"), values.get("x1")


class InboxCallProtocol:
    """Builds the platform's calls and interprets their answers."""

    def __init__(self, pressure_names: Sequence[str] = ()) -> None:
        self._pressure_names = pressure_names
        self._bulk_rejecting: dict[str, None] = {}  # endpoints that rejected a bulk call, oldest first

    def batch_size(self, waiting: Sequence[Attempt]) -> int:
        """Return how many attempts go in the next call: one if the endpoint has rejected a bulk call."""
        if waiting[0].endpoint.name in self._bulk_rejecting:
            return 1
        return bulk.count_that_fit([attempt.message for attempt in waiting])

    def call(self, part: Sequence[Attempt], left_us: int) -> Call:
        """Build the call for one or more attempts. Ids, keys and bodies are passed on unchanged."""
        remaining_header = ("X-Remaining", f"{left_us // 1000}m")
        if len(part) > 1:
            content_type_header = ("Content-Type", "application/json")
            return Call(
                "POST",
                "/inbox/bulk",
                (remaining_header, content_type_header),
                bulk.encode([attempt.message for attempt in part]),
            )
        message = part[0].message
        headers = [("X-Txn", message.id), remaining_header]
        if message.key:
            headers.append(("Idempotency-Key", message.key))
        return Call("POST", "/inbox", tuple(headers), message.body)

    def verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        """Return the outcome of each attempt. A retry-after wait and a report apply to all of them."""
        retry_wait_us = retry_after_us(reply.headers)
        left_share, limit = (
            parse_pressure(reply.headers, self._pressure_names) if self._pressure_names else (None, None)
        )
        found = [self._verdict(reply)] if len(part) == 1 else self._bulk_verdicts(part, reply)
        if len(part) == 1 and reply.status != 429:
            retry_wait_us = 0  # the answer to a single call carries a wait only with 429
        return [CallVerdict(v.result, retry_wait_us, v.end, left_share, limit) for v in found]

    def forbids_retry(self, status: int) -> bool:
        """Whether the status says that the message is over."""
        return status == HTTPStatus.GONE

    @staticmethod
    def _verdict(reply: Reply) -> CallVerdict:
        """Map the status of an answer to an outcome, as the protocol defines it."""
        match reply.status:
            case 200:
                return CallVerdict(Result.OK)
            case 429:
                return CallVerdict(Result.FULL)
            case 503 if reply.headers.get("x-no-slot") == "1":
                return CallVerdict(Result.MOOT)
            case 503:
                return CallVerdict(Result.FULL)
            case 504:
                return CallVerdict(Result.MOOT)
            case 410:
                return CallVerdict(Result.MOOT, end=Ending.WITHDRAWN)
            case _:
                return CallVerdict(Result.ERROR)

    def _bulk_verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        match reply.status:
            case 200 if reply.complete:
                return [
                    VERDICT_BY_STATE[state]
                    for state in bulk.states(reply.body, [attempt.message.id for attempt in part])
                ]
            case 200:
                return [CallVerdict(Result.RESET)] * len(part)  # truncated: any may have run
            case 400 | 413:
                # None has run. Any message may be the cause, so later calls carry one message each.
                self._bulk_rejecting[part[0].endpoint.name] = None
                if len(self._bulk_rejecting) > MAX_BULK_REJECTING_ENDPOINTS:
                    del self._bulk_rejecting[next(iter(self._bulk_rejecting))]
                return [CallVerdict(Result.MOOT)] * len(part)
            case 429 | 503:
                return [self._verdict(reply)] * len(part)
            case _:
                return [CallVerdict(Result.ERROR)] * len(part)
