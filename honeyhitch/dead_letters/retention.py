"""Deletes records that exceed the store's limits, the least important records first."""

from __future__ import annotations

from honeyhitch.dead_letters.connection import StoreConnection
from honeyhitch.dead_letters.records import DroppedRecords, RecordStatus

# The tables that hold rows of a record. The table that the others reference is last.
TABLES = ("plan", "detail", "record")
MAX_NAMED_IDS = 5  # number of ids of dropped records that are reported
NO_LIMIT = -1

# Pending records that may have been executed are dropped last; records with a resend in flight are never
# dropped. The second value tells whether the record may have been executed.
DROP_ORDER = (
    (RecordStatus.REPLACED, False),
    (RecordStatus.REPLACED, True),
    (RecordStatus.SETTLED, False),
    (RecordStatus.SETTLED, True),
    (RecordStatus.DISCARDED, False),
    (RecordStatus.DISCARDED, True),
    (RecordStatus.PENDING, False),
    (RecordStatus.PENDING, True),
)


def drop_over_age(store: StoreConnection) -> list[DroppedRecords]:
    """Delete the records and audit entries that are over the age limit; return the dropped records."""
    oldest = store.clock() - store.limits.max_age
    dropped = list[DroppedRecords]()
    for may_have_executed in (False, True):
        where = "ended_at < ? AND standing <> 'sending' AND (first_ran IS NOT NULL) = ?"
        dropped += _drop(store, "age", may_have_executed, where, (oldest, int(may_have_executed)))
    store.database.execute("DELETE FROM audit WHERE at < ?", (oldest,))
    return dropped


def drop_over_size(store: StoreConnection) -> list[DroppedRecords]:
    """Delete records in DROP_ORDER, oldest first, until the store is within its limits of count and bytes.

    Return the dropped records.
    """
    dropped = list[DroppedRecords]()
    where = "standing = ? AND (first_ran IS NOT NULL) = ? ORDER BY seq"
    for status, may_have_executed in DROP_ORDER:
        excess = _excess_records(store)
        while excess or store.stored_bytes > store.limits.max_bytes:
            values = (status.value, int(may_have_executed))
            newly_dropped = _drop(store, "room", may_have_executed, where, values, excess or 1)
            if not newly_dropped:
                break
            dropped += newly_dropped
            excess = _excess_records(store)
    return dropped


def _excess_records(store: StoreConnection) -> int:
    return max(store.record_count - store.limits.max_records, 0)


def _drop(
    store: StoreConnection,
    reason: str,
    may_have_executed: bool,
    where: str,
    values: tuple[object, ...],
    limit: int = NO_LIMIT,
) -> list[DroppedRecords]:
    statement = f"SELECT seq, id, size FROM record WHERE {where} LIMIT ?"
    rows = store.database.execute(statement, (*values, limit)).fetchall()
    if not rows:
        return []
    size_bytes = sum(row[2] for row in rows)
    delete_rows(store, [row[0] for row in rows], size_bytes)
    store.database.execute(
        "INSERT INTO dropped VALUES (?, ?, ?, ?) ON CONFLICT (why, may_have_run)"
        " DO UPDATE SET count = count + excluded.count, size = size + excluded.size",
        (reason, int(may_have_executed), len(rows), size_bytes),
    )
    ids = tuple(str(row[1]) for row in rows[:MAX_NAMED_IDS])
    return [DroppedRecords(reason, may_have_executed, len(rows), size_bytes, ids)]


def delete_rows(store: StoreConnection, sequences: list[int], size_bytes: int) -> None:
    """Delete all rows of these records, whose sizes add up to `size_bytes`."""
    for table in TABLES:
        store.database.executemany(
            f"DELETE FROM {table} WHERE seq = ?", [(sequence,) for sequence in sequences]
        )
    store.record_count -= len(sequences)
    store.stored_bytes -= size_bytes
