"""Heads of very many short fields, which take a multiple of their bytes once they are parsed."""

from __future__ import annotations

from pathlib import Path

import pytest

from rowanrack.net.head_limit import MAX_HEADER_FIELDS, HeadLineCounter
from rowanrack.net.http import Reply
from tests.rig import Rig, answers, on_loop

FIELDS = {count: b"".join(b"a%x:\r\n" % number for number in range(count)) for count in (90, 101, 3000)}


def export(fields: bytes) -> bytes:
    head = (
        b"POST /v1/logs HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: 0\r\n"
    )
    return head + fields + b"\r\n"


@pytest.mark.parametrize("split_at", [1, 2, 3, 4, 5, 6, 7])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
def test_lines_of_a_head_are_counted_for_any_split(split_at: int, line_end: bytes) -> None:
    head = line_end.join([b"GET / HTTP/1.1", *[b"a:"] * (MAX_HEADER_FIELDS), b"", b""])
    data = head + line_end * 50  # what follows is a body
    counter = HeadLineCounter()
    counter.begin(data[:split_at])
    for begin in range(split_at, len(data), split_at):
        counter.feed(data[begin : begin + split_at])
    assert not counter.exceeded
    counter.begin()
    for line in head.replace(b"a:", b"a:" + line_end + b"b:").splitlines(keepends=True):
        counter.feed(line)
    assert counter.exceeded


@pytest.mark.parametrize(("count", "status"), [(90, 200), (101, 431), (3000, 431)])
@pytest.mark.parametrize("piece", [7, 1 << 20])
@pytest.mark.parametrize("requests_before", [0, 1])
@on_loop
async def test_a_request_head_of_too_many_fields_is_rejected_unparsed(
    tmp_path: Path, count: int, status: int, piece: int, requests_before: int
) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        stream = await rig.connect(1)
        data = export(b"") * requests_before + export(FIELDS[count])
        for begin in range(0, len(data), piece):
            stream.send_now(data[begin : begin + piece])
        received = b""
        while received.count(b"HTTP/1.1 ") <= requests_before and await stream.fill():
            received += stream.receive_buffer.read(1 << 16)
        assert [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]] == [200] * requests_before + [
            status
        ]


@on_loop
async def test_a_head_of_too_many_fields_is_not_kept_while_its_body_is_awaited(tmp_path: Path) -> None:
    """Each such connection kept megabytes of parsed fields until its request timed out."""
    async with Rig(tmp_path) as rig:
        stream = await rig.connect(1)
        await stream.send(export(FIELDS[3000]).replace(b"Content-Length: 0", b"Content-Length: 9"))
        while b"431" not in stream.receive_buffer.peek(16) and await stream.fill():
            pass
        assert stream.receive_buffer.peek(12) == b"HTTP/1.1 431"
