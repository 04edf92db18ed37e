"""Which listed endpoints exceed the room of the pool, and what is known of those that were left out."""

from __future__ import annotations

from enum import IntEnum
from itertools import islice

from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.policy.events import EndpointStatus

MAX_LEFT_OUT_DESTINATIONS = 20_000  # whose numbers are kept


class Precedence(IntEnum):
    """The order in which new endpoints get room."""

    FIRST_OF_DESTINATION = 0
    FURTHER = 1
    DRAINING = 2


class LeftOutEndpoints:
    """The listed endpoints that the pool has no room for: their number, and their destinations."""

    def __init__(self) -> None:
        self.count = 0
        self.destinations: set[int] = set()

    def add(self, destination: int | None) -> None:
        """Count one endpoint."""
        self.count += 1
        if destination is not None and len(self.destinations) < MAX_LEFT_OUT_DESTINATIONS:
            self.destinations.add(destination)

    def merge(self, other: LeftOutEndpoints) -> None:
        """Count the endpoints that another update left out."""
        self.count += other.count
        room = MAX_LEFT_OUT_DESTINATIONS - len(self.destinations)
        self.destinations.update(islice(other.destinations, room))


def excess_endpoints(
    new_endpoints: list[PoolEndpoint], room: int, served_destinations: set[int]
) -> list[PoolEndpoint]:
    """Return the new endpoints beyond the first `room` of them in their precedence.

    `served_destinations` have an endpoint already; the destinations of the new endpoints are added.
    """
    if len(new_endpoints) <= room:
        return []

    def precedence(endpoint: PoolEndpoint) -> Precedence:
        if endpoint.status is EndpointStatus.DRAINING:
            return Precedence.DRAINING
        if endpoint.destination in served_destinations:
            return Precedence.FURTHER
        served_destinations.add(endpoint.destination)
        return Precedence.FIRST_OF_DESTINATION

    return sorted(new_endpoints, key=precedence)[room:]
