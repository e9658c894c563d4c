"""Soaks: hot restarts in series under load, judged by the books.

Destinations ask for long waits, or journals are nearly full and ids are used again. `HOT_RESTART_SEEDS=1-50`
and `FULL_JOURNAL_SEEDS=1-50` play other seeds than those of CI.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from rowanrack.lab.__main__ import play_with_time_limit
from rowanrack.lab.plan import make_plan
from rowanrack.lab.scenario import Fault, PartnerTable, Scenario
from tests.soak import restarts, seeds

DEFAULT_SEEDS = "1-2"
SECONDS = 14.0
SENDERS = ("s0", "s1")
DESTINATIONS = 3
WAIT_MS = (1500, 4000)
USUAL_RATE, CROWD_RATE = 30.0, 120.0  # messages per second


def scenario(seed: int) -> Scenario:
    rng = Random(f"{seed} hot restarts")
    partners = [
        PartnerTable(name=f"p{dest}", dest=dest, rate=12.0, told=1.0, wait_ms=WAIT_MS)
        for dest in range(1, DESTINATIONS + 1)
    ]
    faults = [
        fault
        for sender in SENDERS
        for fault in restarts(rng, sender, rng.uniform(1.0, 3.0), SECONDS - 2, kill_share=0.2)
    ]
    for partner in partners:
        at_s = rng.uniform(1.0, 6.0)
        for number in range(partner.endpoints):
            faults.append(
                Fault(what="shut", on=f"{partner.name}-{number}", at_s=at_s, for_s=rng.uniform(3.0, 6.0))
            )
    if rng.random() < 0.4:
        faults.append(Fault(what="disk", on=rng.choice(SENDERS), at_s=rng.uniform(1.0, 8.0), for_s=3.0))
    rate = CROWD_RATE if rng.random() < 0.25 else USUAL_RATE
    return Scenario(
        seconds=SECONDS, senders=len(SENDERS), rate=rate, partner=partners, fault=faults, spread=2
    )


@pytest.mark.parametrize("seed", seeds("HOT_RESTART_SEEDS", DEFAULT_SEEDS))
def test_waits_told_during_a_series_of_hot_restarts_are_kept(tmp_path: Path, seed: int) -> None:
    planned = scenario(seed)
    result = asyncio.run(play_with_time_limit(planned, make_plan(planned, seed), tmp_path, seed))
    assert result["rules"] == "kept", result["breaches"]
    assert result["answers"].get("429", 0) > 0 and result["ran"] > 0


def full_journal_scenario(seed: int) -> Scenario:
    """Draw a scenario with large bodies, small disks, repeated submissions and ids that others use too."""
    rng = Random(f"{seed} full journals")
    partners = [
        PartnerTable(name=f"p{dest}", dest=dest, rate=rng.uniform(8.0, 14.0), told=1.0, wait_ms=(100, 600))
        for dest in range(1, DESTINATIONS + 1)
    ]
    faults = [
        fault
        for sender in SENDERS
        for fault in restarts(rng, sender, rng.uniform(1.0, 3.0), SECONDS - 2, kill_share=0.2)
    ]
    if rng.random() < 0.3:
        faults.append(Fault(what="disk", on=rng.choice(SENDERS), at_s=rng.uniform(1.0, 8.0), for_s=2.0))
    return Scenario(
        seconds=SECONDS,
        senders=len(SENDERS),
        rate=rng.choice((USUAL_RATE, CROWD_RATE)),
        partner=partners,
        fault=faults,
        spread=2,
        disk_mb=rng.uniform(0.6, 2.0),
        body_bytes=rng.choice((8, 24, 48)) * 1024,
        repeated=rng.uniform(0.1, 0.5),
        contested=rng.uniform(0.1, 0.5),
    )


@pytest.mark.parametrize("seed", seeds("FULL_JOURNAL_SEEDS", DEFAULT_SEEDS))
def test_messages_outlast_hot_restarts_with_full_journals_and_ids_that_are_used_again(
    tmp_path: Path, seed: int
) -> None:
    planned = full_journal_scenario(seed)
    result = asyncio.run(play_with_time_limit(planned, make_plan(planned, seed), tmp_path, seed))
    assert result["rules"] == "kept", result["breaches"]
    assert result["ran"] > 0
