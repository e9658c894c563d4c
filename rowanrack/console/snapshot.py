"""Builds the console's snapshot of queues, windows and waits as plain values, without changing any state."""

from __future__ import annotations

from typing import Any

from rowanrack.core.exchange import Exchange
from rowanspindle.endpoint import Endpoint
from rowanspindle.shared_knowledge import Destination


def endpoint_state(endpoint: Endpoint, now_us: int) -> str:
    """Return the state of an endpoint as a short text."""
    if not endpoint.listed:
        return "draining"
    if endpoint.out_since is not None:
        return "outage"
    if endpoint.ramp_from is not None and now_us - endpoint.ramp_from < endpoint.settings.ramp_us:
        return "slow start"
    return "open"


def destination_row(dest: int, destination: Destination, now_us: int) -> dict[str, Any]:
    """Build the row of a destination with its endpoints."""
    shared_limit = destination.shared_limit
    return {
        "dest": dest,
        "held": len(destination.held),
        "oldest_s": max(0, now_us - destination.held.oldest_accepted_at) / 1e6 if destination.held else 0.0,
        "wait_s": max(0, shared_limit.opens_at - now_us) / 1e6 if shared_limit is not None else 0.0,
        "window": shared_limit.window.size if shared_limit is not None else 0.0,
        "out": len(shared_limit.calls) if shared_limit is not None else 0,
        "rate": shared_limit.rate if shared_limit is not None else 0.0,
        "pace": shared_limit.pace if shared_limit is not None else None,
        "instances": [
            {
                "name": endpoint.target,
                "state": endpoint_state(endpoint, now_us),
                "window": endpoint.window.size,
                "out": len(endpoint.calls),
                "usual_ms": endpoint.answer_time.mean / 1000,
            }
            for endpoint in destination.endpoints.values()
        ],
    }


def snapshot(name: str, exchange: Exchange) -> dict[str, Any]:
    """Build the snapshot of the sender at this moment."""
    now_us, forwarder = exchange.clock.now_us(), exchange.forwarder
    return {
        "name": name,
        "owed": len(exchange.messages),
        "most_held": exchange.settings.most_held,
        "out": len(forwarder.calls),
        "slots": exchange.settings.slots,
        "ends": {ending.value: count for ending, count in exchange.counts.items()},
        "destinations": [destination_row(n, d, now_us) for n, d in sorted(forwarder.destinations.items())],
    }
