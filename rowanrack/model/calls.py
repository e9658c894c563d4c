"""A sender's side towards places, the exchange's `EndpointCalls`: connections, one call at a time on each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rowanrack.core.messages import Attempt, Batch, CallVerdict, Progress
from rowanrack.model.history import Entry
from rowanrack.model.partner import Answer, Place, State, Visit
from rowanspindle import Result

if TYPE_CHECKING:
    from rowanrack.model.sender import Sender

IDLE_PART = 0.6  # of the keep-alive after which our side closes an idle connection, as the real pool does
RESULTS = {200: Result.OK, 429: Result.FULL, 503: Result.FULL, 500: Result.ERROR, 0: Result.RESET}


class Line:
    """A connection to a place. One too many comes up, but its first call is turned away unseen."""

    def __init__(self, place: Place) -> None:
        self.place, self.open, self.extra = place, True, not place.room()
        place.connections += not self.extra

    def close(self) -> None:
        """It is gone, on both sides."""
        if self.open:
            self.open = False
            self.place.connections -= not self.extra


class Calls:
    """Connections and calls of one sender. Counts what the operators pay for."""

    def __init__(self, sender: Sender) -> None:
        self.sender, self.engine, self.network = sender, sender.engine, sender.network
        self.idle: dict[str, list[Line]] = {}
        self.out: dict[Attempt, tuple[Line | None, Visit | None]] = {}
        self.handshakes = self.crossings = 0

    # What the exchange asks for.

    def start(self, batch: Batch) -> None:
        """Make the calls of a batch."""
        for attempt in batch.attempts:
            self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        """Make the call, on an idle connection or a new one."""
        place = self.sender.places[attempt.endpoint.name]
        waiting = self.idle.get(place.name, [])
        while waiting:
            line = waiting.pop()
            if line.open and place.state is not State.DOWN:
                self._send(attempt, line)
                return
            line.close()
        self.out[attempt] = None, None
        there = self._one_way(place)
        self.engine.after(there, lambda: self._knock(attempt, place))

    def abandon(self, batch: Batch) -> None:
        """Stop waiting for the calls of a batch."""
        for attempt in batch.attempts:
            self._abandon(attempt)

    def _abandon(self, attempt: Attempt) -> None:
        """Close the call's connection, which its place sees a little later."""
        line, visit = self.out.pop(attempt, (None, None))
        if line is not None:
            line.close()
        if visit is not None:
            place, seen = self.sender.places[attempt.endpoint.name], visit
            self.engine.after(self._one_way(place), lambda: self._gone(seen))

    def progress(self, batch: Batch) -> Progress:
        """Here a call is written at once, and its answer is heard in the moment in which it comes."""
        return Progress.SENT

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a place."""
        for line in self.idle.pop(name, []):
            line.close()

    def close(self) -> None:
        """The process is gone, and all its connections with it."""
        for name in list(self.idle):
            self.close_idle(name)
        for attempt in list(self.out):
            self._abandon(attempt)

    # One call.

    def _one_way(self, place: Place) -> int:
        return self.network.one_way(self.sender.zone, place.zone)

    def _knock(self, attempt: Attempt, place: Place) -> None:
        """A new connection reaches its place."""
        if attempt not in self.out:
            return
        if place.state is State.SILENT:
            wait = self.sender.settings.connect_timeout_us
            self.engine.after(wait, lambda: self._failed(attempt))
            return
        back = self._one_way(place)
        if place.state is State.DOWN:
            place.saw.add(self.sender.number)
            self.engine.after(back, lambda: self._failed(attempt))
            return
        line = Line(place)
        self.handshakes += 1
        place.opened += 1
        self.out[attempt] = line, None
        self.engine.after(back + place.partner.figures.handshake_us, lambda: self._send(attempt, line))

    def _failed(self, attempt: Attempt) -> None:
        if self.out.pop(attempt, None) is not None:
            self.sender.exchange.settle(attempt, Result.CONNECT_FAILED)

    def _send(self, attempt: Attempt, line: Line) -> None:
        place, sender = line.place, self.sender
        if attempt.settled:
            self._keep(line)
            return
        self.out[attempt] = line, None
        if not sender.exchange.begin(attempt):
            self.out.pop(attempt, None)
            self._keep(line)
            return
        message = attempt.message
        sender.history.add(
            Entry(
                self.engine.now,
                "begin",
                sender.number,
                message.id,
                attempt.attempt_number,
                place.name,
                message.dest,
            )
        )
        self.crossings += place.zone != sender.zone
        life = sender.life

        def answer(answered: Answer) -> None:
            def arrive() -> None:
                if life is sender.life:
                    self._answered(attempt, answered)

            self.engine.after(self._one_way(place), arrive)

        visit = Visit(sender.number, message.id, attempt.attempt_number, answer)
        self.out[attempt] = line, visit

        def come() -> None:
            if line.extra:
                place.turned_away += 1
                visit.answer(Answer(503))
            elif not visit.gone:
                place.visit(visit)

        self.engine.after(self._one_way(place), come)

    def _answered(self, attempt: Attempt, answer: Answer) -> None:
        line, _ = self.out.pop(attempt, (None, None))
        if line is None:
            return  # given up before
        if answer.status == 0 or line.extra:
            line.close()
        else:
            self._keep(line)
        self.sender.exchange.settle(attempt, CallVerdict(RESULTS[answer.status], answer.wait_us))

    def _gone(self, visit: Visit) -> None:
        visit.gone = True

    def _keep(self, line: Line) -> None:
        name = line.place.name
        if not line.open or not self.sender.exchange.endpoint_list.accepts_calls(name):
            line.close()
            return
        waiting = self.idle.setdefault(name, [])
        waiting.append(line)

        def expire() -> None:
            if line in waiting:
                waiting.remove(line)
                line.close()

        self.engine.after(self.sender.settings.keepalive_us * IDLE_PART, expire)
