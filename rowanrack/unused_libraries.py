"""Keeps OpenSSL out of a sender's memory.

The standard library loads it on the import of asyncio and hashlib, and works without it: asyncio then has no
TLS, which no sender uses, and hashlib takes its own implementations. It takes 4 MB, and a sender may be
limited to 32 MB.
"""

from __future__ import annotations

import sys
from types import ModuleType

OPENSSL_MODULES = ("_ssl", "ssl", "_hashlib")


def block_unused_libraries() -> None:
    """Make imports of OpenSSL's modules fail; called before anything else is imported."""
    modules: dict[str, ModuleType | None] = sys.modules  # type: ignore[assignment]  # None blocks an import
    for name in OPENSSL_MODULES:
        modules.setdefault(name, None)
