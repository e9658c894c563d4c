"""A listening port and its connections: the base class of the servers of all fronts.

The protection against bad clients is implemented here, once for all fronts: a connection limit that silent
clients cannot exhaust, a time limit for incomplete requests, and a graceful close that lets the last answer
arrive.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Coroutine, Iterable
from contextlib import suppress
from enum import Enum
from typing import Any

from rowanrack.core.exchange import Exchange
from rowanrack.core.metrics import ClientCloseReason
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.load.load_shedder import Level
from rowanrack.load.metered import CpuMeteredCoroutine
from rowanrack.net.accepting import closed_by_client, wait_readable
from rowanrack.net.bounded_reader import PauseReason
from rowanrack.net.departures import DepartureCheck
from rowanrack.net.fair_scheduling import ConnectionPriority, FairSelector, fair_selector_of
from rowanrack.net.input_memory import InputMemory
from rowanrack.net.stream import Stream, stream_protocol
from rowanrack.net.timing import After, pause, time_limit

log = logging.getLogger(__name__)

LISTEN_BACKLOG_COUNT = 1024  # connections that wait in the kernel until there is room
# From the opening of a connection to the first byte of a request, and from there to its last byte.
REQUEST_TIMEOUT_US = 2_000_000
# The time for the rest of a request starts at its first byte, at the latest this long after the opening.
FIRST_BYTE_GRACE_US = 500_000
# From the opening of a connection to its first byte, once the port drains or is in lame duck.
LEAVING_FIRST_BYTE_TIMEOUT_US = 1_000_000
IDLE_TIMEOUT_US = 60_000_000  # between requests
NO_TIMEOUT_US = 1 << 62
TIMEOUT_CHECK_INTERVAL_US = 250_000
REQUEST_EVICTION_AGE_US = 200_000  # a connection that waits for (the rest of) a request may be evicted then
IDLE_EVICTION_AGE_US = 250_000  # a connection that is idle between requests may be evicted then
CROWDED_FRACTION = 0.4  # of the connection limit, from which idle connections are closed ahead of need
ACCEPT_BATCH_COUNT = 16  # connections that are accepted in one event loop iteration
READ_PAUSE_US = 200_000  # for a request in small pieces, which the kernel collects meanwhile
ACCEPT_RETRY_INTERVAL_US = 20_000  # while there is no room, and after errors
CONNECTION_OVERHEAD_US = 60.0  # CPU time that the event loop itself uses for a connection
LINGER_TIMEOUT_US = 1_000_000  # after the last answer, for the client to close the connection
MAX_LINGER_BYTES = 1 << 20  # read and discarded meanwhile


class ConnectionState(Enum):
    """The state of a connection."""

    NEW = "new"  # nothing received yet
    RECEIVING = "owing"  # part of a request received
    BUSY = "busy"  # its request is being answered
    IDLE = "idle"  # between requests
    LEAVING = "leaving"  # the last answer has been written


class Listener(ABC):
    """A listening port that serves each connection until it ends; an error ends only its own connection."""

    timeout_answer = b""  # sent to a client whose request does not arrive completely in time
    out_of_memory_answer = b""  # sent to a client whose incomplete request takes too much memory
    reuse_port = False  # whether the next process shares the port at a hot restart
    request_timeout_us, request_eviction_age_us = REQUEST_TIMEOUT_US, REQUEST_EVICTION_AGE_US

    def __init__(
        self, max_connections: int, exchange: Exchange, input_memory: InputMemory | None = None
    ) -> None:
        self.max_connections, self.exchange = max_connections, exchange
        self.input_memory = input_memory or InputMemory(self._now)
        self.after: After = exchange.after
        self.load_shedder = exchange.load_shedder
        # The state of each stream and the time of its last change; the latest change comes last.
        self.streams: dict[Stream, tuple[ConnectionState, int]] = {}
        self.draining = self._ended = False
        self.lame_duck = False  # in lame duck, connections close after their answer and the port stays open
        self.port = 0
        self._accepting_task: asyncio.Task[None] | None = None
        self._connecting: set[asyncio.Task[None]] = set()  # accepted connections that are no streams yet
        self._tasks: set[asyncio.Task[None]] = set()
        self._accept_warnings = RateLimitedLog(log)
        self.bad_input_warnings = RateLimitedLog(log)
        self._active_penalties = 0
        self._fair_selector: FairSelector | None = None
        self._new_clients: dict[Stream, float] = {}  # no good request yet; CPU time used, in us
        self._paused: set[Stream] = set()  # streams whose reading is paused
        self._rejected: set[Stream] = set()  # streams whose input was bad
        self._departures = DepartureCheck(self.after)
        self._accept_cpu_us = 0.0  # CPU time used for accepting since the last accepted connection

    @abstractmethod
    async def serve_connection(self, stream: Stream) -> None:
        """Serve one connection, and record its state by `set_state`; return to close it."""

    def set_state(self, stream: Stream, state: ConnectionState) -> None:
        """Set the state of a connection. The answer to a good request ends its status as a new client."""
        self.exchange.run_overdue_round()
        self.input_memory.update(stream, self)
        if state is ConnectionState.IDLE and (used_us := self._new_clients.pop(stream, None)) is not None:
            self.load_shedder.charge(-used_us)
            self._set_priority(stream, ConnectionPriority.CLIENT)
        previous_state, since = self.streams.get(stream, (None, 0))
        if previous_state is state:
            return
        now = self._now()
        # A late first byte must not delay the end of an incomplete request, which is due a limited time after
        # the connection was opened.
        since = (
            min(now, since + FIRST_BYTE_GRACE_US)
            if previous_state is ConnectionState.NEW and state is ConnectionState.RECEIVING
            else now
        )
        self.streams.pop(stream, None)
        self.streams[stream] = state, since

    @property
    def leaving(self) -> bool:
        """Whether connections are closed between requests: the port drains, or is in lame duck."""
        return self.draining or self.lame_duck

    @property
    def has_ended(self) -> bool:
        """Whether the port is closed and all connections have ended, including those being accepted."""
        accepting = self._accepting_task is not None and not self._accepting_task.done()
        return not (accepting or self._connecting or self.streams)

    def may_close(self, stream: Stream) -> bool:
        """Whether a connection between requests is to be closed now.

        A connection with unread input is not closed: the close would reset it, which might destroy the last
        answer. A new connection is not closed either, as its first request may be on its way.
        """
        state, _ = self.streams.get(stream, (ConnectionState.LEAVING, 0))
        return self.leaving and state is not ConnectionState.NEW and not stream.unread

    async def listen(self, host: str, port: int) -> None:
        """Open the port; with 0 the operating system chooses one."""
        family, _, _, _, address = (await asyncio.get_running_loop().getaddrinfo(host, port))[0]
        listening_socket = socket.socket(family, socket.SOCK_STREAM)
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.reuse_port:  # at a hot restart the next process listens before this one stops
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            listening_socket.bind(address)
        except OSError:
            listening_socket.close()
            raise
        self.port = listening_socket.getsockname()[1]
        self.serve_on(listening_socket)

    def serve_on(self, listening_socket: socket.socket) -> None:
        """Serve on a bound socket."""
        listening_socket.listen(LISTEN_BACKLOG_COUNT)
        self._fair_selector = fair_selector_of(asyncio.get_running_loop())
        if self._fair_selector is not None:
            self._fair_selector.delay_monitor = self.load_shedder
        listening_socket.setblocking(False)
        accept_task = self._start(self._accept_metered(listening_socket))
        # The socket is closed only once the cancelled task has ended: the loop watches it until then.
        accept_task.add_done_callback(lambda _: self._take_backlog_and_close(listening_socket))
        self._accepting_task = accept_task
        self._start(self._check_timeouts())

    def set_lame_duck(self, on: bool) -> None:
        """Begin or end lame duck mode, in which each connection is closed once it is between requests."""
        self.lame_duck = on
        if on:
            self._close_idle()

    def _close_idle(self) -> None:
        for stream, (state, _) in list(self.streams.items()):
            if state is ConnectionState.IDLE and not stream.unread:
                stream.close_at_once()

    def drain(self) -> None:
        """Accept the backlog, close the port, and close each connection once it is between requests."""
        self.draining = True
        self._close_port()
        self._close_idle()

    def close(self) -> None:
        """Close the port and all connections."""
        self._ended = True
        self._close_port()
        for task in self._tasks:
            task.cancel()

    async def reject(self, stream: Stream, last_answer: bytes, reason: str) -> None:
        """Answer bad input, and close the connection gracefully.

        The answer is delayed, which slows down clients that reconnect as soon as they are rejected. Closing
        with unread bytes would reset the connection and destroy the answer. So only the sending side is shut
        down, and further input is read and discarded for a limited time.
        """
        if stream.closing:
            return
        self._count_close(ClientCloseReason.BAD_INPUT)
        self.bad_input_warnings.warning("rejected the input of a client: %s", reason)
        self._new_clients.setdefault(stream, 0.0)
        self._rejected.add(stream)
        self._set_priority(stream, ConnectionPriority.NEW_CLIENT)
        self.set_state(stream, ConnectionState.BUSY)
        stream.pause(PauseReason.REJECTED)
        await stream.drop_input()
        if self._active_penalties < self.load_shedder.max_penalized(self.max_connections):
            self._active_penalties += 1
            try:
                await pause(self.after, self.load_shedder.penalty_us)
            finally:
                self._active_penalties -= 1
        await stream.send(last_answer)
        stream.resume(PauseReason.REJECTED)
        self.set_state(stream, ConnectionState.LEAVING)
        stream.shutdown_write()
        with suppress(TimeoutError):
            async with time_limit(self.after, LINGER_TIMEOUT_US):
                # Reading costs CPU time, too: none is spent on it while the core is full.
                remaining = MAX_LINGER_BYTES if self.load_shedder.level is Level.NORMAL else 0
                while remaining > 0 and (discarded := await stream.discard_input()):
                    remaining -= discarded
                if remaining <= 0:  # let the client wait instead of reading all it sends
                    await pause(self.after, LINGER_TIMEOUT_US)

    async def client_has_left(self, stream: Stream) -> bool:
        """Return whether a client has closed its connection: what is unread of its requests is not wanted."""
        if has_left := await self._departures.has_left(stream):
            self._count_close(ClientCloseReason.LEFT)
        return has_left

    # Accepting, eviction and time limits.

    async def _accept_metered(self, listening_socket: socket.socket) -> None:
        await CpuMeteredCoroutine(self._accept_loop(listening_socket), self._charge_accepting)

    async def _accept_loop(self, listening_socket: socket.socket) -> None:
        while True:
            try:
                while len(self.streams) >= self.max_connections and not self._evict_connection():
                    count_by_state = Counter(state.value for state, _ in self.streams.values())
                    summary = ", ".join(f"{count} {state}" for state, count in sorted(count_by_state.items()))
                    self._accept_warnings.warning(
                        "all %d client connections are in use (%s); further clients wait",
                        self.max_connections,
                        summary,
                    )
                    await pause(self.after, ACCEPT_RETRY_INTERVAL_US)
                self.exchange.run_overdue_round()
                if wait_us := self.load_shedder.pacing_delay_us(self._now()):
                    await pause(self.after, wait_us)
                # Iterations are long on a full core: with one accept in each, clients would wait for seconds.
                batch = self._accept_batch(listening_socket, ACCEPT_BATCH_COUNT)
                if not batch:
                    await wait_readable(listening_socket)
                    continue
                alive = [accepted for accepted in batch if not closed_by_client(accepted)]
                if len(alive) < len(batch):
                    wasted_us = self._accept_cpu_us * (1 - len(alive) / len(batch))
                    self._accept_cpu_us -= wasted_us
                    self.load_shedder.charge_wasted(wasted_us)
                if connecting := self._connect_all(alive):
                    await asyncio.wait(connecting)  # a cancellation does not cancel these tasks
                # While clients leave as fast as they connect, nothing else here yields to the event loop.
                await asyncio.sleep(0)
            except OSError as error:
                # The client may have gone again, or file descriptors have run out: the port stays open.
                self._accept_warnings.warning("could not accept a connection: %s", error.strerror or error)
                await pause(self.after, ACCEPT_RETRY_INTERVAL_US)

    def _accept_batch(self, listening_socket: socket.socket, limit: int) -> list[socket.socket]:
        """Accept pending connections, while there is room and new clients keep to their share of the CPU."""
        batch: list[socket.socket] = []
        # Streams that a drain has just closed are removed in the next loop iterations.
        open_count = (
            sum(not stream.closing for stream in self.streams) if self.draining else len(self.streams)
        )
        room = min(limit, self.max_connections - open_count)
        while len(batch) < room:
            if batch and not self.draining and self.load_shedder.pacing_delay_us(self._now()):
                break
            try:
                accepted, _ = listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                break
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # If descriptors run out for the next one, those that are accepted already are kept.
                if not batch:
                    raise
                self._accept_warnings.warning("could not accept a connection: %s", error.strerror or error)
                break
            accepted.setblocking(False)
            batch.append(accepted)
        return batch

    def _take_backlog_and_close(self, listening_socket: socket.socket) -> None:
        """Close the listening socket, after accepting its backlog unless the listener was closed.

        The kernel resets connections that wait in the backlog when the socket is closed, even those whose
        request has arrived.
        """
        if self.draining and not self._ended:
            with suppress(OSError):
                ready = self._accept_batch(listening_socket, LISTEN_BACKLOG_COUNT)
                self._connect_all(accepted for accepted in ready if not closed_by_client(accepted))
        listening_socket.close()

    def _connect_all(self, batch: Iterable[socket.socket]) -> list[asyncio.Task[None]]:
        """Start a task for each accepted connection that makes a stream of it."""
        tasks = [self._start(self._connect(accepted)) for accepted in batch]
        for task in tasks:
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        return tasks

    async def _connect(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await CpuMeteredCoroutine(self._create_stream(loop, accepted), self._charge_accepting)
        except OSError as error:
            self._accept_warnings.warning("could not accept a connection: %s", error.strerror or error)

    async def _create_stream(self, loop: asyncio.AbstractEventLoop, accepted: socket.socket) -> None:
        try:
            await loop.connect_accepted_socket(lambda: stream_protocol(self._start_serving), accepted)
        except BaseException:
            accepted.close()
            raise

    def _evict_connection(self) -> bool:
        """Close the most dispensable connection; return whether there was one.

        Silent connections must not keep active clients out.
        """
        now = self._now()
        # An answered connection is more dispensable than one whose first request may be on its way, and that
        # one more than one with a partial request.
        eviction_order = (
            (ConnectionState.LEAVING, 0),
            (ConnectionState.IDLE, IDLE_EVICTION_AGE_US),
            (ConnectionState.NEW, self.request_eviction_age_us),
            (ConnectionState.RECEIVING, self.request_eviction_age_us),
        )
        for state, min_age_us in eviction_order:
            for stream, (current, since) in self.streams.items():
                if now - since < min_age_us:
                    break  # the following ones are younger
                # A request that has arrived and is not read yet protects its connection.
                if current is state and (state is ConnectionState.LEAVING or not stream.unread_beyond_buffer):
                    self._count_close(ClientCloseReason.EVICTED)
                    del self.streams[stream]
                    stream.close_at_once()
                    return True
        return False

    def incomplete_since_us(self, stream: Stream) -> int | None:
        """Return since when a request is incomplete, or its answer unread; None while it is processed."""
        state, since = self.streams.get(stream, (ConnectionState.BUSY, 0))
        if stream.closing or (state is ConnectionState.BUSY and not stream.unsent):
            return None
        return since

    def close_for_memory(self, stream: Stream) -> None:
        """Close a connection because of the memory that its incomplete request takes."""
        self._count_close(ClientCloseReason.MEMORY)
        state, _ = self.streams.get(stream, (ConnectionState.LEAVING, 0))
        if state is not ConnectionState.LEAVING:  # that one has had its last answer
            stream.send_last(self.out_of_memory_answer)
        stream.close_at_once()

    async def _check_timeouts(self) -> None:
        checked_at, thread_time_s = self._now(), time.thread_time()
        while True:
            await pause(self.after, TIMEOUT_CHECK_INTERVAL_US)
            now, thread_time_now_s = self._now(), time.thread_time()
            lost_us = (
                now - checked_at - TIMEOUT_CHECK_INTERVAL_US - int((thread_time_now_s - thread_time_s) * 1e6)
            )
            checked_at, thread_time_s = now, thread_time_now_s
            if lost_us >= TIMEOUT_CHECK_INTERVAL_US:
                # Time in which this process neither waited nor was run does not count against clients.
                for stream, (state, since) in self.streams.items():
                    self.streams[stream] = state, min(now, since + lost_us)
            # Clients that may hold only a limited number of connections, and keep them idle, would have none
            # left for a request: they open a new one after an idle one is closed.
            crowded = len(self.streams) > self.max_connections * CROWDED_FRACTION
            for stream, (state, since) in list(self.streams.items()):
                if stream.closing or now - since < min(self.request_timeout_us, IDLE_EVICTION_AGE_US):
                    continue
                if stream.unread_beyond_buffer and stream not in self._paused:
                    continue
                if state is ConnectionState.RECEIVING and now - since >= self.request_timeout_us:
                    self._count_close(ClientCloseReason.REQUEST_TIMEOUT)
                    self.bad_input_warnings.warning(
                        "rejected the input of a client: the request did not arrive completely in time"
                    )
                    stream.send_last(self.timeout_answer)
                    stream.close_at_once()
                elif now - since >= self._silence_limit_us(state, crowded):
                    self._count_close(ClientCloseReason.IDLE)
                    stream.close_at_once()

    def _silence_limit_us(self, state: ConnectionState, crowded: bool) -> int:
        """Return for how long a connection in this state may be silent."""
        match state:
            case ConnectionState.NEW:
                return (
                    min(self.request_timeout_us, LEAVING_FIRST_BYTE_TIMEOUT_US)
                    if self.leaving
                    else self.request_timeout_us
                )
            case ConnectionState.IDLE:
                return IDLE_EVICTION_AGE_US if crowded else IDLE_TIMEOUT_US
            case _:
                return NO_TIMEOUT_US

    def _start_serving(self, stream: Stream) -> None:
        self.load_shedder.charge(CONNECTION_OVERHEAD_US)
        stream.on_resumed(lambda: self._restore_priority(stream))
        stream.on_received(lambda: self.input_memory.update(stream, self))
        self._set_priority(stream, ConnectionPriority.NEW_CLIENT)
        self._new_clients[stream], self._accept_cpu_us = self._accept_cpu_us + CONNECTION_OVERHEAD_US, 0.0
        self.set_state(stream, ConnectionState.NEW)
        self._start(self._serve(stream))

    async def _serve(self, stream: Stream) -> None:
        try:
            await CpuMeteredCoroutine(self.serve_connection(stream), lambda us: self._charge_cpu(stream, us))
        except (OSError, TimeoutError) as error:
            log.debug("client connection ended: %s", error)
        except Exception:
            log.exception("client connection failed with an unexpected error")
        finally:
            self.streams.pop(stream, None)
            self.input_memory.forget(stream)
            self._departures.forget(stream)
            used_us = self._new_clients.pop(stream, None)
            if used_us is not None and stream not in self._rejected:
                self.load_shedder.charge_wasted(used_us)
            self._rejected.discard(stream)
            stream.close_at_once()
            stream.release()

    def _charge_accepting(self, us: float) -> None:
        self._accept_cpu_us += us
        self.load_shedder.charge(us)

    def _charge_cpu(self, stream: Stream, us: float) -> None:
        if (used_us := self._new_clients.get(stream)) is not None:
            self._new_clients[stream] = used_us + us
            self.load_shedder.charge(us)
            self._set_priority(stream, ConnectionPriority.NEW_CLIENT, used_us + us)
            state = self.streams.get(stream, (ConnectionState.LEAVING, 0))[0]
            awaiting_request = state in (ConnectionState.NEW, ConnectionState.RECEIVING)
            if (
                awaiting_request
                and not stream.closing
                and self.load_shedder.exceeds_client_time(used_us + us)
            ):
                # Requests that arrive byte by byte would use up a full core.
                self._count_close(ClientCloseReason.PROCESSOR_TIME)
                self.bad_input_warnings.warning(
                    "rejected the input of a client: reading its request takes too much time"
                )
                stream.send_last(self.timeout_answer)
                stream.close_at_once()
            elif awaiting_request and self.load_shedder.should_read_slowly(used_us + us):
                self._pause_reading(stream)

    def _pause_reading(self, stream: Stream) -> None:
        """Pause reading, so that single bytes collect: the cost of kernel events for them is not metered."""
        if stream in self._paused or stream.closing:
            return
        self._paused.add(stream)
        stream.pause(PauseReason.SLOW_CLIENT)

        def resume_reading() -> None:
            self._paused.discard(stream)
            stream.resume(PauseReason.SLOW_CLIENT)

        self.after(READ_PAUSE_US, resume_reading)

    def _restore_priority(self, stream: Stream) -> None:
        """Set the priority anew: pausing has unregistered the socket, which reset it."""
        if (used_us := self._new_clients.get(stream)) is None:
            self._set_priority(stream, ConnectionPriority.CLIENT)
        else:
            self._set_priority(stream, ConnectionPriority.NEW_CLIENT, used_us)

    def _set_priority(self, stream: Stream, priority: ConnectionPriority, used_us: float = 0.0) -> None:
        if self._fair_selector is not None and (descriptor := stream.descriptor) >= 0:
            self._fair_selector.set_priority(descriptor, priority, used_us)

    def _count_close(self, reason: ClientCloseReason) -> None:
        self.exchange.metrics.closed_clients[reason] += 1

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        # Not a task that asyncio creates itself: it reports the cancellation of those as errors.
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _close_port(self) -> None:
        if self._accepting_task is not None:
            self._accepting_task.cancel()

    @staticmethod
    def _now() -> int:
        return int(asyncio.get_running_loop().time() * 1_000_000)
