"""What a sender is told, checked before it starts: the platform's environment, or an operator's file."""

from __future__ import annotations

import json
import secrets
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rowanrack.core.messages import HEADER_SAFE, Endpoint
from rowanrack.fronts.otlp.mapping import RequestMap, Source
from rowanrack.fronts.platform.discovery import ListError, parse_address, parse_list
from rowanspindle import EndpointStatus, Settings
from rowanspindle.gossip import notes_enabled
from rowanspindle.wire import WireError, parse_settings

if TYPE_CHECKING:
    from rowanrack.site_file import InstanceTable, SiteFile


# Where lists are pushed, what the agent gets when discovery returns counts as told at once. A failed watch is
# asked for after a quarter of the time for asking, spread by a quarter: so within half of the drain grace.
PUSHED_WITHIN_GRACES = 1.6
DRAIN_GRACE_US = 250_000  # where the settings name none

TICK_US = 5_000  # resolution of timers where none is given,
DISK_MB = 3.0  # and the room for the journal,
SOCKETS = 1024  # and the descriptors


class ConfigError(Exception):
    """The configuration cannot be used; the text is one clear line."""


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """Where notes from other senders arrive, the addresses that they come from, and that of all of them."""

    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]
    all_at: tuple[str, int]


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Where the platform's front meets clients and discovery, and this sender the others."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seq: int
    known: tuple[Endpoint, ...]
    peers: PeersConfig | None = None
    pushed: bool = False  # whether what discovery has counts as told from the start, asked for or not


@dataclass(frozen=True, slots=True)
class OtlpConfig:
    """Where the OTLP front listens, and how it reads requests."""

    listen: tuple[str, int]
    body_limit: int
    mapping: RequestMap


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """Consul's agent, and the services whose instances are listed: those named, or those with the tag."""

    address: tuple[str, int]
    services: tuple[str, ...]
    tag: str


@dataclass(frozen=True, slots=True)
class RecordConfig:
    """Where a recording goes, and the room on disk that it may take."""

    folder: Path
    most_bytes: int


@dataclass(frozen=True, slots=True)
class ChannelsConfig:
    """Where other sites reach this sender's log, the sites, and how much is kept for how long."""

    listen: tuple[str, int]
    sites: Mapping[str, tuple[str, int]]
    disk_bytes: int
    keep_us: int
    ids: bool


@dataclass(frozen=True, slots=True)
class Config:
    """All that a sender needs to know at its start."""

    name: str
    settings: Settings
    tick_us: int
    seed: int
    state: Path
    disk_bytes: int
    sockets: int
    platform: PlatformConfig | None = None
    otlp: OtlpConfig | None = None
    consul: ConsulConfig | None = None
    console: Path | None = None
    record: RecordConfig | None = None
    instances: tuple[Endpoint, ...] = ()
    mgmt: tuple[str, int] | None = None  # the operators' address
    channels: ChannelsConfig | None = None

    def __post_init__(self) -> None:
        for value, name in (
            (self.tick_us, "resolution_us"),
            (self.disk_bytes, "disk_mb"),
            (self.sockets, "sockets"),
        ):
            if value < 1:
                raise ValueError(f"{name}: must be above 0")


def needs_restart(old: Config, new: Config) -> list[str]:
    """The keys in which a configuration differs from the one in use, but for those that a reload takes over.

    A reload takes over: the platform's `discovery`, the file's instances, and OTLP's map and destinations.
    """
    fixed = (
        "name",
        "settings",
        "tick_us",
        "state",
        "disk_bytes",
        "sockets",
        "consul",
        "console",
        "record",
        "mgmt",
        "channels",
    )
    changed = [key for key in fixed if getattr(old, key) != getattr(new, key)]
    for front in ("platform", "otlp"):
        was, wanted = getattr(old, front), getattr(new, front)
        if (was and was.listen) != (wanted and wanted.listen):
            changed.append(f"{front}.listen")
    if old.otlp is not None and new.otlp is not None and old.otlp.body_limit != new.otlp.body_limit:
        changed.append("otlp.body_limit")
    return changed


