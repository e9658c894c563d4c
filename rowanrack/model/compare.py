"""Whether Y is better than X: paired runs on common traffic and troubles, judged against their noise."""

from __future__ import annotations

import math
import statistics
import time
from collections.abc import Callable
from typing import Any

from rowanrack.model.pool import Pool
from rowanrack.model.variants import Variant

PARTS = ("whole", "worst_window", "worst_class", "worst_member")
FIRST = 6  # pairs before the interval is looked at
TIMES = {1: 63.7, 2: 9.92, 3: 5.84, 4: 4.60, 5: 4.03, 6: 3.71, 7: 3.50, 8: 3.36, 9: 3.25, 10: 3.17, 12: 3.05,
         15: 2.95, 20: 2.85, 30: 2.75, 60: 2.66}  # fmt: skip
NORMAL = 2.58  # Student's t for 99%, by degrees of freedom; from the usual table, the next lower row counts
NOISE_TIMES = 2.0  # standard errors of X against X that a difference must exceed as well


def student(freedom: int) -> float:
    """How many standard errors a 99% interval reaches to each side."""
    rows = [row for row in TIMES if row <= freedom]
    return TIMES[max(rows)] if freedom <= 60 and rows else NORMAL


def interval(values: list[float]) -> tuple[float, float, float]:
    """The mean, and a 99% interval for it."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, -math.inf, math.inf
    reach = student(len(values) - 1) * statistics.stdev(values) / math.sqrt(len(values))
    return mean, mean - reach, mean + reach


def judge(differences: list[float], own: list[float], broken: bool) -> dict[str, Any]:
    """The verdict on paired differences Y - X, given those of X against X on the same seeds."""
    mean, low, high = interval(differences)
    noise = statistics.stdev(own) / math.sqrt(len(own)) if len(own) > 1 else math.inf
    verdict = "inconclusive"
    if broken:
        verdict = "breaks-rules"
    elif (low > 0 or high < 0) and abs(mean) > NOISE_TIMES * noise:
        verdict = "better" if mean > 0 else "worse"
    return {"verdict": verdict, "difference": mean, "low": low, "high": high, "noise": noise}


def compare(
    text: str,
    name: str,
    x: Variant,
    y: Variant,
    pool: Pool,
    runs: int,
    seed: int,
    within: float,
    limit_s: float,
    step: int,
    begun: Callable[[int], None] = lambda total: None,
    done: Callable[[], None] = lambda: None,
) -> dict[str, Any]:
    """Run pairs until there are `runs`, the interval is no wider than `within` to each side, or time is up.

    Each seed is played three times: X, X with other chance in its senders, and Y. Traffic, fleet and troubles
    are the same in all three. Stopping looks at the width alone, never at the difference.
    """
    results: dict[str, list[dict[str, Any]]] = {"x": [], "again": [], "y": []}
    began = time.monotonic()
    begun(3 * runs)
    while len(results["x"]) < runs:
        count = min(runs - len(results["x"]), max(FIRST if not results["x"] else 1, step))
        seeds = range(seed + len(results["x"]), seed + len(results["x"]) + count)
        job = {"text": text, "name": name}
        tasks = [
            (variant, {**job, "seed": s, "salt": salt})
            for s in seeds
            for variant, salt in ((x, 0), (x, 1), (y, 2))
        ]
        for place, result in enumerate(pool.map(tasks, done)):
            results[("x", "again", "y")[place % 3]].append(result)
        _, low, high = interval(paired(results, "y", "x"))
        if (high - low) / 2 <= within or time.monotonic() - began > limit_s:
            break
    return verdict_of(results, x, y, name, seed)


def paired(results: dict[str, list[dict[str, Any]]], one: str, other: str, part: str = "") -> list[float]:
    """Differences of the worth, or of a part of it, run by run."""

    def figure(result: dict[str, Any]) -> float:
        return float(result["parts"][part] if part else result["worth"])

    return [figure(a) - figure(b) for a, b in zip(results[one], results[other], strict=True)]


def verdict_of(
    results: dict[str, list[dict[str, Any]]], x: Variant, y: Variant, name: str, seed: int
) -> dict[str, Any]:
    """The document that a comparison ends with."""
    broken = [
        {"variant": which.label, "seed": r["seed"], "salt": salt, **r["breaches"][0]}
        for key, which, salt in (("x", x, 0), ("again", x, 1), ("y", y, 2))
        for r in results[key]
        if r["rules"] != "kept"
    ]
    found = judge(paired(results, "y", "x"), paired(results, "again", "x"),
                  any(r["rules"] != "kept" for r in results["y"]))  # fmt: skip
    shares = ("in_time", "late", "refused", "failed", "attempts")
    return {
        **found,
        "runs": len(results["x"]),
        "scenario": name,
        "seed": seed,
        "a": x.label,
        "b": y.label,
        "worth_a": statistics.fmean(r["worth"] for r in results["x"]),
        "worth_b": statistics.fmean(r["worth"] for r in results["y"]),
        "parts": {p: interval(paired(results, "y", "x", p)) for p in PARTS},
        "shares": {s: [statistics.fmean(r[s] for r in results[k]) for k in ("x", "y")] for s in shares},
        "broken": broken,
        "pairs": [
            [a["seed"], a["worth"], b["worth"]] for a, b in zip(results["x"], results["y"], strict=True)
        ],
    }
