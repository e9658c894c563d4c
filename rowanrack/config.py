"""The configuration of a sender, checked at the start: the platform's environment, or a site file."""

from __future__ import annotations

import json
import secrets
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rowanrack.core.messages import HEADER_SAFE, Endpoint
from rowanrack.fronts.otlp.mapping import RequestMap, ValueSource
from rowanrack.fronts.platform.server_list import ListError, parse_address, parse_list
from rowanspindle import EndpointStatus, Settings
from rowanspindle.gossip import notes_enabled
from rowanspindle.wire import WireError, parse_settings

if TYPE_CHECKING:
    from rowanrack.site_file import InstanceTable, SiteFile


# Where lists are pushed, whatever discovery's agent receives counts as known at once. A failed watch is
# repeated after a quarter of the polling time, with a jitter of a quarter; with this factor the repeat comes
# within half of the drain grace.
PUSHED_POLL_FACTOR = 1.6
DEFAULT_DRAIN_GRACE_US = 250_000  # used if the settings contain none

DEFAULT_TICK_US = 5_000  # timer resolution
DEFAULT_DISK_MB = 3.0  # space for the journal
DEFAULT_SOCKET_COUNT = 1024  # limit on descriptors
DEFAULT_MEMORY_MB = 192.0


class ConfigError(Exception):
    """The configuration is invalid; the text is a single line that says why."""


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """The address on which gossip notes arrive, the other senders' addresses, and the broadcast address."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    all_at: tuple[str, int]


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The addresses of the platform's front end, of discovery and of the other senders."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seq: int
    known: tuple[Endpoint, ...]
    peers: PeersConfig | None = None
    # Whether discovery's lists count as known from the start, even if they were not requested.
    pushed: bool = False


@dataclass(frozen=True, slots=True)
class OtlpConfig:
    """The OTLP front end's address, and how it reads requests."""

    listen: tuple[str, int]
    body_limit: int
    mapping: RequestMap


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """The Consul agent, and the services to list: the named ones, or all with the tag."""

    address: tuple[str, int]
    services: tuple[str, ...]
    tag: str


@dataclass(frozen=True, slots=True)
class RecordConfig:
    """The folder of a recording, and the disk space that it may use."""

    folder: Path
    most_bytes: int


@dataclass(frozen=True, slots=True)
class ChannelsConfig:
    """The channel log: its address, the other sites, and how much is kept for how long."""

    listen: tuple[str, int]
    sites: Mapping[str, tuple[str, int]]
    disk_bytes: int
    keep_us: int
    ids: bool


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of a sender."""

    name: str
    settings: Settings
    tick_us: int
    seed: int
    state: Path
    disk_bytes: int
    sockets: int
    memory_bytes: int = int(DEFAULT_MEMORY_MB * 1_000_000)
    platform: PlatformConfig | None = None
    otlp: OtlpConfig | None = None
    consul: ConsulConfig | None = None
    console: Path | None = None
    record: RecordConfig | None = None
    instances: tuple[Endpoint, ...] = ()
    mgmt: tuple[str, int] | None = None  # address of the management server
    channels: ChannelsConfig | None = None

    def __post_init__(self) -> None:
        for value, name in (
            (self.tick_us, "resolution_us"),
            (self.disk_bytes, "disk_mb"),
            (self.sockets, "sockets"),
            (self.memory_bytes, "memory_mb"),
        ):
            if value < 1:
                raise ValueError(f"{name}: must be above 0")


def needs_restart(old: Config, new: Config) -> list[str]:
    """Return the changed keys that a reload cannot apply.

    A reload applies the platform's `discovery`, the endpoints in the file, and OTLP's map and destinations.
    """
    restart_keys = (
        "name",
        "settings",
        "tick_us",
        "state",
        "disk_bytes",
        "sockets",
        "memory_bytes",
        "consul",
        "console",
        "record",
        "mgmt",
        "channels",
    )
    changed = [key for key in restart_keys if getattr(old, key) != getattr(new, key)]
    for front in ("platform", "otlp"):
        old_front, new_front = getattr(old, front), getattr(new, front)
        if (old_front and old_front.listen) != (new_front and new_front.listen):
            changed.append(f"{front}.listen")
    if old.otlp is not None and new.otlp is not None and old.otlp.body_limit != new.otlp.body_limit:
        changed.append("otlp.body_limit")
    return changed


def load_document(path: Path, parse: Callable[[str], Any], format_name: str) -> dict[str, Any]:
    """Parse a file, and return its top-level object."""
    try:
        doc = parse(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: invalid {format_name}: {error}") from None
    if not isinstance(doc, dict):
        raise ConfigError(f"{path}: not a {format_name} object")
    return doc


def value_or_default(doc: Mapping[str, Any], key: str, default: Any) -> Any:
    """Return a key's value, or the default if the key is absent or null."""
    value = doc.get(key)
    return default if value is None else value


