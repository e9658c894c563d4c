"""Finds out whether a client has closed its connection while requests of its are unread.

The end of a client's sending does not tell whether it still reads its answers. One that does confirms the
next answer; one that has closed resets the connection when that arrives.
"""

from __future__ import annotations

from rowanrack.net.stream import PeerState, Stream
from rowanrack.net.timing import After, pause

CONFIRMATION_TIMEOUT_US = 1_000_000  # after which a client that has not confirmed its answer counts as gone
CHECK_INTERVAL_US = 10_000


class DepartureCheck:
    """Checks clients before each of their requests; the second one behind the end of sending may wait."""

    def __init__(self, after: After) -> None:
        self._after = after
        # Streams whose client has finished sending, and whether it has confirmed an answer since.
        self._finished: dict[Stream, bool] = {}

    async def has_left(self, stream: Stream) -> bool:
        """Return whether the client has closed its connection."""
        state = stream.peer_state
        if state is PeerState.FINISHED_SENDING and stream not in self._finished:
            self._finished[stream] = False
        elif state is PeerState.FINISHED_SENDING and not self._finished[stream]:
            state = await self._wait_for_confirmation(stream)
            self._finished[stream] = True
        return state is PeerState.GONE

    def forget(self, stream: Stream) -> None:
        """Forget a connection that has ended."""
        self._finished.pop(stream, None)

    async def _wait_for_confirmation(self, stream: Stream) -> PeerState:
        """Wait until the client confirms its last answer; one that does not in time counts as gone."""
        for _ in range(CONFIRMATION_TIMEOUT_US // CHECK_INTERVAL_US):
            state = stream.peer_state
            if state is PeerState.GONE or not stream.unacknowledged_bytes:
                return state
            await pause(self._after, CHECK_INTERVAL_US)
        return PeerState.GONE
