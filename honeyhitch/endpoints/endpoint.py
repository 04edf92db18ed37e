"""One endpoint of the pool: its address and attributes."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.events import EndpointListing, EndpointStatus

TLS_TRANSPORT = "tls"  # the transport whose endpoints take calls only on open connections


@dataclass(slots=True)
class PoolEndpoint:
    """One endpoint; `transport` names the transport that sends calls to it."""

    id: str
    address: str  # HOST:PORT, or another form that the transport needs
    destination: int
    kind: int = 0
    zone: int = 0
    listed_rate: float = 1.0  # calls per second
    status: EndpointStatus = EndpointStatus.READY
    transport: str = "http"
    started_at_ms: int = 0  # Unix time in milliseconds at which its process started, 0 for long ago

    def listing(self) -> EndpointListing:
        """Return the endpoint in the form that the policy needs."""
        return EndpointListing(
            endpoint=self.id,
            destination=self.destination,
            kind=self.kind,
            zone=self.zone,
            listed_rate=self.listed_rate,
            status=self.status,
            requires_open_connection=self.transport == TLS_TRANSPORT,
        )
