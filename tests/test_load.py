"""Overload of the core: guarantees hold when rounds are late, and load is shed in the right order."""

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
from rowanrack.net.fair_scheduling import (
    MAX_CLIENTS_PER_ITERATION,
    MAX_NEW_CLIENTS_OVER_SHARE,
    ConnectionPriority,
    FairSelector,
)
from rowanrack.net.listener import ACCEPT_BATCH_COUNT, REQUEST_TIMEOUT_US
from rowanrack.net.stream import Stream
from rowanrack.net.timing import LoopClock
from tests.rig import Rig, on_loop, resp, silent
from tests.test_core import SECOND_US, ExchangeHarness
from tests.test_otlp import logs

MILLISECOND_US = 1000


def run_spans(load_shedder: LoadShedder, count: int, late_us: int, new_client_share: float = 0.0) -> None:
    """Simulate spans in which every round is late and new clients use a share of the CPU time."""
    for _ in range(count):
        for _ in range(10):
            load_shedder.charge(new_client_share * load.WINDOW_US / 10)
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
        (0, Level.NORMAL, False),
        (load.ELEVATED_DELAY_US - MILLISECOND_US, Level.NORMAL, False),
        (load.ELEVATED_DELAY_US, Level.ELEVATED, False),
        (load.OVERLOAD_DELAY_US - MILLISECOND_US, Level.ELEVATED, False),
        (load.OVERLOAD_DELAY_US, Level.OVERLOADED, True),
    ],
)
def test_the_level_of_load_shedding_follows_the_delay_of_rounds(
    load_shedder: LoadShedder, late_us: int, level: Level, refuses: bool
) -> None:
    run_spans(load_shedder, 1, late_us)
    assert load_shedder.level is level and any(load_shedder.early_refusal_us() for _ in range(10)) is refuses


def test_one_late_iteration_in_a_span_does_not_change_the_level(load_shedder: LoadShedder) -> None:
    for n in range(60):
        load_shedder.record_delay(n * 10 * MILLISECOND_US, 400 * MILLISECOND_US if n == 30 else 0)
    assert load_shedder.level is Level.NORMAL


def test_a_span_in_which_nothing_ran_counts_as_late(load_shedder: LoadShedder) -> None:
    load_shedder.record_delay(5 * SECOND_US, 0)
    assert load_shedder.level is Level.OVERLOADED


def test_the_level_falls_step_by_step_after_easy_spans(load_shedder: LoadShedder) -> None:
    run_spans(load_shedder, 2, load.OVERLOAD_DELAY_US)
    levels = list[Level]()
    for easy in (load.EASE_WINDOW_COUNT - 1, None, load.EASE_WINDOW_COUNT - 1, 1, load.EASE_WINDOW_COUNT):
        if easy is None:
            run_spans(
                load_shedder, 1, int(load.OVERLOAD_DELAY_US * 0.7)
            )  # neither late nor easy: the count restarts
        else:
            load_shedder.refused_share = 0.0  # a share above 0 would keep the level
            run_spans(load_shedder, easy, 0)
        levels.append(load_shedder.level)
    assert levels == [Level.OVERLOADED, Level.OVERLOADED, Level.OVERLOADED, Level.ELEVATED, Level.NORMAL]


