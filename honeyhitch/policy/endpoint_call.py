"""A call in flight together with the endpoint to which it was sent."""

from __future__ import annotations

from honeyhitch.policy.call import Call
from honeyhitch.policy.endpoint_state import EndpointState


class EndpointCall(Call):
    """One call in flight to an endpoint."""

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: EndpointState, sent_at: int) -> None:
        super().__init__(sent_at)
        self.endpoint = endpoint
