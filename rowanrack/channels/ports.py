"""What the channels' log asks of the world: a store, links to other sites, and time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from rowanrack.channels.events import Event, Gap, Head, Place, Stream


class LogError(Exception):
    """The store failed; the text is one plain line. What was asked for was not done, not even in part."""


class LogFullError(LogError):
    """There is no room: it may be tried again once there is."""


class LogStore(Protocol):
    """Events on disk. Called by one thread at a time, never by the event loop's.

    Success means that it outlasts the process: killed right after, a reopened store has it. Every call that
    changes something does all of it or nothing, and raises LogError or LogFullError for nothing.
    """

    def open(self) -> None:
        """Be ready. Raises LogError: another process has it open, it is damaged past use, it is no log."""

    def close(self) -> None:
        """Let go of it."""

    def append(self, events: Sequence[Event], marks: dict[str, bytes] | None = None) -> None:
        """Keep events, each the next of its stream (number = head's + 1), and marks, together.

        Raises ValueError if one is not the next of its stream: nothing is kept then.
        """

    def heads(self) -> list[Head]:
        """How far each stream goes."""

    def after(self, stream: Stream, number: int, most_bytes: int) -> list[Event]:
        """A stream's events behind a number, in order, up to so many bytes; at least one if there is one."""

    def ordered(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """A channel's events in its order, behind a place, with `at` up to and including a time."""

    def skip(self, gap: Gap) -> None:
        """Mark that a stream goes on behind a gap: its floor and number are raised to `gap.last`."""

    def gaps(self, channel: str) -> list[Gap]:
        """The gaps of a channel, those that retention made among them, in the order of stream and number."""

    def prune(self, before_us: int, most_bytes: int, spare: Iterable[str]) -> int:
        """Retention: drop events older than a time, then the oldest until the store takes so many bytes.

        Channels in `spare` keep theirs. Whole beginnings of streams go, each marked as a gap. Returns how
        many events went.
        """

    def drop(self, channel: str, stream: Stream | None = None) -> None:
        """Forget a channel, or one stream of it, gaps included: it is kept elsewhere."""

    def mark(self, name: str) -> bytes | None:
        """A small value kept under a name."""

    def size_bytes(self) -> int:
        """What the store takes on disk."""


class Answered(Protocol):
    """What a call to another site came to."""

    def __call__(self, body: bytes | None, wait_us: int, why: str, /) -> None:
        """The answer's bytes; or None, for how long that site wants no call (0: it did not say), and why."""


class Links(Protocol):
    """Calls to other sites, by their names. Each call ends exactly once, by its answer or by a failure.

    A failed call may have been carried out there. Nothing repeats a call by itself.
    """

    def call(self, site: str, body: bytes, timeout_us: int, done: Answered) -> Callable[[], None]:
        """Call a site; `done` hears within the time limit. The result gives the call up: `done` hears so."""


class Time(Protocol):
    """Time as the log needs it."""

    def unix_us(self) -> int:
        """Unix time in microseconds; it may step either way."""

    def now_us(self) -> int:
        """Microseconds on a clock that never goes back."""
