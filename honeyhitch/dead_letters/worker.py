"""A thread that does a store's I/O, so that no sync of the disk stalls the event loop."""

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

log = logs.get()
TOGETHER = 64  # jobs in one transaction at most
Job = Callable[[Store], Any]
Done = Callable[[Any], None]  # given what the job returned, or the exception that it ended with


class Worker:
    """One thread, one store, and a bounded queue of jobs; `post` has something done on the event loop."""

    def __init__(
        self, open_store: Callable[[], Store], post: Callable[[Callable[[], None]], object], most: int = 1024
    ) -> None:
        self.open_store, self.post = open_store, post
        self.jobs: queue.Queue[tuple[Job, Done] | None] = queue.Queue(most)
        self.store: Store | None = None
        self.thread = threading.Thread(target=self._run, name="undelivered", daemon=True)
        self.thread.start()

    def submit(self, job: Job, done: Done) -> bool:
        """Have it done; False if the queue is full. `done` is called on the loop in any case then."""
        try:
            self.jobs.put_nowait((job, done))
        except queue.Full:
            return False
        return True

    def stop(self, seconds: float) -> None:
        """Do what is in the queue, within this time, and end."""
        try:
            self.jobs.put(None, timeout=seconds)
        except queue.Full:
            return
        self.thread.join(seconds)

    # In the thread.

    def _run(self) -> None:
        ending = False
        while not ending:
            batch = [self.jobs.get()]
            while len(batch) < TOGETHER:
                try:
                    batch.append(self.jobs.get_nowait())
                except queue.Empty:
                    break
            ending = None in batch
            self._do([one for one in batch if one is not None])
        self._close()

    def _do(self, batch: list[tuple[Job, Done]]) -> None:
        try:
            results = self._together([job for job, _ in batch])
        except Exception as error:  # whatever it is, it must reach whoever waits, and not end the thread
            if len(batch) > 1:  # one of them may be at fault: each for itself
                for one in batch:
                    self._do([one])
                return
            if not isinstance(error, (StoreError, sqlite3.Error, OSError)):
                log.error("dead-letter.job-failed", exc_info=error)
            if isinstance(error, (sqlite3.DatabaseError, OSError)):
                self._close()  # opened anew for the next one
            results = [error]
        for (_, done), result in zip(batch, results, strict=True):
            self._tell(done, result)

    def _together(self, jobs: list[Job]) -> list[Any]:
        if self.store is not None and not self.store.there():
            self._close()
        if self.store is None and jobs:
            self.store = self.open_store()
        if self.store is None or self.store.lock < 0:
            return [job(self.store) for job in jobs] if self.store is not None else []
        with self.store.at_once():
            return [job(self.store) for job in jobs]

    def _tell(self, done: Done, result: Any) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits any more
            self.post(lambda: done(result))

    def _close(self) -> None:
        if self.store is not None:
            store, self.store = self.store, None
            try:
                store.close()
            except sqlite3.Error as error:
                log.warning("dead-letter.store-close-failed", error=str(error))
