"""A scheduler of callbacks that run at a later time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, TypeVar

from honeyhitch.time_units import NEVER

Argument = TypeVar("Argument")


class Scheduler:
    """Callbacks in the order of their due times (ns); callbacks with the same due time run as scheduled."""

    def __init__(self) -> None:
        self._sequence = 0
        self._heap: list[tuple[int, int, Callable[[Any], object], object]] = []

    def __len__(self) -> int:
        """Return the number of scheduled callbacks."""
        return len(self._heap)

    @property
    def next_at(self) -> int:
        """The time at which the next callback is due; NEVER if there is none."""
        return self._heap[0][0] if self._heap else NEVER

    def schedule(self, due_at: int, callback: Callable[[Argument], object], argument: Argument) -> None:
        """Call `callback(argument)` in the first `run_due` at or after `due_at`."""
        self._sequence += 1
        heappush(self._heap, (due_at, self._sequence, callback, argument))

    def run_due(self, now: int) -> None:
        """Run all callbacks that are due, including those that a callback schedules for `now` or earlier."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, argument = heappop(heap)
            callback(argument)
