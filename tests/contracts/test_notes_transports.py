"""What a way for notes promises: lost, doubled, late or out of turn, but never altered or a stranger's."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from rowanrack.model.engine import Engine
from rowanrack.net.memory_peers import InMemoryNetwork, NetworkFaults
from rowanrack.net.peers import MAX_NOTES_PER_PEER_PER_S, PeerPort
from rowanspindle.gossip import LIVE_US, WORK, Gossip
from rowanspindle.notes import MAX_NOTE_BYTES, SEQUENCE_NUMBERS, Fact, FactKind, Note, encode_note
from tests.test_notes import FLEET, free_port

BAD = [b"", b"\xa1", b"noise", b"\xa2\x01\x01\x01\x01", b"\xa1\x01\x09\x01\x01", b"x" * (MAX_NOTE_BYTES + 1),
       b"y" * 9000, encode_note(Note(1, (Fact(FactKind.WORK, 7, 2),)))[:-1]]  # fmt: skip


def note(number: int, value: int = 2) -> Note:
    return Note(number % SEQUENCE_NUMBERS, (Fact(FactKind.WORK, 7, value),))


class Udp:
    """Two real ports, a stranger, and a clock in hand."""

    def __init__(self, port: type[PeerPort] = PeerPort) -> None:
        self.now, self.got = 0, list[tuple[int, Note]]()
        self.peer, self.stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for each in (self.peer, self.stranger):
            each.bind(("127.0.0.1", 0))
        self.own, there = ("127.0.0.1", free_port()), self.peer.getsockname()
        self.ports = [
            port(self.own, [self.own, there], there, lambda n, m: self.got.append((n, m)), lambda: self.now)
            for _ in range(2)
        ]

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    def close(self) -> None:
        for port in self.ports:
            port.close()
        for each in (self.peer, self.stranger):
            each.close()


def on_udp(port: type[PeerPort] = PeerPort) -> None:
    """The contract over real sockets: raises AssertionError or TimeoutError where it is broken."""

    async def run() -> None:
        udp = Udp(port)
        one, two = udp.ports
        one.open()
        try:
            for data in BAD:
                udp.peer.sendto(data, udp.own)
            for data in (encode_note(note(1)), *BAD[:3]):
                udp.stranger.sendto(data, udp.own)
            udp.peer.sendto(encode_note(note(9)), udp.own)
            await udp.until(lambda: bool(udp.got))
            assert udp.got == [(1, note(9))] and one.dropped == len(BAD) + 4
            udp.now += 10_000_000
            for n in range(100):  # a flood, of which a second's worth is taken
                udp.peer.sendto(encode_note(note(n)), udp.own)
            udp.stranger.sendto(b"", udp.own)
            await udp.until(lambda: one.dropped + len(udp.got) >= len(BAD) + 4 + 1 + 100 + 1)
            assert len(udp.got) == 1 + MAX_NOTES_PER_PEER_PER_S
            udp.now += 10_000_000
            two.open()  # at a hot restart: each datagram comes to one of the two
            before = len(udp.got)
            udp.peer.sendto(encode_note(note(11)), udp.own)
            await udp.until(lambda: len(udp.got) > before)
            assert udp.got[before:] == [(1, note(11))]
            one.close()
            udp.peer.sendto(encode_note(note(12)), udp.own)
            await udp.until(lambda: len(udp.got) > before + 1)
            one.tell(note(1))  # closed: it goes nowhere, and harms nobody
            two.tell(note(13))
            assert (await asyncio.to_thread(udp.peer.recv, 999)) == encode_note(note(13))
        finally:
            udp.close()

    asyncio.run(run())


def test_the_port_keeps_to_it() -> None:
    on_udp()


class Trusting(PeerPort):
    """Broken on purpose: a stranger is taken for the first peer."""

    def _process_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        known = source if source in self._peer_numbers else next(iter(self._peer_numbers))
        super()._process_datagram(data, known)


class Unbounded(PeerPort):
    """Broken on purpose: a flood comes through."""

    def _take_token(self, number: int) -> bool:
        return True


@pytest.mark.parametrize("twin", [Trusting, Unbounded])
def test_a_broken_port_is_found_out(twin: type[PeerPort]) -> None:
    with pytest.raises(AssertionError):
        on_udp(twin)


class Alters(InMemoryNetwork):
    """Broken on purpose: one value becomes another on the way."""

    def _deliver(self, number: int, other: int, data: bytes) -> None:
        super()._deliver(number, other, data[:-1] + bytes([data[-1] ^ 1]))


class Believing(RuleBasedStateMachine):
    """Three senders' beliefs over a rough way, against all that was ever told, and when."""

    hub_type: type[InMemoryNetwork] = InMemoryNetwork

    @initialize(
        seed=st.integers(0, 999), lost=st.sampled_from([0.0, 0.3]), late=st.sampled_from([100, 900_000])
    )
    def begin(self, seed: int, lost: float, late: int) -> None:
        self.engine, self.late = Engine(1_000_000), late
        self.network = self.hub_type(self.engine.after, Random(seed), NetworkFaults(lost, 0.3, 100, late))
        self.beliefs = [Gossip(FLEET) for _ in range(3)]
        self.told: list[list[tuple[int, int]]] = [[] for _ in range(3)]  # values, and when they were told
        self.numbers = [0] * 3
        for n in range(3):
            self.network.open(n, lambda peer, heard, n=n: self.hear(n, peer, heard))  # type: ignore[misc]

    def hear(self, n: int, peer: int, heard: Note) -> None:
        assert peer != n
        self.beliefs[n].receive(peer, heard, self.engine.now)

    @rule(n=st.integers(0, 2), value=st.integers(0, 9))
    def tells(self, n: int, value: int) -> None:
        self.numbers[n] = (self.numbers[n] + 1) % SEQUENCE_NUMBERS
        self.told[n].append((value, self.engine.now))
        self.network.send(n, note(self.numbers[n], value))

    @rule(n=st.integers(0, 2), number=st.integers(0, 255))
    def begins_again(self, n: int, number: int) -> None:
        """A restart: nothing is believed, and numbers begin anywhere."""
        self.beliefs[n], self.numbers[n] = Gossip(FLEET), number

    @rule(us=st.sampled_from([1_000, 400_000, LIVE_US]))
    def passes(self, us: int) -> None:
        self.engine.run(self.engine.now + us)

    @rule()
    def falls_silent(self) -> None:
        """What was told ages out, and whoever tells something then is heard, whatever its number."""
        self.engine.run(self.engine.now + LIVE_US + WORK * self.beliefs[0].beat_us + self.late)
        assert all(b.active_senders(7, 1, self.engine.now) is None for b in self.beliefs)
        self.network.faults = NetworkFaults()
        for n in range(3):
            self.tells(n, n + 1)
        self.engine.run(self.engine.now + 1_000)
        assert [b.active_senders(7, 1, self.engine.now) for b in self.beliefs] == [6, 5, 4]

    @invariant()
    def nothing_is_believed_that_nobody_told(self) -> None:
        for n, beliefs in enumerate(self.beliefs if hasattr(self, "beliefs") else []):
            crowd = beliefs.active_senders(7, 1, self.engine.now)
            since = self.engine.now - WORK * beliefs.beat_us - self.late
            sums = {0}
            for peer in {0, 1, 2} - {n}:
                sums = {s + v for s in sums for v in {0} | {v for v, at in self.told[peer] if at >= since}}
            assert crowd is None or crowd - 1 in sums


SMALL = settings(max_examples=60, stateful_step_count=25, derandomize=True, deadline=None, database=None)


def test_what_is_believed_was_told_lately_and_a_peer_that_restarts_is_heard_again() -> None:
    run_state_machine_as_test(Believing, settings=SMALL)


def test_a_way_that_alters_notes_is_found_out() -> None:
    class Altered(Believing):
        hub_type = Alters

    with pytest.raises(AssertionError):
        first = settings(SMALL, phases=[Phase.generate], report_multiple_bugs=False)
        run_state_machine_as_test(Altered, settings=first)


@pytest.mark.parametrize("last", [0, 1, 90, 127, 128, 200, 255])
def test_a_peer_that_begins_again_is_deaf_to_nobody_for_longer_than_live(last: int) -> None:
    beliefs = Gossip(FLEET)
    beliefs.receive(3, note(last), 0)
    for n in range(1, 12):  # from 1 again, twice a second
        beliefs.receive(3, note(n, 5), n * 500_000)
    assert beliefs.active_senders(7, 1, 5_500_000) == 6
