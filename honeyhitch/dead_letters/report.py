"""The report for accountants: dispositions of undelivered messages by destination, tenant, reason and day.

The report counts records as they are read from the store, and keeps only the sums. Jinja2 renders it as an
HTML page.
"""

from __future__ import annotations

import datetime
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from decimal import Decimal, InvalidOperation
from enum import Enum

import jinja2

from honeyhitch.dead_letters.eligibility import Verdict
from honeyhitch.dead_letters.records import Record, RecordStatus, StoredRecord
from honeyhitch.dead_letters.rules import resend_decision
from honeyhitch.dead_letters.settings import ResendSettings
from honeyhitch.time_units import DAY, SECOND

MAX_AMOUNT = Decimal(10) ** 15  # a larger number in a body is treated as an error
EPOCH = datetime.date(1970, 1, 1)


class Disposition(Enum):
    """The state of a record as the report names it for accountants."""

    SAFE = "safe to resend"
    NOT_SAFE = "not safe"
    RESENDING = "on its way"
    RESENT = "resent"
    SETTLED = "settled otherwise"
    DISCARDED = "discarded"
    ALTERED = "altered"


@dataclass(slots=True)
class Cell:
    """A cell of a table: the number of records, and the sum of the amounts in their bodies."""

    count: int = 0
    amount: Decimal = Decimal(0)
    without_amount: int = 0  # records in whose body no amount was found

    def add(self, amount: Decimal | None) -> None:
        """Count one more record with this amount, or None if its body has no amount."""
        self.count += 1
        if amount is None:
            self.without_amount += 1
        else:
            self.amount += amount


def day_of(unix_time: int) -> str:
    """Return the UTC day of a Unix time in nanoseconds, or "unknown" if the value is not a valid time."""
    try:
        return (EPOCH + datetime.timedelta(days=unix_time // DAY)).isoformat()
    except (TypeError, OverflowError):  # the value is from an altered record
        return "unknown"


@dataclass(frozen=True, slots=True)
class Grouping:
    """A table of the report: its title, and the value of a record that selects the row."""

    title: str
    value_of: Callable[[Record], str]


GROUPINGS = {
    "destination": Grouping("By partner", lambda record: str(record.destination)),
    "tenant": Grouping("By tenant", lambda record: str(record.tenant)),
    "reason": Grouping("By reason", lambda record: str(record.reason)),
    "day": Grouping("By day", lambda record: day_of(record.ended_at)),
}


@dataclass(slots=True)
class Report:
    """The sums of a report. `amount_field` is the path of a number in a JSON body, as in `invoice.total`."""

    resend_settings: ResendSettings
    now: int  # Unix time in nanoseconds at which it is judged whether a resend is safe
    amount_field: str = ""
    groups: dict[str, dict[str, dict[Disposition, Cell]]] = field(
        default_factory=lambda: {name: {} for name in GROUPINGS}
    )
    total: dict[Disposition, Cell] = field(default_factory=dict)
    replaced: int = 0  # duplicates that are counted under the record that replaced them

    def add(self, records: Iterable[StoredRecord]) -> None:
        """Add these records to the sums."""
        for stored in records:
            record = stored.record
            if not stored.fault and record.status is RecordStatus.REPLACED:
                self.replaced += 1
                continue
            self._count(record, self._disposition(stored))

    def _disposition(self, stored: StoredRecord) -> Disposition:
        if stored.fault:
            return Disposition.ALTERED
        return disposition_of(stored.record, self.resend_settings, self.now)

    def _count(self, record: Record, disposition: Disposition) -> None:
        amount = amount_of(record.body, self.amount_field) if self.amount_field else Decimal(0)
        self.total.setdefault(disposition, Cell()).add(amount)
        for name, grouping in GROUPINGS.items():
            row = self.groups[name].setdefault(grouping.value_of(record), {})
            row.setdefault(disposition, Cell()).add(amount)

    def html(self, title: str) -> str:
        """Return the report as an HTML page."""
        loader = jinja2.PackageLoader("honeyhitch.dead_letters")
        environment = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
        return environment.get_template("report.html").render(
            title=title,
            made=format_minute(self.now),
            dispositions=list(Disposition),
            tables=[(grouping.title, self._rows(name)) for name, grouping in GROUPINGS.items()],
            total=self.total,
            replaced=self.replaced,
            amounts=bool(self.amount_field),
            amount_field=self.amount_field,
            empty=Cell(),
        )

    def _rows(self, name: str) -> list[tuple[str, dict[Disposition, Cell]]]:
        def sort_key(row: tuple[str, dict[Disposition, Cell]]) -> tuple[int, str]:
            value = row[0]
            numeric = name == "destination" and value.lstrip("-").isdigit()
            return (int(value) if numeric else 0), value

        return sorted(self.groups[name].items(), key=sort_key)


def disposition_of(record: Record, resend_settings: ResendSettings, now: int) -> Disposition:
    """Return the disposition of an intact record at `now` (Unix time in nanoseconds)."""
    if record.status is RecordStatus.PENDING:
        decision = resend_decision(record, resend_settings, now, 0)
        return Disposition.NOT_SAFE if decision.verdict is Verdict.HOLD else Disposition.SAFE
    if record.status is RecordStatus.SETTLED:
        resent = record.settled_by.startswith("resend:")
        return Disposition.RESENT if resent else Disposition.SETTLED
    if record.status is RecordStatus.RESENDING:
        return Disposition.RESENDING
    return Disposition.DISCARDED


def amount_of(body: bytes, path: str) -> Decimal | None:
    """Return the number at this path in a JSON body, or None if no valid amount is there."""
    try:
        value = json.loads(body, parse_float=Decimal, parse_int=Decimal)
        for name in path.split("."):
            value = value[name]
        if isinstance(value, str):
            value = Decimal(value)
    except (ValueError, KeyError, TypeError, InvalidOperation, RecursionError):
        return None
    if not isinstance(value, Decimal) or not value.is_finite() or abs(value) > MAX_AMOUNT:
        return None
    return value


def format_minute(unix_time: int) -> str:
    """Format a Unix time in nanoseconds as date and time in UTC, to the minute."""
    return datetime.datetime.fromtimestamp(unix_time / SECOND, datetime.UTC).strftime("%Y-%m-%d %H:%M UTC")
