"""What an operator sets up for undelivered messages, as typed values; lifecycle/config reads the file."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

SECOND = 10**9  # ns
DAY = 24 * 3600 * SECOND


SETS = ("destinations", "classes", "tenants", "fronts", "endings", "reasons")  # what a rule matches by


class Action(Enum):
    """What a rule does with a record that it matches."""

    RESEND = "resend"
    HOLD = "hold"
    DISCARD = "discard"


@dataclass(frozen=True, slots=True)
class Rule:
    """One `[[undelivered.rule]]`. An empty set matches anything; spans are nanoseconds."""

    name: str
    action: Action
    destinations: frozenset[int] = frozenset()
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    fronts: frozenset[str] = frozenset()
    endings: frozenset[str] = frozenset()
    reasons: frozenset[str] = frozenset()
    may_have_run: bool | None = None
    older_than: int = 0  # since the message's end
    most_times: int = 3  # resends of one record
    most_age: int = DAY  # since it came
    healthy: int = 60 * SECOND  # for which the partner must have been healthy first
    pause: int = 60 * SECOND  # after a resend that failed; doubled with each further one
    rate: float = 1.0  # resends a second by this rule

    def covers(self, later: Rule) -> bool:
        """Whether whatever the later one matches is taken by this one, which stands before it."""
        for name in SETS:
            wide, narrow = getattr(self, name), getattr(later, name)
            if wide and (not narrow or not narrow <= wide):
                return False
        ran = self.may_have_run in (None, later.may_have_run)
        return ran and self.older_than <= later.older_than


@dataclass(frozen=True, slots=True)
class Terms:
    """What holds for every resend. Spans are nanoseconds."""

    grace: int = 30 * SECOND  # after the time told to a client, in which its copy is still looked for
    elsewhere: bool = True  # a client's copy may go to another dispatcher, where it is not seen
    memory: int = DAY  # for which a message with the same key counts as a copy
    share: float = 0.1  # of the slots, and of the partner's part, that resends may take


@dataclass(frozen=True, slots=True)
class Limits:
    """How much the store may hold; what is over is dropped, settled records first."""

    size: int = 256_000_000  # bytes of records as stored
    count: int = 100_000
    age: int = 90 * DAY  # ns since a message's end


@dataclass(frozen=True, slots=True)
class DeadLetterSettings:
    """The table `[undelivered]`."""

    folder: Path | None = None  # `undelivered` in the state folder where it is not set
    limits: Limits = field(default_factory=Limits)
    compress_from: int = 512  # bytes of a body
    rules: tuple[Rule, ...] = ()  # the first that matches counts
    terms: Terms = field(default_factory=Terms)

    def at(self, state: Path) -> Path:
        """Where the store is."""
        return self.folder if self.folder is not None else state / "undelivered"
