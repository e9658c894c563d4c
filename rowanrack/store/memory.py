"""A message store in memory for the simulated senders, tested against the same contract as the journal."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from rowanrack.core.identity import content_digest
from rowanrack.core.messages import End, Ending, Message


@dataclass(slots=True)
class MessageState:
    """The recorded state of messages. `full` simulates a full disk under the durable copy."""

    owed: dict[str, Message] = field(default_factory=dict)
    ends: dict[str, tuple[str, End]] = field(default_factory=dict)  # front and end, by message id
    content_digests: dict[str, bytes] = field(default_factory=dict)  # of messages that have ended, by id
    told: set[str] = field(default_factory=set)
    full: bool = False

    def copy(self) -> MessageState:
        """Return a copy for one process."""
        owed = {
            i: replace(m, unsettled=dict(m.unsettled), attempts_out={}, guard_timer=None)
            for i, m in self.owed.items()
        }
        return MessageState(owed, dict(self.ends), dict(self.content_digests), set(self.told))

    def take(self, message: Message) -> None:
        """Add a message that is owed, and discard the end of an earlier message with the same id."""
        self.owed[message.id] = message
        self.ends.pop(message.id, None)
        self.told.discard(message.id)

    def begin(self, message_id: str, attempt_number: int, at_us: int) -> None:
        """Record that an attempt begins."""
        if (message := self.owed.get(message_id)) is not None:
            message.attempts_made = max(message.attempts_made, attempt_number + 1)
            message.unsettled[attempt_number] = at_us

    def never_ran(self, message_id: str, attempt_number: int) -> None:
        """Record that an attempt never ran."""
        if (message := self.owed.get(message_id)) is not None:
            message.unsettled.pop(attempt_number, None)

    def end(self, message: Message, end: End) -> None:
        """Record the end of a message."""
        self.owed.pop(message.id, None)
        self.ends[message.id] = message.front, end
        self.content_digests[message.id] = content_digest(message)


class MemoryStore:
    """The exchange's `Store` for one process; the next process is given the same durable state."""

    def __init__(self, durable: MessageState, unix_us: Callable[[], int]) -> None:
        self.durable, self.unix_us = durable, unix_us
        self.current = durable.copy()
        self._unwritten: deque[Callable[[MessageState], None]] = deque()

    @property
    def owed(self) -> dict[str, Message]:
        """The messages that are owed an end, by id."""
        return self.current.owed

    def can_record(self) -> bool:
        """Return whether new records can be written and none is waiting."""
        return not self.has_unwritten_records() and not self.durable.full

    def has_unwritten_records(self) -> bool:
        """Write waiting records if there is room; return whether any still wait."""
        while self._unwritten and not self.durable.full:
            self._unwritten.popleft()(self.durable)
        return bool(self._unwritten)

    def take(self, message: Message) -> bool:
        """Record an accepted message; return False if there is no room."""
        if not self.can_record():
            return False
        self.current.take(message)
        self.durable.take(replace(message, unsettled={}, attempts_out={}, guard_timer=None))
        return True

    def begin(self, message: Message, attempt_number: int) -> bool:
        """Record that an attempt is about to begin, with its time if the message has a key."""
        if not self.can_record():
            return False
        self.durable.begin(message.id, attempt_number, self.unix_us() if message.key else 0)
        return True

    def never_ran(self, message: Message, attempt_number: int) -> None:
        """Record that an attempt is known never to have run."""
        self._apply(lambda state: state.never_ran(message.id, attempt_number))

    def end(self, message: Message, end: End) -> None:
        """Record the final end of a message."""
        self._apply(lambda state: state.end(message, end))

    def confirm_notice(self, message_id: str) -> None:
        """Record that the notice of a message's end was confirmed."""
        self._apply(lambda state: state.told.add(message_id))

    def ended(self, message_id: str) -> End | None:
        """Return the recorded end of a message."""
        return self.current.ends.get(message_id, ("", None))[1]

    def find_in_other_process(self, message_id: str) -> Message | End | None:
        """Return None: the simulated senders have one process each."""
        return None

    def content_digest_of_ended(self, message_id: str) -> bytes:
        """Return the content digest of a message that has ended, or b"" if it is not known."""
        return self.current.content_digests.get(message_id, b"")

    def unconfirmed_notices(self, front: str) -> list[tuple[str, End]]:
        """Return a front's refused and failed messages whose notice is not yet confirmed."""
        ends = (
            (i, e) for i, (f, e) in self.current.ends.items() if f == front and i not in self.current.told
        )
        return [(i, e) for i, e in ends if e.ending in (Ending.REFUSED, Ending.FAILED)]

    def _apply(self, change: Callable[[MessageState], None]) -> None:
        change(self.current)
        self._unwritten.append(change)
        self.has_unwritten_records()
