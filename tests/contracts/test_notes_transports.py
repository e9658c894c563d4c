"""Contract of note transports: notes may be lost, duplicated, delayed or reordered, but are never altered.

No note of an unknown sender is delivered either.
"""

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
from rowanspindle.gossip import SILENCE_TIMEOUT_US, WORK_EXPIRY_INTERVALS, Gossip
from rowanspindle.notes import MAX_NOTE_BYTES, SEQUENCE_NUMBERS, Fact, FactKind, Note, encode_note
from tests.test_notes import FLEET, free_port

INVALID_DATAGRAMS = [
    b"",
    b"\xa1",
    b"noise",
    b"\xa2\x01\x01\x01\x01",
    b"\xa1\x01\x09\x01\x01",
    b"x" * (MAX_NOTE_BYTES + 1),
    b"y" * 9000,
    encode_note(Note(1, (Fact(FactKind.HELD_MESSAGES, 7, 2),)))[:-1],
]


def note(number: int, value: int = 2) -> Note:
    return Note(number % SEQUENCE_NUMBERS, (Fact(FactKind.HELD_MESSAGES, 7, value),))


class UdpPorts:
    """Two real ports, a peer, an unknown sender, and a clock that the test sets."""

    def __init__(self, port: type[PeerPort] = PeerPort) -> None:
        self.now, self.received = 0, list[tuple[int, Note]]()
        self.peer, self.unknown_sender = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
        for sock in (self.peer, self.unknown_sender):
            sock.bind(("127.0.0.1", 0))
        self.own, peer_address = ("127.0.0.1", free_port()), self.peer.getsockname()
        self.ports = [
            port(
                self.own,
                [self.own, peer_address],
                peer_address,
                lambda n, m: self.received.append((n, m)),
                lambda: self.now,
            )
            for _ in range(2)
        ]

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.005)

    def close(self) -> None:
        for port in self.ports:
            port.close()
        for sock in (self.peer, self.unknown_sender):
            sock.close()


def check_udp_contract(port: type[PeerPort] = PeerPort) -> None:
    """Check the contract on real sockets; raise AssertionError or TimeoutError on a violation."""

    async def run() -> None:
        ports = UdpPorts(port)
        one, two = ports.ports
        one.open()
        try:
            for data in INVALID_DATAGRAMS:
                ports.peer.sendto(data, ports.own)
            for data in (encode_note(note(1)), *INVALID_DATAGRAMS[:3]):
                ports.unknown_sender.sendto(data, ports.own)
            ports.peer.sendto(encode_note(note(9)), ports.own)
            await ports.until(lambda: bool(ports.received))
            assert ports.received == [(1, note(9))] and one.dropped == len(INVALID_DATAGRAMS) + 4
            ports.now += 10_000_000
            for n in range(100):  # a flood, of which the notes of one second are accepted
                ports.peer.sendto(encode_note(note(n)), ports.own)
            ports.unknown_sender.sendto(b"", ports.own)
            await ports.until(
                lambda: one.dropped + len(ports.received) >= len(INVALID_DATAGRAMS) + 4 + 1 + 100 + 1
            )
            assert len(ports.received) == 1 + MAX_NOTES_PER_PEER_PER_S
            ports.now += 10_000_000
            two.open()  # as at a hot restart: each datagram reaches one of the two
            before = len(ports.received)
            ports.peer.sendto(encode_note(note(11)), ports.own)
            await ports.until(lambda: len(ports.received) > before)
            assert ports.received[before:] == [(1, note(11))]
            one.close()
            ports.peer.sendto(encode_note(note(12)), ports.own)
            await ports.until(lambda: len(ports.received) > before + 1)
            one.send(note(1))  # on a closed port this does nothing
            two.send(note(13))
            assert (await asyncio.to_thread(ports.peer.recv, 999)) == encode_note(note(13))
        finally:
            ports.close()

    asyncio.run(run())


def test_the_udp_port_fulfils_the_contract() -> None:
    check_udp_contract()


class AcceptsUnknownSenders(PeerPort):
    """Faulty on purpose: accepts notes of unknown senders as those of the first peer."""

    def _process_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        known = source if source in self._peer_numbers else next(iter(self._peer_numbers))
        super()._process_datagram(data, known)


class AcceptsFloods(PeerPort):
    """Faulty on purpose: does not limit the rate of a peer."""

    def _take_token(self, number: int) -> bool:
        return True


@pytest.mark.parametrize("faulty_port", [AcceptsUnknownSenders, AcceptsFloods])
def test_the_contract_detects_a_faulty_port(faulty_port: type[PeerPort]) -> None:
    with pytest.raises(AssertionError):
        check_udp_contract(faulty_port)


