"""Maps an export request to a message: its class, tenant, destination and id, as the site file configures."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from rowanrack.core.messages import HEADER_SAFE, Message
from rowanrack.fronts.otlp import FRONT_NAME, OtlpError
from rowanspindle import Effect, Settings

MAX_ID_LENGTH, DERIVED_ID_LENGTH = 256, 32


@dataclass(frozen=True, slots=True)
class ValueSource:
    """Where a value is looked up: a request header, then a resource attribute, then a default."""

    header: str = ""
    attribute: str = ""
    default: str = ""

    def find(self, headers: Mapping[str, str], attributes: Mapping[str, set[str]]) -> str:
        """Return the value, or '' if there is none.

        A request is one message, so all its resources must have the same value; else OtlpError is raised.
        """
        if self.header and (value := headers.get(self.header.lower())):
            return value
        values = attributes.get(self.attribute, set())
        if len(values) > 1:
            raise OtlpError(400, f"the resources differ in {self.attribute}")
        return next(iter(values), self.default)


@dataclass(frozen=True, slots=True)
class RequestMap:
    """The configured lookup of each message field."""

    cls: ValueSource
    tenant: ValueSource
    destination: ValueSource
    id: ValueSource = field(default_factory=ValueSource)
    left_ms: ValueSource = field(default_factory=ValueSource)
    key: ValueSource = field(default_factory=ValueSource)
    destinations: Mapping[str, int] = field(default_factory=dict)

    def build_message(
        self,
        settings: Settings,
        headers: Mapping[str, str],
        attribute_pairs: Iterable[tuple[str, str]],
        body: bytes,
        form: str,
        now_unix_us: int,
    ) -> Message:
        """Build the message for a request. Raises OtlpError if a value is missing or invalid."""
        attributes: dict[str, set[str]] = {}
        for name, value in attribute_pairs:
            attributes.setdefault(name, set()).add(value)
        cls = self.cls.find(headers, attributes)
        if cls not in settings.classes:
            raise OtlpError(400, f"unknown class {cls[:32]!r}")
        tenant = self.tenant.find(headers, attributes)
        if tenant and settings.tenants and tenant not in settings.tenants:
            raise OtlpError(400, f"unknown tenant {tenant[:32]!r}")
        destination_name = self.destination.find(headers, attributes)
        dest = self.destinations.get(
            destination_name,
            int(destination_name) if destination_name.isascii() and destination_name.isdigit() else -1,
        )
        if not 0 <= dest < 1 << 62:
            raise OtlpError(400, f"unknown destination {destination_name[:32]!r}")
        left_ms_text = self.left_ms.find(headers, attributes)
        if left_ms_text and not (left_ms_text.isascii() and left_ms_text.isdigit() and len(left_ms_text) < 9):
            raise OtlpError(400, "the time left must be milliseconds")
        left_us = min(
            int(left_ms_text) * 1000 if left_ms_text else NO_DEADLINE_US, settings.classes[cls].deadline_us
        )
        message_id = self.id.find(headers, attributes) or derive_id(cls, tenant, dest, body)
        if len(message_id) > MAX_ID_LENGTH or not message_id.isprintable():
            raise OtlpError(400, "bad id")
        key = self.key.find(headers, attributes)
        if not key and settings.classes[cls].effect is Effect.KEYED:
            # A repeated request has the same id, so the destination can drop it as a duplicate.
            key = message_id if HEADER_SAFE.fullmatch(message_id) else derive_key(tenant, message_id)
        if key and not HEADER_SAFE.fullmatch(key):
            raise OtlpError(400, "bad key")
        return Message(message_id, cls, tenant, dest, now_unix_us + left_us, body, FRONT_NAME, form, key)


NO_DEADLINE_US = 1 << 62


def derive_id(cls: str, tenant: str, dest: int, body: bytes) -> str:
    """Derive an id for a request without one, so that requests that agree in all of these are one message."""
    fields = f"{cls}\0{tenant}\0{dest}\0".encode()
    return hashlib.sha256(fields + body).hexdigest()[:DERIVED_ID_LENGTH]


def derive_key(tenant: str, message_id: str) -> str:
    """Derive an idempotency key from an id that cannot be sent as a header value."""
    return former_id(tenant, message_id.encode())


def former_id(tenant: str, body: bytes) -> str:
    """Return the id that releases before this one derived for a request without an id."""
    return hashlib.sha256(tenant.encode() + b"\0" + body).hexdigest()[:DERIVED_ID_LENGTH]


def with_former_id(message: Message) -> Message | None:
    """Return a message as the release before derived its id, or None if its client has given the id."""
    if message.id != derive_id(message.cls, message.tenant, message.dest, message.body):
        return None
    return replace(message, id=former_id(message.tenant, message.body))
