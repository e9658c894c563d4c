"""Attempts in their rare moments: real connections, and what happens between two lines of the sender."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rowanrack.core.messages import Attempt, Batch, Ending
from rowanrack.net.http import Reply
from rowanrack.net.pool import REST_US
from rowanrack.net.stream import CountingReader, Stream
from rowanspindle import Result, UpdateScope
from tests.rig import Rig, answers, instance, on_loop
from tests.test_otlp import logs

OK_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class ScriptedEndpoint:
    """An endpoint that reads calls with bodies of one byte and answers what it is told, or nothing."""

    def __init__(self, answer: bytes) -> None:
        self.answer, self.calls, self.writers = answer, 0, list[asyncio.StreamWriter]()
        self.asked, self.port = asyncio.Event(), 0

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
        endpoint.port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.list_instances(UpdateScope.FULL, [instance("raw", endpoint.port)])
        yield endpoint


def after_begin(rig: Rig, happens: Callable[[], None]) -> None:
    """Run something between the next attempt's beginning and its call's first byte."""
    exchange, begin = rig.sender.exchange, rig.sender.exchange.begin

    def begin_and_happen(attempt: Attempt) -> bool:
        exchange.begin = begin  # type: ignore[method-assign]
        begun = begin(attempt)
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


@on_loop
async def test_what_comes_in_on_a_new_connection_ahead_of_its_first_call_is_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = Stream.connect
    async with Rig(tmp_path) as rig, scripted(rig) as endpoint:

        async def connect_and_be_greeted(host: str, port: int) -> Stream:
            monkeypatch.undo()
            stream = await connect(host, port)
            while not endpoint.writers:
                await asyncio.sleep(0)
            endpoint.write_now(OK_BYTES)
            return stream

        client = await rig.client()
        monkeypatch.setattr(Stream, "connect", connect_and_be_greeted)
        await client.submit("m1", "print-order")
        assert (await rig.ended("m1")).ending is Ending.DELIVERED
        assert rig.results == [Result.CONNECT_FAILED, Result.OK]
        assert (endpoint.calls, len(endpoint.writers)) == (1, 2)


REFUSED_BYTES = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r",
        b"HTTP/1.1 200 O" + REFUSED_BYTES,
        b"HTTP/1.1 200 HTTP/1.1 429 Too Many Requests\r\nX-Pressure: \x00\r\nContent-Length: 0\r\n\r\n",
    ],
)
@on_loop
async def test_half_a_first_line_is_no_answer(tmp_path: Path, answer: bytes) -> None:
    """It may stand ahead of the real answer, or of none: a message that nobody ran counted as delivered."""
    async with Rig(tmp_path) as rig, scripted(rig, answer) as endpoint:
        await (await rig.client()).submit("m1", "print-order")
        assert (await rig.ended("m1")).ending is Ending.FAILED
        assert rig.results == [Result.RESET]
        assert endpoint.calls == 1


def give_up(rig: Rig) -> None:
    """The time-out of the one attempt that is out."""
    exchange = rig.sender.exchange
    (attempt,) = [a for message in exchange.messages.values() for a in message.out.values()]
    exchange._stop_waiting(attempt, Result.TIMEOUT)


@pytest.mark.parametrize("read", [False, True])
@on_loop
async def test_an_answer_that_has_come_in_goes_before_the_time_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, read: bool
) -> None:
    """A delivered message was failed, since the call's task had not had its turn."""
    async with Rig(tmp_path) as rig, scripted(rig, b"") as endpoint:
        await (await rig.client()).submit("m1", "print-order")
        await endpoint.asked.wait()
        if read:
            feed = CountingReader.feed_data

            def feed_and_give_up(reader: CountingReader, data: bytes) -> None:
                feed(reader, data)
                if bytes(data) == OK_BYTES:
                    give_up(rig)

            monkeypatch.setattr(CountingReader, "feed_data", feed_and_give_up)
        endpoint.write_now(OK_BYTES)
        if not read:
            give_up(rig)
        assert (await rig.ended("m1")).ending is Ending.DELIVERED and rig.results == [Result.OK]


