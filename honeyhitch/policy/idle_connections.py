"""Closing of idle connections where they would use up a connection limit that all instances share."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from honeyhitch.policy.circuit_breaking import SMALL_FLEET_MAX_INSTANCES
from honeyhitch.policy.decaying_counter import DecayingCounter
from honeyhitch.policy.endpoint_state import EndpointState

CONNECTION_FAILURE_FRACTION = 0.1  # fraction of failed connects above which connections are scarce
ANSWERS_BEFORE_POOLING = 8  # answered calls before idle connections to an endpoint are kept
# Probability that an idle connection is closed after a call: an instance that always keeps its connection
# makes no connects, and so does not learn that connections are scarce.
CLOSING_PROBABILITY = 0.1


class IdleConnections:
    """The endpoints whose connections may have become idle since the last check. Times are nanoseconds."""

    def __init__(self, instance_count: int, rng: Random) -> None:
        self._many_instances = instance_count > SMALL_FLEET_MAX_INSTANCES
        self._rng = rng
        self._candidates: dict[EndpointState, None] = {}

    def add(self, endpoint: EndpointState) -> None:
        """Add an endpoint at which a call ended."""
        self._candidates[endpoint] = None

    def add_kind(self, endpoints: Iterable[EndpointState], connection_failures: DecayingCounter) -> None:
        """Add all endpoints of the kind that shares `connection_failures`, after a failed connect."""
        for endpoint in endpoints:
            if endpoint.state.connection_failures is connection_failures:
                self._candidates[endpoint] = None

    def take_endpoints_to_close(self, now: int) -> list[str]:
        """Return the names of the endpoints whose idle connections are to be closed; clear the candidates."""
        closing = [endpoint.name for endpoint in self._candidates if self._should_close(endpoint, now)]
        self._candidates.clear()
        return closing

    def _should_close(self, endpoint: EndpointState, now: int) -> bool:
        # The random draw precedes the check for idleness, so that the sequence of random numbers does not
        # depend on which endpoints are idle.
        close_wanted = (
            endpoint.state.connection_failures.failure_fraction(now) > CONNECTION_FAILURE_FRACTION
            or endpoint.state.answered_calls < ANSWERS_BEFORE_POOLING
            or self._rng.random() < CLOSING_PROBABILITY
        )
        return close_wanted and self._many_instances and not endpoint.concurrent_calls
