"""Moves messages that ended undelivered from the journal to the store. This module itself does no I/O.

A message stays in the journal until the store's transaction has been committed. If the process is killed in
between, the transfer is repeated, finds the record already in the store, and changes nothing. While the store
fails, messages wait in the journal. They may take only a fraction of its space, so that the rest is left for
live traffic.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from honeyhitch import logs
from honeyhitch.dead_letters.records import DroppedRecords, Record, record_of
from honeyhitch.dead_letters.worker import Job, JobCallback
from honeyhitch.dispatcher.ports import Scheduler
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import SECOND

log = logs.get_logger()
BATCH_SIZE = 64  # messages per transaction of the store
MIN_RETRY_PAUSE = SECOND  # between attempts while the store fails
MAX_RETRY_PAUSE = 60 * SECOND
# Largest part of the journal's disk space that messages which only wait for the store may take.
MAX_JOURNAL_FRACTION = 0.25


@dataclass(slots=True)
class TransferCounts:
    """The numbers of messages moved to the store and discarded since the start."""

    moved: int = 0
    # The key tells whether the message may have been executed.
    discarded: dict[bool, int] = field(default_factory=lambda: {False: 0, True: 0})


class JournalTransfer:
    """The dispatcher's DeadLetterSink, which writes messages to the store in one transaction at a time.

    Messages that end during a transaction wait for the next one.

    `submit` queues a job for the store's thread. `on_stored` is called with each message that was stored or
    discarded, which the journal does not need to keep any longer.
    """

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        scheduler: Scheduler,
        submit: Callable[[Job, JobCallback], bool],
        on_stored: Callable[[Transaction], None],
    ) -> None:
        self.settings = settings
        self.journal = journal
        self.scheduler = scheduler
        self.submit = submit
        self.on_stored = on_stored
        self.pending: dict[tuple[str, int], Transaction] = {}  # by id and end time, oldest first
        self.batch: list[Transaction] = []  # messages that the store is writing
        self.paused = False
        self.retry_pause = MIN_RETRY_PAUSE
        self.last_error = ""  # error text of the store, empty while the store works
        self.counts = TransferCounts()
        self.stored_listeners: list[Callable[[list[Record]], None]] = []  # called with stored records

    def store(self, transaction: Transaction) -> None:
        """Move a message that ended undelivered to the store as soon as possible."""
        self.pending[transaction.id, transaction.ended_at] = transaction
        self._discard_excess()
        self._submit_batch()

    def _submit_batch(self) -> None:
        if self.batch or self.paused or not self.pending:
            return
        batch = list(self.pending.values())[:BATCH_SIZE]
        records = [record_of(transaction, self.settings) for transaction in batch]
        self.batch = batch

        def on_result(result: Any) -> None:
            self._batch_done(batch, records, result)

        if not self.submit(lambda store: store.add(records), on_result):
            self._batch_failed("the queue to the store is full")

    def _batch_done(self, batch: list[Transaction], records: list[Record], result: Any) -> None:
        if isinstance(result, Exception):
            self._batch_failed(str(result))
            return
        if self.last_error:
            log.info(
                "dead-letter.store-recovered", waiting=len(self.pending), discarded=self.counts.discarded
            )
        self.batch = []
        self.last_error = ""
        self.retry_pause = MIN_RETRY_PAUSE
        for transaction in batch:
            del self.pending[transaction.id, transaction.ended_at]
            self.on_stored(transaction)
        self.counts.moved += len(batch)
        log_dropped(result)
        for listener in self.stored_listeners:
            listener(records)
        self._submit_batch()

    def _batch_failed(self, error: str) -> None:
        self.batch = []
        self.paused = True
        self.last_error = error
        log.error("dead-letter.store-failed", error=error, waiting=len(self.pending), key=error)
        self.scheduler.call_at(self.scheduler.now() + self.retry_pause, self._retry)
        self.retry_pause = min(2 * self.retry_pause, MAX_RETRY_PAUSE)
        self._discard_excess()

    def _retry(self) -> None:
        self.paused = False
        self._submit_batch()

    def _discard_excess(self) -> None:
        """Discard the longest waiting messages until the others are within MAX_JOURNAL_FRACTION.

        This keeps space in the journal for live traffic. Messages that may have been executed are discarded
        last.
        """
        if not self._over_fraction():
            return
        answered = [
            transaction
            for transaction in self.pending.values()
            if transaction.id not in self.journal.messages.by_id
        ]
        for transaction in sorted(answered, key=_may_have_executed):  # a stable sort: otherwise oldest first
            if not self._over_fraction():
                return
            if transaction not in self.batch:
                self._discard(transaction)

    def _over_fraction(self) -> bool:
        return self.journal.dead_letter_bytes > MAX_JOURNAL_FRACTION * self.journal.max_bytes

    def _discard(self, transaction: Transaction) -> None:
        may_have_executed = _may_have_executed(transaction)
        del self.pending[transaction.id, transaction.ended_at]
        self.counts.discarded[may_have_executed] += 1
        log.error(
            "dead-letter.discarded",
            message=transaction.id,
            may_have_run=may_have_executed,
            key=str(may_have_executed),
        )
        self.on_stored(transaction)


def _may_have_executed(transaction: Transaction) -> bool:
    return transaction.first_possible_execution() is not None


def log_dropped(dropped: list[DroppedRecords]) -> None:
    """Log the records that the store dropped because of its limits."""
    for records in dropped:
        log.warning(
            "dead-letter.records-dropped",
            why=records.reason,
            count=records.count,
            bytes=records.size_bytes,
            may_have_run=records.may_have_executed,
            messages=",".join(records.ids),
            key=f"{records.reason} {records.may_have_executed}",
        )
