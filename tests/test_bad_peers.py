"""Peers that violate their protocol: malformed responses of endpoints, and bad clients."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rowanrack.core.messages import Ending
from rowanrack.core.rate_limited_log import WARNING_INTERVAL_S, RateLimitedLog
from rowanrack.load import load_shedder
from rowanrack.net import listener as net_listener
from rowanrack.net.http import Reply
from rowanrack.net.listener import ConnectionState
from rowanrack.net.stream import Stream
from rowanspindle import UpdateScope
from tests.rig import Rig, answers, make_endpoint, on_loop, resp, silent
from tests.test_otlp import logs

OK_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
MANY_FIELDS = b"".join(b"a%x:\r\n" % number for number in range(1500))
LONG_PADDING = b"X-Pad: pppppppp\r\n" * 2000


class RawEndpoint:
    """An endpoint that answers its first call with given bytes, others with 200, and closes no connection."""

    def __init__(self, first: bytes) -> None:
        self.first, self.calls, self.connections = first, 0, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; each request body is one byte long."""
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n") and await reader.readexactly(1):
                self.calls += 1
                writer.write(self.first if self.calls == 1 else OK_BYTES)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


@asynccontextmanager
async def raw_endpoint(rig: Rig, first: bytes) -> AsyncIterator[RawEndpoint]:
    """Start a raw endpoint and list it as the only one of the destination."""
    endpoint = RawEndpoint(first)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("raw", port)])
        yield endpoint


@pytest.mark.parametrize(
    ("first", "ending", "calls"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nab", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 16\r\n\r\nab", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\n" + LONG_PADDING, Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nX-Pad: p", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(1 << 20), Ending.DELIVERED, 1),
        (EARLY_HINTS + b"HTTP/1.1 102 Processing\r\n\r\n" + OK_BYTES, Ending.DELIVERED, 1),
        (EARLY_HINTS + b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", Ending.DELIVERED, 1),
        (EARLY_HINTS * 50 + OK_BYTES, Ending.FAILED, 1),
        (b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", Ending.FAILED, 1),
        (b"\xff\x00 noise\r\n\r\nHTTP/1.1 200 OK\r\n", Ending.FAILED, 1),
        (b"HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\nab", Ending.FAILED, 1),
        (b"HTTP/1.1 429 No\r\nX-Retry-In-Ms: 9\r\nContent-Le", Ending.FAILED, 1),
        (b"HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n", Ending.FAILED, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + MANY_FIELDS + b"\r\n", Ending.DELIVERED, 1),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n" + MANY_FIELDS + b"\r\n", Ending.FAILED, 1),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\nsurplus", Ending.DELIVERED, 2),
        (b"HTTP/1.1 503 No\r\nX-Pressure: \x01\x00\r\nContent-Length: 0\r\n\r\n", Ending.DELIVERED, 2),
        (b"HTTP/1.1 429 No\r\nX-Retry-In-Ms: \xb2\r\nContent-Length: 0\r\n\r\n", Ending.DELIVERED, 2),
    ],
)
@on_loop
async def test_a_call_with_a_malformed_response_may_have_run_unless_the_status_is_200(
    tmp_path: Path, first: bytes, ending: Ending, calls: int
) -> None:
    """A malformed refusal was counted as not run, and an order was sent twice."""
    async with Rig(tmp_path) as rig, raw_endpoint(rig, first) as endpoint:
        await (await rig.client()).submit("m1", "print-order", d=5000)
        async with asyncio.timeout(3):  # long before the deadline of the message
            assert (await rig.wait_for_end("m1")).ending is ending
        assert endpoint.calls == calls


@pytest.mark.parametrize("surplus", [OK_BYTES, b"\xffnoise", b"\r\n"])
@on_loop
async def test_surplus_bytes_after_a_response_are_not_the_next_response(
    tmp_path: Path, surplus: bytes
) -> None:
    """Surplus bytes in the buffer of h11 were read as the next response, and that message was lost."""
    async with Rig(tmp_path) as rig, raw_endpoint(rig, OK_BYTES + surplus) as endpoint:
        client = await rig.client()
        for message_id in ("m1", "m2"):
            await client.submit(message_id, "print-order")
            assert (await rig.wait_for_end(message_id)).ending is Ending.DELIVERED
        assert (endpoint.calls, endpoint.connections) == (2, 2)


