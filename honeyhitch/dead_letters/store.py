"""The store of undelivered messages: sealed records in an SQLite database that one process writes.

All methods do blocking I/O: a running dispatcher calls them in a separate thread (worker.py). They raise
sqlite3.Error if the disk fails or the file is damaged.
"""

from __future__ import annotations

from collections.abc import Iterable

from honeyhitch.dead_letters import retention
from honeyhitch.dead_letters.audit import AuditEntry, StoredAuditEntry
from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.reader import PAGE_SIZE, StoreReader
from honeyhitch.dead_letters.record_codec import COLUMNS, SELECT_RECORD, EncodedRecord
from honeyhitch.dead_letters.records import UNRESOLVED, DroppedRecords, Record, RecordStatus
from honeyhitch.journal.transactions import Ending

ACTOR = "honeyhitch"  # actor in the audit entries of changes that no person requested
VACUUM_PAGES = 256  # free pages returned to the file system per call


class Store(StoreReader):
    """A store with its write operations, which are for the one process that holds the lock."""

    def add(self, records: Iterable[Record]) -> list[DroppedRecords]:
        """Store these records, and return the records that were dropped because of the store's limits.

        A record that is already stored is not changed. A delivered duplicate is not stored, but settles the
        records with its key; an undelivered duplicate replaces them.
        """
        with self.transaction():
            for record in records:
                if record.ending == Ending.DELIVERED.value:
                    self._settle_duplicates(record)
                elif not self._contains(record):
                    self._add_undelivered(record)
            return self.enforce_limits()

    def _contains(self, record: Record) -> bool:
        statement = "SELECT seq FROM record WHERE id = ? AND ended_at = ?"
        return self.database.execute(statement, (record.id, record.ended_at)).fetchone() is not None

    def _add_undelivered(self, record: Record) -> None:
        duplicates = self.unresolved_duplicates(record)
        resending = [duplicate for duplicate in duplicates if duplicate.status is RecordStatus.RESENDING]
        if resending:  # the message waited for this resend and ended before the resend did
            record.status = RecordStatus.REPLACED
            record.settled_by = f"record:{resending[0].sequence}"
        self._insert(record)
        for duplicate in duplicates:
            if record.status is RecordStatus.REPLACED:
                self._extend_client_retry(duplicate, record)
            else:
                self._replace(duplicate, record)

    def unresolved_duplicates(self, record: Record) -> list[Record]:
        """Return the intact unresolved records of other messages with this record's key and destination.

        A record that ended longer ago than `duplicate_retention` before this one is left out.
        """
        if not record.key:
            return []
        statement = f"{SELECT_RECORD} WHERE record.destination = ? AND record.key = ? AND record.ended_at > ?"
        earliest_end = record.ended_at - self.resend_settings.duplicate_retention
        rows = self.database.execute(statement, (record.destination, record.key, earliest_end))
        candidates = [self.codec.decode(row, self.keys) for row in rows]
        intact = [stored.record for stored in candidates if not stored.fault]
        return [other for other in intact if other.status in UNRESOLVED and other.id != record.id]

    def _extend_client_retry(self, record: Record, duplicate: Record) -> None:
        """Set the client retry time of `record` to that of `duplicate` if that is later.

        The duplicate ended while it waited for the resend of `record`, and its client may submit the message
        again.
        """
        latest = max(record.client_retry_at or 0, duplicate.client_retry_at or 0)
        record.client_retry_at = latest or None
        self.update(record, ACTOR, "copy-ended", f"message {duplicate.id} waited for it")

    def _replace(self, old: Record, new: Record) -> None:
        """Replace `old` by its undelivered duplicate `new`, which takes over the earlier first execution.

        `new` also gets the earlier acceptance time and the higher number of resends.
        """
        old.status = RecordStatus.REPLACED
        old.settled_by = f"record:{new.sequence}"
        self.update(old, ACTOR, "replaced", f"message {new.id} has its key")
        if _executed_earlier(old, new):
            new.first_possible_execution = old.first_possible_execution
            new.first_execution_zone = old.first_execution_zone
        new.resend_count = max(new.resend_count, old.resend_count)
        new.accepted_at = min(new.accepted_at, old.accepted_at)
        new.recovered_from_journal = new.recovered_from_journal or old.recovered_from_journal
        self.update(new, ACTOR, "replaces", f"message {old.id}")

    def _settle_duplicates(self, delivered: Record) -> None:
        """Settle the unresolved records with the key of a client's message that was delivered.

        A record with a different body may be a different message: it stays unresolved, but the receiver has
        seen its key, so it may have been executed and earlier evidence against that is removed.
        """
        for record in self.unresolved_duplicates(delivered):
            if record.body == delivered.body:
                record.status = RecordStatus.SETTLED
                record.settled_by = f"copy:{delivered.id}"
                self.update(record, ACTOR, "settled", f"message {delivered.id} was delivered with its key")
            else:
                record.first_possible_execution = min(
                    record.first_possible_execution or delivered.ended_at,
                    delivered.first_possible_execution or delivered.ended_at,
                )
                record.evidence = ""
                reason = f"message {delivered.id} was delivered with its key and another body"
                self.update(record, ACTOR, "key-used", reason)

    def _insert(self, record: Record) -> None:
        encoded = self.codec.encode(record)
        names = ", ".join(COLUMNS)
        placeholders = ", ".join("?" * len(COLUMNS))
        statement = f"INSERT INTO record ({names}) VALUES ({placeholders})"
        cursor = self.database.execute(statement, list(encoded.columns.values()))
        record.sequence = int(cursor.lastrowid or 0)
        self._write_detail(record.sequence, encoded)
        self.schedule(record, 0)
        self.record_count += 1
        self.stored_bytes += encoded.columns["size"]

    def _write_detail(self, sequence: int, encoded: EncodedRecord) -> None:
        key_number, seal = self.keys.seal(encoded.sealed_bytes(sequence))
        self.database.execute(
            "INSERT OR REPLACE INTO detail (seq, tries, packed, body, key_number, seal)"
            " VALUES (?, ?, ?, ?, ?, ?)",
            (sequence, encoded.attempts, encoded.packed, encoded.body, key_number, seal),
        )

    def schedule(self, record: Record, next_at: int | None) -> None:
        """Set when the record is next considered for a resend (Unix time in nanoseconds; None for never).

        The schedule is not sealed: an altered time is harmless because the record and the rules decide
        whether the message is resent.
        """
        if next_at is None or record.status is not RecordStatus.PENDING:
            self.database.execute("DELETE FROM plan WHERE seq = ?", (record.sequence,))
            return
        self.database.execute(
            "INSERT OR REPLACE INTO plan (seq, destination, next_at) VALUES (?, ?, ?)",
            (record.sequence, record.destination, next_at),
        )

    def update(self, record: Record, actor: str, action: str, reason: str) -> None:
        """Write a record's present state with an audit entry. Raise KeyError if it is not in the store."""
        with self.transaction():
            record.changed_at = self.clock()
            encoded = self.codec.encode(record)
            statement = "SELECT size FROM record WHERE seq = ?"
            row = self.database.execute(statement, (record.sequence,)).fetchone()
            if row is None:
                raise KeyError(record.sequence)
            assignments = ", ".join(f"{name} = ?" for name in COLUMNS)
            values = [*encoded.columns.values(), record.sequence]
            self.database.execute(f"UPDATE record SET {assignments} WHERE seq = ?", values)
            self._write_detail(record.sequence, encoded)
            self.schedule(record, 0)
            self.stored_bytes += encoded.columns["size"] - row[0]
            self.append_audit(record.sequence, record.id, actor, action, reason)

    def append_audit(self, sequence: int, record_id: str, actor: str, action: str, reason: str) -> None:
        """Write an audit entry; an entry that concerns no record has the sequence 0."""
        entry = AuditEntry(self.clock(), sequence, record_id, actor, action, reason)
        key_number, seal = self.keys.seal(entry.sealed_bytes())
        self.database.execute(
            "INSERT INTO audit (at, seq, id, who, what, why, key_number, seal)"
            " VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
            (*entry.columns().values(), key_number, seal),
        )

    def enforce_limits(self) -> list[DroppedRecords]:
        """Drop records over the age limit, then records over the size limits; return what was dropped."""
        with self.transaction():
            return [*retention.drop_over_age(self), *retention.drop_over_size(self)]

    def purge(self, record_filter: RecordFilter, actor: str, reason: str, limit: int = PAGE_SIZE) -> int:
        """Delete at most `limit` resolved records that match the filter, and return how many.

        0 means that no such record is left.
        """
        with self.transaction():
            where, values = record_filter.sql_condition(
                "record.standing IN ('settled', 'discarded', 'replaced')"
            )
            statement = f"SELECT seq, id, size FROM record WHERE {where} LIMIT ?"
            rows = self.database.execute(statement, (*values, limit)).fetchall()
            for sequence, record_id, size_bytes in rows:
                self._delete(sequence, record_id, size_bytes, actor, reason)
        return len(rows)

    def remove(self, record: Record, actor: str, reason: str) -> int:
        """Delete one record, even with a damaged row; return 1, or 0 if it was not in the store."""
        with self.transaction():
            statement = "SELECT size FROM record WHERE seq = ?"
            row = self.database.execute(statement, (record.sequence,)).fetchone()
            if row is None:
                return 0
            size_bytes = row[0] if isinstance(row[0], int) else 0
            self._delete(record.sequence, str(record.id), size_bytes, actor, reason)
        return 1

    def _delete(self, sequence: int, record_id: str, size_bytes: int, actor: str, reason: str) -> None:
        self.append_audit(sequence, record_id, actor, "purge", reason)
        retention.delete_rows(self, [sequence], size_bytes)

    def reclaim_space(self) -> None:
        """Return some of the freed space to the file system."""
        self.database.execute(f"PRAGMA incremental_vacuum({VACUUM_PAGES})").fetchall()

    def reseal(self, record: Record) -> None:
        """Seal an intact record with the newest key."""
        self._write_detail(record.sequence, self.codec.encode(record))

    def reseal_audit(self, stored: StoredAuditEntry) -> None:
        """Seal an intact audit entry with the newest key."""
        key_number, seal = self.keys.seal(stored.entry.sealed_bytes())
        self.database.execute(
            "UPDATE audit SET key_number = ?, seal = ? WHERE number = ?", (key_number, seal, stored.number)
        )


def _executed_earlier(record: Record, other: Record) -> bool:
    if record.first_possible_execution is None:
        return False
    if other.first_possible_execution is None:
        return True
    return record.first_possible_execution < other.first_possible_execution
