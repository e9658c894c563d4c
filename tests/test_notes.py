"""Notes between senders: their encoding, what is sent and accepted, and the port that receives them."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rowanrack.config import _peers
from rowanrack.net.peers import MAX_NOTES_PER_PEER_PER_S, PeerPort
from rowanspindle import Accept, BroadcastNote, NoteReceived, Result, Send
from rowanspindle.gossip import (
    LISTEN_INTERVALS,
    MIN_WORK_INTERVAL_US,
    SILENCE_TIMEOUT_US,
    WORK_EXPIRY_INTERVALS,
    Gossip,
)
from rowanspindle.notes import (
    MAX_NOTE_BYTES,
    MAX_VALUE,
    Fact,
    FactKind,
    Note,
    NoteError,
    decode_note,
    encode_note,
    endpoint_digest,
)
from tests.helpers import BASE, SECOND_US, Caller, endpoint_entry

FLEET = replace(BASE, replicas=40, peers=True, peer_price=0.01, weights_exact=True, refused_price=0.1)

facts = st.builds(Fact, st.sampled_from(FactKind), st.integers(0, (1 << 32) - 1), st.integers(0, MAX_VALUE))


@given(st.integers(0, 255), st.lists(facts, min_size=1, max_size=20))
def test_an_encoded_note_is_decoded_unchanged(number: int, sent_facts: list[Fact]) -> None:
    note = Note(number, tuple(sent_facts))
    assert decode_note(encode_note(note)) == note


@given(st.binary(max_size=MAX_NOTE_BYTES + 20))
def test_arbitrary_bytes_are_decoded_or_raise_a_note_error(data: bytes) -> None:
    try:
        note = decode_note(data)
    except NoteError:
        return
    assert encode_note(note)[0] == data[0] and note.facts and len(data) <= MAX_NOTE_BYTES


@pytest.mark.parametrize(
    ("data", "expected_error"),
    [
        (b"", "length of 0 bytes"),
        (b"\xa1\x01", "length of 2 bytes"),
        (b"\xa1\x01" + b"\x01\x01\x01" * 85, "length of 257 bytes"),
        (b"\xa2\x01\x01\x01\x01", "unknown version 162"),
        (b"\xa1\x01\x09\x01\x01", "unknown fact kind 9"),
        (b"\xa1\x01\x01\x01", "incomplete or too long varint"),
        (b"\xa1\x01\x01\x80\x80\x80\x80\x80\x01\x01", "incomplete or too long varint"),
        (b"\xa1\x01\x01\x01\xff\xff\x7f", "number 2097151 is out of range"),
        (b"\xa1\x01\x01\xff\xff\xff\xff\x7f\x01", "number 34359738367 is out of range"),
    ],
)
def test_the_error_names_the_fault_of_an_invalid_note(data: bytes, expected_error: str) -> None:
    with pytest.raises(NoteError, match=f"^{expected_error}$"):
        decode_note(data)


def sent_facts(caller: Caller) -> list[Fact]:
    return [f for _, a in caller.log if isinstance(a, BroadcastNote) for f in a.note.facts]


def sender(**changes: object) -> Caller:
    settings = {name: getattr(FLEET, name) for name in FLEET.__dataclass_fields__} | changes
    return Caller(endpoint_entry("t1"), **settings)


def receive_note(caller: Caller, number: int, *facts: Fact, peer: int = 5) -> None:
    caller.step(NoteReceived(peer, Note(number, facts)))


def test_a_retry_after_wait_is_sent_at_once_and_observed_by_its_receivers() -> None:
    """Without notes, each of forty senders learnt of a closed destination only by a refused call."""
    refused_sender, receiving_sender = sender(), sender()
    refused_sender.end(refused_sender.accept(), Result.FULL, wait_us=3 * SECOND_US)
    assert sent_facts(refused_sender) == [Fact(FactKind.REFUSED, 1, 300)]
    receive_note(receiving_sender, 1, *sent_facts(refused_sender))
    receiving_sender.accept()
    receiving_sender.wait(2 * SECOND_US)
    assert not receiving_sender.sends()
    receiving_sender.wait(4 * SECOND_US)
    assert receiving_sender.sends() and receiving_sender.sends()[0][0] >= 1000 * SECOND_US + 3 * SECOND_US


def test_a_received_note_never_shortens_an_own_retry_after_wait() -> None:
    caller = sender()
    ref = caller.accept()
    caller.wait(1000)
    caller.end(ref, Result.FULL, wait_us=3 * SECOND_US)
    note_received_at = caller.now
    receive_note(caller, 1, Fact(FactKind.REFUSED, 1, 1), Fact(FactKind.RECOVERED, endpoint_digest("t1")))
    caller.wait(10 * SECOND_US)
    assert caller.sends(since=note_received_at)[0][0] > note_received_at + 3 * SECOND_US


def test_held_messages_are_reported_until_gone_and_share_the_rate() -> None:
    caller = sender()
    caller.step(NoteReceived(5, Note(1, (Fact(FactKind.HELD_MESSAGES, 1, 9),))))
    gossip = caller.forwarder.gossip
    assert gossip.active_senders(1, 1, caller.now) == 10 and gossip.active_senders(1, 3, caller.now) == 4
    assert gossip.active_senders(2, 1, caller.now) == 1
    caller.wait(WORK_EXPIRY_INTERVALS * MIN_WORK_INTERVAL_US + SECOND_US)
    assert gossip.active_senders(1, 1, caller.now) == 1  # the report of a peer that died has expired
    caller.wait(SILENCE_TIMEOUT_US)
    assert gossip.active_senders(1, 1, caller.now) is None  # without any notes the fleet has to be estimated
    for _ in range(20):
        caller.accept()
    caller.wait(SECOND_US)
    assert any(f.kind is FactKind.HELD_MESSAGES and f.value > 1 for f in sent_facts(caller))
    for _ in range(40):
        for ref in {r for r, _ in caller.attempts_in_flight}:
            caller.end(ref)
        caller.wait(SECOND_US)
    assert sent_facts(caller)[-1] == Fact(FactKind.HELD_MESSAGES, 1, 0)


@pytest.mark.parametrize(
    ("first", "then", "accepted"), [(7, 8, True), (7, 7, False), (7, 6, False), (255, 0, True)]
)
def test_duplicate_and_stale_notes_are_dropped(first: int, then: int, accepted: bool) -> None:
    gossip = Gossip(FLEET)
    gossip.receive(3, Note(first, (Fact(FactKind.HELD_MESSAGES, 1, 5),)), 0)
    gossip.receive(3, Note(then, (Fact(FactKind.HELD_MESSAGES, 1, 2),)), 1)
    assert gossip.active_senders(1, 1, 2) == (3 if accepted else 6)
    assert gossip.notes_dropped == (not accepted)


def test_notes_of_a_restarted_sender_are_accepted_after_the_silence_timeout() -> None:
    gossip = Gossip(FLEET)
    gossip.receive(3, Note(90, (Fact(FactKind.HELD_MESSAGES, 1, 5),)), 0)
    gossip.receive(3, Note(1, (Fact(FactKind.HELD_MESSAGES, 1, 2),)), SILENCE_TIMEOUT_US)
    assert gossip.active_senders(1, 1, SILENCE_TIMEOUT_US) == 3


@pytest.mark.parametrize(
    ("numbers", "informed"),
    [
        (range(0, 250), True),
        (range(0, 250, 4), False),  # three of four notes are lost
        ([n + d for n in range(0, 250, 2) for d in (1, 0)], True),  # every second note is reordered
    ],
)
def test_with_lost_notes_a_cold_endpoint_is_shared_with_all_senders_likely_to_hold_messages(
    numbers: Iterable[int], informed: bool
) -> None:
    """Each of 40 senders knew of hardly any held messages elsewhere and used the whole call budget."""
    caller = sender()
    caller.end(caller.accept(), Result.CONNECT_FAILED)
    caller.step(NoteReceived(9, Note(0, (Fact(FactKind.HELD_MESSAGES, 2, 1),))))
    # Until then the sender counts as uninformed.
    caller.wait(LISTEN_INTERVALS * caller.forwarder.gossip.work_interval_us)
    for number in numbers:
        for peer in range(1, 4):
            caller.step(NoteReceived(peer, Note(number, (Fact(FactKind.HELD_MESSAGES, 2, 1),))))
    caller.wait(SECOND_US // 10)
    caller.step(NoteReceived(5, Note(1, (Fact(FactKind.RECOVERED, endpoint_digest("t1")),))))
    endpoint = caller.forwarder.endpoints["t1"]
    assert endpoint.ramp_from is not None
    alone, shared = endpoint.cold_rate(caller.now, 1.0), endpoint.cold_rate(caller.now)
    assert alone > 10 * shared
    endpoint.ramp_bucket.tokens = 0.0
    caller.accept()
    caller.wait(round(SECOND_US / alone) + SECOND_US // 20)
    assert (len(caller.attempts_in_flight) == 1) is informed


def test_a_reported_recovery_ends_the_outage_and_starts_the_slow_start() -> None:
    caller = sender()
    caller.end(caller.accept(), Result.CONNECT_FAILED)
    caller.wait(SECOND_US // 10)
    endpoint = caller.forwarder.endpoints["t1"]
    assert endpoint.out_since is not None
    # This recovery is older than the own failure.
    receive_note(caller, 1, Fact(FactKind.RECOVERED, endpoint_digest("t1"), MAX_VALUE))
    receive_note(caller, 2, Fact(FactKind.RECOVERED, endpoint_digest("nobody")))
    assert endpoint.out_since is not None
    receive_note(caller, 3, Fact(FactKind.RECOVERED, endpoint_digest("t1")))
    assert endpoint.out_since is None and endpoint.ramp_from == caller.now


@pytest.mark.parametrize("peers", [2, 39, 60])
def test_notes_cost_at_most_a_fraction_of_the_value_of_the_traffic(peers: int) -> None:
    caller, accepted = sender(replicas=peers + 1), 300
    for ref in range(accepted):
        caller.step(Accept(ref + 1, "safe", 1, 20 * SECOND_US, "a"))
        for known in [r for r, _ in caller.attempts_in_flight]:
            caller.end(known, Result.FULL)
        caller.wait(SECOND_US // 20)
    sent_bytes = sum(len(encode_note(a.note)) for _, a in caller.log if isinstance(a, BroadcastNote))
    assert 0 < sent_bytes * peers * 0.01 / 256 < 0.015 * accepted * 1.1


def test_in_a_large_fleet_a_random_subset_reports_held_messages_and_all_report_urgent_facts() -> None:
    settings, sent_facts, sent_bytes = replace(FLEET, replicas=200), Counter[FactKind](), 0
    for sender_ in (Gossip(settings, (n + 0.5) / 200) for n in range(200)):
        for second in range(100):
            sender_.earn_budget()
            sender_.update_held(1, 2 ** (second % 9), 0)
            sender_.record_refusal(2, SECOND_US, False, False, second * SECOND_US)
            notes = [action.note for action in sender_.notes_to_send(second * SECOND_US)]
            sent_facts.update({fact.kind for note in notes for fact in note.facts} if second == 99 else ())
            sent_bytes += sum(len(encode_note(note)) for note in notes)
    assert (
        sent_facts[FactKind.HELD_MESSAGES] <= 16
        and sent_facts[FactKind.REFUSED] <= 200
        and min(sent_facts.values()) > 0
    ), sent_facts
    assert 0 < sent_bytes * 199 * 0.01 / 256 < 0.015 * 200 * 100 * 1.1


@pytest.mark.parametrize(("estimate", "expected_senders"), [(1, 134), (200, 201), (400, 268)])
def test_in_a_large_fleet_the_reports_are_extrapolated_and_combined_with_the_estimate(
    estimate: int, expected_senders: int
) -> None:
    """Senders that had received no report used the whole rate: the sum of all was 5 times the limit."""
    gossip = Gossip(replace(FLEET, replicas=200))
    for peer in range(8):  # 8 of 16 expected reporters, two messages each
        gossip.receive(peer, Note(1, (Fact(FactKind.HELD_MESSAGES, 1, 2),)), 0)
    active = gossip.active_senders(1, 1, 1, estimate)
    assert active is not None and round(active) == expected_senders


note_parameters = st.tuples(st.integers(0, 60), st.integers(0, 255), st.lists(facts, max_size=5))


@given(st.lists(note_parameters, max_size=30))
def test_no_sequence_of_notes_delays_calls_beyond_the_expiry_of_its_facts(
    notes: list[tuple[int, int, list[Fact]]],
) -> None:
    """Even after absurd values and unknown names, a call is sent once the received facts have expired."""
    caller = sender()
    for peer, number, facts_of_note in notes:
        caller.step(NoteReceived(peer, Note(number, tuple(facts_of_note))))
    caller.wait(25 * SECOND_US)  # a received wait is limited to the longest deadline
    caller.accept()
    caller.wait(20 * SECOND_US)
    assert any(isinstance(a, Send) for _, a in caller.log)


def test_the_port_accepts_notes_of_peers_and_drops_other_datagrams(caplog: pytest.LogCaptureFixture) -> None:
    asyncio.run(check_peer_port(caplog))


async def check_peer_port(caplog: pytest.LogCaptureFixture) -> None:
    peer, unknown_sender = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for each in (peer, unknown_sender):
        each.bind(("127.0.0.1", 0))
    got: asyncio.Queue[tuple[int, Note]] = asyncio.Queue()
    own_address = ("127.0.0.1", free_port())
    peer_address = peer.getsockname()
    port = PeerPort(
        own_address,
        [own_address, peer_address],
        peer_address,
        lambda n, note: got.put_nowait((n, note)),
        lambda: 0,
    )
    port.open()
    try:
        note = Note(4, (Fact(FactKind.HELD_MESSAGES, 7, 2),))
        unknown_sender.sendto(encode_note(note), own_address)
        peer.sendto(b"noise", own_address)
        peer.sendto(b"x" * 400, own_address)
        peer.sendto(encode_note(note), own_address)
        assert await asyncio.wait_for(got.get(), 5) == (1, note)
        for number in range(100):  # more notes than allowed: the port's clock does not advance in this test
            peer.sendto(encode_note(Note(number, note.facts)), own_address)
        peer.sendto(b"the last", own_address)
        async with asyncio.timeout(5):
            while port.dropped < 3 + 101 - (MAX_NOTES_PER_PEER_PER_S - 3):
                await asyncio.sleep(0.01)
        assert got.qsize() == MAX_NOTES_PER_PEER_PER_S - 3
        port.send(note)
        assert decode_note(await asyncio.wait_for(asyncio.to_thread(peer.recv, 300), 5)) == note
        assert len([r for r in caplog.records if "notes" in r.message]) == 1
    finally:
        port.close()
        peer.close()
        unknown_sender.close()


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        number: int = probe.getsockname()[1]
        return number


@pytest.mark.parametrize(
    ("replicas", "peers", "enabled"),
    [(2, True, True), (1, True, False), (40, False, False), (200, True, True)],
)
def test_no_port_is_opened_if_no_notes_are_exchanged(replicas: int, peers: bool, enabled: bool) -> None:
    settings = replace(FLEET, replicas=replicas, peers=peers)
    doc = {"peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.2:7946"], "peers_all": "127.0.0.3:7946"}
    assert (_peers(doc, settings) is not None) is Gossip(settings).enabled is enabled
    assert _peers({}, settings) is None
