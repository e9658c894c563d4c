"""The assembly: one sender, from its configuration to its last answer."""

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

PLATFORM_KEEP_US = 1_000_000  # its clients hand nothing in under an old id once the message's time is up
FILES = 40  # descriptors for the journal, the ports, discovery, the console, and connections being closed
SHARED_LOOK_US = 100_000  # between looks at whether the other process of a hot restart has let go
DIED_LOOK_US = 1_000_000  # and, once it has, at whether one that came later has died
FOLDER_LOOK_US = 200_000  # between looks at the bans that the other process may have changed, and at outages


@dataclass(frozen=True, slots=True)
class Descriptors:
    """How the limit on descriptors is divided."""

    idle: int  # connections to instances that stand idle
    clients: int

    @classmethod
    def of(cls, sockets: int, slots: int) -> Descriptors:
        """A third is what clients hold for requests at most; silent and idle ones stand beside those."""
        spare = sockets - FILES - slots - sockets // 3
        idle = max(8, min(3 * slots, spare // 2))
        return cls(idle, sockets - FILES - slots - idle)


class Sender:
    """One running sender and its parts."""

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
        self.unkept: dict[str, bool] = {}  # changes that hold and are not on disk: True for a ban
        self.mgmt: ManagementServer | None = None
        self.peers: PeerPort | None = None
        self.channels: ChannelPart | None = None
        self.lame = False
        self.told = asyncio.Event()  # SIGTERM or SIGINT has come
        self._started = False
        self._load_asked: Callable[[], Config] | None = None  # by SIGHUP, ahead of the end of the start
        self.shutdown = Shutdown(self, self.clock.now_us)

    # What the operators' calls reach.

    def ready(self) -> bool:
        """Whether this process serves: started, not in lame duck, not leaving, and able to record."""
        return not self.unready()

    def unready(self) -> str:
        """Why this process does not serve, in one line; empty while it does."""
        if self.shutdown.told:
            return "leaving"
        if self.shutdown.phase is not Phase.SERVING:
            return "starting"
        if self.lame:
            return "lame duck"
        return "" if self.journal.recording() else f"the journal records nothing new: {self.journal.trouble}"

    def figures(self) -> str:
        """The figures in the exposition format."""
        exchange = self.exchange
        classes = list(exchange.settings.classes)
        return exchange.figures.exposition(
            classes, len(exchange.messages), len(exchange.table.names()), exchange.ejected
        )

    def detach(self, name: str) -> bool:
        """Send nothing new to an endpoint, also after a restart; False if nobody knows it."""
        return self._changed_ban(name, True)

    def attach(self, name: str) -> bool:
        """Use an endpoint again, as a cold one; False if it was not detached."""
        return self._changed_ban(name, False)

    def _changed_ban(self, name: str, banned: bool) -> bool:
        """Change a ban on the bans as they stand, and write them for a restart and the other process.

        Raises NotKeptError if they cannot be written: the change holds, and is written once there is room.
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
        """Write the bans; why that failed, or nothing."""
        try:
            self.bans.write(self.exchange.bans)
        except OSError as error:
            return error.strerror or str(error)
        self.unkept.clear()
        return ""

    def _fleet_bans(self, named: set[str], detached: set[str]) -> None:
        """Take over what the fleet's operators have detached and attached: all endpoints that they named."""
        for name in sorted(named):
            if (banned := name in detached) is (name in self.exchange.bans):
                continue
            (self.exchange.ban if banned else self.exchange.attach)(name)
            self.unkept[name] = banned
            log.info("channels: %s is %s by an operator", name, "detached" if banned else "attached again")
        if self.unkept and (why := self._keep_bans()):
            log.error("channels: detached endpoints are not written yet: %s", why)

    def log_of_channels(self) -> ChannelPart | None:
        """The channels' log; None without one."""
        return self.channels

    def lameduck(self, on: bool) -> None:
        """Begin or end a drain of the clients: the health answer turns, connections end between requests."""
        if on != self.lame:
            log.info("mgmt: lame duck %s", "on" if on else "off")
        self.lame = on
        for front, _ in self.fronts:
            front.lameduck(on)

    def _take_bans(self) -> None:
        """Take over the bans as the file has them, if the other process has changed them."""
        if (bans := self.bans.changed()) is None:
            return
        for name, banned in self.unkept.items():
            (bans.add if banned else bans.discard)(name)
        for name in sorted(self.exchange.bans - bans):
            self.exchange.attach(name)
        for name in sorted(bans - self.exchange.bans):
            self.exchange.ban(name)

    async def _watch_folder(self) -> None:
        """Follow the bans of the other process, and keep what is known of outages."""
        while True:
            await pause(self.exchange.after, FOLDER_LOOK_US)
            self.outages.keep(self.exchange.outages(), self.clock.now_us())
            self._take_bans()
            if self.unkept and not self._keep_bans():
                log.info("mgmt: detached endpoints are written again")

    async def _take_over(self) -> None:
        """Own what the process before this one left, once it lets go of its journal.

        Then what another process leaves that dies beside this one: nobody else would look before a restart.
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
        """Replay the journal, own what is owed, and open the ports."""
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
            await self.watch.first()  # before anything is sent: it counts as told
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
        """Descriptors for the clients of one front."""
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
            # What is owed to clients rests on no note: a sender without them serves as it did before.
            log.warning("notes: none: cannot listen on %s:%d: %s", *peers.listen, error.strerror or error)
            return
        self.peers, exchange.tell = port, port.tell

    def _start_channels(self, channels: ChannelsConfig) -> None:
        from rowanrack.channels_io.part import ChannelPart  # sqlite3, msgspec, blake3: only where it is used

        config, bans = self.config, self._fleet_bans
        part = ChannelPart(channels, config.name, config.state, self.exchange, config.seed, bans)
        part.start()
        self.channels = part

    def _start_recorder(self, record: RecordConfig) -> None:
        from rowanrack.record.recorder import recorder  # msgspec, blake3: only where they are used

        self.recorder = recorder(self.config.name, self.exchange, record.folder, record.most_bytes)
        self.recorder.start()

    def _start_otlp(self, otlp: OtlpConfig) -> None:
        # Imported only where it is set up: protobuf's classes take memory that the platform counts.
        from rowanrack.fronts.otlp.calls import OtlpForm
        from rowanrack.fronts.otlp.clients import OtlpClients

        server = OtlpClients(self.exchange, otlp.mapping, otlp.body_limit, self._clients_most)
        self.otlp = server
        self.fronts.append((server, otlp.listen))
        self.exchange.listeners[OTLP] = server.ended
        self.forms[OTLP] = OtlpForm()

    def ask_to_load(self, load: Callable[[], Config]) -> None:
        """SIGHUP has come: it is done at once, also while the sender ends, or once all parts are there."""
        if self._started:
            self.load_again(load)
        else:
            self._load_asked = load

    def load_again(self, load: Callable[[], Config]) -> None:
        """Take the configuration over as it is by now, or leave the old one in force if it cannot be used."""
        try:
            self.reload(load())
        except ConfigError as error:
            log.error("reload: the old configuration stays: %s", error)
        except Exception:
            log.exception("reload: failed")  # a defect here must not end the sender

    def reload(self, new: Config) -> None:
        """Take over what a reload may change (see `needs_restart`); messages and calls go on unharmed."""
        old = self.config
        for key in needs_restart(old, new):
            log.warning("reload: %s has changed, which needs a restart", key)
        if old.platform is not None and new.platform is not None:
            if old.platform.discovery != new.platform.discovery:
                log.info("reload: discovery is now at %s:%d", *new.platform.discovery)
                # Guards against a move by halves: the watch and the notices share the address.
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
        """SIGTERM or SIGINT has come."""
        self.shutdown.tell()
        self.told.set()

    async def run(self) -> None:
        """Start, serve until told to end, and end."""
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
        """After SIGTERM: keep answering, settle what is out, and leave the rest to the journal."""
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

    # What the shutdown sequence reaches.

    def takes_over(self) -> bool:
        """Whether the next process of a hot restart goes on with all that is owed.

        Not with OTLP: its clients wait on their connections for the end of what they handed in.
        """
        return self.config.otlp is None and self.journal.shared()

    def drain(self) -> None:
        """Close the clients' ports, and each connection as soon as it is between requests."""
        for front, _ in self.fronts:
            front.drain()

    def freeze(self) -> None:
        """Begin no call any more."""
        self.exchange.freeze()

    def settled(self) -> bool:
        """Whether nothing may still begin, nothing is out, all is told and all clients are gone."""
        owed = not self.exchange.frozen and bool(self.exchange.messages)
        clients = any(not front.gone for front, _ in self.fronts)
        return not (owed or self.pool.tasks or clients) and self._all_told()

    def _all_told(self) -> bool:
        return self.notices is None or not self.notices.pending

    def close(self) -> None:
        """Let go of everything."""
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
    """Run a sender until SIGTERM or SIGINT; SIGHUP loads the configuration again, whole or not at all."""
    sender: Sender
    loop = asyncio.get_running_loop()
    # Before the configuration is read: a signal that comes meanwhile waits for the loop's first turn.
    loop.add_signal_handler(signal.SIGHUP, lambda: sender.ask_to_load(load))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: sender.tell_to_end())
    sender = Sender(load())
    try:
        await sender.run()
    finally:
        sender.close()
