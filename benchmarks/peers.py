"""Stand-ins for the loopback benchmark: partners, discovery, usual clients and bad ones, lean on the CPU.

Each runs as a process of its own (`python -m benchmarks.peers ROLE JSON`), so that what it costs is not
booked to the sender. What it counted goes to standard output as one JSON line when it is told to end.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from typing import Any, ClassVar

from hdrh.histogram import HdrHistogram

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
CONFIRMED = b"HTTP/1.1 204 No Content\r\n\r\n"
LONGEST_US = 60_000_000
BAD = (
    b"*1\r\n$-5\r\n",  # a length that is none
    b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nid\r\n$9\r\nc=nothing\r\n$1\r\nx\r\n",  # no such class
    b"GET / HTTP/1.1\r\n\r\n",
    b"A" * 4096,  # a line without end
    b"",  # says nothing
)
GIVES_UP_S = 0.4  # after which a client's answer is of no use to it


class Book:
    """What a stand-in counted."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.ids: dict[str, list[float]] = {}  # of messages, with the times of what happened to each
        self.times = HdrHistogram(1, LONGEST_US, 3)

    def count(self, what: str) -> None:
        """One more of these."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def note(self, message_id: str, when: float | None = None) -> None:
        """Something happened to a message, on the clock that all processes here share."""
        self.ids.setdefault(message_id, []).append(time.monotonic() if when is None else when)

    def document(self) -> dict[str, Any]:
        """As it is printed: counts, and times in milliseconds."""
        quantiles = {f"p{q:g}_ms": self.times.get_value_at_percentile(q) / 1000 for q in (50, 90, 99, 99.9)}
        return {
            "counts": self.counts,
            "ids": self.ids,
            **quantiles,
            "longest_ms": self.times.get_max_value() / 1000,
        }


class Partner:
    """A destination's true figures: a rate with its burst, told waits, answers' times, a silence."""

    def __init__(self, figures: dict[str, Any]) -> None:
        self.figures, self.random = figures, random.Random(figures["seed"])
        self.tokens = self.most = max(2.0, figures["rate"])
        self.filled = self.began = time.monotonic()

    def answer(self) -> tuple[float, bytes] | None:
        """After how long, and what; None for no answer at all."""
        now, f = time.monotonic(), self.figures
        if f["silent_s"] and f["silent_s"][0] <= now - self.began < f["silent_s"][1]:
            return None
        self.tokens = min(self.most, self.tokens + f["rate"] * (now - self.filled))
        self.filled = now
        if self.tokens < 1:
            if self.random.random() < f["told"]:
                wait = max((1 - self.tokens) / f["rate"], self.random.uniform(*f["wait_s"]))
                head = b"HTTP/1.1 429 Too Many\r\nX-Retry-In-Ms: %d\r\n" % (wait * 1000 + 1)
                return 0.002, head + b"Content-Length: 0\r\n\r\n"
            return 0.002, b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
        self.tokens -= 1
        return self.random.lognormvariate(f["mu"], f["sigma"]), OK


class HttpPeer(asyncio.Protocol):
    """Reads requests by their lengths and answers each, after a while if that is asked for."""

    book: Book
    delay_s = 0.0
    partners: ClassVar[dict[int, Partner]] = {}  # by port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = self.data[:end].lower()
            at = head.find(b"content-length:")
            size = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.data) < end + 4 + size:
                return
            body, self.data = self.data[end + 4 : end + 4 + size], self.data[end + 4 + size :]
            self.request(head, body)

    def request(self, head: bytes, body: bytes) -> None:
        """One whole request."""
        self.book.count("calls")
        if (at := head.find(b"x-txn:")) >= 0:
            self.book.note(head[at + 6 :].split(b"\r\n", 1)[0].strip().decode())
        port = self.transport.get_extra_info("sockname")[1]
        if (partner := self.partners.get(port)) is not None:
            if (said := partner.answer()) is not None:
                asyncio.get_running_loop().call_later(said[0], self.write, said[1])
        elif self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self.write, OK)
        else:
            self.write(OK)

    def write(self, data: bytes) -> None:
        """Answer, unless the sender has gone."""
        if not self.transport.is_closing():
            self.transport.write(data)


class Discovery(HttpPeer):
    """Tells its one list, then lets every watch wait; takes notices."""

    hosts: tuple[dict[str, Any], ...] = ()

    def request(self, head: bytes, body: bytes) -> None:
        """A watch or a batch of notices."""
        if head.startswith(b"post /v1/outcomes"):
            for line in body.splitlines():
                notice = json.loads(line)
                self.book.count(notice["outcome"])
                self.book.note(notice["message"])
            self.write(CONFIRMED)
        elif b"index=1&" not in head:
            doc = json.dumps({"seq": 1, "whole": True, "hosts": self.hosts}).encode()
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(doc), doc))


class UsualClient(asyncio.Protocol):
    """Hands in one message after the other: the next as soon as the last is answered, or at its rate."""

    def __init__(self, book: Book, options: dict[str, Any], number: int) -> None:
        self.book, self.options, self.number = book, options, number
        self.sent, self.asked_at, self.waiting = 0, 0.0, False
        self.body = b"x" * options["body"]
        self.random = random.Random(number)
        self.next: asyncio.TimerHandle | None = None
        self.not_before = 0.0  # a refusal told so

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._later()

    def _later(self, pause: float | None = None) -> None:
        """The one next message; a pause that is told holds for the connection after this one, too."""
        loop, rate = asyncio.get_running_loop(), self.options["rate"]
        if pause is None:
            pause = self.random.expovariate(rate) if rate else 0.0
            pause = max(pause, self.not_before - loop.time())
        else:
            self.not_before = loop.time() + pause
        if self.next is not None:
            self.next.cancel()  # of a connection that has ended
        self.next = loop.call_later(pause, self.submit)

    def submit(self) -> None:
        """Hand one message in."""
        if self.transport.is_closing():
            return
        self.sent += 1
        cls = b"album-update" if self.sent % 5 < 3 else b"print-order"
        dest = self.random.randrange(self.options["dests"])
        listed = b"c=%b,t=a,d=%d,dest=%d" % (cls, self.options["deadline_ms"], dest)
        self.id = b"%08x%08x" % (self.number, self.sent)
        words = (b"SUBMIT", b"0", self.id, listed, self.body)
        self.asked_at, self.waiting = time.perf_counter(), True
        self.transport.write(b"*5\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words))

    def data_received(self, data: bytes) -> None:
        """The answer: one short line, which comes in one piece."""
        self.waiting = False
        took = time.perf_counter() - self.asked_at
        self.book.times.record_value(max(1, int(took * 1e6)))
        self.book.count({b"+": "taken", b"-": "refused"}.get(data[:1], "odd"))
        if took > GIVES_UP_S:
            self.book.count("late")
        if data[:1] == b"+":
            # Its time runs from when it was read, which is at the latest when it was answered.
            self.book.note(self.id.decode(), time.monotonic() + self.options["deadline_ms"] / 1000)
        if data[:1] == b"-":  # told when to come again, it hands in its next message then
            told = data.split()
            again = int(told[1]) / 1000 if len(told) > 1 and told[1].isdigit() else 0.05
            self._later(again)
        elif self.options["rate"]:
            self._later()
        else:
            self.submit()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop; a connection that ends without an answer is counted."""
        if self.waiting:
            self.book.count("unanswered")
            self.waiting = False
        if not self.options.get("ended"):
            asyncio.get_running_loop().call_soon(lambda: asyncio.ensure_future(self.connect()))

    async def connect(self) -> None:
        """Open the connection, again if need be."""
        while True:
            try:
                host, port = self.options["sender"]
                await asyncio.get_running_loop().create_connection(lambda: self, host, port)
                return
            except OSError:
                self.book.count("not connected")
                await asyncio.sleep(0.05)


