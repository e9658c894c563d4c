"""A `LogStore` in memory, for tests and as the reference implementation.

The content survives `close` and `open` of the same object, as that of a file would. This module also holds
the rules that both log stores share. Source: docs/channels.md.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from rowanrack.channels.events import CHAIN_BYTES, START, Event, Gap, Head, Place, Stream
from rowanrack.channels.ports import LogError, LogFullError

MAX_INT64 = (1 << 63) - 1  # the highest number, time and tick that a store accepts
EVENT_OVERHEAD_BYTES = 64  # counted for each event besides its texts and its payload
RETENTION_REASON = "retention"


@dataclass(slots=True)
class StreamState:
    """A stream's head, and its gaps and events in the order of their numbers."""

    head: Head
    gaps: list[Gap] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


def event_bytes(event: Event) -> int:
    """Return an upper bound for the size of an event in msgpack."""
    text = event.channel + event.site + event.life + event.kind
    return EVENT_OVERHEAD_BYTES + (len(text) if text.isascii() else len(text.encode())) + len(event.data)


def advance_heads(events: Sequence[Event], head_of: Callable[[Stream], Head | None]) -> dict[Stream, Head]:
    """Return the new heads of the streams to which these events are appended.

    Raises ValueError if an event is not the next of its stream, or cannot be stored.
    """
    streams_and_floors: dict[tuple[str, str, str], tuple[Stream, int]] = {}  # by stream key
    last_events: dict[tuple[str, str, str], Event] = {}
    checked_kinds: set[str] = set()
    for event in events:
        stream_key = event.channel, event.site, event.life
        if stream_key in last_events:
            number = last_events[stream_key].number
        else:
            stream = Stream(*stream_key)
            head = head_of(stream)
            streams_and_floors[stream_key], number = (
                (stream, head.floor if head else 0),
                head.number if head else 0,
            )
            for text in stream_key:
                text.encode()  # UnicodeEncodeError is a ValueError
        if event.number != number + 1:
            raise ValueError(
                f"event {event.id} of {event.channel}: the next number of its stream is {number + 1}"
            )
        if not (-MAX_INT64 <= event.at <= MAX_INT64 and 0 <= event.tick <= MAX_INT64 and number < MAX_INT64):
            raise ValueError(f"event {event.id} of {event.channel}: its time does not fit into 64 bits")
        if len(event.chain) != CHAIN_BYTES:
            raise ValueError(f"event {event.id} of {event.channel}: its chain is not {CHAIN_BYTES} bytes")
        if event.kind not in checked_kinds:
            event.kind.encode()
            checked_kinds.add(event.kind)
        last_events[stream_key] = event
    return {
        stream: Head(stream, floor, last_event.number, last_event.at, last_event.tick, last_event.chain)
        for (stream, floor), last_event in zip(streams_and_floors.values(), last_events.values(), strict=True)
    }


def skip_to_gap_end(head: Head | None, gap: Gap) -> tuple[Head, Gap] | None:
    """Return a stream's head after a gap, and the part of the gap that follows the old head.

    Returns None if the old head is already at or after the end of the gap. The new head keeps the time of the
    old one; its chain is `START`, because the real one is unknown. Raises ValueError if events before the gap
    are missing, or the gap cannot be stored.
    """
    number, at, tick = (head.number, head.at, head.tick) if head is not None else (0, 0, 0)
    if gap.first > number + 1 or gap.last < gap.first or gap.last > MAX_INT64:
        raise ValueError(f"gap {gap.first} to {gap.last} of {gap.stream}: the next number is {number + 1}")
    if gap.last <= number:
        return None
    return Head(gap.stream, gap.last, gap.last, at, tick, START), gap._replace(first=number + 1)


def prune_stream(
    head: Head, gaps: Sequence[Gap], first_number: int, last_number: int
) -> tuple[Head, list[Gap]]:
    """Return a stream's head and gaps after retention removed events `first_number` to `last_number`.

    Earlier gaps are merged into the single gap that retention leaves.
    """
    first_number = min([first_number, *(gap.first for gap in gaps if gap.last <= last_number)])
    later_gaps = [gap for gap in gaps if gap.last > last_number]
    return head._replace(floor=max(head.floor, last_number)), [
        Gap(head.stream, first_number, last_number, RETENTION_REASON),
        *later_gaps,
    ]


