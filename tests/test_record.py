"""Recordings: their format, the recorder in a sender, and the fit of the model to them."""

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
    BLOCK_HEADER,
    FILE_HEADER,
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
from rowanrack.record.recorder import Recorder, RecordingWriter
from rowanspindle import Result
from tests.test_core import ExchangeHarness
from tests.test_model import cli
from tests.test_parts import OPERATOR_SETTINGS

BEGINS = Begins(
    "s", "life", 5_000_000, 1_000_000, [("c", 1, 2, 1.0, 0.5, True)], {}, 8, 20, 6, 5000, 0.3, 1, 1.5, 1
)


def write_recording(
    path: Path,
    blocks: int = 3,
    clock: Callable[[int], int] = lambda block_number: 5_000_000 + block_number * SECOND_US,
) -> Path:
    """Write a file in which each block contains one arrival."""
    writer = FileWriter(path)
    for block_number in range(blocks):
        records: list[Record] = [BEGINS] if not block_number else []
        writer.write(
            clock(block_number),
            1_000_000 + block_number * SECOND_US,
            [*records, Taken(block_number, block_number, "c", "", 7, 100, 3)],
        )
    writer.close()
    return path


def test_written_recording_is_read_back(tmp_path: Path) -> None:
    found = read(write_recording(tmp_path / "a.rec"))
    assert found.begins == BEGINS and [r.at for r in found.records[1:]] == [0, 1, 2] and not found.remarks


def flip_bit(raw: bytes, at: int) -> bytes:
    return raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :]


@pytest.mark.parametrize(
    ("damage", "expected_error"),
    [
        (lambda raw: b"", "not a rowanrack recording"),
        (lambda raw: b"x" + raw[1:], "not a rowanrack recording"),
        (
            lambda raw: FILE_HEADER.pack(MAGIC, 2) + raw[FILE_HEADER.size :],
            "recording format 2 is not supported; this version reads format 1",
        ),
        (lambda raw: flip_bit(raw, len(raw) - 1), "block 3 at byte"),
        (
            lambda raw: flip_bit(raw, FILE_HEADER.size + BLOCK_HEADER.size + 1),
            "block 1 at byte 22 does not match its checksum",
        ),
        (lambda raw: flip_bit(raw, FILE_HEADER.size), "block 1 at byte 22 does not match its checksum"),
        (lambda raw: raw[: FILE_HEADER.size], "the first record does not describe the sender"),
    ],
)
def test_damaged_recording_gives_a_one_line_error(
    tmp_path: Path, damage: Callable[[bytes], bytes], expected_error: str
) -> None:
    path = write_recording(tmp_path / "a.rec")
    path.write_bytes(damage(path.read_bytes()))
    with pytest.raises(RecordingError, match=expected_error) as caught:
        read(path)
    assert str(caught.value).startswith(f"{path}: ") and "\n" not in str(caught.value)


def test_truncated_recording_keeps_its_complete_blocks(tmp_path: Path) -> None:
    raw = write_recording(tmp_path / "a.rec").read_bytes()
    block_ends = [len(write_recording(tmp_path / f"{n}.rec", n).read_bytes()) for n in (1, 2, 3)]
    for cut_at in range(block_ends[0], len(raw)):
        (tmp_path / "b.rec").write_bytes(raw[:cut_at])
        found = read(tmp_path / "b.rec")
        complete = sum(end <= cut_at for end in block_ends)
        assert len(found.records) == 1 + complete
        assert bool(found.remarks) is (cut_at not in block_ends)
    assert "truncated in block 3" in found.remarks[0]


def test_removed_block_is_detected(tmp_path: Path) -> None:
    raw = write_recording(tmp_path / "a.rec").read_bytes()
    one, two = (len(write_recording(tmp_path / f"{n}.rec", n).read_bytes()) for n in (1, 2))
    (tmp_path / "b.rec").write_bytes(raw[:one] + raw[two:])
    with pytest.raises(RecordingError, match="block 2"):
        read(tmp_path / "b.rec")


