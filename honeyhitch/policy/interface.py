"""Interface of the decision module: settings, events and actions, in plain terms.

All times are integer nanoseconds. Nothing here decides anything; the decisions are in brain.py.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repeat of a message does at its destination."""

    IDEMPOTENT = "safe"  # may be repeated freely
    IDEMPOTENCY_KEY = "keyed"  # a repeat is dropped inside a window
    NON_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """Which endpoints of a destination remember the key of a keyed message."""

    ALL = "all"
    ZONE = "zone"


class LateDecay(Enum):
    """How worth falls between the aim and the deadline."""

    LINEAR = "line"
    HALVING = "halves"


class ListedRateMeaning(Enum):
    """What the figure beside an endpoint in the list means."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"


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


class SettingsError(ValueError):
    """A setting has a value that cannot be used; `field` is its name here, `reason` says what is expected."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


def _require(condition: bool, field: str, reason: str) -> None:
    if not condition:
        raise SettingsError(field, reason)


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of message."""

    idempotency: Idempotency
    latency_objective: int
    deadline: int
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0
    ordered: bool = False
    objective_work_factor: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _require(self.deadline > 0, "classes.deadline", "must be above 0")
        _require(
            0 < self.latency_objective <= self.deadline,
            "classes.latency_objective",
            "must be above 0 and at most the deadline",
        )
        _require(self.priority_weight >= 0, "classes.priority_weight", "must not be negative")
        _require(0 <= self.late_weight_fraction <= 1, "classes.late_weight_fraction", "must lie in 0 to 1")
        _require(self.deduplication_window >= 0, "classes.deduplication_window", "must not be negative")
        _require(
            self.idempotency is not Idempotency.IDEMPOTENCY_KEY or self.deduplication_window > 0,
            "classes.deduplication_window",
            "needed for keyed",
        )
        _require(self.objective_work_factor >= 0, "classes.objective_work_factor", "must not be negative")


@dataclass(frozen=True, slots=True)
class DestinationKind:
    """One kind of destination."""

    limits_per_endpoint: bool = False  # each endpoint has its own limit, pace and outages
    max_messages_per_call: int = 1  # messages in one call at most
    name: str = ""

    def __post_init__(self) -> None:
        _require(self.max_messages_per_call >= 1, "kinds.max_messages_per_call", "must be at least 1")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    max_concurrent_calls: int  # calls out at once
    overload_factor: float  # a cold destination falls over above this multiple of its capacity
    slow_start_fraction: float  # share of its capacity that a returning destination has at least
    slow_start_duration: int  # and all of it after this
    ordering_pause: int = 0
    instance_count: int = 1
    zone: int = 0
    max_attempts: int = 5
    can_cancel: bool = False
    sends_retry_after: bool = True
    max_retry_after: int = 0
    connect_timeout: int = 0
    must_subscribe: bool = False
    resolution: int = 0
    late_decay: LateDecay = LateDecay.LINEAR
    listed_rate_meaning: ListedRateMeaning = ListedRateMeaning.OFF
    cross_zone_cost: float = 0.0
    tenant_rates: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    tenant_names: tuple[str, ...] = ()
    zone_names: tuple[str, ...] = ()
    report_fields: tuple[str, ...] = ()
    max_messages: int = 1 << 30  # transactions held at most
    connection_idle_timeout: int = 0  # a member closes an idle connection after this; 0 if never
    drain_grace: int = 2_000_000_000  # for so long something new may go to a member told to drain

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        _require(len(self.kinds) > 0, "kinds", "at least one is needed")
        for name in (
            "max_concurrent_calls",
            "instance_count",
            "max_attempts",
            "slow_start_duration",
            "max_messages",
        ):
            _require(getattr(self, name) >= 1, name, "must be at least 1")
        _require(self.overload_factor > 0, "overload_factor", "must be above 0")
        _require(0 < self.slow_start_fraction <= 1, "slow_start_fraction", "must be above 0 and at most 1")
        for name in ("ordering_pause", "zone"):
            _require(getattr(self, name) >= 0, name, "must not be negative")
        for name in (
            "max_retry_after",
            "connect_timeout",
            "resolution",
            "connection_idle_timeout",
            "drain_grace",
        ):
            _require(getattr(self, name) >= 0, name, "must not be negative")
        _require(0 <= self.over_quota_weight <= 1, "over_quota_weight", "must lie in 0 to 1")
        _require(all(rate >= 0 for rate in self.tenant_rates), "tenant_rates", "must not be negative")

    @property
    def class_names(self) -> tuple[str, ...]:
        """What people call each class; its number where it has no name."""
        return tuple(cls.name or str(number) for number, cls in enumerate(self.classes))

    def kind(self, number: int) -> DestinationKind:
        """The kind with this number; the last one for a number that is too high."""
        return self.kinds[min(number, len(self.kinds) - 1)]


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


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a message are numbered from 0 in the order sent."""

    message: str
    endpoint: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, handing it in again after `come_back` is harmless."""

    message: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    message: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired at this time."""

    at: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this instance's idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class OpenConnections:
    """Messages wait for a gated endpoint: connections for so many more calls are wanted."""

    endpoint: str
    calls: int


@dataclass(frozen=True, slots=True)
class DestinationHealth:
    """How a destination stands, as the module sees it."""

    listed: bool  # it has a member that may get something new
    unhealthy: bool  # no member is well: out, or many calls fail
    in_slow_start: bool  # a member came back and may be cold
    retry_after_until: int  # told wait
    has_queued_messages: bool  # messages that are not behind others wait for it
    quota: float  # this instance's part of its capacity, in calls a second
    last_sent_at: int
    concurrent_calls: int  # slots, of all destinations


Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | CloseIdleConnections | OpenConnections
