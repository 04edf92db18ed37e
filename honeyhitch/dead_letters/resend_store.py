"""The steps of a resend in the store. Each is one transaction, and may be repeated after a kill.

A record is claimed for a resend whose id is derived from the record, so that a repeated claim names the same
resend. The record has the status RESENDING until the resend's ending is written into it. Then the record is
settled, or it is pending again with the resend's attempts added to its history.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from blake3 import blake3

from honeyhitch.dead_letters.records import Record, RecordStatus, failure_reason
from honeyhitch.dead_letters.rules import Plan, Step, plan_record
from honeyhitch.dead_letters.settings import Rule
from honeyhitch.dead_letters.store import ACTOR, Store
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Transaction
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import SECOND

MAX_PLANNED_RECORDS = 64  # records of one destination planned in one query
# Longest time after which a record that waits for its destination to be healthy is planned again.
HEALTH_RECHECK_INTERVAL = 30 * SECOND
RESEND_ID_BYTES = 8  # bytes of the hash in a resend's id


@dataclass(frozen=True, slots=True)
class ResendCandidate:
    """A record that a rule allows to be resent now.

    `must_end_by` is when the resend must have ended, a Unix time in nanoseconds, or 0 if there is no limit.
    """

    record: Record
    rule: Rule
    reason: str
    must_end_by: int


@dataclass(frozen=True, slots=True)
class DestinationDemand:
    """How many resends may start at a destination, and how long it has been healthy, in nanoseconds."""

    max_resends: int
    healthy_duration: int


@dataclass(frozen=True, slots=True)
class ResendRules:
    """The operator's rules, and the time in nanoseconds that a resend is expected to take, by class name."""

    rules: tuple[Rule, ...]
    durations: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The part of a record that is needed to handle its duplicates. Times are Unix times in nanoseconds."""

    sequence: int
    destination: int
    key: str
    idempotency: str
    deduplication_window: int
    status: str  # the stored value of a RecordStatus
    settled_by: str
    ended_at: int
    first_possible_execution: int | None
    first_execution_zone: int
    resend_count: int

    @classmethod
    def of(cls, record: Record) -> KeyedRecord:
        """Return the part of the record that is needed to handle its duplicates."""
        return cls(
            sequence=record.sequence,
            destination=record.destination,
            key=record.key,
            idempotency=record.idempotency,
            deduplication_window=record.deduplication_window,
            status=record.status.value,
            settled_by=record.settled_by,
            ended_at=record.ended_at,
            first_possible_execution=record.first_possible_execution,
            first_execution_zone=record.first_execution_zone,
            resend_count=record.resend_count,
        )


# Selects the columns in the order of KeyedRecord's fields.
SELECT_KEYED = (
    "SELECT seq, destination, key, effect, window, standing, settled_by, ended_at, first_ran, first_zone,"
    " resends FROM record"
)


def resend_id(record: Record) -> str:
    """Return the id of a record's next resend, which stays the same until the record is claimed."""
    hashed_text = f"{record.id} {record.ended_at} {record.resend_count + 1}".encode()
    return "r" + blake3(hashed_text).hexdigest(RESEND_ID_BYTES)


def keyed_records(store: Store, now: int) -> list[KeyedRecord]:
    """Return all records with a key whose duplicates may still arrive at `now` (Unix time in nanoseconds)."""
    statement = f"{SELECT_KEYED} WHERE key <> '' AND ended_at > ? AND standing <> 'replaced'"
    earliest_end = now - store.resend_settings.duplicate_retention
    return [KeyedRecord(*row) for row in store.database.execute(statement, (earliest_end,))]


def schedule_all(store: Store) -> None:
    """Schedule every pending record to be planned now, because the rules may have changed."""
    store.database.execute("DELETE FROM plan")
    store.database.execute("INSERT INTO plan SELECT seq, destination, 0 FROM record WHERE standing = 'kept'")


