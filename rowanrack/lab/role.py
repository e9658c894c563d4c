"""Processes that host stand-ins: commands as JSON lines on standard input, answers on standard output."""

from __future__ import annotations

import asyncio
import importlib
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]  # where this very program stands: processes run it, not another one
LINE_MOST = 1 << 26  # bytes of one command or answer
END_S = 5.0  # for a process to leave once its commands have ended

ROLES = ("links", "partners", "discovery", "clients")
Do = Callable[[str, dict[str, Any]], Awaitable[Any]]


class RoleError(RuntimeError):
    """A hosted process refused a command, or is gone; the text says why."""


class Role:
    """The lab's side of such a process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._count = 0
        self._waiting: dict[int, asyncio.Future[Any]] = {}

    async def start(self, *given: str) -> None:
        """Start it; it leaves by itself once this process is gone."""
        command = (sys.executable, "-m", "rowanrack.lab.role", self.name, *given)
        pipe = asyncio.subprocess.PIPE
        self._child = await asyncio.create_subprocess_exec(
            *command, stdin=pipe, stdout=pipe, limit=LINE_MOST, cwd=ROOT, start_new_session=True
        )
        self._reading = asyncio.create_task(self._read())

    async def ask(self, do: str, **given: Any) -> Any:
        """One command and its answer. Raises RoleError."""
        assert self._child.stdin is not None
        self._count += 1
        told = self._waiting[self._count] = asyncio.get_running_loop().create_future()
        if self._reading.done():
            raise RoleError(f"{self.name}: gone")
        self._child.stdin.write(json.dumps({"n": self._count, "do": do, "given": given}).encode() + b"\n")
        await self._child.stdin.drain()
        return await told

    async def _read(self) -> None:
        assert self._child.stdout is not None
        while line := await self._child.stdout.readline():
            doc = json.loads(line)
            told = self._waiting.pop(doc["n"])
            if told.done():
                continue
            if "error" in doc:
                told.set_exception(RoleError(f"{self.name}: {doc['error']}"))
            else:
                told.set_result(doc["told"])
        for told in self._waiting.values():
            if not told.done():
                told.set_exception(RoleError(f"{self.name}: gone"))

    async def end(self) -> None:
        """End it and wait until it is gone."""
        assert self._child.stdin is not None
        self._child.stdin.close()
        try:
            await asyncio.wait_for(self._child.wait(), END_S)
        except TimeoutError:
            self._child.kill()
            await self._child.wait()
        await self._reading


async def host(do: Do) -> None:
    """Answer commands, several at a time, until the input ends."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    tasks = set[asyncio.Task[None]]()

    async def answer(doc: dict[str, Any]) -> None:
        try:
            told = {"n": doc["n"], "told": await do(doc["do"], doc["given"])}
        except Exception as error:  # the lab hears of it, whatever it is
            told = {"n": doc["n"], "error": f"{doc['do']}: {error or type(error).__name__}"}
        sys.stdout.write(json.dumps(told) + "\n")
        sys.stdout.flush()

    while line := await reader.readline():
        task = asyncio.create_task(answer(json.loads(line)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


def main() -> None:
    """`python -m rowanrack.lab.role NAME [BOOK]`."""
    module = importlib.import_module(f"rowanrack.lab.{sys.argv[1]}")
    asyncio.run(host(module.role(*sys.argv[2:])))


if __name__ == "__main__":
    main()