def test_clock_step_is_remarked_and_moves_no_record(tmp_path: Path) -> None:
    path = write_recording(
        tmp_path / "a.rec", clock=lambda n: 5_000_000 + n * SECOND_US - (3_600 * SECOND_US if n == 2 else 0)
    )
    found = read(path)
    assert found.remarks == ["the clock was set back by 3600.0 s before block 3"]
    assert [a.at_us for a in timeline([found]).arrivals] == sorted(
        a.at_us for a in timeline([found]).arrivals
    )


class ImmediateWriter:
    """Replaces `RecordingWriter`: writes each block immediately, without a thread."""

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


def test_sender_records_events_without_bodies_and_ids(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    desk = ExchangeHarness(tmp_path / "state")
    recorder = Recorder("desk", desk.exchange, ImmediateWriter(tmp_path / "a.rec"))  # type: ignore[arg-type]
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


def make_records(count: int) -> list[Record]:
    rng = Random(1)
    return [Taken(n, n, "c", "", rng.randrange(10**9), rng.randrange(10**9), 1) for n in range(count)]


def bytes_on_disk(folder: Path) -> int:
    """Return the size of all recordings in a folder."""
    return sum(path.stat().st_size for path in folder.glob("*.rec"))


def write_blocks(disk: RecordingWriter, *blocks: tuple[list[Record], bool]) -> None:
    """Write blocks in order, as the writer's thread does."""
    for n, (records, starts_file) in enumerate(blocks):
        disk._write(n, n, records, starts_file)


def test_disk_space_is_bounded_at_every_moment_and_the_oldest_file_is_deleted_first(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against freeing space only after writing a block, which took up to 17,316 of 16,000 bytes."""
    original_append, measured_bytes = FileWriter.append, list[int]()

    def append_and_measure(writer: FileWriter, *block: Any) -> None:
        original_append(writer, *block)
        measured_bytes.append(bytes_on_disk(tmp_path))

    monkeypatch.setattr(FileWriter, "append", append_and_measure)
    monkeypatch.setattr(recording, "MIN_FILE_BYTES", 1_000)
    disk = RecordingWriter(tmp_path, "s", 16_000)
    for _ in range(40):
        write_blocks(disk, ([BEGINS, *make_records(100)], disk.full))
    assert 14_000 < max(measured_bytes) <= 16_000 and len(measured_bytes) == 40
    paths = recording.recording_files(tmp_path, "s")
    numbers = [int(p.stem[2:]) for p in paths]
    assert numbers[0] > 1 and numbers == list(range(numbers[0], numbers[-1] + 1))
    assert all(isinstance(read(p).records[0], Begins) for p in paths)
    successor = RecordingWriter(tmp_path, "s", 16_000)  # the next process continues the numbering
    successor.start()
    successor.blocks.put((1, 1, [BEGINS], True))
    successor.close()
    assert recording.recording_files(tmp_path, "s")[-1].stem == f"s-{numbers[-1] + 1:06d}"


def test_block_without_space_is_dropped_and_counted_in_the_next_file(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against continuing a file after a dropped block.

    A file can be read only if its first record describes the sender.
    """
    (tmp_path / "state").mkdir()
    desk, disk = ExchangeHarness(tmp_path / "state"), RecordingWriter(tmp_path / "rec", "s", 2_000)
    recorder = Recorder("s", desk.exchange, disk)
    recorder.start()
    disk.close()
    write_blocks(
        disk, ([BEGINS, *make_records(3)], True), (make_records(200), False), (make_records(4), False)
    )
    assert disk.full and disk.dropped == 204 and caplog.text.count("no room") == 1
    recorder.flush()
    for records, starts_file in ((b[2], b[3]) for b in [disk.blocks.get_nowait()] if b is not None):
        write_blocks(disk, (records, starts_file))
    first, second = (read(p) for p in recording.recording_files(tmp_path / "rec", "s"))
    assert len(first.records) == 4 and [r.lost for r in second.records if isinstance(r, Gap)] == [204]
    assert not disk.full and bytes_on_disk(tmp_path / "rec") <= 2_000


def test_full_disk_ends_the_recording_with_one_log_line_and_the_sender_continues(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def fail_disk_full(*_: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(FileWriter, "append", fail_disk_full)
    (tmp_path / "state").mkdir()
    desk = ExchangeHarness(tmp_path / "state")
    disk = RecordingWriter(tmp_path / "rec", "s", 1 << 20)
    recorder = Recorder("s", desk.exchange, disk)
    recorder.start()
    attempt = desk.submit("m1")
    recorder.flush()
    disk._thread.join(5)
    for _ in range(3):
        desk.run(SECOND_US // 2)
        recorder.flush()
    assert desk.exchange.begin(attempt) and not desk.exchange.observers and not recorder._pending
    desk.exchange.settle(attempt, Result.OK)
    assert "m1" in desk.ends
    lines = [r.getMessage() for r in caplog.records if "recording" in r.getMessage()]
    assert len(lines) == 1 and "No space left on device" in lines[0]
    recorder.close()


def test_folder_that_cannot_be_created_ends_the_recording(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    (tmp_path / "file").write_text("")
    disk = RecordingWriter(tmp_path / "file" / "rec", "s", 1 << 20)
    disk.start()
    disk.blocks.put((1, 1, [BEGINS], True))
    disk._thread.join(5)
    assert disk.failed and "Not a directory" in caplog.text


def test_slow_disk_leaves_a_counted_gap(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    desk, immediate = ExchangeHarness(tmp_path / "state"), ImmediateWriter(tmp_path / "a.rec")
    recorder = Recorder("s", desk.exchange, immediate)  # type: ignore[arg-type]
    recorder.start()
    recorder.flush()
    original_put, queue_full = immediate.put_nowait, True

    def put(block: Any) -> None:
        if queue_full:
            raise queue.Full
        original_put(block)

    immediate.put_nowait = put  # type: ignore[method-assign]
    desk.submit("m1")
    pending_count = len(recorder._pending)
    recorder.flush()
    recorder.flush()
    queue_full = False
    desk.submit("m2")
    immediate.writer.close()
    immediate.writer = FileWriter(tmp_path / "b.rec")  # as a block that starts a file does
    recorder.close()
    found = read(tmp_path / "b.rec")
    assert [r.lost for r in found.records if isinstance(r, Gap)] == [pending_count]
    assert any("were dropped" in remark for remark in found.remarks)


# Fitting the model to recordings.


def simulate_limited_calls(
    kind: str, rate: float, window: int, counts: bool, seconds: int = 60
) -> list[tuple[int, bool]]:
    """Simulate calls at twice the rate that a limit allows.

    Return the time of each and whether it is refused.
    """
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
def test_fit_finds_the_limit_that_causes_refusals(kind: str, rate: float, window: int, counts: bool) -> None:
    calls = simulate_limited_calls(kind, rate, window, counts)
    found = fit_limit(calls)
    assert found is not None and found.kind == kind and found.rate == pytest.approx(rate, rel=0.12)
    assert kind == "rate" or found.window_us == window
    assert found.wrong < 0.15 * len(calls)


def test_fit_prefers_the_listed_rate_if_it_explains_the_refusals_equally_well() -> None:
    """Guards against finding no limit when a sender that keeps to the listed rate is rarely refused."""
    rng, calls, limit = (
        Random(4),
        [],
        Limit(Figures("rate", 4.0, SECOND_US, 0, (0, 0), False, 1, 0, 1, 0, 0, 0, 1, 1, 1, 1, 0)),
    )
    for n in range(240):
        at = int((n + 1.5 * rng.random()) / 4.05 * SECOND_US)
        calls.append((at, limit.take(at) > 0))
    assert 0 < sum(refused for _, refused in calls) < 30
    fitted_to_listed_rate, fitted_to_other_rate = fit_limit(calls, 4.0), fit_limit(calls, 40.0)
    assert (
        fitted_to_listed_rate is not None
        and fitted_to_listed_rate.rate == 4.0
        and fitted_to_other_rate is not None
        and fitted_to_other_rate.rate < 8
    )


def test_fit_finds_no_limit_without_refusals() -> None:
    assert fit_limit([(n * 1000, False) for n in range(500)]) is None


def test_fit_of_response_times_ignores_outliers() -> None:
    rng = Random(2)
    times = [rng.lognormvariate(11.5, 0.4) for _ in range(2_000)] + [30e6] * 20
    mean, spread = fit_times(times)
    assert mean == pytest.approx(98_715 * 1.083, rel=0.05) and spread == pytest.approx(0.417, rel=0.1)


def calls_with_results(
    *results: str, place: str = "p", each_us: int = 200_000, took_us: int = 900_000
) -> list[CallSeen]:
    return [CallSeen(n * each_us, n * each_us + took_us, place, took_us, r, 0) for n, r in enumerate(results)]


@pytest.mark.parametrize(
    ("results", "took_us", "expected"),
    [
        (("ok", "timeout", "timeout", "timeout", "ok"), 900_000, [(200_000, 600_000, "silent")]),
        (("ok", "error", "full", "error", "ok"), 9_000, []),  # not consecutive
        (("error", "error", "error"), 9_000, [(0, 5_000_000, "failing")]),  # until the end of the recording
        (("ok", "reset", "connect_failed", "connect_failed", "ok"), 9_000, [(200_000, 600_000, "down")]),
        (
            ("ok", "timeout", "connect_failed", "connect_failed", "ok"),
            900_000,
            [(200_000, 600_000, "silent")],
        ),
        (("ok", "cancelled", "cancelled", "ok"), 9_000, []),
    ],
)
def test_outages_are_derived_from_call_results(
    results: tuple[str, ...], took_us: int, expected: list[tuple[int, int, str]]
) -> None:
    found = outages(calls_with_results(*results, took_us=took_us), [], 5 * SECOND_US)
    assert found == [Outage(at, lasts, "p", state) for at, lasts, state in expected]


def test_consecutive_slow_seconds_form_one_span() -> None:
    calls = [CallSeen(s * SECOND_US + n, s * SECOND_US + n + (400_000 if s in (3, 4) else 100_000),
                      "p", 0, "ok", 0)
             for s in range(8) for n in range(5)]  # fmt: skip
    assert slow_spans(calls, 100_000.0) == [(3, 2, 4.0)]


SCENARIO = """
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
def recorded_paths(tmp_path_factory: pytest.TempPathFactory) -> list[Path]:
    """Recordings of a simulated day by its senders, from which the fit has to find the scenario's figures."""
    folder = tmp_path_factory.mktemp("recorded")
    world, paths = World(parse(SCENARIO, "day"), 5), []
    for sender in world.senders:
        paths.append(folder / f"s{sender.number}.rec")
        recorder = Recorder(f"s{sender.number}", sender.exchange, ImmediateWriter(paths[-1]))  # type: ignore[arg-type]
        recorder.start()
    result = world.run()
    assert result["rules"] == "kept" and result["refused"] + result["failed"] + result["late"] > 0.02
    return paths


def test_recorded_scenario_is_fitted_reproduced_and_compared(
    recorded_paths: list[Path], tmp_path: Path
) -> None:
    scenario_path = tmp_path / "fitted.scenario"
    result = cli(
        "calibrate", *map(str, recorded_paths), "--out", str(scenario_path), "--runs", "4", "--json", "-"
    )
    document = json.loads(result.stdout)
    deviating = [row for row in document["figures"] if not row["within"]]
    assert result.returncode == 0 and document["reproduced"] and not deviating, (deviating, result.stderr)
    limits = [one["limit"][1] for one in document["fleet"] if one["limit"] is not None]
    assert limits and all(rate == pytest.approx(6, rel=0.25) for rate in limits)
    assert "place 1 of partner 6 silent" in scenario_path.read_text()
    assert (
        len(finished(timeline([read(p) for p in recorded_paths])))
        == document["arrivals"] - document["unfinished"]
    )
    arguments = ("compare", str(scenario_path), "--a", "this", "--b", "this", "--runs", "2")
    assert cli(*arguments).stdout.splitlines()[0].startswith("inconclusive")
    scenario_path.write_text(scenario_path.read_text() + "# changed\n")
    assert cli(*arguments).stdout.startswith("NOT REPRODUCED: the scenario was changed since")
    scenario_path.with_suffix(".calibration.json").unlink()
    assert cli(*arguments).stdout.startswith("NOT REPRODUCED: `model calibrate` has not judged")
    recorded_paths[0].rename(tmp_path / "moved.rec")
    gone = cli("run", str(scenario_path))
    (tmp_path / "moved.rec").rename(recorded_paths[0])
    assert gone.returncode == 1 and "No such file" in gone.stderr and "Traceback" not in gone.stderr


def test_inaccurate_fit_is_reported(
    recorded_paths: list[Path], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from click.testing import CliRunner

    from rowanrack.model import calibrate as fitting
    from rowanrack.model.cli import model

    monkeypatch.setattr(fitting, "fit_times", lambda times: (900_000.0, 0.3))
    scenario_path = tmp_path / "off.scenario"
    result = CliRunner().invoke(
        model, ["calibrate", *map(str, recorded_paths), "--out", str(scenario_path), "--runs", "1"]
    )
    assert (
        result.exit_code == 4
        and result.output.strip().startswith("not reproduced")
        and "beyond" in result.output
    )
    first = (
        CliRunner()
        .invoke(model, ["compare", str(scenario_path), "--b", "this", "--runs", "2"])
        .output.strip()
        .splitlines()[0]
    )
    assert first.startswith("NOT REPRODUCED: the model is beyond its margin in")


def test_recordings_are_shown_and_errors_take_one_line(recorded_paths: list[Path], tmp_path: Path) -> None:
    command = [sys.executable, "-m", "rowanrack", "record", "show"]
    result = subprocess.run(
        [*command, "--json", *map(str, recorded_paths)], capture_output=True, text=True, check=True
    )
    assert [one["sender"] for one in json.loads(result.stdout)] == ["s0", "s1"]
    (tmp_path / "a.rec").write_bytes(b"nothing")
    for arguments in (
        (*command, str(tmp_path / "a.rec")),
        (*command[:3], "model", "calibrate", str(tmp_path)),
    ):
        result = subprocess.run(arguments, capture_output=True, text=True, check=False)
        assert (
            result.returncode == 1
            and "not a rowanrack recording" in result.stderr
            and result.stderr.count("\n") == 1
        )


def test_operator_file_enables_recording(tmp_path: Path) -> None:
    (tmp_path / "state").mkdir()
    path = tmp_path / "site.toml"
    text = f'state = "{tmp_path / "state"}"\n{OPERATOR_SETTINGS}'
    path.write_text(text + '[record]\nfolder = "/tmp/x"\nmost_mb = 5\n')
    record = operator_config(path).record
    assert record is not None and (str(record.folder), record.most_bytes) == ("/tmp/x", 5_000_000)
    path.write_text(text + '[record]\nfolder = "/tmp/x"\nmost_mb = 0\n')
    with pytest.raises(ConfigError, match=r"record\.most_mb"):
        operator_config(path)


@pytest.mark.parametrize("form", ["plain", "json"])
def test_log_has_the_same_content_in_both_formats(form: str) -> None:
    code = (
        "import logging, sys; from rowanrack import logs; logs.set_up_logging(sys.argv[1]); "
        "print('structlog' in sys.modules)\n"
        "logging.getLogger('rowanrack.core').warning('message %s is late', 'm1')\n"
        "try: 1 / 0\nexcept ArithmeticError: logging.getLogger('x').exception('failed')"
    )
    result = subprocess.run([sys.executable, "-c", code, form], capture_output=True, text=True, check=True)
    lines = result.stderr.splitlines()
    if form == "plain":
        assert lines[0].endswith(" WARNING rowanrack.core: message m1 is late") and result.stdout == "False\n"
        assert "Traceback" in result.stderr
        return
    first, second = map(json.loads, lines)
    assert (first["level"], first["logger"], first["event"]) == (
        "warning",
        "rowanrack.core",
        "message m1 is late",
    )
    assert first["timestamp"].endswith("Z") and "ZeroDivisionError" in second["exception"]
