"""The held messages, sorted so that the few candidates of a decision are found without a scan.

This module makes no decisions. Messages with the same class, share and zone differ only in the deadline, so
their value and urgency are functions of it. The message that a decision looks for is at one of the ends of
the group or next to a known deadline.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from typing import Generic, TypeVar

from rowanspindle.api import Accept, MessageClass
from rowanspindle.data_structures import RateEstimator, TimeSortedList

EndpointT = TypeVar("EndpointT")
LimitT = TypeVar("LimitT")

RATE_MEMORY_S = 30.0  # time constant of measured rates: longer than an outage, shorter than a day
INITIAL_RATE_WEIGHT = 0.5  # weight of the initial rate, in events, until events have been measured
NEVER_US = 1 << 62  # microseconds; a time that no clock reaches

# The class, the factor on the value, the only zone allowed ("": any), and whether it is the message's turn.
MessageGroup = tuple[MessageClass, float, str, bool]


class Message:
    """A message that is held or has attempts in flight, and what is known of its attempts."""

    def __init__(self, event: Accept, cls: MessageClass, now: int, share: float) -> None:
        self.ref, self.cls, self.dest = event.ref, cls, event.dest
        self.key = event.key if cls.ordered else None
        self.deadline = now + event.time_left_us
        self.target_at = self.deadline - cls.deadline_us + cls.aim_us
        self.value_factor, self.attempts_made, self.first_attempt_zone = share, event.attempts_made, ""
        self.accepted_at = now - event.waited_us
        self.attempts_out: set[int] = set()  # the numbers of its attempts in flight
        self.first_attempt_at: int | None = now - event.first_attempt_age_us if event.may_have_run else None
        self.group: MessageGroup | None = None  # the group in which it is held; None if it is not held

    def value(self, at: int, halves: bool) -> float:
        """Return the value of this message if it were delivered at that time."""
        return (
            0.0 if at > self.deadline else self.value_factor * self.cls.value_at(at - self.target_at, halves)
        )

    def group_for(self, in_turn: bool) -> MessageGroup:
        """Return its group. Value and urgency of the messages of a group differ by the deadline alone."""
        zone = self.first_attempt_zone if self.cls.same_zone and self.first_attempt_at is not None else ""
        return self.cls, self.value_factor, zone, in_turn


def urgency_breakpoints(cls: MessageClass, answer_at: int, drain_us: int, halves: bool) -> tuple[int, ...]:
    """Return the deadlines at which the urgency of a class changes its trend.

    `answer_at` is when an answer is expected, `drain_us` how long the held messages take to drain. The trend
    changes where the value, now or after draining, starts to fall, has reached its minimum or is gone, and
    where the message's age begins to outweigh the fall.
    """
    decay_us = cls.deadline_us - cls.aim_us
    if halves:
        decay_end_us = max(0, decay_us - int(cls.aim_us * -math.log2(max(cls.late_worth, 1e-9))))
        inner_offsets: tuple[int, ...] = (decay_end_us, decay_end_us + drain_us)
    else:
        age_dominates_us = decay_us / max(2 * (1 - cls.late_worth), 1e-9) - (cls.deadline_us + cls.aim_us) / 2
        inner_offsets = (decay_us - int(min(max(0, age_dominates_us), decay_us)),)
    return tuple(
        answer_at + offset for offset in (0, drain_us, decay_us, decay_us + drain_us, *inner_offsets)
    )


class KeyQueue:
    """The messages of one key, in the order of acceptance; only the first may be sent."""

    def __init__(self) -> None:
        self.waiting: deque[Message] = deque()
        self.attempts_out = self.resting_until = 0

    def may_send(self, message: Message, now: int) -> bool:
        """Return whether a message may be sent: it is the first of its key and no attempt is in flight.

        The rest time of the key must have passed too, unless the message has been attempted before.
        """
        return (
            self.waiting[0] is message
            and self.attempts_out == 0
            and (message.attempts_made > 0 or now >= self.resting_until)
        )


class HeldMessages:
    """The messages held for one destination, in groups sorted by deadline."""

    def __init__(self) -> None:
        self.groups: dict[MessageGroup, TimeSortedList[Message]] = {}
        self.oldest_accepted_at = NEVER_US  # when the oldest held message was accepted; NEVER_US without any
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, message: Message, group: MessageGroup) -> None:
        """Add a message to a group."""
        self.groups.setdefault(group, TimeSortedList()).add(message.deadline, message.ref, message)
        message.group = group
        self.oldest_accepted_at = min(self.oldest_accepted_at, message.accepted_at)
        self._count += 1

    def remove(self, message: Message) -> None:
        """Remove a message. Raises KeyError if it is not held here."""
        group = message.group
        if group is None:
            raise KeyError(message.ref)
        self.groups[group].remove(message.deadline, message.ref)
        if not self.groups[group]:
            del self.groups[group]
        message.group = None
        self._count -= 1
        if not self._count:
            self.oldest_accepted_at = NEVER_US

    def move_to_group(self, message: Message, group: MessageGroup) -> bool:
        """Move a held message to a group. Returns whether it is held and was in another group."""
        if message.group in (None, group):
            return False
        since = self.oldest_accepted_at
        self.remove(message)
        self.add(message, group)
        self.oldest_accepted_at = since
        return True

    def sendable(self) -> Iterator[tuple[MessageClass, str, TimeSortedList[Message]]]:
        """Yield class, zone and messages of each group whose messages may be sent now."""
        return ((cls, zone, messages) for (cls, _, zone, in_turn), messages in self.groups.items() if in_turn)

    def refusable(self) -> Iterator[TimeSortedList[Message]]:
        """Yield the groups not bound to the zone of an earlier attempt; their clients may safely retry."""
        return (messages for (_, _, zone, _), messages in self.groups.items() if not zone)


class DestinationState(Generic[EndpointT, LimitT]):
    """The held messages of a destination, its endpoints, and the limit that these share."""

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointT] = {}
        self.shared_limit: LimitT | None = None
        self.held = HeldMessages()
        self.pick: tuple[float, Message, EndpointT] | None = (
            None  # the last selection: urgency, message and endpoint
        )
        self.next_opening_at = NEVER_US  # when the next endpoint that was closed opens
        # The rate of own messages for this destination: its estimator and its last value per second.
        self.message_rate, self.rate = RateEstimator(NEVER_US, RATE_MEMORY_S, INITIAL_RATE_WEIGHT), 0.0
        self.last_turn = 0.0  # the turn of the endpoint called last; the other endpoints have later ones
