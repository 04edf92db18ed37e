"""Divides a dispatcher's memory limit among what other parties make its processes hold. All sizes are bytes.

A process needs some memory before it serves anyone. What the limit leaves beyond that, the working memory, is
divided by fixed fractions. During an upgrade two processes share the limit: where an upgrade is possible, a
process that runs alone keeps free what a second one needs.
"""

from __future__ import annotations

from dataclasses import dataclass

# Fractions of the working memory. The rest covers fragmentation and values that exist for one event only.
LIST_FRACTION = 0.45
CLIENT_FRACTION = 0.21
REQUEST_FRACTION = 0.08
MESSAGE_FRACTION = 0.08
CALL_FRACTION = 0.06
SESSION_FRACTION = 0.02
MIN_SESSIONS = 16
REQUIRED_WORKING_BYTES = 16_000_000  # of all processes together; the limit is too low if it leaves less
MIN_WORKING_BYTES = 2_000_000  # planned even if the limit leaves less, so that a process can serve at all

CLIENT_BYTES = 12_288  # a client's connection with a small request and unread replies
CALL_BYTES = 32_768  # a call in flight with the largest head of a response
MESSAGE_BYTES = 2_048  # a held message, besides its body
BODY_COPIES = 2  # of a held message: its own, and the one that a call writes
SESSION_BYTES = 8_192  # a TLS session with the certificates of its partner
LISTED_ENDPOINT_BYTES = 2_000  # one endpoint of the list, with what is learned of it, and its row on arrival
INSTANCE_BYTES = 2_000  # one instance of a fleet's view, and its row on arrival
MIN_INSTANCES = 1_000  # of a view; without a complete one an instance owns no partition


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What one process may hold. `working` is the memory that the limit leaves to it."""

    working: int
    required: int  # the lowest limit that leaves the least working memory to each process
    upgrade_fits: bool  # the limit leaves room for a second process

    @property
    def max_clients(self) -> int:
        """The number of clients' connections."""
        return max(1, int(self.working * CLIENT_FRACTION) // CLIENT_BYTES)

    @property
    def request_bytes(self) -> int:
        """The bytes of all incomplete requests of clients together, beyond the first bytes of each."""
        return int(self.working * REQUEST_FRACTION)

    @property
    def message_bytes(self) -> int:
        """The bytes of all held messages together."""
        return int(self.working * MESSAGE_FRACTION)

    @property
    def max_calls(self) -> int:
        """The number of calls in flight."""
        return max(1, int(self.working * CALL_FRACTION) // CALL_BYTES)

    @property
    def max_sessions(self) -> int:
        """The number of TLS sessions that are kept to be resumed."""
        return max(MIN_SESSIONS, int(self.working * SESSION_FRACTION) // SESSION_BYTES)

    @property
    def max_endpoints(self) -> int:
        """The number of listed endpoints."""
        return max(1, int(self.working * LIST_FRACTION) // LISTED_ENDPOINT_BYTES)

    @property
    def max_instances(self) -> int:
        """The number of instances in the view of a fleet."""
        return max(MIN_INSTANCES, int(self.working * LIST_FRACTION) // INSTANCE_BYTES)


def message_memory(stored_bytes: int, count: int) -> int:
    """Return the memory of `count` held messages that take `stored_bytes` in the journal."""
    return BODY_COPIES * stored_bytes + MESSAGE_BYTES * count


def plan_memory(limit: int, process_bytes: int, processes: int = 1, upgradable: bool = True) -> MemoryPlan:
    """Return the plan of one process.

    `process_bytes` is the memory of a process that serves nobody yet, `processes` the number of processes
    that share the limit, and `upgradable` says whether a second process may be started beside the one.
    """
    if processes > 1:
        working = limit // processes - process_bytes
        required = processes * process_bytes + REQUIRED_WORKING_BYTES
        return MemoryPlan(max(MIN_WORKING_BYTES, working), required, limit >= required)
    shared_working = limit - 2 * process_bytes
    upgrade_fits = upgradable and shared_working >= REQUIRED_WORKING_BYTES
    working = shared_working if upgrade_fits else limit - process_bytes
    return MemoryPlan(max(MIN_WORKING_BYTES, working), process_bytes + REQUIRED_WORKING_BYTES, upgrade_fits)
