"""Links between sites in one process with injected network faults, for tests and the model."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rowanrack.channels.ports import Answered


class Scheduler(Protocol):
    """Schedules actions in real or simulated time, whichever the sites use."""

    def __call__(self, delay_us: int, action: Callable[[], None], /) -> object:
        """Run the action once the delay has passed."""


RequestHandler = Callable[
    [bytes], tuple[bytes | None, int]
]  # the answer, or None and a retry-after wait in us


@dataclass
class LinkState:
    """The delay and the faults of the link from one site to another."""

    delay_us: int = 100
    unreachable: bool = False  # calls fail at once
    drops_calls: bool = False  # calls are lost and end by their timeout
    drops_answers: bool = False  # calls are executed, but their answers are lost


@dataclass
class MemoryNetwork:
    """The links between all sites. A site makes its calls through `links(site)`."""

    schedule: Scheduler
    sites: dict[str, RequestHandler] = field(default_factory=dict)
    link_states: dict[tuple[str, str], LinkState] = field(default_factory=dict)
    call_count: int = 0  # calls that were executed
    transferred_bytes: int = 0  # of their requests and answers

    def link_state(self, caller: str, callee: str) -> LinkState:
        """Return the state of the link from one site to another; the caller may change it in place."""
        return self.link_states.setdefault((caller, callee), LinkState())

    def links(self, caller: str) -> MemoryLinks:
        """Return the `Links` of a site."""
        return MemoryLinks(self, caller)


@dataclass
class MemoryLinks:
    """The calls of one site over an in-memory network; see `Links`."""

    network: MemoryNetwork
    caller: str

    def call(self, site: str, body: bytes, timeout_us: int, done: Answered) -> Callable[[], None]:
        """Call a site; see `Links`."""
        link, ended = self.network.link_state(self.caller, site), False

        def end(answer: bytes | None, wait_us: int, why: str) -> None:
            nonlocal ended
            if not ended:
                ended = True
                done(answer, wait_us, why)

        def arrive() -> None:
            if ended or link.drops_calls:
                return
            serve = self.network.sites.get(site)
            if serve is None or link.unreachable:
                end(None, 0, f"{site} cannot be reached")
                return
            self.network.call_count += 1
            answer, wait_us = serve(body)
            self.network.transferred_bytes += len(body) + len(answer or b"")
            why = "" if answer is not None else "refused"
            if not link.drops_answers:
                self.network.schedule(link.delay_us, lambda: end(answer, wait_us, why))

        self.network.schedule(link.delay_us, arrive)
        self.network.schedule(timeout_us, lambda: end(None, 0, "no answer in time"))
        return lambda: end(None, 0, "given up")
