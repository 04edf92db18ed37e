"""A fleet of hollow dispatchers in virtual time: real decisions, views, ownership and quotas, no sockets.

Each hollow dispatcher has a policy, and in a partitioned fleet a `Fleet` that receives the view late and has
a skewed clock. Messages reach any of them; destinations with a limit go down and recover in a slow start;
machines, racks, zones and the link between the regions fail. The same play is run with and without
partitioned destinations.
"""

from __future__ import annotations

import heapq
import itertools
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.hollow_model import (  # noqa: E402
    Fault,
    FaultKind,
    HollowDispatcher,
    PlayedMessage,
    Totals,
)
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
from honeyhitch.time_units import MILLISECOND, SECOND  # noqa: E402
from tests.fleet import HANDSHAKE, NO_REPORT, ROUND_TRIP, Partner, constant_limit  # noqa: E402
from tests.world import settings  # noqa: E402

START = 1_700_000_000 * SECOND
CLASS_INDEX = 1  # of the settings in tests/world.py: keyed
RATE_LIMIT_PER_SECOND = 14.0  # calls that a destination accepts
MESSAGES_PER_SECOND = 9.5  # submitted for a destination
SLOW_START = {"overload_factor": 1.5, "slow_start_fraction": 0.31, "slow_start_duration": 14 * SECOND}
OVERLOAD_WINDOW = 3 * SECOND
HEARTBEAT_INTERVAL = SECOND
FAILURE_DETECTION_TIME = 3 * SECOND  # until control publishes a failure
QUOTA_CHECK_INTERVAL = 250 * MILLISECOND
RESTART_DURATION = 5 * SECOND  # a process is away for so long


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
        progress: Callable[[str], None] | None = None,
    ) -> None:
        """`destinations` take traffic, and `down` of them go down for 30 s and come back cold."""
        self.rng = Random(seed)
        self.partitioned = partitioned
        self.seconds = seconds
        self.now = START
        self.end = START + seconds * SECOND
        self.progress = progress
        self.regions = tuple(
            Region(name, tuple(f"{name}-{number}" for number in range(zones))) for name in ("east", "west")
        )
        names = [zone for region in self.regions for zone in region.zones]
        self.partitions = partitions
        self.faults = faults
        self.totals = Totals()
        instances = len(names) if partitioned else dispatchers
        self.settings = settings(
            instance_count=instances,
            max_concurrent_calls=6,
            resolution=MILLISECOND,
            listed_rate_meaning=ListedRateMeaning.ROUGH,
            **SLOW_START,
        )
        self.message_class = self.settings.classes[CLASS_INDEX]
        self.partners = {
            number: Partner(limit=constant_limit(RATE_LIMIT_PER_SECOND), outage=self._outage(number, down))
            for number in range(destinations)
        }
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.messages: dict[str, PlayedMessage] = {}
        # Computed once for the whole fleet.
        self.zone_candidates = {zone: ZoneCandidates(partitions, 2) for zone in names}
        self.dispatchers = [HollowDispatcher(f"d{i}", names[i % len(names)], i) for i in range(dispatchers)]
        self.by_name = {dispatcher.name: dispatcher for dispatcher in self.dispatchers}
        self.entries_by_name: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.regions_apart = False
        self.control_up = True

    def _outage(self, number: int, down: int | None) -> tuple[int, int]:
        count = max(1, round(0.011 * 190)) if down is None else down
        if number >= count:
            return (0, 0)
        begin = START + (10 + 2 * number) * SECOND
        return (begin, begin + 30 * SECOND)

    # Time.

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        """Do something then."""
        heapq.heappush(self.heap, (when, next(self.sequence), callback))

    def run(self) -> Totals:
        """Play to the end, and on until all that was accepted has ended."""
        self._begin()
        reported = self.now
        while self.heap and self.heap[0][0] <= self.end + self.message_class.deadline:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
            if self.now - reported >= 10 * SECOND:
                reported = self.now
                self._report(f"{(self.now - START) / SECOND:.0f} s of {self.seconds} s played")
        for partner in self.partners.values():
            if partner.outage[1]:
                pushed = partner.peak_load(self.settings, OVERLOAD_WINDOW, RATE_LIMIT_PER_SECOND)
                self.totals.returning += 1
                self.totals.over_budget += pushed > 1
                excess = partner.peak_excess(self.settings, OVERLOAD_WINDOW, RATE_LIMIT_PER_SECOND)
                self.totals.fallen += excess > 0
                self.totals.most_pushed = max(self.totals.most_pushed, pushed)
        return self.totals

    def _report(self, text: str) -> None:
        if self.progress is not None:
            self.progress(text)

    def _begin(self) -> None:
        for dispatcher in self.dispatchers:
            self.entries_by_name[dispatcher.name] = self._entry(dispatcher, "Ready", 0)
        for zone, candidates in self.zone_candidates.items():
            candidates.update(dispatcher.name for dispatcher in self.dispatchers if dispatcher.zone == zone)
        for dispatcher in self.dispatchers:
            self._start(dispatcher)
        for number in self.partners:
            self._schedule_arrivals(number)
        for fault in self.faults:
            self._schedule_fault(fault)
        if self.partitioned:
            self.call_at(START, self._send_heartbeats)
            self.call_at(START + SECOND, self._check_quotas)

    # Events.

    def _schedule_arrivals(self, number: int) -> None:
        def arrive() -> None:
            self._submit(number)
            self._next_arrival(arrive)

        self._next_arrival(arrive)

    def _next_arrival(self, arrive: Callable[[], None]) -> None:
        when = self.now + int(self.rng.expovariate(MESSAGES_PER_SECOND) * SECOND)
        if when < self.end:
            self.call_at(when, arrive)

    def _submit(self, number: int) -> None:
        self.totals.handed_in += 1
        name = f"m{self.totals.handed_in}"
        alive = [dispatcher for dispatcher in self.rng.choices(self.dispatchers, k=20) if dispatcher.ready]
        if not alive:
            self.totals.turned_away += 1
            return
        receiver: HollowDispatcher | None = alive[0]
        if self.partitioned:
            receiver = self._owner(alive[0], number)
        if receiver is None:
            self.totals.turned_away += 1
            return
        message = PlayedMessage(number, self.now, self.now + self.message_class.deadline)
        self.messages[name] = message
        receiver.held_messages.add(name)
        self._handle(receiver, NewMessage(name, CLASS_INDEX, number, message.deadline - self.now))

    def _owner(self, first: HollowDispatcher, number: int) -> HollowDispatcher | None:
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
        return not self.regions_apart or (zone in self.regions[0].zones) == (other in self.regions[0].zones)

    def _clock(self, dispatcher: HollowDispatcher) -> int:
        return self.now + dispatcher.clock_skew

    # Dispatchers.

    def _start(self, dispatcher: HollowDispatcher, saved: dict[str, Any] | None = None) -> None:
        dispatcher.alive = True
        dispatcher.incarnation += 1
        dispatcher.idle_connections = Counter()
        dispatcher.policy = DeliveryPolicy(self.settings, self.rng.randrange(1 << 32))
        dispatcher.quota_fractions = {}
        dispatcher.next_quota_check_at = 0
        dispatcher.lease_was_valid = False
        if self.partitioned:
            regions = self.regions
            given = FleetSettings(
                dispatcher.name, dispatcher.zone, "127.0.0.1:1", regions, partitions=self.partitions
            )
            dispatcher.fleet = Fleet(given)
            # All hollow dispatchers share the ranks, which are the same for all of them.
            dispatcher.fleet._zone_candidates = self.zone_candidates  # noqa: SLF001
            dispatcher.clock_skew = self.rng.randint(-given.clock_skew // 2, given.clock_skew // 2)
            if saved is not None:
                dispatcher.fleet.restore(saved, self._clock(dispatcher))
            self._connect(dispatcher)
        else:
            listings = tuple(
                EndpointListing(f"e{number}", number, listed_rate=RATE_LIMIT_PER_SECOND)
                for number in self.partners
            )
            self._handle(dispatcher, EndpointListUpdate(UpdateMode.CACHED, listings))
        for name in sorted(dispatcher.held_messages):
            message = self.messages[name]
            time_left = message.deadline - self.now
            event = NewMessage(
                name,
                CLASS_INDEX,
                message.destination,
                time_left,
                recovered_from_journal=True,
                attempts=message.attempts,
                first_possible_execution=message.first_possible_execution,
            )
            self._handle(dispatcher, event)

    def _kill(self, dispatcher: HollowDispatcher, with_folder: bool) -> dict[str, Any] | None:
        """It ends; what it saved of the view, where its folder is kept."""
        dispatcher.alive = False
        for name in dispatcher.held_messages:
            self.messages[name].attempts_in_flight = 0
        if not with_folder:
            self.totals.lost_with_machine += len(dispatcher.held_messages)
            dispatcher.held_messages.clear()
        return dispatcher.fleet.snapshot() if dispatcher.fleet is not None and with_folder else None

    def _handle(self, dispatcher: HollowDispatcher, *events: Event) -> None:
        incarnation, sends = dispatcher.incarnation, dict[str, list[str]]()
        for action in dispatcher.policy.handle(self.now, list(events)):
            match action:
                case SetTimer(when):
                    self.call_at(
                        max(when, self.now + MILLISECOND),
                        lambda: self._handle_later(dispatcher, incarnation, TimerFired()),
                    )
                case Send(name, endpoint, _):
                    sends.setdefault(endpoint, []).append(name)
                case Reject(name, _) | Fail(name):
                    dispatcher.held_messages.discard(name)
                    self.totals.returned += 1
                case CloseIdleConnections(endpoint):
                    dispatcher.idle_connections[int(endpoint[1:])] = 0
        for endpoint, names in sends.items():
            self._send(dispatcher, int(endpoint[1:]), names)

    def _handle_later(self, dispatcher: HollowDispatcher, incarnation: int, *events: Event) -> None:
        if dispatcher.alive and dispatcher.incarnation == incarnation:
            self._handle(dispatcher, *events)

    def _send(self, dispatcher: HollowDispatcher, number: int, names: list[str]) -> None:
        """The last check, as the dispatcher makes it, and then one call for each message."""
        for name in names:
            message = self.messages[name]
            attempt = message.attempts
            if (
                dispatcher.fleet is not None
                and dispatcher.fleet.quota_fraction(number, self._clock(dispatcher)) == 0
            ):
                self._not_sent(dispatcher, number, name, attempt)
                continue
            message.attempts += 1
            message.first_possible_execution = message.first_possible_execution or self.now
            message.attempts_in_flight += 1
            self.totals.two_out += message.attempts_in_flight > 1
            self._call(dispatcher, number, name, attempt)

    def _not_sent(self, dispatcher: HollowDispatcher, number: int, name: str, attempt: int) -> None:
        retry_after = RetryAfterReceived(number, f"e{number}", self.now + QUOTA_CHECK_INTERVAL)
        not_sent = AttemptEnded(name, attempt, f"e{number}", Outcome.NOT_SENT, 0, False, not_started=True)
        incarnation = dispatcher.incarnation
        self.call_at(self.now, lambda: self._handle_later(dispatcher, incarnation, retry_after, not_sent))

    def _call(self, dispatcher: HollowDispatcher, number: int, name: str, attempt: int) -> None:
        partner = self.partners[number]
        now = self.now
        new_connection = not dispatcher.idle_connections[number]
        duration = ROUND_TRIP + HANDSHAKE * new_connection
        self.totals.calls += 1
        self.totals.handshakes += new_connection
        if now >= partner.outage[1] > 0:
            partner.calls_after_outage.append((now, dispatcher.index))
        if partner.is_down(now):
            partner.aware_instances.add(dispatcher.index)
            outcome = Outcome.CONNECT_FAILED
            duration = ROUND_TRIP
        else:
            dispatcher.idle_connections[number] -= not new_connection
            outcome = Outcome.DELIVERED if partner.admit(now) else Outcome.REJECTED
            self.totals.refused_calls += outcome is Outcome.REJECTED
        elapsed = int(duration * self.rng.uniform(0.8, 1.2))
        report = NO_REPORT if partner.is_down(now) else partner.reported
        quota_fraction = 1.0
        if dispatcher.fleet is not None:
            quota_fraction = dispatcher.fleet.quota_fraction(number, self._clock(dispatcher)) or 1.0
        incarnation = dispatcher.incarnation

        def ended() -> None:
            self._ended(
                dispatcher,
                incarnation,
                number,
                name,
                attempt,
                outcome,
                elapsed,
                report.limit_remaining,
                report.rate_limit * quota_fraction,
            )

        self.call_at(now + elapsed, ended)

    def _ended(
        self,
        dispatcher: HollowDispatcher,
        incarnation: int,
        number: int,
        name: str,
        attempt: int,
        outcome: Outcome,
        elapsed: int,
        limit_remaining: float,
        rate_limit: float,
    ) -> None:
        if (
            not dispatcher.alive
            or dispatcher.incarnation != incarnation
            or name not in dispatcher.held_messages
        ):
            return
        message = self.messages[name]
        message.attempts_in_flight -= 1
        delivered = outcome is Outcome.DELIVERED
        if outcome.proves_not_executed:
            message.first_possible_execution = None
        if outcome is not Outcome.CONNECT_FAILED:
            dispatcher.idle_connections[number] += 1
        if delivered:
            dispatcher.held_messages.discard(name)
            self.totals.delivered += 1
        event = AttemptEnded(
            name,
            attempt,
            f"e{number}",
            outcome,
            elapsed,
            delivered,
            limit_remaining=limit_remaining,
            rate_limit=rate_limit,
        )
        self._handle(dispatcher, event)

    # The view.

    def _entry(self, dispatcher: HollowDispatcher, phase: str, since: int) -> dict[str, Any]:
        region = next(region.name for region in self.regions if dispatcher.zone in region.zones)
        times = {"up_since_ms": since // MILLISECOND, "joined_ms": 0}
        update = {
            "id": dispatcher.name,
            "host_port": "10.0.0.1:6379",
            "locality": dispatcher.zone,
            "flavor": region,
        }
        return {**update, "phase": phase, **times}

    def _stamped(self, complete: bool, members: list[dict[str, Any]]) -> dict[str, Any]:
        update = {"revision": self.revision, "complete": complete, "members": members}
        return {**update, "issued_ms": self.now // MILLISECOND}

    def _publish(self, changed: list[HollowDispatcher], phase: str) -> None:
        if not self.partitioned or not changed:
            return
        self.revision += 1
        for dispatcher in changed:
            self.entries_by_name[dispatcher.name] = self._entry(dispatcher, phase, self.now)
        update = self._stamped(False, [self.entries_by_name[dispatcher.name] for dispatcher in changed])
        for dispatcher in self.dispatchers:
            self._send_update(dispatcher, update, self.now)

    def _send_update(
        self, dispatcher: HollowDispatcher, update: dict[str, Any], published: int | None = None
    ) -> None:
        """It reads the line a moment later, behind those before it."""
        if (
            not self.control_up
            or not self._reachable(self.regions[0].zones[0], dispatcher.zone)
            or not dispatcher.alive
        ):
            return
        read_at = self.now + int(self.rng.uniform(0.005, 0.2) * SECOND)
        dispatcher.watch_read_until = max(dispatcher.watch_read_until, read_at)
        incarnation = dispatcher.incarnation

        def read() -> None:
            if dispatcher.alive and dispatcher.incarnation == incarnation and dispatcher.fleet is not None:
                before = dispatcher.fleet.view
                dispatcher.fleet.apply_update(update, self._clock(dispatcher))
                lasts = dispatcher.fleet.lease_valid(self._clock(dispatcher))
                if before is not dispatcher.fleet.view or lasts is not dispatcher.lease_was_valid:
                    self._refresh(dispatcher)
                if published is not None:
                    self.totals.in_force.append((self.now - published) / SECOND)

        self.call_at(dispatcher.watch_read_until, read)

    def _connect(self, dispatcher: HollowDispatcher) -> None:
        self._send_update(dispatcher, self._stamped(True, list(self.entries_by_name.values())))

    def _send_heartbeats(self) -> None:
        update = self._stamped(False, [])
        for dispatcher in self.dispatchers:
            self._send_update(dispatcher, update)
        if self.now < self.end + self.message_class.deadline:
            self.call_at(self.now + HEARTBEAT_INTERVAL, self._send_heartbeats)

    def _refresh(self, dispatcher: HollowDispatcher) -> None:
        """Update the quotas, and return the messages of lost destinations, as the service does."""
        assert dispatcher.fleet is not None
        now = self._clock(dispatcher)
        listings: list[EndpointListing] = []
        lost: set[int] = set()
        dispatcher.next_quota_check_at = dispatcher.fleet.next_quota_change(now)
        dispatcher.lease_was_valid = dispatcher.fleet.lease_valid(now)
        for number in self.partners:
            if not dispatcher.fleet.is_candidate(number):
                continue
            quota_fraction = dispatcher.fleet.quota_fraction(number, now)
            if quota_fraction != dispatcher.quota_fractions.get(number, 0.0):
                dispatcher.quota_fractions[number] = quota_fraction
                listed_rate = RATE_LIMIT_PER_SECOND * quota_fraction
                listings.append(EndpointListing(f"e{number}", number, listed_rate=listed_rate))
            if not quota_fraction and not dispatcher.fleet.awaits_lease(number, now):
                lost.add(number)
        if listings:
            self._handle(dispatcher, EndpointListUpdate(UpdateMode.CHANGES, tuple(listings)))
        for name in [name for name in dispatcher.held_messages if self.messages[name].destination in lost]:
            message = self.messages[name]
            if not message.attempts_in_flight and message.first_possible_execution is None:
                dispatcher.held_messages.discard(name)
                self.totals.returned += 1
                self._handle(dispatcher, MessageWithdrawn(name))

    def _check_quotas(self) -> None:
        totals = dict[tuple[str, int], float]()
        for dispatcher in self.dispatchers:
            if dispatcher.alive and dispatcher.fleet is not None:
                if (
                    dispatcher.next_quota_check_at is not None
                    and self._clock(dispatcher) >= dispatcher.next_quota_check_at
                ):
                    self._refresh(dispatcher)
                for number, quota_fraction in dispatcher.quota_fractions.items():
                    exact = (
                        dispatcher.fleet.quota_fraction(number, self._clock(dispatcher))
                        if quota_fraction
                        else 0.0
                    )
                    totals[dispatcher.zone, number] = totals.get((dispatcher.zone, number), 0.0) + exact
        self.totals.most_share = max(self.totals.most_share, max(totals.values(), default=0.0))
        if self.now < self.end + self.message_class.deadline:
            self.call_at(self.now + QUOTA_CHECK_INTERVAL, self._check_quotas)

    # Failures.

    def _schedule_fault(self, fault: Fault) -> None:
        begin, end = START + int(fault.at * SECOND), START + int(fault.until * SECOND)
        first = self.regions[0].zones[0]
        match fault.kind:
            case FaultKind.MACHINES:
                chosen = self.rng.sample(self.dispatchers, fault.count)
                self.call_at(begin, lambda: self._fail(chosen, None))
            case FaultKind.RESTARTS:
                chosen = self.rng.sample(self.dispatchers, fault.count)
                for i, dispatcher in enumerate(chosen):
                    when = begin + (end - begin) * i // max(1, len(chosen))
                    self.call_at(when, lambda dispatcher=dispatcher: self._restart(dispatcher))  # type: ignore[misc]
            case FaultKind.RACK:
                rack = [dispatcher for dispatcher in self.dispatchers if dispatcher.zone == first][
                    : fault.count
                ]
                self.call_at(begin, lambda: self._fail(rack, end))
            case FaultKind.ZONE:
                zone = [dispatcher for dispatcher in self.dispatchers if dispatcher.zone == first]
                self.call_at(begin, lambda: self._fail(zone, end))
            case FaultKind.REGIONS_APART:
                self.call_at(begin, lambda: self._set_regions_apart(True))
                self.call_at(end, lambda: self._set_regions_apart(False))
            case FaultKind.CONTROL:
                self.call_at(begin, lambda: self._set_control(False))
                self.call_at(end, lambda: self._set_control(True))

    def _fail(self, chosen: list[HollowDispatcher], back: int | None) -> None:
        """Machines fall silent; the control machines notice a while later."""
        chosen = [dispatcher for dispatcher in chosen if dispatcher.alive]
        saved = {dispatcher.name: self._kill(dispatcher, back is not None) for dispatcher in chosen}
        self.call_at(self.now + FAILURE_DETECTION_TIME, lambda: self._publish(chosen, "Terminating"))
        if back is not None:
            self.call_at(back, lambda: self._return(chosen, saved))

    def _return(self, chosen: list[HollowDispatcher], saved: dict[str, dict[str, Any] | None]) -> None:
        self._publish(chosen, "Ready")
        for dispatcher in chosen:
            self._start(dispatcher, saved[dispatcher.name])

    def _restart(self, dispatcher: HollowDispatcher) -> None:
        if not dispatcher.alive:
            return
        self._publish([dispatcher], "Terminating")
        saved = {dispatcher.name: self._kill(dispatcher, True)}
        self.call_at(self.now + RESTART_DURATION, lambda: self._return([dispatcher], saved))

    def _set_regions_apart(self, apart: bool) -> None:
        self.regions_apart = apart
        if not apart and self.partitioned:
            for dispatcher in self.dispatchers:
                if dispatcher.alive:
                    self._connect(dispatcher)

    def _set_control(self, up: bool) -> None:
        self.control_up = up
        if up and self.partitioned:
            for dispatcher in self.dispatchers:
                if dispatcher.alive:
                    self._connect(dispatcher)
