"""Discovery: the list in versions, told late, and sometimes not at all."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from rowanrack.core.messages import Endpoint
from rowanrack.model.engine import Engine
from rowanrack.model.history import Entry, History
from rowanspindle import EndpointStatus, UpdateScope

if TYPE_CHECKING:
    from rowanrack.model.sender import Sender

FAILS_US = 50_000  # after which a call to discovery that is down has failed


class Discovery:
    """One service for all senders. What it tells comes up to `lag_us` late, in order for each sender."""

    def __init__(self, engine: Engine, history: History, lag_us: tuple[int, int], rng: Random) -> None:
        self.engine, self.history, self.lag_us, self.rng = engine, history, lag_us, rng
        self.listed: dict[str, Endpoint] = {}
        self.changes: list[Endpoint] = []  # in the order of versions
        self.down = False
        self._watching: dict[Sender, object] = {}  # with the life that asked
        self._sent: dict[Sender, int] = {}  # the version that is on its way to each
        self._free: dict[Sender, int] = {}  # when the last news reaches it

    def change(self, instance: Endpoint) -> None:
        """A new version."""
        if instance.status is EndpointStatus.REMOVED:
            self.listed.pop(instance.name, None)
        else:
            self.listed[instance.name] = instance
        self.changes.append(instance)
        for sender in list(self._watching):
            self._tell(sender)

    def set_status(self, name: str, status: EndpointStatus) -> None:
        """An instance drains, or goes."""
        if name in self.listed:
            self.change(replace(self.listed[name], status=status))

    def start(self, sender: Sender, life: object) -> None:
        """What a sender's configuration holds at its start: the list as it stands."""
        sender.exchange.update_endpoints(UpdateScope.FULL, list(self.listed.values()))
        self._sent[sender] = len(self.changes)
        self._watching.pop(sender, None)
        assert life is sender.life

    def watch(self, sender: Sender, life: object) -> None:
        """A sender asks for changes from now on."""
        if self.down:
            self.engine.after(FAILS_US, lambda: self._fail(sender, life))
            return
        self._watching[sender] = life
        if self._sent[sender] < len(self.changes):
            self._tell(sender)

    def fail(self) -> None:
        """It goes down: watches end."""
        self.down = True
        for sender, life in list(self._watching.items()):
            self._fail(sender, life)

    def _fail(self, sender: Sender, life: object) -> None:
        self._watching.pop(sender, None)
        if sender.life is life:
            sender.exchange.update_endpoints(UpdateScope.FAILED, ())

    def _tell(self, sender: Sender) -> None:
        life, low, high = self._watching[sender], *self.lag_us
        news, self._sent[sender] = self.changes[self._sent[sender] :], len(self.changes)
        due = self.engine.now + int(low + (high - low) * self.rng.random())
        due = self._free[sender] = max(due, self._free.get(sender, 0))

        def arrive() -> None:
            if sender.life is not life:
                return
            for instance in news:
                if instance.status is not EndpointStatus.LISTED:
                    self.history.add(Entry(self.engine.now, "told", sender.number, place=instance.name))
            sender.exchange.update_endpoints(UpdateScope.DELTA, news)

        self.engine.at(due, arrive)
