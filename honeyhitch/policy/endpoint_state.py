"""The state of one endpoint."""

from __future__ import annotations

from random import Random

from honeyhitch.policy.backoff import BACKOFF_STEPS
from honeyhitch.policy.circuit_breaking import MAX_PROBE_PAUSE_PER_INSTANCE
from honeyhitch.policy.decaying_counter import DecayingCounter
from honeyhitch.policy.destination_state import DestinationState
from honeyhitch.policy.events import EndpointListing
from honeyhitch.time_units import NEVER, SECOND

CLASS_FAILURES_DECAY_TIME = 30 * SECOND
UNLIMITED_CAPACITY = NEVER  # calls; above any number in flight


class EndpointState:
    """One endpoint of a destination. Times are nanoseconds."""

    __slots__ = (
        "_failures_by_class",
        "capacity",
        "concurrent_calls",
        "connect_blocked_until",
        "connection_limit_failures",
        "last_used_at",
        "listed",
        "name",
        "state",
        "zone",
    )

    def __init__(self, listing: EndpointListing, state: DestinationState) -> None:
        self.name = listing.endpoint
        self.zone = listing.zone
        self.state = state
        self.listed = True
        self.concurrent_calls = 0
        self.last_used_at = -NEVER
        # The number of concurrent calls that its open connections take.
        self.capacity = 0 if listing.requires_open_connection else UNLIMITED_CAPACITY
        self.connect_blocked_until = 0
        self.connection_limit_failures = 0  # consecutive connects rejected at the endpoint's connection limit
        # By class: an endpoint may fail messages of one class only. Created with the first outcome.
        self._failures_by_class: dict[int, DecayingCounter] | None = None

    def record_class_outcome(self, now: int, class_index: int, failed: bool, weight: float = 1.0) -> None:
        """Count an outcome of a message of one class."""
        if self._failures_by_class is None:
            self._failures_by_class = {}
        counter = self._failures_by_class.get(class_index)
        if counter is None:
            counter = self._failures_by_class[class_index] = DecayingCounter(CLASS_FAILURES_DECAY_TIME)
        counter.record(now, failed, weight)

    def class_failure_fraction(self, now: int, class_index: int) -> float:
        """Return the recent fraction of failures among the outcomes of one class, 0 to 1."""
        counter = self._failures_by_class.get(class_index) if self._failures_by_class else None
        return counter.failure_fraction(now) if counter is not None else 0.0

    def back_off_connecting(self, now: int, instance_count: int, rng: Random) -> None:
        """Open no connection for a jittered pause because the endpoint has reached its connection limit."""
        self.connection_limit_failures = min(self.connection_limit_failures + 1, len(BACKOFF_STEPS))
        step = BACKOFF_STEPS[self.connection_limit_failures - 1]
        # The longest pause grows with the number of instances; where there are few, an instance without
        # a connection still gets one in time.
        pause = min(step, MAX_PROBE_PAUSE_PER_INSTANCE * instance_count)
        self.connect_blocked_until = now + int(pause * rng.uniform(1 - self.state.circuit.probe_jitter, 1))

    def blocked_until(self) -> int:
        """Return the time before which no call can be sent to the endpoint."""
        blocked_until = self.state.retry_after_until
        return blocked_until if self.capacity else max(blocked_until, self.connect_blocked_until)

    def recovery_estimate(self) -> int:
        """Return the estimated time from which a call to the endpoint may succeed again."""
        state = self.state
        return max(state.retry_after_until, state.circuit.next_probe_at, self.connect_blocked_until)
