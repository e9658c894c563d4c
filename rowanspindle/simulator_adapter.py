"""The adapter: hosts forwarders behind the simulator's wire. It decides nothing."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from rowanspindle import wire
from rowanspindle.api import EndpointEntry, EndpointListUpdate, Event
from rowanspindle.logic import Forwarder


class SimulatorAdapter:
    """The forwarders of one process; they share nothing but the numbered lists read from the wire."""

    def __init__(self) -> None:
        self.forwarders: dict[str, Forwarder] = {}
        self.lists: dict[int, tuple[EndpointEntry, ...]] = {}
        self.batch: dict[str, list[Event]] = {}
        self.name: str | None = None
        self.line_number = 0

    def line(self, source: TextIO) -> str | None:
        """The next line without its end, or None at the end of the input."""
        raw = source.readline()
        if not raw:
            return None
        self.line_number += 1
        if not raw.endswith("\n"):
            raise wire.WireError("the line is cut off")
        return raw[:-1]

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Answer every batch until the input ends."""
        while (line := self.line(source)) is not None:
            if not line:
                continue
            word = line.split(" ", 1)[0]
            if word != "TICK":
                raise wire.WireError(f"a batch begins with TICK, not {word!r}")
            sink.write("\n".join([*self.answer(wire.whole(wire.fields(line, 1)[0]), source), "READY", ""]))
            sink.flush()

    def answer(self, now: int, source: TextIO) -> Iterator[str]:
        """Read one batch and yield the lines of its reply."""
        self.name, self.batch = None, {}
        while True:
            line = self.line(source)
            if line is None:
                raise wire.WireError("the input ends inside a batch")
            if line == "EOB":
                break
            self.read(line, source)
        for name, events in self.batch.items():
            actions = self.forwarders[name].decide(now, events)
            if actions:
                yield f"INSTANCE {name}"
                yield from map(wire.format_action, actions)

    def read(self, line: str, source: TextIO) -> None:
        """Take in one line of a batch."""
        word = line.split(" ", 1)[0]
        if word == "TO":
            self.name = wire.fields(line, 1)[0]
            return
        if word == "CENSUS":
            slot, count = map(wire.whole, wire.fields(line, 2))
            self.lists[slot] = tuple(self.entry(source) for _ in range(count))
            return
        name = self.name
        if name is None:
            raise wire.WireError(f"{word!r} before any TO")
        if word == "INIT":
            parts = line.split(" ", 2)
            if len(parts) < 3:
                raise wire.WireError("INIT needs a seed and settings")
            self.forwarders[name] = Forwarder(wire.parse_settings(parts[2]), wire.whole(parts[1]))
            self.batch[name] = []
            return
        if name not in self.forwarders:
            raise wire.WireError(f"unknown instance {name!r}")
        if word == "DESTROY":
            del self.forwarders[name]
            self.batch.pop(name, None)
        elif word == "BACKENDS_CHANGED":
            self.batch.setdefault(name, []).append(self.members(line))
        elif word in wire.EVENTS:
            events, event = self.batch.setdefault(name, []), wire.EVENTS[word](line)
            if event is not None:
                events.append(event)
        elif word in wire.IGNORED:
            self.batch.setdefault(name, [])
        else:
            raise wire.WireError(f"unknown message {word!r}")

    def entry(self, source: TextIO) -> EndpointEntry:
        """The next line, which must be an entry of a numbered list."""
        line = self.line(source)
        if line is None or line.split(" ", 1)[0] != "ENTRY":
            raise wire.WireError("an ENTRY is missing from a list")
        return wire.parse_entry(line)

    def members(self, line: str) -> EndpointListUpdate:
        """News of the list, with the entries of its numbered list."""
        word, _version, slot = wire.fields(line, 3)
        scope = wire.pick(wire.SCOPES, word, "scope")
        if word == "failed":
            return EndpointListUpdate(scope)
        return EndpointListUpdate(scope, self.listed(wire.whole(slot)))

    def listed(self, slot: int) -> tuple[EndpointEntry, ...]:
        """The entries of a numbered list."""
        if slot not in self.lists:
            raise wire.WireError(f"unknown list {slot}")
        return self.lists[slot]


def main() -> int:
    """Run the adapter on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    drill = SimulatorAdapter()
    try:
        drill.run(sys.stdin, sys.stdout)
    except (ValueError, UnicodeError) as error:
        print(f"rowanspindle: line {drill.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
