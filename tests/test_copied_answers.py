"""A second copy of an answer that comes late on its connection is not the answer to the next call."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from rowanspindle import UpdateScope
from tests.rig import Rig, make_endpoint, on_loop

ANSWER_DELAY_S = 0.1
DEADLINE_MS = 10_000


class CopyingEndpoint:
    """Answers its calls with given statuses in order; the next call on a connection brings a copy first."""

    def __init__(self, *statuses: int) -> None:
        self.statuses, self.calls = list(statuses), 0
        self.delivered = list[str]()  # messages answered with 200

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; each request body is one byte long."""
        last_answer = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(1)
                message = head.lower().partition(b"x-txn: ")[2].partition(b"\r\n")[0].decode()
                status = self.statuses[min(self.calls, len(self.statuses) - 1)]
                self.calls += 1
                if self.calls == 2:
                    writer.write(last_answer)
                await asyncio.sleep(ANSWER_DELAY_S)
                if status == 200:
                    self.delivered.append(message)
                last_answer = b"HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n" % status
                writer.write(last_answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()


@asynccontextmanager
async def listed_endpoint(rig: Rig, endpoint: CopyingEndpoint) -> AsyncIterator[None]:
    """Start an endpoint, and list it as the only one of the destination."""
    async with await asyncio.start_server(endpoint.serve, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("copying", port)])
        yield


@on_loop
async def test_copied_200_does_not_deliver_the_next_message(tmp_path: Path) -> None:
    endpoint = CopyingEndpoint(200, 503, 200)
    async with Rig(tmp_path) as rig, listed_endpoint(rig, endpoint):
        client = await rig.client()
        for message_id in ("m1", "m2"):
            await client.submit(message_id, "print-order", d=DEADLINE_MS)
            await rig.wait_for_end(message_id)
        assert endpoint.delivered == ["m1", "m2"]
