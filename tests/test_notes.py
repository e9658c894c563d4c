"""Notes between senders: their bytes, what is told and believed, and the port that they come to."""

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
from rowanrack.net.peers import EACH_MOST, PeerPort
from rowanspindle import Accept, BroadcastNote, NoteReceived, Result, Send
from rowanspindle.gossip import BEAT_US, LISTEN, LIVE_US, WORK, Gossip
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
from tests.helpers import BASE, SECOND_US, Caller, member

FLEET = replace(BASE, replicas=40, peers=True, peer_price=0.01, weights_exact=True, refused_price=0.1)

facts = st.builds(Fact, st.sampled_from(FactKind), st.integers(0, (1 << 32) - 1), st.integers(0, MAX_VALUE))


@given(st.integers(0, 255), st.lists(facts, min_size=1, max_size=20))
def test_what_is_written_is_read(number: int, told: list[Fact]) -> None:
    note = Note(number, tuple(told))
    assert decode_note(encode_note(note)) == note


@given(st.binary(max_size=MAX_NOTE_BYTES + 20))
def test_noise_is_a_note_or_a_note_error(data: bytes) -> None:
    try:
        note = decode_note(data)
    except NoteError:
        return
    assert encode_note(note)[0] == data[0] and note.facts and len(data) <= MAX_NOTE_BYTES


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "0 bytes"),
        (b"\xa1\x01", "2 bytes"),
        (b"\xa1\x01" + b"\x01\x01\x01" * 85, "257 bytes"),
        (b"\xa2\x01\x01\x01\x01", "version 162"),
        (b"\xa1\x01\x09\x01\x01", "fact 9"),
        (b"\xa1\x01\x01\x01", "a number without its end"),
        (b"\xa1\x01\x01\x80\x80\x80\x80\x80\x01\x01", "a number without its end"),
        (b"\xa1\x01\x01\x01\xff\xff\x7f", "number 2097151"),
        (b"\xa1\x01\x01\xff\xff\xff\xff\x7f\x01", "number 34359738367"),
    ],
)
def test_bad_notes_are_named(data: bytes, why: str) -> None:
    with pytest.raises(NoteError, match=f"^{why}$"):
        decode_note(data)


def told(caller: Caller) -> list[Fact]:
    return [f for _, a in caller.log if isinstance(a, BroadcastNote) for f in a.note.facts]


def sender(**changes: object) -> Caller:
    settings = {name: getattr(FLEET, name) for name in FLEET.__dataclass_fields__} | changes
    return Caller(member("t1"), **settings)


def heard(caller: Caller, number: int, *facts: Fact, peer: int = 5) -> None:
    caller.step(NoteReceived(peer, Note(number, facts)))


def test_a_told_wait_is_told_at_once_and_holds_for_those_that_hear_it() -> None:
    """Each of forty senders learnt a shut destination by a refused call of its own."""
    one, other = sender(), sender()
    one.end(one.accept(), Result.FULL, wait_us=3 * SECOND_US)
    assert told(one) == [Fact(FactKind.REFUSED, 1, 300)]
    heard(other, 1, *told(one))
    other.accept()
    other.wait(2 * SECOND_US)
    assert not other.sends()
    other.wait(4 * SECOND_US)
    assert other.sends() and other.sends()[0][0] >= 1000 * SECOND_US + 3 * SECOND_US


def test_hearsay_never_shortens_an_own_wait() -> None:
    caller = sender()
    ref = caller.accept()
    caller.wait(1000)
    caller.end(ref, Result.FULL, wait_us=3 * SECOND_US)
    began = caller.now
    heard(caller, 1, Fact(FactKind.REFUSED, 1, 1), Fact(FactKind.BACK, endpoint_digest("t1")))
    caller.wait(10 * SECOND_US)
    assert caller.sends(since=began)[0][0] > began + 3 * SECOND_US


def test_work_that_waits_is_told_until_it_is_gone_and_shares_the_pace() -> None:
    caller = sender()
    caller.step(NoteReceived(5, Note(1, (Fact(FactKind.WORK, 1, 9),))))
    hearsay = caller.forwarder.gossip
    assert hearsay.active_senders(1, 1, caller.now) == 10 and hearsay.active_senders(1, 3, caller.now) == 4
    assert hearsay.active_senders(2, 1, caller.now) == 1
    caller.wait(WORK * BEAT_US + SECOND_US)
    assert hearsay.active_senders(1, 1, caller.now) == 1  # a peer that died leaves nothing behind
    caller.wait(LIVE_US)
    assert hearsay.active_senders(1, 1, caller.now) is None  # and a fleet that is not heard is guessed at
    for _ in range(20):
        caller.accept()
    caller.wait(SECOND_US)
    assert any(f.kind is FactKind.WORK and f.value > 1 for f in told(caller))
    for _ in range(40):
        for ref in {r for r, _ in caller.out}:
            caller.end(ref)
        caller.wait(SECOND_US)
    assert told(caller)[-1] == Fact(FactKind.WORK, 1, 0)


