"""What a play of hollow dispatchers is made of: faults, messages, totals and the dispatchers themselves."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from honeyhitch.partitioning.fleet import Fleet
from honeyhitch.policy.engine import DeliveryPolicy


class FaultKind(Enum):
    """What fails in a play."""

    MACHINES = "machines"  # for good, with what they held
    RESTARTS = "restarts"  # planned, one after the other, the state directory kept
    RACK = "rack"  # some of one zone, which return with their state directories
    ZONE = "zone"
    REGIONS_APART = "regions apart"  # control is in the first region
    CONTROL = "control"  # all control machines are gone


@dataclass(frozen=True, slots=True)
class Fault:
    """A failure, in seconds from the start of the play; of `count` dispatchers where that matters."""

    kind: FaultKind
    at: float
    until: float = 0.0
    count: int = 0


@dataclass(slots=True)
class PlayedMessage:
    """What the play knows of a message."""

    destination: int
    submitted_at: int
    deadline: int
    attempts: int = 0
    first_possible_execution: int | None = None
    attempts_in_flight: int = 0


@dataclass(slots=True)
class Totals:
    """What became of all events."""

    handed_in: int = 0
    delivered: int = 0
    turned_away: int = 0  # not accepted: harmless to submit a second time
    returned: int = 0  # accepted, and rejected or failed later
    lost_with_machine: int = 0
    forwarded: int = 0
    calls: int = 0
    refused_calls: int = 0
    handshakes: int = 0
    two_out: int = 0  # messages that had two attempts in flight
    most_share: float = 0.0  # of any zone's share of any destination, held at one instant
    most_pushed: float = 0.0  # calls at a returning destination, as a share of what it bears
    over_budget: int = 0  # returning destinations that were sent more than N in some window
    fallen: int = 0  # and more than N + 2 x root of N + 2, by which they fall (standing test)
    returning: int = 0
    in_force: list[float] = field(default_factory=list)  # seconds until a change is known, each instance


class HollowDispatcher:
    """One dispatcher without sockets."""

    def __init__(self, name: str, zone: str, number: int) -> None:
        self.name = name
        self.zone = zone
        self.index = number
        self.alive = True
        self.incarnation = 0
        self.clock_skew = 0
        self.watch_read_until = 0  # lines of its watch arrive in their order
        self.fleet: Fleet | None = None
        self.policy: DeliveryPolicy
        self.held_messages: set[str] = set()
        self.idle_connections: Counter[int] = Counter()
        self.quota_fractions: dict[int, float] = {}
        self.next_quota_check_at: int | None = 0  # as the service has it: when a quota_fraction may change
        self.lease_was_valid = False

    @property
    def ready(self) -> bool:
        """Whether it answers, and in a partitioned fleet has a view."""
        return self.alive and (self.fleet is None or bool(self.fleet.view.instances))
