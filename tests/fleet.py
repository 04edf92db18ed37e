"""Many seeded policies against one scripted destination in virtual time, with totals of what they do.

The destination has a rate limit that may change, a connection limit, and may be down for a while. It reports
its limit, and what remains of it, late: as of the last refresh.
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
REPORT_REFRESH = 500 * MILLISECOND
CLASS_INDEX = 1  # of the settings in `world`: messages with an idempotency key


class Report(NamedTuple):
    """What a destination reports with a response."""

    limit_remaining: float  # fraction
    rate_limit: float  # calls a second, 0 if none is reported


NO_REPORT = Report(1.0, 0.0)


def constant_limit(calls_per_second: float) -> Callable[[int], float]:
    """A limit that does not change."""
    return lambda _now: calls_per_second


DEFAULT_LIMIT = constant_limit(26.0)


@dataclass
class Partner:
    """One destination; `limit` is a function of the time. Rejected calls count against the limit.

    Times are nanoseconds, rates are calls a second.
    """

    limit: Callable[[int], float] = DEFAULT_LIMIT
    connection_limit: int = 1 << 30
    retry_after: int = 0  # with a rejection
    retry_after_probability: float = 1.0
    burst_seconds: float = 0.35  # of the limit, that may come together
    tokens: float = 0.0
    updated_at: int = 0
    reported: Report = NO_REPORT
    next_report: Report = NO_REPORT
    reported_at: int = 0
    outage: tuple[int, int] = (0, 0)  # its start and end
    calls_after_outage: list[tuple[int, int]] = field(default_factory=list)  # times and instances
    aware_instances: set[int] = field(default_factory=set)  # instances that saw a call fail in the outage

    def is_down(self, now: int) -> bool:
        """Whether no connection comes up."""
        return self.outage[0] <= now < self.outage[1]

    def peak_load(self, given: Settings, window: int, capacity: float) -> float:
        """The most calls in a window after the outage from instances that knew of it.

        It is a fraction of what a destination in slow start sustains in that window.
        """
        times = [
            at
            for at, instance in self.calls_after_outage
            if instance in self.aware_instances and at < self.outage[1] + given.slow_start_duration
        ]
        peak = 0.0
        for index, start in enumerate(times):
            sustained = self._sustained_calls(given, start, window, capacity)
            calls = bisect.bisect(times, start + window) - index
            peak = max(peak, calls / sustained)
        return peak

    def peak_excess(self, given: Settings, window: int, capacity: float) -> float:
        """The most calls of all instances in a window after the outage, less N + 2 x root of N + 2.

        N is what a destination in slow start sustains in that window; above 0 it is overloaded.
        """
        slow_start_end = self.outage[1] + given.slow_start_duration
        times = [at for at, _ in self.calls_after_outage if at < slow_start_end]
        peak = -math.inf
        for index, start in enumerate(times):
            sustained = self._sustained_calls(given, start, window, capacity)
            calls = bisect.bisect(times, start + window) - index
            peak = max(peak, calls - (sustained + 2 * math.sqrt(sustained) + 2))
        return peak

    def _sustained_calls(self, given: Settings, start: int, window: int, capacity: float) -> float:
        """How many calls it sustains in the window that begins at `start`."""
        progress = min(1.0, (start - self.outage[1]) / given.slow_start_duration)
        fraction = given.slow_start_fraction + (1 - given.slow_start_fraction) * progress
        return given.overload_factor * fraction * capacity * window / SECOND

    def admit(self, now: int) -> bool:
        """Whether a call is inside the limit."""
        limit = self.limit(now)
        burst = max(1.0, limit * self.burst_seconds)
        self.tokens = min(burst, self.tokens + limit * (now - self.updated_at) / SECOND)
        self.updated_at = now
        inside = self.tokens >= 1
        self.tokens = max(-2 * burst, self.tokens - 1)  # a rejected call runs it into debt
        if now - self.reported_at >= REPORT_REFRESH:  # reports are as of the refresh before
            self.reported = self.next_report
            self.reported_at = now
            self.next_report = Report(self.tokens / burst, limit)
        return inside


@dataclass(frozen=True)
class CallResult:
    """How a call ends. Durations are nanoseconds."""

    outcome: Outcome
    duration: int  # its mean
    report: Report = NO_REPORT
    retry_after: int = 0
    connection_limited: bool = False


@dataclass
class FleetTotals:
    """What the fleet did; rejections and deliveries by second."""

    rejected: Counter[int] = field(default_factory=Counter)  # calls above the limit
    delivered: Counter[int] = field(default_factory=Counter)
    in_time: int = 0
    submitted: int = 0
    handshakes: int = 0
    connection_limited: int = 0


class Fleet:
    """`count` policies, a Poisson stream of messages over all of them, and the destination."""

    def __init__(
        self,
        partner: Partner,
        seed: int,
        count: int = 40,
        listed_rate: float = 26.0,
        uneven: bool = False,
        **more: Any,
    ) -> None:
        """`uneven`: some instances get several times the mean of the messages, others next to none."""
        given = {
            "instance_count": count,
            "max_concurrent_calls": 6,
            "resolution": MILLISECOND,
            "listed_rate_meaning": ListedRateMeaning.ROUGH,
            **more,
        }
        self.settings = settings(**given)
        self.message_class = self.settings.classes[CLASS_INDEX]
        self.rng = Random(seed)
        self.partner = partner
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
            self.deliver_at(0, instance, EndpointListUpdate(UpdateMode.CACHED, (listing,)))

    def deliver_at(self, when: int, instance: int, *events: Event) -> None:
        """Deliver events to an instance at this time, in one batch."""
        heapq.heappush(self.heap, (when, next(self.sequence), instance, events))

    def submit_at_rate(self, start: int, end: int, rate: float) -> None:
        """Submit messages at this rate (1/s) in all, each to a random instance."""
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
            self.deliver_at(now, instance, event)

    def run(self, until: int) -> FleetTotals:
        """Play until this time."""
        while self.heap and self.heap[0][0] <= until:
            now, _, instance, events = heapq.heappop(self.heap)
            if isinstance(events[0], AttemptEnded):
                self.end_call(now, instance, [event for event in events if isinstance(event, AttemptEnded)])
            names = self._decide(now, instance, events)
            per_call = self.settings.kinds[0].max_messages_per_call
            for first in range(0, len(names), per_call):
                self.send(now, instance, names[first : first + per_call])
        return self.totals

    def _decide(self, now: int, instance: int, events: tuple[Event, ...]) -> list[str]:
        """Let an instance decide; the messages that it sends."""
        names: list[str] = []
        for action in self.policies[instance].handle(now, list(events)):
            match action:
                case SetTimer(when):
                    self.deliver_at(max(when, now + MILLISECOND), instance, TimerFired())
                case CloseIdleConnections():
                    self.open_connections -= self.idle_connections.pop(instance, 0)
                case Send(name, _, _):
                    names.append(name)
        return names

    def send(self, now: int, instance: int, names: list[str]) -> None:
        """Send one call: its end is decided now, and delivered later."""
        new_connection = not self.idle_connections[instance]
        self.totals.handshakes += new_connection
        if now >= self.partner.outage[1] > 0:
            self.partner.calls_after_outage.append((now, instance))
        result = self._call(now, instance, new_connection)
        elapsed = int(result.duration * self.rng.uniform(0.8, 1.2))
        ended = [
            AttemptEnded(
                message=name,
                attempt=self.next_attempt(instance, name),
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
        self.deliver_at(now + elapsed, instance, *ended)

    def _call(self, now: int, instance: int, new_connection: bool) -> CallResult:
        """How a call to the destination ends."""
        partner = self.partner
        report = partner.reported  # as of before this call
        duration = ROUND_TRIP + HANDSHAKE * new_connection
        if partner.is_down(now):
            partner.aware_instances.add(instance)
            self._use_connection(instance, new_connection)
            self.open_connections -= not new_connection
            return CallResult(Outcome.CONNECT_FAILED, ROUND_TRIP)
        if new_connection and self.open_connections >= partner.connection_limit:
            self.totals.connection_limited += 1
            return CallResult(Outcome.REJECTED, duration, connection_limited=True)
        self.open_connections += new_connection
        self._use_connection(instance, new_connection)
        if partner.admit(now):
            return CallResult(Outcome.DELIVERED, duration, report)
        has_retry_after = self.rng.random() < partner.retry_after_probability
        retry_after = partner.retry_after if has_retry_after else 0
        return CallResult(Outcome.REJECTED, duration, report, retry_after)

    def _use_connection(self, instance: int, new_connection: bool) -> None:
        """Take an idle connection unless the call opens a new one."""
        self.idle_connections[instance] -= not new_connection

    def next_attempt(self, instance: int, name: str) -> int:
        """The number of the attempt that is made now."""
        self.attempts[instance, name] = self.attempts.get((instance, name), -1) + 1
        return self.attempts[instance, name]

    def end_call(self, now: int, instance: int, events: list[AttemptEnded]) -> None:
        """Account for the end of a call; its connection is idle until it is used or closed."""
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
