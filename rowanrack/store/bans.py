"""Detached endpoints on disk: the bans outlast the process; both processes of a hot restart share them."""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path

log = logging.getLogger(__name__)

FILE = "detached.json"


class BanFile:
    """The set of detached endpoints in the folder that lasts; written whole, read when it has changed."""

    def __init__(self, folder: Path) -> None:
        self.path, self._seen = folder / FILE, -1

    def changed(self) -> set[str] | None:
        """The bans as they stand, if the file has changed since it was last read or written here."""
        try:
            stamp = self.path.stat().st_mtime_ns
        except FileNotFoundError:
            stamp = 0
        if stamp == self._seen:
            return None
        self._seen = stamp
        if not stamp:
            return set()
        try:
            names = json.loads(self.path.read_text(encoding="utf-8"))
        except (OSError, ValueError) as error:
            log.error("%s: not read, the bans stay as they were: %s", self.path.name, error)
            return None
        return {n for n in names if isinstance(n, str)} if isinstance(names, list) else None

    def write(self, bans: set[str]) -> None:
        """Replace the file at once: a reader sees the old set or the new one. Raises OSError: the old one."""
        fresh = self.path.with_suffix(f".{os.getpid()}.new")
        try:
            fresh.write_text(json.dumps(sorted(bans)), encoding="utf-8")
            os.replace(fresh, self.path)
        except OSError:
            fresh.unlink(missing_ok=True)
            raise
        self._seen = self.path.stat().st_mtime_ns
