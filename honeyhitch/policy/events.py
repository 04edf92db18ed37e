"""Events: what the policy is told. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"  # may have run
    REJECTED = "refused"  # never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect-failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "not-sent"  # never ran, counts as an attempt

    @property
    def proves_not_executed(self) -> bool:
        """It proves that the attempt did not run."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """State of an endpoint in the list; it tells nothing of health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateMode(Enum):
    """What a list event carries."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"  # an ask failed or the subscription broke


@dataclass(frozen=True, slots=True)
class EndpointListing:
    """One endpoint in the list."""

    endpoint: str
    destination: int
    kind: int = 0
    zone: int = 0
    listed_rate: float = 1.0
    status: EndpointStatus = EndpointStatus.READY
    requires_open_connection: bool = False  # takes calls on open connections alone, of which `Room` tells


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """News of the list of endpoints."""

    mode: UpdateMode
    listings: tuple[EndpointListing, ...] = ()


@dataclass(frozen=True, slots=True)
class NewMessage:
    """A message was taken and is owed exactly one final answer."""

    message: str
    class_index: int
    destination: int
    time_left: int
    ordering_key: int | None = None
    tenant: int = 0
    expected_work: int = 0  # guess of the call's time, 0 if none
    recovered_from_journal: bool = False
    attempts: int = 0  # made before a restart of the process
    first_possible_execution: int | None = None  # when an earlier attempt may first have run, if one may have
    first_execution_zone: int = 0  # and in which zone
    low_priority: bool = False  # it goes only where nothing else wants to


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome."""

    message: str
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed: int
    message_concluded: bool  # the message is concluded, by this or earlier
    retry_after: int = 0  # told wait, 0 if none
    limit_remaining: float = 1.0  # told share of the limit that is left
    rate_limit: float = 0.0  # told limit in calls a second, 0 if there is none
    connection_stale: bool = False  # a kept connection broke without a word: it tells of the connection alone
    connection_limited: bool = (
        False  # turned away as its connection came up: the member's table of them is full
    )
    not_started: bool = False  # no byte of it went: no attempt was used up, and its number is given again


@dataclass(frozen=True, slots=True)
class ConnectionCapacity:
    """How many calls a gated endpoint's connections take, and how the latest try to open one ended."""

    endpoint: str
    destination: int
    capacity: int  # out at once, until told otherwise
    connect_failed: bool = False  # none came up, as in an outage: nothing ran, and no message was tried
    elapsed: int = 0  # until it failed
    connect_blocked_for: int = 0  # time from now for which none will be opened, 0 if one may be
    failure_reason: str = (
        ""  # the name of the failure, where the latest try failed; it tells people, not the module
    )


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """Nobody wants the message any more."""

    message: str


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process is about to end, and nothing is decided for so long at the least."""

    pause: int


@dataclass(frozen=True, slots=True)
class RetryAfterReceived:
    """An endpoint told another process of this dispatcher to wait until then."""

    destination: int
    endpoint: str
    until: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was asked for has come."""


Event = (
    EndpointListUpdate
    | NewMessage
    | AttemptEnded
    | ConnectionCapacity
    | MessageWithdrawn
    | ShutdownStarted
    | RetryAfterReceived
    | TimerFired
)
