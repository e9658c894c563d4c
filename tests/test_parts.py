"""Unit tests of the parsers, the ring buffer, the journal and the configuration."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rowanrack.config import ConfigError, operator_config, platform_config
from rowanrack.core.messages import End, Ending, Message
from rowanrack.fronts.platform.clients import read_submit
from rowanrack.fronts.platform.notices import encode_notice
from rowanrack.fronts.platform.resp import RespError, parse_command
from rowanrack.fronts.platform.server_list import ListError, parse_list
from rowanrack.net.ring import RingBuffer
from rowanrack.store.journal import Journal
from rowanrack.store.journal_records import JournalError
from rowanspindle import UpdateScope
from rowanspindle.wire import parse_settings
from tests.rig import SETTINGS, discovery_entry


def ring_with(data: bytes) -> RingBuffer:
    """Create a ring buffer that contains these bytes."""
    buffer = RingBuffer(96 * 1024)
    buffer.write(data)
    return buffer


def test_emptied_ring_buffer_releases_memory() -> None:
    buffer = RingBuffer(1 << 16)
    buffer.write(bytes(1 << 16))
    assert buffer.read(1 << 16) == bytes(1 << 16)
    assert len(buffer._data) <= 4096
    buffer.write(b"ab")
    assert buffer.read(9) == b"ab"


@given(st.lists(st.tuples(st.binary(max_size=40), st.integers(0, 40)), max_size=40))
def test_ring_buffer_returns_the_bytes_written(steps: list[tuple[bytes, int]]) -> None:
    buffer, model = RingBuffer(64, 4), b""
    for data, count in steps:
        if len(data) > buffer.room:
            with pytest.raises(BufferError):
                buffer.write(data)
        else:
            buffer.write(data)
            model += data
        assert buffer.peek(99, 3) == model[3:] and len(buffer) == len(model)
        assert buffer.read(count) == model[:count]
        model = model[count:]


@pytest.mark.parametrize(
    ("data", "words", "remaining_bytes"),
    [
        (b"*1\r\n$4\r\nPING\r\n", [b"PING"], 0),
        (b"*2\r\n$1\r\na\r\n$0\r\n\r\n*1", [b"a", b""], 2),
        (b"*1\r\n$2\r\n\r\n\r\n", [b"\r\n"], 0),
        (b"", None, 0),
        (b"*1", None, 2),
        (b"*1\r\n$4\r\nPIN", None, 11),
        (b"*1\r\n$4\r\nPING\r", None, 13),
    ],
)
def test_valid_commands_are_parsed(data: bytes, words: list[bytes] | None, remaining_bytes: int) -> None:
    buffer = ring_with(data)
    assert parse_command(buffer) == words and len(buffer) == remaining_bytes


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*0\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*99\r\n",
        b"*1\r\n+a\r\n",
        b"*1\r\n$65537\r\n",
        b"*1\r\n$1\r\nabc",
        b"*" + b"1" * 40,
        b"*2\r\n$50000\r\n" + bytes(50000) + b"\r\n$50000\r\n",
    ],
)
def test_invalid_command_raises(data: bytes) -> None:
    with pytest.raises(RespError):
        parse_command(ring_with(data))


SETTINGS_WITH_TENANT = parse_settings(json.dumps(SETTINGS | {"tenants": [{"name": "b", "quota_per_s": 1}]}))


@pytest.mark.parametrize(
    ("fields", "text"),
    [
        ("c=album-update,t=b,d=x,dest=1", "whole numbers"),
        ("c=album-update,t=b,d=5", "lacks dest"),
        ("", "lacks c"),
        ("c=album-update,t=b,d=-1,dest=1", "whole numbers"),
        ("c=album-update,t=b,d=1_0,dest=1", "whole numbers"),
        ("c=album-update,t=b,d=1,dest=-1", "whole numbers"),
        ("c=album-update,t=b,d=1,dest=99999999999999999999", "whole numbers"),
        ("c=album-update,t=b,d=40001,dest=1", "far over the deadline"),
        ("c=none,t=b,d=1,dest=1", "unknown class"),
        ("c=album-update,t=x,d=1,dest=1", "unknown tenant"),
    ],
)
def test_invalid_submit_fields_raise(fields: str, text: str) -> None:
    with pytest.raises(RespError, match=text):
        read_submit([b"SUBMIT", b"0", b"id", fields.encode(), b""], SETTINGS_WITH_TENANT, 0)


@pytest.mark.parametrize("raw", [b"", b"a b", b"\xff", b"a\r\nX: y", b"x" * 257])
def test_invalid_message_id_raises(raw: bytes) -> None:
    """Guards against ids that a header cannot carry, which made the call fail after its attempt had begun."""
    with pytest.raises(RespError, match="id"):
        read_submit([b"SUBMIT", b"0", raw, b"c=album-update,t=b,d=5,dest=1", b""], SETTINGS_WITH_TENANT, 0)


def test_valid_submit_is_parsed() -> None:
    fields = b"c=album-update,t=b,d=20050,dest=7,r=1"
    message = read_submit([b"SUBMIT", b"0", b"id", fields, b"\0"], SETTINGS_WITH_TENANT, 5)
    assert message == Message("id", "album-update", "b", 7, 20_050_005, b"\0", "platform")


@pytest.mark.parametrize(
    ("end", "notice"),
    [
        (End(Ending.FAILED), {"message": "m", "outcome": "given_up"}),
        (End(Ending.REFUSED), {"message": "m", "outcome": "handed_back"}),
        (End(Ending.REFUSED, 500_000), {"message": "m", "outcome": "handed_back", "retry_in_ms": 500}),
    ],
)
def test_notices_are_written(end: End, notice: dict[str, object]) -> None:
    assert json.loads(encode_notice("m", end)) == notice


def test_valid_endpoint_list_is_parsed() -> None:
    document = {"seq": 4, "whole": False, "hosts": [discovery_entry("h", 81, health="DELETED")]}
    seq, scope, (endpoint,) = parse_list(document)
    assert (seq, scope, endpoint.name, endpoint.port, endpoint.dest) == (4, UpdateScope.DELTA, "h", 81, 7)


@pytest.mark.parametrize("document", [{}, [], {"seq": 1, "whole": True, "hosts": [{}]}, None, {"hosts": 4}])
def test_invalid_endpoint_list_raises(document: object) -> None:
    with pytest.raises(ListError):
        parse_list(document)


class RestartableJournal:
    """A journal in a folder, with a constant clock. A second one on the same folder acts as a restart."""

    open_journals: dict[Path, Journal] = {}  # noqa: RUF012 - by folder; closed by a restart

    def __init__(self, folder: Path, budget: int = 3_000_000) -> None:
        if (previous := RestartableJournal.open_journals.pop(folder, None)) is not None:
            previous.close()
        self.journal = Journal(folder, budget, lambda: 1_000_000)
        self.journal.open()
        RestartableJournal.open_journals[folder] = self.journal

    def message(self, name: str = "m", body: bytes = b"body") -> Message:
        return Message(name, "c", "t", 3, 5_000_000, body, "platform", "f")


def read_journal(folder: Path) -> Journal:
    """Replay a journal's file while another process writes it."""
    journal = Journal(folder, 3_000_000, lambda: 1_000_000)
    journal.replay((folder / "messages.log").read_bytes())
    return journal


