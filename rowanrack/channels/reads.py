"""Reads of a channel's past state: parsing the query, choosing the keepers to ask, building the answer.

`Router` and `Read` decide and do no I/O: their user executes the actions that `Read.next` returns and tells
the router the results. They use the methods of rowanspindle/logic.py: windows of requests in flight, ranks by
load and recent failures, retry-after waits, a retry budget. Times called `now_us` are on the caller's
monotonic clock; all others are Unix microseconds. Source: docs/channels.md.
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

PATH_PREFIX = "/_channels/"
DEFAULT_LIMIT_COUNT, MAX_LIMIT_COUNT = 200, 1000  # events in an answer: by default, and at most
MAX_TIME_US = 2**62
# Events that a keeper replays for one read, bounded as it does so on the log's thread; events per query.
MAX_REPLAY_COUNT, PAGE_COUNT = 20_000, 1000

FAILURE_WEIGHT, FAILURE_DECAY_S = 10.0, 3.0  # as in logic.py
UNCONFIRMED_WEIGHT = 40.0  # requests in flight that a keeper's missing confirmation counts for in its rank
INITIAL_WINDOW_COUNT, MAX_WINDOW_COUNT, MIN_WINDOW_COUNT, WINDOW_CUT_FACTOR = 4.0, 32.0, 1.0, 0.7
SMOOTHING_FACTOR, SILENCE_MEAN_FACTOR, SILENCE_DEVIATION_FACTOR = 0.15, 5.0, 8.0
MIN_SILENCE_US = 50_000
TIMEOUT_FACTOR = 4.0  # silence limits until a time-out; after one, another keeper may be asked
BACKOFF_US, MAX_DOUBLING_COUNT = 100_000, 4  # without a retry-after wait; the first doubles at most so often
MAX_TRY_COUNT = 2  # requests to one keeper in one read
SECOND_US = 1_000_000


class PartAsked(msgspec.Struct, frozen=True, array_like=True):
    """A request to a keeper for the last `limit` events from `since_us` up to and including `until_us`.

    With `before`, whose time is then `until_us`, only events in front of that place, and the state there.
    """

    channel: str
    since_us: Annotated[int, Meta(ge=0)]
    until_us: Annotated[int, Meta(ge=0, le=MAX_TIME_US)]
    limit: Annotated[int, Meta(ge=1, le=MAX_LIMIT_COUNT)]
    before: Place | None = None


class PartAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A keeper's answer to a `PartAsked`."""

    channel: str
    site: str
    whole: bool  # the keeper states that it has the whole channel
    seen: bool  # it has or had events of the channel, or the channel is `fleet`
    settled_until: int
    held_by: list[str]  # the sites that it has not heard from
    count: int  # events from `since_us` to `until_us`, including those beyond the limit
    walked_until: int  # end of the replay: `until_us`, or earlier if there are too many events
    events: list[Event]
    gaps: list[Gap]
    state: dict[str, Any]


class PartLog(Protocol):
    """The part of a site's log that `give` needs. May raise LogError, which the caller handles."""

    site: str

    def read(self, channel: str, since: Place | None, until_us: int, limit: int) -> Sequence[Event]: ...
    def gaps(self, channel: str) -> Sequence[Gap]: ...
    def settled_until(self, channel: str) -> tuple[int, list[str]]: ...


@dataclass(frozen=True, slots=True)
class Query:
    """An operator's query for a channel as of `at_us` (None: now), with its events from `from_us` on."""

    channel: str
    at_us: int | None = None
    from_us: int = 0
    limit: int = DEFAULT_LIMIT_COUNT
    before: Place | None = None  # as of this place, without its event; `at_us` is its time


@dataclass(frozen=True, slots=True)
class Request:
    """Action: ask a site for a part, and tell the router the result within the timeout."""

    keeper: str
    part: PartAsked
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Action: do nothing before that time, unless the router returns the read."""

    until_us: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to the operator: a document, or one line of text if the status is not 200."""

    status: int
    document: dict[str, Any] = field(default_factory=dict)
    text: str = ""
    retry_after_s: int = 0  # with 503

    def body(self) -> bytes:
        """Return the document as JSON, or the line of text."""
        return msgspec.json.encode(self.document) + b"\n" if self.status == 200 else f"{self.text}\n".encode()