@on_loop
async def test_a_valid_command_before_an_invalid_one_is_answered(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        await client.stream.send(resp("PING") + b"*x\r\n")
        while await client.stream.fill():
            pass
        assert client.stream.receive_buffer.read(99).startswith(b"+PONG\r\n-ERR Protocol error")


@on_loop
async def test_the_error_reply_arrives_however_much_input_is_unread(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        client = await rig.client()
        sending = asyncio.create_task(client.stream.send(b"*1\r\n$60000000\r\n" + bytes(4 << 20)))
        while await client.stream.fill():
            pass
        assert client.stream.receive_buffer.read(99) == b"-ERR Protocol error: a length is out of range\r\n"
        sending.cancel()


@on_loop
async def test_a_connection_with_unread_input_is_not_closed_right_after_the_error_reply(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closing would reset the connection, and a client that still writes would not read the error."""
    monkeypatch.setattr(net_listener, "MAX_LINGER_BYTES", 0)
    async with Rig(tmp_path) as rig:
        client = await rig.client()
        await client.stream.send(b"*x\r\n" + bytes(50_000))
        while await client.stream.fill():
            pass
        assert client.stream.receive_buffer.read(4) == b"-ERR"
        assert [state for state, _ in rig.sender.fronts[0][0].streams.values()] == [ConnectionState.LEAVING]


@pytest.mark.parametrize(
    ("front", "partial_request", "reply"),
    [
        (0, b"", b""),
        (0, b"*1\r\n$4\r\nPI", b"-ERR Protocol error: the command does not come whole in time\r\n"),
        (1, b"", b""),
        (1, b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab", b"HTTP/1.1 408 "),
    ],
)
@on_loop
async def test_an_incomplete_request_times_out(
    tmp_path: Path, front: int, partial_request: bytes, reply: bytes
) -> None:
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[front][0].request_timeout_us = 1
        stream = await rig.connect(front)
        if partial_request:
            await stream.send(partial_request)
        while await stream.fill():
            pass
        assert stream.receive_buffer.read(len(reply) or 1) == reply


@on_loop
async def test_silent_connections_are_evicted_for_active_clients(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[0][0].max_connections = 4
        for _ in range(12):
            await rig.client()
        commands = [asyncio.create_task((await rig.client()).command("PING")) for _ in range(4)]
        async with asyncio.timeout(1.5):  # the time-out of silent connections is 2 s
            assert await asyncio.gather(*commands) == [b"+PONG\r\n"] * 4


@pytest.mark.parametrize(("input_bytes", "waits_for_reply"), [(resp("PING"), True), (b"*1\r\n$4", False)])
@on_loop
async def test_idle_connections_and_partial_requests_are_evicted_for_active_clients(
    tmp_path: Path, input_bytes: bytes, waits_for_reply: bool
) -> None:
    """On a recorded day, 215 connections, each used once less than 2 s ago, kept half of all clients out."""
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[0][0].max_connections = 4
        for _ in range(8):
            client = await rig.client()
            await client.stream.send(input_bytes)
            if waits_for_reply:
                await client.raw(b"")
        commands = [asyncio.create_task((await rig.client()).command("PING")) for _ in range(4)]
        async with asyncio.timeout(1.5):
            assert await asyncio.gather(*commands) == [b"+PONG\r\n"] * 4


@pytest.mark.parametrize(("max_connections", "closed"), [(4, True), (100, False)])
@on_loop
async def test_idle_connections_are_closed_early_only_when_many_connections_are_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, max_connections: int, closed: bool
) -> None:
    """Clients with a limited number of connections kept them idle, and had none left for requests."""
    monkeypatch.setattr(net_listener, "TIMEOUT_CHECK_INTERVAL_US", 5000)
    monkeypatch.setattr(net_listener, "IDLE_EVICTION_AGE_US", 0)
    async with Rig(tmp_path) as rig:
        clients = [await rig.client() for _ in range(2)]
        for client in clients:
            await client.command("PING")
        rig.sender.fronts[0][0].max_connections = max_connections
        ends = [asyncio.create_task(client.stream.fill()) for client in clients]
        done, _ = await asyncio.wait(ends, timeout=1.5 if closed else 0.1)
        assert len(done) == (2 if closed else 0)


@pytest.mark.parametrize(
    ("state", "min_age_us"),
    [
        (ConnectionState.RECEIVING, net_listener.REQUEST_EVICTION_AGE_US),
        (ConnectionState.IDLE, net_listener.IDLE_EVICTION_AGE_US),
        (ConnectionState.LEAVING, 0),
        (ConnectionState.BUSY, None),
    ],
)
@on_loop
async def test_only_dispensable_connections_are_evicted(
    tmp_path: Path, state: ConnectionState, min_age_us: int | None
) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        await (await rig.client()).command("PING")
        (served,) = front.streams
        now = front._now()
        if min_age_us:
            front.streams[served] = state, now - min_age_us + 100_000
            assert not front._evict_connection()
        front.streams[served] = state, now - (min_age_us if min_age_us is not None else 1 << 40)
        assert front._evict_connection() is (min_age_us is not None)
        assert served.closing is (min_age_us is not None)


@on_loop
async def test_a_connection_with_an_unread_request_is_not_evicted(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        front.request_timeout_us = front.request_eviction_age_us = 0
        client = await rig.client()
        await client.command("PING")
        (served,) = front.streams
        front.set_state(served, ConnectionState.RECEIVING)
        served._reader.feed_data(resp("PING"))
        assert not front._evict_connection()
        assert await client.raw(b"") == b"+PONG\r\n"


@on_loop
async def test_a_connection_with_many_commands_does_not_starve_the_others(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        clients = [await rig.client() for _ in range(2)]
        for client in clients:
            await client.command("PING")
        busy, quiet = rig.sender.fronts[0][0].streams
        send_order = list[Stream]()
        for served in (busy, quiet):
            send = served.send

            async def recorded_send(data: bytes, served: Stream = served, send=send) -> None:  # type: ignore[no-untyped-def]
                send_order.append(served)
                await send(data)

            served.send = recorded_send  # type: ignore[method-assign]
        busy._reader.feed_data(resp("PING") * 200)
        quiet._reader.feed_data(resp("PING"))
        await clients[1].raw(b"")
        assert send_order.index(quiet) < 10


@on_loop
async def test_the_answer_to_bad_input_is_delayed_up_to_a_number_of_penalties(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[0][0]._active_penalties = load_shedder.MIN_PENALTY_COUNT
        loop = asyncio.get_running_loop()
        for is_delayed in (False, True):
            began = loop.time()
            assert (await (await rig.client()).command("NO")).startswith(b"-ERR unknown command")
            assert (loop.time() - began >= load_shedder.MIN_PENALTY_US / 1e6) is is_delayed
            rig.sender.fronts[0][0]._active_penalties = 0


@on_loop
async def test_a_message_to_an_unknown_destination_is_refused(tmp_path: Path) -> None:
    """Messages to unknown destinations were held until their deadline and used up the limit.

    A destination whose endpoints were removed recently is known, and its messages are held.
    """
    async with Rig(tmp_path, silent) as rig:
        client = await rig.client()
        assert await client.submit("m1", dest=99) == b"-BUSY 1000\r\n"
        refused = await rig.export(logs(dest="99"))
        assert (refused.status, refused.headers["retry-after"]) == (503, "1")
        assert not rig.sender.exchange.messages
        rig.add_removed_destinations(99)
        assert await client.submit("m2", dest=99) == b"+OK\r\n"
        assert rig.sender.exchange.endpoint_list.knows_destination(99, 0)
        assert not rig.sender.exchange.endpoint_list.knows_destination(99, 1 << 60)


def test_warnings_that_outsiders_cause_are_rate_limited(caplog: pytest.LogCaptureFixture) -> None:
    now = [0.0]
    rate_limited = RateLimitedLog(logging.getLogger("rare"), lambda: now[0])
    for at in (0.0, 1.0, 2.0, WARNING_INTERVAL_S):
        now[0] = at
        rate_limited.warning("refused: %d", int(at))
    assert caplog.messages == ["refused: 0", "refused: 10 (2 similar lines suppressed)"]


@on_loop
async def test_an_answered_connection_is_evicted_before_a_silent_one(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        for _ in range(2):
            await (await rig.client()).command("PING")
        silent_stream, answered = front.streams
        front.streams[silent_stream], front.streams[answered] = (
            (ConnectionState.RECEIVING, 0),
            (ConnectionState.IDLE, 0),
        )
        assert front._evict_connection() and answered.closing and not silent_stream.closing
