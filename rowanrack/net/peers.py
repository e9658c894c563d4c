"""The UDP port on which senders exchange gossip notes, protected against unknown senders and floods."""

from __future__ import annotations

import logging
import socket
from asyncio import AbstractEventLoop, get_running_loop
from collections.abc import Callable, Sequence

from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanspindle.notes import MAX_NOTE_BYTES, Note, NoteError, decode_note, encode_note

log = logging.getLogger(__name__)

Address = tuple[str, int]

# Per event loop iteration. The rest of a flood waits in the socket buffer, and is lost when that is full.
MAX_DATAGRAMS_PER_READ = 64
MAX_NOTES_PER_PEER_PER_S = 40.0  # from one peer; more are dropped unread


class PeerPort:
    """Sends notes to all other senders and receives theirs.

    Datagrams that are no notes of a known peer are dropped and counted.
    """

    def __init__(
        self,
        own_address: Address,
        peers: Sequence[Address],
        broadcast_address: Address,
        receive: Callable[[int, Note], None],
        now_us: Callable[[], int],
    ) -> None:
        self._own_address, self._broadcast_address, self._receive, self._now_us = (
            own_address,
            broadcast_address,
            receive,
            now_us,
        )
        self._peer_numbers = {address: number for number, address in enumerate(peers)}
        # The token bucket of each peer: notes that it may still send, and the time in us of that count.
        self._buckets: dict[int, tuple[float, int]] = {}
        self._warnings = RateLimitedLog(log)
        self._socket: socket.socket | None = None
        self._loop: AbstractEventLoop | None = None
        self.dropped = 0

    def open(self) -> None:
        """Bind the port. Raise OSError."""
        port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            port.setblocking(False)
            port.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEPORT, 1
            )  # at a hot restart two processes share the port
            port.bind(self._own_address)
        except OSError:
            port.close()
            raise
        self._socket, self._loop = port, get_running_loop()
        self._loop.add_reader(port.fileno(), self._read_datagrams)

    def close(self) -> None:
        """Stop sending and receiving."""
        if self._socket is not None and self._loop is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def send(self, note: Note) -> None:
        """Send a note to all peers; one that cannot be sent is lost, as any note may be."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(encode_note(note), self._broadcast_address)
        except OSError as error:
            self._warnings.warning("notes: could not send: %s", error.strerror or error)

    def _read_datagrams(self) -> None:
        """Read pending datagrams."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_NOTE_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                self._warnings.warning("notes: could not receive: %s", error.strerror or error)
                return
            self._process_datagram(data, source)

    def _process_datagram(self, data: bytes, source: Address) -> None:
        if (number := self._peer_numbers.get(source)) is None:
            self._drop("from %s:%d, which is not a peer", *source)
            return
        if not self._take_token(number):
            self._drop("over the limit of %d per second, from peer %d", MAX_NOTES_PER_PEER_PER_S, number)
            return
        try:
            note = decode_note(data)
        except NoteError as error:
            self._drop("from peer %d, which is invalid: %s", number, error)
            return
        self._receive(number, note)

    def _take_token(self, number: int) -> bool:
        """Take a token for a note of a peer, if one is left: decoding and processing notes costs time."""
        now = self._now_us()
        tokens, updated_at = self._buckets.get(number, (MAX_NOTES_PER_PEER_PER_S, now))
        tokens = min(
            MAX_NOTES_PER_PEER_PER_S, tokens + MAX_NOTES_PER_PEER_PER_S * (now - updated_at) / 1_000_000
        )
        self._buckets[number] = max(0.0, tokens - 1), now
        return tokens >= 1

    def _drop(self, text: str, *args: object) -> None:
        self.dropped += 1
        self._warnings.warning("notes: dropped a datagram " + text, *args)
