"""What comes in the moment of a close: whatever was read, or stands at the port, is answered."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from rowanrack.net import listener as net_listener
from rowanrack.net.http import Reply, Request
from rowanrack.net.listener import Listener, State
from rowanrack.net.stream import CHUNK, Stream, stream_protocol
from tests.rig import Rig, on_loop, resp, silent

OK = Reply(200, {})
PING, PONG = resp("PING"), b"+PONG\r\n"
EXPORT = (
    b"POST /v1/logs HTTP/1.1\r\nHost: x\r\n"
    b"Content-Type: application/x-protobuf\r\nContent-Length: 0\r\n\r\n"
)
OTLP = 1
LEAVE = pytest.mark.parametrize("leave", [Listener.drain, lambda front: front.lameduck(True)])


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


@LEAVE
@on_loop
async def test_a_new_connection_that_says_nothing_is_not_waited_for_long(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, leave: Callable[[Listener], None]
) -> None:
    monkeypatch.setattr(net_listener, "FIRST_US", 1)
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
        command = submit("m0", b"x" * (CHUNK - len(submit("m0", b"x" * (CHUNK - 200))) + CHUNK - 200))
        assert len(command) == CHUNK
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
            made.append(front._make_room())

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
        assert front._make_room() and owing in front.streams and not owing.closing
        assert await still.heard() == b""
        begun.say(PING[5:])
        await begun.until(front, State.IDLE)


@pytest.mark.parametrize("rested_us", [0, net_listener.REST_US - 1, net_listener.OWED_US - 1])
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
        late = rested_us >= net_listener.REST_US
        assert since == opened + net_listener.REST_US if late else since >= opened + rested_us


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
