"""Records a sender while it serves, without blocking it and within a limit of disk space.

As the exchange's `Observer`, the recorder keeps one record per event in memory. Once a second, or when there
are many, it passes them as one block to a thread that compresses and writes them. Space is freed before a
block is written, so that the limit holds at every moment. If the disk is too slow, or there is no space for a
block, the block is dropped and its records are counted. If the disk fails, the recording ends with one log
line, and the sender continues to serve.
"""

from __future__ import annotations

import logging
import queue
import secrets
import threading
from contextlib import suppress
from pathlib import Path

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Attempt, End, Endpoint, Message, Refusal
from rowanrack.core.rate_limited_log import RateLimitedLog
from rowanrack.record.format import (
    BLOCK_OVERHEAD_BYTES,
    FILE_HEADER,
    SUFFIX,
    Began,
    Begins,
    Ended,
    FileWriter,
    Gap,
    Listed,
    Record,
    Settled,
    Taken,
    Turned,
    encode_records,
)
from rowanspindle import Effect, EndpointStatus, Result

log = logging.getLogger(__name__)
rate_limited = RateLimitedLog(log)

FLUSH_US = 1_000_000  # interval at which records are passed to the thread
MAX_PENDING_RECORD_COUNT = 2_000  # passes records on before the interval is over
MAX_QUEUED_BLOCK_COUNT = 8  # blocks that may wait for the thread
FILE_COUNT = 8  # the space is divided into this many files; the oldest is deleted when it is used up
MIN_FILE_BYTES = 1 << 16
CLOSE_TIMEOUT_S = 0.5  # time for the thread to write the queued blocks at shutdown

# Unix time, monotonic time, records, whether the block starts a file.
Block = tuple[int, int, list[Record], bool]


class RecordingWriter:
    """The writer thread and its files."""

    def __init__(self, folder: Path, sender: str, most_bytes: int) -> None:
        self.folder, self.sender, self.most_bytes = folder, sender, most_bytes
        self.file_bytes = max(MIN_FILE_BYTES, most_bytes // FILE_COUNT)
        self.blocks: queue.Queue[Block | None] = queue.Queue(MAX_QUEUED_BLOCK_COUNT)
        self.file: FileWriter | None = None
        self.failed = False
        self.dropped = 0  # total of records for which there was no space
        self._needs_new_file = False  # a block was dropped, so the next one cannot continue the file
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)

    def start(self) -> None:
        """Start the thread, which writes the blocks put into `blocks`."""
        self._thread.start()

    @property
    def full(self) -> bool:
        """Whether the next block has to start a file: the present file is full or lacks a block."""
        return self._needs_new_file or (self.file is not None and self.file.size >= self.file_bytes)

    def close(self) -> None:
        """Write the queued blocks, for at most `CLOSE_TIMEOUT_S`."""
        try:
            self.blocks.put_nowait(None)
        except queue.Full:
            return  # the disk has been too slow for seconds
        if self._thread.is_alive():
            self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        try:
            while (block := self.blocks.get()) is not None:
                self._write(*block)
            if self.file is not None:
                self.file.close()
        except OSError as error:
            self.failed = True
            path = error.filename or (self.file.path if self.file is not None else self.folder)
            log.error("recording stopped, the disk failed: %s: %s", path, error.strerror or error)

    def _write(self, unix_us: int, at_us: int, records: list[Record], starts_file: bool) -> None:
        """Write one block after freeing space for it, or drop it."""
        content = encode_records(records)
        if starts_file and self.file is not None:
            self.file.close()
            self.file = None
        elif self._needs_new_file and not starts_file:  # the block before it was dropped
            self.dropped += count_lost_records(records)
            return
        other_files = self._other_files()
        newest = next(reversed(other_files), None)
        file_bytes = FILE_HEADER.size if self.file is None else self.file.size
        if not self._make_room(other_files, file_bytes + BLOCK_OVERHEAD_BYTES + len(content)):
            # The following blocks need a new file, which starts with the state at that time.
            self._needs_new_file = True
            self.dropped += count_lost_records(records)
            rate_limited.warning(
                "recording: no room for a block of %d bytes, its records are dropped", len(content)
            )
            return
        if self.file is None:
            # Numbers continue from the highest one, so that they give the order whatever the clock says.
            file_number = int(newest.stem.rpartition("-")[2]) + 1 if newest is not None else 1
            self.file = FileWriter(self.folder / f"{self.sender}-{file_number:06d}{SUFFIX}")
        self.file.append(unix_us, at_us, content)
        self._needs_new_file = False

    def _other_files(self) -> dict[Path, int]:
        """Return the other files and their sizes, the oldest first.

        During a hot restart, one of them may still grow.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        other_files = dict[Path, int]()
        for path in recording_files(self.folder, self.sender):
            if self.file is None or path != self.file.path:
                with suppress(FileNotFoundError):
                    other_files[path] = path.stat().st_size
        return other_files

    def _make_room(self, other_files: dict[Path, int], needed_bytes: int) -> bool:
        """Delete the oldest files until the space suffices.

        Return False, and delete none, if it never does.
        """
        if needed_bytes > self.most_bytes:
            return False
        used = sum(other_files.values())
        for path, size in other_files.items():
            if used + needed_bytes <= self.most_bytes:
                break
            path.unlink(missing_ok=True)
            used -= size
        return True


def count_lost_records(records: list[Record]) -> int:
    """Count the records that are lost with a dropped block, without those that each file starts with."""
    return sum(r.lost if isinstance(r, Gap) else not isinstance(r, Begins | Listed) for r in records)


def recording_files(folder: Path, sender: str) -> list[Path]:
    """Return the paths of a sender's recordings, the oldest first."""
    paths = folder.glob(f"{sender}-*{SUFFIX}")
    numbered = (p for p in paths if p.stem.rpartition("-")[2].isdigit())
    return sorted(numbered, key=lambda p: (len(p.stem), p.stem))


