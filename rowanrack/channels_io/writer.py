"""Writing events without ever making the sender wait: what is noted waits in memory for the log's thread.

`Backlog` decides what to hand over, what to drop and when to try again, without I/O; `LogThread` owns the
store and runs jobs on it; `Notes` ties the two to the event loop. Times are microseconds: `now_us` on a clock
that never goes back, `at_us` Unix time.
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
EACH = 200  # bytes of memory that a noted event counts beside its payload
GATHER_US = 1_000_000  # for so long a noted event waits for others; one of FLEET does not
BATCH = 500  # or until there are so many
AGAIN_US, AGAIN_MOST_US = 200_000, 5_000_000  # the wait behind a failure: doubled each time, up to the second
CALM_US = 10_000_000
JOBS = 256  # that may wait for the log's thread
CLOSE_S = 0.5


class Missing(NamedTuple):
    """Events of a channel that were dropped: how many, and when the first and the last of them happened."""

    many: int
    first_us: int
    last_us: int

    def and_also(self, other: Missing) -> Missing:
        """Both."""
        first_us, last_us = min(self.first_us, other.first_us), max(self.last_us, other.last_us)
        return Missing(self.many + other.many, first_us, last_us)

    def noted(self, channel: str) -> Noted:
        """The event that says so."""
        payload = {"count": self.many, "from": self.first_us, "to": self.last_us}
        return Noted(channel, LOST, packed(payload), self.last_us)


@dataclass(slots=True)
class Backlog:
    """Events noted and not yet kept, within bounds; at most one batch of them is handed over at a time.

    Of more than the bounds the oldest are dropped and counted by channel; their `lost` is written ahead of
    all that happened later. `say` gets one line when trouble begins and one when it is over;
    trouble that comes back within ten seconds is told once it has lasted so long.
    """

    say: Callable[[str], None]
    most: int = 20_000
    most_bytes: int = 8 * 1024 * 1024
    missing: dict[str, Missing] = field(default_factory=dict)
    _waiting: deque[Noted] = field(default_factory=deque)
    _bytes: int = 0  # of those that wait
    _urgent: bool = False  # whether one of them is of FLEET: operators wait for it
    _since_us: int = 0  # when the first of them was noted
    _batch: int = BATCH  # fewer once a batch was refused, until the one at fault is alone
    _out: list[Noted] | None = None  # handed over
    _out_missing: dict[str, Missing] = field(default_factory=dict)
    _again_us: int = 0
    _wait_us: int = 0
    _trouble_us: int | None = None  # since when
    _told: bool = False  # whether its line was said
    _quiet_us: int = 0  # until then no trouble is said to begin
    _dropped: int = 0  # and not yet told

    def __len__(self) -> int:
        """How many are not kept yet."""
        return len(self._waiting) + len(self._out or ())

    def oldest_us(self) -> int | None:
        """When the first of them happened, Unix time; also asked by the log's thread. None without any."""
        times = [missing.first_us for missing in list(self.missing.values())]
        for noted in (self._out, self._waiting):
            with contextlib.suppress(IndexError, TypeError):
                times.append(noted[0].at_us)  # type: ignore[index]
        return min(times, default=None)

    @property
    def busy(self) -> bool:
        """Whether a batch is handed over."""
        return self._out is not None

    @property
    def failing(self) -> bool:
        """Whether the last batch failed."""
        return self._wait_us > 0

    def note(self, noted: Noted, now_us: int) -> bool:
        """Remember an event. True if it may be time to hand some over: look at `next_at` anew."""
        waiting = self._waiting
        if not waiting:
            self._since_us = now_us
        waiting.append(noted)
        self._bytes += EACH + len(noted.data)
        if len(waiting) > self.most or self._bytes > self.most_bytes:
            self._drop("the log is too slow", now_us)
        if noted.channel == FLEET:
            self._urgent = True
            return True
        return len(waiting) in (1, self._batch)

    def _drop(self, why: str, now_us: int) -> None:
        while self._waiting and (len(self._waiting) > self.most or self._bytes > self.most_bytes):
            self._miss(self._waiting.popleft())
            self._dropped += 1
        self._begins(why, now_us)

    def _miss(self, noted: Noted) -> None:
        self._bytes -= EACH + len(noted.data)
        self._missed(noted.channel, Missing(1, noted.at_us, noted.at_us))

    def _missed(self, channel: str, more: Missing) -> None:
        known = self.missing.get(channel)
        self.missing[channel] = known.and_also(more) if known is not None else more

    def _begins(self, why: str, now_us: int) -> None:
        if self._trouble_us is None:
            self._trouble_us = now_us
        if not self._told and now_us >= self._quiet_us:
            self._told = True
            self.say(f"event log: events are not written: {why}")

    def next_at(self) -> int | None:
        """When to hand over; None while a batch is out, or with nothing to write."""
        if self._out is not None or not (self._waiting or self.missing):
            return None
        if self.failing:
            return self._again_us
        now = self._urgent or len(self._waiting) >= self._batch or bool(self.missing)
        return self._since_us + (0 if now else GATHER_US)

    def take(self) -> list[Noted]:
        """The next batch, `lost` events first. `wrote`, `failed` or `refused` must follow."""
        channels = list(self.missing)[: self._batch]
        self._out_missing = {channel: self.missing.pop(channel) for channel in channels}
        count = min(self._batch - len(channels), len(self._waiting))
        self._out = list(islice(self._waiting, count))
        for _ in self._out:  # behind that: the log's thread asks for the oldest at any moment
            self._waiting.popleft()
        self._urgent = self._urgent and any(noted.channel == FLEET for noted in self._waiting)
        self._bytes -= sum(EACH + len(noted.data) for noted in self._out)
        return [*(missing.noted(channel) for channel, missing in self._out_missing.items()), *self._out]

    def wrote(self, now_us: int) -> None:
        """The batch is kept."""
        self._out, self._out_missing, self._wait_us = None, {}, 0
        self._since_us, self._batch = now_us, min(self._batch * 2, BATCH)
        if self._trouble_us is not None and not self.missing:
            took, lost = (now_us - self._trouble_us) / 1e6, self._dropped
            self._trouble_us = None
            if self._told:
                self._told, self._dropped, self._quiet_us = False, 0, now_us + CALM_US
                self.say(f"event log: written again after {took:.1f} s, {lost} events lost")

    def failed(self, why: str, now_us: int) -> None:
        """The batch is not kept, and may be later: all of it waits again, as far as the bounds allow."""
        self._back(now_us)
        self._wait_us = min(max(2 * self._wait_us, AGAIN_US), AGAIN_MOST_US)
        self._again_us = now_us + self._wait_us
        self._begins(why, now_us)

    def refused(self, why: str, now_us: int) -> None:
        """The batch is not kept and never will be: the event at fault is found by halves, and dropped."""
        out = len(self._out or ()) + len(self._out_missing)
        if out > 1:
            self._back(now_us)
            self._batch = out // 2
            return
        alone, self._out, self._out_missing = self._out, None, {}
        self._dropped += 1
        self._begins(why, now_us)
        for noted in alone or ():
            self._missed(noted.channel, Missing(1, noted.at_us, noted.at_us))

    def _back(self, now_us: int) -> None:
        for channel, missing in self._out_missing.items():
            self._missed(channel, missing)
        for noted in reversed(self._out or ()):
            self._waiting.appendleft(noted)
            self._bytes += EACH + len(noted.data)
            self._urgent |= noted.channel == FLEET
        self._out, self._out_missing = None, {}
        if len(self._waiting) > self.most or self._bytes > self.most_bytes:
            self._drop("there is no room", now_us)

    def counts(self) -> Counter[str]:
        """Events dropped and not yet written as `lost`, by channel."""
        return Counter({channel: missing.many for channel, missing in self.missing.items()})


