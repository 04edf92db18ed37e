"""A fleet of hollow dispatchers in virtual time: the real decisions, views, ownership and shares, no sockets.

Each hollow dispatcher has a Brain, and in a partitioned fleet a `Fleet` that hears of the view late and by a
clock of its own. Events reach any of them; destinations with a limit go down and come back cold; machines,
racks, zones and the link between the regions fail. The same play is run with and without partitioned
destinations.
"""

from __future__ import annotations

import heapq
import itertools
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from honeyhitch.partitioning.fleet import Fleet  # noqa: E402
from honeyhitch.partitioning.ownership import ZoneCandidates  # noqa: E402
from honeyhitch.partitioning.settings import FleetSettings, Region  # noqa: E402
from honeyhitch.policy.actions import CloseIdleConnections, Fail, Reject, Send, SetTimer  # noqa: E402
from honeyhitch.policy.engine import DeliveryPolicy  # noqa: E402
from honeyhitch.policy.events import (  # noqa: E402
    AttemptEnded,
    EndpointListing,
    EndpointListUpdate,
    Event,
    MessageWithdrawn,
    NewMessage,
    Outcome,
    RetryAfterReceived,
    TimerFired,
    UpdateMode,
)
from honeyhitch.policy.settings import ListedRateMeaning  # noqa: E402
from tests.fleet import HANDSHAKE, ROUND_TRIP, Partner  # noqa: E402
from tests.world import MS, SECOND, settings  # noqa: E402

START = 1_700_000_000 * SECOND
CLASS = 1  # of the settings in tests/world.py: keyed
LIMIT, RATE = 14.0, 9.5  # calls a second that a destination takes, events a second for it
COLD = {"overload_factor": 1.5, "slow_start_fraction": 0.31, "slow_start_duration": 14 * SECOND}
FALL_SPAN = 3 * SECOND
BEAT, NOTICED, LOOK = SECOND, 3 * SECOND, 250 * MS  # heartbeats, how soon a failure is published, looks
RESTART = 5 * SECOND  # a process is away for so long


class FaultKind(Enum):
    """What fails in a play."""

    MACHINES = "machines"  # for good, with what they held
    RESTARTS = "restarts"  # planned, one after the other, the folder kept
    RACK = "rack"  # a part of one zone, back later with the folders kept
    ZONE = "zone"
    REGIONS_APART = "regions apart"  # control is in the first region
    CONTROL = "control"  # all control machines are gone


@dataclass(frozen=True, slots=True)
class Fault:
    """A failure, in seconds from the play's begin; `count` dispatchers where that matters."""

    kind: FaultKind
    at: float
    until: float = 0.0
    count: int = 0


@dataclass(slots=True)
class Message:
    """What the play knows of a message."""

    destination: int
    came: int
    deadline: int
    attempts: int = 0
    ran_at: int | None = None
    out: int = 0


@dataclass(slots=True)
class Totals:
    """What became of all events."""

    handed_in: int = 0
    delivered: int = 0
    turned_away: int = 0  # not accepted by anyone: harmless to hand in again
    returned: int = 0  # accepted, and rejected or failed later
    lost_with_machine: int = 0
    forwarded: int = 0
    calls: int = 0
    refused_calls: int = 0
    handshakes: int = 0
    two_out: int = 0  # messages that had two attempts out
    most_share: float = 0.0  # of any zone's share of any destination, held at one instant
    most_pushed: float = 0.0  # calls at a returning destination, as a share of what it bears
    over_budget: int = 0  # returning destinations that were sent more than N in some window
    fallen: int = 0  # and more than N + 2 x root of N + 2, by which they fall (standing test)
    returning: int = 0
    in_force: list[float] = field(default_factory=list)  # seconds until a change is known, each instance


class Hollow:
    """One dispatcher without sockets."""

    def __init__(self, name: str, zone: str, number: int) -> None:
        self.name, self.zone, self.number = name, zone, number
        self.alive = True
        self.incarnation = 0
        self.clock_off = 0
        self.reads_until = 0  # lines of its watch arrive in their order
        self.fleet: Fleet | None = None
        self.brain: DeliveryPolicy
        self.held: set[str] = set()
        self.idle: Counter[int] = Counter()
        self.portions: dict[int, float] = {}
        self.look_at: int | None = 0  # as the service has it: when a portion may change
        self.lease_lasted = False

    @property
    def ready(self) -> bool:
        """Whether it answers, and in a partitioned fleet has a view."""
        return self.alive and (self.fleet is None or bool(self.fleet.view.instances))


