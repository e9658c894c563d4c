"""Several real senders keep the channels' log together, with faults between them."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from rowanrack.channels.events import Event
from rowanrack.channels.layout import Layouts
from rowanrack.lab.fleet import Fleet, Partner, PartnerParameters, Sender
from rowanrack.store.log_sqlite import SqliteLog
from tests.rig import on_loop

COUNT = 8
SHOP = Partner("shop", PartnerParameters(dest=1, rate=80.0), endpoints=2)
NAMES = [f"s{n}" for n in range(COUNT)]
KEEPERS = Layouts(NAMES).at(0).keepers(Layouts(NAMES).at(0).shard("1"))
OTHERS = [name for name in NAMES if name not in KEEPERS]


LINES = ("event log: events are not written", "event log: written again")


def channels(fleet: Fleet, sender: Sender) -> str:
    """The `[channels]` part of a sender's file; the others are reached over links."""
    sites = "".join(
        f'{other} = "{fleet.address(sender.name, other, "log")}"\n' for other in NAMES if other != sender.name
    )
    port = sender.port("log")
    return f'[channels]\nlisten = "127.0.0.1:{port}"\ndisk_mb = 4\n[channels.sites]\n{sites}'


def fleet_of(folder: Path) -> Fleet:
    return Fleet(folder / "fleet", COUNT, [SHOP], mesh=("log",), extra_config=channels)


async def past(sender: Sender, channel: str, at: int, **more: int) -> tuple[int, dict[str, Any]]:
    """A read of a channel at one sender, which asks itself if it keeps it and is as good as another."""
    query = "".join(f"&{name}={value}" for name, value in more.items())
    status, body = await sender.mgmt("GET", f"/_channels/{channel}?at={at}{query}")
    return status, json.loads(body) if status == 200 else {"text": body.decode()}


def now_us() -> int:
    return time.time_ns() // 1000


async def read_until(
    sender: Sender, channel: str, good: Callable[[dict[str, Any]], bool], at: int = 0
) -> dict[str, Any]:
    """Read as of a time, or else of now, until the answer is good: once that time is settled, say."""
    at = at or now_us()
    while True:
        status, found = await past(sender, channel, at, limit=1000)
        if status == 200 and good(found):
            return found
        await asyncio.sleep(0.05)


async def knows(sender: Sender, channel: str, at: int) -> None:
    """Wait until a keeper knows by itself that nothing of that time can still come."""
    await read_until(sender, channel, lambda f: f["complete"] and f["answered_by"] == sender.name, at)


async def detached(sender: Sender, endpoint: str, wanted: bool) -> None:
    """Wait until an endpoint is detached at a sender, or is not."""
    while True:
        _, figures = await sender.mgmt("GET", "/_vars")
        if (b"svc_ejected 1" in figures) is wanted:
            return
        await asyncio.sleep(0.05)


async def handed_in(fleet: Fleet, senders: Iterable[str], label: str, each: int = 3) -> set[str]:
    """Messages taken at some senders."""
    ids = {(name, f"{label}-{name}-{n}") for name in senders for n in range(each)}
    answers = await asyncio.gather(*(fleet.submit(s, i, "album-update", 1) for s, i in sorted(ids)))
    assert set(answers) == {"+OK"}
    return {i for _, i in ids}


def kept(fleet: Fleet, name: str, channel: str, until: int = 1 << 62) -> list[Event]:
    """A channel up to a time as a sender that has ended left it, in its order."""
    store = SqliteLog(fleet.senders[name].state_folder / "channels.db", 4_000_000)
    store.open()
    try:
        return store.ordered(channel, None, until, 1 << 30)
    finally:
        store.close()


def named(found: dict[str, Any], kind: str) -> set[str]:
    return {e["message"] for e in found["events"] if e["kind"] == kind}


