"""The pool: connections to instances, and the executions on them."""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from dataclasses import dataclass
from typing import Protocol

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Ending, Execution, Instance
from rowanrack.core.wheel import WheelTimer
from rowanrack.net.http import Call, CallBrokenError, CallNotSentError, HttpCaller, Reply
from rowanrack.net.rare_log import RareLog
from rowanrack.net.stream import Stream
from rowanrack.net.timing import time_limit
from rowanspindle import Result

log = logging.getLogger(__name__)

IDLE_PART = 0.6  # of the idle time after which an instance may close a connection: ours go well before
REPLY_LIMIT = 64 * 1024
REST_US = 200_000  # for the rest of an answer: the message's end is known by then


@dataclass(frozen=True, slots=True)
class Verdict:
    """What an instance's answer means; with `end` the message ends, whatever its result teaches."""

    result: Result
    wait_us: int = 0
    end: Ending | None = None


class CallForm(Protocol):
    """How a front's messages are called out to instances."""

    def call(self, execution: Execution, left_us: int) -> Call:
        """The request of an execution that is waited for so long."""

    def verdict(self, execution: Execution, reply: Reply) -> Verdict:
        """What the answer means."""


class Idle:
    """A connection that waits for its next call; whatever arrives meanwhile ends it."""

    def __init__(self, instance: Instance, caller: HttpCaller) -> None:
        self.instance, self.caller = instance, caller
        self.watch = asyncio.create_task(caller.stream.fill_quietly())
        self.timer: WheelTimer | None = None


class InstancePool:
    """Connections to instances, each with one call at a time, and a task for each execution."""

    def __init__(self, exchange: Exchange, forms: dict[str, CallForm], idle_most: int) -> None:
        self.exchange, self.forms = exchange, forms
        self.idle: defaultdict[str, list[Idle]] = defaultdict(list)
        self.tasks: dict[Execution, asyncio.Task[None]] = {}
        self._aged: dict[Idle, None] = {}  # all idle connections, the one that is idle longest first
        self._idle_most = idle_most
        self._rare = RareLog(log)
        self._idle_us = int(exchange.settings.keepalive_us * IDLE_PART)

    # What the exchange asks for.

    def start(self, execution: Execution) -> None:
        """Make the call in a task of its own."""
        task = self.tasks[execution] = asyncio.create_task(self._run(execution))
        task.add_done_callback(lambda _: self.tasks.pop(execution, None))

    def abandon(self, execution: Execution) -> None:
        """Give the call up: its connection is closed, which tells the instance."""
        if (task := self.tasks.pop(execution, None)) is not None:
            task.cancel()

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an instance."""
        for idle in self.idle.pop(name, []):
            self._discard(idle)

    def close(self) -> None:
        """Give up all calls and close all connections."""
        for execution in list(self.tasks):
            self.abandon(execution)
        for name in list(self.idle):
            self.close_idle(name)

    # One execution.

    async def _run(self, execution: Execution) -> None:
        result = Verdict(Result.RESET)
        caller: HttpCaller | None = None
        try:
            caller = await self._take(execution.instance) or await self._open(execution.instance)
            if not self.exchange.begin(execution):
                self._keep(execution.instance, caller)
                caller = None
                return
            form = self.forms[execution.message.front]
            gone_us = self.exchange.clock.now_us() - execution.started_us
            call = form.call(execution, max(1000, execution.timeout_us - gone_us))
            reply = await caller.call(call)
            result = form.verdict(execution, reply)
            if caller.reusable:
                self._keep(execution.instance, caller)
                caller = None
        except CallNotSentError:
            result = Verdict(Result.CONNECT_FAILED)
        except CallBrokenError as error:
            self._rare.warning("%s: %s, the call may have run", execution.instance.name, error)
            result = Verdict(Result.RESET)
        except (OSError, TimeoutError):
            # Only opening the connection raises these: nothing of the call was written.
            result = Verdict(Result.CONNECT_FAILED)
        except Exception:
            log.exception("a call to %s failed", execution.instance.name)
        finally:
            if caller is not None:
                caller.stream.abort()
        if not execution.begun and result.result is Result.RESET:
            result = Verdict(Result.CONNECT_FAILED)
        self.exchange.settle(execution, result.result, result.wait_us, result.end)

    async def _open(self, instance: Instance) -> HttpCaller:
        async with time_limit(self.exchange.after, self.exchange.settings.connect_timeout_us):
            stream = await Stream.connect(instance.host, instance.port)
        host = f"{instance.host}:{instance.port}"
        return HttpCaller(stream, host, REPLY_LIMIT, self.exchange.after, REST_US)

    async def _take(self, instance: Instance) -> HttpCaller | None:
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
            if idle.watch.cancelled() and idle.caller.reusable and not moved:
                return idle.caller
            idle.caller.stream.abort()
        return None

    def _keep(self, instance: Instance, caller: HttpCaller) -> None:
        if not self.exchange.table.listed(instance.name):
            # Guards the instance, and our descriptors: nothing new goes to one that drains or is gone.
            caller.stream.abort()
            return
        idle = Idle(instance, caller)
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
