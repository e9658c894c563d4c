"""The exchange: the one place where the clients' side and the instances' side meet.

It owns every taken message until its end, drives the decision module with what happens on both sides, and
carries out what the module decides. Clock, store and both sides reach it through the ports below.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from rowanrack.core.endpoint_list import EndpointList, EndpointListChange
from rowanrack.core.event_feed import EventFeed
from rowanrack.core.messages import (
    Attempt,
    Batch,
    CallVerdict,
    End,
    Ending,
    Endpoint,
    Message,
    Progress,
    Refusal,
)
from rowanrack.core.metrics import Metrics
from rowanrack.core.wheel import TimerWheel, WheelTimer
from rowanrack.load.load_shedder import LoadShedder
from rowanspindle import (
    Accept,
    Action,
    ArmTimer,
    BroadcastNote,
    Cancel,
    DestinationKind,
    Disconnect,
    Effect,
    EndpointStatus,
    Event,
    Fail,
    Forwarder,
    LogLine,
    NoteReceived,
    Outage,
    OutagesRestored,
    Outcome,
    Refuse,
    Result,
    Send,
    Settings,
    TimerFired,
    UpdateScope,
    WatchEndpointList,
    Withdrawn,
)
from rowanspindle.data_structures import DeadlineQueue
from rowanspindle.notes import Note

log = logging.getLogger(__name__)

MAYBE_RAN = frozenset({Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED})
UNSENT = {Result.TIMEOUT: Result.CONNECT_FAILED, Result.CANCELLED: Result.MOOT}  # of a call that never ran
GUARD_US = 100_000  # past a message's time: the module has ended it by then, unless it failed
LONG_AGO_US = 1 << 60
HEARD_US = 10_000  # for which a note may wait for others
STORE_LOOK_US = 100_000  # between looks at whether the store records again
# An attempt that the store did not record. The wait guards the attempts that a message has: without it each
# round would send it, and stop it, anew.
UNRECORDED = CallVerdict(Result.MOOT, wait_us=500_000)
ANSWER_US = 50_000  # between looks at an answer that had begun to come in when its call's time was up
ANSWER_LOOKS = 4
DECIDE_AGAIN_US = 1_000_000  # after a round that the decision module could not finish, before the next try
OVERDUE_US = 20_000  # by which a round is late before whoever comes next runs it


class Clock(Protocol):
    """Time, and a wake-up call."""

    def now_us(self) -> int:
        """Microseconds on a clock that never goes back."""

    def unix_us(self) -> int:
        """Unix time in microseconds."""

    def wake_at(self, due_us: int) -> None:
        """Ask for `Exchange.pump` at that time; a sooner call replaces a later one."""


class Store(Protocol):
    """What must outlast the process. What it has said yes to is there in the next one, whatever happens.

    Proofs and ends cannot be refused: what cannot be written of them is kept, and written in order before
    anything new is taken or begun.
    """

    def recording(self) -> bool:
        """Whether something new may be taken. While not, each call tries to get there: ask now and then."""

    def behind(self) -> bool:
        """Whether nothing may begin, for a proof or an end is unwritten. Each call tries to write it."""

    def take(self, message: Message) -> bool:
        """Record a message; False when there is no room for it, its attempts and its end."""

    def begin(self, message: Message, attempt_number: int) -> bool:
        """Record that an attempt is about to begin; False if that cannot be done."""

    def never_ran(self, message: Message, attempt_number: int) -> None:
        """Record the proof that an attempt never ran."""

    def end(self, message: Message, end: End) -> None:
        """Record the one end of a message, which its client may be told from now on."""

    def ended(self, message_id: str) -> End | None:
        """The recorded end of a message, while it is kept."""


class EndpointCalls(Protocol):
    """Calls to instances."""

    def start(self, batch: Batch) -> None:
        """Make the call; the end of each attempt comes back by `Exchange.settle`."""

    def abandon(self, batch: Batch) -> None:
        """Stop waiting: the call's connection is closed, and nothing more comes back."""

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an instance."""

    def progress(self, batch: Batch) -> Progress:
        """How far a call has come, asked right before it is given up."""


class Observer(Protocol):
    """Who is told of everything that happens, and changes nothing."""

    def taken(self, message: Message, left_us: int) -> None:
        """A message is owned, just taken or found at the start."""

    def turned_away(self, message: Message | None, refusal: Refusal) -> None:
        """A message is not taken; without it when it was not read that far."""

    def listed(self, news: list[Endpoint], gone: list[str]) -> None:
        """News of instances, and the names of those that are gone."""

    def began(self, attempt: Attempt) -> None:
        """A call's first byte is about to go out."""

    def settled(self, attempt: Attempt, result: Result, wait_us: int) -> None:
        """A call has ended; its message may have ended with it, but is told of later."""

    def ended(self, message: Message, end: End) -> None:
        """A message has ended."""


