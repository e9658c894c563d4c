"""The simulator's line protocol, and the adapter run as a separate process."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from rowanspindle import (
    Accept,
    ArmTimer,
    Cancel,
    Fail,
    LogLine,
    Outcome,
    Refuse,
    Result,
    Send,
    WatchEndpointList,
    wire,
)

SETTINGS_JSON = json.dumps(
    {
        "extra": {"slots": 4, "batch_by_kind": [1], "kind_apart": [False], "fades": "halves", "new": 1},
        "grades": [
            {
                "name": "c",
                "slo_us": 1000000,
                "deadline_us": 9000000,
                "worth": 2.0,
                "late_worth": 0.1,
                "effect": "dedup",
                "key_ttl_us": 5000000,
                "group": "zone",
                "one_at_a_time": True,
            }
        ],
        "kinds": ["k"],
        "limits": {"most_held": 50, "try_limit": 3},
        "membership_mode": "on_request",
        "unheard_of": {"x": [1]},
    }
)
START_BATCH = (
    f"TICK 5\nTO f_0\nINIT 9 {SETTINGS_JSON}\nCENSUS 0 1\nENTRY t1 z k 7 U 4.5 -\n"
    "BACKENDS_CHANGED cached 1 0\nEOB\n"
)


def run_adapter(input_text: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "rowanspindle.simulator_adapter"],
        input=input_text,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_settings_are_parsed() -> None:
    settings = wire.parse_settings(SETTINGS_JSON)
    assert settings.slots == 4 and settings.try_limit == 3 and settings.on_request and settings.halves
    assert settings.classes["c"].ordered and settings.classes["c"].same_zone
    assert settings.replicas == 1


def test_events_are_parsed() -> None:
    line = "ACCEPT 15 c 12000 57 t 1 240000 doc-k"
    assert wire.EVENT_PARSERS["ACCEPT"](line) == Accept(15, "c", 57, 240000, "t", "doc-k")
    line = "COMPLETED 15 2 t1 overloaded 18500 0 250 x0:0.5,x1:9"
    assert wire.EVENT_PARSERS["COMPLETED"](line) == Outcome(
        15, 2, "t1", Result.FULL, 18500, False, 250000, 0.5, 9.0
    )
    assert wire.EVENT_PARSERS["COMPLETED"]("COMPLETED 1 0 t void 1 1 1 -") == Outcome(
        1, 0, "t", Result.MOOT, 1, True
    )


def test_actions_are_formatted() -> None:
    formatted = [
        wire.format_action(a)
        for a in (
            Send(1, "t", 5),
            Refuse(1, 7),
            Fail(2),
            Cancel(1, 0),
            ArmTimer(9, 3),
            WatchEndpointList(),
            LogLine("a b"),
        )
    ]
    assert formatted == [
        "ASSIGN 1 t 5",
        "OVERLOAD_REPLY 1 7",
        "ABORT 2",
        "CALL_OFF 1 0",
        "ARM 9 3",
        "FOLLOW 1",
        "WRITE_LOG a b",
    ]


def test_each_batch_is_answered_and_an_accepted_message_is_sent() -> None:
    completed = run_adapter(
        START_BATCH + "TICK 10\nTO f_0\nACCEPT 3 c - 7 - 0 9000000 k1\nEOB\nTICK 15\nEOB\n"
    )
    assert completed.returncode == 0 and completed.stderr == ""
    assert (
        "FOLLOW 1" in completed.stdout
        and "ASSIGN 3 t1 " in completed.stdout
        and completed.stdout.count("READY\n") == 3
    )


def test_an_instance_may_be_destroyed_and_created_again_in_one_batch() -> None:
    again = START_BATCH.replace("TICK 5\nTO f_0\n", "TICK 20\nTO f_0\nDESTROY\n")
    completed = run_adapter(START_BATCH + again + "TICK 25\nTO f_0\nDESTROY\nEOB\n")
    assert completed.returncode == 0 and completed.stdout.count("FOLLOW 1") == 2


def test_empty_input_exits_without_error() -> None:
    completed = run_adapter("")
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "", "")


@pytest.mark.parametrize(
    ("input_text", "expected_text"),
    [
        ("TICK x\nEOB\n", "line 1"),
        ("NOISE\n", "line 1"),
        ("TICK 5\nTO f_9\nDUE 1\nEOB\n", "unknown instance"),
        ("TICK 5\nTO f_0\nINIT 9 {broken\nEOB\n", "line 3"),
        ("TICK 5\nTO f_0\nINIT 9 {}\nEOB\n", "settings"),
        ("TICK 5\nDUE 1\nEOB\n", "before any TO"),
        ("TICK 5\nTO f_0", "cut off"),
        (START_BATCH + "TICK 6\nTO f_0\n", "inside a batch"),
        (START_BATCH + "TICK 6\nTO f_0\nWHAT 1\nEOB\n", "unknown message"),
        (START_BATCH + "TICK 6\nTO f_0\nACCEPT 1 nope - 7 - 0 90 -\nEOB\n", "unknown class"),
        (START_BATCH + "TICK 6\nTO f_0\nCOMPLETED 1 0 t odd 1 1 - -\nEOB\n", "unknown outcome"),
        (START_BATCH + "TICK 6\nTO f_0\nDUE\nEOB\n", "expected 1 values"),
    ],
)
def test_invalid_input_ends_the_adapter_with_one_error_line(input_text: str, expected_text: str) -> None:
    completed = run_adapter(input_text)
    assert completed.returncode != 0
    assert (
        completed.stderr.count("\n") == 1
        and expected_text in completed.stderr
        and "line " in completed.stderr
    )
    assert completed.stdout == "" or completed.stdout.endswith("READY\n")


def test_a_silent_list_is_parsed_as_having_no_weights() -> None:
    """A list without weights (`silent`) gives every endpoint the weight 1, which is not a rate."""
    assert wire.parse_settings(SETTINGS_JSON).weights_told
    silent = json.dumps(json.loads(SETTINGS_JSON) | {"weight_kind": "silent"})
    assert not wire.parse_settings(silent).weights_told
