"""The exported form of a record: the JSON object in replies of the control socket, commands and exports."""

from __future__ import annotations

from typing import Any

from honeyhitch.dead_letters.record_codec import FIELD_OF_COLUMN
from honeyhitch.dead_letters.records import OUTCOME_UNKNOWN, Record
from honeyhitch.journal.transactions import Attempt
from honeyhitch.policy.events import Outcome

PROVED_NOT_EXECUTED = frozenset(outcome.value for outcome in Outcome if outcome.proves_not_executed)

# The columns that are exported under their own names, in this order, before the status and the attempts.
EXPORTED_COLUMNS = (
    "id", "key", "cls", "tenant", "destination", "front", "came_at", "deadline", "ended_at", "ending",
    "reason", "come_back", "came_again", "effect", "window", "first_ran", "evidence", "settled_by", "resends",
    "resend_id", "changed_at", "told_again", "asked",
)  # fmt: skip


def export_record(record: Record, include_body: bool = False) -> dict[str, Any]:
    """Return the exported form of a record; a body that is not UTF-8 is exported as hexadecimal digits."""
    exported: dict[str, Any] = {"seq": record.sequence}
    exported |= {name: getattr(record, FIELD_OF_COLUMN[name]) for name in EXPORTED_COLUMNS}
    exported["standing"] = record.status.value
    exported["may_have_run"] = record.may_have_executed
    exported["attempts"] = [_export_attempt(attempt) for attempt in record.attempts]
    if include_body:
        try:
            exported["body"] = record.body.decode()
        except UnicodeDecodeError:
            exported["body_hex"] = record.body.hex()
    return exported


def _export_attempt(attempt: Attempt) -> dict[str, Any]:
    return {
        "number": attempt.number,
        "member": attempt.endpoint,
        "at": attempt.started_at,
        "outcome": attempt.outcome or OUTCOME_UNKNOWN,
        "took": attempt.elapsed,
        "wait": attempt.retry_after,
        "why": attempt.failure_reason,
        "may_have_run": attempt.outcome not in PROVED_NOT_EXECUTED,
    }
