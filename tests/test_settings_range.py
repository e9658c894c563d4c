"""The delivery rules hold for all settings: generated settings and endpoints, and a plain checker."""

from __future__ import annotations

import json
import os
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, Batch, CallVerdict, End, Ending, Endpoint, Message, Progress
from rowanrack.net.http import Reply
from rowanrack.store.journal import Journal
from rowanspindle import DestinationKind, Effect, EndpointStatus, Result, Settings, UpdateScope
from rowanspindle.wire import WireError, parse_settings
from tests.rig import SETTINGS, Rig, answers, on_loop

SECOND_US, TICK_US = 1_000_000, 5000
MAX_ANSWER_DELAY_US = 300_000  # latest time of a final answer after the deadline
EFFECTS = ("retryable", "dedup", "fragile")


def generate_settings(rng: Random) -> dict[str, Any]:
    """Generate settings from the range of the known deployments and somewhat beyond."""
    kinds = ["big", "small"][: rng.randint(1, 2)]
    grades = [
        {
            "name": f"c{n}",
            "slo_us": (aim := rng.randint(1, 5) * SECOND_US),
            "deadline_us": aim * rng.randint(2, 6),
            "worth": rng.choice([1.0, 2.0]),
            "late_worth": rng.choice([0.0, 0.1, 0.5]),
            "effect": effect,
            "key_ttl_us": rng.choice([1, 4]) * SECOND_US,
            "group": rng.choice(["all", "all", "zone"]),
            "one_at_a_time": effect == "dedup" and rng.random() < 0.3,
        }
        for n, effect in enumerate(rng.sample(EFFECTS, rng.randint(1, 3)))
    ]
    tenants = [{"name": "a", "quota_per_s": 5.0}, {"name": "b", "quota_per_s": 1.0}]
    return {
        "grades": grades,
        "kinds": kinds,
        "azs": ["x", "y", "z"],
        "extra": {
            "slots": rng.choice([3, 8, 18]),
            "batch_by_kind": [rng.choice([1, 1, 20]) for _ in kinds],
            "kind_apart": [rng.random() < 0.5 for _ in kinds],
            "fades": rng.choice(["line", "halves"]),
            "zone_fee": rng.choice([[], [0.06, 0.0, 0.03]]),
        },
        "limits": {
            "most_held": rng.choice([8, 40, 169]),
            "try_limit": rng.choice([1, 2, 6]),
            "cancel": rng.random() < 0.7,
            "second_copies": rng.random() < 0.5,
            "streams_per_conn": rng.choice([1, 8]),
            "keepalive_us": rng.choice([5, 10]) * SECOND_US,
        },
        "rules": {
            "cold_share": 0.22,
            "ramp_time_us": 12 * SECOND_US,
            "key_rest_us": rng.choice([0, SECOND_US]),
        },
        "tenants": rng.choice([[], tenants]),
        "report": rng.choice([{"how": "silent", "names": []}, {"how": "piggyback", "names": ["x0", "x1"]}]),
        "replicas_of_me": rng.choice([1, 3, 200]),
        "weight_kind": rng.choice(["silent", "nominal", "rough"]),
    }


