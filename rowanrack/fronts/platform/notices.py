"""Notices to the platform about messages that were accepted and ended without delivery."""

from __future__ import annotations

import asyncio
import functools
import json
import logging
from collections.abc import Callable
from itertools import islice

from rowanrack.core.messages import End, Ending, Message
from rowanrack.net.http import CALL_ERRORS, CONNECT_TIMEOUT_US, Call, HttpClientConnection
from rowanrack.net.stream import Stream
from rowanrack.net.timing import After, Timer, pause, time_limit

log = logging.getLogger(__name__)

CONNECTION_COUNT = 3
NOTICE_HEADERS = (("Content-Type", "application/x-ndjson"),)
# A notice not confirmed within this time is also sent on another connection; one 300 ms late is lost.
RESEND_AFTER_US = 100_000
ANSWER_TIMEOUT_US = 400_000  # the answer to a batch; after that its connection is closed
RECONNECT_DELAY_US = 40_000
MAX_BATCH_NOTICES = 256


def encode_notice(message_id: str, end: End) -> str:
    """Encode one notice as a line of JSON."""
    notice: dict[str, str | int] = {"message": message_id, "outcome": "given_up"}
    if end.ending is Ending.REFUSED:
        notice["outcome"] = "handed_back"
        if end.retry_us:
            notice["retry_in_ms"] = end.retry_us // 1000
    return json.dumps(notice)


class NoticeConnection:
    """A connection for one batch of notices. While it is idle, a notice is written to it without delay.

    It is opened anew after each batch, so that a late copy of a confirmation never confirms another batch.
    """

    def __init__(self) -> None:
        self.caller: HttpClientConnection | None = None  # None while the connection is not open
        self.batch: dict[str, End] = {}  # notices written and not yet confirmed
        self.needed = asyncio.Event()
        self.timer: Timer | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        """Whether a batch can be written to it now."""
        return self.caller is not None and not self.batch and self.caller.reusable

    def close(self) -> dict[str, End]:
        """Close the connection and return its unconfirmed notices."""
        if self.timer is not None:
            self.timer.cancel()
        if self.caller is not None:
            self.caller.stream.abort()
        unconfirmed, self.batch, self.caller, self.timer = self.batch, {}, None, None
        return unconfirmed


class Notices:
    """Sends every notice until the platform confirms it with 204.

    The first connection is opened at the start, so that a notice can be written in the step in which its
    message ends, in time even on an overloaded event loop. The others are opened while answers are awaited,
    and all of them again after each confirmation.
    """

    def __init__(self, host: str, port: int, after: After, on_confirmed: Callable[[str], None]) -> None:
        self._after, self._on_confirmed = after, on_confirmed
        self.pending: dict[str, End] = {}
        self._unsent: dict[str, End] = {}
        self._connections: list[NoticeConnection] = []
        self._flush_handle: asyncio.Handle | None = None
        self.move(host, port)

    def move(self, host: str, port: int) -> None:
        """Switch to another address and resend all pending notices there; duplicates are harmless."""
        self.close()
        self._host, self._port = host, port
        self._unsent = dict(self.pending)
        self._connections = [NoticeConnection() for _ in range(CONNECTION_COUNT)]
        for connection in self._connections:
            connection.task = asyncio.create_task(self._run(connection))
        self._connections[0].needed.set()

    def close(self) -> None:
        """Stop sending. Notices in transmission stay pending."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        for connection in self._connections:
            if connection.task is not None:
                connection.task.cancel()
            connection.close()
        self._connections = []

    def ended(self, message: Message, end: End) -> None:
        """Queue a notice if a message was refused or failed. Called by the exchange when a message ends."""
        if end.ending in (Ending.REFUSED, Ending.FAILED):
            self.queue_notice(message.id, end)

    def queue_notice(self, message_id: str, end: End) -> None:
        """Queue a notice, which `flush` sends in the next iteration of the event loop at the latest."""
        self.pending[message_id] = self._unsent[message_id] = end
        if self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write queued notices to the idle connections now; the rest are sent once connections are free."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
            self._flush_handle = None
        for connection in self._connections if self._unsent else ():
            if connection.idle and connection.caller is not None:
                connection.batch = dict(islice(self._unsent.items(), MAX_BATCH_NOTICES))
                for message_id in connection.batch:
                    del self._unsent[message_id]
                body = "\n".join(encode_notice(i, e) for i, e in connection.batch.items()) + "\n"
                connection.caller.call_now(Call("POST", "/v1/outcomes", NOTICE_HEADERS, body.encode()))
                connection.timer = self._after(RESEND_AFTER_US, functools.partial(self._resend, connection))
                if not self._unsent:
                    return
        if self._unsent:
            for connection in self._connections:
                connection.needed.set()

    def _resend(self, connection: NoticeConnection) -> None:
        """Resend the unconfirmed notices of a connection on another one, and wait longer for its answer.

        Without it the notices on a dead connection would be resent only once that is closed, too late.
        """
        if connection.caller is not None:
            connection.timer = self._after(
                ANSWER_TIMEOUT_US - RESEND_AFTER_US, connection.caller.stream.abort
            )
        self._requeue(connection.batch)
        self.flush()

    def _requeue(self, unconfirmed: dict[str, End]) -> None:
        """Queue notices ahead of new ones, except those that another connection has confirmed."""
        still_pending = {i: end for i, end in unconfirmed.items() if self.pending.get(i) is end}
        self._unsent = still_pending | self._unsent

    async def _run(self, connection: NoticeConnection) -> None:
        """Open the connection when it is needed and reopen it after it has ended, without end."""
        while True:
            await connection.needed.wait()
            connection.needed.clear()
            reason = ""
            try:
                async with time_limit(self._after, CONNECT_TIMEOUT_US):
                    stream = await Stream.connect(self._host, self._port)
                address = f"{self._host}:{self._port}"
                connection.caller = HttpClientConnection(stream, address, 4096, self._after)
                reason = await self._confirm_batch(connection, connection.caller)
            except CALL_ERRORS as error:
                reason = str(error) or type(error).__name__
            except Exception:
                log.exception("notices: sending failed unexpectedly")  # a defect must not end this task
            unconfirmed = connection.close()
            self._requeue(unconfirmed)
            if self._unsent:
                connection.needed.set()
            if unconfirmed or (reason and self._unsent):
                log.warning(
                    "notices: not confirmed, sending again: %s", reason or "the connection was closed"
                )
                await pause(self._after, RECONNECT_DELAY_US)

    async def _confirm_batch(self, connection: NoticeConnection, caller: HttpClientConnection) -> str:
        """Read the answer to a batch; return the reason why the batch is not confirmed."""
        self.flush()
        await caller.stream.wait_for_input()  # until the answer to a batch or the end of the connection
        if not connection.batch:
            return ""
        reply = await caller.reply()
        if connection.timer is not None:
            connection.timer.cancel()
        if reply.status != 204:
            return f"answered {reply.status}"
        for message_id, end in connection.batch.items():
            if self.pending.get(message_id) is end:
                del self.pending[message_id]
                self._unsent.pop(message_id, None)
                self._on_confirmed(message_id)
        connection.batch = {}
        connection.needed.set()
        return ""
