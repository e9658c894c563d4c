"""What is harmless from one sender and harmful from forty: the real senders in the model, added up."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from rowanrack.model.engine import SECOND_US
from rowanrack.model.scenario import parse
from rowanrack.model.world import World
from rowanspindle import Result
from rowanspindle.connection_reuse import ConnectionReuse
from tests.helpers import BASE, Caller, member

FLEET = """
day {day} s
tick 1 ms
zones north south apart 70 ms jitter 10 %
senders {senders} slots 6 held 90 tries 6
class update share 60 % aim 2500 ms deadline 12 s late-worth 30 % repeatable
class order share 40 % aim 4 s deadline 12 s late-worth 50 % once
member a share 100 % quota 400/s
"""


def played(kinds: str, traffic: str, senders: int = 40, day: int = 12, events: str = "") -> World:
    text = FLEET.format(senders=senders, day=day) + kinds + "\n" + traffic + "\n" + events
    world = World(parse(text, "fleet.scenario"), 3)
    result = world.run()
    assert result["rules"] == "kept", result["breaches"]
    return world


def settled(world: World, since_s: float = 0) -> Counter[str]:
    """How calls ended, over the whole fleet."""
    return Counter(
        e.note for e in world.history.entries if e.what == "settle" and e.at >= since_s * SECOND_US
    )


def test_forty_senders_share_a_table_of_sixteen_connections() -> None:
    """Sixteen senders kept one each, and refusals met the others for ever: no holder ever saw one."""
    world = played(
        "kind app partners 2 places 1 limit rate 60/s connections 16 answers 100 ms to 120 ms told 0 % "
        "300 ms to 500 ms",
        "traffic 60/s zipf 0",
    )
    counts = settled(world, since_s=3)
    assert counts["full"] < 0.25 * counts.total(), counts
    late = [
        i for i in world.clients.items if i.delivered_us is None or i.delivered_us - i.at_us > 2 * SECOND_US
    ]
    assert len(late) < 0.25 * len(world.clients.items)


@pytest.mark.parametrize(
    ("new", "kept", "short"),
    [
        ([False, True], [False] * 5, True),  # kept ones are served, new ones are not
        ([True], [], True),  # nothing else known: kept ones count as seldom refused
        ([True, False, True], [True, False, True], False),  # a limit refuses both alike
        ([False] * 20 + [True], [False] * 20 + [True], False),
    ],
)
def test_short_connections_are_told_from_a_limit(new: list[bool], kept: list[bool], short: bool) -> None:
    trust, found = ConnectionReuse(replace(BASE, replicas=40)), False
    for fresh, calls in ((False, kept), (True, new)):
        for refused in calls:
            if refused:
                found = trust.record_refusal("plain", fresh, 0)
            else:
                trust.record_answer("plain", fresh)
    assert found is short


def test_where_refusals_are_paid_for_a_told_limit_paces_from_the_start_and_is_not_passed() -> None:
    """Each answer lifted the pace by the part of all forty, but a refusal cut only one's own: 37% refused."""
    caller = Caller(member("t1", weight=20.0), replicas=40, weights_exact=True, refused_price=0.1)
    limit = caller.forwarder.endpoints["t1"].shared_limit
    assert limit.pace == 20.0
    caller.end(caller.accept(), Result.FULL, wait_us=SECOND_US // 2)
    cut, paces = limit.pace, []
    for _ in range(30):
        caller.wait(5 * SECOND_US)
        for ref in {r for r, _ in caller.out} | ({caller.accept()} if not caller.out else set()):
            if caller.is_out(ref):
                caller.end(ref)
        paces.append(limit.pace)
    assert cut is not None and cut < 20.0 and paces[0] - cut < 0.1 * 20.0
    assert max(paces) == 20.0  # 44 without the bound, and no pace at all behind that


def test_free_refusals_are_tried() -> None:
    caller = Caller(member("t1", weight=20.0), replicas=40, weights_exact=True)
    assert caller.forwarder.endpoints["t1"].shared_limit.pace is None
