"""Assembles one sender from its configuration, and runs it from start to shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from rowanrack.client_limits import ClientLimits, DescriptorBudget
from rowanrack.config import (
    ChannelsConfig,
    Config,
    ConfigError,
    OtlpConfig,
    PeersConfig,
    PlatformConfig,
    RecordConfig,
    needs_restart,
)
from rowanrack.console.server import ConsoleServer
from rowanrack.consul import ConsulSource
from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Message
from rowanrack.detached_endpoints import DetachedEndpoints
from rowanrack.failure_log import FailureLog
from rowanrack.fronts.mgmt.server import ManagementServer
from rowanrack.fronts.otlp import FRONT_NAME as OTLP
from rowanrack.fronts.platform import FRONT_NAME as PLATFORM
from rowanrack.fronts.platform.clients import PlatformClients
from rowanrack.fronts.platform.discovery import DiscoveryWatch
from rowanrack.fronts.platform.inbox import InboxCallProtocol
from rowanrack.fronts.platform.notices import Notices
from rowanrack.net.answer_finder import CallProtocol
from rowanrack.net.input_memory import InputMemory
from rowanrack.net.listener import Listener
from rowanrack.net.peers import PeerPort
from rowanrack.net.pool import EndpointPool
from rowanrack.net.process_memory import memory_bytes, peak_memory_bytes
from rowanrack.net.timing import LoopClock, pause
from rowanrack.recovery import own_recovered
from rowanrack.shutdown import Phase, Shutdown
from rowanrack.store.journal import Journal
from rowanrack.store.outages import OutageFile
from rowanrack.store.wait_file import WAIT_FILES_BYTES, RetryAfterWaitFiles
from rowanspindle import UpdateScope

if TYPE_CHECKING:
    from rowanrack.channels_io.part import ChannelPart
    from rowanrack.fronts.otlp.clients import OtlpClients
    from rowanrack.record.recorder import Recorder

log = logging.getLogger(__name__)

PLATFORM_RETENTION_US = 1_000_000  # platform clients do not resubmit an id after the message's deadline
# How long the event loop waits for a busy thread, each time that it has waited for the kernel.
THREAD_SWITCH_INTERVAL_S = 0.001
# Interval at which a shared journal is checked until the previous process of a hot restart releases it.
JOURNAL_RELEASE_CHECK_INTERVAL_US = 100_000
# Interval at which the journal of a later process is checked, in case that process has died.
DEAD_PROCESS_CHECK_INTERVAL_US = 1_000_000
# Interval at which the ban file is checked for changes by the other process, and outages are saved.
STATE_CHECK_INTERVAL_US = 200_000


class Sender:
    """A running sender and its parts."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.clock = LoopClock(
            lambda: self.exchange.pump(), lambda now, took: self.exchange.load_shedder.record_delay(now, took)
        )
        retention_us = {PLATFORM: PLATFORM_RETENTION_US}
        self.journal = Journal(
            config.state,
            config.disk_bytes - WAIT_FILES_BYTES,
            self.clock.unix_us,
            retention_us_by_front=retention_us,
            attempts=config.settings.try_limit,
        )
        self.exchange = Exchange(config.settings, config.seed, self.clock, self.journal, config.tick_us)
        self.forms: dict[str, CallProtocol] = {PLATFORM: InboxCallProtocol(config.settings.reports)}
        descriptors = self.descriptors = DescriptorBudget.of(
            config.sockets, config.settings.slots, config.mgmt is not None
        )
        self.pool = EndpointPool(self.exchange, self.forms, descriptors.idle)
        self.input_memory = InputMemory(self.clock.now_us)
        self.client_limits = ClientLimits(
            config.memory_bytes, descriptors.clients, self.input_memory, self.journal
        )
        self.exchange.endpoint_calls = self.pool
        self.exchange.add_observer(FailureLog(self.clock.now_us))
        self.fronts: list[tuple[Listener, tuple[str, int]]] = []
        self.watch: DiscoveryWatch | None = None
        self.consul: ConsulSource | None = None
        self.console: ConsoleServer | None = None
        self.notices: Notices | None = None
        self.otlp: OtlpClients | None = None
        self.recorder: Recorder | None = None
        self.bans = DetachedEndpoints(self.exchange, config.state)
        self.outages = OutageFile(config.state)
        self.waits = RetryAfterWaitFiles(config.state)
        self.mgmt: ManagementServer | None = None
        self.peers: PeerPort | None = None
        self.channels: ChannelPart | None = None
        self.lame_duck = False
        self.stop_requested = asyncio.Event()  # set on SIGTERM or SIGINT
        self._started = False
        # A reload that SIGHUP requested before the start was complete.
        self._pending_reload: Callable[[], Config] | None = None
        self.shutdown = Shutdown(self, self.clock.now_us)

    # Interface for the management server.

    def ready(self) -> bool:
        """Return whether this process serves: started, not in lame duck, not stopping, and able to record."""
        return not self.unready_reason()

    def unready_reason(self) -> str:
        """Return in one line why this process does not serve, or an empty string if it does."""
        if self.shutdown.requested:
            return "leaving"
        if self.shutdown.phase is not Phase.SERVING:
            return "starting"
        if self.lame_duck:
            return "lame duck"
        return (
            ""
            if self.journal.can_record()
            else f"the journal records nothing new: {self.journal.write_error}"
        )

    def metrics_text(self) -> str:
        """Return the metrics in the text exposition format."""
        exchange = self.exchange
        classes = list(exchange.settings.classes)
        return exchange.metrics.exposition(
            classes,
            len(exchange.messages),
            len(exchange.endpoint_list.names()),
            exchange.ejected,
            exchange.waits_in_force,
            self._process_gauges(),
        )

    def _process_gauges(self) -> dict[str, int]:
        """Return what this process uses of its limits, by the name of the metric."""
        return {
            "client_connections": sum(len(front.streams) for front, _ in self.fronts),
            "input_bytes": self.input_memory.held_bytes,
            "memory_bytes": memory_bytes(),
            "memory_peak_bytes": peak_memory_bytes(),
        }

    def detach(self, name: str) -> bool:
        """Send nothing new to an endpoint, also after a restart; return False if it is unknown."""
        return self._change_ban(name, True)

    def attach(self, name: str) -> bool:
        """Use an endpoint again, starting cold; return False if it was not detached."""
        return self._change_ban(name, False)

    def _change_ban(self, name: str, banned: bool) -> bool:
        notify = self.channels.change if self.channels is not None else None
        return self.bans.change(name, banned, notify)

    def channel_log(self) -> ChannelPart | None:
        """Return the channel log, or None if it is not configured."""
        return self.channels

    def set_lame_duck(self, on: bool) -> None:
        """Begin or end lame duck: the health check fails, and connections close between requests."""
        if on != self.lame_duck:
            log.info("mgmt: lame duck %s", "on" if on else "off")
        self.lame_duck = on
        for front, _ in self.fronts:
            front.set_lame_duck(on)

    async def _watch_state_folder(self) -> None:
        """Follow the other process's bans and outages, and save the known outages and unwritten waits."""
        while True:
            await pause(self.exchange.after, STATE_CHECK_INTERVAL_US)
            self._follow_outages()
            self.waits.flush(self.clock.now_us())
            self.bans.read()
            self.journal.make_room_for_other_process()
            self.client_limits.set_processes(self._listeners, self._process_count())
            self.bans.write_unwritten()

    def _follow_outages(self) -> None:
        """Take over the outages that the other process of a hot restart has found, and save the known ones.

        A frozen process learns nothing more, and must not replace what its successor has saved.
        """
        now = self.clock.now_us()
        self.exchange.restore_outages(self.outages.read_if_changed(now, self.config.settings.ramp_us))
        if not (self.exchange.frozen and self.journal.other_process_running()):
            self.outages.write_if_changed(self.exchange.outages(), now)

    async def _take_over_journals(self) -> None:
        """Own the previous process's messages once it releases its journal.

        Afterwards, also own those of any process that dies while running beside this one: nothing else would
        find them before a restart.
        """
        while (recovered := self.journal.take_over()) is None:
            await pause(self.exchange.after, JOURNAL_RELEASE_CHECK_INTERVAL_US)
        self._own_recovered(recovered)
        while True:
            merging = self.journal.inherited is not None
            await pause(
                self.exchange.after,
                JOURNAL_RELEASE_CHECK_INTERVAL_US if merging else DEAD_PROCESS_CHECK_INTERVAL_US,
            )
            if self.journal.other_path.exists() and (recovered := self.journal.take_over()) is not None:
                self._own_recovered(recovered)

    def _own_recovered(self, recovered: list[Message]) -> None:
        own_recovered(self.exchange, self.forms, recovered)
        if self.notices is not None:
            for message_id in self.journal.ends_taken_over:
                ended = self.journal.recorded_end(message_id)
                if ended is not None and ended.notice_pending and ended.front == PLATFORM:
                    self.notices.queue_notice(message_id, ended.end)
        self.journal.ends_taken_over.clear()
        self.exchange.pump()

    async def start(self) -> None:
        """Replay the journal, own its outstanding messages, and open the ports."""
        self.journal.open()
        self.bans.read()
        if self.config.record is not None:
            self._start_recorder(self.config.record)
        outstanding = list(self.journal.owed.values())
        if self.config.platform is not None:
            self._start_platform(self.config.platform)
        if self.config.otlp is not None:
            self._start_otlp(self.config.otlp)
        if self.config.consul is not None:
            consul = self.config.consul
            self.consul = ConsulSource(self.exchange, consul.address, consul.services, consul.tag)
            self.consul.start()
        if self.config.instances:
            self.exchange.update_endpoints(UpdateScope.FULL, self.config.instances, "file")
        if self.watch is not None and self.config.platform is not None and self.config.platform.pushed:
            # Before anything is sent, because a pushed list counts as known from the start.
            await self.watch.wait_for_first_list()
        self.exchange.restore_outages(
            self.outages.read_if_changed(self.clock.now_us(), self.config.settings.ramp_us)
        )
        self.waits.open(self.journal.slot, self.journal.other_slot, self.clock.now_us())
        self.exchange.share_waits(self.waits)
        self.shutdown.mark_messages_owned()
        own_recovered(self.exchange, self.forms, outstanding)
        self.exchange.pump()
        self.client_limits.start(self._listeners, self._process_count())
        for front, (host, port) in self.fronts:
            try:
                await front.listen(host, port)
            except OSError as error:
                raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror or error}") from None
        if self.config.mgmt is not None:
            self.mgmt = ManagementServer(self.exchange, self, self.input_memory, self.descriptors.management)
            host, port = self.config.mgmt
            try:
                await self.mgmt.listen(host, port)
            except OSError as error:
                raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror or error}") from None
        self._tasks = [
            asyncio.ensure_future(self._take_over_journals()),
            asyncio.ensure_future(self._watch_state_folder()),
        ]
        if self.config.channels is not None:
            self._start_channels(self.config.channels)
        self.shutdown.mark_ports_open()
        if self.config.console is not None:
            self.console = ConsoleServer(self.config.name, self.exchange)
            try:
                await self.console.listen_at(self.config.console)
            except OSError as error:
                path = self.config.console
                raise ConfigError(f"cannot open {path}: {error.strerror or error}") from None
        log.info("%s: serving; %d messages recovered from the journal", self.config.name, len(outstanding))

    @property
    def _listeners(self) -> list[Listener]:
        return [front for front, _ in self.fronts]

    def _process_count(self) -> int:
        """Return how many processes of this sender run: two during a hot restart."""
        return 2 if self.journal.other_process_running() else 1

    def _start_platform(self, platform: PlatformConfig) -> None:
        exchange = self.exchange
        clients = PlatformClients(exchange, self.config.sockets, self.input_memory)
        self.fronts.append((clients, platform.listen))
        self.watch = DiscoveryWatch(exchange, *platform.discovery, platform.seq, platform.pushed)
        exchange.request_list = self.watch.start
        notices = self.notices = Notices(*platform.discovery, exchange.after, self.journal.confirm_notice)
        exchange.listeners[PLATFORM] = notices.ended
        exchange.round_over = notices.flush
        for message_id, end in self.journal.unconfirmed_notices(PLATFORM):
            notices.queue_notice(message_id, end)
        exchange.update_endpoints(UpdateScope.FULL, platform.known)
        if platform.peers is not None:
            self._start_peers(platform.peers)

    def _start_peers(self, peers: PeersConfig) -> None:
        exchange = self.exchange
        port = PeerPort(peers.listen, peers.peers, peers.all_at, exchange.receive_note, self.clock.now_us)
        try:
            port.open()
        except OSError as error:
            # The guarantees to clients do not depend on gossip: without it the sender serves as before.
            log.warning(
                "gossip is disabled: cannot listen on %s:%d: %s", *peers.listen, error.strerror or error
            )
            return
        self.peers, exchange.broadcast_note = port, port.send

    def _start_channels(self, channels: ChannelsConfig) -> None:
        from rowanrack.channels_io.part import ChannelPart  # loads sqlite3, msgspec and blake3 only if used

        config, bans = self.config, self.bans.apply_fleet
        part = ChannelPart(channels, config.name, config.state, self.exchange, config.seed, bans)
        part.server.input_memory = self.input_memory
        part.start()
        self.channels = part

    def _start_recorder(self, record: RecordConfig) -> None:
        from rowanrack.record.recorder import create_recorder  # loads msgspec and blake3 only if used

        self.recorder = create_recorder(self.config.name, self.exchange, record.folder, record.most_bytes)
        self.recorder.start()

    def _start_otlp(self, otlp: OtlpConfig) -> None:
        # Imported only if configured: the protobuf classes take memory, which the platform limits.
        from rowanrack.fronts.otlp.calls import OtlpCallProtocol
        from rowanrack.fronts.otlp.clients import OtlpClients

        server = OtlpClients(
            self.exchange, otlp.mapping, otlp.body_limit, self.config.sockets, self.input_memory
        )
        self.otlp = server
        self.fronts.append((server, otlp.listen))
        self.exchange.listeners[OTLP] = server.ended
        self.forms[OTLP] = OtlpCallProtocol()

    def request_reload(self, load: Callable[[], Config]) -> None:
        """Handle SIGHUP: reload now, also during shutdown, or once the start is complete."""
        if self._started:
            self.reload_from(load)
        else:
            self._pending_reload = load

    def reload_from(self, load: Callable[[], Config]) -> None:
        """Load the configuration and apply it; if it is invalid, the old one stays in force."""
        try:
            self.reload(load())
        except ConfigError as error:
            log.error("reload: the old configuration stays: %s", error)
        except Exception:
            # A defect in the reload must not end the sender.
            log.exception("reload: failed with an internal error")

    def reload(self, new: Config) -> None:
        """Apply the parts of a configuration that can be reloaded (see `needs_restart`).

        Messages and open calls are not affected.
        """
        old = self.config
        for key in needs_restart(old, new):
            log.warning("reload: %s has changed; a restart is needed to apply it", key)
        if old.platform is not None and new.platform is not None:
            if old.platform.discovery != new.platform.discovery:
                log.info("reload: discovery is now at %s:%d", *new.platform.discovery)
                # The watch and the notices use the same address, so both move.
                for client in (self.watch, self.notices):
                    if client is not None:
                        client.move(*new.platform.discovery)
            platform = replace(old.platform, discovery=new.platform.discovery)
            self.config = replace(self.config, platform=platform)
        if self.otlp is not None and old.otlp is not None and new.otlp is not None:
            self.otlp.mapping = new.otlp.mapping
            self.config = replace(self.config, otlp=replace(old.otlp, mapping=new.otlp.mapping))
        if old.instances != new.instances:
            self.exchange.update_endpoints(UpdateScope.FULL, new.instances, "file")
            self.config = replace(self.config, instances=new.instances)
        log.info("reload: the new configuration is in force")

    def request_stop(self) -> None:
        """Handle SIGTERM or SIGINT."""
        self.shutdown.request()
        self.stop_requested.set()

    async def run(self) -> None:
        """Start, serve until SIGTERM or SIGINT, and shut down."""
        starting = asyncio.ensure_future(self.start())
        stopping = asyncio.ensure_future(self.stop_requested.wait())
        try:
            await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
            if self.shutdown.phase is Phase.EXITED:
                log.info("stopped: SIGTERM or SIGINT came before any message was owned")
                return
            await starting
            self._started = True
            if self._pending_reload is not None:
                self.reload_from(self._pending_reload)
            await stopping
        finally:
            starting.cancel()
            stopping.cancel()
        await self.stop()

    async def stop(self) -> None:
        """Shut down: keep answering, settle open calls, and leave the rest to the journal."""
        log.info(
            "stopping: %d messages owed, %d calls out%s",
            len(self.exchange.messages),
            len(self.pool.tasks),
            "; the next process is already serving" if self.journal.other_process_running() else "",
        )
        while wait_us := self.shutdown.advance():
            await pause(self.exchange.after, wait_us)
        if self.channels is not None:
            await self.channels.end(self.shutdown.log_close_timeout_us() / 1e6)
        clients = sum(len(front.streams) for front, _ in self.fronts)
        log.info(
            "stopped: %d messages stay owed; %d calls out, %d client connections, notices %s",
            len(self.exchange.messages),
            len(self.pool.tasks),
            clients,
            "told" if self._notices_sent() else "pending",
        )

    # Interface for the shutdown sequence.

    def successor_takes_over(self) -> bool:
        """Return whether the next process of a hot restart takes over all outstanding messages.

        Not with OTLP: its clients wait on their connections for the final answer.
        """
        return self.config.otlp is None and self.journal.other_process_running()

    def drain(self) -> None:
        """Close the clients' ports, and each connection as soon as it is between requests."""
        for front, _ in self.fronts:
            front.drain()

    def freeze(self) -> None:
        """Begin no more calls."""
        self.exchange.freeze()

    def settled(self) -> bool:
        """Return whether no call can begin or is open, all notices are sent, and all clients have left."""
        outstanding = not self.exchange.frozen and bool(self.exchange.messages)
        clients = any(not front.has_ended for front, _ in self.fronts)
        return not (outstanding or self.pool.tasks or clients) and self._notices_sent()

    def _notices_sent(self) -> bool:
        return self.notices is None or not self.notices.pending

    def close(self) -> None:
        """Stop all tasks, and close all connections and files."""
        self.clock.stop()
        for task in getattr(self, "_tasks", ()):
            task.cancel()
        for front, _ in self.fronts:
            front.close()
        if self.mgmt is not None:
            self.mgmt.close()
        if self.console is not None:
            self.console.close()
        if self.peers is not None:
            self.peers.close()
        if self.channels is not None:
            self.channels.close()
        self.pool.close()
        for source in (self.watch, self.consul, self.notices):
            if source is not None:
                source.close()
        if self.recorder is not None:
            self.recorder.close()
        self.waits.close()
        self.journal.close()


async def serve(load: Callable[[], Config]) -> None:
    """Run a sender until SIGTERM or SIGINT; SIGHUP reloads the configuration, completely or not at all."""
    sender: Sender
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    loop = asyncio.get_running_loop()
    # Installed before the configuration is read: the handler of an early signal runs in the loop's first
    # iteration.
    loop.add_signal_handler(signal.SIGHUP, lambda: sender.request_reload(load))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: sender.request_stop())
    sender = Sender(load())
    try:
        await sender.run()
    finally:
        sender.close()
