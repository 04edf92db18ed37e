"""Typed settings for undelivered messages; config/dead_letters.py reads them from the operator's file."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from honeyhitch.time_units import DAY, SECOND

# The fields of a rule that are sets of values to match.
MATCHED_SETS = ("destinations", "classes", "tenants", "frontends", "endings", "reasons")


class Action(Enum):
    """What a rule does with a record that it matches."""

    RESEND = "resend"
    HOLD = "hold"
    DISCARD = "discard"


@dataclass(frozen=True, slots=True)
class Rule:
    """One `[[undelivered.rule]]` table. An empty set matches anything; durations are in nanoseconds."""

    name: str
    action: Action
    destinations: frozenset[int] = frozenset()
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    frontends: frozenset[str] = frozenset()
    endings: frozenset[str] = frozenset()
    reasons: frozenset[str] = frozenset()
    may_have_executed: bool | None = None
    min_age: int = 0  # time since the message ended undelivered
    max_resends: int = 3  # for each record
    max_age: int = DAY  # time since the message was accepted
    min_healthy_duration: int = 60 * SECOND  # how long the destination must have been healthy
    retry_pause: int = 60 * SECOND  # pause after a failed resend; doubled after each further one
    rate_per_second: float = 1.0  # resends that this rule may start

    def covers(self, later: Rule) -> bool:
        """Return whether this rule, listed earlier, applies to every record that `later` matches."""
        for name in MATCHED_SETS:
            own_values: frozenset[object] = getattr(self, name)
            later_values: frozenset[object] = getattr(later, name)
            if own_values and (not later_values or not later_values <= own_values):
                return False
        covers_execution = self.may_have_executed in (None, later.may_have_executed)
        return covers_execution and self.min_age <= later.min_age


@dataclass(frozen=True, slots=True)
class ResendSettings:
    """Settings that apply to every resend. Durations are in nanoseconds."""

    # How long after its retry time a client's duplicate is still expected.
    client_retry_grace: int = 30 * SECOND
    # Whether a client may submit a duplicate to another dispatcher, where this one does not see it.
    duplicates_elsewhere: bool = True
    duplicate_retention: int = DAY  # how long a message with the same key counts as a duplicate
    capacity_fraction: float = 0.1  # share of the call slots and of a destination's quota for resends


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """The most that the store may hold. Records beyond these limits are dropped, resolved ones first."""

    max_bytes: int = 256_000_000  # size of the records as stored
    max_records: int = 100_000
    max_age: int = 90 * DAY  # ns since the message ended


@dataclass(frozen=True, slots=True)
class DeadLetterSettings:
    """The settings table `[undelivered]`."""

    directory: Path | None = None  # None for the directory `undelivered` in the state directory
    limits: StoreLimits = field(default_factory=StoreLimits)
    compress_min_bytes: int = 512  # size from which a body is compressed
    rules: tuple[Rule, ...] = ()  # the first rule that matches a record applies
    resend_settings: ResendSettings = field(default_factory=ResendSettings)

    def directory_in(self, state_directory: Path) -> Path:
        """Return the store's directory."""
        return self.directory if self.directory is not None else state_directory / "undelivered"
