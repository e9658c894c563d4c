"""Crowds of clients against real senders with a memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from rowanrack.lab.stand_in import Client
from rowanrack.net.http import Reply
from tests.rig import SETTINGS, Process, Rig, answers, on_loop, resp

MEMORY_MB = 32  # the least that the pages name
SMALL_MACHINE = {"memory_mb": MEMORY_MB, "sockets": 1024, "disk_mb": 3}
CROWD_SIZE = 800  # connections that are attempted at once
CROWD_S = 2.0
PIECE_BYTES = 1024
PIECE_INTERVAL_S = 0.05

SUBMIT_HEAD = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$16\r\n%016d\r\n$28\r\nc=album-update,d=8000,dest=7\r\n"
LARGE_BODY = b"$65000\r\n" + b"x" * 60_000  # incomplete
SHORT_FIELDS = b"".join(b"%x:\r\n" % number for number in range(2_200))


def nothing(_number: int) -> bytes:
    return b""


def half_of_a_large_request(number: int) -> bytes:
    return SUBMIT_HEAD % number + LARGE_BODY


def large_request_with_an_error(number: int) -> bytes:
    return resp("SUBMIT", "0", f"e{number}", "c=unknown,d=8000,dest=7", b"x" * 60_000)


def large_request_before_a_rest(number: int) -> bytes:
    return resp("SUBMIT", "0", f"r{number}", "c=album-update,d=8000,dest=99", b"x" * 60_000)


def oversized_value(_number: int) -> bytes:
    return b"*5\r\n$60000000\r\n" + b"x" * 600_000


def many_commands(number: int) -> bytes:
    return resp("PING") * 20_000


def head_of_many_short_fields(_number: int) -> bytes:
    return (
        b"POST /_endpoints/detach HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n" + SHORT_FIELDS + b"\r\n"
    )


@contextlib.asynccontextmanager
async def crowd(
    port: int, request: Callable[[int], bytes], piece_bytes: int = 1 << 20
) -> AsyncIterator[None]:
    """Connect many clients at once, which send their input and read nothing; all leave at the end."""
    loop = asyncio.get_running_loop()

    async def run(number: int) -> None:
        with socket.socket() as client:
            client.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.sock_connect(client, ("127.0.0.1", port))
                data = request(number)
                for begin in range(0, len(data), piece_bytes):
                    await loop.sock_sendall(client, data[begin : begin + piece_bytes])
                    if piece_bytes < len(data):
                        await asyncio.sleep(PIECE_INTERVAL_S)
            await asyncio.Event().wait()

    clients = [asyncio.create_task(run(number)) for number in range(CROWD_SIZE)]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.wait(clients)


class PatientClient:
    """A client that submits again on a new connection when one ends, also while the process is down."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._client: Client | None = None

    async def submit(self, message_id: str) -> None:
        """Submit a message until it is accepted."""
        answer = b""
        while answer != b"+OK\r\n":
            try:
                self._client = self._client or await self._process.client()
                answer = await self._client.submit(message_id)
            except OSError:
                answer = b""
            if not answer:
                self._client = None
                await asyncio.sleep(PIECE_INTERVAL_S)


@on_loop
async def test_crowds_of_slow_or_stalled_clients_keep_a_process_under_its_memory_limit(
    tmp_path: Path,
) -> None:
    (tmp_path / "rig").mkdir()
    async with (
        Rig(tmp_path / "rig", answers(Reply(200, {}))) as rig,
        Process(rig, tmp_path, SMALL_MACHINE, mgmt=True) as process,
    ):
        client, peaks = PatientClient(process), {"start": process.peak_memory_bytes()}
        crowds: list[tuple[int, Callable[[int], bytes], int]] = [
            (process.port, nothing, 1 << 20),
            (process.port, half_of_a_large_request, 1 << 20),
            (process.port, half_of_a_large_request, PIECE_BYTES),
            (process.port, oversized_value, 1 << 20),
            (process.port, large_request_with_an_error, 1 << 20),
            (process.port, large_request_before_a_rest, 1 << 20),
            (process.port, many_commands, 1 << 20),
            (process.mgmt_port, head_of_many_short_fields, 1 << 20),
        ]
        submitted = 0
        for port, request, piece_bytes in crowds:
            async with crowd(port, request, piece_bytes):
                for _ in range(int(CROWD_S / PIECE_INTERVAL_S)):
                    submitted += 1
                    await client.submit(f"m{submitted:015d}")
                    await asyncio.sleep(PIECE_INTERVAL_S)
            peaks[f"{request.__name__}, pieces of {piece_bytes}"] = process.peak_memory_bytes()
        assert max(peaks.values()) <= MEMORY_MB * 1_000_000, peaks
        await rig.servers[0].wait_for_requests(submitted)
        assert process.child.returncode is None


@on_loop
async def test_a_sender_does_not_load_openssl(tmp_path: Path) -> None:
    (tmp_path / "rig").mkdir()
    async with Rig(tmp_path / "rig") as rig, Process(rig, tmp_path) as process:
        mapped_files = Path(f"/proc/{process.child.pid}/maps").read_text()
        assert not {name for name in ("libssl", "libcrypto", "_hashlib") if name in mapped_files}


@on_loop
async def test_ever_new_ids_keep_a_process_under_its_memory_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The ids of a flood were remembered up to the limit of the journal's file, whatever memory there was."""
    (tmp_path / "rig").mkdir()
    ids = 14_000
    monkeypatch.setitem(SETTINGS, "extra", SETTINGS["extra"] | {"slots": 60})
    monkeypatch.setitem(SETTINGS, "limits", SETTINGS["limits"] | {"most_held": 325})
    async with (
        Rig(tmp_path / "rig", answers(Reply(200, {}))) as rig,
        Process(rig, tmp_path, SMALL_MACHINE) as process,
    ):
        client = await process.client()
        commands = [
            SUBMIT_HEAD.replace(b"d=8000", b"d=9999") % number + b"$1\r\nx\r\n" for number in range(ids)
        ]
        sending = asyncio.create_task(client.stream.send(b"".join(commands)))
        answered = 0
        while answered < ids:
            assert await client.stream.fill()
            answered += client.stream.receive_buffer.read(1 << 16).count(b"\n")
        await sending
        assert process.peak_memory_bytes() <= MEMORY_MB * 1_000_000


@pytest.mark.parametrize("sockets", [256, 1024])
@on_loop
async def test_crowds_at_all_ports_keep_a_process_under_its_descriptor_limit(
    tmp_path: Path, sockets: int
) -> None:
    """Connections of operators were not counted."""
    (tmp_path / "rig").mkdir()
    async with (
        Rig(tmp_path / "rig", answers(Reply(200, {}))) as rig,
        Process(rig, tmp_path, {"memory_mb": 192, "sockets": sockets}, mgmt=True) as process,
    ):
        client, most = PatientClient(process), 0
        async with crowd(process.port, nothing), crowd(process.port, nothing):
            await client.submit("before")
            async with crowd(process.mgmt_port, nothing):
                for number in range(int(CROWD_S / PIECE_INTERVAL_S)):
                    await client.submit(f"m{number}")
                    most = max(most, len(os.listdir(f"/proc/{process.child.pid}/fd")))
                    await asyncio.sleep(PIECE_INTERVAL_S)
        assert most <= sockets
