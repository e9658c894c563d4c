"""The contract of `Links`: each call ends once, by an answer or a failure, and is never sent twice."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from rowanrack.channels.ports import Links
from rowanrack.channels_io.links import MAX_BODY_BYTES, HttpLinks
from rowanrack.channels_io.memory_links import MemoryNetwork
from rowanrack.channels_io.server import SitesServer
from tests.rig import after, on_loop
from tests.test_core import ExchangeHarness

TIMEOUT_US = 300_000
End = tuple[bytes | None, int, str]
Twin = Callable[[Links], Links]


def sound(links: Links) -> Links:
    """Return the links unchanged."""
    return links


class Site:
    """The called site: records its requests, and answers by the first word of each."""

    def __init__(self) -> None:
        self.asked: list[bytes] = []
        self.go = asyncio.Event()

    async def answer(self, body: bytes) -> bytes | None:
        self.asked.append(body)
        if body.startswith(b"hang"):
            await self.go.wait()
        return None if body.startswith(b"busy") else b"re:" + body


class World:
    """Links to a site `b` that can stop and restart, and to `nobody`, which is unreachable."""

    def __init__(self, links: Links, site: Site, die: Callable[[], Awaitable[None]],
                 back: Callable[[], Awaitable[None]]) -> None:  # fmt: skip
        self.links, self.site, self.die, self.back = links, site, die, back
        self.ends: list[End] = []

    async def call(self, site: str, body: bytes, give_up: bool = False) -> End:
        over: asyncio.Future[End] = asyncio.get_running_loop().create_future()

        def done(answer: bytes | None, wait_us: int, why: str, /) -> None:
            self.ends.append((answer, wait_us, why))
            if not over.done():
                over.set_result((answer, wait_us, why))

        stop = self.links.call(site, body, TIMEOUT_US, done)
        if give_up:
            while body not in self.site.asked:
                await asyncio.sleep(0.001)
            stop()
            stop()
        return await over


@asynccontextmanager
async def over_http(folder: Path, twin: Twin = sound) -> AsyncIterator[World]:
    site, exchange = Site(), ExchangeHarness(folder).exchange
    exchange.after = after  # type: ignore[method-assign, assignment]
    servers: list[SitesServer] = []

    async def back() -> None:
        servers.append(SitesServer(exchange, 16, site.answer))
        await servers[-1].listen("127.0.0.1", servers[0].port)

    async def die() -> None:
        servers[-1].close()
        await asyncio.sleep(0.01)

    await back()
    with_port = ("127.0.0.1", servers[0].port)
    links = HttpLinks(after, {"b": with_port, "nobody": ("127.0.0.1", 1)})
    yield World(twin(links), site, die, back)
    links.close()
    servers[-1].close()


@asynccontextmanager
async def in_memory(folder: Path, twin: Twin = sound) -> AsyncIterator[World]:
    site, network = Site(), MemoryNetwork(after)

    def serve(body: bytes) -> tuple[bytes | None, int]:
        network.link_state("a", "b").drops_answers = body.startswith(b"hang")
        site.asked.append(body)
        return (None, 1_000_000) if body.startswith(b"busy") else (b"re:" + body, 0)

    async def back() -> None:
        network.sites["b"] = serve

    async def die() -> None:
        del network.sites["b"]

    await back()
    yield World(twin(network.links("a")), site, die, back)


LINKS: list[Any] = [over_http, in_memory]
each = pytest.mark.parametrize("made", LINKS)


async def keeps(world: World) -> None:
    """Check the contract with a site that answers, refuses, hangs, stops and restarts."""
    big = b"x" * (MAX_BODY_BYTES - 100)
    for body in (b"one", b"", big):
        assert await world.call("b", body) == (b"re:" + body, 0, "")
    assert await world.call("b", b"busy") == (None, 1_000_000, world.ends[-1][2]) and world.ends[-1][2]
    answer, wait_us, why = await world.call("nobody", b"lost")
    assert answer is None and not wait_us and why and "\n" not in why
    for give_up in (True, False):  # the site hangs: the call is cancelled, then times out
        answer, _, why = await world.call("b", b"hang%d" % give_up, give_up)
        assert answer is None and why
    together = await asyncio.gather(*(world.call("b", b"n%d" % n) for n in range(3)))
    assert [t[0] for t in together] == [b"re:n0", b"re:n1", b"re:n2"]
    await world.die()
    assert (await world.call("b", b"dead"))[0] is None and b"dead" not in world.site.asked
    await world.back()
    assert (await world.call("b", b"again"))[0] == b"re:again"
    await asyncio.sleep(TIMEOUT_US / 1e6 + 0.05)  # no call ends or is sent a second time
    assert len(world.ends) == 12 and len(world.site.asked) == len(set(world.site.asked)) == 10


@each
@on_loop
async def test_each_call_ends_once_and_is_sent_once(made: Any, tmp_path: Path) -> None:
    async with made(tmp_path) as world:
        await keeps(world)


class Twice:
    """Broken: sends a call again if its answer does not come."""

    def __init__(self, links: Links) -> None:
        self.links = links

    def call(self, site: str, body: bytes, timeout_us: int, done: Any) -> Callable[[], None]:
        def again(answer: bytes | None, wait_us: int, why: str, /) -> None:
            if answer is None and not wait_us:
                self.links.call(site, body, timeout_us, done)
            else:
                done(answer, wait_us, why)

        return self.links.call(site, body, timeout_us, again)


class Silent(Twice):
    """Broken: a failed call never ends."""

    def call(self, site: str, body: bytes, timeout_us: int, done: Any) -> Callable[[], None]:
        def only_answers(answer: bytes | None, wait_us: int, why: str, /) -> None:
            if answer is not None or wait_us:
                done(answer, wait_us, why)

        return self.links.call(site, body, timeout_us, only_answers)


@each
@pytest.mark.parametrize("broken", [Twice, Silent])
def test_the_contract_catches_broken_links(made: Any, broken: Any, tmp_path: Path) -> None:
    async def play() -> None:
        async with made(tmp_path, broken) as world, asyncio.timeout(2):
            await keeps(world)

    with pytest.raises((AssertionError, TimeoutError)):
        asyncio.run(play())
