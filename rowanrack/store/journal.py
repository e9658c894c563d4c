"""The durable journal: append-only, checksummed records of accepted messages, their attempts and their ends.

Its records are described in `journal_records`. Writes go to the kernel, so they survive the end of the
process; there is no fsync.

A message is accepted only once disk space is reserved for every record that it may still need: its attempts,
its end, and the confirmation of its notice. The reserved space follows the records (see `journal_file`),
counts towards the budget, and grows in units of `RESERVATION_BYTES`. When other data fills the disk, no new
messages are accepted, and messages that are already owed are completed in their reserved space.

If writes into the reserved space fail as well, no attempt begins. Records of events that have already
happened (an attempt that never ran, an end, a confirmed notice) cannot be refused. They are queued in memory
and written, in order, before any other record; clients still get their answers in time. A message that has
ended is owed again only if the process is killed before the queued records are written.
"""

from __future__ import annotations

import contextlib
import errno
import logging
import os
import struct
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path

from rowanrack.core.identity import content_digest
from rowanrack.core.messages import End, Message
from rowanrack.store.claim_lock import ClaimLock
from rowanrack.store.disk_budget import DiskBudget, slot_bytes
from rowanrack.store.journal_file import BLOCK_BYTES, JournalFile, round_up_to_blocks
from rowanrack.store.journal_records import (
    ATTEMPT_TIME_BYTES,
    BEGUN,
    END_RECORD_BYTES,
    MAGIC,
    NEVER_RAN,
    STATUS_RECORD_BYTES,
    TOLD,
    JournalError,
    RecordedEnd,
    apply_record,
    encode_begun,
    encode_record,
    encode_status,
    encode_taken,
    read_records,
)
from rowanrack.store.other_slot import OtherSlotReader
from rowanrack.store.slots import SLOT_NAMES, lock_free_slot, lock_slot, other_slot_of

log = logging.getLogger(__name__)

RESERVATION_BYTES = 16 * 1024  # unit in which disk space is reserved
BUDGET_MARGIN_BYTES = 8 * BLOCK_BYTES
RETRY_DELAY_US = 1_000_000  # wait after a failed compaction or take-over
EXPIRY_CHECK_END_COUNT = 256  # expired ends are removed after this number of new ends
EXPIRY_SPAN_US = 1_000_000  # ends that expire within one span are removed together
MIN_COMPACTION_BYTES = 64 * 1024  # a journal is compacted above this size plus three times its live records


@lru_cache(maxsize=256)
def shared_pair(compacted: int, pending: int) -> tuple[int, int]:
    """Return one tuple for equal numbers: thousands of messages have the same."""
    return compacted, pending


