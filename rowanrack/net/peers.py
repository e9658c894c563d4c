"""The port on which senders tell each other what they have seen: one UDP socket, and what is kept off it."""

from __future__ import annotations

import logging
import socket
from asyncio import AbstractEventLoop, get_running_loop
from collections.abc import Callable, Sequence

from rowanrack.net.rare_log import RareLog
from rowanspindle.notes import MAX_NOTE_BYTES, Note, NoteError, decode_note, encode_note

log = logging.getLogger(__name__)

Address = tuple[str, int]

READ_MOST = 64  # datagrams read in one turn: a flood waits in the socket, and what does not fit there is lost
EACH_MOST = 40.0  # notes a second from one peer; more are dropped unread


class PeerPort:
    """Notes to all other senders, and from them. What is no note of a known peer is dropped and counted."""

    def __init__(
        self,
        own: Address,
        peers: Sequence[Address],
        all_at: Address,
        heard: Callable[[int, Note], None],
        now_us: Callable[[], int],
    ) -> None:
        self._own, self._all, self._heard, self._now_us = own, all_at, heard, now_us
        self._numbers = {address: number for number, address in enumerate(peers)}
        self._room: dict[int, tuple[float, int]] = {}  # notes that a peer may still send, and as of when
        self._rare = RareLog(log)
        self._socket: socket.socket | None = None
        self._loop: AbstractEventLoop | None = None
        self.dropped = 0

    def open(self) -> None:
        """Take the port. Raises OSError."""
        port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            port.setblocking(False)
            port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)  # at a hot restart two share it
            port.bind(self._own)
        except OSError:
            port.close()
            raise
        self._socket, self._loop = port, get_running_loop()
        self._loop.add_reader(port.fileno(), self._readable)

    def close(self) -> None:
        """Tell and hear no more."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def tell(self, note: Note) -> None:
        """Send a note to all; one that cannot go out is lost, as any may be."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(encode_note(note), self._all)
        except OSError as error:
            self._rare.warning("notes: not sent: %s", error.strerror or error)

    def _readable(self) -> None:
        """Read what has come."""
        for _ in range(READ_MOST):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_NOTE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self._rare.warning("notes: not read: %s", error.strerror or error)
                return
            self._take(data, source)

    def _take(self, data: bytes, source: Address) -> None:
        if (number := self._numbers.get(source)) is None:
            self._drop("from %s:%d, which is no peer", *source)
            return
        if not self._within(number):
            self._drop("more than %d a second from peer %d", EACH_MOST, number)
            return
        try:
            note = decode_note(data)
        except NoteError as error:
            self._drop("from peer %d: %s", number, error)
            return
        self._heard(number, note)

    def _within(self, number: int) -> bool:
        """Whether a peer keeps to what it may send: reading and believing cost time."""
        now = self._now_us()
        room, at = self._room.get(number, (EACH_MOST, now))
        room = min(EACH_MOST, room + EACH_MOST * (now - at) / 1_000_000)
        self._room[number] = max(0.0, room - 1), now
        return room >= 1

    def _drop(self, text: str, *args: object) -> None:
        self.dropped += 1
        self._rare.warning("notes: dropped one " + text, *args)
