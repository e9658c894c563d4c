"""How the model's cost grows with the fleet: CPU of a day, each in a process of its own."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent.parent
SHORT_S = 10
PER_DEST = 0.35  # messages a second for each destination
RATE_LEAST, RATE_MOST = 20.0, 400.0
DAY = """
day {seconds} s
zones north south apart 20 ms jitter 10 %
senders {senders} slots {slots} held 2000
class update share 60 % aim 2 s deadline 6 s late-worth 30 % repeatable
class order share 40 % aim 2 s deadline 6 s late-worth 50 % once
member a share 100 % quota 100000/s
kind lab partners {dests} places 1 to 2 limit headroom 0.9 to 1.6 least 2/s
    told 60 % 300 ms to 700 ms answers 140 ms to 240 ms
clients again 1 after 300 ms to 1 s
traffic {rate}/s zipf 0.5
at 3 s for 3 s partner 1 silent
"""
WORKER = """
import json, resource, sys
from rowanrack.model.scenario import parse
from rowanrack.model.world import play
used = lambda: resource.getrusage(resource.RUSAGE_SELF).ru_utime
scenario, began = parse(sys.stdin.read(), "growth"), used()
result = play(scenario, 1)
print(json.dumps({"cpu_s": used() - began, "items": result["items"], "steps": result["steps"],
                  "worth": result["worth"], "rules": result["rules"],
                  "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024}))
"""


def scenario(dests: int, senders: int) -> str:
    """A day of so many destinations and senders; the traffic grows with the destinations, within bounds."""
    rate = min(RATE_MOST, max(RATE_LEAST, dests * PER_DEST))
    slots = max(4, int(2 * rate / senders))
    return DAY.format(seconds=SHORT_S, senders=senders, slots=slots, dests=dests, rate=rate)


def measure(dests: int, senders: int) -> dict[str, Any]:
    """One day. Raises RuntimeError if it does not come to its end."""
    ran = subprocess.run([sys.executable, "-c", WORKER], input=scenario(dests, senders), cwd=HERE,
                         capture_output=True, text=True, check=False)  # fmt: skip
    if ran.returncode:
        raise RuntimeError(ran.stderr.strip().splitlines()[-1])
    found: dict[str, Any] = json.loads(ran.stdout)
    return {"dests": dests, "senders": senders, **found, "per_s": found["items"] / found["cpu_s"],
            "us_per_step": found["cpu_s"] / found["steps"] * 1e6}  # fmt: skip
