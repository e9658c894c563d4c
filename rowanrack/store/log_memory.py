"""A `LogStore` in memory: for tests, and the plainest statement of what a store does.

What it holds outlasts `close` and `open` of the same object, as a file would. Source: docs/channels.md.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from rowanrack.channels.events import CHAIN_BYTES, START, Event, Gap, Head, Place, Stream
from rowanrack.channels.ports import LogError, LogFullError

MOST = (1 << 63) - 1  # the highest number, time and tick that a store keeps
EACH = 64  # bytes that an event counts beside its texts and its payload
RETENTION = "retention"


@dataclass(slots=True)
class Known:
    """A stream's head, its gaps and its events, both in the order of their numbers."""

    head: Head
    gaps: list[Gap] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


def weight(event: Event) -> int:
    """At least as many bytes as an event takes as msgpack."""
    text = event.channel + event.site + event.life + event.kind
    return EACH + (len(text) if text.isascii() else len(text.encode())) + len(event.data)


def advanced(events: Sequence[Event], head_of: Callable[[Stream], Head | None]) -> dict[Stream, Head]:
    """The heads of all streams of which there are events, behind those.

    Raises ValueError if an event is not the next of its stream, or cannot be kept.
    """
    found: dict[tuple[str, str, str], tuple[Stream, int]] = {}  # each stream's floor
    last: dict[tuple[str, str, str], Event] = {}
    kinds: set[str] = set()
    for event in events:
        key = event.channel, event.site, event.life
        if key in last:
            number = last[key].number
        else:
            stream = Stream(*key)
            head = head_of(stream)
            found[key], number = (stream, head.floor if head else 0), head.number if head else 0
            for text in key:
                text.encode()  # UnicodeEncodeError is a ValueError
        if event.number != number + 1:
            raise ValueError(f"event {event.id} of {event.channel}: the next of its stream is {number + 1}")
        if not (-MOST <= event.at <= MOST and 0 <= event.tick <= MOST and number < MOST):
            raise ValueError(f"event {event.id} of {event.channel}: its time does not fit into 64 bits")
        if len(event.chain) != CHAIN_BYTES:
            raise ValueError(f"event {event.id} of {event.channel}: its chain is not {CHAIN_BYTES} bytes")
        if event.kind not in kinds:
            event.kind.encode()
            kinds.add(event.kind)
        last[key] = event
    return {
        stream: Head(stream, floor, end.number, end.at, end.tick, end.chain)
        for (stream, floor), end in zip(found.values(), last.values(), strict=True)
    }


def skipped(head: Head | None, gap: Gap) -> tuple[Head, Gap] | None:
    """A stream's head behind a gap, and that part of the gap which is not here; None if all of it is here.

    The head keeps the time of the last event that was here; its chain is `START`, as it is not known.
    Raises ValueError if events in front of the gap are missing, or it cannot be kept.
    """
    number, at, tick = (head.number, head.at, head.tick) if head is not None else (0, 0, 0)
    if gap.first > number + 1 or gap.last < gap.first or gap.last > MOST:
        raise ValueError(f"gap {gap.first} to {gap.last} of {gap.stream}: the next number is {number + 1}")
    if gap.last <= number:
        return None
    return Head(gap.stream, gap.last, gap.last, at, tick, START), gap._replace(first=number + 1)


def pruned(head: Head, gaps: Sequence[Gap], first: int, last: int) -> tuple[Head, list[Gap]]:
    """A stream's head and gaps once retention has taken its events from `first` to `last`.

    Gaps in front of those become part of the one gap that retention leaves.
    """
    first = min([first, *(gap.first for gap in gaps if gap.last <= last)])
    kept = [gap for gap in gaps if gap.last > last]
    return head._replace(floor=max(head.floor, last)), [Gap(head.stream, first, last, RETENTION), *kept]


