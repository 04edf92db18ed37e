"""Shares the iterations of the event loop among connections that have complete requests."""

from __future__ import annotations

import asyncio
from collections import deque

SLICES_PER_ITERATION = 16
MAX_REQUESTS_PER_SLICE = 16  # of one connection, while no other connection waits for its time slice


class RequestScheduler:
    """Grants time slices to connections, round-robin, a limited number in each iteration.

    Other work of the process, such as accepting connections, goes on between iterations.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.left = SLICES_PER_ITERATION
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.refill_scheduled = False

    async def wait(self) -> None:
        """Return when the connection of the caller may have its requests answered."""
        self._schedule_refill()
        if self.left and not self.waiting:
            self.left -= 1
            return
        grant = self.loop.create_future()
        self.waiting.append(grant)
        await grant

    @property
    def requests_per_slice(self) -> int:
        """The number of requests that a connection may have answered in its time slice."""
        return max(1, MAX_REQUESTS_PER_SLICE // (1 + len(self.waiting)))

    def _schedule_refill(self) -> None:
        if not self.refill_scheduled:
            self.refill_scheduled = True
            self.loop.call_soon(self._refill)

    def _refill(self) -> None:
        self.refill_scheduled = False
        self.left = SLICES_PER_ITERATION
        while self.left and self.waiting:
            grant = self.waiting.popleft()
            if not grant.done():  # its connection was cancelled meanwhile
                grant.set_result(None)
                self.left -= 1
        if self.waiting:
            self._schedule_refill()
