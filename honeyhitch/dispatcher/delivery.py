"""Values that dispatcher, frontends and transports exchange: admissions, calls and their results."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome


class Phase(Enum):
    """Whether a dispatcher accepts new messages."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class DispatcherState:
    """The phase, how many messages are held, and how many may be."""

    phase: Phase
    message_count: int
    max_messages: int


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether the dispatcher accepted a message: then a final answer follows."""

    accepted: bool
    retry_after: int = 0  # nanoseconds; of a rejection


@dataclass(slots=True)
class CallResult:
    """How a call ended: an outcome for each of its messages, and what the endpoint reported besides."""

    outcomes: list[tuple[Outcome, bool]]  # and whether the message is concluded by it
    retry_after: int = 0  # nanoseconds, 0 if none
    reported: dict[str, float] = field(default_factory=dict)
    failure_reason: str = ""  # the name of a failure that outcomes do not tell apart
    connection_stale: bool = False  # a pooled connection broke before any reply
    connection_limited: bool = False  # a new connection was rejected: the endpoint's limit is reached

    @classmethod
    def uniform(cls, outcome: Outcome, count: int, concluded: bool = False) -> CallResult:
        """The same outcome for all messages of the call."""
        return cls([(outcome, concluded)] * count)


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight: it uses one slot, shares one fate, and carries one message or several."""

    endpoint: PoolEndpoint
    messages: list[Transaction]
    attempt_numbers: list[int]  # one a message
    timeouts: list[int]  # nanoseconds from `sent_at`, one a message
    sent_at: int
    pending: list[bool]  # whether a message has no outcome yet
    started: bool = False  # its first byte may have been written
    message_expired: bool = False  # since then the time of one of its messages has run out

    @property
    def timeout(self) -> int:
        """How many nanoseconds the call may be in flight."""
        return max(self.timeouts, default=0)
