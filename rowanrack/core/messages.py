"""The types of the core: messages, attempts, final answers and endpoints."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from rowanrack.core.wheel import WheelTimer
from rowanspindle import EndpointEntry, EndpointStatus, Result

HEADER_SAFE = re.compile(r"[!-~]{1,256}")  # ids and keys are sent as HTTP header values


class Ending(Enum):
    """How a message ended. WITHDRAWN: the client has withdrawn it and expects no answer."""

    DELIVERED = "delivered"
    REFUSED = "refused"
    FAILED = "failed"
    WITHDRAWN = "over"


class Progress(Enum):
    """How far a call has come at the moment when it is to be given up."""

    # The kernel has not been given its last byte, so the call cannot run if it is closed now.
    UNSENT = "unsent"
    SENT = "sent"
    ENDING = "ending"  # an answer, or the end of the connection, has begun to arrive


@dataclass(frozen=True, slots=True)
class End:
    """The final answer to a message; a refusal carries the time after which to retry."""

    ending: Ending
    retry_us: int = 0


DELIVERED = End(Ending.DELIVERED)  # the usual end, of which thousands are kept


@dataclass(frozen=True, slots=True)
class Refusal:
    """The message was not accepted; it is safe to submit it again after this time."""

    retry_us: int


@dataclass(frozen=True, slots=True)
class CallVerdict:
    """The consequence of a call's end for an attempt; with `end`, its message ends whatever the result.

    `remaining_share` and `limit` come from the endpoint's load report: the remaining share of its limit, and
    the limit in calls per second.
    """

    result: Result
    wait_us: int = 0
    end: Ending | None = None
    remaining_share: float | None = None
    limit: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as the endpoint list holds it."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    dest: int
    status: EndpointStatus
    rate: float
    born_ms: int = 0  # when its process started, in Unix time; 0 if unknown or long ago

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.host, self.port

    def is_same_process(self, other: Endpoint) -> bool:
        """Return whether a connection to the other one leads to this process, as far as is known."""
        return (self.address, self.born_ms) == (other.address, other.born_ms)

    def to_entry(self) -> EndpointEntry:
        """Return the entry that the decision module uses."""
        return EndpointEntry(self.name, self.zone, self.kind, self.dest, self.status, self.rate)


@dataclass(slots=True)
class Message:
    """An accepted message. The deadline is Unix time, so that it stays valid across a restart."""

    id: str
    cls: str
    tenant: str
    dest: int
    deadline_us: int
    body: bytes
    front: str
    form: str = ""
    key: str = ""  # idempotency key, forwarded unchanged
    attempts_made: int = 0
    # Attempts that began and may have run, with their start in Unix time (0 if unknown).
    unsettled: dict[int, int] = field(default_factory=dict)
    ref: int = 0
    attempts_out: dict[int, Attempt] = field(default_factory=dict)
    guard_timer: WheelTimer | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to deliver a message to an endpoint."""

    message: Message
    attempt_number: int
    endpoint: Endpoint
    started_us: int
    timeout_us: int
    batch: Batch
    timer: WheelTimer | None = None
    begun: bool = False
    settled: bool = False
    answer_status: int = 0  # of the last response to its call; 0 if none was read
    # The result if the shared call, which goes on for other attempts, reports none.
    abandoned_as: Result | None = None


@dataclass(slots=True, eq=False)
class Batch:
    """Attempts sent to an endpoint together: they use one slot, and one call if the protocol supports it."""

    endpoint: Endpoint
    attempts: list[Attempt] = field(default_factory=list)

    def waiting(self) -> list[Attempt]:
        """Return the attempts that have not been sent yet."""
        return [e for e in self.attempts if not (e.begun or e.settled)]
