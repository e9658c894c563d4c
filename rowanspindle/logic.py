"""Decision module of a sender. The interface (settings, events, actions) is in rowanspindle/api.py.

As in Dialogue, a message is held, an endpoint is chosen (lowest in-flight count plus ten times recent
failures), permits of its and the destination's window are acquired, and it is sent. Cf. docs/design.md."""

from __future__ import annotations

from itertools import islice

from rowanspindle.api import (
    Accept,
    Action,
    ArmTimer,
    Cancel,
    DestinationKind,
    Disconnect,
    Effect,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    LogLine,
    NoteReceived,
    OutagesRestored,
    Outcome,
    Refuse,
    Result,
    RetryAfterWaitsReported,
    Send,
    TimerFired,
    UpdateScope,
    WatchEndpointList,
    Withdrawn,
)
from rowanspindle.connection_reuse import MIN_IDLE_LIMIT_US
from rowanspindle.data_structures import RunningMean
from rowanspindle.endpoint import MANY_SENDERS, SMOOTHING, Endpoint, excess, is_window_full
from rowanspindle.gossip import WAIT_UNIT_US
from rowanspindle.held_messages import NEVER_US, KeyQueue, Message, urgency_breakpoints
from rowanspindle.notes import FactKind, endpoint_digest
from rowanspindle.pacing import SharedLimit
from rowanspindle.shared_knowledge import Destination, SharedKnowledge
from rowanspindle.slow_start import MIN_TRIAL_INTERVAL_S
from rowanspindle.state import Call
from rowanspindle.zones import assign_shares

SECOND_US = 1_000_000

FULL_SLOTS_ZONE_FACTOR = 3.0  # extra weight of a far zone when every slot is taken, as a multiple
CALLS_PER_EXTRA_CONNECTION = 4.0  # calls per connection within its keep-alive time that justify one more
ENDPOINT_ERRORS = 2.0  # standard errors by which mean answer times of endpoints may differ by chance
ZONE_ERRORS = 1.0  # standard errors by which mean answer times of zones may differ by chance
SLOWNESS_CALLS = 2.0  # an answer time twice that of the fastest endpoint counts as this many in-flight calls
CROSSING_CALLS = 25.0  # in-flight calls per point of the score that a call to another zone costs
ZONE_FEE_CALLS = 25.0  # in-flight calls per point of the score that an endpoint's zone takes per message

REFUSAL_DEVIATION_FACTOR = 2.0  # nearly all refusals arrive within the mean plus this many deviations
MAX_REFUSAL_US = 500_000  # upper bound of the time expected for a refusal: slower ones had been queued
TIMEOUT_SILENCE_FACTOR = 4.0  # silence time-outs after which a repeatable attempt times out
UNSAFE_CANCEL_SILENCE_FACTOR = 2.5  # silence time-outs after which an unrepeatable call may be cancelled

OUTAGE_FAILURE_COUNT = 3  # upper bound of the consecutive failures that count as an outage
OUTAGE_EVIDENCE_S = 2.0  # as many failures as own calls in this time suffice: other senders see failures too
OUTAGE_REFUSAL_COUNT = 4  # consecutive refusals without an answer that count as an outage of the destination
REFUSALS_PER_SENDER = 1.3  # least such refusals per sender of the fleet: answers may go to the others

SCARCITY = 0.75  # share of the slots in use above which trial calls, which may hang, are limited
TRIAL_SHARE = 0.12  # share of the slots that trial calls may take while slots are scarce
TRIAL_EFFECT_ORDER = (Effect.UNSAFE, Effect.KEYED, Effect.SAFE)  # a trial may be lost: least preferred first

SHED_START_SHARE = 0.92  # share of most_held above which the least valuable messages are refused
SHED_END_SHARE = 0.8  # share of most_held below which the least valuable messages are no longer tracked
MAX_DRAIN_S = 10.0  # upper bound of the time to drain used to compare messages
MIN_DRAIN_S = 1.0  # lower bound of the time to drain used to compare messages
PICK_VALIDITY_US = 50_000  # how long a pick stays valid: urgencies change slowly, and picking is expensive
MAX_REFRESHES = 8  # outdated picks refreshed at most before the most urgent one is taken
MAX_CHANGED_COUNT = 64  # changed destinations picked again in one round; the others follow in the next
MAX_REVALUED_COUNT = 64  # destinations revalued for load shedding in one round at most
STALE_REFRESH_COUNT = 8  # oldest picks refreshed in each round: one far down may have become urgent


