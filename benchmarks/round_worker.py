"""What a round of decisions costs, as a process of its own: prints one JSON document.

Run with the checkout to be measured on PYTHONPATH. It uses the module's public interface and nothing else.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable

from rowanspindle import (
    Accept,
    DestinationKind,
    Effect,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Forwarder,
    MessageClass,
    Outcome,
    Result,
    Send,
    Settings,
    TimerFired,
    UpdateScope,
)

SECOND_US = 1_000_000
UPDATE = MessageClass("album-update", 2_500_000, 16 * SECOND_US, 1.0, 0.3, Effect.SAFE)
ORDER = MessageClass("print-order", 4 * SECOND_US, 20 * SECOND_US, 1.0, 0.5, Effect.UNSAFE)
NEARLY_FULL, HALF = 0.92, 0.5  # of most_held; the first is where refusals begin


class Load:
    """A forwarder with so many messages held for so many destinations, all its slots taken."""

    def __init__(self, held: int, dests: int, full: float, slots: int = 16) -> None:
        self.slots, self.dests, self.ref, self.now = slots, dests, 0, 0
        settings = Settings(
            {c.name: c for c in (UPDATE, ORDER)},
            slots=slots,
            most_held=int(held / full) + 1,
            tenants={},
            kinds={"k": DestinationKind()},
            replicas=2,
        )
        self.forwarder = Forwarder(settings, 1)
        listed = (EndpointEntry(f"t{n}", "z", "k", n, EndpointStatus.LISTED, 5.0) for n in range(dests))
        self.forwarder.decide(0, [EndpointListUpdate(UpdateScope.FULL, tuple(listed))])
        self.out: list[tuple[int, str]] = []
        while len(self.forwarder.messages) < held and self.ref < 3 * held + 100:
            self.now += 100
            self.arrive()

    def arrive(self) -> None:
        """One message comes in."""
        self.ref += 1
        cls = UPDATE if self.ref % 2 else ORDER
        self._round(Accept(self.ref, cls.name, self.ref * 7919 % self.dests, cls.deadline_us))

    def answer(self) -> None:
        """The call that is out longest is answered, which lets another go."""
        if self.out:
            ref, target = self.out.pop(0)
            self._round(Outcome(ref, 0, target, Result.OK, 200_000, True))

    def nothing(self) -> None:
        """A timer of the module's own, with nothing else."""
        self._round(TimerFired(self.forwarder.token))

    def _round(self, event: Accept | Outcome | TimerFired) -> None:
        actions = self.forwarder.decide(self.now, [event])
        self.out += [(a.ref, a.target) for a in actions if isinstance(a, Send)]


def cost_ms(load: Load, act: Callable[[], None], rounds: int, limit_s: float) -> list[float]:
    """What each of so many rounds cost, 1 ms apart, as far as the time goes; sorted."""
    costs, began = list[float](), time.perf_counter()
    while len(costs) < rounds and (len(costs) < 10 or time.perf_counter() - began < limit_s):
        load.now += 1000
        at = time.perf_counter()
        act()
        costs.append((time.perf_counter() - at) * 1e3)
    return sorted(costs)


def main() -> None:
    """Measure each case that the arguments name as HELD:DESTS."""
    rounds, limit_s = int(sys.argv[1]), float(sys.argv[2])
    rows = []
    for case in sys.argv[3:]:
        held, dests = map(int, case.split(":"))
        for name, full in (("nearly full", NEARLY_FULL), ("half full", HALF)):
            load = Load(held, dests, full)
            for what, act in (("arrival", load.arrive), ("answer", load.answer), ("timer", load.nothing)):
                costs = cost_ms(load, act, rounds, limit_s)
                rows.append(
                    {
                        "held": held,
                        "dests": dests,
                        "hold": name,
                        "event": what,
                        "p50_ms": costs[len(costs) // 2],
                        "p99_ms": costs[int((len(costs) - 1) * 0.99)],
                        "mean_ms": sum(costs) / len(costs),
                        "rounds": len(costs),
                    }
                )
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
