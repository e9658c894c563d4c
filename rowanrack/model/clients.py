"""Clients: the traffic, drawn ahead, and what clients do when they are refused or not answered."""

from __future__ import annotations

import itertools
import math
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from rowanrack.core.messages import End, Ending, Message
from rowanrack.model.engine import SECOND_US, Engine, chance
from rowanrack.model.history import Entry, History
from rowanrack.model.scenario import Scenario
from rowanrack.model.sender import FRONT, UNIX_US, Sender

TO_SENDER_US = 500  # from a client to a sender, and back
AGAIN_US = 50_000  # after which a client that meets a dead sender goes to another
CLUMP_US = 300_000  # within which a clump comes


@dataclass(slots=True)
class Item:
    """What a client wants delivered, through all its tries."""

    number: int
    at_us: int
    cls: int
    member: str
    dest: int
    pick: float  # which sender, as a share
    within: bool = True  # its member's quota
    left_us: int = 0  # until its time is up; 0: as its class says
    sender: int = -1  # that it is handed to; -1: any
    tries: int = 0
    delivered_us: int | None = None
    endings: list[str] = field(default_factory=list)


def popularity(scenario: Scenario, seed: int) -> dict[int, float]:
    """The share of messages that each destination gets, in the mean. Those of weighty kinds come first."""
    rng, dest, keys = chance(seed, "popularity"), 0, dict[int, float]()
    for kind in scenario.kinds:
        for _ in range(kind.partners):
            dest += 1
            keys[dest] = rng.random() ** (1 / kind.weight)
    order = sorted(keys, key=lambda d: -keys[d])
    base = {dest: 1 / (place + 1) ** scenario.zipf for place, dest in enumerate(order)}
    total = sum(base.values())
    return {dest: base[dest] / total for dest in sorted(base)}


def arrivals(
    scenario: Scenario, seed: int, rates: dict[int, float], members: dict[int, str], base: dict[int, float]
) -> list[Item]:
    """All items of a day in the order of time, drawn ahead: no sender can move them.

    `rates` says what each destination takes a second: its clumps are some seconds of that. `base`
    holds shares.
    """
    rng, dests = chance(seed, "traffic"), sorted(rates)
    middle = sum(scenario.clump_us) / 2 / SECOND_US
    size = max(2.0, sum(base[d] * rates[d] for d in dests) * middle)  # of a clump, in the mean
    clump = scenario.clumps / (size - scenario.clumps * size + scenario.clumps)
    wanted = scenario.rate / (clump * size + 1 - clump)  # draws a second, each a message or a clump
    found: list[tuple[int, int]] = []
    hot = [e for e in scenario.events if e.what == "draws"]
    bursts = [e for e in scenario.events if e.what == "burst"]
    most = wanted * math.prod(max(1.0, e.size) for e in bursts) / max(0.1, 1 - sum(e.size for e in hot))
    at = 0.0
    weights = [base[dest] for dest in dests]
    while wanted > 0:
        at += rng.expovariate(most) * SECOND_US
        draw, which, extra = rng.random(), rng.random(), rng.random()
        if at >= scenario.day_us:
            break
        running = [e for e in hot if lasts(e.at_us, e.for_us, at)]
        share = sum(e.size for e in running)
        rate = wanted * math.prod(e.size for e in bursts if lasts(e.at_us, e.for_us, at))
        if draw * most >= rate / max(0.1, 1 - share):
            continue
        if extra < share:
            event = running[int(extra / share * len(running)) % len(running)]
            among = event_dests(event.partners, dests)
            dest = among[int(which * len(among))]
        else:
            dest = rng.choices(dests, weights)[0]
        if rng.random() < clump:
            low, high = scenario.clump_us
            count = max(2, round(rates[dest] * (low + (high - low) * rng.random()) / SECOND_US))
            found += [(int(at + CLUMP_US * rng.random()), dest) for _ in range(count)]
        else:
            found.append((int(at), dest))
    found.sort()
    details, shares = chance(seed, "details"), [c.share for c in scenario.classes]
    items = [
        Item(
            n,
            when,
            details.choices(range(len(shares)), shares)[0],
            members.get(dest, ""),
            dest,
            details.random(),
        )
        for n, (when, dest) in enumerate(found)
        if when < scenario.day_us
    ]
    mark_shares(items, scenario)
    return items


def lasts(at_us: int, for_us: int | None, now: float) -> bool:
    """Whether an event goes on at that time."""
    return at_us <= now and (for_us is None or now < at_us + for_us)


def event_dests(partners: str, dests: list[int]) -> list[int]:
    """The destinations of an event that names one or all; kinds and zones are resolved before."""
    word, _, name = partners.partition(" ")
    return [int(name)] if word == "partner" else dests


