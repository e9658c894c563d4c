"""What comes in the moment of a close: whatever was read, or stands at the port, is answered."""

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
from rowanrack.net.listener import ACCEPT_BATCH_COUNT, Listener, State
from rowanrack.net.stream import READ_CHUNK_BYTES, Stream, stream_protocol
from tests.rig import Rig, answers, on_loop, resp, silent

OK = Reply(200, {})
READ_MOST = 256 * 1024  # that asyncio's transport reads at once
PING, PONG = resp("PING"), b"+PONG\r\n"
EXPORT = (
    b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: 0\r\n\r\n"
)
PLATFORM, OTLP = 0, 1
REQUESTS, ANSWERS = {PLATFORM: PING, OTLP: EXPORT}, {PLATFORM: b"+PONG", OTLP: b"HTTP/1.1 200"}
LEAVE = pytest.mark.parametrize("leave", [Listener.drain, lambda front: front.lameduck(True)])
FRONT = pytest.mark.parametrize("number", [PLATFORM, OTLP])


class Raw:
    """A client on a plain socket: it connects and writes in the test's own step, with no turn of the loop."""

    def __init__(self, front: Listener, *said: bytes) -> None:
        self.sock = socket.create_connection(("127.0.0.1", front.port))
        self.say(*said)

    def say(self, *said: bytes) -> None:
        self.sock.sendall(b"".join(said))

    async def heard(self) -> bytes:
        """All that comes until the connection ends, however it ends."""
        self.sock.setblocking(False)
        data, loop = b"", asyncio.get_running_loop()
        with self.sock:
            try:
                while more := await asyncio.wait_for(loop.sock_recv(self.sock, 1 << 16), 5):
                    data += more
            except ConnectionError:
                return data + b"RESET"
        return data

    async def until(self, front: Listener, state: State) -> Stream:
        """The one stream of the front, once it is in that state."""
        while [at for at, _ in front.streams.values()] != [state]:
            await asyncio.sleep(0)
        return next(iter(front.streams))


def step_of(front: Listener, state: State, action: Callable[[], None]) -> None:
    """Do something once, in the loop's turn behind the one in which a connection comes to this state."""
    plain = front.mark

    def mark(stream: Stream, at: State) -> None:
        plain(stream, at)
        if at is state and front.mark is mark:
            front.mark = plain  # type: ignore[method-assign]
            asyncio.get_running_loop().call_soon(action)

    front.mark = mark  # type: ignore[assignment, method-assign]


@FRONT
@pytest.mark.parametrize("ends", [False, True])
@pytest.mark.parametrize("turns", range(7))
@on_loop
async def test_what_stands_at_the_port_is_answered_before_that_closes(
    tmp_path: Path, number: int, ends: bool, turns: int
) -> None:
    """Closed after each number of the loop's turns: waiting, accepted, and becoming a stream."""
    async with Rig(tmp_path, answers(OK)) as rig:
        front = rig.sender.fronts[number][0]
        clients = [Raw(front, REQUESTS[number]) for _ in range(ACCEPT_BATCH_COUNT + 4)]
        for client in clients if ends else ():
            client.sock.shutdown(socket.SHUT_WR)
        for _ in range(turns):
            await asyncio.sleep(0)
        front.drain()
        heard = await asyncio.gather(*(client.heard() for client in clients))
        assert [len(data.split(ANSWERS[number])) - 1 for data in heard] == [1] * len(clients)
        assert not any(data.endswith(b"RESET") for data in heard)
        with pytest.raises(ConnectionRefusedError):
            Raw(front)
        while not front.gone:
            await asyncio.sleep(0)