@dataclass(frozen=True, slots=True)
class Done:
    """Action: the read is finished. Each later call of `Read.next` returns the same."""

    answer: Answer


_PLACE_PATTERN = re.compile("([0-9]{1,19})/([0-9]{1,18})/(.+)/([^/]+)/([0-9]{1,18})")


def parse(target: str) -> Query:
    """Parse the target of a request. Raises ValueError with a text for the client, sent with status 400."""
    path, _, query_text = target.partition("?")
    channel = path.removeprefix(PATH_PREFIX)
    if path == channel or not re.fullmatch(r"fleet|0|[1-9][0-9]{0,18}", channel):
        raise ValueError(f"the path names no channel: {PATH_PREFIX}NUMBER or {PATH_PREFIX}{FLEET}")
    found: dict[str, int] = {}
    before: Place | None = None
    try:
        pairs = (
            parse_qsl(query_text, keep_blank_values=True, strict_parsing=True, max_num_fields=8)
            if query_text
            else []
        )
    except ValueError:
        raise ValueError("the query is no NAME=VALUE&...") from None
    for key, text in pairs:
        if key not in ("at", "from", "limit"):
            raise ValueError(f"unknown parameter {key[:32]!r}: there are at, from and limit")
        if key in found:
            raise ValueError(f"{key} is given twice")
        if key == "at" and (place := _PLACE_PATTERN.fullmatch(text)) is not None:
            text, tick, site, life, number = place.groups()
            before = Place(int(text), int(tick), site, life, int(number))
        if text.startswith("-"):
            raise ValueError(f"{key} must not be negative")
        if not re.fullmatch("[0-9]{1,19}", text) or int(text) > MAX_TIME_US:
            expected = "a number from 1 to 1000" if key == "limit" else "a time in Unix microseconds"
            raise ValueError(f"{key} is not {expected}: {text[:32]!r}")
        found[key] = int(text)
    query = Query(
        channel, found.get("at"), found.get("from", 0), found.get("limit", DEFAULT_LIMIT_COUNT), before
    )
    if not 1 <= query.limit <= MAX_LIMIT_COUNT:
        raise ValueError(f"limit must lie in 1 to {MAX_LIMIT_COUNT}")
    if query.at_us is not None and query.from_us > query.at_us:
        raise ValueError("from must not be later than at")
    return query


def _earlier_target(part: PartAsked, first: Event) -> str:
    """Return the target of the read for the previous page, which ends in front of an event."""
    asked = {"at": "/".join(map(str, first.place)), "from": part.since_us, "limit": part.limit}
    if not part.since_us:
        del asked["from"]
    return f"{PATH_PREFIX}{part.channel}?{urlencode(asked, safe='/')}"


def give(log: PartLog, layouts: Layouts, asked: PartAsked) -> PartAnswer:
    """Answer a request for a part: its last events, and the state after all from `since_us` on."""
    channel, until_us = asked.channel, asked.until_us
    state = ChannelState(channel, until_us)
    last: deque[Event] = deque(maxlen=asked.limit)
    walked_until, count = _replay(log, channel, asked, state, last)
    settled, held_by = log.settled_until(channel)
    gaps = list(log.gaps(channel))
    seen = channel == FLEET or bool(count or gaps) or bool(log.read(channel, None, MAX_TIME_US, 1))
    if channel != FLEET:
        fleet = msgspec.structs.replace(asked, since_us=0)
        fleet_until, _ = _replay(log, FLEET, fleet, state, None)
        fleet_settled, fleet_held = log.settled_until(FLEET)
        walked_until = min(walked_until, fleet_until)
        # A writer of the channel would have exchanged with us: without events, the fleet's time is enough.
        settled = min(settled, fleet_settled) if seen else fleet_settled
        held_by = sorted({*held_by, *fleet_held})
    return PartAnswer(channel, log.site, layouts.whole(log.site, channel), seen, settled, held_by,
                     count, walked_until, list(last), gaps, state.as_document())  # fmt: skip