def test_journal_replays_owed_messages_and_ends(tmp_path: Path) -> None:
    restartable = RestartableJournal(tmp_path)
    for name in ("a", "b", "c"):
        assert restartable.journal.take(restartable.message(name))
    for attempt_number in (0, 1):
        restartable.journal.begin(restartable.message("a"), attempt_number)
    restartable.journal.never_ran(restartable.message("a"), 0)
    restartable.journal.end(restartable.message("b"), End(Ending.REFUSED, 700_000))
    restartable.journal.end(restartable.message("c"), End(Ending.FAILED))
    restartable.journal.confirm_notice("c")
    reopened = RestartableJournal(tmp_path).journal
    assert (
        list(reopened.owed) == ["a"] and reopened.owed["a"].body == b"body" and reopened.owed["a"].form == "f"
    )
    assert (reopened.owed["a"].attempts_made, reopened.owed["a"].unsettled) == (2, {1: 0})
    assert reopened.ended("b") == End(Ending.REFUSED, 700_000) and reopened.ended("c") == End(Ending.FAILED)
    assert (
        reopened.unconfirmed_notices("platform") == [("b", End(Ending.REFUSED, 700_000))]
        and reopened.unconfirmed_notices("otlp") == []
    )


@pytest.mark.parametrize("damage", [b"\x05", b"\x05\0\0\0\0\0\0\0short", b"\xff" * 30])
def test_torn_tail_is_discarded_and_logged(
    tmp_path: Path, damage: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    restartable = RestartableJournal(tmp_path)
    restartable.journal.take(restartable.message("a"))
    restartable.journal.close()
    with restartable.journal.path.open("ab") as file:
        file.write(damage)
    reopened = RestartableJournal(tmp_path).journal
    assert list(reopened.owed) == ["a"] and "torn tail" in caplog.text
    assert reopened.take(restartable.message("b"))
    assert list(RestartableJournal(tmp_path).journal.owed) == ["a", "b"]


def test_journal_stays_within_its_budget_and_refuses_messages_without_space(tmp_path: Path) -> None:
    budget = 200_000
    restartable = RestartableJournal(tmp_path, budget)
    accepted = [n for n in range(200) if restartable.journal.take(restartable.message(str(n), bytes(2000)))]
    assert 20 < len(accepted) < 100
    assert sum(f.stat().st_size for f in tmp_path.iterdir()) <= budget / 2
    for n in accepted:
        restartable.journal.end(restartable.message(str(n)), End(Ending.DELIVERED))
    assert restartable.journal.take(restartable.message("more", bytes(2000)))
    assert "more" in RestartableJournal(tmp_path, budget).journal.owed


def test_compaction_keeps_attempts_of_owed_messages(tmp_path: Path) -> None:
    restartable = RestartableJournal(tmp_path)
    message = restartable.message("a")
    restartable.journal.take(message)
    message.attempts_made, message.unsettled = 3, {1: 0}
    for n in range(2000):
        restartable.journal.take(restartable.message(str(n)))
        restartable.journal.end(restartable.message(str(n)), End(Ending.WITHDRAWN))
    restartable.journal.ends.clear()
    assert restartable.journal._compact() and restartable.journal.size < 1000
    reopened = RestartableJournal(tmp_path).journal
    assert (reopened.owed["a"].attempts_made, reopened.owed["a"].unsettled) == (3, {1: 0})


def test_compaction_before_any_record_loses_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against compacting after a record is written, which lost what was just recorded."""
    monkeypatch.setattr("rowanrack.store.journal.MIN_COMPACTION_BYTES", -(1 << 40))
    restartable = RestartableJournal(tmp_path)
    message = restartable.message("a")
    assert restartable.journal.take(message)
    assert list(read_journal(tmp_path).owed) == ["a"]
    message.attempts_made = 1
    assert restartable.journal.begin(message, 0)
    assert read_journal(tmp_path).owed["a"].unsettled == {0: 0}
    restartable.journal.end(message, End(Ending.FAILED))
    assert read_journal(tmp_path).unconfirmed_notices("platform") == [("a", End(Ending.FAILED))]
    restartable.journal.confirm_notice("a")
    assert read_journal(tmp_path).unconfirmed_notices("platform") == []


def test_file_of_another_format_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "messages.log").write_text("something else entirely")
    with pytest.raises(JournalError, match="not a journal"):
        RestartableJournal(tmp_path)


PLATFORM_CONFIG = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
ENDPOINT_LIST = {"seq": 1, "whole": True, "hosts": []}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "{",
        "{}",
        json.dumps(PLATFORM_CONFIG),
        json.dumps(PLATFORM_CONFIG | {"known": ENDPOINT_LIST, "listen": "x"}),
        json.dumps(PLATFORM_CONFIG | {"known": ENDPOINT_LIST, "settings": {}}),
        json.dumps(PLATFORM_CONFIG | {"known": ENDPOINT_LIST, "seed": "z"}),
        json.dumps(PLATFORM_CONFIG | {"known": ENDPOINT_LIST, "settings": SETTINGS | {"resolution_us": 0}}),
        json.dumps(PLATFORM_CONFIG | {"known": ENDPOINT_LIST, "limits": {"disk_mb": 0}}),
        "[" * 100_000,
    ],
)
def test_invalid_configuration_gives_a_one_line_error(tmp_path: Path, text: str) -> None:
    path = tmp_path / "c.json"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        platform_config({"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(tmp_path)})
    assert "\n" not in str(caught.value) and "c.json" in str(caught.value)


def test_valid_configuration_is_read(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text(
        json.dumps(PLATFORM_CONFIG | {"known": ENDPOINT_LIST, "seed": "8c1f", "limits": {"disk_mb": 2}})
    )
    config = platform_config({"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(tmp_path)})
    assert (config.seed, config.disk_bytes, config.tick_us) == (0x8C1F, 2_000_000, 5000)


OPERATOR_SETTINGS = """[[settings.grades]]
name='order'
slo_us=1
deadline_us=2
worth=1.0
late_worth=0.5
effect='fragile'
[settings.limits]
most_held=20
"""


def test_example_operator_file_is_valid() -> None:
    path = Path(__file__).parent.parent / "deploy" / "operator.example.toml"
    config = operator_config(path)
    assert config.otlp is not None and config.console is not None and config.instances


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("", "state"),
        ("x=", "TOML"),
        ("sokets=9", "line 1: sokets: unknown key"),
        (f"state='/nowhere'\n{OPERATOR_SETTINGS}", "folder"),
        ("state='.'", "settings is missing"),
        (
            f"state='.'\n{OPERATOR_SETTINGS}[settings.extra]\nslotz=16",
            "line 12: settings.extra.slotz: unknown key",
        ),
        (f"state='.'\n{OPERATOR_SETTINGS}tri_limit=6", "line 11: settings.limits.tri_limit: unknown key"),
        (
            f"state='.'\n{OPERATOR_SETTINGS}".replace("20", "'many'"),
            "line 10: settings.limits.most_held: expected int",
        ),
        (
            f"state='.'\n{OPERATOR_SETTINGS}".replace("'fragile'", "'odd'"),
            "line 8: settings.grades.0.effect: invalid",
        ),
        (f"state='.'\n{OPERATOR_SETTINGS}[[instance]]\nname='a'", "instance.0.address is missing"),
        (f"state='.'\ndisk_mb=0\n{OPERATOR_SETTINGS}", "line 2: disk_mb: expected float > 0"),
        (f"state='.'\n{OPERATOR_SETTINGS}[consul]\naddress='a:1'", "name either services or a tag"),
    ],
)
def test_invalid_operator_file_ends_the_program_with_one_line(
    tmp_path: Path, text: str, expected_text: str
) -> None:
    path = tmp_path / "o.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "rowanrack", "serve", "--config", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert result.returncode != 0 and result.stderr.count("\n") == 1 and expected_text in result.stderr


def test_check_prints_settings_in_effect_and_marks_defaults(tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    zones = "settings.zone='a'\nsettings.azs=['a', 'b']\nsettings.prices.cross_zone=0.08\n"
    path.write_text(f"state='.'\n{zones}{OPERATOR_SETTINGS}")
    command = [sys.executable, "-m", "rowanrack", "check", "--config", str(path), "--json"]
    printed = json.loads(subprocess.run(command, capture_output=True, timeout=60, check=True).stdout)
    assert printed["settings.most_held"] == {"value": 20, "default": False}
    assert printed["settings.replicas"] == {"value": 1, "default": True}
    zone_settings = {
        name: printed[f"settings.{name}"]["value"] for name in ("zone", "zones", "crossing_price")
    }
    assert zone_settings == {"zone": "a", "zones": 2, "crossing_price": 0.08}
    assert printed["settings.classes"]["value"]["order"]["effect"] == "unsafe"
