"""Tests of the lab: link faults, plans, the checker on faulty books, and a small fleet with faults."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from rowanrack.config import ConfigError, operator_config
from rowanrack.lab import skewed
from rowanrack.lab.__main__ import EXIT_BAD_INPUT, EXIT_NOT_COMPLETED, main, play_with_time_limit
from rowanrack.lab.books import Entry, Page
from rowanrack.lab.books import read as books
from rowanrack.lab.checker import Checker, summarize_run
from rowanrack.lab.figures import log_statistics, traffic_statistics
from rowanrack.lab.fleet import Fleet, Partner, PartnerParameters
from rowanrack.lab.links import Relays, UdpLink
from rowanrack.lab.log_rules import LogChecker
from rowanrack.lab.plan import make_plan
from rowanrack.lab.scenario import SCENARIOS, parse, read
from tests.rig import on_loop

SHOP = Partner("shop", PartnerParameters(dest=1, rate=60.0), endpoints=2)


class Echo(asyncio.Protocol):
    """Stores received bytes and echoes them."""

    def __init__(self) -> None:
        self.got = bytearray()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.got += data
        self.transport.write(data)


@asynccontextmanager
async def tcp() -> AsyncIterator[tuple[Relays, int, Echo]]:
    """Yield relays, the near port of a link `a`, and the server at its far end."""
    relays, echo = Relays(), Echo()
    server = await asyncio.get_running_loop().create_server(lambda: echo, "127.0.0.1", 0)
    port, _ = await relays.open("a", ["127.0.0.1", server.sockets[0].getsockname()[1]], "far")
    yield relays, port, echo
    await relays.execute("cut", {"names": ["a"], "cut": True})
    server.close()


def fault(way: str = "both", **faults: Any) -> tuple[str, dict[str, Any]]:
    return "set", {"names": ["a"], "way": way, "faults": faults}


CUT, HEAL = (("cut", {"names": ["a"], "cut": cut}) for cut in (True, False))
DOWN, UP = (("down", {"far": "far", "down": down}) for down in (True, False))


async def until(condition: Callable[[], object]) -> None:
    """Poll until the condition holds."""
    while not condition():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("before", "then", "arrives", "comes", "least_s"),
    [
        ((), (), b"hello", b"hello", 0.0),
        ((fault("there", delay_ms=80), fault("back", delay_ms=70)), (), b"hello", b"hello", 0.15),
        ((fault("there", silent=True),), (HEAL,), b"", None, 0.0),
        ((fault("back", silent=True),), (HEAL,), b"hello", None, 0.0),
        ((fault("there", stall=True),), (fault(stall=False),), b"hello", b"hello", 0.0),
        ((fault("there", cut_at=4),), (), b"hel", None, 0.0),
        ((CUT,), (HEAL,), b"", None, 0.0),
        ((DOWN,), (UP,), b"", None, 0.0),
    ],
)
@on_loop
async def test_tcp_links_inject_the_faults_that_are_set(
    before: Any, then: Any, arrives: bytes, comes: bytes | None, least_s: float
) -> None:
    """With `comes` None the connection ends, and a new one on the same port works afterwards."""
    async with tcp() as (relays, port, echo):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"!")
        assert await reader.readexactly(1) == b"!"
        echo.got.clear()
        for command in before:
            await relays.execute(*command)
        began = asyncio.get_running_loop().time()
        writer.write(b"hello")
        if then and "faults" in before[0][1]:
            sides = relays.links["a"].sides  # type: ignore[union-attr]
            await until(lambda: any(side.bytes_lost or side.stalled_chunks for side in sides))
            assert bytes(echo.got) == (b"" if before[0][1]["way"] == "there" else arrives)
        elif then:
            assert not relays.links["a"].sides  # type: ignore[union-attr]  # closed before the command returns
            with pytest.raises(OSError):
                await asyncio.open_connection("127.0.0.1", port)
        for command in then:
            await relays.execute(*command)
        if comes is None:
            with suppress(ConnectionError):
                assert await reader.read() in (b"", arrives)
            await relays.execute(*fault(cut_at=0))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await until(lambda: bytes(echo.got) == arrives)
            writer.write(b"?")
            comes = b"?"
        assert await reader.readexactly(len(comes)) == comes
        assert bytes(echo.got).removesuffix(b"?") == arrives
        assert asyncio.get_running_loop().time() - began >= least_s
        writer.write_eof()
        async with asyncio.timeout(5):
            await until(lambda: not relays.links["a"].sides)  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("faults", "comes"),
    [
        ({}, [b"1", b"2", b"end"]),
        ({"loss": 1.0}, [b"end"]),
        ({"silent": True}, [b"end"]),
        ({"double": 1.0}, [b"1", b"1", b"2", b"2", b"end"]),
        ({"reorder": 1.0}, [b"end", b"1", b"2"]),
        ({"delay_ms": 700}, [b"end", b"1", b"2"]),
    ],
)
@on_loop
async def test_udp_links_inject_the_faults_that_are_set(
    faults: dict[str, Any], comes: list[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Send two datagrams during the fault and one after it."""
    # Even a busy machine sends the third datagram within this delay.
    monkeypatch.setattr("rowanrack.lab.links.REORDER_DELAY_S", 0.7)
    got, relays, loop = list[bytes](), Relays(), asyncio.get_running_loop()

    class Far(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: Any) -> None:
            got.append(data if addr[1] == seen_from else b"stranger")

    far, _ = await loop.create_datagram_endpoint(Far, ("127.0.0.1", 0))
    to = list(far.get_extra_info("sockname"))
    port, seen_from = await relays.open("a", to, kind="udp", hub="h")
    assert (await relays.open("b", to, kind="udp", hub="h"))[0] == port  # links of a hub share a near port
    await relays.execute("cut", {"names": ["b"], "cut": True})
    link = relays.links["a"]
    assert isinstance(link, UdpLink)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as near:
        await relays.execute(*fault("there", **faults))
        for data in (b"1", b"2"):
            near.sendto(data, ("127.0.0.1", port))
        await until(lambda: link.received_count == 2)
        await relays.execute(*HEAL)
        near.sendto(b"end", ("127.0.0.1", port))
        await until(lambda: len(got) == len(comes))
    assert got == comes
    far.close()


