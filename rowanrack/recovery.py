"""Takes over messages that the previous process, or the other one at a hot restart, left unanswered."""

from __future__ import annotations

from collections.abc import Iterable

from rowanrack.core.exchange import Exchange
from rowanrack.core.messages import Message
from rowanrack.fronts.otlp import FRONT_NAME as OTLP
from rowanrack.net.answer_finder import CallProtocol


def own_recovered(exchange: Exchange, forms: dict[str, CallProtocol], recovered: Iterable[Message]) -> None:
    """Own all these messages.

    A message from an OTLP front end that is no longer configured is still delivered, in the OTLP format.
    """
    for message in recovered:
        if message.front == OTLP and OTLP not in forms:
            from rowanrack.fronts.otlp.calls import OtlpCallProtocol  # loads protobuf only if used

            forms[OTLP] = OtlpCallProtocol()
        exchange.adopt(message, served=message.front in forms, recovered=True)
