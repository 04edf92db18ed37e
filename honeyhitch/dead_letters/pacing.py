"""How many resends may start at a destination now. No I/O; the clock is passed in.

Resends go behind live traffic: in a bounded share of the slots and of the partner's part, one at a time
until one call has passed, and not while the partner is sick, ramps after a cold return, or has told a wait.
One that has no live traffic would never be found well again: it is tried with single resends at growing gaps.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.health import DestinationHealth

SECOND = 10**9  # ns
QUIET, MOST_GAP = 30 * SECOND, 600 * SECOND  # ns without a call after which a sick one is tried, and at most
BURST = 2.0  # resends that may start together where a share of the pace has been saved up


@dataclass(slots=True)
class Lane:
    """What is remembered of one destination."""

    since: int | None = None  # well since then, None if sick
    proved: bool = False  # a call has passed since it was last sick
    out: int = 0  # resends on their way
    left: float = 1.0  # of its share of the pace
    at: int = 0
    gap: int = QUIET
    tried_at: int = 0


class Pacing:
    """One for all destinations; `slots` is the instance's."""

    def __init__(self, share: float, slots: int) -> None:
        self.share, self.slots = share, slots
        self.most = max(1, int(share * slots))
        self.out = 0
        self.lanes: dict[int, Lane] = {}

    def look(self, destination: int, condition: DestinationHealth, now: int) -> Lane:
        """Take note of how it stands."""
        lane = self.lanes.setdefault(destination, Lane(at=now))
        rate = max(0.01, self.share * condition.quota)
        lane.left = min(max(1.0, BURST), lane.left + rate * max(0, now - lane.at) / SECOND)
        lane.at = now
        if condition.unhealthy or not condition.listed:
            lane.since, lane.proved = None, False
        elif lane.since is None:
            lane.since = now
        return lane

    def healthy(self, destination: int, now: int) -> int:
        """For how long it has been well, nanoseconds."""
        since = self.lanes[destination].since if destination in self.lanes else None
        return max(0, now - since) if since is not None else 0

    def room(self, destination: int, condition: DestinationHealth, now: int) -> int:
        """How many resends may start there now."""
        lane = self.look(destination, condition, now)
        left = self.most - self.out
        if (
            not condition.listed
            or condition.has_queued_messages
            or condition.retry_after_until > now
            or left <= 0
        ):
            return 0
        if condition.concurrent_calls >= max(1, self.slots - self.most):  # live traffic needs them
            return 0
        if condition.unhealthy:
            return int(self.tries(destination, condition, now))
        if condition.in_slow_start:
            return 0
        most = left if lane.proved else 1 - lane.out
        return max(0, min(most, self.most - lane.out, int(lane.left)))

    def tries(self, destination: int, condition: DestinationHealth, now: int) -> bool:
        """Whether a single resend may try a sick one that nothing else tries."""
        lane = self.lanes.get(destination) or Lane()
        quiet = now - max(condition.last_sent_at, lane.tried_at) >= lane.gap
        return condition.listed and condition.unhealthy and quiet and not lane.out

    def began(self, destination: int, now: int) -> None:
        """A resend is on its way."""
        lane = self.lanes.setdefault(destination, Lane(at=now))
        lane.out, lane.left, self.out = lane.out + 1, lane.left - 1, self.out + 1
        if lane.since is None:
            lane.tried_at, lane.gap = now, min(2 * lane.gap, MOST_GAP)

    def ended(self, destination: int) -> None:
        """A resend has come to its end, or was called off."""
        lane = self.lanes.setdefault(destination, Lane())
        lane.out, self.out = max(0, lane.out - 1), max(0, self.out - 1)

    def passed(self, destination: int) -> None:
        """A call there was delivered, of live traffic or a resend."""
        if (lane := self.lanes.get(destination)) is not None:
            lane.proved, lane.gap = True, QUIET


class Rates:
    """How many resends each rule may still start now."""

    def __init__(self) -> None:
        self.left: dict[str, tuple[float, int]] = {}

    def take(self, name: str, rate: float, now: int) -> bool:
        """One more, if it may."""
        left, at = self.left.get(name, (1.0, now))
        left = min(max(1.0, rate), left + rate * max(0, now - at) / SECOND)
        self.left[name] = (left - (left >= 1), now)
        return left >= 1
