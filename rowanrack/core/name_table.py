"""The name table: which instances there are, as its sources list them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from rowanrack.core.messages import Instance
from rowanspindle import Members, Scope, Status

KEPT_US = 60_000_000  # a destination whose instances are gone is known so long: the next may be listed late


class NameTable:
    """Instances by name. A whole list replaces only the entries of the source that it comes from."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._sources: dict[str, set[str]] = {}
        self._listed: dict[int, int] = {}  # destinations, each with when it was last seen to have an instance

    def update(
        self, scope: Scope, instances: Iterable[Instance], source: str = "", now_us: int = 0
    ) -> Members:
        """Take news in, and return what it changes, for the module."""
        self._see(now_us)
        news, named = list(instances), self._sources.setdefault(source, set())
        if scope is Scope.FULL:
            gone = named - {i.name for i in news}
            news += [replace(i, status=Status.REMOVED) for n in sorted(gone) if (i := self.get(n))]
            scope = Scope.DELTA
        for instance in news:
            if instance.status is Status.REMOVED:
                self._instances.pop(instance.name, None)
                named.discard(instance.name)
            else:
                self._instances[instance.name] = instance
                named.add(instance.name)
        self._see(now_us)
        return Members(scope, tuple(i.member() for i in news))

    def knows(self, dest: int, now_us: int) -> bool:
        """Whether a destination has an instance, or had one a short while ago."""
        self._see(now_us)
        return dest in self._listed

    def _see(self, now_us: int) -> None:
        for instance in self._instances.values():
            self._listed[instance.dest] = now_us
        for dest in [d for d, at in self._listed.items() if now_us - at > KEPT_US]:
            del self._listed[dest]

    def get(self, name: str) -> Instance | None:
        """An instance, if it is there."""
        return self._instances.get(name)

    def listed(self, name: str) -> bool:
        """Whether an instance is there and wants new calls: it neither drains nor is gone."""
        instance = self.get(name)
        return instance is not None and instance.status is Status.LISTED

    def names(self) -> set[str]:
        """All that are there."""
        return set(self._instances)
