"""Recordings: their format, their writing beside a sender, and the model fitted to them."""

from __future__ import annotations

import errno
import json
import queue
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from rowanrack.config import ConfigError, operator_config
from rowanrack.core.messages import CallVerdict, Message
from rowanrack.model.calibrate import Outage, fit_limit, fit_times, outages, slow_spans
from rowanrack.model.engine import SECOND_US
from rowanrack.model.partner import Figures, Limit
from rowanrack.model.recorded import CallSeen, finished, timeline
from rowanrack.model.scenario import parse
from rowanrack.model.world import World
from rowanrack.record import recorder as recording
from rowanrack.record.format import (
    BLOCK,
    HEAD,
    MAGIC,
    Began,
    Begins,
    Ended,
    FileWriter,
    Gap,
    Listed,
    Record,
    RecordingError,
    Settled,
    Taken,
    Turned,
    read,
)
from rowanrack.record.recorder import Disk, Recorder
from rowanspindle import Result
from tests.test_core import ExchangeHarness
from tests.test_model import cli
from tests.test_parts import SITE

BEGINS = Begins(
    "s", "life", 5_000_000, 1_000_000, [("c", 1, 2, 1.0, 0.5, True)], {}, 8, 20, 6, 5000, 0.3, 1, 1.5, 1
)


def written(
    path: Path, blocks: int = 3, clock: Callable[[int], int] = lambda n: 5_000_000 + n * SECOND_US
) -> Path:
    """A file whose block n holds one arrival."""
    writer = FileWriter(path)
    for n in range(blocks):
        records: list[Record] = [BEGINS] if not n else []
        writer.write(clock(n), 1_000_000 + n * SECOND_US, [*records, Taken(n, n, "c", "", 7, 100, 3)])
    writer.close()
    return path


def test_what_is_written_is_read(tmp_path: Path) -> None:
    found = read(written(tmp_path / "a.rec"))
    assert found.begins == BEGINS and [r.at for r in found.records[1:]] == [0, 1, 2] and not found.remarks


def flip(raw: bytes, at: int) -> bytes:
    return raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :]


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (lambda raw: b"", "no recording of rowanrack"),
        (lambda raw: b"x" + raw[1:], "no recording of rowanrack"),
        (
            lambda raw: HEAD.pack(MAGIC, 2) + raw[HEAD.size :],
            "a recording of version 2; this program reads 1",
        ),
        (lambda raw: flip(raw, len(raw) - 1), "block 3 at byte"),
        (lambda raw: flip(raw, HEAD.size + BLOCK.size + 1), "block 1 at byte 22 does not match its checksum"),
        (lambda raw: flip(raw, HEAD.size), "block 1 at byte 22 does not match its checksum"),
        (lambda raw: raw[: HEAD.size], "does not say how the sender was set up"),
    ],
)
def test_a_spoilt_recording_is_one_plain_line(
    tmp_path: Path, change: Callable[[bytes], bytes], said: str
) -> None:
    path = written(tmp_path / "a.rec")
    path.write_bytes(change(path.read_bytes()))
    with pytest.raises(RecordingError, match=said) as caught:
        read(path)
    assert str(caught.value).startswith(f"{path}: ") and "\n" not in str(caught.value)


def test_a_recording_that_is_cut_off_anywhere_keeps_its_whole_blocks(tmp_path: Path) -> None:
    raw = written(tmp_path / "a.rec").read_bytes()
    ends = [len(written(tmp_path / f"{n}.rec", n).read_bytes()) for n in (1, 2, 3)]
    for cut in range(ends[0], len(raw)):
        (tmp_path / "b.rec").write_bytes(raw[:cut])
        found = read(tmp_path / "b.rec")
        whole = sum(end <= cut for end in ends)
        assert len(found.records) == 1 + whole
        assert bool(found.remarks) is (cut not in ends)
    assert "cut off in block 3" in found.remarks[0]


def test_a_block_that_was_taken_out_is_found(tmp_path: Path) -> None:
    raw = written(tmp_path / "a.rec").read_bytes()
    one, two = (len(written(tmp_path / f"{n}.rec", n).read_bytes()) for n in (1, 2))
    (tmp_path / "b.rec").write_bytes(raw[:one] + raw[two:])
    with pytest.raises(RecordingError, match="block 2"):
        read(tmp_path / "b.rec")


def test_a_clock_that_is_set_is_remarked_and_moves_no_record(tmp_path: Path) -> None:
    path = written(
        tmp_path / "a.rec", clock=lambda n: 5_000_000 + n * SECOND_US - (3_600 * SECOND_US if n == 2 else 0)
    )
    found = read(path)
    assert found.remarks == ["the clock was set back by 3600.0 s before block 3"]
    assert [a.at_us for a in timeline([found]).arrivals] == sorted(
        a.at_us for a in timeline([found]).arrivals
    )


