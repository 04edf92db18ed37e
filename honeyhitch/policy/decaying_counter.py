"""A tally of good and bad outcomes that fades with time. It decides nothing."""

from __future__ import annotations

from math import exp

MEMORY = 5.0  # outcomes that a tally keeps


class DecayingCounter:
    """Bad and good outcomes: they fade with time, and the oldest yield to new ones beyond MEMORY.

    Times are nanoseconds; `fade` is the time in which an outcome's weight falls to 1/e.
    """

    def __init__(self, decay_time: int) -> None:
        self.bad, self.good, self.at, self.decay_time = 0.0, 0.0, 0, decay_time

    def record(self, now: int, bad: bool, weight: float = 1.0) -> None:
        """Add one outcome."""
        self.failure_fraction(now)
        keep = min(1.0, (MEMORY - weight) / max(1e-9, self.bad + self.good))
        self.bad = self.bad * keep + weight * bad
        self.good = self.good * keep + weight * (not bad)

    def failure_fraction(self, now: int) -> float:
        """The share of bad ones, 0 to 1; one unknown outcome counts with them."""
        keep, self.at = exp((self.at - now) / self.decay_time), now
        self.bad, self.good = self.bad * keep, self.good * keep
        return self.bad / (self.bad + self.good + 1)
