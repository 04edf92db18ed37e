"""The queue of messages that may share a call, with the most urgent message first."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, Protocol, TypeVar


class QueuedMessage(Protocol):
    """The attributes of a message that the queue uses."""

    queued: bool  # a message with False is dropped when it reaches the head of the queue
    deadline: int  # ns


M = TypeVar("M", bound=QueuedMessage)


class MessageQueue(Generic[M]):
    """Messages inside their latency objective, earliest end first, then late ones, latest deadline first.

    Times are nanoseconds. Messages with equal times are ordered by their sequence number.
    """

    def __init__(self) -> None:
        self._in_time: list[tuple[int, int, M]] = []
        self._late: list[tuple[int, int, M]] = []

    def __len__(self) -> int:
        """Return the number of entries, including entries no longer queued that are not dropped yet."""
        return len(self._in_time) + len(self._late)

    def push(self, objective_at: int, sequence: int, message: M) -> None:
        """Add a message whose latency objective ends at `objective_at`."""
        heappush(self._in_time, (objective_at, sequence, message))

    def head(self, now: int) -> M | None:
        """Return the first queued message without removing it, or None if there is none."""
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
        """Drop late entries that are no longer queued each time the number of late entries has doubled."""
        size = len(self._late)
        if size & (size - 1) == 0:
            self._late[:] = sorted(entry for entry in self._late if entry[2].queued)
