"""A change of the list is obeyed though discovery is slow: its answers take 1.5 s to come whole."""

from __future__ import annotations

import asyncio
import json
import time

from rig import (
    TROUBLE,
    Case,
    CouldNotRunError,
    Reply,
    Request,
    RespClient,
    Server,
    free_port,
    read_head,
    run_case,
)

ANSWER_S = 1.5  # from the first to the last byte of a list; a change counts as told 2 s after the wait
PIECES = 15
TOLD_S = 6.0  # at the latest, after discovery had the change and could be reached
GRACE_S = 0.5 + 0.05  # drain_grace_us; on sockets every limit is 50 ms longer
ENDPOINTS = 24  # in the list; two belong to the destination of the case
EVERY_S = 0.05
DELETED_AT_S, PLAY_S = 4.0, 20.0


class Discovery:
    """Discovery as the protocol page describes it, whose answers may come in pieces."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self.seq = 41
        self.hosts: dict[str, dict[str, object]] = {}
        self.changed_at: dict[str, int] = {}  # the version of each entry's last change
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def change(self, name: str, health: str) -> None:
        """Change the health of an endpoint."""
        self.seq += 1
        self.hosts[name]["health"], self.changed_at[name] = health, self.seq
        self._case.note(f"discovery: {name} is {health}, version {self.seq}")

    def known(self) -> dict[str, object]:
        """Return the whole list."""
        present = [host for host in self.hosts.values() if host["health"] != "DELETED"]
        return {"seq": self.seq, "whole": True, "hosts": present}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = ""
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if method == "POST":
                    self._case.note(f"notice: {body.decode().strip()}")
                    writer.write(Reply(204).encode())
                    await writer.drain()
                    continue
                data = (await self._list(target)).encode()
                pieces = PIECES if TROUBLE else 1
                for piece in range(pieces):
                    if piece:
                        await asyncio.sleep(ANSWER_S / (pieces - 1))
                    writer.write(data[len(data) * piece // pieces : len(data) * (piece + 1) // pieces])
                    await writer.drain()
                self._case.note(f"discovery: the answer to {target} is written whole")
        except (OSError, asyncio.IncompleteReadError):
            self._case.note(f"discovery: the sender has closed the connection, last call: {target}")
        finally:
            writer.close()

    async def _list(self, target: str) -> Reply:
        query = target.partition("?")[2]
        fields = dict(pair.partition("=")[::2] for pair in query.split("&")) if query else {}
        if "index" not in fields:
            document = self.known()
        else:
            index, give_up_at = int(fields["index"]), time.monotonic() + int(fields.get("wait", "0")) / 1000
            while self.seq <= index and time.monotonic() < give_up_at:
                await asyncio.sleep(0.01)
            changed = [self.hosts[name] for name, seq in self.changed_at.items() if seq > index]
            document = {"seq": self.seq, "whole": False, "hosts": changed}
        self._case.note(f"discovery: the answer to {target} begins, version {document['seq']}")
        return Reply(200, {"Content-Type": "application/json"}, json.dumps(document, indent=1).encode())


def settings() -> dict[str, object]:
    """Return the settings, in the form of the wire page."""
    grade = {
        "name": "album-update",
        "slo_us": 2_500_000,
        "deadline_us": 16_000_000,
        "worth": 1.0,
        "late_worth": 0.3,
        "effect": "retryable",
    }
    return {
        "grades": [grade],
        "kinds": ["family-app"],
        "azs": ["a"],
        "zone": "a",
        "weight_kind": "nominal",
        "membership_mode": "on_request",
        "resolution_us": 5000,
        "replicas_of_me": 1,
        "extra": {"slots": 18, "batch_by_kind": [1], "kind_apart": [False]},
        "limits": {
            "most_held": 200,
            "try_limit": 6,
            "connect_timeout_us": 1_000_000,
            "keepalive_us": 10_000_000,
            "max_retry_after_us": 3_000_000,
            "cancel": True,
            "second_copies": False,
            "peers": False,
        },
        "rules": {
            "answer_slack_us": 20_000,
            "ask_within_us": 10_000_000,
            "cold_share": 0.26,
            "drain_grace_us": 500_000,
            "fall_us": 1_500_000,
            "overload_factor": 1.5,
            "ramp_time_us": 9_400_000,
        },
    }


async def play(case: Case) -> list[str]:
    """Play the case and return what broke the rule."""
    calls: dict[str, list[float]] = {"s-1": [], "s-2": []}

    def endpoint(name: str) -> Server:
        async def answer(request: Request) -> Reply:
            calls[name].append(request.at)
            case.note(f"{name}: {request.headers['x-txn']} runs")
            await asyncio.sleep(0.14)
            return Reply(200)

        return Server(answer)

    discovery, endpoints = Discovery(case), {name: endpoint(name) for name in calls}
    await discovery.open()
    for name, server in endpoints.items():
        await server.open()
        discovery.hosts[name] = {"host": name, "dial": f"127.0.0.1:{server.port}", "block": 1}
    for number in range(3, ENDPOINTS + 1):  # endpoints of other destinations, for which no message comes
        discovery.hosts[f"s-{number}"] = {
            "host": f"s-{number}",
            "dial": f"127.0.0.1:{free_port()}",
            "block": number,
        }
    for host in discovery.hosts.values():
        host |= {"site": "a", "class": "family-app", "health": "SERVING", "share": 30.0, "born_ms": 0}
    listen, mgmt = free_port(), free_port()
    state, path = case.folder / "state", case.folder / "config.json"
    state.mkdir()
    document = {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": discovery.known(),
        "settings": settings(),
    }
    path.write_text(json.dumps(document))
    env = {
        "ROUTER_NAME": "n1",
        "ROUTER_LISTEN": f"127.0.0.1:{listen}",
        "ROUTER_DISCOVERY": f"127.0.0.1:{discovery.port}",
        "ROUTER_STATE": str(state),
        "ROUTER_CONFIG": str(path),
        "ROUTER_MGMT": f"127.0.0.1:{mgmt}",
    }
    case.start(env=env)
    await case.until_ready(mgmt)

    begin, number, deleted_at = time.monotonic(), 0, 0.0
    client = await RespClient.connect(listen)
    while time.monotonic() - begin < PLAY_S:
        if not deleted_at and time.monotonic() - begin >= DELETED_AT_S:
            discovery.change("s-2", "DELETED")
            deleted_at = time.monotonic()
        answer = await client.command(
            "SUBMIT", "0" * 16, f"{number:016x}", "c=album-update,d=16000,dest=1", "album"
        )
        case.note(f"client: {number:016x} answered {answer!r}")
        number += 1
        await asyncio.sleep(max(0.0, begin + number * EVERY_S - time.monotonic()))
    client.close()
    if not any(at < deleted_at for at in calls["s-2"]) or len(calls["s-1"]) < 50:
        raise CouldNotRunError("too few calls came to the endpoints")
    late = [at - deleted_at for at in calls["s-2"] if at > deleted_at + TOLD_S + GRACE_S]
    if not late:
        return []
    return [
        f"{len(late)} calls came to s-2 between {late[0]:.2f} and {late[-1]:.2f} s after discovery deleted "
        f"it, which counts as told after {TOLD_S} s at the latest; nothing may come 0.5 s later"
    ]


if __name__ == "__main__":
    run_case(play)
