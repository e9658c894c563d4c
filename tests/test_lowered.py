"""Many senders, each of which sees little: full tables of connections, and limits lowered for all."""

from __future__ import annotations

import pytest

from rowanrack.model.engine import SECOND_US
from rowanspindle import Result
from tests.helpers import Caller, member
from tests.test_fleet import played, settled

APP = "kind app partners 2 places 1 limit rate {}/s answers 100 ms to 120 ms "


def test_eighty_senders_leave_a_small_table_to_whoever_has_a_call() -> None:
    """Holders of a connection never learned that others found no room: 336 of 744 calls were refused."""
    world = played(APP.format(60) + "connections 12", "traffic 40/s zipf 0", 80)
    counts = settled(world, since_s=3)
    assert counts["full"] < 0.05 * counts.total(), counts


def test_a_limit_that_is_back_is_used_again() -> None:
    """Whoever had work took nearly all others to have some: 393 were served while 432 came."""
    traffic, lowered = "traffic 36/s zipf 0 clumps 12 % of 1.1 s to 3.1 s", "at 5 s for 13 s all allows 30 %"
    world = played(APP.format(22) + "told 50 % 300 ms to 700 ms", traffic, 80, 30, lowered)
    assert settled(world, since_s=18)["ok"] - settled(world, since_s=30)["ok"] > 415


@pytest.mark.parametrize(("senders", "held", "times"), [(200, 8, 8), (64, 8, 1), (200, 80, 80)])
def test_who_holds_more_has_more_of_a_pace(senders: int, held: int, times: float) -> None:
    """Each had as much, with one message that waits as with eight; none takes more than all of it."""
    caller = Caller(member("t1", weight=40.0), replicas=senders)
    caller.end(caller.accept(), Result.FULL, wait_us=10 * SECOND_US)
    for _ in range(held - 1):
        caller.accept()
    forwarder, endpoint = caller.forwarder, caller.forwarder.endpoints["t1"]
    forwarder.now += SECOND_US
    crowd, _ = forwarder.active_senders(endpoint, caller.now)
    assert crowd == max(1.0, endpoint.shared_limit.active_senders(SECOND_US) / times)


@pytest.mark.parametrize(("left_us", "goes"), [(150_000, False), (300_000, True)])
def test_no_call_goes_that_would_be_given_up_before_a_refusal_comes(left_us: int, goes: bool) -> None:
    """Its answer would be on the way by then, and a wait that this tells would be heard by nobody."""
    caller = Caller(member("t1", weight=400.0))
    for _ in range(20):
        caller.end(caller.accept(), Result.OK)
        refused = caller.accept()
        caller.end(refused, Result.FULL, latency_us=200_000)
        caller.wait(2 * SECOND_US)
        caller.end(refused, Result.OK)
    assert caller.is_out(caller.accept(left_us=left_us)) is goes
