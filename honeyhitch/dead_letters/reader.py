"""The read operations of a store: records, counts of records, audit entries, and faults.

All methods do blocking I/O, and raise sqlite3.Error if the disk fails or the file is damaged.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from honeyhitch.dead_letters.audit import AUDIT_COLUMNS, StoredAuditEntry
from honeyhitch.dead_letters.connection import StoreConnection
from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.record_codec import SELECT_RECORD
from honeyhitch.dead_letters.records import StoredRecord
from honeyhitch.time_units import DAY

PAGE_SIZE = 200  # records read, deleted or sealed at a time

# The values by which records can be counted: names in requests and exports, and their SQL expressions.
GROUP_EXPRESSIONS = {
    "destination": "record.destination",
    "cls": "record.cls",
    "tenant": "record.tenant",
    "front": "record.front",
    "ending": "record.ending",
    "reason": "record.reason",
    "standing": "record.standing",
    "may_have_run": "record.first_ran IS NOT NULL",
    "day": f"record.ended_at / {DAY}",
}


@dataclass(frozen=True, slots=True)
class RecordGroup:
    """The number of records with these values, which are in the order of the requested names."""

    values: tuple[Any, ...]
    count: int
    body_bytes: float


@dataclass(frozen=True, slots=True)
class DroppedTotal:
    """The number and size of the records that the store has dropped so far for this reason."""

    reason: str  # "age" or "room"
    may_have_executed: bool
    count: int
    size_bytes: int


class StoreReader(StoreConnection):
    """A store with its read operations."""

    def get(self, sequence: int) -> StoredRecord | None:
        """Return the record with this number, or None."""
        self.refresh_keys()
        row = self.database.execute(f"{SELECT_RECORD} WHERE record.seq = ?", (sequence,)).fetchone()
        return self.codec.decode(row, self.keys) if row is not None else None

    def page(
        self,
        record_filter: RecordFilter,
        after_sequence: int = 0,
        limit: int = 50,
        newest_first: bool = False,
    ) -> list[StoredRecord]:
        """Return the records that follow the record with the number `after_sequence`, in the chosen order."""
        self.refresh_keys()
        comparison = "<" if newest_first and after_sequence else ">"
        direction = "DESC" if newest_first else "ASC"
        condition, values = record_filter.sql_condition()
        where = f"record.seq {comparison} ? AND {condition}"
        statement = f"{SELECT_RECORD} WHERE {where} ORDER BY record.seq {direction} LIMIT ?"
        rows = self.database.execute(statement, (after_sequence, *values, limit))
        return [self.codec.decode(row, self.keys) for row in rows]

    def iterate(self, record_filter: RecordFilter) -> Iterator[StoredRecord]:
        """Yield all records that match the filter, read page by page; the store may change in between."""
        after_sequence = 0
        while records := self.page(record_filter, after_sequence, PAGE_SIZE):
            yield from records
            after_sequence = records[-1].record.sequence

    def count_by(self, record_filter: RecordFilter, group_names: tuple[str, ...]) -> list[RecordGroup]:
        """Return the number of records for each combination of these values (keys of GROUP_EXPRESSIONS)."""
        expressions = [GROUP_EXPRESSIONS[name] for name in group_names]
        condition, values = record_filter.sql_condition()
        statement = (
            f"SELECT {', '.join([*expressions, 'count(*)', 'total(plain)'])} FROM record WHERE {condition}"
        )
        if expressions:
            statement += f" GROUP BY {', '.join(expressions)} ORDER BY {', '.join(expressions)}"
        rows = self.database.execute(statement, values)
        return [RecordGroup(tuple(row[:-2]), row[-2], row[-1]) for row in rows]

    def dropped_totals(self) -> list[DroppedTotal]:
        """Return the number and size of the records that the store's limits have dropped so far."""
        rows = self.database.execute(
            "SELECT why, may_have_run, count, size FROM dropped ORDER BY why, may_have_run"
        )
        return [
            DroppedTotal(reason, bool(may_have_executed), count, size_bytes)
            for reason, may_have_executed, count, size_bytes in rows
        ]

    def audit_page(
        self, sequence: int | None = None, after_number: int = 0, limit: int = PAGE_SIZE
    ) -> list[StoredAuditEntry]:
        """Return the audit entries that follow the entry with the number `after_number`, oldest first.

        With `sequence`, only the entries of the record with this number are returned.
        """
        self.refresh_keys()
        where, values = ("seq = ? AND ", (sequence,)) if sequence is not None else ("", ())
        columns = ", ".join(AUDIT_COLUMNS)
        statement = f"SELECT number, {columns}, key_number, seal FROM audit WHERE {where}number > ?"
        rows = self.database.execute(f"{statement} ORDER BY number LIMIT ?", (*values, after_number, limit))
        return [StoredAuditEntry.from_row(row, self.keys) for row in rows]

    def verify(self) -> Iterator[str]:
        """Yield one line for each fault in the file, its records and its audit entries."""
        for (line,) in self.database.execute("PRAGMA integrity_check(100)"):
            if line != "ok":
                yield f"file: {line}"
        for stored in self.iterate(RecordFilter()):
            if stored.fault:
                yield f"record {stored.record.sequence} ({stored.record.id}): {stored.fault}"
        after_number = 0
        while entries := self.audit_page(after_number=after_number):
            for entry in entries:
                if not entry.intact:
                    yield f"audit {entry.number}: altered since it was sealed"
            after_number = entries[-1].number
