"""The stored form of a record: its columns, its compressed body, and the bytes that are sealed. No I/O.

Column names are part of the sealed bytes and never change; only this module maps them to fields of Record.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

import zstandard

from honeyhitch.dead_letters.records import Record, RecordStatus, StoredRecord
from honeyhitch.dead_letters.seal import SealKeys
from honeyhitch.journal.transactions import Attempt

COMPRESSION_LEVEL = 3  # zstandard level
MAX_BODY_BYTES = 16 << 20  # limit for a decompressed body; no accepted body is larger
# Counted against the store's limit for each record, in addition to its texts, attempts and stored body.
FIXED_RECORD_BYTES = 300

# The columns of the table `record` that hold a field of Record, in the order in which they are written.
FIELD_OF_COLUMN = {
    "id": "id",
    "ended_at": "ended_at",
    "came_at": "accepted_at",
    "deadline": "deadline",
    "destination": "destination",
    "cls": "class_name",
    "effect": "idempotency",
    "window": "deduplication_window",
    "zoned": "zone_scoped",
    "tenant": "tenant",
    "key": "key",
    "front": "frontend",
    "came_again": "recovered_from_journal",
    "ending": "ending",
    "reason": "reason",
    "come_back": "retry_after",
    "first_ran": "first_possible_execution",
    "first_zone": "first_execution_zone",
    "standing": "status",
    "settled_by": "settled_by",
    "evidence": "evidence",
    "resends": "resend_count",
    "resend_id": "resend_id",
    "changed_at": "changed_at",
    "told_again": "client_retry_at",
    "asked": "resend_request",
}
# `plain` is the size of the accepted body and `size` that of the stored record, both in bytes.
COLUMNS = (*FIELD_OF_COLUMN, "plain", "size")
DETAIL_COLUMNS = ("tries", "packed", "body", "key_number", "seal")
BOOLEAN_COLUMNS = ("zoned", "came_again")
# The columns that later schemas added, with their values in older records.
ADDED_COLUMN_DEFAULTS = {"told_again": None, "asked": ""}


def _column_list() -> str:
    names = [f"record.{name}" for name in COLUMNS] + [f"detail.{name}" for name in DETAIL_COLUMNS]
    return ", ".join(names)


# Selects rows for `RecordCodec.decode`.
SELECT_RECORD = f"SELECT record.seq, {_column_list()} FROM record LEFT JOIN detail USING (seq)"


@dataclass(frozen=True, slots=True)
class EncodedRecord:
    """The columns of a record, and its row in the table `detail` without the seal."""

    columns: dict[str, Any]
    attempts: str
    packed: int  # 1 if the body is compressed
    body: bytes

    def sealed_bytes(self, sequence: int) -> bytes:
        """Return the bytes that the seal of the record covers when it is stored under this number."""
        return _sealed_bytes(self.columns, sequence, self.attempts, self.packed, self.body)


class RecordCodec:
    """Converts records to rows and back; bodies of at least `compress_min_bytes` are compressed."""

    def __init__(self, compress_min_bytes: int) -> None:
        self.compress_min_bytes = compress_min_bytes
        self._compressor = zstandard.ZstdCompressor(COMPRESSION_LEVEL)
        self._decompressor = zstandard.ZstdDecompressor()

    def encode(self, record: Record) -> EncodedRecord:
        """Return the row of a record."""
        attempts = pack_attempts(record.attempts)
        packed, body = self._pack_body(record.body)
        columns: dict[str, Any] = {name: getattr(record, field) for name, field in FIELD_OF_COLUMN.items()}
        columns["standing"] = record.status.value
        for name in BOOLEAN_COLUMNS:
            columns[name] = int(columns[name])
        text_length = sum(len(value) for value in columns.values() if isinstance(value, str))
        columns["plain"] = len(record.body)
        columns["size"] = FIXED_RECORD_BYTES + text_length + len(attempts) + len(body)
        return EncodedRecord(columns, attempts, packed, body)

    def _pack_body(self, body: bytes) -> tuple[int, bytes]:
        if len(body) < self.compress_min_bytes:
            return 0, body
        compressed = self._compressor.compress(body)
        return (1, compressed) if len(compressed) < len(body) else (0, body)

    def decode(self, row: tuple[Any, ...], keys: SealKeys) -> StoredRecord:
        """Return the record in a row of SELECT_RECORD, after its seal was verified.

        A damaged row raises no exception: the record is returned with the fault that was detected.
        """
        sequence, *values = row[: 1 + len(COLUMNS)]
        columns = dict(zip(COLUMNS, values, strict=True))
        attempts, packed, body, key_number, seal = row[1 + len(COLUMNS) :]
        status, fault = RecordStatus.PENDING, ""
        history, plain_body = tuple[Attempt, ...](), b""
        try:
            status = RecordStatus(columns["standing"])
            sealed = _sealed_bytes(columns, sequence, attempts, packed, body)
            fault = _seal_fault(keys, key_number, seal, sealed)
            if not fault:
                history = unpack_attempts(attempts)
                plain_body = self._unpack_body(body) if packed else body
        except (TypeError, ValueError, KeyError, zstandard.ZstdError) as error:
            status, fault = RecordStatus.PENDING, f"altered: {error}"
        fields = {field: columns[name] for name, field in FIELD_OF_COLUMN.items() if name != "standing"}
        for name in BOOLEAN_COLUMNS:
            fields[FIELD_OF_COLUMN[name]] = bool(columns[name])
        record = Record(sequence=sequence, status=status, attempts=history, body=plain_body, **fields)
        return StoredRecord(record, fault)

    def _unpack_body(self, body: bytes) -> bytes:
        return self._decompressor.decompress(body, max_output_size=MAX_BODY_BYTES)


def _sealed_bytes(columns: dict[str, Any], sequence: int, attempts: str, packed: int, body: bytes) -> bytes:
    return canonical_bytes({**columns, "seq": sequence, "tries": attempts, "packed": packed}, body)


def _seal_fault(keys: SealKeys, key_number: int, seal: bytes, sealed: bytes) -> str:
    if key_number not in keys.keys:
        return f"sealed with key {key_number}, which is not there"
    if not keys.verifies(key_number, seal, sealed):
        return "altered since it was sealed"
    return ""


def canonical_bytes(columns: dict[str, Any], body: bytes) -> bytes:
    """Return the bytes that a seal covers: the length of the JSON text, the JSON text, and the stored body.

    The JSON text holds the columns by name. A column that a later schema added is left out while it holds its
    default, so that the seals of older records stay valid.
    """
    sealed_columns = {
        name: value
        for name, value in columns.items()
        if name not in ADDED_COLUMN_DEFAULTS or value != ADDED_COLUMN_DEFAULTS[name]
    }
    text = json.dumps(sealed_columns, separators=(",", ":"), sort_keys=True).encode()
    return len(text).to_bytes(4, "big") + text + body


def pack_attempts(attempts: tuple[Attempt, ...]) -> str:
    """Return the history of attempts in its stored form."""
    rows = [
        [
            attempt.number,
            attempt.endpoint,
            attempt.started_at,
            attempt.outcome,
            attempt.elapsed,
            attempt.retry_after,
            attempt.failure_reason,
        ]
        for attempt in attempts
    ]
    return json.dumps(rows, separators=(",", ":"))


def unpack_attempts(text: str) -> tuple[Attempt, ...]:
    """Return the history of attempts from its stored form. Raise ValueError or TypeError if it is invalid."""
    return tuple(Attempt(*row) for row in json.loads(text))
