"""Bulk calls: encoding of the body, outcomes of answers, and attempts that share a call."""

from __future__ import annotations

import asyncio
import base64
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rowanrack.core.messages import Attempt, Batch, CallVerdict, End, Ending, Message
from rowanrack.fronts.platform import bulk
from rowanrack.fronts.platform.inbox import InboxCallProtocol, parse_pressure
from rowanrack.net.http import Reply, Request
from rowanspindle import Result, UpdateScope
from tests.rig import Rig, answers, make_endpoint, on_loop
from tests.test_core import SECOND_US, ExchangeHarness

ENDPOINT = make_endpoint("i0", 1)


def message(name: str, body: bytes = b"x", key: str = "") -> Message:
    return Message(name, "album-update", "a", 7, 0, body, "platform", key=key)


def attempts(*names: str) -> list[Attempt]:
    batch = Batch(ENDPOINT)
    batch.attempts = [Attempt(message(n), 0, ENDPOINT, 0, SECOND_US, batch) for n in names]
    return batch.attempts


def test_bulk_body_keeps_ids_keys_and_bodies_unchanged() -> None:
    doc = json.loads(bulk.encode([message("a", bytes(range(256)), "k=1"), message("b", b"")]))
    assert doc[0] == {"id": "a", "key": "k=1", "body": base64.b64encode(bytes(range(256))).decode()}
    assert doc[1] == {"id": "b", "body": ""}


@given(st.lists(st.integers(0, 60_000), min_size=1, max_size=20))
def test_bulk_body_fills_but_never_exceeds_the_size_limit(sizes: list[int]) -> None:
    messages = [message(str(n), bytes(size)) for n, size in enumerate(sizes)]
    while messages:
        count = bulk.count_that_fit(messages)
        assert count == 1 or len(bulk.encode(messages[:count])) <= bulk.MAX_BODY_BYTES
        assert count == len(messages) or len(bulk.encode(messages[: count + 1])) > bulk.MAX_BODY_BYTES
        messages = messages[count:]


def test_bulk_body_contains_no_id_twice() -> None:
    assert bulk.count_that_fit([message("a"), message("b"), message("a")]) == 2


@pytest.mark.parametrize(
    ("doc", "expected"),
    [
        ([{"id": "a", "state": "ok"}, {"id": "b", "state": "later"}], ["ok", "later"]),
        ([{"id": "b", "state": "error"}, {"id": "a", "state": "gone"}], ["gone", "error"]),
        ([{"id": "a", "state": "exhausted"}], ["exhausted", ""]),  # no state for b
        ([{"id": "a", "state": "ok"}, {"id": "a", "state": "ok"}], ["", ""]),  # two states for a
        ([{"id": "a", "state": "ok"}, {"id": "z", "state": "ok"}], ["ok", ""]),
        ([{"id": "a", "state": "fine"}, {"id": "b", "state": ["ok"]}], ["", ""]),
        ([{"id": "a"}, {"state": "ok"}, "ok", None, 7, {"id": ["b"], "state": "ok"}], ["", ""]),
        ({"a": "ok"}, ["", ""]),
        (None, ["", ""]),
    ],
)
def test_missing_repeated_or_malformed_states_are_ignored(doc: Any, expected: list[str]) -> None:
    assert bulk.states(json.dumps(doc).encode(), ["a", "b"]) == expected


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'[{"id":"a","state":"ok","state":"later"}]', ["", ""]),
        (b'[{"id":"b","id":"a","state":"later"}]', ["", ""]),
        (b"""[{"id":["b"],"state":"ok"},{"id":"['b']","state":"ok"}]""", ["", "ok"]),
    ],
)
def test_ambiguous_entries_are_ignored(body: bytes, expected: list[str]) -> None:
    """Guards against two faults: of a repeated key the last value counted, and an id that is a list made the
    whole answer unusable if another id had the same text.
    """
    assert bulk.states(body, ["a", "['b']"]) == expected


ARBITRARY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.sampled_from(["a", "ok"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(["id", "state", "x"]), inner, max_size=3)
    ),
    max_leaves=20,
)


