"""Watches the endpoint list of the platform's discovery service for changes."""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress

from rowanrack.core.exchange import Exchange
from rowanrack.core.outdated_lists import EndpointHistory
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.fronts.platform.server_list import ListError, ServerList, read_list
from rowanrack.net.http import CALL_ERRORS, BadReplyError, SlowReplyError
from rowanrack.net.service_client import ServiceClient
from rowanrack.net.timing import pause, time_limit
from rowanspindle import UpdateScope

log = logging.getLogger(__name__)

# How long a watch call may block. A connection that dies silently is noticed only after this time.
WATCH_WAIT_MS = 10_000
# Shorter wait for the first call to a new address or after a failure, which may remain unanswered, too.
SHORT_WATCH_WAIT_MS = 1_000
# Time beyond the wait within which an answer must begin: a change counts as known 2 s after the wait.
ANSWER_GRACE_US = 1_000_000
# After a move, failures are not counted for this time: a change counts as known 4 s after the move.
MOVE_TOLERANCE_US = 4_000_000
RETRY_DELAY_US = 100_000  # between calls after a move, and after an early answer without changes
# Limits of the wait at start-up for the first list to begin, where lists are pushed, and for the rest of it.
FIRST_LIST_TIMEOUT_US, FIRST_LIST_REST_TIMEOUT_US = 1_000_000, 3_000_000
MAX_LIST_BYTES = 4 << 20


def failure_count(error: Exception) -> int:
    """Return the number of failures that a call counts as: the watch ends after two in a row."""
    if isinstance(error, SlowReplyError):
        return 0  # discovery can be reached, and the call took seconds already
    if isinstance(error, BadReplyError) and error.status != 200:
        return 2  # discovery is overloaded, so end now and let the module request the list later
    return 1


