"""What a question about the store asks for, and the SQL that it becomes. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from honeyhitch.dead_letters.records import RecordStatus

MOST = (1 << 63) - 1  # as great a number as the store holds
ENDINGS = ("failed", "rejected")


class FilterError(ValueError):
    """A filter that cannot be used; the message names it."""


@dataclass(frozen=True, slots=True)
class Filter:
    """Which records; whatever is None does not matter. Times are Unix times in nanoseconds."""

    seq: int | None = None
    id: str | None = None
    key: str | None = None
    destination: int | None = None
    cls: str | None = None
    tenant: str | None = None
    front: str | None = None
    ending: str | None = None
    reason: str | None = None
    standing: str | None = None
    may_have_run: bool | None = None
    since: int | None = None  # ended at or after
    until: int | None = None  # ended before

    def where(self, *more: str) -> tuple[str, list[Any]]:
        """The condition, and its values."""
        parts, values = list(more), list[Any]()
        for name in EQUAL:
            if (value := getattr(self, name)) is not None:
                parts.append(f"record.{name} = ?")
                values.append(value)
        if self.may_have_run is not None:
            parts.append(f"record.first_ran IS {'NOT ' if self.may_have_run else ''}NULL")
        for sign, value in ((">=", self.since), ("<", self.until)):
            if value is not None:
                parts.append(f"record.ended_at {sign} ?")
                values.append(value)
        return " AND ".join(parts) or "1", values

    @classmethod
    def parse(cls, told: Mapping[str, str]) -> Filter:
        """From words, as a control request carries them. Raises FilterError."""
        values: dict[str, Any] = {}
        known = {one.name: str(one.type) for one in fields(cls)}
        for name, text in told.items():
            if name not in known:
                raise FilterError(f"{name}: no such filter")
            if known[name].startswith("int"):
                digits = text.removeprefix("-")
                if not text.isascii() or not digits.isdigit() or len(digits) > 19 or int(digits) > MOST:
                    raise FilterError(f"{name}: expected a whole number, got {text!r}")
                values[name] = int(text)
            elif known[name].startswith("bool"):
                if text not in ("yes", "no"):
                    raise FilterError(f"{name}: expected yes or no, got {text!r}")
                values[name] = text == "yes"
            else:
                values[name] = text
        for name, among in (("ending", ENDINGS), ("standing", [one.value for one in RecordStatus])):
            if values.get(name, among[0]) not in among:
                raise FilterError(f"{name}: expected one of {', '.join(among)}, got {values[name]!r}")
        return cls(**values)

    def words(self) -> dict[str, str]:
        """The reverse of `parse`."""
        told = {one.name: getattr(self, one.name) for one in fields(self)}
        words = {True: "yes", False: "no"}
        return {
            name: words[value] if isinstance(value, bool) else str(value)
            for name, value in told.items()
            if value is not None
        }


EQUAL = ("seq", "id", "key", "destination", "cls", "tenant", "front", "ending", "reason", "standing")