def due_by_destination(store: Store) -> dict[int, int]:
    """Return, by destination, when the first scheduled record is due (Unix time in nanoseconds)."""
    rows = store.database.execute("SELECT destination, min(next_at) FROM plan GROUP BY destination")
    return {int(destination): int(due_at) for destination, due_at in rows}


def due_candidates(
    store: Store, demand: Mapping[int, DestinationDemand], rules: ResendRules, now: int
) -> list[ResendCandidate]:
    """Return the records that may be resent now, at most `max_resends` for each destination in `demand`.

    Due records that may not be resent now are scheduled for later, removed from the schedule, or discarded if
    a rule requires that.
    """
    candidates = list[ResendCandidate]()
    with store.transaction():
        for destination, destination_demand in demand.items():
            candidates += _destination_candidates(store, destination, destination_demand, rules, now)
    return candidates


def _destination_candidates(
    store: Store, destination: int, demand: DestinationDemand, rules: ResendRules, now: int
) -> list[ResendCandidate]:
    statement = "SELECT seq FROM plan WHERE destination = ? AND next_at <= ? ORDER BY next_at, seq LIMIT ?"
    rows = store.database.execute(statement, (destination, now, MAX_PLANNED_RECORDS)).fetchall()
    candidates = list[ResendCandidate]()
    for (sequence,) in rows:
        if len(candidates) == demand.max_resends:
            break
        candidate = _plan_scheduled(store, sequence, demand.healthy_duration, rules, now)
        if candidate is not None:
            candidates.append(candidate)
    return candidates


def _plan_scheduled(
    store: Store, sequence: int, healthy_duration: int, rules: ResendRules, now: int
) -> ResendCandidate | None:
    """Plan one scheduled record and carry out the plan. Return a candidate if it may be resent now."""
    record = _resendable(store, sequence, rules)
    if record is None:
        store.database.execute("DELETE FROM plan WHERE seq = ?", (sequence,))
        return None
    plan = _plan(store, record, rules, now)
    if plan.step is Step.DISCARD and plan.rule is not None:
        record.status = RecordStatus.DISCARDED
        store.update(record, ACTOR, "discard", f"rule {plan.rule.name}")
    elif plan.step is Step.POSTPONE:
        store.schedule(record, max(plan.retry_at, now + 1))
    elif plan.step is Step.RESEND and plan.rule is not None:
        remaining_duration = plan.rule.min_healthy_duration - healthy_duration
        if remaining_duration <= 0:
            return ResendCandidate(record, plan.rule, plan.reason, plan.must_end_by)
        store.schedule(record, now + min(HEALTH_RECHECK_INTERVAL, remaining_duration))
    else:
        store.schedule(record, None)
    return None


def _intact(store: Store, sequence: int) -> Record | None:
    stored = store.get(sequence)
    return stored.record if stored is not None and not stored.fault else None


def _resendable(store: Store, sequence: int, rules: ResendRules) -> Record | None:
    """Return the record if it is intact and the settings still have its message class, else None."""
    record = _intact(store, sequence)
    return record if record is not None and record.class_name in rules.durations else None


def _plan(store: Store, record: Record, rules: ResendRules, now: int) -> Plan:
    duration = rules.durations[record.class_name]
    return plan_record(record, rules.rules, store.resend_settings, now, duration)


def postpone(store: Store, sequence: int, due_at: int) -> None:
    """Schedule a record, if it is scheduled already, for `due_at` (Unix time in nanoseconds)."""
    store.database.execute("UPDATE plan SET next_at = ? WHERE seq = ?", (due_at, sequence))


def claim(store: Store, sequence: int, claimed_id: str, rules: ResendRules, now: int) -> Record | None:
    """Claim a record for the resend `claimed_id` and return it, or None if the resend must not be sent.

    A repeated claim returns the same result.
    """
    with store.transaction():
        record = _intact(store, sequence)
        if record is None:
            return None
        if record.resend_id == claimed_id:
            return record if record.status is RecordStatus.RESENDING else None
        if resend_id(record) != claimed_id or record.class_name not in rules.durations:
            return None
        plan = _plan(store, record, rules, now)
        if plan.step is not Step.RESEND or plan.rule is None:
            return None
        record.status = RecordStatus.RESENDING
        record.resend_id = claimed_id
        record.resend_count += 1
        store.update(record, ACTOR, "resend", f"rule {plan.rule.name}, {plan.reason}: {claimed_id}")
        return record


