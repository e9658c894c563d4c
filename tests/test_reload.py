"""SIGHUP: a new configuration is applied completely or not at all, and no message or call is lost."""

from __future__ import annotations

import asyncio
import json
import signal
from dataclasses import replace
from pathlib import Path

import pytest

from rowanrack.config import needs_restart
from rowanrack.core.messages import Ending
from rowanrack.fronts.otlp.mapping import ValueSource
from rowanrack.net.http import Reply, Request
from tests.rig import (
    MAPPING,
    Platform,
    Process,
    Rig,
    answers,
    discovery_entry,
    make_endpoint,
    on_loop,
    silent,
)

OK = Reply(200, {})


@pytest.mark.parametrize(
    "invalid", ["{", "[]", "{}", "no discovery", "bad address", "bad list", "bad settings"]
)
@on_loop
async def test_invalid_file_is_logged_and_the_old_configuration_stays(tmp_path: Path, invalid: str) -> None:
    async with Rig(tmp_path, answers(OK)) as rig, Process(rig, tmp_path) as process:
        doc = json.loads(process.config.read_text())
        invalid_docs = {
            "no discovery": doc | {"discovery": ["x"]},
            "bad address": doc | {"discovery": "127.0.0.1:0"},
            "bad list": doc | {"known": {"seq": 1}},
            "bad settings": doc | {"settings": {}},
        }
        process.config.write_text(json.dumps(invalid_docs[invalid]) if invalid in invalid_docs else invalid)
        process.child.send_signal(signal.SIGHUP)
        await process.wait_for_log("the old configuration stays")
        assert await (await process.client()).submit("m1") == b"+OK\r\n"
        await rig.servers[0].wait_for_requests(1)


@on_loop
async def test_reload_redirects_watch_and_notices_without_affecting_calls(tmp_path: Path) -> None:
    """Reload twice, then restart: notices pending for the old address are sent to the newest one."""
    release = asyncio.Event()

    async def delayed_answer(request: Request) -> Reply | None:
        if request.headers["x-txn"] == "m1":
            return None
        await release.wait()
        return OK

    async with Rig(tmp_path, delayed_answer) as rig, Process(rig, tmp_path) as process:
        process.platform.notice_statuses = [503]
        client = await process.client()
        assert await client.submit("m1", "print-order") == b"+OK\r\n"  # its notice stays pending
        assert await client.submit("m2", "print-order") == b"+OK\r\n"  # its call stays open throughout
        await rig.servers[0].wait_for_requests(2)
        second, third = Platform(), Platform()
        second.notice_statuses = [503]
        async with second, third:
            for platform in (second, third):
                process.configure(platform)
                process.child.send_signal(signal.SIGHUP)
                await process.wait_for_log("the new configuration is in force")
            assert (await third.wait_for_notice("m1"))["outcome"] == "given_up"
            while not any(r.target.startswith("/v1/servers?index=1") for r in third.requests):
                await third.wait_for_requests(len(third.requests) + 1)
            third.change(discovery_entry("i0", rig.servers[0].port))
            release.set()
            process.child.send_signal(signal.SIGTERM)
            await process.wait_for_log("stopped: 0 messages stay owed")
            await process.child.wait()
            await process.start()
            await third.wait_for_requests(len(third.requests) + 1)
            assert set(third.notices) == {"m1"}


@on_loop
async def test_watch_retries_a_new_address_until_it_opens(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK)) as rig:
        await rig.platform.wait_for_requests(1)
        late = Platform()
        async with late:
            port = late.port
        config = rig.sender.config
        assert config.platform is not None
        rig.sender.reload(replace(config, platform=replace(config.platform, discovery=("127.0.0.1", port))))
        async with rig.platform.requests_changed:  # nothing connects to the old address any more
            assert len(rig.platform.requests) == 1
        while rig.sender.watch is not None and rig.sender.watch.failures_since_move < 3:
            await asyncio.sleep(0)
        late.port = port
        async with late:
            await late.wait_for_requests(1)
            assert not rig.sender.exchange.forwarder.list_watch.consecutive_failures


@on_loop
async def test_reload_applies_endpoints_and_the_otlp_map(tmp_path: Path) -> None:
    async with Rig(tmp_path, answers(OK), silent) as rig:
        config, sender = rig.sender.config, rig.sender
        assert config.otlp is not None
        mapping = replace(MAPPING, destination=ValueSource(default="8"))
        new = replace(
            config,
            instances=(make_endpoint("file-1", rig.servers[0].port, 8),),
            otlp=replace(config.otlp, mapping=mapping),
        )
        sender.reload(new)
        assert (await rig.export(b"")).status == 200
        (call,) = await rig.servers[0].wait_for_requests(1)
        assert (
            call.target == "/v1/logs" and (await rig.wait_for_end(rig.ends[0][0])).ending is Ending.DELIVERED
        )
        sender.reload(replace(new, instances=()))
        assert (
            sender.exchange.endpoint_list.get("file-1") is None
            and sender.exchange.endpoint_list.get("i0") is not None
        )


@on_loop
async def test_settings_that_need_a_restart_are_named(tmp_path: Path) -> None:
    async with Rig(tmp_path) as rig:
        config = rig.sender.config
        assert config.platform is not None and config.otlp is not None
        moved = replace(config.platform, discovery=("127.0.0.1", 9), seq=5)
        listed = (make_endpoint("x", 1),)
        assert needs_restart(config, replace(config, platform=moved, seed=2, instances=listed)) == []
        changed = replace(config, sockets=9, platform=None, otlp=replace(config.otlp, body_limit=1))
        assert needs_restart(config, changed) == ["sockets", "platform.listen", "otlp.body_limit"]