def e(at_ms: int, what: str, who: str = "", message: str = "", place: str = "", **more: Any) -> Entry:
    return Entry(1000 * at_ms, what, who, message, place, 1 if place else -1, **more)


@pytest.mark.parametrize("dropped", [True, False])
def test_checker_tells_the_answer_to_a_repeated_call_from_the_end_of_a_dropped_one(dropped: bool) -> None:
    entries = [*submitted_entries("x", "safe"), e(100, "call", "s0", "x", "p-0")]
    entries += [e(200, "dropped", "s0", "x", "p-0")] if dropped else []
    entries += [e(300, "call", "s0", "x", "p-0"), e(300, "ran", "s0", "x", "p-0")]
    entries += [e(1000, "answer", "s0", "x", "p-0", note="200")]
    found = {violation.rule for violation in Checker(entries, frozenset({"once"})).check()}
    assert found == (set() if dropped else {"concurrent"})


def submitted_entries(message: str, cls: str = "once") -> list[Entry]:
    return [e(0, "submit", "", message, note=cls), e(1, "taken", "s0", message, value=5_000_000, note=cls)]


def call_entries(at_ms: int, message: str, note: str = "200", **more: Any) -> list[Entry]:
    answer = e(at_ms + 1, "answer", "s0", message, "p-0", note=note, **more)
    ran = [e(at_ms, "ran", "s0", message, "p-0")] if note == "200" else []
    return [e(at_ms, "call", "s0", message, "p-0"), *ran, answer]


GOOD = [
    *(entry for name in ("a", "b", "c", "d") for entry in submitted_entries(name)),
    *call_entries(20, "a"),
    *call_entries(100, "b", "429", value=800_000),
    e(950, "told", "s0", place="p-0", note="DRAINING"),
    *call_entries(1100, "b"),
    e(2000, "told", "s0", place="p-0", note="SERVING"),
    *call_entries(2100, "c"),
    e(2200, "notice", "s0", "d", note="given_up"),
]
KILLED = [e(300, "down", "s0", note="kill"), e(400, "up", "s0")]