class CheckedEnvironment:
    """An exchange among endpoints that do anything they may, with checks of each action of the exchange."""

    def __init__(self, folder: Path, rng: Random) -> None:
        self.rng, self.now = rng, 1000 * SECOND_US
        self.settings: Settings = parse_settings(json.dumps(generate_settings(rng)))
        self.folder = folder
        # When the connection for a batch opens, or its answer arrives.
        self.scheduled: list[tuple[int, int, Batch]] = []
        self.open_calls: dict[Batch, list[Attempt]] = {}
        self.open_batches: set[Batch] = set()
        self.ends: dict[str, tuple[int, End]] = {}
        self.accepted: dict[str, Message] = {}
        self.begun_attempts: dict[str, list[tuple[int, Attempt]]] = {}
        self.results: dict[Attempt, Result] = {}
        self.retry_after_waits: dict[str | int, int] = {}
        self.draining_names: set[str] = set()
        kinds = list(self.settings.kinds)
        self.endpoints = [
            Endpoint(f"i{d}{n}", "h", 1, "xyz"[n % 3], kinds[d % len(kinds)], d, EndpointStatus.LISTED, 20.0)
            for d in range(3)
            for n in range(2)
        ]
        self.start_process()

    def start_process(self) -> None:
        """Start the next process on the folder, after a kill or beside one that exits as at a hot restart."""
        previous, self.started = getattr(self, "journal", None), self.now
        self.journal = Journal(self.folder, 3_000_000, self.unix_us, attempts=self.settings.try_limit)
        if previous is not None and self.rng.random() < 0.5:
            kill(previous)
            previous = None
        self.journal.open()
        self.exchange = Exchange(self.settings, self.rng.randint(1, 1 << 30), self, self.journal, TICK_US)
        self.exchange.endpoint_calls = self
        self.exchange.listeners["platform"] = self.ended
        self.exchange.update_endpoints(
            UpdateScope.FULL, [i for i in self.endpoints if i.name not in self.draining_names]
        )
        owed = list(self.journal.owed.values())
        if previous is not None:
            self.exchange.pump()
            previous.close()
        owed += self.journal.take_over() or []
        assert {m.id for m in owed} == self.journal.owed.keys() == self.accepted.keys() - self.ends.keys()
        for message in owed:
            assert message.attempts_made >= len(self.begun_attempts.get(message.id, ()))
            self.exchange.adopt(message)

    def restart(self) -> None:
        """Restart: open calls end and may have run, waits are forgotten, and the settings may change."""
        for part in self.open_calls.values():
            self.results.update((e, Result.RESET) for e in part)
        self.open_batches, self.open_calls, self.scheduled, self.retry_after_waits = set(), {}, [], {}
        self.now += self.rng.choice([0, 100_000, 600_000, 5 * SECOND_US])
        if self.rng.random() < 0.5:
            self.settings = parse_settings(json.dumps(generate_settings(self.rng)))
        self.start_process()

    def now_us(self) -> int:
        return self.now

    unix_us = now_us

    def wake_at(self, due_us: int) -> None:
        assert due_us

    def close_idle(self, name: str) -> None:
        assert name

    # The endpoints' side, with its checks.

    def start(self, batch: Batch) -> None:
        most = self.settings.kinds.get(batch.endpoint.kind, DestinationKind()).batch
        assert 1 <= len(batch.attempts) <= most
        ids = [e.message.id for e in batch.attempts]
        assert len(set(ids)) == len(ids)
        self.open_batches.add(batch)
        assert len(self.open_batches) <= self.settings.slots
        self.scheduled.append((self.now + self.rng.choice([0, 5, 300, 900]) * 1000, id(batch), batch))

    def abandon(self, batch: Batch) -> None:
        self.close_batch(batch)

    def progress(self, batch: Batch) -> Progress:
        assert batch in self.open_batches
        return Progress.SENT

    def close_batch(self, batch: Batch) -> None:
        self.open_batches.discard(batch)
        self.open_calls.pop(batch, None)
        self.scheduled = [d for d in self.scheduled if d[2] is not batch]

    def wait_scope(self, instance: Endpoint) -> str | int:
        return (
            instance.name
            if self.settings.kinds.get(instance.kind, DestinationKind()).apart
            else instance.dest
        )

    def may_have_run(self, attempt: Attempt) -> bool:
        out = any(attempt in part for part in self.open_calls.values())
        never = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
        return out or self.results.get(attempt, Result.CANCELLED) not in never

    def check_begin(self, attempt: Attempt) -> None:
        """Check that the first byte of a call may be sent."""
        message, cls = attempt.message, self.settings.classes[attempt.message.cls]
        assert attempt.endpoint.dest == message.dest
        assert attempt.endpoint.name not in self.draining_names
        assert self.retry_after_waits.get(self.wait_scope(attempt.endpoint), 0) <= self.now
        assert message.id not in self.ends
        before = self.begun_attempts.setdefault(message.id, [])
        assert len(before) < self.settings.try_limit
        out = [e for part in self.open_calls.values() for e in part if e.message is message]
        assert not out or (self.settings.second_copies and len(out) == 1)
        ran = [at for at, e in before if self.may_have_run(e)]
        assert not ran or cls.effect is not Effect.UNSAFE
        assert not ran or cls.effect is not Effect.KEYED or self.now < ran[0] + cls.key_ttl_us
        assert not ran or cls.effect is not Effect.KEYED or message.key
        before.append((self.now, attempt))

    def run_endpoints(self) -> None:
        for at, _, batch in sorted(self.scheduled, key=lambda d: d[:2]):
            if at > self.now or batch not in self.open_batches:
                continue
            self.scheduled = [d for d in self.scheduled if d[2] is not batch]
            if batch in self.open_calls:
                self.answer(batch)
            elif self.rng.random() < 0.1:
                self.close_batch(batch)
                for e in batch.waiting():
                    self.settle(e, CallVerdict(Result.CONNECT_FAILED))
            else:
                part = [e for e in batch.waiting() if self.exchange.begin(e)]
                for e in part:
                    self.check_begin(e)
                if not part:
                    self.close_batch(batch)
                    continue
                self.open_calls[batch] = part
                if self.rng.random() < 0.9:  # otherwise there is no answer
                    answer_at = self.now + int(self.rng.expovariate(1 / 400_000))
                    self.scheduled.append((answer_at, id(batch), batch))

    def answer(self, batch: Batch) -> None:
        possible_results = [Result.OK] * 6 + [Result.ERROR, Result.RESET, Result.FULL]
        common_result, results_differ = self.rng.choice(possible_results), self.rng.random() < 0.3
        wait = self.rng.choice([0, 0, 300, 2000]) * 1000 if common_result is Result.FULL else 0
        limit = self.rng.choice([None, 0.0, 3.0, 30.0])
        part = self.open_calls[batch]
        self.close_batch(batch)
        for e in part:
            result = self.rng.choice(possible_results) if results_differ and len(part) > 1 else common_result
            self.settle(e, CallVerdict(result, wait, None, 0.5, limit))
        if wait:
            key = self.wait_scope(batch.endpoint)
            self.retry_after_waits[key] = max(self.retry_after_waits.get(key, 0), self.now + wait)

    def settle(self, attempt: Attempt, verdict: CallVerdict) -> None:
        self.results.setdefault(attempt, verdict.result)
        self.exchange.settle(attempt, verdict)

    # The clients' side, with its checks.

    def ended(self, message: Message, end: End) -> None:
        assert message.id not in self.ends, "two final answers"
        assert self.now <= max(message.deadline_us, self.started) + MAX_ANSWER_DELAY_US
        if end.ending is Ending.REFUSED:
            cls, ran = self.settings.classes.get(message.cls), self.begun_attempts.get(message.id, [])
            repeatable = cls is not None and (
                cls.effect is Effect.SAFE
                or (cls.effect is Effect.KEYED and not cls.same_zone and bool(message.key))
            )
            assert repeatable or not any(self.may_have_run(e) for _, e in ran)
        self.ends[message.id] = self.now, end

    def submit_message(self, number: int) -> None:
        cls = self.rng.choice(list(self.settings.classes.values()))
        tenant = self.rng.choice([*self.settings.tenants, ""])
        remaining_us = self.rng.choice([cls.deadline_us, cls.deadline_us // 3])
        key = f"k{number // 2 if self.rng.random() < 0.2 else number}"
        keyed = key if cls.effect is Effect.KEYED else ""
        dest = self.rng.choice([0, 0, 1, 2])
        message = Message(
            f"m{number}", cls.name, tenant, dest, self.now + remaining_us, b"x", "platform", key=keyed
        )
        if self.exchange.submit(message) is None:
            self.accepted[message.id] = message

    def toggle_drain(self) -> None:
        chosen = self.rng.choice(self.endpoints)
        back = chosen.name in self.draining_names
        status = EndpointStatus.LISTED if back else EndpointStatus.DRAINING
        (self.draining_names.discard if back else self.draining_names.add)(chosen.name)
        news = Endpoint(chosen.name, "h", 1, chosen.zone, chosen.kind, chosen.dest, status, 20.0)
        self.exchange.update_endpoints(UpdateScope.DELTA, [news])


def kill(journal: Journal) -> None:
    """Close a journal's files as SIGKILL does: written data stays, and the lock is released."""
    assert journal.file is not None
    for descriptor in (journal.file.fd, journal.lock_fd):
        os.close(descriptor)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_the_rules_hold_for_all_settings(seed: int) -> None:
    check_rules(seed, restarts=0.0)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 1 << 32))
