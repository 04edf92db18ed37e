"""When to ask discovery again, and for what. Randomness is passed in, and times are seconds.

Every dispatcher of a fleet loses its watch at the same moment, and discovery sends few lists a second.
If all come back at once, each for a whole list, none gets one. So pauses grow with each failure and are drawn
by chance up to a bound, and one that has a list asks only for what changed after it. The bound of all leaves
time for an answer before a change that discovery has counts as told.
"""

from __future__ import annotations

from random import Random

NOTIFICATION_DEADLINE_SECONDS = (
    6.0  # seconds after which what discovery had, or a silent watch missed, counts as told (standing test)
)
RESPONSE_ALLOWANCE_SECONDS = 1.0  # seconds of these for an ask and its answer
INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = (
    0.25,
    NOTIFICATION_DEADLINE_SECONDS - RESPONSE_ALLOWANCE_SECONDS,
)  # seconds; the bound of the first pause, and of all
MIN_BACKOFF_FRACTION = 0.25  # of the bound: the shortest pause after an ask that was turned away
STABLE_WATCH_SECONDS = 5.0  # seconds that a watch lasted, after which a break is a new one
START_SPREAD_SECONDS, MAX_INSTANCES_WITHOUT_SPREAD = (
    0.05,
    6,
)  # seconds an instance before the first ask at a start; instances that need none
DRAIN_GRACE_FRACTION = 0.5  # of the time for which something new may go to a member whose drain was told
HEARTBEAT_TIMEOUT_SECONDS = (
    5.0  # seconds without even a heartbeat, of which one comes every 2 s: the watch is broken
)
RECOVERY_STEPS = 3  # equal parts of what is left then: pause, an ask that is silent as well, pause


class ResponseTimeout:
    """How long to wait for the agent, which answers at once: a silent connection is a dead one. Each failure
    in a row doubles it up to a bound, for an agent that only is slow. Times are seconds.
    """

    def __init__(self, initial: float, maximum: float) -> None:
        self.initial, self.maximum, self.failures = initial, maximum, 0

    @property
    def current(self) -> float:
        """The time for the next answer to begin."""
        return min(self.maximum, self.initial * 2.0**self.failures)

    @property
    def retry_pause(self) -> float:
        """The time before asking again: none after one failure or two, then a growing one."""
        return min(self.maximum, self.initial * 2.0 ** (self.failures - 3)) if self.failures > 2 else 0.0

    def record_failure(self) -> None:
        """No answer came in time."""
        self.failures = min(self.failures + 1, 32)

    def record_response(self) -> None:
        """One came."""
        self.failures = 0


class WatchBackoff:
    """The state of one watch's attempts at one address."""

    def __init__(
        self, rng: Random, instance_count: int, has_list: bool, address_changed: bool, drain_grace: float
    ) -> None:
        """`known`: there is a list already; `moved`: it is that of an agent at another address; `grace`:
        seconds for which something new may go to a member whose drain was told.
        """
        self.rng, self.instance_count, self.drain_grace, self.backoff_limit = (
            rng,
            instance_count,
            drain_grace,
            INITIAL_BACKOFF_SECONDS,
        )
        self.full_list, self.receiving = address_changed or not has_list, False
        # One that fell silent and a silent one after it have to be over, with the pauses between, before
        # something new may no longer go to a member whose drain the first one missed.
        self.response_timeout = ResponseTimeout(
            (NOTIFICATION_DEADLINE_SECONDS - HEARTBEAT_TIMEOUT_SECONDS + drain_grace) / RECOVERY_STEPS,
            HEARTBEAT_TIMEOUT_SECONDS,
        )

    def watch_opened(self) -> None:
        """A new watch is opened."""
        self.receiving = False

    @property
    def read_timeout(self) -> float:
        """The time for the next bytes to come; a short one for the first of a watch, connecting and all."""
        return HEARTBEAT_TIMEOUT_SECONDS if self.receiving else self.response_timeout.current

    def data_received(self) -> None:
        """Bytes came on the watch."""
        self.receiving = True
        self.response_timeout.record_response()

    def timed_out(self) -> None:
        """None came in time. Where none ever did on a watch, the agent may not know our revision."""
        if not self.receiving:
            self.full_list = self.full_list or self.response_timeout.current >= HEARTBEAT_TIMEOUT_SECONDS
            self.response_timeout.record_failure()

    def first_pause(self) -> float:
        """The pause before the first ask: none where the list is missing, or that of another agent.

        What the agent has counts as told, asked for or not, so that however large the fleet is, the pause and
        the answer have to fit into what is granted after a drain.
        """
        if self.full_list or self.instance_count <= MAX_INSTANCES_WITHOUT_SPREAD:
            return 0.0
        return self.rng.uniform(
            0, min(START_SPREAD_SECONDS * self.instance_count, DRAIN_GRACE_FRACTION * self.drain_grace)
        )

    def list_received(self) -> None:
        """A list or its changes came: from now on changes will do."""
        self.full_list = False

    def request_full_list(self) -> None:
        """Nothing usable came: the agent may not know our revision."""
        self.full_list = True

    def next_pause(self, lasted: float, answered: bool) -> float:
        """The pause before the next ask: a growing one. Where no answer came, it is no longer than what is
        granted after a drain allows; one that turned us away, or that could not be used, has nothing for us.
        """
        self.backoff_limit = (
            INITIAL_BACKOFF_SECONDS
            if lasted >= STABLE_WATCH_SECONDS
            else min(MAX_BACKOFF_SECONDS, 2 * self.backoff_limit)
        )
        if answered:
            bound = min(self.backoff_limit, MAX_BACKOFF_SECONDS)
            return self.rng.uniform(MIN_BACKOFF_FRACTION * bound, bound)
        return self.rng.uniform(
            0, min(self.backoff_limit, max(INITIAL_BACKOFF_SECONDS, DRAIN_GRACE_FRACTION * self.drain_grace))
        )
