"""Tables of cases for the parsers, the ring buffer, the journal and the configuration."""

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
from rowanrack.fronts.platform.discovery import ListError, parse_list
from rowanrack.fronts.platform.notices import encode_notice
from rowanrack.fronts.platform.resp import RespError, parse_command
from rowanrack.net.ring import RingBuffer
from rowanrack.store.journal import Journal, JournalError
from rowanspindle import UpdateScope
from rowanspindle.wire import parse_settings
from tests.rig import SETTINGS, entry


def ring(data: bytes) -> RingBuffer:
    """A ring that holds these bytes."""
    buffer = RingBuffer(96 * 1024)
    buffer.write(data)
    return buffer


def test_a_ring_that_is_empty_again_holds_little_memory() -> None:
    ring = RingBuffer(1 << 16)
    ring.write(bytes(1 << 16))
    assert ring.read(1 << 16) == bytes(1 << 16)
    assert len(ring._data) <= 4096
    ring.write(b"ab")
    assert ring.read(9) == b"ab"


@given(st.lists(st.tuples(st.binary(max_size=40), st.integers(0, 40)), max_size=40))
def test_a_ring_gives_back_what_was_written(steps: list[tuple[bytes, int]]) -> None:
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
    ("data", "words", "rest"),
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
def test_commands_are_read(data: bytes, words: list[bytes] | None, rest: int) -> None:
    buffer = ring(data)
    assert parse_command(buffer) == words and len(buffer) == rest


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
def test_what_is_no_command_is_said_so(data: bytes) -> None:
    with pytest.raises(RespError):
        parse_command(ring(data))


TENANTED = parse_settings(json.dumps(SETTINGS | {"tenants": [{"name": "b", "quota_per_s": 1}]}))


