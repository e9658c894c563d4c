"""A replicated event log of several sender processes, with faults between them."""

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


LOG_LINES = ("event log: events are not written", "event log: written again")


def channels_section(fleet: Fleet, sender: Sender) -> str:
    """Return the `[channels]` section of a sender's configuration; other senders are reached over links."""
    sites = "".join(
        f'{other} = "{fleet.address(sender.name, other, "log")}"\n' for other in NAMES if other != sender.name
    )
    port = sender.port("log")
    return f'[channels]\nlisten = "127.0.0.1:{port}"\ndisk_mb = 4\n[channels.sites]\n{sites}'


def start_fleet(folder: Path) -> Fleet:
    return Fleet(folder / "fleet", COUNT, [SHOP], mesh=("log",), extra_config=channels_section)


async def read_past(sender: Sender, channel: str, at: int, **parameters: int) -> tuple[int, dict[str, Any]]:
    """Read a channel as of a time through one sender; return the HTTP status and the answer.

    A sender that keeps the channel itself may answer from its own log.
    """
    query = "".join(f"&{name}={value}" for name, value in parameters.items())
    status, body = await sender.mgmt("GET", f"/_channels/{channel}?at={at}{query}")
    return status, json.loads(body) if status == 200 else {"text": body.decode()}


def now_us() -> int:
    return time.time_ns() // 1000


async def read_until(
    sender: Sender, channel: str, accept: Callable[[dict[str, Any]], bool], at: int = 0
) -> dict[str, Any]:
    """Repeat a read as of a time (default now) until the answer is accepted."""
    at = at or now_us()
    while True:
        status, found = await read_past(sender, channel, at, limit=1000)
        if status == 200 and accept(found):
            return found
        await asyncio.sleep(0.05)


async def wait_until_settled(sender: Sender, channel: str, at: int) -> None:
    """Wait until a keeper can answer completely from its own log for a time."""
    await read_until(sender, channel, lambda f: f["complete"] and f["answered_by"] == sender.name, at)


async def wait_until_detached(sender: Sender, endpoint: str, wanted: bool) -> None:
    """Wait until an endpoint is detached at a sender, or attached if not `wanted`."""
    while True:
        _, metrics = await sender.mgmt("GET", "/_vars")
        if (b"svc_ejected 1" in metrics) is wanted:
            return
        await asyncio.sleep(0.05)


async def submit_messages(fleet: Fleet, senders: Iterable[str], label: str, count: int = 3) -> set[str]:
    """Submit messages to some senders; return their ids."""
    ids = {(name, f"{label}-{name}-{n}") for name in senders for n in range(count)}
    answers = await asyncio.gather(*(fleet.submit(s, i, "album-update", 1) for s, i in sorted(ids)))
    assert set(answers) == {"+OK"}
    return {i for _, i in ids}


def stored_events(fleet: Fleet, name: str, channel: str, until: int = 1 << 62) -> list[Event]:
    """Return the stored events of a channel up to a time, in order, of a sender that has stopped."""
    store = SqliteLog(fleet.senders[name].state_folder / "channels.db", 4_000_000)
    store.open()
    try:
        return store.ordered(channel, None, until, 1 << 30)
    finally:
        store.close()


def message_ids(found: dict[str, Any], kind: str) -> set[str]:
    return {e["message"] for e in found["events"] if e["kind"] == kind}


