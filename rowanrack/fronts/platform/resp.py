"""RESP2: parses commands, arrays of bulk strings, from a ring buffer, and encodes answers."""

from __future__ import annotations

from rowanrack.net.ring import RingBuffer

MAX_ARGUMENTS = 16
MAX_BULK_STRING_BYTES = 64 * 1024
MAX_LINE_BYTES = 32


class RespError(Exception):
    """Raised for input that is not a valid command; the text is sent to the client."""


def parse_command(ring: RingBuffer) -> list[bytes] | None:
    """Remove the next complete command from the ring and return it, or None if it is incomplete."""
    offset = 0

    def parse_number(type_byte: bytes, minimum: int, maximum: int) -> int | None:
        """Parse the next line, a type byte and a number; None if the line is incomplete."""
        nonlocal offset
        line = ring.peek(MAX_LINE_BYTES, offset)
        end = line.find(b"\r\n")
        if line and line[:1] != type_byte:
            raise RespError(f"Protocol error: expected {type_byte.decode()!r}")
        if end < 0:
            if len(line) == MAX_LINE_BYTES:
                raise RespError("Protocol error: a line is too long")
            return None
        digits = line[1:end]
        if not digits.isdigit():
            raise RespError("Protocol error: not a length")
        value = int(digits)
        if not minimum <= value <= maximum:
            raise RespError("Protocol error: a length is out of range")
        offset += end + 2
        return value

    count = parse_number(b"*", 1, MAX_ARGUMENTS)
    if count is None:
        return None
    arguments: list[bytes] = []
    for _ in range(count):
        size = parse_number(b"$", 0, MAX_BULK_STRING_BYTES)
        if size is not None and offset + size + 2 > ring.limit:
            # The command would never fit in the ring, so it would be waited for without end.
            raise RespError("Protocol error: the command is too long")
        if size is None or len(ring) < offset + size + 2:
            return None
        if ring.peek(2, offset + size) != b"\r\n":
            raise RespError("Protocol error: a bulk string has no end")
        arguments.append(ring.peek(size, offset))
        offset += size + 2
    ring.read(offset)
    return arguments


def encode_command(arguments: list[bytes]) -> bytes:
    """Encode a command."""
    parts = [b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n" % len(arguments) + b"".join(parts)


def simple_string(text: str) -> bytes:
    """Encode a simple string."""
    return f"+{text}\r\n".encode()


def error_line(text: str) -> bytes:
    """Encode an error. Line breaks are replaced, since an error is a single line."""
    return b"-" + " ".join(text.split()).encode("utf-8", "replace") + b"\r\n"
