"""Checks the rules for the event log of the channels, using only the books and the book of reads. No I/O.

The order of events that the keepers returned after the run is compared with the books of the partners,
clients and discovery, and each read during the run is compared with that order. docs/lab.md names the bounds.
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

UNWRITTEN_US = 1_500_000  # a kill loses events of this age; they wait in memory for a second at most
CLOCK_TOLERANCE_US = 2_000_000  # difference allowed between the time in a book and that of the event
FINAL_KINDS = (DELIVERED, REFUSED, FAILED)
MISSING_OTHERS = "what others wrote"  # missing in a read that no keeper with the whole channel answered

EventDocument = dict[str, Any]


class ExpectedEvent(NamedTuple):
    """An event that must be in the log according to the books."""

    at: int
    who: str
    channel: str
    message: str
    kinds: tuple[str, ...]
    place: str = ""
    times: int = 1


@dataclass
class ChannelOrder:
    """The events of a channel as one keeper returned them; they are final up to `until`."""

    by: str
    until: int
    events: list[EventDocument]
    unsettled_reason: str  # why events after `until` are not settled

    def events_until(self, until: int) -> list[EventDocument]:
        """Return the events up to a time."""
        return self.events[: bisect_right(self.events, until, key=lambda event: event["at"])]


def canonical_bytes(event: EventDocument) -> bytes:
    """Encode an event so that equal events have equal bytes."""
    return msgspec.json.encode(event, order="sorted")


def channel_orders(pages: Iterable[Page]) -> dict[str, list[ChannelOrder]]:
    """Assemble the reads after the run from their pages, by channel, without those of incomplete keepers."""
    found: defaultdict[str, list[ChannelOrder]] = defaultdict(list)
    series: defaultdict[int, list[Page]] = defaultdict(list)
    for page in pages:
        if page.why == "end":
            series[page.series].append(page)
    for parts in series.values():
        if any(page.status != 200 or reports_missing(page, MISSING_OTHERS) for page in parts):
            continue
        first, events = parts[0], list[EventDocument]()
        for page in parts:
            known = {event["id"] for event in events if event["at"] <= page.as_of}
            events = [event for event in page.events if event["id"] not in known] + events
        unsettled_reason = "; ".join(
            one["why"] for one in first.missing if one["what"].startswith("events from")
        )
        until = min(first.as_of, *(page.settled_until for page in parts))
        by = "+".join(dict.fromkeys(page.answered_by for page in parts))
        found[first.channel].append(ChannelOrder(by, until, events, unsettled_reason))
    return dict(found)


def reports_missing(page: Page, what: str) -> bool:
    """Whether a read reports that something is missing."""
    return any(one.get("what") == what for one in page.missing)


class LogChecker:
    """Checks the event log of a run. `detach_limit_us`: the time by which a sender must know of a detach."""

    def __init__(
        self, entries: Sequence[Entry], pages: Sequence[Page], detach_limit_us: int = 10 * SECOND_US
    ) -> None:
        self.entries, self.pages, self.detach_limit_us = entries, pages, detach_limit_us
        self.disruptions = Disruptions(entries)
        self.orders = channel_orders(pages)
        self.violations: list[Violation] = []
        clock = next((e for e in entries if e.what == "clock"), None)
        # Unix time minus the time of the books.
        self.offset = clock.value - clock.at if clock is not None else 0
        self.restarts = Counter(e.who for e in entries if e.what == "up" and not e.note)
        self.restarts.subtract(list(self.restarts))  # the first start is not a restart
        self.end = next((e for e in entries if e.what == "end"), None)
        self._expected = self._list_expected()
        self.longest_orders = {
            channel: max(some, key=lambda order: order.until) for channel, some in self.orders.items()
        }

    def check(self) -> list[Violation]:
        """Check all rules; returns the violations in the order of time."""
        self._check_order()
        self._check_events()
        for page in self.pages:
            if page.why in ("run", "lag"):
                self._check_read(page)
        self._check_detach()
        return sorted(self.violations, key=lambda violation: violation.at_us)

    def _add_violation(self, rule: str, at: int, message: str, text: str) -> None:
        self.violations.append(Violation(rule, at, message, text))

    # Rule `order`: every keeper returns the same sorted events.

    def _check_order(self) -> None:
        if self.end is None:
            return
        still_disrupted = any(
            until == NEVER_US for spans in self.disruptions.spans.values() for _, until in spans
        )
        for channel in sorted({page.channel for page in self.pages}):
            some = self.orders.get(channel, [])
            if not some or (not still_disrupted and self.longest_orders[channel].until < self.end.value):
                reason = (
                    self.longest_orders[channel].unsettled_reason
                    if some
                    else "no keeper returned the whole channel"
                )
                text = f"channel {channel} was not settled after the run: {reason}"
                self._add_violation("order", self.end.at, "", text)
            for order in some:
                self._check_sorted(channel, order)
            for other in some[1:]:
                self._compare_orders(channel, some[0], other)

    def _check_sorted(self, channel: str, order: ChannelOrder) -> None:
        twice = [name for name, count in Counter(e["id"] for e in order.events).items() if count > 1]
        times = [event["at"] for event in order.events]
        if twice or times != sorted(times):
            text = f"channel {channel} at {order.by}: {f'{twice[0]} twice' if twice else 'times decrease'}"
            self._add_violation("order", self.end.at if self.end else 0, "", text)

    def _compare_orders(self, channel: str, one: ChannelOrder, other: ChannelOrder) -> None:
        until = min(one.until, other.until)
        for first_event, second_event in zip_longest(one.events_until(until), other.events_until(until)):
            if (
                first_event is None
                or second_event is None
                or canonical_bytes(first_event) != canonical_bytes(second_event)
            ):
                ids = [event["id"] if event else "nothing" for event in (first_event, second_event)]
                text = f"channel {channel}: {one.by} has {ids[0]} where {other.by} has {ids[1]}"
                self._add_violation("order", self.end.at if self.end else 0, "", text)
                return

    # Rule `event`: each event that the books imply is in the log once.

    def _list_expected(self) -> list[ExpectedEvent]:
        """List the events that the books imply: messages accepted, called, delivered and given up."""
        found: list[ExpectedEvent] = []
        dests: dict[str, str] = {}
        owner: dict[str, str] = {}
        calls: defaultdict[tuple[str, str, str], list[int]] = defaultdict(list)
        for entry in self.entries:
            if entry.dest >= 0 and entry.message:
                dests[entry.message] = str(entry.dest)
            event_key = entry.who, dests.get(entry.message, ""), entry.message
            match entry.what:
                case "taken" if entry.message not in owner:
                    owner[entry.message] = entry.who
                    found.append(ExpectedEvent(entry.at, *event_key, (TAKEN,)))
                case "call":
                    calls[entry.who, entry.message, entry.place].append(entry.at)
                case "answer" if entry.note == "200" and self._certainly_received(entry):
                    found.append(ExpectedEvent(entry.at, *event_key, (DELIVERED,)))
                case "notice":
                    found.append(ExpectedEvent(entry.at, *event_key, (REFUSED, FAILED)))
        for (who, message, place), times in calls.items():
            found.append(ExpectedEvent(times[-1], who, dests[message], message, (BEGUN,), place, len(times)))
        return found

    def _certainly_received(self, answer: Entry) -> bool:
        """Whether the sender has certainly received an answer."""
        since, until = answer.at - IN_FLIGHT_US, answer.at + IN_FLIGHT_US
        return not any(self.disruptions.overlap(where, since, until) for where in (answer.who, answer.place))

    def _check_events(self) -> None:
        logged: Counter[tuple[str, str, str, str, str]] = Counter()  # channel, origin, kind, message, place
        for channel, order in self.longest_orders.items():
            for e in order.events:
                place = e.get("endpoint", "") if e["kind"] == BEGUN else ""
                logged[channel, e["origin"], e["kind"], e.get("message", ""), place] += 1
        missing: defaultdict[tuple[str, str], list[ExpectedEvent]] = defaultdict(list)
        for expected in self._expected:
            best = self.longest_orders.get(expected.channel)
            if best is None or expected.at + self.offset + CLOCK_TOLERANCE_US > best.until:
                continue
            present_count = sum(
                logged[expected.channel, expected.who, kind, expected.message, expected.place]
                for kind in expected.kinds
            )
            if present_count < expected.times and not self._may_be_lost(expected):
                missing[expected.who, expected.channel] += [expected] * (expected.times - present_count)
        for (who, channel), some in missing.items():
            for expected in self._unaccounted(who, channel, some):
                what = " or ".join(expected.kinds) + (f" at {expected.place}" if expected.place else "")
                text = f"channel {channel} lacks the event {what} of {who}"
                self._add_violation("event", expected.at, expected.message, text)
        self._check_duplicates()

    def _may_be_lost(self, expected: ExpectedEvent) -> bool:
        """Whether the event may be lost because its sender was killed or lost its disk."""
        if any(at >= expected.at for at in self.disruptions.disk_losses[expected.who]):
            return True
        kills = [
            e.at for e in self.entries if e.what == "down" and e.note == "kill" and e.who == expected.who
        ]
        for kill in kills:
            # Events that wait for a full disk wait in memory.
            since = min([kill, *(a for a, b in self.disruptions.spans[expected.who] if a <= kill <= b)])
            if since - UNWRITTEN_US <= expected.at <= kill + IN_FLIGHT_US:
                return True
        return False

    def _unaccounted(self, who: str, channel: str, some: list[ExpectedEvent]) -> list[ExpectedEvent]:
        """Return the missing events that no `lost` event and no gap of that sender accounts for."""
        left = list(some)
        for event in self.longest_orders[channel].events:
            if event["kind"] != LOST or event["origin"] != who:
                continue
            uncounted, remaining = int(event["count"]), list[ExpectedEvent]()
            for expected in left:
                at = expected.at + self.offset
                fits = event["from"] - CLOCK_TOLERANCE_US <= at <= event["to"] + CLOCK_TOLERANCE_US
                if uncounted and fits:
                    uncounted -= 1
                else:
                    remaining.append(expected)
            left = remaining
        gaps = {g["origin"].split("/")[0] for p in self.pages if p.channel == channel for g in p.gaps}
        return [] if who in gaps else left

    def _check_duplicates(self) -> None:
        """Check for duplicates; only a restart may log again the events of messages that it still owes."""
        delivered = {e.message for e in self.entries if e.what == "answer" and e.note == "200"}
        for channel, order in self.longest_orders.items():
            counts: Counter[tuple[str, str, str]] = Counter()
            for e in order.events:
                message, at = e.get("message", ""), e["at"] - self.offset
                if e["kind"] in FINAL_KINDS:
                    counts[e["origin"], message, "a final event"] += 1
                elif e["kind"] in (TAKEN, BEGUN):
                    attempt = f" of attempt {e['leg']} at {e['endpoint']}" if e["kind"] == BEGUN else ""
                    counts[e["origin"], message, e["kind"] + attempt] += 1
                if e["kind"] == DELIVERED and message not in delivered:
                    text = f"channel {channel} has a delivery that no partner confirms"
                    self._add_violation("event", at, message, text)
            for (who, message, what), count in counts.items():
                if count > 1 + self.restarts[who]:
                    text = f"channel {channel} has {what} {count} times from {who}"
                    self._add_violation("event", 0, message, text)

    # Rule `whole`: a read during the run agrees with the final order.

    def _check_read(self, page: Page) -> None:
        def report(text: str) -> None:
            self._add_violation("whole", page.at, "", f"{page.who}, channel {page.channel}: {text}")

        if page.status != 200:
            if not page.status and not self.disruptions.overlap(page.who, page.at - 12 * SECOND_US, page.at):
                report(f"read was not answered: {page.text}")
            elif page.status and not page.text:
                report(f"status {page.status} without a text")
            elif page.status == 404 and self._known_events(page, page.as_of - CLOCK_TOLERANCE_US):
                report("answered never seen although the channel has events")
            return
        if page.complete and page.missing:
            report("says complete and lists missing parts")
        if not page.complete and not all(o.get("what") and o.get("why") for o in page.missing or [{}]):
            report("says incomplete and gives no reason")
        order = self.longest_orders.get(page.channel)
        if (
            order is None
            or reports_missing(page, MISSING_OTHERS)
            or any("use from" in one["why"] for one in page.missing)
        ):
            return
        until = min(page.as_of, page.settled_until, order.until)
        if page.complete and page.settled_until < page.as_of:
            report("says complete beyond the time up to which it is settled")
        returned = [event for event in page.events if event["at"] <= until]
        known = order.events_until(until)
        if len(page.events) >= page.limit:
            known = known[len(known) - len(returned) :] if returned else []
        for first_event, second_event in zip_longest(returned, known):
            if (
                first_event is None
                or second_event is None
                or canonical_bytes(first_event) != canonical_bytes(second_event)
            ):
                ids = [event["id"] if event else "nothing" for event in (first_event, second_event)]
                report(f"{ids[0]} where the order has {ids[1]}, up to {until}, by {page.answered_by}")
                return
        if page.complete:
            self._check_complete_read(page)

    def _check_complete_read(self, page: Page) -> None:
        """Check that a complete read has every event that the books imply up to its time."""
        present = {(e["origin"], e["kind"], e.get("message", "")) for e in page.events}
        for expected in self._expected:
            if (
                expected.channel != page.channel
                or expected.at + self.offset + CLOCK_TOLERANCE_US > page.as_of
            ):
                continue
            is_present = any((expected.who, kind, expected.message) in present for kind in expected.kinds)
            disrupted = self.disruptions.overlap(
                expected.who, expected.at - CLOCK_TOLERANCE_US, expected.at + CLOCK_TOLERANCE_US
            )
            if not is_present and not disrupted and not self._may_be_lost(expected):
                text = (
                    f"{page.who}, channel {page.channel}: complete, but lacks {' or '.join(expected.kinds)}"
                )
                self._add_violation("whole", page.at, expected.message, text)

    def _known_events(self, page: Page, until: int) -> list[EventDocument]:
        order = self.longest_orders.get(page.channel)
        return order.events_until(min(until, order.until)) if order is not None else []

    # Rule `detach`: every sender that can know of a detach obeys it.

    def _check_detach(self) -> None:
        since: dict[str, Entry] = {}
        for entry in self.entries:
            if entry.what == "detach":
                since.setdefault(entry.place, entry)
            elif entry.what == "attach":
                since.pop(entry.place, None)
            elif entry.what == "call" and entry.place in since:
                detach = since[entry.place]
                due = self._detach_due(
                    detach.who,
                    detach.at,
                    self._detach_due(entry.who, detach.at, detach.at + self.detach_limit_us),
                )
                if entry.at > due:
                    late_s = (entry.at - detach.at) / SECOND_US
                    text = f"{entry.who} called {entry.place} {late_s:.1f} s after {detach.who} detached it"
                    self._add_violation("detach", entry.at, entry.message, text)

    def _detach_due(self, who: str, since: int, due: int) -> int:
        """Return when a sender must know of a detach; the limit starts anew after each disruption."""
        for begin, end in sorted(self.disruptions.spans[who]):
            if begin <= due and end >= since:
                due = max(due, end + self.detach_limit_us)
        return due
