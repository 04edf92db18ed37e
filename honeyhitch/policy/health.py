"""The health of destinations as the policy sees it, for metrics and for resends. It decides nothing."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.circuit_breaking import NON_IDEMPOTENT_FAILURE_FRACTION
from honeyhitch.policy.destination import Destination
from honeyhitch.policy.engine import DeliveryPolicy


@dataclass(frozen=True, slots=True)
class DestinationHealth:
    """The health of a destination as the policy sees it. Times are nanoseconds."""

    listed: bool  # it has an endpoint that may get something new
    unhealthy: bool  # each endpoint is ejected, or many of its calls fail
    in_slow_start: bool  # an endpoint recovered lately
    retry_after_until: int  # the earliest end of a Retry-After, 0 if there is none
    has_queued_messages: bool  # messages other than those of low priority wait for it
    quota: float  # this instance's quota of its capacity, in calls a second
    last_sent_at: int
    concurrent_calls: int  # slots in use, of all destinations


def destination_health(policy: DeliveryPolicy, destination: int, now: int) -> DestinationHealth:
    """The destination's health; one that nothing is known of is not listed. `now` in nanoseconds."""
    known = policy.destinations.get(destination) or Destination()
    listed = (endpoint for endpoint in known.endpoints.values() if endpoint.listed)
    states = list({endpoint.state: None for endpoint in listed})  # each once, in the order of the list
    healthy = [
        state
        for state in states
        if not state.circuit.ejected
        and state.circuit.call_failures.failure_fraction(now) < NON_IDEMPOTENT_FAILURE_FRACTION
    ]
    queues = [queue for key, queue in known.queues.items() if not key.low_priority]
    return DestinationHealth(
        listed=bool(states),
        unhealthy=not healthy,
        in_slow_start=any(state.rate.in_slow_start(now) for state in states),
        retry_after_until=min((state.retry_after_until for state in healthy), default=0),
        has_queued_messages=any(queue.head(policy.now) is not None for queue in queues),
        quota=sum(state.rate.quota() for state in healthy),
        last_sent_at=max((state.last_sent_at for state in states), default=0),
        concurrent_calls=policy.concurrent_calls,
    )


def ejected_endpoints(policy: DeliveryPolicy, now: int) -> int:
    """How many listed endpoints get nothing at present. `now` in nanoseconds."""
    return sum(
        endpoint.state.circuit.ejected
        or max(endpoint.state.retry_after_until, endpoint.connect_blocked_until) > now
        for endpoint in policy.endpoint_list.endpoints()
        if endpoint.listed
    )
