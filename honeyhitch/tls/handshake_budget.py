"""Limits this dispatcher's handshakes with a partner: how many run concurrently, and how many a second.

No I/O; times are Unix times in nanoseconds, and the clock is an argument.

A partner's limits (`handshakes`, `handshake-rate`) are for all dispatchers together. The dispatchers do not
coordinate, so each takes an equal share. The rate limits full handshakes. A resumed handshake costs a partner
a fraction of a full one and is charged `RESUMED_WEIGHT` once it is known to be resumed; until then it is
charged in full, as the server may not accept the session. The rate window slides, and is longer by the factor
`WINDOW_MARGIN`, as the network delivers handshakes in bursts.

After an outage the partner is in slow start, with the same ramp as destinations have: from
`slow_start_fraction` of the limits to the full limits in `slow_start_duration`. An outage is a handshake that
failed for a reason that is not lasting, or the loss of more than half of the open connections within
`RATE_WINDOW`, as a restart of the partner causes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from honeyhitch.time_units import MILLISECOND, NEVER, SECOND

RATE_WINDOW = SECOND  # ns
WINDOW_MARGIN = 1.25  # factor that lengthens the rate window
# Fraction of a full handshake's cost: the partner checks a ticket and does one key exchange.
RESUMED_WEIGHT = 0.25
MIN_LOST_FOR_RESTART = 2  # connections lost within RATE_WINDOW
RETRY_DELAY = 100 * MILLISECOND  # ns; the estimated wait while too many handshakes are running


@dataclass(slots=True, eq=False)
class HandshakeStart:
    """One handshake that was allowed to start; `started_at` is a Unix time in nanoseconds."""

    started_at: int
    weight: float = 1.0  # cost, as a fraction of a full handshake's


class HandshakeBudget:
    """The share that one of `instance_count` dispatchers has in a partner's handshake limits.

    If `handshakes` is below the number of dispatchers, each dispatcher may still run one handshake. If each
    dispatcher's share of the rate is below one a second, handshakes are spaced further apart and the total
    rate holds on average only. `warnings` reports both cases.
    """

    def __init__(
        self,
        handshakes: int,
        rate: float,
        instance_count: int = 1,
        slow_start_fraction: float = 1.0,
        slow_start_duration: int = 1,
    ) -> None:
        self.handshakes = handshakes
        self.total_rate = rate  # per second
        self.instance_count = instance_count
        self.set_process_count(1)
        self.slow_start_fraction = slow_start_fraction
        self.slow_start_duration = slow_start_duration
        self.running: set[HandshakeStart] = set()
        self.recent: deque[HandshakeStart] = deque()  # oldest first
        self.recovered_at = -NEVER  # ns; the end of the last outage
        self.unavailable = False
        self.lost_at: deque[int] = deque()  # ns; times at which open connections were lost, oldest first

    def set_process_count(self, processes: int) -> None:
        """Divide this dispatcher's share evenly among its processes, of which an upgrade has two."""
        sharers = self.instance_count * processes
        self.max_concurrent = max(1, self.handshakes // sharers)
        self.rate = self.total_rate / sharers  # per second

    @staticmethod
    def warnings(handshakes: int, rate: float, instance_count: int) -> list[str]:
        """Return a text for each limit that cannot be kept exactly with this number of dispatchers."""
        warnings = []
        if handshakes < instance_count:
            warnings.append(
                f"handshakes: {handshakes} at once cannot be shared by {instance_count} dispatchers"
            )
        if rate < instance_count:
            warnings.append(
                f"handshake-rate: {rate:g} a second for {instance_count} dispatchers holds on average only"
            )
        return warnings

    def slow_start_share(self, now: int) -> float:
        """Return the fraction of the limits that slow start allows.

        The fraction is 0 in an outage, when one handshake may still run.
        """
        if self.unavailable:
            return 0.0
        progress = min(1.0, (now - self.recovered_at) / self.slow_start_duration)
        return self.slow_start_fraction + (1 - self.slow_start_fraction) * progress

    def ready_at(self, now: int) -> int:
        """Return the estimated earliest start of the next handshake; at most `now` if it may start now."""
        share = self.slow_start_share(now)
        if len(self.running) >= max(1, int(self.max_concurrent * share)):
            return now + RETRY_DELAY  # if a running handshake ends sooner, the transport reports its end
        rate = self.rate * max(share, self.slow_start_fraction)
        window = _window(rate)
        self._drop_starts_until(now - max(window, self._longest_window()))
        available = max(1.0, rate)
        for start in reversed(self.recent):
            if start.started_at <= now - window:
                break
            available -= start.weight
            if available < 1.0:
                return start.started_at + window
        return now

    def _longest_window(self) -> int:
        lowest_rate = min(1.0, self.rate * self.slow_start_fraction)
        return int(SECOND / lowest_rate * WINDOW_MARGIN)

    def _drop_starts_until(self, cutoff: int) -> None:
        while self.recent and self.recent[0].started_at <= cutoff:
            self.recent.popleft()

    def start(self, now: int) -> HandshakeStart:
        """Record and return the start of a handshake, which `ready_at` has allowed."""
        start = HandshakeStart(now)
        self.running.add(start)
        self.recent.append(start)
        return start

    def succeeded(self, start: HandshakeStart, now: int, resumed: bool) -> None:
        """Record that the handshake succeeded, which ends an outage."""
        self.running.discard(start)
        if resumed:
            start.weight = RESUMED_WEIGHT
        if self.unavailable:
            self.unavailable = False
            self.recovered_at = now

    def failed(self, start: HandshakeStart, outage: bool) -> None:
        """Record a failed handshake; `outage` if the partner is down rather than one side misconfigured."""
        self.running.discard(start)
        self.unavailable = self.unavailable or outage

    def connection_lost(self, now: int, remaining: int) -> None:
        """Record that an open connection was lost and `remaining` are left.

        The loss of more than half of the connections within `RATE_WINDOW` counts as the partner's restart.
        """
        self.lost_at.append(now)
        while self.lost_at[0] <= now - RATE_WINDOW:
            self.lost_at.popleft()
        lost = len(self.lost_at)
        if lost >= MIN_LOST_FOR_RESTART and lost > remaining and not self.unavailable:
            self.recovered_at = now


def _window(rate: float) -> int:
    """Return the sliding window in nanoseconds, which is longer if the rate is below one a second."""
    return int(max(RATE_WINDOW, SECOND / rate) * WINDOW_MARGIN)
