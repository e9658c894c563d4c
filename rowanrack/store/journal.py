"""The durable journal: append-only, checksummed records of every message taken and of what became of it.

A record is its payload's length and CRC-32, then the payload: a type byte, the message's id, and what the
type adds. Writes go straight to the kernel, which outlasts the process; nothing is synced.
"""

from __future__ import annotations

import fcntl
import logging
import os
import struct
import time
import zlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from rowanrack.core.messages import End, Ending, Message

log = logging.getLogger(__name__)

MAGIC = b"rowanrack journal 1\n"
SLOTS = ("messages", "messages.b")  # one file for each of the two processes of a hot restart
OPEN_TRIES, OPEN_PAUSE_S = 20, 0.01  # a slot held for a look is free again within microseconds
FRAME = struct.Struct("<II")
TIMED = 12  # bytes of an execution's number with its time
LONGEST = 1 << 20  # bytes of a payload; a longer length is damage
BLOCK = 512  # bytes in which a file's size counts on the disk
ROOM_LEAST = 128  # bytes kept free for each owed message: its end,
ROOM_EACH = 80  # and for each execution that it may have, with the proof that it never ran
MARGIN = 8 * BLOCK
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
    """The record of an execution begun, or proved never to have run."""
    return kind + pack_text(message_id.encode()) + struct.pack("<I", leg)


def begun_record(message: Message, leg: int, at_us: int) -> bytes:
    """The record of an execution begun; where a key's time counts, with when that was."""
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