@dataclass(slots=True)
class MemoryLog:
    """Events in dicts and sorted lists. With `most_bytes`, what would take more raises LogFullError."""

    most_bytes: int = MOST
    _streams: dict[Stream, Known] = field(default_factory=dict)
    _events: dict[str, dict[Place, Event]] = field(default_factory=dict)  # by channel
    _places: dict[str, list[Place]] = field(default_factory=dict)  # the same in order
    _marks: dict[str, bytes] = field(default_factory=dict)
    _size: int = 0
    _open: bool = False

    def open(self) -> None:
        """Be ready."""
        if self._open:
            raise LogError("event log: it is open already")
        self._open = True

    def close(self) -> None:
        """Let go of it."""
        self._open = False

    def append(self, events: Sequence[Event], marks: dict[str, bytes] | None = None) -> None:
        """Keep events and marks, together."""
        heads = advanced(events, self._head)
        more = sum(map(weight, events))
        if self._size + more > self.most_bytes:
            raise LogFullError(f"event log: no room for {len(events)} events in {self.most_bytes} bytes")
        for stream, head in heads.items():
            self._streams.setdefault(stream, Known(head)).head = head
        for event in events:
            place = event.place
            self._events.setdefault(event.channel, {})[place] = event
            insort(self._places.setdefault(event.channel, []), place)
            self._streams[event.stream].events.append(event)
        self._marks.update(marks or {})
        self._size += more

    def _head(self, stream: Stream) -> Head | None:
        known = self._streams.get(stream)
        return known.head if known is not None else None

    def heads(self) -> list[Head]:
        """How far each stream goes."""
        return [known.head for _, known in sorted(self._streams.items())]

    def after(self, stream: Stream, number: int, most_bytes: int) -> list[Event]:
        """A stream's events behind a number, in order, up to so many bytes as they are sent."""
        found: list[Event] = []
        events = self._streams[stream].events if stream in self._streams else []
        for event in events[bisect_right(events, number, key=lambda event: event.number) :]:
            most_bytes -= weight(event)
            if found and most_bytes < 0:
                break
            found.append(event)
        return found

    def ordered(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """A channel's events in its order."""
        places = self._places.get(channel, [])
        first = bisect_right(places, since) if since is not None else 0
        last = bisect_right(places, until_us, key=lambda place: place.at)
        return [self._events[channel][place] for place in places[first:last][: max(limit, 0)]]

    def skip(self, gap: Gap) -> None:
        """Mark that a stream goes on behind a gap."""
        if (found := skipped(self._head(gap.stream), gap)) is not None:
            known = self._streams.setdefault(gap.stream, Known(found[0]))
            known.head = found[0]
            known.gaps.append(found[1])

    def gaps(self, channel: str) -> list[Gap]:
        """The gaps of a channel."""
        return sorted(g for s, known in self._streams.items() if s.channel == channel for g in known.gaps)

    def prune(self, before_us: int, most_bytes: int, spare: Iterable[str]) -> int:
        """Retention."""
        spared = set(spare)
        lasts: dict[Stream, int] = {}
        size = self._size

        def along(known: Known) -> Iterator[tuple[int, Stream, int, int]]:
            for event in known.events:
                yield event.at, event.stream, event.number, weight(event)

        streams = [known for stream, known in self._streams.items() if stream.channel not in spared]
        for at, stream, number, takes in heapq.merge(*map(along, streams)):
            if at >= before_us and size <= most_bytes:
                break
            lasts[stream] = number
            size -= takes
        return sum(self._take(self._streams[stream], last) for stream, last in lasts.items())

    def _take(self, known: Known, last: int) -> int:
        count = bisect_right(known.events, last, key=lambda event: event.number)
        going, known.events = known.events[:count], known.events[count:]
        for event in going:
            self._forget(event)
        known.head, known.gaps = pruned(known.head, known.gaps, going[0].number, last)
        return count

    def _forget(self, event: Event) -> None:
        del self._events[event.channel][event.place]
        places = self._places[event.channel]
        del places[bisect_left(places, event.place)]
        self._size -= weight(event)

    def drop(self, channel: str, stream: Stream | None = None) -> None:
        """Forget a channel, or one stream of it, gaps included."""
        for each in [s for s in self._streams if s.channel == channel and stream in (None, s)]:
            for event in self._streams.pop(each).events:
                self._forget(event)

    def mark(self, name: str) -> bytes | None:
        """A small value kept under a name."""
        return self._marks.get(name)

    def size_bytes(self) -> int:
        """About what the events take."""
        return self._size
