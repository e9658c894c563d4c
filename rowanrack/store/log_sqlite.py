"""A `LogStore` in one SQLite file, with its write-ahead file and a lock file beside it.

A call that returned outlasts the process (WAL, synchronous=NORMAL); a power cut may take the last ones, never
part of one. Every event, head, gap and mark carries a CRC-32 of all that it says: what was damaged on disk is
LogError in one line, never handed out as another event. `check` looks at the whole file. One thread opens and
uses it. Source: docs/channels.md; https://sqlite.org/fileformat2.html, https://sqlite.org/wal.html.
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
from rowanrack.store.log_memory import MOST, advanced, pruned, skipped, weight

APPLICATION = 0x726F776C  # "rowl" in the file's header
# What leads from each format to the next; an empty file is format 0.
STEPS = (
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
    """,  # a row of `dropped` is a stream that is forgotten, whose events are still to be deleted
)
PAGE = 4096
SPARE_PAGES = 64  # beyond the limit while room is being made: what retention leaves takes a little itself
WAL_LEAST, WAL_MOST = 128 * 1024, 8 * 1024 * 1024  # of the room, what the write-ahead file is given
STEP = 5000  # events that one transaction of retention deletes at most
STEP_LEAST = 32
EACH = 120  # about what an event takes beside its body, for retention's estimate
VACUUM = 256  # pages given back in one transaction
SUM = 4  # bytes of an event's CRC, in front of its chain and payload
ALONG = "SELECT number, at, tick, kind, body FROM events WHERE stream = ? AND number > ? ORDER BY number"

Row = tuple[Any, ...]


encoded = msgspec.msgpack.Encoder().encode  # an event is encoded as the tuple of its fields


def summed(*said: object) -> int:
    """The CRC-32 of what a row says."""
    return zlib.crc32(encoded(said))