class HollowPlay:
    """One play; `run` gives its totals."""

    def __init__(
        self,
        dispatchers: int,
        destinations: int,
        partitioned: bool,
        seed: int,
        seconds: int = 90,
        zones: int = 5,
        down: int | None = None,
        faults: tuple[Fault, ...] = (),
        partitions: int = 4096,
        progress: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`destinations` take traffic, and `down` of them go down for 30 s and come back cold."""
        self.rng, self.partitioned, self.seconds = Random(seed), partitioned, seconds
        self.now, self.end, self.progress = START, START + seconds * SECOND, progress
        self.regions = tuple(
            Region(name, tuple(f"{name}-{number}" for number in range(zones))) for name in ("east", "west")
        )
        names = [zone for region in self.regions for zone in region.zones]
        self.partitions, self.faults, self.totals = partitions, faults, Totals()
        instances = len(names) if partitioned else dispatchers
        self.s = settings(
            instance_count=instances,
            max_concurrent_calls=6,
            resolution=MS,
            listed_rate_meaning=ListedRateMeaning.ROUGH,
            **COLD,
        )
        self.cls = self.s.classes[CLASS]
        self.partners = {
            number: Partner(limit=lambda now: LIMIT, down=self._outage(number, down))
            for number in range(destinations)
        }
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.messages: dict[str, Message] = {}
        self.shared = {zone: ZoneCandidates(partitions, 2) for zone in names}  # the same at all of a fleet
        self.hollows = [Hollow(f"d{i}", names[i % len(names)], i) for i in range(dispatchers)]
        self.by_name = {one.name: one for one in self.hollows}
        self.entries: dict[str, dict[str, Any]] = {}
        self.revision, self.apart, self.control_up = 1, False, True

    def _outage(self, number: int, down: int | None) -> tuple[int, int]:
        count = max(1, round(0.011 * 190)) if down is None else down
        if number >= count:
            return (0, 0)
        begin = START + (10 + 2 * number) * SECOND
        return (begin, begin + 30 * SECOND)

    # Time.

    def call_at(self, when: int, what: Callable[[], None]) -> None:
        """Do something then."""
        heapq.heappush(self.heap, (when, next(self.sequence), what))

    def run(self) -> Totals:
        """Play to the end, and on until all that was accepted has ended."""
        self._begin()
        reported = self.now
        while self.heap and self.heap[0][0] <= self.end + self.cls.deadline:
            self.now, _, what = heapq.heappop(self.heap)
            what()
            if self.now - reported >= 10 * SECOND:
                reported = self.now
                self.progress(f"{(self.now - START) / SECOND:.0f} s of {self.seconds} s played")
        for partner in self.partners.values():
            if partner.down[1]:
                pushed = partner.pushed(self.s, FALL_SPAN, LIMIT)
                self.totals.returning += 1
                self.totals.over_budget += pushed > 1
                self.totals.fallen += partner.above_chance(self.s, FALL_SPAN, LIMIT) > 0
                self.totals.most_pushed = max(self.totals.most_pushed, pushed)
        return self.totals

    def _begin(self) -> None:
        for one in self.hollows:
            self.entries[one.name] = self._entry(one, "Ready", 0)
        for zone, candidates in self.shared.items():
            candidates.update(one.name for one in self.hollows if one.zone == zone)
        for one in self.hollows:
            self._start(one)
        for number in self.partners:
            self._arrivals(number)
        for fault in self.faults:
            self._plan(fault)
        if self.partitioned:
            self.call_at(START, self._beat)
            self.call_at(START + SECOND, self._look)

    # Events.

    def _arrivals(self, number: int) -> None:
        def arrive() -> None:
            self._hand_in(number)
            self._next_arrival(number, arrive)

        self._next_arrival(number, arrive)

    def _next_arrival(self, number: int, arrive: Callable[[], None]) -> None:
        when = self.now + int(self.rng.expovariate(RATE) * SECOND)
        if when < self.end:
            self.call_at(when, arrive)

    def _hand_in(self, number: int) -> None:
        self.totals.handed_in += 1
        name = f"m{self.totals.handed_in}"
        alive = [one for one in self.rng.choices(self.hollows, k=20) if one.ready]
        if not alive:
            self.totals.turned_away += 1
            return
        taker: Hollow | None = alive[0]
        if self.partitioned:
            taker = self._owner(alive[0], number)
        if taker is None:
            self.totals.turned_away += 1
            return
        message = self.messages[name] = Message(number, self.now, self.now + self.cls.deadline)
        taker.held.add(name)
        self._feed(taker, NewMessage(name, CLASS, number, message.deadline - self.now))

    def _owner(self, first: Hollow, number: int) -> Hollow | None:
        assert first.fleet is not None
        if first.fleet.quota_fraction(number, self._clock(first)) > 0:
            return first
        for owner in first.fleet.owners(number, self._clock(first)):
            other = self.by_name[owner.name]
            if not other.ready or not self._reachable(first.zone, other.zone):
                continue
            self.totals.forwarded += 1  # it answers, be it that it is not its own either
            assert other.fleet is not None
            return other if other.fleet.quota_fraction(number, self._clock(other)) > 0 else None
        return None

    def _reachable(self, zone: str, other: str) -> bool:
        return not self.apart or (zone in self.regions[0].zones) == (other in self.regions[0].zones)

    def _clock(self, one: Hollow) -> int:
        return self.now + one.clock_off

    # Dispatchers.

    def _start(self, one: Hollow, saved: dict[str, Any] | None = None) -> None:
        one.alive, one.incarnation, one.idle = True, one.incarnation + 1, Counter()
        one.brain = DeliveryPolicy(self.s, self.rng.randrange(1 << 32))
        one.portions, one.look_at, one.lease_lasted = {}, 0, False
        if self.partitioned:
            regions = self.regions
            given = FleetSettings(one.name, one.zone, "127.0.0.1:1", regions, partitions=self.partitions)
            one.fleet = Fleet(given)
            one.fleet._zone_candidates = self.shared  # as each would compute them for itself
            one.clock_off = self.rng.randint(-given.clock_skew // 2, given.clock_skew // 2)
            if saved is not None:
                one.fleet.restore(saved, self._clock(one))
            self._connect(one)
        else:
            entries = tuple(EndpointListing(f"e{n}", n, listed_rate=LIMIT) for n in self.partners)
            self._feed(one, EndpointListUpdate(UpdateMode.CACHED, entries))
        for name in sorted(one.held):
            message = self.messages[name]
            left, ran_at = message.deadline - self.now, message.ran_at
            event = NewMessage(
                name,
                CLASS,
                message.destination,
                left,
                recovered_from_journal=True,
                attempts=message.attempts,
                first_possible_execution=ran_at,
            )
            self._feed(one, event)

    def _kill(self, one: Hollow, with_folder: bool) -> dict[str, Any] | None:
        """It ends; what it saved of the view, where its folder is kept."""
        one.alive = False
        for name in one.held:
            self.messages[name].out = 0
        if not with_folder:
            self.totals.lost_with_machine += len(one.held)
            one.held.clear()
        return one.fleet.snapshot() if one.fleet is not None and with_folder else None

    def _feed(self, one: Hollow, *events: Event) -> None:
        incarnation, sends = one.incarnation, dict[str, list[str]]()
        for action in one.brain.handle(self.now, list(events)):
            match action:
                case SetTimer(when):
                    self.call_at(
                        max(when, self.now + MS), lambda: self._later(one, incarnation, TimerFired())
                    )
                case Send(name, endpoint, _):
                    sends.setdefault(endpoint, []).append(name)
                case Reject(name, _) | Fail(name):
                    one.held.discard(name)
                    self.totals.returned += 1
                case CloseIdleConnections(endpoint):
                    one.idle[int(endpoint[1:])] = 0
        for endpoint, names in sends.items():
            self._send(one, int(endpoint[1:]), names)

    def _later(self, one: Hollow, incarnation: int, *events: Event) -> None:
        if one.alive and one.incarnation == incarnation:
            self._feed(one, *events)

    def _send(self, one: Hollow, number: int, names: list[str]) -> None:
        """The last look as the core has it, and then one call for each message."""
        for name in names:
            message = self.messages[name]
            attempt = message.attempts
            if one.fleet is not None and one.fleet.quota_fraction(number, self._clock(one)) == 0:
                self._not_sent(one, number, name, attempt)
                continue
            message.attempts += 1
            message.ran_at = message.ran_at or self.now
            message.out += 1
            self.totals.two_out += message.out > 1
            self._call(one, number, name, attempt)

    def _not_sent(self, one: Hollow, number: int, name: str, attempt: int) -> None:
        told = RetryAfterReceived(number, f"e{number}", self.now + LOOK)
        unused = AttemptEnded(name, attempt, f"e{number}", Outcome.NOT_SENT, 0, False, not_started=True)
        incarnation = one.incarnation
        self.call_at(self.now, lambda: self._later(one, incarnation, told, unused))

    def _call(self, one: Hollow, number: int, name: str, attempt: int) -> None:
        partner, now = self.partners[number], self.now
        fresh = not one.idle[number]
        took = ROUND_TRIP + HANDSHAKE * fresh
        self.totals.calls += 1
        self.totals.handshakes += fresh
        if now >= partner.down[1] > 0:
            partner.reached.append((now, one.number))
        if partner.is_down(now):
            partner.knew.add(one.number)
            outcome, took = Outcome.CONNECT_FAILED, ROUND_TRIP
        else:
            one.idle[number] -= not fresh
            outcome = Outcome.DELIVERED if partner.take(now) else Outcome.REJECTED
            self.totals.refused_calls += outcome is Outcome.REJECTED
        took = int(took * self.rng.uniform(0.8, 1.2))
        allowance, limit = (1.0, 0.0) if partner.is_down(now) else partner.told
        part = one.fleet.quota_fraction(number, self._clock(one)) or 1.0 if one.fleet is not None else 1.0
        incarnation = one.incarnation

        def ended() -> None:
            self._ended(one, incarnation, number, name, attempt, outcome, took, allowance, limit * part)

        self.call_at(now + took, ended)

    def _ended(
        self,
        one: Hollow,
        incarnation: int,
        number: int,
        name: str,
        attempt: int,
        outcome: Outcome,
        took: int,
        allowance: float,
        limit: float,
    ) -> None:
        if not one.alive or one.incarnation != incarnation or name not in one.held:
            return
        message = self.messages[name]
        message.out -= 1
        delivered = outcome is Outcome.DELIVERED
        if outcome.proves_not_executed:
            message.ran_at = None
        if outcome is not Outcome.CONNECT_FAILED:
            one.idle[number] += 1
        if delivered:
            one.held.discard(name)
            self.totals.delivered += 1
        event = AttemptEnded(
            name, attempt, f"e{number}", outcome, took, delivered, limit_remaining=allowance, rate_limit=limit
        )
        self._feed(one, event)

    # The view.

    def _entry(self, one: Hollow, phase: str, since: int) -> dict[str, Any]:
        region = next(region.name for region in self.regions if one.zone in region.zones)
        times = {"up_since_ms": since // MS, "joined_ms": 0}
        told = {"id": one.name, "host_port": "10.0.0.1:6379", "locality": one.zone, "flavor": region}
        return {**told, "phase": phase, **times}

    def _stamped(self, complete: bool, members: list[dict[str, Any]]) -> dict[str, Any]:
        told = {"revision": self.revision, "complete": complete, "members": members}
        return {**told, "issued_ms": self.now // MS}

    def _publish(self, changed: list[Hollow], phase: str) -> None:
        if not self.partitioned or not changed:
            return
        self.revision += 1
        for one in changed:
            self.entries[one.name] = self._entry(one, phase, self.now)
        told = self._stamped(False, [self.entries[one.name] for one in changed])
        for one in self.hollows:
            self._tell(one, told, self.now)

    def _tell(self, one: Hollow, told: dict[str, Any], published: int | None = None) -> None:
        """It reads the line a moment later, behind those before it."""
        if not self.control_up or not self._reachable(self.regions[0].zones[0], one.zone) or not one.alive:
            return
        one.reads_until = max(one.reads_until, self.now + int(self.rng.uniform(0.005, 0.2) * SECOND))
        incarnation = one.incarnation

        def read() -> None:
            if one.alive and one.incarnation == incarnation and one.fleet is not None:
                before = one.fleet.view
                one.fleet.apply_update(told, self._clock(one))
                lasts = one.fleet.lease_valid(self._clock(one))
                if before is not one.fleet.view or lasts is not one.lease_lasted:
                    self._refresh(one)
                if published is not None:
                    self.totals.in_force.append((self.now - published) / SECOND)

        self.call_at(one.reads_until, read)

    def _connect(self, one: Hollow) -> None:
        self._tell(one, self._stamped(True, list(self.entries.values())))

    def _beat(self) -> None:
        told = self._stamped(False, [])
        for one in self.hollows:
            self._tell(one, told)
        if self.now < self.end + self.cls.deadline:
            self.call_at(self.now + BEAT, self._beat)

    def _refresh(self, one: Hollow) -> None:
        """As the service does: the module is told of parts that changed, and what is lost is handed back."""
        assert one.fleet is not None
        now, entries, lost = self._clock(one), list[EndpointListing](), set[int]()
        one.look_at, one.lease_lasted = one.fleet.next_quota_change(now), one.fleet.lease_valid(now)
        for number in self.partners:
            if not one.fleet.is_candidate(number):
                continue
            portion = one.fleet.quota_fraction(number, now)
            if portion != one.portions.get(number, 0.0):
                one.portions[number] = portion
                entries.append(EndpointListing(f"e{number}", number, listed_rate=LIMIT * portion))
            if not portion and not one.fleet.awaits_lease(number, now):
                lost.add(number)
        if entries:
            self._feed(one, EndpointListUpdate(UpdateMode.CHANGES, tuple(entries)))
        for name in [name for name in one.held if self.messages[name].destination in lost]:
            if not self.messages[name].out and self.messages[name].ran_at is None:
                one.held.discard(name)
                self.totals.returned += 1
                self._feed(one, MessageWithdrawn(name))

    def _look(self) -> None:
        totals = dict[tuple[str, int], float]()
        for one in self.hollows:
            if one.alive and one.fleet is not None:
                if one.look_at is not None and self._clock(one) >= one.look_at:
                    self._refresh(one)
                for number, portion in one.portions.items():
                    exact = one.fleet.quota_fraction(number, self._clock(one)) if portion else 0.0
                    totals[one.zone, number] = totals.get((one.zone, number), 0.0) + exact
        self.totals.most_share = max(self.totals.most_share, max(totals.values(), default=0.0))
        if self.now < self.end + self.cls.deadline:
            self.call_at(self.now + LOOK, self._look)

    # Failures.

    def _plan(self, fault: Fault) -> None:
        begin, end = START + int(fault.at * SECOND), START + int(fault.until * SECOND)
        first = self.regions[0].zones[0]
        match fault.kind:
            case FaultKind.MACHINES:
                chosen = self.rng.sample(self.hollows, fault.count)
                self.call_at(begin, lambda: self._fail(chosen, None))
            case FaultKind.RESTARTS:
                chosen = self.rng.sample(self.hollows, fault.count)
                for i, one in enumerate(chosen):
                    when = begin + (end - begin) * i // max(1, len(chosen))
                    self.call_at(when, lambda one=one: self._restart(one))  # type: ignore[misc]
            case FaultKind.RACK:
                rack = [one for one in self.hollows if one.zone == first][: fault.count]
                self.call_at(begin, lambda: self._fail(rack, end))
            case FaultKind.ZONE:
                zone = [one for one in self.hollows if one.zone == first]
                self.call_at(begin, lambda: self._fail(zone, end))
            case FaultKind.REGIONS_APART:
                self.call_at(begin, lambda: self._part(True))
                self.call_at(end, lambda: self._part(False))
            case FaultKind.CONTROL:
                self.call_at(begin, lambda: self._set_control(False))
                self.call_at(end, lambda: self._set_control(True))

    def _fail(self, chosen: list[Hollow], back: int | None) -> None:
        """Machines fall silent; the control machines notice a while later."""
        chosen = [one for one in chosen if one.alive]
        saved = {one.name: self._kill(one, back is not None) for one in chosen}
        self.call_at(self.now + NOTICED, lambda: self._publish(chosen, "Terminating"))
        if back is not None:
            self.call_at(back, lambda: self._return(chosen, saved))

    def _return(self, chosen: list[Hollow], saved: dict[str, dict[str, Any] | None]) -> None:
        self._publish(chosen, "Ready")
        for one in chosen:
            self._start(one, saved[one.name])

    def _restart(self, one: Hollow) -> None:
        if not one.alive:
            return
        self._publish([one], "Terminating")
        saved = {one.name: self._kill(one, True)}
        self.call_at(self.now + RESTART, lambda: self._return([one], saved))

    def _part(self, apart: bool) -> None:
        self.apart = apart
        if not apart and self.partitioned:
            for one in self.hollows:
                if one.alive:
                    self._connect(one)

    def _set_control(self, up: bool) -> None:
        self.control_up = up
        if up and self.partitioned:
            for one in self.hollows:
                if one.alive:
                    self._connect(one)
