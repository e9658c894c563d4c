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
from pathlib import Path

from rowanrack.lab.books import Entry, now_us
from rowanrack.lab.checker import Checker
from rowanrack.lab.fleet import Figures, Fleet, Partner, settings
from rowanrack.lab.scenario import Grade
from tests.rig import on_loop

SECOND_US = 1_000_000
SENDERS = 40
FALL_US = 2 * SECOND_US
FIRST_CALLS_US = SECOND_US // 2  # in which a started sender has called for what it owes
SHOP = Figures(dest=1, rate=1.0, cold_share=0.4, overload=5.0, fall_ms=FALL_US // 1000)
PATIENT = Grade(name="album-update", effect="retryable", deadline_ms=60_000)


def told() -> str:
    """The settings of the fleet, with the shop's figures for cold endpoints."""
    text = settings(SENDERS, (PATIENT,))
    text = text.replace("cold_share = 0.2", f"cold_share = {SHOP.cold_share}")
    return text.replace("overload_factor = 2.0", f"overload_factor = {SHOP.overload}")


def callers(entries: list[Entry], since_us: int = 0) -> list[str]:
    """Who called an endpoint from then on."""
    return [entry.who for entry in entries if entry.what == "call" and entry.at >= since_us]


@on_loop
async def test_senders_that_restart_in_an_outage_do_not_push_over_what_returns(tmp_path: Path) -> None:
    shop = Partner("shop", SHOP, endpoints=1)
    async with Fleet(tmp_path / "fleet", SENDERS, [shop], told=told(), wave=8) as fleet:
        await fleet.endpoint("shop-0", "failing")
        for name in fleet.senders:
            assert (await fleet.submit(name, f"message-{name}", PATIENT.name, 1, 60_000)).startswith("+")
        await fleet.until(lambda entries: set(callers(entries)) == set(fleet.senders))
        for sender in fleet.senders.values():
            await sender.kill()
        await asyncio.gather(*(sender.start() for sender in fleet.senders.values()))
        known_us = now_us() + FIRST_CALLS_US
        await fleet.until(lambda entries: bool(callers(entries, known_us)))  # a trial
        await fleet.endpoint("shop-0", "up")
        back_us = now_us()
        entries = await fleet.until(lambda entries: now_us() > back_us + FALL_US)
    breaches = Checker(entries, frozenset(), FALL_US).check()
    assert [b.text for b in breaches if b.rule == "cold"] == []