@pytest.mark.parametrize(
    ("first", "then", "taken"), [(7, 8, True), (7, 7, False), (7, 6, False), (255, 0, True)]
)
def test_doubles_and_notes_that_were_overtaken_are_dropped(first: int, then: int, taken: bool) -> None:
    hearsay = Gossip(FLEET)
    hearsay.receive(3, Note(first, (Fact(FactKind.WORK, 1, 5),)), 0)
    hearsay.receive(3, Note(then, (Fact(FactKind.WORK, 1, 2),)), 1)
    assert hearsay.active_senders(1, 1, 2) == (3 if taken else 6)
    assert hearsay.notes_dropped == (not taken)


def test_a_sender_that_begins_again_is_heard_once_its_last_note_is_old() -> None:
    hearsay = Gossip(FLEET)
    hearsay.receive(3, Note(90, (Fact(FactKind.WORK, 1, 5),)), 0)
    hearsay.receive(3, Note(1, (Fact(FactKind.WORK, 1, 2),)), LIVE_US)
    assert hearsay.active_senders(1, 1, LIVE_US) == 3


@pytest.mark.parametrize(
    ("numbers", "heard"),
    [
        (range(0, 250), True),
        (range(0, 250, 4), False),  # three of four notes are lost
        ([n + d for n in range(0, 250, 2) for d in (1, 0)], True),  # each second one is overtaken
    ],
)
def test_where_notes_are_lost_a_cold_endpoint_is_shared_with_all_likely_to_have_work(
    numbers: Iterable[int], heard: bool
) -> None:
    """Each of 40 senders heard of hardly any work elsewhere: it took the whole budget for itself."""
    caller = sender()
    caller.end(caller.accept(), Result.CONNECT_FAILED)
    caller.step(NoteReceived(9, Note(0, (Fact(FactKind.WORK, 2, 1),))))
    caller.wait(LISTEN * caller.forwarder.gossip.beat_us)  # who has just begun to listen knows of nobody
    for number in numbers:
        for peer in range(1, 4):
            caller.step(NoteReceived(peer, Note(number, (Fact(FactKind.WORK, 2, 1),))))
    caller.wait(SECOND_US // 10)
    caller.step(NoteReceived(5, Note(1, (Fact(FactKind.BACK, endpoint_digest("t1")),))))
    endpoint = caller.forwarder.endpoints["t1"]
    assert endpoint.ramp_from is not None
    alone, shared = endpoint.cold_rate(caller.now, 1.0), endpoint.cold_rate(caller.now)
    assert alone > 10 * shared
    endpoint.ramp_bucket.tokens = 0.0
    caller.accept()
    caller.wait(round(SECOND_US / alone) + SECOND_US // 20)
    assert (len(caller.out) == 1) is heard


def test_a_return_that_is_heard_begins_the_slow_start_and_nothing_quicker() -> None:
    caller = sender()
    caller.end(caller.accept(), Result.CONNECT_FAILED)
    caller.wait(SECOND_US // 10)
    endpoint = caller.forwarder.endpoints["t1"]
    assert endpoint.out_since is not None
    heard(caller, 1, Fact(FactKind.BACK, endpoint_digest("t1"), MAX_VALUE))  # older than our own failure
    heard(caller, 2, Fact(FactKind.BACK, endpoint_digest("nobody")))
    assert endpoint.out_since is not None
    heard(caller, 3, Fact(FactKind.BACK, endpoint_digest("t1")))
    assert endpoint.out_since is None and endpoint.ramp_from == caller.now


@pytest.mark.parametrize("peers", [2, 39, 60])
def test_notes_cost_a_bounded_part_of_what_traffic_is_worth(peers: int) -> None:
    caller, accepted = sender(replicas=peers + 1), 300
    for ref in range(accepted):
        caller.step(Accept(ref + 1, "safe", 1, 20 * SECOND_US, "a"))
        for known in [r for r, _ in caller.out]:
            caller.end(known, Result.FULL)
        caller.wait(SECOND_US // 20)
    spent = sum(len(encode_note(a.note)) for _, a in caller.log if isinstance(a, BroadcastNote))
    assert 0 < spent * peers * 0.01 / 256 < 0.015 * accepted * 1.1


def test_of_many_some_tell_their_work_by_lot_and_all_what_is_urgent() -> None:
    settings, told, spent = replace(FLEET, replicas=200), Counter[FactKind](), 0
    for sender_ in (Gossip(settings, (n + 0.5) / 200) for n in range(200)):
        for second in range(100):
            sender_.earn_budget()
            sender_.update_held(1, 2 ** (second % 9), 0)
            sender_.record_refusal(2, SECOND_US, False, False, second * SECOND_US)
            notes = [tell.note for tell in sender_.notes_to_send(second * SECOND_US)]
            told.update({fact.kind for note in notes for fact in note.facts} if second == 99 else ())
            spent += sum(len(encode_note(note)) for note in notes)
    assert told[FactKind.WORK] <= 16 and told[FactKind.REFUSED] <= 200 and min(told.values()) > 0, told
    assert 0 < spent * 199 * 0.01 / 256 < 0.015 * 200 * 100 * 1.1


@pytest.mark.parametrize(("guess", "crowd"), [(1, 134), (200, 201), (400, 268)])
def test_what_some_of_many_tell_stands_for_all_together_with_the_guess(guess: int, crowd: int) -> None:
    """Who had just heard of no work took the whole pace: parts came to 5 times what there was."""
    hearsay = Gossip(replace(FLEET, replicas=200))
    for peer in range(8):  # of 16 in the mean, two messages each
        hearsay.receive(peer, Note(1, (Fact(FactKind.WORK, 1, 2),)), 0)
    believed = hearsay.active_senders(1, 1, 1, guess)
    assert believed is not None and round(believed) == crowd


told_notes = st.tuples(st.integers(0, 60), st.integers(0, 255), st.lists(facts, max_size=5))


@given(st.lists(told_notes, max_size=30))
def test_whatever_is_heard_only_slows_for_a_while(notes: list[tuple[int, int, list[Fact]]]) -> None:
    """Absurd values and unknown names too: a call goes once what was believed has aged out."""
    caller = sender()
    for peer, number, some in notes:
        caller.step(NoteReceived(peer, Note(number, tuple(some))))
    caller.wait(25 * SECOND_US)  # the longest a wait is believed is the longest time that a message has
    caller.accept()
    caller.wait(20 * SECOND_US)
    assert any(isinstance(a, Send) for _, a in caller.log)


def test_the_port_takes_notes_of_peers_and_drops_the_rest(caplog: pytest.LogCaptureFixture) -> None:
    asyncio.run(between(caplog))


async def between(caplog: pytest.LogCaptureFixture) -> None:
    peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    for each in (peer, stranger):
        each.bind(("127.0.0.1", 0))
    got: asyncio.Queue[tuple[int, Note]] = asyncio.Queue()
    own = ("127.0.0.1", free_port())
    there = peer.getsockname()
    port = PeerPort(own, [own, there], there, lambda n, note: got.put_nowait((n, note)), lambda: 0)
    port.open()
    try:
        note = Note(4, (Fact(FactKind.WORK, 7, 2),))
        stranger.sendto(encode_note(note), own)
        peer.sendto(b"noise", own)
        peer.sendto(b"x" * 400, own)
        peer.sendto(encode_note(note), own)
        assert await asyncio.wait_for(got.get(), 5) == (1, note)
        for number in range(100):  # a flood from a peer: its clock stands still here
            peer.sendto(encode_note(Note(number, note.facts)), own)
        peer.sendto(b"the last", own)
        async with asyncio.timeout(5):
            while port.dropped < 3 + 101 - (EACH_MOST - 3):
                await asyncio.sleep(0.01)
        assert got.qsize() == EACH_MOST - 3
        port.tell(note)
        assert decode_note(await asyncio.wait_for(asyncio.to_thread(peer.recv, 300), 5)) == note
        assert len([r for r in caplog.records if "notes" in r.message]) == 1
    finally:
        port.close()
        peer.close()
        stranger.close()


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        number: int = probe.getsockname()[1]
        return number


@pytest.mark.parametrize(
    ("replicas", "peers", "there"), [(2, True, True), (1, True, False), (40, False, False), (200, True, True)]
)
def test_no_port_is_taken_where_nothing_is_told(replicas: int, peers: bool, there: bool) -> None:
    settings = replace(FLEET, replicas=replicas, peers=peers)
    doc = {"peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.2:7946"], "peers_all": "127.0.0.3:7946"}
    assert (_peers(doc, settings) is not None) is Gossip(settings).enabled is there
    assert _peers({}, settings) is None