def mark_shares(items: list[Item], scenario: Scenario) -> None:
    """Which items lie beyond their member's quota: its second of messages in hand at once is two seconds'."""
    quotas = {m.name: m.quota for m in scenario.members}
    tokens = {name: 2 * quota for name, quota in quotas.items()}
    filled = dict.fromkeys(quotas, 0)
    for item in items:
        if (quota := quotas.get(item.member)) is None:
            continue
        have = min(2 * quota, tokens[item.member] + quota * (item.at_us - filled[item.member]) / SECOND_US)
        filled[item.member] = item.at_us
        item.within = have >= 1
        tokens[item.member] = have - item.within


class Clients:
    """Hand every item in at its time, and again as clients do."""

    def __init__(self, scenario: Scenario, items: list[Item], senders: list[Sender], engine: Engine,
                 history: History, rng: Random, seed: int = 0) -> None:  # fmt: skip
        self.scenario, self.items, self.senders = scenario, items, senders
        self.engine, self.history, self.rng = engine, history, rng
        self.by_message: dict[str, Item] = {}
        self.hot: Callable[[int], tuple[int, float] | None] = lambda now: None
        for sender in senders:
            sender.told = self._told  # type: ignore[method-assign]
        rates = chance(seed, "uneven")
        drawn = (rates.lognormvariate(0, scenario.uneven) for _ in senders if scenario.uneven)
        self.parts = list(itertools.accumulate(drawn))  # of the traffic, by sender and those before it
        self._next = 0
        self._schedule()

    def _schedule(self) -> None:
        """Only the next arrival stands in the engine: a day of them need not."""
        if self._next < len(self.items):
            self.engine.at(self.items[self._next].at_us, self._arrive)

    def _arrive(self) -> None:
        item = self.items[self._next]
        self._next += 1
        self._schedule()
        cls = self.scenario.classes[item.cls]
        due = self._due(item)
        self.history.add(
            Entry(item.at_us, "hand-in", message=str(item.number), dest=item.dest,
                  note=f"{cls.name} {item.member}", value=due)
        )  # fmt: skip
        self._try(item)

    def _due(self, item: Item) -> int:
        return item.at_us + (item.left_us or self.scenario.classes[item.cls].deadline_us)

    def _sender(self, item: Item) -> Sender | None:
        """The front layer spreads over the senders that it takes for alive, evenly unless told otherwise."""
        if item.sender >= 0:
            return self.senders[item.sender] if self.senders[item.sender].alive else None
        hot = self.hot(self.engine.now)
        if hot is not None and item.tries <= 1:
            number, share = hot
            if item.pick < share and self.senders[number].alive:
                return self.senders[number]
        draw = (item.pick * 997 + item.tries * 0.618) % 1
        if self.parts:
            sender = self.senders[bisect(self.parts, draw * self.parts[-1])]
            if sender.alive:
                return sender
        alive = [s for s in self.senders if s.alive]
        return alive[int(draw * len(alive))] if alive else None

    def _try(self, item: Item) -> None:
        """Hand an item in, unless its time is up."""
        left = self._due(item) - self.engine.now
        if left <= 0 or item.delivered_us is not None:
            return
        item.tries += 1
        sender = self._sender(item)
        if sender is None:
            item.tries -= 1
            self.engine.after(AGAIN_US, lambda: self._try(item))
            return
        message_id = f"{item.number}.{item.tries}"
        self.by_message[message_id] = item
        self.engine.after(TO_SENDER_US, lambda: self._arrived(item, message_id, sender))

    def _arrived(self, item: Item, message_id: str, sender: Sender) -> None:
        if not sender.alive:
            self.engine.after(AGAIN_US, lambda: self._try(item))
            return
        cls = self.scenario.classes[item.cls]
        due = UNIX_US + self._due(item)
        refusal = sender.submit(Message(message_id, cls.name, item.member, item.dest, due, b"", FRONT))
        if refusal is not None:
            item.endings.append("nack")
            self._come_again(item, refusal.retry_us)

    def _told(self, message: Message, end: End) -> None:
        item = self.by_message[message.id]
        item.endings.append(end.ending.value)
        if end.ending is Ending.DELIVERED and item.delivered_us is None:
            item.delivered_us = self.engine.now
        elif end.ending is Ending.REFUSED:
            self._come_again(item, end.retry_us)

    def _come_again(self, item: Item, told_us: int) -> None:
        """After a refusal: as often as clients do, after their own wait, or the told one if they heed it."""
        if item.tries > self.scenario.again:
            return
        low, high = self.scenario.again_us
        wait = low + (high - low) * self.rng.random()
        if self.rng.random() < self.scenario.heed:
            wait = max(wait, told_us)
        self.engine.after(TO_SENDER_US + wait, lambda: self._try(item))
