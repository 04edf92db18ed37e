"""One endpoint of the pool: where it is reached and what is known of it."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.events import EndpointListing, EndpointStatus

TLS_TRANSPORT = "tls"  # the transport whose endpoints take calls on connections that are open already


@dataclass(slots=True)
class PoolEndpoint:
    """One endpoint; `transport` names what carries calls to it."""

    id: str
    address: str  # HOST:PORT, or what the transport needs in its place
    destination: int
    kind: int = 0
    zone: int = 0
    listed_rate: float = 1.0  # calls a second
    status: EndpointStatus = EndpointStatus.READY
    transport: str = "http"

    def listing(self) -> EndpointListing:
        """The endpoint as the policy sees it."""
        return EndpointListing(
            endpoint=self.id,
            destination=self.destination,
            kind=self.kind,
            zone=self.zone,
            listed_rate=self.listed_rate,
            status=self.status,
            requires_open_connection=self.transport == TLS_TRANSPORT,
        )