class AltersNotes(InMemoryNetwork):
    """Faulty on purpose: changes a value in transit."""

    def _deliver(self, number: int, other: int, data: bytes) -> None:
        super()._deliver(number, other, data[:-1] + bytes([data[-1] ^ 1]))


class GossipMachine(RuleBasedStateMachine):
    """The gossip state of three senders on a faulty network, checked against all notes that were sent."""

    network_type: type[InMemoryNetwork] = InMemoryNetwork

    @initialize(
        seed=st.integers(0, 999),
        loss_fraction=st.sampled_from([0.0, 0.3]),
        max_delay_us=st.sampled_from([100, 900_000]),
    )
    def begin(self, seed: int, loss_fraction: float, max_delay_us: int) -> None:
        self.engine, self.max_delay_us = Engine(1_000_000), max_delay_us
        self.network = self.network_type(
            self.engine.after, Random(seed), NetworkFaults(loss_fraction, 0.3, 100, max_delay_us)
        )
        self.gossips = [Gossip(FLEET) for _ in range(3)]
        self.sent: list[list[tuple[int, int]]] = [[] for _ in range(3)]  # values, and when they were sent
        self.sequence_numbers = [0] * 3
        for n in range(3):
            self.network.open(n, lambda peer, received_note, n=n: self.receive(n, peer, received_note))  # type: ignore[misc]

    def receive(self, n: int, peer: int, received_note: Note) -> None:
        assert peer != n
        self.gossips[n].receive(peer, received_note, self.engine.now)

    @rule(n=st.integers(0, 2), value=st.integers(0, 9))
    def sends(self, n: int, value: int) -> None:
        self.sequence_numbers[n] = (self.sequence_numbers[n] + 1) % SEQUENCE_NUMBERS
        self.sent[n].append((value, self.engine.now))
        self.network.send(n, note(self.sequence_numbers[n], value))

    @rule(n=st.integers(0, 2), number=st.integers(0, 255))
    def restarts(self, n: int, number: int) -> None:
        """Restart a sender: its state is empty, and its sequence numbers start anywhere."""
        self.gossips[n], self.sequence_numbers[n] = Gossip(FLEET), number

    @rule(us=st.sampled_from([1_000, 400_000, SILENCE_TIMEOUT_US]))
    def time_passes(self, us: int) -> None:
        self.engine.run(self.engine.now + us)

    @rule()
    def all_facts_expire(self) -> None:
        """All facts expire, and the next note of each sender is accepted, whatever its sequence number."""
        self.engine.run(
            self.engine.now
            + SILENCE_TIMEOUT_US
            + WORK_EXPIRY_INTERVALS * self.gossips[0].work_interval_us
            + self.max_delay_us
        )
        assert all(gossip.active_senders(7, 1, self.engine.now) is None for gossip in self.gossips)
        self.network.faults = NetworkFaults()
        for n in range(3):
            self.sends(n, n + 1)
        self.engine.run(self.engine.now + 1_000)
        assert [gossip.active_senders(7, 1, self.engine.now) for gossip in self.gossips] == [6, 5, 4]

    @invariant()
    def only_sent_values_are_counted(self) -> None:
        for n, gossip in enumerate(self.gossips if hasattr(self, "gossips") else []):
            active_senders = gossip.active_senders(7, 1, self.engine.now)
            oldest_at = self.engine.now - WORK_EXPIRY_INTERVALS * gossip.work_interval_us - self.max_delay_us
            possible_sums = {0}
            for peer in {0, 1, 2} - {n}:
                possible_sums = {
                    s + v
                    for s in possible_sums
                    for v in {0} | {v for v, at in self.sent[peer] if at >= oldest_at}
                }
            assert active_senders is None or active_senders - 1 in possible_sums


MACHINE_SETTINGS = settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None, database=None
)


def test_only_recent_notes_count_and_a_restarted_peer_is_accepted_again() -> None:
    run_state_machine_as_test(GossipMachine, settings=MACHINE_SETTINGS)


def test_the_contract_detects_a_network_that_alters_notes() -> None:
    class MachineWithAlteredNotes(GossipMachine):
        network_type = AltersNotes

    with pytest.raises(AssertionError):
        stop_at_first_failure = settings(
            MACHINE_SETTINGS, phases=[Phase.generate], report_multiple_bugs=False
        )
        run_state_machine_as_test(MachineWithAlteredNotes, settings=stop_at_first_failure)


@pytest.mark.parametrize("last_number", [0, 1, 90, 127, 128, 200, 255])
def test_notes_of_a_restarted_peer_are_accepted_after_at_most_the_live_time(last_number: int) -> None:
    gossip = Gossip(FLEET)
    gossip.receive(3, note(last_number), 0)
    for n in range(1, 12):  # sequence numbers restart at 1, two notes a second
        gossip.receive(3, note(n, 5), n * 500_000)
    assert gossip.active_senders(7, 1, 5_500_000) == 6
