"""A scenario's plan: who hands in what and when, and who is hit; one seed, the same bytes. No I/O."""

from __future__ import annotations

import msgspec


class Arrival(msgspec.Struct, frozen=True):
    """A message: when it is handed in, its time from then, and the senders in the order of trying."""

    at_us: int
    id: str
    cls: str
    dest: int
    left_ms: int
    order: tuple[str, ...]
