"""Calls to other sites' logs over HTTP: the `Links` port on top of the HTTP client of `rowanrack.net`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from rowanrack.channels.ports import Answered
from rowanrack.net.http import CALL_ERRORS, Call, HttpClientConnection
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, time_limit

LOG_PATH = "/v1/log"
MAX_BODY_BYTES = 900 * 1024  # of a request or an answer
MAX_CALLS_PER_SITE = 4  # concurrent calls to one site: one for an exchange, the others for reads
RETRY_AFTER_HEADER = "retry-after"
MSGPACK_HEADERS = (("Content-Type", "application/msgpack"),)

Address = tuple[str, int]


class HttpLinks:
    """Calls the sites of the site file. Cancelling a call closes its connection; no call is sent twice.

    Each call has a connection of its own: a late copy of an earlier answer is never taken for its answer.
    """

    def __init__(self, after: After, sites: Mapping[str, Address]) -> None:
        self._after, self._sites = after, dict(sites)
        self._running: dict[str, set[asyncio.Task[None]]] = {name: set() for name in sites}

    def call(self, site: str, body: bytes, timeout_us: int, done: Answered) -> Callable[[], None]:
        """Call a site; see `Links`."""
        tasks = self._running.get(site)
        why = (
            f"{site} is no site of the file"
            if tasks is None
            else f"{len(tasks)} calls are out to {site}"
            if len(tasks) >= MAX_CALLS_PER_SITE
            else f"{len(body)} bytes are more than a call may hold"
            if len(body) > MAX_BODY_BYTES
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

        task = asyncio.ensure_future(self._run_call(site, body, timeout_us, end))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(lambda _: end(None, 0, "given up"))
        return lambda: discard_result(task.cancel())

    async def _run_call(self, site: str, body: bytes, timeout_us: int, end: Answered) -> None:
        caller: HttpClientConnection | None = None
        try:
            async with time_limit(self._after, timeout_us):
                caller = await self._connect(site, timeout_us)
                reply = await caller.call(Call("POST", LOG_PATH, MSGPACK_HEADERS, body))
        except CALL_ERRORS as error:
            timed_out = isinstance(error, TimeoutError)
            end(None, 0, "no answer in time" if timed_out else str(error) or type(error).__name__)
            return
        finally:
            if caller is not None:
                caller.stream.abort()
        if reply.status == 200 and reply.complete:
            end(reply.body, 0, "")
        else:
            retry_after = reply.headers.get(RETRY_AFTER_HEADER, "")
            wait_us = int(retry_after) * 1_000_000 if retry_after.isdecimal() and len(retry_after) < 6 else 0
            end(None, wait_us, f"answered {reply.status}" if reply.status != 200 else "a spoilt answer")

    async def _connect(self, site: str, timeout_us: int) -> HttpClientConnection:
        host, port = self._sites[site]
        stream = await Stream.connect(host, port)
        return HttpClientConnection(stream, f"{host}:{port}", MAX_BODY_BYTES, self._after, timeout_us)

    def close(self) -> None:
        """Cancel the running calls, which closes their connections."""
        for task in [t for tasks in self._running.values() for t in tasks]:
            task.cancel()


def discard_result(_: object) -> None:
    """Discard the result of an expression, for use in a lambda that returns None."""
