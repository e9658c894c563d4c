"""Runs of the model in a process of their own, with the senders of one checkout.

Started as `python worker.py TREE MODEL`: the senders (`rowanspindle`, `rowanrack.core`) come from the tree
at TREE, the model from the folder MODEL: two versions of the senders meet the very same fleet. Jobs are
JSON lines on standard input, results are JSON lines on standard output, in order.
"""

from __future__ import annotations

import importlib
import importlib.util
import json
import sys
from pathlib import Path
from typing import Any

MODULES = {
    "logic": "rowanspindle.logic",
    "pacing": "rowanspindle.pacing",
    "endpoint": "rowanspindle.endpoint",
    "slow_start": "rowanspindle.slow_start",
    "exchange": "rowanrack.core.exchange",
    "governor": "rowanrack.load.load_shedder",
    "hearsay": "rowanspindle.gossip",
    "sender": "rowanrack.model.sender",
}


class OverrideError(Exception):
    """An override names nothing that is there, or gives it a value of another kind."""


def mount(tree: Path, model: Path) -> None:
    """Import the senders from one place and the model from another."""
    sys.path.insert(0, str(tree))
    importlib.import_module("rowanrack")
    for name, folder in (("rowanrack.record", model.parent / "record"), ("rowanrack.model", model)):
        spec = importlib.util.spec_from_file_location(
            name, folder / "__init__.py", submodule_search_locations=[str(folder)]
        )
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)


def override(name: str, value: Any) -> None:
    """Set a constant of the senders, `pacing.WINDOW_CUT_FACTOR` say. Raises OverrideError."""
    part, _, constant = name.partition(".")
    if part not in MODULES:
        raise OverrideError(f"{name}: overrides begin with {', '.join(sorted(MODULES))} or settings")
    try:
        module = importlib.import_module(MODULES[part])
    except ImportError:
        raise OverrideError(f"{name}: this version has no {part}") from None
    if not hasattr(module, constant):
        raise OverrideError(f"{name}: {MODULES[part]} has no {constant}")
    known = getattr(module, constant)
    if isinstance(known, bool) or not isinstance(known, int | float) or not isinstance(value, int | float):
        raise OverrideError(f"{name}: only numbers can be overridden")
    if isinstance(known, int) and not isinstance(value, int):
        raise OverrideError(f"{name}: takes a whole number, not {value}")
    setattr(module, constant, value)


def answer(job: dict[str, Any]) -> dict[str, Any]:
    """One run, or why there is none."""
    from rowanrack.model.engine import RunawayError
    from rowanrack.model.scenario import ScenarioError, parse
    from rowanrack.model.world import play

    try:
        scenario = parse(job["text"], job["name"])
        return play(scenario, job["seed"], job["salt"], job["settings"], job.get("detail", False))
    except (ScenarioError, RunawayError, TypeError, ValueError) as error:
        return {"error": f"seed {job['seed']}: {error}"}


def main() -> None:
    """Answer jobs until the input ends."""
    mount(Path(sys.argv[1]), Path(sys.argv[2]))
    for line in sys.stdin:
        job = json.loads(line)
        try:
            for name, value in job["overrides"].items():
                override(name, value)
            result = answer(job)
        except OverrideError as error:
            result = {"error": str(error)}
        sys.stdout.write(json.dumps(result) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
