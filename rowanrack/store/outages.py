"""Outages on disk: what a sender knows of endpoints in an outage or slow start, for the next process.

Times are read from the monotonic clock, which continues across a restart of the process. A file is ignored if
it is too old, or if it was written before the machine rebooted and the clock started again.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from rowanrack.store.atomic_file import FileVersion, file_version, replace_file
from rowanspindle import Outage

log = logging.getLogger(__name__)

FILE_NAME = "outages.json"
MAX_OUTAGE_COUNT = 512  # only the latest outages are kept; the file is then about 40 KiB
REWRITE_INTERVAL_US = 2_000_000  # while nothing changes, the file is rewritten to update its time


class OutageFile:
    """The outages in the state folder."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE_NAME
        self._written_outages: tuple[Outage, ...] = ()
        self._written_at_us = 0
        self._reported_failure = False
        self._known_version: FileVersion | None = None  # of the last read or write here

    def read_if_changed(self, now_us: int, max_age_us: int) -> tuple[Outage, ...]:
        """Return the recorded outages if another process has written them since the last read or write."""
        try:
            version = file_version(self.path)
        except OSError:
            return ()
        if version == self._known_version:
            return ()
        self._known_version = version
        return self.read(now_us, max_age_us)

    def read(self, now_us: int, max_age_us: int) -> tuple[Outage, ...]:
        """Return the recorded outages; none if the file is older than `max_age_us`, missing or invalid."""
        try:
            document = json.loads(self.path.read_bytes())
            recorded_at_us = document["known_us"]
            rows = document["outages"]
            outages = tuple(Outage(str(target), int(began_at), back_at) for target, began_at, back_at in rows)
            if not all(isinstance(outage.back_at, int | None) for outage in outages):
                raise ValueError("a time is not an integer")
            recent = 0 <= now_us - int(recorded_at_us) <= max_age_us
        except FileNotFoundError:
            return ()
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as error:
            log.warning(
                "%s: cannot be read, starting without the recorded outages: %s", self.path.name, error
            )
            return ()
        return outages if recent else ()

    def write_if_changed(self, outages: tuple[Outage, ...], now_us: int) -> None:
        """Write the outages if they changed or the last write is too old. A failed write is retried later."""
        outages = outages[-MAX_OUTAGE_COUNT:]
        rewrite_due = bool(outages) and now_us - self._written_at_us >= REWRITE_INTERVAL_US
        if outages == self._written_outages and not rewrite_due:
            return
        rows = [[outage.target, outage.began_at, outage.back_at] for outage in outages]
        try:
            self._known_version = replace_file(self.path, json.dumps({"known_us": now_us, "outages": rows}))
        except OSError as error:
            if not self._reported_failure:
                log.warning(
                    "%s: cannot be written, a restart would lose the outages: %s", self.path.name, error
                )
            self._reported_failure = True
            return
        self._written_outages, self._written_at_us, self._reported_failure = outages, now_us, False
