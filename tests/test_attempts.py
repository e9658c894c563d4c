"""Race conditions of attempts, on real connections: events between two steps of the sender."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rowanrack.core.messages import Attempt, Batch, Ending
from rowanrack.net.http import Reply
from rowanrack.net.pool import RESPONSE_REST_TIMEOUT_US
from rowanrack.net.stream import CountingReader, Stream
from rowanspindle import Result, UpdateScope
from tests.rig import Rig, answers, make_endpoint, on_loop
from tests.test_otlp import logs

OK_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class ScriptedEndpoint:
    """An endpoint that reads calls with bodies of one byte and answers with given bytes, or not at all."""

    def __init__(self, answer: bytes) -> None:
        self.answer, self.calls, self.writers = answer, 0, list[asyncio.StreamWriter]()
        self.call_received, self.port = asyncio.Event(), 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n") and await reader.readexactly(1):
                self.calls += 1
                self.call_received.set()
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    def write_now(self, data: bytes) -> None:
        """Write on the first connection; on loopback the kernel of the sender has the data on return."""
        self.writers[0].write(data)

    def end_now(self) -> None:
        """Shut the first connection down; on loopback the kernel of the sender knows on return."""
        self.writers[0].get_extra_info("socket").shutdown(socket.SHUT_RDWR)


@asynccontextmanager
async def scripted_endpoint(rig: Rig, answer: bytes = OK_BYTES) -> AsyncIterator[ScriptedEndpoint]:
    """Start a scripted endpoint and list it as the only one of the destination."""
    endpoint = ScriptedEndpoint(answer)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    async with server:
        endpoint.port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("raw", endpoint.port)])
        yield endpoint


def run_after_begin(rig: Rig, action: Callable[[], None]) -> None:
    """Run an action once, between the beginning of the next attempt and the first byte of its call."""
    exchange, begin = rig.sender.exchange, rig.sender.exchange.begin

    def begin_and_act(attempt: Attempt) -> bool:
        exchange.begin = begin  # type: ignore[method-assign]
        begun = begin(attempt)
        action()
        return begun

    exchange.begin = begin_and_act  # type: ignore[method-assign]


@pytest.mark.parametrize(
    "early_bytes", [OK_BYTES, b"HTTP/1.1 200 ", b"HTTP/1.1 500 No\r\n", b"\xffnoise", None]
)
@on_loop
async def test_bytes_received_right_before_a_call_are_not_its_response(
    tmp_path: Path, early_bytes: bytes | None
) -> None:
    """Bytes that arrive on an idle connection just before a call must not be read as its response.

    An unsafe message was counted as delivered, or as failed, by such bytes.
    """
    async with Rig(tmp_path) as rig, scripted_endpoint(rig) as endpoint:
        client = await rig.client()
        await client.submit("m1", "print-order")
        await rig.wait_for_end("m1")
        run_after_begin(
            rig, endpoint.end_now if early_bytes is None else lambda: endpoint.write_now(early_bytes)
        )
        await client.submit("m2", "print-order")
        assert (await rig.wait_for_end("m2")).ending is Ending.DELIVERED
        assert rig.results == [Result.OK, Result.MOOT, Result.OK]
        assert (endpoint.calls, len(endpoint.writers)) == (2, 2)


@on_loop
async def test_an_expired_idle_connection_is_not_reused_when_its_timer_is_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop may be delayed between a round, which fires timers, and the call that it starts.

    The age of an idle connection is therefore checked again when the call takes it.
    """
    async with Rig(tmp_path, keepalive_us=1_000_000) as rig, scripted_endpoint(rig) as endpoint:
        client, pool, clock = await rig.client(), rig.sender.pool, rig.sender.exchange.clock
        await client.submit("m1")
        await rig.wait_for_end("m1")
        start, now_us = pool.start, clock.now_us

        def start_late(batch: Batch) -> None:
            monkeypatch.setattr(clock, "now_us", lambda: now_us() + 700_000)
            start(batch)

        monkeypatch.setattr(pool, "start", start_late)
        await client.submit("m2")
        assert (await rig.wait_for_end("m2")).ending is Ending.DELIVERED
        assert (endpoint.calls, len(endpoint.writers)) == (2, 2)


