"""A read of the past: what is asked of it, whom it asks next and when it gives up, and what it may say.

`Router` and `Read` decide and do no I/O: their user carries out what `Read.next` returns and tells the router
how it ended. Decided as in rowanspindle/logic.py, whose names these are: windows of calls in flight, ranks by
load and recent failures, told waits, a budget of repeats. Times on the caller's steady clock are `now_us`;
all others are Unix microseconds. Source: docs/channels.md.
"""

from __future__ import annotations

import math
import re
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated, Any, Protocol
from urllib.parse import parse_qsl, urlencode

import msgspec
from msgspec import Meta

from rowanrack.channels.events import FLEET, Event, Gap, Place
from rowanrack.channels.layout import Keeper, Layouts
from rowanrack.channels.past import ChannelState
from rowanspindle.data_structures import ConcurrencyWindow, RunningMean, TokenBucket

PATH = "/_channels/"
LIMIT, LIMIT_MOST = 200, 1000  # events in an answer
TIME_MOST = 2**62
WALK_MOST, PAGE = 20_000, 1000  # events that one read may walk at a keeper, on the log's thread, and at once

FAILURE_WEIGHT, FAILURE_DECAY_S = 10.0, 3.0  # as in logic.py
UNCONFIRMED = 40.0  # calls in flight that it weighs if a keeper has not confirmed
WINDOW_START, WINDOW_MOST, WINDOW_FLOOR, WINDOW_CUT = 4.0, 32.0, 1.0, 0.7
SMOOTH, SILENCE_MEANS, SILENCE_DEVIATIONS = 0.15, 5.0, 8.0
SILENCE_LEAST_US = 50_000
TIMEOUT_SILENCES = 4.0  # silences after which an ask is given up; after one another keeper may be asked
BACKOFF_US, BACKOFF_DOUBLES = 100_000, 4  # after a failure that told no wait
TRIES = 2  # asks of one keeper in one read
SECOND_US = 1_000_000


class PartAsked(msgspec.Struct, frozen=True, array_like=True):
    """What is asked of a keeper: the last `limit` events from `since_us` up to and including `until_us`.

    With `before`, whose time `until_us` then is, those up to that place without it, and the state there.
    """

    channel: str
    since_us: Annotated[int, Meta(ge=0)]
    until_us: Annotated[int, Meta(ge=0, le=TIME_MOST)]
    limit: Annotated[int, Meta(ge=1, le=LIMIT_MOST)]
    before: Place | None = None


class PartGiven(msgspec.Struct, frozen=True, array_like=True):
    """What a keeper has of it."""

    channel: str
    site: str
    whole: bool  # by its own word it keeps the channel whole
    seen: bool  # it has, or had, an event of the channel, or that is `fleet`
    settled_until: int
    held_by: list[str]  # the sites that were not heard from
    count: int  # events from `since_us` to `until_us`, those past the limit among them
    walked_until: int  # up to where they were walked: until_us, or less where there are too many
    events: list[Event]
    gaps: list[Gap]
    state: dict[str, Any]


class PartLog(Protocol):
    """What the answering side needs of a site's log. May raise LogError, which is its user's to answer."""

    site: str

    def read(self, channel: str, since: Place | None, until_us: int, limit: int) -> Sequence[Event]: ...
    def gaps(self, channel: str) -> Sequence[Gap]: ...
    def settled_until(self, channel: str) -> tuple[int, list[str]]: ...


@dataclass(frozen=True, slots=True)
class Query:
    """What an operator asks: a channel as of `at_us` (None: now), with its events from `from_us` on."""

    channel: str
    at_us: int | None = None
    from_us: int = 0
    limit: int = LIMIT
    before: Place | None = None  # as of there, and without it; `at_us` is its time


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask a site for a part, and tell the router within that time how it ended."""

    keeper: str
    part: PartAsked
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be done before that time, unless something ends."""

    until_us: int


