"""Binds the store to a running dispatcher: the threads, the transfer, the resends and the maintenance."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from honeyhitch import logs
from honeyhitch.dead_letters import operations
from honeyhitch.dead_letters.journal_transfer import JournalTransfer, log_dropped
from honeyhitch.dead_letters.resend_scheduler import ResendScheduler
from honeyhitch.dead_letters.settings import DeadLetterSettings
from honeyhitch.dead_letters.store import Store
from honeyhitch.dead_letters.worker import Job, StoreWorker
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.dispatcher.ports import Scheduler

log = logs.get()
MAINTENANCE_INTERVAL_SECONDS = 600.0
QUEUE_TIMEOUT_SECONDS = 2.0  # for what the store is to do at the start, and for the queues at the end
SWITCH_INTERVAL_SECONDS = 0.0002  # the standard 5 ms would stall the loop for as long
MAX_WAITING_READS = 64


class StoreBusyError(Exception):
    """The queue to the store is full."""


class DeadLetterService:
    """One store under a running dispatcher; a second thread reads, so that no question delays a write."""

    def __init__(
        self,
        settings: DeadLetterSettings,
        state_directory: Path,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._loop = loop
        # The threads hold the interpreter for this long at most before the loop gets its turn.
        sys.setswitchinterval(min(sys.getswitchinterval(), SWITCH_INTERVAL_SECONDS))
        directory = settings.directory_in(state_directory)

        def open_store(writes: bool) -> Store:
            return Store(
                directory,
                settings.limits,
                settings.compress_min_bytes,
                scheduler.now,
                writes,
                settings.resend_settings,
            )

        post: Callable[[Callable[[], None]], object] = loop.call_soon_threadsafe
        self._writer = StoreWorker(lambda: open_store(writes=True), post)
        self._reader = StoreWorker(lambda: open_store(writes=False), post, MAX_WAITING_READS)
        self.journal_transfer = JournalTransfer(
            dispatcher.settings,
            dispatcher.journal,
            scheduler,
            self._writer.submit,
            dispatcher.dead_letter_stored,
        )
        dispatcher.dead_letter_sink = self.journal_transfer
        self.resend_scheduler = ResendScheduler(settings, dispatcher, scheduler, self._writer.submit)
        self.journal_transfer.stored_listeners.append(self.resend_scheduler.records_stored)

    def start(self, on_ready: Callable[[], None]) -> None:
        """Learn what the store holds; `on_ready` is called then, or once it has taken too long."""
        called = False

        def call_ready() -> None:
            nonlocal called
            if not called:
                called = True
                on_ready()

        self.resend_scheduler.load(call_ready)
        self._loop.call_later(QUEUE_TIMEOUT_SECONDS, call_ready)

    def metrics(self) -> dict[str, Any]:
        """The service's state, for the control socket."""
        transfer = self.journal_transfer
        discarded = transfer.counts.discarded
        return {
            "moved": transfer.counts.moved,
            "let_go": {"never_ran": discarded[False], "may_have_run": discarded[True]},
            "waiting": len(transfer.pending),
            "failing": transfer.last_error,
            **self.resend_scheduler.state_summary(),
        }

    async def execute(self, operation: str, arguments: dict[str, Any], actor: str) -> dict[str, Any]:
        """Do an operation on the store (operations.py).

        Raises StoreBusyError, OperationError, StoreError, sqlite3.Error.
        """
        worker = self._reader if operation in operations.READS else self._writer
        return dict(
            await self._run(worker, lambda store: operations.execute(store, operation, arguments, actor))
        )

    async def _run(self, worker: StoreWorker, job: Job) -> Any:
        """The job's result. Raises StoreBusyError, and whatever the job raises."""
        future: asyncio.Future[Any] = self._loop.create_future()

        def done(result: Any) -> None:
            if future.done():  # the request was cancelled
                return
            if isinstance(result, Exception):
                future.set_exception(result)
            else:
                future.set_result(result)

        if not worker.submit(job, done):
            raise StoreBusyError("the queue to the store is full")
        return await future

    async def maintain(self) -> None:
        """Drop from time to time what is over age, also where nothing new comes."""
        while True:
            try:
                log_dropped(await self._run(self._writer, Store.enforce_limits))
                await self._run(self._writer, Store.reclaim_space)
            except Exception as error:  # noqa: BLE001  # whatever failed, the next job opens the store again
                log.error("dead-letter.store-failed", error=str(error), key=str(error))
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Finish what is queued, for a bounded time; the rest stays in the journal."""
        await asyncio.gather(
            *(
                asyncio.to_thread(worker.stop, QUEUE_TIMEOUT_SECONDS)
                for worker in (self._writer, self._reader)
            )
        )
