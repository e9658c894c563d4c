"""Idle connections to endpoints: kept for later calls, watched for input, and closed when they are old."""

from __future__ import annotations

import asyncio
import logging
import re
from collections import defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Endpoint, Message
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.core.wheel import WheelTimer
from rowanrack.net.answer_finder import log_given_up
from rowanrack.net.answer_guard import QUIET_US, AnswerGuard
from rowanrack.net.http import HttpClientConnection
from rowanrack.net.timing import time_limit

log = logging.getLogger(__name__)

# Part of the keep-alive time, after which an endpoint may close an idle connection: close well before it.
IDLE_TIMEOUT_FRACTION = 0.6
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3}) ")
STATUS_LINE_BYTES = 16  # of input, which tell whether it is a response
IDLE_TIMEOUT_STATUS = 408  # a server may send this before it closes an idle connection


@dataclass(frozen=True, slots=True)
class LastCall:
    """The last call of a connection: its messages, by whether it delivered them, without their bodies."""

    delivered: tuple[Message, ...]
    undelivered: tuple[Message, ...]
    forbids_retry: Callable[[int], bool]  # by the status of an answer to a call with one message


class IdleConnection:
    """An idle connection and its last call; any input meanwhile closes it."""

    def __init__(
        self,
        endpoint: Endpoint,
        caller: HttpClientConnection,
        last_call: LastCall | None,
        now_us: int,
    ) -> None:
        self.endpoint, self.caller, self.last_call, self.since_us = endpoint, caller, last_call, now_us
        self.watch = asyncio.create_task(caller.stream.wait_for_input())
        self.timer: WheelTimer | None = None


