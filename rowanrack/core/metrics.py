"""The sender's figures since its start, by class, and their exposition text; no I/O, no clock."""

from __future__ import annotations

from collections import Counter

from rowanrack.core.messages import Ending

COUNTS = ("succeeded", "declined", "aborted", "forwards")
OF_ENDING = {
    Ending.DELIVERED: "succeeded",
    Ending.REFUSED: "declined",
    Ending.FAILED: "aborted",
    Ending.OVER: "aborted",
}


def _label(value: str) -> str:
    """A label's value as the exposition format writes it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Metrics:
    """Counts of messages by class: delivered, refused or handed back, failed; calls written to endpoints."""

    def __init__(self) -> None:
        self.counts: dict[str, Counter[str]] = {name: Counter() for name in COUNTS}

    def ended(self, cls: str, ending: Ending) -> None:
        """A taken message has its end."""
        self.counts[OF_ENDING[ending]][cls] += 1

    def declined(self, cls: str) -> None:
        """A message was refused before it was taken."""
        self.counts["declined"][cls] += 1

    def forwarded(self, cls: str) -> None:
        """A call of a message is about to be written to an endpoint."""
        self.counts["forwards"][cls] += 1

    def exposition(self, classes: list[str], outstanding: int, discovered: int, ejected: int) -> str:
        """All figures in the text exposition format; each class appears, with 0 where nothing happened."""
        lines: list[str] = []
        for name in COUNTS:
            lines.append(f"# TYPE svc_{name} counter")
            seen = sorted(set(classes) | set(self.counts[name]))
            lines += [f'svc_{name}{{service="{_label(c)}"}} {self.counts[name][c]}' for c in seen]
        for name, value in (("outstanding", outstanding), ("discovered", discovered), ("ejected", ejected)):
            lines += [f"# TYPE svc_{name} gauge", f"svc_{name} {value}"]
        return "\n".join(lines) + "\n"
