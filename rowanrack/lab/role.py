"""Runs stand-ins in processes of their own: JSON commands on standard input, answers on standard output."""

from __future__ import annotations

import asyncio
import importlib
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]  # the processes run the code of this checkout
MAX_LINE_BYTES = 1 << 26  # of one command or answer
EXIT_TIMEOUT_S = 5.0  # for a process to exit after the end of its input

ROLES = ("links", "partners", "discovery", "clients")
CommandHandler = Callable[[str, dict[str, Any]], Awaitable[Any]]


class RoleError(RuntimeError):
    """A stand-in process rejected a command or has exited; the text gives the reason."""


class Role:
    """The lab's side of a stand-in process."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._last_number = 0
        self._waiting: dict[int, asyncio.Future[Any]] = {}

    async def start(self, *arguments: str) -> None:
        """Start the process; it exits by itself when this process ends."""
        command = (sys.executable, "-m", "rowanrack.lab.role", self.name, *arguments)
        pipe = asyncio.subprocess.PIPE
        self._process = await asyncio.create_subprocess_exec(
            *command, stdin=pipe, stdout=pipe, limit=MAX_LINE_BYTES, cwd=ROOT, start_new_session=True
        )
        self._reader_task = asyncio.create_task(self._read())

    async def ask(self, do: str, **given: Any) -> Any:
        """Send a command and return its answer. Raises RoleError."""
        assert self._process.stdin is not None
        self._last_number += 1
        answer = self._waiting[self._last_number] = asyncio.get_running_loop().create_future()
        if self._reader_task.done():
            raise RoleError(f"{self.name}: the process has exited")
        self._process.stdin.write(
            json.dumps({"n": self._last_number, "do": do, "given": given}).encode() + b"\n"
        )
        await self._process.stdin.drain()
        return await answer

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            doc = json.loads(line)
            answer = self._waiting.pop(doc["n"])
            if answer.done():
                continue
            if "error" in doc:
                answer.set_exception(RoleError(f"{self.name}: {doc['error']}"))
            else:
                answer.set_result(doc["told"])
        for answer in self._waiting.values():
            if not answer.done():
                answer.set_exception(RoleError(f"{self.name}: the process has exited"))

    async def end(self) -> None:
        """End the process and wait for its exit."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        await self._reader_task


async def host(handler: CommandHandler) -> None:
    """Execute commands concurrently until the input ends."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    tasks = set[asyncio.Task[None]]()

    async def execute(doc: dict[str, Any]) -> None:
        try:
            answer = {"n": doc["n"], "told": await handler(doc["do"], doc["given"])}
        except Exception as error:  # any error is reported to the lab
            answer = {"n": doc["n"], "error": f"{doc['do']}: {error or type(error).__name__}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()

    while line := await reader.readline():
        task = asyncio.create_task(execute(json.loads(line)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


def main() -> None:
    """Run `python -m rowanrack.lab.role NAME [ARGUMENTS]`."""
    module = importlib.import_module(f"rowanrack.lab.{sys.argv[1]}")
    asyncio.run(host(module.role(*sys.argv[2:])))


if __name__ == "__main__":
    main()
