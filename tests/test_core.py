"""The core without sockets: the wheel, and what the exchange keeps to whatever the module decides."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, Batch, CallVerdict, End, Ending, Message, Progress
from rowanrack.core.wheel import TimerWheel
from rowanrack.store.journal import Journal
from rowanspindle import EndpointStatus, Fail, Result, UpdateScope
from rowanspindle.wire import parse_settings
from tests.rig import SETTINGS, instance

SECOND_US = 1_000_000


class Desk:
    """An exchange with its ports in hand: the clock stands still, and calls are kept."""

    def __init__(self, folder: Path, given: dict[str, Any] | None = None) -> None:
        self.now = 1000 * SECOND_US
        self.calls: list[Attempt] = []
        self.abandoned: list[Attempt] = []
        self.how_far = Progress.SENT
        self.ends: dict[str, End] = {}
        self.journal = Journal(folder, 3_000_000, self.unix_us)
        self.journal.open()
        self.exchange = Exchange(
            parse_settings(json.dumps(SETTINGS | (given or {}))), 1, self, self.journal, 5000
        )
        self.exchange.endpoint_calls = self
        self.exchange.listeners["platform"] = lambda m, end: self.ends.update({m.id: end})
        self.exchange.list_instances(UpdateScope.FULL, [instance("i0", 1)])

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
        return self.how_far

    def close_idle(self, name: str) -> None:
        assert name

    def run(self, us: int) -> None:
        """Let time pass, tick by tick."""
        for _ in range(0, us, 5000):
            self.now += 5000
            self.exchange.pump()

    def submit(self, message_id: str, cls: str = "print-order") -> Attempt:
        """Hand a message in, and return its attempt."""
        self.exchange.submit(Message(message_id, cls, "a", 7, self.now + 3 * SECOND_US, b"x", "platform"))
        self.run(10_000)
        return self.calls[-1]


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_a_call_that_waits_for_its_connection_heeds_a_drain(tmp_path: Path, status: EndpointStatus) -> None:
    desk = Desk(tmp_path)
    attempt = desk.submit("m1")
    desk.exchange.list_instances(UpdateScope.DELTA, [replace(instance("i0", 1), status=status)])
    assert not desk.exchange.begin(attempt) and desk.abandoned == [attempt]


def test_a_call_that_waits_for_its_connection_heeds_a_told_wait(tmp_path: Path) -> None:
    desk = Desk(tmp_path)
    first, second = desk.submit("m1"), desk.submit("m2")
    assert first is not second and desk.exchange.begin(first)
    desk.exchange.settle(first, CallVerdict(Result.FULL, SECOND_US))
    assert not desk.exchange.begin(second)
    desk.run(SECOND_US + 600_000)
    assert desk.exchange.begin(desk.calls[2])


def test_a_message_has_its_end_even_if_the_module_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    desk = Desk(tmp_path)
    desk.submit("m1")

    def broken(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr(desk.exchange.forwarder, "decide", broken)
    desk.run(3 * SECOND_US + 250_000)
    assert desk.ends == {"m1": End(Ending.FAILED)}


def test_only_the_first_end_counts(tmp_path: Path) -> None:
    desk = Desk(tmp_path)
    attempt = desk.submit("m1")
    assert desk.exchange.begin(attempt)
    desk.exchange.settle(attempt, Result.OK)
    desk.exchange.settle(attempt, Result.RESET)
    desk.exchange._perform(Fail(attempt.message.ref), desk.now)
    assert desk.ends == {"m1": End(Ending.DELIVERED)}
    assert desk.exchange.counts[Ending.DELIVERED] == 1 and desk.exchange.counts[Ending.FAILED] == 0


def test_a_time_out_before_the_first_byte_has_never_run(tmp_path: Path) -> None:
    desk = Desk(tmp_path)
    attempt = desk.submit("m1")
    desk.exchange._stop_waiting(attempt, Result.TIMEOUT)
    assert not attempt.message.unsettled and not desk.journal.owed["m1"].unsettled


def test_a_frozen_exchange_begins_nothing_and_keeps_what_it_owes(tmp_path: Path) -> None:
    """Calls begun right before the exit were cut off, and an order among them was lost."""
    desk = Desk(tmp_path)
    attempt = desk.submit("m1")
    assert desk.exchange.begin(attempt)
    desk.exchange.submit(Message("m2", "print-order", "a", 7, desk.now + 3 * SECOND_US, b"x", "platform"))
    desk.exchange.freeze()
    desk.exchange.settle(attempt, Result.OK)
    desk.run(SECOND_US)
    assert desk.ends == {"m1": End(Ending.DELIVERED)} and list(desk.journal.owed) == ["m2"]
    assert len(desk.calls) == 1


def test_what_the_journal_cannot_record_does_not_begin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    desk = Desk(tmp_path)
    attempt = desk.submit("m1")
    monkeypatch.setattr(Journal, "_append", lambda *_: False)
    assert not desk.exchange.begin(attempt) and not attempt.message.unsettled


def test_a_whole_list_replaces_only_its_source(tmp_path: Path) -> None:
    desk = Desk(tmp_path)
    desk.exchange.list_instances(UpdateScope.FULL, [instance("c0", 2), instance("c1", 3)], "consul")
    desk.exchange.list_instances(UpdateScope.FULL, [instance("c1", 3)], "consul")
    assert desk.exchange.table.names() == {"i0", "c1"}


def test_the_wheel_fires_in_order_at_whole_ticks_and_never_early() -> None:
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


def test_a_timer_that_fails_stops_no_other(caplog: pytest.LogCaptureFixture) -> None:
    wheel, fired = TimerWheel(5000, 0), list[str]()
    wheel.at(5000, lambda: fired.append(str(1 // 0)))
    wheel.at(5000, lambda: fired.append("b"))
    wheel.advance(5000)
    assert fired == ["b"] and "a timer failed" in caplog.text
