"""Values that the dispatcher, frontends and transports exchange: admissions, calls and their results."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome


class Phase(Enum):
    """The lifecycle phase of a dispatcher: whether it accepts new messages."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class DispatcherState:
    """The phase, the number of held messages and its maximum."""

    phase: Phase
    message_count: int
    max_messages: int


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether the dispatcher accepted a message; a final answer follows only if it did."""

    accepted: bool
    retry_after: int = 0  # nanoseconds until a rejected message may be submitted again


@dataclass(slots=True)
class CallResult:
    """The result of a call: an outcome for each of its messages, and what else the endpoint reported."""

    outcomes: list[tuple[Outcome, bool]]  # each outcome, and whether it concludes the message
    retry_after: int = 0  # nanoseconds, 0 if none
    reported: dict[str, float] = field(default_factory=dict)
    failure_reason: str = ""  # the name of a failure that the outcomes do not distinguish
    error: str = ""  # the text of the error that ended the call, for the log
    local_port: int = 0  # of the call's connection, for the log; 0 if none was open
    connection_stale: bool = False  # a pooled connection broke before any reply arrived
    connection_limited: bool = False  # a new connection was rejected because the endpoint's limit is reached

    @property
    def all_delivered(self) -> bool:
        """Whether every message of the call was delivered."""
        return all(outcome is Outcome.DELIVERED for outcome, _ in self.outcomes)

    @classmethod
    def uniform(cls, outcome: Outcome, count: int, concluded: bool = False) -> CallResult:
        """Return a result with the same outcome for all messages of the call."""
        return cls([(outcome, concluded)] * count)


@dataclass(slots=True, eq=False)
class Call:
    """One call in flight: one request that uses one slot and carries one or more messages.

    A reply may report an outcome for each message; without a complete reply, all have the same outcome.
    """

    endpoint: PoolEndpoint
    messages: list[Transaction]
    attempt_numbers: list[int]  # one per message
    timeouts: list[int]  # nanoseconds from `sent_at`, one per message
    sent_at: int
    pending: list[bool]  # whether the message has no outcome yet, one per message
    started: bool = False  # its first byte may have been written
    message_expired: bool = False  # one of its messages timed out after the call had started

    @property
    def timeout(self) -> int:
        """The maximum time in flight, in nanoseconds."""
        return max(self.timeouts, default=0)
