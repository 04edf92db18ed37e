"""The journal: records of messages, attempts, endings and endpoints, each written before what it covers."""

from __future__ import annotations

import contextlib
from pathlib import Path

from honeyhitch.journal.journal_file import (
    ACCEPT_FRACTION,
    JOURNAL_VERSION,
    MAX_IDS_PER_RECORD,
    JournalFile,
    JournalFullError,
)
from honeyhitch.journal.records import (
    AttemptNotExecuted,
    AttemptOutcome,
    AttemptStarted,
    CallsInFlight,
    DeadLetterStored,
    EndingDecided,
    HandoverReclaimed,
    JournalOwner,
    MessageEnded,
    MessageRecord,
    MessagesHandedOver,
    NamesRecorded,
    OutageNoted,
    RetryAfterNoted,
)
from honeyhitch.journal.state import JournalState
from honeyhitch.journal.transactions import Attempt, Ending, Transaction


class Journal(JournalFile):
    """A journal file with a method for each record, and with the take-over of another process's journal."""

    # Records, each written before the action that it covers.

    def record_accepted(self, transaction: Transaction) -> None:
        """Record an accepted message before the acceptance is sent to its client.

        Raise JournalFullError if there is no space.
        """
        self.append(MessageRecord(transaction, self.detailed), ACCEPT_FRACTION)
        self._add_message(transaction)

    def record_rejected(self, transaction: Transaction) -> None:
        """Record a message that ended before it was held, and before its frontend answers or confirms it.

        Raise JournalFullError if there is no space.
        """
        self.append(MessageRecord(transaction, self.detailed))
        self._add_message(transaction)

    def record_attempt(
        self, transaction: Transaction, started_at: int, zone: int, endpoint: str = ""
    ) -> None:
        """Record an attempt right before the first byte of its call.

        Raise JournalFullError if there is no space.
        """
        number = transaction.attempt_count
        recorded_endpoint = endpoint if self.detailed else None
        self.append(AttemptStarted(transaction.id, number, started_at, zone, recorded_endpoint))
        transaction.add_attempt(number, started_at, zone, recorded_endpoint)

    def record_outcome(self, transaction: Transaction, attempt: Attempt) -> None:
        """Record the outcome of an attempt for the dead letter; no decision depends on it."""
        if not self.detailed:
            return
        self._append_or_postpone(AttemptOutcome(transaction.id, attempt))
        other_attempts = [entry for entry in transaction.attempt_history if entry.number != attempt.number]
        transaction.attempt_history = [*other_attempts, attempt]

    def record_not_executed(self, transaction: Transaction, number: int) -> None:
        """Record that the outcome of an attempt proves that it was never executed.

        An outcome without that proof needs no record here.
        """
        self._append_or_postpone(AttemptNotExecuted(transaction.id, number))
        transaction.mark_not_executed(number)

    def record_decision(
        self, transaction: Transaction, ending: Ending, retry_after: int, is_dead_letter: bool = False
    ) -> None:
        """Record the decided ending before the final answer is sent; the ending does not change afterwards.

        A dead letter stays in the journal after its answer was sent, until the store has it.
        """
        if is_dead_letter:
            transaction.ended_at = self.clock()
            transaction.is_dead_letter = True
        self._append_or_postpone(
            EndingDecided(transaction.id, ending, retry_after, transaction.ended_at, is_dead_letter)
        )
        transaction.ending = ending
        transaction.retry_after = retry_after

    def record_dead_letter_stored(self, transaction: Transaction) -> None:
        """Record that the store has stored or discarded a dead letter, so this journal may drop it."""
        self._append_or_postpone(DeadLetterStored(transaction.id, transaction.ended_at))
        self._remove_dead_letter(transaction.id, transaction.ended_at)

    def record_end(self, transaction: Transaction, ending: Ending) -> None:
        """Record after the final answer was sent that the message is concluded."""
        self._append_or_postpone(MessageEnded(transaction.id, ending, self.clock()))
        self._end(transaction, ending, self.clock())

    def record_owner(self, name: str) -> None:
        """Record the dispatcher's name and the journal version, for the next process of a hand-over."""
        if (self.name, self.version) != (name, JOURNAL_VERSION):
            self.name = name
            self.version = JOURNAL_VERSION
            self._append_or_postpone(JournalOwner(self.version, self.name))

    def record_names(self) -> None:
        """Record the lists of the settings, before any record whose indices belong to them."""
        if self.current_names is not None and self.current_names != self.stored_names:
            self.stored_names = self.current_names
            self._append_or_postpone(NamesRecorded(self.current_names))

    def record_retry_after(self, destination: int, endpoint: str, until: int) -> None:
        """Record a Retry-After from an endpoint; the other process of a hand-over observes it as well."""
        if self._extend_retry_after(destination, endpoint, until):
            self._append_or_postpone(RetryAfterNoted(destination, endpoint, until))

    def record_outage(self, outage: OutageNoted) -> None:
        """Record what is known of an outage; the next process and the other one of a hand-over need it.

        Without space the record is left out: no answer may wait for it, and a compaction writes it.
        """
        self._keep_outage(outage)
        with contextlib.suppress(JournalFullError):
            self.append(outage)

    def hand_over(self, transactions: list[Transaction], calls_in_flight: int) -> None:
        """Record that the other process resumes these messages, and how many calls are in flight here.

        The other process owns the messages as soon as the record is written. Raise JournalFullError, and keep
        the messages that were not recorded, if there is no space. The first hand-over compacts the file
        beforehand. From then on the file only grows, so that neither process need reserve space for a
        compaction of it.
        """
        if self.calls_in_flight is None:
            self.compact()
        self._hands_over = True
        for start in range(0, len(transactions), MAX_IDS_PER_RECORD):
            batch = {message.id: message for message in transactions[start : start + MAX_IDS_PER_RECORD]}
            self.append(MessagesHandedOver(list(batch)))
            self.handed_over |= batch
        self.record_calls_in_flight(calls_in_flight)

    def record_calls_in_flight(self, count: int | None) -> None:
        """Record the number of calls in flight in a process that hands over; None if it does not."""
        self._hands_over = count is not None
        if count != self.calls_in_flight:
            self.calls_in_flight = count
            self._append_or_postpone(CallsInFlight(count))

    def reclaim(self) -> None:
        """Record that this process owns all handed-over messages again, as the other process has ended."""
        self._hands_over = False
        if self.handed_over or self.calls_in_flight is not None:
            self.handed_over = {}
            self.calls_in_flight = None
            self._append_or_postpone(HandoverReclaimed())

    # Take-over of another process's journal, once the lock of its slot is free.

    def take_over(
        self, peer_state: JournalState, path: Path, obsolete_path: Path
    ) -> tuple[list[Transaction], list[Transaction]]:
        """Merge the messages and remembered ids and keys of another journal into this one.

        Return the messages that are new in this journal, and the new dead letters that only wait for the
        store. For messages that were handed over, the state in the other journal counts; those that the other
        journal does not contain are owned by this process again and returned as new. One file with both
        journals replaces `path` atomically, and only then is `obsolete_path` removed: if the process is
        killed in between, the file at `path` counts. Raise JournalFullError and change nothing if there is no
        space.
        """
        saved = self.save()
        new_messages, new_dead_letters = self.merge(peer_state)
        new_path = path.with_name(f"{path.name}.new")
        if not self.replace_file(self.snapshot(), path, new_path):
            self.restore(saved)
            raise JournalFullError(f"cannot write the merged journal to {path} within {self.max_bytes} bytes")
        self.new_path = new_path
        with contextlib.suppress(OSError):  # its messages are in this journal, which is read first
            obsolete_path.unlink(missing_ok=True)
        return new_messages, new_dead_letters
