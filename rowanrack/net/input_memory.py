"""The memory that all clients together hold with requests that are not complete yet.

Each connection has a limit of its own, but hundreds of them may stop half way through large requests. Once
all together hold too much, the connection whose input has taken most memory for longest is closed. A client
that sends a large request at once holds it for milliseconds only, and is the last one to be closed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.net.stream import Stream

log = logging.getLogger(__name__)

UNLIMITED_BYTES = 1 << 62
MIN_AGE_US = 1_000  # counted for a request that has just begun, so that its size matters
SMALL_INPUT_BYTES = 2 * 1024  # is not counted: it belongs to what any connection takes


class InputOwner(Protocol):
    """The listener of a connection."""

    def incomplete_since_us(self, stream: Stream) -> int | None:
        """Return since when the input of a connection waits to become complete; None if it may not close."""

    def close_for_memory(self, stream: Stream) -> None:
        """Close a connection because of the memory that its input takes."""


@dataclass(slots=True)
class HeldInput:
    """The input that one connection holds."""

    owner: InputOwner
    held_bytes: int = 0


class InputMemory:
    """Keeps the input of all clients' connections of a process under one limit."""

    def __init__(self, now_us: Callable[[], int], limit_bytes: int = UNLIMITED_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._now_us = now_us
        self._by_stream: dict[Stream, HeldInput] = {}
        self._warnings = RateLimitedLog(log)

    def update(self, stream: Stream, owner: InputOwner) -> None:
        """Count what a connection holds now, and close connections if all together hold too much."""
        held_bytes = stream.held_bytes
        if held_bytes <= SMALL_INPUT_BYTES:
            self.forget(stream)
            return
        held = self._by_stream.setdefault(stream, HeldInput(owner))
        self.held_bytes += held_bytes - held.held_bytes
        held.held_bytes = held_bytes
        while self.held_bytes > self.limit_bytes and self._close_heaviest():
            pass

    def forget(self, stream: Stream) -> None:
        """Stop counting a connection, which has ended or holds no input."""
        if (held := self._by_stream.pop(stream, None)) is not None:
            self.held_bytes -= held.held_bytes

    def _close_heaviest(self) -> bool:
        """Close the connection with the largest product of size and age; return whether there was one."""
        now = self._now_us()
        heaviest, largest = None, 0
        for stream, held in self._by_stream.items():
            since = held.owner.incomplete_since_us(stream)
            if since is not None and (product := held.held_bytes * (now - since + MIN_AGE_US)) > largest:
                heaviest, largest = stream, product
        if heaviest is None:
            return False
        held = self._by_stream[heaviest]
        self.forget(heaviest)
        self._warnings.warning(
            "closed a client: its incomplete request held %d bytes, and those of all clients more than %d",
            held.held_bytes,
            self.limit_bytes,
        )
        held.owner.close_for_memory(heaviest)
        return True
