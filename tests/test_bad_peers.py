"""Peers that do not keep to their protocol: spoilt answers from instances, and bad clients."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rowanrack.core.messages import Ending
from rowanrack.load import load_shedder
from rowanrack.net import listener as net_listener
from rowanrack.net.http import Reply
from rowanrack.net.listener import State
from rowanrack.net.rare_log import EVERY_S, RareLog
from rowanrack.net.stream import Stream
from rowanspindle import UpdateScope
from tests.rig import Rig, answers, instance, on_loop, resp, silent
from tests.test_otlp import logs

OK_BYTES = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
EARLY = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
PADS = b"X-Pad: pppppppp\r\n" * 2000


class RawInstance:
    """An instance that answers its first call with these bytes, the others well, and closes nothing."""

    def __init__(self, first: bytes) -> None:
        self.first, self.calls, self.connections = first, 0, 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Each body is one byte long."""
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n") and await reader.readexactly(1):
                self.calls += 1
                writer.write(self.first if self.calls == 1 else OK_BYTES)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


@asynccontextmanager
async def raw_instance(rig: Rig, first: bytes) -> AsyncIterator[RawInstance]:
    """The only instance of the rig's destination."""
    raw = RawInstance(first)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.list_instances(UpdateScope.FULL, [instance("raw", port)])
        yield raw


