"""A core that is full: rules hold in late rounds, and what is shed goes in the right order."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from rowanrack.core.messages import End, Ending, Message
from rowanrack.load import load_shedder as load
from rowanrack.load.load_shedder import Level, LoadShedder
from rowanrack.load.metered import CpuMeteredCoroutine
from rowanrack.net.fair_scheduling import CLIENTS, FEW, ConnectionPriority, FairSelector
from rowanrack.net.listener import AT_ONCE, OWED_US
from rowanrack.net.stream import Stream
from rowanrack.net.timing import LoopClock
from tests.rig import Rig, on_loop, resp, silent
from tests.test_core import SECOND_US, ExchangeHarness
from tests.test_otlp import logs

MS = 1000


def spans(load_shedder: LoadShedder, count: int, late_us: int, strangers: float = 0.0) -> None:
    """So many spans in which every round is so late, and strangers use that share of the time."""
    for _ in range(count):
        for _ in range(10):
            load_shedder.spent(strangers * load.WINDOW_US / 10)
            load_shedder._test_now += load.WINDOW_US // 10  # type: ignore[attr-defined]
            load_shedder.record_delay(load_shedder._test_now, late_us)  # type: ignore[attr-defined]


@pytest.fixture
def load_shedder() -> LoadShedder:
    made = LoadShedder(0)
    made._test_now = 0  # type: ignore[attr-defined]
    return made


@pytest.mark.parametrize(
    ("late_us", "level", "refuses"),
    [
        (0, Level.CALM, False),
        (load.ELEVATED_DELAY_US - MS, Level.CALM, False),
        (load.ELEVATED_DELAY_US, Level.ELEVATED, False),
        (load.OVERLOAD_DELAY_US - MS, Level.ELEVATED, False),
        (load.OVERLOAD_DELAY_US, Level.OVERLOADED, True),
    ],
)
def test_what_is_shed_follows_from_how_late_rounds_run(
    load_shedder: LoadShedder, late_us: int, level: Level, refuses: bool
) -> None:
    spans(load_shedder, 1, late_us)
    assert load_shedder.level is level and any(load_shedder.early_refusal_us() for _ in range(10)) is refuses


def test_one_late_turn_in_a_span_is_no_state(load_shedder: LoadShedder) -> None:
    for n in range(60):
        load_shedder.record_delay(n * 10 * MS, 400 * MS if n == 30 else 0)
    assert load_shedder.level is Level.CALM


def test_a_span_in_which_nothing_ran_was_late_itself(load_shedder: LoadShedder) -> None:
    load_shedder.record_delay(5 * SECOND_US, 0)
    assert load_shedder.level is Level.OVERLOADED


def test_a_level_ends_step_by_step_after_easy_spans(load_shedder: LoadShedder) -> None:
    spans(load_shedder, 2, load.OVERLOAD_DELAY_US)
    levels = list[Level]()
    for easy in (load.EASE_WINDOW_COUNT - 1, None, load.EASE_WINDOW_COUNT - 1, 1, load.EASE_WINDOW_COUNT):
        if easy is None:
            # Neither overloaded nor eased: the count of eased windows starts again.
            spans(load_shedder, 1, int(load.OVERLOAD_DELAY_US * 0.7))
        else:
            load_shedder.refused_share = 0.0  # which keeps the level on
            spans(load_shedder, easy, 0)
        levels.append(load_shedder.level)
    assert levels == [Level.OVERLOADED, Level.OVERLOADED, Level.OVERLOADED, Level.ELEVATED, Level.CALM]


def test_on_call_reads_one_line_at_the_begin_and_one_at_the_end(
    load_shedder: LoadShedder, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    spans(load_shedder, 3, load.ELEVATED_DELAY_US, 0.3)
    spans(load_shedder, 3, load.OVERLOAD_DELAY_US)
    while load_shedder.refused < 2:
        load_shedder.early_refusal_us()
    spans(load_shedder, 9 * load.EASE_WINDOW_COUNT, 0)
    texts = [record.getMessage() for record in caplog.records]
    assert len(texts) == 2
    assert texts[0] == "overload began: rounds are 50 ms late, new clients use 30% of the time"
    assert "overload ended after" in texts[1] and "2 messages were refused early" in texts[1]


def test_strangers_wait_longer_while_they_use_more_than_their_share(load_shedder: LoadShedder) -> None:
    spans(load_shedder, 3, 0, strangers=0.08)
    assert (load_shedder.penalty_us, load_shedder.penalties(200)) == (
        load.MIN_PENALTY_US,
        load.MIN_PENALTY_COUNT,
    )
    spans(load_shedder, 30, load.OVERLOAD_DELAY_US, strangers=0.08)  # too much when the core is full
    assert (load_shedder.penalty_us, load_shedder.penalties(200)) == (load.MAX_PENALTY_US, 100)
    spans(load_shedder, 30, load.OVERLOAD_DELAY_US, strangers=0.02)
    assert (load_shedder.penalty_us, load_shedder.penalties(200)) == (
        load.MIN_PENALTY_US,
        load.MIN_PENALTY_COUNT,
    )
    assert load_shedder.penalties(16) == load.MIN_PENALTY_COUNT


def test_as_many_are_refused_early_as_must_be(load_shedder: LoadShedder) -> None:
    """All or none at a level left two thirds of a full core's work undone, and swung."""
    shares = list[float]()
    for late_us in (
        load.OVERLOAD_DELAY_US,
        load.OVERLOAD_DELAY_US,
        int(load.OVERLOAD_DELAY_US * 0.7),
        0,
        0,
        0,
        0,
        0,
        0,
        0,
    ):
        spans(load_shedder, 1, late_us)
        shares.append(load_shedder.refused_share)
    assert shares[:5] == pytest.approx([0.25, 0.5, 0.5, 0.3, 0.18]) and shares[-1] == 0.0
    load_shedder.refused_share = 0.3
    refused = [bool(load_shedder.early_refusal_us()) for _ in range(40)]
    assert sum(refused) in (11, 12) and all(1 <= sum(refused[n : n + 8]) <= 3 for n in range(32))
    spans(load_shedder, 1, load.OVERLOAD_DELAY_US)
    assert load_shedder.level is Level.OVERLOADED


