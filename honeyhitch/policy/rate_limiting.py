"""The rate of calls to a destination: this instance's quota, rate reduction, and slow start."""

from __future__ import annotations

from math import exp, inf

from honeyhitch.policy.settings import ListedRateMeaning, Settings
from honeyhitch.time_units import NEVER, SECOND

ROUGH_RATE_DIVISOR = 1.5  # factor by which a rough listed rate may be too high
MIN_QUOTA_PER_SECOND = 0.001
MIN_UNLISTED_QUOTA_PER_SECOND = 0.5
SLOW_START_SAFETY_FACTOR = 0.8  # fraction used of the rate that a destination in slow start sustains
OUTAGE_DETECTION_PERIOD = 3 * SECOND  # instances that made a call within it detect an outage together
DETECTING_CALLS = 1.25  # of each instance in an outage, so that all calls together reach the capacity
REJECTION_FACTOR = 0.5  # applied to the send rate by each further rejection
FIRST_REJECTION_FACTOR = 0.6  # applied to the measured rate by the first rejection
RATE_RECOVERY_PER_SECOND = 0.15  # growth of the send rate, as a fraction
MIN_RATE_FACTOR = 0.5  # lowest send rate, as a fraction of the quota
# The limit is lifted above this multiple of the quota or of the rate before the reduction, if that is higher.
UNLIMITED_FACTOR = 2.0
RATE_PERIOD = 2 * SECOND  # decay time over which the rate of calls is measured


class RateLimiter:
    """The rate of calls that this instance may send to one destination. Times are nanoseconds.

    The rate does not overload a destination in slow start (rule 4).
    """

    __slots__ = (
        "_rate_limit",
        "_recent_calls",
        "_recent_calls_at",
        "_reduced_at",
        "_settings",
        "listed_rate",
        "outage_duration",
        "recovered_at",
        "reported_limit",
    )

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.listed_rate = 0.0
        self.reported_limit = 0.0  # 0 if none was reported
        self.recovered_at = -NEVER
        self.outage_duration = 0
        self._rate_limit = inf
        self._reduced_at = 0
        self._recent_calls = 0.0
        self._recent_calls_at = 0

    @property
    def is_limited(self) -> bool:
        """Whether the rate is reduced because of a rejection or a nearly exhausted limit."""
        return self._rate_limit < inf

    def quota(self) -> float:
        """Return this instance's quota of the destination's capacity, in calls per second."""
        meaning = self._settings.listed_rate_meaning
        if meaning is ListedRateMeaning.OFF:
            return max(MIN_UNLISTED_QUOTA_PER_SECOND, self._recent_calls * SECOND / RATE_PERIOD)
        divisor = ROUGH_RATE_DIVISOR if meaning is ListedRateMeaning.ROUGH else 1
        capacity = self.reported_limit or self.listed_rate / divisor
        return max(MIN_QUOTA_PER_SECOND, capacity / self._settings.instance_count)

    def slow_start_rate(self, time_since_recovery: int, outage_duration: int) -> float:
        """Return the calls per second that this instance may send to a destination in slow start.

        All instances that detected the outage together stay within the rate that the destination sustains.
        """
        settings = self._settings
        progress = min(1.0, time_since_recovery / settings.slow_start_duration)
        fraction = settings.slow_start_fraction + (1 - settings.slow_start_fraction) * progress
        capacity = max(self.quota(), DETECTING_CALLS * SECOND / max(OUTAGE_DETECTION_PERIOD, outage_duration))
        return SLOW_START_SAFETY_FACTOR * settings.overload_factor * fraction * capacity

    def start_slow_start(self, now: int, outage_duration: int) -> None:
        """Start the slow start of a destination that recovered now from an outage of this duration."""
        self.recovered_at = now
        self.outage_duration = outage_duration

    def restore_slow_start(self, recovered_at: int, outage_duration: int) -> bool:
        """Continue a slow start of another process unless a later one is known; return whether it was."""
        if recovered_at <= max(0, self.recovered_at):
            return False
        self.start_slow_start(recovered_at, outage_duration)
        return True

    @property
    def slow_start_ends_at(self) -> int:
        """The time at which the latest slow start ends or ended, 0 if there was none."""
        return max(0, self.recovered_at + self._settings.slow_start_duration)

    def in_slow_start(self, now: int) -> bool:
        """Return whether the destination recovered too recently to be sure of its full capacity."""
        return now - self.recovered_at < self._settings.slow_start_duration

    def send_rate(self, now: int) -> float:
        """Return the calls per second allowed now by rejections and slow start; `inf` if not limited."""
        rate = inf if self._rate_limit == inf else self._recovering_rate(now)
        if self.in_slow_start(now):
            return min(rate, self.slow_start_rate(now - self.recovered_at, self.outage_duration))
        return rate

    def _recovering_rate(self, now: int) -> float:
        """Return the reduced rate with its growth since the reduction; lift the limit once recovered."""
        limit = self._rate_limit
        growth = RATE_RECOVERY_PER_SECOND * min(1.0, limit) * (now - self._reduced_at) / SECOND
        quota = self.quota()
        rate = max(limit * (1 + growth), MIN_RATE_FACTOR * quota)  # the reported limit may have been raised
        if rate > UNLIMITED_FACTOR * max(quota, limit / FIRST_REJECTION_FACTOR):
            self._rate_limit = rate = inf
        return rate

    def reduce_rate(self, now: int) -> None:
        """Lower the rate after a rejection, or before an expected one."""
        decayed_calls = self._recent_calls * exp((self._recent_calls_at - now) / RATE_PERIOD)
        measured_rate = decayed_calls * SECOND / RATE_PERIOD
        if self.is_limited:
            rate = REJECTION_FACTOR * self.send_rate(now)
        else:
            rate = max(FIRST_REJECTION_FACTOR * measured_rate, self.quota())
        self._rate_limit = max(rate, MIN_RATE_FACTOR * self.quota())
        self._reduced_at = now

    def record_success(self, now: int, message_count: int) -> None:
        """Record one delivered message as its fraction of the call, as limits are in calls."""
        self._recent_calls *= exp((self._recent_calls_at - now) / RATE_PERIOD)
        self._recent_calls += 1 / message_count
        self._recent_calls_at = now
