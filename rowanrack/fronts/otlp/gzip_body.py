"""Decompression of request bodies with `Content-Encoding: gzip` (RFC 1952)."""

from __future__ import annotations

import zlib

from rowanrack.fronts.otlp import OtlpError
from rowanrack.net.http import ChunkTurns

GZIP_WINDOW_BITS = 31  # tells zlib to expect the gzip format
CHUNK_BYTES = 4 * 1024  # given to a decompressor at a time; it copies what follows its member


async def gunzip(body: bytes, limit_bytes: int) -> bytes:
    """Return the content of all members of a gzip body, one after the other.

    Raises OtlpError if it is larger than the limit, invalid, or cut off. The limit protects against a small
    body that decompresses to gigabytes. Others may run between the members of a body that has very many.
    """
    content, rest, turns = bytearray(), memoryview(body), ChunkTurns()
    decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
    while rest:
        if decompressor.eof:
            if not any(rest):
                break  # padding, which gzip ignores, too
            decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
        chunk = rest[:CHUNK_BYTES]
        try:
            content += decompressor.decompress(chunk, limit_bytes + 1 - len(content))
        except zlib.error:
            raise OtlpError(400, "the body is no gzip") from None
        if len(content) > limit_bytes:
            raise OtlpError(413, f"the body is larger than {limit_bytes} bytes")
        rest = rest[len(chunk) - len(decompressor.unused_data) :]
        await turns.count()
    if not decompressor.eof:
        raise OtlpError(400, "the gzip body is cut off")
    return bytes(content)
