"""Test large fleets whose senders each see little: full connection tables, and limits lowered for all."""

from __future__ import annotations

import pytest

from rowanrack.model.engine import SECOND_US
from rowanspindle import Result
from tests.helpers import Caller, endpoint_entry
from tests.test_fleet import count_call_results, run_model

APP = "kind app partners 2 places 1 limit rate {}/s answers 100 ms to 120 ms "


def test_eighty_senders_are_rarely_refused_at_a_small_connection_table() -> None:
    """Regression: senders with a connection did not see that others had no room: 336 of 744 calls refused."""
    world = run_model(APP.format(60) + "connections 12", "traffic 40/s zipf 0", 80)
    counts = count_call_results(world, since_s=3)
    assert counts["full"] < 0.05 * counts.total(), counts


def test_restored_limit_is_used_again() -> None:
    """Regression: senders with work assumed work at nearly all others: 393 of 432 messages were served."""
    traffic, lowered = "traffic 36/s zipf 0 clumps 12 % of 1.1 s to 3.1 s", "at 5 s for 13 s all allows 30 %"
    world = run_model(APP.format(22) + "told 50 % 300 ms to 700 ms", traffic, 80, 30, lowered)
    assert count_call_results(world, since_s=18)["ok"] - count_call_results(world, since_s=30)["ok"] > 415


@pytest.mark.parametrize(("senders", "held", "ratio"), [(200, 8, 8), (64, 8, 1), (200, 80, 80)])
def test_sender_that_holds_more_gets_more_of_the_pace(senders: int, held: int, ratio: float) -> None:
    """Regression: eight held messages got the same share as one. No sender takes more than the whole pace."""
    caller = Caller(endpoint_entry("t1", weight=40.0), replicas=senders)
    caller.end(caller.accept(), Result.FULL, wait_us=10 * SECOND_US)
    for _ in range(held - 1):
        caller.accept()
    forwarder, endpoint = caller.forwarder, caller.forwarder.endpoints["t1"]
    forwarder.now += SECOND_US
    active, _ = forwarder.active_senders(endpoint, caller.now)
    assert active == max(1.0, endpoint.shared_limit.active_senders(SECOND_US) / ratio)


@pytest.mark.parametrize(("left_us", "is_sent"), [(150_000, False), (300_000, True)])
def test_no_call_is_sent_that_would_end_before_a_refusal_arrives(left_us: int, is_sent: bool) -> None:
    """The message would end with the answer on its way, and nobody would receive its retry-after wait."""
    caller = Caller(endpoint_entry("t1", weight=400.0))
    for _ in range(20):
        caller.end(caller.accept(), Result.OK)
        refused = caller.accept()
        caller.end(refused, Result.FULL, latency_us=200_000)
        caller.wait(2 * SECOND_US)
        caller.end(refused, Result.OK)
    assert caller.is_out(caller.accept(left_us=left_us)) is is_sent
