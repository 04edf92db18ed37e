"""The accountants' report: what became of undelivered messages, by partner, tenant, reason and day.

It counts records one by one, as they come from the store, and keeps sums alone. Rendered by Jinja2.
"""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from decimal import Decimal, InvalidOperation
from enum import Enum

import jinja2

from honeyhitch.dead_letters.eligibility import Verdict
from honeyhitch.dead_letters.records import Record, RecordStatus, StoredRecord
from honeyhitch.dead_letters.rules import verdict
from honeyhitch.dead_letters.settings import Terms

DAY = 86400 * 10**9  # ns
MOST_AMOUNT = Decimal(10) ** 15  # beyond it a body's number is taken for a mistake
BY = ("destination", "tenant", "reason", "day")
TITLES = {"destination": "By partner", "tenant": "By tenant", "reason": "By reason", "day": "By day"}


class Fate(Enum):
    """What became of a record, in the accountants' words."""

    SAFE = "safe to resend"
    NOT_SAFE = "not safe"
    SENDING = "on its way"
    RESENT = "resent"
    SETTLED = "settled otherwise"
    DISCARDED = "discarded"
    ALTERED = "altered"


@dataclass(slots=True)
class Cell:
    """Records, bytes of their bodies, and the amounts that stand in them."""

    count: int = 0
    size: int = 0
    amount: Decimal = Decimal(0)
    without: int = 0  # records in whose body no amount was found

    def add(self, size: int, amount: Decimal | None) -> None:
        """One more."""
        self.count, self.size = self.count + 1, self.size + size
        if amount is None:
            self.without += 1
        else:
            self.amount += amount


@dataclass(slots=True)
class Report:
    """The sums. `amount_field` names the number in a JSON body by its path, as in `invoice.total`."""

    terms: Terms
    now: int  # Unix time in nanoseconds, for what is safe
    amount_field: str = ""
    groups: dict[str, dict[str, dict[Fate, Cell]]] = field(default_factory=lambda: {name: {} for name in BY})
    total: dict[Fate, Cell] = field(default_factory=dict)
    replaced: int = 0  # copies that stand under another record

    def add(self, records: Iterable[StoredRecord]) -> None:
        """Count these, too."""
        for kept in records:
            record = kept.record
            if not kept.fault and record.standing is RecordStatus.REPLACED:
                self.replaced += 1
                continue
            fate = Fate.ALTERED if kept.fault else fate_of(record, self.terms, self.now)
            amount = amount_of(record.body, self.amount_field) if self.amount_field else Decimal(0)
            for cells in (self.total, *(self._cells(name, record) for name in BY)):
                cells.setdefault(fate, Cell()).add(len(record.body), amount)

    def _cells(self, name: str, record: Record) -> dict[Fate, Cell]:
        value = day_of(record.ended_at) if name == "day" else str(getattr(record, name))
        return self.groups[name].setdefault(value, {})

    def html(self, title: str) -> str:
        """The page."""
        loader = jinja2.PackageLoader("honeyhitch.dead_letters")
        environment = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
        tables = [
            (TITLES[name], sorted(self.groups[name].items(), key=lambda row: _order(name, row[0])))
            for name in BY
        ]
        return environment.get_template("report.html").render(
            title=title, made=moment(self.now), fates=list(Fate), tables=tables, total=self.total,
            replaced=self.replaced, amounts=bool(self.amount_field), amount_field=self.amount_field,
            empty=Cell(), grace=self.terms.grace / 10**9,
        )  # fmt: skip


def _order(name: str, value: str) -> tuple[int, str]:
    return (int(value) if name == "destination" and value.lstrip("-").isdigit() else 0), value


def fate_of(record: Record, terms: Terms, now: int) -> Fate:
    """What became of an intact record."""
    if record.standing is RecordStatus.KEPT:
        held = verdict(record, terms, now, 0).verdict is Verdict.HOLD
        return Fate.NOT_SAFE if held else Fate.SAFE
    if record.standing is RecordStatus.SETTLED:
        return Fate.RESENT if record.settled_by.startswith("resend:") else Fate.SETTLED
    return Fate.SENDING if record.standing is RecordStatus.SENDING else Fate.DISCARDED


def amount_of(body: bytes, path: str) -> Decimal | None:
    """The number at this path in a JSON body, None if there is none."""
    try:
        value = json.loads(body, parse_float=Decimal, parse_int=Decimal)
        for name in path.split("."):
            value = value[name]
        amount = value if isinstance(value, Decimal) else Decimal(value) if isinstance(value, str) else None
    except (ValueError, KeyError, TypeError, InvalidOperation, RecursionError):
        return None
    if amount is None or not amount.is_finite() or abs(amount) > MOST_AMOUNT:
        return None
    return amount


def day_of(at: int) -> str:
    """The day of a time, UTC."""
    try:
        return (datetime.date(1970, 1, 1) + datetime.timedelta(days=at // DAY)).isoformat()
    except (TypeError, OverflowError):  # of an altered record
        return "unknown"


def moment(at: int) -> str:
    """A time for people, UTC to the minute."""
    return datetime.datetime.fromtimestamp(at / 10**9, datetime.UTC).strftime("%Y-%m-%d %H:%M UTC")
