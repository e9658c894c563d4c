"""The connection pool: connections to endpoints, and the calls on them."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Sequence
from typing import Protocol

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, Batch, CallVerdict, Endpoint, Progress
from rowanrack.core.wheel import WheelTimer
from rowanrack.net.http import (
    Call,
    CallBrokenError,
    CallNotSentError,
    HttpClientConnection,
    Reply,
    StaleConnectionError,
)
from rowanrack.net.rate_limited_log import RateLimitedLog
from rowanrack.net.stream import Stream
from rowanrack.net.timing import time_limit
from rowanspindle import Result

log = logging.getLogger(__name__)

# Part of the keep-alive time, after which an endpoint may close an idle connection: close well before it.
IDLE_TIMEOUT_FRACTION = 0.6
MAX_RESPONSE_BODY_BYTES = 64 * 1024
# For the rest of a response: the result of the message is known from its beginning.
RESPONSE_REST_TIMEOUT_US = 200_000


class CallProtocol(Protocol):
    """How messages of a front are sent to endpoints."""

    def batch_size(self, waiting: Sequence[Attempt]) -> int:
        """Return how many attempts, from the first on, go into one call; all are for one endpoint."""

    def call(self, part: Sequence[Attempt], left_us: int) -> Call:
        """Return the request for attempts that have this time left."""

    def verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        """Return the verdict of the response on each attempt."""


class IdleConnection:
    """An idle connection; any input meanwhile closes it."""

    def __init__(self, endpoint: Endpoint, caller: HttpClientConnection, now_us: int) -> None:
        self.endpoint, self.caller, self.since_us = endpoint, caller, now_us
        self.watch = asyncio.create_task(caller.stream.wait_for_input())
        self.timer: WheelTimer | None = None


class EndpointPool:
    """Connections to endpoints, each with one call at a time, and a task for each batch of attempts."""

    def __init__(self, exchange: Exchange, forms: dict[str, CallProtocol], max_idle: int) -> None:
        self.exchange, self.forms = exchange, forms
        self.idle: defaultdict[str, list[IdleConnection]] = defaultdict(list)
        self.tasks: dict[Batch, asyncio.Task[None]] = {}
        self._callers: dict[Batch, HttpClientConnection] = {}  # of calls in progress
        self._idle_by_age: dict[IdleConnection, None] = {}  # all idle connections, longest idle first
        self._max_idle = max_idle
        self._warnings, self._broken_calls = RateLimitedLog(log), RateLimitedLog(log)
        self._idle_timeout_us = int(exchange.settings.keepalive_us * IDLE_TIMEOUT_FRACTION)

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
        for idle in self.idle.pop(name, []):
            self._discard(idle)

    def close(self) -> None:
        """Cancel all calls and close all connections."""
        for batch in list(self.tasks):
            self.abandon(batch)
        for name in list(self.idle):
            self.close_idle(name)

    # Calls of one batch.

    async def _run(self, batch: Batch) -> None:
        """Make the calls of a batch one after the other, on one connection: a batch has one slot."""
        caller: HttpClientConnection | None = None
        try:
            while waiting := batch.waiting():
                if caller is None:
                    caller = await self._take_idle(batch.endpoint) or await self._connect(batch.endpoint)
                form = self.forms[waiting[0].message.front]
                same_form = [attempt for attempt in waiting if self.forms[attempt.message.front] is form]
                part = [
                    attempt
                    for attempt in same_form[: form.batch_size(same_form)]
                    if self.exchange.begin(attempt)
                ]
                if not part:
                    continue
                verdicts = await self._call(caller, form, part)
                if not caller.reusable:
                    caller.stream.abort()
                    caller = None
                elif len(part) == len(waiting):
                    self._keep_idle(batch.endpoint, caller)
                    caller = None
                for attempt, verdict in zip(part, verdicts, strict=True):
                    self.exchange.settle(attempt, verdict)
            if caller is not None:
                self._keep_idle(batch.endpoint, caller)
                caller = None
        except (OSError, TimeoutError):
            # Only opening a connection raises these: no waiting attempt has been written.
            for attempt in batch.waiting():
                self.exchange.settle(attempt, Result.CONNECT_FAILED)
        except Exception:
            log.exception("call to endpoint %s failed with an unexpected error", batch.endpoint.name)
            for attempt in batch.attempts:
                self.exchange.settle(attempt, Result.RESET if attempt.begun else Result.CONNECT_FAILED)
        finally:
            if caller is not None:
                caller.stream.abort()

    async def _call(
        self, caller: HttpClientConnection, form: CallProtocol, part: list[Attempt]
    ) -> list[CallVerdict]:
        """Make one call and return the verdict on each attempt in it."""
        now = self.exchange.clock.now_us()
        left_us = max(attempt.started_us + attempt.timeout_us - now for attempt in part)
        batch = part[0].batch
        self._callers[batch] = caller
        try:
            return form.verdicts(part, await caller.call(form.call(part, max(1000, left_us))))
        except StaleConnectionError:
            result = Result.MOOT  # says nothing about the endpoint: only the idle connection was stale
        except CallNotSentError:
            result = Result.CONNECT_FAILED
        except CallBrokenError as error:
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

    async def _take_idle(self, endpoint: Endpoint) -> HttpClientConnection | None:
        """Return the most recently used idle connection that is still usable, or None."""
        waiting = self.idle.get(endpoint.name, [])
        while waiting:
            idle = waiting.pop()
            self._idle_by_age.pop(idle, None)
            if idle.timer is not None:
                idle.timer.cancel()
            # Only one task may read from a connection: until the cancelled watch task has ended, the read of
            # the call would fail.
            idle.watch.cancel()
            try:
                await asyncio.wait([idle.watch])
            except asyncio.CancelledError:
                idle.caller.stream.abort()
                raise
            moved = (endpoint.host, endpoint.port) != (idle.endpoint.host, idle.endpoint.port)
            # The timer may fire late: by then the endpoint may have closed the connection unnoticed.
            expired = self.exchange.clock.now_us() - idle.since_us >= self._idle_timeout_us
            if idle.watch.cancelled() and idle.caller.reusable and not (moved or expired):
                return idle.caller
            idle.caller.stream.abort()
        return None

    def _keep_idle(self, endpoint: Endpoint, caller: HttpClientConnection) -> None:
        if not self.exchange.endpoint_list.accepts_calls(endpoint.name):
            # No new calls go to an endpoint that drains or is removed: release the connection.
            caller.stream.abort()
            return
        idle = IdleConnection(endpoint, caller, self.exchange.clock.now_us())
        waiting = self.idle[endpoint.name]
        waiting.append(idle)
        self._idle_by_age[idle] = None

        def expire() -> None:
            if idle in waiting:
                self._record_unsolicited_input(idle)
                waiting.remove(idle)
                self._discard(idle)
            if not waiting and self.idle.get(endpoint.name) is waiting:
                del self.idle[endpoint.name]  # endpoint names keep changing: empty entries would accumulate

        idle.timer = self.exchange.after(self._idle_timeout_us, expire)
        idle.watch.add_done_callback(lambda _: expire())
        if len(self._idle_by_age) > self._max_idle:
            # File descriptors are limited: close the connection that has been idle longest.
            oldest = next(iter(self._idle_by_age))
            self.idle[oldest.endpoint.name].remove(oldest)
            self._discard(oldest)

    def _record_unsolicited_input(self, idle: IdleConnection) -> None:
        """Count and log bytes that came on an idle connection: they answer no call."""
        if not idle.caller.stream.unread_bytes:
            return
        self.exchange.metrics.unsolicited_responses += 1
        self._warnings.warning(
            "endpoint %s: %d bytes that answer no call came %.1f ms after the last answer on that connection",
            idle.endpoint.name,
            idle.caller.stream.unread_bytes,
            (self.exchange.clock.now_us() - idle.since_us) / 1000,
        )

    def _discard(self, idle: IdleConnection) -> None:
        self._idle_by_age.pop(idle, None)
        idle.watch.cancel()
        if idle.timer is not None:
            idle.timer.cancel()
        idle.caller.stream.abort()
