"""Writes events without ever blocking the sender: they are queued in memory for the log's thread.

`Backlog` decides what to write next, what to drop and when to retry, without I/O; `LogThread` owns the store
and runs jobs on it; `EventWriter` connects the two with the event loop. Times are in microseconds: `now_us`
is read from a monotonic clock, `at_us` is Unix time.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import threading
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, NamedTuple, TypeVar

from rowanrack.channels.events import FLEET, LOST, Event, packed
from rowanrack.channels.log import Noted
from rowanrack.channels.ports import LogError

log = logging.getLogger(__name__)

T = TypeVar("T")
EVENT_OVERHEAD_BYTES = 200  # memory that a queued event is charged for beside its payload
BATCH_DELAY_US = 1_000_000  # how long an event waits for others in its batch; one of FLEET doesn't
MAX_BATCH_COUNT = 500  # largest number of events in a batch; a full batch is written at once
MIN_BACKOFF_US, MAX_BACKOFF_US = 200_000, 5_000_000  # the back-off doubles from the first to the second
REPORT_PAUSE_US = 10_000_000  # no new failure is reported for so long after a recovery
MAX_JOB_COUNT = 256  # jobs that may wait for the log's thread
CLOSE_TIMEOUT_S = 0.5  # default time limit for closing


class DroppedEvents(NamedTuple):
    """Events of a channel that were dropped: how many, and when the first and the last of them happened."""

    event_count: int
    first_us: int
    last_us: int

    def merged_with(self, other: DroppedEvents) -> DroppedEvents:
        """Return the sum of two records of the same channel."""
        first_us, last_us = min(self.first_us, other.first_us), max(self.last_us, other.last_us)
        return DroppedEvents(self.event_count + other.event_count, first_us, last_us)

    def lost_event(self, channel: str) -> Noted:
        """Return the `lost` event that reports them."""
        payload = {"count": self.event_count, "from": self.first_us, "to": self.last_us}
        return Noted(channel, LOST, packed(payload), self.last_us)


@dataclass(slots=True)
class Backlog:
    """A bounded queue of the events that are not written yet; at most one batch of them is in flight.

    When the queue is full, the oldest events are dropped and counted by channel; the `lost` event that
    reports them is written ahead of all later events. `report` gets one line when writing begins to fail and
    one when it works again. A failure within ten seconds after a recovery is reported only if it still
    lasts when they are over, so that a log that fails again and again doesn't flood the sender's own log.
    """

    report: Callable[[str], None]
    max_events: int = 20_000
    max_bytes: int = 8 * 1024 * 1024
    dropped: dict[str, DroppedEvents] = field(default_factory=dict)
    _waiting: deque[Noted] = field(default_factory=deque)
    _waiting_bytes: int = 0  # memory charged for the waiting events
    _fleet_event_waits: bool = False  # whether an event of FLEET is waiting: operators wait for its effect
    _waiting_since_us: int = 0  # when the first waiting event was added, or the last batch written
    _batch_limit: int = MAX_BATCH_COUNT  # halved while a rejected event is searched for
    _in_flight: list[Noted] | None = None  # the batch in flight
    _in_flight_dropped: dict[str, DroppedEvents] = field(default_factory=dict)
    _retry_at_us: int = 0  # when to retry after a failure
    _backoff_us: int = 0  # current back-off; 0 unless the last batch failed
    _failing_since_us: int | None = None  # since when writing fails; None while it works
    _failure_reported: bool = False  # whether the current failure was reported
    _report_from_us: int = 0  # no failure is reported before this time
    _unreported_count: int = 0  # events dropped since the last report

    def __len__(self) -> int:
        """Return how many events are not written yet."""
        return len(self._waiting) + len(self._in_flight or ())

    def oldest_us(self) -> int | None:
        """Return the Unix time of the oldest unwritten event, None without any. Thread-safe."""
        times = [dropped.first_us for dropped in list(self.dropped.values())]
        for noted in (self._in_flight, self._waiting):
            with contextlib.suppress(IndexError, TypeError):
                times.append(noted[0].at_us)  # type: ignore[index]
        return min(times, default=None)

    @property
    def busy(self) -> bool:
        """Whether a batch is in flight."""
        return self._in_flight is not None

    @property
    def failing(self) -> bool:
        """Whether the last batch failed."""
        return self._backoff_us > 0

    def add(self, noted: Noted, now_us: int) -> bool:
        """Queue an event. Returns True if `next_at` may have changed."""
        waiting = self._waiting
        if not waiting:
            self._waiting_since_us = now_us
        waiting.append(noted)
        self._waiting_bytes += EVENT_OVERHEAD_BYTES + len(noted.data)
        if len(waiting) > self.max_events or self._waiting_bytes > self.max_bytes:
            self._drop_oldest("the log is too slow", now_us)
        if noted.channel == FLEET:
            self._fleet_event_waits = True
            return True
        return len(waiting) in (1, self._batch_limit)

    def _drop_oldest(self, reason: str, now_us: int) -> None:
        while self._waiting and (
            len(self._waiting) > self.max_events or self._waiting_bytes > self.max_bytes
        ):
            self._drop_event(self._waiting.popleft())
            self._unreported_count += 1
        self._report_failure(reason, now_us)

    def _drop_event(self, noted: Noted) -> None:
        self._waiting_bytes -= EVENT_OVERHEAD_BYTES + len(noted.data)
        self._count_dropped(noted.channel, DroppedEvents(1, noted.at_us, noted.at_us))

    def _count_dropped(self, channel: str, more: DroppedEvents) -> None:
        known = self.dropped.get(channel)
        self.dropped[channel] = known.merged_with(more) if known is not None else more

    def _report_failure(self, reason: str, now_us: int) -> None:
        if self._failing_since_us is None:
            self._failing_since_us = now_us
        if not self._failure_reported and now_us >= self._report_from_us:
            self._failure_reported = True
            self.report(f"event log: events are not written: {reason}")

    def next_at(self) -> int | None:
        """Return when to take the next batch; None while one is in flight or there is nothing to write."""
        if self._in_flight is not None or not (self._waiting or self.dropped):
            return None
        if self.failing:
            return self._retry_at_us
        now = self._fleet_event_waits or len(self._waiting) >= self._batch_limit or bool(self.dropped)
        return self._waiting_since_us + (0 if now else BATCH_DELAY_US)

    def take_batch(self) -> list[Noted]:
        """Return the next batch, `lost` events first. Report its result by `batch_written`, `batch_failed`
        or `batch_rejected`.
        """
        channels = list(self.dropped)[: self._batch_limit]
        self._in_flight_dropped = {channel: self.dropped.pop(channel) for channel in channels}
        count = min(self._batch_limit - len(channels), len(self._waiting))
        self._in_flight = list(islice(self._waiting, count))
        for _ in self._in_flight:  # only now, as the log's thread may call `oldest_us` at any moment
            self._waiting.popleft()
        self._fleet_event_waits = self._fleet_event_waits and any(
            noted.channel == FLEET for noted in self._waiting
        )
        self._waiting_bytes -= sum(EVENT_OVERHEAD_BYTES + len(noted.data) for noted in self._in_flight)
        return [
            *(dropped.lost_event(channel) for channel, dropped in self._in_flight_dropped.items()),
            *self._in_flight,
        ]

    def batch_written(self, now_us: int) -> None:
        """Handle a batch that was written."""
        self._in_flight, self._in_flight_dropped, self._backoff_us = None, {}, 0
        self._waiting_since_us, self._batch_limit = now_us, min(self._batch_limit * 2, MAX_BATCH_COUNT)
        if self._failing_since_us is not None and not self.dropped:
            failed_s, lost = (now_us - self._failing_since_us) / 1e6, self._unreported_count
            self._failing_since_us = None
            if self._failure_reported:
                self._failure_reported, self._unreported_count, self._report_from_us = (
                    False,
                    0,
                    now_us + REPORT_PAUSE_US,
                )
                self.report(f"event log: written again after {failed_s:.1f} s, {lost} events lost")

    def batch_failed(self, reason: str, now_us: int) -> None:
        """Handle a batch that failed and may succeed later: queue it again, as far as the bounds allow."""
        self._requeue_batch(now_us)
        self._backoff_us = min(max(2 * self._backoff_us, MIN_BACKOFF_US), MAX_BACKOFF_US)
        self._retry_at_us = now_us + self._backoff_us
        self._report_failure(reason, now_us)

    def batch_rejected(self, reason: str, now_us: int) -> None:
        """Handle a batch that can never be written: find the event at fault by bisection, and drop it."""
        batch_size = len(self._in_flight or ()) + len(self._in_flight_dropped)
        if batch_size > 1:
            self._requeue_batch(now_us)
            self._batch_limit = batch_size // 2
            return
        batch, self._in_flight, self._in_flight_dropped = self._in_flight, None, {}
        self._unreported_count += 1
        self._report_failure(reason, now_us)
        for noted in batch or ():
            self._count_dropped(noted.channel, DroppedEvents(1, noted.at_us, noted.at_us))

    def _requeue_batch(self, now_us: int) -> None:
        for channel, dropped in self._in_flight_dropped.items():
            self._count_dropped(channel, dropped)
        for noted in reversed(self._in_flight or ()):
            self._waiting.appendleft(noted)
            self._waiting_bytes += EVENT_OVERHEAD_BYTES + len(noted.data)
            self._fleet_event_waits |= noted.channel == FLEET
        self._in_flight, self._in_flight_dropped = None, {}
        if len(self._waiting) > self.max_events or self._waiting_bytes > self.max_bytes:
            self._drop_oldest("the queue is full", now_us)

    def dropped_counts(self) -> Counter[str]:
        """Return the number of events by channel that were dropped and not yet written as `lost`."""
        return Counter({channel: dropped.event_count for channel, dropped in self.dropped.items()})


UnpackedEvent = tuple[int, str, dict[str, Any], int]  # destination, kind, payload and Unix time
Job = tuple[Callable[[], object], Callable[[object, Exception | None], None]]


class LogThread:
    """The only thread that uses the store, a daemon thread. All but the jobs is called on the event loop."""

    def __init__(self, close_store: Callable[[], None], max_jobs: int = MAX_JOB_COUNT) -> None:
        """`close_store` runs on the thread after the last job; at most `max_jobs` jobs wait."""
        self._close_store, self._max_jobs = close_store, max_jobs
        self._jobs: deque[Job] = deque()
        self._condition = threading.Condition()
        self._closing = False
        self._closed = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread = threading.Thread(target=self._run, name="event-log", daemon=True)

    def start(self) -> None:
        """Start the thread. Must be called on the event loop."""
        self._loop = asyncio.get_running_loop()
        self._thread.start()

    def submit(self, job: Callable[[], T], done: Callable[[T | None, Exception | None], None]) -> bool:
        """Queue a job; `done` is called once, on the event loop, with what the job returned or raised.

        Never blocks. Returns False, and doesn't run the job, if the queue is full or the thread is closing.
        """
        with self._condition:
            if self._closing or len(self._jobs) >= self._max_jobs:
                return False
            self._jobs.append((job, done))  # type: ignore[arg-type]
            self._condition.notify()
        return True

    async def close(self, within_s: float = CLOSE_TIMEOUT_S) -> bool:
        """Stop the thread and fail the waiting jobs with LogError.

        Returns False if that takes longer than the limit: the thread then ends with the process.
        """
        with self._condition:
            self._closing = True
            self._condition.notify()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._closed.wait(), within_s)
        return self._closed.is_set()

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._jobs and not self._closing:
                    self._condition.wait()
                if self._closing:
                    break
                job, done = self._jobs.popleft()
            try:
                result, error = job(), None
            except Exception as raised:
                result, error = None, raised
            self._call_on_loop(done, result, error)
        for _, done in self._jobs:
            self._call_on_loop(done, None, LogError("event log: it is closed"))
        try:
            self._close_store()
        except Exception as error:
            log.error("event log: cannot close the store: %s", error)
        self._call_on_loop(self._closed.set)

    def _call_on_loop(self, done: Callable[..., None], *arguments: object) -> None:
        assert self._loop is not None
        with contextlib.suppress(RuntimeError):  # the event loop was closed in the meantime
            self._loop.call_soon_threadsafe(done, *arguments)


class EventWriter:
    """Queues the events of the sender and writes them by the log's thread. All of it runs on the event loop,
    and nothing blocks.
    """

    def __init__(
        self,
        submit: Callable[
            [Callable[[], list[Event]], Callable[[list[Event] | None, Exception | None], None]], bool
        ],
        write: Callable[[Sequence[Noted]], list[Event]],
        now_us: Callable[[], int],
        backlog: Backlog | None = None,
        on_written: Callable[[list[Event]], None] = lambda events: None,
    ) -> None:
        """`write` (`Log.write`) runs on the log's thread; `on_written` is called on the event loop with the
        events of a written batch.
        """
        self.backlog = backlog if backlog is not None else Backlog(log.warning)
        self._submit, self._write, self._now_us, self._on_written = submit, write, now_us, on_written
        self._timer: asyncio.TimerHandle | None = None
        self._unpacked: list[UnpackedEvent] = []  # added by `add_unpacked` and not serialized yet
        self._unpacked_since_us = 0  # when the first of them was added
        self._pack_timer: asyncio.TimerHandle | None = None
        self._flushed: asyncio.Future[None] | None = None

    def add_unpacked(self, event: UnpackedEvent) -> None:
        """Add an event at the least cost for the caller: it is serialized later, together with others."""
        unpacked = self._unpacked
        unpacked.append(event)
        if (count := len(unpacked)) == 1:
            self._unpacked_since_us = self._now_us()
            self._pack_timer = asyncio.get_running_loop().call_later(BATCH_DELAY_US / 1e6, self._pack)
        elif count == MAX_BATCH_COUNT:
            self._pack()

    def _pack(self) -> None:
        """Serialize the events that `add_unpacked` collected, and queue them."""
        if self._pack_timer is not None:
            self._pack_timer.cancel()
            self._pack_timer = None
        add, since_us = self.backlog.add, self._unpacked_since_us
        for dest, kind, payload, at_us in self._unpacked:
            add(Noted(str(dest), kind, packed(payload), at_us), since_us)
        self._unpacked = []
        self._schedule()

    def oldest_us(self) -> int | None:
        """Return the Unix time of the oldest unwritten event, None without any. Thread-safe."""
        unpacked = self._unpacked  # read first: events enter the backlog before they leave this list
        times = [unpacked[0][3]] if unpacked else []
        if (oldest := self.backlog.oldest_us()) is not None:
            times.append(oldest)
        return min(times, default=None)

    def add(self, channel: str, kind: str, data: bytes, at_us: int) -> None:
        """Add an event; `data` is its serialized payload."""
        if self.backlog.add(Noted(channel, kind, data, at_us), self._now_us()):
            self._schedule()

    async def close(self, within_s: float = CLOSE_TIMEOUT_S) -> int:
        """Write the waiting events within the time limit. Returns how many events were not written."""
        self._pack()
        self._flushed = asyncio.get_running_loop().create_future()
        self._submit_batch()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._flushed, within_s)
        if self._timer is not None:
            self._timer.cancel()
        if unwritten := len(self.backlog) + self.backlog.dropped_counts().total():
            log.warning("event log: %d events were not written before shutdown", unwritten)
        return unwritten

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self.backlog.next_at()) is not None:
            delay_s = max(at - self._now_us(), 0) / 1e6
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._submit_batch)

    def _submit_batch(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.backlog.next_at() is not None:
            batch = self.backlog.take_batch()
            if not self._submit(lambda: self._write(batch), self._batch_done):
                self.backlog.batch_failed("the queue of the log's thread is full", self._now_us())
                self._continue()
        elif not self.backlog.busy:
            self._continue()

    def _batch_done(self, events: list[Event] | None, error: Exception | None) -> None:
        now_us = self._now_us()
        if error is None:
            self.backlog.batch_written(now_us)
            self._on_written(events or [])
        elif isinstance(error, LogError):
            self.backlog.batch_failed(str(error), now_us)
        else:
            self.backlog.batch_rejected(f"{error or type(error).__name__}", now_us)
        self._continue()

    def _continue(self) -> None:
        if self._flushed is None:
            self._schedule()
        elif self.backlog.failing or self.backlog.next_at() is None:
            if not self._flushed.done():
                self._flushed.set_result(None)
        else:
            self._submit_batch()