@on_loop
async def test_bytes_received_on_a_new_connection_before_its_first_call_are_not_a_response(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = Stream.connect
    async with Rig(tmp_path) as rig, scripted_endpoint(rig) as endpoint:

        async def connect_and_receive_bytes(host: str, port: int) -> Stream:
            monkeypatch.undo()
            stream = await connect(host, port)
            while not endpoint.writers:
                await asyncio.sleep(0)
            endpoint.write_now(OK_BYTES)
            return stream

        client = await rig.client()
        monkeypatch.setattr(Stream, "connect", connect_and_receive_bytes)
        await client.submit("m1", "print-order")
        assert (await rig.wait_for_end("m1")).ending is Ending.DELIVERED
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
async def test_a_partial_status_line_is_not_a_response(tmp_path: Path, answer: bytes) -> None:
    """A partial status line may precede the real response, or none.

    A message that no endpoint had processed was counted as delivered.
    """
    async with Rig(tmp_path) as rig, scripted_endpoint(rig, answer) as endpoint:
        await (await rig.client()).submit("m1", "print-order")
        assert (await rig.wait_for_end("m1")).ending is Ending.FAILED
        assert rig.results == [Result.RESET]
        assert endpoint.calls == 1


def time_out(rig: Rig) -> None:
    """Time out the only attempt in progress."""
    exchange = rig.sender.exchange
    (attempt,) = [a for message in exchange.messages.values() for a in message.attempts_out.values()]
    exchange._stop_waiting(attempt, Result.TIMEOUT)


@pytest.mark.parametrize("is_read_by_stream", [False, True])
@on_loop
async def test_a_received_response_takes_precedence_over_the_time_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_read_by_stream: bool
) -> None:
    """The task of the call may not have run yet when the attempt times out.

    A message that had been delivered was failed then.
    """
    async with Rig(tmp_path) as rig, scripted_endpoint(rig, b"") as endpoint:
        await (await rig.client()).submit("m1", "print-order")
        await endpoint.call_received.wait()
        if is_read_by_stream:
            feed = CountingReader.feed_data

            def feed_and_time_out(reader: CountingReader, data: bytes) -> None:
                feed(reader, data)
                if bytes(data) == OK_BYTES:
                    time_out(rig)

            monkeypatch.setattr(CountingReader, "feed_data", feed_and_time_out)
        endpoint.write_now(OK_BYTES)
        if not is_read_by_stream:
            time_out(rig)
        assert (await rig.wait_for_end("m1")).ending is Ending.DELIVERED and rig.results == [Result.OK]


