"""The retry-after waits in force: until when a destination, or one of its endpoints, must not be called.

No I/O and no clock: the current time is passed in.
"""

from __future__ import annotations

from rowanspindle.api import RetryAfterWait


class RetryAfterWaits:
    """The latest end of the waits that each destination, or single endpoint, has asked for."""

    def __init__(self) -> None:
        self._in_force: dict[int | str, RetryAfterWait] = {}

    def record(self, wait: RetryAfterWait, now: int) -> bool:
        """Record a wait; return whether it ends later than the known one. Waits that are over are dropped."""
        self._in_force = {scope: known for scope, known in self._in_force.items() if known.until > now}
        known = self._in_force.get(wait.scope)
        if wait.until <= now or (known is not None and known.until >= wait.until):
            return False
        self._in_force[wait.scope] = wait
        return True

    def until(self, dest: int, target: str) -> int:
        """Return when the last known wait of an endpoint ends; 0 if none is known."""
        waits = (self._in_force.get(dest), self._in_force.get(target))
        return max((wait.until for wait in waits if wait is not None), default=0)

    def drop_endpoint(self, target: str) -> None:
        """Forget the wait of a single endpoint: another one may reuse its name."""
        self._in_force.pop(target, None)

    def in_force(self, now: int) -> tuple[RetryAfterWait, ...]:
        """Return the waits that are not over."""
        return tuple(wait for wait in self._in_force.values() if wait.until > now)