def test_connections_wait_while_strangers_use_more_than_their_share_of_a_full_core(
    load_shedder: LoadShedder,
) -> None:
    load_shedder.wasted(10 * SECOND_US)
    assert load_shedder.pace_us(0) == 0  # the core has room
    spans(load_shedder, 1, load.ELEVATED_DELAY_US)
    now, taken = load.WINDOW_US, 0
    load_shedder.pace_us(now)
    load_shedder._debt_us = 0.0
    while now < 20 * SECOND_US:  # each comes as soon as it may, and costs a millisecond
        if wait_us := load_shedder.pace_us(now):
            assert wait_us <= load.MAX_PACING_DELAY_US
            now += wait_us
        else:
            load_shedder.wasted(1 * MS)
            now, taken = now + 1 * MS, taken + 1
    share = load.NEW_CLIENT_SHARES[Level.ELEVATED]
    assert taken * MS == pytest.approx(19.5 * SECOND_US * share + load.MAX_DEBT_US, rel=0.05)


def test_a_core_on_which_strangers_are_paced_is_still_full(load_shedder: LoadShedder) -> None:
    spans(load_shedder, 1, load.ELEVATED_DELAY_US)
    for _ in range(3 * load.EASE_WINDOW_COUNT):
        load_shedder.wasted(5 * SECOND_US)
        assert load_shedder.pace_us(load_shedder._test_now)  # type: ignore[attr-defined]
        spans(load_shedder, 1, 0)
    levels = [load_shedder.level]
    spans(load_shedder, load.EASE_WINDOW_COUNT, 0)
    assert [*levels, load_shedder.level] == [Level.ELEVATED, Level.CALM]


class Keeper:
    """What turns are told, and what they ask."""

    def __init__(self) -> None:
        self.pace, self.lates = 0, list[int]()

    def record_delay(self, now_us: int, late_us: int) -> None:
        self.lates.append(late_us)

    def pace_us(self, now_us: int) -> int:
        return self.pace


