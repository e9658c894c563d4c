"""Notices to the platform: the ends of messages that were taken and are not delivered."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from rowanrack.core.messages import End, Ending, Message
from rowanrack.net.http import FAILURES, Call, HttpLine
from rowanrack.net.timing import After, pause, time_limit

log = logging.getLogger(__name__)

TRY_US = 400_000  # for one try: a lost notice must come again before the message counts as lost
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


class Notices:
    """Sends every notice until the platform confirms it with 204."""

    def __init__(self, host: str, port: int, after: After, confirmed: Callable[[str], None]) -> None:
        self._after, self._confirmed = after, confirmed
        self.pending: dict[str, End] = {}
        self._news = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.move(host, port)

    def move(self, host: str, port: int) -> None:
        """Send to this address from now on, what is pending or under way too: a notice twice does no harm."""
        self.close()
        self._line = HttpLine(self._after, host, port, 4096)
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Send no more; a try that is under way ends, and what it told stays pending."""
        if self._task is not None:
            self._task.cancel()
            self._line.close()

    def ended(self, message: Message, end: End) -> None:
        """The exchange's listener: a message of this front has ended."""
        if end.ending in (Ending.REFUSED, Ending.FAILED):
            self.tell(message.id, end)

    def tell(self, message_id: str, end: End) -> None:
        """Queue a notice."""
        self.pending[message_id] = end
        self._news.set()

    async def _run(self) -> None:
        """Send what is queued, for ever."""
        while True:
            await self._news.wait()
            batch = dict(list(self.pending.items())[:BATCH_MOST])
            if not batch:
                self._news.clear()
                continue
            if await self._send("\n".join(notice_line(i, e) for i, e in batch.items()) + "\n"):
                for message_id in batch:
                    self.pending.pop(message_id, None)
                    self._confirmed(message_id)
            else:
                await pause(self._after, RETRY_US)

    async def _send(self, lines: str) -> bool:
        headers = (("Content-Type", "application/x-ndjson"),)
        try:
            async with time_limit(self._after, TRY_US):
                reply = await self._line.call(Call("POST", "/v1/outcomes", headers, lines.encode()))
        except FAILURES as error:
            log.warning("notices: not confirmed: %s", str(error) or type(error).__name__)
            return False
        except Exception:
            # Guards the task that sends all notices.
            log.exception("notices: a try failed")
            return False
        if reply.status != 204:
            log.warning("notices: answered %d", reply.status)
        return reply.status == 204
