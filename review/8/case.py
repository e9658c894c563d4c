"""A catalogue answer that runs late does not reopen an endpoint that was deregistered.

The address of that endpoint belongs to an endpoint of another destination by then.
"""

from __future__ import annotations

import asyncio
import json
import time

from opentelemetry.proto.collector.logs.v1.logs_service_pb2 import ExportLogsServiceRequest
from rig_2 import TROUBLE, Case, CouldNotRunError, Reply, Request, Server, free_port, http_call, run_case

GRACE_S = (
    0.5 + 0.05
)  # nothing new 500 ms after the deregistration was told; every limit is 50 ms longer on sockets
PROTOBUF = "application/x-protobuf"
EVERY_S = 0.05
DEREGISTERED_AT_S = 4.0  # instance a2 of the service lab leaves the catalogue, and its process ends
REGISTERED_AT_S = 5.0  # instance b1 of the service desk starts at its address
FAILS_OVER_AT_S = 7.0  # Consul fails over to a server that runs behind
BEHIND_S = 6.0  # so far behind it is: 2.3 to 9.9 s in the second users' account
BEHIND_FOR_S = 10.0  # and for so long: 10 to 30 s there
PLAY_S = 20.0

SITE = """
name = "site-1"
state = "{state}"
disk_mb = 16
mgmt = "127.0.0.1:{mgmt}"

[settings]
kinds = ["family-app"]
weight_kind = "nominal"
resolution_us = 5000

[[settings.grades]]
name = "album-update"
slo_us = 2_500_000
deadline_us = 16_000_000
worth = 1.0
late_worth = 0.3
effect = "retryable"

[settings.extra]
slots = 16
batch_by_kind = [1]
kind_apart = [false]

[settings.limits]
most_held = 200
try_limit = 6
connect_timeout_us = 1_000_000
keepalive_us = 10_000_000
max_retry_after_us = 3_000_000

[settings.rules]
drain_grace_us = 500_000

[otlp]
listen = "127.0.0.1:{otlp}"

[otlp.map]
class = {{ header = "x-message-class", default = "album-update" }}
destination = {{ header = "x-destination", default = "1" }}
id = {{ header = "x-message-id" }}

[consul]
address = "127.0.0.1:{consul}"
services = ["lab", "desk"]
"""


def export_request(number: int) -> bytes:
    """Return an export request with one log record."""
    request = ExportLogsServiceRequest()
    record = request.resource_logs.add().scope_logs.add().log_records.add()
    record.body.string_value = f"album update {number}"
    return request.SerializeToString()


