"""How evenly calls are spread over the places of a partner, in the phases that a scenario names."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from rowanrack.model.engine import SECOND_US, chance
from rowanspindle import EndpointStatus

if TYPE_CHECKING:
    from rowanrack.model.world import World


def parts(count: Counter[str], listed: list[str]) -> tuple[float, float]:
    """The most and the least calls at one place, over an even part; 1 and 1 where there was no call."""
    calls = [count[name] for name in listed]
    even = sum(calls) / max(1, len(calls))
    return (max(calls) / even, min(calls) / even) if even else (1.0, 1.0)


def by_chance(rng: Random, calls: int, listed: list[str]) -> tuple[float, float]:
    """The same of so many calls that each go to a place by pure chance."""
    return parts(Counter(rng.choices(listed, k=calls)) if listed else Counter(), listed)


class Spread:
    """Looks at places as each phase begins and ends, and reads the calls from the history in the end."""

    def __init__(self, world: World) -> None:
        self.world, self._seen = world, dict[int, dict[str, tuple[int, int]]]()
        self._listed: dict[int, list[str]] = {}  # in each phase, as it begins
        for number, (begins, ends) in enumerate(world.scenario.phases):
            world.engine.at(begins, partial(self._look, 2 * number))
            world.engine.at(ends, partial(self._look, 2 * number + 1))

    def _look(self, number: int) -> None:
        self._seen[number] = {n: (p.opened, p.turned_away) for n, p in self.world.places.items()}
        listed = self.world.discovery.listed.values()
        self._listed[number] = [i.name for i in listed if i.status is EndpointStatus.LISTED]

    def counted(self) -> list[dict[str, Any]]:
        """For each phase (in seconds) and partner: calls, the peak and the least over an even part, the same
        by pure chance, new connections a call, and the part of the calls refused for want of one."""
        world, found = self.world, []
        for number, (begins, ends) in enumerate(world.scenario.phases):
            made = (e for e in world.history.entries if e.what == "begin" and begins <= e.at < ends)
            calls = Counter(e.place for e in made)
            before, after = self._seen[2 * number], self._seen[2 * number + 1]
            for dest, partner in world.partners.items():
                names = [p.name for p in partner.places]
                listed = [name for name in self._listed[2 * number] if name in names]
                count = sum(calls[name] for name in names)
                rng = chance(world.seed, "by chance", number, dest)
                lots = by_chance(rng, sum(calls[name] for name in listed), listed)
                opened, away = (sum(after[n][k] - before[n][k] for n in names) for k in (0, 1))
                row = {"phase": [begins / SECOND_US, ends / SECOND_US], "kind": partner.kind, "dest": dest}
                row |= {"places": len(listed), "calls": count, "new": opened / max(1, count)}
                row |= dict(zip(("peak", "least"), parts(calls, listed), strict=True))
                row |= dict(zip(("chance_peak", "chance_least"), lots, strict=True))
                found.append({**row, "short": away / max(1, count)})
        return found
