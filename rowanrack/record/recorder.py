"""Writing a recording beside a serving sender: never in its way, and bounded on disk.

The exchange's `Observer`: each happening becomes a record in memory; once a second, or when there are many,
they go as one block to a thread that deflates and writes them. Room is made before a block is written, so
that the bound holds at every moment. If the disk does not keep up, or a block has no room, it is dropped and
counted; if the disk fails, the recording ends with one line in the log, and serving goes on.
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
from rowanrack.net.rare_log import RareLog
from rowanrack.record.format import (
    FRAME,
    HEAD,
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
    packed,
)
from rowanspindle import Effect, EndpointStatus, Result

log = logging.getLogger(__name__)
rare = RareLog(log)

FLUSH_US = 1_000_000  # after which what is in memory is handed over
BLOCK_RECORDS = 2_000  # or when there are so many
WAITING = 8  # blocks that may wait for the disk
FILES = 8  # that the room on disk is divided into: the oldest goes when it is used up
FILE_LEAST = 1 << 16
CLOSE_S = 0.5  # for the thread to write what it has, at the end

Block = tuple[int, int, list[Record], bool]  # both clocks, the records, and whether they begin a file


class Disk:
    """The thread that writes, and the files that it keeps."""

    def __init__(self, folder: Path, sender: str, most_bytes: int) -> None:
        self.folder, self.sender, self.most_bytes = folder, sender, most_bytes
        self.file_bytes = max(FILE_LEAST, most_bytes // FILES)
        self.blocks: queue.Queue[Block | None] = queue.Queue(WAITING)
        self.file: FileWriter | None = None
        self.failed = False
        self.dropped = 0  # records for which there was no room, so far
        self._astray = False  # there is no file that the next block could go on in
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)

    def start(self) -> None:
        """Begin to write what is put into `blocks`."""
        self._thread.start()

    @property
    def full(self) -> bool:
        """Whether the next block has to begin a file: this one is as long as one may be, or lacks a block."""
        return self._astray or (self.file is not None and self.file.size >= self.file_bytes)

    def close(self) -> None:
        """Write what is there, for a moment."""
        try:
            self.blocks.put_nowait(None)
        except queue.Full:
            return  # the disk has been behind for seconds
        if self._thread.is_alive():
            self._thread.join(CLOSE_S)

    def _run(self) -> None:
        try:
            while (block := self.blocks.get()) is not None:
                self._write(*block)
            if self.file is not None:
                self.file.close()
        except OSError as error:
            self.failed = True
            where = error.filename or (self.file.path if self.file is not None else self.folder)
            log.error("the recording has ended: %s: %s", where, error.strerror or error)

    def _write(self, unix_us: int, at_us: int, records: list[Record], anew: bool) -> None:
        """One block, once there is room for it."""
        content = packed(records)
        if anew and self.file is not None:
            self.file.close()
            self.file = None
        elif self._astray and not anew:  # what it goes on from was dropped
            self.dropped += counted(records)
            return
        kept = self._kept()
        last = next(reversed(kept), None)
        own = HEAD.size if self.file is None else self.file.size
        if not self._made_room(kept, own + FRAME + len(content)):
            # What follows needs a file of its own, which says how things stand by then.
            self._astray = True
            self.dropped += counted(records)
            rare.warning("the recording has no room for a block of %d bytes", len(content))
            return
        if self.file is None:
            # Numbers go on from the highest there is: they tell the order whatever the clocks say.
            number = int(last.stem.rpartition("-")[2]) + 1 if last is not None else 1
            self.file = FileWriter(self.folder / f"{self.sender}-{number:06d}{SUFFIX}")
        self.file.append(unix_us, at_us, content)
        self._astray = False

    def _kept(self) -> dict[Path, int]:
        """The other files and their sizes, the oldest first; at a hot restart one of them may still grow."""
        self.folder.mkdir(parents=True, exist_ok=True)
        kept = dict[Path, int]()
        for path in files_of(self.folder, self.sender):
            if self.file is None or path != self.file.path:
                with suppress(FileNotFoundError):
                    kept[path] = path.stat().st_size
        return kept

    def _made_room(self, kept: dict[Path, int], wanted: int) -> bool:
        """Let the oldest files go until so much fits; False, and none goes, if it never does."""
        if wanted > self.most_bytes:
            return False
        used = sum(kept.values())
        for path, size in kept.items():
            if used + wanted <= self.most_bytes:
                break
            path.unlink(missing_ok=True)
            used -= size
        return True


def counted(records: list[Record]) -> int:
    """How many records a gap stands for: those that a new file does not begin with in any case."""
    return sum(r.lost if isinstance(r, Gap) else not isinstance(r, Begins | Listed) for r in records)


def files_of(folder: Path, sender: str) -> list[Path]:
    """A sender's recordings in their order."""
    found = folder.glob(f"{sender}-*{SUFFIX}")
    numbered = (p for p in found if p.stem.rpartition("-")[2].isdigit())
    return sorted(numbered, key=lambda p: (len(p.stem), p.stem))


