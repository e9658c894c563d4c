"""Finds the answer to a call among the responses that come on its connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, CallVerdict, Ending, Endpoint, Message
from rowanrack.core.metrics import HeldAnswerEnd
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.net.answer_guard import AnswerGuard
from rowanrack.net.http import Call, CallBrokenError, HttpClientConnection, Reply
from rowanrack.net.timing import time_limit

log = logging.getLogger(__name__)

MAX_COPIES = 16  # of earlier answers ahead of the answer to a call
TIMEOUT_MARGIN_US = 20_000  # before a call times out, by which a premature answer is settled


class CallProtocol(Protocol):
    """How messages of a front are sent to endpoints."""

    def batch_size(self, waiting: Sequence[Attempt]) -> int:
        """Return how many attempts, from the first on, go into one call; all are for one endpoint."""

    def call(self, part: Sequence[Attempt], left_us: int) -> Call:
        """Return the request for attempts that have this time left."""

    def verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        """Return the verdict of the response on each attempt."""

    def forbids_retry(self, status: int) -> bool:
        """Whether a message whose call is answered with this status may not be sent again."""


@dataclass(slots=True)
class PooledConnection:
    """A connection in use, and how long it was idle before."""

    caller: HttpClientConnection
    idle_us: int = 0


@dataclass(frozen=True, slots=True)
class CallInProgress:
    """A call that was sent: its connection, its protocol, the attempts in it, and when it began."""

    connection: PooledConnection
    protocol: CallProtocol
    part: Sequence[Attempt]
    began_us: int
    earlier_statuses: frozenset[int]  # of the responses to earlier calls on its connection

    @property
    def endpoint(self) -> Endpoint:
        """The endpoint of the call."""
        return self.part[0].endpoint

    def record_answer_status(self, reply: Reply) -> None:
        """Record the status of a response to the call in its attempts, for the log."""
        for attempt in self.part:
            attempt.answer_status = reply.status


def log_given_up(limited_log: RateLimitedLog, message: Message, endpoint: Endpoint, status: int) -> None:
    """Log that a message was given up because of an answer that may not be its own."""
    text = "message %s: given up, endpoint %s answered %d, which forbids to send it again"
    limited_log.write(logging.INFO, text, message.id, endpoint.name, status)


class AnswerFinder:
    """Tells the answer to a call from second copies of earlier answers."""

    def __init__(self, exchange: Exchange, guard: AnswerGuard) -> None:
        self._exchange, self._guard = exchange, guard
        self._late_answers, self._abandoned_answers = RateLimitedLog(log), RateLimitedLog(log)
        self._given_up_messages = RateLimitedLog(log)

    async def find(self, call: CallInProgress, reply: Reply) -> Reply:
        """Return the answer to a later call of its connection, of which the reply may not be the answer.

        A reply that another one follows, or that came too soon, may repeat an earlier answer. Raise
        CallBrokenError if the connection ends without another one, or if they differ: which of them belongs
        to the call is unknown then.
        """
        caller = call.connection.caller
        for _ in range(MAX_COPIES):
            time_us = caller.response_began_us - call.began_us
            premature = self._guard.is_premature(call.endpoint.zone, time_us)
            if not (premature or caller.has_surplus or self._may_copy_withdrawal(call, reply)):
                return reply
            self.obey(call, reply)
            if not any(attempt.message.id in self._exchange.messages for attempt in call.part):
                # Nobody needs the call any more, and another answer to it may still come.
                caller.stream.abort()
                return reply
            if not caller.has_surplus and not await self._input_follows(call):
                self._guard.record_confirmed_answer(call.endpoint.zone, time_us)
                return reply
            following = await caller.following_reply() if reply.complete else None
            if following is None:
                if premature:
                    raise CallBrokenError("an answer came too soon to be this call's, and no other followed")
                return reply
            self.obey(call, following)
            differs = following.status != reply.status
            if premature or differs:  # otherwise the second one is a copy right behind its answer
                self._record_late_answer(call.endpoint, call.connection.idle_us + time_us)
            if differs:
                raise CallBrokenError(f"two answers to one call, {reply.status} and {following.status}")
        raise CallBrokenError(f"more than {MAX_COPIES} answers to one call")

    @staticmethod
    def _may_copy_withdrawal(call: CallInProgress, reply: Reply) -> bool:
        """Whether a reply says that its message is withdrawn, and may be a copy of an earlier answer.

        Its message would be lost: there is no notice of a withdrawal. Answers to bulk calls name messages.
        """
        if len(call.part) > 1 or reply.status not in call.earlier_statuses:
            return False
        (verdict,) = call.protocol.verdicts(call.part, reply)
        return verdict.end is Ending.WITHDRAWN

    def obey(self, call: CallInProgress, reply: Reply) -> None:
        """Obey at once what a reply forbids, whichever call it belongs to."""
        call.record_answer_status(reply)
        for attempt, verdict in zip(call.part, call.protocol.verdicts(call.part, reply), strict=True):
            self._exchange.record_told_wait(attempt, verdict.wait_us)
            if verdict.end is not None and self._exchange.give_up_unsendable(attempt.message):
                log_given_up(self._given_up_messages, attempt.message, call.endpoint, reply.status)

    async def _input_follows(self, call: CallInProgress) -> bool:
        """Wait for input behind a premature answer; return False if none comes within the time for it."""
        now = self._exchange.clock.now_us()
        left_us = max(attempt.started_us + attempt.timeout_us - now for attempt in call.part)
        confirmation_us = self._guard.confirmation_us(call.endpoint.zone)
        wait_us = max(0, min(left_us - TIMEOUT_MARGIN_US, confirmation_us))
        held_answers = self._exchange.metrics.held_answers
        try:
            async with time_limit(self._exchange.after, wait_us):
                await call.connection.caller.stream.wait_for_input()
        except TimeoutError:
            held_answers[HeldAnswerEnd.CONFIRMED] += 1
            return False
        except asyncio.CancelledError:
            held_answers[HeldAnswerEnd.ABANDONED] += 1
            self._log_abandoned(call)
            raise
        held_answers[HeldAnswerEnd.FOLLOWED] += 1
        return True

    def _log_abandoned(self, call: CallInProgress) -> None:
        self._abandoned_answers.write(
            logging.INFO,
            "message %s: call to %s given up while its answer %d was held, as it came very soon",
            call.part[0].message.id,
            call.endpoint.name,
            call.part[0].answer_status,
        )

    def _record_late_answer(self, endpoint: Endpoint, delay_us: int) -> None:
        """Record an answer that belongs to an earlier call of its connection."""
        self._exchange.metrics.unsolicited_responses += 1
        self._guard.record_late_answer(endpoint.name, delay_us)
        self._late_answers.warning(
            "endpoint %s: an answer came again, %.1f ms after the last one on that connection, "
            "and was followed by the answer to the call",
            endpoint.name,
            delay_us / 1000,
        )
