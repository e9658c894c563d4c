"""The message ids of SUBMIT commands that are still being received.

An id belongs to the client that has begun to send it first. A complete command under the id of another
client's open request is rejected, unless it repeats that request: a client whose connection has ended sends
its command once more on a new one, perhaps before the end of the old one is noticed here.
"""

from __future__ import annotations

import re

from rowanrack.fronts.platform.resp import encode_command
from rowanrack.net.stream import Stream

MAX_HEAD_BYTES = 512  # of a command, up to the end of its id
# The array's length, the command's name, the key and the id.
SUBMIT_HEAD = re.compile(
    rb"\*5\r\n\$6\r\nSUBMIT\r\n\$[0-9]+\r\n[^\r\n]*\r\n\$[0-9]+\r\n([!-~]{1,256})\r\n", re.IGNORECASE
)


class OpenRequests:
    """The incomplete SUBMIT commands by their id, each at the start of its connection's receive buffer."""

    def __init__(self) -> None:
        self._streams: dict[bytes, Stream] = {}
        self._ids: dict[Stream, bytes] = {}

    def received_part(self, stream: Stream) -> None:
        """Record that the connection has received a part of a command."""
        if stream in self._ids:
            return
        head = SUBMIT_HEAD.match(stream.receive_buffer.peek(MAX_HEAD_BYTES))
        if head is not None and head[1] not in self._streams:
            self._ids[stream], self._streams[head[1]] = head[1], stream

    def completed(self, stream: Stream) -> None:
        """Record that the connection has no incomplete command any more."""
        if (message_id := self._ids.pop(stream, None)) is not None:
            del self._streams[message_id]

    def conflicts_with(self, arguments: list[bytes]) -> bool:
        """Return whether a complete SUBMIT command has the id of another request that is being received."""
        stream = self._streams.get(arguments[2])
        if stream is None or stream.closing:
            return False
        received = stream.receive_buffer.peek(len(stream.receive_buffer))
        return not encode_command(arguments).startswith(received)