@given(ARBITRARY_JSON.map(lambda doc: json.dumps(doc).encode()) | st.binary(max_size=60))
def test_any_answer_is_parsed_and_ok_is_found_only_if_reported(body: bytes) -> None:
    found = bulk.states(body, ["a", "b"])
    assert len(found) == 2 and set(found) <= bulk.STATES | {""}
    if "ok" in found:
        assert any(
            isinstance(item, dict) and item.get("id") in ("a", "b") and item.get("state") == "ok"
            for item in json.loads(body)
        )


FULL, RESET, ERROR, MOOT = Result.FULL, Result.RESET, Result.ERROR, Result.MOOT


@pytest.mark.parametrize(
    ("status", "headers", "result", "wait_us"),
    [
        (429, {"x-retry-in-ms": "250"}, FULL, 250_000),
        (503, {}, FULL, 0),
        (503, {"x-no-slot": "1"}, MOOT, 0),
        (500, {}, ERROR, 0),
        (400, {}, MOOT, 0),
        (413, {}, MOOT, 0),
        (404, {}, ERROR, 0),
        (410, {}, ERROR, 0),  # 410 ends a single message, but has no meaning for a bulk call
        (302, {}, ERROR, 0),
    ],
)
def test_status_of_a_bulk_call_applies_to_all_attempts(
    status: int, headers: dict[str, str], result: Result, wait_us: int
) -> None:
    found = InboxCallProtocol().verdicts(
        attempts("a", "b"), Reply(status, headers, b'[{"id":"a","state":"ok"}]')
    )
    assert found == [CallVerdict(result, wait_us)] * 2


def test_each_state_maps_to_an_outcome_and_the_wait_applies_to_all() -> None:
    names = ["ok", "error", "later", "gone", "exhausted"]
    body = json.dumps([{"id": n, "state": n} for n in names]).encode()
    found = InboxCallProtocol().verdicts(attempts(*names, "none"), Reply(200, {"x-retry-in-ms": "40"}, body))
    results = [Result.OK, ERROR, FULL, MOOT, MOOT, ERROR]
    assert [v.result for v in found] == results and {v.wait_us for v in found} == {40_000}
    assert [v.end for v in found] == [None, None, None, Ending.WITHDRAWN, None, None]


def test_truncated_bulk_answer_delivers_nothing() -> None:
    body = b'[{"id":"a","state":"ok"},{"id":"b","state":"ok"}]'
    found = InboxCallProtocol().verdicts(attempts("a", "b"), Reply(200, {}, body, complete=False))
    assert found == [CallVerdict(RESET)] * 2
    assert InboxCallProtocol().verdicts(attempts("a"), Reply(200, {}, b"", complete=False)) == [
        CallVerdict(Result.OK)
    ]


@pytest.mark.parametrize("status", [400, 413])
def test_after_a_rejected_bulk_call_messages_are_sent_singly(status: int) -> None:
    form, pair = InboxCallProtocol(), attempts("a", "b")
    assert form.batch_size(pair) == 2
    form.verdicts(pair, Reply(status, {}))
    assert form.batch_size(pair) == 1 and form.call(pair[:1], 1000).target == "/inbox"


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        ("x0=0.4,x1=25", (0.4, 25.0)),
        (" x1 = 25 ", (None, 25.0)),
        ("x0=0,x1=0", (0.0, 0.0)),
        ("x0=nan,x1=inf", (None, None)),
        ("x0=-1,x1=1e999", (None, None)),
        ("x0,x1=,=3,x1=x", (None, None)),
        ("x2=1,x1=3", (None, 3.0)),
        ("", (None, None)),
    ],
)
def test_pressure_header_is_parsed_and_invalid_values_are_ignored(
    header: str, expected: tuple[float | None, float | None]
) -> None:
    assert parse_pressure({"x-pressure": header}, ("x0", "x1")) == expected


def test_only_pressure_fields_named_in_the_settings_are_used() -> None:
    reply = Reply(200, {"x-pressure": "x0=0.4,x1=25"})
    assert InboxCallProtocol(("x1",)).verdicts(attempts("a"), reply) == [
        CallVerdict(Result.OK, 0, None, None, 25.0)
    ]
    assert InboxCallProtocol().verdicts(attempts("a"), reply) == [CallVerdict(Result.OK)]


# Tests with real sockets.

BULK_SETTINGS = {"extra": {"slots": 8, "batch_by_kind": [20], "kind_apart": [False]}}
PRESSURE_SETTINGS = {"report": {"how": "piggyback", "names": ["x0", "x1"]}}


