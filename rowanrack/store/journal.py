"""The durable journal: append-only, checksummed records of every message taken and of what became of it.

A record is its payload's length and CRC-32, then the payload: a type byte, the message's id, and what the
type adds. Writes go straight to the kernel, which outlasts the process; nothing is synced.

A message is taken only when the disk has given room for all that may have to be said of it: its attempts,
its end, and the word that its client was told. That room lies ahead of the records (see `journal_file`),
counts in the budget, and comes in pieces of `PIECE` bytes. On a disk that is full from elsewhere nothing
new is taken, and what is owed goes on to its end in the room that it has.

Should even that room fail, nothing begins any more; proofs, ends and told words, which have happened and
cannot be refused, wait in memory and are written, in order, before anything else. An end is given to its
client meanwhile, for it is owed in time: only a kill before the disk writes again, with the reserved room
failed too, lets a message be owed again that has its end.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import logging
import os
import struct
import time
import zlib
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from rowanrack.core.messages import End, Ending, Message
from rowanrack.store.journal_file import BLOCK, JournalFile, blocks

log = logging.getLogger(__name__)

MAGIC = b"rowanrack journal 1\n"
SLOTS = ("messages", "messages.b")  # one file for each of the two processes of a hot restart
OPEN_TRIES, OPEN_PAUSE_S = 20, 0.01  # a slot held for a look is free again within microseconds
FRAME = struct.Struct("<II")
TIMED = 12  # bytes of an attempt's number with its time
LONGEST = 1 << 20  # bytes of a payload; a longer length is damage
STEP, STEP_TIME, END = 17, 8, 42  # bytes of a record beside its texts
PIECE = 16 * 1024  # bytes in which room is asked of the disk
MARGIN = 8 * BLOCK
AGAIN_US = 1_000_000  # after a compaction or a take-over that failed, before the next try
TIDY_EACH = 256  # ends between two looks for those that need not be kept any more
TIDY_US = 1_000_000  # ends whose time is over within one such span are looked at together
COMPACT_LEAST = 64 * 1024  # bytes of dead records before a compaction is worth its while

TAKEN, BEGUN, NEVER_RAN, ENDED, TOLD = b"T", b"B", b"N", b"E", b"K"
KEYED = b"Y"  # a taken message with a key; one without is recorded as ever, and old records are still read
ENDINGS = {Ending.DELIVERED: b"d", Ending.REFUSED: b"r", Ending.FAILED: b"f", Ending.OVER: b"o"}
ENDING_OF = {code: ending for ending, code in ENDINGS.items()}


class JournalError(Exception):
    """The journal cannot be used; the text says why."""


def pack_text(*parts: bytes) -> bytes:
    """Byte strings, each behind its length."""
    return b"".join(struct.pack("<I", len(p)) + p for p in parts)


def unpack_text(data: bytes, count: int) -> tuple[list[bytes], bytes]:
    """So many byte strings, and what is left."""
    parts: list[bytes] = []
    for _ in range(count):
        (size,) = struct.unpack_from("<I", data)
        if len(data) < 4 + size:
            raise ValueError("a text is cut off")
        parts.append(data[4 : 4 + size])
        data = data[4 + size :]
    return parts, data


def frame(payload: bytes) -> bytes:
    """A record as it stands in the file."""
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def records(data: bytes) -> Iterator[tuple[int, bytes]]:
    """The whole records from the start, each with the offset behind it; ends at the first damaged one."""
    at = len(MAGIC)
    while at + FRAME.size <= len(data):
        size, crc = FRAME.unpack_from(data, at)
        payload = data[at + FRAME.size : at + FRAME.size + size]
        if not 0 < size <= LONGEST or len(payload) < size or zlib.crc32(payload) != crc:
            return
        at += FRAME.size + size
        yield at, payload


def taken_record(m: Message) -> bytes:
    """The record of a taken message."""
    texts = (m.cls, m.tenant, m.front, m.form)
    fixed = struct.pack("<qq", m.deadline_us, m.dest)
    if m.key:
        return KEYED + pack_text(m.id.encode(), *(t.encode() for t in texts), m.body, m.key.encode()) + fixed
    return TAKEN + pack_text(m.id.encode(), *(t.encode() for t in texts), m.body) + fixed


def step_record(kind: bytes, message_id: str, leg: int) -> bytes:
    """The record of an attempt begun, or proved never to have run."""
    return kind + pack_text(message_id.encode()) + struct.pack("<I", leg)


def begun_record(message: Message, leg: int, at_us: int) -> bytes:
    """The record of an attempt begun; where a key's time counts, with when that was."""
    timed = struct.pack("<q", at_us) if message.key else b""
    return step_record(BEGUN, message.id, leg) + timed