def platform_config(env: Mapping[str, str]) -> Config:
    """Read the configuration of a sender on the platform from its environment."""
    if not env.get("ROUTER_CONFIG"):
        raise ConfigError("ROUTER_CONFIG is not set")
    doc = load_document(Path(env["ROUTER_CONFIG"]), json.loads, "JSON")
    state = env.get("ROUTER_STATE")
    if not state or not Path(state).is_dir():
        raise ConfigError("ROUTER_STATE is not a folder")
    try:
        raw_settings = doc["settings"]
        settings = parse_settings(json.dumps(raw_settings))
        # Such a sender also reads the lists through a watch; only the required polling time differs.
        if pushed := not settings.on_request:
            grace_us = value_or_default(
                value_or_default(raw_settings, "rules", {}), "drain_grace_us", DEFAULT_DRAIN_GRACE_US
            )
            poll_within_us = min(settings.ask_within_us, max(1, int(PUSHED_POLL_FACTOR * grace_us)))
            settings = replace(settings, on_request=True, ask_within_us=poll_within_us)
        seq, _, known = parse_list(doc["known"])
        limits = value_or_default(doc, "limits", {})
        return Config(
            name=str(env.get("ROUTER_NAME") or doc["name"]),
            settings=settings,
            tick_us=int(value_or_default(raw_settings, "resolution_us", DEFAULT_TICK_US)),
            seed=int(str(value_or_default(doc, "seed", "0")), 16),
            state=Path(state),
            disk_bytes=int(float(value_or_default(limits, "disk_mb", DEFAULT_DISK_MB)) * 1_000_000),
            sockets=int(value_or_default(limits, "sockets", DEFAULT_SOCKET_COUNT)),
            memory_bytes=int(float(value_or_default(limits, "memory_mb", DEFAULT_MEMORY_MB)) * 1_000_000),
            platform=PlatformConfig(
                parse_address(env.get("ROUTER_LISTEN") or doc["listen"]),
                # The file takes precedence: it may have been replaced after the environment was set.
                parse_address(doc.get("discovery") or env["ROUTER_DISCOVERY"]),
                seq,
                tuple(known),
                _peers(doc, settings),
                pushed,
            ),
            mgmt=parse_address(mgmt) if (mgmt := env.get("ROUTER_MGMT") or doc.get("mgmt")) else None,
        )
    except (WireError, ListError) as error:
        raise ConfigError(f"{env['ROUTER_CONFIG']}: {error}") from None
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{env['ROUTER_CONFIG']}: invalid or missing value: {error}") from None


