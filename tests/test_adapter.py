"""The wire and the adapter, the latter as a process of its own."""

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

PARAMS = json.dumps(
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
START = (
    f"TICK 5\nTO f_0\nINIT 9 {PARAMS}\nCENSUS 0 1\nENTRY t1 z k 7 U 4.5 -\nBACKENDS_CHANGED cached 1 0\nEOB\n"
)


def drill(text: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "rowanspindle.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_settings_are_read() -> None:
    settings = wire.parse_settings(PARAMS)
    assert settings.slots == 4 and settings.try_limit == 3 and settings.on_request and settings.halves
    assert settings.classes["c"].ordered and settings.classes["c"].same_zone
    assert settings.replicas == 1


def test_events_are_read() -> None:
    line = "ACCEPT 15 c 12000 57 t 1 240000 doc-k"
    assert wire.EVENTS["ACCEPT"](line) == Accept(15, "c", 57, 240000, "t", "doc-k")
    line = "COMPLETED 15 2 t1 overloaded 18500 0 250 x0:0.5,x1:9"
    assert wire.EVENTS["COMPLETED"](line) == Outcome(15, 2, "t1", Result.FULL, 18500, False, 250000, 0.5, 9.0)
    assert wire.EVENTS["COMPLETED"]("COMPLETED 1 0 t void 1 1 1 -") == Outcome(
        1, 0, "t", Result.MOOT, 1, True
    )


def test_actions_are_written() -> None:
    written = [
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
    assert written == [
        "ASSIGN 1 t 5",
        "OVERLOAD_REPLY 1 7",
        "ABORT 2",
        "CALL_OFF 1 0",
        "ARM 9 3",
        "FOLLOW 1",
        "WRITE_LOG a b",
    ]


def test_a_short_day() -> None:
    ran = drill(START + "TICK 10\nTO f_0\nACCEPT 3 c - 7 - 0 9000000 k1\nEOB\nTICK 15\nEOB\n")
    assert ran.returncode == 0 and ran.stderr == ""
    assert "FOLLOW 1" in ran.stdout and "ASSIGN 3 t1 " in ran.stdout and ran.stdout.count("READY\n") == 3


def test_an_instance_may_die_and_start_in_one_batch() -> None:
    again = START.replace("TICK 5\nTO f_0\n", "TICK 20\nTO f_0\nDESTROY\n")
    ran = drill(START + again + "TICK 25\nTO f_0\nDESTROY\nEOB\n")
    assert ran.returncode == 0 and ran.stdout.count("FOLLOW 1") == 2


def test_no_input_is_a_clean_exit() -> None:
    ran = drill("")
    assert (ran.returncode, ran.stdout, ran.stderr) == (0, "", "")


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("TICK x\nEOB\n", "line 1"),
        ("NOISE\n", "line 1"),
        ("TICK 5\nTO f_9\nDUE 1\nEOB\n", "unknown instance"),
        ("TICK 5\nTO f_0\nINIT 9 {broken\nEOB\n", "line 3"),
        ("TICK 5\nTO f_0\nINIT 9 {}\nEOB\n", "settings"),
        ("TICK 5\nDUE 1\nEOB\n", "before any TO"),
        ("TICK 5\nTO f_0", "cut off"),
        (START + "TICK 6\nTO f_0\n", "inside a batch"),
        (START + "TICK 6\nTO f_0\nWHAT 1\nEOB\n", "unknown message"),
        (START + "TICK 6\nTO f_0\nACCEPT 1 nope - 7 - 0 90 -\nEOB\n", "unknown class"),
        (START + "TICK 6\nTO f_0\nCOMPLETED 1 0 t odd 1 1 - -\nEOB\n", "unknown outcome"),
        (START + "TICK 6\nTO f_0\nDUE\nEOB\n", "1 values wanted"),
    ],
)
def test_bad_input_ends_the_adapter_plainly(text: str, word: str) -> None:
    ran = drill(text)
    assert ran.returncode != 0
    assert ran.stderr.count("\n") == 1 and word in ran.stderr and "line " in ran.stderr
    assert ran.stdout == "" or ran.stdout.endswith("READY\n")


def test_weights_count_only_where_they_are_told() -> None:
    """A silent list gives the weight 1 to all: it is no rate."""
    assert wire.parse_settings(PARAMS).weights_told
    silent = json.dumps(json.loads(PARAMS) | {"weight_kind": "silent"})
    assert not wire.parse_settings(silent).weights_told
