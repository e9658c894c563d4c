"""A `LogStore` in one SQLite file, with its write-ahead log (WAL) and a lock file beside it.

The effect of a call that returned survives the end of the process (WAL, synchronous=NORMAL). A power failure
may lose the last calls, but never a part of one. Every event, head, gap and mark has a CRC-32 of its content:
damage on disk raises LogError with a one-line text and never yields a wrong event. `check` verifies the whole
file. The store is opened and used by one thread. Source: docs/channels.md;
https://sqlite.org/fileformat2.html, https://sqlite.org/wal.html.
"""

from __future__ import annotations

import contextlib
import fcntl
import heapq
import os
import resource
import sqlite3
import zlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from rowanrack.channels.events import CHAIN_BYTES, Event, Gap, Head, Place, Stream
from rowanrack.channels.ports import LogError, LogFullError
from rowanrack.store.log_memory import MAX_INT64, advance_heads, event_bytes, prune_stream, skip_to_gap_end

APPLICATION_ID = 0x726F776C  # "rowl", stored in the file's header
# Each statement list migrates a file to the next format; an empty file has format 0. A row of `dropped` is a
# stream that was removed and whose events are still to be deleted.
MIGRATIONS = (
    """
    CREATE TABLE channels (id INTEGER PRIMARY KEY, name TEXT NOT NULL UNIQUE);
    CREATE TABLE kinds (id INTEGER PRIMARY KEY, name TEXT NOT NULL UNIQUE);
    CREATE TABLE streams (id INTEGER PRIMARY KEY, channel INTEGER NOT NULL, site TEXT NOT NULL,
        life TEXT NOT NULL, floor INTEGER NOT NULL, number INTEGER NOT NULL, at INTEGER NOT NULL,
        tick INTEGER NOT NULL, chain BLOB NOT NULL, sum INTEGER NOT NULL);
    CREATE TABLE events (stream INTEGER NOT NULL, number INTEGER NOT NULL, channel INTEGER NOT NULL,
        at INTEGER NOT NULL, tick INTEGER NOT NULL, kind INTEGER NOT NULL, body BLOB NOT NULL,
        PRIMARY KEY (stream, number)) WITHOUT ROWID;
    CREATE INDEX events_by_time ON events (channel, at, tick);
    CREATE TABLE gaps (stream INTEGER NOT NULL, first INTEGER NOT NULL, last INTEGER NOT NULL,
        why TEXT NOT NULL, sum INTEGER NOT NULL, PRIMARY KEY (stream, first)) WITHOUT ROWID;
    CREATE TABLE marks (name TEXT PRIMARY KEY, value BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE dropped (stream INTEGER PRIMARY KEY)
    """,
)
PAGE_BYTES = 4096
# Removing events may exceed the size limit by this, because the gaps that retention records take space, too.
SPARE_PAGE_COUNT = 64
MIN_WAL_BYTES, MAX_WAL_BYTES = 128 * 1024, 8 * 1024 * 1024  # limits for the WAL's share of the space
PRUNE_EVENT_COUNT = 5000  # most events that one transaction deletes
MIN_PRUNE_EVENT_COUNT = 32  # deleted at least by one transaction while the file is too large
EVENT_ROW_OVERHEAD_BYTES = 120  # estimated size of an event's row without its body
VACUUM_PAGE_COUNT = 256  # pages released to the disk in one transaction
CRC_BYTES = 4  # size of the CRC that precedes an event's chain and payload
SELECT_EVENTS_AFTER = (
    "SELECT number, at, tick, kind, body FROM events WHERE stream = ? AND number > ? ORDER BY number"
)

Row = tuple[Any, ...]


encode = msgspec.msgpack.Encoder().encode  # an event is encoded as an array of its fields


def row_crc(*stored: object) -> int:
    """Return the CRC-32 of the values of a row."""
    return zlib.crc32(encode(stored))