def test_the_rules_hold_across_restarts_for_all_settings(seed: int) -> None:
    check_rules(seed, restarts=0.004)


def check_rules(seed: int, restarts: float) -> None:
    """Submit messages and restart with this probability per tick; each gets one final answer in time."""
    with TemporaryDirectory() as folder:
        environment, rng, number = CheckedEnvironment(Path(folder), Random(seed)), Random(seed + 1), 0
        while environment.accepted.keys() - environment.ends.keys() or number < 120:
            environment.now += TICK_US
            assert environment.now < 1400 * SECOND_US, "messages without a final answer"
            if number < 120 and rng.random() < 0.15:
                for _ in range(rng.choice([1, 1, 1, 12])):
                    number += 1
                    environment.submit_message(number)
            if rng.random() < 0.002:
                environment.toggle_drain()
            if restarts and rng.random() < restarts:
                environment.restart()
            environment.run_endpoints()
            environment.exchange.pump()
        assert set(environment.ends) == set(environment.accepted)
        environment.journal.close()


def with_class_changes(**changes: Any) -> dict[str, Any]:
    """Return settings with the same changes to all classes."""
    return {"grades": [grade | changes for grade in SETTINGS["grades"]]}


MANY_CLASSES = [SETTINGS["grades"][0] | {"name": f"c{n}", "effect": EFFECTS[n % 3]} for n in range(60)]
MANY_TENANTS = [{"name": "a", "quota_per_s": 0.01}, *({"name": f"t{n}", "quota_per_s": 1} for n in range(50))]
EXTREMES: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
    "one slot, one message held, one attempt": ({"extra": {"slots": 1}}, {"most_held": 1, "try_limit": 1}),
    "500 senders, weights silent": ({"replicas_of_me": 500, "weight_kind": "silent"}, {}),
    "100000 senders, weights nominal": ({"replicas_of_me": 100_000}, {}),
    "short deadline equal to the target": (with_class_changes(slo_us=300_000, deadline_us=300_000), {}),
    "deadline an hour, no late worth": (with_class_changes(deadline_us=3_600_000_000, late_worth=0), {}),
    "late answers worth as much, tiny worth": (with_class_changes(late_worth=1, worth=0.001), {}),
    "halving from zero, huge worth": (
        with_class_changes(late_worth=0, worth=1000) | {"extra": {"fades": "halves"}},
        {},
    ),
    "very short keep-alive": ({}, {"keepalive_us": 100_000, "streams_per_conn": 100}),
    "connect time-out beyond any deadline": ({}, {"connect_timeout_us": 3_600_000_000}),
    "no tenants, no kinds": ({"tenants": [], "kinds": []}, {}),
    "51 tenants": ({"tenants": MANY_TENANTS, "over_share_worth": 0}, {}),
    "60 classes": ({"grades": [*SETTINGS["grades"], *MANY_CLASSES]}, {}),
    "keys valid for one second": (with_class_changes(key_ttl_us=1_000_000), {}),
    "slow start of one millisecond": ({"rules": {"cold_share": 1, "ramp_time_us": 1000}}, {}),
    "list requested every 100 ms": ({"rules": {"ask_within_us": 100_000, "answer_slack_us": 0}}, {}),
    "list requested every ten minutes": ({"rules": {"ask_within_us": 600_000_000}}, {}),
    "only required settings": ({k: None for k in SETTINGS if k not in ("grades", "limits")}, {}),
    "unknown keys": (with_class_changes(new={"x": [1]}) | {"new": 1, "extra": {"new": None}}, {"new": None}),
    "integers written as floats": (
        with_class_changes(slo_us=5e5, deadline_us=2e7),
        {"max_retry_after_us": 5e5},
    ),
}


