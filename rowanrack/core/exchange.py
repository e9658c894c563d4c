"""The exchange connects the front ends, which accept messages, with the calls to endpoints.

It owns every accepted message until its final answer, passes events from both sides to the decision module,
and carries out the actions that the module returns. Clock, store, front ends and endpoint calls are reached
through the protocols below.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from rowanrack.core.endpoint_list import EndpointList, EndpointListChange
from rowanrack.core.event_feed import EventFeed
from rowanrack.core.identity import IdInUseError, content_digest
from rowanrack.core.messages import (
    DELIVERED,
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
from rowanrack.core.metrics import HeldBackReason, Metrics
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.core.shared_waits import SharedWaits, UnsharedWaits, WaitStore
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
    RetryAfterWait,
    RetryAfterWaitsReported,
    Send,
    Settings,
    TimerFired,
    UpdateScope,
    WatchEndpointList,
    Withdrawn,
)
from rowanspindle.notes import Note

log = logging.getLogger(__name__)

# Results after which the endpoint may have processed the message.
MAY_HAVE_RUN_RESULTS = frozenset({Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED})
# The result of a call that was given up before it was sent, and so cannot have run.
RESULT_IF_UNSENT = {Result.TIMEOUT: Result.CONNECT_FAILED, Result.CANCELLED: Result.MOOT}
# Grace after a deadline before the exchange itself ends a message; the module has normally done so by then.
DEADLINE_GRACE_US = 100_000
UNKNOWN_AGE_US = 1 << 60  # the age assumed for an attempt that began at an unknown time
NOTE_DELAY_US = 10_000  # how long a received gossip note may wait, so that one round handles several
STORE_CHECK_INTERVAL_US = 100_000  # interval at which a store that cannot record is checked again
# Verdict for an attempt that the store could not record. The wait protects the message's limited number of
# attempts: without it, each round would send the message and stop it again.
NOT_RECORDED_VERDICT = CallVerdict(Result.MOOT, wait_us=500_000)
# How often, and how many times, a call that timed out while its answer was arriving is checked again.
ANSWER_CHECK_INTERVAL_US = 50_000
MAX_ANSWER_CHECK_COUNT = 4
# Delay before a round is tried again in which the decision module failed without reading an event.
DECISION_RETRY_US = 1_000_000
MIN_LOGGED_WAIT_US = 1_000_000  # rate limits ask for shorter waits, too often for the log
ROUND_OVERDUE_US = 20_000  # a round that is this late is run by the next code path that gets the event loop


class Clock(Protocol):
    """The time source, and a single wake-up timer."""

    def now_us(self) -> int:
        """Return monotonic time in microseconds."""

    def unix_us(self) -> int:
        """Return Unix time in microseconds."""

    def wake_at(self, due_us: int) -> None:
        """Schedule `Exchange.pump` for that time; an earlier request replaces a later one."""


class Store(Protocol):
    """Storage that survives the process. Whatever it has confirmed is available to the next process.

    `never_ran` and `end` cannot be refused: a record that cannot be written yet is kept in memory, and
    written in order before any new message is accepted or attempt begun.
    """

    def can_record(self) -> bool:
        """Return whether new messages can be recorded.

        If not, each call tries to recover, so call it from time to time.
        """

    def has_unwritten_records(self) -> bool:
        """Return whether no attempt may begin because a `never_ran` or `end` record is unwritten.

        Each call retries the write.
        """

    def take(self, message: Message) -> bool:
        """Record a message; return False if there is no room for it, its attempts and its final answer.

        Also False if the other process of a hot restart has recorded a message with this id.
        """

    def begin(self, message: Message, attempt_number: int) -> bool:
        """Record that an attempt is about to begin; return False if that is not possible."""

    def never_ran(self, message: Message, attempt_number: int) -> None:
        """Record that an attempt is known never to have run."""

    def end(self, message: Message, end: End) -> None:
        """Record the final answer to a message; its client may be told from now on."""

    def ended(self, message_id: str) -> End | None:
        """Return the recorded final answer to a message, while it is retained."""

    def find_in_other_process(self, message_id: str) -> Message | End | None:
        """Return a message that the other process of a hot restart owns, or its end while that is retained.

        None also stands for a message that this process knows.
        """

    def content_digest_of_ended(self, message_id: str) -> bytes:
        """Return the content digest of a message that has ended, or b"" if it is not known."""


class EndpointCalls(Protocol):
    """Makes calls to endpoints."""

    def start(self, batch: Batch) -> None:
        """Start the call; the result of each attempt is reported through `Exchange.settle`."""

    def abandon(self, batch: Batch) -> None:
        """Close the connection of a call; nothing more is reported for it."""

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an endpoint."""

    def progress(self, batch: Batch) -> Progress:
        """Return how far a call has come; used right before it is given up."""


