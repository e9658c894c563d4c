"""The name table: the instances that there are, as its sources list them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rowanrack.core.messages import Endpoint
from rowanspindle import EndpointListUpdate, EndpointStatus, UpdateScope

KEPT_US = 60_000_000  # a destination whose instances are gone is known so long: the next may be listed late


@dataclass(frozen=True, slots=True)
class EndpointListChange:
    """What news has changed: the same for the module, and the names that want no new calls, or are gone."""

    members: EndpointListUpdate
    news: tuple[Endpoint, ...] = ()  # as they are there now, those that are gone among them
    closed: tuple[str, ...] = ()  # draining, gone, or moved to another destination or address
    gone: tuple[str, ...] = ()


class EndpointList:
    """Instances by name. A whole list replaces only the entries of the source that it comes from.

    Of sources that name the same instance the last news hold; what one leaves out stays as another lists it.
    A detached instance is there as draining. News costs what it holds, and a question one look-up, however
    many instances there are.
    """

    def __init__(self) -> None:
        self.bans: set[str] = set()  # detached by hand
        self._instances: dict[str, Endpoint] = {}
        self._given: dict[str, dict[str, Endpoint]] = {}  # by name and source, the last behind
        self._sources: dict[str, set[str]] = {}
        self._counts: dict[int, int] = {}  # instances of each destination that has any
        self._emptied: dict[int, int] = {}  # when a destination lost its last one; the earliest comes first

    def update(
        self, scope: UpdateScope, instances: Iterable[Endpoint], source: str = "", now_us: int = 0
    ) -> EndpointListChange:
        """Take news in, and return what it changes."""
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
        """An instance as its last source lists it, detached or not."""
        given = self._given.get(name)
        return given[next(reversed(given))] if given else None

    def show(
        self, news: Iterable[Endpoint], now_us: int, scope: UpdateScope = UpdateScope.DELTA
    ) -> EndpointListChange:
        """Let these be there from now on, whatever is given."""
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
        """Whether a destination has an instance, or had one a short while ago."""
        if dest in self._counts:
            return True
        emptied_at = self._emptied.get(dest)
        return emptied_at is not None and now_us - emptied_at <= KEPT_US

    def get(self, name: str) -> Endpoint | None:
        """An instance, if it is there."""
        return self._instances.get(name)

    def listed(self, name: str) -> bool:
        """Whether an instance is there and wants new calls: it neither drains nor is gone."""
        instance = self.get(name)
        return instance is not None and instance.status is EndpointStatus.LISTED

    def instances(self) -> list[Endpoint]:
        """All that are there, as they are listed."""
        return list(self._instances.values())

    def names(self) -> set[str]:
        """All that are there."""
        return set(self._instances)


def _place(instance: Endpoint) -> tuple[int, str, int]:
    """What a call that waits for its connection rests on."""
    return instance.dest, instance.host, instance.port
