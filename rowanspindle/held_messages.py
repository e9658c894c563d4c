"""What is held, in order: messages, sorted so that the few that may matter are found without a walk.

Nothing here decides. Of messages that are alike in class, share and route only the deadline differs, so worth
and urgency are functions of it, and what a decision looks for stands at the ends or beside a known deadline.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from typing import Generic, TypeVar

from rowanspindle.api import Accept, MessageClass
from rowanspindle.data_structures import RateEstimator, TimeSortedList

E = TypeVar("E")
G = TypeVar("G")

RATE_MEMORY_S = 30.0  # seconds in which a measured rate forgets: longer than an outage, shorter than a day
INITIAL_RATE_WEIGHT = 0.5  # events that a guessed rate counts for, until there are measured ones
NEVER = 1 << 62  # microseconds; no clock gets there

# The class, the share of the worth, the only zone that it may go to ("": any), and whether it is its turn.
MessageGroup = tuple[MessageClass, float, str, bool]


class Message:
    """A message that is held or out, with what is known of its attempts."""

    def __init__(self, event: Accept, cls: MessageClass, now: int, share: float) -> None:
        self.ref, self.cls, self.dest = event.ref, cls, event.dest
        self.key = event.key if cls.ordered else None
        self.deadline = now + event.left_us
        self.aim_at = self.deadline - cls.deadline_us + cls.aim_us
        self.share, self.attempts_made, self.first_attempt_zone = share, event.attempts_made, ""
        self.accepted_at = now - event.waited_us
        self.attempts_out: set[int] = set()  # the numbers of its attempts that are out
        self.first_attempt_at: int | None = now - event.first_attempt_age_us if event.may_have_run else None
        self.group: MessageGroup | None = None  # among which it is held, if it is

    def value(self, at: int, halves: bool) -> float:
        """The worth of this message if it were delivered at that time."""
        return 0.0 if at > self.deadline else self.share * self.cls.worth_at(at - self.aim_at, halves)

    def group_for(self, turn: bool) -> MessageGroup:
        """What it has in common with others: their worth and urgency differ by the deadline alone."""
        zone = self.first_attempt_zone if self.cls.same_zone and self.first_attempt_at is not None else ""
        return self.cls, self.share, zone, turn


def urgency_breakpoints(cls: MessageClass, answer: int, drain_us: int, halves: bool) -> tuple[int, ...]:
    """The deadlines at which the urgency of a class turns, given when an answer comes and the hold drains.

    That is where the worth, now or once the hold has drained, starts to fall, has fallen as far as it will,
    or is gone, and where age comes to outweigh the fall.
    """
    fall = cls.deadline_us - cls.aim_us
    if halves:
        rest = max(0, fall - int(cls.aim_us * -math.log2(max(cls.late_worth, 1e-9))))
        inner: tuple[int, ...] = (rest, rest + drain_us)
    else:
        top = fall / max(2 * (1 - cls.late_worth), 1e-9) - (cls.deadline_us + cls.aim_us) / 2
        inner = (fall - int(min(max(0, top), fall)),)
    return tuple(answer + at for at in (0, drain_us, fall, fall + drain_us, *inner))


class KeyQueue:
    """The messages of one key, in the order taken; only the first may go."""

    def __init__(self) -> None:
        self.waiting: deque[Message] = deque()
        self.attempts_out = self.rest_until = 0

    def in_turn(self, message: Message, now: int) -> bool:
        """Whether it is a message's turn: the first, with none out, and rested unless it has been tried."""
        return (
            self.waiting[0] is message
            and self.attempts_out == 0
            and (message.attempts_made > 0 or now >= self.rest_until)
        )


class HeldMessages:
    """The messages held for one destination, each sort by deadline."""

    def __init__(self) -> None:
        self.groups: dict[MessageGroup, TimeSortedList[Message]] = {}
        self.since = NEVER  # when the oldest message held was taken, as long as any is
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, message: Message, sort: MessageGroup) -> None:
        """Hold a message among its sort."""
        self.groups.setdefault(sort, TimeSortedList()).add(message.deadline, message.ref, message)
        message.group = sort
        self.since = min(self.since, message.accepted_at)
        self._count += 1

    def remove(self, message: Message) -> None:
        """Hold it no longer. Raises KeyError if it is not held here."""
        sort = message.group
        if sort is None:
            raise KeyError(message.ref)
        self.groups[sort].remove(message.deadline, message.ref)
        if not self.groups[sort]:
            del self.groups[sort]
        message.group = None
        self._count -= 1
        if not self._count:
            self.since = NEVER

    def move(self, message: Message, sort: MessageGroup) -> bool:
        """A message that is held may be of another sort by now; whether it is."""
        if message.group in (None, sort):
            return False
        since = self.since
        self.remove(message)
        self.add(message, sort)
        self.since = since
        return True

    def sendable(self) -> Iterator[tuple[MessageClass, str, TimeSortedList[Message]]]:
        """The sorts whose turn it is: class, zone and messages of each."""
        return ((cls, zone, line) for (cls, _, zone, turn), line in self.groups.items() if turn)

    def refusable(self) -> Iterator[TimeSortedList[Message]]:
        """The sorts that are not bound to the zone where they have run: coming again is safe for them."""
        return (line for (_, _, zone, _), line in self.groups.items() if not zone)


class DestinationState(Generic[E, G]):
    """What is held for a destination, and the endpoints that may take it, with the gate that they share."""

    def __init__(self) -> None:
        self.endpoints: dict[str, E] = {}
        self.shared_limit: G | None = None
        self.held = HeldMessages()
        self.choice: tuple[float, Message, E] | None = None  # the last pick
        self.opens_at = NEVER  # when the next route opens that was closed then
        self.message_rate, self.rate = (
            RateEstimator(NEVER, RATE_MEMORY_S, INITIAL_RATE_WEIGHT),
            0.0,
        )  # own messages for it, and these a second
        self.last_turn = 0.0  # of the endpoint called last; the others' lie ahead