Fresh = tuple[int, str, dict[str, Any], int]  # destination, kind, payload, and when: Unix time
Job = tuple[Callable[[], object], Callable[[object, Exception | None], None]]


class LogThread:
    """One daemon thread that alone touches the store. Everything but the jobs is called on the loop."""

    def __init__(self, finish: Callable[[], None], most: int = JOBS) -> None:
        """`finish` runs on the thread as its last act; `most` jobs may wait."""
        self._finish, self._most = finish, most
        self._jobs: deque[Job] = deque()
        self._changed = threading.Condition()
        self._ending = False
        self._ended = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread = threading.Thread(target=self._run, name="event-log", daemon=True)

    def start(self) -> None:
        """Begin; jobs may be submitted from now on."""
        self._loop = asyncio.get_running_loop()
        self._thread.start()

    def submit(self, job: Callable[[], T], done: Callable[[T | None, Exception | None], None]) -> bool:
        """Have the thread run a job; `done` then hears once, on the loop, what it gave or raised.

        Never waits: False, and nothing is run, if too many wait already or it is ending.
        """
        with self._changed:
            if self._ending or len(self._jobs) >= self._most:
                return False
            self._jobs.append((job, done))  # type: ignore[arg-type]
            self._changed.notify()
        return True

    async def close(self, within_s: float = CLOSE_S) -> bool:
        """End it: waiting jobs hear LogError. False if it takes longer: it then goes with the process."""
        with self._changed:
            self._ending = True
            self._changed.notify()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._ended.wait(), within_s)
        return self._ended.is_set()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._jobs and not self._ending:
                    self._changed.wait()
                if self._ending:
                    break
                job, done = self._jobs.popleft()
            try:
                gave, error = job(), None
            except Exception as raised:
                gave, error = None, raised
            self._tell(done, gave, error)
        for _, done in self._jobs:
            self._tell(done, None, LogError("event log: it is closed"))
        try:
            self._finish()
        except Exception as error:
            log.error("event log: not closed: %s", error)
        self._tell(self._ended.set)

    def _tell(self, done: Callable[..., None], *given: object) -> None:
        assert self._loop is not None
        with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
            self._loop.call_soon_threadsafe(done, *given)


