"""One client that sends requests at full speed under ever new names, beside others."""

from __future__ import annotations

import asyncio
import gzip
import logging
import threading
from pathlib import Path
from typing import Any

import pytest

from rowanrack.fronts.otlp import clients
from rowanrack.fronts.otlp.clients import MAX_JSON_BYTES_ON_LOOP
from rowanrack.fronts.otlp.gzip_body import gunzip
from rowanrack.fronts.otlp.signals import parse_message
from rowanrack.net.http import MAX_CHUNKS_PER_TURN, Call, HttpClientConnection, Reply
from rowanrack.net.stream import READ_CHUNK_BYTES, Stream
from tests.rig import Rig, after, answers, on_loop

CHUNKED_EXPORT = (
    b"POST /v1/logs HTTP/1.1\r\nHost: x\r\n"
    b"Content-Type: application/x-protobuf\r\nTransfer-Encoding: chunked\r\n\r\n"
)
SMALL_CHUNK = b"1\r\nx\r\n"
CHUNK_COUNT = READ_CHUNK_BYTES // len(SMALL_CHUNK) - 100  # with the head, what one read brings
MEMBER_COUNT = 10_000  # of a gzip body, 20 bytes each


class Turns:
    """Counts the turns that the event loop gives to others."""

    def __init__(self) -> None:
        self.count = 0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            self.count += 1
            await asyncio.sleep(0)

    def stop(self) -> None:
        self._task.cancel()


@on_loop
async def test_refusals_for_want_of_room_do_not_fill_the_log(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    caplog.set_level(logging.WARNING, "rowanrack.core.exchange")
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        monkeypatch.setattr(type(rig.sender.journal), "take", lambda journal, message: False)
        for number in range(50):
            assert (await client.submit(f"m{number}")).startswith(b"-BUSY")
    assert len([line for line in caplog.messages if "no room in the journal" in line]) == 1


@on_loop
async def test_unknown_classes_that_are_refused_under_overload_leave_no_figures(tmp_path: Path) -> None:
    """Each new name of a class added a figure, which stayed until the process ended."""
    async with Rig(tmp_path) as rig:
        client, exchange = await rig.client(), rig.sender.exchange
        exchange.load_shedder.refused_share = 1.0
        for cls in ("album-update", *(f"unknown-{number}" for number in range(20))):
            assert (await client.submit(f"m {cls}".replace(" ", "-"), cls)).startswith(b"-BUSY")
        assert exchange.metrics.counts["declined"] == {"album-update": 1}
        assert "unknown" not in rig.sender.metrics_text()


@on_loop
async def test_others_run_while_a_request_comes_in_very_many_small_chunks(tmp_path: Path) -> None:
    """All chunks of a read were parsed in one step, which took 70 ms."""
    async with Rig(tmp_path) as rig:
        stream = await rig.connect(1)
        turns = Turns()
        await stream.send(CHUNKED_EXPORT + SMALL_CHUNK * CHUNK_COUNT + b"0\r\n\r\n")
        while not stream.receive_buffer.peek(99).startswith(b"HTTP/1.1 ") and await stream.fill():
            pass
        assert turns.count >= CHUNK_COUNT // MAX_CHUNKS_PER_TURN
        turns.stop()


@on_loop
async def test_others_run_while_a_response_comes_in_very_many_small_chunks() -> None:
    body = SMALL_CHUNK * CHUNK_COUNT + b"0\r\n\r\n"

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body)
        writer.close()

    async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
        stream = await Stream.connect(*server.sockets[0].getsockname())
        turns = Turns()
        reply = await HttpClientConnection(stream, "x", 1 << 16, after).call(Call("GET", "/"))
        assert reply.complete and turns.count >= CHUNK_COUNT // MAX_CHUNKS_PER_TURN
        turns.stop()
        stream.abort()


@on_loop
async def test_others_run_while_a_gzip_body_of_very_many_members_is_decompressed() -> None:
    turns = Turns()
    assert await gunzip(gzip.compress(b"") * MEMBER_COUNT, 9) == b""
    assert turns.count >= MEMBER_COUNT // MAX_CHUNKS_PER_TURN
    turns.stop()


@pytest.mark.parametrize(("count", "status"), [(90, b"400"), (3000, b"431")])
@on_loop
async def test_many_fields_behind_a_chunked_body_are_rejected_unparsed(
    tmp_path: Path, count: int, status: bytes
) -> None:
    """Thousands of them were parsed in one step, which took 30 ms."""
    async with Rig(tmp_path) as rig:
        stream = await rig.connect(1)
        await stream.send(CHUNKED_EXPORT + SMALL_CHUNK + b"0\r\n" + b"a:\r\n" * count + b"\r\n")
        while len(stream.receive_buffer) < 12 and await stream.fill():
            pass
        assert stream.receive_buffer.peek(12) == b"HTTP/1.1 " + status


@on_loop
async def test_others_are_answered_while_a_large_json_body_is_parsed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Tens of thousands of its elements were parsed in one step, which took half a second."""
    begun, released = threading.Event(), threading.Event()

    def parse_once_released(into: Any, body: bytes, content_type: str) -> Any:
        begun.set()
        assert released.wait(10), "the event loop did not run meanwhile"
        return parse_message(into, body, content_type)

    monkeypatch.setattr(clients, "parse_message", parse_once_released)
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        body = b'{"resourceLogs":[' + b"{}," * MAX_JSON_BYTES_ON_LOOP + b"{}]}"
        export = asyncio.create_task(rig.export(body, content_type="application/json"))
        while not begun.is_set():
            await asyncio.sleep(0)
        assert await (await rig.client()).command("PING") == b"+PONG\r\n"
        released.set()
        assert (await export).status == 200


@pytest.mark.parametrize(("limit_bytes", "status"), [(1 << 30, 200), (1_400_000, 413)])
@on_loop
async def test_json_with_more_elements_than_memory_is_rejected_unparsed(
    tmp_path: Path, limit_bytes: int, status: int
) -> None:
    """Three bytes of JSON take hundreds of bytes of memory while they are parsed."""
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        rig.sender.input_memory.limit_bytes = limit_bytes
        body = b'{"resourceLogs":[' + b"{}," * MAX_JSON_BYTES_ON_LOOP + b"{}]}"
        assert (await rig.export(body, content_type="application/json")).status == status


@on_loop
async def test_json_bodies_that_wait_to_be_parsed_are_bounded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    released = threading.Event()

    def parse_once_released(into: Any, body: bytes, content_type: str) -> Any:
        assert released.wait(10)
        return parse_message(into, body, content_type)

    monkeypatch.setattr(clients, "parse_message", parse_once_released)
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        rig.sender.input_memory.limit_bytes = 100_000
        body = b'{"resourceLogs":[{"schemaUrl":"' + b"x" * 10_000 + b'"}]}'
        exports = [
            asyncio.create_task(rig.export(body, content_type="application/json", x_id=f"m{number}"))
            for number in range(4)
        ]
        refused, _ = await asyncio.wait(exports, return_when=asyncio.FIRST_COMPLETED)
        while len(refused) < 2:
            refused, _ = await asyncio.wait(set(exports), timeout=0.01)
        assert [task.result().status for task in refused] == [503, 503]
        assert all("retry-after" in task.result().headers for task in refused)
        released.set()
        assert sorted([(await export).status for export in exports]) == [200, 200, 503, 503]
