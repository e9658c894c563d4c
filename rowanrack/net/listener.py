"""A listening port and its connections: what the fronts' servers have in common."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod

from rowanrack.net.stream import CHUNK, Stream

log = logging.getLogger(__name__)


class Listener(ABC):
    """Serves each connection until it ends; a failure ends only its own connection."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.streams: dict[Stream, bool] = {}  # each with whether it is between requests
        self.draining = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @abstractmethod
    async def talk(self, stream: Stream) -> None:
        """Serve one connection, and keep `streams` up to date; return to close it."""

    async def listen(self, host: str, port: int) -> None:
        """Open the port."""
        self._server = await asyncio.start_server(self._accept, host, port, limit=CHUNK, backlog=512)

    @property
    def port(self) -> int:
        """The port that is open; it was chosen by the system if 0 was asked for."""
        return int(self._server.sockets[0].getsockname()[1]) if self._server is not None else 0

    def drain(self) -> None:
        """Take no more connections, and close each as soon as it is between requests."""
        self.draining = True
        if self._server is not None:
            self._server.close()
        for stream, between in list(self.streams.items()):
            if between:
                stream.close_soon()

    def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A task of our own: asyncio reports the cancelling of its own ones as errors.
        task = asyncio.create_task(self._serve(Stream(reader, writer)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, stream: Stream) -> None:
        if len(self.streams) >= self.most:
            # Guards the limit on descriptors: the calls to instances need theirs.
            log.warning("%d clients are connected, one more is turned away", self.most)
            stream.abort()
            return
        self.streams[stream] = True
        try:
            await self.talk(stream)
        except (OSError, TimeoutError) as gone:
            log.debug("a client went away: %s", gone)
        except Exception:
            log.exception("a client's connection failed")
        finally:
            self.streams.pop(stream, None)
            stream.close_soon()
