"""The sender's service for the channels' event log: the log's thread and port, exchanges with other sites,
and reads of past states.
"""

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
from rowanrack.channels.layout import MAX_KEEPER_COUNT, MAX_SHARD_COUNT
from rowanrack.channels.log import Noted
from rowanrack.channels.ports import LogError
from rowanrack.channels.reads import Done, Read, Request, Router, Settings, parse
from rowanrack.channels.site import READ, Fleet, Site
from rowanrack.channels.sync import Meetings
from rowanrack.channels_io.links import HttpLinks
from rowanrack.channels_io.server import SitesServer
from rowanrack.channels_io.watching import ExchangeObserver
from rowanrack.channels_io.writer import EventWriter, LogThread
from rowanrack.config import ChannelsConfig
from rowanrack.core.exchange import Exchange
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.net.http import Reply
from rowanrack.net.timing import after, pause
from rowanrack.store.log_sqlite import SqliteLog

log = logging.getLogger(__name__)

T = TypeVar("T")

LOG_FILE_NAME = "channels.db"
CHECK_INTERVAL_US = (
    1_000_000  # between checks of outages, and of what to fetch from sites when nothing is new on FLEET
)
MIN_LOOP_INTERVAL_US = 10_000  # shortest interval between two runs of the scheduling loop
CALL_TIMEOUT_US = 5_000_000  # for one call of an exchange with another site
MAX_CALLS_PER_EXCHANGE = 400  # the next exchange transfers what these calls leave over
RETENTION_INTERVAL_US = 60_000_000  # between two runs of retention
OPEN_RETRY_US = 1_000_000  # between attempts to open a log that is locked by another process or damaged
BASE_CONNECTION_COUNT = 16  # connections accepted from other sites, plus two for each of them
JSON_HEADERS = {"Content-Type": "application/json", "Connection": "close"}
TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8", "Connection": "close"}


class LogOverloadedError(Exception):
    """The queue of the log's thread is full, or the thread is closing: retry later."""


