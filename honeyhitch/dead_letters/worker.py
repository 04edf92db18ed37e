"""A thread that does a store's I/O, so that an fsync does not stall the event loop."""

from __future__ import annotations

import contextlib
import queue
import sqlite3
import threading
from collections.abc import Callable
from typing import Any

from honeyhitch import logs
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.store import Store

log = logs.get_logger()
MAX_BATCH_JOBS = 64  # jobs in one transaction
MAX_QUEUED_JOBS = 1024
Job = Callable[[Store], Any]
JobCallback = Callable[[Any], None]  # receives the job's result, or the exception that the job raised


class StoreWorker:
    """A thread that runs jobs on one store from a bounded queue; `post` runs a callback on the event loop."""

    def __init__(
        self,
        open_store: Callable[[], Store],
        post: Callable[[Callable[[], None]], object],
        max_jobs: int = MAX_QUEUED_JOBS,
    ) -> None:
        self._open_store = open_store
        self._post = post
        self._jobs: queue.Queue[tuple[Job, JobCallback] | None] = queue.Queue(max_jobs)
        self._store: Store | None = None
        self._thread = threading.Thread(target=self._run, name="undelivered", daemon=True)
        self._thread.start()

    def submit(self, job: Job, on_done: JobCallback) -> bool:
        """Queue a job and return True, or return False if the queue is full.

        `on_done` is called on the event loop with the result of the queued job, or with the exception that
        the job raised.
        """
        try:
            self._jobs.put_nowait((job, on_done))
        except queue.Full:
            return False
        return True

    def stop(self, timeout_seconds: float) -> None:
        """Ask the thread to end after the queued jobs, and wait for it at most twice `timeout_seconds`."""
        try:
            self._jobs.put(None, timeout=timeout_seconds)
        except queue.Full:
            return
        self._thread.join(timeout_seconds)

    # The methods below run in the thread.

    def _run(self) -> None:
        stopping = False
        while not stopping:
            batch = self._next_batch()
            stopping = None in batch
            self._run_batch([queued for queued in batch if queued is not None])
        self._close()

    def _next_batch(self) -> list[tuple[Job, JobCallback] | None]:
        """Wait for a job, and return it with the jobs queued behind it. None is the request to stop."""
        batch = [self._jobs.get()]
        while len(batch) < MAX_BATCH_JOBS:
            try:
                batch.append(self._jobs.get_nowait())
            except queue.Empty:
                break
        return batch

    def _run_batch(self, batch: list[tuple[Job, JobCallback]]) -> None:
        try:
            results = self._run_in_transaction([job for job, _ in batch])
        except Exception as error:  # noqa: BLE001  # the error must reach the callback and not end the thread
            if len(batch) > 1:  # a single job may be the cause: run each job in a separate transaction
                for queued in batch:
                    self._run_batch([queued])
                return
            self._handle_failure(error)
            results = [error]
        for (_, on_done), result in zip(batch, results, strict=True):
            self._report(on_done, result)

    def _handle_failure(self, error: Exception) -> None:
        if not isinstance(error, (StoreError, sqlite3.Error, OSError)):
            log.error("dead-letter.job-failed", exc_info=error)
        if isinstance(error, (sqlite3.DatabaseError, OSError)):
            self._close()  # the next job opens the store again

    def _run_in_transaction(self, jobs: list[Job]) -> list[Any]:
        if self._store is not None and not self._store.path_names_open_file():
            self._close()
        if not jobs:
            return []
        if self._store is None:
            self._store = self._open_store()
        store = self._store
        if not store.writable:
            return [job(store) for job in jobs]
        with store.transaction():
            return [job(store) for job in jobs]

    def _report(self, on_done: JobCallback, result: Any) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed
            self._post(lambda: on_done(result))

    def _close(self) -> None:
        if self._store is None:
            return
        store = self._store
        self._store = None
        try:
            store.close()
        except sqlite3.Error as error:
            log.warning("dead-letter.store-close-failed", error=str(error))
