"""What a read of the past costs beside disk and network: who kept a channel then, the fold, the decisions.

`python -m benchmarks.layouts [LAYOUTS] [SITES] [EVENTS]` prints microseconds as JSON.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable, Sequence

import msgspec

from rowanrack.channels.events import BEGUN, DELIVERED, FLEET, KEPT, LAYOUT, TAKEN, Event, Gap, Place, packed
from rowanrack.channels.layout import Layouts
from rowanrack.channels.reads import Query, Request, Router, Settings, give

DAY_US = 86_400_000_000
START_US = 1_700_000_000_000_000
CHANNELS = 1000
KINDS = TAKEN, BEGUN, DELIVERED


class Memory:
    """A keeper's log with one channel, 7, in memory."""

    def __init__(self, site: str, count: int) -> None:
        self.site = site
        self.events = []
        for n in range(1, count + 1):
            data = packed({"message": n // 3, "leg": 0, "endpoint": f"lab-{n % 9}"})
            self.events.append(Event("7", site, "1", n, START_US + n, 0, KINDS[n % 3], data))

    def read(self, channel: str, since: Place | None, until_us: int, limit: int) -> Sequence[Event]:
        """The next events: their numbers are their places."""
        start = since.number if since is not None else 0
        return self.events[start : start + limit] if channel == "7" else []

    def gaps(self, channel: str) -> list[Gap]:
        """None."""
        return []

    def settled_until(self, channel: str) -> tuple[int, list[str]]:
        """All of it."""
        return START_US * 2, []


def read_costs(layouts: Layouts, count: int) -> dict[str, float]:
    """One read of a channel with so many events: the keeper's answer, and all that the reader does."""
    router, at = Router(Settings("office")), START_US * 3 // 2
    began = time.perf_counter()
    read = router.read(Query("7", at), layouts, 0, at)
    (ask, *_) = read.next(0)
    assert isinstance(ask, Request)
    asked, log = time.perf_counter(), Memory(ask.keeper, count)
    made = time.perf_counter()
    body = msgspec.msgpack.encode(give(log, layouts, ask.part))
    given = time.perf_counter()
    router.answered(ask, body, 1)
    read.next(1)
    over = time.perf_counter()
    return {"give_us": (given - made) * 1e6, "reader_us": (asked - began + over - given) * 1e6}


def history(count: int, sites: int) -> Layouts:
    """So many layouts, one a day, each without another site, all confirmed; now is a day after the last."""
    names = [f"site-{number:03d}" for number in range(sites)]
    layouts = Layouts(names)
    for version in range(1, count + 1):
        at, gone = START_US + version * DAY_US, names[version % sites]
        here = [[name, 1.0] for name in names if name != gone]
        doc = {"version": version, "from": at, "shards": 64, "keepers": 2, "sites": here}
        layouts.saw(Event(FLEET, "office", "1", version, at, 0, LAYOUT, packed(doc)))
        layouts.passed(at)
        for name in names:
            for turn, move in enumerate(layouts.moves(name), version * 1000):
                layouts.saw(Event(FLEET, name, "1", turn, at, 1, KEPT, packed(move.payload())))
    layouts.passed(START_US + (count + 1) * DAY_US)
    return layouts


def cost_us(look: Callable[[str], object]) -> float:
    """Mean microseconds of a look, over many channels."""
    began = time.perf_counter()
    for number in range(CHANNELS):
        look(str(number))
    return (time.perf_counter() - began) / CHANNELS * 1e6


def main() -> None:
    """Print the figures as JSON."""
    count, sites, events = (int(n) for n in [*sys.argv[1:], *("100", "50", "20000")[len(sys.argv) - 1 :]])
    layouts = history(count, sites)
    now = START_US + (count + 1) * DAY_US
    month_ago = now - 30 * DAY_US
    figures = {
        "layouts": count,
        "sites": sites,
        "keepers_month_ago_first_us": cost_us(lambda channel: layouts.keepers(channel, month_ago)),
        "keepers_month_ago_us": cost_us(lambda channel: layouts.keepers(channel, month_ago)),
        "keepers_at_start_us": cost_us(lambda channel: layouts.keepers(channel, START_US)),
        "layout_at_us": cost_us(lambda channel: layouts.at(month_ago)),
        "events": events,
        **read_costs(layouts, events),
        "wants_us": cost_us(lambda channel: layouts.wants("site-000", channel, "site-001")),
    }
    print(json.dumps({k: round(v, 2) for k, v in figures.items()}))


if __name__ == "__main__":
    main()