class Notes:
    """What happens in the sender, noted for the log. On the loop; nothing here waits."""

    def __init__(
        self,
        submit: Callable[
            [Callable[[], list[Event]], Callable[[list[Event] | None, Exception | None], None]], bool
        ],
        write: Callable[[Sequence[Noted]], list[Event]],
        now_us: Callable[[], int],
        backlog: Backlog | None = None,
        kept: Callable[[list[Event]], None] = lambda events: None,
    ) -> None:
        """`write` runs on the log's thread (`Log.write`); `kept` hears on the loop what became of a batch."""
        self.backlog = backlog if backlog is not None else Backlog(log.warning)
        self._submit, self._write, self._now_us, self._kept = submit, write, now_us, kept
        self._timer: asyncio.TimerHandle | None = None
        self._fresh: list[Fresh] = []  # noted by `later` and still to be packed, all at once
        self._fresh_us = 0  # when the first of them was noted
        self._gathering: asyncio.TimerHandle | None = None
        self._flushed: asyncio.Future[None] | None = None

    def later(self, what: Fresh) -> None:
        """Remember that something happened, for as little as can be: it is packed with others."""
        fresh = self._fresh
        fresh.append(what)
        if (count := len(fresh)) == 1:
            self._fresh_us = self._now_us()
            self._gathering = asyncio.get_running_loop().call_later(GATHER_US / 1e6, self._gather)
        elif count == BATCH:
            self._gather()

    def _gather(self) -> None:
        """Pack what `later` noted."""
        if self._gathering is not None:
            self._gathering.cancel()
            self._gathering = None
        note, since_us = self.backlog.note, self._fresh_us
        for dest, kind, payload, at_us in self._fresh:
            note(Noted(str(dest), kind, packed(payload), at_us), since_us)
        self._fresh = []
        self._plan()

    def oldest_us(self) -> int | None:
        """When the first happened that is not kept yet, Unix time; also asked by the log's thread."""
        fresh = self._fresh  # first: what is packed meanwhile is in the backlog before it goes from here
        times = [fresh[0][3]] if fresh else []
        if (oldest := self.backlog.oldest_us()) is not None:
            times.append(oldest)
        return min(times, default=None)

    def note(self, channel: str, kind: str, data: bytes, at_us: int) -> None:
        """Remember that something happened: `data` is its payload, packed."""
        if self.backlog.note(Noted(channel, kind, data, at_us), self._now_us()):
            self._plan()

    async def close(self, within_s: float = CLOSE_S) -> int:
        """Hand over what waits, and give it so long. Returns how many events are not kept."""
        self._gather()
        self._flushed = asyncio.get_running_loop().create_future()
        self._hand_over()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._flushed, within_s)
        if self._timer is not None:
            self._timer.cancel()
        if left := len(self.backlog) + self.backlog.counts().total():
            log.warning("event log: %d events were not written before the end", left)
        return left

    def _plan(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (at := self.backlog.next_at()) is not None:
            delay_s = max(at - self._now_us(), 0) / 1e6
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._hand_over)

    def _hand_over(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.backlog.next_at() is not None:
            batch = self.backlog.take()
            if not self._submit(lambda: self._write(batch), self._done):
                self.backlog.failed("too much waits for it", self._now_us())
                self._settled()
        elif not self.backlog.busy:
            self._settled()

    def _done(self, events: list[Event] | None, error: Exception | None) -> None:
        now_us = self._now_us()
        if error is None:
            self.backlog.wrote(now_us)
            self._kept(events or [])
        elif isinstance(error, LogError):
            self.backlog.failed(str(error), now_us)
        else:
            self.backlog.refused(f"{error or type(error).__name__}", now_us)
        self._settled()

    def _settled(self) -> None:
        if self._flushed is None:
            self._plan()
        elif self.backlog.failing or self.backlog.next_at() is None:
            if not self._flushed.done():
                self._flushed.set_result(None)
        else:
            self._hand_over()
