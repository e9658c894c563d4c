"""What an event is, its one place in the order, and its bytes. Source: docs/channels.md."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any, NamedTuple

import msgspec
from blake3 import blake3

FLEET = "fleet"  # the channel of what operators do; every site keeps it whole
CHAIN_BYTES = 8
START = bytes(CHAIN_BYTES)  # the chain in front of a stream's first event

# The kinds that this version writes. Others, from a newer version, are kept and passed on unread.
TAKEN = "taken"  # {"message", "class", "tenant", "left_us"}
BEGUN = "begun"  # {"message", "leg", "endpoint"}: a call's first byte is about to go out
MAY_HAVE_RUN = "may-have-run"  # {"message", "leg", "endpoint", "result"}
NEVER_RAN = "never-ran"  # {"message", "leg", "endpoint", "result"}
DELIVERED, REFUSED, FAILED = "delivered", "refused", "failed"  # {"message"}, a refusal's also {"again_us"}
WAIT = "wait"  # {"endpoint", "wait_us"}: a wait was told
OUT, BACK = "out", "back"  # {"endpoint"}: an outage seen, and over
LISTED, DRAINING, GONE = "listed", "draining", "gone"  # {"endpoint", "kind", "rate"}
LOST = "lost"  # {"count", "from", "to"}: events of this origin that no store had room for
DETACHED = "detached"  # {"endpoint"}, on FLEET
ATTACHED = "attached"  # {"endpoint", "undoes": [[site, life, number], ...]}, on FLEET
LAYOUT = "layout"  # {"version", "from", "shards", "keepers", "sites": [[name, weight], ...]}, on FLEET
KEPT = "kept"  # {"version", "shard", "layout"}, on FLEET: its origin now keeps this shard whole

_plain, _sorted = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Encoder(order="sorted").encode


class Stream(NamedTuple):
    """One origin's events on one channel: `site` is the sender's name, `life` its incarnation."""

    channel: str
    site: str
    life: str


class Place(NamedTuple):
    """Where an event stands in its channel's order, the same at every site. Times are Unix microseconds."""

    at: int
    tick: int
    site: str
    life: str
    number: int


class Event(msgspec.Struct, frozen=True, array_like=True):
    """Something that happened on a channel. It never changes once it has its number.

    `number` counts from 1 without gaps in its stream. `at` and `tick` are its hybrid logical time: both grow
    along a stream, and an event comes behind all that its origin had seen of the channel when it wrote it.
    `chain` is the stream's digest up to and including this event: two streams under one name show by it.
    """

    channel: str
    site: str
    life: str
    number: int
    at: int
    tick: int
    kind: str
    data: bytes  # the payload as msgpack: a map, unread where the kind is not known
    chain: bytes = START

    @property
    def stream(self) -> Stream:
        """The stream that it belongs to."""
        return Stream(self.channel, self.site, self.life)

    @property
    def place(self) -> Place:
        """Its place in the channel's order."""
        return Place(self.at, self.tick, self.site, self.life, self.number)

    @property
    def id(self) -> str:
        """Its name for people: site/life/number on its channel."""
        return f"{self.site}/{self.life}/{self.number}"

    def payload(self) -> dict[str, Any]:
        """The payload. Raises ValueError if it is no map."""
        found = msgspec.msgpack.decode(self.data)
        if not isinstance(found, dict):
            raise ValueError(f"event {self.id}: the payload is no map")
        return found


class Head(NamedTuple):
    """How far a stream goes where it is kept: events with floor < number <= number are there."""

    stream: Stream
    floor: int  # the highest number that retention or a loss has taken; 0: it is there from its start
    number: int  # the highest number
    at: int  # that event's hybrid time
    tick: int
    chain: bytes


class Gap(NamedTuple):
    """Events that are not here and never will be: numbers first to last of a stream, and why, for people."""

    stream: Stream
    first: int
    last: int
    why: str


def chained(before: bytes, event: Event) -> bytes:
    """The chain of an event behind that of the event before it; a branch's events keep theirs."""
    return next_chain(
        before,
        (event.channel, event.site, event.life, event.number, event.at, event.tick, event.kind, event.data),
    )


def next_chain(before: bytes, bare: tuple[str, str, str, int, int, int, str, bytes]) -> bytes:
    """The same of an event that is still to be made: `bare` is all of it but its chain, in its order."""
    if "~" in bare[2] and (branch := _branch(bare[2])) is not None:
        before = branch.before if bare[3] == 1 else before
        bare = (*bare[:2], branch.life, bare[3] + branch.number - 1, *bare[4:])
    return blake3(before + _plain(bare)).digest(CHAIN_BYTES)


class Branch(NamedTuple):
    """Where a branch of a doubled stream begins: its first event as its process wrote it."""

    life: str
    number: int
    before: bytes  # the chain in front of it


_BRANCH = re.compile(r"(.+)~([1-9][0-9]{0,17})\.([0-9a-f]{16})\.[0-9a-f]{16}")


@lru_cache(1 << 10)
def _branch(life: str) -> Branch | None:
    found = _BRANCH.fullmatch(life)
    return Branch(found[1], int(found[2]), bytes.fromhex(found[3])) if found else None


def written(event: Event) -> tuple[str, str, int]:
    """Site, incarnation and number under which its process wrote an event: what an attach names it by."""
    if "~" in event.life and (branch := _branch(event.life)) is not None:
        return event.site, branch.life, branch.number + event.number - 1
    return event.site, event.life, event.number


def branched(first: Event, before: bytes) -> str:
    """The incarnation of the branch that begins with an event, behind a chain.

    It is made of that event as it was written (its number, the chain in front of it and its own), so it is
    the same whichever of its branches was met first, and a branch of a branch is named as one of the stem.
    """
    _, life, number = written(first)
    if first.number == 1 and (stem := _branch(first.life)) is not None:
        before = stem.before
    return f"{life}~{number}.{before.hex()}.{first.chain.hex()}"


def packed(payload: dict[str, Any]) -> bytes:
    """A payload's bytes: the same for equal payloads, whatever order their keys were given in."""
    return _sorted(payload)
