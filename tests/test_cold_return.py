"""Test an endpoint that returns from an outage while a whole fleet of senders has messages for it.

The first test guards against a second outage caused by the senders. Destinations were down for about 12 s,
and many senders were killed and restarted meanwhile. The destinations returned cold 3 s later, got more calls
than they could take and failed again. A restarted sender had forgotten the outage: it called at once, failed,
and timed its next trial call as if only the few senders that could have got work since then were active. All
senders had work from before, so all trial calls came within a few seconds, when the endpoint was back.

Evidence: in the saved log, 7 of the 10 endpoints that a sender found in an outage right after its start had
been in an outage for it before. Forty real senders restarted in an outage made 36 to 38 calls within the fall
time, all of them trial calls, where 13 can be taken. With trial calls spaced as if all senders had work, none
exceeded the limit.
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
FIRST_CALLS_US = SECOND_US // 2  # time in which a started sender has called for the messages it owes
# Longer than forty processes need to start on a busy machine, so known outages are still valid.
RAMP_US = 30 * SECOND_US
SHOP = PartnerParameters(
    dest=1, rate=1.0, cold_share=0.4, overload=5.0, fall_ms=FALL_US // 1000, ramp_ms=RAMP_US // 1000
)
ALBUM_UPDATE = Grade(name="album-update", effect="retryable", deadline_ms=60_000)


def fleet_settings() -> str:
    """Return the settings of the fleet with the shop's values for cold endpoints."""
    text = settings(SENDERS, (ALBUM_UPDATE,))
    text = text.replace("cold_share = 0.2", f"cold_share = {SHOP.cold_share}")
    text = text.replace("ramp_time_us = 6_000_000", f"ramp_time_us = {RAMP_US}")
    return text.replace("overload_factor = 2.0", f"overload_factor = {SHOP.overload}")


def calling_senders(entries: list[Entry], since_us: int = 0) -> list[str]:
    """Return the sender of each call from a time on."""
    return [entry.who for entry in entries if entry.what == "call" and entry.at >= since_us]


def max_calls_in_fall_time(entries: list[Entry], since_us: int) -> int:
    """Return the largest number of calls within a fall time from a time on."""
    times = sorted(entry.at for entry in entries if entry.what == "call" and entry.at >= since_us)
    return max((sum(at <= other < at + FALL_US for other in times) for at in times), default=0)


@asynccontextmanager
async def fleet_restarted_in_an_outage(folder: Path) -> AsyncIterator[tuple[Fleet, int]]:
    """Run a fleet that restarts while its endpoint fails, each sender with a message for it.

    Each sender has seen the outage and has had half a second to store it. Yields the fleet and the time when
    the senders were killed.
    """
    shop = Partner("shop", SHOP, endpoints=1)
    async with Fleet(folder, SENDERS, [shop], settings_toml=fleet_settings(), wave=8) as fleet:
        await fleet.endpoint("shop-0", "failing")
        for name in fleet.senders:
            assert (await fleet.submit(name, f"message-{name}", ALBUM_UPDATE.name, 1, 60_000)).startswith("+")
        for sender in fleet.senders.values():
            await sender.wait_for_log_line("shop-0: outage")
        stored_us = now_us() + SECOND_US // 2
        await fleet.wait_for_entries(lambda entries: now_us() > stored_us)
        for sender in fleet.senders.values():
            await sender.kill()
        killed_us = now_us()
        await asyncio.gather(*(sender.start() for sender in fleet.senders.values()))
        yield fleet, killed_us


@on_loop
async def test_senders_restarted_in_an_outage_do_not_overload_the_returning_endpoint(tmp_path: Path) -> None:
    async with fleet_restarted_in_an_outage(tmp_path / "fleet") as (fleet, _):
        started_us = now_us() + FIRST_CALLS_US
        await fleet.wait_for_entries(
            lambda entries: bool(calling_senders(entries, started_us))
        )  # a trial call
        await fleet.endpoint("shop-0", "up")
        returned_us = now_us()
        entries = await fleet.wait_for_entries(lambda entries: now_us() > returned_us + FALL_US)
    breaches = Checker(entries, frozenset(), FALL_US).check()
    assert [b.text for b in breaches if b.rule == "cold"] == []


@on_loop
async def test_known_outage_is_remembered_after_a_restart(tmp_path: Path) -> None:
    """Regression: each restarted sender called once at its start, although all had known of the outage.

    An endpoint that returns meanwhile is cold and got a call from each sender.
    """
    async with fleet_restarted_in_an_outage(tmp_path / "fleet") as (fleet, killed_us):
        started_us = now_us()
        entries = await fleet.wait_for_entries(lambda entries: now_us() > started_us + FALL_US)
    capacity = SHOP.cold_call_limit(1)
    assert max_calls_in_fall_time(entries, killed_us) <= capacity + 3 * math.sqrt(capacity) + 3


KNOWN_OUTAGES = (Outage("shop-0", 5 * SECOND_US, None), Outage("shop-1", 4 * SECOND_US, 9 * SECOND_US))
NOW_US, VALID_US = 10 * SECOND_US, 3 * SECOND_US


@pytest.mark.parametrize(
    ("later_us", "expected"),
    [(0, KNOWN_OUTAGES), (VALID_US, KNOWN_OUTAGES), (VALID_US + 1, ()), (-1, ())],  # -1: the clock was reset
)
def test_stored_outages_are_used_only_while_fresh(
    tmp_path: Path, later_us: int, expected: tuple[Outage, ...]
) -> None:
    OutageFile(tmp_path).write_if_changed(KNOWN_OUTAGES, NOW_US)
    assert OutageFile(tmp_path).read(NOW_US + later_us, VALID_US) == expected


def test_outage_stored_repeatedly_stays_fresh(tmp_path: Path) -> None:
    outage_file = OutageFile(tmp_path)
    for time_us in range(NOW_US, NOW_US + 10 * SECOND_US, SECOND_US // 5):
        outage_file.write_if_changed(KNOWN_OUTAGES, time_us)
    assert outage_file.read(time_us + SECOND_US, VALID_US) == KNOWN_OUTAGES


def test_truncated_or_foreign_outage_file_does_not_prevent_a_start(tmp_path: Path) -> None:
    outage_file = OutageFile(tmp_path)
    outage_file.write_if_changed(KNOWN_OUTAGES, NOW_US)
    content = outage_file.path.read_bytes()
    truncated = [content[:length] for length in range(len(content))]
    for damaged in (
        *truncated,
        b"[]",
        b'{"known_us": 1}',
        b'{"known_us": 1, "outages": [["a", 1, "b"]]}',
        b"\xff",
    ):
        outage_file.path.write_bytes(damaged)
        assert OutageFile(tmp_path).read(NOW_US, VALID_US) == ()


def test_failed_write_is_repeated_by_the_next_one(tmp_path: Path) -> None:
    folder, away = tmp_path / "state", tmp_path / "away"
    folder.mkdir()
    outage_file = OutageFile(folder)
    outage_file.write_if_changed(KNOWN_OUTAGES[:1], NOW_US)
    folder.rename(away)
    outage_file.write_if_changed(KNOWN_OUTAGES, NOW_US + 1)  # the folder does not exist
    away.rename(folder)
    outage_file.write_if_changed(KNOWN_OUTAGES, NOW_US + 2)
    assert outage_file.read(NOW_US + 2, VALID_US) == KNOWN_OUTAGES
