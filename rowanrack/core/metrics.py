"""Counters since the start, and their text exposition format. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

from rowanrack.core.messages import Ending

COUNTER_NAMES = ("succeeded", "declined", "aborted", "forwards")
COUNTER_BY_ENDING = {
    Ending.DELIVERED: "succeeded",
    Ending.REFUSED: "declined",
    Ending.FAILED: "aborted",
    Ending.WITHDRAWN: "aborted",
}


class HeldBackReason(Enum):
    """Why a call that was decided on is not begun."""

    RETRY_AFTER_WAIT = "wait"  # the destination has asked for a wait in the meantime
    MESSAGE_ENDED = "ended"
    ENDPOINT_CLOSED = "endpoint"  # the endpoint drains, was removed or was detached
    KEY_EXPIRED = "key"  # a repeated call is no longer safe
    NOT_RECORDED = "journal"  # the journal could not record it


class HeldAnswerEnd(Enum):
    """How the wait for another response ended behind an answer that may belong to an earlier call."""

    CONFIRMED = "confirmed"  # none came: it is the answer to its call
    FOLLOWED = "followed"  # another response, or the end of the connection
    ABANDONED = "abandoned"  # its call was given up meanwhile


class ClientCloseReason(Enum):
    """Why the sender ended the connection of a client, other than after its last answer."""

    BAD_INPUT = "bad_input"
    REQUEST_TIMEOUT = "timeout"  # a request did not arrive completely in time
    PROCESSOR_TIME = "cpu"  # reading an incomplete request used too much of an overloaded core
    MEMORY = "memory"  # an incomplete request held memory that others needed
    IDLE = "idle"  # silent for too long
    EVICTED = "evicted"  # closed to make room for another connection
    LEFT = "left"  # the client has closed, and requests were unread


def _label(value: str) -> str:
    """Escape a label value for the exposition format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Metrics:
    """Counts by class: messages delivered, refused or handed back, and failed; calls sent to endpoints.

    Over all classes: retry-after waits that answers asked for, calls that were held back, connections to
    endpoints on which bytes came that answer no call, answers held as they may belong to another call, and
    connections of clients that the sender closed.
    """

    def __init__(self) -> None:
        self.counts: dict[str, Counter[str]] = {name: Counter() for name in COUNTER_NAMES}
        self.waits_told = 0
        self.unsolicited_responses = 0
        self.held_back_calls: Counter[HeldBackReason] = Counter()
        self.held_answers: Counter[HeldAnswerEnd] = Counter()
        self.closed_clients: Counter[ClientCloseReason] = Counter()

    def ended(self, cls: str, ending: Ending) -> None:
        """Count the final answer to an accepted message."""
        self.counts[COUNTER_BY_ENDING[ending]][cls] += 1

    def declined(self, cls: str) -> None:
        """Count a message that was refused before it was accepted."""
        self.counts["declined"][cls] += 1

    def forwarded(self, cls: str) -> None:
        """Count a call that is about to be sent to an endpoint."""
        self.counts["forwards"][cls] += 1

    def exposition(
        self,
        classes: list[str],
        outstanding: int,
        discovered: int,
        ejected: int,
        waits: int = 0,
        process_gauges: Mapping[str, int] = MappingProxyType({}),
    ) -> str:
        """Return all metrics in the text exposition format; each class is listed, if only with 0."""
        lines: list[str] = []
        for name in COUNTER_NAMES:
            lines.append(f"# TYPE svc_{name} counter")
            seen = sorted(set(classes) | set(self.counts[name]))
            lines += [f'svc_{name}{{service="{_label(c)}"}} {self.counts[name][c]}' for c in seen]
        lines += ["# TYPE svc_waits_told counter", f"svc_waits_told {self.waits_told}"]
        lines.append("# TYPE svc_held_back counter")
        lines += [
            f'svc_held_back{{reason="{reason.value}"}} {self.held_back_calls[reason]}'
            for reason in HeldBackReason
        ]
        lines.append("# TYPE svc_held_answers counter")
        lines += [f'svc_held_answers{{end="{end.value}"}} {self.held_answers[end]}' for end in HeldAnswerEnd]
        lines.append("# TYPE svc_closed_clients counter")
        lines += [
            f'svc_closed_clients{{reason="{reason.value}"}} {self.closed_clients[reason]}'
            for reason in ClientCloseReason
        ]
        lines.append("# TYPE svc_unsolicited_responses counter")
        lines.append(f"svc_unsolicited_responses {self.unsolicited_responses}")
        gauges = {"outstanding": outstanding, "discovered": discovered, "ejected": ejected, "waits": waits}
        for name, value in {**gauges, **process_gauges}.items():
            lines += [f"# TYPE svc_{name} gauge", f"svc_{name} {value}"]
        return "\n".join(lines) + "\n"