def message_ids(request: Request) -> list[str]:
    if request.target != "/inbox/bulk":
        return [request.headers["x-txn"]]
    return [item["id"] for item in json.loads(request.body)]


async def all_ok(request: Request) -> Reply:
    """Behave as an endpoint that accepts every message."""
    body = json.dumps([{"id": i, "state": "ok"} for i in message_ids(request)]).encode()
    return Reply(200, {"X-Pressure": "x0=0.5,x1=30"}, body)


async def submit_together(rig: Rig, *names: str, cls: str = "album-update", key: str = "") -> None:
    """Submit messages in one iteration of the sender's event loop."""
    exchange = rig.sender.exchange
    for name in names:
        deadline_us = exchange.clock.unix_us() + 3 * SECOND_US
        exchange.submit(Message(name, cls, "a", 7, deadline_us, b"body", "platform", key=key and key + name))
    exchange.pump()


@on_loop
async def test_messages_submitted_in_one_loop_iteration_share_one_call(tmp_path: Path) -> None:
    async with Rig(tmp_path, all_ok, settings_changes=BULK_SETTINGS | PRESSURE_SETTINGS) as rig:
        reported: list[tuple[float | None, float | None]] = []
        settle = rig.sender.exchange.settle

        def record_verdict(attempt: Attempt, verdict: CallVerdict | Result) -> None:
            assert isinstance(verdict, CallVerdict)
            reported.append((verdict.remaining_share, verdict.limit))
            settle(attempt, verdict)

        rig.sender.exchange.settle = record_verdict  # type: ignore[method-assign]
        await submit_together(rig, "a", "b", "c", cls="entry-fee", key="k")
        for name in "abc":
            assert await rig.wait_for_end(name) == End(Ending.DELIVERED)
        (request,) = rig.servers[0].requests
        doc = json.loads(request.body)
        assert request.target == "/inbox/bulk" and {i["id"]: i["key"] for i in doc} == {
            n: "k" + n for n in "abc"
        }
        assert reported == [(0.5, 30.0)] * 3


@on_loop
async def test_messages_over_the_body_limit_are_sent_in_several_calls(tmp_path: Path) -> None:
    async with Rig(tmp_path, all_ok, settings_changes=BULK_SETTINGS) as rig:
        exchange = rig.sender.exchange
        for name in "abc":
            deadline_us = exchange.clock.unix_us() + 3 * SECOND_US
            exchange.submit(Message(name, "album-update", "a", 7, deadline_us, bytes(30_000), "platform"))
        exchange.pump()
        for name in "abc":
            assert await rig.wait_for_end(name) == End(Ending.DELIVERED)
        calls = rig.servers[0].requests
        assert [len(message_ids(call)) for call in calls] == [1, 1, 1] and rig.servers[0].connections == 1


@on_loop
async def test_each_message_of_a_bulk_call_ends_by_its_own_state(tmp_path: Path) -> None:
    async def answer_by_id(request: Request) -> Reply:
        states = {"a": "ok", "b": "gone", "c": "error"}
        if request.target != "/inbox/bulk":
            return Reply(200, {})
        return Reply(
            200,
            {},
            json.dumps([{"id": i, "state": states.get(i, "ok")} for i in message_ids(request)]).encode(),
        )

    async with Rig(tmp_path, answer_by_id, settings_changes=BULK_SETTINGS) as rig:
        await submit_together(rig, "a", "b", "c", cls="print-order")
        assert await rig.wait_for_end("a") == End(Ending.DELIVERED)
        assert await rig.wait_for_end("b") == End(Ending.WITHDRAWN)
        assert await rig.wait_for_end("c") == End(
            Ending.FAILED
        )  # it may have run, and its class forbids a retry
        assert set(rig.sender.journal.owed) == set()


@pytest.mark.parametrize("status", [400, 413])
@on_loop
async def test_messages_of_a_rejected_bulk_call_are_delivered_singly(tmp_path: Path, status: int) -> None:
    async def reject_bulk_calls(request: Request) -> Reply:
        return Reply(status if request.target == "/inbox/bulk" else 200, {})

    async with Rig(tmp_path, reject_bulk_calls, settings_changes=BULK_SETTINGS) as rig:
        await submit_together(rig, "a", "b", cls="print-order")
        assert [await rig.wait_for_end(n) for n in "ab"] == [End(Ending.DELIVERED)] * 2
        assert [c.target for c in rig.servers[0].requests] == ["/inbox/bulk", "/inbox", "/inbox"]


