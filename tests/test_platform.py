"""The platform front: each rule of its protocol, tested on real sockets."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace
from pathlib import Path

import pytest

from rowanrack.core.messages import Ending
from rowanrack.net.http import Call, CallBrokenError, CallNotSentError, HttpClientConnection, Reply, Request
from rowanrack.net.stream import Stream
from rowanspindle import Result, UpdateScope
from tests.rig import Process, Rig, after, answers, discovery_entry, make_endpoint, on_loop, resp, silent

OK = Reply(200, {})


@on_loop
async def test_message_is_delivered_unchanged(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        client, body = await rig.client(), bytes(range(256)) * 200
        assert await client.command("PING") == b"+PONG\r\n"
        assert await client.submit("m1", body=body, d=2000) == b"+OK\r\n"
        (call,) = await rig.servers[0].wait_for_requests(1)
        assert (call.method, call.target, call.body) == ("POST", "/inbox", body)
        assert call.headers["x-txn"] == "m1"
        assert 0 < int(call.headers["x-remaining"].removesuffix("m")) <= 2000


@on_loop
async def test_connection_is_reused_for_successive_calls(tmp_path: Path) -> None:
    """Guards against reuse of a connection whose idle watch still runs, which broke every second call."""
    async with Rig(tmp_path, answers(OK)) as rig:
        client = await rig.client()
        for n in range(1, 5):
            await client.submit(f"m{n}")
            await rig.wait_for_end(f"m{n}")
        assert rig.servers[0].connections == 1


@on_loop
async def test_idle_connections_over_the_limit_are_closed(tmp_path: Path) -> None:
    async with Rig(tmp_path, *(answers(OK) for _ in range(4))) as rig:
        rig.sender.pool.idle.max_count = 2
        rig.sender.exchange.update_endpoints(
            UpdateScope.FULL, [replace(i, dest=n) for n, i in enumerate(rig.known_endpoints)]
        )
        client = await rig.client()
        for n in range(4):
            await client.submit(f"m{n}", dest=n)
            await rig.wait_for_end(f"m{n}")
        assert [bool(rig.sender.pool.idle.by_endpoint.get(f"i{n}")) for n in range(4)] == [
            False,
            False,
            True,
            True,
        ]


@pytest.mark.parametrize(("read", "accepted"), [(True, 1), (False, 0)])
@on_loop
async def test_request_at_a_drain_is_accepted_only_if_already_received(
    tmp_path: Path, read: bool, accepted: int
) -> None:
    """Guards against a duplicate: a message accepted after the connection was closed, which the client had
    submitted to another sender as well.
    """
    async with Rig(tmp_path, silent) as rig:
        client = await rig.client()
        assert await client.command("PING") == b"+PONG\r\n"
        (server_stream,) = rig.sender.fronts[0][0].streams
        request = resp("SUBMIT", "0", "m1", "c=album-update,t=a,d=3000,dest=7", "x")
        if read:
            server_stream._reader.feed_data(request)  # received, but not yet read by the front
        rig.sender.fronts[0][0].drain()
        if not read:
            server_stream._reader.feed_data(request)
        assert await client.raw(b"") == b"+OK\r\n" * accepted
        assert not await client.stream.fill()
        assert len(rig.sender.journal.owed) == accepted


@on_loop
async def test_retry_after_wait_applies_to_the_whole_destination(tmp_path: Path) -> None:
    refuse_then_accept = answers(Reply(429, {"X-Retry-In-Ms": "400"}), OK)
    async with Rig(tmp_path, refuse_then_accept, refuse_then_accept) as rig:
        client = await rig.client()
        await client.submit("m1")
        await asyncio.wait(
            [asyncio.ensure_future(s.wait_for_requests(1)) for s in rig.servers],
            return_when="FIRST_COMPLETED",
        )
        refused_at = asyncio.get_running_loop().time()
        await rig.wait_until(lambda: Result.FULL in rig.results)
        await client.submit("m2")
        assert {(await rig.wait_for_end(m)).ending for m in ("m1", "m2")} == {Ending.DELIVERED}
        times = sorted(t for s in rig.servers for t in s.times)
        assert len(times) == 3 and times[1] - refused_at >= 0.4


@pytest.mark.parametrize(("cls", "calls", "given_up"), [("print-order", 1, True), ("album-update", 2, False)])
@on_loop
async def test_attempt_that_may_have_run_is_retried_only_if_safe(
    tmp_path: Path, cls: str, calls: int, given_up: bool
) -> None:
    async with Rig(tmp_path, answers(None, OK)) as rig:
        await (await rig.client()).submit("m1", cls)
        if given_up:
            assert (await rig.platform.wait_for_notice("m1"))["outcome"] == "given_up"
        assert len(await rig.servers[0].wait_for_requests(calls)) == calls


@pytest.mark.parametrize(("reads", "error"), [(False, CallNotSentError), (True, CallBrokenError)])
@on_loop
async def test_broken_call_may_have_run_only_if_it_was_written_completely(
    reads: bool, error: type[Exception]
) -> None:
    """The body exceeds the socket buffers, so the call is half written if the endpoint reads nothing."""
    body = bytes(8 << 20)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if reads:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(body))
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        stream = await Stream.connect("127.0.0.1", server.sockets[0].getsockname()[1])
        with pytest.raises(error):
            await HttpClientConnection(stream, "instance", 4096, after).call(Call("POST", "/inbox", (), body))
        stream.abort()


@pytest.mark.parametrize(
    "rest_of_head",
    [b"Content-Length: 5\r\n\r\nab", b"Transfer-Encoding: chunked\r\n\r\n9\r\nab", b"\r\n", b"\r\nab"],
)
@on_loop
async def test_status_line_decides_the_outcome_even_if_the_rest_is_missing(
    tmp_path: Path, rest_of_head: bytes
) -> None:
    """Guards against waiting for a body that never comes, after which a delivered message timed out."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + rest_of_head)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server, Rig(tmp_path) as rig:
        port = server.sockets[0].getsockname()[1]
        rig.sender.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("i0", port)])
        await (await rig.client()).submit("m1", "print-order", d=2000)
        assert (await rig.wait_for_end("m1")).ending is Ending.DELIVERED


