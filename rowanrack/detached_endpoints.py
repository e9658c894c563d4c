"""The endpoints that operators have detached: in force at once, and on disk for other processes."""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

from rowanrack.core.exchange import Exchange
from rowanrack.fronts.mgmt.calls import NotWrittenError
from rowanrack.store.bans import DetachedEndpointFile

log = logging.getLogger(__name__)


class DetachedEndpoints:
    """Keeps the bans of the exchange and those in the state folder the same."""

    def __init__(self, exchange: Exchange, folder: Path) -> None:
        self._exchange, self._file = exchange, DetachedEndpointFile(folder)
        # Changes in force but not on disk yet: True for a ban, False for a lifted one.
        self.unwritten: dict[str, bool] = {}

    def change(self, name: str, banned: bool, notify: Callable[[str, bool], None] | None = None) -> bool:
        """Change a ban, and write the bans; return False if the endpoint is unknown, or was not detached.

        The bans on disk are read first. Raises NotWrittenError if they cannot be written: the change is in
        force all the same, and is written once there is room.
        """
        self.read()
        if not (self._exchange.detach if banned else self._exchange.attach)(name):
            return False
        log.info("mgmt: %s is %s", name, "detached" if banned else "attached again")
        if notify is not None:
            notify(name, banned)
        self.unwritten[name] = banned
        if reason := self._write():
            log.error(
                "mgmt: cannot write the list of detached endpoints, will retry; it is in force: %s", reason
            )
            raise NotWrittenError(reason)
        return True

    def apply_fleet(self, named: set[str], detached: set[str]) -> None:
        """Apply the detachments and attachments of the whole fleet to all endpoints that it names."""
        for name in sorted(named):
            if (banned := name in detached) is (name in self._exchange.bans):
                continue
            (self._exchange.ban if banned else self._exchange.attach)(name)
            self.unwritten[name] = banned
            log.info("channels: %s is %s by an operator", name, "detached" if banned else "attached again")
        if self.unwritten and (reason := self._write()):
            log.error("channels: cannot write the list of detached endpoints, will retry: %s", reason)

    def read(self) -> None:
        """Apply the bans from the file if the other process has changed it."""
        if (bans := self._file.changed()) is None:
            return
        for name, banned in self.unwritten.items():
            (bans.add if banned else bans.discard)(name)
        for name in sorted(self._exchange.bans - bans):
            self._exchange.attach(name)
        for name in sorted(bans - self._exchange.bans):
            self._exchange.ban(name)

    def write_unwritten(self) -> None:
        """Try again to write changes that could not be written."""
        if self.unwritten and not self._write():
            log.info("mgmt: the list of detached endpoints has been written")

    def _write(self) -> str:
        """Write the bans; return the reason if that failed, or an empty string."""
        try:
            self._file.write(self._exchange.bans)
        except OSError as error:
            return error.strerror or str(error)
        self.unwritten.clear()
        return ""
