"""What people ask of a store: the same whether a running dispatcher does it or the command line itself.

Each operation takes and gives plain values that fit in JSON, and works on some hundred records at most, so
that a long one is many short transactions: its answer says after which record to go on.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Mapping
from typing import Any

from honeyhitch.dead_letters.eligibility import Verdict
from honeyhitch.dead_letters.filters import Filter, FilterError
from honeyhitch.dead_letters.records import Record, RecordStatus, StoredRecord
from honeyhitch.dead_letters.rules import verdict
from honeyhitch.dead_letters.store import STEP, Store

MOST_PAGE = 1000
GROUPS = ("destination", "cls", "tenant", "front", "ending", "reason", "standing", "may_have_run", "day")


class OperationError(ValueError):
    """A request that cannot be done as it stands; the message says why."""


def _number(told: Mapping[str, Any], name: str, default: int, most: int = 1 << 62) -> int:
    value = told.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= most:
        raise OperationError(f"{name}: expected a whole number of at most {most}, got {value!r}")
    return value


def _text(told: Mapping[str, Any], name: str) -> str:
    value = told.get(name, "")
    if not isinstance(value, str) or not value.strip() or len(value) > 1000:
        raise OperationError(f"{name}: expected a text of 1 to 1000 characters")
    return value.strip()


def _flag(told: Mapping[str, Any], name: str) -> bool:
    value = told.get(name, False)
    if not isinstance(value, bool):
        raise OperationError(f"{name}: expected true or false, got {value!r}")
    return value


def _filter(told: Mapping[str, Any]) -> Filter:
    words = told.get("filter", {})
    if not isinstance(words, dict) or not all(isinstance(word, str) for word in words.values()):
        raise OperationError("filter: expected an object of texts")
    try:
        return Filter.parse(words)
    except FilterError as error:
        raise OperationError(f"filter.{error}") from error


def _public(kept: StoredRecord, body: bool = False) -> dict[str, Any]:
    return kept.record.public(body and not kept.fault) | {"intact": not kept.fault, "fault": kept.fault}


def listed(store: Store, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """A page of records: `filter`, `after`, `most`, `newest_first`, `bodies`."""
    after, most = _number(told, "after", 0), _number(told, "most", 50, MOST_PAGE)
    bodies, newest = _flag(told, "bodies"), _flag(told, "newest_first")
    found = store.page(_filter(told), after, most, newest)
    after = found[-1].record.seq if found else after
    return {
        "records": [_public(one, bodies) for one in found],
        "after": after,
        "more": len(found) == most > 0,
    }


def shown(store: Store, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """One record whole, with its audit records: `seq`."""
    seq = _number(told, "seq", 0)
    kept = store.get(seq)
    if kept is None:
        raise OperationError(f"seq: there is no record {seq}")
    return {"record": _public(kept, body=True), "audit": store.audit(seq)}


def stats(store: Store, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """How many records by each combination of `by`, and what was dropped."""
    by = told.get("by", ["standing", "may_have_run"])
    if not isinstance(by, list) or not all(name in GROUPS for name in by):
        raise OperationError(f"by: expected some of {', '.join(GROUPS)}")
    limits = {"count": store.limits.count, "bytes": store.limits.size, "age": store.limits.age}
    return {
        "groups": store.counted(_filter(told), tuple(by)),
        "count": store.count,
        "bytes": store.size,
        "limits": limits,
        "dropped": store.dropped(),
    }


def audited(store: Store, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """A page of all audit records: `after`, `most`."""
    after, most = _number(told, "after", 0), _number(told, "most", STEP, MOST_PAGE)
    rows = store.audit(after=after, most=most)
    after = rows[-1]["number"] if rows else after
    return {"audit": rows, "after": after, "more": len(rows) == most > 0}


# What changes something. Each says of a record why it does not apply to it, or "" if it does.


def _why_not_discard(record: Record) -> str:
    return "" if record.standing is RecordStatus.KEPT else f"it is {record.standing.value}"


def _why_not_release(record: Record) -> str:
    if record.standing is not RecordStatus.KEPT:
        return f"it is {record.standing.value}"
    if not record.may_have_run and record.told_again is None and not record.came_again:
        return "it never ran: nothing has to be proved before it is sent"
    return "it is released already" if record.evidence else ""


def _discard(record: Record, who: str, why: str) -> None:
    record.standing = RecordStatus.DISCARDED


def _settle(record: Record, who: str, why: str) -> None:
    record.standing, record.settled_by = RecordStatus.SETTLED, f"person:{who}"


def _release(record: Record, who: str, why: str) -> None:
    record.evidence = why


def _ask(record: Record, who: str, why: str) -> None:
    record.asked = f"{who}: {why}"


CHANGES: dict[str, tuple[Callable[[Record], str], Callable[[Record, str, str], None]]] = {
    "discard": (_why_not_discard, _discard),
    "settle": (_why_not_discard, _settle),
    "release": (_why_not_release, _release),
    "resend": (_why_not_discard, _ask),
}


def changed(store: Store, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """Change some of the chosen records: `verb`, `filter`, `why`, `dry_run`, `after`.

    A record that was altered on disk is never changed: a new seal would hide that.
    """
    verb, why, dry_run = told.get("verb"), _text(told, "why"), _flag(told, "dry_run")
    if verb not in CHANGES:
        raise OperationError(f"verb: expected one of {', '.join(CHANGES)}, got {verb!r}")
    why_not, change = CHANGES[verb]
    after = _number(told, "after", 0)
    done: list[dict[str, Any]] = []
    left: list[dict[str, Any]] = []
    found = store.page(_filter(told), after, STEP)
    for kept in found:
        record = kept.record
        reason = kept.fault or why_not(record)
        if verb == "resend" and not reason:  # as it stands now; it is asked again when it is its turn
            decision = verdict(record, store.terms, store.clock(), 0)
            reason = decision.reason if decision.verdict is Verdict.HOLD else ""
        if reason:
            left.append({"seq": record.seq, "id": record.id, "why": reason})
            continue
        if not dry_run:
            change(record, who, why)
            store.change(record, who, verb, why)
        done.append({"seq": record.seq, "id": record.id})
    after = found[-1].record.seq if found else after
    return {"done": done, "left": left, "after": after, "more": len(found) == STEP, "dry_run": dry_run}


def purged(store: Store, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """Delete some of the chosen records that are settled or discarded: `filter`, `why`, `dry_run`. With
    `altered` and a `seq`, the one record with that number if its seal is broken.
    """
    chosen, why = _filter(told), _text(told, "why")
    if _flag(told, "altered"):
        kept = store.get(chosen.seq) if chosen.seq is not None else None
        if kept is None or not kept.fault:
            raise OperationError("filter.seq: expected the number of a record that was altered")
        count = 1 if _flag(told, "dry_run") else store.remove(kept.record, who, why)
        return {"count": count, "more": False, "dry_run": _flag(told, "dry_run")}
    if _flag(told, "dry_run"):
        groups = store.counted(chosen, ("standing",))
        over = [group["count"] for group in groups if group["standing"] not in ("kept", "sending")]
        return {"count": sum(over), "more": False, "dry_run": True}
    count = store.purge(chosen, who, why)
    return {"count": count, "more": count == STEP, "dry_run": False}


def rekeyed(store: Store, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """One step of sealing everything with a new key: `step` says which, `after` what it goes on from; the
    answer says what comes next.
    """
    after = _number(told, "after", 0)
    match told.get("step", "start"):
        case "start":
            return {"next": "records", "after": 0, "key": store.rekey()}
        case "records":
            last = store.reseal(after)
            return {"next": "audit" if last is None else "records", "after": last or 0}
        case "audit":
            last = store.reseal_audit(after)
            return {"next": "end" if last is None else "audit", "after": last or 0}
        case "end":
            store.note(0, "", who, "rekey", f"key {store.keys.current}")
            return {"next": "", "left": store.settle_keys(), "key": store.keys.current}
        case other:
            raise OperationError(f"step: expected start, records, audit or end, got {other!r}")


READS = {"list": listed, "show": shown, "stats": stats, "audit": audited}
WRITES = {"change": changed, "purge": purged, "rekey": rekeyed}


def done(store: Store, name: str, told: Mapping[str, Any], who: str) -> dict[str, Any]:
    """Do the operation of this name. Raises OperationError, and sqlite3.Error from the file."""
    operation = {**READS, **WRITES}.get(name)
    if operation is None:
        raise OperationError(f"{name}: no such operation")
    try:
        return operation(store, told, who)
    except (sqlite3.DatabaseError, UnicodeDecodeError) as error:
        if isinstance(error, sqlite3.OperationalError):
            raise
        raise OperationError(f"the store is damaged: {error}; `verify` says more") from error