def load(path: Path, parse: Callable[[str], Any], form: str) -> dict[str, Any]:
    """The object in a file of that form."""
    try:
        doc = parse(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: no {form}: {error}") from None
    if not isinstance(doc, dict):
        raise ConfigError(f"{path}: not a {form} object")
    return doc


def given(doc: Mapping[str, Any], key: str, default: Any) -> Any:
    """What a document says under a key that may be absent or null."""
    value = doc.get(key)
    return default if value is None else value


def platform_config(env: Mapping[str, str]) -> Config:
    """The configuration of a sender on the platform, from its environment."""
    if not env.get("ROUTER_CONFIG"):
        raise ConfigError("ROUTER_CONFIG is not set")
    doc = load(Path(env["ROUTER_CONFIG"]), json.loads, "JSON")
    state = env.get("ROUTER_STATE")
    if not state or not Path(state).is_dir():
        raise ConfigError("ROUTER_STATE is not a folder")
    try:
        raw = doc["settings"]
        settings = parse_settings(json.dumps(raw))
        # Where lists are pushed, they come on a watch here too; only the clock is another.
        if pushed := not settings.on_request:
            grace_us = given(given(raw, "rules", {}), "drain_grace_us", DRAIN_GRACE_US)
            within_us = min(settings.ask_within_us, max(1, int(PUSHED_WITHIN_GRACES * grace_us)))
            settings = replace(settings, on_request=True, ask_within_us=within_us)
        seq, _, known = parse_list(doc["known"])
        limits = given(doc, "limits", {})
        return Config(
            name=str(env.get("ROUTER_NAME") or doc["name"]),
            settings=settings,
            tick_us=int(given(raw, "resolution_us", TICK_US)),
            seed=int(str(given(doc, "seed", "0")), 16),
            state=Path(state),
            disk_bytes=int(float(given(limits, "disk_mb", DISK_MB)) * 1_000_000),
            sockets=int(given(limits, "sockets", SOCKETS)),
            platform=PlatformConfig(
                parse_address(env.get("ROUTER_LISTEN") or doc["listen"]),
                # The file first: it may have been replaced since the environment was set.
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
        raise ConfigError(f"{env['ROUTER_CONFIG']}: bad or missing {error}") from None


def operator_config(path: Path) -> Config:
    """The configuration of a sender at a small site, from its operator's TOML file."""
    from rowanrack.site_file import SiteFileError, read  # msgspec: only where it is used

    try:
        site: SiteFile = read(path)
        state = Path(site.state)
        if not state.is_dir():
            raise ValueError(f"state: {state} is not a folder")
        # The records have been checked; the settings are read by the one reader that the platform's have too.
        settings = parse_settings(json.dumps(tomllib.loads(path.read_text(encoding="utf-8"))["settings"]))
        if site.platform is not None:
            settings = replace(settings, on_request=True)  # its discovery tells only those who ask
        return Config(
            name=site.name,
            settings=settings,
            tick_us=site.settings.resolution_us,
            seed=secrets.randbits(63),
            state=state,
            disk_bytes=int(site.disk_mb * 1_000_000),
            sockets=site.sockets,
            platform=_platform(site, settings),
            otlp=_otlp(site),
            consul=_consul(site),
            console=Path(site.console.socket) if site.console is not None else None,
            record=_record(site),
            channels=_channels(site),
            instances=tuple(map(_instance, site.instance)),
            mgmt=parse_address(site.mgmt) if site.mgmt else None,
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except SiteFileError as error:
        raise ConfigError(f"{path}: {error}") from None
    except (TypeError, ValueError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _peers(doc: Mapping[str, Any], settings: Settings) -> PeersConfig | None:
    """Where senders tell each other something; None where they may not, or no address is given."""
    listen, peers, all_at = (doc.get(key) for key in ("peer_listen", "peers", "peers_all"))
    if not notes_enabled(settings) or not (listen and peers and all_at):
        return None
    return PeersConfig(parse_address(listen), tuple(map(parse_address, peers)), parse_address(all_at))


def _platform(site: SiteFile, settings: Settings) -> PlatformConfig | None:
    if site.platform is None:
        if site.peers is not None:
            raise ValueError("peers: senders tell each other something only where there is a [platform]")
        return None
    listen, discovery = site.platform.listen, site.platform.discovery
    told = site.peers
    doc = {} if told is None else {"peer_listen": told.listen, "peers": told.peers, "peers_all": told.all_at}
    return PlatformConfig(parse_address(listen), parse_address(discovery), 0, (), _peers(doc, settings))


def _otlp(site: SiteFile) -> OtlpConfig | None:
    if (otlp := site.otlp) is None:
        return None
    given = otlp.map
    sources = (given.cls, given.tenant, given.destination, given.id, given.left_ms, given.key)
    cls, tenant, dest, message_id, left_ms, key = (Source(s.header, s.attribute, s.default) for s in sources)
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
    if (given := site.channels) is None:
        return None
    if site.name in given.sites:
        raise ValueError(f"channels.sites: {site.name} is this sender itself")
    sites: dict[str, tuple[str, int]] = {}
    for name, address in given.sites.items():
        if not HEADER_SAFE.fullmatch(name) or "/" in name:
            raise ValueError(f"channels.sites: {name!r} is no name: printable, without blanks and slashes")
        sites[name] = _address(f"channels.sites.{name}", address)
    listen = _address("channels.listen", given.listen)
    return ChannelsConfig(
        listen, sites, int(given.disk_mb * 1_000_000), int(given.keep_days * 86_400_000_000), given.ids
    )


def _address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ListError as error:
        raise ValueError(f"{key}: {error}") from None


def _instance(given: InstanceTable) -> Endpoint:
    host, port = parse_address(given.address)
    return Endpoint(
        given.name, host, port, given.zone, given.kind, given.dest, EndpointStatus.LISTED, given.rate
    )