class Now:
    """A disk that writes in the call, for the rest to be looked at at once."""

    def __init__(self, path: Path) -> None:
        self.writer, self.blocks = FileWriter(path), self
        self.failed, self.full, self.dropped = False, False, 0

    def put_nowait(self, block: Any) -> None:
        unix_us, at_us, records, _ = block
        self.writer.write(unix_us, at_us, records)

    def start(self) -> None:
        pass

    def close(self) -> None:
        self.writer.close()


def test_a_sender_records_what_happens_and_no_body_and_no_id(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    desk = ExchangeHarness(tmp_path / "state")
    recorder = Recorder("desk", desk.exchange, Now(tmp_path / "a.rec"))  # type: ignore[arg-type]
    recorder.start()
    attempt = desk.submit("secret-id")
    assert desk.exchange.begin(attempt)
    desk.now += 50_000
    desk.exchange.settle(attempt, CallVerdict(Result.FULL, 300_000))
    desk.exchange.submit(
        Message("m2", "print-order", "a", 99, desk.now + SECOND_US, b"secret-body", "platform")
    )
    desk.run(4 * SECOND_US)
    recorder.close()
    found = read(tmp_path / "a.rec")
    kinds = [type(r) for r in found.records]
    assert kinds[:2] == [Begins, Listed] and found.begins.slots == 8
    taken, began, settled, ended = (next(r for r in found.records if type(r) is k)
                                    for k in (Taken, Began, Settled, Ended))  # fmt: skip
    assert isinstance(settled, Settled) and isinstance(began, Began) and isinstance(taken, Taken)
    assert (settled.result, settled.wait_us, settled.at - began.at, settled.begun) == (
        "full",
        300_000,
        50_000,
        True,
    )
    assert isinstance(ended, Ended) and ended.ref == taken.ref == began.ref and taken.size == 1
    (turned,) = (r for r in found.records if isinstance(r, Turned))
    assert (turned.dest, turned.cls) == (99, "print-order")
    assert b"secret" not in (tmp_path / "a.rec").read_bytes()
    assert not any("secret" in repr(r) for r in found.records)
    (arrival, away) = timeline([found]).arrivals
    assert arrival.ending and away.ending == "nack"


def records(count: int) -> list[Record]:
    rng = Random(1)
    return [Taken(n, n, "c", "", rng.randrange(10**9), rng.randrange(10**9), 1) for n in range(count)]


def used(folder: Path) -> int:
    """Bytes on disk."""
    return sum(path.stat().st_size for path in folder.glob("*.rec"))


def written_by(disk: Disk, *blocks: tuple[list[Record], bool]) -> None:
    """Blocks that its thread would write, one after the other."""
    for n, (held, anew) in enumerate(blocks):
        disk._write(n, n, held, anew)


def test_the_room_on_disk_is_bounded_at_every_moment_and_the_oldest_goes_first(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Room was made only once a block was written: 17,316 of 16,000 bytes stood there in between."""
    append, looks = FileWriter.append, list[int]()

    def looked_at(writer: FileWriter, *block: Any) -> None:
        append(writer, *block)
        looks.append(used(tmp_path))

    monkeypatch.setattr(FileWriter, "append", looked_at)
    monkeypatch.setattr(recording, "FILE_LEAST", 1_000)
    disk = Disk(tmp_path, "s", 16_000)
    for _ in range(40):
        written_by(disk, ([BEGINS, *records(100)], disk.full))
    assert 14_000 < max(looks) <= 16_000 and len(looks) == 40
    kept = recording.files_of(tmp_path, "s")
    numbers = [int(p.stem[2:]) for p in kept]
    assert numbers[0] > 1 and numbers == list(range(numbers[0], numbers[-1] + 1))
    assert all(isinstance(read(p).records[0], Begins) for p in kept)
    after = Disk(tmp_path, "s", 16_000)  # the next process goes on behind them
    after.start()
    after.blocks.put((1, 1, [BEGINS], True))
    after.close()
    assert recording.files_of(tmp_path, "s")[-1].stem == f"s-{numbers[-1] + 1:06d}"


def test_a_block_without_room_is_dropped_and_the_next_file_counts_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """And nothing goes on from it: a file whose first record says nothing of the sender cannot be read."""
    (tmp_path / "state").mkdir()
    desk, disk = ExchangeHarness(tmp_path / "state"), Disk(tmp_path / "rec", "s", 2_000)
    recorder = Recorder("s", desk.exchange, disk)
    recorder.start()
    disk.close()
    written_by(disk, ([BEGINS, *records(3)], True), (records(200), False), (records(4), False))
    assert disk.full and disk.dropped == 204 and caplog.text.count("no room") == 1
    recorder.flush()
    for held, anew in ((b[2], b[3]) for b in [disk.blocks.get_nowait()] if b is not None):
        written_by(disk, (held, anew))
    first, second = (read(p) for p in recording.files_of(tmp_path / "rec", "s"))
    assert len(first.records) == 4 and [r.lost for r in second.records if isinstance(r, Gap)] == [204]
    assert not disk.full and used(tmp_path / "rec") <= 2_000


def test_a_full_disk_ends_the_recording_with_one_line_and_serving_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fails(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(FileWriter, "append", fails)
    (tmp_path / "state").mkdir()
    desk = ExchangeHarness(tmp_path / "state")
    disk = Disk(tmp_path / "rec", "s", 1 << 20)
    recorder = Recorder("s", desk.exchange, disk)
    recorder.start()
    attempt = desk.submit("m1")
    recorder.flush()
    disk._thread.join(5)
    for _ in range(3):
        desk.run(SECOND_US // 2)
        recorder.flush()
    assert desk.exchange.begin(attempt) and not desk.exchange.observers and not recorder._held
    desk.exchange.settle(attempt, Result.OK)
    assert "m1" in desk.ends
    lines = [r.getMessage() for r in caplog.records if "recording" in r.getMessage()]
    assert len(lines) == 1 and "No space left on device" in lines[0]
    recorder.close()


def test_a_folder_that_cannot_be_made_is_the_same(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    (tmp_path / "file").write_text("")
    disk = Disk(tmp_path / "file" / "rec", "s", 1 << 20)
    disk.start()
    disk.blocks.put((1, 1, [BEGINS], True))
    disk._thread.join(5)
    assert disk.failed and "Not a directory" in caplog.text


def test_a_disk_that_does_not_keep_up_leaves_a_gap_that_is_counted(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    desk, now = ExchangeHarness(tmp_path / "state"), Now(tmp_path / "a.rec")
    recorder = Recorder("s", desk.exchange, now)  # type: ignore[arg-type]
    recorder.start()
    recorder.flush()
    writes, behind = now.put_nowait, True

    def put(block: Any) -> None:
        if behind:
            raise queue.Full
        writes(block)

    now.put_nowait = put  # type: ignore[method-assign]
    desk.submit("m1")
    before = len(recorder._held)
    recorder.flush()
    recorder.flush()
    behind = False
    desk.submit("m2")
    now.writer.close()
    now.writer = FileWriter(tmp_path / "b.rec")  # as a block that begins anew does
    recorder.close()
    found = read(tmp_path / "b.rec")
    assert [r.lost for r in found.records if isinstance(r, Gap)] == [before]
    assert any("were dropped" in remark for remark in found.remarks)


# Fitting.


def limit_calls(
    kind: str, rate: float, window: int, counts: bool, seconds: int = 60
) -> list[tuple[int, bool]]:
    """Calls at twice the rate that a limit allows, with what it says to each."""
    figures = Figures(kind, rate, window, 0.0, (0, 0), counts, 1.0, 0.0, 1, 0, 0, 0, 1.0, 1, 1.0, 1, 0.0)
    limit, rng, at, calls = Limit(figures), Random(3), 0.0, []
    while at < seconds * SECOND_US:
        at += rng.expovariate(2 * rate) * SECOND_US
        calls.append((int(at), limit.take(int(at)) > 0))
    return calls


@pytest.mark.parametrize(
    ("kind", "rate", "window", "counts"),
    [
        ("rate", 5.0, SECOND_US, False),
        ("rate", 20.0, SECOND_US, False),
        ("window", 10.0, 2 * SECOND_US, False),
        ("window", 6.0, 5 * SECOND_US, False),
    ],
)
def test_the_limit_behind_refusals_is_found(kind: str, rate: float, window: int, counts: bool) -> None:
    calls = limit_calls(kind, rate, window, counts)
    found = fit_limit(calls)
    assert found is not None and found.kind == kind and found.rate == pytest.approx(rate, rel=0.12)
    assert kind == "rate" or found.window_us == window
    assert found.wrong < 0.15 * len(calls)


def test_the_lists_rate_is_taken_where_it_explains_as_much() -> None:
    """A sender that keeps to the list is refused twice a minute: that was taken for no limit at all."""
    rng, calls, limit = (
        Random(4),
        [],
        Limit(Figures("rate", 4.0, SECOND_US, 0, (0, 0), False, 1, 0, 1, 0, 0, 0, 1, 1, 1, 1, 0)),
    )
    for n in range(240):
        at = int((n + 1.5 * rng.random()) / 4.05 * SECOND_US)
        calls.append((at, limit.take(at) > 0))
    assert 0 < sum(refused for _, refused in calls) < 30
    near, far = fit_limit(calls, 4.0), fit_limit(calls, 40.0)
    assert near is not None and near.rate == 4.0 and far is not None and far.rate < 8


def test_where_nothing_is_refused_there_is_no_limit() -> None:
    assert fit_limit([(n * 1000, False) for n in range(500)]) is None


def test_times_are_fitted_through_stray_answers() -> None:
    rng = Random(2)
    times = [rng.lognormvariate(11.5, 0.4) for _ in range(2_000)] + [30e6] * 20
    mean, spread = fit_times(times)
    assert mean == pytest.approx(98_715 * 1.083, rel=0.05) and spread == pytest.approx(0.417, rel=0.1)


def seen(*results: str, place: str = "p", each_us: int = 200_000, took_us: int = 900_000) -> list[CallSeen]:
    return [CallSeen(n * each_us, n * each_us + took_us, place, took_us, r, 0) for n, r in enumerate(results)]


@pytest.mark.parametrize(
    ("results", "took_us", "expected"),
    [
        (("ok", "timeout", "timeout", "timeout", "ok"), 900_000, [(200_000, 600_000, "silent")]),
        (("ok", "error", "full", "error", "ok"), 9_000, []),  # not in a row
        (("error", "error", "error"), 9_000, [(0, 5_000_000, "failing")]),  # to the end
        (("ok", "reset", "connect_failed", "connect_failed", "ok"), 9_000, [(200_000, 600_000, "down")]),
        (
            ("ok", "timeout", "connect_failed", "connect_failed", "ok"),
            900_000,
            [(200_000, 600_000, "silent")],
        ),
        (("ok", "cancelled", "cancelled", "ok"), 9_000, []),
    ],
)
def test_outages_are_read_off_how_calls_end(
    results: tuple[str, ...], took_us: int, expected: list[tuple[int, int, str]]
) -> None:
    found = outages(seen(*results, took_us=took_us), [], 5 * SECOND_US)
    assert found == [Outage(at, lasts, "p", state) for at, lasts, state in expected]


def test_slow_seconds_are_joined() -> None:
    calls = [CallSeen(s * SECOND_US + n, s * SECOND_US + n + (400_000 if s in (3, 4) else 100_000),
                      "p", 0, "ok", 0)
             for s in range(8) for n in range(5)]  # fmt: skip
    assert slow_spans(calls, 100_000.0) == [(3, 2, 4.0)]


DAY = """
day 20 s
zones here apart 1 ms jitter 0 %
senders 2 slots 12 held 100
discovery late 0 ms to 200 ms
class update share 60 % aim 2 s deadline 6 s late-worth 30 % repeatable
class order share 40 % aim 2 s deadline 6 s late-worth 50 % once
member a share 100 % quota 100/s
kind lab partners 4 places 1 limit rate 6/s told 100 % 200 ms to 400 ms answers 80 ms to 120 ms spread 30 %
    width 20
kind shop partners 4 places 1 unlimited answers 50 ms to 150 ms spread 30 % width 20
clients again 0 after 200 ms to 400 ms
traffic 35/s zipf 0.4
at 8 s for 4 s partner 6 silent
"""


@pytest.fixture(scope="module")
def recorded(tmp_path_factory: pytest.TempPathFactory) -> list[Path]:
    """A day of the model itself, recorded by its senders: the fit must find its figures again."""
    folder = tmp_path_factory.mktemp("recorded")
    world, paths = World(parse(DAY, "day"), 5), []
    for sender in world.senders:
        paths.append(folder / f"s{sender.number}.rec")
        recorder = Recorder(f"s{sender.number}", sender.exchange, Now(paths[-1]))  # type: ignore[arg-type]
        recorder.start()
    result = world.run()
    assert result["rules"] == "kept" and result["refused"] + result["failed"] + result["late"] > 0.02
    return paths


def test_a_recorded_day_is_fitted_reproduced_and_compared(recorded: list[Path], tmp_path: Path) -> None:
    out = tmp_path / "fitted.scenario"
    ran = cli("calibrate", *map(str, recorded), "--out", str(out), "--runs", "4", "--json", "-")
    document = json.loads(ran.stdout)
    far = [row for row in document["figures"] if not row["within"]]
    assert ran.returncode == 0 and document["reproduced"] and not far, (far, ran.stderr)
    limits = [one["limit"][1] for one in document["fleet"] if one["limit"] is not None]
    assert limits and all(rate == pytest.approx(6, rel=0.25) for rate in limits)
    assert "place 1 of partner 6 silent" in out.read_text()
    assert (
        len(finished(timeline([read(p) for p in recorded]))) == document["arrivals"] - document["unfinished"]
    )
    words = ("compare", str(out), "--a", "this", "--b", "this", "--runs", "2")
    assert cli(*words).stdout.splitlines()[0].startswith("inconclusive")
    out.write_text(out.read_text() + "# changed\n")
    assert cli(*words).stdout.startswith("NOT REPRODUCED: the scenario was changed since")
    out.with_suffix(".calibration.json").unlink()
    assert cli(*words).stdout.startswith("NOT REPRODUCED: `model calibrate` has not judged")
    recorded[0].rename(tmp_path / "moved.rec")
    gone = cli("run", str(out))
    (tmp_path / "moved.rec").rename(recorded[0])
    assert gone.returncode == 1 and "No such file" in gone.stderr and "Traceback" not in gone.stderr


def test_a_fit_that_is_off_is_said_to_be(
    recorded: list[Path], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from click.testing import CliRunner

    from rowanrack.model import calibrate as fitting
    from rowanrack.model.cli import model

    monkeypatch.setattr(fitting, "fit_times", lambda times: (900_000.0, 0.3))
    out = tmp_path / "off.scenario"
    ran = CliRunner().invoke(model, ["calibrate", *map(str, recorded), "--out", str(out), "--runs", "1"])
    assert ran.exit_code == 4 and ran.output.strip().startswith("not reproduced") and "beyond" in ran.output
    first = (
        CliRunner()
        .invoke(model, ["compare", str(out), "--b", "this", "--runs", "2"])
        .output.strip()
        .splitlines()[0]
    )
    assert first.startswith("NOT REPRODUCED: the model is beyond its margin in")


def test_recordings_are_shown_and_mistakes_are_plain(recorded: list[Path], tmp_path: Path) -> None:
    command = [sys.executable, "-m", "rowanrack", "record", "show"]
    ran = subprocess.run(
        [*command, "--json", *map(str, recorded)], capture_output=True, text=True, check=True
    )
    assert [one["sender"] for one in json.loads(ran.stdout)] == ["s0", "s1"]
    (tmp_path / "a.rec").write_bytes(b"nothing")
    for words in ((*command, str(tmp_path / "a.rec")), (*command[:3], "model", "calibrate", str(tmp_path))):
        ran = subprocess.run(words, capture_output=True, text=True, check=False)
        assert (
            ran.returncode == 1 and "no recording of rowanrack" in ran.stderr and ran.stderr.count("\n") == 1
        )


def test_the_operators_file_turns_it_on(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    path = tmp_path / "site.toml"
    text = f'state = "{tmp_path / "state"}"\n{SITE}'
    path.write_text(text + '[record]\nfolder = "/tmp/x"\nmost_mb = 5\n')
    record = operator_config(path).record
    assert record is not None and (str(record.folder), record.most_bytes) == ("/tmp/x", 5_000_000)
    path.write_text(text + '[record]\nfolder = "/tmp/x"\nmost_mb = 0\n')
    with pytest.raises(ConfigError, match=r"record\.most_mb"):
        operator_config(path)


@pytest.mark.parametrize("form", ["plain", "json"])
def test_the_log_is_the_same_in_both_forms(form: str) -> None:
    code = (
        "import logging, sys; from rowanrack import logs; logs.set_up_logging(sys.argv[1]); "
        "print('structlog' in sys.modules)\n"
        "logging.getLogger('rowanrack.core').warning('message %s is late', 'm1')\n"
        "try: 1 / 0\nexcept ArithmeticError: logging.getLogger('x').exception('failed')"
    )
    ran = subprocess.run([sys.executable, "-c", code, form], capture_output=True, text=True, check=True)
    lines = ran.stderr.splitlines()
    if form == "plain":
        assert lines[0].endswith(" WARNING rowanrack.core: message m1 is late") and ran.stdout == "False\n"
        assert "Traceback" in ran.stderr
        return
    first, second = map(json.loads, lines)
    assert (first["level"], first["logger"], first["event"]) == (
        "warning",
        "rowanrack.core",
        "message m1 is late",
    )
    assert first["timestamp"].endswith("Z") and "ZeroDivisionError" in second["exception"]
