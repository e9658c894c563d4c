"""Requests that arrive during a close: whatever was read, or waits in the backlog, is answered."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from rowanrack.net import listener as net_listener
from rowanrack.net.http import Reply, Request
from rowanrack.net.listener import ACCEPT_BATCH_COUNT, ConnectionState, Listener
from rowanrack.net.stream import READ_CHUNK_BYTES, Stream, stream_protocol
from tests.rig import Rig, answers, on_loop, resp, silent

OK = Reply(200, {})
MAX_TRANSPORT_READ_BYTES = 256 * 1024  # in one read of an asyncio transport
PING, PONG = resp("PING"), b"+PONG\r\n"
EXPORT = (
    b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: 0\r\n\r\n"
)
PLATFORM, OTLP = 0, 1
REQUESTS, ANSWERS = {PLATFORM: PING, OTLP: EXPORT}, {PLATFORM: b"+PONG", OTLP: b"HTTP/1.1 200"}
LEAVE = pytest.mark.parametrize("leave", [Listener.drain, lambda front: front.set_lame_duck(True)])
FRONT = pytest.mark.parametrize("number", [PLATFORM, OTLP])


class SocketClient:
    """A client on a plain socket, which connects and writes without running the event loop."""

    def __init__(self, front: Listener, *chunks: bytes) -> None:
        self.sock = socket.create_connection(("127.0.0.1", front.port))
        self.send(*chunks)

    def send(self, *chunks: bytes) -> None:
        self.sock.sendall(b"".join(chunks))

    async def read_all(self) -> bytes:
        """Return all input until the connection ends; b"RESET" is appended if it was reset."""
        self.sock.setblocking(False)
        data, loop = b"", asyncio.get_running_loop()
        with self.sock:
            try:
                while chunk := await asyncio.wait_for(loop.sock_recv(self.sock, 1 << 16), 5):
                    data += chunk
            except ConnectionError:
                return data + b"RESET"
        return data

    async def wait_for_state(self, front: Listener, state: ConnectionState) -> Stream:
        """Wait until the only stream of the front is in a state, and return it."""
        while [at for at, _ in front.streams.values()] != [state]:
            await asyncio.sleep(0)
        return next(iter(front.streams))


def run_after_state(front: Listener, state: ConnectionState, action: Callable[[], None]) -> None:
    """Run an action once, in the loop iteration after the one in which a connection enters a state."""
    original_mark = front.set_state

    def mark(stream: Stream, at: ConnectionState) -> None:
        original_mark(stream, at)
        if at is state and front.set_state is mark:
            front.set_state = original_mark  # type: ignore[method-assign]
            asyncio.get_running_loop().call_soon(action)

    front.set_state = mark  # type: ignore[assignment, method-assign]


@FRONT
@pytest.mark.parametrize("shuts_down", [False, True])
@pytest.mark.parametrize("iterations", range(7))
@on_loop
async def test_requests_in_the_backlog_are_answered_before_the_port_closes(
    tmp_path: Path, number: int, shuts_down: bool, iterations: int
) -> None:
    """The port closes after some loop iterations: connections wait, are accepted, or become streams then."""
    async with Rig(tmp_path, answers(OK)) as rig:
        front = rig.sender.fronts[number][0]
        clients = [SocketClient(front, REQUESTS[number]) for _ in range(ACCEPT_BATCH_COUNT + 4)]
        for client in clients if shuts_down else ():
            client.sock.shutdown(socket.SHUT_WR)
        for _ in range(iterations):
            await asyncio.sleep(0)
        front.drain()
        received = await asyncio.gather(*(client.read_all() for client in clients))
        assert [len(data.split(ANSWERS[number])) - 1 for data in received] == [1] * len(clients)
        assert not any(data.endswith(b"RESET") for data in received)
        with pytest.raises(ConnectionRefusedError):
            SocketClient(front)
        while not front.has_ended:
            await asyncio.sleep(0)


@on_loop
async def test_an_accepted_connection_is_kept_when_descriptors_run_out_for_the_next(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Rig(tmp_path) as rig:
        front, accept, accepted = rig.sender.fronts[0][0], socket.socket.accept, list[object]()

        def accept_one(sock: socket.socket) -> Any:
            if len(accepted) == 1:
                accepted.append(None)
                raise OSError(errno.EMFILE, "Too many open files")
            accepted.append(taken := accept(sock))
            return taken

        client = SocketClient(front, PING)
        monkeypatch.setattr(socket.socket, "accept", accept_one)
        await client.wait_for_state(front, ConnectionState.IDLE)
        assert accepted[1] is None
        front.drain()
        assert await client.read_all() == PONG


@FRONT
@LEAVE
@pytest.mark.parametrize("begun", [False, True])
@on_loop
async def test_a_new_connection_is_served_and_closed_after_its_answer_while_leaving(
    tmp_path: Path, number: int, leave: Callable[[Listener], None], begun: bool
) -> None:
    """New connections were closed at once, with their first request on its way or partly received."""
    async with Rig(tmp_path, answers(OK)) as rig:
        front, request = rig.sender.fronts[number][0], REQUESTS[number]
        client = SocketClient(front)
        await client.wait_for_state(front, ConnectionState.NEW)
        half = 6 if begun else 0
        client.send(request[:half])
        if begun:
            await client.wait_for_state(front, ConnectionState.RECEIVING)
        leave(front)
        for _ in range(5):
            await asyncio.sleep(0)
        client.send(request[half:])
        expected = ANSWERS[number] if leave is Listener.drain or number == OTLP else b"-ERR lame duck"
        received = await client.read_all()
        assert received.startswith(expected) and not received.endswith(b"RESET")


@LEAVE
@on_loop
async def test_a_silent_new_connection_is_closed_soon_while_leaving(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, leave: Callable[[Listener], None]
) -> None:
    monkeypatch.setattr(net_listener, "LEAVING_FIRST_BYTE_TIMEOUT_US", 1)
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        front.request_timeout_us = 60_000_000
        client = SocketClient(front)
        await client.wait_for_state(front, ConnectionState.NEW)
        leave(front)
        assert await client.read_all() == b""


@LEAVE
@on_loop
async def test_commands_that_fill_a_read_chunk_are_all_answered_while_leaving(
    tmp_path: Path, leave: Callable[[Listener], None]
) -> None:
    """The buffer was empty after the first command, and the connection was closed before the others."""
    async with Rig(tmp_path, silent) as rig:
        front = rig.sender.fronts[0][0]
        client = SocketClient(front, PING)
        await client.wait_for_state(front, ConnectionState.IDLE)
        command = submit(
            "m0",
            b"x"
            * (
                READ_CHUNK_BYTES - len(submit("m0", b"x" * (READ_CHUNK_BYTES - 200))) + READ_CHUNK_BYTES - 200
            ),
        )
        assert len(command) == READ_CHUNK_BYTES
        client.send(command, submit("m1", b"x"), submit("m2", b"x"))
        leave(front)
        assert await client.read_all() == PONG + b"+OK\r\n" * 3
        assert set(rig.sender.journal.owed) == {"m0", "m1", "m2"}


def submit(message_id: str, body: bytes) -> bytes:
    return resp("SUBMIT", "0", message_id, "c=album-update,t=a,d=3000,dest=7", body)


@LEAVE
@pytest.mark.parametrize("busy", [False, True])
@on_loop
async def test_pipelined_export_requests_are_all_answered_while_leaving(
    tmp_path: Path, leave: Callable[[Listener], None], busy: bool
) -> None:
    """The listener drains, or goes into lame duck, during or right after the first answer.

    The second request is in the buffer of h11 then.
    """
    released = asyncio.Event()

    async def behave(_request: Request) -> Reply:
        await released.wait()
        return OK

    async with Rig(tmp_path, behave) as rig:
        front = rig.sender.fronts[OTLP][0]
        client = SocketClient(front, EXPORT, EXPORT.replace(b"Host: x", b"Host: x\r\nX-Id: second"))
        await rig.servers[0].wait_for_requests(1)
        if busy:
            leave(front)
        else:
            run_after_state(front, ConnectionState.IDLE, lambda: leave(front))
        released.set()
        received = await client.read_all()
        assert received.count(b"HTTP/1.1 200") == 2 and not received.endswith(b"RESET")


@on_loop
async def test_a_connection_with_a_buffered_command_is_not_evicted(tmp_path: Path) -> None:
    """While a connection yields to others between two commands, a full sender evicted it as idle."""
    async with Rig(tmp_path) as rig:
        front, evictions = rig.sender.fronts[0][0], list[bool]()

        def evict() -> None:
            for stream, (state, _) in front.streams.items():
                front.streams[stream] = state, 0
            evictions.append(front._evict_connection())

        run_after_state(front, ConnectionState.IDLE, evict)
        client = SocketClient(front, PING * 2)
        await client.wait_for_state(front, ConnectionState.IDLE)
        front.drain()
        assert await client.read_all() == PONG * 2 and evictions == [False]


@on_loop
async def test_a_silent_connection_is_evicted_before_one_with_a_partial_request(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        begun = SocketClient(front, PING[:5])
        owing = await begun.wait_for_state(front, ConnectionState.RECEIVING)
        silent_client = SocketClient(front)
        while len(front.streams) < 2:
            await asyncio.sleep(0)
        for stream, (state, _) in front.streams.items():
            front.streams[stream] = state, 0
        assert front._evict_connection() and owing in front.streams and not owing.closing
        assert await silent_client.read_all() == b""
        begun.send(PING[5:])
        await begun.wait_for_state(front, ConnectionState.IDLE)


@pytest.mark.parametrize(
    "rested_us", [0, net_listener.FIRST_BYTE_GRACE_US - 1, net_listener.REQUEST_TIMEOUT_US - 1]
)
@on_loop
async def test_the_time_limit_of_a_request_starts_at_its_first_byte(tmp_path: Path, rested_us: int) -> None:
    """The time ran from the opening of the connection.

    With a late first byte it still ends in time for the answer to bad input.
    """
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        client = SocketClient(front)
        stream = await client.wait_for_state(front, ConnectionState.NEW)
        opened = front._now() - rested_us
        front.streams[stream] = ConnectionState.NEW, opened
        client.send(PING[:5])
        await client.wait_for_state(front, ConnectionState.RECEIVING)
        _, since = front.streams[stream]
        late = rested_us >= net_listener.FIRST_BYTE_GRACE_US
        assert since == opened + net_listener.FIRST_BYTE_GRACE_US if late else since >= opened + rested_us


@on_loop
async def test_unsent_data_is_sent_after_a_close() -> None:
    """The socket was shut down while the transport still had unsent data, which was lost."""
    loop, accepted = asyncio.get_running_loop(), asyncio.Queue[Stream]()
    server = await loop.create_server(lambda: stream_protocol(accepted.put_nowait), "127.0.0.1", 0)
    async with server:
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            client.setblocking(False)
            stream, sent = await accepted.get(), 0
            while not stream._writer.transport.get_write_buffer_size():
                stream.send_last(bytes(1 << 16))
                sent += 1 << 16
            stream.close_at_once()
            received_bytes = 0
            while chunk := await loop.sock_recv(client, 1 << 16):
                received_bytes += len(chunk)
            assert received_bytes == sent


@pytest.mark.parametrize("piece", [1, 7, 1 << 20])
@on_loop
async def test_every_command_of_a_flood_is_answered_for_any_packet_size(tmp_path: Path, piece: int) -> None:
    """Hundreds of commands arrive on one connection, whose client shuts down its sending side after them.

    The listener drains meanwhile.
    """
    async with Rig(tmp_path, silent, most_held=10) as rig:
        front = rig.sender.fronts[0][0]
        busy, quiet = SocketClient(front), SocketClient(front)
        busy.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b"".join(submit(f"m{n}", b"\r\n*" * 9) + resp("ping") for n in range(150))
        for at in range(0, len(data), piece):
            busy.send(data[at : at + piece])
            if at % 1000 == 0:
                await asyncio.sleep(0)
        busy.sock.shutdown(socket.SHUT_WR)
        quiet.send(PING)
        while [state for state, _ in front.streams.values()].count(ConnectionState.IDLE) < 1:
            await asyncio.sleep(0)
        front.drain()
        assert await quiet.read_all() == PONG
        lines = (await busy.read_all()).splitlines()
        assert lines[1::2] == [PONG.strip()] * 150
        assert len(lines[::2]) == 150 and lines[0] == b"+OK"
        assert {line[:5] for line in lines[::2]} == {b"+OK", b"-BUSY"}


@pytest.mark.parametrize("reset", [False, True])
@FRONT
@on_loop
async def test_a_client_that_sends_a_lot_and_leaves_leaves_no_state_behind(
    tmp_path: Path, number: int, reset: bool
) -> None:
    """A client sends a lot at once, reads nothing, and leaves: no state and no memory may remain."""
    async with Rig(tmp_path, answers(OK)) as rig:
        front = rig.sender.fronts[number][0]
        client = SocketClient(front)
        stream = await client.wait_for_state(front, ConnectionState.NEW)
        client.sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            while True:  # until the kernel buffers are full, as nothing is read meanwhile
                client.sock.send(REQUESTS[number] * 1000)
        for _ in range(20):
            await asyncio.sleep(0)
            assert len(stream.receive_buffer) <= stream.receive_buffer.limit
            assert len(stream._reader._buffer) <= 2 * READ_CHUNK_BYTES + MAX_TRANSPORT_READ_BYTES  # type: ignore[attr-defined]
        linger = (1).to_bytes(4, "little") + bytes(4)
        if reset:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.sock.close()
        while front.streams:
            await asyncio.sleep(0)
        assert not (front._new_clients or front._paused or front._rejected)
