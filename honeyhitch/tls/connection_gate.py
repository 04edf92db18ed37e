"""One member's connections, counted: what is open, what is being opened, and when more may be. No I/O.

The driver asks it before each handshake and tells it of each end; it says what the module is to be told.
Every time is Unix time in nanoseconds and is passed in.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from honeyhitch.policy.events import ConnectionCapacity
from honeyhitch.tls.failures import TlsError
from honeyhitch.tls.handshake_budget import HandshakeBudget, Start


class EndpointConnections:
    """The way to one member through its partner's budget."""

    def __init__(
        self, member: str, destination: int, budget: HandshakeBudget, pause: Callable[[int], int]
    ) -> None:
        self.member, self.destination, self.budget, self.pause = member, destination, budget, pause
        self.ready = self.busy = self.opening = 0  # connections idle, with a call, and in a handshake
        self.failures = 0  # lasting ones in a row
        self.blocked_until = 0  # after a lasting one

    @property
    def open(self) -> int:
        """Connections that are up."""
        return self.ready + self.busy

    def shut_until(self, now: int) -> int:
        """When a handshake may start as far as can be told; at most `now` if at once."""
        return max(self.blocked_until, self.budget.ready_at(now))

    def start(self, now: int) -> Start | None:
        """Permission for one handshake, which is counted from now on; None if it must wait."""
        if self.shut_until(now) > now:
            return None
        self.opening += 1
        return self.budget.start(now)

    def opened(self, start: Start, now: int, resumed: bool) -> ConnectionCapacity:
        """It came up, and its connection is ready."""
        self.opening, self.ready = self.opening - 1, self.ready + 1
        self.failures = self.blocked_until = 0
        self.budget.ended(start, now, resumed)
        return self.room(now)

    def failed(self, start: Start, now: int, error: TlsError) -> ConnectionCapacity:
        """It did not. A lasting failure bars the member; any other is an outage as the module knows it."""
        self.opening -= 1
        lasting = error.failure.lasting
        self.budget.failed(start, now, outage=not lasting)
        if lasting:
            self.bar(now)
            return replace(self.room(now), failure_reason=error.failure.label)
        return replace(
            self.room(now), connect_failed=True, elapsed=now - start.at, failure_reason=error.failure.label
        )

    def given_up(self, start: Start, now: int) -> None:
        """It was cut short by us; that tells nothing of the partner."""
        self.opening -= 1
        self.budget.failed(start, now, outage=False)

    def bar(self, now: int) -> None:
        """A lasting failure: leave the member alone for a growing while."""
        self.blocked_until = now + self.pause(self.failures)
        self.failures += 1

    def unbar(self) -> None:
        """What connections are made with has changed: try at once."""
        self.failures = self.blocked_until = 0

    def room(self, now: int) -> ConnectionCapacity:
        """What the module is told."""
        shut = max(0, self.shut_until(now) - now)
        return ConnectionCapacity(self.member, self.destination, self.open, connect_blocked_for=shut)
