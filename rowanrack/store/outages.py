"""Outages on disk: what a sender knows of endpoints that are out or cold, for the process after it.

Times are those of the monotonic clock, which goes on over a restart of the process. What was written too long
ago, or by a clock that began anew with the machine, is not believed.
"""

from __future__ import annotations

import json
import logging
from pathlib import Path

from rowanrack.store.whole_file import replace
from rowanspindle import Outage

log = logging.getLogger(__name__)

FILE = "outages.json"
MOST = 512  # outages that are kept, the latest: some 40 KiB
REFRESH_US = 2_000_000  # between writes while nothing changes: they show until when this was known


class OutageFile:
    """The outages in the folder that lasts."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / FILE
        self._written: tuple[Outage, ...] = ()
        self._written_us = 0
        self._failing = False

    def read(self, now_us: int, believed_us: int) -> tuple[Outage, ...]:
        """The outages that were known at most so long ago; none if the file says nothing that can be read."""
        try:
            document = json.loads(self.path.read_bytes())
            known_us = document["known_us"]
            rows = document["outages"]
            outages = tuple(Outage(str(target), int(struck), back) for target, struck, back in rows)
            if not all(isinstance(outage.back_at, int | None) for outage in outages):
                raise ValueError("a time is no whole number")
            known = 0 <= now_us - int(known_us) <= believed_us
        except FileNotFoundError:
            return ()
        except (OSError, ValueError, TypeError, KeyError, RecursionError) as error:
            log.warning("%s: not read, outages from before are found anew: %s", self.path.name, error)
            return ()
        return outages if known else ()

    def keep(self, outages: tuple[Outage, ...], now_us: int) -> None:
        """Write the outages if they have changed, or now and then. What fails is tried again."""
        outages = outages[-MOST:]
        stale = bool(outages) and now_us - self._written_us >= REFRESH_US
        if outages == self._written and not stale:
            return
        rows = [[outage.target, outage.began_at, outage.back_at] for outage in outages]
        try:
            replace(self.path, json.dumps({"known_us": now_us, "outages": rows}))
        except OSError as error:
            if not self._failing:
                log.warning("%s: not written, a restart would forget outages: %s", self.path.name, error)
            self._failing = True
            return
        self._written, self._written_us, self._failing = outages, now_us, False
