"""What a connection holds of input that nobody reads, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import math
import socket
import tracemalloc
import weakref
from pathlib import Path

import pytest

from rowanrack.core.metrics import ClientCloseReason
from rowanrack.load.memory_plan import (
    CONNECTION_BYTES,
    KNOWN_MESSAGE_BYTES,
    MIN_CONNECTIONS,
    MIN_INPUT_BYTES,
    MIN_KNOWN_MESSAGES,
    MemoryPlan,
)
from rowanrack.net.bounded_reader import READ_CHUNK_BYTES, READER_LIMIT_BYTES, PauseReason
from rowanrack.net.fair_scheduling import ConnectionPriority
from rowanrack.net.http import Reply, Request
from rowanrack.net.listener import ConnectionState
from rowanrack.net.process_memory import memory_bytes
from rowanrack.net.stream import MAX_BUFFER_BYTES, Stream, stream_protocol
from tests.rig import Rig, answers, on_loop, resp
from tests.test_closing import SocketClient
from tests.test_otlp import logs

MAX_UNREAD_BYTES = 2 * READER_LIMIT_BYTES + READ_CHUNK_BYTES


async def fill_kernel_buffers(client: socket.socket) -> None:
    """Send until the kernel takes no more, while the other side may read; 32 MiB at most."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError):
        for _ in range(32):
            await asyncio.wait_for(loop.sock_sendall(client, bytes(1 << 20)), 0.2)


@on_loop
async def test_a_full_reader_stays_paused_when_another_pause_ends() -> None:
    """The end of a slow client's pause let the transport read without end."""
    loop, accepted = asyncio.get_running_loop(), asyncio.Queue[Stream]()
    server = await loop.create_server(lambda: stream_protocol(accepted.put_nowait), "127.0.0.1", 0)
    async with server:
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            client.setblocking(False)
            stream = await accepted.get()
            await fill_kernel_buffers(client)
            assert READER_LIMIT_BYTES < stream.unread_bytes <= MAX_UNREAD_BYTES
            stream.pause(PauseReason.SLOW_CLIENT)
            stream.resume(PauseReason.SLOW_CLIENT)
            await fill_kernel_buffers(client)
            assert stream.unread_bytes <= MAX_UNREAD_BYTES
            stream.pause(PauseReason.SLOW_CLIENT)
            while stream.unread_bytes:
                await stream.discard_input()
            await fill_kernel_buffers(client)
            assert not stream.unread_bytes
            stream.abort()


@on_loop
async def test_a_known_client_that_floods_keeps_the_priority_of_a_client(tmp_path: Path) -> None:
    """A reader that had been full came back with the priority of the sender's own connections."""
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        assert front._fair_selector is not None
        client = SocketClient(front, resp("PING"))
        stream = await client.wait_for_state(front, ConnectionState.IDLE)
        client.sock.setblocking(False)
        while PauseReason.READER_FULL not in stream._reader.gate._reasons:
            with contextlib.suppress(BlockingIOError):
                client.sock.send(resp("PING") * 10_000)
            await asyncio.sleep(0)
        while len(stream.receive_buffer) or stream.unread:
            await asyncio.sleep(0)
        assert front._fair_selector._priorities[stream.descriptor] is ConnectionPriority.CLIENT


STALLED_COMMAND = resp("SUBMIT", "0", "stalled", "c=album-update,t=a,d=3000,dest=7", b"x" * 40_000)[:24_000]
STALLED_EXPORT = b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n" + bytes(24_000)


@pytest.mark.parametrize(
    ("number", "stalled", "answer"), [(0, STALLED_COMMAND, b"-ERR "), (1, STALLED_EXPORT, b"HTTP/1.1 503")]
)
@on_loop
async def test_stalled_requests_are_closed_for_one_that_arrives_at_once(
    tmp_path: Path, number: int, stalled: bytes, answer: bytes
) -> None:
    """Requests that stopped half way kept all memory of clients' input."""
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        front, memory = rig.sender.fronts[number][0], rig.sender.input_memory
        stopped = [SocketClient(front, stalled) for _ in range(8)]
        while memory.held_bytes < 8 * (24_000 if number else 32_768):  # the ring grows by doubling
            await asyncio.sleep(0)
        for stream, (state, _) in front.streams.items():
            front.streams[stream] = state, 0
        memory.limit_bytes = memory.held_bytes + 20_000
        assert await (await rig.client()).submit("m1", body=b"x" * 64_000) == b"+OK\r\n"
        assert 0 < memory.held_bytes <= memory.limit_bytes
        closed = rig.sender.exchange.metrics.closed_clients[ClientCloseReason.MEMORY]
        received = [await client.read_all() for client in stopped[:closed]]
        most_held = MAX_BUFFER_BYTES + MAX_UNREAD_BYTES  # by the request that arrives at once
        assert 1 <= closed <= math.ceil(most_held / 24_000) and all(
            data.startswith(answer) for data in received
        )
        for client in stopped:
            client.sock.close()
        while front.streams and number:
            await asyncio.sleep(0)
        assert not number or not memory.held_bytes


