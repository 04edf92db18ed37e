"""The pool: the members that discovery has named, and where each is reached."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from math import inf
from typing import Any

from honeyhitch.addresses import split_host_port
from honeyhitch.policy.events import EndpointListing, EndpointListUpdate, EndpointStatus, UpdateMode
from honeyhitch.policy.settings import Settings

TLS_TRANSPORT = "tls"  # the carrier whose members take calls on connections that are open already
MAX_PORT_DIGITS = 5
PHASES = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.GONE,
}


@dataclass(slots=True)
class PoolEndpoint:
    """One member; `carrier` names what carries calls to it."""

    id: str
    address: str
    destination: int
    kind: int = 0
    zone: int = 0
    listed_rate: float = 1.0
    status: EndpointStatus = EndpointStatus.READY
    transport: str = "http"

    def listing(self) -> EndpointListing:
        """The member as the module sees it."""
        gated = self.transport == TLS_TRANSPORT
        return EndpointListing(
            self.id, self.destination, self.kind, self.zone, self.listed_rate, self.status, gated
        )


class PoolError(ValueError):
    """A list from discovery that cannot be read."""


def _check_address(address: str) -> None:
    try:
        split_host_port(address, min_port=0, max_digits=MAX_PORT_DIGITS)
    except ValueError:
        raise PoolError(f"host_port: expected HOST:PORT, got {address!r}") from None


def _index(names: tuple[str, ...], value: object, default: int = 0) -> int:
    return names.index(value) if isinstance(value, str) and value in names else default


class EndpointPool:
    """Members by id. Those that are gone are forgotten; a call still out knows its own."""

    def __init__(self, settings: Settings) -> None:
        self.kinds = tuple(kind.name for kind in settings.kinds)
        self.zones = settings.zone_names
        self.endpoints: dict[str, PoolEndpoint] = {}
        self.pinned: dict[str, PoolEndpoint] = {}  # set up by the operator, never in discovery's list
        self.revision = 0
        self.transport_of: Callable[[PoolEndpoint], str] = lambda member: member.transport
        self.keeps_destination: Callable[[int], bool] | None = (
            None  # destinations whose members are kept, if not all
        )
        self.quota_fraction: Callable[[int], float] | None = (
            None  # of a listed rate that this instance may use
        )
        self.destinations: set[int] = set()  # each that was ever listed; one between two members still exists

    def has_destination(self, destination: int) -> bool:
        """Whether there is such a destination, as far as can be told."""
        return destination in self.destinations or not self.destinations

    def pin(self, member: PoolEndpoint) -> None:
        """Add a member that the operator set up; a whole list from discovery leaves it in place."""
        self.pinned[member.id] = self.endpoints[member.id] = member
        self.destinations.add(member.destination)

    def update(self, told: dict[str, Any], cached: bool = False) -> EndpointListUpdate:
        """Enter one list or one change, in discovery's form, and say what is new."""
        try:
            rows, revision = told["members"], int(told["revision"])
            complete = bool(told.get("complete", False))
            read = [self._parse_endpoint(row) for row in rows if self.keeps_row(row, complete)]
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise PoolError(f"members: {type(error).__name__}: {error}") from error
        if revision < self.revision and not complete:
            # Late, it would bring back what went since; an agent that counts anew has to give its whole list.
            raise PoolError(f"revision: a change of {revision} after {self.revision}")
        members = [one for one in read if one.status is not EndpointStatus.GONE or one.id in self.endpoints]
        # One that is another destination's now has gone from the one it was of.
        known = [(self.endpoints.get(one.id, one), one) for one in members]
        moved = [
            replace(old, status=EndpointStatus.GONE)
            for old, one in known
            if old.destination != one.destination
        ]
        self.revision, news = revision, tuple(self._listing(member) for member in [*moved, *members])
        if complete:  # what a whole list leaves out is gone as well
            named = {entry.endpoint for entry in news} | self.pinned.keys()
            self.endpoints = {name: member for name, member in self.endpoints.items() if name in named}
        for member in members:
            if member.status is not EndpointStatus.GONE:
                self.endpoints[member.id] = member
            elif member.id not in self.pinned:
                self.endpoints.pop(member.id, None)
        self.destinations.update(entry.destination for entry in news)
        if not complete:
            return EndpointListUpdate(UpdateMode.CHANGES, news)
        news += tuple(self._listing(member) for member in self.pinned.values())
        return EndpointListUpdate(UpdateMode.CACHED if cached else UpdateMode.FULL, news)

    def keeps_row(self, row: dict[str, Any], complete: bool = False) -> bool:
        """Whether an entry is kept: one of a destination that is, or a change of a member that was."""
        if self.keeps_destination is None:
            return True
        known, cell = row["id"] in self.endpoints, row.get("cell")
        return (isinstance(cell, int) and self.keeps_destination(cell)) or (known and not complete)

    def _listing(self, member: PoolEndpoint) -> EndpointListing:
        entry = member.listing()
        if self.quota_fraction is None:
            return entry
        return replace(entry, listed_rate=entry.listed_rate * self.quota_fraction(member.destination))

    def changed_listings(self, changed: Callable[[int], bool]) -> EndpointListUpdate:
        """The entries of destinations whose portion has changed, as a change of the list."""
        members = [member for member in self.endpoints.values() if changed(member.destination)]
        return EndpointListUpdate(UpdateMode.CHANGES, tuple(self._listing(member) for member in members))

    def _parse_endpoint(self, row: dict[str, Any]) -> PoolEndpoint:
        name = str(row["id"])
        old = self.endpoints.get(name)
        status = PHASES.get(str(row.get("phase", "Ready")), EndpointStatus.READY)
        if status is EndpointStatus.GONE and old is not None:
            return replace(old, status=status)
        cell = row.get("cell")
        destination = int(cell) if cell is not None else old.destination if old else -1
        address = str(row.get("host_port") or (old.address if old else ""))
        if status is not EndpointStatus.GONE:
            _check_address(address)
        size = float(row.get("size", 1.0))
        if not 0 <= size < inf:  # nor a NaN, which would spoil every pace computed from it
            raise PoolError(f"size: expected a number of 0 or more, got {size}")
        member = PoolEndpoint(
            id=name,
            address=address,
            destination=destination,
            kind=_index(self.kinds, row.get("flavor")),
            zone=_index(self.zones, row.get("locality")),
            listed_rate=size,
            status=status,
        )
        member.transport = self.transport_of(member)
        return member
