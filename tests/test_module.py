"""Limits on the size and the layout of the decision module, which operators read."""

from __future__ import annotations

from pathlib import Path

LOGIC_MODULE = Path(__file__).parent.parent / "rowanspindle" / "logic.py"


def test_the_logic_module_stays_within_its_size_limits() -> None:
    lines = LOGIC_MODULE.read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 800
    assert max(map(len, lines)) <= 110


def test_the_logic_module_names_its_interface_in_its_first_lines() -> None:
    assert "rowanspindle/api.py" in "".join(LOGIC_MODULE.read_text(encoding="utf-8").splitlines()[:3])