@pytest.mark.parametrize(("changed", "limits"), EXTREMES.values(), ids=list(EXTREMES))
@on_loop
async def test_sender_delivers_and_refuses_under_extreme_settings(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, changed: dict[str, Any], limits: dict[str, Any]
) -> None:
    async with Rig(tmp_path, answers(Reply(200, {})), settings_changes=changed, **limits) as rig:
        rig.add_removed_destinations(99)
        client = await rig.client()
        for n in range(2):
            assert await client.submit(f"m{n}", d=550) == b"+OK\r\n"
            assert (await rig.wait_for_end(f"m{n}")).ending is Ending.DELIVERED
        assert await client.submit("nowhere", d=100, dest=99) == b"+OK\r\n"
        assert (await rig.platform.wait_for_notice("nowhere"))["outcome"] == "handed_back"
    assert not [record for record in caplog.records if record.levelname == "ERROR"]


@pytest.mark.parametrize("key", ["kinds", "azs", "extra", "rules", "prices", "report", "tenants", "zone"])
def test_null_value_counts_as_absent(key: str) -> None:
    rest = {name: value for name, value in SETTINGS.items() if name != key}
    assert parse_settings(json.dumps(rest | {key: None})) == parse_settings(json.dumps(rest))


def test_short_list_leaves_defaults_for_the_remaining_kinds() -> None:
    """The shortest list used to cut off all lists, and with them the values that the others had."""
    extra = {"batch_by_kind": [1, 20], "kind_apart": [True]}
    found = parse_settings(json.dumps(SETTINGS | {"kinds": ["a", "b", "c"], "extra": extra})).kinds
    assert found == {"a": DestinationKind(1, True), "b": DestinationKind(20, False), "c": DestinationKind()}


@pytest.mark.parametrize("figure", ["1e999", "NaN", '"x"', "[]", "0.5"])
def test_invalid_number_is_reported_as_bad_settings(figure: str) -> None:
    raw = json.dumps(SETTINGS | {"limits": {"most_held": 7777}}).replace("7777", figure)
    with pytest.raises(WireError, match="settings"):
        parse_settings(raw)
