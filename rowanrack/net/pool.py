"""The pool: connections to instances, and the attempts on them."""

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
    HttpCaller,
    Reply,
    StaleConnectionError,
)
from rowanrack.net.rare_log import RareLog
from rowanrack.net.stream import Stream
from rowanrack.net.timing import time_limit
from rowanspindle import Result

log = logging.getLogger(__name__)

IDLE_PART = 0.6  # of the idle time after which an instance may close a connection: ours go well before
REPLY_LIMIT = 64 * 1024
REST_US = 200_000  # for the rest of an answer: the message's end is known by then


class CallForm(Protocol):
    """How a front's messages are called out to instances."""

    def part(self, waiting: Sequence[Attempt]) -> int:
        """How many of them, from the first on, go in one call; all are for one instance."""

    def call(self, part: Sequence[Attempt], left_us: int) -> Call:
        """The request of attempts that are waited for so long."""

    def verdicts(self, part: Sequence[Attempt], reply: Reply) -> list[CallVerdict]:
        """What the answer means for each."""


class Idle:
    """A connection that waits for its next call; whatever arrives meanwhile ends it."""

    def __init__(self, instance: Endpoint, caller: HttpCaller, now_us: int) -> None:
        self.instance, self.caller, self.since_us = instance, caller, now_us
        self.watch = asyncio.create_task(caller.stream.fill_quietly())
        self.timer: WheelTimer | None = None


