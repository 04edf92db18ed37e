"""Backoff for requests to discovery, with jitter. Times are in seconds; the random generator is passed in.

All dispatchers of a fleet may lose their watch at the same moment, and discovery serves only a few lists per
second. If all dispatchers reconnected at once and requested the complete list, none would get a response.
Therefore the limit of the pause grows with each failure, the pause is drawn at random up to that limit, and a
dispatcher that has a list requests only the changes after it. The largest limit leaves time for a response
before the notification deadline of a change.
"""

from __future__ import annotations

from random import Random

# A change in discovery counts as known to the dispatcher after this time, even if a silent watch missed it.
NOTIFICATION_DEADLINE_SECONDS = 6.0
RESPONSE_ALLOWANCE_SECONDS = 1.0  # part of the deadline reserved for a request and its response
INITIAL_BACKOFF_SECONDS = 0.25  # initial limit of the pause
MAX_BACKOFF_SECONDS = NOTIFICATION_DEADLINE_SECONDS - RESPONSE_ALLOWANCE_SECONDS  # largest limit of the pause
MIN_BACKOFF_FRACTION = 0.25  # shortest pause after a rejected request, as a fraction of the limit
STABLE_WATCH_SECONDS = 5.0  # a watch that lasts at least this long resets the backoff
START_SPREAD_SECONDS = 0.05  # first requests after a start are spread over this time per instance
MAX_INSTANCES_WITHOUT_SPREAD = 6
DRAIN_GRACE_FRACTION = 0.5  # maximum fraction of the drain grace that may pass before a request
HEARTBEAT_TIMEOUT_SECONDS = 5.0  # without data for this long a watch is broken; heartbeats come every 2 s
# After a silent watch the time until the deadline must cover a pause, a request without a response, and
# another pause.
RECOVERY_STEPS = 3
IMMEDIATE_RETRIES = 2  # number of consecutive failures that are each followed by a retry without a pause
MAX_COUNTED_FAILURES = 32  # largest exponent of the power of two, which keeps it finite


class ResponseTimeout:
    """The timeout for a response of the agent, in seconds.

    The agent responds immediately, so a connection without a response is considered dead. In case the agent
    is only slow, each consecutive failure doubles the timeout, up to `maximum`.
    """

    def __init__(self, initial: float, maximum: float) -> None:
        self.initial = initial
        self.maximum = maximum
        self.failures = 0

    @property
    def current(self) -> float:
        """The time within which the next response has to begin."""
        return min(self.maximum, self.initial * 2.0**self.failures)

    @property
    def retry_pause(self) -> float:
        """The pause before the next request: 0 after one or two failures, then doubled by each failure."""
        if self.failures <= IMMEDIATE_RETRIES:
            return 0.0
        return min(self.maximum, self.initial * 2.0 ** (self.failures - IMMEDIATE_RETRIES - 1))

    def record_failure(self) -> None:
        """Count a request without a timely response."""
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)

    def record_response(self) -> None:
        """Reset the count of failures after a timely response."""
        self.failures = 0


def longest_first_pause(instance_count: int, drain_grace: float) -> float:
    """Return the longest pause in seconds before the first request of a process that has a list.

    A change counts as known even before it is requested. Therefore the pause and the response have to fit
    into the drain grace, regardless of the size of the fleet.
    """
    if instance_count <= MAX_INSTANCES_WITHOUT_SPREAD:
        return 0.0
    return min(START_SPREAD_SECONDS * instance_count, DRAIN_GRACE_FRACTION * drain_grace)


class WatchBackoff:
    """Timeouts and pauses of the successive watches at one address.

    `full_list`: the next request has to be for the complete list. `receiving`: bytes have been received on
    the current watch.
    """

    def __init__(
        self, rng: Random, instance_count: int, has_list: bool, address_changed: bool, drain_grace: float
    ) -> None:
        """Prepare for the first request.

        `has_list`: a list is already in use; `address_changed`: that list came from an agent at another
        address; `drain_grace`: seconds for which new messages may go to an endpoint after its drain was
        announced.
        """
        self.rng = rng
        self.instance_count = instance_count
        self.drain_grace = drain_grace
        self.backoff_limit = INITIAL_BACKOFF_SECONDS
        self.full_list = address_changed or not has_list
        self.receiving = False
        # A silent watch may miss the drain of an endpoint. That watch, the pauses and a second silent watch
        # must be over before the endpoint may no longer get new messages.
        recovery_time = NOTIFICATION_DEADLINE_SECONDS - HEARTBEAT_TIMEOUT_SECONDS + drain_grace
        self.response_timeout = ResponseTimeout(recovery_time / RECOVERY_STEPS, HEARTBEAT_TIMEOUT_SECONDS)

    def watch_opened(self) -> None:
        """Record that a new watch is opened."""
        self.receiving = False

    @property
    def read_timeout(self) -> float:
        """The timeout of the next read; that of the first read of a watch includes connecting."""
        return HEARTBEAT_TIMEOUT_SECONDS if self.receiving else self.response_timeout.current

    def data_received(self) -> None:
        """Record that bytes were received on the watch."""
        self.receiving = True
        self.response_timeout.record_response()

    def timed_out(self) -> None:
        """Record that no bytes were received in time.

        If none were received on this watch at all, the agent may not know the revision that was requested:
        once the timeout has reached its maximum, the complete list is requested next.
        """
        if self.receiving:
            return
        self.full_list = self.full_list or self.response_timeout.current >= HEARTBEAT_TIMEOUT_SECONDS
        self.response_timeout.record_failure()

    def first_pause(self) -> float:
        """Return the pause before the first request: 0 if there is no list or it came from another agent."""
        if self.full_list or self.instance_count <= MAX_INSTANCES_WITHOUT_SPREAD:
            return 0.0
        return self.rng.uniform(0, longest_first_pause(self.instance_count, self.drain_grace))

    def list_received(self) -> None:
        """Record that a list or a change was applied: the next request may be for changes only."""
        self.full_list = False

    def request_full_list(self) -> None:
        """Request the complete list next, as the agent may not know the revision that was requested."""
        self.full_list = True

    def next_pause(self, lasted: float, answered: bool) -> float:
        """Return the pause before the next request, after a watch that lasted `lasted` seconds.

        `answered`: the agent responded with a rejection or with unusable data. Otherwise the agent may hold a
        change, and the pause is limited to DRAIN_GRACE_FRACTION of the drain grace, but at least to
        INITIAL_BACKOFF_SECONDS.
        """
        if lasted >= STABLE_WATCH_SECONDS:
            self.backoff_limit = INITIAL_BACKOFF_SECONDS
        else:
            self.backoff_limit = min(MAX_BACKOFF_SECONDS, 2 * self.backoff_limit)
        if answered:
            limit = min(self.backoff_limit, MAX_BACKOFF_SECONDS)
            return self.rng.uniform(MIN_BACKOFF_FRACTION * limit, limit)
        grace = max(INITIAL_BACKOFF_SECONDS, DRAIN_GRACE_FRACTION * self.drain_grace)
        return self.rng.uniform(0, min(self.backoff_limit, grace))
