"""The list of events that one round passes to the decision module."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from rowanspindle import Event


class EventFeed(list[Event]):
    """Events that record how far they were read, so that a failure on one does not lose the next ones."""

    def __init__(self, events: Iterable[Event]) -> None:
        super().__init__(events)
        self.read_count = 0

    def __iter__(self) -> Iterator[Event]:
        """Iterate from the first event; an event counts as read once it has been yielded."""
        self.read_count = 0
        for event in super().__iter__():
            self.read_count += 1
            yield event

    def unread(self) -> EventFeed:
        """Return the events that have not been yielded."""
        return EventFeed(self[self.read_count :])
