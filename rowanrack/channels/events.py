"""Events, their order within a channel, and their encoding. Design: docs/channels.md."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Any, NamedTuple

import msgspec
from blake3 import blake3

FLEET = "fleet"  # the channel of operator actions; every site keeps all of it
CHAIN_BYTES = 8
START = bytes(CHAIN_BYTES)  # the chain before a stream's first event

# The event kinds that this version writes; each comment shows the payload. Unknown kinds, from a newer
# version, are stored and forwarded without being decoded.
TAKEN = "taken"  # {"message", "class", "tenant", "left_us"}
BEGUN = "begun"  # {"message", "leg", "endpoint"}: a call's first byte is about to go out
MAY_HAVE_RUN = "may-have-run"  # {"message", "leg", "endpoint", "result"}
NEVER_RAN = "never-ran"  # {"message", "leg", "endpoint", "result"}
DELIVERED, REFUSED, FAILED = "delivered", "refused", "failed"  # {"message"}, for a refusal also {"again_us"}
WAIT = "wait"  # {"endpoint", "wait_us"}: a retry-after wait
OUT, BACK = "out", "back"  # {"endpoint"}: an outage began, or ended
LISTED, DRAINING, GONE = "listed", "draining", "gone"  # {"endpoint", "kind", "rate"}
LOST = "lost"  # {"count", "from", "to"}: events of this origin that could not be stored
DETACHED = "detached"  # {"endpoint"}, on FLEET
ATTACHED = "attached"  # {"endpoint", "undoes": [[site, life, number], ...]}, on FLEET
LAYOUT = "layout"  # {"version", "from", "shards", "keepers", "sites": [[name, weight], ...]}, on FLEET
KEPT = "kept"  # {"version", "shard", "layout"}, on FLEET: its origin now has the whole shard

_encode, _encode_sorted = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Encoder(order="sorted").encode


class Stream(NamedTuple):
    """The events of one origin on one channel. `site` is the sender's name, `life` its incarnation."""

    channel: str
    site: str
    life: str


class Place(NamedTuple):
    """The position of an event in its channel's order, the same at every site; `at` is a Unix time in us."""

    at: int
    tick: int
    site: str
    life: str
    number: int


class Event(msgspec.Struct, frozen=True, array_like=True):
    """An event on a channel. It never changes once it has a number.

    `number` counts from 1 without gaps within a stream. (`at`, `tick`) is the hybrid logical time, which
    grows along a stream; an event is later than all events of the channel that its origin knew when it was
    written. `chain` is a digest of the stream up to and including this event; it reveals two streams under
    one name.
    """

    channel: str
    site: str
    life: str
    number: int
    at: int
    tick: int
    kind: str
    data: bytes  # the payload, a msgpack map; not decoded if the kind is unknown
    chain: bytes = START

    @property
    def stream(self) -> Stream:
        """The stream of the event."""
        return Stream(self.channel, self.site, self.life)

    @property
    def place(self) -> Place:
        """The position in the channel's order."""
        return Place(self.at, self.tick, self.site, self.life, self.number)

    @property
    def id(self) -> str:
        """A readable id: site/life/number, unique within the channel."""
        return f"{self.site}/{self.life}/{self.number}"

    def payload(self) -> dict[str, Any]:
        """Decode the payload. Raises ValueError if it is not a map."""
        decoded = msgspec.msgpack.decode(self.data)
        if not isinstance(decoded, dict):
            raise ValueError(f"event {self.id}: the payload is not a map")
        return decoded


class Head(NamedTuple):
    """The extent of a stream in a log: events after `floor` and up to `number` are stored."""

    stream: Stream
    floor: int  # highest number removed by retention or lost; 0: none
    number: int  # highest number
    at: int  # hybrid logical time of that event, with `tick`
    tick: int
    chain: bytes


class Gap(NamedTuple):
    """Events that will never be available: numbers `first` to `last` of a stream; `why` is for operators."""

    stream: Stream
    first: int
    last: int
    why: str


def chained(previous_chain: bytes, event: Event) -> bytes:
    """Return the chain of an event, given the previous one; events moved to a branch keep their chains."""
    return next_chain(
        previous_chain,
        (event.channel, event.site, event.life, event.number, event.at, event.tick, event.kind, event.data),
    )


def next_chain(previous_chain: bytes, fields: tuple[str, str, str, int, int, int, str, bytes]) -> bytes:
    """Return the chain of an event from its other fields, in their order, without creating it."""
    if "~" in fields[2] and (branch := _parse_branch(fields[2])) is not None:
        previous_chain = branch.previous_chain if fields[3] == 1 else previous_chain
        fields = (*fields[:2], branch.life, fields[3] + branch.number - 1, *fields[4:])
    return blake3(previous_chain + _encode(fields)).digest(CHAIN_BYTES)


class Branch(NamedTuple):
    """The start of a branch of a forked stream: its first event as originally written."""

    life: str
    number: int
    previous_chain: bytes  # the chain before that event


_BRANCH = re.compile(r"(.+)~([1-9][0-9]{0,17})\.([0-9a-f]{16})\.[0-9a-f]{16}")


@lru_cache(1 << 10)
def _parse_branch(life: str) -> Branch | None:
    match = _BRANCH.fullmatch(life)
    return Branch(match[1], int(match[2]), bytes.fromhex(match[3])) if match else None


def written(event: Event) -> tuple[str, str, int]:
    """Return the site, incarnation and number under which an event was originally written."""
    if "~" in event.life and (branch := _parse_branch(event.life)) is not None:
        return event.site, branch.life, branch.number + event.number - 1
    return event.site, event.life, event.number


def branched(first: Event, previous_chain: bytes) -> str:
    """Return the incarnation name of the branch that starts with an event, after a chain.

    The name is built from the event as originally written: its number, the chain before it and its own. It
    therefore does not depend on the order in which branches are found, and a branch of a branch is named as a
    branch of the original stream.
    """
    _, life, number = written(first)
    if first.number == 1 and (outer := _parse_branch(first.life)) is not None:
        previous_chain = outer.previous_chain
    return f"{life}~{number}.{previous_chain.hex()}.{first.chain.hex()}"


def packed(payload: dict[str, Any]) -> bytes:
    """Encode a payload; equal payloads have equal bytes, whatever the order of their keys."""
    return _encode_sorted(payload)
