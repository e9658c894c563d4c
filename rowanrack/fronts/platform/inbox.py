"""Calls to the platform's instances: POST /inbox and /inbox/bulk, and what their answers mean."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from rowanrack.core.messages import Attempt, CallVerdict, Ending
from rowanrack.fronts.platform import bulk
from rowanrack.net.http import Call, Reply
from rowanspindle import Result

WAIT_MOST_MS = 3_600_000  # a longer wait outlives every message that is held
SINGLY_MOST = 256  # instances remembered as taking no bulk; names are ever new
STATES = {
    "ok": CallVerdict(Result.OK),
    "error": CallVerdict(Result.ERROR),
    "later": CallVerdict(Result.FULL),
    "gone": CallVerdict(Result.MOOT, end=Ending.OVER),
    "exhausted": CallVerdict(Result.MOOT),
    "": CallVerdict(Result.ERROR),  # not told, or not clearly: it may have run
}


def wait_us(headers: Mapping[str, str]) -> int:
    """The wait that X-Retry-In-Ms tells; 0 if it tells none, or cannot be read."""
    text = headers.get("x-retry-in-ms", "").strip()
    return min(int(text[:12]), WAIT_MOST_MS) * 1000 if text.isascii() and text.isdigit() else 0


def report(headers: Mapping[str, str], names: Sequence[str]) -> tuple[float | None, float | None]:
    """What X-Pressure tells under the names that the settings give: the share left, and the limit.

    A value that cannot be is as good as none: a made-up limit would hold a destination back for nothing.
    """
    told: dict[str, float] = {}
    for pair in headers.get("x-pressure", "").split(","):
        name, _, text = pair.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if name.strip() in names and math.isfinite(value) and value >= 0:
            told[name.strip()] = value
    return told.get("x0"), told.get("x1")


class InboxForm:
    """The platform's form of a call."""

    def __init__(self, reports: Sequence[str] = ()) -> None:
        self._reports = reports
        self._singly: dict[str, None] = {}  # instances that have turned a bulk down

    def part(self, waiting: Sequence[Attempt]) -> int:
        """As many as one body holds; one where the instance has turned a bulk down unread."""
        if waiting[0].endpoint.name in self._singly:
            return 1
        return bulk.fit([e.message for e in waiting])

    def call(self, part: Sequence[Attempt], left_us: int) -> Call:
        """Ids, keys and bodies are passed on unchanged."""
        remaining = ("X-Remaining", f"{left_us // 1000}m")
        if len(part) > 1:
            kind = ("Content-Type", "application/json")
            return Call("POST", "/inbox/bulk", (remaining, kind), bulk.encode([e.message for e in part]))
        message = part[0].message
        headers = [("X-Txn", message.id), remaining]
        if message.key:
            headers.append(("Idempotency-Key", message.key))
        return Call("POST", "/inbox", tuple(headers), message.body)

    def verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        """What the answer says of each. A wait and a report hold for all, whatever each one's state."""
        wait = wait_us(reply.headers)
        left, limit = report(reply.headers, self._reports) if self._reports else (None, None)
        found = [self._verdict(reply)] if len(part) == 1 else self._bulk_verdicts(part, reply)
        if len(part) == 1 and reply.status != 429:
            wait = 0  # on a single call only 429 tells one
        return [CallVerdict(v.result, wait, v.end, left, limit) for v in found]

    @staticmethod
    def _verdict(reply: Reply) -> CallVerdict:
        """The table of outcomes in the protocol."""
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
                return CallVerdict(Result.MOOT, end=Ending.OVER)
            case _:
                return CallVerdict(Result.ERROR)

    def _bulk_verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        match reply.status:
            case 200 if reply.whole:
                return [STATES[s] for s in bulk.states(reply.body, [e.message.id for e in part])]
            case 200:
                return [CallVerdict(Result.RESET)] * len(part)  # cut behind its first line: any may have run
            case 400 | 413:
                # None has run. One of them may be the cause, so they go singly from now on.
                self._singly[part[0].endpoint.name] = None
                if len(self._singly) > SINGLY_MOST:
                    del self._singly[next(iter(self._singly))]
                return [CallVerdict(Result.MOOT)] * len(part)
            case 429 | 503:
                return [self._verdict(reply)] * len(part)
            case _:
                return [CallVerdict(Result.ERROR)] * len(part)
