"""Links between sites in one process, with the faults that networks have: for tests and the model."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rowanrack.channels.ports import Answered


class Later(Protocol):
    """A timer in whatever time the sites live in."""

    def __call__(self, delay_us: int, action: Callable[[], None], /) -> object:
        """Do it once the delay has passed."""


Serve = Callable[[bytes], tuple[bytes | None, int]]  # the answer, or None and a told wait in microseconds


@dataclass
class Weather:
    """What a link does to the calls of one site to another."""

    delay_us: int = 100
    cut: bool = False  # calls fail at once
    silent: bool = False  # calls come to nothing until their time is up
    deaf: bool = False  # calls are carried out, and their answers are lost


@dataclass
class Hub:
    """All sites' links. Calls of `frm` are made through `links(frm)`."""

    later: Later
    sites: dict[str, Serve] = field(default_factory=dict)
    weather: dict[tuple[str, str], Weather] = field(default_factory=dict)
    carried: int = 0  # calls carried out
    bytes_carried: int = 0  # of requests and answers

    def between(self, frm: str, to: str) -> Weather:
        """The link of one site to another, to be changed in place."""
        return self.weather.setdefault((frm, to), Weather())

    def links(self, frm: str) -> MemoryLinks:
        """The `Links` of a site."""
        return MemoryLinks(self, frm)


@dataclass
class MemoryLinks:
    """One site's calls over a hub; see `Links`."""

    hub: Hub
    frm: str

    def call(self, site: str, body: bytes, timeout_us: int, done: Answered) -> Callable[[], None]:
        """Call a site."""
        link, ended = self.hub.between(self.frm, site), False

        def end(answer: bytes | None, wait_us: int, why: str) -> None:
            nonlocal ended
            if not ended:
                ended = True
                done(answer, wait_us, why)

        def arrive() -> None:
            if ended or link.silent:
                return
            serve = self.hub.sites.get(site)
            if serve is None or link.cut:
                end(None, 0, f"{site} cannot be reached")
                return
            self.hub.carried += 1
            answer, wait_us = serve(body)
            self.hub.bytes_carried += len(body) + len(answer or b"")
            why = "" if answer is not None else "refused"
            if not link.deaf:
                self.hub.later(link.delay_us, lambda: end(answer, wait_us, why))

        self.hub.later(link.delay_us, arrive)
        self.hub.later(timeout_us, lambda: end(None, 0, "no answer in time"))
        return lambda: end(None, 0, "given up")
