"""The running sender's end of the console's socket: a snapshot as a JSON line, twice a second."""

from __future__ import annotations

import json
import os
import socket
import stat
from contextlib import suppress
from pathlib import Path

from rowanrack.console.snapshot import snapshot
from rowanrack.core.exchange import Exchange
from rowanrack.net.listener import Listener, State
from rowanrack.net.stream import Stream
from rowanrack.net.timing import pause

EVERY_US = 500_000
VIEWERS_MOST = 4


class ConsoleServer(Listener):
    """Shows the sender to whoever may open the socket's file; it takes no input."""

    def __init__(self, name: str, exchange: Exchange) -> None:
        super().__init__(VIEWERS_MOST, exchange)
        self.name = name

    async def listen_at(self, path: Path) -> None:
        """Open the socket, for the sender's own user only. What a killed sender left there is replaced."""
        with suppress(FileNotFoundError):
            if stat.S_ISSOCK(path.lstat().st_mode):
                path.unlink()
        mask = os.umask(0o177)
        try:
            opened = socket.socket(socket.AF_UNIX)
            try:
                opened.bind(str(path))
            except OSError:
                opened.close()
                raise
            self.serve_on(opened)
        finally:
            os.umask(mask)

    async def talk(self, stream: Stream) -> None:
        """One line after the other, until the viewer leaves."""
        self.mark(stream, State.BUSY)
        while True:
            await stream.send(json.dumps(snapshot(self.name, self.exchange)).encode() + b"\n")
            await pause(self.exchange.after, EVERY_US)
