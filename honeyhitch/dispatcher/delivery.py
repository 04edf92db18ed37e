"""Values that the core, the fronts and the carriers exchange: admissions, calls and their results."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from honeyhitch.endpoints.pool import PoolEndpoint
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome


class Phase(Enum):
    """Whether a dispatcher accepts new work."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class DispatcherState:
    """The phase, how many transactions are held, and how many may be."""

    phase: Phase
    message_count: int
    max_messages: int


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether the dispatcher accepted a transaction that was handed in, and owes its end from now on."""

    accepted: bool
    retry_after: int = 0  # nanoseconds; with a reject


@dataclass(slots=True)
class CallResult:
    """How a call ended: an outcome for each of its transactions, and what the member told besides."""

    outcomes: list[tuple[Outcome, bool]]  # and whether nothing more is owed
    retry_after: int = 0
    reported: dict[str, float] = field(default_factory=dict)
    failure_reason: str = ""  # the name of a failure that outcomes do not tell apart
    connection_stale: bool = False  # a connection kept from an earlier call broke before any answer
    connection_limited: bool = (
        False  # a new connection was turned away, the member's table of them being full
    )

    @classmethod
    def uniform(cls, outcome: Outcome, count: int, over: bool = False) -> CallResult:
        """All of the call's transactions fared alike."""
        return cls([(outcome, over)] * count)


@dataclass(slots=True, eq=False)
class Call:
    """One call out: it has one slot and one fate, and carries one transaction or several."""

    endpoint: PoolEndpoint
    messages: list[Transaction]
    attempt_numbers: list[int]  # of the attempts
    timeouts: list[int]  # for each part, from `sent`
    sent_at: int
    pending: list[bool]  # parts that have no outcome yet
    started: bool = False  # its first byte may have gone
    message_expired: bool = False  # since then the time of one of its parts has run out

    @property
    def timeout(self) -> int:
        """How long the call may be out."""
        return max(self.timeouts, default=0)
