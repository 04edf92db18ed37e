"""Helpers to wait in tests: for an event, or by polling if another process holds the state."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable

LIMIT_SECONDS = float(os.environ.get("PLAY_TIMEOUT", "60"))  # the time limit of a whole test
INTERVAL_SECONDS = 0.02


class Changes:
    """Lets a test wait for a condition that only changes when `notify` is called."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Make every waiting task check its condition again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Return once the condition holds. If it never holds, the time limit of the test ends the wait."""
        while not condition():
            await self.changed.wait()


async def poll_until(
    condition: Callable[[], Awaitable[bool]],
    interval: float = INTERVAL_SECONDS,
    limit: float = LIMIT_SECONDS,
) -> None:
    """Check the state of another process every `interval` seconds until it holds.

    Raise TimeoutError after `limit` seconds.
    """
    async with asyncio.timeout(limit):
        while True:
            if await condition():
                return
            await asyncio.sleep(interval)


async def poll_condition(
    condition: Callable[[], object],
    interval: float = INTERVAL_SECONDS,
    limit: float = LIMIT_SECONDS,
) -> None:
    """Check the state of this process every `interval` seconds until it holds; 0 is every loop turn.

    Raise TimeoutError after `limit` seconds.
    """
    async with asyncio.timeout(limit):
        while True:
            if condition():
                return
            await asyncio.sleep(interval)
