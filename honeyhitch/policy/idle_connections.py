"""Idle connections: closed where they use up a connection limit that all instances share."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from honeyhitch.policy.circuit_breaking import MAX_INSTANCES_IN_STEP
from honeyhitch.policy.decaying_counter import DecayingCounter
from honeyhitch.policy.endpoint_state import EndpointState

CONNECTION_FAILURE_FRACTION = 0.1  # above it connections are scarce
ANSWERS_BEFORE_POOLING = 8  # calls answered before an idle connection is kept
CLOSING_PROBABILITY = 0.1  # of an idle connection after a call: one who keeps it learns of no connect


class IdleConnections:
    """The endpoints whose connections may have become idle in this round. Times are nanoseconds."""

    def __init__(self, instance_count: int, rng: Random) -> None:
        self._many_instances = instance_count > MAX_INSTANCES_IN_STEP
        self._rng = rng
        self._candidates: dict[EndpointState, None] = {}

    def add(self, endpoint: EndpointState) -> None:
        """Consider an endpoint at which a call ended."""
        self._candidates[endpoint] = None

    def add_kind(self, endpoints: Iterable[EndpointState], connection_failures: DecayingCounter) -> None:
        """Consider all endpoints of a kind, as a connection to one of them failed."""
        for endpoint in endpoints:
            if endpoint.state.connection_failures is connection_failures:
                self._candidates[endpoint] = None

    def to_close(self, now: int) -> list[str]:
        """The endpoints whose idle connections are to be closed; none is left to be considered."""
        closing = [endpoint.name for endpoint in self._candidates if self._closes(endpoint, now)]
        self._candidates.clear()
        return closing

    def _closes(self, endpoint: EndpointState, now: int) -> bool:
        # The draw comes first: the sequence of random numbers does not depend on who is idle.
        yields = (
            endpoint.state.connection_failures.failure_fraction(now) > CONNECTION_FAILURE_FRACTION
            or endpoint.state.answered_calls < ANSWERS_BEFORE_POOLING
            or self._rng.random() < CLOSING_PROBABILITY
        )
        return yields and self._many_instances and not endpoint.concurrent_calls
