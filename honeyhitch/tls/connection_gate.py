"""Counts one endpoint's TLS connections, and decides when another handshake may start. No I/O.

The transport calls `start` before each handshake and reports each result; the policy gets the returned
capacity. Times are Unix times in nanoseconds, and the clock is an argument.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from honeyhitch.policy.events import ConnectionCapacity
from honeyhitch.tls.failures import TlsError
from honeyhitch.tls.handshake_budget import HandshakeBudget, HandshakeStart


class EndpointConnections:
    """The connections to one endpoint, within its partner's handshake budget.

    After a lasting failure `block_duration` returns the nanoseconds for which to block the endpoint; its
    argument is the number of lasting failures in a row before this one.
    """

    def __init__(
        self,
        endpoint_id: str,
        destination: int,
        budget: HandshakeBudget,
        block_duration: Callable[[int], int],
    ) -> None:
        self.endpoint_id = endpoint_id
        self.destination = destination
        self.budget = budget
        self.block_duration = block_duration
        self.idle = 0  # connections without a call
        self.busy = 0  # connections with a call
        self.opening = 0  # connections in a handshake
        self.failures = 0  # lasting failures in a row
        self.blocked_until = 0  # ns; set by a lasting failure

    @property
    def open(self) -> int:
        """The number of connections that may carry calls."""
        return self.idle + self.busy

    def start_blocked_until(self, now: int) -> int:
        """Return the estimated earliest start of the next handshake; at most `now` if it may start now."""
        return max(self.blocked_until, self.budget.ready_at(now))

    def start(self, now: int) -> HandshakeStart | None:
        """Count one handshake as started and return it; return None if it must wait."""
        if self.start_blocked_until(now) > now:
            return None
        self.opening += 1
        return self.budget.start(now)

    def opened(self, start: HandshakeStart, now: int, resumed: bool) -> ConnectionCapacity:
        """Record that the handshake succeeded and left an idle connection; return the new capacity."""
        self.opening -= 1
        self.idle += 1
        self.unblock()
        self.budget.succeeded(start, now, resumed)
        return self.capacity(now)

    def failed(self, start: HandshakeStart, now: int, error: TlsError) -> ConnectionCapacity:
        """Record that the handshake failed, and return the new capacity with the reason.

        A lasting failure blocks the endpoint; any other failure counts as an outage.
        """
        self.opening -= 1
        lasting = error.failure.lasting
        self.budget.failed(start, outage=not lasting)
        reason = error.failure.label
        if lasting:
            self.block(now)
            return replace(self.capacity(now), failure_reason=reason)
        elapsed = now - start.started_at
        return replace(self.capacity(now), connect_failed=True, elapsed=elapsed, failure_reason=reason)

    def abandoned(self, start: HandshakeStart) -> None:
        """Record that this side cancelled the handshake, which says nothing about the partner."""
        self.opening -= 1
        self.budget.failed(start, outage=False)

    def block(self, now: int) -> None:
        """Allow no handshake for a time, which grows with each lasting failure in a row."""
        self.blocked_until = now + self.block_duration(self.failures)
        self.failures += 1

    def unblock(self) -> None:
        """Allow handshakes at once, after one succeeded or the partner's terms changed."""
        self.failures = 0
        self.blocked_until = 0

    def capacity(self, now: int) -> ConnectionCapacity:
        """Return the endpoint's capacity as an event for the policy."""
        blocked_for = max(0, self.start_blocked_until(now) - now)
        return ConnectionCapacity(
            self.endpoint_id, self.destination, self.open, connect_blocked_for=blocked_for
        )
