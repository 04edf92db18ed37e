"""A dispatcher in virtual time with a real dead-letter store. A test can kill it at any write."""

from __future__ import annotations

import contextlib
import os
import sqlite3
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from honeyhitch.dead_letters.journal_transfer import JournalTransfer
from honeyhitch.dead_letters.settings import ResendSettings, StoreLimits
from honeyhitch.dead_letters.store import Store
from honeyhitch.dead_letters.worker import Job, JobCallback
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.record_codec import encode_record
from honeyhitch.journal.records import Record

from .rig import DispatcherRig, VirtualTime
from .world import SECOND

NEVER_KILLED = -1


class Killed(BaseException):
    """Simulates the kill of the process: raised at a kill point and not handled by the code under test."""


class KillPoints:
    """Counts the points at which the process may be killed, and kills it at the point `kill_at`."""

    def __init__(self, kill_at: int = NEVER_KILLED) -> None:
        self.kill_at = kill_at
        self.count = 0

    def reaches_kill(self) -> bool:
        """Count one more point, and return whether the process is killed there."""
        self.count += 1
        return self.count == self.kill_at

    def pass_point(self) -> None:
        """Count one more point. Raise Killed if the process is killed there."""
        if self.reaches_kill():
            raise Killed


class KilledJournal(Journal):
    """A journal whose process may be killed before, during and after each write."""

    kill_points = KillPoints()

    def append(self, record: Record, disk_fraction: float = 0.95) -> None:
        self.kill_points.pass_point()
        if self.kill_points.reaches_kill():
            data = encode_record(record)
            os.write(self.file.fd, data[: len(data) // 2])
            raise Killed
        super().append(record, disk_fraction)
        self.kill_points.pass_point()


class KilledStore(Store):
    """A store whose process may be killed before, during and after each transaction."""

    kill_points = KillPoints()

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        if self.database.in_transaction:
            yield
            return
        self.kill_points.pass_point()
        with super().transaction():
            yield
            self.kill_points.pass_point()
        self.kill_points.pass_point()


class InlineWorker:
    """Replaces the worker's thread: a job runs at the next event in virtual time, or fails with `failure`."""

    def __init__(self, open_store: Callable[[], Store], time: VirtualTime) -> None:
        self._open_store = open_store
        self.time = time
        self.store: Store | None = None
        self.failure: Exception | None = None

    def submit(self, job: Job, on_done: JobCallback) -> bool:
        """Queue a job like StoreWorker.submit and return True; the queue is never full."""
        self.time.call_at(self.time.time, lambda: self._run(job, on_done))
        return True

    def _run(self, job: Job, on_done: JobCallback) -> None:
        try:
            if self.failure is not None:
                raise self.failure
            store = self.open()
            with store.transaction():
                result = job(store)
        except (sqlite3.Error, OSError) as error:
            result = error
        on_done(result)

    def open(self) -> Store:
        """Open the store if it is not open, and return it."""
        if self.store is None:
            self.store = self._open_store()
        return self.store

    def close(self) -> None:
        """Close the store if it is open."""
        if self.store is not None:
            self.store.close()
            self.store = None


class DeadLetterRig(DispatcherRig):
    """A dispatcher with a dead-letter store. `kill_points` determines where the process is killed."""

    resend_settings = ResendSettings()

    def __init__(
        self,
        folder: Path,
        time: VirtualTime | None = None,
        kill_points: KillPoints | None = None,
        limits: StoreLimits | None = None,
        **rig_options: Any,
    ) -> None:
        self.folder = folder
        self.kill_points = kill_points or KillPoints()
        self.limits = limits or StoreLimits()
        super().__init__(folder, time, **rig_options)

    def make_journal(self, folder: Path, max_journal_bytes: int) -> Journal:
        journal = KilledJournal.__new__(KilledJournal)
        journal.kill_points = self.kill_points  # set before __init__, which already writes
        journal.__init__(folder, max_journal_bytes, self.time.now, lambda _ended: 20 * SECOND, detailed=True)  # type: ignore[misc]
        return journal

    def _open_store(self) -> Store:
        store = KilledStore(
            self.folder / "undelivered",
            self.limits,
            clock=self.time.now,
            resend_settings=self.resend_settings,
        )
        store.kill_points = self.kill_points
        return store

    def before_recovery(self) -> None:
        self.worker = InlineWorker(self._open_store, self.time)
        self.journal_transfer = JournalTransfer(
            self.settings, self.journal, self.time, self.worker.submit, self.dispatcher.dead_letter_stored
        )
        self.dispatcher.dead_letter_sink = self.journal_transfer

    @property
    def store(self) -> Store:
        """The store, which is opened if it is not open."""
        return self.worker.open()

    def close_as_killed(self) -> None:
        """Close the files, as the system does when a process is killed, and drop the timers."""
        self.worker.close()
        self.journal.close()
        self.time.heap.clear()
