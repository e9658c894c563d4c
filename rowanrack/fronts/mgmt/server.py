"""The listener of the management front: one call a connection, then the connection closes."""

from __future__ import annotations

from rowanrack.core.exchange import Exchange
from rowanrack.fronts.mgmt.calls import Operations, answer_in_time, plain
from rowanrack.net.http import TOO_SLOW, HttpError, HttpServed
from rowanrack.net.listener import Listener, State
from rowanrack.net.stream import Stream

CALLERS_MOST = 64  # connections of operators at once; silent ones make room for the newest
BODY_MOST = 64 * 1024  # a layout of hundreds of sites
OWED_US = 900_000  # for a whole call; a caller that holds its connection longer hears 408


class ManagementServer(Listener):
    """Answers operators' calls; bad or late input ends only its own connection, with a 4xx."""

    too_slow = TOO_SLOW
    owed_us = OWED_US
    spared_us = 100_000

    def __init__(self, exchange: Exchange, ops: Operations) -> None:
        super().__init__(CALLERS_MOST, exchange)
        self.ops = ops

    async def talk(self, stream: Stream) -> None:
        """Read one call, answer it, and close."""
        served = HttpServed(stream, BODY_MOST)
        try:
            request = await served.receive(lambda: self.mark(stream, State.OWING))
        except HttpError as bad:
            await self.farewell(stream, served.wire(plain(bad.status, str(bad))), str(bad))
            return
        if request is None:
            return
        self.mark(stream, State.BUSY)
        await served.answer(await answer_in_time(request, self.ops))
        self.mark(stream, State.IDLE)  # a caller, no stranger: it is not held back under load