@on_loop
async def test_two_halves_that_both_wrote_end_with_the_same_bytes(tmp_path: Path) -> None:
    async with fleet_of(tmp_path) as fleet:
        left, right = NAMES[: COUNT // 2], NAMES[COUNT // 2 :]
        one, other = fleet.senders[left[0]], fleet.senders[right[0]]
        ids = await handed_in(fleet, NAMES, "whole")
        assert (await one.mgmt("POST", "/_endpoints/detach", b'{"name":"shop-0"}'))[0] == 200
        for sender in fleet.senders.values():
            await detached(sender, "shop-0", True)
        pairs = [(a, b) for a in left for b in right]
        halves = [fleet.link(a, b) for a, b in pairs] + [fleet.link(b, a) for a, b in pairs]
        await asyncio.gather(*(link.cut() for link in halves))
        # Cut apart, one side attaches what it saw detached, and the other detaches it once more.
        assert (await one.mgmt("POST", "/_endpoints/attach", b'{"name":"shop-0"}'))[0] == 200
        for name in left:
            await detached(fleet.senders[name], "shop-0", False)
        assert (await other.mgmt("POST", "/_endpoints/detach", b'{"name":"shop-0"}'))[0] == 200
        ids |= await handed_in(fleet, NAMES, "halves")
        status, found = await past(other, "1", now_us(), limit=1000)
        assert status == 503 or not found["complete"], "half a fleet cannot know the whole"
        await asyncio.gather(*(link.heal() for link in halves))
        for sender in fleet.senders.values():
            await detached(sender, "shop-0", True)  # the later detach was not seen by the attach
        last = await handed_in(fleet, [other.name], "last", 1)
        assert other.child is not None
        other.child.terminate()  # what it noted is written before it leaves, and told once it is back
        assert await asyncio.to_thread(other.child.wait, 10) == 0
        await other.start()
        ids, asked_at = ids | last, now_us()
        for name in (left[0], right[-1]):
            found = await read_until(fleet.senders[name], "1", lambda f: f["complete"], asked_at)
            assert named(found, "taken") == ids and named(found, "delivered") <= ids
        # What the one that came back notes of its list may be told after that, or not before all end here.
        both = (("fleet", NAMES), ("1", list(KEEPERS)))
        for channel, sites in both:
            for name in sites:
                await knows(fleet.senders[name], channel, asked_at)
    for channel, sites in both:
        bytes_of = {msgspec.msgpack.encode(kept(fleet, name, channel, asked_at)) for name in sites}
        assert kept(fleet, sites[0], channel, asked_at), channel
        assert len(bytes_of) == 1, channel


@on_loop
async def test_a_hung_keeper_and_two_gone_are_read_round_or_named(tmp_path: Path) -> None:
    async with fleet_of(tmp_path) as fleet:
        reader = fleet.senders[OTHERS[0]]
        first, second = (fleet.senders[name] for name in KEEPERS)
        ids = await handed_in(fleet, NAMES, "a")
        whole = await read_until(reader, "1", lambda f: f["complete"] and named(f, "taken") == ids)
        assert {k["site"] for k in whole["keepers"]} == set(KEEPERS)
        assert not whole["gaps"] and whole["layout"] == 0
        as_of = whole["at"]
        for keeper in (first, second):
            await knows(keeper, "1", as_of)
        first.hang()
        status, found = await past(reader, "1", as_of, limit=1000)
        assert status == 200 and found["complete"]
        assert [e["id"] for e in found["events"]] == [e["id"] for e in whole["events"] if e["at"] <= as_of]
        await second.kill()
        status, found = await past(reader, "1", as_of, limit=1000)
        assert status == 503 or not found["complete"]
        assert status == 503 or {"what", "why"} <= found["missing"][0].keys()
        first.resume()
        await read_until(reader, "1", lambda f: f["complete"] and named(f, "taken") == ids, as_of)
        await second.start()
        status, body = await reader.mgmt("GET", "/_channels/1?at=soon")
        assert status == 400 and b"at" in body
        assert (await past(reader, "99", as_of))[0] == 404


@on_loop
async def test_a_keeper_killed_in_a_handover_has_the_shard_whole_in_the_end(tmp_path: Path) -> None:
    async with fleet_of(tmp_path) as fleet:
        reader = fleet.senders[KEEPERS[0]]
        ids = await handed_in(fleet, NAMES, "before")
        before = await read_until(reader, "1", lambda f: f["complete"] and named(f, "taken") == ids)
        new = {name: 1.0 for name in OTHERS[:2]}
        begins = now_us() + 1_500_000
        layout = json.dumps({"from": begins, "sites": new, "shards": 1, "keepers": 2}).encode()
        status, said = await reader.mgmt("POST", "/_layout", layout)
        assert status == 200, said
        taker, other = (fleet.senders[name] for name in new)
        await fleet.link(KEEPERS[0], taker.name).cut()
        await fleet.link(taker.name, KEEPERS[0]).cut()
        await taker.kill()  # before it can have confirmed
        during = await handed_in(fleet, KEEPERS, "during")
        while now_us() < begins:
            await asyncio.sleep(0.05)
        found = await read_until(other, "1", lambda f: f["layout"] == 1)
        assert not found["complete"] or found["answered_by"] in KEEPERS
        await taker.start()
        for link in (fleet.link(KEEPERS[0], taker.name), fleet.link(taker.name, KEEPERS[0])):
            await link.heal()
        wanted = ids | during
        found = await read_until(reader, "1", lambda f: f["complete"] and named(f, "taken") == wanted)
        assert {k["site"] for k in found["keepers"]} >= set(new)
        old = await read_until(reader, "1", lambda f: f["complete"], before["at"])
        assert old["layout"] == 0
        assert named(old, "taken") <= ids


@on_loop
async def test_a_disk_that_fills_under_log_and_journal_costs_no_message_and_marks_what_is_lost(
    tmp_path: Path,
) -> None:
    async with fleet_of(tmp_path) as fleet:
        sender = fleet.senders[OTHERS[0]]
        ids = await handed_in(fleet, [sender.name], "before", 10)
        sender.fill_disk()
        taken = set[str]()
        for n in range(400):
            message = f"full-{n}"
            if await fleet.submit(sender.name, message, "album-update", 1) == "+OK":
                taken.add(message)
            else:
                break
        await sender.wait_for_log_line(LINES[0])
        ended = ids | taken
        await fleet.wait_for_entries(lambda book: {e.message for e in book if e.what == "answer"} >= ended)
        sender.free_disk()
        await sender.wait_for_log_line(LINES[1])
        ended |= ids | await handed_in(fleet, [sender.name], "after", 3)
        await fleet.wait_for_entries(lambda book: {e.message for e in book if e.what == "answer"} >= ended)
        while b"svc_outstanding 0" not in (await sender.mgmt("GET", "/_vars"))[1]:
            pass  # the last answers are on their way
        found = await read_until(sender, "1", lambda f: f["complete"])
        assert named(found, "taken") == ended == named(found, "delivered")
        begun, over = (next(n for n, line in enumerate(sender.lines) if text in line) for text in LINES)
        assert begun < over and sum("event log: events are not" in line for line in sender.lines) == 1
