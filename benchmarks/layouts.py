"""What a look into the history of layouts costs: `python -m benchmarks.layouts [LAYOUTS] [SITES]`."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable

from rowanrack.channels.events import FLEET, KEPT, LAYOUT, Event, packed
from rowanrack.channels.layout import Layouts

DAY_US = 86_400_000_000
START_US = 1_700_000_000_000_000
CHANNELS = 1000


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
    count, sites = (int(n) for n in [*sys.argv[1:], "100", "50"][:2])
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
        "wants_us": cost_us(lambda channel: layouts.wants("site-000", channel, "site-001")),
    }
    print(json.dumps({k: round(v, 2) for k, v in figures.items()}))


if __name__ == "__main__":
    main()