def finish(store: Store, resend: Transaction) -> Record | None:
    """Write a resend's ending into the record that was claimed for the resend.

    Return the record in its new state, or None if the store has no intact record for the resend.
    """
    with store.transaction():
        record = _intact(store, int(resend.reply_context))
        if record is None:
            return None
        if record.resend_id != resend.id or record.status is not RecordStatus.RESENDING:
            return record  # never claimed, or the ending was written already, before a kill
        _add_attempts(record, resend)
        record.resend_request = ""
        if resend.ending is Ending.DELIVERED:
            record.status = RecordStatus.SETTLED
            record.settled_by = f"resend:{resend.id}"
            store.update(record, ACTOR, "settled", f"resend {resend.id} was delivered")
            return record
        record.status = RecordStatus.PENDING
        reason = failure_reason(resend)
        if resend.attempt_count:
            record.reason = reason
        store.update(record, ACTOR, "resend-ended", f"resend {resend.id}: {reason}")
        return record


def _add_attempts(record: Record, resend: Transaction) -> None:
    record.attempts = (*record.attempts, *resend.attempt_history)
    resend_execution = resend.first_possible_execution()
    if resend_execution is None:
        return
    recorded_execution = record.first_possible_execution
    if recorded_execution is None or resend_execution[0] < recorded_execution or record.evidence:
        record.first_possible_execution, record.first_execution_zone = resend_execution
    record.evidence = ""  # the evidence covered earlier attempts only, not the resend's attempts


def release_lost_resends(store: Store, journaled_ids: frozenset[str]) -> int:
    """Make records pending again whose resend is missing from the journal, and return their number.

    A resend is missing if the journal's directory was lost, for example. A missing resend may have been
    executed.
    """
    count = 0
    with store.transaction():
        rows = store.database.execute("SELECT seq FROM record WHERE standing = 'sending'").fetchall()
        for (sequence,) in rows:
            record = _intact(store, sequence)
            if record is None or record.resend_id in journaled_ids:
                continue
            executed_at = record.first_possible_execution or record.changed_at
            record.first_possible_execution = min(executed_at, record.changed_at)
            record.status = RecordStatus.PENDING
            record.evidence = ""
            record.resend_request = ""
            store.update(record, ACTOR, "resend-lost", f"resend {record.resend_id} is not in the journal")
            count += 1
    return count


def resend_transaction(candidate: ResendCandidate, settings: Settings, now: int) -> Transaction:
    """Return the message to send for a resend. It has a new id and deadline, and the record's key and body.

    `now` is a Unix time in nanoseconds.
    """
    record = candidate.record
    class_index = settings.class_names.index(record.class_name)
    deadline = now + settings.classes[class_index].deadline
    if candidate.must_end_by:
        deadline = min(deadline, candidate.must_end_by)
    tenants = settings.tenant_names
    return Transaction(
        id=resend_id(record),
        class_index=class_index,
        destination=record.destination,
        deadline=deadline,
        body=record.body,
        key=record.key,
        tenant=tenants.index(record.tenant) if record.tenant in tenants else 0,
        frontend=RESEND_FRONTEND,
        reply_context=str(record.sequence),
    )


def earlier_execution(record: Record) -> tuple[int, int] | None:
    """Return when and in which zone the record's attempts may first have been executed.

    The time is a Unix time in nanoseconds. The result is None if no attempt can have been executed, or if the
    receiver's evidence shows that none was.
    """
    if record.first_possible_execution is None or record.evidence:
        return None
    return record.first_possible_execution, record.first_execution_zone
