"""Clients that close their connection while requests of theirs are unread."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from rowanrack.core.metrics import ClientCloseReason
from rowanrack.net.http import Reply
from rowanrack.net.stream import PeerState, Stream, stream_protocol
from tests.rig import Rig, answers, on_loop, resp
from tests.test_closing import SocketClient
from tests.test_otlp import logs

COMMAND_COUNT = 150
RESET_ON_CLOSE = (1).to_bytes(4, "little") + bytes(4)  # for SO_LINGER


def commands() -> bytes:
    body = b"x" * 300  # more than a reader holds in all
    return b"".join(
        resp("SUBMIT", "0", f"m{number}", "c=album-update,t=a,d=3000,dest=7", body)
        for number in range(COMMAND_COUNT)
    )


def exports() -> bytes:
    body = logs(dest="7")
    head = b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\n"
    return b"".join(
        head + b"X-Id: m%d\r\nContent-Length: %d\r\n\r\n" % (number, len(body)) + body
        for number in range(COMMAND_COUNT)
    )


@pytest.mark.parametrize(("number", "requests"), [(0, commands()), (1, exports())])
@pytest.mark.parametrize("reset", [False, True])
@on_loop
async def test_unread_requests_of_a_client_that_has_closed_are_not_sent(
    tmp_path: Path, number: int, requests: bytes, reset: bool
) -> None:
    """At most the first one is: only its answer shows that the client does not read any more."""
    async with Rig(tmp_path, answers(Reply(200, {})), most_held=COMMAND_COUNT) as rig:
        front = rig.sender.fronts[number][0]
        client = SocketClient(front, requests)
        if reset:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.sock.close()
        while not front.streams:
            await asyncio.sleep(0)
        while front.streams:
            await asyncio.sleep(0)
        taken = len(rig.sender.journal.owed) + len(rig.sender.journal.ends)
        assert taken <= (0 if reset else 1)
        assert rig.sender.exchange.metrics.closed_clients[ClientCloseReason.LEFT] <= 1


@on_loop
async def test_the_other_side_is_known_to_have_left_behind_unread_input() -> None:
    loop, accepted = asyncio.get_running_loop(), asyncio.Queue[Stream]()
    server = await loop.create_server(lambda: stream_protocol(accepted.put_nowait), "127.0.0.1", 0)
    async with server:
        client = socket.create_connection(server.sockets[0].getsockname())
        client.sendall(bytes(50_000))
        stream = await accepted.get()
        states = [stream.peer_state]
        client.shutdown(socket.SHUT_WR)
        states.append(stream.peer_state)
        stream.send_now(b"answer")
        assert client.recv(6) == b"answer" and not stream.unacknowledged_bytes
        states.append(stream.peer_state)
        client.close()
        stream.send_now(b"answer")
        states.append(stream.peer_state)
        assert states == [
            PeerState.OPEN,
            PeerState.FINISHED_SENDING,
            PeerState.FINISHED_SENDING,
            PeerState.GONE,
        ]
        stream.abort()
