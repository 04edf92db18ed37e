"""What a resend does in the store: each step is one transaction, and may be repeated after a kill.

A record is claimed for a resend under an id that follows from its own, so that a claim repeated names the
same resend. It is `sending` until the resend's end is written into it; then it is settled, or kept as before
with the resend's attempts in its history.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from blake3 import blake3

from honeyhitch.dead_letters.records import Record, RecordStatus, reason
from honeyhitch.dead_letters.rules import Plan, Step, plan
from honeyhitch.dead_letters.settings import Rule
from honeyhitch.dead_letters.store import Store
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Transaction
from honeyhitch.policy.settings import Settings

WHO = "honeyhitch"
LOOKED_AT = 64  # records of a destination looked at for each one that may be sent
RECHECK = 30 * 10**9  # ns after which a record is looked at again that had to wait for the partner's health


@dataclass(frozen=True, slots=True)
class Candidate:
    """A record that may be resent now, by this rule; `until` is when it must have ended, 0 if at any time."""

    record: Record
    rule: Rule
    reason: str
    until: int


@dataclass(frozen=True, slots=True)
class Known:
    """What has to be known of a record whose copies may come. Times are Unix times in nanoseconds."""

    seq: int
    destination: int
    key: str
    effect: str
    window: int
    standing: str
    settled_by: str
    ended_at: int
    first_ran: int | None
    first_zone: int
    resends: int


def resend_id(record: Record) -> str:
    """The id of a record's next resend: the same, whoever asks, until the record has been claimed."""
    named = f"{record.id} {record.ended_at} {record.resends + 1}".encode()
    return "r" + blake3(named).hexdigest(8)


def known(store: Store, now: int) -> list[Known]:
    """All records with a key whose copies may still come."""
    names = ", ".join(Known.__dataclass_fields__)
    text = f"SELECT {names} FROM record WHERE key <> '' AND ended_at > ? AND standing <> 'replaced'"
    return [Known(*row) for row in store.db.execute(text, (now - store.terms.memory,))]


def replan_all(store: Store) -> None:
    """The rules are new: each kept record is looked at again."""
    store.db.execute("DELETE FROM plan")
    store.db.execute("INSERT INTO plan SELECT seq, destination, 0 FROM record WHERE standing = 'kept'")


def waiting(store: Store) -> dict[int, int]:
    """The destinations for which records are planned, and when the first of them is due."""
    rows = store.db.execute("SELECT destination, min(next_at) FROM plan GROUP BY destination")
    return {int(destination): int(at) for destination, at in rows}


def due(
    store: Store,
    wanted: Mapping[int, tuple[int, int]],
    rules: tuple[Rule, ...],
    longest: Mapping[str, int],
    now: int,
) -> list[Candidate]:
    """Records that may be resent now, for each destination at most so many, where it has been healthy for so
    long (nanoseconds). What may not is planned for later, or discarded where a rule says so.

    `longest` names the classes there are, and how long a resend of each needs at least.
    """
    found: list[Candidate] = []
    with store.at_once():
        for destination, (most, healthy) in wanted.items():
            text = "SELECT seq FROM plan WHERE destination = ? AND next_at <= ? ORDER BY next_at, seq LIMIT ?"
            rows = store.db.execute(text, (destination, now, LOOKED_AT)).fetchall()
            count = 0
            for (seq,) in rows:
                if count == most:
                    break
                candidate = _look(store, seq, rules, longest, now, healthy)
                if candidate is not None:
                    found.append(candidate)
                    count += 1
    return found


def _look(
    store: Store, seq: int, rules: tuple[Rule, ...], longest: Mapping[str, int], now: int, healthy: int
) -> Candidate | None:
    kept = store.get(seq)
    if kept is None or kept.fault or kept.record.cls not in longest:
        store.db.execute("DELETE FROM plan WHERE seq = ?", (seq,))
        return None
    record = kept.record
    told = plan(record, rules, store.terms, now, longest[record.cls])
    if told.step is Step.DISCARD and told.rule is not None:
        record.standing = RecordStatus.DISCARDED
        store.change(record, WHO, "discard", f"rule {told.rule.name}")
    elif told.step is Step.LATER:
        store.replan(record, max(told.at, now + 1))
    elif told.step is Step.RESEND and told.rule is not None:
        if healthy >= told.rule.healthy:
            return Candidate(record, told.rule, told.reason, told.at)
        store.replan(record, now + min(RECHECK, told.rule.healthy - healthy))
    else:
        store.replan(record, None)
    return None


