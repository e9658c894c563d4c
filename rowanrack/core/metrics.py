"""Counters by message class since the start, and their text exposition format. No I/O, no clock."""

from __future__ import annotations

from collections import Counter

from rowanrack.core.messages import Ending

COUNTER_NAMES = ("succeeded", "declined", "aborted", "forwards")
COUNTER_BY_ENDING = {
    Ending.DELIVERED: "succeeded",
    Ending.REFUSED: "declined",
    Ending.FAILED: "aborted",
    Ending.WITHDRAWN: "aborted",
}


def _label(value: str) -> str:
    """Escape a label value for the exposition format."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Metrics:
    """Counts by class: messages delivered, refused or handed back, and failed; calls sent to endpoints."""

    def __init__(self) -> None:
        self.counts: dict[str, Counter[str]] = {name: Counter() for name in COUNTER_NAMES}

    def ended(self, cls: str, ending: Ending) -> None:
        """Count the final answer to an accepted message."""
        self.counts[COUNTER_BY_ENDING[ending]][cls] += 1

    def declined(self, cls: str) -> None:
        """Count a message that was refused before it was accepted."""
        self.counts["declined"][cls] += 1

    def forwarded(self, cls: str) -> None:
        """Count a call that is about to be sent to an endpoint."""
        self.counts["forwards"][cls] += 1

    def exposition(self, classes: list[str], outstanding: int, discovered: int, ejected: int) -> str:
        """Return all metrics in the text exposition format; each class is listed, if only with 0."""
        lines: list[str] = []
        for name in COUNTER_NAMES:
            lines.append(f"# TYPE svc_{name} counter")
            seen = sorted(set(classes) | set(self.counts[name]))
            lines += [f'svc_{name}{{service="{_label(c)}"}} {self.counts[name][c]}' for c in seen]
        for name, value in (("outstanding", outstanding), ("discovered", discovered), ("ejected", ejected)):
            lines += [f"# TYPE svc_{name} gauge", f"svc_{name} {value}"]
        return "\n".join(lines) + "\n"
