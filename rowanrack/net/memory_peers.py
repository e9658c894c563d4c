"""Notes between senders in memory and in virtual time, with the guarantees and the faults of UDP.

A note may be lost, duplicated, delayed or reordered. It is never altered and never from an unknown sender.
This is for tests and models of gossip; the sender itself uses `PeerPort`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rowanspindle.notes import Note, decode_note, encode_note

Scheduler = Callable[[int, Callable[[], None]], object]  # run an action after a delay in microseconds


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """Network faults: the fractions of datagrams lost and duplicated, and the bounds of their delay."""

    loss_fraction: float = 0.0
    duplicate_fraction: float = 0.0
    min_delay_us: int = 100
    max_delay_us: int = 100


class InMemoryNetwork:
    """The network between all senders, which are identified by number."""

    def __init__(self, schedule: Scheduler, rng: Random, faults: NetworkFaults) -> None:
        self.faults, self._schedule, self._rng = faults, schedule, rng
        self._receivers: dict[int, list[Callable[[int, Note], None]]] = {}
        self.sent = 0

    def open(self, number: int, receiver: Callable[[int, Note], None]) -> None:
        """Receive as this sender. Each datagram reaches one receiver, as with processes that share a port."""
        self._receivers.setdefault(number, []).append(receiver)

    def close(self, number: int, receiver: Callable[[int, Note], None]) -> None:
        """Stop receiving; datagrams on their way are lost."""
        self._receivers[number].remove(receiver)

    def send(self, number: int, note: Note) -> None:
        """Send a note from this sender to all others. Raise ValueError if it is too long."""
        data, faults = encode_note(note), self.faults
        self.sent += 1
        for other in self._receivers:
            if other == number:
                continue
            for _ in range(1 + (self._rng.random() < faults.duplicate_fraction)):
                if self._rng.random() >= faults.loss_fraction:
                    delay_us = self._rng.randint(faults.min_delay_us, faults.max_delay_us)
                    self._schedule(delay_us, lambda other=other: self._deliver(number, other, data))  # type: ignore[misc]

    def _deliver(self, number: int, other: int, data: bytes) -> None:
        if receivers := self._receivers[other]:
            self._rng.choice(receivers)(number, decode_note(data))
