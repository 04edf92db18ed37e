"""A dispatcher in virtual time with a real store beside it, which can be killed at any step it writes."""

from __future__ import annotations

import contextlib
import os
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


class Killed(BaseException):
    """The process is gone, in the middle of what it did."""


class Points:
    """Counts the steps at which a kill may strike, and strikes at one of them."""

    def __init__(self, at: int = -1) -> None:
        self.at, self.seen = at, 0

    def __call__(self) -> bool:
        """Whether it strikes now."""
        self.seen += 1
        return self.seen == self.at

    def strike(self) -> None:
        if self():
            raise Killed


class KilledJournal(Journal):
    """A journal whose process may be killed before, in the middle of and after each write."""

    points = Points()

    def append(self, record: Record, disk_fraction: float = 0.95) -> None:
        self.points.strike()
        if self.points():
            data = encode_record(record)
            os.write(self.fd, data[: len(data) // 2])
            raise Killed
        super().append(record, disk_fraction)
        self.points.strike()


class KilledStore(Store):
    """A store whose process may be killed before, inside and after each transaction."""

    points = Points()

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        if self.database.in_transaction:
            yield
            return
        self.points.strike()
        with super().transaction():
            yield
            self.points.strike()
        self.points.strike()


class Inline:
    """In the place of the worker's thread: a job is done on the loop's next turn."""

    def __init__(self, store: Callable[[], Store], time: VirtualTime) -> None:
        self.open_store, self.time = store, time
        self.store: Store | None = None
        self.broken: Exception | None = None

    def submit(self, job: Job, done: JobCallback) -> bool:
        self.time.call_at(self.time.time, lambda: self._do(job, done))
        return True

    def _do(self, job: Job, done: JobCallback) -> None:
        try:
            if self.broken is not None:
                raise self.broken
            self.store = self.store or self.open_store()
            with self.store.transaction():
                result = job(self.store)
        except Exception as error:
            result = error
        done(result)

    def close(self) -> None:
        if self.store is not None:
            self.store.close()
            self.store = None


class KeepingStand(DispatcherRig):
    """A stand with a store. `points` decides where it is killed."""

    terms = ResendSettings()

    def __init__(
        self, folder: Path, time: VirtualTime | None = None, points: Points | None = None, **more: Any
    ) -> None:
        self.folder, self.points = folder, points or Points()
        self.limits: StoreLimits = more.pop("limits", StoreLimits())
        super().__init__(folder, time, **more)

    def make_journal(self, folder: Path, disk: int) -> Journal:
        journal = KilledJournal.__new__(KilledJournal)
        journal.points = self.points
        journal.__init__(folder, disk, self.time.now, lambda ended: 20 * SECOND, detailed=True)  # type: ignore[misc]
        return journal

    def _store(self) -> Store:
        folder = self.folder / "undelivered"
        store = KilledStore(folder, self.limits, clock=self.time.now, resend_settings=self.terms)
        store.points = self.points
        return store

    def prepare(self) -> None:
        self.worker = Inline(self._store, self.time)
        self.moving = JournalTransfer(
            self.settings, self.journal, self.time, self.worker.submit, self.dispatcher.dead_letter_stored
        )
        self.dispatcher.dead_letter_sink = self.moving

    @property
    def store(self) -> Store:
        """The store, for a look."""
        self.worker.store = self.worker.store or self._store()
        return self.worker.store

    def gone(self) -> None:
        """What the system does for a process that is gone."""
        self.worker.close()
        self.journal.close()
        self.time.heap.clear()
