"""Which endpoints hold an address: those of the process that started there last."""

from __future__ import annotations

from collections.abc import Iterable

from honeyhitch.endpoints.endpoint import PoolEndpoint


class AddressHolders:
    """The listed endpoints by address.

    A process that listens at an address has replaced every process that started there earlier. An endpoint
    that started earlier than another one at its address is therefore gone, even if discovery still lists it.
    Endpoints with equal times of their start may belong to one process that serves several destinations.
    """

    def __init__(self) -> None:
        self.by_address: dict[str, tuple[PoolEndpoint, ...]] = {}

    def replace_all(self, endpoints: Iterable[PoolEndpoint]) -> None:
        """Hold these endpoints and no others."""
        self.by_address = {}
        for endpoint in endpoints:
            self.add(endpoint)

    def add(self, endpoint: PoolEndpoint) -> None:
        """Hold an endpoint at its address."""
        others = (other for other in self.at(endpoint.address) if other.id != endpoint.id)
        self.by_address[endpoint.address] = (*others, endpoint)

    def remove(self, endpoint: PoolEndpoint) -> None:
        """Hold an endpoint at its address no longer."""
        others = tuple(other for other in self.at(endpoint.address) if other.id != endpoint.id)
        if others:
            self.by_address[endpoint.address] = others
        else:
            self.by_address.pop(endpoint.address, None)

    def at(self, address: str) -> tuple[PoolEndpoint, ...]:
        """Return the endpoints at an address."""
        return self.by_address.get(address, ())


def latest_starts(endpoints: Iterable[PoolEndpoint]) -> dict[str, int]:
    """Return when the latest process started at each address, a Unix time in milliseconds."""
    latest: dict[str, int] = {}
    for endpoint in endpoints:
        latest[endpoint.address] = max(endpoint.started_at_ms, latest.get(endpoint.address, 0))
    return latest
