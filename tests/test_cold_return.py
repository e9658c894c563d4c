"""An endpoint that is back from an outage, and a whole fleet that has work for it.

The story behind the first test: destinations went down for some twelve seconds, and many senders were
killed and started again while they were down. Three seconds later the destinations came back cold, got more
calls than they bore, and went down once more: users waited through a second outage. Each restarted sender
had forgotten the outage. It called at once, failed, and set its next trial by how many others could have
got work since that failure, a few; but all had work from before. So all their trials came within the same
few seconds, and the endpoint was back by then.

What proved it: in the saved log 7 of the 10 endpoints that a sender judged out right behind its start were
ones that it had judged out before. Forty real senders that restart in an outage gave 36 to 38 calls in the
fall time where 13 are borne, all of them trials; spacing the trials as if all senders had work gave none
over.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from rowanrack.lab.books import Entry, now_us
from rowanrack.lab.checker import Checker
from rowanrack.lab.fleet import Fleet, Partner, PartnerParameters, settings
from rowanrack.lab.scenario import Grade
from rowanrack.store.outages import OutageFile
from rowanspindle import Outage
from tests.rig import on_loop

SECOND_US = 1_000_000
SENDERS = 40
FALL_US = 2 * SECOND_US
FIRST_CALLS_US = SECOND_US // 2  # in which a started sender has called for what it owes
# Longer than forty processes need to start on a busy machine: what they knew is believed.
RAMP_US = 30 * SECOND_US
SHOP = PartnerParameters(
    dest=1, rate=1.0, cold_share=0.4, overload=5.0, fall_ms=FALL_US // 1000, ramp_ms=RAMP_US // 1000
)
PATIENT = Grade(name="album-update", effect="retryable", deadline_ms=60_000)


def told() -> str:
    """The settings of the fleet, with the shop's figures for cold endpoints."""
    text = settings(SENDERS, (PATIENT,))
    text = text.replace("cold_share = 0.2", f"cold_share = {SHOP.cold_share}")
    text = text.replace("ramp_time_us = 6_000_000", f"ramp_time_us = {RAMP_US}")
    return text.replace("overload_factor = 2.0", f"overload_factor = {SHOP.overload}")


def callers(entries: list[Entry], since_us: int = 0) -> list[str]:
    """Who called an endpoint from then on."""
    return [entry.who for entry in entries if entry.what == "call" and entry.at >= since_us]


def densest(entries: list[Entry], since_us: int) -> int:
    """The most calls of a fall time from then on."""
    times = sorted(entry.at for entry in entries if entry.what == "call" and entry.at >= since_us)
    return max((sum(at <= other < at + FALL_US for other in times) for at in times), default=0)


@asynccontextmanager
async def restarted_in_an_outage(folder: Path) -> AsyncIterator[tuple[Fleet, int]]:
    """A fleet that restarted while its endpoint failed, each sender with a message for it; and since when.

    Each sender has seen the outage, and has had half a second to keep that.
    """
    shop = Partner("shop", SHOP, endpoints=1)
    async with Fleet(folder, SENDERS, [shop], settings_toml=told(), wave=8) as fleet:
        await fleet.endpoint("shop-0", "failing")
        for name in fleet.senders:
            assert (await fleet.submit(name, f"message-{name}", PATIENT.name, 1, 60_000)).startswith("+")
        for sender in fleet.senders.values():
            await sender.wait_for_log_line("shop-0: out")
        kept_us = now_us() + SECOND_US // 2
        await fleet.wait_for_entries(lambda entries: now_us() > kept_us)
        for sender in fleet.senders.values():
            await sender.kill()
        killed_us = now_us()
        await asyncio.gather(*(sender.start() for sender in fleet.senders.values()))
        yield fleet, killed_us


@on_loop
async def test_senders_that_restart_in_an_outage_do_not_push_over_what_returns(tmp_path: Path) -> None:
    async with restarted_in_an_outage(tmp_path / "fleet") as (fleet, _):
        known_us = now_us() + FIRST_CALLS_US
        await fleet.wait_for_entries(lambda entries: bool(callers(entries, known_us)))  # a trial
        await fleet.endpoint("shop-0", "up")
        back_us = now_us()
        entries = await fleet.wait_for_entries(lambda entries: now_us() > back_us + FALL_US)
    breaches = Checker(entries, frozenset(), FALL_US).check()
    assert [b.text for b in breaches if b.rule == "cold"] == []


@on_loop
async def test_an_outage_that_was_known_is_known_after_a_restart(tmp_path: Path) -> None:
    """Each restarted sender called once, at its start, though all had known of the outage: what
    comes back while they start is cold, and got a call from each.
    """
    async with restarted_in_an_outage(tmp_path / "fleet") as (fleet, killed_us):
        started_us = now_us()
        entries = await fleet.wait_for_entries(lambda entries: now_us() > started_us + FALL_US)
    bears = SHOP.cold_call_limit(1)
    assert densest(entries, killed_us) <= bears + 3 * math.sqrt(bears) + 3


KNOWN = (Outage("shop-0", 5 * SECOND_US, None), Outage("shop-1", 4 * SECOND_US, 9 * SECOND_US))
NOW_US, BELIEVED_US = 10 * SECOND_US, 3 * SECOND_US


@pytest.mark.parametrize(
    ("later_us", "found"),
    [(0, KNOWN), (BELIEVED_US, KNOWN), (BELIEVED_US + 1, ()), (-1, ())],  # -1: the clock began anew
)
def test_outages_are_believed_while_they_are_fresh(
    tmp_path: Path, later_us: int, found: tuple[Outage, ...]
) -> None:
    OutageFile(tmp_path).keep(KNOWN, NOW_US)
    assert OutageFile(tmp_path).read(NOW_US + later_us, BELIEVED_US) == found


def test_what_is_known_for_long_stays_fresh(tmp_path: Path) -> None:
    kept = OutageFile(tmp_path)
    for time_us in range(NOW_US, NOW_US + 10 * SECOND_US, SECOND_US // 5):
        kept.keep(KNOWN, time_us)
    assert kept.read(time_us + SECOND_US, BELIEVED_US) == KNOWN


def test_half_a_file_or_another_one_ends_no_start(tmp_path: Path) -> None:
    kept = OutageFile(tmp_path)
    kept.keep(KNOWN, NOW_US)
    whole = kept.path.read_bytes()
    torn = [whole[:length] for length in range(len(whole))]
    for text in (*torn, b"[]", b'{"known_us": 1}', b'{"known_us": 1, "outages": [["a", 1, "b"]]}', b"\xff"):
        kept.path.write_bytes(text)
        assert OutageFile(tmp_path).read(NOW_US, BELIEVED_US) == ()


def test_a_write_that_fails_is_made_up_for(tmp_path: Path) -> None:
    folder, away = tmp_path / "state", tmp_path / "away"
    folder.mkdir()
    kept = OutageFile(folder)
    kept.keep(KNOWN[:1], NOW_US)
    folder.rename(away)
    kept.keep(KNOWN, NOW_US + 1)  # there is no such folder
    away.rename(folder)
    kept.keep(KNOWN, NOW_US + 2)
    assert kept.read(NOW_US + 2, BELIEVED_US) == KNOWN
