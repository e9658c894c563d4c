"""Calls to OTLP servers, and the outcome that each answer stands for."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from datetime import datetime
from email.utils import parsedate_to_datetime
from http import HTTPStatus

from rowanrack.core.messages import Attempt, CallVerdict, Ending
from rowanrack.fronts.otlp import OtlpError
from rowanrack.fronts.otlp.signals import JSON, PROTOBUF, SIGNALS, parse_message
from rowanrack.net.http import Call, Reply
from rowanspindle import Result

log = logging.getLogger(__name__)

RETRYABLE_STATUSES = frozenset({429, 502, 503, 504})
MAX_RETRY_AFTER_S = 3600.0  # longer than the deadline of any message that is held


def retry_after_us(header: str, now: datetime) -> int:
    """Parse a Retry-After header, given in seconds or as a date, into a wait; 0 if absent or malformed."""
    text = header.strip()
    if text.isascii() and text.isdigit():
        seconds = float(text[:9])
    else:
        try:
            seconds = (parsedate_to_datetime(text).astimezone(now.tzinfo) - now).total_seconds()
        except (ValueError, OverflowError):
            # Raising for a date out of range would make the refused attempt count as one that may have run.
            return 0
    return int(max(0.0, min(seconds, MAX_RETRY_AFTER_S)) * 1_000_000)


class OtlpCallProtocol:
    """Builds OTLP/HTTP calls, which carry the export request as received but uncompressed."""

    def batch_size(self, waiting: Sequence[Attempt]) -> int:
        """Return how many attempts go in the next call: one, since an export request is one message."""
        return min(1, len(waiting))

    def call(self, part: Sequence[Attempt], left_us: int) -> Call:
        """Build the call for one attempt. OTLP has no header for the time that the sender waits."""
        message = part[0].message
        signal, _, content_type = message.form.partition(" ")
        key_header = (("Idempotency-Key", message.key),) if message.key else ()
        return Call("POST", f"/v1/{signal}", (("Content-Type", content_type), *key_header), message.body)

    def verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        """Return the outcome of the single attempt of the call."""
        return [self._verdict(part[0], reply)]

    def forbids_retry(self, status: int) -> bool:
        """Whether OTLP forbids to repeat a request that was answered with this status."""
        return status != HTTPStatus.OK and status not in RETRYABLE_STATUSES

    def _verdict(self, attempt: Attempt, reply: Reply) -> CallVerdict:
        """Map the status to an outcome.

        429 and 503 are refusals and may be retried; 502 and 504 may have run. Any other error status is
        final, since OTLP forbids a retry, and the message fails.
        """
        match reply.status:
            case 200:
                self._log_partial(attempt, reply)
                return CallVerdict(Result.OK)
            case 429 | 503:
                wait_us = retry_after_us(reply.headers.get("retry-after", ""), datetime.now().astimezone())
                return CallVerdict(Result.FULL, wait_us)
            case 502 | 504:
                return CallVerdict(Result.ERROR)
            case status if 500 <= status < 600:
                return CallVerdict(Result.ERROR, end=Ending.FAILED)
            case status:
                log.warning(
                    "%s: answered %d, which must not be retried; the message has failed",
                    attempt.endpoint.name,
                    status,
                )
                return CallVerdict(Result.MOOT, end=Ending.FAILED)

    @staticmethod
    def _log_partial(attempt: Attempt, reply: Reply) -> None:
        """Log a partial success, which counts as delivered since OTLP forbids to repeat it."""
        signal = SIGNALS["/v1/" + attempt.message.form.partition(" ")[0]]
        content_type = JSON if reply.headers.get("content-type", "").startswith(JSON) else PROTOBUF
        try:
            response = parse_message(signal.response(), reply.body, content_type)
        except OtlpError:
            log.warning("%s: delivered, but the response body cannot be parsed", attempt.endpoint.name)
            return
        if response.HasField("partial_success"):
            details = " ".join(str(getattr(response, "partial_success")).split())  # noqa: B009
            log.warning("%s: partial success: %s", attempt.endpoint.name, details)