@dataclass(frozen=True, slots=True)
class Answer:
    """What the operator hears: a document, or for another status than 200 one line."""

    status: int
    document: dict[str, Any] = field(default_factory=dict)
    text: str = ""
    retry_after_s: int = 0  # with 503

    def body(self) -> bytes:
        """The document as JSON, or the line."""
        return msgspec.json.encode(self.document) + b"\n" if self.status == 200 else f"{self.text}\n".encode()


@dataclass(frozen=True, slots=True)
class Done:
    """The read is over; the same is returned from then on."""

    answer: Answer


_PLACE = re.compile("([0-9]{1,19})/([0-9]{1,18})/(.+)/([^/]+)/([0-9]{1,18})")


def parse(target: str) -> Query:
    """The query in a request's target. Raises ValueError with a text for the caller: it answers 400."""
    path, _, rest = target.partition("?")
    channel = path.removeprefix(PATH)
    if path == channel or not re.fullmatch(r"fleet|0|[1-9][0-9]{0,18}", channel):
        raise ValueError(f"the path names no channel: {PATH}NUMBER or {PATH}{FLEET}")
    found: dict[str, int] = {}
    before: Place | None = None
    try:
        pairs = parse_qsl(rest, keep_blank_values=True, strict_parsing=True, max_num_fields=8) if rest else []
    except ValueError:
        raise ValueError("the query is no NAME=VALUE&...") from None
    for key, text in pairs:
        if key not in ("at", "from", "limit"):
            raise ValueError(f"unknown parameter {key[:32]!r}: there are at, from and limit")
        if key in found:
            raise ValueError(f"{key} is given twice")
        if key == "at" and (place := _PLACE.fullmatch(text)) is not None:
            text, tick, site, life, number = place.groups()
            before = Place(int(text), int(tick), site, life, int(number))
        if text.startswith("-"):
            raise ValueError(f"{key} must not be negative")
        if not re.fullmatch("[0-9]{1,19}", text) or int(text) > TIME_MOST:
            what = "a number from 1 to 1000" if key == "limit" else "a time in Unix microseconds"
            raise ValueError(f"{key} is not {what}: {text[:32]!r}")
        found[key] = int(text)
    query = Query(channel, found.get("at"), found.get("from", 0), found.get("limit", LIMIT), before)
    if not 1 <= query.limit <= LIMIT_MOST:
        raise ValueError(f"limit must lie in 1 to {LIMIT_MOST}")
    if query.at_us is not None and query.from_us > query.at_us:
        raise ValueError("from must not be later than at")
    return query


def _earlier(part: PartAsked, first: Event) -> str:
    """The target of a read that goes on in front of an event: the page before this one."""
    asked = {"at": "/".join(map(str, first.place)), "from": part.since_us, "limit": part.limit}
    if not part.since_us:
        del asked["from"]
    return f"{PATH}{part.channel}?{urlencode(asked, safe='/')}"


def give(log: PartLog, layouts: Layouts, asked: PartAsked) -> PartGiven:
    """A site's answer to a part: its last events, and the state folded over all from `since_us` on."""
    channel, until_us = asked.channel, asked.until_us
    state = ChannelState(channel, until_us)
    last: deque[Event] = deque(maxlen=asked.limit)
    walked_until, count = _walk(log, channel, asked, state, last)
    settled, held_by = log.settled_until(channel)
    gaps = list(log.gaps(channel))
    seen = channel == FLEET or bool(count or gaps) or bool(log.read(channel, None, TIME_MOST, 1))
    if channel != FLEET:
        fleet = msgspec.structs.replace(asked, since_us=0)
        fleet_until, _ = _walk(log, FLEET, fleet, state, None)
        fleet_settled, fleet_held = log.settled_until(FLEET)
        walked_until = min(walked_until, fleet_until)
        # Who wrote on it would have met us: where nothing was, what is known of the fleet will do.
        settled = min(settled, fleet_settled) if seen else fleet_settled
        held_by = sorted({*held_by, *fleet_held})
    return PartGiven(channel, log.site, layouts.whole(log.site, channel), seen, settled, held_by,
                     count, walked_until, list(last), gaps, state.as_document())  # fmt: skip


