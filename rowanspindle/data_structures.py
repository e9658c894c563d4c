"""Incrementally maintained data structures: the cost of a round depends on its changes, not on what is held.

Operations that would be linear in a scan take logarithmic time. Removal is lazy: an outdated entry stays in
its heap until it reaches the top or until such entries make up most of the heap. Ties are broken by insertion
order, so that the same events give the same order with every hash seed. This module makes no decisions.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable, Hashable, Iterator
from heapq import heapify, heappop, heappush
from itertools import islice
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)
ItemT = TypeVar("ItemT")

SPARE_ENTRIES_COUNT = 32  # additional outdated entries that a heap of any size may hold


class DeadlineQueue(Generic[KeyT]):
    """A queue of keys with one due time each, on any integer clock."""

    def __init__(self) -> None:
        self._entries: dict[KeyT, tuple[int, int]] = {}
        self._heap: list[tuple[int, int, KeyT]] = []
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._entries

    def set(self, key: KeyT, at: int) -> None:
        """Set or replace the due time of a key."""
        entry = self._entries.get(key)
        if entry is not None and entry[0] == at:
            return
        self._last_sequence += 1
        self._entries[key] = at, self._last_sequence
        heappush(self._heap, (at, self._last_sequence, key))
        if len(self._heap) > 2 * len(self._entries) + SPARE_ENTRIES_COUNT:
            self._heap = [(at, sequence, key) for key, (at, sequence) in self._entries.items()]
            heapify(self._heap)

    def get(self, key: KeyT) -> int | None:
        """Return when the key is due; None if it is not in the queue."""
        entry = self._entries.get(key)
        return None if entry is None else entry[0]

    def drop(self, key: KeyT) -> None:
        """Remove a key, if it is in the queue."""
        self._entries.pop(key, None)

    def next_at(self) -> int | None:
        """Return the earliest due time; None if the queue is empty."""
        heap = self._heap
        while heap:
            at, sequence, key = heap[0]
            if self._entries.get(key) == (at, sequence):
                return at
            heappop(heap)
        return None

    def due(self, now: int) -> list[KeyT]:
        """Remove and return the keys that are due by now, the earliest first."""
        keys: list[KeyT] = []
        while (at := self.next_at()) is not None and at <= now:
            key = heappop(self._heap)[2]
            del self._entries[key]
            keys.append(key)
        return keys


class PriorityQueue(Generic[KeyT]):
    """A queue of keys by score, the lowest first. Ties are broken by the order of setting.

    Each score was correct when it was set. The caller refreshes scores that change with time: those of the
    first few keys and the oldest ones.
    """

    def __init__(self) -> None:
        self._entries: dict[KeyT, tuple[float, ...]] = {}  # in the order of their updates, the oldest first
        self._updated_at: dict[KeyT, int] = {}
        self._heap: list[tuple[tuple[float, ...], int, KeyT]] = []
        self._sequences: dict[KeyT, int] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[KeyT]:
        return iter(self._entries)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._entries

    def set(self, key: KeyT, score: tuple[float, ...], at: int) -> None:
        """Set the score of a key as of that time."""
        self._last_sequence += 1
        self._entries.pop(key, None)
        self._entries[key], self._updated_at[key], self._sequences[key] = score, at, self._last_sequence
        heappush(self._heap, (score, self._last_sequence, key))
        if len(self._heap) > 2 * len(self._entries) + SPARE_ENTRIES_COUNT:
            self._heap = [(score, self._sequences[key], key) for key, score in self._entries.items()]
            heapify(self._heap)

    def drop(self, key: KeyT) -> None:
        """Remove a key, if it is in the queue."""
        if self._entries.pop(key, None) is not None:
            del self._updated_at[key], self._sequences[key]

    def clear(self) -> None:
        """Remove all keys."""
        self._entries.clear()
        self._updated_at.clear()
        self._sequences.clear()
        self._heap.clear()

    def first(self) -> KeyT | None:
        """Return the key with the lowest score; None if the queue is empty."""
        heap = self._heap
        while heap:
            _, sequence, key = heap[0]
            if self._sequences.get(key) == sequence:
                return key
            heappop(heap)
        return None

    def first_refreshed(self, since: int, max_updates: int, update: Callable[[KeyT], None]) -> KeyT | None:
        """Return the first key, with a score that was set after `since` or is updated now.

        `update` sets or drops the score of a key, so that another key may become the first. After
        `max_updates` updates, the first key is returned as it is.
        """
        for _ in range(max_updates):
            if (key := self.first()) is None or self._updated_at[key] > since:
                return key
            update(key)
        return self.first()

    def refresh(self, since: int, max_updates: int, update: Callable[[KeyT], None]) -> None:
        """Update up to `max_updates` of the keys with the oldest scores, as far as not set after `since`."""
        for key in list(islice(self._entries, max_updates)):
            if self._updated_at[key] <= since:
                update(key)


class TimeSortedList(Generic[ItemT]):
    """Items sorted by time, found and removed by it."""

    def __init__(self) -> None:
        self._items: list[tuple[int, int, ItemT]] = []

    def __len__(self) -> int:
        return len(self._items)

    def __getitem__(self, index: int) -> ItemT:
        return self._items[index][2]

    def add(self, at: int, tie_breaker: int, item: ItemT) -> None:
        """Insert an item; `tie_breaker` is unique and orders items of the same time."""
        items = self._items
        if not items or items[-1][:2] < (at, tie_breaker):
            items.append((at, tie_breaker, item))
        else:
            items.insert(bisect_left(items, (at, tie_breaker)), (at, tie_breaker, item))

    def remove(self, at: int, tie_breaker: int) -> None:
        """Remove the item with that time and tie-breaker. Raises KeyError if there is none."""
        index = bisect_left(self._items, (at, tie_breaker))
        if index == len(self._items) or self._items[index][:2] != (at, tie_breaker):
            raise KeyError((at, tie_breaker))
        del self._items[index]

    def before(self, at: int) -> int:
        """Return how many items have an earlier time."""
        return bisect_left(self._items, (at,))

    def around(self, times: tuple[int, ...]) -> list[ItemT]:
        """Return the neighbours of each time, without repeats, in order; all items if they are that few."""
        items, max_items = self._items, 2 * len(times)
        if len(items) <= max_items:
            return [item[2] for item in items]
        indexes: dict[int, None] = {}
        for at in times:
            index = bisect_left(items, (at,))
            if index:
                indexes[index - 1] = None
            if index < len(items):
                indexes[index] = None
        return [items[index][2] for index in sorted(indexes)]


def estimate_active_senders(sender_count: int, rate: float, age_us: int) -> float:
    """Estimate how many senders, this one included, hold messages for a destination.

    The oldest message has waited for `age_us`. At most rate x age messages arrived in that time, spread
    evenly over the senders, so each other sender holds some with the probability
    1 - exp(-rate x age / sender_count). Of a few senders nearly all are counted, of hundreds only those that
    are likely to hold messages.
    """
    return 1 - (sender_count - 1) * math.expm1(-rate * max(0, age_us) / 1_000_000 / sender_count)


class RunningMean:
    """An exponentially weighted running mean and mean deviation."""

    def __init__(self, weight: float) -> None:
        self.mean = self.deviation = 0.0
        # The weight of a new value, and the squared weight of the first value.
        self._weight, self._first_weight = weight, 1.0

    def add(self, value: float) -> None:
        """Add a measured value."""
        if self.mean == 0:
            self.mean, self.deviation, self._first_weight = float(value), value / 2, 1.0
        else:
            self._first_weight *= (1 - self._weight) ** 2
        self.deviation += self._weight * (abs(value - self.mean) - self.deviation)
        self.mean += self._weight * (value - self.mean)

    def standard_error(self) -> float:
        """Return the standard error of the mean, estimated from the deviation."""
        later_values = (1 - self._first_weight) * self._weight / (2 - self._weight)
        return self.deviation * math.sqrt(math.pi / 2 * (self._first_weight + later_values))


class ConcurrencyWindow:
    """A limit of calls in flight with additive increase, by one per window, and multiplicative decrease.

    The decrease is applied once per burst of failures.
    """

    def __init__(self, start: float, max_size: float, floor: float, cut: float) -> None:
        self.size, self.max_size, self.cut_at = min(start, max_size), max_size, -1
        self._floor, self._cut = floor, cut

    def grow(self, in_flight: int) -> None:
        """Increase the window, but only if at least half of it was in use."""
        if in_flight + 1 >= self.size / 2:
            self.size = min(self.max_size, self.size + 1 / self.size)

    def cut(self, now: int, sent_at: int) -> None:
        """Decrease the window, unless the failed call was sent before the last decrease."""
        if sent_at > self.cut_at:
            self.size = max(self._floor, self.size * self._cut)
            self.cut_at = now


class TokenBucket:
    """A token bucket; the caller takes the tokens."""

    def __init__(self, tokens: float) -> None:
        self.tokens, self.filled_at = tokens, 0

    def next_at(self, now: int, rate: float, capacity: float) -> int:
        """Refill the bucket and return when a token is available, in microseconds; `rate` is in tokens/s."""
        if now > self.filled_at:
            self.tokens = min(capacity, self.tokens + rate * (now - self.filled_at) / 1_000_000)
            self.filled_at = now
        return now if self.tokens >= 1 else now + math.ceil((1 - self.tokens) / max(rate, 1e-6) * 1_000_000)


class RateEstimator:
    """A rate estimated from events with exponential decay; the initial rate counts as `weight` events."""

    def __init__(self, now: int, memory_s: float, weight: float) -> None:
        self.count, self.span_s, self.updated_at = 0.0, 0.0, now
        self._memory_s, self._weight = memory_s, weight

    def rate(self, now: int, initial_rate: float) -> float:
        """Return the events per second, not counting those of the present moment.

        A rate that is always read just after an event would be too high.
        """
        elapsed_s = max(0, now - self.updated_at) / 1_000_000
        decay = math.exp(-elapsed_s / self._memory_s)
        self.count, self.span_s, self.updated_at = self.count * decay, self.span_s * decay + elapsed_s, now
        return (self.count + self._weight) / (self.span_s + self._weight / initial_rate)
