"""A compressed export is delivered whole."""

from __future__ import annotations

import asyncio
import gzip

from opentelemetry.proto.collector.logs.v1.logs_service_pb2 import ExportLogsServiceRequest
from rig_2 import TROUBLE, Case, CouldNotRunError, Reply, Request, Server, free_port, http_call, run_case

PROTOBUF = "application/x-protobuf"
EXPORTS, RECORDS = 20, 40

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

[otlp]
listen = "127.0.0.1:{otlp}"

[otlp.map]
class = {{ header = "x-message-class", default = "album-update" }}
destination = {{ header = "x-destination", default = "1" }}
id = {{ header = "x-message-id" }}

[[instance]]
name = "app-1"
address = "127.0.0.1:{server}"
kind = "family-app"
dest = 1
rate = 30.0
"""


def resource_records(export: int, half: int) -> bytes:
    """Return half of an export request: the records of one resource."""
    request = ExportLogsServiceRequest()
    resource = request.resource_logs.add()
    resource.resource.attributes.add(key="service.instance.id").value.string_value = f"desk-{half}"
    records = resource.scope_logs.add().log_records
    for number in range(RECORDS // 2):
        records.add().body.string_value = f"export {export}, record {half * RECORDS // 2 + number}"
    return request.SerializeToString()


async def play(case: Case) -> list[str]:
    """Play the case and return what broke the rule."""
    received: list[str] = []

    async def server_call(request: Request) -> Reply:
        export = ExportLogsServiceRequest.FromString(request.body)
        texts = [
            r.body.string_value for g in export.resource_logs for s in g.scope_logs for r in s.log_records
        ]
        received.extend(texts)
        case.note(f"server: an export with {len(texts)} records runs")
        return Reply(200, {"Content-Type": PROTOBUF})

    server = Server(server_call)
    await server.open()
    mgmt, otlp = free_port(), free_port()
    state, site = case.folder / "state", case.folder / "site.toml"
    state.mkdir()
    site.write_text(SITE.format(state=state, mgmt=mgmt, otlp=otlp, server=server.port))
    case.start(f"--config {site}")
    await case.until_ready(mgmt)

    told_delivered: list[str] = []
    for export in range(EXPORTS):
        halves = [resource_records(export, half) for half in (0, 1)]
        # The client compresses what each resource has gathered as it comes: a gzip body of two members.
        body = b"".join(map(gzip.compress, halves)) if TROUBLE else gzip.compress(b"".join(halves))
        headers = {"Content-Type": PROTOBUF, "Content-Encoding": "gzip", "x-message-id": f"export-{export}"}
        reply = await http_call(otlp, "POST", "/v1/logs", headers, body)
        case.note(f"client: export-{export} with {RECORDS} records answered {reply.status if reply else 0}")
        if reply is not None and reply.status == 200:
            told_delivered += [f"export {export}, record {number}" for number in range(RECORDS)]
        await asyncio.sleep(0.1)
    if not told_delivered and not received:
        raise CouldNotRunError("no export was answered as delivered")
    lost = sorted(set(told_delivered) - set(received))
    return (
        [f"{len(lost)} of {len(told_delivered)} records were answered as delivered and never sent"]
        if lost
        else []
    )


if __name__ == "__main__":
    run_case(play)
