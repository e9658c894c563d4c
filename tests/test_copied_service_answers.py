"""Second copies of answers from discovery, Consul, the receiver of notices or another site."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from rowanrack.channels_io.links import HttpLinks
from rowanrack.core.messages import End, Ending
from rowanrack.fronts.platform.notices import Notices
from rowanrack.net.service_client import ServiceClient
from rowanrack.net.timing import after
from tests.rig import on_loop

CONTENT_LENGTH = re.compile(rb"(?i)content-length: (\d+)")
SECOND_US = 1_000_000


class CopyingService:
    """Numbers its answers. Each later request of a connection is answered by a copy, and is then lost."""

    def __init__(self, status: bytes = b"200 OK") -> None:
        self.status, self.bodies = status, list[bytes]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        answer = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = CONTENT_LENGTH.search(head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                if answer:
                    writer.write(answer)
                    continue
                self.bodies.append(body)
                number = b"" if self.status.startswith(b"204") else b"%d" % len(self.bodies)
                answer = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (self.status, len(number), number)
                writer.write(answer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


@asynccontextmanager
async def listening(service: CopyingService) -> AsyncIterator[int]:
    """Start a service and return its port."""
    async with await asyncio.start_server(service.serve, "127.0.0.1", 0) as server:
        yield server.sockets[0].getsockname()[1]


@on_loop
async def test_copied_list_of_discovery_or_consul_is_not_the_answer_to_the_next_query() -> None:
    async with listening(CopyingService()) as port:
        client = ServiceClient(after, "127.0.0.1", port, 4096)
        documents = [(await client.get_json("/v1/servers", SECOND_US))[1] for _ in range(3)]
        assert documents == [1, 2, 3]


@on_loop
async def test_copied_204_does_not_confirm_the_next_notice() -> None:
    service, confirmed = CopyingService(b"204 No Content"), asyncio.Queue[str]()
    async with listening(service) as port:
        notices = Notices("127.0.0.1", port, after, confirmed.put_nowait)
        for message_id in ("m1", "m2", "m3"):
            notices.queue_notice(message_id, End(Ending.FAILED))
            assert await confirmed.get() == message_id
            assert any(message_id.encode() in body for body in service.bodies)
        notices.close()


@on_loop
async def test_copied_answer_of_another_site_is_not_the_answer_to_the_next_exchange() -> None:
    answers = asyncio.Queue[bytes | None]()
    async with listening(CopyingService()) as port:
        links = HttpLinks(after, {"b": ("127.0.0.1", port)})
        for number in (b"1", b"2", b"3"):
            links.call("b", b"request", SECOND_US, lambda answer, _wait_us, _why: answers.put_nowait(answer))
            assert await answers.get() == number
        links.close()