def _walk(
    log: PartLog, channel: str, asked: PartAsked, state: ChannelState, last: deque[Event] | None
) -> tuple[int, int]:
    """Show the past a channel's events; up to where that went, and how many they were."""
    since, until_us, before, count = Place(asked.since_us, -1, "", "", 0), asked.until_us, asked.before, 0
    while page := log.read(channel, since, until_us, PAGE):
        within = page if before is None else [event for event in page if event.place < before]
        for event in within:
            state.apply(event)
        if last is not None:
            last.extend(within)
        since, count = page[-1].place, count + len(within)
        if len(within) < len(page):
            break
        if count >= WALK_MOST and log.read(channel, since, until_us, 1):
            return since.at, count
    return until_us, count


class Site:
    """A keeper as the router knows it."""

    def __init__(self) -> None:
        self.window = ConcurrencyWindow(WINDOW_START, WINDOW_MOST, WINDOW_FLOOR, WINDOW_CUT)
        self.out: dict[PartAsked, Out] = {}
        self.usual = RunningMean(SMOOTH)
        self.failures, self.failed_at, self.row = 0.0, 0, 0
        self.opens_at = 0

    def rank(self, now_us: int) -> float:
        """Calls in flight, and ten for each recent failure."""
        gone = (now_us - self.failed_at) / SECOND_US
        return len(self.out) + FAILURE_WEIGHT * self.failures * math.exp(-gone / FAILURE_DECAY_S)

    def silence_us(self, guess_us: int) -> int:
        """How long an ask may be out before that is a symptom."""
        mean = self.usual.mean
        usual = max(mean * SILENCE_MEANS, mean + SILENCE_DEVIATIONS * self.usual.deviation)
        return min(max(SILENCE_LEAST_US, int(usual)), guess_us) if usual else guess_us

    def failed(self, now_us: int, sent_at: int, wait_us: int) -> None:
        """An ask failed: cut the window, weigh it in the rank, and heed the told wait or back off."""
        self.window.cut(now_us, sent_at)
        gone = (now_us - self.failed_at) / SECOND_US
        self.failures = 1 + self.failures * math.exp(-gone / FAILURE_DECAY_S)
        self.failed_at = now_us
        wait_us = wait_us or BACKOFF_US << min(self.row, BACKOFF_DOUBLES)
        self.row += 1
        self.opens_at = max(self.opens_at, now_us + wait_us)


