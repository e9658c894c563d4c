"""What a sender is told, checked before it starts: the platform's environment, or an operator's file."""

from __future__ import annotations

import json
import secrets
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from rowanrack.core.messages import Instance
from rowanrack.fronts.otlp.mapping import RequestMap, Source
from rowanrack.fronts.platform.discovery import ListError, parse_address, parse_list
from rowanspindle import Settings, Status
from rowanspindle.wire import WireError, parse_settings


class ConfigError(Exception):
    """The configuration cannot be used; the text is one clear line."""


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """Where the platform's front meets clients and discovery."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seq: int
    known: tuple[Instance, ...]


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
    instances: tuple[Instance, ...] = ()

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
    changed = [
        key
        for key in ("name", "settings", "tick_us", "state", "disk_bytes", "sockets", "consul", "console")
        if getattr(old, key) != getattr(new, key)
    ]
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
        seq, _, known = parse_list(doc["known"])
        limits = doc.get("limits", {})
        return Config(
            name=str(env.get("ROUTER_NAME") or doc["name"]),
            settings=settings,
            tick_us=int(raw.get("resolution_us", 5000)),
            seed=int(str(doc.get("seed", "0")), 16),
            state=Path(state),
            disk_bytes=int(float(limits.get("disk_mb", 3)) * 1_000_000),
            sockets=int(limits.get("sockets", 1024)),
            platform=PlatformConfig(
                parse_address(env.get("ROUTER_LISTEN") or doc["listen"]),
                # The file first: it may have been replaced since the environment was set.
                parse_address(doc.get("discovery") or env["ROUTER_DISCOVERY"]),
                seq,
                tuple(known),
            ),
        )
    except (WireError, ListError) as error:
        raise ConfigError(f"{env['ROUTER_CONFIG']}: {error}") from None
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{env['ROUTER_CONFIG']}: bad or missing {error}") from None


BODY_LIMIT = 256 * 1024  # bytes of an export request, unless the file says otherwise
BODY_MOST = 900 * 1024  # what a record of the journal holds
VALUES = ("class", "tenant", "destination", "id", "left_ms")
TOP = frozenset(
    {"name", "state", "disk_mb", "sockets", "settings", "platform", "otlp", "consul", "console", "instance"}
)


def operator_config(path: Path) -> Config:
    """The configuration of a sender at a small site, from its operator's TOML file."""
    doc = load(path, tomllib.loads, "TOML")
    try:
        only(doc, TOP, "the file")
        state = Path(doc["state"])
        if not state.is_dir():
            raise ValueError(f"state: {state} is not a folder")
        settings = parse_settings(json.dumps(doc["settings"]))
        if "platform" in doc:
            settings = replace(settings, on_request=True)  # its discovery tells only those who ask
        return Config(
            name=str(doc.get("name", "rowanrack")),
            settings=settings,
            tick_us=int(doc["settings"].get("resolution_us", 5000)),
            seed=secrets.randbits(63),
            state=state,
            disk_bytes=int(float(doc.get("disk_mb", 16)) * 1_000_000),
            sockets=int(doc.get("sockets", 1024)),
            platform=_platform(doc["platform"]) if "platform" in doc else None,
            otlp=_otlp(doc["otlp"]) if "otlp" in doc else None,
            consul=_consul(doc["consul"]) if "consul" in doc else None,
            console=Path(doc["console"]["socket"]) if "console" in doc else None,
            instances=tuple(map(_instance, doc.get("instance", []))),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None


def only(doc: dict[str, Any], known: frozenset[str], where: str) -> None:
    """Guards against a misspelt key, which would be passed over without a word."""
    if unknown := set(doc) - known:
        raise ValueError(f"{where}: unknown key {min(unknown)}")


def _platform(doc: dict[str, Any]) -> PlatformConfig:
    only(doc, frozenset({"listen", "discovery"}), "platform")
    return PlatformConfig(parse_address(doc["listen"]), parse_address(doc["discovery"]), 0, ())


def _otlp(doc: dict[str, Any]) -> OtlpConfig:
    only(doc, frozenset({"listen", "body_limit", "map", "destinations"}), "otlp")
    limit = int(doc.get("body_limit", BODY_LIMIT))
    if not 0 < limit <= BODY_MOST:
        raise ValueError(f"body_limit: must lie in 1 to {BODY_MOST}")
    given = doc["map"]
    only(given, frozenset(VALUES), "map")
    cls, tenant, destination, message_id, left_ms = (Source(**given.get(name, {})) for name in VALUES)
    destinations = {str(name): int(number) for name, number in doc.get("destinations", {}).items()}
    mapping = RequestMap(cls, tenant, destination, message_id, left_ms, destinations)
    return OtlpConfig(parse_address(doc["listen"]), limit, mapping)


def _consul(doc: dict[str, Any]) -> ConsulConfig:
    only(doc, frozenset({"address", "services", "tag"}), "consul")
    services, tag = tuple(map(str, doc.get("services", []))), str(doc.get("tag", ""))
    if bool(services) == bool(tag):
        raise ValueError("consul: name either services or a tag")
    return ConsulConfig(parse_address(doc["address"]), services, tag)


def _instance(doc: dict[str, Any]) -> Instance:
    only(doc, frozenset({"name", "address", "zone", "kind", "dest", "rate"}), "instance")
    host, port = parse_address(doc["address"])
    zone, kind, rate = str(doc.get("zone", "")), str(doc["kind"]), float(doc["rate"])
    return Instance(str(doc["name"]), host, port, zone, kind, int(doc["dest"]), Status.LISTED, rate)
