"""Gossip between senders: which notes to send, and for how long to use the received ones.

Each fact is an observation of its sender. Received facts expire within seconds, so that a peer that has died
leaves no state behind. "Work" means the messages that a sender holds for a destination. The bytes sent are
limited to a fraction of the value of the traffic. This module does no I/O and selects no endpoints.
"""

from __future__ import annotations

from collections import defaultdict

from rowanspindle.api import BroadcastNote, Settings
from rowanspindle.data_structures import DeadlineQueue
from rowanspindle.held_messages import NEVER_US
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
BUDGET_FRACTION = 0.015  # points that notes may cost, per point of traffic value
PRICED_PACKET_BYTES = 256  # the packet size to which the setting `prices.peer` applies
MAX_BUDGET_BYTES = 2.0 * MAX_NOTE_BYTES  # the most unspent budget that is kept
MIN_WORK_INTERVAL_US = 500_000  # shortest interval between two notes that report held messages
# The interval grows by this much per reporting sender, because each sender receives the notes of all.
WORK_INTERVAL_PER_SENDER_US = 10_000
MIN_WORK_AGE_US = 150_000  # held messages are reported once the oldest has waited this long
REFRESH_INTERVALS = 2  # work intervals after which messages that are still held are reported again
LISTEN_INTERVALS = REFRESH_INTERVALS + 1  # work intervals within which all held messages are reported once
WORK_EXPIRY_INTERVALS = 5  # work intervals after which a peer's report expires unless it is repeated
SILENCE_TIMEOUT_US = 5_000_000  # time without a note after which the state of the peers is unknown
SHORTAGE_REPEAT_US = 5_000_000  # interval between reports of a shortage of connections
WAIT_UNIT_US = 10_000  # the unit of retry-after waits in notes
# Up to this many senders all report their held messages: receiving all reports is still affordable.
MAX_SENDERS_ALL_REPORT = 64
# Among more senders a random subset reports; this is its mean size. The other senders are assumed to hold
# as many messages on average as those of the subset.
MEAN_REPORTERS_COUNT = 16
# The estimate from the age of the own messages counts with the weight of this many reporters in that average.
ESTIMATE_WEIGHT_COUNT = 8.0
# Among more senders than MAX_SENDERS_ALL_REPORT, the part of the budget for urgent facts, which all report.
URGENT_BUDGET_FRACTION = 0.5
STALE_DISTANCE = SEQUENCE_NUMBERS // 2  # from this distance on, a sequence number belongs to an older note
LOSS_DECAY_FACTOR = 0.98  # weight kept by earlier notes, per new note, in the estimate of the loss rate
INITIAL_NOTES_COUNT = 5.0  # notes assumed to have been sent and received, at the start and after a silence
MAX_LOSS_FRACTION = 0.2  # up to this loss rate, nearly all held messages of peers are known in time
MAX_SEQUENCE_GAP = 16  # a larger jump of a peer's sequence number means that the peer has restarted


def notes_enabled(settings: Settings) -> bool:
    """Return whether senders exchange notes under these settings."""
    return settings.peers and settings.replicas > 1


