"""A store in memory: the model's senders use it, and the contract of stores holds it beside the journal."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from rowanrack.core.messages import End, Ending, Message


@dataclass(slots=True)
class Shelf:
    """What is known of messages. The one that outlasts the process may be full, as a disk may be."""

    owed: dict[str, Message] = field(default_factory=dict)
    ends: dict[str, tuple[str, End]] = field(default_factory=dict)  # with the message's front
    told: set[str] = field(default_factory=set)
    full: bool = False

    def copy(self) -> Shelf:
        """The same for a process of its own."""
        owed = {i: replace(m, unsettled=dict(m.unsettled), out={}, guard=None) for i, m in self.owed.items()}
        return Shelf(owed, dict(self.ends), set(self.told))

    def take(self, message: Message) -> None:
        """A message is owed; if it came before, that end does not count any more."""
        self.owed[message.id] = message
        self.ends.pop(message.id, None)
        self.told.discard(message.id)

    def begin(self, message_id: str, attempt_number: int, at_us: int) -> None:
        """An attempt begins."""
        if (message := self.owed.get(message_id)) is not None:
            message.attempts_made = max(message.attempts_made, attempt_number + 1)
            message.unsettled[attempt_number] = at_us

    def never_ran(self, message_id: str, attempt_number: int) -> None:
        """It has never run."""
        if (message := self.owed.get(message_id)) is not None:
            message.unsettled.pop(attempt_number, None)

    def end(self, message: Message, end: End) -> None:
        """A message has ended."""
        self.owed.pop(message.id, None)
        self.ends[message.id] = message.front, end


class MemoryStore:
    """The exchange's `Store` of one process; the next process gets the same shelf."""

    def __init__(self, shelf: Shelf, unix_us: Callable[[], int]) -> None:
        self.shelf, self.unix_us = shelf, unix_us
        self.now = shelf.copy()
        self._unwritten: deque[Callable[[Shelf], None]] = deque()

    @property
    def owed(self) -> dict[str, Message]:
        """The messages that are owed."""
        return self.now.owed

    def recording(self) -> bool:
        """Whether the shelf has room, and nothing waits."""
        return not self.behind() and not self.shelf.full

    def behind(self) -> bool:
        """Whether something waits to be written."""
        while self._unwritten and not self.shelf.full:
            self._unwritten.popleft()(self.shelf)
        return bool(self._unwritten)

    def take(self, message: Message) -> bool:
        """Record a message."""
        if not self.recording():
            return False
        self.now.take(message)
        self.shelf.take(replace(message, unsettled={}, out={}, guard=None))
        return True

    def begin(self, message: Message, attempt_number: int) -> bool:
        """Record that an attempt is about to begin, and when if the message has a key."""
        if not self.recording():
            return False
        self.shelf.begin(message.id, attempt_number, self.unix_us() if message.key else 0)
        return True

    def never_ran(self, message: Message, attempt_number: int) -> None:
        """Record the proof that an attempt never ran."""
        self._record(lambda shelf: shelf.never_ran(message.id, attempt_number))

    def end(self, message: Message, end: End) -> None:
        """Record the one end of a message."""
        self._record(lambda shelf: shelf.end(message, end))

    def told(self, message_id: str) -> None:
        """Record that the notice of an end is confirmed."""
        self._record(lambda shelf: shelf.told.add(message_id))

    def ended(self, message_id: str) -> End | None:
        """The recorded end of a message."""
        return self.now.ends.get(message_id, ("", None))[1]

    def untold(self, front: str) -> list[tuple[str, End]]:
        """Refusals and failures of a front's messages whose notice is not confirmed."""
        ends = ((i, e) for i, (f, e) in self.now.ends.items() if f == front and i not in self.now.told)
        return [(i, e) for i, e in ends if e.ending in (Ending.REFUSED, Ending.FAILED)]

    def _record(self, change: Callable[[Shelf], None]) -> None:
        change(self.now)
        self._unwritten.append(change)
        self.behind()