@on_loop
async def test_a_connection_is_kept_though_there_is_no_descriptor_for_the_next(
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

        client = Raw(front, PING)
        monkeypatch.setattr(socket.socket, "accept", accept_one)
        await client.until(front, State.IDLE)
        assert accepted[1] is None
        front.drain()
        assert await client.heard() == PONG


@FRONT
@LEAVE
@pytest.mark.parametrize("begun", [False, True])
@on_loop
async def test_a_new_connection_is_waited_for_and_ends_behind_its_answer(
    tmp_path: Path, number: int, leave: Callable[[Listener], None], begun: bool
) -> None:
    """It was closed at once, with its first request on the way or come by half."""
    async with Rig(tmp_path, answers(OK)) as rig:
        front, request = rig.sender.fronts[number][0], REQUESTS[number]
        client = Raw(front)
        await client.until(front, State.NEW)
        half = 6 if begun else 0
        client.say(request[:half])
        if begun:
            await client.until(front, State.OWING)
        leave(front)
        for _ in range(5):
            await asyncio.sleep(0)
        client.say(request[half:])
        said = ANSWERS[number] if leave is Listener.drain or number == OTLP else b"-ERR lame duck"
        heard = await client.heard()
        assert heard.startswith(said) and not heard.endswith(b"RESET")


@LEAVE
@on_loop
async def test_a_new_connection_that_says_nothing_is_not_waited_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, leave: Callable[[Listener], None]
) -> None:
    monkeypatch.setattr(net_listener, "LEAVING_FIRST_BYTE_TIMEOUT_US", 1)
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        front.owed_us = 60_000_000
        client = Raw(front)
        await client.until(front, State.NEW)
        leave(front)
        assert await client.heard() == b""


@LEAVE
@on_loop
async def test_commands_that_fill_a_chunk_each_are_all_answered(
    tmp_path: Path, leave: Callable[[Listener], None]
) -> None:
    """Behind the first the inward ring was empty, and the rest, though read, was closed upon."""
    async with Rig(tmp_path, silent) as rig:
        front = rig.sender.fronts[0][0]
        client = Raw(front, PING)
        await client.until(front, State.IDLE)
        command = submit(
            "m0",
            b"x"
            * (
                READ_CHUNK_BYTES - len(submit("m0", b"x" * (READ_CHUNK_BYTES - 200))) + READ_CHUNK_BYTES - 200
            ),
        )
        assert len(command) == READ_CHUNK_BYTES
        client.say(command, submit("m1", b"x"), submit("m2", b"x"))
        leave(front)
        assert await client.heard() == PONG + b"+OK\r\n" * 3
        assert set(rig.sender.journal.owed) == {"m0", "m1", "m2"}


def submit(message_id: str, body: bytes) -> bytes:
    return resp("SUBMIT", "0", message_id, "c=album-update,t=a,d=3000,dest=7", body)


@LEAVE
@pytest.mark.parametrize("busy", [False, True])
@on_loop
async def test_export_requests_that_came_at_once_are_all_answered(
    tmp_path: Path, leave: Callable[[Listener], None], busy: bool
) -> None:
    """Told to leave while the first is answered, or in the turn behind that: the second stood in h11."""
    released = asyncio.Event()

    async def behave(_request: Request) -> Reply:
        await released.wait()
        return OK

    async with Rig(tmp_path, behave) as rig:
        front = rig.sender.fronts[OTLP][0]
        client = Raw(front, EXPORT, EXPORT.replace(b"Host: x", b"Host: x\r\nX-Id: second"))
        await rig.servers[0].asked(1)
        if busy:
            leave(front)
        else:
            step_of(front, State.IDLE, lambda: leave(front))
        released.set()
        heard = await client.heard()
        assert heard.count(b"HTTP/1.1 200") == 2 and not heard.endswith(b"RESET")


@on_loop
async def test_a_command_that_has_been_read_whole_makes_no_room(tmp_path: Path) -> None:
    """In the turn in which a connection lets the others go first, a full sender took it for an idle one."""
    async with Rig(tmp_path) as rig:
        front, made = rig.sender.fronts[0][0], list[bool]()

        def make_room() -> None:
            for stream, (state, _) in front.streams.items():
                front.streams[stream] = state, 0
            made.append(front._evict_connection())

        step_of(front, State.IDLE, make_room)
        client = Raw(front, PING * 2)
        await client.until(front, State.IDLE)
        front.drain()
        assert await client.heard() == PONG * 2 and made == [False]


