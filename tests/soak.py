"""What the soaks share: their seeds, and series of restarts under load."""

from __future__ import annotations

import os
from random import Random

from rowanrack.lab.scenario import Fault

RESTART_INTERVAL_S = (5.5, 6.5)  # a process needs up to 1 s to start and 3.7 s to end
KILL_DOWN_S = 0.6  # from a kill to the next start


def seeds(variable: str, default: str) -> range:
    """Return the seeds `FIRST-LAST` of an environment variable, or the default ones."""
    first, _, last = os.environ.get(variable, default).partition("-")
    return range(int(first), int(last or first) + 1)


def restarts(rng: Random, sender: str, first_at_s: float, until_s: float, kill_share: float) -> list[Fault]:
    """Restart a sender again and again by hot restarts; a share of the restarts are plain kills."""
    faults, at_s = list[Fault](), first_at_s
    while at_s < until_s:
        if rng.random() < kill_share:
            faults.append(Fault(what="kill", on=sender, at_s=at_s, for_s=KILL_DOWN_S))
        else:
            faults.append(Fault(what="upgrade", on=sender, at_s=at_s, by=rng.uniform(0.0, 0.4)))
        at_s += rng.uniform(*RESTART_INTERVAL_S)
    return faults
