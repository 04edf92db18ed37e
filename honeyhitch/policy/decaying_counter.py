"""A counter of good and bad outcomes whose weights decay with time."""

from __future__ import annotations

from math import exp

MAX_WEIGHT = 5.0  # total weight of the outcomes that a counter holds
MIN_DIVISOR = 1e-9  # keeps an empty counter from dividing by zero


class DecayingCounter:
    """Decaying weights of bad and good outcomes; above MAX_WEIGHT in total, older outcomes are scaled down.

    Times are nanoseconds; `decay_time` is the time in which an outcome's weight falls to 1/e.
    """

    def __init__(self, decay_time: int) -> None:
        self.bad = 0.0
        self.good = 0.0
        self.updated_at = 0
        self.decay_time = decay_time

    def record(self, now: int, bad: bool, weight: float = 1.0) -> None:
        """Add one outcome with this weight."""
        self.failure_fraction(now)
        kept = min(1.0, (MAX_WEIGHT - weight) / max(MIN_DIVISOR, self.bad + self.good))
        self.bad = self.bad * kept + weight * bad
        self.good = self.good * kept + weight * (not bad)

    def failure_fraction(self, now: int) -> float:
        """Decay the weights to `now`; return the fraction of bad outcomes, 0 to 1.

        The total includes one outcome of unknown result, which counts as not bad.
        """
        kept = exp((self.updated_at - now) / self.decay_time)
        self.updated_at = now
        self.bad = bad = self.bad * kept
        self.good = good = self.good * kept
        return bad / (bad + good + 1)
