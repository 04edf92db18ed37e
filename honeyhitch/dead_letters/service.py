"""Connects the dead-letter store to a running dispatcher: threads, transfer, resends and maintenance."""

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

log = logs.get_logger()
MAINTENANCE_INTERVAL_SECONDS = 600.0
QUEUE_TIMEOUT_SECONDS = 2.0  # limit for loading the store at start and for finishing the queues at stop
SWITCH_INTERVAL_SECONDS = 0.0002  # Python's default of 5 ms would stall the event loop for that long
MAX_WAITING_READS = 64


class StoreBusyError(Exception):
    """The queue to the store is full."""


class DeadLetterService:
    """The dead-letter store of a running dispatcher. A second thread reads, so queries delay no write."""

    def __init__(
        self,
        settings: DeadLetterSettings,
        state_directory: Path,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._loop = loop
        # A store thread holds the interpreter lock for at most this long before the event loop can run.
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
        """Load the state of the store.

        `on_ready` is called once, when loading has ended or after QUEUE_TIMEOUT_SECONDS, whichever is first.
        """
        called = False

        def call_ready() -> None:
            nonlocal called
            if not called:
                called = True
                on_ready()

        self.resend_scheduler.load(call_ready)
        self._loop.call_later(QUEUE_TIMEOUT_SECONDS, call_ready)

    def metrics(self) -> dict[str, Any]:
        """Return the service's state for the control socket."""
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
        """Run an operation on the store (operations.py) and return its answer.

        Raise StoreBusyError if the queue to the store is full, OperationError if the request is invalid or
        the store is damaged, and StoreError or sqlite3.Error if the store cannot be opened, read or written.
        """
        worker = self._reader if operation in operations.READS else self._writer
        return dict(
            await self._run(worker, lambda store: operations.execute(store, operation, arguments, actor))
        )

    async def _run(self, worker: StoreWorker, job: Job) -> Any:
        """Return the job's result. Raise StoreBusyError if the queue is full, and any error of the job."""
        future: asyncio.Future[Any] = self._loop.create_future()

        def on_done(result: Any) -> None:
            if future.done():  # the request was cancelled
                return
            if isinstance(result, Exception):
                future.set_exception(result)
            else:
                future.set_result(result)

        if not worker.submit(job, on_done):
            raise StoreBusyError("the queue to the store is full")
        return await future

    async def maintain(self) -> None:
        """Drop records beyond the store's limits every MAINTENANCE_INTERVAL_SECONDS, and free their space.

        Records that are over age are dropped in this way even if no new record arrives.
        """
        while True:
            try:
                log_dropped(await self._run(self._writer, Store.enforce_limits))
                await self._run(self._writer, Store.reclaim_space)
            except Exception as error:  # noqa: BLE001  # the next job opens the store again after any failure
                log.error("dead-letter.store-failed", error=str(error), key=str(error))
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Finish the queued jobs within a bounded time; messages not stored by then stay in the journal."""
        await asyncio.gather(
            *(
                asyncio.to_thread(worker.stop, QUEUE_TIMEOUT_SECONDS)
                for worker in (self._writer, self._reader)
            )
        )
