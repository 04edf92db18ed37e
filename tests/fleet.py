"""A simulation of many seeded policies that send to one scripted destination in virtual time.

The destination has a rate limit that may change, a connection limit, and possibly an outage. It reports its
rate limit and what remains of it with a delay, as of the last refresh.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from honeyhitch.policy.actions import CloseIdleConnections, Send, SetTimer
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.events import (
    AttemptEnded,
    EndpointListing,
    EndpointListUpdate,
    Event,
    NewMessage,
    Outcome,
    TimerFired,
    UpdateMode,
)
from honeyhitch.policy.settings import ListedRateMeaning, Settings
from honeyhitch.time_units import MILLISECOND, SECOND

from .world import settings

ROUND_TRIP = 40 * MILLISECOND
HANDSHAKE = 100 * MILLISECOND
REPORT_REFRESH_PERIOD = 500 * MILLISECOND
CLASS_INDEX = 1  # class in the settings of `world` whose messages have an idempotency key


class Report(NamedTuple):
    """The rate limit that a destination reports with a response."""

    limit_remaining: float  # fraction of the limit that remains
    rate_limit: float  # calls per second, 0 if none is reported


NO_REPORT = Report(1.0, 0.0)


def constant_limit(calls_per_second: float) -> Callable[[int], float]:
    """Return a rate limit that does not change with time."""
    return lambda _now: calls_per_second


DEFAULT_LIMIT = constant_limit(26.0)


@dataclass
class SimulatedDestination:
    """The simulated destination; `limit` maps the time to the rate limit, which rejected calls use up, too.

    Times are nanoseconds, rates are calls per second.
    """

    limit: Callable[[int], float] = DEFAULT_LIMIT
    connection_limit: int = 1 << 30
    retry_after: int = 0  # sent with a rejection
    retry_after_probability: float = 1.0
    burst_seconds: float = 0.35  # duration of calls at the limit that may arrive together
    tokens: float = 0.0
    updated_at: int = 0
    reported: Report = NO_REPORT
    next_report: Report = NO_REPORT
    reported_at: int = 0
    outage: tuple[int, int] = (0, 0)  # start and end
    calls_after_outage: list[tuple[int, int]] = field(default_factory=list)  # time and instance of each call
    aware_instances: set[int] = field(default_factory=set)  # instances with a call that failed in the outage

    def is_down(self, now: int) -> bool:
        """Return whether connects fail at `now`."""
        return self.outage[0] <= now < self.outage[1]

    def peak_load(self, fleet_settings: Settings, window: int, capacity: float) -> float:
        """Return the maximum load of any window after the outage, from instances that detected the outage.

        The load is the number of their calls as a fraction of the calls that a destination in slow start
        sustains in that window.
        """
        times = [
            sent_at
            for sent_at, instance in self.calls_after_outage
            if instance in self.aware_instances
            and sent_at < self.outage[1] + fleet_settings.slow_start_duration
        ]
        peak = 0.0
        for index, start in enumerate(times):
            sustained = self._sustained_calls(fleet_settings, start, window, capacity)
            calls = bisect.bisect(times, start + window) - index
            peak = max(peak, calls / sustained)
        return peak

    def peak_excess(self, fleet_settings: Settings, window: int, capacity: float) -> float:
        """Return the most calls of all instances in a window after the outage, minus N + 2 * sqrt(N) + 2.

        N is the number of calls that a destination in slow start sustains in that window; a result above 0
        means that the destination is overloaded.
        """
        slow_start_end = self.outage[1] + fleet_settings.slow_start_duration
        times = [sent_at for sent_at, _ in self.calls_after_outage if sent_at < slow_start_end]
        peak = -math.inf
        for index, start in enumerate(times):
            sustained = self._sustained_calls(fleet_settings, start, window, capacity)
            calls = bisect.bisect(times, start + window) - index
            peak = max(peak, calls - (sustained + 2 * math.sqrt(sustained) + 2))
        return peak

    def _sustained_calls(self, fleet_settings: Settings, start: int, window: int, capacity: float) -> float:
        """Return how many calls the destination sustains in the window that begins at `start`."""
        progress = min(1.0, (start - self.outage[1]) / fleet_settings.slow_start_duration)
        fraction = fleet_settings.slow_start_fraction + (1 - fleet_settings.slow_start_fraction) * progress
        return fleet_settings.overload_factor * fraction * capacity * window / SECOND

    def admit(self, now: int) -> bool:
        """Count a call at `now`; return whether it is within the rate limit."""
        limit = self.limit(now)
        burst = max(1.0, limit * self.burst_seconds)
        self.tokens = min(burst, self.tokens + limit * (now - self.updated_at) / SECOND)
        self.updated_at = now
        within_limit = self.tokens >= 1
        self.tokens = max(-2 * burst, self.tokens - 1)  # below 0 after rejected calls
        if now - self.reported_at >= REPORT_REFRESH_PERIOD:  # a report is published one refresh late
            self.reported = self.next_report
            self.reported_at = now
            self.next_report = Report(self.tokens / burst, limit)
        return within_limit


@dataclass(frozen=True)
class CallResult:
    """The result of a call. Durations are nanoseconds."""

    outcome: Outcome
    duration: int  # mean duration
    report: Report = NO_REPORT
    retry_after: int = 0
    connection_limited: bool = False


@dataclass
class FleetTotals:
    """Totals of the fleet; rejections and deliveries are counted by second."""

    rejected: Counter[int] = field(default_factory=Counter)  # calls above the limit
    delivered: Counter[int] = field(default_factory=Counter)
    in_time: int = 0
    submitted: int = 0
    handshakes: int = 0
    connection_limited: int = 0


class Fleet:
    """A fleet of `count` policies that share a Poisson stream of messages, and their destination."""

    def __init__(
        self,
        destination: SimulatedDestination,
        seed: int,
        count: int = 40,
        listed_rate: float = 26.0,
        uneven: bool = False,
        **setting_changes: Any,
    ) -> None:
        """Set up the fleet; with `uneven`, some instances get several times the mean load, others little."""
        setting_values = {
            "instance_count": count,
            "max_concurrent_calls": 6,
            "resolution": MILLISECOND,
            "listed_rate_meaning": ListedRateMeaning.ROUGH,
            **setting_changes,
        }
        self.settings = settings(**setting_values)
        self.message_class = self.settings.classes[CLASS_INDEX]
        self.rng = Random(seed)
        self.destination = destination
        self.totals = FleetTotals()
        self.policies = [DeliveryPolicy(self.settings, seed * 1000 + i) for i in range(count)]
        self.weights = [self.rng.expovariate(1.0) for _ in range(count)] if uneven else None
        self.heap: list[tuple[int, int, int, tuple[Event, ...]]] = []
        self.sequence = itertools.count()
        self.idle_connections: Counter[int] = Counter()
        self.open_connections = 0
        self.attempts: dict[tuple[int, str], int] = {}
        self.submitted_at: dict[str, int] = {}
        listing = EndpointListing("a", 0, listed_rate=listed_rate)
        for instance in range(count):
            self.schedule_events(0, instance, EndpointListUpdate(UpdateMode.CACHED, (listing,)))

    def schedule_events(self, due_at: int, instance: int, *events: Event) -> None:
        """Schedule a batch of events for an instance."""
        heapq.heappush(self.heap, (due_at, next(self.sequence), instance, events))

    def submit_at_rate(self, start: int, end: int, rate: float) -> None:
        """Submit messages at this total rate (1/s), each to a random instance."""
        instances = range(len(self.policies))
        now = start
        while (now := now + int(self.rng.expovariate(rate) * SECOND)) < end:
            name = f"m{next(self.sequence)}"
            self.submitted_at[name] = now
            self.totals.submitted += 1
            if self.weights:
                instance = self.rng.choices(instances, self.weights)[0]
            else:
                instance = self.rng.choice(instances)
            event = NewMessage(name, CLASS_INDEX, 0, self.message_class.deadline)
            self.schedule_events(now, instance, event)

    def advance_to(self, until: int) -> FleetTotals:
        """Run the simulation until this time; return the totals."""
        while self.heap and self.heap[0][0] <= until:
            now, _, instance, events = heapq.heappop(self.heap)
            if isinstance(events[0], AttemptEnded):
                self.record_call_end(
                    now, instance, [event for event in events if isinstance(event, AttemptEnded)]
                )
            names = self._handle_events(now, instance, events)
            per_call = self.settings.kinds[0].max_messages_per_call
            for first in range(0, len(names), per_call):
                self.send_call(now, instance, names[first : first + per_call])
        return self.totals

    def _handle_events(self, now: int, instance: int, events: tuple[Event, ...]) -> list[str]:
        """Pass events to an instance's policy and carry out its actions; return the messages to send."""
        names: list[str] = []
        for action in self.policies[instance].handle(now, list(events)):
            match action:
                case SetTimer(due_at):
                    self.schedule_events(max(due_at, now + MILLISECOND), instance, TimerFired())
                case CloseIdleConnections():
                    self.open_connections -= self.idle_connections.pop(instance, 0)
                case Send(name, _, _):
                    names.append(name)
        return names

    def send_call(self, now: int, instance: int, names: list[str]) -> None:
        """Send one call; its result is determined now and passed to the policy when the call ends."""
        new_connection = not self.idle_connections[instance]
        self.totals.handshakes += new_connection
        if now >= self.destination.outage[1] > 0:
            self.destination.calls_after_outage.append((now, instance))
        result = self._call_result(now, instance, new_connection)
        elapsed = int(result.duration * self.rng.uniform(0.8, 1.2))
        attempt_ends = [
            AttemptEnded(
                message=name,
                attempt=self.count_attempt(instance, name),
                endpoint="a",
                outcome=result.outcome,
                elapsed=elapsed,
                message_concluded=result.outcome is Outcome.DELIVERED,
                retry_after=result.retry_after,
                limit_remaining=result.report.limit_remaining,
                rate_limit=result.report.rate_limit,
                connection_limited=result.connection_limited,
            )
            for name in names
        ]
        self.schedule_events(now + elapsed, instance, *attempt_ends)

    def _call_result(self, now: int, instance: int, new_connection: bool) -> CallResult:
        """Return the result of a call to the destination."""
        destination = self.destination
        report = destination.reported  # the report before this call
        duration = ROUND_TRIP + HANDSHAKE * new_connection
        if destination.is_down(now):
            destination.aware_instances.add(instance)
            self._take_idle_connection(instance, new_connection)
            self.open_connections -= not new_connection
            return CallResult(Outcome.CONNECT_FAILED, ROUND_TRIP)
        if new_connection and self.open_connections >= destination.connection_limit:
            self.totals.connection_limited += 1
            return CallResult(Outcome.REJECTED, duration, connection_limited=True)
        self.open_connections += new_connection
        self._take_idle_connection(instance, new_connection)
        if destination.admit(now):
            return CallResult(Outcome.DELIVERED, duration, report)
        has_retry_after = self.rng.random() < destination.retry_after_probability
        retry_after = destination.retry_after if has_retry_after else 0
        return CallResult(Outcome.REJECTED, duration, report, retry_after)

    def _take_idle_connection(self, instance: int, new_connection: bool) -> None:
        """Remove one idle connection of the instance unless the call opens a new one."""
        self.idle_connections[instance] -= not new_connection

    def count_attempt(self, instance: int, name: str) -> int:
        """Count an attempt of a message; return its number, from 0."""
        self.attempts[instance, name] = self.attempts.get((instance, name), -1) + 1
        return self.attempts[instance, name]

    def record_call_end(self, now: int, instance: int, events: list[AttemptEnded]) -> None:
        """Add the end of a call to the totals; its connection becomes idle if it was established."""
        outcome = events[0].outcome
        connection_limited = events[0].connection_limited
        if outcome is Outcome.DELIVERED:
            self.totals.delivered[now // SECOND] += len(events)
            for event in events:
                age = now - self.submitted_at[event.message]
                self.totals.in_time += age <= self.message_class.latency_objective
        elif outcome is Outcome.REJECTED and not connection_limited:
            self.totals.rejected[now // SECOND] += 1
        if not connection_limited and outcome is not Outcome.CONNECT_FAILED:
            self.idle_connections[instance] += 1
