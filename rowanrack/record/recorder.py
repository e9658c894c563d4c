"""Writing a recording beside a serving sender: never in its way, and bounded on disk.

The exchange's `Observer`: each happening becomes a record in memory; once a second, or when there are many,
they go as one block to a thread that deflates and writes them. If the disk does not keep up, blocks are
dropped and counted; if it fails, the recording ends with one line in the log, and serving goes on.
"""

from __future__ import annotations

import logging
import queue
import secrets
import threading
from pathlib import Path

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import End, Execution, Instance, Message, Nack
from rowanrack.record.format import (
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
)
from rowanspindle import Effect, Result, Status

log = logging.getLogger(__name__)

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
        self._kept: dict[Path, int] = {}  # earlier files and their sizes, the oldest first
        self._thread = threading.Thread(target=self._run, name="recorder", daemon=True)

    def start(self) -> None:
        """Begin to write what is put into `blocks`."""
        self._thread.start()

    @property
    def full(self) -> bool:
        """Whether the file is as long as one may be."""
        return self.file is not None and self.file.size >= self.file_bytes

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
                unix_us, at_us, records, anew = block
                if anew or self.file is None:
                    self._next_file()
                assert self.file is not None
                self.file.write(unix_us, at_us, records)
                self._bound()
            if self.file is not None:
                self.file.close()
        except OSError as error:
            self.failed = True
            where = error.filename or (self.file.path if self.file is not None else self.folder)
            log.error("the recording has ended: %s: %s", where, error.strerror or error)

    def _next_file(self) -> None:
        """Numbers go on from the highest there is: they tell the order whatever the clocks say."""
        if self.file is not None:
            self.file.close()
        self.folder.mkdir(parents=True, exist_ok=True)
        kept = files_of(self.folder, self.sender)
        self._kept = {path: path.stat().st_size for path in kept}
        number = int(kept[-1].stem.rpartition("-")[2]) + 1 if kept else 1
        self.file = FileWriter(self.folder / f"{self.sender}-{number:06d}{SUFFIX}")
        self._bound()

    def _bound(self) -> None:
        """Let the oldest files go, but never the one that is being written."""
        assert self.file is not None
        used = sum(self._kept.values()) + self.file.size
        while self._kept and used > self.most_bytes:
            oldest = next(iter(self._kept))
            used -= self._kept.pop(oldest)
            oldest.unlink(missing_ok=True)


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
        self._lost = 0
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
    def _listed(now: int, i: Instance) -> Listed:
        return Listed(now, i.name, i.dest, i.kind, i.zone, i.status.value, i.rate)

    def flush(self) -> None:
        """Hand over what is in memory."""
        if self.disk.failed:
            self._held.clear()
            self.exchange.unobserve(self)
            return
        if self._lost:
            self._held.insert(0, Gap(self._clock.now_us(), self._lost))
        if self.disk.full and not self._anew:
            self._held[:0] = self._opening()
            self._anew = True
        if not self._held:
            return
        try:
            self.disk.blocks.put_nowait((self._clock.unix_us(), self._clock.now_us(), self._held, self._anew))
            self._lost, self._anew = 0, False
        except queue.Full:
            # Guards serving against a disk that does not keep up.
            self._lost += sum(not isinstance(r, Gap | Begins | Listed) for r in self._held)
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

    def turned_away(self, message: Message | None, nack: Nack) -> None:
        """A message is not taken; without it when it was not read."""
        now = self._clock.now_us()
        if message is None:
            self._add(Turned(now, "", "", -1, 0, nack.retry_us))
            return
        left = max(0, message.deadline_us - self._clock.unix_us())
        self._add(Turned(now, message.cls, message.tenant, message.dest, left, nack.retry_us))

    def listed(self, news: list[Instance], gone: list[str]) -> None:
        """News of instances."""
        now = self._clock.now_us()
        for instance in news:
            self._add(self._listed(now, instance))
        for name in gone:
            self._add(Listed(now, name, -1, "", "", Status.REMOVED.value, 0.0))

    def began(self, execution: Execution) -> None:
        """A call's first byte goes out."""
        now = self._clock.now_us()
        self._add(Began(now, execution.message.ref, execution.leg, execution.instance.name,
                        now - execution.started_us))  # fmt: skip

    def settled(self, execution: Execution, result: Result, wait_us: int) -> None:
        """A call has ended."""
        i, now = execution.instance, self._clock.now_us()
        self._add(Settled(now, execution.message.ref, execution.leg, i.name, i.dest, result.value, wait_us,
                          execution.begun, now - execution.started_us))  # fmt: skip

    def ended(self, message: Message, end: End) -> None:
        """A message has ended."""
        self._add(Ended(self._clock.now_us(), message.ref, end.ending.value, end.retry_us))


def recorder(name: str, exchange: Exchange, folder: Path, most_bytes: int) -> Recorder:
    """One that writes into a folder, with so many bytes on disk at most."""
    return Recorder(name, exchange, Disk(folder, name, most_bytes))
