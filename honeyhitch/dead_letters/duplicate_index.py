"""Recognises messages that are duplicates of a dead letter, and decides what happens to them.

Duplicates have the same idempotency key at the same destination, and are recognised while the dead letter is
remembered: a client's duplicate and a resend are never in flight together (docs/design/undelivered.md). This
module does no I/O; the time is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import islice

from honeyhitch.dead_letters.records import RecordStatus
from honeyhitch.dead_letters.resend_store import KeyedRecord
from honeyhitch.dispatcher.ports import ArrivalDecision
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Idempotency

EXPIRY_BATCH = 50  # cases checked per call, so that the event loop is not blocked for long
DuplicateKey = tuple[int, str]  # destination and idempotency key


class DuplicateState(Enum):
    """The state of a dead letter, which decides what happens to its duplicates."""

    OPEN = "open"  # a duplicate is delivered like any message, and no resend starts meanwhile
    RESENDING = "sending"  # a resend is in flight; a duplicate waits for its end
    RESENT = "done"  # a resend was delivered; a duplicate is answered as already delivered
    CLOSED = "over"  # the dead letter will not be resent


@dataclass(slots=True)
class DuplicateCase:
    """What is known of the latest dead letter with a key, to decide what happens to its duplicates.

    Times are Unix times in nanoseconds.
    """

    state: DuplicateState
    ended_at: int  # duplicates are recognised for the index's `retention` after this time
    uses_idempotency_key: bool
    deduplication_window: int  # nanoseconds
    first_execution: tuple[int, int] | None = None  # time and zone of the first possible execution
    resend_attempted: bool = False  # whether a resend was attempted, which may have been executed


class DuplicateIndex:
    """The dead letters by key, and the number of live messages from clients with each key.

    A message is live while the dispatcher holds it or its dead letter waits for the store. `retention` is the
    time in nanoseconds for which the duplicates of a dead letter are recognised.
    """

    def __init__(self, retention: int) -> None:
        self.retention = retention
        self.cases: dict[DuplicateKey, DuplicateCase] = {}
        self.live_counts: dict[DuplicateKey, int] = {}
        self._counted_ids: set[str] = set()  # ids of the messages counted in `live_counts`

    @staticmethod
    def key_of(transaction: Transaction) -> DuplicateKey | None:
        """Return the key by which the duplicates of a message are recognised, or None if it has none."""
        return (transaction.destination, transaction.key) if transaction.key else None

    @classmethod
    def from_records(cls, records: list[KeyedRecord], retention: int) -> DuplicateIndex:
        """Return the index of the store's records, which are given oldest first.

        This takes too long for the event loop and runs in another thread.
        """
        index = cls(retention)
        for record in records:  # the latest record with a key replaces the earlier ones
            index.update(record)
        return index

    def merge(self, stored_index: DuplicateIndex) -> None:
        """Add the cases loaded from the store; cases that this index already has are newer and stay."""
        newer_cases = self.cases
        self.cases = stored_index.cases
        self.cases.update(newer_cases)

    def expire(self, now: int, max_cases: int) -> None:
        """Remove a few of the oldest cases that are past their retention or in excess of `max_cases`."""
        for key in list(islice(self.cases, EXPIRY_BATCH)):
            case = self.cases[key]
            expected = now - case.ended_at <= self.retention and len(self.cases) <= max_cases
            if case.state is DuplicateState.RESENDING or expected:
                return
            del self.cases[key]

    def update(self, record: KeyedRecord) -> None:
        """Set the case of a record's key to the present state of the record."""
        if not record.key:
            return
        key = record.destination, record.key
        existing = self.cases.get(key)
        resending = existing is not None and existing.state is DuplicateState.RESENDING
        if resending and record.status != RecordStatus.RESENDING.value:
            return  # only `resend_ended` ends the case of a resend in flight
        first_execution = None
        if record.first_possible_execution is not None:
            first_execution = record.first_possible_execution, record.first_execution_zone
        self.cases[key] = DuplicateCase(
            state=_state_of(record),
            ended_at=record.ended_at,
            uses_idempotency_key=record.idempotency == Idempotency.IDEMPOTENCY_KEY.value,
            deduplication_window=record.deduplication_window,
            first_execution=first_execution,
            resend_attempted=record.resend_count > 0,
        )

    def find(self, transaction: Transaction, now: int) -> DuplicateCase | None:
        """Return the dead letter that a message is a duplicate of, or None."""
        key = self.key_of(transaction)
        case = self.cases.get(key) if key is not None else None
        if case is None or now - case.ended_at > self.retention:
            return None
        return case

    def decide_arrival(self, transaction: Transaction, now: int) -> ArrivalDecision:
        """Return what is to be done with a message that a client submitted, and count it as live.

        Set the message's `earlier_execution` if a resend may have been executed.
        """
        self.add_live(transaction)
        case = self.find(transaction, now)
        if case is None:
            return ArrivalDecision.DELIVER
        if case.resend_attempted and case.first_execution is not None:
            transaction.earlier_execution = case.first_execution
        if transaction.attempt_count:  # attempted before a restart; no resend has started since then
            return ArrivalDecision.DELIVER
        if case.state is DuplicateState.RESENDING:
            return ArrivalDecision.WAIT
        if case.state is not DuplicateState.RESENT:
            return ArrivalDecision.DELIVER
        if _deduplication_window_is_over(case, now):  # the receiver treats the key as that of a new message
            transaction.earlier_execution = None
            return ArrivalDecision.DELIVER
        return ArrivalDecision.ALREADY_DELIVERED

    def add_live(self, transaction: Transaction) -> None:
        """Count a client's message that the dispatcher holds or whose dead letter waits for the store."""
        key = self.key_of(transaction)
        if key is not None and transaction.id not in self._counted_ids:
            self._counted_ids.add(transaction.id)
            self.live_counts[key] = self.live_counts.get(key, 0) + 1

    def remove_live(self, transaction: Transaction) -> None:
        """Stop counting a client's message that is no longer held and has no dead letter left to store."""
        key = self.key_of(transaction)
        if key is None or transaction.id not in self._counted_ids:
            return
        self._counted_ids.discard(transaction.id)
        remaining = self.live_counts.get(key, 0) - 1
        if remaining > 0:
            self.live_counts[key] = remaining
        else:
            self.live_counts.pop(key, None)

    def blocks_resend(self, key: DuplicateKey) -> bool:
        """Return whether no resend with this key may start.

        A live message from a client or a resend in flight blocks resends.
        """
        case = self.cases.get(key)
        resending = case is not None and case.state is DuplicateState.RESENDING
        return bool(self.live_counts.get(key)) or resending

    def resend_started(self, transaction: Transaction, now: int) -> None:
        """Record that a resend starts."""
        key = self.key_of(transaction)
        if key is None:
            return
        case = self.cases.get(key) or DuplicateCase(DuplicateState.OPEN, now, False, 0)
        case.state = DuplicateState.RESENDING
        case.ended_at = max(case.ended_at, now)
        self.cases[key] = case

    def resend_ended(self, transaction: Transaction, record: KeyedRecord | None) -> None:
        """Record that a resend has ended; `record` is its record afterwards, or None if it was deleted."""
        key = self.key_of(transaction)
        if key is None:
            return
        case = self.cases.pop(key, None)
        if record is not None:
            self.update(record)
        elif case is not None:
            case.state = DuplicateState.CLOSED
            self.cases[key] = case


def _state_of(record: KeyedRecord) -> DuplicateState:
    if record.status == RecordStatus.PENDING.value:
        return DuplicateState.OPEN
    if record.status == RecordStatus.RESENDING.value:
        return DuplicateState.RESENDING
    if record.settled_by.startswith("resend:"):
        return DuplicateState.RESENT
    return DuplicateState.CLOSED


def _deduplication_window_is_over(case: DuplicateCase, now: int) -> bool:
    first_executed_at = case.first_execution[0] if case.first_execution is not None else case.ended_at
    return case.uses_idempotency_key and now >= first_executed_at + case.deduplication_window
