"""A fleet of hollow dispatchers in virtual time: real decisions, views, ownership and quotas, no sockets.

Each hollow dispatcher has a policy and, in a partitioned fleet, a `Fleet` that receives the view late and has
a skewed clock. A message reaches any of the dispatchers. Destinations with a rate limit go down and recover
in a slow start; machines, racks, zones and the link between the regions fail. The same play, a simulation
run, is repeated with and without partitioned destinations.
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
    SimulatedMessage,
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
from tests.fleet import HANDSHAKE, NO_REPORT, ROUND_TRIP, SimulatedDestination, constant_limit  # noqa: E402
from tests.world import settings  # noqa: E402

START = 1_700_000_000 * SECOND
CLASS_INDEX = 1  # the keyed class of the settings in tests/world.py
RATE_LIMIT_PER_SECOND = 14.0  # calls that a destination accepts
MESSAGES_PER_SECOND = 9.5  # submitted for a destination
SLOW_START = {"overload_factor": 1.5, "slow_start_fraction": 0.31, "slow_start_duration": 14 * SECOND}
OVERLOAD_WINDOW = 3 * SECOND
HEARTBEAT_INTERVAL = SECOND
FAILURE_DETECTION_TIME = 3 * SECOND  # from a failure until control publishes it
QUOTA_CHECK_INTERVAL = 250 * MILLISECOND
RESTART_DURATION = 5 * SECOND  # from the end of a process to the start of the next


class HollowPlay:
    """One simulation run of a fleet and its destinations; `run` returns its totals."""

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
        """Prepare a play in which `destinations` receive messages and `down` of them have an outage of 30 s.

        A destination recovers from the outage in a slow start. `seconds` is the virtual time in which
        messages are submitted, and `zones` the number of zones in each of the two regions.
        """
        self.rng = Random(seed)
        self.partitioned = partitioned
        self.seconds = seconds
        self.now = START
        self.end = START + seconds * SECOND
        self.progress = progress
        self.regions = tuple(
            Region(name, tuple(f"{name}-{number}" for number in range(zones))) for name in ("east", "west")
        )
        zone_names = [zone for region in self.regions for zone in region.zones]
        self.partitions = partitions
        self.faults = faults
        self.totals = Totals()
        instances = len(zone_names) if partitioned else dispatchers
        self.settings = settings(
            instance_count=instances,
            max_concurrent_calls=6,
            resolution=MILLISECOND,
            listed_rate_meaning=ListedRateMeaning.ROUGH,
            **SLOW_START,
        )
        self.message_class = self.settings.classes[CLASS_INDEX]
        self.partners = {
            number: SimulatedDestination(
                limit=constant_limit(RATE_LIMIT_PER_SECOND), outage=self._outage(number, down)
            )
            for number in range(destinations)
        }
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.messages: dict[str, SimulatedMessage] = {}
        # The candidates of each zone are computed once and shared by all dispatchers.
        self.zone_candidates = {zone: ZoneCandidates(partitions, 2) for zone in zone_names}
        self.dispatchers = [
            HollowDispatcher(f"d{i}", zone_names[i % len(zone_names)], i) for i in range(dispatchers)
        ]
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

    # Virtual time.

    def call_at(self, due_at: int, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time."""
        heapq.heappush(self.heap, (due_at, next(self.sequence), callback))

    def run(self) -> Totals:
        """Run the play, and continue until every accepted message has ended. Return the totals."""
        self._begin()
        progress_reported_at = self.now
        while self.heap and self.heap[0][0] <= self.end + self.message_class.deadline:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
            if self.now - progress_reported_at >= 10 * SECOND:
                progress_reported_at = self.now
                self._report_progress(f"{(self.now - START) / SECOND:.0f} s of {self.seconds} s played")
        for partner in self.partners.values():
            if partner.outage[1]:
                peak_load = partner.peak_load(self.settings, OVERLOAD_WINDOW, RATE_LIMIT_PER_SECOND)
                self.totals.returning += 1
                self.totals.over_budget += peak_load > 1
                peak_excess = partner.peak_excess(self.settings, OVERLOAD_WINDOW, RATE_LIMIT_PER_SECOND)
                self.totals.fallen += peak_excess > 0
                self.totals.most_pushed = max(self.totals.most_pushed, peak_load)
        return self.totals

    def _report_progress(self, text: str) -> None:
        if self.progress is not None:
            self.progress(text)

    def _begin(self) -> None:
        for dispatcher in self.dispatchers:
            self.entries_by_name[dispatcher.name] = self._view_entry(dispatcher, "Ready", 0)
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

    # Messages.

    def _schedule_arrivals(self, number: int) -> None:
        def arrive() -> None:
            self._submit(number)
            self._next_arrival(arrive)

        self._next_arrival(arrive)

    def _next_arrival(self, arrive: Callable[[], None]) -> None:
        arrival_at = self.now + int(self.rng.expovariate(MESSAGES_PER_SECOND) * SECOND)
        if arrival_at < self.end:
            self.call_at(arrival_at, arrive)

    def _submit(self, number: int) -> None:
        self.totals.handed_in += 1
        name = f"m{self.totals.handed_in}"
        alive = [dispatcher for dispatcher in self.rng.choices(self.dispatchers, k=20) if dispatcher.ready]
        if not alive:
            self.totals.turned_away += 1
            return
        receiver: HollowDispatcher | None = alive[0]
        if self.partitioned:
            receiver = self._find_owner(alive[0], number)
        if receiver is None:
            self.totals.turned_away += 1
            return
        message = SimulatedMessage(number, self.now, self.now + self.message_class.deadline)
        self.messages[name] = message
        receiver.held_messages.add(name)
        self._handle(receiver, NewMessage(name, CLASS_INDEX, number, message.deadline - self.now))

    def _find_owner(self, first: HollowDispatcher, number: int) -> HollowDispatcher | None:
        assert first.fleet is not None
        if first.fleet.quota_fraction(number, self._clock(first)) > 0:
            return first
        for owner in first.fleet.owners(number, self._clock(first)):
            peer = self.by_name[owner.name]
            if not peer.ready or not self._reachable(first.zone, peer.zone):
                continue
            # The message counts as forwarded even if the other instance is no owner either.
            self.totals.forwarded += 1
            assert peer.fleet is not None
            return peer if peer.fleet.quota_fraction(number, self._clock(peer)) > 0 else None
        return None

    def _reachable(self, zone: str, other_zone: str) -> bool:
        return not self.regions_apart or (zone in self.regions[0].zones) == (
            other_zone in self.regions[0].zones
        )

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
            fleet_settings = FleetSettings(
                dispatcher.name, dispatcher.zone, "127.0.0.1:1", regions, partitions=self.partitions
            )
            dispatcher.fleet = Fleet(fleet_settings)
            # The candidates of a zone are the same for all dispatchers, so they share one table.
            dispatcher.fleet._zone_candidates = self.zone_candidates  # noqa: SLF001
            dispatcher.clock_skew = self.rng.randint(
                -fleet_settings.clock_skew // 2, fleet_settings.clock_skew // 2
            )
            if saved is not None:
                dispatcher.fleet.restore(saved, self._clock(dispatcher))
            self._send_view(dispatcher)
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

    def _kill(self, dispatcher: HollowDispatcher, keeps_state: bool) -> dict[str, Any] | None:
        """End a dispatcher; its messages are lost unless it keeps its state directory.

        Return the view that it saved there, or None.
        """
        dispatcher.alive = False
        for name in dispatcher.held_messages:
            self.messages[name].attempts_in_flight = 0
        if not keeps_state:
            self.totals.lost_with_machine += len(dispatcher.held_messages)
            dispatcher.held_messages.clear()
        return dispatcher.fleet.snapshot() if dispatcher.fleet is not None and keeps_state else None

    def _handle(self, dispatcher: HollowDispatcher, *events: Event) -> None:
        incarnation, sends = dispatcher.incarnation, dict[str, list[str]]()
        for action in dispatcher.policy.handle(self.now, list(events)):
            match action:
                case SetTimer(due_at):
                    self.call_at(
                        max(due_at, self.now + MILLISECOND),
                        lambda: self._handle_if_running(dispatcher, incarnation, TimerFired()),
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

    def _handle_if_running(self, dispatcher: HollowDispatcher, incarnation: int, *events: Event) -> None:
        if dispatcher.alive and dispatcher.incarnation == incarnation:
            self._handle(dispatcher, *events)

    def _send(self, dispatcher: HollowDispatcher, number: int, names: list[str]) -> None:
        """Check the quota a last time, as the dispatcher does, and then start one call for each message."""
        for name in names:
            message = self.messages[name]
            attempt = message.attempts
            if (
                dispatcher.fleet is not None
                and dispatcher.fleet.quota_fraction(number, self._clock(dispatcher)) == 0
            ):
                self._report_not_sent(dispatcher, number, name, attempt)
                continue
            message.attempts += 1
            message.first_possible_execution = message.first_possible_execution or self.now
            message.attempts_in_flight += 1
            self.totals.two_out += message.attempts_in_flight > 1
            self._start_call(dispatcher, number, name, attempt)

    def _report_not_sent(self, dispatcher: HollowDispatcher, number: int, name: str, attempt: int) -> None:
        retry_after = RetryAfterReceived(number, f"e{number}", self.now + QUOTA_CHECK_INTERVAL)
        not_sent = AttemptEnded(name, attempt, f"e{number}", Outcome.NOT_SENT, 0, False, not_started=True)
        incarnation = dispatcher.incarnation
        self.call_at(
            self.now, lambda: self._handle_if_running(dispatcher, incarnation, retry_after, not_sent)
        )

    def _start_call(self, dispatcher: HollowDispatcher, number: int, name: str, attempt: int) -> None:
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

        def end_call() -> None:
            self._end_attempt(
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

        self.call_at(now + elapsed, end_call)

    def _end_attempt(
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

    def _view_entry(self, dispatcher: HollowDispatcher, phase: str, phase_since: int) -> dict[str, Any]:
        region = next(region.name for region in self.regions if dispatcher.zone in region.zones)
        times = {"up_since_ms": phase_since // MILLISECOND, "joined_ms": 0}
        entry = {
            "id": dispatcher.name,
            "host_port": "10.0.0.1:6379",
            "locality": dispatcher.zone,
            "flavor": region,
        }
        return {**entry, "phase": phase, **times}

    def _encode_update(self, complete: bool, entries: list[dict[str, Any]]) -> dict[str, Any]:
        update = {"revision": self.revision, "complete": complete, "members": entries}
        return {**update, "issued_ms": self.now // MILLISECOND}

    def _publish(self, changed: list[HollowDispatcher], phase: str) -> None:
        if not self.partitioned or not changed:
            return
        self.revision += 1
        for dispatcher in changed:
            self.entries_by_name[dispatcher.name] = self._view_entry(dispatcher, phase, self.now)
        update = self._encode_update(False, [self.entries_by_name[dispatcher.name] for dispatcher in changed])
        for dispatcher in self.dispatchers:
            self._send_update(dispatcher, update, self.now)

    def _send_update(
        self, dispatcher: HollowDispatcher, update: dict[str, Any], published_at: int | None = None
    ) -> None:
        """Schedule that the dispatcher applies the update after a delay and after all earlier updates."""
        if (
            not self.control_up
            or not self._reachable(self.regions[0].zones[0], dispatcher.zone)
            or not dispatcher.alive
        ):
            return
        read_at = self.now + int(self.rng.uniform(0.005, 0.2) * SECOND)
        dispatcher.watch_read_until = max(dispatcher.watch_read_until, read_at)
        incarnation = dispatcher.incarnation

        def apply_update() -> None:
            if dispatcher.alive and dispatcher.incarnation == incarnation and dispatcher.fleet is not None:
                previous_view = dispatcher.fleet.view
                dispatcher.fleet.apply_update(update, self._clock(dispatcher))
                lease_is_valid = dispatcher.fleet.lease_valid(self._clock(dispatcher))
                if (
                    previous_view is not dispatcher.fleet.view
                    or lease_is_valid is not dispatcher.lease_was_valid
                ):
                    self._refresh(dispatcher)
                if published_at is not None:
                    self.totals.in_force.append((self.now - published_at) / SECOND)

        self.call_at(dispatcher.watch_read_until, apply_update)

    def _send_view(self, dispatcher: HollowDispatcher) -> None:
        self._send_update(dispatcher, self._encode_update(True, list(self.entries_by_name.values())))

    def _send_heartbeats(self) -> None:
        update = self._encode_update(False, [])
        for dispatcher in self.dispatchers:
            self._send_update(dispatcher, update)
        if self.now < self.end + self.message_class.deadline:
            self.call_at(self.now + HEARTBEAT_INTERVAL, self._send_heartbeats)

    def _refresh(self, dispatcher: HollowDispatcher) -> None:
        """Update the quotas and withdraw messages for destinations without a quota, as the service does."""
        assert dispatcher.fleet is not None
        now = self._clock(dispatcher)
        listings: list[EndpointListing] = []
        lost_destinations: set[int] = set()
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
                lost_destinations.add(number)
        if listings:
            self._handle(dispatcher, EndpointListUpdate(UpdateMode.CHANGES, tuple(listings)))
        for name in [
            name for name in dispatcher.held_messages if self.messages[name].destination in lost_destinations
        ]:
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
                    current = (
                        dispatcher.fleet.quota_fraction(number, self._clock(dispatcher))
                        if quota_fraction
                        else 0.0
                    )
                    totals[dispatcher.zone, number] = totals.get((dispatcher.zone, number), 0.0) + current
        self.totals.most_share = max(self.totals.most_share, max(totals.values(), default=0.0))
        if self.now < self.end + self.message_class.deadline:
            self.call_at(self.now + QUOTA_CHECK_INTERVAL, self._check_quotas)

    # Failures.

    def _schedule_fault(self, fault: Fault) -> None:
        begin, end = START + int(fault.start * SECOND), START + int(fault.end * SECOND)
        first_zone = self.regions[0].zones[0]
        match fault.kind:
            case FaultKind.MACHINES:
                chosen = self.rng.sample(self.dispatchers, fault.count)
                self.call_at(begin, lambda: self._fail(chosen, None))
            case FaultKind.RESTARTS:
                chosen = self.rng.sample(self.dispatchers, fault.count)
                for i, dispatcher in enumerate(chosen):
                    restart_at = begin + (end - begin) * i // max(1, len(chosen))
                    self.call_at(restart_at, lambda dispatcher=dispatcher: self._restart(dispatcher))  # type: ignore[misc]
            case FaultKind.RACK:
                rack = [dispatcher for dispatcher in self.dispatchers if dispatcher.zone == first_zone][
                    : fault.count
                ]
                self.call_at(begin, lambda: self._fail(rack, end))
            case FaultKind.ZONE:
                zone = [dispatcher for dispatcher in self.dispatchers if dispatcher.zone == first_zone]
                self.call_at(begin, lambda: self._fail(zone, end))
            case FaultKind.REGIONS_APART:
                self.call_at(begin, lambda: self._set_regions_apart(True))
                self.call_at(end, lambda: self._set_regions_apart(False))
            case FaultKind.CONTROL:
                self.call_at(begin, lambda: self._set_control(False))
                self.call_at(end, lambda: self._set_control(True))

    def _fail(self, chosen: list[HollowDispatcher], return_at: int | None) -> None:
        """End dispatchers; the control machines detect the failure after `FAILURE_DETECTION_TIME`.

        The dispatchers return at the time `return_at`, or never if it is None.
        """
        chosen = [dispatcher for dispatcher in chosen if dispatcher.alive]
        saved = {dispatcher.name: self._kill(dispatcher, return_at is not None) for dispatcher in chosen}
        self.call_at(self.now + FAILURE_DETECTION_TIME, lambda: self._publish(chosen, "Terminating"))
        if return_at is not None:
            self.call_at(return_at, lambda: self._return(chosen, saved))

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
                    self._send_view(dispatcher)

    def _set_control(self, up: bool) -> None:
        self.control_up = up
        if up and self.partitioned:
            for dispatcher in self.dispatchers:
                if dispatcher.alive:
                    self._send_view(dispatcher)
