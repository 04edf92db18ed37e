"""The pool: the endpoints that discovery has listed, and those that the operator configured."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from honeyhitch import logs
from honeyhitch.endpoints.address_holders import AddressHolders, latest_starts
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.list_rows import (
    EndpointList,
    PoolError,
    Row,
    RowParser,
    row_destination,
    row_id,
    row_is_known,
)
from honeyhitch.policy.events import EndpointListing, EndpointListUpdate, EndpointStatus, UpdateMode
from honeyhitch.policy.settings import Settings

log = logs.get_logger()
UNLIMITED_ENDPOINTS = 1 << 30
MAX_FORMER_DESTINATIONS = 10_000  # without an endpoint now; beyond, they are not known any more


class EndpointPool:
    """Endpoints by id. Removed endpoints are dropped; a call in flight holds its own endpoint."""

    def __init__(self, settings: Settings) -> None:
        self.kinds = tuple(kind.name for kind in settings.kinds)
        self.zones = settings.zone_names
        self.endpoints: dict[str, PoolEndpoint] = {}
        self.pinned: dict[str, PoolEndpoint] = {}  # configured by the operator, never listed by discovery
        self.revision = 0
        # All destinations that were ever listed, including those without an endpoint now.
        self.destinations: set[int] = set()
        self.transport_of: Callable[[PoolEndpoint], str] = lambda endpoint: endpoint.transport
        # Whether endpoints of a destination are added to the pool; None adds all.
        self.accepts_destination: Callable[[int], bool] | None = None
        # The fraction of a listed rate that this instance may use, from 0 to 1; None is the whole rate.
        self.quota_fraction: Callable[[int], float] | None = None
        self.max_endpoints = UNLIMITED_ENDPOINTS
        self._holders = AddressHolders()
        self._parser = RowParser(self.kinds, self.zones)

    def has_destination(self, destination: int) -> bool:
        """Return whether the destination was ever listed; true as long as no destination was listed."""
        return destination in self.destinations or not self.destinations

    def pin(self, endpoint: PoolEndpoint) -> None:
        """Add an endpoint that the operator configured; a complete list from discovery does not remove it."""
        self.pinned[endpoint.id] = endpoint
        self.endpoints[endpoint.id] = endpoint
        self.destinations.add(endpoint.destination)

    def update(self, received: dict[str, Any], cached: bool = False) -> EndpointListUpdate:
        """Apply one complete list or one change from discovery, and return the update for the policy.

        Raise PoolError and change nothing if it is invalid, if it is a change older than the last one, or if
        more than `max_endpoints` would be listed.
        """
        try:
            endpoint_list = EndpointList.parse(received)
            parsed_endpoints = [
                self._parse_row(row)
                for row in endpoint_list.rows
                if self.accepts_row(row, endpoint_list.complete)
            ]
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise PoolError(f"members: {type(error).__name__}: {error}") from error
        if endpoint_list.revision < self.revision and not endpoint_list.complete:
            # An outdated change would restore endpoints that were removed since. An agent whose revisions
            # restart has to send a complete list.
            raise PoolError(
                f"revision: expected a change of {self.revision} or later, got {endpoint_list.revision}"
            )
        self._check_size(endpoint_list, parsed_endpoints)
        endpoints = [
            endpoint
            for endpoint in parsed_endpoints
            if endpoint.status is not EndpointStatus.GONE or endpoint.id in self.endpoints
        ]
        endpoints = self._without_superseded(endpoints, endpoint_list.complete)
        listings = tuple(
            self._listing(endpoint) for endpoint in [*self._moved_endpoints(endpoints), *endpoints]
        )
        self.revision = endpoint_list.revision
        self._apply(endpoints, listings, endpoint_list.complete)
        if not endpoint_list.complete:
            return EndpointListUpdate(UpdateMode.CHANGES, listings)
        listings += tuple(self._listing(endpoint) for endpoint in self.pinned.values())
        return EndpointListUpdate(UpdateMode.CACHED if cached else UpdateMode.FULL, listings)

    def _check_size(self, endpoint_list: EndpointList, kept: list[PoolEndpoint]) -> None:
        listed = {endpoint.id for endpoint in kept if endpoint.status is not EndpointStatus.GONE}
        if not endpoint_list.complete:
            listed |= self.endpoints.keys()
        if len(listed) > self.max_endpoints:
            raise PoolError(f"members: {len(listed)} endpoints, the memory allows {self.max_endpoints}")

    def accepts_row(self, row: Row, complete: bool = False) -> bool:
        """Return whether a row is applied.

        A row is applied if its destination is accepted, or if it is a change of an endpoint in the pool.
        """
        if self.accepts_destination is None:
            return True
        is_known = row_is_known(row, self.endpoints)
        destination = row_destination(row)
        if destination is not None and self.accepts_destination(destination):
            return True
        return is_known and not complete

    def changed_listings(self, quota_changed: Callable[[int], bool]) -> EndpointListUpdate:
        """Return an update with the endpoints of the destinations whose quota has changed."""
        listings = tuple(
            self._listing(endpoint)
            for endpoint in self.endpoints.values()
            if quota_changed(endpoint.destination)
        )
        return EndpointListUpdate(UpdateMode.CHANGES, listings)

    def _parse_row(self, row: Row) -> PoolEndpoint:
        known_endpoint = self.endpoints.get(row_id(row))
        endpoint = self._parser.parse(row, known_endpoint)
        if endpoint.status is not EndpointStatus.GONE or known_endpoint is None:
            endpoint.transport = self.transport_of(endpoint)
        return endpoint

    def _moved_endpoints(self, endpoints: list[PoolEndpoint]) -> list[PoolEndpoint]:
        """Return the endpoints that changed their destination, marked as gone from the previous one."""
        moved_endpoints = []
        for endpoint in endpoints:
            known_endpoint = self.endpoints.get(endpoint.id, endpoint)
            if known_endpoint.destination != endpoint.destination:
                moved_endpoints.append(replace(known_endpoint, status=EndpointStatus.GONE))
        return moved_endpoints

    def _without_superseded(self, endpoints: list[PoolEndpoint], complete: bool) -> list[PoolEndpoint]:
        """Return the endpoints of an update, with those as gone whose address another process took over.

        These are endpoints of the update, and endpoints of the pool at an address of the update.
        """
        listed = [endpoint for endpoint in endpoints if endpoint.status is not EndpointStatus.GONE]
        updated_ids = {endpoint.id for endpoint in endpoints}
        others: list[PoolEndpoint] = []
        if not complete:
            addresses = {endpoint.address for endpoint in listed}
            others = [
                other
                for address in addresses
                for other in self._holders.at(address)
                if other.id not in updated_ids and other.id not in self.pinned
            ]
        latest = latest_starts([*listed, *others])
        superseded = {
            endpoint.id
            for endpoint in [*listed, *others]
            if endpoint.started_at_ms < latest[endpoint.address]
        }
        for endpoint_id in superseded & self.endpoints.keys():
            address = self.endpoints[endpoint_id].address
            log.info("endpoint.superseded", member=endpoint_id, address=address, key=endpoint_id)
        if not superseded:
            return endpoints
        remaining = [endpoint for endpoint in endpoints if endpoint.id not in superseded]
        return remaining + [
            replace(self.endpoints[endpoint_id], status=EndpointStatus.GONE)
            for endpoint_id in sorted(superseded & self.endpoints.keys())
        ]

    def _apply(
        self, endpoints: list[PoolEndpoint], listings: tuple[EndpointListing, ...], complete: bool
    ) -> None:
        if complete:  # endpoints that a complete list omits are removed
            listed_ids = {listing.endpoint for listing in listings} | self.pinned.keys()
            self.endpoints = {
                endpoint_id: endpoint
                for endpoint_id, endpoint in self.endpoints.items()
                if endpoint_id in listed_ids
            }
            self._holders.replace_all(self.endpoints.values())
        for endpoint in endpoints:
            known_endpoint = self.endpoints.get(endpoint.id)
            if known_endpoint is not None and known_endpoint.address != endpoint.address:
                self._holders.remove(known_endpoint)
            if endpoint.status is not EndpointStatus.GONE:
                self.endpoints[endpoint.id] = endpoint
                self._holders.add(endpoint)
            elif endpoint.id not in self.pinned:
                self.endpoints.pop(endpoint.id, None)
                self._holders.remove(endpoint)
        self.destinations.update(listing.destination for listing in listings)
        if len(self.destinations) > MAX_FORMER_DESTINATIONS + len(self.endpoints):
            self.destinations = {endpoint.destination for endpoint in self.endpoints.values()}

    def _listing(self, endpoint: PoolEndpoint) -> EndpointListing:
        listing = endpoint.listing()
        if self.quota_fraction is None:
            return listing
        return replace(listing, listed_rate=listing.listed_rate * self.quota_fraction(endpoint.destination))
