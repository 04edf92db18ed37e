"""Which messages are duplicates of a dead letter, and what follows. No I/O; the clock is passed in.

Duplicates have the same idempotency key at the same destination, and are recognised while the dead letter is
remembered: a client's duplicate and a resend are never in flight together (docs/design/undelivered.md).
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

EXPIRY_BATCH = 50  # cases checked at a time, so that the loop is not stalled
Key = tuple[int, str]  # destination and idempotency key


class DuplicateState(Enum):
    """What a dead letter means for its duplicates."""

    OPEN = "open"  # a duplicate is sent like any message, and no resend is meanwhile
    RESENDING = "sending"  # a resend is in flight; a duplicate waits for its end
    RESENT = "done"  # a resend was delivered; a duplicate takes that as its own end
    CLOSED = "over"  # nothing more will be done for it


@dataclass(slots=True)
class DuplicateCase:
    """One dead letter. Times are Unix times in nanoseconds."""

    state: DuplicateState
    ended_at: int  # duplicates are recognised for a while from then on
    uses_idempotency_key: bool
    deduplication_window: int  # nanoseconds
    first_execution: tuple[int, int] | None = None  # when and in which zone it may first have been executed
    resend_attempted: bool = False  # a resend may be among what was executed


class DuplicateIndex:
    """All dead letters by key, and how many clients' messages with each key are live.

    A message is live while the dispatcher holds it or its dead letter waits for the store. `retention` is
    for how many nanoseconds a dead letter's duplicates are recognised.
    """

    def __init__(self, retention: int) -> None:
        self.retention = retention
        self.cases: dict[Key, DuplicateCase] = {}
        self.live_counts: dict[Key, int] = {}
        self._counted_ids: set[str] = set()  # of the clients' messages that are counted in `live_counts`

    @staticmethod
    def key_of(transaction: Transaction) -> Key | None:
        """The key by which a message's duplicates are recognised, None if it has none."""
        return (transaction.destination, transaction.key) if transaction.key else None

    @classmethod
    def from_records(cls, records: list[KeyedRecord], retention: int) -> DuplicateIndex:
        """The index of what the store holds, oldest first; it takes long and runs off the event loop."""
        index = cls(retention)
        for record in records:  # the latest of those with the same key counts
            index.update(record)
        return index

    def merge(self, stored: DuplicateIndex) -> None:
        """Add what the store holds; what this index has learnt meanwhile is newer."""
        learnt = self.cases
        self.cases = stored.cases
        self.cases.update(learnt)

    def expire(self, now: int, max_cases: int) -> None:
        """Forget a few cases that no duplicate is expected for, and the oldest beyond `max_cases`."""
        for key in list(islice(self.cases, EXPIRY_BATCH)):
            case = self.cases[key]
            expected = now - case.ended_at <= self.retention and len(self.cases) <= max_cases
            if case.state is DuplicateState.RESENDING or expected:
                return
            del self.cases[key]

    def update(self, record: KeyedRecord) -> None:
        """Take over a record's present state."""
        if not record.key:
            return
        key = record.destination, record.key
        known = self.cases.get(key)
        resending = known is not None and known.state is DuplicateState.RESENDING
        if resending and record.status != RecordStatus.RESENDING.value:
            return  # `resend_ended` tells of a resend's end
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
        """The dead letter that a message is a duplicate of, if there is one."""
        key = self.key_of(transaction)
        case = self.cases.get(key) if key is not None else None
        if case is None or now - case.ended_at > self.retention:
            return None
        return case

    def decide_arrival(self, transaction: Transaction, now: int) -> ArrivalDecision:
        """What becomes of a message that a client submitted.

        Sets its `earlier_execution` where a resend may have been executed.
        """
        self.add_live(transaction)
        case = self.find(transaction, now)
        if case is None:
            return ArrivalDecision.DELIVER
        if case.resend_attempted and case.first_execution is not None:
            transaction.earlier_execution = case.first_execution
        if transaction.attempt_count:  # it was in flight before a restart; no resend began meanwhile
            return ArrivalDecision.DELIVER
        if case.state is DuplicateState.RESENDING:
            return ArrivalDecision.WAIT
        if case.state is not DuplicateState.RESENT:
            return ArrivalDecision.DELIVER
        if _receiver_has_forgotten(case, now):  # the key makes a new message
            transaction.earlier_execution = None
            return ArrivalDecision.DELIVER
        return ArrivalDecision.ALREADY_DELIVERED

    def add_live(self, transaction: Transaction) -> None:
        """A client's message is held, or waits for the store."""
        key = self.key_of(transaction)
        if key is not None and transaction.id not in self._counted_ids:
            self._counted_ids.add(transaction.id)
            self.live_counts[key] = self.live_counts.get(key, 0) + 1

    def remove_live(self, transaction: Transaction) -> None:
        """A client's message is no longer held, and its dead letter, if any, is in the store."""
        key = self.key_of(transaction)
        if key is None or transaction.id not in self._counted_ids:
            return
        self._counted_ids.discard(transaction.id)
        remaining = self.live_counts.get(key, 0) - 1
        if remaining > 0:
            self.live_counts[key] = remaining
        else:
            self.live_counts.pop(key, None)

    def blocked(self, key: Key) -> bool:
        """Whether no resend with this key may begin: a client's message is live, or a resend in flight."""
        case = self.cases.get(key)
        resending = case is not None and case.state is DuplicateState.RESENDING
        return bool(self.live_counts.get(key)) or resending

    def resend_started(self, transaction: Transaction, now: int) -> None:
        """A resend begins."""
        key = self.key_of(transaction)
        if key is None:
            return
        case = self.cases.get(key) or DuplicateCase(DuplicateState.OPEN, now, False, 0)
        case.state = DuplicateState.RESENDING
        case.ended_at = max(case.ended_at, now)
        self.cases[key] = case

    def resend_ended(self, transaction: Transaction, record: KeyedRecord | None) -> None:
        """A resend has ended, and left its record so; None if there is no such record any more."""
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


def _receiver_has_forgotten(case: DuplicateCase, now: int) -> bool:
    first_executed_at = case.first_execution[0] if case.first_execution is not None else case.ended_at
    return case.uses_idempotency_key and now >= first_executed_at + case.deduplication_window
