"""A simulated sender: the real exchange and decision module on a virtual clock, with a journal that lasts."""

from __future__ import annotations

from dataclasses import replace

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, CallVerdict, End, Message, Refusal
from rowanrack.core.wheel import WheelTimer
from rowanrack.model.calls import Calls
from rowanrack.model.discovery import Discovery
from rowanrack.model.engine import Engine, chance
from rowanrack.model.history import Entry, History
from rowanrack.model.network import Network
from rowanrack.model.partner import Place
from rowanrack.store.memory import MemoryStore, MessageState
from rowanspindle import Outage, Result, Settings
from rowanspindle.gossip import Gossip
from rowanspindle.notes import Note, decode_note

FRONT = "model"
NOTES_TO = 0  # others that each sender tells its notes, whatever the number of senders; 0: as the module does
UNIX_US = 1_750_000_000_000_000  # Unix time at the start of a run: any will do


class HearsayOfSome(Gossip):
    """A way that was counted: notes go to some others each, as if these were all that there are. The work of
    those that are not heard is taken to be like that of those that are."""

    def __init__(self, settings: Settings, some: int) -> None:
        super().__init__(replace(settings, replicas=some + 1))
        self.times = (settings.replicas - 1) / some

    def active_senders(self, dest: int, held: int, now: int, guess: float = 1.0) -> float | None:
        """As the module's, by the part that is heard."""
        share = super().active_senders(dest, held, now)
        return share and 1 + (share - 1) * self.times


def told_by(number: int, senders: int, some: int) -> list[int]:
    """To whom a sender's notes go: at even distances on a ring, so that each hears of as many as it tells."""
    return [(number + 1 + step * (senders - 1) // some) % senders for step in range(some)]


class Sender:
    """One sender, through its lives."""

    def __init__(
        self,
        number: int,
        zone: str,
        settings: Settings,
        tick_us: int,
        seed: int,
        engine: Engine,
        network: Network,
        history: History,
        places: dict[str, Place],
        discovery: Discovery,
    ) -> None:
        self.number, self.zone, self.settings, self.tick_us, self.seed = number, zone, settings, tick_us, seed
        self.engine, self.network, self.history, self.places = engine, network, history, places
        self.discovery, self.shelf, self.life = discovery, MessageState(), object()
        self.handshakes = self.crossings = self.lives = 0
        self.alive, self.some = False, min(NOTES_TO, settings.replicas - 1)
        self._wake: WheelTimer | None = None
        self._wake_at = 0
        self._outages: tuple[Outage, ...] = ()
        self.start()

    # The exchange's `Clock`.

    def now_us(self) -> int:
        """Microseconds of virtual time."""
        return self.engine.now

    def unix_us(self) -> int:
        """Unix time in microseconds."""
        return UNIX_US + self.engine.now

    def wake_at(self, due_us: int) -> None:
        """Run a round at that time, unless a sooner one is set."""
        if self._wake is not None and self._wake_at <= due_us:
            return
        if self._wake is not None:
            self._wake.cancel()
        self._wake_at = due_us
        self._wake = self.engine.at(due_us, self._pump)

    def _pump(self) -> None:
        self._wake = None
        self.exchange.pump()

    # Its lives.

    def start(self) -> None:
        """A process begins, with what the last one left."""
        self.life, self.alive = object(), True
        self.lives += 1
        self._wake = None
        seed = chance(self.seed, "sender", self.number, self.lives).getrandbits(62)
        store = MemoryStore(self.shelf, self.unix_us)
        self.exchange = Exchange(self.settings, seed, self, store, self.tick_us)
        if self.some:
            self.exchange.forwarder.gossip = HearsayOfSome(self.settings, self.some)
        # No round is late here. The governor takes 1.5 s without one for a full core, and a real sender's
        # listeners cause some each second.
        self.exchange.load_shedder.record_delay = lambda now_us, delay_us: None  # type: ignore[method-assign]
        self.calls = Calls(self)
        self.exchange.endpoint_calls = self.calls
        settle = self.exchange.settle

        def settle_and_note(attempt: Attempt, verdict: CallVerdict | Result) -> None:
            if not attempt.settled:
                known = CallVerdict(verdict) if isinstance(verdict, Result) else verdict
                m, name = attempt.message, attempt.endpoint.name
                self.history.add(
                    Entry(
                        self.engine.now,
                        "settle",
                        self.number,
                        m.id,
                        attempt.attempt_number,
                        name,
                        m.dest,
                        known.result.value,
                        known.wait_us,
                    )
                )
            settle(attempt, verdict)

        self.exchange.settle = settle_and_note  # type: ignore[method-assign]
        life = self.life
        self.exchange.request_list = lambda: self.discovery.watch(self, life)
        self.exchange.broadcast_note = lambda note: self.tell(note)
        self.exchange.listeners[FRONT] = self._ended
        self.discovery.start(self, life)
        self.exchange.restore_outages(self._outages)
        for message in list(store.owed.values()):
            self.exchange.adopt(message, recovered=True)
        self.history.add(Entry(self.engine.now, "ready", self.number))
        self.exchange.pump()

    def kill(self) -> None:
        """The process dies; only the shelf outlasts it."""
        self._outages = self.exchange.outages()
        self.alive, self.life = False, object()
        if self._wake is not None:
            self._wake.cancel()
        self.calls.close()
        self._count()
        self.history.add(Entry(self.engine.now, "kill", self.number))

    def _count(self) -> None:
        self.handshakes += self.calls.handshakes
        self.crossings += self.calls.crossings
        self.calls.handshakes = self.calls.crossings = 0

    def finish(self) -> None:
        """The run is over: add up what the last life used."""
        self._count()

    # The other senders.

    def tell(self, note: Note) -> None:
        """Set by the world: a note to all other senders."""

    def hear(self, peer: int, data: bytes) -> None:
        """A note from another sender."""
        if self.alive:
            self.exchange.receive_note(peer, decode_note(data))

    # Clients.

    def submit(self, message: Message) -> Refusal | None:
        """A message is handed in."""
        refusal = self.exchange.submit(message)
        what = "take" if refusal is None else "nack"
        self.history.add(
            Entry(self.engine.now, what, self.number, message.id, dest=message.dest, note=message.cls,
                  value=message.deadline_us - UNIX_US)
        )  # fmt: skip
        return refusal

    def _ended(self, message: Message, end: End) -> None:
        self.history.add(
            Entry(self.engine.now, "end", self.number, message.id, dest=message.dest, note=end.ending.value,
                  value=end.retry_us)
        )  # fmt: skip
        self.told(message, end)

    def told(self, message: Message, end: End) -> None:
        """Set by the clients: how they hear of ends."""
