"""The interfaces that the event log needs: a store, links to other sites, and clocks."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from rowanrack.channels.events import Event, Gap, Head, Place, Stream


class LogError(Exception):
    """The store failed; the text is a single line. The operation had no effect, not even in part."""


class LogFullError(LogError):
    """The store is full; the operation may be retried once there is space."""


class LogStore(Protocol):
    """Stores events on disk. Called by one thread at a time, never by that of the event loop.

    A change that succeeded survives a kill of the process right after it. Every call that changes something
    is atomic: it raises LogError or LogFullError if it changed nothing.
    """

    def open(self) -> None:
        """Open the store.

        Raises LogError if another process has it open, it is damaged beyond use, or it is not an event log.
        """

    def close(self) -> None:
        """Close the store."""

    def append(self, events: Sequence[Event], marks: dict[str, bytes] | None = None) -> None:
        """Store events, each the next one of its stream (number = head's + 1), and marks, atomically.

        Raises ValueError, and stores nothing, if an event is not the next one of its stream.
        """

    def heads(self) -> list[Head]:
        """Return the head of each stream."""

    def after(self, stream: Stream, number: int, most_bytes: int) -> list[Event]:
        """Return a stream's events after a number, in order, up to a size; at least one if there is any."""

    def ordered(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """Return events of a channel in order, after a place, with `at` up to and including a time."""

    def skip(self, gap: Gap) -> None:
        """Record that a stream continues after a gap: its floor and number are raised to `gap.last`."""

    def gaps(self, channel: str) -> list[Gap]:
        """Return the gaps of a channel, including those made by retention, ordered by stream and number."""

    def prune(self, before_us: int, most_bytes: int, spare: Iterable[str]) -> int:
        """Apply retention: drop events older than a time, then the oldest until the size is in the limit.

        Channels in `spare` are not touched. Each stream loses events from its start only; the removed part is
        recorded as a gap. Returns the number of removed events.
        """

    def drop(self, channel: str, stream: Stream | None = None) -> None:
        """Drop a channel, or one stream of it, with its gaps; other sites keep it."""

    def mark(self, name: str) -> bytes | None:
        """Return the small value stored under a name, or None."""

    def size_bytes(self) -> int:
        """Return the size of the store on disk."""


class Answered(Protocol):
    """Receives the outcome of a call to another site."""

    def __call__(self, body: bytes | None, wait_us: int, why: str, /) -> None:
        """Take the reply; or None, the site's retry-after wait (0: not given), and why the call failed."""


class Links(Protocol):
    """Calls other sites by name. Each call ends exactly once, with a reply or a failure.

    A failed call may have been executed by the other site. Calls are not retried automatically.
    """

    def call(self, site: str, body: bytes, timeout_us: int, done: Answered) -> Callable[[], None]:
        """Call a site; `done` is called within the time limit.

        The returned function cancels the call; `done` is then called with a failure.
        """


class Time(Protocol):
    """The clocks that the log needs."""

    def unix_us(self) -> int:
        """Return the Unix time in microseconds; it may jump either way."""

    def now_us(self) -> int:
        """Return the time in microseconds on a clock that never goes back."""
