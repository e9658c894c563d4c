"""Parsing and formatting of the simulator's line protocol. This module makes no decisions."""

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
    """A line that cannot be parsed."""


def parse_int(word: str) -> int:
    """Parse an integer; '-' stands for an absent value and yields 0."""
    if word == "-":
        return 0
    try:
        return int(word)
    except ValueError:
        raise WireError(f"not an integer: {word!r}") from None


def parse_number(word: str) -> float:
    """Parse a finite number; '-' stands for an absent value and yields 0."""
    try:
        value = 0.0 if word == "-" else float(word)
    except ValueError:
        raise WireError(f"not a number: {word!r}") from None
    if not math.isfinite(value):
        raise WireError(f"not a finite number: {word!r}")
    return value


def parse_optional_word(word: str) -> str | None:
    """Return a word, or None if it is absent ('-')."""
    return None if word == "-" else word


def lookup(table: dict[str, Any], word: str, description: str) -> Any:
    """Look up a word. Raises WireError with the `description` and the word if it is unknown."""
    if word not in table:
        raise WireError(f"unknown {description}: {word!r}")
    return table[word]


def split_values(line: str, expected: int) -> list[str]:
    """Split off the values after the first word of a line. Raises WireError unless there are `expected`."""
    values = line.split(" ")[1:]
    if len(values) != expected:
        raise WireError(f"expected {expected} values, found {len(values)}")
    return values


def parse_settings(encoded: str) -> Settings:
    """Parse the settings. Unknown keys are ignored; optional ones may be absent or null."""
    try:
        document = json.loads(encoded)
    except (json.JSONDecodeError, RecursionError) as error:
        raise WireError(f"settings are not valid JSON: {error}") from None
    try:
        return _settings(document)
    except (KeyError, TypeError, AttributeError) as error:
        raise WireError(f"settings: invalid or missing {error}") from None
    except (ValueError, OverflowError) as error:
        raise WireError(f"settings: {error}") from None


def _settings(document: dict[str, Any]) -> Settings:
    limits, rules, extra = document["limits"], document.get("rules") or {}, document.get("extra") or {}
    zones, prices, report = (
        document.get("azs") or [],
        document.get("prices") or {},
        document.get("report") or {},
    )
    optional: dict[str, Any] = {
        "replicas": optional_int(document.get("replicas_of_me")),
        "try_limit": optional_int(limits.get("try_limit")),
        "cancel": limits.get("cancel"),
        "second_copies": limits.get("second_copies"),
        "over_share_worth": document.get("over_share_worth"),
        "max_come_back_us": optional_int(limits.get("max_retry_after_us")),
        "keepalive_us": optional_int(limits.get("keepalive_us")),
        "connect_timeout_us": optional_int(limits.get("connect_timeout_us")),
        "streams_per_conn": optional_int(limits.get("streams_per_conn")),
        "ask_within_us": optional_int(rules.get("ask_within_us")),
        "answer_slack_us": optional_int(rules.get("answer_slack_us")),
        "cold_share": rules.get("cold_share"),
        "ramp_us": optional_int(rules.get("ramp_time_us")),
        "fall_us": optional_int(rules.get("fall_us")),
        "overload_factor": rules.get("overload_factor"),
        "key_rest_us": optional_int(rules.get("key_rest_us")),
        "refused_price": extra.get("turned_away_price"),
        "peers": limits.get("peers"),
        "peer_price": prices.get("peer"),
        "crossing_price": prices.get("cross_zone"),
        "zone": document.get("zone"),
        "zones": len(zones or [""]),
        "most_held": optional_int(limits["most_held"]),
        "slots": optional_int(limits["most_held"] if extra.get("slots") is None else extra["slots"]),
    }
    return Settings(
        classes={g["name"]: _message_class(g) for g in document["grades"]},
        tenants={t["name"]: float(t["quota_per_s"]) for t in document.get("tenants") or []},
        kinds=_kinds(document.get("kinds") or [], extra),
        weights_told=document.get("weight_kind") != "silent",
        weights_exact=document.get("weight_kind") == "nominal",
        zone_fees=dict(zip(zones, extra.get("zone_fee") or [], strict=False)),
        reports=tuple(report.get("names") or ()) if report.get("how") == "piggyback" else (),
        on_request=document.get("membership_mode") == "on_request",
        halves=extra.get("fades") == "halves",
        **{name: value for name, value in optional.items() if value is not None},
    )


