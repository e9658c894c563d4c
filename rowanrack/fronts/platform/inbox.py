"""Calls to the platform's instances: POST /inbox, and what their answers mean."""

from __future__ import annotations

from rowanrack.core.messages import Ending, Execution
from rowanrack.net.http import Call, Reply
from rowanrack.net.pool import Verdict
from rowanspindle import Result

WAIT_MOST_MS = 3_600_000  # a longer wait outlives every message that is held


def wait_us(header: str) -> int:
    """The wait that X-Retry-In-Ms tells; 0 if it cannot be read."""
    text = header.strip()
    return min(int(text[:12]), WAIT_MOST_MS) * 1000 if text.isascii() and text.isdigit() else 0


class InboxForm:
    """The platform's form of a call."""

    def call(self, execution: Execution, left_us: int) -> Call:
        """The id, the key and the body are passed on unchanged."""
        message = execution.message
        headers = [("X-Txn", message.id), ("X-Remaining", f"{left_us // 1000}m")]
        if message.key:
            headers.append(("Idempotency-Key", message.key))
        return Call("POST", "/inbox", tuple(headers), message.body)

    def verdict(self, execution: Execution, reply: Reply) -> Verdict:
        """The table of outcomes in the protocol."""
        match reply.status:
            case 200:
                return Verdict(Result.OK)
            case 429:
                return Verdict(Result.FULL, wait_us(reply.headers.get("x-retry-in-ms", "")))
            case 503 if reply.headers.get("x-no-slot") == "1":
                return Verdict(Result.MOOT)
            case 503:
                return Verdict(Result.FULL)
            case 504:
                return Verdict(Result.MOOT)
            case 410:
                return Verdict(Result.MOOT, end=Ending.OVER)
            case _:
                return Verdict(Result.ERROR)