class Forwarder(SharedKnowledge):
    """The decisions of one sender, based on its settings and its own events only."""

    @property
    def large_fleet(self) -> bool:
        """Whether each sender sees few calls of an endpoint."""
        return self.settings.replicas >= MANY_SENDERS

    def decide(self, now_us: int, events: list[Event]) -> list[Action]:
        """Process the events of a round and return the resulting actions."""
        if events and all(isinstance(e, TimerFired) and e.token != self.token for e in events):
            return []  # only timers replaced by an earlier one: nothing is due before the armed timer
        self.now, self.actions = now_us, []
        for event in events:
            match event:
                case Accept():
                    self.accept(event)
                case Outcome():
                    self.handle_outcome(event)
                case EndpointListUpdate():
                    self.update_endpoint_list(event)
                case NoteReceived():
                    self.apply_note(event)
                case OutagesRestored():
                    self.restore_outages(event)
                case RetryAfterWaitsReported():
                    self.apply_reported_waits(event)
                case Withdrawn() if event.ref in self.messages:
                    self.end(self.messages[event.ref])
                case TimerFired() if event.token == self.token:
                    self.armed_at = NEVER_US
        if now_us >= self.list_watch.next_request_at:
            self.list_watch.next_request_at = NEVER_US
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
        """Apply what another sender reports: it slows this sender down, or stands in for a trial call."""
        for kind, subject, value in self.gossip.receive(event.peer, event.note, self.now):
            if kind is FactKind.RECOVERED and (returned := self.endpoints_by_digest.get(subject)) is not None:
                awaited = returned.out_since is not None or returned.suspected
                if awaited and self.now - returned.failed_at > value * WAIT_UNIT_US:
                    self.declare_recovered(returned, f"answered sender {event.peer}")
            destination = self.destinations[subject] if subject in self.destinations else Destination()
            for endpoint in destination.endpoints.values():
                if kind is FactKind.CONNECTIONS_SHORT:
                    self.connection_reuse.record_shortage(endpoint.kind, self.now)
                    self.answered |= {e: None for e in self.endpoints.values() if e.kind == endpoint.kind}
                elif (
                    kind is FactKind.REFUSED
                    and not self.settings.kinds.get(endpoint.kind, DestinationKind()).apart
                ):
                    endpoint.shared_limit.record_heard_refusal(self.now, self.gossip.wait_us(value), self.rng)
                    self.begin_cold_after_wait(endpoint, self.gossip.wait_us(value))
            self.mark_changed(subject)

    def accept(self, event: Accept) -> None:
        """Accept a message."""
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
        """Hold a message for its destination until it expires or may not be sent again."""
        destination = self.waiting[message.dest] = self.destinations[message.dest]
        in_turn = message.key is None or self.keys[message.key].may_send(message, self.now)
        destination.held.add(message, message.group_for(in_turn))
        self.mark_changed(message.dest)
        expires_at = message.deadline
        if message.first_attempt_at is not None and message.cls.effect is Effect.KEYED:
            expires_at = min(expires_at, message.first_attempt_at + message.cls.key_ttl_us)
        self.expiries.set(message.ref, self.now if self.cannot_resend(message) else expires_at)

    def update_endpoint_list(self, event: EndpointListUpdate) -> None:
        """Apply an endpoint list update. Draining and removed endpoints get no new calls from now on."""
        if event.scope is UpdateScope.FAILED:
            return self.actions.extend(map(LogLine, self.list_watch.record_failure(self.now, self.rng)))
        self.actions += map(LogLine, self.list_watch.record_update())
        listed_targets = {m.target for m in event.entries}
        if event.scope is UpdateScope.FULL:
            for endpoint in list(self.endpoints.values()):
                if endpoint.target not in listed_targets:
                    self.unlist(endpoint)
        for entry in event.entries:
            known = self.endpoints.get(entry.target)
            if entry.status is not EndpointStatus.LISTED:
                if known is not None:
                    self.unlist(known)
            elif known is None or known.dest != entry.dest:
                if known is not None:  # moved: its old destination must not use it any more
                    self.unlist(known)
                    self.forget_endpoint(known)
                destination = self.destinations[entry.dest]
                self.mark_changed(entry.dest)
                apart = self.settings.kinds.get(entry.kind, DestinationKind()).apart
                limit = (None if apart else destination.shared_limit) or SharedLimit(
                    self.settings, entry.weight, self.initial_rate(), self.now, self.initial_token()
                )
                warm = self.large_fleet and any(e.is_warm(self.now) for e in destination.endpoints.values())
                first = warm and self.rng.random() * (len(destination.endpoints) + 1) < 1
                # As a share of a turn: the endpoint called last counts as passed.
                passed = (destination.last_turn > 0) / max(1, len(destination.endpoints))
                turn = destination.last_turn + self.rng.random() * (1 + passed)
                destination.shared_limit, endpoint = limit, Endpoint(entry, limit, self.settings, turn, first)
                self.endpoints[entry.target] = destination.endpoints[entry.target] = endpoint
                self.endpoints_by_digest[endpoint_digest(entry.target)] = endpoint
                self.restore_outage(endpoint)
                self.restore_wait(endpoint)
                limit.endpoint_count += 1
                self.changed_lists.add(entry.dest)
            else:
                known.listed = True
                self.mark_changed(known.dest)
                if not (known.shared_limit.rate_is_measured or known.shared_limit.reported_limit):
                    known.shared_limit.rate = max(entry.weight, 0.1)
                if self.unlisted.pop(known.target, None) is not None:
                    known.shared_limit.endpoint_count += 1
                    self.changed_lists.add(known.dest)
        priced = self.settings.zone and self.settings.crossing_price
        for state in (self.destinations[n] for n in self.changed_lists if priced and n in self.destinations):
            routes = [e for e in state.endpoints.values() if e.listed]
            assign_shares(routes, self.settings.zone, self.settings.zones, state.last_turn)
        self.changed_lists.clear()

    def initial_token(self) -> float:
        """Return the initial tokens of a paced limit: random in a large fleet, which may start at once."""
        return self.startup_rng.random() if self.large_fleet else 1.0

    def update_measured_rate(self, destination: Destination) -> None:
        """Estimate the rate of a destination without a configured one: own answered calls times senders.

        Over all senders it adds up to what the destination answers: each is paced at about its own rate, or
        at one call per age of its work. Outages and slow starts do not count: they do not change what the
        destination can take."""
        for endpoint in destination.endpoints.values():
            limit = endpoint.shared_limit
            if endpoint.out_since is not None or endpoint.ramp_from is not None:
                limit.own_rate.updated_at = self.now
            elif limit.rate_is_measured:
                limit.rate = max(
                    limit.own_rate.rate(self.now, self.initial_rate()) * self.settings.replicas, 0.1
                )

    def handle_outcome(self, event: Outcome) -> None:
        """Handle the end of an attempt: evaluate its call once, then settle the message."""
        call, message = self.attempts.pop((event.ref, event.attempt_number), (None, None))
        if call is None or message is None:
            return
        message.attempts_out.discard(event.attempt_number)
        self.mark_changed(call.endpoint.dest)
        wait_until = self.now + event.wait_us + 1 if event.wait_us else 0  # may differ by message (h80106d)
        call.endpoint.shared_limit.opens_at = max(call.endpoint.shared_limit.opens_at, wait_until)
        if wait_until:
            self.record_told_wait(call.endpoint, wait_until)
        if event.reported_limit:
            call.endpoint.shared_limit.record_reported_limit(event.reported_limit)
        if not call.learned_from:
            call.learned_from = True
            self.learn_from_call(call, event)
        del call.attempts[event.ref, event.attempt_number]
        if not call.attempts:
            for calls in (call.endpoint.calls, call.endpoint.shared_limit.calls):
                calls.remove(call)
            del self.calls[call]
            self.overdue_at.drop(call)
            for tracked in (self.overdue, self.trials):
                tracked.pop(call, None)
            if not (call.endpoint.listed or call.endpoint.calls):
                self.removals.set(call.endpoint, self.now)
            if event.result in (Result.OK, Result.ERROR, Result.FULL):  # the connection stays open and idle
                call.endpoint.idle = [*call.endpoint.idle[-int(call.endpoint.window.max_size) :], self.now]
                self.answered[call.endpoint] = None
        self.schedule_silence_check(call.endpoint)
        may_have_run = event.result not in (Result.OK, Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
        if may_have_run and (message.first_attempt_at is None or call.sent_at < message.first_attempt_at):
            # The lifetime of an idempotency key starts here.
            message.first_attempt_at, message.first_attempt_zone = call.sent_at, call.endpoint.zone
        if message.key is not None:
            key_queue = self.keys[message.key]
            key_queue.attempts_out -= 1
            if event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED) and self.settings.key_rest_us:
                key_queue.resting_until = self.now + self.settings.key_rest_us
                self.key_rests.set(message.key, key_queue.resting_until)
        if event.message_ended or event.result is Result.OK:
            self.end(message)
        elif message.ref in self.messages and not message.attempts_out:
            self.hold_message(message)
        if message.key is not None:
            self.refresh_key(message.key)

    def close_idle(self) -> None:
        """Close connections that will hardly be used again within their keep-alive time."""
        for endpoint in self.answered:
            if self.connection_reuse.is_rarely_reused(
                endpoint.kind, endpoint.even_rate() / self.settings.replicas, self.now
            ):
                self.disconnect(endpoint)
        self.answered.clear()

    def disconnect(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        if endpoint.idle:
            endpoint.idle = []
            self.actions.append(Disconnect(endpoint.target))

    def learn_from_call(self, call: Call[Endpoint], event: Outcome) -> None:
        """Update the endpoint, its limit, both windows and the statistics from the result of a call."""
        endpoint, limit, kind, now = call.endpoint, call.endpoint.shared_limit, call.endpoint.kind, self.now
        expected_calls = limit.rate / self.settings.replicas * OUTAGE_EVIDENCE_S  # of this sender
        if event.result in (Result.OK, Result.TIMEOUT):
            self.zone_times.setdefault(endpoint.zone, RunningMean(SMOOTHING)).add(event.latency_us)
        match event.result:
            case Result.OK:
                limit.record_answer()
                limit.own_rate.count += endpoint.out_since is None and endpoint.ramp_from is None
                self.connection_reuse.record_answer(kind, call.connects)
                if endpoint.out_since is not None:
                    self.gossip.record_recovery(endpoint.target)
                    self.declare_recovered(endpoint, "answers again")
                elif endpoint.suspected and endpoint.reinstate(now, call.sent_at, self.confirmed(endpoint)):
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
                self.refusal_times.setdefault(endpoint.zone, RunningMean(SMOOTHING)).add(event.latency_us)
                short = not event.wait_us and self.connection_reuse.record_refusal(kind, call.connects, now)
                already_known = call.sent_at <= limit.last_refusal_at
                self.gossip.record_refusal(endpoint.dest, event.wait_us, short, already_known, now)
                accepted_at = min((m.accepted_at for m in call.attempts.values()), default=now)
                senders, _ = self.active_senders(endpoint, accepted_at)
                limit.record_refusal(now, call.sent_at, event.wait_us, senders, short, self.rng)
                self.begin_cold_after_wait(endpoint, event.wait_us)
                if limit.refusals >= max(OUTAGE_REFUSAL_COUNT, REFUSALS_PER_SENDER * self.settings.replicas):
                    self.declare_outage(endpoint, "refuses all calls", now)
                if endpoint.out_since is not None:
                    endpoint.failure_confirmed = True
            case Result.TIMEOUT | Result.RESET if call.idle_us > MIN_IDLE_LIMIT_US and (
                expected_calls < 1 or endpoint.answered_at > call.sent_at
            ):
                # A connection dropped while idle fails like this. It is assumed where others are answered or
                # own calls are too rare to tell. On a new connection a hang is detected one call later.
                self.connection_reuse.record_drop(kind, call.idle_us)
                self.disconnect(endpoint)
            case Result.CANCELLED if endpoint.out_since is not None:  # counts as a failure: the call had hung
                endpoint.failure_confirmed = True
            case Result.ERROR | Result.TIMEOUT | Result.RESET | Result.CONNECT_FAILED:
                if event.result is Result.CONNECT_FAILED and endpoint.consecutive_failures == 0:
                    self.connection_reuse.record_drop(kind)  # the endpoint may have no connection left
                endpoint.record_failure(now, call.sent_at)
                endpoint.window.cut(now, call.sent_at)
                if event.result is Result.ERROR:
                    limit.window.cut(now, call.sent_at)
                else:
                    endpoint.idle = []
                if endpoint.consecutive_failures >= min(OUTAGE_FAILURE_COUNT, max(1, round(expected_calls))):
                    self.declare_outage(endpoint, f"calls end with {event.result.value}", call.sent_at)

    def confirmed(self, endpoint: Endpoint) -> bool:
        """Return whether a call failed in the outage of its destination, which may otherwise just be slow."""
        affected = (e for e in self.limit_group(endpoint) if e.out_since is not None or e.suspected)
        return any(e.failure_confirmed for e in affected)

    def declare_recovered(self, endpoint: Endpoint, reason: str) -> None:
        """End the outage of a destination because an endpoint answers again, here or at another sender.

        Endpoints not called meanwhile start slowly too: otherwise they would receive all held messages."""
        group = self.limit_group(endpoint)
        confirmed = self.confirmed(endpoint)
        began_at = endpoint.began_at
        for other in group:
            if other.out_since is None and not other.suspected:
                continue  # already in a slow start, or answered in the meantime
            cause = reason if other is endpoint else f"{endpoint.target} answers again"
            other.end_outage(self.now, confirmed, self.rng)
            self.schedule_silence_check(other)
            start_text = "slow start" if confirmed else "no slow start because no call failed"
            self.actions.append(
                LogLine(
                    f"{other.target}: {cause}, {start_text}; destination {other.dest}, out for "
                    f"{(self.now - began_at) / SECOND_US:.1f} s, {other.trials_sent} trial calls, "
                    f"{self.share_text(other)}"
                )
            )
        self.mark_changed(endpoint.dest)

    def suspect_siblings(self, endpoint: Endpoint) -> None:
        """Suspect the siblings of a failed endpoint, as an outage usually affects a whole destination.

        Until they answer they are called as if cold: otherwise they would receive all held messages."""
        for other in self.limit_group(endpoint):
            answered_since = other.answered_at > endpoint.first_failure_at
            if not answered_since and not other.is_recovering(self.now):
                other.begin_suspicion(self.now, self.rng)
                self.recovering[other] = None

    def declare_outage(self, endpoint: Endpoint, reason: str, since: int) -> None:
        """Declare an outage of an endpoint: from now on it gets spaced trial calls only."""
        if endpoint.out_since is None:
            endpoint.begin_outage(self.now, since, self.rng)
            self.recovering[endpoint] = None
            endpoint.failure_confirmed = endpoint.consecutive_failures > 0
            if endpoint.consecutive_failures == 0:
                endpoint.first_failure_at = since
            self.suspect_siblings(endpoint)
            self.mark_changed(endpoint.dest)
            next_s = (endpoint.next_send(self.now, None) - self.now) / SECOND_US
            self.actions.append(
                LogLine(
                    f"{endpoint.target}: outage, {reason}; destination {endpoint.dest}, "
                    f"next trial call in {next_s:.1f} s, {self.share_text(endpoint)}"
                )
            )

    def detect_silence(self) -> None:
        """Declare an outage for calls that are overdue without a later answer, before their time-out."""
        for endpoint in self.silences.due(self.now):
            if endpoint.out_since is None and self.now >= endpoint.silence_due_at():
                endpoint.window.cut(self.now, endpoint.calls[0].sent_at)
                self.declare_outage(endpoint, "silent for too long", endpoint.calls[0].sent_at)
        for call in self.overdue_at.due(self.now):
            if (overdue_at := call.sent_at + int(call.endpoint.silence_us()) + 1) > self.now:
                self.overdue_at.set(call, overdue_at)  # the mean answer time has grown in the meantime
                continue
            self.overdue[call] = None
            self.mark_changed(call.endpoint.dest)  # the call may no longer hold a permit

    def schedule_silence_check(self, endpoint: Endpoint) -> None:
        """Schedule the next silence check after a change of the calls or the answer times."""
        if endpoint.out_since is None and (at := endpoint.silence_due_at()) < NEVER_US:
            self.silences.set(endpoint, at)
        else:
            self.silences.drop(endpoint)
        if endpoint.calls and endpoint.calls[0] not in self.overdue:
            self.overdue_at.set(endpoint.calls[0], endpoint.calls[0].sent_at + int(endpoint.silence_us()) + 1)

    def cannot_resend(self, message: Message) -> bool:
        """Return whether a message may not be sent again. The only place that decides this."""
        effect, first_attempt_at = message.cls.effect, message.first_attempt_at
        repeatable = (
            first_attempt_at is None
            or effect is Effect.SAFE
            or (effect is Effect.KEYED and self.now < first_attempt_at + message.cls.key_ttl_us)
        )
        return message.attempts_made >= self.settings.try_limit or not repeatable

    def sendable_at(self, endpoint: Endpoint) -> int:
        """Return when an endpoint may be called. The only place that decides whether and when."""
        limit, now = endpoint.shared_limit, self.now
        if not endpoint.listed or limit.opens_at > now:
            return limit.opens_at if endpoint.listed else NEVER_US
        if endpoint.out_since is not None:
            if len(limit.calls) >= limit.window.max_size:
                return NEVER_US
            slots = self.settings.slots
            if len(self.calls) > slots * SCARCITY and len(self.trials) >= max(1, int(slots * TRIAL_SHARE)):
                return max(self.now + int(MIN_TRIAL_INTERVAL_S * SECOND_US), endpoint.next_send(now, None))
        elif (
            is_window_full(limit.window, limit.calls, now)
            or is_window_full(endpoint.window, endpoint.calls, now)
            or (endpoint.suspected and endpoint.calls)
        ):
            overdue_times = (c.sent_at + int(c.endpoint.silence_us()) + 1 for c in limit.calls)
            return min((at for at in overdue_times if at > now), default=NEVER_US)
        count, known = self.active_senders(endpoint, self.destinations[endpoint.dest].held.oldest_accepted_at)
        informed = known and self.gossip.listened_long_enough(now)
        return max(limit.next_token(now, count, known), endpoint.next_send(now, count if informed else None))

    def pick_next(self, destination: Destination) -> None:
        """Pick the next message of a destination and its endpoint. The only place that does so.

        Within a message group the most urgent one is next to a few deadlines: long queues cost no more."""
        now, destination.pick = self.now, None
        openings = [(self.sendable_at(e), e) for e in destination.endpoints.values()]
        destination.next_opening_at = min((at for at, _ in openings if at > now), default=NEVER_US)
        routes = [e for at, e in openings if at <= now]
        if len(routes) > 1:
            latencies = (
                (e.latency(now), e.answer_time.standard_error() * self.large_fleet)
                for e in routes
                if e.answer_time.mean
            )
            fastest = min(latencies, key=sum, default=(1.0, 0.0))
            for passed in (e for e in routes if e.next_turn <= destination.last_turn):
                passed.next_turn = destination.last_turn + self.rng.random() * passed.turn_interval
            extra = self.large_fleet and (
                sum(e.is_warm(now) for e in routes) + 1
            ) * CALLS_PER_EXTRA_CONNECTION * SECOND_US <= (destination.rate * self.settings.keepalive_us)
            routes.sort(key=lambda e: (e.rank(now, extra) + self.route_penalty(e, fastest), e.next_turn))
        drain_us = self.drain_us(destination) if routes else 0
        best: tuple[int, float] | None = None
        for cls, zone, group in destination.held.sendable() if routes else ():
            if (route := next((e for e in routes if zone in ("", e.zone)), None)) is None:
                continue
            trial_order = 0 if route.out_since is None else TRIAL_EFFECT_ORDER.index(cls.effect)
            answer_at, refusal_at = now + int(route.answer_time.mean), now + self.expected_refusal_us(route)
            for message in group.around(urgency_breakpoints(cls, answer_at, drain_us, self.settings.halves)):
                if message.deadline <= refusal_at:
                    continue  # it would end before a refusal arrives, whose retry-after wait would be lost
                key = trial_order, self.urgency(message, answer_at, drain_us)
                if best is None or key > best:
                    best, destination.pick = key, (key[1], message, route)

    def expected_refusal_us(self, endpoint: Endpoint) -> float:
        """Return the time within which refusals from the endpoint's zone usually arrive."""
        times = self.refusal_times.get(endpoint.zone)
        return min(times.mean + REFUSAL_DEVIATION_FACTOR * times.deviation, MAX_REFUSAL_US) if times else 0.0

    def route_penalty(self, endpoint: Endpoint, fastest: tuple[float, float]) -> float:
        """Return what counts against an endpoint besides its rank, in in-flight calls: fee and latencies.

        Zones count as calls per endpoint are too rare to learn from; a dominant slow destination misleads."""
        apart = self.settings.kinds.get(endpoint.kind, DestinationKind()).apart
        penalty = ZONE_FEE_CALLS * self.settings.zone_fees.get(endpoint.zone, 0.0) if apart else 0.0
        if not endpoint.call_share:
            penalty += CROSSING_CALLS * self.settings.crossing_price
        if endpoint.answer_time.mean:
            latency = endpoint.latency(self.now), endpoint.answer_time.standard_error()
            penalty += SLOWNESS_CALLS * excess(latency, fastest, ENDPOINT_ERRORS * self.large_fleet)
        zones = {
            name: (zone.mean, zone.standard_error() * self.large_fleet)
            for name, zone in self.zone_times.items()
        }
        best = min(zones.values(), key=sum, default=(1.0, 0.0))
        scarce = 1 + FULL_SLOTS_ZONE_FACTOR * len(self.calls) / self.settings.slots  # far calls last longer
        return penalty + excess(zones.get(endpoint.zone, best), best, ZONE_ERRORS * self.large_fleet) * scarce

    def drain_us(self, destination: Destination) -> int:
        """Estimate how long the held messages need to drain at the rates of the limits and active senders."""
        since, routes = destination.held.oldest_accepted_at, destination.endpoints.values()
        rate = sum((e.shared_limit.pace or e.even_rate()) / self.active_senders(e, since)[0] for e in routes)
        return int(min(max(MIN_DRAIN_S, len(destination.held) / max(rate, 0.1)), MAX_DRAIN_S) * SECOND_US)

    def urgency(self, message: Message, answer_at: int, drain_us: int) -> float:
        """Return the worth lost if a message waits as long as the held messages need to drain."""
        halves = self.settings.halves
        worth_now = message.value(answer_at, halves)
        loss = worth_now - message.value(answer_at + drain_us, halves)
        age = 1 - (message.deadline - self.now) / message.cls.deadline_us
        return loss + 0.1 * worth_now * (1 + age)

    def refresh_pick(self, number: int) -> None:
        """Refresh the pick of a destination and its position among the ready destinations."""
        if (destination := self.waiting.get(number)) is None:
            self.ready.drop(number)
            self.openings.drop(number)
            return
        self.pick_next(destination)
        if destination.pick is None:
            self.ready.drop(number)
            self.openings.set(number, destination.next_opening_at)
        else:
            self.ready.set(number, (-destination.pick[0], number), self.now)
            self.openings.drop(number)

    def dispatch(self) -> None:
        """Send while slots and permits are available, the most urgent message of all destinations first."""
        if len(self.calls) >= self.settings.slots and not self.overdue:
            return  # no slot is free, and no call is overdue enough to be cancelled
        for number in dict.fromkeys([*islice(self.changed, MAX_CHANGED_COUNT), *self.openings.due(self.now)]):
            self.changed.pop(number, None)
            self.refresh_pick(number)
        stale = self.now - PICK_VALIDITY_US  # urgencies change: the first and the oldest picks are refreshed
        self.ready.refresh(stale, STALE_REFRESH_COUNT, self.refresh_pick)
        while len(self.calls) < self.settings.slots:
            if (first := self.ready.first_refreshed(stale, MAX_REFRESHES, self.refresh_pick)) is None:
                break
            destination = self.destinations[first]
            if destination.pick is not None:
                self.send(destination, *destination.pick[1:])
            self.changed.pop(first, None)
            self.refresh_pick(first)
        self.cancel_stuck_calls()

    def cancel_stuck_calls(self) -> None:
        """Cancel overdue calls to silent endpoints while all slots are taken and other messages are ready.

        Otherwise these and trials take all slots. Late answers are lost: unrepeatable calls get longer."""
        now, stuck = self.now, list[tuple[bool, int, int, Call[Endpoint]]]()
        choices = (self.destinations[n].pick for n in self.ready) if self.overdue else ()
        healthy = (c for c in choices if c is not None and c[2].out_since is None)
        wanted_slots = sum(1 for _ in islice(healthy, len(self.overdue)))
        for call in (c for c in self.overdue if wanted_slots and not c.cancelled):
            unsafe = any(m.cls.effect is Effect.UNSAFE or m.cls.same_zone for m in call.attempts.values())
            is_out, answered = call.endpoint.out_since is not None, call.endpoint.answered_at > call.sent_at
            allowed_us = call.endpoint.silence_us() * (UNSAFE_CANCEL_SILENCE_FACTOR if unsafe else 1)
            if now - call.sent_at >= allowed_us and (answered or is_out):
                stuck.append((unsafe, call.sent_at, len(stuck), call))
        for *_, call in sorted(stuck)[: wanted_slots if self.settings.cancel else 0]:
            call.cancelled = True
            self.actions += [Cancel(ref, attempt_number) for ref, attempt_number in call.attempts]

    def send(self, destination: Destination, first: Message, endpoint: Endpoint) -> None:
        """Start a call with the given message and others that can travel with it."""
        trial, limit = endpoint.out_since is not None, endpoint.shared_limit
        if self.large_fleet:  # in a small fleet each sender keeps its random order, and sees many calls
            destination.last_turn, endpoint.preferred = endpoint.next_turn, False
            endpoint.next_turn += endpoint.turn_interval
        call = Call(endpoint, self.now, not endpoint.idle and not endpoint.shares_connection())
        if limit.pace is not None:
            limit.bucket.tokens -= 1
        endpoint.record_send(self.now)
        if trial:
            self.trials[call] = None
        if endpoint.idle and not endpoint.shares_connection():
            call.idle_us = self.now - endpoint.idle[0]
            if call.idle_us > self.connection_reuse.idle_limit_us[endpoint.kind]:
                self.disconnect(endpoint)
                call.idle_us, call.connects = 0, True
            endpoint.idle = endpoint.idle[:-1]
        endpoint.calls.append(call)
        limit.calls.append(call)
        self.calls[call] = None
        max_count = 1 if trial else self.settings.kinds.get(endpoint.kind, DestinationKind()).batch
        for message in self.take_batch(first, endpoint, destination, max_count):
            attempt_number, message.attempts_made = message.attempts_made, message.attempts_made + 1
            call.attempts[message.ref, attempt_number] = message
            message.attempts_out.add(attempt_number)
            self.attempts[message.ref, attempt_number] = call, message
            if message.key is not None:
                self.keys[message.key].attempts_out += 1
            timeout_us = message.deadline - self.now
            if message.cls.effect is not Effect.UNSAFE:
                timeout_us = min(timeout_us, int(endpoint.silence_us() * TIMEOUT_SILENCE_FACTOR))
            self.actions.append(Send(message.ref, endpoint.target, max(1, timeout_us)))
        self.overdue_at.set(call, self.now + int(endpoint.silence_us()) + 1)
        self.schedule_silence_check(endpoint)

    def take_batch(
        self, first: Message, endpoint: Endpoint, destination: Destination, max_count: int
    ) -> list[Message]:
        """Release the messages of one call: the first one and the most urgent that may join it."""
        taken, answer_at, drain_us = (
            [first],
            self.now + int(endpoint.answer_time.mean),
            self.drain_us(destination),
        )
        self.release(first)
        while len(taken) < max_count and destination.held:
            others = [
                m
                for cls, zone, group in destination.held.sendable()
                if zone in ("", endpoint.zone)
                for m in group.around(urgency_breakpoints(cls, answer_at, drain_us, self.settings.halves))
            ]
            if not others:
                break
            taken.append(max(others, key=lambda m: self.urgency(m, answer_at, drain_us)))
            self.release(taken[-1])
        return taken

    def expire(self) -> None:
        """End messages that cannot be delivered any more: expired, or not to be sent again."""
        for ref in self.expiries.due(self.now):
            if (message := self.messages.get(ref)) is None:
                continue
            if self.now >= message.deadline or (not message.attempts_out and self.cannot_resend(message)):
                self.give_up(message)
            else:
                self.expiries.set(ref, message.deadline)

    def shed(self) -> None:
        """Refuse the least valuable messages of a nearly full sender; a full one refuses any new message."""
        if len(self.messages) <= self.settings.most_held * SHED_START_SHARE:
            if len(self.messages) <= self.settings.most_held * SHED_END_SHARE:
                self.by_worth.clear()
                self.changed_worth.clear()
            return
        if not self.by_worth:
            self.changed_worth = dict.fromkeys(self.waiting)
        for changed in list(islice(self.changed_worth, MAX_REVALUED_COUNT)):
            del self.changed_worth[changed]
            self.revalue(changed)
        while len(self.messages) > self.settings.most_held * SHED_START_SHARE:
            if (number := self.by_worth.first_refreshed(self.now - 1, MAX_REFRESHES, self.revalue)) is None:
                return
            if (least := self.cheapest(self.destinations[number])) is not None:
                self.give_up(least)
            self.revalue(number)

    def revalue(self, number: int) -> None:
        """Refresh the position of a destination by its least valuable message."""
        if (destination := self.waiting.get(number)) is None or (least := self.cheapest(destination)) is None:
            self.by_worth.drop(number)
            return
        worth = least.value(self.now + self.drain_us(destination), self.settings.halves)
        self.by_worth.set(number, (worth, -least.deadline, number), self.now)

    def cheapest(self, destination: Destination) -> Message | None:
        """Return the held message with the least worth once the others have drained; of equals, the latest.

        In each group: the last one to expire by then, else the oldest one that loses worth, else the last."""
        drained_at, halves = self.now + self.drain_us(destination), self.settings.halves
        candidates = list[Message]()
        for group in destination.held.refusable():
            expired, losing = group.before(drained_at), group[0].target_at < drained_at
            candidates.append(group[expired - 1] if expired else group[0] if losing else group[-1])
        return min(candidates, key=lambda m: (m.value(drained_at, halves), -m.deadline), default=None)

    def may_refuse(self, message: Message) -> bool:
        """Return whether a message may be refused: a refusal promises that a retry is safe."""
        cls = message.cls
        repeatable = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and not cls.same_zone)
        return not message.attempts_out and (message.first_attempt_at is None or repeatable)

    def give_up(self, message: Message) -> None:
        """Send the final answer: a refusal with a retry-after time where a retry is safe, else a failure."""
        if self.may_refuse(message):
            endpoints = self.destinations[message.dest].endpoints.values()
            wait_us = min((e.shared_limit.opens_at for e in endpoints), default=0) - self.now
            self.actions.append(
                Refuse(message.ref, min(max(wait_us, SECOND_US), self.settings.max_come_back_us))
            )
        else:
            self.actions.append(Fail(message.ref))
        self.end(message)

    def arm_timer(self) -> None:
        """Keep one timer armed for the next event that is due."""
        full = len(self.calls) >= self.settings.slots
        queues = (self.expiries, self.silences, self.key_rests, self.overdue_at if full else self.openings)
        due_times = [self.list_watch.next_request_at, self.gossip.next_report_at()]
        due_times += [at for a in queues if (at := a.next_at()) is not None]
        due_times += [self.now + 1] if self.changed and not full else []
        earliest = min((t for t in due_times if t > self.now), default=NEVER_US)
        if earliest < self.armed_at and earliest < NEVER_US:
            self.token, self.armed_at = self.token + 1, earliest
            self.actions.append(ArmTimer(earliest - self.now, self.token))
