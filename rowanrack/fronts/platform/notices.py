"""Notices to the platform: the ends of messages that were taken and are not delivered."""

from __future__ import annotations

import asyncio
import functools
import json
import logging
from collections.abc import Callable
from itertools import islice

from rowanrack.core.messages import End, Ending, Message
from rowanrack.net.http import CONNECT_US, FAILURES, Call, HttpCaller
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, Timer, pause, time_limit

log = logging.getLogger(__name__)

LINES = 3
HEADERS = (("Content-Type", "application/x-ndjson"),)
AGAIN_US = 100_000  # what is not confirmed by then goes out on the next line too: 300 ms late it is lost
TRY_US = 400_000  # for one try; then its line is given up
RETRY_US = 40_000
BATCH_MOST = 256


def notice_line(message_id: str, end: End) -> str:
    """One notice."""
    notice: dict[str, str | int] = {"message": message_id, "outcome": "given_up"}
    if end.ending is Ending.REFUSED:
        notice["outcome"] = "handed_back"
        if end.retry_us:
            notice["retry_in_ms"] = end.retry_us // 1000
    return json.dumps(notice)


class Line:
    """A connection for notices. While it stands idle, a notice is written on it in the call that tells it."""

    def __init__(self) -> None:
        self.caller: HttpCaller | None = None  # once it is open
        self.batch: dict[str, End] = {}  # what is written on it and not yet answered
        self.wanted = asyncio.Event()
        self.timer: Timer | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        """Whether a batch may be written on it now."""
        return self.caller is not None and not self.batch and self.caller.reusable

    def drop(self) -> dict[str, End]:
        """Close it, and return what it leaves unconfirmed."""
        if self.timer is not None:
            self.timer.cancel()
        if self.caller is not None:
            self.caller.stream.abort()
        left, self.batch, self.caller, self.timer = self.batch, {}, None, None
        return left


class Notices:
    """Sends every notice until the platform confirms it with 204.

    The first line stands open from the start, so that an end and its notice are one step: a loop that comes
    to everything late still tells in time. Further ones open while answers are awaited.
    """

    def __init__(self, host: str, port: int, after: After, confirmed: Callable[[str], None]) -> None:
        self._after, self._confirmed = after, confirmed
        self.pending: dict[str, End] = {}
        self._unsent: dict[str, End] = {}
        self._lines: list[Line] = []
        self._flushing: asyncio.Handle | None = None
        self.move(host, port)

    def move(self, host: str, port: int) -> None:
        """Send to this address from now on, what is pending or under way too: a notice twice does no harm."""
        self.close()
        self._host, self._port = host, port
        self._unsent = dict(self.pending)
        self._lines = [Line() for _ in range(LINES)]
        for line in self._lines:
            line.task = asyncio.create_task(self._run(line))
        self._lines[0].wanted.set()

    def close(self) -> None:
        """Send no more; a try that is under way ends, and what it told stays pending."""
        if self._flushing is not None:
            self._flushing.cancel()
            self._flushing = None
        for line in self._lines:
            if line.task is not None:
                line.task.cancel()
            line.drop()
        self._lines = []

    def ended(self, message: Message, end: End) -> None:
        """The exchange's listener: a message of this front has ended."""
        if end.ending in (Ending.REFUSED, Ending.FAILED):
            self.tell(message.id, end)

    def tell(self, message_id: str, end: End) -> None:
        """Queue a notice; `flush` sends it, in the loop's next turn at the latest."""
        self.pending[message_id] = self._unsent[message_id] = end
        if self._flushing is None:
            self._flushing = asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write what is queued on the lines that stand idle, now; the others take the rest later."""
        if self._flushing is not None:
            self._flushing.cancel()
            self._flushing = None
        for line in self._lines if self._unsent else ():
            if line.idle and line.caller is not None:
                line.batch = dict(islice(self._unsent.items(), BATCH_MOST))
                for message_id in line.batch:
                    del self._unsent[message_id]
                body = "\n".join(notice_line(i, e) for i, e in line.batch.items()) + "\n"
                line.caller.call_now(Call("POST", "/v1/outcomes", HEADERS, body.encode()))
                line.timer = self._after(AGAIN_US, functools.partial(self._tell_again, line))
                if not self._unsent:
                    return
        if self._unsent:
            for line in self._lines:
                line.wanted.set()

    def _tell_again(self, line: Line) -> None:
        """Send what a line leaves unconfirmed on another one, and wait for its answer a little longer.

        Guards against a line that is silently dead: its notices would come again only when it is given up.
        """
        if line.caller is not None:
            line.timer = self._after(TRY_US - AGAIN_US, line.caller.stream.abort)
        self._queue_again(line.batch)
        self.flush()

    def _queue_again(self, unconfirmed: dict[str, End]) -> None:
        """Queue notices ahead of the new ones, but for what another line has confirmed meanwhile."""
        left = {i: end for i, end in unconfirmed.items() if self.pending.get(i) is end}
        self._unsent = left | self._unsent

    async def _run(self, line: Line) -> None:
        """Keep a line for ever: open when it is wanted, and again after it has ended."""
        while True:
            await line.wanted.wait()
            line.wanted.clear()
            why = ""
            try:
                async with time_limit(self._after, CONNECT_US):
                    stream = await Stream.connect(self._host, self._port)
                where = f"{self._host}:{self._port}"
                line.caller = HttpCaller(stream, where, 4096, self._after)
                why = await self._talk(line, line.caller)
            except FAILURES as error:
                why = str(error) or type(error).__name__
            except Exception:
                log.exception("notices: a try failed")  # guards the task that sends notices
            left = line.drop()
            self._queue_again(left)
            if left or self._unsent:
                log.warning("notices: not confirmed: %s", why or "the connection ended")
                line.wanted.set()
                await pause(self._after, RETRY_US)

    async def _talk(self, line: Line, caller: HttpCaller) -> str:
        """Confirm one batch after the other, as they are written; returns why the line is of no more use."""
        self.flush()
        while True:
            await caller.stream.fill_quietly()  # the answer to a batch, or the end of the line
            if not line.batch:
                return ""
            reply = await caller.reply()
            if line.timer is not None:
                line.timer.cancel()
            if reply.status != 204:
                return f"answered {reply.status}"
            for message_id, end in line.batch.items():
                if self.pending.get(message_id) is end:
                    del self.pending[message_id]
                    self._unsent.pop(message_id, None)
                    self._confirmed(message_id)
            line.batch = {}
            if not caller.reusable:
                return ""
            self.flush()