@pytest.mark.parametrize(
    ("first", "ending", "calls"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nab", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 16\r\n\r\nab", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\n" + PADS, Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nX-Pad: p", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n", Ending.DELIVERED, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(1 << 20), Ending.DELIVERED, 1),
        (EARLY + b"HTTP/1.1 102 Processing\r\n\r\n" + OK_BYTES, Ending.DELIVERED, 1),
        (EARLY + b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", Ending.DELIVERED, 1),
        (EARLY * 50 + OK_BYTES, Ending.FAILED, 1),
        (b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n", Ending.FAILED, 1),
        (b"\xff\x00 noise\r\n\r\nHTTP/1.1 200 OK\r\n", Ending.FAILED, 1),
        (b"HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\nab", Ending.FAILED, 1),
        (b"HTTP/1.1 429 No\r\nX-Retry-In-Ms: 9\r\nContent-Le", Ending.FAILED, 1),
        (b"HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n", Ending.FAILED, 1),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\nsurplus", Ending.DELIVERED, 2),
        (b"HTTP/1.1 503 No\r\nX-Pressure: \x01\x00\r\nContent-Length: 0\r\n\r\n", Ending.DELIVERED, 2),
        (b"HTTP/1.1 429 No\r\nX-Retry-In-Ms: \xb2\r\nContent-Length: 0\r\n\r\n", Ending.DELIVERED, 2),
    ],
)
@on_loop
async def test_a_spoilt_answer_may_have_run_unless_it_says_200(
    tmp_path: Path, first: bytes, ending: Ending, calls: int
) -> None:
    """Before, a spoilt refusal counted as never run, and an order went out twice."""
    async with Rig(tmp_path) as rig, raw_instance(rig, first) as raw:
        await (await rig.client()).submit("m1", "print-order", d=5000)
        async with asyncio.timeout(3):  # long before the message's time is up
            assert (await rig.ended("m1")).ending is ending
        assert raw.calls == calls


@pytest.mark.parametrize("surplus", [OK_BYTES, b"\xffnoise", b"\r\n"])
@on_loop
async def test_what_comes_behind_an_answer_is_not_the_next_one(tmp_path: Path, surplus: bytes) -> None:
    """A second copy left in h11's buffer was taken for the next call's answer, and that message was lost."""
    async with Rig(tmp_path) as rig, raw_instance(rig, OK_BYTES + surplus) as raw:
        client = await rig.client()
        for message_id in ("m1", "m2"):
            await client.submit(message_id, "print-order")
            assert (await rig.ended(message_id)).ending is Ending.DELIVERED
        assert (raw.calls, raw.connections) == (2, 2)


@on_loop
async def test_a_good_command_ahead_of_a_bad_one_is_answered(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        client = await rig.client()
        await client.stream.send(resp("PING") + b"*x\r\n")
        while await client.stream.fill():
            pass
        assert client.stream.inward.read(99).startswith(b"+PONG\r\n-ERR Protocol error")


@on_loop
async def test_the_error_line_arrives_however_much_is_unread(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        client = await rig.client()
        sending = asyncio.create_task(client.stream.send(b"*1\r\n$60000000\r\n" + bytes(4 << 20)))
        while await client.stream.fill():
            pass
        assert client.stream.inward.read(99) == b"-ERR Protocol error: a length is out of range\r\n"
        sending.cancel()


@on_loop
async def test_a_connection_with_bytes_unread_is_not_closed_right_behind_its_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closing would reset it, and a client that still writes would never read the error."""
    monkeypatch.setattr(net_listener, "LINGER_BYTES", 0)
    async with Rig(tmp_path) as rig:
        client = await rig.client()
        await client.stream.send(b"*x\r\n" + bytes(50_000))
        while await client.stream.fill():
            pass
        assert client.stream.inward.read(4) == b"-ERR"
        assert [state for state, _ in rig.sender.fronts[0][0].streams.values()] == [State.LEAVING]


@pytest.mark.parametrize(
    ("front", "half", "said"),
    [
        (0, b"", b""),
        (0, b"*1\r\n$4\r\nPI", b"-ERR Protocol error: the command does not come whole in time\r\n"),
        (1, b"", b""),
        (1, b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab", b"HTTP/1.1 408 "),
    ],
)
@on_loop
async def test_a_request_that_does_not_come_whole_is_not_waited_for(
    tmp_path: Path, front: int, half: bytes, said: bytes
) -> None:
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[front][0].owed_us = 1
        stream = await rig.connect(front)
        if half:
            await stream.send(half)
        while await stream.fill():
            pass
        assert stream.inward.read(len(said) or 1) == said


@on_loop
async def test_silent_connections_do_not_keep_the_usual_clients_out(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[0][0].most = 4
        for _ in range(12):
            await rig.client()
        asking = [asyncio.create_task((await rig.client()).command("PING")) for _ in range(4)]
        async with asyncio.timeout(1.5):  # silence alone ends none of them for 2 s
            assert await asyncio.gather(*asking) == [b"+PONG\r\n"] * 4


@pytest.mark.parametrize(("said", "keeps"), [(resp("PING"), True), (b"*1\r\n$4", False)])
@on_loop
async def test_clients_that_keep_an_idle_or_half_used_connection_keep_nobody_out(
    tmp_path: Path, said: bytes, keeps: bool
) -> None:
    """On a recorded day 215 connections, each used once and under 2 s ago, kept half of all clients out."""
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[0][0].most = 4
        for _ in range(8):
            client = await rig.client()
            await client.stream.send(said)
            if keeps:
                await client.raw(b"")
        asking = [asyncio.create_task((await rig.client()).command("PING")) for _ in range(4)]
        async with asyncio.timeout(1.5):
            assert await asyncio.gather(*asking) == [b"+PONG\r\n"] * 4


@pytest.mark.parametrize(("most", "closed"), [(4, True), (100, False)])
@on_loop
async def test_idle_connections_are_closed_ahead_of_need_only_in_a_crowd(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, most: int, closed: bool
) -> None:
    """Clients that may hold only so many connections kept them idle, and had none left to ask on."""
    monkeypatch.setattr(net_listener, "LOOK_US", 5000)
    monkeypatch.setattr(net_listener, "KEPT_US", 0)
    async with Rig(tmp_path) as rig:
        clients = [await rig.client() for _ in range(2)]
        for client in clients:
            await client.command("PING")
        rig.sender.fronts[0][0].most = most
        ends = [asyncio.create_task(client.stream.fill()) for client in clients]
        done, _ = await asyncio.wait(ends, timeout=1.5 if closed else 0.1)
        assert len(done) == (2 if closed else 0)


@pytest.mark.parametrize(
    ("state", "least_us"),
    [
        (State.OWING, net_listener.SPARED_US),
        (State.IDLE, net_listener.KEPT_US),
        (State.LEAVING, 0),
        (State.BUSY, None),
    ],
)
@on_loop
async def test_only_connections_that_nobody_misses_make_room(
    tmp_path: Path, state: State, least_us: int | None
) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        await (await rig.client()).command("PING")
        (served,) = front.streams
        now = front._now()
        if least_us:
            front.streams[served] = state, now - least_us + 100_000
            assert not front._make_room()
        front.streams[served] = state, now - (least_us if least_us is not None else 1 << 40)
        assert front._make_room() is (least_us is not None)
        assert served.closing is (least_us is not None)


@on_loop
async def test_a_request_that_is_not_read_yet_keeps_its_connection(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        front.owed_us = front.spared_us = 0
        client = await rig.client()
        await client.command("PING")
        (served,) = front.streams
        front.mark(served, State.OWING)
        served._reader.feed_data(resp("PING"))
        assert not front._make_room()
        assert await client.raw(b"") == b"+PONG\r\n"


@on_loop
async def test_a_loud_connection_leaves_the_others_their_turn(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        clients = [await rig.client() for _ in range(2)]
        for client in clients:
            await client.command("PING")
        loud, quiet = rig.sender.fronts[0][0].streams
        turns = list[Stream]()
        for served in (loud, quiet):
            send = served.send

            async def noted(data: bytes, served: Stream = served, send=send) -> None:  # type: ignore[no-untyped-def]
                turns.append(served)
                await send(data)

            served.send = noted  # type: ignore[method-assign]
        loud._reader.feed_data(resp("PING") * 200)
        quiet._reader.feed_data(resp("PING"))
        await clients[1].raw(b"")
        assert turns.index(quiet) < 10


@on_loop
async def test_bad_input_is_answered_late_but_only_so_often(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        rig.sender.fronts[0][0]._penalties = load_shedder.MIN_PENALTY_COUNT
        loop = asyncio.get_running_loop()
        for held_up in (False, True):
            began = loop.time()
            assert (await (await rig.client()).command("NO")).startswith(b"-ERR unknown command")
            assert (loop.time() - began >= load_shedder.MIN_PENALTY_US / 1e6) is held_up
            rig.sender.fronts[0][0]._penalties = 0


@on_loop
async def test_a_destination_that_nobody_knows_is_not_taken_on(tmp_path: Path) -> None:
    """It filled the hold until its time was up. One whose instances have just gone is real, and is held."""
    async with Rig(tmp_path, silent) as rig:
        client = await rig.client()
        assert await client.submit("m1", dest=99) == b"-BUSY 1000\r\n"
        refused = await rig.export(logs(dest="99"))
        assert (refused.status, refused.headers["retry-after"]) == (503, "1")
        assert not rig.sender.exchange.messages
        rig.once_listed(99)
        assert await client.submit("m2", dest=99) == b"+OK\r\n"
        assert rig.sender.exchange.table.knows_destination(99, 0)
        assert not rig.sender.exchange.table.knows_destination(99, 1 << 60)


def test_lines_that_outsiders_cause_are_rare(caplog: pytest.LogCaptureFixture) -> None:
    now = [0.0]
    rare = RareLog(logging.getLogger("rare"), lambda: now[0])
    for at in (0.0, 1.0, 2.0, EVERY_S):
        now[0] = at
        rare.warning("refused: %d", int(at))
    assert caplog.messages == ["refused: 0", "refused: 10 (2 more like it before)"]


@on_loop
async def test_an_answered_connection_makes_room_before_one_that_has_not_spoken(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        front = rig.sender.fronts[0][0]
        for _ in range(2):
            await (await rig.client()).command("PING")
        silent_one, answered = front.streams
        front.streams[silent_one], front.streams[answered] = (State.OWING, 0), (State.IDLE, 0)
        assert front._make_room() and answered.closing and not silent_one.closing