class Exchange:
    """Taken messages, their deadlines and their attempts."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, store: Store, tick_us: int) -> None:
        self.settings, self.clock, self.store = settings, clock, store
        self.forwarder = Forwarder(settings, seed)
        self.wheel = TimerWheel(tick_us, clock.now_us())
        self.table = EndpointList()
        self.messages: dict[str, Message] = {}
        self.counts = dict.fromkeys(Ending, 0)
        self.side: EndpointCalls | None = None
        self.observers: tuple[Observer, ...] = ()
        self.watch: Callable[[], None] = lambda: None
        self.tell: Callable[[Note], None] = lambda note: None  # a note to all other senders
        self.round_over: Callable[[], None] = lambda: None  # the ends of a round are known: tell them now
        self.load_shedder = LoadShedder(clock.now_us())
        self.listeners: dict[str, Callable[[Message, End], None]] = {}
        self.figures = Metrics()
        self.bans = self.table.bans  # nothing new goes there, whatever the lists say
        self._refs: dict[int, Message] = {}
        self._next_ref = 0
        self._events: list[Event] = []
        self.frozen = False
        self._pumping = False
        self._due_us: int | None = None  # when the next round is due
        self._waits: DeadlineQueue[str | int] = DeadlineQueue()
        self._unbegun: dict[str, dict[Attempt, None]] = {}  # by the instance that they are for
        self._batches: dict[str, list[Batch]] = {}  # what the round sends, by instance
        self._looks = False  # whether a look at the store is due

    def observe(self, observer: Observer) -> None:
        """Tell one more observer of everything."""
        self.observers += (observer,)

    def unobserve(self, observer: Observer) -> None:
        """Tell it no more."""
        self.observers = tuple(o for o in self.observers if o is not observer)

    # The clients' side.

    def too_busy(self, message_id: str) -> Refusal | None:
        """Asked before a request is read any further: a refusal while the core is full.

        What is owed or has ended under that id is answered as ever: a refusal would deny it.
        """
        self.run_overdue_round()
        if message_id and self.known(message_id) is not None:
            return None
        if not (retry_us := self.load_shedder.refuses()):
            return None
        return self._turned_away(None, Refusal(min(retry_us, self.settings.max_come_back_us)))

    def submit(self, message: Message) -> Refusal | None:
        """Take a message, or refuse it; once this returns None the sender owes its end."""
        self.run_overdue_round()
        if self.frozen or len(self.messages) >= self.settings.most_held:
            return self._turned_away(message, Refusal(self._retry_us()))
        if not self.table.knows(message.dest, self.clock.now_us()):
            # Guards the hold against destinations that do not exist. A real one that is not listed yet can be
            # told from them by nobody, so its client is asked to come again.
            return self._turned_away(message, Refusal(self._retry_us()))
        if not self.store.recording() or not self.store.take(message):
            if self.store.recording():
                log.warning("no room in the journal, message %s is turned away", message.id)
            else:
                self._look_later()
            return self._turned_away(message, Refusal(self._retry_us()))
        self.adopt(message)
        return None

    def adopt(self, message: Message, served: bool = True, found: bool = False) -> None:
        """Own a message that the store holds already: just taken, or found at the start.

        One found at the start ends at once where this process cannot answer for its calls: its front is not
        served any more, or the settings have changed so that nothing says what a repeat would do.
        """
        self._next_ref += 1
        message.ref = self._next_ref
        left_us = max(0, message.deadline_us - self.clock.unix_us())
        self.messages[message.id] = self._refs[message.ref] = message
        for observer in self.observers:
            observer.taken(message, left_us)
        if not served or not self._repeats_known(message):
            self._give_back(message)
            return
        message.guard = self.after(left_us + GUARD_US, lambda: self._overdue(message))
        self._put(
            Accept(
                message.ref,
                message.cls,
                message.dest,
                left_us,
                message.tenant or None,
                message.key or None,
                attempts_made=message.attempts_made,
                may_have_run=bool(message.unsettled),
                first_attempt_age_us=self._ran_us(message),
                waited_us=self._waited_us(message, left_us) if found else 0,
            )
        )

    def _repeats_known(self, message: Message) -> bool:
        """Whether the settings say what a repeat of a message would do. Fronts take no other; a start may
        find one whose class is gone, or that came without a key while its class was not keyed."""
        cls = self.settings.classes.get(message.cls)
        return cls is not None and (bool(message.key) or cls.effect is not Effect.KEYED)

    def _give_back(self, message: Message) -> None:
        """End a message that cannot be called out: refused if it surely has not run, else failed."""
        log.warning("message %s is given back: class %s, front %s", message.id, message.cls, message.front)
        ran = bool(message.unsettled)
        self._end(message, End(Ending.FAILED) if ran else End(Ending.REFUSED, self._retry_us()))

    def _waited_us(self, message: Message, left_us: int) -> int:
        """For how long a message that was found has been owed, at most: its class tells its whole time."""
        return max(0, self.settings.classes[message.cls].deadline_us - left_us)

    def _ran_us(self, message: Message) -> int:
        """How long ago the first attempt that may have run began, for a message that is adopted."""
        cls = self.settings.classes.get(message.cls)
        # Guards a keyed repeat across a restart: where it may go is not known any more.
        if message.unsettled and cls is not None and cls.same_zone:
            return LONG_AGO_US
        return self._first_begun_us(message)

    def _first_begun_us(self, message: Message) -> int:
        """How long ago the first attempt that may have run began, as far as is known; 0 without one."""
        if not message.unsettled:
            return 0
        since = min(message.unsettled.values())
        return max(0, self.clock.unix_us() - since) if since else LONG_AGO_US

    def _key_lapsed(self, message: Message) -> bool:
        """Whether a keyed message may go no more: its repeat would not be dropped."""
        cls = self.settings.classes.get(message.cls)
        keyed = cls is not None and cls.effect is Effect.KEYED and bool(message.unsettled)
        return keyed and cls is not None and self._first_begun_us(message) >= cls.key_ttl_us

    def known(self, message_id: str) -> Message | End | None:
        """A message that was handed in before: itself while it is owed, then its end while that is kept."""
        return self.messages.get(message_id) or self.store.ended(message_id)

    def _turned_away(self, message: Message | None, refusal: Refusal) -> Refusal:
        if message is not None:
            self.figures.declined(message.cls)
        for observer in self.observers:
            observer.turned_away(message, refusal)
        return refusal

    def _retry_us(self) -> int:
        return min(1_000_000, self.settings.max_come_back_us)

    # The instances' side.

    def list_instances(self, scope: UpdateScope, instances: Iterable[Endpoint], source: str = "") -> None:
        """News from a source of the name table. A detached instance is listed as draining."""
        self._listed(self.table.update(scope, instances, source, self.clock.now_us()))

    def detach(self, name: str) -> bool:
        """Send nothing new to an instance until it is attached again; False if no list names it."""
        if self.table.given(name) is None and name not in self.bans:
            return False
        self.ban(name)
        return True

    def outages(self) -> tuple[Outage, ...]:
        """What is known of endpoints that are out or cold, for the next process."""
        return self.forwarder.outages(self.clock.now_us())

    def recall(self, outages: tuple[Outage, ...]) -> None:
        """What the process before this one knew of them, before anything is sent."""
        if outages:
            self._put(OutagesRestored(outages))

    def ban(self, name: str) -> None:
        """Detach an instance, known or not yet: a ban outlasts the lists, and comes over from a restart."""
        if name in self.bans:
            return
        self.bans.add(name)
        if (given := self.table.given(name)) is not None:
            self._listed(self.table.show([given], self.clock.now_us()))

    def attach(self, name: str) -> bool:
        """Lift a ban; the instance comes back cold, as a new one. False if it was not detached."""
        if name not in self.bans:
            return False
        self.bans.discard(name)
        if (given := self.table.given(name)) is not None:
            for instance in (replace(given, status=EndpointStatus.REMOVED), given):
                self._listed(self.table.show([instance], self.clock.now_us()))
        return True

    @property
    def ejected(self) -> int:
        """Listed instances that are avoided now: detached by hand, or out by the module's judgement."""
        listed = self.table.names()
        endpoints = self.forwarder.endpoints.items()
        out = {name for name, e in endpoints if e.out_since is not None and name in listed}
        return len(out | (self.bans & listed))

    def _listed(self, change: EndpointListChange) -> None:
        left = [i for i in change.news if i.status is not EndpointStatus.REMOVED]
        for observer in self.observers:
            observer.listed(left, list(change.gone))
        self._put(change.members)
        for name in change.closed:
            for attempt in list(self._unbegun.get(name, ())):
                # A call still waiting for its connection must not go to what drains, is gone or has moved.
                self._drop(attempt, Result.MOOT)
            if self.side is not None:
                self.side.close_idle(name)
        # What is kept by an instance's name ends with it: another may come under its name or address.
        for name in change.gone:
            self._waits.drop(name)
        self._waits.due(self.clock.now_us())  # those that are over go with it

    def begin(self, attempt: Attempt) -> bool:
        """Asked right before a call's first byte: whether it may still be sent. The store knows it first."""
        message = attempt.message
        if attempt.settled:
            return False
        # Guards against a send after a wait was told, or to an instance that drains or is gone, by a call
        # that was decided on before and waited for its connection.
        waiting = (self._waits.get(self._limit(attempt)) or 0) > self.clock.now_us()
        barred = waiting or not self._owed(message) or not self.table.listed(attempt.endpoint.name)
        # Or a repeat that waited for its connection until its key's time was over.
        barred = barred or self._key_lapsed(message)
        # Guards against a second effect after a restart: what the store does not know must not begin.
        if barred or not self.store.begin(message, attempt.attempt_number):
            self.settle(attempt, Result.MOOT if barred else UNRECORDED)
            return False
        late = self._key_lapsed(message)  # while the store took its time
        message.unsettled[attempt.attempt_number] = self.clock.unix_us()
        attempt.begun = True
        if late:
            self.settle(attempt, Result.MOOT)
            return False
        self.figures.forwarded(message.cls)
        self._no_longer_unbegun(attempt)
        for observer in self.observers:
            observer.began(attempt)
        return True

    def settle(self, attempt: Attempt, verdict: CallVerdict | Result) -> None:
        """An attempt has ended, and its message too if the verdict says so. Only its first end counts."""
        if attempt.settled:
            return
        if isinstance(verdict, Result):
            verdict = CallVerdict(verdict)
        result, wait_us, end = verdict.result, verdict.wait_us, verdict.end
        attempt.settled = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        message, now = attempt.message, self.clock.now_us()
        for observer in self.observers:
            observer.settled(attempt, result, wait_us)
        message.out.pop(attempt.attempt_number, None)
        self._no_longer_unbegun(attempt)
        self._forget(message)
        if wait_us:
            limit = self._limit(attempt)
            self._waits.set(limit, max(now + wait_us, self._waits.get(limit) or 0))
        owed = self._owed(message)
        if attempt.begun and result not in MAYBE_RAN and result is not Result.OK:
            message.unsettled.pop(attempt.attempt_number, None)
            if owed:
                self.store.never_ran(message, attempt.attempt_number)
        if owed and result is Result.OK:
            self._end(message, End(Ending.DELIVERED))
        elif owed and end is not None:
            self._end(message, End(end))
        over = not self._owed(message)
        latency = now - attempt.started_us
        name = attempt.endpoint.name
        self._put(
            Outcome(
                message.ref,
                attempt.attempt_number,
                name,
                result,
                latency,
                over,
                wait_us,
                verdict.left,
                verdict.limit,
            )
        )

    def _no_longer_unbegun(self, attempt: Attempt) -> None:
        if (waiting := self._unbegun.get(attempt.endpoint.name)) is not None:
            waiting.pop(attempt, None)
            if not waiting:
                del self._unbegun[attempt.endpoint.name]

    def _limit(self, attempt: Attempt) -> str | int:
        """What a told wait holds for: the whole destination, or one route where routes are apart."""
        instance = attempt.endpoint
        apart = self.settings.kinds.get(instance.kind, DestinationKind()).apart
        return instance.name if apart else instance.dest

    # The other senders.

    def heard(self, peer: int, note: Note) -> None:
        """A note from another sender, by its number. Notes of many come together: a round serves several."""
        self._events.append(NoteReceived(peer, note))
        self._wake_at(self.clock.now_us() + HEARD_US)

    # The module.

    def after(self, delay_us: int, action: Callable[[], None]) -> WheelTimer:
        """A timer on the wheel, for the adapters too."""
        due = self.clock.now_us() + delay_us
        timer = self.wheel.at(due, action)
        self._wake_at(due + self.wheel.tick_us)
        return timer

    def _wake_at(self, due_us: int) -> None:
        if self._due_us is None or due_us < self._due_us:
            self._due_us = due_us
            self.clock.wake_at(due_us)

    def run_overdue_round(self) -> None:
        """Run a round that is overdue. Whoever uses the loop's time calls this, bad clients' servers too.

        Guards what is owed against a full core: a round must not queue behind everything else that is ready,
        and with it the ends of messages whose time is up.
        """
        if self._due_us is not None and self.clock.now_us() - self._due_us >= OVERDUE_US:
            self.pump()

    def freeze(self) -> None:
        """Decide no more: what is out may still settle, and what is owed is left to the next process.

        Guards against calls that begin right before the exit, which would cut them off: an order that may
        have run can only be failed.
        """
        self.frozen = True

    def pump(self) -> None:
        """Fire what is due, let the module decide on all that happened, and do what it says."""
        if self._pumping:
            return  # what it starts may knock
        self._pumping = True
        try:
            self._round(self.clock.now_us())
        finally:
            self._pumping = False

    def _round(self, now: int) -> None:
        if self._due_us is not None:
            self.load_shedder.record_delay(now, now - self._due_us)
        self._due_us = None
        self.wheel.advance(now)
        batch, self._events = self._events, []
        if batch and not self.frozen:
            self._decide(now, EventFeed(batch))
            self._start_batches()
        self.round_over()
        if not self.store.recording():
            self._look_later()
        due = self.wheel.next_at()
        if due is not None:
            self._wake_at(due)

    def _decide(self, now: int, events: EventFeed) -> None:
        """Let the module decide, and do what it says. An event that it fails on takes no other one with it.

        What it had decided before a failure is done, since it counts on that: a send that it believes to be
        out would hold a slot for ever. The message of the event stays owned, and its guard timer ends it.
        """
        while True:
            before = self.forwarder.actions
            try:
                self._carry_out(self.forwarder.decide(now, events), now)
                return
            except Exception:
                log.exception("the decision module failed on event %d of %d", events.read, len(events))
            decided = self.forwarder.actions
            self._carry_out(decided if decided is not before else [], now)
            if not events.read:
                # No event is at fault. The round is tried again later: without that no timer of the module
                # would be armed any more.
                self.after(DECIDE_AGAIN_US, lambda: self._put(TimerFired(self.forwarder.token)))
                return
            events = events.unread()

    def _carry_out(self, actions: list[Action], now: int) -> None:
        for action in actions:
            try:
                self._do(action, now)
            except Exception:
                # The messages stay owned, and the actions behind it are still done.
                log.exception("%s failed", action)

    def _put(self, event: Event) -> None:
        """Queue an event for the next tick."""
        self._events.append(event)
        tick = self.wheel.tick_us
        self._wake_at((self.clock.now_us() // tick + 1) * tick)

    def _do(self, action: Action, now: int) -> None:
        match action:
            case Send():
                self._send(action, now)
            case Refuse():
                self._finish(action.ref, End(Ending.REFUSED, action.come_back_us))
            case Fail():
                self._finish(action.ref, End(Ending.FAILED))
            case Cancel():
                message = self._refs.get(action.ref)
                if message is not None and (attempt := message.out.get(action.attempt_number)) is not None:
                    self._drop(attempt, Result.CANCELLED)
            case Disconnect():
                if self.side is not None:
                    self.side.close_idle(action.target)
            case ArmTimer():
                token = action.token
                self.wheel.at(now + action.after_us, lambda: self._events.append(TimerFired(token)))
            case WatchEndpointList():
                self.watch()
            case BroadcastNote():
                self.tell(action.note)
            case LogLine():
                log.info("module: %s", action.text)

    def _send(self, action: Send, now: int) -> None:
        message = self._refs.get(action.ref)
        instance = self.table.get(action.target)
        if message is None or not self._owed(message):
            log.error("the module sends message %d, which has ended", action.ref)
            return
        leg, message.attempts_made = message.attempts_made, message.attempts_made + 1
        # Guards against a call to another destination's instance, should a list have moved one.
        if instance is None or instance.dest != message.dest or self.side is None:
            self._put(Outcome(action.ref, leg, action.target, Result.MOOT, 0, False))
            return
        batch = self._batch_for(message, instance)
        attempt = message.out[leg] = Attempt(message, leg, instance, now, action.timeout_us, batch)
        batch.attempts.append(attempt)
        self._unbegun.setdefault(instance.name, {})[attempt] = None
        attempt.timer = self.after(action.timeout_us, lambda: self._drop(attempt, Result.TIMEOUT))

    def _batch_for(self, message: Message, instance: Endpoint) -> Batch:
        """The batch in which a message of this round travels: as many as the kind takes, none twice."""
        most = self.settings.kinds.get(instance.kind, DestinationKind()).batch
        batches = self._batches.setdefault(instance.name, [])
        for batch in batches[-1:]:
            if len(batch.attempts) < most and all(e.message is not message for e in batch.attempts):
                return batch
        batches.append(Batch(instance))
        return batches[-1]

    def _start_batches(self) -> None:
        """The calls that a round has gathered go out together with it."""
        gathered, self._batches = self._batches, {}
        ready = [b for batches in gathered.values() for b in batches]
        if ready and self.store.behind():
            for attempt in [e for b in ready for e in b.waiting()]:
                self.settle(attempt, UNRECORDED)
        for batch in ready:
            if self.side is not None and batch.waiting():
                self.side.start(batch)

    def _look_later(self) -> None:
        """Look at the store soon, once: also a sender that is idle goes on when the disk has room again."""
        if not self._looks:
            self._looks = True
            self.after(STORE_LOOK_US, self._look)

    def _look(self) -> None:
        self._looks = False
        if not self.store.recording():
            self._look_later()

    def _drop(self, attempt: Attempt, result: Result) -> None:
        """Stop waiting for an attempt; what was never begun has never run.

        One that shares its call with others ends with that call: until then it may run, and no other attempt
        of its message may be out. The message's own end does not wait for it.
        """
        if attempt.begun:
            attempt.given_up = result
        else:
            self.settle(attempt, UNSENT.get(result, result))
        self._give_up(attempt.batch)

    def _give_up(self, batch: Batch, looks: int = ANSWER_LOOKS) -> None:
        """Close a call that nobody waits for any more, unless its end has come in and is only not read yet.

        Guards a message that is delivered already: under load its time-out and its answer often come in one
        turn of the loop. The looks are bounded, for an answer that never ends.
        """
        left = [e for e in batch.attempts if not e.settled]
        if self.side is None or any(e.given_up is None for e in left):
            return
        progress = self.side.progress(batch) if left else Progress.SENT
        if progress is Progress.ENDING and looks:
            self.after(ANSWER_US, lambda: self._give_up(batch, looks - 1))
            return
        self.side.abandon(batch)
        for attempt in left:
            result = attempt.given_up or Result.CANCELLED
            self.settle(attempt, UNSENT.get(result, result) if progress is Progress.UNSENT else result)

    def _finish(self, ref: int, end: End) -> None:
        message = self._refs.get(ref)
        if message is not None and self._owed(message):
            self._end(message, end)

    def _owed(self, message: Message) -> bool:
        return self.messages.get(message.id) is message

    def _forget(self, message: Message) -> None:
        """An ended message keeps its number while an attempt is out, which may be called off."""
        if not self._owed(message) and not message.out:
            self._refs.pop(message.ref, None)

    def _overdue(self, message: Message) -> None:
        """Guards against a message without its end, should the module have failed on it."""
        if self._owed(message):
            log.error("message %s had no end when its time was up", message.id)
            self._end(message, End(Ending.FAILED))
            self._put(Withdrawn(message.ref))  # should the module hold it, it would send what has ended

    def _end(self, message: Message, end: End) -> None:
        """The one place where a message ends."""
        del self.messages[message.id]
        self._forget(message)
        if message.guard is not None:
            message.guard.cancel()
        self.counts[end.ending] += 1
        self.figures.ended(message.cls, end.ending)
        self.store.end(message, end)
        for observer in self.observers:
            observer.ended(message, end)
        if (listener := self.listeners.get(message.front)) is not None:
            listener(message, end)
