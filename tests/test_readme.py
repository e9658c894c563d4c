"""The example in the README runs and prints the output shown there."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path


def test_the_example_prints_the_output_shown() -> None:
    readme = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    code, expected_output = re.findall(r"```(?:python|text)\n(.*?)```", readme, re.DOTALL)[:2]
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False
    )
    assert completed.stderr == "" and completed.stdout == expected_output
