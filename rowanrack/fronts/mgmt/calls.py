"""Handlers of the operators' calls, without I/O of their own: each maps a request to a reply."""

from __future__ import annotations

import json
from typing import Protocol

from rowanrack.net.http import Reply, Request

TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8", "Connection": "close"}
METRICS_HEADERS = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8", "Connection": "close"}
CHANNELS_PATH, LAYOUT_PATH = "/_channels/", "/_layout"
MAX_NAME_LENGTH = 256  # in characters


class NotWrittenError(Exception):
    """Raised when a change is in effect but not persisted, so that it is lost if the process ends now."""


class ChannelLog(Protocol):
    """The log of channels, which exists if the site file has a [channels] section."""

    async def read(self, target: str) -> Reply:
        """Answer a read of a channel."""

    async def announce_layout(self, body: bytes) -> Reply:
        """Announce a layout and return the answer."""


class Operations(Protocol):
    """The operations of the sender that operators' calls use."""

    def channel_log(self) -> ChannelLog | None:
        """Return the log of channels, or None if there is none."""

    def unready_reason(self) -> str:
        """Return in one line why this process is not ready; empty if it is ready."""

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text exposition format."""

    def detach(self, name: str) -> bool:
        """Stop sending to an endpoint; False if it is unknown. Raises NotWrittenError."""

    def attach(self, name: str) -> bool:
        """Resume sending to an endpoint; False if it was not detached. Raises NotWrittenError."""

    def set_lame_duck(self, on: bool) -> None:
        """Enter or leave lame duck, in which clients are drained."""


def text_reply(status: int, text: str) -> Reply:
    """Build a plain-text reply of one line."""
    return Reply(status, TEXT_HEADERS, (text + "\n").encode())


def parse_endpoint_name(body: bytes) -> str:
    """Parse the endpoint name from a body `{"name": "ID"}`. Raises ValueError with a text for the caller."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        raise ValueError("the body is no JSON") from None
    name = document.get("name") if isinstance(document, dict) else None
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise ValueError('the body names no endpoint: {"name": "ID"}')
    return name


async def answer_with_channels(request: Request, operations: Operations) -> Reply:
    """Answer one call, including calls on channels, which may have to ask other sites."""
    path = request.target.partition("?")[0]
    if path != LAYOUT_PATH and not path.startswith(CHANNELS_PATH):
        return answer_locally(request, operations)
    if (channel_log := operations.channel_log()) is None:
        return text_reply(404, "this sender keeps no channels: its file has no [channels]")
    if request.method != (allowed_method := "POST" if path == LAYOUT_PATH else "GET"):
        return text_reply(405, f"{path[:64]} takes {allowed_method}")
    return await (
        channel_log.announce_layout(request.body) if path == LAYOUT_PATH else channel_log.read(request.target)
    )


def answer_locally(request: Request, operations: Operations) -> Reply:
    """Answer one call that needs only this sender."""
    path = request.target.partition("?")[0]
    allowed_method = METHOD_BY_PATH.get(path)
    if allowed_method is None:
        return text_reply(404, f"no such call: {path[:64]}")
    if request.method != allowed_method:
        return text_reply(405, f"{path} takes {allowed_method}")
    match path:
        case "/_ready":
            return (
                text_reply(503, f"not ready: {reason}")
                if (reason := operations.unready_reason())
                else text_reply(200, "ready")
            )
        case "/_vars":
            return Reply(200, METRICS_HEADERS, operations.metrics_text().encode())
        case "/_lameduck/on" | "/_lameduck/off":
            operations.set_lame_duck(path.endswith("/on"))
            return text_reply(200, "lame duck " + path.rpartition("/")[2])
    try:
        name = parse_endpoint_name(request.body)
    except ValueError as error:
        return text_reply(400, str(error))
    change, done_word, not_found_text = (
        (operations.detach, "detached", f"no endpoint {name}")
        if path == "/_endpoints/detach"
        else (operations.attach, "attached", f"{name} is not detached")
    )
    try:
        return text_reply(200, f"{done_word} {name}") if change(name) else text_reply(404, not_found_text)
    except NotWrittenError as error:
        return text_reply(507, f"{done_word} {name} until this process ends, not written yet: {error}")


METHOD_BY_PATH = {
    "/_ready": "GET",
    "/_vars": "GET",
    "/_endpoints/detach": "POST",
    "/_endpoints/attach": "POST",
    "/_lameduck/on": "POST",
    "/_lameduck/off": "POST",
}