def test_an_overload_logs_one_line_at_its_begin_and_one_at_its_end(
    load_shedder: LoadShedder, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    run_spans(load_shedder, 3, load.ELEVATED_DELAY_US, 0.3)
    run_spans(load_shedder, 3, load.OVERLOAD_DELAY_US)
    while load_shedder.refused < 2:
        load_shedder.early_refusal_us()
    run_spans(load_shedder, 9 * load.EASE_WINDOW_COUNT, 0)
    texts = [record.getMessage() for record in caplog.records]
    assert len(texts) == 2
    assert texts[0] == "overload began: rounds are 50 ms late, new clients use 30% of the time"
    assert "overload ended after" in texts[1] and "2 messages were refused early" in texts[1]


def test_penalties_of_new_clients_grow_while_they_use_more_than_their_share(
    load_shedder: LoadShedder,
) -> None:
    run_spans(load_shedder, 3, 0, new_client_share=0.08)
    assert (load_shedder.penalty_us, load_shedder.max_penalized(200)) == (
        load.MIN_PENALTY_US,
        load.MIN_PENALTY_COUNT,
    )
    run_spans(
        load_shedder, 30, load.OVERLOAD_DELAY_US, new_client_share=0.08
    )  # over their share when the core is full
    assert (load_shedder.penalty_us, load_shedder.max_penalized(200)) == (load.MAX_PENALTY_US, 100)
    run_spans(load_shedder, 30, load.OVERLOAD_DELAY_US, new_client_share=0.02)
    assert (load_shedder.penalty_us, load_shedder.max_penalized(200)) == (
        load.MIN_PENALTY_US,
        load.MIN_PENALTY_COUNT,
    )
    assert load_shedder.max_penalized(16) == load.MIN_PENALTY_COUNT


def test_the_share_of_early_refusals_follows_the_load(load_shedder: LoadShedder) -> None:
    """Refusing all or none at a level left two thirds of the work of a full core undone, and oscillated."""
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
        run_spans(load_shedder, 1, late_us)
        shares.append(load_shedder.refused_share)
    assert shares[:5] == pytest.approx([0.25, 0.5, 0.5, 0.3, 0.18]) and shares[-1] == 0.0
    load_shedder.refused_share = 0.3
    refused = [bool(load_shedder.early_refusal_us()) for _ in range(40)]
    assert sum(refused) in (11, 12) and all(1 <= sum(refused[n : n + 8]) <= 3 for n in range(32))
    run_spans(load_shedder, 1, load.OVERLOAD_DELAY_US)
    assert load_shedder.level is Level.OVERLOADED


def test_new_connections_are_paced_to_the_share_of_new_clients_on_a_full_core(
    load_shedder: LoadShedder,
) -> None:
    load_shedder.charge_wasted(10 * SECOND_US)
    assert load_shedder.pacing_delay_us(0) == 0  # the core has room
    run_spans(load_shedder, 1, load.ELEVATED_DELAY_US)
    now, taken = load.WINDOW_US, 0
    load_shedder.pacing_delay_us(now)
    load_shedder._debt_us = 0.0
    while now < 20 * SECOND_US:  # each connection comes as soon as it may, and costs 1 ms
        if wait_us := load_shedder.pacing_delay_us(now):
            assert wait_us <= load.MAX_PACING_DELAY_US
            now += wait_us
        else:
            load_shedder.charge_wasted(1 * MILLISECOND_US)
            now, taken = now + 1 * MILLISECOND_US, taken + 1
    share = load.NEW_CLIENT_SHARES[Level.ELEVATED]
    assert taken * MILLISECOND_US == pytest.approx(19.5 * SECOND_US * share + load.MAX_DEBT_US, rel=0.05)


def test_the_core_counts_as_full_while_new_clients_are_paced(load_shedder: LoadShedder) -> None:
    run_spans(load_shedder, 1, load.ELEVATED_DELAY_US)
    for _ in range(3 * load.EASE_WINDOW_COUNT):
        load_shedder.charge_wasted(5 * SECOND_US)
        assert load_shedder.pacing_delay_us(load_shedder._test_now)  # type: ignore[attr-defined]
        run_spans(load_shedder, 1, 0)
    levels = [load_shedder.level]
    run_spans(load_shedder, load.EASE_WINDOW_COUNT, 0)
    assert [*levels, load_shedder.level] == [Level.ELEVATED, Level.NORMAL]


class RecordingDelayMonitor:
    """A delay monitor that records delays and returns a given pace."""

    def __init__(self) -> None:
        self.pace, self.delays = 0, list[int]()

    def record_delay(self, now_us: int, late_us: int) -> None:
        self.delays.append(late_us)

    def pacing_delay_us(self, now_us: int) -> int:
        return self.pace


def register_ready(
    fair_selector: FairSelector, priority: ConnectionPriority, count: int, used_us: float = 0.0
) -> list[int]:
    """Register ready connections, and return their descriptors."""
    pairs = [socket.socketpair() for _ in range(count)]
    for mine, other in pairs:
        other.send(b"x")
        fair_selector.register(mine, selectors.EVENT_READ, (mine, other))
        if priority is not ConnectionPriority.INTERNAL:
            fair_selector.set_priority(mine.fileno(), priority, used_us)
    return [mine.fileno() for mine, _ in pairs]


@pytest.fixture
def fair_selector() -> Iterator[FairSelector]:
    made = FairSelector()
    made.delay_monitor = RecordingDelayMonitor()
    yield made
    for key in list(made.get_map().values()):
        made.unregister(key.fileobj)
        for sock in key.data:
            sock.close()
    made.close()


def select_descriptors(fair_selector: FairSelector) -> list[int]:
    return [key.fd for key, _ in fair_selector.select(0)]


def test_an_iteration_serves_internal_connections_first_and_a_bounded_number_of_clients(
    fair_selector: FairSelector,
) -> None:
    clients, new_clients = (
        register_ready(fair_selector, ConnectionPriority.CLIENT, 40),
        register_ready(fair_selector, ConnectionPriority.NEW_CLIENT, 30),
    )
    internal = register_ready(fair_selector, ConnectionPriority.INTERNAL, 50)
    now = select_descriptors(fair_selector)
    assert set(now[:50]) == set(internal) and len(now) == 50 + 2 * MAX_CLIENTS_PER_ITERATION
    assert set(now[50 : 50 + MAX_CLIENTS_PER_ITERATION]) <= set(clients) and set(
        now[50 + MAX_CLIENTS_PER_ITERATION :]
    ) <= set(new_clients)


def test_every_ready_client_is_served_in_turn(fair_selector: FairSelector) -> None:
    """No input is read, so all connections stay ready: those that have waited longest are served first."""
    clients = register_ready(fair_selector, ConnectionPriority.CLIENT, 5 * MAX_CLIENTS_PER_ITERATION)
    for _ in range(3):
        assert {fd for _ in range(5) for fd in select_descriptors(fair_selector)} == set(clients)
    delay_monitor = fair_selector.delay_monitor
    assert (
        isinstance(delay_monitor, RecordingDelayMonitor) and max(delay_monitor.delays) > 0
    )  # the wait is reported


def test_new_clients_over_their_share_are_limited_and_their_wait_is_no_delay(
    fair_selector: FairSelector,
) -> None:
    slow_senders = register_ready(
        fair_selector, ConnectionPriority.NEW_CLIENT, 30, used_us=5 * MILLISECOND_US
    )
    new = register_ready(fair_selector, ConnectionPriority.NEW_CLIENT, MAX_NEW_CLIENTS_OVER_SHARE)
    assert isinstance(fair_selector.delay_monitor, RecordingDelayMonitor)
    fair_selector.delay_monitor.pace = 1
    assert all(set(select_descriptors(fair_selector)) == set(new) for _ in range(5))
    assert not fair_selector.delay_monitor.delays and set(slow_senders).isdisjoint(
        select_descriptors(fair_selector)
    )
    fair_selector.delay_monitor.pace = 0
    assert set(new) <= set(select_descriptors(fair_selector)) and not fair_selector.delay_monitor.delays
    for descriptor in slow_senders:
        fair_selector.set_priority(descriptor, ConnectionPriority.NEW_CLIENT)  # as if they had used no time
    assert [select_descriptors(fair_selector) for _ in range(2)] and fair_selector.delay_monitor.delays


def test_the_wait_of_new_clients_that_have_used_time_is_no_delay_of_the_core(
    fair_selector: FairSelector,
) -> None:
    """200 clients that sent single bytes had nearly all messages of other clients refused early."""
    register_ready(
        fair_selector,
        ConnectionPriority.NEW_CLIENT,
        5 * MAX_CLIENTS_PER_ITERATION,
        used_us=5 * MILLISECOND_US,
    )
    for _ in range(10):
        assert len(select_descriptors(fair_selector)) == MAX_CLIENTS_PER_ITERATION
    assert (
        isinstance(fair_selector.delay_monitor, RecordingDelayMonitor)
        and not fair_selector.delay_monitor.delays
    )


def test_a_reused_descriptor_does_not_inherit_the_priority(fair_selector: FairSelector) -> None:
    (descriptor,) = register_ready(fair_selector, ConnectionPriority.NEW_CLIENT, 1)
    key = fair_selector.unregister(descriptor)
    fair_selector.register(
        key.fileobj, selectors.EVENT_READ, key.data
    )  # another connection that reuses the descriptor
    register_ready(fair_selector, ConnectionPriority.CLIENT, 2 * MAX_CLIENTS_PER_ITERATION)
    assert select_descriptors(fair_selector)[0] == descriptor


@on_loop
async def test_a_full_core_rejects_a_request_that_arrives_in_single_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(load, "MAX_CLIENT_TIME_US", 3 * MILLISECOND_US)
    monkeypatch.setattr(load, "SLOW_READ_COST_US", SECOND_US)  # no collecting of small pieces
    async with Rig(tmp_path, silent) as rig:
        began, client = asyncio.get_running_loop().time(), await rig.client()
        rig.sender.exchange.load_shedder.level = Level.ELEVATED
        with contextlib.suppress(OSError):  # the connection is closed during a write
            for byte in b"*5\r\n$6\r\nSUBMIT\r\n$9000\r\n" + b"x" * 8000:
                if client.stream.ended:
                    break
                client.stream.send_now(bytes([byte]))
                await asyncio.sleep(0.0002)
        assert (
            asyncio.get_running_loop().time() - began < 1.9
        )  # the time limit for requests would close it after 2 s
        assert "reading its request takes too much time" in caplog.text
        good_client = await rig.client()
        assert await good_client.submit("m1") == b"+OK\r\n"


def use_cpu(seconds: float) -> None:
    until = time.thread_time() + seconds
    while time.thread_time() < until:
        pass


@pytest.mark.parametrize(("step", "said"), [(time.sleep, b"+PONG\r\n"), (use_cpu, b"-ERR Protocol error")])
@on_loop
async def test_a_client_is_charged_for_cpu_time_and_not_for_elapsed_time(
    tmp_path: Path, step: Callable[[float], None], said: bytes
) -> None:
    """On a busy machine good requests were refused: clients were charged for 20 ms in which the process did
    not run.
    """
    async with Rig(tmp_path, silent) as rig:
        front = rig.sender.fronts[0][0]
        front.load_shedder.level, talk = Level.ELEVATED, front.serve_connection

        async def talk_after_step(stream: Stream) -> None:
            step(3 * load.MAX_CLIENT_TIME_US / 1e6)
            await talk(stream)

        front.serve_connection = talk_after_step  # type: ignore[method-assign]
        client = await rig.client()
        assert (await client.command("PING")).startswith(said)


@on_loop
async def test_time_in_which_the_process_did_not_run_is_not_part_of_a_request_time_limit(
    tmp_path: Path,
) -> None:
    async with Rig(tmp_path, silent) as rig:
        front, looks, lost_us = rig.sender.fronts[0][0], asyncio.Queue[None](), 0
        original = front._now

        def now() -> int:
            looks.put_nowait(None)
            return original() + lost_us

        client = await rig.client()
        await client.stream.send(resp("PING")[:-1])
        while not any(stream.has_received for stream in front.streams):
            await asyncio.sleep(0)
        front._now, lost_us = now, 3 * REQUEST_TIMEOUT_US  # type: ignore[method-assign]
        for _ in range(3):
            await looks.get()
        assert await client.raw(resp("PING")[-1:]) == b"+PONG\r\n"


@on_loop
async def test_a_full_core_collects_single_bytes_and_times_the_request_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(load, "SLOW_READ_COST_US", 300)
    async with Rig(tmp_path, silent) as rig:
        loop, front, steps = asyncio.get_running_loop(), rig.sender.fronts[0][0], list[float]()
        rig.sender.exchange.load_shedder.level = Level.ELEVATED
        charge = front._charge_cpu
        front._charge_cpu = lambda stream, us: (steps.append(us), charge(stream, us))[1]  # type: ignore
        began, client, sent = loop.time(), await rig.client(), 0
        with contextlib.suppress(OSError):
            for byte in b"*5\r\n$6\r\nSUBMIT\r\n$9000\r\n" + b"x" * 8000:
                if client.stream.ended:
                    break
                client.stream.send_now(bytes([byte]))
                sent += 1
                await asyncio.sleep(0.001)
        assert len(steps) < sent / 4  # one step for each byte otherwise
        assert loop.time() - began < 2.8  # bad input must be answered within 3 s, read or not
        whole = await rig.client()
        assert await whole.submit("m1") == b"+OK\r\n"


@on_loop
async def test_only_connections_without_request_and_answer_leave_a_debt(tmp_path: Path) -> None:
    """Connections that had just been opened caused a debt, too, and good clients were kept out."""
    async with Rig(tmp_path, silent) as rig:
        front, wasted = rig.sender.fronts[0][0], list[float]()
        front.load_shedder.charge_wasted = wasted.append  # type: ignore[assignment, method-assign]
        good_client, bad_client, silent_client = [await rig.client() for _ in range(3)]
        assert await good_client.submit("m1") == b"+OK\r\n"
        assert (await bad_client.command("NO")).startswith(b"-ERR")
        assert not wasted and len(front._new_clients) == 2
        for client in (good_client, bad_client, silent_client):
            client.stream.abort()
        while front._new_clients:
            await asyncio.sleep(0.001)
        assert len(wasted) == 1 and wasted[0] > 0 and not front._rejected


@on_loop
async def test_clients_that_leave_at_once_are_not_served(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        front, accepted = rig.sender.fronts[0][0], list[object]()
        original = front._start_serving

        def accept(stream: Stream) -> None:
            accepted.append(stream)
            original(stream)

        front._start_serving = accept  # type: ignore[method-assign]
        for _ in range(40):
            socket.create_connection(("127.0.0.1", front.port)).close()
        client = await rig.client()
        assert await client.submit("m1") == b"+OK\r\n"
        assert len(accepted) <= 2


@on_loop
async def test_clients_that_leave_as_fast_as_they_connect_do_not_block_the_event_loop(tmp_path: Path) -> None:
    """The accept loop never yielded, and blocked the event loop for as long as such clients came."""
    async with Rig(tmp_path, silent) as rig:
        front, iterations = rig.sender.fronts[0][0], 0
        for _ in range(300):
            socket.create_connection(("127.0.0.1", front.port)).close()
        last = socket.create_connection(("127.0.0.1", front.port))
        while not front.streams:
            iterations += 1
            await asyncio.sleep(0)
        last.close()
        assert iterations >= 300 // ACCEPT_BATCH_COUNT
        assert front.load_shedder._debt_us > 0


@on_loop
async def test_several_new_connections_are_accepted_in_each_iteration(tmp_path: Path) -> None:
    """With one accept in each iteration, hundreds of clients waited for seconds when iterations were long."""
    async with Rig(tmp_path, silent) as rig:
        loop, front, iterations = asyncio.get_running_loop(), rig.sender.fronts[0][0], 0
        opened = [socket.create_connection(("127.0.0.1", front.port)) for _ in range(10)]
        while len(front.streams) < len(opened):
            iterations += 1
            await asyncio.sleep(0)
        assert iterations < 10 and loop.time()
        for sock in opened:
            sock.close()


def test_the_time_of_a_client_that_makes_a_good_request_is_credited_back(load_shedder: LoadShedder) -> None:
    load_shedder.charge(400 * MILLISECOND_US)
    load_shedder.charge(-400 * MILLISECOND_US)
    run_spans(load_shedder, 1, load.ELEVATED_DELAY_US)
    assert load_shedder.new_client_share == 0.0


@on_loop
async def test_only_the_cpu_time_of_a_coroutine_is_metered() -> None:
    reported = list[float]()

    async def inner(fails: bool) -> None:
        await asyncio.sleep(0.02)
        if fails:
            raise OSError("gone")

    await CpuMeteredCoroutine(inner(False), reported.append)
    assert len(reported) == 2 and sum(reported) < 15_000  # the time of the wait does not count
    with pytest.raises(OSError, match="gone"):
        await CpuMeteredCoroutine(inner(True), reported.append)
    cancelled = list[bool]()

    async def cleans_up() -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            await asyncio.sleep(0)
            cancelled.append(True)
            raise

    async def outer() -> None:
        await CpuMeteredCoroutine(cleans_up(), reported.append)

    task = asyncio.create_task(outer())
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task})
    assert task.cancelled() and cancelled == [True]


