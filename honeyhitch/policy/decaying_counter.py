"""A counter of failures and successes whose weights decay with time."""

from __future__ import annotations

from math import exp

MAX_WEIGHT = 5.0  # total weight of the outcomes that a counter holds
MIN_DIVISOR = 1e-9  # keeps an empty counter from dividing by zero


class DecayingCounter:
    """Decaying weights of failures and successes; above MAX_WEIGHT in total, older outcomes are scaled down.

    Times are nanoseconds; `decay_time` is the time in which an outcome's weight falls to 1/e.
    """

    __slots__ = ("decay_time", "failures", "successes", "updated_at")

    def __init__(self, decay_time: int) -> None:
        self.failures = 0.0
        self.successes = 0.0
        self.updated_at = 0
        self.decay_time = decay_time

    def record(self, now: int, failed: bool, weight: float = 1.0) -> None:
        """Add one outcome with this weight."""
        self.failure_fraction(now)
        scale = min(1.0, (MAX_WEIGHT - weight) / max(MIN_DIVISOR, self.failures + self.successes))
        self.failures = self.failures * scale + weight * failed
        self.successes = self.successes * scale + weight * (not failed)

    def failure_fraction(self, now: int) -> float:
        """Decay the weights to `now`; return the fraction of failures, 0 to 1.

        The total includes one outcome of unknown result, which does not count as a failure.
        """
        decay = exp((self.updated_at - now) / self.decay_time)
        self.updated_at = now
        self.failures = failures = self.failures * decay
        self.successes = successes = self.successes * decay
        return failures / (failures + successes + 1)