def operator_config(path: Path) -> Config:
    """Read the configuration of a sender at a small site from the operator's TOML file."""
    from rowanrack.site_file import SiteFileError, read_site_file  # loads msgspec only if used

    try:
        site: SiteFile = read_site_file(path)
        state = Path(site.state)
        if not state.is_dir():
            raise ValueError(f"state: {state} is not a folder")
        # The records have been validated; the settings are parsed by the same code as the platform's.
        settings = parse_settings(json.dumps(tomllib.loads(path.read_text(encoding="utf-8"))["settings"]))
        if site.platform is not None:
            settings = replace(settings, on_request=True)  # its discovery answers only requests
        return Config(
            name=site.name,
            settings=settings,
            tick_us=site.settings.resolution_us,
            seed=secrets.randbits(63),
            state=state,
            disk_bytes=int(site.disk_mb * 1_000_000),
            sockets=site.sockets,
            memory_bytes=int(site.memory_mb * 1_000_000),
            platform=_platform(site, settings),
            otlp=_otlp(site),
            consul=_consul(site),
            console=Path(site.console.socket) if site.console is not None else None,
            record=_record(site),
            channels=_channels(site),
            instances=tuple(map(_to_endpoint, site.instance)),
            mgmt=parse_address(site.mgmt) if site.mgmt else None,
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except SiteFileError as error:
        raise ConfigError(f"{path}: {error}") from None
    except (TypeError, ValueError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _peers(doc: Mapping[str, Any], settings: Settings) -> PeersConfig | None:
    """Return the gossip addresses, or None if the settings disable gossip or an address is missing."""
    listen, peers, all_at = (doc.get(key) for key in ("peer_listen", "peers", "peers_all"))
    if not notes_enabled(settings) or not (listen and peers and all_at):
        return None
    return PeersConfig(parse_address(listen), tuple(map(parse_address, peers)), parse_address(all_at))


def _platform(site: SiteFile, settings: Settings) -> PlatformConfig | None:
    if site.platform is None:
        if site.peers is not None:
            raise ValueError("peers: gossip between senders requires a [platform] table")
        return None
    listen, discovery = site.platform.listen, site.platform.discovery
    peers_table = site.peers
    doc = (
        {}
        if peers_table is None
        else {"peer_listen": peers_table.listen, "peers": peers_table.peers, "peers_all": peers_table.all_at}
    )
    return PlatformConfig(parse_address(listen), parse_address(discovery), 0, (), _peers(doc, settings))


def _otlp(site: SiteFile) -> OtlpConfig | None:
    if (otlp := site.otlp) is None:
        return None
    mapped = otlp.map
    sources = (mapped.cls, mapped.tenant, mapped.destination, mapped.id, mapped.left_ms, mapped.key)
    cls, tenant, dest, message_id, left_ms, key = (
        ValueSource(s.header, s.attribute, s.default) for s in sources
    )
    mapping = RequestMap(cls, tenant, dest, message_id, left_ms, key, otlp.destinations)
    return OtlpConfig(parse_address(otlp.listen), otlp.body_limit, mapping)


def _consul(site: SiteFile) -> ConsulConfig | None:
    if (consul := site.consul) is None:
        return None
    if bool(consul.services) == bool(consul.tag):
        raise ValueError("consul: name either services or a tag")
    return ConsulConfig(parse_address(consul.address), tuple(consul.services), consul.tag)


def _record(site: SiteFile) -> RecordConfig | None:
    if site.record is None:
        return None
    return RecordConfig(Path(site.record.folder), int(site.record.most_mb * 1_000_000))


def _channels(site: SiteFile) -> ChannelsConfig | None:
    if (channels := site.channels) is None:
        return None
    if site.name in channels.sites:
        raise ValueError(f"channels.sites: {site.name} is this sender itself")
    sites: dict[str, tuple[str, int]] = {}
    for name, address in channels.sites.items():
        if not HEADER_SAFE.fullmatch(name) or "/" in name:
            raise ValueError(
                f"channels.sites: {name!r} is not a valid name: no spaces, slashes or control characters"
            )
        sites[name] = _address(f"channels.sites.{name}", address)
    listen = _address("channels.listen", channels.listen)
    return ChannelsConfig(
        listen,
        sites,
        int(channels.disk_mb * 1_000_000),
        int(channels.keep_days * 86_400_000_000),
        channels.ids,
    )


def _address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ListError as error:
        raise ValueError(f"{key}: {error}") from None


def _to_endpoint(table: InstanceTable) -> Endpoint:
    host, port = parse_address(table.address)
    return Endpoint(
        table.name, host, port, table.zone, table.kind, table.dest, EndpointStatus.LISTED, table.rate
    )
