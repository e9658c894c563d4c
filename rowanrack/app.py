"""Assembles one sender from its configuration, and runs it from start to shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

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
from rowanrack.fronts.mgmt.calls import NotKeptError
from rowanrack.fronts.mgmt.server import ManagementServer
from rowanrack.fronts.otlp import FRONT as OTLP
from rowanrack.fronts.platform import FRONT as PLATFORM
from rowanrack.fronts.platform.clients import PlatformClients
from rowanrack.fronts.platform.discovery import DiscoveryWatch
from rowanrack.fronts.platform.inbox import InboxForm
from rowanrack.fronts.platform.notices import Notices
from rowanrack.net.listener import Listener
from rowanrack.net.peers import PeerPort
from rowanrack.net.pool import CallForm, EndpointPool
from rowanrack.net.timing import LoopClock, pause
from rowanrack.recovery import own
from rowanrack.shutdown import Phase, Shutdown
from rowanrack.store.bans import BanFile
from rowanrack.store.journal import Journal
from rowanrack.store.outages import OutageFile
from rowanspindle import UpdateScope

if TYPE_CHECKING:
    from rowanrack.channels_io.part import ChannelPart
    from rowanrack.fronts.otlp.clients import OtlpClients
    from rowanrack.record.recorder import Recorder

log = logging.getLogger(__name__)

PLATFORM_KEEP_US = 1_000_000  # platform clients do not resubmit an id after the message's deadline
FILES = 40  # descriptors for the journal, the ports, discovery, the console, and connections being closed
# interval at which a shared journal is checked until the previous process of a hot restart releases it
SHARED_LOOK_US = 100_000
# interval at which the journal of a later process is checked, in case that process has died
DIED_LOOK_US = 1_000_000
# interval at which the ban file is checked for changes by the other process, and outages are saved
FOLDER_LOOK_US = 200_000


@dataclass(frozen=True, slots=True)
class Descriptors:
    """The division of the descriptor limit."""

    idle: int  # idle connections to endpoints
    clients: int

    @classmethod
    def of(cls, sockets: int, slots: int) -> Descriptors:
        """Divide the limit: at most a third for clients' requests, beside silent and idle clients."""
        spare = sockets - FILES - slots - sockets // 3
        idle = max(8, min(3 * slots, spare // 2))
        return cls(idle, sockets - FILES - slots - idle)


class Sender:
    """A running sender and its parts."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.clock = LoopClock(
            lambda: self.exchange.pump(), lambda now, took: self.exchange.load_shedder.record_delay(now, took)
        )
        keep = {PLATFORM: PLATFORM_KEEP_US}
        self.journal = Journal(
            config.state,
            config.disk_bytes,
            self.clock.unix_us,
            keep_us_of=keep,
            attempts=config.settings.try_limit,
        )
        self.exchange = Exchange(config.settings, config.seed, self.clock, self.journal, config.tick_us)
        self.forms: dict[str, CallForm] = {PLATFORM: InboxForm(config.settings.reports)}
        self.room = Descriptors.of(config.sockets, config.settings.slots)
        self.pool = EndpointPool(self.exchange, self.forms, self.room.idle)
        self.exchange.side = self.pool
        self.fronts: list[tuple[Listener, tuple[str, int]]] = []
        self.watch: DiscoveryWatch | None = None
        self.consul: ConsulSource | None = None
        self.console: ConsoleServer | None = None
        self.notices: Notices | None = None
        self.otlp: OtlpClients | None = None
        self.recorder: Recorder | None = None
        self.bans = BanFile(config.state)
        self.outages = OutageFile(config.state)
        # ban changes in force but not on disk yet: True for a ban, False for a lifted one
        self.unkept: dict[str, bool] = {}
        self.mgmt: ManagementServer | None = None
        self.peers: PeerPort | None = None
        self.channels: ChannelPart | None = None
        self.lame = False
        self.told = asyncio.Event()  # set on SIGTERM or SIGINT
        self._started = False
        # a reload that SIGHUP requested before the start was complete
        self._load_asked: Callable[[], Config] | None = None
        self.shutdown = Shutdown(self, self.clock.now_us)

    # Interface for the management server.

    def ready(self) -> bool:
        """Return whether this process serves: started, not in lame duck, not stopping, and able to record."""
        return not self.unready()

    def unready(self) -> str:
        """Return in one line why this process does not serve, or an empty string if it does."""
        if self.shutdown.told:
            return "leaving"
        if self.shutdown.phase is not Phase.SERVING:
            return "starting"
        if self.lame:
            return "lame duck"
        return "" if self.journal.recording() else f"the journal records nothing new: {self.journal.trouble}"

    def figures(self) -> str:
        """Return the metrics in the text exposition format."""
        exchange = self.exchange
        classes = list(exchange.settings.classes)
        return exchange.figures.exposition(
            classes, len(exchange.messages), len(exchange.table.names()), exchange.ejected
        )

    def detach(self, name: str) -> bool:
        """Send nothing new to an endpoint, also after a restart; return False if it is unknown."""
        return self._changed_ban(name, True)

    def attach(self, name: str) -> bool:
        """Use an endpoint again, starting cold; return False if it was not detached."""
        return self._changed_ban(name, False)

    def _changed_ban(self, name: str, banned: bool) -> bool:
        """Change a ban, and write the bans for the next restart and the other process.

        The bans on disk are read first. Raises NotKeptError if they cannot be written: the change is in force
        all the same, and is written once there is room.
        """
        self._take_bans()
        if not (self.exchange.detach if banned else self.exchange.attach)(name):
            return False
        log.info("mgmt: %s is %s", name, "detached" if banned else "attached again")
        if self.channels is not None:
            self.channels.change(name, banned)
        self.unkept[name] = banned
        if why := self._keep_bans():
            log.error("mgmt: detached endpoints are not written, and kept in memory until they are: %s", why)
            raise NotKeptError(why)
        return True

    def _keep_bans(self) -> str:
        """Write the bans; return the reason if that failed, or an empty string."""
        try:
            self.bans.write(self.exchange.bans)
        except OSError as error:
            return error.strerror or str(error)
        self.unkept.clear()
        return ""

    def _fleet_bans(self, named: set[str], detached: set[str]) -> None:
        """Apply the detachments and attachments of the whole fleet to all endpoints that it names."""
        for name in sorted(named):
            if (banned := name in detached) is (name in self.exchange.bans):
                continue
            (self.exchange.ban if banned else self.exchange.attach)(name)
            self.unkept[name] = banned
            log.info("channels: %s is %s by an operator", name, "detached" if banned else "attached again")
        if self.unkept and (why := self._keep_bans()):
            log.error("channels: detached endpoints are not written yet: %s", why)

    def log_of_channels(self) -> ChannelPart | None:
        """Return the channel log, or None if it is not configured."""
        return self.channels

    def lameduck(self, on: bool) -> None:
        """Begin or end lame duck: the health check fails, and connections close between requests."""
        if on != self.lame:
            log.info("mgmt: lame duck %s", "on" if on else "off")
        self.lame = on
        for front, _ in self.fronts:
            front.lameduck(on)

    def _take_bans(self) -> None:
        """Apply the bans from the file if the other process has changed it."""
        if (bans := self.bans.changed()) is None:
            return
        for name, banned in self.unkept.items():
            (bans.add if banned else bans.discard)(name)
        for name in sorted(self.exchange.bans - bans):
            self.exchange.attach(name)
        for name in sorted(bans - self.exchange.bans):
            self.exchange.ban(name)

    async def _watch_folder(self) -> None:
        """Follow the other process's bans, and save the known outages."""
        while True:
            await pause(self.exchange.after, FOLDER_LOOK_US)
            self.outages.keep(self.exchange.outages(), self.clock.now_us())
            self._take_bans()
            if self.unkept and not self._keep_bans():
                log.info("mgmt: detached endpoints are written again")

    async def _take_over(self) -> None:
        """Own the previous process's messages once it releases its journal.

        Afterwards, also own those of any process that dies while running beside this one: nothing else would
        find them before a restart.
        """
        while (taken := self.journal.absorb()) is None:
            await pause(self.exchange.after, SHARED_LOOK_US)
        self._owned(taken)
        while True:
            await pause(self.exchange.after, DIED_LOOK_US)
            if self.journal.other_path.exists() and (taken := self.journal.absorb()) is not None:
                self._owned(taken)

    def _owned(self, taken: list[Message]) -> None:
        own(self.exchange, self.forms, taken)
        if self.notices is not None:
            for message_id in self.journal.absorbed:
                ended = self.journal.ends.get(message_id)
                if ended is not None and ended.untold and ended.front == PLATFORM:
                    self.notices.tell(message_id, ended.end)
        self.journal.absorbed.clear()
        self.exchange.pump()

    async def start(self) -> None:
        """Replay the journal, own its outstanding messages, and open the ports."""
        self.journal.open()
        self._take_bans()
        if self.config.record is not None:
            self._start_recorder(self.config.record)
        owed = list(self.journal.owed.values())
        if self.config.platform is not None:
            self._start_platform(self.config.platform)
        if self.config.otlp is not None:
            self._start_otlp(self.config.otlp)
        if self.config.consul is not None:
            consul = self.config.consul
            self.consul = ConsulSource(self.exchange, consul.address, consul.services, consul.tag)
            self.consul.start()
        if self.config.instances:
            self.exchange.list_instances(UpdateScope.FULL, self.config.instances, "file")
        if self.watch is not None and self.config.platform is not None and self.config.platform.pushed:
            # before anything is sent, because a pushed list counts as known from the start
            await self.watch.first()
        self.exchange.recall(self.outages.read(self.clock.now_us(), self.config.settings.ramp_us))
        self.shutdown.owns()
        own(self.exchange, self.forms, owed)
        self.exchange.pump()
        for front, (host, port) in self.fronts:
            try:
                await front.listen(host, port)
            except OSError as error:
                raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror or error}") from None
        if self.config.mgmt is not None:
            self.mgmt = ManagementServer(self.exchange, self)
            host, port = self.config.mgmt
            try:
                await self.mgmt.listen(host, port)
            except OSError as error:
                raise ConfigError(f"cannot listen on {host}:{port}: {error.strerror or error}") from None
        self._tasks = [
            asyncio.ensure_future(self._take_over()),
            asyncio.ensure_future(self._watch_folder()),
        ]
        if self.config.channels is not None:
            self._start_channels(self.config.channels)
        self.shutdown.serves()
        if self.config.console is not None:
            self.console = ConsoleServer(self.config.name, self.exchange)
            try:
                await self.console.listen_at(self.config.console)
            except OSError as error:
                where = self.config.console
                raise ConfigError(f"cannot open {where}: {error.strerror or error}") from None
        log.info("%s: serving; %d messages owed from before", self.config.name, len(owed))

    @property
    def _clients_most(self) -> int:
        """Descriptors for the clients of one front end."""
        fronts = (self.config.platform is not None) + (self.config.otlp is not None)
        return max(16, self.room.clients // max(1, fronts))

    def _start_platform(self, platform: PlatformConfig) -> None:
        exchange = self.exchange
        self.fronts.append((PlatformClients(exchange, self._clients_most), platform.listen))
        self.watch = DiscoveryWatch(exchange, *platform.discovery, platform.seq, platform.pushed)
        exchange.watch = self.watch.watch
        notices = self.notices = Notices(*platform.discovery, exchange.after, self.journal.told)
        exchange.listeners[PLATFORM] = notices.ended
        exchange.round_over = notices.flush
        for message_id, end in self.journal.untold(PLATFORM):
            notices.tell(message_id, end)
        exchange.list_instances(UpdateScope.FULL, platform.known)
        if platform.peers is not None:
            self._start_peers(platform.peers)

    def _start_peers(self, peers: PeersConfig) -> None:
        exchange = self.exchange
        port = PeerPort(peers.listen, peers.peers, peers.all_at, exchange.heard, self.clock.now_us)
        try:
            port.open()
        except OSError as error:
            # The guarantees to clients do not depend on gossip: without it the sender serves as before.
            log.warning("notes: none: cannot listen on %s:%d: %s", *peers.listen, error.strerror or error)
            return
        self.peers, exchange.tell = port, port.tell

    def _start_channels(self, channels: ChannelsConfig) -> None:
        from rowanrack.channels_io.part import ChannelPart  # loads sqlite3, msgspec and blake3 only if used

        config, bans = self.config, self._fleet_bans
        part = ChannelPart(channels, config.name, config.state, self.exchange, config.seed, bans)
        part.start()
        self.channels = part

    def _start_recorder(self, record: RecordConfig) -> None:
        from rowanrack.record.recorder import recorder  # loads msgspec and blake3 only if used

        self.recorder = recorder(self.config.name, self.exchange, record.folder, record.most_bytes)
        self.recorder.start()

    def _start_otlp(self, otlp: OtlpConfig) -> None:
        # Imported only if configured: the protobuf classes take memory, which the platform limits.
        from rowanrack.fronts.otlp.calls import OtlpForm
        from rowanrack.fronts.otlp.clients import OtlpClients

        server = OtlpClients(self.exchange, otlp.mapping, otlp.body_limit, self._clients_most)
        self.otlp = server
        self.fronts.append((server, otlp.listen))
        self.exchange.listeners[OTLP] = server.ended
        self.forms[OTLP] = OtlpForm()

    def ask_to_load(self, load: Callable[[], Config]) -> None:
        """Handle SIGHUP: reload now, also during shutdown, or once the start is complete."""
        if self._started:
            self.load_again(load)
        else:
            self._load_asked = load

    def load_again(self, load: Callable[[], Config]) -> None:
        """Load the configuration and apply it; if it is invalid, the old one stays in force."""
        try:
            self.reload(load())
        except ConfigError as error:
            log.error("reload: the old configuration stays: %s", error)
        except Exception:
            log.exception("reload: failed")  # a defect in the reload must not end the sender

    def reload(self, new: Config) -> None:
        """Apply the parts of a configuration that can be reloaded (see `needs_restart`).

        Messages and open calls are not affected.
        """
        old = self.config
        for key in needs_restart(old, new):
            log.warning("reload: %s has changed, which needs a restart", key)
        if old.platform is not None and new.platform is not None:
            if old.platform.discovery != new.platform.discovery:
                log.info("reload: discovery is now at %s:%d", *new.platform.discovery)
                # The watch and the notices use the same address, so both move.
                for mover in (self.watch, self.notices):
                    if mover is not None:
                        mover.move(*new.platform.discovery)
            platform = replace(old.platform, discovery=new.platform.discovery)
            self.config = replace(self.config, platform=platform)
        if self.otlp is not None and old.otlp is not None and new.otlp is not None:
            self.otlp.mapping = new.otlp.mapping
            self.config = replace(self.config, otlp=replace(old.otlp, mapping=new.otlp.mapping))
        if old.instances != new.instances:
            self.exchange.list_instances(UpdateScope.FULL, new.instances, "file")
            self.config = replace(self.config, instances=new.instances)
        log.info("reload: the configuration is taken over")

    def tell_to_end(self) -> None:
        """Handle SIGTERM or SIGINT."""
        self.shutdown.tell()
        self.told.set()

    async def run(self) -> None:
        """Start, serve until SIGTERM or SIGINT, and shut down."""
        starting = asyncio.ensure_future(self.start())
        told = asyncio.ensure_future(self.told.wait())
        try:
            await asyncio.wait({starting, told}, return_when=asyncio.FIRST_COMPLETED)
            if self.shutdown.phase is Phase.LEFT:
                log.info("stopped: told to end before anything was owned")
                return
            await starting
            self._started = True
            if self._load_asked is not None:
                self.load_again(self._load_asked)
            await told
        finally:
            starting.cancel()
            told.cancel()
        await self.stop()

    async def stop(self) -> None:
        """Shut down: keep answering, settle open calls, and leave the rest to the journal."""
        log.info(
            "stopping: %d messages owed, %d calls out%s",
            len(self.exchange.messages),
            len(self.pool.tasks),
            "; the next process serves beside this one" if self.journal.shared() else "",
        )
        while wait_us := self.shutdown.advance():
            await pause(self.exchange.after, wait_us)
        if self.channels is not None:
            await self.channels.end(self.shutdown.log_end_us() / 1e6)
        clients = sum(len(front.streams) for front, _ in self.fronts)
        log.info(
            "stopped: %d messages stay owed; %d calls out, %d client connections, notices %s",
            len(self.exchange.messages),
            len(self.pool.tasks),
            clients,
            "told" if self._all_told() else "pending",
        )

    # Interface for the shutdown sequence.

    def takes_over(self) -> bool:
        """Return whether the next process of a hot restart takes over all outstanding messages.

        Not with OTLP: its clients wait on their connections for the final answer.
        """
        return self.config.otlp is None and self.journal.shared()

    def drain(self) -> None:
        """Close the clients' ports, and each connection as soon as it is between requests."""
        for front, _ in self.fronts:
            front.drain()

    def freeze(self) -> None:
        """Begin no more calls."""
        self.exchange.freeze()

    def settled(self) -> bool:
        """Return whether no call can begin or is open, all notices are sent, and all clients have left."""
        owed = not self.exchange.frozen and bool(self.exchange.messages)
        clients = any(not front.gone for front, _ in self.fronts)
        return not (owed or self.pool.tasks or clients) and self._all_told()

    def _all_told(self) -> bool:
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
        self.journal.close()


async def serve(load: Callable[[], Config]) -> None:
    """Run a sender until SIGTERM or SIGINT; SIGHUP reloads the configuration, completely or not at all."""
    sender: Sender
    loop = asyncio.get_running_loop()
    # Installed before the configuration is read: the handler of an early signal runs in the loop's first
    # iteration.
    loop.add_signal_handler(signal.SIGHUP, lambda: sender.ask_to_load(load))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: sender.tell_to_end())
    sender = Sender(load())
    try:
        await sender.run()
    finally:
        sender.close()
