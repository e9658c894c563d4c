"""The contents of the wheel that `pip install` builds."""

from __future__ import annotations

import subprocess
import sys
import zipfile
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_wheel_contains_every_package_and_its_data(tmp_path: Path) -> None:
    """`rowanrack.fronts.mgmt` was missing from the packages, so an installed sender could not start."""
    build = "import setuptools.build_meta as b, sys; print(b.build_wheel(sys.argv[1]))"
    copied = tmp_path / "tree"
    data = (ROOT.glob(f"rowan*/**/{what}") for what in ("*.py", "*.scenario", "*.toml", "py.typed"))
    names = [path for found in data for path in found]
    for path in [*names, ROOT / "pyproject.toml", ROOT / "README.md", *ROOT.glob("requirements*.txt")]:
        (to := copied / path.relative_to(ROOT)).parent.mkdir(parents=True, exist_ok=True)
        to.write_bytes(path.read_bytes())
    made = subprocess.run(
        [sys.executable, "-c", build, str(tmp_path)], cwd=copied, capture_output=True, text=True, check=False
    )
    assert made.returncode == 0, made.stderr
    wheel = tmp_path / made.stdout.splitlines()[-1]
    with zipfile.ZipFile(wheel) as packed:
        held = set(packed.namelist())
        packed.extractall(tmp_path / "installed")
    assert {str(p.relative_to(ROOT)) for p in names} <= held
    started = subprocess.run(
        [sys.executable, "-c", "import rowanrack.app, rowanrack.cli as c; c.main()", "serve",
         "--config", "missing.toml"],
        cwd=tmp_path / "installed", capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert started.returncode == 1 and "missing.toml: No such file" in started.stderr, started.stderr
