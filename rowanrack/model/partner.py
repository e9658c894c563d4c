"""Partners: destinations with a true limit, and their places (instances) with capacity, queues and outages.

A partner's figures are never told to a sender, but for the rate that the list gives.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from rowanrack.model.engine import SECOND_US, Engine
from rowanrack.model.history import Entry, History

BURST_S = 1.0  # seconds of a plain rate that may come at once
REFUSE_US = 2000.0  # that a refusal takes
FALLEN_US = 10 * SECOND_US  # for which one that was pushed over stays down
SLACK = 3  # calls by chance in the window in which a cold place may be pushed over


class State(Enum):
    """What a place is at, beside being slow or cold."""

    UP = "up"
    SILENT = "silent"  # no reset, no answer; new connections never come up
    DOWN = "down"  # connections are refused, open ones are reset
    SHUT = "shut"  # refuses every call
    FAILING = "failing"  # answers every call with an error


@dataclass(frozen=True)
class Answer:
    """What a place answers: a status, and a told wait in microseconds with a refusal."""

    status: int
    wait_us: int = 0


@dataclass
class Figures:
    """The true figures of one partner."""

    limit: str  # "rate", "window" or "none"
    rate: float  # calls a second that the limit allows, from all senders together
    window_us: int
    told: float  # share of refusals that tell a wait
    wait_us: tuple[int, int]
    counts_refused: bool  # refused calls use the limit up
    service_us: float  # mean time of a call
    spread: float  # coefficient of variation of it
    width: int  # calls that a place serves at once
    depth: int  # calls that its queue holds
    connections: int  # that a place takes, idle ones counted; 0: any number
    handshake_us: float  # work of a new connection
    cold_share: float
    ramp_us: int
    overload: float
    fall_us: int
    runs_on: float  # chance that a call in service runs on when its connection is closed


class Limit:
    """What a partner takes from all senders together: a plain rate, or a count in a fixed span."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.tokens, self.filled_at = self.most(), 0
        self.span, self.count = -1, 0

    def most(self) -> float:
        """Calls that may come at once."""
        return max(2.0, self.figures.rate * BURST_S)

    def take(self, now: int) -> int:
        """0 if a call is within the limit, else the time in microseconds until there is room again."""
        figures = self.figures
        if figures.limit == "none":
            return 0
        if figures.limit == "window":
            span = now // figures.window_us
            if span != self.span:
                self.span, self.count = span, 0
            allowed = max(1, int(figures.rate * figures.window_us / SECOND_US))
            within = self.count < allowed
            self.count += within or figures.counts_refused
            return 0 if within else (span + 1) * figures.window_us - now
        self.tokens = min(self.most(), self.tokens + figures.rate * (now - self.filled_at) / SECOND_US)
        self.filled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        if figures.counts_refused:
            self.tokens = max(-self.most(), self.tokens - 1)
        return math.ceil((1 - self.tokens) / figures.rate * SECOND_US)


class Visit:
    """A call at a place: the whole of it has come."""

    def __init__(self, sender: int, message: str, leg: int, answer: Callable[[Answer], None]) -> None:
        self.sender, self.message, self.leg, self.answer = sender, message, leg, answer
        self.gone = False  # its connection has been closed