class Observer(Protocol):
    """Receives a notification of everything that happens, without influencing it."""

    def taken(self, message: Message, left_us: int) -> None:
        """A message is owned: newly accepted, or recovered from the journal."""

    def refused(self, message: Message | None, refusal: Refusal) -> None:
        """A message was refused; `message` is None if the request was not read that far."""

    def list_changed(self, news: list[Endpoint], gone: list[str]) -> None:
        """The endpoint list changed: endpoints that were added or updated, and names of removed ones."""

    def began(self, attempt: Attempt) -> None:
        """The first byte of a call is about to be sent."""

    def settled(self, attempt: Attempt, result: Result, wait_us: int) -> None:
        """A call has ended. If its message ends too, `ended` follows."""

    def ended(self, message: Message, end: End) -> None:
        """A message has its final answer."""


class Exchange:
    """Owns the accepted messages, their deadlines and their attempts."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, store: Store, tick_us: int) -> None:
        self.settings, self.clock, self.store = settings, clock, store
        self.forwarder = Forwarder(settings, seed)
        self.wheel = TimerWheel(tick_us, clock.now_us())
        self.endpoint_list = EndpointList()
        self.messages: dict[str, Message] = {}
        self.counts = dict.fromkeys(Ending, 0)
        self.endpoint_calls: EndpointCalls | None = None
        self.observers: tuple[Observer, ...] = ()
        self.request_list: Callable[[], None] = lambda: None
        # Sends a gossip note to all other senders.
        self.broadcast_note: Callable[[Note], None] = lambda note: None
        # Called after each round: its final answers can be sent to clients now.
        self.round_over: Callable[[], None] = lambda: None
        self.load_shedder = LoadShedder(clock.now_us())
        self.listeners: dict[str, Callable[[Message, End], None]] = {}
        self.metrics = Metrics()
        self.bans = self.endpoint_list.bans  # detached endpoints get no new calls, whatever the sources list
        self._messages_by_ref: dict[int, Message] = {}
        self._next_ref = 0
        self._events: list[Event] = []
        self.frozen = False
        self._pumping = False
        self._round_due_us: int | None = None  # when the next round is due
        self._waits = SharedWaits(UnsharedWaits())
        # Attempts whose call has not been sent yet, by endpoint name.
        self._unstarted_attempts: dict[str, dict[Attempt, None]] = {}
        # Calls that the current round has gathered, by endpoint name.
        self._batches: dict[str, list[Batch]] = {}
        self._store_check_scheduled = False  # whether a check of the store is scheduled
        self._no_room_warnings = RateLimitedLog(log, lambda: clock.now_us() / 1e6)

    def add_observer(self, observer: Observer) -> None:
        """Add an observer."""
        self.observers += (observer,)

    def remove_observer(self, observer: Observer) -> None:
        """Remove an observer."""
        self.observers = tuple(o for o in self.observers if o is not observer)

    # Interface to the front ends.

    def refusal_if_overloaded(self, message_id: str) -> Refusal | None:
        """Return a refusal if the sender is overloaded. Called before a request is read any further.

        A message id that is owned or has a final answer is never refused here: the client gets that answer
        instead.
        """
        self.run_overdue_round()
        if message_id and self.find_message(message_id) is not None:
            return None
        if not (retry_us := self.load_shedder.early_refusal_us()):
            return None
        if message_id and self.store.find_in_other_process(message_id) is not None:
            return None
        return self._refuse(None, Refusal(min(retry_us, self.settings.max_come_back_us)))

    def submit(self, message: Message) -> Refusal | None:
        """Accept a message and return None, or refuse it. An accepted message is owed a final answer."""
        self.run_overdue_round()
        if self.frozen or len(self.messages) >= self.settings.most_held:
            return self._refuse(message, Refusal(self._default_retry_us()))
        if not self.endpoint_list.knows_destination(message.dest, self.clock.now_us()):
            # Messages for destinations that do not exist must not fill the hold. Such a destination cannot be
            # told from a real one that is not listed yet, so the client is asked to retry.
            return self._refuse(message, Refusal(self._default_retry_us()))
        if not self.store.can_record() or not self.store.take(message):
            if self.store.can_record():
                self._no_room_warnings.warning("no room in the journal, message %s is refused", message.id)
            else:
                self._schedule_store_check()
            return self._refuse(message, Refusal(self._default_retry_us()))
        self.adopt(message)
        return None

    def submit_or_repeat(self, message: Message) -> Refusal | None:
        """Accept a message and return None, also if it is accepted already; or refuse it.

        Raises IdInUseError if the id belongs to another message.
        """
        if self.find_repeated(message) is not None:
            return None
        refusal = self.submit(message)
        # The other process of a hot restart may have accepted it since it was looked for.
        return None if refusal is None or self.find_repeated(message) is not None else refusal

    def adopt(self, message: Message, served: bool = True, recovered: bool = False) -> None:
        """Own a message that the store already holds: newly accepted, or recovered from the journal.

        A recovered message ends at once if this process cannot handle it: its front end is no longer
        configured, or the settings have changed so that it is unknown whether a repeated call is safe.
        """
        self._next_ref += 1
        message.ref = self._next_ref
        left_us = max(0, message.deadline_us - self.clock.unix_us())
        self.messages[message.id] = self._messages_by_ref[message.ref] = message
        for observer in self.observers:
            observer.taken(message, left_us)
        if not served or not self._repeat_is_defined(message):
            self._end_undeliverable(message)
            return
        message.guard_timer = self.after(left_us + DEADLINE_GRACE_US, lambda: self._end_overdue(message))
        self._queue_event(
            Accept(
                message.ref,
                message.cls,
                message.dest,
                left_us,
                message.tenant or None,
                message.key or None,
                attempts_made=message.attempts_made,
                may_have_run=bool(message.unsettled),
                first_attempt_age_us=self._age_for_repeat_us(message),
                waited_us=self._max_owned_us(message, left_us) if recovered else 0,
            )
        )

    def _repeat_is_defined(self, message: Message) -> bool:
        """Return whether the settings say what a repeated call of this message does.

        Front ends accept no other message, but one recovered from the journal may belong to a class that was
        removed, or lack a key because its class was not keyed when it was accepted.
        """
        cls = self.settings.classes.get(message.cls)
        return cls is not None and (bool(message.key) or cls.effect is not Effect.KEYED)

    def _end_undeliverable(self, message: Message) -> None:
        """End a message that cannot be delivered: refused if it certainly has not run, otherwise failed."""
        log.warning(
            "message %s cannot be delivered with the current settings: class %s, front end %s",
            message.id,
            message.cls,
            message.front,
        )
        may_have_run = bool(message.unsettled)
        self._end_message(
            message, End(Ending.FAILED) if may_have_run else End(Ending.REFUSED, self._default_retry_us())
        )

    def _max_owned_us(self, message: Message, left_us: int) -> int:
        """Return the longest time that a recovered message can have been owned, from its class's deadline."""
        return max(0, self.settings.classes[message.cls].deadline_us - left_us)

    def _age_for_repeat_us(self, message: Message) -> int:
        """Return the age of the first attempt that may have run, for a message that is being adopted."""
        cls = self.settings.classes.get(message.cls)
        # After a restart it is no longer known in which zone a keyed message ran first, so no repeat is
        # allowed.
        if message.unsettled and cls is not None and cls.same_zone:
            return UNKNOWN_AGE_US
        return self._first_attempt_age_us(message)

    def _first_attempt_age_us(self, message: Message) -> int:
        """Return the age of the first attempt that may have run; UNKNOWN_AGE_US if unknown, 0 if none."""
        if not message.unsettled:
            return 0
        began_at = min(message.unsettled.values())
        return max(0, self.clock.unix_us() - began_at) if began_at else UNKNOWN_AGE_US

    def _key_expired(self, message: Message) -> bool:
        """Return whether a keyed message may not be repeated because its key has expired at endpoints."""
        cls = self.settings.classes.get(message.cls)
        keyed = cls is not None and cls.effect is Effect.KEYED and bool(message.unsettled)
        return keyed and cls is not None and self._first_attempt_age_us(message) >= cls.key_ttl_us

    def find_message(self, message_id: str) -> Message | End | None:
        """Return the message with this id while it is owned, then its final answer while retained."""
        return self.messages.get(message_id) or self.store.ended(message_id)

    def find_anywhere(self, message_id: str) -> Message | End | None:
        """Return what `find_message` does, also for a message of the other process of a hot restart."""
        return self.find_message(message_id) or self.store.find_in_other_process(message_id)

    def find_repeated(self, submission: Message) -> Message | End | None:
        """Return the message that a submission repeats, or that message's final answer, or None if it is new.

        Raises IdInUseError if the submission is another message than the one that has its id.
        """
        if (known := self.find_anywhere(submission.id)) is None:
            return None
        digest = (
            content_digest(known)
            if isinstance(known, Message)
            else self.store.content_digest_of_ended(submission.id)
        )
        if digest and digest != content_digest(submission):
            raise IdInUseError
        return known

    def _refuse(self, message: Message | None, refusal: Refusal) -> Refusal:
        if message is not None:
            self.metrics.declined(message.cls)
        for observer in self.observers:
            observer.refused(message, refusal)
        return refusal

    def _default_retry_us(self) -> int:
        return min(1_000_000, self.settings.max_come_back_us)

    # Interface to discovery and to the endpoint calls.

    def update_endpoints(self, scope: UpdateScope, endpoints: Iterable[Endpoint], source: str = "") -> None:
        """Apply an update of the endpoint list from one source. A detached endpoint is listed as draining."""
        self._apply_list_change(self.endpoint_list.update(scope, endpoints, source, self.clock.now_us()))

    def detach(self, name: str) -> bool:
        """Send nothing new to an endpoint until it is attached; return False if no source lists it."""
        if self.endpoint_list.as_listed(name) is None and name not in self.bans:
            return False
        self.ban(name)
        return True

    def outages(self) -> tuple[Outage, ...]:
        """Return the known outages and cold endpoints, to be saved for the next process."""
        return self.forwarder.outages(self.clock.now_us())

    def restore_outages(self, outages: tuple[Outage, ...]) -> None:
        """Restore the outages that another process of this sender saved, ended or running."""
        if outages:
            self._queue_event(OutagesRestored(outages))

    def ban(self, name: str) -> None:
        """Detach an endpoint, listed or not: the ban outlasts list updates and restarts."""
        if name in self.bans:
            return
        self.bans.add(name)
        if (listed := self.endpoint_list.as_listed(name)) is not None:
            self._apply_list_change(self.endpoint_list.set_state([listed], self.clock.now_us()))

    def attach(self, name: str) -> bool:
        """Lift a ban; the endpoint returns cold, like a new one. Return False if it was not detached."""
        if name not in self.bans:
            return False
        self.bans.discard(name)
        if (listed := self.endpoint_list.as_listed(name)) is not None:
            for endpoint in (replace(listed, status=EndpointStatus.REMOVED), listed):
                self._apply_list_change(self.endpoint_list.set_state([endpoint], self.clock.now_us()))
        return True

    @property
    def ejected(self) -> int:
        """Number of listed endpoints that are detached, or taken out by the decision module."""
        listed = self.endpoint_list.names()
        endpoints = self.forwarder.endpoints.items()
        out = {name for name, e in endpoints if e.out_since is not None and name in listed}
        return len(out | (self.bans & listed))

    def _apply_list_change(self, change: EndpointListChange) -> None:
        present = [i for i in change.changed if i.status is not EndpointStatus.REMOVED]
        for observer in self.observers:
            observer.list_changed(present, list(change.removed))
        self._queue_event(change.update)
        for name in change.closed_to_calls:
            for attempt in list(self._unstarted_attempts.get(name, ())):
                # A call still waiting for a connection must not go to an endpoint that drains, is removed or
                # has moved.
                self._stop_waiting(attempt, Result.MOOT)
            if self.endpoint_calls is not None:
                self.endpoint_calls.close_idle(name)
        # State kept by endpoint name is dropped with the endpoint: another may reuse its name or address.
        for name in change.removed:
            self._waits.drop_endpoint(name)

    def begin(self, attempt: Attempt) -> bool:
        """Return whether a call may still be sent, and record that it begins.

        Called right before the first byte of the call.
        """
        message = attempt.message
        if attempt.settled:
            return False
        if (reason := self._reason_to_hold_back(attempt)) is not None:
            self._hold_back(attempt, reason)
            return False
        # The store records the call first: after a restart, an unrecorded call could take effect a second
        # time.
        if not self.store.begin(message, attempt.attempt_number):
            self._hold_back(attempt, HeldBackReason.NOT_RECORDED)
            return False
        # The key may also have expired while the store was writing.
        key_expired_meanwhile = self._key_expired(message)
        message.unsettled[attempt.attempt_number] = self.clock.unix_us()
        attempt.begun = True
        if key_expired_meanwhile:
            self._hold_back(attempt, HeldBackReason.KEY_EXPIRED)
            return False
        self.metrics.forwarded(message.cls)
        self._remove_unstarted(attempt)
        for observer in self.observers:
            observer.began(attempt)
        return True

    def _reason_to_hold_back(self, attempt: Attempt) -> HeldBackReason | None:
        """Return why a call may not be sent any more; it may have waited long for a connection."""
        self._receive_waits()
        if self._wait_left_us(attempt.endpoint) > 0:
            return HeldBackReason.RETRY_AFTER_WAIT
        if not self.owns(attempt.message):
            return HeldBackReason.MESSAGE_ENDED
        if not self.endpoint_list.accepts_calls(attempt.endpoint.name):
            return HeldBackReason.ENDPOINT_CLOSED
        if self._key_expired(attempt.message):
            return HeldBackReason.KEY_EXPIRED
        return None

    def _hold_back(self, attempt: Attempt, reason: HeldBackReason) -> None:
        """Settle an attempt whose call is not sent."""
        self.metrics.held_back_calls[reason] += 1
        wait_left_us = self._wait_left_us(attempt.endpoint)
        if reason is HeldBackReason.RETRY_AFTER_WAIT and wait_left_us >= MIN_LOGGED_WAIT_US:
            log.info(
                "message %s: not sent to %s, destination %d asked for a wait, %.1f s of it are left",
                attempt.message.id,
                attempt.endpoint.name,
                attempt.endpoint.dest,
                wait_left_us / 1e6,
            )
        self.settle(attempt, NOT_RECORDED_VERDICT if reason is HeldBackReason.NOT_RECORDED else Result.MOOT)

    def settle(self, attempt: Attempt, verdict: CallVerdict | Result) -> None:
        """Record that an attempt has ended, and end its message if the verdict says so.

        Only the first call for an attempt counts.
        """
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
        message.attempts_out.pop(attempt.attempt_number, None)
        self._remove_unstarted(attempt)
        self._release_ref(message)
        if wait_us and attempt.begun:
            self._record_wait(attempt, wait_us, now)
        is_owned = self.owns(message)
        if attempt.begun and result not in MAY_HAVE_RUN_RESULTS and result is not Result.OK:
            message.unsettled.pop(attempt.attempt_number, None)
            if is_owned:
                self.store.never_ran(message, attempt.attempt_number)
        if is_owned and result is Result.OK:
            self._end_message(message, DELIVERED)
        elif is_owned and end is not None:
            self._end_message(message, End(end))
        message_ended = not self.owns(message)
        latency_us = now - attempt.started_us
        name = attempt.endpoint.name
        self._queue_event(
            Outcome(
                message.ref,
                attempt.attempt_number,
                name,
                result,
                latency_us,
                message_ended,
                wait_us,
                verdict.remaining_share,
                verdict.limit,
            )
        )

    def retract_delivery(self, message: Message) -> None:
        """End a message as failed after all: the answer that delivered it belonged to an earlier call."""
        if self.store.ended(message.id) != DELIVERED:
            return
        log.warning("message %s: not delivered, the 200 belonged to an earlier call; given up", message.id)
        failed = End(Ending.FAILED)
        self.store.end(message, failed)
        if (listener := self.listeners.get(message.front)) is not None:
            listener(message, failed)

    def _remove_unstarted(self, attempt: Attempt) -> None:
        if (waiting := self._unstarted_attempts.get(attempt.endpoint.name)) is not None:
            waiting.pop(attempt, None)
            if not waiting:
                del self._unstarted_attempts[attempt.endpoint.name]

    def _record_wait(self, attempt: Attempt, wait_us: int, now: int) -> None:
        """Record a wait that an answer has asked for."""
        endpoint = attempt.endpoint
        began = self._wait_left_us(endpoint) <= 0
        self._waits.record(self._wait_for(endpoint, now + wait_us), now)
        self.metrics.waits_told += 1
        if began and wait_us >= MIN_LOGGED_WAIT_US:
            log.info(
                "message %s: refused by %s, destination %d asked for a wait of %.1f s",
                attempt.message.id,
                endpoint.name,
                endpoint.dest,
                wait_us / 1e6,
            )

    def record_told_wait(self, attempt: Attempt, wait_us: int) -> None:
        """Obey a wait from an answer that may turn out not to belong to this attempt; 0 is no wait."""
        if not wait_us:
            return
        now = self.clock.now_us()
        self._record_wait(attempt, wait_us, now)
        self._queue_event(RetryAfterWaitsReported((self._wait_for(attempt.endpoint, now + wait_us),)))

    def give_up_unsendable(self, message: Message) -> bool:
        """End a message that may not be sent again by an answer that may not be its own.

        It ends as failed, with a notice: without one it would be lost if the answer is another message's.
        Return False if it has ended already.
        """
        owned = self._messages_by_ref.get(message.ref)
        if owned is None or not self.owns(owned):
            return False
        self._end_as_failed(owned)
        return True

    def _wait_for(self, endpoint: Endpoint, until_us: int) -> RetryAfterWait:
        """Return the wait of an endpoint's destination, or of the endpoint alone if its kind is apart."""
        apart = self.settings.kinds.get(endpoint.kind, DestinationKind()).apart
        return RetryAfterWait(endpoint.dest, endpoint.name if apart else None, until_us)

    def _wait_left_us(self, endpoint: Endpoint) -> int:
        """Return how long a wait still forbids calls to an endpoint; 0 or less if none does."""
        return self._waits.until_us(endpoint.dest, endpoint.name) - self.clock.now_us()

    def share_waits(self, store: WaitStore) -> None:
        """Share retry-after waits with the other processes of this sender; called before anything is sent."""
        self._waits = SharedWaits(store)
        self._receive_waits()

    def _receive_waits(self) -> None:
        """Obey the waits that other processes of this sender were told since the last call."""
        now = self.clock.now_us()
        if not (waits := self._waits.receive(now)):
            return
        for wait in waits:
            if wait.until - now >= MIN_LOGGED_WAIT_US:
                log.info(
                    "destination %d asked another process of this sender for a wait, %.1f s of it are left",
                    wait.dest,
                    (wait.until - now) / 1e6,
                )
        self._queue_event(RetryAfterWaitsReported(waits))

    @property
    def waits_in_force(self) -> int:
        """Number of destinations, or endpoints limited separately, that are in a wait they asked for."""
        return len(self._waits.in_force(self.clock.now_us()))

    # Interface to the other senders.

    def receive_note(self, peer: int, note: Note) -> None:
        """Receive a gossip note from another sender.

        Notes tend to arrive together, so the round waits a little in order to handle several.
        """
        self._events.append(NoteReceived(peer, note))
        self._wake_at(self.clock.now_us() + NOTE_DELAY_US)

    # Interface to the decision module.

    def after(self, delay_us: int, action: Callable[[], None]) -> WheelTimer:
        """Start a timer on the wheel; the adapters use it too."""
        due = self.clock.now_us() + delay_us
        timer = self.wheel.at(due, action)
        self._wake_at(due + self.wheel.tick_us)
        return timer

    def _wake_at(self, due_us: int) -> None:
        if self._round_due_us is None or due_us < self._round_due_us:
            self._round_due_us = due_us
            self.clock.wake_at(due_us)

    def run_overdue_round(self) -> None:
        """Run the next round now if it is overdue. Called by everything that uses the event loop for long.

        Under overload a round must not queue behind all other ready callbacks: the final answers of messages
        at their deadline would be late.
        """
        if self._round_due_us is not None and self.clock.now_us() - self._round_due_us >= ROUND_OVERDUE_US:
            self.pump()

    def freeze(self) -> None:
        """Make no more decisions; open calls may settle, and other messages stay for the next process.

        A call that begins right before the exit would be cut off, and a non-repeatable message that may have
        run can only be failed.
        """
        self.frozen = True

    def pump(self) -> None:
        """Fire due timers, pass all events to the decision module, and carry out its actions."""
        if self._pumping:
            return  # the actions of a round may call `run_overdue_round`
        self._pumping = True
        try:
            self._run_round(self.clock.now_us())
        finally:
            self._pumping = False

    def _run_round(self, now: int) -> None:
        if self._round_due_us is not None:
            self.load_shedder.record_delay(now, now - self._round_due_us)
        self._round_due_us = None
        self.wheel.advance(now)
        self._receive_waits()
        batch, self._events = self._events, []
        if batch and not self.frozen:
            self._decide(now, EventFeed(batch))
            self._start_batches()
        self.round_over()
        if not self.store.can_record():
            self._schedule_store_check()
        due = self.wheel.next_at()
        if due is not None:
            self._wake_at(due)

    def _decide(self, now: int, events: EventFeed) -> None:
        """Run the decision module and carry out its actions; skip an event on which it fails.

        Actions decided before the failure are carried out, because the module relies on them: a send that it
        believes to be under way would occupy a slot for ever. The message of the failed event stays owned,
        and its guard timer ends it.
        """
        while True:
            before = self.forwarder.actions
            try:
                self._carry_out(self.forwarder.decide(now, events), now)
                return
            except Exception:
                log.exception("the decision module failed on event %d of %d", events.read_count, len(events))
            decided = self.forwarder.actions
            self._carry_out(decided if decided is not before else [], now)
            if not events.read_count:
                # The failure was not caused by an event. The round is retried later; without that, no timer
                # of the module would be armed again.
                self.after(DECISION_RETRY_US, lambda: self._queue_event(TimerFired(self.forwarder.token)))
                return
            events = events.unread()

    def _carry_out(self, actions: list[Action], now: int) -> None:
        for action in actions:
            try:
                self._perform(action, now)
            except Exception:
                # Messages stay owned, and the remaining actions are still carried out.
                log.exception("action failed: %s", action)

    def _queue_event(self, event: Event) -> None:
        """Queue an event for the next tick."""
        self._events.append(event)
        tick = self.wheel.tick_us
        self._wake_at((self.clock.now_us() // tick + 1) * tick)

    def _perform(self, action: Action, now: int) -> None:
        match action:
            case Send():
                self._send(action, now)
            case Refuse():
                self._end_by_ref(action.ref, End(Ending.REFUSED, action.retry_after_us))
            case Fail():
                self._end_by_ref(action.ref, End(Ending.FAILED))
            case Cancel():
                message = self._messages_by_ref.get(action.ref)
                if (
                    message is not None
                    and (attempt := message.attempts_out.get(action.attempt_number)) is not None
                ):
                    self._stop_waiting(attempt, Result.CANCELLED)
            case Disconnect():
                if self.endpoint_calls is not None:
                    self.endpoint_calls.close_idle(action.target)
            case ArmTimer():
                token = action.token
                self.wheel.at(now + action.after_us, lambda: self._events.append(TimerFired(token)))
            case WatchEndpointList():
                self.request_list()
            case BroadcastNote():
                self.broadcast_note(action.note)
            case LogLine():
                log.info("decision module: %s", action.text)

    def _send(self, action: Send, now: int) -> None:
        message = self._messages_by_ref.get(action.ref)
        endpoint = self.endpoint_list.get(action.target)
        if message is None or not self.owns(message):
            log.error("decision module tried to send message %d, which has already ended", action.ref)
            return
        attempt_number, message.attempts_made = message.attempts_made, message.attempts_made + 1
        # The list may have moved the endpoint to another destination since the module chose it.
        if endpoint is None or endpoint.dest != message.dest or self.endpoint_calls is None:
            self._queue_event(Outcome(action.ref, attempt_number, action.target, Result.MOOT, 0, False))
            return
        batch = self._batch_for(message, endpoint)
        attempt = message.attempts_out[attempt_number] = Attempt(
            message, attempt_number, endpoint, now, action.timeout_us, batch
        )
        batch.attempts.append(attempt)
        self._unstarted_attempts.setdefault(endpoint.name, {})[attempt] = None
        attempt.timer = self.after(action.timeout_us, lambda: self._stop_waiting(attempt, Result.TIMEOUT))

    def _batch_for(self, message: Message, endpoint: Endpoint) -> Batch:
        """Return the batch for a message of this round; it has a size limit and no duplicates."""
        max_batch_size = self.settings.kinds.get(endpoint.kind, DestinationKind()).batch
        batches = self._batches.setdefault(endpoint.name, [])
        for batch in batches[-1:]:
            if len(batch.attempts) < max_batch_size and all(e.message is not message for e in batch.attempts):
                return batch
        batches.append(Batch(endpoint))
        return batches[-1]

    def _start_batches(self) -> None:
        """Start the calls that the round has gathered."""
        gathered, self._batches = self._batches, {}
        ready = [b for batches in gathered.values() for b in batches]
        if ready and self.store.has_unwritten_records():
            for attempt in [e for b in ready for e in b.waiting()]:
                self.settle(attempt, NOT_RECORDED_VERDICT)
        for batch in ready:
            if self.endpoint_calls is not None and batch.waiting():
                self.endpoint_calls.start(batch)

    def _schedule_store_check(self) -> None:
        """Schedule a check of the store, so that an idle sender also resumes when the disk has room again."""
        if not self._store_check_scheduled:
            self._store_check_scheduled = True
            self.after(STORE_CHECK_INTERVAL_US, self._check_store)

    def _check_store(self) -> None:
        self._store_check_scheduled = False
        if not self.store.can_record():
            self._schedule_store_check()

    def _stop_waiting(self, attempt: Attempt, result: Result) -> None:
        """Stop waiting for an attempt; one that has not begun is settled as never run.

        An attempt that shares its call with others ends with that call: until then it may run, and its
        message may have no other attempt under way. The message itself can end before that.
        """
        if attempt.begun:
            attempt.abandoned_as = result
        else:
            self.settle(attempt, RESULT_IF_UNSENT.get(result, result))
        self._close_if_unwanted(attempt.batch)

    def _close_if_unwanted(self, batch: Batch, remaining_checks: int = MAX_ANSWER_CHECK_COUNT) -> None:
        """Close a call that nobody waits for any more, unless its answer is already arriving.

        Under load a time-out and the answer are often handled in the same event-loop iteration, and closing
        then would discard the answer of a delivered message. The number of checks is bounded, in case the
        answer never completes.
        """
        unsettled = [e for e in batch.attempts if not e.settled]
        if self.endpoint_calls is None or any(e.abandoned_as is None for e in unsettled):
            return
        progress = self.endpoint_calls.progress(batch) if unsettled else Progress.SENT
        if progress is Progress.ENDING and remaining_checks:
            self.after(ANSWER_CHECK_INTERVAL_US, lambda: self._close_if_unwanted(batch, remaining_checks - 1))
            return
        self.endpoint_calls.abandon(batch)
        for attempt in unsettled:
            result = attempt.abandoned_as or Result.CANCELLED
            self.settle(
                attempt, RESULT_IF_UNSENT.get(result, result) if progress is Progress.UNSENT else result
            )

    def _end_by_ref(self, ref: int, end: End) -> None:
        message = self._messages_by_ref.get(ref)
        if message is not None and self.owns(message):
            self._end_message(message, end)

    def owns(self, message: Message) -> bool:
        """Return whether this process owes the message its final answer."""
        return self.messages.get(message.id) is message

    def _release_ref(self, message: Message) -> None:
        """Drop the reference number of an ended message that has no attempt left to cancel."""
        if not self.owns(message) and not message.attempts_out:
            self._messages_by_ref.pop(message.ref, None)

    def _end_overdue(self, message: Message) -> None:
        """End a message that got no final answer by its deadline because the decision module failed."""
        if self.owns(message):
            log.error("message %s had no final answer at its deadline", message.id)
            self._end_as_failed(message)

    def _end_as_failed(self, message: Message) -> None:
        """End a message that the decision module believes to be open; it may not send that any more."""
        self._end_message(message, End(Ending.FAILED))
        self._queue_event(Withdrawn(message.ref))

    def _end_message(self, message: Message, end: End) -> None:
        """End a message. This is the only place where that happens."""
        del self.messages[message.id]
        self._release_ref(message)
        if message.guard_timer is not None:
            message.guard_timer.cancel()
        self.counts[end.ending] += 1
        self.metrics.ended(message.cls, end.ending)
        self.store.end(message, end)
        for observer in self.observers:
            observer.ended(message, end)
        if (listener := self.listeners.get(message.front)) is not None:
            listener(message, end)
