"""Ordered structures kept up to date, so that a round costs what happened in it. Nothing here decides.

Each does in the logarithm of its size what a walk would do in its size. Removal is lazy: an entry that is
overtaken stays in its heap until it comes up or until most of the heap is such entries. Ties go by the order
of setting, so the same events give the same order whatever the hash seed.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Callable, Hashable, Iterator
from heapq import heapify, heappop, heappush
from itertools import islice
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)
T = TypeVar("T")

SLACK = 32  # overtaken entries that a heap may hold beyond those in use, whatever its size


class DeadlineQueue(Generic[K]):
    """When each of many things falls due: one time for each key, on any clock of whole numbers."""

    def __init__(self) -> None:
        self._set: dict[K, tuple[int, int]] = {}
        self._heap: list[tuple[int, int, K]] = []
        self._turn = 0

    def __len__(self) -> int:
        return len(self._set)

    def __contains__(self, key: K) -> bool:
        return key in self._set

    def set(self, key: K, at: int) -> None:
        """The key is due at that time, and at no other."""
        known = self._set.get(key)
        if known is not None and known[0] == at:
            return
        self._turn += 1
        self._set[key] = at, self._turn
        heappush(self._heap, (at, self._turn, key))
        if len(self._heap) > 2 * len(self._set) + SLACK:
            self._heap = [(at, turn, key) for key, (at, turn) in self._set.items()]
            heapify(self._heap)

    def get(self, key: K) -> int | None:
        """When the key is due; None if it is not."""
        known = self._set.get(key)
        return None if known is None else known[0]

    def drop(self, key: K) -> None:
        """The key is not due any more."""
        self._set.pop(key, None)

    def next_at(self) -> int | None:
        """The time of the key that is due first; None without any."""
        heap = self._heap
        while heap:
            at, turn, key = heap[0]
            if self._set.get(key) == (at, turn):
                return at
            heappop(heap)
        return None

    def due(self, now: int) -> list[K]:
        """Take out the keys that are due by now, the earliest first."""
        keys: list[K] = []
        while (at := self.next_at()) is not None and at <= now:
            key = heappop(self._heap)[2]
            del self._set[key]
            keys.append(key)
        return keys


class PriorityQueue(Generic[K]):
    """Keys by a score that was right when it was looked at: the least first, the key breaking ties.

    Scores that drift are kept honest by their user, who looks again at the first few and at the stalest.
    """

    def __init__(self) -> None:
        self._set: dict[K, tuple[float, ...]] = {}  # the key looked at longest ago comes first
        self._at: dict[K, int] = {}
        self._heap: list[tuple[tuple[float, ...], int, K]] = []
        self._turns: dict[K, int] = {}
        self._turn = 0

    def __len__(self) -> int:
        return len(self._set)

    def __iter__(self) -> Iterator[K]:
        return iter(self._set)

    def __contains__(self, key: K) -> bool:
        return key in self._set

    def set(self, key: K, score: tuple[float, ...], at: int) -> None:
        """The score of a key, as it stands at that time."""
        self._turn += 1
        self._set.pop(key, None)
        self._set[key], self._at[key], self._turns[key] = score, at, self._turn
        heappush(self._heap, (score, self._turn, key))
        if len(self._heap) > 2 * len(self._set) + SLACK:
            self._heap = [(score, self._turns[key], key) for key, score in self._set.items()]
            heapify(self._heap)

    def drop(self, key: K) -> None:
        """The key has no score any more."""
        if self._set.pop(key, None) is not None:
            del self._at[key], self._turns[key]

    def clear(self) -> None:
        """No key has."""
        self._set.clear()
        self._at.clear()
        self._turns.clear()
        self._heap.clear()

    def first(self) -> K | None:
        """The key with the least score; None without any."""
        heap = self._heap
        while heap:
            _, turn, key = heap[0]
            if self._turns.get(key) == turn:
                return key
            heappop(heap)
        return None

    def first_refreshed(self, since: int, looks: int, look: Callable[[K], None]) -> K | None:
        """The first key, which was looked at later than that time or is looked at now.

        `look` sets or drops the key's score, so that another may come first: after so many looks whatever
        stands first then is returned.
        """
        for _ in range(looks):
            if (key := self.first()) is None or self._at[key] > since:
                return key
            look(key)
        return self.first()

    def refresh(self, since: int, looks: int, look: Callable[[K], None]) -> None:
        """Look at the keys that were looked at longest ago, up to so many, and not later than that time."""
        for key in list(islice(self._set, looks)):
            if self._at[key] <= since:
                look(key)


class TimeSortedList(Generic[T]):
    """Things in the order of a time each, found and taken out by it."""

    def __init__(self) -> None:
        self._items: list[tuple[int, int, T]] = []

    def __len__(self) -> int:
        return len(self._items)

    def __getitem__(self, place: int) -> T:
        return self._items[place][2]

    def add(self, at: int, tie: int, thing: T) -> None:
        """Put a thing in its place; the tie, a number of its own, parts those of one time."""
        items = self._items
        if not items or items[-1][:2] < (at, tie):
            items.append((at, tie, thing))
        else:
            items.insert(bisect_left(items, (at, tie)), (at, tie, thing))

    def remove(self, at: int, tie: int) -> None:
        """Take out the thing of that time and tie. Raises KeyError if it is not there."""
        place = bisect_left(self._items, (at, tie))
        if place == len(self._items) or self._items[place][:2] != (at, tie):
            raise KeyError((at, tie))
        del self._items[place]

    def before(self, at: int) -> int:
        """How many have an earlier time."""
        return bisect_left(self._items, (at,))

    def around(self, times: tuple[int, ...]) -> list[T]:
        """The things on both sides of each time, once each, in order; all of them if they are that few."""
        items, most = self._items, 2 * len(times)
        if len(items) <= most:
            return [item[2] for item in items]
        places: dict[int, None] = {}
        for at in times:
            place = bisect_left(items, (at,))
            if place:
                places[place - 1] = None
            if place < len(items):
                places[place] = None
        return [items[place][2] for place in sorted(places)]


def estimate_active_senders(senders: int, rate: float, age_us: int) -> float:
    """How many of some senders have work for a destination, this one included, where work has waited so long.

    At most rate x age messages came in that time, spread evenly: each other sender has some with the chance
    1 - exp(-rate x age / senders). A few count in full; of hundreds only those likely to.
    """
    return 1 - (senders - 1) * math.expm1(-rate * max(0, age_us) / 1_000_000 / senders)


class RunningMean:
    """A running mean and mean deviation of what is measured, which forget."""

    def __init__(self, weight: float) -> None:
        self.mean = self.deviation = 0.0
        self._weight, self._first = weight, 1.0  # of each new value, and squared of the first by now

    def add(self, value: float) -> None:
        """Measured once more."""
        if self.mean == 0:
            self.mean, self.deviation, self._first = float(value), value / 2, 1.0
        else:
            self._first *= (1 - self._weight) ** 2
        self.deviation += self._weight * (abs(value - self.mean) - self.deviation)
        self.mean += self._weight * (value - self.mean)

    def error(self) -> float:
        """The standard error of the mean, as far as the deviation shows it."""
        rest = (1 - self._first) * self._weight / (2 - self._weight)
        return self.deviation * math.sqrt(math.pi / 2 * (self._first + rest))


class ConcurrencyWindow:
    """A count that rises by one a round while it is in use, and falls by a factor, once for a burst."""

    def __init__(self, start: float, most: float, floor: float, cut: float) -> None:
        self.size, self.most, self.cut_at = min(start, most), most, -1
        self._floor, self._cut = floor, cut

    def grow(self, in_flight: int) -> None:
        """Rise, but only if the window was in use."""
        if in_flight + 1 >= self.size / 2:
            self.size = min(self.most, self.size + 1 / self.size)

    def cut(self, now: int, sent_at: int) -> None:
        """Fall, unless the call was sent before the last fall: it does not count again."""
        if sent_at > self.cut_at:
            self.size = max(self._floor, self.size * self._cut)
            self.cut_at = now


class TokenBucket:
    """Tokens that come at a rate; each call takes one."""

    def __init__(self, tokens: float) -> None:
        self.tokens, self.filled_at = tokens, 0

    def next_at(self, now: int, rate: float, most: float) -> int:
        """When there is a token to take, in microseconds; the rate is in tokens a second."""
        if now > self.filled_at:
            self.tokens = min(most, self.tokens + rate * (now - self.filled_at) / 1_000_000)
            self.filled_at = now
        return now if self.tokens >= 1 else now + math.ceil((1 - self.tokens) / max(rate, 1e-6) * 1_000_000)


class RateEstimator:
    """A rate measured from events, that forgets; the first guess counts like so many events."""

    def __init__(self, now: int, memory_s: float, weight: float) -> None:
        self.count, self.span, self.at = 0.0, 0.0, now
        self._memory_s, self._weight = memory_s, weight

    def rate(self, now: int, guess: float) -> float:
        """Events a second, before any that come just now: read at its own events a rate is too high."""
        gone = max(0, now - self.at) / 1_000_000
        fade = math.exp(-gone / self._memory_s)
        self.count, self.span, self.at = self.count * fade, self.span * fade + gone, now
        return (self.count + self._weight) / (self.span + self._weight / guess)
