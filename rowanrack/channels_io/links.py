"""Calls to other sites' logs over HTTP: the `Links` port on the stack that is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from rowanrack.channels.ports import Answered
from rowanrack.net.http import CALL_ERRORS, Call, HttpClientConnection
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, time_limit

PATH = "/v1/log"
BODY_MOST = 900 * 1024  # bytes of a request or an answer
AT_ONCE = 4  # calls out to one site: an exchange, and reads beside it
KEPT = 2  # connections to a site that stay open between calls
RETRY_AFTER = "retry-after"
TYPE = (("Content-Type", "application/msgpack"),)

Address = tuple[str, int]


class HttpLinks:
    """Calls to the sites of the file. Giving one up closes its connection; none is sent twice."""

    def __init__(self, after: After, sites: Mapping[str, Address]) -> None:
        self._after, self._sites = after, dict(sites)
        self._idle: dict[str, list[HttpClientConnection]] = {name: [] for name in sites}
        self._out: dict[str, set[asyncio.Task[None]]] = {name: set() for name in sites}

    def call(self, site: str, body: bytes, timeout_us: int, done: Answered) -> Callable[[], None]:
        """Call a site; see `Links`."""
        tasks = self._out.get(site)
        why = (
            f"{site} is no site of the file"
            if tasks is None
            else f"{len(tasks)} calls are out to {site}"
            if len(tasks) >= AT_ONCE
            else f"{len(body)} bytes are more than a call may hold"
            if len(body) > BODY_MOST
            else ""
        )
        if tasks is None or why:
            asyncio.get_running_loop().call_soon(done, None, 0, why)
            return lambda: None
        ended = False

        def end(answer: bytes | None, wait_us: int, why: str) -> None:
            nonlocal ended
            if not ended:
                ended = True
                done(answer, wait_us, why)

        task = asyncio.ensure_future(self._carry(site, body, timeout_us, end))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(lambda _: end(None, 0, "given up"))
        return lambda: void(task.cancel())

    async def _carry(self, site: str, body: bytes, timeout_us: int, end: Answered) -> None:
        caller: HttpClientConnection | None = None
        try:
            async with time_limit(self._after, timeout_us):
                caller = await self._caller(site, timeout_us)
                reply = await caller.call(Call("POST", PATH, TYPE, body))
        except CALL_ERRORS as error:
            late = isinstance(error, TimeoutError)
            end(None, 0, "no answer in time" if late else str(error) or type(error).__name__)
            return
        finally:
            if caller is not None and not (caller.reusable and self._keep(site, caller)):
                caller.stream.abort()
        if reply.status == 200 and reply.complete:
            end(reply.body, 0, "")
        else:
            told = reply.headers.get(RETRY_AFTER, "")
            wait_us = int(told) * 1_000_000 if told.isdecimal() and len(told) < 6 else 0
            end(None, wait_us, f"answered {reply.status}" if reply.status != 200 else "a spoilt answer")

    async def _caller(self, site: str, timeout_us: int) -> HttpClientConnection:
        idle = self._idle[site]
        while idle:
            if (caller := idle.pop()).reusable:
                return caller
            caller.stream.abort()
        host, port = self._sites[site]
        stream = await Stream.connect(host, port)
        return HttpClientConnection(stream, f"{host}:{port}", BODY_MOST, self._after, timeout_us)

    def _keep(self, site: str, caller: HttpClientConnection) -> bool:
        idle = self._idle[site]
        if len(idle) >= KEPT:
            return False
        idle.append(caller)
        return True

    def close(self) -> None:
        """Give up what is out, and drop all connections."""
        for task in [t for tasks in self._out.values() for t in tasks]:
            task.cancel()
        for caller in [c for idle in self._idle.values() for c in idle]:
            caller.stream.abort()


def void(_: object) -> None:
    """Nothing, of whatever was returned."""
