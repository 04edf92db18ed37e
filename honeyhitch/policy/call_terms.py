"""Which messages may share a call, and for how long an attempt may wait for its response."""

from __future__ import annotations

from honeyhitch.policy.latency import LatencyEstimate
from honeyhitch.policy.message import PendingMessage
from honeyhitch.policy.settings import Settings

TIMEOUT_LATENCY_FACTOR = 10  # times the mean latency, which covers the far tail of latencies
NON_IDEMPOTENT_TIMEOUT_FACTOR = 2  # a timeout is final for such a message, so its attempt gets longer


def may_share_call(first: PendingMessage, other: PendingMessage, zone: int, now: int) -> bool:
    """Return whether `other` may be sent in the same call as `first` to an endpoint in `zone`."""
    if other.message_class is not first.message_class or other.low_priority is not first.low_priority:
        return False
    if first.non_idempotent and min(other.deadline, first.deadline) - now <= first.objective_duration:
        return False  # the call's timeout would be cut to the shorter deadline, and would fail both messages
    return other.required_zone() in (None, zone)


def attempt_timeout(
    message: PendingMessage, latency: LatencyEstimate, settings: Settings, time_left: int
) -> int:
    """Return the timeout of an attempt (ns): at most `time_left`, but at least 1."""
    mean = latency.mean
    timeout = int(max(TIMEOUT_LATENCY_FACTOR * mean, settings.connect_timeout + 2 * mean))
    if message.non_idempotent:  # this longer timeout is bounded, too: hanging calls must not occupy the slots
        timeout = max(NON_IDEMPOTENT_TIMEOUT_FACTOR * timeout, message.objective_duration)
    return max(1, min(timeout, time_left))
