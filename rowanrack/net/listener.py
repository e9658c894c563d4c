"""A listening port and its connections: what the fronts' servers have in common.

What guards against bad clients stands here, once for all fronts: a limit on connections that silent ones
cannot use up, a time limit for a request that does not come whole, and a parting that lets the last answer
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
from rowanrack.load.load_shedder import Level
from rowanrack.load.metered import CpuMeteredCoroutine
from rowanrack.net.fair_scheduling import ConnectionPriority, FairSelector, fair_selector_of
from rowanrack.net.rare_log import RareLog
from rowanrack.net.stream import Stream, stream_protocol
from rowanrack.net.timing import After, pause, time_limit

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that wait in the kernel until there is room for them
OWED_US = 2_000_000  # for a request's first byte from a connection's opening, and for the rest from there
REST_US = 500_000  # for which a new connection may rest ahead of its first byte at no cost to its request
FIRST_US = 1_000_000  # for the first byte once this sender leaves, from the opening of a connection
IDLE_US = 60_000_000  # for which a connection may stand between requests
EVER_US = 1 << 62
LOOK_US = 250_000  # between looks at these limits
SPARED_US = 200_000  # a connection that owes a request so long may have to make room for another
KEPT_US = 250_000  # and one between requests after so long, the one that is unused longest first
CROWDED = 0.4  # part of all connections from which idle ones are closed ahead of need
AT_ONCE = 16  # connections that are taken in one turn of the loop
PIECES_US = 200_000  # for which a request that comes in small pieces is left to the kernel
FULL_US = 20_000  # between looks for room
CONNECTION_US = 60.0  # that the loop itself uses for a connection, from its transport to its end: measured
LINGER_US = 1_000_000  # for which a connection stays after its last answer, for the client to close it
LINGER_BYTES = 1 << 20  # read and dropped meanwhile


class State(Enum):
    """What a connection is at."""

    NEW = "new"  # nothing has come yet
    OWING = "owing"  # a part of a request has come
    BUSY = "busy"  # its request is being answered
    IDLE = "idle"  # between requests
    LEAVING = "leaving"  # its last answer is written


async def readable(opened: socket.socket) -> None:
    """Wait until a connection stands ready on a port.

    Unlike `loop.sock_accept` it takes none: a cancellation could come between that and its caller's next
    step, and the connection would be closed with its request unanswered.
    """
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()

    def wake() -> None:
        if not ready.done():
            ready.set_result(None)

    loop.add_reader(opened, wake)
    try:
        await ready
    finally:
        loop.remove_reader(opened)


def has_left(accepted: socket.socket) -> bool:
    """Whether a client has gone again without a word; its socket is then closed.

    Guards the loop against clients that connect and leave: a transport and a task cost ten times this.
    """
    try:
        left = not accepted.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        left = False  # it is there, and has said nothing yet
    except OSError:
        left = True
    if left:
        accepted.close()
    return left


class Listener(ABC):
    """Serves each connection until it ends; a failure ends only its own connection."""

    too_slow = b""  # what a client hears whose request does not come whole in time
    shared = False  # whether the port is shared with the next process at a hot restart
    owed_us, spared_us = OWED_US, SPARED_US

    def __init__(self, most: int, exchange: Exchange) -> None:
        self.most, self.exchange = most, exchange
        self.after: After = exchange.after
        self.load_shedder = exchange.load_shedder
        self.streams: dict[Stream, tuple[State, int]] = {}  # each with the time; the latest change comes last
        self.draining = self._ended = False
        self.lame = False  # in lame duck: connections end after their answer, the port stays open
        self.port = 0
        self._accepting_task: asyncio.Task[None] | None = None
        self._connecting: set[asyncio.Task[None]] = set()  # connections that are taken and no streams yet
        self._tasks: set[asyncio.Task[None]] = set()
        self._rare = RareLog(log)
        self._bad = RareLog(log)
        self._penalties = 0
        self._turns: FairSelector | None = None
        self._strangers: dict[Stream, float] = {}  # without a good request: microseconds used by each so far
        self._later: set[Stream] = set()  # those that are not read for a while
        self._told_off: set[Stream] = set()  # those whose input was bad
        self._accepting_us = 0.0  # used for connections since the last one was taken

    @abstractmethod
    async def talk(self, stream: Stream) -> None:
        """Serve one connection, and `mark` what it is at; return to close it."""

    def mark(self, stream: Stream, state: State) -> None:
        """A connection is at something else. An answer to a good request makes it no stranger any more."""
        self.exchange.run_overdue_round()
        if state is State.IDLE and (used := self._strangers.pop(stream, None)) is not None:
            self.load_shedder.spent(-used)
            self._rank(stream, ConnectionPriority.CLIENT)
        was, since = self.streams.get(stream, (None, 0))
        if was is state:
            return
        now = self._now()
        # Guards the end of a bad input, which is owed in a time from connecting, against a late first byte.
        since = min(now, since + REST_US) if was is State.NEW and state is State.OWING else now
        self.streams.pop(stream, None)
        self.streams[stream] = state, since

    @property
    def leaving(self) -> bool:
        """Whether connections end between requests: this sender ends, or is in lame duck."""
        return self.draining or self.lame

    @property
    def gone(self) -> bool:
        """Whether the port is closed and every connection has ended, also those that were just coming."""
        accepting = self._accepting_task is not None and not self._accepting_task.done()
        return not (accepting or self._connecting or self.streams)

    def may_leave(self, stream: Stream) -> bool:
        """Whether a connection between requests is to end now.

        Guards a request that has come and is not read: a close would reset the connection, and might take the
        last answer with it. Guards the first request of a new connection, which may be on its way.
        """
        state, _ = self.streams.get(stream, (State.LEAVING, 0))
        return self.leaving and state is not State.NEW and not stream.unread

    async def listen(self, host: str, port: int) -> None:
        """Open the port; with 0 the system chooses one."""
        family, _, _, _, address = (await asyncio.get_running_loop().getaddrinfo(host, port))[0]
        opened = socket.socket(family, socket.SOCK_STREAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.shared:  # a hot restart: the next process listens beside this one before it leaves
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            opened.bind(address)
        except OSError:
            opened.close()
            raise
        self.port = opened.getsockname()[1]
        self.serve_on(opened)

    def serve_on(self, opened: socket.socket) -> None:
        """Serve on a socket that is bound."""
        opened.listen(BACKLOG)
        self._turns = fair_selector_of(asyncio.get_running_loop())
        if self._turns is not None:
            self._turns.keeper = self.load_shedder
        opened.setblocking(False)
        accepting = self._start(self._accepting(opened))
        # Not before: until its cancelling has run, the loop still watches the socket's number.
        accepting.add_done_callback(lambda _: self._port_closes(opened))
        self._accepting_task = accepting
        self._start(self._looking())

    def lameduck(self, on: bool) -> None:
        """Begin or end a lame duck: while it lasts, each connection ends once it is between requests."""
        self.lame = on
        if on:
            self._close_between()

    def _close_between(self) -> None:
        for stream, (state, _) in list(self.streams.items()):
            if state is State.IDLE and not stream.unread:
                stream.close_at_once()

    def drain(self) -> None:
        """Take in what waits at the port and close it, and each connection once it is between requests."""
        self.draining = True
        self._close_port()
        self._close_between()

    def close(self) -> None:
        """Close the port and all connections."""
        self._ended = True
        self._close_port()
        for task in self._tasks:
            task.cancel()

    async def farewell(self, stream: Stream, last: bytes, why: str) -> None:
        """Answer bad input, and part.

        Guards against clients that come back as soon as they are turned away: the answer is a little late.
        Guards the answer itself: closing with bytes unread would reset the connection and destroy it. So only
        our sending ends, and what still comes is read and dropped, for a while.
        """
        self._bad.warning("a client's input is refused: %s", why)
        self._strangers.setdefault(stream, 0.0)
        self._told_off.add(stream)
        self._rank(stream, ConnectionPriority.NEW_CLIENT)
        self.mark(stream, State.BUSY)
        if self._penalties < self.load_shedder.penalties(self.most):
            self._penalties += 1
            try:
                await pause(self.after, self.load_shedder.penalty_us)
            finally:
                self._penalties -= 1
        await stream.send(last)
        self.mark(stream, State.LEAVING)
        stream.end_sending()
        with suppress(TimeoutError):
            async with time_limit(self.after, LINGER_US):
                left = LINGER_BYTES if self.load_shedder.level is Level.CALM else 0  # reading costs, too
                while left > 0 and (gone := await stream.skip()):
                    left -= gone
                if left <= 0:  # let it wait for us, rather than read at its pace
                    await pause(self.after, LINGER_US)

    # Room, and time.

    async def _accepting(self, opened: socket.socket) -> None:
        await CpuMeteredCoroutine(self._accept_for_ever(opened), self._charge_accepting)

    async def _accept_for_ever(self, opened: socket.socket) -> None:
        while True:
            try:
                while len(self.streams) >= self.most and not self._make_room():
                    at = Counter(state.value for state, _ in self.streams.values())
                    what = ", ".join(f"{count} {state}" for state, count in sorted(at.items()))
                    self._rare.warning("%d clients are connected (%s), others wait", self.most, what)
                    await pause(self.after, FULL_US)
                self.exchange.run_overdue_round()
                if wait_us := self.load_shedder.pace_us(self._now()):
                    await pause(self.after, wait_us)
                # Guards new clients of a full core, whose turns are long, against one connection a turn.
                batch = self._ready(opened, AT_ONCE)
                if not batch:
                    await readable(opened)
                    continue
                taken = [accepted for accepted in batch if not has_left(accepted)]
                if len(taken) < len(batch):
                    wasted = self._accepting_us * (1 - len(taken) / len(batch))
                    self._accepting_us -= wasted
                    self.load_shedder.wasted(wasted)
                if connecting := self._connect_all(taken):
                    await asyncio.wait(connecting)  # a cancellation leaves them to go on
                # Guards the loop against clients that leave as fast as they come: neither accepting nor
                # gathering waits then.
                await asyncio.sleep(0)
            except OSError as error:
                # Guards the port against a client that is gone again, and against a lack of descriptors.
                self._rare.warning("a connection was not accepted: %s", error.strerror or error)
                await pause(self.after, FULL_US)

    def _ready(self, opened: socket.socket, most: int) -> list[socket.socket]:
        """Connections that stand ready, while there is room and strangers keep to their share."""
        batch: list[socket.socket] = []
        # Those that a drain has just closed are gone in the loop's next turns.
        here = sum(not stream.closing for stream in self.streams) if self.draining else len(self.streams)
        room = min(most, self.most - here)
        while len(batch) < room:
            if batch and not self.draining and self.load_shedder.pace_us(self._now()):
                break
            try:
                accepted, _ = opened.accept()
            except (BlockingIOError, InterruptedError):
                break
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # Guards those that are accepted already against a lack of descriptors for the next one.
                if not batch:
                    raise
                self._rare.warning("a connection was not accepted: %s", error.strerror or error)
                break
            accepted.setblocking(False)
            batch.append(accepted)
        return batch

    def _port_closes(self, opened: socket.socket) -> None:
        """Close the port. What stands ready there is taken in first, unless all ends.

        Guards connections that the kernel has taken, some with their request: the port's end resets them.
        """
        if self.draining and not self._ended:
            with suppress(OSError):
                ready = self._ready(opened, BACKLOG)
                self._connect_all(accepted for accepted in ready if not has_left(accepted))
        opened.close()

    def _connect_all(self, batch: Iterable[socket.socket]) -> list[asyncio.Task[None]]:
        """Make streams of accepted connections, beside whoever waits for that."""
        started = [self._start(self._connect(accepted)) for accepted in batch]
        for task in started:
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
        return started

    async def _connect(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await CpuMeteredCoroutine(self._made(loop, accepted), self._charge_accepting)
        except OSError as error:
            self._rare.warning("a connection was not accepted: %s", error.strerror or error)

    async def _made(self, loop: asyncio.AbstractEventLoop, accepted: socket.socket) -> None:
        try:
            await loop.connect_accepted_socket(lambda: stream_protocol(self._accept), accepted)
        except BaseException:
            accepted.close()
            raise

    def _make_room(self) -> bool:
        """Part with a connection that nobody misses: silent ones must not keep the usual clients out."""
        now = self._now()
        # One that has been answered is missed less than one whose first request may be on its way, and that
        # less than one of whose request a part has come.
        spared = (
            (State.LEAVING, 0),
            (State.IDLE, KEPT_US),
            (State.NEW, self.spared_us),
            (State.OWING, self.spared_us),
        )
        for state, least_us in spared:
            for stream, (at, since) in self.streams.items():
                if now - since < least_us:
                    break  # and those behind it are younger
                # Guards a request that has come in and is not read yet.
                if at is state and (state is State.LEAVING or not stream.unread_outside):
                    del self.streams[stream]
                    stream.close_at_once()
                    return True
        return False

    async def _looking(self) -> None:
        looked, used = self._now(), time.thread_time()
        while True:
            await pause(self.after, LOOK_US)
            now, uses = self._now(), time.thread_time()
            lost = now - looked - LOOK_US - int((uses - used) * 1e6)
            looked, used = now, uses
            if lost >= LOOK_US:
                # Guards clients against time in which we neither waited for them nor were run.
                for stream, (state, since) in self.streams.items():
                    self.streams[stream] = state, min(now, since + lost)
            # Guards clients that may hold only so many connections, and get new ones as we close idle ones.
            crowded = len(self.streams) > self.most * CROWDED
            for stream, (state, since) in list(self.streams.items()):
                if stream.closing or now - since < min(self.owed_us, KEPT_US):
                    continue
                if stream.unread_outside and stream not in self._later:
                    continue
                if state is State.OWING and now - since >= self.owed_us:
                    self._bad.warning("a client's input is refused: it does not come whole in time")
                    stream.send_last(self.too_slow)
                    stream.close_at_once()
                elif now - since >= self._silent_us(state, crowded):
                    stream.close_at_once()

    def _silent_us(self, state: State, crowded: bool) -> int:
        """For how long a connection may say nothing."""
        match state:
            case State.NEW:
                return min(self.owed_us, FIRST_US) if self.leaving else self.owed_us
            case State.IDLE:
                return KEPT_US if crowded else IDLE_US
            case _:
                return EVER_US

    def _accept(self, stream: Stream) -> None:
        self.load_shedder.spent(CONNECTION_US)
        self._rank(stream, ConnectionPriority.NEW_CLIENT)
        self._strangers[stream], self._accepting_us = self._accepting_us + CONNECTION_US, 0.0
        self.mark(stream, State.NEW)
        self._start(self._serve(stream))

    async def _serve(self, stream: Stream) -> None:
        try:
            await CpuMeteredCoroutine(self.talk(stream), lambda us: self._charge(stream, us))
        except (OSError, TimeoutError) as gone:
            log.debug("a client went away: %s", gone)
        except Exception:
            log.exception("a client's connection failed")
        finally:
            self.streams.pop(stream, None)
            used = self._strangers.pop(stream, None)
            if used is not None and stream not in self._told_off:
                self.load_shedder.wasted(used)
            self._told_off.discard(stream)
            stream.close_at_once()

    def _charge_accepting(self, us: float) -> None:
        self._accepting_us += us
        self.load_shedder.spent(us)

    def _charge(self, stream: Stream, us: float) -> None:
        if (used := self._strangers.get(stream)) is not None:
            self._strangers[stream] = used + us
            self.load_shedder.spent(us)
            self._rank(stream, ConnectionPriority.NEW_CLIENT, used + us)
            state = self.streams.get(stream, (State.LEAVING, 0))[0]
            asking = state in (State.NEW, State.OWING)
            if asking and not stream.closing and self.load_shedder.used_up(used + us):
                # Guards a full core against requests that come in by single bytes.
                self._bad.warning("a client's input is refused: its request takes too much time to read")
                stream.send_last(self.too_slow)
                stream.close_at_once()
            elif asking and self.load_shedder.in_pieces(used + us):
                self._read_later(stream)

    def _read_later(self, stream: Stream) -> None:
        """Guards a full core against single bytes: what the kernel's events for them cost is not metered."""
        if stream in self._later or stream.closing:
            return
        self._later.add(stream)
        stream.pause()

        def read_again() -> None:
            self._later.discard(stream)
            stream.resume()
            if stream in self._strangers:  # whose rank went with the watch on it
                self._rank(stream, ConnectionPriority.NEW_CLIENT, self._strangers[stream])

        self.after(PIECES_US, read_again)

    def _rank(self, stream: Stream, rank: ConnectionPriority, used_us: float = 0.0) -> None:
        if self._turns is not None and (descriptor := stream.descriptor) >= 0:
            self._turns.rank(descriptor, rank, used_us)

    def _start(self, serving: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        # A task of our own: asyncio reports the cancelling of its own ones as errors.
        task = asyncio.create_task(serving)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _close_port(self) -> None:
        if self._accepting_task is not None:
            self._accepting_task.cancel()

    @staticmethod
    def _now() -> int:
        return int(asyncio.get_running_loop().time() * 1_000_000)
