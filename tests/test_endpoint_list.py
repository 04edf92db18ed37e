"""The policy forgets destinations that are not used any more, however many were ever named."""

from __future__ import annotations

from random import Random

from honeyhitch.policy.endpoint_list import FORGET_AFTER, MIN_CHECKED_DESTINATIONS, EndpointList
from honeyhitch.policy.events import EndpointListing, EndpointListUpdate, EndpointStatus, UpdateMode

from .world import SECOND, settings

NOW = 1000 * SECOND


def change(number: int, status: EndpointStatus) -> EndpointListUpdate:
    listing = EndpointListing(f"e-{number}", number, 0, 0, 1.0, status, False)
    return EndpointListUpdate(UpdateMode.CHANGES, (listing,))


# Guards against memory that grows with each destination that a client or discovery ever named.
def test_destinations_that_are_not_used_any_more_are_dropped() -> None:
    endpoint_list = EndpointList(settings(), Random(0))
    endpoint_list.apply(change(1, EndpointStatus.READY))
    for number in (2, 3):
        endpoint_list.apply(change(number, EndpointStatus.READY))
        endpoint_list.apply(change(number, EndpointStatus.GONE))
    recent, in_use = endpoint_list.destination(2), endpoint_list.destination(4)
    assert recent.state is not None
    recent.state.last_sent_at = NOW
    for number in range(5, MIN_CHECKED_DESTINATIONS + 1):
        assert not endpoint_list.has_grown
        endpoint_list.destination(number)
    assert endpoint_list.has_grown
    endpoint_list.drop_unused({in_use}, NOW)
    assert set(endpoint_list.destinations) == {1, 2, 4}
    assert not endpoint_list.has_grown
    endpoint_list.drop_unused((), NOW + FORGET_AFTER + 1)
    assert set(endpoint_list.destinations) == {1}
