"""A message that was answered 410 (it is over) is not sent again, whatever becomes of the call."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from rowanrack.net.answer_guard import MIN_FIRST_ANSWERS
from rowanspindle import Result, UpdateScope
from tests.rig import Rig, make_endpoint, on_loop

DEADLINE_MS = 10_000
LONG_ANSWER_US = 4_000_000  # as the only answer time known, it makes each answer of a test a premature one
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
GONE = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"
CLOSE = b"close"  # at the end of a response: the connection is closed behind it


class ScriptedEndpoint:
    """Writes given bytes in answer to its calls, in order, over all connections; then GONE to every call."""

    def __init__(self, *responses: bytes) -> None:
        self.responses, self.called = list(responses), list[str]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; each request body is one byte long."""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(1)
                self.called.append(head.lower().partition(b"x-txn: ")[2].partition(b"\r\n")[0].decode())
                response = self.responses.pop(0) if self.responses else GONE
                writer.write(response.removesuffix(CLOSE))
                if response.endswith(CLOSE):
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def rig_with(folder: Path, endpoint: ScriptedEndpoint) -> AsyncIterator[Rig]:
    """Start a sender and its only endpoint."""
    async with Rig(folder) as rig, await asyncio.start_server(endpoint.serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("scripted", port)])
        yield rig


def expect_long_answers(rig: Rig) -> None:
    """Let the sender know only long answer times, as if it had made some calls before."""
    guard = rig.sender.pool.answer_guard
    guard._times_by_zone.clear()
    for _ in range(MIN_FIRST_ANSWERS):
        guard.record_first_answer("a", LONG_ANSWER_US)


async def submit_second_message(rig: Rig) -> None:
    """Have m1 delivered on a new connection, then submit m2, whose call is the second one on it."""
    client = await rig.client()
    await client.submit("m1", d=DEADLINE_MS)
    await rig.wait_for_end("m1")
    expect_long_answers(rig)
    await client.submit("m2", d=DEADLINE_MS)


@on_loop
async def test_message_is_not_sent_again_when_its_call_is_cancelled_behind_a_premature_410(
    tmp_path: Path, result: Result = Result.CANCELLED
) -> None:
    endpoint = ScriptedEndpoint(OK, GONE)
    async with rig_with(tmp_path, endpoint) as rig:
        await submit_second_message(rig)
        messages = rig.sender.exchange.messages
        while "m2" in messages and not any(a.answer_status for a in messages["m2"].attempts_out.values()):
            await asyncio.sleep(0)
        for attempt in messages["m2"].attempts_out.values() if "m2" in messages else ():
            rig.sender.exchange._stop_waiting(attempt, result)
        await rig.wait_for_end("m2")
        assert endpoint.called == ["m1", "m2"]