def watched(turns: FairSelector, rank: ConnectionPriority, count: int, used_us: float = 0.0) -> list[int]:
    """Connections that stand ready, by their descriptors."""
    pairs = [socket.socketpair() for _ in range(count)]
    for mine, other in pairs:
        other.send(b"x")
        turns.register(mine, selectors.EVENT_READ, (mine, other))
        if rank is not ConnectionPriority.INTERNAL:
            turns.rank(mine.fileno(), rank, used_us)
    return [mine.fileno() for mine, _ in pairs]


@pytest.fixture
def turns() -> Iterator[FairSelector]:
    made = FairSelector()
    made.keeper = Keeper()
    yield made
    for key in list(made.get_map().values()):
        made.unregister(key.fileobj)
        for sock in key.data:
            sock.close()
    made.close()


def served(turns: FairSelector) -> list[int]:
    return [key.fd for key, _ in turns.select(0)]


def test_a_turn_serves_all_that_is_ours_first_and_a_bounded_number_of_clients(turns: FairSelector) -> None:
    clients, strangers = (
        watched(turns, ConnectionPriority.CLIENT, 40),
        watched(turns, ConnectionPriority.NEW_CLIENT, 30),
    )
    ours = watched(turns, ConnectionPriority.INTERNAL, 50)
    now = served(turns)
    assert set(now[:50]) == set(ours) and len(now) == 50 + 2 * CLIENTS
    assert set(now[50 : 50 + CLIENTS]) <= set(clients) and set(now[50 + CLIENTS :]) <= set(strangers)


def test_each_client_that_is_ready_has_its_turn(turns: FairSelector) -> None:
    """Nobody reads, so that all stay ready: those that have waited longest go first."""
    clients = watched(turns, ConnectionPriority.CLIENT, 5 * CLIENTS)
    for _ in range(3):
        assert {fd for _ in range(5) for fd in served(turns)} == set(clients)
    keeper = turns.keeper
    assert isinstance(keeper, Keeper) and max(keeper.lates) > 0  # the wait is told


def test_strangers_beyond_their_share_get_few_turns_and_their_wait_is_no_lateness(
    turns: FairSelector,
) -> None:
    drips = watched(turns, ConnectionPriority.NEW_CLIENT, 30, used_us=5 * MS)
    new = watched(turns, ConnectionPriority.NEW_CLIENT, FEW)
    assert isinstance(turns.keeper, Keeper)
    turns.keeper.pace = 1
    assert all(set(served(turns)) == set(new) for _ in range(5))
    assert not turns.keeper.lates and set(drips).isdisjoint(served(turns))
    turns.keeper.pace = 0
    assert set(new) <= set(served(turns)) and not turns.keeper.lates
    for descriptor in drips:
        turns.rank(descriptor, ConnectionPriority.NEW_CLIENT)  # as if all were new
    assert [served(turns) for _ in range(2)] and turns.keeper.lates


def test_strangers_that_have_had_their_turns_make_the_core_no_fuller(turns: FairSelector) -> None:
    """200 that sent single bytes had nearly all messages of usual clients refused early."""
    watched(turns, ConnectionPriority.NEW_CLIENT, 5 * CLIENTS, used_us=5 * MS)
    for _ in range(10):
        assert len(served(turns)) == CLIENTS
    assert isinstance(turns.keeper, Keeper) and not turns.keeper.lates


def test_a_rank_ends_with_its_connection(turns: FairSelector) -> None:
    (descriptor,) = watched(turns, ConnectionPriority.NEW_CLIENT, 1)
    key = turns.unregister(descriptor)
    turns.register(key.fileobj, selectors.EVENT_READ, key.data)  # as something else under the same number
    watched(turns, ConnectionPriority.CLIENT, 2 * CLIENTS)
    assert served(turns)[0] == descriptor