@dataclass(slots=True)
class MemoryLog:
    """An event log in dicts and sorted lists. An append beyond `most_bytes` raises LogFullError."""

    most_bytes: int = MAX_INT64
    _streams: dict[Stream, StreamState] = field(default_factory=dict)
    _events_by_channel: dict[str, dict[Place, Event]] = field(default_factory=dict)
    _ordered_places: dict[str, list[Place]] = field(default_factory=dict)  # by channel, sorted
    _marks: dict[str, bytes] = field(default_factory=dict)
    _total_bytes: int = 0
    _open: bool = False

    def open(self) -> None:
        """Open the log. Raises LogError if it is already open."""
        if self._open:
            raise LogError("event log: already open")
        self._open = True

    def close(self) -> None:
        """Close the log."""
        self._open = False

    def append(self, events: Sequence[Event], marks: dict[str, bytes] | None = None) -> None:
        """Store events and marks atomically."""
        heads = advance_heads(events, self._head)
        added_bytes = sum(map(event_bytes, events))
        if self._total_bytes + added_bytes > self.most_bytes:
            raise LogFullError(
                f"event log: no room for {len(events)} more events within {self.most_bytes} bytes"
            )
        for stream, head in heads.items():
            self._streams.setdefault(stream, StreamState(head)).head = head
        for event in events:
            place = event.place
            self._events_by_channel.setdefault(event.channel, {})[place] = event
            insort(self._ordered_places.setdefault(event.channel, []), place)
            self._streams[event.stream].events.append(event)
        self._marks.update(marks or {})
        self._total_bytes += added_bytes

    def _head(self, stream: Stream) -> Head | None:
        state = self._streams.get(stream)
        return state.head if state is not None else None

    def heads(self) -> list[Head]:
        """Return the head of each stream."""
        return [state.head for _, state in sorted(self._streams.items())]

    def after(self, stream: Stream, number: int, most_bytes: int) -> list[Event]:
        """Return a stream's events after a number, in order, up to `most_bytes` but at least one."""
        found: list[Event] = []
        events = self._streams[stream].events if stream in self._streams else []
        for event in events[bisect_right(events, number, key=lambda event: event.number) :]:
            most_bytes -= event_bytes(event)
            if found and most_bytes < 0:
                break
            found.append(event)
        return found

    def ordered(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """Return a channel's events in order, after a place and up to a time."""
        places = self._ordered_places.get(channel, [])
        first = bisect_right(places, since) if since is not None else 0
        last = bisect_right(places, until_us, key=lambda place: place.at)
        return [self._events_by_channel[channel][place] for place in places[first:last][: max(limit, 0)]]

    def skip(self, gap: Gap) -> None:
        """Record a gap, after which the stream continues."""
        if (head_and_gap := skip_to_gap_end(self._head(gap.stream), gap)) is not None:
            state = self._streams.setdefault(gap.stream, StreamState(head_and_gap[0]))
            state.head = head_and_gap[0]
            state.gaps.append(head_and_gap[1])

    def gaps(self, channel: str) -> list[Gap]:
        """Return the gaps of a channel."""
        return sorted(
            gap for stream, state in self._streams.items() if stream.channel == channel for gap in state.gaps
        )

    def prune(self, before_us: int, most_bytes: int, spare: Iterable[str]) -> int:
        """Apply retention: remove old events, then the oldest until the log fits into `most_bytes`."""
        spared_channels = set(spare)
        last_numbers: dict[Stream, int] = {}
        total_bytes = self._total_bytes

        def events_by_number(state: StreamState) -> Iterator[tuple[int, Stream, int, int]]:
            for event in state.events:
                yield event.at, event.stream, event.number, event_bytes(event)

        streams = [state for stream, state in self._streams.items() if stream.channel not in spared_channels]
        for at, stream, number, size in heapq.merge(*map(events_by_number, streams)):
            if at >= before_us and total_bytes <= most_bytes:
                break
            last_numbers[stream] = number
            total_bytes -= size
        return sum(self._remove_events(self._streams[stream], last) for stream, last in last_numbers.items())

    def _remove_events(self, state: StreamState, last_number: int) -> int:
        count = bisect_right(state.events, last_number, key=lambda event: event.number)
        removed, state.events = state.events[:count], state.events[count:]
        for event in removed:
            self._remove_event(event)
        state.head, state.gaps = prune_stream(state.head, state.gaps, removed[0].number, last_number)
        return count

    def _remove_event(self, event: Event) -> None:
        del self._events_by_channel[event.channel][event.place]
        places = self._ordered_places[event.channel]
        del places[bisect_left(places, event.place)]
        self._total_bytes -= event_bytes(event)

    def drop(self, channel: str, stream: Stream | None = None) -> None:
        """Remove a channel, or one stream of it, including its gaps."""
        for dropped_stream in [s for s in self._streams if s.channel == channel and stream in (None, s)]:
            for event in self._streams.pop(dropped_stream).events:
                self._remove_event(event)

    def mark(self, name: str) -> bytes | None:
        """Return the value of a mark, or None."""
        return self._marks.get(name)

    def size_bytes(self) -> int:
        """Return the approximate size of the events."""
        return self._total_bytes
