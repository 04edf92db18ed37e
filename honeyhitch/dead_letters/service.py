"""Binds the store to a running dispatcher: the threads, the mover, and the care that comes round."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from honeyhitch import logs
from honeyhitch.dead_letters import operations
from honeyhitch.dead_letters.journal_transfer import JournalTransfer, tell_dropped
from honeyhitch.dead_letters.resending import ResendScheduler
from honeyhitch.dead_letters.settings import DeadLetterSettings
from honeyhitch.dead_letters.store import Store
from honeyhitch.dead_letters.worker import Job, Worker
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.dispatcher.ports import Scheduler

log = logs.get()
CARE = 600.0  # seconds between looks at what is over age
PATIENCE = 2.0  # seconds for what is in the queues at the end
SWITCH = 0.0002  # seconds; the standard 5 ms would stall the loop for as long
READS = 64  # questions waiting at most


class StoreBusyError(Exception):
    """The queue to the store is full."""


class DeadLetterService:
    """One store under a running dispatcher; a second thread reads, so that no question delays a write."""

    def __init__(
        self,
        setup: DeadLetterSettings,
        state: Path,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        folder, limits, clock = setup.at(state), setup.limits, scheduler.now
        self.loop = loop
        # The threads hold the interpreter for this long at most before the loop gets its turn.
        sys.setswitchinterval(min(sys.getswitchinterval(), SWITCH))
        post: Callable[[Callable[[], None]], object] = loop.call_soon_threadsafe
        terms = setup.terms
        self.writer = Worker(lambda: Store(folder, limits, setup.compress_from, clock, terms=terms), post)
        self.reader = Worker(
            lambda: Store(folder, limits, clock=clock, writes=False, terms=terms), post, READS
        )
        self.moving = JournalTransfer(
            dispatcher.settings,
            dispatcher.journal,
            scheduler,
            self.writer.submit,
            dispatcher.dead_letter_stored,
        )
        dispatcher.dead_letter_sink = self.moving
        self.resending = ResendScheduler(setup, dispatcher, scheduler, self.writer.submit)
        self.moving.after.append(self.resending.kept)

    def begin(self, ready: Callable[[], None]) -> None:
        """Learn what is kept; `ready` is called then, or once it has taken too long."""
        told: list[bool] = []

        def once() -> None:
            if not told:
                told.append(True)
                ready()

        self.resending.begin(once)
        self.loop.call_later(PATIENCE, once)

    def metrics(self) -> dict[str, Any]:
        """How it stands, for people."""
        moving = self.moving
        let_go = {"never_ran": moving.figures.let_go[False], "may_have_run": moving.figures.let_go[True]}
        told = {"moved": moving.figures.moved, "let_go": let_go, "waiting": len(moving.waiting)}
        return told | {"failing": moving.failing} | self.resending.figures()

    async def ask(self, name: str, told: dict[str, Any], who: str) -> dict[str, Any]:
        """Do an operation on the store (operations.py).

        Raises Busy, OperationError, StoreError, sqlite3.Error.
        """
        worker = self.reader if name in operations.READS else self.writer
        return dict(await self._done(worker, lambda store: operations.done(store, name, told, who)))

    async def _done(self, worker: Worker, job: Job) -> Any:
        waiter: asyncio.Future[Any] = self.loop.create_future()

        def done(result: Any) -> None:
            if waiter.done():  # whoever asked has gone away
                return
            if isinstance(result, Exception):
                waiter.set_exception(result)
            else:
                waiter.set_result(result)

        if not worker.submit(job, done):
            raise StoreBusyError("the queue to the store is full")
        return await waiter

    async def maintain(self) -> None:
        """Drop from time to time what is over age, also where nothing new comes."""
        while True:
            try:
                tell_dropped(await self._done(self.writer, Store.make_room))
                await self._done(self.writer, Store.tidy)
            except Exception as error:  # the store is opened again with the next job
                log.error("dead-letter.store-failed", error=str(error), key=str(error))
            await asyncio.sleep(CARE)

    async def stop(self) -> None:
        """Write what is on its way, for a bounded time; the rest stays in the journal."""
        await asyncio.gather(
            *(asyncio.to_thread(worker.stop, PATIENCE) for worker in (self.writer, self.reader))
        )
