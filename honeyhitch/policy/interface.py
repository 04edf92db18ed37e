"""Interface of the decision module: settings, events and actions, in plain terms.

All times are integer nanoseconds. Nothing here decides anything; the decisions are in brain.py.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a repeat of a message does at its destination."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # a repeat is dropped inside a window
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """Which endpoints of a destination remember the key of a keyed message."""

    ALL = "all"
    ZONE = "zone"


class Decay(Enum):
    """How worth falls between the aim and the deadline."""

    LINE = "line"
    HALVES = "halves"


class Scale(Enum):
    """What the figure beside an endpoint in the list means."""

    OFF = "off"
    NOMINAL = "nominal"
    ROUGH = "rough"


class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"  # may have run
    REFUSED = "refused"  # never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect-failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "not-sent"  # never ran, counts as an attempt

    @property
    def never_ran(self) -> bool:
        """It proves that the attempt did not run."""
        return self in (Outcome.REFUSED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class Status(Enum):
    """State of an endpoint in the list; it tells nothing of health."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListMode(Enum):
    """What a list event carries."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"  # an ask failed or the subscription broke


def _need(condition: bool, name: str, what: str) -> None:
    if not condition:
        raise ValueError(f"{name}: {what}")


@dataclass(frozen=True, slots=True)
class MessageClass:
    """One class of message."""

    effect: Effect
    aim: int
    deadline: int
    worth: float = 1.0
    late_share: float = 0.0
    group: Group = Group.ALL
    window: int = 0
    in_order: bool = False
    aim_stretch: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _need(self.deadline > 0, "classes.deadline", "must be above 0")
        _need(0 < self.aim <= self.deadline, "classes.aim", "must be above 0 and at most the deadline")
        _need(self.worth >= 0, "classes.worth", "must not be negative")
        _need(0 <= self.late_share <= 1, "classes.late_share", "must lie in 0 to 1")
        _need(self.window >= 0, "classes.window", "must not be negative")
        _need(self.effect is not Effect.KEYED or self.window > 0, "classes.window", "needed for keyed")
        _need(self.aim_stretch >= 0, "classes.aim_stretch", "must not be negative")


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of destination."""

    own_limits: bool = False  # each endpoint has its own limit, pace and outages
    per_call: int = 1  # messages in one call at most
    name: str = ""

    def __post_init__(self) -> None:
        _need(self.per_call >= 1, "kinds.per_call", "must be at least 1")


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[Kind, ...]
    slots: int  # calls out at once
    fall_multiple: float  # a cold destination falls over above this multiple of its capacity
    cold_share: float  # share of its capacity that a returning destination has at least
    cold: int  # and all of it after this
    order_pause: int = 0
    instances: int = 1
    zone: int = 0
    max_attempts: int = 5
    cancel: bool = False
    retry_after: bool = True
    max_retry_after: int = 0
    connect_timeout: int = 0
    must_ask: bool = False
    resolution: int = 0
    decay: Decay = Decay.LINE
    scale: Scale = Scale.OFF
    price_cross_zone: float = 0.0
    tenant_rates: tuple[float, ...] = ()
    over_share_worth: float = 1.0
    tenant_names: tuple[str, ...] = ()
    zone_names: tuple[str, ...] = ()
    report_fields: tuple[str, ...] = ()
    max_open: int = 1 << 30  # transactions held at most
    conn_idle: int = 0  # a member closes an idle connection after this; 0 if never
    drain_grace: int = 2_000_000_000  # for so long something new may go to a member told to drain

    def __post_init__(self) -> None:
        _need(len(self.classes) > 0, "classes", "at least one is needed")
        _need(len(self.kinds) > 0, "kinds", "at least one is needed")
        for name in ("slots", "instances", "max_attempts", "cold", "max_open"):
            _need(getattr(self, name) >= 1, name, "must be at least 1")
        _need(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        _need(0 < self.cold_share <= 1, "cold_share", "must be above 0 and at most 1")
        for name in ("order_pause", "zone"):
            _need(getattr(self, name) >= 0, name, "must not be negative")
        for name in ("max_retry_after", "connect_timeout", "resolution", "conn_idle", "drain_grace"):
            _need(getattr(self, name) >= 0, name, "must not be negative")
        _need(0 <= self.over_share_worth <= 1, "over_share_worth", "must lie in 0 to 1")
        _need(all(rate >= 0 for rate in self.tenant_rates), "tenant_rates", "must not be negative")

    @property
    def class_names(self) -> tuple[str, ...]:
        """What people call each class; its number where it has no name."""
        return tuple(cls.name or str(number) for number, cls in enumerate(self.classes))

    def kind(self, number: int) -> Kind:
        """The kind with this number; the last one for a number that is too high."""
        return self.kinds[min(number, len(self.kinds) - 1)]


@dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint in the list."""

    endpoint: str
    destination: int
    kind: int = 0
    zone: int = 0
    scale: float = 1.0
    status: Status = Status.READY
    gated: bool = False  # takes calls on open connections alone, of which `Room` tells


@dataclass(frozen=True, slots=True)
class ListNews:
    """News of the list of endpoints."""

    mode: ListMode
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class NewMessage:
    """A message was taken and is owed exactly one final answer."""

    message: str
    cls: int
    destination: int
    time_left: int
    key: int | None = None
    tenant: int = 0
    work: int = 0  # guess of the call's time, 0 if none
    came_again: bool = False
    attempts: int = 0  # made before a restart of the process
    ran_at: int | None = None  # when an earlier attempt may first have run, if one may have
    ran_zone: int = 0  # and in which zone
    behind: bool = False  # it goes only where nothing else wants to


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has its outcome."""

    message: str
    attempt: int
    endpoint: str
    outcome: Outcome
    took: int
    settled: bool  # the message is concluded, by this or earlier
    wait: int = 0  # told wait, 0 if none
    allowance: float = 1.0  # told share of the limit that is left
    limit: float = 0.0  # told limit in calls a second, 0 if there is none
    stale: bool = False  # a kept connection broke without a word: it tells of the connection alone
    crowded: bool = False  # turned away as its connection came up: the member's table of them is full
    unused: bool = False  # no byte of it went: no attempt was used up, and its number is given again


@dataclass(frozen=True, slots=True)
class Room:
    """How many calls a gated endpoint's connections take, and how the latest try to open one ended."""

    endpoint: str
    destination: int
    calls: int  # out at once, until told otherwise
    failed: bool = False  # none came up, as in an outage: nothing ran, and no message was tried
    took: int = 0  # until it failed
    shut: int = 0  # time from now for which none will be opened, 0 if one may be
    why: str = ""  # the name of the failure, where the latest try failed; it tells people, not the module


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Nobody wants the message any more."""

    message: str


@dataclass(frozen=True, slots=True)
class Leaving:
    """The process is about to end, and nothing is decided for so long at the least."""

    gap: int


@dataclass(frozen=True, slots=True)
class Told:
    """An endpoint told another process of this dispatcher to wait until then."""

    destination: int
    endpoint: str
    until: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was asked for has come."""


Event = ListNews | NewMessage | AttemptEnded | Room | Withdrawn | Leaving | Told | TimerFired


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a message are numbered from 0 in the order sent."""

    message: str
    endpoint: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, handing it in again after `come_back` is harmless."""

    message: str
    come_back: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    message: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired at this time."""

    at: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class Close:
    """Close this instance's idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Open:
    """Messages wait for a gated endpoint: connections for so many more calls are wanted."""

    endpoint: str
    calls: int


@dataclass(frozen=True, slots=True)
class Condition:
    """How a destination stands, as the module sees it."""

    listed: bool  # it has a member that may get something new
    sick: bool  # no member is well: out, or many calls fail
    ramping: bool  # a member came back and may be cold
    waits_until: int  # told wait
    queued: bool  # messages that are not behind others wait for it
    part: float  # this instance's part of its capacity, in calls a second
    last_send: int
    used: int  # slots, of all destinations


Action = Send | Cancel | Refuse | Fail | SetTimer | Subscribe | Close | Open
