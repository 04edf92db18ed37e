"""Tasks that do not die silently, and the loop as the core's scheduler."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from honeyhitch import logs
from honeyhitch.time_units import SECOND

log = logs.get()
INITIAL_RESTART_PAUSE_SECONDS, MAX_RESTART_PAUSE_SECONDS = (
    0.05,
    2.0,
)  # seconds between tries to reach something again


class LoopScheduler:
    """Unix time that only moves forward, and timers of the running loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Unix time in nanoseconds; a step of the system's clock after the start is not followed."""
        return time.monotonic_ns() + self.offset

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        """Call it then, or as soon as may be."""
        left = when - self.now()
        if left <= 0:
            self.loop.call_soon(callback)
        else:
            self.loop.call_later(left / SECOND, callback)


class Tasks:
    """Every task of the process. One that fails is reported; if it was to run for ever, it starts again."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.running, self.stopping = loop, set[asyncio.Task[None]](), False

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run something that ends by itself."""
        task = self.loop.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._done)
        return task

    def run_forever(self, function: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Run something that should not end; when it does, it starts again after a growing pause."""
        return self.start(self._restart_forever(function))

    async def _restart_forever(self, work: Callable[[], Awaitable[None]]) -> None:
        pause = INITIAL_RESTART_PAUSE_SECONDS
        while True:
            began = self.loop.time()
            try:
                await work()
            except Exception as error:
                name = str(getattr(work, "__qualname__", work))
                log.warning(
                    "task.restarted",
                    work=name,
                    error=f"{type(error).__name__}: {error}",
                    key=name,
                )
            if self.stopping:  # a group of tasks that fails as it is cancelled raises its failure instead
                return
            if self.loop.time() - began > MAX_RESTART_PAUSE_SECONDS:
                pause = INITIAL_RESTART_PAUSE_SECONDS
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RESTART_PAUSE_SECONDS)

    def _done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("task.failed", task=task.get_name(), exc_info=error)

    async def stop(self) -> None:
        """Cancel all that still run, and wait till they have let go of what they hold."""
        self.stopping, running = True, list(self.running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