@pytest.mark.parametrize(
    ("rule", "more", "excuse"),
    [
        ("lost", submitted_entries("x"), [e(200, "empty", "s0")]),
        (
            "late",
            submitted_entries("x") + call_entries(7000, "x"),
            [e(5000, "down", "s0"), e(6000, "up", "s0")],
        ),
        ("repeat", call_entries(3000, "a"), None),
        (
            "repeat",
            [
                *submitted_entries("x"),
                *call_entries(2999, "x"),
                e(3000, "notice", "s0", "x", note="handed_back"),
            ],
            None,
        ),
        ("end", [e(2300, "notice", "s0", "d", note="handed_back")], None),
        (
            "end",
            call_entries(3000, "d"),
            [e(2250, "fault", "s0", note="link"), e(2900, "over", "s0", note="link")],
        ),
        ("end", [e(3000, "notice", "s0", "c", note="given_up")], [e(2099, "fault", "s0", note="link")]),
        ("end", [e(3000, "notice", "s0", "c", note="given_up")], [e(2099, "fault", "p-0", note="link")]),
        ("wait", [*submitted_entries("x"), *call_entries(500, "x")], KILLED),
        ("wait", [*submitted_entries("x"), *call_entries(500, "x")], [e(99, "fault", "p-0", note="link")]),
        (
            "drain",
            [*submitted_entries("x"), *call_entries(1600, "x")],
            [e(960, "down", "s0"), e(1500, "up", "s0")],
        ),
        (
            "concurrent",
            [
                *submitted_entries("x", "safe"),
                e(3000, "call", "s0", "x", "p-0"),
                *call_entries(3400, "x")[:1],
                e(3900, "ran", "s0", "x", "p-0"),
                e(3900, "answer", "s0", "x", "p-0", note="200"),
            ],
            [e(3100, "down", "s0"), e(3300, "up", "s0")],
        ),
        (
            "over",
            [*submitted_entries("x", "safe"), *call_entries(2300, "x", "410"), *call_entries(2700, "x")],
            [e(2400, "down", "s0"), e(2500, "up", "s0")],
        ),
        ("owner", [e(2500, "call", "s0", "x", "p-0")], None),
        ("answer", [e(2500, "bad", "s0", "a")], None),
        ("cold", [e(2050, "state", place="p-0", note="up", value=0)], None),
    ],
)
def test_checker_reports_exactly_the_rule_that_is_broken(
    rule: str, more: list[Entry], excuse: list[Entry] | None
) -> None:
    """`excuse` holds entries with which the checker must report no violation."""
    if rule == "cold":  # three extra calls are allowed for chance
        for number in range(3):
            more = more + submitted_entries(f"x{number}", "safe") + call_entries(2300 + number, f"x{number}")

    def broken(entries: list[Entry]) -> set[str]:
        ordered = sorted(entries, key=lambda entry: entry.at)
        return {breach.rule for breach in Checker(ordered, frozenset({"once"})).check()}

    assert broken(GOOD) == set()
    assert broken(GOOD + more) == {rule}
    if rule == "cold":
        assert broken(GOOD + more[:-5]) == set()
    if excuse is not None:
        assert broken(GOOD + more + excuse) == set()


def test_summary_reports_the_evenness_of_calls() -> None:
    entries = [*GOOD, e(1000, "submit", "", "y", note="once")]
    found = summarize_run(sorted(entries, key=lambda entry: entry.at))["evenness"]["p-0"]
    assert found == {"calls_per_s": 2.0, "peak_over_mean": 5.0, "least_over_mean": 0.0}


