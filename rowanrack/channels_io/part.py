"""The sender's part in the channels' log: its thread and port, meetings with other sites, and reads."""

from __future__ import annotations

import asyncio
import json
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from rowanrack.channels.events import ATTACHED, DETACHED, FLEET, LAYOUT, Event, packed
from rowanrack.channels.layout import KEEPERS_MOST, SHARDS_MOST
from rowanrack.channels.log import Noted
from rowanrack.channels.ports import LogError
from rowanrack.channels.reads import Ask, Done, Read, Router, Settings, parse
from rowanrack.channels.site import READ, Fleet, Site
from rowanrack.channels.sync import Meetings
from rowanrack.channels_io.links import HttpLinks
from rowanrack.channels_io.server import SitesServer
from rowanrack.channels_io.watching import Watching
from rowanrack.channels_io.writer import LogThread, Notes
from rowanrack.config import ChannelsConfig
from rowanrack.core.exchange import Exchange
from rowanrack.net.http import Reply
from rowanrack.net.rate_limited_log import RateLimitedLog
from rowanrack.net.timing import after, pause
from rowanrack.store.log_sqlite import SqliteLog

log = logging.getLogger(__name__)

T = TypeVar("T")

FILE = "channels.db"
LOOK_US = 1_000_000  # between looks at endpoints' outages, and at whom to meet with nothing new on FLEET
LEAST_US = 10_000  # between two rounds of what is due
CALL_US = 5_000_000  # for one call of an exchange
ROUNDS = 400  # calls of one exchange at most; what is left comes with the next
TIDY_US = 60_000_000  # between two rounds of retention
OPEN_US = 1_000_000  # between tries to open a log that another process has, or that is broken
PORT_LEAST = 16  # connections from other sites, and two for each
JSON = {"Content-Type": "application/json", "Connection": "close"}
TEXT = {"Content-Type": "text/plain; charset=utf-8", "Connection": "close"}


class BehindError(Exception):
    """The log's thread has too much to do, or no log: come again."""


