"""Known failures: in CI the tests listed in KNOWN-RED.txt are printed and not run; elsewhere all run."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURE_COUNT = 3  # number of tests that may be listed


def known_red(text: str) -> dict[str, str]:
    """Parse lines `test | cause | issue` by test. Raises UsageError for an invalid line or too many."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    for line in lines:
        if line.count("|") != 2:
            raise pytest.UsageError(f"{KNOWN_RED.name}: 'test | cause | issue' is expected: {line}")
    if len(lines) > MAX_KNOWN_FAILURE_COUNT:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {len(lines)} tests, {MAX_KNOWN_FAILURE_COUNT} at most")
    return {line.partition("|")[0].strip(): line for line in lines}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if not os.environ.get("CI") or not KNOWN_RED.exists():
        return
    listed = known_red(KNOWN_RED.read_text(encoding="utf-8"))
    deselected = [item for item in items if item.nodeid in listed]
    config.stash[PRINTED_LINES] = list(listed.values())
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed]


PRINTED_LINES = pytest.StashKey[list[str]]()


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for line in config.stash.get(PRINTED_LINES, []):
        terminalreporter.write_line(f"known failure, not run: {line}")
