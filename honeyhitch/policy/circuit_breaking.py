"""Ejection of an unhealthy destination, recovery probes, and the end of the ejection."""

from __future__ import annotations

from random import Random

from honeyhitch.policy.backoff import JITTER
from honeyhitch.policy.call import Call
from honeyhitch.policy.decaying_counter import DecayingCounter
from honeyhitch.policy.rate_limiting import RateLimiter
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import MILLISECOND, NEVER, SECOND

CALL_FAILURES_DECAY_TIME = 8 * SECOND
NON_IDEMPOTENT_FAILURE_FRACTION = 0.35  # above it non-idempotent messages wait, as they get one attempt only
EJECTION_FAILURE_FRACTION = 0.7
EJECTION_CONSECUTIVE_FAILURES = 3
MIN_KNOWN_SUCCESSES = 0.5  # decayed count of successes below which a single failure ejects
REJECTING_PERIOD = 2 * SECOND  # time without a success after which a rejecting destination is unavailable
REJECTING_CALLS = 10  # the period lasts at least as long as this many calls take at the quota's rate
UNAVAILABLE_RETRY_AFTER = 3 * SECOND  # a Retry-After this long or longer means unavailable
MIN_PROBE_PAUSE = 200 * MILLISECOND
MAX_PROBE_PAUSE = 16 * SECOND
MAX_PROBE_PAUSE_PER_INSTANCE = 700 * MILLISECOND  # so that the instances together detect a recovery soon
LARGE_FLEET_PROBE_JITTER = 0.5  # fraction; many instances detect an outage at the same time
SMALL_FLEET_MAX_INSTANCES = 6  # up to this many instances may keep connections and probe with little jitter


class CircuitBreaker:
    """The circuit breaker of a destination: while it is ejected, only single probes are sent.

    Times are nanoseconds.
    """

    __slots__ = (
        "_failed_at",
        "_failure_sent_at",
        "_instance_count",
        "_rate",
        "_rng",
        "_success_sent_at",
        "call_failures",
        "consecutive_failures",
        "ejected",
        "ejected_at",
        "last_ejection_at",
        "next_probe_at",
        "non_idempotent_threshold",
        "probe_jitter",
    )

    def __init__(self, settings: Settings, rng: Random, rate: RateLimiter) -> None:
        self._instance_count = settings.instance_count
        self._rng = rng
        self._rate = rate
        self.consecutive_failures = 0.0  # since the latest success; a burst of failures counts once
        self._success_sent_at = -NEVER
        self._failure_sent_at = -NEVER
        self._failed_at = -NEVER
        self.call_failures = DecayingCounter(CALL_FAILURES_DECAY_TIME)
        self.ejected = False
        self.ejected_at = 0
        self.last_ejection_at = -NEVER  # time of the latest ejection or failed probe
        self.next_probe_at = 0
        self.non_idempotent_threshold = NON_IDEMPOTENT_FAILURE_FRACTION
        large_fleet = settings.instance_count > SMALL_FLEET_MAX_INSTANCES
        self.probe_jitter = LARGE_FLEET_PROBE_JITTER if large_fleet else JITTER

    def hangs(self, now: int, oldest_sent_at: int, overdue_after: float) -> bool:
        """Return whether the oldest call in flight is overdue and no call sent since then succeeded."""
        return now - oldest_sent_at > overdue_after and self._success_sent_at < oldest_sent_at

    @property
    def probe_failed(self) -> bool:
        """Whether a probe failed since the ejection."""
        return self.ejected and self.last_ejection_at > self.ejected_at

    def eject(self, now: int, failing_for: int, retry_after_until: int) -> None:
        """Eject the destination: from now on only single probes are sent, at growing, jittered pauses.

        The destination has failed for the duration `failing_for`, at least since its ejection. A Retry-After
        ends at the same time for all instances, so their first probes after it are spread over the pause.
        """
        if not self.ejected:
            self.ejected_at = now
        self.ejected = True
        self.last_ejection_at = now
        uniform = self._rng.uniform
        # All instances detect an outage at about the same time but must not send held messages together.
        self.non_idempotent_threshold = NON_IDEMPOTENT_FAILURE_FRACTION * uniform(
            1 - self.probe_jitter, 1 + JITTER
        )
        failing_for = max(failing_for, now - self.ejected_at)
        pause = self._probe_pause(failing_for)
        self.next_probe_at = now + int(pause * uniform(1 - self.probe_jitter, 1 + self.probe_jitter))
        if retry_after_until > now:
            pause = self._probe_pause(failing_for + retry_after_until - now)
            self.next_probe_at = max(self.next_probe_at, retry_after_until + int(pause * uniform(0, 1)))

    def spread_first_probe(self, now: int, failing_for: int) -> None:
        """Let the first probe after a start come at a random time within the pause between probes."""
        self.next_probe_at = now + int(self._probe_pause(failing_for) * self._rng.uniform(0, 1))

    def _probe_pause(self, outage_duration: int) -> float:
        """Return the pause (ns) before the next probe.

        The probes of all instances together stay within the rate that a destination in slow start sustains.
        """
        pause = 0.0
        if outage_duration > MIN_PROBE_PAUSE / 2:
            pause = SECOND / self._rate.slow_start_rate(0, outage_duration)
        max_pause = min(MAX_PROBE_PAUSE_PER_INSTANCE * self._instance_count, MAX_PROBE_PAUSE)
        return max(MIN_PROBE_PAUSE, min(pause, max_pause))

    def record_success(self, call: Call) -> bool:
        """Record a delivered message; return false if it was sent before a call that failed.

        Such a delivery is no evidence of a recovery.
        """
        self._success_sent_at = max(self._success_sent_at, call.sent_at)
        if call.sent_at < self._failure_sent_at:
            return False
        self.consecutive_failures = 0.0
        return True

    def is_outdated(self, call: Call) -> bool:
        """Return whether a call that was sent after this one has succeeded: its failure shows nothing."""
        return call.sent_at < self._success_sent_at

    def end_ejection(self) -> bool:
        """Allow all calls again; return whether the destination was ejected."""
        was_ejected = self.ejected
        self.ejected = False
        return was_ejected

    def count_failure(self, now: int, call: Call, rejected: bool) -> bool:
        """Record a failed or rejected message; return False if it belongs to a burst already counted."""
        first_of_burst = call.sent_at >= self._failed_at
        if first_of_burst:  # a failed call counts once, in equal parts for each of its messages
            self.consecutive_failures += 1 / (1 if rejected else call.message_count)
        self._failure_sent_at = max(self._failure_sent_at, call.sent_at)
        self._failed_at = now
        return first_of_burst

    def should_eject(self, now: int, rejected: bool, retry_after: int) -> bool:
        """Return whether this failure ejects the destination or keeps it ejected."""
        failures = self.consecutive_failures
        many_failures = failures >= EJECTION_CONSECUTIVE_FAILURES
        # A destination with a small quota gets few calls, so it has a longer period until one must succeed.
        rejecting_period = max(REJECTING_PERIOD, REJECTING_CALLS * SECOND / self._rate.quota())
        unavailable = retry_after >= UNAVAILABLE_RETRY_AFTER or (
            many_failures and now - self._success_sent_at > rejecting_period
        )
        failing = (
            many_failures
            or self.call_failures.successes < MIN_KNOWN_SUCCESSES
            or self.call_failures.failure_fraction(now) >= EJECTION_FAILURE_FRACTION
        )
        return self.ejected or (unavailable if rejected else failing)