class IdleConnections:
    """All idle connections to endpoints."""

    def __init__(self, exchange: Exchange, guard: AnswerGuard, max_count: int) -> None:
        self.by_endpoint: defaultdict[str, list[IdleConnection]] = defaultdict(list)
        self.by_age: dict[IdleConnection, None] = {}  # longest idle first
        self.max_count = max_count
        self._exchange, self._guard = exchange, guard
        self._warnings, self._given_up_messages = RateLimitedLog(log), RateLimitedLog(log)
        self._idle_timeout_us = int(exchange.settings.keepalive_us * IDLE_TIMEOUT_FRACTION)

    async def take(self, endpoint: Endpoint) -> tuple[HttpClientConnection, int] | None:
        """Return a connection that is still usable and how long it was idle, or None.

        One that has not been quiet for long enough is waited for: another one would cost its endpoint more.
        """
        while (idle := self._choose(endpoint)) is not None:
            self._remove(idle)
            try:
                await self._wait_until_quiet(idle)
            except asyncio.CancelledError:
                idle.caller.stream.abort()
                raise
            moved = not endpoint.is_same_process(idle.endpoint)
            # The timer may fire late: by then the endpoint may have closed the connection unnoticed.
            idle_us = self._idle_us(idle)
            if idle.watch.cancelled() and idle.caller.reusable and not moved:
                if idle_us < self._idle_timeout_us:
                    return idle.caller, idle_us
            else:
                self._record_input(idle)
            idle.caller.stream.abort()
        return None

    def keep(
        self, endpoint: Endpoint, caller: HttpClientConnection, last_call: LastCall | None = None
    ) -> None:
        """Keep a connection for later calls; it has carried none if there is no last call."""
        # No new calls go to an endpoint that drains or is removed: release the connection.
        is_needed = self._exchange.endpoint_list.accepts_calls(endpoint.name)
        if not (is_needed and self._may_carry_a_call(endpoint, caller)):
            caller.stream.abort()
            return
        idle = IdleConnection(endpoint, caller, last_call, self._exchange.clock.now_us())
        self.by_endpoint[endpoint.name].append(idle)
        self.by_age[idle] = None

        def expire() -> None:
            if idle in self.by_age:
                self._record_input(idle)
                self._remove(idle)
                self._discard(idle)

        idle.timer = self._exchange.after(self._idle_timeout_us, expire)
        idle.watch.add_done_callback(lambda _: expire())
        if len(self.by_age) > self.max_count:
            # File descriptors are limited: close the connection that has been idle longest.
            oldest = next(iter(self.by_age))
            self._remove(oldest)
            self._discard(oldest)

    def close(self, name: str) -> None:
        """Close the idle connections to an endpoint."""
        for idle in self.by_endpoint.pop(name, []):
            self.by_age.pop(idle, None)
            self._discard(idle)

    def _may_carry_a_call(self, endpoint: Endpoint, caller: HttpClientConnection) -> bool:
        return not caller.carried_calls or self._guard.allows_reuse(endpoint.name)

    def _choose(self, endpoint: Endpoint) -> IdleConnection | None:
        """Return the most recently used connection that has been quiet for long enough, or soon will have."""
        waiting = [
            idle
            for idle in self.by_endpoint.get(endpoint.name, ())
            if self._may_carry_a_call(endpoint, idle.caller)
        ]
        for idle in reversed(waiting):
            if self._quiet_wait_us(idle) <= 0:
                return idle
        return waiting[0] if waiting else None

    def _quiet_wait_us(self, idle: IdleConnection) -> int:
        """Return how much longer a connection must be quiet; one that has carried no call need not be."""
        return QUIET_US - self._idle_us(idle) if idle.caller.carried_calls else 0

    async def _wait_until_quiet(self, idle: IdleConnection) -> None:
        """Wait for the rest of the quiet time, or until input arrives; then stop watching the connection."""
        if (wait_us := self._quiet_wait_us(idle)) > 0:
            with suppress(TimeoutError):
                async with time_limit(self._exchange.after, wait_us):
                    await asyncio.wait([idle.watch])
        # Only one task may read from a connection: until the cancelled watch task has ended, the read of the
        # call would fail.
        idle.watch.cancel()
        await asyncio.wait([idle.watch])

    def _idle_us(self, idle: IdleConnection) -> int:
        return self._exchange.clock.now_us() - idle.since_us

    def _record_input(self, idle: IdleConnection) -> None:
        """Record, count and log input that came on an idle connection: it answers no call."""
        stream = idle.caller.stream
        status_line = STATUS_LINE.match(stream.receive_buffer.peek(STATUS_LINE_BYTES))
        status = int(status_line[1]) if status_line else 0
        if not stream.unread_bytes or status == IDLE_TIMEOUT_STATUS:
            return
        if status and status != HTTPStatus.OK and status not in idle.caller.statuses:
            self._apply_late_answer(idle, status)
        delay_us = self._idle_us(idle)
        self._exchange.metrics.unsolicited_responses += 1
        if idle.caller.carried_calls:
            self._guard.record_late_answer(idle.endpoint.name, delay_us)
        self._warnings.warning(
            "endpoint %s: %d bytes that answer no call came %.1f ms after the last answer on that connection",
            idle.endpoint.name,
            stream.unread_bytes,
            delay_us / 1000,
        )

    def _apply_late_answer(self, idle: IdleConnection, status: int) -> None:
        """Apply an answer unlike all before it: it is that of the last call, which took a copy for its own.

        What that call delivered is retracted. A message that it did not deliver is tried again, unless the
        answer forbids that.
        """
        if idle.last_call is None or idle.caller.carried_calls == 1:
            return  # nothing can have been taken for the answer to the first call
        for message in idle.last_call.delivered:
            self._exchange.retract_delivery(message)
        if len(idle.last_call.undelivered) == 1 and idle.last_call.forbids_retry(status):
            (message,) = idle.last_call.undelivered
            if self._exchange.give_up_unsendable(message):
                log_given_up(self._given_up_messages, message, idle.endpoint, status)

    def _remove(self, idle: IdleConnection) -> None:
        """Remove a connection from both lists, and stop its timer."""
        self.by_age.pop(idle, None)
        name = idle.endpoint.name
        if (waiting := self.by_endpoint.get(name)) is not None:
            waiting.remove(idle)
            if not waiting:
                del self.by_endpoint[name]  # endpoint names keep changing: empty entries would accumulate
        if idle.timer is not None:
            idle.timer.cancel()

    def _discard(self, idle: IdleConnection) -> None:
        if idle.timer is not None:
            idle.timer.cancel()
        idle.watch.cancel()
        idle.caller.stream.abort()
