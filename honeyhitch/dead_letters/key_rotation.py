"""Replaces the key that seals a store, in steps that can be interrupted at any moment.

The old keys still verify until `retire_old_keys` deletes them, so that an interrupted rotation continues when
it is started again.
"""

from __future__ import annotations

from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.reader import PAGE_SIZE
from honeyhitch.dead_letters.store import Store

SEALED_TABLES = ("detail", "audit")


def start(store: Store) -> int:
    """Add a new key, unless an interrupted rotation has already added it; return the key's number."""
    if len(store.keys.keys) == 1:
        store.keys.add()
        store.save_keys()
    return store.keys.newest_number


def reseal_records(store: Store, after_sequence: int = 0) -> int | None:
    """Seal the intact records of the page after `after_sequence` with the newest key.

    Return the number of the last record of the page, or None if the page is empty.
    """
    with store.transaction():
        records = store.page(RecordFilter(), after_sequence, PAGE_SIZE)
        for stored in records:
            if not stored.fault:
                store.reseal(stored.record)
    return records[-1].record.sequence if records else None


def reseal_audit(store: Store, after_number: int = 0) -> int | None:
    """Seal the intact audit entries of the page after `after_number` with the newest key.

    Return the number of the last entry of the page, or None if the page is empty.
    """
    with store.transaction():
        entries = store.audit_page(after_number=after_number)
        for entry in entries:
            if entry.intact:
                store.reseal_audit(entry)
    return entries[-1].number if entries else None


def retire_old_keys(store: Store) -> int:
    """Delete the old keys unless rows are left that are sealed with them; return the number of such rows."""
    remaining = 0
    for table in SEALED_TABLES:
        statement = f"SELECT count(*) FROM {table} WHERE key_number IS NOT ?"
        remaining += int(store.database.execute(statement, (store.keys.newest_number,)).fetchone()[0])
    if not remaining:
        store.keys.drop_old()
        store.save_keys()
    return remaining
