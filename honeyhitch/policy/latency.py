"""The estimate of a destination's latency."""

from __future__ import annotations

from honeyhitch.time_units import MILLISECOND

INITIAL_LATENCY = 200 * MILLISECOND  # until the first response
SAMPLE_WEIGHT = 0.1  # weight of a new sample in the mean latency
OVERDUE_FACTOR = 5  # a response is overdue after this many times the mean latency
MIN_OVERDUE_AFTER = 700 * MILLISECOND
MIN_USEFUL_FACTOR = 0.5  # fraction of the mean latency; no attempt is made with less time left


class LatencyEstimate:
    """The moving mean of the durations (ns) of successful calls."""

    __slots__ = ("mean",)

    def __init__(self) -> None:
        self.mean = float(INITIAL_LATENCY)

    def record(self, elapsed: int, message_count: int) -> None:
        """Add the sample of one message; all messages of a call together have the weight of one sample."""
        self.mean += SAMPLE_WEIGHT / message_count * (elapsed - self.mean)

    def overdue_after(self) -> float:
        """Return the duration (ns) after which a response is overdue."""
        return max(MIN_OVERDUE_AFTER, OVERDUE_FACTOR * self.mean)

    def min_useful_time(self) -> int:
        """Return the time left (ns) below which no response can be expected."""
        return int(MIN_USEFUL_FACTOR * self.mean)
