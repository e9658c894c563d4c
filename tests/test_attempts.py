"""Attempts in their rare moments: real connections, and what happens between two lines of the sender."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rowanrack.core.messages import Batch, Ending, Execution
from rowanspindle import Result, Scope
from tests.rig import Rig, instance, on_loop

OK_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class ScriptedEndpoint:
    """An endpoint that reads calls with bodies of one byte and answers what it is told, or nothing."""

    def __init__(self, answer: bytes) -> None:
        self.answer, self.calls, self.writers = answer, 0, list[asyncio.StreamWriter]()
        self.asked = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n") and await reader.readexactly(1):
                self.calls += 1
                self.asked.set()
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def write_now(self, data: bytes) -> None:
        """Write on the first connection; on loopback the sender's kernel has it on return."""
        self.writers[0].write(data)

    def end_now(self) -> None:
        """Shut the first connection down; on loopback the sender's kernel knows on return."""
        self.writers[0].get_extra_info("socket").shutdown(socket.SHUT_RDWR)


@asynccontextmanager
async def scripted(rig: Rig, answer: bytes = OK_BYTES) -> AsyncIterator[ScriptedEndpoint]:
    """The only endpoint of the rig's destination."""
    endpoint = ScriptedEndpoint(answer)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.list_instances(Scope.FULL, [instance("raw", port)])
        yield endpoint


def after_begin(rig: Rig, happens: Callable[[], None]) -> None:
    """Run something between the next attempt's beginning and its call's first byte."""
    exchange, begin = rig.sender.exchange, rig.sender.exchange.begin

    def begin_and_happen(execution: Execution) -> bool:
        exchange.begin = begin  # type: ignore[method-assign]
        begun = begin(execution)
        happens()
        return begun

    exchange.begin = begin_and_happen  # type: ignore[method-assign]


@pytest.mark.parametrize("stale", [OK_BYTES, b"HTTP/1.1 200 ", b"HTTP/1.1 500 No\r\n", b"\xffnoise", None])
@on_loop
async def test_what_comes_in_right_before_a_call_is_not_its_answer(
    tmp_path: Path, stale: bytes | None
) -> None:
    """An unsafe call was taken for delivered, or failed, by bytes from before its first byte."""
    async with Rig(tmp_path) as rig, scripted(rig) as endpoint:
        client = await rig.client()
        await client.submit("m1", "print-order")
        await rig.ended("m1")
        after_begin(rig, endpoint.end_now if stale is None else lambda: endpoint.write_now(stale))
        await client.submit("m2", "print-order")
        assert (await rig.ended("m2")).ending is Ending.DELIVERED
        assert rig.results == [Result.OK, Result.MOOT, Result.OK]
        assert (endpoint.calls, len(endpoint.writers)) == (2, 2)


@on_loop
async def test_a_connection_is_too_old_by_the_clock_however_late_its_timer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between a round, which fires timers, and the call that it starts, the loop may be held up."""
    async with Rig(tmp_path, keepalive_us=1_000_000) as rig, scripted(rig) as endpoint:
        client, pool, clock = await rig.client(), rig.sender.pool, rig.sender.exchange.clock
        await client.submit("m1")
        await rig.ended("m1")
        start, now_us = pool.start, clock.now_us

        def start_late(batch: Batch) -> None:
            monkeypatch.setattr(clock, "now_us", lambda: now_us() + 700_000)
            start(batch)

        monkeypatch.setattr(pool, "start", start_late)
        await client.submit("m2")
        assert (await rig.ended("m2")).ending is Ending.DELIVERED
        assert (endpoint.calls, len(endpoint.writers)) == (2, 2)
