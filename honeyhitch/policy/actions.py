"""Actions that the policy returns for its caller to carry out. Times and durations are in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.policy.outage_evidence import OutageHistory


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; the attempts of a message are numbered from 0 in the order sent."""

    message: str
    endpoint: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for the outcome of an attempt."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not delivered; submitting the message again after `retry_after` is harmless (rule 2)."""

    message: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the message may or may not have been executed."""

    message: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event at time `at`."""

    at: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this instance's idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class OpenConnections:
    """Open connections for `calls` concurrent calls to an endpoint that requires open connections."""

    endpoint: str
    calls: int


class HealthChange(Enum):
    """A change of the health of a destination."""

    EJECTED = "ejected"
    PROBE_FAILED = "probe-failed"
    RECOVERED = "recovered"


@dataclass(frozen=True, slots=True)
class ReportHealth:
    """Log that the health of a destination changed, or of an endpoint where limits are per endpoint."""

    destination: int
    endpoint: str  # empty if all endpoints of the destination share the health
    change: HealthChange
    reason: str
    failing_for: int  # since the ejection, 0 at the ejection itself
    next_probe_in: int  # 0 after a recovery
    slow_start: bool  # whether the rate is limited from now on because of the outage


@dataclass(frozen=True, slots=True)
class RecordOutage:
    """Keep what is known of an outage for later processes of this instance."""

    destination: int
    endpoint: str  # empty if all endpoints of the destination share the health
    history: OutageHistory


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | Subscribe
    | CloseIdleConnections
    | OpenConnections
    | ReportHealth
    | RecordOutage
)
