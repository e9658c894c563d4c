"""Test what is harmless from one sender and harmful from forty, with the real senders in the model."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from rowanrack.model.engine import SECOND_US
from rowanrack.model.scenario import parse
from rowanrack.model.world import World
from rowanspindle import Result
from rowanspindle.connection_reuse import ConnectionReuse
from tests.helpers import BASE, Caller, endpoint_entry

FLEET_SCENARIO = """
day {day} s
tick 1 ms
zones north south apart 70 ms jitter 10 %
senders {senders} slots 6 held 90 tries 6
class update share 60 % aim 2500 ms deadline 12 s late-worth 30 % repeatable
class order share 40 % aim 4 s deadline 12 s late-worth 50 % once
member a share 100 % quota 400/s
"""


def run_model(kinds: str, traffic: str, senders: int = 40, day: int = 12, events: str = "") -> World:
    text = FLEET_SCENARIO.format(senders=senders, day=day) + kinds + "\n" + traffic + "\n" + events
    world = World(parse(text, "fleet.scenario"), 3)
    result = world.run()
    assert result["rules"] == "kept", result["breaches"]
    return world


def count_call_results(world: World, since_s: float = 0) -> Counter[str]:
    """Count the results of calls over the whole fleet."""
    return Counter(
        e.note for e in world.history.entries if e.what == "settle" and e.at >= since_s * SECOND_US
    )


def test_forty_senders_share_a_table_of_sixteen_connections() -> None:
    """Regression: sixteen senders kept a connection each and did not learn that all others were refused."""
    world = run_model(
        "kind app partners 2 places 1 limit rate 60/s connections 16 answers 100 ms to 120 ms told 0 % "
        "300 ms to 500 ms",
        "traffic 60/s zipf 0",
    )
    counts = count_call_results(world, since_s=3)
    assert counts["full"] < 0.25 * counts.total(), counts
    late = [
        i for i in world.clients.items if i.delivered_us is None or i.delivered_us - i.at_us > 2 * SECOND_US
    ]
    assert len(late) < 0.25 * len(world.clients.items)


@pytest.mark.parametrize(
    ("new", "kept", "short"),
    [
        ([False, True], [False] * 5, True),  # calls on kept connections are served, those on new ones are not
        ([True], [], True),  # without other evidence, calls on kept connections count as rarely refused
        ([True, False, True], [True, False, True], False),  # a limit refuses both alike
        ([False] * 20 + [True], [False] * 20 + [True], False),
    ],
)
def test_connection_shortage_is_distinguished_from_a_rate_limit(
    new: list[bool], kept: list[bool], short: bool
) -> None:
    connection_reuse, found = ConnectionReuse(replace(BASE, replicas=40)), False
    for is_new, calls in ((False, kept), (True, new)):
        for refused in calls:
            if refused:
                found = connection_reuse.record_refusal("plain", is_new, 0)
            else:
                connection_reuse.record_answer("plain", is_new)
    assert found is short


def test_configured_limit_paces_from_the_start_where_refusals_have_a_price() -> None:
    """Regression: answers raised the pace by the share of all forty, refusals cut one's: 37 % refused."""
    caller = Caller(endpoint_entry("t1", weight=20.0), replicas=40, weights_exact=True, refused_price=0.1)
    limit = caller.forwarder.endpoints["t1"].shared_limit
    assert limit.pace == 20.0
    caller.end(caller.accept(), Result.FULL, wait_us=SECOND_US // 2)
    pace_after_refusal, paces = limit.pace, []
    for _ in range(30):
        caller.wait(5 * SECOND_US)
        for ref in {r for r, _ in caller.attempts_in_flight} | (
            {caller.accept()} if not caller.attempts_in_flight else set()
        ):
            if caller.is_out(ref):
                caller.end(ref)
        paces.append(limit.pace)
    assert (
        pace_after_refusal is not None
        and pace_after_refusal < 20.0
        and paces[0] - pace_after_refusal < 0.1 * 20.0
    )
    assert max(paces) == 20.0  # without the bound 44, and no pace at all after that


def test_configured_limit_does_not_pace_where_refusals_are_free() -> None:
    caller = Caller(endpoint_entry("t1", weight=20.0), replicas=40, weights_exact=True)
    assert caller.forwarder.endpoints["t1"].shared_limit.pace is None
