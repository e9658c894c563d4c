"""The client of discovery and Consul, tested over real connections."""

from __future__ import annotations

import asyncio

import pytest

from rowanrack.net.http import BadReplyError
from rowanrack.net.service_client import ServiceClient
from rowanrack.net.timing import after
from tests.rig import on_loop

SECOND_US = 1_000_000


async def document_from(*pieces: bytes) -> object:
    """Return the document in an answer that comes in these pieces, before the connection ends."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        client = ServiceClient(after, "127.0.0.1", server.sockets[0].getsockname()[1], 4096)
        return (await client.get_json("/v1/servers", SECOND_US))[1]


@on_loop
async def test_answer_that_is_cut_off_is_told_apart_from_invalid_json() -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
    assert await document_from(head, b"[1, 2, 3]") == [1, 2, 3]
    with pytest.raises(BadReplyError, match="cut off after 4 bytes"):
        await document_from(head, b"[1, ")
    with pytest.raises(BadReplyError, match="not valid JSON"):
        await document_from(head, b"[1, 2, 3,")


@on_loop
async def test_informational_response_is_not_the_begin_of_the_answer() -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
    assert await document_from(b"HTTP/1.1 102 Processing\r\n\r\n", head, b"[1]") == [1]
