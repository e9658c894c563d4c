"""A stand-in for service discovery: per-sender endpoint lists, the long-poll watch, and outcome notices."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from rowanrack.lab.books import Book
from rowanrack.lab.role import CommandHandler
from rowanrack.lab.stand_in import HttpServer, sender_address
from rowanrack.net.http import Reply, Request

MAX_WATCH_MS = 10_000


class Discovery(HttpServer):
    """Serves the endpoints, with the addresses at which each sender reaches them."""

    def __init__(self, book: Book) -> None:
        super().__init__()
        self.book = book
        self.hosts: dict[str, dict[str, Any]] = {}
        self.dials: dict[str, dict[str, str]] = {}
        self.sender_names: dict[str, str] = {}  # senders by address
        self.seq, self.changed = 1, asyncio.Event()

    async def execute(self, command: str, arguments: dict[str, Any]) -> Any:
        """Execute one command of the lab."""
        match command:
            case "open":
                await self.open()
                return self.port
            case "lists":
                self.hosts = {host["host"]: host for host in arguments["hosts"]}
                self.dials = arguments["dials"]
                self.sender_names = {sender_address(n): name for n, name in enumerate(self.dials)}
            case "health":
                self.hosts[arguments["host"]]["health"] = arguments["health"]
            case _:
                raise ValueError("unknown command")
        self.seq += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return self.seq

    async def answer(self, request: Request, peer: str) -> Reply | None:
        """Answer a watch request, or record outcome notices."""
        who = self.sender_names.get(peer, peer)
        if request.target == "/v1/outcomes":
            for line in request.body.splitlines():
                notice = json.loads(line)
                self.book.add("notice", who, notice["message"], note=notice["outcome"])
            return Reply(204, {})
        query = parse_qs(urlsplit(request.target).query)
        if int(query["index"][0]) >= self.seq:
            wait_ms = min(int(query.get("wait", ["0"])[0]), MAX_WATCH_MS)
            try:
                await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
            except TimeoutError:
                doc: dict[str, Any] = {"seq": self.seq, "whole": False, "hosts": []}
                return Reply(200, {}, json.dumps(doc).encode())
        dials = self.dials.get(who, {})
        hosts = [host | {"dial": dials[name]} for name, host in self.hosts.items() if name in dials]
        for host in hosts:
            self.book.add("told", who, place=host["host"], note=host["health"])
        return Reply(200, {}, json.dumps({"seq": self.seq, "whole": True, "hosts": hosts}).encode())


def role(book: str) -> CommandHandler:
    """Return the command handler that the hosting process runs."""
    return Discovery(Book(Path(book))).execute