@on_loop
async def test_a_silent_connection_makes_room_before_one_that_has_begun(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        begun = Raw(front, PING[:5])
        owing = await begun.until(front, State.OWING)
        still = Raw(front)
        while len(front.streams) < 2:
            await asyncio.sleep(0)
        for stream, (state, _) in front.streams.items():
            front.streams[stream] = state, 0
        assert front._evict_connection() and owing in front.streams and not owing.closing
        assert await still.heard() == b""
        begun.say(PING[5:])
        await begun.until(front, State.IDLE)


@pytest.mark.parametrize(
    "rested_us", [0, net_listener.FIRST_BYTE_GRACE_US - 1, net_listener.REQUEST_TIMEOUT_US - 1]
)
@on_loop
async def test_the_time_for_a_request_runs_from_its_first_byte(tmp_path: Path, rested_us: int) -> None:
    """It ran from connecting. A late first byte still ends in the time that is owed to bad input."""
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        client = Raw(front)
        stream = await client.until(front, State.NEW)
        opened = front._now() - rested_us
        front.streams[stream] = State.NEW, opened
        client.say(PING[:5])
        await client.until(front, State.OWING)
        _, since = front.streams[stream]
        late = rested_us >= net_listener.FIRST_BYTE_GRACE_US
        assert since == opened + net_listener.FIRST_BYTE_GRACE_US if late else since >= opened + rested_us


@on_loop
async def test_what_is_unsent_at_a_close_still_goes_out() -> None:
    """The socket's sending was ended under the transport, which then could not write what it held."""
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
            came = 0
            while more := await loop.sock_recv(client, 1 << 16):
                came += len(more)
            assert came == sent


@pytest.mark.parametrize("piece", [1, 7, 1 << 20])
@on_loop
async def test_every_command_of_a_flood_is_answered_however_it_is_cut(tmp_path: Path, piece: int) -> None:
    """Hundreds at once on one connection, which ends its sending behind them and is drained in between."""
    async with Rig(tmp_path, silent, most_held=10) as rig:
        front = rig.sender.fronts[0][0]
        loud, quiet = Raw(front), Raw(front)
        loud.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b"".join(submit(f"m{n}", b"\r\n*" * 9) + resp("ping") for n in range(150))
        for at in range(0, len(data), piece):
            loud.say(data[at : at + piece])
            if at % 1000 == 0:
                await asyncio.sleep(0)
        loud.sock.shutdown(socket.SHUT_WR)
        quiet.say(PING)
        while [state for state, _ in front.streams.values()].count(State.IDLE) < 1:
            await asyncio.sleep(0)
        front.drain()
        assert await quiet.heard() == PONG
        lines = (await loud.heard()).splitlines()
        assert lines[1::2] == [PONG.strip()] * 150
        assert len(lines[::2]) == 150 and lines[0] == b"+OK"
        assert {line[:5] for line in lines[::2]} == {b"+OK", b"-BUSY"}


@pytest.mark.parametrize("reset", [False, True])
@FRONT
@on_loop
async def test_what_much_input_leaves_behind_is_nothing(tmp_path: Path, number: int, reset: bool) -> None:
    """A client sends much at once, reads nothing, and goes."""
    async with Rig(tmp_path, answers(OK)) as rig:
        front = rig.sender.fronts[number][0]
        client = Raw(front)
        stream = await client.until(front, State.NEW)
        client.sock.setblocking(False)
        with pytest.raises(BlockingIOError):
            while True:  # until the kernels hold no more, for nothing is read meanwhile
                client.sock.send(REQUESTS[number] * 1000)
        for _ in range(20):
            await asyncio.sleep(0)
            assert len(stream.inward) <= stream.inward.limit
            assert len(stream._reader._buffer) <= 2 * READ_CHUNK_BYTES + READ_MOST  # type: ignore[attr-defined]
        linger = (1).to_bytes(4, "little") + bytes(4)
        if reset:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.sock.close()
        while front.streams:
            await asyncio.sleep(0)
        assert not (front._new_clients or front._paused or front._rejected)
