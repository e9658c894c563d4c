"""What the log of channels costs on disk: `python -m benchmarks.log_store [EVENTS]`; a line a figure."""

from __future__ import annotations

import random
import sys
import tempfile
import time
from pathlib import Path

from rowanrack.channels.events import START, Event, chained, packed
from rowanrack.store.log_sqlite import SqliteLog

BATCH, CHANNELS, SITES = 500, 200, 4


def made(count: int) -> list[Event]:
    """So many events as a sender notes them, over all channels and sites, from one seed."""
    rng, chains, numbers = random.Random(1), dict[tuple[str, str], bytes](), dict[tuple[str, str], int]()
    events = []
    for i in range(count):
        key = channel, site = str(rng.randrange(CHANNELS)), f"sender-{rng.randrange(SITES)}"
        data = packed({"message": f"{rng.getrandbits(64):016x}", "leg": 0, "endpoint": "10.1.2.3:8080"})
        numbers[key] = numbers.get(key, 0) + 1
        bare = Event(
            channel, site, "a1b2c3d4", numbers[key], 1_700_000_000_000_000 + i * 500, 0, "begun", data
        )
        chains[key] = chained(chains.get(key, START), bare)
        events.append(Event(*bare.stream, bare.number, bare.at, 0, bare.kind, data, chains[key]))
    return events


def main(count: int) -> None:
    """Append, read, and prune in a folder of its own."""
    events = made(count)
    with tempfile.TemporaryDirectory() as folder:
        store = SqliteLog(Path(folder) / "log.db", 1 << 30)
        store.open()
        took, peak = [], 0
        for i in range(0, count, BATCH):
            began = time.perf_counter()
            store.append(events[i : i + BATCH], {"promise": b"12345678"})
            took.append(time.perf_counter() - began)
            peak = max(peak, store.size_bytes())
        size = store.size_bytes()
        print(
            f"append: {count / sum(took):.0f} events/s in batches of {BATCH}, the longest {max(took):.3f} s"
        )
        print(f"payload: {sum(len(e.data) for e in events) / count:.0f} bytes an event")
        print(f"on disk: {size / count:.0f} bytes an event, write-ahead file included; at most {peak}")
        began = time.perf_counter()
        read = sum(len(store.ordered(str(c), None, 1 << 62, count)) for c in range(CHANNELS))
        print(f"read in order: {read / (time.perf_counter() - began):.0f} events/s")
        began = time.perf_counter()
        went = store.prune(0, size // 2, ())
        print(
            f"prune to half: {went} events in {time.perf_counter() - began:.2f} s, {store.size_bytes()} bytes"
        )
        began = time.perf_counter()
        store.close()
        store.open()
        print(f"open: {time.perf_counter() - began:.3f} s")
        began = time.perf_counter()
        store.check()
        print(f"check: {time.perf_counter() - began:.2f} s")
        store.close()


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 100_000)