def optional_int(value: Any) -> int | None:
    """Convert a JSON number (also 2e6 or 2000000.0) to int: records and timers need integers."""
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
    """Parse the settings of each kind; kinds beyond the end of a list get the defaults."""
    batches, apart_flags = extra.get("batch_by_kind") or [], extra.get("kind_apart") or []
    kind_settings = zip_longest(names, batches[: len(names)], apart_flags[: len(names)])
    return {name: DestinationKind(int(batch or 1), bool(apart)) for name, batch, apart in kind_settings}


def parse_entry(line: str) -> EndpointEntry:
    """Parse an entry of a numbered endpoint list."""
    target, zone, kind, dest, status, weight, _ready = split_values(line, 7)
    return EndpointEntry(
        target, zone, kind, parse_int(dest), lookup(STATUSES, status, "status"), parse_number(weight)
    )


def parse_accept(line: str) -> Event:
    """Parse a new message."""
    ref, cls, _hint, dest, tenant, _bits, left_us, key = split_values(line, 8)
    return Accept(
        parse_int(ref),
        cls,
        parse_int(dest),
        parse_int(left_us),
        parse_optional_word(tenant),
        parse_optional_word(key),
    )


def parse_outcome(line: str) -> Event:
    """Parse the end of an attempt."""
    ref, attempt_number, target, result_word, latency_us, ended_flag, wait_ms, load_report = split_values(
        line, 8
    )
    result = lookup(RESULTS, result_word, "outcome")
    report: dict[str, float] = {}
    for pair in [] if load_report == "-" else load_report.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"not a name:value pair: {pair!r}")
        report[name] = parse_number(value)
    wait_us = parse_int(wait_ms) * 1000 if result is Result.FULL else 0
    return Outcome(
        parse_int(ref),
        parse_int(attempt_number),
        target,
        result,
        parse_int(latency_us),
        ended_flag == "1",
        wait_us,
        report.get("x0"),
        report.get("x1"),
    )


def parse_withdrawn(line: str) -> Event:
    """Parse the withdrawal of a message by its client."""
    return Withdrawn(parse_int(split_values(line, 1)[0]))


def parse_timer(line: str) -> Event:
    """Parse the expiry of a timer."""
    return TimerFired(parse_int(split_values(line, 1)[0]))


def parse_note(line: str) -> Event | None:
    """Parse a note from another forwarder; None if its bytes are not a valid note."""
    peer, encoded = split_values(line, 2)
    try:
        return NoteReceived(
            parse_int(peer), notes.decode_note(bytes.fromhex("" if encoded == "-" else encoded))
        )
    except notes.NoteError:
        return None
    except ValueError:
        raise WireError(f"not hexadecimal: {encoded!r}") from None


EVENT_PARSERS: dict[str, Callable[[str], Event | None]] = {
    "ACCEPT": parse_accept,
    "COMPLETED": parse_outcome,
    "ABORTED": parse_withdrawn,
    "DUE": parse_timer,
    "MAIL": parse_note,
}
IGNORED_EVENTS = frozenset({"STREAMING", "PING_RESULT"})


def format_action(action: Action) -> str:
    """Format an action as a line of the reply."""
    match action:
        case Send():
            return f"ASSIGN {action.ref} {action.target} {action.timeout_us}"
        case Refuse():
            return f"OVERLOAD_REPLY {action.ref} {action.retry_after_us}"
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
    "EVENT_PARSERS",
    "IGNORED_EVENTS",
    "SCOPES",
    "EndpointListUpdate",
    "WireError",
    "format_action",
    "lookup",
    "parse_entry",
    "parse_int",
    "parse_settings",
    "split_values",
]
