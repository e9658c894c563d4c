"""Divides the memory of a sender among clients' connections, their input and everything else. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

CONNECTION_BYTES = 10_000  # of a client's connection that sends nothing
# Parts of the memory that the process has left after its start. The rest is for messages, the journal and
# calls to endpoints.
CONNECTION_SHARE = 0.45
INPUT_SHARE = 0.12
KNOWN_MESSAGE_SHARE = 0.18
KNOWN_MESSAGE_BYTES = 600  # of a message that has ended, whose end is kept for repeated submissions
MIN_CONNECTIONS = 32
MIN_KNOWN_MESSAGES = 1000
MIN_INPUT_BYTES = 512 * 1024  # several of the largest requests of the platform


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What clients may take: connections, bytes of incomplete requests, and ids that are remembered."""

    connections: int
    input_bytes: int
    known_messages: int

    @classmethod
    def of(cls, limit_bytes: int, used_bytes: int, processes: int = 1) -> MemoryPlan:
        """Divide a limit of which each process has used this much before its first client.

        During a hot restart two processes share the limit.
        """
        left_bytes = max(0, limit_bytes - processes * used_bytes) // processes
        return cls(
            max(MIN_CONNECTIONS, int(left_bytes * CONNECTION_SHARE) // CONNECTION_BYTES),
            max(MIN_INPUT_BYTES, int(left_bytes * INPUT_SHARE)),
            max(MIN_KNOWN_MESSAGES, int(left_bytes * KNOWN_MESSAGE_SHARE) // KNOWN_MESSAGE_BYTES),
        )