def later(store: Store, seq: int, at: int) -> None:
    """Look at it again then."""
    store.db.execute("UPDATE plan SET next_at = ? WHERE seq = ?", (at, seq))


def claim(
    store: Store,
    seq: int,
    name: str,
    rules: tuple[Rule, ...],
    longest: Mapping[str, int],
    now: int,
) -> Record | None:
    """Take the record for the resend of this name; None if that must not go out. Repeated, it says the
    same.
    """
    with store.at_once():
        kept = store.get(seq)
        if kept is None or kept.fault:
            return None
        record = kept.record
        if record.resend_id == name:
            return record if record.standing is RecordStatus.SENDING else None
        if resend_id(record) != name or record.cls not in longest:
            return None
        told: Plan = plan(record, rules, store.terms, now, longest[record.cls])
        if told.step is not Step.RESEND or told.rule is None:
            return None
        record.standing, record.resend_id, record.resends = RecordStatus.SENDING, name, record.resends + 1
        store.change(record, WHO, "resend", f"rule {told.rule.name}, {told.reason}: {name}")
        return record


def finish(store: Store, ended: Transaction) -> Record | None:
    """Write a resend's end into the record that waits for it; the record as it is then, None if there is
    none that is intact.
    """
    with store.at_once():
        kept = store.get(int(ended.reply_context))
        if kept is None or kept.fault:
            return None
        record = kept.record
        if record.resend_id != ended.id or record.standing is not RecordStatus.SENDING:
            return record  # never claimed; or written already, before a kill
        first = ended.first_possible_execution()
        record.tries = (*record.tries, *ended.attempt_history)
        if first is not None:  # what was proved of earlier attempts says nothing of this one
            if record.first_ran is None or first[0] < record.first_ran or record.evidence:
                record.first_ran, record.first_zone = first
            record.evidence = ""
        record.asked = ""
        if ended.ending is Ending.DELIVERED:
            record.standing, record.settled_by = RecordStatus.SETTLED, f"resend:{ended.id}"
            store.change(record, WHO, "settled", f"resend {ended.id} was delivered")
        else:
            record.standing = RecordStatus.KEPT
            if ended.attempt_count:
                record.reason = reason(ended)
            store.change(record, WHO, "resend-ended", f"resend {ended.id}: {reason(ended)}")
        return record


def lost(store: Store, there: frozenset[str], now: int) -> int:
    """Resends that the journal knows nothing of, as after the loss of its folder: they may have run. How
    many.
    """
    count = 0
    with store.at_once():
        rows = store.db.execute("SELECT seq FROM record WHERE standing = 'sending'").fetchall()
        for (seq,) in rows:
            kept = store.get(seq)
            if kept is None or kept.fault or kept.record.resend_id in there:
                continue
            record = kept.record
            record.first_ran = min(record.first_ran or record.changed_at, record.changed_at)
            record.standing, record.evidence, record.asked = RecordStatus.KEPT, "", ""
            store.change(record, WHO, "resend-lost", f"resend {record.resend_id} is not in the journal")
            count += 1
    return count


def transaction(candidate: Candidate, settings: Settings, now: int) -> Transaction:
    """The fresh request that a resend is: a new id and a new deadline, the same key."""
    record = candidate.record
    number = settings.class_names.index(record.cls)
    deadline = now + settings.classes[number].deadline
    tenants: tuple[Any, ...] = settings.tenant_names
    return Transaction(
        id=resend_id(record),
        class_index=number,
        destination=record.destination,
        deadline=min(deadline, candidate.until) if candidate.until else deadline,
        body=record.body,
        key=record.key,
        tenant=tenants.index(record.tenant) if record.tenant in tenants else 0,
        frontend=RESEND_FRONTEND,
        reply_context=str(record.seq),
    )


def past_of(record: Record) -> tuple[int, int] | None:
    """When and in which zone earlier attempts may have run, unless it is proved that none did."""
    if record.first_ran is None or record.evidence:
        return None
    return record.first_ran, record.first_zone
