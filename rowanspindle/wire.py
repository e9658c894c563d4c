"""The simulator's wire: parsing and formatting only; nothing here decides."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from itertools import zip_longest
from typing import Any

from rowanspindle import notes
from rowanspindle.api import (
    Accept,
    Action,
    ArmTimer,
    BroadcastNote,
    Cancel,
    DestinationKind,
    Disconnect,
    Effect,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Fail,
    LogLine,
    MessageClass,
    NoteReceived,
    Outcome,
    Refuse,
    Result,
    Send,
    Settings,
    TimerFired,
    UpdateScope,
    WatchEndpointList,
    Withdrawn,
)

EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
RESULTS = {
    "success": Result.OK,
    "failure": Result.ERROR,
    "overloaded": Result.FULL,
    "timed_out": Result.TIMEOUT,
    "unreachable": Result.CONNECT_FAILED,
    "broken": Result.RESET,
    "withdrawn": Result.CANCELLED,
    "void": Result.MOOT,
}
SCOPES = {
    "delta": UpdateScope.DELTA,
    "full": UpdateScope.FULL,
    "cached": UpdateScope.FULL,
    "failed": UpdateScope.FAILED,
}
STATUSES = {"U": EndpointStatus.LISTED, "L": EndpointStatus.DRAINING, "D": EndpointStatus.REMOVED}


class WireError(ValueError):
    """A line that cannot be read."""


def whole(text: str) -> int:
    """A whole number; '-' is an absent one, read as 0."""
    if text == "-":
        return 0
    try:
        return int(text)
    except ValueError:
        raise WireError(f"not a whole number: {text!r}") from None


def number(text: str) -> float:
    """A finite number; '-' is an absent one, read as 0."""
    try:
        value = 0.0 if text == "-" else float(text)
    except ValueError:
        raise WireError(f"not a number: {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"not a finite number: {text!r}")
    return value


def text(word: str) -> str | None:
    """A word, or None where it is absent."""
    return None if word == "-" else word


def pick(table: dict[str, Any], word: str, what: str) -> Any:
    """Look a word up, or say which one is unknown."""
    if word not in table:
        raise WireError(f"unknown {what}: {word!r}")
    return table[word]


def fields(line: str, count: int) -> list[str]:
    """The values of a line, which must be so many."""
    values = line.split(" ")[1:]
    if len(values) != count:
        raise WireError(f"{count} values wanted, {len(values)} found")
    return values


def parse_settings(raw: str) -> Settings:
    """Read the settings; keys that are not known are skipped, optional ones may be absent or null."""
    try:
        doc = json.loads(raw)
    except (json.JSONDecodeError, RecursionError) as error:
        raise WireError(f"settings are no JSON: {error}") from None
    try:
        return _settings(doc)
    except (KeyError, TypeError, AttributeError) as error:
        raise WireError(f"settings: bad or missing {error}") from None
    except (ValueError, OverflowError) as error:
        raise WireError(f"settings: {error}") from None


def _settings(doc: dict[str, Any]) -> Settings:
    limits, rules, extra = doc["limits"], doc.get("rules") or {}, doc.get("extra") or {}
    zones, prices, report = doc.get("azs") or [], doc.get("prices") or {}, doc.get("report") or {}
    given: dict[str, Any] = {
        "replicas": count(doc.get("replicas_of_me")),
        "try_limit": count(limits.get("try_limit")),
        "cancel": limits.get("cancel"),
        "second_copies": limits.get("second_copies"),
        "over_share_worth": doc.get("over_share_worth"),
        "max_come_back_us": count(limits.get("max_retry_after_us")),
        "keepalive_us": count(limits.get("keepalive_us")),
        "connect_timeout_us": count(limits.get("connect_timeout_us")),
        "streams_per_conn": count(limits.get("streams_per_conn")),
        "ask_within_us": count(rules.get("ask_within_us")),
        "answer_slack_us": count(rules.get("answer_slack_us")),
        "cold_share": rules.get("cold_share"),
        "ramp_us": count(rules.get("ramp_time_us")),
        "fall_us": count(rules.get("fall_us")),
        "overload_factor": rules.get("overload_factor"),
        "key_rest_us": count(rules.get("key_rest_us")),
        "refused_price": extra.get("turned_away_price"),
        "peers": limits.get("peers"),
        "peer_price": prices.get("peer"),
        "crossing_price": prices.get("cross_zone"),
        "zone": doc.get("zone"),
        "zones": len(zones or [""]),
        "most_held": count(limits["most_held"]),
        "slots": count(limits["most_held"] if extra.get("slots") is None else extra["slots"]),
    }
    return Settings(
        classes={g["name"]: _message_class(g) for g in doc["grades"]},
        tenants={t["name"]: float(t["quota_per_s"]) for t in doc.get("tenants") or []},
        kinds=_kinds(doc.get("kinds") or [], extra),
        weights_told=doc.get("weight_kind") != "silent",
        weights_exact=doc.get("weight_kind") == "nominal",
        zone_fees=dict(zip(zones, extra.get("zone_fee") or [], strict=False)),
        reports=tuple(report.get("names") or ()) if report.get("how") == "piggyback" else (),
        on_request=doc.get("membership_mode") == "on_request",
        halves=extra.get("fades") == "halves",
        **{name: value for name, value in given.items() if value is not None},
    )


def count(value: Any) -> int | None:
    """A whole number, however JSON writes it (2e6, 2000000.0): records and timers take no other."""
    return None if value is None else int(value)


def _message_class(grade: dict[str, Any]) -> MessageClass:
    return MessageClass(
        name=grade["name"],
        aim_us=int(grade["slo_us"]),
        deadline_us=int(grade["deadline_us"]),
        worth=grade["worth"],
        late_worth=grade.get("late_worth") or 0.0,
        effect=EFFECTS[grade["effect"]],
        same_zone=(grade.get("group") or "all") != "all",
        key_ttl_us=int(grade.get("key_ttl_us") or 0),
        ordered=bool(grade.get("one_at_a_time")),
    )


def _kinds(names: list[str], extra: dict[str, Any]) -> dict[str, DestinationKind]:
    """What is told of each kind; a list that ends early says nothing of those behind."""
    batches, aparts = extra.get("batch_by_kind") or [], extra.get("kind_apart") or []
    told = zip_longest(names, batches[: len(names)], aparts[: len(names)])
    return {name: DestinationKind(int(batch or 1), bool(apart)) for name, batch, apart in told}


def parse_entry(line: str) -> EndpointEntry:
    """One entry of a numbered list."""
    target, zone, kind, dest, status, units, _ready = fields(line, 7)
    return EndpointEntry(target, zone, kind, whole(dest), pick(STATUSES, status, "status"), number(units))


def parse_accept(line: str) -> Event:
    """A new message."""
    ref, cls, _hint, dest, tenant, _bits, left, key = fields(line, 8)
    return Accept(whole(ref), cls, whole(dest), whole(left), text(tenant), text(key))


def parse_outcome(line: str) -> Event:
    """The end of an attempt."""
    ref, leg, target, how, latency, over, detail, gauge = fields(line, 8)
    result = pick(RESULTS, how, "outcome")
    report: dict[str, float] = {}
    for pair in [] if gauge == "-" else gauge.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"not a name:value pair: {pair!r}")
        report[name] = number(value)
    wait = whole(detail) * 1000 if result is Result.FULL else 0
    return Outcome(
        whole(ref),
        whole(leg),
        target,
        result,
        whole(latency),
        over == "1",
        wait,
        report.get("x0"),
        report.get("x1"),
    )


def parse_withdrawn(line: str) -> Event:
    """A message that its client has taken back."""
    return Withdrawn(whole(fields(line, 1)[0]))


def parse_timer(line: str) -> Event:
    """A timer that is due."""
    return TimerFired(whole(fields(line, 1)[0]))


def parse_heard(line: str) -> Event | None:
    """A note from another instance; None if its bytes are none."""
    peer, raw = fields(line, 2)
    try:
        return NoteReceived(whole(peer), notes.decode_note(bytes.fromhex("" if raw == "-" else raw)))
    except notes.NoteError:
        return None
    except ValueError:
        raise WireError(f"not hex: {raw!r}") from None


EVENTS: dict[str, Callable[[str], Event | None]] = {
    "ACCEPT": parse_accept,
    "COMPLETED": parse_outcome,
    "ABORTED": parse_withdrawn,
    "DUE": parse_timer,
    "MAIL": parse_heard,
}
IGNORED = frozenset({"STREAMING", "PING_RESULT"})


def format_action(action: Action) -> str:
    """One line of a reply."""
    match action:
        case Send():
            return f"ASSIGN {action.ref} {action.target} {action.timeout_us}"
        case Refuse():
            return f"OVERLOAD_REPLY {action.ref} {action.come_back_us}"
        case Fail():
            return f"ABORT {action.ref}"
        case Cancel():
            return f"CALL_OFF {action.ref} {action.attempt_number}"
        case Disconnect():
            return f"DISCONNECT {action.target}"
        case ArmTimer():
            return f"ARM {action.after_us} {action.token}"
        case WatchEndpointList():
            return "FOLLOW 1"
        case LogLine():
            return f"WRITE_LOG {action.text}"
        case BroadcastNote():
            return f"BROADCAST_TO -1 {notes.encode_note(action.note).hex()}"


__all__ = [
    "EVENTS",
    "IGNORED",
    "SCOPES",
    "EndpointListUpdate",
    "WireError",
    "fields",
    "format_action",
    "parse_entry",
    "parse_settings",
    "pick",
    "whole",
]
