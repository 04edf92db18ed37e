"""Repeats writes to the state directory that failed, until they succeed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

RETRY_SECONDS = 0.05


class StateWriter:
    """Calls `write` every RETRY_SECONDS from `retry_later` on, until it returns that nothing is left."""

    def __init__(self, loop: asyncio.AbstractEventLoop, write: Callable[[], bool]) -> None:
        self.loop = loop
        self.write = write
        self.timer: asyncio.TimerHandle | None = None

    def retry_later(self) -> None:
        """Schedule the next attempt, unless one is scheduled already."""
        if self.timer is None:
            self.timer = self.loop.call_later(RETRY_SECONDS, self._retry)

    def _retry(self) -> None:
        self.timer = None
        if not self.write():
            self.retry_later()

    def stop(self) -> None:
        """Write no more, since the state directory is about to be closed."""
        if self.timer is not None:
            self.timer.cancel()
