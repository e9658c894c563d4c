"""What the meetings of the channels' log cost as senders grow in number, and how soon all know a writing.

A simulation without I/O over the rules of `rowanrack.channels.sync.Meetings`. Nothing is written meanwhile
but what it times, so the bytes are those of promises and digests. `python -m benchmarks.channels` prints the
table of docs/channels.md.
"""

from __future__ import annotations

import heapq
from typing import Any

import msgspec
import numpy as np

from rowanrack.channels.log import Promise
from rowanrack.channels.sync import VERSION, Meetings, Reply, Request

SIZES = (3, 40, 200, 1000)
SECOND = 1_000_000
CALL_US = 50_000  # what a meeting takes
HEAD_BYTES = 400  # of HTTP around a request and its answer


def meeting_bytes(senders: int) -> int:
    """What a meeting of two that have the same takes, both ways."""
    promises = [Promise(f"sender-{n:04}", "0123456789ab", 1 << 50, b"12345678") for n in range(senders)]
    ask = Request(VERSION, "sender-0000", {group: 1 << 55 for group in range(64)}, promises=promises)
    reply = Reply(VERSION, "sender-0000", promises=promises)
    return HEAD_BYTES + sum(len(msgspec.msgpack.encode(body)) for body in (ask, reply))


def spread(senders: int, seconds: int, dead: int = 0, needed: int = 0, seed: int = 1) -> dict[str, Any]:
    """Play so many senders, the last `dead` of which answer nothing; each needs `needed` beside FLEET.

    Gives meetings and bytes a second for each sender, begun and answered; in seconds, mean and most of: how
    far back the order is settled at those that live, on FLEET and (`direct_s`, if each needs all)
    elsewhere, and how long until all of them know what one wrote.
    """
    names = [f"sender-{n:04}" for n in range(senders)]
    live = senders - dead
    meetings = [Meetings(name, names, seed) for name in names[:live]]
    for n, each in enumerate(meetings):
        each.needs(names[(n + k) % senders] for k in range(1, needed + 1))
    number = {name: n for n, name in enumerate(names)}
    told = np.zeros((live, live), np.int64)  # up to when each (row) has what each (column) wrote
    wakes = [0] * live
    queue: list[tuple[int, int, int, int]] = [(0, n, -1, 0) for n in range(live)]
    first, last = seconds * SECOND // 3, seconds * SECOND  # what is counted
    met, wrote = 0, first
    behind: list[int] = []
    direct: list[int] = []
    faced = np.zeros((live, live), np.int64)  # when two met
    known: list[int] = []
    while queue[0][0] < last:
        now, site, other, began = heapq.heappop(queue)
        mine = meetings[site]
        if other >= live:
            mine.failed(names[other], now)
        elif other >= 0:
            mine.ended(names[other], now)
            told[site, site], told[other, other] = began, max(began, told[other, other])
            told[site] = told[other] = np.maximum(told[site], told[other])
            faced[site, other] = faced[other, site] = faced[site, site] = faced[other, other] = began
            if now > first:
                met += 1
                direct.append(now - int(faced[site].min()))
                behind.append(now - int(told[site].min()))
                if told[:, 0].min() > wrote:
                    known.append(now - wrote)
                    wrote = now
        for peer in mine.due(now):
            mine.began(peer, now)
            heapq.heappush(queue, (now + CALL_US, site, number[peer], now))
        again = mine.next_at(now)
        if again is not None and (wakes[site] <= now or again < wakes[site]):
            wakes[site] = max(again, now + 1)
            heapq.heappush(queue, (wakes[site], site, -1, 0))
    rate = 2 * met * SECOND / (last - first) / live
    return {
        "senders": senders,
        "meetings_s": round(rate, 2),
        "kib_s": round(rate * meeting_bytes(senders) / 1024, 1),
        "behind_s": (round(float(np.mean(behind)) / SECOND, 1), round(max(behind) / SECOND, 1)),
        "direct_s": (round(float(np.mean(direct)) / SECOND, 1), round(max(direct) / SECOND, 1)),
        "known_s": (round(float(np.mean(known)) / SECOND, 1), round(max(known) / SECOND, 1)),
    }


def main() -> None:
    """Print a line for each size, each also with a tenth dead."""
    for senders in SIZES:
        seconds = 90 if senders < 1000 else 180
        for dead in dict.fromkeys((0, senders // 10)):
            print(f"FLEET, {dead} dead:", spread(senders, seconds, dead))
        if senders < 1000:  # 1,000 take minutes
            print("each needs all:", spread(senders, 2 * seconds, needed=senders - 1))


if __name__ == "__main__":
    main()