class ChannelPart:
    """The event log of a sender whose site file has a `[channels]` section."""

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
        self._on_detached = (
            detached  # called with all endpoints known to the fleet and those that are detached
        )
        self._rate_limited_log = RateLimitedLog(log)
        others = sorted(config.sites)
        store = SqliteLog(folder / LOG_FILE_NAME, config.disk_bytes)
        self.site = Site(
            store, exchange.clock, name, others, self._log_warning, config.keep_us, config.disk_bytes
        )
        self.thread = LogThread(self.site.close)
        self.event_writer = EventWriter(
            self.thread.submit, self._write, exchange.clock.now_us, on_written=self._on_written
        )
        self.site.log.waits_since = self.event_writer.oldest_us
        self.observer = ExchangeObserver(exchange, self.event_writer, config.ids)
        self.links = HttpLinks(exchange.after, config.sites)
        self.server = SitesServer(exchange, BASE_CONNECTION_COUNT + 2 * len(others), self._answer_site)
        self.meetings = Meetings(name, others, seed)
        self.fleet = Fleet(
            [name, *others]
        )  # the loop's copy, built from the events that the thread passes on
        self._fleet_updates: deque[tuple[bool, list[Event]]] = (
            deque()
        )  # passed from the thread to the loop; True: start from an empty fleet
        self.router = Router(Settings(name))
        self._reads: dict[Read, asyncio.Event] = {}  # with the event that wakes each
        self._open_us: int | None = None  # when the log was opened; None before
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake_schedule = asyncio.Event()  # wakes the scheduling loop
        self._check_needs_at_us = 0
        self._checking_needs = False

    def start(self) -> None:
        """Start to collect events. The log and the port open in the background, once they are free."""
        self.thread.start()
        self.observer.start()
        self._start_task(self._run_schedule())

    async def end(self, within_s: float) -> None:
        """Write the waiting events and close the log, within so many seconds."""
        self.close()
        await self.event_writer.close(within_s / 2)
        await self.thread.close(within_s / 2)

    def close(self) -> None:
        """Stop collecting events, and cancel the running tasks, calls and connections."""
        self.exchange.remove_observer(self.observer)
        for task in self._tasks:
            task.cancel()
        self.links.close()
        self.server.close()

    def _start_task(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_on_log_thread(self, job: Callable[[], T]) -> T:
        """Run a job on the log's thread. Raises LogOverloadedError, LogError or ValueError."""
        done: asyncio.Future[T] = asyncio.get_running_loop().create_future()

        def resolve(result: T | None, failed: Exception | None) -> None:
            if done.done():
                return
            if failed is not None:
                done.set_exception(failed)
            else:
                done.set_result(result)  # type: ignore[arg-type]

        if not self.thread.submit(lambda: self._run_and_pass_fleet_events(job), resolve):
            raise LogOverloadedError
        return await done

    # Events of the fleet.

    def _write(self, noted: Sequence[Noted]) -> list[Event]:
        """Write a batch; runs on the log's thread. Raises LogError until the log is open: the events wait."""
        if self._open_us is None:
            raise LogError("the log is not open yet")
        return self._run_and_pass_fleet_events(lambda: self.site.write(noted))

    def _on_written(self, events: list[Event]) -> None:
        self._apply_fleet_events()

    def _apply_fleet_events(self) -> None:
        """Apply the fleet events that the thread has passed on to the loop's copy of the fleet."""
        changed = False
        while self._fleet_updates:
            self._check_needs_at_us = 0
            self._wake_schedule.set()
            from_empty, news = self._fleet_updates.popleft()
            if from_empty:
                self.fleet, changed = Fleet([self.name, *self.config.sites]), True
            for event in news:
                self.fleet.saw(event)
                changed |= event.kind in (DETACHED, ATTACHED)
        if changed:
            self._on_detached(self.fleet.named, self.fleet.detaches.detached())

    def _run_and_pass_fleet_events(self, job: Callable[[], T]) -> T:
        """Run a job and pass the fleet events that it brought on to the loop; runs on the log's thread."""
        try:
            return job()
        finally:
            with suppress(LogError):
                fleet_update = self.site.news()
                if any(fleet_update):
                    self._fleet_updates.append(fleet_update)

    def change(self, endpoint: str, banned: bool) -> None:
        """Log an endpoint that an operator detached (`banned`) or attached here; written at once."""
        payload: dict[str, Any] = {"endpoint": endpoint}
        if not banned:
            payload["undoes"] = self.fleet.detaches.undoes(endpoint)
        self.event_writer.add(FLEET, DETACHED if banned else ATTACHED, packed(payload), self._unix_us())

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
            if since < self._unix_us():
                raise ValueError("from: lies in the past")
            shards, keeper_count = (
                int(doc.get("shards", newest.shards)),
                int(doc.get("keepers", newest.keeper_count)),
            )
            if not (0 < shards <= MAX_SHARD_COUNT and 0 < keeper_count <= MAX_KEEPER_COUNT):
                raise ValueError(f"shards: 1 to {MAX_SHARD_COUNT}; keepers: 1 to {MAX_KEEPER_COUNT}")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            return Reply(400, JSON_HEADERS, _json_body({"error": f"no layout: {error}"}))
        version = max(layout.version for layout in self.fleet.layouts.history()) + 1
        payload = {
            "version": version,
            "from": since,
            "shards": shards,
            "keepers": keeper_count,
            "sites": sites,
        }
        noted = Noted(FLEET, LAYOUT, packed(payload), self._unix_us())
        try:
            written = await self._run_on_log_thread(lambda: self.site.write([noted]))
        except (LogOverloadedError, LogError) as error:
            why = str(error) or "the log is behind"
            return Reply(507, JSON_HEADERS, _json_body({"error": f"not announced: {why}"}))
        self._apply_fleet_events()
        return Reply(200, JSON_HEADERS, _json_body({"layout": payload, "id": written[0].id}))

    # Scheduled work.

    async def _run_schedule(self) -> None:
        await self._open()
        check_at_us = retention_at_us = 0
        while True:
            now_us = self.exchange.clock.now_us()
            self._wake_schedule.clear()
            if now_us >= check_at_us:  # one wake-up for both checks: it costs more than they do
                check_at_us, self._check_needs_at_us = now_us + CHECK_INTERVAL_US, now_us
                self.observer.log_outage_changes()
            for site in self.meetings.due(now_us):
                self.meetings.began(site, now_us)
                self._start_task(self._exchange_with(site))
            if now_us >= self._check_needs_at_us and not self._checking_needs:
                self._check_needs_at_us, self._checking_needs = check_at_us, True
                self._start_task(self._check_needs())
            if now_us >= retention_at_us:
                retention_at_us = now_us + RETENTION_INTERVAL_US
                self.fleet.layouts.passed(self._unix_us())
                self._start_task(self._run_retention())
            next_exchange_us = self.meetings.next_at(now_us)
            needs_at_us = check_at_us if self._checking_needs else self._check_needs_at_us
            wake_at_us = min(check_at_us, needs_at_us, next_exchange_us or check_at_us)
            timer = after(max(wake_at_us - now_us, MIN_LOOP_INTERVAL_US), self._wake_schedule.set)
            await self._wake_schedule.wait()
            timer.cancel()

    async def _open(self) -> None:
        """Open the log and the port; retry while another process has them or the log cannot be read.

        During a hot restart the previous process holds both until it exits.
        """
        await self._retry_until_done("cannot open the log", lambda: self._run_on_log_thread(self.site.open))
        self._open_us = self.exchange.clock.now_us()
        log.info("channels: the log is open")
        host, port = self.config.listen
        await self._retry_until_done(
            f"cannot listen on {host}:{port}", lambda: self.server.listen(host, port)
        )
        self._apply_fleet_events()
        for name in sorted(self.exchange.bans - self.fleet.named):
            self.change(name, True)  # detached on this sender before the log was opened

    async def _check_needs(self) -> None:
        try:
            needs = await self._run_on_log_thread(self.site.needs)
            self.meetings.needs(self.exchange.clock.now_us(), needs)
        except (LogError, LogOverloadedError):
            pass  # the next check tries again
        finally:
            self._checking_needs = False
            self._wake_schedule.set()

    async def _retry_until_done(self, problem: str, work: Callable[[], Awaitable[None]]) -> None:
        """Retry work until it succeeds. Logs each new reason of a failure once, and then the success."""
        logged_reason = ""
        while True:
            try:
                await work()
            except (LogError, LogOverloadedError, OSError) as error:
                if (why := getattr(error, "strerror", None) or str(error)) != logged_reason:
                    logged_reason = why
                    log.error("channels: %s, sending continues without it: %s", problem, why)
                await pause(self.exchange.after, OPEN_RETRY_US)
            else:
                if logged_reason:
                    log.info("channels: resolved: %s", problem)
                return

    async def _exchange_with(self, site: str) -> None:
        now_us = self.exchange.clock.now_us
        try:
            body: bytes | None = await self._run_on_log_thread(lambda: self.site.offer(site))
            for _ in range(MAX_CALLS_PER_EXCHANGE):
                if body is None:
                    break
                answer, wait_us, why = await self._call_site(site, body, CALL_TIMEOUT_US)
                if answer is None:
                    self.meetings.failed(site, now_us(), wait_us)
                    self._rate_limited_log.warning("channels: %s: %s", site, why)
                    return
                body = await self._run_on_log_thread(lambda answer=answer: self.site.take(site, answer))  # type: ignore[misc]
                self._apply_fleet_events()
        except (LogError, LogOverloadedError, ValueError) as error:
            self.meetings.failed(site, now_us(), 0)
            self._rate_limited_log.warning(
                "channels: %s: %s", site, str(error) or "the log's thread is overloaded"
            )
        except Exception:
            self.meetings.failed(site, now_us(), 0)
            log.exception(
                "channels: exchange with %s failed", site
            )  # a defect must not stop those with other sites
        else:
            self.meetings.ended(site, now_us())
        finally:
            self._wake_schedule.set()

    async def _call_site(self, site: str, body: bytes, timeout_us: int) -> tuple[bytes | None, int, str]:
        outcome: asyncio.Future[tuple[bytes | None, int, str]] = asyncio.get_running_loop().create_future()

        def done(answer: bytes | None, wait_us: int, why: str, /) -> None:
            if not outcome.done():
                outcome.set_result((answer, wait_us, why))

        cancel = self.links.call(site, body, timeout_us, done)
        try:
            return await outcome
        finally:
            cancel()

    async def _answer_site(self, body: bytes) -> bytes | None:
        try:
            answered = await self._run_on_log_thread(lambda: self.site.answer(body))
        except (LogOverloadedError, LogError):
            return None
        self._apply_fleet_events()
        return answered

    async def _run_retention(self) -> None:
        try:
            deleted_count = await self._run_on_log_thread(self.site.tidy)
        except (LogError, LogOverloadedError) as error:
            self._rate_limited_log.warning(
                "channels: retention: %s", str(error) or "the log's thread is overloaded"
            )
        else:
            if deleted_count:
                log.info("channels: retention deleted %d events", deleted_count)

    # Reads of past states.

    async def read(self, target: str) -> Reply:
        """Answer `GET /_channels/NAME?at=...`."""
        try:
            query = parse(target)
        except ValueError as error:
            return Reply(400, TEXT_HEADERS, f"{error}\n".encode())
        clock = self.exchange.clock
        self.fleet.layouts.passed(self._unix_us())
        read = self.router.read(query, self.fleet.layouts, clock.now_us(), self._unix_us())
        news = self._reads[read] = asyncio.Event()
        try:
            while True:
                news.clear()
                for step in read.next(clock.now_us()):
                    match step:
                        case Done(answer):
                            retry_headers = (
                                {"Retry-After": str(answer.retry_after_s)} if answer.status == 503 else {}
                            )
                            kind = JSON_HEADERS if answer.status == 200 else TEXT_HEADERS
                            return Reply(answer.status, kind | retry_headers, answer.body())
                        case Request():
                            self._start_task(self._ask_site(step))
                        case _:
                            until_us = step.until_us
                timer = self.exchange.after(max(0, until_us - clock.now_us()), news.set)
                await news.wait()
                timer.cancel()
        finally:
            del self._reads[read]

    async def _ask_site(self, request: Request) -> None:
        """Ask a site for a part of the log, and wake the reads that its answer concerns."""
        wait_us, why, answer = 0, "", None
        try:
            if request.keeper == self.name:
                answer = await self._run_on_log_thread(lambda: self.site.give(request.part))
            else:
                body = READ + msgspec.msgpack.encode(request.part)
                answer, wait_us, why = await self._call_site(request.keeper, body, request.timeout_us)
        except (LogError, LogOverloadedError) as error:
            why = str(error) or "the log is behind"
        finally:
            now_us = self.exchange.clock.now_us()
            concerned_reads = (
                self.router.failed(request, why or "it failed", wait_us, now_us)
                if answer is None
                else self.router.answered(request, answer, now_us)
            )
            for read in concerned_reads:
                if read in self._reads:
                    self._reads[read].set()

    @staticmethod
    def _log_warning(text: str) -> None:
        log.warning("channels: %s", text)

    def _unix_us(self) -> int:
        return self.exchange.clock.unix_us()


def _json_body(doc: dict[str, Any]) -> bytes:
    return json.dumps(doc).encode() + b"\n"
