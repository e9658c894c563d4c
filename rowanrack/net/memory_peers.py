"""Notes between senders in memory and in virtual time: what the UDP port promises, and all that it may do.

A note may be lost, come twice, late, or behind a later one. It is never altered and never from a stranger.
For the tests and models of what senders believe; the sender itself uses `PeerPort`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rowanspindle.notes import Note, decode_note, encode_note

Later = Callable[[int, Callable[[], None]], object]  # do something after so many microseconds


@dataclass(frozen=True, slots=True)
class Weather:
    """What becomes of a datagram: parts of all that are lost or doubled, and the bounds of its delay."""

    lost: float = 0.0
    doubled: float = 0.0
    least_us: int = 100
    most_us: int = 100


class Hub:
    """The way between all senders; each is heard by the others under its number."""

    def __init__(self, later: Later, rng: Random, weather: Weather) -> None:
        self.weather, self._later, self._rng = weather, later, rng
        self._heard: dict[int, list[Callable[[int, Note], None]]] = {}
        self.sent = 0

    def open(self, number: int, heard: Callable[[int, Note], None]) -> None:
        """Hear as this sender. Of two that do, one gets a datagram, as of two that share a port."""
        self._heard.setdefault(number, []).append(heard)

    def close(self, number: int, heard: Callable[[int, Note], None]) -> None:
        """Hear no more; what is under way to it is lost."""
        self._heard[number].remove(heard)

    def tell(self, number: int, note: Note) -> None:
        """A note from this sender to all others. Raises ValueError for one that is too long."""
        data, weather = encode_note(note), self.weather
        self.sent += 1
        for other in self._heard:
            if other == number:
                continue
            for _ in range(1 + (self._rng.random() < weather.doubled)):
                if self._rng.random() >= weather.lost:
                    delay = self._rng.randint(weather.least_us, weather.most_us)
                    self._later(delay, lambda other=other: self._arrive(number, other, data))  # type: ignore[misc]

    def _arrive(self, number: int, other: int, data: bytes) -> None:
        if heard := self._heard[other]:
            self._rng.choice(heard)(number, decode_note(data))
