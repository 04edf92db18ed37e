"""A tally of good and bad outcomes that fades with time. It decides nothing."""

from __future__ import annotations

from math import exp

MEMORY = 5.0  # outcomes that a tally keeps


class DecayingTally:
    """Bad and good outcomes: they fade with time, and the oldest yield to new ones beyond MEMORY.

    Times are nanoseconds; `fade` is the time in which an outcome's weight falls to 1/e.
    """

    def __init__(self, fade: int) -> None:
        self.bad, self.good, self.at, self.fade = 0.0, 0.0, 0, fade

    def note(self, now: int, bad: bool, weight: float = 1.0) -> None:
        """Add one outcome."""
        self.share(now)
        keep = min(1.0, (MEMORY - weight) / max(1e-9, self.bad + self.good))
        self.bad = self.bad * keep + weight * bad
        self.good = self.good * keep + weight * (not bad)

    def share(self, now: int) -> float:
        """The share of bad ones, 0 to 1; one unknown outcome counts with them."""
        keep, self.at = exp((self.at - now) / self.fade), now
        self.bad, self.good = self.bad * keep, self.good * keep
        return self.bad / (self.bad + self.good + 1)
