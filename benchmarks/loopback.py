"""One sender on one core among stand-ins on loopback: messages a second, CPU a message, time to an answer."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent.parent
END_LATE_S = 0.3  # by which an end may come after a message's time
CALM_S = 8.0  # for the governor to become calm after the load
TICK = os.sysconf("SC_CLK_TCK")
SETTINGS = """
name = "bench"
state = {state!r}
disk_mb = 64
sockets = 4096
[platform]
listen = "127.0.0.1:{port}"
discovery = "127.0.0.1:{discovery}"
[settings]
kinds = ["print-lab"]
weight_kind = "nominal"
membership_mode = "on_request"
resolution_us = 5000
[settings.extra]
slots = {slots}
batch_by_kind = [1]
kind_apart = [false]
[settings.limits]
most_held = 2000
try_limit = 6
connect_timeout_us = 1000000
keepalive_us = 10000000
[[settings.grades]]
name = "album-update"
slo_us = 2500000
deadline_us = 16000000
worth = 1.0
late_worth = 0.3
effect = "retryable"
[[settings.grades]]
name = "print-order"
slo_us = 4000000
deadline_us = 20000000
worth = 1.0
late_worth = 0.5
effect = "fragile"
"""


@dataclass(frozen=True)
class Plan:
    """One measurement."""

    tree: Path  # the checkout whose sender is measured
    label: str
    clients: int = 64
    rate: float = 0.0  # messages a second of each client; 0: the next as soon as the last is answered
    bad: int = 0
    neighbours: int = 0  # busy processes on the sender's core, each of which takes an even part
    seconds: float = 8.0
    warm_s: float = 3.0
    dests: int = 40
    body: int = 300
    answer_ms: float = 0.0
    kind: str = "bad"  # of the bad clients: see `peers.bad_client`
    deadline_ms: int = 15_000
    slots: int = 200
    figures: tuple[dict[str, Any], ...] = ()  # of each destination's partner, told to nobody else
    record: Path | None = None  # a folder for the sender's recording
    settle: bool = False  # wait for the end of every message that was taken, and judge it


def free_ports(count: int) -> list[int]:
    """Ports that nobody uses at the moment."""
    with ExitStack() as held:
        opened = [held.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return [s.getsockname()[1] for s in opened]


def cores() -> tuple[int, set[int]]:
    """A core for the sender, and those for everybody else."""
    allowed = sorted(os.sched_getaffinity(0))
    return allowed[-1], set(allowed[:-1]) or set(allowed)


def cpu_s(pid: int) -> float:
    """The CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


class Child:
    """A process that is pinned, and ended by its own id."""

    def __init__(self, command: list[str], on: set[int], tree: Path = HERE, stderr: Any = None) -> None:
        env = os.environ | {"PYTHONPATH": str(tree)}
        self.process = subprocess.Popen(
            command, env=env, cwd=tree, stdout=subprocess.PIPE, stderr=stderr, text=True
        )
        os.sched_setaffinity(self.process.pid, on)

    def ready(self) -> None:
        """Wait for its first line. Raises RuntimeError when it ends instead."""
        assert self.process.stdout is not None
        if not self.process.stdout.readline():
            raise RuntimeError(f"{self.process.args!r} has ended")

    def end(self) -> str:
        """Ask it to end, and return what it printed last."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.communicate(timeout=8)[0]
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.communicate()[0]


@contextmanager
def peer(role: str, options: dict[str, Any], on: set[int]) -> Iterator[Child]:
    """A stand-in that is ready."""
    child = Child([sys.executable, "-m", "benchmarks.peers", role, json.dumps(options)], on)
    try:
        child.ready()
        yield child
    finally:
        if child.process.poll() is None:
            child.process.kill()
            child.process.wait()


def wait_for_pong(port: int, process: subprocess.Popen[str]) -> None:
    """Until the sender answers. Raises RuntimeError if it ends or never does."""
    until = time.monotonic() + 20
    while time.monotonic() < until and process.poll() is None:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as line:
                line.sendall(b"*1\r\n$4\r\nPING\r\n")
                if line.recv(64).startswith(b"+PONG"):
                    return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError("the sender does not answer")


def judge(
    taken: dict[str, list[float]], calls: dict[str, list[float]], notices: dict[str, list[float]]
) -> dict[str, Any]:
    """What became of the messages that were taken: by the stand-ins' books, not by the sender's."""
    lost = late = 0
    latest = 0.0
    for message_id, (deadline, *_) in taken.items():
        ends = [*calls.get(message_id, ()), *notices.get(message_id, ())]
        if not ends:
            lost += 1
        else:
            latest = max(latest, min(ends) - deadline)
            late += min(ends) - deadline > END_LATE_S
    return {
        "owed": len(taken),
        "lost": lost,
        "late_ends": late,
        "latest_end_ms": latest * 1000,
        "noticed": len(notices),
        "twice": sum(len(times) > 1 for times in calls.values()),
    }


def shed(log: str) -> dict[str, Any]:
    """What the sender's governor said."""
    lines = [line for line in log.splitlines() if "the core " in line]
    return {
        "governor": lines,
        "refused_early": sum(map(int, re.findall(r"(\d+) messages were refused early", log))),
    }


