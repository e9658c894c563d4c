"""Lists of an older version than one that was received before.

A replica that lags behind gives them, and so does a service that has begun to count its versions anew, whose
list is current. Which of both it is cannot be told at once, only by how long it lasts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rowanrack.core.messages import Endpoint
from rowanspindle import EndpointStatus, UpdateScope

# For which versions may stay below the newest one until they count as begun anew.
MAX_LAG_US = 30_000_000


class VersionCheck:
    """Tells whether a list is outdated by its version."""

    def __init__(self, version: int = 0) -> None:
        self.newest = version
        self._outdated_since_us: int | None = None

    def is_outdated(self, version: int, now_us: int) -> bool:
        """Return whether a list of this version is outdated, and note the version if it is not."""
        if version < self.newest:
            if self._outdated_since_us is None:
                self._outdated_since_us = now_us
            if now_us - self._outdated_since_us < MAX_LAG_US:
                return True
        self.newest, self._outdated_since_us = version, None
        return False


@dataclass(frozen=True, slots=True)
class CheckedList:
    """The endpoints of a list as they are in force, and whether the list was outdated."""

    endpoints: list[Endpoint]
    is_outdated: bool


class EndpointHistory:
    """What the newest list of a source says of its endpoints, and which ones have been removed.

    By an outdated list an endpoint may be closed to new messages, but none is opened that a newer list has
    closed: both may be right, and its address may belong to an endpoint of another destination by now.
    """

    def __init__(self, version: int = 0) -> None:
        self._versions = VersionCheck(version)
        self._newest: dict[str, Endpoint] = {}
        self._removed_at_us: dict[str, int] = {}  # in order of time

    @property
    def newest_version(self) -> int:
        """The version of the newest list."""
        return self._versions.newest

    def check(
        self, scope: UpdateScope, version: int, endpoints: Iterable[Endpoint], now_us: int
    ) -> CheckedList:
        """Check a list of all endpoints or of the changed ones, and remember it unless it is outdated."""
        listed = list(endpoints)
        self._forget_old_removals(now_us)
        if self._versions.is_outdated(version, now_us):
            known = [e for e in listed if e.name not in self._removed_at_us]
            return CheckedList([self._combine(endpoint) for endpoint in known], True)
        self._remember(scope, listed, now_us)
        return CheckedList(listed, False)

    def remove_all(self, now_us: int) -> None:
        """Remove all endpoints: only a list that is newer than the newest one may bring them back."""
        if self._newest:
            self._versions.newest += 1
            self._remember(UpdateScope.FULL, [], now_us)

    def forgettable(self, now_us: int) -> bool:
        """Return whether there is nothing left to remember."""
        self._forget_old_removals(now_us)
        return not self._newest and not self._removed_at_us

    def _remember(self, scope: UpdateScope, listed: list[Endpoint], now_us: int) -> None:
        if scope is UpdateScope.FULL:
            for name in self._newest.keys() - {endpoint.name for endpoint in listed}:
                self._remove(name, now_us)
        for endpoint in listed:
            if endpoint.status is EndpointStatus.REMOVED:
                self._remove(endpoint.name, now_us)
            else:
                self._newest[endpoint.name] = endpoint
                self._removed_at_us.pop(endpoint.name, None)

    def _remove(self, name: str, now_us: int) -> None:
        self._newest.pop(name, None)
        self._removed_at_us.pop(name, None)
        self._removed_at_us[name] = now_us  # behind earlier ones

    def _forget_old_removals(self, now_us: int) -> None:
        while self._removed_at_us:
            name, removed_at_us = next(iter(self._removed_at_us.items()))
            if now_us - removed_at_us < MAX_LAG_US:
                return
            del self._removed_at_us[name]

    def _combine(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint of an outdated list, open to messages only if the newest list agrees."""
        if endpoint.status is EndpointStatus.REMOVED:
            return endpoint
        newest = self._newest.get(endpoint.name, endpoint)
        is_same = newest.dest == endpoint.dest and newest.is_same_process(endpoint)
        if is_same and endpoint.status is EndpointStatus.LISTED:
            return newest
        return replace(newest, status=EndpointStatus.DRAINING)
