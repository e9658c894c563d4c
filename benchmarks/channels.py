"""What the meetings of the channels' log cost as senders grow in number, and how soon all know a writing.

Whole sites (`rowanrack.channels.site.Site`, stores in memory) meet in virtual time by the rules of
`rowanrack.channels.sync.Meetings`; a meeting's bodies are made and read as on a link, without one, and its
CPU is counted. `python -m benchmarks.channels` prints the tables of docs/benchmarks.md.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from rowanrack.channels.events import FLEET, LAYOUT, packed
from rowanrack.channels.log import Noted
from rowanrack.channels.site import Site
from rowanrack.channels.sync import Meetings
from rowanrack.store.log_memory import MemoryLog

SECOND_US = 1_000_000
CALL_US = 20_000  # what a meeting takes
HEAD_BYTES = 400  # of HTTP around a request and its answer
NEEDS_US = SECOND_US  # between looks at whom to meet, with nothing new
START_US = 1_000_000 * SECOND_US


class Clock:
    """Virtual time, the same at all sites."""

    def __init__(self) -> None:
        self.now = START_US

    def unix_us(self) -> int:
        """Now."""
        return self.now

    def now_us(self) -> int:
        """Now."""
        return self.now


@dataclass
class Met:
    """What was counted of meetings."""

    count: int = 0
    bodies: int = 0
    size: int = 0
    cpu_s: float = 0.0
    needs_s: float = 0.0


class Play:
    """So many sites, the last `dead` of which answer nothing."""

    def __init__(self, senders: int, dead: int = 0, seed: int = 1) -> None:
        self.clock, self.met, self.random = Clock(), Met(), random.Random(seed)
        names = [f"sender-{n:04}" for n in range(senders)]
        self.sites = {n: self._site(n, names) for n in names[: senders - dead]}
        self.meetings = {n: Meetings(n, names, seed) for n in self.sites}
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._wakes = dict.fromkeys(self.sites, 0)
        for name in self.sites:
            self.at(self.random.randrange(NEEDS_US), lambda name=name: self._needs(name))  # type: ignore[misc]

    def _site(self, name: str, names: Sequence[str]) -> Site:
        others = [other for other in names if other != name]
        site = Site(MemoryLog(), self.clock, name, others, lambda line: None, 1 << 60, 1 << 40)
        site.open()
        return site

    def at(self, delay_us: int, action: Callable[[], None]) -> None:
        """Do it once the delay has passed."""
        self._count += 1
        heapq.heappush(self._queue, (self.clock.now + delay_us, self._count, action))

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        end = self.clock.now + int(seconds * SECOND_US)
        while self._queue and self._queue[0][0] <= end:
            self.clock.now, _, action = heapq.heappop(self._queue)
            action()
        self.clock.now = end

    def _needs(self, name: str, again: bool = True) -> None:
        begun = time.process_time()
        self.meetings[name].needs(self.clock.now, self.sites[name].needs())
        self.met.needs_s += time.process_time() - begun
        if again:
            self.at(NEEDS_US, lambda: self._needs(name))
        self._wake(name)

    def stirred(self, name: str) -> None:
        """Something new may be on FLEET at a site."""
        if any(self.sites[name].news()):
            self._needs(name, again=False)

    def _wake(self, name: str) -> None:
        meetings, now = self.meetings[name], self.clock.now
        for peer in meetings.due(now):
            meetings.began(peer, now)
            self.at(CALL_US, lambda peer=peer: self._meet(name, peer))  # type: ignore[misc]
        again = meetings.next_at(now)
        if again is not None and not now < self._wakes[name] <= again:
            self._wakes[name] = max(again, now + 1)
            self.at(self._wakes[name] - now, lambda: self._wake(name))

    def _meet(self, name: str, peer: str) -> None:
        if peer not in self.sites:
            self.meetings[name].failed(peer, self.clock.now)
        else:
            try:
                self.exchange(name, peer)
                self.meetings[name].ended(peer, self.clock.now)
            except ValueError:  # the two see differently who keeps what
                self.meetings[name].failed(peer, self.clock.now)
            for each in (name, peer):
                self.stirred(each)
        self._wake(name)

    def exchange(self, name: str, peer: str) -> None:
        """A meeting, with nothing between its bodies."""
        one, two, met, begun = self.sites[name], self.sites[peer], self.met, time.process_time()
        request: bytes | None = one.offer(peer)
        while request is not None:
            answer = two.answer(request)
            met.bodies += 1
            met.size += HEAD_BYTES + len(request) + len(answer)
            request = one.take(peer, answer)
        met.count += 1
        met.cpu_s += time.process_time() - begun

    def write(self, name: str, channel: str) -> None:
        """A site writes something."""
        noted = Noted(channel, "taken", packed({"message": f"{name}-{self.clock.now}"}), self.clock.now)
        self.sites[name].write([noted])
        self.stirred(name)


def spread(
    senders: int, seconds: int, dead: int = 0, channels: int = 0, rate: float = 0.0, warm_s: float = 30
) -> dict[str, Any]:
    """Play so many senders; each writes `rate` times a second, on any of so many channels of its own choice.

    Of what follows behind `warm_s`, for each sender that lives: meetings a second, begun and answered, their
    KiB, and CPU in ms a second of meetings and of looking for whom to meet; in seconds, mean and most of: how
    long until all know what one wrote on FLEET (each two seconds, in the last third only), and how far back
    the words of those that live reach: on FLEET at all, and at keepers of what is written.
    """
    play = Play(senders, dead)
    live = list(play.sites)

    def busy(name: str) -> None:
        play.write(name, str(play.random.randrange(channels)))
        play.at(int(play.random.expovariate(rate) * SECOND_US), lambda: busy(name))

    for name in live if rate and channels else ():
        play.at(play.random.randrange(int(SECOND_US / rate)), lambda name=name: busy(name))  # type: ignore[misc]
    play.run(warm_s)
    play.met = Met()
    behind: dict[str, list[int]] = {"behind_s": [], "channels_s": []}
    for _ in range(seconds):
        play.run(1)
        for site in [play.sites[name] for name in live[:: max(1, len(live) // 20)]]:
            least = min(each.at for name, each in site.log.promises().items() if name in play.sites)
            behind["behind_s"].append(play.clock.now - least)
            mine = [c for c in map(str, range(channels)) if site.layouts.whole(site.name, c)]
            if mine:
                counting = {name: each.promise.at for name, each in site.log.counted_promises().items()}
                least = min(counting.get(name, 0) for name in live if name != site.name)
                behind["channels_s"].append(play.clock.now - max(least, START_US))
    met, known = play.met, list[int]()
    play.met = Met()
    for n in range(seconds // 4 or 1):
        begun, writer = play.clock.now, live[n % len(live)]
        play.write(writer, FLEET)
        while len({_fleet(site) for site in play.sites.values()}) > 1:
            play.run(0.02)
        known.append(play.clock.now - begun)
        play.run(2)
    share = seconds * len(live)
    found = {key: _mean_and_most(values) for key, values in {**behind, "known_s": known}.items() if values}
    return {
        "senders": senders,
        "meetings_s": round(2 * met.count / share, 2),
        "bodies_s": round(2 * met.bodies / share, 2),
        "kib_s": round(2 * met.size / 1024 / share, 1),
        "cpu_ms_s": round(1000 * met.cpu_s / share, 2),
        "needs_ms_s": round(1000 * met.needs_s / share, 2),
        **found,
    }


def _fleet(site: Site) -> int:
    site.log.head_index.follow(site.layouts)
    return site.log.head_index.fleet_digest


def _mean_and_most(values: Sequence[int]) -> tuple[float, float]:
    """In seconds."""
    return round(sum(values) / len(values) / SECOND_US, 1), round(max(values) / SECOND_US, 1)


def after_layout(senders: int, channels: int = 6, rate: float = 0.9, warm_s: float = 15) -> dict[str, Any]:
    """A layout without every tenth sender is announced 5 s ahead, while each writes so often.

    How many seconds after its begin the order is settled past that at all keepers of then; meetings a second,
    begun and answered, and their KiB, for each sender, from the announcement to 20 s behind the begin.
    """
    play = Play(senders)
    live = list(play.sites)

    def busy(name: str) -> None:
        play.write(name, str(play.random.randrange(channels)))
        play.at(int(play.random.expovariate(rate) * SECOND_US), lambda: busy(name))

    for name in live:
        play.at(play.random.randrange(int(SECOND_US / rate)), lambda name=name: busy(name))  # type: ignore[misc]
    play.run(warm_s)
    play.met, now, since = Met(), play.clock.now, play.clock.now + 5 * SECOND_US
    sites = [[name, 1.0] for name in live if int(name[-4:]) % 10]
    doc = {"version": 1, "from": since, "shards": 64, "keepers": 2, "sites": sites}
    play.sites[live[0]].write([Noted(FLEET, LAYOUT, packed(doc), now)])
    play.stirred(live[0])
    settled: int | None = None
    while play.clock.now < since + 20 * SECOND_US:
        play.run(0.25)
        if settled is None and play.clock.now > since:
            laid = play.sites[live[0]].layouts.at(since)
            keepers = [(k, c) for c in map(str, range(channels)) for k in laid.keepers(laid.shard(c))]
            if all(play.sites[k].log.settled_until(c)[0] > since for k, c in keepers):
                settled = play.clock.now - since
    share = senders * 25
    return {
        "settled_s": settled and settled / SECOND_US,
        "meetings_s": round(2 * play.met.count / share, 2),
        "kib_s": round(2 * play.met.size / 1024 / share, 1),
    }


def nothing_new_us(senders: int, channels: int = 20, rounds: int = 200) -> float:
    """CPU of a meeting of two keepers that have the same: so many channels, each written by all."""
    play = Play(senders)
    one, two, *_ = sorted(play.sites.values(), key=lambda s: s.name not in s.layouts.holders("0"))
    noted = [Noted(str(channel), "k", packed({"x": 1}), play.clock.now) for channel in range(channels)]
    for site in play.sites.values():
        events = site.write([*noted, Noted(FLEET, "k", packed({}), play.clock.now)])
        for keeper in (one, two):
            keeper.log.merge(events)
            keeper.log.receive_promises(site.name, [site.log.promise()])
    for _ in range(4):
        play.exchange(one.name, two.name)
    play.met = Met()
    for _ in range(rounds):
        play.clock.now += SECOND_US
        play.exchange(one.name, two.name)
    assert play.met.bodies == rounds
    return play.met.cpu_s / rounds * 1e6


def main() -> None:
    """Print what a meeting with nothing new costs, then a line for each size."""
    for senders in (3, 40, 200):
        print(f"a meeting with nothing new, {senders} senders: {nothing_new_us(senders):.0f} us")
    for senders in (40, 200):
        print(f"after a layout, {senders} senders:", after_layout(senders))
    for senders in (3, 40, 200, 1000):
        for dead in dict.fromkeys((0, senders // 10)):
            print(f"nothing written, {dead} dead:", spread(senders, 30 if senders > 200 else 60, dead))
        if senders < 1000:
            many = {"channels": 20, "rate": 5.0 if senders < 200 else 1.0, "warm_s": 90}
            print(f"each writes {many['rate']}/s on 20 channels:", spread(senders, 30, **many))  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
