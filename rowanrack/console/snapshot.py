"""What the console shows: queues, windows and waits, as plain values. Reading changes nothing."""

from __future__ import annotations

from typing import Any

from rowanrack.core.exchange import Exchange
from rowanspindle.logic import Destination, Endpoint


def endpoint_state(endpoint: Endpoint, now: int) -> str:
    """One word for an instance's state."""
    if not endpoint.listed:
        return "draining"
    if endpoint.out_since is not None:
        return "outage"
    if endpoint.ramp_from is not None and now - endpoint.ramp_from < endpoint.settings.ramp_us:
        return "slow start"
    return "open"


def destination_row(number: int, destination: Destination, now: int) -> dict[str, Any]:
    """One destination with its instances."""
    gate = destination.shared_limit
    return {
        "dest": number,
        "held": len(destination.held),
        "oldest_s": max(0, now - destination.held.since) / 1e6 if destination.held else 0.0,
        "wait_s": max(0, gate.opens_at - now) / 1e6 if gate is not None else 0.0,
        "window": gate.window.size if gate is not None else 0.0,
        "out": len(gate.calls) if gate is not None else 0,
        "rate": gate.weight if gate is not None else 0.0,
        "pace": gate.pace if gate is not None else None,
        "instances": [
            {
                "name": e.target,
                "state": endpoint_state(e, now),
                "window": e.window.size,
                "out": len(e.calls),
                "usual_ms": e.usual.mean / 1000,
            }
            for e in destination.endpoints.values()
        ],
    }


def snapshot(name: str, exchange: Exchange) -> dict[str, Any]:
    """The whole view at this moment."""
    now, forwarder = exchange.clock.now_us(), exchange.forwarder
    return {
        "name": name,
        "owed": len(exchange.messages),
        "most_held": exchange.settings.most_held,
        "out": len(forwarder.calls),
        "slots": exchange.settings.slots,
        "ends": {ending.value: count for ending, count in exchange.counts.items()},
        "destinations": [destination_row(n, d, now) for n, d in sorted(forwarder.destinations.items())],
    }