class Recorder:
    """The exchange's `Observer` that turns events into records."""

    def __init__(self, name: str, exchange: Exchange, disk: RecordingWriter) -> None:
        self.name, self.exchange, self.disk = name, exchange, disk
        self.incarnation = secrets.token_hex(8)
        self._pending: list[Record] = []
        self._lost_count = self._dropped_seen = 0
        self._starts_file = True
        self._clock = exchange.clock

    def start(self) -> None:
        """Start observing the exchange. Call this before it owns its first message."""
        self.exchange.add_observer(self)
        self.disk.start()
        self._pending += self._opening_records()
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        def flush_and_reschedule() -> None:
            self.flush()
            if not self.disk.failed:
                self._schedule_flush()

        self.exchange.after(FLUSH_US, flush_and_reschedule)

    def _opening_records(self) -> list[Record]:
        """Return the records that start a file: the settings and the present endpoint list."""
        settings, now = self.exchange.settings, self._clock.now_us()
        classes = [
            (cls.name, cls.aim_us, cls.deadline_us, cls.worth, cls.late_worth, cls.effect is Effect.SAFE)
            for cls in settings.classes.values()
        ]
        begins = Begins(
            self.name, self.incarnation, self._clock.unix_us(), now, classes, dict(settings.tenants),
            settings.slots, settings.most_held, settings.try_limit, self.exchange.wheel.tick_us,
            settings.cold_share, settings.ramp_us, settings.overload_factor, settings.fall_us,
        )  # fmt: skip
        return [
            begins,
            *(self._listed(now, endpoint) for endpoint in self.exchange.endpoint_list.endpoints()),
        ]

    @staticmethod
    def _listed(now: int, endpoint: Endpoint) -> Listed:
        return Listed(
            now,
            endpoint.name,
            endpoint.dest,
            endpoint.kind,
            endpoint.zone,
            endpoint.status.value,
            endpoint.rate,
        )

    def flush(self) -> None:
        """Pass the pending records to the writer thread."""
        if self.disk.failed:
            self._pending.clear()
            self.exchange.remove_observer(self)
            return
        dropped = self.disk.dropped
        self._lost_count += dropped - self._dropped_seen
        self._dropped_seen = dropped
        if self.disk.full and not self._starts_file:
            self._pending[:0] = self._opening_records()
            self._starts_file = True
        if self._lost_count:  # after `Begins`, which has to be the first record of a file
            self._pending.insert(int(self._starts_file), Gap(self._clock.now_us(), self._lost_count))
        if not self._pending:
            return
        try:
            self.disk.blocks.put_nowait(
                (self._clock.unix_us(), self._clock.now_us(), self._pending, self._starts_file)
            )
            self._lost_count, self._starts_file = 0, False
        except queue.Full:
            # Drops the records rather than wait for a slow disk.
            self._lost_count = count_lost_records(self._pending)
            self._starts_file = True  # the dropped records may include changes of the endpoint list
            self._pending = self._opening_records()
            return
        self._pending = []

    def close(self) -> None:
        """Stop observing, and write what is pending."""
        self.exchange.remove_observer(self)
        self.flush()
        self.disk.close()

    def _add(self, record: Record) -> None:
        self._pending.append(record)
        if len(self._pending) >= MAX_PENDING_RECORD_COUNT:
            self.flush()

    # The exchange's `Observer` interface.

    def taken(self, message: Message, left_us: int) -> None:
        """Record an accepted message."""
        self._add(Taken(self._clock.now_us(), message.ref, message.cls, message.tenant, message.dest, left_us,
                        len(message.body)))  # fmt: skip

    def refused(self, message: Message | None, refusal: Refusal) -> None:
        """Record a refused message, which is None if it was refused before it was read."""
        now = self._clock.now_us()
        if message is None:
            self._add(Turned(now, "", "", -1, 0, refusal.retry_us))
            return
        time_left_us = max(0, message.deadline_us - self._clock.unix_us())
        self._add(Turned(now, message.cls, message.tenant, message.dest, time_left_us, refusal.retry_us))

    def list_changed(self, news: list[Endpoint], gone: list[str]) -> None:
        """Record added, changed and removed endpoints."""
        now = self._clock.now_us()
        for endpoint in news:
            self._add(self._listed(now, endpoint))
        for name in gone:
            self._add(Listed(now, name, -1, "", "", EndpointStatus.REMOVED.value, 0.0))

    def began(self, attempt: Attempt) -> None:
        """Record that the first byte of a call is sent."""
        now = self._clock.now_us()
        self._add(Began(now, attempt.message.ref, attempt.attempt_number, attempt.endpoint.name,
                        now - attempt.started_us))  # fmt: skip

    def settled(self, attempt: Attempt, result: Result, wait_us: int) -> None:
        """Record the result of a call."""
        endpoint, now = attempt.endpoint, self._clock.now_us()
        self._add(Settled(now, attempt.message.ref, attempt.attempt_number, endpoint.name, endpoint.dest,
                          result.value, wait_us, attempt.begun, now - attempt.started_us))  # fmt: skip

    def ended(self, message: Message, end: End) -> None:
        """Record the end of a message."""
        self._add(Ended(self._clock.now_us(), message.ref, end.ending.value, end.retry_us))


def create_recorder(name: str, exchange: Exchange, folder: Path, most_bytes: int) -> Recorder:
    """Create a recorder that writes at most `most_bytes` into a folder."""
    return Recorder(name, exchange, RecordingWriter(folder, name, most_bytes))