class DiscoveryWatch:
    """Follows discovery's list, once the decision module has requested it, until it gives up.

    It gives up after a 503 or two failures in a row. A change counts as known to the sender once discovery
    has written it, even if it was not received, so the next call follows any other failure at once. Where
    lists are pushed, a process gets the current list before it serves (`wait_for_first_list`).
    """

    def __init__(self, exchange: Exchange, host: str, port: int, seq: int, pushed: bool = False) -> None:
        self.exchange, self.seq, self._pushed = exchange, seq, pushed
        self._http = ServiceClient(exchange.after, host, port, MAX_LIST_BYTES)
        self._task: asyncio.Task[None] | None = None
        self._moved_at_us: int | None = None
        self._next_may_fail = False  # whether the next call may fail, too, and gets a shorter wait
        # Whether the last answer may be outdated or corrupted, so that the full list is requested.
        self._needs_full_list = False
        self._history = EndpointHistory(seq)
        self._is_outdated = False  # whether the list in force is an outdated one
        self._first_call_done = asyncio.Event()
        self._limited_warnings = RateLimitedLog(log)
        self.failures_since_move = 0

    def start(self) -> None:
        """Start the watch unless it runs. Called when the decision module requests the list."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._follow())

    async def wait_for_first_list(self) -> None:
        """Start the watch and wait for the first list or a failure, for a limited time."""
        self.start()
        await self._wait_for_first_call(FIRST_LIST_TIMEOUT_US)
        if self._http.receiving:
            await self._wait_for_first_call(FIRST_LIST_REST_TIMEOUT_US)

    async def _wait_for_first_call(self, limit_us: int) -> None:
        with suppress(TimeoutError):
            async with time_limit(self.exchange.after, limit_us):
                await self._first_call_done.wait()

    def move(self, host: str, port: int) -> None:
        """Switch to another address and continue from the version that was last applied."""
        self.close()
        self._http = ServiceClient(self.exchange.after, host, port, MAX_LIST_BYTES)
        self._moved_at_us, self._next_may_fail = self.exchange.clock.now_us(), True
        self._task = asyncio.create_task(self._follow())

    def close(self) -> None:
        """Stop the watch."""
        if self._task is not None:
            self._task.cancel()
        self._http.close()

    async def _follow(self) -> None:
        failures = self.failures_since_move = 0
        # After a failure the next call follows at once: one within 200 ms continues the same watch.
        while failures < 2:
            new_failures = await self._try_call()
            failures = failures + new_failures if new_failures else 0
            if failures and self._recently_moved():
                failures, self.failures_since_move = 0, self.failures_since_move + 1
                await pause(self.exchange.after, RETRY_DELAY_US)
        self._first_call_done.set()
        self.exchange.update_endpoints(UpdateScope.FAILED, ())

    async def _try_call(self) -> int:
        """Make one call; return the number of failures that it counts as, 0 if the next may follow."""
        try:
            await self._call()
            return 0
        except (*CALL_ERRORS, ListError) as error:
            self._next_may_fail = True
            self._limited_warnings.warning(
                "discovery: the watch call failed: %s", str(error) or type(error).__name__
            )
            return failure_count(error)
        except Exception:
            # Caught so that a defect does not end this task unnoticed.
            self._next_may_fail = True
            log.exception("discovery: the watch call failed unexpectedly")
            return 1

    def _recently_moved(self) -> bool:
        """Whether failures are not counted yet after a move.

        A new address may start to listen late, and after a failed watch the module waits for seconds.
        """
        now = self.exchange.clock.now_us()
        return self._moved_at_us is not None and now - self._moved_at_us < MOVE_TOLERANCE_US

    async def _call(self) -> None:
        """Make one call and apply its answer. Raises one of CALL_ERRORS, or ListError."""
        wait_ms = SHORT_WATCH_WAIT_MS if self._next_may_fail else WATCH_WAIT_MS
        if self._pushed and not self._first_call_done.is_set():
            wait_ms = 0
        called_at = self.exchange.clock.now_us()
        requests_full_list = self._needs_full_list
        target = "/v1/servers" if requests_full_list else f"/v1/servers?index={self.seq}&wait={wait_ms}"
        _, document = await self._http.get_json(target, wait_ms * 1000 + ANSWER_GRACE_US)
        has_changes = self._apply(read_list(document))
        if self._needs_full_list and not requests_full_list:
            self._next_may_fail = True  # the full list is sent without a wait, so silence means a failure
            return
        self._next_may_fail = False
        self._first_call_done.set()
        # Avoids a busy loop if discovery answers without waiting; a call within 200 ms continues the watch.
        if not has_changes and self.exchange.clock.now_us() - called_at < wait_ms * 1000:
            await pause(self.exchange.after, RETRY_DELAY_US)

    def _apply(self, server_list: ServerList) -> bool:
        """Apply a list and then record its version. Returns whether the list had changes."""
        self._needs_full_list = self._must_confirm(server_list)
        if self._needs_full_list:
            return False
        if server_list.entry_errors:
            count, first = len(server_list.entry_errors), server_list.entry_errors[0]
            self._limited_warnings.warning(
                "discovery: %d entries left out, they cannot be parsed: %s", count, first
            )
        self._update_endpoints(server_list)
        previous_seq, self.seq = self.seq, server_list.seq
        return server_list.seq > previous_seq and bool(server_list.entries)

    def _update_endpoints(self, server_list: ServerList) -> None:
        newest_seq, now_us = self._history.newest_version, self.exchange.clock.now_us()
        checked = self._history.check(server_list.scope, server_list.seq, server_list.entries, now_us)
        if checked.is_outdated:
            self._limited_warnings.warning(
                "discovery: the list is outdated, its version %d is lower than %d: it opens no endpoint that"
                " has been closed",
                server_list.seq,
                newest_seq,
            )
        self.exchange.update_endpoints(server_list.scope, checked.endpoints)
        # Changes do not tell of endpoints that the outdated list could not open.
        is_still_partial = self._is_outdated and server_list.scope is UpdateScope.DELTA
        self._needs_full_list = is_still_partial and not checked.is_outdated
        self._is_outdated = checked.is_outdated

    def _must_confirm(self, server_list: ServerList) -> bool:
        """Whether the full list must be requested before an answer is applied; that list is then trusted.

        An answer with a lower version may be outdated, or discovery has restarted its version count, so that
        changes since our version are unknown. An entry that cannot be parsed may be corrupted in transit.
        """
        if self._needs_full_list and server_list.scope is UpdateScope.FULL:
            return False
        if server_list.seq < self.seq:
            reason = f"version {server_list.seq} is lower than the last one, {self.seq}"
        elif server_list.entry_errors:
            reason = f"an entry cannot be parsed: {server_list.entry_errors[0]}"
        else:
            return False
        self._limited_warnings.warning("discovery: requesting the full list: %s", reason)
        return True