@pytest.mark.parametrize("entry", ["run_overdue_round", "submit", "too_busy"])
def test_a_message_ends_in_time_though_every_round_is_late(tmp_path: Path, entry: str) -> None:
    """On a full core rounds were late, and a message got no end in time."""
    desk, reported = ExchangeHarness(tmp_path), dict[str, int]()
    desk.exchange.listeners["platform"] = lambda m, end: reported.update({m.id: desk.now - m.deadline_us})
    desk.submit("order")  # an attempt in progress, without a response
    for n in range(6):
        message = Message(f"m{n}", "album-update", "a", 7, desk.now + (n + 1) * SECOND_US, b"x", "platform")
        assert desk.exchange.submit(message) is None
    for n in range(800):  # the loop never runs a round, as other calls always come first
        desk.now += 10 * MILLISECOND_US
        match entry:
            case "run_overdue_round":
                desk.exchange.run_overdue_round()
            case "too_busy":
                desk.exchange.refusal_if_overloaded("another")
            case _:
                desk.exchange.submit(Message(f"n{n}", "album-update", "a", 99, desk.now, b"x", "platform"))
    assert set(reported) == {"order", *(f"m{n}" for n in range(6))}
    assert max(reported.values()) <= 150 * MILLISECOND_US  # it may be 300 ms late


