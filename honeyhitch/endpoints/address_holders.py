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
        self._only: dict[str, PoolEndpoint] = {}  # by address, where one endpoint holds it
        self._several: dict[str, dict[str, PoolEndpoint]] = {}  # by address and id, where several hold it

    def replace_all(self, endpoints: Iterable[PoolEndpoint]) -> None:
        """Hold these endpoints and no others."""
        self._only = {}
        self._several = {}
        for endpoint in endpoints:
            self.add(endpoint)

    def add(self, endpoint: PoolEndpoint) -> None:
        """Hold an endpoint at its address."""
        address = endpoint.address
        if address in self._several:
            self._several[address][endpoint.id] = endpoint
            return
        other = self._only.get(address, endpoint)
        if other.id == endpoint.id:
            self._only[address] = endpoint
        else:
            del self._only[address]
            self._several[address] = {other.id: other, endpoint.id: endpoint}

    def remove(self, endpoint: PoolEndpoint) -> None:
        """Hold an endpoint at its address no longer."""
        several = self._several.get(endpoint.address)
        if several is not None:
            several.pop(endpoint.id, None)
            if not several:
                del self._several[endpoint.address]
        elif (only := self._only.get(endpoint.address)) is not None and only.id == endpoint.id:
            del self._only[endpoint.address]

    def at(self, address: str) -> Iterable[PoolEndpoint]:
        """Return the endpoints at an address."""
        if address in self._several:
            return self._several[address].values()
        return (self._only[address],) if address in self._only else ()


def latest_starts(endpoints: Iterable[PoolEndpoint]) -> dict[str, int]:
    """Return when the latest process started at each address, a Unix time in milliseconds."""
    latest: dict[str, int] = {}
    for endpoint in endpoints:
        latest[endpoint.address] = max(endpoint.started_at_ms, latest.get(endpoint.address, 0))
    return latest
