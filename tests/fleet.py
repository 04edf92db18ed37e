"""Many seeded Brains against one scripted destination in virtual time: what each does is summed over all.

The destination has a limit that may change, a table of connections, and may be down for a while. It reports
its allowance and its limit late, as of the last refresh.
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
from typing import Any

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

from .world import MS, SECOND, settings

ROUND_TRIP, HANDSHAKE, REFRESH = 40 * MS, 100 * MS, 500 * MS
CLASS = 1  # of the settings in `world`: keyed


@dataclass
class Partner:
    """One destination; `limit` is told by the time. Refused calls count against the limit."""

    limit: Callable[[int], float] = lambda now: 26.0
    table: int = 1 << 30  # connections it holds
    wait: int = 0  # told with a refusal
    tells: float = 1.0  # with this chance
    depth: float = 0.35  # seconds of the limit that may come at once
    left: float = 0.0
    at: int = 0
    told: tuple[float, float] = (1.0, 0.0)
    told_next: tuple[float, float] = (1.0, 0.0)
    told_at: int = 0
    down: tuple[int, int] = (0, 0)  # no connection comes up from the one until the other
    reached: list[tuple[int, int]] = field(default_factory=list)  # when calls came after that, and whose
    knew: set[int] = field(default_factory=set)  # instances that saw a call fail while it was down

    def is_down(self, now: int) -> bool:
        """Whether it is down."""
        return self.down[0] <= now < self.down[1]

    def pushed(self, s: Settings, span: int, capacity: float) -> float:
        """Most calls in a window after the return from instances that knew of the outage, as a share of what
        a cold destination bears in it.
        """
        came = [at for at, i in self.reached if i in self.knew and at < self.down[1] + s.slow_start_duration]
        most = 0.0
        for i, start in enumerate(came):
            warm = min(1.0, (start - self.down[1]) / s.slow_start_duration)
            bears = (
                s.overload_factor
                * (s.slow_start_fraction + (1 - s.slow_start_fraction) * warm)
                * capacity
                * span
                / SECOND
            )
            most = max(most, (bisect.bisect(came, start + span) - i) / bears)
        return most

    def above_chance(self, s: Settings, span: int, capacity: float) -> float:
        """Most calls of all instances in a window after the return, less N + 2 x root of N + 2, where N is
        what a cold destination bears in it: above 0 it falls over.
        """
        came = [at for at, _ in self.reached if at < self.down[1] + s.slow_start_duration]
        most = -float("inf")
        for i, start in enumerate(came):
            warm = min(1.0, (start - self.down[1]) / s.slow_start_duration)
            share = s.slow_start_fraction + (1 - s.slow_start_fraction) * warm
            bears = s.overload_factor * share * capacity * span / SECOND
            most = max(most, bisect.bisect(came, start + span) - i - (bears + 2 * math.sqrt(bears) + 2))
        return most

    def take(self, now: int) -> bool:
        """Whether a call is inside the limit."""
        limit = self.limit(now)
        most = max(1.0, limit * self.depth)
        self.left, self.at = min(most, self.left + limit * (now - self.at) / SECOND), now
        inside = self.left >= 1
        self.left = max(-2 * most, self.left - 1)  # a refused call runs it into debt
        if now - self.told_at >= REFRESH:  # what is told is as of the refresh before
            self.told, self.told_at = self.told_next, now
            self.told_next = (self.left / most, limit)
        return inside


@dataclass
class Sum:
    """What the fleet did, by second."""

    refused: Counter[int] = field(default_factory=Counter)  # calls above the limit
    delivered: Counter[int] = field(default_factory=Counter)
    in_time: int = 0
    handed_in: int = 0
    handshakes: int = 0
    crowded: int = 0


class Fleet:
    """`count` Brains, a Poisson stream of messages over all of them, and the partner."""

    def __init__(
        self,
        partner: Partner,
        seed: int,
        count: int = 40,
        scale: float = 26.0,
        uneven: bool = False,
        **more: Any,
    ) -> None:
        """`uneven`: some instances see several times the mean of the messages, others next to none."""
        given = {
            "instance_count": count,
            "max_concurrent_calls": 6,
            "resolution": MS,
            "listed_rate_meaning": ListedRateMeaning.ROUGH,
            **more,
        }
        self.s = settings(**given)
        self.cls = self.s.classes[CLASS]
        self.rng, self.partner, self.sum = Random(seed), partner, Sum()
        self.brains = [DeliveryPolicy(self.s, seed * 1000 + i) for i in range(count)]
        self.weights = [self.rng.expovariate(1.0) for _ in range(count)] if uneven else None
        self.heap: list[tuple[int, int, int, tuple[Event, ...]]] = []
        self.number = itertools.count()
        self.idle: Counter[int] = Counter()
        self.open = 0
        self.attempts: dict[tuple[int, str], int] = {}
        self.came: dict[str, int] = {}
        entry = EndpointListing("a", 0, listed_rate=scale)
        for i in range(count):
            self.at(0, i, EndpointListUpdate(UpdateMode.CACHED, (entry,)))

    def at(self, when: int, i: int, *events: Event) -> None:
        """Hand events to one instance then, in one round."""
        heapq.heappush(self.heap, (when, next(self.number), i, events))

    def offer(self, start: int, end: int, rate: float) -> None:
        """Messages at this rate in all, each to an instance chosen by chance."""
        now = start
        while (now := now + int(self.rng.expovariate(rate) * SECOND)) < end:
            name = f"m{next(self.number)}"
            self.came[name] = now
            self.sum.handed_in += 1
            event = NewMessage(name, CLASS, 0, self.cls.deadline)
            every = range(len(self.brains))
            i = self.rng.choices(every, self.weights)[0] if self.weights else self.rng.choice(every)
            self.at(now, i, event)

    def run(self, until: int) -> Sum:
        """Play on."""
        while self.heap and self.heap[0][0] <= until:
            now, _, i, events = heapq.heappop(self.heap)
            if isinstance(events[0], AttemptEnded):
                self.finish(now, i, [event for event in events if isinstance(event, AttemptEnded)])
            names: list[str] = []
            for action in self.brains[i].handle(now, list(events)):
                match action:
                    case SetTimer(when):
                        self.at(max(when, now + MS), i, TimerFired())
                    case CloseIdleConnections():
                        self.open -= self.idle.pop(i, 0)
                    case Send(name, _, _):
                        names.append(name)
            most = self.s.kinds[0].max_messages_per_call
            for k in range(0, len(names), most):
                self.send(now, i, names[k : k + most])
        return self.sum

    def send(self, now: int, i: int, names: list[str]) -> None:
        """One call on the way: its end is known at once, and told when it comes."""
        told, took, wait, crowded = self.partner.told, ROUND_TRIP, 0, False
        fresh = not self.idle[i]
        took += HANDSHAKE * fresh
        self.sum.handshakes += fresh
        down = self.partner.is_down(now)
        if now >= self.partner.down[1] > 0:
            self.partner.reached.append((now, i))
        if down:
            self.partner.knew.add(i)
            outcome, took = Outcome.CONNECT_FAILED, ROUND_TRIP
            self.idle[i] -= not fresh
            self.open -= not fresh
        elif fresh and self.open >= self.partner.table:
            outcome, crowded = Outcome.REJECTED, True
            self.sum.crowded += 1
        else:
            self.open += fresh
            self.idle[i] -= not fresh
            outcome = Outcome.DELIVERED if self.partner.take(now) else Outcome.REJECTED
            if outcome is Outcome.REJECTED and self.rng.random() < self.partner.tells:
                wait = self.partner.wait
        allowance, limit = (1.0, 0.0) if crowded or down else told
        took = int(took * self.rng.uniform(0.8, 1.2))
        self.at(
            now + took,
            i,
            *(
                AttemptEnded(
                    message=name,
                    attempt=self.attempt(i, name),
                    endpoint="a",
                    outcome=outcome,
                    elapsed=took,
                    message_concluded=outcome is Outcome.DELIVERED,
                    retry_after=wait,
                    limit_remaining=allowance,
                    rate_limit=limit,
                    connection_limited=crowded,
                )
                for name in names
            ),
        )

    def attempt(self, i: int, name: str) -> int:
        """The number of the attempt that is made now."""
        self.attempts[i, name] = self.attempts.get((i, name), -1) + 1
        return self.attempts[i, name]

    def finish(self, now: int, i: int, events: list[AttemptEnded]) -> None:
        """Account for the end of a call; the connection rests until it is used or closed."""
        outcome, crowded = events[0].outcome, events[0].connection_limited
        if outcome is Outcome.DELIVERED:
            self.sum.delivered[now // SECOND] += len(events)
            for event in events:
                age = now - self.came[event.message]
                self.sum.in_time += age <= self.cls.latency_objective
        elif outcome is Outcome.REJECTED and not crowded:
            self.sum.refused[now // SECOND] += 1
        if not crowded and outcome is not Outcome.CONNECT_FAILED:
            self.idle[i] += 1