def _replay(
    log: PartLog, channel: str, asked: PartAsked, state: ChannelState, last: deque[Event] | None
) -> tuple[int, int]:
    """Apply a channel's events to the state. Returns the time up to which it got, and their number."""
    since, until_us, before, count = Place(asked.since_us, -1, "", "", 0), asked.until_us, asked.before, 0
    while page := log.read(channel, since, until_us, PAGE_COUNT):
        within = page if before is None else [event for event in page if event.place < before]
        for event in within:
            state.apply(event)
        if last is not None:
            last.extend(within)
        since, count = page[-1].place, count + len(within)
        if len(within) < len(page):
            break
        if count >= MAX_REPLAY_COUNT and log.read(channel, since, until_us, 1):
            return since.at, count
    return until_us, count


class KeeperStats:
    """What the router has measured of a keeper."""

    def __init__(self) -> None:
        self.window = ConcurrencyWindow(
            INITIAL_WINDOW_COUNT, MAX_WINDOW_COUNT, MIN_WINDOW_COUNT, WINDOW_CUT_FACTOR
        )
        self.pending: dict[PartAsked, PendingRequest] = {}
        self.answer_time = RunningMean(SMOOTHING_FACTOR)
        self.failures, self.failed_at_us, self.failures_in_row = 0.0, 0, 0
        self.blocked_until_us = 0

    def rank(self, now_us: int) -> float:
        """Return the requests in flight plus a weight for recent failures, which decays."""
        elapsed_s = (now_us - self.failed_at_us) / SECOND_US
        return len(self.pending) + FAILURE_WEIGHT * self.failures * math.exp(-elapsed_s / FAILURE_DECAY_S)

    def silence_us(self, max_us: int) -> int:
        """Return how long a request may be unanswered before it counts as a failure."""
        mean = self.answer_time.mean
        limit_us = max(
            mean * SILENCE_MEAN_FACTOR, mean + SILENCE_DEVIATION_FACTOR * self.answer_time.deviation
        )
        return min(max(MIN_SILENCE_US, int(limit_us)), max_us) if limit_us else max_us

    def failed(self, now_us: int, sent_at_us: int, wait_us: int) -> None:
        """Handle a failure: cut the window, worsen the rank, and obey the retry-after wait or back off."""
        self.window.cut(now_us, sent_at_us)
        elapsed_s = (now_us - self.failed_at_us) / SECOND_US
        self.failures = 1 + self.failures * math.exp(-elapsed_s / FAILURE_DECAY_S)
        self.failed_at_us = now_us
        wait_us = wait_us or BACKOFF_US << min(self.failures_in_row, MAX_DOUBLING_COUNT)
        self.failures_in_row += 1
        self.blocked_until_us = max(self.blocked_until_us, now_us + wait_us)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request in flight, and the reads that wait for its answer."""

    sent_at_us: int
    silent_at_us: int
    readers: list[Read] = field(default_factory=list)
    silence_counted: bool = False  # its silence was counted as a failure of the site


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a router."""

    site: str  # the sender's own name
    deadline_us: int = 2 * SECOND_US  # of a read
    silence_us: int = 400_000  # silence limit of a site without measurements, and the largest one
    repeats: float = 0.2  # retries that each first request adds to the budget
    repeats_per_s: float = 0.5  # retries added to the budget per second
    repeats_most: float = 10.0