@dataclass(slots=True)
class Journal:
    """The journal in one folder.

    It takes at most `budget` bytes, with the second file of a compaction. While another process uses the
    other slot, each of the two takes at most half of that.
    """

    folder: Path
    budget: int
    unix_us: Callable[[], int]
    keep_us: int = 30_000_000  # how long an end is kept after its message's deadline
    retention_us_by_front: Mapping[str, int] = field(default_factory=dict)  # overrides of `keep_us` by front
    attempts: int = 6  # most attempts of one message
    max_known: int = 1 << 62  # messages and ends that are kept in memory before no more is accepted
    owed: dict[str, Message] = field(default_factory=dict)
    ends: dict[str, RecordedEnd] = field(default_factory=dict)
    file: JournalFile | None = None
    compacted_bytes: int = 0  # upper bound of the bytes of records that a compaction writes
    pending_bytes: int = 0  # bytes of records that the known messages may still need
    # The shares of a message, by its id, in `compacted_bytes` and `pending_bytes`.
    _byte_counts: dict[str, tuple[int, int]] = field(default_factory=dict)
    _end_count: int = 0
    _expiry_spans: dict[int, list[str]] = field(
        default_factory=dict
    )  # ids by the span in which their end expires
    slot: str = SLOT_NAMES[0]
    lock_fd: int = -1
    ends_taken_over: list[str] = field(default_factory=list)  # ids of the ends taken over from the other slot
    # The other slot's journal, whose messages are owed here and are not recorded in the own file yet.
    inherited: Journal | None = None
    inherited_by: Journal | None = None
    _other_slot_reader: OtherSlotReader | None = None
    _claim_lock: ClaimLock = field(init=False)
    _unwritten: deque[bytes] = field(default_factory=deque)
    _write_failed: bool = False  # the last write failed
    write_error: str = ""  # why no new messages are accepted; empty if they are
    _trouble_since_us: int = 0
    _needed_bytes: int = RESERVATION_BYTES  # free space required before messages are accepted again
    _compaction_retry_us: int = 0  # earliest time of the next compaction after a failed one; 0 if none failed
    _take_over_retry_us: int = 0

    def __post_init__(self) -> None:
        self._claim_lock = ClaimLock(self.folder)

    @property
    def size(self) -> int:
        """Bytes of complete records."""
        return self.file.size if self.file is not None else 0

    @property
    def path(self) -> Path:
        """The path of the journal's file."""
        return self.folder / f"{self.slot}.log"

    @property
    def compaction_path(self) -> Path:
        """The path of the file that a compaction writes before it replaces the journal."""
        return self.folder / f"{self.slot}.new"

    @property
    def other_slot(self) -> str:
        """The slot of the other process at a hot restart."""
        return other_slot_of(self.slot)

    @property
    def other_path(self) -> Path:
        """The path of that process's file, which exists until its content is taken over."""
        return self.folder / f"{self.other_slot}.log"

    def other_process_running(self) -> bool:
        """Return whether another process uses the other slot, as during a hot restart."""
        if self.inherited is not None:
            return False
        try:
            fd = lock_slot(self.folder, self.other_slot)
        except OSError as error:
            # Shutdown then continues as it does without a second process: as long as it is allowed to.
            log.warning(
                "journal: cannot check whether another process uses the other slot: %s",
                error.strerror or error,
            )
            return False
        if fd is None:
            return True
        os.close(fd)
        return False

    def open(self) -> None:
        """Lock a free slot, replay its file, discard a torn tail and prepare to append.

        Each process of a hot restart locks a slot of its own, so that a file has only one writer.
        """
        try:
            self.slot, self.lock_fd = lock_free_slot(self.folder)
            self.compaction_path.unlink(missing_ok=True)
            self._open_slot()
        except (OSError, JournalError) as error:
            self.close()
            if isinstance(error, OSError):
                raise JournalError(f"journal: {error.strerror or error}") from None
            raise
        self._reserve(0)

    def _open_slot(self) -> None:
        """Open the file of the locked slot. Raises OSError or JournalError."""
        data = self.path.read_bytes() if self.path.exists() else b""
        end = self._replay(data)
        if torn := len(data[end:].rstrip(b"\0")):
            log.warning("journal: discarded a torn tail of %d bytes", torn)
        self.file = file = JournalFile(os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600), end)
        os.ftruncate(file.fd, end)
        if end < len(MAGIC):
            file.size = 0
            file.write(MAGIC)

    def close(self) -> None:
        """Write the queued records, close the file and unlock the slot."""
        if self.inherited is not None:
            self.inherited.close()
            self.inherited = None
        if self._other_slot_reader is not None:
            self._other_slot_reader.close()
            self._other_slot_reader = None
        self._claim_lock.close()
        if self.file is not None:
            if self._unwritten and not self._flush():
                log.error("journal: %d records were not written before shutdown", len(self._unwritten))
            self.file.close()
            self.file = None
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
            self.lock_fd = -1

    # The journal of the other slot.

    def take_over(self) -> list[Message] | None:
        """Take over the other slot's journal once its process has ended.

        Returns the messages that are owed here from now on, or None if the caller has to try again later.
        They are owed at once, in the other slot's file; `inherited` is this file as long as its content is
        not recorded in the own one. Each further call tries to record it.
        """
        if self.inherited is not None:
            if self._merge_inherited():
                log.info("journal: the previous process's file has been merged into this one")
            return []
        if 0 < self._take_over_retry_us - self.unix_us() <= RETRY_DELAY_US:
            return None
        try:
            if (lock_fd := lock_slot(self.folder, self.other_slot)) is None:
                return None
            self.inherited = self._open_other_slot(lock_fd)
        except (OSError, JournalError) as error:
            self._defer_take_over(error)
            return None
        self._take_over_retry_us = 0
        if self.inherited is None:
            return []
        taken_over = list(self.inherited.owed.values())
        self.ends_taken_over += self.inherited.ends
        if taken_over:
            log.info("journal: %d messages taken over from the previous process", len(taken_over))
        if not self._merge_inherited():
            log.warning(
                "journal: the previous process's file is kept until its content fits into this one: %s",
                self.write_error or "no space in the journal",
            )
        return taken_over

    def _defer_take_over(self, error: OSError | JournalError) -> None:
        """Schedule the next try, and log the first failure of a series."""
        if not self._take_over_retry_us:
            why = error.strerror or error if isinstance(error, OSError) else error
            log.error("journal: cannot take over the other process's file, trying again: %s", why)
        self._take_over_retry_us = self.unix_us() + RETRY_DELAY_US

    def _open_other_slot(self, lock_fd: int) -> Journal | None:
        """Open the journal of the other slot, less what is known here; None if there is none.

        Raises OSError or JournalError; the slot is unlocked then.
        """
        other = Journal(
            self.folder, self.budget, self.unix_us, self.keep_us, self.retention_us_by_front, self.attempts
        )
        other.slot, other.lock_fd, other.inherited_by = self.other_slot, lock_fd, self
        try:
            if not other.path.exists() or not other.path.stat().st_size:
                other._discard()
                return None
            with contextlib.suppress(OSError):
                other.compaction_path.unlink(missing_ok=True)
            other._open_slot()
        except (OSError, JournalError):
            other.close()
            raise
        for message_id in [*self.owed, *self.ends]:
            other._forget(message_id)
        with contextlib.suppress(OSError):  # the records of these messages may still find room
            other._open_file.reserve(other.size + other.pending_bytes)
        return other

    def _merge_inherited(self) -> bool:
        """Record the content of the inherited journal here, all or none of it, and remove its file."""
        if (other := self.inherited) is None:
            return True
        records = [r for message in other.owed.values() for r in self._message_records(message)]
        records += [r for message_id, ended in other.ends.items() for r in ended.records(message_id)]
        record = b"".join(records)
        if record and not self._append_inherited(record, other):
            return False
        for message_id, message in other.owed.items():
            self.owed[message_id] = message
            self._set_byte_counts(message_id, *other._byte_counts[message_id])
        for message_id, ended in other.ends.items():
            self.ends[message_id] = ended
            self._schedule_expiry(message_id, ended)
            self._set_byte_counts(message_id, *other._byte_counts[message_id])
        for message_id in [*other.owed, *other.ends]:
            other._forget(message_id)
        try:
            other._discard()
        except OSError:
            return False  # everything in it is known here, and it is removed later
        self.inherited = None
        return True

    def _append_inherited(self, record: bytes, other: Journal) -> bool:
        """Append the records of the inherited journal; return False if there is no room for them."""
        if not self.can_record() or other._unwritten:
            return False
        if not self._has_room_to_merge(self.size + len(record), other):
            compacted_bytes = self._max_compacted_bytes()
            compaction_bytes = round_up_to_blocks(compacted_bytes + self.pending_bytes)
            if (
                self.occupied_bytes + compaction_bytes > self._compaction_limit_bytes
                or not self._has_room_to_merge(compacted_bytes + len(record), other)
                or not self._compact()
            ):
                return False
        return self._reserve(len(record) + other.pending_bytes) and self._append(record)

    def _has_room_to_merge(self, size: int, other: Journal) -> bool:
        """Return whether the file may grow to `size` by the inherited records, and be compacted later."""
        pending = self.pending_bytes + other.pending_bytes
        fits_beside = size + pending + BUDGET_MARGIN_BYTES <= self._limit_bytes
        limit_bytes = self._limit_bytes + other.occupied_bytes
        fits_later = self._fits(size, other.compacted_bytes, other.pending_bytes, limit_bytes)
        return fits_beside and fits_later

    def _forget(self, message_id: str) -> None:
        """Drop a message or an end, which another journal holds."""
        self.owed.pop(message_id, None)
        self.ends.pop(message_id, None)
        self._set_byte_counts(message_id, 0, 0)

    def _discard(self) -> None:
        """Remove the files of this slot and unlock it. Raises OSError if its records cannot be removed."""
        if self.path.exists():
            os.truncate(self.path, 0)  # even if it cannot be removed, no message is owed twice
        with contextlib.suppress(OSError):
            self.path.unlink(missing_ok=True)
            self.compaction_path.unlink(missing_ok=True)
        if self.file is not None:
            os.close(self.file.fd)
            self.file = None
        self.close()

    def _holder_of(self, message_id: str) -> Journal:
        """Return the journal that holds a message or its end: the inherited one, or this one."""
        other = self.inherited
        return other if other is not None and (message_id in other.owed or message_id in other.ends) else self

    @property
    def occupied_bytes(self) -> int:
        """Bytes of the budget that the file occupies, with its reserved space."""
        return 0 if self.file is None else round_up_to_blocks(max(self.file.reserved_end, self.file.size))

    @property
    def _other_process_bytes(self) -> int:
        return slot_bytes(self.folder, self.other_slot)

    @property
    def _limit_bytes(self) -> int:
        """The part of the budget that this journal's files may occupy."""
        if (beside := self.inherited or self.inherited_by) is not None:
            return self.budget - beside.occupied_bytes
        return DiskBudget(self.budget).limit_bytes(self._other_process_bytes)

    @property
    def _compaction_limit_bytes(self) -> int:
        """The part of the budget that this journal's files may occupy during a compaction."""
        if self.inherited is not None or self.inherited_by is not None:
            return self._limit_bytes
        return DiskBudget(self.budget).compaction_limit_bytes(self.occupied_bytes, self._other_process_bytes)

    def make_room_for_other_process(self) -> None:
        """Compact a file that is too large for two processes, if another one has started."""
        too_large = DiskBudget(self.budget).exceeds_share(self.occupied_bytes)
        if too_large and self.inherited is None and self._other_process_bytes:
            self._compact()

    @staticmethod
    def _message_records(message: Message) -> list[bytes]:
        """Return the records that describe an owed message completely."""
        records = [encode_record(encode_taken(message))]
        if message.attempts_made and message.attempts_made - 1 not in message.unsettled:
            records += [
                encode_record(encode_status(kind, message.id, message.attempts_made - 1))
                for kind in (BEGUN, NEVER_RAN)
            ]
        records += [
            encode_record(encode_begun(message, attempt_number, begun_at_us))
            for attempt_number, begun_at_us in sorted(message.unsettled.items())
        ]
        return records

    # The exchange's `Store`.

    def can_record(self) -> bool:
        """Return whether new messages are accepted. After a write error, each call checks for disk space."""
        if not self.write_error:
            return True
        budget_nearly_used = (
            2 * (self.size + self.pending_bytes + self._needed_bytes) + BUDGET_MARGIN_BYTES
            > self._limit_bytes
        )
        if self.has_unwritten_records() or not self._reserve(0 if budget_nearly_used else self._needed_bytes):
            return False
        lasted_s = (self.unix_us() - self._trouble_since_us) / 1_000_000
        log.warning("journal: the disk has room again after %.1f s, accepting messages", lasted_s)
        self.write_error, self._needed_bytes = "", RESERVATION_BYTES
        return True

    def has_unwritten_records(self) -> bool:
        """Return whether records still cannot be written, so that no attempt may begin.

        Tries to write them.
        """
        if self.inherited is not None and self.inherited.has_unwritten_records():
            return True
        if not self._write_failed:
            return False
        if self._unwritten:
            return not self._flush()
        try:
            self._open_file.probe()
        except OSError:
            return True
        self._write_failed = False
        return False

    def take(self, message: Message) -> bool:
        """Record an accepted message; return False if there is no space for it, its attempts and its end."""
        if self.write_error and not self.can_record():
            return False
        if self._holder_of(message.id) is not self:
            return False  # the next process might read the end in the inherited file as the newer record
        if self.inherited is not None or not self.other_path.exists():
            return self._record_taken(message)
        with self._claim_lock.held() as is_held:
            is_known = not is_held or self.find_in_other_process(message.id) is not None
            return not is_known and self._record_taken(message)

    def _record_taken(self, message: Message) -> bool:
        record = encode_record(encode_taken(message))
        pending = self._pending_bytes_of(message)
        compacted = len(record) + 2 * (STATUS_RECORD_BYTES + len(message.id))
        if not self._has_room_to_take(len(record), compacted, pending):
            return False
        if not self._reserve(len(record) + pending):
            return False
        if not self._append(record):
            return False
        self.owed[message.id] = message
        self.ends.pop(message.id, None)
        self._set_byte_counts(message.id, compacted, pending)
        return True

    def _has_room_to_take(self, record_bytes: int, compacted: int, pending: int) -> bool:
        """Return whether a new message fits, and the inherited journal still does."""
        if len(self._byte_counts) >= self.max_known:
            self._forget_expired_ends()
            if len(self._byte_counts) >= self.max_known:
                return False
        if (other := self.inherited) is not None:
            record_bytes += other.compacted_bytes
            compacted += other.compacted_bytes
            pending += other.pending_bytes
        return self._make_room(record_bytes, compacted, pending)

    def begin(self, message: Message, attempt_number: int) -> bool:
        """Record an attempt before its first byte is sent; return False if the record was not written."""
        if (holder := self._holder_of(message.id)) is not self:
            return holder.begin(message, attempt_number)
        record = encode_record(encode_begun(message, attempt_number, self.unix_us()))
        if not self._append(record):
            return False
        self._count_written(message.id, len(record))
        return True

    def never_ran(self, message: Message, attempt_number: int) -> None:
        """Record that an attempt is known never to have run."""
        if (holder := self._holder_of(message.id)) is not self:
            holder.never_ran(message, attempt_number)
            return
        record = encode_record(encode_status(NEVER_RAN, message.id, attempt_number))
        self._write_or_queue(record)
        self._count_written(message.id, len(record))

    def end(self, message: Message, end: End) -> None:
        """Record the final end of a message."""
        if (holder := self._holder_of(message.id)) is not self:
            holder.end(message, end)
            return
        now = self.unix_us()
        keep_us = self.retention_us_by_front.get(message.front, self.keep_us)
        keep_until_us, resubmit_at_us = max(message.deadline_us, now) + keep_us, now + end.retry_us
        self.owed.pop(message.id, None)
        digest = content_digest(message)
        ended = self.ends[message.id] = RecordedEnd(
            end, message.front, keep_until_us, resubmit_at_us, content_digest=digest
        )
        self._schedule_expiry(message.id, ended)
        self._end_count += 1
        if self._end_count % EXPIRY_CHECK_END_COUNT == 0:
            self._forget_expired_ends()
        record = encode_record(ended.encode(message.id))
        self._write_or_queue(record)
        told_bytes = STATUS_RECORD_BYTES + len(message.id)
        compacted = ended.max_compacted_bytes(message.id)
        self._set_byte_counts(message.id, compacted, ended.notice_pending * told_bytes)

    def confirm_notice(self, message_id: str) -> None:
        """Record that the platform has confirmed the notice of a message's end."""
        if (holder := self._holder_of(message_id)) is not self:
            holder.confirm_notice(message_id)
            return
        if (ended := self.ends.get(message_id)) is not None and not ended.told:
            ended.told = True
            self._schedule_expiry(message_id, ended)
            self._write_or_queue(encode_record(encode_status(TOLD, message_id, 0)))
            self._set_byte_counts(message_id, self._byte_counts.get(message_id, (0, 0))[0], 0)

    def ended(self, message_id: str) -> End | None:
        """Return the end of a message; None if it is unknown or expired, or a refusal may be retried."""
        ended = self.recorded_end(message_id)
        return None if ended is None else ended.answer_to_repeat(self.unix_us())

    def find_in_other_process(self, message_id: str) -> Message | End | None:
        """Return a message of the other slot's process, or of its file, or the end of that message."""
        if self.inherited is not None:
            return None  # all of it is known here
        if self._other_slot_reader is None:
            self._other_slot_reader = OtherSlotReader(self.other_path)
        return self._other_slot_reader.find(message_id, self.unix_us())

    def content_digest_of_ended(self, message_id: str) -> bytes:
        """Return the content digest of a message that has ended, or b"" if it is not known."""
        ended = self.recorded_end(message_id)
        if ended is not None:
            return ended.content_digest
        return self._other_slot_reader.content_digest_of_ended(message_id) if self._other_slot_reader else b""

    def recorded_end(self, message_id: str) -> RecordedEnd | None:
        """Return the record of a message's end, expired or not."""
        return self._holder_of(message_id).ends.get(message_id)

    def _schedule_expiry(self, message_id: str, ended: RecordedEnd) -> None:
        """Schedule the removal of an end.

        An end whose notice is not confirmed is kept longer, so that a restart can send the notice again.
        """
        expires_at_us = ended.keep_until_us + ended.notice_pending * self.keep_us
        self._expiry_spans.setdefault(expires_at_us // EXPIRY_SPAN_US, []).append(message_id)

    def _forget_expired_ends(self) -> None:
        """Remove expired ends, visiting only the spans that are over."""
        now = self.unix_us()
        for span in sorted(s for s in self._expiry_spans if (s + 1) * EXPIRY_SPAN_US <= now):
            for message_id in self._expiry_spans.pop(span):
                if (ended := self.ends.get(message_id)) is None:
                    continue  # the id was submitted again
                if now >= ended.keep_until_us + ended.notice_pending * self.keep_us:
                    del self.ends[message_id]
                    self._set_byte_counts(message_id, 0, 0)
                else:
                    self._schedule_expiry(message_id, ended)

    # Disk space and compaction.

    @property
    def _open_file(self) -> JournalFile:
        if self.file is None:
            raise OSError(errno.EBADF, "the journal is closed")
        return self.file

    def _set_byte_counts(self, message_id: str, compacted: int, pending: int) -> None:
        """Set a message's share of `compacted_bytes` and `pending_bytes`."""
        old_compacted, old_pending = self._byte_counts.get(message_id, (0, 0))
        self.compacted_bytes += compacted - old_compacted
        self.pending_bytes += pending - old_pending
        if compacted:
            self._byte_counts[message_id] = shared_pair(compacted, pending)
        else:
            self._byte_counts.pop(message_id, None)

    def _count_written(self, message_id: str, size: int) -> None:
        """Account for a written record of an owed message, which used up some of its reserved space."""
        if message_id in self.owed:
            compacted, pending = self._byte_counts[message_id]
            used_bytes = min(pending, size)
            self._byte_counts[message_id] = compacted + size, pending - used_bytes
            self.compacted_bytes += size
            self.pending_bytes -= used_bytes
            if used_bytes < size:
                self._reserve(0)

    def _pending_bytes_of(self, message: Message) -> int:
        """Return the most bytes that the further records of an owed message may take."""
        status_bytes = STATUS_RECORD_BYTES + len(message.id)
        end = END_RECORD_BYTES + len(message.id) + len(message.front.encode()) + status_bytes
        begun = status_bytes + ATTEMPT_TIME_BYTES * bool(message.key)
        attempts = max(0, self.attempts - message.attempts_made) * (begun + status_bytes)
        return end + attempts + len(message.unsettled) * status_bytes

    def _make_room(self, extra_bytes: int, compacted: int, pending: int) -> bool:
        """Return whether the file may grow within the budget, after a compaction if one is needed.

        The budget always has to leave space for the second file of a compaction.
        """
        self.make_room_for_other_process()
        if self._fits(self.size + extra_bytes, compacted, pending):
            return True
        self._forget_expired_ends()
        # Skips a compaction that could not free enough: otherwise each refused message would cause one.
        if (
            not self._fits(self._max_compacted_bytes() + extra_bytes, compacted, pending)
            or not self._compact()
        ):
            return False
        return self._fits(self.size + extra_bytes, compacted, pending)

    def _fits(self, file_bytes: int, compacted: int, pending: int, limit_bytes: int | None = None) -> bool:
        """Return whether a file of this size and the second file of a compaction fit into the budget."""
        return file_bytes + len(MAGIC) + self.compacted_bytes + compacted + 2 * (
            self.pending_bytes + pending
        ) + BUDGET_MARGIN_BYTES <= (self._limit_bytes if limit_bytes is None else limit_bytes)

    def _max_compacted_bytes(self) -> int:
        """Return an upper bound for the size of a compacted file."""
        return len(MAGIC) + self.compacted_bytes

    def _reservation_end(self, needed_bytes: int) -> int:
        """Return the offset up to which to reserve space for `needed_bytes`.

        Rounds up to whole units as long as the result stays within half of the budget.
        """
        return max(
            needed_bytes,
            min(
                -(-needed_bytes // RESERVATION_BYTES) * RESERVATION_BYTES,
                self._limit_bytes // 2 - BUDGET_MARGIN_BYTES,
            ),
        )

    def _reserve(self, extra_bytes: int) -> bool:
        """Reserve disk space for `pending_bytes` and `extra_bytes` bytes; return False if that fails."""
        needed_bytes = self.size + self.pending_bytes + extra_bytes
        if self.file is not None and needed_bytes <= self.file.reserved_end:
            return True
        try:
            try:
                self._open_file.reserve(self._reservation_end(needed_bytes))
            except OSError:
                self._open_file.reserve(needed_bytes)
        except OSError as error:
            self._handle_write_error(error, extra_bytes)
            return False
        return True

    def _handle_write_error(self, error: OSError, wanted_bytes: int = 0) -> None:
        """Stop accepting messages until `wanted_bytes` can be reserved; log the first error of a series."""
        self._needed_bytes = max(self._needed_bytes, wanted_bytes)
        if not self.write_error:
            self.write_error, self._trouble_since_us = error.strerror or str(error), self.unix_us()
            log.error("journal: cannot write, no new messages are accepted: %s", self.write_error)

    def _write_or_queue(self, record: bytes) -> None:
        """Write the record of something that has already happened, or queue it if the write fails."""
        if not self._append(record):
            self._unwritten.append(record)

    def _append(self, record: bytes) -> bool:
        """Write a record after all queued ones; return False if it was not written."""
        if self._unwritten and not self._flush():
            return False
        if self.size > MIN_COMPACTION_BYTES + 3 * (len(MAGIC) + self.compacted_bytes):
            # Compacts before the write, because the caller updates its state only after the write. A
            # compaction in between would lose a message just accepted or an attempt just begun.
            self._compact()
        try:
            (self.file or self._open_file).write(record)
        except OSError as error:
            self._write_failed = True
            self._handle_write_error(error)
            return False
        return True

    def _flush(self) -> bool:
        """Write the queued records in order; return False if some remain.

        If a write fails, tries a compaction, which includes the queued records and may need less space.
        """
        try:
            while self._unwritten:
                self._open_file.write(self._unwritten[0])
                self._unwritten.popleft()
        except OSError as error:
            self._write_failed = True
            self._handle_write_error(error)
            return self.size > 2 * self._max_compacted_bytes() and self._compact()
        self._write_failed = False
        return True

    def _compact(self) -> bool:
        """Replace the journal with a file of the records still needed; return False on failure."""
        if 0 < self._compaction_retry_us - self.unix_us() <= RETRY_DELAY_US:
            return False
        self._forget_expired_ends()
        old_file, data = self._open_file, bytearray(MAGIC)
        for message in self.owed.values():
            message_data = b"".join(self._message_records(message))
            data += message_data
            compacted = len(message_data) + 2 * (STATUS_RECORD_BYTES + len(message.id))
            self._set_byte_counts(message.id, compacted, self._byte_counts.get(message.id, (0, 0))[1])
        for message_id, ended in self.ends.items():
            data += b"".join(ended.records(message_id))
        limit_bytes = self._compaction_limit_bytes
        try:
            if (
                round_up_to_blocks(old_file.reserved_end)
                + round_up_to_blocks(self._reservation_end(len(data) + self.pending_bytes))
                > limit_bytes
            ):
                old_file.release_after(old_file.size + self.pending_bytes)
            needed_bytes = len(data) + self.pending_bytes
            spare = limit_bytes - round_up_to_blocks(max(old_file.reserved_end, old_file.size))
            if round_up_to_blocks(needed_bytes) > spare:
                raise OSError(errno.EDQUOT, "the budget has no space for a second file")
            fd = os.open(self.compaction_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            new_file = JournalFile(fd, 0)
            try:
                new_file.reserve(min(self._reservation_end(needed_bytes), spare))
                new_file.write(data)
                os.rename(self.compaction_path, self.path)
            except OSError:
                os.close(fd)
                self.compaction_path.unlink(missing_ok=True)
                raise
        except OSError as error:
            if not self._compaction_retry_us:
                log.error("journal: compaction failed: %s", error.strerror or error)
            self._compaction_retry_us = self.unix_us() + RETRY_DELAY_US
            return False
        os.close(old_file.fd)
        log.info("journal: compacted from %d to %d bytes", old_file.size, len(data))
        self.file, self._compaction_retry_us = new_file, 0
        self._unwritten.clear()  # the new file contains them
        self._write_failed = False
        return True

    # Replay.

    def replay(self, data: bytes) -> int:
        """Apply all valid records, and return the offset of a torn tail, or the size if there is none.

        Raises JournalError.
        """
        end = self._replay(data)
        return end if data[end:].strip(b"\0") else len(data)

    def _replay(self, data: bytes) -> int:
        """Apply all valid records, and return the end offset of the last one."""
        if not data.startswith(MAGIC[: len(data)]):
            raise JournalError(f"{self.path.name}: not a journal of rowanrack")
        end = min(len(data), len(MAGIC)) if data.startswith(MAGIC) else 0
        for offset, payload in read_records(data, len(MAGIC)):
            try:
                self._apply_record(payload)
            except (ValueError, KeyError, struct.error) as error:
                raise JournalError(f"journal: unreadable record before offset {offset}: {error}") from None
            end = offset
        self._expiry_spans.clear()
        for message_id, message in self.owed.items():
            compacted = sum(map(len, self._message_records(message))) + 2 * (
                STATUS_RECORD_BYTES + len(message_id)
            )
            self._set_byte_counts(message_id, compacted, self._pending_bytes_of(message))
        for message_id, ended in self.ends.items():
            self._schedule_expiry(message_id, ended)
            told_bytes = STATUS_RECORD_BYTES + len(message_id)
            compacted = ended.max_compacted_bytes(message_id)
            self._set_byte_counts(message_id, compacted, ended.notice_pending * told_bytes)
        self._forget_expired_ends()
        return end

    def _apply_record(self, payload: bytes) -> None:
        """Update the state with one record. Raises ValueError, KeyError or struct.error if it is invalid."""
        apply_record(payload, self.owed, self.ends)

    def unconfirmed_notices(self, front: str) -> list[tuple[str, End]]:
        """Return a front's refused and failed messages whose notice is not yet confirmed."""
        return [(i, e.end) for i, e in self.ends.items() if e.notice_pending and e.front == front]
