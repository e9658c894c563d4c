"""The connection pool: connections to endpoints, and the calls on them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import replace

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, Batch, CallVerdict, Endpoint, Progress
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.net.answer_finder import (
    AnswerFinder,
    CallInProgress,
    CallProtocol,
    PooledConnection,
)
from rowanrack.net.answer_guard import AnswerGuard
from rowanrack.net.http import (
    CallBrokenError,
    CallNotSentError,
    HttpClientConnection,
    StaleConnectionError,
)
from rowanrack.net.idle_connections import IdleConnections, LastCall
from rowanrack.net.stream import Stream
from rowanrack.net.timing import time_limit
from rowanspindle import Result

log = logging.getLogger(__name__)

MAX_RESPONSE_BODY_BYTES = 64 * 1024
# For the rest of a response: the result of the message is known from its beginning.
RESPONSE_REST_TIMEOUT_US = 200_000


def last_call(protocol: CallProtocol, settled: Sequence[tuple[Attempt, CallVerdict]]) -> LastCall:
    """Return what an idle connection keeps of its last call."""
    messages = [(replace(a.message, body=b""), verdict.result is Result.OK) for a, verdict in settled]
    return LastCall(
        tuple(message for message, delivered in messages if delivered),
        tuple(message for message, delivered in messages if not delivered),
        protocol.forbids_retry,
    )


class EndpointPool:
    """Connections to endpoints, each with one call at a time, and a task for each batch of attempts."""

    def __init__(self, exchange: Exchange, forms: dict[str, CallProtocol], max_idle: int) -> None:
        self.exchange, self.forms = exchange, forms
        self.answer_guard = AnswerGuard(exchange.clock.now_us)
        self.idle = IdleConnections(exchange, self.answer_guard, max_idle)
        self.tasks: dict[Batch, asyncio.Task[None]] = {}
        self._callers: dict[Batch, HttpClientConnection] = {}  # of calls in progress
        self._answers = AnswerFinder(exchange, self.answer_guard)
        self._broken_calls = RateLimitedLog(log)

    # Called by the exchange.

    def start(self, batch: Batch) -> None:
        """Start a task that makes the calls of a batch."""
        task = self.tasks[batch] = asyncio.create_task(self._run(batch))
        task.add_done_callback(lambda _: self.tasks.pop(batch, None))

    def abandon(self, batch: Batch) -> None:
        """Cancel the call and close its connection, which notifies the endpoint.

        The connection is closed here and not in the task of the call, which runs later: if the last byte went
        out in between, a call that is settled as not sent would run after all.
        """
        if (caller := self._callers.get(batch)) is not None:
            caller.stream.abort()
        if (task := self.tasks.pop(batch, None)) is not None:
            task.cancel()

    def progress(self, batch: Batch) -> Progress:
        """Return the progress of the current call of a batch."""
        caller = self._callers.get(batch)
        return Progress.SENT if caller is None else caller.progress

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an endpoint."""
        self.idle.close(name)
        if not self.exchange.endpoint_list.accepts_calls(name):
            self.answer_guard.forget(name)

    def close(self) -> None:
        """Cancel all calls and close all connections."""
        for batch in list(self.tasks):
            self.abandon(batch)
        for name in list(self.idle.by_endpoint):
            self.idle.close(name)

    # Calls of one batch.

    async def _run(self, batch: Batch) -> None:
        """Make the calls of a batch one after the other: a batch has one slot."""
        connection: PooledConnection | None = None
        try:
            while waiting := batch.waiting():
                connection = connection or await self._take(batch.endpoint)
                form = self.forms[waiting[0].message.front]
                same_form = [attempt for attempt in waiting if self.forms[attempt.message.front] is form]
                part = [
                    attempt
                    for attempt in same_form[: form.batch_size(same_form)]
                    if self.exchange.begin(attempt)
                ]
                if not part:
                    continue
                verdicts = await self._call(connection, form, part)
                settled = list(zip(part, verdicts, strict=True))
                self._release(batch.endpoint, connection, last_call(form, settled))
                connection = None
                for attempt, verdict in settled:
                    self.exchange.settle(attempt, verdict)
            if connection is not None:
                self._release(batch.endpoint, connection)
                connection = None
        except (OSError, TimeoutError):
            # Only opening a connection raises these: no waiting attempt has been written.
            for attempt in batch.waiting():
                self.exchange.settle(attempt, Result.CONNECT_FAILED)
        except Exception:
            log.exception("call to endpoint %s failed with an unexpected error", batch.endpoint.name)
            for attempt in batch.attempts:
                self.exchange.settle(attempt, Result.RESET if attempt.begun else Result.CONNECT_FAILED)
        finally:
            if connection is not None:
                connection.caller.stream.abort()

    async def _take(self, endpoint: Endpoint) -> PooledConnection:
        """Return an idle connection to the endpoint, or else a new one."""
        if (taken := await self.idle.take(endpoint)) is not None:
            return PooledConnection(*taken)
        return PooledConnection(await self._connect(endpoint))

    def _release(
        self, endpoint: Endpoint, connection: PooledConnection, call: LastCall | None = None
    ) -> None:
        """Keep a connection for later calls if it is reusable; `call` is its last one."""
        if connection.caller.reusable:
            self.idle.keep(endpoint, connection.caller, call)
        else:
            connection.caller.stream.abort()

    async def _call(
        self, connection: PooledConnection, form: CallProtocol, part: list[Attempt]
    ) -> list[CallVerdict]:
        """Make one call and return the verdict on each attempt in it."""
        now = self.exchange.clock.now_us()
        left_us = max(attempt.started_us + attempt.timeout_us - now for attempt in part)
        batch, caller = part[0].batch, connection.caller
        self._callers[batch] = caller
        call = CallInProgress(connection, form, part, now, frozenset(caller.statuses))
        try:
            reply = await caller.call(form.call(part, max(1000, left_us)))
            call.record_answer_status(reply)
            if caller.carried_calls == 1:
                self.answer_guard.record_first_answer(batch.endpoint.zone, self.exchange.clock.now_us() - now)
            else:
                reply = await self._answers.find(call, reply)
            return form.verdicts(part, reply)
        except StaleConnectionError:
            result = Result.MOOT  # says nothing about the endpoint: only the idle connection was stale
        except CallNotSentError:
            result = Result.CONNECT_FAILED
        except CallBrokenError as error:
            if error.readable_part is not None:
                self._answers.obey(call, error.readable_part)
            self._broken_calls.warning(
                "call to endpoint %s failed and may have run: %s", part[0].endpoint.name, error
            )
            result = Result.RESET
        finally:
            del self._callers[batch]
        return [CallVerdict(result)] * len(part)

    async def _connect(self, endpoint: Endpoint) -> HttpClientConnection:
        async with time_limit(self.exchange.after, self.exchange.settings.connect_timeout_us):
            stream = await Stream.connect(endpoint.host, endpoint.port)
        host = f"{endpoint.host}:{endpoint.port}"
        return HttpClientConnection(
            stream, host, MAX_RESPONSE_BODY_BYTES, self.exchange.after, RESPONSE_REST_TIMEOUT_US
        )
