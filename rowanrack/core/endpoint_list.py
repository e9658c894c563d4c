"""The endpoint list: all endpoints that the discovery sources currently report."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rowanrack.core.messages import Endpoint
from rowanspindle import EndpointListUpdate, EndpointStatus, UpdateScope

# how long a destination stays known after its last endpoint is removed: its next one may be listed late
KEPT_US = 60_000_000


@dataclass(frozen=True, slots=True)
class EndpointListChange:
    """The effect of a list update: the update for the decision module, and the endpoints that it affects."""

    members: EndpointListUpdate
    news: tuple[Endpoint, ...] = ()  # the changed endpoints in their current state, removed ones included
    # endpoints that take no new calls: draining, removed, or moved to another destination or address
    closed: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()


class EndpointList:
    """The known endpoints by name. A full list replaces only the entries of the source that sent it.

    If several sources list the same endpoint, the most recent update wins; an endpoint that one source
    removes stays as another source lists it. A detached endpoint is shown as draining. The cost of an update
    is proportional to its own size and a look-up takes constant time, however many endpoints there are.
    """

    def __init__(self) -> None:
        self.bans: set[str] = set()  # endpoints that an operator has detached
        self._instances: dict[str, Endpoint] = {}
        # by name, then by source, the most recent source last
        self._given: dict[str, dict[str, Endpoint]] = {}
        self._sources: dict[str, set[str]] = {}
        self._counts: dict[int, int] = {}  # number of endpoints of each destination that has any
        self._emptied: dict[int, int] = {}  # when each destination lost its last endpoint, in order of time

    def update(
        self, scope: UpdateScope, instances: Iterable[Endpoint], source: str = "", now_us: int = 0
    ) -> EndpointListChange:
        """Apply an update from one source, and return its effect."""
        news, named = list(instances), self._sources.setdefault(source, set())
        if scope is UpdateScope.FULL:
            missing = named - {i.name for i in news}
            news += [replace(self._given[n][source], status=EndpointStatus.REMOVED) for n in sorted(missing)]
            scope = UpdateScope.DELTA
        shown = []
        for instance in news:
            given = self._given.setdefault(instance.name, {})
            given.pop(source, None)
            if instance.status is not EndpointStatus.REMOVED:
                given[source] = instance
                named.add(instance.name)
            else:
                named.discard(instance.name)
            shown.append(self.given(instance.name) or instance)
            if not given:
                del self._given[instance.name]
        return self.show(shown, now_us, scope)

    def given(self, name: str) -> Endpoint | None:
        """Return an endpoint as the most recent source lists it, whether detached or not."""
        given = self._given.get(name)
        return given[next(reversed(given))] if given else None

    def show(
        self, news: Iterable[Endpoint], now_us: int, scope: UpdateScope = UpdateScope.DELTA
    ) -> EndpointListChange:
        """Set these endpoints to the given state, whatever the sources list."""
        shown, closed, gone = [self._banned(i) for i in news], list[str](), list[str]()
        for instance in shown:
            if (old := self._instances.get(instance.name)) is not None:
                self._count(old.dest, -1, now_us)
            if instance.status is EndpointStatus.REMOVED:
                self._instances.pop(instance.name, None)
                gone.append(instance.name)
            else:
                self._instances[instance.name] = instance
                self._count(instance.dest, 1, now_us)
            if instance.status is not EndpointStatus.LISTED or (
                old is not None and _place(old) != _place(instance)
            ):
                closed.append(instance.name)
        members = EndpointListUpdate(scope, tuple(i.to_entry() for i in shown))
        return EndpointListChange(members, tuple(shown), tuple(closed), tuple(gone))

    def _banned(self, instance: Endpoint) -> Endpoint:
        if instance.name in self.bans and instance.status is EndpointStatus.LISTED:
            return replace(instance, status=EndpointStatus.DRAINING)
        return instance

    def _count(self, dest: int, more: int, now_us: int) -> None:
        self._emptied.pop(dest, None)
        self._counts[dest] = self._counts.get(dest, 0) + more
        if self._counts[dest] == 0:
            del self._counts[dest]
            self._emptied[dest] = now_us
            while self._emptied and now_us - (oldest := next(iter(self._emptied.items())))[1] > KEPT_US:
                del self._emptied[oldest[0]]

    def knows(self, dest: int, now_us: int) -> bool:
        """Return whether a destination has an endpoint, or had one within the last KEPT_US."""
        if dest in self._counts:
            return True
        emptied_at = self._emptied.get(dest)
        return emptied_at is not None and now_us - emptied_at <= KEPT_US

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint, or None if it is not listed."""
        return self._instances.get(name)

    def listed(self, name: str) -> bool:
        """Return whether an endpoint accepts new calls: it is neither draining nor removed."""
        instance = self.get(name)
        return instance is not None and instance.status is EndpointStatus.LISTED

    def instances(self) -> list[Endpoint]:
        """Return all endpoints in their current state."""
        return list(self._instances.values())

    def names(self) -> set[str]:
        """Return the names of all endpoints."""
        return set(self._instances)


def _place(instance: Endpoint) -> tuple[int, str, int]:
    """Return what a call that waits for a connection depends on: destination and address."""
    return instance.dest, instance.host, instance.port
