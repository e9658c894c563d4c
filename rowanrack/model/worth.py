"""Service worth, as the operators count it: delivered over asked for, in its parts, less deductions."""

from __future__ import annotations

from typing import Any

from rowanrack.model.clients import Item
from rowanrack.model.engine import SECOND_US
from rowanrack.model.scenario import Scenario

WEIGHTS = {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_member": 0.1}
WINDOW_US = 10 * SECOND_US
LEAST_ITEMS = 20  # in a window, a class or a member that may be the worst
OVER_SHARE = 0.05  # worth of what lies beyond a member's quota
PRICES = {"waste": 0.18, "crossing": 0.084, "handshake": 0.04, "late_fail": 0.028}


def item_worth(item: Item, scenario: Scenario) -> tuple[float, float]:
    """What an item is worth as it was delivered, and what it could have been worth."""
    cls = scenario.classes[item.cls]
    most = 1.0 if item.within else OVER_SHARE
    if item.delivered_us is None:
        return 0.0, most
    late = item.delivered_us - item.at_us - cls.aim_us
    if late <= 0:
        return most, most
    if late > cls.deadline_us - cls.aim_us:
        return 0.0, most
    return most * (1 - (1 - cls.late_worth) * late / (cls.deadline_us - cls.aim_us)), most


def ratio(worths: list[tuple[float, float]]) -> float:
    """Worth delivered over worth asked for; 1 where nothing was."""
    asked = sum(most for _, most in worths)
    return sum(got for got, _ in worths) / asked if asked else 1.0


def worst(groups: dict[Any, list[tuple[float, float]]], otherwise: float) -> float:
    """The least ratio among groups that are large enough to tell."""
    return min((ratio(g) for g in groups.values() if len(g) >= LEAST_ITEMS), default=otherwise)


def service(
    items: list[Item], scenario: Scenario, begun: int, wasted: int, crossings: int, handshakes: int
) -> dict[str, Any]:
    """The figures of a run; `worth` is the one that counts."""
    worths = [item_worth(item, scenario) for item in items]
    whole = ratio(worths)
    classes: dict[str, list[tuple[float, float]]] = {}
    members: dict[str, list[tuple[float, float]]] = {}
    windows: dict[int, list[tuple[float, float]]] = {}
    for item, worth in zip(items, worths, strict=True):
        classes.setdefault(scenario.classes[item.cls].name, []).append(worth)
        if item.within:
            members.setdefault(item.member, []).append(worth)
        second = item.at_us // SECOND_US
        for window in range(max(0, second - WINDOW_US // SECOND_US + 1), second + 1):
            if (window * SECOND_US + WINDOW_US) <= max(scenario.day_us, WINDOW_US):
                windows.setdefault(window, []).append(worth)
    parts = {
        "whole": whole,
        "worst_window": worst(windows, whole),
        "worst_class": worst(classes, whole),
        "worst_member": worst(members, whole),
    }
    tries = max(1, len(items))
    late_fail = sum(
        i.delivered_us is None or i.delivered_us - i.at_us > scenario.classes[i.cls].aim_us for i in items
    )
    shares = {
        "waste": wasted / tries,
        "crossing": crossings / tries,
        "handshake": handshakes / tries,
        "late_fail": late_fail / tries,
    }
    deductions = {name: PRICES[name] * min(1.0, share) for name, share in shares.items()}
    times = sorted(i.delivered_us - i.at_us for i in items if i.delivered_us is not None)
    delivered = len(times)
    in_time = delivered - sum(
        i.delivered_us is not None and i.delivered_us - i.at_us > scenario.classes[i.cls].aim_us
        for i in items
    )
    ended = [item.endings[-1] if item.endings else "none" for item in items if item.delivered_us is None]
    return {
        "worth": sum(WEIGHTS[name] * part for name, part in parts.items()) - sum(deductions.values()),
        "parts": parts,
        "deductions": deductions,
        "items": len(items),
        "in_time": in_time / tries,
        "late": (delivered - in_time) / tries,
        "refused": sum(e in ("refused", "nack") for e in ended) / tries,
        "failed": sum(e not in ("refused", "nack") for e in ended) / tries,
        "attempts": begun / tries,
        "times_ms": times_ms(times),
        "classes": {name: ratio(group) for name, group in sorted(classes.items())},
        "by_class": {
            cls.name: of_class([i for i in items if i.cls == n], scenario)
            for n, cls in enumerate(scenario.classes)
        },
        "members": {name: ratio(group) for name, group in sorted(members.items())},
        "seconds": by_second(items, worths, scenario),
    }


def of_class(items: list[Item], scenario: Scenario) -> dict[str, Any]:
    """Worth, shares and times to the end of the items of one class."""
    times = sorted(i.delivered_us - i.at_us for i in items if i.delivered_us is not None)
    in_time = sum(t <= scenario.classes[items[0].cls].aim_us for t in times)
    ended = [i.endings[-1] if i.endings else "none" for i in items if i.delivered_us is None]
    refused, count = sum(e in ("refused", "nack") for e in ended), max(1, len(items))
    return {
        "worth": ratio([item_worth(i, scenario) for i in items]),
        "in_time": in_time / count,
        "late": (len(times) - in_time) / count,
        "refused": refused / count,
        "failed": (len(ended) - refused) / count,
        "times_ms": times_ms(times),
    }


def times_ms(times: list[int]) -> dict[str, float]:
    """Quantiles of sorted times."""
    return {f"p{q}": times[int((len(times) - 1) * q / 100)] / 1000 if times else 0.0 for q in (50, 90, 99)}


def by_second(items: list[Item], worths: list[tuple[float, float]], scenario: Scenario) -> list[float]:
    """The ratio for the items handed in within each second, for plots."""
    seconds: list[list[tuple[float, float]]] = [[] for _ in range(scenario.day_us // SECOND_US + 1)]
    for item, worth in zip(items, worths, strict=True):
        seconds[item.at_us // SECOND_US].append(worth)
    return [round(ratio(second), 6) for second in seconds]