@dataclass(slots=True)
class SqliteLog:
    """An event log in a SQLite file that takes, together with its WAL, at most `most_bytes`.

    The minimum is 512 KiB, whatever the value of `most_bytes`. A single call may exceed the limit in the WAL
    by what the call itself changes.
    """

    path: Path
    most_bytes: int
    factory: type[sqlite3.Connection] = sqlite3.Connection
    _lock_fd: int = -1
    _connection: sqlite3.Connection | None = None
    _state_loaded: bool = False
    _heads: dict[Stream, tuple[int, Head]] = field(default_factory=dict)  # row id and head
    _channel_ids: dict[str, int] = field(default_factory=dict)
    _kind_ids: dict[str, int] = field(default_factory=dict)
    _kind_names: dict[int, str] = field(default_factory=dict)
    _next_stream_id: int = 1
    _page_limit: int = 0  # the connection's `max_page_count`; 0 if it is unknown

    # Opening, transactions and error handling.

    def open(self) -> None:
        """Open the file.

        Raises LogError if it is in use, damaged, from a newer version, or not an event log.
        """
        if self._lock_fd >= 0:
            raise LogError(f"{self.path.name}: already open")
        try:
            self._lock_fd = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.close()
            blocked = isinstance(error, BlockingIOError)
            why = "another process has it open" if blocked else error.strerror or error
            raise LogError(f"{self.path.name}: {why}") from None
        try:
            self._ready_connection()
            with contextlib.suppress(LogFullError):
                self._delete_dropped()
        except LogError:
            self.close()
            raise

    def close(self) -> None:
        """Close the file and release its lock."""
        self._close_connection()
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1

    def _close_connection(self) -> None:
        """Close the connection; the next call opens a new one."""
        connection, self._connection, self._state_loaded = self._connection, None, False
        if connection is not None:
            with contextlib.suppress(sqlite3.Error):
                connection.close()

    def _ready_connection(self) -> sqlite3.Connection:
        """Return the connection with all heads loaded, reopening it if needed."""
        if self._lock_fd < 0:
            raise LogError(f"{self.path.name}: not open")
        try:
            if self._connection is None:
                self._connection = self._connect()
            if not self._state_loaded:
                self._load_state(self._connection)
        except (sqlite3.Error, TypeError, ValueError) as error:
            self._close_connection()
            raise self._log_error(error) from None
        return self._connection

    def _connect(self) -> sqlite3.Connection:
        """Open and prepare a connection."""
        self._page_limit = 0
        connection = sqlite3.connect(self.path, isolation_level=None, factory=self.factory)
        try:
            connection.execute("PRAGMA locking_mode=EXCLUSIVE")
            self._prepare(connection)
        except BaseException:
            connection.close()
            raise
        return connection

    def _prepare(self, connection: sqlite3.Connection) -> None:
        """Check the file's format, migrate it if needed, and set the connection's options."""
        (application_id,) = connection.execute("PRAGMA application_id").fetchone()
        (version,) = connection.execute("PRAGMA user_version").fetchone()
        (table_count,) = connection.execute("SELECT count(*) FROM sqlite_master").fetchone()
        if application_id != APPLICATION_ID and (application_id or version or table_count):
            raise LogError(f"{self.path.name}: not an event log of rowanrack")
        if version > len(MIGRATIONS):
            raise LogError(
                f"{self.path.name}: format {version}, but this version reads only up to {len(MIGRATIONS)}"
            )
        connection.execute("PRAGMA auto_vacuum=INCREMENTAL")  # has an effect only in an empty file
        (mode,) = connection.execute("PRAGMA journal_mode=WAL").fetchone()
        if mode != "wal":
            raise LogError(f"{self.path.name}: the file system does not support WAL mode")
        for pragma in ("synchronous=NORMAL", "wal_autocheckpoint=0", "temp_store=MEMORY", "cache_size=-8192"):
            connection.execute(f"PRAGMA {pragma}")
        if version < len(MIGRATIONS):
            connection.execute("BEGIN IMMEDIATE")
            for statement in ";".join(MIGRATIONS[version:]).split(";"):
                connection.execute(statement)
            connection.execute(f"PRAGMA application_id={APPLICATION_ID}")
            connection.execute(f"PRAGMA user_version={len(MIGRATIONS)}")
            connection.execute("COMMIT")

    def _set_page_limit(self, connection: sqlite3.Connection, extra_pages: int) -> None:
        """Limit the file to its share of the space and `extra_pages` more."""
        page_limit = (
            max((self.most_bytes - self._max_wal_bytes) // PAGE_BYTES, SPARE_PAGE_COUNT) + extra_pages
        )
        if page_limit != self._page_limit:
            (actual_limit,) = connection.execute(f"PRAGMA max_page_count={page_limit}").fetchone()
            # SQLite does not lower the limit below the file's present size.
            self._page_limit = page_limit if actual_limit == page_limit else 0

    def _load_state(self, connection: sqlite3.Connection) -> None:
        """Read the heads and the ids of channels and kinds."""
        self._channel_ids = {name: id_ for id_, name in connection.execute("SELECT id, name FROM channels")}
        self._kind_names = dict(connection.execute("SELECT id, name FROM kinds"))
        self._kind_ids = {name: id_ for id_, name in self._kind_names.items()}
        channel_names = {id_: name for name, id_ in self._channel_ids.items()}
        self._heads = {}
        for row in connection.execute("SELECT * FROM streams"):
            stream_id, channel_id, site, life, floor, number, at, tick, chain, crc = row
            head = Head(Stream(channel_names.get(channel_id, ""), site, life), floor, number, at, tick, chain)
            if crc != row_crc(*head):
                raise LogError(f"{self.path.name}: damaged: the head of stream {stream_id}")
            self._heads[head.stream] = stream_id, head
        (highest,) = connection.execute(
            "SELECT max(id) FROM (SELECT id FROM streams UNION ALL SELECT stream FROM dropped)"
        ).fetchone()
        self._next_stream_id, self._state_loaded = (highest or 0) + 1, True

    def _log_error(self, error: Exception) -> LogError:
        """Translate an error into a LogError or LogFullError."""
        if isinstance(error, LogError):
            return error
        code = getattr(error, "sqlite_errorcode", 0)
        text = f"{self.path.name}: {str(error) or type(error).__name__}".replace("\n", " ")
        if code == sqlite3.SQLITE_FULL or (code & 0xFF == sqlite3.SQLITE_IOERR and self._is_disk_full()):
            return LogFullError(f"{self.path.name}: no room left")
        return LogError(text if isinstance(error, sqlite3.Error) else f"{text}: damaged")

    def _is_disk_full(self) -> bool:
        """Return whether the disk or the file size limit has no room for a few more pages."""
        max_file_bytes, _ = resource.getrlimit(resource.RLIMIT_FSIZE)
        sizes = [size for _, size in self._file_sizes()]
        file_size_limited = (
            max_file_bytes != resource.RLIM_INFINITY
            and max(sizes, default=0) + 16 * PAGE_BYTES > max_file_bytes
        )
        return file_size_limited or os.statvfs(self.path.parent).f_bavail < 16

    @contextlib.contextmanager
    def _transaction(self, makes_room: bool = False) -> Iterator[sqlite3.Connection]:
        """Run one transaction, which is rolled back on any error.

        With `makes_room`, it may exceed the page limit by `SPARE_PAGE_COUNT`.
        """
        connection = self._ready_connection()
        try:
            self._set_page_limit(connection, SPARE_PAGE_COUNT if makes_room else 0)
            if self._checkpoint(connection) > self._max_wal_bytes and not makes_room:
                raise LogFullError(f"{self.path.name}: no room left to checkpoint the WAL")
            connection.execute("BEGIN IMMEDIATE")
            yield connection
            connection.execute("COMMIT")
        except BaseException as error:
            self._state_loaded = False
            code = getattr(error, "sqlite_errorcode", 0) & 0xFF
            # Translated before the rollback, which changes the files that `_log_error` looks at.
            log_error = self._log_error(error) if isinstance(error, sqlite3.Error) else None
            try:
                if connection.in_transaction:
                    connection.execute("ROLLBACK")
            except sqlite3.Error:
                code = sqlite3.SQLITE_IOERR
            if code == sqlite3.SQLITE_IOERR:
                self._close_connection()
            if log_error is None or isinstance(error, sqlite3.ProgrammingError):
                raise
            raise log_error from None

    @contextlib.contextmanager
    def _read_connection(self) -> Iterator[sqlite3.Connection]:
        """Provide the connection for reading, and translate errors."""
        connection = self._ready_connection()
        try:
            yield connection
        except sqlite3.ProgrammingError:
            raise
        except (sqlite3.Error, TypeError, ValueError) as error:
            log_error = self._log_error(error)
            if getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_IOERR:
                self._close_connection()
            raise log_error from None

    # Disk space.

    @property
    def _max_wal_bytes(self) -> int:
        """The WAL's share of the space."""
        return min(max(self.most_bytes // 4, MIN_WAL_BYTES), MAX_WAL_BYTES)

    def _file_sizes(self) -> list[tuple[str, int]]:
        """Return the path and size of each file of the database."""
        sizes = []
        for name in (str(self.path), f"{self.path}-wal", f"{self.path}-shm"):
            with contextlib.suppress(FileNotFoundError):
                sizes.append((name, os.stat(name).st_size))
        return sizes

    def _wal_size(self) -> int:
        """Return the size of the WAL, 0 if it does not exist."""
        try:
            return os.stat(f"{self.path}-wal").st_size
        except FileNotFoundError:
            return 0

    def _checkpoint(self, connection: sqlite3.Connection, threshold_bytes: int | None = None) -> int:
        """Checkpoint the WAL if it exceeds half of its limit (or `threshold_bytes`), and return its size."""
        if (size := self._wal_size()) > (
            self._max_wal_bytes // 2 if threshold_bytes is None else threshold_bytes
        ):
            try:
                connection.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchall()
            except sqlite3.OperationalError as error:
                if error.sqlite_errorcode & 0xFF not in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR):
                    raise  # a full disk only delays the checkpoint: the WAL stays valid
            size = self._wal_size()
        return size

    def size_bytes(self) -> int:
        """Return the size of the store on disk."""
        return sum(size for _, size in self._file_sizes())

    # The `LogStore` interface.

    def append(self, events: Sequence[Event], marks: dict[str, bytes] | None = None) -> None:
        """Store events and marks atomically. Raises ValueError if an event is not the next of its stream."""
        self._ready_connection()
        heads = advance_heads(events, self._head)
        with self._transaction() as connection:
            self._write_heads(connection, heads.values())
            if events:
                rows = self._event_rows(connection, events)
                connection.executemany("INSERT INTO events VALUES (?, ?, ?, ?, ?, ?, ?)", rows)
            for name, value in (marks or {}).items():
                row = (name, value, row_crc(name, value))
                connection.execute("INSERT OR REPLACE INTO marks VALUES (?, ?, ?)", row)

    def _head(self, stream: Stream) -> Head | None:
        id_and_head = self._heads.get(stream)
        return id_and_head[1] if id_and_head is not None else None

    def _write_heads(self, connection: sqlite3.Connection, heads: Iterable[Head]) -> None:
        """Insert or update the rows of these heads."""
        rows: list[Row] = []
        for head in heads:
            if head.stream in self._heads:
                stream_id = self._heads[head.stream][0]
            else:
                stream_id, self._next_stream_id = self._next_stream_id, self._next_stream_id + 1
            channel_id = self._name_id(connection, "channels", self._channel_ids, head.stream.channel)
            rows.append((stream_id, channel_id, *head.stream[1:], *head[1:], row_crc(*head)))
            self._heads[head.stream] = stream_id, head
        if rows:
            statement = "INSERT OR REPLACE INTO streams VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
            connection.executemany(statement, rows)

    @staticmethod
    def _name_id(connection: sqlite3.Connection, table: str, known_ids: dict[str, int], name: str) -> int:
        """Return the id of a name in a table of names, inserting it if it is new."""
        if name not in known_ids:
            known_ids[name] = max(known_ids.values(), default=0) + 1
            connection.execute(f"INSERT INTO {table} VALUES (?, ?)", (known_ids[name], name))
        return known_ids[name]

    def _event_rows(self, connection: sqlite3.Connection, events: Sequence[Event]) -> list[Row]:
        """Return the rows of events whose heads are already written."""
        ids_by_stream: dict[tuple[str, str, str], tuple[int, int]] = {}
        kind_ids, rows = self._kind_ids, []
        for event in events:
            stream_key = event.channel, event.site, event.life
            if (ids := ids_by_stream.get(stream_key)) is None:
                ids = ids_by_stream[stream_key] = (
                    self._heads[Stream(*stream_key)][0],
                    self._channel_ids[event.channel],
                )
            if (kind_id := kind_ids.get(event.kind)) is None:
                kind_id = self._name_id(connection, "kinds", kind_ids, event.kind)
                self._kind_names[kind_id] = event.kind
            body = zlib.crc32(encode(event)).to_bytes(CRC_BYTES, "little") + event.chain + event.data
            rows.append((ids[0], event.number, ids[1], event.at, event.tick, kind_id, body))
        return rows

    def _decode_event(
        self, stream: Stream, number: int, at: int, tick: int, kind_id: int, body: bytes
    ) -> Event:
        """Decode the event of a row. Raises LogError if its checksum does not match."""
        chain, data = body[CRC_BYTES : CRC_BYTES + CHAIN_BYTES], body[CRC_BYTES + CHAIN_BYTES :]
        event = Event(*stream, number, at, tick, self._kind_names.get(kind_id, ""), data, chain)
        if zlib.crc32(encode(event)).to_bytes(CRC_BYTES, "little") != body[:CRC_BYTES]:
            raise LogError(f"{self.path.name}: damaged: event {event.id} of {event.channel}")
        return event

    def heads(self) -> list[Head]:
        """Return the head of each stream."""
        self._ready_connection()
        return sorted(head for _, head in self._heads.values())

    def after(self, stream: Stream, number: int, most_bytes: int) -> list[Event]:
        """Return a stream's events after a number, in order, up to `most_bytes` but at least one."""
        found: list[Event] = []
        with self._read_connection() as connection:
            stream_id = self._heads.get(stream, (-1, None))[0]
            with contextlib.closing(
                connection.execute(SELECT_EVENTS_AFTER, (stream_id, min(number, MAX_INT64)))
            ) as rows:
                for row in rows:
                    event = self._decode_event(stream, *row)
                    most_bytes -= event_bytes(event)
                    if found and most_bytes < 0:
                        break
                    found.append(event)
        return found

    def ordered(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """Return a channel's events in order, after a place and up to a time."""
        start = since or Place(-MAX_INT64, -1, "", "", 0)
        if start.at > MAX_INT64 or until_us < -MAX_INT64:
            return []
        start = start._replace(tick=min(start.tick, MAX_INT64), number=min(start.number, MAX_INT64))
        query = """
            SELECT s.site, s.life, e.number, e.at, e.tick, e.kind, e.body
            FROM events e INDEXED BY events_by_time CROSS JOIN streams s ON s.id = e.stream
            WHERE e.channel = ? AND (e.at, e.tick) >= (?, ?) AND e.at <= ?
                AND (e.at, e.tick, s.site, s.life, e.number) > (?, ?, ?, ?, ?)
            ORDER BY e.at, e.tick, s.site, s.life, e.number LIMIT ?
        """
        with self._read_connection() as connection:
            channel_id = self._channel_ids.get(channel, -1)
            bounds = (channel_id, start.at, start.tick, min(until_us, MAX_INT64), *start, max(limit, 0))
            rows = connection.execute(query, bounds).fetchall()
            return [self._decode_event(Stream(channel, *row[:2]), *row[2:]) for row in rows]

    def skip(self, gap: Gap) -> None:
        """Record a gap, after which the stream continues."""
        self._ready_connection()
        if (head_and_gap := skip_to_gap_end(self._head(gap.stream), gap)) is not None:
            with self._transaction() as connection:
                self._write_heads(connection, [head_and_gap[0]])
                self._write_gap(connection, self._heads[gap.stream][0], head_and_gap[1])

    @staticmethod
    def _write_gap(connection: sqlite3.Connection, stream_id: int, gap: Gap) -> None:
        """Insert or update the row of a gap."""
        row = (stream_id, *gap[1:], row_crc(*gap))
        connection.execute("INSERT OR REPLACE INTO gaps VALUES (?, ?, ?, ?, ?)", row)

    def gaps(self, channel: str) -> list[Gap]:
        """Return the gaps of a channel."""
        with self._read_connection() as connection:
            streams = [
                (stream, stream_id)
                for stream, (stream_id, _) in sorted(self._heads.items())
                if stream.channel == channel
            ]
            return [gap for stream, stream_id in streams for gap in self._gaps(connection, stream, stream_id)]

    def _gaps(self, connection: sqlite3.Connection, stream: Stream, stream_id: int) -> list[Gap]:
        """Return the gaps of a stream. Raises LogError if one is damaged."""
        gaps = []
        query = "SELECT first, last, why, sum FROM gaps WHERE stream = ? ORDER BY first"
        for *stored, crc in connection.execute(query, (stream_id,)):
            gap = Gap(stream, *stored)
            if crc != row_crc(*gap):
                raise LogError(f"{self.path.name}: damaged: a gap of stream {stream_id}")
            gaps.append(gap)
        return gaps

    def mark(self, name: str) -> bytes | None:
        """Return the value of a mark, or None."""
        with self._read_connection() as connection:
            row = connection.execute("SELECT value, sum FROM marks WHERE name = ?", (name,)).fetchone()
            if row is None:
                return None
            if row[1] != row_crc(name, row[0]):
                raise LogError(f"{self.path.name}: damaged: mark {name}")
            value: bytes = row[0]
            return value

    def check(self) -> None:
        """Verify the whole file and its content. Raises LogError for the first damage."""
        with self._read_connection() as connection:
            (result,) = connection.execute("PRAGMA integrity_check(1)").fetchone()
            if result != "ok":
                raise LogError(f"{self.path.name}: damaged: {result}".replace("\n", " "))
            for stream, (stream_id, _) in self._heads.items():
                self._gaps(connection, stream, stream_id)
                with contextlib.closing(connection.execute(SELECT_EVENTS_AFTER, (stream_id, 0))) as rows:
                    for row in rows:
                        self._decode_event(stream, *row)

    # Retention runs in transactions of a bounded size, so that the WAL stays small.

    def prune(self, before_us: int, most_bytes: int, spare: Iterable[str]) -> int:
        """Apply retention and return the number of removed events.

        An error after some events were removed is not raised.
        """
        spared_channels, removed = set(spare), 0
        with contextlib.suppress(LogFullError):
            self._delete_dropped()
        try:
            while count := self._prune_step(before_us, most_bytes, spared_channels):
                removed += count
        except LogError:
            if not removed:
                raise
        self._shrink()
        return removed

    def _prune_step(self, before_us: int, most_bytes: int, spared_channels: set[str]) -> int:
        """Remove a bounded number of the oldest events, and return how many."""
        with self._read_connection() as connection:
            (pages,) = connection.execute("PRAGMA page_count").fetchone()
            (free_pages,) = connection.execute("PRAGMA freelist_count").fetchone()
            excess_bytes, count = (pages - free_pages) * PAGE_BYTES - most_bytes, 0
            min_count = MIN_PRUNE_EVENT_COUNT if excess_bytes > 0 else 0
            first_numbers: dict[Stream, int] = {}
            last_numbers: dict[Stream, int] = {}
            streams = [
                (stream, stream_id)
                for stream, (stream_id, _) in self._heads.items()
                if stream.channel not in spared_channels
            ]
            with contextlib.ExitStack() as exit_stack:
                cursors = [exit_stack.enter_context(contextlib.closing(connection.cursor())) for _ in streams]
                event_iterators = [
                    self._oldest_first(cursor, *stream_and_id)
                    for cursor, stream_and_id in zip(cursors, streams, strict=True)
                ]
                for at, stream, number, size in heapq.merge(*event_iterators):
                    if (
                        at >= before_us and excess_bytes <= 0 and count >= min_count
                    ) or count >= PRUNE_EVENT_COUNT:
                        break
                    first_numbers.setdefault(stream, number)
                    last_numbers[stream] = number
                    excess_bytes, count = excess_bytes - size, count + 1
        if not count:
            return 0
        with self._transaction(makes_room=True) as connection:
            for stream, last_number in last_numbers.items():
                stream_id, head = self._heads[stream]
                head, gaps = prune_stream(
                    head, self._gaps(connection, stream, stream_id), first_numbers[stream], last_number
                )
                connection.execute(
                    "DELETE FROM events WHERE stream = ? AND number <= ?", (stream_id, last_number)
                )
                connection.execute(
                    "DELETE FROM gaps WHERE stream = ? AND last <= ?", (stream_id, last_number)
                )
                self._write_heads(connection, [head])
                self._write_gap(connection, stream_id, gaps[0])
        return count

    @staticmethod
    def _oldest_first(
        cursor: sqlite3.Cursor, stream: Stream, stream_id: int
    ) -> Iterator[tuple[int, Stream, int, int]]:
        """Yield time, stream, number and estimated size of a stream's events, the oldest first."""
        query = "SELECT at, number, length(body) FROM events WHERE stream = ? ORDER BY number"
        for at, number, size in cursor.execute(query, (stream_id,)):
            yield at, stream, number, EVENT_ROW_OVERHEAD_BYTES + size

    def _shrink(self) -> None:
        """Release free pages to the disk. Errors are ignored: the next call continues."""
        with contextlib.suppress(LogError), self._read_connection() as connection:
            while connection.execute("PRAGMA freelist_count").fetchone()[0]:
                connection.execute(f"PRAGMA incremental_vacuum({VACUUM_PAGE_COUNT})").fetchall()
                self._checkpoint(connection)
            self._checkpoint(connection, 0)

    def drop(self, channel: str, stream: Stream | None = None) -> None:
        """Remove a channel, or one stream of it, at once; its disk space is released a little later."""
        self._ready_connection()
        dropped_streams = [
            candidate
            for candidate in self._heads
            if candidate.channel == channel and stream in (None, candidate)
        ]
        if not dropped_streams:
            return
        with self._transaction(makes_room=True) as connection:
            for dropped_stream in dropped_streams:
                stream_id, _ = self._heads.pop(dropped_stream)
                connection.execute("DELETE FROM streams WHERE id = ?", (stream_id,))
                connection.execute("DELETE FROM gaps WHERE stream = ?", (stream_id,))
                connection.execute("INSERT INTO dropped VALUES (?)", (stream_id,))
        with contextlib.suppress(LogError):
            self._delete_dropped()

    def _delete_dropped(self) -> None:
        """Delete the events of dropped streams."""
        with self._read_connection() as connection:
            stream_ids = [stream_id for (stream_id,) in connection.execute("SELECT stream FROM dropped")]
        for stream_id in stream_ids:
            more_events = True
            while more_events:
                with self._transaction(makes_room=True) as connection:
                    query = "SELECT number FROM events WHERE stream = ? ORDER BY number LIMIT 1 OFFSET ?"
                    row = connection.execute(query, (stream_id, PRUNE_EVENT_COUNT)).fetchone()
                    last_number, more_events = (row[0], True) if row is not None else (MAX_INT64, False)
                    connection.execute(
                        "DELETE FROM events WHERE stream = ? AND number <= ?", (stream_id, last_number)
                    )
                    if not more_events:
                        connection.execute("DELETE FROM dropped WHERE stream = ?", (stream_id,))
        if stream_ids:
            self._shrink()
