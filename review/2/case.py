"""Case 2: a sender with an OTLP front is upgraded while print orders are in flight, and the clients ask again."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    BROKEN,
    HELD,
    CannotRunError,
    HttpCall,
    HttpServer,
    Record,
    Sender,
    free_port,
    http_status,
    play,
    post,
    wait_until,
    with_trouble,
)

HERE = Path(__file__).resolve().parent
WORK_S = 4.5  # how long the partner takes for a call: calls are in flight during the whole handover
ORDERS = 4
# How long a client waits for its answer before it disconnects: an OTLP exporter's default, and less ("clients give
# up early"). The second kind asks again half a second later.
CLIENT_TIMEOUTS_S = (10.0, 2.0)
LAST_ANSWER_S = 25.0  # a print-order is given up after 20 s
# As deploy/operator.example.toml, with one class of messages, one instance and no console.
SITE = """
name = "site-1"
state = "{state}"
disk_mb = 16
sockets = 1024
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

[[settings.grades]]
name = "print-order"
slo_us = 4_000_000
deadline_us = 20_000_000
worth = 1.0
late_worth = 0.5
effect = "fragile"

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

[otlp]
listen = "127.0.0.1:{otlp}"
body_limit = 262144

[otlp.map]
class = {{ header = "x-message-class", attribute = "message.class", default = "album-update" }}
tenant = {{ header = "x-tenant", attribute = "service.namespace" }}
destination = {{ header = "x-destination", attribute = "message.destination" }}
id = {{ header = "x-message-id", attribute = "message.id" }}
left_ms = {{ header = "x-left-ms" }}

[otlp.destinations]
app-backend = 1

[[instance]]
name = "app-1"
address = "127.0.0.1:{server}"
zone = "halle-nord"
kind = "family-app"
dest = 1
rate = 20.0
"""


def export(text: str) -> bytes:
    """Return an export request with one log record."""
    records = [{"timeUnixNano": "0", "body": {"stringValue": text}}]
    return json.dumps({"resourceLogs": [{"scopeLogs": [{"logRecords": records}]}]}).encode()


def exported(body: bytes) -> str:
    """Return the text of an export request with one log record."""
    return str(json.loads(body)["resourceLogs"][0]["scopeLogs"][0]["logRecords"][0]["body"]["stringValue"])


async def case(record: Record, folder: Path) -> int:
    """Play the case."""
    calls = dict[str, list[float]]()  # when each order's calls came whole
    runs = dict[str, int]()

    async def serve(call: HttpCall) -> None:
        order = exported(call.body)
        calls.setdefault(order, []).append(call.came_at)
        record.note(f"call {len(calls[order])} for {order} has come whole at the server", call.came_at)
        await asyncio.sleep(WORK_S)
        runs[order] = runs.get(order, 0) + 1
        answered = await call.reply(200, {"Content-Type": "application/json"}, b"{}")
        record.note(f"{order} has run, answered 200" + ("" if answered else ", but the connection had ended"))

    async def cut_off(call: HttpCall) -> None:
        # A call whose connection ends runs on: "cancelled or timed-out calls may run on".
        await asyncio.shield(asyncio.ensure_future(serve(call)))

    server = HttpServer(cut_off)
    await server.open()
    state = folder / "state"
    state.mkdir()
    port = free_port()
    senders = list[Sender]()

    def start(name: str) -> tuple[Sender, int]:
        mgmt, path = free_port(), folder / f"{name}.toml"
        path.write_text(SITE.format(state=state, mgmt=mgmt, otlp=port, server=server.port), encoding="utf-8")
        senders.append(Sender(record, name, folder, {}, f" --config {path}"))
        return senders[-1], mgmt

    answers = dict[str, list[str]]()

    async def client(order: str, timeout_s: float) -> None:
        """Export one order; where no answer came, ask again under the same id."""
        headers = {"Content-Type": "application/json", "x-message-class": "print-order"}
        headers |= {"x-destination": "app-backend", "x-tenant": "alpenalbum", "x-message-id": order}
        until, answers[order] = time.monotonic() + LAST_ANSWER_S, []
        while time.monotonic() < until:
            record.note(f"client asks for {order}")
            try:
                async with asyncio.timeout(timeout_s if not answers[order] else CLIENT_TIMEOUTS_S[0]):
                    status = await post(port, "/v1/logs", headers, export(order))
            except TimeoutError:
                status = -1
            text = {0: "the connection ended without an answer", -1: "disconnects without an answer"}.get(
                status, str(status)
            )
            record.note(f"client of {order}: {text}")
            answers[order].append(text)
            if status > 0 and status != 503:
                return
            await asyncio.sleep(
                1.0 if status == 503 else 0.0 if status == 0 and len(answers[order]) < 3 else 0.5
            )

    try:
        old, old_mgmt = start("old")

        async def ready(mgmt: int) -> bool:
            return await http_status(mgmt, "/_ready") == 200

        await wait_until("the start of the sender", 30, lambda: ready(old_mgmt))
        clients = [
            asyncio.create_task(client(f"order-{number}", CLIENT_TIMEOUTS_S[number % 2]))
            for number in range(ORDERS)
        ]

        async def all_out() -> bool:
            return len(calls) == ORDERS

        await wait_until("the first calls", 3, all_out)
        if with_trouble():
            new, mgmt = start("new")
            await wait_until("the start of the new process", 6, lambda: ready(mgmt))
            record.say("the new process says that it is ready")
            old.signal(signal.SIGTERM)
            if await old.ended(3.7) is None:
                old.signal(signal.SIGKILL)
                await old.ended(1.0)
        await asyncio.gather(*clients)
        await asyncio.sleep(WORK_S + 0.5)  # calls that are out may still run
        if not senders[-1].running:
            raise CannotRunError("the sender has ended")
    finally:
        for sender in senders:
            sender.close()
        server.close()

    twice = [order for order, times in calls.items() if len(times) > 1]
    for order in twice:
        gap_s = calls[order][1] - calls[order][0]
        record.say(
            f"SENT AGAIN {order}: a second call came {gap_s:.2f} s behind the first, {runs[order]} runs"
        )
    for order, heard in answers.items():
        record.say(
            f"{order}: {len(calls[order])} calls, {runs.get(order, 0)} runs; its client: {', '.join(heard)}"
        )
    return BROKEN if twice else HELD


play(case, HERE)