@dataclass(slots=True, eq=False)
class Out:
    """An ask in flight, and the reads that wait for it."""

    sent_at: int
    silent_at: int
    readers: list[Read] = field(default_factory=list)
    counted: bool = False  # its silence was held against the site


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router goes by."""

    site: str  # the sender's own name
    deadline_us: int = 2 * SECOND_US  # of a read
    silence_us: int = 400_000  # of an ask, while nothing is known of a site, and at most
    repeats: float = 0.2  # that each first ask adds to the budget
    repeats_per_s: float = 0.5  # that come by themselves
    repeats_most: float = 10.0


class Router:
    """What the reads of one sender share: what is known of the keepers, the budget, and asks in flight."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.sites: dict[str, Site] = {}
        self.budget = TokenBucket(settings.repeats_most)
        self._blocked: dict[Read, None] = {}  # reads for which no window had room

    def read(self, query: Query, layouts: Layouts, now_us: int, unix_us: int) -> Read:
        """Begin a read; its `next` says what to do."""
        at = unix_us if query.at_us is None else query.at_us
        part = PartAsked(query.channel, min(query.from_us, at), at, query.limit, query.before)
        keepers = layouts.keepers(query.channel, at)
        return Read(self, part, keepers, layouts.at(at).version, now_us)

    def known(self, site: str) -> Site:
        """What is known of a site."""
        return self.sites.setdefault(site, Site())

    def answered(self, ask: Ask, body: bytes, now_us: int) -> list[Read]:
        """An ask was answered; the reads whose `next` has something new. A damaged answer is a failure."""
        try:
            given = msgspec.msgpack.decode(body, type=PartGiven)
            _check(ask, given)
        except (ValueError, TypeError, msgspec.MsgspecError, RecursionError) as bad:
            return self.failed(ask, f"a damaged answer: {bad}", 0, now_us)
        site = self.known(ask.keeper)
        if (out := site.out.pop(ask.part, None)) is None:
            return []
        site.usual.add(now_us - out.sent_at)
        site.window.grow(len(site.out))
        site.row = 0
        for read in out.readers:
            read.given[ask.keeper] = given
        return self._stirred(out.readers)

    def failed(self, ask: Ask, why: str, wait_us: int, now_us: int) -> list[Read]:
        """An ask failed, or was not answered in its time: why, and for how long the site wants no other.

        0 microseconds: it did not say. Returns the reads whose `next` has something new.
        """
        site = self.known(ask.keeper)
        if (out := site.out.pop(ask.part, None)) is None:
            return []
        if not out.counted or wait_us:
            site.failed(now_us, out.sent_at, wait_us)
        for read in out.readers:
            read.failures[ask.keeper] = why
        return self._stirred(out.readers)

    def _stirred(self, readers: list[Read]) -> list[Read]:
        stirred = dict.fromkeys([*readers, *self._blocked])
        self._blocked.clear()
        return [read for read in stirred if not read.over]

    def block(self, read: Read) -> None:
        """A read waits for room in a window."""
        self._blocked[read] = None

    def leave(self, read: Read) -> None:
        """A read is over; its asks go on for what they teach, and for others that joined."""
        self._blocked.pop(read, None)

    def earn(self) -> None:
        """A first ask goes out."""
        self.budget.tokens = min(self.settings.repeats_most, self.budget.tokens + self.settings.repeats)

    def repeat_at(self, now_us: int) -> int:
        """When the budget has a repeat."""
        return self.budget.next_at(now_us, self.settings.repeats_per_s, self.settings.repeats_most)


def _check(ask: Ask, given: PartGiven) -> None:
    """Raises an error for an answer that is not one to that ask."""
    part, places = ask.part, [event.place for event in given.events]
    if (given.site, given.channel) != (ask.keeper, part.channel):
        raise ValueError("of another site or channel")
    if any(e.channel != part.channel or not part.since_us <= e.at <= part.until_us for e in given.events):
        raise ValueError("an event of another channel or time")
    if part.before is not None and places and places[-1] >= part.before:
        raise ValueError("an event behind the place that was asked for")
    if places != sorted(places) or len(places) != min(given.count, part.limit):
        raise ValueError("events out of order or too few")
    msgspec.json.encode(given.state)