class ChannelPart:
    """What a sender with `[channels]` has beside the others."""

    def __init__(
        self,
        config: ChannelsConfig,
        name: str,
        folder: Path,
        exchange: Exchange,
        seed: int,
        detached: Callable[[set[str], set[str]], None],
    ) -> None:
        self.config, self.name, self.exchange = config, name, exchange
        self._detached = detached  # told of every endpoint that the fleet knows of, and those detached now
        self._rare = RateLimitedLog(log)
        others = sorted(config.sites)
        store = SqliteLog(folder / FILE, config.disk_bytes)
        self.site = Site(store, exchange.clock, name, others, self._say, config.keep_us, config.disk_bytes)
        self.thread = LogThread(self.site.close)
        self.notes = Notes(self.thread.submit, self._write, exchange.clock.now_us, kept=self._kept)
        self.site.log.waits_since = self.notes.oldest_us
        self.watching = Watching(exchange, self.notes, config.ids)
        self.links = HttpLinks(exchange.after, config.sites)
        self.server = SitesServer(exchange, PORT_LEAST + 2 * len(others), self._answer)
        self.meetings = Meetings(name, others, seed)
        self.fleet = Fleet([name, *others])  # as the thread has told of it
        self._told: deque[tuple[bool, list[Event]]] = deque()  # news that the thread has laid ready
        self.router = Router(Settings(name))
        self._reads: dict[Read, asyncio.Event] = {}  # each with what wakes it
        self._open_us: int | None = None  # when the log was opened
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()  # of what looks at what is due
        self._needs_at = 0
        self._needing = False

    def start(self) -> None:
        """Begin to note; the log and the port open beside serving, once another process lets go of them."""
        self.thread.start()
        self.watching.start()
        self._begin(self._run())

    async def end(self, within_s: float) -> None:
        """Write what is noted, and let go of the log, in so many seconds."""
        self.close()
        await self.notes.close(within_s / 2)
        await self.thread.close(within_s / 2)

    def close(self) -> None:
        """Note nothing more, and end what is under way."""
        self.exchange.remove_observer(self.watching)
        for task in self._tasks:
            task.cancel()
        self.links.close()
        self.server.close()

    def _begin(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _do(self, job: Callable[[], T]) -> T:
        """Have the log's thread do something. Raises BehindError, LogError, ValueError."""
        done: asyncio.Future[T] = asyncio.get_running_loop().create_future()

        def over(found: T | None, failed: Exception | None) -> None:
            if done.done():
                return
            if failed is not None:
                done.set_exception(failed)
            else:
                done.set_result(found)  # type: ignore[arg-type]

        if not self.thread.submit(lambda: self._then_tell(job), over):
            raise BehindError
        return await done

    # The fleet's events.

    def _write(self, noted: Sequence[Noted]) -> list[Event]:
        """On the thread. Until the log is open what is noted waits."""
        if self._open_us is None:
            raise LogError("it is not open yet")
        return self._then_tell(lambda: self.site.write(noted))

    def _kept(self, events: list[Event]) -> None:
        self._heard_of()

    def _heard_of(self) -> None:
        """Take over what the thread has seen of the fleet."""
        changed = False
        while self._told:
            self._needs_at = 0
            self._wake.set()
            anew, news = self._told.popleft()
            if anew:
                self.fleet, changed = Fleet([self.name, *self.config.sites]), True
            for event in news:
                self.fleet.saw(event)
                changed |= event.kind in (DETACHED, ATTACHED)
        if changed:
            self._detached(self.fleet.named, self.fleet.detaches.detached())

    def _then_tell(self, job: Callable[[], T]) -> T:
        """On the thread: do something, and lay ready for the loop what it brought of the fleet's events."""
        try:
            return job()
        finally:
            with suppress(LogError):
                told = self.site.news()
                if any(told):
                    self._told.append(told)

    def change(self, endpoint: str, banned: bool) -> None:
        """An operator detached an endpoint here, or attached it: told to the fleet at once."""
        payload: dict[str, Any] = {"endpoint": endpoint}
        if not banned:
            payload["undoes"] = self.fleet.detaches.undoes(endpoint)
        self.notes.note(FLEET, DETACHED if banned else ATTACHED, packed(payload), self._unix())

    async def announce_layout(self, body: bytes) -> Reply:
        """Announce a layout: `{"from": MICROSECONDS, "sites": {NAME: WEIGHT}, "shards": N, "keepers": N}`."""
        try:
            doc = json.loads(body)
            newest = self.fleet.layouts.history()[-1]
            sites = sorted((str(name), float(weight)) for name, weight in doc["sites"].items())
            unknown = [name for name, _ in sites if name != self.name and name not in self.config.sites]
            if unknown or not sites or min(w for _, w in sites) <= 0:
                raise ValueError(f"sites: {', '.join(unknown) or 'none, or one with no weight'}")
            since = int(doc["from"])
            if since < self._unix():
                raise ValueError("from: lies in the past")
            shards, copies = int(doc.get("shards", newest.shards)), int(doc.get("keepers", newest.copies))
            if not (0 < shards <= SHARDS_MOST and 0 < copies <= KEEPERS_MOST):
                raise ValueError(f"shards: 1 to {SHARDS_MOST}; keepers: 1 to {KEEPERS_MOST}")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as bad:
            return Reply(400, JSON, _document({"error": f"no layout: {bad}"}))
        version = max(layout.version for layout in self.fleet.layouts.history()) + 1
        payload = {"version": version, "from": since, "shards": shards, "keepers": copies, "sites": sites}
        noted = Noted(FLEET, LAYOUT, packed(payload), self._unix())
        try:
            written = await self._do(lambda: self.site.write([noted]))
        except (BehindError, LogError) as error:
            why = str(error) or "the log is behind"
            return Reply(507, JSON, _document({"error": f"not announced: {why}"}))
        self._heard_of()
        return Reply(200, JSON, _document({"layout": payload, "id": written[0].id}))

    # What is due.

    async def _run(self) -> None:
        await self._open()
        look_at = tidy_at = 0
        while True:
            now = self.exchange.clock.now_us()
            self._wake.clear()
            if now >= look_at:  # both looks at once: waking costs more than they do
                look_at, self._needs_at = now + LOOK_US, now
                self.watching.look()
            for site in self.meetings.due(now):
                self.meetings.began(site, now)
                self._begin(self._meet(site))
            if now >= self._needs_at and not self._needing:
                self._needs_at, self._needing = look_at, True
                self._begin(self._need())
            if now >= tidy_at:
                tidy_at = now + TIDY_US
                self.fleet.layouts.passed(self._unix())
                self._begin(self._tidy())
            next_at = self.meetings.next_at(now)
            needs_at = look_at if self._needing else self._needs_at
            until = min(look_at, needs_at, next_at or look_at)
            timer = after(max(until - now, LEAST_US), self._wake.set)
            await self._wake.wait()
            timer.cancel()

    async def _open(self) -> None:
        """Open the log and the port; what another process has, or cannot be read, is tried again.

        At a hot restart the process before this one has both until it leaves.
        """
        await self._until("the log is not open", lambda: self._do(self.site.open))
        self._open_us = self.exchange.clock.now_us()
        log.info("channels: the log is open")
        host, port = self.config.listen
        await self._until(f"cannot listen on {host}:{port}", lambda: self.server.listen(host, port))
        self._heard_of()
        for name in sorted(self.exchange.bans - self.fleet.named):
            self.change(name, True)  # detached here before there was a log

    async def _need(self) -> None:
        try:
            needs = await self._do(self.site.needs)
            self.meetings.needs(self.exchange.clock.now_us(), needs)
        except (LogError, BehindError):
            pass  # the next look finds it
        finally:
            self._needing = False
            self._wake.set()

    async def _until(self, trouble: str, work: Callable[[], Awaitable[None]]) -> None:
        """Try something until it is done: one line for each reason why not, and one once it is."""
        said = ""
        while True:
            try:
                await work()
            except (LogError, BehindError, OSError) as error:
                if (why := getattr(error, "strerror", None) or str(error)) != said:
                    said = why
                    log.error("channels: %s, sending goes on without it: %s", trouble, why)
                await pause(self.exchange.after, OPEN_US)
            else:
                if said:
                    log.info("channels: over: %s", trouble)
                return

    async def _meet(self, site: str) -> None:
        now_us = self.exchange.clock.now_us
        try:
            body: bytes | None = await self._do(lambda: self.site.offer(site))
            for _ in range(ROUNDS):
                if body is None:
                    break
                answer, wait_us, why = await self._call(site, body, CALL_US)
                if answer is None:
                    self.meetings.failed(site, now_us(), wait_us)
                    self._rare.warning("channels: %s: %s", site, why)
                    return
                body = await self._do(lambda answer=answer: self.site.take(site, answer))  # type: ignore[misc]
                self._heard_of()
        except (LogError, BehindError, ValueError) as error:
            self.meetings.failed(site, now_us(), 0)
            self._rare.warning("channels: %s: %s", site, str(error) or "this log is behind")
        except Exception:
            self.meetings.failed(site, now_us(), 0)
            log.exception("channels: a meeting with %s failed", site)  # a defect must not end the others
        else:
            self.meetings.ended(site, now_us())
        finally:
            self._wake.set()

    async def _call(self, site: str, body: bytes, timeout_us: int) -> tuple[bytes | None, int, str]:
        over: asyncio.Future[tuple[bytes | None, int, str]] = asyncio.get_running_loop().create_future()

        def done(answer: bytes | None, wait_us: int, why: str, /) -> None:
            if not over.done():
                over.set_result((answer, wait_us, why))

        give_up = self.links.call(site, body, timeout_us, done)
        try:
            return await over
        finally:
            give_up()

    async def _answer(self, body: bytes) -> bytes | None:
        try:
            answered = await self._do(lambda: self.site.answer(body))
        except (BehindError, LogError):
            return None
        self._heard_of()
        return answered

    async def _tidy(self) -> None:
        try:
            gone = await self._do(self.site.tidy)
        except (LogError, BehindError) as error:
            self._rare.warning("channels: retention: %s", str(error) or "the log is behind")
        else:
            if gone:
                log.info("channels: retention took %d events", gone)

    # Reads of the past.

    async def read(self, target: str) -> Reply:
        """The answer to `GET /_channels/NAME?at=...`."""
        try:
            query = parse(target)
        except ValueError as bad:
            return Reply(400, TEXT, f"{bad}\n".encode())
        clock = self.exchange.clock
        self.fleet.layouts.passed(self._unix())
        read = self.router.read(query, self.fleet.layouts, clock.now_us(), self._unix())
        news = self._reads[read] = asyncio.Event()
        try:
            while True:
                news.clear()
                for step in read.next(clock.now_us()):
                    match step:
                        case Done(answer):
                            again = {"Retry-After": str(answer.retry_after_s)} if answer.status == 503 else {}
                            kind = JSON if answer.status == 200 else TEXT
                            return Reply(answer.status, kind | again, answer.body())
                        case Ask():
                            self._begin(self._ask(step))
                        case _:
                            until_us = step.until_us
                timer = self.exchange.after(max(0, until_us - clock.now_us()), news.set)
                await news.wait()
                timer.cancel()
        finally:
            del self._reads[read]

    async def _ask(self, ask: Ask) -> None:
        """Ask a site for a part, and wake the reads that hear of it."""
        wait_us, why, answer = 0, "", None
        try:
            if ask.keeper == self.name:
                answer = await self._do(lambda: self.site.give(ask.part))
            else:
                body = READ + msgspec.msgpack.encode(ask.part)
                answer, wait_us, why = await self._call(ask.keeper, body, ask.timeout_us)
        except (LogError, BehindError) as error:
            why = str(error) or "the log is behind"
        finally:
            now = self.exchange.clock.now_us()
            stirred = (
                self.router.failed(ask, why or "it failed", wait_us, now)
                if answer is None
                else self.router.answered(ask, answer, now)
            )
            for read in stirred:
                if read in self._reads:
                    self._reads[read].set()

    @staticmethod
    def _say(text: str) -> None:
        log.warning("channels: %s", text)

    def _unix(self) -> int:
        return self.exchange.clock.unix_us()


def _document(doc: dict[str, Any]) -> bytes:
    return json.dumps(doc).encode() + b"\n"