class Router:
    """The state shared by all reads of a sender: keepers' statistics, retry budget, requests in flight."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.sites: dict[str, KeeperStats] = {}
        self.budget = TokenBucket(settings.repeats_most)
        self._blocked: dict[Read, None] = {}  # reads that found all windows full

    def read(self, query: Query, layouts: Layouts, now_us: int, unix_us: int) -> Read:
        """Create a read; its `next` returns what to do."""
        at = unix_us if query.at_us is None else query.at_us
        part = PartAsked(query.channel, min(query.from_us, at), at, query.limit, query.before)
        keepers = layouts.keepers(query.channel, at)
        return Read(self, part, keepers, layouts.at(at).version, now_us)

    def keeper_stats(self, site: str) -> KeeperStats:
        """Return the statistics of a site."""
        return self.sites.setdefault(site, KeeperStats())

    def answered(self, request: Request, body: bytes, now_us: int) -> list[Read]:
        """Handle an answer; a damaged one is a failure. Returns the reads whose `next` must be called."""
        try:
            answer = msgspec.msgpack.decode(body, type=PartAnswer)
            _check(request, answer)
        except (ValueError, TypeError, msgspec.MsgspecError, RecursionError) as error:
            return self.failed(request, f"a damaged answer: {error}", 0, now_us)
        site = self.keeper_stats(request.keeper)
        if (pending := site.pending.pop(request.part, None)) is None:
            return []
        site.answer_time.add(now_us - pending.sent_at_us)
        site.window.grow(len(site.pending))
        site.failures_in_row = 0
        for read in pending.readers:
            read.answers[request.keeper] = answer
        return self._reads_to_advance(pending.readers)

    def failed(self, request: Request, why: str, wait_us: int, now_us: int) -> list[Read]:
        """Handle a request that failed or timed out, with the reason and the retry-after wait (0: none).

        Returns the reads whose `next` must be called.
        """
        site = self.keeper_stats(request.keeper)
        if (pending := site.pending.pop(request.part, None)) is None:
            return []
        if not pending.silence_counted or wait_us:
            site.failed(now_us, pending.sent_at_us, wait_us)
        for read in pending.readers:
            read.failures[request.keeper] = why
        return self._reads_to_advance(pending.readers)

    def _reads_to_advance(self, readers: list[Read]) -> list[Read]:
        reads = dict.fromkeys([*readers, *self._blocked])
        self._blocked.clear()
        return [read for read in reads if not read.result]

    def block(self, read: Read) -> None:
        """Let a read wait for room in a window."""
        self._blocked[read] = None

    def finish(self, read: Read) -> None:
        """Remove a finished read. Its requests continue, for their measurements and for other reads."""
        self._blocked.pop(read, None)

    def add_retry_tokens(self) -> None:
        """Add to the retry budget for the first request of a read."""
        self.budget.tokens = min(self.settings.repeats_most, self.budget.tokens + self.settings.repeats)

    def retry_at(self, now_us: int) -> int:
        """Return when the budget allows a retry."""
        return self.budget.next_at(now_us, self.settings.repeats_per_s, self.settings.repeats_most)


def _check(request: Request, answer: PartAnswer) -> None:
    """Raise an error if an answer does not match its request."""
    part, places = request.part, [event.place for event in answer.events]
    if (answer.site, answer.channel) != (request.keeper, part.channel):
        raise ValueError("of another site or channel")
    if any(e.channel != part.channel or not part.since_us <= e.at <= part.until_us for e in answer.events):
        raise ValueError("an event of another channel or time")
    if part.before is not None and places and places[-1] >= part.before:
        raise ValueError("an event behind the place that was asked for")
    if places != sorted(places) or len(places) != min(answer.count, part.limit):
        raise ValueError("events out of order or too few")
    msgspec.json.encode(answer.state)


class Read:
    """One read. Its user calls `next` at once, at the time of a `Wait`, and when the router returns it."""

    def __init__(
        self, router: Router, part: PartAsked, keepers: list[Keeper], layout: int, now_us: int
    ) -> None:
        self.router, self.part, self.keepers, self.layout = router, part, keepers, layout
        self.deadline = now_us + router.settings.deadline_us
        self.answers: dict[str, PartAnswer] = {}
        self.failures: dict[str, str] = {}
        self._tries: dict[str, int] = {}
        self._fallback = all(
            keeper.site != router.settings.site for keeper in keepers
        )  # to this site's own copy
        self.result: Done | None = None

    def next(self, now_us: int) -> list[Request | Wait | Done]:
        """Return what to do now: requests to send, then one `Wait` or `Done`."""
        actions: list[Request | Wait | Done] = []
        if self.result is None:
            wake_at = self._advance(now_us, actions)
            if wake_at is not None:
                return [*actions, Wait(wake_at)]
            self.result = Done(self._answer(now_us))
            self.router.finish(self)
        return [*actions, self.result]

    def _advance(self, now_us: int, actions: list[Request | Wait | Done]) -> int | None:
        """Send the requests that are due. Returns when to check again, or None if it is time to answer."""
        if now_us >= self.deadline or any(g.whole and g.settled_until for g in self.answers.values()):
            return None
        next_silence = self._count_silences(now_us)
        if next_silence is not None:
            return min(next_silence, self.deadline)
        asked, wake_at = self._request_best(now_us, actions)
        if self._fallback and self._tries.keys() != {asked}:  # a request failed: ask for the own copy, too
            self._fallback = False
            self._send(self.router.settings.site, now_us, actions)
            del self._tries[self.router.settings.site]
        enough = wake_at is None or any(answer.whole and answer.seen for answer in self.answers.values())
        if enough and not any(self in pending.readers for pending in self._pending_requests()):
            return None
        return self.deadline if wake_at is None else min(wake_at, self.deadline)

    def _pending_requests(self) -> list[PendingRequest]:
        names = [*self._tries, self.router.settings.site]
        pending_requests = [self.router.keeper_stats(name).pending.get(self.part) for name in names]
        return [pending for pending in pending_requests if pending is not None]

    def _count_silences(self, now_us: int) -> int | None:
        """Count the silences of the keepers that this read waits for. Returns when the next one is due."""
        soonest = None
        for keeper in self.keepers:
            site = self.router.keeper_stats(keeper.site)
            if (pending := site.pending.get(self.part)) is None or self not in pending.readers:
                continue
            if now_us < pending.silent_at_us:
                soonest = min(soonest or pending.silent_at_us, pending.silent_at_us)
            elif not pending.silence_counted:
                pending.silence_counted = True
                site.failed(now_us, pending.sent_at_us, 0)
        return soonest

    def _request_best(self, now_us: int, actions: list[Request | Wait | Done]) -> tuple[str, int | None]:
        """Ask the best available keeper. Returns its name and silence limit, or "" and when to try again."""
        candidates: list[tuple[float, int, str]] = []
        wake_times: list[int] = []
        for turn, keeper in enumerate(self.keepers):
            name, site = keeper.site, self.router.keeper_stats(keeper.site)
            pending = site.pending.get(self.part)
            if (
                name in self.answers
                or self._tries.get(name, 0) >= MAX_TRY_COUNT
                or (pending and self in pending.readers)
            ):
                continue
            if pending is not None and now_us < pending.silent_at_us:  # share another read's request
                pending.readers.append(self)
                self._tries[name] = self._tries.get(name, 0) + 1
                return name, pending.silent_at_us
            if pending is not None:
                wake_times.append(self.deadline)  # in flight and silent: never send it twice
                self.router.block(self)
            elif site.blocked_until_us > now_us:
                wake_times += [site.blocked_until_us] if site.blocked_until_us < self.deadline else []
            elif len(site.pending) >= int(site.window.size):
                wake_times.append(self.deadline)
                self.router.block(self)
            else:
                local_bonus = 0.5 * (name == self.router.settings.site)
                score = site.rank(now_us) - local_bonus + UNCONFIRMED_WEIGHT * (not keeper.whole)
                candidates.append((score, turn, name))
        if not candidates:
            return "", min(wake_times, default=None)
        if self._tries:
            at = self.router.retry_at(now_us)
            if at > now_us:
                return "", min(at, self.deadline)
            self.router.budget.tokens -= 1
        else:
            self.router.add_retry_tokens()
        name = min(candidates)[2]
        return name, self._send(name, now_us, actions)

    def _send(self, name: str, now_us: int, actions: list[Request | Wait | Done]) -> int:
        """Ask a site, or join the same request in flight. Returns when it counts as silent."""
        site = self.router.keeper_stats(name)
        self._tries[name] = self._tries.get(name, 0) + 1
        pending = site.pending.get(self.part)
        if pending is None:
            silence = site.silence_us(self.router.settings.silence_us)
            left = self.deadline - now_us
            pending = site.pending[self.part] = PendingRequest(now_us, now_us + silence)
            actions.append(Request(name, self.part, max(1, min(left, int(silence * TIMEOUT_FACTOR)))))
        pending.readers.append(self)
        return pending.silent_at_us

    def _answer(self, now_us: int) -> Answer:
        """Build the answer from what the keepers have given."""
        best = max(self.answers.values(), key=_answer_rank, default=None)
        if best is not None and not best.seen and best.whole and best.settled_until:
            return Answer(404, text=f"channel {self.part.channel} was never seen")
        if best is None or not best.seen:
            waits = [self.router.keeper_stats(k.site).blocked_until_us - now_us for k in self.keepers]
            seconds = max(1, math.ceil(min(waits, default=0) / SECOND_US))
            why = (
                "; ".join(f"{name}: {text}" for name, text in self._unanswered(now_us)) or "it has no keeper"
            )
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
            "missing": [{"what": item, "why": why} for item, why in missing],
            "gaps": [_gap_document(gap) for gap in best.gaps],
            "events": [_event_document(event) for event in best.events],
            "earlier": _earlier_target(self.part, best.events[0]) if best.count > len(best.events) else None,
            "state": best.state,
        }
        return Answer(200, document)

    def _unanswered(self, now_us: int) -> list[tuple[str, str]]:
        """Return the keepers that gave nothing, with the reasons."""
        found = []
        for keeper in self.keepers:
            site = self.router.keeper_stats(keeper.site)
            if keeper.site in self.answers:
                if self.answers[keeper.site].seen:
                    continue
                why = "saw nothing of it, and has not confirmed that it keeps all of it"
            elif keeper.site in self.failures:
                why = self.failures[keeper.site]
            elif keeper.site in self._tries:
                why = "no answer yet"
            elif site.blocked_until_us > now_us:
                why = f"not to be asked for {(site.blocked_until_us - now_us) / SECOND_US:.1f} s"
            else:
                why = "no room for an ask, or no repeat left"
            found.append((keeper.site, why))
        return found

    def _missing(self, best: PartAnswer, now_us: int) -> list[tuple[str, str]]:
        """Return what was asked for and is missing from the answer, with the reasons."""
        part, found = self.part, list[tuple[str, str]]()
        if not best.whole:
            keeps = any(keeper.site == best.site for keeper in self.keepers)
            why = "has not confirmed that it keeps all of it" if keeps else "is no keeper: its own copy only"
            found.append(("what others wrote", f"{best.site} {why}"))
            found += [(f"what {name} keeps", why) for name, why in self._unanswered(now_us)]
        if part.until_us > best.settled_until:
            why = f"not heard from: {', '.join(best.held_by) or 'some sender'}"
            found.append((f"events from {best.settled_until + 1} to {part.until_us}", why))
        if best.walked_until < part.until_us:
            why = f"more than {MAX_REPLAY_COUNT} events; use from"
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


def _answer_rank(answer: PartAnswer) -> tuple[bool, bool, int, int, str]:
    """Return a key that is larger for the better answer: seen, whole, settled later, more events."""
    return answer.seen, answer.whole, answer.settled_until, answer.count, answer.site


def _event_document(event: Event) -> dict[str, Any]:
    """Return an event as JSON. Payload keys that clash with those of the event get a trailing `_`."""
    head: dict[str, Any] = {"id": event.id, "at": event.at, "origin": event.site, "kind": event.kind}
    try:
        payload = event.payload()
        msgspec.json.encode(payload)
    except (ValueError, TypeError, msgspec.MsgspecError, RecursionError):
        return head | {"damaged": True}
    return head | {f"{key}_" if key in head else str(key): value for key, value in payload.items()}


def _gap_document(gap: Gap) -> dict[str, Any]:
    origin = f"{gap.stream.site}/{gap.stream.life}"
    return {"origin": origin, "first": gap.first, "last": gap.last, "why": gap.why}
