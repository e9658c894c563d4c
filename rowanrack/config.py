"""What a sender is told: the platform's environment, checked before anything starts."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rowanrack.core.messages import Instance
from rowanrack.fronts.platform.discovery import ListError, parse_address, parse_list
from rowanspindle import Settings
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


def load_json(path: Path) -> dict[str, Any]:
    """A JSON object from a file."""
    try:
        doc = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: no JSON: {error}") from None
    if not isinstance(doc, dict):
        raise ConfigError(f"{path}: not a JSON object")
    return doc


def platform_config(env: Mapping[str, str]) -> Config:
    """The configuration of a sender on the platform, from its environment."""
    if not env.get("ROUTER_CONFIG"):
        raise ConfigError("ROUTER_CONFIG is not set")
    doc = load_json(Path(env["ROUTER_CONFIG"]))
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
                parse_address(env.get("ROUTER_DISCOVERY") or doc["discovery"]),
                seq,
                tuple(known),
            ),
        )
    except (WireError, ListError) as error:
        raise ConfigError(f"{env['ROUTER_CONFIG']}: {error}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{env['ROUTER_CONFIG']}: bad or missing {error}") from None
