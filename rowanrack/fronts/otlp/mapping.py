"""How an export request becomes a message: class, tenant, destination and id, as the operator's file says."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rowanrack.core.messages import HEADER_SAFE, Message
from rowanrack.fronts.otlp import FRONT, OtlpError
from rowanspindle import Effect, Settings

ID_MOST = 256


@dataclass(frozen=True, slots=True)
class Source:
    """Where one value comes from: a header first, then a resource attribute, then a default."""

    header: str = ""
    attribute: str = ""
    default: str = ""

    def find(self, headers: Mapping[str, str], attributes: Mapping[str, set[str]]) -> str:
        """The value, or '' if there is none. A request is one message, so its resources must agree."""
        if self.header and (value := headers.get(self.header.lower())):
            return value
        values = attributes.get(self.attribute, set())
        if len(values) > 1:
            raise OtlpError(400, f"the resources differ in {self.attribute}")
        return next(iter(values), self.default)


@dataclass(frozen=True, slots=True)
class RequestMap:
    """The operator's mapping."""

    cls: Source
    tenant: Source
    destination: Source
    id: Source = field(default_factory=Source)
    left_ms: Source = field(default_factory=Source)
    key: Source = field(default_factory=Source)
    destinations: Mapping[str, int] = field(default_factory=dict)

    def message(
        self,
        settings: Settings,
        headers: Mapping[str, str],
        pairs: Iterable[tuple[str, str]],
        body: bytes,
        form: str,
        now_unix_us: int,
    ) -> Message:
        """The message that a request stands for. Raises OtlpError if the mapping finds none."""
        attributes: dict[str, set[str]] = {}
        for name, value in pairs:
            attributes.setdefault(name, set()).add(value)
        cls = self.cls.find(headers, attributes)
        if cls not in settings.classes:
            raise OtlpError(400, f"unknown class {cls[:32]!r}")
        tenant = self.tenant.find(headers, attributes)
        if tenant and settings.tenants and tenant not in settings.tenants:
            raise OtlpError(400, f"unknown tenant {tenant[:32]!r}")
        named = self.destination.find(headers, attributes)
        dest = self.destinations.get(named, int(named) if named.isascii() and named.isdigit() else -1)
        if not 0 <= dest < 1 << 62:
            raise OtlpError(400, f"unknown destination {named[:32]!r}")
        left = self.left_ms.find(headers, attributes)
        if left and not (left.isascii() and left.isdigit() and len(left) < 9):
            raise OtlpError(400, "the time left must be milliseconds")
        left_us = min(int(left) * 1000 if left else NO_LIMIT, settings.classes[cls].deadline_us)
        message_id = self.id.find(headers, attributes) or digest(tenant, body)
        if len(message_id) > ID_MOST or not message_id.isprintable():
            raise OtlpError(400, "bad id")
        key = self.key.find(headers, attributes)
        if not key and settings.classes[cls].effect is Effect.KEYED:
            # The same request is the same message, and its repeat the one to be dropped.
            key = message_id if HEADER_SAFE.fullmatch(message_id) else digest(tenant, message_id.encode())
        if key and not HEADER_SAFE.fullmatch(key):
            raise OtlpError(400, "bad key")
        return Message(message_id, cls, tenant, dest, now_unix_us + left_us, body, FRONT, form, key)


NO_LIMIT = 1 << 62


def digest(tenant: str, body: bytes) -> str:
    """The id of a request that names none: the same tenant and body are the same message."""
    return hashlib.sha256(tenant.encode() + b"\0" + body).hexdigest()[:32]
