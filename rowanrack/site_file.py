"""The operator's TOML file as typed records, with readable messages for invalid input.

Only senders at small sites read such a file, so only they import this module and msgspec.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Whole = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Above = Annotated[float, Meta(gt=0)]


class Part(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table in the file; an unknown key is an error."""


class Grade(Part):
    """A message class; times in microseconds."""

    name: str
    slo_us: Count
    deadline_us: Count
    worth: Above
    effect: Literal["retryable", "dedup", "fragile"]
    late_worth: Share = 0.0
    group: Literal["all", "zone"] = "all"
    key_ttl_us: Whole = 0
    one_at_a_time: bool = False
    stream: bool = False


class Extra(Part):
    """Properties of the service."""

    slots: Count | None = None
    batch_by_kind: list[Count] = []
    kind_apart: list[bool] = []
    fades: Literal["line", "halves"] = "line"


class Limits(Part):
    """The limits that the site sets."""

    most_held: Count
    try_limit: Count | None = None
    cancel: bool | None = None
    second_copies: bool | None = None
    max_retry_after_us: Whole | None = None
    keepalive_us: Count | None = None
    connect_timeout_us: Count | None = None
    streams_per_conn: Count | None = None
    peers: bool | None = None


class Rules(Part):
    """Parameters of the delivery rules."""

    ask_within_us: Count | None = None
    answer_slack_us: Whole | None = None
    drain_grace_us: Whole | None = None
    cold_share: Share | None = None
    ramp_time_us: Count | None = None
    fall_us: Count | None = None
    overload_factor: Above | None = None
    key_rest_us: Whole | None = None


class Tenant(Part):
    """A tenant, and the rate up to which its messages count in full."""

    name: str
    quota_per_s: Above
    fraction: Share | None = None


class Report(Part):
    """The load reports that answers carry."""

    how: Literal["piggyback", "pull", "silent"] = "silent"
    names: list[str] = []


class Prices(Part):
    """The prices of messages between senders and of traffic across zones."""

    peer: Annotated[float, Meta(ge=0)] | None = None
    cross_zone: Annotated[float, Meta(ge=0)] | None = None


class SettingsTable(Part):
    """The settings of the decision module, under the platform's names."""

    grades: Annotated[list[Grade], Meta(min_length=1)]
    limits: Limits
    kinds: list[str] = []
    extra: Extra = msgspec.field(default_factory=Extra)
    rules: Rules = msgspec.field(default_factory=Rules)
    tenants: list[Tenant] = []
    report: Report = msgspec.field(default_factory=Report)
    prices: Prices = msgspec.field(default_factory=Prices)
    zone: str | None = None
    azs: list[str] = []
    replicas_of_me: Count | None = None
    over_share_worth: Share | None = None
    weight_kind: Literal["silent", "nominal", "rough"] = "nominal"
    membership_mode: Literal["pushed", "on_request"] = "pushed"
    resolution_us: Count = 5000


class PlatformTable(Part):
    """The addresses of the platform's front end and of discovery."""

    listen: str
    discovery: str


class PeersTable(Part):
    """The address on which gossip notes arrive, the other senders' addresses, and the broadcast address."""

    listen: str
    peers: list[str]
    all_at: str


class SourceTable(Part):
    """Where one value of an OTLP request comes from: a header, an attribute or a default."""

    header: str = ""
    attribute: str = ""
    default: str = ""


class MapTable(Part):
    """Where each value of an OTLP request comes from."""

    cls: SourceTable = msgspec.field(default_factory=SourceTable, name="class")
    tenant: SourceTable = msgspec.field(default_factory=SourceTable)
    destination: SourceTable = msgspec.field(default_factory=SourceTable)
    id: SourceTable = msgspec.field(default_factory=SourceTable)
    left_ms: SourceTable = msgspec.field(default_factory=SourceTable)
    key: SourceTable = msgspec.field(default_factory=SourceTable)


