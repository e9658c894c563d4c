"""All decisions of rowanspindle. The interface (settings, events, actions) stands in rowanspindle/api.py.

The ordinary path is Dialogue's: a held message, a route (lowest in-flight count plus ten times recent
failures), a permit of the endpoint's window and of the destination's, the send. Departures: docs/design.md.
"""

from __future__ import annotations

import math
from itertools import islice

from rowanspindle import pacing
from rowanspindle.api import (
    Accept,
    Action,
    ArmTimer,
    Cancel,
    DestinationKind,
    Disconnect,
    Effect,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
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
from rowanspindle.connection_reuse import LEAST_US
from rowanspindle.data_structures import ConcurrencyWindow, RunningMean
from rowanspindle.gossip import WAIT_UNIT_US
from rowanspindle.held_messages import NEVER, DestinationState, KeyQueue, Message, urgency_breakpoints
from rowanspindle.notes import FactKind, endpoint_digest
from rowanspindle.pacing import SharedLimit
from rowanspindle.slow_start import MIN_TRIAL_INTERVAL_S, OutageState
from rowanspindle.state import Call, ForwarderState
from rowanspindle.zones import assign_shares

SECOND_US = 1_000_000

FAILURE_PENALTY_CALLS = 10.0  # in-flight calls that one recent failure weighs, as in Dialogue
FAILURE_DECAY_S = 3.0  # seconds in which a failure's weight falls to 1/e
FULL_SLOTS_ZONE_FACTOR = 3.0  # times more that a far zone weighs when every slot is taken
NEW_CONNECTION_PENALTY_CALLS = 1.5  # in-flight calls that the lack of a warm idle connection weighs
CALLS_PER_EXTRA_CONNECTION = (
    4.0  # calls on each connection while an idle one lives, from which one more is worth having
)
ENDPOINT_TOLERANCE_ERRORS = 2.0  # standard errors of two mean answer times by which they may differ by chance
ZONE_TOLERANCE_ERRORS = 1.0  # and those of two zones
LARGE_FLEET_SENDERS = (
    8  # forwarders, of whom each sees little of an endpoint; of fewer each learns soon what was chance
)
SLOWNESS_PENALTY_CALLS = 2.0  # in-flight calls that an answer time twice that of the quickest route weighs
CROSSING_PENALTY_CALLS = 25.0  # and that a point of the result weighs, which a call to another zone costs
ZONE_FEE_PENALTY_CALLS = (
    25.0  # and that a point of the result weighs, which a route apart takes for each message
)

LATENCY_SMOOTHING_FACTOR = (
    0.15  # weight of a new answer time in the running mean and deviation (about the last dozen answers)
)
REFUSAL_DEVIATION_FACTOR = (
    2.0  # deviations past the mean of a zone's refusals, by which nearly all have come,
)
MAX_REFUSAL_US = 500_000  # and what that comes to at most: slower ones stood in a queue
SILENCE_DEVIATION_FACTOR = (
    8.0  # deviations past the mean, and SILENCE_MEAN_FACTOR: a call beyond both is out too long
)
SILENCE_MEAN_FACTOR = 5.0  # times the mean answer time
SINGLE_CALL_SILENCE_FACTOR = 2.0  # times the silence that a single call out is allowed
MIN_SILENCE_AIM_FACTOR = 0.4  # of the shortest aim, which is the guess itself until there is an answer
TIMEOUT_SILENCE_FACTOR = 4.0  # silences after which an attempt that may be repeated is given up,
UNSAFE_CANCEL_SILENCE_FACTOR = 2.5  # and one that may not, while others starve of slots

OUTAGE_FAILURE_COUNT = 3  # failures in a row that mean an outage, at most
OUTAGE_EVIDENCE_S = 2.0  # or as many as this forwarder's part of the calls in this time: others fail likewise
OUTAGE_REFUSAL_COUNT = 4  # refusals in a row without an answer that mean that the destination is shut
OUTAGE_REFUSALS_PER_SENDER = 1.3  # or so many for each forwarder, if more: answers may go to the others

SCARCE_SLOT_SHARE = 0.75  # part of the slots from which trials, which may hang, get
TRIAL_SLOT_SHARE = 0.12  # this part of the slots at most
TRIAL_EFFECT_ORDER = (Effect.UNSAFE, Effect.KEYED, Effect.SAFE)  # what a trial risks: last first

SHED_START_SHARE = 0.92  # part of most_held from which the least valuable messages are refused
SHED_END_SHARE = 0.8  # and below which what each destination could spare is no longer kept in mind
MAX_DRAIN_S = 10.0  # seconds looked ahead when messages are compared
MIN_DRAIN_S = 1.0  # seconds for which the loss by waiting is weighed, at least
PICK_VALIDITY_US = (
    50_000  # time for which a pick stands: urgencies hardly change, and picks are the costly part
)
MAX_REFRESH_COUNT = 8  # picks that have stood longer looked at anew before the most urgent is taken, at most
MAX_CHANGED_PER_ROUND = (
    64  # destinations looked at in one round since something happened there; the others the next
)
MAX_WEIGHED_PER_ROUND = 64  # destinations weighed in one round for what they could spare, at most
STALE_REFRESH_COUNT = (
    8  # and those that have stood longest, in each round: a pick far down may have become urgent
)


def is_lost(call: Call[Endpoint], now: int) -> bool:
    """Out beyond the silence while a later answer came: it will hardly be answered, and holds no permit.

    Answers endpoints that swallow single calls: unsafe ones filled the windows until their deadline.
    """
    return (
        call.endpoint.answered_at > call.sent_at and now - call.sent_at >= call.endpoint.silence_timeout_us()
    )


def latency_excess(usual: tuple[float, float], quick: tuple[float, float], chance: float) -> float:
    """By what part a mean answer time is above the quickest's, with the error of each; 0 if it may be chance.

    Answers herds: of equal endpoints each forwarder went on calling the few that had been quick by chance.
    """
    (mean, error), (least, doubt) = usual, quick
    return mean / least - 1 if mean - least > chance * (error + doubt) else 0.0


def is_window_full(window: ConcurrencyWindow, calls: list[Call[Endpoint]], now: int) -> bool:
    """Whether the calls in flight leave no permit; lost ones hold none."""
    size = int(window.size)
    return len(calls) >= size and sum(not is_lost(c, now) for c in calls) >= size


class Endpoint(OutageState):
    """One endpoint: its window, its answer times, its outage and slow start."""

    def __init__(
        self, member: EndpointEntry, shared_limit: SharedLimit, settings: Settings, turn: float, drawn: bool
    ) -> None:
        super().__init__(settings)
        self.target, self.zone, self.dest, self.kind = member.target, member.zone, member.dest, member.kind
        self.shared_limit, self.settings = shared_limit, settings
        self.turn, self.share = turn, 1.0  # equal ranks take turns, as often as their shares say
        self.listed, self.preferred = True, drawn  # drawn: by lot, to be called first
        self.window = ConcurrencyWindow(
            shared_limit.window.size,
            shared_limit.window.most,
            pacing.WINDOW_FLOOR_CALLS,
            pacing.WINDOW_CUT_FACTOR,
        )
        self.calls: list[Call[Endpoint]] = []
        self.failure_score, self.failed_at, self.consecutive_failures, self.first_failure_sent_at = (
            0.0,
            0,
            0,
            0,
        )
        self.usual = RunningMean(LATENCY_SMOOTHING_FACTOR)
        self.idle_connections: list[int] = []
        self.answered_at = 0
        self.min_silence_us = MIN_SILENCE_AIM_FACTOR * min(c.aim_us for c in settings.classes.values())

    @property
    def stride(self) -> float:
        """How far apart its turns lie: one with half a share has half as many."""
        return 1 / (self.share or 1.0)

    def even_share_rate(self) -> float:
        """An even part of what the destination takes, in calls a second of all forwarders."""
        return self.shared_limit.weight / max(1, self.shared_limit.routes)

    def rank(self, now: int, more: bool = False) -> float:
        """Dialogue's balanced rank, with a preference for warm connections until one more is worth it. Among
        many, failures weigh whole calls: with few in flight what is left of one had an endpoint shunned."""
        recent = self.failure_score * math.exp(-(now - self.failed_at) / (FAILURE_DECAY_S * SECOND_US))
        weight = FAILURE_PENALTY_CALLS * recent
        cold = NEW_CONNECTION_PENALTY_CALLS if not (more or self.is_warm(now)) else 0.0
        return (
            len(self.calls)
            + (round(weight) if self.settings.replicas >= LARGE_FLEET_SENDERS else weight)
            + cold
        )

    def is_warm(self, now: int) -> bool:
        """Whether a call may go on a connection that is there; so may one to an endpoint that was drawn."""
        idle = self.idle_connections and now - self.idle_connections[-1] < self.settings.keepalive_us
        return bool(idle) or self.shares_connection() or self.preferred

    def latency(self, now: int) -> float:
        """Its usual answer time, or for how long its oldest call is out, if that is longer."""
        return max(self.usual.mean, float(now - self.calls[0].sent_at) if self.calls else 0.0)

    def shares_connection(self) -> bool:
        """Whether a connection that is in use has room for the next call."""
        return len(self.calls) % self.settings.streams_per_conn > 0

    def silence_timeout_us(self) -> float:
        """How long a call may be out before that is a symptom."""
        mean = self.usual.mean
        usual = max(mean * SILENCE_MEAN_FACTOR, mean + SILENCE_DEVIATION_FACTOR * self.usual.deviation)
        return max(self.min_silence_us, usual) if usual else self.min_silence_us / MIN_SILENCE_AIM_FACTOR

    def silence_due_at(self) -> int:
        """When silence is a symptom; later with one call out, which may just be a long one."""
        if not self.calls or self.answered_at > self.calls[0].sent_at:
            return NEVER
        alone = SINGLE_CALL_SILENCE_FACTOR if len(self.calls) == 1 else 1.0
        return self.calls[0].sent_at + math.ceil(self.silence_timeout_us() * alone)

    def record_failure(self, now: int, sent_at: int) -> None:
        """A call failed: weigh it in the rank, and count it in the row."""
        self.failure_score = 1 + self.failure_score * math.exp(
            -(now - self.failed_at) / (FAILURE_DECAY_S * SECOND_US)
        )
        self.failed_at = now
        self.consecutive_failures += 1
        self.first_failure_sent_at = sent_at if self.consecutive_failures == 1 else self.first_failure_sent_at
        self.failure_confirmed = True

    def record_success(self, now: int, latency: int) -> None:
        """A call was answered: learn the usual time."""
        self.consecutive_failures, self.answered_at = 0, now
        self.usual.add(latency)


Destination = DestinationState[Endpoint, SharedLimit]


class Forwarder(ForwarderState[Endpoint, SharedLimit]):
    """The decisions of one forwarder. It knows its settings and its own events, and nothing else."""

    @property
    def is_large_fleet(self) -> bool:
        """Whether each forwarder sees little of an endpoint."""
        return self.settings.replicas >= LARGE_FLEET_SENDERS

    def decide(self, now_us: int, events: list[Event]) -> list[Action]:
        """Take in what happened, and say what to do about it."""
        if events and all(isinstance(e, TimerFired) and e.token != self.token for e in events):
            return []  # timers overtaken by a sooner one: nothing is due before the one that is armed
        self.now, self.actions = now_us, []
        for event in events:
            match event:
                case Accept():
                    self.accept(event)
                case Outcome():
                    self.outcome(event)
                case EndpointListUpdate():
                    self.update_endpoint_list(event)
                case NoteReceived():
                    self.apply_note(event)
                case OutagesRestored():
                    self.restore_outages(event)
                case Withdrawn() if event.ref in self.messages:
                    self.end(self.messages[event.ref])
                case TimerFired() if event.token == self.token:
                    self.armed_at = NEVER
        if now_us >= self.list_watch.next_request_at:
            self.list_watch.next_request_at = NEVER
            self.actions.append(WatchEndpointList())
        self.detect_silence()
        for key in self.key_rests.due(now_us):
            self.refresh_key(key)
        self.expire()
        self.dispatch()
        self.close_idle()
        self.shed()
        self.forget_unlisted()
        self.actions += self.gossip.notes_to_send(now_us)
        self.arm_timer()
        return self.actions

    def apply_note(self, event: NoteReceived) -> None:
        """What another forwarder has seen: it slows this one down, or takes the place of a trial."""
        for what, number, value in self.gossip.receive(event.peer, event.note, self.now):
            if what is FactKind.BACK and (back := self.endpoints_by_digest.get(number)) is not None:
                waits = back.out_since is not None or back.suspected
                if waits and self.now - back.failed_at > value * WAIT_UNIT_US:
                    self.declare_recovered(back, f"sender {event.peer} was answered")
            known = self.destinations[number] if number in self.destinations else Destination()
            for endpoint in known.endpoints.values():
                if what is FactKind.SHORT:
                    self.connection_reuse.record_shortage(endpoint.kind, self.now)
                    self.recently_answered |= {
                        e: None for e in self.endpoints.values() if e.kind == endpoint.kind
                    }
                elif (
                    what is FactKind.REFUSED
                    and not self.settings.kinds.get(endpoint.kind, DestinationKind()).apart
                ):
                    endpoint.shared_limit.record_heard_refusal(self.now, self.gossip.wait_us(value), self.rng)
                    self.begin_cold_after_wait(endpoint, self.gossip.wait_us(value))
            self.mark_changed(number)

    def accept(self, event: Accept) -> None:
        """Take a message in."""
        if (cls := self.settings.classes.get(event.cls)) is None:
            raise ValueError(f"cls: unknown class {event.cls!r}")
        message = self.messages[event.ref] = Message(event, cls, self.now, self.tenant_share(event.tenant))
        self.update_measured_rate(destination := self.destinations[message.dest])
        destination.rate = destination.message_rate.rate(self.now, SECOND_US / self.settings.keepalive_us)
        destination.message_rate.count += 1
        self.own_rate.count += 1
        self.gossip.earn_budget()
        if message.key is not None:
            self.keys.setdefault(message.key, KeyQueue()).waiting.append(message)
        self.hold_message(message)

    def hold_message(self, message: Message) -> None:
        """Hold a message for its destination, until its time is up or it may go no more."""
        destination = self.waiting[message.dest] = self.destinations[message.dest]
        turn = message.key is None or self.keys[message.key].in_turn(message, self.now)
        destination.held.add(message, message.group_for(turn))
        self.mark_changed(message.dest)
        lapse = message.deadline
        if message.first_attempt_at is not None and message.cls.effect is Effect.KEYED:
            lapse = min(lapse, message.first_attempt_at + message.cls.key_ttl_us)
        self.expiries.set(message.ref, self.now if self.cannot_be_sent_again(message) else lapse)

    def update_endpoint_list(self, event: EndpointListUpdate) -> None:
        """Follow the list; an endpoint that drains or is gone gets nothing new from this moment on."""
        if event.scope is UpdateScope.FAILED:
            return self.actions.extend(map(LogLine, self.list_watch.failed(self.now, self.rng)))
        self.actions += map(LogLine, self.list_watch.listed())
        named = {m.target for m in event.entries}
        if event.scope is UpdateScope.FULL:
            for endpoint in list(self.endpoints.values()):
                if endpoint.target not in named:
                    self.unlist(endpoint)
        for member in event.entries:
            known = self.endpoints.get(member.target)
            if member.status is not EndpointStatus.LISTED:
                if known is not None:
                    self.unlist(known)
            elif known is None or known.dest != member.dest:
                if known is not None:  # moved: its old destination must send nothing there any more
                    self.unlist(known)
                    self.forget_endpoint(known)
                destination = self.destinations[member.dest]
                self.mark_changed(member.dest)
                apart = self.settings.kinds.get(member.kind, DestinationKind()).apart
                limit = (None if apart else destination.shared_limit) or SharedLimit(
                    self.settings, member.weight, self.initial_rate(), self.now, self.initial_token()
                )
                warm = self.is_large_fleet and any(
                    e.is_warm(self.now) for e in destination.endpoints.values()
                )
                drawn = warm and self.rng.random() * (len(destination.endpoints) + 1) < 1
                behind = (destination.last_turn > 0) / max(1, len(destination.endpoints))  # the last called
                turn = destination.last_turn + self.rng.random() * (1 + behind)
                destination.shared_limit, endpoint = (
                    limit,
                    Endpoint(member, limit, self.settings, turn, drawn),
                )
                self.endpoints[member.target] = destination.endpoints[member.target] = endpoint
                self.endpoints_by_digest[endpoint_digest(member.target)] = endpoint
                self.restore_outage(endpoint)
                limit.routes += 1
                self.changed_lists.add(member.dest)
            else:
                known.listed = True
                self.mark_changed(known.dest)
                if not (known.shared_limit.rate_is_measured or known.shared_limit.reported_limit):
                    known.shared_limit.weight = max(member.weight, 0.1)
                if self.unlisted.pop(known.target, None) is not None:
                    known.shared_limit.routes += 1
                    self.changed_lists.add(known.dest)
        priced = self.settings.zone and self.settings.crossing_price
        for place in (self.destinations[n] for n in self.changed_lists if priced and n in self.destinations):
            routes = [e for e in place.endpoints.values() if e.listed]
            assign_shares(routes, self.settings.zone, self.settings.zones, place.last_turn)
        self.changed_lists.clear()

    def initial_token(self) -> float:
        """Part of a paced call that is there at first. Many senders that start together begin apart."""
        return self.startup_rng.random() if self.is_large_fleet else 1.0

    def update_measured_rate(self, destination: Destination) -> None:
        """With no rough rate told, this forwarder's own answered calls stand in, as if all had as many.

        Summed over forwarders that is what the destination took, however unevenly work comes: with own rate d
        weight / crowd is d for one that calls often, else about one call in the age of its work. Outages and
        slow starts do not count: what the destination took before is what it takes.
        """
        for endpoint in destination.endpoints.values():
            limit = endpoint.shared_limit
            if endpoint.out_since is not None or endpoint.ramp_from is not None:
                limit.own_rate.at = self.now
            elif limit.rate_is_measured:
                limit.weight = max(
                    limit.own_rate.rate(self.now, self.initial_rate()) * self.settings.replicas, 0.1
                )

    def outcome(self, event: Outcome) -> None:
        """An attempt has ended: learn from the call once, then settle the message."""
        call, message = self.attempts.pop((event.ref, event.attempt_number), (None, None))
        if call is None or message is None:
            return
        message.attempts_out.discard(event.attempt_number)
        self.mark_changed(call.endpoint.dest)
        told_until = self.now + event.wait_us + 1 if event.wait_us else 0  # any message may be told (h80106d)
        call.endpoint.shared_limit.opens_at = max(call.endpoint.shared_limit.opens_at, told_until)
        if event.limit:
            call.endpoint.shared_limit.record_reported_limit(event.limit)
        if not call.learned_from:
            call.learned_from = True
            self.learn_from_call(call, event)
        del call.open_attempts[event.ref, event.attempt_number]
        if not call.open_attempts:
            for calls in (call.endpoint.calls, call.endpoint.shared_limit.calls):
                calls.remove(call)
            del self.calls[call]
            self.overdue_at.drop(call)
            for kept in (self.overdue, self.trial_calls):
                kept.pop(call, None)
            if not (call.endpoint.listed or call.endpoint.calls):
                self.removals.set(call.endpoint, self.now)
            if event.result in (Result.OK, Result.ERROR, Result.FULL):  # the connection stays, idle
                call.endpoint.idle_connections = [
                    *call.endpoint.idle_connections[-int(call.endpoint.window.most) :],
                    self.now,
                ]
                self.recently_answered[call.endpoint] = None
        self.schedule_silence_check(call.endpoint)
        maybe_ran = event.result not in (Result.OK, Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
        if maybe_ran and (message.first_attempt_at is None or call.sent_at < message.first_attempt_at):
            message.first_attempt_at, message.first_attempt_zone = (
                call.sent_at,
                call.endpoint.zone,
            )  # a key lives from here
        if message.key is not None:
            line = self.keys[message.key]
            line.attempts_out -= 1
            if event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED) and self.settings.key_rest_us:
                line.rest_until = self.now + self.settings.key_rest_us
                self.key_rests.set(message.key, line.rest_until)
        if event.message_ended or event.result is Result.OK:
            self.end(message)
        elif message.ref in self.messages and not message.attempts_out:
            self.hold_message(message)
        if message.key is not None:
            self.refresh_key(message.key)

    def close_idle(self) -> None:
        """Close connections that will hardly be used again while they live."""
        for endpoint in self.recently_answered:
            if self.connection_reuse.is_rarely_reused(
                endpoint.kind, endpoint.even_share_rate() / self.settings.replicas, self.now
            ):
                self.disconnect(endpoint)
        self.recently_answered.clear()

    def disconnect(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        if endpoint.idle_connections:
            endpoint.idle_connections = []
            self.actions.append(Disconnect(endpoint.target))

    def learn_from_call(self, call: Call[Endpoint], event: Outcome) -> None:
        """What the end of a call says of its endpoint and of its destination. One place for both windows."""
        endpoint, limit, kind, now = call.endpoint, call.endpoint.shared_limit, call.endpoint.kind, self.now
        evidence = (
            limit.weight / self.settings.replicas * OUTAGE_EVIDENCE_S
        )  # own calls that there may have been
        if event.result in (Result.OK, Result.TIMEOUT):
            self.zone_latency.setdefault(endpoint.zone, RunningMean(LATENCY_SMOOTHING_FACTOR)).add(
                event.latency_us
            )
        match event.result:
            case Result.OK:
                limit.record_answer()
                limit.own_rate.count += endpoint.out_since is None and endpoint.ramp_from is None
                self.connection_reuse.record_answer(kind, call.new_connection)
                if endpoint.out_since is not None:
                    self.gossip.record_recovery(endpoint.target)
                    self.declare_recovered(endpoint, "answers again")
                elif endpoint.suspected and endpoint.end_suspicion(
                    now, call.sent_at, self.outage_confirmed(endpoint)
                ):
                    self.gossip.record_recovery(endpoint.target)
                    self.actions.append(
                        LogLine(
                            f"{endpoint.target}: answers while a sibling is out, slow start; "
                            f"destination {endpoint.dest}, {self.share_text(endpoint)}"
                        )
                    )
                endpoint.record_success(now, event.latency_us)
                limit.window.grow(len(limit.calls))
                endpoint.window.grow(len(endpoint.calls))
            case Result.FULL:
                limit.window.cut(now, call.sent_at)
                self.refusal_latency.setdefault(endpoint.zone, RunningMean(LATENCY_SMOOTHING_FACTOR)).add(
                    event.latency_us
                )
                short = not event.wait_us and self.connection_reuse.record_refusal(
                    kind, call.new_connection, now
                )
                known = call.sent_at <= limit.last_refusal_at
                self.gossip.record_refusal(endpoint.dest, event.wait_us, short, known, now)
                taken_at = min((m.accepted_at for m in call.open_attempts.values()), default=now)
                crowd, _ = self.active_senders(endpoint, taken_at)
                limit.record_refusal(now, call.sent_at, event.wait_us, crowd, short, self.rng)
                self.begin_cold_after_wait(endpoint, event.wait_us)
                if limit.consecutive_refusals >= max(
                    OUTAGE_REFUSAL_COUNT, OUTAGE_REFUSALS_PER_SENDER * self.settings.replicas
                ):
                    self.declare_outage(endpoint, "refuses all", now)
                if endpoint.out_since is not None:
                    endpoint.failure_confirmed = True
            case Result.TIMEOUT | Result.RESET if call.idle_us > LEAST_US and (
                evidence < 1 or endpoint.answered_at > call.sent_at
            ):
                # A connection dropped unseen while idle looks like this, where others are answered or own
                # calls are too rare to tell. A new one tells more: a hang is noticed one call later.
                self.connection_reuse.record_drop(kind, call.idle_us)
                self.disconnect(endpoint)
            case Result.CANCELLED if endpoint.out_since is not None:  # as good as a failure: it has hung
                endpoint.failure_confirmed = True
            case Result.ERROR | Result.TIMEOUT | Result.RESET | Result.CONNECT_FAILED:
                if (
                    event.result is Result.CONNECT_FAILED and endpoint.consecutive_failures == 0
                ):  # down, or no connection left
                    self.connection_reuse.record_drop(kind)
                endpoint.record_failure(now, call.sent_at)
                endpoint.window.cut(now, call.sent_at)
                if event.result is Result.ERROR:
                    limit.window.cut(now, call.sent_at)
                else:
                    endpoint.idle_connections = []
                if endpoint.consecutive_failures >= min(OUTAGE_FAILURE_COUNT, max(1, round(evidence))):
                    self.declare_outage(endpoint, f"calls end as {event.result.value}", call.sent_at)

    def endpoints_sharing_limit(self, endpoint: Endpoint) -> list[Endpoint]:
        """The endpoints that share its limit, and so its outages, itself included."""
        others = self.destinations[endpoint.dest].endpoints.values()
        return [other for other in others if other.shared_limit is endpoint.shared_limit]

    def outage_confirmed(self, endpoint: Endpoint) -> bool:
        """Whether a call has failed in the outage of its destination, which may just be slow otherwise."""
        waiting = (
            e for e in self.endpoints_sharing_limit(endpoint) if e.out_since is not None or e.suspected
        )
        return any(e.failure_confirmed for e in waiting)

    def declare_recovered(self, endpoint: Endpoint, why: str) -> None:
        """It answers again, here or elsewhere: the slow start begins, for the destination as a whole.

        Endpoints that were not called in the outage start slowly too: they were sent all that had waited.
        """
        group = self.endpoints_sharing_limit(endpoint)
        proved = self.outage_confirmed(endpoint)
        since = endpoint.began_at
        for other in group:
            if other.out_since is None and not other.suspected:
                continue  # it starts slowly already, or has answered meanwhile
            cause = why if other is endpoint else f"{endpoint.target} is back"
            other.end_outage(self.now, proved, self.rng)
            self.schedule_silence_check(other)
            start = "slow start" if proved else "no slow start, no call had failed"
            self.actions.append(
                LogLine(
                    f"{other.target}: {cause}, {start}; destination {other.dest}, out for "
                    f"{(self.now - since) / SECOND_US:.1f} s, {other.trials_sent} trials, "
                    f"{self.share_text(other)}"
                )
            )
        self.mark_changed(endpoint.dest)

    def suspect_siblings(self, endpoint: Endpoint) -> None:
        """An endpoint is out, and an outage mostly takes all of a destination: siblings without an answer
        since then are called as if cold, until they answer. They had got all that waited, as they came back.
        """
        for other in self.endpoints_sharing_limit(endpoint):
            sound = other.answered_at > endpoint.first_failure_sent_at
            if not sound and not other.is_recovering(self.now):
                other.begin_suspicion(self.now, self.rng)
                self.recovering[other] = None

    def begin_cold_after_wait(self, endpoint: Endpoint, wait_us: int) -> None:
        """After a wait longer than any limit needs, it comes back cold, to all whom it has told at once."""
        if wait_us >= self.settings.fall_us:
            for other in self.endpoints_sharing_limit(endpoint):
                other.begin_cold(self.now, other.shared_limit.opens_at, self.rng)
                self.recovering[other] = None

    def declare_outage(self, endpoint: Endpoint, why: str, since: int) -> None:
        """Judge an endpoint to be in an outage: only spaced trials from now on."""
        if endpoint.out_since is None:
            endpoint.begin_outage(self.now, since, self.rng)
            self.recovering[endpoint] = None
            endpoint.failure_confirmed = endpoint.consecutive_failures > 0
            if endpoint.consecutive_failures == 0:
                endpoint.first_failure_sent_at = since
            self.suspect_siblings(endpoint)
            self.mark_changed(endpoint.dest)
            next_s = (endpoint.next_send_at(self.now, None) - self.now) / SECOND_US
            self.actions.append(
                LogLine(
                    f"{endpoint.target}: out, {why}; destination {endpoint.dest}, "
                    f"next trial in {next_s:.1f} s, {self.share_text(endpoint)}"
                )
            )

    def share_text(self, endpoint: Endpoint) -> str:
        """For the log: with how many senders a cold endpoint's budget is shared, and how that is known."""
        crowd, heard = self.active_senders(endpoint, self.now)
        if not (heard and self.gossip.informed(self.now)):
            return f"shared evenly by {self.settings.replicas} senders"
        return f"shared with {crowd - 1:.1f} of {self.settings.replicas - 1} others as heard"

    def outages(self, now: int) -> tuple[Outage, ...]:
        """What is known of endpoints that are out or cold, for the next process."""
        for endpoint in list(self.recovering):
            if self.endpoints.get(endpoint.target) is not endpoint or not endpoint.is_recovering(now):
                del self.recovering[endpoint]
        return tuple(endpoint.to_outage(endpoint.target) for endpoint in self.recovering)

    def restore_outages(self, event: OutagesRestored) -> None:
        """Take over what the process before this one knew, also of endpoints that are not listed yet.

        Answers restarts in an outage: each process called at once, and that of a whole fleet is more than an
        endpoint bears that comes back meanwhile.
        """
        self.remember_outages(event.outages)
        for endpoint in [self.endpoints[target] for target in self.known_outages if target in self.endpoints]:
            self.restore_outage(endpoint)

    def restore_outage(self, endpoint: Endpoint) -> None:
        """An endpoint is listed of which an outage may be known, from before a restart or off the list."""
        outage, until = self.known_outages.pop(endpoint.target, (None, 0))
        if outage is not None and self.now < until:
            endpoint.restore(self.now, outage, self.rng)
            self.recovering[endpoint] = None
            self.actions.append(
                LogLine(
                    f"{endpoint.target}: {'out' if outage.back_at is None else 'cold'} "
                    f"as it was known before; destination {endpoint.dest}, {self.share_text(endpoint)}"
                )
            )

    def detect_silence(self) -> None:
        """Calls out far beyond the usual time, with no later answer, mean an outage before any time-out."""
        for endpoint in self.silence_checks.due(self.now):
            if endpoint.out_since is None and self.now >= endpoint.silence_due_at():
                endpoint.window.cut(self.now, endpoint.calls[0].sent_at)
                self.declare_outage(endpoint, "silent", endpoint.calls[0].sent_at)
        for call in self.overdue_at.due(self.now):
            if (lapse := call.sent_at + int(call.endpoint.silence_timeout_us()) + 1) > self.now:
                self.overdue_at.set(call, lapse)  # the usual time has grown meanwhile
                continue
            self.overdue[call] = None
            self.mark_changed(call.endpoint.dest)  # it may hold no permit any more

    def schedule_silence_check(self, endpoint: Endpoint) -> None:
        """Its calls or its usual time have changed: note when silence will be a symptom."""
        if endpoint.out_since is None and (at := endpoint.silence_due_at()) < NEVER:
            self.silence_checks.set(endpoint, at)
        else:
            self.silence_checks.drop(endpoint)
        if endpoint.calls and endpoint.calls[0] not in self.overdue:
            self.overdue_at.set(
                endpoint.calls[0], endpoint.calls[0].sent_at + int(endpoint.silence_timeout_us()) + 1
            )

    def cannot_be_sent_again(self, message: Message) -> bool:
        """The one place that decides whether a message may go again (True: never)."""
        effect, ran_at = message.cls.effect, message.first_attempt_at
        repeat = (
            ran_at is None
            or effect is Effect.SAFE
            or (effect is Effect.KEYED and self.now < ran_at + message.cls.key_ttl_us)
        )
        return message.attempts_made >= self.settings.try_limit or not repeat

    def sendable_at(self, endpoint: Endpoint) -> int:
        """The one place that decides whether, and when, an endpoint may be sent to."""
        limit, now = endpoint.shared_limit, self.now
        if not endpoint.listed or limit.opens_at > now:
            return limit.opens_at if endpoint.listed else NEVER
        if endpoint.out_since is not None:
            if len(limit.calls) >= limit.window.most:
                return NEVER
            slots = self.settings.slots
            if len(self.calls) > slots * SCARCE_SLOT_SHARE and len(self.trial_calls) >= max(
                1, int(slots * TRIAL_SLOT_SHARE)
            ):
                return max(self.now + int(MIN_TRIAL_INTERVAL_S * SECOND_US), endpoint.next_send_at(now, None))
        elif (
            is_window_full(limit.window, limit.calls, now)
            or is_window_full(endpoint.window, endpoint.calls, now)
            or (endpoint.suspected and endpoint.calls)
        ):
            lapse = (c.sent_at + int(c.endpoint.silence_timeout_us()) + 1 for c in limit.calls)
            return min((at for at in lapse if at > now), default=NEVER)
        crowd, heard = self.active_senders(endpoint, self.destinations[endpoint.dest].held.since)
        informed = heard and self.gossip.informed(now)
        return max(
            limit.next_token_at(now, crowd, heard), endpoint.next_send_at(now, crowd if informed else None)
        )

    def active_senders(self, endpoint: Endpoint, since: int) -> tuple[float, bool]:
        """By how many a pace is shared, and whether that has been heard from them or is a guess."""
        held = len(self.destinations[endpoint.dest].held)
        guess = endpoint.shared_limit.active_senders(self.now - since)
        heard = self.gossip.active_senders(endpoint.dest, held, self.now, guess)
        if (
            endpoint.shared_limit.gossip_is_partial
        ):  # guessed to have a message each, where this one has so many
            guess = max(1.0, guess / max(1, held))
        return heard or guess, heard is not None

    def pick_next(self, destination: Destination) -> None:
        """The one place that picks the next message of a destination, and its route.

        Among messages of a sort the urgency turns at a few deadlines only, and the most urgent stands beside
        one of those: a hold of thousands costs no more than one of a dozen.
        """
        now, destination.choice = self.now, None
        opens = [(self.sendable_at(e), e) for e in destination.endpoints.values()]
        destination.opens_at = min((at for at, _ in opens if at > now), default=NEVER)
        routes = [e for at, e in opens if at <= now]
        if len(routes) > 1:
            seen = ((e.latency(now), e.usual.error() * self.is_large_fleet) for e in routes if e.usual.mean)
            quick = min(seen, key=sum, default=(1.0, 0.0))
            for passed in (e for e in routes if e.turn <= destination.last_turn):
                passed.turn = destination.last_turn + self.rng.random() * passed.stride
            more = self.is_large_fleet and (
                sum(e.is_warm(now) for e in routes) + 1
            ) * CALLS_PER_EXTRA_CONNECTION * SECOND_US <= (destination.rate * self.settings.keepalive_us)
            routes.sort(key=lambda e: (e.rank(now, more) + self.route_penalty(e, quick), e.turn))
        drain_us = self.drain_us(destination) if routes else 0
        best: tuple[int, float] | None = None
        for cls, zone, line in destination.held.sendable() if routes else ():
            if (route := next((e for e in routes if zone in ("", e.zone)), None)) is None:
                continue
            trial = 0 if route.out_since is None else TRIAL_EFFECT_ORDER.index(cls.effect)
            answer, late = now + int(route.usual.mean), now + self.expected_refusal_us(route)
            for message in line.around(urgency_breakpoints(cls, answer, drain_us, self.settings.halves)):
                if message.deadline <= late:
                    continue  # given up with its answer on the way, it hears no wait that this tells
                key = trial, self.urgency(message, answer, drain_us)
                if best is None or key > best:
                    best, destination.choice = key, (key[1], message, route)

    def expected_refusal_us(self, endpoint: Endpoint) -> float:
        """Within how long a refusal from there has come, as a rule. A delivery takes longer."""
        usual = self.refusal_latency.get(endpoint.zone)
        return min(usual.mean + REFUSAL_DEVIATION_FACTOR * usual.deviation, MAX_REFUSAL_US) if usual else 0.0

    def route_penalty(self, endpoint: Endpoint, quick: tuple[float, float]) -> float:
        """What speaks against a route beside its calls, as calls in flight: its fee, its answer time against
        the quickest route's, and its zone's against the quickest zone's.

        Answers zones that are far or have turned slow: a forwarder that calls each endpoint rarely learns it
        from the others there. It hurts where one slow destination makes up most of a zone's calls.
        """
        apart = self.settings.kinds.get(endpoint.kind, DestinationKind()).apart
        against = ZONE_FEE_PENALTY_CALLS * self.settings.zone_fees.get(endpoint.zone, 0.0) if apart else 0.0
        if not endpoint.share:
            against += CROSSING_PENALTY_CALLS * self.settings.crossing_price
        if endpoint.usual.mean:
            usual = endpoint.latency(self.now), endpoint.usual.error()
            against += SLOWNESS_PENALTY_CALLS * latency_excess(
                usual, quick, ENDPOINT_TOLERANCE_ERRORS * self.is_large_fleet
            )
        zones = {
            name: (zone.mean, zone.error() * self.is_large_fleet) for name, zone in self.zone_latency.items()
        }
        near = min(zones.values(), key=sum, default=(1.0, 0.0))
        scarce = (
            1 + FULL_SLOTS_ZONE_FACTOR * len(self.calls) / self.settings.slots
        )  # a far call keeps its slot longer
        return (
            against
            + latency_excess(
                zones.get(endpoint.zone, near), near, ZONE_TOLERANCE_ERRORS * self.is_large_fleet
            )
            * scarce
        )

    def drain_us(self, destination: Destination) -> int:
        """How long the hold of a destination needs to drain, as its limits and its other senders stand."""
        since, routes = destination.held.since, destination.endpoints.values()
        rate = sum(
            (e.shared_limit.pace or e.even_share_rate()) / self.active_senders(e, since)[0] for e in routes
        )
        return int(min(max(MIN_DRAIN_S, len(destination.held) / max(rate, 0.1)), MAX_DRAIN_S) * SECOND_US)

    def urgency(self, message: Message, answer: int, drain_us: int) -> float:
        """Worth lost if this message waits for the time that the hold needs to drain."""
        halves = self.settings.halves
        now_worth = message.value(answer, halves)
        loss = now_worth - message.value(answer + drain_us, halves)
        age = 1 - (message.deadline - self.now) / message.cls.deadline_us
        return loss + 0.1 * now_worth * (1 + age)

    def refresh_pick(self, number: int) -> None:
        """Pick at a destination anew, and rank it among those that are ready."""
        if (destination := self.waiting.get(number)) is None:
            self.ready.drop(number)
            self.openings.drop(number)
            return
        self.pick_next(destination)
        if destination.choice is None:
            self.ready.drop(number)
            self.openings.set(number, destination.opens_at)
        else:
            self.ready.set(number, (-destination.choice[0], number), self.now)
            self.openings.drop(number)

    def dispatch(self) -> None:
        """Send while slots and permits last, the most urgent message of all destinations first."""
        if len(self.calls) >= self.settings.slots and not self.overdue:
            return  # nothing can go, and no call is out for so long that it may be called off
        for number in dict.fromkeys(
            [*islice(self.changed, MAX_CHANGED_PER_ROUND), *self.openings.due(self.now)]
        ):
            self.changed.pop(number, None)
            self.refresh_pick(number)
        stale = (
            self.now - PICK_VALIDITY_US
        )  # urgencies drift: the first picks and those in turn are looked at anew
        self.ready.refresh(stale, STALE_REFRESH_COUNT, self.refresh_pick)
        while len(self.calls) < self.settings.slots:
            if (first := self.ready.first_refreshed(stale, MAX_REFRESH_COUNT, self.refresh_pick)) is None:
                break
            destination = self.destinations[first]
            if destination.choice is not None:
                self.send(destination, *destination.choice[1:])
            self.changed.pop(first, None)
            self.refresh_pick(first)
        self.cancel_stuck_calls()

    def cancel_stuck_calls(self) -> None:
        """With every slot taken and others ready, call off what a silent endpoint has kept too long.

        Answers hung, silent and very slow destinations that starve the others of slots, and their trials. It
        hurts where the late answers would have come: what may not go again elsewhere is given longer.
        """
        now, stuck = self.now, list[tuple[bool, int, int, Call[Endpoint]]]()
        choices = (self.destinations[n].choice for n in self.ready) if self.overdue else ()
        sound = (c for c in choices if c is not None and c[2].out_since is None)
        wanted = sum(1 for _ in islice(sound, len(self.overdue)))
        for call in (c for c in self.overdue if wanted and not c.cancelled):
            unsafe = any(
                m.cls.effect is Effect.UNSAFE or m.cls.same_zone for m in call.open_attempts.values()
            )
            out, lost = call.endpoint.out_since is not None, call.endpoint.answered_at > call.sent_at
            patience = call.endpoint.silence_timeout_us() * (UNSAFE_CANCEL_SILENCE_FACTOR if unsafe else 1)
            if now - call.sent_at >= patience and (lost or out):
                stuck.append((unsafe, call.sent_at, len(stuck), call))
        for *_, call in sorted(stuck)[: wanted if self.settings.cancel else 0]:
            call.cancelled = True
            self.actions += [Cancel(ref, leg) for ref, leg in call.open_attempts]

    def send(self, destination: Destination, first: Message, endpoint: Endpoint) -> None:
        """Start one call, with as many messages as travel together."""
        trial, limit = endpoint.out_since is not None, endpoint.shared_limit
        if self.is_large_fleet:  # each of few keeps its lot: they spread by it, and by what each sees of all
            destination.last_turn, endpoint.preferred = endpoint.turn, False
            endpoint.turn += endpoint.stride
        call = Call(endpoint, self.now, not endpoint.idle_connections and not endpoint.shares_connection())
        if limit.pace is not None:
            limit.bucket.tokens -= 1
        endpoint.record_send(self.now)
        if trial:
            self.trial_calls[call] = None
        if endpoint.idle_connections and not endpoint.shares_connection():
            call.idle_us = self.now - endpoint.idle_connections[0]
            if call.idle_us > self.connection_reuse.idle_limit_us[endpoint.kind]:
                self.disconnect(endpoint)
                call.idle_us, call.new_connection = 0, True
            endpoint.idle_connections = endpoint.idle_connections[:-1]
        endpoint.calls.append(call)
        limit.calls.append(call)
        self.calls[call] = None
        batch = 1 if trial else self.settings.kinds.get(endpoint.kind, DestinationKind()).batch
        for message in self.take_batch(first, endpoint, destination, batch):
            leg, message.attempts_made = message.attempts_made, message.attempts_made + 1
            call.open_attempts[message.ref, leg] = message
            message.attempts_out.add(leg)
            self.attempts[message.ref, leg] = call, message
            if message.key is not None:
                self.keys[message.key].attempts_out += 1
            timeout = message.deadline - self.now
            if message.cls.effect is not Effect.UNSAFE:
                timeout = min(timeout, int(endpoint.silence_timeout_us() * TIMEOUT_SILENCE_FACTOR))
            self.actions.append(Send(message.ref, endpoint.target, max(1, timeout)))
        self.overdue_at.set(call, self.now + int(endpoint.silence_timeout_us()) + 1)
        self.schedule_silence_check(endpoint)

    def take_batch(
        self, first: Message, endpoint: Endpoint, destination: Destination, most: int
    ) -> list[Message]:
        """What goes in one call, taken out of the hold: the choice, and the most urgent that may join it."""
        taken, answer, drain_us = [first], self.now + int(endpoint.usual.mean), self.drain_us(destination)
        self.release(first)
        while len(taken) < most and destination.held:
            others = [
                m
                for cls, zone, line in destination.held.sendable()
                if zone in ("", endpoint.zone)
                for m in line.around(urgency_breakpoints(cls, answer, drain_us, self.settings.halves))
            ]
            if not others:
                break
            taken.append(max(others, key=lambda m: self.urgency(m, answer, drain_us)))
            self.release(taken[-1])
        return taken

    def expire(self) -> None:
        """Answer what can be delivered no more: its time is up, or it may not go again."""
        for ref in self.expiries.due(self.now):
            if (message := self.messages.get(ref)) is None:
                continue
            if self.now >= message.deadline or (
                not message.attempts_out and self.cannot_be_sent_again(message)
            ):
                self.give_up(message)
            else:
                self.expiries.set(ref, message.deadline)

    def shed(self) -> None:
        """With the hold nearly full, refuse what may earn least; the door would turn away anything."""
        if len(self.messages) <= self.settings.most_held * SHED_START_SHARE:
            if len(self.messages) <= self.settings.most_held * SHED_END_SHARE:
                self.shed_candidates.clear()
                self.changed_shed_candidates.clear()
            return
        if not self.shed_candidates:
            self.changed_shed_candidates = dict.fromkeys(self.waiting)
        for stirred in list(islice(self.changed_shed_candidates, MAX_WEIGHED_PER_ROUND)):
            del self.changed_shed_candidates[stirred]
            self.refresh_shed_candidate(stirred)
        while len(self.messages) > self.settings.most_held * SHED_START_SHARE:
            if (
                number := self.shed_candidates.first_refreshed(
                    self.now - 1, MAX_REFRESH_COUNT, self.refresh_shed_candidate
                )
            ) is None:
                return
            if (least := self.least_valuable(self.destinations[number])) is not None:
                self.give_up(least)
            self.refresh_shed_candidate(number)

    def refresh_shed_candidate(self, number: int) -> None:
        """Rank a destination by the message that it can spare best."""
        if (destination := self.waiting.get(number)) is None or (
            least := self.least_valuable(destination)
        ) is None:
            self.shed_candidates.drop(number)
            return
        worth = least.value(self.now + self.drain_us(destination), self.settings.halves)
        self.shed_candidates.set(number, (worth, -least.deadline, number), self.now)

    def least_valuable(self, destination: Destination) -> Message | None:
        """The held message that may earn least once the hold has drained; of equals the one with most time.

        In each sort that is the last one that will be too late by then, else the oldest that loses worth.
        """
        drained, halves = self.now + self.drain_us(destination), self.settings.halves
        spare = list[Message]()
        for line in destination.held.refusable():
            late, losing = line.before(drained), line[0].aim_at < drained
            spare.append(line[late - 1] if late else line[0] if losing else line[-1])
        return min(spare, key=lambda m: (m.value(drained, halves), -m.deadline), default=None)

    def may_refuse(self, message: Message) -> bool:
        """A refusal promises that coming again is safe."""
        cls = message.cls
        repeatable = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and not cls.same_zone)
        return not message.attempts_out and (message.first_attempt_at is None or repeatable)

    def give_up(self, message: Message) -> None:
        """The final answer, at once: a refusal with a come-back time where that is safe, else a failure."""
        if self.may_refuse(message):
            endpoints = self.destinations[message.dest].endpoints.values()
            wait = min((e.shared_limit.opens_at for e in endpoints), default=0) - self.now
            self.actions.append(
                Refuse(message.ref, min(max(wait, SECOND_US), self.settings.max_come_back_us))
            )
        else:
            self.actions.append(Fail(message.ref))
        self.end(message)

    def arm_timer(self) -> None:
        """Keep one timer armed for the next thing due."""
        full = len(self.calls) >= self.settings.slots
        agendas = (
            self.expiries,
            self.silence_checks,
            self.key_rests,
            self.overdue_at if full else self.openings,
        )
        due = [self.list_watch.next_request_at, self.gossip.next_at()]
        due += [at for a in agendas if (at := a.next_at()) is not None]
        due += [self.now + 1] if self.changed and not full else []
        soonest = min((t for t in due if t > self.now), default=NEVER)
        if soonest < self.armed_at and soonest < NEVER:
            self.token, self.armed_at = self.token + 1, soonest
            self.actions.append(ArmTimer(soonest - self.now, self.token))
