"""The destinations and their endpoints, as listed by discovery."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from random import Random

from honeyhitch.policy.actions import Action
from honeyhitch.policy.decaying_counter import DecayingCounter
from honeyhitch.policy.destination_state import DestinationState, StateOwner
from honeyhitch.policy.endpoint_state import EndpointState
from honeyhitch.policy.events import EndpointListing, EndpointListUpdate, EndpointStatus, UpdateMode
from honeyhitch.policy.message import MessageDestination
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import MINUTE, SECOND

CONNECTION_FAILURES_DECAY_TIME = 30 * SECOND
MIN_CHECKED_DESTINATIONS = 1024  # with fewer, none is dropped
FORGET_AFTER = 10 * MINUTE  # since the last call to a destination that has no endpoint any more
COMPLETE_LISTS = (UpdateMode.FULL, UpdateMode.CACHED)


class EndpointList:
    """All destinations by number.

    An endpoint that is draining or gone gets no new calls (rule 3), but a missing or outdated list never
    stops delivery.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.health_reports: list[Action] = []  # changes of health that were not returned as actions yet
        self._settings = settings
        self._rng = rng
        self._connection_failures = [DecayingCounter(CONNECTION_FAILURES_DECAY_TIME) for _ in settings.kinds]
        self.destinations: dict[int, MessageDestination] = {}
        self._check_at_count = MIN_CHECKED_DESTINATIONS

    def take_health_reports(self) -> list[Action]:
        """Return the changes of health since the last call."""
        reports = self.health_reports[:]
        self.health_reports.clear()
        return reports

    @property
    def has_grown(self) -> bool:
        """Whether the number of destinations has doubled since unused ones were dropped."""
        return len(self.destinations) >= self._check_at_count

    def drop_unused(self, in_use: Collection[MessageDestination], now: int) -> None:
        """Drop the destinations that are neither listed nor in use, and of which nothing recent is known.

        Otherwise each number that a client or discovery ever named would be kept. `now` is in nanoseconds.
        """
        for number, destination in list(self.destinations.items()):
            if destination not in in_use and destination.forgettable(now - FORGET_AFTER):
                del self.destinations[number]
        self._check_at_count = max(MIN_CHECKED_DESTINATIONS, 2 * len(self.destinations))

    def destination(self, number: int) -> MessageDestination:
        """Return the destination with this number; create it if there is none."""
        destination = self.destinations.get(number)
        if destination is None:
            destination = self.destinations[number] = MessageDestination()
        return destination

    def endpoints(self) -> Iterator[EndpointState]:
        """Iterate over the endpoints of all destinations."""
        for destination in self.destinations.values():
            yield from destination.endpoints.values()

    def apply(self, update: EndpointListUpdate) -> list[MessageDestination]:
        """Apply an update from discovery; return the destination of each of its listings, in their order."""
        if update.mode in COMPLETE_LISTS:
            self._forget_unlisted({listing.endpoint for listing in update.listings})
        return [self._apply_listing(listing) for listing in update.listings]

    def _forget_unlisted(self, listed: set[str]) -> None:
        for destination in self.destinations.values():
            remaining = {name: state for name, state in destination.endpoints.items() if name in listed}
            destination.endpoints = remaining

    def _apply_listing(self, listing: EndpointListing) -> MessageDestination:
        """Apply one listing and return its destination.

        An endpoint that is draining or gone gets no new calls (rule 3); its calls in flight continue.
        """
        destination = self.destination(listing.destination)
        endpoint = destination.endpoints.get(listing.endpoint)
        if endpoint is None:
            endpoint = EndpointState(listing, self._state_for(listing, destination))
            destination.endpoints[listing.endpoint] = endpoint
        destination.max_messages_per_call = self._settings.kind(listing.kind).max_messages_per_call
        endpoint.listed = listing.status is EndpointStatus.READY
        endpoint.state.rate.listed_rate = listing.listed_rate
        if listing.status is EndpointStatus.GONE:
            del destination.endpoints[listing.endpoint]
        return destination

    def _state_for(self, listing: EndpointListing, destination: MessageDestination) -> DestinationState:
        """Return the state for a new endpoint: a new one if limits are per endpoint, else the shared one."""
        limits_per_endpoint = self._settings.kind(listing.kind).limits_per_endpoint
        if destination.state is None or limits_per_endpoint:
            kind_index = min(listing.kind, len(self._settings.kinds) - 1)
            destination.state = DestinationState(
                self._settings,
                self._rng,
                self._connection_failures[kind_index],
                StateOwner(listing.destination, listing.endpoint if limits_per_endpoint else ""),
                self.health_reports,
            )
        return destination.state