@dataclass(slots=True)
class Ended:
    """A recorded end, kept until its time; `told` once the platform has confirmed its notice.

    A refusal is the answer only until its time to come again: then the same id may be handed in anew.
    """

    end: End
    front: str
    keep_until_us: int
    again_us: int
    told: bool = False

    @property
    def untold(self) -> bool:
        """Whether its notice may still have to be sent."""
        return not self.told and self.end.ending in (Ending.REFUSED, Ending.FAILED)

    def record(self, message_id: str) -> bytes:
        """As it stands in the journal."""
        times = (self.end.retry_us, self.keep_until_us, self.again_us)
        fixed = ENDINGS[self.end.ending] + struct.pack("<qqq", *times)
        return ENDED + pack_text(message_id.encode(), self.front.encode()) + fixed

    def parts(self, message_id: str) -> list[bytes]:
        """The records that say all that is known of it."""
        told = [frame(step_record(TOLD, message_id, 0))] if self.told else []
        return [frame(self.record(message_id)), *told]


@dataclass(slots=True)
class Journal:
    """The journal in one folder, never larger than its budget, a compaction's second file counted."""

    folder: Path
    budget: int
    unix_us: Callable[[], int]
    keep_us: int = 30_000_000  # for how long an end is kept past its message's time
    keep_us_of: Mapping[str, int] = field(default_factory=dict)  # the same for a front that needs another
    attempts: int = 6  # attempts that a message may have
    owed: dict[str, Message] = field(default_factory=dict)
    ends: dict[str, Ended] = field(default_factory=dict)
    file: JournalFile | None = None
    live: int = 0  # bytes that a compaction writes at most
    promised: int = 0  # bytes that may still have to be written for what is known
    _books: dict[str, tuple[int, int]] = field(default_factory=dict)  # the same two for each message
    _ended: int = 0
    _spans: dict[int, list[str]] = field(default_factory=dict)  # ids by the span in which their end lapses
    slot: str = SLOTS[0]
    lock_fd: int = -1
    absorbed: list[str] = field(default_factory=list)  # ends taken over from the other slot
    _taken_over: list[Message] = field(default_factory=list)  # recorded here, while their old file is there
    _unwritten: deque[bytes] = field(default_factory=deque)
    _stuck: bool = False  # the last record was not written
    trouble: str = ""  # why nothing new is taken; empty while all is well
    _trouble_us: int = 0
    _wanted: int = PIECE  # bytes of room that end the trouble
    _compact_us: int = 0  # no compaction before then: the last one failed
    _absorb_us: int = 0

    @property
    def size(self) -> int:
        """Bytes of whole records."""
        return self.file.size if self.file is not None else 0

    @property
    def path(self) -> Path:
        """The journal's file."""
        return self.folder / f"{self.slot}.log"

    @property
    def fresh(self) -> Path:
        """The file that a compaction writes before it takes the journal's place."""
        return self.folder / f"{self.slot}.new"

    @property
    def other(self) -> str:
        """The slot of the other process at a hot restart."""
        return SLOTS[1 - SLOTS.index(self.slot)]

    @property
    def other_path(self) -> Path:
        """The file of that process, there while it runs and until it is taken over."""
        return self.folder / f"{self.other}.log"

    def _lock(self, slot: str) -> int | None:
        """The descriptor that holds a slot's lock, or None while another process holds it."""
        fd = os.open(self.folder / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        return fd

    def _free_slot(self) -> tuple[str, int]:
        """A slot and the descriptor that holds it.

        Guards a start against a look of the other process: `shared` and `absorb` hold a slot for a moment.
        """
        for _ in range(OPEN_TRIES):
            for slot in SLOTS:
                if (fd := self._lock(slot)) is not None:
                    return slot, fd
            time.sleep(OPEN_PAUSE_S)
        raise JournalError("journal: two processes hold this folder already")

    def shared(self) -> bool:
        """Whether another process holds the other slot: one of the two of a hot restart."""
        try:
            fd = self._lock(self.other)
        except OSError as error:
            # Guards the exit: alone, this process goes on as long as it may.
            log.warning("journal: no look at the other slot: %s", error.strerror or error)
            return False
        if fd is None:
            return True
        os.close(fd)
        return False

    def open(self) -> None:
        """Take a free slot, replay what is there, drop a torn tail, and be ready to append.

        Guards the journal against two writers: each process of a hot restart holds a slot of its own.
        """
        try:
            self.slot, self.lock_fd = self._free_slot()
            self.fresh.unlink(missing_ok=True)
            data = self.path.read_bytes() if self.path.exists() else b""
            end = self._replay(data)
            if torn := len(data[end:].rstrip(b"\0")):
                log.warning("journal: torn tail of %d bytes dropped", torn)
            self.file = file = JournalFile(os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600), end)
            os.ftruncate(file.fd, end)
            if end < len(MAGIC):
                file.size = 0
                file.write(MAGIC)
        except (OSError, JournalError) as error:
            self.close()
            if isinstance(error, OSError):
                raise JournalError(f"journal: {error.strerror or error}") from None
            raise
        self._reserve(0)

    def close(self) -> None:
        """Write what is still unwritten, let go of the file, and then of the slot."""
        if self.file is not None:
            if self._unwritten and not self._flush():
                log.error("journal: %d records were not written before the end", len(self._unwritten))
            self.file.close()
            self.file = None
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    def absorb(self) -> list[Message] | None:
        """Take over what the other slot's process left, once it has let go; None: ask again later.

        What it still owed is owed here from now on, and its ends are kept here; its file goes. All of it is
        recorded here first, or none: until then that file is the only one that knows.
        """
        if 0 < self._absorb_us - self.unix_us() <= AGAIN_US:
            return None
        try:
            fd = self._lock(self.other)
        except OSError as error:
            self._not_absorbed(error)
            return None
        if fd is None:
            return None
        try:
            path = self.other_path
            data = path.read_bytes() if path.exists() else b""
            self._absorb(data)
            if data:
                os.truncate(path, 0)  # from here on nothing is owed twice, should the file not go
            with contextlib.suppress(OSError):
                path.unlink(missing_ok=True)
                (self.folder / f"{self.other}.new").unlink(missing_ok=True)
        except (OSError, JournalError) as error:
            self._not_absorbed(error)
            return None
        finally:
            os.close(fd)
        self._absorb_us = 0
        taken, self._taken_over = self._taken_over, []
        if taken:
            log.info("journal: %d messages taken over from the process before", len(taken))
        return taken

    def _not_absorbed(self, error: OSError | JournalError) -> None:
        """Say so once, and try again later."""
        if not self._absorb_us:
            why = error.strerror or error if isinstance(error, OSError) else error
            log.error("journal: the other process's file is not taken over yet: %s", why)
        self._absorb_us = self.unix_us() + AGAIN_US

    def _absorb(self, data: bytes) -> None:
        """Record what another file holds and is not known here. Raises OSError, and has recorded none."""
        found = Journal(self.folder, self.budget, self.unix_us, self.keep_us, self.keep_us_of, self.attempts)
        found._replay(data)
        owed = [m for i, m in found.owed.items() if i not in self.owed and i not in self.ends]
        ends = {i: e for i, e in found.ends.items() if i not in self.owed and i not in self.ends}
        parts = [p for m in owed for p in self._parts(m)] + [p for i, e in ends.items() for p in e.parts(i)]
        if not parts:
            return
        record, kept = b"".join(parts), sum(found._books[m.id][0] for m in owed)
        kept += sum(found._books[i][0] for i in ends)
        if not self.recording() or not self._room(len(record), kept, found.promised):
            raise OSError(self.trouble or "no room in the journal")
        if not self._reserve(len(record) + found.promised) or not self._append(record):
            raise OSError(self.trouble)
        for message in owed:
            self._taken_over.append(message)
            self.owed[message.id] = message
            self._book(message.id, *found._books[message.id])
        for message_id, ended in ends.items():
            self.ends[message_id] = ended
            self.absorbed.append(message_id)
            self._lapse_at(message_id, ended)
            self._book(message_id, *found._books[message_id])

    @staticmethod
    def _parts(message: Message) -> list[bytes]:
        """The records that say all that is known of an owed message."""
        parts = [frame(taken_record(message))]
        if message.attempts_made and message.attempts_made - 1 not in message.unsettled:
            parts += [
                frame(step_record(kind, message.id, message.attempts_made - 1)) for kind in (BEGUN, NEVER_RAN)
            ]
        parts += [frame(begun_record(message, leg, at)) for leg, at in sorted(message.unsettled.items())]
        return parts

    # What the exchange records.

    def recording(self) -> bool:
        """Whether something new may be taken; while not, asking tries whether the disk has room again."""
        if not self.trouble:
            return True
        narrow = 2 * (self.size + self.promised + self._wanted) + MARGIN > self.budget
        if self.behind() or not self._reserve(0 if narrow else self._wanted):
            return False
        lasted_s = (self.unix_us() - self._trouble_us) / 1_000_000
        log.warning("journal: the disk has room again after %.1f s, messages are taken", lasted_s)
        self.trouble, self._wanted = "", PIECE
        return True

    def behind(self) -> bool:
        """Whether nothing may begin, for what has happened is not written; asking tries to write it."""
        if not self._stuck:
            return False
        if self._unwritten:
            return not self._flush()
        try:
            self._opened.probe()
        except OSError:
            return True
        self._stuck = False
        return False

    def take(self, message: Message) -> bool:
        """Record a taken message, if there is room for it, its attempts and its end."""
        if self.trouble and not self.recording():
            return False
        record = frame(taken_record(message))
        left = self._room_of(message)
        kept = len(record) + 2 * (STEP + len(message.id))
        if not self._room(len(record), kept, left) or not self._reserve(len(record) + left):
            return False
        if not self._append(record):
            return False
        self.owed[message.id] = message
        self.ends.pop(message.id, None)
        self._book(message.id, kept, left)
        return True

    def begin(self, message: Message, attempt_number: int) -> bool:
        """Record an attempt before its first byte; False if it was not written."""
        record = frame(begun_record(message, attempt_number, self.unix_us()))
        if not self._append(record):
            return False
        self._spent(message.id, len(record))
        return True

    def never_ran(self, message: Message, attempt_number: int) -> None:
        """Record the proof that an attempt never ran."""
        record = frame(step_record(NEVER_RAN, message.id, attempt_number))
        self._record(record)
        self._spent(message.id, len(record))

    def end(self, message: Message, end: End) -> None:
        """Record the end of a message."""
        now = self.unix_us()
        keep_us = self.keep_us_of.get(message.front, self.keep_us)
        keep, again = max(message.deadline_us, now) + keep_us, now + end.retry_us
        self.owed.pop(message.id, None)
        ended = self.ends[message.id] = Ended(end, message.front, keep, again)
        self._lapse_at(message.id, ended)
        self._ended += 1
        if self._ended % TIDY_EACH == 0:
            self._tidy()
        record = frame(ended.record(message.id))
        self._record(record)
        told = STEP + len(message.id)
        self._book(message.id, len(record) + told, ended.untold * told)

    def told(self, message_id: str) -> None:
        """Record that the platform has confirmed a notice."""
        if (ended := self.ends.get(message_id)) is not None and not ended.told:
            ended.told = True
            self._lapse_at(message_id, ended)
            self._record(frame(step_record(TOLD, message_id, 0)))
            self._book(message_id, self._books.get(message_id, (0, 0))[0], 0)

    def ended(self, message_id: str) -> End | None:
        """The end of a message, while it is its answer."""
        ended, now = self.ends.get(message_id), self.unix_us()
        if ended is None or now >= ended.keep_until_us:
            return None
        lapsed = ended.end.ending is Ending.REFUSED and now >= ended.again_us
        return None if lapsed else ended.end

    def _lapse_at(self, message_id: str, ended: Ended) -> None:
        """An end is kept until its time; one whose notice is not confirmed longer, for a restart."""
        lapses = ended.keep_until_us + ended.untold * self.keep_us
        self._spans.setdefault(lapses // TIDY_US, []).append(message_id)

    def _tidy(self) -> None:
        """Forget ends whose time is over; only those are looked at."""
        now = self.unix_us()
        for span in sorted(s for s in self._spans if (s + 1) * TIDY_US <= now):
            for message_id in self._spans.pop(span):
                if (ended := self.ends.get(message_id)) is None:
                    continue  # handed in anew under its old id
                if now >= ended.keep_until_us + ended.untold * self.keep_us:
                    del self.ends[message_id]
                    self._book(message_id, 0, 0)
                else:
                    self._lapse_at(message_id, ended)

    # Room and compaction.

    @property
    def _opened(self) -> JournalFile:
        if self.file is None:
            raise OSError(errno.EBADF, "the journal is closed")
        return self.file

    def _book(self, message_id: str, kept: int, left: int) -> None:
        """Keep account of what a message takes in a compaction, and of what may still have to be written."""
        old_kept, old_left = self._books.get(message_id, (0, 0))
        self.live += kept - old_kept
        self.promised += left - old_left
        if kept:
            self._books[message_id] = kept, left
        else:
            self._books.pop(message_id, None)

    def _spent(self, message_id: str, size: int) -> None:
        """A step of an owed message is written, in the room promised to it."""
        if message_id in self.owed:
            kept, left = self._books[message_id]
            spent = min(left, size)
            self._books[message_id] = kept + size, left - spent
            self.live += size
            self.promised -= spent
            if spent < size:
                self._reserve(0)

    def _room_of(self, message: Message) -> int:
        """Bytes that may still have to be written for an owed message."""
        step = STEP + len(message.id)
        end = END + len(message.id) + len(message.front.encode()) + step
        begun = step + STEP_TIME * bool(message.key)
        attempts = max(0, self.attempts - message.attempts_made) * (begun + step)
        return end + attempts + len(message.unsettled) * step

    def _room(self, more: int, kept: int, left: int) -> bool:
        """Whether the file may grow so far and a compaction's file still fits beside it."""
        if self._fits(self.size + more, kept, left):
            return True
        self._tidy()
        # No compaction where it would not help: each refusal would cost one.
        if not self._fits(self._compacted() + more, kept, left) or not self._compact():
            return False
        return self._fits(self.size + more, kept, left)

    def _fits(self, grown: int, kept: int, left: int) -> bool:
        return grown + len(MAGIC) + self.live + kept + 2 * (self.promised + left) + MARGIN <= self.budget

    def _compacted(self) -> int:
        """What a compaction writes at most."""
        return len(MAGIC) + self.live

    def _ahead(self, need: int) -> int:
        """Up to where room is asked for where so much is needed: a piece more while that is in the half."""
        return max(need, min(-(-need // PIECE) * PIECE, self.budget // 2 - MARGIN))

    def _reserve(self, more: int) -> bool:
        """Have the disk give room for what is promised and so much more."""
        need = self.size + self.promised + more
        if self.file is not None and need <= self.file.room:
            return True
        try:
            try:
                self._opened.reserve(self._ahead(need))
            except OSError:
                self._opened.reserve(need)
        except OSError as error:
            self._fails(error, more)
            return False
        return True

    def _fails(self, error: OSError, wanted: int = 0) -> None:
        """The disk has no room: say so once, until it has so much."""
        self._wanted = max(self._wanted, wanted)
        if not self.trouble:
            self.trouble, self._trouble_us = error.strerror or str(error), self.unix_us()
            log.error("journal: the disk refuses writes, nothing new is taken: %s", self.trouble)

    def _record(self, record: bytes) -> None:
        """Write what has happened, or keep it until it can be written."""
        if not self._append(record):
            self._unwritten.append(record)

    def _append(self, record: bytes) -> bool:
        """Write a record behind all that wait; False if it is not written."""
        if self._unwritten and not self._flush():
            return False
        if self.size > COMPACT_LEAST + 3 * (len(MAGIC) + self.live):
            # Before the record, never behind it: what it says is known here only once it is written, and a
            # compaction in between would drop a message just taken, or an attempt just begun.
            self._compact()
        try:
            (self.file or self._opened).write(record)
        except OSError as error:
            self._stuck = True
            self._fails(error)
            return False
        return True

    def _flush(self) -> bool:
        """Write what waits, in order; a compaction, which says all of it, where that alone has room."""
        try:
            while self._unwritten:
                self._opened.write(self._unwritten[0])
                self._unwritten.popleft()
        except OSError as error:
            self._stuck = True
            self._fails(error)
            return self.size > 2 * self._compacted() and self._compact()
        self._stuck = False
        return True

    def _compact(self) -> bool:
        """Write what is still of use into a new file, which then takes the old one's place."""
        if 0 < self._compact_us - self.unix_us() <= AGAIN_US:
            return False
        self._tidy()
        old, parts = self._opened, [MAGIC]
        for message in self.owed.values():
            written = self._parts(message)
            parts += written
            kept = sum(map(len, written)) + 2 * (STEP + len(message.id))
            self._book(message.id, kept, self._books.get(message.id, (0, 0))[1])
        for message_id, ended in self.ends.items():
            parts += ended.parts(message_id)
        data = b"".join(parts)
        try:
            if blocks(old.room) + blocks(self._ahead(len(data) + self.promised)) > self.budget:
                old.trim(old.size + self.promised)
            need = len(data) + self.promised
            spare = self.budget - blocks(max(old.room, old.size))
            if blocks(need) > spare:
                raise OSError(errno.EDQUOT, "the budget has no room for a second file")
            fd = os.open(self.fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            new = JournalFile(fd, 0)
            try:
                new.reserve(min(self._ahead(need), spare))
                new.write(data)
                os.rename(self.fresh, self.path)
            except OSError:
                os.close(fd)
                self.fresh.unlink(missing_ok=True)
                raise
        except OSError as error:
            if not self._compact_us:
                log.error("journal: not compacted: %s", error.strerror or error)
            self._compact_us = self.unix_us() + AGAIN_US
            return False
        os.close(old.fd)
        log.info("journal: compacted from %d to %d bytes", old.size, len(data))
        self.file, self._compact_us = new, 0
        self._unwritten.clear()  # what they say stands in the new file
        self._stuck = False
        return True

    # Replay.

    def replay(self, data: bytes) -> int:
        """Take in all whole records, and return from where on the file is torn. Raises JournalError."""
        end = self._replay(data)
        return end if data[end:].strip(b"\0") else len(data)

    def _replay(self, data: bytes) -> int:
        """Take in all whole records, and return the offset behind the last."""
        if not data.startswith(MAGIC[: len(data)]):
            raise JournalError(f"{self.path.name}: not a journal of rowanrack")
        end = min(len(data), len(MAGIC)) if data.startswith(MAGIC) else 0
        for offset, payload in records(data):
            try:
                self._read(payload)
            except (ValueError, KeyError, struct.error) as error:
                raise JournalError(f"journal: unreadable record before offset {offset}: {error}") from None
            end = offset
        self._spans.clear()
        for message_id, message in self.owed.items():
            kept = sum(map(len, self._parts(message))) + 2 * (STEP + len(message_id))
            self._book(message_id, kept, self._room_of(message))
        for message_id, ended in self.ends.items():
            self._lapse_at(message_id, ended)
            step = STEP + len(message_id)
            self._book(message_id, len(frame(ended.record(message_id))) + step, ended.untold * step)
        self._tidy()
        return end

    def _read(self, payload: bytes) -> None:
        kind, (raw, *_), rest = payload[:1], *unpack_text(payload[1:], 1)
        message_id = raw.decode()
        if kind in (TAKEN, KEYED):
            texts, fixed = unpack_text(payload[1:], 7 if kind == KEYED else 6)
            _, cls, tenant, front, form, body, key = texts if kind == KEYED else (*texts, b"")
            deadline_us, dest = struct.unpack("<qq", fixed)
            self.ends.pop(message_id, None)  # it came again
            self.owed[message_id] = Message(
                message_id,
                cls.decode(),
                tenant.decode(),
                dest,
                deadline_us,
                body,
                front.decode(),
                form.decode(),
                key.decode(),
            )
        elif kind == ENDED:
            self.owed.pop(message_id, None)
            (_, front), fixed = unpack_text(payload[1:], 2)
            retry_us, keep_us, again_us = struct.unpack("<qqq", fixed[1:])
            end = End(ENDING_OF[fixed[:1]], retry_us)
            self.ends[message_id] = Ended(end, front.decode(), keep_us, again_us)
        elif kind == TOLD:
            if message_id in self.ends:
                self.ends[message_id].told = True
        elif kind in (BEGUN, NEVER_RAN):
            leg, *at = struct.unpack("<Iq" if len(rest) == TIMED else "<I", rest)
            if (message := self.owed.get(message_id)) is not None:
                message.attempts_made = max(message.attempts_made, leg + 1)
                if kind == BEGUN:
                    message.unsettled[leg] = at[0] if at else 0
                else:
                    message.unsettled.pop(leg, None)
        else:
            raise ValueError(f"unknown type {kind!r}")

    def untold(self, front: str) -> list[tuple[str, End]]:
        """Refusals and failures of a front's messages whose notice has not been confirmed."""
        return [(i, e.end) for i, e in self.ends.items() if e.untold and e.front == front]
