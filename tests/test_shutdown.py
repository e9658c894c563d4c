"""The shutdown sequence: each event in each phase with a simulated clock, and in real processes."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from rowanrack.app import serve
from rowanrack.fronts.platform.discovery import DiscoveryWatch
from rowanrack.net.http import Reply
from rowanrack.shutdown import Phase, Shutdown, ShutdownLimits
from tests.rig import Platform, Process, Rig, answers, on_loop, silent

LIMITS = ShutdownLimits()
MS = 1000


class Sequence:
    """A shutdown sequence whose clock and other parts the test controls."""

    def __init__(self, successor: bool = False) -> None:
        self.now_us, self.successor, self.all_settled = 7_000_000, successor, False
        self.steps_taken = list[tuple[str, int]]()
        self.shutdown = Shutdown(self, lambda: self.now_us)
        self.requested_at_us = self.now_us

    def successor_takes_over(self) -> bool:
        return self.successor

    def drain(self) -> None:
        self.steps_taken.append(("drain", self.now_us - self.requested_at_us))

    def freeze(self) -> None:
        self.steps_taken.append(("freeze", self.now_us - self.requested_at_us))

    def settled(self) -> bool:
        return self.all_settled

    def reach(self, phase: Phase) -> None:
        """Advance to a phase in the usual way, and stop as soon as it is reached."""
        if phase is Phase.STARTING:
            return
        self.shutdown.mark_messages_owned()
        if phase is Phase.OPENING:
            return
        self.shutdown.mark_ports_open()
        if phase is Phase.SERVING:
            return
        self.request()
        while self.shutdown.phase is not phase:
            self.now_us += self.shutdown.advance()

    def request(self) -> None:
        self.requested_at_us = self.now_us
        self.shutdown.request()

    def run_until_exit(self) -> int:
        """Advance until the sequence exits; return the time since SIGTERM in microseconds."""
        while wait_us := self.shutdown.advance():
            self.now_us += wait_us
        return self.now_us - self.requested_at_us


@pytest.mark.parametrize(
    ("successor", "steps"),
    [(False, [("drain", 500 * MS), ("freeze", 2000 * MS)]), (True, [("freeze", 0), ("drain", 0)])],
)
def test_sequence_exits_in_time_if_calls_do_not_settle(successor: bool, steps: list[tuple[str, int]]) -> None:
    sequence = Sequence(successor)
    sequence.reach(Phase.SERVING)
    sequence.request()
    assert sequence.run_until_exit() == LIMITS.settle_until_us
    assert sequence.steps_taken == steps and sequence.shutdown.log_close_timeout_us() == 400 * MS


@pytest.mark.parametrize("phase", [Phase.ACCEPTING, Phase.DRAINING, Phase.FROZEN])
def test_sequence_exits_once_settled_but_not_while_connections_still_arrive(phase: Phase) -> None:
    sequence = Sequence()
    sequence.reach(phase)
    sequence.all_settled = True
    at_us = sequence.now_us - sequence.requested_at_us
    assert sequence.run_until_exit() == max(at_us, LIMITS.accept_until_us)
    assert sequence.shutdown.log_close_timeout_us() == LIMITS.max_log_close_us


@pytest.mark.parametrize("phase", [Phase.ACCEPTING, Phase.DRAINING, Phase.FROZEN, Phase.EXITED])
def test_second_sigterm_has_no_effect(phase: Phase) -> None:
    sequence, reference = Sequence(), Sequence()
    for each in (sequence, reference):
        each.reach(phase)
    sequence.shutdown.request()
    assert (sequence.run_until_exit(), sequence.steps_taken) == (
        reference.run_until_exit(),
        reference.steps_taken,
    )


def test_sigterm_before_messages_are_owned_ends_the_start() -> None:
    sequence = Sequence()
    sequence.request()
    assert (
        sequence.shutdown.phase is Phase.EXITED
        and sequence.run_until_exit() == 0
        and not sequence.steps_taken
    )


@pytest.mark.parametrize(
    ("late_us", "steps"),
    [
        (100 * MS, [("drain", 500 * MS), ("freeze", 2000 * MS)]),
        (1000 * MS, [("drain", 1000 * MS), ("freeze", 2000 * MS)]),
        (2500 * MS, [("drain", 2500 * MS), ("freeze", 2500 * MS)]),
        (4000 * MS, [("drain", 4000 * MS), ("freeze", 4000 * MS)]),
    ],
)
def test_times_count_from_sigterm_even_if_the_start_ends_later(
    late_us: int, steps: list[tuple[str, int]]
) -> None:
    sequence = Sequence()
    sequence.reach(Phase.OPENING)
    sequence.request()
    sequence.now_us += late_us
    sequence.shutdown.mark_ports_open()
    assert sequence.run_until_exit() == max(late_us, LIMITS.settle_until_us)
    assert sequence.steps_taken == steps


@pytest.mark.parametrize(
    ("phase", "successor"),
    [(Phase.ACCEPTING, False), (Phase.DRAINING, False), (Phase.FROZEN, False), (Phase.FROZEN, True)],
)
def test_successor_appearing_or_leaving_after_sigterm_has_no_effect(phase: Phase, successor: bool) -> None:
    """SIGTERM decides whether messages stay here or pass to the next process; later changes do not."""
    sequence, reference = Sequence(successor), Sequence(successor)
    for each in (sequence, reference):
        each.reach(phase)
    sequence.successor = not successor
    assert (sequence.run_until_exit(), sequence.steps_taken) == (
        reference.run_until_exit(),
        reference.steps_taken,
    )


@pytest.mark.parametrize("readings", range(1, 6))
def test_limit_that_passes_between_two_clock_readings_skips_no_phase(readings: int) -> None:
    """The clock advances with each reading; the sender must not exit before it has drained."""
    sequence = Sequence()
    sequence.reach(Phase.SERVING)
    sequence.request()
    sequence.now_us += LIMITS.accept_until_us - readings  # the limit passes with that reading

    def now_us() -> int:
        sequence.now_us += 1
        return sequence.now_us

    sequence.shutdown._now_us = now_us
    assert sequence.run_until_exit() >= LIMITS.settle_until_us and sequence.shutdown.phase is Phase.EXITED
    assert [name for name, _ in sequence.steps_taken] == ["drain", "freeze"]


def test_phase_is_never_entered_again() -> None:
    sequence = Sequence()
    sequence.reach(Phase.DRAINING)
    with pytest.raises(ValueError, match="cannot change from phase draining to serving"):
        sequence.shutdown.mark_ports_open()


# Tests with real processes and sockets.


@pytest.mark.parametrize("command", [("serve",), ("serve", "--log", "json")])
def test_sighup_during_imports_does_not_end_the_process(command: tuple[str, ...]) -> None:
    """A SIGHUP during the import of the command line's module used to end the process."""
    script = (
        "import os, runpy, signal, sys\n"
        "class Hangup:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'rowanrack.cli':\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.meta_path.insert(0, Hangup())\n"
        f"sys.argv = ['rowanrack', *{command!r}]\n"
        "runpy.run_module('rowanrack', run_name='__main__', alter_sys=True)\n"
    )
    env = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
    call = [sys.executable, "-c", script]
    ended = subprocess.run(call, env=env, capture_output=True, timeout=30, check=False)
    # it got as far as reading its configuration
    assert ended.returncode == 1 and b"rowanrack: " in ended.stderr


