"""A stand-in of a partner that comes back cold after an outage, and counts what it gets until it is warm."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from math import sqrt

from review.second.endpoint import Answer, Call
from review.second.rig import Record

SMALL_BUDGET = 30  # calls; below it the budget has more room for chance
TOLD_SHARE = 2 / 3  # of the calls of a fall that must come from dispatchers that knew of the outage
SERVICE_SECONDS = 0.12  # of a call at the usual pace


class ColdPartner:
    """A partner with one capacity; it serves calls in turn, and refuses those that cannot wait.

    `capacity` is in calls a second. The settings tell the rest: the share that it has when it comes back, the
    time until it has all of it, and the span and multiple of a fall.
    """

    def __init__(
        self, record: Record, capacity: float, invariants: dict[str, float], queue: float = 0.8
    ) -> None:
        self.record = record
        self.capacity = capacity
        self.cold_seconds = invariants["cold"] / 1e9
        self.cold_share = invariants["cold-share"]
        self.fall_seconds = invariants["fall"] / 1e9
        self.fall_multiple = invariants["fall-multiple"]
        self.queue_seconds = queue
        self.out_until = 0.0  # the end of the outage, on the clock of the record
        self.was_out = False
        self.refusal: Callable[[float], Answer] = lambda _left: Answer(503)
        self.busy_until = 0.0
        self.recent: deque[tuple[float, bool]] = deque()  # calls, and whether their sender knew of the outage
        self.sender: Callable[[str], int] = lambda _message: 0  # the dispatcher that has a message
        self.refused_in_outage: Counter[int] = Counter()  # calls by dispatcher
        self.fall = ""
        self.on_fall: Callable[[], None] = lambda: None
        self.delivered: set[str] = set()  # messages
        self.highest = ""
        self.highest_share = 0.0

    def share(self, at: float) -> float:
        """Return the share of its capacity that the partner has."""
        if not self.was_out:
            return 1.0
        warm = min(1.0, (at - self.out_until) / self.cold_seconds)
        return self.cold_share + (1 - self.cold_share) * warm

    def start_outage(self, seconds: float) -> None:
        """Shut for so long."""
        self.out_until = self.record.now() + seconds
        self.was_out = True
        self.record.add("partner is out for", seconds, "s")

    async def respond(self, call: Call) -> Answer:
        """Answer one call."""
        if self.was_out and call.at < self.out_until:
            self.refused_in_outage[self.sender(call.message)] += 1
            return self.refusal(self.out_until - call.at)
        if self.was_out:
            self._count(call)
        rate = self.capacity * self.share(call.at)
        self.busy_until = max(self.busy_until, call.at)
        wait = self.busy_until - call.at
        if wait > self.queue_seconds:
            return self.refusal(0.0)
        self.busy_until += 1 / rate
        await asyncio.sleep(wait + SERVICE_SECONDS)
        self.delivered.add(call.message)
        return Answer()

    def _count(self, call: Call) -> None:
        at = call.at
        if at > self.out_until + self.cold_seconds:
            return
        self.recent.append((at, self.refused_in_outage[self.sender(call.message)] > 0))
        while self.recent[0][0] <= at - self.fall_seconds:
            self.recent.popleft()
        budget = self.budget(at)
        text = f"{len(self.recent)} calls in {self.fall_seconds:g} s, {budget:.1f} allowed,"
        text += f" {at - self.out_until:.2f} s after the outage"
        if len(self.recent) / budget > self.highest_share:
            self.highest_share = len(self.recent) / budget
            self.highest = text
        told = sum(knew for _, knew in self.recent)
        if len(self.recent) > budget and told > TOLD_SHARE * len(self.recent) and not self.fall:
            self.fall = text
            self.on_fall()
            self.record.add("partner falls:", text)

    def budget(self, at: float) -> float:
        """Return how many calls the partner bears in the span that ends now, with the room for chance."""
        calls = self.fall_multiple * self.capacity * self.share(at) * self.fall_seconds
        if calls < SMALL_BUDGET:
            return calls + 3 * sqrt(calls) + 3
        return calls + 2 * sqrt(calls) + 2