def settle(log: Path, seconds: float) -> None:
    """Wait until every deadline is over and the governor is calm again, or for some seconds more."""
    time.sleep(seconds)
    until = time.monotonic() + CALM_S
    while time.monotonic() < until:
        said = log.read_text()
        if said.count("overload began") == said.count("overload ended"):
            return
        time.sleep(0.1)


def measure(plan: Plan) -> dict[str, Any]:
    """Run one measurement, and return its figures."""
    mine, others = cores()
    with ExitStack() as stack, tempfile.TemporaryDirectory() as folder:
        port, discovery, *ports = free_ports(2 + plan.dests)
        hosts = [
            {"host": f"p{n}", "dial": f"127.0.0.1:{p}", "site": "a", "class": "print-lab", "block": n,
             "health": "SERVING", "share": plan.figures[n]["rate"] if plan.figures else 500.0, "born_ms": 0}
            for n, p in enumerate(ports)
        ]  # fmt: skip
        notices = stack.enter_context(peer("discovery", {"port": discovery, "hosts": hosts}, others))
        partners = stack.enter_context(
            peer(
                "partners",
                {
                    "ports": ports,
                    "answer_ms": plan.answer_ms,
                    "figures": dict(zip(ports, plan.figures, strict=False)),
                },
                others,
            )
        )
        state = Path(folder) / "state"
        state.mkdir()
        config = Path(folder) / "site.toml"
        text = SETTINGS.format(state=str(state), port=port, discovery=discovery, slots=plan.slots)
        if plan.record is not None:
            text += f'[record]\nfolder = "{plan.record}"\n'
        config.write_text(text)
        log = stack.enter_context((Path(folder) / "log").open("w+"))
        sender = Child(
            [sys.executable, "-m", "rowanrack", "serve", "--config", str(config)], {mine}, plan.tree, log
        )
        stack.callback(sender.end)
        wait_for_pong(port, sender.process)
        for _ in range(plan.neighbours):
            busy = Child([sys.executable, "-c", "while True: pass"], {mine})
            stack.callback(busy.process.wait)
            stack.callback(busy.process.kill)
        options = {"sender": ("127.0.0.1", port), "dests": plan.dests, "body": plan.body}
        options |= {"kind": plan.kind, "deadline_ms": plan.deadline_ms}
        books = {
            "usual": stack.enter_context(
                peer("clients", {**options, "count": plan.clients, "rate": plan.rate}, others)
            )
        }
        if plan.bad:
            books["bad"] = stack.enter_context(peer("bad", {**options, "count": plan.bad}, others))
        time.sleep(plan.warm_s)
        for child in (*books.values(), partners):
            child.process.send_signal(signal.SIGUSR1)
        cpu, began = cpu_s(sender.process.pid), time.perf_counter()
        time.sleep(plan.seconds)
        cpu, passed = cpu_s(sender.process.pid) - cpu, time.perf_counter() - began
        told = {name: json.loads(child.end()) for name, child in books.items()}
        if plan.settle:
            settle(Path(folder) / "log", plan.deadline_ms / 1000 + END_LATE_S + 0.2)
        told |= {"partners": json.loads(partners.end()), "notices": json.loads(notices.end())}
        said = (Path(folder) / "log").read_text()
    usual, delivered = told["usual"]["counts"], told["partners"]["counts"].get("calls", 0)
    return {
        **{k: str(v) if isinstance(v, Path) else v for k, v in asdict(plan).items()},
        "taken_per_s": usual.get("taken", 0) / passed,
        "delivered_per_s": delivered / passed,
        "refused_per_s": usual.get("refused", 0) / passed,
        "unanswered": usual.get("unanswered", 0),
        "cpu_share": cpu / passed,
        "cpu_ms_per_message": cpu / max(1, delivered) * 1e3,
        "answer_p50_ms": told["usual"]["p50_ms"],
        "answer_p99_ms": told["usual"]["p99_ms"],
        "answer_p99_9_ms": told["usual"]["p99.9_ms"],
        "bad_parted_per_s": sum(told.get("bad", {"counts": {}})["counts"].values()) / passed,
        "bad_p99_ms": told["bad"]["p99_ms"] if "bad" in told else 0.0,
        "late_answers_per_s": usual.get("late", 0) / passed,
        "tracebacks": said.count("Traceback"),
        **shed(said),
        **(judge(*(told[name]["ids"] for name in ("usual", "partners", "notices"))) if plan.settle else {}),
    }