@on_loop
async def test_a_full_core_parts_with_a_request_that_comes_in_by_single_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(load, "MAX_CLIENT_TIME_US", 3 * MS)
    monkeypatch.setattr(load, "SLOW_READ_COST_US", SECOND_US)  # else it comes in larger pieces
    async with Rig(tmp_path, silent) as rig:
        began, client = asyncio.get_running_loop().time(), await rig.client()
        rig.sender.exchange.load_shedder.level = Level.ELEVATED
        with contextlib.suppress(OSError):  # it is closed while we write
            for byte in b"*5\r\n$6\r\nSUBMIT\r\n$9000\r\n" + b"x" * 8000:
                if client.stream.ended:
                    break
                client.stream.send_now(bytes([byte]))
                await asyncio.sleep(0.0002)
        assert asyncio.get_running_loop().time() - began < 1.9  # it would be closed after 2 s in any case
        assert "takes too much time to read" in caplog.text
        usual = await rig.client()
        assert await usual.submit("m1") == b"+OK\r\n"


def burn(seconds: float) -> None:
    until = time.thread_time() + seconds
    while time.thread_time() < until:
        pass


@pytest.mark.parametrize(("step", "said"), [(time.sleep, b"+PONG\r\n"), (burn, b"-ERR Protocol error")])
@on_loop
async def test_a_client_bears_processor_time_and_not_what_the_process_lost(
    tmp_path: Path, step: Callable[[float], None], said: bytes
) -> None:
    """On a full machine good requests were refused: a process not run for 20 ms blamed who stood there."""
    async with Rig(tmp_path, silent) as rig:
        front = rig.sender.fronts[0][0]
        front.load_shedder.level, talk = Level.ELEVATED, front.talk

        async def talks(stream: Stream) -> None:
            step(3 * load.MAX_CLIENT_TIME_US / 1e6)
            await talk(stream)

        front.talk = talks  # type: ignore[method-assign]
        client = await rig.client()
        assert (await client.command("PING")).startswith(said)


