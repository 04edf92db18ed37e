"""Audit entries: who did what to which record, when and why; each is sealed like a record."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from honeyhitch.dead_letters.record_codec import canonical_bytes
from honeyhitch.dead_letters.seal import SealKeys

# The sealed columns of the table `audit`, which are also the keys of an exported entry.
AUDIT_COLUMNS = ("at", "seq", "id", "who", "what", "why")


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One audit entry. `recorded_at` is a Unix time in nanoseconds.

    An entry that concerns no record has the sequence 0.
    """

    recorded_at: int
    sequence: int
    record_id: str
    actor: str
    action: str
    reason: str

    def columns(self) -> dict[str, Any]:
        """Return the values by column name."""
        values = (self.recorded_at, self.sequence, self.record_id, self.actor, self.action, self.reason)
        return dict(zip(AUDIT_COLUMNS, values, strict=True))

    def sealed_bytes(self) -> bytes:
        """Return the bytes that the entry's seal covers. Raise TypeError if a value cannot be sealed."""
        return canonical_bytes(self.columns(), b"")


@dataclass(frozen=True, slots=True)
class StoredAuditEntry:
    """An audit entry as read from the store; `intact` tells whether its seal was verified."""

    number: int
    entry: AuditEntry
    intact: bool

    @classmethod
    def from_row(cls, row: tuple[Any, ...], keys: SealKeys) -> StoredAuditEntry:
        """Return the entry in a row: its number, its columns, the number of its key, and its seal."""
        number, *values, key_number, seal = row
        entry = AuditEntry(*values)
        try:
            intact = keys.verifies(key_number, seal, entry.sealed_bytes())
        except TypeError:
            intact = False
        return cls(number, entry, intact)

    def export(self) -> dict[str, Any]:
        """Return the entry as the control socket and the commands show it."""
        return {"number": self.number, **self.entry.columns(), "intact": self.intact}