class Consul:
    """A Consul agent: blocking queries for the health of two services, by its published HTTP API.

    The index rises with each change. A blocking query is answered once the index of the server that answers
    is above the one that the query names, or once its wait is over.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        # For each service, since when it has had which index and which instances, by name, with their ports.
        self._history: dict[str, list[tuple[float, int, dict[str, int]]]] = {}
        self._index = 10
        self._behind = (0.0, 0.0)  # the span in which the answers come from a server that runs behind
        self.server = Server(self._answer)
        self.told_at: float | None = None  # when the first answer without a2 was given

    def register(self, service: str, instances: dict[str, int]) -> None:
        """Set the instances of a service."""
        self._index += 5
        since = time.monotonic() if service in self._history else 0.0
        self._history.setdefault(service, []).append((since, self._index, instances))
        self._case.note(f"consul: {service} has {', '.join(instances) or 'no instance'}, index {self._index}")

    def fail_over(self) -> None:
        """End the open queries; for a while another server answers, which runs behind."""
        now = time.monotonic()
        self._behind = now, now + BEHIND_FOR_S
        self._case.note(f"consul: fails over to a server that is {BEHIND_S} s behind for {BEHIND_FOR_S} s")
        self.server.end_connections()

    def _state(self, service: str) -> tuple[int, dict[str, int]]:
        """Return what the server that answers now knows of a service: its index and the instances."""
        now = time.monotonic()
        begin, end = self._behind
        as_of = now - BEHIND_S if begin <= now < end else now
        _, index, instances = [row for row in self._history[service] if row[0] <= as_of][-1]
        return index, instances

    async def _answer(self, request: Request) -> Reply:
        path, _, query = request.target.partition("?")
        service = path.removeprefix("/v1/health/service/")
        if service not in self._history:
            return Reply(404)
        fields = dict(pair.partition("=")[::2] for pair in query.split("&"))
        asked, wait_s = int(fields.get("index", "0")), float(fields.get("wait", "300s").removesuffix("s"))
        give_up_at = time.monotonic() + wait_s
        while asked and self._state(service)[0] <= asked and time.monotonic() < give_up_at:
            await asyncio.sleep(0.01)
        index, instances = self._state(service)
        if service == "lab" and "a2" not in instances and self.told_at is None:
            self.told_at = time.monotonic()
        names = ", ".join(instances) or "no instance"
        self._case.note(f"consul: {service}, query with index {asked}, answered with index {index}: {names}")
        entries = [
            {
                "Node": {"Node": f"node-{name}", "Address": "127.0.0.1", "Datacenter": "halle-nord"},
                "Service": {
                    "ID": name,
                    "Service": service,
                    "Address": "127.0.0.1",
                    "Port": port,
                    "Meta": {"dest": "1" if service == "lab" else "2", "kind": "family-app", "rate": "30"},
                },
                "Checks": [{"CheckID": f"service:{name}", "Status": "passing"}],
            }
            for name, port in instances.items()
        ]
        return Reply(200, {"X-Consul-Index": str(index)}, json.dumps(entries).encode())


async def play(case: Case) -> list[str]:
    """Play the case and return what broke the rule."""
    calls: dict[str, list[tuple[float, str]]] = {"a1": [], "a2": [], "b1": []}

    def endpoint(name: str) -> Server:
        async def answer(request: Request) -> Reply:
            export = ExportLogsServiceRequest.FromString(request.body)
            text = export.resource_logs[0].scope_logs[0].log_records[0].body.string_value
            calls[name].append((request.at, text))
            case.note(f"{name}: {text} runs")
            await asyncio.sleep(0.2)
            return Reply(200, {"Content-Type": PROTOBUF})

        return Server(answer)

    endpoints = {name: endpoint(name) for name in calls}
    await endpoints["a1"].open()
    await endpoints["a2"].open()
    port_1, port_2 = endpoints["a1"].port, endpoints["a2"].port
    consul = Consul(case)
    consul.register("lab", {"a1": port_1, "a2": port_2})
    consul.register("desk", {})
    await consul.server.open()
    mgmt, otlp = free_port(), free_port()
    state, site = case.folder / "state", case.folder / "site.toml"
    state.mkdir()
    site.write_text(SITE.format(state=state, mgmt=mgmt, otlp=otlp, consul=consul.server.port))
    case.start(f"--config {site}")
    await case.until_ready(mgmt)
    await asyncio.sleep(0.5)

    answers: dict[str, int] = {}

    async def client(number: int) -> None:
        """Hand in one message for destination 1."""
        headers = {"Content-Type": PROTOBUF, "x-message-id": f"update-{number}", "x-destination": "1"}
        reply = await http_call(otlp, "POST", "/v1/logs", headers, export_request(number))
        answers[f"album update {number}"] = reply.status if reply else 0
        case.note(f"client: album update {number} answered {reply.status if reply else 'nothing'}")

    async def operators() -> None:
        await asyncio.sleep(DEREGISTERED_AT_S)
        consul.register("lab", {"a1": port_1})
        await asyncio.sleep(0.3)  # it drains
        endpoints["a2"].close()
        await asyncio.sleep(REGISTERED_AT_S - DEREGISTERED_AT_S - 0.3)
        await endpoints["b1"].open(port_2)
        consul.register("desk", {"b1": port_2})
        await asyncio.sleep(FAILS_OVER_AT_S - REGISTERED_AT_S)
        if TROUBLE:
            consul.fail_over()

    clients, changes = [], asyncio.create_task(operators())
    for number in range(int(PLAY_S / EVERY_S)):
        clients.append(asyncio.create_task(client(number)))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(changes, *clients)
    if consul.told_at is None or not calls["a2"] or list(answers.values()).count(200) < 20:
        raise CouldNotRunError("the deregistration was not told, or too few messages were delivered")
    due = consul.told_at + GRACE_S
    late = [(at - consul.told_at, text) for name in ("a2", "b1") for at, text in calls[name] if at > due]
    if not late:
        return []
    served = {text for name in ("a1", "a2") for _, text in calls[name]}
    lost = {text for _, text in late if answers.get(text) == 200} - served
    return [
        f"{len(late)} calls for destination 1 came to the address of a2 between {late[0][0]:.2f} and "
        f"{late[-1][0]:.2f} s after the sender was told that it is deregistered; none may come after 0.5 s",
        f"{len(lost)} messages answered 200 ran at b1 of destination 2 and nowhere else",
    ]


if __name__ == "__main__":
    run_case(play)
