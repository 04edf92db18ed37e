"""Settings of the policy, which an instance receives when it starts.

Durations are integer nanoseconds. An invalid value raises SettingsError.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.time_units import SECOND

DEFAULT_MAX_MESSAGES = 1 << 30  # no limit in practice


class Idempotency(Enum):
    """The effect of executing a message repeatedly at its destination."""

    IDEMPOTENT = "safe"  # may be executed repeatedly
    IDEMPOTENCY_KEY = "keyed"  # the destination drops a repeat inside the deduplication window
    NON_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """Which endpoints of a destination remember an idempotency key."""

    ALL = "all"
    ZONE = "zone"


class LateDecay(Enum):
    """The decay of a message's weight between its latency objective and its deadline."""

    LINEAR = "line"
    HALVING = "halves"


class ListedRateMeaning(Enum):
    """The meaning of the rate that is listed with an endpoint."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"


class SettingsError(ValueError):
    """A setting has an invalid value; `field` is its name in this module, `reason` says what is expected."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


def _require(condition: bool, field: str, reason: str) -> None:
    if not condition:
        raise SettingsError(field, reason)


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of message. Durations are nanoseconds; an invalid value raises SettingsError."""

    idempotency: Idempotency
    latency_objective: int  # duration in which a delivery has the full weight
    deadline: int
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0  # fraction of the weight that is left at the deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # from the first execution, with an idempotency key
    ordered: bool = False  # messages of one ordering key are sent one after the other
    objective_work_factor: float = 0.0  # multiple of a message's expected work that is added to its objective
    name: str = ""

    @property
    def may_reject_executed(self) -> bool:
        """Whether submitting a message again is harmless even if it may have been executed (rule 2)."""
        if self.idempotency is Idempotency.IDEMPOTENCY_KEY:
            return self.deduplication_scope is not DeduplicationScope.ZONE
        return self.idempotency is Idempotency.IDEMPOTENT

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
    """One kind of destination. An invalid value raises SettingsError."""

    limits_per_endpoint: bool = False  # each endpoint has its own limits and outages
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
    """All settings of an instance. Durations are nanoseconds; an invalid value raises SettingsError."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    max_concurrent_calls: int
    overload_factor: float  # multiple of its capacity above which a destination in slow start fails
    slow_start_fraction: float  # fraction of its capacity that a destination has when it recovers
    slow_start_duration: int  # time from the recovery to the full capacity
    ordering_pause: int = 0  # pause of an ordering key after an attempt that may still be executed
    instance_count: int = 1
    zone: int = 0
    max_attempts: int = 5
    can_cancel: bool = False  # whether an attempt in flight can be cancelled
    sends_retry_after: bool = True
    max_retry_after: int = 0
    connect_timeout: int = 0
    must_subscribe: bool = False
    resolution: int = 0  # resolution of the clock
    late_decay: LateDecay = LateDecay.LINEAR
    listed_rate_meaning: ListedRateMeaning = ListedRateMeaning.OFF
    cross_zone_cost: float = 0.0
    tenant_rates: tuple[float, ...] = ()  # messages per second of each tenant, for all instances together
    over_quota_weight: float = 1.0  # factor applied to the weight of messages beyond a tenant's rate
    tenant_names: tuple[str, ...] = ()
    zone_names: tuple[str, ...] = ()
    report_fields: tuple[str, ...] = ()
    max_messages: int = DEFAULT_MAX_MESSAGES  # limit of pending messages
    connection_idle_timeout: int = 0  # time after which an endpoint closes an idle connection; 0 if never
    drain_grace: int = 2 * SECOND  # time for which a draining endpoint may still get calls

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
        """The display name of each class: its name, or its index if it has none."""
        return tuple(cls.name or str(number) for number, cls in enumerate(self.classes))

    def kind(self, number: int) -> DestinationKind:
        """Return the kind with this number, or the last kind if the number is too high."""
        return self.kinds[min(number, len(self.kinds) - 1)]
