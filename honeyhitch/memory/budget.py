"""Counts the bytes that connections hold, up to a limit for all of them together."""

from __future__ import annotations

from collections.abc import Callable


class MemoryLimitError(Exception):
    """More bytes are needed than the budget has left, even after others were asked to release theirs."""


class MemoryBudget:
    """The bytes that a group of connections may hold together.

    `reclaim` is called with a number of bytes when the limit does not allow them, and releases some bytes of
    other connections if it can.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.peak = 0
        self.rejections = 0  # requests for bytes that could not be granted
        self.reclaim: Callable[[int], None] = lambda _: None

    @property
    def excess(self) -> int:
        """The number of bytes by which the limit is exceeded, which can happen after it was lowered."""
        return max(0, self.used - self.limit)

    def reserve(self, count: int) -> bool:
        """Count further bytes as used and return true, or return false if the limit does not allow it."""
        if self.used + count > self.limit:
            self.reclaim(self.used + count - self.limit)
        if self.used + count > self.limit:
            self.rejections += 1
            return False
        self.used += count
        self.peak = max(self.peak, self.used)
        return True

    def add(self, count: int) -> None:
        """Count further bytes, or fewer if `count` is negative, whether or not the limit allows it."""
        self.used += count
        self.peak = max(self.peak, self.used)

    def set_limit(self, limit: int) -> None:
        """Change the limit, and ask for bytes to be released if more are in use."""
        self.limit = limit
        if self.excess:
            self.reclaim(self.excess)


class MemoryAccount:
    """The bytes of one connection in a budget."""

    __slots__ = ("budget", "held")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held = 0

    def grow(self, count: int) -> None:
        """Hold further bytes. Raise MemoryLimitError if the budget does not allow it."""
        if not self.budget.reserve(count):
            raise MemoryLimitError(
                f"memory: {count} bytes more are needed, {self.budget.used} of {self.budget.limit} are in use"
            )
        self.held += count

    def add(self, count: int) -> None:
        """Hold further bytes, or fewer if `count` is negative, whether or not the limit allows it."""
        self.held += count
        self.budget.add(count)

    def shrink(self, count: int) -> None:
        """Release bytes."""
        self.add(-count)

    def close(self) -> None:
        """Release all bytes."""
        self.shrink(self.held)
