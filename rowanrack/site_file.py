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

NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
UnitFraction = Annotated[float, Meta(ge=0, le=1)]
PositiveFloat = Annotated[float, Meta(gt=0)]


class Table(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table in the file; an unknown key is an error."""


class GradeTable(Table):
    """A message class; times in microseconds."""

    name: str
    slo_us: PositiveInt
    deadline_us: PositiveInt
    worth: PositiveFloat
    effect: Literal["retryable", "dedup", "fragile"]
    late_worth: UnitFraction = 0.0
    group: Literal["all", "zone"] = "all"
    key_ttl_us: NonNegativeInt = 0
    one_at_a_time: bool = False
    stream: bool = False


class ExtraTable(Table):
    """Properties of the service."""

    slots: PositiveInt | None = None
    batch_by_kind: list[PositiveInt] = []
    kind_apart: list[bool] = []
    fades: Literal["line", "halves"] = "line"


class LimitsTable(Table):
    """The limits that the site sets."""

    most_held: PositiveInt
    try_limit: PositiveInt | None = None
    cancel: bool | None = None
    second_copies: bool | None = None
    max_retry_after_us: NonNegativeInt | None = None
    keepalive_us: PositiveInt | None = None
    connect_timeout_us: PositiveInt | None = None
    streams_per_conn: PositiveInt | None = None
    peers: bool | None = None


class RulesTable(Table):
    """Parameters of the delivery rules."""

    ask_within_us: PositiveInt | None = None
    answer_slack_us: NonNegativeInt | None = None
    drain_grace_us: NonNegativeInt | None = None
    cold_share: UnitFraction | None = None
    ramp_time_us: PositiveInt | None = None
    fall_us: PositiveInt | None = None
    overload_factor: PositiveFloat | None = None
    key_rest_us: NonNegativeInt | None = None


class TenantTable(Table):
    """A tenant, and the rate up to which its messages count in full."""

    name: str
    quota_per_s: PositiveFloat
    fraction: UnitFraction | None = None


class ReportTable(Table):
    """The load reports that answers carry."""

    how: Literal["piggyback", "pull", "silent"] = "silent"
    names: list[str] = []


class PricesTable(Table):
    """The prices of messages between senders and of traffic across zones."""

    peer: Annotated[float, Meta(ge=0)] | None = None
    cross_zone: Annotated[float, Meta(ge=0)] | None = None


class SettingsTable(Table):
    """The settings of the decision module, under the platform's names."""

    grades: Annotated[list[GradeTable], Meta(min_length=1)]
    limits: LimitsTable
    kinds: list[str] = []
    extra: ExtraTable = msgspec.field(default_factory=ExtraTable)
    rules: RulesTable = msgspec.field(default_factory=RulesTable)
    tenants: list[TenantTable] = []
    report: ReportTable = msgspec.field(default_factory=ReportTable)
    prices: PricesTable = msgspec.field(default_factory=PricesTable)
    zone: str | None = None
    azs: list[str] = []
    replicas_of_me: PositiveInt | None = None
    over_share_worth: UnitFraction | None = None
    weight_kind: Literal["silent", "nominal", "rough"] = "nominal"
    membership_mode: Literal["pushed", "on_request"] = "pushed"
    resolution_us: PositiveInt = 5000


class PlatformTable(Table):
    """The addresses of the platform's front end and of discovery."""

    listen: str
    discovery: str


class PeersTable(Table):
    """The address on which gossip notes arrive, the other senders' addresses, and the broadcast address."""

    listen: str
    peers: list[str]
    all_at: str


class SourceTable(Table):
    """Where one value of an OTLP request comes from: a header, an attribute or a default."""

    header: str = ""
    attribute: str = ""
    default: str = ""


class MapTable(Table):
    """Where each value of an OTLP request comes from."""

    cls: SourceTable = msgspec.field(default_factory=SourceTable, name="class")
    tenant: SourceTable = msgspec.field(default_factory=SourceTable)
    destination: SourceTable = msgspec.field(default_factory=SourceTable)
    id: SourceTable = msgspec.field(default_factory=SourceTable)
    left_ms: SourceTable = msgspec.field(default_factory=SourceTable)
    key: SourceTable = msgspec.field(default_factory=SourceTable)


class OtlpTable(Table):
    """The OTLP front end."""

    listen: str
    map: MapTable
    body_limit: Annotated[int, Meta(ge=1, le=900 * 1024)] = 256 * 1024
    destinations: dict[str, NonNegativeInt] = {}


class ConsulTable(Table):
    """The Consul agent, and the services to list or their tag."""

    address: str
    services: list[str] = []
    tag: str = ""


class ConsoleTable(Table):
    """The socket of the console."""

    socket: str


class RecordTable(Table):
    """A recording of what the sender does, without message bodies and ids."""

    folder: str
    most_mb: Annotated[float, Meta(ge=1)] = 64.0


class ChannelsTable(Table):
    """The event log of each channel, and the other senders that keep one."""

    listen: str  # address at which the other senders reach this log
    sites: dict[str, str] = {}  # names and addresses of the other senders
    disk_mb: Annotated[float, Meta(ge=1)] = 64.0
    keep_days: PositiveFloat = 30.0
    ids: bool = True  # whether events contain message ids


class InstanceTable(Table):
    """An endpoint of a destination."""

    name: str
    address: str
    kind: str
    dest: NonNegativeInt
    rate: Annotated[float, Meta(ge=0)]
    zone: str = ""


class SiteFile(Table):
    """The complete file."""

    state: str
    settings: SettingsTable
    name: str = "rowanrack"
    disk_mb: PositiveFloat = 16.0
    sockets: PositiveInt = 1024
    memory_mb: PositiveFloat = 192.0
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


VALIDATION_ERROR = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>.*?)`)?$")
PATH_STEP = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d+|\.\.\.)\]")
TABLE_HEADER = re.compile(r"^\s*\[(\[?)\s*([^\]]+?)\s*\]\]?")


def read_site_file(path: Path) -> SiteFile:
    """Read the file. Raises SiteFileError if it is invalid, and OSError if it cannot be read."""
    text = path.read_text(encoding="utf-8")
    try:
        doc = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SiteFileError(f"invalid TOML: {error}") from None
    try:
        return msgspec.convert(doc, SiteFile)
    except msgspec.ValidationError as error:
        raise SiteFileError(explain_validation_error(str(error), doc, text)) from None


def explain_validation_error(message: str, doc: dict[str, Any], text: str) -> str:
    """Turn an error of msgspec into one line with the line number, the key, and the expected value."""
    found = VALIDATION_ERROR.match(message)
    assert found is not None
    what, path = found["what"], [a or b for a, b in PATH_STEP.findall(found["path"] or "")]
    if field := re.search(r"unknown field `(.+?)`", what):
        path.append(field[1])
        what = "unknown key"
    elif field := re.search(r"missing required field `(.+?)`", what):
        return f"{'.'.join([*path, field[1]])} is missing"
    else:
        what = what[:1].lower() + what[1:].replace("`", "").replace(", got ", ", not ")
        value: Any = doc
        for step in path:
            value = value[int(step)] if isinstance(value, list) and step.isdigit() else value.get(step)
        if not isinstance(value, dict | list):
            what += f" ({value!r})"
    line = find_line(text, path)
    return f"{f'line {line}: ' if line else ''}{'.'.join(path)}: {what}"


def find_line(text: str, path: list[str]) -> int | None:
    """Return the line of a key, found by the tables and arrays of tables before it; None if not found."""
    wanted, key = path[:-1], path[-1] if path else ""
    current_table: list[str] = []
    counts: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if header := TABLE_HEADER.match(line):
            name = header[2].strip()
            current_table = [part.strip().strip('"') for part in name.split(".")]
            if header[1]:
                counts[name] = counts.get(name, -1) + 1
                current_table.append(str(counts[name]))
            if current_table == path:
                return number
        elif current_table == wanted and re.match(rf"\s*\"?{re.escape(key)}\"?\s*=", line):
            return number
    return None
