"""When to ask discovery again, and for what. Times are seconds; the random generator is passed in.

All dispatchers of a fleet lose their watch at the same moment, and discovery serves few lists a second. If
all returned at once, each for a complete list, none would get one. So pauses grow with each failure, are
drawn at random up to a limit, and a dispatcher that has a list asks only for the changes after it. The
largest limit leaves time for a response before a change that discovery holds has to be known.
"""

from __future__ import annotations

from random import Random

# A change counts as known to the dispatcher after this time, even if a silent watch missed it.
NOTIFICATION_DEADLINE_SECONDS = 6.0
RESPONSE_ALLOWANCE_SECONDS = 1.0  # of these, for a request and its response
INITIAL_BACKOFF_SECONDS = 0.25  # limit of the first pause
MAX_BACKOFF_SECONDS = NOTIFICATION_DEADLINE_SECONDS - RESPONSE_ALLOWANCE_SECONDS  # largest limit of a pause
MIN_BACKOFF_FRACTION = 0.25  # of the limit: the shortest pause after a rejected request
STABLE_WATCH_SECONDS = 5.0  # a watch that lasted this long resets the backoff
START_SPREAD_SECONDS = 0.05  # per instance, over which first requests are spread at a start
MAX_INSTANCES_WITHOUT_SPREAD = 6
DRAIN_GRACE_FRACTION = 0.5  # of the drain grace that may pass before discovery is asked
HEARTBEAT_TIMEOUT_SECONDS = 5.0  # a heartbeat comes every 2 s; after this the watch is broken
# What is left until the deadline after a silent watch: a pause, a request that is silent too, a pause.
RECOVERY_STEPS = 3
IMMEDIATE_RETRIES = 2  # failures in a row after which the next request goes out without a pause
MAX_COUNTED_FAILURES = 32  # keeps the power of two finite


class ResponseTimeout:
    """How long to wait for the agent, which answers at once: a silent connection is a dead one.

    Each failure in a row doubles the timeout up to `maximum`, for an agent that is only slow. Times are
    seconds.
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
        """The pause before the next request: none after one or two failures, then a growing one."""
        if self.failures <= IMMEDIATE_RETRIES:
            return 0.0
        return min(self.maximum, self.initial * 2.0 ** (self.failures - IMMEDIATE_RETRIES - 1))

    def record_failure(self) -> None:
        """No response came in time."""
        self.failures = min(self.failures + 1, MAX_COUNTED_FAILURES)

    def record_response(self) -> None:
        """A response came in time."""
        self.failures = 0


class WatchBackoff:
    """Timeouts and pauses of the successive watches at one address.

    `full_list`: the next request has to be for the complete list. `receiving`: bytes have come on the
    current watch.
    """

    def __init__(
        self, rng: Random, instance_count: int, has_list: bool, address_changed: bool, drain_grace: float
    ) -> None:
        """Prepare for the first request.

        `has_list`: a list is in use already; `address_changed`: it came from an agent at another address;
        `drain_grace`: seconds for which new messages may go to an endpoint after its drain was announced.
        """
        self.rng = rng
        self.instance_count = instance_count
        self.drain_grace = drain_grace
        self.backoff_limit = INITIAL_BACKOFF_SECONDS
        self.full_list = address_changed or not has_list
        self.receiving = False
        # A silent watch and a silent one after it, with the pauses between, must be over before new messages
        # may no longer go to an endpoint whose drain the first one missed.
        recovery_time = NOTIFICATION_DEADLINE_SECONDS - HEARTBEAT_TIMEOUT_SECONDS + drain_grace
        self.response_timeout = ResponseTimeout(recovery_time / RECOVERY_STEPS, HEARTBEAT_TIMEOUT_SECONDS)

    def watch_opened(self) -> None:
        """A new watch is opened."""
        self.receiving = False

    @property
    def read_timeout(self) -> float:
        """The time for the next bytes to come; for the first ones of a watch it includes connecting."""
        return HEARTBEAT_TIMEOUT_SECONDS if self.receiving else self.response_timeout.current

    def data_received(self) -> None:
        """Bytes came on the watch."""
        self.receiving = True
        self.response_timeout.record_response()

    def timed_out(self) -> None:
        """No bytes came in time. If none ever did on this watch, the agent may not know our revision."""
        if self.receiving:
            return
        self.full_list = self.full_list or self.response_timeout.current >= HEARTBEAT_TIMEOUT_SECONDS
        self.response_timeout.record_failure()

    def first_pause(self) -> float:
        """The pause before the first request: none if the list is missing, or that of another agent.

        A change counts as known whether it was asked for or not. However large the fleet is, the pause and
        the response have to fit into the drain grace.
        """
        if self.full_list or self.instance_count <= MAX_INSTANCES_WITHOUT_SPREAD:
            return 0.0
        spread = START_SPREAD_SECONDS * self.instance_count
        return self.rng.uniform(0, min(spread, DRAIN_GRACE_FRACTION * self.drain_grace))

    def list_received(self) -> None:
        """A list or a change was applied: from now on changes are enough."""
        self.full_list = False

    def request_full_list(self) -> None:
        """Nothing usable came: the agent may not know our revision."""
        self.full_list = True

    def next_pause(self, lasted: float, answered: bool) -> float:
        """The pause before the next request, after a watch of `lasted` seconds.

        `answered`: the agent responded, with a rejection or something unusable, and has nothing for us now.
        Without a response the pause is at most what the drain grace allows.
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
