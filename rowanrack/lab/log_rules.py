"""The checker's rules for the channels' log, from the books and the book of reads alone. No I/O.

The order behind the run, as the keepers gave it, is held against the partners', clients' and discovery's
books, and each read of the run against that order. docs/lab.md names the bounds.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import zip_longest
from typing import Any, NamedTuple

import msgspec

from rowanrack.channels.events import BEGUN, DELIVERED, FAILED, LOST, REFUSED, TAKEN
from rowanrack.lab.books import Entry, Page
from rowanrack.lab.checker import IN_FLIGHT_US, NEVER_US, SECOND_US, Disruptions, Violation

NOTED_US = 1_500_000  # before a kill: what waited in memory is lost, and that is a second at most
STAMPED_US = 2_000_000  # by so much a book's time and the event's may differ
ENDS = (DELIVERED, REFUSED, FAILED)
OTHERS = "what others wrote"  # is missing in a read that no keeper with all of it answered

Shown = dict[str, Any]


class Owed(NamedTuple):
    """What the books say must be in the log."""

    at: int
    who: str
    channel: str
    message: str
    kinds: tuple[str, ...]
    place: str = ""
    times: int = 1


@dataclass
class Order:
    """A channel as one keeper gave it: up to a time, and from which on nothing is certain."""

    by: str
    until: int
    events: list[Shown]
    held_by: str  # why it is not settled further

    def before(self, until: int) -> list[Shown]:
        """What stands up to a time."""
        return self.events[: bisect_right(self.events, until, key=lambda event: event["at"])]


def same(event: Shown) -> bytes:
    """An event's bytes: equal for equal events."""
    return msgspec.json.encode(event, order="sorted")


def orders(pages: Iterable[Page]) -> dict[str, list[Order]]:
    """Reads behind the run by channel, put together from their pages; not those of who has not all."""
    found: defaultdict[str, list[Order]] = defaultdict(list)
    series: defaultdict[int, list[Page]] = defaultdict(list)
    for page in pages:
        if page.why == "end":
            series[page.series].append(page)
    for parts in series.values():
        if any(page.status != 200 or misses(page, OTHERS) for page in parts):
            continue
        first, events = parts[0], list[Shown]()
        for page in parts:
            known = {event["id"] for event in events if event["at"] <= page.as_of}
            events = [event for event in page.events if event["id"] not in known] + events
        held_by = "; ".join(one["why"] for one in first.missing if one["what"].startswith("events from"))
        until = min(first.as_of, *(page.settled_until for page in parts))
        by = "+".join(dict.fromkeys(page.answered_by for page in parts))
        found[first.channel].append(Order(by, until, events, held_by))
    return dict(found)


def misses(page: Page, what: str) -> bool:
    """Whether a read says that something is missing."""
    return any(one.get("what") == what for one in page.missing)