@on_loop
async def test_bulk_answer_truncated_at_any_byte_delivers_nothing_and_causes_no_retry(tmp_path: Path) -> None:
    # Padded, so that the JSON is complete before the end of the body.
    body = b'[{"id":"a","state":"ok"},{"id":"b","state":"ok"}]' + b" " * 10
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    async with Rig(tmp_path, answers(Reply(200, {})), settings_changes=BULK_SETTINGS) as rig:
        calls = 0
        for cut in range(0, len(whole) + 1):

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: int = cut
            ) -> None:
                nonlocal calls
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
                calls += 1
                sent = whole.replace(b'"a"', b'"a%03d"' % cut).replace(b'"b"', b'"b%03d"' % cut)
                sent = sent.replace(b": %d\r\n" % len(body), b": %d\r\n" % (len(body) + 6))
                writer.write(sent[: cut if cut < len(whole) else len(sent)])
                writer.close()

            server = await asyncio.start_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            exchange, dest = rig.sender.exchange, 100 + cut
            exchange.update_endpoints(UpdateScope.DELTA, [make_endpoint(f"s{cut}", port, dest)])
            names = [f"a{cut:03d}", f"b{cut:03d}"]
            for name in names:
                deadline_us = exchange.clock.unix_us() + 3 * SECOND_US
                exchange.submit(Message(name, "print-order", "a", dest, deadline_us, b"x", "platform"))
            exchange.pump()
            ends = [(await rig.wait_for_end(name)).ending for name in names]
            assert ends == [Ending.DELIVERED if cut == len(whole) else Ending.FAILED] * 2, cut
            server.close()
        assert calls == len(whole) + 1  # no retries


# Attempts that share a call.


def desk_with_bulk_calls(folder: Path) -> ExchangeHarness:
    return ExchangeHarness(folder, BULK_SETTINGS)


def test_giving_up_one_message_keeps_the_call_open_for_the_others(tmp_path: Path) -> None:
    """Guards against a time-out of one message that closed the connection under the others of its call."""
    desk = desk_with_bulk_calls(tmp_path)
    for name, left_us in (("a", 3 * SECOND_US), ("b", SECOND_US)):
        desk.exchange.submit(Message(name, "print-order", "a", 7, desk.now + left_us, b"x", "platform"))
    desk.run(10_000)
    first, second = desk.calls
    assert first.batch is second.batch and desk.exchange.begin(first) and desk.exchange.begin(second)
    desk.run(SECOND_US + 100_000)
    assert desk.ends == {"b": End(Ending.FAILED)} and not desk.abandoned
    # The call goes on, so the message may still run, and there is no other attempt.
    assert not second.settled and len(desk.calls) == 2
    desk.exchange.settle(first, Result.OK)
    desk.exchange.settle(second, Result.OK)
    desk.run(SECOND_US)
    assert desk.ends == {"a": End(Ending.DELIVERED), "b": End(Ending.FAILED)}


def test_call_is_abandoned_when_its_last_message_is_given_up(tmp_path: Path) -> None:
    desk = desk_with_bulk_calls(tmp_path)
    for name in "ab":
        desk.exchange.submit(
            Message(name, "album-update", "a", 7, desk.now + 20 * SECOND_US, b"x", "platform")
        )
    desk.run(10_000)
    pair = list(desk.calls)
    assert all(desk.exchange.begin(e) for e in pair)
    desk.exchange._stop_waiting(pair[0], Result.TIMEOUT)
    assert not desk.abandoned and not pair[0].settled
    desk.exchange._stop_waiting(pair[1], Result.TIMEOUT)
    assert desk.abandoned == pair and all(e.settled for e in pair)


def test_attempt_waiting_for_a_connection_leaves_its_batch_when_given_up(tmp_path: Path) -> None:
    desk = desk_with_bulk_calls(tmp_path)
    for name in "ab":
        desk.exchange.submit(
            Message(name, "album-update", "a", 7, desk.now + 20 * SECOND_US, b"x", "platform")
        )
    desk.run(10_000)
    first, second = desk.calls
    desk.exchange._stop_waiting(first, Result.TIMEOUT)
    assert first.settled and not desk.abandoned
    assert not desk.exchange.begin(first) and desk.exchange.begin(second)
