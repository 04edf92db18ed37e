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
    """One entry. `at` is a Unix time in nanoseconds; an entry of no record has the sequence 0."""

    at: int
    sequence: int
    record_id: str
    actor: str
    action: str
    reason: str

    def columns(self) -> dict[str, Any]:
        """The values by column."""
        values = (self.at, self.sequence, self.record_id, self.actor, self.action, self.reason)
        return dict(zip(AUDIT_COLUMNS, values, strict=True))

    def sealed_bytes(self) -> bytes:
        """What the entry's seal covers. Raises TypeError if a damaged value cannot have been sealed."""
        return canonical_bytes(self.columns(), b"")


@dataclass(frozen=True, slots=True)
class StoredAuditEntry:
    """An entry as it was read; `intact` tells whether its seal proves it."""

    number: int
    entry: AuditEntry
    intact: bool

    @classmethod
    def from_row(cls, row: tuple[Any, ...], keys: SealKeys) -> StoredAuditEntry:
        """From the entry's number, its columns, the number of its key and its seal."""
        number, *values, key_number, seal = row
        entry = AuditEntry(*values)
        try:
            intact = keys.verifies(key_number, seal, entry.sealed_bytes())
        except TypeError:
            intact = False
        return cls(number, entry, intact)

    def export(self) -> dict[str, Any]:
        """The entry as the control socket and the command show it."""
        return {"number": self.number, **self.entry.columns(), "intact": self.intact}
