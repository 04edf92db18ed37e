"""The steps of a resend in the store: each is one transaction, and may be repeated after a kill.

A record is claimed for a resend under an id that follows from its own, so that a claim repeated names the
same resend. It has the status RESENDING until the resend's end is written into it; then it is settled, or
pending as before with the resend's attempts in its history.
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

MAX_PLANNED_RECORDS = 64  # of a destination, planned at a time
HEALTH_RECHECK_INTERVAL = (
    30 * SECOND
)  # until a record that waits for its destination's health is planned again
RESEND_ID_BYTES = 8  # of the hash in a resend's id


@dataclass(frozen=True, slots=True)
class ResendCandidate:
    """A record that may be resent now, by this rule; `must_end_by` (ns) is 0 if it may end at any time."""

    record: Record
    rule: Rule
    reason: str
    must_end_by: int


@dataclass(frozen=True, slots=True)
class DestinationDemand:
    """How many resends may begin at a destination, and for how long it has been healthy (ns)."""

    max_resends: int
    healthy_duration: int


@dataclass(frozen=True, slots=True)
class ResendRules:
    """The rules, and for each message class how long a resend takes at least (ns)."""

    rules: tuple[Rule, ...]
    durations: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """What has to be known of a record whose duplicates may come. Times are Unix times in nanoseconds."""

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
        """What has to be known of this record."""
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


# The columns of KeyedRecord's fields, in their order.
SELECT_KEYED = (
    "SELECT seq, destination, key, effect, window, standing, settled_by, ended_at, first_ran, first_zone,"
    " resends FROM record"
)


def resend_id(record: Record) -> str:
    """The id of a record's next resend: the same, whoever asks, until the record has been claimed."""
    name = f"{record.id} {record.ended_at} {record.resend_count + 1}".encode()
    return "r" + blake3(name).hexdigest(RESEND_ID_BYTES)


def keyed_records(store: Store, now: int) -> list[KeyedRecord]:
    """All records with a key whose duplicates may still come, at `now` (ns)."""
    text = f"{SELECT_KEYED} WHERE key <> '' AND ended_at > ? AND standing <> 'replaced'"
    oldest = now - store.resend_settings.duplicate_retention
    return [KeyedRecord(*row) for row in store.database.execute(text, (oldest,))]


def schedule_all(store: Store) -> None:
    """Plan each pending record again, as the rules are new."""
    store.database.execute("DELETE FROM plan")
    store.database.execute("INSERT INTO plan SELECT seq, destination, 0 FROM record WHERE standing = 'kept'")


def due_by_destination(store: Store) -> dict[int, int]:
    """The destinations for which records are scheduled, and when the first of them is due (ns)."""
    rows = store.database.execute("SELECT destination, min(next_at) FROM plan GROUP BY destination")
    return {int(destination): int(due_at) for destination, due_at in rows}


def due_candidates(
    store: Store, demand: Mapping[int, DestinationDemand], rules: ResendRules, now: int
) -> list[ResendCandidate]:
    """Records that may be resent now, by destination as many as are demanded.

    What may not be resent is scheduled for later, or discarded where a rule says so.
    """
    found = list[ResendCandidate]()
    with store.transaction():
        for destination, demanded in demand.items():
            found += _destination_candidates(store, destination, demanded, rules, now)
    return found


def _destination_candidates(
    store: Store, destination: int, demand: DestinationDemand, rules: ResendRules, now: int
) -> list[ResendCandidate]:
    text = "SELECT seq FROM plan WHERE destination = ? AND next_at <= ? ORDER BY next_at, seq LIMIT ?"
    rows = store.database.execute(text, (destination, now, MAX_PLANNED_RECORDS)).fetchall()
    found = list[ResendCandidate]()
    for (sequence,) in rows:
        if len(found) == demand.max_resends:
            break
        candidate = _plan_scheduled(store, sequence, demand.healthy_duration, rules, now)
        if candidate is not None:
            found.append(candidate)
    return found


def _plan_scheduled(
    store: Store, sequence: int, healthy_duration: int, rules: ResendRules, now: int
) -> ResendCandidate | None:
    """Plan one scheduled record, and do what the plan says; the candidate if that is a resend now."""
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
        missing = plan.rule.min_healthy_duration - healthy_duration
        if missing <= 0:
            return ResendCandidate(record, plan.rule, plan.reason, plan.must_end_by)
        store.schedule(record, now + min(HEALTH_RECHECK_INTERVAL, missing))
    else:
        store.schedule(record, None)
    return None


def _intact(store: Store, sequence: int) -> Record | None:
    stored = store.get(sequence)
    return stored.record if stored is not None and not stored.fault else None


def _resendable(store: Store, sequence: int, rules: ResendRules) -> Record | None:
    """The record if it is intact and of a class that the settings still have."""
    record = _intact(store, sequence)
    return record if record is not None and record.class_name in rules.durations else None


def _plan(store: Store, record: Record, rules: ResendRules, now: int) -> Plan:
    duration = rules.durations[record.class_name]
    return plan_record(record, rules.rules, store.resend_settings, now, duration)


def postpone(store: Store, sequence: int, at: int) -> None:
    """Plan a scheduled record again at this time (ns)."""
    store.database.execute("UPDATE plan SET next_at = ? WHERE seq = ?", (at, sequence))


def claim(store: Store, sequence: int, claimed_id: str, rules: ResendRules, now: int) -> Record | None:
    """Take the record for the resend with this id; None if that must not be sent.

    Repeated, it answers the same.
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


def finish(store: Store, ended: Transaction) -> Record | None:
    """Write a resend's end into the record that waits for it.

    Returns the record as it is then, None if there is none that is intact.
    """
    with store.transaction():
        record = _intact(store, int(ended.reply_context))
        if record is None:
            return None
        if record.resend_id != ended.id or record.status is not RecordStatus.RESENDING:
            return record  # never claimed; or written already, before a kill
        _add_attempts(record, ended)
        record.resend_request = ""
        if ended.ending is Ending.DELIVERED:
            record.status = RecordStatus.SETTLED
            record.settled_by = f"resend:{ended.id}"
            store.update(record, ACTOR, "settled", f"resend {ended.id} was delivered")
            return record
        record.status = RecordStatus.PENDING
        reason = failure_reason(ended)
        if ended.attempt_count:
            record.reason = reason
        store.update(record, ACTOR, "resend-ended", f"resend {ended.id}: {reason}")
        return record


def _add_attempts(record: Record, ended: Transaction) -> None:
    record.attempts = (*record.attempts, *ended.attempt_history)
    executed = ended.first_possible_execution()
    if executed is None:
        return
    known = record.first_possible_execution
    if known is None or executed[0] < known or record.evidence:
        record.first_possible_execution, record.first_execution_zone = executed
    record.evidence = ""  # what was proved of earlier attempts says nothing of this one


def release_lost_resends(store: Store, journaled_ids: frozenset[str]) -> int:
    """Make records pending whose resend the journal does not hold, as after the loss of its directory.

    Such resends may have been executed. Returns how many there were.
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
    """The fresh message that a resend is: a new id and a new deadline, the same key."""
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
    """When (ns) and in which zone earlier attempts may have been executed, unless it is proved none was."""
    if record.first_possible_execution is None or record.evidence:
        return None
    return record.first_possible_execution, record.first_execution_zone
