"""The event log's writer: never blocks the sender, drops only what exceeds its bounds, and counts it."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Sequence

import pytest

from rowanrack.channels.events import LOST, Event
from rowanrack.channels.log import Log, Noted
from rowanrack.channels.ports import LogError, LogFullError
from rowanrack.channels_io.writer import (
    BATCH_DELAY_US,
    MAX_BACKOFF_US,
    MAX_BATCH_COUNT,
    REPORT_PAUSE_US,
    Backlog,
    EventWriter,
    LogThread,
)
from rowanrack.store.log_memory import MemoryLog

FAR = 1 << 62


def noted(at_us: int, channel: str = "7", size: int = 1) -> Noted:
    return Noted(channel, "taken", b"x" * size, at_us)


def backlog(most: int = 1000, most_bytes: int = 1 << 20) -> tuple[Backlog, list[str]]:
    lines: list[str] = []
    return Backlog(lines.append, most, most_bytes), lines


def test_a_batch_is_due_once_it_is_full_or_its_first_event_has_waited_long_enough() -> None:
    log, lines = backlog()
    assert log.next_at() is None
    assert [log.add(noted(i), 1000 + i) for i in range(3)] == [True, False, False]
    assert log.next_at() == 1000 + BATCH_DELAY_US
    assert [log.add(noted(i), 2000) for i in range(3, MAX_BATCH_COUNT + 5)].count(True) == 1
    assert (log.next_at() or 0) <= 2000
    assert log.take_batch() == [noted(i) for i in range(MAX_BATCH_COUNT)] and log.next_at() is None
    log.batch_written(3000)
    assert log.next_at() == 3000 + BATCH_DELAY_US and len(log) == 5 and lines == []


def test_a_failed_batch_is_retried_in_order_with_growing_back_off() -> None:
    log, lines = backlog()
    log.add(noted(1), 0)
    now, waits = BATCH_DELAY_US, []
    for _ in range(7):
        assert log.take_batch()[0] == noted(1)
        log.add(noted(now), now)
        log.batch_failed("no room left", now)
        waits.append((log.next_at() or 0) - now)
        now += waits[-1]
    assert waits == [200_000, 400_000, 800_000, 1_600_000, 3_200_000, MAX_BACKOFF_US, MAX_BACKOFF_US]
    assert [n.at_us for n in log.take_batch()] == sorted(n.at_us for n in log._in_flight or ()) and len(
        log
    ) == 8
    assert lines == ["event log: events are not written: no room left"]
    log.batch_written(now)
    assert lines[1:] == [
        f"event log: written again after {(now - BATCH_DELAY_US) / 1e6:.1f} s, 0 events lost"
    ]
    log.add(noted(1), now)
    log.take_batch()
    log.batch_failed("again", now)
    assert log.next_at() == now + 200_000 and len(lines) == 2  # repeated failures are not reported each time
    log.take_batch()
    log.batch_failed("again", now + REPORT_PAUSE_US)
    assert len(lines) == 3


@pytest.mark.parametrize(("most", "most_bytes"), [(4, 1 << 20), (1000, 4 * 201)])
def test_beyond_the_bounds_the_oldest_events_are_dropped_and_reported_first(
    most: int, most_bytes: int
) -> None:
    log, lines = backlog(most, most_bytes)
    for at in range(6):
        log.add(noted(at, "78"[at % 2]), at)
    log.take_batch()
    for at in range(6, 10):  # while a batch is in flight
        log.add(noted(at, "8"), at)
    log.batch_failed("no room left", 10)
    assert log.dropped_counts() == {"7": 3, "8": 3} and len(log) == 4 and len(lines) == 1
    batch = log.take_batch()
    assert [(n.channel, n.kind, n.at_us) for n in batch] == [("7", LOST, 4), ("8", LOST, 5)] + [
        ("8", "taken", at) for at in range(6, 10)
    ]
    assert Event("7", "a", "L", 1, 4, 0, LOST, batch[0].data).payload() == {"count": 3, "from": 0, "to": 4}
    log.add(noted(11), 11)
    log.batch_failed("still", 12)  # the dropped events are still reported, with those dropped in the meantime
    assert log.dropped_counts() == {"7": 3, "8": 4} and len(log.take_batch()) == 6
    log.batch_written(1_000_000)
    assert lines == ["event log: events are not written: the log is too slow", lines[1]]
    assert lines[1].endswith("7 events lost") and log.next_at() is None


def test_only_the_event_that_the_log_rejects_is_dropped() -> None:
    log, _ = backlog()
    for at in range(9):
        log.add(noted(at), at)
    kept: list[Noted] = []
    for now in range(40):
        if log.next_at() is not None:
            batch = log.take_batch()
            if any(n.at_us == 5 and n.kind != LOST for n in batch):
                log.batch_rejected("too large", now)
            else:
                kept += batch
                log.batch_written(now)
    assert [n.at_us for n in kept if n.kind != LOST] == [0, 1, 2, 3, 4, 6, 7, 8]
    assert [n.at_us for n in kept if n.kind == LOST] == [5] and log.next_at() is None


class Clock:
    """A clock that stands still."""

    def unix_us(self) -> int:
        return 1_000_000

    def now_us(self) -> int:
        return 0


def test_adding_events_does_not_block_while_the_log_hangs_and_then_is_full() -> None:
    asyncio.run(hanging())


async def hanging() -> None:
    store, stuck, going = MemoryLog(3_000_000), threading.Event(), threading.Event()
    site = Log(store, Clock(), "a", ["a"], print)
    loop, turns, threads, lines = asyncio.get_running_loop(), asyncio.Event(), set(), list[str]()
    full, rooms = [True], asyncio.Event()

    def write(batch: Sequence[Noted]) -> list[Event]:
        threads.add(threading.current_thread().name)
        going.set()
        stuck.wait(60)
        if full[0]:
            loop.call_soon_threadsafe(rooms.set)
            raise LogFullError("no room left")
        return site.write(batch)

    def kept(events: list[Event]) -> None:
        if events[-1].at >= 30_000:
            turns.set()

    thread = LogThread(store.close, max_jobs=2)
    thread.start()
    opened = asyncio.Event()
    assert thread.submit(site.open, lambda gave, error: opened.set())
    await opened.wait()
    writer = EventWriter(thread.submit, write, lambda: 0, Backlog(lines.append, 1000), kept)
    for at in range(MAX_BATCH_COUNT):
        writer.add_unpacked((7, "taken", {"n": at}, at + 1))
    await asyncio.to_thread(going.wait, 60)
    for at in range(MAX_BATCH_COUNT, 30_000):  # a write hangs: blocks forever if adding waits
        writer.add_unpacked((7, "taken", {"n": at}, at + 1))
    assert [thread.submit(list, lambda gave, error: None) for _ in range(3)] == [True, True, False]
    assert writer.backlog.dropped_counts() == {"7": 30_000 - MAX_BATCH_COUNT - 1000}
    stuck.set()
    await asyncio.wait_for(rooms.wait(), 60)
    full[0] = False
    await asyncio.wait_for(turns.wait(), 60)
    events = store.ordered("7", None, FAR, 1 << 20)
    assert [e.kind for e in events] == [LOST] + ["taken"] * 1000
    assert events[0].payload() == {"count": 29_000, "from": 1, "to": 29_000}
    assert threads == {"event-log"} and len(lines) == 2 and "29000 events lost" in lines[1]
    assert writer.oldest_us() is None
    writer.add_unpacked((7, "taken", {}, 40_000))
    assert writer.oldest_us() == 40_000
    assert await writer.close(60) == 0 and len(store.ordered("7", None, FAR, 1 << 20)) == 1002
    assert await thread.close(60) and not store._open
    assert not thread.submit(list, lambda gave, error: None)


def test_closing_does_not_wait_for_a_log_that_hangs() -> None:
    async def ending() -> None:
        stuck, heard = threading.Event(), list[Exception | None]()
        thread = LogThread(lambda: None)
        thread.start()

        def write(batch: Sequence[Noted]) -> list[Event]:
            stuck.wait(60)
            return []

        writer = EventWriter(thread.submit, write, lambda: 0)
        writer.add("7", "taken", b"", 1)
        assert await writer.close(0.05) == 1
        thread.submit(list, lambda gave, error: heard.append(error))
        assert not await thread.close(0.05)
        stuck.set()
        assert await thread.close(60)
        assert [type(error) for error in heard] == [LogError]

    asyncio.run(ending())