@pytest.mark.parametrize(
    ("listed", "text"),
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
def test_a_bad_list_is_said_so(listed: str, text: str) -> None:
    with pytest.raises(RespError, match=text):
        read_submit([b"SUBMIT", b"0", b"id", listed.encode(), b""], TENANTED, 0)


@pytest.mark.parametrize("raw", [b"", b"a b", b"\xff", b"a\r\nX: y", b"x" * 257])
def test_a_bad_id_is_said_so(raw: bytes) -> None:
    """An id that no header can carry broke the call after its attempt had begun."""
    with pytest.raises(RespError, match="id"):
        read_submit([b"SUBMIT", b"0", raw, b"c=album-update,t=b,d=5,dest=1", b""], TENANTED, 0)


def test_a_submit_is_read() -> None:
    listed = b"c=album-update,t=b,d=20050,dest=7,r=1"
    message = read_submit([b"SUBMIT", b"0", b"id", listed, b"\0"], TENANTED, 5)
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


def test_lists_are_read() -> None:
    doc = {"seq": 4, "whole": False, "hosts": [entry("h", 81, health="DELETED")]}
    seq, scope, (listed,) = parse_list(doc)
    assert (seq, scope, listed.name, listed.port, listed.dest) == (4, UpdateScope.DELTA, "h", 81, 7)


@pytest.mark.parametrize("doc", [{}, [], {"seq": 1, "whole": True, "hosts": [{}]}, None, {"hosts": 4}])
def test_bad_lists_are_said_so(doc: object) -> None:
    with pytest.raises(ListError):
        parse_list(doc)


class Book:
    """A journal in a folder, whose clock stands still."""

    open_in: dict[Path, Journal] = {}  # noqa: RUF012 - the one journal of each folder: a restart lets go first

    def __init__(self, folder: Path, budget: int = 3_000_000) -> None:
        if (before := Book.open_in.pop(folder, None)) is not None:
            before.close()
        self.journal = Journal(folder, budget, lambda: 1_000_000)
        self.journal.open()
        Book.open_in[folder] = self.journal

    def message(self, name: str = "m", body: bytes = b"body") -> Message:
        return Message(name, "c", "t", 3, 5_000_000, body, "platform", "f")


def peek(folder: Path) -> Journal:
    """What a journal's file holds, read beside the process that writes it."""
    seen = Journal(folder, 3_000_000, lambda: 1_000_000)
    seen.replay((folder / "messages.log").read_bytes())
    return seen


def test_the_journal_replays_what_is_owed_and_what_has_ended(tmp_path: Path) -> None:
    book = Book(tmp_path)
    for name in ("a", "b", "c"):
        assert book.journal.take(book.message(name))
    for leg in (0, 1):
        book.journal.begin(book.message("a"), leg)
    book.journal.never_ran(book.message("a"), 0)
    book.journal.end(book.message("b"), End(Ending.REFUSED, 700_000))
    book.journal.end(book.message("c"), End(Ending.FAILED))
    book.journal.told("c")
    again = Book(tmp_path).journal
    assert list(again.owed) == ["a"] and again.owed["a"].body == b"body" and again.owed["a"].form == "f"
    assert (again.owed["a"].attempts_made, again.owed["a"].unsettled) == (2, {1: 0})
    assert again.ended("b") == End(Ending.REFUSED, 700_000) and again.ended("c") == End(Ending.FAILED)
    assert again.untold("platform") == [("b", End(Ending.REFUSED, 700_000))] and again.untold("otlp") == []


@pytest.mark.parametrize("damage", [b"\x05", b"\x05\0\0\0\0\0\0\0short", b"\xff" * 30])
def test_a_torn_tail_is_dropped_and_logged(
    tmp_path: Path, damage: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    book = Book(tmp_path)
    book.journal.take(book.message("a"))
    book.journal.close()
    with book.journal.path.open("ab") as file:
        file.write(damage)
    again = Book(tmp_path).journal
    assert list(again.owed) == ["a"] and "torn tail" in caplog.text
    assert again.take(book.message("b"))
    assert list(Book(tmp_path).journal.owed) == ["a", "b"]


def test_the_journal_stays_under_its_budget_and_refuses_what_has_no_room(tmp_path: Path) -> None:
    budget = 200_000
    book = Book(tmp_path, budget)
    taken = [n for n in range(200) if book.journal.take(book.message(str(n), bytes(2000)))]
    assert 20 < len(taken) < 100
    assert sum(f.stat().st_size for f in tmp_path.iterdir()) <= budget / 2
    for n in taken:
        book.journal.end(book.message(str(n)), End(Ending.DELIVERED))
    assert book.journal.take(book.message("more", bytes(2000)))
    assert "more" in Book(tmp_path, budget).journal.owed


def test_a_compaction_keeps_what_counts(tmp_path: Path) -> None:
    book = Book(tmp_path)
    message = book.message("a")
    book.journal.take(message)
    message.attempts_made, message.unsettled = 3, {1: 0}
    for n in range(2000):
        book.journal.take(book.message(str(n)))
        book.journal.end(book.message(str(n)), End(Ending.OVER))
    book.journal.ends.clear()
    assert book.journal._compact() and book.journal.size < 1000
    again = Book(tmp_path).journal
    assert (again.owed["a"].attempts_made, again.owed["a"].unsettled) == (3, {1: 0})


def test_a_compaction_at_any_record_loses_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A compaction behind a record dropped the message just taken, or the attempt just begun."""
    monkeypatch.setattr("rowanrack.store.journal.COMPACT_LEAST", -(1 << 40))
    book = Book(tmp_path)
    message = book.message("a")
    assert book.journal.take(message)
    assert list(peek(tmp_path).owed) == ["a"]
    message.attempts_made = 1
    assert book.journal.begin(message, 0)
    assert peek(tmp_path).owed["a"].unsettled == {0: 0}
    book.journal.end(message, End(Ending.FAILED))
    assert peek(tmp_path).untold("platform") == [("a", End(Ending.FAILED))]
    book.journal.told("a")
    assert peek(tmp_path).untold("platform") == []


def test_a_foreign_file_is_no_journal(tmp_path: Path) -> None:
    (tmp_path / "messages.log").write_text("something else entirely")
    with pytest.raises(JournalError, match="not a journal"):
        Book(tmp_path)


CONFIG = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
KNOWN = {"seq": 1, "whole": True, "hosts": []}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "{",
        "{}",
        json.dumps(CONFIG),
        json.dumps(CONFIG | {"known": KNOWN, "listen": "x"}),
        json.dumps(CONFIG | {"known": KNOWN, "settings": {}}),
        json.dumps(CONFIG | {"known": KNOWN, "seed": "z"}),
        json.dumps(CONFIG | {"known": KNOWN, "settings": SETTINGS | {"resolution_us": 0}}),
        json.dumps(CONFIG | {"known": KNOWN, "limits": {"disk_mb": 0}}),
        "[" * 100_000,
    ],
)
def test_a_bad_configuration_ends_with_one_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "c.json"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        platform_config({"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(tmp_path)})
    assert "\n" not in str(caught.value) and "c.json" in str(caught.value)


def test_a_good_configuration_is_read(tmp_path: Path) -> None:
    path = tmp_path / "c.json"
    path.write_text(json.dumps(CONFIG | {"known": KNOWN, "seed": "8c1f", "limits": {"disk_mb": 2}}))
    config = platform_config({"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(tmp_path)})
    assert (config.seed, config.disk_bytes, config.tick_us) == (0x8C1F, 2_000_000, 5000)


SITE = """[[settings.grades]]
name='order'
slo_us=1
deadline_us=2
worth=1.0
late_worth=0.5
effect='fragile'
[settings.limits]
most_held=20
"""


def test_the_operators_example_is_in_order() -> None:
    path = Path(__file__).parent.parent / "deploy" / "operator.example.toml"
    config = operator_config(path)
    assert config.otlp is not None and config.console is not None and config.instances


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("", "state"),
        ("x=", "TOML"),
        ("sokets=9", "line 1: sokets: unknown key"),
        (f"state='/nowhere'\n{SITE}", "folder"),
        ("state='.'", "settings is missing"),
        (f"state='.'\n{SITE}[settings.extra]\nslotz=16", "line 12: settings.extra.slotz: unknown key"),
        (f"state='.'\n{SITE}tri_limit=6", "line 11: settings.limits.tri_limit: unknown key"),
        (f"state='.'\n{SITE}".replace("20", "'many'"), "line 10: settings.limits.most_held: expected int"),
        (f"state='.'\n{SITE}".replace("'fragile'", "'odd'"), "line 8: settings.grades.0.effect: invalid"),
        (f"state='.'\n{SITE}[[instance]]\nname='a'", "instance.0.address is missing"),
        (f"state='.'\ndisk_mb=0\n{SITE}", "line 2: disk_mb: expected float > 0"),
        (f"state='.'\n{SITE}[consul]\naddress='a:1'", "name either services or a tag"),
    ],
)
def test_a_bad_operators_file_ends_the_program_with_one_line(tmp_path: Path, text: str, word: str) -> None:
    path = tmp_path / "o.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "rowanrack", "serve", "--config", str(path)]
    ran = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert ran.returncode != 0 and ran.stderr.count("\n") == 1 and word in ran.stderr


def test_check_prints_what_is_in_effect_and_what_stands_as_usual(tmp_path: Path) -> None:
    path = tmp_path / "o.toml"
    zones = "settings.zone='a'\nsettings.azs=['a', 'b']\nsettings.prices.cross_zone=0.08\n"
    path.write_text(f"state='.'\n{zones}{SITE}")
    command = [sys.executable, "-m", "rowanrack", "check", "--config", str(path), "--json"]
    shown = json.loads(subprocess.run(command, capture_output=True, timeout=60, check=True).stdout)
    assert shown["settings.most_held"] == {"value": 20, "default": False}
    assert shown["settings.replicas"] == {"value": 1, "default": True}
    told = {name: shown[f"settings.{name}"]["value"] for name in ("zone", "zones", "crossing_price")}
    assert told == {"zone": "a", "zones": 2, "crossing_price": 0.08}
    assert shown["settings.classes"]["value"]["order"]["effect"] == "unsafe"