def test_statistics_report_spread_bursts_idle_times_and_outcomes() -> None:
    def calls(at_ms: int, place: str, count: int, took_ms: int = 10) -> list[Entry]:
        found = []
        for n in range(count):
            at, of = 1000 * at_ms + n, ("s0", f"{place}/{at_ms}/{n}", place, 1)
            steps = ((at, "call", ""), (at, "ran", ""), (at + 1000 * took_ms, "answer", "200"))
            found += [Entry(when, what, *of, note=note) for when, what, note in steps]
        return found

    entries = [e(0, "submit", "", "x"), e(30_000, "submit", "", "y")]
    for n in range(1, 30):
        entries += calls(1000 * n, "p-0", 1) + calls(1000 * n, "p-1", 1)
    entries += calls(2500, "p-0", 9) + calls(20_500, "p-1", 20) + calls(10_300, "p-0", 1, took_ms=400)
    entries += [e(20_400, "state", "", place="p-1", note="up")]
    entries += [e(5000, "taken", "s0", m, value=10**9) for m in ("p-0/1000/0", "z", "o")]
    entries += [e(6000, "notice", "s0", "z", note="given_up")]
    entries += [e(n, "told", "s0", place="p-2", note="DELETED" if n else "SERVING") for n in (0, 100)]
    entries += [e(1000 * n, "connected", "s0", place="p-0") for n in range(1, 23)]
    found = traffic_statistics(sorted(entries, key=lambda entry: entry.at))
    (row,) = found["spread"]
    assert (row["calls"], row["peak_at"], row["peak"], row["least"]) == (88, "p-1", 1.11, 0.89)
    assert (row["endpoints"], row["away"], row["new"]) == (2, ["p-2"], 0.25)
    assert 1.0 < row["chance_peak"] < 1.2 and row["chance_peak"] + row["chance_least"] == pytest.approx(2)
    herds = {(row["behind"], row["in"]): (row["calls"], row["at"]) for row in found["herds"]}
    assert herds["endpoint up", "1 s"] == (21, "p-1") and herds["endpoint up", "100 ms"] == (20, "p-1")
    assert herds["nothing", "100 ms"] == (9, "p-0")
    assert found["idle_s"]["busy"] == {"s": 0.4, "at": "p-1", "at_s": 10.3}
    assert found["endings"] == {"delivered": 1, "given_up": 1, "none told": 1}


def test_a_seed_always_gives_the_same_plan() -> None:
    code = "import msgspec, rowanrack.lab.plan as p, rowanrack.lab.scenario as s, sys; "
    code += "sys.stdout.buffer.write(msgspec.json.encode(p.make_plan(s.read(s.SCENARIOS / 'small.toml'), 7)))"
    told = [
        subprocess.run([sys.executable, "-c", code], env=os.environ | {"PYTHONHASHSEED": h}, stdout=-1).stdout
        for h in ("1", "2")
    ]
    scenario = read(SCENARIOS / "small.toml")
    assert told[0] == told[1] == msgspec.json.encode(make_plan(scenario, 7))
    assert make_plan(scenario, 7) != make_plan(scenario, 8)
    for path in SCENARIOS.glob("*.toml"):
        assert make_plan(read(path), 1).arrivals
    first = Counter(arrival.order[0] for arrival in make_plan(read(SCENARIOS / "spread200.toml"), 1).arrivals)
    assert max(first.values()) > 4 * first.total() / 200  # senders get uneven shares