class Recorder:
    """What the exchange tells its observer, as records."""

    def __init__(self, name: str, exchange: Exchange, disk: Disk) -> None:
        self.name, self.exchange, self.disk = name, exchange, disk
        self.life = secrets.token_hex(8)
        self._held: list[Record] = []
        self._lost = self._dropped = 0
        self._anew = True
        self._clock = exchange.clock

    def start(self) -> None:
        """Watch the exchange from now on, before it owns its first message."""
        self.exchange.observe(self)
        self.disk.start()
        self._held += self._opening()
        self._later()

    def _later(self) -> None:
        def over() -> None:
            self.flush()
            if not self.disk.failed:
                self._later()

        self.exchange.after(FLUSH_US, over)

    def _opening(self) -> list[Record]:
        """What a file begins with: the settings, and the list as it stands."""
        s, now = self.exchange.settings, self._clock.now_us()
        classes = [
            (c.name, c.aim_us, c.deadline_us, c.worth, c.late_worth, c.effect is Effect.SAFE)
            for c in s.classes.values()
        ]
        begins = Begins(
            self.name, self.life, self._clock.unix_us(), now, classes, dict(s.tenants), s.slots, s.most_held,
            s.try_limit, self.exchange.wheel.tick_us, s.cold_share, s.ramp_us, s.overload_factor, s.fall_us,
        )  # fmt: skip
        return [begins, *(self._listed(now, i) for i in self.exchange.table.instances())]

    @staticmethod
    def _listed(now: int, i: Endpoint) -> Listed:
        return Listed(now, i.name, i.dest, i.kind, i.zone, i.status.value, i.rate)

    def flush(self) -> None:
        """Hand over what is in memory."""
        if self.disk.failed:
            self._held.clear()
            self.exchange.unobserve(self)
            return
        dropped = self.disk.dropped
        self._lost += dropped - self._dropped
        self._dropped = dropped
        if self.disk.full and not self._anew:
            self._held[:0] = self._opening()
            self._anew = True
        if self._lost:  # behind what a file has to begin with
            self._held.insert(int(self._anew), Gap(self._clock.now_us(), self._lost))
        if not self._held:
            return
        try:
            self.disk.blocks.put_nowait((self._clock.unix_us(), self._clock.now_us(), self._held, self._anew))
            self._lost, self._anew = 0, False
        except queue.Full:
            # Guards serving against a disk that does not keep up.
            self._lost = counted(self._held)
            self._anew = True  # what is listed may be among it
            self._held = self._opening()
            return
        self._held = []

    def close(self) -> None:
        """The sender ends."""
        self.exchange.unobserve(self)
        self.flush()
        self.disk.close()

    def _add(self, record: Record) -> None:
        self._held.append(record)
        if len(self._held) >= BLOCK_RECORDS:
            self.flush()

    # The exchange's `Observer`.

    def taken(self, message: Message, left_us: int) -> None:
        """A message is owned."""
        self._add(Taken(self._clock.now_us(), message.ref, message.cls, message.tenant, message.dest, left_us,
                        len(message.body)))  # fmt: skip

    def turned_away(self, message: Message | None, refusal: Refusal) -> None:
        """A message is not taken; without it when it was not read."""
        now = self._clock.now_us()
        if message is None:
            self._add(Turned(now, "", "", -1, 0, refusal.retry_us))
            return
        left = max(0, message.deadline_us - self._clock.unix_us())
        self._add(Turned(now, message.cls, message.tenant, message.dest, left, refusal.retry_us))

    def listed(self, news: list[Endpoint], gone: list[str]) -> None:
        """News of instances."""
        now = self._clock.now_us()
        for instance in news:
            self._add(self._listed(now, instance))
        for name in gone:
            self._add(Listed(now, name, -1, "", "", EndpointStatus.REMOVED.value, 0.0))

    def began(self, attempt: Attempt) -> None:
        """A call's first byte goes out."""
        now = self._clock.now_us()
        self._add(Began(now, attempt.message.ref, attempt.attempt_number, attempt.endpoint.name,
                        now - attempt.started_us))  # fmt: skip

    def settled(self, attempt: Attempt, result: Result, wait_us: int) -> None:
        """A call has ended."""
        i, now = attempt.endpoint, self._clock.now_us()
        self._add(Settled(now, attempt.message.ref, attempt.attempt_number, i.name, i.dest, result.value,
                          wait_us, attempt.begun, now - attempt.started_us))  # fmt: skip

    def ended(self, message: Message, end: End) -> None:
        """A message has ended."""
        self._add(Ended(self._clock.now_us(), message.ref, end.ending.value, end.retry_us))


def recorder(name: str, exchange: Exchange, folder: Path, most_bytes: int) -> Recorder:
    """One that writes into a folder, with so many bytes on disk at most."""
    return Recorder(name, exchange, Disk(folder, name, most_bytes))
