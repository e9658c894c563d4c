"""The events of a round, as the decision module reads them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from rowanspindle import Event


class EventFeed(list[Event]):
    """Events that know how far they were read, so that a failure on one does not lose those behind it."""

    def __init__(self, events: Iterable[Event]) -> None:
        super().__init__(events)
        self.read = 0

    def __iter__(self) -> Iterator[Event]:
        """All of them from the first on; each counts as read once it is given out."""
        self.read = 0
        for event in super().__iter__():
            self.read += 1
            yield event

    def unread(self) -> EventFeed:
        """Those that were not given out."""
        return EventFeed(self[self.read :])