@on_loop
async def test_time_that_the_process_lost_is_not_a_request_s_own(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        front, looks, lost_us = rig.sender.fronts[0][0], asyncio.Queue[None](), 0
        plain = front._now

        def now() -> int:
            looks.put_nowait(None)
            return plain() + lost_us

        client = await rig.client()
        await client.stream.send(resp("PING")[:-1])
        while not any(stream.came for stream in front.streams):
            await asyncio.sleep(0)
        front._now, lost_us = now, 3 * OWED_US  # type: ignore[method-assign]
        for _ in range(3):
            await looks.get()
        assert await client.raw(resp("PING")[-1:]) == b"+PONG\r\n"


@on_loop
async def test_a_full_core_reads_single_bytes_together_and_ends_them_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(load, "SLOW_READ_COST_US", 300)
    async with Rig(tmp_path, silent) as rig:
        loop, front, steps = asyncio.get_running_loop(), rig.sender.fronts[0][0], list[float]()
        rig.sender.exchange.load_shedder.level = Level.ELEVATED
        charge = front._charge
        front._charge = lambda stream, us: (steps.append(us), charge(stream, us))[1]  # type: ignore
        began, client, sent = loop.time(), await rig.client(), 0
        with contextlib.suppress(OSError):
            for byte in b"*5\r\n$6\r\nSUBMIT\r\n$9000\r\n" + b"x" * 8000:
                if client.stream.ended:
                    break
                client.stream.send_now(bytes([byte]))
                sent += 1
                await asyncio.sleep(0.001)
        assert len(steps) < sent / 4  # a step for each byte without this
        assert loop.time() - began < 2.8  # its end is owed within 3 s, unread or not
        whole = await rig.client()
        assert await whole.submit("m1") == b"+OK\r\n"


@on_loop
async def test_a_debt_is_left_by_those_who_neither_ask_nor_are_answered(tmp_path: Path) -> None:
    """Whoever had just come made one, too, and kept usual clients out beside bad ones."""
    async with Rig(tmp_path, silent) as rig:
        front, wasted = rig.sender.fronts[0][0], list[float]()
        front.load_shedder.wasted = wasted.append  # type: ignore[assignment, method-assign]
        usual, bad, quiet = [await rig.client() for _ in range(3)]
        assert await usual.submit("m1") == b"+OK\r\n"
        assert (await bad.command("NO")).startswith(b"-ERR")
        assert not wasted and len(front._strangers) == 2
        for client in (usual, bad, quiet):
            client.stream.abort()
        while front._strangers:
            await asyncio.sleep(0.001)
        assert len(wasted) == 1 and wasted[0] > 0 and not front._told_off


@on_loop
async def test_clients_that_leave_at_once_cost_no_connection(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        front, accepted = rig.sender.fronts[0][0], list[object]()
        plain = front._accept

        def accept(stream: Stream) -> None:
            accepted.append(stream)
            plain(stream)

        front._accept = accept  # type: ignore[method-assign]
        for _ in range(40):
            socket.create_connection(("127.0.0.1", front.port)).close()
        client = await rig.client()
        assert await client.submit("m1") == b"+OK\r\n"
        assert len(accepted) <= 2


@on_loop
async def test_clients_that_leave_as_fast_as_they_come_leave_the_loop_its_turns(tmp_path: Path) -> None:
    """Accepting never waited for anything then, and kept the loop for as long as they came."""
    async with Rig(tmp_path, silent) as rig:
        front, turns = rig.sender.fronts[0][0], 0
        for _ in range(300):
            socket.create_connection(("127.0.0.1", front.port)).close()
        last = socket.create_connection(("127.0.0.1", front.port))
        while not front.streams:
            turns += 1
            await asyncio.sleep(0)
        last.close()
        assert turns >= 300 // AT_ONCE
        assert front.load_shedder._debt_us > 0


@on_loop
async def test_new_connections_come_in_many_a_turn_of_the_loop(tmp_path: Path) -> None:
    """One a turn kept hundreds of clients waiting for seconds when turns were long."""
    async with Rig(tmp_path, silent) as rig:
        loop, front, turns = asyncio.get_running_loop(), rig.sender.fronts[0][0], 0
        opened = [socket.create_connection(("127.0.0.1", front.port)) for _ in range(10)]
        while len(front.streams) < len(opened):
            turns += 1
            await asyncio.sleep(0)
        assert turns < 10 and loop.time()
        for sock in opened:
            sock.close()


def test_time_of_one_that_makes_a_good_request_is_given_back(load_shedder: LoadShedder) -> None:
    load_shedder.spent(400 * MS)
    load_shedder.spent(-400 * MS)
    spans(load_shedder, 1, load.ELEVATED_DELAY_US)
    assert load_shedder.new_client_share == 0.0


@on_loop
async def test_the_steps_of_a_coroutine_are_metered_and_nothing_else() -> None:
    told = list[float]()

    async def inner(fails: bool) -> None:
        await asyncio.sleep(0.02)
        if fails:
            raise OSError("gone")

    await CpuMeteredCoroutine(inner(False), told.append)
    assert len(told) == 2 and sum(told) < 15_000  # the wait is not among it
    with pytest.raises(OSError, match="gone"):
        await CpuMeteredCoroutine(inner(True), told.append)
    cancelled = list[bool]()

    async def cleans_up() -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            await asyncio.sleep(0)
            cancelled.append(True)
            raise

    async def outer() -> None:
        await CpuMeteredCoroutine(cleans_up(), told.append)

    task = asyncio.create_task(outer())
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task})
    assert task.cancelled() and cancelled == [True]


