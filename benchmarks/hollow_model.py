"""The faults, messages, totals and hollow dispatchers of a play.

A play is one simulation run in virtual time. A hollow dispatcher makes the real decisions without sockets.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from honeyhitch.partitioning.fleet import Fleet
from honeyhitch.policy.engine import DeliveryPolicy


class FaultKind(Enum):
    """The kind of failure in a play."""

    MACHINES = "machines"  # lost permanently, with the messages that they held
    RESTARTS = "restarts"  # planned restarts, one after the other, which keep the state directories
    RACK = "rack"  # some dispatchers of one zone fail, and return with their state directories
    ZONE = "zone"
    REGIONS_APART = "regions apart"  # the link between the regions fails; control is in the first region
    CONTROL = "control"  # all control machines fail


@dataclass(frozen=True, slots=True)
class Fault:
    """A failure from `start` to `end`, in seconds from the start of the play.

    `count` is the number of dispatchers that fail, for the kinds `MACHINES`, `RESTARTS` and `RACK`.
    """

    kind: FaultKind
    start: float
    end: float = 0.0
    count: int = 0


@dataclass(slots=True)
class SimulatedMessage:
    """The state of a message in a play. Times are nanoseconds."""

    destination: int
    submitted_at: int
    deadline: int
    attempts: int = 0
    first_possible_execution: int | None = None
    attempts_in_flight: int = 0


@dataclass(slots=True)
class Totals:
    """Counts over a whole simulation run."""

    handed_in: int = 0
    delivered: int = 0
    turned_away: int = 0  # not accepted; a client may safely submit the message again
    returned: int = 0  # accepted, and later rejected, failed or withdrawn
    lost_with_machine: int = 0
    forwarded: int = 0
    calls: int = 0
    refused_calls: int = 0
    handshakes: int = 0
    two_out: int = 0  # attempts that began while another attempt of the message was in flight
    most_share: float = 0.0  # largest sum of the quota fractions that a zone held for a destination at once
    most_pushed: float = 0.0  # peak calls at a recovering destination, as a fraction of the calls it sustains
    # N is the number of calls that a recovering destination sustains in a window.
    over_budget: int = 0  # recovering destinations that received more than N calls in some window
    # Recovering destinations that received more than N + 2 x root of N + 2 calls in some window, which
    # overloads them (standing test).
    fallen: int = 0
    returning: int = 0  # destinations that recovered from an outage
    # Seconds until an instance applied a change, for each instance and change.
    in_force: list[float] = field(default_factory=list)


class HollowDispatcher:
    """The state of one dispatcher in a play."""

    def __init__(self, name: str, zone: str, index: int) -> None:
        self.name = name
        self.zone = zone
        self.index = index
        self.alive = True
        self.incarnation = 0
        self.clock_skew = 0
        self.watch_read_until = 0  # ns; the last scheduled read, as the lines of the watch are read in order
        self.fleet: Fleet | None = None
        self.policy: DeliveryPolicy
        self.held_messages: set[str] = set()
        self.idle_connections: Counter[int] = Counter()
        self.quota_fractions: dict[int, float] = {}
        # The time in ns at which a quota fraction may change without an update, or None.
        self.next_quota_check_at: int | None = 0
        self.lease_was_valid = False

    @property
    def ready(self) -> bool:
        """Whether the dispatcher is alive and, in a partitioned fleet, has a view."""
        return self.alive and (self.fleet is None or bool(self.fleet.view.instances))
