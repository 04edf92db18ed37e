"""Messages that wait for one kind of call, the most urgent first. It decides nothing beyond that order."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, Protocol, TypeVar


class QueuedMessage(Protocol):
    """What a queue needs to know of a message."""

    queued: bool  # it still waits; one that does not is dropped when its turn comes
    deadline: int


M = TypeVar("M", bound=QueuedMessage)


class MessageQueue(Generic[M]):
    """Those whose aim lies ahead come first, by their aim; then the late ones, the freshest first.

    Times are nanoseconds. A sequence number with each message keeps the order of those that are equal.
    """

    def __init__(self) -> None:
        self._in_time: list[tuple[int, int, M]] = []
        self._late: list[tuple[int, int, M]] = []

    def __len__(self) -> int:
        """How many there are, with those that do not wait any more and have not been dropped yet."""
        return len(self._in_time) + len(self._late)

    def push(self, aim: int, sequence: int, message: M) -> None:
        """Add a message that is wanted by `aim`."""
        heappush(self._in_time, (aim, sequence, message))

    def head(self, now: int) -> M | None:
        """The first of those that wait; it stays where it is."""
        in_time, late = self._in_time, self._late
        while in_time and (not in_time[0][2].queued or in_time[0][0] <= now):
            _, sequence, message = heappop(in_time)
            if message.queued:
                heappush(late, (-message.deadline, sequence, message))
                self._tidy()
        while late and not late[0][2].queued:
            heappop(late)
        if in_time:
            return in_time[0][2]
        return late[0][2] if late else None

    def _tidy(self) -> None:
        """At each doubling, what has ended beneath the top goes."""
        if not len(self._late) & (len(self._late) - 1):
            self._late[:] = sorted(one for one in self._late if one[2].queued)