async def bad_client(book: Book, options: dict[str, Any], number: int) -> None:
    """Sends what cannot be read, or nothing, and comes back as soon as it is turned away.

    By its kind it sends one of `BAD` ("bad"), says nothing ("silent"), leaves at once ("leaving"), or sends
    a request by single bytes ("drip").
    """
    kind, request = options["kind"], b"*5\r\n$6\r\nSUBMIT\r\n$100000\r\n" + b"x" * 2000
    while True:
        began = time.perf_counter()
        try:
            reader, writer = await asyncio.open_connection(*options["sender"])
            if kind == "bad":
                writer.write(BAD[number % len(BAD)])
            elif kind == "drip":
                for at in range(len(request)):
                    writer.write(request[at : at + 1])
                    await writer.drain()
                    if reader.at_eof():
                        break
                    await asyncio.sleep(0.0005)
            if kind != "leaving":
                await reader.read(1 << 16)  # an error, or a close
            book.count("parted")
            writer.close()
        except OSError:
            book.count("reset")
        book.times.record_value(max(1, int((time.perf_counter() - began) * 1e6)))
        await asyncio.sleep(0.001)


async def play(role: str, options: dict[str, Any]) -> None:
    """Play a role until SIGTERM."""
    loop, book, end = asyncio.get_running_loop(), Book(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, end.set)

    def begin_anew() -> None:
        book.counts.clear()
        book.times.reset()

    loop.add_signal_handler(signal.SIGUSR1, begin_anew)  # the warm-up is over
    HttpPeer.book = book
    match role:
        case "partners":
            HttpPeer.delay_s = options["answer_ms"] / 1000
            HttpPeer.partners = {int(p): Partner(f) for p, f in options.get("figures", {}).items()}
            for port in options["ports"]:
                await loop.create_server(HttpPeer, "127.0.0.1", port)
        case "discovery":
            Discovery.hosts = tuple(options["hosts"])
            await loop.create_server(Discovery, "127.0.0.1", options["port"])
        case "clients":
            await asyncio.gather(*(UsualClient(book, options, n).connect() for n in range(options["count"])))
        case _:
            tasks = [asyncio.ensure_future(bad_client(book, options, n)) for n in range(options["count"])]
            assert len(tasks) == options["count"]
    print("ready", flush=True)
    await end.wait()
    options["ended"] = True
    print(json.dumps(book.document()), flush=True)


if __name__ == "__main__":
    asyncio.run(play(sys.argv[1], json.loads(sys.argv[2])))
