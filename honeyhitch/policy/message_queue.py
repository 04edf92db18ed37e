"""The queue of messages for one kind of call, the most urgent first."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, Protocol, TypeVar


class QueuedMessage(Protocol):
    """What a queue needs to know of a message."""

    queued: bool  # a message that is no longer queued is dropped when it comes to the front
    deadline: int  # ns


M = TypeVar("M", bound=QueuedMessage)


class MessageQueue(Generic[M]):
    """Messages inside their latency objective come first, by objective; then the late ones, freshest first.

    Times are nanoseconds. A sequence number with each message keeps the order of those that are equal.
    """

    def __init__(self) -> None:
        self._in_time: list[tuple[int, int, M]] = []
        self._late: list[tuple[int, int, M]] = []

    def __len__(self) -> int:
        """The number of entries, counting those no longer queued that have not been dropped yet."""
        return len(self._in_time) + len(self._late)

    def push(self, objective_at: int, sequence: int, message: M) -> None:
        """Add a message whose latency objective ends at `objective_at`."""
        heappush(self._in_time, (objective_at, sequence, message))

    def head(self, now: int) -> M | None:
        """The first queued message; it stays in the queue."""
        in_time = self._in_time
        late = self._late
        while in_time and (not in_time[0][2].queued or in_time[0][0] <= now):
            _, sequence, message = heappop(in_time)
            if message.queued:
                heappush(late, (-message.deadline, sequence, message))
                self._compact()
        while late and not late[0][2].queued:
            heappop(late)
        if in_time:
            return in_time[0][2]
        return late[0][2] if late else None

    def _compact(self) -> None:
        """Drop late entries that are no longer queued, each time the number of entries doubles."""
        size = len(self._late)
        if size & (size - 1) == 0:
            self._late[:] = sorted(entry for entry in self._late if entry[2].queued)
