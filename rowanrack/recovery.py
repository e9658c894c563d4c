"""Owed messages that a process finds: those of the one before it, or of the other one at a hot restart."""

from __future__ import annotations

from collections.abc import Iterable

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Message
from rowanrack.fronts.otlp import FRONT as OTLP
from rowanrack.net.pool import CallForm


def own(exchange: Exchange, forms: dict[str, CallForm], found: Iterable[Message]) -> None:
    """Own them all. What came by a front that is not set up any more is still called out in its form."""
    for message in found:
        if message.front == OTLP and OTLP not in forms:
            from rowanrack.fronts.otlp.calls import OtlpForm  # protobuf: only where it is needed

            forms[OTLP] = OtlpForm()
        exchange.adopt(message, served=message.front in forms, found=True)