@on_loop
async def test_refused_connection_is_retried_even_if_retries_are_unsafe(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        port = rig.servers[0].port
        await rig.servers[0].__aexit__()
        await (await rig.client()).submit("m1", "print-order")
        await rig.wait_until(lambda: Result.CONNECT_FAILED in rig.results)
        rig.servers[0].port = port
        await rig.servers[0].__aenter__()
        (call,) = await rig.servers[0].wait_for_requests(1)
        assert call.headers["x-txn"] == "m1" and not rig.platform.notices


@on_loop
async def test_giving_up_a_call_closes_its_connection(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        await (await rig.client()).submit("m1", "print-order", d=300)
        await rig.servers[0].closed.wait()
        assert (await rig.platform.wait_for_notice("m1"))["outcome"] == "given_up"


@on_loop
async def test_notices_are_resent_until_confirmed(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(None)) as rig:
        rig.platform.notice_statuses = [503, 400, 204]
        await (await rig.client()).submit("m1", "print-order")
        assert await rig.platform.wait_for_notice("m1") == {"message": "m1", "outcome": "given_up"}


@pytest.mark.parametrize("silent_connections", [1, 2])
@on_loop
async def test_unconfirmed_notice_is_resent_on_another_connection(
    tmp_path: Path, silent_connections: int
) -> None:
    """Guards against a resend 440 ms later, once the connection timed out: a notice 300 ms late is lost."""
    async with Rig(tmp_path, answers(None)) as rig:
        serve, unanswered = rig.platform.behave, list[Request]()

        async def behave(request: Request) -> Reply | None:
            if request.target == "/v1/outcomes" and len(unanswered) < silent_connections:
                unanswered.append(request)
                return await silent(request)
            return await serve(request)

        rig.platform.behave = behave
        await (await rig.client()).submit("m1", "print-order")
        await rig.platform.wait_for_notice("m1")
        assert len(unanswered) == silent_connections and not rig.platform.closed.is_set()
        notices = rig.sender.notices
        assert notices is not None
        while notices.pending:
            await asyncio.sleep(0)
        assert not notices._unsent  # a confirmation counts on any connection
        await rig.platform.closed.wait()  # the silent connection is closed nevertheless


@on_loop
async def test_sender_at_its_limit_answers_busy(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent, most_held=1) as rig:
        client = await rig.client()
        assert await client.submit("m1") == b"+OK\r\n"
        assert await client.submit("m2") == b"-BUSY 1000\r\n"
        assert "m2" not in rig.sender.journal.owed


@on_loop
async def test_message_without_an_endpoint_is_handed_back(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        rig.add_removed_destinations(99)
        await (await rig.client()).submit("m1", d=200, dest=99)
        notice = await rig.platform.wait_for_notice("m1")
        assert notice["outcome"] == "handed_back" and notice["retry_in_ms"] >= 1000


@on_loop
async def test_next_watch_follows_at_once_and_draining_endpoints_get_no_calls(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK), answers(OK)) as rig:
        await rig.platform.wait_for_requests(1)
        answered = asyncio.get_running_loop().time()
        rig.platform.change(discovery_entry("i0", rig.servers[0].port, health="DRAINING"))
        watches = await rig.platform.wait_for_requests(2)
        assert rig.platform.times[1] - answered < 0.2
        assert watches[1].target.startswith("/v1/servers?index=2&wait=")
        client = await rig.client()
        for n in range(4):
            await client.submit(f"m{n}")
        await rig.servers[1].wait_for_requests(4)
        assert not rig.servers[0].requests


@pytest.mark.parametrize(
    ("broken_answers", "call_count", "list_lost"),
    [([None], 2, False), ([None, None], 3, True), ([Reply(503, {})], 2, True)],
)
@on_loop
async def test_broken_watch_is_repeated_at_once_and_lost_after_two_failures_or_503(
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
    broken_answers: list[Reply | None],
    call_count: int,
    list_lost: bool,
) -> None:
    caplog.set_level("INFO")
    rig = Rig(tmp_path, answers(OK))
    rig.platform.broken_replies = list(broken_answers)
    async with rig:
        await rig.platform.wait_for_requests(call_count)
        at_once = rig.platform.times[1] - rig.platform.times[0] < 0.2
        assert at_once is (broken_answers[0] is None)
        assert ("list of endpoints lost" in caplog.text) is list_lost


@on_loop
async def test_unfinished_messages_survive_a_restart(tmp_path: Path) -> None:
    """A call in progress at a restart may have run: a print order is given up, an album update is retried."""
    async with Rig(tmp_path, silent) as rig:
        client = await rig.client()
        for cls in ("print-order", "album-update"):
            await client.submit(cls, cls)
        await rig.servers[0].wait_for_requests(2)
        rig.sender.close()
        rig.servers[0].behave = answers(OK)
        await rig.start()
        assert (await rig.platform.wait_for_notice("print-order"))["outcome"] == "given_up"
        calls = await rig.servers[0].wait_for_requests(3)
        assert [c.headers["x-txn"] for c in calls[2:]] == ["album-update"]


@on_loop
async def test_attempt_limit_counts_attempts_before_a_restart(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent, try_limit=2) as rig:
        await (await rig.client()).submit("m1")
        for calls in (1, 2):
            await rig.servers[0].wait_for_requests(calls)
            rig.sender.close()
            await rig.start()
        assert await rig.platform.wait_for_notice("m1")
        assert len(rig.servers[0].requests) == 2


@on_loop
async def test_unconfirmed_notice_is_sent_after_a_restart(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(None)) as rig:
        rig.platform.notice_statuses = [503]
        await (await rig.client()).submit("m1", "print-order")
        await rig.wait_for_end("m1")
        rig.sender.close()
        rig.platform.notice_statuses = [204]
        await rig.start()
        assert (await rig.platform.wait_for_notice("m1"))["outcome"] == "given_up"


@on_loop
async def test_after_sigkill_every_message_ends_once_and_no_print_order_is_retried(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig, Process(rig, tmp_path) as process:
        client = await process.client()
        ids = [f"{cls}{n}" for n in range(6) for cls in ("print-order", "album-update")]
        for n, message_id in enumerate(ids):
            assert await client.submit(message_id, message_id[:-1], d=20_000) == b"+OK\r\n"
            await rig.servers[0].wait_for_requests(min(n + 1, 2))
        begun_ids = {r.headers["x-txn"] for r in await rig.servers[0].wait_for_requests(4)}
        process.child.kill()
        await process.child.wait()
        begun_ids |= {r.headers["x-txn"] for r in rig.servers[0].requests}
        before = len(rig.servers[0].requests)
        rig.servers[0].behave = answers(OK)
        await process.start()
        failed = {i for i in begun_ids if i.startswith("print-order")}
        retried_count = len(ids) - len(failed)
        after = [
            r.headers["x-txn"]
            for r in (await rig.servers[0].wait_for_requests(before + retried_count))[before:]
        ]
        assert sorted(after) == sorted(set(ids) - failed)
        assert {(await process.platform.wait_for_notice(i))["outcome"] for i in failed} == {"given_up"}
        assert set(process.platform.notices) == failed


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", b"-ERR Protocol error: expected '*'"),
        (b"*1\r\n$5\r\nHELLO\r\n", b"-ERR unknown command 'HELLO'"),
        (b"*1\r\n$6\r\nSUBMIT\r\n", b"-ERR SUBMIT takes"),
        (b"*1\r\n$99999999\r\n", b"-ERR Protocol error: a length is out of range"),
    ],
)
@on_loop
async def test_invalid_command_closes_only_its_connection(tmp_path: Path, data: bytes, text: bytes) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        bad, good = await rig.client(), await rig.client()
        assert (await bad.raw(data)).startswith(text)
        assert not await bad.stream.fill()
        assert await good.command("PING") == b"+PONG\r\n"


@on_loop
async def test_after_sigterm_clients_are_served_until_messages_end_then_the_process_exits(
    tmp_path: Path,
) -> None:
    release = asyncio.Event()

    async def answer_when_released(_request: object) -> Reply:
        await release.wait()
        return OK

    async with Rig(tmp_path, answer_when_released) as rig, Process(rig, tmp_path) as process:
        assert await (await process.client()).submit("m1") == b"+OK\r\n"
        await rig.servers[0].wait_for_requests(1)
        process.child.send_signal(signal.SIGTERM)
        await process.wait_for_log("stopping")
        assert await (await process.client()).submit("m2") == b"+OK\r\n"
        release.set()
        await process.wait_for_log("stopped: 0 messages stay owed")
        assert await process.child.wait() == 0
        assert {r.headers["x-txn"] for r in rig.servers[0].requests} == {"m1", "m2"}


@on_loop
async def test_after_sigterm_the_process_exits_in_time_despite_open_calls(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig, Process(rig, tmp_path) as process:
        await (await process.client()).submit("m1", "print-order", d=20_000)
        await rig.servers[0].wait_for_requests(1)
        process.child.send_signal(signal.SIGTERM)
        async with asyncio.timeout(3.7):
            await process.wait_for_log("stopped: 1 messages stay owed")
            assert await process.child.wait() == 0