PARTNER = '[[partner]]\nname = "shop"\ndest = 1\n'
HEAD = "seconds = 2.0\nsenders = 2\nrate = 5.0\n"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("seconds = ", "invalid TOML"),
        (HEAD, "partner is missing"),
        (HEAD + "colour = 3\n" + PARTNER, "line 4: colour: unknown key"),
        (HEAD.replace("2\n", "0\n") + PARTNER, "line 2: senders: expected int >= 1 (0)"),
        (HEAD + PARTNER + "wait_ms = [9, 3]",
         "line 7: partner.0.wait_ms: expected the lower value first, got [9, 3]"),
        (HEAD + PARTNER + PARTNER.replace("shop", "lab"), "line 9: partner.1.dest: 1 is another partner's"),
        (HEAD + PARTNER + PARTNER,
         "line 8: partner.1.name: expected a unique name of letters, digits and hyphens, got 'shop'"),
        (HEAD + PARTNER + '[[fault]]\nwhat = "eat"\nat_s = 1.0', "line 8: fault.0.what: invalid enum value"),
        (HEAD + PARTNER + '[[fault]]\nwhat = "kill"\nat_s = 3.0',
         "line 9: fault.0.at_s: after the end of the run (2 s)"),
        *(
            (HEAD + PARTNER + f'[[fault]]\nat_s = 1.0\non = "{on}"\nwhat = "{what}"', f"line 9: {no}: {on!r}")
            for what, on, no in (
                ("kill", "s2", "fault.0.on: no such sender"),
                ("down", "shop-2", "fault.0.on: no such endpoint"),
                ("cut", "s0>s7", "fault.0.on: no such link"),
                ("slow", "shop", "fault.0.on: no such end"),
            )
        ),
        *(
            (HEAD + PARTNER + f"[channels]\n{text}", f"line {line}: channels.{expected}")
            for text, line, expected in (
                ("keepers = 0", 8, "keepers: expected int >= 1 (0)"),
                ("shard = 3", 8, "shard: unknown key"),
                ('[[channels.layout]]\nat_s = 1.0\ndrop = ["s2"]', 10, "layout.0.drop: no such sender: 's2'"),
                ('[[channels.layout]]\nat_s = 3.0', 9, "layout.0.at_s: after the end of the run (2 s): 3"),
                ('[[channels.layout]]\nat_s = 1\ndrop = ["s0", "s1"]', 10,
                 "layout.0.drop: at least one sender"),
                ('[[channels.read]]\nat_s = 1.0\nof = ["lab"]', 10, "read.0.of: no such partner: 'lab'"),
                ("[[channels.read]]\nat_s = 1.0\nas_of_s = [1.5]", 10,
                 "read.0.as_of_s: later than the read at 1 s"),
            )
        ),
        (HEAD + PARTNER + '[[fault]]\nat_s = 1.0\nwhat = "detach"', "line 9: fault.0.what: needs [channels]"),
        (HEAD.replace("= 2\n", "= 65\n") + "notes = true\n" + PARTNER,
         "line 4: notes: supported for at most"),
    ],
)  # fmt: skip
def test_an_invalid_scenario_is_reported_in_one_line_with_file_line_and_key(
    text: str, expected: str, tmp_path: Path
) -> None:
    path = tmp_path / "own.toml"
    path.write_text(text)
    ran = CliRunner().invoke(main, [str(path)])
    assert ran.exit_code == EXIT_BAD_INPUT
    assert ran.output.startswith(f"rowanrack.lab: {path}: {expected}") and ran.output.count("\n") == 1


def test_a_skewed_clock_applies_the_offset_in_its_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    true = time.time
    for name in ("time", "time_ns"):
        monkeypatch.setattr(time, name, getattr(time, name))
    skewed.write(tmp_path / "clock", 0)
    skewed.skew(tmp_path / "clock")
    for ahead_s in (0, 3600, -3600):
        skewed.write(tmp_path / "clock", ahead_s * 1_000_000)
        assert abs(time.time() - true() - ahead_s) < 60
        assert abs(time.time_ns() / 1e9 - true() - ahead_s) < 60


@on_loop
async def test_a_fleet_recovers_from_a_kill_a_lost_disk_and_a_full_disk(tmp_path: Path) -> None:
    async with Fleet(tmp_path / "f", 2, [SHOP], notes=True, mesh=("channel",), skewed_clocks=True) as fleet:
        one = fleet.senders["s0"]
        assert await one.mgmt("GET", "/_ready") == (200, b"ready\n")
        told = operator_config(one.folder / "site.toml").platform
        assert told is not None and told.peers is not None
        assert f"127.0.0.1:{told.peers.all_at[1]}" == fleet.address("s0", "s1", "notes")
        assert await fleet.submit("s0", "m1", "print-order", 1) == "+OK"
        await fleet.wait_for_entries(lambda book: any(e.what == "answer" and e.message == "m1" for e in book))
        await one.kill()
        assert await fleet.submit("s0", "m2", "print-order", 1) == "refused"
        (one.state_folder / "mark").touch()
        await one.start(empty=True)
        assert not (one.state_folder / "mark").exists()
        assert "; 0 messages recovered" in await one.wait_for_log_line("serving")
        one.fill_disk()
        number, ready = 3, 200
        while ready == 200 and number < 300:  # the journal has preallocated space to use up first
            number += 1
            await fleet.submit("s0", f"m{number}", "print-order", 1)
            ready, _ = await one.mgmt("GET", "/_ready")
        assert ready == 503
        assert (await fleet.submit("s0", "m300", "print-order", 1)).startswith("-BUSY")
        one.free_disk()
        while (await one.mgmt("GET", "/_ready"))[0] != 200:  # the sender rechecks the disk by itself
            pass
        while (await fleet.submit("s0", "m300", "print-order", 1)) != "+OK":  # BUSY while the sender is full
            pass
        children = [sender.child for sender in fleet.senders.values()]
    assert all(child is not None and child.poll() is not None for child in children)