@on_loop
async def test_sigterm_while_waiting_for_the_first_list_exits_without_any_call(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The start used to run to its end, and the shutdown times counted from there instead of from SIGTERM."""
    async with Rig(tmp_path, silent) as rig:
        await (await rig.client()).submit("m1")
        await rig.servers[0].wait_for_requests(1)
        rig.sender.close()
        asks = asyncio.Event()

        async def first(_watch: DiscoveryWatch) -> None:
            asks.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(DiscoveryWatch, "wait_for_first_list", first)
        running = asyncio.create_task(serve(lambda: rig.config(pushed=True)))
        await asks.wait()
        for number in (signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
        await asyncio.wait_for(running, 1)
        assert len(rig.servers[0].requests) == 1
        await rig.start()
        assert set(rig.sender.journal.owed) == {"m1"}


@on_loop
async def test_shutdown_times_count_from_a_sigterm_during_port_opening(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Rig(tmp_path, answers(Reply(200, {}))) as rig:
        rig.sender.close()
        loop, signalled_at = asyncio.get_running_loop(), list[float]()
        real_getaddrinfo = loop.getaddrinfo

        async def signal_while_opening(*args: object, **kwargs: object) -> object:
            if not signalled_at:
                os.kill(os.getpid(), signal.SIGTERM)
                signalled_at.append(loop.time())
                await asyncio.sleep(LIMITS.accept_until_us / 1e6)
            return await real_getaddrinfo(*args, **kwargs)  # type: ignore[arg-type]

        monkeypatch.setattr(loop, "getaddrinfo", signal_while_opening)
        await serve(rig.config)
        assert loop.time() - signalled_at[0] < 2 * LIMITS.accept_until_us / 1e6


@on_loop
async def test_sighup_during_shutdown_redirects_pending_notices(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(None)) as rig, Process(rig, tmp_path) as process:
        process.platform.notice_statuses = [503]
        assert await (await process.client()).submit("m1", "print-order") == b"+OK\r\n"
        await rig.servers[0].wait_for_requests(1)
        process.child.send_signal(signal.SIGTERM)
        await process.wait_for_log("stopping")
        second = Platform()
        async with second:
            process.configure(second)
            process.child.send_signal(signal.SIGHUP)
            process.child.send_signal(signal.SIGTERM)
            assert (await second.wait_for_notice("m1"))["outcome"] == "given_up"
            await process.wait_for_log("notices told")
        assert await process.child.wait() == 0
