"""Detached endpoints on disk: the bans outlast the process; both processes of a hot restart share them."""

from __future__ import annotations

import json
import logging
from pathlib import Path

from rowanrack.store.whole_file import Stamp, replace, stamp_of

log = logging.getLogger(__name__)

FILE = "detached.json"
UNREAD: Stamp = (-1, -1, -1)


class BanFile:
    """The set of detached endpoints in the folder that lasts; written whole, read when it has changed."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE
        self._seen: Stamp | None = UNREAD
        self._failing = False  # the last look could not read it

    def _stamp(self) -> Stamp | None:
        """What tells one version of the file from another, however soon it follows; None if there is none."""
        try:
            return stamp_of(self.path)
        except FileNotFoundError:
            return None

    def changed(self) -> set[str] | None:
        """The bans as they stand, if the file has changed since it was last read or written here."""
        try:
            if (stamp := self._stamp()) == self._seen:
                return None
            raw = b"[]" if stamp is None else self.path.read_bytes()
        except OSError as error:
            # Not seen: the next look tries again. Guards against bans that a process short of descriptors
            # would not heed until somebody changes them.
            if not self._failing:
                log.error("%s: not read yet, the bans stay as they were: %s", self.path.name, error)
            self._failing = True
            return None
        self._seen, self._failing = stamp, False
        try:
            names = json.loads(raw.decode("utf-8"))
            if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
                raise ValueError("not a list of names")
        except (ValueError, RecursionError) as error:
            log.error("%s: not read, the bans stay as they were: %s", self.path.name, error)
            return None
        return set(names)

    def write(self, bans: set[str]) -> None:
        """Replace the file at once: a reader sees the old set or the new one. Raises OSError: the old one."""
        self._seen = replace(self.path, json.dumps(sorted(bans)))
