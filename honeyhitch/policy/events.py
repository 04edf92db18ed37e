"""Events that the policy handles. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.policy.outage_evidence import OutageHistory


class Outcome(Enum):
    """The result of an attempt."""

    DELIVERED = "delivered"
    ERROR = "error"  # may have been executed
    REJECTED = "refused"  # not executed
    TIMEOUT = "timeout"  # may have been executed
    CONNECT_FAILED = "connect-failed"  # not executed
    RESET = "reset"  # may have been executed
    CANCELLED = "cancelled"  # may have been executed
    NOT_SENT = "not-sent"  # not executed, yet it counts as an attempt

    @property
    def proves_not_executed(self) -> bool:
        """Whether the outcome proves that the attempt was not executed."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """State of an endpoint in the list, independent of its health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateMode(Enum):
    """The contents of an update of the endpoint list."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"  # a request to discovery failed, or the subscription broke


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """One endpoint in the list."""

    endpoint: str
    destination: int
    kind: int = 0
    zone: int = 0
    listed_rate: float = 1.0
    status: EndpointStatus = EndpointStatus.READY
    requires_open_connection: bool = False  # see ConnectionCapacity


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A change of the list of endpoints, or the complete list."""

    mode: UpdateMode
    listings: tuple[EndpointListing, ...] = ()


@dataclass(frozen=True, slots=True)
class NewMessage:
    """A message was accepted; it gets exactly one final answer."""

    message: str
    class_index: int
    destination: int
    time_left: int
    ordering_key: int | None = None
    tenant: int = 0
    expected_work: int = 0  # estimated duration of the call, 0 if there is no estimate
    recovered_from_journal: bool = False  # also set if the client marked the message as a repeat
    attempts: int = 0  # made before the process restarted
    first_possible_execution: int | None = None  # when an earlier attempt may first have been executed
    first_execution_zone: int = 0  # zone of that earlier attempt
    low_priority: bool = False  # sent only if no other message waits for the slot


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended with an outcome."""

    message: str
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed: int
    message_concluded: bool  # whether this attempt or an earlier event concluded the message
    retry_after: int = 0  # 0 if none was received
    limit_remaining: float = 1.0  # reported fraction of the rate limit that remains
    rate_limit: float = 0.0  # reported rate limit in calls per second, 0 if none was reported
    connection_stale: bool = False  # a pooled connection broke without a response; not a sign of bad health
    connection_limited: bool = False  # rejected on connecting: the endpoint's connection limit is reached
    not_started: bool = False  # no byte was sent: the attempt does not count, and its number is reused


@dataclass(frozen=True, slots=True)
class ConnectionCapacity:
    """The concurrent calls that an endpoint's open connections take, and the result of the latest connect.

    It is sent for endpoints with `requires_open_connection`; a failed connect is not an attempt of a message.
    """

    endpoint: str
    destination: int
    capacity: int  # concurrent calls, until the next such event
    connect_failed: bool = False  # the latest connect failed, as in an outage; no message was attempted
    elapsed: int = 0  # from the start of the connect to its failure
    connect_blocked_for: int = 0  # duration during which no connection will be opened
    failure_reason: str = ""  # reason why the latest connect failed, for logs and metrics


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """The client withdrew the message, which is not to be delivered any more."""

    message: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process is about to stop; no message is sent for at least `pause`."""

    pause: int


@dataclass(frozen=True, slots=True)
class RetryAfterReceived:
    """Another process of this dispatcher received a Retry-After; nothing may be sent before `until`."""

    destination: int
    endpoint: str
    until: int


@dataclass(frozen=True, slots=True)
class OutageKnown:
    """Another process of this dispatcher, such as the one before a restart, knows of an outage."""

    destination: int
    endpoint: str  # empty if all endpoints of the destination share the health
    history: OutageHistory


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer requested by SetTimer fired."""


Event = (
    EndpointListUpdate
    | NewMessage
    | AttemptEnded
    | ConnectionCapacity
    | MessageWithdrawn
    | ShutdownStarted
    | RetryAfterReceived
    | OutageKnown
    | TimerFired
)
