"""What is to be done at a later time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, TypeVar

from honeyhitch.time_units import NEVER

Subject = TypeVar("Subject")


class Scheduler:
    """Callbacks by the time (ns) at which they are due; those of one time run in the order scheduled."""

    def __init__(self) -> None:
        self._sequence = 0
        self._heap: list[tuple[int, int, Callable[[Any], object], object]] = []

    def __len__(self) -> int:
        """How many callbacks are scheduled."""
        return len(self._heap)

    @property
    def next_at(self) -> int:
        """When the next callback is due; NEVER if there is none."""
        return self._heap[0][0] if self._heap else NEVER

    def schedule(self, at: int, callback: Callable[[Subject], object], subject: Subject) -> None:
        """Call `callback(subject)` in the first round at or after `at`."""
        self._sequence += 1
        heappush(self._heap, (at, self._sequence, callback, subject))

    def run_due(self, now: int) -> None:
        """Run what is due, also what is scheduled for now meanwhile."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, subject = heappop(heap)
            callback(subject)
