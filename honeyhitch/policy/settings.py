"""Settings of the policy, as one instance receives them at its start.

Durations are integer nanoseconds. A value that cannot be used raises SettingsError.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.time_units import SECOND

DEFAULT_MAX_MESSAGES = 1 << 30  # no limit in practice


class Idempotency(Enum):
    """What a repeated execution of a message does at its destination."""

    IDEMPOTENT = "safe"  # may be repeated freely
    IDEMPOTENCY_KEY = "keyed"  # a repeat is dropped inside the deduplication window
    NON_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """Which endpoints of a destination remember an idempotency key."""

    ALL = "all"
    ZONE = "zone"


class LateDecay(Enum):
    """How the weight of a message falls between its latency objective and its deadline."""

    LINEAR = "line"
    HALVING = "halves"


class ListedRateMeaning(Enum):
    """What the rate listed with an endpoint means."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"


class SettingsError(ValueError):
    """A setting has a value that cannot be used; `field` is its name here, `reason` says what is expected."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


def _require(condition: bool, field: str, reason: str) -> None:
    if not condition:
        raise SettingsError(field, reason)


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of message. Durations are nanoseconds; a bad value raises SettingsError."""

    idempotency: Idempotency
    latency_objective: int  # up to which its weight is full
    deadline: int
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0  # of the weight, that is left at the deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # from the first execution, with an idempotency key
    ordered: bool = False  # messages of one ordering key go one after the other
    objective_work_factor: float = 0.0  # of a message's expected work, added to its objective
    name: str = ""

    def __post_init__(self) -> None:
        """Check the values."""
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
    """One kind of destination. A bad value raises SettingsError."""

    limits_per_endpoint: bool = False  # each endpoint has its own limit and outages
    max_messages_per_call: int = 1
    name: str = ""

    def __post_init__(self) -> None:
        """Check the values."""
        _require(self.max_messages_per_call >= 1, "kinds.max_messages_per_call", "must be at least 1")


AT_LEAST_ONE = (
    "max_concurrent_calls",
    "instance_count",
    "max_attempts",
    "slow_start_duration",
    "max_messages",
)
NOT_NEGATIVE = (
    "ordering_pause",
    "zone",
    "max_retry_after",
    "connect_timeout",
    "resolution",
    "connection_idle_timeout",
    "drain_grace",
)


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an instance. Durations are nanoseconds; a bad value raises SettingsError."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    max_concurrent_calls: int
    overload_factor: float  # a destination in slow start fails above this multiple of its capacity
    slow_start_fraction: float  # of its capacity that a recovered destination has at once
    slow_start_duration: int  # after which it has all of its capacity
    ordering_pause: int = 0  # of an ordering key, after an attempt that may still be executed
    instance_count: int = 1
    zone: int = 0
    max_attempts: int = 5
    can_cancel: bool = False  # an attempt in flight
    sends_retry_after: bool = True
    max_retry_after: int = 0
    connect_timeout: int = 0
    must_subscribe: bool = False
    resolution: int = 0  # of the clock
    late_decay: LateDecay = LateDecay.LINEAR
    listed_rate_meaning: ListedRateMeaning = ListedRateMeaning.OFF
    cross_zone_cost: float = 0.0
    tenant_rates: tuple[float, ...] = ()  # messages a second, of all instances
    over_quota_weight: float = 1.0  # factor of the weight beyond a tenant's rate
    tenant_names: tuple[str, ...] = ()
    zone_names: tuple[str, ...] = ()
    report_fields: tuple[str, ...] = ()
    max_messages: int = DEFAULT_MAX_MESSAGES  # pending at once
    connection_idle_timeout: int = 0  # after which an endpoint closes an idle connection; 0 if never
    drain_grace: int = 2 * SECOND  # for which a draining endpoint may still get calls

    def __post_init__(self) -> None:
        """Check the values."""
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        _require(len(self.kinds) > 0, "kinds", "at least one is needed")
        for name in AT_LEAST_ONE:
            _require(getattr(self, name) >= 1, name, "must be at least 1")
        _require(self.overload_factor > 0, "overload_factor", "must be above 0")
        _require(0 < self.slow_start_fraction <= 1, "slow_start_fraction", "must be above 0 and at most 1")
        for name in NOT_NEGATIVE:
            _require(getattr(self, name) >= 0, name, "must not be negative")
        _require(0 <= self.over_quota_weight <= 1, "over_quota_weight", "must lie in 0 to 1")
        _require(all(rate >= 0 for rate in self.tenant_rates), "tenant_rates", "must not be negative")

    @property
    def class_names(self) -> tuple[str, ...]:
        """The display name of each class: its index where it has no name."""
        return tuple(cls.name or str(number) for number, cls in enumerate(self.classes))

    def kind(self, number: int) -> DestinationKind:
        """The kind with this number; the last one for a number that is too high."""
        return self.kinds[min(number, len(self.kinds) - 1)]