@dataclass(slots=True)
class Journal:
    """The journal in one folder, never larger than its budget, a compaction's second file counted."""

    folder: Path
    budget: int
    unix_us: Callable[[], int]
    keep_us: int = 30_000_000  # for how long an end is kept past its message's time
    keep_us_of: Mapping[str, int] = field(default_factory=dict)  # the same for a front that needs another
    attempts: int = 6  # executions that a message may have
    owed: dict[str, Message] = field(default_factory=dict)
    ends: dict[str, Ended] = field(default_factory=dict)
    size: int = 0
    live: int = 0  # bytes that a compaction would write for owed messages
    fd: int = -1
    _ended: int = 0
    _sizes: dict[str, int] = field(default_factory=dict)  # bytes of each owed message's record
    _spans: dict[int, list[str]] = field(default_factory=dict)  # ids by the span in which their end lapses
    slot: str = SLOTS[0]
    lock_fd: int = -1
    absorbed: list[str] = field(default_factory=list)  # ends taken over from the other slot

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
        fd = self._lock(self.other)
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
            if data and not data.startswith(MAGIC[: len(data)]):
                raise JournalError(f"{self.path.name}: not a journal of rowanrack")
            end = self.replay(data)
            if end < len(data):
                log.warning("journal: torn tail of %d bytes dropped", len(data) - end)
            self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
            os.ftruncate(self.fd, end)
            os.lseek(self.fd, end, os.SEEK_SET)
            self.size = end
            if end < len(MAGIC):
                os.ftruncate(self.fd, 0)
                os.lseek(self.fd, 0, os.SEEK_SET)
                os.write(self.fd, MAGIC)
                self.size = len(MAGIC)
        except OSError as error:
            raise JournalError(f"journal: {error.strerror or error}") from None

    def close(self) -> None:
        """Let go of the file, and then of the slot."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    def absorb(self) -> list[Message] | None:
        """Take over what the other slot's process left, once it has let go; None while it holds its slot.

        What it still owed is owed here from now on, and its ends are kept here; its file goes.
        """
        if (fd := self._lock(self.other)) is None:
            return None
        taken: list[Message] = []
        try:
            path = self.folder / f"{self.other}.log"
            data = path.read_bytes() if path.exists() else b""
            found = Journal(self.folder, self.budget, self.unix_us, self.keep_us, self.keep_us_of)
            found.replay(data if data.startswith(MAGIC) else b"")
            for message_id, message in found.owed.items():
                if message_id not in self.owed and message_id not in self.ends:
                    taken.append(message)
                    self.owed[message_id] = message
                    self._sizes[message_id] = size = len(frame(taken_record(message)))
                    self.live += size
                    for part in self._parts(message):
                        self._append(part)
            for message_id, ended in found.ends.items():
                if message_id not in self.ends and message_id not in self.owed:
                    self.ends[message_id] = ended
                    self.absorbed.append(message_id)
                    self._lapse_at(message_id, ended)
                    self._append(frame(ended.record(message_id)))
            path.unlink(missing_ok=True)
            (self.folder / f"{self.other}.new").unlink(missing_ok=True)
        except OSError as error:
            log.error("journal: the other process's file is not taken over: %s", error.strerror or error)
        finally:
            os.close(fd)
        if taken:
            log.info("journal: %d messages taken over from the process before", len(taken))
        return taken

    @staticmethod
    def _parts(message: Message) -> list[bytes]:
        """The records that say all that is known of an owed message."""
        parts = [frame(taken_record(message))]
        if message.legs:
            parts.append(frame(step_record(BEGUN, message.id, message.legs - 1)))
            if message.legs - 1 not in message.unsettled:
                parts.append(frame(step_record(NEVER_RAN, message.id, message.legs - 1)))
        parts += [frame(begun_record(message, leg, at)) for leg, at in sorted(message.unsettled.items())]
        return parts

    # What the exchange records.

    def take(self, message: Message) -> bool:
        """Record a taken message, if there is room for it, its executions and its end."""
        record = frame(taken_record(message))
        if not self._room(len(record)):
            return False
        if not self._append(record):
            return False
        self.owed[message.id] = message
        self.ends.pop(message.id, None)
        self._sizes[message.id] = len(record)
        self.live += len(record)
        return True

    def begin(self, message: Message, leg: int) -> bool:
        """Record an execution before its first byte; False if it was not written."""
        return self._append(frame(begun_record(message, leg, self.unix_us())))

    def never_ran(self, message: Message, leg: int) -> None:
        """Record the proof that an execution never ran."""
        self._append(frame(step_record(NEVER_RAN, message.id, leg)))

    def end(self, message: Message, end: End) -> None:
        """Record the end of a message."""
        now = self.unix_us()
        keep_us = self.keep_us_of.get(message.front, self.keep_us)
        keep, again = max(message.deadline_us, now) + keep_us, now + end.retry_us
        if self.owed.pop(message.id, None) is not None:
            self.live -= self._sizes.pop(message.id)
        ended = self.ends[message.id] = Ended(end, message.front, keep, again)
        self._lapse_at(message.id, ended)
        self._ended += 1
        if self._ended % TIDY_EACH == 0:
            self._tidy()
        self._append(frame(ended.record(message.id)))

    def told(self, message_id: str) -> None:
        """Record that the platform has confirmed a notice."""
        if (ended := self.ends.get(message_id)) is not None and not ended.told:
            ended.told = True
            self._lapse_at(message_id, ended)
            self._append(frame(step_record(TOLD, message_id, 0)))

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
                else:
                    self._lapse_at(message_id, ended)

    # Room and compaction.

    def _room(self, more: int) -> bool:
        """Whether the file may grow so far and a compaction's file still fits beside it."""
        if self._fits(more):
            return True
        return self._compact() and self._fits(more)

    def _fits(self, more: int) -> bool:
        reserve = (len(self.owed) + 1) * (ROOM_LEAST + self.attempts * ROOM_EACH)
        grown = self.size + more + reserve
        return grown + self._compacted() + more + reserve + MARGIN <= self.budget

    def _compacted(self) -> int:
        """About what a compaction would write."""
        return len(MAGIC) + self.live + 64 * len(self.owed) + 80 * len(self.ends)

    def _append(self, record: bytes) -> bool:
        if self.size > COMPACT_LEAST + 3 * self._compacted():
            # Before the record, never behind it: what it says is known here only once it is written, and a
            # compaction in between would drop a message just taken, or an execution just begun.
            self._compact()
        try:
            written = os.write(self.fd, record)
            if written < len(record):
                os.ftruncate(self.fd, self.size)
                os.lseek(self.fd, self.size, os.SEEK_SET)
                raise OSError("short write")
        except OSError as error:
            log.error("journal: a record was not written: %s", error.strerror or error)
            return False
        self.size += len(record)
        return True

    def _compact(self) -> bool:
        """Write what is still of use into a new file, which then takes the old one's place."""
        self._tidy()
        parts = [MAGIC]
        for message in self.owed.values():
            parts += self._parts(message)
        for message_id, ended in self.ends.items():
            parts.append(frame(ended.record(message_id)))
            if ended.told:
                parts.append(frame(step_record(TOLD, message_id, 0)))
        data = b"".join(parts)
        if self._blocks(self.size) + self._blocks(len(data)) > self.budget:
            return False
        try:
            fd = os.open(self.fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                if os.write(fd, data) < len(data):
                    raise OSError("short write")
                os.rename(self.fresh, self.path)
            except OSError:
                os.close(fd)
                self.fresh.unlink(missing_ok=True)
                raise
        except OSError as error:
            log.error("journal: not compacted: %s", error.strerror or error)
            return False
        os.close(self.fd)
        log.info("journal: compacted from %d to %d bytes", self.size, len(data))
        self.fd, self.size = fd, len(data)
        return True

    @staticmethod
    def _blocks(size: int) -> int:
        return -(-size // BLOCK) * BLOCK

    # Replay.

    def replay(self, data: bytes) -> int:
        """Take in all whole records, and return the offset behind the last."""
        end = min(len(data), len(MAGIC)) if data.startswith(MAGIC) else 0
        for offset, payload in records(data):
            try:
                self._read(payload)
            except (ValueError, KeyError, struct.error) as error:
                raise JournalError(f"journal: unreadable record before offset {offset}: {error}") from None
            end = offset
        self._spans.clear()
        for message_id, ended in self.ends.items():
            self._lapse_at(message_id, ended)
        self._tidy()
        self._sizes = {i: len(frame(taken_record(m))) for i, m in self.owed.items()}
        self.live = sum(self._sizes.values())
        return end

    def _read(self, payload: bytes) -> None:
        kind, (raw, *_), rest = payload[:1], *unpack_text(payload[1:], 1)
        message_id = raw.decode()
        if kind in (TAKEN, KEYED):
            texts, fixed = unpack_text(payload[1:], 7 if kind == KEYED else 6)
            _, cls, tenant, front, form, body, key = texts if kind == KEYED else (*texts, b"")
            deadline_us, dest = struct.unpack("<qq", fixed)
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
                message.legs = max(message.legs, leg + 1)
                if kind == BEGUN:
                    message.unsettled[leg] = at[0] if at else 0
                else:
                    message.unsettled.pop(leg, None)
        else:
            raise ValueError(f"unknown type {kind!r}")

    def untold(self, front: str) -> list[tuple[str, End]]:
        """Refusals and failures of a front's messages whose notice has not been confirmed."""
        return [(i, e.end) for i, e in self.ends.items() if e.untold and e.front == front]
