"""What the core owns: messages, their attempts and their ends, and the instances that may take them."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from rowanrack.core.wheel import WheelTimer
from rowanspindle import EndpointEntry, EndpointStatus, Result

HEADER_SAFE = re.compile(r"[!-~]{1,256}")  # ids and keys travel in headers


class Ending(Enum):
    """How a message ended. OVER: its client wants it no more, and nothing is owed."""

    DELIVERED = "delivered"
    REFUSED = "refused"
    FAILED = "failed"
    OVER = "over"


class Progress(Enum):
    """How far a call has come that is about to be given up."""

    UNSENT = "unsent"  # the kernel lacks its last byte: given up now, it never runs
    SENT = "sent"
    ENDING = "ending"  # an answer, or the connection's end, has begun to come in


@dataclass(frozen=True, slots=True)
class End:
    """The one end of a message; a refusal says when to come again."""

    ending: Ending
    retry_us: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The message is not taken; handing it in again after this time is harmless."""

    retry_us: int


@dataclass(frozen=True, slots=True)
class CallVerdict:
    """What the end of a call means for an attempt; with `end` its message ends, whatever the result.

    `left` and `limit` are what a report told: the share of the limit that is left, and calls a second.
    """

    result: Result
    wait_us: int = 0
    end: Ending | None = None
    left: float | None = None
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as the name table lists it."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    dest: int
    status: EndpointStatus
    rate: float

    def to_entry(self) -> EndpointEntry:
        """The same in the module's terms."""
        return EndpointEntry(self.name, self.zone, self.kind, self.dest, self.status, self.rate)


@dataclass(slots=True)
class Message:
    """A message that was taken. Its deadline is Unix time, so that it holds across a restart."""

    id: str
    cls: str
    tenant: str
    dest: int
    deadline_us: int
    body: bytes
    front: str
    form: str = ""
    key: str = ""  # the idempotency key, passed on unchanged
    attempts_made: int = 0
    # Attempts begun and not proved never to have run, and when each began (Unix time; 0: not known).
    unsettled: dict[int, int] = field(default_factory=dict)
    ref: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)
    guard: WheelTimer | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to deliver a message to an instance."""

    message: Message
    attempt_number: int
    endpoint: Endpoint
    started_us: int
    timeout_us: int
    batch: Batch
    timer: WheelTimer | None = None
    begun: bool = False
    settled: bool = False
    given_up: Result | None = None  # how it ends unless its call, which goes on for others, says otherwise


@dataclass(slots=True, eq=False)
class Batch:
    """Attempts that travel to an instance together: one slot, and one call where the protocol has one."""

    endpoint: Endpoint
    attempts: list[Attempt] = field(default_factory=list)

    def waiting(self) -> list[Attempt]:
        """Those that are still to be written."""
        return [e for e in self.attempts if not (e.begun or e.settled)]
