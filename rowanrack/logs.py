"""Sets up the program's log: plain lines, or JSON."""

from __future__ import annotations

import logging
import sys

PLAIN_FORMAT = "%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s"
FORMATS = ("plain", "json")


def set_up_logging(log_format: str = "plain") -> None:
    """Write the log to standard error in one of FORMATS.

    JSON lines have `timestamp` (UTC), `level`, `logger`, `event` and, for an exception, `exception`.
    """
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        import structlog  # loaded only if used: a sender may be limited to 32 MB

        handler.setFormatter(
            structlog.stdlib.ProcessorFormatter(
                foreign_pre_chain=[
                    structlog.stdlib.add_log_level,
                    structlog.stdlib.add_logger_name,
                    structlog.processors.TimeStamper(fmt="iso", utc=True),
                ],
                processors=[
                    structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                    structlog.processors.format_exc_info,
                    structlog.processors.JSONRenderer(sort_keys=True),
                ],
            )
        )
    else:
        handler.setFormatter(logging.Formatter(PLAIN_FORMAT, "%H:%M:%S"))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
