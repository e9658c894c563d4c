"""Runs on all cores: workers for each variant, and results in the order of the jobs whatever comes first."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from rowanrack.model.variants import Variant

HERE = Path(__file__).parent


class RunError(Exception):
    """A run has failed; the text is one line."""


class Worker:
    """A process that runs jobs of one variant."""

    def __init__(self, variant: Variant) -> None:
        self.variant = variant
        command = [sys.executable, str(HERE / "worker.py"), str(variant.tree), str(HERE)]
        env = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
        # No pipe, which nobody reads: full after 64 KiB of log lines, it would stop the run for ever.
        self.said = tempfile.TemporaryFile()  # noqa: SIM115 (closed in `close`)
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=self.said, text=True, env=env
        )

    def run(self, job: dict[str, Any]) -> dict[str, Any]:
        """One run. Raises RunError."""
        assert self.process.stdin is not None and self.process.stdout is not None
        more = {"overrides": self.variant.overrides, "settings": self.variant.settings}
        try:
            self.process.stdin.write(json.dumps({**job, **more}) + "\n")
            self.process.stdin.flush()
            line = self.process.stdout.readline()
        except BrokenPipeError:
            line = ""
        if not line:
            self.process.wait()
            self.said.seek(0)
            said = self.said.read().decode(errors="replace").strip().splitlines() or ["it says nothing"]
            raise RunError(f"{self.variant.label}: does not run: {said[-1]}")
        result: dict[str, Any] = json.loads(line)
        if "error" in result:
            raise RunError(f"{self.variant.label}: {result['error']}")
        return result

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.communicate()
        self.said.close()


class Pool:
    """As many threads as there are cores, each with a worker of its own for every variant that it meets."""

    def __init__(self, jobs: int) -> None:
        self._threads = ThreadPoolExecutor(jobs)
        self._local, self._workers, self._lock = threading.local(), list[Worker](), threading.Lock()

    def __enter__(self) -> Pool:
        return self

    def __exit__(self, *_: object) -> None:
        self._threads.shutdown(wait=True, cancel_futures=True)
        for worker in self._workers:
            worker.close()

    def map(
        self, tasks: list[tuple[Variant, dict[str, Any]]], done: Callable[[], None] = lambda: None
    ) -> Iterator[dict[str, Any]]:
        """The result of each task, in their order. Raises RunError."""

        def run(task: tuple[Variant, dict[str, Any]]) -> dict[str, Any]:
            try:
                return self._worker(task[0]).run(task[1])
            finally:
                done()

        return self._threads.map(run, tasks)

    def _worker(self, variant: Variant) -> Worker:
        mine: dict[str, Worker] = self._local.__dict__.setdefault("workers", {})
        if variant.label not in mine:
            mine[variant.label] = Worker(variant)
            with self._lock:
                self._workers.append(mine[variant.label])
        return mine[variant.label]


def cores() -> int:
    """How many there are for us."""
    return len(os.sched_getaffinity(0))