@dataclass(slots=True)
class SqliteLog:
    """Events in a SQLite file that takes, with its write-ahead file, no more than `most_bytes`.

    It needs 512 KiB whatever `most_bytes` says. A single call may let the write-ahead file go beyond by what
    that call itself changes.
    """

    path: Path
    most_bytes: int
    factory: type[sqlite3.Connection] = sqlite3.Connection
    _lock: int = -1
    _connection: sqlite3.Connection | None = None
    _loaded: bool = False
    _heads: dict[Stream, tuple[int, Head]] = field(default_factory=dict)  # with the stream's id
    _channels: dict[str, int] = field(default_factory=dict)
    _kinds: dict[str, int] = field(default_factory=dict)
    _kind_names: dict[int, str] = field(default_factory=dict)
    _next_stream: int = 1
    _pages: int = 0  # the limit that the connection has; 0: another one

    # Opening, and what failures come to.

    def open(self) -> None:
        """Be ready. Raises LogError: it is in use, damaged past use, from a newer version, or no log."""
        if self._lock >= 0:
            raise LogError(f"{self.path.name}: it is open already")
        try:
            self._lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self.close()
            blocked = isinstance(error, BlockingIOError)
            why = "another process has it open" if blocked else error.strerror or error
            raise LogError(f"{self.path.name}: {why}") from None
        try:
            self._ready()
            with contextlib.suppress(LogFullError):
                self._purge()
        except LogError:
            self.close()
            raise

    def close(self) -> None:
        """Let go of it."""
        self._lose()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _lose(self) -> None:
        """Give the connection up: the next call makes a new one."""
        connection, self._connection, self._loaded = self._connection, None, False
        if connection is not None:
            with contextlib.suppress(sqlite3.Error):
                connection.close()

    def _ready(self) -> sqlite3.Connection:
        """The connection, made anew if it was lost, with all heads known."""
        if self._lock < 0:
            raise LogError(f"{self.path.name}: it is not open")
        try:
            if self._connection is None:
                self._connection = self._connect()
            if not self._loaded:
                self._load(self._connection)
        except (sqlite3.Error, TypeError, ValueError) as error:
            self._lose()
            raise self._said(error) from None
        return self._connection

    def _connect(self) -> sqlite3.Connection:
        self._pages = 0
        connection = sqlite3.connect(self.path, isolation_level=None, factory=self.factory)
        try:
            connection.execute("PRAGMA locking_mode=EXCLUSIVE")
            self._prepare(connection)
        except BaseException:
            connection.close()
            raise
        return connection

    def _prepare(self, connection: sqlite3.Connection) -> None:
        (application,) = connection.execute("PRAGMA application_id").fetchone()
        (version,) = connection.execute("PRAGMA user_version").fetchone()
        (tables,) = connection.execute("SELECT count(*) FROM sqlite_master").fetchone()
        if application != APPLICATION and (application or version or tables):
            raise LogError(f"{self.path.name}: not an event log of rowanrack")
        if version > len(STEPS):
            raise LogError(f"{self.path.name}: format {version}, and this version reads up to {len(STEPS)}")
        connection.execute("PRAGMA auto_vacuum=INCREMENTAL")  # of use in an empty file alone
        (mode,) = connection.execute("PRAGMA journal_mode=WAL").fetchone()
        if mode != "wal":
            raise LogError(f"{self.path.name}: no write-ahead file is possible there")
        for pragma in ("synchronous=NORMAL", "wal_autocheckpoint=0", "temp_store=MEMORY", "cache_size=-8192"):
            connection.execute(f"PRAGMA {pragma}")
        if version < len(STEPS):
            connection.execute("BEGIN IMMEDIATE")
            for statement in ";".join(STEPS[version:]).split(";"):
                connection.execute(statement)
            connection.execute(f"PRAGMA application_id={APPLICATION}")
            connection.execute(f"PRAGMA user_version={len(STEPS)}")
            connection.execute("COMMIT")

    def _limit(self, connection: sqlite3.Connection, more: int) -> None:
        pages = max((self.most_bytes - self._wal_room) // PAGE, SPARE_PAGES) + more
        if pages != self._pages:
            (found,) = connection.execute(f"PRAGMA max_page_count={pages}").fetchone()
            self._pages = pages if found == pages else 0  # a larger file is its own limit until it shrinks

    def _load(self, connection: sqlite3.Connection) -> None:
        self._channels = {name: i for i, name in connection.execute("SELECT id, name FROM channels")}
        self._kind_names = dict(connection.execute("SELECT id, name FROM kinds"))
        self._kinds = {name: i for i, name in self._kind_names.items()}
        names = {i: name for name, i in self._channels.items()}
        self._heads = {}
        for row in connection.execute("SELECT * FROM streams"):
            stream, channel, site, life, floor, number, at, tick, chain, total = row
            head = Head(Stream(names.get(channel, ""), site, life), floor, number, at, tick, chain)
            if total != summed(*head):
                raise LogError(f"{self.path.name}: damaged: the head of stream {stream}")
            self._heads[head.stream] = stream, head
        (highest,) = connection.execute(
            "SELECT max(id) FROM (SELECT id FROM streams UNION ALL SELECT stream FROM dropped)"
        ).fetchone()
        self._next_stream, self._loaded = (highest or 0) + 1, True

    def _said(self, error: Exception) -> LogError:
        """A failure in the terms of the port."""
        if isinstance(error, LogError):
            return error
        code = getattr(error, "sqlite_errorcode", 0)
        text = f"{self.path.name}: {str(error) or type(error).__name__}".replace("\n", " ")
        if code == sqlite3.SQLITE_FULL or (code & 0xFF == sqlite3.SQLITE_IOERR and self._no_room()):
            return LogFullError(f"{self.path.name}: no room left")
        return LogError(text if isinstance(error, sqlite3.Error) else f"{text}: damaged")

    def _no_room(self) -> bool:
        """Whether the disk, or what a file may grow to here, leaves no room for a few pages more."""
        most, _ = resource.getrlimit(resource.RLIMIT_FSIZE)
        sizes = [size for _, size in self._files()]
        limited = most != resource.RLIM_INFINITY and max(sizes, default=0) + 16 * PAGE > most
        return limited or os.statvfs(self.path.parent).f_bavail < 16

    @contextlib.contextmanager
    def _change(self, makes_room: bool = False) -> Iterator[sqlite3.Connection]:
        """One transaction; what fails leaves nothing of itself."""
        connection = self._ready()
        try:
            self._limit(connection, SPARE_PAGES if makes_room else 0)
            if self._checkpoint(connection) > self._wal_room and not makes_room:
                raise LogFullError(f"{self.path.name}: no room left to take the write-ahead file over")
            connection.execute("BEGIN IMMEDIATE")
            yield connection
            connection.execute("COMMIT")
        except BaseException as error:
            self._loaded = False
            code = getattr(error, "sqlite_errorcode", 0) & 0xFF
            said = self._said(error) if isinstance(error, sqlite3.Error) else None  # before files change
            try:
                if connection.in_transaction:
                    connection.execute("ROLLBACK")
            except sqlite3.Error:
                code = sqlite3.SQLITE_IOERR
            if code == sqlite3.SQLITE_IOERR:
                self._lose()
            if said is None or isinstance(error, sqlite3.ProgrammingError):
                raise
            raise said from None

    @contextlib.contextmanager
    def _reading(self) -> Iterator[sqlite3.Connection]:
        connection = self._ready()
        try:
            yield connection
        except sqlite3.ProgrammingError:
            raise
        except (sqlite3.Error, TypeError, ValueError) as error:
            said = self._said(error)
            if getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_IOERR:
                self._lose()
            raise said from None

    # Room.

    @property
    def _wal_room(self) -> int:
        return min(max(self.most_bytes // 4, WAL_LEAST), WAL_MOST)

    def _files(self) -> list[tuple[str, int]]:
        found = []
        for name in (str(self.path), f"{self.path}-wal", f"{self.path}-shm"):
            with contextlib.suppress(FileNotFoundError):
                found.append((name, os.stat(name).st_size))
        return found

    def _wal_size(self) -> int:
        try:
            return os.stat(f"{self.path}-wal").st_size
        except FileNotFoundError:
            return 0

    def _checkpoint(self, connection: sqlite3.Connection, least: int | None = None) -> int:
        """Take the write-ahead file over into the file, once it is half of its room (or `least` bytes).

        Returns how large it is.
        """
        if (size := self._wal_size()) > (self._wal_room // 2 if least is None else least):
            try:
                connection.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchall()
            except sqlite3.OperationalError as error:
                if error.sqlite_errorcode & 0xFF not in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR):
                    raise  # else all of it stays where it is, and may be taken over later
            size = self._wal_size()
        return size

    def size_bytes(self) -> int:
        """What the store takes on disk."""
        return sum(size for _, size in self._files())

    # The port.

    def append(self, events: Sequence[Event], marks: dict[str, bytes] | None = None) -> None:
        """Keep events and marks, together. Raises ValueError if one is not the next of its stream."""
        self._ready()
        heads = advanced(events, self._head)
        with self._change() as connection:
            self._keep_heads(connection, heads.values())
            if events:
                rows = self._rows(connection, events)
                connection.executemany("INSERT INTO events VALUES (?, ?, ?, ?, ?, ?, ?)", rows)
            for name, value in (marks or {}).items():
                row = (name, value, summed(name, value))
                connection.execute("INSERT OR REPLACE INTO marks VALUES (?, ?, ?)", row)

    def _head(self, stream: Stream) -> Head | None:
        known = self._heads.get(stream)
        return known[1] if known is not None else None

    def _keep_heads(self, connection: sqlite3.Connection, heads: Iterable[Head]) -> None:
        rows: list[Row] = []
        for head in heads:
            if head.stream in self._heads:
                number = self._heads[head.stream][0]
            else:
                number, self._next_stream = self._next_stream, self._next_stream + 1
            channel = self._named(connection, "channels", self._channels, head.stream.channel)
            rows.append((number, channel, *head.stream[1:], *head[1:], summed(*head)))
            self._heads[head.stream] = number, head
        if rows:
            statement = "INSERT OR REPLACE INTO streams VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
            connection.executemany(statement, rows)

    @staticmethod
    def _named(connection: sqlite3.Connection, table: str, known: dict[str, int], name: str) -> int:
        if name not in known:
            known[name] = max(known.values(), default=0) + 1
            connection.execute(f"INSERT INTO {table} VALUES (?, ?)", (known[name], name))
        return known[name]

    def _rows(self, connection: sqlite3.Connection, events: Sequence[Event]) -> list[Row]:
        """The rows of events whose heads are kept already."""
        keys: dict[tuple[str, str, str], tuple[int, int]] = {}
        kinds, rows = self._kinds, []
        for event in events:
            name = event.channel, event.site, event.life
            if (key := keys.get(name)) is None:
                key = keys[name] = self._heads[Stream(*name)][0], self._channels[event.channel]
            if (kind := kinds.get(event.kind)) is None:
                kind = self._named(connection, "kinds", kinds, event.kind)
                self._kind_names[kind] = event.kind
            body = zlib.crc32(encoded(event)).to_bytes(SUM, "little") + event.chain + event.data
            rows.append((key[0], event.number, key[1], event.at, event.tick, kind, body))
        return rows

    def _event(self, stream: Stream, number: int, at: int, tick: int, kind: int, body: bytes) -> Event:
        """A row's event. Raises LogError if it is not the one that was kept."""
        chain, data = body[SUM : SUM + CHAIN_BYTES], body[SUM + CHAIN_BYTES :]
        event = Event(*stream, number, at, tick, self._kind_names.get(kind, ""), data, chain)
        if zlib.crc32(encoded(event)).to_bytes(SUM, "little") != body[:SUM]:
            raise LogError(f"{self.path.name}: damaged: event {event.id} of {event.channel}")
        return event

    def heads(self) -> list[Head]:
        """How far each stream goes."""
        self._ready()
        return sorted(head for _, head in self._heads.values())

    def after(self, stream: Stream, number: int, most_bytes: int) -> list[Event]:
        """A stream's events behind a number, in order, up to so many bytes as they are sent."""
        found: list[Event] = []
        with self._reading() as connection:
            key = self._heads.get(stream, (-1, None))[0]
            with contextlib.closing(connection.execute(ALONG, (key, min(number, MOST)))) as rows:
                for row in rows:
                    event = self._event(stream, *row)
                    most_bytes -= weight(event)
                    if found and most_bytes < 0:
                        break
                    found.append(event)
        return found

    def ordered(self, channel: str, since: Place | None, until_us: int, limit: int) -> list[Event]:
        """A channel's events in its order."""
        behind = since or Place(-MOST, -1, "", "", 0)
        if behind.at > MOST or until_us < -MOST:
            return []
        behind = behind._replace(tick=min(behind.tick, MOST), number=min(behind.number, MOST))
        query = """
            SELECT s.site, s.life, e.number, e.at, e.tick, e.kind, e.body
            FROM events e INDEXED BY events_by_time CROSS JOIN streams s ON s.id = e.stream
            WHERE e.channel = ? AND (e.at, e.tick) >= (?, ?) AND e.at <= ?
                AND (e.at, e.tick, s.site, s.life, e.number) > (?, ?, ?, ?, ?)
            ORDER BY e.at, e.tick, s.site, s.life, e.number LIMIT ?
        """
        with self._reading() as connection:
            key = self._channels.get(channel, -1)
            bounds = (key, behind.at, behind.tick, min(until_us, MOST), *behind, max(limit, 0))
            rows = connection.execute(query, bounds).fetchall()
            return [self._event(Stream(channel, *row[:2]), *row[2:]) for row in rows]

    def skip(self, gap: Gap) -> None:
        """Mark that a stream goes on behind a gap."""
        self._ready()
        if (found := skipped(self._head(gap.stream), gap)) is not None:
            with self._change() as connection:
                self._keep_heads(connection, [found[0]])
                self._keep_gap(connection, self._heads[gap.stream][0], found[1])

    @staticmethod
    def _keep_gap(connection: sqlite3.Connection, stream: int, gap: Gap) -> None:
        row = (stream, *gap[1:], summed(*gap))
        connection.execute("INSERT OR REPLACE INTO gaps VALUES (?, ?, ?, ?, ?)", row)

    def gaps(self, channel: str) -> list[Gap]:
        """The gaps of a channel."""
        with self._reading() as connection:
            streams = [(s, i) for s, (i, _) in sorted(self._heads.items()) if s.channel == channel]
            return [gap for stream, key in streams for gap in self._gaps(connection, stream, key)]

    def _gaps(self, connection: sqlite3.Connection, stream: Stream, key: int) -> list[Gap]:
        found = []
        query = "SELECT first, last, why, sum FROM gaps WHERE stream = ? ORDER BY first"
        for *said, total in connection.execute(query, (key,)):
            gap = Gap(stream, *said)
            if total != summed(*gap):
                raise LogError(f"{self.path.name}: damaged: a gap of stream {key}")
            found.append(gap)
        return found

    def mark(self, name: str) -> bytes | None:
        """A small value kept under a name."""
        with self._reading() as connection:
            row = connection.execute("SELECT value, sum FROM marks WHERE name = ?", (name,)).fetchone()
            if row is None:
                return None
            if row[1] != summed(name, row[0]):
                raise LogError(f"{self.path.name}: damaged: mark {name}")
            value: bytes = row[0]
            return value

    def check(self) -> None:
        """Look at the whole file and all that it keeps. Raises LogError for the first damage."""
        with self._reading() as connection:
            (said,) = connection.execute("PRAGMA integrity_check(1)").fetchone()
            if said != "ok":
                raise LogError(f"{self.path.name}: damaged: {said}".replace("\n", " "))
            for stream, (key, _) in self._heads.items():
                self._gaps(connection, stream, key)
                with contextlib.closing(connection.execute(ALONG, (key, 0))) as rows:
                    for row in rows:
                        self._event(stream, *row)

    # Retention: in transactions of a bounded size, so that the write-ahead file stays small.

    def prune(self, before_us: int, most_bytes: int, spare: Iterable[str]) -> int:
        """Retention. A failure once some events went is no failure: it returns how many."""
        spared, went = set(spare), 0
        with contextlib.suppress(LogFullError):
            self._purge()
        try:
            while count := self._prune_step(before_us, most_bytes, spared):
                went += count
        except LogError:
            if not went:
                raise
        self._shrink()
        return went

    def _prune_step(self, before_us: int, most_bytes: int, spared: set[str]) -> int:
        with self._reading() as connection:
            (pages,) = connection.execute("PRAGMA page_count").fetchone()
            (free,) = connection.execute("PRAGMA freelist_count").fetchone()
            over, count = (pages - free) * PAGE - most_bytes, 0
            least = STEP_LEAST if over > 0 else 0
            firsts: dict[Stream, int] = {}
            lasts: dict[Stream, int] = {}
            streams = [(s, key) for s, (key, _) in self._heads.items() if s.channel not in spared]
            with contextlib.ExitStack() as opened:
                cursors = [opened.enter_context(contextlib.closing(connection.cursor())) for _ in streams]
                along = [self._along(cursor, *each) for cursor, each in zip(cursors, streams, strict=True)]
                for at, stream, number, takes in heapq.merge(*along):
                    if (at >= before_us and over <= 0 and count >= least) or count >= STEP:
                        break
                    firsts.setdefault(stream, number)
                    lasts[stream] = number
                    over, count = over - takes, count + 1
        if not count:
            return 0
        with self._change(makes_room=True) as connection:
            for stream, last in lasts.items():
                key, head = self._heads[stream]
                head, gaps = pruned(head, self._gaps(connection, stream, key), firsts[stream], last)
                connection.execute("DELETE FROM events WHERE stream = ? AND number <= ?", (key, last))
                connection.execute("DELETE FROM gaps WHERE stream = ? AND last <= ?", (key, last))
                self._keep_heads(connection, [head])
                self._keep_gap(connection, key, gaps[0])
        return count

    @staticmethod
    def _along(cursor: sqlite3.Cursor, stream: Stream, key: int) -> Iterator[tuple[int, Stream, int, int]]:
        query = "SELECT at, number, length(body) FROM events WHERE stream = ? ORDER BY number"
        for at, number, size in cursor.execute(query, (key,)):
            yield at, stream, number, EACH + size

    def _shrink(self) -> None:
        """Give free pages back to the disk; what fails of it is done another time."""
        with contextlib.suppress(LogError), self._reading() as connection:
            while connection.execute("PRAGMA freelist_count").fetchone()[0]:
                connection.execute(f"PRAGMA incremental_vacuum({VACUUM})").fetchall()
                self._checkpoint(connection)
            self._checkpoint(connection, 0)

    def drop(self, channel: str, stream: Stream | None = None) -> None:
        """Forget a channel, or one stream of it: it is forgotten at once, its room is free a little later."""
        self._ready()
        going = [s for s in self._heads if s.channel == channel and stream in (None, s)]
        if not going:
            return
        with self._change(makes_room=True) as connection:
            for each in going:
                key, _ = self._heads.pop(each)
                connection.execute("DELETE FROM streams WHERE id = ?", (key,))
                connection.execute("DELETE FROM gaps WHERE stream = ?", (key,))
                connection.execute("INSERT INTO dropped VALUES (?)", (key,))
        with contextlib.suppress(LogError):
            self._purge()

    def _purge(self) -> None:
        """Delete the events of forgotten streams."""
        with self._reading() as connection:
            going = [key for (key,) in connection.execute("SELECT stream FROM dropped")]
        for key in going:
            more = True
            while more:
                with self._change(makes_room=True) as connection:
                    query = "SELECT number FROM events WHERE stream = ? ORDER BY number LIMIT 1 OFFSET ?"
                    row = connection.execute(query, (key, STEP)).fetchone()
                    last, more = (row[0], True) if row is not None else (MOST, False)
                    connection.execute("DELETE FROM events WHERE stream = ? AND number <= ?", (key, last))
                    if not more:
                        connection.execute("DELETE FROM dropped WHERE stream = ?", (key,))
        if going:
            self._shrink()
