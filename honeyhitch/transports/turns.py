"""Shares the iterations of the event loop among connections that have complete requests."""

from __future__ import annotations

import asyncio
from collections import deque

TURNS_PER_ITERATION = 16
MAX_REQUESTS_PER_TURN = 16  # of one connection, while no other connection waits for its turn


class RequestTurns:
    """Grants turns to connections in the order in which they ask, a limited number in each iteration.

    Other work of the process, such as accepting connections, goes on between iterations.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.left = TURNS_PER_ITERATION
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.refill_scheduled = False

    async def wait(self) -> None:
        """Return when the connection of the caller may have its requests answered."""
        self._schedule_refill()
        if self.left and not self.waiting:
            self.left -= 1
            return
        turn = self.loop.create_future()
        self.waiting.append(turn)
        await turn

    @property
    def requests_per_turn(self) -> int:
        """The number of requests that a connection may have answered in its turn."""
        return max(1, MAX_REQUESTS_PER_TURN // (1 + len(self.waiting)))

    def _schedule_refill(self) -> None:
        if not self.refill_scheduled:
            self.refill_scheduled = True
            self.loop.call_soon(self._refill)

    def _refill(self) -> None:
        self.refill_scheduled = False
        self.left = TURNS_PER_ITERATION
        while self.left and self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():  # its connection was cancelled meanwhile
                turn.set_result(None)
                self.left -= 1
        if self.waiting:
            self._schedule_refill()
