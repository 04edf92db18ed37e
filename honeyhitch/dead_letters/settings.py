"""What an operator sets up for undelivered messages, as typed values; config/dead_letters.py reads them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from honeyhitch.time_units import DAY, SECOND

MATCHED_SETS = ("destinations", "classes", "tenants", "frontends", "endings", "reasons")  # of a rule


class Action(Enum):
    """What a rule does with a record that it matches."""

    RESEND = "resend"
    HOLD = "hold"
    DISCARD = "discard"


@dataclass(frozen=True, slots=True)
class Rule:
    """One `[[undelivered.rule]]`. An empty set matches anything; durations are nanoseconds."""

    name: str
    action: Action
    destinations: frozenset[int] = frozenset()
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    frontends: frozenset[str] = frozenset()
    endings: frozenset[str] = frozenset()
    reasons: frozenset[str] = frozenset()
    may_have_executed: bool | None = None
    min_age: int = 0  # since the message's end
    max_resends: int = 3  # of one record
    max_age: int = DAY  # since the message was accepted
    min_healthy_duration: int = 60 * SECOND  # for which the destination must have been healthy
    retry_pause: int = 60 * SECOND  # after a resend that failed; doubled with each further one
    rate_per_second: float = 1.0  # resends by this rule

    def covers(self, later: Rule) -> bool:
        """Whether this rule, which stands earlier, applies to whatever the later one matches."""
        for name in MATCHED_SETS:
            own: frozenset[object] = getattr(self, name)
            matched: frozenset[object] = getattr(later, name)
            if own and (not matched or not matched <= own):
                return False
        same_execution = self.may_have_executed in (None, later.may_have_executed)
        return same_execution and self.min_age <= later.min_age


@dataclass(frozen=True, slots=True)
class ResendSettings:
    """What holds for every resend. Durations are nanoseconds."""

    client_retry_grace: int = 30 * SECOND  # after a client's retry time, in which its duplicate is expected
    duplicates_elsewhere: bool = (
        True  # a client's duplicate may go to another dispatcher, where it is not seen
    )
    duplicate_retention: int = DAY  # for which a message with the same key counts as a duplicate
    capacity_fraction: float = 0.1  # of the call slots and of a destination's quota that resends may take


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """How much the store may hold; what is over is dropped, resolved records first."""

    max_bytes: int = 256_000_000  # of records as stored
    max_records: int = 100_000
    max_age: int = 90 * DAY  # ns since a message's end


@dataclass(frozen=True, slots=True)
class DeadLetterSettings:
    """The table `[undelivered]`."""

    directory: Path | None = None  # `undelivered` in the state directory where it is not set
    limits: StoreLimits = field(default_factory=StoreLimits)
    compress_min_bytes: int = 512  # of a body
    rules: tuple[Rule, ...] = ()  # the first that matches applies
    resend_settings: ResendSettings = field(default_factory=ResendSettings)

    def directory_in(self, state_directory: Path) -> Path:
        """Where the store is."""
        return self.directory if self.directory is not None else state_directory / "undelivered"