class Gossip:
    """One sender's part in the gossip.

    `random_draw`, between 0 and 1, decides whether this sender is in the subset that reports its work.
    """

    def __init__(self, settings: Settings, random_draw: float = 0.0) -> None:
        self._peer_count = peers = settings.replicas - 1
        self._reporting_fraction = (
            1.0 if settings.replicas <= MAX_SENDERS_ALL_REPORT else MEAN_REPORTERS_COUNT / settings.replicas
        )
        self._reports_work = random_draw < self._reporting_fraction
        self.enabled = notes_enabled(settings)
        self._max_wait_us = max(c.deadline_us for c in settings.classes.values())
        self._bytes_per_message = (
            BUDGET_FRACTION * PRICED_PACKET_BYTES / max(settings.peer_price * peers, 1e-9)
            if self.enabled
            else 0.0
        )
        self._bytes_per_message *= (
            URGENT_BUDGET_FRACTION
            + (1 - URGENT_BUDGET_FRACTION) / self._reporting_fraction * self._reports_work
        )
        self.work_interval_us = max(
            MIN_WORK_INTERVAL_US,
            round(WORK_INTERVAL_PER_SENDER_US * settings.replicas * self._reporting_fraction),
        )
        self._budget_bytes = min(MAX_BUDGET_BYTES, 8 * self._bytes_per_message)
        self._sequence_number = 0
        self._held: dict[int, tuple[int, int]] = {}  # own held messages by destination, and since when
        self._reported: dict[int, tuple[int, int]] = {}  # the last report of them, and when it was sent
        self._urgent_facts: dict[tuple[FactKind, int], int] = {}  # the urgent facts of this round
        self._next_work_at = 0  # when held messages are reported next
        self._next_shortage_at: dict[int, int] = {}
        self._last_notes: dict[int, tuple[int, int]] = {}  # by peer: last sequence number, and when
        self._last_received_at: int | None = None
        self._listening_since = NEVER_US  # when the first note since the start or a silence came
        self._notes_expected = self._notes_arrived = INITIAL_NOTES_COUNT  # recent notes, with decay
        # Messages held by the peers, by destination and peer, and their sums by destination.
        self._peer_work: defaultdict[int, dict[int, int]] = defaultdict(dict)
        self._peer_work_totals: defaultdict[int, int] = defaultdict(int)
        self._work_expiry: DeadlineQueue[tuple[int, int]] = DeadlineQueue()
        # Counters; dropped notes were stale or duplicates.
        self.notes_sent = self.notes_received = self.notes_dropped = 0

    # Observations of this sender.

    def earn_budget(self) -> None:
        """Add the share of a newly accepted message to the byte budget."""
        self._budget_bytes = min(MAX_BUDGET_BYTES, self._budget_bytes + self._bytes_per_message)

    def update_held(self, dest: int, held: int, since: int) -> None:
        """Record that `held` messages wait for a destination, the oldest since `since`."""
        if held and self.enabled and self._reports_work:
            self._held[dest] = held, since
        else:
            self._held.pop(dest, None)

    def record_refusal(
        self, dest: int, wait_us: int, connections_short: bool, limit_known: bool, now: int
    ) -> None:
        """Record a refused call.

        It was refused for lack of connections (`connections_short`), or else because of a limit, which
        may have been known before (`limit_known`).
        """
        if not self.enabled:
            return
        if connections_short and now >= self._next_shortage_at.get(dest, 0):
            self._next_shortage_at[dest] = now + SHORTAGE_REPEAT_US
            self._urgent_facts[FactKind.CONNECTIONS_SHORT, dest] = 0
        elif not connections_short and (wait_us or not limit_known):
            self._urgent_facts[FactKind.REFUSED, dest] = min(
                max(wait_us // WAIT_UNIT_US, int(wait_us > 0)), MAX_VALUE
            )

    def record_recovery(self, target: str) -> None:
        """Record that an endpoint answers again after an outage."""
        if self.enabled:
            self._urgent_facts[FactKind.RECOVERED, endpoint_digest(target)] = 0

    # Sending.

    def notes_to_send(self, now: int) -> list[BroadcastNote]:
        """Return the note to send now, if any.

        Urgent facts go out at once, held messages at intervals, both as far as the budget allows.
        """
        if not self.enabled:
            return []
        facts = [Fact(kind, subject, value) for (kind, subject), value in self._urgent_facts.items()]
        if now >= self._next_work_at:
            facts += self._work_facts(now)
        self._urgent_facts.clear()  # a fact over the budget would be outdated once the budget allowed it
        size, max_bytes, chosen = HEADER_BYTES, min(self._budget_bytes, MAX_NOTE_BYTES), list[Fact]()
        for fact in facts:
            if size + (fact_bytes := len(encode_fact(fact))) <= max_bytes:
                chosen.append(fact)
                size += fact_bytes
                if fact.kind is FactKind.HELD_MESSAGES:
                    self._record_reported(fact.subject, fact.value, now)
        if not chosen:
            return []
        self._budget_bytes -= size
        self._sequence_number = (self._sequence_number + 1) % SEQUENCE_NUMBERS
        self.notes_sent += 1
        return [BroadcastNote(Note(self._sequence_number, tuple(chosen)))]

    def _work_facts(self, now: int) -> list[Fact]:
        """Return the held messages to report: new or gone, doubled or halved, or due for a repeat."""
        self._next_work_at = now + self.work_interval_us
        work = [Fact(FactKind.HELD_MESSAGES, dest) for dest in self._reported if dest not in self._held]
        for dest, (held, since) in self._held.items():
            reported, last_at = self._reported.get(dest, (0, now))
            waited = now - since >= MIN_WORK_AGE_US
            if waited and (
                not reported
                or not reported < 2 * held < 4 * reported
                or now - last_at >= REFRESH_INTERVALS * self.work_interval_us
            ):
                work.append(Fact(FactKind.HELD_MESSAGES, dest, min(held, MAX_VALUE)))
        return work

    def _record_reported(self, dest: int, held: int, now: int) -> None:
        """Remember what was reported for a destination."""
        if held:
            self._reported[dest] = held, now
        else:
            self._reported.pop(dest, None)

    def next_report_at(self) -> int:
        """Return when held messages may have to be reported again."""
        return self._next_work_at if self._held or self._reported else NEVER_US

    # Receiving.

    def wait_us(self, value: int) -> int:
        """Return the retry-after wait of a fact, limited to the longest time that any message can wait."""
        return min(value * WAIT_UNIT_US, self._max_wait_us)

    def receive(self, peer: int, note: Note, now: int) -> tuple[Fact, ...]:
        """Take in a note and return its facts; none if it is a duplicate or older than the last note."""
        if not self.enabled:
            return ()
        last_number, last_at = self._last_notes.get(peer, (note.number, now - SILENCE_TIMEOUT_US))
        if (
            now - last_at < SILENCE_TIMEOUT_US
            and not 0 < (note.number - last_number) % SEQUENCE_NUMBERS < STALE_DISTANCE
        ):
            self.notes_dropped += 1
            self._notes_arrived += note.number != last_number  # reordered, not lost
            return ()
        silent = self._last_received_at is not None and now - self._last_received_at >= SILENCE_TIMEOUT_US
        if silent or self._last_received_at is None:
            self._listening_since = now
        if silent:
            # Losses before the silence say nothing about the present.
            self._notes_expected = self._notes_arrived = INITIAL_NOTES_COUNT
        sent = (note.number - last_number) % SEQUENCE_NUMBERS if now - last_at < SILENCE_TIMEOUT_US else 1
        self._notes_expected = self._notes_expected * LOSS_DECAY_FACTOR + (
            sent if sent <= MAX_SEQUENCE_GAP else 1
        )
        self._notes_arrived = self._notes_arrived * LOSS_DECAY_FACTOR + 1
        self._last_notes[peer] = note.number, now
        self._last_received_at = now
        self.notes_received += 1
        for fact in note.facts:
            if fact.kind is FactKind.HELD_MESSAGES:
                self._set_peer_work(fact.subject, peer, fact.value)
                self._work_expiry.set(
                    (fact.subject, peer), now + WORK_EXPIRY_INTERVALS * self.work_interval_us
                )
        return note.facts

    def listened_long_enough(self, now: int) -> bool:
        """Return whether it has listened for long enough to have received a report of all held messages.

        Without this check, a sender that had just started and knew of few others used the whole call
        budget of a cold endpoint.
        """
        return now - self._listening_since >= LISTEN_INTERVALS * self.work_interval_us

    @property
    def lossy(self) -> bool:
        """Whether so many notes are lost that much of the work of other senders is unknown."""
        return self._notes_arrived < self._notes_expected * (1 - MAX_LOSS_FRACTION)

    def _set_peer_work(self, dest: int, peer: int, held: int) -> None:
        """Store the number of messages that a peer holds for a destination."""
        others = self._peer_work[dest]
        self._peer_work_totals[dest] += held - others.pop(peer, 0)
        if held:
            others[peer] = held
        elif not others:
            del self._peer_work[dest], self._peer_work_totals[dest]

    def active_senders(self, dest: int, held: int, now: int, estimate: float = 1.0) -> float | None:
        """Return how many senders, weighted by held messages, share a destination's rate; None if unknown.

        It is unknown where many notes are lost: most senders would be missing from the sum, and each would
        use the whole call budget of a cold endpoint.
        Where only a subset reports, `estimate`, the estimated number of senders with held messages, this one
        included, counts too, with one message per sender. Otherwise a sender that has received no report yet
        would use the whole rate.
        """
        if self._last_received_at is None or now - self._last_received_at >= SILENCE_TIMEOUT_US or self.lossy:
            return None
        for expired_dest, peer in self._work_expiry.due(now):
            if peer in self._peer_work.get(expired_dest, ()):
                self._set_peer_work(expired_dest, peer, 0)
        own, others = max(1, held), float(self._peer_work_totals.get(dest, 0))
        if self._reporting_fraction < 1:
            others = (
                self._peer_count
                * (others + ESTIMATE_WEIGHT_COUNT * (estimate - 1) / self._peer_count)
                / (self._peer_count * self._reporting_fraction + ESTIMATE_WEIGHT_COUNT)
            )
        return (own + others) / own
