"""RESP2: commands as arrays of bulk strings, parsed from a ring buffer as they come in."""

from __future__ import annotations

from rowanrack.net.ring import RingBuffer

WORDS_MOST = 16
BULK_MOST = 64 * 1024
LINE_MOST = 32


class RespError(Exception):
    """What came in is no RESP2 command; the text is for the client."""


def parse_command(ring: RingBuffer) -> list[bytes] | None:
    """The next whole command, taken from the ring, or None until more has come in."""
    at = 0

    def number(sign: bytes, least: int, most: int) -> int | None:
        """The number on the next line behind its sign; None if the line is not whole yet."""
        nonlocal at
        line = ring.peek(LINE_MOST, at)
        end = line.find(b"\r\n")
        if line and line[:1] != sign:
            raise RespError(f"Protocol error: expected {sign.decode()!r}")
        if end < 0:
            if len(line) == LINE_MOST:
                raise RespError("Protocol error: a line is too long")
            return None
        digits = line[1:end]
        if not digits.isdigit():
            raise RespError("Protocol error: not a length")
        value = int(digits)
        if not least <= value <= most:
            raise RespError("Protocol error: a length is out of range")
        at += end + 2
        return value

    count = number(b"*", 1, WORDS_MOST)
    if count is None:
        return None
    words: list[bytes] = []
    for _ in range(count):
        size = number(b"$", 0, BULK_MOST)
        if size is not None and at + size + 2 > ring.limit:
            # Guards against a command that could never be whole in its ring.
            raise RespError("Protocol error: the command is too long")
        if size is None or len(ring) < at + size + 2:
            return None
        if ring.peek(2, at + size) != b"\r\n":
            raise RespError("Protocol error: a bulk string has no end")
        words.append(ring.peek(size, at))
        at += size + 2
    ring.read(at)
    return words


def simple(text: str) -> bytes:
    """A simple string."""
    return f"+{text}\r\n".encode()


def error(text: str) -> bytes:
    """An error; it must stand on one line."""
    return b"-" + " ".join(text.split()).encode("utf-8", "replace") + b"\r\n"
