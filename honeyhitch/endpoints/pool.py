"""The pool: the endpoints that discovery has listed, and those that the operator configured."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from honeyhitch import logs
from honeyhitch.endpoints.address_holders import AddressHolders, latest_starts
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.list_rows import (
    MISSING,
    KnownList,
    ListedRow,
    PoolError,
    Row,
    RowParser,
    row_destination,
)
from honeyhitch.endpoints.room import LeftOutEndpoints, excess_endpoints
from honeyhitch.endpoints.row_collector import EndpointRows
from honeyhitch.policy.events import EndpointListing, EndpointListUpdate, EndpointStatus, UpdateMode
from honeyhitch.policy.settings import Settings

log = logs.get_logger()
UNLIMITED_ENDPOINTS = 1 << 30
KEPT_ROWS_FACTOR = 2  # rows of new endpoints that are kept on arrival, of which the pool chooses
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
        self.left_out = LeftOutEndpoints()  # since the latest complete list
        self._holders = AddressHolders()
        self._parser = RowParser(self.kinds, self.zones)

    def lacks_endpoints(self, destination: int) -> bool:
        """Return whether endpoints of a destination are listed, and the pool had no room for any of them."""
        return destination in self.left_out.destinations

    def has_destination(self, destination: int) -> bool:
        """Return whether the destination was ever listed; true as long as no destination was listed."""
        listed = destination in self.destinations or self.lacks_endpoints(destination)
        return listed or not self.destinations

    def pin(self, endpoint: PoolEndpoint) -> None:
        """Add an endpoint that the operator configured; a complete list from discovery does not remove it."""
        self.pinned[endpoint.id] = endpoint
        self.endpoints[endpoint.id] = endpoint
        self.destinations.add(endpoint.destination)

    def limit_endpoints(self, max_endpoints: int) -> None:
        """Add no endpoint beyond this number. Endpoints that are in the pool already stay."""
        self.max_endpoints = max(max_endpoints, len(self.endpoints))

    @property
    def has_room_for_left_out(self) -> bool:
        """Whether listed endpoints were left out, of which some would fit now."""
        return bool(self.left_out.count) and len(self.endpoints) < self.max_endpoints

    def new_rows(self) -> EndpointRows:
        """Return the collector for the rows of the next list or change."""
        return EndpointRows(
            self.accepts_row, lambda row_id: row_id in self.endpoints, KEPT_ROWS_FACTOR * self.max_endpoints
        )

    def update(self, received: dict[str, Any], cached: bool = False) -> EndpointListUpdate:
        """Apply one list or change in discovery's form, as `apply` does."""
        rows = self.new_rows()
        try:
            for row in received["members"]:
                rows.add(row)
        except (KeyError, TypeError, AttributeError, ValueError) as error:
            raise PoolError(f"members: {type(error).__name__}: {error}") from error
        return self.apply(received, rows, cached)

    def apply_known(self, known: KnownList) -> EndpointListUpdate:
        """Apply the complete list with which the process starts, as `apply` does.

        It may be outdated: an address may belong to another destination by now. The update lists all
        endpoints of its destinations as draining, so that they get no call before `confirm_known`.
        """
        rows = self.new_rows()
        for row in known.rows:
            rows.add_listed(row)
        update = self.apply({"revision": known.revision, "complete": True}, rows, cached=True)
        outdated = {listing.destination for listing in update.listings if listing.endpoint not in self.pinned}
        listings = tuple(
            replace(listing, status=EndpointStatus.DRAINING) if listing.destination in outdated else listing
            for listing in update.listings
        )
        return replace(update, listings=listings)

    def confirm_known(self) -> EndpointListUpdate:
        """Return an update that lists all endpoints as they are in the pool."""
        return self.changed_listings(lambda _: True)

    def apply(self, fields: dict[str, Any], rows: EndpointRows, cached: bool = False) -> EndpointListUpdate:
        """Apply one complete list or one change from discovery, and return the update for the policy.

        `fields` are those of the list beside its rows. Endpoints that would exceed `max_endpoints` are left
        out, and everything else of the update is applied. Raise PoolError and change nothing if the update is
        invalid, or if it is a change older than the last one.
        """
        try:
            revision = int(fields["revision"])
            complete = bool(fields.get("complete", False))
            parsed_endpoints = [
                self._parse_row(row) for row in rows.rows.values() if self._accepts_listed(row, complete)
            ]
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise PoolError(f"members: {type(error).__name__}: {error}") from error
        if revision < self.revision and not complete:
            # An outdated change would restore endpoints that were removed since. An agent whose revisions
            # restart has to send a complete list.
            raise PoolError(f"revision: expected a change of {self.revision} or later, got {revision}")
        endpoints = [
            endpoint
            for endpoint in parsed_endpoints
            if endpoint.status is not EndpointStatus.GONE or endpoint.id in self.endpoints
        ]
        endpoints = self._without_superseded(endpoints, complete)
        endpoints = self._within_room(endpoints, rows.left_out, complete)
        listings = tuple(
            self._listing(endpoint) for endpoint in [*self._moved_endpoints(endpoints), *endpoints]
        )
        self.revision = revision
        self._replace_endpoints(endpoints, listings, complete)
        if not complete:
            return EndpointListUpdate(UpdateMode.CHANGES, listings)
        listings += tuple(self._listing(endpoint) for endpoint in self.pinned.values())
        return EndpointListUpdate(UpdateMode.CACHED if cached else UpdateMode.FULL, listings)

    def _within_room(
        self, endpoints: list[PoolEndpoint], dropped_on_arrival: LeftOutEndpoints, complete: bool
    ) -> list[PoolEndpoint]:
        """Return the endpoints of an update without new ones that exceed `max_endpoints`."""
        gone_ids = {endpoint.id for endpoint in endpoints if endpoint.status is EndpointStatus.GONE}
        if complete:
            self.left_out = LeftOutEndpoints()
            listed_ids = {endpoint.id for endpoint in endpoints} & self.endpoints.keys()
            remaining_ids = self.pinned.keys() | (listed_ids - gone_ids)
        else:
            remaining_ids = self.endpoints.keys() - gone_ids
        self.left_out.merge(dropped_on_arrival)
        excess = excess_endpoints(
            [endpoint for endpoint in endpoints if endpoint.id not in self.endpoints],
            max(0, self.max_endpoints - len(remaining_ids)),
            {self.endpoints[endpoint_id].destination for endpoint_id in remaining_ids},
        )
        for endpoint in excess:
            self.left_out.add(endpoint.destination)
        if dropped_on_arrival.count or excess:
            log.warning(
                "list.endpoints-left-out",
                listed=len(remaining_ids | {endpoint.id for endpoint in endpoints} - gone_ids)
                + dropped_on_arrival.count,
                left_out=self.left_out.count,
                max_endpoints=self.max_endpoints,
                key="endpoints",
            )
        excess_ids = {endpoint.id for endpoint in excess}
        return [endpoint for endpoint in endpoints if endpoint.id not in excess_ids]

    def accepts_row(self, row: Row) -> bool:
        """Return whether a row may be applied.

        A row is applied if its destination is accepted, or if it is a change of an endpoint in the pool.
        """
        if self.accepts_destination is None or str(row.get("id")) in self.endpoints:
            return True
        destination = row_destination(row)
        # A row without an id is kept, too, so that its list is rejected.
        return "id" not in row or (destination is not None and self.accepts_destination(destination))

    def _accepts_listed(self, row: ListedRow, complete: bool) -> bool:
        """Return whether a kept row is applied; a complete list says anew which destinations are needed."""
        if self.accepts_destination is None or not complete or row.id is MISSING:
            return True
        return isinstance(row.destination, int) and self.accepts_destination(row.destination)

    def changed_listings(self, quota_changed: Callable[[int], bool]) -> EndpointListUpdate:
        """Return an update with the endpoints of the destinations whose quota has changed."""
        listings = tuple(
            self._listing(endpoint)
            for endpoint in self.endpoints.values()
            if quota_changed(endpoint.destination)
        )
        return EndpointListUpdate(UpdateMode.CHANGES, listings)

    def _parse_row(self, row: ListedRow) -> PoolEndpoint:
        """Return the endpoint of a row: the object that is in the pool already if nothing has changed."""
        known_endpoint = self.endpoints.get(str(row.id))
        endpoint = self._parser.parse(row, known_endpoint)
        if endpoint.status is not EndpointStatus.GONE or known_endpoint is None:
            endpoint.transport = self.transport_of(endpoint)
        return known_endpoint if known_endpoint is not None and endpoint == known_endpoint else endpoint

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

    def _replace_endpoints(
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
        if self.left_out.destinations:
            self.left_out.destinations -= {endpoint.destination for endpoint in self.endpoints.values()}
        if len(self.destinations) > MAX_FORMER_DESTINATIONS + len(self.endpoints):
            self.destinations = {endpoint.destination for endpoint in self.endpoints.values()}

    def _listing(self, endpoint: PoolEndpoint) -> EndpointListing:
        listing = endpoint.listing()
        if self.quota_fraction is None:
            return listing
        return replace(listing, listed_rate=listing.listed_rate * self.quota_fraction(endpoint.destination))
