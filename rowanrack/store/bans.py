"""The set of detached endpoints (bans) on disk.

It survives a restart, and both processes of a hot restart share it.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from rowanrack.store.atomic_file import FileVersion, file_version, replace_file

log = logging.getLogger(__name__)

FILE_NAME = "detached.json"
NEVER_READ: FileVersion = (-1, -1, -1)


class DetachedEndpointFile:
    """The set of detached endpoints in the state folder; it is read again when another process changes it."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self._known_version: FileVersion | None = NEVER_READ
        self._reported_failure = False  # the last read failed, and that was logged

    def _current_version(self) -> FileVersion | None:
        """Return the version of the file, or None if it does not exist."""
        try:
            return file_version(self.path)
        except FileNotFoundError:
            return None

    def changed(self) -> set[str] | None:
        """Return the detached endpoints if the file changed since the last read or write here, else None."""
        try:
            if (version := self._current_version()) == self._known_version:
                return None
            raw = b"[]" if version is None else self.path.read_bytes()
        except OSError as error:
            # The version is not recorded as known, so the next call reads the file again. Otherwise a process
            # that ran out of descriptors would ignore the set until the next change.
            if not self._reported_failure:
                log.error("%s: cannot be read, detached endpoints stay unchanged: %s", self.path.name, error)
            self._reported_failure = True
            return None
        self._known_version, self._reported_failure = version, False
        try:
            names = json.loads(raw.decode("utf-8"))
            if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
                raise ValueError("expected a list of endpoint names")
        except (ValueError, RecursionError) as error:
            log.error("%s: invalid content, detached endpoints stay unchanged: %s", self.path.name, error)
            return None
        return set(names)

    def write(self, bans: set[str]) -> None:
        """Replace the set atomically. Raises OSError; the old set then stays."""
        self._known_version = replace_file(self.path, json.dumps(sorted(bans)))
