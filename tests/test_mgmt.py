"""Operators' calls, metrics, detach and attach, lame duck, and the journal slots of a hot restart."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import json
import os
import signal
import threading
from dataclasses import replace
from pathlib import Path

import pytest

from rowanrack.core.messages import End, Ending, Message
from rowanrack.core.metrics import ClientCloseReason, HeldAnswerEnd, HeldBackReason, Metrics
from rowanrack.fronts.mgmt.calls import answer_locally, answer_with_channels
from rowanrack.net.http import Request
from rowanrack.store.bans import DetachedEndpointFile
from rowanrack.store.journal import Journal
from rowanrack.store.journal_records import JournalError
from rowanspindle import EndpointStatus, UpdateScope
from tests.rig import Process, Rig, answers, on_loop, silent
from tests.test_platform import OK


class FakeOperations:
    """Fake operations that record what the calls requested."""

    def __init__(self) -> None:
        self.is_ready, self.known, self.detached, self.lame_duck = True, {"s-1"}, set[str](), False

    def unready_reason(self) -> str:
        return "" if self.is_ready else "lame duck"

    def channel_log(self) -> None:
        return None

    def metrics_text(self) -> str:
        return "svc_outstanding 0\n"

    def detach(self, name: str) -> bool:
        self.detached.add(name)
        return name in self.known

    def attach(self, name: str) -> bool:
        was_detached = name in self.detached
        self.detached.discard(name)
        return was_detached

    def set_lame_duck(self, on: bool) -> None:
        self.lame_duck = on


@pytest.mark.parametrize(
    ("method", "target", "body", "status"),
    [
        ("GET", "/_ready", b"", 200),
        ("POST", "/_ready", b"", 405),
        ("GET", "/_vars", b"", 200),
        ("GET", "/_nothing", b"", 404),
        ("POST", "/_endpoints/detach", b'{"name":"s-1"}', 200),
        ("POST", "/_endpoints/detach", b'{"name":"s-9"}', 404),
        ("POST", "/_endpoints/detach", b"{", 400),
        ("POST", "/_endpoints/detach", b'{"name":7}', 400),
        ("POST", "/_endpoints/detach", b"[]", 400),
        ("GET", "/_endpoints/detach", b'{"name":"s-1"}', 405),
        ("POST", "/_endpoints/attach", b'{"name":"s-1"}', 404),
        ("POST", "/_lameduck/on", b"", 200),
        ("POST", "/_lameduck/off", b"", 200),
        ("GET", "/_channels/7?at=1", b"", 404),
        ("POST", "/_layout", b"{}", 404),
    ],
)
def test_each_call_is_answered_with_its_status(method: str, target: str, body: bytes, status: int) -> None:
    assert (
        asyncio.run(answer_with_channels(Request(method, target, {}, body), FakeOperations())).status
        == status
    )


def test_ready_call_reports_the_reason_and_lame_duck_calls_are_passed_on() -> None:
    operations = FakeOperations()
    operations.is_ready = False
    reply = answer_locally(Request("GET", "/_ready", {}, b""), operations)
    assert reply.status == 503 and reply.body == b"not ready: lame duck\n"
    answer_locally(Request("POST", "/_lameduck/on", {}, b""), operations)
    assert operations.lame_duck
    answer_locally(Request("POST", "/_lameduck/off", {}, b""), operations)
    assert not operations.lame_duck


def test_metrics_count_by_class_and_include_every_class() -> None:
    figures = Metrics()
    figures.ended("print-order", Ending.DELIVERED)
    figures.ended("print-order", Ending.FAILED)
    figures.ended("print-order", Ending.WITHDRAWN)
    figures.declined("album-update")
    figures.forwarded("print-order")
    figures.waits_told += 1
    figures.held_back_calls[HeldBackReason.RETRY_AFTER_WAIT] += 1
    figures.held_answers[HeldAnswerEnd.CONFIRMED] += 1
    figures.closed_clients[ClientCloseReason.MEMORY] += 1
    text = figures.exposition(["print-order", "album-update"], 4, 30, 2, 1, {"memory_bytes": 28})
    lines = set(text.splitlines())
    assert 'svc_succeeded{service="print-order"} 1' in lines
    assert 'svc_succeeded{service="album-update"} 0' in lines
    assert 'svc_aborted{service="print-order"} 2' in lines
    assert 'svc_declined{service="album-update"} 1' in lines
    assert 'svc_forwards{service="print-order"} 1' in lines
    assert {"svc_outstanding 4", "svc_discovered 30", "svc_ejected 2", "svc_waits 1"} <= lines
    assert {"svc_waits_told 1", 'svc_held_back{reason="wait"} 1', 'svc_held_back{reason="key"} 0'} <= lines
    assert {'svc_held_answers{end="confirmed"} 1', 'svc_held_answers{end="abandoned"} 0'} <= lines
    assert {'svc_closed_clients{reason="memory"} 1', 'svc_closed_clients{reason="idle"} 0'} <= lines
    assert {"# TYPE svc_memory_bytes gauge", "svc_memory_bytes 28"} <= lines


@on_loop
async def test_detached_endpoint_stays_draining_after_a_new_list(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        exchange = rig.sender.exchange
        assert not exchange.detach("nobody")
        assert exchange.detach("i0") and exchange.detach("i0")
        assert exchange.endpoint_list.get("i0").status is EndpointStatus.DRAINING  # type: ignore[union-attr]
        exchange.update_endpoints(UpdateScope.FULL, rig.known_endpoints)
        assert not exchange.endpoint_list.accepts_calls("i0") and exchange.ejected == 1
        assert exchange.attach("i0")  # two detaches, one attach
        assert exchange.endpoint_list.accepts_calls("i0") and exchange.ejected == 0
        assert not exchange.attach("i0")


@on_loop
async def test_detach_survives_a_restart(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        assert rig.sender.detach("i0")
        rig.sender.close()
        await rig.start()
        assert not rig.sender.exchange.endpoint_list.accepts_calls("i0")
        assert rig.sender.attach("i0")
        assert rig.sender.exchange.endpoint_list.accepts_calls("i0")


@on_loop
async def test_detach_that_cannot_be_persisted_takes_effect_is_reported_and_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a detach that was answered with 200 but not persisted, which only the log told."""

    def raise_no_space(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    async with Rig(tmp_path, answers(OK)) as rig:
        detach = Request("POST", "/_endpoints/detach", {}, b'{"name":"i0"}')
        with monkeypatch.context() as full_disk:
            full_disk.setattr(os, "replace", raise_no_space)
            reply = answer_locally(detach, rig.sender)
            assert reply.status == 507 and b"No space left" in reply.body and reply.body.count(b"\n") == 1
            assert not rig.sender.exchange.endpoint_list.accepts_calls("i0")
        while rig.sender.bans.unwritten:
            await asyncio.sleep(0.01)
        assert DetachedEndpointFile(tmp_path).changed() == {"i0"}
        assert answer_locally(detach, rig.sender).status == 200
        assert not [p for p in tmp_path.iterdir() if p.suffix == ".new"]


def test_detached_endpoints_written_by_one_process_are_read_by_the_other(tmp_path: Path) -> None:
    first_file, second_file = DetachedEndpointFile(tmp_path), DetachedEndpointFile(tmp_path)
    assert first_file.changed() == set()
    first_file.write({"s-1", "s-2"})
    assert first_file.changed() is None
    assert second_file.changed() == {"s-1", "s-2"}
    assert second_file.changed() is None


async def send_call(port: int, request: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    try:
        return await asyncio.wait_for(reader.read(), 3)
    finally:
        writer.close()


@on_loop
async def test_calls_are_answered_while_another_connection_stays_incomplete(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        assert rig.sender.mgmt is not None
        port = rig.sender.mgmt.port
        slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", port)
        slow_writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n")  # the request is never completed
        ready = await send_call(port, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert ready.startswith(b"HTTP/1.1 200")
        metrics = await send_call(port, b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b"svc_outstanding 0" in metrics and b"svc_succeeded{service=" in metrics
        body = json.dumps({"name": "i0"}).encode()
        head = f"POST /_endpoints/detach HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        assert (await send_call(port, head.encode() + body)).startswith(b"HTTP/1.1 200")
        assert not rig.sender.exchange.endpoint_list.accepts_calls("i0")
        assert (await send_call(port, b"NOT HTTP AT ALL\r\n\r\n")).startswith(b"HTTP/1.1 400")
        # The incomplete request is answered with 408, and the sender still answers others.
        assert (await asyncio.wait_for(slow_reader.read(), 3)).startswith(b"HTTP/1.1 408")
        assert (await send_call(port, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")).startswith(b"HTTP/1.1 200")
        slow_writer.close()


@on_loop
async def test_in_lame_duck_ping_fails_and_connections_close_between_requests(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        idle_client = await rig.client()
        assert await idle_client.command("PING") == b"+PONG\r\n"
        rig.sender.set_lame_duck(True)
        assert not rig.sender.ready()
        with contextlib.suppress(ConnectionError):  # the idle connection is closed at once
            assert not await idle_client.stream.fill()
        client = await rig.client()
        assert (await client.command("PING")).startswith(b"-")
        with contextlib.suppress(ConnectionError):  # closed after its answer
            assert not await client.stream.fill()
        rig.sender.set_lame_duck(False)
        assert rig.sender.ready()
        assert await (await rig.client()).command("PING") == b"+PONG\r\n"


def message(name: str) -> Message:
    return Message(name, "c", "t", 3, 5_000_000, b"body", "platform", "f")


def test_next_process_takes_over_the_messages_of_the_previous_one(tmp_path: Path) -> None:
    old = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
    old.open()
    new = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
    new.open()
    assert (old.slot, new.slot) == ("messages", "messages.b")
    assert old.other_process_running() and new.other_process_running()
    assert old.take(message("a")) and old.take(message("b"))
    old.end(message("b"), End(Ending.FAILED))
    assert new.take_over() is None  # the old process still holds the lock of its slot
    old.close()
    absorbed = new.take_over()
    assert absorbed is not None and [m.id for m in absorbed] == ["a"]
    assert new.ended("b") == End(Ending.FAILED) and new.ends_taken_over == ["b"]
    assert not (tmp_path / "messages.log").exists()
    new.close()
    reopened = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
    reopened.open()
    assert reopened.slot == "messages" and list(reopened.owed) == []
    assert reopened.take_over() is not None and list(reopened.owed) == ["a"]
    assert replace(reopened.owed["a"], guard_timer=None).id == "a"


@on_loop
async def test_second_process_serves_beside_the_first_and_takes_over(tmp_path: Path) -> None:
    """Guards against a second process that exits at once since the port is in use.

    SO_REUSEPORT and the two journal slots allow both processes to run.
    """
    async with Rig(tmp_path, answers(OK)) as rig, Process(rig, tmp_path) as old:
        new = await old.start_another()
        try:
            assert new.stderr is not None
            while line := await new.stderr.readline():
                if b"serving" in line:
                    break
            assert new.returncode is None
            old.child.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(old.child.wait(), 5) == 0
            assert await (await old.client()).command("PING") == b"+PONG\r\n"
            assert (old.folder / "messages.b.log").exists() or (old.folder / "messages.log").exists()
        finally:
            new.kill()
            await new.wait()


@on_loop
async def test_unfinished_messages_of_the_first_process_are_taken_over_by_the_second(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig, Process(rig, tmp_path) as old:
        client = await old.client()
        assert await client.submit("m1", d=5000) == b"+OK\r\n"
        new = await old.start_another()
        try:
            assert new.stderr is not None
            lines: list[str] = []
            while line := (await new.stderr.readline()).decode():
                lines.append(line)
                if "serving" in line:
                    old.child.send_signal(signal.SIGTERM)
                if "taken over" in line:
                    break
            assert any("journal: 1 messages taken over" in line for line in lines), lines
            assert await asyncio.wait_for(old.child.wait(), 5) == 0
        finally:
            new.kill()
            await new.wait()


def test_start_waits_while_the_other_slot_is_briefly_locked(tmp_path: Path) -> None:
    """Guards against a failed start while the old process, at SIGTERM, briefly locks the other slot."""
    old = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
    old.open()
    lock_descriptor = os.open(tmp_path / "messages.b.lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(lock_descriptor, fcntl.LOCK_EX)
    threading.Timer(0.05, os.close, (lock_descriptor,)).start()
    new = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
    new.open()
    assert new.slot == "messages.b"
    third = Journal(tmp_path, 3_000_000, lambda: 1_000_000)
    with pytest.raises(JournalError, match="two processes"):
        third.open()