class Read:
    """One read. Its user calls `next` at once, at the time of a Wait, and when the router returns it."""

    def __init__(
        self, router: Router, part: PartAsked, keepers: list[Keeper], layout: int, now_us: int
    ) -> None:
        self.router, self.part, self.keepers, self.layout = router, part, keepers, layout
        self.deadline = now_us + router.settings.deadline_us
        self.given: dict[str, PartGiven] = {}
        self.failures: dict[str, str] = {}
        self._tries: dict[str, int] = {}
        self._fallback = all(keeper.site != router.settings.site for keeper in keepers)  # to our own copy
        self.over: Done | None = None

    def next(self, now_us: int) -> list[Ask | Wait | Done]:
        """What to do now: asks to send, then one Wait or Done."""
        actions: list[Ask | Wait | Done] = []
        if self.over is None:
            wake = self._advance(now_us, actions)
            if wake is not None:
                return [*actions, Wait(wake)]
            self.over = Done(self._answer(now_us))
            self.router.leave(self)
        return [*actions, self.over]

    def _advance(self, now_us: int, actions: list[Ask | Wait | Done]) -> int | None:
        """Ask whom it is time to ask. When to look again; None: it is time to answer."""
        if now_us >= self.deadline or any(g.whole and g.settled_until for g in self.given.values()):
            return None
        silent = self._silences(now_us)
        if silent is not None:
            return min(silent, self.deadline)
        asked, wake = self._ask(now_us, actions)
        if self._fallback and self._tries.keys() != {asked}:  # not all goes well: have our own copy ready
            self._fallback = False
            self._send(self.router.settings.site, now_us, actions)
            del self._tries[self.router.settings.site]
        enough = wake is None or any(given.whole and given.seen for given in self.given.values())
        if enough and not any(self in out.readers for out in self._outs()):
            return None
        return self.deadline if wake is None else min(wake, self.deadline)

    def _outs(self) -> list[Out]:
        names = [*self._tries, self.router.settings.site]
        known = [self.router.known(name).out.get(self.part) for name in names]
        return [out for out in known if out is not None]

    def _silences(self, now_us: int) -> int | None:
        """Hold silences against the keepers that this read waits for. When the next is, if one is to be."""
        soonest = None
        for keeper in self.keepers:
            site = self.router.known(keeper.site)
            if (out := site.out.get(self.part)) is None or self not in out.readers:
                continue
            if now_us < out.silent_at:
                soonest = min(soonest or out.silent_at, out.silent_at)
            elif not out.counted:
                out.counted = True
                site.failed(now_us, out.sent_at, 0)
        return soonest

    def _ask(self, now_us: int, actions: list[Ask | Wait | Done]) -> tuple[str, int | None]:
        """Ask the best keeper that may be asked now: its name and when it is silent; else when one may be."""
        open_to: list[tuple[float, int, str]] = []
        wakes: list[int] = []
        for turn, keeper in enumerate(self.keepers):
            name, site = keeper.site, self.router.known(keeper.site)
            out = site.out.get(self.part)
            if name in self.given or self._tries.get(name, 0) >= TRIES or (out and self in out.readers):
                continue
            if out is not None and now_us < out.silent_at:  # another read asked the same: wait with it
                out.readers.append(self)
                self._tries[name] = self._tries.get(name, 0) + 1
                return name, out.silent_at
            if out is not None:
                wakes.append(self.deadline)  # it is out already, for too long: never twice
                self.router.block(self)
            elif site.opens_at > now_us:
                wakes += [site.opens_at] if site.opens_at < self.deadline else []
            elif len(site.out) >= int(site.window.size):
                wakes.append(self.deadline)
                self.router.block(self)
            else:
                near = 0.5 * (name == self.router.settings.site)
                score = site.rank(now_us) - near + UNCONFIRMED * (not keeper.whole)
                open_to.append((score, turn, name))
        if not open_to:
            return "", min(wakes, default=None)
        if self._tries:
            at = self.router.repeat_at(now_us)
            if at > now_us:
                return "", min(at, self.deadline)
            self.router.budget.tokens -= 1
        else:
            self.router.earn()
        name = min(open_to)[2]
        return name, self._send(name, now_us, actions)

    def _send(self, name: str, now_us: int, actions: list[Ask | Wait | Done]) -> int:
        """Ask a site; if the same is out there already, wait for that. When it counts as silent."""
        site = self.router.known(name)
        self._tries[name] = self._tries.get(name, 0) + 1
        out = site.out.get(self.part)
        if out is None:
            silence = site.silence_us(self.router.settings.silence_us)
            left = self.deadline - now_us
            out = site.out[self.part] = Out(now_us, now_us + silence)
            actions.append(Ask(name, self.part, max(1, min(left, int(silence * TIMEOUT_SILENCES)))))
        out.readers.append(self)
        return out.silent_at

    def _answer(self, now_us: int) -> Answer:
        """What may be said with what was given."""
        best = max(self.given.values(), key=_worth, default=None)
        if best is not None and not best.seen and best.whole and best.settled_until:
            return Answer(404, text=f"channel {self.part.channel} was never seen")
        if best is None or not best.seen:
            waits = [self.router.known(k.site).opens_at - now_us for k in self.keepers]
            seconds = max(1, math.ceil(min(waits, default=0) / SECOND_US))
            why = "; ".join(f"{name}: {text}" for name, text in self._unheard(now_us)) or "it has no keeper"
            return Answer(503, text=f"nobody can answer for channel {self.part.channel}: {why}"[:500],
                          retry_after_s=seconds)  # fmt: skip
        missing = self._missing(best, now_us)
        keepers = [{"site": k.site, "whole": k.whole, "instead_of": list(k.instead_of)} for k in self.keepers]
        document = {
            "channel": self.part.channel,
            "at": self.part.until_us,
            "layout": self.layout,
            "keepers": keepers,
            "answered_by": best.site,
            "settled_until": best.settled_until,
            "complete": not missing,
            "missing": [{"what": what, "why": why} for what, why in missing],
            "gaps": [_shown_gap(gap) for gap in best.gaps],
            "events": [_shown(event) for event in best.events],
            "earlier": _earlier(self.part, best.events[0]) if best.count > len(best.events) else None,
            "state": best.state,
        }
        return Answer(200, document)

    def _unheard(self, now_us: int) -> list[tuple[str, str]]:
        """The keepers that gave nothing, and why."""
        found = []
        for keeper in self.keepers:
            site = self.router.known(keeper.site)
            if keeper.site in self.given:
                if self.given[keeper.site].seen:
                    continue
                why = "saw nothing of it, and has not confirmed that it keeps all of it"
            elif keeper.site in self.failures:
                why = self.failures[keeper.site]
            elif keeper.site in self._tries:
                why = "no answer yet"
            elif site.opens_at > now_us:
                why = f"not to be asked for {(site.opens_at - now_us) / SECOND_US:.1f} s"
            else:
                why = "no room for an ask, or no repeat left"
            found.append((keeper.site, why))
        return found

    def _missing(self, best: PartGiven, now_us: int) -> list[tuple[str, str]]:
        """What the answer does not hold though it was asked for, and why."""
        part, found = self.part, list[tuple[str, str]]()
        if not best.whole:
            keeps = any(keeper.site == best.site for keeper in self.keepers)
            why = "has not confirmed that it keeps all of it" if keeps else "is no keeper: its own copy only"
            found.append(("what others wrote", f"{best.site} {why}"))
            found += [(f"what {name} keeps", why) for name, why in self._unheard(now_us)]
        if part.until_us > best.settled_until:
            why = f"not heard from: {', '.join(best.held_by) or 'some sender'}"
            found.append((f"events from {best.settled_until + 1} to {part.until_us}", why))
        if best.walked_until < part.until_us:
            why = f"more than {WALK_MOST} events; use from"
            found.append((f"events from {best.walked_until} to {part.until_us}", why))
        if best.count > len(best.events):
            found.append((f"{best.count - len(best.events)} earlier events", f"limit {part.limit}"))
        if part.since_us:
            found.append((f"what the state owes to events before {part.since_us}", "from was given"))
        found += [
            (f"events {g.first} to {g.last} of {g.stream.site}/{g.stream.life}", g.why) for g in best.gaps
        ]
        for key, why in (("lost", "no store had room"), ("damaged", "their payload is damaged")):
            if best.state.get(key):
                found.append((f"{best.state[key]} events in the state", why))
        return found


def _worth(given: PartGiven) -> tuple[bool, bool, int, int, str]:
    """Which answer says more: the channel was seen, the site has it whole, is settled further, has more."""
    return given.seen, given.whole, given.settled_until, given.count, given.site


def _shown(event: Event) -> dict[str, Any]:
    """An event for people. A payload's key that is taken already gets a `_` behind it."""
    head: dict[str, Any] = {"id": event.id, "at": event.at, "origin": event.site, "kind": event.kind}
    try:
        payload = event.payload()
        msgspec.json.encode(payload)
    except (ValueError, TypeError, msgspec.MsgspecError, RecursionError):
        return head | {"damaged": True}
    return head | {f"{key}_" if key in head else str(key): value for key, value in payload.items()}


def _shown_gap(gap: Gap) -> dict[str, Any]:
    origin = f"{gap.stream.site}/{gap.stream.life}"
    return {"origin": origin, "first": gap.first, "last": gap.last, "why": gap.why}