UNIX_OFFSET_US = 1_000_000_000  # Unix time minus the time of the books
RUN_END_MS = 20_000


def log_event(at_ms: int, kind: str, message: str, who: str = "s0", **more: Any) -> dict[str, Any]:
    named = {"message": message} if message else {}
    found = {"id": f"{who}/x/{at_ms}", "at": UNIX_OFFSET_US + 1000 * at_ms, "origin": who, "kind": kind}
    return found | named | more


def page(
    events: list[dict[str, Any]], as_of_ms: int = RUN_END_MS, by: str = "k1", why: str = "end", **more: Any
) -> Page:
    as_of = UNIX_OFFSET_US + 1000 * as_of_ms
    up_to = [event for event in events if event["at"] <= as_of]
    given: dict[str, Any] = {"settled_until": as_of, "complete": True, "status": 200, "events": up_to} | more
    given |= {"at": 1000 * as_of_ms, "who": by, "answered_by": by, "channel": "1", "as_of": as_of}
    return Page(**given, limit=99, why=why, series=sum(by.encode()))


def test_a_read_counts_once_per_missing_category_and_never_seen_counts_as_answered() -> None:
    missing = [{"what": f"what {who}", "why": "no answer yet"} for who in ("others wrote", "k1 keeps")]
    pages = [
        page([], why="run", complete=False, missing=missing),
        page([], why="run", complete=False, status=404),
    ]
    log = log_statistics([], pages, LogChecker([], pages))
    assert log["why_incomplete"] == {"no keeper with all of it": 1}
    assert (log["incomplete"], log["never_seen"], log["nobody"]) == (1, 1, 0)


def delivered_entries(message: str, at_ms: int) -> list[Entry]:
    taken = e(at_ms, "taken", "s0", message, value=10**9, note="once")
    return [msgspec.structs.replace(taken, dest=1), *call_entries(at_ms + 10, message)]


def delivered_events(message: str, at_ms: int, leg: int = 1) -> list[dict[str, Any]]:
    begun = log_event(at_ms + 5, "begun", message, leg=leg, endpoint="p-0")
    return [log_event(at_ms, "taken", message), begun, log_event(at_ms + 10, "delivered", message)]


BOOK = [
    e(0, "clock", value=UNIX_OFFSET_US),
    e(0, "up", "s0"),
    *delivered_entries("a", 1000),
    *delivered_entries("b", 2000),
]
BOOK += [e(RUN_END_MS, "end", value=UNIX_OFFSET_US + 1000 * RUN_END_MS)]
LOG = delivered_events("a", 1000) + delivered_events("b", 2000)
KEPT_BY = [page(LOG), page(LOG, by="k2")]
OTHER = [dict(LOG[0], id="s0/x/0"), *LOG[1:]]
DETACHED = [e(3000, "detach", "s1", place="p-0"), *delivered_entries("c", 14_000)]
SPAN: dict[str, Any] = {"from": UNIX_OFFSET_US + 2_000_000, "to": UNIX_OFFSET_US + 2_200_000}
LOST = log_event(4000, "lost", "", count=1, **SPAN)
HANG_ENTRY, SILENT = e(4000, "down", "k1", note="hang"), page([], 5000, why="run", status=0)
LINK = [e(2000, "fault", "s0", note="link"), e(8000, "over", "s0", note="link")]
LATE = [{"what": "events from 1", "why": "not heard"}]
ATTACHED = [e(5000, "attach", "s1", place="p-0")]
UNSETTLED = page(LOG, settled_until=UNIX_OFFSET_US + 9_000_000)