@pytest.mark.parametrize(
    ("begun", "rest", "result"),
    [
        (b"HTTP/1.1 20", b"0 OK\r\nContent-Length: 0\r\n\r\n", Result.OK),
        (b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n", b"ab", Result.FULL),
        (b"HTTP/1.1 20", b"", Result.RESET),  # never whole
        (b"HTTP/1.1 102 Processing\r\n\r\n", b"", Result.TIMEOUT),  # says nothing yet
    ],
)
@on_loop
async def test_an_answer_that_has_begun_is_waited_for_but_not_for_long(
    tmp_path: Path, begun: bytes, rest: bytes, result: Result
) -> None:
    async with Rig(tmp_path) as rig, scripted(rig, b"") as endpoint:
        await (await rig.client()).submit("m1", "print-order", d=20_000)
        await endpoint.asked.wait()
        endpoint.write_now(begun)
        give_up(rig)
        asyncio.get_running_loop().call_soon(endpoint.write_now, rest)
        async with asyncio.timeout(2):  # far less than the attempt's time
            await rig.until(lambda: rig.results[:1] == [result])


@asynccontextmanager
async def unread_listener(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, size: int = 60_000
) -> AsyncIterator[socket.socket]:
    """The only endpoint: its connections come up, nothing is read, and the kernels hold little."""
    connect = Stream.connect

    async def connect_small(host: str, port: int) -> Stream:
        stream = await connect(host, port)
        stream._writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return stream

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        rig.sender.exchange.list_instances(UpdateScope.FULL, [instance("raw", listener.getsockname()[1])])
        client = await rig.client()
        monkeypatch.setattr(Stream, "connect", connect_small)
        begun = asyncio.Event()
        after_begin(rig, begun.set)
        await client.submit("m1", "print-order", body=bytes(size))
        await begun.wait()
        yield listener


def drain(connection: socket.socket) -> int:
    """Read all that can be read now; returns how much."""
    size = 0
    connection.settimeout(0.2)
    try:
        while data := connection.recv(1 << 16):
            size += len(data)
    except TimeoutError:
        pass
    return size


@pytest.mark.parametrize("size", [16_000, 60_000])  # under and over what the transport gets at once
@on_loop
async def test_a_call_given_up_before_its_last_byte_has_never_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    """An unsafe message was failed for nothing; and its last bytes could still go out behind its end."""
    async with Rig(tmp_path) as rig, unread_listener(rig, monkeypatch, size) as listener:
        connection, _ = listener.accept()
        with connection:
            assert drain(connection) < size
            asyncio.get_running_loop().call_soon(give_up, rig)  # in the turn in which there is room again
            for _ in range(3):
                await asyncio.sleep(0)
            assert drain(connection) == 0
        assert rig.results == [Result.CONNECT_FAILED]
        (message,) = rig.sender.exchange.messages.values()
        assert not message.unsettled


@on_loop
async def test_a_call_given_up_right_behind_its_last_byte_may_have_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The kernel has it all, and the task that writes does not know yet."""
    async with Rig(tmp_path) as rig, unread_listener(rig, monkeypatch) as listener:
        connection, _ = listener.accept()
        resume = asyncio.StreamReaderProtocol.resume_writing
        sizes: list[int] = []

        def resume_and_give_up(protocol: asyncio.StreamReaderProtocol) -> None:
            resume(protocol)
            (caller,) = rig.sender.pool._callers.values()
            if not caller.stream.unsent:
                give_up(rig)

        monkeypatch.setattr(asyncio.StreamReaderProtocol, "resume_writing", resume_and_give_up)
        with connection:
            connection.setblocking(False)
            loop = asyncio.get_running_loop()
            while data := await loop.sock_recv(connection, 1 << 16):
                sizes.append(len(data))
        assert sum(sizes) > 60_000 and rig.results == [Result.TIMEOUT]
        assert (await rig.ended("m1")).ending is Ending.FAILED


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (Reply(503, {"Retry-After": "Fri, 31 Dec 9999 23:59:59 -1200"}), Result.FULL),
        (Reply(429, {"Retry-After": "Mon, 01 Jan 99999999999999999999 00:00:00 GMT"}), Result.FULL),
        (Reply(200, {"Content-Type": "application/json"}, b'{"\\ud800":1}'), Result.OK),
    ],
)
@on_loop
async def test_an_otlp_answer_keeps_its_meaning_whatever_stands_beside_its_status(
    tmp_path: Path, reply: Reply, result: Result
) -> None:
    """What could not be read made the attempt one that may have run: an unsafe message was failed."""
    async with Rig(tmp_path, answers(reply, Reply(200, {}))) as rig:
        assert (await rig.export(logs())).status == 200
        assert rig.results[0] is result


@on_loop
async def test_an_export_request_that_protobuf_fails_on_is_answered(tmp_path: Path) -> None:
    """Its connection was closed with no answer."""
    async with Rig(tmp_path) as rig:
        reply = await rig.export(b'{"\\ud800":1}', content_type="application/json")
        assert reply.status == 400


@pytest.mark.parametrize(
    ("begun", "rest"),
    [
        (b"HTTP/1.1 503 N", b"o\r\nContent-Length: 0\r\n\r\n"),
        (b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n", b"ab"),
    ],
)
@on_loop
async def test_the_rest_of_an_answer_counts_from_when_it_came_not_when_it_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, begun: bytes, rest: bytes
) -> None:
    """A loop that was held up took a refusal, which had come whole, for an answer that was cut off."""
    async with Rig(tmp_path) as rig, scripted(rig, b"") as endpoint:
        exchange, clock = rig.sender.exchange, rig.sender.exchange.clock
        await (await rig.client()).submit("m1", "print-order", d=20_000)
        await endpoint.asked.wait()
        (caller,) = rig.sender.pool._callers.values()
        endpoint.write_now(begun)
        while bytes(caller._raw) != begun:
            await asyncio.sleep(0)
        now_us = clock.now_us
        endpoint.write_now(rest)
        monkeypatch.setattr(clock, "now_us", lambda: now_us() + REST_US + 50_000)
        exchange.pump()  # fires the timer of the rest
        await rig.until(lambda: rig.results[:1] == [Result.FULL])


@on_loop
async def test_a_connection_that_comes_up_behind_its_attempt_is_closed_unused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The time-out falls into the turn in which the connection has come up and its task does not know."""
    async with Rig(tmp_path) as rig, scripted(rig) as endpoint:
        made = asyncio.StreamReaderProtocol.connection_made
        client = await rig.client()

        def made_and_give_up(protocol: asyncio.StreamReaderProtocol, transport: asyncio.Transport) -> None:
            made(protocol, transport)
            if transport.get_extra_info("peername")[1] == endpoint.port:
                monkeypatch.undo()
                give_up(rig)

        monkeypatch.setattr(asyncio.StreamReaderProtocol, "connection_made", made_and_give_up)
        await client.submit("m1", "print-order")
        assert (await rig.ended("m1")).ending is Ending.DELIVERED
        assert rig.results == [Result.CONNECT_FAILED, Result.OK]
        async with asyncio.timeout(2):
            await endpoint.writers[0].wait_closed()
        assert endpoint.calls == 1
