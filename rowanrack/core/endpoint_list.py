"""The endpoint list: all endpoints that the discovery sources currently report."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rowanrack.core.endpoint_addresses import EndpointAddresses
from rowanrack.core.messages import Endpoint
from rowanspindle import EndpointListUpdate, EndpointStatus, UpdateScope

# How long a destination stays known after its last endpoint is removed: its next one may be listed late.
DESTINATION_MEMORY_US = 60_000_000


@dataclass(frozen=True, slots=True)
class EndpointListChange:
    """The effect of a list update: the update for the decision module, and the endpoints that it affects."""

    update: EndpointListUpdate
    changed: tuple[Endpoint, ...] = ()  # the changed endpoints in their current state, removed ones included
    # Endpoints that take no new calls on connections to what they were: draining, removed, started anew,
    # replaced by another at their address, or moved to another destination or address.
    closed_to_calls: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


class EndpointList:
    """The known endpoints by name.

    An endpoint whose address has been taken over by a process that started later gets no calls: the list may
    tell of the new process before it tells that the old one is gone.

    A full list replaces only the entries of the source that sent it.

    If several sources list the same endpoint, the most recent update wins; an endpoint that one source
    removes stays as another source lists it. A detached endpoint is shown as draining. The cost of an update
    is proportional to its own size and a look-up takes constant time, however many endpoints there are.
    """

    def __init__(self) -> None:
        self.bans: set[str] = set()  # endpoints that an operator has detached
        self._endpoints: dict[str, Endpoint] = {}
        self._addresses = EndpointAddresses()
        # By name, then by source, the most recent source last.
        self._listed_by_source: dict[str, dict[str, Endpoint]] = {}
        self._names_by_source: dict[str, set[str]] = {}
        self._endpoint_counts: dict[int, int] = {}  # number of endpoints of each destination that has any
        # When each destination without endpoints lost its last one, in order of time.
        self._emptied_at: dict[int, int] = {}

    def update(
        self, scope: UpdateScope, endpoints: Iterable[Endpoint], source: str = "", now_us: int = 0
    ) -> EndpointListChange:
        """Apply an update from one source, and return its effect."""
        changed, source_names = list(endpoints), self._names_by_source.setdefault(source, set())
        if scope is UpdateScope.FULL:
            unlisted = source_names - {i.name for i in changed}
            changed += [
                replace(self._listed_by_source[n][source], status=EndpointStatus.REMOVED)
                for n in sorted(unlisted)
            ]
            scope = UpdateScope.DELTA
        current = []
        for endpoint in changed:
            by_source = self._listed_by_source.setdefault(endpoint.name, {})
            by_source.pop(source, None)
            if endpoint.status is not EndpointStatus.REMOVED:
                by_source[source] = endpoint
                source_names.add(endpoint.name)
            else:
                source_names.discard(endpoint.name)
            current.append(self.as_listed(endpoint.name) or endpoint)
            if not by_source:
                del self._listed_by_source[endpoint.name]
        return self.set_state(current, now_us, scope)

    def as_listed(self, name: str) -> Endpoint | None:
        """Return an endpoint as the most recent source lists it, whether detached or not."""
        by_source = self._listed_by_source.get(name)
        return by_source[next(reversed(by_source))] if by_source else None

    def set_state(
        self, changed: Iterable[Endpoint], now_us: int, scope: UpdateScope = UpdateScope.DELTA
    ) -> EndpointListChange:
        """Set these endpoints to the given state, whatever the sources list."""
        changed_states = [self._with_ban(endpoint) for endpoint in changed]
        neighbours = self._addresses.update(changed_states)
        current = [self._unless_replaced(endpoint) for endpoint in changed_states]
        shown_neighbours = [self._unless_replaced(endpoint) for endpoint in neighbours]
        current += [e for e in shown_neighbours if e != self._endpoints.get(e.name)]
        closed_to_calls, removed = list[str](), list[str]()
        for endpoint in current:
            if (old := self._endpoints.get(endpoint.name)) is not None:
                self._add_to_count(old.dest, -1, now_us)
            if endpoint.status is EndpointStatus.REMOVED:
                self._endpoints.pop(endpoint.name, None)
                removed.append(endpoint.name)
            else:
                self._endpoints[endpoint.name] = endpoint
                self._add_to_count(endpoint.dest, 1, now_us)
            if endpoint.status is not EndpointStatus.LISTED or (
                old is not None and _call_target(old) != _call_target(endpoint)
            ):
                closed_to_calls.append(endpoint.name)
        update = EndpointListUpdate(scope, tuple(i.to_entry() for i in current))
        return EndpointListChange(update, tuple(current), tuple(closed_to_calls), tuple(removed))

    def _unless_replaced(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint, as draining if a process that started later listens at its address."""
        if endpoint.status is EndpointStatus.LISTED and self._addresses.has_newer(endpoint):
            return replace(endpoint, status=EndpointStatus.DRAINING)
        return endpoint

    def _with_ban(self, endpoint: Endpoint) -> Endpoint:
        if endpoint.name in self.bans and endpoint.status is EndpointStatus.LISTED:
            return replace(endpoint, status=EndpointStatus.DRAINING)
        return endpoint

    def _add_to_count(self, dest: int, change: int, now_us: int) -> None:
        self._emptied_at.pop(dest, None)
        self._endpoint_counts[dest] = self._endpoint_counts.get(dest, 0) + change
        if self._endpoint_counts[dest] == 0:
            del self._endpoint_counts[dest]
            self._emptied_at[dest] = now_us
            while (
                self._emptied_at
                and now_us - (oldest := next(iter(self._emptied_at.items())))[1] > DESTINATION_MEMORY_US
            ):
                del self._emptied_at[oldest[0]]

    def knows_destination(self, dest: int, now_us: int) -> bool:
        """Return whether a destination has an endpoint, or had one within the last DESTINATION_MEMORY_US."""
        if dest in self._endpoint_counts:
            return True
        emptied_at = self._emptied_at.get(dest)
        return emptied_at is not None and now_us - emptied_at <= DESTINATION_MEMORY_US

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint, or None if it is not listed."""
        return self._endpoints.get(name)

    def accepts_calls(self, name: str) -> bool:
        """Return whether an endpoint accepts new calls: it is neither draining nor removed."""
        endpoint = self.get(name)
        return endpoint is not None and endpoint.status is EndpointStatus.LISTED

    def endpoints(self) -> list[Endpoint]:
        """Return all endpoints in their current state."""
        return list(self._endpoints.values())

    def names(self) -> set[str]:
        """Return the names of all endpoints."""
        return set(self._endpoints)


def _call_target(endpoint: Endpoint) -> tuple[int, str, int, int]:
    """Return what a connection depends on: destination, address, and the process that listens there."""
    return endpoint.dest, endpoint.host, endpoint.port, endpoint.born_ms