class Place:
    """One instance of a partner."""

    def __init__(self, name: str, zone: str, partner: Partner) -> None:
        self.name, self.zone, self.partner = name, zone, partner
        self.state, self.slow = State.UP, 1.0
        self.connections = 0
        self.opened = self.turned_away = 0  # connections so far, and calls refused as there were too many
        self.queue: deque[Visit] = deque()
        self.busy: dict[Visit, None] = {}
        self.cold_from: int | None = None
        self.saw: set[int] = set()  # senders that saw it fail or refuse in its last outage
        self.lately: deque[tuple[int, int]] = deque()  # calls since it came back cold: time and sender
        self.fallen = False

    def share(self, now: int) -> float:
        """What part of its capacity it has: less while it is cold."""
        figures = self.partner.figures
        if self.cold_from is None:
            return 1.0
        gone = (now - self.cold_from) / figures.ramp_us
        if gone >= 1:
            self.cold_from = None
            return 1.0
        return figures.cold_share + (1 - figures.cold_share) * gone

    def room(self) -> bool:
        """Whether it takes one more connection."""
        return not self.partner.figures.connections or self.connections < self.partner.figures.connections

    def visit(self, visit: Visit) -> None:
        """A call has come whole."""
        partner, engine = self.partner, self.partner.engine
        if self.state is State.SILENT:
            self.saw.add(visit.sender)
            return
        if self.state is State.FAILING:
            self.saw.add(visit.sender)
            engine.after(partner.service_us() / 2, lambda: visit.answer(Answer(500)))
            return
        if self.state is not State.DOWN:
            self._push(visit.sender)
        if self.state is State.DOWN:
            visit.answer(Answer(0))
            return
        if self.state is State.SHUT:
            self.saw.add(visit.sender)
            self._refuse(visit, max(0, partner.opens_at - engine.now))
        elif (wait := partner.limit.take(engine.now)) > 0:
            self._refuse(visit, wait)
        elif len(self.busy) >= partner.figures.width and len(self.queue) >= partner.figures.depth:
            self._refuse(visit, 0)
        elif len(self.busy) >= partner.figures.width:
            self.queue.append(visit)
        else:
            self._serve(visit)

    def _refuse(self, visit: Visit, room_us: int) -> None:
        """Full: with a told wait, which is over when there is room again, or without."""
        partner = self.partner
        wait = 0
        if partner.rng.random() < partner.figures.told:
            low, high = partner.figures.wait_us
            wait = max(room_us, int(low + (high - low) * partner.rng.random()))
        partner.engine.after(REFUSE_US, lambda: visit.answer(Answer(429 if wait else 503, wait)))

    def _serve(self, visit: Visit) -> None:
        self.busy[visit] = None
        time_us = (
            self.partner.service_us() * self.slow * self.partner.slow / self.share(self.partner.engine.now)
        )
        self.partner.engine.after(time_us, lambda: self._served(visit))

    def _served(self, visit: Visit) -> None:
        if visit not in self.busy:
            return  # it was lost with the place
        del self.busy[visit]
        partner = self.partner
        if not visit.gone or partner.rng.random() < partner.figures.runs_on:
            at = partner.engine.now
            partner.history.add(
                Entry(at, "ran", visit.sender, visit.message, visit.leg, self.name, partner.dest)
            )
        if self.state is not State.SILENT:
            visit.answer(Answer(200))
        while self.queue and len(self.busy) < partner.figures.width:
            if not (waiting := self.queue.popleft()).gone:
                self._serve(waiting)

    def _push(self, sender: int) -> None:
        """A cold place that is sent far more than it can do falls over, and stays down for a while."""
        figures, engine = self.partner.figures, self.partner.engine
        share = self.share(engine.now)
        if share >= 1:
            return
        self.lately.append((engine.now, sender))
        while self.lately[0][0] < engine.now - figures.fall_us:
            self.lately.popleft()
        bears = figures.overload * share * self.partner.capacity() / len(self.partner.places)
        if len(self.lately) > bears * figures.fall_us / SECOND_US + SLACK:
            knew = 100 * sum(who in self.saw for _, who in self.lately) // len(self.lately)
            self.partner.history.add(
                Entry(engine.now, "fell", place=self.name, dest=self.partner.dest, value=knew)
            )
            self.lately.clear()
            self.strike(State.DOWN)
            self.fallen = True
            engine.after(FALLEN_US, self._stand_up)

    def _stand_up(self) -> None:
        self.fallen = False
        if self.state is State.DOWN:
            self.recover()

    def strike(self, state: State) -> None:
        """An outage begins. What was in service is lost, unless it only refuses or fails from now on."""
        self.state = state
        self.saw.clear()
        if state in (State.SILENT, State.DOWN):
            lost = [*self.busy, *self.queue]
            self.busy.clear()
            self.queue.clear()
            if state is State.DOWN:
                for visit in lost:
                    visit.answer(Answer(0))

    def recover(self) -> None:
        """The outage is over; it comes back cold."""
        if not self.fallen:
            self.state, self.cold_from = State.UP, self.partner.engine.now
            self.lately.clear()


class Partner:
    """One destination."""

    def __init__(self, dest: int, kind: str, member: str, figures: Figures, engine: Engine,
                 history: History, rng: Random) -> None:  # fmt: skip
        self.dest, self.kind, self.member, self.figures = dest, kind, member, figures
        self.engine, self.history, self.rng = engine, history, rng
        self.limit, self.places, self.slow, self.opens_at = Limit(figures), list[Place](), 1.0, 0
        sigma2 = math.log1p(figures.spread**2)
        self._mu, self._sigma = math.log(figures.service_us) - sigma2 / 2, math.sqrt(sigma2)

    def service_us(self) -> float:
        """How long one call takes, warm and alone."""
        return self.rng.lognormvariate(self._mu, self._sigma)

    def capacity(self) -> float:
        """Calls a second that all its places can do when warm."""
        return len(self.places) * self.figures.width * SECOND_US / self.figures.service_us
