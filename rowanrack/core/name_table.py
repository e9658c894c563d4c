"""The name table: which instances there are, as its sources list them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from rowanrack.core.messages import Instance
from rowanspindle import Members, Scope, Status


class NameTable:
    """Instances by name. A whole list replaces only the entries of the source that it comes from."""

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._sources: dict[str, set[str]] = {}

    def update(self, scope: Scope, instances: Iterable[Instance], source: str = "") -> Members:
        """Take news in, and return what it changes, for the module."""
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
        return Members(scope, tuple(i.member() for i in news))

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