class LogChecker:
    """Judges the log of a run. `heard_us`: behind which a detach must have been heard of."""

    def __init__(
        self, entries: Sequence[Entry], pages: Sequence[Page], heard_us: int = 10 * SECOND_US
    ) -> None:
        self.entries, self.pages, self.heard_us = entries, pages, heard_us
        self.disruptions = Disruptions(entries)
        self.orders = orders(pages)
        self.violations: list[Violation] = []
        clock = next((e for e in entries if e.what == "clock"), None)
        self.offset = clock.value - clock.at if clock is not None else 0  # Unix time less the books'
        self.restarts = Counter(e.who for e in entries if e.what == "up" and not e.note)
        self.restarts.subtract(list(self.restarts))  # the first start is none
        self.end = next((e for e in entries if e.what == "end"), None)
        self._owed = self._all_owed()
        self.best = {
            channel: max(some, key=lambda order: order.until) for channel, some in self.orders.items()
        }

    def check(self) -> list[Violation]:
        """All rules."""
        self._order()
        self._events()
        for page in self.pages:
            if page.why in ("run", "lag"):
                self._read(page)
        self._detached()
        return sorted(self.violations, key=lambda violation: violation.at_us)

    def _add_violation(self, rule: str, at: int, message: str, text: str) -> None:
        self.violations.append(Violation(rule, at, message, text))

    # Order: the same from every keeper.

    def _order(self) -> None:
        if self.end is None:
            return
        gone = any(until == NEVER_US for spans in self.disruptions.spans.values() for _, until in spans)
        for channel in sorted({page.channel for page in self.pages}):
            some = self.orders.get(channel, [])
            if not some or (not gone and self.best[channel].until < self.end.value):
                held = self.best[channel].held_by if some else "no keeper gave all of it"
                text = f"channel {channel} was not settled behind the run: {held}"
                self._add_violation("order", self.end.at, "", text)
            for order in some:
                self._sorted(channel, order)
            for other in some[1:]:
                self._compare(channel, some[0], other)

    def _sorted(self, channel: str, order: Order) -> None:
        twice = [name for name, count in Counter(e["id"] for e in order.events).items() if count > 1]
        times = [event["at"] for event in order.events]
        if twice or times != sorted(times):
            text = f"channel {channel} at {order.by}: {f'{twice[0]} twice' if twice else 'times go back'}"
            self._add_violation("order", self.end.at if self.end else 0, "", text)

    def _compare(self, channel: str, one: Order, other: Order) -> None:
        until = min(one.until, other.until)
        for mine, its in zip_longest(one.before(until), other.before(until)):
            if mine is None or its is None or same(mine) != same(its):
                ids = [event["id"] if event else "nothing" for event in (mine, its)]
                text = f"channel {channel}: {one.by} has {ids[0]} where {other.by} has {ids[1]}"
                self._add_violation("order", self.end.at if self.end else 0, "", text)
                return

    # Events: what the books say is there, once.

    def _all_owed(self) -> list[Owed]:
        """What the books say must be in the log: what was taken, called, delivered and given up."""
        found: list[Owed] = []
        dests: dict[str, str] = {}
        owner: dict[str, str] = {}
        calls: defaultdict[tuple[str, str, str], list[int]] = defaultdict(list)
        for entry in self.entries:
            if entry.dest >= 0 and entry.message:
                dests[entry.message] = str(entry.dest)
            of = entry.who, dests.get(entry.message, ""), entry.message
            match entry.what:
                case "taken" if entry.message not in owner:
                    owner[entry.message] = entry.who
                    found.append(Owed(entry.at, *of, (TAKEN,)))
                case "call":
                    calls[entry.who, entry.message, entry.place].append(entry.at)
                case "answer" if entry.note == "200" and self._arrived(entry):
                    found.append(Owed(entry.at, *of, (DELIVERED,)))
                case "notice":
                    found.append(Owed(entry.at, *of, (REFUSED, FAILED)))
        for (who, message, place), times in calls.items():
            found.append(Owed(times[-1], who, dests[message], message, (BEGUN,), place, len(times)))
        return found

    def _arrived(self, answer: Entry) -> bool:
        """Whether nothing can have kept an answer from its sender."""
        since, until = answer.at - IN_FLIGHT_US, answer.at + IN_FLIGHT_US
        return not any(self.disruptions.overlap(where, since, until) for where in (answer.who, answer.place))

    def _events(self) -> None:
        kept: Counter[tuple[str, str, str, str, str]] = Counter()  # channel, origin, kind, message, place
        for channel, order in self.best.items():
            for e in order.events:
                place = e.get("endpoint", "") if e["kind"] == BEGUN else ""
                kept[channel, e["origin"], e["kind"], e.get("message", ""), place] += 1
        missing: defaultdict[tuple[str, str], list[Owed]] = defaultdict(list)
        for owed in self._owed:
            best = self.best.get(owed.channel)
            if best is None or owed.at + self.offset + STAMPED_US > best.until:
                continue
            has = sum(kept[owed.channel, owed.who, kind, owed.message, owed.place] for kind in owed.kinds)
            if has < owed.times and not self._killed(owed):
                missing[owed.who, owed.channel] += [owed] * (owed.times - has)
        for (who, channel), some in missing.items():
            for owed in self._not_accounted(who, channel, some):
                what = " or ".join(owed.kinds) + (f" at {owed.place}" if owed.place else "")
                text = f"{who} did it, and channel {channel} has no {what} of it"
                self._add_violation("event", owed.at, owed.message, text)
        self._doubled()

    def _killed(self, owed: Owed) -> bool:
        """Whether a kill of its sender, or the loss of its disk, may have taken what it had noted."""
        if any(at >= owed.at for at in self.disruptions.disk_losses[owed.who]):
            return True
        kills = [e.at for e in self.entries if e.what == "down" and e.note == "kill" and e.who == owed.who]
        for kill in kills:
            # What waited for room on a full disk waited in memory.
            since = min([kill, *(a for a, b in self.disruptions.spans[owed.who] if a <= kill <= b)])
            if since - NOTED_US <= owed.at <= kill + IN_FLIGHT_US:
                return True
        return False

    def _not_accounted(self, who: str, channel: str, some: list[Owed]) -> list[Owed]:
        """What no `lost` event and no gap of that sender tells of."""
        left = list(some)
        for event in self.best[channel].events:
            if event["kind"] != LOST or event["origin"] != who:
                continue
            room, kept = int(event["count"]), list[Owed]()
            for owed in left:
                at = owed.at + self.offset
                fits = event["from"] - STAMPED_US <= at <= event["to"] + STAMPED_US
                if room and fits:
                    room -= 1
                else:
                    kept.append(owed)
            left = kept
        gaps = {g["origin"].split("/")[0] for p in self.pages if p.channel == channel for g in p.gaps}
        return [] if who in gaps else left

    def _doubled(self) -> None:
        """A restart may note anew what it found owed; nothing else is noted twice."""
        delivered = {e.message for e in self.entries if e.what == "answer" and e.note == "200"}
        for channel, order in self.best.items():
            counts: Counter[tuple[str, str, str]] = Counter()
            for e in order.events:
                message, at = e.get("message", ""), e["at"] - self.offset
                if e["kind"] in ENDS:
                    counts[e["origin"], message, "an end"] += 1
                elif e["kind"] in (TAKEN, BEGUN):
                    leg = f" of leg {e['leg']} at {e['endpoint']}" if e["kind"] == BEGUN else ""
                    counts[e["origin"], message, e["kind"] + leg] += 1
                if e["kind"] == DELIVERED and message not in delivered:
                    text = f"channel {channel} has it delivered, and no partner ran it"
                    self._add_violation("event", at, message, text)
            for (who, message, what), count in counts.items():
                if count > 1 + self.restarts[who]:
                    text = f"channel {channel} has {what} {count} times from {who}"
                    self._add_violation("event", 0, message, text)

    # Whole: what a read said is what the order turned out to be.

    def _read(self, page: Page) -> None:
        def bad(text: str) -> None:
            self._add_violation("whole", page.at, "", f"{page.who}, channel {page.channel}: {text}")

        if page.status != 200:
            if not page.status and not self.disruptions.overlap(page.who, page.at - 12 * SECOND_US, page.at):
                bad(f"no answer to a read: {page.text}")
            elif page.status and not page.text:
                bad(f"{page.status} without a word")
            elif page.status == 404 and self._before(page, page.as_of - STAMPED_US):
                bad("never seen, and there were events")
            return
        if page.complete and page.missing:
            bad("complete, and something is missing")
        if not page.complete and not all(o.get("what") and o.get("why") for o in page.missing or [{}]):
            bad("not complete, and it does not say why")
        order = self.best.get(page.channel)
        if order is None or misses(page, OTHERS) or any("use from" in one["why"] for one in page.missing):
            return
        until = min(page.as_of, page.settled_until, order.until)
        if page.complete and page.settled_until < page.as_of:
            bad("complete past the time up to which it is settled")
        told = [event for event in page.events if event["at"] <= until]
        known = order.before(until)
        if len(page.events) >= page.limit:
            known = known[len(known) - len(told) :] if told else []
        for mine, its in zip_longest(told, known):
            if mine is None or its is None or same(mine) != same(its):
                ids = [event["id"] if event else "nothing" for event in (mine, its)]
                bad(f"{ids[0]} where the order has {ids[1]}, up to {until}, by {page.answered_by}")
                return
        if page.complete:
            self._by_the_books(page)

    def _by_the_books(self, page: Page) -> None:
        """A complete read has all that the books have up to its time."""
        told = {(e["origin"], e["kind"], e.get("message", "")) for e in page.events}
        for owed in self._owed:
            if owed.channel != page.channel or owed.at + self.offset + STAMPED_US > page.as_of:
                continue
            has = any((owed.who, kind, owed.message) in told for kind in owed.kinds)
            troubled = self.disruptions.overlap(owed.who, owed.at - STAMPED_US, owed.at + STAMPED_US)
            if not has and not troubled and not self._killed(owed):
                text = f"{page.who}, channel {page.channel}: complete, without {' or '.join(owed.kinds)}"
                self._add_violation("whole", page.at, owed.message, text)

    def _before(self, page: Page, until: int) -> list[Shown]:
        order = self.best.get(page.channel)
        return order.before(min(until, order.until)) if order is not None else []

    # Detach: everybody who can hear of it heeds it.

    def _detached(self) -> None:
        since: dict[str, Entry] = {}
        for entry in self.entries:
            if entry.what == "detach":
                since.setdefault(entry.place, entry)
            elif entry.what == "attach":
                since.pop(entry.place, None)
            elif entry.what == "call" and entry.place in since:
                said = since[entry.place]
                due = self._heard(said.who, said.at, self._heard(entry.who, said.at, said.at + self.heard_us))
                if entry.at > due:
                    late_s = (entry.at - said.at) / SECOND_US
                    text = f"{entry.who} called {entry.place} {late_s:.1f} s after {said.who} detached it"
                    self._add_violation("detach", entry.at, entry.message, text)

    def _heard(self, who: str, since: int, due: int) -> int:
        """By when a sender has heard: behind its last trouble it has the whole time again."""
        for begin, end in sorted(self.disruptions.spans[who]):
            if begin <= due and end >= since:
                due = max(due, end + self.heard_us)
        return due
