"""What to tell the other senders, and how long to believe what they tell. No I/O, no choice of servers.

Each fact is something seen. What is believed ages out within seconds, so that a peer that has died leaves
nothing behind, and what is told is bounded by what traffic earns.
"""

from __future__ import annotations

from collections import defaultdict

from rowanspindle.api import BroadcastNote, Settings
from rowanspindle.data_structures import DeadlineQueue
from rowanspindle.held_messages import NEVER
from rowanspindle.notes import (
    HEADER_BYTES,
    MAX_NOTE_BYTES,
    MAX_VALUE,
    SEQUENCE_NUMBERS,
    Fact,
    FactKind,
    Note,
    encode_fact,
    endpoint_digest,
)

SECOND_US = 1_000_000
SPENT = 0.015  # points that notes may cost, for each point that traffic is worth
PRICED_PACKET_BYTES = 256  # bytes that `prices.peer` is for
PURSE = 2.0 * MAX_NOTE_BYTES  # bytes that may be saved up
BEAT_US = 500_000  # between notes that tell of work, at least,
BEAT_EACH_US = 10_000  # and so long for each sender: each hears the notes of all
WAITED_US = 150_000  # for which work has waited before it is told
REFRESH = 2  # beats after which work that still waits is told again
LISTEN = REFRESH + 1  # beats after which work that waits has been told at least once
WORK = 5  # beats for which work is believed to wait, unless told again
LIVE_US = 5_000_000  # without a note from anybody, after which nothing is known of the others
AGAIN_US = 5_000_000  # before a shortage of connections is told again
WAIT_UNIT_US = 10_000  # of waits in notes
MAX_SENDERS_ALL_TELL = 64  # among which each tells of its work, since to hear of all of it is not too dear
TELLERS = 16  # of more, so many by lot tell of theirs in the mean; what the others have is taken to be alike,
GUESSED = 8.0  # and, as if that were so many tellers more, like the guess from the age of one's own
URGENT = 0.5  # part of what may be spent that is for urgent facts there, which all tell
STALE = SEQUENCE_NUMBERS // 2  # running numbers so far back are those of an older note
LOSS_FADE = 0.98  # factor of each note on the weight of those before it in the part that is lost
LOSS_START = 5.0  # notes taken to have come, at first and after a silence
LOSS_MOST = 0.2  # part of the notes lost, up to which nearly all of the others' work is heard of in time
SKIP_MOST = 16  # notes lost in a row, at most: a peer whose numbers jump further has begun anew


def notes_enabled(settings: Settings) -> bool:
    """Whether senders tell each other something here."""
    return settings.peers and settings.replicas > 1


