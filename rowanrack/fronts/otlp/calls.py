"""Calls to OTLP servers, and what their answers mean under the house's rules."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from datetime import datetime
from email.utils import parsedate_to_datetime

from rowanrack.core.messages import Attempt, CallVerdict, Ending
from rowanrack.fronts.otlp import OtlpError
from rowanrack.fronts.otlp.signals import JSON, PROTOBUF, SIGNALS, parse_message
from rowanrack.net.http import Call, Reply
from rowanspindle import Result

log = logging.getLogger(__name__)

WAIT_MOST_S = 3600.0  # a longer Retry-After outlives every message that is held


def retry_after_us(header: str, now: datetime) -> int:
    """The wait that a Retry-After asks for, in seconds or as a date; 0 if it asks for none."""
    text = header.strip()
    if text.isascii() and text.isdigit():
        seconds = float(text[:9])
    else:
        try:
            seconds = (parsedate_to_datetime(text).astimezone(now.tzinfo) - now).total_seconds()
        except (ValueError, OverflowError):
            # Guards a refusal against a date that no calendar holds: the attempt would count as one that ran.
            return 0
    return int(max(0.0, min(seconds, WAIT_MOST_S)) * 1_000_000)


class OtlpForm:
    """OTLP/HTTP's form of a call: the export request as it was received, uncompressed."""

    def part(self, waiting: Sequence[Attempt]) -> int:
        """An export request is one message, so each goes in a call of its own."""
        return min(1, len(waiting))

    def call(self, part: Sequence[Attempt], left_us: int) -> Call:
        """OTLP has no header for the time that the sender waits; a key goes in the usual one."""
        message = part[0].message
        signal, _, kind = message.form.partition(" ")
        keyed = (("Idempotency-Key", message.key),) if message.key else ()
        return Call("POST", f"/v1/{signal}", (("Content-Type", kind), *keyed), message.body)

    def verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        """What the one answer means."""
        return [self._verdict(part[0], reply)]

    def _verdict(self, attempt: Attempt, reply: Reply) -> CallVerdict:
        """429 and 503 are refusals; 502 and 504 may have run; what is never to be repeated is final."""
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
                log.warning("%s: answered %d, message is failed", attempt.endpoint.name, status)
                return CallVerdict(Result.MOOT, end=Ending.FAILED)

    @staticmethod
    def _log_partial(attempt: Attempt, reply: Reply) -> None:
        """A partial success is delivered, and must not be repeated; the operators read of it here."""
        signal = SIGNALS["/v1/" + attempt.message.form.partition(" ")[0]]
        kind = JSON if reply.headers.get("content-type", "").startswith(JSON) else PROTOBUF
        try:
            response = parse_message(signal.response(), reply.body, kind)
        except OtlpError:
            log.warning("%s: delivered, but the answer cannot be read", attempt.endpoint.name)
            return
        if response.HasField("partial_success"):
            text = " ".join(str(getattr(response, "partial_success")).split())  # noqa: B009
            log.warning("%s: partial success: %s", attempt.endpoint.name, text)