@pytest.mark.parametrize(
    ("begun", "rest", "result"),
    [
        (b"HTTP/1.1 20", b"0 OK\r\nContent-Length: 0\r\n\r\n", Result.OK),
        (b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n", b"ab", Result.FULL),
        (b"HTTP/1.1 20", b"", Result.RESET),  # never complete
        (b"HTTP/1.1 102 Processing\r\n\r\n", b"", Result.TIMEOUT),  # no final response
    ],
)
@on_loop
async def test_a_partial_response_extends_the_time_out_only_briefly(
    tmp_path: Path, begun: bytes, rest: bytes, result: Result
) -> None:
    async with Rig(tmp_path) as rig, scripted_endpoint(rig, b"") as endpoint:
        await (await rig.client()).submit("m1", "print-order", d=20_000)
        await endpoint.call_received.wait()
        endpoint.write_now(begun)
        time_out(rig)
        asyncio.get_running_loop().call_soon(endpoint.write_now, rest)
        async with asyncio.timeout(2):  # far less than the time-out of the attempt
            await rig.wait_until(lambda: rig.results[:1] == [result])


@asynccontextmanager
async def non_reading_endpoint(
    rig: Rig, monkeypatch: pytest.MonkeyPatch, size: int = 60_000
) -> AsyncIterator[socket.socket]:
    """List an endpoint that accepts connections and reads nothing, with small kernel buffers."""
    connect = Stream.connect

    async def connect_with_small_buffer(host: str, port: int) -> Stream:
        stream = await connect(host, port)
        stream._writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return stream

    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        rig.sender.exchange.update_endpoints(
            UpdateScope.FULL, [make_endpoint("raw", listener.getsockname()[1])]
        )
        client = await rig.client()
        monkeypatch.setattr(Stream, "connect", connect_with_small_buffer)
        begun = asyncio.Event()
        run_after_begin(rig, begun.set)
        await client.submit("m1", "print-order", body=bytes(size))
        await begun.wait()
        yield listener


def read_available(connection: socket.socket) -> int:
    """Read all available bytes and return their number."""
    size = 0
    connection.settimeout(0.2)
    try:
        while data := connection.recv(1 << 16):
            size += len(data)
    except TimeoutError:
        pass
    return size


@pytest.mark.parametrize("size", [16_000, 60_000])  # below and above what the transport takes at once
@on_loop
async def test_a_call_aborted_before_its_last_byte_was_written_has_not_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    """A call that is aborted before its last byte was written counts as never run, and sends no more bytes.

    Otherwise an unsafe message was failed needlessly, or its last bytes went out after its end.
    """
    async with Rig(tmp_path) as rig, non_reading_endpoint(rig, monkeypatch, size) as listener:
        connection, _ = listener.accept()
        with connection:
            assert read_available(connection) < size
            asyncio.get_running_loop().call_soon(
                time_out, rig
            )  # in the loop iteration in which the socket becomes writable again
            for _ in range(3):
                await asyncio.sleep(0)
            assert read_available(connection) == 0
        assert rig.results == [Result.CONNECT_FAILED]
        (message,) = rig.sender.exchange.messages.values()
        assert not message.unsettled


@on_loop
async def test_a_call_aborted_right_after_its_last_byte_was_written_may_have_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The kernel has all bytes, and the task that writes them has not been resumed yet."""
    async with Rig(tmp_path) as rig, non_reading_endpoint(rig, monkeypatch) as listener:
        connection, _ = listener.accept()
        resume = asyncio.StreamReaderProtocol.resume_writing
        sizes: list[int] = []

        def resume_and_time_out(protocol: asyncio.StreamReaderProtocol) -> None:
            resume(protocol)
            (caller,) = rig.sender.pool._callers.values()
            if not caller.stream.unsent:
                time_out(rig)

        monkeypatch.setattr(asyncio.StreamReaderProtocol, "resume_writing", resume_and_time_out)
        with connection:
            connection.setblocking(False)
            loop = asyncio.get_running_loop()
            while data := await loop.sock_recv(connection, 1 << 16):
                sizes.append(len(data))
        assert sum(sizes) > 60_000 and rig.results == [Result.TIMEOUT]
        assert (await rig.wait_for_end("m1")).ending is Ending.FAILED


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (Reply(503, {"Retry-After": "Fri, 31 Dec 9999 23:59:59 -1200"}), Result.FULL),
        (Reply(429, {"Retry-After": "Mon, 01 Jan 99999999999999999999 00:00:00 GMT"}), Result.FULL),
        (Reply(200, {"Content-Type": "application/json"}, b'{"\\ud800":1}'), Result.OK),
    ],
)
@on_loop
async def test_the_status_of_an_otlp_response_counts_despite_invalid_headers_or_body(
    tmp_path: Path, reply: Reply, result: Result
) -> None:
    """Invalid headers or bodies beside the status must not change the verdict.

    They made the attempt count as one that may have run, and an unsafe message was failed.
    """
    async with Rig(tmp_path, answers(reply, Reply(200, {}))) as rig:
        assert (await rig.export(logs())).status == 200
        assert rig.results[0] is result


@on_loop
async def test_an_export_request_that_protobuf_cannot_parse_is_answered_with_400(tmp_path: Path) -> None:
    """The connection was closed without a response when protobuf's JSON parser raised an unexpected error."""
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
async def test_a_response_that_arrived_in_time_is_not_truncated_by_a_delayed_event_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, begun: bytes, rest: bytes
) -> None:
    """A delayed event loop took a refusal that had arrived completely for a truncated response."""
    async with Rig(tmp_path) as rig, scripted_endpoint(rig, b"") as endpoint:
        exchange, clock = rig.sender.exchange, rig.sender.exchange.clock
        await (await rig.client()).submit("m1", "print-order", d=20_000)
        await endpoint.call_received.wait()
        (caller,) = rig.sender.pool._callers.values()
        endpoint.write_now(begun)
        while bytes(caller._response_head) != begun:
            await asyncio.sleep(0)
        now_us = clock.now_us
        endpoint.write_now(rest)
        monkeypatch.setattr(clock, "now_us", lambda: now_us() + RESPONSE_REST_TIMEOUT_US + 50_000)
        exchange.pump()  # fires the timer for the rest of the response
        await rig.wait_until(lambda: rig.results[:1] == [Result.FULL])


@on_loop
async def test_a_connection_that_opens_after_its_attempt_timed_out_is_closed_unused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The attempt times out in the loop iteration in which the connection opens, before its task runs."""
    async with Rig(tmp_path) as rig, scripted_endpoint(rig) as endpoint:
        connection_made = asyncio.StreamReaderProtocol.connection_made
        client = await rig.client()

        def connect_and_time_out(
            protocol: asyncio.StreamReaderProtocol, transport: asyncio.Transport
        ) -> None:
            connection_made(protocol, transport)
            if transport.get_extra_info("peername")[1] == endpoint.port:
                monkeypatch.undo()
                time_out(rig)

        monkeypatch.setattr(asyncio.StreamReaderProtocol, "connection_made", connect_and_time_out)
        await client.submit("m1", "print-order")
        assert (await rig.wait_for_end("m1")).ending is Ending.DELIVERED
        assert rig.results == [Result.CONNECT_FAILED, Result.OK]
        async with asyncio.timeout(2):
            await endpoint.writers[0].wait_closed()
        assert endpoint.calls == 1
