"""Human-readable formats of times, tables and records for the commands on undelivered messages."""

from __future__ import annotations

import datetime
from typing import Any

from honeyhitch.time_units import MILLISECOND, SECOND

EPOCH = datetime.date(1970, 1, 1)
LIST_COLUMNS = (
    "seq", "id", "ended", "dest", "class", "tenant", "ending", "reason", "ran", "tries", "standing",
)  # fmt: skip
ATTEMPT_COLUMNS = ("attempt", "member", "at", "outcome", "took", "told wait", "ran")
AUDIT_COLUMNS = ("at", "who", "what", "why", "")
TIME_FIELDS = ("came_at", "deadline", "ended_at", "first_ran", "changed_at")
DURATION_FIELDS = ("come_back", "window")
# These fields are shown above or below the other fields, or not at all.
SEPARATE_FIELDS = ("attempts", "body", "body_hex", "intact", "fault")


def format_time(timestamp: int | None) -> str:
    """Return a Unix time in nanoseconds as text in UTC, to the second; None becomes `-`."""
    if timestamp is None:
        return "-"
    return datetime.datetime.fromtimestamp(timestamp / SECOND, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


def format_day(number: int) -> str:
    """Return the ISO date of a day, which is given as the number of days since 1 January 1970."""
    return (EPOCH + datetime.timedelta(days=number)).isoformat()


def format_executed(may_have_executed: bool) -> str:
    """Return `maybe` if a message or an attempt may have been executed, and `never` if not."""
    return "maybe" if may_have_executed else "never"


def format_table(rows: list[tuple[Any, ...]], headers: tuple[str, ...]) -> str:
    """Return a table as plain text, with a line of headers."""
    from tabulate import tabulate

    return tabulate(rows, headers, tablefmt="simple", disable_numparse=True)


def list_row(record: dict[str, Any]) -> tuple[Any, ...]:
    """Return the row of an exported record, with the columns of LIST_COLUMNS."""
    status = record["standing"] if record["intact"] else "ALTERED"
    if record["evidence"]:
        status += " released"
    return (
        record["seq"],
        record["id"],
        format_time(record["ended_at"]),
        record["destination"],
        record["cls"],
        record["tenant"],
        record["ending"],
        record["reason"],
        format_executed(record["may_have_run"]),
        len(record["attempts"]),
        status,
    )


def format_record(record: dict[str, Any], audit: list[dict[str, Any]]) -> str:
    """Return the text of an exported record with its attempts, its body and its audit entries."""
    lines = [] if record["intact"] else [f"ALTERED ON DISK: {record['fault']}"]
    for name, value in record.items():
        if name not in SEPARATE_FIELDS:
            lines.append(f"{name.replace('_', ' '):14} {_format_field(name, value)}")
    if record["attempts"]:
        rows = [_attempt_row(attempt) for attempt in record["attempts"]]
        lines += ["", format_table(rows, ATTEMPT_COLUMNS)]
    if "body" in record:
        lines += ["", "body:", record["body"]]
    elif "body_hex" in record:
        lines += ["", "body in hexadecimal digits:", record["body_hex"]]
    if audit:
        lines += ["", format_table([_audit_row(entry) for entry in audit], AUDIT_COLUMNS)]
    return "\n".join([*lines, ""])


def _format_field(name: str, value: Any) -> str:
    if name in TIME_FIELDS:
        return format_time(value)
    if name in DURATION_FIELDS:
        return f"{value / SECOND:g} s"
    return str(value)


def _attempt_row(attempt: dict[str, Any]) -> tuple[Any, ...]:
    failure = f" ({attempt['why']})" if attempt["why"] else ""
    return (
        attempt["number"],
        attempt["member"],
        format_time(attempt["at"]),
        attempt["outcome"] + failure,
        f"{attempt['took'] / MILLISECOND:.0f} ms",
        f"{attempt['wait'] / MILLISECOND:.0f} ms" if attempt["wait"] else "-",
        format_executed(attempt["may_have_run"]),
    )


def _audit_row(entry: dict[str, Any]) -> tuple[Any, ...]:
    altered = "" if entry["intact"] else "ALTERED"
    return format_time(entry["at"]), entry["who"], entry["what"], entry["why"], altered
