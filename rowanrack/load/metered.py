"""The processor time that one connection's coroutine uses, step by step."""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine, Generator
from typing import Any


class CpuMeteredCoroutine:
    """Awaits a coroutine and tells the thread's processor time of each of its steps, in microseconds.

    A step is what runs between two waits: what a connection costs the loop, whatever it waits for. By the
    clock on the wall it would also bear what the machine gave to others, or the process to another thread.
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
                except BaseException as thrown:  # a cancellation goes on to the coroutine itself
                    error = thrown
        finally:
            inner.close()