@pytest.mark.parametrize(
    ("rule", "book", "pages", "excused"),
    [
        ("order", [], [page(LOG), page(OTHER, by="k2")], None),
        ("order", [], [page([LOG[1], LOG[0], *LOG[2:]])], None),
        ("order", [], [UNSETTLED], ([e(5000, "down", "s3", note="kill")], [])),
        ("event", [], [page(LOG[:-1])], ([e(3000, "down", "s0", note="kill")], [])),
        ("event", [], [page(LOG[:-1])], ([], [page([*LOG[:-1], LOST])])),
        ("event", [], [page(LOG[:-2])], None),
        ("event", [], [page([*LOG[:-2], LOST])], None),  # it accounts for one, but two are missing
        ("event", [], [page(LOG + delivered_events("b", 3000))], ([e(2500, "up", "s0")], [])),
        ("event", [], [page([*LOG, log_event(3000, "delivered", "z")])], None),
        ("whole", [], [*KEPT_BY, page(LOG[1:], 5000, why="run")], None),
        ("whole", [], [*KEPT_BY, page(LOG[1:], 5000, why="run", complete=False, missing=LATE)], None),
        ("whole", [], [*KEPT_BY, page(LOG, 5000, why="run", complete=False)], None),
        ("whole", [], [*KEPT_BY, page(LOG, 5000, why="run", missing=[{"what": "x", "why": ""}])], None),
        ("whole", [], [*KEPT_BY, page([], 5000, why="run", status=404, text="never seen")], None),
        ("whole", [], [*KEPT_BY, SILENT], ([HANG_ENTRY], [])),
        ("whole", delivered_entries("c", 2500),
         [page(LOG + delivered_events("c", 6000)), page(LOG, 5000, why="run")], None),
        ("detach", DETACHED, [page(LOG + delivered_events("c", 14_000))], (ATTACHED, [])),
        ("detach", DETACHED, [page(LOG + delivered_events("c", 14_000))], (LINK, [])),
    ],
)  # fmt: skip
def test_log_rules_report_missing_duplicate_and_misordered_events(
    rule: str, book: list[Entry], pages: list[Page], excused: tuple[list[Entry], list[Page]] | None
) -> None:
    """A kill excuses events logged up to 1.5 s before it; a `lost` event excuses as many as its count."""

    def broken(entries: list[Entry], pages: list[Page]) -> set[str]:
        ordered = sorted(BOOK + entries, key=lambda entry: entry.at)
        return {breach.rule for breach in LogChecker(ordered, pages).check()}

    early = page(LOG, 1500, why="run", complete=False, missing=LATE)
    assert broken([], [*KEPT_BY, page(LOG, 5000, why="run"), early]) == set()
    assert broken(book, pages) == {rule}
    if excused is not None:
        assert broken(book + excused[0], excused[1] or pages) == set()
    if rule == "event" and excused is not None and excused[0]:
        far = [msgspec.structs.replace(entry, at=entry.at + 1_000_000) for entry in excused[0]]
        assert broken(book + far, pages) == ({rule} if far[0].what == "down" else set())


def test_the_log_scenario_keeps_the_rules_and_reports_its_statistics(tmp_path: Path) -> None:
    scenario = read(SCENARIOS / "log.toml")
    result = asyncio.run(play_with_time_limit(scenario, make_plan(scenario, 1), tmp_path, 1))
    assert result["rules"] == "kept", result["breaches"]
    log = result["log"]
    assert log["by_kind"]["layout"] == log["by_kind"]["detached"] == 1
    assert all(count >= 2 for count in log["keepers_asked"].values()) and log["events"] > 500
    ends = [log[key] for key in ("complete", "incomplete", "never_seen", "nobody")]
    assert ends[0] and sum(ends) == 21
    assert {row["dest"] for row in result["spread"]} == {1, 2} and result["endings"]["delivered"]
    paths = tmp_path.glob("fleet/s*/site.toml")
    files = {path.parent.name: tomllib.loads(path.read_text()) for path in paths}
    direct = {
        (near, far)
        for near, doc in files.items()
        for far, address in doc["channels"]["sites"].items()
        if address == files[far]["channels"]["listen"]
    }
    well = files.keys() - {"s4"}  # which is cut off by a fault
    assert len(well) == 7 and direct == {(a, b) for a in well for b in well if a != b}
    assert result["series"]["lag"] and any(mark[1] == "layout" for mark in result["series"]["marks"])


