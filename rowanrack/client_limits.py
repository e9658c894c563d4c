"""Keeps the clients of all fronts within the descriptors and the memory of the sender."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass

from rowanrack.fronts.mgmt.server import MAX_CONNECTIONS as MAX_MANAGEMENT_CONNECTIONS
from rowanrack.load.memory_plan import MemoryPlan
from rowanrack.net.input_memory import InputMemory
from rowanrack.net.listener import Listener
from rowanrack.net.process_memory import memory_bytes
from rowanrack.store.journal import Journal

log = logging.getLogger(__name__)

# Descriptors for the journal, the ports, discovery, the console, and connections that are being closed.
RESERVED_DESCRIPTOR_COUNT = 40
MANAGEMENT_DIVISOR = 16  # part of all descriptors that operators' connections may take
MIN_CONNECTIONS = 16  # of one front


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The division of the descriptor limit."""

    idle: int  # idle connections to endpoints
    clients: int
    management: int  # connections of operators

    @classmethod
    def of(cls, sockets: int, slots: int, has_management: bool = True) -> DescriptorBudget:
        """Divide the limit: at most a third for clients' requests, beside silent and idle clients."""
        management = min(MAX_MANAGEMENT_CONNECTIONS, sockets // MANAGEMENT_DIVISOR) if has_management else 0
        available = sockets - RESERVED_DESCRIPTOR_COUNT - slots - management
        idle = max(8, min(3 * slots, (available - sockets // 3) // 2))
        return cls(idle, available - idle, max(1, management))


class ClientLimits:
    """The limits of the fronts' listeners, of the input that all clients hold, and of remembered ids."""

    def __init__(
        self, limit_bytes: int, descriptors: int, input_memory: InputMemory, journal: Journal
    ) -> None:
        self._limit_bytes, self._descriptors = limit_bytes, descriptors
        self._input_memory, self._journal = input_memory, journal
        self._used_at_start_bytes = 0
        self._processes = 0  # that share the memory

    def start(self, fronts: Sequence[Listener], processes: int) -> None:
        """Set the limits before the first client connects, from the memory that is in use by then."""
        self._used_at_start_bytes = memory_bytes()
        plan = self.set_processes(fronts, processes)
        log.info(
            "memory: %.1f of %.0f MB in use after the start; "
            "clients: %d connections, %d KiB of requests, %d remembered ids",
            self._used_at_start_bytes / 1e6,
            self._limit_bytes / 1e6,
            sum(front.max_connections for front in fronts),
            plan.input_bytes // 1024,
            plan.known_messages,
        )

    def set_processes(self, fronts: Sequence[Listener], processes: int) -> MemoryPlan:
        """Set the limits for the number of processes that share the memory, two during a hot restart."""
        plan = MemoryPlan.of(self._limit_bytes, self._used_at_start_bytes, processes)
        if processes != self._processes:
            self._processes = processes
            self._input_memory.limit_bytes = plan.input_bytes
            self._journal.max_known = plan.known_messages
            connections = min(self._descriptors, plan.connections)
            for front in fronts:
                front.max_connections = max(MIN_CONNECTIONS, connections // len(fronts))
        return plan
