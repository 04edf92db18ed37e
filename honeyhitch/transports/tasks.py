"""The event loop as the dispatcher's scheduler, and tasks whose failures are always reported."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from honeyhitch import logs
from honeyhitch.time_units import SECOND

log = logs.get()
INITIAL_RESTART_PAUSE_SECONDS = 0.05
MAX_RESTART_PAUSE_SECONDS = 2.0  # a task that ran for longer restarts with the initial pause again


class LoopScheduler:
    """A clock that never goes back, and the timers of the running loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The Unix time in nanoseconds; steps of the system clock after the start are not followed."""
        return time.monotonic_ns() + self.offset

    def call_at(self, when: int, what: Callable[[], None]) -> None:
        """Call `what` at a Unix time in nanoseconds, or soon if it is past."""
        delay = when - self.now()
        if delay <= 0:
            self.loop.call_soon(what)
        else:
            self.loop.call_later(delay / SECOND, what)


class Tasks:
    """Every task of the process. A failure is reported; a task that should run forever is restarted."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.running: set[asyncio.Task[None]] = set()
        self.stopping = False

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run something that ends by itself."""
        task = self.loop.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def run_forever(self, function: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Run something that should not end; if it does, it is restarted after a growing pause."""
        return self.start(self._restart_forever(function))

    async def _restart_forever(self, function: Callable[[], Awaitable[None]]) -> None:
        pause = INITIAL_RESTART_PAUSE_SECONDS
        while True:
            began = self.loop.time()
            try:
                await function()
            except Exception as error:  # noqa: BLE001  # a task that fails is started again
                name = str(getattr(function, "__qualname__", function))
                log.warning("task.restarted", work=name, error=f"{type(error).__name__}: {error}", key=name)
            if self.stopping:  # a cancelled task group may raise a failure instead of the cancellation
                return
            if self.loop.time() - began > MAX_RESTART_PAUSE_SECONDS:
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