class OtlpTable(Part):
    """The OTLP front end."""

    listen: str
    map: MapTable
    body_limit: Annotated[int, Meta(ge=1, le=900 * 1024)] = 256 * 1024
    destinations: dict[str, Whole] = {}


class ConsulTable(Part):
    """The Consul agent, and the services to list or their tag."""

    address: str
    services: list[str] = []
    tag: str = ""


class ConsoleTable(Part):
    """The socket of the console."""

    socket: str


class RecordTable(Part):
    """A recording of what the sender does, without message bodies and ids."""

    folder: str
    most_mb: Annotated[float, Meta(ge=1)] = 64.0


class ChannelsTable(Part):
    """The event log of each channel, and the other senders that keep one."""

    listen: str  # address at which the other senders reach this log
    sites: dict[str, str] = {}  # names and addresses of the other senders
    disk_mb: Annotated[float, Meta(ge=1)] = 64.0
    keep_days: Above = 30.0
    ids: bool = True  # whether events contain message ids


class InstanceTable(Part):
    """An endpoint of a destination."""

    name: str
    address: str
    kind: str
    dest: Whole
    rate: Annotated[float, Meta(ge=0)]
    zone: str = ""


class SiteFile(Part):
    """The complete file."""

    state: str
    settings: SettingsTable
    name: str = "rowanrack"
    disk_mb: Above = 16.0
    sockets: Count = 1024
    platform: PlatformTable | None = None
    peers: PeersTable | None = None
    otlp: OtlpTable | None = None
    consul: ConsulTable | None = None
    console: ConsoleTable | None = None
    record: RecordTable | None = None
    channels: ChannelsTable | None = None
    instance: list[InstanceTable] = []
    mgmt: str | None = None  # address of the management server, host:port


class SiteFileError(ValueError):
    """The file is invalid; the text gives the line, the key, what was expected and what was found."""


WRONG = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>.*?)`)?$")
STEP = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d+|\.\.\.)\]")
HEADER = re.compile(r"^\s*\[(\[?)\s*([^\]]+?)\s*\]\]?")


def read(path: Path) -> SiteFile:
    """Read the file. Raises SiteFileError if it is invalid, and OSError if it cannot be read."""
    text = path.read_text(encoding="utf-8")
    try:
        doc = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SiteFileError(f"no TOML: {error}") from None
    try:
        return msgspec.convert(doc, SiteFile)
    except msgspec.ValidationError as error:
        raise SiteFileError(explain(str(error), doc, text)) from None


def explain(said: str, doc: dict[str, Any], text: str) -> str:
    """Turn an error of msgspec into one line with the line number, the key, and the expected value."""
    found = WRONG.match(said)
    assert found is not None
    what, steps = found["what"], [a or b for a, b in STEP.findall(found["path"] or "")]
    if named := re.search(r"unknown field `(.+?)`", what):
        steps.append(named[1])
        what = "unknown key"
    elif named := re.search(r"missing required field `(.+?)`", what):
        return f"{'.'.join([*steps, named[1]])} is missing"
    else:
        what = what[:1].lower() + what[1:].replace("`", "").replace(", got ", ", not ")
        value: Any = doc
        for step in steps:
            value = value[int(step)] if isinstance(value, list) and step.isdigit() else value.get(step)
        if not isinstance(value, dict | list):
            what += f" ({value!r})"
    line = line_of(text, steps)
    return f"{f'line {line}: ' if line else ''}{'.'.join(steps)}: {what}"


def line_of(text: str, steps: list[str]) -> int | None:
    """Return the line of a key, found by the tables and arrays of tables before it; None if not found."""
    wanted, key = steps[:-1], steps[-1] if steps else ""
    here: list[str] = []
    counts: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if head := HEADER.match(line):
            name = head[2].strip()
            here = [part.strip().strip('"') for part in name.split(".")]
            if head[1]:
                counts[name] = counts.get(name, -1) + 1
                here.append(str(counts[name]))
            if here == steps:
                return number
        elif here == wanted and re.match(rf"\s*\"?{re.escape(key)}\"?\s*=", line):
            return number
    return None
