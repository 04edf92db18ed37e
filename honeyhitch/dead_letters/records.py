"""The record of a dead letter, a message that ended undelivered, as it is held in memory. No I/O.

The stored, sealed and exported forms use other field names; `record_codec` and `record_export` map them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.journal.transactions import Attempt, Ending, Transaction
from honeyhitch.policy.settings import DeduplicationScope, Settings

# Failure reasons that are not the outcome of an attempt.
NOT_ATTEMPTED = "not-tried"  # no attempt was started
OUTCOME_UNKNOWN = "lost"  # an attempt was started, and its outcome was never observed


class RecordStatus(Enum):
    """The state of a record; the values are those in the store."""

    PENDING = "kept"
    RESENDING = "sending"  # a resend is in flight
    SETTLED = "settled"  # delivered in the meantime, or settled by a person
    REPLACED = "replaced"  # a duplicate also ended undelivered, and its record stands for both
    DISCARDED = "discarded"


UNRESOLVED = (RecordStatus.PENDING, RecordStatus.RESENDING)  # not yet settled, replaced or discarded


@dataclass(slots=True)
class Record:
    """One undelivered message. Times are Unix times in nanoseconds, durations are in nanoseconds."""

    id: str
    ended_at: int
    accepted_at: int
    deadline: int
    destination: int
    class_name: str
    idempotency: str  # a value of policy.settings.Idempotency
    deduplication_window: int  # time during which the receiver drops a repeat with the same key
    zone_scoped: bool  # whether the receiver drops repeats only within the zone of the first attempt
    tenant: str
    key: str
    frontend: str
    recovered_from_journal: bool  # recovered after a restart, or submitted with the field `r` or `again`
    ending: str
    reason: str  # outcome of the last attempt, NOT_ATTEMPTED or OUTCOME_UNKNOWN
    retry_after: int  # Retry-After that was sent to the client, 0 if none was
    first_possible_execution: int | None  # None if no attempt can have been executed
    first_execution_zone: int
    attempts: tuple[Attempt, ...]
    body: bytes
    sequence: int = 0  # number of the record in the store, 0 before it is stored
    status: RecordStatus = RecordStatus.PENDING
    settled_by: str = ""  # what resolved the record: resend:ID, copy:ID, record:NUMBER or person:NAME
    evidence: str = ""  # receiver's statement that the message was not applied, cited for its release
    resend_count: int = 0
    resend_id: str = ""  # id of the latest resend
    changed_at: int = 0
    client_retry_at: int | None = None  # time at which the client was asked to submit it again
    resend_request: str = ""  # who requested a resend regardless of the rules, and why

    @property
    def may_have_executed(self) -> bool:
        """Whether any attempt may have been applied by the receiver."""
        return self.first_possible_execution is not None


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as read from the store; `fault` says how it was altered on disk, or is empty."""

    record: Record
    fault: str = ""


@dataclass(frozen=True, slots=True)
class DroppedRecords:
    """Records that were deleted because they exceeded the store's limits."""

    reason: str  # "age" or "room"
    may_have_executed: bool
    count: int
    size_bytes: int
    ids: tuple[str, ...]  # ids of the first few records


def record_of(transaction: Transaction, settings: Settings) -> Record:
    """Return the record of a transaction that ended undelivered."""
    message_class = settings.classes[transaction.class_index]
    first_execution = transaction.first_possible_execution()
    rejected = transaction.ending is Ending.REJECTED
    return Record(
        id=transaction.id,
        ended_at=transaction.ended_at,
        accepted_at=transaction.accepted_at,
        deadline=transaction.deadline,
        destination=transaction.destination,
        class_name=settings.class_names[transaction.class_index],
        idempotency=message_class.idempotency.value,
        deduplication_window=message_class.deduplication_window,
        zone_scoped=message_class.deduplication_scope is DeduplicationScope.ZONE,
        tenant=_tenant_name(transaction, settings),
        key=transaction.key,
        frontend=transaction.frontend,
        recovered_from_journal=transaction.recovered_from_journal,
        ending=transaction.ending.value if transaction.ending else "",
        reason=failure_reason(transaction),
        retry_after=transaction.retry_after,
        first_possible_execution=first_execution[0] if first_execution else None,
        first_execution_zone=first_execution[1] if first_execution else 0,
        attempts=tuple(transaction.attempt_history),
        body=transaction.body,
        changed_at=transaction.ended_at,
        client_retry_at=transaction.ended_at + transaction.retry_after if rejected else None,
    )


def _tenant_name(transaction: Transaction, settings: Settings) -> str:
    if transaction.tenant < len(settings.tenant_names):
        return settings.tenant_names[transaction.tenant]
    return str(transaction.tenant)


def failure_reason(transaction: Transaction) -> str:
    """Return why the message was not delivered.

    That is the outcome of the last attempt, NOT_ATTEMPTED or OUTCOME_UNKNOWN.
    """
    if not transaction.attempt_count:
        return NOT_ATTEMPTED
    last_outcome = transaction.attempt_history[-1].outcome if transaction.attempt_history else ""
    return last_outcome or OUTCOME_UNKNOWN
