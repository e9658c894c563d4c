"""The operators' calls and their answers, without I/O: a request in, a reply out."""

from __future__ import annotations

import json
from typing import Protocol

from rowanrack.net.http import Reply, Request

TEXT = {"Content-Type": "text/plain; charset=utf-8", "Connection": "close"}
FIGURES = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8", "Connection": "close"}
CHANNELS, LAYOUT = "/_channels/", "/_layout"
NAME_MOST = 256  # characters of an endpoint's id


class NotKeptError(Exception):
    """A change holds but could not be written; the text says why. It is lost if the process ends now."""


class Past(Protocol):
    """The channels' log, where the operator's file has one."""

    async def past(self, target: str) -> Reply:
        """The answer to a read of a channel."""

    async def announce(self, body: bytes) -> Reply:
        """Announce a layout."""


class Operations(Protocol):
    """What the operators' calls reach in the sender."""

    def log_of_channels(self) -> Past | None:
        """The channels' log; None without one."""

    def unready(self) -> str:
        """Why this process does not serve, in one line; empty while it does."""

    def figures(self) -> str:
        """The figures in the exposition format."""

    def detach(self, name: str) -> bool:
        """Send nothing new to an endpoint; False if nobody knows it. Raises NotKeptError."""

    def attach(self, name: str) -> bool:
        """Use an endpoint again; False if it was not detached. Raises NotKeptError."""

    def lameduck(self, on: bool) -> None:
        """Begin or end a drain of the clients."""


def plain(status: int, text: str) -> Reply:
    """An answer of one line."""
    return Reply(status, TEXT, (text + "\n").encode())


def endpoint_name(body: bytes) -> str:
    """The endpoint named in a body `{"name": "ID"}`. Raises ValueError with a text for the caller."""
    try:
        doc = json.loads(body)
    except (ValueError, RecursionError):
        raise ValueError("the body is no JSON") from None
    name = doc.get("name") if isinstance(doc, dict) else None
    if not isinstance(name, str) or not 0 < len(name) <= NAME_MOST:
        raise ValueError('the body names no endpoint: {"name": "ID"}')
    return name


async def answer_in_time(request: Request, ops: Operations) -> Reply:
    """The reply to one operator's call, also where other sites have to be asked for it."""
    path = request.target.partition("?")[0]
    if path != LAYOUT and not path.startswith(CHANNELS):
        return answer(request, ops)
    if (past := ops.log_of_channels()) is None:
        return plain(404, "this sender keeps no channels: its file has no [channels]")
    if request.method != (wanted := "POST" if path == LAYOUT else "GET"):
        return plain(405, f"{path[:64]} takes {wanted}")
    return await (past.announce(request.body) if path == LAYOUT else past.past(request.target))


def answer(request: Request, ops: Operations) -> Reply:
    """The reply to one operator's call."""
    path = request.target.partition("?")[0]
    wanted = ROUTES.get(path)
    if wanted is None:
        return plain(404, f"no such call: {path[:64]}")
    if request.method != wanted:
        return plain(405, f"{path} takes {wanted}")
    match path:
        case "/_ready":
            return plain(503, f"not ready: {why}") if (why := ops.unready()) else plain(200, "ready")
        case "/_vars":
            return Reply(200, FIGURES, ops.figures().encode())
        case "/_lameduck/on" | "/_lameduck/off":
            ops.lameduck(path.endswith("/on"))
            return plain(200, "lame duck " + path.rpartition("/")[2])
    try:
        name = endpoint_name(request.body)
    except ValueError as bad:
        return plain(400, str(bad))
    change, done, unknown = (
        (ops.detach, "detached", f"no endpoint {name}")
        if path == "/_endpoints/detach"
        else (ops.attach, "attached", f"{name} is not detached")
    )
    try:
        return plain(200, f"{done} {name}") if change(name) else plain(404, unknown)
    except NotKeptError as error:
        return plain(507, f"{done} {name} until this process ends, not written yet: {error}")


ROUTES = {
    "/_ready": "GET",
    "/_vars": "GET",
    "/_endpoints/detach": "POST",
    "/_endpoints/attach": "POST",
    "/_lameduck/on": "POST",
    "/_lameduck/off": "POST",
}