@on_loop
async def test_a_request_that_is_being_processed_is_not_closed_for_memory(tmp_path: Path) -> None:
    """Only what is incomplete may be closed: a complete request is owed its answer."""
    released = asyncio.Event()

    async def answer_later(_request: Request) -> Reply:
        await released.wait()
        return Reply(200, {})

    async with Rig(tmp_path, answer_later) as rig:
        front = rig.sender.fronts[1][0]
        body = logs(dest="7")
        head = b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\n"
        whole = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        client = SocketClient(front, whole)
        await rig.servers[0].wait_for_requests(1)
        rig.sender.input_memory.limit_bytes = 0
        client.send(STALLED_EXPORT)
        while not rig.sender.input_memory.held_bytes:
            await asyncio.sleep(0)
        released.set()
        received = await client.read_all()
        assert received.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 503" in received


@pytest.mark.parametrize("is_closed_for_memory", [False, True])
@on_loop
async def test_a_closed_connection_leaves_no_reference_cycle(
    tmp_path: Path, is_closed_for_memory: bool
) -> None:
    """Buffers of closed connections stayed until the garbage collector came to them."""
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        gc.collect()
        gc.disable()
        try:
            client = SocketClient(front, STALLED_COMMAND)
            reference = weakref.ref(await client.wait_for_state(front, ConnectionState.RECEIVING))
            if is_closed_for_memory:
                front.close_for_memory(next(iter(front.streams)))
            else:
                client.sock.close()
            while front.streams or reference() is not None:
                await asyncio.sleep(0)
        finally:
            gc.enable()


def planned_bytes(plan: MemoryPlan) -> int:
    return plan.connections * CONNECTION_BYTES + plan.input_bytes + plan.known_messages * KNOWN_MESSAGE_BYTES


def test_two_processes_of_a_hot_restart_share_the_memory() -> None:
    alone, shared = MemoryPlan.of(192_000_000, 24_000_000), MemoryPlan.of(192_000_000, 24_000_000, 2)
    assert planned_bytes(alone) < 168_000_000 and 2 * planned_bytes(shared) < 144_000_000
    exhausted = MemoryPlan.of(32_000_000, 40_000_000)
    assert exhausted == MemoryPlan(MIN_CONNECTIONS, MIN_INPUT_BYTES, MIN_KNOWN_MESSAGES)


@on_loop
async def test_the_limits_of_clients_follow_the_number_of_processes(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        rig.config_changes = {"memory_bytes": 2 * memory_bytes() + 20_000_000, "sockets": 100_000}
        first = await rig.start_second()
        connections, input_bytes = first.fronts[0][0].max_connections, first.input_memory.limit_bytes
        rig.sender.close()
        while first.fronts[0][0].max_connections == connections:
            await asyncio.sleep(0.01)
        assert first.input_memory.limit_bytes > input_bytes


RESTING_COUNT = 20
LARGE_COMMAND = resp("SUBMIT", "0", "m1", "c=album-update,t=a,d=3000,dest=99", b"x" * 60_000)


def large_export() -> bytes:
    body = logs("x" * 200_000, dest="99")
    head = b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    ("number", "request_bytes", "answer"),
    [(0, LARGE_COMMAND, b"-BUSY"), (1, large_export(), b"HTTP/1.1 503")],
)
@on_loop
async def test_a_connection_that_rests_keeps_nothing_of_its_last_request(
    tmp_path: Path, number: int, request_bytes: bytes, answer: bytes
) -> None:
    """The body stayed until the next request, for as long as the connection was kept."""
    async with Rig(tmp_path) as rig:
        streams = [await rig.connect(number) for _ in range(RESTING_COUNT)]
        gc.collect()
        tracemalloc.start()
        try:
            for stream in streams:
                await stream.send(request_bytes)
                while not stream.receive_buffer.peek(99).startswith(answer):
                    assert await stream.fill()
            gc.collect()
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(rig.sender.fronts[number][0].streams) == RESTING_COUNT
        assert held_bytes < RESTING_COUNT * len(request_bytes) // 2


@on_loop
async def test_a_client_that_was_closed_for_memory_is_not_rejected_again(tmp_path: Path) -> None:
    """Its request was cut off, and waited with all it held for the delayed answer to bad input."""
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[1][0]
        client = SocketClient(front, STALLED_EXPORT)
        front.close_for_memory(await client.wait_for_state(front, ConnectionState.RECEIVING))
        assert (await client.read_all()).startswith(b"HTTP/1.1 503")
        while front.streams:
            await asyncio.sleep(0)
        assert rig.sender.exchange.metrics.closed_clients == {ClientCloseReason.MEMORY: 1}