@on_loop
async def test_two_disconnected_halves_end_with_equal_logs(tmp_path: Path) -> None:
    async with start_fleet(tmp_path) as fleet:
        left, right = NAMES[: COUNT // 2], NAMES[COUNT // 2 :]
        one, other = fleet.senders[left[0]], fleet.senders[right[0]]
        ids = await submit_messages(fleet, NAMES, "whole")
        assert (await one.mgmt("POST", "/_endpoints/detach", b'{"name":"shop-0"}'))[0] == 200
        for sender in fleet.senders.values():
            await wait_until_detached(sender, "shop-0", True)
        pairs = [(a, b) for a in left for b in right]
        cut_links = [fleet.link(a, b) for a, b in pairs] + [fleet.link(b, a) for a, b in pairs]
        await asyncio.gather(*(link.cut() for link in cut_links))
        # While disconnected, one side attaches the endpoint, and the other one detaches it again.
        assert (await one.mgmt("POST", "/_endpoints/attach", b'{"name":"shop-0"}'))[0] == 200
        for name in left:
            await wait_until_detached(fleet.senders[name], "shop-0", False)
        assert (await other.mgmt("POST", "/_endpoints/detach", b'{"name":"shop-0"}'))[0] == 200
        ids |= await submit_messages(fleet, NAMES, "halves")
        status, found = await read_past(other, "1", now_us(), limit=1000)
        assert status == 503 or not found["complete"], "half of the senders cannot have all events"
        await asyncio.gather(*(link.heal() for link in cut_links))
        for sender in fleet.senders.values():
            await wait_until_detached(sender, "shop-0", True)  # the attach did not know of the second detach
        last = await submit_messages(fleet, [other.name], "last", 1)
        assert other.child is not None
        # It writes its queued events before it ends, and sends them after the restart
        other.child.terminate()
        assert await asyncio.to_thread(other.child.wait, 10) == 0
        await other.start()
        ids, asked_at = ids | last, now_us()
        for name in (left[0], right[-1]):
            found = await read_until(fleet.senders[name], "1", lambda f: f["complete"], asked_at)
            assert message_ids(found, "taken") == ids and message_ids(found, "delivered") <= ids
        # The restarted sender may send events about its endpoint list later, or not before the senders stop.
        both = (("fleet", NAMES), ("1", list(KEEPERS)))
        for channel, sites in both:
            for name in sites:
                await wait_until_settled(fleet.senders[name], channel, asked_at)
    for channel, sites in both:
        bytes_of = {msgspec.msgpack.encode(stored_events(fleet, name, channel, asked_at)) for name in sites}
        assert stored_events(fleet, sites[0], channel, asked_at), channel
        assert len(bytes_of) == 1, channel


@on_loop
async def test_a_read_avoids_a_hung_keeper_and_reports_missing_ones(tmp_path: Path) -> None:
    async with start_fleet(tmp_path) as fleet:
        reader = fleet.senders[OTHERS[0]]
        first, second = (fleet.senders[name] for name in KEEPERS)
        ids = await submit_messages(fleet, NAMES, "a")
        whole = await read_until(reader, "1", lambda f: f["complete"] and message_ids(f, "taken") == ids)
        assert {k["site"] for k in whole["keepers"]} == set(KEEPERS)
        assert not whole["gaps"] and whole["layout"] == 0
        as_of = whole["at"]
        for keeper in (first, second):
            await wait_until_settled(keeper, "1", as_of)
        first.hang()
        status, found = await read_past(reader, "1", as_of, limit=1000)
        assert status == 200 and found["complete"]
        assert [e["id"] for e in found["events"]] == [e["id"] for e in whole["events"] if e["at"] <= as_of]
        await second.kill()
        status, found = await read_past(reader, "1", as_of, limit=1000)
        assert status == 503 or not found["complete"]
        assert status == 503 or {"what", "why"} <= found["missing"][0].keys()
        first.resume()
        await read_until(reader, "1", lambda f: f["complete"] and message_ids(f, "taken") == ids, as_of)
        await second.start()
        status, body = await reader.mgmt("GET", "/_channels/1?at=soon")
        assert status == 400 and b"at" in body
        assert (await read_past(reader, "99", as_of))[0] == 404


@on_loop
async def test_a_keeper_killed_during_a_handover_still_gets_the_whole_shard(tmp_path: Path) -> None:
    async with start_fleet(tmp_path) as fleet:
        reader = fleet.senders[KEEPERS[0]]
        ids = await submit_messages(fleet, NAMES, "before")
        before = await read_until(reader, "1", lambda f: f["complete"] and message_ids(f, "taken") == ids)
        new = {name: 1.0 for name in OTHERS[:2]}
        begins_us = now_us() + 1_500_000
        layout = json.dumps({"from": begins_us, "sites": new, "shards": 1, "keepers": 2}).encode()
        status, answer = await reader.mgmt("POST", "/_layout", layout)
        assert status == 200, answer
        new_keeper, other = (fleet.senders[name] for name in new)
        await fleet.link(KEEPERS[0], new_keeper.name).cut()
        await fleet.link(new_keeper.name, KEEPERS[0]).cut()
        await new_keeper.kill()  # before it can confirm the takeover
        during = await submit_messages(fleet, KEEPERS, "during")
        while now_us() < begins_us:
            await asyncio.sleep(0.05)
        found = await read_until(other, "1", lambda f: f["layout"] == 1)
        assert not found["complete"] or found["answered_by"] in KEEPERS
        await new_keeper.start()
        for link in (fleet.link(KEEPERS[0], new_keeper.name), fleet.link(new_keeper.name, KEEPERS[0])):
            await link.heal()
        wanted = ids | during
        found = await read_until(reader, "1", lambda f: f["complete"] and message_ids(f, "taken") == wanted)
        assert {k["site"] for k in found["keepers"]} >= set(new)
        old = await read_until(reader, "1", lambda f: f["complete"], before["at"])
        assert old["layout"] == 0
        assert message_ids(old, "taken") <= ids


@on_loop
async def test_a_full_disk_loses_no_message_and_lost_events_are_reported(
    tmp_path: Path,
) -> None:
    async with start_fleet(tmp_path) as fleet:
        sender = fleet.senders[OTHERS[0]]
        ids = await submit_messages(fleet, [sender.name], "before", 10)
        sender.fill_disk()
        accepted = set[str]()
        for n in range(400):
            message = f"full-{n}"
            if await fleet.submit(sender.name, message, "album-update", 1) == "+OK":
                accepted.add(message)
            else:
                break
        await sender.wait_for_log_line(LOG_LINES[0])
        ended = ids | accepted
        await fleet.wait_for_entries(lambda book: {e.message for e in book if e.what == "answer"} >= ended)
        sender.free_disk()
        await sender.wait_for_log_line(LOG_LINES[1])
        ended |= ids | await submit_messages(fleet, [sender.name], "after", 3)
        await fleet.wait_for_entries(lambda book: {e.message for e in book if e.what == "answer"} >= ended)
        while b"svc_outstanding 0" not in (await sender.mgmt("GET", "/_vars"))[1]:
            pass  # the last answers are still in transit
        found = await read_until(sender, "1", lambda f: f["complete"])
        assert message_ids(found, "taken") == ended == message_ids(found, "delivered")
        started, recovered = (
            next(n for n, line in enumerate(sender.lines) if text in line) for text in LOG_LINES
        )
        assert started < recovered and sum("event log: events are not" in line for line in sender.lines) == 1