def test_peers_without_a_platform_are_a_configuration_error(tmp_path: Path) -> None:
    text = (Path(__file__).parents[1] / "deploy" / "operator.example.toml").read_text()
    path = tmp_path / "site.toml"
    path.write_text(text + '\n[peers]\nlisten = "127.0.0.1:1"\npeers = []\nall_at = "127.0.0.1:2"\n')
    with pytest.raises(ConfigError, match="peers: gossip between senders requires a"):
        operator_config(path)


FAULTY_SCENARIO = (
    "seconds = 5.0\nsenders = 8\nrate = 30.0\n"
    '[[grade]]\nname = "safe"\neffect = "retryable"\ndeadline_ms = 4000\n'
    '[[grade]]\nname = "once"\neffect = "fragile"\ndeadline_ms = 4000\n'
    '[[partner]]\nname = "shop"\ndest = 1\nendpoints = 3\nrate = 60.0\n'
    '[[fault]]\nwhat = "kill"\nat_s = 1.0\nfor_s = 1.0\non = "s1"\n'
    '[[fault]]\nwhat = "hang"\nat_s = 1.0\nfor_s = 3.2\non = "s2"\n'
    '[[fault]]\nwhat = "cut"\nat_s = 1.0\nfor_s = 2.0\non = "s3>shop-1"\n'
    '[[fault]]\nwhat = "disk"\nat_s = 1.0\nfor_s = 2.0\non = "s4"\n'
)


def test_eight_senders_keep_the_rules_during_a_kill_a_hang_a_cut_link_and_a_full_disk(
    tmp_path: Path,
) -> None:
    scenario = parse(FAULTY_SCENARIO)
    result = asyncio.run(play_with_time_limit(scenario, make_plan(scenario, 3), tmp_path, 3))
    assert result["rules"] == "kept", result["breaches"]
    entries = books(tmp_path / "fleet" / "books")
    seen = {(e.what, e.who, e.note) for e in entries if e.what in ("down", "up", "fault", "over")}
    assert {("down", "s1", "kill"), ("up", "s1", ""), ("down", "s2", "hang"), ("up", "s2", "hang")} <= seen
    assert {(what, *one) for what in ("fault", "over") for one in (("s3", "link"), ("s4", "disk"))} <= seen
    hurt = {e.who for e in entries if e.what in ("unsure", "busy", "refused")}
    assert {"s1", "s2"} <= hurt  # s4 keeps working in the space that its journal has preallocated
    assert result["ran"] > 0.8 * result["handed_in"]


def test_sigterm_ends_all_started_processes(tmp_path: Path) -> None:
    path, keep = tmp_path / "own.toml", tmp_path / "kept"
    path.write_text(FAULTY_SCENARIO)
    command = [sys.executable, "-m", "rowanrack.lab", str(path), "--keep", str(keep)]
    lab = subprocess.Popen(command, stderr=subprocess.PIPE)
    while lab.poll() is None and len(list(keep.glob("fleet/s*/log"))) < 4:
        time.sleep(0.02)
    assert processes_below(keep)
    lab.send_signal(signal.SIGTERM)
    _, stderr = lab.communicate(timeout=20)
    assert lab.returncode == EXIT_NOT_COMPLETED and b"ended by a signal" in stderr
    assert not processes_below(keep)


def processes_below(folder: Path) -> list[str]:
    """Return the processes whose command line names a path below the folder, without the lab itself."""
    found = []
    for process in Path("/proc").glob("[0-9]*"):
        with suppress(OSError):
            line = (process / "cmdline").read_bytes().decode().split("\0")
            if any(word.startswith(f"{folder}/") for word in line):
                found.append(process.name)
    return found