class Gossip:
    """One sender's share in what senders tell each other. Its lot lies in 0 to 1."""

    def __init__(self, settings: Settings, lot: float = 0.0) -> None:
        self._peers = peers = settings.replicas - 1
        self._part = 1.0 if settings.replicas <= MAX_SENDERS_ALL_TELL else TELLERS / settings.replicas
        self._teller = lot < self._part
        self.enabled = notes_enabled(settings)
        self._wait_most = max(c.deadline_us for c in settings.classes.values())
        self._earned = (
            SPENT * PRICED_PACKET_BYTES / max(settings.peer_price * peers, 1e-9) if self.enabled else 0.0
        )
        self._earned *= URGENT + (1 - URGENT) / self._part * self._teller
        self.beat_us = max(BEAT_US, round(BEAT_EACH_US * settings.replicas * self._part))
        self._purse = min(PURSE, 8 * self._earned)
        self._number = 0
        self._held: dict[int, tuple[int, int]] = {}  # our own work that waits, and since when
        self._told: dict[int, tuple[int, int]] = {}  # what was told of it, and when
        self._urgent: dict[tuple[FactKind, int], int] = {}  # what this round has seen, with its value
        self._beat_at = 0  # when work is told next
        self._short_at: dict[int, int] = {}
        self._last: dict[int, tuple[int, int]] = {}  # of each peer: the last number, and when
        self._heard_at: int | None = None
        self._listens_from = NEVER  # the first note since the start or a silence
        self._numbered = self._arrived = LOSS_START  # notes sent of late, and those that came
        self._others: defaultdict[int, dict[int, int]] = defaultdict(dict)  # by destination and peer
        self._sum: defaultdict[int, int] = defaultdict(int)
        self._lapse: DeadlineQueue[tuple[int, int]] = DeadlineQueue()
        self.notes_sent = self.notes_received = self.notes_dropped = (
            0  # notes: told, believed, and too old or twice
        )

    # What is seen here.

    def earn_budget(self) -> None:
        """A message was taken: what it is worth pays for some bytes."""
        self._purse = min(PURSE, self._purse + self._earned)

    def update_held(self, dest: int, held: int, since: int) -> None:
        """So many messages wait for a destination by now, the oldest since then."""
        if held and self.enabled and self._teller:
            self._held[dest] = held, since
        else:
            self._held.pop(dest, None)

    def record_refusal(self, dest: int, wait_us: int, short: bool, known: bool, now: int) -> None:
        """A call was refused there: for want of connections, or else above a limit, or with one known of."""
        if not self.enabled:
            return
        if short and now >= self._short_at.get(dest, 0):
            self._short_at[dest] = now + AGAIN_US
            self._urgent[FactKind.SHORT, dest] = 0
        elif not short and (wait_us or not known):
            self._urgent[FactKind.REFUSED, dest] = min(
                max(wait_us // WAIT_UNIT_US, int(wait_us > 0)), MAX_VALUE
            )

    def record_recovery(self, target: str) -> None:
        """An endpoint answers again after an outage."""
        if self.enabled:
            self._urgent[FactKind.BACK, endpoint_digest(target)] = 0

    # What is told.

    def notes_to_send(self, now: int) -> list[BroadcastNote]:
        """What goes out now: urgent facts at once, work now and then, as far as the purse reaches."""
        if not self.enabled:
            return []
        facts = [Fact(what, where, value) for (what, where), value in self._urgent.items()]
        if now >= self._beat_at:
            facts += self._changed(now)
        self._urgent.clear()  # what the purse does not reach for is old news by the time that it does
        size, most, taken = HEADER_BYTES, min(self._purse, MAX_NOTE_BYTES), list[Fact]()
        for fact in facts:
            if size + (more := len(encode_fact(fact))) <= most:
                taken.append(fact)
                size += more
                if fact.kind is FactKind.WORK:
                    self._says(fact.subject, fact.value, now)
        if not taken:
            return []
        self._purse -= size
        self._number = (self._number + 1) % SEQUENCE_NUMBERS
        self.notes_sent += 1
        return [BroadcastNote(Note(self._number, tuple(taken)))]

    def _changed(self, now: int) -> list[Fact]:
        """Work to be told: new or gone, twice or half of what was told, or told so long ago."""
        self._beat_at = now + self.beat_us
        work = [Fact(FactKind.WORK, dest) for dest in self._told if dest not in self._held]
        for dest, (held, since) in self._held.items():
            said, at = self._told.get(dest, (0, now))
            waited = now - since >= WAITED_US
            if waited and (not said or not said < 2 * held < 4 * said or now - at >= REFRESH * self.beat_us):
                work.append(Fact(FactKind.WORK, dest, min(held, MAX_VALUE)))
        return work

    def _says(self, dest: int, held: int, now: int) -> None:
        if held:
            self._told[dest] = held, now
        else:
            self._told.pop(dest, None)

    def next_at(self) -> int:
        """When there may be something to tell again."""
        return self._beat_at if self._held or self._told else NEVER

    # What is believed.

    def wait_us(self, value: int) -> int:
        """The wait that a fact tells, believed as far as any message could wait for it."""
        return min(value * WAIT_UNIT_US, self._wait_most)

    def receive(self, peer: int, note: Note, now: int) -> tuple[Fact, ...]:
        """Believe a note; the facts in it that are news. A double or one overtaken by a later one is none."""
        if not self.enabled:
            return ()
        last, at = self._last.get(peer, (note.number, now - LIVE_US))
        if now - at < LIVE_US and not 0 < (note.number - last) % SEQUENCE_NUMBERS < STALE:
            self.notes_dropped += 1
            self._arrived += note.number != last  # overtaken, not lost
            return ()
        silent = self._heard_at is not None and now - self._heard_at >= LIVE_US
        if silent or self._heard_at is None:
            self._listens_from = now
        if silent:
            self._numbered = self._arrived = LOSS_START  # what was lost before the silence says nothing now
        sent = (note.number - last) % SEQUENCE_NUMBERS if now - at < LIVE_US else 1
        self._numbered = self._numbered * LOSS_FADE + (sent if sent <= SKIP_MOST else 1)
        self._arrived = self._arrived * LOSS_FADE + 1
        self._last[peer] = note.number, now
        self._heard_at = now
        self.notes_received += 1
        for fact in note.facts:
            if fact.kind is FactKind.WORK:
                self._believe(fact.subject, peer, fact.value)
                self._lapse.set((fact.subject, peer), now + WORK * self.beat_us)
        return note.facts

    def informed(self, now: int) -> bool:
        """Whether it has listened for long enough to have heard of all work that waits.

        Answers process starts: who has heard of little yet took a cold endpoint's whole budget.
        """
        return now - self._listens_from >= LISTEN * self.beat_us

    @property
    def lossy(self) -> bool:
        """Whether so many notes are lost that much of the others' work is not heard of."""
        return self._arrived < self._numbered * (1 - LOSS_MOST)

    def _believe(self, dest: int, peer: int, held: int) -> None:
        others = self._others[dest]
        self._sum[dest] += held - others.pop(peer, 0)
        if held:
            others[peer] = held
        elif not others:
            del self._others[dest], self._sum[dest]

    def active_senders(self, dest: int, held: int, now: int, guess: float = 1.0) -> float | None:
        """By how many a destination's pace is shared, by all work known to wait there; None: not known.

        Where many notes are lost, what is heard leaves out most senders: each would take the whole budget of
        a cold endpoint for itself.
        Where only some tell of theirs, the guess (of messages that wait, with one's own) counts too: who has
        just heard of no work would take the whole pace otherwise.
        """
        if self._heard_at is None or now - self._heard_at >= LIVE_US or self.lossy:
            return None
        for known, peer in self._lapse.due(now):
            if peer in self._others.get(known, ()):
                self._believe(known, peer, 0)
        own, others = max(1, held), float(self._sum.get(dest, 0))
        if self._part < 1:
            others = (
                self._peers
                * (others + GUESSED * (guess - 1) / self._peers)
                / (self._peers * self._part + GUESSED)
            )
        return (own + others) / own