class EndpointPool:
    """Connections to instances, each with one call at a time, and a task for each batch of attempts."""

    def __init__(self, exchange: Exchange, forms: dict[str, CallForm], idle_most: int) -> None:
        self.exchange, self.forms = exchange, forms
        self.idle: defaultdict[str, list[Idle]] = defaultdict(list)
        self.tasks: dict[Batch, asyncio.Task[None]] = {}
        self._callers: dict[Batch, HttpCaller] = {}  # of calls that are out
        self._aged: dict[Idle, None] = {}  # all idle connections, the one that is idle longest first
        self._idle_most = idle_most
        self._rare = RareLog(log)
        self._idle_us = int(exchange.settings.keepalive_us * IDLE_PART)

    # What the exchange asks for.

    def start(self, batch: Batch) -> None:
        """Make the call in a task of its own."""
        task = self.tasks[batch] = asyncio.create_task(self._run(batch))
        task.add_done_callback(lambda _: self.tasks.pop(batch, None))

    def abandon(self, batch: Batch) -> None:
        """Give the call up: its connection is closed, which tells the instance.

        It is closed here and not in the call's task, whose turn comes later: a last byte that still goes out
        in between would make a call of what is settled as never sent.
        """
        if (caller := self._callers.get(batch)) is not None:
            caller.stream.abort()
        if (task := self.tasks.pop(batch, None)) is not None:
            task.cancel()

    def progress(self, batch: Batch) -> Progress:
        """How far the call that is out has come."""
        caller = self._callers.get(batch)
        return Progress.SENT if caller is None else caller.progress

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an instance."""
        for idle in self.idle.pop(name, []):
            self._discard(idle)

    def close(self) -> None:
        """Give up all calls and close all connections."""
        for batch in list(self.tasks):
            self.abandon(batch)
        for name in list(self.idle):
            self.close_idle(name)

    # One batch.

    async def _run(self, batch: Batch) -> None:
        """Write a batch, in one call or one after the other on one connection: it has one slot."""
        caller: HttpCaller | None = None
        try:
            while waiting := batch.waiting():
                if caller is None:
                    caller = await self._take(batch.endpoint) or await self._open(batch.endpoint)
                form = self.forms[waiting[0].message.front]
                same = [e for e in waiting if self.forms[e.message.front] is form]
                part = [e for e in same[: form.part(same)] if self.exchange.begin(e)]
                if not part:
                    continue
                verdicts = await self._call(caller, form, part)
                if not caller.reusable:
                    caller.stream.abort()
                    caller = None
                elif len(part) == len(waiting):
                    self._keep(batch.endpoint, caller)
                    caller = None
                for attempt, verdict in zip(part, verdicts, strict=True):
                    self.exchange.settle(attempt, verdict)
            if caller is not None:
                self._keep(batch.endpoint, caller)
                caller = None
        except (OSError, TimeoutError):
            # Only opening the connection raises these: nothing of what still waits was written.
            for attempt in batch.waiting():
                self.exchange.settle(attempt, Result.CONNECT_FAILED)
        except Exception:
            log.exception("a call to %s failed", batch.endpoint.name)
            for attempt in batch.attempts:
                self.exchange.settle(attempt, Result.RESET if attempt.begun else Result.CONNECT_FAILED)
        finally:
            if caller is not None:
                caller.stream.abort()

    async def _call(self, caller: HttpCaller, form: CallForm, part: list[Attempt]) -> list[CallVerdict]:
        """One call and what became of each attempt in it."""
        now = self.exchange.clock.now_us()
        left_us = max(e.started_us + e.timeout_us - now for e in part)
        batch = part[0].batch
        self._callers[batch] = caller
        try:
            return form.verdicts(part, await caller.call(form.call(part, max(1000, left_us))))
        except StaleConnectionError:
            result = Result.MOOT  # says nothing of the endpoint: only the kept connection was of no use
        except CallNotSentError:
            result = Result.CONNECT_FAILED
        except CallBrokenError as error:
            self._rare.warning("%s: %s, the call may have run", part[0].endpoint.name, error)
            result = Result.RESET
        finally:
            del self._callers[batch]
        return [CallVerdict(result)] * len(part)

    async def _open(self, instance: Endpoint) -> HttpCaller:
        async with time_limit(self.exchange.after, self.exchange.settings.connect_timeout_us):
            stream = await Stream.connect(instance.host, instance.port)
        host = f"{instance.host}:{instance.port}"
        return HttpCaller(stream, host, REPLY_LIMIT, self.exchange.after, REST_US)

    async def _take(self, instance: Endpoint) -> HttpCaller | None:
        """The connection used last: it stands idle for the shortest time."""
        waiting = self.idle.get(instance.name, [])
        while waiting:
            idle = waiting.pop()
            self._aged.pop(idle, None)
            if idle.timer is not None:
                idle.timer.cancel()
            # Guards against two readers of one connection: asyncio lets the watch go only once its
            # cancellation has run, and until then the call's own read fails.
            idle.watch.cancel()
            try:
                await asyncio.wait([idle.watch])
            except asyncio.CancelledError:
                idle.caller.stream.abort()
                raise
            moved = (instance.host, instance.port) != (idle.instance.host, idle.instance.port)
            # Guards against a timer that fires late: by then the endpoint may have closed it unseen.
            expired = self.exchange.clock.now_us() - idle.since_us >= self._idle_us
            if idle.watch.cancelled() and idle.caller.reusable and not (moved or expired):
                return idle.caller
            idle.caller.stream.abort()
        return None

    def _keep(self, instance: Endpoint, caller: HttpCaller) -> None:
        if not self.exchange.table.listed(instance.name):
            # Guards the instance, and our descriptors: nothing new goes to one that drains or is gone.
            caller.stream.abort()
            return
        idle = Idle(instance, caller, self.exchange.clock.now_us())
        waiting = self.idle[instance.name]
        waiting.append(idle)
        self._aged[idle] = None

        def expire() -> None:
            if idle in waiting:
                waiting.remove(idle)
                self._discard(idle)
            if not waiting and self.idle.get(instance.name) is waiting:
                del self.idle[instance.name]  # names are ever new

        idle.timer = self.exchange.after(self._idle_us, expire)
        idle.watch.add_done_callback(lambda _: expire())
        if len(self._aged) > self._idle_most:
            # Guards the limit on descriptors: the connection that stands idle longest goes.
            oldest = next(iter(self._aged))
            self.idle[oldest.instance.name].remove(oldest)
            self._discard(oldest)

    def _discard(self, idle: Idle) -> None:
        self._aged.pop(idle, None)
        idle.watch.cancel()
        if idle.timer is not None:
            idle.timer.cancel()
        idle.caller.stream.abort()
