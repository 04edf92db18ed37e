"""How many resends may start at a destination now. No I/O; the clock is passed in.

Resends yield to live traffic: they take a bounded fraction of the call slots and of the destination's
quota, one at a time until one call was delivered, and none while the destination is unhealthy, in slow start,
or has sent Retry-After. A destination without live traffic would never be found recovered: it is probed with
single resends at growing intervals.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.health import DestinationHealth
from honeyhitch.time_units import SECOND

MIN_PROBE_INTERVAL = 30 * SECOND  # without a call after which an unhealthy destination is probed
MAX_PROBE_INTERVAL = 600 * SECOND
MAX_RESEND_BURST = 2.0  # resends that may start together where the send rate has been saved up
MIN_RATE_PER_SECOND = 0.01  # of a destination's resends


@dataclass(slots=True)
class DestinationPacing:
    """What is remembered of one destination. Times and durations are nanoseconds."""

    healthy_since: int | None = None  # None if unhealthy
    call_delivered: bool = False  # since it was last unhealthy
    resends_in_flight: int = 0
    tokens: float = 1.0  # resends that its rate allows to start now
    tokens_updated_at: int = 0
    probe_interval: int = MIN_PROBE_INTERVAL
    probed_at: int = 0


class ResendPacing:
    """The pace of the resends of an instance, over all destinations.

    They take at most `capacity_fraction` of `max_concurrent_calls`, and of each destination's quota.
    """

    def __init__(self, capacity_fraction: float, max_concurrent_calls: int) -> None:
        self.capacity_fraction = capacity_fraction
        self.max_concurrent_calls = max_concurrent_calls
        self.max_concurrent_resends = max(1, int(capacity_fraction * max_concurrent_calls))
        self.resends_in_flight = 0
        self.destinations: dict[int, DestinationPacing] = {}

    def observe(self, destination: int, health: DestinationHealth, now: int) -> DestinationPacing:
        """Take note of a destination's health at `now` (ns), and refill its tokens."""
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
        """For how long the destination has been healthy, nanoseconds."""
        pacing = self.destinations.get(destination)
        if pacing is None or pacing.healthy_since is None:
            return 0
        return max(0, now - pacing.healthy_since)

    def available_resends(self, destination: int, health: DestinationHealth, now: int) -> int:
        """How many resends may start there now."""
        pacing = self.observe(destination, health, now)
        available = self.max_concurrent_resends - self.resends_in_flight
        if available <= 0 or self._blocked(health, now):
            return 0
        if health.unhealthy:
            return int(self.may_probe(destination, health, now))
        if health.in_slow_start:
            return 0
        concurrent = available if pacing.call_delivered else 1 - pacing.resends_in_flight
        own_limit = self.max_concurrent_resends - pacing.resends_in_flight
        return max(0, min(concurrent, own_limit, int(pacing.tokens)))

    def _blocked(self, health: DestinationHealth, now: int) -> bool:
        """Whether live traffic needs the destination or the call slots, or nothing may be sent there."""
        if not health.listed or health.has_queued_messages or health.retry_after_until > now:
            return True
        slots_for_live_traffic = max(1, self.max_concurrent_calls - self.max_concurrent_resends)
        return health.concurrent_calls >= slots_for_live_traffic

    def may_probe(self, destination: int, health: DestinationHealth, now: int) -> bool:
        """Whether a single resend may probe an unhealthy destination that nothing else probes."""
        pacing = self.destinations.get(destination) or DestinationPacing()
        last_call_at = max(health.last_sent_at, pacing.probed_at)
        idle = now - last_call_at >= pacing.probe_interval
        return health.listed and health.unhealthy and idle and not pacing.resends_in_flight

    def resend_started(self, destination: int, now: int) -> None:
        """A resend is in flight from `now` (ns) on."""
        pacing = self.destinations.setdefault(destination, DestinationPacing(tokens_updated_at=now))
        pacing.resends_in_flight += 1
        pacing.tokens -= 1
        self.resends_in_flight += 1
        if pacing.healthy_since is None:
            pacing.probed_at = now
            pacing.probe_interval = min(2 * pacing.probe_interval, MAX_PROBE_INTERVAL)

    def resend_ended(self, destination: int) -> None:
        """A resend has ended, or was cancelled."""
        pacing = self.destinations.setdefault(destination, DestinationPacing())
        pacing.resends_in_flight = max(0, pacing.resends_in_flight - 1)
        self.resends_in_flight = max(0, self.resends_in_flight - 1)

    def call_delivered(self, destination: int) -> None:
        """A call there was delivered, of live traffic or of a resend."""
        if (pacing := self.destinations.get(destination)) is not None:
            pacing.call_delivered = True
            pacing.probe_interval = MIN_PROBE_INTERVAL


class RuleRates:
    """How many resends each rule may still start now."""

    def __init__(self) -> None:
        self._tokens: dict[str, tuple[float, int]] = {}  # by rule: tokens, and when they were counted

    def acquire(self, rule_name: str, rate_per_second: float, now: int) -> bool:
        """Whether the rule may start one more resend at `now` (ns); if so, it counts as started."""
        tokens, updated_at = self._tokens.get(rule_name, (1.0, now))
        refill = rate_per_second * max(0, now - updated_at) / SECOND
        tokens = min(max(1.0, rate_per_second), tokens + refill)
        acquired = tokens >= 1
        self._tokens[rule_name] = (tokens - acquired, now)
        return acquired
