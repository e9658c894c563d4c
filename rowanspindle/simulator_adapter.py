"""The adapter that runs forwarders behind the simulator's line protocol. It makes no decisions."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from rowanspindle import wire
from rowanspindle.api import EndpointEntry, EndpointListUpdate, Event
from rowanspindle.logic import Forwarder


class SimulatorAdapter:
    """The forwarders of one process. They share only the numbered endpoint lists of the protocol."""

    def __init__(self) -> None:
        self.forwarders: dict[str, Forwarder] = {}
        self.numbered_lists: dict[int, tuple[EndpointEntry, ...]] = {}
        self.events: dict[str, list[Event]] = {}
        self.current_name: str | None = None
        self.line_number = 0

    def read_line(self, source: TextIO) -> str | None:
        """Read the next line, without its newline; None at the end of the input."""
        line = source.readline()
        if not line:
            return None
        self.line_number += 1
        if not line.endswith("\n"):
            raise wire.WireError("the line is cut off before its newline")
        return line[:-1]

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Process every batch until the input ends."""
        while (line := self.read_line(source)) is not None:
            if not line:
                continue
            word = line.split(" ", 1)[0]
            if word != "TICK":
                raise wire.WireError(f"a batch must begin with TICK, not {word!r}")
            sink.write(
                "\n".join(
                    [*self.process_batch(wire.parse_int(wire.split_values(line, 1)[0]), source), "READY", ""]
                )
            )
            sink.flush()

    def process_batch(self, now: int, source: TextIO) -> Iterator[str]:
        """Process one batch and yield the lines of its reply."""
        self.current_name, self.events = None, {}
        while True:
            line = self.read_line(source)
            if line is None:
                raise wire.WireError("the input ends inside a batch, before EOB")
            if line == "EOB":
                break
            self.process_line(line, source)
        for name, events in self.events.items():
            actions = self.forwarders[name].decide(now, events)
            if actions:
                yield f"INSTANCE {name}"
                yield from map(wire.format_action, actions)

    def process_line(self, line: str, source: TextIO) -> None:
        """Process one line of a batch."""
        word = line.split(" ", 1)[0]
        if word == "TO":
            self.current_name = wire.split_values(line, 1)[0]
            return
        if word == "CENSUS":
            list_number, count = map(wire.parse_int, wire.split_values(line, 2))
            self.numbered_lists[list_number] = tuple(self.read_entry(source) for _ in range(count))
            return
        name = self.current_name
        if name is None:
            raise wire.WireError(f"{word!r} before any TO")
        if word == "INIT":
            parts = line.split(" ", 2)
            if len(parts) < 3:
                raise wire.WireError("INIT needs a seed and settings")
            self.forwarders[name] = Forwarder(wire.parse_settings(parts[2]), wire.parse_int(parts[1]))
            self.events[name] = []
            return
        if name not in self.forwarders:
            raise wire.WireError(f"unknown instance {name!r}")
        if word == "DESTROY":
            del self.forwarders[name]
            self.events.pop(name, None)
        elif word == "BACKENDS_CHANGED":
            self.events.setdefault(name, []).append(self.parse_list_update(line))
        elif word in wire.EVENT_PARSERS:
            events, event = self.events.setdefault(name, []), wire.EVENT_PARSERS[word](line)
            if event is not None:
                events.append(event)
        elif word in wire.IGNORED_EVENTS:
            self.events.setdefault(name, [])
        else:
            raise wire.WireError(f"unknown message {word!r}")

    def read_entry(self, source: TextIO) -> EndpointEntry:
        """Read the next line, which must be an entry of a numbered list."""
        line = self.read_line(source)
        if line is None or line.split(" ", 1)[0] != "ENTRY":
            raise wire.WireError("expected an ENTRY line of a numbered list")
        return wire.parse_entry(line)

    def parse_list_update(self, line: str) -> EndpointListUpdate:
        """Parse an update of the endpoint list; its entries are those of the numbered list that it names."""
        word, _version, list_number = wire.split_values(line, 3)
        scope = wire.lookup(wire.SCOPES, word, "scope")
        if word == "failed":
            return EndpointListUpdate(scope)
        return EndpointListUpdate(scope, self.numbered_list(wire.parse_int(list_number)))

    def numbered_list(self, list_number: int) -> tuple[EndpointEntry, ...]:
        """Return the entries of a numbered list. Raises WireError if there is no such list."""
        if list_number not in self.numbered_lists:
            raise wire.WireError(f"unknown list {list_number}")
        return self.numbered_lists[list_number]


def main() -> int:
    """Run the adapter on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    adapter = SimulatorAdapter()
    try:
        adapter.run(sys.stdin, sys.stdout)
    except (ValueError, UnicodeError) as error:
        print(f"rowanspindle: line {adapter.line_number}: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
