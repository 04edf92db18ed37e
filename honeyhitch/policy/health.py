"""The health of destinations as the policy sees it, reported to metrics and resends."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.circuit_breaking import NON_IDEMPOTENT_FAILURE_FRACTION
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.message import MessageDestination


@dataclass(frozen=True, slots=True)
class DestinationHealth:
    """The health of a destination as the policy sees it. Times are nanoseconds."""

    listed: bool  # at least one endpoint may get new messages
    unhealthy: bool  # every endpoint is ejected or fails many of its calls
    in_slow_start: bool  # at least one endpoint recovered recently
    retry_after_until: int  # the earliest end of a Retry-After among healthy endpoints, 0 if there is none
    has_queued_messages: bool  # messages that are not of low priority are queued
    quota: float  # this instance's quota of the destination's capacity, in calls per second
    last_sent_at: int
    concurrent_calls: int  # slots in use by all destinations together


def destination_health(policy: DeliveryPolicy, destination: int, now: int) -> DestinationHealth:
    """Return the health of a destination at `now` (ns); an unknown destination counts as not listed."""
    known_destination = policy.destinations.get(destination) or MessageDestination()
    listed = (endpoint for endpoint in known_destination.endpoints.values() if endpoint.listed)
    states = list({endpoint.state: None for endpoint in listed})  # without duplicates, in list order
    healthy_states = [
        state
        for state in states
        if not state.circuit.ejected
        and state.circuit.call_failures.failure_fraction(now) < NON_IDEMPOTENT_FAILURE_FRACTION
    ]
    queues = [queue for key, queue in known_destination.queues.items() if not key.low_priority]
    return DestinationHealth(
        listed=bool(states),
        unhealthy=not healthy_states,
        in_slow_start=any(state.rate.in_slow_start(now) for state in states),
        retry_after_until=min((state.retry_after_until for state in healthy_states), default=0),
        has_queued_messages=any(queue.head(policy.now) is not None for queue in queues),
        quota=sum(state.rate.quota() for state in healthy_states),
        last_sent_at=max((state.last_sent_at for state in states), default=0),
        concurrent_calls=policy.concurrent_calls,
    )


def ejected_endpoints(policy: DeliveryPolicy, now: int) -> int:
    """Count the listed endpoints that are ejected or blocked by Retry-After or a connect pause at `now`."""
    return sum(
        endpoint.state.circuit.ejected
        or max(endpoint.state.retry_after_until, endpoint.connect_blocked_until) > now
        for endpoint in policy.endpoint_list.endpoints()
        if endpoint.listed
    )
