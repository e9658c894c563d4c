"""Messages go to no other destination though discovery is slow: a list takes 1.5 s to come whole."""

from __future__ import annotations

import asyncio
import json
import time

from rig_2 import (
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
REPLACED_AT_S, PLAY_S = 4.0, 20.0
NEW_STARTS_AFTER_S = 1.0  # the new endpoint at the address of the one that has gone


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

    def change(self, name: str, **fields: object) -> None:
        """Change the entry of an endpoint, or add it."""
        self.seq += 1
        self.hosts[name] = self.hosts.get(name, {}) | fields
        self.changed_at[name] = self.seq
        self._case.note(f"discovery: {name} has {fields}, version {self.seq}")

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
    calls: dict[str, list[tuple[float, str]]] = {"s-1": [], "s-2": [], "s-new": []}

    def endpoint(name: str) -> Server:
        async def answer(request: Request) -> Reply:
            calls[name].append((request.at, request.headers["x-txn"]))
            case.note(f"{name}: {request.headers['x-txn']} runs")
            await asyncio.sleep(0.14)
            return Reply(200)

        return Server(answer)

    discovery, endpoints = Discovery(case), {name: endpoint(name) for name in calls}
    await discovery.open()
    common = {"site": "a", "class": "family-app", "health": "SERVING", "share": 30.0, "born_ms": 0}
    for number in range(
        1, ENDPOINTS + 1
    ):  # for those from the third on, of other destinations, no message comes
        name, port, block = f"s-{number}", free_port(), number
        if name in endpoints:
            await endpoints[name].open()
            port, block = endpoints[name].port, 1
        discovery.hosts[name] = {"host": name, "dial": f"127.0.0.1:{port}", "block": block} | common
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

    replaced_at = 0.0

    async def replace_endpoint() -> None:
        """Let s-2 go, and let a new endpoint of another destination start at its address."""
        nonlocal replaced_at
        await asyncio.sleep(REPLACED_AT_S)
        port = endpoints["s-2"].port
        endpoints["s-2"].close()
        discovery.change("s-2", health="DELETED")
        case.note("s-2: its process has ended")
        await asyncio.sleep(NEW_STARTS_AFTER_S)
        await endpoints["s-new"].open(port)
        born = {"dial": f"127.0.0.1:{port}", "block": 2, "born_ms": int(time.time() * 1000)}
        discovery.change("s-new", **(common | {"host": "s-new"} | born))
        replaced_at = time.monotonic()

    taken: set[str] = set()

    async def client() -> None:
        begin, number = time.monotonic(), 0
        connection = await RespClient.connect(listen)
        while time.monotonic() - begin < PLAY_S:
            fields, message_id = "c=album-update,d=16000,dest=1", f"{number:016x}"
            answer = await connection.command("SUBMIT", "0" * 16, message_id, fields, "album")
            case.note(f"client: {message_id} for destination 1 answered {answer!r}")
            if answer.startswith("+"):
                taken.add(message_id)
            number += 1
            await asyncio.sleep(max(0.0, begin + number * EVERY_S - time.monotonic()))
        connection.close()

    await asyncio.gather(client(), replace_endpoint())
    await asyncio.sleep(1.0)
    if not calls["s-2"] or len(calls["s-1"]) < 50:
        raise CouldNotRunError("too few calls came to the endpoints")
    due = replaced_at + TOLD_S + GRACE_S
    late = [(at - replaced_at, message_id) for at, message_id in calls["s-new"] if at > due]
    if not late:
        return []
    served = {message_id for name in ("s-1", "s-2") for _, message_id in calls[name]}
    lost = {message_id for _, message_id in late} & taken - served
    return [
        f"{len(late)} messages for destination 1 came to an endpoint of destination 2 and ran there, "
        f"{late[0][0]:.2f} to {late[-1][0]:.2f} s after discovery had both changes; they count as told after "
        f"{TOLD_S} s at the latest, and nothing may come 0.5 s later",
        f"{len(lost)} of them, taken on with +OK, came to no endpoint of their own destination",
    ]


if __name__ == "__main__":
    run_case(play)