def test_the_end_of_a_message_is_reported_in_its_round(tmp_path: Path) -> None:
    desk, reported = ExchangeHarness(tmp_path), list[str]()
    desk.exchange.listeners["platform"] = lambda m, end: reported.append(m.id)
    desk.exchange.round_over = lambda: reported.append("over")
    desk.submit("order")
    reported.clear()
    desk.now += 4 * SECOND_US
    desk.exchange.pump()
    assert reported == ["order", "over"]


@on_loop
async def test_a_notice_is_sent_in_time_though_every_round_is_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop never wakes the core here; only connections of bad clients do."""
    async with Rig(tmp_path, silent) as rig:
        loop, client = asyncio.get_running_loop(), await rig.client()
        assert await client.submit("m1", "print-order", d=500) == b"+OK\r\n"
        await rig.servers[0].wait_for_requests(1)
        due = loop.time() + 0.5
        monkeypatch.setattr(LoopClock, "wake_at", lambda *_: None)
        rig.sender.clock.stop()

        async def bad_client() -> None:
            while True:
                (await rig.client()).stream.send_now(b"*1\r\n$2\r\n")
                await asyncio.sleep(0.01)

        noise = asyncio.create_task(bad_client())
        notice = await rig.platform.wait_for_notice("m1")
        noise.cancel()
        assert notice["outcome"] == "given_up" and loop.time() < due + 0.3


@on_loop
async def test_a_notice_has_been_written_when_the_round_ends(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        notices = rig.sender.notices
        assert notices is not None
        while not notices._connections[0].idle:
            await asyncio.sleep(0)
        notices.ended(Message("m1", "c", "t", 7, 0, b"", "platform"), End(Ending.FAILED))
        notices.flush()
        line = notices._connections[0]
        assert "m1" in line.batch and line.caller is not None
        assert line.caller.stream._writer.transport.get_write_buffer_size() == 0
        await rig.platform.wait_for_notice("m1")
        while notices.pending:
            await asyncio.sleep(0)
        assert not line.batch  # confirmed


@on_loop
async def test_a_full_core_refuses_new_messages_early_and_still_confirms_accepted_ones(
    tmp_path: Path,
) -> None:
    async with Rig(tmp_path, silent) as rig:
        client = await rig.client()
        assert await client.submit("m1") == b"+OK\r\n"
        rig.sender.exchange.load_shedder.refused_share = 1.0
        assert await client.submit("m2") == b"-BUSY 1000\r\n"
        assert await client.submit("m1") == b"+OK\r\n"  # it was accepted before
        assert list(rig.sender.journal.owed) == ["m1"]
        refused = await rig.export(b"no protobuf at all")
        assert (refused.status, refused.headers["retry-after"]) == (503, "1")
        rig.sender.exchange.load_shedder.refused_share = 0.0
        assert await client.submit("m2") == b"+OK\r\n"
        assert (await rig.export(logs(dest="99"))).status == 503


@on_loop
async def test_new_clients_are_charged_until_their_first_good_request(tmp_path: Path) -> None:
    async with Rig(tmp_path, silent) as rig:
        front, spent = rig.sender.fronts[0][0], list[float]()
        front.load_shedder.charge = spent.append  # type: ignore[assignment, method-assign]
        client = await rig.client()
        assert await client.command("PING") == b"+PONG\r\n"
        (stream,) = front.streams
        assert stream not in front._new_clients and min(spent) < 0
        counted = len(spent)
        assert await client.command("PING") == b"+PONG\r\n"
        assert len(spent) == counted
        assert (await client.command("NO")).startswith(b"-ERR")
        assert stream in front._new_clients
