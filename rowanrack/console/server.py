"""The server side of the console: sends a snapshot as a line of JSON twice per second."""

from __future__ import annotations

import json
import os
import socket
import stat
from contextlib import suppress
from pathlib import Path

from rowanrack.console.snapshot import snapshot
from rowanrack.core.exchange import Exchange
from rowanrack.net.listener import ConnectionState, Listener
from rowanrack.net.stream import Stream
from rowanrack.net.timing import pause

SNAPSHOT_INTERVAL_US = 500_000
MAX_VIEWERS = 4


class ConsoleServer(Listener):
    """Sends snapshots to every viewer that may open the socket file. Input is not read."""

    def __init__(self, name: str, exchange: Exchange) -> None:
        super().__init__(MAX_VIEWERS, exchange)
        self.name = name

    async def listen_at(self, path: Path) -> None:
        """Listen on a socket that only the user of the sender may open; a stale socket file is replaced."""
        with suppress(FileNotFoundError):
            if stat.S_ISSOCK(path.lstat().st_mode):
                path.unlink()
        previous_umask = os.umask(0o177)
        try:
            server_socket = socket.socket(socket.AF_UNIX)
            try:
                server_socket.bind(str(path))
            except OSError:
                server_socket.close()
                raise
            self.serve_on(server_socket)
        finally:
            os.umask(previous_umask)

    async def serve_connection(self, stream: Stream) -> None:
        """Send snapshots until the viewer disconnects."""
        self.set_state(stream, ConnectionState.BUSY)
        while True:
            await stream.send(json.dumps(snapshot(self.name, self.exchange)).encode() + b"\n")
            await pause(self.exchange.after, SNAPSHOT_INTERVAL_US)
