"""The benchmarks run, and what they need stays out of the sender."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.loopback import judge

ROOT = Path(__file__).parent.parent


def run(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)


def test_rounds_are_measured_beside_another_checkout(tmp_path: Path) -> None:
    sizes = ("--held", "20,40", "--dests", "5", "--count", "10")
    plot = tmp_path / "rounds.png"
    ran = run(
        "-m", "benchmarks", "rounds", *sizes, "--against", str(ROOT), "--json", "-", "--plot", str(plot)
    )
    assert ran.returncode == 0, ran.stderr
    rows = json.loads(ran.stdout)
    assert {(r["tree"], r["held"]) for r in rows} == {(t, h) for t in ("against", "this") for h in (20, 40)}
    assert {r["event"] for r in rows} == {"arrival", "answer", "timer"}
    assert all(0 < r["p50_ms"] <= r["p99_ms"] for r in rows) and plot.stat().st_size > 1000


def test_a_sender_is_measured_on_loopback(tmp_path: Path) -> None:
    figures = tmp_path / "figures.json"
    sizes = ("--seconds", "0.5", "--warm", "0.5", "--bad", "4", "--rate", "100", "--neighbours", "0")
    ran = run("-m", "benchmarks", "loopback", *sizes, "--json", str(figures))
    assert ran.returncode == 0, ran.stderr
    most, beside = json.loads(figures.read_text())
    assert most["delivered_per_s"] > 100 and not most["unanswered"] and not most["tracebacks"]
    assert beside["delivered_per_s"] > 20 and beside["bad_parted_per_s"] > 0 and not beside["tracebacks"]


def test_the_models_growth_is_measured() -> None:
    ran = run("-m", "benchmarks", "growth", "--dests", "5", "--senders", "2", "--json", "-")
    assert ran.returncode == 0, ran.stderr
    rows = json.loads(ran.stdout)
    assert [(r["over"], r["dests"], r["senders"]) for r in rows] == [("dests", 5, 3), ("senders", 200, 2)]
    assert all(r["items"] > 100 and r["cpu_s"] > 0 and r["rules"] == "kept" for r in rows)


@pytest.mark.parametrize(
    ("taken", "calls", "notices", "expected"),
    [
        ({"a": [10.0]}, {"a": [9.0]}, {}, {"lost": 0, "late_ends": 0, "twice": 0}),
        ({"a": [10.0]}, {}, {}, {"lost": 1, "late_ends": 0, "twice": 0}),
        ({"a": [10.0]}, {}, {"a": [10.2]}, {"lost": 0, "late_ends": 0, "twice": 0}),
        ({"a": [10.0]}, {}, {"a": [10.4]}, {"lost": 0, "late_ends": 1, "twice": 0}),
        ({"a": [10.0]}, {"a": [1.0, 2.0]}, {}, {"lost": 0, "late_ends": 0, "twice": 1}),
    ],
)
def test_the_books_are_judged(
    taken: dict[str, list[float]],
    calls: dict[str, list[float]],
    notices: dict[str, list[float]],
    expected: dict[str, int],
) -> None:
    found = judge(taken, calls, notices)
    assert {name: found[name] for name in expected} == expected


@pytest.mark.parametrize("words", [("--against", "tests"), ("--against", "/nowhere")])
def test_a_wrong_checkout_is_one_plain_error(words: tuple[str, ...]) -> None:
    ran = run("-m", "benchmarks", "rounds", *words)
    assert ran.returncode != 0 and words[-1] in ran.stderr and "Traceback" not in ran.stderr


def test_serving_imports_no_tool() -> None:
    """A sender may have 32 MB in all."""
    tools = ("numpy", "matplotlib", "hdrh", "lark", "msgspec", "hypothesis", "blake3", "structlog")
    logs = ("sqlite3", "sortedcontainers", "rowanrack.channels", "rowanrack.channels_io")
    parts = ("benchmarks", "rowanrack.model", "rowanrack.record", "rowanrack.lab", *logs)
    code = "import sys, rowanrack.cli, rowanrack.app; print([m for m in sys.argv[1:] if m in sys.modules])"
    ran = run("-c", code, *tools, *parts)
    assert ran.stdout.strip() == "[]", ran.stderr
