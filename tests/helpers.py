"""Helpers shared by the tests: settings, events and a driver that acts as the caller of a forwarder."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from rowanspindle import (
    Accept,
    Action,
    ArmTimer,
    DestinationKind,
    Effect,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    Forwarder,
    LogLine,
    MessageClass,
    Outcome,
    Refuse,
    Result,
    Send,
    Settings,
    TimerFired,
    UpdateScope,
)

SECOND_US = 1_000_000

SAFE = MessageClass("safe", 2 * SECOND_US, 20 * SECOND_US, 1.0, 0.3, Effect.SAFE)
KEYED = MessageClass("keyed", 2 * SECOND_US, 20 * SECOND_US, 2.0, 0.4, Effect.KEYED, key_ttl_us=5 * SECOND_US)
UNSAFE = MessageClass("unsafe", 2 * SECOND_US, 20 * SECOND_US, 4.0, 0.5, Effect.UNSAFE)
ORDERED = MessageClass(
    "ordered", 2 * SECOND_US, 20 * SECOND_US, 2.0, 0.5, Effect.KEYED, key_ttl_us=30 * SECOND_US, ordered=True
)
ZONED = MessageClass(
    "zoned", 2 * SECOND_US, 20 * SECOND_US, 2.0, 0.5, Effect.KEYED, same_zone=True, key_ttl_us=5 * SECOND_US
)

BASE = Settings(
    classes={c.name: c for c in (SAFE, KEYED, UNSAFE, ORDERED, ZONED)},
    slots=12,
    most_held=200,
    tenants={"a": 100.0, "b": 10.0},
    kinds={
        "plain": DestinationKind(),
        "batch": DestinationKind(batch=5),
        "apart": DestinationKind(apart=True),
    },
)


def endpoint_entry(
    target: str,
    dest: int = 1,
    kind: str = "plain",
    zone: str = "z",
    status: EndpointStatus = EndpointStatus.LISTED,
    weight: float = 10.0,
) -> EndpointEntry:
    return EndpointEntry(target, zone, kind, dest, status, weight)


class Caller:
    """Drives one forwarder: numbers its attempts, runs its timers and records its actions."""

    def __init__(self, *members: EndpointEntry, **changes: object) -> None:
        self.forwarder = Forwarder(replace(BASE, **changes), 7)  # type: ignore[arg-type]
        self.now = 1000 * SECOND_US
        self.timers: dict[int, int] = {}
        self.attempts_sent: dict[int, int] = {}
        self.attempts_in_flight: dict[tuple[int, int], str] = {}
        self.ended: dict[int, str] = {}
        self.log: list[tuple[int, Action]] = []
        self.next_ref = 0
        self.watch: Callable[[int, Action], None] = lambda now, action: None
        self.step(EndpointListUpdate(UpdateScope.FULL, members or (endpoint_entry("t1"),)))

    def step(self, *events: Event) -> list[Action]:
        """Pass one batch of events at the current time. Returns the actions."""
        actions = self.forwarder.decide(self.now, list(events))
        for action in actions:
            self.log.append((self.now, action))
            self.watch(self.now, action)
            match action:
                case Send():
                    attempt_number = self.attempts_sent.get(action.ref, 0)
                    self.attempts_sent[action.ref] = attempt_number + 1
                    self.attempts_in_flight[action.ref, attempt_number] = action.target
                case Refuse() | Fail():
                    assert action.ref not in self.ended, f"message {action.ref} got two final answers"
                    self.ended[action.ref] = type(action).__name__
                case ArmTimer():
                    assert action.after_us > 0
                    self.timers[action.token] = self.now + action.after_us
        return actions

    def wait(self, us: int) -> list[Action]:
        """Advance the clock by `us`, firing the timers in order. Returns the actions."""
        until, actions = self.now + us, []
        while True:
            due = min(((t, k) for k, t in self.timers.items() if t <= until), default=None)
            if due is None:
                break
            self.now = max(self.now, due[0])
            del self.timers[due[1]]
            actions += self.step(TimerFired(due[1]))
        self.now = until
        return actions

    def accept(
        self,
        cls: str = "safe",
        dest: int = 1,
        left_us: int = 20 * SECOND_US,
        tenant: str | None = "a",
        key: str | None = None,
    ) -> int:
        self.next_ref += 1
        self.step(Accept(self.next_ref, cls, dest, left_us, tenant, key))
        return self.next_ref

    def end(
        self,
        ref: int,
        result: Result = Result.OK,
        latency_us: int = 200_000,
        wait_us: int = 0,
        limit: float | None = None,
    ) -> list[Action]:
        """End the last attempt of a message. Returns the actions."""
        attempt_number = self.attempts_sent[ref] - 1
        target = self.attempts_in_flight.pop((ref, attempt_number))
        if result is Result.OK:
            self.ended.setdefault(ref, "Ok")
        return self.step(
            Outcome(
                ref, attempt_number, target, result, latency_us, result is Result.OK, wait_us, None, limit
            )
        )

    def is_out(self, ref: int) -> bool:
        return any(r == ref for r, _ in self.attempts_in_flight)

    def sends(self, since: int = 0) -> list[tuple[int, Send]]:
        return [(t, a) for t, a in self.log if isinstance(a, Send) and t >= since]

    def logs(self) -> list[str]:
        return [a.text for _, a in self.log if isinstance(a, LogLine)]
