"""The core without sockets: the timer wheel, and what the exchange guarantees whatever is decided."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, Batch, CallVerdict, End, Ending, Message, Progress
from rowanrack.core.metrics import HeldBackReason
from rowanrack.core.wheel import TimerWheel
from rowanrack.store.journal import Journal
from rowanspindle import EndpointStatus, Fail, Result, UpdateScope
from rowanspindle.wire import parse_settings
from tests.rig import SETTINGS, make_endpoint

SECOND_US = 1_000_000


class ExchangeHarness:
    """An exchange whose ports the test controls: the clock stands still, and calls are only recorded."""

    def __init__(self, folder: Path, overrides: dict[str, Any] | None = None) -> None:
        self.now = 1000 * SECOND_US
        self.calls: list[Attempt] = []
        self.abandoned: list[Attempt] = []
        self.call_progress = Progress.SENT
        self.ends: dict[str, End] = {}
        self.journal = Journal(folder, 3_000_000, self.unix_us)
        self.journal.open()
        self.exchange = Exchange(
            parse_settings(json.dumps(SETTINGS | (overrides or {}))), 1, self, self.journal, 5000
        )
        self.exchange.endpoint_calls = self
        self.exchange.listeners["platform"] = lambda m, end: self.ends.update({m.id: end})
        self.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("i0", 1)])

    def now_us(self) -> int:
        return self.now

    unix_us = now_us

    def wake_at(self, due_us: int) -> None:
        assert due_us > 0

    def start(self, batch: Batch) -> None:
        self.calls += batch.attempts

    def abandon(self, batch: Batch) -> None:
        self.abandoned += batch.attempts

    def progress(self, batch: Batch) -> Progress:
        assert batch.attempts
        return self.call_progress

    def close_idle(self, name: str) -> None:
        assert name

    def run(self, us: int) -> None:
        """Advance the time tick by tick."""
        for _ in range(0, us, 5000):
            self.now += 5000
            self.exchange.pump()

    def submit(self, message_id: str, cls: str = "print-order") -> Attempt:
        """Submit a message, and return its latest attempt."""
        self.exchange.submit(Message(message_id, cls, "a", 7, self.now + 3 * SECOND_US, b"x", "platform"))
        self.run(10_000)
        return self.calls[-1]


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_call_waiting_for_a_connection_is_dropped_when_its_endpoint_drains(
    tmp_path: Path, status: EndpointStatus
) -> None:
    harness = ExchangeHarness(tmp_path)
    attempt = harness.submit("m1")
    harness.exchange.update_endpoints(UpdateScope.DELTA, [replace(make_endpoint("i0", 1), status=status)])
    assert not harness.exchange.begin(attempt) and harness.abandoned == [attempt]


def test_call_waiting_for_a_connection_obeys_a_retry_after_wait(tmp_path: Path) -> None:
    harness = ExchangeHarness(tmp_path)
    first, second = harness.submit("m1"), harness.submit("m2")
    assert first is not second and harness.exchange.begin(first)
    harness.exchange.settle(first, CallVerdict(Result.FULL, SECOND_US))
    assert not harness.exchange.begin(second)
    harness.run(SECOND_US + 600_000)
    assert harness.exchange.begin(harness.calls[2])


def test_told_wait_and_call_held_back_by_it_are_logged_and_counted(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    harness = ExchangeHarness(tmp_path)
    first, second = harness.submit("m1"), harness.submit("m2")
    assert harness.exchange.begin(first)
    harness.exchange.settle(first, CallVerdict(Result.FULL, 8 * SECOND_US))
    harness.now += SECOND_US
    assert not harness.exchange.begin(second)
    assert [record.getMessage() for record in caplog.records] == [
        "message m1: refused by i0, destination 7 asked for a wait of 8.0 s",
        "message m2: not sent to i0, destination 7 asked for a wait, 7.0 s of it are left",
    ]
    metrics = harness.exchange.metrics
    assert metrics.waits_told == 1 and harness.exchange.waits_in_force == 1
    assert metrics.held_back_calls == {HeldBackReason.RETRY_AFTER_WAIT: 1}


def test_message_gets_a_final_answer_even_if_the_decision_module_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = ExchangeHarness(tmp_path)
    harness.submit("m1")

    def failing_decide(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(harness.exchange.forwarder, "decide", failing_decide)
    harness.run(3 * SECOND_US + 250_000)
    assert harness.ends == {"m1": End(Ending.FAILED)}


def test_only_the_first_final_answer_counts(tmp_path: Path) -> None:
    harness = ExchangeHarness(tmp_path)
    attempt = harness.submit("m1")
    assert harness.exchange.begin(attempt)
    harness.exchange.settle(attempt, Result.OK)
    harness.exchange.settle(attempt, Result.RESET)
    harness.exchange._perform(Fail(attempt.message.ref), harness.now)
    assert harness.ends == {"m1": End(Ending.DELIVERED)}
    assert harness.exchange.counts[Ending.DELIVERED] == 1 and harness.exchange.counts[Ending.FAILED] == 0


def test_attempt_that_timed_out_before_its_first_byte_counts_as_never_run(tmp_path: Path) -> None:
    harness = ExchangeHarness(tmp_path)
    attempt = harness.submit("m1")
    harness.exchange._stop_waiting(attempt, Result.TIMEOUT)
    assert not attempt.message.unsettled and not harness.journal.owed["m1"].unsettled


def test_frozen_exchange_begins_no_call_and_keeps_its_messages(tmp_path: Path) -> None:
    """Calls that began right before the exit were cut off, and a non-repeatable message was lost that way."""
    harness = ExchangeHarness(tmp_path)
    attempt = harness.submit("m1")
    assert harness.exchange.begin(attempt)
    harness.exchange.submit(
        Message("m2", "print-order", "a", 7, harness.now + 3 * SECOND_US, b"x", "platform")
    )
    harness.exchange.freeze()
    harness.exchange.settle(attempt, Result.OK)
    harness.run(SECOND_US)
    assert harness.ends == {"m1": End(Ending.DELIVERED)} and list(harness.journal.owed) == ["m2"]
    assert len(harness.calls) == 1


def test_attempt_that_the_journal_cannot_record_does_not_begin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = ExchangeHarness(tmp_path)
    attempt = harness.submit("m1")
    monkeypatch.setattr(Journal, "_append", lambda *_: False)
    assert not harness.exchange.begin(attempt) and not attempt.message.unsettled


def test_full_list_replaces_only_entries_of_its_source(tmp_path: Path) -> None:
    harness = ExchangeHarness(tmp_path)
    harness.exchange.update_endpoints(
        UpdateScope.FULL, [make_endpoint("c0", 2), make_endpoint("c1", 3)], "consul"
    )
    harness.exchange.update_endpoints(UpdateScope.FULL, [make_endpoint("c1", 3)], "consul")
    assert harness.exchange.endpoint_list.names() == {"i0", "c1"}


def test_wheel_fires_in_order_at_whole_ticks_and_never_early() -> None:
    wheel, fired = TimerWheel(5000, 0), list[str]()
    wheel.at(12_000, lambda: fired.append("b"))
    wheel.at(4_000, lambda: fired.append("a"))
    wheel.at(12_000, lambda: fired.append("x")).cancel()
    wheel.at(-7, lambda: fired.append("past"))
    assert wheel.next_at() == 5000
    wheel.advance(4_999)
    assert not fired
    wheel.advance(14_999)
    assert fired == ["a", "past"] and wheel.next_at() == 15_000
    wheel.advance(15_000)
    assert fired == ["a", "past", "b"] and wheel.next_at() is None


def test_failing_timer_does_not_stop_others(caplog: pytest.LogCaptureFixture) -> None:
    wheel, fired = TimerWheel(5000, 0), list[str]()
    wheel.at(5000, lambda: fired.append(str(1 // 0)))
    wheel.at(5000, lambda: fired.append("b"))
    wheel.advance(5000)
    assert fired == ["b"] and "a timer failed" in caplog.text
