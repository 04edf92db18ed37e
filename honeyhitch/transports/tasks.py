"""The event loop as the dispatcher's scheduler, and tasks whose failures are always logged."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from honeyhitch import logs
from honeyhitch.time_units import SECOND

log = logs.get_logger()
INITIAL_RESTART_PAUSE_SECONDS = 0.05
MAX_RESTART_PAUSE_SECONDS = 2.0  # a task that ran for longer than this restarts with the initial pause


class LoopScheduler:
    """A clock that never goes back, and timers of the event loop.

    `offset` is the Unix time in nanoseconds at which the monotonic clock was 0; the wall clock gives it if
    it is None.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, offset: int | None = None) -> None:
        self.loop = loop
        self.offset = time.time_ns() - time.monotonic_ns() if offset is None else offset

    def now(self) -> int:
        """Return the Unix time in nanoseconds; steps of the system clock after the start are ignored."""
        return time.monotonic_ns() + self.offset

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        """Call `callback` at the Unix time `when` in nanoseconds, or as soon as possible if it is past."""
        delay = when - self.now()
        if delay <= 0:
            self.loop.call_soon(callback)
        else:
            self.loop.call_later(delay / SECOND, callback)


class Tasks:
    """All tasks of the process. Failures are logged, and tasks that should never end are restarted."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.running: set[asyncio.Task[None]] = set()
        self.stopping = False

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task that ends by itself, and return it."""
        task = self.loop.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def run_forever(self, function: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Start a task that should never end, and return it.

        Whenever `function` returns or fails, it is called again after a pause, which doubles each time up to
        MAX_RESTART_PAUSE_SECONDS.
        """
        return self.start(self._restart_forever(function))

    async def _restart_forever(self, function: Callable[[], Awaitable[None]]) -> None:
        pause = INITIAL_RESTART_PAUSE_SECONDS
        while True:
            started_at = self.loop.time()
            try:
                await function()
            except Exception as error:  # noqa: BLE001  # the function is called again after any failure
                name = str(getattr(function, "__qualname__", function))
                log.warning("task.restarted", work=name, error=f"{type(error).__name__}: {error}", key=name)
            if self.stopping:  # a cancelled task group may raise another exception than CancelledError
                return
            if self.loop.time() - started_at > MAX_RESTART_PAUSE_SECONDS:
                pause = INITIAL_RESTART_PAUSE_SECONDS
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RESTART_PAUSE_SECONDS)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("task.failed", task=task.get_name(), exc_info=error)

    async def stop(self) -> None:
        """Cancel all running tasks, and wait until they have released their resources."""
        self.stopping = True
        running = list(self.running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