@pytest.mark.parametrize("entry", ["run_overdue_round", "submit", "too_busy"])
def test_a_message_has_its_end_though_every_round_is_late(tmp_path: Path, entry: str) -> None:
    """A core that was full came to its rounds late, and a message owed got no end in its time."""
    desk, told = ExchangeHarness(tmp_path), dict[str, int]()
    desk.exchange.listeners["platform"] = lambda m, end: told.update({m.id: desk.now - m.deadline_us})
    desk.submit("order")  # out, with no answer
    for n in range(6):
        message = Message(f"m{n}", "album-update", "a", 7, desk.now + (n + 1) * SECOND_US, b"x", "platform")
        assert desk.exchange.submit(message) is None
    for n in range(800):  # the loop never comes to the rounds; somebody else always wants something
        desk.now += 10 * MS
        match entry:
            case "run_overdue_round":
                desk.exchange.run_overdue_round()
            case "too_busy":
                desk.exchange.too_busy("another")
            case _:
                desk.exchange.submit(Message(f"n{n}", "album-update", "a", 99, desk.now, b"x", "platform"))
    assert set(told) == {"order", *(f"m{n}" for n in range(6))}
    assert max(told.values()) <= 150 * MS  # it may be 300 ms late


def test_what_a_round_ends_is_told_in_the_round(tmp_path: Path) -> None:
    desk, told = ExchangeHarness(tmp_path), list[str]()
    desk.exchange.listeners["platform"] = lambda m, end: told.append(m.id)
    desk.exchange.round_over = lambda: told.append("over")
    desk.submit("order")
    told.clear()
    desk.now += 4 * SECOND_US
    desk.exchange.pump()
    assert told == ["order", "over"]


@on_loop
async def test_a_notice_comes_in_time_though_every_round_is_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop never wakes the core; bad clients do, whoever they are."""
    async with Rig(tmp_path, silent) as rig:
        loop, client = asyncio.get_running_loop(), await rig.client()
        assert await client.submit("m1", "print-order", d=500) == b"+OK\r\n"
        await rig.servers[0].asked(1)
        due = loop.time() + 0.5
        monkeypatch.setattr(LoopClock, "wake_at", lambda *_: None)
        rig.sender.clock.stop()

        async def bad() -> None:
            while True:
                (await rig.client()).stream.send_now(b"*1\r\n$2\r\n")
                await asyncio.sleep(0.01)

        noise = asyncio.create_task(bad())
        notice = await rig.platform.notice("m1")
        noise.cancel()
        assert notice["outcome"] == "given_up" and loop.time() < due + 0.3


@on_loop
async def test_a_notice_is_in_the_kernel_when_the_round_is_over(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        notices = rig.sender.notices
        assert notices is not None
        while not notices._lines[0].idle:
            await asyncio.sleep(0)
        notices.ended(Message("m1", "c", "t", 7, 0, b"", "platform"), End(Ending.FAILED))
        notices.flush()
        line = notices._lines[0]
        assert "m1" in line.batch and line.caller is not None
        assert line.caller.stream._writer.transport.get_write_buffer_size() == 0
        await rig.platform.notice("m1")
        while notices.pending:
            await asyncio.sleep(0)
        assert not line.batch  # confirmed


@on_loop
async def test_a_full_core_refuses_new_messages_before_their_cost_and_denies_none(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        client = await rig.client()
        assert await client.submit("m1") == b"+OK\r\n"
        rig.sender.exchange.load_shedder.refused_share = 1.0
        assert await client.submit("m2") == b"-BUSY 1000\r\n"
        assert await client.submit("m1") == b"+OK\r\n"  # it is owed
        assert list(rig.sender.journal.owed) == ["m1"]
        refused = await rig.export(b"no protobuf at all")
        assert (refused.status, refused.headers["retry-after"]) == (503, "1")
        rig.sender.exchange.load_shedder.refused_share = 0.0
        assert await client.submit("m2") == b"+OK\r\n"
        assert (await rig.export(logs(dest="99"))).status == 503


@on_loop
async def test_strangers_are_charged_until_their_first_good_request(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        front, spent = rig.sender.fronts[0][0], list[float]()
        front.load_shedder.spent = spent.append  # type: ignore[assignment, method-assign]
        client = await rig.client()
        assert await client.command("PING") == b"+PONG\r\n"
        (stream,) = front.streams
        assert stream not in front._strangers and min(spent) < 0
        counted = len(spent)
        assert await client.command("PING") == b"+PONG\r\n"
        assert len(spent) == counted
        assert (await client.command("NO")).startswith(b"-ERR")
        assert stream in front._strangers
