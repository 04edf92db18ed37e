"""The operations on a store that operators request, through a running dispatcher or from the command line.

Each operation takes and returns values that can be written as JSON, and works on at most one page of records.
A long task is therefore split into many short transactions, and each answer contains the number of the record
after which to continue.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from honeyhitch.dead_letters import key_rotation
from honeyhitch.dead_letters.eligibility import Verdict
from honeyhitch.dead_letters.filters import FilterError, RecordFilter
from honeyhitch.dead_letters.reader import GROUP_EXPRESSIONS, PAGE_SIZE
from honeyhitch.dead_letters.record_export import export_record
from honeyhitch.dead_letters.records import UNRESOLVED, Record, RecordStatus, StoredRecord
from honeyhitch.dead_letters.rules import resend_decision
from honeyhitch.dead_letters.store import Store

MAX_PAGE_SIZE = 1000  # records or audit entries in one answer
DEFAULT_LIST_SIZE = 50
MAX_REASON_LENGTH = 1000  # characters
MAX_NUMBER = 1 << 62
GROUP_NAMES = tuple(GROUP_EXPRESSIONS)
UNRESOLVED_VALUES = tuple(status.value for status in UNRESOLVED)

Arguments = Mapping[str, Any]
Answer = dict[str, Any]


class OperationError(ValueError):
    """A request with invalid arguments or to a damaged store; the message says why it failed."""


def _number(arguments: Arguments, name: str, default: int, maximum: int = MAX_NUMBER) -> int:
    value = arguments.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
        raise OperationError(f"{name}: expected a whole number of at most {maximum}, got {value!r}")
    return value


def _reason(arguments: Arguments) -> str:
    value = arguments.get("why", "")
    if not isinstance(value, str) or not value.strip() or len(value) > MAX_REASON_LENGTH:
        raise OperationError(f"why: expected a text of 1 to {MAX_REASON_LENGTH} characters")
    return value.strip()


def _flag(arguments: Arguments, name: str) -> bool:
    value = arguments.get(name, False)
    if not isinstance(value, bool):
        raise OperationError(f"{name}: expected true or false, got {value!r}")
    return value


def _filter(arguments: Arguments) -> RecordFilter:
    texts = arguments.get("filter", {})
    if not isinstance(texts, dict) or not all(isinstance(text, str) for text in texts.values()):
        raise OperationError("filter: expected an object of texts")
    try:
        return RecordFilter.parse(texts)
    except FilterError as error:
        raise OperationError(f"filter.{error}") from error


def _export(stored: StoredRecord, include_body: bool = False) -> Answer:
    exported = export_record(stored.record, include_body and not stored.fault)
    return exported | {"intact": not stored.fault, "fault": stored.fault}


def list_records(store: Store, arguments: Arguments) -> Answer:
    """Return a page of records. Arguments: `filter`, `after`, `most`, `newest_first`, `bodies`."""
    after_sequence = _number(arguments, "after", 0)
    limit = _number(arguments, "most", DEFAULT_LIST_SIZE, MAX_PAGE_SIZE)
    include_bodies = _flag(arguments, "bodies")
    newest_first = _flag(arguments, "newest_first")
    page = store.page(_filter(arguments), after_sequence, limit, newest_first)
    return {
        "records": [_export(stored, include_bodies) for stored in page],
        "after": page[-1].record.sequence if page else after_sequence,
        "more": len(page) == limit > 0,
    }


def show_record(store: Store, arguments: Arguments) -> Answer:
    """Return one record with its body and its audit entries. Argument: `seq`."""
    sequence = _number(arguments, "seq", 0)
    stored = store.get(sequence)
    if stored is None:
        raise OperationError(f"seq: there is no record {sequence}")
    audit = [entry.export() for entry in store.audit_page(sequence)]
    return {"record": _export(stored, include_body=True), "audit": audit}


def count_records(store: Store, arguments: Arguments) -> Answer:
    """Return record counts by group, the store's totals and limits, and how many records were dropped.

    Arguments: `by` with the names of the fields to group by, and `filter`.
    """
    group_names = arguments.get("by", ["standing", "may_have_run"])
    if not isinstance(group_names, list) or not all(name in GROUP_NAMES for name in group_names):
        raise OperationError(f"by: expected some of {', '.join(GROUP_NAMES)}")
    groups = [
        dict(zip(group_names, group.values, strict=True)) | {"count": group.count, "bytes": group.body_bytes}
        for group in store.count_by(_filter(arguments), tuple(group_names))
    ]
    limits = store.limits
    return {
        "groups": groups,
        "count": store.record_count,
        "bytes": store.stored_bytes,
        "limits": {"count": limits.max_records, "bytes": limits.max_bytes, "age": limits.max_age},
        "dropped": [
            {
                "why": dropped.reason,
                "may_have_run": dropped.may_have_executed,
                "count": dropped.count,
                "bytes": dropped.size_bytes,
            }
            for dropped in store.dropped_totals()
        ],
    }


def list_audit(store: Store, arguments: Arguments) -> Answer:
    """Return a page of all audit entries. Arguments: `after`, `most`."""
    after_number = _number(arguments, "after", 0)
    limit = _number(arguments, "most", PAGE_SIZE, MAX_PAGE_SIZE)
    entries = store.audit_page(after_number=after_number, limit=limit)
    return {
        "audit": [entry.export() for entry in entries],
        "after": entries[-1].number if entries else after_number,
        "more": len(entries) == limit > 0,
    }


# The changes that an operator may make to a record. Each has a function that returns the obstacle
# to the change (a text, empty if the change is possible) and a function that applies the change.


def _pending_obstacle(record: Record) -> str:
    return "" if record.status is RecordStatus.PENDING else f"it is {record.status.value}"


def _release_obstacle(record: Record) -> str:
    if record.status is not RecordStatus.PENDING:
        return f"it is {record.status.value}"
    duplicate_possible = record.client_retry_at is not None or record.recovered_from_journal
    if not record.may_have_executed and not duplicate_possible:
        return "it never ran: nothing has to be proved before it is sent"
    return "it is released already" if record.evidence else ""


def _discard(record: Record, _actor: str, _reason: str) -> None:
    record.status = RecordStatus.DISCARDED


def _settle(record: Record, actor: str, _reason: str) -> None:
    record.status = RecordStatus.SETTLED
    record.settled_by = f"person:{actor}"


def _release(record: Record, _actor: str, reason: str) -> None:
    record.evidence = reason


def _request_resend(record: Record, actor: str, reason: str) -> None:
    record.resend_request = f"{actor}: {reason}"


@dataclass(frozen=True, slots=True)
class RecordChange:
    """A change that an operator may make to a record."""

    obstacle: Callable[[Record], str]
    apply: Callable[[Record, str, str], None]  # takes the record, the actor and the reason


CHANGES = {
    "discard": RecordChange(_pending_obstacle, _discard),
    "settle": RecordChange(_pending_obstacle, _settle),
    "release": RecordChange(_release_obstacle, _release),
    "resend": RecordChange(_pending_obstacle, _request_resend),
}


def change_records(store: Store, arguments: Arguments, actor: str) -> Answer:
    """Apply a change to the next page of the selected records, and return which records were changed.

    Arguments: `verb`, `filter`, `why`, `dry_run`, `after`. A record that was altered on disk is never
    changed, because a new seal would hide the alteration.
    """
    change = arguments.get("verb")
    reason = _reason(arguments)
    dry_run = _flag(arguments, "dry_run")
    if change not in CHANGES:
        raise OperationError(f"verb: expected one of {', '.join(CHANGES)}, got {change!r}")
    after_sequence = _number(arguments, "after", 0)
    changed = list[Answer]()
    unchanged = list[Answer]()
    page = store.page(_filter(arguments), after_sequence, PAGE_SIZE)
    for stored in page:
        record = stored.record
        identity = {"seq": record.sequence, "id": record.id}
        if obstacle := _obstacle(store, change, stored):
            unchanged.append(identity | {"why": obstacle})
            continue
        if not dry_run:
            CHANGES[change].apply(record, actor, reason)
            store.update(record, actor, change, reason)
        changed.append(identity)
    return {
        "done": changed,
        "left": unchanged,
        "after": page[-1].record.sequence if page else after_sequence,
        "more": len(page) == PAGE_SIZE,
        "dry_run": dry_run,
    }


def _obstacle(store: Store, change: str, stored: StoredRecord) -> str:
    obstacle = stored.fault or CHANGES[change].obstacle(stored.record)
    if obstacle or change != "resend":
        return obstacle
    # The decision holds for the present state of the record and is made again when the record is resent.
    decision = resend_decision(stored.record, store.resend_settings, store.clock(), 0)
    return decision.reason if decision.verdict is Verdict.HOLD else ""


def purge_records(store: Store, arguments: Arguments, actor: str) -> Answer:
    """Delete a page of the selected records that are settled, discarded or replaced, and return the count.

    Arguments: `filter`, `why`, `dry_run`, `altered`. With `altered`, delete the one record whose number is
    the filter's `seq`, whatever its status; its seal must be broken.
    """
    record_filter = _filter(arguments)
    reason = _reason(arguments)
    altered = _flag(arguments, "altered")
    dry_run = _flag(arguments, "dry_run")
    if altered:
        stored = store.get(record_filter.sequence) if record_filter.sequence is not None else None
        if stored is None or not stored.fault:
            raise OperationError("filter.seq: expected the number of a record that was altered")
        count = 1 if dry_run else store.remove(stored.record, actor, reason)
        return {"count": count, "more": False, "dry_run": dry_run}
    if dry_run:
        groups = store.count_by(record_filter, ("standing",))
        count = sum(group.count for group in groups if group.values[0] not in UNRESOLVED_VALUES)
        return {"count": count, "more": False, "dry_run": True}
    count = store.purge(record_filter, actor, reason)
    return {"count": count, "more": count == PAGE_SIZE, "dry_run": False}


def rotate_keys(store: Store, arguments: Arguments, actor: str) -> Answer:
    """Do one step of resealing the whole store with a new key, and return the next step.

    Arguments: `step`, and `after` with the number of the row after which the step continues.
    """
    after_number = _number(arguments, "after", 0)
    match arguments.get("step", "start"):
        case "start":
            return {"next": "records", "after": 0, "key": key_rotation.start(store)}
        case "records":
            last_number = key_rotation.reseal_records(store, after_number)
            return {"next": "audit" if last_number is None else "records", "after": last_number or 0}
        case "audit":
            last_number = key_rotation.reseal_audit(store, after_number)
            return {"next": "end" if last_number is None else "audit", "after": last_number or 0}
        case "end":
            store.append_audit(0, "", actor, "rekey", f"key {store.keys.newest_number}")
            remaining = key_rotation.retire_old_keys(store)
            return {"next": "", "left": remaining, "key": store.keys.newest_number}
        case other:
            raise OperationError(f"step: expected start, records, audit or end, got {other!r}")


READS: dict[str, Callable[[Store, Arguments], Answer]] = {
    "list": list_records,
    "show": show_record,
    "stats": count_records,
    "audit": list_audit,
}
WRITES: dict[str, Callable[[Store, Arguments, str], Answer]] = {
    "change": change_records,
    "purge": purge_records,
    "rekey": rotate_keys,
}


def execute(store: Store, name: str, arguments: Arguments, actor: str) -> Answer:
    """Run the operation with this name and return its answer.

    Raise OperationError if the request is invalid or the store is damaged, and sqlite3.Error if the
    database cannot be read or written.
    """
    try:
        if name in READS:
            return READS[name](store, arguments)
        if name in WRITES:
            return WRITES[name](store, arguments, actor)
    except sqlite3.OperationalError:
        raise
    except (sqlite3.DatabaseError, UnicodeDecodeError) as error:
        raise OperationError(f"the store is damaged: {error}; `verify` says more") from error
    raise OperationError(f"{name}: no such operation")
