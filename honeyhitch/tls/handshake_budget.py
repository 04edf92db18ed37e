"""How many handshakes a partner gets from this dispatcher: at once, and a second. No I/O; the clock is
passed in.

A partner's figures (`handshakes`, `handshake-rate`) are for all dispatchers together. Nobody coordinates
them, so each takes an equal share. The rate counts full handshakes; a resumed one costs a partner a
fraction of that and is charged `RESUMED` once it has turned out to be one: a session that is offered may be
refused, so each start is charged whole. The window is a sliding one and longer than a second by `MARGIN`,
for what the network bunches up.

After an outage the partner is cold. Its ramp is the module's own (`Lane.budget` in brain.py): from
`cold_share` to the whole over `cold`. An outage is a handshake that failed for no lasting reason, or more
than half of the open connections lost within `WINDOW`, as when it restarts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from honeyhitch.time_units import SECOND

WINDOW, MARGIN = SECOND, 1.25  # ns; times as long as the window that the setting speaks of
RESUMED = 0.25  # of a full handshake's cost, for a partner that only checks a ticket and one key exchange
LEAST_LOST = 2  # connections lost at once that can mean a restart
RETRY = 100_000_000  # ns after which to ask again where only a handshake's end can make room


@dataclass(slots=True, eq=False)
class Start:
    """One handshake that was allowed."""

    at: int
    weight: float = 1.0


class HandshakeBudget:
    """The share that one of `instances` dispatchers has of a partner's handshakes.

    With fewer handshakes at once than dispatchers each still has one; with a rate of less than one a second
    each, they are spaced further apart, and the whole holds on the average only. `warnings` says so.
    """

    def __init__(
        self, handshakes: int, rate: float, instances: int = 1, cold_share: float = 1.0, cold: int = 1
    ) -> None:
        self.at_once, self.rate = max(1, handshakes // instances), rate / instances
        self.cold_share, self.cold = cold_share, cold
        self.running: set[Start] = set()
        self.recent: deque[Start] = deque()  # oldest first
        self.back_at, self.out = -(1 << 62), False
        self.lost: deque[int] = deque()

    @staticmethod
    def warnings(handshakes: int, rate: float, instances: int) -> list[str]:
        """What cannot be held exactly with so many dispatchers."""
        told = []
        if handshakes < instances:
            told.append(f"handshakes: {handshakes} at once cannot be shared by {instances} dispatchers")
        if rate < instances:
            told.append(
                f"handshake-rate: {rate:g} a second for {instances} dispatchers holds on average only"
            )
        return told

    def share(self, now: int) -> float:
        """Of the figures, for how cold the partner is; while it is out, only one handshake at a time."""
        if self.out:
            return 0.0
        warm = min(1.0, (now - self.back_at) / self.cold)
        return self.cold_share + (1 - self.cold_share) * warm

    def ready_at(self, now: int) -> int:
        """When the next handshake may start, as far as can be told now; not later than `now` if at once."""
        share = self.share(now)
        if len(self.running) >= max(1, int(self.at_once * share)):
            return now + RETRY  # an end comes sooner, and the asker is told of it
        rate = self.rate * max(share, self.cold_share)
        window = int(max(WINDOW, SECOND / rate) * MARGIN)
        while self.recent and self.recent[0].at <= now - max(window, int(SECOND / self._least() * MARGIN)):
            self.recent.popleft()
        room = max(1.0, rate)
        for start in reversed(self.recent):
            if start.at <= now - window:
                break
            room -= start.weight
            if room < 1.0:
                return start.at + window
        return now

    def _least(self) -> float:
        return min(1.0, self.rate * self.cold_share)

    def start(self, now: int) -> Start:
        """A handshake starts; it was asked for first."""
        one = Start(now)
        self.running.add(one)
        self.recent.append(one)
        return one

    def ended(self, one: Start, now: int, resumed: bool) -> None:
        """It came up."""
        self.running.discard(one)
        if resumed:
            one.weight = RESUMED
        if self.out:
            self.out, self.back_at = False, now

    def failed(self, one: Start, now: int, outage: bool) -> None:
        """It did not; `outage` if that says that the partner is down, and not that it or we are
        misconfigured.
        """
        self.running.discard(one)
        self.out = self.out or outage

    def broke(self, now: int, left: int) -> None:
        """An open connection was lost unasked, and so many are left: most lost at once means a restart."""
        self.lost.append(now)
        while self.lost[0] <= now - WINDOW:
            self.lost.popleft()
        if len(self.lost) >= LEAST_LOST and len(self.lost) > left and not self.out:
            self.back_at = now
