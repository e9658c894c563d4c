"""Reads of past states in virtual time: whom they ask, which limits hold, and that gaps are reported."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import nullcontext
from functools import partial
from heapq import heappop, heappush
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrack.channels import past, reads
from rowanrack.channels.events import FLEET, Event, Gap, Place, Stream, packed
from rowanrack.channels.layout import Keeper, Layouts
from rowanrack.channels.reads import Answer, Done, PartAsked, Query, Read, Request, Router, Wait, give, parse

MS = 1000
Reply = tuple[int, bytes | tuple[str, int]]  # delay; a body, or the error and the retry-after wait
Behaviour = Callable[[Request, int], Reply]
START = 10_000_000
LAYOUTS = Layouts(["a", "b"])


class Logged:
    """A site's log in memory."""

    def __init__(self, site: str, events: list[Event], gapped: Sequence[Gap] = (), until: int = 99) -> None:
        self.site, self.events, self.gapped, self.settled = site, events, gapped, until

    def read(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        found = (e for e in self.events if e.channel == channel and e.at <= until_us)
        return sorted((e for e in found if since is None or e.place > since), key=lambda e: e.place)[:limit]

    def gaps(self, channel: str) -> list[Gap]:
        return [g for g in self.gapped if g.stream.channel == channel]

    def settled_until(self, channel: str) -> tuple[int, list[str]]:
        return self.settled, ["late"]


def event(at: int, kind: str, data: Any, channel: str = "7", site: str = "a") -> Event:
    return Event(channel, site, "1", at, at, 0, kind, data if isinstance(data, bytes) else packed(data))


EVENTS = [event(n, "taken", {"message": n}) for n in range(1, 9)]


def good(delay: int, whole: bool = True, seen: bool = True) -> Behaviour:
    layouts = LAYOUTS if whole else Layouts(["x"])
    return lambda request, _: (delay, msgspec.msgpack.encode(
        give(Logged(request.keeper, EVENTS if seen else []), layouts, request.part)))  # fmt: skip


def bad(delay: int, wait: int = 0) -> Behaviour:
    return lambda request, _: (delay, ("refused", wait))


def turns(*each: Behaviour) -> Behaviour:
    return lambda request, turn: each[turn % len(each)](request, turn)


SILENT: Behaviour = lambda request, _: (10**9, ("never", 0))  # noqa: E731


class Play:
    """Reads of one router against simulated sites; checks the limits at each request."""

    def __init__(self, sites: dict[str, Behaviour], asked: list[tuple[int, Query]]) -> None:
        self.router, self.sites = Router(reads.Settings("me")), {"me": good(1, False, seen=False)} | sites
        self.out: Counter[tuple[str, PartAsked]] = Counter()
        self.shut: Counter[str] = Counter()  # end of each site's retry-after wait
        self.asks: Counter[str] = Counter()
        self.most: Counter[str] = Counter()  # requests in flight at once
        self.done: dict[Read, tuple[int, Answer]] = {}
        self.turn = 0
        self.heap: list[tuple[int, int, Callable[[int], None]]] = []
        for at, query in asked:
            self.at(START + at, partial(self.begin, query))
        while self.heap:
            now, _, do = heappop(self.heap)
            do(now)
        assert len(self.done) == len(asked) and not self.out.total()

    def at(self, at: int, do: Callable[[int], None]) -> None:
        self.turn += 1
        heappush(self.heap, (at, self.turn, do))

    def begin(self, query: Query, now: int) -> None:
        self.pump(self.router.read(query, LAYOUTS, now, 0), now)

    def pump(self, read: Read, now: int) -> None:
        if read in self.done:
            return
        for action in read.next(now):
            match action:
                case Request():
                    self.request(action, now)
                case Wait():
                    assert action.until_us > now
                    self.at(action.until_us, partial(self.pump, read))
                case Done():
                    assert now <= read.deadline, "a read is over by its deadline"
                    self.done[read] = now, action.answer

    def request(self, request: Request, now: int) -> None:
        key = request.keeper, request.part
        self.out[key] += 1
        assert self.out[key] == 1, "the same part is never out twice to one keeper"
        assert now >= self.shut[request.keeper], "a retry-after wait is obeyed"
        self.asks[request.keeper] += 1
        out = sum(n for (keeper, _), n in self.out.items() if keeper == request.keeper)
        self.most[request.keeper] = max(self.most[request.keeper], out)
        delay, reply = self.sites[request.keeper](request, self.asks[request.keeper])
        if delay > request.timeout_us:
            delay, reply = request.timeout_us, ("no answer", 0)
        self.at(now + delay, partial(self.end, request, reply))

    def end(self, request: Request, reply: bytes | tuple[str, int], now: int) -> None:
        self.out[request.keeper, request.part] -= 1
        if isinstance(reply, bytes):
            stirred = self.router.answered(request, reply, now)
        else:
            self.shut[request.keeper] = max(self.shut[request.keeper], now + reply[1])
            stirred = self.router.failed(request, *reply, now)
        for read in stirred:
            self.pump(read, now)


def several(count: int, gap: int = 0) -> list[tuple[int, Query]]:
    return [(n * gap, Query("7", 50, 0, 1 + n)) for n in range(count)]


WORLDS = st.sampled_from([good(5 * MS), good(900 * MS), good(5 * MS, False), bad(2 * MS), bad(MS, 300 * MS),
                          bad(MS, 10**7), bad(500 * MS, 10**7), SILENT,
                          turns(good(9 * MS), good(9 * MS), bad(MS))])  # fmt: skip


@settings(max_examples=60, deadline=None, derandomize=True)
@given(WORLDS, WORLDS, st.lists(st.tuples(st.integers(0, 3_000_000), st.integers(0, 3)), max_size=40))
def test_limits_hold_for_any_behaviour_of_the_keepers(
    a: Behaviour, b: Behaviour, at: list[tuple[int, int]]
) -> None:
    play = Play({"a": a, "b": b}, [(when, Query("7", 50, n, 9)) for when, n in at])
    assert play.asks["a"] + play.asks["b"] <= len(at) * 1.2 + 10 + 0.5 * 6
    for _, answer in play.done.values():
        assert answer.status in (200, 503) and (answer.status == 200 or answer.retry_after_s >= 1)


def test_a_keeper_gets_no_request_during_its_retry_after_wait() -> None:
    play = Play({"a": bad(MS, 500 * MS), "b": good(5 * MS)}, several(40, 20 * MS))
    assert play.asks["a"] <= 3 and {answer.status for _, answer in play.done.values()} == {200}


def test_after_one_silence_the_other_keeper_is_asked_first() -> None:
    play = Play({"a": SILENT, "b": good(5 * MS)}, several(20, 100 * MS))
    took = [end + 2_000_000 - read.deadline for read, (end, _) in play.done.items()]
    assert max(took) <= 410 * MS and sorted(took)[10] <= 5 * MS and play.asks["a"] <= 7


def test_a_keeper_that_fails_a_third_of_requests_gets_fewer_and_all_reads_are_complete() -> None:
    play = Play({"a": turns(good(5 * MS), bad(MS, 1), good(5 * MS)), "b": good(5 * MS)}, several(90, 10 * MS))
    given = [(len(a.document["events"]), read.part.limit) for read, (_, a) in play.done.items()]
    assert all(count == min(8, limit) for count, limit in given) and play.asks["a"] < play.asks["b"] / 3


def test_with_both_keepers_down_reads_end_in_time_and_retries_stay_within_the_budget() -> None:
    for wait, least, most in ((1, 225, 200 * 1.2 + 10 + 0.5 * 3), (0, 4, 30)):
        play = Play({"a": bad(MS, wait), "b": bad(MS, wait)}, several(200, 5 * MS))
        assert least <= play.asks["a"] + play.asks["b"] <= most
        assert all(answer.status == 503 and "a: " in answer.text for _, answer in play.done.values())
    assert Play({"a": bad(MS, 1), "b": bad(MS, 1)}, several(1)).asks.total() == 2 * reads.MAX_TRY_COUNT + 1


def test_a_whole_keeper_is_asked_first_and_its_silence_counts_as_a_failure_at_once() -> None:
    router = Router(reads.Settings("me"))
    read = Read(router, PartAsked("7", 0, 50, 9), [Keeper("a", False), Keeper("b", True)], 0, START)
    request, wait = read.next(START)
    assert isinstance(request, Request) and request.keeper == "b" and isinstance(wait, Wait)
    assert [a.keeper for a in read.next(wait.until_us) if isinstance(a, Request)] == ["a", "me"]
    assert router.keeper_stats("b").failures and router.keeper_stats("b").window.size < 4


def test_errors_shrink_a_window_and_answers_grow_it() -> None:
    first = Play({"a": bad(9 * MS), "b": SILENT}, several(30))
    assert first.most["a"] == 4 and first.router.keeper_stats("a").window.size < 3
    grown = Play({"a": good(9 * MS), "b": good(9 * MS)}, several(100))
    assert 4 < grown.most["a"] <= 32 and {a.status for _, a in grown.done.values()} == {200}


def test_reads_of_the_same_part_share_one_request() -> None:
    play = Play({"a": good(50 * MS), "b": good(50 * MS)}, [(n * MS, Query("7", 50)) for n in range(30)])
    assert play.asks.total() == 1 and all(a.status == 200 for _, a in play.done.values())


def test_a_read_that_joins_a_request_keeps_its_deadline_and_joins_no_silent_request() -> None:
    router, late = Router(reads.Settings("me")), START + 1_950_000
    first = router.read(Query("7", 50), LAYOUTS, START, 0)
    router.keeper_stats("a").blocked_until_us = router.keeper_stats("b").blocked_until_us = late
    assert first.next(START)[-1] == Wait(late)
    second = router.read(Query("7", 50), LAYOUTS, late, 0)
    assert isinstance(second.next(late)[0], Request) and first.next(late) == [Wait(first.deadline)]
    second.next(late + 400_000)  # a is silent, b is asked; now it is silent as well
    third = router.read(Query("7", 50), LAYOUTS, late + 900_000, 0)
    assert second.next(late + 900_000) == [Wait(second.deadline)]
    assert third.next(late + 900_000) == [Wait(third.deadline)]


def test_a_damaged_answer_is_a_failure_and_another_keeper_is_asked() -> None:
    wrong = [("b", "7", 200), ("a", "8", 200), ("a", "7", 3)]
    others = [good(1)(Request(s, PartAsked(channel, 0, 50, limit), 1), 0)[1] for s, channel, limit in wrong]
    for body in (b"", b"\xc1", b"\x91\x01", *others):
        behaviour: Behaviour = lambda request, _, body=body: (MS, body)  # type: ignore[misc]  # noqa: E731
        play = Play({"a": behaviour, "b": good(MS)}, [(0, Query("7", 50))])
        ((_, answer),) = play.done.values()
        assert answer.document["answered_by"] == "b" and play.router.keeper_stats("a").failures


def answer_of(log: Logged, query: Query, whole: bool = True, *more: Logged) -> Answer:
    layouts = LAYOUTS if whole else Layouts(["x"])

    def reply(log: Logged) -> Behaviour:
        return lambda request, _: (MS, msgspec.msgpack.encode(give(log, layouts, request.part)))

    sites = {"a": bad(MS, 10**7), "b": bad(MS, 10**7)} | {each.site: reply(each) for each in (log, *more)}
    ((_, answer),) = Play(sites, [(0, query)]).done.values()
    return answer


GAPS = [Gap(Stream("7", "c", "1"), 1, 4, "retention")]
PART_CASES: list[tuple[Logged, Query, bool, str]] = [
    (Logged("a", EVENTS), Query("7", 50), True, ""),
    (Logged("a", EVENTS), Query("7", 50, 0, 3), True, "5 earlier events: limit 3"),
    (Logged("a", EVENTS, GAPS), Query("7", 50), True, "events 1 to 4 of c/1: retention"),
    (Logged("a", EVENTS, until=40), Query("7", 50), True, "events from 41 to 50: not heard from: late"),
    (Logged("a", EVENTS), Query("7", 50), False, "a has not confirmed"),
    (Logged("me", EVENTS), Query("7", 50), False, "what others wrote: me is no keeper"),
    (Logged("me", EVENTS), Query("7", 50), False, "what b keeps: refused"),
    (Logged("a", EVENTS), Query("7", 50, 4), True, "events before 4"),
    (Logged("a", [*EVENTS, event(9, "lost", {"count": 3})]), Query("7", 50), True, "3 events in the state"),
    (Logged("a", [*EVENTS, event(9, "wait", b"\xc1")]), Query("7", 50), True, "1 events in the state"),
]


@pytest.mark.parametrize(("log", "query", "whole", "gone"), PART_CASES)
def test_an_incomplete_answer_lists_what_is_missing(
    log: Logged, query: Query, whole: bool, gone: str
) -> None:
    document = json.loads(answer_of(log, query, whole).body())
    told = "; ".join(f"{each['what']}: {each['why']}" for each in document["missing"])
    assert document["complete"] is (gone == "") is (told == "") and gone in told
    assert document["events"][-1]["id"] == f"a/1/{len(log.events)}" and document["state"]["counts"]["taken"]


def test_too_many_events_to_replay_are_reported_as_missing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rowanrack.channels.reads.MAX_REPLAY_COUNT", 4)
    monkeypatch.setattr("rowanrack.channels.reads.PAGE_COUNT", 2)
    more = [event(1, "out", {"endpoint": "z"}), event(3, "detached", {"endpoint": "z"}, FLEET)]
    document = answer_of(Logged("a", [*EVENTS[1:], *more]), Query("7", 50)).document
    assert document["state"]["detached"] == ["z"]
    assert document["missing"] == [{"what": "events from 4 to 50", "why": "more than 4 events; use from"}]


def test_only_a_whole_keeper_may_answer_404_and_503_has_a_retry_after_wait() -> None:
    assert answer_of(Logged("a", []), Query("7", 50)).status == 404
    unsure = answer_of(Logged("a", []), Query("7", 50), False)
    assert unsure.status == 503 and "a: saw nothing" in unsure.text
    gone = answer_of(Logged("me", []), Query("7", 50))
    assert gone.status == 503 and gone.retry_after_s == 10 and gone.body().startswith(b"nobody can answer")


def test_a_keeper_that_is_not_settled_does_not_end_a_read_that_another_may_complete() -> None:
    for held in ([], EVENTS[:2]):
        emptied = Logged("a", held, until=0)
        answer = answer_of(emptied, Query("7", 50), True, Logged("b", EVENTS)).document
        assert answer["answered_by"] == "b" and answer["complete"]
    reply = msgspec.msgpack.encode(give(Logged("a", EVENTS, until=0), LAYOUTS, PartAsked("7", 0, 50, 200)))
    play = Play({"a": lambda request, turn: (MS, reply), "b": bad(MS, 10**6)}, [(0, Query("7", 50))])
    ((end, alone),) = play.done.values()  # it does not wait for the other keeper's retry-after wait
    assert end < START + 9 * MS and "not heard from: late" in alone.document["missing"][0]["why"]


def test_the_fleet_channel_exists_before_its_first_event() -> None:
    assert answer_of(Logged("a", []), Query(FLEET, 50)).document["complete"]
    unsure = answer_of(Logged("a", [], until=0), Query(FLEET, 50), True, Logged("me", [], until=0)).document
    assert not unsure["events"] and unsure["missing"][0]["what"] == "events from 1 to 50"


@pytest.mark.parametrize("limit", [1, 3, 7])
def test_pages_from_two_keepers_have_each_settled_event_once(limit: int) -> None:
    crowd = [Event("7", f"s&{n % 3}/", "1~2.x", n, 20, n % 2, "taken", packed({})) for n in range(1, 12)]
    events = sorted([*EVENTS, *crowd, event(45, "taken", {})], key=lambda e: e.place)
    logs = [Logged(name, [*events], until=30) for name in "ab"]
    target: str | None = f"/_channels/7?at=50&from=2&limit={limit}"
    told: list[Answer] = []
    while target is not None:
        told.append(answer_of(logs[len(told) % 2], parse(target)))
        target = told[-1].document["earlier"]
        assert len(told) <= len(events)
        for log in logs[
            : 2 * (len(told) == 1)
        ]:  # late events: one in front of the current page, one behind it
            log.events += [event(31, "taken", {}, site="late"), event(46, "taken", {}, site="late")]
    shown = [e for answer in reversed(told) for e in answer.document["events"]]
    assert [e["id"] for e in shown if e["at"] <= 30] == [e.id for e in events if 2 <= e.at <= 30]
    assert len({e["id"] for e in shown}) == len(shown) and "1 to 50" in str(told[0].document["missing"])
    assert [each["why"] for each in told[-1].document["missing"]] == ["from was given"]
    assert told[-1].document["state"]["counts"]["taken"] == len(told[-1].document["events"])


def test_an_answer_that_ignores_the_place_asked_for_is_rejected() -> None:
    query = parse("/_channels/7?at=5/0/a/1/5")
    timed = PartAsked("7", 0, 5, 200)  # as a version without `before` decodes it
    old: Behaviour = lambda request, turn: good(MS)(Request(request.keeper, timed, 1), turn)  # noqa: E731
    ((_, answer),) = Play({"a": old, "b": good(MS)}, [(0, query)]).done.values()
    assert answer.document["answered_by"] == "b" and len(answer.document["events"]) == 4


QUERIES = {
    "7": Query("7"), "fleet?at=5": Query(FLEET, 5), "7?at=9&from=3&limit=1000": Query("7", 9, 3, 1000),
    "": "no channel", "07": "no channel", "x/y": "no channel", "7?at=-5": "negative", "7?at=": "at is not",
    "7?at=1.5": "at is not a time", "7?at=1_0": "at is not", "7?at=%D9%A1": "at is not", "7?at": "no NAME",
    "7?at=" + "9" * 20: "at is not", "7?limit=0": "1 to 1000", "7?limit=1001": "1 to 1000",
    "7?limit=x": "limit is not", "7?at=1&at=2": "twice", "7?" + "a=1&" * 50: "no NAME", "7?to=1": "unknown",
    "7?at=3&from=4": "later", "7?at=9/4/a%26b/1~2/3": Query("7", 9, before=Place(9, 4, "a&b", "1~2", 3)),
    "7?at=9/4/3": "at is not", "7?from=9/4/a/b/3": "from is not",
}  # fmt: skip


@pytest.mark.parametrize(("target", "found"), QUERIES.items())
def test_a_query_is_parsed_or_refused_with_a_reason(target: str, found: Query | str) -> None:
    with nullcontext() if isinstance(found, Query) else pytest.raises(ValueError, match=found):
        assert parse("/_channels/" + target) == found


def test_the_state_of_a_channel_as_of_a_time() -> None:
    z, c, b = {"endpoint": "z"}, {"endpoint": "c"}, {"endpoint": "b"}
    told: list[tuple[str, dict[str, Any]]] = [
        ("listed", z | {"kind": "lab", "rate": 2.5}), ("listed", b), ("draining", z), ("gone", b),
        ("taken", {"message": 8}), ("taken", {"message": 3}), ("taken", {}), ("delivered", {"message": 8}),
        ("refused", {}), ("wait", z | {"wait_us": 90}), ("wait", b | {"wait_us": 2}), ("out", z), ("out", c),
        ("back", c), ("news", {"x": 1}), ("listed", {"endpoint": 5}), ("lost", {"count": 2}),
    ]  # fmt: skip
    told_all = [event(at, kind, data) for at, (kind, data) in enumerate(told, 1)] + [event(99, "taken", {})]
    told_all += [event(at, "detached", of, FLEET) for at, of in enumerate((z, c, {"endpoint": "far"}), 1)]
    told_all += [event(4, "attached", c | {"undoes": [["a", "1", 2]]}, FLEET), event(30, "detached", b)]
    fold = past.ChannelState("7", 50)
    for each in told_all:
        fold.apply(each)
    state = fold.as_document()
    counts = {"back": 1, "delivered": 1, "draining": 1, "gone": 1, "listed": 3, "lost": 1}
    counts |= {"news": 1, "out": 2, "refused": 1, "taken": 3, "wait": 2}
    assert list(state["counts"]) == sorted(counts) and list(state["endpoints"]) == ["b", "z"]
    assert state == {
        "endpoints": {"b": {"state": "gone", "kind": None, "rate": None, "since": 4},
                      "z": {"state": "draining", "kind": "lab", "rate": 2.5, "since": 3}},
        "detached": ["z"], "waits": {"z": 100}, "outages": {"z": 12},
        "owed": {"count": 1, "messages": [{"sender": "a", "message": 3, "taken": 6}]},
        "counts": counts, "lost": 2, "damaged": 1,
    }  # fmt: skip
