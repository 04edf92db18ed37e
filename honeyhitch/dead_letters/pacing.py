"""Limits how many resends may start at a destination. Does no I/O; the caller passes the time in.

Resends yield to live traffic: they may use a bounded fraction of the call slots and of the destination's
quota. They start one at a time until a call to the destination has been delivered. None starts while the
destination is unhealthy, is in slow start, or has sent Retry-After. Without live traffic nothing would detect
that an unhealthy destination has recovered, so single resends probe it at growing intervals.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.health import DestinationHealth
from honeyhitch.time_units import SECOND

MIN_PROBE_INTERVAL = 30 * SECOND  # time without a call after which an unhealthy destination is probed
MAX_PROBE_INTERVAL = 600 * SECOND
MAX_RESEND_BURST = 2.0  # most tokens of a destination: resends that may start together after idle time
MIN_RATE_PER_SECOND = 0.01  # lowest refill rate of a destination's tokens


@dataclass(slots=True)
class DestinationPacing:
    """The pacing state of one destination. Times and durations are in nanoseconds."""

    healthy_since: int | None = None  # None if unhealthy
    call_delivered: bool = False  # since the destination was last unhealthy
    resends_in_flight: int = 0
    tokens: float = 1.0  # resends that the destination's rate allows to start now
    tokens_updated_at: int = 0
    probe_interval: int = MIN_PROBE_INTERVAL
    probed_at: int = 0


class ResendPacing:
    """The limits on the resends of an instance, over all destinations.

    Resends use at most the fraction `capacity_fraction` of `max_concurrent_calls` and of each destination's
    quota.
    """

    def __init__(self, capacity_fraction: float, max_concurrent_calls: int) -> None:
        self.capacity_fraction = capacity_fraction
        self.max_concurrent_calls = max_concurrent_calls
        self.max_concurrent_resends = max(1, int(capacity_fraction * max_concurrent_calls))
        self.resends_in_flight = 0
        self.destinations: dict[int, DestinationPacing] = {}

    def observe(self, destination: int, health: DestinationHealth, now: int) -> DestinationPacing:
        """Record a destination's health, refill its tokens, and return its pacing state.

        `now` is a Unix time in nanoseconds.
        """
        pacing = self.destinations.setdefault(destination, DestinationPacing(tokens_updated_at=now))
        rate = max(MIN_RATE_PER_SECOND, self.capacity_fraction * health.quota)
        refill = rate * max(0, now - pacing.tokens_updated_at) / SECOND
        pacing.tokens = min(max(1.0, MAX_RESEND_BURST), pacing.tokens + refill)
        pacing.tokens_updated_at = now
        if health.unhealthy or not health.listed:
            pacing.healthy_since = None
            pacing.call_delivered = False
        elif pacing.healthy_since is None:
            pacing.healthy_since = now
        return pacing

    def healthy_duration(self, destination: int, now: int) -> int:
        """Return for how long the destination has been healthy, in nanoseconds."""
        pacing = self.destinations.get(destination)
        if pacing is None or pacing.healthy_since is None:
            return 0
        return max(0, now - pacing.healthy_since)

    def available_resends(self, destination: int, health: DestinationHealth, now: int) -> int:
        """Return how many resends may start at the destination at `now` (Unix time in nanoseconds)."""
        pacing = self.observe(destination, health, now)
        available = self.max_concurrent_resends - self.resends_in_flight
        if available <= 0 or self._blocked(health, now):
            return 0
        if health.unhealthy:
            return int(self.may_probe(destination, health, now))
        if health.in_slow_start:
            return 0
        concurrent = available if pacing.call_delivered else 1 - pacing.resends_in_flight
        destination_limit = self.max_concurrent_resends - pacing.resends_in_flight
        return max(0, min(concurrent, destination_limit, int(pacing.tokens)))

    def _blocked(self, health: DestinationHealth, now: int) -> bool:
        """Return whether resends must yield to live traffic or no call may be sent to the destination."""
        if not health.listed or health.has_queued_messages or health.retry_after_until > now:
            return True
        slots_for_live_traffic = max(1, self.max_concurrent_calls - self.max_concurrent_resends)
        return health.concurrent_calls >= slots_for_live_traffic

    def may_probe(self, destination: int, health: DestinationHealth, now: int) -> bool:
        """Return whether a single resend may probe an unhealthy destination that receives no other calls."""
        pacing = self.destinations.get(destination) or DestinationPacing()
        last_call_at = max(health.last_sent_at, pacing.probed_at)
        idle = now - last_call_at >= pacing.probe_interval
        return health.listed and health.unhealthy and idle and not pacing.resends_in_flight

    def resend_started(self, destination: int, now: int) -> None:
        """Count a resend that starts at `now` (Unix time in nanoseconds)."""
        pacing = self.destinations.setdefault(destination, DestinationPacing(tokens_updated_at=now))
        pacing.resends_in_flight += 1
        pacing.tokens -= 1
        self.resends_in_flight += 1
        if pacing.healthy_since is None:
            pacing.probed_at = now
            pacing.probe_interval = min(2 * pacing.probe_interval, MAX_PROBE_INTERVAL)

    def resend_ended(self, destination: int) -> None:
        """Count a resend that has ended or was cancelled."""
        pacing = self.destinations.setdefault(destination, DestinationPacing())
        pacing.resends_in_flight = max(0, pacing.resends_in_flight - 1)
        self.resends_in_flight = max(0, self.resends_in_flight - 1)

    def call_delivered(self, destination: int) -> None:
        """Record that a call to the destination was delivered, whether of live traffic or of a resend."""
        if (pacing := self.destinations.get(destination)) is not None:
            pacing.call_delivered = True
            pacing.probe_interval = MIN_PROBE_INTERVAL


class RuleRates:
    """A token bucket for each rule, which limits how many resends the rule starts per second."""

    def __init__(self) -> None:
        # By rule name: the tokens, and when they were last refilled (Unix time in nanoseconds).
        self._tokens: dict[str, tuple[float, int]] = {}

    def acquire(self, rule_name: str, rate_per_second: float, now: int) -> bool:
        """Take a token and return True if the rule may start one more resend at `now`, else return False.

        `now` is a Unix time in nanoseconds.
        """
        tokens, updated_at = self._tokens.get(rule_name, (1.0, now))
        refill = rate_per_second * max(0, now - updated_at) / SECOND
        tokens = min(max(1.0, rate_per_second), tokens + refill)
        acquired = tokens >= 1
        self._tokens[rule_name] = (tokens - acquired, now)
        return acquired
