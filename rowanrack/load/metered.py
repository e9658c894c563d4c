"""Measures the processor time of each step of a connection's coroutine."""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine, Generator
from typing import Any


class CpuMeteredCoroutine:
    """Awaits a coroutine and reports the thread's processor time of each step, in microseconds.

    A step is the code between two suspensions: the cost of a connection to the event loop, regardless of how
    long it waits. Wall-clock time would include time that the machine gave to other processes, or the process
    to another thread.
    """

    def __init__(self, inner: Coroutine[Any, Any, None], spent: Callable[[float], None]) -> None:
        self._inner, self._spent = inner, spent

    def __await__(self) -> Generator[Any, Any, None]:
        value: Any = None
        error: BaseException | None = None
        inner, spent, clock = self._inner, self._spent, time.thread_time
        try:
            while True:
                began = clock()
                try:
                    awaited = inner.send(value) if error is None else inner.throw(error)
                except StopIteration:
                    return
                finally:
                    spent((clock() - began) * 1e6)
                value, error = None, None
                try:
                    value = yield awaited
                except GeneratorExit:
                    raise
                except BaseException as thrown:  # a cancellation must reach the inner coroutine
                    error = thrown
        finally:
            inner.close()
