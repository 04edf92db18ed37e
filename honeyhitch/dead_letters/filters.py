"""Filters that select the records of a request: parsed from texts, and translated into SQL. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from honeyhitch.dead_letters.records import RecordStatus

MAX_INTEGER = (1 << 63) - 1  # largest integer that SQLite stores
MAX_DIGITS = 19
ENDINGS = ("failed", "rejected")

# The names of filters in requests, and the fields of RecordFilter. The integer and text filters are also
# columns, except for `since` and `until`.
INTEGER_FILTERS = {"seq": "sequence", "destination": "destination", "since": "since", "until": "until"}
TEXT_FILTERS = {
    "id": "id",
    "key": "key",
    "cls": "class_name",
    "tenant": "tenant",
    "front": "frontend",
    "ending": "ending",
    "reason": "reason",
    "standing": "status",
}
BOOLEAN_FILTERS = {"may_have_run": "may_have_executed"}
FILTERS = {**INTEGER_FILTERS, **TEXT_FILTERS, **BOOLEAN_FILTERS}
BOOLEAN_TEXTS = {"yes": True, "no": False}
CHOICES = {"ending": ENDINGS, "standing": tuple(status.value for status in RecordStatus)}

# The columns that are compared for equality, in the order of the SQL conditions.
EQUAL_COLUMNS = (
    "seq", "id", "key", "destination", "cls", "tenant", "front", "ending", "reason", "standing",
)  # fmt: skip


class FilterError(ValueError):
    """An unknown or invalid filter; the message names it."""


@dataclass(frozen=True, slots=True)
class RecordFilter:
    """Conditions that a record must meet; None matches any value. Times are Unix times in nanoseconds."""

    sequence: int | None = None
    id: str | None = None
    key: str | None = None
    destination: int | None = None
    class_name: str | None = None
    tenant: str | None = None
    frontend: str | None = None
    ending: str | None = None
    reason: str | None = None
    status: str | None = None  # the stored value of a RecordStatus
    may_have_executed: bool | None = None
    since: int | None = None  # the message ended at or after this time
    until: int | None = None  # the message ended before this time

    def sql_condition(self, *leading_conditions: str) -> tuple[str, list[Any]]:
        """Return the SQL condition on the table `record`, and its parameters.

        The condition starts with `leading_conditions`, which have no parameters.
        """
        conditions = list(leading_conditions)
        values = list[Any]()
        for column in EQUAL_COLUMNS:
            value = getattr(self, FILTERS[column])
            if value is not None:
                conditions.append(f"record.{column} = ?")
                values.append(value)
        if self.may_have_executed is not None:
            conditions.append(f"record.first_ran IS {'NOT ' if self.may_have_executed else ''}NULL")
        for comparison, time in ((">=", self.since), ("<", self.until)):
            if time is not None:
                conditions.append(f"record.ended_at {comparison} ?")
                values.append(time)
        return " AND ".join(conditions) or "1", values

    @classmethod
    def parse(cls, texts: Mapping[str, str]) -> RecordFilter:
        """Return the filter with these names and texts of a request. Raise FilterError if one is invalid."""
        fields = dict[str, Any]()
        for name, text in texts.items():
            if name not in FILTERS:
                raise FilterError(f"{name}: no such filter")
            fields[FILTERS[name]] = _parse_value(name, text)
        for name, choices in CHOICES.items():
            if texts.get(name, choices[0]) not in choices:
                raise FilterError(f"{name}: expected one of {', '.join(choices)}, got {texts[name]!r}")
        return cls(**fields)

    def to_texts(self) -> dict[str, str]:
        """Return the names and texts from which `parse` returns an equal filter."""
        values = {name: getattr(self, field) for name, field in FILTERS.items()}
        return {name: _format_value(value) for name, value in values.items() if value is not None}


def _parse_value(name: str, text: str) -> Any:
    if name in INTEGER_FILTERS:
        return _parse_integer(name, text)
    if name in BOOLEAN_FILTERS:
        if text not in BOOLEAN_TEXTS:
            raise FilterError(f"{name}: expected yes or no, got {text!r}")
        return BOOLEAN_TEXTS[text]
    return text


def _parse_integer(name: str, text: str) -> int:
    digits = text.removeprefix("-")
    if not text.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS or int(digits) > MAX_INTEGER:
        raise FilterError(f"{name}: expected a whole number, got {text!r}")
    return int(text)


def _format_value(value: str | int | bool) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
